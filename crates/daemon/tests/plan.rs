//! The fleet plan against a world that does what it is told, fails, dawdles and dies at random: whatever the order
//! of events, nothing is started twice, numbers are told in time, budgets hold, and once the world does as it is told
//! the fleet is as wanted or the failure is told.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sagemast_daemon::ledger::Demand;
use sagemast_daemon::plan::*;

#[derive(Debug, Clone, Copy, PartialEq)]
struct Settings {
    port: u16,
    group: u8,
    /// Takes a successor.
    classes: u8,
    /// Taken in place.
    limit: u8,
}

impl Spec for Settings {
    type Group = u8;
    type Place = u16;

    fn place(&self) -> u16 {
        self.port
    }

    fn group(&self) -> u8 {
        self.group
    }

    fn elsewhere(&self) -> u32 {
        3
    }

    fn demand(&self) -> Demand {
        Demand { memory_mb: 1 + u64::from(self.limit), descriptors: 10 }
    }

    fn change_to(&self, next: &Settings) -> Change {
        match self {
            _ if self == next => Change::None,
            _ if self.port != next.port || self.classes != next.classes => Change::Successor,
            _ => Change::InPlace,
        }
    }
}

const BUDGET: Demand = Demand { memory_mb: 14, descriptors: 60 };

fn rules() -> Rules {
    Rules { parallel: 3, give_up_after: 4, ..Rules::default() }
}

#[derive(Debug, Clone)]
struct Life {
    name: Name,
    spec: Settings,
    started: bool,
    standby: bool,
    draining: bool,
    /// It closes its listener when it has drained.
    closes: bool,
    told: u32,
    adjusting: Option<Settings>,
}

/// A shell that checks what it is told.
struct World {
    plan: Plan<Settings>,
    now: Millis,
    lives: BTreeMap<Generation, Life>,
    ever: BTreeSet<Generation>,
    standing_in: BTreeSet<Name>,
    told: usize,
}

impl World {
    fn new() -> World {
        World {
            plan: Plan::new(rules(), BUDGET, 0),
            now: 0,
            lives: BTreeMap::new(),
            ever: BTreeSet::new(),
            standing_in: BTreeSet::new(),
            told: 0,
        }
    }

    fn handle(&mut self, event: Event<Settings>) -> Vec<Step<Settings>> {
        let mut steps = Vec::new();
        self.plan.handle(self.now, event, &mut steps);
        for step in &steps {
            self.carry_out(step);
        }
        for life in self.lives.values().filter(|life| life.closes) {
            let heir = self.lives.values().find(|l| !l.draining && l.spec.place() == life.spec.place());
            assert!(heir.is_none(), "{} closes a listener that another serves", life.name);
        }
        assert!(self.plan.taken().memory_mb <= BUDGET.memory_mb, "over budget");
        assert!(self.plan.taken().descriptors <= BUDGET.descriptors, "over budget");
        steps
    }

    fn carry_out(&mut self, step: &Step<Settings>) {
        match step.clone() {
            Step::Start { name, generation, spec, standby, sidecars, after } => {
                assert!(self.ever.insert(generation), "a generation is started twice");
                let others: Vec<_> = self.lives.values().filter(|l| l.name == name && !l.draining).collect();
                assert!(others.len() <= 1, "{name}: {} live beside a new one", others.len());
                assert_eq!(standby, !others.is_empty(), "only beside another does one wait");
                assert_eq!(after.is_some(), !others.is_empty());
                let life = Life {
                    name,
                    spec,
                    started: false,
                    standby,
                    draining: false,
                    closes: false,
                    told: sidecars,
                    adjusting: None,
                };
                self.lives.insert(generation, life);
                let launching = self.lives.values().filter(|l| !l.started && !l.draining).count();
                assert!(launching <= rules().parallel, "{launching} starts under way");
                self.check_told();
            }
            Step::Sidecars(generation, count) => self.life(generation).told = count,
            Step::Open(generation) => {
                let life = self.life(generation);
                assert!(life.standby && life.started && !life.draining);
                life.standby = false;
            }
            Step::Adjust(generation, spec) => {
                let life = self.life(generation);
                assert!(life.adjusting.is_none() && !life.draining);
                assert_eq!(life.spec.change_to(&spec), Change::InPlace);
                life.adjusting = Some(spec);
            }
            Step::Drain(generation, how) => {
                let place = self.life(generation).spec.place();
                let life = self.life(generation);
                (life.draining, life.closes) = (true, how == Leave::Close);
                if how == Leave::HandOver {
                    let shared = self.lives.values().any(|l| !l.draining && l.spec.place() == place);
                    assert!(shared, "left to nobody");
                }
            }
            Step::Abandon(generation) => {
                assert!(self.lives.remove(&generation).is_some());
            }
            Step::StandIn(name, _) => assert!(self.standing_in.insert(name), "stood in for twice"),
            Step::StandDown(name) => assert!(self.standing_in.remove(&name), "nobody stood in"),
            Step::Tell(..) => self.told += 1,
        }
    }

    fn life(&mut self, generation: Generation) -> &mut Life {
        self.lives.get_mut(&generation).expect("a step for one that is not alive")
    }

    /// No sidecar believes that there are fewer than there are.
    fn check_told(&self) {
        for life in self.lives.values() {
            let alive =
                self.lives.values().filter(|other| other.spec.group == life.spec.group).count() as u32;
            assert!(life.told >= 3 + alive, "{}: told {} of {}", life.name, life.told, 3 + alive);
        }
    }

    /// Lets one of the things happen that may happen now.
    fn happen(&mut self, choice: usize, well: bool) -> bool {
        let mut may: Vec<Event<Settings>> = Vec::new();
        for (generation, life) in &self.lives {
            let generation = *generation;
            if life.draining {
                may.push(Event::Ended(generation, if well { End::Drained } else { End::Overdue }));
            } else if !life.started {
                may.push(match well {
                    true => Event::Started(generation),
                    false => Event::StartFailed(generation, "no".to_owned()),
                });
            } else if life.adjusting.is_some() {
                may.push(Event::Adjusted(generation, if well { Ok(()) } else { Err("no".to_owned()) }));
            } else if !well {
                may.push(Event::Ended(generation, End::Failed("panic".to_owned())));
            } else {
                may.push(Event::Ready(generation));
            }
        }
        if may.is_empty() {
            return false;
        }
        let event = may.swap_remove(choice % may.len());
        match &event {
            Event::Started(generation) => self.life(*generation).started = true,
            Event::Ended(generation, _) | Event::StartFailed(generation, _) => {
                self.lives.remove(generation);
            }
            Event::Adjusted(generation, result) => {
                let life = self.life(*generation);
                let next = life.adjusting.take();
                if let (Ok(()), Some(next)) = (result, next) {
                    life.spec = next;
                }
            }
            _ => {}
        }
        self.handle(event);
        true
    }

    /// The world does as it is told until nothing is left to do.
    fn settle(&mut self) {
        for _ in 0..50 {
            for generation in self.lives.keys().copied().collect::<Vec<_>>() {
                let Some(life) = self.lives.get(&generation).cloned() else { continue };
                if life.draining {
                    self.lives.remove(&generation);
                    self.handle(Event::Ended(generation, End::Drained));
                    continue;
                }
                if !life.started {
                    self.life(generation).started = true;
                    self.handle(Event::Started(generation));
                }
                if let Some(spec) = life.adjusting {
                    (self.life(generation).adjusting, self.life(generation).spec) = (None, spec);
                    self.handle(Event::Adjusted(generation, Ok(())));
                }
                if self.lives.contains_key(&generation) {
                    self.handle(Event::Ready(generation));
                }
            }
            if let Some(at) = self.plan.next_wake() {
                self.now = self.now.max(at);
                self.handle(Event::Woke);
            }
        }
        self.check_told();
        for life in self.lives.values() {
            let alive =
                self.lives.values().filter(|other| other.spec.group == life.spec.group).count() as u32;
            assert_eq!(life.told, 3 + alive, "{}: in the end nobody believes that there are more", life.name);
        }
    }
}

fn name(number: u8) -> Name {
    Name::from(format!("i{number}"))
}

#[derive(Debug, Clone)]
enum Deed {
    Apply(BTreeMap<u8, (u8, u8, u8, u8)>),
    Ask(u8, u8),
    Happen(usize, bool),
    Wait(Millis),
}

fn deeds() -> impl Strategy<Value = Vec<Deed>> {
    let fleet = proptest::collection::btree_map(0..6_u8, (0..8_u8, 0..2_u8, 0..2_u8, 0..6_u8), 0..6);
    let deed = prop_oneof![
        2 => fleet.prop_map(Deed::Apply),
        2 => (0..3_u8, 0..6_u8).prop_map(|(what, who)| Deed::Ask(what, who)),
        8 => (any::<usize>(), prop::bool::weighted(0.75)).prop_map(|(choice, well)| Deed::Happen(choice, well)),
        2 => prop_oneof![Just(1), Just(150), Just(6_000), Just(40_000)].prop_map(Deed::Wait),
    ];
    proptest::collection::vec(deed, 1..80)
}

/// The settings of a fleet; ports may be swapped between instances, as files may have it.
fn fleet(of: &BTreeMap<u8, (u8, u8, u8, u8)>) -> BTreeMap<Name, Settings> {
    let settings = |(port, group, classes, limit): &(u8, u8, u8, u8)| Settings {
        port: 7_000 + u16::from(*port),
        group: *group,
        classes: *classes,
        limit: *limit,
    };
    of.iter().map(|(number, spec)| (name(*number), settings(spec))).collect()
}

#[test]
fn any_order_of_events_ends_as_wanted_or_in_a_told_failure() {
    let config = Config { cases: 1_500, failure_persistence: None, ..Config::default() };
    // The same cases each time: a verdict that changes by itself is none.
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let result = runner.run(&deeds(), |deeds| {
        let mut world = World::new();
        let (mut wanted, mut held) = (BTreeMap::new(), BTreeSet::new());
        for deed in deeds {
            match deed {
                Deed::Apply(next) => {
                    wanted = fleet(&next);
                    world.handle(Event::Apply(wanted.clone()));
                    held.retain(|name| wanted.contains_key(name));
                }
                Deed::Ask(what, who) => {
                    let who = name(who);
                    let known = wanted.contains_key(&who);
                    match what {
                        0 => {
                            held.remove(&who);
                            world.handle(Event::Start(who));
                        }
                        1 => {
                            if known {
                                held.insert(who.clone());
                            }
                            world.handle(Event::Stop(who));
                        }
                        _ => {
                            held.remove(&who);
                            world.handle(Event::Restart(who));
                        }
                    }
                }
                Deed::Happen(choice, well) => {
                    world.happen(choice, well);
                }
                Deed::Wait(span) => {
                    world.now += span;
                    world.handle(Event::Woke);
                }
            }
        }
        world.settle();
        for (who, spec) in &wanted {
            let view = world.plan.view(who).expect("it is wanted");
            if held.contains(who) || view.held {
                prop_assert_eq!(view.state, State::Ended);
                continue;
            }
            let as_wanted = view.state == State::Ready && view.spec == Some(*spec);
            prop_assert!(as_wanted || view.note.is_some(), "{}: neither as wanted nor told: {:?}", who, view);
            let settled = matches!(view.state, State::Ready | State::Failed | State::Waiting);
            prop_assert!(settled, "{}: still {:?}", who, view);
        }
        for life in world.lives.values() {
            prop_assert!(wanted.contains_key(&life.name), "{} runs and is not wanted", life.name);
            prop_assert!(!life.standby && !life.draining, "{} is on its way for ever", life.name);
        }
        // What the others do not want is free again: a fleet of one always fits.
        let alone = BTreeMap::from([(name(9), Settings { port: 1, group: 0, classes: 0, limit: 5 })]);
        world.handle(Event::Apply(alone));
        world.settle();
        prop_assert_eq!(world.plan.view("i9").map(|view| view.state), Some(State::Ready));
        prop_assert_eq!(world.lives.len(), 1);
        world.handle(Event::DrainAll);
        world.settle();
        prop_assert!(world.plan.is_over());
        prop_assert_eq!(world.plan.taken(), Demand::default());
        prop_assert!(world.standing_in.is_empty());
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

const PLAIN: Settings = Settings { port: 7_000, group: 0, classes: 0, limit: 0 };

/// A world in which these run.
fn running(of: &[(u8, Settings)]) -> World {
    let mut world = World::new();
    world.handle(Event::Apply(of.iter().map(|(number, spec)| (name(*number), *spec)).collect()));
    world.settle();
    assert!(world.plan.is_settled());
    world
}

fn one(spec: Settings) -> BTreeMap<Name, Settings> {
    BTreeMap::from([(name(1), spec)])
}

#[test]
fn only_what_changed_is_touched() {
    let other = Settings { port: 7_001, ..PLAIN };
    let mut world = running(&[(1, PLAIN), (2, other)]);
    let steps = world
        .handle(Event::Apply(BTreeMap::from([(name(1), PLAIN), (name(2), Settings { limit: 1, ..other })])));
    assert!(matches!(steps[..], [Step::Adjust(..)]), "{steps:?}");
    let steps = world
        .handle(Event::Apply(BTreeMap::from([(name(1), PLAIN), (name(2), Settings { limit: 1, ..other })])));
    assert_eq!(steps, []);
}

#[test]
fn a_successor_takes_over_when_it_is_ready_and_not_before() {
    let mut world = running(&[(1, PLAIN)]);
    let old = world.plan.view("i1").unwrap().generation.unwrap();
    let steps = world.handle(Event::Apply(one(Settings { classes: 1, ..PLAIN })));
    let new = steps.iter().find_map(|step| match step {
        Step::Start { generation, .. } => Some(*generation),
        _ => None,
    });
    let new = new.expect("a successor is started");
    world.life(new).started = true;
    assert_eq!(world.handle(Event::Started(new)), []);
    assert_eq!(world.plan.view("i1").unwrap().state, State::Changing);
    let steps = world.handle(Event::Ready(new));
    assert_eq!(steps, [Step::Open(new), Step::Drain(old, Leave::HandOver)]);
}

#[test]
fn a_successor_that_does_not_get_ready_leaves_everything_as_it_was() {
    let mut world = running(&[(1, PLAIN)]);
    let old = world.plan.view("i1").unwrap().generation;
    world.handle(Event::Apply(one(Settings { port: 7_009, ..PLAIN })));
    let new = world.plan.view("i1").unwrap().successor.unwrap();
    world.life(new).started = true;
    world.handle(Event::Started(new));
    world.now += rules().ready_within;
    let steps = world.handle(Event::Woke);
    assert!(steps.contains(&Step::Abandon(new)), "{steps:?}");
    let view = world.plan.view("i1").unwrap();
    assert_eq!((view.generation, view.state, view.spec), (old, State::Ready, Some(PLAIN)));
    assert!(view.note.unwrap().contains("the old settings stay in force"));
    world.now += 100_000;
    world.handle(Event::Woke);
    assert_eq!(world.plan.view("i1").unwrap().successor, None, "not tried again until asked");
    world.handle(Event::Apply(one(Settings { port: 7_009, ..PLAIN })));
    assert!(world.plan.view("i1").unwrap().successor.is_some(), "asked again, tried again");
}

#[test]
fn restarts_wait_longer_each_time_up_to_a_ceiling_and_then_it_is_left_alone() {
    let mut world = running(&[(1, PLAIN)]);
    let mut waits = Vec::new();
    for _ in 0..4 {
        let generation = world.plan.view("i1").unwrap().generation.unwrap();
        world.lives.remove(&generation);
        world.handle(Event::Ended(generation, End::Failed("panic".to_owned())));
        let Some(at) = world.plan.view("i1").unwrap().retry_at else { break };
        assert_eq!(world.plan.view("i1").unwrap().state, State::Waiting);
        assert!(world.standing_in.contains(&name(1)), "its clients are told meanwhile");
        waits.push(at - world.now);
        world.now = at;
        world.handle(Event::Woke);
        let next = world.plan.view("i1").unwrap().generation.unwrap();
        world.life(next).started = true;
        world.handle(Event::Ready(next));
        assert!(!world.standing_in.contains(&name(1)));
    }
    assert_eq!(waits, [100, 200, 400]);
    assert_eq!(world.plan.view("i1").unwrap().state, State::Failed);
    world.handle(Event::Start(name(1)));
    assert_eq!(world.plan.view("i1").unwrap().state, State::Starting, "told to, it starts");
}

#[test]
fn addresses_may_be_swapped() {
    let other = Settings { port: 7_001, ..PLAIN };
    let mut world = running(&[(1, PLAIN), (2, other)]);
    world.handle(Event::Apply(BTreeMap::from([(name(1), other), (name(2), PLAIN)])));
    world.settle();
    assert!(world.plan.is_settled());
    assert_eq!(world.plan.view("i1").unwrap().spec, Some(other));
}

#[test]
fn one_that_is_started_while_it_drains_takes_the_listener_over() {
    let mut world = running(&[(1, PLAIN)]);
    let old = world.plan.view("i1").unwrap().generation.unwrap();
    assert_eq!(world.handle(Event::Stop(name(1))), [Step::Drain(old, Leave::Close)]);
    let steps = world.handle(Event::Start(name(1)));
    // For a while there are two, and the old one hears of it first.
    let [Step::Sidecars(told, 5), Step::Start { standby: false, .. }, Step::Drain(left, Leave::HandOver)] =
        steps[..]
    else {
        panic!("{steps:?}")
    };
    assert_eq!((told, left), (old, old));
}

#[test]
fn the_last_of_two_who_ask_at_once_is_heeded_and_nothing_runs_twice() {
    for stop_last in [true, false] {
        let mut world = running(&[(1, PLAIN)]);
        for _ in 0..20 {
            let asked = [Event::Start(name(1)), Event::Stop(name(1))];
            let [first, last] = if stop_last {
                asked
            } else {
                let [a, b] = asked;
                [b, a]
            };
            world.handle(first);
            world.handle(last);
        }
        world.settle();
        let state = world.plan.view("i1").unwrap().state;
        assert_eq!(state, if stop_last { State::Ended } else { State::Ready });
        assert_eq!(world.lives.len(), usize::from(!stop_last));
    }
}

#[test]
fn fifty_that_start_together_are_each_told_of_all_and_of_those_in_another_process() {
    let mut plan = Plan::new(Rules::default(), Demand { memory_mb: 1_000, descriptors: 1_000 }, 0);
    plan.hold_back();
    let fleet = (0..50).map(|n| (name(n), Settings { port: 7_000 + u16::from(n), ..PLAIN })).collect();
    let mut steps = Vec::new();
    plan.handle(0, Event::Others(50), &mut steps);
    plan.handle(0, Event::Apply(fleet), &mut steps);
    let told = |step: &Step<Settings>| match step {
        Step::Start { sidecars, standby, .. } => Some((*sidecars, *standby)),
        _ => None,
    };
    assert_eq!(steps.iter().filter_map(told).collect::<Vec<_>>(), vec![(3 + 50 + 50, true); 50]);
    steps.clear();
    for generation in 1..=50 {
        plan.handle(1, Event::Ready(Generation(generation)), &mut steps);
    }
    assert!(!steps.iter().any(|step| matches!(step, Step::Open(_))), "not before it is said");
    plan.handle(2, Event::OpenUp, &mut steps);
    assert_eq!(steps.iter().filter(|step| matches!(step, Step::Open(_))).count(), 50);
    steps.clear();
    plan.handle(3, Event::Others(0), &mut steps);
    assert_eq!(steps.iter().filter(|step| matches!(step, Step::Sidecars(_, 53))).count(), 50);
}
