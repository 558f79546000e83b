//! Whether a request may leave its zone, where a plan limits that. The plan ([`CrossZone`]) knows the budgets; here
//! stands what the draw makes of it: near while that is worth it, across while a budget pays, and across without one
//! only where staying would break the service.
//!
//! A plan narrows whom a request may go to. It never widens that, and never makes an attempt: what may be sent again,
//! and to whom, is settled before it is asked.

use std::any::Any;
use std::fmt::Debug;

use crate::api::*;
use crate::balancer::Balancer;
use crate::fleet::CandidateScope;
use crate::state::{Candidate, PendingRequest, SelectionContext};

/// Why a request crosses although no budget pays for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BudgetExemption {
    /// No near server takes part: none is listed, or all are ejected.
    Down,
    /// No near server has room: staying means to be refused.
    Full,
    /// Near servers have room, but an answer from them would lose more of its worth than the plan gives up.
    Late,
    /// Near servers have room, but fail so often that more of its worth would be lost than the plan gives up.
    Failing,
    /// It may have run, and those that drop its repeats are all across.
    Bound,
}

impl BudgetExemption {
    /// All of them, in the order of their numbers.
    pub const ALL: [BudgetExemption; 5] = [
        BudgetExemption::Down,
        BudgetExemption::Full,
        BudgetExemption::Late,
        BudgetExemption::Failing,
        BudgetExemption::Bound,
    ];
}

/// What a crossing costs a request now. Both are shares of a request's worth, above 0 and below 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CrossZoneCost {
    /// A request stays near while it loses less than this by it. Grows as the budget is used up.
    pub fee: f64,
    /// Without a budget it stays while it loses less than this, or would win less than this across.
    pub bend_at: f64,
}

/// An attempt that goes out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CrossZoneAttempt {
    /// The request.
    pub request: RequestId,
    /// Which of its sends.
    pub number: AttemptNo,
    /// Its class.
    pub class: ClassId,
    /// Where it goes.
    pub to: ZoneId,
    /// Why it crosses without a budget; `None` if it stays or a budget pays.
    pub bend: Option<BudgetExemption>,
}

/// A plan for traffic that leaves the sidecar's zone. Its owner may find out which one it is. It has no clock and does no I/O; times only move forward.
pub trait CrossZone: Any + Debug + Send {
    /// There are so many sidecars from now on, this one included.
    fn sidecars(&mut self, now: Millis, count: u32);

    /// What a crossing costs a request of this class.
    fn terms(&self, now: Millis, class: ClassId) -> CrossZoneCost;

    /// Whether a budget pays for one more crossing, to this zone or (`None`) to any that has no budget of its own.
    fn pays(&self, now: Millis, class: ClassId, to: Option<ZoneId>) -> bool;

    /// Whether a request may cross without a budget for this reason.
    fn bends(&self, why: BudgetExemption) -> bool;

    /// An attempt goes out, near or far.
    fn sent(&mut self, now: Millis, attempt: CrossZoneAttempt);

    /// It has ended so, with so many bytes of bodies: sent, received.
    fn ended(
        &mut self,
        now: Millis,
        request: RequestId,
        number: AttemptNo,
        outcome: Outcome,
        bytes: [u64; 2],
    );

    /// A probe goes out to this zone.
    fn probed(&mut self, to: ZoneId);
}

/// The share of its worth that a request is expected to lose at a server, with so much time left: an answer that is
/// expected after `wait` is late with a chance of exp(-left / wait), since answer times are about exponential.
fn loss(at: &Candidate, left: Millis) -> f64 {
    let late = match at.awaits_probe {
        true => 0.0,
        false if left > 0.0 => (-left / at.wait.max(f64::MIN_POSITIVE)).exp(),
        false => 1.0,
    };
    1.0 - (1.0 - late) * (1.0 - at.failure_rate)
}

impl Balancer {
    /// Puts a plan for traffic that leaves the zone into force, or takes it away. Without one requests cross as
    /// [`Settings::cross_zone_cost`] has it.
    pub fn set_cross_zone(&mut self, plan: Option<Box<dyn CrossZone>>) {
        self.cross_zone_budget = plan;
    }

    /// The plan that is in force, to be told of what only the sidecar sees.
    pub fn cross_zone(&mut self) -> Option<&mut (dyn CrossZone + 'static)> {
        self.cross_zone_budget.as_deref_mut()
    }

    /// Two with room, wherever the request may go.
    pub(crate) fn open(
        &mut self,
        reach: CandidateScope,
        held: &PendingRequest,
        view: &SelectionContext,
    ) -> Option<[Candidate; 2]> {
        // It is asked while servers are looked at, which takes hold of all the rest.
        let Some(plan) = self.cross_zone_budget.take() else {
            return self.anywhere(reach, held, view, |_| true);
        };
        let pair = self.under_plan(&*plan, reach, held, view);
        self.cross_zone_budget = Some(plan);
        pair
    }

    /// Two with room that a request may go to under the plan, where no near one is so good that the fee decides.
    fn under_plan(
        &mut self,
        plan: &dyn CrossZone,
        reach: CandidateScope,
        held: &PendingRequest,
        view: &SelectionContext,
    ) -> Option<[Candidate; 2]> {
        let (now, class, left) = (self.now, held.class, self.aim_left(held));
        let bend_at = plan.terms(now, class).bend_at;
        let home = match reach {
            CandidateScope::All => CandidateScope::Zone(self.settings.zone),
            CandidateScope::Members => CandidateScope::MembersInZone(self.settings.zone),
            _ => reach,
        };
        if plan.pays(now, class, None) {
            let may = |c: &Candidate| {
                if c.same_zone { loss(c, left) <= bend_at } else { plan.pays(now, class, Some(c.zone)) }
            };
            if let Some(pair) = self.anywhere(reach, held, view, may) {
                return Some(pair);
            }
        }
        let (mut near, mut healthy) = (false, false);
        let stay = self.two(home, held, view, false, |c| {
            near |= c.same_zone;
            healthy |= c.same_zone && c.healthy;
            c.same_zone && c.healthy && view.has_room(c)
        });
        let least = |[a, b]: &[Candidate; 2]| loss(a, left).min(loss(b, left));
        let why = match &stay {
            Some(pair) if least(pair) <= bend_at => return stay,
            Some([a, b]) if a.failure_rate.min(b.failure_rate) > bend_at => BudgetExemption::Failing,
            Some(_) => BudgetExemption::Late,
            None if !matches!(reach, CandidateScope::All | CandidateScope::Members) && !near => {
                BudgetExemption::Bound
            }
            None if healthy => BudgetExemption::Full,
            None => BudgetExemption::Down,
        };
        if !plan.bends(why) {
            // Rather one that looks bad than no one.
            let any = |c: &Candidate| c.same_zone && view.has_room(c);
            return stay.or_else(|| self.two(home, held, view, true, any));
        }
        let across = self.anywhere(reach, held, view, |_| true);
        if let (Some(here), Some(there)) = (&stay, &across) {
            // Where all crawl nothing is won across.
            if least(here) - least(there) < bend_at {
                return stay;
            }
        }
        let bent = |c: Candidate| Candidate { exemption: Some(why).filter(|_| !c.same_zone), ..c };
        across.map(|pair| pair.map(bent)).or(stay)
    }

    /// The better of two warm servers with room, where a pair was cold and neither may be sent more: others may well
    /// have room, near or, where a budget pays or bends, across.
    pub(crate) fn warm_one(&mut self, held: &PendingRequest) -> Option<Candidate> {
        let (reach, view) = (self.reach(held)?.within_subset(), self.view(held));
        let (now, class, plan) = (self.now, held.class, self.cross_zone_budget.take());
        let across =
            |to| plan.as_ref().is_none_or(|p| p.pays(now, class, Some(to)) || p.bends(BudgetExemption::Full));
        let may = |c: &Candidate| c.warm_up_fraction >= 1.0 && (c.same_zone || across(c.zone));
        let pair = self.anywhere(reach, held, &view, may);
        self.cross_zone_budget = plan;
        let [a, b] = pair?;
        let best = if b.projected_load < a.projected_load { b } else { a };
        Some(Candidate { exemption: Some(BudgetExemption::Full).filter(|_| !best.same_zone), ..best })
    }

    /// Whether a request may go to a server where all near ones are full.
    pub(crate) fn may_cross(&self, class: ClassId, to: &Candidate) -> bool {
        let pays = |plan: &dyn CrossZone| {
            plan.pays(self.now, class, Some(to.zone)) || plan.bends(BudgetExemption::Full)
        };
        to.same_zone || self.cross_zone_budget.as_deref().is_none_or(pays)
    }

    /// Whether a server that was drawn before may still be sent this request.
    pub(crate) fn still_pays(&self, held: &PendingRequest, to: &Candidate) -> bool {
        let Some(plan) = self.cross_zone_budget.as_ref().filter(|_| !to.same_zone) else { return true };
        held.exemption.is_some() || plan.pays(self.now, held.class, Some(to.zone))
    }

    /// Tells the plan of an attempt. Its bend counts only where no budget pays.
    pub(crate) fn tell_sent(&mut self, attempt: CrossZoneAttempt) {
        let (now, home) = (self.now, self.settings.zone);
        let Some(plan) = &mut self.cross_zone_budget else { return };
        let pays = attempt.to == home || plan.pays(now, attempt.class, Some(attempt.to));
        plan.sent(now, CrossZoneAttempt { bend: attempt.bend.filter(|_| !pays), ..attempt });
    }

    /// Tells it of a probe.
    pub(crate) fn tell_probed(&mut self, id: UpstreamId) {
        let zone = self.upstreams.get(id).map(|upstream| upstream.zone);
        self.cross_zone_budget.iter_mut().zip(zone).for_each(|(plan, zone)| plan.probed(zone));
    }

    /// Whether the plan keeps a request of this class in its zone, but for bends.
    pub(crate) fn stays(&self, class: ClassId) -> bool {
        self.cross_zone_budget.as_ref().is_some_and(|plan| !plan.pays(self.now, class, None))
    }
}
