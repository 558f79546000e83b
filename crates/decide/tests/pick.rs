//! The ordinary path: a random pair, the smaller projected utilisation.

mod common;

use std::collections::BTreeMap;

use common::*;
use sagemast_decide::Balancer;
use sagemast_decide::api::*;

/// Sends of `rounds` requests that all stay out for `hold` ms, with servers that report what they hold.
fn shares(kappas: &[(u64, f64)], rounds: usize, hold: Millis) -> BTreeMap<u64, usize> {
    let mut stage = Harness::new(settings(), kappas.iter().map(|(id, _)| listing(*id)).collect());
    let mut out: Vec<(Millis, RequestId, UpstreamId)> = Vec::new();
    let mut held: BTreeMap<u64, usize> = BTreeMap::new();
    let mut sends: BTreeMap<u64, usize> = BTreeMap::new();
    for _ in 0..rounds {
        stage.now += 5.0;
        let now = stage.now;
        for (_, request, upstream) in out.extract_if(.., |(due, _, _)| *due <= now).collect::<Vec<_>>() {
            *held.entry(upstream.0).or_default() -= 1;
            stage.finish(request, 0, upstream, Outcome::Ok, hold);
        }
        let (request, actions) = stage.arrive(IDEMPOTENT);
        if let Some(to) = sent_to(&actions) {
            *held.entry(to.0).or_default() += 1;
            *sends.entry(to.0).or_default() += 1;
            out.push((stage.now + hold, request, to));
        }
        for action in actions {
            if let Action::Probe(upstream) = action {
                let (_, kappa) = kappas.iter().find(|(id, _)| *id == upstream.0).unwrap();
                let in_flight = *held.get(&upstream.0).unwrap_or(&0) as f64;
                stage.report(upstream.0, in_flight, (in_flight / kappa).min(1.0));
            }
        }
    }
    sends
}

#[test]
fn twice_the_capacity_takes_about_twice_the_load() {
    let sends = shares(&[(1, 4.0), (2, 4.0), (3, 8.0), (4, 8.0)], 4_000, 60.0);
    let of = |ids: [u64; 2]| ids.iter().map(|id| sends.get(id).copied().unwrap_or(0)).sum::<usize>() as f64;
    let ratio = of([3, 4]) / of([1, 2]);
    assert!((1.5..2.6).contains(&ratio), "ratio {ratio}: {sends:?}");
}

#[test]
fn every_ready_server_is_drawn() {
    let kappas: Vec<(u64, f64)> = (1..=8).map(|id| (id, 4.0)).collect();
    let sends = shares(&kappas, 2_000, 40.0);
    assert_eq!(sends.len(), 8, "{sends:?}");
    assert!(sends.values().all(|count| *count > 120), "{sends:?}");
}

/// Guards against κ read off a saturated server: the queue is in its in-flight count, so in-flight over
/// utilisation would call it large and send it more.
#[test]
fn a_saturated_reading_does_not_raise_capacity() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steadily(&[1, 2], 6.0, 0.75);
    for _ in 0..10 {
        // κ is 8 for both; read as 24 / 1.0 it would be 24 for the first.
        stage.report(1, 24.0, 1.0);
        stage.report(2, 8.0, 1.0);
        let (request, actions) = stage.arrive(IDEMPOTENT);
        assert_eq!(sent_to(&actions), Some(UpstreamId(2)));
        stage.event(Event::ClientDisconnected(request));
        stage.finish(request, 0, UpstreamId(2), Outcome::Cancelled, 1.0);
    }
    for _ in 0..10 {
        stage.report(1, 24.0, 1.0);
        stage.report(2, 9.0, 1.0);
        let (request, actions) = stage.arrive(IDEMPOTENT);
        assert_eq!(sent_to(&actions), Some(UpstreamId(2)), "9 of 8 is less than 24 of 8");
        stage.finish(request, 0, UpstreamId(2), Outcome::Cancelled, 1.0);
    }
}

/// Guards against a fleet in which each sidecar hears from a server once in a while: the first reading of a jammed one
/// made its queue its size, so that the most crowded server looked like the largest, to all of them.
#[test]
fn a_server_first_heard_of_in_a_jam_is_not_taken_for_a_large_one() {
    for jam in [24.0, 200.0, 1e6] {
        let mut stage = Harness::new(settings(), (1..=9).map(listing).collect());
        // These have κ 4 and are well used.
        stage.report_steadily(&[1, 2, 3, 4, 5, 6, 7, 8], 3.4, 0.85);
        stage.report(9, jam, 1.0);
        for _ in 0..200 {
            let (request, actions) = stage.arrive(IDEMPOTENT);
            let to = sent_to(&actions).expect("there is room");
            assert_ne!(to, UpstreamId(9), "{jam} in flight");
            stage.event(Event::ClientDisconnected(request));
            stage.finish(request, 0, to, Outcome::Cancelled, 1.0);
        }
    }
}

/// Guards against the winner's curse: of many servers that were heard of once, the one whose single reading held the longest
/// queue looked the largest, and won every comparison.
#[test]
fn one_reading_makes_no_server_twice_as_large_as_its_kind() {
    let mut stage = Harness::new(settings(), (1..=9).map(listing).collect());
    stage.report_steadily(&[1, 2, 3, 4, 5, 6, 7, 8], 3.0, 0.75);
    stage.report(9, 8.0, 0.8);
    for _ in 0..200 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let to = sent_to(&actions).expect("there is room");
        assert_ne!(to, UpstreamId(9));
        stage.event(Event::ClientDisconnected(request));
        stage.finish(request, 0, to, Outcome::Cancelled, 1.0);
    }
}

/// Guards against a lock-out: one jammed server among the few that are heard of made all the others look jammed, so that
/// nine in ten requests were refused beside idle servers.
#[test]
fn one_jam_is_not_taken_for_a_jam_everywhere() {
    let mut settings = settings();
    settings.probe_cost = 1e9;
    let mut stage = Harness::new(settings, (1..=8).map(listing).collect());
    stage.report_steadily(&[1, 2, 3, 4, 5, 6, 7, 8], 2.0, 0.5);
    // Most of it says nothing any more.
    stage.now += 5_000.0;
    [1, 2, 3].iter().for_each(|id| stage.report(*id, 0.0, 0.0));
    stage.report(4, 100.0, 1.0);
    let mut unheard = 0;
    for _ in 0..100 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let to = sent_to(&actions).expect("there is room");
        unheard += u32::from(to.0 > 4);
        stage.event(Event::ClientDisconnected(request));
        stage.finish(request, 0, to, Outcome::Cancelled, 1.0);
    }
    assert!(unheard > 20, "{unheard} of 100 to servers that nothing speaks against");
}

/// Guards against late reports: one below what we have out there ourselves cannot be current.
#[test]
fn a_report_below_our_own_outstanding_is_not_believed() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].aim = 450.0;
    let mut stage = Harness::new(settings, vec![listing(1), listing(2)]);
    stage.report(1, 2.0, 1.0);
    stage.report(2, 2.0, 1.0);
    let mut out = BTreeMap::new();
    for _ in 0..8 {
        stage.now += 1.0;
        let (_, actions) = stage.arrive(IDEMPOTENT);
        *out.entry(sent_to(&actions).unwrap().0).or_insert(0) += 1;
        stage.now += 1.0;
        // Both go on saying that they are idle, as if nothing had been sent.
        stage.report(1, 0.0, 0.0);
        stage.report(2, 0.0, 0.0);
    }
    assert_eq!(out, BTreeMap::from([(1, 4), (2, 4)]));
}

/// Guards against capacity that is mere parallelism: two servers hold as many, one works at half the pace.
#[test]
fn a_slower_server_gets_less() {
    let mut stage = Harness::new(settings(), (1..=4).map(listing).collect());
    let mut sends = BTreeMap::new();
    let mut out: Vec<(Millis, RequestId, UpstreamId, Millis)> = Vec::new();
    for _ in 0..3_000 {
        stage.now += 10.0;
        let now = stage.now;
        for (_, request, to, took) in out.extract_if(.., |o| o.0 <= now).collect::<Vec<_>>() {
            stage.finish(request, 0, to, Outcome::Ok, took);
        }
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let Some(to) = sent_to(&actions) else { continue };
        *sends.entry(to.0).or_insert(0.0) += 1.0;
        let took = if to.0 <= 2 { 60.0 } else { 30.0 };
        out.push((stage.now + took, request, to, took));
    }
    assert!(sends[&3] + sends[&4] > 1.4 * (sends[&1] + sends[&2]), "{sends:?}");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = |seed: u64| {
        let mut balancer = Balancer::new(settings(), seed);
        let mut all = Vec::new();
        let list = (1..=6).map(listing).collect();
        balancer.handle(0.0, Event::ListReceived(ListUpdate::Restored(list)), &mut all);
        for id in 0..300 {
            let event = Event::RequestArrived {
                request: RequestId(id),
                class: ClassId(id as usize % 5),
                tenant: TenantId(0),
                time_left: 400.0,
            };
            balancer.handle(id as f64 * 7.0, event, &mut all);
        }
        all
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

#[test]
fn near_servers_are_kept_to_while_they_have_room() {
    let mut settings = settings();
    settings.cross_zone_cost = 0.1;
    let servers = (1..=6).map(|id| Listing { zone: ZoneId(id % 2), ..listing(id) }).collect();
    let mut stage = Harness::new(settings, servers);
    stage.report_steadily(&[1, 2, 3, 4, 5, 6], 1.0, 0.25);
    let mut far = 0;
    for round in 0..60 {
        let (_, actions) = stage.arrive(IDEMPOTENT);
        far += usize::from(sent_to(&actions).is_some_and(|to| to.0 % 2 == 1));
        if round == 5 {
            assert_eq!(far, 0, "near servers had room");
        }
    }
    assert!(far > 0, "and when they had none, it spilled over");
}

/// Guards against capacity read off one moment: utilisation lags, so just after a busy spell few in flight meet
/// a high utilisation, and their ratio would call the server tiny.
#[test]
fn capacity_is_a_ratio_of_means() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    for _ in 0..60 {
        stage.now += 50.0;
        stage.report(1, 6.0, 0.75);
        stage.report(2, 6.0, 0.75);
    }
    stage.now += 30.0;
    stage.report(1, 1.0, 0.89);
    stage.report(1, 4.0, 0.75);
    stage.report(2, 6.0, 0.75);
    let (_, actions) = stage.arrive(IDEMPOTENT);
    assert_eq!(sent_to(&actions), Some(UpstreamId(1)), "about as large still, and less in flight");
}

/// Guards against late reports: when they lack what is known to be out there, they lead every sidecar to the
/// servers that were idle a while ago.
#[test]
fn late_reports_are_not_followed() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].aim = 450.0;
    let mut stage = Harness::new(settings, vec![listing(1), listing(2), listing(3)]);
    stage.report_steadily(&[1, 2, 3], 4.0, 0.85);
    let mut sends = BTreeMap::new();
    for round in 0..400 {
        stage.now += 10.0;
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let Some(to) = sent_to(&actions) else { continue };
        if round >= 200 {
            *sends.entry(to.0).or_insert(0) += 1;
        }
        // What the first says is always too little, what the others say is too much.
        for id in 1..=3 {
            stage.now += 1.0;
            stage.report(id, if id == 1 { 0.0 } else { 4.0 }, if id == 1 { 0.0 } else { 0.85 });
        }
        if round >= 7 {
            for id in 1..=3 {
                stage.finish(RequestId(request.0 - 7), 0, UpstreamId(id), Outcome::Ok, 90.0);
            }
        }
    }
    assert!(sends[&2] > 40 && sends[&3] > 40, "{sends:?}");
}

/// Guards against the first second: a server's running mean of utilisation starts at 0, so that in-flight over it
/// would call every server huge, and all sidecars would pile on.
#[test]
fn the_first_reports_do_not_tell_capacity() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report(1, 12.0, 0.12);
    stage.report(2, 6.0, 0.4);
    let (_, actions) = stage.arrive(IDEMPOTENT);
    assert_eq!(sent_to(&actions), Some(UpstreamId(2)), "fewer in flight, though its ratio is the smaller");
}

/// Guards against refusing what idle servers have room for: with work that waits rather than computes, many are in
/// flight at a low utilisation, and each once counted as a place in a queue, from the first report on and for good.
#[test]
fn many_in_flight_at_a_low_utilisation_are_no_queue() {
    for (in_flight, utilisation) in [(10.0, 0.05), (10.0, 0.2), (40.0, 0.3)] {
        let mut stage = Harness::new(settings(), (1..=4).map(listing).collect());
        for round in 0..400 {
            if round % 10 == 0 {
                stage.now += 50.0;
                (1..=4).for_each(|id| stage.report(id, in_flight, utilisation));
            }
            let (request, actions) = stage.arrive(IDEMPOTENT);
            let to = sent_to(&actions).unwrap_or_else(|| panic!("{round} refused at {utilisation}"));
            stage.finish(request, 0, to, Outcome::Ok, 20.0);
        }
    }
}

/// Guards against a size that was learnt once and never grows: below the utilisation that tells it, what is in flight
/// still bounds it from below.
#[test]
fn a_server_that_holds_many_while_idle_is_not_taken_for_the_small_one_it_was() {
    let ids = [1, 2];
    let mut stage = Harness::new(settings(), ids.map(listing).to_vec());
    stage.report_steadily(&ids, 1.0, 0.25);
    ids.into_iter().for_each(|id| stage.report(id, 40.0, 0.05));
    assert!(refused(&stage.arrive(IDEMPOTENT).1), "40 in flight of a server that held 4 are a queue");
    stage.report_steadily(&ids, 40.0, 0.05);
    assert!(sent_to(&stage.arrive(IDEMPOTENT).1).is_some(), "unless it goes on so");
}

/// Probes that take so long, of servers that serve in 0.3 ms.
fn fast_servers(probe_takes: Millis) -> Harness {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steadily(&[1, 2], 1.0, 0.3);
    for _ in 0..600 {
        stage.now += 1.0;
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let begun = stage.now;
        for action in &actions {
            if let Action::Probe(id) = action {
                stage.now = begun + probe_takes;
                stage.report(id.0, 1.0, 0.3);
            }
        }
        if let Some(to) = sent_to(&actions) {
            stage.now = stage.now.max(begun + 0.3);
            stage.finish(request, 0, to, Outcome::Ok, 0.3);
        }
    }
    stage
}

/// Guards against making fast servers slow: a request that waits for a probe which takes longer than serving it.
#[test]
fn nobody_waits_for_a_probe_that_takes_longer_than_the_work() {
    let mut stage = fast_servers(1.0);
    stage.now += 500.0;
    let event = Event::RequestArrived {
        request: RequestId(9_999),
        class: IDEMPOTENT,
        tenant: TenantId(0),
        time_left: 500.0,
    };
    let actions = stage.event(event);
    assert!(sent_to(&actions).is_some(), "at once, on what is known");
    assert!(actions.iter().any(|action| matches!(action, Action::Probe(_))), "for later ones");
}

/// Guards against waiting where no answer can come: a report too young to be renewed, though old for the class.
#[test]
fn nobody_waits_where_no_probe_is_under_way() {
    let mut stage = fast_servers(0.01);
    for age in [2.0, 20.0, 39.0] {
        [1, 2].into_iter().for_each(|id| stage.report(id, 1.0, 0.3));
        stage.now += age;
        let request = RequestId(10_000 + age as u64);
        let event =
            Event::RequestArrived { request, class: IDEMPOTENT, tenant: TenantId(0), time_left: 500.0 };
        let actions = stage.event(event);
        let to = sent_to(&actions).unwrap_or_else(|| panic!("held, with reports {age} ms old"));
        stage.finish(request, 0, to, Outcome::Ok, 0.3);
    }
}

/// Guards against waiting out a share of the aim for a probe that is lost: others took a millisecond.
#[test]
fn a_wait_is_no_longer_than_probes_take_of_late() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steadily(&[1, 2], 2.0, 0.5);
    for round in 0..60 {
        stage.now += 200.0;
        let request = RequestId(100 + round);
        let event =
            Event::RequestArrived { request, class: IDEMPOTENT, tenant: TenantId(0), time_left: 500.0 };
        let actions = stage.event(event);
        let held_until = actions.iter().find_map(|action| match action {
            Action::SetTimer { at, .. } => Some(*at),
            _ => None,
        });
        if round > 40 {
            let wait = held_until.expect("it is held") - stage.now;
            assert!(wait < 5.0, "for {wait} ms");
        }
        stage.now += 1.0;
        for action in &actions {
            if let Action::Probe(id) = action {
                stage.report(id.0, 2.0, 0.5);
            }
        }
        stage.event(Event::ClientDisconnected(request));
        [1, 2]
            .into_iter()
            .for_each(|id| drop(stage.finish(request, 0, UpstreamId(id), Outcome::Cancelled, 1.0)));
    }
}

/// Guards against a lock-out: a request with too little time to wait is refused on an old report, and nothing would
/// tell the next one that there is room again.
#[test]
fn a_refusal_leaves_something_to_learn_from() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steadily(&[1, 2], 1.0, 0.5);
    [1, 2].into_iter().for_each(|id| stage.report(id, 60.0, 1.0));
    stage.now += 300.0;
    let (request, tenant) = (RequestId(9), TenantId(0));
    let actions = stage.event(Event::RequestArrived { request, class: IDEMPOTENT, tenant, time_left: 40.0 });
    assert!(refused(&actions));
    assert!(actions.iter().any(|action| matches!(action, Action::Probe(_))), "{actions:?}");
}

/// Guards against not knowing machines at full size: a small sidecar hears from one server too seldom to learn its
/// size or pace, and once took them all for alike; what it hears of a kind stands in for the others of that kind.
#[test]
fn a_server_not_heard_from_takes_after_its_kind() {
    let kind_of = |id: u64| KindId(id % 2);
    let sends_to_unheard = |kind: KindId| {
        let servers = (1..=12).map(|id| Listing { kind: kind_of(id), ..listing(id) }).collect();
        let mut stage = Harness::new(settings(), servers);
        // Of the servers heard from, the odd ones hold four times as much at the same utilisation.
        stage.report_steadily(&[1, 3], 4.0, 0.5);
        stage.report_steadily(&[2, 4], 1.0, 0.5);
        stage.now += 30_000.0;
        let mut sends = 0;
        for _ in 0..400 {
            stage.now += 500.0;
            let (request, actions) = stage.arrive(IDEMPOTENT);
            let to = sent_to(&actions).expect("there is room");
            sends += u32::from(to.0 > 4 && kind_of(to.0) == kind);
            stage.finish(request, 0, to, Outcome::Ok, 20.0);
        }
        sends
    };
    let (large, small) = (sends_to_unheard(KindId(1)), sends_to_unheard(KindId(0)));
    assert!(large > 2 * small, "{large} to the large kind, {small} to the small one");
}

/// Guards against herding at full size: sidecars that send seldom all saw the same server idle a while ago, and sent
/// there at once. A pair without a recent reading is asked first, and the request goes to the less used of the two.
#[test]
fn a_pair_not_heard_from_of_late_is_asked_first() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steadily(&[1, 2], 2.0, 0.5);
    stage.now += 5_000.0;
    let request = RequestId(70);
    let arrival = Event::RequestArrived { request, class: IDEMPOTENT, tenant: TenantId(0), time_left: 500.0 };
    let actions = stage.event(arrival);
    assert_eq!(sent_to(&actions), None, "held");
    for id in [1, 2] {
        assert!(actions.contains(&Action::Probe(UpstreamId(id))));
    }
    stage.now += 2.0;
    assert_eq!(sent_to(&stage.answer_probe(1, 6.0, 0.5)), None, "one of two has answered");
    assert_eq!(sent_to(&stage.answer_probe(2, 1.0, 0.5)), Some(UpstreamId(2)));
    assert!(stage.event(Event::TimerFired(70 >> 1)).is_empty(), "its timer finds it gone");
}

/// Guards against losing a held request: probes may go unanswered.
#[test]
fn a_held_request_does_not_wait_for_ever() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    let event = Event::RequestArrived {
        request: RequestId(9),
        class: NON_IDEMPOTENT,
        tenant: TenantId(0),
        time_left: 500.0,
    };
    let mut actions = stage.event(event);
    let mut held = 0;
    while let Some(Action::SetTimer { at, token }) = actions.last().cloned() {
        held += 1;
        stage.now = at;
        actions = stage.event(Event::TimerFired(token));
    }
    assert!(
        held > 0 && sent_to(&actions).is_some() && stage.now < 1_100.0,
        "{held} holds until {}",
        stage.now
    );
}

/// Guards against refusals while cores are free: with little time left a request's own service time alone takes
/// up its room, so whether there is a queue before it has to be looked at by itself.
#[test]
fn little_time_is_no_reason_to_refuse_where_no_queue_stands() {
    let place = |in_flight: f64| {
        let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
        stage.report_steadily(&[1, 2], in_flight, in_flight / 1.4 * 0.8);
        let (request, tenant) = (RequestId(9), TenantId(0));
        stage.event(Event::RequestArrived { request, class: IDEMPOTENT, tenant, time_left: 40.0 })
    };
    assert!(sent_to(&place(1.0)).is_some());
    assert!(refused(&place(3.0)), "behind a queue it would be late");
}

#[test]
fn dear_probes_are_paid_out_of_what_requests_earn() {
    let probes = |fee: f64| {
        let mut settings = settings();
        settings.probe_cost = fee;
        let mut stage = Harness::new(settings, (1..=20).map(listing).collect());
        let (mut probes, mut refused) = (0, 0);
        for _ in 0..400 {
            stage.now += 400.0;
            let (request, actions) = stage.arrive(IDEMPOTENT);
            let asked: Vec<UpstreamId> = actions
                .iter()
                .filter_map(|action| match action {
                    Action::Probe(upstream) => Some(*upstream),
                    _ => None,
                })
                .collect();
            probes += asked.len();
            let mut sent = sent_to(&actions);
            for upstream in asked {
                let report = Report { in_flight: Some(1.0), utilisation: Some(0.3), ..Report::default() };
                let actions =
                    stage.event(Event::ProbeFinished { upstream, answered: true, report: Some(report) });
                sent = sent.or(sent_to(&actions));
            }
            match sent {
                Some(to) => drop(stage.finish(request, 0, to, Outcome::Ok, 20.0)),
                None => refused += 1,
            }
        }
        (probes, refused)
    };
    let (free, cheap, dear) = (probes(0.0), probes(0.002), probes(0.08));
    assert_eq!(free, cheap, "what is cheap is not limited");
    assert!(cheap.0 >= 790, "{cheap:?}");
    // One percent of 400 requests' worth, and what a purse holds at first.
    assert!((45..=55).contains(&dear.0), "{dear:?}");
    assert_eq!(dear.1, 0, "none waits in vain");
}
