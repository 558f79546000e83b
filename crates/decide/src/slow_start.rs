//! Slow start: limits the work that is sent to a server that has just started. A server's allowance is
//! divided equally among its owners, the first sidecars in its order. Where a sidecar's share never reaches
//! the cost of a request, requests are admitted with a matching probability instead, and the expected cost is
//! spent whether or not a request is admitted.

use crate::Balancer;
use crate::api::*;
use crate::cross_zone::BudgetExemption;
use crate::fleet::{CandidateSampler, CandidateScope, SubsetStatus};
use crate::state::{Candidate, PendingRequest, Upstream};

/// The rate at which all sidecars together send work to a server that is warming up, as a share of its
/// allowance, however many requests arrive.
const RATE_SHARE: f64 = 0.4;
/// The work that may be saved up, as a share of the allowance in one overload window.
const BURST_SHARE: f64 = 0.25;
/// Minimum number of owners of a server that is warming up: some sidecars may have little traffic, or fail.
const MIN_OWNERS: u32 = 4;
/// Maximum number of servers examined for one request.
const MAX_EXAMINED: usize = 24;

/// One sidecar's share of a server's allowance, for requests of one class.
#[derive(Debug, Clone, Copy)]
struct AllowanceShare {
    /// Milliseconds of work earned per millisecond.
    rate: f64,
    /// Maximum work saved up.
    burst: Millis,
    /// Work of one request.
    cost: Millis,
}

impl AllowanceShare {
    /// Whether whole requests can be counted against the share; otherwise requests are admitted by chance.
    fn covers_request(&self) -> bool {
        self.burst >= self.cost
    }
}

impl Balancer {
    /// The work that all sidecars together may send to a server that is warming up, in cores.
    fn allowance(&self, upstream: &Upstream) -> f64 {
        let limits = &self.settings.slow_start;
        limits.overload_multiple * upstream.warm_up_fraction(self.now, limits) * self.full_capacity(upstream)
    }

    /// Estimated capacity in cores that a server will have once it has warmed up, from its reports and those
    /// of its kind. Limited so that the most that may be sent in one overload window does not exceed the work
    /// that warmed-up servers are observed to carry for the same weight.
    fn full_capacity(&self, upstream: &Upstream) -> f64 {
        let reported = self.estimated_capacity(upstream);
        let sidecars = f64::from(self.settings.sidecars.max(1));
        let observed = self.estimates.observed_capacity.capacity(self.now, upstream.weight, sidecars);
        observed.map_or(reported, |observed| reported.min(observed / (RATE_SHARE + BURST_SHARE)))
    }

    /// How a server counts for the subset of this sidecar.
    pub(crate) fn subset_status(&self, server: &Upstream) -> SubsetStatus {
        if self.outages.is_unreachable(server.zone) {
            return SubsetStatus::ZoneUnreachable;
        }
        if server.warm_up_fraction(self.now, &self.settings.slow_start) >= 1.0 {
            return SubsetStatus::WarmedUp;
        }
        let owners = self.owner_count(server);
        SubsetStatus::WarmingUp { owned: self.ranking.is_owner(owners, self.settings.sidecars, server.key) }
    }

    /// The number of sidecars that share the allowance of a server that is warming up: at least
    /// [`MIN_OWNERS`], and more as long as each share covers a request of mean service time.
    fn owner_count(&self, upstream: &Upstream) -> u32 {
        let classes = &self.estimates.classes;
        let mean_service_time =
            classes.iter().map(|class| class.service_time).sum::<f64>() / classes.len().max(1) as f64;
        let burst = BURST_SHARE * self.allowance(upstream) * self.settings.slow_start.overload_window;
        let owners =
            (burst / mean_service_time.max(1.0)).max(f64::from(MIN_OWNERS)).min(f64::from(u32::MAX >> 1));
        // A power of two, so that sidecars whose estimates differ agree on the number.
        (1 << (owners as u32).ilog2()).min(self.settings.sidecars.max(1))
    }

    /// This sidecar's share of the allowance of a server that is warming up, for requests of a class; `None`
    /// for a server outside the subset.
    fn allowance_share(&self, to: &Candidate, class: ClassId) -> Option<AllowanceShare> {
        let upstream = self.upstreams.get(to.id)?;
        let sidecars = f64::from(self.settings.sidecars.max(1));
        if !self.upstreams.is_member(to.id) {
            return None;
        }
        let sharers = match self.settings.identity {
            Identity::Anonymous => sidecars,
            // Servers owned by others are members only where hardly any server has warmed up. Then they may
            // be members of every subset.
            _ if !self.ranking.is_owner(self.owner_count(upstream), self.settings.sidecars, upstream.key) => {
                2.0 * sidecars
            }
            // During an upgrade there are two sidecars of each rank.
            Identity::Ranked { count, .. } => {
                self.ranking.max_owners(self.owner_count(upstream)).min(sidecars)
                    * (sidecars / f64::from(count)).max(1.0)
            }
            Identity::Named(_) => self.ranking.max_owners(self.owner_count(upstream)).min(sidecars),
        };
        let (allowance, cost) =
            (self.allowance(upstream) / sharers, self.estimates.classes[class.0].service_time.max(1.0));
        let burst = BURST_SHARE * allowance * self.settings.slow_start.overload_window;
        Some(AllowanceShare { rate: RATE_SHARE * allowance, burst, cost })
    }

    /// Whether a request may be sent to a server that is warming up; spends its cost from this sidecar's
    /// share of the allowance. The probability is at most `max_probability`, except for owners that count
    /// whole requests.
    pub(crate) fn try_spend_allowance(
        &mut self,
        to: &Candidate,
        class: ClassId,
        max_probability: f64,
    ) -> bool {
        let Some(share) = self.allowance_share(to, class) else { return false };
        let (now, random, is_counted) = (self.now, self.rng.rand_float(), share.covers_request());
        // Owners are few and count their requests, which already bounds the work.
        let max_probability = if is_counted && !self.ranking.includes_all() { 1.0 } else { max_probability };
        let spend = |upstream: &mut Upstream| {
            let earned = share.rate * (now - upstream.slow_start_credit_at);
            let credit = (upstream.slow_start_credit + earned).min(share.burst);
            let affordable = credit / share.cost;
            let probability = max_probability.min(if is_counted { affordable.floor() } else { affordable });
            let admitted = random < probability;
            let spent = if is_counted { f64::from(u8::from(admitted)) } else { probability };
            (upstream.slow_start_credit, upstream.slow_start_credit_at) = (credit - spent * share.cost, now);
            admitted
        };
        self.upstreams.update(to.id, spend).unwrap_or(false)
    }

    /// Finds a server that is warming up and may be sent a request. Called when neither server of the sampled
    /// pair may be sent one and no warmed-up server has capacity. Same-zone servers come first where
    /// cross-zone traffic has a cost. Only shares that cover whole requests qualify: counted requests keep to
    /// the allowance however many arrive, requests admitted by chance do not.
    pub(crate) fn find_warming_up_server(&mut self, pending: &PendingRequest) -> Option<Candidate> {
        let (scope, context) = (self.candidate_scope(pending)?.in_subset(), self.selection_context(pending));
        let same_zone = CandidateScope::MembersInZone(self.settings.zone);
        let same_zone_first =
            (scope == CandidateScope::Members && context.same_zone_limit != 0.0).then_some(same_zone);
        for scope in same_zone_first.into_iter().chain([scope]) {
            let mut sampler = CandidateSampler::new(&self.upstreams, scope, false);
            for _ in 0..MAX_EXAMINED {
                let Some(slot) = sampler.next(&mut self.upstreams, &mut self.rng) else { break };
                let candidate = self.examine(slot, pending, &context);
                let Some(candidate) =
                    candidate.filter(|c| c.healthy && c.warm_up_fraction < 1.0 && context.has_capacity(c))
                else {
                    continue;
                };
                let is_counted = self
                    .allowance_share(&candidate, pending.class)
                    .is_some_and(|share| share.covers_request());
                if is_counted
                    && self.may_cross(pending.class, &candidate)
                    && self.try_spend_allowance(&candidate, pending.class, 1.0)
                {
                    return Some(Candidate {
                        exemption: Some(BudgetExemption::Full).filter(|_| !candidate.same_zone),
                        ..candidate
                    });
                }
            }
        }
        None
    }
}
