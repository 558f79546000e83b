//! What a warm server carries, by the utilisation law: throughput over utilisation is capacity (Denning and Buzen 1978).
//!
//! A server's own report bounds its capacity from above only. While its queue grows, in flight runs ahead of the utilisation,
//! which is a mean over the past: a server of two cores then looks like one of a hundred. What all warm servers together
//! answer has no queue in it, whatever they report. Each sidecar counts only its own answers, so all their parts of an
//! allowance together follow what is answered in all, however unequal their traffic is. Pure: time is an argument.

use crate::api::Millis;

/// Answers fade over this time: long enough for a sidecar with little traffic to have some.
const SPAN: Millis = 2_000.0;
/// Fewer ends of attempts than this say nothing yet.
const EVIDENCE: f64 = 1.0;
/// Less than this share of its time no server is taken to be busy: it would be divided by.
const LEAST_USED: f64 = 0.1;
/// How often the warm servers are counted.
const REVIEW: Millis = 250.0;
/// No server is smaller than one core.
const LEAST_CAPACITY: f64 = 1.0;

/// All warm servers, whether or not this sidecar sends to them: each sidecar sends to some, all together to all.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct WarmServers {
    /// The sum of their listed weights.
    pub weight: f64,
    /// The mean of what they report, or 1 where they report none.
    pub utilisation: f64,
}

/// The work that warm servers have done for this sidecar of late.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ObservedCapacity {
    /// Milliseconds of work that was answered, and how many attempts ended, faded as of then.
    answered: Millis,
    ended: f64,
    at: Millis,
    warm: WarmServers,
    reviewed_at: Millis,
}

impl Default for ObservedCapacity {
    fn default() -> ObservedCapacity {
        let warm = WarmServers { weight: 0.0, utilisation: 1.0 };
        ObservedCapacity { answered: 0.0, ended: 0.0, at: 0.0, warm, reviewed_at: f64::NEG_INFINITY }
    }
}

impl ObservedCapacity {
    /// An attempt at a warm server has ended, with so much work answered.
    pub fn record_attempt(&mut self, now: Millis, work: Millis) {
        let kept = self.kept(now);
        self.answered = self.answered * kept + work;
        self.ended = self.ended * kept + 1.0;
        self.at = now;
    }

    /// Whether the warm servers are to be counted anew.
    pub fn is_review_due(&self, now: Millis) -> bool {
        now >= self.reviewed_at + REVIEW
    }

    /// Takes in the count of the warm servers. Their utilisation is averaged over the time that their answers are: when
    /// load falls at once, one that is of the moment beside a throughput that is not would make them look large.
    pub fn review(&mut self, now: Millis, warm: WarmServers) {
        let kept = (-(now - self.reviewed_at).max(0.0) / SPAN).exp();
        let utilisation = warm.utilisation + kept * (self.warm.utilisation - warm.utilisation);
        (self.warm, self.reviewed_at) = (WarmServers { utilisation, ..warm }, now);
    }

    /// The capacity in cores of a server of this listed weight, where so many sidecars like this one use the servers; `None`
    /// while too little is known.
    pub fn capacity(&self, now: Millis, weight: f64, sidecars: f64) -> Option<f64> {
        let kept = self.kept(now);
        if self.warm.weight <= 0.0 || self.ended * kept < EVIDENCE {
            return None;
        }
        let throughput = self.answered * kept / SPAN * sidecars * weight / self.warm.weight;
        Some((throughput / self.warm.utilisation.clamp(LEAST_USED, 1.0)).max(LEAST_CAPACITY))
    }

    /// The share of what was counted that still counts.
    fn kept(&self, now: Millis) -> f64 {
        (-(now - self.at).max(0.0) / SPAN).exp()
    }
}
