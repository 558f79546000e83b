//! One instance: clients on one side, upstreams on the other, the driver between them. It has no globals; the
//! listener and all that it may hold are handed to it. [`Instance::run`] is its whole life, and [`Control`] is
//! how its owner reaches it, from any thread.

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
use crate::front::{self, Front, RequestNames};
use crate::handover::message::HandoverState;
use crate::hosts::HostList;
use crate::lifecycle::{Lifecycle, LifecycleRequest};
use crate::log::Log;
use crate::messages::{ClientEvent, EventSink, FinalAnswer};
use crate::metrics::Metrics;

pub use crate::lifecycle::Drain;

/// Once the driver has failed, its open requests are answered as failed at once; a client that does not read its
/// answer must not hold up the restart for longer than this.
const LAST_WORDS: Duration = Duration::from_millis(500);

/// What an instance is made of.
pub struct InstanceConfig {
    /// The settings.
    pub settings: SettingsObject,
    /// For random numbers.
    pub seed: u64,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The list of upstreams as a predecessor last had it.
    pub known: Option<HostList>,
    /// What a predecessor that still runs has left: it counts before the list.
    pub estate: Option<Box<HandoverState>>,
    /// Where clients connect. Registered with the runtime that the instance is run on.
    pub listener: Arc<TcpListener>,
    /// What it may hold.
    pub budgets: Budgets,
    /// Budgets for traffic between zones, if there are any.
    pub crossing: Option<CrossZoneBudget>,
    /// Where it logs.
    pub log: Log,
    /// Whom it tells how it fares.
    pub listening: EventSink<InstanceEvent>,
    /// Whether it accepts nothing until [`Control::open`], since a predecessor still does.
    pub standby: bool,
}

/// How an instance has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExitReason {
    /// All that it had taken was answered.
    Drained,
    /// Its time for that was up.
    Overdue,
    /// A part of it failed; what was open was answered as failed.
    Failed(String),
}

/// An instance that is about to run.
pub struct Instance {
    driver: Driver,
    front: Arc<Front>,
    listener: Arc<TcpListener>,
    known: Option<HostList>,
    estate: Option<Box<HandoverState>>,
    life: Arc<watch::Sender<Lifecycle>>,
    held: watch::Receiver<()>,
    telling: EventSink<InstanceEvent>,
}

/// The owner's hold on an instance. All calls return at once.
#[derive(Clone)]
pub struct Control {
    happenings: mpsc::UnboundedSender<DriverEvent>,
    life: Arc<watch::Sender<Lifecycle>>,
    /// Dropped with the last hold.
    _held: Arc<watch::Sender<()>>,
    metrics: Arc<Metrics>,
    longest: Duration,
}

impl Instance {
    /// An instance and the hold on it.
    pub fn new(parts: InstanceConfig) -> (Instance, Control) {
        let InstanceConfig {
            settings,
            seed,
            discovery,
            known,
            estate,
            listener,
            budgets,
            crossing,
            log,
            listening,
            standby,
        } = parts;
        let names = RequestNames { classes: settings.classes(), tenants: settings.tenant_names() };
        let metrics = Arc::new(Metrics::new(names.classes.iter().map(|form| form.name.as_str())));
        let longest = Duration::try_from_secs_f64(settings.longest_deadline_ms() / 1e3).unwrap_or_default();
        let (clients, transfers) = (budgets.clients.clone(), budgets.transfers.clone());
        let (life, lives) = watch::channel(Lifecycle::new(standby, Instant::now()));
        let (driver, happenings) = Driver::new(driver::DriverConfig {
            settings,
            seed,
            discovery,
            budgets,
            cross_zone_budget: crossing,
            metrics: metrics.clone(),
            log: log.clone(),
            events: listening.clone(),
            lifecycle: lives.clone(),
        });
        let (life, (hold, held)) = (Arc::new(life), watch::channel(()));
        let told = EventSink::new(happenings.clone());
        let front = Arc::new(Front::new(names, lives, told, clients, transfers, metrics.clone(), log));
        let instance =
            Instance { driver, front, listener, known, estate, life: life.clone(), held, telling: listening };
        (instance, Control { happenings, life, _held: Arc::new(hold), metrics, longest })
    }

    /// Runs until it has drained or failed. When this future is dropped, everything that belongs to the instance
    /// ends with it: connections are closed as they are.
    pub async fn run(self) -> ExitReason {
        let Instance { driver, front, listener, known, estate, life, mut held, telling } = self;
        let mut driver = Part(tokio::spawn(driver.run(known, estate)));
        let let_go = move || {
            telling.send(InstanceEvent::ListenerReleased);
        };
        let mut serving = Part(tokio::spawn(front::serve(listener, front, let_go)));
        let mut lives = life.subscribe();
        loop {
            let now = *lives.borrow_and_update();
            tokio::select! {
                ended = &mut driver.0 => {
                    // Its open requests have lost their replies: they are answered as failed. Who is still to be
                    // accepted is for the successor.
                    life.send_modify(|life| life.fail(Instant::now()));
                    let _ = timeout(LAST_WORDS, &mut serving.0).await;
                    return ExitReason::Failed(reason("the driver", ended));
                }
                ended = &mut serving.0 => return match ended {
                    // It may have ended as soon as it was told to.
                    Ok(()) if life.borrow().is_ending() => ExitReason::Drained,
                    ended => ExitReason::Failed(reason("the listener", ended)),
                },
                _ = lives.changed() => {}
                // Nobody holds it any more.
                _ = held.changed() => return ExitReason::Overdue,
                () = until(now.next_deadline()) => {
                    if now.is_overdue(Instant::now()) {
                        return ExitReason::Overdue;
                    }
                    life.send_if_modified(|life| life.advance(Instant::now()));
                }
            }
        }
    }
}

/// Comes back at that time; never where there is none.
async fn until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

impl Control {
    /// Watches discovery at another address from now on. List and connections stay.
    pub fn move_discovery(&self, to: SocketAddr) {
        // An instance that has ended has nothing left to move; this holds for the other orders, too.
        let _ = self.happenings.send(DriverEvent::Command(InstanceCommand::WatchDiscovery(to)));
    }

    /// Accepts clients from now on, unless the end has begun.
    pub fn open(&self) {
        self.wish(LifecycleRequest::Open);
    }

    /// Sends clients away: `/up` says no, and nothing of theirs is held once it is answered.
    pub fn evacuate(&self) {
        self.wish(LifecycleRequest::Evacuate);
    }

    /// Takes clients again. False if the end has begun.
    pub fn rejoin(&self) -> bool {
        self.wish(LifecycleRequest::Rejoin)
    }

    /// Begins the end. Called again it changes nothing, but that a drain which closes the listener may become one
    /// that leaves it to a successor.
    pub fn drain(&self, how: Drain) {
        self.wish(LifecycleRequest::Drain(how));
        if matches!(how, Drain::HandOver { .. }) {
            // Both generations hold connections out of the same budget, and the successor has more use for them.
            let _ = self.happenings.send(DriverEvent::Command(InstanceCommand::Retire));
        }
    }

    fn wish(&self, wish: LifecycleRequest) -> bool {
        let mut granted = false;
        self.life.send_if_modified(|life| {
            let before = *life;
            granted = life.request(wish, Instant::now());
            *life != before
        });
        granted
    }

    /// Its life as it stands.
    pub fn life(&self) -> Lifecycle {
        *self.life.borrow()
    }

    /// Tells the module how many sidecars there are from now on.
    pub fn set_sidecars(&self, count: u32) {
        let _ = self.happenings.send(DriverEvent::Command(InstanceCommand::SetSidecarCount(count)));
    }

    /// Brings other budgets for traffic between zones into force, or none. What it counts in the same place goes on.
    pub fn set_crossing(&self, crossing: Option<CrossZoneBudget>) {
        let _ = self.happenings.send(DriverEvent::Command(InstanceCommand::SetCrossZoneBudget(crossing)));
    }

    /// The list of upstreams as the instance has it. The receiver fails when the instance has ended.
    pub fn list(&self) -> oneshot::Receiver<HostList> {
        let (reply, list) = oneshot::channel();
        let _ = self.happenings.send(DriverEvent::Command(InstanceCommand::GetHostList(reply)));
        list
    }

    /// What a successor goes on from. The receiver fails when the instance has ended.
    pub fn estate(&self) -> oneshot::Receiver<HandoverState> {
        let (reply, estate) = oneshot::channel();
        let _ = self.happenings.send(DriverEvent::Command(InstanceCommand::GetHandoverState(reply)));
        estate
    }

    /// Sends there what discovery tells, from now on; what finds no room there is dropped.
    pub fn follow(&self, news: mpsc::Sender<HostList>) {
        let _ = self.happenings.send(DriverEvent::Command(InstanceCommand::ForwardLists(news)));
    }

    /// Another process of the same sidecar was told this by discovery.
    pub fn news(&self, list: HostList) {
        let _ = self.happenings.send(DriverEvent::Command(InstanceCommand::PeerList(list)));
    }

    /// Has the driver panic, for the rig and for tests.
    pub fn inject_panic(&self) {
        let _ = self.happenings.send(DriverEvent::Command(InstanceCommand::Panic));
    }

    /// What is counted.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The longest that a client of any class waits.
    pub fn longest_deadline(&self) -> Duration {
        self.longest
    }
}

/// Answers for an instance that is down for a while: every sound request is refused, to come back soon, and every
/// connection closed. Runs until it is told to leave and has answered those that it took.
pub struct StandIn {
    front: Arc<Front>,
    listener: Arc<TcpListener>,
}

/// The hold on a stand-in. When it is dropped, the stand-in ends as it is.
pub struct StandInControl(watch::Sender<Lifecycle>);

impl StandIn {
    /// A stand-in for an instance with these settings, and the hold on it.
    pub fn new(
        settings: &SettingsObject,
        listener: Arc<TcpListener>,
        budgets: &Budgets,
        log: Log,
    ) -> (StandIn, StandInControl) {
        let names = RequestNames { classes: settings.classes(), tenants: settings.tenant_names() };
        let refuse = EventSink::from_fn(|message| {
            if let ClientEvent::Arrived(arrival) = message {
                // Its client may have gone.
                let _ = arrival.reply.send(FinalAnswer::Refused(STAND_IN_RETRY_MS));
            }
            true
        });
        // Draining: it accepts, and every answer closes its connection.
        let mut life = Lifecycle::new(false, Instant::now());
        life.request(
            LifecycleRequest::Drain(Drain::Close { linger: FOR_GOOD, max_duration: FOR_GOOD }),
            Instant::now(),
        );
        let (life, lives) = watch::channel(life);
        // What it refuses is not told of an instance.
        let metrics = Arc::new(Metrics::new(std::iter::empty()));
        let front = Front::new(
            names,
            lives,
            refuse,
            budgets.clients.clone(),
            budgets.transfers.clone(),
            metrics,
            log,
        );
        (StandIn { front: Arc::new(front), listener }, StandInControl(life))
    }

    /// Answers.
    pub async fn run(self) {
        front::serve(self.listener, self.front, || ()).await;
    }
}

impl StandInControl {
    /// Has it leave: the listener to a successor, or nobody's any more.
    pub fn leave(&self, handed_over: bool) {
        let now = Instant::now();
        self.0.send_modify(|life| match handed_over {
            true => {
                life.request(
                    LifecycleRequest::Drain(Drain::HandOver {
                        linger: Duration::ZERO,
                        max_duration: FOR_GOOD,
                    }),
                    now,
                );
            }
            false => drop(life.advance(now + FOR_GOOD)),
        });
    }
}

/// A stand-in is told when to leave, and has no time of its own for it.
const FOR_GOOD: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Restarts are quicker than this but for one that has failed several times in a row.
const STAND_IN_RETRY_MS: f64 = 500.0;

/// A task that ends with its owner.
struct Part(JoinHandle<()>);

impl Drop for Part {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why a part that should go on has ended.
fn reason(part: &str, ended: Result<(), JoinError>) -> String {
    match ended {
        Ok(()) => format!("{part} has ended"),
        Err(error) => match error.try_into_panic() {
            Ok(panic) => format!("{part} has panicked: {}", panic_text(&*panic)),
            Err(error) => format!("{part} was ended: {error}"),
        },
    }
}

/// The message of a panic.
fn panic_text(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| payload.downcast_ref::<&str>().copied()).unwrap_or("no message")
}
