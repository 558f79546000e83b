//! What came of a day: counts while it is played, and figures at its end.

use hdrhistogram::Histogram;
use sagemast_pools::counts::Totals;
use serde::{Deserialize, Serialize};

use crate::day::Day;
use crate::engine::{Nanos, nanos};
use crate::judge::Judge;
use crate::world::times;

/// What came of a day under a policy.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// First tries that count, and of these the worth that was served in aim over the worth asked for.
    pub asked: u64,
    /// See `asked`.
    pub goodput: f64,
    /// The same by class, in the order of the day.
    pub by_class: Vec<f64>,
    /// The same by second from the start, of all first tries: asked, served in aim.
    pub by_second: Vec<[u64; 2]>,
    /// The same by the zone of the sidecar.
    pub by_zone: Vec<Vec<[u64; 2]>>,
    /// What crossed zones, by the zone of the sidecar, where the day has a plan for that.
    #[serde(default)]
    pub crossings: Vec<Totals>,
    /// Tries that were refused, that failed, and that clients added.
    pub refused: u64,
    /// See `refused`.
    pub failed: u64,
    /// See `refused`.
    pub tried_again: u64,
    /// Milliseconds to the answer, of first tries that were served: mean, and quantiles of 50, 90, 99 and 99.9 %.
    pub mean_ms: f64,
    /// See `mean_ms`.
    pub quantiles_ms: [f64; 4],
    /// Attempts, and probes.
    pub attempts: u64,
    /// See `attempts`.
    pub probes: u64,
    /// Work that servers did, in milliseconds of a core, and the share of it that served nobody.
    pub worked_ms: f64,
    /// See `worked_ms`.
    pub wasted: f64,
    /// The largest utilisation of any server over the mean.
    pub unevenness: f64,
    /// The most that any server held at once.
    pub most_in_flight: u64,
    /// The most that a cold server was sent, as a share of what it may be.
    pub worst_surge: f64,
    /// Broken rules: how many, and the first of each with their proofs.
    pub broken: u64,
    /// See `broken`.
    pub breaks: Vec<String>,
    /// Whatever was open at the end; it must be nothing.
    pub left: u64,
    /// Events that were played.
    pub events: u64,
    /// Each fact, where they are kept.
    #[serde(skip)]
    pub trace: Vec<String>,
}

/// The counts of a day that is being played.
#[derive(Debug)]
pub struct Tally {
    times: Histogram<u64>,
    took_ms: f64,
    classes: Vec<[u64; 2]>,
    by_zone: Vec<Vec<[u64; 2]>>,
    useful: f64,
    works: Vec<f64>,
    refused: u64,
    failed: u64,
    again: u64,
    most_in_flight: u64,
    /// Attempts so far.
    pub attempts: u64,
    /// Probes so far.
    pub probes: u64,
}

impl Tally {
    /// Nothing yet.
    pub fn new(day: &Day) -> Tally {
        Tally {
            times: times(),
            took_ms: 0.0,
            classes: vec![[0; 2]; day.class.len()],
            by_zone: vec![vec![[0; 2]; day.length_s.ceil() as usize + 1]; day.network.zones],
            useful: 0.0,
            works: day.class.iter().map(|class| class.work_ms).collect(),
            refused: 0,
            failed: 0,
            again: 0,
            most_in_flight: 0,
            attempts: 0,
            probes: 0,
        }
    }

    fn second(&mut self, zone: usize, at: Nanos) -> Option<&mut [u64; 2]> {
        self.by_zone.get_mut(zone)?.get_mut((at / nanos(1e3)) as usize)
    }

    /// A first try has come to a sidecar in this zone.
    pub fn asked(&mut self, class: usize, zone: usize, at: Nanos, counts: bool) {
        self.classes[class][0] += u64::from(counts);
        self.second(zone, at).into_iter().for_each(|second| second[0] += 1);
    }

    /// It was served after so long, in aim or not.
    pub fn served(
        &mut self,
        class: usize,
        zone: usize,
        took: Nanos,
        in_aim: bool,
        first_at: Nanos,
        counts: bool,
    ) {
        self.useful += self.works[class];
        if in_aim {
            self.classes[class][1] += u64::from(counts);
            self.second(zone, first_at).into_iter().for_each(|second| second[1] += 1);
        }
        if counts {
            self.times.saturating_record(took / 1_000);
            self.took_ms += took as f64 / 1e6;
        }
    }

    /// A try was not served.
    pub fn not_served(&mut self, refused: bool, counts: bool) {
        let count = if refused { &mut self.refused } else { &mut self.failed };
        *count += u64::from(counts);
    }

    /// A client tries again.
    pub fn tried_again(&mut self, counts: bool) {
        self.again += u64::from(counts);
    }

    /// A server holds so many.
    pub fn in_flight(&mut self, count: usize) {
        self.most_in_flight = self.most_in_flight.max(count as u64);
    }

    /// The figures.
    #[allow(clippy::too_many_arguments)] // each is another count of the world's, told once
    pub fn finish(
        self,
        day: &Day,
        judge: Judge,
        worked: f64,
        evenness: &[f64],
        left: usize,
        events: u64,
        trace: Option<Vec<String>>,
    ) -> Outcome {
        let worth = |place: usize| {
            let classes = self.classes.iter().zip(&day.class);
            classes.map(|(counts, class)| counts[place] as f64 * class.worth).sum::<f64>()
        };
        let share = |served: f64, asked: f64| if asked > 0.0 { served / asked } else { 1.0 };
        let mean = evenness.iter().sum::<f64>() / evenness.len().max(1) as f64;
        let most = evenness.iter().copied().fold(0.0, f64::max);
        let served = self.times.len();
        Outcome {
            asked: self.classes.iter().map(|[asked, _]| asked).sum(),
            goodput: share(worth(1), worth(0)),
            by_class: self
                .classes
                .iter()
                .map(|[asked, served]| share(*served as f64, *asked as f64))
                .collect(),
            by_second: sum(&self.by_zone),
            by_zone: self.by_zone,
            crossings: Vec::new(),
            refused: self.refused,
            failed: self.failed,
            tried_again: self.again,
            mean_ms: if served > 0 { self.took_ms / served as f64 } else { 0.0 },
            quantiles_ms: [0.5, 0.9, 0.99, 0.999].map(|at| self.times.value_at_quantile(at) as f64 / 1e3),
            attempts: self.attempts,
            probes: self.probes,
            worked_ms: worked,
            wasted: if worked > 0.0 { (1.0 - self.useful / worked).max(0.0) } else { 0.0 },
            unevenness: if mean > 0.0 { most / mean } else { 1.0 },
            most_in_flight: self.most_in_flight,
            worst_surge: judge.worst_surge(),
            broken: judge.counts().values().sum(),
            breaks: judge.breaks().iter().map(ToString::to_string).collect(),
            left: left as u64,
            events,
            trace: trace.unwrap_or_default(),
        }
    }
}

/// Over all zones.
fn sum(by_zone: &[Vec<[u64; 2]>]) -> Vec<[u64; 2]> {
    let length = by_zone.first().map_or(0, Vec::len);
    let at = |second: usize, place: usize| by_zone.iter().map(|zone| zone[second][place]).sum();
    (0..length).map(|second| [at(second, 0), at(second, 1)]).collect()
}

impl Outcome {
    /// The share of the first tries from a zone in a span of seconds that was served in aim.
    pub fn service(&self, zone: usize, seconds: std::ops::Range<usize>) -> f64 {
        let counts = self.by_zone.get(zone).into_iter().flatten();
        let within = counts.skip(seconds.start).take(seconds.len());
        let [asked, served] = within.fold([0, 0], |sum, [asked, served]| [sum[0] + asked, sum[1] + served]);
        served as f64 / asked.max(1) as f64
    }

    /// Shares of the attempts from a zone that crossed: for a budget, and by bends.
    pub fn crossed(&self, zone: usize) -> (f64, f64) {
        let Some(totals) = self.crossings.get(zone) else { return (0.0, 0.0) };
        let (all, crossed) = totals.attempts_and_crossings(None);
        let bent: u64 = totals.rows.iter().map(|row| row.exempted.total()).sum();
        let share = |count: u64| count as f64 / all.max(1) as f64;
        (share(crossed - bent), share(bent))
    }
}
