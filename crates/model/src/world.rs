//! Plays a day: clients, sidecars with a policy each, servers, the network between them, and what goes wrong.

use std::sync::Arc;

use hdrhistogram::Histogram;
use oorandom::Rand64;
use rustc_hash::FxHashMap;
use sagemast_decide::api::*;
use sagemast_decide::cross_zone::BudgetExemption;
use sagemast_pools::counts::{Counts, Names, Totals};
use sagemast_pools::cross_zone_budget::{Budget, BudgetLimit, CrossZoneBudgets, Rules};

use crate::clients::{Source, rush};
use crate::day::{Cold, Day, FaultKind, KEY_WINDOW_MS};
use crate::engine::{Engine, Nanos, millis, nanos};
use crate::judge::{Fact, Figures, Judge};
use crate::outcome::{Outcome as Result, Tally};
use crate::policy::{Policy, Truth, Word, under};
use crate::server::{Server, Shape};
use crate::streams::{Actor, Draw, stream};

/// Nothing new may go to a draining server after this, as the platform has it.
const GRACE_MS: f64 = 2_000.0;
/// How often the speed of a server that warms up is brought up to date.
const WARMING_MS: f64 = 250.0;
/// A policy is told that clients wait this much less: its last word has to reach them.
const IN_HAND_MS: f64 = 1.0;
/// What another attempt costs, as the platform has it: work done for nothing, and a connection.
const ATTEMPT_FEE: f64 = 0.1;
/// A connection that does not come up has failed after this.
const CONNECT_MS: f64 = 20.0;
/// What holds for crossings, as the page for operators has it: fees of full and empty budgets, and what is saved up.
const CROSSING_FEES: [f64; 2] = [0.03, 0.2];
const CROSSING_BURST: f64 = 10.0;

#[derive(Debug, Clone, Copy)]
enum Happens {
    /// The next first try at a sidecar.
    Arrival(usize),
    /// The chain of bursts changes its state.
    Burst,
    /// A client tries again.
    Again(u64),
    /// An attempt reaches its server.
    Reaches(u64),
    /// A server may have ended something.
    Work(usize, u64),
    /// An answer, or none, reaches the sidecar of an attempt.
    Back(u64, Outcome),
    /// An attempt's time is up.
    Timeout(u64),
    /// A request's client gives up.
    Deadline(u64),
    Probe(usize, usize),
    ProbeBack(usize, usize, [f64; 3]),
    Woke(usize, u64),
    Idle(usize, usize),
    Begins(usize),
    Ends(usize),
    News(usize, usize),
    Warms(usize),
}

struct Machine {
    server: Server,
    shape: Shape,
    zone: usize,
    /// Which wake-up of its work is the present one.
    turn: u64,
    serving: bool,
    started: Option<Nanos>,
    fallen: bool,
    /// How many times slower, and how many faults that hang, err or reset strike it.
    slow: f64,
    hangs: u32,
    rng: Rand64,
}

struct Job {
    class: usize,
    work: f64,
    first_at: Nanos,
    tries: u32,
    sidecar: usize,
    counts: bool,
}

struct Request {
    job: u64,
    sidecar: usize,
    class: usize,
    sends: u32,
    open: bool,
    out: u32,
    /// Its latest attempt; no other can be out.
    last: Option<u64>,
}

struct Attempt {
    request: u64,
    number: u32,
    sidecar: usize,
    server: usize,
    at: Nanos,
    /// What its server held when it came.
    found: usize,
    /// The sidecar has been told its end.
    told: bool,
    /// The server has not been done with it.
    there: bool,
}

/// The true state, for the oracle.
struct Eyes<'a> {
    machines: &'a [Machine],
    works: &'a [f64],
    wrong: Wrong<'a>,
}

/// What goes wrong now.
#[derive(Clone, Copy)]
struct Wrong<'a> {
    day: &'a Day,
    active: &'a [bool],
    struck: &'a [Vec<usize>],
}

impl Wrong<'_> {
    /// Whether a request of this class meets such a fault at a server.
    fn strikes(&self, server: usize, class: usize, of: impl Fn(FaultKind) -> bool) -> bool {
        let name = &self.day.class[class].name;
        let faults = self.day.fault.iter().enumerate();
        let mut these = faults.filter(|(number, fault)| self.active[*number] && of(fault.kind));
        these.any(|(number, fault)| {
            fault.class.as_ref().is_none_or(|only| only == name)
                && self.struck[number].binary_search(&server).is_ok()
        })
    }
}

impl Truth for Eyes<'_> {
    fn wait(&self, server: UpstreamId, class: ClassId) -> f64 {
        let machine = &self.machines[server.0 as usize];
        let spoils = |kind| matches!(kind, FaultKind::FastErrors | FaultKind::Resets);
        let spoilt = self.wrong.strikes(server.0 as usize, class.0, spoils);
        if machine.hangs > 0 || machine.fallen || spoilt {
            f64::INFINITY
        } else {
            machine.server.true_wait(self.works[class.0])
        }
    }
}

/// A day that is being played.
pub struct World<'d> {
    day: &'d Day,
    seed: u64,
    engine: Engine<Happens>,
    sidecars: Vec<(Box<dyn Policy>, Source)>,
    machines: Vec<Machine>,
    works: Vec<f64>,
    jobs: FxHashMap<u64, Job>,
    requests: FxHashMap<u64, Request>,
    attempts: FxHashMap<u64, Attempt>,
    next: u64,
    bursting: bool,
    burst_rng: Rand64,
    active: Vec<bool>,
    struck: Vec<Vec<usize>>,
    hears_idle: bool,
    judge: Judge,
    tally: Tally,
    trace: Option<Vec<String>>,
}

/// Plays a day under a policy. `None` if no policy has this name. With `trace` each fact is kept as a line.
pub fn play(day: &Day, policy: &str, seed: u64, trace: bool) -> Option<Result> {
    play_with(day, &|settings, seed| under(policy, settings, plan(day, settings), seed), seed, trace)
}

/// The plan of a sidecar for what crosses zones, if the day has one.
fn plan(day: &Day, settings: &Settings) -> Option<CrossZoneBudgets> {
    let crossing = day.crossing?;
    let budget =
        |share| Budget { classes: None, to: None, limit: BudgetLimit::Share(share), burst: CROSSING_BURST };
    let bends = if crossing.bends { BudgetExemption::ALL.to_vec() } else { Vec::new() };
    let budgets = crossing.share.map(budget).into_iter().collect();
    let rules =
        Rules { cost: CROSSING_FEES[0], exemption_threshold: CROSSING_FEES[1], exemptions: bends, budgets };
    let names = Names {
        classes: day.class.iter().map(|class| class.name.clone()).collect(),
        zones: (0..day.network.zones).map(|zone| zone.to_string()).collect(),
        local_zone: settings.zone.0 as usize,
    };
    Some(CrossZoneBudgets::new(rules, Arc::new(Counts::new(names)), settings.sidecars, 0.0))
}

/// Makes the policy of a sidecar with these settings and this seed.
pub type Make<'m> = &'m dyn Fn(&Settings, u64) -> Option<Box<dyn Policy>>;

/// The same under a policy that is made for it.
pub fn play_with(day: &Day, make: Make<'_>, seed: u64, trace: bool) -> Option<Result> {
    let mut world = World::new(day, make, seed, trace)?;
    world.begin();
    while let Some(what) = world.engine.next_event() {
        world.happens(what);
    }
    Some(world.finish())
}

impl<'d> World<'d> {
    fn new(day: &'d Day, make: Make<'_>, seed: u64, trace: bool) -> Option<World<'d>> {
        let zones = day.network.zones;
        let machines = shapes(day, seed).into_iter().enumerate();
        let machines: Vec<Machine> =
            machines.map(|(at, (shape, rng))| World::machine(shape, at % zones, rng)).collect();
        let sidecars = (0..day.clients.sidecars).map(|number| {
            let settings = settings(day, number);
            let seed_of = stream(seed, Actor::Policy(number as u64)).rand_u64();
            Some((make(&settings, seed_of)?, Source::new(seed, number)))
        });
        let sidecars: Vec<(Box<dyn Policy>, Source)> = sidecars.collect::<Option<_>>()?;
        let Cold { share, warm_up_ms, multiple, window_ms } = day.cold;
        let figures = Figures {
            grace: nanos(GRACE_MS),
            cold_share: share,
            warm_up: nanos(warm_up_ms),
            multiple,
            window: nanos(window_ms),
        };
        Some(World {
            day,
            seed,
            engine: Engine::default(),
            hears_idle: sidecars.first().is_some_and(|(policy, _)| policy.hears_idle()),
            sidecars,
            machines,
            works: day.class.iter().map(|class| class.work_ms).collect(),
            jobs: FxHashMap::default(),
            requests: FxHashMap::default(),
            attempts: FxHashMap::default(),
            next: 0,
            bursting: false,
            burst_rng: stream(seed, Actor::Clients(u64::MAX >> 8)),
            active: vec![false; day.fault.len()],
            struck: vec![Vec::new(); day.fault.len()],
            judge: Judge::new(figures),
            tally: Tally::new(day),
            trace: trace.then(Vec::new),
        })
    }

    fn machine(shape: Shape, zone: usize, rng: Rand64) -> Machine {
        Machine {
            server: Server::new(shape),
            shape,
            zone,
            turn: 0,
            serving: true,
            started: None,
            fallen: false,
            slow: 1.0,
            hangs: 0,
            rng,
        }
    }

    fn begin(&mut self) {
        let known: Vec<Listing> = (0..self.machines.len()).map(|server| self.listing(server)).collect();
        for sidecar in 0..self.sidecars.len() {
            self.tell(sidecar, Event::ListReceived(ListUpdate::Restored(known.clone())));
            // Its first try comes as late as any other.
            let gap = self.gap(sidecar);
            self.engine.at(gap, Happens::Arrival(sidecar));
        }
        if let Some(burst) = self.day.clients.burst {
            let first = self.burst_rng.exponential(burst.off_s * 1e3);
            self.engine.at(nanos(first), Happens::Burst);
        }
        for (number, fault) in self.day.fault.iter().enumerate() {
            self.engine.at(nanos(fault.from_s * 1e3), Happens::Begins(number));
            self.engine.at(nanos((fault.from_s + fault.for_s) * 1e3), Happens::Ends(number));
        }
    }

    fn gap(&mut self, sidecar: usize) -> Nanos {
        let burst = self.day.clients.burst.filter(|_| self.bursting).map_or(1.0, |burst| burst.times);
        let rush = rush(self.day, self.engine.now());
        let rate = self.day.clients.rate * burst * rush * self.day.clients.part(sidecar);
        self.sidecars[sidecar].1.gap(rate)
    }

    fn listing(&self, server: usize) -> Listing {
        let machine = &self.machines[server];
        Listing {
            upstream: UpstreamId(server as u64),
            zone: ZoneId(machine.zone as u64),
            cell: CellId(machine.zone as u64),
            kind: KindId(machine.shape.cores as u64),
            lifecycle: if machine.serving { Lifecycle::Serving } else { Lifecycle::Draining },
            weight: machine.shape.cores as f64,
            started: machine.started.map(millis),
            key: sagemast_decide::subset::mix(server as u64),
        }
    }

    fn fact(&mut self, fact: Fact) {
        let now = self.engine.now();
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:.6} {fact:?}", millis(now) / 1e3));
        }
        self.judge.hear(now, fact);
    }

    fn happens(&mut self, what: Happens) {
        match what {
            Happens::Arrival(sidecar) => self.arrival(sidecar),
            Happens::Burst => {
                let Some(burst) = self.day.clients.burst else { return };
                self.bursting = !self.bursting;
                let mean = if self.bursting { burst.on_s } else { burst.off_s };
                let span = nanos(self.burst_rng.exponential(mean * 1e3));
                if self.engine.now() < nanos(self.day.length_s * 1e3) {
                    self.engine.after(span, Happens::Burst);
                }
            }
            Happens::Again(job) => self.ask(job),
            Happens::Reaches(attempt) => self.reaches(attempt),
            Happens::Work(server, turn) => self.work(server, turn),
            Happens::Back(attempt, outcome) => self.back(attempt, outcome),
            Happens::Timeout(attempt) => self.back(attempt, Outcome::TimedOut),
            Happens::Deadline(request) => self.deadline(request),
            Happens::Probe(sidecar, server) => {
                let now = self.engine.now();
                let (in_flight, util, latency) = self.machines[server].server.report(now);
                let way = self.way(sidecar, server);
                if !self.machines[server].fallen {
                    self.engine.after(way, Happens::ProbeBack(sidecar, server, [in_flight, util, latency]));
                }
            }
            Happens::ProbeBack(sidecar, server, [in_flight, util, latency]) => {
                let upstream = UpstreamId(server as u64);
                let now = millis(self.engine.now());
                self.sidecars[sidecar].0.told(now, Word::Probed(upstream, in_flight, latency));
                let report =
                    Report { in_flight: Some(in_flight), utilisation: Some(util), ..Report::default() };
                self.tell(sidecar, Event::ProbeFinished { upstream, answered: true, report: Some(report) });
            }
            Happens::Woke(sidecar, token) => self.tell(sidecar, Event::TimerFired(token)),
            Happens::Idle(sidecar, server) => {
                let now = millis(self.engine.now());
                self.sidecars[sidecar].0.told(now, Word::Idle(UpstreamId(server as u64)));
            }
            Happens::Begins(fault) => self.fault(fault, true),
            Happens::Ends(fault) => self.fault(fault, false),
            Happens::News(sidecar, server) => {
                let listing = self.listing(server);
                if listing.lifecycle == Lifecycle::Draining {
                    self.fact(Fact::ToldLeaving { sidecar, server });
                }
                self.tell(sidecar, Event::ListReceived(ListUpdate::Changed(vec![listing])));
            }
            Happens::Warms(server) => self.warms(server),
        }
    }

    // --- Clients -----------------------------------------------------------------------------

    fn arrival(&mut self, sidecar: usize) {
        let now = self.engine.now();
        if now >= nanos(self.day.length_s * 1e3) {
            return;
        }
        let (class, work) = self.sidecars[sidecar].1.draw(self.day);
        let gap = self.gap(sidecar);
        self.engine.after(gap, Happens::Arrival(sidecar));
        self.next += 1;
        let counts = now >= nanos(self.day.warm_up_s * 1e3);
        self.jobs.insert(self.next, Job { class, work, first_at: now, tries: 0, sidecar, counts });
        let zone = sidecar % self.day.network.zones;
        self.tally.asked(class, zone, now, counts);
        self.ask(self.next);
    }

    /// A try of a client.
    fn ask(&mut self, number: u64) {
        let now = self.engine.now();
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.tries += 1;
        let (sidecar, class) = (job.sidecar, job.class);
        let kind = &self.day.class[class];
        self.next += 1;
        let request = self.next;
        self.requests.insert(
            request,
            Request { job: number, sidecar, class, sends: 0, open: true, out: 0, last: None },
        );
        let deadline = now + nanos(kind.deadline_ms);
        let window =
            matches!(kind.effect.effect(), Effect::IdempotentByKey { .. }).then(|| nanos(KEY_WINDOW_MS));
        let harmful = kind.effect.effect() == Effect::NonIdempotent;
        self.engine.at(deadline, Happens::Deadline(request));
        let time_left = (kind.deadline_ms - IN_HAND_MS).max(0.0);
        self.fact(Fact::Asked { request, harmful, window, deadline });
        let tenant = TenantId(0);
        self.tell(
            sidecar,
            Event::RequestArrived { request: RequestId(request), class: ClassId(class), tenant, time_left },
        );
    }

    fn deadline(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if std::mem::replace(&mut request.open, false) {
            let sidecar = request.sidecar;
            self.fact(Fact::Left { request: number });
            self.tell(sidecar, Event::ClientDisconnected(RequestId(number)));
            self.closed(number, Some(0.0), false);
        }
    }

    /// A request has its answer: served, refused with the wait that goes with it, or failed.
    fn closed(&mut self, number: u64, retry_after: Option<f64>, refused: bool) {
        let now = self.engine.now();
        let Some(request) = self.requests.get(&number) else { return };
        let (job_number, class) = (request.job, request.class);
        let kind = &self.day.class[class];
        let Some(job) = self.jobs.get_mut(&job_number) else { return };
        match retry_after {
            None => {
                let took = now - job.first_at;
                let (in_aim, zone) = (took <= nanos(kind.aim_ms), job.sidecar % self.day.network.zones);
                self.tally.served(class, zone, took, in_aim, job.first_at, job.counts);
                self.jobs.remove(&job_number);
            }
            Some(stay_away) => {
                self.tally.not_served(refused, job.counts);
                // What must not run twice is asked again only where that is said to be harmless.
                let may = refused || kind.effect.effect() == Effect::Idempotent;
                if may && job.tries <= self.day.clients.retries {
                    let mut rng = stream(self.seed, Actor::Client(job_number << 8 | u64::from(job.tries)));
                    let most = self.day.clients.backoff_ms * f64::from(1 << (job.tries - 1).min(20));
                    let wait = most * (0.5 + 0.5 * rng.rand_float());
                    let wait = if self.day.clients.heed { wait.max(stay_away) } else { wait };
                    self.tally.tried_again(job.counts);
                    self.engine.after(nanos(wait), Happens::Again(job_number));
                } else {
                    self.jobs.remove(&job_number);
                }
            }
        }
        self.forget(number);
    }

    fn forget(&mut self, number: u64) {
        let over = self.requests.get(&number).is_some_and(|request| !request.open && request.out == 0);
        if over {
            self.requests.remove(&number);
            self.judge.over(number);
        }
    }

    // --- Sidecars ----------------------------------------------------------------------------

    fn tell(&mut self, sidecar: usize, event: Event) {
        let now = millis(self.engine.now());
        let mut out = Vec::new();
        let wrong = Wrong { day: self.day, active: &self.active, struck: &self.struck };
        let eyes = Eyes { machines: &self.machines, works: &self.works, wrong };
        self.sidecars[sidecar].0.handle(now, event, &eyes, &mut out);
        for action in out {
            self.act(sidecar, action);
        }
    }

    fn act(&mut self, sidecar: usize, action: Action) {
        match action {
            Action::Send { request, upstream, timeout } => {
                self.send(request.0, sidecar, upstream.0 as usize, timeout)
            }
            Action::Cancel { request, attempt } => self.cancel(request.0, attempt.0),
            Action::Subscribe | Action::Log(_) => {}
            Action::Refuse { request, retry_after } => self.answer(request.0, Some(retry_after), true),
            Action::Fail(request) => self.answer(request.0, Some(0.0), false),
            Action::Probe(upstream) => {
                self.tally.probes += 1;
                let server = upstream.0 as usize;
                let way = self.way(sidecar, server);
                self.engine.after(way, Happens::Probe(sidecar, server));
            }
            Action::SetTimer { at, token } => self.engine.at(nanos(at), Happens::Woke(sidecar, token)),
        }
    }

    /// A final answer of a policy.
    fn answer(&mut self, number: u64, retry_after: Option<f64>, refused: bool) {
        self.fact(Fact::Answered { request: number, refused });
        let Some(request) = self.requests.get_mut(&number) else { return };
        if std::mem::replace(&mut request.open, false) {
            self.closed(number, retry_after, refused);
        }
    }

    fn way(&self, sidecar: usize, server: usize) -> Nanos {
        let near = sidecar % self.day.network.zones == self.machines[server].zone;
        nanos(if near { self.day.network.same_ms } else { self.day.network.cross_ms })
    }

    fn send(&mut self, request: u64, sidecar: usize, server: usize, timeout: f64) {
        self.next += 1;
        let (attempt, now) = (self.next, self.engine.now());
        self.fact(Fact::Sent { request, attempt, server, sidecar });
        let Some(held) = self.requests.get_mut(&request) else { return };
        let number = held.sends;
        (held.sends, held.out, held.last) = (held.sends + 1, held.out + 1, Some(attempt));
        self.tally.attempts += 1;
        let this = Attempt { request, number, sidecar, server, at: now, found: 0, told: false, there: true };
        self.attempts.insert(attempt, this);
        self.engine.after(nanos(timeout), Happens::Timeout(attempt));
        let across = sidecar % self.day.network.zones != self.machines[server].zone;
        let cut = |number: usize| self.active[number] && self.day.fault[number].kind == FaultKind::CutOff;
        if across && (0..self.active.len()).any(cut) {
            return self.leaves(attempt, nanos(CONNECT_MS), Outcome::Unreachable);
        }
        let way = self.way(sidecar, server);
        self.engine.after(way, Happens::Reaches(attempt));
    }

    /// An attempt is called off. Its server goes on with it.
    fn cancel(&mut self, request: u64, number: u32) {
        let this = self.requests.get(&request).and_then(|held| held.last);
        let out = |id: &u64| self.attempts.get(id).is_some_and(|a| a.number == number && !a.told);
        if let Some(attempt) = this.filter(out) {
            self.engine.after(0, Happens::Back(attempt, Outcome::Cancelled));
        }
    }

    /// The sidecar of an attempt hears how it ended, unless it has.
    fn back(&mut self, number: u64, outcome: Outcome) {
        let now = self.engine.now();
        let Some(attempt) = self.attempts.get_mut(&number).filter(|attempt| !attempt.told) else { return };
        attempt.told = true;
        let Attempt { request, number: which, sidecar, server, at, there, .. } = *attempt;
        self.fact(Fact::Ended { request, attempt: number });
        let mut client_answered = true;
        if let Some(held) = self.requests.get_mut(&request) {
            client_answered = !held.open;
            if outcome == Outcome::Ok && held.open {
                held.open = false;
                client_answered = true;
                self.fact(Fact::Answered { request, refused: false });
                self.closed(request, None, false);
            }
        }
        if !there {
            self.drop_attempt(number);
        }
        self.tell(
            sidecar,
            Event::AttemptFinished(FinishedAttempt {
                request: RequestId(request),
                attempt: AttemptNo(which),
                upstream: UpstreamId(server as u64),
                outcome,
                latency: millis(now - at),
                client_answered,
                report: None,
            }),
        );
    }

    // --- Servers -----------------------------------------------------------------------------

    fn strikes(&self, server: usize, class: usize, of: impl Fn(FaultKind) -> bool) -> bool {
        Wrong { day: self.day, active: &self.active, struck: &self.struck }.strikes(server, class, of)
    }

    /// An attempt reaches its server.
    fn reaches(&mut self, number: u64) {
        let now = self.engine.now();
        let Some(attempt) = self.attempts.get(&number) else { return };
        let (server, sidecar, request) = (attempt.server, attempt.sidecar, attempt.request);
        let way = self.way(sidecar, server);
        let held = self.requests.get(&request).map(|request| (request.class, request.job));
        // A request that is over is turned away unseen, as the platform has it.
        let job = held.and_then(|(class, job)| Some((class, self.jobs.get(&job)?.work)));
        let Some((class, work)) =
            job.filter(|_| self.machines[server].serving || self.machines[server].server.in_flight() > 0)
        else {
            return self.leaves(number, way, Outcome::Full);
        };
        if self.machines[server].started.is_some() {
            self.fact(Fact::Came { server, work });
            if self.judge.fell(server) {
                self.machines[server].fallen = true;
                self.pace(server);
            }
        }
        if self.strikes(server, class, |kind| kind == FaultKind::FastErrors) {
            let group = self.machines[server].zone;
            self.fact(Fact::Ran { request, server, group });
            return self.leaves(number, way, Outcome::Error);
        }
        let found = self.machines[server].server.in_flight();
        self.attempts.entry(number).and_modify(|attempt| attempt.found = found);
        if !self.machines[server].server.push(now, number, work) {
            return self.leaves(number, way, Outcome::Full);
        }
        self.tally.in_flight(self.machines[server].server.in_flight());
        self.next_work(server);
    }

    /// A server is done with an attempt.
    fn leaves(&mut self, number: u64, way: Nanos, outcome: Outcome) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        attempt.there = false;
        if attempt.told {
            self.drop_attempt(number);
        } else {
            self.engine.after(way, Happens::Back(number, outcome));
        }
    }

    /// Nobody holds an attempt any more.
    fn drop_attempt(&mut self, number: u64) {
        let Some(attempt) = self.attempts.remove(&number) else { return };
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.out -= 1;
        }
        self.forget(attempt.request);
    }

    fn next_work(&mut self, server: usize) {
        let machine = &mut self.machines[server];
        machine.turn += 1;
        if let Some(at) = machine.server.next_end() {
            self.engine.at(at, Happens::Work(server, machine.turn));
        }
    }

    fn work(&mut self, server: usize, turn: u64) {
        if self.machines[server].turn != turn {
            return;
        }
        let now = self.engine.now();
        while let Some(number) = self.machines[server].server.pop(now) {
            let Some(attempt) = self.attempts.get(&number) else { continue };
            let (request, sidecar, at, found) = (attempt.request, attempt.sidecar, attempt.at, attempt.found);
            let group = self.machines[server].zone;
            // Work that was given up runs to its end all the same.
            self.fact(Fact::Ran { request, server, group });
            let class = self.requests.get(&request).map_or(0, |request| request.class);
            let resets = self.strikes(server, class, |kind| kind == FaultKind::Resets);
            self.machines[server].server.answered(found, millis(now - at));
            let way = self.way(sidecar, server);
            self.leaves(number, way, if resets { Outcome::Reset } else { Outcome::Ok });
        }
        if self.hears_idle && self.machines[server].server.in_flight() == 0 {
            let count = self.sidecars.len();
            let sidecar = self.machines[server].rng.index(count);
            let way = self.way(sidecar, server);
            self.engine.after(way, Happens::Idle(sidecar, server));
        }
        self.next_work(server);
    }

    /// Sets how fast a server works, by all that bears on it.
    fn pace(&mut self, server: usize) {
        let (now, Cold { share, warm_up_ms, .. }) = (self.engine.now(), self.day.cold);
        let machine = &mut self.machines[server];
        let warmth = machine
            .started
            .map_or(1.0, |started| (share + (1.0 - share) * millis(now - started) / warm_up_ms).min(1.0));
        let works = machine.hangs == 0 && !machine.fallen;
        machine.server.set_factor(now, if works { warmth / machine.slow } else { 0.0 });
        self.next_work(server);
    }

    fn warms(&mut self, server: usize) {
        self.pace(server);
        let warm = self.machines[server]
            .started
            .is_none_or(|started| self.engine.now() >= started + nanos(self.day.cold.warm_up_ms));
        if warm {
            self.machines[server].started = None;
        } else {
            self.engine.after(nanos(WARMING_MS), Happens::Warms(server));
        }
    }

    // --- What goes wrong ---------------------------------------------------------------------

    fn fault(&mut self, number: usize, begins: bool) {
        let fault = &self.day.fault[number];
        self.active[number] = begins;
        if matches!(fault.kind, FaultKind::Rush(_)) {
            return;
        }
        if begins {
            let zone = |server: &usize| fault.zone.is_none_or(|zone| self.machines[*server].zone == zone);
            let serving = (0..self.machines.len()).filter(|server| self.machines[*server].serving);
            let those = struck(fault.part, serving.filter(zone).collect(), self.seed, number);
            self.struck[number] = those;
        }
        for server in self.struck[number].clone() {
            match (fault.kind, begins) {
                (FaultKind::Slow(times), true) => self.machines[server].slow *= times,
                (FaultKind::Slow(times), false) => self.machines[server].slow /= times,
                (FaultKind::Hang, true) => self.machines[server].hangs += 1,
                (FaultKind::Hang, false) => self.machines[server].hangs -= 1,
                (FaultKind::Replace, true) => self.leave(server),
                (FaultKind::Replace, false) => self.replace(server),
                (FaultKind::FastErrors | FaultKind::Resets | FaultKind::Rush(_) | FaultKind::CutOff, _) => {}
            }
            self.pace(server);
        }
    }

    /// Each sidecar hears of a server at a time of its own.
    fn spread_news(&mut self, server: usize) {
        for sidecar in 0..self.sidecars.len() {
            let late = self.machines[server].rng.rand_float() * self.day.network.news_ms;
            self.engine.after(nanos(late), Happens::News(sidecar, server));
        }
    }

    fn leave(&mut self, server: usize) {
        self.machines[server].serving = false;
        self.spread_news(server);
    }

    fn replace(&mut self, old: usize) {
        let (now, server) = (self.engine.now(), self.machines.len());
        let (shape, zone) = (self.machines[old].shape, self.machines[old].zone);
        let rng = stream(self.seed, Actor::Server(server as u64));
        let mut machine = World::machine(shape, zone, rng);
        machine.started = Some(now);
        // Its clock begins now.
        machine.server.set_factor(now, 1.0);
        self.machines.push(machine);
        self.fact(Fact::Started { server, capacity: shape.cores as f64 * shape.speed });
        self.warms(server);
        self.spread_news(server);
    }

    fn finish(mut self) -> Result {
        let zones = self.day.network.zones;
        let mut crossings = vec![Totals::default(); if self.day.crossing.is_some() { zones } else { 0 }];
        let mut plans_out = 0;
        for (number, (policy, _)) in self.sidecars.iter_mut().enumerate() {
            let Some((totals, out)) = policy.crossings() else { continue };
            crossings[number % zones].add(&totals);
            plans_out += out;
        }
        let worked = self.machines.iter().map(|machine| machine.server.worked).sum();
        let evenness: Vec<f64> = self
            .machines
            .iter()
            .map(|machine| machine.server.worked / (machine.shape.cores as f64 * machine.shape.speed))
            .collect();
        // What a server that has fallen over holds stays there; nobody waits for it.
        let open = self.requests.values().filter(|request| request.open).count();
        let untold = self.attempts.values().filter(|attempt| !attempt.told).count();
        let left = open + untold + plans_out + self.jobs.len();
        let outcome = self.tally.finish(
            self.day,
            self.judge,
            worked,
            &evenness,
            left,
            self.engine.played(),
            self.trace,
        );
        Result { crossings, ..outcome }
    }
}

/// What the servers of a day are like, each with its stream, which has drawn its speed.
pub fn shapes(day: &Day, seed: u64) -> Vec<(Shape, Rand64)> {
    let kinds = day.servers.iter().flat_map(|kind| std::iter::repeat_n(kind, kind.count));
    let shape = |(number, kind): (usize, &crate::day::Servers)| {
        let mut rng = stream(seed, Actor::Server(number as u64));
        let [least, most] = kind.speed;
        let shape = Shape {
            cores: kind.cores,
            speed: least + (most - least) * rng.rand_float(),
            bound: kind.bound_per_core * kind.cores,
            discipline: kind.discipline,
        };
        (shape, rng)
    };
    kinds.enumerate().map(shape).collect()
}

/// Whom of these the fault of this number strikes, in order: the same whatever the policy.
pub fn struck(part: f64, mut those: Vec<usize>, seed: u64, number: usize) -> Vec<usize> {
    let count = (those.len() as f64 * part).round() as usize;
    let mut rng = stream(seed ^ (number as u64) << 40, Actor::Faults);
    for at in 0..count.min(those.len()) {
        let other = at + rng.index(those.len() - at);
        those.swap(at, other);
    }
    those.truncate(count);
    those.sort_unstable();
    those
}

/// The settings of the sidecar of this number.
fn settings(day: &Day, number: usize) -> Settings {
    let zone = number % day.network.zones;
    let class = |class: &crate::day::Class| sagemast_decide::api::Class {
        aim: class.aim_ms,
        worth: class.worth,
        late_worth: 0.0,
        effect: class.effect.effect(),
    };
    let Cold { share, warm_up_ms, multiple, window_ms } = day.cold;
    Settings {
        classes: day.class.iter().map(class).collect(),
        tenants: Vec::new(),
        over_quota_worth: 1.0,
        zone: ZoneId(zone as u64),
        sidecars: day.clients.sidecars as u32,
        identity: Identity::Ranked { rank: number as u32, count: day.clients.sidecars as u32 },
        cross_zone_cost: 0.0,
        probe_cost: 0.0,
        attempt_cost: ATTEMPT_FEE,
        limits: Limits {
            max_attempts: day.network.max_attempts,
            allow_parallel_attempts: false,
            probes: day.network.probes,
            cancel: true,
            max_retry_after: 600.0,
            tick: 1.0,
        },
        slow_start: SlowStartLimits {
            initial_capacity_share: share,
            warm_up: warm_up_ms,
            overload_multiple: multiple,
            overload_window: window_ms,
        },
        discovery: Discovery::Pushed,
    }
}

/// A histogram of times in microseconds, up to a minute.
pub(crate) fn times() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!("the bounds are sound"))
}
