//! The interface of the decision module: settings, events in, actions out.
//!
//! Times are milliseconds on the caller's own clock, which only moves forward. The module never
//! reads a clock and does no I/O: the sidecar turns what happens into [`Event`]s and carries out
//! the [`Action`]s that come back.

/// Milliseconds: a point on the caller's clock, or a span.
pub type Millis = f64;

/// One try of a client, as it entered this sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A server that requests can be sent to. The same id means the same server across restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u64);

/// The number of a send of one request: 0 for the first, 1 for the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u32);

/// Index of a request class in [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`]; ignored where there are none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A place whose members reach each other cheaply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u64);

/// A small set of servers inside one zone that share their memory of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// A kind of machine, as discovery lists it: servers of one kind are taken to be alike until heard from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u64);

/// Which servers discard repeats of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// Every server.
    All,
    /// The servers of the zone that may have run it.
    Zone,
    /// The servers of the cell that may have run it.
    Cell,
}

/// What running a request twice would do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// No harm.
    Idempotent,
    /// No harm within the scope and for the window counted from the first send that may have run.
    IdempotentByKey {
        /// Who discards repeats.
        scope: KeyScope,
        /// For how long.
        window: Millis,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Answers within this time earn the full worth.
    pub aim: Millis,
    /// What an answer in time is worth.
    pub worth: f64,
    /// The share of the worth that a later answer still earns.
    pub late_worth: f64,
    /// Whether it may run again.
    pub effect: Effect,
}

/// A customer with a share of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, summed over all sidecars.
    pub quota_per_s: f64,
}

/// What the caller's surroundings allow.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Sends of one request, at most.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be out at the same time.
    pub allow_parallel_attempts: bool,
    /// Whether probes may be sent.
    pub probes: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// The longest wait that clients heed when refused; 0 where they heed none.
    pub max_retry_after: Millis,
    /// The shortest time between two rounds of events.
    pub tick: Millis,
}

/// The figures of the two rules about servers that leave or have just started.
#[derive(Debug, Clone, PartialEq)]
pub struct SlowStartLimits {
    /// A server starts with at least this share of its capacity.
    pub initial_capacity_share: f64,
    /// And has all of it after this long.
    pub warm_up: Millis,
    /// Sent more than this multiple of its present capacity...
    pub overload_multiple: f64,
    /// ...for this long, a cold server falls over.
    pub overload_window: Millis,
}

/// How news of servers arrives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Discovery {
    /// By itself.
    Pushed,
    /// Only after [`Action::Subscribe`].
    Subscribed {
        /// An unsubscribed sidecar must ask at least this often.
        must_ask_in: Millis,
    },
}

/// What tells one sidecar from the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Identity {
    /// Nothing does: it knows all servers.
    Anonymous,
    /// Its number, from 0, among so many that are all numbered.
    Ranked {
        /// Its number.
        rank: u32,
        /// How many there are.
        count: u32,
    },
    /// A number drawn from its name ([`crate::subset::name_key`]): the same after a restart.
    Named(u64),
}

/// What the module is told at start. It never learns names.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Request classes, by [`ClassId`].
    pub classes: Vec<Class>,
    /// Tenants, by [`TenantId`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// The share of its worth that a request above its tenant's quota keeps.
    pub over_quota_worth: f64,
    /// The zone of this sidecar.
    pub zone: ZoneId,
    /// How many sidecars there are, this one included.
    pub sidecars: u32,
    /// Who it is among them: which servers it knows follows from that.
    pub identity: Identity,
    /// What one zone crossing costs, as a fraction of a mean request's worth.
    pub cross_zone_cost: f64,
    /// What one probe costs, as a fraction of a mean request's worth.
    pub probe_cost: f64,
    /// What another attempt costs, as a fraction of a mean request's worth: work done for nothing, and a connection.
    pub attempt_cost: f64,
    /// Allowances.
    pub limits: Limits,
    /// Rule figures.
    pub slow_start: SlowStartLimits,
    /// How news of servers arrives.
    pub discovery: Discovery,
}

/// Whether a server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// It does.
    Serving,
    /// It finishes what it has, or is gone: nothing new goes there.
    Draining,
}

/// A server as discovery lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// Its id.
    pub upstream: UpstreamId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// What kind of machine it is.
    pub kind: KindId,
    /// Whether it takes new work.
    pub lifecycle: Lifecycle,
    /// Its size compared with others; 1 where nothing is known.
    pub weight: f64,
    /// When it last started, where that is not long ago.
    pub started: Option<Millis>,
    /// A number drawn from its name, the same at every sidecar ([`crate::subset::name_key`]).
    pub key: u64,
}

/// News from discovery.
#[derive(Debug, Clone, PartialEq)]
pub enum ListUpdate {
    /// The complete list as last held before a restart; may be old.
    Restored(Vec<Listing>),
    /// The complete list; who is missing is gone.
    Complete(Vec<Listing>),
    /// Only what changed.
    Changed(Vec<Listing>),
    /// A call failed or the subscription broke; the list held stays.
    Unavailable,
}

/// A server's own report of its load. Any figure may be missing or absurd.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Report {
    /// Requests it holds.
    pub in_flight: Option<f64>,
    /// How busy its cores are, 0 to 1.
    pub utilisation: Option<f64>,
    /// Requests served a second.
    pub served_per_s: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error answer; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer in time; it may have run or may yet.
    TimedOut,
    /// No connection; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never left this sidecar.
    NotSent,
}

impl Outcome {
    /// Whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::NotSent)
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FinishedAttempt {
    /// The request.
    pub request: RequestId,
    /// Which of its sends.
    pub attempt: AttemptNo,
    /// Where it went.
    pub upstream: UpstreamId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send.
    pub latency: Millis,
    /// Whether the client has its final answer.
    pub client_answered: bool,
    /// A report that came with it.
    pub report: Option<Report>,
}

/// Something that happened. Events at one time are handed over in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A client's try came in and is owed one final answer.
    RequestArrived {
        /// Its id, never used again.
        request: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: TenantId,
        /// How long the client waits.
        time_left: Millis,
    },
    /// An attempt ended; each [`Action::Send`] gets this once.
    AttemptFinished(FinishedAttempt),
    /// The body of an attempt that is out is still coming from its client, or its last byte is out now. Until then a
    /// server has not begun with it, and a request's times count from there.
    UploadProgress {
        /// The request.
        request: RequestId,
        /// Which of its sends.
        attempt: AttemptNo,
        /// Whether it is still coming.
        in_progress: bool,
    },
    /// The client left; nothing more is owed.
    ClientDisconnected(RequestId),
    /// A probe came back.
    ProbeFinished {
        /// Who was asked.
        upstream: UpstreamId,
        /// Whether it answered.
        answered: bool,
        /// Its report.
        report: Option<Report>,
    },
    /// News from discovery.
    ListReceived(ListUpdate),
    /// How many sidecars there are from now on, this one included: the allowance of cold servers is split
    /// among them. Told before more begin and after some have ended.
    SidecarCountChanged(u32),
    /// A timer set with [`Action::SetTimer`] came due.
    TimerFired(u64),
}

/// Something for the sidecar to do now, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        upstream: UpstreamId,
        /// Give the attempt up after this long.
        timeout: Millis,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which of its sends.
        attempt: AttemptNo,
    },
    /// Final answer: not done, trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away.
        retry_after: Millis,
    },
    /// Final answer: failed, with no promise about effects.
    Fail(RequestId),
    /// Ask a server for its load.
    Probe(UpstreamId),
    /// Hand back [`Event::TimerFired`] with this token at this time or soon after.
    SetTimer {
        /// When.
        at: Millis,
        /// What to hand back.
        token: u64,
    },
    /// Ask discovery for changes from here on.
    Subscribe,
    /// A line for the operators.
    Log(String),
}
