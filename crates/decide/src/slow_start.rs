//! What may be sent to a server that has just started, as an amount: an equal part of its allowance for each of the sidecars
//! that own one, which are the first in its order. A part that never comes to one request is a chance of one instead, spent
//! whether or not it wins.

use crate::Balancer;
use crate::api::*;
use crate::cross_zone::BudgetExemption;
use crate::fleet::{CandidateSampler, CandidateScope, WarmUpStatus};
use crate::state::{Candidate, PendingRequest, Upstream};

/// All sidecars together send it work at this share of its allowance, however many requests come,
const COLD_RATE: f64 = 0.4;
/// and may have saved up this share of what the allowance comes to in one window of the rule.
const COLD_SAVED: f64 = 0.25;
/// So many sidecars know a cold server at least: some of them may have little traffic, or die.
const OWNERS: u32 = 4;
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
    /// What all sidecars together may send a server while it is cold, in cores.
    fn allowance(&self, upstream: &Upstream) -> f64 {
        let safety = &self.settings.slow_start;
        safety.overload_multiple * upstream.warmth(self.now, safety) * self.cold_capacity(upstream)
    }

    /// The capacity that a cold server will have, in cores: what its reports and those of its kind say, but no more than lets
    /// all that may be sent in one window come to what warm servers are known to carry for their weight.
    fn cold_capacity(&self, upstream: &Upstream) -> f64 {
        let reported = self.kappa(upstream);
        let sidecars = f64::from(self.settings.sidecars.max(1));
        let carried = self.estimates.observed_capacity.capacity(self.now, upstream.weight, sidecars);
        carried.map_or(reported, |carried| reported.min(carried / (COLD_RATE + COLD_SAVED)))
    }

    /// How a server stands for this sidecar.
    pub(crate) fn warm_up_status(&self, server: &Upstream) -> WarmUpStatus {
        if self.outages.is_out(server.zone) {
            return WarmUpStatus::ZoneUnreachable;
        }
        if server.warmth(self.now, &self.settings.slow_start) >= 1.0 {
            return WarmUpStatus::WarmedUp;
        }
        let owners = self.owners(server);
        WarmUpStatus::WarmingUp { owned: self.ranking.is_owner(owners, self.settings.sidecars, server.key) }
    }

    /// How many sidecars share a cold server's allowance: so few that a part of it comes to whole requests.
    fn owners(&self, upstream: &Upstream) -> u32 {
        let classes = &self.estimates.classes;
        let mean = classes.iter().map(|class| class.service_time).sum::<f64>() / classes.len().max(1) as f64;
        let saved = COLD_SAVED * self.allowance(upstream) * self.settings.slow_start.overload_window;
        let whole = (saved / mean.max(1.0)).max(f64::from(OWNERS)).min(f64::from(u32::MAX >> 1));
        // In steps that all take alike, however differently they estimate.
        (1 << (whole as u32).ilog2()).min(self.settings.sidecars.max(1))
    }

    /// Our part of what a server may be sent while it is cold, for requests of a class; none of one that others own.
    fn part(&self, to: &Candidate, class: ClassId) -> Option<Part> {
        let upstream = self.upstreams.get(to.id)?;
        let sidecars = f64::from(self.settings.sidecars.max(1));
        if !self.upstreams.is_member(to.id) {
            return None;
        }
        let sharers = match self.settings.identity {
            Identity::Anonymous => sidecars,
            // One that others own is known only where hardly anything is warm, and then perhaps to all.
            _ if !self.ranking.is_owner(self.owners(upstream), self.settings.sidecars, upstream.key) => {
                2.0 * sidecars
            }
            // In an upgrade there are two of each.
            Identity::Ranked { count, .. } => {
                self.ranking.max_owners(self.owners(upstream)).min(sidecars)
                    * (sidecars / f64::from(count)).max(1.0)
            }
            Identity::Named(_) => self.ranking.max_owners(self.owners(upstream)).min(sidecars),
        };
        let (allowance, cost) =
            (self.allowance(upstream) / sharers, self.estimates.classes[class.0].service_time.max(1.0));
        let saved = COLD_SAVED * allowance * self.settings.slow_start.overload_window;
        Some(Part { rate: COLD_RATE * allowance, saved, cost })
    }

    /// Whether its amount allows a cold server one more. Where that is a chance, it is one of `share` at most.
    pub(crate) fn try_spend_allowance(&mut self, to: &Candidate, class: ClassId, share: f64) -> bool {
        let Some(part) = self.part(to, class) else { return false };
        let (now, luck, whole) = (self.now, self.rng.rand_float(), part.is_whole());
        // Owners are few, and count what they send: chance adds nothing to that.
        let share = if whole && !self.ranking.includes_all() { 1.0 } else { share };
        let spend = |upstream: &mut Upstream| {
            let credit = (upstream.slow_start_credit + part.rate * (now - upstream.slow_start_credit_at))
                .min(part.saved);
            let chance = share.min(if whole { (credit / part.cost).floor() } else { credit / part.cost });
            let won = luck < chance;
            let spent = if whole { f64::from(u8::from(won)) } else { chance };
            (upstream.slow_start_credit, upstream.slow_start_credit_at) = (credit - spent * part.cost, now);
            won
        };
        self.upstreams.update(to.id, spend).unwrap_or(false)
    }

    /// A cold server with room that may be sent one more, where neither of a pair may and no warm one has room: near
    /// ones first where crossing has a fee, in random order. Only where parts come to whole requests: what is counted
    /// keeps to the allowance however many come, what is left to chance does not.
    pub(crate) fn find_warming_up_server(&mut self, held: &PendingRequest) -> Option<Candidate> {
        let (reach, view) = (self.reach(held)?.within_subset(), self.view(held));
        let home = CandidateScope::MembersInZone(self.settings.zone);
        let near = (reach == CandidateScope::Members && view.same_zone_limit != 0.0).then_some(home);
        for reach in near.into_iter().chain([reach]) {
            let mut looks = CandidateSampler::new(&self.upstreams, reach, false);
            for _ in 0..ASKED {
                let Some(slot) = looks.next(&mut self.upstreams, &mut self.rng) else { break };
                let found = self.look(slot, held, &view);
                let Some(cold) = found.filter(|c| c.healthy && c.warm_up_fraction < 1.0 && view.has_room(c))
                else {
                    continue;
                };
                let counted = self.part(&cold, held.class).is_some_and(|part| part.is_whole());
                if counted
                    && self.may_cross(held.class, &cold)
                    && self.try_spend_allowance(&cold, held.class, 1.0)
                {
                    return Some(Candidate {
                        exemption: Some(BudgetExemption::Full).filter(|_| !cold.same_zone),
                        ..cold
                    });
                }
            }
        }
        None
    }
}
