//! Ids whose requests have ended without an answer but may have run. Pure: times are arguments.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::IdDigest;

/// How long an id is kept at least, unless more than [`MAX_IDS_PER_GENERATION`] are added meanwhile.
pub const MIN_RETENTION: Duration = Duration::from_secs(60);
/// Most ids of one generation. Two generations are kept, of 9 to 18 bytes an id.
pub const MAX_IDS_PER_GENERATION: usize = 16_384;

/// A set of ids in two generations. The older generation is dropped as a whole, so that no id needs a timer.
#[derive(Debug)]
pub struct RecentIds {
    current: HashSet<IdDigest>,
    previous: HashSet<IdDigest>,
    current_since: Instant,
}

impl RecentIds {
    /// An empty set.
    pub fn new(now: Instant) -> RecentIds {
        RecentIds { current: HashSet::new(), previous: HashSet::new(), current_since: now }
    }

    /// Adds an id.
    pub fn insert(&mut self, now: Instant, id: IdDigest) {
        self.begin_generation_if_due(now);
        self.current.insert(id);
    }

    /// Whether the id is in the set.
    pub fn contains(&self, id: IdDigest) -> bool {
        self.current.contains(&id) || self.previous.contains(&id)
    }

    /// All ids of the set.
    pub fn iter(&self) -> impl Iterator<Item = IdDigest> + '_ {
        self.current.iter().chain(&self.previous).copied()
    }

    fn begin_generation_if_due(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.current_since);
        if age >= MIN_RETENTION || self.current.len() >= MAX_IDS_PER_GENERATION {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn id_is_kept_for_the_retention_and_dropped_after_twice_that() {
        let start = Instant::now();
        let mut ids = RecentIds::new(start);
        ids.insert(start, IdDigest(1));
        let mut last_kept = Duration::ZERO;
        for second in 1..=150u64 {
            let age = Duration::from_secs(second);
            ids.insert(start + age, IdDigest(1_000 + second));
            if ids.contains(IdDigest(1)) {
                last_kept = age;
            }
        }
        assert!(last_kept >= MIN_RETENTION, "{last_kept:?}");
        assert!(last_kept < MIN_RETENTION * 2, "{last_kept:?}");
    }

    #[test]
    fn number_of_ids_is_bounded() {
        let start = Instant::now();
        let mut ids = RecentIds::new(start);
        for id in 0..5 * MAX_IDS_PER_GENERATION as u64 {
            ids.insert(start, IdDigest(id));
            assert!(id < 1_000 || ids.contains(IdDigest(id - 1_000)), "recent ids are kept");
        }
        assert!(ids.iter().count() <= 2 * MAX_IDS_PER_GENERATION);
    }
}
