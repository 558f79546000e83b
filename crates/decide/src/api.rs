//! The interface of the decision module: settings, events in, actions out.
//!
//! Times are milliseconds on the caller's own clock, which only moves forward. The module never reads a clock
//! and does no I/O: the sidecar reports what happens as [`Event`]s and carries out the returned [`Action`]s.

/// Milliseconds: a point on the caller's clock, or a span.
pub type Millis = f64;

/// One request of a client. A client's own retry is a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A server that requests can be sent to. A server keeps its id across restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u64);

/// The number of an attempt within its request, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u32);

/// Index of a request class in [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`]; ignored where there are no tenants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A zone: its members reach each other at low cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u64);

/// A small set of servers within one zone that share their record of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// A kind of machine, as discovery lists it. Servers of one kind are assumed to be alike until they report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u64);

/// The servers that discard repeats of a request with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// Every server.
    All,
    /// The servers in the zone of the attempt that may have run.
    Zone,
    /// The servers in the cell of the attempt that may have run.
    Cell,
}

/// Whether it is harmful to run a request twice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// Running the request twice is harmless.
    Idempotent,
    /// Running the request twice is harmless on the servers in `scope` within `window`, which starts with the
    /// first send that may have run.
    IdempotentByKey {
        /// The servers that discard repeats.
        scope: KeyScope,
        /// How long they discard repeats.
        window: Millis,
    },
    /// The request must never run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Answers within this time have the full worth.
    pub aim: Millis,
    /// Worth of an answer within the aim.
    pub worth: f64,
    /// The share of the worth that a later answer has.
    pub late_worth: f64,
    /// Whether it is harmful to run a request twice.
    pub effect: Effect,
}

/// A customer with a quota of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests per second, summed over all sidecars.
    pub quota_per_s: f64,
}

/// The capabilities and limits of the sidecar's environment.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time.
    pub allow_parallel_attempts: bool,
    /// Whether probes may be sent.
    pub probes: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// The longest retry-after time that refused clients respect; 0 where they respect none.
    pub max_retry_after: Millis,
    /// The shortest time between two rounds of events.
    pub tick: Millis,
}

/// Limits on the load of a server that has just started.
#[derive(Debug, Clone, PartialEq)]
pub struct SlowStartLimits {
    /// A server starts with at least this share of its capacity.
    pub initial_capacity_share: f64,
    /// A server has its full capacity after this time.
    pub warm_up: Millis,
    /// A server that is warming up fails under more than this multiple of its present capacity.
    pub overload_multiple: f64,
    /// A server that is warming up fails once it has been overloaded for this time.
    pub overload_window: Millis,
}

/// How updates of the server list arrive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Discovery {
    /// Discovery sends updates without a call.
    Pushed,
    /// Discovery sends updates only after [`Action::Subscribe`].
    Subscribed {
        /// The time within which a change must be received, even if calls fail: the bound of
        /// [`crate::staleness`].
        staleness_bound: Millis,
    },
}

/// The identity of one sidecar among all sidecars.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Identity {
    /// Sidecars have no identity; each uses all servers.
    Anonymous,
    /// The sidecar has a number, as all sidecars have.
    Ranked {
        /// The number of this sidecar, from 0.
        rank: u32,
        /// The number of sidecars.
        count: u32,
    },
    /// The sidecar has a name, which it keeps after a restart. The value is a hash of the name
    /// ([`crate::subset::name_key`]).
    Named(u64),
}

/// The configuration of the module. It has no names: classes, tenants and zones are numbers.
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
    /// The number of sidecars, this one included.
    pub sidecars: u32,
    /// The identity of this sidecar, which determines its subset of the servers.
    pub identity: Identity,
    /// Cost of sending a request to another zone, as a fraction of a mean request's worth.
    pub cross_zone_cost: f64,
    /// Cost of a probe, as a fraction of a mean request's worth.
    pub probe_cost: f64,
    /// Cost of a further attempt, as a fraction of a mean request's worth: wasted work and a connection.
    pub attempt_cost: f64,
    /// Capabilities and limits.
    pub limits: Limits,
    /// Limits for servers that have just started.
    pub slow_start: SlowStartLimits,
    /// How updates of the server list arrive.
    pub discovery: Discovery,
}

/// Whether a server takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// The server takes new requests.
    Serving,
    /// The server only finishes the requests that it has, or is gone.
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
    /// Its kind of machine.
    pub kind: KindId,
    /// Whether it takes new requests.
    pub lifecycle: Lifecycle,
    /// Its capacity relative to other servers; 1 if unknown.
    pub weight: f64,
    /// When its present incarnation started; `None` if long ago.
    pub started: Option<Millis>,
    /// A hash of its name, the same at every sidecar ([`crate::subset::name_key`]).
    pub key: u64,
}

/// An update from discovery.
#[derive(Debug, Clone, PartialEq)]
pub enum ListUpdate {
    /// The complete list from before a restart; may be out of date.
    Restored(Vec<Listing>),
    /// The complete list; servers that it lacks are gone.
    Complete(Vec<Listing>),
    /// Only the entries that have changed.
    Changed(Vec<Listing>),
    /// A call failed or the subscription ended; the current list stays in use.
    Unavailable,
}

/// A server's own report of its load. Any figure may be missing or out of range.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Report {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Utilisation of its cores, from 0 to 1.
    pub utilisation: Option<f64>,
    /// Requests served per second.
    pub served_per_s: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The attempt was served.
    Ok,
    /// The answer is an error; the attempt may have run.
    Error,
    /// The server had no capacity and rejected the attempt, which never ran.
    Full,
    /// No answer came in time; the attempt may have run or may run later.
    TimedOut,
    /// No connection could be established; the attempt never ran.
    Unreachable,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt never left this sidecar.
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
    /// The number of the attempt.
    pub attempt: AttemptNo,
    /// The server that it was sent to.
    pub upstream: UpstreamId,
    /// The outcome.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub latency: Millis,
    /// Whether the client has its final answer.
    pub client_answered: bool,
    /// A load report that came with the answer.
    pub report: Option<Report>,
}

/// Something that happened. Events of the same time are passed in their order.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request came in; its client is owed one final answer.
    RequestArrived {
        /// The id of the request, never used again.
        request: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: TenantId,
        /// How long the client waits.
        time_left: Millis,
    },
    /// An attempt ended. Follows each [`Action::Send`] exactly once.
    AttemptFinished(FinishedAttempt),
    /// The client is still uploading the body of an attempt in flight, or has written the last byte. From then
    /// on only the server is waited for, so the times of the request count from there.
    UploadProgress {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: AttemptNo,
        /// Whether the upload is still in progress.
        in_progress: bool,
    },
    /// The answer of an attempt in flight has begun and is not complete. From then on the server is known to
    /// work on the attempt.
    AnswerProgress {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: AttemptNo,
        /// How the answer goes on.
        progress: AnswerProgress,
    },
    /// The client disconnected; no answer is owed any more.
    ClientDisconnected(RequestId),
    /// A probe ended.
    ProbeFinished {
        /// The server that was probed.
        upstream: UpstreamId,
        /// Whether it answered.
        answered: bool,
        /// Its load report.
        report: Option<Report>,
    },
    /// An update from discovery.
    ListReceived(ListUpdate),
    /// The number of sidecars from now on, this one included. They share the allowance of each server that is
    /// warming up, so the event comes before more sidecars start and after some have ended.
    SidecarCountChanged(u32),
    /// A timer set with [`Action::SetTimer`] fired.
    TimerFired(u64),
}

/// How an answer that has begun goes on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerProgress {
    /// Its bytes arrive.
    Arriving,
    /// It has paused for longer than answers usually do. That is no evidence that it has ended.
    Paused {
        /// How long from now on nothing of it will be passed on, so that another attempt can replace it.
        replaceable_for: Millis,
    },
}

/// Something for the sidecar to do now, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server to send it to.
        upstream: UpstreamId,
        /// The time after which the attempt ends as timed out.
        timeout: Millis,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: AttemptNo,
    },
    /// Give the final answer that the request is refused; a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries.
        retry_after: Millis,
    },
    /// Give the final answer that the request has failed and may have been executed.
    Fail(RequestId),
    /// Ask a server for its load.
    Probe(UpstreamId),
    /// Pass in [`Event::TimerFired`] with this token at this time or soon after.
    SetTimer {
        /// When the timer fires.
        at: Millis,
        /// The token of the event.
        token: u64,
    },
    /// Subscribe to changes of the server list.
    Subscribe,
    /// Write a line to the operator's log.
    Log(String),
}
