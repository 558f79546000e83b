//! Checks of attempts that take long: when they are checked, the evidence against their servers, and whether
//! they are abandoned for a retry elsewhere.

use crate::Balancer;
use crate::api::*;
use crate::attempt_timeout::AttemptEvidence;
use crate::state::{Candidate, OutstandingSend, PendingRequest, Upstream};

/// Time that a timeout set in advance leaves for a retry before the aim, in service times.
const RETRY_RESERVE_SERVICE_TIMES: f64 = 1.5;
/// Additional gain that abandoning an attempt of a keyed request needs: the attempt may still run after its
/// window.
const KEYED_RETRY_EXTRA_COST: f64 = 0.3;
/// A probe counts as unanswered after this multiple of the mean probe time.
const PROBE_UNANSWERED_MULTIPLE: f64 = 10.0;
/// An overdue attempt is checked again when its elapsed time has grown by this factor.
const RECHECK_GROWTH: f64 = 1.5;
/// An attempt is not checked again before this time has passed.
const MIN_RECHECK_INTERVAL: Millis = 1.0;
/// At most this many unanswered attempts of a server are used as evidence.
const MAX_COMPARED_ATTEMPTS: usize = 16;
/// A server that has answered nothing for this multiple of the latency to be expected at the
/// present slowdown is unresponsive.
pub(crate) const UNRESPONSIVE_MULTIPLE: f64 = 4.0;

impl Balancer {
    /// The timeout of an attempt that cannot be cancelled later: long enough for an answer, and short enough
    /// for a retry to meet the aim.
    pub(crate) fn attempt_timeout(&self, pending: &PendingRequest, to: Candidate) -> Millis {
        let service_time = self.estimates.classes[pending.class.0].service_time;
        let spare = self.aim_left(pending) - RETRY_RESERVE_SERVICE_TIMES * service_time;
        spare.max(UNRESPONSIVE_MULTIPLE * self.estimates.unresponsive.slowdown() * to.expected_latency)
    }

    /// The evidence about an attempt when it is sent.
    pub(crate) fn initial_evidence(&self, expected: Millis, failure_rate: f64) -> AttemptEvidence {
        AttemptEvidence {
            expected,
            others_tail_probability: 1.0,
            unresponsive_rate: self.estimates.unresponsive.rate(),
            failure_rate,
            slowdown: self.estimates.unresponsive.slowdown(),
            answered_since: false,
            probe_unanswered: false,
        }
    }

    /// Whether a request that has made this many attempts may be sent to another server.
    pub(crate) fn may_retry(&self, pending: &PendingRequest, attempts: usize) -> bool {
        let class = &self.settings.classes[pending.class.0];
        (attempts as u32) < self.settings.limits.max_attempts
            && class.effect != Effect::NonIdempotent
            && self.estimates.retry_tokens >= 1.0
            && self.candidate_scope(pending).is_some_and(|scope| self.upstreams.sizes(scope).1 > 1)
    }

    /// The gain in answer probability that abandoning an attempt of this request needs.
    fn abandon_cost(&self, pending: &PendingRequest) -> f64 {
        let is_keyed =
            matches!(self.settings.classes[pending.class.0].effect, Effect::IdempotentByKey { .. });
        self.settings.attempt_cost + if is_keyed { KEYED_RETRY_EXTRA_COST } else { 0.0 }
    }

    /// When to check an attempt next, as the time from its start. `elapsed` has passed already.
    pub(crate) fn next_check_after(
        &self,
        pending: &PendingRequest,
        evidence: &AttemptEvidence,
        elapsed: Millis,
    ) -> Option<Millis> {
        let class = &self.estimates.classes[pending.class.0];
        let worthless_after = elapsed + self.aim_left(pending);
        let cost = self.abandon_cost(pending);
        let retry_at =
            evidence.next_check(&class.latencies, elapsed, worthless_after, class.expected_latency, cost);
        // The server of an overdue attempt is probed, and probed again at growing intervals. A reply, or its
        // absence, is further evidence.
        let overdue_at = class.latencies.overdue_multiple() * evidence.slowdown * evidence.expected;
        let probe_at = Some((RECHECK_GROWTH * elapsed).max(overdue_at)).filter(|at| *at < worthless_after);
        retry_at.into_iter().chain(probe_at).reduce(f64::min)
    }

    /// Checks the latest attempt of a request: cancels it if an answer in time is likelier elsewhere, else
    /// probes its server.
    pub(crate) fn check_attempt(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&request) else { return };
        pending.check_at = None;
        let pending = pending.clone();
        let Some((number, latest)) =
            pending.attempts.iter().enumerate().next_back().filter(|(_, t)| t.in_flight)
        else {
            return;
        };
        let attempt = AttemptNo(number as u32);
        if let Some(progress) = latest.answer {
            return self.check_answer(request, attempt, progress, out);
        }
        let Some((evidence, elapsed)) = self.attempt_evidence(request, attempt) else { return };
        let class = &self.estimates.classes[pending.class.0];
        let gain =
            evidence.retry_gain(&class.latencies, elapsed, self.aim_left(&pending), class.expected_latency);
        if gain > self.abandon_cost(&pending) && self.may_retry(&pending, pending.attempts.len()) {
            let attempts = self.requests.get_mut(&request).map(|pending| &mut pending.attempts);
            if let Some(cancelled) = attempts.and_then(|attempts| attempts.get_mut(number)) {
                cancelled.abandoned = true;
            }
            return out.push(Action::Cancel { request, attempt });
        }
        // Without a minimum interval, the check could be due again at the present time.
        let check_at = self
            .next_check_after(&pending, &evidence, elapsed)
            .map(|at| self.now + (at - elapsed).max(MIN_RECHECK_INTERVAL));
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.check_at = check_at;
            self.check_schedule.reschedule(request, None, check_at);
        }
        self.probe_if_due(latest.upstream, out);
    }

    /// The evidence about an attempt in flight, and the time since it was sent.
    fn attempt_evidence(&self, request: RequestId, attempt: AttemptNo) -> Option<(AttemptEvidence, Millis)> {
        let &(number, id) = self.sends.get(&(request, attempt))?;
        let upstream = self.upstreams.get(id)?;
        let send = upstream.outstanding.get(number)?;
        Some((self.gather_evidence(upstream, number, &send), self.now - send.sent))
    }

    /// The evidence about a server, as it bears on one of its outstanding sends.
    pub(crate) fn gather_evidence(
        &self,
        upstream: &Upstream,
        number: u64,
        send: &OutstandingSend,
    ) -> AttemptEvidence {
        let tail_probability = |other: &OutstandingSend| {
            let multiple = (self.now - other.sent) / other.expected_latency;
            self.estimates.classes[other.class.0].latencies.tail_probability(multiple)
        };
        let sent_since_last_answer = upstream
            .outstanding
            .iter_newest_first()
            .filter(|(other, sent)| *other != number && sent.sent > upstream.answered_at);
        let mut tails: Vec<f64> = sent_since_last_answer
            .take(MAX_COMPARED_ATTEMPTS)
            .map(|(_, other)| tail_probability(other))
            .collect();
        tails.sort_by(f64::total_cmp);
        // A server works on as many attempts at once as it has cores. Only that many waits are independent
        // evidence; the other attempts wait behind them.
        let capacity = self.estimated_capacity(upstream);
        let others_tail_probability = tails.iter().take((capacity as usize).saturating_sub(1)).product();
        // A queue that the server has reported since the attempt was sent explains a longer wait.
        let warm_up_fraction = upstream.warm_up_fraction(self.now, &self.settings.slow_start);
        let queue_depth = (upstream.reported_in_flight + 1.0) / capacity;
        let has_reported_since = upstream.reported_at > send.sent && self.estimates.reports_are_trusted();
        let reported_depth = has_reported_since.then_some(queue_depth.max(1.0));
        let expected_by_report = reported_depth.map_or(0.0, |depth| {
            self.estimates.classes[send.class.0].service_time * self.estimated_slowness(upstream)
                / warm_up_fraction
                * depth
        });
        let is_unanswered = |probe_sent: Millis| {
            self.estimates
                .probe_time
                .is_some_and(|mean| self.now - probe_sent > PROBE_UNANSWERED_MULTIPLE * mean)
        };
        let expected = send.expected_latency.max(expected_by_report);
        AttemptEvidence {
            others_tail_probability,
            answered_since: upstream.answered_at > send.sent,
            probe_unanswered: upstream.probe_sent.is_some_and(is_unanswered),
            ..self.initial_evidence(expected, upstream.failure_rate)
        }
    }
}
