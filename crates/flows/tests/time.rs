//! Expiry: on time, never early, and not for what waits unread while the process stood still.

mod common;

use common::{Site, client, entry};
use sagemast_flows::api::*;
use sagemast_flows::rules::Rules;
use sagemast_flows::snapshot::{Fault, Snapshot};

fn rules() -> Rules {
    Rules { idle: 1_000.0, client_idle: 5_000.0, unanswered: 500.0, ..Rules::default() }
}

#[test]
fn an_idle_flow_leaves_within_a_tick_of_its_time() {
    let mut site = Site::new(rules(), 1);
    site.pass(333.0);
    let flow = site.exchange(client(1)).expect("a place");
    site.pass(1_332.0);
    assert!(site.closed.is_empty(), "early");
    site.pass(1_333.0 + 50.0 + 25.0);
    assert_eq!(site.closed, [(flow, End::Idle)]);
    assert_eq!(site.answer(flow, 5), Fate::Dropped(Drop::Unknown));
    site.check();
}

#[test]
fn one_that_is_idle_for_just_less_than_its_time_stays_thousands_of_times() {
    let mut site = Site::new(rules(), 1);
    let flow = site.exchange(client(1)).expect("a place");
    for _ in 0..3_000 {
        site.pass(site.now + 999.0);
        assert_eq!(site.send(client(1), b"x"), Fate::ToServer(flow));
    }
    assert!(site.closed.is_empty());
}

#[test]
fn a_client_that_says_nothing_leaves_though_its_server_sends() {
    let mut site = Site::new(rules(), 1);
    let flow = site.exchange(client(1)).expect("a place");
    while site.now < 4_900.0 {
        site.pass(site.now + 100.0);
        site.answer(flow, 10);
    }
    assert!(site.closed.is_empty());
    site.pass(5_100.0);
    assert_eq!(site.closed, [(flow, End::Idle)]);
}

#[test]
fn an_unanswered_flow_leaves_and_one_way_flows_live_by_what_they_send() {
    let mut site = Site::new(rules(), 1);
    let Fate::ToServer(flow) = site.send(client(1), b"x") else { panic!("no place") };
    site.pass(600.0);
    assert_eq!(site.closed, [(flow, End::Unanswered)]);

    let mut site = Site::new(Rules { one_way: true, ..rules() }, 1);
    let Fate::ToServer(flow) = site.send(client(1), b"x") else { panic!("no place") };
    for _ in 0..40 {
        site.pass(site.now + 50.0);
        assert_eq!(site.send(client(1), b"x"), Fate::ToServer(flow));
    }
    assert_eq!(site.flows.sizes(), [1, 0]);
    site.check();
}

#[test]
fn a_clock_that_stood_still_ends_nobody_who_has_sent_meanwhile() {
    let mut site = Site::new(rules(), 1);
    let flows: Vec<FlowId> = (0..20).filter_map(|n| site.exchange(client(n))).collect();
    site.pass(500.0);
    // The process stands still for two seconds; what came meanwhile is read after the first look at the clock.
    site.now = 2_500.0;
    site.flows.advance(site.now, &mut site.out);
    site.carry_out();
    assert!(site.closed.is_empty(), "ended before what it sent was read");
    for (number, flow) in flows.iter().enumerate().skip(1) {
        assert_eq!(site.send(client(number as u32), b"x"), Fate::ToServer(*flow));
    }
    site.pass(2_900.0);
    assert_eq!(site.closed, [(flows[0], End::Idle)], "the one that sent nothing");
}

#[test]
fn a_kept_table_goes_on_at_the_same_servers_and_ports() {
    let mut site = Site::new(rules(), 3);
    let flows: Vec<FlowId> = (0..100).filter_map(|n| site.exchange(client(n))).collect();
    let before: Vec<_> = flows.iter().map(|flow| site.to(*flow)).collect();
    let bytes = site.flows.keep(5_000, |flow| Some(20_000 + flow.slot as u16)).encode();

    let kept = Snapshot::decode(&bytes, 6_000, 10_000.0).expect("it is sound").kept;
    let mut next = Site::new(rules(), 0);
    let restored = next.flows.restore(0.0, kept, &mut next.out);
    let ports: Vec<Option<u16>> = next
        .out
        .iter()
        .filter_map(|action| match action {
            Action::Open { port, cause: Cause::Restored, .. } => Some(*port),
            _ => None,
        })
        .collect();
    assert_eq!(ports.len(), 100);
    assert_eq!(ports[7], Some(20_007));
    next.carry_out();
    for (number, (flow, to)) in restored.iter().zip(before).enumerate() {
        let flow = flow.expect("a place");
        assert_eq!(next.to(flow), to);
        assert_eq!(next.send(client(number as u32), b"x"), Fate::ToServer(flow));
    }
    next.check();
    // A list that has none of these servers is not held up by what was kept.
    next.flows.news(10.0, News::Complete(vec![entry(9)]), &mut next.out);
    next.carry_out();
    next.now = 20.0;
    assert!(matches!(next.send(client(1), b"x"), Fate::ToServer(_)));
    next.check();
}

#[test]
fn what_is_torn_foreign_or_old_is_not_believed() {
    let mut site = Site::new(rules(), 1);
    site.exchange(client(1)).expect("a place");
    let bytes = site.flows.keep(5_000, |_| Some(1)).encode();
    let read = |bytes: &[u8], now| Snapshot::decode(bytes, now, 1_000.0).map(|s| s.kept.flows.len());
    assert_eq!(read(&bytes, 5_500), Ok(1));
    assert_eq!(read(&bytes, 6_001), Err(Fault::Old(1_001)));
    assert_eq!(read(&bytes, 4_999), Err(Fault::Old(-1)));
    assert_eq!(read(b"", 5_000), Err(Fault::Foreign));
    assert_eq!(read(b"some other file, long enough", 5_000), Err(Fault::Foreign));
    for cut in 4..bytes.len() {
        assert!(read(&bytes[..cut], 5_000).is_err(), "cut at {cut}");
    }
    for at in 4..bytes.len() {
        let mut torn = bytes.clone();
        torn[at] ^= 0x20;
        assert!(read(&torn, 5_000).is_err(), "changed at {at}");
    }
}

#[test]
fn operators_move_and_end_flows() {
    let mut site = Site::new(rules(), 3);
    let flow = site.exchange(client(1)).expect("a place");
    site.flows.move_flow(site.now, flow, Some("s2"), &mut site.out).expect("it is there");
    site.carry_out();
    assert_eq!(site.to(flow), common::server(2));
    assert!(site.flows.move_flow(site.now, flow, Some("nobody"), &mut site.out).is_err());
    assert!(site.flows.end_flow(site.now, flow, &mut site.out));
    site.carry_out();
    assert!(!site.flows.end_flow(site.now, flow, &mut site.out));
    assert_eq!(site.closed, [(flow, End::Told)]);
    site.check();
}
