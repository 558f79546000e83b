//! What each instance may hold of what all share: its connections over all its generations, and its part of the
//! connections to one upstream.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sagemast_sidecar::budget::{Budgets, SharedConnections};
use sagemast_sidecar::request_ids::RequestIds;

use crate::config::{Fleet, InstanceSpec};
use crate::id_exchange::SharedIds;
use crate::ledger::Shares;
use crate::plan::Name;

/// The grants of all instances. One that is configured no more is forgotten once it holds nothing.
pub struct Grants {
    by_name: HashMap<Name, Budgets>,
    /// The ids of open requests of each instance, over all its generations.
    request_ids: HashMap<Name, RequestIds>,
    shares: Arc<Mutex<Shares<Name>>>,
}

impl Grants {
    /// Nothing granted yet, and so many connections to one upstream.
    pub fn new(connections_per_upstream: usize) -> Grants {
        Grants {
            by_name: HashMap::new(),
            request_ids: HashMap::new(),
            shares: Arc::new(Mutex::new(Shares::new(connections_per_upstream))),
        }
    }

    /// What an instance may hold, over all its generations.
    pub fn of(&mut self, name: &Name, spec: &InstanceSpec) -> Budgets {
        let shared = Holder { shares: self.shares.clone(), name: name.clone() };
        let grant = || Budgets {
            shared: Some(Arc::new(shared)),
            ..Budgets::with_limits(spec.connections(), spec.transfers())
        };
        let budgets = self.by_name.entry(name.clone()).or_insert_with(grant).clone();
        self.resize(name, spec);
        budgets
    }

    /// The ids of open requests of an instance, over all its generations.
    pub fn request_ids(&mut self, name: &Name) -> RequestIds {
        self.request_ids.entry(name.clone()).or_default().clone()
    }

    /// The ids of open requests of these instances, or of all of them.
    pub fn shared_ids(&mut self, names: Option<&[Name]>) -> SharedIds {
        match names {
            Some(names) => names.iter().map(|name| (name.clone(), self.request_ids(name))).collect(),
            None => self.request_ids.iter().map(|(name, ids)| (name.clone(), ids.clone())).collect(),
        }
    }

    /// Grants an instance that runs as much as other settings say.
    pub fn resize(&self, name: &Name, spec: &InstanceSpec) {
        if let Some(budgets) = self.by_name.get(name) {
            budgets.clients.set_limit(spec.connections());
            budgets.upstreams.set_limit(spec.connections());
            budgets.buffers.set_limit(spec.transfers());
        }
    }

    /// Tells the budget for connections to one upstream among how many it is shared.
    pub fn share(&self, fleet: &Fleet) {
        let mut shares = lock(&self.shares);
        shares.set_cap(fleet.process.connections_per_upstream);
        shares.set_holders(fleet.instances.len());
    }

    /// Forgets those that are configured no more and hold nothing.
    pub fn forget(&mut self, is_configured: impl Fn(&Name) -> bool) {
        self.by_name.retain(|name, budgets| {
            is_configured(name) || budgets.clients.in_use() + budgets.upstreams.in_use() > 0
        });
        self.request_ids.retain(|name, _| self.by_name.contains_key(name));
    }

    /// Connections that an instance holds: of clients, and to upstreams.
    pub fn held(&self, name: &Name) -> [usize; 2] {
        self.by_name
            .get(name)
            .map_or([0, 0], |budgets| [budgets.clients.in_use(), budgets.upstreams.in_use()])
    }

    /// Connections to the upstream that has most.
    pub fn most(&self) -> usize {
        lock(&self.shares).most().0
    }
}

/// Counters only: they hold whatever a thread that panicked was about to do.
fn lock(shares: &Mutex<Shares<Name>>) -> MutexGuard<'_, Shares<Name>> {
    shares.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One instance's part of the connections that all share.
struct Holder {
    shares: Arc<Mutex<Shares<Name>>>,
    name: Name,
}

struct Taken {
    shares: Arc<Mutex<Shares<Name>>>,
    name: Name,
    dial: SocketAddr,
}

impl SharedConnections for Holder {
    fn try_acquire(&self, dial: SocketAddr) -> Option<Box<dyn Send + Sync>> {
        let mut shares = lock(&self.shares);
        let taken = || Taken { shares: self.shares.clone(), name: self.name.clone(), dial };
        shares.take(dial, &self.name).then(|| Box::new(taken()) as Box<dyn Send + Sync>)
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        let mut shares = lock(&self.shares);
        shares.give_back(self.dial, &self.name);
    }
}
