//! A snapshot passes all estimates to a successor, independently of both clocks, and implausible snapshots
//! are rejected.

mod common;

use common::*;
use oorandom::Rand64;
use sagemast_decide::Balancer;
use sagemast_decide::api::*;
use sagemast_decide::snapshot::Snapshot;

/// A balancer that has served 1,500 requests with ten servers, of which the third fails and the first is
/// slow; and its time.
fn trained_balancer(start: Millis, seed: u64) -> (Balancer, Millis) {
    let mut balancer = Balancer::new(settings(), seed);
    let (mut actions, mut now, mut rng) = (Vec::new(), start, Rand64::new(u128::from(seed)));
    let list = ListUpdate::Complete((1..=10).map(listing).collect());
    balancer.handle(now, Event::ListReceived(list), &mut actions);
    for number in 0..1_500 {
        now += 4.0;
        let request = RequestId(2 * number + 2);
        let class = ClassId(rng.rand_range(0..5) as usize);
        actions.clear();
        balancer.handle(
            now,
            Event::RequestArrived { request, class, tenant: TenantId(0), time_left: 500.0 },
            &mut actions,
        );
        while let Some(action) = actions.pop() {
            match action {
                Action::Probe(upstream) => {
                    let report = Report {
                        in_flight: Some(2.0 + rng.rand_float()),
                        utilisation: Some(0.3 + 0.2 * rng.rand_float()),
                        ..Report::default()
                    };
                    let event = Event::ProbeFinished { upstream, answered: true, report: Some(report) };
                    balancer.handle(now + 1.0, event, &mut actions);
                }
                Action::Send { request, upstream, .. } => {
                    let outcome = if upstream.0 == 3 { Outcome::Error } else { Outcome::Ok };
                    let latency = if upstream.0 == 1 { 90.0 } else { 20.0 + 10.0 * rng.rand_float() };
                    let finished = FinishedAttempt {
                        request,
                        attempt: AttemptNo(0),
                        upstream,
                        outcome,
                        latency,
                        client_answered: true,
                        report: None,
                    };
                    balancer.handle(now + 2.0, Event::AttemptFinished(finished), &mut actions);
                }
                _ => {}
            }
        }
    }
    (balancer, now + 2.0)
}

/// A balancer with the same servers and no estimates.
fn successor(seed: u64, at: Millis) -> Balancer {
    let mut settings = settings();
    // Requests are dispatched at once.
    settings.limits.probes = false;
    let mut balancer = Balancer::new(settings, seed);
    let list = ListUpdate::Restored((1..=10).map(listing).collect());
    balancer.handle(at, Event::ListReceived(list), &mut Vec::new());
    balancer
}

/// Asserts equality up to rounding: ages are computed from different clocks.
fn assert_same(one: &Snapshot, other: &Snapshot) {
    let values = |snapshot: &Snapshot| {
        let mut snapshot = snapshot.clone();
        snapshot.servers.sort_by_key(|(id, _)| *id);
        let text = serde_json::to_string(&snapshot).unwrap();
        let values: Vec<String> = text.split([',', ':', '[', ']']).map(str::to_owned).collect();
        values
    };
    let (one, other) = (values(one), values(other));
    assert_eq!(one.len(), other.len());
    for (a, b) in one.iter().zip(&other) {
        let same = match (a.parse::<f64>(), b.parse::<f64>()) {
            (Ok(a), Ok(b)) => (a - b).abs() <= 1e-6 * (1.0 + a.abs()),
            _ => a == b,
        };
        assert!(same, "{a} {b}");
    }
}

#[test]
fn successor_has_the_estimates_of_its_predecessor_with_any_clock() {
    for (start, at) in [(0.0, 7.0), (50_000.0, 3.0), (0.0, 9e6)] {
        let (predecessor, now) = trained_balancer(start, 5);
        let snapshot = predecessor.snapshot(now);
        let mut successor = successor(9, at);
        successor.restore(at, &snapshot).expect("the snapshot is valid");
        // Each snapshot halves the retry tokens.
        let mut halved = serde_json::to_value(&snapshot).unwrap();
        halved["all"]["retry_tokens"] = (halved["all"]["retry_tokens"].as_f64().unwrap() / 2.0).into();
        assert_same(&serde_json::from_value(halved).unwrap(), &successor.snapshot(at));
        assert_eq!(successor.ejected_count(), predecessor.ejected_count());
        assert!(successor.ejected_count() > 0, "the third server is ejected");
    }
}

#[test]
fn successor_avoids_the_server_that_failed_before() {
    let (predecessor, now) = trained_balancer(0.0, 5);
    let sent_to_third = |balancer: &mut Balancer, at: Millis| {
        let mut actions = Vec::new();
        for number in 0..40 {
            let request = RequestId(1_000_000 + 2 * number);
            let event =
                Event::RequestArrived { request, class: IDEMPOTENT, tenant: TenantId(0), time_left: 500.0 };
            balancer.handle(at + number as f64, event, &mut actions);
        }
        actions.iter().filter(|a| matches!(a, Action::Send { upstream: UpstreamId(3), .. })).count()
    };
    let mut restored = successor(9, 100.0);
    restored.restore(100.0, &predecessor.snapshot(now)).unwrap();
    assert_eq!(sent_to_third(&mut restored, 100.0), 0);
    assert!(sent_to_third(&mut successor(9, 100.0), 100.0) > 0, "used without a snapshot");
}

/// Guards against overload during an upgrade: predecessor and successor both see the same server in slow
/// start, and together may send to it as much as one process.
#[test]
fn two_processes_share_the_allowance_of_a_new_server() {
    let sends_to_new = |sidecars: u32, restores: bool, seed: u64| {
        let mut settings = settings();
        settings.limits.probes = false;
        settings.sidecars = sidecars;
        let mut balancer = Balancer::new(settings, seed);
        let new = Listing { started: Some(0.0), ..listing(1) };
        let list = vec![new, listing(2), listing(3)];
        let update = ListUpdate::Complete(list.clone());
        balancer.handle(0.0, Event::ListReceived(update), &mut Vec::new());
        if restores {
            let snapshot = balancer.snapshot(0.0);
            balancer.restore(0.0, &snapshot).unwrap();
        }
        let (mut sent, mut actions, mut running) = (0, Vec::new(), Vec::new());
        for number in 0..1_500_u64 {
            let (now, request) = (number as f64, RequestId(2 * number + 2));
            actions.clear();
            let arrival =
                Event::RequestArrived { request, class: IDEMPOTENT, tenant: TenantId(0), time_left: 500.0 };
            balancer.handle(now, arrival, &mut actions);
            let chosen = actions.iter().find_map(|action| match action {
                Action::Send { upstream, .. } => Some(*upstream),
                _ => None,
            });
            if let Some(upstream) = chosen {
                sent += u64::from(upstream.0 == 1);
                running.push((now + 12.0, request, upstream));
            }
            while let Some(&(at, request, upstream)) = running.first().filter(|(at, ..)| *at <= now) {
                running.remove(0);
                let (attempt, outcome) = (AttemptNo(0), Outcome::Ok);
                let finished = FinishedAttempt {
                    request,
                    attempt,
                    upstream,
                    outcome,
                    latency: 12.0,
                    client_answered: true,
                    report: None,
                };
                balancer.handle(at, Event::AttemptFinished(finished), &mut Vec::new());
            }
        }
        sent
    };
    let total = |sends: &dyn Fn(u64) -> u64| (0..12).map(sends).sum::<u64>();
    let alone = total(&|seed| sends_to_new(2, false, seed));
    let predecessor = total(&|seed| sends_to_new(4, false, seed));
    let successor = total(&|seed| sends_to_new(4, true, seed + 50));
    assert!(alone > 0 && successor > 0);
    assert!(
        predecessor + successor <= alone + alone / 10,
        "{predecessor} sends of the predecessor and {successor} of the successor, {alone} of a single process"
    );
}

#[test]
fn snapshot_with_an_implausible_value_is_rejected_as_a_whole() {
    let (predecessor, now) = trained_balancer(0.0, 5);
    let valid = serde_json::to_value(predecessor.snapshot(now)).unwrap();
    let mut successor = successor(9, 0.0);
    let before = successor.snapshot(0.0);
    let implausible = [
        ("/servers/0/1/slowness", serde_json::json!(0.0)),
        ("/servers/1/1/slowness", serde_json::json!(1e300)),
        ("/servers/2/1/failure_rate", serde_json::json!(1.5)),
        ("/servers/3/1/kappa", serde_json::json!(-4.0)),
        ("/servers/4/1/in_flight", serde_json::json!(-1.0)),
        ("/servers/5/1/reported", serde_json::json!(-5.0)),
        ("/servers/6/1/ejected", serde_json::json!([1e99, 1.0])),
        ("/all/classes/0/0", serde_json::json!(0.0)),
        ("/all/classes", serde_json::json!([])),
        ("/all/classes/1/2", serde_json::json!(-0.1)),
        ("/all/tenant_shares", serde_json::json!([0.5])),
        ("/all/fleet/pace", serde_json::json!(-1.0)),
        ("/all/room_scale", serde_json::json!(0.0)),
        ("/all/usual_service", serde_json::json!(0.0)),
        ("/all/probe_time", serde_json::json!(-1.0)),
        ("/all/lateness", serde_json::json!(2.0)),
    ];
    for (path, value) in implausible {
        let mut invalid = valid.clone();
        *invalid.pointer_mut(path).unwrap_or_else(|| panic!("{path}")) = value;
        let invalid: Snapshot = serde_json::from_value(invalid).unwrap();
        assert!(successor.restore(0.0, &invalid).is_err(), "{path}");
        assert_eq!(successor.snapshot(0.0), before, "{path}: nothing is restored");
    }
    let valid: Snapshot = serde_json::from_value(valid).unwrap();
    assert!(successor.restore(0.0, &valid).is_ok());
}
