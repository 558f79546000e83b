//! Health of servers and zones, slow servers, and refusals under overload.

mod common;

use common::*;
use sagemast_decide::api::*;

/// Plays requests whose attempts end at once: those at server 1, or at all servers, with `failure`, others
/// with `Ok`. Returns the number of attempts at server 1.
fn play(harness: &mut Harness, requests: usize, failure: Outcome, all_fail: bool) -> usize {
    let mut to_first = 0;
    for _ in 0..requests {
        harness.now += 10.0;
        let (request, mut actions) = harness.arrive(IDEMPOTENT);
        let mut attempt = 0;
        while let Some(to) = sent_to(&actions) {
            let fails = all_fail || to.0 == 1;
            to_first += usize::from(to.0 == 1);
            let (outcome, latency) = if fails { (failure, 2.0) } else { (Outcome::Ok, 30.0) };
            actions = harness.finish(request, attempt, to, outcome, latency);
            attempt += 1;
        }
    }
    to_first
}

/// Guards against servers that fail fast: they look idle and would win every comparison.
#[test]
fn server_that_fails_fast_is_ejected() {
    for failure in [Outcome::Error, Outcome::Unreachable, Outcome::Reset] {
        let mut harness = Harness::new(settings(), (1..=5).map(listing).collect());
        play(&mut harness, 50, failure, false);
        let sends = play(&mut harness, 500, failure, false);
        assert!(sends < 10, "{failure:?}: {sends} of 500 still went to the failing server");
    }
}

#[test]
fn ejected_server_is_used_again_after_successful_trials() {
    let mut harness = Harness::new(settings(), (1..=5).map(listing).collect());
    play(&mut harness, 100, Outcome::Error, false);
    let sends = play(&mut harness, 2_000, Outcome::Ok, false);
    assert!(sends > 100, "{sends} of 2,000 after it had recovered");
}

/// Guards against ejecting all servers when the cause is the network or this sidecar.
#[test]
fn most_servers_stay_in_use_when_all_fail() {
    let mut harness = Harness::new(settings(), (1..=5).map(listing).collect());
    play(&mut harness, 200, Outcome::Error, true);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        let to = sent_to(&actions).expect("a server is tried");
        used.insert(to);
        harness.finish(request, 0, to, Outcome::Ok, 30.0);
    }
    assert!(used.len() >= 3, "{used:?}");
}

/// Guards against unresponsive servers: they return nothing, not even a failure, until attempts time out.
#[test]
fn unanswered_attempts_count_against_a_server_before_they_time_out() {
    let mut harness = Harness::new(settings(), (1..=4).map(listing).collect());
    let mut to_unresponsive = 0;
    for round in 0..200 {
        harness.now += 5.0;
        let (request, actions) = harness.arrive(IDEMPOTENT);
        for action in &actions {
            // All servers answer probes, and report that they are idle.
            if let Action::Probe(upstream) = action {
                harness.report(upstream.0, 0.0, 0.0);
            }
        }
        let Some(to) = sent_to(&actions) else { continue };
        if to.0 == 1 {
            to_unresponsive += usize::from(round >= 40);
        } else {
            harness.finish(request, 0, to, Outcome::Ok, 20.0);
        }
    }
    assert!(to_unresponsive <= 5, "{to_unresponsive} of 160 went to the unresponsive server");
}

/// `Full` shows load, which the in-flight counts show already. Ejection would reduce capacity under overload.
#[test]
fn full_server_is_not_ejected() {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
    for _ in 0..60 {
        harness.now += 50.0;
        harness.report(2, 3.0, 0.5);
        let (request, mut actions) = harness.arrive(NON_IDEMPOTENT);
        for attempt in 0.. {
            assert!(actions.iter().all(|action| !matches!(action, Action::Log(_))), "ejected for being full");
            let Some(to) = sent_to(&actions) else { break };
            let outcome = if to.0 == 1 { Outcome::Full } else { Outcome::Ok };
            actions = harness.finish(request, attempt, to, outcome, 1.0);
        }
    }
    harness.report(1, 0.0, 0.0);
    harness.report(2, 5.0, 0.9);
    assert_eq!(sent_to(&harness.arrive(NON_IDEMPOTENT).1), Some(UpstreamId(1)));
}

#[test]
fn request_is_refused_when_no_server_can_answer_in_time() {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
    for id in [1, 2] {
        harness.report(id, 1.0, 0.5);
        harness.report(id, 60.0, 1.0);
    }
    let (_, actions) = harness.arrive(IDEMPOTENT);
    assert!(refused(&actions));
}

/// Guards against permanent refusals: a service time estimated under overload must not cause refusals beside
/// idle servers.
#[test]
fn idle_server_has_capacity_whatever_the_estimated_service_time() {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
    for _ in 0..300 {
        harness.now += 400.0;
        let (request, actions) = harness.arrive(IDEMPOTENT);
        for id in [1, 2] {
            harness.report(id, 1.0, 0.25);
        }
        if let Some(to) = sent_to(&actions) {
            harness.finish(request, 0, to, Outcome::Ok, 190.0);
        }
    }
    for id in [1, 2] {
        harness.report(id, 0.0, 0.0);
    }
    assert!(sent_to(&harness.arrive(IDEMPOTENT).1).is_some());
}

/// Guards against random refusals: under overload, requests with the least worth per service time are refused
/// first, and those of tenants above their share.
#[test]
fn requests_of_least_worth_are_refused_first() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].worth = 0.2;
    settings.classes[KEYED_BY_ALL.0].worth = 4.0;
    settings.tenants = vec![Tenant { quota_per_s: 50.0 }, Tenant { quota_per_s: 50.0 }];
    settings.over_quota_worth = 0.05;
    let mut refusals = std::collections::BTreeMap::new();
    let mut harness = Harness::new(settings, vec![listing(1), listing(2)]);
    harness.report_steadily(&[1, 2], 4.0, 1.0);
    for number in 0..2_000_u64 {
        harness.now += 5.0;
        // The load varies around 17 on servers that work on 4 requests at once.
        let in_flight = 9.0 + (number % 16) as f64;
        for id in [1, 2] {
            harness.report(id, in_flight, 1.0);
        }
        let (class, tenant) =
            ([IDEMPOTENT, KEYED_BY_ALL][(number / 16 % 2) as usize], u64::from(number % 5 == 0));
        let request = RequestId(number);
        let tenant = TenantId(tenant as usize);
        let actions = harness.event(Event::RequestArrived { request, class, tenant, time_left: 500.0 });
        let count: &mut (u32, u32) = refusals.entry((class, tenant)).or_default();
        count.1 += 1;
        count.0 += u32::from(refused(&actions));
        if let Some(to) = sent_to(&actions) {
            harness.event(Event::ClientDisconnected(request));
            harness.finish(request, 0, to, Outcome::Cancelled, 1.0);
        }
    }
    let rate = |class, tenant| {
        let (refused, all): (u32, u32) = refusals[&(class, TenantId(tenant))];
        f64::from(refused) / f64::from(all)
    };
    assert!(rate(IDEMPOTENT, 0) > rate(KEYED_BY_ALL, 0) + 0.1, "by worth: {refusals:?}");
    assert!(rate(KEYED_BY_ALL, 0) > rate(KEYED_BY_ALL, 1) + 0.1, "by tenant: {refusals:?}");
}

/// Guards against prolonging an overload: when all servers have become slow, a server without recent answers
/// must be assumed to be slow, too.
#[test]
fn servers_without_recent_answers_are_assumed_to_be_as_slow_as_the_fleet() {
    let mut harness = Harness::new(settings(), (1..=20).map(listing).collect());
    let ids: Vec<u64> = (1..=20).collect();
    harness.report_steadily(&ids, 3.0, 0.75);
    let play = |harness: &mut Harness, requests: usize, latency: Millis| {
        let mut refusals = 0;
        for _ in 0..requests {
            harness.now += 100.0;
            ids.iter().for_each(|id| harness.report(*id, 7.0, 0.95));
            let (request, actions) = harness.arrive(IDEMPOTENT);
            refusals += usize::from(refused(&actions));
            if let Some(to) = sent_to(&actions) {
                harness.finish(request, 0, to, Outcome::Ok, latency);
            }
        }
        refusals
    };
    assert_eq!(play(&mut harness, 200, 40.0), 0);
    play(&mut harness, 100, 400.0);
    let refusals = play(&mut harness, 100, 400.0);
    assert!(refusals > 60, "{refusals} of 100 refused, though every answer is late");
}

/// Guards against an overload that no report shows: while many answers are late, fewer requests are accepted.
#[test]
fn fewer_requests_are_accepted_while_answers_are_late() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].aim = 400.0;
    let ids: Vec<u64> = (1..=6).collect();
    let accepted = |late: bool| {
        let mut harness = Harness::new(settings.clone(), ids.iter().copied().map(listing).collect());
        harness.report_steadily(&ids, 3.0, 0.75);
        let mut accepted = 0;
        for round in 0..600_u64 {
            harness.now += 50.0;
            ids.iter().for_each(|id| harness.report(*id, 3.0 + (round % 8) as f64, 0.95));
            let (request, actions) = harness.arrive(IDEMPOTENT);
            let Some(to) = sent_to(&actions) else { continue };
            accepted += u32::from(round >= 300);
            // Only every second request is heavy, so the estimated service time does not change.
            let heavy = late && round % 2 == 0;
            harness.now += if heavy { 450.0 } else { 0.0 };
            harness.finish(request, 0, to, Outcome::Ok, if heavy { 450.0 } else { 60.0 });
        }
        accepted
    };
    let (in_time, late) = (accepted(false), accepted(true));
    assert!(late * 10 < in_time * 9, "{late} while answers are late, otherwise {in_time}");
}

/// Guards against a retry-after time beyond the aim: the client's retry would be worthless.
#[test]
fn refused_client_is_asked_to_retry_within_its_aim_after_a_random_time() {
    let mut harness = Harness::new(settings(), vec![]);
    let waits: Vec<Millis> = (0..200)
        .flat_map(|_| harness.arrive(IDEMPOTENT).1)
        .filter_map(|action| match action {
            Action::Refuse { retry_after, .. } => Some(retry_after),
            _ => None,
        })
        .collect();
    assert_eq!(waits.len(), 200);
    assert!(waits.iter().all(|wait| *wait < 100.0), "at most half of the aim of 200 ms");
    let spread = waits.iter().copied().fold(0.0, f64::max) - waits.iter().copied().fold(1e9, f64::min);
    assert!(spread > 30.0, "the times spread over {spread} ms");
}

/// Guards against refusals while a fleet grows: many servers that were warming up, and so were slow, made
/// service times look three times their best, and requests were refused for which warm servers had capacity.
#[test]
fn warming_up_server_does_not_make_other_servers_look_overloaded() {
    let mut settings = settings();
    settings.slow_start.warm_up = 100_000.0;
    let mut harness = Harness::new(settings, vec![listing(1), listing(2)]);
    harness.report_steadily(&[1, 2], 0.8, 0.1);
    let (mut to_warming_up, mut started) = (0, f64::INFINITY);
    for round in 0..120 {
        if round == 40 {
            started = harness.now;
            let entry = Listing { started: Some(harness.now), ..listing(2) };
            harness.event(Event::ListReceived(ListUpdate::Changed(vec![entry])));
        }
        harness.now += 100.0;
        let (in_flight, utilisation) = if round < 40 { (0.8, 0.1) } else { (7.5, 0.94) };
        harness.report(1, in_flight, utilisation);
        harness.report(2, 0.5, 0.06);
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let to = sent_to(&actions).expect("a server has capacity");
        let is_warming_up = to == UpstreamId(2) && round >= 40;
        to_warming_up += usize::from(is_warming_up);
        let latency =
            if is_warming_up { 20.0 / (0.2 + 0.8 * (harness.now - started) / 100_000.0) } else { 20.0 };
        harness.now += latency;
        harness.finish(request, 0, to, Outcome::Ok, latency);
    }
    assert!(to_warming_up > 3, "only {to_warming_up} went to the server that is warming up");
    harness.report(1, 6.0, 0.75);
    harness.report(2, 20.0, 1.0);
    assert_eq!(sent_to(&harness.arrive(IDEMPOTENT).1), Some(UpstreamId(1)));
}

/// Guards against starving a class: by worth per service time alone, the class of the longer service time
/// would bear all refusals for as long as servers are busy.
#[test]
fn refusals_are_spread_over_all_classes() {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
    harness.report_steadily(&[1, 2], 0.8, 0.1);
    let mut served = [0, 0];
    for round in 0..600 {
        let is_busy = round >= 200;
        let (number, class, service_time) =
            if round % 2 == 0 { (0, IDEMPOTENT, 40.0) } else { (1, KEYED_BY_ALL, 64.0) };
        harness.now += 50.0;
        // The capacity estimated from the first reports stays, since this utilisation is too low to change
        // it.
        [1, 2].into_iter().for_each(|id| harness.report(id, if is_busy { 15.0 } else { 0.8 }, 0.05));
        let (request, actions) = harness.arrive(class);
        let Some(to) = sent_to(&actions) else { continue };
        served[number] += usize::from(is_busy);
        let latency = if is_busy { 2.0 * service_time } else { service_time };
        harness.now += latency;
        harness.finish(request, 0, to, Outcome::Ok, latency);
    }
    assert!(served[1] > 20, "served by class: {served:?}");
}

/// Guards against permanent refusals: on servers of low capacity, the reduced limit for idle servers came to
/// less than one request, so no request was sent, and no answer corrected the estimates.
#[test]
fn empty_server_has_capacity_however_overloaded_the_fleet_looks() {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
    harness.report_steadily(&[1, 2], 1.0, 0.5);
    for round in 0..200 {
        let latency = if round < 60 { 30.0 } else { 190.0 };
        harness.now += 50.0;
        [1, 2].into_iter().for_each(|id| harness.report(id, 0.0, 0.0));
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let to = sent_to(&actions).expect("empty servers have capacity");
        harness.now += latency;
        harness.finish(request, 0, to, Outcome::Ok, latency);
    }
}

/// Guards against an unresponsive server that looks idle: an old unanswered attempt counts against it before
/// it times out.
#[test]
fn server_with_an_old_unanswered_attempt_is_assumed_to_be_slow() {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
    harness.report_steadily(&[1, 2], 1.0, 0.25);
    for _ in 0..60 {
        let (request, actions) = harness.arrive(IDEMPOTENT);
        harness.now += 20.0;
        harness.finish(request, 0, sent_to(&actions).expect("a server has capacity"), Outcome::Ok, 20.0);
    }
    let unresponsive = sent_to(&harness.arrive(IDEMPOTENT).1).expect("a server has capacity");
    let other = if unresponsive.0 == 1 { 2 } else { 1 };
    harness.now += 120.0;
    for _ in 0..20 {
        harness.report(unresponsive.0, 0.0, 0.0);
        harness.report(other, 3.0, 0.05);
        let (request, actions) = harness.arrive(IDEMPOTENT);
        assert_eq!(sent_to(&actions), Some(UpstreamId(other)));
        harness.finish(request, 0, UpstreamId(other), Outcome::Ok, 20.0);
    }
}

/// Guards against permanent refusals: servers without capacity are never selected, so without probes they
/// would stay full in the view of this sidecar.
#[test]
fn servers_without_capacity_are_still_probed() {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
    for id in [1, 2] {
        harness.report(id, 1.0, 0.5);
        harness.report(id, 60.0, 1.0);
    }
    harness.now += 300.0;
    let (_, actions) = harness.arrive(IDEMPOTENT);
    assert!(refused(&actions));
    assert!(actions.iter().any(|action| matches!(action, Action::Probe(_))));
}

/// Guards against a permanent penalty: a server that was slow once is tried again after a while.
#[test]
fn estimated_slowness_expires() {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
    harness.report_steadily(&[1, 2], 1.0, 0.25);
    for _ in 0..200 {
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let to = sent_to(&actions).expect("a server has capacity");
        let latency = if to.0 == 1 { 100.0 } else { 20.0 };
        harness.now += latency;
        harness.finish(request, 0, to, Outcome::Ok, latency);
    }
    harness.now += 60_000.0;
    [1, 2].into_iter().for_each(|id| harness.report(id, 1.0, 0.05));
    harness.report(2, 1.5, 0.05);
    assert_eq!(sent_to(&harness.arrive(IDEMPOTENT).1), Some(UpstreamId(1)));
}

/// Guards against an overload that sustains itself: rejections by full servers came soon, counted as answers
/// in time and let in more requests.
#[test]
fn fewer_requests_are_accepted_after_rejections_by_full_servers() {
    let mut settings = settings();
    settings.limits.max_attempts = 1;
    let accepted_after = |outcome: Outcome| {
        let mut harness = Harness::new(settings.clone(), vec![listing(1), listing(2)]);
        harness.report_steadily(&[1, 2], 3.0, 0.75);
        let mut accepted = 0;
        for round in 0..60 {
            harness.now += 20.0;
            // The last requests meet a queue that is barely acceptable.
            let in_flight = if round < 40 { 1.0 } else { 6.0 };
            [1, 2].into_iter().for_each(|id| harness.report(id, in_flight, (in_flight / 4.0).min(1.0)));
            let (request, actions) = harness.arrive(NON_IDEMPOTENT);
            let Some(to) = sent_to(&actions) else { continue };
            accepted += u32::from(round >= 40);
            let outcome = if round < 40 { outcome } else { Outcome::Ok };
            harness.finish(request, 0, to, outcome, 20.0);
        }
        accepted
    };
    let (after_served, after_full) = (accepted_after(Outcome::Ok), accepted_after(Outcome::Full));
    assert!(
        after_served >= 15 && after_full * 2 < after_served,
        "{after_full} after full, {after_served} after served"
    );
}

#[test]
fn empty_server_is_tried_after_slow_answers_and_many_refusals() {
    let mut harness = Harness::new(settings(), vec![listing(0), listing(1)]);
    // By their reports each has one core. Answers then take twice the aim.
    harness.report_steadily(&[0, 1], 1.0, 0.85);
    for _ in 0..200 {
        harness.now += 400.0;
        [0, 1].into_iter().for_each(|id| harness.report(id, 0.0, 0.0));
        let (request, actions) = harness.arrive(IDEMPOTENT);
        if let Some(to) = sent_to(&actions) {
            harness.now += 400.0;
            harness.finish(request, 0, to, Outcome::Ok, 400.0);
        }
    }
    for _ in 0..400 {
        harness.now += 5.0;
        [0, 1].into_iter().for_each(|id| harness.report(id, 50.0, 1.0));
        let (request, actions) = harness.arrive(IDEMPOTENT);
        if let Some(to) = sent_to(&actions) {
            harness.finish(request, 0, to, Outcome::Ok, 400.0);
        }
    }
    harness.now += 50.0;
    [0, 1].into_iter().for_each(|id| harness.report(id, 0.0, 0.0));
    let (_, actions) = harness.arrive(IDEMPOTENT);
    assert!(sent_to(&actions).is_some(), "only an answer can show that it is fast again: {actions:?}");
}

/// Guards against detecting an unreachable zone server by server: each sidecar lost four attempts per server
/// of the zone, half of all attempts.
#[test]
fn unreachable_zone_is_avoided_after_few_lost_attempts_and_used_again_after_a_probe_is_answered() {
    let in_zone = |id: u64| Listing { zone: ZoneId(id % 2), cell: CellId(id % 2), ..listing(id) };
    let mut harness = Harness::new(settings(), (1..=40).map(in_zone).collect());
    let (mut sent_there, mut probed) = (0, Vec::new());
    let mut play = |harness: &mut Harness, is_unreachable: bool| {
        harness.now += 5.0;
        let (request, mut actions) = harness.arrive(IDEMPOTENT);
        for attempt in 0.. {
            probed.extend(actions.iter().filter_map(|action| match action {
                Action::Probe(id) if id.0 % 2 == 1 => Some(*id),
                _ => None,
            }));
            let Some(to) = sent_to(&actions) else { break };
            let outcome = if is_unreachable && to.0 % 2 == 1 { Outcome::Unreachable } else { Outcome::Ok };
            sent_there += u32::from(to.0 % 2 == 1);
            actions = harness.finish(request, attempt, to, outcome, 20.0);
        }
        (sent_there, probed.last().copied())
    };
    let (mut lost, mut last_probed) = (0, None);
    for _ in 0..200 {
        (lost, last_probed) = play(&mut harness, true);
    }
    assert!(lost <= 3, "{lost} attempts were lost");
    let probed = last_probed.expect("a server of the zone is probed");
    harness.answer_probe(probed.0, 0.0, 0.0);
    harness.now += 2_000.0;
    let mut sent_in_all = 0;
    for _ in 0..50 {
        (sent_in_all, _) = play(&mut harness, false);
    }
    assert!(
        sent_in_all > lost + 10,
        "the zone is not used again: {sent_in_all} attempts, {lost} of them lost"
    );
}

/// Guards against repeated lost attempts at one server: a failed connection is not a random failure.
#[test]
fn unreachable_server_is_ejected_at_once() {
    let mut harness = Harness::new(settings(), (1..=3).map(listing).collect());
    let mut lost = 0;
    for _ in 0..50 {
        harness.now += 5.0;
        let (request, mut actions) = harness.arrive(IDEMPOTENT);
        for attempt in 0.. {
            let Some(to) = sent_to(&actions) else { break };
            lost += u32::from(to.0 == 1);
            let outcome = if to.0 == 1 { Outcome::Unreachable } else { Outcome::Ok };
            actions = harness.finish(request, attempt, to, outcome, 20.0);
        }
    }
    assert_eq!(lost, 1);
}
