//! Servers that vanish, fall silent, drain, come back and are replaced.

mod common;

use std::collections::{HashMap, HashSet};

use common::{Site, client, entry, server};
use sagemast_flows::api::*;
use sagemast_flows::rules::Rules;

const FEEDS: u32 = 60;

/// A site with feeds at its servers.
struct World {
    site: Site,
    feeds: Vec<FlowId>,
    /// Servers that say nothing, and those whose hosts refuse.
    dead: HashSet<u16>,
    refusing: HashSet<u16>,
    /// When each feed was last served by a server that is alive.
    served: HashMap<FlowId, f64>,
    worst: f64,
}

impl World {
    fn new(rules: Rules, servers: u16) -> World {
        let mut site = Site::new(rules, servers);
        let feeds: Vec<FlowId> = (0..FEEDS)
            .map(|number| {
                site.pass(site.now + 20.0);
                site.exchange(client(number)).expect("a place")
            })
            .collect();
        let mut world = World {
            site,
            feeds,
            dead: HashSet::new(),
            refusing: HashSet::new(),
            served: HashMap::new(),
            worst: 0.0,
        };
        world.run(10_000.0);
        world.worst = 0.0;
        world
    }

    /// Feeds go on: servers send ten datagrams a second, viewers four.
    fn run(&mut self, span: f64) {
        let until = self.site.now + span;
        while self.site.now < until {
            self.site.pass(self.site.now + 25.0);
            let step = (self.site.now / 25.0) as usize;
            for (number, flow) in self.feeds.clone().into_iter().enumerate() {
                if !self.site.sockets.contains_key(&flow) {
                    continue;
                }
                if (step + number).is_multiple_of(10) {
                    self.site.send(client(number as u32), b"still here");
                    let at = self.site.to(flow).port() - 9_000;
                    if self.refusing.contains(&at) {
                        self.site.flows.refused(self.site.now, flow, &mut self.site.out);
                        self.site.carry_out();
                    }
                }
                let to = self.site.sockets.get(&flow).copied().map(|to| to.port() - 9_000);
                let alive = to.is_some_and(|at| !self.dead.contains(&at) && !self.refusing.contains(&at));
                if alive && (step + number).is_multiple_of(4) {
                    assert_eq!(self.site.answer(flow, 50), Fate::ToClient(client(number as u32)));
                    self.served.insert(flow, self.site.now);
                }
                let last = self.served.get(&flow).copied().unwrap_or(self.site.now);
                self.worst = self.worst.max(self.site.now - last);
            }
            self.site.check();
        }
    }

    fn at(&self, number: u16) -> usize {
        self.feeds.iter().filter(|flow| self.site.to(**flow) == server(number)).count()
    }

    fn view(&self, number: u16) -> &'static str {
        let name = format!("s{number}");
        let views = self.site.flows.server_views();
        views.into_iter().find(|view| view.name == name).map_or("none", |view| view.state)
    }
}

#[test]
fn flows_of_a_server_that_is_refused_by_its_host_move_within_two_seconds() {
    let mut world = World::new(Rules::default(), 3);
    assert!(world.at(1) > 5, "{}", world.at(1));
    world.refusing.insert(1);
    world.run(2_500.0);
    assert_eq!(world.at(1), 0);
    assert!(world.worst < 2_000.0, "a feed stood still for {} ms", world.worst);
    assert_eq!(world.site.flows.counts().lost, [1, 0]);
    assert!(world.at(0) > 10 && world.at(2) > 10, "{} and {}", world.at(0), world.at(2));
}

#[test]
fn flows_of_a_silent_server_move_within_two_seconds_and_not_all_at_once() {
    // Where servers are told of flows, these move at their own times, not with their viewers'.
    let mut world = World::new(Rules { hello: Some(b"SGM".to_vec()), ..Rules::default() }, 3);
    world.dead.insert(1);
    let before = world.site.opened.len();
    let mut each = Vec::new();
    for _ in 0..100 {
        let moved = world.site.opened.len();
        world.run(25.0);
        each.push(world.site.opened.len() - moved);
    }
    let moved = world.site.opened.len() - before;
    assert_eq!(world.at(1), 0);
    assert!(world.worst < 2_000.0, "a feed stood still for {} ms", world.worst);
    assert!(each.iter().all(|now| *now <= moved.div_ceil(3)), "{each:?} of {moved}");
    assert_eq!(world.site.flows.counts().lost, [0, 1]);
    assert!(world.site.opened[before..].iter().all(|(_, _, cause)| *cause == Cause::Lost));
}

#[test]
fn without_the_rule_on_silence_a_silent_server_keeps_its_flows() {
    let silence = sagemast_flows::rules::Silence::Off;
    let mut world = World::new(Rules { silence, ..Rules::default() }, 3);
    let before = world.at(1);
    world.dead.insert(1);
    world.run(5_000.0);
    assert_eq!((world.at(1), world.site.flows.counts().lost), (before, [0, 0]));
}

#[test]
fn two_of_three_may_vanish_at_once() {
    let mut world = World::new(Rules::default(), 3);
    world.dead.extend([0, 2]);
    world.run(3_000.0);
    assert_eq!((world.at(0), world.at(2), world.at(1)), (0, 0, FEEDS as usize));
    assert!(world.worst < 2_000.0, "a feed stood still for {} ms", world.worst);
}

#[test]
fn the_last_one_keeps_its_flows_and_comes_back() {
    let mut world = World::new(Rules::default(), 1);
    world.refusing.insert(0);
    world.run(5_000.0);
    assert_eq!(world.view(0), "lost");
    assert_eq!(world.at(0), FEEDS as usize, "there is nowhere else");
    let newcomer = world.site.send(([10, 50, 0, 1], 4).into(), b"new");
    assert!(matches!(newcomer, Fate::Dropped(Drop::NoServer) | Fate::ToServer(_)));
    world.refusing.clear();
    world.run(1_000.0);
    assert_eq!(world.view(0), "serving");
    world.worst = 0.0;
    world.run(1_000.0);
    assert!(world.worst <= 125.0, "feeds go on: {}", world.worst);
    assert_eq!(world.site.flows.counts().back, 1);
}

#[test]
fn a_pause_of_all_feeds_is_no_loss_of_all_servers() {
    let mut world = World::new(Rules::default(), 4);
    world.dead.extend([0, 1, 2, 3]);
    world.run(4_000.0);
    let lost = world.site.flows.counts().lost[1];
    assert!(lost <= 2, "seven tenths of four is two, and {lost} counted as lost");
    world.dead.clear();
    world.run(15_000.0);
    assert!((0..4).all(|number| world.view(number) != "draining"));
}

#[test]
fn a_lost_server_that_is_back_is_tried_by_one_flow_and_then_serves_as_a_cold_one() {
    let mut world = World::new(Rules::default(), 2);
    world.refusing.insert(1);
    world.run(2_500.0);
    assert_eq!(world.at(1), 0);
    world.refusing.clear();
    // Newcomers: until one of them has been answered there, only one goes.
    let mut at_once = 0;
    for number in 0..200_u32 {
        world.site.pass(world.site.now + 20.0);
        let before = world.view(1);
        if let Fate::ToServer(flow) = world.site.send(client(5_000 + 200 * number), b"new") {
            let to = world.site.to(flow);
            at_once += usize::from(to == server(1) && before == "lost");
            world.site.answer(flow, 3);
        }
    }
    assert_eq!(at_once, 1);
    assert_eq!(world.view(1), "serving");
    // Empty as it is, a warm one would have had most of the newcomers.
    let there = world.site.sockets.values().filter(|to| **to == server(1)).count();
    assert!((2..60).contains(&there), "{there} of 200");
}

#[test]
fn a_draining_server_keeps_its_flows_for_its_grace_and_gets_no_new_one() {
    let rules = Rules { drain_grace: 2_000.0, ..Rules::default() };
    let mut world = World::new(rules, 3);
    let before = world.at(1);
    let drained = Entry { serving: false, ..entry(1) };
    world.site.flows.news(world.site.now, News::Changed(vec![drained], vec![]), &mut world.site.out);
    let opened = world.site.opened.len();
    world.run(1_500.0);
    assert_eq!(world.at(1), before);
    for number in 0..50 {
        if let Fate::ToServer(flow) = world.site.send(client(6_000 + 200 * number), b"new") {
            assert_ne!(world.site.to(flow), server(1), "a new flow went to a draining server");
            world.site.answer(flow, 2);
        }
    }
    world.run(1_000.0);
    assert_eq!(world.at(1), 0);
    assert!(world.worst <= 400.0, "a feed stood still for {} ms", world.worst);
    assert!(world.site.opened[opened..].iter().any(|(_, _, cause)| *cause == Cause::Drained));
    assert_eq!(world.site.flows.counts().dropped[Drop::Stranded as usize], 0);
}

#[test]
fn a_list_that_is_replaced_whole_moves_everyone_and_fills_cold_servers_slowly() {
    let rules = Rules { flows_per_weight: 100.0, ..Rules::default() };
    let mut world = World::new(rules, 3);
    let now = world.site.now;
    let cold = |number| Entry { started: Some(now), ..entry(number) };
    let all = (10..13).map(cold).collect();
    world.site.flows.news(now, News::Complete(all), &mut world.site.out);
    world.run(500.0);
    for number in 10..13 {
        assert!(world.at(number) <= 21, "{} flows at a server that can hold 16", world.at(number));
    }
    world.run(6_000.0);
    assert_eq!((0..3).map(|number| world.at(number)).sum::<usize>(), 0);
    assert_eq!((10..13).map(|number| world.at(number)).sum::<usize>(), FEEDS as usize);
}

#[test]
fn a_server_at_another_address_gets_its_flows_there() {
    let mut world = World::new(Rules::default(), 1);
    let moved = Entry { dial: server(5), ..entry(0) };
    world.site.flows.news(world.site.now, News::Complete(vec![moved]), &mut world.site.out);
    world.run(1_500.0);
    assert_eq!(world.at(5), FEEDS as usize);
}

#[test]
fn garbage_that_no_server_answers_takes_no_server_out() {
    let mut site = Site::new(Rules { new_burst: 1e6, new_per_s: 1e6, ..Rules::default() }, 2);
    let flow = site.exchange(client(0)).expect("a place");
    let other = site.exchange(client(200)).expect("a place");
    for number in 0..800_u32 {
        site.pass(site.now + 25.0);
        site.send(client(1_000 + number), b"garbage");
        site.answer(flow, 10);
        site.answer(other, 10);
    }
    assert!(site.lines.is_empty(), "{:?}", site.lines);
    assert!(site.flows.counts().ended[End::Unanswered as usize] > 500);
    assert!(site.exchange(client(9_000)).is_some());
    site.check();
}

#[test]
fn an_unanswered_opening_goes_to_another_server() {
    let mut site = Site::new(Rules::default(), 2);
    let mut began = 0;
    for number in 0..40_u32 {
        let from = client(200 * number);
        let Fate::ToServer(flow) = site.send(from, b"new") else { continue };
        began += 1;
        // One server says nothing to anybody; viewers ask again.
        for _ in 0..20 {
            site.pass(site.now + 50.0);
            site.send(from, b"anybody there?");
            if site.to(flow) == server(0) {
                site.answer(flow, 3);
                break;
            }
        }
    }
    assert!(began > 30, "{began}");
    let live = site.flows.sizes()[0] - site.flows.sizes()[1];
    assert!(live >= began - 2, "{live} of {began} were answered in the end");
    assert!(site.flows.counts().moved[Cause::Unanswered as usize] > 0);
}

#[test]
fn flows_spread_by_weight() {
    let rules = Rules { flows: 4_000, new_burst: 1e6, new_per_s: 1e6, ..Rules::default() };
    let mut site = Site::new(rules, 0);
    let weights = [1.0, 1.0, 2.0, 4.0];
    let entries = weights.iter().enumerate().map(|(n, w)| Entry { weight: *w, ..entry(n as u16) }).collect();
    site.flows.news(0.0, News::Complete(entries), &mut site.out);
    for number in 0..1_600 {
        site.pass(site.now + 5.0);
        site.exchange(client(number)).expect("a place");
    }
    for (view, weight) in site.flows.server_views().iter().zip(weights) {
        let (share, fair) = (view.flows[0] as f64, 200.0 * weight);
        assert!((share / fair - 1.0).abs() < 0.25, "{} has {share}, {fair} is fair", view.name);
    }
}

#[test]
fn a_near_server_that_is_full_leaves_flows_to_far_ones() {
    let rules = Rules { flows_per_weight: 30.0, new_per_s: 1e6, new_burst: 1e6, ..Rules::default() };
    let mut site = Site::new(rules, 0);
    let far = Entry { zone: 1, ..entry(1) };
    site.flows.news(0.0, News::Complete(vec![entry(0), far]), &mut site.out);
    let mut near = 0;
    for number in 0..50 {
        site.pass(site.now + 5.0);
        let flow = site.exchange(client(number)).expect("there is room far away");
        near += usize::from(site.to(flow) == server(0));
    }
    assert!(near >= 25, "{near} stayed near");
    site.check();
    let views = site.flows.server_views();
    assert!(views.iter().all(|view| view.flows[0] <= 30), "{views:?}");
}

#[test]
fn the_only_server_is_never_lost_by_silence() {
    let mut world = World::new(Rules::default(), 1);
    world.dead.insert(0);
    world.run(5_000.0);
    assert_eq!(world.view(0), "serving");
}

#[test]
fn one_cold_server_is_given_no_more_than_it_can_bear_whoever_waits() {
    let rules = Rules { flows_per_weight: 100.0, ..Rules::default() };
    let mut world = World::new(rules, 1);
    let now = world.site.now;
    let cold = Entry { started: Some(now), ..entry(10) };
    world.site.flows.news(now, News::Complete(vec![cold]), &mut world.site.out);
    for step in 1..=20 {
        world.run(250.0);
        // Half of 2.5 times what it has of its 100 by now.
        let most = 0.5 * 2.5 * 100.0 * (0.16 + 0.84 * f64::from(step) * 250.0 / 21_000.0);
        assert!(world.at(10) as f64 <= most + 1.0, "{} flows after {step} steps, of {most}", world.at(10));
    }
    assert!(world.at(10) > 30, "{}", world.at(10));
}

#[test]
fn nothing_goes_to_a_drained_server_after_its_grace_though_there_is_no_other() {
    let mut world = World::new(Rules { drain_grace: 1_000.0, ..Rules::default() }, 1);
    let now = world.site.now;
    let drained = Entry { serving: false, ..entry(0) };
    world.site.flows.news(now, News::Changed(vec![drained], vec![]), &mut world.site.out);
    world.run(950.0);
    assert_eq!(world.site.flows.counts().dropped[Drop::Stranded as usize], 0);
    world.run(100.0);
    let forwarded = world.site.flows.counts().forwarded[0];
    world.run(1_000.0);
    assert_eq!(world.site.flows.counts().forwarded[0], forwarded);
    // Another comes, and they go there.
    world.site.flows.news(world.site.now, News::Changed(vec![entry(1)], vec![]), &mut world.site.out);
    world.run(1_500.0);
    assert_eq!(world.at(1), FEEDS as usize);
}

#[test]
fn a_server_that_serves_others_is_not_blamed_for_what_it_does_not_answer() {
    let mut site = Site::new(Rules::default(), 2);
    let feed = loop {
        let number = site.flows.counts().begun as u32;
        let flow = site.exchange(client(200 * number)).expect("a place");
        if site.to(flow) == server(0) {
            break flow;
        }
    };
    let mut unanswered = 0;
    for number in 100..400_u32 {
        let from = client(200 * number);
        let Fate::ToServer(flow) = site.send(from, b"one that s0 has no use for") else { panic!("no place") };
        let first = site.to(flow);
        unanswered += u32::from(first == server(0));
        for _ in 0..25 {
            site.pass(site.now + 40.0);
            site.answer(feed, 5);
            site.send(from, b"again");
            if site.to(flow) == server(1) {
                site.answer(flow, 3);
                break;
            }
        }
    }
    assert!(unanswered > 20, "{unanswered}");
    assert!(site.lines.is_empty(), "{:?}", site.lines);
    site.check();
}
