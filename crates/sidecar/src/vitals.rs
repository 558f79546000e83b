//! What can be seen of an instance from outside while it runs: counts, and how far it has come.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Counts of one instance, from its start on. Kept by the instance, read by anyone.
#[derive(Debug, Default)]
pub struct Vitals {
    /// Whether it has a list of upstreams, so that `/up` answers 200.
    pub ready: AtomicBool,
    /// Requests taken: their last byte was read and they were sound.
    pub taken: AtomicU64,
    /// Of these, answered with an upstream's answer.
    pub served: AtomicU64,
    /// Refused: trying again is harmless.
    pub refused: AtomicU64,
    /// Failed: no promise.
    pub failed: AtomicU64,
    /// Those whose client went away before its answer.
    pub left: AtomicU64,
    /// Attempts that went out.
    pub sends: AtomicU64,
    /// The version of the list of upstreams.
    pub seq: AtomicU64,
    /// How many upstreams are listed.
    pub upstreams: AtomicU64,
}

impl Vitals {
    /// Requests without their final answer.
    pub fn open(&self) -> u64 {
        // The ends first: a request that ends in between must not make this negative.
        let ended =
            [&self.served, &self.refused, &self.failed, &self.left].map(|c| c.load(Ordering::Acquire));
        self.taken.load(Ordering::Acquire).saturating_sub(ended.iter().sum())
    }

    /// Counts one more.
    pub fn count(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Release);
    }
}
