//! The rules of the module: repeats of requests, the server list, discovery calls and slow start.

mod common;

use common::*;
use sagemast_decide::api::*;

/// Three servers in each of the cells 0 and 1 of zone 0 and in cell 2 of zone 1.
fn cells() -> Vec<Listing> {
    [1, 2, 3, 11, 12, 13, 21, 22, 23].map(|id| Listing { zone: ZoneId(id / 20), ..listing(id) }).to_vec()
}

#[test]
fn request_without_servers_is_refused_at_once() {
    let mut harness = Harness::new(settings(), vec![]);
    for class in 0..5 {
        let (_, actions) = harness.arrive(ClassId(class));
        assert!(refused(&actions), "no attempt was made");
    }
}

#[test]
fn only_server_gets_the_request() {
    let mut harness = Harness::new(settings(), vec![listing(1)]);
    let (_, actions) = harness.arrive(IDEMPOTENT);
    assert_eq!(sent_to(&actions), Some(UpstreamId(1)));
}

#[test]
fn request_of_an_unknown_class_is_refused() {
    let mut harness = Harness::new(settings(), cells());
    let (_, actions) = harness.arrive(ClassId(99));
    assert!(refused(&actions));
}

#[test]
fn disconnected_client_causes_a_cancel_and_no_further_attempt() {
    let mut harness = Harness::new(settings(), cells());
    let (request, actions) = harness.arrive(IDEMPOTENT);
    let to = sent_to(&actions).unwrap();
    let actions = harness.event(Event::ClientDisconnected(request));
    assert_eq!(actions, vec![Action::Cancel { request, attempt: AttemptNo(0) }]);
    let actions = harness.finish(request, 0, to, Outcome::Error, 20.0);
    assert_eq!(sent_to(&actions), None);
    assert!(!refused(&actions) && !failed(&actions), "the client has disconnected");
}

#[test]
fn non_idempotent_request_fails_after_a_time_out_at_its_deadline() {
    let mut harness = Harness::new(settings(), cells());
    let (request, actions) = harness.arrive(NON_IDEMPOTENT);
    let to = sent_to(&actions).unwrap();
    harness.now += 500.0;
    let actions = harness.finish(request, 0, to, Outcome::TimedOut, 500.0);
    assert!(failed(&actions) && !refused(&actions));
}

#[test]
fn non_idempotent_request_is_retried_only_if_the_attempt_cannot_have_run() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut harness = Harness::new(settings(), cells());
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        let to = sent_to(&actions).unwrap();
        harness.now += 10.0;
        let actions = harness.finish(request, 0, to, outcome, 10.0);
        assert_eq!(sent_to(&actions), None, "{outcome:?}");
        assert!(failed(&actions), "{outcome:?} may have run: a refusal would invite a retry");
    }
    for outcome in [Outcome::Full, Outcome::Unreachable] {
        let mut harness = Harness::new(settings(), cells());
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        let to = sent_to(&actions).unwrap();
        harness.now += 10.0;
        let actions = harness.finish(request, 0, to, outcome, 10.0);
        assert!(sent_to(&actions).is_some(), "{outcome:?} shows that it never ran");
    }
}

#[test]
fn keyed_request_is_retried_within_its_scope_only() {
    for seed in 0..40 {
        for (class, ids_per_scope) in [(KEYED_BY_CELL, 10), (KEYED_BY_ZONE, 20)] {
            let mut harness = Harness::new(settings(), cells());
            (0..seed).for_each(|_| drop(harness.arrive(IDEMPOTENT)));
            let (request, actions) = harness.arrive(class);
            let Some(first) = sent_to(&actions) else { continue };
            harness.now += 20.0;
            let actions = harness.finish(request, 0, first, Outcome::Error, 20.0);
            if let Some(next) = sent_to(&actions) {
                assert_eq!(next.0 / ids_per_scope, first.0 / ids_per_scope);
            }
            assert!(
                !refused(&actions),
                "after a refusal, a repeat by the client could reach a server outside the scope"
            );
        }
    }
}

#[test]
fn keyed_request_is_not_retried_after_its_window() {
    // The window counts from the first attempt that may have run, not from the latest.
    let mut settings = settings();
    settings.classes[KEYED_BY_CELL.0].aim = 5_000.0;
    let mut harness = Harness::new(settings, cells());
    harness.event(arrival(9_000, KEYED_BY_CELL, 5_000.0));
    (0..2).for_each(|_| drop(harness.event(Event::TimerFired(9_000 >> 1))));
    let request = RequestId(9_000);
    let mut attempt = 0;
    let mut second = None;
    for id in [1, 2, 3, 11, 12, 13, 21, 22, 23] {
        // Only the outcome from the server of the attempt has an effect.
        harness.now = 1_200.0;
        let actions = harness.finish(request, 0, UpstreamId(id), Outcome::Error, 200.0);
        if let Some(next) = sent_to(&actions) {
            attempt = 1;
            second = Some(next);
            break;
        }
    }
    let next = second.expect("it is retried within the window");
    harness.now = 1_310.0;
    let actions = harness.finish(request, attempt, next, Outcome::Error, 110.0);
    assert_eq!(sent_to(&actions), None);
    assert!(failed(&actions));
}

fn arrival(id: u64, class: ClassId, time_left: Millis) -> Event {
    Event::RequestArrived { request: RequestId(id), class, tenant: TenantId(0), time_left }
}

#[test]
fn request_is_refused_after_the_maximum_number_of_attempts() {
    let mut settings = settings();
    settings.limits.max_attempts = 2;
    let mut harness = Harness::new(settings, cells());
    let (request, actions) = harness.arrive(IDEMPOTENT);
    let first = sent_to(&actions).unwrap();
    let actions = harness.finish(request, 0, first, Outcome::Full, 1.0);
    let second = sent_to(&actions).expect("a second attempt");
    let actions = harness.finish(request, 1, second, Outcome::Full, 1.0);
    assert_eq!(sent_to(&actions), None);
    assert!(refused(&actions));
}

#[test]
fn draining_and_unlisted_servers_get_no_new_requests() {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2), listing(3)]);
    let drain = Listing { lifecycle: Lifecycle::Draining, ..listing(1) };
    harness.event(Event::ListReceived(ListUpdate::Changed(vec![drain])));
    for _ in 0..30 {
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let to = sent_to(&actions).unwrap();
        assert_ne!(to, UpstreamId(1));
        harness.now += 5.0;
        harness.finish(request, 0, to, Outcome::Ok, 5.0);
    }
    harness.event(Event::ListReceived(ListUpdate::Complete(vec![listing(3)])));
    for _ in 0..30 {
        let (request, actions) = harness.arrive(IDEMPOTENT);
        assert_eq!(sent_to(&actions), Some(UpstreamId(3)), "the complete list lacks server 2");
        harness.now += 5.0;
        harness.finish(request, 0, UpstreamId(3), Outcome::Ok, 5.0);
    }
}

#[test]
fn servers_stay_in_use_while_the_list_is_unavailable() {
    let mut harness = Harness::new(settings(), vec![listing(1)]);
    harness.event(Event::ListReceived(ListUpdate::Unavailable));
    assert_eq!(sent_to(&harness.arrive(IDEMPOTENT).1), Some(UpstreamId(1)));
}

#[test]
fn discovery_is_called_after_a_jittered_wait_and_again_after_a_failure() {
    let mut settings = settings();
    settings.discovery = Discovery::Subscribed { staleness_bound: 10_000.0 };
    let mut harness = Harness::new(settings, vec![]);
    let mut waits = Vec::new();
    let mut actions = harness.event(Event::ListReceived(ListUpdate::Restored(vec![listing(1)])));
    for _ in 0..12 {
        // The first call was scheduled when the harness was set up, and there is never more than one.
        assert!(actions.iter().all(|action| !matches!(action, Action::SetTimer { .. })));
        actions = harness.event(Event::TimerFired(0));
        assert!(actions.contains(&Action::Subscribe));
        let next = harness.event(Event::ListReceived(ListUpdate::Unavailable));
        waits.extend(next.iter().filter_map(|action| match action {
            Action::SetTimer { at, .. } => Some(at - harness.now),
            _ => None,
        }));
        actions = vec![];
    }
    assert_eq!(waits.len(), 12);
    assert!(waits.iter().all(|wait| (0.0..10_000.0).contains(wait)), "{waits:?}");
    assert!(waits.iter().skip(4).any(|wait| *wait > 1_500.0), "it backs off: {waits:?}");
}

/// Guards against an overload of a server that is warming up, and against one that gets no work: a budget
/// divided by a thousand sidecars came to less than one request for each, so none was sent.
#[test]
fn sidecars_together_keep_within_the_allowance_of_a_warming_up_server_and_use_it() {
    const SERVERS: u64 = 10;
    const SERVICE_TIME: Millis = 30.0;
    for (sidecars, first_warming_up) in [(5, 10), (200, 10), (1_000, 10), (200, 1)] {
        let mut settings = settings();
        settings.sidecars = sidecars;
        settings.limits.probes = false;
        let start = 1_000.0;
        let servers: Vec<Listing> = (1..=SERVERS)
            .map(|id| Listing { started: (id >= first_warming_up).then_some(start), ..listing(id) })
            .collect();
        let (window, multiple) = (settings.slow_start.overload_window, settings.slow_start.overload_multiple);
        // Each server does one request at a time; the load is nine tenths of the capacity of all.
        let (duration, arrivals_per_ms) = (3.0 * window, 0.9 * SERVERS as f64 / SERVICE_TIME);
        let mut sends: Vec<(UpstreamId, Millis)> = Vec::new();
        for sidecar in 0..sidecars {
            let mut harness = Harness::seeded(settings.clone(), servers.clone(), u64::from(sidecar));
            let gap = f64::from(sidecars) / arrivals_per_ms;
            harness.now = start + gap * f64::from(sidecar) / f64::from(sidecars);
            while harness.now < start + duration {
                let (request, actions) = harness.arrive(NON_IDEMPOTENT);
                if let Some(to) = sent_to(&actions) {
                    sends.push((to, harness.now));
                    harness.finish(request, 0, to, Outcome::Ok, SERVICE_TIME);
                }
                harness.now += gap;
            }
        }
        for id in first_warming_up..=SERVERS {
            let mut times: Vec<Millis> = sends.iter().filter(|s| s.0.0 == id).map(|s| s.1).collect();
            times.sort_by(f64::total_cmp);
            // Beside idle warm servers it may get no work, but where all are warming up, each must.
            assert!(
                first_warming_up > 1 || !times.is_empty(),
                "{sidecars} sidecars: server {id} gets no work"
            );
            for from in &times {
                let sent = times.iter().filter(|t| (*from..from + window).contains(*t)).count() as f64
                    * SERVICE_TIME;
                let warm_up_fraction = 0.2 + 0.8 * (from - start) / settings.slow_start.warm_up;
                assert!(
                    sent <= multiple * warm_up_fraction * window,
                    "{sidecars} sidecars: {sent} ms of work in a window"
                );
            }
        }
    }
}

/// Guards against an overload when sidecars start in the same millisecond as the only server, under a
/// multiple of the load that it can take when warm. A probability per request alone let a tenth of any rush
/// through.
#[test]
fn rush_at_the_start_does_not_overload_a_warming_up_server() {
    const SERVICE_TIME: Millis = 30.0;
    for (sidecars, count_by_event) in [(2, false), (50, false), (50, true), (300, false)] {
        for overload in [2.0, 20.0] {
            let mut settings = settings();
            // With `count_by_event`, the number of sidecars is known only from the event before the first
            // request.
            settings.sidecars = if count_by_event { 1 } else { sidecars };
            settings.limits.probes = false;
            let (window, multiple) =
                (settings.slow_start.overload_window, settings.slow_start.overload_multiple);
            let start = 1_000.0;
            let server = Listing { started: Some(start), ..listing(1) };
            let mut sends: Vec<Millis> = Vec::new();
            for sidecar in 0..sidecars {
                let mut harness = Harness::seeded(settings.clone(), vec![server.clone()], u64::from(sidecar));
                harness.event(Event::SidecarCountChanged(sidecars));
                let gap = f64::from(sidecars) * SERVICE_TIME / overload;
                while harness.now < start + 3.0 * window {
                    let (request, actions) = harness.arrive(NON_IDEMPOTENT);
                    if sent_to(&actions).is_some() {
                        sends.push(harness.now);
                        // While it warms up, it takes longer. There are too few requests for a queue.
                        let warm_up_fraction =
                            0.2 + 0.8 * (harness.now - start) / settings.slow_start.warm_up;
                        harness.finish(
                            request,
                            0,
                            UpstreamId(1),
                            Outcome::Ok,
                            SERVICE_TIME / warm_up_fraction,
                        );
                    }
                    harness.now += gap;
                }
            }
            assert!(sends.len() > 10, "{sidecars} sidecars: the server gets only {} requests", sends.len());
            for from in &sends {
                let sent = sends.iter().filter(|t| (*from..from + window).contains(*t)).count() as f64
                    * SERVICE_TIME;
                let warm_up_fraction = 0.2 + 0.8 * (from - start) / settings.slow_start.warm_up;
                let budget = multiple * warm_up_fraction * window;
                assert!(
                    sent <= budget,
                    "{sidecars} sidecars, load {overload}: {sent} ms of work in a window, {budget} allowed"
                );
            }
        }
    }
}

#[test]
fn restarted_server_with_the_same_id_warms_up_again() {
    let mut harness = Harness::new(settings(), vec![listing(1)]);
    let accepted = |harness: &mut Harness| {
        let mut accepted = 0;
        for _ in 0..50 {
            let (request, actions) = harness.arrive(IDEMPOTENT);
            accepted += u32::from(sent_to(&actions).is_some());
            harness.event(Event::ClientDisconnected(request));
            harness.finish(request, 0, UpstreamId(1), Outcome::Cancelled, 1.0);
        }
        accepted
    };
    assert_eq!(accepted(&mut harness), 50, "the server has warmed up");
    let restarted = Listing { started: Some(harness.now), ..listing(1) };
    harness.event(Event::ListReceived(ListUpdate::Changed(vec![restarted])));
    let accepted = accepted(&mut harness);
    assert!((1..25).contains(&accepted), "{accepted} of 50 accepted after the restart");
}
