//! What a module has learnt passes to another whole, whatever the clocks of the two, and nothing absurd is believed.

mod common;

use common::*;
use oorandom::Rand64;
use sagemast_decide::Balancer;
use sagemast_decide::api::*;
use sagemast_decide::snapshot::Snapshot;

/// A module that has served for a while: of ten servers the third fails and the first is slow.
fn taught(start: Millis, seed: u64) -> (Balancer, Millis) {
    let mut module = Balancer::new(settings(), seed);
    let (mut out, mut now, mut rng) = (Vec::new(), start, Rand64::new(u128::from(seed)));
    module.handle(now, Event::ListReceived(ListUpdate::Complete((1..=10).map(listing).collect())), &mut out);
    for number in 0..1_500 {
        now += 4.0;
        let request = RequestId(2 * number + 2);
        let class = ClassId(rng.rand_range(0..5) as usize);
        out.clear();
        module.handle(
            now,
            Event::RequestArrived { request, class, tenant: TenantId(0), time_left: 500.0 },
            &mut out,
        );
        while let Some(action) = out.pop() {
            match action {
                Action::Probe(upstream) => {
                    let report = Report {
                        in_flight: Some(2.0 + rng.rand_float()),
                        utilisation: Some(0.3 + 0.2 * rng.rand_float()),
                        ..Report::default()
                    };
                    let event = Event::ProbeFinished { upstream, answered: true, report: Some(report) };
                    module.handle(now + 1.0, event, &mut out);
                }
                Action::Send { request, upstream, .. } => {
                    let outcome = if upstream.0 == 3 { Outcome::Error } else { Outcome::Ok };
                    let latency = if upstream.0 == 1 { 90.0 } else { 20.0 + 10.0 * rng.rand_float() };
                    let end = FinishedAttempt {
                        request,
                        attempt: AttemptNo(0),
                        upstream,
                        outcome,
                        latency,
                        client_answered: true,
                        report: None,
                    };
                    module.handle(now + 2.0, Event::AttemptFinished(end), &mut out);
                }
                _ => {}
            }
        }
    }
    (module, now + 2.0)
}

fn successor(seed: u64, at: Millis) -> Balancer {
    let mut settings = settings();
    // It places what comes at once.
    settings.limits.probes = false;
    let mut module = Balancer::new(settings, seed);
    let list = ListUpdate::Restored((1..=10).map(listing).collect());
    module.handle(at, Event::ListReceived(list), &mut Vec::new());
    module
}

/// Equal but for rounding: ages are taken from other clocks.
fn assert_same(one: &Snapshot, other: &Snapshot) {
    let numbers = |memory: &Snapshot| {
        let mut memory = memory.clone();
        memory.servers.sort_by_key(|(id, _)| *id);
        let text = serde_json::to_string(&memory).unwrap();
        let parts: Vec<String> = text.split([',', ':', '[', ']']).map(str::to_owned).collect();
        parts
    };
    let (one, other) = (numbers(one), numbers(other));
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
fn a_successor_knows_what_was_learnt_whatever_its_clock_says() {
    for (start, at) in [(0.0, 7.0), (50_000.0, 3.0), (0.0, 9e6)] {
        let (module, now) = taught(start, 5);
        let memory = module.snapshot(now);
        let mut next = successor(9, at);
        next.restore(at, &memory).expect("its own memory is sound");
        // Retries saved up are halved each time they are told.
        let mut halved = serde_json::to_value(&memory).unwrap();
        halved["all"]["retry_tokens"] = (halved["all"]["retry_tokens"].as_f64().unwrap() / 2.0).into();
        assert_same(&serde_json::from_value(halved).unwrap(), &next.snapshot(at));
        assert_eq!(next.avoided(), module.avoided());
        assert!(next.avoided() > 0, "the third is out");
    }
}

#[test]
fn a_successor_goes_on_avoiding_what_failed() {
    let (module, now) = taught(0.0, 5);
    let sent_to_third = |module: &mut Balancer, at: Millis| {
        let mut out = Vec::new();
        for number in 0..40 {
            let request = RequestId(1_000_000 + 2 * number);
            let event =
                Event::RequestArrived { request, class: REPEATABLE, tenant: TenantId(0), time_left: 500.0 };
            module.handle(at + number as f64, event, &mut out);
        }
        out.iter().filter(|a| matches!(a, Action::Send { upstream: UpstreamId(3), .. })).count()
    };
    let mut next = successor(9, 100.0);
    next.restore(100.0, &module.snapshot(now)).unwrap();
    assert_eq!(sent_to_third(&mut next, 100.0), 0);
    assert!(sent_to_third(&mut successor(9, 100.0), 100.0) > 0, "one that knows nothing tries it");
}

/// Both find the same cold server: together they send it no more than one would.
#[test]
fn two_processes_spend_one_cold_allowance() {
    let sends = |sidecars: u32, inherits: bool, seed: u64| {
        let mut settings = settings();
        settings.limits.probes = false;
        settings.sidecars = sidecars;
        let mut module = Balancer::new(settings, seed);
        let cold = Listing { started: Some(0.0), ..listing(1) };
        let list = vec![cold, listing(2), listing(3)];
        module.handle(0.0, Event::ListReceived(ListUpdate::Complete(list.clone())), &mut Vec::new());
        if inherits {
            let memory = module.snapshot(0.0);
            module.restore(0.0, &memory).unwrap();
        }
        let (mut sent, mut out, mut busy) = (0, Vec::new(), Vec::new());
        for number in 0..1_500_u64 {
            let (now, request) = (number as f64, RequestId(2 * number + 2));
            out.clear();
            let arrived =
                Event::RequestArrived { request, class: REPEATABLE, tenant: TenantId(0), time_left: 500.0 };
            module.handle(now, arrived, &mut out);
            let to = out.iter().find_map(|action| match action {
                Action::Send { upstream, .. } => Some(*upstream),
                _ => None,
            });
            if let Some(upstream) = to {
                sent += u64::from(upstream.0 == 1);
                busy.push((now + 12.0, request, upstream));
            }
            while let Some(&(at, request, upstream)) = busy.first().filter(|(at, ..)| *at <= now) {
                busy.remove(0);
                let (attempt, outcome) = (AttemptNo(0), Outcome::Ok);
                let end = FinishedAttempt {
                    request,
                    attempt,
                    upstream,
                    outcome,
                    latency: 12.0,
                    client_answered: true,
                    report: None,
                };
                module.handle(at, Event::AttemptFinished(end), &mut Vec::new());
            }
        }
        sent
    };
    let total = |of: &dyn Fn(u64) -> u64| (0..12).map(of).sum::<u64>();
    let alone = total(&|seed| sends(2, false, seed));
    let elder = total(&|seed| sends(4, false, seed));
    let younger = total(&|seed| sends(4, true, seed + 50));
    assert!(alone > 0 && younger > 0);
    assert!(elder + younger <= alone + alone / 10, "{elder} and {younger}, where one sends {alone}");
}

#[test]
fn absurd_memories_are_not_believed_and_leave_nothing() {
    let (module, now) = taught(0.0, 5);
    let sound = serde_json::to_value(module.snapshot(now)).unwrap();
    let mut next = successor(9, 0.0);
    let before = next.snapshot(0.0);
    let absurd = [
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
    for (path, value) in absurd {
        let mut broken = sound.clone();
        *broken.pointer_mut(path).unwrap_or_else(|| panic!("{path}")) = value;
        let broken: Snapshot = serde_json::from_value(broken).unwrap();
        assert!(next.restore(0.0, &broken).is_err(), "{path}");
        assert_eq!(next.snapshot(0.0), before, "{path}: nothing of it is taken");
    }
    let sound: Snapshot = serde_json::from_value(sound).unwrap();
    assert!(next.restore(0.0, &sound).is_ok());
}
