//! The daemon's main thread: it owns the plan, carries out its steps and tells it what came of them. What it decides
//! itself is only how a step is done.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, Hasher};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use sagemast_sidecar::driver::InstanceEvent;
use sagemast_sidecar::hosts::HostList;
use sagemast_sidecar::instance::{
    Control, Drain, ExitReason, Instance, InstanceConfig, StandIn, StandInControl,
};
use sagemast_sidecar::log::Log;
use sagemast_sidecar::messages::EventSink;
use sagemast_udp::Legacy;
use tokio::net::UnixListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::config::{Fleet, InstanceSpec, Place, Process};
use crate::control::{self, Asked};
use crate::crossings::Crossings;
use crate::fleet_file;
use crate::grants::Grants;
use crate::handover::{Estate, Predecessor, Successor, Word};
use crate::id_exchange::{IdExchange, Link, Peer, SharedIds};
use crate::kept::Kept;
use crate::listeners::Listeners;
use crate::notify::notify;
use crate::plan::{End, Event, Generation, Leave, Millis, Name, Plan, Spec, Step};
use crate::succession::{Phase, Readiness, Succession};
use crate::udp::Udp;
use crate::workers::Workers;

/// Descriptors of the process that no instance has: standard streams, the control socket and its clients, the state
/// directory, two for each runtime, and some for what comes and goes.
const OWN_DESCRIPTORS: u64 = 96;
/// So many must be left when an instance starts, beside one for each that starts meanwhile and has yet to reach
/// discovery: those that run open connections all the time. The budget sees to that, unless the limit of the process
/// is lowered under it, or something else in the process takes descriptors.
const SPARE_DESCRIPTORS: usize = 16;
/// A list that changes often is kept this often.
const KEEP_LISTS: Duration = Duration::from_millis(200);
/// The kernel turns newcomers away; those that are half in take no longer than this.
const HALF_IN: Duration = Duration::from_millis(30);
/// Where the kernel cannot be told to: so long newcomers are still served.
const STILL_COMING: Duration = Duration::from_millis(550);
/// An answer that comes at the deadline of the longest class is still on its way for this long.
const LAST_MARGIN: Duration = Duration::from_millis(640);
/// Clients of the control socket that have asked get their answers within this.
const LAST_ANSWERS: Duration = Duration::from_secs(1);
/// How often workers are looked at.
const WATCH: Duration = Duration::from_millis(500);

/// How a daemon is started.
#[derive(Debug, Clone)]
pub struct Options {
    /// Its configuration.
    pub config: PathBuf,
    /// Whether it takes over from the process at the other end of its standard input.
    pub take_over: bool,
    /// Whether it may be told to fail on purpose, for the rig and tests.
    pub allow_faults: bool,
}

/// Runs a daemon to its end. Errors are plain lines, and nothing listens then.
pub fn run(options: Options) -> Result<(), Vec<String>> {
    let log = Log::process();
    // The usual hook may look up every function of a backtrace, which takes a worker tenths of a second in which
    // its other instances wait.
    let told = log.clone();
    std::panic::set_hook(Box::new(move |panic| {
        let at = panic.location().map_or(String::new(), |at| format!(" at {}:{}", at.file(), at.line()));
        let payload = panic.payload();
        let text = payload.downcast_ref::<&str>().copied();
        let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        told.line(format!("panic{at}: {}", text.unwrap_or("no message")));
    }));
    let fleet = fleet_file::load(&options.config);
    let lines = |faults: Vec<fleet_file::Fault>| faults.iter().map(ToString::to_string).collect::<Vec<_>>();
    if !options.take_over {
        return begin(options, fleet.map_err(lines)?, None, log);
    }
    let failed = |error: std::io::Error| vec![format!("cannot take over: {error}")];
    let stdin = rustix::io::fcntl_dupfd_cloexec(rustix::stdio::stdin(), 3).map_err(|e| failed(e.into()))?;
    // Whoever sends is alive; one that says nothing for as long as an upgrade may take is not.
    let at_most = fleet.as_ref().map_or(Duration::from_secs(30), |fleet| fleet.process.upgrade_within);
    let (predecessor, estate) = Predecessor::meet(stdin, at_most).map_err(|line| vec![line])?;
    match fleet.map_err(lines) {
        Ok(fleet) => begin(options, fleet, Some((predecessor, estate)), log),
        Err(faults) => {
            predecessor.failed(&faults.join("; "));
            Err(faults)
        }
    }
}

fn begin(
    options: Options,
    fleet: Fleet,
    inheritance: Option<(Predecessor, Estate)>,
    log: Log,
) -> Result<(), Vec<String>> {
    let (predecessor, estate) = inheritance.unzip();
    let built = build(options, fleet, estate, log.clone());
    let (runtime, supervisor, socket) = match built {
        Ok(built) => built,
        Err(line) => {
            if let Some(predecessor) = predecessor {
                predecessor.failed(&line);
            }
            return Err(vec![line]);
        }
    };
    runtime.block_on(supervisor.supervise(socket, predecessor)).map_err(|line| vec![line])
}

type Built = (tokio::runtime::Runtime, Supervisor, std::os::unix::net::UnixListener);

/// Takes hold of everything that a daemon needs, or says in a line why it cannot.
fn build(options: Options, fleet: Fleet, estate: Option<Estate>, log: Log) -> Result<Built, String> {
    raise_descriptors(&fleet.process)?;
    let Process { rules, budget, control, workers, connections_per_upstream, .. } = &fleet.process;
    let (rules, budget) = (rules.clone(), *budget);
    let (plan, listeners, kept, succession, socket) = match estate {
        None => {
            let kept = Kept::load(&fleet, &log)?;
            (Plan::new(rules, budget, 0), Listeners::default(), kept, Succession::first(), None)
        }
        Some(mut estate) => {
            let mut plan = Plan::new(rules, budget, estate.first);
            plan.hold_back();
            let kept = Kept::inherit(&mut estate, &fleet.process, &log)?;
            let succession = Succession::after(&mut estate);
            let mut listeners = Listeners::default();
            listeners.adopt(estate.listeners);
            (plan, listeners, kept, succession, Some(estate.control))
        }
    };
    let mut plan = plan;
    plan.hold_from_start(kept.stopped().cloned());
    let socket = match socket {
        Some(socket) => std::os::unix::net::UnixListener::from(socket),
        None => control::bind(control)?,
    };
    let prepared = socket.set_nonblocking(true);
    prepared.map_err(|error| format!("daemon.control: {}: {error}", control.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| format!("cannot start the runtime: {error}"))?;
    // A successor's begin when it may go: until then the predecessor reads from their sockets.
    let udp = match succession.others_may_read() {
        true => Udp::default(),
        false => Udp::start(&fleet.process, Vec::new(), &kept).inspect_err(|_| {
            // Nobody will answer there.
            let _ = std::fs::remove_file(control);
        })?,
    };
    let workers =
        Workers::start(*workers).map_err(|error| format!("daemon.workers: cannot start: {error}"))?;
    let (notes, inbox) = mpsc::unbounded_channel();
    let supervisor = Supervisor {
        plan,
        listeners,
        kept,
        succession,
        workers,
        grants: Grants::new(*connections_per_upstream),
        crossings: Crossings::since(Instant::now()),
        udp,
        lives: HashMap::new(),
        stand_ins: HashMap::new(),
        notes,
        inbox,
        epoch: Instant::now(),
        reception: None,
        options,
        fleet,
        log,
    };
    Ok((runtime, supervisor, socket))
}

/// Has the process hold as many descriptors as the budget says.
fn raise_descriptors(process: &Process) -> Result<(), String> {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

    let needs = process.budget.descriptors + OWN_DESCRIPTORS;
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|current| current >= needs) {
        return Ok(());
    }
    let raised = Rlimit { current: Some(needs), maximum: limit.maximum };
    if limit.maximum.is_none_or(|maximum| maximum >= needs) && setrlimit(Resource::Nofile, raised).is_ok() {
        return Ok(());
    }
    let maximum = limit.maximum.unwrap_or(u64::MAX);
    Err(format!(
        "budgets.descriptors: {needs} are needed with the daemon's own {OWN_DESCRIPTORS}, and the process may hold \
         {maximum}: raise its limit (LimitNOFILE) or lower the budget"
    ))
}

/// Something that the supervisor is told. Each is told once by something whose number is bounded.
pub(crate) enum Note {
    Started(Generation),
    Told(Generation, InstanceEvent),
    Ended(Generation, ExitReason),
    /// Its list of upstreams, unless it has ended meanwhile.
    List(Generation, Option<HostList>),
    /// A stand-in has left this place.
    StoodIn(Place),
    /// All lists have been asked for: a successor with this program may be started.
    Bequeath(PathBuf),
    /// A successor process is ready, or was ended.
    Successor(Result<(Successor, Vec<Place>), String>),
    /// It serves, or was ended. With it the process id, and the ids of open requests that it shares.
    Serves(u32, SharedIds, Result<Link, String>),
    /// The predecessor has spoken.
    Heard(Word, Vec<Legacy>),
    /// The predecessor has ended.
    Alone,
}

/// A generation that has not ended.
pub(crate) struct Life {
    pub name: Name,
    pub control: Control,
    pub place: Place,
    pub worker: usize,
    task: AbortHandle,
    spec: InstanceSpec,
    /// It has not let its listener go.
    listens: bool,
    /// Its list is being asked for, and has changed again since.
    listing: bool,
    relist: bool,
}

/// The control socket while this process answers at it.
pub(crate) struct Reception {
    /// Until it is a successor's.
    pub socket: Option<Arc<UnixListener>>,
    /// Dropped to take no more clients.
    over: Option<watch::Sender<()>>,
    /// Ends once who has asked was answered.
    clients: JoinHandle<()>,
}

pub(crate) struct Supervisor {
    pub options: Options,
    pub fleet: Fleet,
    pub plan: Plan<InstanceSpec>,
    pub workers: Workers,
    pub listeners: Listeners,
    pub lives: HashMap<Generation, Life>,
    stand_ins: HashMap<Name, (StandInControl, Place)>,
    pub grants: Grants,
    pub crossings: Crossings,
    pub udp: Udp,
    pub kept: Kept,
    pub succession: Succession,
    pub notes: mpsc::UnboundedSender<Note>,
    inbox: mpsc::UnboundedReceiver<Note>,
    pub epoch: Instant,
    pub reception: Option<Reception>,
    pub log: Log,
}

impl Reception {
    /// Takes clients from now on.
    fn open(socket: Arc<UnixListener>, asked: mpsc::Sender<Asked>, log: Log) -> Reception {
        let (over, is_over) = watch::channel(());
        let clients = tokio::spawn(control::serve(socket.clone(), asked, is_over, log));
        Reception { socket: Some(socket), over: Some(over), clients }
    }

    /// Takes no more clients: the socket is a successor's.
    fn shut(&mut self) {
        (self.socket, self.over) = (None, None);
    }

    /// The same, and waits for who has asked.
    async fn close(mut self) {
        self.shut();
        let _ = timeout(LAST_ANSWERS, self.clients).await;
    }
}

impl Supervisor {
    async fn supervise(
        mut self,
        socket: std::os::unix::net::UnixListener,
        predecessor: Option<Predecessor>,
    ) -> Result<(), String> {
        let caught = |kind| signal(kind).map_err(|error| format!("cannot wait for signals: {error}"));
        let mut terminate = caught(SignalKind::terminate())?;
        let mut interrupt = caught(SignalKind::interrupt())?;
        let mut hangup: Signal = caught(SignalKind::hangup())?;
        let socket = UnixListener::from_std(socket).map_err(|error| format!("daemon.control: {error}"))?;
        let (asked, mut requests) = mpsc::channel(control::WAITING);
        let mut clients = Some((Arc::new(socket), asked));
        let mut predecessor = predecessor;
        if predecessor.is_some() {
            self.feed(Event::Others(self.succession.others()));
        }
        self.grants.share(&self.fleet);
        let instances = self.fleet.instances.clone();
        self.feed(Event::Apply(instances));
        if predecessor.is_none() {
            self.serve_clients(&mut clients);
        }
        let mut looked = Instant::now();
        loop {
            if let Some(waiting) = predecessor.take() {
                predecessor = self.offer(waiting)?;
            }
            if self.plan.is_over() && !self.succession.is_under_way() {
                break;
            }
            let wake = self.plan.next_wake().map(|at| self.epoch + Duration::from_millis(at));
            tokio::select! {
                Some(note) = self.inbox.recv() => {
                    let go = matches!(note, Note::Heard(Word::Go | Word::Dead, _));
                    self.noted(note)?;
                    if go {
                        self.serve_clients(&mut clients);
                    }
                }
                Some(asked) = requests.recv() => self.asked(asked),
                _ = terminate.recv() => self.end("SIGTERM"),
                _ = interrupt.recv() => self.end("SIGINT"),
                _ = hangup.recv() => self.reload(),
                () = sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => self.feed(Event::Woke),
                () = sleep_until(looked + WATCH) => {
                    looked = Instant::now();
                    self.crossings.keep(&self.kept, false);
                    self.workers.watch().into_iter().for_each(|line| self.log.line(line));
                }
            }
        }
        if let Some(reception) = self.reception.take() {
            // Whoever has asked for this very end, or for a handover, still hears the answer.
            reception.close().await;
        }
        if !self.succession.has_heir() {
            // The last client may have asked for this very end.
            let _ = std::fs::remove_file(&self.fleet.process.control);
        }
        self.crossings.keep(&self.kept, true);
        // They write their tables a last time.
        self.udp.end();
        if !self.kept.flush() {
            self.log.line("state: not all was written before the end");
        }
        self.succession.finish();
        self.log.line("ended");
        Ok(())
    }

    /// Takes clients on the control socket from now on.
    fn serve_clients(&mut self, clients: &mut Option<(Arc<UnixListener>, mpsc::Sender<Asked>)>) {
        let Some((socket, asked)) = clients.take() else { return };
        self.reception = Some(Reception::open(socket, asked, self.log.clone()));
        self.log.line(format!("control at {}", self.fleet.process.control.display()));
        let pid = std::process::id();
        notify(&format!("READY=1\nMAINPID={pid}"));
    }

    /// The plan's clock.
    pub fn now(&self) -> Millis {
        self.epoch.elapsed().as_millis() as Millis
    }

    /// Hands an event to the plan, and does what it says.
    pub fn feed(&mut self, event: Event<InstanceSpec>) {
        let mut events = VecDeque::from([event]);
        let mut steps = Vec::new();
        while let Some(event) = events.pop_front() {
            let now = self.now();
            self.plan.handle(now, event, &mut steps);
            for step in steps.drain(..) {
                events.extend(self.carry_out(step));
            }
        }
    }

    fn noted(&mut self, note: Note) -> Result<(), String> {
        match note {
            Note::Started(generation) => self.feed(Event::Started(generation)),
            Note::Told(generation, InstanceEvent::Ready) => self.feed(Event::Ready(generation)),
            Note::Told(generation, InstanceEvent::ListChanged) => self.keep_list(generation),
            Note::Told(generation, InstanceEvent::ListenerReleased) => {
                if let Some(life) = self.lives.get_mut(&generation).filter(|life| life.listens) {
                    life.listens = false;
                    self.listeners.give_back(&life.place);
                }
            }
            Note::List(generation, list) => self.listed(generation, list),
            Note::Ended(generation, ended) => {
                let life = self.lives.remove(&generation);
                self.feed(Event::Ended(
                    generation,
                    match ended {
                        ExitReason::Drained => End::Drained,
                        ExitReason::Overdue => End::Overdue,
                        ExitReason::Failed(reason) => End::Failed(reason),
                    },
                ));
                // Only now: whoever takes its place listens on the same socket.
                if let Some(life) = life.filter(|life| life.listens) {
                    self.listeners.give_back(&life.place);
                }
            }
            Note::StoodIn(place) => self.listeners.give_back(&place),
            Note::Bequeath(binary) => self.bequeath(binary),
            Note::Successor(result) => self.successor_ready(result),
            Note::Serves(pid, ids, result) => self.successor_serves(pid, ids, result),
            Note::Heard(Word::Cancel, _) => {
                return Err("the predecessor goes on; this process ends".to_owned());
            }
            Note::Heard(word, legacies) => {
                match Udp::start(&self.fleet.process, legacies, &self.kept) {
                    Ok(udp) => self.udp = udp,
                    Err(line) => self.log.line(line),
                }
                self.listeners.forget_adopted();
                self.feed(Event::OpenUp);
                if word == Word::Dead {
                    self.log.line("the predecessor has died: serving in its place");
                    self.feed(Event::Others(0));
                }
            }
            Note::Alone => self.feed(Event::Others(0)),
        }
        Ok(())
    }

    // --- Steps -----------------------------------------------------------------------------------------

    /// Carries out a step. What is known of its outcome at once comes back.
    fn carry_out(&mut self, step: Step<InstanceSpec>) -> Option<Event<InstanceSpec>> {
        match step {
            Step::Start { name, generation, spec, standby, sidecars, after: _ } => {
                let place = spec.place();
                self.launch(name, generation, spec, standby, sidecars)
                    .map_err(|error| {
                        Event::StartFailed(generation, format!("cannot listen on {place}: {error}"))
                    })
                    .err()
            }
            Step::Sidecars(generation, count) => {
                if let Some(life) = self.lives.get(&generation) {
                    life.control.set_sidecar_count(count);
                }
                None
            }
            Step::Open(generation) => {
                if let Some(life) = self.lives.get(&generation) {
                    life.control.open();
                }
                None
            }
            Step::Adjust(generation, spec) => {
                let Some(life) = self.lives.get_mut(&generation) else {
                    return Some(Event::Adjusted(generation, Err("it has ended".to_owned())));
                };
                if life.spec.discovery != spec.discovery {
                    life.control.watch_discovery(spec.discovery);
                }
                if life.spec.crossing != spec.crossing {
                    life.control.set_cross_zone_budget(self.crossings.of(&life.name, &spec, &self.kept));
                }
                self.grants.resize(&life.name, &spec);
                life.spec = spec;
                Some(Event::Adjusted(generation, Ok(())))
            }
            Step::Drain(generation, leave) => {
                self.drain(generation, leave);
                None
            }
            Step::Abandon(generation) => {
                if let Some(life) = self.lives.remove(&generation) {
                    life.task.abort();
                    if life.listens {
                        self.listeners.give_back(&life.place);
                    }
                }
                None
            }
            Step::StandIn(name, spec) => {
                if let Err(error) = self.stand_in(&name, &spec) {
                    Log::instance(&name).line(format!("its clients are not answered meanwhile: {error}"));
                }
                None
            }
            Step::StandDown(name) => {
                if let Some((stand_in, place)) = self.stand_ins.remove(&name) {
                    let shared = self.listeners.is_shared(&place) || self.succession.is_left(&place);
                    if !shared {
                        self.listeners.shut(&place);
                    }
                    stand_in.stop(shared);
                }
                None
            }
            Step::Tell(name, text) => {
                Log::instance(&name).line(text);
                None
            }
        }
    }

    fn launch(
        &mut self,
        name: Name,
        generation: Generation,
        spec: InstanceSpec,
        standby: bool,
        sidecars: u32,
    ) -> std::io::Result<()> {
        let place = spec.place();
        // Whoever runs needs descriptors more than one that is to start.
        let _spare = spare_descriptors(SPARE_DESCRIPTORS + self.plan.launching())?;
        let (listener, worker, address) = self.listeners.take(&place, &self.workers)?;
        let log = Log::instance(&name);
        let notes = self.notes.clone();
        let known = self.kept.list(&name);
        let (instance, control) = Instance::new(InstanceConfig {
            seed: spec.seed.unwrap_or_else(random_seed),
            discovery: spec.discovery,
            initial_host_list: known,
            handover_state: None,
            listener,
            budgets: self.grants.of(&name, &spec),
            request_ids: self.grants.request_ids(&name),
            cross_zone_budget: self.crossings.of(&name, &spec, &self.kept),
            log: log.clone(),
            events: EventSink::from_fn(move |told| notes.send(Note::Told(generation, told)).is_ok()),
            standby,
            // Instances come and go, so that numbers among them would change: names do not.
            settings: (*spec.settings).clone().with_identity_from_name(&name),
        });
        control.set_sidecar_count(sidecars);
        let word = LastWord { generation, notes: self.notes.clone(), said: false };
        let task = self.workers.spawn(worker, async move {
            let _ = word.notes.send(Note::Started(generation));
            let ended = instance.run().await;
            word.say(ended);
        });
        let Some(task) = task else {
            self.listeners.give_back(&place);
            return Err(std::io::Error::other("there is no such worker"));
        };
        if !standby {
            log.line(format!("listening on {address}"));
        }
        let life =
            Life { name, control, place, worker, task, spec, listens: true, listing: false, relist: false };
        self.lives.insert(generation, life);
        Ok(())
    }

    fn drain(&mut self, generation: Generation, leave: Leave) {
        let Some(life) = self.lives.get(&generation) else { return };
        let at_most = self.fleet.process.drain_at_most.max(life.control.longest_deadline() + LAST_MARGIN);
        let how = if leave == Leave::HandOver || self.succession.is_left(&life.place) {
            Drain::HandOver { linger: Duration::ZERO, max_duration: at_most }
        } else {
            let linger = if self.listeners.shut(&life.place) { HALF_IN } else { STILL_COMING };
            Drain::Close { linger, max_duration: at_most }
        };
        life.control.drain(how);
    }

    fn stand_in(&mut self, name: &Name, spec: &InstanceSpec) -> std::io::Result<()> {
        let place = spec.place();
        let (listener, worker, _) = self.listeners.take(&place, &self.workers)?;
        let budgets = self.grants.of(name, spec);
        let (stand_in, control) = StandIn::new(&spec.settings, listener, &budgets, Log::instance(name));
        let (notes, left) = (self.notes.clone(), place.clone());
        let spawned = self.workers.spawn(worker, async move {
            stand_in.run().await;
            let _ = notes.send(Note::StoodIn(left));
        });
        if spawned.is_none() {
            self.listeners.give_back(&place);
        }
        self.stand_ins.insert(name.clone(), (control, place));
        Ok(())
    }

    // --- Lists -----------------------------------------------------------------------------------------

    /// Asks for the list of a generation in a while, unless that is under way.
    fn keep_list(&mut self, generation: Generation) {
        let Some(life) = self.lives.get_mut(&generation) else { return };
        if std::mem::replace(&mut life.listing, true) {
            life.relist = true;
            return;
        }
        let (control, notes) = (life.control.clone(), self.notes.clone());
        tokio::spawn(async move {
            sleep(KEEP_LISTS).await;
            let list = control.host_list().await.ok();
            let _ = notes.send(Note::List(generation, list));
        });
    }

    fn listed(&mut self, generation: Generation, list: Option<HostList>) {
        let Some(life) = self.lives.get_mut(&generation) else { return };
        life.listing = false;
        let again = std::mem::take(&mut life.relist);
        let name = life.name.clone();
        if let Some(list) = list {
            self.kept.keep(name, &list);
        }
        if again {
            self.keep_list(generation);
        }
    }

    // --- The end, and what comes before ----------------------------------------------------------------

    fn end(&mut self, why: &str) {
        if self.succession.cancel() {
            self.log.line(format!("{why}: the upgrade is cancelled, then everything drains"));
        } else if self.succession.phase() != Phase::Draining {
            self.log.line(format!("{why}: finishing what is held"));
            self.drain_all();
        }
    }

    /// Drains everything; the process ends with the last.
    pub fn drain_all(&mut self) {
        self.succession.drain();
        notify("STOPPING=1");
        self.udp.close();
        self.feed(Event::DrainAll);
    }

    fn reload(&mut self) {
        for line in self.apply(false).1 {
            self.log.line(format!("SIGHUP: {line}"));
        }
    }

    // --- Handover: this process goes -------------------------------------------------------------------

    fn successor_ready(&mut self, result: Result<(Successor, Vec<Place>), String>) {
        match result {
            Err(reason) => self.upgrade_failed(&reason),
            Ok((mut successor, places)) => {
                if !self.succession.may_go(places) {
                    let reason = successor.end("the upgrade was cancelled");
                    return self.upgrade_failed(&reason);
                }
                let notes = self.notes.clone();
                let pid = successor.pid();
                // From here until the successor reads, datagrams wait in the sockets.
                let legacies = self.udp.freeze();
                let ids =
                    if successor.shares_ids() { self.grants.shared_ids(None) } else { SharedIds::new() };
                Peer::Successor.connect(&ids);
                std::thread::spawn(move || {
                    let result = successor.go(legacies);
                    if result.is_err() {
                        Peer::Successor.disconnect(&ids);
                    }
                    let _ = notes.send(Note::Serves(pid, ids, result));
                });
            }
        }
    }

    fn successor_serves(&mut self, pid: u32, ids: SharedIds, result: Result<Link, String>) {
        match result {
            Err(reason) => self.upgrade_failed(&reason),
            Ok(link) => {
                // The socket and the directory are the successor's: whoever hears the answer finds only that.
                if let Some(reception) = &mut self.reception {
                    reception.shut();
                }
                self.udp.end();
                self.kept.abandon();
                let exchange = IdExchange::start(link, Peer::Successor, ids, || ());
                let ends = self.succession.handed_over(pid, exchange);
                self.log.line(format!("handed over to process {pid}; finishing what is held"));
                if let (true, Some(pid)) = (ends, rustix::process::Pid::from_raw(pid as i32)) {
                    // Whoever ended this process meant the service.
                    let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
                }
                self.feed(Event::DrainAll);
            }
        }
    }

    fn upgrade_failed(&mut self, reason: &str) {
        self.log.line(format!("upgrade: {reason}; this process goes on"));
        self.udp.thaw();
        let Some(ends) = self.succession.failed(reason) else { return };
        self.feed(Event::Others(0));
        if ends {
            self.drain_all();
        }
    }

    // --- Handover: this process comes ------------------------------------------------------------------

    /// Tells the predecessor once everything that was ready there is ready here. Gives it back while it is not.
    fn offer(&mut self, mut predecessor: Predecessor) -> Result<Option<Predecessor>, String> {
        match self.succession.readiness(|name| self.plan.view(name)) {
            Readiness::Waiting => return Ok(Some(predecessor)),
            Readiness::Hopeless(text) => {
                predecessor.failed(&text);
                return Err(text);
            }
            Readiness::Ready => {}
        }
        let places: Vec<Place> = self.lives.values().map(|life| life.place.clone()).collect();
        let notes = self.notes.clone();
        let ids = self.grants.shared_ids(Some(self.succession.shares_ids()));
        // A thread of its own: it waits for as long as the predecessor takes.
        std::thread::spawn(move || {
            let (word, legacies) = predecessor.ready(&places);
            if word == Word::Go {
                // Before the first client is accepted.
                Peer::Predecessor.connect(&ids);
            }
            // The word first: it is heard before anyone is told that this process serves.
            let heard = notes.send(Note::Heard(word, legacies)).is_ok();
            if heard && word == Word::Go {
                let alone = move || drop(notes.send(Note::Alone));
                // It ends with the predecessor, however long that takes to drain.
                drop(IdExchange::start(predecessor.serving(), Peer::Predecessor, ids, alone));
            }
        });
        Ok(None)
    }
}

/// Tells that a generation has ended, also when nobody gets to say how.
struct LastWord {
    generation: Generation,
    notes: mpsc::UnboundedSender<Note>,
    said: bool,
}

impl LastWord {
    fn say(mut self, ended: ExitReason) {
        self.said = true;
        let _ = self.notes.send(Note::Ended(self.generation, ended));
    }
}

impl Drop for LastWord {
    fn drop(&mut self) {
        if !self.said {
            let ended = ExitReason::Failed("its thread has dropped it".to_owned());
            let _ = self.notes.send(Note::Ended(self.generation, ended));
        }
    }
}

/// So many descriptors, to see that they are there; they are free again when this is dropped.
fn spare_descriptors(count: usize) -> std::io::Result<Vec<OwnedFd>> {
    let stdin = rustix::stdio::stdin();
    (0..count).map(|_| Ok(rustix::io::fcntl_dupfd_cloexec(stdin, 0)?)).collect()
}

/// From the system's source, by way of the keys that the standard library draws for its maps.
fn random_seed() -> u64 {
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}
