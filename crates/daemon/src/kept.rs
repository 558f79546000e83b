//! What outlasts a generation, and the process where a state directory is configured: the last list of upstreams of
//! each instance, and which instances the operator has stopped.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use sagemast_pools::counts::Totals;
use sagemast_sidecar::hosts::HostList;
use sagemast_sidecar::log::Log;

use crate::config::{Fleet, Process};
use crate::handover::Estate;
use crate::plan::Name;
use crate::store::{Item, Store};

/// What is written must be on disk this soon when the process ends.
const LAST_WRITES: Duration = Duration::from_secs(2);

/// The kept lists. Their number is that of the configured instances.
pub struct Kept {
    /// As JSON in discovery's form.
    lists: HashMap<Name, Vec<u8>>,
    stopped: BTreeSet<Name>,
    store: Option<Store>,
}

impl Kept {
    /// What a state directory holds of this fleet; nothing where none is configured. What cannot be believed is set
    /// aside with a line. An error is one plain line: the directory cannot be had.
    pub fn load(fleet: &Fleet, log: &Log) -> Result<Kept, String> {
        let mut kept = Kept { lists: HashMap::new(), stopped: BTreeSet::new(), store: None };
        let Some(folder) = &fleet.process.state else { return Ok(kept) };
        let store = Store::open(folder, log.clone())?;
        for name in fleet.instances.keys() {
            let item = Item::List(name.clone());
            let Some(list) = store.read(&item) else { continue };
            match serde_json::from_slice::<HostList>(&list) {
                Ok(_) => drop(kept.lists.insert(name.clone(), list)),
                Err(error) => store.set_aside(&item, &error.to_string()),
            }
        }
        if let Some(names) = store.read(&Item::Stopped) {
            match serde_json::from_slice::<Vec<String>>(&names) {
                Ok(names) => kept.stopped.extend(names.into_iter().map(Name::from)),
                Err(error) => store.set_aside(&Item::Stopped, &error.to_string()),
            }
        }
        kept.store = Some(store);
        Ok(kept)
    }

    /// What a predecessor hands over, with the lock of its state directory.
    pub fn inherit(estate: &mut Estate, process: &Process, log: &Log) -> Result<Kept, String> {
        let store = match (&process.state, estate.lock.take()) {
            (None, _) => None,
            (Some(folder), Some(lock)) => Some(Store::holding(folder, Arc::new(lock), log.clone())),
            // The predecessor kept none.
            (Some(folder), None) => Some(Store::open(folder, log.clone())?),
        };
        let lists = std::mem::take(&mut estate.lists);
        Ok(Kept { lists, stopped: estate.stopped.iter().cloned().collect(), store })
    }

    /// The last list of an instance.
    pub fn list(&self, name: &Name) -> Option<HostList> {
        serde_json::from_slice(self.lists.get(name)?).ok()
    }

    /// All lists, to hand them over.
    pub fn lists(&self) -> Vec<(Name, Vec<u8>)> {
        self.lists.iter().map(|(name, list)| (name.clone(), list.clone())).collect()
    }

    /// Takes in a newer list of an instance.
    pub fn keep(&mut self, name: Name, list: &HostList) {
        // A list is plain data: it always has a form.
        let Ok(text) = serde_json::to_vec(list) else { return };
        if let Some(store) = &self.store {
            store.write(Item::List(name.clone()), Some(text.clone()));
        }
        self.lists.insert(name, text);
    }

    /// What an instance had counted of traffic between zones when it was kept last.
    pub fn crossing(&self, name: &Name) -> Option<Totals> {
        let (store, item) = (self.store.as_ref()?, Item::Crossing(name.clone()));
        match serde_json::from_slice(&store.read(&item)?) {
            Ok(totals) => Some(totals),
            Err(error) => {
                store.set_aside(&item, &error.to_string());
                None
            }
        }
    }

    /// Takes in what it has counted.
    pub fn keep_crossing(&self, name: &Name, totals: &Totals) {
        if let Some(store) = &self.store {
            store.write(Item::Crossing(name.clone()), serde_json::to_vec(totals).ok());
        }
    }

    /// The table of a listener for UDP flows as it was kept last.
    pub fn flows(&self, name: &str) -> Option<Vec<u8>> {
        self.store.as_ref()?.read(&Item::Flows(name.into()))
    }

    /// How that listener has its table kept.
    pub fn flows_keeper(&self, name: &str) -> Option<sagemast_udp::Keeper> {
        let pen = self.store.as_ref()?.pen(Item::Flows(name.into()));
        Some(Box::new(pen))
    }

    /// Forgets an instance that is configured no more.
    pub fn forget(&mut self, name: &str) {
        self.lists.remove(name);
        self.stopped.remove(name);
        if let Some(store) = &self.store {
            store.write(Item::List(name.into()), None);
            store.write(Item::Crossing(name.into()), None);
        }
    }

    /// Those that the operator has stopped.
    pub fn stopped(&self) -> impl Iterator<Item = &Name> {
        self.stopped.iter()
    }

    /// Whether an instance is to stay stopped after a restart of the daemon.
    pub fn set_stopped(&mut self, name: &Name, stopped: bool) {
        let changed = if stopped { self.stopped.insert(name.clone()) } else { self.stopped.remove(name) };
        if let Some(store) = self.store.as_ref().filter(|_| changed) {
            let names: Vec<&str> = self.stopped.iter().map(|name| &**name).collect();
            store.write(Item::Stopped, serde_json::to_vec(&names).ok());
        }
    }

    /// The lock of the state directory, to hand it over.
    pub fn lock(&self) -> Option<Arc<std::os::fd::OwnedFd>> {
        self.store.as_ref().map(Store::lock)
    }

    /// Writes nothing more: the directory is a successor's now.
    pub fn abandon(&mut self) {
        if let Some(store) = self.store.take() {
            store.abandon();
        }
    }

    /// Why the last write failed, if it did.
    pub fn trouble(&self) -> Option<String> {
        self.store.as_ref().and_then(Store::trouble)
    }

    /// Waits a while for what is yet to be written; false if not all was.
    pub fn flush(&self) -> bool {
        self.store.as_ref().is_none_or(|store| store.flush(LAST_WRITES))
    }
}
