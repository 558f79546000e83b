//! The simulator's wire: JSON lines, read into types and turned into the module's own terms.

use sagemast_decide::api::*;
use sagemast_decide::settings::Config;
use sagemast_decide::subset::mix;
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
pub struct Batch {
    pub wall: f64,
    pub turn: u64,
    pub parts: Vec<Inbox>,
}

#[derive(Deserialize)]
pub struct Inbox {
    pub sidecar: String,
    pub inbox: Vec<WireEvent>,
}

#[derive(Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum WireEvent {
    Hello {
        salt: u64,
        config: Box<Config>,
    },
    DefineList {
        list: u64,
        rows_in: Vec<Row>,
    },
    Sync {
        mode: SyncMode,
        list: Option<u64>,
    },
    Arrival {
        xid: Hex,
        #[serde(default)]
        owner: usize,
        time_left: f64,
        category: usize,
    },
    Killed,
    Pong {
        upstream: u64,
        disposition: Disposition,
        server_stats: Option<Vec<f64>>,
    },
    Ring {
        #[serde(rename = "ref")]
        token: u64,
    },
    Lapsed {
        xid: Hex,
    },
    Heard {},
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
    UnderWay {},
}

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
    fn deserialize<D: serde::Deserializer<'de>>(de: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(de)?;
        // A sign would pass for a digit.
        let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value = u64::from_str_radix(&text, 16).ok().filter(|_| digits);
        value.map(Hex).ok_or_else(|| serde::de::Error::custom("a request id is 16 hex digits"))
    }
}

impl Serialize for Hex {
    fn serialize<S: serde::Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        ser.collect_str(&format_args!("{:016x}", self.0))
    }
}

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
    fn from(wire: Disposition) -> Outcome {
        match wire {
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
    #[serde(default = "one")]
    capacity_hint: f64,
    #[serde(default)]
    launched: f64,
}

fn one() -> f64 {
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

#[derive(Serialize)]
pub struct Reply {
    pub turn: u64,
    pub parts: Vec<Outbox>,
}

#[derive(Serialize)]
pub struct Outbox {
    pub sidecar: String,
    pub actions: Vec<WireAction>,
}

#[derive(Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum WireAction {
    Relay {
        xid: Hex,
        upstream: u64,
        patience: f64,
    },
    Revoke {
        xid: Hex,
        shot: u32,
    },
    PushBack {
        xid: Hex,
        come_back: f64,
    },
    Fail {
        xid: Hex,
    },
    AskLoad {
        upstream: u64,
    },
    SetAlarm {
        time: f64,
        #[serde(rename = "ref")]
        token: u64,
    },
    Follow {
        want: bool,
    },
    NoteDown {
        text: String,
    },
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
