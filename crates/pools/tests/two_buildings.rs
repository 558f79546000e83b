//! Crossing budgets over whole days of two buildings, with the real module: shares, service and rules in numbers.

mod world;

use sagemast_decide::crossing::Bend;
use sagemast_pools::crossing::{Budget, Measure, Rules};
use world::{Day, Trouble, World};

fn rules(share: f64) -> Rules {
    let budget = Budget { classes: None, to: None, measure: Measure::Share(share), burst: 10.0 };
    Rules { fee: 0.03, bend_at: 0.2, bends: Bend::ALL.to_vec(), budgets: vec![budget] }
}

fn play(rules: Option<Rules>, trouble: Trouble) -> Day {
    let day = World::usual(rules, trouble).play();
    assert_eq!((day.unanswered, day.doubled, day.left_out), (0, 0, 0));
    day
}

/// A bill never runs twice, everyone gets one answer, and plans end with nothing out: `play` looks at each day.
#[test]
fn on_a_calm_day_a_budget_costs_nothing_and_holds() {
    let free = play(None, Trouble::None);
    for share in [0.0, 0.02, 0.1] {
        let day = play(Some(rules(share)), Trouble::None);
        for building in 0..2 {
            assert!(day.service(building) > free.service(building) - 0.005, "{share}: {day:?}");
            let (paid, bent) = day.paid(building);
            assert!(paid <= share, "{share}: {paid}");
            assert!(bent < 0.005, "{share}: nothing is wrong, and {bent} bends");
        }
    }
}

#[test]
fn a_small_building_crosses_no_more_than_its_budget_but_for_bends() {
    let small = |rules| World { servers: [3, 7], ..World::usual(rules, Trouble::None) };
    let free = small(None).play();
    let (crossing, _) = free.paid(0);
    assert!(crossing > 0.03, "there is something to save: {crossing}");
    let mut before = crossing;
    for share in [0.1, 0.02, 0.0] {
        let day = small(Some(rules(share))).play();
        let (paid, _) = day.paid(0);
        assert!(paid <= share && paid <= before + 0.01, "{share}: {paid}");
        assert!(
            day.service(0) + day.service(1) > free.service(0) + free.service(1) - 0.03,
            "{share}: {day:?}"
        );
        before = paid;
    }
    // Where nothing may bend, nothing but the budget crosses, and what has no room near is refused.
    let hard = small(Some(Rules { bends: Vec::new(), ..rules(0.02) })).play();
    assert!(hard.crossed(0, None) <= 0.02 && hard.paid(0).1 == 0.0, "{hard:?}");
    assert!(hard.refused > 0 && hard.unanswered == 0);
}

#[test]
fn a_building_that_crawls_bends_the_budget_and_not_the_service() {
    let trouble = Trouble::Crawl(0, 5.0);
    let free = play(None, trouble);
    let hard = play(Some(Rules { bends: Vec::new(), ..rules(0.02) }), trouble);
    for share in [0.0, 0.02, 0.1] {
        let day = play(Some(rules(share)), trouble);
        let (paid, bent) = day.paid(0);
        assert!(paid <= share && bent > 0.1, "{share}: {paid} {bent}");
        let all = |day: &Day| day.service_then(0) + day.service_then(1);
        assert!(all(&day) > all(&free) - 0.06, "{share}: {} {}", all(&day), all(&free));
        assert!(day.service_then(0) > hard.service_then(0) + 0.1, "{share}: the bends are what helps");
        // The other building is not drawn in more than without a budget.
        assert!(day.service_then(1) > free.service_then(1), "{share}");
        assert!(day.crossed(1, None) <= share + 0.03, "{share}: {}", day.crossed(1, None));
    }
}

#[test]
fn a_building_that_fails_at_once_does_not_hold_its_requests() {
    // Only two in five of all servers may be ejected: what is left of a building that fails would take all.
    let day = play(Some(rules(0.0)), Trouble::Resets(0));
    let hard = play(Some(Rules { bends: Vec::new(), ..rules(0.0) }), Trouble::Resets(0));
    assert!(
        day.service_then(0) > hard.service_then(0) + 0.3,
        "{} {}",
        day.service_then(0),
        hard.service_then(0)
    );
    let bent = |day: &Day| day.totals[0].rows.iter().map(|row| row.bent.failing).sum::<u64>();
    assert!(bent(&day) > 0 && bent(&hard) == 0);
}

#[test]
fn a_building_that_is_lost_crosses_whatever_the_budget() {
    let free = play(None, Trouble::Gone(0));
    let day = play(Some(rules(0.0)), Trouble::Gone(0));
    assert!(
        day.service_then(0) > free.service_then(0) - 0.1,
        "{} {}",
        day.service_then(0),
        free.service_then(0)
    );
    let down: u64 = day.totals[0].rows.iter().map(|row| row.bent.down).sum();
    assert!(down > 1_000, "{down}");
}

#[test]
fn buildings_that_are_cut_from_each_other_serve_on() {
    let day = play(Some(rules(0.02)), Trouble::CutOff);
    assert!(day.service_then(0) > 0.97 && day.service_then(1) > 0.97, "{day:?}");
}

#[test]
fn a_building_with_one_server_and_one_with_none_are_served() {
    for servers in [[1, 9], [0, 10]] {
        for share in [0.0, 0.02] {
            let day = World { servers, ..World::usual(Some(rules(share)), Trouble::None) }.play();
            assert_eq!((day.unanswered, day.doubled, day.left_out), (0, 0, 0));
            assert!(day.service(0) > 0.9, "{servers:?} {share}: {}", day.service(0));
        }
    }
}

#[test]
fn one_request_in_two_seconds_is_served_and_counted() {
    let day = World { rate: 0.5, ..World::usual(Some(rules(0.02)), Trouble::Gone(0)) }.play();
    assert_eq!(day.unanswered, 0);
    assert!(day.service(0) > 0.9, "{day:?}");
}

#[test]
fn classes_have_budgets_of_their_own() {
    use sagemast_decide::api::ClassId;
    let only = |class, share| Budget {
        classes: Some(vec![ClassId(class)]),
        to: None,
        measure: Measure::Share(share),
        burst: 10.0,
    };
    let budgets = vec![only(0, 0.0), only(1, 0.5)];
    let day = World { servers: [3, 7], ..World::usual(Some(Rules { budgets, ..rules(0.0) }), Trouble::None) }
        .play();
    let paid = |class: &str| {
        let rows = day.totals[0].rows.iter().filter(|row| row.class == class && row.crosses());
        rows.map(|row| row.attempts() - row.bent.sum()).sum::<u64>()
    };
    assert_eq!(paid("page-fetch"), 0, "its budget is 0");
    assert!(paid("draft-save") > 0 && paid("copy-bill") > 0, "theirs is large, and there is none: {day:?}");
}

#[test]
fn service_comes_back_when_a_crawl_is_over_also_where_nothing_may_cross() {
    // Once nearly all was refused nothing went anywhere, and so nothing told that servers were quick again.
    let hard = Rules { bends: Vec::new(), ..rules(0.0) };
    for (servers, rules) in [([5, 5], Some(hard)), ([5, 0], None)] {
        let usual = World::usual(rules, Trouble::Crawl(0, 6.0));
        let day = World { servers, rate: 35.0, until: 50_000.0, end: 80_000.0, ..usual }.play();
        let [asked, served] =
            day.by_second[60..80].iter().fold([0, 0], |sum, [a, s]| [sum[0] + a, sum[1] + s]);
        assert!(served * 100 > asked * 95, "{servers:?}: {:?}", day.by_second);
    }
}
