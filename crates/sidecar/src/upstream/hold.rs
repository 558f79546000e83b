//! The hold on an answer of which nothing has been passed on: as long as it lasts, another attempt can still
//! replace the answer.

use std::sync::atomic::Ordering;

use tokio::time::{Instant, sleep_until};

use super::AttemptContext;
use crate::budget::BufferPermit;
use crate::messages::AttemptInfo;
use crate::transfer::answer_hold::{HoldTimes, MIN_HOLD, hold_until};
use crate::transfer::pace::Pace;

/// The attempt whose answer may be held, with the context that the hold depends on.
pub struct HoldContext<'a> {
    /// The attempt.
    pub attempt: &'a AttemptInfo,
    /// State that all attempts share.
    pub shared: &'a AttemptContext,
}

/// The hold on one answer. One of unknown length is buffered until it is complete or the hold ends; a long one
/// is held until the first bytes of its body arrive.
pub struct AnswerHold<'a> {
    context: &'a HoldContext<'a>,
    head_at: Instant,
    until: Instant,
    /// Whether the answer is known to be long.
    is_long: bool,
    /// Taken when the hold lasts for longer than [`MIN_HOLD`]. A streamed answer keeps the permit of its
    /// hold.
    permit: Option<BufferPermit>,
}

impl<'a> AnswerHold<'a> {
    /// Holds an answer whose head has just been received.
    pub fn new(context: &'a HoldContext<'a>, is_long: bool) -> AnswerHold<'a> {
        let head_at = Instant::now();
        AnswerHold { context, head_at, until: head_at + MIN_HOLD, is_long, permit: None }
    }

    /// Whether the hold has taken the memory of a long transfer.
    pub fn has_memory(&self) -> bool {
        self.permit.is_some()
    }

    /// The memory that the hold has taken.
    pub fn into_permit(self) -> Option<BufferPermit> {
        self.permit
    }

    /// Records that the answer was complete within its hold. Answers that complete within the short hold say
    /// nothing about the length of those that do not.
    pub fn record_complete(&self) {
        if self.has_memory() && !self.is_long {
            self.context.shared.answer_lengths.record(false);
        }
    }

    /// Returns when the answer should no longer be held. One that is not likely to be long is held until its next
    /// piece arrives: its client gains nothing from a part of it, and another attempt can still replace it.
    pub async fn wait_until_over(&mut self, pace: &Pace) {
        loop {
            sleep_until(self.until).await;
            if self.extend() {
                continue;
            }
            if self.is_to_be_passed_on(pace) {
                return;
            }
            std::future::pending::<()>().await;
        }
    }

    fn is_to_be_passed_on(&self, pace: &Pace) -> bool {
        let now = Instant::now();
        match self.permit {
            _ if self.is_long => true,
            Some(_) => pace.may_be_long(now) || self.context.shared.answer_lengths.long_is_likely(),
            // Without a permit the answer is streamed even if it may be short.
            None => pace.is_progressing(now),
        }
    }

    /// Extends the hold after [`MIN_HOLD`], if a permit is available. Returns whether it was extended.
    fn extend(&mut self) -> bool {
        if self.permit.is_some() {
            return false;
        }
        let HoldContext { attempt, shared } = self.context;
        self.permit = shared.buffers.try_acquire_transfer();
        if self.permit.is_none() {
            shared.metrics.unheld_answers.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        let (aim_at, attempt_times_out_at) = (attempt.aim_at, attempt.attempt_deadline);
        let times = HoldTimes { head_at: self.head_at, aim_at, attempt_times_out_at };
        self.until = hold_until(times, self.is_long || shared.answer_lengths.long_expected());
        true
    }
}

/// Returns when the hold is over; never if there is none.
pub async fn wait_until_hold_over(hold: &mut Option<AnswerHold<'_>>, pace: &Pace) {
    match hold {
        Some(hold) => hold.wait_until_over(pace).await,
        None => std::future::pending().await,
    }
}
