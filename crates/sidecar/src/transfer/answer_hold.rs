//! How long an answer without a stated length is held back before it is streamed. While nothing of it has
//! been forwarded, another attempt can still replace it. A short answer is of use only when it is complete,
//! so it is held until then; the client of a long answer waits for its first bytes. Whether an answer is long
//! is known only at its end, and is therefore estimated from earlier answers. Pure except for the atomic cell
//! of the estimate; times are arguments.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Every answer of unknown length is held for this long, in the buffer that its connection has in any case.
pub const MIN_HOLD: Duration = Duration::from_millis(100);
/// Longest hold: a long answer that is held back for 2 s counts as lost.
pub const MAX_HOLD: Duration = Duration::from_millis(1_500);
/// A hold ends this much before the deadline that it must meet, so that the answer can be forwarded in time.
const HOLD_MARGIN: Duration = Duration::from_millis(10);
/// Weight of one answer in the moving average of the share of long answers.
const LONG_SHARE_WEIGHT: f64 = 1.0 / 16.0;
/// From this share of long answers on, an answer of unknown length is expected to be long. About one long
/// answer in ten is enough, since a wrong guess only makes an answer late.
const MIN_SHARE_TO_EXPECT_LONG: f64 = 1.0 / 32.0;
/// From this share of long answers on, an answer of unknown length is more likely to be long than short.
const MIN_SHARE_FOR_LONG_TO_BE_LIKELY: f64 = 0.5;
/// Unit in which the share of long answers is stored.
const SHARE_UNIT: f64 = 1.0 / 65_536.0;

/// The times that bound a hold.
#[derive(Debug, Clone, Copy)]
pub struct HoldTimes {
    /// When the head of the answer was received.
    pub head_at: Instant,
    /// When the client should have the answer, for its full worth.
    pub aim_at: Instant,
    /// When the attempt times out.
    pub attempt_times_out_at: Instant,
}

/// Until when an answer of unknown length is held, if there is capacity to buffer it.
pub fn hold_until(times: HoldTimes, long_expected: bool) -> Instant {
    let HoldTimes { head_at, aim_at, attempt_times_out_at } = times;
    let less_margin = |deadline: Instant| deadline.checked_sub(HOLD_MARGIN).unwrap_or(head_at);
    let latest = less_margin(attempt_times_out_at).min(head_at + MAX_HOLD);
    let preferred = if long_expected { less_margin(aim_at).min(latest) } else { latest };
    preferred.max(head_at + MIN_HOLD)
}

/// Estimates whether answers of unknown length are long; shared by all attempts of an instance. Answers that
/// were complete within [`MIN_HOLD`] are not recorded.
#[derive(Debug, Default)]
pub struct AnswerLengths {
    /// Moving average of the share of long answers, in [`SHARE_UNIT`].
    long_share: AtomicU32,
}

impl AnswerLengths {
    /// Whether the next answer is expected to be long.
    pub fn long_expected(&self) -> bool {
        self.share() >= MIN_SHARE_TO_EXPECT_LONG
    }

    /// Whether the next answer is more likely to be long than short.
    pub fn long_is_likely(&self) -> bool {
        self.share() >= MIN_SHARE_FOR_LONG_TO_BE_LIKELY
    }

    /// Records whether an answer turned out to be long.
    pub fn record(&self, is_long: bool) {
        let observed = f64::from(u8::from(is_long));
        let share = self.share() + LONG_SHARE_WEIGHT * (observed - self.share());
        // An answer recorded at the same moment may be lost; others will follow.
        self.long_share.store((share / SHARE_UNIT) as u32, Ordering::Relaxed);
    }

    fn share(&self) -> f64 {
        f64::from(self.long_share.load(Ordering::Relaxed)) * SHARE_UNIT
    }
}

#[cfg(test)]
mod tests;
