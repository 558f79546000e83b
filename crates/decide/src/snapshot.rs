//! The estimates that a process hands over to its successor, of each server and of all servers. Times are
//! ages, since the clocks of the two processes have different origins. A snapshot is validated and restored
//! as a whole or not at all.
//!
//! Attempts in flight are not part of it: a request stays with the process that accepted it. Neither is the
//! credit for servers that are warming up: after a restore, a process starts without credit and earns its
//! own. Serialized names must not change, since the two processes may be of different versions.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Balancer;
use crate::api::*;
use crate::estimates::{ClassEstimates, KindEstimates};
use crate::state::{Health, Upstream};

/// More servers than any site has.
const MAX_SERVERS: usize = 100_000;
/// More kinds of machine than the module keeps.
const MAX_KINDS: usize = 1_024;
/// Above any real time, count or capacity.
const MAX_VALUE: f64 = 1e9;

/// The estimates of a balancer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The estimates of each server, by id.
    pub servers: Vec<(u64, ServerSnapshot)>,
    /// The estimates of all servers and all arrivals.
    pub all: SharedSnapshot,
}

/// The estimates of one server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServerSnapshot {
    #[serde(rename = "kappa")]
    capacity: Option<f64>,
    mean_in_flight: f64,
    utilisation: Option<f64>,
    /// Requests in flight by the last report, plus this sidecar's sends since.
    in_flight: f64,
    #[serde(rename = "reported")]
    report_age: Option<Millis>,
    /// Time for which the last report remains valid.
    #[serde(rename = "heard")]
    report_valid_for: Option<Millis>,
    #[serde(rename = "slowness")]
    relative_service_time: f64,
    #[serde(rename = "learnt")]
    estimate_age: Option<Millis>,
    #[serde(rename = "answered")]
    answer_age: Option<Millis>,
    failure_rate: f64,
    /// For an ejected server: the time left of the ejection, and its length before jitter.
    #[serde(rename = "ejected")]
    ejection: Option<(Millis, Millis)>,
}

/// The estimates of all servers and all arrivals.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SharedSnapshot {
    /// By class: service time, samples, refused share.
    classes: Vec<(Millis, f64, f64)>,
    /// By kind of machine.
    kinds: Vec<(u64, KindSnapshot)>,
    fleet: KindSnapshot,
    #[serde(rename = "refused")]
    refused_share: f64,
    retry_tokens: f64,
    #[serde(rename = "room_scale")]
    wait_scale: f64,
    #[serde(rename = "usual_density")]
    mean_density: Option<f64>,
    tenant_shares: Vec<f64>,
    #[serde(rename = "lateness")]
    late_report_share: f64,
    #[serde(rename = "usual_service")]
    mean_service_time: Option<Millis>,
    probe_time: Option<Millis>,
    #[serde(rename = "first")]
    first_report_age: Option<Millis>,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct KindSnapshot {
    in_flight: f64,
    utilisation: f64,
    reports: f64,
    #[serde(rename = "pace")]
    relative_service_time: f64,
    answers: f64,
}

/// The reason for which a snapshot cannot be restored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SnapshotError {
    /// Its classes or tenants are not those of the settings.
    DifferentClassesOrTenants,
    /// It has more servers or kinds of machine than allowed.
    TooManyEntries,
    /// One of its values is out of range.
    ImplausibleValue(&'static str),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SnapshotError::DifferentClassesOrTenants => {
                write!(f, "the snapshot has other classes or tenants than the settings")
            }
            SnapshotError::TooManyEntries => {
                write!(f, "the snapshot has more servers or kinds of machine than allowed")
            }
            SnapshotError::ImplausibleValue(name) => write!(f, "the snapshot's {name} is out of range"),
        }
    }
}

impl std::error::Error for SnapshotError {}

fn is_share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn is_amount(value: f64) -> bool {
    (0.0..=MAX_VALUE).contains(&value)
}

fn is_positive_amount(value: f64) -> bool {
    value > 0.0 && value <= MAX_VALUE
}

fn is_none_or(value: Option<f64>, is_valid: fn(f64) -> bool) -> bool {
    value.is_none_or(is_valid)
}

fn ensure(is_valid: bool, name: &'static str) -> Result<(), SnapshotError> {
    if is_valid { Ok(()) } else { Err(SnapshotError::ImplausibleValue(name)) }
}

impl ServerSnapshot {
    fn of(upstream: &Upstream, now: Millis) -> ServerSnapshot {
        let age = |at: Millis| at.is_finite().then(|| (now - at).clamp(0.0, MAX_VALUE));
        let (unreported, own) = (upstream.unreported_sends as f64, upstream.outstanding.len() as f64);
        let bounded = |value: f64| value.clamp(0.0, MAX_VALUE);
        ServerSnapshot {
            capacity: upstream.capacity,
            mean_in_flight: bounded(upstream.mean_in_flight),
            utilisation: upstream.utilisation.map(bounded),
            in_flight: bounded((upstream.reported_in_flight + unreported).max(own)),
            report_age: age(upstream.reported_at),
            report_valid_for: upstream.has_valid_report.then(|| bounded(upstream.report_valid_until - now)),
            relative_service_time: upstream.relative_service_time,
            estimate_age: age(upstream.estimated_at),
            answer_age: age(upstream.answered_at),
            failure_rate: upstream.failure_rate.clamp(0.0, 1.0),
            ejection: match upstream.health {
                Health::Ready => None,
                Health::Ejected { until, wait } => Some((bounded(until - now), bounded(wait))),
            },
        }
    }

    fn validate(&self) -> Result<(), SnapshotError> {
        ensure(is_none_or(self.capacity, is_positive_amount), "capacity")?;
        ensure(is_amount(self.mean_in_flight) && is_amount(self.in_flight), "load")?;
        ensure(is_none_or(self.utilisation, is_amount), "utilisation")?;
        let times = [self.report_age, self.report_valid_for, self.estimate_age, self.answer_age];
        ensure(times.into_iter().all(|time| is_none_or(time, is_amount)), "age")?;
        ensure(is_positive_amount(self.relative_service_time), "relative service time")?;
        ensure(is_share(self.failure_rate), "failure rate")?;
        let is_valid = |(time_left, wait)| is_amount(time_left) && is_amount(wait);
        ensure(self.ejection.is_none_or(is_valid), "ejection")
    }

    fn restore(&self, upstream: &mut Upstream, now: Millis) {
        let at = |age: Option<Millis>| age.map_or(f64::NEG_INFINITY, |age| now - age);
        upstream.capacity = self.capacity;
        upstream.capacity_samples = self.capacity.map_or(0.0, |_| MAX_VALUE);
        upstream.mean_in_flight = self.mean_in_flight;
        upstream.utilisation = self.utilisation;
        upstream.reported_in_flight = self.in_flight;
        upstream.reported_at = at(self.report_age);
        upstream.has_valid_report = self.report_valid_for.is_some();
        upstream.report_valid_until = self.report_valid_for.map_or(f64::NEG_INFINITY, |left| now + left);
        upstream.relative_service_time = self.relative_service_time;
        upstream.estimated_at = at(self.estimate_age);
        upstream.answered_at = at(self.answer_age);
        upstream.failure_rate = self.failure_rate;
        upstream.is_half_open = false;
        upstream.health = self
            .ejection
            .map_or(Health::Ready, |(time_left, wait)| Health::Ejected { until: now + time_left, wait });
        (upstream.slow_start_credit, upstream.slow_start_credit_at) = (0.0, now);
    }
}

impl KindSnapshot {
    fn of(kind: &KindEstimates) -> KindSnapshot {
        let KindEstimates { in_flight, utilisation, reports, relative_service_time, answers, .. } = *kind;
        KindSnapshot {
            in_flight,
            utilisation,
            reports: reports.min(MAX_VALUE),
            relative_service_time,
            answers: answers.min(MAX_VALUE),
        }
    }

    fn validate(&self) -> Result<(), SnapshotError> {
        let counts_are_valid = is_amount(self.reports) && is_amount(self.answers);
        let has_capacity = self.reports == 0.0 || self.utilisation > 0.0;
        let loads_are_valid = is_amount(self.in_flight) && is_amount(self.utilisation);
        ensure(counts_are_valid && has_capacity && loads_are_valid, "estimate of a kind of machine")?;
        ensure(is_positive_amount(self.relative_service_time), "relative service time of a kind of machine")
    }

    fn estimates(&self) -> KindEstimates {
        let KindSnapshot { in_flight, utilisation, reports, relative_service_time, answers } = *self;
        KindEstimates {
            in_flight,
            utilisation,
            reports,
            relative_service_time,
            answers,
            ..KindEstimates::default()
        }
    }
}

impl Snapshot {
    /// Checks all values, and that the snapshot has these numbers of classes and tenants.
    fn validate(&self, classes: usize, tenants: usize) -> Result<(), SnapshotError> {
        let all = &self.all;
        if all.classes.len() != classes || all.tenant_shares.len() != tenants {
            return Err(SnapshotError::DifferentClassesOrTenants);
        }
        if self.servers.len() > MAX_SERVERS || all.kinds.len() > MAX_KINDS {
            return Err(SnapshotError::TooManyEntries);
        }
        self.servers.iter().try_for_each(|(_, server)| server.validate())?;
        for (service_time, samples, refused_share) in &all.classes {
            let is_valid =
                is_positive_amount(*service_time) && is_amount(*samples) && is_share(*refused_share);
            ensure(is_valid, "service time")?;
        }
        all.kinds.iter().try_for_each(|(_, kind)| kind.validate())?;
        all.fleet.validate()?;
        ensure(
            is_share(all.refused_share) && is_share(all.late_report_share),
            "share of refusals or of late reports",
        )?;
        let wait_scale_is_valid = is_share(all.wait_scale) && all.wait_scale > 0.0;
        ensure(is_amount(all.retry_tokens) && wait_scale_is_valid, "retry tokens or wait scale")?;
        ensure(is_none_or(all.mean_density, is_positive_amount), "mean worth")?;
        ensure(all.tenant_shares.iter().all(|value| is_share(*value)), "tenant share")?;
        let times = [all.mean_service_time, all.probe_time];
        ensure(times.into_iter().all(|time| is_none_or(time, is_amount)), "mean service time or probe time")?;
        let first_report_is_valid = is_none_or(all.first_report_age, is_amount);
        ensure(
            is_none_or(all.mean_service_time, is_positive_amount) && first_report_is_valid,
            "mean service time or age of the first report",
        )
    }
}

impl Balancer {
    /// The current estimates.
    pub fn snapshot(&self, now: Millis) -> Snapshot {
        let (estimates, now) = (&self.estimates, now.max(self.now));
        let age = |at: Millis| (now - at).clamp(0.0, MAX_VALUE);
        let class =
            |class: &ClassEstimates| (class.service_time, class.samples.min(MAX_VALUE), class.refused_share);
        Snapshot {
            servers: self
                .upstreams
                .iter()
                .map(|(id, upstream)| (id.0, ServerSnapshot::of(upstream, now)))
                .collect(),
            all: SharedSnapshot {
                classes: estimates.classes.iter().map(class).collect(),
                kinds: estimates.kinds.iter().map(|(id, kind)| (id.0, KindSnapshot::of(kind))).collect(),
                fleet: KindSnapshot::of(&estimates.fleet),
                refused_share: estimates.refused_share,
                // Both processes may retry from now on, but together only as often as one.
                retry_tokens: (estimates.retry_tokens / 2.0).max(0.0),
                wait_scale: estimates.wait_scale,
                mean_density: estimates.mean_density,
                tenant_shares: estimates.tenant_shares.clone(),
                late_report_share: estimates.late_report_share,
                mean_service_time: estimates.mean_service_time,
                probe_time: estimates.probe_time,
                first_report_age: estimates.first_report_at.map(age),
            },
        }
    }

    /// Replaces the estimates by those of a snapshot. Servers that are not listed here are ignored.
    ///
    /// # Errors
    /// The snapshot has other classes or tenants, too many entries or a value out of range. Nothing of it is
    /// restored.
    pub fn restore(&mut self, now: Millis, snapshot: &Snapshot) -> Result<(), SnapshotError> {
        snapshot.validate(self.estimates.classes.len(), self.estimates.tenant_shares.len())?;
        self.now = self.now.max(now);
        let now = self.now;
        for (id, server) in &snapshot.servers {
            self.upstreams.update(UpstreamId(*id), |upstream| server.restore(upstream, now));
        }
        let (all, estimates) = (&snapshot.all, &mut self.estimates);
        let class = |(service_time, samples, refused_share): &(f64, f64, f64)| ClassEstimates {
            service_time: *service_time,
            samples: *samples,
            refused_share: *refused_share,
            ..ClassEstimates::new(*service_time)
        };
        estimates.classes = all.classes.iter().map(class).collect();
        estimates.kinds = all.kinds.iter().map(|(id, kind)| (KindId(*id), kind.estimates())).collect();
        estimates.fleet = all.fleet.estimates();
        estimates.refused_share = all.refused_share;
        estimates.retry_tokens = all.retry_tokens.min(estimates.retry_tokens);
        estimates.wait_scale = all.wait_scale;
        estimates.mean_density = all.mean_density;
        estimates.tenant_shares.clone_from(&all.tenant_shares);
        estimates.late_report_share = all.late_report_share;
        estimates.mean_service_time = all.mean_service_time;
        estimates.probe_time = all.probe_time;
        estimates.first_report_at = all.first_report_age.map(|age| now - age);
        Ok(())
    }
}
