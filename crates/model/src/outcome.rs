//! What came of a day: counts while it is played, and figures at its end.

use hdrhistogram::Histogram;
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
    by_second: Vec<[u64; 2]>,
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
            by_second: vec![[0; 2]; day.length_s.ceil() as usize + 1],
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

    fn second(&mut self, at: Nanos) -> Option<&mut [u64; 2]> {
        self.by_second.get_mut((at / nanos(1e3)) as usize)
    }

    /// A first try has come.
    pub fn asked(&mut self, class: usize, at: Nanos, counts: bool) {
        self.classes[class][0] += u64::from(counts);
        self.second(at).into_iter().for_each(|second| second[0] += 1);
    }

    /// It was served after so long, in aim or not.
    pub fn served(&mut self, class: usize, took: Nanos, in_aim: bool, first_at: Nanos, counts: bool) {
        self.useful += self.works[class];
        if in_aim {
            self.classes[class][1] += u64::from(counts);
            self.second(first_at).into_iter().for_each(|second| second[1] += 1);
        }
        if counts {
            self.times.saturating_record(took / 1_000);
            self.took_ms += took as f64 / 1e6;
        }
    }

    /// A try was not served.
    pub fn not_served(&mut self, _class: usize, refused: bool, counts: bool) {
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
            by_second: self.by_second,
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
