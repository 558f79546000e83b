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
use crate::crossing::Crossing;
use crate::driver::{self, Driver, Happening, Order, Told};
use crate::front::{self, Front, Names, Phase};
use crate::hosts::HostList;
use crate::log::Log;
use crate::messages::{Final, FromClients, Outlet};
use crate::vitals::Vitals;

/// Once the driver has failed, its open requests are answered as failed at once; a client that does not read its
/// answer must not hold up the restart for longer than this.
const LAST_WORDS: Duration = Duration::from_millis(500);

/// What an instance is made of.
pub struct Parts {
    /// The settings.
    pub settings: SettingsObject,
    /// For random numbers.
    pub seed: u64,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The list of upstreams as a predecessor last had it.
    pub known: Option<HostList>,
    /// Where clients connect. Registered with the runtime that the instance is run on.
    pub listener: Arc<TcpListener>,
    /// What it may hold.
    pub budgets: Budgets,
    /// Budgets for traffic between zones, if there are any.
    pub crossing: Option<Crossing>,
    /// Where it logs.
    pub log: Log,
    /// Whom it tells how it fares.
    pub listening: Outlet<Told>,
    /// Whether it accepts nothing until [`Control::open`], since a predecessor still does.
    pub standby: bool,
}

/// What the owner wants of it, in the order in which it may change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wish {
    Standby,
    Open,
    Drain(Drain),
}

/// How an instance is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Drain {
    /// Clients still come for this long, by connections that were on their way; then it finishes what is open.
    Close {
        /// For how long.
        linger: Duration,
        /// It ends after this long in all, whatever is open.
        at_most: Duration,
    },
    /// A successor listens on the same socket: it takes no new connection from now on and finishes what is open.
    HandOver {
        /// It ends after this long, whatever is open.
        at_most: Duration,
    },
}

/// How an instance has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ended {
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
    phase: watch::Sender<Phase>,
    wish: watch::Receiver<Wish>,
    telling: Outlet<Told>,
}

/// The owner's hold on an instance. All calls return at once.
#[derive(Clone)]
pub struct Control {
    happenings: mpsc::UnboundedSender<Happening>,
    wish: Arc<watch::Sender<Wish>>,
    vitals: Arc<Vitals>,
    longest: Duration,
}

impl Instance {
    /// An instance and the hold on it.
    pub fn new(parts: Parts) -> (Instance, Control) {
        let Parts { settings, seed, discovery, known, listener, budgets, crossing, log, listening, standby } =
            parts;
        let vitals = Arc::new(Vitals::default());
        let names = Names { classes: settings.classes(), tenants: settings.tenant_names() };
        let longest = Duration::try_from_secs_f64(settings.longest_deadline_ms() / 1e3).unwrap_or_default();
        let clients = budgets.clients.clone();
        let (driver, happenings) = Driver::new(driver::Parts {
            settings,
            seed,
            discovery,
            budgets,
            crossing,
            vitals: vitals.clone(),
            log: log.clone(),
            listener: listening.clone(),
        });
        let (phase, phases) = watch::channel(if standby { Phase::Standby } else { Phase::Open });
        let told = Outlet::new(happenings.clone());
        let front = Arc::new(Front::new(names, phases, told, clients, vitals.clone(), log));
        let (wish, wishes) = watch::channel(if standby { Wish::Standby } else { Wish::Open });
        let instance = Instance { driver, front, listener, known, phase, wish: wishes, telling: listening };
        (instance, Control { happenings, wish: Arc::new(wish), vitals, longest })
    }

    /// Runs until it has drained or failed. When this future is dropped, everything that belongs to the instance
    /// ends with it: connections are closed as they are.
    pub async fn run(self) -> Ended {
        let Instance { driver, front, listener, known, phase, mut wish, telling } = self;
        let mut driver = Part(tokio::spawn(driver.run(known)));
        let let_go = move || {
            telling.tell(Told::LetGo);
        };
        let mut serving = Part(tokio::spawn(front::serve(listener, front, let_go)));
        // When the present stage of a drain is over, and when all of it must be.
        let (mut linger, mut overdue): (Option<Instant>, Option<Instant>) = (None, None);
        loop {
            tokio::select! {
                ended = &mut driver.0 => {
                    // Its open requests have lost their replies: they are answered as failed. Who is still to be
                    // accepted is for the successor.
                    phase.send_replace(Phase::HandedOver);
                    let _ = timeout(LAST_WORDS, &mut serving.0).await;
                    return Ended::Failed(reason("the driver", ended));
                }
                ended = &mut serving.0 => return match ended {
                    Ok(()) if overdue.is_some() => Ended::Drained,
                    ended => Ended::Failed(reason("the listener", ended)),
                },
                changed = wish.changed() => {
                    let now = Instant::now();
                    match (changed, *wish.borrow_and_update()) {
                        // Nobody holds it any more.
                        (Err(_), _) => return Ended::Overdue,
                        (Ok(()), Wish::Standby) => {}
                        (Ok(()), Wish::Open) => {
                            phase.send_replace(Phase::Open);
                        }
                        (Ok(()), Wish::Drain(Drain::Close { linger: still, at_most })) => {
                            phase.send_replace(Phase::Leaving);
                            (linger, overdue) = (Some(now + still.min(at_most)), Some(now + at_most));
                        }
                        (Ok(()), Wish::Drain(Drain::HandOver { at_most })) => {
                            phase.send_replace(Phase::HandedOver);
                            (linger, overdue) = (None, Some(overdue.unwrap_or(now + at_most)));
                        }
                    }
                }
                () = until(linger) => {
                    linger = None;
                    phase.send_replace(Phase::Closing);
                }
                () = until(overdue) => return Ended::Overdue,
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
        let _ = self.happenings.send(Happening::Order(Order::Discovery(to)));
    }

    /// Accepts clients from now on, unless the end has begun.
    pub fn open(&self) {
        self.wish.send_if_modified(|now| {
            let standby = *now == Wish::Standby;
            if standby {
                *now = Wish::Open;
            }
            standby
        });
    }

    /// Begins the end. Called again it changes nothing, but that a drain which closes the listener may become one
    /// that leaves it to a successor.
    pub fn drain(&self, how: Drain) {
        self.wish.send_if_modified(|now| {
            let taken = match (*now, how) {
                (Wish::Standby | Wish::Open, _) => true,
                (Wish::Drain(Drain::Close { .. }), Drain::HandOver { .. }) => true,
                (Wish::Drain(_), _) => false,
            };
            if taken {
                *now = Wish::Drain(how);
            }
            taken
        });
        if matches!(how, Drain::HandOver { .. }) {
            // Both generations hold connections out of the same budget, and the successor has more use for them.
            let _ = self.happenings.send(Happening::Order(Order::Retire));
        }
    }

    /// Tells the module how many sidecars there are from now on.
    pub fn set_sidecars(&self, count: u32) {
        let _ = self.happenings.send(Happening::Order(Order::Sidecars(count)));
    }

    /// Brings other budgets for traffic between zones into force, or none. What it counts in the same place goes on.
    pub fn set_crossing(&self, crossing: Option<Crossing>) {
        let _ = self.happenings.send(Happening::Order(Order::Crossing(crossing)));
    }

    /// The list of upstreams as the instance has it. The receiver fails when the instance has ended.
    pub fn list(&self) -> oneshot::Receiver<HostList> {
        let (reply, list) = oneshot::channel();
        let _ = self.happenings.send(Happening::Order(Order::List(reply)));
        list
    }

    /// Has the driver panic, for the rig and for tests.
    pub fn inject_panic(&self) {
        let _ = self.happenings.send(Happening::Order(Order::Panic));
    }

    /// What is counted.
    pub fn vitals(&self) -> &Vitals {
        &self.vitals
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
pub struct StandInControl(watch::Sender<Phase>);

impl StandIn {
    /// A stand-in for an instance with these settings, and the hold on it.
    pub fn new(
        settings: &SettingsObject,
        listener: Arc<TcpListener>,
        budgets: &Budgets,
        log: Log,
    ) -> (StandIn, StandInControl) {
        let names = Names { classes: settings.classes(), tenants: settings.tenant_names() };
        let refuse = Outlet::to(|message| {
            if let FromClients::Arrived(arrival) = message {
                // Its client may have gone.
                let _ = arrival.reply.send(Final::Refused(STAND_IN_RETRY_MS));
            }
            true
        });
        // Leaving: it accepts, and every answer closes its connection.
        let (phase, phases) = watch::channel(Phase::Leaving);
        let vitals = Arc::new(Vitals::default());
        let front = Front::new(names, phases, refuse, budgets.clients.clone(), vitals, log);
        (StandIn { front: Arc::new(front), listener }, StandInControl(phase))
    }

    /// Answers.
    pub async fn run(self) {
        front::serve(self.listener, self.front, || ()).await;
    }
}

impl StandInControl {
    /// Has it leave: the listener to a successor, or nobody's any more.
    pub fn leave(&self, handed_over: bool) {
        self.0.send_replace(if handed_over { Phase::HandedOver } else { Phase::Closing });
    }
}

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
