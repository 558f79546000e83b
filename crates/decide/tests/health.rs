//! Failures count against a server, and it comes back by trials.

mod common;

use common::*;
use sagemast_decide::api::*;

/// Answers every send at once: server 1 fails as `bad` says, the others serve in 30 ms.
fn play(stage: &mut Harness, rounds: usize, bad: Outcome, all_bad: bool) -> usize {
    let mut to_bad = 0;
    for _ in 0..rounds {
        stage.now += 10.0;
        let (request, mut actions) = stage.arrive(IDEMPOTENT);
        let mut attempt = 0;
        while let Some(to) = sent_to(&actions) {
            let is_bad = all_bad || to.0 == 1;
            to_bad += usize::from(to.0 == 1);
            let (outcome, took) = if is_bad { (bad, 2.0) } else { (Outcome::Ok, 30.0) };
            actions = stage.finish(request, attempt, to, outcome, took);
            attempt += 1;
        }
    }
    to_bad
}

/// Guards against fast failers, which look idle and would win every draw they are in.
#[test]
fn a_fast_failer_is_ejected() {
    for bad in [Outcome::Error, Outcome::Unreachable, Outcome::Reset] {
        let mut stage = Harness::new(settings(), (1..=5).map(listing).collect());
        play(&mut stage, 50, bad, false);
        let later = play(&mut stage, 500, bad, false);
        assert!(later < 10, "{bad:?}: {later} of 500 still went to the failing server");
    }
}

#[test]
fn an_ejected_server_comes_back_by_trials() {
    let mut stage = Harness::new(settings(), (1..=5).map(listing).collect());
    play(&mut stage, 100, Outcome::Error, false);
    let back = play(&mut stage, 2_000, Outcome::Ok, false);
    assert!(back > 100, "{back} of 2,000 after it had recovered");
}

/// Guards against ejecting everyone when the network or we ourselves are at fault.
#[test]
fn not_all_are_ejected() {
    let mut stage = Harness::new(settings(), (1..=5).map(listing).collect());
    play(&mut stage, 200, Outcome::Error, true);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        let to = sent_to(&actions).expect("someone is asked");
        used.insert(to);
        stage.finish(request, 0, to, Outcome::Ok, 30.0);
    }
    assert!(used.len() >= 3, "{used:?}");
}

/// Guards against hung servers: nothing comes back from them, not even a failure, until the time-outs.
#[test]
fn unanswered_sends_count_before_they_time_out() {
    let mut stage = Harness::new(settings(), (1..=4).map(listing).collect());
    let mut hung = 0;
    for round in 0..200 {
        stage.now += 5.0;
        let (request, actions) = stage.arrive(IDEMPOTENT);
        for action in &actions {
            // It answers probes, and always looks as if it had just finished everything.
            if let Action::Probe(upstream) = action {
                stage.report(upstream.0, 0.0, 0.0);
            }
        }
        let Some(to) = sent_to(&actions) else { continue };
        if to.0 == 1 {
            hung += usize::from(round >= 40);
        } else {
            stage.finish(request, 0, to, Outcome::Ok, 20.0);
        }
    }
    assert!(hung <= 5, "{hung} of 160 went to a server that answers nothing");
}

/// "Full" tells of load, which the counts show already; ejecting for it would take capacity away under overload.
#[test]
fn full_is_not_a_failure() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    for _ in 0..60 {
        stage.now += 50.0;
        stage.report(2, 3.0, 0.5);
        let (request, mut actions) = stage.arrive(NON_IDEMPOTENT);
        for attempt in 0.. {
            assert!(actions.iter().all(|action| !matches!(action, Action::Log(_))), "ejected for being full");
            let Some(to) = sent_to(&actions) else { break };
            let outcome = if to.0 == 1 { Outcome::Full } else { Outcome::Ok };
            actions = stage.finish(request, attempt, to, outcome, 1.0);
        }
    }
    stage.report(1, 0.0, 0.0);
    stage.report(2, 5.0, 0.9);
    assert_eq!(sent_to(&stage.arrive(NON_IDEMPOTENT).1), Some(UpstreamId(1)));
}

#[test]
fn work_is_refused_when_no_server_can_answer_in_time() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    for id in [1, 2] {
        stage.report(id, 1.0, 0.5);
        stage.report(id, 60.0, 1.0);
    }
    let (_, actions) = stage.arrive(IDEMPOTENT);
    assert!(refused(&actions));
}

/// Guards against a lock-out: a service time learnt in a jam must not refuse everything on idle servers for good.
#[test]
fn an_idle_server_has_room_whatever_was_learnt() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    for _ in 0..300 {
        stage.now += 400.0;
        let (request, actions) = stage.arrive(IDEMPOTENT);
        for id in [1, 2] {
            stage.report(id, 1.0, 0.25);
        }
        if let Some(to) = sent_to(&actions) {
            stage.finish(request, 0, to, Outcome::Ok, 190.0);
        }
    }
    for id in [1, 2] {
        stage.report(id, 0.0, 0.0);
    }
    assert!(sent_to(&stage.arrive(IDEMPOTENT).1).is_some());
}

/// Guards against shedding at random: under overload what earns least for its work goes first, and then what
/// tenants send beyond their part.
#[test]
fn the_least_worth_is_refused_first() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].worth = 0.2;
    settings.classes[KEYED_BY_ALL.0].worth = 4.0;
    settings.tenants = vec![Tenant { quota_per_s: 50.0 }, Tenant { quota_per_s: 50.0 }];
    settings.over_quota_worth = 0.05;
    let mut refusals = std::collections::BTreeMap::new();
    let mut stage = Harness::new(settings, vec![listing(1), listing(2)]);
    stage.report_steadily(&[1, 2], 4.0, 1.0);
    for number in 0..2_000_u64 {
        stage.now += 5.0;
        // The load swings around 17 on servers that work on 4 at once.
        let in_flight = 9.0 + (number % 16) as f64;
        for id in [1, 2] {
            stage.report(id, in_flight, 1.0);
        }
        let (class, tenant) =
            ([IDEMPOTENT, KEYED_BY_ALL][(number / 16 % 2) as usize], u64::from(number % 5 == 0));
        let request = RequestId(number);
        let tenant = TenantId(tenant as usize);
        let actions = stage.event(Event::RequestArrived { request, class, tenant, time_left: 500.0 });
        let count: &mut (u32, u32) = refusals.entry((class, tenant)).or_default();
        count.1 += 1;
        count.0 += u32::from(refused(&actions));
        if let Some(to) = sent_to(&actions) {
            stage.event(Event::ClientDisconnected(request));
            stage.finish(request, 0, to, Outcome::Cancelled, 1.0);
        }
    }
    let rate = |class, tenant| {
        let (refused, all): (u32, u32) = refusals[&(class, TenantId(tenant))];
        f64::from(refused) / f64::from(all)
    };
    assert!(rate(IDEMPOTENT, 0) > rate(KEYED_BY_ALL, 0) + 0.1, "by worth: {refusals:?}");
    assert!(rate(KEYED_BY_ALL, 0) > rate(KEYED_BY_ALL, 1) + 0.1, "by share: {refusals:?}");
}

/// Guards against feeding a jam: when all servers have become slow, one that a sidecar has not heard of for a
/// while must be taken for slow, too, and not for quick.
#[test]
fn a_slowed_fleet_is_not_forgotten_server_by_server() {
    let mut stage = Harness::new(settings(), (1..=20).map(listing).collect());
    let ids: Vec<u64> = (1..=20).collect();
    stage.report_steadily(&ids, 3.0, 0.75);
    let play = |stage: &mut Harness, rounds: usize, took: Millis| {
        let mut refusals = 0;
        for _ in 0..rounds {
            stage.now += 100.0;
            ids.iter().for_each(|id| stage.report(*id, 7.0, 0.95));
            let (request, actions) = stage.arrive(IDEMPOTENT);
            refusals += usize::from(refused(&actions));
            if let Some(to) = sent_to(&actions) {
                stage.finish(request, 0, to, Outcome::Ok, took);
            }
        }
        refusals
    };
    assert_eq!(play(&mut stage, 200, 40.0), 0);
    play(&mut stage, 100, 400.0);
    let refusals = play(&mut stage, 100, 400.0);
    assert!(refusals > 60, "{refusals} of 100 refused, though every answer is late");
}

/// Guards against crowding that no report shows: while much of what is accepted comes late, less is accepted.
#[test]
fn room_shrinks_while_answers_are_late() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].aim = 400.0;
    let ids: Vec<u64> = (1..=6).collect();
    let accepted = |late: bool| {
        let mut stage = Harness::new(settings.clone(), ids.iter().copied().map(listing).collect());
        stage.report_steadily(&ids, 3.0, 0.75);
        let mut accepted = 0;
        for round in 0..600_u64 {
            stage.now += 50.0;
            ids.iter().for_each(|id| stage.report(*id, 3.0 + (round % 8) as f64, 0.95));
            let (request, actions) = stage.arrive(IDEMPOTENT);
            let Some(to) = sent_to(&actions) else { continue };
            accepted += u32::from(round >= 300);
            // Every second request is heavy: the usual service time does not change.
            let heavy = late && round % 2 == 0;
            stage.now += if heavy { 450.0 } else { 0.0 };
            stage.finish(request, 0, to, Outcome::Ok, if heavy { 450.0 } else { 60.0 });
        }
        accepted
    };
    let (usual, crowded) = (accepted(false), accepted(true));
    assert!(crowded * 10 < usual * 9, "{crowded} of {usual}");
}

/// Guards against advice that is kept too well: a client that stays away for longer than its aim comes back for nothing.
#[test]
fn a_refused_client_is_asked_back_within_its_aim() {
    let mut stage = Harness::new(settings(), vec![]);
    let waits: Vec<Millis> = (0..200)
        .flat_map(|_| stage.arrive(IDEMPOTENT).1)
        .filter_map(|action| match action {
            Action::Refuse { retry_after, .. } => Some(retry_after),
            _ => None,
        })
        .collect();
    assert_eq!(waits.len(), 200);
    assert!(waits.iter().all(|wait| *wait < 100.0), "half of the aim of 200 ms at the very most");
    let spread = waits.iter().copied().fold(0.0, f64::max) - waits.iter().copied().fold(1e9, f64::min);
    assert!(spread > 30.0, "spread over {spread} ms");
}

/// Guards against a fleet that is being enlarged: many cold servers, slow as they must be, once made service times
/// look three times their best, and the module refused work that the warm ones had room for.
#[test]
fn cold_servers_do_not_make_the_others_look_crowded() {
    let mut settings = settings();
    settings.slow_start.warm_up = 100_000.0;
    let mut stage = Harness::new(settings, vec![listing(1), listing(2)]);
    stage.report_steadily(&[1, 2], 0.8, 0.1);
    let (mut cold, mut started) = (0, f64::INFINITY);
    for round in 0..120 {
        if round == 40 {
            started = stage.now;
            let entry = Listing { started: Some(stage.now), ..listing(2) };
            stage.event(Event::ListReceived(ListUpdate::Changed(vec![entry])));
        }
        stage.now += 100.0;
        let (in_flight, utilisation) = if round < 40 { (0.8, 0.1) } else { (7.5, 0.94) };
        stage.report(1, in_flight, utilisation);
        stage.report(2, 0.5, 0.06);
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let to = sent_to(&actions).expect("there is room");
        let slow = to == UpstreamId(2) && round >= 40;
        cold += usize::from(slow);
        let latency = if slow { 20.0 / (0.2 + 0.8 * (stage.now - started) / 100_000.0) } else { 20.0 };
        stage.now += latency;
        stage.finish(request, 0, to, Outcome::Ok, latency);
    }
    assert!(cold > 3, "only {cold} went to the cold server");
    stage.report(1, 6.0, 0.75);
    stage.report(2, 20.0, 1.0);
    assert_eq!(sent_to(&stage.arrive(IDEMPOTENT).1), Some(UpstreamId(1)));
}

/// Guards against starving a class: with room by worth for service time alone, the class whose requests take longer
/// would bear all refusals for as long as servers are busy.
#[test]
fn refusals_are_spread_over_the_classes() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steadily(&[1, 2], 0.8, 0.1);
    let mut served = [0, 0];
    for round in 0..600 {
        let busy = round >= 200;
        let (number, class, service) =
            if round % 2 == 0 { (0, IDEMPOTENT, 40.0) } else { (1, KEYED_BY_ALL, 64.0) };
        stage.now += 50.0;
        // Their size stays known, from the first reports: the utilisation is too low to tell anything.
        [1, 2].into_iter().for_each(|id| stage.report(id, if busy { 15.0 } else { 0.8 }, 0.05));
        let (request, actions) = stage.arrive(class);
        let Some(to) = sent_to(&actions) else { continue };
        served[number] += usize::from(busy);
        let latency = if busy { 2.0 * service } else { service };
        stage.now += latency;
        stage.finish(request, 0, to, Outcome::Ok, latency);
    }
    assert!(served[1] > 20, "served by class: {served:?}");
}

/// Guards against a lock-out: on servers that take few at a time the shrunken idle limit once came to less than one
/// request, so that nothing was sent, nothing was learnt, and everything was refused for good.
#[test]
fn an_empty_server_has_room_however_crowded_the_fleet_looks() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steadily(&[1, 2], 1.0, 0.5);
    for round in 0..200 {
        let latency = if round < 60 { 30.0 } else { 190.0 };
        stage.now += 50.0;
        [1, 2].into_iter().for_each(|id| stage.report(id, 0.0, 0.0));
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let to = sent_to(&actions).expect("empty servers have room");
        stage.now += latency;
        stage.finish(request, 0, to, Outcome::Ok, latency);
    }
}

/// Guards against a hung server that looks idle: an old unanswered send counts against it before any time-out.
#[test]
fn silence_counts_as_slowness() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steadily(&[1, 2], 1.0, 0.25);
    for _ in 0..60 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        stage.now += 20.0;
        stage.finish(request, 0, sent_to(&actions).expect("there is room"), Outcome::Ok, 20.0);
    }
    let hung = sent_to(&stage.arrive(IDEMPOTENT).1).expect("there is room");
    let other = if hung.0 == 1 { 2 } else { 1 };
    stage.now += 120.0;
    for _ in 0..20 {
        stage.report(hung.0, 0.0, 0.0);
        stage.report(other, 3.0, 0.05);
        let (request, actions) = stage.arrive(IDEMPOTENT);
        assert_eq!(sent_to(&actions), Some(UpstreamId(other)));
        stage.finish(request, 0, UpstreamId(other), Outcome::Ok, 20.0);
    }
}

/// Guards against losing sight: servers that have no room are never drawn, and would stay full for us for good.
#[test]
fn servers_without_room_are_still_probed() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    for id in [1, 2] {
        stage.report(id, 1.0, 0.5);
        stage.report(id, 60.0, 1.0);
    }
    stage.now += 300.0;
    let (_, actions) = stage.arrive(IDEMPOTENT);
    assert!(refused(&actions));
    assert!(actions.iter().any(|action| matches!(action, Action::Probe(_))));
}

/// Guards against branding: a server that was slow once is tried again after a while.
#[test]
fn slowness_is_forgotten() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steadily(&[1, 2], 1.0, 0.25);
    for _ in 0..200 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let to = sent_to(&actions).expect("there is room");
        let latency = if to.0 == 1 { 100.0 } else { 20.0 };
        stage.now += latency;
        stage.finish(request, 0, to, Outcome::Ok, latency);
    }
    stage.now += 60_000.0;
    [1, 2].into_iter().for_each(|id| stage.report(id, 1.0, 0.05));
    stage.report(2, 1.5, 0.05);
    assert_eq!(sent_to(&stage.arrive(IDEMPOTENT).1), Some(UpstreamId(1)));
}

/// Guards against a jam that feeds itself: answers that servers were full came soon, so they once counted as in time
/// and made room for more.
#[test]
fn answers_that_servers_are_full_leave_less_room() {
    let mut settings = settings();
    settings.limits.max_attempts = 1;
    let accepted_after = |outcome: Outcome| {
        let mut stage = Harness::new(settings.clone(), vec![listing(1), listing(2)]);
        stage.report_steadily(&[1, 2], 3.0, 0.75);
        let mut accepted = 0;
        for round in 0..60 {
            stage.now += 20.0;
            // The last ones meet a queue that there is room for, though not much.
            let in_flight = if round < 40 { 1.0 } else { 6.0 };
            [1, 2].into_iter().for_each(|id| stage.report(id, in_flight, (in_flight / 4.0).min(1.0)));
            let (request, actions) = stage.arrive(NON_IDEMPOTENT);
            let Some(to) = sent_to(&actions) else { continue };
            accepted += u32::from(round >= 40);
            let outcome = if round < 40 { outcome } else { Outcome::Ok };
            stage.finish(request, 0, to, outcome, 20.0);
        }
        accepted
    };
    let (usual, jammed) = (accepted_after(Outcome::Ok), accepted_after(Outcome::Full));
    assert!(usual >= 15 && jammed * 2 < usual, "{jammed} after full, {usual} after served");
}

#[test]
fn an_empty_server_is_tried_however_slow_all_were_and_however_many_were_refused() {
    let mut stage = Harness::new(settings(), vec![listing(0), listing(1)]);
    // One core each, as far as reports tell, and answers that take ten times as long as they are worth waiting for.
    stage.report_steadily(&[0, 1], 1.0, 0.85);
    for _ in 0..200 {
        stage.now += 400.0;
        [0, 1].into_iter().for_each(|id| stage.report(id, 0.0, 0.0));
        let (request, actions) = stage.arrive(IDEMPOTENT);
        if let Some(to) = sent_to(&actions) {
            stage.now += 400.0;
            stage.finish(request, 0, to, Outcome::Ok, 400.0);
        }
    }
    for _ in 0..400 {
        stage.now += 5.0;
        [0, 1].into_iter().for_each(|id| stage.report(id, 50.0, 1.0));
        let (request, actions) = stage.arrive(IDEMPOTENT);
        if let Some(to) = sent_to(&actions) {
            stage.finish(request, 0, to, Outcome::Ok, 400.0);
        }
    }
    stage.now += 50.0;
    [0, 1].into_iter().for_each(|id| stage.report(id, 0.0, 0.0));
    let (_, actions) = stage.arrive(IDEMPOTENT);
    assert!(sent_to(&actions).is_some(), "nothing else could tell that it is quick again: {actions:?}");
}

/// Guards against a zone that is lost server by server: each sidecar paid four lost attempts for each of its servers, half of
/// all that were sent.
#[test]
fn a_zone_that_cannot_be_reached_is_lost_as_a_whole() {
    let in_zone = |id: u64| Listing { zone: ZoneId(id % 2), cell: CellId(id % 2), ..listing(id) };
    let mut stage = Harness::new(settings(), (1..=40).map(in_zone).collect());
    let (mut lost, mut asked) = (0, Vec::new());
    let mut play = |stage: &mut Harness, out: bool| {
        stage.now += 5.0;
        let (request, mut actions) = stage.arrive(IDEMPOTENT);
        for attempt in 0.. {
            asked.extend(actions.iter().filter_map(|action| match action {
                Action::Probe(id) if id.0 % 2 == 1 => Some(*id),
                _ => None,
            }));
            let Some(to) = sent_to(&actions) else { break };
            let outcome = if out && to.0 % 2 == 1 { Outcome::Unreachable } else { Outcome::Ok };
            lost += u32::from(to.0 % 2 == 1);
            actions = stage.finish(request, attempt, to, outcome, 20.0);
        }
        (lost, asked.last().copied())
    };
    let (mut first, mut last) = (0, None);
    for _ in 0..200 {
        (first, last) = play(&mut stage, true);
    }
    assert!(first <= 3, "{first} attempts were lost");
    // It is asked, and answers.
    let asked = last.expect("it is asked");
    stage.answer_probe(asked.0, 0.0, 0.0);
    stage.now += 2_000.0;
    let mut after = 0;
    for _ in 0..50 {
        (after, _) = play(&mut stage, false);
    }
    assert!(after > first + 10, "it is used again: {after} from {first}");
}

/// Guards against the same for one server: a connection that does not come up is no matter of chance.
#[test]
fn a_server_out_of_reach_is_left_alone_at_once() {
    let mut stage = Harness::new(settings(), (1..=3).map(listing).collect());
    let mut lost = 0;
    for _ in 0..50 {
        stage.now += 5.0;
        let (request, mut actions) = stage.arrive(IDEMPOTENT);
        for attempt in 0.. {
            let Some(to) = sent_to(&actions) else { break };
            lost += u32::from(to.0 == 1);
            let outcome = if to.0 == 1 { Outcome::Unreachable } else { Outcome::Ok };
            actions = stage.finish(request, attempt, to, outcome, 20.0);
        }
    }
    assert_eq!(lost, 1);
}
