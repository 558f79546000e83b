//! Attempts that take long: what speaks against their servers, when they are looked at, and whether they are given up.

use crate::Balancer;
use crate::api::*;
use crate::attempt_timeout::AttemptEvidence;
use crate::state::{Candidate, OutstandingSend, PendingRequest, Upstream};

/// Time left to the aim when another attempt is tried, where that is set beforehand, in service times.
const RETRY_ROOM: f64 = 1.5;
/// A keyed request that was given up may yet run after its window: that much more has to be won.
const KEYED_COST: f64 = 0.3;
/// A probe that takes so many times what they take of late is unanswered.
const UNANSWERED: f64 = 10.0;
/// One that is overdue is looked at again after so many times as long, and not before this.
const LOOKS_APART: f64 = 1.5;
const LOOK_AGAIN: Millis = 1.0;
/// No more than so many unanswered requests are taken for evidence.
const WITNESSES: usize = 16;
/// A server that answered nothing in so many times what answers take of late hangs.
pub(crate) const MUTE: f64 = 4.0;

impl Balancer {
    /// Long enough for this attempt, short enough for another to make the aim.
    pub(crate) fn timeout(&self, held: &PendingRequest, to: Candidate) -> Millis {
        let spare = self.aim_left(held) - RETRY_ROOM * self.estimates.classes[held.class.0].service_time;
        spare.max(MUTE * self.estimates.unresponsive.crowd() * to.wait)
    }

    pub(crate) fn no_evidence(&self) -> AttemptEvidence {
        let (silence, crowd) = (self.estimates.unresponsive.share(), self.estimates.unresponsive.crowd());
        AttemptEvidence {
            wait: 1.0,
            others: 1.0,
            silence,
            failing: 0.0,
            crowd,
            answers: false,
            no_probe: false,
        }
    }

    /// Whether there may be another attempt after so many, somewhere else.
    pub(crate) fn may_go_on(&self, held: &PendingRequest, attempts: usize) -> bool {
        let class = &self.settings.classes[held.class.0];
        (attempts as u32) < self.settings.limits.max_attempts
            && class.effect != Effect::NonIdempotent
            && self.estimates.retry_tokens >= 1.0
            && self.reach(held).is_some_and(|reach| self.upstreams.sizes(reach).1 > 1)
    }

    /// What giving up an attempt of a request has to win.
    fn cost(&self, held: &PendingRequest) -> f64 {
        let keyed = matches!(self.settings.classes[held.class.0].effect, Effect::IdempotentByKey { .. });
        self.settings.attempt_cost + if keyed { KEYED_COST } else { 0.0 }
    }

    /// When to look at an attempt that has been out for so long, counted from its start.
    pub(crate) fn next_look(
        &self,
        held: &PendingRequest,
        known: &AttemptEvidence,
        out: Millis,
    ) -> Option<Millis> {
        let class = &self.estimates.classes[held.class.0];
        let until = out + self.aim_left(held);
        let gains = known.look_at(&class.latencies, out, until, class.expected_latency, self.cost(held));
        // When it is overdue its server is asked; and now and then from there on there may be more to go by.
        let again = (LOOKS_APART * out).max(class.latencies.overdue() * known.crowd * known.wait);
        let ask = Some(again).filter(|at| *at < until);
        gains.into_iter().chain(ask).reduce(f64::min)
    }

    /// Looks at an attempt that takes long: it is given up if elsewhere an answer is likelier in time, else
    /// its server is asked.
    pub(crate) fn look_after(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(held) = self.requests.get_mut(&request) else { return };
        held.check_at = None;
        let held = held.clone();
        let Some((number, this)) = held.attempts.iter().enumerate().next_back().filter(|(_, t)| t.out) else {
            return;
        };
        let attempt = AttemptNo(number as u32);
        let Some((known, taken)) = self.evidence(request, attempt) else { return };
        let class = &self.estimates.classes[held.class.0];
        let gain = known.gain(&class.latencies, taken, self.aim_left(&held), class.expected_latency);
        if gain > self.cost(&held) && self.may_go_on(&held, held.attempts.len()) {
            if let Some(this) = self.requests.get_mut(&request).and_then(|held| held.attempts.get_mut(number))
            {
                this.abandoned = true;
            }
            return out.push(Action::Cancel { request, attempt });
        }
        // Never in the same moment again.
        let look = self.next_look(&held, &known, taken).map(|at| self.now + (at - taken).max(LOOK_AGAIN));
        if let Some(held) = self.requests.get_mut(&request) {
            held.check_at = look;
            self.check_schedule.set(request, None, look);
        }
        self.probe(this.upstream, out);
    }

    /// What is known of an attempt that is out, and for how long it has been.
    fn evidence(&self, request: RequestId, attempt: AttemptNo) -> Option<(AttemptEvidence, Millis)> {
        let &(number, id) = self.sends.get(&(request, attempt))?;
        let upstream = self.upstreams.get(id)?;
        let this = upstream.outstanding.get(number)?;
        Some((self.evidence_of(upstream, number, &this), self.now - this.sent))
    }

    pub(crate) fn evidence_of(
        &self,
        upstream: &Upstream,
        number: u64,
        this: &OutstandingSend,
    ) -> AttemptEvidence {
        let longer = |sent: &OutstandingSend| {
            self.estimates.classes[sent.class.0].latencies.longer((self.now - sent.sent) / sent.wait)
        };
        // A server answers as many at once as it has cores: of those that wait, so many tell for themselves.
        let kappa = self.kappa(upstream);
        let since = upstream
            .outstanding
            .latest()
            .filter(|(n, sent)| *n != number && sent.sent > upstream.answered_at);
        let mut others: Vec<f64> = since.take(WITNESSES).map(|(_, sent)| longer(sent)).collect();
        others.sort_by(f64::total_cmp);
        let others = others.iter().take((kappa as usize).saturating_sub(1)).product();
        // A queue that it has told of since explains what was not foreseen.
        let warmth = upstream.warmth(self.now, &self.settings.slow_start);
        let queue = (upstream.reported_in_flight + 1.0) / kappa;
        let told = (upstream.reported_at > this.sent && self.estimates.reports_are_trusted())
            .then_some(queue.max(1.0));
        let now = told.map_or(0.0, |depth| {
            self.estimates.classes[this.class.0].service_time * self.remembered(upstream) / warmth * depth
        });
        let late =
            |sent: Millis| self.estimates.probe_time.is_some_and(|time| self.now - sent > UNANSWERED * time);
        AttemptEvidence {
            wait: this.wait.max(now),
            others,
            failing: upstream.failure_rate,
            answers: upstream.answered_at > this.sent,
            no_probe: upstream.probe_sent.is_some_and(late),
            ..self.no_evidence()
        }
    }
}
