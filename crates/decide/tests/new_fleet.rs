//! Fleets in which all servers have just started: they are used as far as sidecars can count their
//! allowances, and none is overloaded.

mod common;

use common::*;
use oorandom::Rand64;
use sagemast_decide::Balancer;
use sagemast_decide::api::*;

const SERVERS: u64 = 24;
/// Requests that a server runs at once, and its listed weight.
const CORES: f64 = 4.0;
/// Service time of a request at a server that has warmed up.
const WORK: Millis = 60.0;

/// The share of its capacity that a server has that started at time 0.
fn warm_up_fraction(at: Millis) -> f64 {
    let limits = settings().slow_start;
    (limits.initial_capacity_share + (1.0 - limits.initial_capacity_share) * at / limits.warm_up).min(1.0)
}

struct RunResult {
    refused: usize,
    requests: usize,
    /// By server id: time and work of each send.
    sends: Vec<Vec<(Millis, f64)>>,
}

/// An attempt in flight.
#[derive(Clone, Copy)]
struct RunningAttempt {
    ends_at: Millis,
    sidecar: usize,
    request: RequestId,
    upstream: UpstreamId,
    latency: Millis,
}

/// Sends requests to a fleet that started at time 0, for 15 s at this rate per second.
fn run(sidecars: u32, rate: f64, seed: u64) -> RunResult {
    let mut settings = settings();
    settings.sidecars = sidecars;
    settings.limits.probes = false;
    settings.classes.iter_mut().for_each(|class| class.aim = 1_500.0);
    let list: Vec<Listing> =
        (1..=SERVERS).map(|id| Listing { started: Some(0.0), weight: CORES, ..listing(id) }).collect();
    let mut balancers: Vec<Balancer> = (0..u64::from(sidecars))
        .map(|number| {
            let mut balancer = Balancer::new(settings.clone(), seed * 1_000 + number);
            let update = ListUpdate::Complete(list.clone());
            balancer.handle(0.0, Event::ListReceived(update), &mut Vec::new());
            balancer
        })
        .collect();
    let mut result = RunResult { refused: 0, requests: 0, sends: vec![Vec::new(); SERVERS as usize + 1] };
    let (mut rng, mut now, mut number) = (Rand64::new(u128::from(seed)), 0.0, 0);
    let mut running: Vec<RunningAttempt> = Vec::new();
    while now < 15_000.0 {
        now += -(1.0 - rng.rand_float()).ln() * 1_000.0 / rate;
        running.sort_by(|a, b| a.ends_at.total_cmp(&b.ends_at));
        while let Some(ended) = running.first().copied().filter(|first| first.ends_at <= now) {
            running.remove(0);
            let finished = FinishedAttempt {
                request: ended.request,
                attempt: AttemptNo(0),
                upstream: ended.upstream,
                outcome: Outcome::Ok,
                latency: ended.latency,
                client_answered: true,
                report: None,
            };
            balancers[ended.sidecar].handle(ended.ends_at, Event::AttemptFinished(finished), &mut Vec::new());
        }
        number += 2;
        result.requests += 1;
        let (sidecar, request) = (rng.rand_range(0..u64::from(sidecars)) as usize, RequestId(number));
        let mut actions = Vec::new();
        let event =
            Event::RequestArrived { request, class: IDEMPOTENT, tenant: TenantId(0), time_left: 4_000.0 };
        balancers[sidecar].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { upstream, .. } => {
                    result.sends[upstream.0 as usize].push((now, WORK));
                    let latency = WORK / warm_up_fraction(now);
                    let ends_at = now + latency;
                    running.push(RunningAttempt { ends_at, sidecar, request, upstream, latency });
                }
                Action::Refuse { .. } => result.refused += 1,
                _ => {}
            }
        }
    }
    result
}

#[test]
fn fleet_of_only_new_servers_serves_a_third_of_its_initial_capacity() {
    let rate = 0.16 * CORES * SERVERS as f64 / WORK * 1_000.0 / 3.0;
    for sidecars in [1, 3] {
        let result = run(sidecars, rate, 1);
        let share = result.refused as f64 / result.requests as f64;
        assert!(share < 0.01, "{sidecars} sidecars: {share} of {} requests refused", result.requests);
    }
}

#[test]
fn new_server_is_not_overloaded_at_any_request_rate() {
    let limits = settings().slow_start;
    let loads = [(48, 60.0), (48, 500.0), (48, 3_000.0), (1, 60.0), (1, 3_000.0), (3, 500.0), (6, 1_000.0)];
    for (seed, (sidecars, rate)) in loads.into_iter().enumerate() {
        let result = run(sidecars, rate, 2 + seed as u64);
        for sends in &result.sends {
            for (first, &(at, _)) in sends.iter().enumerate() {
                let window = sends[first..].iter().take_while(|(t, _)| *t < at + limits.overload_window);
                let work: f64 = window.map(|(_, work)| work).sum();
                let allowance =
                    limits.overload_multiple * warm_up_fraction(at) * CORES * limits.overload_window;
                assert!(
                    work <= allowance + 4.0 * WORK,
                    "{work} ms of work sent, allowance {allowance} ms, at {at} ms: {sidecars} sidecars, \
                     {rate} requests per second"
                );
            }
        }
    }
}

/// Guards against refusals during a release under high load: without reports, the new servers were assumed to
/// be as congested as the old ones, and half of all requests were refused while the new servers were empty
/// and their allowance was unused.
#[test]
fn new_servers_without_reports_are_used_while_old_ones_are_congested() {
    let settings = Settings { probe_cost: 1e9, ..settings() };
    let mut stage = Harness::new(settings, (1..=4).map(listing).collect());
    stage.report_steadily(&[1, 2, 3, 4], 3.0, 0.75);
    [1, 2, 3, 4].iter().for_each(|id| stage.report(*id, 40.0, 1.0));
    let new = (5..=12).map(|id| Listing { started: Some(stage.now), ..listing(id) }).collect();
    stage.event(Event::ListReceived(ListUpdate::Changed(new)));
    let mut sent = 0;
    for _ in 0..40 {
        stage.now += 5.0;
        let (request, actions) = stage.arrive(IDEMPOTENT);
        if let Some(upstream) = sent_to(&actions) {
            assert!(upstream.0 > 4, "sent to a congested server");
            sent += 1;
            stage.event(Event::ClientDisconnected(request));
            stage.finish(request, 0, upstream, Outcome::Cancelled, 1.0);
        }
    }
    assert!(sent >= 8, "{sent} of 40 requests sent");
}
