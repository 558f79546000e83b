//! Capacity of warmed-up servers by the utilisation law: throughput over utilisation (Denning and Buzen
//! 1978).
//!
//! A server's own report bounds its capacity from above only. While its queue grows, its requests in flight
//! run ahead of its utilisation, which is a mean over the past, and a server of two cores then looks like one
//! of a hundred. The throughput of all warmed-up servers together contains no queue. Each sidecar counts only
//! its own answers, so that the sidecars' shares of an allowance together follow the total throughput,
//! however unequal their traffic is. The time is an argument; no clock is read.

use crate::api::Millis;

/// Answers decay over this time. It is long enough for a sidecar with little traffic to have some.
const DECAY_TIME: Millis = 2_000.0;
/// Decayed number of finished attempts below which no capacity is estimated.
const MIN_ATTEMPTS: f64 = 1.0;
/// Lower bound of the mean utilisation, since the throughput is divided by it.
const MIN_UTILISATION: f64 = 0.1;
/// Interval at which the warmed-up servers are counted.
const REVIEW_INTERVAL: Millis = 250.0;
const MIN_CAPACITY_CORES: f64 = 1.0;

/// All warmed-up servers, members or not: each sidecar sends to some of them, all sidecars together to all.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct WarmedUpServers {
    /// Sum of their listed weights.
    pub weight: f64,
    /// Mean of their reported utilisation, or 1 without reports.
    pub utilisation: f64,
}

/// The recent work of warmed-up servers for this sidecar.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ObservedCapacity {
    /// Answered work and number of finished attempts, decayed as of `updated_at`.
    answered_work: Millis,
    finished_attempts: f64,
    updated_at: Millis,
    warmed_up_servers: WarmedUpServers,
    reviewed_at: Millis,
}

impl Default for ObservedCapacity {
    fn default() -> ObservedCapacity {
        ObservedCapacity {
            answered_work: 0.0,
            finished_attempts: 0.0,
            updated_at: 0.0,
            warmed_up_servers: WarmedUpServers { weight: 0.0, utilisation: 1.0 },
            reviewed_at: f64::NEG_INFINITY,
        }
    }
}

impl ObservedCapacity {
    /// Counts a finished attempt at a warmed-up server; `work` is 0 if it was not answered.
    pub fn record_attempt(&mut self, now: Millis, work: Millis) {
        let kept = self.remaining_share(now);
        self.answered_work = self.answered_work * kept + work;
        self.finished_attempts = self.finished_attempts * kept + 1.0;
        self.updated_at = now;
    }

    /// Whether the warmed-up servers are to be counted again.
    pub fn is_review_due(&self, now: Millis) -> bool {
        now >= self.reviewed_at + REVIEW_INTERVAL
    }

    /// Takes over a count of the warmed-up servers. Their utilisation is averaged over the same time as the
    /// answers: a current utilisation beside a past throughput would make servers look large whenever load
    /// falls suddenly.
    pub fn review(&mut self, now: Millis, warmed_up_servers: WarmedUpServers) {
        let kept = (-(now - self.reviewed_at).max(0.0) / DECAY_TIME).exp();
        let utilisation = warmed_up_servers.utilisation
            + kept * (self.warmed_up_servers.utilisation - warmed_up_servers.utilisation);
        (self.warmed_up_servers, self.reviewed_at) =
            (WarmedUpServers { utilisation, ..warmed_up_servers }, now);
    }

    /// Capacity in cores of a server of this listed weight, if `sidecars` sidecars with the same traffic use
    /// the servers; `None` without enough recent attempts.
    pub fn capacity(&self, now: Millis, weight: f64, sidecars: f64) -> Option<f64> {
        let kept = self.remaining_share(now);
        if self.warmed_up_servers.weight <= 0.0 || self.finished_attempts * kept < MIN_ATTEMPTS {
            return None;
        }
        let throughput =
            self.answered_work * kept / DECAY_TIME * sidecars * weight / self.warmed_up_servers.weight;
        let utilisation = self.warmed_up_servers.utilisation.clamp(MIN_UTILISATION, 1.0);
        Some((throughput / utilisation).max(MIN_CAPACITY_CORES))
    }

    /// The share of past counts that has not decayed.
    fn remaining_share(&self, now: Millis) -> f64 {
        (-(now - self.updated_at).max(0.0) / DECAY_TIME).exp()
    }
}
