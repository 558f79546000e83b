//! The records that the decision module keeps. Nothing is decided here.

use std::collections::{BTreeMap, VecDeque};

use crate::api::*;
use crate::crossing::Bend;

/// One send of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Try {
    pub upstream: UpstreamId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent: Millis,
    pub out: bool,
    pub may_have_run: bool,
}

impl Try {
    /// A send that has just gone out to this server.
    pub fn new(id: UpstreamId, to: &Upstream, sent: Millis) -> Try {
        Try { upstream: id, zone: to.zone, cell: to.cell, sent, out: true, may_have_run: true }
    }
}

/// A request that is owed an answer.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    pub class: ClassId,
    pub tenant: TenantId,
    pub arrived: Millis,
    pub deadline: Millis,
    pub tries: Vec<Try>,
    /// The pair drawn for it while its probes are out, and how often it was held for one.
    pub pair: Option<[UpstreamId; 2]>,
    /// The share of all candidates that it was drawn from.
    pub odds: f64,
    pub holds: u32,
    /// Why the pair was drawn across without a budget, if it was.
    pub bend: Option<Bend>,
}

impl Held {
    pub fn new(class: ClassId, tenant: TenantId, arrived: Millis, time_left: Millis) -> Held {
        let deadline = arrived + time_left;
        let (tries, pair, bend) = (Vec::new(), None, None);
        Held { class, tenant, arrived, deadline, tries, pair, odds: 1.0, holds: 0, bend }
    }
}

/// One of our sends that a server has not answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outstanding {
    pub class: ClassId,
    pub sent: Millis,
    /// How the server looked then: [`Candidate::depth`] and [`Candidate::wait`].
    pub depth: f64,
    pub wait: Millis,
}

/// Sends in the order of their numbers. Those that have ended stay as gaps until all before them have ended,
/// which the longest deadline bounds.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sends {
    queue: VecDeque<(u64, Option<Outstanding>)>,
    count: usize,
}

/// Room for so many is kept when none is out.
const SENDS_KEPT: usize = 32;

impl Sends {
    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Under a number above all before.
    pub fn push(&mut self, number: u64, sent: Outstanding) {
        self.queue.push_back((number, Some(sent)));
        self.count += 1;
    }

    pub fn remove(&mut self, number: u64) -> Option<Outstanding> {
        let at = self.queue.binary_search_by_key(&number, |(number, _)| *number).ok()?;
        let sent = self.queue.get_mut(at)?.1.take()?;
        self.count -= 1;
        while self.queue.front().is_some_and(|(_, sent)| sent.is_none()) {
            self.queue.pop_front();
        }
        if self.queue.is_empty() && self.queue.capacity() > SENDS_KEPT {
            self.queue = VecDeque::new();
        }
        Some(sent)
    }

    pub fn oldest(&self) -> Option<(u64, &Outstanding)> {
        self.queue.front().and_then(|(number, sent)| Some((*number, sent.as_ref()?)))
    }

    /// The latest first.
    pub fn latest(&self) -> impl Iterator<Item = (u64, &Outstanding)> {
        self.queue.iter().rev().filter_map(|(number, sent)| Some((*number, sent.as_ref()?)))
    }
}

/// What is known of one class, times from answers that met no queue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Service {
    /// Running median.
    pub time: Millis,
    pub samples: f64,
    /// Share of its arrivals that was refused.
    pub refused: f64,
}

impl Service {
    pub fn new(time: Millis) -> Service {
        Service { time, samples: 0.0, refused: 0.0 }
    }

    /// Steps the median towards a sample, at first in larger steps.
    pub fn add(&mut self, sample: Millis, step: f64) {
        self.samples += 1.0;
        let step = self.time * step.max(0.5 / self.samples);
        self.time += if sample > self.time { step } else { -step };
    }
}

/// What is known of one kind of machine, or of all of them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Kind {
    /// Running means of what its servers report; their ratio is κ.
    pub in_flight: f64,
    pub utilisation: f64,
    pub reports: f64,
    /// Geometric running mean of its service time relative to the mean server's.
    pub pace: f64,
    pub answers: f64,
}

impl Default for Kind {
    fn default() -> Kind {
        Kind { in_flight: 0.0, utilisation: 0.0, reports: 0.0, pace: 1.0, answers: 0.0 }
    }
}

impl Kind {
    /// Averages in a server's report, the first ones evenly.
    pub fn reported(&mut self, in_flight: f64, utilisation: f64, step: f64) {
        self.reports += 1.0;
        let step = step.max(1.0 / self.reports);
        self.in_flight += step * (in_flight - self.in_flight);
        self.utilisation += step * (utilisation - self.utilisation);
    }

    /// Averages in an answer's time relative to the mean server's.
    pub fn answered(&mut self, pace: f64, step: f64) {
        self.answers += 1.0;
        self.pace *= (pace.max(0.01) / self.pace).powf(step.max(1.0 / (1.0 + self.answers)));
    }
}

/// What one sidecar has learnt of its surroundings as a whole.
#[derive(Debug)]
pub(crate) struct Learnt {
    /// By class.
    pub service: Vec<Service>,
    /// By kind of machine, and of all together.
    pub kinds: BTreeMap<KindId, Kind>,
    pub fleet: Kind,
    /// Share of the arrivals that no server had room for.
    pub refused: f64,
    pub retry_tokens: f64,
    /// Room shrinks to this share of the usual while answers are late.
    pub room_scale: f64,
    /// Worth per service time of the mean arrival.
    pub usual_density: Option<f64>,
    /// Each tenant's share of our arrivals.
    pub tenant_shares: Vec<f64>,
    /// Share of the telling reports that were late.
    pub lateness: f64,
    /// Mean service time of what arrives, and mean time that a probe takes.
    pub usual_service: Option<Millis>,
    pub probe_time: Option<Millis>,
    /// When the first report came.
    pub first_at: Option<Millis>,
    /// The span over which the next call to discovery is spread, and whether one is to come.
    pub ask_wait: Millis,
    pub ask_pending: bool,
}

impl Learnt {
    pub fn new(service: Vec<Service>, tenants: usize, retry_tokens: f64) -> Learnt {
        Learnt {
            service,
            kinds: BTreeMap::new(),
            fleet: Kind::default(),
            refused: 0.0,
            retry_tokens,
            room_scale: 1.0,
            usual_density: None,
            tenant_shares: vec![0.0; tenants],
            lateness: 0.0,
            usual_service: None,
            probe_time: None,
            first_at: None,
            ask_wait: 0.0,
            ask_pending: false,
        }
    }
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
    pub zone: ZoneId,
    pub cell: CellId,
    pub kind: KindId,
    pub serving: bool,
    pub weight: f64,
    pub started: Option<Millis>,
    pub kappa: Option<f64>,
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
    pub outstanding: Sends,
    pub counted_from: u64,
    pub asked_from: u64,
    pub since_counted: usize,
    pub since_asked: usize,
    /// Service time relative to the mean of all servers.
    pub slowness: f64,
    pub learnt_at: Millis,
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
    pub bend: Option<Bend>,
    /// Its load is not known of late, and may yet be asked for before the request is placed.
    pub unsure: bool,
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
pub(crate) struct View {
    pub service: Millis,
    pub means: Means,
    pub may_hold: bool,
    /// Reports older than this make a request wait for another.
    pub hold_after: Millis,
    /// The longest expected answer time that there is room for, and that keeps it near.
    pub room: Millis,
    pub near_limit: Millis,
    /// A near one that fails more often is no better than one across.
    pub failing: f64,
}

impl View {
    pub fn has_room(&self, c: &Candidate) -> bool {
        // An idle server always has room: else a service time learnt in a jam would lock everyone out.
        c.unsure || c.idle || c.wait <= self.room
    }

    /// Asked only where crossing has a fee.
    pub fn suits_near(&self, c: &Candidate) -> bool {
        c.near && self.has_room(c) && (c.wait <= self.near_limit || c.unsure) && c.failing <= self.failing
    }
}

/// Means over the known servers, which stand in for what is not known of others.
pub(crate) struct Means {
    /// Of others.
    pub in_flight: f64,
}

impl Upstream {
    pub fn new(entry: &Listing) -> Upstream {
        Upstream {
            zone: entry.zone,
            cell: entry.cell,
            kind: entry.kind,
            serving: entry.lifecycle == Lifecycle::Serving,
            weight: entry.weight,
            started: entry.started,
            kappa: None,
            mean_in_flight: 0.0,
            utilisation: None,
            reported: 0.0,
            reported_at: f64::NEG_INFINITY,
            is_heard: false,
            heard_until: f64::NEG_INFINITY,
            probe_sent: None,
            outstanding: Sends::default(),
            counted_from: 0,
            asked_from: 0,
            since_counted: 0,
            since_asked: 0,
            slowness: 1.0,
            learnt_at: f64::NEG_INFINITY,
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
    pub fn warmth(&self, now: Millis, safety: &Safety) -> f64 {
        match self.started {
            Some(started) if now < started + safety.warm_up => {
                let age = (now - started).max(0.0);
                (safety.cold_share + (1.0 - safety.cold_share) * age / safety.warm_up).max(0.01)
            }
            _ => 1.0,
        }
    }

    /// Enters a send in the books, under a number that is higher than all before.
    pub fn enter(&mut self, number: u64, sent: Outstanding) {
        self.outstanding.push(number, sent);
        self.since_counted += 1;
        self.since_asked += 1;
    }

    /// Strikes a send off the books.
    pub fn take(&mut self, number: u64) -> Option<Outstanding> {
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sends_end_in_any_order_and_leave_nothing() {
        let sent = |at| Outstanding { class: ClassId(0), sent: at, depth: 1.0, wait: 1.0 };
        let mut sends = Sends::default();
        (0..100).for_each(|number| sends.push(2 * number, sent(number as f64)));
        assert!(sends.remove(7).is_none(), "no such send");
        (1..100).rev().for_each(|number| assert!(sends.remove(2 * number).is_some()));
        assert_eq!((sends.len(), sends.oldest().map(|(number, _)| number)), (1, Some(0)));
        assert!(sends.remove(2).is_none(), "it has ended");
        assert!(sends.remove(0).is_some());
        assert!(sends.is_empty() && sends.queue.is_empty() && sends.queue.capacity() <= SENDS_KEPT);
    }
}
