//! Any order of datagrams, news, failures and time: bounds hold, every datagram has one fate, and no flow that lives is
//! pushed out by one that does not.

mod common;

use std::collections::HashSet;

use common::{Site, client, entry};
use proptest::prelude::*;
use sagemast_flows::api::*;
use sagemast_flows::rules::{IdAt, Rules};
use sagemast_flows::snapshot::Snapshot;

#[derive(Debug, Clone)]
enum Step {
    Client { number: u32, id: u8, length: usize },
    Server { pick: usize, bytes: usize },
    Late { slot: u32, generation: u32 },
    Refused { pick: usize },
    NoSocket { pick: usize },
    Pass { ms: f64 },
    Jump { ms: f64 },
    List { mask: u8, cold: bool },
    Drain { number: u16 },
    Gone { number: u16 },
    Move { pick: usize, to: Option<u16> },
    MoveAll { number: u16 },
    End { pick: usize },
    Rules { tentative: usize },
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0..4_000_u32, 0..4_u8, 0..40_usize)
            .prop_map(|(number, id, length)| Step::Client { number, id, length }),
        8 => (any::<usize>(), 0..2_000_usize).prop_map(|(pick, bytes)| Step::Server { pick, bytes }),
        1 => (0..100_u32, 0..3_u32).prop_map(|(slot, generation)| Step::Late { slot, generation }),
        2 => any::<usize>().prop_map(|pick| Step::Refused { pick }),
        1 => any::<usize>().prop_map(|pick| Step::NoSocket { pick }),
        4 => (0.0..400.0_f64).prop_map(|ms| Step::Pass { ms }),
        1 => (0.0..20_000.0_f64).prop_map(|ms| Step::Jump { ms }),
        1 => (any::<u8>(), any::<bool>()).prop_map(|(mask, cold)| Step::List { mask, cold }),
        1 => (0..8_u16).prop_map(|number| Step::Drain { number }),
        1 => (0..8_u16).prop_map(|number| Step::Gone { number }),
        1 => (any::<usize>(), proptest::option::of(0..8_u16)).prop_map(|(pick, to)| Step::Move { pick, to }),
        1 => (0..8_u16).prop_map(|number| Step::MoveAll { number }),
        1 => any::<usize>().prop_map(|pick| Step::End { pick }),
        1 => (1..40_usize).prop_map(|tentative| Step::Rules { tentative }),
        1 => Just(Step::Restart),
    ]
}

fn pick(site: &Site, pick: usize) -> Option<FlowId> {
    let views = site.flows.flow_views(usize::MAX);
    (!views.is_empty()).then(|| views[pick % views.len()].id)
}

fn rules(ids: bool, hello: bool, one_way: bool) -> Rules {
    Rules {
        flows: 60,
        tentative: 20,
        sources: 5,
        new_per_s: 20.0,
        new_burst: 8.0,
        flows_per_weight: 30.0,
        idle: 4_000.0,
        client_idle: 9_000.0,
        unanswered: 900.0,
        drain_grace: 500.0,
        one_way,
        id: ids.then_some(IdAt { offset: 0, length: 1 }),
        hello: hello.then(|| b"SGM".to_vec()),
        ..Rules::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn whatever_happens_the_books_balance(
        steps in proptest::collection::vec(step(), 1..250),
        ids in any::<bool>(),
        hello in any::<bool>(),
        one_way in any::<bool>(),
    ) {
        let mut site = Site::new(rules(ids, hello, one_way), 3);
        for step in steps {
            let lived: HashSet<FlowId> =
                site.flows.flow_views(usize::MAX).iter().filter(|flow| flow.live).map(|flow| flow.id).collect();
            let closed = site.closed.len();
            let gone_before: Vec<String> = site
                .flows
                .server_views()
                .into_iter()
                .filter(|server| server.state != "serving")
                .map(|server| server.name)
                .collect();
            let opened = site.opened.len();
            match step {
                Step::Client { number, id, length } => {
                    let mut payload = vec![0; length];
                    payload.iter_mut().take(1).for_each(|byte| *byte = id);
                    let fate = site.send(client(number), &payload);
                    // The kernel takes some of them not.
                    if matches!(fate, Fate::ToServer(_)) && length % 7 == 0 {
                        site.flows.unsent(0, length, Drop::Buffer);
                    }
                }
                Step::Server { pick: at, bytes } => {
                    if let Some(flow) = pick(&site, at) {
                        let fate = site.answer(flow, bytes);
                        if matches!(fate, Fate::ToClient(_)) && bytes % 7 == 0 {
                            site.flows.unsent(1, bytes, Drop::Send);
                        }
                    }
                }
                Step::Late { slot, generation } => {
                    site.answer(FlowId { slot, generation }, 10);
                }
                Step::Refused { pick: at } => {
                    if let Some(flow) = pick(&site, at) {
                        site.flows.refused(site.now, flow, &mut site.out);
                    }
                }
                Step::NoSocket { pick: at } => {
                    if let Some(flow) = pick(&site, at) {
                        site.flows.no_socket(site.now, flow, &mut site.out);
                    }
                }
                Step::Pass { ms } => site.pass(site.now + ms),
                Step::Jump { ms } => {
                    site.now += ms;
                    site.flows.advance(site.now, &mut site.out);
                }
                Step::List { mask, cold } => {
                    let started = cold.then_some(site.now);
                    let all = (0..8).filter(|n| mask >> n & 1 == 1).map(|n| Entry { started, ..entry(n) });
                    site.flows.news(site.now, News::Complete(all.collect()), &mut site.out);
                }
                Step::Drain { number } => {
                    let drained = Entry { serving: false, ..entry(number) };
                    site.flows.news(site.now, News::Changed(vec![drained], vec![]), &mut site.out);
                }
                Step::Gone { number } => {
                    let gone = vec![format!("s{number}")];
                    site.flows.news(site.now, News::Changed(vec![], gone), &mut site.out);
                }
                Step::Move { pick: at, to } => {
                    if let Some(flow) = pick(&site, at) {
                        let to = to.map(|number| format!("s{number}"));
                        let _ = site.flows.move_flow(site.now, flow, to.as_deref(), &mut site.out);
                    }
                }
                Step::MoveAll { number } => {
                    site.flows.move_server(site.now, &format!("s{number}"));
                }
                Step::End { pick: at } => {
                    if let Some(flow) = pick(&site, at) {
                        site.flows.end_flow(site.now, flow, &mut site.out);
                    }
                }
                Step::Rules { tentative } => {
                    // Never fewer than there are: flows beyond a new limit stay until they end.
                    let tentative = tentative.max(site.flows.sizes()[1]);
                    let rules = Rules { tentative, ..site.flows.rules().clone() };
                    site.flows.set_rules(site.now, rules);
                }
                Step::Restart => {
                    let bytes = site.flows.keep(1, |_| Some(1)).encode();
                    let kept = Snapshot::decode(&bytes, 1, 1.0).expect("it is sound").kept;
                    let wanted = kept.flows.len();
                    let rules = site.flows.rules().clone();
                    let now = site.now;
                    site = Site::new(rules, 0);
                    site.now = now;
                    let restored = site.flows.restore(now, kept, &mut site.out);
                    prop_assert!(restored.iter().flatten().count() <= wanted);
                }
            }
            site.carry_out();
            site.check();
            for (flow, end) in &site.closed[closed.min(site.closed.len())..] {
                prop_assert!(!(lived.contains(flow) && matches!(end, End::Pushed | End::Unanswered)));
            }
            // Nothing new goes to who does not serve: but a lost one may be tried, and may have come back.
            for (_, to, cause) in &site.opened[opened.min(site.opened.len())..] {
                let name = format!("s{}", to.port() - 9_000);
                let views = site.flows.server_views();
                let now = views.iter().find(|server| server.name == name).map(|server| server.state);
                let was = gone_before.contains(&name);
                prop_assert!(
                    *cause == Cause::Restored || !was || matches!(now, Some("serving" | "lost")),
                    "a flow went to {name}, which is {now:?}"
                );
            }
        }
        // In the end everything that is idle leaves, and nothing is left behind.
        site.now += 1.0;
        site.pass(site.now + 30_000.0);
        site.check();
        prop_assert_eq!(site.flows.sizes(), [0, 0]);
    }
}
