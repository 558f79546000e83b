//! Reports to the driver how the answer of an attempt goes on while it is held back: the decision module
//! decides whether another attempt is to replace it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use sagemast_decide::api::AnswerProgress;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::UpstreamEvent;
use crate::messages::{AttemptInfo, EventSink};
use crate::metered_stream::Meter;
use crate::request_bound::MAX_SOUND_PAUSE;
use crate::transfer::answer_hold::MAX_HOLD;
use crate::transfer::pause_estimate::PauseEstimate;

/// The decision to replace an answer takes effect this much before the answer is passed on.
const DECISION_MARGIN: Duration = Duration::from_millis(20);

/// Watches the answer of one attempt.
pub struct AnswerWatch<'a> {
    /// The attempt.
    pub attempt: &'a AttemptInfo,
    /// The meter of its connection.
    pub meter: &'a Meter,
    /// How long answers usually pause.
    pub pauses: &'a PauseEstimate,
    /// Whether the answer waits for memory. Nothing is read from the upstream then, so the pause is not the
    /// upstream's.
    pub waiting_for_memory: &'a AtomicBool,
    /// Whether the request can be sent to another attempt. The body of a long upload cannot: it is passed on
    /// while it arrives.
    pub can_be_replaced: bool,
    /// Receives the reports.
    pub events: &'a EventSink<UpstreamEvent>,
}

impl AnswerWatch<'_> {
    /// Reports each change, from the first time at which the answer could have been complete. Returns once the
    /// answer has paused for longer than any sound one does.
    pub async fn run_until_stalled(&self) {
        loop {
            self.meter.wait_for_answer_start().await;
            if self.watch_answer(Instant::now()).await.is_err() {
                return;
            }
            // An interim answer has ended; the final answer is still to come.
        }
    }

    /// Watches one answer until it ends; an error if it stalls.
    async fn watch_answer(&self, started_at: Instant) -> Result<(), Elapsed> {
        sleep_until(self.pauses_at()).await;
        let mut reported_pause = None;
        while self.meter.is_answer_started() {
            let pauses_at = self.pauses_at();
            let is_paused = pauses_at <= Instant::now();
            let reports_pause = is_paused && self.can_be_replaced;
            if reported_pause.replace(reports_pause) != Some(reports_pause) {
                self.report(reports_pause, started_at);
            }
            match is_paused {
                true => {
                    timeout_at(self.waiting_since() + MAX_SOUND_PAUSE, self.meter.wait_for_bytes()).await?
                }
                false => sleep_until(pauses_at).await,
            }
        }
        Ok(())
    }

    /// When the answer pauses for longer than usual, if it brings no bytes until then.
    fn pauses_at(&self) -> Instant {
        self.waiting_since() + self.pauses.longest_usual()
    }

    /// Since when the upstream has been waited for.
    fn waiting_since(&self) -> Instant {
        match self.waiting_for_memory.load(Ordering::Relaxed) {
            true => Instant::now(),
            false => self.meter.last_read_at(),
        }
    }

    fn report(&self, is_paused: bool, started_at: Instant) {
        let passed_on_at = started_at + MAX_HOLD;
        let replaceable_for = passed_on_at.saturating_duration_since(Instant::now() + DECISION_MARGIN);
        let progress = match is_paused {
            true => AnswerProgress::Paused { replaceable_for: replaceable_for.as_secs_f64() * 1e3 },
            false => AnswerProgress::Arriving,
        };
        self.events.send(UpstreamEvent::AnswerProgress(*self.attempt, progress));
    }
}
