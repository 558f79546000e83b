//! Budgets for traffic that leaves a zone: what they pay for, what a crossing costs as they are used up, and where they
//! bend. Pure: the decision module tells it of attempts, with the time.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sagemast_decide::api::*;
use sagemast_decide::cross_zone::{BudgetExemption, CrossZoneAttempt, CrossZoneCost, CrossZoneLimiter};

use crate::counts::{Counter, Counts, Names};
use crate::token_bucket::TokenBucket;

/// So many budgets at most: each is looked at for every attempt.
pub const MAX_BUDGETS: usize = 32;
/// What the bodies of an attempt are taken to hold together until some have ended.
const FIRST_BYTES: f64 = 8_192.0;
/// Weight of one attempt in the mean of what its class moves.
const SMOOTH: f64 = 0.05;

/// What a budget counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BudgetLimit {
    /// Crossings, as a share of this sidecar's attempts of the same classes.
    Share(f64),
    /// Crossings a second, of all sidecars together.
    PerSecond(f64),
    /// Bytes of bodies a second both ways, of all sidecars together.
    BytesPerSecond(f64),
}

/// A budget. A crossing needs every budget that it falls under.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    /// Only these classes; `None` for all.
    pub classes: Option<Vec<ClassId>>,
    /// Only to these zones; `None` for all.
    pub to: Option<Vec<ZoneId>>,
    /// How much.
    pub limit: BudgetLimit,
    /// The most that is saved up, and owed after bends: crossings, or bytes. Of all sidecars together where the
    /// measure is.
    pub burst: f64,
}

impl Budget {
    /// In words, with the names that counts go by.
    pub fn describe(&self, names: &Names) -> String {
        let name = |names: &[String], at: usize| names.get(at).cloned().unwrap_or_else(|| at.to_string());
        let mut text = match self.limit {
            BudgetLimit::Share(share) => format!("{} % of attempts", share * 100.0),
            BudgetLimit::PerSecond(rate) => format!("{rate} a second"),
            BudgetLimit::BytesPerSecond(rate) => format!("{rate} bytes a second"),
        };
        if let Some(classes) = &self.classes {
            let classes: Vec<_> = classes.iter().map(|class| name(&names.classes, class.0)).collect();
            text += &format!(", {}", classes.join(" and "));
        }
        if let Some(zones) = &self.to {
            let zones: Vec<_> = zones.iter().map(|zone| name(&names.zones, zone.0 as usize)).collect();
            text += &format!(", to {}", zones.join(" and "));
        }
        text
    }
}

/// What holds for crossings.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// The terms while budgets are full.
    pub cost: f64,
    /// The terms when they are empty, and for bends.
    pub exemption_threshold: f64,
    /// Reasons for which requests cross without a budget.
    pub exemptions: Vec<BudgetExemption>,
    /// The budgets.
    pub budgets: Vec<Budget>,
}

#[derive(Debug)]
struct Purse {
    budget: Budget,
    bucket: TokenBucket,
    /// Whether it bears on every way out of the zone.
    whole: bool,
}

impl Purse {
    fn covers(&self, class: ClassId) -> bool {
        self.budget.classes.as_ref().is_none_or(|classes| classes.contains(&class))
    }

    fn covers_to(&self, class: ClassId, to: ZoneId) -> bool {
        self.covers(class) && self.budget.to.as_ref().is_none_or(|zones| zones.contains(&to))
    }

    fn price(&self, bytes: f64) -> f64 {
        if matches!(self.budget.limit, BudgetLimit::BytesPerSecond(_)) { bytes } else { 1.0 }
    }
}

/// An attempt that is out, and the bytes that were paid for it ahead if it crosses.
#[derive(Debug, Clone, Copy)]
struct Out {
    class: ClassId,
    to: ZoneId,
    paid: f64,
}

/// The plan of one instance.
#[derive(Debug)]
pub struct CrossZoneBudgets {
    rules: Rules,
    purses: Vec<Purse>,
    sidecars: u32,
    counts: Arc<Counts>,
    /// What an attempt moves, by class.
    usual_bytes: Vec<f64>,
    /// Bounded by the attempts that are out.
    out: FxHashMap<(RequestId, AttemptNo), Out>,
}

/// How a bucket is filled and what it holds, for one of so many sidecars.
fn shape(budget: &Budget, sidecars: u32) -> (f64, f64) {
    let part = f64::from(sidecars.max(1));
    match budget.limit {
        BudgetLimit::Share(_) => (0.0, budget.burst),
        // A part of less than one crossing is still saved up until it is one.
        BudgetLimit::PerSecond(rate) => (rate / part / 1e3, (budget.burst / part).max(1.0)),
        BudgetLimit::BytesPerSecond(rate) => (rate / part / 1e3, budget.burst / part),
    }
}

impl CrossZoneBudgets {
    /// A plan whose budgets are empty: a restart makes none. What it counts goes on in these counts, whose names tell
    /// the zone that it is for.
    pub fn new(rules: Rules, counts: Arc<Counts>, sidecars: u32, now: Millis) -> CrossZoneBudgets {
        let classes = counts.names().classes.len();
        let mut plan = CrossZoneBudgets {
            rules: Rules { budgets: Vec::new(), ..rules.clone() },
            purses: Vec::new(),
            sidecars,
            counts,
            usual_bytes: vec![FIRST_BYTES; classes],
            out: FxHashMap::default(),
        };
        plan.set_rules(rules, now);
        plan
    }

    /// Brings other rules into force. A budget that stays the same keeps what it holds; a new one is empty.
    pub fn set_rules(&mut self, rules: Rules, now: Millis) {
        let names = self.counts.names();
        let home = names.local_zone;
        let far: Vec<ZoneId> =
            (0..names.zones.len()).filter(|zone| *zone != home).map(|zone| ZoneId(zone as u64)).collect();
        let mut old = std::mem::take(&mut self.purses);
        for budget in rules.budgets.iter().take(MAX_BUDGETS) {
            let whole = budget.to.as_ref().is_none_or(|to| far.iter().all(|zone| to.contains(zone)));
            let kept =
                old.iter().position(|purse| purse.budget == *budget).map(|at| old.swap_remove(at).bucket);
            let (per_ms, burst) = shape(budget, self.sidecars);
            let bucket = kept.unwrap_or_else(|| TokenBucket::new(per_ms, burst, now));
            self.purses.push(Purse { budget: budget.clone(), bucket, whole });
        }
        self.rules = rules;
        self.tell_levels(now);
    }

    fn tell_levels(&self, now: Millis) {
        self.counts.set_budget_levels(self.levels(now));
    }

    /// The counts that it keeps.
    pub fn counts(&self) -> &Arc<Counts> {
        &self.counts
    }

    /// What each budget holds and can hold, in the order of the rules.
    pub fn levels(&self, now: Millis) -> impl Iterator<Item = (f64, f64)> {
        self.purses.iter().map(move |purse| (purse.bucket.level(now), purse.bucket.burst()))
    }

    /// Attempts that are out.
    pub fn outstanding_attempts(&self) -> usize {
        self.out.len()
    }

    fn usual(&self, class: ClassId) -> f64 {
        self.usual_bytes.get(class.0).copied().unwrap_or(FIRST_BYTES)
    }

    fn crosses(&self, to: ZoneId) -> bool {
        to.0 != self.counts.names().local_zone as u64
    }
}

impl CrossZoneLimiter for CrossZoneBudgets {
    fn set_sidecar_count(&mut self, now: Millis, count: u32) {
        self.sidecars = count;
        for purse in &mut self.purses {
            let (per_ms, burst) = shape(&purse.budget, count);
            purse.bucket.set_rate_and_burst(now, per_ms, burst);
        }
    }

    /// The fee grows from [`Rules::fee`] to [`Rules::bend_at`] as the emptiest budget is used up.
    fn cross_zone_cost(&self, now: Millis, class: ClassId) -> CrossZoneCost {
        let purses = self.purses.iter().filter(|purse| purse.whole && purse.covers(class));
        let fill = purses.map(|purse| purse.bucket.fill_fraction(now)).fold(1.0, f64::min);
        let Rules { cost: fee, exemption_threshold: bend_at, .. } = self.rules;
        CrossZoneCost { cost: fee.powf(fill) * bend_at.powf(1.0 - fill), exemption_threshold: bend_at }
    }

    fn has_budget(&self, now: Millis, class: ClassId, to: Option<ZoneId>) -> bool {
        let bytes = self.usual(class);
        let mut purses = self.purses.iter().filter(|purse| match to {
            Some(to) => purse.covers_to(class, to),
            None => purse.whole && purse.covers(class),
        });
        purses.all(|purse| purse.bucket.has_tokens(now, purse.price(bytes)))
    }

    fn allows_exemption(&self, why: BudgetExemption) -> bool {
        self.rules.exemptions.contains(&why)
    }

    fn attempt_sent(&mut self, now: Millis, attempt: CrossZoneAttempt) {
        let CrossZoneAttempt { request, number, class, to, exemption: bend } = attempt;
        let (crosses, paid) = (self.crosses(to), self.usual(class));
        for purse in &mut self.purses {
            if let (true, BudgetLimit::Share(share)) = (purse.covers(class), purse.budget.limit) {
                purse.bucket.add(now, share);
            }
            if crosses && purse.covers_to(class, to) {
                purse.bucket.add(now, -purse.price(paid));
            }
        }
        self.out.insert((request, number), Out { class, to, paid });
        self.counts.add(class, to, if number.0 == 0 { Counter::First } else { Counter::Retry }, 1);
        if let Some(bend) = bend {
            self.counts.add(class, to, Counter::Exempted(bend), 1);
        }
        self.tell_levels(now);
    }

    fn attempt_ended(
        &mut self,
        now: Millis,
        request: RequestId,
        number: AttemptNo,
        outcome: Outcome,
        bytes: [u64; 2],
    ) {
        let Some(Out { class, to, paid }) = self.out.remove(&(request, number)) else { return };
        let left = !matches!(outcome, Outcome::Unreachable | Outcome::NotSent);
        let moved = if left { bytes[0].saturating_add(bytes[1]) as f64 } else { 0.0 };
        if self.crosses(to) {
            for purse in self.purses.iter_mut().filter(|purse| purse.covers_to(class, to)) {
                match purse.budget.limit {
                    BudgetLimit::BytesPerSecond(_) => purse.bucket.add(now, paid - moved),
                    // What never left has cost nothing.
                    _ if !left => purse.bucket.add(now, 1.0),
                    _ => {}
                }
            }
        }
        let kind = match outcome {
            _ if !left => Counter::Unsent,
            Outcome::Ok => Counter::Served,
            _ => Counter::Failed,
        };
        self.counts.add(class, to, kind, 1);
        if left {
            self.counts.add(class, to, Counter::BytesOut, bytes[0]);
            self.counts.add(class, to, Counter::BytesIn, bytes[1]);
        }
        if let (Outcome::Ok, Some(usual)) = (outcome, self.usual_bytes.get_mut(class.0)) {
            *usual += SMOOTH * (moved - *usual);
        }
    }

    fn probe_sent(&mut self, to: ZoneId) {
        self.counts.add_probe(to);
    }
}
