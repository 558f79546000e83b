//! One instance: clients on one side, upstreams on the other, the driver between them. An instance uses no
//! global state; its owner passes in the listener and all resource limits. [`Instance::run`] runs it from
//! start to end, and [`Control`] controls it from any thread.

use std::any::Any;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sagemast_decide::settings::Config as SettingsObject;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinError, JoinHandle};
use tokio::time::{Instant, sleep_until, timeout};

use crate::budget::Budgets;
use crate::cross_zone_budget::CrossZoneBudget;
use crate::driver::{self, Driver, DriverEvent, InstanceCommand, InstanceEvent};
use crate::front::{self, Front, RequestNames, SharedResources};
use crate::handover::message::HandoverState;
use crate::hosts::HostList;
use crate::lifecycle::{Lifecycle, LifecycleRequest};
use crate::log::Log;
use crate::messages::{ClientEvent, EventSink, FinalAnswer};
use crate::metrics::Metrics;
use crate::request_ids::RequestIds;

pub use crate::lifecycle::Drain;

/// After a failure of the driver, its open requests are answered as failed within this time. A client that
/// does not read its answer must not delay the restart any longer.
const FAILURE_ANSWERS_TIMEOUT: Duration = Duration::from_millis(500);

/// Configuration of an instance.
pub struct InstanceConfig {
    /// Settings.
    pub settings: SettingsObject,
    /// Seed for random numbers.
    pub seed: u64,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// The last host list of a predecessor, if it was stored.
    pub initial_host_list: Option<HostList>,
    /// State from a predecessor that still runs. It takes precedence over `initial_host_list`.
    pub handover_state: Option<Box<HandoverState>>,
    /// Listener for clients, registered with the runtime that runs the instance.
    pub listener: Arc<TcpListener>,
    /// Limits on the resources that the instance may use.
    pub budgets: Budgets,
    /// The ids of open requests. All instances and processes of one sidecar share them.
    pub request_ids: RequestIds,
    /// Budgets for cross-zone traffic, if any.
    pub cross_zone_budget: Option<CrossZoneBudget>,
    /// Log.
    pub log: Log,
    /// Receives events for the instance's owner.
    pub events: EventSink<InstanceEvent>,
    /// Whether the instance accepts no clients before [`Control::open`], because a predecessor still does.
    pub standby: bool,
}

/// Why an instance has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExitReason {
    /// A drain has completed: every accepted request was answered.
    Drained,
    /// The time limit of a drain has passed, or every [`Control`] was dropped.
    Overdue,
    /// A task of the instance has failed; its open requests were answered as failed.
    Failed(String),
}

/// An instance that has not been started yet.
pub struct Instance {
    driver: Driver,
    front: Arc<Front>,
    listener: Arc<TcpListener>,
    initial_host_list: Option<HostList>,
    handover_state: Option<Box<HandoverState>>,
    lifecycle: Arc<watch::Sender<Lifecycle>>,
    /// Closed when the last [`Control`] is dropped.
    control_alive: watch::Receiver<()>,
    events: EventSink<InstanceEvent>,
}

/// Controls an instance. No method blocks, and commands to an instance that has ended have no effect.
#[derive(Clone)]
pub struct Control {
    driver_events: mpsc::UnboundedSender<DriverEvent>,
    lifecycle: Arc<watch::Sender<Lifecycle>>,
    /// Dropped with the last clone, which ends the instance.
    _alive: Arc<watch::Sender<()>>,
    metrics: Arc<Metrics>,
    longest_deadline: Duration,
}

impl Instance {
    /// Creates an instance and its control.
    pub fn new(config: InstanceConfig) -> (Instance, Control) {
        let InstanceConfig {
            settings,
            seed,
            discovery,
            initial_host_list,
            handover_state,
            listener,
            budgets,
            request_ids,
            cross_zone_budget,
            log,
            events,
            standby,
        } = config;
        let names = RequestNames { classes: settings.classes(), tenants: settings.tenant_names() };
        let metrics = Arc::new(Metrics::new(names.classes.iter().map(|form| form.name.as_str())));
        let longest_deadline =
            Duration::try_from_secs_f64(settings.longest_deadline_ms() / 1e3).unwrap_or_default();
        let (connections, buffers) = (budgets.clients.clone(), budgets.buffers.clone());
        let (lifecycle, lifecycle_receiver) = watch::channel(Lifecycle::new(standby, Instant::now()));
        let lifecycle = Arc::new(lifecycle);
        let (driver, driver_events) = Driver::new(driver::DriverConfig {
            settings,
            seed,
            discovery,
            budgets,
            cross_zone_budget,
            metrics: metrics.clone(),
            log: log.clone(),
            events: events.clone(),
            lifecycle: lifecycle_receiver.clone(),
        });
        let (alive, control_alive) = watch::channel(());
        let client_events = EventSink::new(driver_events.clone());
        let front = Arc::new(Front::new(
            names,
            lifecycle_receiver,
            client_events,
            SharedResources { connections, buffers, request_ids },
            metrics.clone(),
            log,
        ));
        let control = Control {
            driver_events,
            lifecycle: lifecycle.clone(),
            _alive: Arc::new(alive),
            metrics,
            longest_deadline,
        };
        let instance = Instance {
            driver,
            front,
            listener,
            initial_host_list,
            handover_state,
            lifecycle,
            control_alive,
            events,
        };
        (instance, control)
    }

    /// Runs until the instance has drained or failed. Dropping this future ends all tasks of the instance and
    /// closes its connections at once.
    pub async fn run(self) -> ExitReason {
        let Instance {
            driver,
            front,
            listener,
            initial_host_list,
            handover_state,
            lifecycle,
            mut control_alive,
            events,
        } = self;
        let mut driver = AbortOnDrop(tokio::spawn(driver.run(initial_host_list, handover_state)));
        let on_listener_released = move || {
            events.send(InstanceEvent::ListenerReleased);
        };
        let mut serving = AbortOnDrop(tokio::spawn(front::serve(listener, front, on_listener_released)));
        let mut lifecycle_receiver = lifecycle.subscribe();
        loop {
            let current = *lifecycle_receiver.borrow_and_update();
            tokio::select! {
                result = &mut driver.0 => {
                    // The reply channels of open requests are closed, so the front answers these requests as
                    // failed. Connections that wait to be accepted are left to the successor.
                    lifecycle.send_modify(|lifecycle| lifecycle.fail(Instant::now()));
                    let _ = timeout(FAILURE_ANSWERS_TIMEOUT, &mut serving.0).await;
                    return ExitReason::Failed(failure_reason("the driver", result));
                }
                result = &mut serving.0 => return match result {
                    // Read again: the lifecycle may have changed since `current` was read.
                    Ok(()) if lifecycle.borrow().is_ending() => ExitReason::Drained,
                    result => ExitReason::Failed(failure_reason("the listener", result)),
                },
                _ = lifecycle_receiver.changed() => {}
                // Every control was dropped.
                _ = control_alive.changed() => return ExitReason::Overdue,
                () = sleep_until_deadline(current.next_deadline()) => {
                    if current.is_overdue(Instant::now()) {
                        return ExitReason::Overdue;
                    }
                    lifecycle.send_if_modified(|lifecycle| lifecycle.advance(Instant::now()));
                }
            }
        }
    }
}

/// Sleeps until the deadline; forever if there is none.
async fn sleep_until_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

impl Control {
    /// Watches discovery at this address from now on. The host list and the connections stay.
    pub fn watch_discovery(&self, address: SocketAddr) {
        let _ = self.driver_events.send(DriverEvent::Command(InstanceCommand::WatchDiscovery(address)));
    }

    /// Accepts clients from now on, unless the instance is ending.
    pub fn open(&self) {
        self.request(LifecycleRequest::Open);
    }

    /// Sends clients away: `/up` answers 503, and every answer closes its connection.
    pub fn evacuate(&self) {
        self.request(LifecycleRequest::Evacuate);
    }

    /// Accepts clients again after an evacuation. Returns false if the instance is ending.
    pub fn rejoin(&self) -> bool {
        self.request(LifecycleRequest::Rejoin)
    }

    /// Begins a drain. A second call has no effect, except that it may turn a drain which closes the listener
    /// into a handover to a successor.
    pub fn drain(&self, drain: Drain) {
        self.request(LifecycleRequest::Drain(drain));
        if matches!(drain, Drain::HandOver { .. }) {
            // Both generations share one connection budget, and the successor needs the connections more.
            let _ = self.driver_events.send(DriverEvent::Command(InstanceCommand::Retire));
        }
    }

    fn request(&self, request: LifecycleRequest) -> bool {
        let mut granted = false;
        self.lifecycle.send_if_modified(|lifecycle| {
            let before = *lifecycle;
            granted = lifecycle.request(request, Instant::now());
            *lifecycle != before
        });
        granted
    }

    /// The current state of the lifecycle.
    pub fn lifecycle(&self) -> Lifecycle {
        *self.lifecycle.borrow()
    }

    /// Sets the number of sidecars, this one included, on which the decision module bases its limits.
    pub fn set_sidecar_count(&self, count: u32) {
        let _ = self.driver_events.send(DriverEvent::Command(InstanceCommand::SetSidecarCount(count)));
    }

    /// Replaces the budgets for cross-zone traffic, or removes them. Budgets that share the counts of the
    /// current ones keep their state.
    pub fn set_cross_zone_budget(&self, budget: Option<CrossZoneBudget>) {
        let _ = self.driver_events.send(DriverEvent::Command(InstanceCommand::SetCrossZoneBudget(budget)));
    }

    /// Requests the current host list. The receiver fails if the instance has ended.
    pub fn host_list(&self) -> oneshot::Receiver<HostList> {
        let (reply, host_list) = oneshot::channel();
        let _ = self.driver_events.send(DriverEvent::Command(InstanceCommand::GetHostList(reply)));
        host_list
    }

    /// Requests the state from which a successor continues. The receiver fails if the instance has ended.
    pub fn handover_state(&self) -> oneshot::Receiver<HandoverState> {
        let (reply, handover_state) = oneshot::channel();
        let _ = self.driver_events.send(DriverEvent::Command(InstanceCommand::GetHandoverState(reply)));
        handover_state
    }

    /// Forwards each list from discovery to this channel from now on. Lists are dropped while the channel is
    /// full.
    pub fn forward_lists(&self, lists: mpsc::Sender<HostList>) {
        let _ = self.driver_events.send(DriverEvent::Command(InstanceCommand::ForwardLists(lists)));
    }

    /// Applies a list that another process of the same sidecar received from discovery.
    pub fn apply_peer_list(&self, list: HostList) {
        let _ = self.driver_events.send(DriverEvent::Command(InstanceCommand::PeerList(list)));
    }

    /// Makes the driver panic. Only the rig and tests use this.
    pub fn inject_panic(&self) {
        let _ = self.driver_events.send(DriverEvent::Command(InstanceCommand::Panic));
    }

    /// The metrics of the instance.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The longest deadline of any class.
    pub fn longest_deadline(&self) -> Duration {
        self.longest_deadline
    }
}

/// Serves clients while an instance is down: every valid request is refused with a short retry-after, and
/// every connection is closed. Runs until it is stopped and has answered the requests that it accepted.
pub struct StandIn {
    front: Arc<Front>,
    listener: Arc<TcpListener>,
}

/// Controls a stand-in. Dropping it ends the stand-in at once.
pub struct StandInControl(watch::Sender<Lifecycle>);

impl StandIn {
    /// Creates a stand-in for an instance with these settings, and its control.
    pub fn new(
        settings: &SettingsObject,
        listener: Arc<TcpListener>,
        budgets: &Budgets,
        log: Log,
    ) -> (StandIn, StandInControl) {
        let names = RequestNames { classes: settings.classes(), tenants: settings.tenant_names() };
        let refuse_all = EventSink::from_fn(|event| {
            if let ClientEvent::Arrived(arrival) = event {
                // Fails if the client has disconnected.
                let _ = arrival.reply.send(FinalAnswer::Refused(STAND_IN_RETRY_AFTER_MS));
            }
            true
        });
        // While draining, connections are accepted and every answer closes its connection.
        let mut lifecycle = Lifecycle::new(false, Instant::now());
        lifecycle.request(
            LifecycleRequest::Drain(Drain::Close { linger: UNLIMITED, max_duration: UNLIMITED }),
            Instant::now(),
        );
        let (lifecycle, lifecycle_receiver) = watch::channel(lifecycle);
        // Requests refused by a stand-in are not counted for the instance.
        let metrics = Arc::new(Metrics::new(std::iter::empty()));
        let front = Front::new(
            names,
            lifecycle_receiver,
            refuse_all,
            SharedResources {
                connections: budgets.clients.clone(),
                buffers: budgets.buffers.clone(),
                // Nothing is forwarded, so that no id is used.
                request_ids: RequestIds::default(),
            },
            metrics,
            log,
        );
        (StandIn { front: Arc::new(front), listener }, StandInControl(lifecycle))
    }

    /// Serves clients until the stand-in is stopped.
    pub async fn run(self) {
        front::serve(self.listener, self.front, || ()).await;
    }
}

impl StandInControl {
    /// Stops the stand-in. `handed_over` is whether a successor accepts clients on the same socket; otherwise
    /// the listener is released once the accept queue is empty.
    pub fn stop(&self, handed_over: bool) {
        let now = Instant::now();
        self.0.send_modify(|lifecycle| match handed_over {
            true => {
                lifecycle.request(
                    LifecycleRequest::Drain(Drain::HandOver {
                        linger: Duration::ZERO,
                        max_duration: UNLIMITED,
                    }),
                    now,
                );
            }
            false => drop(lifecycle.advance(now + UNLIMITED)),
        });
    }
}

/// A stand-in has no time limit of its own: its control stops it.
const UNLIMITED: Duration = Duration::from_secs(365 * 24 * 3_600);

/// An instance restarts within this time, unless it has failed several times in a row.
const STAND_IN_RETRY_AFTER_MS: f64 = 500.0;

/// A task that is aborted when its owner is dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Describes why a task that should run on has ended.
fn failure_reason(task: &str, result: Result<(), JoinError>) -> String {
    match result {
        Ok(()) => format!("{task} has ended"),
        Err(error) => match error.try_into_panic() {
            Ok(payload) => format!("{task} has panicked: {}", panic_message(&*payload)),
            Err(error) => format!("{task} was aborted: {error}"),
        },
    }
}

/// The message of a panic.
fn panic_message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| payload.downcast_ref::<&str>().copied()).unwrap_or("no message")
}
