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
    pub given_up: bool,
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
            given_up: false,
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
    pub tries: Vec<Attempt>,
    /// The pair drawn for it while its probes are out, and how often it was held for one.
    pub pair: Option<[UpstreamId; 2]>,
    /// The share of all candidates that it was drawn from.
    pub odds: f64,
    pub holds: u32,
    /// Why the pair was drawn across without a budget, if it was.
    pub bend: Option<BudgetExemption>,
    /// When what is out for it is looked at.
    pub look_at: Option<Millis>,
}

impl PendingRequest {
    pub fn new(class: ClassId, tenant: TenantId, arrived: Millis, time_left: Millis) -> PendingRequest {
        let deadline = arrived + time_left;
        let (tries, pair, bend) = (Vec::new(), None, None);
        PendingRequest {
            class,
            tenant,
            arrived,
            deadline,
            tries,
            pair,
            odds: 1.0,
            holds: 0,
            bend,
            look_at: None,
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
    pub kappa: Option<f64>,
    /// How many readings it rests on.
    pub readings: f64,
    /// Running mean of the reports, and how busy the last one said that it is.
    pub mean_in_flight: f64,
    pub utilisation: Option<f64>,
    /// In flight by the last report, less those of ours that have been answered since.
    pub reported: f64,
    pub reported_at: Millis,
    /// Whether that says anything yet, and until when.
    pub is_heard: bool,
    pub heard_until: Millis,
    pub probe_sent: Option<Millis>,
    /// By the number of the send. Those from `counted_from` on are not in the last report, those from
    /// `asked_from` on will not be in the next; how many are out of each.
    pub outstanding: OutstandingSends,
    pub counted_from: u64,
    pub asked_from: u64,
    pub since_counted: usize,
    pub since_asked: usize,
    /// Service time relative to the mean of all servers.
    pub slowness: f64,
    pub learnt_at: Millis,
    /// How many answers and reports its kind had given when something was last learnt from its own.
    pub learnt_after: f64,
    pub reported_after: f64,
    pub answered_at: Millis,
    pub failure_rate: f64,
    pub health: Health,
    /// Whether it is ejected, but may be tried.
    pub on_trial: bool,
    /// Work in milliseconds that it may yet be sent while it is cold, as of then.
    pub cold_credit: f64,
    pub cold_at: Millis,
}

/// A server as one request sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub id: UpstreamId,
    pub zone: ZoneId,
    pub near: bool,
    /// Why it is drawn across without a budget, if it is.
    pub bend: Option<BudgetExemption>,
    /// Its load is not known of late, and may yet be asked for before the request is placed.
    pub unsure: bool,
    /// It has told of its load so lately that this still says something.
    pub heard: bool,
    pub healthy: bool,
    pub warmth: f64,
    pub projected: f64,
    /// How many times its own service time an answer is expected to take, for the queue before it.
    pub depth: f64,
    pub idle: bool,
    pub wait: Millis,
    pub failing: f64,
}

/// What one request sees all servers with.
pub(crate) struct SelectionContext {
    pub service: Millis,
    pub means: FleetMeans,
    pub may_hold: bool,
    /// Servers outside the subset are looked at: of these only what they told themselves counts.
    pub outside: bool,
    /// Reports older than this make a request wait for another.
    pub hold_after: Millis,
    /// The longest expected answer time that there is room for, and that keeps it near.
    pub room: Millis,
    pub near_limit: Millis,
    /// A near one that fails more often is no better than one across.
    pub failing: f64,
}

impl SelectionContext {
    pub fn has_room(&self, c: &Candidate) -> bool {
        if self.outside && !c.heard {
            return false;
        }
        // An idle server always has room: else a service time learnt in a jam would lock everyone out.
        c.unsure || c.idle || c.wait <= self.room
    }

    /// Asked only where crossing has a fee.
    pub fn suits_near(&self, c: &Candidate) -> bool {
        c.near && self.has_room(c) && (c.wait <= self.near_limit || c.unsure) && c.failing <= self.failing
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
            kappa: None,
            readings: 0.0,
            mean_in_flight: 0.0,
            utilisation: None,
            reported: 0.0,
            reported_at: f64::NEG_INFINITY,
            is_heard: false,
            heard_until: f64::NEG_INFINITY,
            probe_sent: None,
            outstanding: OutstandingSends::default(),
            counted_from: 0,
            asked_from: 0,
            since_counted: 0,
            since_asked: 0,
            slowness: 1.0,
            learnt_at: f64::NEG_INFINITY,
            learnt_after: 0.0,
            reported_after: 0.0,
            answered_at: f64::NEG_INFINITY,
            failure_rate: 0.0,
            health: Health::Ready,
            on_trial: false,
            cold_credit: 0.0,
            cold_at: f64::NEG_INFINITY,
        }
    }

    /// Takes over what discovery says. A new life under the same id leaves nothing known but what is out.
    pub fn relist(&mut self, entry: &Listing) {
        if entry.started.is_some_and(|at| self.started.is_none_or(|known| at > known)) {
            let outstanding = std::mem::take(&mut self.outstanding);
            let out = outstanding.len();
            *self = Upstream { outstanding, since_counted: out, since_asked: out, ..Upstream::new(entry) };
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
        self.since_counted += 1;
        self.since_asked += 1;
    }

    /// Strikes a send off the books.
    pub fn take(&mut self, number: u64) -> Option<OutstandingSend> {
        let sent = self.outstanding.remove(number)?;
        match number >= self.counted_from {
            true => self.since_counted -= 1,
            false => self.reported = (self.reported - 1.0).max(0.0),
        }
        self.since_asked -= usize::from(number >= self.asked_from);
        Some(sent)
    }

    /// The sends that a load asked for now does not surely hold, where `next` is the number of the next one:
    /// the first of them, and how many they are. What goes out in the same moment is one of them.
    pub fn unheard(&self, next: u64, now: Millis) -> (u64, usize) {
        let late = self.outstanding.latest().take_while(|(_, sent)| sent.sent >= now);
        late.fold((next, 0), |(_, count), (number, _)| (number, count + 1))
    }

    /// A report has come; the sends that it does not hold are these.
    pub fn reports(&mut self, in_flight: f64, now: Millis, until: Millis, unheard: (u64, usize)) {
        (self.counted_from, self.since_counted) = unheard;
        (self.reported, self.reported_at) = (in_flight, now);
        (self.is_heard, self.heard_until) = (true, until);
    }
}
