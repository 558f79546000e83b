//! The staleness bound where discovery is asked: what it has is taken in soon after it can be reached, however calls failed
//! before, and hundreds of sidecars together leave it time to answer.

mod common;

use std::collections::VecDeque;

use common::*;
use oorandom::Rand64;
use sagemast_decide::Balancer;
use sagemast_decide::api::*;

/// A change counts as told this long after discovery had it and could be reached.
const BOUND: Millis = 6_000.0;
/// What is left of it in the worst case.
const MARGIN: Millis = 50.0;
/// The longest that a call takes, connecting included.
const LONGEST_CALL: Millis = 2_200.0;
/// Discovery turns away a call that has waited for so long.
const LONGEST_QUEUE: Millis = 2_000.0;

/// Settings under which discovery is asked, as the driver tells them.
fn asked() -> Settings {
    Settings { discovery: Discovery::Subscribed { must_ask_in: BOUND }, ..settings() }
}

/// When the module has its timer for discovery go off, if it set one.
fn call_due(actions: &[Action]) -> Option<Millis> {
    actions.iter().find_map(|action| match action {
        Action::SetTimer { at, token: 0 } => Some(*at),
        _ => None,
    })
}

/// A module and the time of its next call.
struct Sidecar {
    balancer: Balancer,
    next_call: Millis,
}

impl Sidecar {
    /// One that starts at this time.
    fn start(seed: u64, at: Millis) -> Sidecar {
        let mut sidecar = Sidecar { balancer: Balancer::new(asked(), seed), next_call: 0.0 };
        sidecar.hear(at, Event::ListReceived(ListUpdate::Restored(vec![listing(1)])));
        sidecar
    }

    /// Hears of a list or a failure, and schedules the next call if it is to make one.
    fn hear(&mut self, now: Millis, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        self.next_call = call_due(&actions).unwrap_or(f64::INFINITY);
    }

    fn fail(&mut self, now: Millis) {
        self.hear(now, Event::ListReceived(ListUpdate::Unavailable));
    }

    /// Makes the call that is due.
    fn call(&mut self, now: Millis) {
        let mut actions = Vec::new();
        self.balancer.handle(now, Event::TimerFired(0), &mut actions);
        assert!(actions.contains(&Action::Subscribe), "a call was due at {now}");
    }
}

/// How calls fail.
#[derive(Debug, Clone, Copy)]
enum Failure {
    /// Nothing comes.
    Hangs,
    /// Turned away or refused at once.
    Refused,
    /// Broken off at any time.
    Reset,
    /// Each in another way.
    Mixed,
}

impl Failure {
    /// How long a call lasts that fails so.
    fn lasts(self, rng: &mut Rand64) -> Millis {
        match self {
            Failure::Hangs => LONGEST_CALL,
            Failure::Refused => rng.rand_float(),
            Failure::Reset => LONGEST_CALL * rng.rand_float(),
            Failure::Mixed => {
                let ways = [Failure::Hangs, Failure::Refused, Failure::Reset];
                ways[rng.rand_range(0..3) as usize].lasts(rng)
            }
        }
    }
}

/// From when discovery has a change and can be reached until the module takes it in. A call that began before then fails,
/// also where it ends after; the next one is answered at the last moment.
fn staleness(seed: u64, failure: Failure, outage: Millis) -> Millis {
    let mut rng = Rand64::new(u128::from(seed) + 77);
    let mut sidecar = Sidecar::start(seed, 0.0);
    sidecar.call(sidecar.next_call);
    // The first watch is answered and ends with the outage's beginning.
    let begins = LONGEST_CALL + 30_000.0 * rng.rand_float();
    sidecar.hear(LONGEST_CALL, Event::ListReceived(ListUpdate::Complete(vec![listing(1)])));
    let reachable = begins + outage;
    sidecar.fail(begins);
    for _ in 0..10_000 {
        let began = sidecar.next_call;
        sidecar.call(began);
        if began >= reachable {
            return began + LONGEST_CALL - reachable;
        }
        sidecar.fail(began + failure.lasts(&mut rng));
    }
    panic!("it never asked again");
}

/// Guards against waits between calls that double: a change was taken in up to 10 s after it could be had.
#[test]
fn a_change_is_taken_in_within_the_bound_however_calls_failed_before() {
    for failure in [Failure::Hangs, Failure::Refused, Failure::Reset, Failure::Mixed] {
        let mut worst: f64 = 0.0;
        for seed in 0..4_000 {
            // From no time at all to a minute.
            let outage = 60_000.0 * (seed as f64 / 4_000.0).powi(3);
            worst = worst.max(staleness(seed, failure, outage));
        }
        println!("{failure:?}: {worst:.0} ms at worst");
        assert!(worst <= BOUND - MARGIN, "{failure:?}: {worst} ms");
    }
}

/// What hundreds of sidecars make of an outage of one discovery.
#[derive(Debug, Default)]
struct Herd {
    /// Calls while it was down, and after.
    calls: [u64; 2],
    /// Calls after its return that waited too long.
    turned_away: u64,
    /// From its return until the half, and the last of them had taken in what it has.
    half: Millis,
    last: Millis,
}

/// Plays an outage: all watches end with its beginning, calls hang or are refused while it lasts, and discovery works
/// through calls in turn after it, so many a second.
fn herd(sidecars: u64, per_second: f64, failure: Failure, outage: Millis, seed: u64) -> Herd {
    const STEP: Millis = 1.0;
    let mut rng = Rand64::new(u128::from(seed));
    let begins = 20_000.0;
    let mut all: Vec<Sidecar> = (0..sidecars).map(|n| Sidecar::start(seed * 1_000 + n, 0.0)).collect();
    for sidecar in &mut all {
        sidecar.call(sidecar.next_call);
        sidecar.hear(begins - 1.0, Event::ListReceived(ListUpdate::Complete(vec![listing(1)])));
        sidecar.fail(begins);
    }
    let reachable = begins + outage;
    // Calls that fail at a known time; and those that wait in turn, with their beginning.
    let mut failing: Vec<(Millis, usize)> = Vec::new();
    let mut queue: VecDeque<(Millis, usize)> = VecDeque::new();
    let (mut taken, mut herd, mut credit, mut now) = (Vec::new(), Herd::default(), 0.0_f64, begins);
    while taken.len() < all.len() {
        now += STEP;
        assert!(now < reachable + 120_000.0, "they never come through");
        let (ended, still) = failing.into_iter().partition(|(at, _)| *at <= now);
        failing = still;
        ended.into_iter().for_each(|(_, number): (Millis, usize)| all[number].fail(now));
        for (number, sidecar) in all.iter_mut().enumerate().filter(|(_, sidecar)| sidecar.next_call <= now) {
            sidecar.call(now);
            sidecar.next_call = f64::INFINITY;
            herd.calls[usize::from(now >= reachable)] += 1;
            match now >= reachable {
                true => queue.push_back((now, number)),
                false => failing.push((now + failure.lasts(&mut rng).min(LONGEST_QUEUE), number)),
            }
        }
        while queue.front().is_some_and(|(began, _)| now - began >= LONGEST_QUEUE) {
            if let Some((_, number)) = queue.pop_front() {
                herd.turned_away += 1;
                all[number].fail(now);
            }
        }
        // It does nothing beforehand.
        credit = if queue.is_empty() { 0.0 } else { credit + per_second * STEP / 1e3 };
        while credit >= 1.0
            && let Some((_, number)) = queue.pop_front()
        {
            credit -= 1.0;
            taken.push(now - reachable);
            all[number].hear(now, Event::ListReceived(ListUpdate::Complete(vec![listing(1)])));
        }
    }
    (herd.half, herd.last) = (taken[taken.len() / 2], taken[taken.len() - 1]);
    herd
}

/// Guards against sidecars that ask in step or without rest: where discovery can answer all of them in half of the bound, it
/// does within the bound, and while it is down each asks once in two seconds at most.
#[test]
fn hundreds_of_sidecars_are_told_within_the_bound_and_do_not_storm_discovery() {
    const SIDECARS: u64 = 300;
    for failure in [Failure::Hangs, Failure::Refused] {
        for per_second in [100.0, 150.0, 600.0] {
            for outage in [500.0, 8_000.0] {
                let herd = herd(SIDECARS, per_second, failure, outage, 5);
                println!("{failure:?}, {per_second}/s, {outage} ms: {herd:?}");
                assert!(herd.last <= BOUND - MARGIN, "{failure:?}, {per_second}/s, {outage} ms: {herd:?}");
                assert_eq!(herd.turned_away, 0, "{failure:?}, {per_second}/s, {outage} ms: {herd:?}");
                let most = SIDECARS as f64 * (1.0 + outage / LONGEST_QUEUE);
                assert!(herd.calls[0] as f64 <= most, "{failure:?}, {outage} ms: {herd:?}");
            }
        }
    }
}

/// Guards against a bound that holds only while nothing else goes wrong: one call after a watch may fail at once.
#[test]
fn a_call_that_fails_at_once_after_a_watch_leaves_time_for_another() {
    for seed in 0..4_000 {
        let mut sidecar = Sidecar::start(seed, 0.0);
        sidecar.call(sidecar.next_call);
        // The change comes as the watch ends, at any moment after its beginning; the next call is refused.
        let told = LONGEST_CALL;
        let ends = told + 3.0 * seed as f64;
        sidecar.hear(told, Event::ListReceived(ListUpdate::Complete(vec![listing(1)])));
        sidecar.fail(ends);
        sidecar.call(sidecar.next_call);
        sidecar.fail(sidecar.next_call);
        let taken_in = sidecar.next_call + LONGEST_CALL - ends;
        assert!(taken_in <= BOUND - MARGIN, "{taken_in} ms");
    }
}
