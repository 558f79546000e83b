//! The records that the decision module keeps. Decisions are made in `src/balancer.rs`.

use crate::api::*;
use crate::cross_zone::BudgetExemption;
use crate::outstanding_sends::OutstandingSends;

/// One attempt of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub upstream: UpstreamId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent: Millis,
    pub in_flight: bool,
    pub may_have_run: bool,
    /// Whether this module cancelled it for taking too long.
    pub abandoned: bool,
    /// How its answer goes on, once that has begun.
    pub answer: Option<AnswerProgress>,
    /// Whether this module cancelled it in a pause of its answer.
    pub abandoned_in_pause: bool,
}

impl Attempt {
    pub fn new(id: UpstreamId, to: &Upstream, sent: Millis) -> Attempt {
        Attempt {
            upstream: id,
            zone: to.zone,
            cell: to.cell,
            sent,
            in_flight: true,
            may_have_run: true,
            abandoned: false,
            answer: None,
            abandoned_in_pause: false,
        }
    }
}

/// A request that has no final answer yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingRequest {
    pub class: ClassId,
    pub tenant: TenantId,
    pub arrived: Millis,
    pub deadline: Millis,
    pub attempts: Vec<Attempt>,
    /// The pair whose probes the request waits for.
    pub pair: Option<[UpstreamId; 2]>,
    /// The share of all candidates that the pair was sampled from.
    pub sampled_share: f64,
    /// How often the request has waited for probes.
    pub probe_waits: u32,
    /// Why the pair may be in other zones although no budget pays for it, if so.
    pub exemption: Option<BudgetExemption>,
    /// The next check of the attempt in flight.
    pub check_at: Option<Millis>,
}

impl PendingRequest {
    pub fn new(class: ClassId, tenant: TenantId, arrived: Millis, time_left: Millis) -> PendingRequest {
        PendingRequest {
            class,
            tenant,
            arrived,
            deadline: arrived + time_left,
            attempts: Vec::new(),
            pair: None,
            sampled_share: 1.0,
            probe_waits: 0,
            exemption: None,
            check_at: None,
        }
    }
}

/// An attempt that its server has not answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OutstandingSend {
    pub class: ClassId,
    pub sent: Millis,
    /// [`Candidate::depth`] and [`Candidate::expected_latency`] of the server when the attempt was sent.
    pub depth: f64,
    pub expected_latency: Millis,
}

/// Whether a server may be sampled. The `wait` of an ejection is the length of the ejection before jitter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Health {
    Ready,
    Ejected { until: Millis, wait: Millis },
}

/// A server and the estimates about it.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    /// A hash of its name.
    pub key: u64,
    pub zone: ZoneId,
    pub cell: CellId,
    pub kind: KindId,
    pub serving: bool,
    pub weight: f64,
    pub started: Option<Millis>,
    /// κ, estimated from its own reports, and the number of reports that the estimate rests on.
    pub capacity: Option<f64>,
    pub capacity_samples: f64,
    /// Running mean over its reports, and the utilisation in the last one.
    pub mean_in_flight: f64,
    pub utilisation: Option<f64>,
    /// Requests in flight as last reported, less our sends that have ended since.
    pub reported_in_flight: f64,
    pub reported_at: Millis,
    pub has_valid_report: bool,
    pub report_valid_until: Millis,
    pub probe_sent: Option<Millis>,
    pub outstanding: OutstandingSends,
    /// The sends from this number on are missing from the last report, or from that of the latest probe.
    pub first_unreported_send: u64,
    pub first_send_after_probe: u64,
    /// How many sends from these numbers on are outstanding.
    pub unreported_sends: usize,
    pub sends_after_probe: usize,
    /// Relative to the mean of all servers.
    pub relative_service_time: f64,
    pub estimated_at: Millis,
    /// Numbers of answers and of reports from servers of its kind when its own last one was recorded.
    pub kind_answers_at_estimate: f64,
    pub kind_reports_at_report: f64,
    pub answered_at: Millis,
    pub failure_rate: f64,
    pub health: Health,
    /// Whether it is ejected but may get a trial.
    pub is_half_open: bool,
    /// Milliseconds of work that it may get while it warms up, as of the time below.
    pub slow_start_credit: f64,
    pub slow_start_credit_at: Millis,
}

/// A server as evaluated for one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub id: UpstreamId,
    pub zone: ZoneId,
    pub same_zone: bool,
    /// Why a server in another zone is a candidate although no budget pays for it, if so.
    pub exemption: Option<BudgetExemption>,
    /// Whether its last report is old and the request may wait for a probe.
    pub awaits_probe: bool,
    pub has_valid_report: bool,
    pub healthy: bool,
    pub warm_up_fraction: f64,
    pub projected_load: f64,
    /// Expected answer time in service times of this server; above 1 if there is a queue.
    pub depth: f64,
    pub idle: bool,
    /// Expected answer time, including the queue.
    pub expected_latency: Millis,
    pub failure_rate: f64,
}

/// Two candidates to choose from; the same one twice if there is only one.
pub(crate) type Pair = [Candidate; 2];

/// The terms on which one request evaluates all servers.
pub(crate) struct SelectionContext {
    pub service_time: Millis,
    pub means: FleetMeans,
    pub may_wait_for_probe: bool,
    /// Whether servers outside the subset are evaluated, too: then only valid reports show capacity.
    pub outside_subset: bool,
    /// A server with an older report makes the request wait for its probe.
    pub max_report_age: Millis,
    /// The longest acceptable answer time, and the longest one that keeps a request in its zone.
    pub max_wait: Millis,
    pub same_zone_limit: Millis,
    /// Servers of the same zone that fail more often are no better than those of other zones.
    pub max_failure_rate: f64,
}

impl SelectionContext {
    pub fn has_capacity(&self, candidate: &Candidate) -> bool {
        if self.outside_subset && !candidate.has_valid_report {
            return false;
        }
        // An idle server always has capacity, else a service time estimated under overload would refuse all.
        candidate.awaits_probe || candidate.idle || candidate.expected_latency <= self.max_wait
    }

    /// Whether a server keeps a request in its zone. Called only where crossing has a cost.
    pub fn suits_same_zone(&self, candidate: &Candidate) -> bool {
        candidate.same_zone
            && self.has_capacity(candidate)
            && (candidate.expected_latency <= self.same_zone_limit || candidate.awaits_probe)
            && candidate.failure_rate <= self.max_failure_rate
    }
}

/// Means over the servers with valid reports, used as estimates for servers without one.
pub(crate) struct FleetMeans {
    /// Requests in flight that other sidecars have sent to a server.
    pub in_flight_from_others: f64,
}

impl Upstream {
    pub fn new(entry: &Listing) -> Upstream {
        Upstream {
            key: entry.key,
            zone: entry.zone,
            cell: entry.cell,
            kind: entry.kind,
            serving: entry.lifecycle == Lifecycle::Serving,
            weight: entry.weight,
            started: entry.started,
            capacity: None,
            capacity_samples: 0.0,
            mean_in_flight: 0.0,
            utilisation: None,
            reported_in_flight: 0.0,
            reported_at: f64::NEG_INFINITY,
            has_valid_report: false,
            report_valid_until: f64::NEG_INFINITY,
            probe_sent: None,
            outstanding: OutstandingSends::default(),
            first_unreported_send: 0,
            first_send_after_probe: 0,
            unreported_sends: 0,
            sends_after_probe: 0,
            relative_service_time: 1.0,
            estimated_at: f64::NEG_INFINITY,
            kind_answers_at_estimate: 0.0,
            kind_reports_at_report: 0.0,
            answered_at: f64::NEG_INFINITY,
            failure_rate: 0.0,
            health: Health::Ready,
            is_half_open: false,
            slow_start_credit: 0.0,
            slow_start_credit_at: f64::NEG_INFINITY,
        }
    }

    /// Applies a list entry. A new incarnation under the same id keeps the outstanding sends only.
    pub fn update_from_listing(&mut self, entry: &Listing) {
        if entry.started.is_some_and(|new| self.started.is_none_or(|old| new > old)) {
            let outstanding = std::mem::take(&mut self.outstanding);
            let count = outstanding.len();
            *self = Upstream {
                outstanding,
                unreported_sends: count,
                sends_after_probe: count,
                ..Upstream::new(entry)
            };
        }
        self.zone = entry.zone;
        self.cell = entry.cell;
        self.kind = entry.kind;
        self.serving = entry.lifecycle == Lifecycle::Serving;
        self.weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
    }

    /// The share of full capacity that the server is sure to have; grows linearly from the initial share.
    pub fn warm_up_fraction(&self, now: Millis, limits: &SlowStartLimits) -> f64 {
        match self.started {
            Some(started) if now < started + limits.warm_up => {
                let age = (now - started).max(0.0);
                (limits.initial_capacity_share + (1.0 - limits.initial_capacity_share) * age / limits.warm_up)
                    .max(0.01)
            }
            _ => 1.0,
        }
    }

    /// Adds an outstanding send; its number is higher than those of all earlier sends.
    pub fn add_send(&mut self, number: u64, sent: OutstandingSend) {
        self.outstanding.push(number, sent);
        self.unreported_sends += 1;
        self.sends_after_probe += 1;
    }

    /// Removes a send that has ended.
    pub fn remove_send(&mut self, number: u64) -> Option<OutstandingSend> {
        let sent = self.outstanding.remove(number)?;
        match number >= self.first_unreported_send {
            true => self.unreported_sends -= 1,
            false => self.reported_in_flight = (self.reported_in_flight - 1.0).max(0.0),
        }
        self.sends_after_probe -= usize::from(number >= self.first_send_after_probe);
        Some(sent)
    }

    /// The outstanding sends that a report requested now may lack, because they are sent at this same time:
    /// the number of the first one (`next_send` if there is none), and their count.
    pub fn unreported(&self, next_send: u64, now: Millis) -> (u64, usize) {
        let latest = self.outstanding.iter_newest_first().take_while(|(_, sent)| sent.sent >= now);
        latest.fold((next_send, 0), |(_, count), (number, _)| (number, count + 1))
    }

    /// Records the load of a report that is valid until `until` and lacks the sends in `unreported`.
    pub fn record_report(&mut self, in_flight: f64, now: Millis, until: Millis, unreported: (u64, usize)) {
        (self.first_unreported_send, self.unreported_sends) = unreported;
        (self.reported_in_flight, self.reported_at) = (in_flight, now);
        (self.has_valid_report, self.report_valid_until) = (true, until);
    }
}
