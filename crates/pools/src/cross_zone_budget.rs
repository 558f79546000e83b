//! Budgets for traffic that leaves a zone: the attempts that they pay for, the cost of leaving the zone as
//! they are used up, and the reasons for which requests are exempt from them. No clock and no I/O: the
//! decision module notifies this code of attempts, with the time.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sagemast_decide::api::*;
use sagemast_decide::cross_zone::{BudgetExemption, CrossZoneAttempt, CrossZoneCost, CrossZoneLimiter};

use crate::counts::{Counter, Counts, Names};
use crate::token_bucket::TokenBucket;

/// The most budgets in force. All of them are examined for every attempt.
pub const MAX_BUDGETS: usize = 32;
/// Expected bytes of both bodies of an attempt before any attempt of its class has ended.
const INITIAL_ATTEMPT_BYTES: f64 = 8_192.0;
/// Weight of one attempt in the running mean of its class's bytes.
const MEAN_BYTES_SMOOTHING: f64 = 0.05;

/// The unit and the amount that a budget limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BudgetLimit {
    /// Cross-zone attempts, as a share of this sidecar's attempts of the same classes.
    Share(f64),
    /// Cross-zone attempts a second, of all sidecars together.
    PerSecond(f64),
    /// Bytes of bodies a second in both directions, of all sidecars together.
    BytesPerSecond(f64),
}

/// A budget. A cross-zone attempt needs tokens from every budget that applies to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    /// The classes that the budget applies to; `None` for all.
    pub classes: Option<Vec<ClassId>>,
    /// The destination zones that the budget applies to; `None` for all.
    pub to: Option<Vec<ZoneId>>,
    /// The limit.
    pub limit: BudgetLimit,
    /// The most that can be saved up, or owed after exemptions, in attempts or bytes: of this sidecar for a
    /// share, of all sidecars together for a rate.
    pub burst: f64,
}

impl Budget {
    /// A description for people, with the names that counts are kept under.
    pub fn describe(&self, names: &Names) -> String {
        let name_of =
            |names: &[String], index: usize| names.get(index).cloned().unwrap_or_else(|| index.to_string());
        let mut text = match self.limit {
            BudgetLimit::Share(share) => format!("{} % of attempts", share * 100.0),
            BudgetLimit::PerSecond(rate) => format!("{rate} a second"),
            BudgetLimit::BytesPerSecond(rate) => format!("{rate} bytes a second"),
        };
        if let Some(classes) = &self.classes {
            let classes: Vec<_> = classes.iter().map(|class| name_of(&names.classes, class.0)).collect();
            text += &format!(", {}", classes.join(" and "));
        }
        if let Some(zones) = &self.to {
            let zones: Vec<_> = zones.iter().map(|zone| name_of(&names.zones, zone.0 as usize)).collect();
            text += &format!(", to {}", zones.join(" and "));
        }
        text
    }
}

/// The configuration of cross-zone traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// [`CrossZoneCost::cost`] while the budgets are full.
    pub cost: f64,
    /// [`CrossZoneCost::exemption_threshold`], and the cost when a budget is empty.
    pub exemption_threshold: f64,
    /// Reasons for which requests may leave the zone without a budget.
    pub exemptions: Vec<BudgetExemption>,
    /// The budgets.
    pub budgets: Vec<Budget>,
}

#[derive(Debug)]
struct BudgetState {
    budget: Budget,
    bucket: TokenBucket,
    /// Whether the budget applies to every other zone.
    applies_to_all_zones: bool,
}

impl BudgetState {
    fn applies_to_class(&self, class: ClassId) -> bool {
        self.budget.classes.as_ref().is_none_or(|classes| classes.contains(&class))
    }

    fn applies_to(&self, class: ClassId, to: ZoneId) -> bool {
        self.applies_to_class(class) && self.budget.to.as_ref().is_none_or(|zones| zones.contains(&to))
    }

    /// The tokens that one attempt with this many bytes costs.
    fn tokens_for(&self, bytes: f64) -> f64 {
        if matches!(self.budget.limit, BudgetLimit::BytesPerSecond(_)) { bytes } else { 1.0 }
    }
}

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
struct OutstandingAttempt {
    class: ClassId,
    to: ZoneId,
    /// The bytes that were charged when the attempt was sent, if it is a cross-zone attempt.
    prepaid_bytes: f64,
}

/// The cross-zone budgets of one instance.
#[derive(Debug)]
pub struct CrossZoneBudgets {
    rules: Rules,
    budgets: Vec<BudgetState>,
    sidecars: u32,
    counts: Arc<Counts>,
    /// Running mean of the bytes of an attempt, by class.
    mean_bytes: Vec<f64>,
    outstanding: FxHashMap<(RequestId, AttemptNo), OutstandingAttempt>,
}

/// The tokens per millisecond and the burst of one sidecar's part of a budget.
fn rate_and_burst(budget: &Budget, sidecars: u32) -> (f64, f64) {
    let sidecars = f64::from(sidecars.max(1));
    match budget.limit {
        BudgetLimit::Share(_) => (0.0, budget.burst),
        // A part of less than one attempt can still be saved up to one.
        BudgetLimit::PerSecond(rate) => (rate / sidecars / 1e3, (budget.burst / sidecars).max(1.0)),
        BudgetLimit::BytesPerSecond(rate) => (rate / sidecars / 1e3, budget.burst / sidecars),
    }
}

impl CrossZoneBudgets {
    /// Budgets that are empty, so that a restart grants nothing. The counts in `counts` are continued; its
    /// names include the zone of the instance.
    pub fn new(rules: Rules, counts: Arc<Counts>, sidecars: u32, now: Millis) -> CrossZoneBudgets {
        let classes = counts.names().classes.len();
        let mut budgets = CrossZoneBudgets {
            rules: Rules { budgets: Vec::new(), ..rules.clone() },
            budgets: Vec::new(),
            sidecars,
            counts,
            mean_bytes: vec![INITIAL_ATTEMPT_BYTES; classes],
            outstanding: FxHashMap::default(),
        };
        budgets.set_rules(rules, now);
        budgets
    }

    /// Replaces the rules. An unchanged budget keeps its tokens; a new one is empty.
    pub fn set_rules(&mut self, rules: Rules, now: Millis) {
        let names = self.counts.names();
        let other_zones: Vec<ZoneId> = (0..names.zones.len())
            .filter(|zone| *zone != names.local_zone)
            .map(|zone| ZoneId(zone as u64))
            .collect();
        let mut previous = std::mem::take(&mut self.budgets);
        for budget in rules.budgets.iter().take(MAX_BUDGETS) {
            let applies_to_all_zones =
                budget.to.as_ref().is_none_or(|to| other_zones.iter().all(|zone| to.contains(zone)));
            let unchanged = previous.iter().position(|state| state.budget == *budget);
            let kept_bucket = unchanged.map(|index| previous.swap_remove(index).bucket);
            let (tokens_per_ms, burst) = rate_and_burst(budget, self.sidecars);
            let bucket = kept_bucket.unwrap_or_else(|| TokenBucket::new(tokens_per_ms, burst, now));
            self.budgets.push(BudgetState { budget: budget.clone(), bucket, applies_to_all_zones });
        }
        self.rules = rules;
        self.publish_levels(now);
    }

    fn publish_levels(&self, now: Millis) {
        self.counts.set_budget_levels(self.levels(now));
    }

    /// The counts of these budgets.
    pub fn counts(&self) -> &Arc<Counts> {
        &self.counts
    }

    /// The level and the burst of each budget, in the order of the rules.
    pub fn levels(&self, now: Millis) -> impl Iterator<Item = (f64, f64)> {
        self.budgets.iter().map(move |state| (state.bucket.level(now), state.bucket.burst()))
    }

    /// The number of attempts in flight.
    pub fn outstanding_attempts(&self) -> usize {
        self.outstanding.len()
    }

    fn expected_bytes(&self, class: ClassId) -> f64 {
        self.mean_bytes.get(class.0).copied().unwrap_or(INITIAL_ATTEMPT_BYTES)
    }

    fn is_cross_zone(&self, to: ZoneId) -> bool {
        to.0 != self.counts.names().local_zone as u64
    }
}

impl CrossZoneLimiter for CrossZoneBudgets {
    fn set_sidecar_count(&mut self, now: Millis, count: u32) {
        self.sidecars = count;
        for state in &mut self.budgets {
            let (tokens_per_ms, burst) = rate_and_burst(&state.budget, count);
            state.bucket.set_rate_and_burst(now, tokens_per_ms, burst);
        }
    }

    /// The cost rises from [`Rules::cost`] to [`Rules::exemption_threshold`] as the emptiest applicable
    /// budget is used up.
    fn cross_zone_cost(&self, now: Millis, class: ClassId) -> CrossZoneCost {
        let applicable =
            self.budgets.iter().filter(|state| state.applies_to_all_zones && state.applies_to_class(class));
        let fill = applicable.map(|state| state.bucket.fill_fraction(now)).fold(1.0, f64::min);
        let Rules { cost, exemption_threshold, .. } = self.rules;
        CrossZoneCost { cost: cost.powf(fill) * exemption_threshold.powf(1.0 - fill), exemption_threshold }
    }

    fn has_budget(&self, now: Millis, class: ClassId, to: Option<ZoneId>) -> bool {
        let bytes = self.expected_bytes(class);
        let mut applicable = self.budgets.iter().filter(|state| match to {
            Some(to) => state.applies_to(class, to),
            None => state.applies_to_all_zones && state.applies_to_class(class),
        });
        applicable.all(|state| state.bucket.has_tokens(now, state.tokens_for(bytes)))
    }

    fn allows_exemption(&self, reason: BudgetExemption) -> bool {
        self.rules.exemptions.contains(&reason)
    }

    fn attempt_sent(&mut self, now: Millis, attempt: CrossZoneAttempt) {
        let CrossZoneAttempt { request, number, class, to, exemption } = attempt;
        let (is_cross_zone, prepaid_bytes) = (self.is_cross_zone(to), self.expected_bytes(class));
        for state in &mut self.budgets {
            if let (true, BudgetLimit::Share(share)) = (state.applies_to_class(class), state.budget.limit) {
                state.bucket.add(now, share);
            }
            if is_cross_zone && state.applies_to(class, to) {
                state.bucket.add(now, -state.tokens_for(prepaid_bytes));
            }
        }
        self.outstanding.insert((request, number), OutstandingAttempt { class, to, prepaid_bytes });
        self.counts.add(class, to, if number.0 == 0 { Counter::First } else { Counter::Retry }, 1);
        if let Some(reason) = exemption {
            self.counts.add(class, to, Counter::Exempted(reason), 1);
        }
        self.publish_levels(now);
    }

    fn attempt_ended(
        &mut self,
        now: Millis,
        request: RequestId,
        number: AttemptNo,
        outcome: Outcome,
        bytes: [u64; 2],
    ) {
        let Some(attempt) = self.outstanding.remove(&(request, number)) else { return };
        let OutstandingAttempt { class, to, prepaid_bytes } = attempt;
        let was_sent = !matches!(outcome, Outcome::Unreachable | Outcome::NotSent);
        let transferred_bytes = if was_sent { bytes[0].saturating_add(bytes[1]) as f64 } else { 0.0 };
        if self.is_cross_zone(to) {
            for state in self.budgets.iter_mut().filter(|state| state.applies_to(class, to)) {
                match state.budget.limit {
                    BudgetLimit::BytesPerSecond(_) => {
                        state.bucket.add(now, prepaid_bytes - transferred_bytes)
                    }
                    // An attempt that was never sent is refunded.
                    _ if !was_sent => state.bucket.add(now, 1.0),
                    _ => {}
                }
            }
        }
        let counter = match outcome {
            _ if !was_sent => Counter::Unsent,
            Outcome::Ok => Counter::Served,
            _ => Counter::Failed,
        };
        self.counts.add(class, to, counter, 1);
        if was_sent {
            self.counts.add(class, to, Counter::BytesOut, bytes[0]);
            self.counts.add(class, to, Counter::BytesIn, bytes[1]);
        }
        if let (Outcome::Ok, Some(mean_bytes)) = (outcome, self.mean_bytes.get_mut(class.0)) {
            *mean_bytes += MEAN_BYTES_SMOOTHING * (transferred_bytes - *mean_bytes);
        }
    }

    fn probe_sent(&mut self, to: ZoneId) {
        self.counts.add_probe(to);
    }
}
