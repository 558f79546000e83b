//! Two buildings in simulated time: sidecars with the real module and a real plan, servers with cores and a queue.
//! No sockets, no clock; the same seed gives the same day.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

use oorandom::Rand64;
use sagemast_decide::Balancer;
use sagemast_decide::api::*;
use sagemast_pools::counts::{Counts, Names, Totals};
use sagemast_pools::crossing::{Plan, Rules};

/// Page fetches, draft saves, errata and copy bills: share in 100, mean work in ms, aim, effect.
const CLASSES: [(&str, u64, f64, f64); 4] = [
    ("page-fetch", 42, 30.0, 250.0),
    ("draft-save", 25, 55.0, 400.0),
    ("errata-log", 18, 35.0, 200.0),
    ("copy-bill", 15, 60.0, 400.0),
];
const DEADLINE: f64 = 1_000.0;

/// What goes wrong, from one time to another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// Nothing does.
    None,
    /// Every server of this building works so many times slower.
    Crawl(usize, f64),
    /// Every server of this building takes requests and resets them after they have run.
    Resets(usize),
    /// No connection between the buildings comes up.
    CutOff,
    /// Every server of this building leaves the list.
    Gone(usize),
}

pub struct World {
    /// Servers of each building.
    pub servers: [usize; 2],
    pub cores: usize,
    /// Sidecars in each building, and requests a second of each.
    pub sidecars: usize,
    pub rate: f64,
    pub rules: Option<Rules>,
    pub trouble: Trouble,
    pub from: f64,
    pub until: f64,
    pub end: f64,
    pub seed: u64,
}

/// What came of a day. By building of the sidecar.
#[derive(Debug, Default)]
pub struct Day {
    /// By class: asked, served in aim.
    pub asked: [[u64; 4]; 2],
    pub in_aim: [[u64; 4]; 2],
    /// The same while the trouble lasted.
    pub asked_then: [u64; 2],
    pub in_aim_then: [u64; 2],
    /// Asked and served in aim in the first building, by the second in which they were asked.
    pub by_second: Vec<[u64; 2]>,
    pub refused: u64,
    pub failed: u64,
    /// Bills that ran more than once.
    pub doubled: u64,
    /// Requests that never got a final answer, or two.
    pub unanswered: i64,
    pub totals: [Totals; 2],
    /// Attempts that plans hold to be out at the end.
    pub left_out: usize,
}

impl Day {
    /// Share of attempts from a building that crossed, for a class or for all.
    pub fn crossed(&self, building: usize, class: Option<&str>) -> f64 {
        let (all, crossed) = self.totals[building].share(class);
        crossed as f64 / all.max(1) as f64
    }

    /// Share that crossed for a budget, and for bends.
    pub fn paid(&self, building: usize) -> (f64, f64) {
        let (all, crossed) = self.totals[building].share(None);
        let bent: u64 = self.totals[building].rows.iter().map(|row| row.bent.sum()).sum();
        ((crossed - bent) as f64 / all.max(1) as f64, bent as f64 / all.max(1) as f64)
    }

    /// Share of what was asked that was served in aim.
    pub fn service(&self, building: usize) -> f64 {
        let sum = |of: &[[u64; 4]; 2]| of[building].iter().sum::<u64>() as f64;
        sum(&self.in_aim) / sum(&self.asked)
    }

    /// The same while the trouble lasted.
    pub fn service_then(&self, building: usize) -> f64 {
        self.in_aim_then[building] as f64 / self.asked_then[building].max(1) as f64
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    Arrival(usize),
    Done(usize, u64),
    Back(usize, u64),
    Probe(usize, usize),
    Woke(usize, u64),
    List,
}

struct Server {
    building: usize,
    busy: usize,
    queue: VecDeque<u64>,
    util: f64,
    util_at: f64,
}

struct Attempt {
    sidecar: usize,
    request: u64,
    number: u32,
    server: usize,
    sent: f64,
    outcome: Outcome,
}

struct Asked {
    class: usize,
    at: f64,
    sends: u32,
    ran: u32,
}

struct Running<'w> {
    world: &'w World,
    rng: Rand64,
    now: f64,
    heap: BinaryHeap<Reverse<(u64, u64, Happens)>>,
    order: u64,
    servers: Vec<Server>,
    modules: Vec<Balancer>,
    counts: Vec<Arc<Counts>>,
    asked: HashMap<u64, Asked>,
    attempts: HashMap<u64, Attempt>,
    next: u64,
    day: Day,
}

pub fn names(home: usize) -> Names {
    Names {
        classes: CLASSES.iter().map(|class| class.0.to_owned()).collect(),
        zones: vec!["howard-ave".to_owned(), "pass-road".to_owned()],
        home,
    }
}

fn settings(home: usize, sidecars: u32) -> Settings {
    let effects = [
        Effect::Repeatable,
        Effect::Repeatable,
        Effect::ByKey { scope: Scope::Zone, window: 2_000.0 },
        Effect::Once,
    ];
    let class = |(class, effect): (&(&str, u64, f64, f64), Effect)| Class {
        aim: class.3,
        worth: 3.0,
        late_worth: 0.0,
        effect,
    };
    Settings {
        classes: CLASSES.iter().zip(effects).map(class).collect(),
        tenants: Vec::new(),
        over_quota_worth: 1.0,
        zone: ZoneId(home as u64),
        sidecars,
        crossing_fee: 0.0,
        limits: Limits {
            max_attempts: 4,
            duplicates: false,
            probes: true,
            cancel: true,
            max_retry_after: 400.0,
            tick: 1.0,
        },
        safety: Safety { cold_share: 0.16, warm_up: 21_000.0, fall_multiple: 2.5, fall: 1_500.0 },
        discovery: Discovery::Pushed,
    }
}

impl World {
    /// Five servers of two cores in each building, at about 60 % of what they can do.
    pub fn usual(rules: Option<Rules>, trouble: Trouble) -> World {
        World {
            servers: [5, 5],
            cores: 2,
            sidecars: 2,
            rate: 70.0,
            rules,
            trouble,
            from: 20_000.0,
            until: 40_000.0,
            end: 60_000.0,
            seed: 7,
        }
    }

    pub fn play(&self) -> Day {
        let mut running = Running {
            world: self,
            rng: Rand64::new(u128::from(self.seed)),
            now: 0.0,
            heap: BinaryHeap::new(),
            order: 0,
            servers: Vec::new(),
            modules: Vec::new(),
            counts: Vec::new(),
            asked: HashMap::new(),
            attempts: HashMap::new(),
            next: 0,
            day: Day::default(),
        };
        running.begin();
        while let Some(Reverse((at, _, what))) = running.heap.pop() {
            running.now = at as f64 / 1e3;
            running.happens(what);
        }
        running.finish()
    }
}

impl Running<'_> {
    fn at(&mut self, after: f64, what: Happens) {
        self.order += 1;
        let at = ((self.now + after) * 1e3) as u64;
        self.heap.push(Reverse((at, self.order, what)));
    }

    fn second(&mut self, at: f64) -> &mut [u64; 2] {
        let second = (at / 1e3) as usize;
        if self.day.by_second.len() <= second {
            self.day.by_second.resize(second + 1, [0; 2]);
        }
        &mut self.day.by_second[second]
    }

    fn troubled(&self) -> bool {
        (self.world.from..self.world.until).contains(&self.now)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.rand_float()).ln()
    }

    fn begin(&mut self) {
        for building in 0..2 {
            for _ in 0..self.world.servers[building] {
                let (queue, util, util_at) = (VecDeque::new(), 0.0, 0.0);
                self.servers.push(Server { building, busy: 0, queue, util, util_at });
            }
            for _ in 0..self.world.sidecars {
                let all = 2 * self.world.sidecars as u32;
                let mut module = Balancer::new(settings(building, all), self.rng.rand_u64());
                let counts = Arc::new(Counts::new(names(building)));
                // Without rules it counts, and decides as if there were no plan.
                let free = Rules { fee: 0.03, bend_at: 0.2, bends: Vec::new(), budgets: Vec::new() };
                let rules = self.world.rules.clone().unwrap_or(free);
                module.set_cross_zone(Some(Box::new(Plan::new(rules, counts.clone(), all, 0.0))));
                self.modules.push(module);
                self.counts.push(counts);
            }
        }
        for sidecar in 0..self.modules.len() {
            let known = self.listings();
            self.tell(sidecar, Event::Listed(ListNews::Restored(known)));
            self.at(0.0, Happens::Arrival(sidecar));
        }
        self.at(self.world.from, Happens::List);
        self.at(self.world.until, Happens::List);
    }

    fn listings(&self) -> Vec<Listing> {
        let gone = |building| self.troubled() && self.world.trouble == Trouble::Gone(building);
        let listing = |(id, server): (usize, &Server)| Listing {
            upstream: UpstreamId(id as u64),
            zone: ZoneId(server.building as u64),
            cell: CellId(server.building as u64),
            kind: KindId(0),
            lifecycle: if gone(server.building) { Lifecycle::Leaving } else { Lifecycle::Serving },
            weight: 1.0,
            started: None,
        };
        self.servers.iter().enumerate().map(listing).collect()
    }

    fn happens(&mut self, what: Happens) {
        match what {
            Happens::Arrival(sidecar) => self.arrival(sidecar),
            Happens::Done(server, attempt) => self.done(server, attempt),
            Happens::Back(sidecar, attempt) => self.back(sidecar, attempt),
            Happens::Probe(sidecar, server) => {
                let report = self.report(server);
                let upstream = UpstreamId(server as u64);
                self.tell(sidecar, Event::Probed { upstream, answered: true, report: Some(report) });
            }
            Happens::Woke(sidecar, token) => self.tell(sidecar, Event::Woke(token)),
            Happens::List => {
                for sidecar in 0..self.modules.len() {
                    let known = self.listings();
                    self.tell(sidecar, Event::Listed(ListNews::Changed(known)));
                }
            }
        }
    }

    fn arrival(&mut self, sidecar: usize) {
        if self.now >= self.world.end {
            return;
        }
        let gap = self.exponential(1e3 / self.world.rate);
        self.at(gap, Happens::Arrival(sidecar));
        let mut drawn = self.rng.rand_range(0..100);
        let class = CLASSES.iter().position(|class| {
            let here = drawn < class.1;
            drawn = drawn.wrapping_sub(class.1);
            here
        });
        let class = class.unwrap_or(0);
        self.next += 1;
        let building = sidecar / self.world.sidecars;
        self.day.asked[building][class] += 1;
        if building == 0 {
            self.second(self.now)[0] += 1;
        }
        self.day.asked_then[building] += u64::from(self.troubled());
        self.day.unanswered += 1;
        self.asked.insert(self.next, Asked { class, at: self.now, sends: 0, ran: 0 });
        let (request, class, tenant) = (RequestId(self.next), ClassId(class), TenantId(0));
        self.tell(sidecar, Event::Arrived { request, class, tenant, time_left: DEADLINE });
    }

    fn tell(&mut self, sidecar: usize, event: Event) {
        let mut out = Vec::new();
        self.modules[sidecar].handle(self.now, event, &mut out);
        let building = sidecar / self.world.sidecars;
        for action in out {
            match action {
                Action::Send { request, upstream, timeout } => {
                    self.send(sidecar, request.0, upstream, timeout)
                }
                Action::Probe(upstream) => {
                    self.at(0.6, Happens::Probe(sidecar, upstream.0 as usize));
                }
                Action::WakeAt { at, token } => {
                    let after = (at - self.now).max(0.0);
                    self.at(after + 0.001, Happens::Woke(sidecar, token));
                }
                Action::Refuse { .. } => {
                    self.day.refused += 1;
                    self.day.unanswered -= 1;
                }
                Action::Fail(_) => {
                    self.day.failed += 1;
                    self.day.unanswered -= 1;
                }
                Action::Cancel { .. } | Action::Subscribe | Action::Log(_) => {}
            }
        }
        let _ = building;
    }

    fn send(&mut self, sidecar: usize, request: u64, upstream: UpstreamId, timeout: f64) {
        let server = upstream.0 as usize;
        let asked = self.asked.get_mut(&request).expect("it was asked");
        let number = asked.sends;
        asked.sends += 1;
        self.next += 1;
        let (attempt, sent) = (self.next, self.now);
        let across = self.servers[server].building != sidecar / self.world.sidecars;
        let cut = across && self.troubled() && self.world.trouble == Trouble::CutOff;
        let outcome = if cut { Outcome::Unreachable } else { Outcome::TimedOut };
        self.attempts.insert(attempt, Attempt { sidecar, request, number, server, sent, outcome });
        self.at(if cut { 20.0 } else { timeout.min(DEADLINE) }, Happens::Back(sidecar, attempt));
        if !cut {
            self.servers[server].queue.push_back(attempt);
            self.work(server);
        }
    }

    /// Begins what a server has a core for.
    fn work(&mut self, server: usize) {
        while self.servers[server].busy < self.world.cores {
            let Some(attempt) = self.servers[server].queue.pop_front() else { return };
            self.turn(server, 1);
            // One that was given up still runs.
            let request = self.attempts.get(&attempt).map(|attempt| attempt.request);
            let asked = request.and_then(|request| self.asked.get_mut(&request));
            let class = asked.map_or(0, |asked| {
                asked.ran += 1;
                self.day.doubled += u64::from(asked.ran == 2 && asked.class == 3);
                asked.class
            });
            let slower = match self.world.trouble {
                Trouble::Crawl(building, times)
                    if self.troubled() && building == self.servers[server].building =>
                {
                    times
                }
                _ => 1.0,
            };
            let span = self.exponential(CLASSES[class].2 * slower);
            self.at(span, Happens::Done(server, attempt));
        }
    }

    fn turn(&mut self, server: usize, by: isize) {
        let (now, cores) = (self.now, self.world.cores as f64);
        let server = &mut self.servers[server];
        let share = server.busy as f64 / cores;
        server.util += (1.0 - (-(now - server.util_at) / 700.0).exp()) * (share - server.util);
        server.util_at = now;
        server.busy = server.busy.saturating_add_signed(by);
    }

    fn report(&mut self, server: usize) -> Report {
        self.turn(server, 0);
        let server = &self.servers[server];
        let in_flight = (server.busy + server.queue.len()) as f64;
        Report { in_flight: Some(in_flight), utilisation: Some(server.util.min(1.0)), ..Report::default() }
    }

    fn done(&mut self, server: usize, number: u64) {
        self.turn(server, -1);
        let resets = self.troubled() && self.world.trouble == Trouble::Resets(self.servers[server].building);
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.outcome = if resets { Outcome::Reset } else { Outcome::Ok };
            let sidecar = attempt.sidecar;
            self.back(sidecar, number);
        }
        self.work(server);
    }

    fn back(&mut self, sidecar: usize, number: u64) {
        let Some(attempt) = self.attempts.remove(&number) else { return };
        let Attempt { request, number, server, sent, outcome, .. } = attempt;
        let asked = &self.asked[&request];
        let (class, at, latency, aim) = (asked.class, asked.at, self.now - sent, CLASSES[asked.class].3);
        if outcome == Outcome::Ok {
            let building = sidecar / self.world.sidecars;
            self.day.unanswered -= 1;
            if self.now - at <= aim {
                self.day.in_aim[building][class] += 1;
                if building == 0 {
                    self.second(at)[1] += 1;
                }
                self.day.in_aim_then[building] +=
                    u64::from((self.world.from..self.world.until).contains(&at));
            }
        }
        let (id, attempt) = (RequestId(request), AttemptNo(number));
        let now = self.now;
        if let Some(plan) = self.modules[sidecar].cross_zone() {
            plan.ended(now, id, attempt, outcome, [200, 4_000]);
        }
        let report = None;
        let (upstream, closed) = (UpstreamId(server as u64), outcome == Outcome::Ok);
        self.tell(
            sidecar,
            Event::Finished(Finished { request: id, attempt, upstream, outcome, latency, closed, report }),
        );
    }

    fn finish(mut self) -> Day {
        for (sidecar, counts) in self.counts.iter().enumerate() {
            self.day.totals[sidecar / self.world.sidecars].add(&counts.totals());
        }
        self.day.left_out = self.attempts.len();
        self.day
    }
}
