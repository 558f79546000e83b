//! Estimates by one sidecar, of classes, kinds of machine and the fleet as a whole.

use std::collections::BTreeMap;

use crate::api::*;
use crate::attempt_timeout::{LatencyHistogram, UnresponsiveRate};
use crate::observed_capacity::ObservedCapacity;
use crate::state::Upstream;
use crate::throttle::Throttle;

/// Minimum decay time of the estimate of a server while it gets no new samples.
const MIN_DECAY_TIME: Millis = 2_000.0;
/// The estimate of a server decays over this number of samples from each member of its kind, within the
/// minimum and the maximum decay time.
const DECAY_ROUNDS: f64 = 10.0;
/// Maximum decay time of the estimate of a server without new samples: about as long as incidents last.
const MAX_DECAY_TIME: Millis = 20_000.0;

/// Above this share of late reports, among those that can be checked, no report is trusted.
const MAX_LATE_REPORT_SHARE: f64 = 0.1;
/// The estimate of a server's kind counts as this number of samples of its own.
const KIND_SAMPLES: f64 = 5.0;

/// Estimates of one class. Service times are from answers that met no queue.
#[derive(Debug, Clone)]
pub(crate) struct ClassEstimates {
    /// Running median, from this number of samples.
    pub service_time: Millis,
    pub samples: f64,
    /// Share of the class's arrivals that was refused.
    pub refused_share: f64,
    /// Mean expected answer time at the servers that requests of the class are sent to, queues included.
    pub expected_latency: Millis,
    /// Answer times as a multiple of the expected ones.
    pub latencies: LatencyHistogram,
}

impl ClassEstimates {
    pub fn new(service_time: Millis) -> ClassEstimates {
        ClassEstimates {
            service_time,
            samples: 0.0,
            refused_share: 0.0,
            expected_latency: service_time,
            latencies: LatencyHistogram::default(),
        }
    }

    /// Moves the median towards a sample by at least `step`, a share of the median; the first steps are
    /// larger.
    pub fn record_service_time(&mut self, sample: Millis, step: f64) {
        self.samples += 1.0;
        let step = self.service_time * step.max(0.5 / self.samples);
        self.service_time += if sample > self.service_time { step } else { -step };
    }
}

/// The remaining weight of an estimate of this age, from 1 to 0. It decays with each round of samples that
/// could have changed the estimate, but not faster than over [`MIN_DECAY_TIME`] nor slower than over
/// [`MAX_DECAY_TIME`].
fn decay(age: Millis, rounds: f64, time_scale: f64) -> f64 {
    let fastest = age / (MIN_DECAY_TIME * time_scale);
    let slowest = age / (MAX_DECAY_TIME * time_scale);
    (-fastest.min((rounds / DECAY_ROUNDS).max(slowest))).exp()
}

/// Moves a geometric mean of loads towards one more load. A plain mean would contain the queues of congested
/// servers. It would be many times the number of requests that servers work on, while their utilisation is
/// at most 1, and κ would be overestimated by the same factor.
fn step_geometric_mean(mean: f64, load: f64, step: f64) -> f64 {
    let (from, to) = (mean.max(0.0).ln_1p(), load.max(0.0).ln_1p());
    (from + step * (to - from)).exp_m1()
}

/// Estimates of one kind of machine, or of the fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KindEstimates {
    /// Geometric running mean of the reported requests in flight. Divided by `utilisation`, it is κ.
    pub in_flight: f64,
    /// Running mean of the reported utilisation.
    pub utilisation: f64,
    pub reports: f64,
    /// The fewest requests in flight that a saturated server has reported: an upper bound of its cores.
    pub min_saturated_in_flight: f64,
    /// Geometric running mean of the service time relative to the mean server's.
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
    /// Adds a server's report to the means with weight `step`; the first reports have equal weights.
    pub fn record_report(&mut self, in_flight: f64, utilisation: f64, step: f64) {
        self.reports += 1.0;
        let step = step.max(1.0 / self.reports);
        self.in_flight = step_geometric_mean(self.in_flight, in_flight, step);
        self.utilisation += step * (utilisation - self.utilisation);
    }

    /// Records the report of a server whose cores are all busy.
    pub fn record_saturated_report(&mut self, in_flight: f64) {
        self.min_saturated_in_flight = self.min_saturated_in_flight.min(in_flight.max(1.0));
    }

    /// κ of the mean server of this kind. While all reports are of saturated servers, the fewest requests in
    /// flight that one of them has reported.
    pub fn capacity(&self) -> Option<f64> {
        match self.reports > 0.0 {
            true => Some(self.in_flight / self.utilisation),
            false => Some(self.min_saturated_in_flight).filter(|in_flight| in_flight.is_finite()),
        }
    }

    /// Adds the service time of an answer, relative to the mean server's, to the mean with weight `step`.
    pub fn record_answer(&mut self, relative_service_time: f64, step: f64) {
        self.answers += 1.0;
        self.relative_service_time *= (relative_service_time.max(0.01) / self.relative_service_time)
            .powf(step.max(1.0 / (1.0 + self.answers)));
    }
}

/// All estimates of one sidecar that are not of a single server.
#[derive(Debug)]
pub(crate) struct Estimates {
    /// By class id.
    pub classes: Vec<ClassEstimates>,
    /// By kind of machine.
    pub kinds: BTreeMap<KindId, KindEstimates>,
    /// Of all kinds together.
    pub fleet: KindEstimates,
    /// Share of the arrivals that no server had capacity for.
    pub refused_share: f64,
    pub retry_tokens: f64,
    /// How often servers were unresponsive recently.
    pub unresponsive: UnresponsiveRate,
    pub observed_capacity: ObservedCapacity,
    /// Factor on the longest acceptable wait, below 1 while answers are late.
    pub wait_scale: f64,
    /// Mean worth of an arrival per millisecond of service time.
    pub mean_density: Option<f64>,
    /// Each tenant's share of this sidecar's arrivals.
    pub tenant_shares: Vec<f64>,
    /// Share of late reports among those that can be checked.
    pub late_report_share: f64,
    /// Mean service time of the arrivals.
    pub mean_service_time: Option<Millis>,
    /// Mean time until a probe is answered.
    pub probe_time: Option<Millis>,
    pub first_report_at: Option<Millis>,
    pub throttle: Throttle,
}

impl Estimates {
    pub fn new(classes: Vec<ClassEstimates>, tenants: usize, retry_tokens: f64) -> Estimates {
        Estimates {
            classes,
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

    pub fn reports_are_trusted(&self) -> bool {
        self.late_report_share <= MAX_LATE_REPORT_SHARE
    }

    /// κ of a server. Its own estimate decays into that of its kind, of which the subset has `members`
    /// members: a sidecar with little traffic has too few reports of a single server. Before any report of
    /// the kind, κ is the listed weight times the fleet's κ.
    pub fn capacity(&self, upstream: &Upstream, members: f64, now: Millis, time_scale: f64) -> f64 {
        let listed = upstream.weight * self.fleet.capacity().unwrap_or(1.0);
        let kind = self.kinds.get(&upstream.kind);
        let kind_capacity = kind.and_then(KindEstimates::capacity).unwrap_or(listed);
        let reports = kind.map_or(0.0, |kind| kind.reports);
        let rounds = (reports - upstream.kind_reports_at_report) / members;
        let own_share = upstream.capacity_samples / (upstream.capacity_samples + KIND_SAMPLES);
        let own_share = own_share * decay(now - upstream.reported_at, rounds, time_scale);
        (kind_capacity + (upstream.capacity.unwrap_or(kind_capacity) - kind_capacity) * own_share).max(0.1)
    }

    /// Service time of a server relative to the mean server's. Its own estimate decays into that of its kind,
    /// of which the subset has `members` members.
    pub fn relative_service_time(
        &self,
        upstream: &Upstream,
        members: f64,
        now: Millis,
        time_scale: f64,
    ) -> f64 {
        let kind = self.kinds.get(&upstream.kind).filter(|kind| kind.answers > 0.0);
        let of_kind = kind.unwrap_or(&self.fleet).relative_service_time;
        let answers = kind.map_or(0.0, |kind| kind.answers);
        let rounds = (answers - upstream.kind_answers_at_estimate) / members;
        let own_share = decay(now - upstream.estimated_at, rounds, time_scale);
        of_kind + (upstream.relative_service_time - of_kind) * own_share
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against congestion that makes all servers look large: one in five reports is of a server whose
    /// queue has just grown, while its utilisation, a running mean, has not yet followed.
    #[test]
    fn reports_with_growing_queues_do_not_inflate_the_capacity_of_a_kind() {
        let mut congested = KindEstimates::default();
        for number in 0..200 {
            let (in_flight, utilisation) = if number % 5 == 0 { (60.0, 0.85) } else { (2.0, 0.7) };
            congested.record_report(in_flight, utilisation, 0.02);
        }
        let capacity = congested.capacity().expect("there are reports");
        assert!((2.0..8.0).contains(&capacity), "{capacity}; plain means give 19");
        // A large server without a queue keeps its size.
        let mut large = KindEstimates::default();
        (0..200).for_each(|number| large.record_report(30.0 + f64::from(number % 9), 0.5, 0.02));
        assert!((60.0..76.0).contains(&large.capacity().expect("there are reports")));
    }
}
