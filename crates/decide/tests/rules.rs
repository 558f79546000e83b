//! The four rules, on the module alone.

mod common;

use common::*;
use sagemast_decide::api::*;

fn cells() -> Vec<Listing> {
    // Cells 0 and 1 in zone 0, cell 2 in zone 1.
    [1, 2, 3, 11, 12, 13, 21, 22, 23].map(|id| Listing { zone: ZoneId(id / 20), ..listing(id) }).to_vec()
}

#[test]
fn no_server_is_answered_at_once() {
    let mut stage = Harness::new(settings(), vec![]);
    for class in 0..5 {
        let (_, actions) = stage.arrive(ClassId(class));
        assert!(refused(&actions), "nothing ran, so it is refused");
    }
}

#[test]
fn one_server_is_used() {
    let mut stage = Harness::new(settings(), vec![listing(1)]);
    let (_, actions) = stage.arrive(IDEMPOTENT);
    assert_eq!(sent_to(&actions), Some(UpstreamId(1)));
}

#[test]
fn unknown_class_is_refused() {
    let mut stage = Harness::new(settings(), cells());
    let (_, actions) = stage.arrive(ClassId(99));
    assert!(refused(&actions));
}

#[test]
fn nothing_goes_out_for_an_ended_request() {
    let mut stage = Harness::new(settings(), cells());
    let (request, actions) = stage.arrive(IDEMPOTENT);
    let to = sent_to(&actions).unwrap();
    let actions = stage.event(Event::ClientDisconnected(request));
    assert_eq!(actions, vec![Action::Cancel { request, attempt: AttemptNo(0) }]);
    let late = stage.finish(request, 0, to, Outcome::Error, 20.0);
    assert_eq!(sent_to(&late), None);
    assert!(!refused(&late) && !failed(&late), "the client has left");
}

#[test]
fn a_time_out_at_the_deadline_fails_a_request_that_may_run_only_once() {
    let mut stage = Harness::new(settings(), cells());
    let (request, actions) = stage.arrive(NON_IDEMPOTENT);
    let to = sent_to(&actions).unwrap();
    stage.now += 500.0;
    let actions = stage.finish(request, 0, to, Outcome::TimedOut, 500.0);
    assert!(failed(&actions) && !refused(&actions));
}

#[test]
fn once_goes_on_only_after_proof_that_it_never_ran() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut stage = Harness::new(settings(), cells());
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        let to = sent_to(&actions).unwrap();
        stage.now += 10.0;
        let actions = stage.finish(request, 0, to, outcome, 10.0);
        assert_eq!(sent_to(&actions), None, "{outcome:?}");
        assert!(failed(&actions), "{outcome:?} may have run: a refusal would promise too much");
    }
    for outcome in [Outcome::Full, Outcome::Unreachable] {
        let mut stage = Harness::new(settings(), cells());
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        let to = sent_to(&actions).unwrap();
        stage.now += 10.0;
        let actions = stage.finish(request, 0, to, outcome, 10.0);
        assert!(sent_to(&actions).is_some(), "{outcome:?} proves that it never ran");
    }
}

#[test]
fn a_keyed_request_stays_in_its_group() {
    for seed in 0..40 {
        for (class, reach) in [(KEYED_BY_CELL, 10), (KEYED_BY_ZONE, 20)] {
            let mut stage = Harness::new(settings(), cells());
            (0..seed).for_each(|_| drop(stage.arrive(IDEMPOTENT)));
            let (request, actions) = stage.arrive(class);
            let Some(first) = sent_to(&actions) else { continue };
            stage.now += 20.0;
            let actions = stage.finish(request, 0, first, Outcome::Error, 20.0);
            if let Some(next) = sent_to(&actions) {
                assert_eq!(next.0 / reach, first.0 / reach);
            }
            assert!(!refused(&actions), "no refusal where a repeat could land outside the group");
        }
    }
}

#[test]
fn a_keyed_request_is_not_resent_after_its_window() {
    // The window counts from the first send that may have run, not from the latest.
    let mut settings = settings();
    settings.classes[KEYED_BY_CELL.0].aim = 5_000.0;
    let mut stage = Harness::new(settings, cells());
    stage.event(arrival(9_000, KEYED_BY_CELL, 5_000.0));
    (0..2).for_each(|_| drop(stage.event(Event::TimerFired(9_000 >> 1))));
    let request = RequestId(9_000);
    let mut attempt = 0;
    let mut at = None;
    for id in [1, 2, 3, 11, 12, 13, 21, 22, 23] {
        // Find where it went: only the true server's outcome is taken.
        stage.now = 1_200.0;
        let actions = stage.finish(request, 0, UpstreamId(id), Outcome::Error, 200.0);
        if let Some(next) = sent_to(&actions) {
            attempt = 1;
            at = Some(next);
            break;
        }
    }
    let next = at.expect("within the window it is resent");
    stage.now = 1_310.0;
    let actions = stage.finish(request, attempt, next, Outcome::Error, 110.0);
    assert_eq!(sent_to(&actions), None);
    assert!(failed(&actions));
}

fn arrival(id: u64, class: ClassId, time_left: Millis) -> Event {
    Event::RequestArrived { request: RequestId(id), class, tenant: TenantId(0), time_left }
}

#[test]
fn attempts_have_a_maximum() {
    let mut settings = settings();
    settings.limits.max_attempts = 2;
    let mut stage = Harness::new(settings, cells());
    let (request, actions) = stage.arrive(IDEMPOTENT);
    let first = sent_to(&actions).unwrap();
    let actions = stage.finish(request, 0, first, Outcome::Full, 1.0);
    let second = sent_to(&actions).expect("a second attempt");
    let actions = stage.finish(request, 1, second, Outcome::Full, 1.0);
    assert_eq!(sent_to(&actions), None);
    assert!(refused(&actions));
}

#[test]
fn draining_and_missing_servers_get_nothing_new() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2), listing(3)]);
    let drain = Listing { lifecycle: Lifecycle::Draining, ..listing(1) };
    stage.event(Event::ListReceived(ListUpdate::Changed(vec![drain])));
    for _ in 0..30 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let to = sent_to(&actions).unwrap();
        assert_ne!(to, UpstreamId(1));
        stage.now += 5.0;
        stage.finish(request, 0, to, Outcome::Ok, 5.0);
    }
    stage.event(Event::ListReceived(ListUpdate::Complete(vec![listing(3)])));
    for _ in 0..30 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        assert_eq!(sent_to(&actions), Some(UpstreamId(3)), "2 is missing from the complete list");
        stage.now += 5.0;
        stage.finish(request, 0, UpstreamId(3), Outcome::Ok, 5.0);
    }
}

#[test]
fn unavailable_keeps_the_list() {
    let mut stage = Harness::new(settings(), vec![listing(1)]);
    stage.event(Event::ListReceived(ListUpdate::Unavailable));
    assert_eq!(sent_to(&stage.arrive(IDEMPOTENT).1), Some(UpstreamId(1)));
}

#[test]
fn a_subscription_is_asked_for_after_a_jittered_wait_and_again_when_it_fails() {
    let mut settings = settings();
    settings.discovery = Discovery::Subscribed { must_ask_in: 10_000.0 };
    let mut stage = Harness::new(settings, vec![]);
    let mut waits = Vec::new();
    let mut actions = stage.event(Event::ListReceived(ListUpdate::Restored(vec![listing(1)])));
    for _ in 0..12 {
        // The first was asked for when the stage was set: only one call is ever pending.
        assert!(actions.iter().all(|action| !matches!(action, Action::SetTimer { .. })));
        actions = stage.event(Event::TimerFired(0));
        assert!(actions.contains(&Action::Subscribe));
        let set = stage.event(Event::ListReceived(ListUpdate::Unavailable));
        waits.extend(set.iter().filter_map(|action| match action {
            Action::SetTimer { at, .. } => Some(at - stage.now),
            _ => None,
        }));
        actions = vec![];
    }
    assert_eq!(waits.len(), 12);
    assert!(waits.iter().all(|wait| (0.0..10_000.0).contains(wait)), "{waits:?}");
    assert!(waits.iter().skip(4).any(|wait| *wait > 1_500.0), "it backs off: {waits:?}");
}

/// All sidecars together, none knowing of the others, stay inside a cold server's allowance; and yet it gets some
/// work. A budget divided by a thousand sidecars once came to less than one request for each, so nobody ever sent.
#[test]
fn a_cold_server_gets_its_share_and_no_more_from_all_sidecars_together() {
    const SERVERS: u64 = 10;
    const WORK: Millis = 30.0;
    for (sidecars, cold_from) in [(5, 10), (200, 10), (1_000, 10), (200, 1)] {
        let mut settings = settings();
        settings.sidecars = sidecars;
        settings.limits.probes = false;
        let start = 1_000.0;
        let servers: Vec<Listing> = (1..=SERVERS)
            .map(|id| Listing { started: (id >= cold_from).then_some(start), ..listing(id) })
            .collect();
        let (fall, multiple) = (settings.slow_start.overload_window, settings.slow_start.overload_multiple);
        // Each server does one request at a time; together the sidecars ask for nine tenths of what all can do.
        let (span, per_ms) = (3.0 * fall, 0.9 * SERVERS as f64 / WORK);
        let mut sends: Vec<(UpstreamId, Millis)> = Vec::new();
        for sidecar in 0..sidecars {
            let mut stage = Harness::seeded(settings.clone(), servers.clone(), u64::from(sidecar));
            let gap = f64::from(sidecars) / per_ms;
            stage.now = start + gap * f64::from(sidecar) / f64::from(sidecars);
            while stage.now < start + span {
                let (request, actions) = stage.arrive(NON_IDEMPOTENT);
                if let Some(to) = sent_to(&actions) {
                    sends.push((to, stage.now));
                    stage.finish(request, 0, to, Outcome::Ok, WORK);
                }
                stage.now += gap;
            }
        }
        for id in cold_from..=SERVERS {
            let mut at: Vec<Millis> = sends.iter().filter(|s| s.0.0 == id).map(|s| s.1).collect();
            at.sort_by(f64::total_cmp);
            // Beside idle warm ones it need not win any; where all are cold, all must.
            assert!(cold_from > 1 || !at.is_empty(), "{sidecars} sidecars: server {id} never gets any work");
            for from in &at {
                let sent = at.iter().filter(|t| (*from..from + fall).contains(*t)).count() as f64 * WORK;
                let warmth = 0.2 + 0.8 * (from - start) / settings.slow_start.warm_up;
                assert!(
                    sent <= multiple * warmth * fall,
                    "{sidecars} sidecars: {sent} ms of work in a window"
                );
            }
        }
    }
}

/// Instances that start in the same millisecond beside the only server, which has just started too, and are asked
/// for many times what it can do when warm. A chance for each request alone let a tenth of any rush through.
#[test]
fn a_rush_at_the_start_does_not_push_a_cold_server_over() {
    const WORK: Millis = 30.0;
    for (sidecars, told_late) in [(2, false), (50, false), (50, true), (300, false)] {
        for overload in [2.0, 20.0] {
            let mut settings = settings();
            // Where the number is told only by the event, before the first request.
            settings.sidecars = if told_late { 1 } else { sidecars };
            settings.limits.probes = false;
            let (fall, multiple) =
                (settings.slow_start.overload_window, settings.slow_start.overload_multiple);
            let start = 1_000.0;
            let server = Listing { started: Some(start), ..listing(1) };
            let mut sends: Vec<Millis> = Vec::new();
            for sidecar in 0..sidecars {
                let mut stage = Harness::seeded(settings.clone(), vec![server.clone()], u64::from(sidecar));
                stage.event(Event::SidecarCountChanged(sidecars));
                let gap = f64::from(sidecars) * WORK / overload;
                while stage.now < start + 3.0 * fall {
                    let (request, actions) = stage.arrive(NON_IDEMPOTENT);
                    if sent_to(&actions).is_some() {
                        sends.push(stage.now);
                        // Cold, it takes longer; alone, for there are few.
                        let warmth = 0.2 + 0.8 * (stage.now - start) / settings.slow_start.warm_up;
                        stage.finish(request, 0, UpstreamId(1), Outcome::Ok, WORK / warmth);
                    }
                    stage.now += gap;
                }
            }
            assert!(sends.len() > 10, "{sidecars} sidecars: it gets work all the same, not {}", sends.len());
            for from in &sends {
                let sent = sends.iter().filter(|t| (*from..from + fall).contains(*t)).count() as f64 * WORK;
                let warmth = 0.2 + 0.8 * (from - start) / settings.slow_start.warm_up;
                let budget = multiple * warmth * fall;
                assert!(
                    sent <= budget,
                    "{sidecars} sidecars, {overload} times: {sent} ms of {budget} in a window"
                );
            }
        }
    }
}

#[test]
fn a_restart_under_the_same_id_is_cold_again() {
    let mut stage = Harness::new(settings(), vec![listing(1)]);
    let accepted = |stage: &mut Harness| {
        let mut accepted = 0;
        for _ in 0..50 {
            let (request, actions) = stage.arrive(IDEMPOTENT);
            accepted += u32::from(sent_to(&actions).is_some());
            stage.event(Event::ClientDisconnected(request));
            stage.finish(request, 0, UpstreamId(1), Outcome::Cancelled, 1.0);
        }
        accepted
    };
    assert_eq!(accepted(&mut stage), 50, "it is warm");
    let again = Listing { started: Some(stage.now), ..listing(1) };
    stage.event(Event::ListReceived(ListUpdate::Changed(vec![again])));
    let cold = accepted(&mut stage);
    assert!((1..25).contains(&cold), "{cold} of 50 once it is cold again");
}
