//! Reads the settings object and load reports. The simulator's first message and the sidecar's configuration
//! hold the same object, so both programs read it here.

use std::collections::HashMap;

use serde::Deserialize;

use crate::api::*;

/// The settings object as it stands on the wire. Keys that are not listed here are passed over.
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

    /// The figures of a load report, in the order of a positional one.
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
    /// Requests in hand.
    InFlight,
    /// How busy the cores are.
    Utilisation,
    /// Requests served a second.
    Served,
    /// Errors a second.
    Errors,
    /// One that the module has no use for.
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
