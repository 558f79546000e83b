//! Reads settings and load reports. The simulator's first message and the sidecar's configuration hold the
//! same settings object, so both programs read that object here.

use std::collections::HashMap;

use serde::Deserialize;

use crate::api::*;
use crate::subset;

/// The settings object as written on the wire and in the configuration. Unknown keys are ignored.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Config {
    classes: Vec<WireClass>,
    #[serde(default)]
    tenants: Vec<WireTenant>,
    #[serde(default)]
    over_share_worth: f64,
    #[serde(default)]
    zone: u64,
    #[serde(default)]
    azs: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    peers_total: u32,
    #[serde(default)]
    rank: Option<u32>,
    /// A hash of the sidecar's name, where names identify sidecars.
    #[serde(skip)]
    name_key: Option<u64>,
    #[serde(default)]
    fees: HashMap<String, f64>,
    allowed: Allowed,
    invariants: Invariants,
    #[serde(default)]
    period: f64,
    membership_mode: Membership,
    telemetry: Telemetry,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
struct WireClass {
    #[serde(default)]
    name: String,
    #[serde(default)]
    hard_limit: f64,
    aim: f64,
    importance: f64,
    #[serde(default)]
    late_worth: f64,
    effect: WireEffect,
    #[serde(default)]
    dedup_scope: WireScope,
    #[serde(default)]
    window: f64,
    #[serde(default)]
    put: bool,
}

/// The form in which requests of a class arrive.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassForm {
    /// The first segment of the path.
    pub name: String,
    /// The effect of running a request twice.
    pub effect: Effect,
    /// Whether idempotent requests may also arrive as PUT, with a body (RFC 9110, section 9.2.2). Those of
    /// the platform's own classes never do.
    pub put: bool,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireEffect {
    Repeatable,
    ByKey,
    Once,
}

#[derive(Debug, PartialEq, Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum WireScope {
    All,
    Zone,
    #[default]
    Cell,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
struct WireTenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
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
    #[serde(default = "default_keepalive")]
    keepalive: f64,
    #[serde(default = "default_connect_timeout")]
    connect_timeout: f64,
}

fn default_keepalive() -> f64 {
    15_000.0
}

/// The default that the operators' documentation states.
fn default_drain_grace() -> f64 {
    1_000.0
}

fn default_connect_timeout() -> f64 {
    250.0
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
struct Invariants {
    cold_share: f64,
    warm_up: f64,
    fall_multiple: f64,
    fall: f64,
    #[serde(default)]
    must_ask_in: f64,
    #[serde(default = "default_drain_grace")]
    drain_grace: f64,
}

#[derive(Debug, Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Membership {
    Automatic,
    Subscribe,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
struct Telemetry {
    #[serde(default)]
    how: String,
    #[serde(default)]
    columns: Vec<String>,
}

impl Config {
    /// Converts to the settings of the decision module.
    pub fn settings(&self) -> Settings {
        Settings {
            classes: self.classes.iter().map(WireClass::class).collect(),
            tenants: self.tenants.iter().map(|tenant| Tenant { quota_per_s: tenant.quota_per_s }).collect(),
            over_quota_worth: self.over_share_worth,
            zone: ZoneId(self.zone),
            sidecars: self.peers_total,
            identity: match (self.rank, self.name_key) {
                (_, Some(key)) => Identity::Named(key),
                (Some(rank), None) => Identity::Ranked { rank, count: self.peers_total },
                (None, None) => Identity::Anonymous,
            },
            cross_zone_cost: self.fees.get("cross_zone").copied().unwrap_or(0.0),
            probe_cost: self.fees.get("probe").copied().unwrap_or(0.0),
            attempt_cost: ["waste", "handshake"].iter().filter_map(|key| self.fees.get(*key)).sum(),
            limits: Limits {
                max_attempts: self.allowed.max_attempts,
                allow_parallel_attempts: self.allowed.may_duplicate,
                probes: self.allowed.probes,
                cancel: self.allowed.cancel,
                max_retry_after: if self.allowed.retry_after { self.allowed.max_retry_after } else { 0.0 },
                tick: self.period,
            },
            slow_start: SlowStartLimits {
                initial_capacity_share: self.invariants.cold_share,
                warm_up: self.invariants.warm_up,
                overload_multiple: self.invariants.fall_multiple,
                overload_window: self.invariants.fall,
            },
            discovery: match self.membership_mode {
                Membership::Automatic => Discovery::Pushed,
                Membership::Subscribe => {
                    Discovery::Subscribed { staleness_bound: self.invariants.must_ask_in }
                }
            },
        }
    }

    /// Whether sidecars are identified by number.
    pub fn is_ranked(&self) -> bool {
        self.rank.is_some()
    }

    /// Identifies this sidecar by its name. A number in the settings is then ignored.
    pub fn with_identity_from_name(mut self, name: &str) -> Config {
        self.name_key = Some(subset::name_key(name));
        self
    }

    /// All values that no sidecar could work with, each as a key and an error text. The simulator's own
    /// settings always pass.
    pub fn validation_errors(&self) -> Vec<(String, String)> {
        let mut errors = Vec::new();
        let mut add_error = |key: String, text: String| errors.push((key, text));
        if self.classes.is_empty() {
            add_error("classes".to_owned(), "at least one class is needed".to_owned());
        }
        let is_valid = |value: f64| value.is_finite() && value > 0.0 && value < 1e9;
        for (number, class) in self.classes.iter().enumerate() {
            if class.name.is_empty() {
                add_error(format!("classes[{number}].name"), "the class has no name".to_owned());
            }
            if self.classes[..number].iter().any(|other| other.name == class.name) {
                add_error(
                    format!("classes[{number}].name"),
                    format!("two classes are named {:?}", class.name),
                );
            }
            if class.put && class.effect != WireEffect::Repeatable {
                let text =
                    "only requests of a repeatable class may arrive as PUT; remove this key".to_owned();
                add_error(format!("classes[{number}].put"), text);
            }
            let values =
                [("aim", class.aim), ("hard_limit", class.hard_limit), ("importance", class.importance)];
            for (key, value) in values.into_iter().filter(|(_, value)| !is_valid(*value)) {
                add_error(
                    format!("classes[{number}].{key}"),
                    format!("it is {value}; a positive number is needed"),
                );
            }
        }
        if self.allowed.max_attempts == 0 {
            add_error("allowed.max_attempts".to_owned(), "it is 0; at least 1 is needed".to_owned());
        }
        let values = [
            ("allowed.keepalive", self.allowed.keepalive),
            ("allowed.connect_timeout", self.allowed.connect_timeout),
            ("invariants.cold_share", self.invariants.cold_share),
            ("invariants.warm_up", self.invariants.warm_up),
            ("invariants.fall_multiple", self.invariants.fall_multiple),
            ("invariants.fall", self.invariants.fall),
        ];
        for (key, value) in values.into_iter().filter(|(_, value)| !is_valid(*value)) {
            add_error(key.to_owned(), format!("it is {value}; a positive number is needed"));
        }
        let grace = self.invariants.drain_grace;
        if !(0.0..1e9).contains(&grace) {
            add_error("invariants.drain_grace".to_owned(), format!("it is {grace}; 0 or more is needed"));
        }
        errors
    }

    /// The forms of requests, by class id.
    pub fn classes(&self) -> Vec<ClassForm> {
        let form = |class: &WireClass| ClassForm {
            name: class.name.clone(),
            effect: class.class().effect,
            put: class.put,
        };
        self.classes.iter().map(form).collect()
    }

    /// Names of the tenants, by tenant id.
    pub fn tenant_names(&self) -> Vec<String> {
        self.tenants.iter().map(|tenant| tenant.name.clone()).collect()
    }

    /// Names of the zones, by zone id.
    pub fn zone_names(&self) -> &[String] {
        &self.azs
    }

    /// Names of the kinds of machine, by kind id.
    pub fn kind_names(&self) -> &[String] {
        &self.kinds
    }

    /// The id of a zone. A zone that the settings do not list gets an id from a hash of its name.
    pub fn zone_id(&self, name: &str) -> u64 {
        index_or_hash(&self.azs, name)
    }

    /// The id of a kind of machine. A kind that the settings do not list gets an id from a hash of its name.
    pub fn kind_id(&self, name: &str) -> u64 {
        index_or_hash(&self.kinds, name)
    }

    /// The longest time that a client of any class waits, including its retries.
    pub fn longest_deadline_ms(&self) -> Millis {
        self.classes.iter().map(|class| class.hard_limit).fold(0.0, f64::max)
    }

    /// The shortest aim of all classes.
    pub fn shortest_aim_ms(&self) -> Millis {
        self.classes.iter().map(|class| class.aim).fold(f64::INFINITY, f64::min)
    }

    /// Connections are closed after this idle time.
    pub fn keepalive_ms(&self) -> Millis {
        self.allowed.keepalive
    }

    /// A connection attempt that takes longer has failed.
    pub fn connect_timeout_ms(&self) -> Millis {
        self.allowed.connect_timeout
    }

    /// The longest time for which new requests may go to an upstream after the sidecar was notified that it
    /// drains or is gone.
    pub fn drain_grace_ms(&self) -> Millis {
        self.invariants.drain_grace
    }

    /// Whether answers to requests carry load reports.
    pub fn reports_in_answers(&self) -> bool {
        self.telemetry.how == "piggyback"
    }

    /// The figures of a load report, in the order of a positional report.
    pub fn columns(&self) -> Vec<Column> {
        self.telemetry.columns.iter().map(|name| Column::named(name)).collect()
    }
}

impl WireClass {
    fn class(&self) -> Class {
        let scope = match self.dedup_scope {
            WireScope::All => KeyScope::All,
            WireScope::Zone => KeyScope::Zone,
            WireScope::Cell => KeyScope::Cell,
        };
        Class {
            aim: self.aim,
            worth: self.importance,
            late_worth: self.late_worth,
            effect: match self.effect {
                WireEffect::Repeatable => Effect::Idempotent,
                WireEffect::ByKey => Effect::IdempotentByKey { scope, window: self.window },
                WireEffect::Once => Effect::NonIdempotent,
            },
        }
    }
}

/// A figure in a load report that the module can use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Column {
    /// Requests in flight.
    InFlight,
    /// Utilisation of the cores.
    Utilisation,
    /// Requests served per second.
    Served,
    /// Errors per second.
    Errors,
    /// A figure that the module does not use.
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

/// Builds a report from the values of a positional report.
pub fn report_from_columns(columns: &[Column], values: &[f64]) -> Report {
    let mut report = Report::default();
    for (column, value) in columns.iter().zip(values) {
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

/// The index of a name in a list; for a name that is not listed, a hash of the name beyond all indices.
fn index_or_hash(names: &[String], name: &str) -> u64 {
    let hash = || name.bytes().fold(1 << 32, |sum: u64, byte| sum.wrapping_mul(257) + u64::from(byte));
    names.iter().position(|listed| listed == name).map_or_else(hash, |index| index as u64)
}

/// Reads the figures that the settings list from a load report of the form `TEXT inflight=7, util=0.61`.
/// `None` if the report has no valid figure among them.
pub fn report_from_text(columns: &[Column], text: &str) -> Option<Report> {
    let figures = text.trim().strip_prefix("TEXT")?;
    let (mut found_columns, mut values) = (Vec::new(), Vec::new());
    for figure in figures.split(',') {
        let Some((name, value)) = figure.split_once('=') else { continue };
        let column = Column::named(name.trim());
        let value = value.trim().parse().ok().filter(|v: &f64| (0.0..=MAX_REPORTED_VALUE).contains(v));
        if let (true, Some(value)) = (columns.contains(&column), value) {
            found_columns.push(column);
            values.push(value);
        }
    }
    (!found_columns.is_empty()).then(|| report_from_columns(&found_columns, &values))
}

/// The largest valid figure in a load report.
const MAX_REPORTED_VALUE: f64 = 1e6;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn report_from_text_reads_listed_figures_and_rejects_invalid_texts() {
        let columns = [Column::InFlight, Column::Errors, Column::Utilisation];
        let read = |text| report_from_text(&columns, text);
        let report = read("TEXT inflight=7, queue=2, util=0.61").expect("two of three figures are there");
        assert_eq!((report.in_flight, report.utilisation), (Some(7.0), Some(0.61)));
        assert_eq!((report.errors_per_s, report.served_per_s), (None, None));
        for invalid in
            ["", "TEXT", "JSON {}", "TEXT inflight=NaN", "TEXT inflight=-1,util=1e99", "TEXT qps=4"]
        {
            assert_eq!(read(invalid), None, "{invalid}");
        }
    }
}
