//! The plan under any order of attempts, ends, changes and time: budgets hold and accounts return to zero.

use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::*;
use sagemast_decide::api::*;
use sagemast_decide::cross_zone::{BudgetExemption, CrossZoneAttempt, CrossZoneLimiter};
use sagemast_pools::counts::{Counts, Names, Totals};
use sagemast_pools::cross_zone_budget::{Budget, BudgetLimit, CrossZoneBudgets, Rules};

const HOME: ZoneId = ZoneId(0);
const FAR: ZoneId = ZoneId(1);

fn names() -> Names {
    let own = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    Names { classes: own(&["fetch", "bill"]), zones: own(&["howard-ave", "pass-road"]), local_zone: 0 }
}

fn budget(measure: BudgetLimit, burst: f64) -> Budget {
    Budget { classes: None, to: None, limit: measure, burst }
}

fn plan(budgets: Vec<Budget>, sidecars: u32) -> CrossZoneBudgets {
    let rules =
        Rules { cost: 0.03, exemption_threshold: 0.2, exemptions: BudgetExemption::ALL.to_vec(), budgets };
    CrossZoneBudgets::new(rules, Arc::new(Counts::new(names())), sidecars, 0.0)
}

fn attempt(number: u64, to: ZoneId, bend: Option<BudgetExemption>) -> CrossZoneAttempt {
    CrossZoneAttempt {
        request: RequestId(number),
        number: AttemptNo(0),
        class: ClassId(0),
        to,
        exemption: bend,
    }
}

#[derive(Debug, Clone)]
enum Step {
    /// An attempt that wants to cross, and whether it does so in any case.
    Cross(bool),
    Stay,
    End(usize, u8, u64),
    Wait(f64),
    Sidecars(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<bool>().prop_map(Step::Cross),
        4 => Just(Step::Stay),
        4 => (0..64_usize, 0..3_u8, 0..100_000_u64).prop_map(|(which, how, bytes)| Step::End(which, how, bytes)),
        2 => (0.0..500.0).prop_map(Step::Wait),
        1 => (1..6_u32).prop_map(Step::Sidecars),
    ]
}

fn outcome(how: u8) -> Outcome {
    [Outcome::Ok, Outcome::Reset, Outcome::Unreachable][usize::from(how)]
}

proptest! {
    #[test]
    fn a_share_holds_at_all_times(share in 0.0..0.5_f64, burst in 1.0..20.0_f64, steps in vec(step(), 0..400)) {
        let mut plan = plan(vec![budget(BudgetLimit::Share(share), burst)], 2);
        let (mut now, mut next, mut out) = (0.0, 0, Vec::new());
        let (mut sent, mut paid) = (0_u64, 0_u64);
        for step in steps {
            match step {
                Step::Cross(bends) => {
                    let pays = plan.has_budget(now, ClassId(0), Some(FAR));
                    let bend = (!pays).then_some(BudgetExemption::Full);
                    if !pays && !bends {
                        continue;
                    }
                    next += 1;
                    out.push(next);
                    plan.attempt_sent(now, attempt(next, FAR, bend));
                    (sent, paid) = (sent + 1, paid + u64::from(pays));
                }
                Step::Stay => {
                    next += 1;
                    out.push(next);
                    plan.attempt_sent(now, attempt(next, HOME, None));
                    sent += 1;
                }
                Step::End(which, how, bytes) if !out.is_empty() => {
                    let number = out.swap_remove(which % out.len());
                    let went = outcome(how);
                    plan.attempt_ended(now, RequestId(number), AttemptNo(0), went, [bytes, bytes]);
                    // Twice is once.
                    plan.attempt_ended(now, RequestId(number), AttemptNo(0), went, [bytes, bytes]);
                }
                Step::End(..) => {}
                Step::Wait(span) => now += span,
                Step::Sidecars(count) => plan.set_sidecar_count(now, count),
            }
            let (level, most) = plan.levels(now).next().expect("one budget");
            prop_assert!(level.abs() <= most, "{level} of {most}");
            let totals = plan.counts().totals();
            let unsent: u64 = totals.rows.iter().filter(|row| row.is_cross_zone()).map(|row| row.unsent).sum();
            prop_assert!(
                paid as f64 <= share * sent as f64 + unsent as f64 + 1e-3,
                "{paid} were paid for of {sent}, of which {unsent} never left"
            );
            prop_assert_eq!(plan.outstanding_attempts(), out.len());
            prop_assert_eq!(totals.attempts_and_crossings(None), (sent, totals.attempts_and_crossings(None).1));
        }
    }

    #[test]
    fn a_rate_holds_in_every_span(rate in 0.1..50.0_f64, steps in vec((0.0..300.0_f64, 0..3_u8), 1..300)) {
        let burst = 5.0;
        let mut plan = plan(vec![budget(BudgetLimit::PerSecond(rate), burst)], 1);
        let (mut now, mut paid) = (0.0, Vec::new());
        for (number, (span, _)) in steps.into_iter().enumerate() {
            now += span;
            if plan.has_budget(now, ClassId(0), Some(FAR)) {
                plan.attempt_sent(now, attempt(number as u64, FAR, None));
                paid.push(now);
            }
        }
        for (first, from) in paid.iter().enumerate() {
            for (last, until) in paid.iter().enumerate().skip(first) {
                let most = burst + rate * (until - from) / 1e3 + 1e-3;
                prop_assert!((last - first + 1) as f64 <= most, "{} in {} ms", last - first + 1, until - from);
            }
        }
    }

    #[test]
    fn bytes_are_paid_as_they_turn_out(rate in 1_000.0..1e6_f64, bytes in vec(0..200_000_u64, 1..60)) {
        let burst = 1e9;
        let mut plan = plan(vec![budget(BudgetLimit::BytesPerSecond(rate), burst)], 1);
        let now = 1e6;
        let before = plan.levels(now).next().expect("one").0;
        for number in 0..bytes.len() {
            plan.attempt_sent(now, attempt(number as u64, FAR, None));
        }
        for (number, moved) in bytes.iter().enumerate() {
            plan.attempt_ended(now, RequestId(number as u64), AttemptNo(0), Outcome::Ok, [*moved, 0]);
        }
        let spent = before - plan.levels(now).next().expect("one").0;
        prop_assert!((spent - bytes.iter().sum::<u64>() as f64).abs() < 1.0, "{spent}");
        prop_assert_eq!(plan.outstanding_attempts(), 0);
    }

    #[test]
    fn the_fee_grows_from_end_to_end_as_the_budget_is_used_up(burst in 2.0..40.0_f64) {
        let mut plan = plan(vec![budget(BudgetLimit::Share(0.5), burst)], 1);
        (0..80).for_each(|number| plan.attempt_sent(0.0, attempt(number, HOME, None)));
        let mut before = plan.cross_zone_cost(0.0, ClassId(0)).cost;
        prop_assert!((before - 0.03).abs() < 1e-9, "full: {before}");
        // Half of one is earned by each.
        for number in 0..2 * burst as u64 {
            plan.attempt_sent(0.0, attempt(100 + number, FAR, None));
            let fee = plan.cross_zone_cost(0.0, ClassId(0)).cost;
            prop_assert!(fee > before, "{fee} after {before}");
            before = fee;
        }
        (0..80).for_each(|number| plan.attempt_sent(0.0, attempt(1_000 + number, FAR, Some(BudgetExemption::Full))));
        prop_assert!((plan.cross_zone_cost(0.0, ClassId(0)).cost - 0.2).abs() < 1e-9);
    }

    #[test]
    fn counts_go_on_from_what_was_counted(rows in vec((0..2_usize, 0..3_u64, 0..5_u64), 0..20)) {
        let mut plan = plan(Vec::new(), 1);
        for (number, (class, to, bytes)) in rows.into_iter().enumerate() {
            let number = number as u64;
            let bend = (to == 1).then_some(BudgetExemption::Late);
            plan.attempt_sent(0.0, CrossZoneAttempt { class: ClassId(class), ..attempt(number, ZoneId(to), bend) });
            plan.attempt_ended(0.0, RequestId(number), AttemptNo(0), Outcome::Ok, [bytes, 2 * bytes]);
            plan.probe_sent(ZoneId(to));
        }
        let before = plan.counts().totals();
        let text = serde_json::to_string(&before).expect("it has a form");
        let after = Counts::new(names());
        after.add_previous(&serde_json::from_str(&text).expect("it is read as it was written"));
        prop_assert_eq!(after.totals(), before.clone());
        after.add_previous(&before);
        let mut twice = before.clone();
        twice.add(&before);
        prop_assert_eq!(after.totals(), twice);
        let other = Counts::new(Names { classes: vec!["other".to_owned()], ..names() });
        other.add_previous(&before);
        prop_assert_eq!(other.totals(), Totals { rows: Vec::new(), ..other.totals() });
    }
}

#[test]
fn a_new_plan_has_no_budget_and_a_changed_one_keeps_what_is_the_same() {
    let (share, rate) = (budget(BudgetLimit::Share(0.5), 10.0), budget(BudgetLimit::PerSecond(100.0), 4.0));
    let mut plan = plan(vec![share.clone(), rate.clone()], 1);
    assert!(!plan.has_budget(0.0, ClassId(0), None), "a restart makes no budget");
    (0..20).for_each(|number| plan.attempt_sent(0.0, attempt(number, HOME, None)));
    assert!(plan.has_budget(100.0, ClassId(0), None));
    let rules = Rules {
        cost: 0.1,
        exemption_threshold: 0.3,
        exemptions: Vec::new(),
        budgets: vec![rate.clone(), share],
    };
    plan.set_rules(rules, 100.0);
    assert_eq!(plan.levels(100.0).collect::<Vec<_>>(), [(4.0, 4.0), (10.0, 10.0)]);
    assert_eq!(plan.outstanding_attempts(), 20, "what is out is still accounted for");
    assert!(!plan.allows_exemption(BudgetExemption::Down));
    let rules = Rules {
        cost: 0.1,
        exemption_threshold: 0.3,
        exemptions: Vec::new(),
        budgets: vec![Budget { burst: 5.0, ..rate }],
    };
    plan.set_rules(rules, 100.0);
    assert!(!plan.has_budget(100.0, ClassId(0), None), "this one is new");
}

#[test]
fn what_never_left_is_given_back() {
    let mut plan = plan(vec![budget(BudgetLimit::Share(0.1), 1.0)], 1);
    (0..10).for_each(|number| plan.attempt_sent(0.0, attempt(number, HOME, None)));
    for outcome in [Outcome::Unreachable, Outcome::NotSent, Outcome::Reset] {
        assert!(plan.has_budget(0.0, ClassId(0), Some(FAR)), "{outcome:?}");
        plan.attempt_sent(0.0, attempt(99, FAR, None));
        assert!(!plan.has_budget(0.0, ClassId(0), Some(FAR)), "it is out");
        plan.attempt_ended(0.0, RequestId(99), AttemptNo(0), outcome, [10, 10]);
    }
    assert!(!plan.has_budget(0.0, ClassId(0), Some(FAR)), "a reset may have run");
}

#[test]
fn a_budget_for_one_direction_closes_only_that() {
    let mut to = budget(BudgetLimit::Share(0.0), 1.0);
    to.to = Some(vec![ZoneId(2)]);
    let names = Names { zones: ["a", "b", "c"].map(str::to_owned).to_vec(), ..names() };
    let rules = Rules { cost: 0.03, exemption_threshold: 0.2, exemptions: Vec::new(), budgets: vec![to] };
    let plan = CrossZoneBudgets::new(rules, Arc::new(Counts::new(names)), 1, 0.0);
    let pays = [None, Some(ZoneId(1)), Some(ZoneId(2))].map(|to| plan.has_budget(0.0, ClassId(0), to));
    assert_eq!(pays, [true, true, false]);
    assert!((plan.cross_zone_cost(0.0, ClassId(0)).cost - 0.03).abs() < 1e-9);
}

#[test]
fn a_class_has_a_budget_of_its_own_beside_that_of_all() {
    let bills = Budget { classes: Some(vec![ClassId(1)]), ..budget(BudgetLimit::Share(0.1), 5.0) };
    let mut plan = plan(vec![budget(BudgetLimit::Share(1.0), 50.0), bills], 1);
    let bill = |number, to| CrossZoneAttempt { class: ClassId(1), ..attempt(number, to, None) };
    (0..50).for_each(|number| plan.attempt_sent(0.0, attempt(number, HOME, None)));
    assert_eq!(
        [0, 1].map(|class| plan.has_budget(0.0, ClassId(class), Some(FAR))),
        [true, false],
        "no bill has earned one"
    );
    (50..60).for_each(|number| plan.attempt_sent(0.0, bill(number, HOME)));
    assert!(plan.has_budget(0.0, ClassId(1), Some(FAR)));
    plan.attempt_sent(0.0, bill(60, FAR));
    assert_eq!(
        [0, 1].map(|class| plan.has_budget(0.0, ClassId(class), Some(FAR))),
        [true, false],
        "it is spent"
    );
}

#[test]
fn many_sidecars_share_one_rate() {
    let mut one = plan(vec![budget(BudgetLimit::PerSecond(10.0), 10.0)], 1);
    let mut ten = plan(vec![budget(BudgetLimit::PerSecond(10.0), 10.0)], 10);
    let crossings = |plan: &mut CrossZoneBudgets| {
        let mut paid = 0;
        for ms in 0..10_000_u64 {
            if plan.has_budget(ms as f64, ClassId(0), Some(FAR)) {
                plan.attempt_sent(ms as f64, attempt(ms, FAR, None));
                paid += 1;
            }
        }
        paid
    };
    let (alone, each) = (crossings(&mut one), crossings(&mut ten));
    assert!((95..=110).contains(&alone), "{alone}");
    assert!((9..=11).contains(&each), "{each}");
    ten.set_sidecar_count(10_000.0, 1);
    assert!(ten.levels(20_000.0).next().expect("one").0 > 9.0, "alone again it has all of it");
}
