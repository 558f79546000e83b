//! Limits of the connections and buffers of an instance. The instance's owner sets the limits; a permit is
//! returned when it is dropped.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::resource_limits::{BUFFER_KIB_PER_TRANSFER, TRANSFER_KIB};

const KIB: usize = 1 << 10;
/// Part of a budget that may be used for buffers that their owners can do without.
const SPARE_DIVISOR: usize = 4;
/// A process whose share is smaller than this many long bodies still has the memory for so many, out of its own
/// share of the memory limit: without it no larger answer could be passed on.
const MIN_TRANSFERS_PER_PROCESS: usize = 1;

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
    /// Long bodies for which the memory of the large buffers suffices.
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

/// A semaphore whose limit may change while permits are held.
#[derive(Debug)]
struct ResizableSemaphore {
    semaphore: Arc<Semaphore>,
    limit: AtomicUsize,
    /// Number of held permits above a limit that has shrunk. That many permits are discarded instead of
    /// returned when they are dropped.
    excess: Mutex<usize>,
}

impl ResizableSemaphore {
    fn new(limit: usize) -> Arc<ResizableSemaphore> {
        let limit = limit.min(Semaphore::MAX_PERMITS);
        let semaphore = Arc::new(Semaphore::new(limit));
        Arc::new(ResizableSemaphore { semaphore, limit: AtomicUsize::new(limit), excess: Mutex::new(0) })
    }

    fn try_acquire(self: &Arc<Self>, permits: usize) -> Option<ResizablePermit> {
        let permits = u32::try_from(permits).ok()?;
        let permit = self.semaphore.clone().try_acquire_many_owned(permits).ok()?;
        Some(ResizablePermit { permit: Some(permit), state: self.clone() })
    }

    async fn acquire(self: &Arc<Self>, permits: usize) -> Option<ResizablePermit> {
        let permits = u32::try_from(permits).ok()?;
        // The semaphore is never closed, so that acquiring does not fail.
        let permit = self.semaphore.clone().acquire_many_owned(permits).await.ok()?;
        Some(ResizablePermit { permit: Some(permit), state: self.clone() })
    }

    fn limit(&self) -> usize {
        self.limit.load(Ordering::Relaxed)
    }

    fn in_use(&self) -> usize {
        let excess = *self.excess.lock().unwrap_or_else(PoisonError::into_inner);
        (self.limit() + excess).saturating_sub(self.semaphore.available_permits())
    }

    /// Changes the limit. Held permits above a smaller limit stay valid until they are returned.
    fn set_limit(&self, limit: usize) {
        let limit = limit.min(Semaphore::MAX_PERMITS);
        let mut excess = self.excess.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = self.limit.swap(limit, Ordering::Relaxed);
        // A larger limit first covers held permits above the previous one.
        let added = limit.saturating_sub(previous);
        let covered = added.min(*excess);
        self.semaphore.add_permits(added - covered);
        *excess = *excess - covered + previous.saturating_sub(limit);
        *excess -= self.semaphore.forget_permits(*excess);
    }
}

/// Permits of a [`ResizableSemaphore`]; returned when dropped.
#[derive(Debug)]
struct ResizablePermit {
    permit: Option<OwnedSemaphorePermit>,
    state: Arc<ResizableSemaphore>,
}

impl ResizablePermit {
    fn count(&self) -> usize {
        self.permit.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }

    /// Adds the permits of another one of the same semaphore.
    fn merge(&mut self, mut other: ResizablePermit) {
        if let (Some(permit), Some(other)) = (&mut self.permit, other.permit.take()) {
            permit.merge(other);
        }
    }
}

impl Drop for ResizablePermit {
    fn drop(&mut self) {
        let Some(mut permit) = self.permit.take() else { return };
        let mut excess = self.state.excess.lock().unwrap_or_else(PoisonError::into_inner);
        let discarded = permit.num_permits().min(*excess);
        *excess -= discarded;
        permit.split(discarded).into_iter().for_each(OwnedSemaphorePermit::forget);
    }
}

/// The memory that the large buffers of an instance draw on: those of long bodies that are streamed
/// ([`TRANSFER_KIB`] each), of bodies that are held whole, and of requests that are read ahead. Unlike with a
/// [`Quota`], a permit can be waited for; who waits longest gets the next one.
///
/// Long bodies take seconds, so that a part of the memory is never used for them
/// ([`BUFFER_KIB_PER_TRANSFER`]): short ones would have to wait for them.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    /// One permit for each KiB.
    kib: Arc<ResizableSemaphore>,
    /// One permit for each long body.
    transfers: Arc<ResizableSemaphore>,
}

impl BufferBudget {
    /// Creates a budget for `transfers` long bodies at the same time.
    pub fn new(transfers: usize) -> BufferBudget {
        BufferBudget {
            kib: ResizableSemaphore::new(transfers.saturating_mul(BUFFER_KIB_PER_TRANSFER)),
            transfers: ResizableSemaphore::new(transfers),
        }
    }

    /// Takes the memory for a long body, if it is available.
    pub fn try_acquire_transfer(&self) -> Option<BufferPermit> {
        self.try_extend_to_transfer(None)
    }

    /// Takes the memory for a long body of which the first bytes are held under the permit `held`, if there is
    /// one. `None` if the memory is not available.
    pub fn try_extend_to_transfer(&self, held: Option<BufferPermit>) -> Option<BufferPermit> {
        if held.as_ref().is_some_and(|held| held.transfer.is_some()) {
            return held;
        }
        let transfer = self.transfers.try_acquire(1)?;
        let held_kib = held.as_ref().map_or(0, BufferPermit::kib);
        let mut memory = self.kib.try_acquire(TRANSFER_KIB.saturating_sub(held_kib))?;
        held.into_iter().for_each(|held| memory.merge(held.memory));
        Some(BufferPermit { memory, transfer: Some(transfer) })
    }

    /// Waits for the memory for a long body.
    pub async fn acquire_transfer(&self) -> Option<BufferPermit> {
        let transfer = self.transfers.acquire(1).await?;
        let memory = self.kib.acquire(TRANSFER_KIB).await?;
        Some(BufferPermit { memory, transfer: Some(transfer) })
    }

    /// Waits for the memory for a buffer of this size.
    pub async fn acquire_bytes(&self, bytes: usize) -> Option<BufferPermit> {
        let memory = self.kib.acquire(bytes.div_ceil(KIB)).await?;
        Some(BufferPermit { memory, transfer: None })
    }

    /// Takes the memory for a buffer that its owner can do without. Most of the budget is kept for others.
    pub fn try_acquire_spare_bytes(&self, bytes: usize) -> Option<BufferPermit> {
        let kib = bytes.div_ceil(KIB);
        let limit_kib = self.kib.limit();
        let reserve_kib = limit_kib - limit_kib / SPARE_DIVISOR;
        if self.kib.semaphore.available_permits() < reserve_kib + kib {
            return None;
        }
        Some(BufferPermit { memory: self.kib.try_acquire(kib)?, transfer: None })
    }

    /// How many long bodies the budget is for.
    pub fn limit(&self) -> usize {
        self.transfers.limit()
    }

    /// For how many long bodies the memory is in use, rounded up.
    pub fn in_use(&self) -> usize {
        self.transfers.in_use().max(self.kib.in_use().div_ceil(BUFFER_KIB_PER_TRANSFER))
    }

    /// Changes the limit. Held permits above a smaller limit stay valid until they are returned.
    pub fn set_limit(&self, transfers: usize) {
        self.kib.set_limit(transfers.saturating_mul(BUFFER_KIB_PER_TRANSFER));
        self.transfers.set_limit(transfers);
    }
}

/// Memory of a [`BufferBudget`]; returned when dropped.
#[derive(Debug)]
pub struct BufferPermit {
    memory: ResizablePermit,
    /// Set for a long body.
    transfer: Option<ResizablePermit>,
}

impl BufferPermit {
    /// The size of the memory in KiB.
    pub fn kib(&self) -> usize {
        self.memory.count()
    }

    /// Ties the memory to its buffer: it is returned when the last reference to the bytes is dropped.
    pub fn attach_to(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(PermittedBytes { bytes, _permit: self })
    }
}

/// A buffer together with the permit for its memory.
struct PermittedBytes {
    bytes: Bytes,
    _permit: BufferPermit,
}

impl AsRef<[u8]> for PermittedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
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
    /// Memory of the large buffers, in both directions.
    pub buffers: BufferBudget,
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
            buffers: BufferBudget::new(transfers),
            shared: None,
        }
    }

    /// The limits.
    pub fn limits(&self) -> ResourceCounts {
        ResourceCounts {
            clients: self.clients.limit(),
            upstreams: self.upstreams.limit(),
            transfers: self.buffers.limit(),
        }
    }

    /// The numbers in use.
    pub fn in_use(&self) -> ResourceCounts {
        ResourceCounts {
            clients: self.clients.in_use(),
            upstreams: self.upstreams.in_use(),
            transfers: self.buffers.in_use(),
        }
    }

    /// Changes the limits.
    pub fn set_limits(&self, limits: ResourceCounts) {
        self.clients.set_limit(limits.clients);
        self.upstreams.set_limit(limits.upstreams);
        self.buffers.set_limit(limits.transfers.max(MIN_TRANSFERS_PER_PROCESS));
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
        let transfers = BufferBudget::new(4);
        let mut permits: Vec<_> = (0..3).filter_map(|_| transfers.try_acquire_transfer()).collect();
        transfers.set_limit(1);
        assert_eq!((transfers.in_use(), transfers.limit()), (3, 1));
        permits.pop();
        assert!(transfers.try_acquire_transfer().is_none(), "two permits are held, and the limit is one");
        transfers.set_limit(3);
        assert!(transfers.try_acquire_transfer().is_some());
        permits.clear();
        assert_eq!(transfers.in_use(), 0);
        let all: Vec<_> = std::iter::from_fn(|| transfers.try_acquire_transfer()).collect();
        assert_eq!(all.len(), 3);
        let mut rng = oorandom::Rand64::new(6);
        let (transfers, mut permits) = (BufferBudget::new(20), Vec::new());
        for _ in 0..20_000 {
            match rng.rand_range(0..5) {
                0 => transfers.set_limit(rng.rand_range(0..40) as usize),
                1 | 2 => drop(permits.pop()),
                _ => {
                    let before = permits.len();
                    permits.extend(transfers.try_acquire_transfer());
                    assert!(permits.len() == before || permits.len() <= transfers.limit());
                }
            }
            assert_eq!(transfers.in_use(), permits.len());
        }
        permits.clear();
        transfers.set_limit(7);
        assert_eq!(std::iter::from_fn(|| transfers.try_acquire_transfer()).map(std::mem::forget).count(), 7);
    }

    /// Guards the memory limit against buffers that outlive their permits.
    #[tokio::test]
    async fn memory_of_a_buffer_is_returned_with_the_last_reference_to_its_bytes() {
        let budget = BufferBudget::new(1);
        let permit = budget.acquire_bytes(100 * KIB).await.expect("memory");
        let bytes = permit.attach_to(Bytes::from(vec![7; 100 * KIB]));
        assert!(budget.try_acquire_transfer().is_none());
        let part = bytes.slice(5..9);
        drop(bytes);
        assert!(budget.try_acquire_transfer().is_none(), "a part of the buffer is still in use");
        drop(part);
        assert!(budget.try_acquire_transfer().is_some());
    }

    #[tokio::test]
    async fn memory_of_the_first_bytes_counts_towards_that_of_their_long_body() {
        let budget = BufferBudget::new(2);
        let held = budget.acquire_bytes(96 * KIB).await;
        let permit = budget.try_extend_to_transfer(held).expect("memory");
        assert_eq!((permit.kib(), budget.in_use()), (TRANSFER_KIB, 1));
        assert!(budget.try_extend_to_transfer(None).is_some());
    }

    #[tokio::test]
    async fn spare_memory_leaves_most_of_the_budget_to_others() {
        let budget = BufferBudget::new(4);
        let spare: Vec<_> = std::iter::from_fn(|| budget.try_acquire_spare_bytes(64 * KIB)).collect();
        assert_eq!(spare.len(), 2);
        assert!((0..3).map(|_| budget.try_acquire_transfer()).all(|permit| permit.is_some()));
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
