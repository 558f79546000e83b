//! Slow start: whatever sidecars together send a server that has just started keeps to its allowance in every window, also
//! where the fleet is overloaded, and the allowance is used. Servers here have queues, and report as real ones do: in flight
//! of the moment beside a utilisation that is a mean over the past, and the new ones are of a kind of which little is known.
//!
//! The allowance is a multiple of what a cold server can do, so one that is as busy as it can be has used 0.4 of it here.

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use common::*;
use oorandom::Rand64;
use sagemast_decide::Balancer;
use sagemast_decide::api::*;

const CORES: usize = 2;
/// Milliseconds of work of the two classes that come, equally often.
const WORK: [Millis; 2] = [9.0, 21.0];
const MEAN_WORK: Millis = 15.0;
const UTILISATION_OVER: Millis = 700.0;
const QUEUE: usize = 400;
/// What a probe costs: reports are seldom.
const PROBE_FEE: f64 = 0.08;
/// When new servers start, and when the day ends.
const START: Millis = 3_000.0;
const END: Millis = 12_000.0;

/// One day: what it is called, and in what it differs from the others.
#[derive(Debug, Clone)]
struct Day {
    name: &'static str,
    sidecars: usize,
    /// What they are told that they are.
    told: u32,
    numbered: bool,
    warm: u64,
    cold: u64,
    /// Of what the warm servers can do before the start, what is asked for.
    load: f64,
    /// One sidecar in eight has so many times the traffic of the others.
    uneven: f64,
    /// Whether the sidecars begin with the new servers, too.
    restarted: bool,
    seed: u64,
}

impl Day {
    fn new(name: &'static str, sidecars: usize, seed: u64) -> Day {
        Day {
            name,
            sidecars,
            told: sidecars as u32,
            numbered: true,
            warm: 8,
            cold: 2,
            load: 1.6,
            uneven: 1.0,
            restarted: false,
            seed,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Happening {
    Arrival,
    Done { server: usize, job: usize },
    TimedOut { job: usize },
    Woke { sidecar: usize, token: u64 },
    Probed { sidecar: usize, server: usize },
    Start,
}

#[derive(Debug, Clone, Copy)]
struct Job {
    sidecar: usize,
    request: RequestId,
    attempt: AttemptNo,
    server: usize,
    work: Millis,
    sent: Millis,
    open: bool,
}

#[derive(Debug, Default)]
struct Server {
    started: Option<Millis>,
    working: usize,
    waiting: VecDeque<usize>,
    utilisation: f64,
    at: Millis,
    sent: Vec<(Millis, f64)>,
}

impl Server {
    fn advance(&mut self, now: Millis) {
        let kept = (-(now - self.at) / UTILISATION_OVER).exp();
        let busy = self.working as f64 / CORES as f64;
        self.utilisation = busy + (self.utilisation - busy) * kept;
        self.at = now;
    }
}

/// The share of its capacity that a server has at an age.
fn warmth(age: Millis) -> f64 {
    let safety = settings().slow_start;
    (safety.initial_capacity_share + (1.0 - safety.initial_capacity_share) * age / safety.warm_up).min(1.0)
}

/// What a cold server may be sent in one window, in requests of mean work: on the mean, and at most.
fn budget(age: Millis) -> (f64, f64) {
    let safety = settings().slow_start;
    let mean = safety.overload_multiple * warmth(age) * CORES as f64 * safety.overload_window / MEAN_WORK;
    (mean, mean + 2.0 * mean.sqrt() + 2.0)
}

struct Fleet {
    day: Day,
    now: Millis,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: HashMap<u64, Happening>,
    modules: Vec<Balancer>,
    servers: Vec<Server>,
    jobs: Vec<Job>,
    classes: HashMap<RequestId, ClassId>,
    rng: Rand64,
    requests: u64,
}

impl Fleet {
    fn new(day: &Day) -> Fleet {
        let mut fleet = Fleet {
            day: day.clone(),
            now: 0.0,
            order: 0,
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            modules: Vec::new(),
            servers: (0..day.warm + day.cold).map(|_| Server::default()).collect(),
            jobs: Vec::new(),
            classes: HashMap::new(),
            rng: Rand64::new(u128::from(day.seed)),
            requests: 0,
        };
        fleet.modules = (0..day.sidecars).map(|number| fleet.module(number)).collect();
        fleet.tell(0..day.warm as usize);
        fleet.after(0.0, Happening::Arrival);
        fleet.after(START, Happening::Start);
        fleet
    }

    fn module(&self, number: usize) -> Balancer {
        let mut settings = settings();
        settings.sidecars = self.day.told;
        settings.probe_cost = PROBE_FEE;
        settings.classes.truncate(2);
        settings.classes.iter_mut().for_each(|class| {
            *class = Class { aim: 120.0, ..common::class(Effect::Idempotent) };
        });
        if self.day.numbered {
            settings.identity = Identity::Ranked { rank: number as u32, count: self.day.told };
        }
        Balancer::new(settings, self.day.seed * 1_000 + number as u64)
    }

    /// Tells all sidecars of some servers.
    fn tell(&mut self, servers: std::ops::Range<usize>) {
        let list: Vec<Listing> = servers
            .map(|number| Listing {
                started: self.servers[number].started,
                weight: CORES as f64,
                kind: KindId(u64::from(self.servers[number].started.is_some())),
                ..listing(number as u64 + 1)
            })
            .collect();
        for sidecar in 0..self.modules.len() {
            self.event(sidecar, Event::ListReceived(ListUpdate::Changed(list.clone())));
        }
    }

    fn after(&mut self, time: Millis, what: Happening) {
        self.order += 1;
        self.happenings.insert(self.order, what);
        self.queue.push(Reverse((((self.now + time.max(0.0)) * 1e3) as u64, self.order)));
    }

    fn event(&mut self, sidecar: usize, event: Event) {
        let mut out = Vec::new();
        self.modules[sidecar].handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { request, upstream, timeout } => self.send(sidecar, request, upstream, timeout),
                Action::Cancel { request, attempt } => self.cancel(sidecar, request, attempt),
                Action::Probe(upstream) => {
                    let server = upstream.0 as usize - 1;
                    self.after(1.0, Happening::Probed { sidecar, server });
                }
                Action::SetTimer { at, token } => {
                    self.after(at - self.now, Happening::Woke { sidecar, token })
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, sidecar: usize, request: RequestId, to: UpstreamId, timeout: Millis) {
        let (server, class) = (to.0 as usize - 1, self.classes[&request]);
        let attempt = self.jobs.iter().filter(|job| job.request == request).count();
        let work = WORK[class.0] * -(1.0 - self.rng.rand_float()).ln();
        self.jobs.push(Job {
            sidecar,
            request,
            attempt: AttemptNo(attempt as u32),
            server,
            work,
            sent: self.now,
            open: true,
        });
        let job = self.jobs.len() - 1;
        self.after(timeout, Happening::TimedOut { job });
        let now = self.now;
        let to = &mut self.servers[server];
        to.advance(now);
        to.sent.push((now, WORK[class.0] / MEAN_WORK));
        if to.waiting.len() >= QUEUE {
            return self.end(job, Outcome::Full);
        }
        to.waiting.push_back(job);
        self.begin(server);
    }

    fn begin(&mut self, server: usize) {
        let now = self.now;
        let at = &mut self.servers[server];
        while at.working < CORES {
            let Some(job) = at.waiting.pop_front() else { return };
            at.working += 1;
            let pace = at.started.map_or(1.0, |started| warmth(now - started));
            let time = self.jobs[job].work / pace;
            self.order += 1;
            self.happenings.insert(self.order, Happening::Done { server, job });
            self.queue.push(Reverse((((now + time) * 1e3) as u64, self.order)));
        }
    }

    fn cancel(&mut self, sidecar: usize, request: RequestId, attempt: AttemptNo) {
        let is_it = |job: &Job| (job.sidecar, job.request, job.attempt) == (sidecar, request, attempt);
        if let Some(job) = self.jobs.iter().position(is_it) {
            self.end(job, Outcome::Cancelled);
        }
    }

    fn end(&mut self, job: usize, outcome: Outcome) {
        if !std::mem::take(&mut self.jobs[job].open) {
            return;
        }
        let Job { sidecar, request, attempt, server, sent, .. } = self.jobs[job];
        let end = FinishedAttempt {
            request,
            attempt,
            upstream: UpstreamId(server as u64 + 1),
            outcome,
            latency: self.now - sent,
            client_answered: outcome == Outcome::Ok,
            report: None,
        };
        self.event(sidecar, Event::AttemptFinished(end));
    }

    /// The traffic comes to a sidecar by its share.
    fn sidecar(&mut self) -> usize {
        let heavy = (self.day.sidecars / 8).max(1);
        let all = heavy as f64 * self.day.uneven + (self.day.sidecars - heavy) as f64;
        let at = self.rng.rand_float() * all;
        let among_heavy = (at / self.day.uneven) as usize;
        if among_heavy < heavy {
            return among_heavy;
        }
        ((at - heavy as f64 * self.day.uneven) as usize + heavy).min(self.day.sidecars - 1)
    }

    fn arrive(&mut self) {
        let rate = self.day.load * (self.day.warm as usize * CORES) as f64 / MEAN_WORK;
        let wait = -(1.0 - self.rng.rand_float()).ln() / rate;
        self.after(wait, Happening::Arrival);
        self.requests += 1;
        let (request, class) = (RequestId(self.requests), ClassId(self.rng.rand_range(0..2) as usize));
        self.classes.insert(request, class);
        let sidecar = self.sidecar();
        let event = Event::RequestArrived { request, class, tenant: TenantId(0), time_left: 400.0 };
        self.event(sidecar, event);
    }

    fn start(&mut self) {
        let new = self.day.warm as usize..self.servers.len();
        self.servers[new.clone()].iter_mut().for_each(|server| server.started = Some(START));
        if self.day.restarted {
            self.jobs.iter_mut().for_each(|job| job.open = false);
            self.modules = (0..self.day.sidecars).map(|number| self.module(number)).collect();
            return self.tell(0..self.servers.len());
        }
        self.tell(new);
    }

    fn probed(&mut self, sidecar: usize, server: usize) {
        let now = self.now;
        let asked = &mut self.servers[server];
        asked.advance(now);
        let report = Report {
            in_flight: Some((asked.working + asked.waiting.len()) as f64),
            utilisation: Some(asked.utilisation),
            ..Report::default()
        };
        let upstream = UpstreamId(server as u64 + 1);
        self.event(sidecar, Event::ProbeFinished { upstream, answered: true, report: Some(report) });
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at as f64 / 1e3;
            if self.now > END {
                return;
            }
            match self.happenings.remove(&number) {
                Some(Happening::Arrival) => self.arrive(),
                Some(Happening::Start) => self.start(),
                Some(Happening::TimedOut { job }) => self.end(job, Outcome::TimedOut),
                Some(Happening::Woke { sidecar, token }) => self.event(sidecar, Event::TimerFired(token)),
                Some(Happening::Probed { sidecar, server }) => self.probed(sidecar, server),
                Some(Happening::Done { server, job }) => {
                    self.servers[server].advance(at as f64 / 1e3);
                    self.servers[server].working -= 1;
                    self.end(job, Outcome::Ok);
                    self.begin(server);
                }
                None => {}
            }
        }
    }
}

/// The fullest window of any cold server over what it may be sent at most, and the share of the allowance that is used on the
/// mean once the first window is over.
fn play(day: &Day) -> (f64, f64) {
    let mut fleet = Fleet::new(day);
    fleet.run();
    let fall = settings().slow_start.overload_window;
    let (mut worst, mut used, mut windows) = (0.0f64, 0.0, 0.0);
    for server in &fleet.servers[day.warm as usize..] {
        let within = |until: Millis| {
            let sends = server.sent.iter().filter(|(at, _)| *at <= until && *at > until - fall);
            sends.map(|(_, work)| work).sum::<f64>()
        };
        for (at, _) in &server.sent {
            worst = worst.max(within(*at) / budget(at - START).1);
        }
        for end in (0..).map(|number| START + fall + 500.0 * f64::from(number)).take_while(|at| *at < END) {
            used += within(end) / budget(end - START).0;
            windows += 1.0;
        }
    }
    (worst, used / windows)
}

/// Plays these days, and tells how full the fullest window of each is, and how much of the allowance is used.
fn hold(days: &[Day], least_used: f64) {
    let mut broken = Vec::new();
    for day in days {
        let (worst, used) = play(day);
        println!(
            "{}, {} sidecars: fullest window {worst:.2} of the most, {used:.2} of the allowance used",
            day.name, day.sidecars
        );
        if worst > 1.0 || used < least_used {
            broken.push(format!("{}, {} sidecars: {worst:.2}, {used:.2}", day.name, day.sidecars));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn an_overloaded_fleet_keeps_to_the_allowance_of_new_servers() {
    let days: Vec<Day> = [1, 5, 20, 30, 100, 300]
        .iter()
        .zip(1..)
        .map(|(sidecars, seed)| Day::new("overloaded", *sidecars, seed))
        .collect();
    hold(&days, 0.15);
}

#[test]
fn hard_days_keep_to_the_allowance_of_new_servers() {
    let days = [
        Day { uneven: 5.0, ..Day::new("uneven traffic", 30, 11) },
        Day { told: 15, numbered: false, ..Day::new("told half of the sidecars", 30, 12) },
        Day { told: 60, numbered: false, ..Day::new("told twice the sidecars", 30, 13) },
        Day { restarted: true, ..Day::new("restarted together", 30, 14) },
        Day { warm: 4, cold: 6, load: 2.5, ..Day::new("six in ten are cold", 30, 15) },
        Day { load: 3.0, ..Day::new("three times the load", 30, 16) },
        Day { numbered: false, ..Day::new("no numbers", 30, 17) },
    ];
    hold(&days, 0.1);
}
