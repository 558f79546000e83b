//! What an instance may hold at once: handed to it by its owner, and returned piece by piece as it lets go.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

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
pub struct QuotaPermit(Arc<Counts>);

impl Quota {
    /// So many.
    pub fn new(limit: usize) -> Quota {
        Quota(Arc::new(Counts { limit: AtomicUsize::new(limit), held: AtomicUsize::new(0) }))
    }

    /// Takes one, if there is one.
    pub fn take(&self) -> Option<QuotaPermit> {
        self.take_beyond(0)
    }

    /// Takes one of those, or of so many more: for what is about to take the place of another.
    pub fn take_beyond(&self, extra: usize) -> Option<QuotaPermit> {
        let limit = self.limit().saturating_add(extra);
        let more = |held: usize| (held < limit).then_some(held + 1);
        self.0.held.fetch_update(Ordering::AcqRel, Ordering::Relaxed, more).ok()?;
        Some(QuotaPermit(self.0.clone()))
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

impl Drop for QuotaPermit {
    fn drop(&mut self) {
        self.0.held.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Numbers of things: held, or allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ResourceCounts {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to upstreams.
    pub upstreams: usize,
    /// Bodies that pass through.
    pub transfers: usize,
}

impl ResourceCounts {
    /// The same of each.
    pub fn with(self, other: ResourceCounts, how: impl Fn(usize, usize) -> usize) -> ResourceCounts {
        ResourceCounts {
            clients: how(self.clients, other.clients),
            upstreams: how(self.upstreams, other.upstreams),
            transfers: how(self.transfers, other.transfers),
        }
    }
}

/// Room for bodies that pass through. Unlike a [`Quota`] it can be waited for.
#[derive(Debug, Clone)]
pub struct TransferLimit(Arc<Places>);

#[derive(Debug)]
struct Places {
    semaphore: Arc<Semaphore>,
    limit: AtomicUsize,
    /// Places beyond a smaller limit that are still held.
    owed: Mutex<usize>,
}

impl TransferLimit {
    /// So many.
    pub fn new(limit: usize) -> TransferLimit {
        let limit = limit.min(Semaphore::MAX_PERMITS);
        let semaphore = Arc::new(Semaphore::new(limit));
        TransferLimit(Arc::new(Places { semaphore, limit: AtomicUsize::new(limit), owed: Mutex::new(0) }))
    }

    /// Takes one, if there is one.
    pub fn take(&self) -> Option<TransferPermit> {
        let permit = self.0.semaphore.clone().try_acquire_owned().ok()?;
        Some(TransferPermit { permit: Some(permit), room: self.0.clone() })
    }

    /// Waits for one.
    pub async fn wait(&self) -> Option<TransferPermit> {
        // Nobody closes it.
        let permit = self.0.semaphore.clone().acquire_owned().await.ok()?;
        Some(TransferPermit { permit: Some(permit), room: self.0.clone() })
    }

    /// How many there may be.
    pub fn limit(&self) -> usize {
        self.0.limit.load(Ordering::Relaxed)
    }

    /// How many are held.
    pub fn held(&self) -> usize {
        let owed = *self.0.owed.lock().unwrap_or_else(PoisonError::into_inner);
        (self.limit() + owed).saturating_sub(self.0.semaphore.available_permits())
    }

    /// Changes how many there may be. Those beyond a smaller limit stay until they are let go.
    pub fn set_limit(&self, limit: usize) {
        let limit = limit.min(Semaphore::MAX_PERMITS);
        let mut owed = self.0.owed.lock().unwrap_or_else(PoisonError::into_inner);
        let before = self.0.limit.swap(limit, Ordering::Relaxed);
        // What is more pays first for what is owed.
        let more = limit.saturating_sub(before);
        let paid = more.min(*owed);
        self.0.semaphore.add_permits(more - paid);
        *owed = *owed - paid + before.saturating_sub(limit);
        *owed -= self.0.semaphore.forget_permits(*owed);
    }
}

/// One place of a [`TransferLimit`]; returned when dropped.
#[derive(Debug)]
pub struct TransferPermit {
    permit: Option<OwnedSemaphorePermit>,
    room: Arc<Places>,
}

impl Drop for TransferPermit {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else { return };
        let mut owed = self.room.owed.lock().unwrap_or_else(PoisonError::into_inner);
        if *owed > 0 {
            *owed -= 1;
            permit.forget();
        }
    }
}

/// A limit that several instances share: how many connections the process may hold to one upstream.
pub trait SharedConnections: Send + Sync {
    /// The right to one more connection to this address, returned when dropped. `None` when there is none left
    /// for this instance.
    fn take(&self, dial: SocketAddr) -> Option<Box<dyn Send + Sync>>;
}

/// The right to one connection to an upstream.
pub struct UpstreamPermit {
    _own: QuotaPermit,
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
    pub transfers: TransferLimit,
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
            transfers: TransferLimit::new(transfers),
            shared: None,
        }
    }

    /// What may be held.
    pub fn limits(&self) -> ResourceCounts {
        ResourceCounts {
            clients: self.clients.limit(),
            upstreams: self.upstreams.limit(),
            transfers: self.transfers.limit(),
        }
    }

    /// What is held.
    pub fn held(&self) -> ResourceCounts {
        ResourceCounts {
            clients: self.clients.held(),
            upstreams: self.upstreams.held(),
            transfers: self.transfers.held(),
        }
    }

    /// Changes what may be held.
    pub fn limit(&self, to: ResourceCounts) {
        self.clients.set_limit(to.clients);
        self.upstreams.set_limit(to.upstreams);
        self.transfers.set_limit(to.transfers);
    }

    /// The right to one more connection to this address.
    pub fn permit(&self, dial: SocketAddr) -> Option<UpstreamPermit> {
        let own = self.upstreams.take()?;
        let shared = match &self.shared {
            Some(shared) => Some(shared.take(dial)?),
            None => None,
        };
        Some(UpstreamPermit { _own: own, _shared: shared })
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
    fn room_shrinks_and_grows_while_it_is_held() {
        let room = TransferLimit::new(4);
        let mut held: Vec<_> = (0..3).filter_map(|_| room.take()).collect();
        room.set_limit(1);
        assert_eq!((room.held(), room.limit()), (3, 1));
        held.pop();
        assert!(room.take().is_none(), "two are held, and one is all there may be");
        room.set_limit(3);
        assert!(room.take().is_some());
        held.clear();
        assert_eq!(room.held(), 0);
        let all: Vec<_> = std::iter::from_fn(|| room.take()).collect();
        assert_eq!(all.len(), 3);
        let mut rng = oorandom::Rand64::new(6);
        let (room, mut held) = (TransferLimit::new(20), Vec::new());
        for _ in 0..20_000 {
            match rng.rand_range(0..5) {
                0 => room.set_limit(rng.rand_range(0..40) as usize),
                1 | 2 => drop(held.pop()),
                _ => {
                    let before = held.len();
                    held.extend(room.take());
                    assert!(held.len() == before || held.len() <= room.limit());
                }
            }
            assert_eq!(room.held(), held.len());
        }
        held.clear();
        room.set_limit(7);
        assert_eq!(std::iter::from_fn(|| room.take()).map(std::mem::forget).count(), 7);
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
