//! Crossing budgets over whole days of two buildings, with the real module: shares, service and rules in numbers.

use sagemast_model::day::{Crossing, Day};
use sagemast_model::outcome::Outcome;
use sagemast_model::world::play;

/// The trouble of a day lasts from the 20th second to the 40th.
const THEN: std::ops::Range<usize> = 20..40;
const ALL: std::ops::Range<usize> = 0..60;

/// Servers of two cores in two buildings, at about 60 % of what they can do, and a fault or none.
fn day(servers: [usize; 2], rate: f64, fault: &str) -> Day {
    // Servers stand in the zones in turn: those of the smaller building come first with as many of the other.
    let [one, other] = servers;
    assert_eq!(one, other, "unequal buildings are made by speed");
    let fault =
        if fault.is_empty() { String::new() } else { format!("{{ {fault}, from_s = 20, for_s = 20 }}") };
    let text = format!(
        "length_s = 60\nclients = {{ sidecars = 4, rate = {rate} }}\n\
         class = [{{ name = \"page-fetch\", share = 42, work_ms = 30, aim_ms = 250, deadline_ms = 1000 }},\n\
                  {{ name = \"draft-save\", share = 25, work_ms = 55, aim_ms = 400, deadline_ms = 1000 }},\n\
                  {{ name = \"errata-log\", share = 18, work_ms = 35, aim_ms = 200, deadline_ms = 1000, effect = \"keyed\" }},\n\
                  {{ name = \"copy-bill\", share = 15, work_ms = 60, aim_ms = 400, deadline_ms = 1000, effect = \"unsafe\" }}]\n\
         servers = [{{ count = {}, cores = 2 }}]\nnetwork = {{ zones = 2 }}\nfault = [{fault}]",
        one + other
    );
    let day: Day = toml::from_str(&text).expect("it is a day");
    assert_eq!(day.faults(), []);
    day
}

/// Under a budget (`None` counts only) that bends or not. Nothing is left, and no rule is broken.
fn under(day: &Day, share: Option<f64>, bends: bool) -> Outcome {
    seeded(day, share, bends, 7)
}

fn seeded(day: &Day, share: Option<f64>, bends: bool, seed: u64) -> Outcome {
    let day = Day { crossing: Some(Crossing { share, bends }), ..day.clone() };
    let outcome = play(&day, "sagemast", seed, false).expect("it is one");
    assert_eq!((outcome.left, outcome.broken), (0, 0), "{:?}", outcome.breaks);
    outcome
}

fn bent(outcome: &Outcome, why: impl Fn(&sagemast_pools::counts::ExemptionCounts) -> u64) -> u64 {
    outcome.crossings[0].rows.iter().map(|row| why(&row.exempted)).sum()
}

#[test]
fn on_a_calm_day_a_budget_costs_nothing_and_holds() {
    let calm = day([5, 5], 280.0, "");
    let free = under(&calm, None, true);
    for share in [0.0, 0.02, 0.1] {
        let outcome = under(&calm, Some(share), true);
        for zone in 0..2 {
            assert!(outcome.service(zone, ALL) > free.service(zone, ALL) - 0.01, "{share}");
            let (paid, bent) = outcome.crossed(zone);
            assert!(paid <= share && bent < 0.01, "{share}: {paid} {bent}");
        }
    }
}

#[test]
fn a_building_that_is_too_small_crosses_no_more_than_its_budget_but_for_bends() {
    // All day long one building works two and a half times slower: it is as good as two servers of five.
    let small = |share, bends| {
        let mut day = day([5, 5], 220.0, "kind = { slow = 2.5 }, zone = 0");
        (day.fault[0].from_s, day.fault[0].for_s) = (0.0, 60.0);
        under(&day, share, bends)
    };
    let free = small(None, true);
    let (mut before, _) = free.crossed(0);
    assert!(before > 0.1, "there is something to save: {before}");
    for share in [0.1, 0.02, 0.0] {
        let outcome = small(Some(share), true);
        let (paid, _) = outcome.crossed(0);
        assert!(paid <= share && paid <= before + 0.01, "{share}: {paid}");
        before = paid;
        let lost =
            free.service(0, ALL) + free.service(1, ALL) - outcome.service(0, ALL) - outcome.service(1, ALL);
        assert!(lost < 0.1, "{share}: {lost}");
    }
    // Where nothing may bend, nothing but the budget crosses, and what has no room near is refused.
    let hard = small(Some(0.02), false);
    let (paid, bent) = hard.crossed(0);
    assert!(paid <= 0.02 && bent == 0.0 && hard.refused > free.refused, "{paid} {bent}");
}

#[test]
fn a_building_that_crawls_bends_the_budget_and_not_the_service() {
    let crawl = day([5, 5], 280.0, "kind = { slow = 5 }, zone = 0");
    let free = under(&crawl, None, true);
    let hard = under(&crawl, Some(0.02), false);
    for share in [0.0, 0.02, 0.1] {
        let outcome = under(&crawl, Some(share), true);
        let (paid, bent) = outcome.crossed(0);
        assert!(paid <= share && bent > 0.1, "{share}: {paid} {bent}");
        let both = |outcome: &Outcome| outcome.service(0, THEN) + outcome.service(1, THEN);
        assert!(both(&outcome) > both(&free) - 0.12, "{share}: {} {}", both(&outcome), both(&free));
        assert!(outcome.service(0, THEN) > hard.service(0, THEN) + 0.1, "{share}: the bends are what helps");
        // The other building is not drawn in more than without a budget.
        assert!(outcome.service(1, THEN) > free.service(1, THEN) - 0.01, "{share}");
    }
}

#[test]
fn a_building_that_fails_at_once_does_not_hold_its_requests() {
    // Only two in five of all servers may be ejected: what is left of a building that fails would take all.
    let resets = day([5, 5], 200.0, "kind = \"resets\", zone = 0");
    let (soft, hard) = (under(&resets, Some(0.0), true), under(&resets, Some(0.0), false));
    assert!(
        soft.service(0, THEN) > hard.service(0, THEN) + 0.3,
        "{} {}",
        soft.service(0, THEN),
        hard.service(0, THEN)
    );
    assert!(bent(&soft, |bent| bent.failing) > 0 && bent(&hard, |bent| bent.total()) == 0);
}

#[test]
fn a_building_that_is_lost_crosses_whatever_the_budget() {
    let gone = day([5, 5], 200.0, "kind = \"replace\", zone = 0");
    let (free, none) = (under(&gone, None, true), under(&gone, Some(0.0), true));
    assert!(
        none.service(0, THEN) > free.service(0, THEN) - 0.1,
        "{} {}",
        none.service(0, THEN),
        free.service(0, THEN)
    );
    assert!(bent(&none, |bent| bent.down) > 500, "{}", bent(&none, |bent| bent.down));
}

#[test]
fn buildings_that_are_cut_from_each_other_serve_on() {
    let outcome = under(&day([5, 5], 280.0, "kind = \"cut-off\""), Some(0.02), true);
    assert!(outcome.service(0, THEN) > 0.95 && outcome.service(1, THEN) > 0.95);
}

#[test]
fn buildings_with_one_server_each_and_little_traffic_are_served() {
    let single = under(&day([1, 1], 40.0, ""), Some(0.02), true);
    assert!(single.service(0, ALL) > 0.9 && single.service(1, ALL) > 0.9);
    let quiet = under(&day([5, 5], 1.0, "kind = \"replace\", zone = 0"), Some(0.02), true);
    assert!(quiet.service(0, ALL) > 0.9, "{}", quiet.service(0, ALL));
}

#[test]
fn service_comes_back_when_a_crawl_is_over_also_where_nothing_may_cross() {
    // Once nearly all was refused nothing went anywhere, and so nothing told that servers were quick again.
    let mut crawl = day([5, 5], 140.0, "kind = { slow = 6 }, zone = 0");
    (crawl.length_s, crawl.fault[0].for_s) = (80.0, 30.0);
    let hard = under(&crawl, Some(0.0), false);
    assert!(hard.service(0, 60..80) > 0.95, "{:?}", hard.by_zone[0]);
}

#[test]
fn a_building_whose_servers_are_all_new_sends_on_what_they_may_not_take() {
    // Both of a near pair were cold and neither might be sent more: the request was refused beside warm servers.
    for rate in [1.0, 200.0] {
        let replaced = day([5, 5], rate, "kind = \"replace\", zone = 0");
        for share in [None, Some(0.0)] {
            // At one request a second a day tells by ten: one that is long by itself must not decide.
            let days: Vec<Outcome> = (1..=8).map(|seed| seeded(&replaced, share, true, seed)).collect();
            let service = days.iter().map(|day| day.service(0, 40..60)).sum::<f64>() / days.len() as f64;
            assert!(service > 0.9, "{rate} {share:?}: {service}");
            assert!(days.iter().all(|day| day.worst_surge < 1.0));
        }
    }
}
