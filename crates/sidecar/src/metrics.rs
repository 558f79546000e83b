//! What can be seen of an instance from outside while it runs: counts, and how far it has come.
//!
//! The driver alone counts, where it takes a request, ends it, and hears of its attempts; anyone may read.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use sagemast_decide::api::ClassId;

/// Counts of one instance, from its start on.
#[derive(Debug)]
pub struct Metrics {
    /// Whether it has a list of upstreams, so that `/up` answers 200.
    pub ready: AtomicBool,
    /// By class.
    classes: Box<[ClassMetrics]>,
    /// Attempts whose last byte was written.
    pub sends: AtomicU64,
    /// Answers of unknown length that were passed on as they came, since there was no room to hold them.
    pub unheld_answers: AtomicU64,
    /// The version of the list of upstreams.
    pub seq: AtomicU64,
    /// How many upstreams are listed.
    pub upstreams: AtomicU64,
    /// How many of them are avoided: ejected, or leaving.
    pub skipped: AtomicU64,
}

/// Counts of one class.
#[derive(Debug)]
pub struct ClassMetrics {
    /// Its name.
    pub name: Box<str>,
    /// Requests taken: their last byte was read, they were sound, and their id was not that of an open one.
    pub taken: AtomicU64,
    /// Of these, answered with an upstream's answer.
    pub served: AtomicU64,
    /// Refused: trying again is harmless.
    pub refused: AtomicU64,
    /// Failed: no promise.
    pub failed: AtomicU64,
    /// Those whose client went away before its answer.
    pub left: AtomicU64,
}

/// What a request came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An upstream's answer.
    Served,
    /// A refusal.
    Refused,
    /// A failure.
    Failed,
    /// Its client left first.
    Left,
}

/// The counts of one class, or of all, at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests taken.
    pub taken: u64,
    /// See [`ClassMetrics`].
    pub served: u64,
    /// See [`ClassMetrics`].
    pub refused: u64,
    /// See [`ClassMetrics`].
    pub failed: u64,
    /// See [`ClassMetrics`].
    pub left: u64,
}

impl Counts {
    /// Requests without their final answer.
    pub fn open(&self) -> u64 {
        self.taken.saturating_sub(self.served + self.refused + self.failed + self.left)
    }
}

impl Metrics {
    /// Nothing yet, of classes with these names.
    pub fn new<'a>(names: impl Iterator<Item = &'a str>) -> Metrics {
        let zero = || AtomicU64::new(0);
        let classes = names.map(|name| ClassMetrics {
            name: name.into(),
            taken: zero(),
            served: zero(),
            refused: zero(),
            failed: zero(),
            left: zero(),
        });
        Metrics {
            ready: AtomicBool::new(false),
            classes: classes.collect(),
            sends: zero(),
            unheld_answers: zero(),
            seq: zero(),
            upstreams: zero(),
            skipped: zero(),
        }
    }

    /// Counts a request that was taken.
    pub fn taken(&self, class: ClassId) {
        if let Some(class) = self.classes.get(class.0) {
            class.taken.fetch_add(1, Ordering::Release);
        }
    }

    /// Counts what one came to.
    pub fn ended(&self, class: ClassId, came: RequestOutcome) {
        let Some(class) = self.classes.get(class.0) else { return };
        let counter = match came {
            RequestOutcome::Served => &class.served,
            RequestOutcome::Refused => &class.refused,
            RequestOutcome::Failed => &class.failed,
            RequestOutcome::Left => &class.left,
        };
        counter.fetch_add(1, Ordering::Release);
    }

    /// The counts by class, each true by itself.
    pub fn classes(&self) -> impl Iterator<Item = (&str, Counts)> {
        self.classes.iter().map(|class| (&*class.name, class.counts()))
    }

    /// The counts of all classes together.
    pub fn all(&self) -> Counts {
        self.classes.iter().map(ClassMetrics::counts).fold(Counts::default(), |sum, one| Counts {
            taken: sum.taken + one.taken,
            served: sum.served + one.served,
            refused: sum.refused + one.refused,
            failed: sum.failed + one.failed,
            left: sum.left + one.left,
        })
    }
}

impl ClassMetrics {
    fn counts(&self) -> Counts {
        // The ends first: a request that ends in between must not make what is open negative.
        let [served, refused, failed, left] =
            [&self.served, &self.refused, &self.failed, &self.left].map(|c| c.load(Ordering::Acquire));
        Counts { taken: self.taken.load(Ordering::Acquire), served, refused, failed, left }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_taken_is_what_came_of_it_and_what_is_open_at_every_moment() {
        let metrics = Metrics::new(["a", "b"].into_iter());
        std::thread::scope(|threads| {
            threads.spawn(|| {
                let mut rng = oorandom::Rand64::new(1);
                for _ in 0..50_000 {
                    let class = ClassId(rng.rand_range(0..3) as usize);
                    metrics.taken(class);
                    let came = [
                        RequestOutcome::Served,
                        RequestOutcome::Refused,
                        RequestOutcome::Failed,
                        RequestOutcome::Left,
                    ];
                    metrics.ended(class, came[rng.rand_range(0..4) as usize]);
                }
            });
            threads.spawn(|| {
                for _ in 0..20_000 {
                    let Counts { taken, served, refused, failed, left } = metrics.all();
                    let ended = served + refused + failed + left;
                    assert!(taken >= ended, "{taken} taken, {ended} ended");
                }
            });
        });
        let names: Vec<&str> = metrics.classes().map(|(name, _)| name).collect();
        assert_eq!((names, metrics.all().open()), (vec!["a", "b"], 0));
    }
}
