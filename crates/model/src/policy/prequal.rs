//! Prequal: B. Wydrowski, R. Kleinberg, S. Rumble, A. Archer, "Load is not what you should balance: Introducing
//! Prequal", NSDI 2024. Probes go out with requests and their answers wait in a pool; of those a server is hot if its
//! requests in flight are above a quantile of what was seen of late. If all are hot the one with the fewest wins, else
//! the cold one with the least latency.

use std::collections::VecDeque;

use oorandom::Rand64;
use sagemast_decide::api::{Millis, UpstreamId};

use super::{Pick, Sight, Word};

/// Probes a request, the size of the pool, the age at which an answer leaves it, and the quantile, as the paper's
/// testbed has them.
const PROBES: usize = 3;
const POOL: usize = 16;
const AGE_MS: f64 = 1_000.0;
const QUANTILE: f64 = 0.84;
/// How often an answer may be used, for about as many as come; and how many counts the quantile is taken of.
const USES: u32 = 2;
const SEEN: usize = 128;

struct Answer {
    at: Millis,
    server: UpstreamId,
    in_flight: f64,
    latency: f64,
    uses: u32,
}

#[derive(Default)]
pub struct Prequal {
    pool: VecDeque<Answer>,
    seen: VecDeque<f64>,
    /// Removes the worst and the oldest in turn.
    turn: bool,
}

impl Prequal {
    fn threshold(&self) -> f64 {
        let mut seen: Vec<f64> = self.seen.iter().copied().collect();
        seen.sort_by(f64::total_cmp);
        let at = (QUANTILE * seen.len() as f64) as usize;
        seen.get(at.min(seen.len().saturating_sub(1))).copied().unwrap_or(0.0)
    }

    /// The best of the pool, or the worst.
    fn ranked(&self, worst: bool) -> Option<usize> {
        let hot = self.threshold();
        // Cold before hot; cold by latency, hot by requests in flight.
        let rank = |answer: &Answer| match answer.in_flight > hot {
            true => (1, answer.in_flight),
            false => (0, answer.latency),
        };
        let order = |a: &usize, b: &usize| {
            let (a, b) = (rank(&self.pool[*a]), rank(&self.pool[*b]));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        };
        let places = 0..self.pool.len();
        if worst { places.max_by(order) } else { places.min_by(order) }
    }
}

impl Pick for Prequal {
    fn pick(&mut self, sight: &Sight<'_>, rng: &mut Rand64) -> UpstreamId {
        let listed = |server: &UpstreamId| sight.ready.binary_search(server).is_ok();
        self.pool.retain(|answer| sight.now - answer.at < AGE_MS && listed(&answer.server));
        // With fewer than two answers the paper falls back to chance.
        let best = if self.pool.len() < 2 { None } else { self.ranked(false) };
        let Some(at) = best else {
            return sight.ready[rng.rand_range(0..sight.ready.len() as u64) as usize];
        };
        let answer = &mut self.pool[at];
        let server = answer.server;
        // It has one more now.
        answer.in_flight += 1.0;
        answer.uses += 1;
        if answer.uses >= USES {
            self.pool.remove(at);
        }
        let goes = if self.turn { self.ranked(true) } else { (!self.pool.is_empty()).then_some(0) };
        self.turn = !self.turn;
        if let Some(at) = goes.filter(|_| self.pool.len() > POOL / 2) {
            self.pool.remove(at);
        }
        server
    }

    fn probes(&mut self, ready: &[UpstreamId], rng: &mut Rand64) -> Vec<UpstreamId> {
        (0..PROBES).map(|_| ready[rng.rand_range(0..ready.len() as u64) as usize]).collect()
    }

    fn told(&mut self, now: Millis, word: Word) {
        let Word::Probed(server, in_flight, latency) = word else { return };
        self.seen.push_back(in_flight);
        if self.seen.len() > SEEN {
            self.seen.pop_front();
        }
        self.pool.retain(|answer| answer.server != server);
        self.pool.push_back(Answer { at: now, server, in_flight, latency, uses: 0 });
        if self.pool.len() > POOL {
            self.pool.pop_front();
        }
    }
}
