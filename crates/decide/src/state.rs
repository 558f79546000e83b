//! The records that the decision module keeps. Nothing is decided here.

use crate::api::*;
use crate::cross_zone::BudgetExemption;
use crate::outstanding_sends::OutstandingSends;

/// One send of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub upstream: UpstreamId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent: Millis,
    pub out: bool,
    pub may_have_run: bool,
    /// Whether it was this module that called it off.
    pub abandoned: bool,
}

impl Attempt {
    /// A send that has just gone out to this server.
    pub fn new(id: UpstreamId, to: &Upstream, sent: Millis) -> Attempt {
        Attempt {
            upstream: id,
            zone: to.zone,
            cell: to.cell,
            sent,
            out: true,
            may_have_run: true,
            abandoned: false,
        }
    }
}

/// A request that is owed an answer.
#[derive(Debug, Clone)]
pub(crate) struct PendingRequest {
    pub class: ClassId,
    pub tenant: TenantId,
    pub arrived: Millis,
    pub deadline: Millis,
    pub attempts: Vec<Attempt>,
    /// The pair drawn for it while its probes are out, and how often it was held for one.
    pub pair: Option<[UpstreamId; 2]>,
    /// The share of all candidates that it was drawn from.
    pub draw_share: f64,
    pub probe_waits: u32,
    /// Why the pair was drawn across without a budget, if it was.
    pub exemption: Option<BudgetExemption>,
    /// When what is out for it is looked at.
    pub check_at: Option<Millis>,
}

impl PendingRequest {
    pub fn new(class: ClassId, tenant: TenantId, arrived: Millis, time_left: Millis) -> PendingRequest {
        let deadline = arrived + time_left;
        let (attempts, pair, exemption) = (Vec::new(), None, None);
        PendingRequest {
            class,
            tenant,
            arrived,
            deadline,
            attempts,
            pair,
            draw_share: 1.0,
            probe_waits: 0,
            exemption,
            check_at: None,
        }
    }
}

/// One of our sends that a server has not answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OutstandingSend {
    pub class: ClassId,
    pub sent: Millis,
    /// How the server looked then: [`Candidate::depth`] and [`Candidate::wait`].
    pub depth: f64,
    pub wait: Millis,
}

/// Whether a server takes part in the draw.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Health {
    Ready,
    Ejected { until: Millis, wait: Millis },
}

/// What is known of one server.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    /// Drawn from its name.
    pub key: u64,
    pub zone: ZoneId,
    pub cell: CellId,
    pub kind: KindId,
    pub serving: bool,
    pub weight: f64,
    pub started: Option<Millis>,
    pub capacity: Option<f64>,
    /// How many readings it rests on.
    pub capacity_samples: f64,
    /// Running mean of the reports, and how busy the last one said that it is.
    pub mean_in_flight: f64,
    pub utilisation: Option<f64>,
    /// In flight by the last report, less those of ours that have been answered since.
    pub reported_in_flight: f64,
    pub reported_at: Millis,
    /// Whether that says anything yet, and until when.
    pub has_valid_report: bool,
    pub report_valid_until: Millis,
    pub probe_sent: Option<Millis>,
    /// By the number of the send. Those from `first_unreported_send` on are not in the last report, those
    /// from `first_send_after_probe` on will not be in the next; how many are out of each.
    pub outstanding: OutstandingSends,
    pub first_unreported_send: u64,
    pub first_send_after_probe: u64,
    pub unreported_sends: usize,
    pub sends_after_probe: usize,
    /// Service time relative to the mean of all servers.
    pub relative_service_time: f64,
    pub estimated_at: Millis,
    /// How many answers and reports its kind had given when something was last learnt from its own.
    pub kind_answers_at_estimate: f64,
    pub kind_reports_at_report: f64,
    pub answered_at: Millis,
    pub failure_rate: f64,
    pub health: Health,
    /// Whether it is ejected, but may be tried.
    pub is_half_open: bool,
    /// Work in milliseconds that it may yet be sent while it is cold, as of then.
    pub slow_start_credit: f64,
    pub slow_start_credit_at: Millis,
}

/// A server as one request sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub id: UpstreamId,
    pub zone: ZoneId,
    pub same_zone: bool,
    /// Why it is drawn across without a budget, if it is.
    pub exemption: Option<BudgetExemption>,
    /// Its load is not known of late, and may yet be asked for before the request is placed.
    pub awaits_probe: bool,
    /// It has told of its load so lately that this still says something.
    pub heard: bool,
    pub healthy: bool,
    pub warm_up_fraction: f64,
    pub projected_load: f64,
    /// How many times its own service time an answer is expected to take, for the queue before it.
    pub depth: f64,
    pub idle: bool,
    pub wait: Millis,
    pub failure_rate: f64,
}

/// What one request sees all servers with.
pub(crate) struct SelectionContext {
    pub service: Millis,
    pub means: FleetMeans,
    pub may_wait_for_probe: bool,
    /// Servers outside the subset are looked at: of these only what they told themselves counts.
    pub outside: bool,
    /// Reports older than this make a request wait for another.
    pub max_report_age: Millis,
    /// The longest expected answer time that there is room for, and that keeps it near.
    pub max_wait: Millis,
    pub same_zone_limit: Millis,
    /// A near one that fails more often is no better than one across.
    pub failing: f64,
}

impl SelectionContext {
    pub fn has_room(&self, c: &Candidate) -> bool {
        if self.outside && !c.heard {
            return false;
        }
        // An idle server always has room: else a service time learnt in a jam would lock everyone out.
        c.awaits_probe || c.idle || c.wait <= self.max_wait
    }

    /// Asked only where crossing has a fee.
    pub fn suits_near(&self, c: &Candidate) -> bool {
        c.same_zone
            && self.has_room(c)
            && (c.wait <= self.same_zone_limit || c.awaits_probe)
            && c.failure_rate <= self.failing
    }
}

/// Means over the known servers, which stand in for what is not known of others.
pub(crate) struct FleetMeans {
    /// Of others.
    pub in_flight: f64,
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

    /// Takes over what discovery says. A new life under the same id leaves nothing known but what is out.
    pub fn relist(&mut self, entry: &Listing) {
        if entry.started.is_some_and(|at| self.started.is_none_or(|known| at > known)) {
            let outstanding = std::mem::take(&mut self.outstanding);
            let out = outstanding.len();
            *self = Upstream {
                outstanding,
                unreported_sends: out,
                sends_after_probe: out,
                ..Upstream::new(entry)
            };
        }
        self.zone = entry.zone;
        self.cell = entry.cell;
        self.kind = entry.kind;
        self.serving = entry.lifecycle == Lifecycle::Serving;
        self.weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
    }

    /// The share of its capacity that a server surely has: a line from the cold share to all of it.
    pub fn warmth(&self, now: Millis, safety: &SlowStartLimits) -> f64 {
        match self.started {
            Some(started) if now < started + safety.warm_up => {
                let age = (now - started).max(0.0);
                (safety.initial_capacity_share + (1.0 - safety.initial_capacity_share) * age / safety.warm_up)
                    .max(0.01)
            }
            _ => 1.0,
        }
    }

    /// Enters a send in the books, under a number that is higher than all before.
    pub fn enter(&mut self, number: u64, sent: OutstandingSend) {
        self.outstanding.push(number, sent);
        self.unreported_sends += 1;
        self.sends_after_probe += 1;
    }

    /// Strikes a send off the books.
    pub fn take(&mut self, number: u64) -> Option<OutstandingSend> {
        let sent = self.outstanding.remove(number)?;
        match number >= self.first_unreported_send {
            true => self.unreported_sends -= 1,
            false => self.reported_in_flight = (self.reported_in_flight - 1.0).max(0.0),
        }
        self.sends_after_probe -= usize::from(number >= self.first_send_after_probe);
        Some(sent)
    }

    /// The sends that a load asked for now does not surely hold, where `next` is the number of the next one:
    /// the first of them, and how many they are. What goes out in the same moment is one of them.
    pub fn unheard(&self, next: u64, now: Millis) -> (u64, usize) {
        let late = self.outstanding.iter_newest_first().take_while(|(_, sent)| sent.sent >= now);
        late.fold((next, 0), |(_, count), (number, _)| (number, count + 1))
    }

    /// A report has come; the sends that it does not hold are these.
    pub fn reports(&mut self, in_flight: f64, now: Millis, until: Millis, unheard: (u64, usize)) {
        (self.first_unreported_send, self.unreported_sends) = unheard;
        (self.reported_in_flight, self.reported_at) = (in_flight, now);
        (self.has_valid_report, self.report_valid_until) = (true, until);
    }
}
