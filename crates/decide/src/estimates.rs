//! What one sidecar has learnt of classes, of kinds of machine and of its surroundings as a whole.

use std::collections::BTreeMap;

use crate::api::*;
use crate::attempt_timeout::{LatencyHistogram, UnresponsiveRate};
use crate::observed_capacity::ObservedCapacity;
use crate::state::Upstream;
use crate::throttle::Throttle;

/// What was learnt of a server fades over this time at the soonest when nothing new is learnt,
const FORGET: Millis = 2_000.0;
/// over so many rounds of answers from all that it is told by,
const ROUNDS: f64 = 10.0;
/// and over this time at the latest: about as long as troubles last.
const LONGEST: Millis = 20_000.0;

/// When more than this share of the reports that can tell are late, none is believed.
const LATE: f64 = 0.1;
/// What is known of a server's kind counts as so many readings of its own.
const KIND_READINGS: f64 = 5.0;

/// What is known of one class, times from answers that met no queue.
#[derive(Debug, Clone)]
pub(crate) struct ClassEstimates {
    /// Running median.
    pub service_time: Millis,
    pub samples: f64,
    /// Share of its arrivals that was refused.
    pub refused_share: f64,
    /// How long answers are expected to take where its requests go, queues and all, and how long they do take.
    pub expected_latency: Millis,
    pub latencies: LatencyHistogram,
}

impl ClassEstimates {
    pub fn new(time: Millis) -> ClassEstimates {
        ClassEstimates {
            service_time: time,
            samples: 0.0,
            refused_share: 0.0,
            expected_latency: time,
            latencies: LatencyHistogram::default(),
        }
    }

    /// Steps the median towards a sample, at first in larger steps.
    pub fn record_service_time(&mut self, sample: Millis, step: f64) {
        self.samples += 1.0;
        let step = self.service_time * step.max(0.5 / self.samples);
        self.service_time += if sample > self.service_time { step } else { -step };
    }
}

/// How much of what was learnt still counts: it is worth less with each answer that could have contradicted it, a share of
/// `rounds` of them, but no less than its `age` alone makes it, and nothing after the longest age.
fn fade(age: Millis, rounds: f64, scale: f64) -> f64 {
    (-(age / (FORGET * scale)).min((rounds / ROUNDS).max(age / (LONGEST * scale)))).exp()
}

/// Steps a geometric mean of loads towards one more. A plain mean holds the queues, too: in a jam it is many times what the
/// servers work on, while their utilisation is 1 at most, and κ would be taken for many times what it is.
fn typical(mean: f64, load: f64, step: f64) -> f64 {
    let (from, to) = (mean.max(0.0).ln_1p(), load.max(0.0).ln_1p());
    (from + step * (to - from)).exp_m1()
}

/// What is known of one kind of machine, or of all of them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KindEstimates {
    /// Running means of what its servers report, that of in flight a geometric one; their ratio is κ.
    pub in_flight: f64,
    pub utilisation: f64,
    pub reports: f64,
    /// The fewest that one held with all cores busy: as many cores it has at most.
    pub min_saturated_in_flight: f64,
    /// Geometric running mean of its service time relative to the mean server's.
    pub relative_service_time: f64,
    pub answers: f64,
}

impl Default for KindEstimates {
    fn default() -> KindEstimates {
        KindEstimates {
            in_flight: 0.0,
            utilisation: 0.0,
            reports: 0.0,
            min_saturated_in_flight: f64::INFINITY,
            relative_service_time: 1.0,
            answers: 0.0,
        }
    }
}

impl KindEstimates {
    /// Averages in a server's report, the first ones evenly.
    pub fn record_report(&mut self, in_flight: f64, utilisation: f64, step: f64) {
        self.reports += 1.0;
        let step = step.max(1.0 / self.reports);
        self.in_flight = typical(self.in_flight, in_flight, step);
        self.utilisation += step * (utilisation - self.utilisation);
    }

    /// A server holds so many while all of its cores are busy.
    pub fn record_saturated_report(&mut self, in_flight: f64) {
        self.min_saturated_in_flight = self.min_saturated_in_flight.min(in_flight.max(1.0));
    }

    /// κ of its mean server, as far as it is known: while none was heard of that had a core free, what the least crowded
    /// of them held.
    pub fn capacity(&self) -> Option<f64> {
        match self.reports > 0.0 {
            true => Some(self.in_flight / self.utilisation),
            false => Some(self.min_saturated_in_flight).filter(|held| held.is_finite()),
        }
    }

    /// Averages in an answer's time relative to the mean server's.
    pub fn record_answer(&mut self, pace: f64, step: f64) {
        self.answers += 1.0;
        self.relative_service_time *=
            (pace.max(0.01) / self.relative_service_time).powf(step.max(1.0 / (1.0 + self.answers)));
    }
}

/// What one sidecar has learnt of its surroundings as a whole.
#[derive(Debug)]
pub(crate) struct Estimates {
    /// By class.
    pub classes: Vec<ClassEstimates>,
    /// By kind of machine, and of all together.
    pub kinds: BTreeMap<KindId, KindEstimates>,
    pub fleet: KindEstimates,
    /// Share of the arrivals that no server had room for.
    pub refused_share: f64,
    pub retry_tokens: f64,
    /// How often servers were silent of late.
    pub unresponsive: UnresponsiveRate,
    /// What warm servers carry.
    pub observed_capacity: ObservedCapacity,
    /// Room shrinks to this share of the usual while answers are late.
    pub wait_scale: f64,
    /// Worth per service time of the mean arrival.
    pub mean_density: Option<f64>,
    /// Each tenant's share of our arrivals.
    pub tenant_shares: Vec<f64>,
    /// Share of the telling reports that were late.
    pub late_report_share: f64,
    /// Mean service time of what arrives, and mean time that a probe takes.
    pub mean_service_time: Option<Millis>,
    pub probe_time: Option<Millis>,
    /// When the first report came.
    pub first_report_at: Option<Millis>,
    /// How much of what comes is sent on.
    pub throttle: Throttle,
}

impl Estimates {
    pub fn new(service: Vec<ClassEstimates>, tenants: usize, retry_tokens: f64) -> Estimates {
        Estimates {
            classes: service,
            kinds: BTreeMap::new(),
            fleet: KindEstimates::default(),
            refused_share: 0.0,
            retry_tokens,
            unresponsive: UnresponsiveRate::default(),
            observed_capacity: ObservedCapacity::default(),
            wait_scale: 1.0,
            mean_density: None,
            tenant_shares: vec![0.0; tenants],
            late_report_share: 0.0,
            mean_service_time: None,
            probe_time: None,
            first_report_at: None,
            throttle: Throttle::default(),
        }
    }

    /// Whether reports are believed.
    pub fn reports_are_trusted(&self) -> bool {
        self.late_report_share <= LATE
    }

    /// κ of a server: from its own reports, which fade into those of its kind, of which so many are heard from: a small
    /// sidecar hears from one server too seldom to know it. Before any report of the kind, its listed weight and the mean
    /// of all.
    pub fn capacity(&self, upstream: &Upstream, known: f64, now: Millis, scale: f64) -> f64 {
        let listed = upstream.weight * self.fleet.capacity().unwrap_or(1.0);
        let of_kind = self.kinds.get(&upstream.kind);
        let kind = of_kind.and_then(KindEstimates::capacity).unwrap_or(listed);
        let reports = of_kind.map_or(0.0, |kind| kind.reports);
        let rounds = (reports - upstream.kind_reports_at_report) / known;
        let trust = upstream.capacity_samples / (upstream.capacity_samples + KIND_READINGS);
        let trust = trust * fade(now - upstream.reported_at, rounds, scale);
        (kind + (upstream.capacity.unwrap_or(kind) - kind) * trust).max(0.1)
    }

    /// What answers told of a server's slowness; as that is forgotten, the slowness of its kind, of which so many are heard
    /// from, takes its place.
    pub fn relative_service_time(&self, upstream: &Upstream, known: f64, now: Millis, scale: f64) -> f64 {
        let kind = self.kinds.get(&upstream.kind).filter(|kind| kind.answers > 0.0);
        let pace = kind.unwrap_or(&self.fleet).relative_service_time;
        let rounds = (kind.map_or(0.0, |kind| kind.answers) - upstream.kind_answers_at_estimate) / known;
        pace + (upstream.relative_service_time - pace) * fade(now - upstream.estimated_at, rounds, scale)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a jam that makes all servers look large: one in five readings is of a server whose queue has just
    /// grown, and whose utilisation, a mean of its own, has yet to follow.
    #[test]
    fn queues_are_not_taken_for_cores() {
        let mut kind = KindEstimates::default();
        for number in 0..200 {
            let (in_flight, utilisation) = if number % 5 == 0 { (60.0, 0.85) } else { (2.0, 0.7) };
            kind.record_report(in_flight, utilisation, 0.02);
        }
        let kappa = kind.capacity().expect("it was heard of");
        assert!((2.0..8.0).contains(&kappa), "{kappa}: by plain means 19");
        // One that works on many at once is as large as it says.
        let mut large = KindEstimates::default();
        (0..200).for_each(|number| large.record_report(30.0 + f64::from(number % 9), 0.5, 0.02));
        assert!((60.0..76.0).contains(&large.capacity().expect("it was heard of")));
    }
}
