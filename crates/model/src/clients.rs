//! What the clients of one sidecar ask for: when, of which class, and how much work it is. The world plays it in
//! simulated time, and the rig the same against real processes.

use oorandom::Rand64;

use crate::day::{Day, FaultKind, Spread};
use crate::engine::{Nanos, nanos};
use crate::streams::{Actor, Draw, stream};

/// A client's first try.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Try {
    /// When.
    pub at: Nanos,
    /// Its class, by its place in the day.
    pub class: usize,
    /// Its work, in milliseconds of a core of speed 1.
    pub work_ms: f64,
}

/// The clients of a sidecar.
#[derive(Debug)]
pub struct Source {
    rng: Rand64,
}

impl Source {
    /// Those of the sidecar of this number.
    pub fn new(seed: u64, sidecar: usize) -> Source {
        Source { rng: stream(seed, Actor::Clients(sidecar as u64)) }
    }

    /// The time to the next try where so many come a second.
    pub fn gap(&mut self, per_second: f64) -> Nanos {
        nanos(self.rng.exponential(1e3 / per_second))
    }

    /// The class of a try and its work.
    pub fn draw(&mut self, day: &Day) -> (usize, f64) {
        let shares: f64 = day.class.iter().map(|class| class.share).sum();
        let mut drawn = self.rng.rand_float() * shares;
        let class = day.class.iter().position(|class| {
            drawn -= class.share;
            drawn <= 0.0
        });
        let class = class.unwrap_or(0);
        (class, work(day.class[class].spread, day.class[class].work_ms, &mut self.rng))
    }
}

/// How many times the rate of the day comes at a time, bursts apart.
pub fn rush(day: &Day, at: Nanos) -> f64 {
    let rushes = day.fault.iter().filter_map(|fault| match fault.kind {
        FaultKind::Rush(times) => {
            let (from, until) = (nanos(fault.from_s * 1e3), nanos((fault.from_s + fault.for_s) * 1e3));
            (from..until).contains(&at).then_some(times)
        }
        _ => None,
    });
    rushes.product()
}

/// All first tries at a sidecar on a day without bursts, as the world plays them.
pub fn first_tries(day: &Day, seed: u64, sidecar: usize) -> Vec<Try> {
    let mut source = Source::new(seed, sidecar);
    let rate = day.clients.rate / day.clients.sidecars as f64;
    let (end, mut tries) = (nanos(day.length_s * 1e3), Vec::new());
    let mut at = source.gap(rate);
    while at < end {
        let (class, work_ms) = source.draw(day);
        tries.push(Try { at, class, work_ms });
        at += source.gap(rate * rush(day, at));
    }
    tries
}

fn work(spread: Spread, mean: f64, rng: &mut Rand64) -> f64 {
    match spread {
        Spread::Exponential => rng.exponential(mean),
        Spread::Constant => mean,
        Spread::LogNormal(cv) => {
            let variance = (1.0 + cv * cv).ln();
            mean * (variance.sqrt() * rng.normal() - variance / 2.0).exp()
        }
        Spread::Pareto(shape) => {
            let least = mean * (shape - 1.0) / shape;
            least * (1.0 - rng.rand_float()).powf(-1.0 / shape)
        }
        Spread::Bimodal(share, times) => {
            let usual = mean / (1.0 - share + share * times);
            if rng.rand_float() < share { usual * times } else { usual }
        }
    }
}
