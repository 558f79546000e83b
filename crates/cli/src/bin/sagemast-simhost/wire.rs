//! The simulator's protocol: JSON lines, with conversions to and from the types of the decision module. Types
//! and fields have the names of the protocol.

use sagemast_decide::api::*;
use sagemast_decide::settings::Config;
use sagemast_decide::subset::mix;
use serde::{Deserialize, Serialize};

/// One input line: events of several sidecars at one time.
#[derive(Deserialize)]
pub struct Batch {
    /// Current time in milliseconds.
    pub wall: f64,
    /// Number of the batch, which its reply repeats.
    pub turn: u64,
    pub parts: Vec<Inbox>,
}

/// Events of one sidecar, in order.
#[derive(Deserialize)]
pub struct Inbox {
    pub sidecar: String,
    pub inbox: Vec<WireEvent>,
}

/// An event for one sidecar.
#[derive(Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum WireEvent {
    /// The sidecar starts.
    Hello { salt: u64, config: Box<Config> },
    /// Defines a host list to which later events refer by its number.
    DefineList { list: u64, rows_in: Vec<Row> },
    /// An update of the host list, or its loss.
    Sync { mode: SyncMode, list: Option<u64> },
    /// A request has arrived.
    Arrival {
        xid: Hex,
        #[serde(default)]
        owner: usize,
        time_left: f64,
        category: usize,
    },
    /// The sidecar was killed.
    Killed,
    /// A probe has finished.
    Pong { upstream: u64, disposition: Disposition, server_stats: Option<Vec<f64>> },
    /// A timer has fired.
    Ring {
        #[serde(rename = "ref")]
        token: u64,
    },
    /// The client of a request has disconnected.
    Lapsed { xid: Hex },
    /// Not used by the decision module.
    Heard {},
    /// An attempt has finished.
    Returned {
        xid: Hex,
        #[serde(default)]
        ended: bool,
        upstream: u64,
        shot: u32,
        latency: f64,
        disposition: Disposition,
        server_stats: Option<Vec<f64>>,
    },
    /// Not used by the decision module.
    UnderWay {},
}

/// How a sync event changes the host list.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum SyncMode {
    Update,
    Replace,
    Restored,
    Unavailable,
}

/// A request id: 16 hex digits on the wire.
#[derive(Clone, Copy)]
pub struct Hex(pub u64);

impl<'de> Deserialize<'de> for Hex {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        // `from_str_radix` would accept a sign as the first character.
        let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value = u64::from_str_radix(&text, 16).ok().filter(|_| digits);
        value.map(Hex).ok_or_else(|| serde::de::Error::custom("a request id must be 16 hex digits"))
    }
}

impl Serialize for Hex {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{:016x}", self.0))
    }
}

/// The outcome of an attempt or a probe.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Disposition {
    Pass,
    Fault,
    NoRoom,
    TooSlow,
    NoRoute,
    Cut,
    Undone,
    StaleSend,
}

impl From<Disposition> for Outcome {
    fn from(disposition: Disposition) -> Outcome {
        match disposition {
            Disposition::Pass => Outcome::Ok,
            Disposition::Fault => Outcome::Error,
            Disposition::NoRoom => Outcome::Full,
            Disposition::TooSlow => Outcome::TimedOut,
            Disposition::NoRoute => Outcome::Unreachable,
            Disposition::Cut => Outcome::Reset,
            Disposition::Undone => Outcome::Cancelled,
            Disposition::StaleSend => Outcome::NotSent,
        }
    }
}

/// The entry of one upstream in a host list.
#[derive(Deserialize, Clone)]
pub struct Row {
    upstream: u64,
    #[serde(default)]
    hall: u64,
    #[serde(default)]
    shape: u64,
    #[serde(default)]
    stripe: u64,
    lifecycle: WireLifecycle,
    #[serde(default = "default_capacity_hint")]
    capacity_hint: f64,
    #[serde(default)]
    launched: f64,
}

fn default_capacity_hint() -> f64 {
    1.0
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum WireLifecycle {
    InService,
    Terminating,
    Terminated,
}

impl From<&Row> for Listing {
    fn from(row: &Row) -> Listing {
        Listing {
            upstream: UpstreamId(row.upstream),
            zone: ZoneId(row.hall),
            cell: CellId(row.stripe),
            kind: KindId(row.shape),
            lifecycle: match row.lifecycle {
                WireLifecycle::InService => Lifecycle::Serving,
                WireLifecycle::Terminating | WireLifecycle::Terminated => Lifecycle::Draining,
            },
            weight: row.capacity_hint,
            started: (row.launched > 0.0).then_some(row.launched),
            key: mix(row.upstream),
        }
    }
}

/// One output line: the actions that a batch has caused.
#[derive(Serialize)]
pub struct Reply {
    pub turn: u64,
    pub parts: Vec<Outbox>,
}

/// Actions of one sidecar, in order.
#[derive(Serialize)]
pub struct Outbox {
    pub sidecar: String,
    pub actions: Vec<WireAction>,
}

/// An action of one sidecar.
#[derive(Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum WireAction {
    /// Start an attempt.
    Relay { xid: Hex, upstream: u64, patience: f64 },
    /// Cancel an attempt.
    Revoke { xid: Hex, shot: u32 },
    /// Refuse a request.
    PushBack { xid: Hex, come_back: f64 },
    /// Fail a request.
    Fail { xid: Hex },
    /// Probe an upstream.
    AskLoad { upstream: u64 },
    /// Set a timer.
    SetAlarm {
        time: f64,
        #[serde(rename = "ref")]
        token: u64,
    },
    /// Subscribe to the host list.
    Follow { want: bool },
    /// Write a log line.
    NoteDown { text: String },
}

impl From<Action> for WireAction {
    fn from(action: Action) -> WireAction {
        match action {
            Action::Send { request, upstream, timeout } => {
                WireAction::Relay { xid: Hex(request.0), upstream: upstream.0, patience: timeout }
            }
            Action::Cancel { request, attempt } => {
                WireAction::Revoke { xid: Hex(request.0), shot: attempt.0 }
            }
            Action::Refuse { request, retry_after } => {
                WireAction::PushBack { xid: Hex(request.0), come_back: retry_after }
            }
            Action::Fail(request) => WireAction::Fail { xid: Hex(request.0) },
            Action::Probe(upstream) => WireAction::AskLoad { upstream: upstream.0 },
            Action::SetTimer { at, token } => WireAction::SetAlarm { time: at, token },
            Action::Subscribe => WireAction::Follow { want: true },
            Action::Log(text) => WireAction::NoteDown { text },
        }
    }
}
