//! How long answers usually pause, estimated from gaps after which answers went on. A longer pause is worth
//! noticing, but does not show that an answer has ended. Pure except for the atomic cell; no function reads the
//! time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::request_bound::MAX_SOUND_PAUSE;

/// Smallest estimate. An answer is generated before it is sent, so its bytes follow each other quickly.
const MIN_ESTIMATE: Duration = Duration::from_millis(30);
/// Gap that is assumed before any answer was observed.
const INITIAL_GAP: Duration = Duration::from_millis(75);
/// The estimate is the longest recent gap times this.
const GAP_MULTIPLE: u32 = 2;
/// Each complete answer lowers the longest gap by one part in this many.
const GAP_DECAY_DIVISOR: u64 = 128;

/// The estimate shared by all attempts of an instance.
#[derive(Debug)]
pub struct PauseEstimate {
    /// The longest recent gap after which an answer continued, in microseconds.
    longest_gap_micros: AtomicU64,
}

impl Default for PauseEstimate {
    fn default() -> PauseEstimate {
        PauseEstimate { longest_gap_micros: AtomicU64::new(micros(INITIAL_GAP)) }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl PauseEstimate {
    /// The pause that answers usually do not exceed.
    pub fn longest_usual(&self) -> Duration {
        let longest_gap = Duration::from_micros(self.longest_gap_micros.load(Ordering::Relaxed));
        (longest_gap * GAP_MULTIPLE).clamp(MIN_ESTIMATE, MAX_SOUND_PAUSE)
    }

    /// Records that an answer continued after a gap.
    pub fn record_gap(&self, gap: Duration) {
        self.longest_gap_micros.fetch_max(micros(gap.min(MAX_SOUND_PAUSE)), Ordering::Relaxed);
    }

    /// Records a complete answer.
    pub fn record_complete_answer(&self) {
        let gap = self.longest_gap_micros.load(Ordering::Relaxed);
        // A gap recorded between the load and the store may be lost; others will follow.
        self.longest_gap_micros.store(gap - gap / GAP_DECAY_DIVISOR, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Records answers that each pause once for `gap`. Returns how many of the pauses exceeded the estimate.
    fn unusual_pauses(estimate: &PauseEstimate, answers: usize, gap: Duration) -> usize {
        let mut unusual = 0;
        for _ in 0..answers {
            unusual += usize::from(estimate.longest_usual() < gap);
            estimate.record_gap(gap);
            estimate.record_complete_answer();
        }
        unusual
    }

    #[test]
    fn estimate_falls_while_answers_do_not_pause_and_grows_when_they_do() {
        let estimate = PauseEstimate::default();
        unusual_pauses(&estimate, 2_000, Duration::from_micros(300));
        assert_eq!(estimate.longest_usual(), MIN_ESTIMATE);
        // When servers begin to pause for longer, one pause is enough for the estimate to follow.
        for gap_ms in [400, 1_900] {
            let unusual = unusual_pauses(&estimate, 1_000, Duration::from_millis(gap_ms));
            assert!(unusual <= 1, "{unusual} pauses of {gap_ms} ms");
        }
        unusual_pauses(&estimate, 3_000, Duration::from_micros(300));
        assert_eq!(estimate.longest_usual(), MIN_ESTIMATE, "the estimate falls again");
    }
}
