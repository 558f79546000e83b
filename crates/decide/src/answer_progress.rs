//! Attempts whose answer has begun. Their server works on them, so that the time they take is no evidence
//! against it any more. A pause within an answer does not show that the answer has ended either: most go on.
//! The attempt is abandoned only where waiting any longer would leave another attempt too little time, and only
//! once for each request. Where a second answer pauses as well, that is how these servers answer.

use crate::Balancer;
use crate::api::*;
use crate::state::PendingRequest;

/// At most this share of the aim is kept for another attempt.
const MAX_RESERVED_SHARE_OF_AIM: f64 = 0.5;

impl Balancer {
    /// Records how the answer of an attempt goes on, and when to check it.
    pub(crate) fn track_answer(&mut self, request: RequestId, attempt: AttemptNo, progress: AnswerProgress) {
        let Some(pending) = self.requests.get_mut(&request) else { return };
        let is_latest = pending.attempts.len() == attempt.0 as usize + 1;
        let Some(current) = pending.attempts.get_mut(attempt.0 as usize).filter(|t| t.in_flight) else {
            return;
        };
        current.answer = Some(progress);
        if !is_latest {
            return;
        }
        let check_at = match progress {
            AnswerProgress::Arriving => None,
            AnswerProgress::Paused { replaceable_for } => {
                let pending = pending.clone();
                self.may_replace_paused(&pending).then(|| self.replace_by(&pending, replaceable_for))
            }
        };
        if let Some(pending) = self.requests.get_mut(&request) {
            let previous = std::mem::replace(&mut pending.check_at, check_at);
            self.check_schedule.reschedule(request, previous, check_at);
        }
    }

    /// Cancels an attempt whose answer still pauses, if another one may replace it.
    pub(crate) fn check_answer(
        &mut self,
        request: RequestId,
        attempt: AttemptNo,
        progress: AnswerProgress,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get(&request).cloned() else { return };
        if progress == AnswerProgress::Arriving || !self.may_replace_paused(&pending) {
            return;
        }
        // Without a server that would take the request, its answer would be given up for a refusal.
        if self.select_pair(&pending, out).is_none() {
            return;
        }
        let attempts = self.requests.get_mut(&request).map(|pending| &mut pending.attempts);
        let Some(paused) = attempts.and_then(|attempts| attempts.get_mut(attempt.0 as usize)) else { return };
        paused.abandoned_in_pause = true;
        out.push(Action::Log(format!(
            "server {}: another attempt replaces a paused answer",
            paused.upstream.0
        )));
        out.push(Action::Cancel { request, attempt });
    }

    /// Whether a paused answer to this request may be replaced by that of another attempt.
    fn may_replace_paused(&self, pending: &PendingRequest) -> bool {
        self.settings.limits.cancel
            && self.aim_left(pending) > 0.0
            && !pending.attempts.iter().any(|attempt| attempt.abandoned_in_pause)
            && self.may_retry(pending, pending.attempts.len())
    }

    /// The latest time at which another attempt is likely to be answered within the aim, but no later than the
    /// answer can be replaced.
    fn replace_by(&self, pending: &PendingRequest, replaceable_for: Millis) -> Millis {
        let class = &self.estimates.classes[pending.class.0];
        let slowdown = self.estimates.unresponsive.slowdown();
        let usual_latency = class.latencies.overdue_multiple() * slowdown * class.expected_latency;
        let aim = self.settings.classes[pending.class.0].aim;
        let reserved = usual_latency.min(MAX_RESERVED_SHARE_OF_AIM * aim);
        self.now + (self.aim_left(pending) - reserved).min(replaceable_for).max(0.0)
    }
}
