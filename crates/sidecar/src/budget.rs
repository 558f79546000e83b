//! Limits of the connections and transfers of an instance. The instance's owner sets the limits; a permit is
//! returned when it is dropped.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A limit of concurrently held permits. The limit may change while permits are held: if it shrinks below the
/// number of held permits, these stay valid, and no more are given out until enough have been returned.
#[derive(Debug, Clone)]
pub struct Quota(Arc<QuotaState>);

#[derive(Debug)]
struct QuotaState {
    limit: AtomicUsize,
    in_use: AtomicUsize,
}

/// One permit of a [`Quota`]; returned when dropped.
#[derive(Debug)]
pub struct QuotaPermit(Arc<QuotaState>);

impl Quota {
    /// Creates a quota of `limit` permits.
    pub fn new(limit: usize) -> Quota {
        Quota(Arc::new(QuotaState { limit: AtomicUsize::new(limit), in_use: AtomicUsize::new(0) }))
    }

    /// Takes a permit, if one is available.
    pub fn try_acquire(&self) -> Option<QuotaPermit> {
        self.try_acquire_beyond(0)
    }

    /// Takes a permit, if necessary one of `extra` permits above the limit. The extra permits are for a
    /// holder that is about to replace another.
    pub fn try_acquire_beyond(&self, extra: usize) -> Option<QuotaPermit> {
        let limit = self.limit().saturating_add(extra);
        let one_more = |in_use: usize| (in_use < limit).then_some(in_use + 1);
        self.0.in_use.fetch_update(Ordering::AcqRel, Ordering::Relaxed, one_more).ok()?;
        Some(QuotaPermit(self.0.clone()))
    }

    /// How many permits may be held.
    pub fn limit(&self) -> usize {
        self.0.limit.load(Ordering::Relaxed)
    }

    /// Changes the limit.
    pub fn set_limit(&self, limit: usize) {
        self.0.limit.store(limit, Ordering::Relaxed);
    }

    /// How many permits are held.
    pub fn in_use(&self) -> usize {
        self.0.in_use.load(Ordering::Acquire)
    }
}

impl Drop for QuotaPermit {
    fn drop(&mut self) {
        self.0.in_use.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts of connections and transfers, in use or allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ResourceCounts {
    /// Client connections.
    pub clients: usize,
    /// Connections to upstreams.
    pub upstreams: usize,
    /// Bodies that are streamed instead of buffered.
    pub transfers: usize,
}

impl ResourceCounts {
    /// Combines the counts of each kind.
    pub fn zip_with(self, other: ResourceCounts, combine: impl Fn(usize, usize) -> usize) -> ResourceCounts {
        ResourceCounts {
            clients: combine(self.clients, other.clients),
            upstreams: combine(self.upstreams, other.upstreams),
            transfers: combine(self.transfers, other.transfers),
        }
    }
}

/// A limit of concurrent transfers. Unlike with a [`Quota`], a permit can be waited for.
#[derive(Debug, Clone)]
pub struct TransferLimit(Arc<TransferState>);

#[derive(Debug)]
struct TransferState {
    semaphore: Arc<Semaphore>,
    limit: AtomicUsize,
    /// Number of held permits above a limit that has shrunk. That many permits are discarded instead of
    /// returned when they are dropped.
    excess: Mutex<usize>,
}

impl TransferLimit {
    /// Creates a limit of `limit` permits.
    pub fn new(limit: usize) -> TransferLimit {
        let limit = limit.min(Semaphore::MAX_PERMITS);
        let semaphore = Arc::new(Semaphore::new(limit));
        TransferLimit(Arc::new(TransferState {
            semaphore,
            limit: AtomicUsize::new(limit),
            excess: Mutex::new(0),
        }))
    }

    /// Takes a permit, if one is available.
    pub fn try_acquire(&self) -> Option<TransferPermit> {
        let permit = self.0.semaphore.clone().try_acquire_owned().ok()?;
        Some(TransferPermit { permit: Some(permit), state: self.0.clone() })
    }

    /// Waits for a permit.
    pub async fn acquire(&self) -> Option<TransferPermit> {
        // The semaphore is never closed, so this never fails.
        let permit = self.0.semaphore.clone().acquire_owned().await.ok()?;
        Some(TransferPermit { permit: Some(permit), state: self.0.clone() })
    }

    /// How many permits may be held.
    pub fn limit(&self) -> usize {
        self.0.limit.load(Ordering::Relaxed)
    }

    /// How many permits are held.
    pub fn in_use(&self) -> usize {
        let excess = *self.0.excess.lock().unwrap_or_else(PoisonError::into_inner);
        (self.limit() + excess).saturating_sub(self.0.semaphore.available_permits())
    }

    /// Changes the limit. Held permits above a smaller limit stay valid until they are returned.
    pub fn set_limit(&self, limit: usize) {
        let limit = limit.min(Semaphore::MAX_PERMITS);
        let mut excess = self.0.excess.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = self.0.limit.swap(limit, Ordering::Relaxed);
        // A larger limit first covers held permits above the previous one.
        let added = limit.saturating_sub(previous);
        let covered = added.min(*excess);
        self.0.semaphore.add_permits(added - covered);
        *excess = *excess - covered + previous.saturating_sub(limit);
        *excess -= self.0.semaphore.forget_permits(*excess);
    }
}

/// One permit of a [`TransferLimit`]; returned when dropped.
#[derive(Debug)]
pub struct TransferPermit {
    permit: Option<OwnedSemaphorePermit>,
    state: Arc<TransferState>,
}

impl Drop for TransferPermit {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else { return };
        let mut excess = self.state.excess.lock().unwrap_or_else(PoisonError::into_inner);
        if *excess > 0 {
            *excess -= 1;
            permit.forget();
        }
    }
}

/// A limit shared by several instances: how many connections the process may have to one upstream.
pub trait SharedConnections: Send + Sync {
    /// Takes a permit for one more connection to this address, returned when dropped. `None` if none is left
    /// for this instance.
    fn try_acquire(&self, address: SocketAddr) -> Option<Box<dyn Send + Sync>>;
}

/// The permit for one connection to an upstream.
pub struct UpstreamPermit {
    _instance_permit: QuotaPermit,
    _shared_permit: Option<Box<dyn Send + Sync>>,
}

/// All limits of an instance. Generations of one instance share the limits by cloning this value: while one
/// generation drains and its successor serves, both together stay within the limits.
#[derive(Clone)]
pub struct Budgets {
    /// Client connections.
    pub clients: Quota,
    /// Connections to upstreams.
    pub upstreams: Quota,
    /// Bodies that are streamed instead of buffered, in both directions.
    pub transfers: TransferLimit,
    /// The limit shared with other instances, if any.
    pub shared: Option<Arc<dyn SharedConnections>>,
}

impl Budgets {
    /// The same limit for client connections, upstream connections and transfers, without a shared limit.
    pub fn with_connections(connections: usize) -> Budgets {
        Budgets::with_limits(connections, connections)
    }

    /// A limit for client and upstream connections each, and one for transfers, without a shared limit.
    pub fn with_limits(connections: usize, transfers: usize) -> Budgets {
        Budgets {
            clients: Quota::new(connections),
            upstreams: Quota::new(connections),
            transfers: TransferLimit::new(transfers),
            shared: None,
        }
    }

    /// The limits.
    pub fn limits(&self) -> ResourceCounts {
        ResourceCounts {
            clients: self.clients.limit(),
            upstreams: self.upstreams.limit(),
            transfers: self.transfers.limit(),
        }
    }

    /// The numbers in use.
    pub fn in_use(&self) -> ResourceCounts {
        ResourceCounts {
            clients: self.clients.in_use(),
            upstreams: self.upstreams.in_use(),
            transfers: self.transfers.in_use(),
        }
    }

    /// Changes the limits.
    pub fn set_limits(&self, limits: ResourceCounts) {
        self.clients.set_limit(limits.clients);
        self.upstreams.set_limit(limits.upstreams);
        self.transfers.set_limit(limits.transfers);
    }

    /// Takes a permit for one more connection to this address, if one is available.
    pub fn upstream_permit(&self, address: SocketAddr) -> Option<UpstreamPermit> {
        let instance_permit = self.upstreams.try_acquire()?;
        let shared_permit = match &self.shared {
            Some(shared) => Some(shared.try_acquire(address)?),
            None => None,
        };
        Some(UpstreamPermit { _instance_permit: instance_permit, _shared_permit: shared_permit })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quota_gives_out_no_more_than_its_limit_and_gets_all_permits_back() {
        let quota = Quota::new(2);
        let (first, second) = (quota.try_acquire(), quota.try_acquire());
        assert!(first.is_some() && second.is_some() && quota.try_acquire().is_none());
        quota.set_limit(1);
        drop(first);
        assert!(quota.try_acquire().is_none(), "one permit is held, and the limit is one");
        drop(second);
        assert_eq!(quota.in_use(), 0);
        assert!(quota.try_acquire().is_some());
    }

    #[test]
    fn transfer_limit_can_shrink_and_grow_while_permits_are_held() {
        let transfers = TransferLimit::new(4);
        let mut permits: Vec<_> = (0..3).filter_map(|_| transfers.try_acquire()).collect();
        transfers.set_limit(1);
        assert_eq!((transfers.in_use(), transfers.limit()), (3, 1));
        permits.pop();
        assert!(transfers.try_acquire().is_none(), "two permits are held, and the limit is one");
        transfers.set_limit(3);
        assert!(transfers.try_acquire().is_some());
        permits.clear();
        assert_eq!(transfers.in_use(), 0);
        let all: Vec<_> = std::iter::from_fn(|| transfers.try_acquire()).collect();
        assert_eq!(all.len(), 3);
        let mut rng = oorandom::Rand64::new(6);
        let (transfers, mut permits) = (TransferLimit::new(20), Vec::new());
        for _ in 0..20_000 {
            match rng.rand_range(0..5) {
                0 => transfers.set_limit(rng.rand_range(0..40) as usize),
                1 | 2 => drop(permits.pop()),
                _ => {
                    let before = permits.len();
                    permits.extend(transfers.try_acquire());
                    assert!(permits.len() == before || permits.len() <= transfers.limit());
                }
            }
            assert_eq!(transfers.in_use(), permits.len());
        }
        permits.clear();
        transfers.set_limit(7);
        assert_eq!(std::iter::from_fn(|| transfers.try_acquire()).map(std::mem::forget).count(), 7);
    }

    #[test]
    fn connection_refused_by_the_shared_limit_uses_no_permit_of_the_instance() {
        struct Exhausted;
        impl SharedConnections for Exhausted {
            fn try_acquire(&self, _: SocketAddr) -> Option<Box<dyn Send + Sync>> {
                None
            }
        }
        let budgets = Budgets { shared: Some(Arc::new(Exhausted)), ..Budgets::with_connections(4) };
        assert!(budgets.upstream_permit(([127, 0, 0, 1], 1).into()).is_none());
        assert_eq!(budgets.upstreams.in_use(), 0);
    }
}
