//! Whether a request may leave its zone where cross-zone traffic is limited. A [`CrossZoneLimiter`] keeps the
//! budgets. The selection applies them: a request stays in its zone while that costs it little, crosses while
//! a budget pays for it, and crosses without a budget only where staying would break the service.
//!
//! A limiter narrows the servers that a request may be sent to. It never widens them and never causes an
//! attempt: whether a request may be sent again, and to which servers, is decided before the limiter is
//! asked.

use std::any::Any;
use std::fmt::Debug;

use crate::api::*;
use crate::balancer::Balancer;
use crate::fleet::CandidateScope;
use crate::state::{Candidate, PendingRequest, SelectionContext};

/// Why a request leaves its zone although no budget pays for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BudgetExemption {
    /// The zone has no server to select: none is listed, or all are ejected.
    Down,
    /// No server of the zone has capacity, so that the request would be refused.
    Full,
    /// Servers of the zone have capacity, but the expected loss of worth by late answers exceeds the
    /// limiter's threshold.
    Late,
    /// Servers of the zone have capacity, but the expected loss of worth by failures exceeds the limiter's
    /// threshold.
    Failing,
    /// The request may have run, and all servers that recognise its key as a duplicate are in other zones.
    Bound,
}

impl BudgetExemption {
    /// All reasons, in the order of their declaration.
    pub const ALL: [BudgetExemption; 5] = [
        BudgetExemption::Down,
        BudgetExemption::Full,
        BudgetExemption::Late,
        BudgetExemption::Failing,
        BudgetExemption::Bound,
    ];
}

/// The cost of leaving the zone at present. Both values are shares of a request's worth, above 0 and below 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CrossZoneCost {
    /// A request stays in its zone while its expected loss there is below this cost, which rises as the
    /// budget is used up.
    pub cost: f64,
    /// Without a budget, a request stays in its zone while its expected loss there is at most this, or while
    /// another zone would reduce the loss by less than this.
    pub exemption_threshold: f64,
}

/// An attempt as the limiter accounts for it, in its own zone or in another one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CrossZoneAttempt {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt within the request.
    pub number: AttemptNo,
    /// The class of the request.
    pub class: ClassId,
    /// The zone of the server.
    pub to: ZoneId,
    /// Why the attempt leaves the zone without a budget; `None` if it stays in the zone or a budget pays.
    pub exemption: Option<BudgetExemption>,
}

/// Limits the traffic that leaves the sidecar's zone. Implementations have no clock and do no I/O; `now`
/// never decreases. The owner of a limiter may downcast it to its type.
pub trait CrossZoneLimiter: Any + Debug + Send {
    /// Sets the number of sidecars that share the budgets, this one included.
    fn set_sidecar_count(&mut self, now: Millis, count: u32);

    /// What leaving the zone costs a request of this class.
    fn cross_zone_cost(&self, now: Millis, class: ClassId) -> CrossZoneCost;

    /// Whether a budget pays for one more attempt to this zone, or for `None` to any zone without a budget of
    /// its own.
    fn has_budget(&self, now: Millis, class: ClassId, to: Option<ZoneId>) -> bool;

    /// Whether a request may leave the zone without a budget for this reason.
    fn allows_exemption(&self, reason: BudgetExemption) -> bool;

    /// Accounts for an attempt that is sent, in the same zone or to another one.
    fn attempt_sent(&mut self, now: Millis, attempt: CrossZoneAttempt);

    /// Accounts for the end of an attempt. `bytes` are the lengths of the bodies sent and received.
    fn attempt_ended(
        &mut self,
        now: Millis,
        request: RequestId,
        number: AttemptNo,
        outcome: Outcome,
        bytes: [u64; 2],
    );

    /// Accounts for a probe that is sent to this zone.
    fn probe_sent(&mut self, to: ZoneId);
}

/// The share of its worth that a request is expected to lose at a server. Latencies are roughly
/// exponential, so an answer is late with probability exp(-time_left / expected_latency).
fn expected_loss(candidate: &Candidate, time_left: Millis) -> f64 {
    let late_probability = match candidate.awaits_probe {
        true => 0.0,
        false if time_left > 0.0 => (-time_left / candidate.expected_latency.max(f64::MIN_POSITIVE)).exp(),
        false => 1.0,
    };
    1.0 - (1.0 - late_probability) * (1.0 - candidate.failure_rate)
}

impl Balancer {
    /// Sets or removes the limiter of cross-zone traffic. Without one, [`Settings::cross_zone_cost`] alone
    /// applies.
    pub fn set_cross_zone_budget(&mut self, limiter: Option<Box<dyn CrossZoneLimiter>>) {
        self.cross_zone_budget = limiter;
    }

    /// The limiter in force, for what only the sidecar observes, such as the bytes of an attempt.
    pub fn cross_zone_budget_mut(&mut self) -> Option<&mut (dyn CrossZoneLimiter + 'static)> {
        self.cross_zone_budget.as_deref_mut()
    }

    /// Selects two candidates with capacity wherever the request may go.
    pub(crate) fn sample_allowed(
        &mut self,
        scope: CandidateScope,
        pending: &PendingRequest,
        context: &SelectionContext,
    ) -> Option<[Candidate; 2]> {
        // The limiter is read while candidates are examined, which borrows the rest of the balancer mutably.
        let Some(limiter) = self.cross_zone_budget.take() else {
            return self.sample_pair_preferring_healthy(scope, pending, context, |_| true);
        };
        let pair = self.sample_within_budget(&*limiter, scope, pending, context);
        self.cross_zone_budget = Some(limiter);
        pair
    }

    /// Selects two candidates with capacity that the limiter allows, after the search for good candidates in
    /// the same zone has found none.
    fn sample_within_budget(
        &mut self,
        limiter: &dyn CrossZoneLimiter,
        scope: CandidateScope,
        pending: &PendingRequest,
        context: &SelectionContext,
    ) -> Option<[Candidate; 2]> {
        let (now, class, time_left) = (self.now, pending.class, self.aim_left(pending));
        let threshold = limiter.cross_zone_cost(now, class).exemption_threshold;
        let same_zone_scope = match scope {
            CandidateScope::All => CandidateScope::Zone(self.settings.zone),
            CandidateScope::Members => CandidateScope::MembersInZone(self.settings.zone),
            _ => scope,
        };
        if limiter.has_budget(now, class, None) {
            let is_allowed = |candidate: &Candidate| match candidate.same_zone {
                true => expected_loss(candidate, time_left) <= threshold,
                false => limiter.has_budget(now, class, Some(candidate.zone)),
            };
            if let Some(pair) = self.sample_pair_preferring_healthy(scope, pending, context, is_allowed) {
                return Some(pair);
            }
        }
        let (mut any_in_zone, mut any_healthy) = (false, false);
        let same_zone_pair = self.sample_pair(same_zone_scope, pending, context, false, |candidate| {
            any_in_zone |= candidate.same_zone;
            any_healthy |= candidate.same_zone && candidate.healthy;
            candidate.same_zone && candidate.healthy && context.has_capacity(candidate)
        });
        let least_loss =
            |[a, b]: &[Candidate; 2]| expected_loss(a, time_left).min(expected_loss(b, time_left));
        let is_bound_elsewhere =
            !matches!(scope, CandidateScope::All | CandidateScope::Members) && !any_in_zone;
        let reason = match &same_zone_pair {
            Some(pair) if least_loss(pair) <= threshold => return same_zone_pair,
            Some([a, b]) if a.failure_rate.min(b.failure_rate) > threshold => BudgetExemption::Failing,
            Some(_) => BudgetExemption::Late,
            None if is_bound_elsewhere => BudgetExemption::Bound,
            None if any_healthy => BudgetExemption::Full,
            None => BudgetExemption::Down,
        };
        if !limiter.allows_exemption(reason) {
            // An unhealthy server of the zone is better than none.
            let with_capacity =
                |candidate: &Candidate| candidate.same_zone && context.has_capacity(candidate);
            return same_zone_pair
                .or_else(|| self.sample_pair(same_zone_scope, pending, context, true, with_capacity));
        }
        let any_zone_pair = self.sample_pair_preferring_healthy(scope, pending, context, |_| true);
        if let (Some(same_zone), Some(any_zone)) = (&same_zone_pair, &any_zone_pair) {
            // Where all zones are slow, leaving this one gains nothing.
            if least_loss(same_zone) - least_loss(any_zone) < threshold {
                return same_zone_pair;
            }
        }
        let exempted = |c: Candidate| Candidate { exemption: Some(reason).filter(|_| !c.same_zone), ..c };
        any_zone_pair.map(|pair| pair.map(exempted)).or(same_zone_pair)
    }

    /// Selects the better of two warmed-up servers with capacity. Called when the servers of the sampled pair
    /// are warming up and neither may be sent more: others may have capacity, in the same zone or, with a
    /// budget or an exemption, in another one.
    pub(crate) fn select_warmed_up(&mut self, pending: &PendingRequest) -> Option<Candidate> {
        let (scope, context) = (self.candidate_scope(pending)?.in_subset(), self.selection_context(pending));
        let (now, class, limiter) = (self.now, pending.class, self.cross_zone_budget.take());
        let may_leave_to = |zone| {
            limiter.as_ref().is_none_or(|limiter| {
                limiter.has_budget(now, class, Some(zone)) || limiter.allows_exemption(BudgetExemption::Full)
            })
        };
        let is_allowed = |candidate: &Candidate| {
            candidate.warm_up_fraction >= 1.0 && (candidate.same_zone || may_leave_to(candidate.zone))
        };
        let pair = self.sample_pair_preferring_healthy(scope, pending, &context, is_allowed);
        self.cross_zone_budget = limiter;
        let [a, b] = pair?;
        let best = if b.projected_load < a.projected_load { b } else { a };
        Some(Candidate { exemption: Some(BudgetExemption::Full).filter(|_| !best.same_zone), ..best })
    }

    /// Whether a request may be sent to this server while all servers of its own zone are full.
    pub(crate) fn may_cross(&self, class: ClassId, to: &Candidate) -> bool {
        let allows = |limiter: &dyn CrossZoneLimiter| {
            limiter.has_budget(self.now, class, Some(to.zone))
                || limiter.allows_exemption(BudgetExemption::Full)
        };
        to.same_zone || self.cross_zone_budget.as_deref().is_none_or(allows)
    }

    /// Whether the limiter still allows a server that was selected earlier for this request.
    pub(crate) fn is_still_allowed(&self, pending: &PendingRequest, to: &Candidate) -> bool {
        let Some(limiter) = self.cross_zone_budget.as_ref().filter(|_| !to.same_zone) else { return true };
        pending.exemption.is_some() || limiter.has_budget(self.now, pending.class, Some(to.zone))
    }

    /// Accounts for an attempt with the limiter. The exemption is dropped where a budget pays after all.
    pub(crate) fn account_attempt(&mut self, attempt: CrossZoneAttempt) {
        let (now, own_zone) = (self.now, self.settings.zone);
        let Some(limiter) = &mut self.cross_zone_budget else { return };
        let needs_no_exemption =
            attempt.to == own_zone || limiter.has_budget(now, attempt.class, Some(attempt.to));
        let exemption = attempt.exemption.filter(|_| !needs_no_exemption);
        limiter.attempt_sent(now, CrossZoneAttempt { exemption, ..attempt });
    }

    /// Accounts for a probe with the limiter.
    pub(crate) fn account_probe(&mut self, id: UpstreamId) {
        let zone = self.upstreams.get(id).map(|upstream| upstream.zone);
        self.cross_zone_budget.iter_mut().zip(zone).for_each(|(limiter, zone)| limiter.probe_sent(zone));
    }

    /// Whether the limiter keeps requests of this class in their zone, apart from exemptions.
    pub(crate) fn is_confined_to_zone(&self, class: ClassId) -> bool {
        self.cross_zone_budget.as_ref().is_some_and(|limiter| !limiter.has_budget(self.now, class, None))
    }
}
