//! Slow start: the work that all sidecars together send to a server that has just started keeps to its
//! allowance in every overload window, also when the fleet is overloaded, and the allowance is used. The
//! simulated servers have queues and report as real ones do, in flight as of now and utilisation as a mean
//! over the past. The new servers are of a kind of which little is known.
//!
//! The allowance is 2.5 times what a server that is warming up can do, so a server that is fully busy has
//! used 0.4 of it.

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use common::*;
use oorandom::Rand64;
use sagemast_decide::Balancer;
use sagemast_decide::api::*;

const CORES: usize = 2;
/// Mean service times of the two classes, which arrive equally often.
const WORK: [Millis; 2] = [9.0, 21.0];
const MEAN_WORK: Millis = 15.0;
/// Servers average their utilisation over this time.
const UTILISATION_WINDOW: Millis = 700.0;
const MAX_QUEUE_LENGTH: usize = 400;
/// High enough that reports are rare.
const PROBE_COST: f64 = 0.08;
/// When the new servers start.
const START: Millis = 3_000.0;
/// When the simulation ends.
const END: Millis = 12_000.0;

#[derive(Debug, Clone)]
struct Scenario {
    name: &'static str,
    sidecars: usize,
    /// The number of sidecars in their settings.
    configured_sidecars: u32,
    /// Whether sidecars have ranks.
    ranked: bool,
    old_servers: u64,
    new_servers: u64,
    /// Offered load as a share of the capacity of the old servers.
    load: f64,
    /// Traffic of one sidecar in eight, as a multiple of the others' traffic.
    heavy_traffic_factor: f64,
    /// Whether all sidecars restart when the new servers start.
    sidecars_restart: bool,
    seed: u64,
}

impl Scenario {
    fn new(name: &'static str, sidecars: usize, seed: u64) -> Scenario {
        Scenario {
            name,
            sidecars,
            configured_sidecars: sidecars as u32,
            ranked: true,
            old_servers: 8,
            new_servers: 2,
            load: 1.6,
            heavy_traffic_factor: 1.0,
            sidecars_restart: false,
            seed,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum SimEvent {
    RequestArrived,
    JobDone { server: usize, job: usize },
    AttemptTimedOut { job: usize },
    TimerFired { sidecar: usize, token: u64 },
    ProbeReturned { sidecar: usize, server: usize },
    NewServersStarted,
}

/// An attempt at a server.
#[derive(Debug, Clone, Copy)]
struct Job {
    sidecar: usize,
    request: RequestId,
    attempt: AttemptNo,
    server: usize,
    work: Millis,
    sent_at: Millis,
    /// Whether the sidecar still waits for its end.
    is_open: bool,
}

#[derive(Debug, Default)]
struct Server {
    started: Option<Millis>,
    busy: usize,
    queue: VecDeque<usize>,
    /// Running mean of the share of busy cores, as of `updated_at`.
    utilisation: f64,
    updated_at: Millis,
    /// Time of each send and its work, as a multiple of the mean work.
    sends: Vec<(Millis, f64)>,
}

impl Server {
    fn update_utilisation(&mut self, now: Millis) {
        let kept = (-(now - self.updated_at) / UTILISATION_WINDOW).exp();
        let busy = self.busy as f64 / CORES as f64;
        self.utilisation = busy + (self.utilisation - busy) * kept;
        self.updated_at = now;
    }
}

/// The share of its capacity that a server of this age has.
fn warm_up_fraction(age: Millis) -> f64 {
    let limits = settings().slow_start;
    (limits.initial_capacity_share + (1.0 - limits.initial_capacity_share) * age / limits.warm_up).min(1.0)
}

/// The work that a server of this age may be sent in one overload window, in requests of mean work: on
/// average, and at most.
fn allowance(age: Millis) -> (f64, f64) {
    let limits = settings().slow_start;
    let mean =
        limits.overload_multiple * warm_up_fraction(age) * CORES as f64 * limits.overload_window / MEAN_WORK;
    (mean, mean + 2.0 * mean.sqrt() + 2.0)
}

struct Simulation {
    scenario: Scenario,
    now: Millis,
    last_event: u64,
    /// Time in microseconds and number of each pending event.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, SimEvent>,
    balancers: Vec<Balancer>,
    servers: Vec<Server>,
    jobs: Vec<Job>,
    classes: HashMap<RequestId, ClassId>,
    rng: Rand64,
    requests: u64,
}

impl Simulation {
    fn new(scenario: &Scenario) -> Simulation {
        let mut simulation = Simulation {
            scenario: scenario.clone(),
            now: 0.0,
            last_event: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            balancers: Vec::new(),
            servers: (0..scenario.old_servers + scenario.new_servers).map(|_| Server::default()).collect(),
            jobs: Vec::new(),
            classes: HashMap::new(),
            rng: Rand64::new(u128::from(scenario.seed)),
            requests: 0,
        };
        simulation.balancers = (0..scenario.sidecars).map(|number| simulation.new_balancer(number)).collect();
        simulation.announce(0..scenario.old_servers as usize);
        simulation.schedule_in(0.0, SimEvent::RequestArrived);
        simulation.schedule_in(START, SimEvent::NewServersStarted);
        simulation
    }

    fn new_balancer(&self, number: usize) -> Balancer {
        let mut settings = settings();
        settings.sidecars = self.scenario.configured_sidecars;
        settings.probe_cost = PROBE_COST;
        settings.classes.truncate(2);
        settings.classes.iter_mut().for_each(|class| {
            *class = Class { aim: 120.0, ..common::class(Effect::Idempotent) };
        });
        if self.scenario.ranked {
            let (rank, count) = (number as u32, self.scenario.configured_sidecars);
            settings.identity = Identity::Ranked { rank, count };
        }
        Balancer::new(settings, self.scenario.seed * 1_000 + number as u64)
    }

    /// Lists some servers to all sidecars.
    fn announce(&mut self, servers: std::ops::Range<usize>) {
        let list: Vec<Listing> = servers
            .map(|number| Listing {
                started: self.servers[number].started,
                weight: CORES as f64,
                kind: KindId(u64::from(self.servers[number].started.is_some())),
                ..listing(number as u64 + 1)
            })
            .collect();
        for sidecar in 0..self.balancers.len() {
            self.handle(sidecar, Event::ListReceived(ListUpdate::Changed(list.clone())));
        }
    }

    fn schedule_in(&mut self, delay: Millis, event: SimEvent) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.queue.push(Reverse((((self.now + delay.max(0.0)) * 1e3) as u64, self.last_event)));
    }

    /// Hands an event to a sidecar's balancer and carries out its actions.
    fn handle(&mut self, sidecar: usize, event: Event) {
        let mut actions = Vec::new();
        self.balancers[sidecar].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, upstream, timeout } => self.send(sidecar, request, upstream, timeout),
                Action::Cancel { request, attempt } => self.cancel(sidecar, request, attempt),
                Action::Probe(upstream) => {
                    let server = upstream.0 as usize - 1;
                    self.schedule_in(1.0, SimEvent::ProbeReturned { sidecar, server });
                }
                Action::SetTimer { at, token } => {
                    self.schedule_in(at - self.now, SimEvent::TimerFired { sidecar, token })
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, sidecar: usize, request: RequestId, upstream: UpstreamId, timeout: Millis) {
        let (number, class) = (upstream.0 as usize - 1, self.classes[&request]);
        let attempt = self.jobs.iter().filter(|job| job.request == request).count();
        let work = WORK[class.0] * -(1.0 - self.rng.rand_float()).ln();
        self.jobs.push(Job {
            sidecar,
            request,
            attempt: AttemptNo(attempt as u32),
            server: number,
            work,
            sent_at: self.now,
            is_open: true,
        });
        let job = self.jobs.len() - 1;
        self.schedule_in(timeout, SimEvent::AttemptTimedOut { job });
        let now = self.now;
        let server = &mut self.servers[number];
        server.update_utilisation(now);
        server.sends.push((now, WORK[class.0] / MEAN_WORK));
        if server.queue.len() >= MAX_QUEUE_LENGTH {
            return self.finish(job, Outcome::Full);
        }
        server.queue.push_back(job);
        self.start_jobs(number);
    }

    /// Starts queued jobs on the idle cores of a server.
    fn start_jobs(&mut self, number: usize) {
        let now = self.now;
        let server = &mut self.servers[number];
        while server.busy < CORES {
            let Some(job) = server.queue.pop_front() else { return };
            server.busy += 1;
            let speed = server.started.map_or(1.0, |started| warm_up_fraction(now - started));
            let duration = self.jobs[job].work / speed;
            self.last_event += 1;
            self.events.insert(self.last_event, SimEvent::JobDone { server: number, job });
            self.queue.push(Reverse((((now + duration) * 1e3) as u64, self.last_event)));
        }
    }

    fn cancel(&mut self, sidecar: usize, request: RequestId, attempt: AttemptNo) {
        let matches = |job: &Job| (job.sidecar, job.request, job.attempt) == (sidecar, request, attempt);
        if let Some(job) = self.jobs.iter().position(matches) {
            self.finish(job, Outcome::Cancelled);
        }
    }

    /// Tells the sidecar that an attempt has ended, unless it has been told before.
    fn finish(&mut self, job: usize, outcome: Outcome) {
        if !std::mem::take(&mut self.jobs[job].is_open) {
            return;
        }
        let Job { sidecar, request, attempt, server, sent_at, .. } = self.jobs[job];
        let finished = FinishedAttempt {
            request,
            attempt,
            upstream: UpstreamId(server as u64 + 1),
            outcome,
            latency: self.now - sent_at,
            client_answered: outcome == Outcome::Ok,
            report: None,
        };
        self.handle(sidecar, Event::AttemptFinished(finished));
    }

    /// Draws the sidecar of a request, in proportion to the sidecars' traffic.
    fn draw_sidecar(&mut self) -> usize {
        let heavy = (self.scenario.sidecars / 8).max(1);
        let factor = self.scenario.heavy_traffic_factor;
        let total = heavy as f64 * factor + (self.scenario.sidecars - heavy) as f64;
        let drawn = self.rng.rand_float() * total;
        let among_heavy = (drawn / factor) as usize;
        if among_heavy < heavy {
            return among_heavy;
        }
        ((drawn - heavy as f64 * factor) as usize + heavy).min(self.scenario.sidecars - 1)
    }

    fn request_arrived(&mut self) {
        let cores = self.scenario.old_servers as usize * CORES;
        let rate = self.scenario.load * cores as f64 / MEAN_WORK;
        let interval = -(1.0 - self.rng.rand_float()).ln() / rate;
        self.schedule_in(interval, SimEvent::RequestArrived);
        self.requests += 1;
        let (request, class) = (RequestId(self.requests), ClassId(self.rng.rand_range(0..2) as usize));
        self.classes.insert(request, class);
        let sidecar = self.draw_sidecar();
        let event = Event::RequestArrived { request, class, tenant: TenantId(0), time_left: 400.0 };
        self.handle(sidecar, event);
    }

    fn start_new_servers(&mut self) {
        let new = self.scenario.old_servers as usize..self.servers.len();
        self.servers[new.clone()].iter_mut().for_each(|server| server.started = Some(START));
        if self.scenario.sidecars_restart {
            self.jobs.iter_mut().for_each(|job| job.is_open = false);
            self.balancers = (0..self.scenario.sidecars).map(|number| self.new_balancer(number)).collect();
            return self.announce(0..self.servers.len());
        }
        self.announce(new);
    }

    fn probe_returned(&mut self, sidecar: usize, number: usize) {
        let now = self.now;
        let server = &mut self.servers[number];
        server.update_utilisation(now);
        let report = Report {
            in_flight: Some((server.busy + server.queue.len()) as f64),
            utilisation: Some(server.utilisation),
            ..Report::default()
        };
        let upstream = UpstreamId(number as u64 + 1);
        self.handle(sidecar, Event::ProbeFinished { upstream, answered: true, report: Some(report) });
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at as f64 / 1e3;
            if self.now > END {
                return;
            }
            match self.events.remove(&number) {
                Some(SimEvent::RequestArrived) => self.request_arrived(),
                Some(SimEvent::NewServersStarted) => self.start_new_servers(),
                Some(SimEvent::AttemptTimedOut { job }) => self.finish(job, Outcome::TimedOut),
                Some(SimEvent::TimerFired { sidecar, token }) => {
                    self.handle(sidecar, Event::TimerFired(token))
                }
                Some(SimEvent::ProbeReturned { sidecar, server }) => self.probe_returned(sidecar, server),
                Some(SimEvent::JobDone { server, job }) => {
                    self.servers[server].update_utilisation(at as f64 / 1e3);
                    self.servers[server].busy -= 1;
                    self.finish(job, Outcome::Ok);
                    self.start_jobs(server);
                }
                None => {}
            }
        }
    }
}

/// The largest work in any window of a new server as a share of the maximum, and the mean share of the
/// allowance that is used after the first window.
fn simulate(scenario: &Scenario) -> (f64, f64) {
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    let window = settings().slow_start.overload_window;
    let (mut largest, mut used, mut windows) = (0.0f64, 0.0, 0.0);
    for server in &simulation.servers[scenario.old_servers as usize..] {
        let work_in_window = |end: Millis| {
            let sends = server.sends.iter().filter(|(at, _)| *at <= end && *at > end - window);
            sends.map(|(_, work)| work).sum::<f64>()
        };
        for (at, _) in &server.sends {
            largest = largest.max(work_in_window(*at) / allowance(at - START).1);
        }
        let window_ends = (0..).map(|number| START + window + 500.0 * f64::from(number));
        for end in window_ends.take_while(|at| *at < END) {
            used += work_in_window(end) / allowance(end - START).0;
            windows += 1.0;
        }
    }
    (largest, used / windows)
}

/// Asserts for each scenario that no window exceeds the maximum and that enough of the allowance is used.
fn check_scenarios(scenarios: &[Scenario], min_used: f64) {
    let mut failures = Vec::new();
    for scenario in scenarios {
        let (largest, used) = simulate(scenario);
        println!(
            "{}, {} sidecars: largest window {largest:.2} of the maximum, {used:.2} of the allowance used",
            scenario.name, scenario.sidecars
        );
        if largest > 1.0 || used < min_used {
            failures
                .push(format!("{}, {} sidecars: {largest:.2}, {used:.2}", scenario.name, scenario.sidecars));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn overloaded_fleet_keeps_to_the_allowance_of_new_servers() {
    let scenarios: Vec<Scenario> = [1, 5, 20, 30, 100, 300]
        .iter()
        .zip(1..)
        .map(|(sidecars, seed)| Scenario::new("overloaded", *sidecars, seed))
        .collect();
    check_scenarios(&scenarios, 0.15);
}

#[test]
fn allowance_of_new_servers_is_kept_in_adverse_scenarios() {
    let scenarios = [
        Scenario { heavy_traffic_factor: 5.0, ..Scenario::new("uneven traffic", 30, 11) },
        Scenario {
            configured_sidecars: 15,
            ranked: false,
            ..Scenario::new("half of the sidecars configured", 30, 12)
        },
        Scenario {
            configured_sidecars: 60,
            ranked: false,
            ..Scenario::new("twice the sidecars configured", 30, 13)
        },
        Scenario { sidecars_restart: true, ..Scenario::new("all sidecars restart", 30, 14) },
        Scenario {
            old_servers: 4,
            new_servers: 6,
            load: 2.5,
            ..Scenario::new("six in ten servers are new", 30, 15)
        },
        Scenario { load: 3.0, ..Scenario::new("three times the capacity", 30, 16) },
        Scenario { ranked: false, ..Scenario::new("sidecars without ranks", 30, 17) },
    ];
    check_scenarios(&scenarios, 0.1);
}
