//! A day as a file has it: who asks for what, what serves it, what lies between, and what goes wrong.

use sagemast_decide::api::{Effect, KeyScope};
use serde::{Deserialize, Serialize};

use crate::server::Discipline;

/// A day. Times are in milliseconds unless a key says otherwise.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// How long clients come, in seconds.
    pub length_s: f64,
    /// What is asked in so many seconds at the start does not count: policies know nothing yet.
    #[serde(default)]
    pub warm_up_s: f64,
    /// The clients.
    pub clients: Clients,
    /// Classes of requests.
    pub class: Vec<Class>,
    /// Kinds of servers.
    pub servers: Vec<Servers>,
    /// What lies between.
    #[serde(default)]
    pub network: Network,
    /// What goes wrong.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// The rule about servers that have just started.
    #[serde(default)]
    pub cold: Cold,
    /// Budgets for what crosses zones, for the project's module.
    #[serde(default)]
    pub crossing: Option<Crossing>,
}

/// A budget for what crosses zones.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Crossing {
    /// The share of attempts that may; none is all, counted.
    #[serde(default)]
    pub share: Option<f64>,
    /// Whether it bends.
    #[serde(default = "yes")]
    pub bends: bool,
}

fn yes() -> bool {
    true
}

/// Who asks.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Sidecars; they stand in the zones in turn.
    pub sidecars: usize,
    /// First tries a second, of all together.
    pub rate: f64,
    /// Tries that a client adds by itself.
    #[serde(default)]
    pub retries: u32,
    /// The wait before them, doubled with each, and drawn from half of it to all.
    #[serde(default = "backoff")]
    pub backoff_ms: f64,
    /// Whether they stay away for as long as a refusal says.
    #[serde(default)]
    pub heed: bool,
    /// The share of the traffic that the first sidecar has, where it is not an equal one.
    #[serde(default)]
    pub first_share: Option<f64>,
    /// Bursts: for spans with this mean the rate is so many times as high.
    #[serde(default)]
    pub burst: Option<Burst>,
}

impl Clients {
    /// The part of the traffic that a sidecar has.
    pub fn part(&self, sidecar: usize) -> f64 {
        match self.first_share {
            Some(share) if sidecar == 0 => share,
            Some(share) => (1.0 - share) / (self.sidecars - 1).max(1) as f64,
            None => 1.0 / self.sidecars as f64,
        }
    }
}

fn backoff() -> f64 {
    50.0
}

/// A rate that is modulated by a chain of two states.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// How many times the rate.
    pub times: f64,
    /// Mean length of a burst, in seconds.
    pub on_s: f64,
    /// Mean time between two, in seconds.
    pub off_s: f64,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests, against the others'.
    #[serde(default = "one")]
    pub share: f64,
    /// Mean work, of one core of speed 1.
    pub work_ms: f64,
    /// How work is spread.
    #[serde(default)]
    pub spread: Spread,
    /// Answers within this time are worth something.
    pub aim_ms: f64,
    /// The client waits for so long.
    pub deadline_ms: f64,
    /// What an answer in time is worth.
    #[serde(default = "one")]
    pub worth: f64,
    /// What running it twice does.
    #[serde(default)]
    pub effect: EffectName,
}

fn one() -> f64 {
    1.0
}

/// How work is spread about its mean.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Spread {
    /// Exponentially.
    #[default]
    Exponential,
    /// Not at all.
    Constant,
    /// Log-normally, with this standard deviation over the mean.
    LogNormal(f64),
    /// Pareto, with this shape above 1.
    Pareto(f64),
    /// This share of the requests takes so many times the work of the others.
    Bimodal(f64, f64),
}

/// What running a request twice does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EffectName {
    /// No harm.
    #[default]
    Safe,
    /// No harm where its key is remembered: the servers of its zone, for two seconds.
    Keyed,
    /// Harm.
    Unsafe,
}

/// For so long repeats of a key are dropped.
pub const KEY_WINDOW_MS: f64 = 2_000.0;

impl EffectName {
    /// In the module's terms.
    pub fn effect(self) -> Effect {
        match self {
            EffectName::Safe => Effect::Idempotent,
            EffectName::Keyed => Effect::IdempotentByKey { scope: KeyScope::Zone, window: KEY_WINDOW_MS },
            EffectName::Unsafe => Effect::NonIdempotent,
        }
    }
}

/// Servers of one kind.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// How many; they stand in the zones in turn.
    pub count: usize,
    /// Cores of each.
    pub cores: usize,
    /// Speeds are drawn evenly from this range, each server's once.
    #[serde(default = "speeds")]
    pub speed: [f64; 2],
    /// Jobs that one holds at most for each core.
    #[serde(default = "bound")]
    pub bound_per_core: usize,
    /// How work is done.
    #[serde(default = "fifo")]
    pub discipline: Discipline,
}

fn speeds() -> [f64; 2] {
    [1.0, 1.0]
}

fn bound() -> usize {
    64
}

fn fifo() -> Discipline {
    Discipline::Fifo
}

/// What lies between clients, sidecars and servers.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Zones.
    pub zones: usize,
    /// One way within a zone.
    pub same_ms: f64,
    /// One way between two.
    pub cross_ms: f64,
    /// News of servers reach sidecars so much later, each at a time of its own up to this.
    pub news_ms: f64,
    /// Whether servers may be probed.
    pub probes: bool,
    /// Attempts of a request, at most.
    pub max_attempts: u32,
}

impl Default for Network {
    fn default() -> Network {
        Network { zones: 1, same_ms: 0.2, cross_ms: 0.6, news_ms: 1_000.0, probes: true, max_attempts: 4 }
    }
}

/// Something that goes wrong for a while.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// When it begins, in seconds.
    pub from_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// The share of the servers that it strikes.
    #[serde(default = "one")]
    pub part: f64,
    /// Only those of this zone.
    #[serde(default)]
    pub zone: Option<usize>,
    /// Only requests of this class, where it is about requests.
    #[serde(default)]
    pub class: Option<String>,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Work takes so many times as long.
    Slow(f64),
    /// Requests are taken and not worked on.
    Hang,
    /// Requests fail at once, unworked on, with an error that may have run.
    FastErrors,
    /// Requests fail after they have run.
    Resets,
    /// Servers leave, and new ones that are cold come in their place when it ends.
    Replace,
    /// So many times as many requests come.
    Rush(f64),
    /// No connection between two zones comes up.
    CutOff,
}

/// Servers that have just started.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cold {
    /// The share of its capacity that one starts with.
    pub share: f64,
    /// It has all of it after so long.
    pub warm_up_ms: f64,
    /// Sent more than so many times what it can do
    pub multiple: f64,
    /// in any window of this length, it falls over for good.
    pub window_ms: f64,
}

impl Default for Cold {
    fn default() -> Cold {
        Cold { share: 0.16, warm_up_ms: 21_000.0, multiple: 2.5, window_ms: 1_500.0 }
    }
}

/// So many sidecars, servers and classes at most: memory is bounded by them.
const MOST_SIDECARS: usize = 50_000;
const MOST_SERVERS: usize = 10_000;
const MOST_CLASSES: usize = 64;
/// Each sidecar of the module keeps about half a KiB of each server, and days are played side by side.
const MOST_PAIRS: usize = 2_000_000;
/// A longer day is a slip of the pen.
const LONGEST_S: f64 = 86_400.0;
/// So many first tries at most on a day.
const MOST_TRIES: f64 = 5e7;

impl Day {
    /// All that is wrong with it, as key and fault.
    pub fn faults(&self) -> Vec<(String, String)> {
        let mut faults = Vec::new();
        let mut within = |key: &str, value: f64, least: f64, most: f64| {
            if !(least..=most).contains(&value) {
                faults.push((key.to_owned(), format!("it is {value}; from {least} to {most} is allowed")));
            }
        };
        within("length_s", self.length_s, 0.001, LONGEST_S);
        within("warm_up_s", self.warm_up_s, 0.0, LONGEST_S);
        within("clients.sidecars", self.clients.sidecars as f64, 1.0, MOST_SIDECARS as f64);
        within("clients.rate", self.clients.rate, 1e-6, 1e7);
        within("length_s times clients.rate", self.length_s * self.clients.rate, 0.0, MOST_TRIES);
        within("clients.retries", f64::from(self.clients.retries), 0.0, 100.0);
        within("clients.backoff_ms", self.clients.backoff_ms, 0.0, 1e7);
        if let Some(share) = self.clients.first_share {
            within("clients.first_share", share, 1e-6, if self.clients.sidecars > 1 { 0.999 } else { 1.0 });
        }
        if let Some(burst) = &self.clients.burst {
            within("clients.burst.times", burst.times, 1.0, 1e4);
            within("clients.burst.on_s", burst.on_s, 0.001, LONGEST_S);
            within("clients.burst.off_s", burst.off_s, 0.001, LONGEST_S);
        }
        within("class", self.class.len() as f64, 1.0, MOST_CLASSES as f64);
        for (at, class) in self.class.iter().enumerate() {
            let key = |key: &str| format!("class[{at}].{key}");
            within(&key("share"), class.share, 0.0, 1e9);
            within(&key("work_ms"), class.work_ms, 1e-6, 1e7);
            within(&key("aim_ms"), class.aim_ms, 0.001, 1e7);
            within(&key("deadline_ms"), class.deadline_ms, class.aim_ms, 1e7);
            within(&key("worth"), class.worth, 0.0, 1e9);
            match class.spread {
                Spread::LogNormal(cv) => within(&key("spread"), cv, 0.001, 100.0),
                Spread::Pareto(shape) => within(&key("spread"), shape, 1.01, 100.0),
                Spread::Bimodal(share, times) => {
                    within(&key("spread"), share, 0.0, 1.0);
                    within(&key("spread"), times, 1.0, 1e6);
                }
                Spread::Exponential | Spread::Constant => {}
            }
        }
        within(
            "servers",
            self.servers.iter().map(|kind| kind.count).sum::<usize>() as f64,
            1.0,
            MOST_SERVERS as f64,
        );
        let servers: usize = self.servers.iter().map(|kind| kind.count).sum();
        let pairs = servers.saturating_mul(self.clients.sidecars);
        within("servers times clients.sidecars", pairs as f64, 1.0, MOST_PAIRS as f64);
        for (at, kind) in self.servers.iter().enumerate() {
            let key = |key: &str| format!("servers[{at}].{key}");
            within(&key("cores"), kind.cores as f64, 1.0, 4_096.0);
            within(&key("bound_per_core"), kind.bound_per_core as f64, 1.0, 1e6);
            within(&key("speed"), kind.speed[0], 1e-3, 1e3);
            within(&key("speed"), kind.speed[1], kind.speed[0], 1e3);
        }
        let Network { zones, same_ms, cross_ms, news_ms, max_attempts, .. } = &self.network;
        within("network.zones", *zones as f64, 1.0, 64.0);
        within("network.same_ms", *same_ms, 0.0, 1e5);
        within("network.cross_ms", *cross_ms, 0.0, 1e5);
        within("network.news_ms", *news_ms, 0.0, 1e6);
        within("network.max_attempts", f64::from(*max_attempts), 1.0, 100.0);
        if let Some(share) = self.crossing.and_then(|crossing| crossing.share) {
            within("crossing.share", share, 0.0, 1.0);
        }
        within("cold.share", self.cold.share, 0.001, 1.0);
        within("cold.warm_up_ms", self.cold.warm_up_ms, 1.0, 1e7);
        within("cold.multiple", self.cold.multiple, 1.0, 1e3);
        within("cold.window_ms", self.cold.window_ms, 1.0, 1e6);
        for (at, fault) in self.fault.iter().enumerate() {
            let key = |key: &str| format!("fault[{at}].{key}");
            within(&key("from_s"), fault.from_s, 0.0, LONGEST_S);
            within(&key("for_s"), fault.for_s, 0.0, LONGEST_S);
            within(&key("part"), fault.part, 0.0, 1.0);
            if let FaultKind::Slow(times) | FaultKind::Rush(times) = fault.kind {
                within(&key("kind"), times, 1.0, 1e6);
            }
            if let Some(zone) = fault.zone {
                within(&key("zone"), zone as f64, 0.0, *zones as f64 - 1.0);
            }
        }
        for (at, fault) in self.fault.iter().enumerate() {
            let known = |name: &String| self.class.iter().any(|class| class.name == *name);
            if let Some(name) = fault.class.as_ref().filter(|name| !known(name)) {
                faults.push((format!("fault[{at}].class"), format!("no class is named {name:?}")));
            }
        }
        for (at, class) in self.class.iter().enumerate() {
            if self.class[..at].iter().any(|other| other.name == class.name) {
                faults.push((format!("class[{at}].name"), format!("two classes are named {:?}", class.name)));
            }
        }
        faults
    }
}
