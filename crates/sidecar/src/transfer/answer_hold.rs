//! How long an answer that states no length is held back before it is passed on as it comes. While nothing of it was passed
//! on, another attempt can still replace it. A short one is of use only when it is whole, so it is held until it is; the first
//! bytes of a long one are what its client waits for. Which of them it is shows only at its end, so it is estimated from those
//! before. Pure but for the cell of the estimate; times are arguments.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use super::limits::MIN_BODY_BYTES_PER_SECOND;

/// Every answer of unknown length is held for this long, in the memory that its connection has in any case.
pub const MIN_HOLD: Duration = Duration::from_millis(100);
/// None is held for longer: to hold a long answer back for 2 s is to lose it.
const MAX_HOLD: Duration = Duration::from_millis(1_500);
/// A hold ends this much before the moment that it must not miss, for the turn in which the answer is passed on.
const HOLD_MARGIN: Duration = Duration::from_millis(10);
/// An answer that has brought nothing for so many times its longest gap may have stopped.
const GAPS_ALLOWED: u32 = 2;
/// Weight of one answer in the share of long ones.
const WEIGHT: f64 = 1.0 / 16.0;
/// From this share on, an answer of unknown length is expected to be long. One long answer among some ten is enough: what it
/// costs to be wrong is an answer that comes late.
const LONG_EXPECTED_FROM: f64 = 1.0 / 32.0;
/// The share is kept in this unit.
const SHARE_UNIT: f64 = 1.0 / 65_536.0;

/// The times that bound a hold.
#[derive(Debug, Clone, Copy)]
pub struct HoldTimes {
    /// When the head of the answer came.
    pub head_at: Instant,
    /// By when its client should have the answer.
    pub aim_at: Instant,
    /// When the attempt times out.
    pub attempt_times_out_at: Instant,
}

/// Until when an answer of unknown length is held, if there is memory for that.
pub fn hold_until(times: HoldTimes, long_expected: bool) -> Instant {
    let HoldTimes { head_at, aim_at, attempt_times_out_at: attempt_until } = times;
    let before = |moment: Instant| moment.checked_sub(HOLD_MARGIN).unwrap_or(head_at);
    let most = before(attempt_until).min(head_at + MAX_HOLD);
    let wanted = if long_expected { before(aim_at).min(most) } else { most };
    wanted.max(head_at + MIN_HOLD)
}

/// At which pace the pieces of one answer come.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    head_at: Instant,
    last_at: Instant,
    bytes: u64,
    longest_gap: Option<Duration>,
}

impl Pace {
    /// Of an answer whose head came then.
    pub fn new(head_at: Instant) -> Pace {
        Pace { head_at, last_at: head_at, bytes: 0, longest_gap: None }
    }

    /// A piece of its body has come.
    pub fn record_piece(&mut self, now: Instant, bytes: usize) {
        self.bytes += bytes as u64;
        let gap = now.saturating_duration_since(self.last_at);
        self.longest_gap = Some(self.longest_gap.map_or(gap, |longest| longest.max(gap)));
        self.last_at = now;
    }

    /// Whether more is to be expected, going by the gaps so far. One that came at once with its head and no further may have
    /// stopped.
    pub fn is_progressing(&self, now: Instant) -> bool {
        let silent_for = now.saturating_duration_since(self.last_at);
        self.longest_gap.is_some_and(|longest| silent_for <= longest * GAPS_ALLOWED)
    }

    /// Whether it comes as fast as long answers do, one pause apart. One that dribbles is short, or of no use to anyone.
    pub fn may_be_long(&self, now: Instant) -> bool {
        let pause = self.longest_gap.unwrap_or_default();
        let coming_for = now.saturating_duration_since(self.head_at).saturating_sub(pause);
        self.bytes as f64 >= MIN_BODY_BYTES_PER_SECOND as f64 * coming_for.as_secs_f64()
    }
}

/// What the answers of unknown length turned out to be, shared by all attempts of an instance. Those that were whole within
/// [`SHORT_HOLD`] do not count.
#[derive(Debug, Default)]
pub struct AnswerLengths {
    /// The running share of long ones, in [`SHARE_UNIT`].
    long_share: AtomicU32,
}

impl AnswerLengths {
    /// Whether the next one is expected to be long.
    pub fn long_expected(&self) -> bool {
        self.share() >= LONG_EXPECTED_FROM
    }

    /// One has turned out to be long, or short.
    pub fn record(&self, is_long: bool) {
        let seen = f64::from(u8::from(is_long));
        let share = self.share() + WEIGHT * (seen - self.share());
        // What is told at the same moment may be lost; others will come.
        self.long_share.store((share / SHARE_UNIT) as u32, Ordering::Relaxed);
    }

    fn share(&self) -> f64 {
        f64::from(self.long_share.load(Ordering::Relaxed)) * SHARE_UNIT
    }
}

#[cfg(test)]
mod tests;
