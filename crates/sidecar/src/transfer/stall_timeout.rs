//! How long an answer that has begun may bring nothing before it is taken to have ended unwhole. Learnt from the gaps in
//! those that went on. Pure but for its cells: what is told changes it, and it is told nothing of the time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Never less: it is made before it is sent, and its bytes follow each other.
const LEAST: Duration = Duration::from_millis(30);
/// Never more, and what is waited in order to learn: honest servers pause for up to 2 s.
pub const MOST: Duration = Duration::from_millis(2_100);
/// Before anything is known.
const FIRST: Duration = Duration::from_millis(75);
/// As many times the longest gap of late.
const TIMES: u32 = 2;
/// One answer in so many is waited for as long as any, whatever was learnt: else patience could never grow again.
const TRY_OUT: u64 = 8;
/// With each whole answer what was learnt fades by this share.
const FADE: u64 = 128;

/// What was learnt, shared by all attempts of an instance.
#[derive(Debug)]
pub struct StallTimeout {
    /// The longest gap of late that went on, in microseconds.
    gap: AtomicU64,
    asked: AtomicU64,
}

impl Default for StallTimeout {
    fn default() -> StallTimeout {
        StallTimeout { gap: AtomicU64::new(micros(FIRST)), asked: AtomicU64::new(0) }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl StallTimeout {
    /// How long the next answer that stops is waited for.
    pub fn limit(&self) -> Duration {
        if self.asked.fetch_add(1, Ordering::Relaxed) % TRY_OUT == TRY_OUT - 1 {
            return MOST;
        }
        self.learnt()
    }

    /// What was learnt of how long answers pause, without trying out whether it is still true.
    pub fn learnt(&self) -> Duration {
        (Duration::from_micros(self.gap.load(Ordering::Relaxed)) * TIMES).clamp(LEAST, MOST)
    }

    /// An answer went on after it had brought nothing for this long.
    pub fn went_on(&self, gap: Duration) {
        self.gap.fetch_max(micros(gap.min(MOST)), Ordering::Relaxed);
    }

    /// An answer came whole.
    pub fn whole(&self) {
        let gap = self.gap.load(Ordering::Relaxed);
        // A gap that is told meanwhile may be lost; another will come.
        self.gap.store(gap - gap / FADE, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The limits of so many answers, of which each went on after this gap if it was waited for that long.
    fn after(patience: &StallTimeout, answers: usize, gap: Duration) -> usize {
        let mut cut = 0;
        for _ in 0..answers {
            if patience.limit() < gap {
                cut += 1;
                continue;
            }
            patience.went_on(gap);
            patience.whole();
        }
        cut
    }

    #[test]
    fn it_falls_where_answers_do_not_pause_and_grows_where_they_do() {
        let patience = StallTimeout::default();
        after(&patience, 2_000, Duration::from_micros(300));
        let limits: Vec<Duration> = (0..8).map(|_| patience.limit()).collect();
        assert_eq!(limits.iter().filter(|limit| **limit == LEAST).count(), 7);
        assert_eq!(limits.iter().filter(|limit| **limit == MOST).count(), 1);
        // Servers begin to pause for longer than it waits: few are cut before it knows.
        let cut = after(&patience, 1_000, Duration::from_millis(400));
        assert!(cut <= 8, "{cut} answers were cut");
        let cut = after(&patience, 1_000, Duration::from_millis(1_900));
        assert!(cut <= 8, "{cut} answers were cut");
        after(&patience, 3_000, Duration::from_micros(300));
        assert!((0..8).filter(|_| patience.limit() == LEAST).count() == 7, "and it falls again");
    }
}
