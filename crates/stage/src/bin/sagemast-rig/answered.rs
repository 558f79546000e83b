//! Every accepted request gets one whole answer in time: 60 instances before upstreams in three zones that answer in all
//! framings and sizes and break off at every part, a zone that is lost and comes back, a daemon that hardly gets to run,
//! and clients that are slow to read.

mod client;

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use oorandom::Rand64;
use rustix::process::Signal;
use sagemast_sidecar::hosts::Health;
use sagemast_stage::answer_audit::Outcome;
use sagemast_stage::answer_plan::AnswerPlan;
use sagemast_stage::clients::Class;
use sagemast_stage::discovery::Discovery;
use sagemast_stage::fleet::FleetFile;
use sagemast_stage::procfs::usage;
use sagemast_stage::program::Daemon;
use sagemast_stage::scripted_upstream::{Registry, ScriptedUpstream, Zone};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use self::client::{AuditedClient, Book, Reading, Request};
use crate::report::Report;

const INSTANCES: usize = 60;
const ZONES: [&str; 3] = ["north", "south", "west"];
const UPSTREAMS_PER_ZONE: usize = 5;
/// Requests a second of each instance: of every kind, and short honest ones.
const MIXED_RATE: f64 = 4.0;
const HONEST_RATE: f64 = 1.0;
/// How long clients wait, in milliseconds: short and long side by side, up to the longest that the settings allow.
const TIMEOUTS_MS: [u64; 4] = [350, 900, 1_800, 3_000];
const HONEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Clients slow to read wait at least so long.
const SLOW_TIMEOUT_MS: u64 = 1_800;
/// Percent of the requests of every kind whose client is slow to read.
const SLOW_PERCENT: u64 = 10;
/// On a starved core the daemon is stopped and goes on in turns of this length: signals, no change of priorities or limits.
const STARVED_STOP: Duration = Duration::from_millis(90);
const STARVED_RUN: Duration = Duration::from_millis(10);
/// The rig looks this often whether it is held up itself.
const OWN_DELAY_EVERY: Duration = Duration::from_millis(10);
/// Descriptors and memory of an instance: its connections are not what is scarce here.
const LIMITS: &str = "sockets = 200\nmemory_mb = 32\n";

/// What happens meanwhile, in this order, in each round.
pub const PHASES: [&str; 4] = ["all up", "zone lost", "zone back", "starved"];
const ZONE_LOST: usize = 1;
const ZONE_BACK: usize = 2;
const STARVED: usize = 3;

/// The rounds, and how long each phase of one takes.
struct Schedule {
    rounds: usize,
    phases: [Duration; PHASES.len()],
}

impl Schedule {
    fn new(short: bool) -> Schedule {
        let (rounds, seconds) = if short { (1, [3, 5, 4, 4]) } else { (6, [8, 6, 8, 8]) };
        Schedule { rounds, phases: seconds.map(Duration::from_secs) }
    }

    /// When each phase begins, after the start, with its number.
    fn begins(&self) -> Vec<(Duration, usize)> {
        let mut at = Duration::ZERO;
        let mut begins = Vec::new();
        for _ in 0..self.rounds {
            for (phase, length) in self.phases.iter().enumerate() {
                begins.push((at, phase));
                at += *length;
            }
        }
        begins
    }

    fn length(&self) -> Duration {
        self.phases.iter().sum::<Duration>() * self.rounds as u32
    }
}

/// Draws what one instance's clients ask for.
struct Source {
    rng: Rand64,
    instance: usize,
    count: u64,
}

impl Source {
    /// The wait for the next of so many a second.
    fn gap(&mut self, per_second: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.rng.rand_float()).ln() / per_second)
    }

    fn id(&mut self) -> String {
        self.count += 1;
        format!("{:04x}{:012x}", self.instance, self.count)
    }

    fn mixed(&mut self, phase: usize) -> Request {
        let reading =
            if self.rng.rand_range(0..100) < SLOW_PERCENT { Reading::Slow } else { Reading::AtOnce };
        let drawn = TIMEOUTS_MS[self.rng.rand_range(0..TIMEOUTS_MS.len() as u64) as usize];
        let timeout_ms = if reading == Reading::Slow { drawn.max(SLOW_TIMEOUT_MS) } else { drawn };
        let timeout = Duration::from_millis(timeout_ms);
        let class = Class::drawn(&mut self.rng);
        let plan = AnswerPlan::draw(&mut self.rng, timeout);
        Request { id: self.id(), class, plan, timeout, reading, phase, is_honest: false }
    }

    fn honest(&mut self, phase: usize) -> Request {
        Request {
            id: self.id(),
            class: Class::Fetch,
            plan: AnswerPlan::plain(1_000),
            timeout: HONEST_TIMEOUT,
            reading: Reading::AtOnce,
            phase,
            is_honest: true,
        }
    }
}

/// Sends an instance its requests, whether or not answers come, until a time; then waits for the last answers.
async fn load(client: Arc<AuditedClient>, instance: usize, begun: Instant, schedule: Arc<Schedule>) {
    let mut source = Source { rng: Rand64::new(instance as u128 + 1), instance, count: 0 };
    let (begins, end) = (schedule.begins(), begun + schedule.length());
    let mut open = JoinSet::new();
    let mut at = begun;
    loop {
        at += source.gap(MIXED_RATE + HONEST_RATE);
        if at >= end {
            break;
        }
        sleep_until(at).await;
        while open.try_join_next().is_some() {}
        let phase = begins.iter().rfind(|(from, _)| begun + *from <= at).map_or(0, |(_, phase)| *phase);
        let is_honest = source.rng.rand_float() < HONEST_RATE / (MIXED_RATE + HONEST_RATE);
        let request = if is_honest { source.honest(phase) } else { source.mixed(phase) };
        let client = client.clone();
        open.spawn(async move { client.ask(request).await });
    }
    while open.join_next().await.is_some() {}
}

/// Stops the daemon and lets it go on in turns until a time; it goes on at the end.
async fn starve(daemon: &Daemon, until: Instant) {
    while Instant::now() < until {
        daemon.signal(Signal::STOP);
        sleep(STARVED_STOP).await;
        daemon.signal(Signal::CONT);
        sleep(STARVED_RUN).await;
    }
}

/// How long this process itself was held up at worst, in milliseconds: what a busy machine adds to what clients see.
#[derive(Default)]
struct OwnDelay(AtomicU64);

impl OwnDelay {
    async fn watch(self: Arc<OwnDelay>) {
        loop {
            let due = Instant::now() + OWN_DELAY_EVERY;
            sleep_until(due).await;
            self.0.fetch_max(due.elapsed().as_millis() as u64, Ordering::Relaxed);
        }
    }

    /// The worst since this was last asked.
    fn take(&self) -> f64 {
        self.0.swap(0, Ordering::Relaxed) as f64
    }
}

/// Upstreams in all zones.
struct Upstreams {
    registry: Arc<Registry>,
    zones: [Arc<Zone>; ZONES.len()],
    discovery: Discovery,
    _all: Vec<ScriptedUpstream>,
}

impl Upstreams {
    async fn start() -> std::io::Result<Upstreams> {
        let discovery = Discovery::start().await?;
        let registry = Arc::new(Registry::default());
        let zones = ZONES.map(|_| Arc::new(Zone::default()));
        let mut all = Vec::new();
        for (number, (name, zone)) in ZONES.iter().zip(&zones).enumerate() {
            for upstream in 0..UPSTREAMS_PER_ZONE {
                let started = ScriptedUpstream::start(registry.clone(), zone.clone()).await?;
                let host = format!("{name}-{upstream}");
                discovery.put_in(&host, started.address, Health::Ready, (name, number as u64));
                all.push(started);
            }
        }
        Ok(Upstreams { registry, zones, discovery, _all: all })
    }
}

/// The fleet: instances in all zones, in turn.
fn fleet(upstreams: &Upstreams) -> FleetFile {
    let folder = std::env::temp_dir().join(format!("sagemast-rig-{}-answered", std::process::id()));
    let mut file = FleetFile::new(&folder, upstreams.discovery.address).with_instances(INSTANCES);
    let longest = TIMEOUTS_MS[TIMEOUTS_MS.len() - 1];
    file.settings = file
        .settings
        .replace("peers_total = 1", &format!("peers_total = {INSTANCES}"))
        .replace(r#"azs = ["east"]"#, &format!("azs = {ZONES:?}"))
        .replace("hard_limit = 2000.0", &format!("hard_limit = {longest}.0"));
    for (number, (_, _, more)) in file.instances.iter_mut().enumerate() {
        *more = format!("{LIMITS}settings.zone = {}\nsettings.rank = {number}\n", number % ZONES.len());
    }
    file
}

/// What a phase cost.
#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    /// Cores that the daemon used, in the last round.
    cores: f64,
    /// How long the rig was held up, in milliseconds, at worst over all rounds.
    own_delay_ms: f64,
}

/// Plays the phases; what each cost.
async fn play(
    schedule: &Schedule,
    begun: Instant,
    upstreams: &Upstreams,
    daemon: &Daemon,
) -> [Cost; PHASES.len()] {
    let own_delay = Arc::new(OwnDelay::default());
    let watch = tokio::spawn(own_delay.clone().watch());
    let mut costs = [Cost::default(); PHASES.len()];
    for (number, (from, phase)) in schedule.begins().into_iter().enumerate() {
        let (begin, end) = (begun + from, begun + from + schedule.phases[phase]);
        sleep_until(begin).await;
        let used = usage(daemon.pid()).cpu;
        let zone = &upstreams.zones[number / PHASES.len() % ZONES.len()];
        match phase {
            ZONE_LOST => zone.set_lost(true),
            ZONE_BACK => zone.set_lost(false),
            STARVED => starve(daemon, end).await,
            _ => {}
        }
        sleep_until(end).await;
        let used = usage(daemon.pid()).cpu.saturating_sub(used);
        let cost = &mut costs[phase];
        cost.cores = used.as_secs_f64() / schedule.phases[phase].as_secs_f64();
        cost.own_delay_ms = cost.own_delay_ms.max(own_delay.take());
    }
    watch.abort();
    costs
}

pub async fn run(program: &Path, short: bool) -> Result<Report, String> {
    let schedule = Arc::new(Schedule::new(short));
    let upstreams = Upstreams::start().await.map_err(|error| error.to_string())?;
    let file = fleet(&upstreams);
    let daemon = tokio::task::block_in_place(|| {
        let daemon = Daemon::start(program, &file)?;
        daemon.settle()?;
        Ok::<_, String>(daemon)
    })?;
    let book = Arc::new(Mutex::new(Book::new()?));
    let begun = Instant::now();
    let (mut clients, mut loads) = (Vec::new(), JoinSet::new());
    for (number, instance) in daemon.instances()?.values().enumerate() {
        let address = instance.listen.parse().map_err(|_| format!("{instance:?} listens nowhere"))?;
        let client = Arc::new(AuditedClient::to(address, upstreams.registry.clone(), book.clone()));
        loads.spawn(load(client.clone(), number, begun, schedule.clone()));
        clients.push(client);
    }
    let costs = play(&schedule, begun, &upstreams, &daemon).await;
    while loads.join_next().await.is_some() {}
    drop(daemon);
    let _ = std::fs::remove_dir_all(&file.folder);
    let surplus = clients.iter().map(|client| client.surplus()).sum();
    let book = book.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(told(&book, surplus, costs))
}

fn told(book: &Book, surplus: u64, costs: [Cost; PHASES.len()]) -> Report {
    let audit = &book.audit;
    let count = |outcome| audit.count(outcome) as f64;
    let (torn, stalled) = (count(Outcome::Torn), count(Outcome::Stalled));
    let mut report = Report::new("answered");
    report.figure("instances", INSTANCES as f64);
    report.figure("not taken", book.not_taken as f64);
    report.figure("crossed a close and sent once more", book.crossed_close as f64);
    report.figure("taken", audit.taken() as f64);
    report.figure("whole", count(Outcome::Whole));
    report.figure("of these over 64 KiB and begun in time only", book.outlasting as f64);
    report.figure("whole up to 0.5 s late", count(Outcome::WorthlessWhole));
    report.figure("refused", count(Outcome::Refused));
    report.figure("failed in time", count(Outcome::Failed));
    report.figure("torn", torn);
    report.figure("over 64 KiB and still coming", count(Outcome::StillComing));
    report.figure("stalled", stalled);
    report.bound("late over 0.5 s or stalled", count(Outcome::Late) + stalled, 0.0);
    report.bound("cut off though its upstream gave it whole", count(Outcome::CutOff), 0.0);
    report.bound("unanswered", count(Outcome::Unanswered), 0.0);
    report.bound("torn or stalled and savable", audit.savable as f64, 0.0);
    report.figure("torn or stalled beyond saving", torn + stalled - audit.savable as f64);
    report.bound("not what an upstream made", count(Outcome::Wrong), 0.0);
    report.bound("bytes behind an answer", surplus as f64, 0.0);
    report.bound("none whole", f64::from(u8::from(count(Outcome::Whole) == 0.0)), 0.0);
    let phases = PHASES.iter().zip(&book.honest).zip(costs).zip(&book.breaches);
    for (((phase, (asked, times)), cost), breaches) in phases {
        report.figure(&format!("{phase}: honest whole"), times.len() as f64 / (*asked as f64));
        for (quantile, name) in [(0.5, "p50"), (0.99, "p99")] {
            let ms = times.value_at_quantile(quantile) as f64 / 1e3;
            report.figure(&format!("{phase}: honest {name} ms"), ms);
        }
        report.figure(&format!("{phase}: cores used"), cost.cores);
        report.figure(&format!("{phase}: rig held up ms"), cost.own_delay_ms);
        report.figure(&format!("{phase}: cases that break a bound"), *breaches as f64);
    }
    audit.explanations().into_iter().for_each(|line| report.note(line));
    book.shown.iter().for_each(|(_, case)| report.note(case.clone()));
    report
}
