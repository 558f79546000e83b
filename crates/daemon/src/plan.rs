//! The fleet plan: what is wanted of each instance, what is known of it, and the next steps from the one to the
//! other. Events in, steps out; no clock, no I/O. The shell carries steps out in order and tells what came of them.
//!
//! An instance is a name. What runs under it are generations, each with settings that never change but in place: at
//! most one serves, at most one is getting ready to take its place, and any number up to a bound is on its way out.
//! The plan is level-triggered: after each event it compares what is wanted with what is there, so that events may
//! come in any order and be lost but for the end of a generation.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::ledger::{Demand, Ledger};

/// Milliseconds on the shell's clock, which only moves forward.
pub type Millis = u64;

/// The name of an instance.
pub type Name = Arc<str>;

/// One life of an instance; never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

/// So many generations of one instance may be on their way out; a further change waits until one has ended.
const MAX_DRAINING: usize = 4;

/// How settings are changed to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// They are the same.
    None,
    /// The running generation takes them.
    InPlace,
    /// A successor starts with them, takes over, and the running generation drains.
    Successor,
}

/// What the plan needs to know of the settings of an instance.
pub trait Spec: Clone + PartialEq {
    /// Those that share upstreams.
    type Group: Clone + Ord;
    /// Where clients connect: two generations at the same place listen on the same socket.
    type Place: PartialEq;

    /// Where clients connect.
    fn place(&self) -> Self::Place;
    /// Whose upstreams it shares.
    fn group(&self) -> Self::Group;
    /// How many sidecars outside this daemon use the same upstreams.
    fn elsewhere(&self) -> u32;
    /// What it takes of the process's budgets.
    fn demand(&self) -> Demand;
    /// How these are changed to others.
    fn change_to(&self, next: &Self) -> Change;
}

/// The times and numbers that the plan keeps to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rules {
    /// A start that has not come about by then has failed.
    pub start_within: Millis,
    /// A successor that is not ready by then is given up.
    pub ready_within: Millis,
    /// The wait before a first restart; it doubles with each failure in a row.
    pub first_wait: Millis,
    /// The longest wait.
    pub most_wait: Millis,
    /// One that was ready for this long has a failure that is the first in its row.
    pub stable: Millis,
    /// After so many failures in a row it is left alone until told; 0 is never.
    pub give_up_after: u32,
    /// So many starts may be under way at once.
    pub parallel: usize,
    /// A smaller number of sidecars is told after this long: the allowance of cold servers is in no hurry.
    pub lower_after: Millis,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            start_within: 5_000,
            ready_within: 10_000,
            first_wait: 100,
            most_wait: 30_000,
            stable: 10_000,
            give_up_after: 0,
            parallel: 64,
            lower_after: 1_000,
        }
    }
}

/// How a generation leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leave {
    /// Its listener is closed: nobody else listens there.
    Close,
    /// Another generation listens on the same socket.
    HandOver,
}

/// Why a generation has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// It was told to, and everything was answered.
    Drained,
    /// It was told to, and its time was up.
    Overdue,
    /// By itself.
    Failed(String),
}

/// Something that happened, or was asked for.
#[derive(Debug, Clone)]
pub enum Event<S> {
    /// These instances are wanted from now on, and no others.
    Apply(BTreeMap<Name, S>),
    /// The operator wants it to run.
    Start(Name),
    /// The operator wants it not to run, until told otherwise.
    Stop(Name),
    /// The operator wants a new generation of it in the place of the present one.
    Restart(Name),
    /// Everything is to end.
    DrainAll,
    /// Whoever was held back may accept clients from now on.
    OpenUp,
    /// So many sidecars more use the same upstreams for a while: those of the process that hands over to this one,
    /// or that this one hands over to.
    Others(u32),
    /// A generation listens and runs.
    Started(Generation),
    /// It has a list of upstreams.
    Ready(Generation),
    /// It could not be started.
    StartFailed(Generation, String),
    /// It has taken settings in place, or has not.
    Adjusted(Generation, Result<(), String>),
    /// It has ended.
    Ended(Generation, End),
    /// Time has passed.
    Woke,
}

/// Something for the shell to do, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Step<S> {
    /// Tell a running generation how many sidecars there are.
    Sidecars(Generation, u32),
    /// Start a generation. Answered by [`Event::Started`] or [`Event::StartFailed`].
    Start {
        /// Of which instance.
        name: Name,
        /// Its number.
        generation: Generation,
        /// Its settings.
        spec: S,
        /// Whether it waits for [`Step::Open`] before it accepts clients.
        standby: bool,
        /// How many sidecars it is told that there are.
        sidecars: u32,
        /// Whose list of upstreams it may start from.
        after: Option<Generation>,
    },
    /// Let it accept clients.
    Open(Generation),
    /// Have it take these settings in place. Answered by [`Event::Adjusted`].
    Adjust(Generation, S),
    /// Have it drain. May come a second time, to turn [`Leave::Close`] into [`Leave::HandOver`]. Answered by
    /// [`Event::Ended`].
    Drain(Generation, Leave),
    /// End it at once. It is gone as far as the plan is concerned.
    Abandon(Generation),
    /// Answer its clients, with refusals, until its next generation starts.
    StandIn(Name, S),
    /// No more of that.
    StandDown(Name),
    /// Tell the operators.
    Tell(Name, String),
}

/// How far an instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It has its first generation, which has no list of upstreams yet, or waits for its turn to start.
    Starting,
    /// It serves.
    Ready,
    /// It serves, and other settings are on their way in.
    Changing,
    /// It takes nothing new and finishes what it has.
    Draining,
    /// It does not run and is not wanted.
    Ended,
    /// It does not run, is wanted, and is started again after a while.
    Waiting,
    /// It does not run, is wanted, and is left alone until told.
    Failed,
}

/// One instance as it is shown.
#[derive(Debug, Clone)]
pub struct View<S> {
    /// Its name.
    pub name: Name,
    /// How far it is.
    pub state: State,
    /// The generation that serves or is to.
    pub generation: Option<Generation>,
    /// The one that is to take its place.
    pub successor: Option<Generation>,
    /// Those on their way out.
    pub draining: Vec<Generation>,
    /// The settings that are in force, or that it would start with.
    pub spec: Option<S>,
    /// Whether the operator has stopped it.
    pub held: bool,
    /// Failures in a row.
    pub failures: u32,
    /// When it is started again.
    pub retry_at: Option<Millis>,
    /// What went wrong last.
    pub note: Option<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Asked to start.
    Launching,
    /// Runs without a list of upstreams.
    Up,
    /// Serves, or could, since then.
    Ready(Millis),
}

#[derive(Debug, Clone)]
struct Run<S> {
    generation: Generation,
    spec: S,
    phase: Phase,
    since: Millis,
    /// It waits for leave to accept clients.
    standby: bool,
    /// Settings that it was told to take in place.
    adjusting: Option<S>,
}

#[derive(Debug, Clone)]
struct Leaving<S> {
    generation: Generation,
    spec: S,
    how: Leave,
}

#[derive(Debug, Clone)]
struct Slot<S> {
    desired: Option<S>,
    held: bool,
    fresh: bool,
    running: Option<Run<S>>,
    successor: Option<Run<S>>,
    draining: Vec<Leaving<S>>,
    /// Settings that could not be brought into force: not tried again until something is asked.
    rejected: Option<S>,
    failures: u32,
    retry_at: Option<Millis>,
    gave_up: bool,
    standing_in: bool,
    note: Option<String>,
}

impl<S> Slot<S> {
    fn new() -> Slot<S> {
        Slot {
            desired: None,
            held: false,
            fresh: false,
            running: None,
            successor: None,
            draining: Vec::new(),
            rejected: None,
            failures: 0,
            retry_at: None,
            gave_up: false,
            standing_in: false,
            note: None,
        }
    }

    /// Forgets past failures: somebody has asked anew.
    fn pardon(&mut self) {
        (self.rejected, self.retry_at, self.failures, self.gave_up) = (None, None, 0, false);
    }

    fn runs(&self) -> impl Iterator<Item = &Run<S>> {
        self.running.iter().chain(&self.successor)
    }
}

/// How many of those that share upstreams are alive, and what they were told.
#[derive(Debug, Clone, Default)]
struct Shared {
    alive: u32,
    told: u32,
    lower_at: Option<Millis>,
}

/// The plan.
#[derive(Debug)]
pub struct Plan<S: Spec> {
    rules: Rules,
    ledger: Ledger<Name>,
    slots: BTreeMap<Name, Slot<S>>,
    names: BTreeMap<Generation, Name>,
    groups: BTreeMap<S::Group, Shared>,
    /// Those that want to start and may not yet.
    queue: BTreeSet<Name>,
    /// Starts under way.
    launching: usize,
    last: u64,
    leaving: bool,
    /// Nobody accepts clients yet.
    shut: bool,
    /// Those that are not to run when they first appear.
    held_from_start: BTreeSet<Name>,
    /// Sidecars of another process that hands over to this one, or takes over from it.
    others: u32,
    now: Millis,
}

/// Steps of one event, in the three parts in which they are carried out: how many sidecars there are is told before
/// any starts.
struct Steps<S: Spec> {
    told: BTreeSet<Generation>,
    /// All members of these are told, too.
    retold: BTreeSet<S::Group>,
    steps: Vec<Step<S>>,
    starts: Vec<Step<S>>,
}

impl<S: Spec> Plan<S> {
    /// A plan for nothing yet. Generations are numbered from `first` on.
    pub fn new(rules: Rules, budget: Demand, first: u64) -> Plan<S> {
        Plan {
            rules,
            ledger: Ledger::new(budget),
            slots: BTreeMap::new(),
            names: BTreeMap::new(),
            groups: BTreeMap::new(),
            queue: BTreeSet::new(),
            launching: 0,
            last: first,
            leaving: false,
            shut: false,
            held_from_start: BTreeSet::new(),
            others: 0,
            now: 0,
        }
    }

    /// These are not to run when they first appear, until the operator starts them.
    pub fn hold_from_start(&mut self, names: impl IntoIterator<Item = Name>) {
        self.held_from_start.extend(names);
    }

    /// Starts everything without letting it accept clients, until [`Event::OpenUp`].
    pub fn hold_back(&mut self) {
        self.shut = true;
    }

    /// Takes in one event and appends the steps that answer it.
    pub fn handle(&mut self, now: Millis, event: Event<S>, out: &mut Vec<Step<S>>) {
        self.now = self.now.max(now);
        let mut steps =
            Steps { told: BTreeSet::new(), retold: BTreeSet::new(), steps: Vec::new(), starts: Vec::new() };
        let newest = Generation(self.last);
        match event {
            Event::Apply(wanted) => self.apply(wanted, &mut steps),
            Event::Start(name) => self.ask(&name, &mut steps, |slot| slot.held = false),
            Event::Stop(name) => self.ask(&name, &mut steps, |slot| (slot.held, slot.fresh) = (true, false)),
            Event::Restart(name) => self.ask(&name, &mut steps, |slot| {
                (slot.held, slot.fresh) = (false, slot.running.is_some());
            }),
            Event::DrainAll => {
                self.leaving = true;
                self.reconcile_all(&mut steps);
            }
            Event::OpenUp => {
                self.shut = false;
                let names: Vec<Name> = self.slots.keys().cloned().collect();
                names.iter().for_each(|name| self.open(name, &mut steps));
            }
            Event::Others(count) => {
                self.others = count;
                steps.told.extend(self.names.keys());
            }
            Event::Started(generation) => self.started(generation, &mut steps),
            Event::Ready(generation) => self.ready(generation, &mut steps),
            Event::StartFailed(generation, reason) => self.fell(generation, reason, &mut steps),
            Event::Adjusted(generation, result) => self.adjusted(generation, result, &mut steps),
            Event::Ended(generation, end) => self.ended(generation, end, &mut steps),
            Event::Woke => self.woke(&mut steps),
        }
        self.serve_queue(&mut steps);
        let raised: Vec<Generation> = steps.retold.iter().flat_map(|group| self.members(group)).collect();
        steps.told.extend(raised);
        // One that starts with this very event is told by its start.
        let told = steps.told.iter().filter(|generation| **generation <= newest).filter_map(|generation| {
            let spec = self.spec_of(*generation)?;
            Some(Step::Sidecars(*generation, self.sidecars(spec)))
        });
        out.extend(told);
        out.append(&mut steps.steps);
        for mut step in steps.starts {
            // Only now is it known how many have started together.
            if let Step::Start { spec, sidecars, .. } = &mut step {
                *sidecars = self.sidecars(spec);
            }
            out.push(step);
        }
    }

    /// When [`Event::Woke`] is due next.
    pub fn next_wake(&self) -> Option<Millis> {
        let slots = self.slots.values().flat_map(|slot| {
            let starts = slot.runs().filter(|run| run.phase == Phase::Launching);
            let starts = starts.map(|run| run.since + self.rules.start_within);
            let readies = slot.successor.iter().map(|run| run.since + self.rules.ready_within);
            slot.retry_at.into_iter().chain(starts).chain(readies)
        });
        slots.chain(self.groups.values().filter_map(|group| group.lower_at)).min()
    }

    /// All instances.
    pub fn views(&self) -> impl Iterator<Item = View<S>> {
        self.slots.iter().map(|(name, slot)| self.view_of(name, slot))
    }

    /// One of them.
    pub fn view(&self, name: &str) -> Option<View<S>> {
        self.slots.get_key_value(name).map(|(name, slot)| self.view_of(name, slot))
    }

    /// Names of those that the operator has stopped.
    pub fn held(&self) -> impl Iterator<Item = &Name> {
        self.slots.iter().filter(|(_, slot)| slot.held).map(|(name, _)| name)
    }

    /// The number of the last generation.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Starts that are under way.
    pub fn launching(&self) -> usize {
        self.launching
    }

    /// What is taken of the budgets.
    pub fn taken(&self) -> Demand {
        self.ledger.taken()
    }

    /// All of the budgets.
    pub fn budget(&self) -> Demand {
        self.ledger.total()
    }

    /// Changes the budgets. What was granted stays granted.
    pub fn set_budget(&mut self, budget: Demand, rules: Rules) {
        self.ledger.set_total(budget);
        self.rules = rules;
    }

    /// Whether nothing runs and nothing is wanted.
    pub fn is_over(&self) -> bool {
        self.leaving && self.names.is_empty()
    }

    /// Whether all that is wanted serves with the settings that are wanted.
    pub fn is_settled(&self) -> bool {
        self.slots.values().all(|slot| match self.wanted(slot) {
            None => slot.running.is_none() && slot.successor.is_none() && slot.draining.is_empty(),
            Some(wanted) => {
                let serves = |run: &Run<S>| run.spec == wanted && matches!(run.phase, Phase::Ready(_));
                slot.successor.is_none()
                    && slot.draining.is_empty()
                    && slot.running.as_ref().is_some_and(serves)
            }
        })
    }

    fn view_of(&self, name: &Name, slot: &Slot<S>) -> View<S> {
        let wanted = self.wanted(slot);
        let state = match (&slot.running, &wanted) {
            (Some(run), _) if slot.successor.is_some() || run.adjusting.is_some() => State::Changing,
            (Some(Run { phase: Phase::Ready(_), .. }), _) => State::Ready,
            (Some(_), _) => State::Starting,
            (None, _) if slot.successor.is_some() => State::Starting,
            (None, None) if !slot.draining.is_empty() => State::Draining,
            (None, None) => State::Ended,
            (None, Some(_)) if slot.gave_up => State::Failed,
            (None, Some(_)) if slot.failures == 0 && slot.note.is_none() => State::Starting,
            (None, Some(_)) => State::Waiting,
        };
        View {
            name: name.clone(),
            state,
            generation: slot.running.as_ref().map(|run| run.generation),
            successor: slot.successor.as_ref().map(|run| run.generation),
            draining: slot.draining.iter().map(|leaving| leaving.generation).collect(),
            spec: slot
                .running
                .as_ref()
                .map(|run| run.spec.clone())
                .or(wanted)
                .or_else(|| slot.desired.clone()),
            held: slot.held,
            failures: slot.failures,
            retry_at: slot.retry_at,
            note: slot.note.clone(),
        }
    }

    /// The settings of a generation that has not ended.
    fn spec_of(&self, generation: Generation) -> Option<&S> {
        let slot = self.slots.get(self.names.get(&generation)?)?;
        let leaving = slot.draining.iter().find(|leaving| leaving.generation == generation);
        let run = slot.runs().find(|run| run.generation == generation).map(|run| &run.spec);
        run.or(leaving.map(|leaving| &leaving.spec))
    }

    /// The settings that it is to run with now, if it is to run.
    fn wanted(&self, slot: &Slot<S>) -> Option<S> {
        if self.leaving || slot.held {
            return None;
        }
        let desired = slot.desired.as_ref()?;
        match &slot.running {
            // What could not be brought into force leaves what is in force.
            Some(run) if slot.rejected.as_ref() == Some(desired) => Some(run.spec.clone()),
            _ => Some(desired.clone()),
        }
    }

    // --- What is asked ---------------------------------------------------------------------------------

    fn apply(&mut self, mut wanted: BTreeMap<Name, S>, steps: &mut Steps<S>) {
        for (name, slot) in &mut self.slots {
            let next = wanted.remove(name);
            // Asked for again, also what is unchanged is tried again.
            if next != slot.desired || slot.rejected.is_some() || slot.gave_up {
                slot.pardon();
                slot.note = None;
            }
            slot.desired = next;
        }
        for (name, spec) in wanted {
            let held = self.held_from_start.remove(&name);
            self.slots.insert(name, Slot { desired: Some(spec), held, ..Slot::new() });
        }
        self.reconcile_all(steps);
    }

    fn ask(&mut self, name: &Name, steps: &mut Steps<S>, what: impl FnOnce(&mut Slot<S>)) {
        // One that nobody knows: the shell has told so.
        let Some(slot) = self.slots.get_mut(name) else { return };
        slot.pardon();
        slot.note = None;
        what(slot);
        self.reconcile(name, steps);
    }

    // --- What happens ----------------------------------------------------------------------------------

    fn started(&mut self, generation: Generation, steps: &mut Steps<S>) {
        let Some(name) = self.names.get(&generation).cloned() else { return };
        let Some(slot) = self.slots.get_mut(&name) else { return };
        let found = slot.running.iter_mut().chain(&mut slot.successor).find(|r| r.generation == generation);
        let Some(run) = found.filter(|run| run.phase == Phase::Launching) else { return };
        run.phase = Phase::Up;
        self.launching -= 1;
        if std::mem::take(&mut slot.standing_in) {
            steps.steps.push(Step::StandDown(name.clone()));
        }
        self.take_over(&name, steps);
        self.reconcile(&name, steps);
    }

    fn ready(&mut self, generation: Generation, steps: &mut Steps<S>) {
        // It may have its list before the word of its start was heard.
        self.started(generation, steps);
        let Some(name) = self.names.get(&generation).cloned() else { return };
        let (now, slot) = (self.now, self.slots.get_mut(&name));
        let runs = slot.into_iter().flat_map(|slot| slot.running.iter_mut().chain(&mut slot.successor));
        for run in runs.filter(|run| run.generation == generation && run.phase == Phase::Up) {
            run.phase = Phase::Ready(now);
        }
        self.take_over(&name, steps);
        self.reconcile(&name, steps);
    }

    /// Puts a successor in its place: once it is ready, or at once where there is none that serves.
    fn take_over(&mut self, name: &Name, steps: &mut Steps<S>) {
        self.open(name, steps);
        let Some(slot) = self.slots.get_mut(name) else { return };
        let served = slot.running.as_ref().is_some_and(|run| matches!(run.phase, Phase::Ready(_)));
        let may = slot.successor.as_ref().is_some_and(|run| match run.phase {
            Phase::Launching => false,
            Phase::Up => !served,
            Phase::Ready(_) => true,
        });
        if !may {
            return;
        }
        let before = std::mem::replace(&mut slot.running, slot.successor.take());
        (slot.fresh, slot.note) = (false, None);
        self.open(name, steps);
        if let Some(before) = before {
            self.drain(name, before, steps);
        }
        self.grant(name);
    }

    /// Lets the running generation accept clients.
    fn open(&mut self, name: &Name, steps: &mut Steps<S>) {
        if self.shut {
            return;
        }
        let run = self.slots.get_mut(name).and_then(|slot| slot.running.as_mut());
        if let Some(run) = run.filter(|run| run.standby && run.phase != Phase::Launching) {
            run.standby = false;
            steps.steps.push(Step::Open(run.generation));
        }
    }

    /// Sends a generation on its way out.
    fn drain(&mut self, name: &Name, run: Run<S>, steps: &mut Steps<S>) {
        if run.phase == Phase::Launching {
            self.launching -= 1;
        }
        if let Some(next) = run.adjusting.filter(|next| next.group() != run.spec.group()) {
            self.lower(&next.group());
        }
        let place = run.spec.place();
        let how = if self.listens(&place) { Leave::HandOver } else { Leave::Close };
        steps.steps.push(Step::Drain(run.generation, how));
        if let Some(slot) = self.slots.get_mut(name) {
            slot.draining.push(Leaving { generation: run.generation, spec: run.spec, how });
        }
    }

    /// Whether a generation that is not on its way out listens there, or is about to.
    fn listens(&self, place: &S::Place) -> bool {
        self.slots.values().flat_map(Slot::runs).any(|run| run.spec.place() == *place)
    }

    /// A generation could not be started, or has ended without having been told to.
    fn fell(&mut self, generation: Generation, reason: String, steps: &mut Steps<S>) {
        let Some(name) = self.names.get(&generation).cloned() else { return };
        let Some(slot) = self.slots.get_mut(&name) else { return };
        let is = |run: &mut Run<S>| run.generation == generation;
        if let Some(run) = slot.successor.take_if(is) {
            slot.fresh = false;
            slot.rejected = Some(run.spec.clone());
            self.gone(run);
            self.note(&name, format!("the old settings stay in force: {reason}"), steps);
        } else if let Some(run) = slot.running.take_if(is) {
            let stable = matches!(run.phase, Phase::Ready(at) if self.now >= at + self.rules.stable);
            slot.failures = if stable { 1 } else { slot.failures + 1 };
            let (ran, spec) = (run.phase != Phase::Launching, run.spec.clone());
            self.gone(run);
            self.fall_back(&name, spec, ran, reason, steps);
        } else {
            return self.left(generation, Some(reason), steps);
        }
        self.names.remove(&generation);
        self.grant(&name);
        self.reconcile(&name, steps);
    }

    /// A generation that was told to leave has left.
    fn left(&mut self, generation: Generation, trouble: Option<String>, steps: &mut Steps<S>) {
        let Some(name) = self.names.remove(&generation) else { return };
        let Some(slot) = self.slots.get_mut(&name) else { return };
        let Some(at) = slot.draining.iter().position(|l| l.generation == generation) else { return };
        let leaving = slot.draining.remove(at);
        self.lower(&leaving.spec.group());
        if let Some(trouble) = trouble {
            self.note(&name, format!("while it drained: {trouble}"), steps);
        }
        self.grant(&name);
        self.reconcile(&name, steps);
    }

    /// The generation that was to serve is gone: its successor takes over if there is one; else it is started again
    /// after a while, and its clients are told so meanwhile.
    fn fall_back(&mut self, name: &Name, spec: S, ran: bool, reason: String, steps: &mut Steps<S>) {
        let (rules, now) = (self.rules.clone(), self.now);
        let Some(slot) = self.slots.get_mut(name) else { return };
        if slot.successor.is_some() {
            self.note(name, reason, steps);
            return self.take_over(name, steps);
        }
        if rules.give_up_after > 0 && slot.failures >= rules.give_up_after {
            (slot.gave_up, slot.retry_at) = (true, None);
            if std::mem::take(&mut slot.standing_in) {
                steps.steps.push(Step::StandDown(name.clone()));
            }
            let text = format!("{reason}; left alone after {} failures in a row", rules.give_up_after);
            return self.note(name, text, steps);
        }
        let doubled = rules.first_wait.saturating_mul(1 << (slot.failures - 1).min(20));
        slot.retry_at = Some(now + doubled.min(rules.most_wait));
        if ran {
            slot.standing_in = true;
            steps.steps.push(Step::StandIn(name.clone(), spec));
        }
        self.note(name, reason, steps);
    }

    fn note(&mut self, name: &Name, text: String, steps: &mut Steps<S>) {
        steps.steps.push(Step::Tell(name.clone(), text.clone()));
        if let Some(slot) = self.slots.get_mut(name) {
            slot.note = Some(text);
        }
    }

    fn adjusted(&mut self, generation: Generation, result: Result<(), String>, steps: &mut Steps<S>) {
        let Some(name) = self.names.get(&generation).cloned() else { return };
        let Some(slot) = self.slots.get_mut(&name) else { return };
        let Some(run) = slot.running.as_mut().filter(|run| run.generation == generation) else { return };
        let Some(next) = run.adjusting.take() else { return };
        match result {
            Ok(()) => {
                let before = std::mem::replace(&mut run.spec, next).group();
                let after = run.spec.group();
                slot.note = None;
                if before != after {
                    self.lower(&before);
                    steps.told.insert(generation);
                }
            }
            Err(reason) => {
                let (kept, left) = (run.spec.group(), next.group());
                slot.rejected = Some(next);
                if kept != left {
                    self.lower(&left);
                }
                self.note(&name, format!("the old settings stay in force: {reason}"), steps);
            }
        }
        self.grant(&name);
        self.reconcile(&name, steps);
    }

    fn ended(&mut self, generation: Generation, end: End, steps: &mut Steps<S>) {
        let trouble = match end {
            End::Drained => None,
            End::Overdue => Some("its time was up before all was answered".to_owned()),
            End::Failed(reason) => Some(reason),
        };
        let slot = self.names.get(&generation).and_then(|name| self.slots.get(name));
        if slot.is_some_and(|slot| slot.draining.iter().any(|l| l.generation == generation)) {
            self.left(generation, trouble, steps);
        } else {
            self.fell(generation, trouble.unwrap_or_else(|| "it has ended unasked".to_owned()), steps);
        }
    }

    fn woke(&mut self, steps: &mut Steps<S>) {
        let now = self.now;
        let mut late = Vec::new();
        let mut due = Vec::new();
        for (name, slot) in &mut self.slots {
            for run in slot.running.iter().chain(&slot.successor) {
                if run.phase == Phase::Launching && now >= run.since + self.rules.start_within {
                    late.push((run.generation, "it did not start in time"));
                }
            }
            let unready = slot.successor.as_ref().filter(|run| now >= run.since + self.rules.ready_within);
            if let Some(run) = unready.filter(|run| run.phase != Phase::Launching) {
                late.push((run.generation, "its successor did not get ready in time"));
            }
            if slot.retry_at.is_some_and(|at| now >= at) {
                slot.retry_at = None;
                due.push(name.clone());
            }
        }
        for (generation, reason) in late {
            steps.steps.push(Step::Abandon(generation));
            self.fell(generation, reason.to_owned(), steps);
        }
        due.iter().for_each(|name| self.reconcile(name, steps));
        let mut fewer = Vec::new();
        for (key, group) in &mut self.groups {
            if group.lower_at.is_some_and(|at| now >= at) {
                group.lower_at = None;
                if group.told != group.alive {
                    group.told = group.alive;
                    fewer.push(key.clone());
                }
            }
        }
        steps.retold.extend(fewer);
        self.groups.retain(|_, group| group.alive > 0 || group.lower_at.is_some());
    }

    // --- From what is there to what is wanted ----------------------------------------------------------

    fn reconcile_all(&mut self, steps: &mut Steps<S>) {
        let names: Vec<Name> = self.slots.keys().cloned().collect();
        names.iter().for_each(|name| self.reconcile(name, steps));
    }

    fn reconcile(&mut self, name: &Name, steps: &mut Steps<S>) {
        let Some(slot) = self.slots.get(name) else { return };
        match self.wanted(slot) {
            None => self.wind_up(name, steps),
            Some(wanted) => self.approach(name, wanted, steps),
        }
    }

    fn wind_up(&mut self, name: &Name, steps: &mut Steps<S>) {
        let Some(slot) = self.slots.get_mut(name) else { return };
        (slot.retry_at, slot.gave_up, slot.failures, slot.fresh) = (None, false, 0, false);
        if std::mem::take(&mut slot.standing_in) {
            steps.steps.push(Step::StandDown(name.clone()));
        }
        let runs = [slot.successor.take(), slot.running.take()];
        runs.into_iter().flatten().for_each(|run| self.drain(name, run, steps));
        self.queue.remove(name);
        self.grant(name);
        let over = |slot: &Slot<S>| slot.desired.is_none() && slot.draining.is_empty();
        if self.slots.get(name).is_some_and(over) {
            self.slots.remove(name);
        }
    }

    fn approach(&mut self, name: &Name, wanted: S, steps: &mut Steps<S>) {
        let Some(slot) = self.slots.get_mut(name) else { return };
        let change = match &slot.running {
            None => {
                if let Some(run) = slot.successor.take() {
                    // Its predecessor has fallen.
                    slot.running = Some(run);
                    return self.open(name, steps);
                }
                if slot.retry_at.is_none() && !slot.gave_up {
                    self.queue.insert(name.clone());
                }
                return;
            }
            Some(run) if run.adjusting.is_some() => return,
            Some(run) => run.spec.change_to(&wanted),
        };
        let change = if slot.fresh { Change::Successor } else { change };
        match (change, &slot.successor) {
            (Change::Successor, Some(successor)) if successor.spec == wanted => {}
            (_, Some(_)) => {
                // It was to take over with settings that are no longer wanted.
                if let Some(run) = slot.successor.take() {
                    self.drain(name, run, steps);
                }
                self.approach(name, wanted, steps);
            }
            (Change::Successor, None) => {
                self.queue.insert(name.clone());
            }
            (Change::InPlace, None) => self.adjust(name, wanted, steps),
            (Change::None, None) => {}
        }
    }

    fn adjust(&mut self, name: &Name, wanted: S, steps: &mut Steps<S>) {
        let Some(slot) = self.slots.get_mut(name) else { return };
        let Some(run) = slot.running.as_mut() else { return };
        let demand = run.spec.demand().max(wanted.demand());
        if let Err(short) = self.ledger.grant(name, demand) {
            slot.rejected = Some(wanted);
            return self.note(name, format!("the old settings stay in force: {short}"), steps);
        }
        run.adjusting = Some(wanted.clone());
        let (generation, moves) = (run.generation, run.spec.group() != wanted.group());
        if moves {
            // It counts among both until it has moved.
            self.raise(&wanted.group(), steps);
        }
        steps.steps.push(Step::Adjust(generation, wanted));
    }

    /// Starts what waits to start, as far as it may.
    fn serve_queue(&mut self, steps: &mut Steps<S>) {
        for name in std::mem::take(&mut self.queue) {
            if self.launching >= self.rules.parallel {
                self.queue.insert(name);
                continue;
            }
            self.start(&name, steps);
        }
    }

    fn start(&mut self, name: &Name, steps: &mut Steps<S>) {
        let Some(slot) = self.slots.get(name) else { return };
        let Some(wanted) = self.wanted(slot) else { return };
        let first = slot.running.is_none();
        // Another event may have made it needless since it was put in the queue.
        let needless = slot.successor.is_some()
            || slot.retry_at.is_some()
            || slot.running.as_ref().is_some_and(|run| {
                run.adjusting.is_some() || (run.spec.change_to(&wanted) != Change::Successor && !slot.fresh)
            });
        if needless {
            return;
        }
        if slot.draining.len() >= MAX_DRAINING {
            self.queue.insert(name.clone());
            return;
        }
        let demand = slot.runs().map(|run| run.spec.demand()).fold(wanted.demand(), Demand::max);
        if let Err(short) = self.ledger.grant(name, demand) {
            // A first generation waits for others to return what they hold; a change is turned down.
            let Some(slot) = self.slots.get_mut(name) else { return };
            let text = if first {
                self.queue.insert(name.clone());
                short.to_string()
            } else {
                (slot.rejected, slot.fresh) = (Some(wanted), false);
                format!("the old settings stay in force: {short}")
            };
            if slot.note.as_ref() != Some(&text) {
                self.note(name, text, steps);
            }
            return;
        }
        self.last += 1;
        let generation = Generation(self.last);
        let place = wanted.place();
        let standby = !first || self.shut;
        let after = slot.running.as_ref().map(|run| run.generation);
        self.names.insert(generation, name.clone());
        self.launching += 1;
        self.raise(&wanted.group(), steps);
        let Some(slot) = self.slots.get_mut(name) else { return };
        let phase = Phase::Launching;
        let run = Run { generation, spec: wanted.clone(), phase, since: self.now, standby, adjusting: None };
        *(if first { &mut slot.running } else { &mut slot.successor }) = Some(run);
        let name = name.clone();
        steps.starts.push(Step::Start { name, generation, spec: wanted, standby, sidecars: 0, after });
        // Those on their way out from this address leave the listener to the new generation.
        for leaving in self.slots.values_mut().flat_map(|slot| &mut slot.draining) {
            if leaving.spec.place() == place && leaving.how == Leave::Close {
                leaving.how = Leave::HandOver;
                steps.starts.push(Step::Drain(leaving.generation, Leave::HandOver));
            }
        }
    }

    // --- Books -----------------------------------------------------------------------------------------

    /// Takes back what the books hold of a run that is no more.
    fn gone(&mut self, run: Run<S>) {
        if run.phase == Phase::Launching {
            self.launching -= 1;
        }
        self.lower(&run.spec.group());
        if let Some(next) = run.adjusting.filter(|next| next.group() != run.spec.group()) {
            self.lower(&next.group());
        }
    }

    /// Grants an instance what its generations need, which is no more than it has.
    fn grant(&mut self, name: &Name) {
        let demand = self.slots.get(name).and_then(|slot| {
            let runs = slot.runs().flat_map(|run| [Some(&run.spec), run.adjusting.as_ref()]).flatten();
            runs.chain(slot.draining.iter().map(|leaving| &leaving.spec)).map(S::demand).reduce(Demand::max)
        });
        match demand {
            Some(demand) => self.ledger.shrink(name, demand),
            None => self.ledger.give_back(name),
        }
    }

    /// How many sidecars one with these settings is told that there are.
    fn sidecars(&self, spec: &S) -> u32 {
        let here = self.groups.get(&spec.group()).map_or(1, |group| group.told.max(1));
        spec.elsewhere().saturating_add(here).saturating_add(self.others)
    }

    /// One more shares these upstreams; all are told before it starts.
    fn raise(&mut self, key: &S::Group, steps: &mut Steps<S>) {
        let group = self.groups.entry(key.clone()).or_default();
        group.alive += 1;
        if group.alive > group.told {
            group.told = group.alive;
            steps.retold.insert(key.clone());
        }
    }

    /// One fewer does.
    fn lower(&mut self, key: &S::Group) {
        let at = self.now + self.rules.lower_after;
        if let Some(group) = self.groups.get_mut(key) {
            group.alive = group.alive.saturating_sub(1);
            group.lower_at.get_or_insert(at);
        }
    }

    /// All generations that share these upstreams.
    fn members(&self, key: &S::Group) -> Vec<Generation> {
        let runs = self.slots.values().flat_map(|slot| {
            let runs = slot.runs().map(|run| (run.generation, &run.spec));
            runs.chain(slot.draining.iter().map(|leaving| (leaving.generation, &leaving.spec)))
        });
        runs.filter(|(_, spec)| spec.group() == *key).map(|(generation, _)| generation).collect()
    }
}
