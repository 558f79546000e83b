//! Cross-zone budgets under any order of attempts, ends, changes and waits: limits hold, and ended attempts
//! leave no entries.

use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::*;
use sagemast_decide::api::*;
use sagemast_decide::cross_zone::{BudgetExemption, CrossZoneAttempt, CrossZoneLimiter};
use sagemast_pools::counts::{Counts, Names, Totals};
use sagemast_pools::cross_zone_budget::{Budget, BudgetLimit, CrossZoneBudgets, Rules};

const LOCAL_ZONE: ZoneId = ZoneId(0);
const OTHER_ZONE: ZoneId = ZoneId(1);

fn names() -> Names {
    let owned = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    Names { classes: owned(&["fetch", "bill"]), zones: owned(&["howard-ave", "pass-road"]), local_zone: 0 }
}

fn budget(limit: BudgetLimit, burst: f64) -> Budget {
    Budget { classes: None, to: None, limit, burst }
}

fn cross_zone_budgets(budgets: Vec<Budget>, sidecars: u32) -> CrossZoneBudgets {
    let rules =
        Rules { cost: 0.03, exemption_threshold: 0.2, exemptions: BudgetExemption::ALL.to_vec(), budgets };
    CrossZoneBudgets::new(rules, Arc::new(Counts::new(names())), sidecars, 0.0)
}

/// The first attempt of the request with this number.
fn attempt(request: u64, to: ZoneId, exemption: Option<BudgetExemption>) -> CrossZoneAttempt {
    CrossZoneAttempt { request: RequestId(request), number: AttemptNo(0), class: ClassId(0), to, exemption }
}

#[derive(Debug, Clone)]
enum Step {
    /// An attempt for the other zone, and whether it is sent even without a budget.
    Cross(bool),
    /// An attempt for the local zone.
    Stay,
    /// The end of an attempt in flight: its index, outcome and bytes in each direction.
    End(usize, u8, u64),
    /// A wait in milliseconds.
    Wait(f64),
    /// A new number of sidecars.
    Sidecars(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<bool>().prop_map(Step::Cross),
        4 => Just(Step::Stay),
        4 => (0..64_usize, 0..3_u8, 0..100_000_u64)
            .prop_map(|(index, outcome, bytes)| Step::End(index, outcome, bytes)),
        2 => (0.0..500.0).prop_map(Step::Wait),
        1 => (1..6_u32).prop_map(Step::Sidecars),
    ]
}

fn outcome(number: u8) -> Outcome {
    [Outcome::Ok, Outcome::Reset, Outcome::Unreachable][usize::from(number)]
}

proptest! {
    #[test]
    fn paid_crossings_never_exceed_the_share_of_attempts(
        share in 0.0..0.5_f64,
        burst in 1.0..20.0_f64,
        steps in vec(step(), 0..400),
    ) {
        let mut budgets = cross_zone_budgets(vec![budget(BudgetLimit::Share(share), burst)], 2);
        let (mut now, mut next, mut in_flight) = (0.0, 0, Vec::new());
        let (mut sent, mut paid) = (0_u64, 0_u64);
        for step in steps {
            match step {
                Step::Cross(is_exempted) => {
                    let has_budget = budgets.has_budget(now, ClassId(0), Some(OTHER_ZONE));
                    let exemption = (!has_budget).then_some(BudgetExemption::Full);
                    if !has_budget && !is_exempted {
                        continue;
                    }
                    next += 1;
                    in_flight.push(next);
                    budgets.attempt_sent(now, attempt(next, OTHER_ZONE, exemption));
                    (sent, paid) = (sent + 1, paid + u64::from(has_budget));
                }
                Step::Stay => {
                    next += 1;
                    in_flight.push(next);
                    budgets.attempt_sent(now, attempt(next, LOCAL_ZONE, None));
                    sent += 1;
                }
                Step::End(index, number, bytes) if !in_flight.is_empty() => {
                    let request = in_flight.swap_remove(index % in_flight.len());
                    let outcome = outcome(number);
                    budgets.attempt_ended(now, RequestId(request), AttemptNo(0), outcome, [bytes, bytes]);
                    // The repeated end must have no effect.
                    budgets.attempt_ended(now, RequestId(request), AttemptNo(0), outcome, [bytes, bytes]);
                }
                Step::End(..) => {}
                Step::Wait(duration) => now += duration,
                Step::Sidecars(count) => budgets.set_sidecar_count(now, count),
            }
            let (level, burst) = budgets.levels(now).next().expect("there is one budget");
            prop_assert!(level.abs() <= burst, "{level} of {burst}");
            let totals = budgets.counts().totals();
            let unsent: u64 =
                totals.rows.iter().filter(|row| row.is_cross_zone()).map(|row| row.unsent).sum();
            prop_assert!(
                paid as f64 <= share * sent as f64 + unsent as f64 + 1e-3,
                "a budget paid for {paid} of {sent} attempts; {unsent} were never sent"
            );
            prop_assert_eq!(budgets.outstanding_attempts(), in_flight.len());
            prop_assert_eq!(
                totals.attempts_and_crossings(None),
                (sent, totals.attempts_and_crossings(None).1)
            );
        }
    }

    #[test]
    fn paid_crossings_never_exceed_the_rate_in_any_interval(
        rate in 0.1..50.0_f64,
        steps in vec((0.0..300.0_f64, 0..3_u8), 1..300),
    ) {
        let burst = 5.0;
        let mut budgets = cross_zone_budgets(vec![budget(BudgetLimit::PerSecond(rate), burst)], 1);
        let (mut now, mut paid_at) = (0.0, Vec::new());
        for (number, (wait, _)) in steps.into_iter().enumerate() {
            now += wait;
            if budgets.has_budget(now, ClassId(0), Some(OTHER_ZONE)) {
                budgets.attempt_sent(now, attempt(number as u64, OTHER_ZONE, None));
                paid_at.push(now);
            }
        }
        for (first, from) in paid_at.iter().enumerate() {
            for (last, until) in paid_at.iter().enumerate().skip(first) {
                let max = burst + rate * (until - from) / 1e3 + 1e-3;
                prop_assert!((last - first + 1) as f64 <= max, "{} in {} ms", last - first + 1, until - from);
            }
        }
    }

    #[test]
    fn byte_budget_is_charged_with_the_bytes_that_were_transferred(
        rate in 1_000.0..1e6_f64,
        bytes in vec(0..200_000_u64, 1..60),
    ) {
        let burst = 1e9;
        let mut budgets = cross_zone_budgets(vec![budget(BudgetLimit::BytesPerSecond(rate), burst)], 1);
        let now = 1e6;
        let level_before = budgets.levels(now).next().expect("there is one budget").0;
        for number in 0..bytes.len() {
            budgets.attempt_sent(now, attempt(number as u64, OTHER_ZONE, None));
        }
        for (number, transferred) in bytes.iter().enumerate() {
            let request = RequestId(number as u64);
            budgets.attempt_ended(now, request, AttemptNo(0), Outcome::Ok, [*transferred, 0]);
        }
        let spent = level_before - budgets.levels(now).next().expect("there is one budget").0;
        prop_assert!((spent - bytes.iter().sum::<u64>() as f64).abs() < 1.0, "{spent}");
        prop_assert_eq!(budgets.outstanding_attempts(), 0);
    }

    #[test]
    fn cost_rises_up_to_the_exemption_threshold_as_the_budget_is_used_up(burst in 2.0..40.0_f64) {
        let mut budgets = cross_zone_budgets(vec![budget(BudgetLimit::Share(0.5), burst)], 1);
        (0..80).for_each(|number| budgets.attempt_sent(0.0, attempt(number, LOCAL_ZONE, None)));
        let mut previous = budgets.cross_zone_cost(0.0, ClassId(0)).cost;
        prop_assert!((previous - 0.03).abs() < 1e-9, "with a full budget: {previous}");
        // Each attempt earns half of the token that it spends.
        for number in 0..2 * burst as u64 {
            budgets.attempt_sent(0.0, attempt(100 + number, OTHER_ZONE, None));
            let cost = budgets.cross_zone_cost(0.0, ClassId(0)).cost;
            prop_assert!(cost > previous, "{cost} after {previous}");
            previous = cost;
        }
        (0..80).for_each(|number| {
            budgets.attempt_sent(0.0, attempt(1_000 + number, OTHER_ZONE, Some(BudgetExemption::Full)))
        });
        prop_assert!((budgets.cross_zone_cost(0.0, ClassId(0)).cost - 0.2).abs() < 1e-9);
    }

    #[test]
    fn counts_continue_from_previous_totals(rows in vec((0..2_usize, 0..3_u64, 0..5_u64), 0..20)) {
        let mut budgets = cross_zone_budgets(Vec::new(), 1);
        for (number, (class, to, bytes)) in rows.into_iter().enumerate() {
            let number = number as u64;
            let exemption = (to == 1).then_some(BudgetExemption::Late);
            let sent = CrossZoneAttempt { class: ClassId(class), ..attempt(number, ZoneId(to), exemption) };
            budgets.attempt_sent(0.0, sent);
            budgets.attempt_ended(0.0, RequestId(number), AttemptNo(0), Outcome::Ok, [bytes, 2 * bytes]);
            budgets.probe_sent(ZoneId(to));
        }
        let previous = budgets.counts().totals();
        let text = serde_json::to_string(&previous).expect("totals can be serialized");
        let continued = Counts::new(names());
        continued.add_previous(&serde_json::from_str(&text).expect("serialized totals can be read"));
        prop_assert_eq!(continued.totals(), previous.clone());
        continued.add_previous(&previous);
        let mut twice = previous.clone();
        twice.add(&previous);
        prop_assert_eq!(continued.totals(), twice);
        let other = Counts::new(Names { classes: vec!["other".to_owned()], ..names() });
        other.add_previous(&previous);
        prop_assert_eq!(other.totals(), Totals { rows: Vec::new(), ..other.totals() });
    }
}

#[test]
fn new_budget_is_empty_and_unchanged_budget_keeps_its_tokens() {
    let share = budget(BudgetLimit::Share(0.5), 10.0);
    let rate = budget(BudgetLimit::PerSecond(100.0), 4.0);
    let mut budgets = cross_zone_budgets(vec![share.clone(), rate.clone()], 1);
    assert!(!budgets.has_budget(0.0, ClassId(0), None), "a restart grants no budget");
    (0..20).for_each(|number| budgets.attempt_sent(0.0, attempt(number, LOCAL_ZONE, None)));
    assert!(budgets.has_budget(100.0, ClassId(0), None));
    let reordered = Rules {
        cost: 0.1,
        exemption_threshold: 0.3,
        exemptions: Vec::new(),
        budgets: vec![rate.clone(), share],
    };
    budgets.set_rules(reordered, 100.0);
    assert_eq!(budgets.levels(100.0).collect::<Vec<_>>(), [(4.0, 4.0), (10.0, 10.0)]);
    assert_eq!(budgets.outstanding_attempts(), 20, "attempts in flight are still accounted for");
    assert!(!budgets.allows_exemption(BudgetExemption::Down));
    let changed = Rules {
        cost: 0.1,
        exemption_threshold: 0.3,
        exemptions: Vec::new(),
        budgets: vec![Budget { burst: 5.0, ..rate }],
    };
    budgets.set_rules(changed, 100.0);
    assert!(!budgets.has_budget(100.0, ClassId(0), None), "a changed budget is new");
}

#[test]
fn attempt_that_was_never_sent_is_refunded() {
    let mut budgets = cross_zone_budgets(vec![budget(BudgetLimit::Share(0.1), 1.0)], 1);
    (0..10).for_each(|number| budgets.attempt_sent(0.0, attempt(number, LOCAL_ZONE, None)));
    for outcome in [Outcome::Unreachable, Outcome::NotSent, Outcome::Reset] {
        assert!(budgets.has_budget(0.0, ClassId(0), Some(OTHER_ZONE)), "{outcome:?}");
        budgets.attempt_sent(0.0, attempt(99, OTHER_ZONE, None));
        assert!(!budgets.has_budget(0.0, ClassId(0), Some(OTHER_ZONE)), "the attempt is in flight");
        budgets.attempt_ended(0.0, RequestId(99), AttemptNo(0), outcome, [10, 10]);
    }
    assert!(!budgets.has_budget(0.0, ClassId(0), Some(OTHER_ZONE)), "a reset attempt may have run");
}

#[test]
fn budget_for_one_destination_does_not_limit_others() {
    let mut limited = budget(BudgetLimit::Share(0.0), 1.0);
    limited.to = Some(vec![ZoneId(2)]);
    let names = Names { zones: ["a", "b", "c"].map(str::to_owned).to_vec(), ..names() };
    let rules =
        Rules { cost: 0.03, exemption_threshold: 0.2, exemptions: Vec::new(), budgets: vec![limited] };
    let budgets = CrossZoneBudgets::new(rules, Arc::new(Counts::new(names)), 1, 0.0);
    let has_budget =
        [None, Some(ZoneId(1)), Some(ZoneId(2))].map(|to| budgets.has_budget(0.0, ClassId(0), to));
    assert_eq!(has_budget, [true, true, false]);
    assert!((budgets.cross_zone_cost(0.0, ClassId(0)).cost - 0.03).abs() < 1e-9);
}

#[test]
fn budget_of_one_class_applies_besides_the_budget_of_all_classes() {
    let bill_budget = Budget { classes: Some(vec![ClassId(1)]), ..budget(BudgetLimit::Share(0.1), 5.0) };
    let mut budgets = cross_zone_budgets(vec![budget(BudgetLimit::Share(1.0), 50.0), bill_budget], 1);
    let bill = |number, to| CrossZoneAttempt { class: ClassId(1), ..attempt(number, to, None) };
    let has_budget = |budgets: &CrossZoneBudgets| {
        [0, 1].map(|class| budgets.has_budget(0.0, ClassId(class), Some(OTHER_ZONE)))
    };
    (0..50).for_each(|number| budgets.attempt_sent(0.0, attempt(number, LOCAL_ZONE, None)));
    assert_eq!(has_budget(&budgets), [true, false], "no attempt of class 1 has earned tokens");
    (50..60).for_each(|number| budgets.attempt_sent(0.0, bill(number, LOCAL_ZONE)));
    assert!(budgets.has_budget(0.0, ClassId(1), Some(OTHER_ZONE)));
    budgets.attempt_sent(0.0, bill(60, OTHER_ZONE));
    assert_eq!(has_budget(&budgets), [true, false], "the tokens of class 1 are spent");
}

#[test]
fn rate_is_shared_by_all_sidecars() {
    let mut only = cross_zone_budgets(vec![budget(BudgetLimit::PerSecond(10.0), 10.0)], 1);
    let mut one_of_ten = cross_zone_budgets(vec![budget(BudgetLimit::PerSecond(10.0), 10.0)], 10);
    let crossings = |budgets: &mut CrossZoneBudgets| {
        let mut paid = 0;
        for ms in 0..10_000_u64 {
            if budgets.has_budget(ms as f64, ClassId(0), Some(OTHER_ZONE)) {
                budgets.attempt_sent(ms as f64, attempt(ms, OTHER_ZONE, None));
                paid += 1;
            }
        }
        paid
    };
    let (of_only, of_one_of_ten) = (crossings(&mut only), crossings(&mut one_of_ten));
    assert!((95..=110).contains(&of_only), "{of_only}");
    assert!((9..=11).contains(&of_one_of_ten), "{of_one_of_ten}");
    one_of_ten.set_sidecar_count(10_000.0, 1);
    let level = one_of_ten.levels(20_000.0).next().expect("there is one budget").0;
    assert!(level > 9.0, "a sidecar that is alone again has the whole rate");
}
