//! Who may have a place: floods from one source and from many, ids that two claim, sources that were never proven.

mod common;

use common::{Site, client};
use sagemast_flows::api::*;
use sagemast_flows::rules::{IdAt, Rules};

fn rules() -> Rules {
    Rules { flows: 1_000, tentative: 200, sources: 64, ..Rules::default() }
}

/// 500 feeds of 10 datagrams a second each way, for so long.
fn feed(site: &mut Site, feeds: &[FlowId], span: f64, mut between: impl FnMut(&mut Site)) -> usize {
    let (mut lost, until) = (0, site.now + span);
    while site.now < until {
        site.pass(site.now + 100.0);
        between(site);
        for (number, flow) in feeds.iter().enumerate() {
            lost += usize::from(site.send(client(number as u32), b"more") != Fate::ToServer(*flow));
            lost += usize::from(site.answer(*flow, 100) != Fate::ToClient(client(number as u32)));
        }
        site.check();
    }
    lost
}

fn live(site: &mut Site, count: u32) -> Vec<FlowId> {
    (0..count)
        .map(|number| {
            site.pass(site.now + 10.0);
            site.exchange(client(number)).expect("a place")
        })
        .collect()
}

#[test]
fn a_flood_from_one_client_costs_living_feeds_nothing() {
    let mut site = Site::new(rules(), 3);
    let feeds = live(&mut site, 500);
    let begun = site.flows.counts().begun;
    let mut port = 0;
    // 50,000 new flows in a second, from the ports of one host.
    let lost = feed(&mut site, &feeds, 2_000.0, |site| {
        for _ in 0..2_500 {
            port += 1;
            site.send(([10, 99, 0, 1], 10_000 + port).into(), b"flood");
        }
    });
    assert_eq!(lost, 0);
    let flooded = site.flows.counts().begun - begun;
    let rules = site.flows.rules();
    assert!(flooded as f64 <= rules.new_burst + 3.0 * rules.new_per_s, "{flooded} began");
    let dropped = site.flows.counts().dropped;
    assert!(dropped[Drop::SourceNew as usize] + dropped[Drop::SourceRate as usize] > 49_000);
}

#[test]
fn a_flood_from_thousands_of_addresses_pushes_out_its_own_alone() {
    let mut site = Site::new(rules(), 3);
    let feeds = live(&mut site, 500);
    let mut number = 0_u32;
    let mut honest = 0;
    let lost = feed(&mut site, &feeds, 2_000.0, |site| {
        for _ in 0..2_500 {
            number += 1;
            let [_, _, b, c] = (number % 5_000).to_be_bytes();
            site.send(([127, 1, b, c], 1_000 + (number / 5_000) as u16).into(), b"flood");
        }
        // A newcomer of a prefix of its own finds a place, and is answered.
        honest += 1;
        let newcomer = ([10, 77, honest, 1], 5).into();
        assert!(site.exchange(newcomer).is_some(), "an honest newcomer was turned away");
    });
    assert_eq!(lost, 0);
    assert!(site.flows.counts().ended[End::Pushed as usize] > 0);
    assert!(site.closed.iter().all(|(flow, _)| !feeds.contains(flow)), "a living feed was pushed out");
    assert!(site.flows.sizes()[1] <= 200);
}

#[test]
fn sources_beyond_the_table_share_one_allowance() {
    let mut site = Site::new(Rules { sources: 4, new_burst: 10.0, new_per_s: 1.0, ..rules() }, 1);
    let mut began = 0;
    for number in 0..100_u8 {
        for port in 0..5 {
            let fate = site.send(([10, number, 0, 1], 1_000 + port).into(), b"x");
            began += usize::from(matches!(fate, Fate::ToServer(_)));
        }
    }
    // Four of their own at five each, and ten for all the others.
    assert_eq!(began, 4 * 5 + 10);
    site.check();
}

#[test]
fn an_unproven_source_gets_no_more_than_the_multiple() {
    let mut site = Site::new(rules(), 1);
    let from = client(1);
    let Fate::ToServer(flow) = site.send(from, &[0; 100]) else { panic!("no place") };
    assert_eq!(site.answer(flow, 200), Fate::ToClient(from));
    assert_eq!(site.answer(flow, 101), Fate::Dropped(Drop::Amplification));
    assert_eq!(site.answer(flow, 100), Fate::ToClient(from), "300 in all");
    assert_eq!(site.answer(flow, 1), Fate::Dropped(Drop::Amplification));
    site.send(from, b"I hear");
    assert_eq!(site.answer(flow, 60_000), Fate::ToClient(from));
}

#[test]
fn an_id_moves_with_its_viewer_but_not_to_a_second_claimant() {
    let id = Some(IdAt { offset: 0, length: 4 });
    let mut site = Site::new(Rules { id, ..rules() }, 3);
    let (first, second, late) = (client(1), client(2), client(3));
    let Fate::ToServer(flow) = site.send(first, b"abcd one") else { panic!("no place") };
    site.answer(flow, 8);
    site.send(first, b"abcd two");
    // While the first is heard, a second with its id is another flow.
    site.pass(500.0);
    let Fate::ToServer(claimed) = site.send(second, b"abcd mine") else { panic!("no place") };
    assert_ne!(claimed, flow);
    assert_eq!(site.answer(flow, 8), Fate::ToClient(first));
    assert_eq!(site.flows.counts().claimed, 1);
    // Once the first is silent, its id may come from elsewhere, and has to prove itself again.
    site.pass(2_000.0);
    assert_eq!(site.send(late, b"abcd three"), Fate::ToServer(flow));
    assert_eq!(site.answer(flow, 31), Fate::Dropped(Drop::Amplification));
    assert_eq!(site.answer(flow, 30), Fate::ToClient(late));
    assert_eq!(site.flows.counts().rebound, 1);
    // Without ids another port is another viewer.
    let mut plain = Site::new(rules(), 3);
    let Fate::ToServer(one) = plain.send(first, b"abcd") else { panic!("no place") };
    let Fate::ToServer(two) = plain.send(second, b"abcd") else { panic!("no place") };
    assert_ne!(one, two);
    site.check();
    plain.check();
}

#[test]
fn one_flow_is_held_to_its_rate() {
    let mut site = Site::new(Rules { flow_per_s: 100.0, ..rules() }, 1);
    let flow = site.exchange(client(1)).expect("a place");
    let passed = (0..1_000).filter(|_| site.send(client(1), b"x") == Fate::ToServer(flow)).count();
    assert_eq!(passed, 49, "half a second's worth is saved up, and one was spent");
    site.pass(1_000.0);
    assert_eq!(site.send(client(1), b"x"), Fate::ToServer(flow));
    site.check();
}

#[test]
fn one_that_is_about_to_end_takes_no_new_flow() {
    let mut site = Site::new(rules(), 1);
    let flow = site.exchange(client(1)).expect("a place");
    site.flows.close();
    assert_eq!(site.send(client(2), b"x"), Fate::Dropped(Drop::Closing));
    assert_eq!(site.send(client(1), b"x"), Fate::ToServer(flow));
}

#[test]
fn sources_that_are_all_forged_begin_no_more_than_all_may() {
    let mut site = Site::new(Rules { all_new_per_s: 100.0, sources: 100_000, ..rules() }, 1);
    for number in 0..10_000_u32 {
        let [_, b, c, _] = (number << 8).to_be_bytes();
        site.send(([20, b, c, 1], 7).into(), b"x");
    }
    assert_eq!(site.flows.counts().begun, 100);
    assert_eq!(site.flows.counts().dropped[Drop::NewRate as usize], 9_900);
    site.check();
}
