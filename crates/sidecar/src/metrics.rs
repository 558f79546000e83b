//! Metrics of a running instance: its readiness, and counters.
//!
//! The driver counts requests and their outcomes and updates the figures of the host list; connections to
//! upstreams count written attempts and unheld answers. Any thread may read them.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use sagemast_decide::api::ClassId;

/// Metrics of one instance since its start.
#[derive(Debug)]
pub struct Metrics {
    /// Whether the instance has a host list, so that `/up` answers 200.
    pub ready: AtomicBool,
    /// Indexed by class id.
    classes: Box<[ClassMetrics]>,
    /// Attempts whose request was written to its last byte.
    pub attempts_written: AtomicU64,
    /// Answers of unknown length that were streamed to the client because there was no buffer space to hold
    /// them.
    pub unheld_answers: AtomicU64,
    /// Version of the host list.
    pub host_list_version: AtomicU64,
    /// Number of upstreams in the host list.
    pub listed_upstreams: AtomicU64,
    /// Number of listed upstreams that are avoided because they are ejected or draining.
    pub avoided_upstreams: AtomicU64,
}

/// Counters of one class.
#[derive(Debug)]
pub struct ClassMetrics {
    /// Name of the class.
    pub name: Box<str>,
    /// Accepted requests: they were read to their last byte, they are valid, and their id is not that of an
    /// open request.
    pub accepted: AtomicU64,
    /// Accepted requests that were answered with an upstream's answer.
    pub served: AtomicU64,
    /// Refused requests: they were not executed, and the client may retry them.
    pub refused: AtomicU64,
    /// Failed requests: they may have been executed.
    pub failed: AtomicU64,
    /// Requests whose client disconnected before its answer.
    pub disconnected: AtomicU64,
}

/// How a request has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered with an upstream's answer.
    Served,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// The client disconnected before its answer.
    ClientDisconnected,
}

/// Counts of one class, or of all classes, at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Accepted requests.
    pub accepted: u64,
    /// See [`ClassMetrics`].
    pub served: u64,
    /// See [`ClassMetrics`].
    pub refused: u64,
    /// See [`ClassMetrics`].
    pub failed: u64,
    /// See [`ClassMetrics`].
    pub disconnected: u64,
}

impl Counts {
    /// Number of accepted requests without a final answer.
    pub fn open(&self) -> u64 {
        self.accepted.saturating_sub(self.served + self.refused + self.failed + self.disconnected)
    }
}

impl Metrics {
    /// Creates metrics for classes with these names, all at zero.
    pub fn new<'a>(names: impl Iterator<Item = &'a str>) -> Metrics {
        let zero = || AtomicU64::new(0);
        let classes = names.map(|name| ClassMetrics {
            name: name.into(),
            accepted: zero(),
            served: zero(),
            refused: zero(),
            failed: zero(),
            disconnected: zero(),
        });
        Metrics {
            ready: AtomicBool::new(false),
            classes: classes.collect(),
            attempts_written: zero(),
            unheld_answers: zero(),
            host_list_version: zero(),
            listed_upstreams: zero(),
            avoided_upstreams: zero(),
        }
    }

    /// Counts an accepted request.
    pub fn count_accepted(&self, class: ClassId) {
        if let Some(class) = self.classes.get(class.0) {
            class.accepted.fetch_add(1, Ordering::Release);
        }
    }

    /// Counts the outcome of an accepted request.
    pub fn count_outcome(&self, class: ClassId, outcome: RequestOutcome) {
        let Some(class) = self.classes.get(class.0) else { return };
        let counter = match outcome {
            RequestOutcome::Served => &class.served,
            RequestOutcome::Refused => &class.refused,
            RequestOutcome::Failed => &class.failed,
            RequestOutcome::ClientDisconnected => &class.disconnected,
        };
        counter.fetch_add(1, Ordering::Release);
    }

    /// The counts of each class. They are read one after another, not as one snapshot.
    pub fn classes(&self) -> impl Iterator<Item = (&str, Counts)> {
        self.classes.iter().map(|class| (&*class.name, class.counts()))
    }

    /// The sums over all classes.
    pub fn totals(&self) -> Counts {
        self.classes.iter().map(ClassMetrics::counts).fold(Counts::default(), |sum, class| Counts {
            accepted: sum.accepted + class.accepted,
            served: sum.served + class.served,
            refused: sum.refused + class.refused,
            failed: sum.failed + class.failed,
            disconnected: sum.disconnected + class.disconnected,
        })
    }
}

impl ClassMetrics {
    fn counts(&self) -> Counts {
        // Outcomes are read first: a request that ends in between must not make the number of open requests
        // negative.
        let [served, refused, failed, disconnected] =
            [&self.served, &self.refused, &self.failed, &self.disconnected]
                .map(|counter| counter.load(Ordering::Acquire));
        Counts { accepted: self.accepted.load(Ordering::Acquire), served, refused, failed, disconnected }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn accepted_requests_are_never_fewer_than_ended_ones_while_counting() {
        let metrics = Metrics::new(["a", "b"].into_iter());
        std::thread::scope(|threads| {
            threads.spawn(|| {
                let mut rng = oorandom::Rand64::new(1);
                for _ in 0..50_000 {
                    let class = ClassId(rng.rand_range(0..3) as usize);
                    metrics.count_accepted(class);
                    let outcomes = [
                        RequestOutcome::Served,
                        RequestOutcome::Refused,
                        RequestOutcome::Failed,
                        RequestOutcome::ClientDisconnected,
                    ];
                    metrics.count_outcome(class, outcomes[rng.rand_range(0..4) as usize]);
                }
            });
            threads.spawn(|| {
                for _ in 0..20_000 {
                    let Counts { accepted, served, refused, failed, disconnected } = metrics.totals();
                    let ended = served + refused + failed + disconnected;
                    assert!(accepted >= ended, "{accepted} accepted, {ended} ended");
                }
            });
        });
        let names: Vec<&str> = metrics.classes().map(|(name, _)| name).collect();
        assert_eq!((names, metrics.totals().open()), (vec!["a", "b"], 0));
    }
}
