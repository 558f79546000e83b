//! The cost of a decision does not grow with the fleet. It is measured as the number of servers examined,
//! which is the same in every run, not as time.

mod common;

use common::*;
use sagemast_decide::api::*;

/// The mean number of servers examined for a request, and the share of requests refused.
fn examined_per_request(servers: u64, saturated: bool) -> (f64, f64) {
    let mut settings = settings();
    settings.cross_zone_cost = 0.03;
    let list = (0..servers).map(|id| Listing { zone: ZoneId(id % 2), ..listing(id) }).collect();
    let mut stage = Harness::new(settings, list);
    let ids: Vec<u64> = (0..servers).collect();
    stage.report_steadily(&ids, 1.0, 0.25);
    if saturated {
        ids.iter().for_each(|id| stage.report(*id, 80.0, 1.0));
    }
    let mut refusals = 0.0;
    let before = stage.balancer.servers_examined();
    for _ in 0..200 {
        // Time does not advance, so that reports stay fresh.
        let (request, actions) = stage.arrive(IDEMPOTENT);
        refusals += f64::from(u8::from(refused(&actions)));
        if let Some(upstream) = sent_to(&actions) {
            stage.finish(request, 0, upstream, Outcome::Ok, 20.0);
        }
    }
    ((stage.balancer.servers_examined() - before) as f64 / 200.0, refusals / 200.0)
}

#[test]
fn request_examines_about_two_servers_in_fleets_of_any_size() {
    let (small, _) = examined_per_request(10, false);
    for servers in [100, 1_000, 10_000] {
        let (large, _) = examined_per_request(servers, false);
        assert!(large <= 1.2 * small && large < 3.0, "{large} of {servers} servers examined, {small} of 10");
    }
}

#[test]
fn refused_request_examines_a_bounded_number_of_servers() {
    for servers in [1_000, 10_000] {
        let (examined, refused) = examined_per_request(servers, true);
        assert_eq!(refused, 1.0);
        // 24 in the same zone, 24 in all zones, and two to probe.
        assert!(examined <= 50.0, "{examined} of {servers} servers examined");
    }
}

/// Guards against a cost per listed server: a server that comes or goes must not cause others to be examined.
#[test]
fn list_change_examines_no_servers() {
    let mut stage = Harness::new(settings(), (0..5_000).map(listing).collect());
    let before = stage.balancer.servers_examined();
    for id in 0..200 {
        let gone = Listing { lifecycle: Lifecycle::Draining, ..listing(id) };
        stage.event(Event::ListReceived(ListUpdate::Changed(vec![gone, listing(5_000 + id)])));
    }
    assert_eq!(stage.balancer.servers_examined(), before);
    for _ in 0..400 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let upstream = sent_to(&actions).expect("servers have capacity");
        assert!(upstream.0 >= 200, "sent to a draining server");
        stage.finish(request, 0, upstream, Outcome::Ok, 20.0);
    }
}
