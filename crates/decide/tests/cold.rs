//! Servers that have all just started: they are used where sidecars can count what they may send, and none is pushed over.

mod common;

use common::*;
use oorandom::Rand64;
use sagemast_decide::Balancer;
use sagemast_decide::api::*;

const SERVERS: u64 = 24;
/// What a server has in all, in requests at once, and how long one takes it when warm.
const CORES: f64 = 4.0;
const WORK: Millis = 60.0;

/// The share of its capacity that a server has which started at 0.
fn warmth(at: Millis) -> f64 {
    let safety = settings().slow_start;
    (safety.initial_capacity_share + (1.0 - safety.initial_capacity_share) * at / safety.warm_up).min(1.0)
}

struct Day {
    refused: usize,
    asked: usize,
    /// By server: when work was sent, and how much.
    sent: Vec<Vec<(Millis, f64)>>,
}

/// Sends so many requests a second for 15 s over a fleet that started at 0.
fn day(sidecars: u32, rate: f64, seed: u64) -> Day {
    let mut settings = settings();
    settings.sidecars = sidecars;
    settings.limits.probes = false;
    settings.classes.iter_mut().for_each(|class| class.aim = 1_500.0);
    let list: Vec<Listing> =
        (1..=SERVERS).map(|id| Listing { started: Some(0.0), weight: CORES, ..listing(id) }).collect();
    let mut modules: Vec<Balancer> = (0..u64::from(sidecars))
        .map(|number| {
            let mut module = Balancer::new(settings.clone(), seed * 1_000 + number);
            module.handle(0.0, Event::ListReceived(ListUpdate::Complete(list.clone())), &mut Vec::new());
            module
        })
        .collect();
    let mut day = Day { refused: 0, asked: 0, sent: vec![Vec::new(); SERVERS as usize + 1] };
    let (mut rng, mut now, mut number) = (Rand64::new(u128::from(seed)), 0.0, 0);
    let mut busy: Vec<(Millis, usize, RequestId, UpstreamId, Millis)> = Vec::new();
    while now < 15_000.0 {
        now += -(1.0 - rng.rand_float()).ln() * 1_000.0 / rate;
        busy.sort_by(|a, b| a.0.total_cmp(&b.0));
        while let Some((at, who, request, upstream, latency)) =
            busy.first().copied().filter(|(at, ..)| *at <= now)
        {
            busy.remove(0);
            let (attempt, outcome) = (AttemptNo(0), Outcome::Ok);
            let end = FinishedAttempt {
                request,
                attempt,
                upstream,
                outcome,
                latency,
                client_answered: true,
                report: None,
            };
            modules[who].handle(at, Event::AttemptFinished(end), &mut Vec::new());
        }
        number += 2;
        day.asked += 1;
        let (who, request) = (rng.rand_range(0..u64::from(sidecars)) as usize, RequestId(number));
        let mut out = Vec::new();
        let event =
            Event::RequestArrived { request, class: IDEMPOTENT, tenant: TenantId(0), time_left: 4_000.0 };
        modules[who].handle(now, event, &mut out);
        for action in out {
            match action {
                Action::Send { upstream, .. } => {
                    day.sent[upstream.0 as usize].push((now, WORK));
                    let latency = WORK / warmth(now);
                    busy.push((now + latency, who, request, upstream, latency));
                }
                Action::Refuse { .. } => day.refused += 1,
                _ => {}
            }
        }
    }
    day
}

#[test]
fn a_fleet_that_has_all_just_started_is_used() {
    // A third of what the fleet can do when it starts.
    let rate = 0.16 * CORES * SERVERS as f64 / WORK * 1_000.0 / 3.0;
    for sidecars in [1, 3] {
        let day = day(sidecars, rate, 1);
        let share = day.refused as f64 / day.asked as f64;
        assert!(share < 0.01, "{sidecars} sidecars: {share} of {} is refused", day.asked);
    }
}

#[test]
fn no_cold_server_is_pushed_over_however_many_requests_come() {
    let safety = settings().slow_start;
    let loads = [(48, 60.0), (48, 500.0), (48, 3_000.0), (1, 60.0), (1, 3_000.0), (3, 500.0), (6, 1_000.0)];
    for (seed, (sidecars, rate)) in loads.into_iter().enumerate() {
        let day = day(sidecars, rate, 2 + seed as u64);
        for sent in &day.sent {
            for (first, &(at, _)) in sent.iter().enumerate() {
                let window = sent[first..].iter().take_while(|(t, _)| *t < at + safety.overload_window);
                let work: f64 = window.map(|(_, work)| work).sum();
                let most = safety.overload_multiple * warmth(at) * CORES * safety.overload_window;
                assert!(
                    work <= most + 4.0 * WORK,
                    "{work} of {most} at {at}, {sidecars} sidecars, {rate} a second"
                );
            }
        }
    }
}

/// Guards against a release in a rush: old servers were crowded, new ones nobody had heard of were taken for as crowded, and
/// half of all requests were refused beside empty servers whose allowance was not used.
#[test]
fn a_new_server_is_not_taken_for_as_crowded_as_the_old_ones() {
    let settings = Settings { probe_cost: 1e9, ..settings() };
    let mut stage = Harness::new(settings, (1..=4).map(listing).collect());
    stage.report_steadily(&[1, 2, 3, 4], 3.0, 0.75);
    [1, 2, 3, 4].iter().for_each(|id| stage.report(*id, 40.0, 1.0));
    let new = (5..=12).map(|id| Listing { started: Some(stage.now), ..listing(id) }).collect();
    stage.event(Event::ListReceived(ListUpdate::Changed(new)));
    let mut used = 0;
    for _ in 0..40 {
        stage.now += 5.0;
        let (request, actions) = stage.arrive(IDEMPOTENT);
        if let Some(to) = sent_to(&actions) {
            assert!(to.0 > 4, "it has no room");
            used += 1;
            stage.event(Event::ClientDisconnected(request));
            stage.finish(request, 0, to, Outcome::Cancelled, 1.0);
        }
    }
    assert!(used >= 8, "{used} of 40");
}
