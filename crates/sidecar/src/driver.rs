//! The driver of an instance: owns the decision module, translates what happens into its events and carries
//! out its actions in order.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::header::{self, HeaderValue};
use hyper::{HeaderMap, Method, Request, Uri};
use sagemast_decide::Balancer;
use sagemast_decide::api::{Lifecycle as ServerLifecycle, *};
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
use crate::headers::end_to_end_headers;
use crate::hosts::HostList;
use crate::lifecycle;
use crate::log::Log;
use crate::messages::{
    AttemptEnd, AttemptInfo, ClientEvent, EventSink, FinalAnswer, ForwardedRequest, RequestArrival,
};
use crate::metrics::{Metrics, RequestOutcome};
use crate::request_bound::{self, Deadline, RequestState};
use crate::servers::Servers;
use crate::transfer::request_body::AttemptBody;
use crate::transfer::upload::UploadState;
use crate::upstream::{
    AttemptContext, AttemptRequest, ProbeConnection, UpstreamEvent, WireUsage, connect_for_attempt,
    run_attempt, run_probe,
};
use crate::watch_liveness::{self, WatchTimeouts};
use crate::write_check;

/// An attempt that has not been written this long after its `connect_by` time is not written at all. The
/// grace time covers the events that the driver may handle before it handles the attempt's new connection.
const WRITE_GRACE: Duration = Duration::from_millis(10);
/// Probe timeout as a fraction of the shortest aim. Servers answer probes outside their queue, so a probe
/// does not wait behind requests, and by the end of the timeout the request that caused the probe has been
/// dispatched elsewhere.
const PROBE_TIMEOUT_FRACTION_OF_AIM: f64 = 0.5;
/// Interval between sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Idle limit for connections to upstreams outside the subset that requests are sent to, and for all but the
/// most recently used connection to any upstream. Upstreams accept a limited number of connections, so a
/// needless idle connection of one sidecar can make an upstream refuse another sidecar. The limit is longer
/// than a burst of requests lasts and longer than a load report of an upstream remains in use.
const SPARE_IDLE_LIMIT: Duration = Duration::from_secs(2);
/// Idle limit as a fraction of the upstreams' keep-alive time. A request written just as the upstream closes
/// the connection ends as a reset.
const IDLE_LIMIT_FRACTION_OF_KEEPALIVE: f64 = 0.7;

/// A command from the owner of an instance to its driver.
pub enum InstanceCommand {
    /// Watch discovery at this address from now on. The host list and the connections stay.
    WatchDiscovery(SocketAddr),
    /// Set the number of sidecars, this one included.
    SetSidecarCount(u32),
    /// Replace the budgets for cross-zone traffic, or remove them.
    SetCrossZoneBudget(Option<CrossZoneBudget>),
    /// Close all idle connections and keep none from now on, since a successor needs their permits.
    Retire,
    /// Send the current host list.
    GetHostList(oneshot::Sender<HostList>),
    /// Send the state from which a successor continues.
    GetHandoverState(oneshot::Sender<HandoverState>),
    /// Forward each list from discovery to the other processes of the same sidecar from now on.
    ForwardLists(mpsc::Sender<HostList>),
    /// Apply a list that another process of the same sidecar received from discovery.
    PeerList(HostList),
    /// Panic, as a bug would make the driver panic. Only the test program `sagemast-rig` and tests send this.
    Panic,
}

/// An event for the driver.
pub enum DriverEvent {
    /// An event on the client side.
    Client(ClientEvent),
    /// An event on a connection to an upstream.
    Upstream(UpstreamEvent),
    /// An event of the discovery watch.
    Discovery(DiscoveryEvent),
    /// A command from the owner of the instance.
    Command(InstanceCommand),
}

impl From<ClientEvent> for DriverEvent {
    fn from(event: ClientEvent) -> DriverEvent {
        DriverEvent::Client(event)
    }
}

impl From<UpstreamEvent> for DriverEvent {
    fn from(event: UpstreamEvent) -> DriverEvent {
        DriverEvent::Upstream(event)
    }
}

impl From<DiscoveryEvent> for DriverEvent {
    fn from(event: DiscoveryEvent) -> DriverEvent {
        DriverEvent::Discovery(event)
    }
}

/// An attempt that has not ended.
struct InFlightAttempt {
    info: AttemptInfo,
    started_at: Instant,
    /// Cancels the task that works on the attempt when dropped; `None` before there is a task.
    cancel_on_drop: Option<oneshot::Sender<()>>,
    cancelled: bool,
    /// Length of the request's body. An unknown length counts as 0.
    body_bytes: u64,
}

impl InFlightAttempt {
    fn cancel(&mut self) {
        (self.cancel_on_drop, self.cancelled) = (None, true);
    }
}

/// A request that has no final answer yet.
struct OpenRequest {
    /// The id that the client gave the request.
    id: Box<str>,
    class: ClassId,
    forward: Arc<ForwardedRequest>,
    reply: oneshot::Sender<FinalAnswer>,
    attempt_count: u32,
    /// When the final answer is due. For an upload that is not received, this is a lower bound.
    deadline: Deadline,
    /// When the client should have its answer.
    aim_at: Instant,
    /// How long the client waits, counted from the request's last byte.
    client_timeout: Duration,
    /// Whether the client has written the last byte of the request.
    received: bool,
    /// Key of the request's [`Timer::AnswerOverdue`].
    overdue_timer: (Instant, u64),
}

enum Timer {
    /// A timer of the decision module, with its token.
    DecisionModule(u64),
    /// The final answer to a request is overdue.
    AnswerOverdue(RequestId),
    /// Idle connections are due for a sweep.
    Sweep,
    /// The startup wait for a list from discovery has ended.
    StartupWait,
}

/// An event for the owner of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceEvent {
    /// The instance is ready and `/up` answers 200: the instance has a host list, and discovery has sent a
    /// list or the startup wait for one has ended.
    Ready,
    /// The host list has changed.
    ListChanged,
    /// The instance has released its listener and accepts no more connections.
    ListenerReleased,
}

/// Configuration of a driver.
pub struct DriverConfig {
    /// The settings object, from which the driver derives the [`Settings`] of the decision module.
    pub settings: SettingsObject,
    /// Seed for random numbers.
    pub seed: u64,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Limits on the resources that the instance may use.
    pub budgets: Budgets,
    /// Budgets for cross-zone traffic, if any.
    pub cross_zone_budget: Option<CrossZoneBudget>,
    /// Metrics to update.
    pub metrics: Arc<Metrics>,
    /// Log.
    pub log: Log,
    /// Receives events for the instance's owner.
    pub events: EventSink<InstanceEvent>,
    /// Lifecycle of the instance.
    pub lifecycle: watch::Receiver<lifecycle::Lifecycle>,
}

/// Owns the decision module of an instance, its connections to upstreams and its open requests.
pub struct Driver {
    /// The decision module.
    module: Balancer,
    settings_object: SettingsObject,
    report_columns: Vec<Column>,
    class_names: Vec<String>,
    /// For each class, the time within which clients should have their answers.
    aims: Vec<Option<Duration>>,
    /// Whether the decision module requests lists from a discovery service that all sidecars share. Otherwise
    /// an agent on this machine pushes them.
    subscribed: bool,
    sidecar_count: u32,
    metrics: Arc<Metrics>,
    log: Log,
    resource_budgets: Budgets,
    instance_events: EventSink<InstanceEvent>,
    lifecycle: watch::Receiver<lifecycle::Lifecycle>,
    inbox: mpsc::UnboundedReceiver<DriverEvent>,
    upstream_events: EventSink<UpstreamEvent>,
    discovery_events: EventSink<DiscoveryEvent>,
    discovery: SocketAddr,
    watch_timeouts: WatchTimeouts,
    /// Pseudo-random position of this sidecar, from 0 to 1, in the time over which all sidecars spread the
    /// reopening of unresponsive watches.
    spread_position: f64,
    /// Whether discovery has sent a list or the startup wait for one has ended. Always true if the decision
    /// module requests lists.
    discovery_settled: bool,
    has_list: bool,
    /// Version of the host list from which the watch continues. Lists of other processes do not change it.
    host_list_version: u64,
    /// The task of the current watch.
    watch: Option<AbortOnDrop>,
    /// Id of the current watch.
    watch_id: u64,
    /// Receives each list from discovery, for the other processes of this sidecar.
    list_forwarder: Option<mpsc::Sender<HostList>>,
    /// Start of the decision module's clock.
    epoch: Instant,
    open_requests: HashMap<RequestId, OpenRequest>,
    in_flight: BTreeMap<(RequestId, AttemptNo), InFlightAttempt>,
    /// Requests whose final answer is still being streamed to the client.
    streaming: HashMap<RequestId, ClassId>,
    attempt_context: AttemptContext,
    servers: Servers,
    /// Number of servers that are listed as draining.
    draining_count: usize,
    timers: BTreeMap<(Instant, u64), Timer>,
    /// Number of the timer that was set last.
    last_timer: u64,
    sweep_scheduled: bool,
    /// Whether connections are closed as soon as they are idle.
    retired: bool,
    probe_timeout: Duration,
    /// How long an attempt may take to get its connection, over all connections that it tries.
    connect_timeout: Duration,
    /// Buffer for the decision module's actions, reused for each event.
    actions: Vec<Action>,
}

impl Driver {
    /// Creates a driver without a host list, and the channel into which its events are sent.
    pub fn new(config: DriverConfig) -> (Driver, mpsc::UnboundedSender<DriverEvent>) {
        let DriverConfig {
            settings: settings_object,
            seed,
            discovery,
            budgets,
            cross_zone_budget,
            metrics,
            log,
            events,
            lifecycle,
        } = config;
        let (driver_events, inbox) = mpsc::unbounded_channel();
        let unix_time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let mut module_settings = settings_object.settings();
        // Servers discard repeats of an idempotency key only within a window, and the module starts no
        // attempt within one tick of the window's end. One tick suffices in the simulator, where an attempt
        // is sent at once. Here an attempt may first have to connect, so the tick is at least as long as that
        // may take.
        let send_delay_ms = settings_object.connect_timeout_ms() + WRITE_GRACE.as_secs_f64() * 1e3;
        module_settings.limits.tick = module_settings.limits.tick.max(send_delay_ms);
        // A change that the watch misses counts as received after `STALENESS_BOUND`, even if the settings
        // allow the module more time.
        if let Discovery::Subscribed { staleness_bound } = &mut module_settings.discovery {
            *staleness_bound = staleness_bound.min(watch_liveness::STALENESS_BOUND.as_secs_f64() * 1e3);
        }
        let aims = module_settings
            .classes
            .iter()
            .map(|class| Duration::try_from_secs_f64(class.aim / 1e3).ok())
            .collect();
        let subscribed = matches!(module_settings.discovery, Discovery::Subscribed { .. });
        let sidecar_count = module_settings.sidecars;
        let mut module = Balancer::new(module_settings, seed);
        CrossZoneBudget::apply_to(cross_zone_budget, &mut module, sidecar_count, 0.0);
        let attempt_context = AttemptContext {
            log: log.clone(),
            metrics: metrics.clone(),
            pauses: Arc::default(),
            answer_lengths: Arc::default(),
            buffers: budgets.buffers.clone(),
        };
        let driver = Driver {
            subscribed,
            sidecar_count,
            module,
            report_columns: settings_object.columns(),
            aims,
            class_names: settings_object.classes().into_iter().map(|class| class.name).collect(),
            metrics,
            log,
            resource_budgets: budgets,
            instance_events: events,
            lifecycle,
            inbox,
            upstream_events: EventSink::new(driver_events.clone()),
            discovery_events: EventSink::new(driver_events.clone()),
            discovery,
            watch_timeouts: match subscribed {
                true => WatchTimeouts::shared_service(),
                false => WatchTimeouts::local_agent(Duration::from_secs_f64(
                    settings_object.drain_grace_ms() / 1e3,
                )),
            },
            // The seed's upper 53 bits as a fraction. An integer below 2 to the power of 53 is exact as a
            // float.
            spread_position: (seed >> 11) as f64 / (1u64 << 53) as f64,
            discovery_settled: subscribed,
            has_list: false,
            host_list_version: 0,
            watch: None,
            watch_id: 0,
            list_forwarder: None,
            epoch: Instant::now(),
            open_requests: HashMap::new(),
            in_flight: BTreeMap::new(),
            streaming: HashMap::new(),
            attempt_context,
            servers: Servers::new(unix_time.map_or(0.0, |since_1970| since_1970.as_secs_f64() * 1e3)),
            draining_count: 0,
            timers: BTreeMap::new(),
            last_timer: 0,
            sweep_scheduled: false,
            retired: false,
            probe_timeout: Duration::from_secs_f64(
                settings_object.shortest_aim_ms() * PROBE_TIMEOUT_FRACTION_OF_AIM / 1e3,
            ),
            connect_timeout: Duration::from_secs_f64(settings_object.connect_timeout_ms() / 1e3),
            actions: Vec::new(),
            settings_object,
        };
        (driver, driver_events)
    }

    /// Runs until all senders of its channel are gone. Starts from a predecessor's state if there is one,
    /// else from `list`.
    pub async fn run(mut self, list: Option<HostList>, handover: Option<Box<HandoverState>>) {
        match handover.filter(|handover| !handover.list.hosts.is_empty()) {
            Some(handover) => self.restore_handover_state(&handover),
            None => {
                let list = list.unwrap_or(HostList { seq: 0, complete: true, hosts: Vec::new() });
                self.apply_list(&list, true);
            }
        }
        if !self.subscribed {
            self.start_watch();
            let wait = watch_liveness::startup_wait(Duration::from_secs_f64(
                self.settings_object.shortest_aim_ms() / 1e3,
            ));
            self.set_timer(Instant::now() + wait, Timer::StartupWait);
        }
        loop {
            let next_timer_at = self.timers.keys().next().map(|key| key.0);
            tokio::select! {
                biased;
                event = self.inbox.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                Ok(()) = self.lifecycle.changed() => self.shorten_deadlines_to_process_end(),
                // An idle instance has no timer and therefore never wakes up.
                () = sleep_until(next_timer_at.unwrap_or_else(Instant::now)), if next_timer_at.is_some() => {}
            }
            self.fire_due_timers();
        }
    }

    /// Starts a watch in place of the current one. Events of the old watch that are still queued are ignored;
    /// the new watch delivers their changes again, since it continues from `host_list_version`.
    fn start_watch(&mut self) {
        self.watch_id += 1;
        let watch = Watch {
            address: self.discovery,
            id: self.watch_id,
            seq: self.host_list_version,
            events: self.discovery_events.clone(),
            log: self.log.clone(),
            timeouts: self.watch_timeouts,
            spread_position: self.spread_position,
            unresponsive_since: None,
        };
        self.watch = Some(AbortOnDrop(if self.subscribed {
            tokio::spawn(watch.run_until_failure())
        } else {
            tokio::spawn(watch.run())
        }));
    }

    /// Converts to the module's clock, which counts from the driver's epoch.
    fn module_time(&self, at: Instant) -> Millis {
        at.saturating_duration_since(self.epoch).as_secs_f64() * 1e3
    }

    fn set_timer(&mut self, at: Instant, timer: Timer) -> (Instant, u64) {
        self.last_timer += 1;
        let key = (at, self.last_timer);
        self.timers.insert(key, timer);
        key
    }

    fn fire_due_timers(&mut self) {
        let now = Instant::now();
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                Timer::DecisionModule(token) => self.send_to_module(Event::TimerFired(token)),
                Timer::AnswerOverdue(request) => {
                    if !self.extend_upload_deadline(request) {
                        // The module decides in time unless it has a fault or the process was stalled.
                        self.finish_request(request, FinalAnswer::Failed);
                        self.abandon_request(request);
                    }
                }
                Timer::StartupWait => {
                    self.discovery_settled = true;
                    self.announce_readiness();
                }
                Timer::Sweep => {
                    let idle_limit = self.idle_limit();
                    let spare_limit = idle_limit.min(SPARE_IDLE_LIMIT);
                    for (id, pool) in self.servers.pools_by_id() {
                        let most_recent_limit =
                            if self.module.is_member(id) { idle_limit } else { spare_limit };
                        pool.sweep(most_recent_limit, spare_limit);
                    }
                    self.servers.remove_gone(self.in_flight.values().map(|attempt| attempt.info.upstream));
                    self.sweep_scheduled = false;
                    self.schedule_sweep();
                }
            }
        }
    }

    /// Schedules a sweep of idle connections and gone servers, if there are any.
    fn schedule_sweep(&mut self) {
        if !self.sweep_scheduled && self.servers.needs_sweep() {
            self.sweep_scheduled = true;
            self.set_timer(Instant::now() + SWEEP_INTERVAL, Timer::Sweep);
        }
    }

    fn idle_limit(&self) -> Duration {
        Duration::from_secs_f64(self.settings_object.keepalive_ms() * IDLE_LIMIT_FRACTION_OF_KEEPALIVE / 1e3)
    }

    /// Passes an event to the module and carries out the actions that it returns.
    fn send_to_module(&mut self, event: Event) {
        let now = self.module_time(Instant::now());
        let mut actions = std::mem::take(&mut self.actions);
        self.module.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
        let avoided = self.module.ejected_count() + self.draining_count;
        self.metrics.avoided_upstreams.store(avoided as u64, Ordering::Relaxed);
    }

    fn handle_event(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::Client(ClientEvent::Arrived(arrival)) => self.handle_arrival(*arrival),
            DriverEvent::Client(ClientEvent::Disconnected(request)) => {
                if let Some(open) = self.remove_request(request) {
                    self.log.trace(|| self.answer_trace(&open, "none: its client has left"));
                    // A request that was not completely received is not counted.
                    if open.received {
                        self.metrics.count_outcome(open.class, RequestOutcome::ClientDisconnected);
                    }
                }
                self.abandon_request(request);
            }
            DriverEvent::Upstream(event) => self.handle_upstream_event(event),
            DriverEvent::Discovery(event) => self.handle_discovery_event(event),
            DriverEvent::Command(InstanceCommand::WatchDiscovery(address)) => {
                self.discovery = address;
                self.start_watch();
            }
            DriverEvent::Command(InstanceCommand::SetSidecarCount(count)) => {
                self.sidecar_count = count;
                self.send_to_module(Event::SidecarCountChanged(count));
            }
            DriverEvent::Command(InstanceCommand::SetCrossZoneBudget(budget)) => {
                let now = self.module_time(Instant::now());
                CrossZoneBudget::apply_to(budget, &mut self.module, self.sidecar_count, now);
            }
            DriverEvent::Command(InstanceCommand::Retire) => {
                self.retired = true;
                self.servers.pools().for_each(Pool::close_all);
            }
            DriverEvent::Command(InstanceCommand::GetHostList(reply)) => {
                // The receiver may have been dropped.
                let _ = reply.send(self.servers.to_host_list(self.host_list_version));
            }
            DriverEvent::Command(InstanceCommand::GetHandoverState(reply)) => {
                let _ = reply.send(self.handover_state());
            }
            DriverEvent::Command(InstanceCommand::ForwardLists(forwarder)) => {
                self.list_forwarder = Some(forwarder)
            }
            DriverEvent::Command(InstanceCommand::PeerList(list)) => self.apply_peer_list(&list),
            DriverEvent::Command(InstanceCommand::Panic) => panic!("panic requested by the instance's owner"),
        }
    }

    fn handle_upstream_event(&mut self, event: UpstreamEvent) {
        match event {
            UpstreamEvent::Connected { attempt, result } => self.handle_connect_result(attempt, result),
            UpstreamEvent::Ended { attempt, end, wire } => self.handle_attempt_end(attempt, end, wire),
            UpstreamEvent::UploadStateChanged(attempt, state) => self.handle_upload_state(attempt, state),
            UpstreamEvent::AnswerProgress(attempt, progress) => {
                self.handle_answer_progress(attempt, progress)
            }
            UpstreamEvent::StreamEnded { request, outcome } => {
                if let Some(class) = self.streaming.remove(&request) {
                    self.metrics.count_outcome(class, outcome);
                }
            }
            UpstreamEvent::Idle { upstream, incarnation, connection } => {
                self.return_connection(upstream, incarnation, *connection)
            }
            UpstreamEvent::ProbeEnded { upstream, incarnation, answer } => {
                // An answer of the process before says nothing about the present one.
                let answer = answer.filter(|_| self.is_current_incarnation(upstream, incarnation));
                let answered = answer.as_ref().is_some_and(|answer| answer.status == 200);
                let answer = answer.filter(|_| answered);
                let text =
                    answer.as_ref().and_then(|answer| std::str::from_utf8(answer.body.buffered()?).ok());
                let report = text.and_then(|text| report_from_text(&self.report_columns, text));
                self.send_to_module(Event::ProbeFinished { upstream, answered, report });
            }
        }
    }

    fn handle_discovery_event(&mut self, event: DiscoveryEvent) {
        match event {
            DiscoveryEvent::ListReceived { watch, list } if watch == self.watch_id => {
                self.discovery_settled = true;
                self.apply_list(&list, false);
                if let Some(forwarder) = &self.list_forwarder {
                    // A process that misses a forwarded list receives it over its own watch.
                    let _ = forwarder.try_send(list);
                }
            }
            DiscoveryEvent::Failed { watch, seq } if watch == self.watch_id => {
                self.host_list_version = seq;
                // The module gets the failure as a list update.
                self.send_to_module(Event::ListReceived(ListUpdate::Unavailable));
            }
            // These come from a watch that has been replaced.
            DiscoveryEvent::ListReceived { .. } | DiscoveryEvent::Failed { .. } => {}
        }
    }

    /// Applies a list that discovery sent to another process of this sidecar, if it is newer than the list of
    /// this process: a change counts as received by the sidecar once one of its processes has it. The version
    /// of this process stays, since its own watch still has to deliver the changes in between.
    fn apply_peer_list(&mut self, list: &HostList) {
        let own_version = self.host_list_version;
        if list.seq > own_version {
            self.apply_list(list, false);
            self.host_list_version = own_version;
        }
    }

    /// The state from which a successor continues.
    fn handover_state(&self) -> HandoverState {
        let Snapshot { servers, all: overall_estimates } =
            self.module.snapshot(self.module_time(Instant::now()));
        let server_states = servers.into_iter().filter_map(|(id, snapshot)| {
            let host = &self.servers.get(UpstreamId(id))?.host;
            Some(ServerState { host: host.name.clone(), started_ms: host.started_ms, snapshot })
        });
        let list = self.servers.to_host_list(self.host_list_version);
        HandoverState {
            names: SettingNames::from_settings(&self.settings_object),
            list,
            shared: overall_estimates,
            servers: server_states.collect(),
        }
    }

    /// Continues from a predecessor's state.
    fn restore_handover_state(&mut self, state: &HandoverState) {
        self.apply_list(&state.list, true);
        let snapshot = state.snapshot(|host, started_ms| self.servers.id_of(host, started_ms).map(|id| id.0));
        let now = self.module_time(Instant::now());
        let estimates_restored = match state.names == SettingNames::from_settings(&self.settings_object) {
            true => self.module.restore(now, &snapshot).map_err(|fault| fault.to_string()),
            false => {
                Err("classes, tenants, zones or kinds differ from the predecessor's settings".to_owned())
            }
        };
        let count = self.servers.count();
        match estimates_restored {
            Ok(()) => self.log.line(format!("handover: goes on from {count} upstreams and what was learnt")),
            Err(fault) => self.log.line(format!("handover: goes on from {count} upstreams only: {fault}")),
        }
    }

    fn handle_arrival(&mut self, arrival: RequestArrival) {
        let RequestArrival {
            request,
            class,
            tenant,
            id,
            received_at,
            time_left: client_timeout,
            forward,
            reply,
        } = arrival;
        let is_upload = forward.body.upload().is_some();
        let deadline = Deadline::new(received_at, client_timeout, None);
        let forward = Arc::new(forward);
        let aim = self.aims.get(class.0).copied().flatten().unwrap_or(client_timeout);
        let aim_at = received_at + aim.min(client_timeout);
        let overdue_timer = self.set_overdue_timer(request, deadline);
        let open = OpenRequest {
            id,
            class,
            forward,
            reply,
            attempt_count: 0,
            deadline,
            aim_at,
            client_timeout,
            received: false,
            overdue_timer,
        };
        self.open_requests.insert(request, open);
        if !is_upload {
            self.mark_received(request, received_at);
        }
        let time_left =
            deadline.attempts_due_by().saturating_duration_since(Instant::now()).as_secs_f64() * 1e3;
        self.send_to_module(Event::RequestArrived { request, class, tenant, time_left });
    }

    /// Sets the timer at which a request is answered as failed if it has no answer by then.
    fn set_overdue_timer(&mut self, request: RequestId, deadline: Deadline) -> (Instant, u64) {
        let bound = request_bound::bound(RequestState::Queued(deadline));
        self.set_timer(bound.at, Timer::AnswerOverdue(request))
    }

    /// Changes the deadline of an open request.
    fn set_deadline(&mut self, request: RequestId, deadline: Deadline) {
        let overdue_timer = self.set_overdue_timer(request, deadline);
        if let Some(open) = self.open_requests.get_mut(&request) {
            open.deadline = deadline;
            let old_timer = std::mem::replace(&mut open.overdue_timer, overdue_timer);
            self.timers.remove(&old_timer);
        }
    }

    /// Counts a request as received and sets its deadline, now that its last byte has been written.
    fn mark_received(&mut self, request: RequestId, received_at: Instant) {
        let Some(open) = self.open_requests.get_mut(&request).filter(|open| !open.received) else { return };
        open.received = true;
        // A request that arrives shortly before the process ends is answered before the end.
        let answers_due_by = self.lifecycle.borrow().answers_due_by();
        let deadline = Deadline::new(received_at, open.client_timeout, answers_due_by);
        self.metrics.count_accepted(open.class);
        self.set_deadline(request, deadline);
    }

    /// Extends the deadline of an upload whose client may not have had its time since it wrote the last byte.
    /// Returns whether the deadline was extended.
    fn extend_upload_deadline(&mut self, request: RequestId) -> bool {
        let Some(open) = self.open_requests.get(&request).filter(|open| !open.received) else { return false };
        let Some(upload) = open.forward.body.upload() else { return false };
        upload.observe_client();
        let deadline = Deadline::new(upload.last_incomplete_at(), open.client_timeout, None);
        let extended = deadline.at() > open.deadline.at();
        if extended {
            self.set_deadline(request, deadline);
        }
        extended
    }

    /// Marks the uploads as received whose clients have written the last byte.
    fn mark_written_uploads(&mut self) {
        let mut written = Vec::new();
        for (request, open) in self.open_requests.iter().filter(|(_, open)| !open.received) {
            let Some(upload) = open.forward.body.upload() else { continue };
            upload.observe_client();
            if upload.state() == UploadState::Written {
                written.push((*request, upload.last_incomplete_at()));
            }
        }
        for (request, written_at) in written {
            self.mark_received(request, written_at);
        }
    }

    /// Shortens the deadlines of received requests to the time by which all answers are due before the
    /// process ends, once that time is known. Other requests get their deadlines when they are received.
    fn shorten_deadlines_to_process_end(&mut self) {
        let Some(answers_due_by) = self.lifecycle.borrow_and_update().answers_due_by() else { return };
        self.mark_written_uploads();
        let too_late = self
            .open_requests
            .iter()
            .filter(|(_, open)| open.received && open.deadline.at() > answers_due_by)
            .map(|(request, open)| (*request, open.deadline.capped_at(answers_due_by)));
        for (request, deadline) in too_late.collect::<Vec<_>>() {
            self.set_deadline(request, deadline);
        }
    }

    /// Handles a change in the upload that an attempt forwards.
    fn handle_upload_state(&mut self, attempt: AttemptInfo, state: UploadState) {
        let AttemptInfo { request, number, .. } = attempt;
        if matches!(state, UploadState::Written | UploadState::Complete(_)) {
            let upload = self.open_requests.get(&request).and_then(|open| open.forward.body.upload());
            if let Some(written_at) = upload.map(|upload| upload.last_incomplete_at()) {
                self.mark_received(request, written_at);
            }
        }
        if self.in_flight.contains_key(&(request, number)) {
            // Once the client has written everything, only the server is waited for.
            let in_progress = state == UploadState::Receiving;
            self.send_to_module(Event::UploadProgress { request, attempt: number, in_progress });
        }
    }

    /// Passes on to the module how the answer of an attempt goes on.
    fn handle_answer_progress(&mut self, attempt: AttemptInfo, progress: AnswerProgress) {
        let AttemptInfo { request, number, .. } = attempt;
        if self.in_flight.contains_key(&(request, number)) {
            self.send_to_module(Event::AnswerProgress { request, attempt: number, progress });
        }
    }

    /// Notifies the module that a request has ended without its decision, and cancels the request's attempts.
    /// The event only means that no answer is owed any more; the client may still be connected.
    fn abandon_request(&mut self, request: RequestId) {
        self.send_to_module(Event::ClientDisconnected(request));
        self.cancel_attempts(request);
    }

    fn cancel_attempts(&mut self, request: RequestId) {
        let first = (request, AttemptNo(0));
        for (_, attempt) in self.in_flight.range_mut(first..=(request, AttemptNo(u32::MAX))) {
            attempt.cancel();
        }
    }

    /// Removes an open request with its overdue timer.
    fn remove_request(&mut self, request: RequestId) -> Option<OpenRequest> {
        let open = self.open_requests.remove(&request)?;
        self.timers.remove(&open.overdue_timer);
        Some(open)
    }

    /// Sends the final answer to a request, if it is still open. Returns whether the client's side received
    /// it.
    fn finish_request(&mut self, request: RequestId, answer: FinalAnswer) -> bool {
        let Some(open) = self.remove_request(request) else { return false };
        self.log.trace(|| {
            let description = match &answer {
                FinalAnswer::Served(..) => "served".to_owned(),
                FinalAnswer::Refused(after) => format!("refused retry_after_ms={after:.0}"),
                FinalAnswer::Failed => "failed".to_owned(),
                FinalAnswer::Rejected(status) => format!("rejected status={}", status.as_u16()),
            };
            self.answer_trace(&open, &description)
        });
        match (&answer, open.received) {
            // A request that is rejected before all of it was received does not count as accepted.
            (FinalAnswer::Rejected(_), false) => return open.reply.send(answer).is_ok(),
            // A request with any other final answer does, even if its body never arrived completely.
            (_, false) => self.metrics.count_accepted(open.class),
            // A received request has been counted.
            (_, true) => {}
        }
        match &answer {
            // A streamed answer counts as served once its last byte was passed on.
            FinalAnswer::Served(_, body) if body.is_stream() => {
                self.streaming.insert(request, open.class);
            }
            FinalAnswer::Served(..) => self.metrics.count_outcome(open.class, RequestOutcome::Served),
            FinalAnswer::Refused(_) => self.metrics.count_outcome(open.class, RequestOutcome::Refused),
            FinalAnswer::Failed | FinalAnswer::Rejected(_) => {
                self.metrics.count_outcome(open.class, RequestOutcome::Failed)
            }
        }
        // The client may have disconnected just now.
        open.reply.send(answer).is_ok()
    }

    fn class_name(&self, class: ClassId) -> &str {
        self.class_names.get(class.0).map_or("?", String::as_str)
    }

    /// The trace line for a request that has ended.
    fn answer_trace(&self, open: &OpenRequest, answer: &str) -> String {
        let (class, now) = (self.class_name(open.class), self.module_time(Instant::now()));
        format!(
            "answer request={} class={class} attempts={} at_ms={now:.1} answer={answer}",
            open.id, open.attempt_count
        )
    }

    /// Carries out an action of the module.
    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, upstream, timeout } => self.start_attempt(request, upstream, timeout),
            Action::Cancel { request, attempt } => {
                if let Some(in_flight) = self.in_flight.get_mut(&(request, attempt)) {
                    in_flight.cancel();
                }
            }
            Action::Refuse { request, retry_after } => {
                self.finish_request(request, FinalAnswer::Refused(retry_after));
            }
            Action::Fail(request) => {
                self.finish_request(request, FinalAnswer::Failed);
            }
            Action::Probe(upstream) => self.start_probe(upstream),
            Action::SetTimer { at, token } => {
                let since_epoch = Duration::try_from_secs_f64(at / 1e3).unwrap_or_default();
                let at = self.epoch.checked_add(since_epoch).unwrap_or_else(Instant::now);
                self.set_timer(at, Timer::DecisionModule(token));
            }
            Action::Subscribe => self.start_watch(),
            Action::Log(text) => self.log.line(text),
        }
    }

    // --- Attempts ----------------------------------------------------------------------------

    fn start_attempt(&mut self, request: RequestId, upstream: UpstreamId, timeout: Millis) {
        let now = Instant::now();
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        let number = AttemptNo(open.attempt_count);
        open.attempt_count += 1;
        let body_bytes = open.forward.body.length().unwrap_or(0);
        let upload_is_consumed = open.forward.body.upload().is_some_and(|upload| !upload.is_sendable());
        let timeout = Duration::try_from_secs_f64(timeout / 1e3).unwrap_or_default();
        let attempt_deadline = match now.checked_add(timeout) {
            Some(deadline) if !timeout.is_zero() => deadline.min(open.deadline.attempts_due_by()),
            _ => open.deadline.attempts_due_by(),
        };
        let (aim_at, client_deadline, client_timeout) =
            (open.aim_at, open.deadline.at(), open.client_timeout);
        let incarnation = self.servers.get(upstream).map_or(0, |server| server.incarnation);
        let connect_by = now + self.connect_timeout;
        let attempt = AttemptInfo {
            request,
            number,
            upstream,
            incarnation,
            attempt_deadline,
            connect_by,
            aim_at,
            client_deadline,
            client_timeout,
        };
        let in_flight = InFlightAttempt {
            info: attempt,
            started_at: now,
            cancel_on_drop: None,
            cancelled: false,
            body_bytes,
        };
        self.in_flight.insert((request, number), in_flight);
        if upload_is_consumed {
            // An earlier attempt has consumed the upload, which cannot be sent again.
            return self.queue_attempt_end(attempt, Outcome::NotSent);
        }
        self.acquire_connection(attempt);
    }

    /// Whether an attempt may be written now, and its outcome if not.
    fn check_write(&self, attempt: &AttemptInfo) -> Result<(), Outcome> {
        let in_flight = self.in_flight.get(&(attempt.request, attempt.number));
        write_check::check(&write_check::AttemptState {
            request_open: self.open_requests.contains_key(&attempt.request),
            cancelled: in_flight.is_none_or(|in_flight| in_flight.cancelled),
            timed_out: Instant::now() >= attempt.attempt_deadline,
            connect_timed_out: Instant::now() > attempt.connect_by + WRITE_GRACE,
            upstream: self.servers.get(attempt.upstream).map(|server| write_check::UpstreamState {
                same_incarnation: server.incarnation == attempt.incarnation,
                is_serving: server.listing.lifecycle == ServerLifecycle::Serving,
            }),
        })
    }

    /// Acquires a connection for an attempt: an idle one, or a new one.
    fn acquire_connection(&mut self, attempt: AttemptInfo) {
        if let Err(outcome) = self.check_write(&attempt) {
            return self.queue_attempt_end(attempt, outcome);
        }
        let idle_limit = self.idle_limit();
        let Some(server) = self.servers.get_mut(attempt.upstream) else {
            return self.queue_attempt_end(attempt, Outcome::NotSent);
        };
        if let Some(connection) = server.pool.take(idle_limit) {
            return self.write_attempt(attempt, connection);
        }
        let address = server.address();
        // A lack of permits on this side must not count against the upstream.
        let Some(permit) = self.connection_permit(address) else {
            return self.queue_attempt_end(attempt, Outcome::NotSent);
        };
        let (cancel_on_drop, cancelled) = oneshot::channel();
        if let Some(in_flight) = self.in_flight.get_mut(&(attempt.request, attempt.number)) {
            in_flight.cancel_on_drop = Some(cancel_on_drop);
        }
        let events = self.upstream_events.clone();
        tokio::spawn(connect_for_attempt(address, permit, attempt, cancelled, events));
    }

    /// A permit for one more connection. If none is available, the connection that has been idle longest is
    /// closed for it.
    fn connection_permit(&mut self, address: SocketAddr) -> Option<UpstreamPermit> {
        if let Some(permit) = self.resource_budgets.upstream_permit(address) {
            return Some(permit);
        }
        let pools = self.servers.pools().filter(|pool| pool.oldest_idle_since().is_some());
        pools.min_by_key(|pool| pool.oldest_idle_since())?.close_oldest();
        self.resource_budgets.upstream_permit(address)
    }

    fn handle_connect_result(&mut self, attempt: AttemptInfo, result: Result<Box<Connection>, String>) {
        // While the attempt was connecting, it may have timed out, the request may have ended, or the
        // upstream may have begun to drain or restarted.
        let write_check = self.check_write(&attempt);
        match (result, write_check) {
            (Ok(connection), Ok(())) => self.write_attempt(attempt, *connection),
            // No action is being carried out, so the end of an attempt need not be queued here.
            (Ok(connection), Err(outcome)) => {
                self.return_connection(attempt.upstream, attempt.incarnation, *connection);
                self.handle_attempt_end(attempt, AttemptEnd::Outcome(outcome, None), WireUsage::default());
            }
            // The request is over or the attempt cancelled: the failure must not count against the upstream.
            (Err(_), Err(Outcome::NotSent)) => {
                let end = AttemptEnd::Outcome(Outcome::NotSent, None);
                self.handle_attempt_end(attempt, end, WireUsage::default())
            }
            (Err(reason), _) => {
                let host = self.servers.get(attempt.upstream).map_or("?", |server| &server.host.name);
                self.log.line(format!("upstream {host}: {reason}"));
                let end = AttemptEnd::Outcome(Outcome::Unreachable, None);
                self.handle_attempt_end(attempt, end, WireUsage::default());
            }
        }
    }

    /// Starts writing an attempt to a connection.
    fn write_attempt(&mut self, attempt: AttemptInfo, connection: Connection) {
        let key = (attempt.request, attempt.number);
        let Some(open) = self.open_requests.get(&attempt.request) else {
            self.return_connection(attempt.upstream, attempt.incarnation, connection);
            return self.queue_attempt_end(attempt, Outcome::NotSent);
        };
        let address = self.servers.get(attempt.upstream).map(|server| server.address());
        let head = upstream_request(&open.forward, address, attempt.attempt_deadline);
        let body = open.forward.body.clone();
        let lease = open.forward.id_lease.begin_attempt();
        let client = open.forward.client.clone();
        let write_conditions =
            client.map(|client| WriteConditions { client, expires_at: attempt.attempt_deadline });
        let (cancel_on_drop, cancelled) = oneshot::channel();
        if let Some(in_flight) = self.in_flight.get_mut(&key) {
            in_flight.cancel_on_drop = Some(cancel_on_drop);
        }
        tokio::spawn(run_attempt(
            connection,
            AttemptRequest { head, body, write_conditions, lease },
            attempt,
            cancelled,
            self.attempt_context.clone(),
            self.upstream_events.clone(),
        ));
    }

    /// Ends an attempt that was never written. The end is queued, so that it is handled after the current
    /// actions.
    fn queue_attempt_end(&self, attempt: AttemptInfo, outcome: Outcome) {
        let (end, wire) = (AttemptEnd::Outcome(outcome, None), WireUsage::default());
        self.upstream_events.send(UpstreamEvent::Ended { attempt, end, wire });
    }

    fn handle_attempt_end(&mut self, attempt: AttemptInfo, end: AttemptEnd, wire: WireUsage) {
        let key = (attempt.request, attempt.number);
        let (outcome, answer) = match end {
            AttemptEnd::Outcome(outcome, answer) => (outcome, answer),
            // Nothing was written: the same attempt continues over another connection, if it may still be
            // written.
            AttemptEnd::StaleConnection => match self.check_write(&attempt) {
                Ok(()) => return self.acquire_connection(attempt),
                Err(outcome) => (outcome, None),
            },
        };
        let Some(in_flight) = self.in_flight.remove(&key) else { return };
        self.log.trace(|| {
            let open = self.open_requests.get(&attempt.request);
            let (id, class) = open.map_or(("gone", "-"), |open| (&*open.id, self.class_name(open.class)));
            let host = self.servers.get(attempt.upstream).map_or("?", |server| &server.host.name);
            format!(
                "attempt request={id} class={class} number={} upstream={host} port={} bytes={} sent_ms={:.1} took_ms={:.1} \
                 outcome={outcome:?} may_have_run={}",
                attempt.number.0,
                wire.local_port,
                wire.bytes_written,
                self.module_time(in_flight.started_at),
                in_flight.started_at.elapsed().as_secs_f64() * 1e3,
                outcome.may_have_run(),
            )
        });
        let upload_state = self
            .open_requests
            .get(&attempt.request)
            .and_then(|open| Some(open.forward.body.upload()?.state()));
        // A server begins to work on a request when its last byte arrives. The latency counts from then, and
        // is 0 if that byte has not arrived.
        let work_started_at = match upload_state {
            None => Some(in_flight.started_at),
            Some(UploadState::Complete(received_at)) => Some(received_at.max(in_flight.started_at)),
            Some(UploadState::Receiving | UploadState::Written | UploadState::Failed(_)) => None,
        };
        let latency = work_started_at.map_or(0.0, |started_at| started_at.elapsed().as_secs_f64() * 1e3);
        let is_current = self.is_current_incarnation(attempt.upstream, attempt.incarnation);
        let report = answer.as_ref().filter(|_| is_current).and_then(|answer| {
            let text =
                answer.headers.get("x-server-load").filter(|_| self.settings_object.reports_in_answers())?;
            report_from_text(&self.report_columns, text.to_str().ok()?)
        });
        let now = self.module_time(Instant::now());
        if let Some(cross_zone_budget) = self.module.cross_zone_budget_mut() {
            let received_bytes = answer.as_ref().and_then(|answer| answer.body.length()).unwrap_or(0);
            let body_bytes = [in_flight.body_bytes, received_bytes];
            cross_zone_budget.attempt_ended(now, attempt.request, attempt.number, outcome, body_bytes);
        }
        // The first answer ends the request without a decision of the module. For the module, every ended
        // request counts as answered, even if its client has left.
        let mut request_ended = !self.open_requests.contains_key(&attempt.request);
        if let Some(UploadState::Failed(status)) = upload_state {
            request_ended = true;
            self.finish_request(attempt.request, FinalAnswer::Rejected(status));
        }
        match (outcome, answer) {
            (Outcome::Ok, Some(answer)) => {
                let answer = FinalAnswer::Served(client_headers(&answer.headers), answer.body);
                self.finish_request(attempt.request, answer);
                request_ended = true;
            }
            // The upstream found the request invalid. Every upstream would reject it, so the answer is final.
            (Outcome::Cancelled, Some(answer)) => {
                self.finish_request(attempt.request, FinalAnswer::Rejected(answer.status));
                request_ended = true;
            }
            _ => {}
        }
        self.send_to_module(Event::AttemptFinished(FinishedAttempt {
            request: attempt.request,
            attempt: attempt.number,
            upstream: attempt.upstream,
            outcome,
            latency,
            client_answered: request_ended,
            report,
        }));
    }

    /// Whether an upstream is still the process that it was when it had this incarnation.
    fn is_current_incarnation(&self, upstream: UpstreamId, incarnation: u64) -> bool {
        self.servers.get(upstream).is_some_and(|server| server.incarnation == incarnation)
    }

    /// Puts a connection back into its upstream's pool, or closes it if it is of no further use.
    fn return_connection(&mut self, upstream: UpstreamId, incarnation: u64, connection: Connection) {
        let Some(server) = self.servers.get_mut(upstream).filter(|_| !self.retired) else { return };
        let is_serving = server.listing.lifecycle == ServerLifecycle::Serving;
        if server.incarnation == incarnation && is_serving && connection.is_usable() {
            server.pool.put(connection);
            self.schedule_sweep();
        }
    }

    fn start_probe(&mut self, upstream: UpstreamId) {
        let idle_limit = self.idle_limit();
        let now = Instant::now();
        let Some(server) = self.servers.get_mut(upstream) else {
            self.upstream_events.send(UpstreamEvent::ProbeEnded { upstream, incarnation: 0, answer: None });
            return;
        };
        let (address, incarnation) = (server.address(), server.incarnation);
        let unanswered = UpstreamEvent::ProbeEnded { upstream, incarnation, answer: None };
        let connection = match server.pool.take(idle_limit) {
            Some(connection) => ProbeConnection::Idle(Box::new(connection)),
            None => match self.connection_permit(address) {
                Some(permit) => {
                    ProbeConnection::New { address, connect_by: now + self.connect_timeout, permit }
                }
                None => {
                    self.upstream_events.send(unanswered);
                    return;
                }
            },
        };
        let path = if self.report_columns.is_empty() { "/alive" } else { "/metrics/load" };
        let mut request = Request::new(AttemptBody::empty());
        *request.uri_mut() = Uri::from_static(path);
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        let (probe_by, events) = (now + self.probe_timeout, self.upstream_events.clone());
        tokio::spawn(run_probe(
            connection,
            request,
            upstream,
            incarnation,
            probe_by,
            self.resource_budgets.buffers.clone(),
            events,
        ));
    }

    /// Sends [`InstanceEvent::Ready`] when the instance has become ready, and only once.
    fn announce_readiness(&self) {
        let is_ready = self.has_list && self.discovery_settled;
        if is_ready && !self.metrics.ready.swap(true, Ordering::Release) {
            self.instance_events.send(InstanceEvent::Ready);
        }
    }

    // --- The host list -----------------------------------------------------------------------

    /// Applies a list. A `restored` list was read from a file or handed over by a predecessor, and counts as
    /// complete.
    fn apply_list(&mut self, list: &HostList, restored: bool) {
        self.host_list_version = list.seq;
        let is_complete = list.complete || restored;
        let now = self.module_time(Instant::now());
        let listings = self.servers.apply(list, is_complete, &self.settings_object, now, &self.log);
        self.metrics.host_list_version.store(self.host_list_version, Ordering::Relaxed);
        self.metrics.listed_upstreams.store(self.servers.count() as u64, Ordering::Relaxed);
        self.draining_count = self.servers.draining_count();
        self.schedule_sweep();
        // An empty list counts only if it is complete and comes from discovery. An empty restored list means
        // that there was none.
        if !listings.is_empty() || (is_complete && !restored) {
            self.has_list = true;
            self.announce_readiness();
            self.instance_events.send(InstanceEvent::ListChanged);
        }
        self.send_to_module(Event::ListReceived(match (restored, is_complete) {
            (true, _) => ListUpdate::Restored(listings),
            (false, true) => ListUpdate::Complete(listings),
            (false, false) => ListUpdate::Changed(listings),
        }));
    }
}

/// The request that is sent to an upstream, with an empty body in place of the client's.
fn upstream_request(
    forward: &ForwardedRequest,
    address: Option<SocketAddr>,
    attempt_deadline: Instant,
) -> Request<AttemptBody> {
    let mut request = Request::new(AttemptBody::empty());
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.target.clone();
    let mut headers = forward.headers.clone();
    // The client's own Host header is forwarded with its other headers. HTTP/1.1 requires a Host header, so
    // without one from the client the upstream's address is sent.
    let address = address.filter(|_| !headers.contains_key(header::HOST));
    if let Some(host) = address.and_then(|address| HeaderValue::from_str(&address.to_string()).ok()) {
        headers.insert(header::HOST, host);
    }
    let timeout_ms = attempt_deadline.saturating_duration_since(Instant::now()).as_millis().max(1) as u64;
    headers.insert("x-timeout-ms", HeaderValue::from(timeout_ms));
    match forward.body.length() {
        Some(0) if forward.method == Method::GET => {}
        Some(length) => drop(headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length))),
        None => drop(headers.insert(header::TRANSFER_ENCODING, HeaderValue::from_static("chunked"))),
    }
    *request.headers_mut() = headers;
    request
}

/// The headers of an upstream's answer that are passed on to the client.
fn client_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end_headers(headers);
    forwarded.remove("x-server-load");
    forwarded
}

#[cfg(test)]
mod tests;
