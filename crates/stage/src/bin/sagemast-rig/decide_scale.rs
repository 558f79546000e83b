//! What a decision costs as the fleet grows: the module alone, in one thread, with reports, answers and changes of the
//! list, and no sockets. Ratios are against the smallest fleet of the same run.

use std::collections::VecDeque;
use std::time::Instant;

use oorandom::Rand64;
use sagemast_decide::Balancer;
use sagemast_decide::api::{Report as LoadReport, *};

use crate::report::Report;

const SIZES: [u64; 5] = [10, 100, 1_000, 5_000, 10_000];
/// The largest fleet may cost so many times what the smallest does, and so many microseconds.
const RATIO: f64 = 2.0;
const MICROS: f64 = 2.0;
/// Arrivals come every so many milliseconds, and are answered after so many arrivals.
const BETWEEN: Millis = 0.1;
const OPEN: usize = 100;
/// Replaced in each second of the churn, of the second largest fleet.
const REPLACED: u64 = 200;

/// What every server tells of itself.
const LOAD: LoadReport =
    LoadReport { in_flight: Some(2.0), utilisation: Some(0.4), served_per_s: None, errors_per_s: None };

fn settings(probes: bool) -> Settings {
    let class = |effect, aim, worth| Class { aim, worth, late_worth: 0.0, effect };
    Settings {
        classes: vec![
            class(Effect::Idempotent, 250.0, 3.0),
            class(Effect::Idempotent, 400.0, 3.0),
            class(Effect::IdempotentByKey { scope: KeyScope::Cell, window: 2_000.0 }, 200.0, 3.0),
            class(Effect::NonIdempotent, 400.0, 2.0),
        ],
        tenants: Vec::new(),
        over_quota_worth: 1.0,
        zone: ZoneId(0),
        sidecars: 4,
        identity: Identity::Anonymous,
        cross_zone_cost: 0.03,
        probe_cost: 0.0,
        attempt_cost: 0.1,
        limits: Limits {
            max_attempts: 4,
            allow_parallel_attempts: false,
            probes,
            cancel: true,
            max_retry_after: 400.0,
            tick: 1.0,
        },
        slow_start: SlowStartLimits {
            initial_capacity_share: 0.16,
            warm_up: 21_000.0,
            overload_multiple: 2.5,
            overload_window: 1_500.0,
        },
        discovery: Discovery::Pushed,
    }
}

fn listing(id: u64, lifecycle: Lifecycle) -> Listing {
    Listing {
        upstream: UpstreamId(id),
        zone: ZoneId(id % 2),
        cell: CellId(id / 5),
        kind: KindId(id % 3),
        lifecycle,
        weight: 1.0,
        started: None,
        key: id,
    }
}

/// A module in a world that answers everything after a while.
struct World {
    module: Balancer,
    rng: Rand64,
    now: Millis,
    next: u64,
    open: VecDeque<(RequestId, u32, UpstreamId, Millis)>,
    actions: Vec<Action>,
    todo: VecDeque<Event>,
    sent: u64,
    refused: u64,
    /// What answers tell of the load, where it is not asked for.
    told: Option<LoadReport>,
}

impl World {
    fn new(size: u64, probes: bool) -> World {
        let mut module = Balancer::new(settings(probes), 7);
        let mut actions = Vec::new();
        let list = (0..size).map(|id| listing(id, Lifecycle::Serving)).collect();
        module.handle(0.0, Event::ListReceived(ListUpdate::Complete(list)), &mut actions);
        let mut world = World {
            module,
            rng: Rand64::new(7),
            now: 0.0,
            next: 2,
            open: VecDeque::new(),
            actions: Vec::new(),
            todo: VecDeque::new(),
            sent: 0,
            refused: 0,
            told: (!probes).then_some(LOAD),
        };
        // Everyone has been heard from, for long enough to be believed.
        for _ in 0..3 {
            world.now += 700.0;
            (0..size).for_each(|id| world.happens(world_report(id, true)));
        }
        world
    }

    /// An event, and what follows from it at once.
    fn happens(&mut self, event: Event) {
        self.todo.push_back(event);
        while let Some(event) = self.todo.pop_front() {
            self.module.handle(self.now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                match action {
                    Action::Send { request, upstream, .. } => {
                        self.sent += 1;
                        self.open.push_back((request, 0, upstream, self.now));
                    }
                    Action::Probe(upstream) => self.todo.push_back(world_report(upstream.0, true)),
                    Action::Refuse { .. } => self.refused += 1,
                    _ => {}
                }
            }
        }
    }

    fn arrive(&mut self) {
        self.now += BETWEEN;
        self.next += 1;
        let class = ClassId(self.rng.rand_range(0..4) as usize);
        let request = RequestId(self.next);
        self.happens(Event::RequestArrived { request, class, tenant: TenantId(0), time_left: 400.0 });
    }

    /// Answers the oldest while too many are open.
    fn answer(&mut self, outcome: impl Fn(UpstreamId) -> Outcome) {
        while self.open.len() > OPEN {
            let Some((request, attempt, upstream, at)) = self.open.pop_front() else { return };
            let outcome = outcome(upstream);
            self.happens(Event::AttemptFinished(FinishedAttempt {
                request,
                attempt: AttemptNo(attempt),
                upstream,
                outcome,
                latency: self.now - at,
                client_answered: outcome == Outcome::Ok,
                report: self.told,
            }));
        }
    }

    /// Microseconds a request, over so many.
    fn cost(&mut self, requests: u64) -> f64 {
        let begun = Instant::now();
        for _ in 0..requests {
            self.arrive();
            self.answer(|_| Outcome::Ok);
        }
        begun.elapsed().as_secs_f64() * 1e6 / requests as f64
    }
}

fn world_report(id: u64, answered: bool) -> Event {
    Event::ProbeFinished { upstream: UpstreamId(id), answered, report: Some(LOAD) }
}

/// Runs it.
pub fn run(short: bool) -> Result<Report, String> {
    let requests = if short { 50_000 } else { 400_000 };
    let mut report = Report::new("decide-scale");
    // An arrival and its answer; then the same where each is preceded by the probes of its pair, which come back at
    // once: the larger the fleet, the older the reports, and the more requests wait for theirs.
    for (how, probes) in [("reports in answers", false), ("probes", true)] {
        let mut costs = Vec::new();
        for size in SIZES {
            let mut world = World::new(size, probes);
            world.cost(requests / 10);
            // The best of three: what else the machine does only adds.
            let cost = (0..3).map(|_| world.cost(requests / 3)).fold(f64::INFINITY, f64::min);
            report.figure(&format!("{how}: {size} upstreams us a request"), cost);
            let refused = world.refused as f64 / (world.sent + world.refused) as f64;
            report.figure(&format!("{how}: {size} refused"), refused);
            costs.push(cost);
        }
        let (first, last) = (costs[0], costs[costs.len() - 1]);
        if probes {
            report.figure(&format!("{how}: largest over smallest"), last / first);
        } else {
            report.bound(&format!("{how}: largest over smallest"), last / first, RATIO);
            report.bound(&format!("{how}: largest us a request"), last, MICROS);
        }
    }

    // 200 of 5,000 are replaced each second, under load.
    let size = SIZES[3];
    let mut world = World::new(size, true);
    let (mut changed, mut listing_time) = (0_u64, 0.0);
    let per_change = (1_000.0 / BETWEEN) as u64 / REPLACED;
    for at in 0..requests / 4 {
        world.arrive();
        world.answer(|_| Outcome::Ok);
        if at % per_change == 0 {
            let news =
                vec![listing(changed, Lifecycle::Draining), listing(size + changed, Lifecycle::Serving)];
            changed += 1;
            let begun = Instant::now();
            world.happens(Event::ListReceived(ListUpdate::Changed(news)));
            listing_time += begun.elapsed().as_secs_f64() * 1e6;
        }
    }
    report.figure("5000, churn: us a replacement", listing_time / changed as f64);
    report.bound("5000, churn: us a request", world.cost(requests / 10), 2.0 * MICROS);

    // Half of one zone fails at once.
    let mut world = World::new(size, true);
    let bad = |id: UpstreamId| id.0.is_multiple_of(4);
    let begun = Instant::now();
    for _ in 0..requests / 2 {
        world.arrive();
        world.answer(|id| if bad(id) { Outcome::Error } else { Outcome::Ok });
    }
    let cost = begun.elapsed().as_secs_f64() * 1e6 / (requests / 2) as f64;
    report.bound("5000, half a zone fails: us a request", cost, 3.0 * MICROS);
    let list: Vec<Listing> = (0..size).map(|id| listing(id, Lifecycle::Serving)).collect();
    let begun = Instant::now();
    world.happens(Event::ListReceived(ListUpdate::Complete(list)));
    report.figure("5000 arrive whole: ms", begun.elapsed().as_secs_f64() * 1e3);
    Ok(report)
}
