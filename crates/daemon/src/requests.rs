//! What the supervisor answers to the operator's clients.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::config::{Fleet, InstanceSpec};
use crate::control::Asked;
use crate::fleet_file;
use crate::frames::{
    Answer, Ask, Changes, Fault, Instance, Kind, Outcome, ProcessStatus, Reply, VERSION, WorkerStatus,
};
use crate::handover::{Bequest, Successor};
use crate::plan::{Change, Event, Name, Spec, State, View};
use crate::succession::Phase;
use crate::supervisor::{Note, Supervisor};

/// Instances have this long to hand their lists over before an upgrade.
const LISTS: Duration = Duration::from_secs(1);
/// A worker is not stalled on purpose for longer than this.
const LONGEST_STALL: Duration = Duration::from_secs(10);

impl Reply {
    /// That something was done, or begun.
    pub fn done(text: impl Into<String>) -> Reply {
        Reply::ok(Answer::Done(text.into()))
    }
}

/// A state in a word.
pub fn word(state: State) -> &'static str {
    match state {
        State::Starting => "starting",
        State::Ready => "ready",
        State::Changing => "changing",
        State::Draining => "draining",
        State::Ended => "ended",
        State::Waiting => "waiting",
        State::Failed => "failed",
    }
}

impl Supervisor {
    /// Answers a request. One for a handover is answered when that has come about, or has not.
    pub fn asked(&mut self, asked: Asked) {
        let Asked { ask, reply } = asked;
        let answer = match ask {
            Ask::List => {
                Reply::ok(Answer::Instances(self.plan.views().map(|view| self.instance(&view)).collect()))
            }
            Ask::Show { name } => match self.plan.view(&name) {
                Some(view) => Reply::ok(Answer::Instances(vec![self.instance(&view)])),
                None => unknown(&name),
            },
            Ask::Crossing { name } => self.crossing(name.as_deref()),
            Ask::Flows { name, flows } => self.udp.report(name.as_deref(), flows),
            Ask::Status => Reply::ok(Answer::Process(Box::new(self.status()))),
            Ask::Apply { dry_run: true } => self.apply(true).0,
            Ask::Fault { fault } => self.fail_on_purpose(&fault),
            // What follows changes something.
            _ if self.succession.phase() == Phase::Upgrading => {
                Reply::error(Kind::Refused, "an upgrade is under way; ask again when it is over")
            }
            _ if self.succession.phase() == Phase::Draining => {
                Reply::error(Kind::Refused, "the daemon drains and ends")
            }
            Ask::Apply { dry_run: false } => self.apply(false).0,
            Ask::Start { name } => self.tell(&name, Event::Start, false),
            Ask::Restart { name } => self.tell(&name, Event::Restart, false),
            Ask::Drain { name } => self.tell(&name, Event::Stop, false),
            Ask::Stop { name } => self.tell(&name, Event::Stop, true),
            Ask::FlowsMove { name, flow, server } => self.udp.move_flows(&name, flow, server),
            Ask::FlowsDrop { name, flow } => self.udp.drop_flow(&name, flow),
            Ask::DrainAll => {
                self.log.line("told to drain everything: finishing what is held");
                self.drain_all();
                Reply::done("everything drains; the daemon ends with the last")
            }
            Ask::Upgrade { binary } => {
                return self.upgrade(PathBuf::from(binary), reply);
            }
        };
        // Its client may have gone.
        let _ = reply.send(answer);
    }

    /// What crosses between zones.
    fn crossing(&self, name: Option<&str>) -> Reply {
        if let Some(name) = name.filter(|name| self.plan.view(name).is_none()) {
            return unknown(name);
        }
        let views = self.plan.views().filter(|view| name.is_none_or(|name| *view.name == *name));
        let report = |view: View<InstanceSpec>| self.crossings.report(&view.name, view.spec.as_ref()?);
        Reply::ok(Answer::Crossing(views.filter_map(report).collect()))
    }

    /// Passes an operator's wish for one instance on, and keeps it if it is to last.
    fn tell(&mut self, name: &str, event: fn(Name) -> Event<InstanceSpec>, lasts: bool) -> Reply {
        let Some(view) = self.plan.view(name) else { return unknown(name) };
        self.kept.set_stopped(&view.name, lasts);
        self.feed(event(view.name));
        let state = self.plan.view(name).map_or("ended", |view| word(view.state));
        Reply::done(format!("{name}: {state}"))
    }

    /// Reads the configuration again, and brings it into force unless this is a trial or it is faulty. The same in
    /// lines for the log.
    pub fn apply(&mut self, dry_run: bool) -> (Reply, Vec<String>) {
        let fleet = match fleet_file::load(&self.options.config) {
            Ok(fleet) => fleet,
            Err(faults) => {
                let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
                let text = format!("{} faults; the old configuration stays", faults.len());
                let mut lines = vec![text.clone()];
                lines.extend(faults.iter().cloned());
                return (Reply::faults(Kind::BadConfig, text, faults), lines);
            }
        };
        let changes = changes(&self.fleet, &fleet);
        let lines = vec![format!(
            "{} added, {} removed, {} changed in place, {} by a successor, {} unchanged",
            changes.added.len(),
            changes.removed.len(),
            changes.in_place.len(),
            changes.successor.len(),
            changes.unchanged
        )];
        if !dry_run {
            self.bring_into_force(fleet, &changes);
        }
        (Reply::ok(Answer::Changes(changes)), lines)
    }

    fn bring_into_force(&mut self, fleet: Fleet, changes: &Changes) {
        for name in &changes.removed {
            self.kept.forget(name);
        }
        let process = self.fleet.process.clone();
        self.fleet = fleet;
        // Workers and paths stay as they are until a restart.
        let new = &mut self.fleet.process;
        (new.workers, new.control, new.state) = (process.workers, process.control, process.state);
        self.udp.apply(&self.fleet.process, &self.kept, &self.log);
        self.grants.share(&self.fleet);
        self.plan.set_budget(self.fleet.process.budget, self.fleet.process.rules.clone());
        let instances = self.fleet.instances.clone();
        self.feed(Event::Apply(instances));
        let kept = &self.fleet.instances;
        self.listeners.forget_chosen(|name| kept.contains_key(name));
        // What nobody runs under any more is not kept.
        self.grants.forget(|name| kept.contains_key(name));
        self.crossings.forget(|name| kept.contains_key(name));
    }

    fn fail_on_purpose(&mut self, fault: &Fault) -> Reply {
        if !self.options.allow_faults {
            return Reply::error(
                Kind::Refused,
                "faults are not allowed; start the daemon with --allow-faults",
            );
        }
        match fault {
            Fault::Panic { name } => {
                let running = self.plan.view(name).and_then(|view| view.generation);
                match running.and_then(|generation| self.lives.get(&generation)) {
                    Some(life) => {
                        life.control.inject_panic();
                        Reply::done(format!("{name}: panics"))
                    }
                    None => unknown(name),
                }
            }
            Fault::Stall { worker, ms } => {
                let span = Duration::from_millis(*ms).min(LONGEST_STALL);
                let stalled = self.workers.spawn(*worker, async move { std::thread::sleep(span) });
                match stalled {
                    Some(_) => Reply::done(format!("worker {worker}: stalls")),
                    None => Reply::error(Kind::Unknown, format!("there is no worker {worker}")),
                }
            }
        }
    }

    /// Begins a handover: first every list of upstreams is asked for, as it stands.
    fn upgrade(&mut self, binary: PathBuf, reply: oneshot::Sender<Reply>) {
        if !is_program(&binary) {
            let text = format!("{} is not a program that can be run", binary.display());
            // Who asked may have gone.
            let _ = reply.send(Reply::error(Kind::Failed, text));
            return;
        }
        self.log.line(format!("upgrade: starting {}", binary.display()));
        self.succession.begin(reply);
        let lives: Vec<_> =
            self.lives.iter().map(|(generation, life)| (*generation, life.control.host_list())).collect();
        let notes = self.notes.clone();
        tokio::spawn(async move {
            let until = Instant::now() + LISTS;
            for (generation, list) in lives {
                // One whose worker is stuck is handed over with the list that was kept last.
                if let Ok(Ok(list)) = timeout_at(until, list).await {
                    let _ = notes.send(Note::List(generation, Some(list)));
                }
            }
            let _ = notes.send(Note::Bequeath(binary));
        });
    }

    /// Starts a successor process and hands everything to it, in a thread of its own.
    pub fn bequeath(&mut self, binary: PathBuf) {
        let socket = self.reception.as_ref().and_then(|reception| reception.socket.clone());
        let (Some(control), Some(cancelled)) = (socket, self.succession.cancelled()) else { return };
        let notes = self.notes.clone();
        let ready =
            self.plan.views().filter(|view| view.state == State::Ready).map(|view| view.name.to_string());
        let others = self.lives.len() as u32;
        let bequest = Bequest {
            control,
            lock: self.kept.lock(),
            listeners: self.listeners.all(),
            lists: self.kept.lists(),
            others,
            ready: ready.collect(),
            stopped: self.plan.held().map(|name| name.to_string()).collect(),
            first: self.plan.last(),
            shares_ids: self.grants.shared_ids(None).iter().map(|(name, _)| name.to_string()).collect(),
        };
        // The successor starts as many; for a while there are twice as many sidecars.
        self.feed(Event::Others(others));
        let mut arguments =
            vec!["daemon".into(), "--config".into(), self.options.config.clone().into_os_string()];
        arguments.push("--take-over".into());
        if self.options.allow_faults {
            arguments.push("--allow-faults".into());
        }
        let at_most = self.fleet.process.upgrade_within;
        std::thread::spawn(move || {
            let started = Successor::start(&binary, &arguments, at_most);
            let result = started.and_then(|successor| successor.hand_over(&bequest, &cancelled));
            let _ = notes.send(Note::Successor(result));
        });
    }

    fn instance(&self, view: &View<InstanceSpec>) -> Instance {
        let life = view.generation.and_then(|generation| self.lives.get(&generation));
        let generations = view.generation.iter().chain(&view.successor).chain(&view.draining);
        let lives = generations.filter_map(|generation| self.lives.get(generation));
        let open = lives.map(|life| life.control.metrics().totals().open()).sum();
        let count = |of: fn(&sagemast_sidecar::metrics::Metrics) -> &std::sync::atomic::AtomicU64| {
            life.map_or(0, |life| of(life.control.metrics()).load(Ordering::Relaxed))
        };
        let counts = life.map(|life| life.control.metrics().totals()).unwrap_or_default();
        let spec = view.spec.as_ref();
        let address = spec.and_then(|spec| self.listeners.address(&spec.place()));
        Instance {
            name: view.name.to_string(),
            state: word(view.state).to_owned(),
            listen: address.map_or(String::new(), |address| address.to_string()),
            discovery: spec.map_or(String::new(), |spec| spec.discovery.to_string()),
            generation: view.generation.map(|generation| generation.0),
            successor: view.successor.map(|generation| generation.0),
            draining: view.draining.len(),
            worker: life.map(|life| life.worker),
            open,
            taken: counts.accepted,
            served: counts.served,
            refused: counts.refused,
            failed: counts.failed,
            left: counts.disconnected,
            sends: count(|metrics| &metrics.attempts_written),
            upstreams: count(|metrics| &metrics.listed_upstreams),
            seq: count(|metrics| &metrics.host_list_version),
            connections: self.grants.held(&view.name),
            failures: view.failures,
            retry_in_ms: view.retry_at.map(|at| at.saturating_sub(self.now())),
            stopped: view.held,
            note: view.note.clone(),
        }
    }

    fn status(&self) -> ProcessStatus {
        let mut instances: BTreeMap<String, usize> = BTreeMap::new();
        for view in self.plan.views() {
            *instances.entry(word(view.state).to_owned()).or_default() += 1;
        }
        let workers = (0..self.workers.count()).map(|at| WorkerStatus {
            generations: self.workers.generations(at),
            silent_ms: self.workers.silent(at).as_millis() as u64,
            stuck: self.workers.is_stuck(at),
        });
        let (taken, budget) = (self.plan.taken(), self.plan.budget());
        let most = self.grants.most();
        ProcessStatus {
            version: env!("CARGO_PKG_VERSION").to_owned(),
            pid: std::process::id(),
            uptime_ms: self.now(),
            phase: self.succession.phase().word().to_owned(),
            instances,
            open: self.lives.values().map(|life| life.control.metrics().totals().open()).sum(),
            workers: workers.collect(),
            memory_mb: [taken.memory_mb, budget.memory_mb],
            descriptors: [taken.descriptors, budget.descriptors],
            connections_per_upstream: [most, self.fleet.process.connections_per_upstream],
            state_trouble: self.kept.trouble(),
            settled: self.plan.is_settled(),
        }
    }
}

fn unknown(name: &str) -> Reply {
    Reply {
        v: VERSION,
        outcome: Outcome::Error(crate::frames::Problem {
            kind: Kind::Unknown,
            text: format!("no instance is named {name:?}; `sagemast ctl list` tells those that there are"),
            faults: Vec::new(),
        }),
    }
}

fn is_program(path: &Path) -> bool {
    use std::os::unix::fs::PermissionsExt;
    std::fs::metadata(path).is_ok_and(|about| about.is_file() && about.permissions().mode() & 0o111 != 0)
}

/// What a new configuration changes.
fn changes(old: &Fleet, new: &Fleet) -> Changes {
    let mut changes = Changes::default();
    for (name, spec) in &new.instances {
        match old.instances.get(name).map(|before| before.change_to(spec)) {
            None => changes.added.push(name.to_string()),
            Some(Change::None) => changes.unchanged += 1,
            Some(Change::InPlace) => changes.in_place.push(name.to_string()),
            Some(Change::Successor) => changes.successor.push(name.to_string()),
        }
    }
    let gone = old.instances.keys().filter(|name| !new.instances.contains_key(*name));
    changes.removed = gone.map(|name| name.to_string()).collect();
    let (old, new) = (&old.process, &new.process);
    let later = [
        ("daemon.workers (takes an upgrade)", old.workers != new.workers),
        ("daemon.control (takes a restart)", old.control != new.control),
        ("daemon.state (takes a restart)", old.state != new.state),
    ];
    changes.later =
        later.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key.to_owned()).collect();
    changes
}
