//! What the module has learnt, as it passes to a successor: of each server, and of all. Times are ages, so that the clock
//! of the one who reads it may start anywhere. It is checked whole and taken whole, or not at all.
//!
//! What is out is not part of it: a request stays with the process that took it. Nor is the cold allowance: who takes a
//! memory over starts with nothing saved up, and earns its part from then on.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Balancer;
use crate::api::*;
use crate::estimates::{ClassEstimates, KindEstimates};
use crate::state::{Health, Upstream};

/// More servers than any site has.
const MOST_SERVERS: usize = 100_000;
/// More kinds of machine than the module keeps.
const MOST_KINDS: usize = 1_024;
/// No time, count or capacity is larger in earnest.
const MOST: f64 = 1e9;

/// What was learnt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Of each server.
    pub servers: Vec<(u64, ServerSnapshot)>,
    /// Of all.
    pub all: SharedSnapshot,
}

/// What was learnt of one server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServerSnapshot {
    kappa: Option<f64>,
    mean_in_flight: f64,
    utilisation: Option<f64>,
    /// In flight by its last report with what was sent since, and the age of that.
    in_flight: f64,
    reported: Option<Millis>,
    /// For how long yet that says anything.
    heard: Option<Millis>,
    slowness: f64,
    learnt: Option<Millis>,
    answered: Option<Millis>,
    failure_rate: f64,
    /// How long it stays ejected yet, and how long it was to be.
    ejected: Option<(Millis, Millis)>,
}

/// What was learnt of all servers and all arrivals.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SharedSnapshot {
    /// By class: service time, samples, share refused.
    classes: Vec<(Millis, f64, f64)>,
    /// By kind of machine.
    kinds: Vec<(u64, KindSnapshot)>,
    fleet: KindSnapshot,
    refused: f64,
    retry_tokens: f64,
    room_scale: f64,
    usual_density: Option<f64>,
    tenant_shares: Vec<f64>,
    lateness: f64,
    usual_service: Option<Millis>,
    probe_time: Option<Millis>,
    /// How long ago the first report came.
    first: Option<Millis>,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct KindSnapshot {
    in_flight: f64,
    utilisation: f64,
    reports: f64,
    pace: f64,
    answers: f64,
}

/// Why a memory is not believed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SnapshotError {
    /// It is of other classes or tenants.
    DifferentClassesOrTenants,
    /// It has more entries than there may be.
    TooManyEntries,
    /// A figure in it is absurd.
    ImplausibleValue(&'static str),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SnapshotError::DifferentClassesOrTenants => write!(f, "it is of other classes or tenants"),
            SnapshotError::TooManyEntries => write!(f, "it has more entries than there may be"),
            SnapshotError::ImplausibleValue(what) => write!(f, "its {what} is absurd"),
        }
    }
}

impl std::error::Error for SnapshotError {}

fn share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn amount(value: f64) -> bool {
    (0.0..=MOST).contains(&value)
}

fn positive(value: f64) -> bool {
    value > 0.0 && value <= MOST
}

fn optional(value: Option<f64>, sound: fn(f64) -> bool) -> bool {
    value.is_none_or(sound)
}

fn check(sound: bool, what: &'static str) -> Result<(), SnapshotError> {
    if sound { Ok(()) } else { Err(SnapshotError::ImplausibleValue(what)) }
}

impl ServerSnapshot {
    fn of(upstream: &Upstream, now: Millis) -> ServerSnapshot {
        let age = |at: Millis| at.is_finite().then(|| (now - at).clamp(0.0, MOST));
        let (since, own) = (upstream.unreported_sends as f64, upstream.outstanding.len() as f64);
        let bound = |value: f64| value.clamp(0.0, MOST);
        ServerSnapshot {
            kappa: upstream.capacity,
            mean_in_flight: bound(upstream.mean_in_flight),
            utilisation: upstream.utilisation.map(bound),
            in_flight: bound((upstream.reported_in_flight + since).max(own)),
            reported: age(upstream.reported_at),
            heard: upstream.has_valid_report.then(|| bound(upstream.report_valid_until - now)),
            slowness: upstream.relative_service_time,
            learnt: age(upstream.estimated_at),
            answered: age(upstream.answered_at),
            failure_rate: upstream.failure_rate.clamp(0.0, 1.0),
            ejected: match upstream.health {
                Health::Ready => None,
                Health::Ejected { until, wait } => Some((bound(until - now), bound(wait))),
            },
        }
    }

    fn check(&self) -> Result<(), SnapshotError> {
        check(optional(self.kappa, positive), "capacity")?;
        check(amount(self.mean_in_flight) && amount(self.in_flight), "load")?;
        check(optional(self.utilisation, amount), "utilisation")?;
        let ages = [self.reported, self.heard, self.learnt, self.answered];
        check(ages.into_iter().all(|age| optional(age, amount)), "age")?;
        check(positive(self.slowness), "pace")?;
        check(share(self.failure_rate), "failure rate")?;
        check(self.ejected.is_none_or(|(left, wait)| amount(left) && amount(wait)), "ejection")
    }

    fn restore(&self, upstream: &mut Upstream, now: Millis) {
        let at = |age: Option<Millis>| age.map_or(f64::NEG_INFINITY, |age| now - age);
        upstream.capacity = self.kappa;
        upstream.capacity_samples = self.kappa.map_or(0.0, |_| MOST);
        upstream.mean_in_flight = self.mean_in_flight;
        upstream.utilisation = self.utilisation;
        upstream.reported_in_flight = self.in_flight;
        upstream.reported_at = at(self.reported);
        upstream.has_valid_report = self.heard.is_some();
        upstream.report_valid_until = self.heard.map_or(f64::NEG_INFINITY, |left| now + left);
        upstream.relative_service_time = self.slowness;
        upstream.estimated_at = at(self.learnt);
        upstream.answered_at = at(self.answered);
        upstream.failure_rate = self.failure_rate;
        upstream.is_half_open = false;
        upstream.health =
            self.ejected.map_or(Health::Ready, |(left, wait)| Health::Ejected { until: now + left, wait });
        (upstream.slow_start_credit, upstream.slow_start_credit_at) = (0.0, now);
    }
}

impl KindSnapshot {
    fn of(kind: &KindEstimates) -> KindSnapshot {
        let KindEstimates { in_flight, utilisation, reports, relative_service_time: pace, answers, .. } =
            *kind;
        KindSnapshot { in_flight, utilisation, reports: reports.min(MOST), pace, answers: answers.min(MOST) }
    }

    fn check(&self) -> Result<(), SnapshotError> {
        let counted = amount(self.reports) && amount(self.answers);
        let ratio = self.reports == 0.0 || self.utilisation > 0.0;
        check(counted && ratio && amount(self.in_flight) && amount(self.utilisation), "kind of machine")?;
        check(positive(self.pace), "pace of a kind of machine")
    }

    fn kind(&self) -> KindEstimates {
        let KindSnapshot { in_flight, utilisation, reports, pace, answers } = *self;
        KindEstimates {
            in_flight,
            utilisation,
            reports,
            relative_service_time: pace,
            answers,
            ..KindEstimates::default()
        }
    }
}

impl Snapshot {
    /// Tells what is wrong with it, for so many classes and tenants.
    fn check(&self, classes: usize, tenants: usize) -> Result<(), SnapshotError> {
        let all = &self.all;
        if all.classes.len() != classes || all.tenant_shares.len() != tenants {
            return Err(SnapshotError::DifferentClassesOrTenants);
        }
        if self.servers.len() > MOST_SERVERS || all.kinds.len() > MOST_KINDS {
            return Err(SnapshotError::TooManyEntries);
        }
        self.servers.iter().try_for_each(|(_, server)| server.check())?;
        for (time, samples, refused) in &all.classes {
            check(positive(*time) && amount(*samples) && share(*refused), "service time")?;
        }
        all.kinds.iter().try_for_each(|(_, kind)| kind.check())?;
        all.fleet.check()?;
        check(share(all.refused) && share(all.lateness), "share of refusals")?;
        check(amount(all.retry_tokens) && share(all.room_scale) && all.room_scale > 0.0, "room")?;
        check(optional(all.usual_density, positive), "usual worth")?;
        check(all.tenant_shares.iter().all(|value| share(*value)), "tenant's share")?;
        let times = [all.usual_service, all.probe_time];
        check(times.into_iter().all(|time| optional(time, amount)), "usual time")?;
        check(optional(all.usual_service, positive) && optional(all.first, amount), "usual time")
    }
}

impl Balancer {
    /// What has been learnt up to now.
    pub fn snapshot(&self, now: Millis) -> Snapshot {
        let (seen, now) = (&self.estimates, now.max(self.now));
        let age = |at: Millis| (now - at).clamp(0.0, MOST);
        Snapshot {
            servers: self.upstreams.iter().map(|(id, u)| (id.0, ServerSnapshot::of(u, now))).collect(),
            all: SharedSnapshot {
                classes: seen
                    .classes
                    .iter()
                    .map(|s| (s.service_time, s.samples.min(MOST), s.refused_share))
                    .collect(),
                kinds: seen.kinds.iter().map(|(id, kind)| (id.0, KindSnapshot::of(kind))).collect(),
                fleet: KindSnapshot::of(&seen.fleet),
                refused: seen.refused_share,
                // Two may retry now, as often as one.
                retry_tokens: (seen.retry_tokens / 2.0).max(0.0),
                room_scale: seen.wait_scale,
                usual_density: seen.mean_density,
                tenant_shares: seen.tenant_shares.clone(),
                lateness: seen.late_report_share,
                usual_service: seen.mean_service_time,
                probe_time: seen.probe_time,
                first: seen.first_report_at.map(age),
            },
        }
    }

    /// Goes on from what another has learnt. Servers that are not listed here are passed over.
    ///
    /// # Errors
    /// It is of other classes or tenants, or a figure in it is absurd: then nothing of it is taken.
    pub fn restore(&mut self, now: Millis, memory: &Snapshot) -> Result<(), SnapshotError> {
        memory.check(self.estimates.classes.len(), self.estimates.tenant_shares.len())?;
        self.now = self.now.max(now);
        let now = self.now;
        for (id, server) in &memory.servers {
            self.upstreams.update(UpstreamId(*id), |upstream| server.restore(upstream, now));
        }
        let (all, seen) = (&memory.all, &mut self.estimates);
        let service = |(time, samples, refused): &(f64, f64, f64)| ClassEstimates {
            service_time: *time,
            samples: *samples,
            refused_share: *refused,
            ..ClassEstimates::new(*time)
        };
        seen.classes = all.classes.iter().map(service).collect();
        seen.kinds = all.kinds.iter().map(|(id, kind)| (KindId(*id), kind.kind())).collect();
        seen.fleet = all.fleet.kind();
        seen.refused_share = all.refused;
        seen.retry_tokens = all.retry_tokens.min(seen.retry_tokens);
        seen.wait_scale = all.room_scale;
        seen.mean_density = all.usual_density;
        seen.tenant_shares.clone_from(&all.tenant_shares);
        seen.late_report_share = all.lateness;
        seen.mean_service_time = all.usual_service;
        seen.probe_time = all.probe_time;
        seen.first_report_at = all.first.map(|age| now - age);
        Ok(())
    }
}
