//! The driver: owns the module, turns what happens into its events and carries out its actions in order.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::header::{self, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use sagemast_decide::Balancer;
use sagemast_decide::api::*;
use sagemast_decide::settings::{Column, Config as SettingsObject, report_from_text};
use sagemast_decide::snapshot::Snapshot;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use crate::budget::{Budgets, UpstreamPermit};
use crate::client_disconnect::WriteConditions;
use crate::connection::{Connection, Pool};
use crate::cross_zone_budget::CrossZoneBudget;
use crate::discovery::{AbortOnDrop, DiscoveryEvent, Watch};
use crate::handover::message::{HandoverState, ServerState, SettingNames};
use crate::headers::end_to_end;
use crate::hosts::HostList;
use crate::lifecycle;
use crate::log::Log;
use crate::messages::{
    AttemptEnd, AttemptInfo, ClientEvent, EventSink, FinalAnswer, ForwardedRequest, RequestArrival,
};
use crate::metrics::{Metrics, RequestOutcome};
use crate::request_bound::{Deadline, RequestState, bound};
use crate::servers::Servers;
use crate::transfer::request_body::AttemptBody;
use crate::transfer::upload::UploadState;
use crate::upstream::{Common, Source, UpstreamEvent, Wire, Writing, attempt, connect, probe};
use crate::watch_liveness::{self, WatchTimeouts};
use crate::write_check;

/// Once its time to connect is over an attempt is written within this or not at all: the rest of a turn in which much else
/// is to be done.
const WRITE_IN: Duration = Duration::from_millis(10);
/// A probe that has not come back in this share of the shortest aim says nothing: servers answer them beside
/// their queue, and by then the request that it was for has gone on.
const PROBE_SHARE: f64 = 0.5;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_millis(500);
/// Idle connections to an upstream that is not drawn from, and those beyond the one that was used last, are closed after this
/// time: upstreams hold so many and no more, and what one of many sidecars keeps for nothing another is turned away for.
/// Longer than a burst and a reading of an upstream's load last.
const SPARE: Duration = Duration::from_secs(2);
/// Idle connections are closed after this share of the time that upstreams keep them: one that is written to
/// just as the upstream closes it ends as a reset.
const IDLE_SHARE: f64 = 0.7;

/// What the owner of an instance asks of its driver.
pub enum InstanceCommand {
    /// Watch discovery here from now on; the list and the connections stay.
    WatchDiscovery(SocketAddr),
    /// There are so many sidecars from now on, this one included.
    SetSidecarCount(u32),
    /// Other budgets for traffic between zones are in force from now on, or none.
    SetCrossZoneBudget(Option<CrossZoneBudget>),
    /// A successor needs the connections: keep none that is idle from now on.
    Retire,
    /// Hand over the list of upstreams as it stands.
    GetHostList(oneshot::Sender<HostList>),
    /// Hand over what a successor goes on from.
    GetHandoverState(oneshot::Sender<HandoverState>),
    /// Tell others of the same sidecar what discovery tells, from now on.
    ForwardLists(mpsc::Sender<HostList>),
    /// Another process of the same sidecar was told this by discovery.
    PeerList(HostList),
    /// Fail, as a fault in the code would make it fail. Only the rig and tests ask for this.
    Panic,
}

/// Something that the driver is told.
pub enum DriverEvent {
    /// By clients.
    Client(ClientEvent),
    /// By connections to upstreams.
    Upstream(UpstreamEvent),
    /// By the discovery watch.
    Discovery(DiscoveryEvent),
    /// By the owner of the instance.
    Command(InstanceCommand),
}

impl From<ClientEvent> for DriverEvent {
    fn from(message: ClientEvent) -> DriverEvent {
        DriverEvent::Client(message)
    }
}

impl From<UpstreamEvent> for DriverEvent {
    fn from(message: UpstreamEvent) -> DriverEvent {
        DriverEvent::Upstream(message)
    }
}

impl From<DiscoveryEvent> for DriverEvent {
    fn from(message: DiscoveryEvent) -> DriverEvent {
        DriverEvent::Discovery(message)
    }
}

/// A send that has not ended.
struct Sent {
    flight: AttemptInfo,
    at: Instant,
    /// Dropped to give it up, once something is under way for it.
    give_up: Option<oneshot::Sender<()>>,
    /// Whether that was done.
    given_up: bool,
    /// Bytes of its body, as far as they are known.
    body: u64,
}

impl Sent {
    fn give_up(&mut self) {
        (self.give_up, self.given_up) = (None, true);
    }
}

/// A request without its final answer.
struct Open {
    id: Box<str>,
    class: ClassId,
    forward: Arc<ForwardedRequest>,
    reply: oneshot::Sender<FinalAnswer>,
    sends: u32,
    deadline: Deadline,
    /// By when its client should have the answer.
    aim_at: Instant,
    /// How long its client waits, from its last byte on.
    time_left: Duration,
    /// Set once its last byte has come, and with that it is taken.
    timer: Option<(Instant, u64)>,
}

enum Timer {
    Wake(u64),
    Backstop(RequestId),
    Sweep,
    /// Discovery was given its time to tell what it has.
    Current,
}

/// What the driver tells the owner of its instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceEvent {
    /// It has a list of upstreams, from discovery itself unless that keeps it waiting: `/up` answers 200.
    Ready,
    /// The list has changed.
    ListChanged,
    /// It has let its listener go: it accepts nobody any more.
    ListenerReleased,
}

/// What a driver is made of.
pub struct DriverConfig {
    /// The settings.
    pub settings: SettingsObject,
    /// For random numbers.
    pub seed: u64,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// What it may hold.
    pub budgets: Budgets,
    /// Budgets for traffic between zones, if there are any.
    pub cross_zone_budget: Option<CrossZoneBudget>,
    /// What it counts.
    pub metrics: Arc<Metrics>,
    /// Where it logs.
    pub log: Log,
    /// Whom it tells how it fares.
    pub events: EventSink<InstanceEvent>,
    /// How long it may go on.
    pub lifecycle: watch::Receiver<lifecycle::Lifecycle>,
}

/// The driver.
pub struct Driver {
    module: Balancer,
    settings: SettingsObject,
    columns: Vec<Column>,
    class_names: Vec<String>,
    /// By class: how soon its clients should have their answers.
    aims: Vec<Option<Duration>>,
    subscribed: bool,
    sidecars: u32,
    metrics: Arc<Metrics>,
    log: Log,
    budgets: Budgets,
    listener: EventSink<InstanceEvent>,
    life: watch::Receiver<lifecycle::Lifecycle>,
    inbox: mpsc::UnboundedReceiver<DriverEvent>,
    upstreams: EventSink<UpstreamEvent>,
    news: EventSink<DiscoveryEvent>,
    discovery: SocketAddr,
    /// How long a watch of it waits, and this sidecar's place among all that ask.
    times: WatchTimeouts,
    place: f64,
    /// Whether it has told something, or was given the time to.
    current: bool,
    /// Whether there is a list.
    has_list: bool,
    seq: u64,
    watch: Option<AbortOnDrop>,
    /// The number of the present watch.
    watches: u64,
    /// Who is told what it tells.
    followers: Option<mpsc::Sender<HostList>>,
    epoch: Instant,
    open: HashMap<RequestId, Open>,
    /// The ids that clients gave the open requests.
    ids: HashSet<Box<str>>,
    sent: BTreeMap<(RequestId, AttemptNo), Sent>,
    /// Requests that have their answer, which is still passing through.
    streams: HashMap<RequestId, ClassId>,
    /// What attempts share.
    common: Common,
    servers: Servers,
    /// How many of them are listed as draining.
    draining: usize,
    timers: BTreeMap<(Instant, u64), Timer>,
    next_timer: u64,
    /// Whether a sweep is to come.
    sweeping: bool,
    /// Whether idle connections are closed at once.
    retired: bool,
    probe_time: Duration,
    /// How long an attempt may take to get its connection, over all its tries.
    connect_time: Duration,
    actions: Vec<Action>,
}

impl Driver {
    /// A driver that knows the settings and nothing else, and the channel that leads to it.
    pub fn new(parts: DriverConfig) -> (Driver, mpsc::UnboundedSender<DriverEvent>) {
        let DriverConfig {
            settings,
            seed,
            discovery,
            budgets,
            cross_zone_budget: crossing,
            metrics,
            log,
            events: listener,
            lifecycle: life,
        } = parts;
        let (happenings, inbox) = mpsc::unbounded_channel();
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let mut told = settings.settings();
        // The module keeps one tick in hand before a key's window ends, since in the simulator a send is on
        // its way at once. Here it may first have to connect.
        let in_hand = settings.connect_timeout_ms() + WRITE_IN.as_secs_f64() * 1e3;
        told.limits.tick = told.limits.tick.max(in_hand);
        // What discovery has to tell counts as told after that long, whatever else the settings allow.
        if let Discovery::Subscribed { must_ask_in } = &mut told.discovery {
            *must_ask_in = must_ask_in.min(watch_liveness::TOLD.as_secs_f64() * 1e3);
        }
        let aims =
            told.classes.iter().map(|class| Duration::try_from_secs_f64(class.aim / 1e3).ok()).collect();
        let (subscribed, sidecars) = (matches!(told.discovery, Discovery::Subscribed { .. }), told.sidecars);
        let mut module = Balancer::new(told, seed);
        CrossZoneBudget::bring_into_force(crossing, &mut module, sidecars, 0.0);
        let common = Common {
            log: log.clone(),
            metrics: metrics.clone(),
            patience: Arc::default(),
            lengths: Arc::default(),
            transfers: budgets.transfers.clone(),
        };
        let driver = Driver {
            subscribed,
            sidecars,
            module,
            columns: settings.columns(),
            aims,
            class_names: settings.classes().into_iter().map(|form| form.name).collect(),
            metrics,
            log,
            budgets,
            listener,
            life,
            inbox,
            upstreams: EventSink::new(happenings.clone()),
            news: EventSink::new(happenings.clone()),
            discovery,
            times: match subscribed {
                true => WatchTimeouts::shared_service(),
                false => WatchTimeouts::local_agent(Duration::from_secs_f64(settings.drain_grace_ms() / 1e3)),
            },
            // A whole number below 2 to the power of 53 is one as a float, too.
            place: (seed >> 11) as f64 / (1u64 << 53) as f64,
            current: subscribed,
            has_list: false,
            seq: 0,
            watch: None,
            watches: 0,
            followers: None,
            epoch: Instant::now(),
            open: HashMap::new(),
            ids: HashSet::new(),
            sent: BTreeMap::new(),
            streams: HashMap::new(),
            common,
            servers: Servers::new(unix.map_or(0.0, |since| since.as_secs_f64() * 1e3)),
            draining: 0,
            timers: BTreeMap::new(),
            next_timer: 0,
            sweeping: false,
            retired: false,
            probe_time: Duration::from_secs_f64(settings.shortest_aim_ms() * PROBE_SHARE / 1e3),
            connect_time: Duration::from_secs_f64(settings.connect_timeout_ms() / 1e3),
            actions: Vec::new(),
            settings,
        };
        (driver, happenings)
    }

    /// Runs for good.
    pub async fn run(mut self, known: Option<HostList>, estate: Option<Box<HandoverState>>) {
        match estate.filter(|estate| !estate.list.hosts.is_empty()) {
            Some(estate) => self.inherit(&estate),
            None => {
                let known = known.unwrap_or(HostList { seq: 0, whole: true, hosts: Vec::new() });
                self.listed(&known, true);
            }
        }
        if !self.subscribed {
            self.watch();
            let first =
                watch_liveness::startup_wait(Duration::from_secs_f64(self.settings.shortest_aim_ms() / 1e3));
            self.set_timer(Instant::now() + first, Timer::Current);
        }
        loop {
            let due = self.timers.keys().next().map(|key| key.0);
            tokio::select! {
                biased;
                happening = self.inbox.recv() => match happening {
                    Some(happening) => self.happened(happening),
                    None => return,
                },
                Ok(()) = self.life.changed() => self.answer_before_the_end(),
                // An idle instance has no timer, and so costs nothing.
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
            }
            self.fire();
        }
    }

    /// Watches from here on in place of the watch before. What that one had on its way is dropped; the new
    /// one tells it again, since it goes on from the last version that was taken in.
    fn watch(&mut self) {
        self.watches += 1;
        let watch = Watch {
            address: self.discovery,
            id: self.watches,
            seq: self.seq,
            events: self.news.clone(),
            log: self.log.clone(),
            timeouts: self.times,
            spread_position: self.place,
            silent_since: None,
        };
        self.watch = Some(AbortOnDrop(if self.subscribed {
            tokio::spawn(watch.run_until_failure())
        } else {
            tokio::spawn(watch.run())
        }));
    }

    /// The module's clock.
    fn millis(&self, at: Instant) -> Millis {
        at.saturating_duration_since(self.epoch).as_secs_f64() * 1e3
    }

    fn set_timer(&mut self, at: Instant, timer: Timer) -> (Instant, u64) {
        self.next_timer += 1;
        let key = (at, self.next_timer);
        self.timers.insert(key, timer);
        key
    }

    /// Fires the timers that are due.
    fn fire(&mut self) {
        let now = Instant::now();
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                Timer::Wake(token) => self.event(Event::TimerFired(token)),
                Timer::Backstop(request) => {
                    // The module answers in time unless it is at fault or the process was held up.
                    self.finish(request, FinalAnswer::Failed);
                    self.leave(request);
                }
                Timer::Current => {
                    self.current = true;
                    self.tell_ready();
                }
                Timer::Sweep => {
                    let limit = self.idle_limit();
                    let spare = limit.min(SPARE);
                    for (id, pool) in self.servers.pools_by_id() {
                        let limit = if self.module.is_member(id) { limit } else { spare };
                        pool.sweep(limit, spare);
                    }
                    self.servers.forget(self.sent.values().map(|sent| sent.flight.upstream));
                    self.sweeping = false;
                    self.sweep_later();
                }
            }
        }
    }

    /// Looks through idle connections and the gone before long, if there are any.
    fn sweep_later(&mut self) {
        if !self.sweeping && self.servers.need_sweep() {
            self.sweeping = true;
            self.set_timer(Instant::now() + SWEEP, Timer::Sweep);
        }
    }

    fn idle_limit(&self) -> Duration {
        Duration::from_secs_f64(self.settings.keepalive_ms() * IDLE_SHARE / 1e3)
    }

    /// Hands an event to the module and does what it says.
    fn event(&mut self, event: Event) {
        let now = self.millis(Instant::now());
        let mut actions = std::mem::take(&mut self.actions);
        self.module.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
        let skipped = self.module.ejected_count() + self.draining;
        self.metrics.skipped.store(skipped as u64, Ordering::Relaxed);
    }

    fn happened(&mut self, happening: DriverEvent) {
        match happening {
            DriverEvent::Client(ClientEvent::Arrived(arrival)) => self.arrived(*arrival),
            DriverEvent::Client(ClientEvent::Disconnected(request)) => {
                if let Some(open) = self.close(request) {
                    self.log.trace(|| self.answer_line(&open, "none: its client has left"));
                    if open.timer.is_some() {
                        self.metrics.ended(open.class, RequestOutcome::Left);
                    }
                }
                self.leave(request);
            }
            DriverEvent::Upstream(message) => self.heard_of_upstream(message),
            DriverEvent::Discovery(message) => self.heard_of_list(message),
            DriverEvent::Command(InstanceCommand::WatchDiscovery(address)) => {
                self.discovery = address;
                self.watch();
            }
            DriverEvent::Command(InstanceCommand::SetSidecarCount(count)) => {
                self.sidecars = count;
                self.event(Event::SidecarCountChanged(count));
            }
            DriverEvent::Command(InstanceCommand::SetCrossZoneBudget(crossing)) => {
                let now = self.millis(Instant::now());
                CrossZoneBudget::bring_into_force(crossing, &mut self.module, self.sidecars, now);
            }
            DriverEvent::Command(InstanceCommand::Retire) => {
                self.retired = true;
                self.servers.pools().for_each(Pool::clear);
            }
            DriverEvent::Command(InstanceCommand::GetHostList(reply)) => {
                // Who asked may have gone.
                let _ = reply.send(self.servers.list(self.seq));
            }
            DriverEvent::Command(InstanceCommand::GetHandoverState(reply)) => {
                let _ = reply.send(self.estate());
            }
            DriverEvent::Command(InstanceCommand::ForwardLists(news)) => self.followers = Some(news),
            DriverEvent::Command(InstanceCommand::PeerList(list)) => self.heard_from_peer(&list),
            DriverEvent::Command(InstanceCommand::Panic) => panic!("told to fail"),
        }
    }

    fn heard_of_upstream(&mut self, message: UpstreamEvent) {
        match message {
            UpstreamEvent::Connected(flight, connection) => self.connected(flight, connection),
            UpstreamEvent::Ended { flight, end, wire } => self.ended(flight, end, wire),
            UpstreamEvent::Uploads(flight, fate) => self.uploads(flight, fate),
            UpstreamEvent::Streamed { request, came } => {
                if let Some(class) = self.streams.remove(&request) {
                    self.metrics.ended(class, came);
                }
            }
            UpstreamEvent::Idle { upstream, life, connection } => self.put_back(upstream, life, *connection),
            UpstreamEvent::Probed { upstream, answer } => {
                let answered = answer.as_ref().is_some_and(|answer| answer.status == 200);
                let text = answer.filter(|_| answered);
                let text = text.as_ref().and_then(|answer| std::str::from_utf8(answer.body.whole()?).ok());
                let report = text.and_then(|text| report_from_text(&self.columns, text));
                self.event(Event::ProbeFinished { upstream, answered, report });
            }
        }
    }

    fn heard_of_list(&mut self, message: DiscoveryEvent) {
        match message {
            DiscoveryEvent::ListReceived { watch, list } if watch == self.watches => {
                self.current = true;
                self.listed(&list, false);
                if let Some(followers) = &self.followers {
                    // Who does not keep up has a watch of its own.
                    let _ = followers.try_send(list);
                }
            }
            DiscoveryEvent::Failed { watch, seq } if watch == self.watches => {
                self.seq = seq;
                self.event(Event::ListReceived(ListUpdate::Unavailable));
            }
            // Of a watch that another has taken the place of.
            DiscoveryEvent::ListReceived { .. } | DiscoveryEvent::Failed { .. } => {}
        }
    }

    /// Takes in what discovery has told another process of this sidecar, if it has not told it here: to the rules
    /// both were told. The own version stays, since what lies between is still to come.
    fn heard_from_peer(&mut self, list: &HostList) {
        let own = self.seq;
        if list.seq > own {
            self.listed(list, false);
            self.seq = own;
        }
    }

    /// What a successor goes on from.
    fn estate(&self) -> HandoverState {
        let Snapshot { servers, all } = self.module.snapshot(self.millis(Instant::now()));
        let known = servers.into_iter().filter_map(|(id, memory)| {
            let host = &self.servers.get(UpstreamId(id))?.host;
            Some(ServerState { host: host.host.clone(), born_ms: host.born_ms, memory })
        });
        let list = self.servers.list(self.seq);
        HandoverState { names: SettingNames::of(&self.settings), list, all, servers: known.collect() }
    }

    /// Goes on from what a predecessor left.
    fn inherit(&mut self, estate: &HandoverState) {
        self.listed(&estate.list, true);
        let memory = estate.memory(|host, born| self.servers.number(host, born).map(|id| id.0));
        let now = self.millis(Instant::now());
        let learnt = match estate.names == SettingNames::of(&self.settings) {
            true => self.module.restore(now, &memory).map_err(|fault| fault.to_string()),
            false => Err("the settings name other things".to_owned()),
        };
        let count = self.servers.count();
        match learnt {
            Ok(()) => self.log.line(format!("handover: goes on from {count} upstreams and what was learnt")),
            Err(fault) => self.log.line(format!("handover: goes on from {count} upstreams only: {fault}")),
        }
    }

    fn arrived(&mut self, arrival: RequestArrival) {
        let RequestArrival { request, class, tenant, id, received_at: at, time_left, forward, reply } =
            arrival;
        // Upstreams know a request by its id. One that says it is another's would be taken for that one's
        // next attempt.
        if !self.ids.insert(id.clone()) {
            let _ = reply.send(FinalAnswer::Rejected(StatusCode::CONFLICT));
            return;
        }
        let uploads = forward.body.upload().is_some();
        let deadline = Deadline::new(at, time_left, None);
        let forward = Arc::new(forward);
        let aim = self.aims.get(class.0).copied().flatten().unwrap_or(time_left);
        let aim_at = at + aim.min(time_left);
        let open = Open { id, class, forward, reply, sends: 0, deadline, aim_at, time_left, timer: None };
        self.open.insert(request, open);
        if !uploads {
            self.taken(request, at);
        }
        let time_left = deadline.attempts_by().saturating_duration_since(Instant::now()).as_secs_f64() * 1e3;
        self.event(Event::RequestArrived { request, class, tenant, time_left });
    }

    /// The last byte of a request has come.
    fn taken(&mut self, request: RequestId, at: Instant) {
        let Some(open) = self.open.get(&request).filter(|open| open.timer.is_none()) else { return };
        // A process that ends has no more time than that: who comes late is answered while it lasts.
        let process_ends = self.life.borrow().answer_by();
        let deadline = Deadline::new(at, open.time_left, process_ends);
        self.metrics.taken(open.class);
        let timer = self.set_timer(bound(RequestState::Queued(deadline)).at, Timer::Backstop(request));
        if let Some(open) = self.open.get_mut(&request) {
            open.deadline = deadline;
            open.timer = Some(timer);
        }
    }

    /// Once the process is to end: whose client would wait for longer is answered while it lasts.
    fn answer_before_the_end(&mut self) {
        let Some(process_ends) = self.life.borrow_and_update().answer_by() else { return };
        let taken =
            self.open.iter().filter(|(_, open)| open.timer.is_some() && open.deadline.at() > process_ends);
        let shortened: Vec<RequestId> = taken.map(|(request, _)| *request).collect();
        for request in shortened {
            let Some(open) = self.open.get_mut(&request) else { continue };
            open.deadline = open.deadline.ending_by(process_ends);
            let (before, bound) = (open.timer.take(), bound(RequestState::Queued(open.deadline)));
            if let Some(timer) = before {
                self.timers.remove(&timer);
            }
            let timer = self.set_timer(bound.at, Timer::Backstop(request));
            if let Some(open) = self.open.get_mut(&request) {
                open.timer = Some(timer);
            }
        }
    }

    /// The body of an attempt is still coming, or has come.
    fn uploads(&mut self, flight: AttemptInfo, fate: UploadState) {
        let AttemptInfo { request, attempt, .. } = flight;
        if let UploadState::Whole(at) = fate {
            self.taken(request, at);
        }
        if self.sent.contains_key(&(request, attempt)) {
            self.event(Event::UploadProgress { request, attempt, in_progress: fate == UploadState::Coming });
        }
    }

    /// Tells the module that a request is over without it, and ends what is out for it.
    fn leave(&mut self, request: RequestId) {
        self.event(Event::ClientDisconnected(request));
        self.give_up_all(request);
    }

    fn give_up_all(&mut self, request: RequestId) {
        let first = (request, AttemptNo(0));
        for (_, sent) in self.sent.range_mut(first..=(request, AttemptNo(u32::MAX))) {
            sent.give_up();
        }
    }

    /// Takes a request off the books.
    fn close(&mut self, request: RequestId) -> Option<Open> {
        let open = self.open.remove(&request)?;
        if let Some(timer) = &open.timer {
            self.timers.remove(timer);
        }
        self.ids.remove(&open.id);
        Some(open)
    }

    /// Answers a request, if it is still owed one.
    fn finish(&mut self, request: RequestId, answer: FinalAnswer) -> bool {
        let Some(open) = self.close(request) else { return false };
        self.log.trace(|| {
            let said = match &answer {
                FinalAnswer::Served(..) => "served".to_owned(),
                FinalAnswer::Refused(after) => format!("refused retry_after_ms={after:.0}"),
                FinalAnswer::Failed => "failed".to_owned(),
                FinalAnswer::Rejected(status) => format!("rejected status={}", status.as_u16()),
            };
            self.answer_line(&open, &said)
        });
        // What never came whole was no request, unless it got an upstream's answer or a refusal all the same.
        match (&answer, open.timer) {
            (FinalAnswer::Rejected(_), None) => return open.reply.send(answer).is_ok(),
            (_, None) => self.metrics.taken(open.class),
            (_, Some(_)) => {}
        }
        match &answer {
            // It is served when its last byte has passed.
            FinalAnswer::Served(_, body) if body.is_stream() => {
                self.streams.insert(request, open.class);
            }
            FinalAnswer::Served(..) => self.metrics.ended(open.class, RequestOutcome::Served),
            FinalAnswer::Refused(_) => self.metrics.ended(open.class, RequestOutcome::Refused),
            FinalAnswer::Failed | FinalAnswer::Rejected(_) => {
                self.metrics.ended(open.class, RequestOutcome::Failed)
            }
        }
        // The client may have gone in this very moment.
        open.reply.send(answer).is_ok()
    }

    fn class_name(&self, class: ClassId) -> &str {
        self.class_names.get(class.0).map_or("?", String::as_str)
    }

    /// What the trace says of a request that is over.
    fn answer_line(&self, open: &Open, said: &str) -> String {
        let (class, now) = (self.class_name(open.class), self.millis(Instant::now()));
        format!(
            "answer request={} class={class} attempts={} at_ms={now:.1} answer={said}",
            open.id, open.sends
        )
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, upstream, timeout } => self.send(request, upstream, timeout),
            Action::Cancel { request, attempt } => {
                if let Some(sent) = self.sent.get_mut(&(request, attempt)) {
                    sent.give_up();
                }
            }
            Action::Refuse { request, retry_after } => {
                self.finish(request, FinalAnswer::Refused(retry_after));
            }
            Action::Fail(request) => {
                self.finish(request, FinalAnswer::Failed);
            }
            Action::Probe(upstream) => self.probe(upstream),
            Action::SetTimer { at, token } => {
                let after = Duration::try_from_secs_f64(at / 1e3).unwrap_or_default();
                let at = self.epoch.checked_add(after).unwrap_or_else(Instant::now);
                self.set_timer(at, Timer::Wake(token));
            }
            Action::Subscribe => self.watch(),
            Action::Log(text) => self.log.line(text),
        }
    }

    // --- Attempts ----------------------------------------------------------------------------

    fn send(&mut self, request: RequestId, upstream: UpstreamId, timeout: Millis) {
        let now = Instant::now();
        let Some(open) = self.open.get_mut(&request) else { return };
        let attempt = AttemptNo(open.sends);
        open.sends += 1;
        let body = open.forward.body.length().unwrap_or(0);
        let gone = open.forward.body.upload().is_some_and(|upload| !upload.can_be_sent());
        let timeout = Duration::try_from_secs_f64(timeout / 1e3).unwrap_or_default();
        let until = match now.checked_add(timeout) {
            Some(until) if !timeout.is_zero() => until.min(open.deadline.attempts_by()),
            _ => open.deadline.attempts_by(),
        };
        let (aim_at, deadline) = (open.aim_at, open.deadline.at());
        let incarnation = self.servers.get(upstream).map_or(0, |server| server.life);
        let connect_by = now + self.connect_time;
        let flight =
            AttemptInfo { request, attempt, upstream, incarnation, until, connect_by, aim_at, deadline };
        self.sent.insert((request, attempt), Sent { flight, at: now, give_up: None, given_up: false, body });
        if gone {
            // Its body has passed, and there is no other.
            return self.end_later(flight, Outcome::NotSent);
        }
        self.start(flight);
    }

    /// Whether an attempt may be written now.
    fn may_be_written(&self, flight: &AttemptInfo) -> Result<(), Outcome> {
        let sent = self.sent.get(&(flight.request, flight.attempt));
        write_check::verdict(&write_check::AttemptState {
            open: self.open.contains_key(&flight.request),
            given_up: sent.is_none_or(|sent| sent.given_up),
            time_is_up: Instant::now() >= flight.until,
            too_late: Instant::now() > flight.connect_by + WRITE_IN,
            upstream: self.servers.get(flight.upstream).map(|server| write_check::UpstreamState {
                same_life: server.life == flight.incarnation,
                serves: server.listing.lifecycle == Lifecycle::Serving,
            }),
        })
    }

    /// Gets a connection for an attempt: an idle one, or a new one.
    fn start(&mut self, flight: AttemptInfo) {
        if let Err(outcome) = self.may_be_written(&flight) {
            return self.end_later(flight, outcome);
        }
        let limit = self.idle_limit();
        let Some(server) = self.servers.get_mut(flight.upstream) else {
            return self.end_later(flight, Outcome::NotSent);
        };
        if let Some(connection) = server.pool.take(limit) {
            return self.write(flight, connection);
        }
        let dial = server.dial();
        // Out of sockets of our own: no fault of the upstream's.
        let Some(permit) = self.permit(dial) else { return self.end_later(flight, Outcome::NotSent) };
        let (give_up, given_up) = oneshot::channel();
        if let Some(sent) = self.sent.get_mut(&(flight.request, flight.attempt)) {
            sent.give_up = Some(give_up);
        }
        tokio::spawn(connect(dial, permit, flight, given_up, self.upstreams.clone()));
    }

    /// The right to one more connection; an idle one is closed for it if need be.
    fn permit(&mut self, dial: SocketAddr) -> Option<UpstreamPermit> {
        if let Some(permit) = self.budgets.permit(dial) {
            return Some(permit);
        }
        let pools = self.servers.pools();
        pools.filter(|pool| pool.oldest().is_some()).min_by_key(|pool| pool.oldest())?.drop_oldest();
        self.budgets.permit(dial)
    }

    fn connected(&mut self, flight: AttemptInfo, connection: Result<Box<Connection>, String>) {
        // While it connected, its time may have run out, the request may have ended or the upstream may have
        // begun to drain or to live anew: what is not written yet must not be.
        let verdict = self.may_be_written(&flight);
        match (connection, verdict) {
            (Ok(connection), Ok(())) => self.write(flight, *connection),
            (Ok(connection), Err(outcome)) => {
                self.put_back(flight.upstream, flight.incarnation, *connection);
                self.ended(flight, AttemptEnd::Outcome(outcome, None), Wire::default());
            }
            (Err(_), Err(Outcome::NotSent)) => {
                self.ended(flight, AttemptEnd::Outcome(Outcome::NotSent, None), Wire::default())
            }
            (Err(reason), _) => {
                let host = self.servers.get(flight.upstream).map_or("?", |server| &server.host.host);
                self.log.line(format!("upstream {host}: {reason}"));
                self.ended(flight, AttemptEnd::Outcome(Outcome::Unreachable, None), Wire::default());
            }
        }
    }

    /// Writes an attempt to a connection.
    fn write(&mut self, flight: AttemptInfo, connection: Connection) {
        let key = (flight.request, flight.attempt);
        let Some(open) = self.open.get(&flight.request) else {
            self.put_back(flight.upstream, flight.incarnation, connection);
            return self.end_later(flight, Outcome::NotSent);
        };
        let dial = self.servers.get(flight.upstream).map(|server| server.dial());
        let (request, body) = (outgoing(&open.forward, dial, flight.until), open.forward.body.clone());
        let terms = open.forward.client.clone().map(|client| WriteConditions { client, until: flight.until });
        let (give_up, given_up) = oneshot::channel();
        if let Some(sent) = self.sent.get_mut(&key) {
            sent.give_up = Some(give_up);
        }
        tokio::spawn(attempt(
            connection,
            Writing { request, body, terms },
            flight,
            given_up,
            self.common.clone(),
            self.upstreams.clone(),
        ));
    }

    /// Ends an attempt that never began, after the actions at hand.
    fn end_later(&self, flight: AttemptInfo, outcome: Outcome) {
        let (end, wire) = (AttemptEnd::Outcome(outcome, None), Wire::default());
        self.upstreams.send(UpstreamEvent::Ended { flight, end, wire });
    }

    fn ended(&mut self, flight: AttemptInfo, end: AttemptEnd, wire: Wire) {
        let key = (flight.request, flight.attempt);
        let (outcome, answer) = match end {
            AttemptEnd::Outcome(outcome, answer) => (outcome, answer),
            // Nothing was written: the same attempt goes on over another connection, if it still may.
            AttemptEnd::Stale => match self.may_be_written(&flight) {
                Ok(()) => return self.start(flight),
                Err(outcome) => (outcome, None),
            },
        };
        let Some(sent) = self.sent.remove(&key) else { return };
        self.log.trace(|| {
            let open = self.open.get(&flight.request);
            let (id, class) = open.map_or(("gone", "-"), |open| (&*open.id, self.class_name(open.class)));
            let host = self.servers.get(flight.upstream).map_or("?", |server| &server.host.host);
            format!(
                "attempt request={id} class={class} number={} upstream={host} port={} bytes={} sent_ms={:.1} took_ms={:.1} \
                 outcome={outcome:?} may_have_run={}",
                flight.attempt.0,
                wire.port,
                wire.bytes,
                self.millis(sent.at),
                sent.at.elapsed().as_secs_f64() * 1e3,
                outcome.may_have_run(),
            )
        });
        let fate = self.open.get(&flight.request).and_then(|open| Some(open.forward.body.upload()?.fate()));
        // A server begins with the last byte.
        let began = match fate {
            None => Some(sent.at),
            Some(UploadState::Whole(at)) => Some(at.max(sent.at)),
            Some(UploadState::Coming | UploadState::Broken(_)) => None,
        };
        let latency = began.map_or(0.0, |began| began.elapsed().as_secs_f64() * 1e3);
        let report = answer.as_ref().and_then(|answer| {
            let text = answer.headers.get("x-server-load").filter(|_| self.settings.reports_in_answers())?;
            report_from_text(&self.columns, text.to_str().ok()?)
        });
        let now = self.millis(Instant::now());
        if let Some(plan) = self.module.cross_zone_budget_mut() {
            let got = answer.as_ref().and_then(|answer| answer.body.length()).unwrap_or(0);
            plan.attempt_ended(now, flight.request, flight.attempt, outcome, [sent.body, got]);
        }
        // The first answer goes to the client by itself and ends the request; so does one that finds fault
        // with the request itself, which other upstreams would find as well.
        let mut client_answered = !self.open.contains_key(&flight.request);
        if let Some(UploadState::Broken(status)) = fate {
            client_answered = true;
            self.finish(flight.request, FinalAnswer::Rejected(status));
        }
        match (outcome, answer) {
            (Outcome::Ok, Some(answer)) => {
                self.finish(
                    flight.request,
                    FinalAnswer::Served(client_headers(&answer.headers), answer.body),
                );
                client_answered = true;
            }
            (Outcome::Cancelled, Some(answer)) => {
                self.finish(flight.request, FinalAnswer::Rejected(answer.status));
                client_answered = true;
            }
            _ => {}
        }
        self.event(Event::AttemptFinished(FinishedAttempt {
            request: flight.request,
            attempt: flight.attempt,
            upstream: flight.upstream,
            outcome,
            latency,
            client_answered,
            report,
        }));
    }

    fn put_back(&mut self, upstream: UpstreamId, life: u64, connection: Connection) {
        let Some(server) = self.servers.get_mut(upstream).filter(|_| !self.retired) else { return };
        if server.life == life && server.listing.lifecycle == Lifecycle::Serving && connection.is_usable() {
            server.pool.put(connection);
            self.sweep_later();
        }
    }

    fn probe(&mut self, upstream: UpstreamId) {
        let limit = self.idle_limit();
        let now = Instant::now();
        let nothing = UpstreamEvent::Probed { upstream, answer: None };
        let Some(server) = self.servers.get_mut(upstream) else {
            self.upstreams.send(nothing);
            return;
        };
        let (dial, life) = (server.dial(), server.life);
        let source = match server.pool.take(limit) {
            Some(connection) => Source::Idle(Box::new(connection)),
            None => match self.permit(dial) {
                Some(permit) => Source::Dial(dial, now + self.connect_time, permit),
                None => {
                    self.upstreams.send(nothing);
                    return;
                }
            },
        };
        let path = if self.columns.is_empty() { "/alive" } else { "/metrics/load" };
        let mut request = Request::new(AttemptBody::empty());
        *request.uri_mut() = Uri::from_static(path);
        if let Ok(host) = HeaderValue::from_str(&dial.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        tokio::spawn(probe(source, request, upstream, life, now + self.probe_time, self.upstreams.clone()));
    }

    /// Tells that it is ready, once it is.
    fn tell_ready(&self) {
        if self.has_list && self.current && !self.metrics.ready.swap(true, Ordering::Release) {
            self.listener.send(InstanceEvent::Ready);
        }
    }

    // --- The list ----------------------------------------------------------------------------

    fn listed(&mut self, list: &HostList, restored: bool) {
        self.seq = list.seq;
        let whole = list.whole || restored;
        let now = self.millis(Instant::now());
        let listings = self.servers.take(list, whole, &self.settings, now, &self.log);
        self.metrics.seq.store(self.seq, Ordering::Relaxed);
        self.metrics.upstreams.store(self.servers.count() as u64, Ordering::Relaxed);
        self.draining = self.servers.draining();
        self.sweep_later();
        if !listings.is_empty() || (whole && !restored) {
            self.has_list = true;
            self.tell_ready();
            self.listener.send(InstanceEvent::ListChanged);
        }
        self.event(Event::ListReceived(match (restored, whole) {
            (true, _) => ListUpdate::Restored(listings),
            (false, true) => ListUpdate::Complete(listings),
            (false, false) => ListUpdate::Changed(listings),
        }));
    }
}

/// The request as it goes to an upstream, but for its body.
fn outgoing(forward: &ForwardedRequest, dial: Option<SocketAddr>, until: Instant) -> Request<AttemptBody> {
    let mut request = Request::new(AttemptBody::empty());
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.target.clone();
    let mut headers = forward.headers.clone();
    // The application's own Host goes on with its other headers; HTTP/1.1 wants one in any case.
    let host = dial.filter(|_| !headers.contains_key(header::HOST));
    if let Some(host) = host.and_then(|dial| HeaderValue::from_str(&dial.to_string()).ok()) {
        headers.insert(header::HOST, host);
    }
    let left = until.saturating_duration_since(Instant::now()).as_millis().max(1) as u64;
    headers.insert("x-timeout-ms", HeaderValue::from(left));
    match forward.body.length() {
        Some(0) if forward.method == Method::GET => {}
        Some(length) => drop(headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length))),
        None => drop(headers.insert(header::TRANSFER_ENCODING, HeaderValue::from_static("chunked"))),
    }
    *request.headers_mut() = headers;
    request
}

/// An upstream's headers as they go on to the client.
fn client_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end(headers);
    kept.remove("x-server-load");
    kept
}

#[cfg(test)]
mod tests;
