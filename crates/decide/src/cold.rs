//! What may be sent to a server that has just started, as an amount: an equal part of its allowance for each sidecar. A part
//! that never comes to one request is a chance of one instead, spent whether or not it wins.

use crate::Balancer;
use crate::api::*;
use crate::crossing::Bend;
use crate::fleet::{Looks, Reach};
use crate::state::{Candidate, Held, Upstream};

/// All sidecars together send it work at this share of its allowance, however many requests come,
const COLD_RATE: f64 = 0.4;
/// and may have saved up this share of what the allowance comes to in one window of the rule.
const COLD_SAVED: f64 = 0.25;
/// So many servers are asked for one request at most.
const ASKED: usize = 24;

/// One sidecar's part of a cold server's allowance: what it earns in a millisecond, and what it may have saved up.
#[derive(Debug, Clone, Copy)]
struct Part {
    rate: f64,
    saved: f64,
    cost: Millis,
}

impl Part {
    /// Whether it comes to whole requests, which can be counted; else it is a chance of one.
    fn is_whole(&self) -> bool {
        self.saved >= self.cost
    }
}

impl Balancer {
    /// Our part of what a server may be sent while it is cold, for requests of a class.
    fn part(&self, to: &Candidate, class: ClassId) -> Option<Part> {
        let kappa = self.kappa(self.upstreams.get(to.id)?);
        let (safety, cost) = (&self.settings.safety, self.seen.service[class.0].time.max(1.0));
        let allowance = safety.fall_multiple * to.warmth * kappa / f64::from(self.settings.sidecars.max(1));
        Some(Part { rate: COLD_RATE * allowance, saved: COLD_SAVED * allowance * safety.fall, cost })
    }

    /// Whether its amount allows a cold server one more, with a chance of `share` at most.
    pub(crate) fn affords(&mut self, to: &Candidate, class: ClassId, share: f64) -> bool {
        let Some(part) = self.part(to, class) else { return false };
        let (now, luck, whole) = (self.now, self.rng.rand_float(), part.is_whole());
        let spend = |upstream: &mut Upstream| {
            let credit = (upstream.cold_credit + part.rate * (now - upstream.cold_at)).min(part.saved);
            let chance = share.min(if whole { (credit / part.cost).floor() } else { credit / part.cost });
            let won = luck < chance;
            let spent = if whole { f64::from(u8::from(won)) } else { chance };
            (upstream.cold_credit, upstream.cold_at) = (credit - spent * part.cost, now);
            won
        };
        self.upstreams.change(to.id, spend).unwrap_or(false)
    }

    /// A cold server with room that may be sent one more, where neither of a pair may and no warm one has room: near
    /// ones first where crossing has a fee, in random order. Only where parts come to whole requests: what is counted
    /// keeps to the allowance however many come, what is left to chance does not.
    pub(crate) fn cold_one(&mut self, held: &Held) -> Option<Candidate> {
        let (reach, view) = (self.reach(held)?, self.view(held));
        let home = Reach::Zone(self.settings.zone);
        let near = (reach == Reach::All && view.near_limit != 0.0).then_some(home);
        for reach in near.into_iter().chain([reach]) {
            let mut looks = Looks::new(&self.upstreams, reach, false);
            for _ in 0..ASKED {
                let Some(slot) = looks.next(&mut self.upstreams, &mut self.rng) else { break };
                let found = self.look(slot, held, &view);
                let Some(cold) = found.filter(|c| c.healthy && c.warmth < 1.0 && view.has_room(c)) else {
                    continue;
                };
                let counted = self.part(&cold, held.class).is_some_and(|part| part.is_whole());
                if counted && self.may_cross(held.class, &cold) && self.affords(&cold, held.class, 1.0) {
                    return Some(Candidate { bend: Some(Bend::Full).filter(|_| !cold.near), ..cold });
                }
            }
        }
        None
    }
}
