//! The simulator's wire: JSON lines, read into types and turned into the module's own terms.

use mulleinvale::api::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

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
                WireLifecycle::Terminating | WireLifecycle::Terminated => Lifecycle::Leaving,
            },
            weight: row.capacity_hint,
            started: (row.launched > 0.0).then_some(row.launched),
        }
    }
}

#[derive(Deserialize)]
pub struct Config {
    classes: Vec<WireClass>,
    #[serde(default)]
    tenants: Vec<WireTenant>,
    #[serde(default)]
    over_share_worth: f64,
    #[serde(default)]
    zone: u64,
    peers_total: u32,
    #[serde(default)]
    fees: HashMap<String, f64>,
    allowed: Allowed,
    invariants: Invariants,
    #[serde(default)]
    period: f64,
    membership_mode: Membership,
    telemetry: Telemetry,
}

#[derive(Deserialize)]
struct WireClass {
    aim: f64,
    importance: f64,
    #[serde(default)]
    late_worth: f64,
    effect: WireEffect,
    #[serde(default)]
    dedup_scope: WireScope,
    #[serde(default)]
    window: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireEffect {
    Repeatable,
    ByKey,
    Once,
}

#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum WireScope {
    All,
    Zone,
    #[default]
    Cell,
}

#[derive(Deserialize)]
struct WireTenant {
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize)]
struct Allowed {
    max_attempts: u32,
    #[serde(default)]
    may_duplicate: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after: f64,
}

#[derive(Deserialize)]
struct Invariants {
    cold_share: f64,
    warm_up: f64,
    fall_multiple: f64,
    fall: f64,
    #[serde(default)]
    must_ask_in: f64,
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Membership {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
struct Telemetry {
    #[serde(default)]
    columns: Vec<String>,
}

impl Config {
    /// The settings in the module's terms.
    pub fn settings(&self) -> Settings {
        Settings {
            classes: self.classes.iter().map(WireClass::class).collect(),
            tenants: self.tenants.iter().map(|tenant| Tenant { quota_per_s: tenant.quota_per_s }).collect(),
            over_quota_worth: self.over_share_worth,
            zone: ZoneId(self.zone),
            sidecars: self.peers_total,
            crossing_fee: self.fees.get("cross_zone").copied().unwrap_or(0.0),
            limits: Limits {
                max_attempts: self.allowed.max_attempts,
                duplicates: self.allowed.may_duplicate,
                probes: self.allowed.probes,
                cancel: self.allowed.cancel,
                max_retry_after: if self.allowed.retry_after { self.allowed.max_retry_after } else { 0.0 },
                tick: self.period,
            },
            safety: Safety {
                cold_share: self.invariants.cold_share,
                warm_up: self.invariants.warm_up,
                fall_multiple: self.invariants.fall_multiple,
                fall: self.invariants.fall,
            },
            discovery: match self.membership_mode {
                Membership::Automatic => Discovery::Pushed,
                Membership::Subscribe => Discovery::Subscribed { must_ask_in: self.invariants.must_ask_in },
            },
        }
    }

    /// The order of the figures in a load report.
    pub fn columns(&self) -> Vec<Column> {
        self.telemetry.columns.iter().map(|name| Column::named(name)).collect()
    }
}

impl WireClass {
    fn class(&self) -> Class {
        let scope = match self.dedup_scope {
            WireScope::All => Scope::All,
            WireScope::Zone => Scope::Zone,
            WireScope::Cell => Scope::Cell,
        };
        Class {
            aim: self.aim,
            worth: self.importance,
            late_worth: self.late_worth,
            effect: match self.effect {
                WireEffect::Repeatable => Effect::Repeatable,
                WireEffect::ByKey => Effect::ByKey { scope, window: self.window },
                WireEffect::Once => Effect::Once,
            },
        }
    }
}

/// A figure in a load report that the module can use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Column {
    InFlight,
    Utilisation,
    Served,
    Errors,
    Other,
}

impl Column {
    fn named(name: &str) -> Column {
        match name {
            "inflight" => Column::InFlight,
            "util" => Column::Utilisation,
            "qps" => Column::Served,
            "eps" => Column::Errors,
            _ => Column::Other,
        }
    }
}

/// Puts the figures of a report in their places.
pub fn report(columns: &[Column], stats: &[f64]) -> Report {
    let mut report = Report::default();
    for (column, value) in columns.iter().zip(stats) {
        match column {
            Column::InFlight => report.in_flight = Some(*value),
            Column::Utilisation => report.utilisation = Some(*value),
            Column::Served => report.served_per_s = Some(*value),
            Column::Errors => report.errors_per_s = Some(*value),
            Column::Other => {}
        }
    }
    report
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
            Action::WakeAt { at, token } => WireAction::SetAlarm { time: at, token },
            Action::Subscribe => WireAction::Follow { want: true },
            Action::Log(text) => WireAction::NoteDown { text },
        }
    }
}
