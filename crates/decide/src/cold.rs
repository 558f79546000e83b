//! What may be sent to a server that has just started, as an amount: an equal part of its allowance for each sidecar. A part
//! that never comes to one request is a chance of one instead, spent whether or not it wins.

use crate::Balancer;
use crate::api::*;
use crate::state::{Candidate, Upstream};

/// All sidecars together send it work at this share of its allowance, however many requests come,
const COLD_RATE: f64 = 0.4;
/// and may have saved up this share of what the allowance comes to in one window of the rule.
const COLD_SAVED: f64 = 0.25;

impl Balancer {
    /// Whether its amount allows a cold server one more, with a chance of `share` at most.
    pub(crate) fn affords(&mut self, to: &Candidate, class: ClassId, share: f64) -> bool {
        let Some(kappa) = self.upstreams.get(to.id).map(|upstream| self.kappa(upstream)) else {
            return false;
        };
        let (now, safety, cost) = (self.now, &self.settings.safety, self.seen.service[class.0].time.max(1.0));
        let allowance = safety.fall_multiple * to.warmth * kappa / f64::from(self.settings.sidecars.max(1));
        let most = COLD_SAVED * allowance * safety.fall;
        let whole = most >= cost;
        let luck = self.rng.rand_float();
        let spend = |upstream: &mut Upstream| {
            let earned = upstream.cold_credit + COLD_RATE * allowance * (now - upstream.cold_at);
            let credit = earned.min(most);
            let chance = share.min(if whole { (credit / cost).floor() } else { credit / cost });
            let won = luck < chance;
            let spent = if whole { f64::from(u8::from(won)) } else { chance };
            (upstream.cold_credit, upstream.cold_at) = (credit - spent * cost, now);
            won
        };
        self.upstreams.change(to.id, spend).unwrap_or(false)
    }
}
