//! Selection of a server: a random pair, then the smaller projected utilisation.

mod common;

use std::collections::BTreeMap;

use common::*;
use sagemast_decide::Balancer;
use sagemast_decide::api::*;

/// Plays requests that are each in flight for `latency`, on servers of the given capacities that report their
/// load. Returns the number of attempts by server.
fn sends_by_server(capacities: &[(u64, f64)], requests: usize, latency: Millis) -> BTreeMap<u64, usize> {
    let mut harness = Harness::new(settings(), capacities.iter().map(|(id, _)| listing(*id)).collect());
    let mut in_flight: Vec<(Millis, RequestId, UpstreamId)> = Vec::new();
    let mut loads: BTreeMap<u64, usize> = BTreeMap::new();
    let mut sends: BTreeMap<u64, usize> = BTreeMap::new();
    for _ in 0..requests {
        harness.now += 5.0;
        let now = harness.now;
        for (_, request, to) in in_flight.extract_if(.., |(due, _, _)| *due <= now).collect::<Vec<_>>() {
            *loads.entry(to.0).or_default() -= 1;
            harness.finish(request, 0, to, Outcome::Ok, latency);
        }
        let (request, actions) = harness.arrive(IDEMPOTENT);
        if let Some(to) = sent_to(&actions) {
            *loads.entry(to.0).or_default() += 1;
            *sends.entry(to.0).or_default() += 1;
            in_flight.push((harness.now + latency, request, to));
        }
        for action in actions {
            if let Action::Probe(upstream) = action {
                let (_, capacity) = capacities.iter().find(|(id, _)| *id == upstream.0).unwrap();
                let load = *loads.get(&upstream.0).unwrap_or(&0) as f64;
                harness.report(upstream.0, load, (load / capacity).min(1.0));
            }
        }
    }
    sends
}

#[test]
fn servers_of_twice_the_capacity_get_about_twice_the_load() {
    let sends = sends_by_server(&[(1, 4.0), (2, 4.0), (3, 8.0), (4, 8.0)], 4_000, 60.0);
    let of = |ids: [u64; 2]| ids.iter().map(|id| sends.get(id).copied().unwrap_or(0)).sum::<usize>() as f64;
    let ratio = of([3, 4]) / of([1, 2]);
    assert!((1.5..2.6).contains(&ratio), "ratio {ratio}: {sends:?}");
}

#[test]
fn every_ready_server_is_sampled() {
    let capacities: Vec<(u64, f64)> = (1..=8).map(|id| (id, 4.0)).collect();
    let sends = sends_by_server(&capacities, 2_000, 40.0);
    assert_eq!(sends.len(), 8, "{sends:?}");
    assert!(sends.values().all(|count| *count > 120), "{sends:?}");
}

/// Guards against an overestimated κ of a saturated server: its queue is in the in-flight count, so in-flight
/// / utilisation made it look large, and it was sent more.
#[test]
fn report_of_a_saturated_server_does_not_raise_its_capacity() {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
    harness.report_steadily(&[1, 2], 6.0, 0.75);
    for _ in 0..10 {
        // κ is 8 for both; 24 / 1.0 would make it 24 for the first.
        harness.report(1, 24.0, 1.0);
        harness.report(2, 8.0, 1.0);
        let (request, actions) = harness.arrive(IDEMPOTENT);
        assert_eq!(sent_to(&actions), Some(UpstreamId(2)));
        harness.event(Event::ClientDisconnected(request));
        harness.finish(request, 0, UpstreamId(2), Outcome::Cancelled, 1.0);
    }
    for _ in 0..10 {
        harness.report(1, 24.0, 1.0);
        harness.report(2, 9.0, 1.0);
        let (request, actions) = harness.arrive(IDEMPOTENT);
        assert_eq!(sent_to(&actions), Some(UpstreamId(2)), "9 in flight at κ 8 are less load than 24");
        harness.finish(request, 0, UpstreamId(2), Outcome::Cancelled, 1.0);
    }
}

/// Guards against an overloaded server that looks like the largest one to all sidecars: each gets a report
/// now and then, and the first report of a saturated server had its queue taken for capacity.
#[test]
fn server_that_is_saturated_in_its_first_report_is_not_estimated_as_large() {
    for in_flight in [24.0, 200.0, 1e6] {
        let mut harness = Harness::new(settings(), (1..=9).map(listing).collect());
        // These have κ 4 and a high utilisation.
        harness.report_steadily(&[1, 2, 3, 4, 5, 6, 7, 8], 3.4, 0.85);
        harness.report(9, in_flight, 1.0);
        for _ in 0..200 {
            let (request, actions) = harness.arrive(IDEMPOTENT);
            let to = sent_to(&actions).expect("a server has capacity");
            assert_ne!(to, UpstreamId(9), "{in_flight} in flight");
            harness.event(Event::ClientDisconnected(request));
            harness.finish(request, 0, to, Outcome::Cancelled, 1.0);
        }
    }
}

/// Guards against the winner's curse: of many servers with a single report each, the one with the longest
/// queue in its report looked the largest and was preferred to all others.
#[test]
fn single_report_does_not_double_the_capacity_of_a_server_relative_to_its_kind() {
    let mut harness = Harness::new(settings(), (1..=9).map(listing).collect());
    harness.report_steadily(&[1, 2, 3, 4, 5, 6, 7, 8], 3.0, 0.75);
    harness.report(9, 8.0, 0.8);
    for _ in 0..200 {
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let to = sent_to(&actions).expect("a server has capacity");
        assert_ne!(to, UpstreamId(9));
        harness.event(Event::ClientDisconnected(request));
        harness.finish(request, 0, to, Outcome::Cancelled, 1.0);
    }
}

/// Guards against refusals beside idle servers: one overloaded server among the few with valid reports made
/// all others look overloaded, and nine in ten requests were refused.
#[test]
fn one_overloaded_server_does_not_make_servers_without_reports_look_overloaded() {
    let mut settings = settings();
    settings.probe_cost = 1e9;
    let mut harness = Harness::new(settings, (1..=8).map(listing).collect());
    harness.report_steadily(&[1, 2, 3, 4, 5, 6, 7, 8], 2.0, 0.5);
    // Most reports are no longer valid.
    harness.now += 5_000.0;
    [1, 2, 3].iter().for_each(|id| harness.report(*id, 0.0, 0.0));
    harness.report(4, 100.0, 1.0);
    let mut without_report = 0;
    for _ in 0..100 {
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let to = sent_to(&actions).expect("a server has capacity");
        without_report += u32::from(to.0 > 4);
        harness.event(Event::ClientDisconnected(request));
        harness.finish(request, 0, to, Outcome::Cancelled, 1.0);
    }
    assert!(without_report > 20, "{without_report} of 100 to servers without valid reports");
}

/// Guards against out-of-date reports: one with fewer requests than this sidecar has in flight there is not
/// current.
#[test]
fn report_below_own_requests_in_flight_is_corrected() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].aim = 450.0;
    let mut harness = Harness::new(settings, vec![listing(1), listing(2)]);
    harness.report(1, 2.0, 1.0);
    harness.report(2, 2.0, 1.0);
    let mut sends = BTreeMap::new();
    for _ in 0..8 {
        harness.now += 1.0;
        let (_, actions) = harness.arrive(IDEMPOTENT);
        *sends.entry(sent_to(&actions).unwrap().0).or_insert(0) += 1;
        harness.now += 1.0;
        // Both keep reporting that they are idle, as if nothing had been sent.
        harness.report(1, 0.0, 0.0);
        harness.report(2, 0.0, 0.0);
    }
    assert_eq!(sends, BTreeMap::from([(1, 4), (2, 4)]));
}

/// Guards against a capacity that means only parallelism: servers with as many cores may work at half the
/// speed.
#[test]
fn servers_of_half_the_speed_get_less_load() {
    let mut harness = Harness::new(settings(), (1..=4).map(listing).collect());
    let mut sends = BTreeMap::new();
    let mut in_flight: Vec<(Millis, RequestId, UpstreamId, Millis)> = Vec::new();
    for _ in 0..3_000 {
        harness.now += 10.0;
        let now = harness.now;
        for (_, request, to, latency) in in_flight.extract_if(.., |sent| sent.0 <= now).collect::<Vec<_>>() {
            harness.finish(request, 0, to, Outcome::Ok, latency);
        }
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let Some(to) = sent_to(&actions) else { continue };
        *sends.entry(to.0).or_insert(0.0) += 1.0;
        let latency = if to.0 <= 2 { 60.0 } else { 30.0 };
        in_flight.push((harness.now + latency, request, to, latency));
    }
    assert!(sends[&3] + sends[&4] > 1.4 * (sends[&1] + sends[&2]), "{sends:?}");
}

#[test]
fn same_seed_and_events_give_the_same_actions() {
    let run = |seed: u64| {
        let mut balancer = Balancer::new(settings(), seed);
        let mut actions = Vec::new();
        let list = (1..=6).map(listing).collect();
        balancer.handle(0.0, Event::ListReceived(ListUpdate::Restored(list)), &mut actions);
        for id in 0..300 {
            let event = Event::RequestArrived {
                request: RequestId(id),
                class: ClassId(id as usize % 5),
                tenant: TenantId(0),
                time_left: 400.0,
            };
            balancer.handle(id as f64 * 7.0, event, &mut actions);
        }
        actions
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

#[test]
fn requests_leave_the_zone_only_when_its_servers_have_no_capacity_left() {
    let mut settings = settings();
    settings.cross_zone_cost = 0.1;
    let servers = (1..=6).map(|id| Listing { zone: ZoneId(id % 2), ..listing(id) }).collect();
    let mut harness = Harness::new(settings, servers);
    harness.report_steadily(&[1, 2, 3, 4, 5, 6], 1.0, 0.25);
    let mut cross_zone = 0;
    for round in 0..60 {
        let (_, actions) = harness.arrive(IDEMPOTENT);
        cross_zone += usize::from(sent_to(&actions).is_some_and(|to| to.0 % 2 == 1));
        if round == 5 {
            assert_eq!(cross_zone, 0, "servers of the same zone had capacity");
        }
    }
    assert!(cross_zone > 0, "requests leave the zone once its servers are full");
}

/// Guards against an underestimated capacity: reported utilisation lags, so just after a busy period few
/// requests in flight coincide with a high utilisation, and the ratio of the two made the server look tiny.
#[test]
fn capacity_is_estimated_from_means_and_not_from_one_report() {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
    for _ in 0..60 {
        harness.now += 50.0;
        harness.report(1, 6.0, 0.75);
        harness.report(2, 6.0, 0.75);
    }
    harness.now += 30.0;
    harness.report(1, 1.0, 0.89);
    harness.report(1, 4.0, 0.75);
    harness.report(2, 6.0, 0.75);
    let (_, actions) = harness.arrive(IDEMPOTENT);
    assert_eq!(
        sent_to(&actions),
        Some(UpstreamId(1)),
        "its capacity is nearly unchanged, and it has fewer in flight"
    );
}

/// Guards against late reports: they lack requests known to be in flight, and lead all sidecars to the
/// servers that were idle some time ago.
#[test]
fn late_reports_are_ignored_when_many_are_late() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].aim = 450.0;
    let mut harness = Harness::new(settings, vec![listing(1), listing(2), listing(3)]);
    harness.report_steadily(&[1, 2, 3], 4.0, 0.85);
    let mut sends = BTreeMap::new();
    for round in 0..400 {
        harness.now += 10.0;
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let Some(to) = sent_to(&actions) else { continue };
        if round >= 200 {
            *sends.entry(to.0).or_insert(0) += 1;
        }
        // The first server always reports too little, the others too much.
        for id in 1..=3 {
            harness.now += 1.0;
            harness.report(id, if id == 1 { 0.0 } else { 4.0 }, if id == 1 { 0.0 } else { 0.85 });
        }
        if round >= 7 {
            for id in 1..=3 {
                harness.finish(RequestId(request.0 - 7), 0, UpstreamId(id), Outcome::Ok, 90.0);
            }
        }
    }
    assert!(sends[&2] > 40 && sends[&3] > 40, "{sends:?}");
}

/// Guards against overload in the first second: a server's running mean of utilisation starts at 0, so
/// in-flight / utilisation made every server look huge to all sidecars.
#[test]
fn first_reports_are_not_used_to_estimate_capacity() {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
    harness.report(1, 12.0, 0.12);
    harness.report(2, 6.0, 0.4);
    let (_, actions) = harness.arrive(IDEMPOTENT);
    assert_eq!(sent_to(&actions), Some(UpstreamId(2)), "fewer in flight, although its ratio is smaller");
}

/// Guards against refusals beside idle servers: work that waits rather than computes has many requests in
/// flight at a low utilisation. Each of them was counted as queued, from the first report on and permanently.
#[test]
fn many_requests_in_flight_at_low_utilisation_are_not_taken_for_a_queue() {
    for (in_flight, utilisation) in [(10.0, 0.05), (10.0, 0.2), (40.0, 0.3)] {
        let mut harness = Harness::new(settings(), (1..=4).map(listing).collect());
        for round in 0..400 {
            if round % 10 == 0 {
                harness.now += 50.0;
                (1..=4).for_each(|id| harness.report(id, in_flight, utilisation));
            }
            let (request, actions) = harness.arrive(IDEMPOTENT);
            let to = sent_to(&actions)
                .unwrap_or_else(|| panic!("request {round} refused at utilisation {utilisation}"));
            harness.finish(request, 0, to, Outcome::Ok, 20.0);
        }
    }
}

/// Guards against a capacity estimate that never grows: at a utilisation too low to estimate capacity, the
/// requests in flight still are a lower bound.
#[test]
fn capacity_estimate_grows_with_requests_in_flight_at_low_utilisation() {
    let ids = [1, 2];
    let mut harness = Harness::new(settings(), ids.map(listing).to_vec());
    harness.report_steadily(&ids, 1.0, 0.25);
    ids.into_iter().for_each(|id| harness.report(id, 40.0, 0.05));
    assert!(refused(&harness.arrive(IDEMPOTENT).1), "40 in flight are a queue at an estimated capacity of 4");
    harness.report_steadily(&ids, 40.0, 0.05);
    assert!(
        sent_to(&harness.arrive(IDEMPOTENT).1).is_some(),
        "the estimate has grown after more such reports"
    );
}

/// Servers with a service time of 0.3 ms whose probes take `probe_time`.
fn fast_servers(probe_time: Millis) -> Harness {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
    harness.report_steadily(&[1, 2], 1.0, 0.3);
    for _ in 0..600 {
        harness.now += 1.0;
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let arrived = harness.now;
        for action in &actions {
            if let Action::Probe(id) = action {
                harness.now = arrived + probe_time;
                harness.report(id.0, 1.0, 0.3);
            }
        }
        if let Some(to) = sent_to(&actions) {
            harness.now = harness.now.max(arrived + 0.3);
            harness.finish(request, 0, to, Outcome::Ok, 0.3);
        }
    }
    harness
}

/// Guards against slow answers from fast servers: requests waited for probes that took longer than the work.
#[test]
fn request_does_not_wait_for_a_probe_that_takes_longer_than_the_work() {
    let mut harness = fast_servers(1.0);
    harness.now += 500.0;
    let event = Event::RequestArrived {
        request: RequestId(9_999),
        class: IDEMPOTENT,
        tenant: TenantId(0),
        time_left: 500.0,
    };
    let actions = harness.event(event);
    assert!(sent_to(&actions).is_some(), "sent at once, with old reports");
    assert!(actions.iter().any(|action| matches!(action, Action::Probe(_))), "probed for later requests");
}

/// Guards against waiting without a probe: a report may be old for the class but too recent to be renewed.
#[test]
fn request_does_not_wait_when_no_probe_was_sent() {
    let mut harness = fast_servers(0.01);
    for age in [2.0, 20.0, 39.0] {
        [1, 2].into_iter().for_each(|id| harness.report(id, 1.0, 0.3));
        harness.now += age;
        let request = RequestId(10_000 + age as u64);
        let event =
            Event::RequestArrived { request, class: IDEMPOTENT, tenant: TenantId(0), time_left: 500.0 };
        let actions = harness.event(event);
        let to = sent_to(&actions).unwrap_or_else(|| panic!("it waits, with reports {age} ms old"));
        harness.finish(request, 0, to, Outcome::Ok, 0.3);
    }
}

/// Guards against a wait of a whole share of the aim for a lost probe where other probes took a millisecond.
#[test]
fn wait_for_a_probe_is_limited_to_a_few_mean_probe_times() {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
    harness.report_steadily(&[1, 2], 2.0, 0.5);
    for round in 0..60 {
        harness.now += 200.0;
        let request = RequestId(100 + round);
        let event =
            Event::RequestArrived { request, class: IDEMPOTENT, tenant: TenantId(0), time_left: 500.0 };
        let actions = harness.event(event);
        let waits_until = actions.iter().find_map(|action| match action {
            Action::SetTimer { at, .. } => Some(*at),
            _ => None,
        });
        if round > 40 {
            let wait = waits_until.expect("it waits for probes") - harness.now;
            assert!(wait < 5.0, "it waits for {wait} ms");
        }
        harness.now += 1.0;
        for action in &actions {
            if let Action::Probe(id) = action {
                harness.report(id.0, 2.0, 0.5);
            }
        }
        harness.event(Event::ClientDisconnected(request));
        [1, 2]
            .into_iter()
            .for_each(|id| drop(harness.finish(request, 0, UpstreamId(id), Outcome::Cancelled, 1.0)));
    }
}

/// Guards against permanent refusals: a request with too little time to wait for a probe is refused because
/// of an old report, and without a probe the next request would be, too.
#[test]
fn refused_request_leads_to_a_probe() {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
    harness.report_steadily(&[1, 2], 1.0, 0.5);
    [1, 2].into_iter().for_each(|id| harness.report(id, 60.0, 1.0));
    harness.now += 300.0;
    let (request, tenant) = (RequestId(9), TenantId(0));
    let actions =
        harness.event(Event::RequestArrived { request, class: IDEMPOTENT, tenant, time_left: 40.0 });
    assert!(refused(&actions));
    assert!(actions.iter().any(|action| matches!(action, Action::Probe(_))), "{actions:?}");
}

/// Guards against treating all servers alike in a large fleet: a sidecar with little traffic gets too few
/// reports from each server to estimate its capacity or speed. Reports from other servers of the same kind
/// stand in.
#[test]
fn server_without_reports_is_assumed_to_be_like_its_kind() {
    let kind_of = |id: u64| KindId(id % 2);
    let sends_without_reports = |kind: KindId| {
        let servers = (1..=12).map(|id| Listing { kind: kind_of(id), ..listing(id) }).collect();
        let mut harness = Harness::new(settings(), servers);
        // Of the servers that report, the odd ones have four times as many in flight at the same utilisation.
        harness.report_steadily(&[1, 3], 4.0, 0.5);
        harness.report_steadily(&[2, 4], 1.0, 0.5);
        harness.now += 30_000.0;
        let mut sends = 0;
        for _ in 0..400 {
            harness.now += 500.0;
            let (request, actions) = harness.arrive(IDEMPOTENT);
            let to = sent_to(&actions).expect("a server has capacity");
            sends += u32::from(to.0 > 4 && kind_of(to.0) == kind);
            harness.finish(request, 0, to, Outcome::Ok, 20.0);
        }
        sends
    };
    let (large, small) = (sends_without_reports(KindId(1)), sends_without_reports(KindId(0)));
    assert!(large > 2 * small, "{large} to the large kind, {small} to the small one");
}

/// Guards against herding in a large fleet: sidecars that send seldom all saw the same server idle some time
/// ago, and sent there at once. A pair without recent reports is probed first; the less loaded of the two
/// gets the request.
#[test]
fn pair_without_recent_reports_is_probed_before_the_request_is_sent() {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
    harness.report_steadily(&[1, 2], 2.0, 0.5);
    harness.now += 5_000.0;
    let request = RequestId(70);
    let arrival = Event::RequestArrived { request, class: IDEMPOTENT, tenant: TenantId(0), time_left: 500.0 };
    let actions = harness.event(arrival);
    assert_eq!(sent_to(&actions), None, "it waits for probes");
    for id in [1, 2] {
        assert!(actions.contains(&Action::Probe(UpstreamId(id))));
    }
    harness.now += 2.0;
    assert_eq!(sent_to(&harness.answer_probe(1, 6.0, 0.5)), None, "only one probe is answered");
    assert_eq!(sent_to(&harness.answer_probe(2, 1.0, 0.5)), Some(UpstreamId(2)));
    assert!(
        harness.event(Event::TimerFired(70 >> 1)).is_empty(),
        "the request was sent before its timer fired"
    );
}

/// Guards against a request that waits forever: probes may go unanswered.
#[test]
fn request_is_sent_when_its_probes_go_unanswered() {
    let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
    let event = Event::RequestArrived {
        request: RequestId(9),
        class: NON_IDEMPOTENT,
        tenant: TenantId(0),
        time_left: 500.0,
    };
    let mut actions = harness.event(event);
    let mut waits = 0;
    while let Some(Action::SetTimer { at, token }) = actions.last().cloned() {
        waits += 1;
        harness.now = at;
        actions = harness.event(Event::TimerFired(token));
    }
    assert!(
        waits > 0 && sent_to(&actions).is_some() && harness.now < 1_100.0,
        "{waits} waits until {}",
        harness.now
    );
}

/// Guards against refusals while cores are free: with little time left, a request's own service time exceeds
/// the acceptable wait, so the queue before it has to be considered by itself.
#[test]
fn request_with_little_time_left_is_refused_only_if_there_is_a_queue() {
    let arrive_at = |in_flight: f64| {
        let mut harness = Harness::new(settings(), vec![listing(1), listing(2)]);
        harness.report_steadily(&[1, 2], in_flight, in_flight / 1.4 * 0.8);
        let (request, tenant) = (RequestId(9), TenantId(0));
        harness.event(Event::RequestArrived { request, class: IDEMPOTENT, tenant, time_left: 40.0 })
    };
    assert!(sent_to(&arrive_at(1.0)).is_some());
    assert!(refused(&arrive_at(3.0)), "behind a queue the answer would be late");
}

#[test]
fn costly_probes_are_limited_to_a_share_of_the_worth_of_requests() {
    let play = |cost: f64| {
        let mut settings = settings();
        settings.probe_cost = cost;
        let mut harness = Harness::new(settings, (1..=20).map(listing).collect());
        let (mut probes, mut refused) = (0, 0);
        for _ in 0..400 {
            harness.now += 400.0;
            let (request, actions) = harness.arrive(IDEMPOTENT);
            let probed: Vec<UpstreamId> = actions
                .iter()
                .filter_map(|action| match action {
                    Action::Probe(upstream) => Some(*upstream),
                    _ => None,
                })
                .collect();
            probes += probed.len();
            let mut sent = sent_to(&actions);
            for upstream in probed {
                let report = Report { in_flight: Some(1.0), utilisation: Some(0.3), ..Report::default() };
                let actions =
                    harness.event(Event::ProbeFinished { upstream, answered: true, report: Some(report) });
                sent = sent.or(sent_to(&actions));
            }
            match sent {
                Some(to) => drop(harness.finish(request, 0, to, Outcome::Ok, 20.0)),
                None => refused += 1,
            }
        }
        (probes, refused)
    };
    let (free, cheap, costly) = (play(0.0), play(0.002), play(0.08));
    assert_eq!(free, cheap, "cheap probes are not limited");
    assert!(cheap.0 >= 790, "{cheap:?}");
    // One percent of the worth of 400 requests, and the initial budget.
    assert!((45..=55).contains(&costly.0), "{costly:?}");
    assert_eq!(costly.1, 0, "every request is sent");
}
