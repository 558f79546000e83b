//! A day in simulated time: feeds that begin and end, servers that drain, vanish, fall silent, are replaced and come
//! back. What the core says of them is held against what happens.

mod common;

use std::collections::HashMap;

use common::{Site, client, entry};
use oorandom::Rand64;
use sagemast_flows::api::*;
use sagemast_flows::rules::Rules;

const DAY: f64 = 24.0 * 3_600_000.0;
/// A look at the world. Feeds and viewers speak at these times; coarse enough for a day to take seconds.
const STEP: f64 = 200.0;

struct Feed {
    flow: FlowId,
    from: std::net::SocketAddr,
    ends: f64,
    served: f64,
}

#[test]
fn a_day_of_feeds_with_servers_that_come_and_go() {
    let rules = Rules { unanswered: 2_000.0, idle: 30_000.0, flows_per_weight: 40.0, ..Rules::default() };
    let mut site = Site::new(rules, 0);
    let mut dice = Rand64::new(11);
    let mut feeds: Vec<Feed> = Vec::new();
    // Servers: since when they are dead, by number; a new one has a new number.
    let mut alive: HashMap<u16, Option<f64>> = (0..4).map(|n| (n, None)).collect();
    let (mut next_server, mut next_client) = (4_u16, 0_u32);
    site.flows.news(0.0, News::Complete((0..4).map(entry).collect()), &mut site.out);
    let (mut next_feed, mut next_event) = (0.0, 600_000.0);
    let (mut still, mut begun, mut ended, mut refused, mut events) = (Vec::new(), 0, 0, 0, 0_u64);
    while site.now < DAY {
        site.now += STEP;
        site.flows.advance(site.now, &mut site.out);
        site.carry_out();
        let now = site.now;
        if now >= next_event {
            // Every ten minutes or so something happens to a server.
            next_event = now + 300_000.0 + 600_000.0 * dice.rand_float();
            events += 1;
            let mut numbers: Vec<u16> =
                alive.iter().filter(|(_, dead)| dead.is_none()).map(|(n, _)| *n).collect();
            numbers.sort_unstable();
            let victim = numbers[dice.rand_range(0..numbers.len() as u64) as usize];
            match dice.rand_range(0..3) {
                // It falls silent, and is replaced a minute later.
                0 => drop(alive.insert(victim, Some(now))),
                // It drains and is replaced at once.
                1 => {
                    let drained = Entry { serving: false, ..entry(victim) };
                    let fresh = Entry { started: Some(now), ..entry(next_server) };
                    site.flows.news(now, News::Changed(vec![drained, fresh], vec![]), &mut site.out);
                    alive.insert(next_server, None);
                    next_server += 1;
                }
                // It is gone from the list, and another is there.
                _ => {
                    let fresh = Entry { started: Some(now), ..entry(next_server) };
                    alive.remove(&victim);
                    alive.insert(next_server, None);
                    next_server += 1;
                    let gone = vec![format!("s{victim}")];
                    site.flows.news(now, News::Changed(vec![fresh], gone), &mut site.out);
                }
            }
            site.carry_out();
        }
        // Who died a minute ago leaves the list; who drains leaves it a minute after.
        let mut leaving: Vec<u16> = alive
            .iter()
            .filter(|(_, dead)| dead.is_some_and(|at| now - at > 60_000.0))
            .map(|(n, _)| *n)
            .collect();
        leaving.sort_unstable();
        for number in leaving {
            alive.remove(&number);
            alive.insert(next_server, None);
            let fresh = Entry { started: Some(now), ..entry(next_server) };
            next_server += 1;
            let gone = vec![format!("s{number}")];
            site.flows.news(now, News::Changed(vec![fresh], gone), &mut site.out);
            site.carry_out();
        }
        if now >= next_feed {
            // Depositions of 10 to 40 minutes; some 40 at a time.
            next_feed = now - 37_500.0 * (1.0 - dice.rand_float()).ln();
            next_client += 1;
            let from = client(next_client % 30_000);
            match site.send(from, b"subscribe") {
                Fate::ToServer(flow) => {
                    begun += 1;
                    let ends = now + 600_000.0 + 1_800_000.0 * dice.rand_float();
                    feeds.push(Feed { flow, from, ends, served: now });
                }
                _ => refused += 1,
            }
        }
        let step = (now / STEP) as usize;
        feeds.retain_mut(|feed| {
            if now >= feed.ends {
                ended += 1;
                return false;
            }
            // Viewers are heard each second, servers five times.
            if (step + feed.flow.slot as usize).is_multiple_of(5) {
                match site.send(feed.from, b"still here") {
                    Fate::ToServer(flow) => feed.flow = flow,
                    Fate::ToClient(_) => panic!("back to its client"),
                    Fate::Dropped(_) => {}
                }
            }
            let Some(to) = site.sockets.get(&feed.flow).copied() else { return true };
            if alive.get(&(to.port() - 9_000)) == Some(&None) {
                site.answer(feed.flow, 20);
                if now - feed.served > STEP {
                    still.push(now - feed.served);
                }
                feed.served = now;
            }
            true
        });
        if step.is_multiple_of(3_000) {
            site.check();
        }
    }
    site.check();
    let worst = still.iter().copied().fold(0.0, f64::max);
    let counts = site.flows.counts();
    println!(
        "{begun} feeds, {ended} ended, {refused} refused, {events} events, worst pause {worst} ms, {:?} lost, {} flows",
        counts.lost,
        site.flows.sizes()[0]
    );
    assert!(begun > 1_500 && events > 80, "{begun} feeds, {events} events");
    // A viewer is heard once a second: a move takes its spread and that long, and a silent server what tells it.
    assert!(worst <= 3_200.0, "a feed stood still for {worst} ms");
    assert!(f64::from(refused) <= 0.01 * f64::from(begun), "{refused} of {begun}");
    assert_eq!(counts.ended[End::Pushed as usize], 0);
    // What the core counts as flows is what there is, and what ended a while ago.
    assert!(
        site.flows.sizes()[0] <= feeds.len() + 10,
        "{} flows for {} feeds",
        site.flows.sizes()[0],
        feeds.len()
    );
    // Silent servers are noticed, and feeds that end are no deaths.
    assert!((10..=events).contains(&counts.lost[1]), "{} servers fell silent", counts.lost[1]);
}
