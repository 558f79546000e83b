//! What a decision costs does not grow with the fleet. Work is counted, not timed: the same verdict every time.

mod common;

use common::*;
use sagemast_decide::api::*;

/// Servers that are looked at for a request, on the average, and the share of requests that was refused.
fn looks(servers: u64, full: bool) -> (f64, f64) {
    let mut settings = settings();
    settings.cross_zone_cost = 0.03;
    let list = (0..servers).map(|id| Listing { zone: ZoneId(id % 2), ..listing(id) }).collect();
    let mut stage = Harness::new(settings, list);
    let ids: Vec<u64> = (0..servers).collect();
    stage.report_steadily(&ids, 1.0, 0.25);
    if full {
        ids.iter().for_each(|id| stage.report(*id, 80.0, 1.0));
    }
    let mut refusals = 0.0;
    let before = stage.balancer.servers_examined();
    for _ in 0..200 {
        // Within the same moment: reports stay fresh.
        let (request, actions) = stage.arrive(IDEMPOTENT);
        refusals += f64::from(u8::from(refused(&actions)));
        if let Some(to) = sent_to(&actions) {
            stage.finish(request, 0, to, Outcome::Ok, 20.0);
        }
    }
    ((stage.balancer.servers_examined() - before) as f64 / 200.0, refusals / 200.0)
}

#[test]
fn a_draw_looks_at_two_servers_however_many_there_are() {
    let (small, _) = looks(10, false);
    for servers in [100, 1_000, 10_000] {
        let (large, _) = looks(servers, false);
        assert!(large <= 1.2 * small && large < 3.0, "{large} of {servers}, {small} of 10");
    }
}

#[test]
fn a_request_that_nobody_has_room_for_does_not_look_at_everybody() {
    for servers in [1_000, 10_000] {
        let (looked, refused) = looks(servers, true);
        assert_eq!(refused, 1.0);
        // Near ones, all, and two to be asked.
        assert!(looked <= 50.0, "{looked} of {servers}");
    }
}

/// Guards against cost by the whole list: one that comes or goes concerns nobody else.
#[test]
fn a_change_of_the_list_looks_at_nobody() {
    let mut stage = Harness::new(settings(), (0..5_000).map(listing).collect());
    let before = stage.balancer.servers_examined();
    for id in 0..200 {
        let gone = Listing { lifecycle: Lifecycle::Draining, ..listing(id) };
        stage.event(Event::ListReceived(ListUpdate::Changed(vec![gone, listing(5_000 + id)])));
    }
    assert_eq!(stage.balancer.servers_examined(), before);
    for _ in 0..400 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let to = sent_to(&actions).expect("there is room");
        assert!(to.0 >= 200, "sent to one that is gone");
        stage.finish(request, 0, to, Outcome::Ok, 20.0);
    }
}
