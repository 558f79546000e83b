//! Peak EWMA with two choices, as Finagle documents it ("Clients: load balancing", Power of Two Choices + Peak EWMA):
//! the cost of a server is its latency, averaged over about 10 s and raised to a peak at once, times its outstanding
//! requests and one.

use oorandom::Rand64;
use rustc_hash::FxHashMap;
use sagemast_decide::api::{Millis, UpstreamId};

use super::{Pick, Sight};

/// Finagle's default decay time.
const DECAY_MS: f64 = 10_000.0;
/// A server with requests out and no latency known is dear.
const PENALTY: f64 = 1e9;

#[derive(Default)]
pub struct PeakEwma(FxHashMap<UpstreamId, (Millis, f64)>);

impl PeakEwma {
    fn cost(&self, sight: &Sight<'_>, server: UpstreamId) -> f64 {
        let own = sight.own(server);
        match self.0.get(&server) {
            Some((at, ewma)) => ewma * (-(sight.now - at) / DECAY_MS).exp() * (own + 1.0),
            None if own > 0.0 => PENALTY + own,
            None => 0.0,
        }
    }
}

impl Pick for PeakEwma {
    fn pick(&mut self, sight: &Sight<'_>, rng: &mut Rand64) -> UpstreamId {
        let [a, b] = sight.two(rng);
        if self.cost(sight, b) < self.cost(sight, a) { b } else { a }
    }

    fn ended(&mut self, now: Millis, server: UpstreamId, latency: Millis, _served: bool) {
        let (at, ewma) = self.0.entry(server).or_insert((now, latency));
        let weight = (-(now - *at) / DECAY_MS).exp();
        *ewma = if latency > *ewma { latency } else { *ewma * weight + latency * (1.0 - weight) };
        *at = now;
    }
}
