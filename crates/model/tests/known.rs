//! The model against what theory knows, and what must hold whatever is played.

use proptest::collection::vec;
use proptest::prelude::*;
use sagemast_model::day::Day;
use sagemast_model::engine::Engine;
use sagemast_model::outcome::Outcome;
use sagemast_model::policy::NAMES;
use sagemast_model::world::play;

/// One class of 10 ms at this many a second on these servers, with nothing between and all the time in the world.
fn queue(rate: f64, servers: &str, spread: &str, length_s: f64) -> Day {
    let text = format!(
        "length_s = {length_s}\nwarm_up_s = 20\nclients = {{ sidecars = 1, rate = {rate} }}\n\
         class = [{{ name = \"a\", work_ms = 10, aim_ms = 1e6, deadline_ms = 1e6, spread = {spread} }}]\n\
         servers = [{{ bound_per_core = 1000000, {servers} }}]\n\
         network = {{ same_ms = 0, cross_ms = 0, probes = false }}"
    );
    let day: Day = toml::from_str(&text).expect("it is a day");
    assert_eq!(day.faults(), []);
    day
}

/// The mean time in the system over some seeds, in milliseconds.
fn mean(day: &Day, seeds: u64) -> f64 {
    let outcomes: Vec<Outcome> =
        (1..=seeds).map(|seed| play(day, "random", seed, false).expect("it is one")).collect();
    assert!(
        outcomes.iter().all(|outcome| outcome.left == 0 && outcome.broken == 0 && outcome.goodput == 1.0)
    );
    outcomes.iter().map(|outcome| outcome.mean_ms).sum::<f64>() / seeds as f64
}

fn near(found: f64, theory: f64, what: &str) {
    assert!((found / theory - 1.0).abs() < 0.01, "{what}: {found} and by theory {theory}");
}

#[test]
fn queues_take_as_long_as_theory_says() {
    // M/M/1: 1 / (mu - lambda).
    near(mean(&queue(50.0, "count = 1, cores = 1", "\"exponential\"", 4_000.0), 4), 20.0, "M/M/1");
    // M/M/c by Erlang's C: four servers at 70 %.
    let (c, rho): (f64, f64) = (4.0, 0.7);
    let load = c * rho;
    let terms = |upto: u32| {
        (0..upto).map(|k| load.powi(k as i32) / (1..=k).map(f64::from).product::<f64>()).sum::<f64>()
    };
    let last = load.powf(c) / 24.0 / (1.0 - rho);
    let wait = last / (terms(4) + last) / (c * 0.1 * (1.0 - rho));
    near(mean(&queue(280.0, "count = 1, cores = 4", "\"exponential\"", 1_500.0), 4), 10.0 + wait, "M/M/4");
    // M/D/1 by Pollaczek and Khinchine: half the wait of M/M/1.
    near(mean(&queue(50.0, "count = 1, cores = 1", "\"constant\"", 2_000.0), 4), 15.0, "M/D/1");
    // M/G/1 with shared cores takes what M/M/1 does, however work is spread.
    let shared = "count = 1, cores = 1, discipline = \"shared\"";
    near(mean(&queue(50.0, shared, "{ bimodal = [0.1, 5] }", 4_000.0), 4), 20.0, "M/G/1-PS");
    // In order it does not: E[S] + lambda E[S2] / (2 (1 - rho)).
    let (short, long) = (10.0 / 1.4, 50.0 / 1.4);
    let square = 0.9 * short * short + 0.1 * long * long;
    let theory = 10.0 + 0.05 * square / (2.0 * 0.5);
    near(mean(&queue(50.0, "count = 1, cores = 1", "{ bimodal = [0.1, 5] }", 4_000.0), 4), theory, "M/G/1");
}

#[test]
fn two_choices_leave_a_far_smaller_largest_load() {
    // As many balls as bins, none of which leaves: ln n / ln ln n against ln ln n / ln 2.
    let mut day = queue(2_000.0, "count = 2000, cores = 1", "\"constant\"", 1.0);
    (day.class[0].work_ms, day.warm_up_s) = (1e6, 0.0);
    let most = |policy| {
        let loads = (1..=5).map(|seed| play(&day, policy, seed, false).expect("it is one").most_in_flight);
        loads.sum::<u64>() as f64 / 5.0
    };
    let (one, two) = (most("random"), most("two-choices"));
    assert!((5.0..8.0).contains(&one) && (2.5..4.1).contains(&two), "{one} {two}");
}

fn rough(policy_rate: f64) -> Day {
    let text = format!(
        "length_s = 12\nclients = {{ sidecars = 4, rate = {policy_rate}, retries = 2, burst = {{ times = 3, on_s = 1, off_s = 3 }} }}\n\
         class = [{{ name = \"a\", work_ms = 20, aim_ms = 200, deadline_ms = 600 }},\n\
                  {{ name = \"k\", work_ms = 20, aim_ms = 200, deadline_ms = 600, effect = \"keyed\" }},\n\
                  {{ name = \"u\", work_ms = 20, aim_ms = 200, deadline_ms = 600, effect = \"unsafe\" }}]\n\
         servers = [{{ count = 6, cores = 2, speed = [0.5, 1.5], bound_per_core = 8 }}]\n\
         network = {{ zones = 2 }}\n\
         fault = [{{ kind = \"replace\", from_s = 2, for_s = 1, part = 0.3 }}, {{ kind = \"resets\", from_s = 4, for_s = 2, part = 0.3 }},\n\
                  {{ kind = {{ slow = 5 }}, from_s = 6, for_s = 3, part = 0.5 }}, {{ kind = \"hang\", from_s = 7, for_s = 2, part = 0.2 }},\n\
                  {{ kind = \"fast-errors\", from_s = 9, for_s = 1, part = 0.3, class = \"k\" }}, {{ kind = {{ rush = 4 }}, from_s = 10, for_s = 1 }}]"
    );
    let day: Day = toml::from_str(&text).expect("it is a day");
    assert_eq!(day.faults(), []);
    day
}

#[test]
fn every_policy_ends_every_day_with_nothing_left_and_the_same_seed_plays_the_same() {
    for rate in [50.0, 400.0] {
        let day = rough(rate);
        for policy in NAMES {
            let first = play(&day, policy, 3, false).expect("it is one");
            assert_eq!(first.left, 0, "{policy}");
            assert!(first.goodput > 0.1 && first.asked > 300, "{policy}: {first:?}");
            assert_eq!(play(&day, policy, 3, false), Some(first.clone()), "{policy}");
            assert_ne!(play(&day, policy, 4, false), Some(first), "{policy}");
        }
    }
}

#[test]
fn the_module_keeps_the_rules_where_others_push_cold_servers_over() {
    let day = rough(400.0);
    let broken =
        |policy| -> u64 { (1..=5).map(|seed| play(&day, policy, seed, false).expect("one").broken).sum() };
    assert_eq!(broken("sagemast"), 0);
    assert!(broken("random") > 0, "the day is rough enough for the rule to matter");
}

#[test]
fn another_policy_leaves_what_clients_ask_as_it_was() {
    let day = rough(100.0);
    let asked = |policy| -> Vec<u64> {
        play(&day, policy, 5, false).expect("one").by_second.iter().map(|[asked, _]| *asked).collect()
    };
    let first = asked("sagemast");
    assert!(NAMES.iter().all(|policy| asked(policy) == first));
}

proptest! {
    #[test]
    fn events_come_out_in_order_and_ties_as_they_went_in(times in vec(0..50_u64, 0..200)) {
        let mut engine = Engine::default();
        times.iter().enumerate().for_each(|(number, at)| engine.at(*at, (*at, number)));
        let mut out = Vec::new();
        while let Some(event) = engine.next_event() {
            prop_assert_eq!(engine.now(), event.0);
            out.push(event);
        }
        let mut sorted = out.clone();
        sorted.sort_unstable();
        prop_assert_eq!(&out, &sorted);
        prop_assert_eq!((out.len(), engine.played(), engine.waiting()), (times.len(), times.len() as u64, 0));
    }
}
