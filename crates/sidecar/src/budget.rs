//! What an instance may hold at once: handed to it by its owner, and returned piece by piece as it lets go.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Semaphore;

/// A number of things that may be held at once. The limit may change while they are held: those beyond a smaller
/// one stay until they are let go, and until then nothing more is given.
#[derive(Debug, Clone)]
pub struct Quota(Arc<Counts>);

#[derive(Debug)]
struct Counts {
    limit: AtomicUsize,
    held: AtomicUsize,
}

/// One of them; returned when dropped.
#[derive(Debug)]
pub struct Held(Arc<Counts>);

impl Quota {
    /// So many.
    pub fn new(limit: usize) -> Quota {
        Quota(Arc::new(Counts { limit: AtomicUsize::new(limit), held: AtomicUsize::new(0) }))
    }

    /// Takes one, if there is one.
    pub fn take(&self) -> Option<Held> {
        self.take_beyond(0)
    }

    /// Takes one of those, or of so many more: for what is about to take the place of another.
    pub fn take_beyond(&self, extra: usize) -> Option<Held> {
        let limit = self.limit().saturating_add(extra);
        let more = |held: usize| (held < limit).then_some(held + 1);
        self.0.held.fetch_update(Ordering::AcqRel, Ordering::Relaxed, more).ok()?;
        Some(Held(self.0.clone()))
    }

    /// How many there may be.
    pub fn limit(&self) -> usize {
        self.0.limit.load(Ordering::Relaxed)
    }

    /// Changes that.
    pub fn set_limit(&self, limit: usize) {
        self.0.limit.store(limit, Ordering::Relaxed);
    }

    /// How many are held.
    pub fn held(&self) -> usize {
        self.0.held.load(Ordering::Acquire)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.held.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A limit that several instances share: how many connections the process may hold to one upstream.
pub trait SharedConnections: Send + Sync {
    /// The right to one more connection to this address, returned when dropped. `None` when there is none left
    /// for this instance.
    fn take(&self, dial: SocketAddr) -> Option<Box<dyn Send + Sync>>;
}

/// The right to one connection to an upstream.
pub struct Permit {
    _own: Held,
    _shared: Option<Box<dyn Send + Sync>>,
}

/// All that an instance is handed. Two generations of one instance hold clones of the same: while one drains and
/// its successor serves, both together stay within it.
#[derive(Clone)]
pub struct Budgets {
    /// Connections of clients.
    pub clients: Quota,
    /// Connections to upstreams.
    pub upstreams: Quota,
    /// Bodies that pass through without being held whole, both ways.
    pub transfers: Arc<Semaphore>,
    /// What it shares with others, if anything.
    pub shared: Option<Arc<dyn SharedConnections>>,
}

impl Budgets {
    /// So many connections on each side, and a transfer for each, shared with nobody.
    pub fn of(connections: usize) -> Budgets {
        Budgets::with(connections, connections)
    }

    /// So many connections on each side and so many transfers, shared with nobody.
    pub fn with(connections: usize, transfers: usize) -> Budgets {
        Budgets {
            clients: Quota::new(connections),
            upstreams: Quota::new(connections),
            transfers: Arc::new(Semaphore::new(transfers.clamp(1, Semaphore::MAX_PERMITS))),
            shared: None,
        }
    }

    /// The right to one more connection to this address.
    pub fn permit(&self, dial: SocketAddr) -> Option<Permit> {
        let own = self.upstreams.take()?;
        let shared = match &self.shared {
            Some(shared) => Some(shared.take(dial)?),
            None => None,
        };
        Some(Permit { _own: own, _shared: shared })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_more_is_given_than_there_is_and_all_comes_back() {
        let quota = Quota::new(2);
        let (first, second) = (quota.take(), quota.take());
        assert!(first.is_some() && second.is_some() && quota.take().is_none());
        quota.set_limit(1);
        drop(first);
        assert!(quota.take().is_none(), "one is held, and one is all there may be");
        drop(second);
        assert_eq!(quota.held(), 0);
        assert!(quota.take().is_some());
    }

    #[test]
    fn what_the_shared_limit_refuses_costs_nothing_of_its_own() {
        struct None_;
        impl SharedConnections for None_ {
            fn take(&self, _: SocketAddr) -> Option<Box<dyn Send + Sync>> {
                None
            }
        }
        let budgets = Budgets { shared: Some(Arc::new(None_)), ..Budgets::of(4) };
        assert!(budgets.permit(([127, 0, 0, 1], 1).into()).is_none());
        assert_eq!(budgets.upstreams.held(), 0);
    }
}
