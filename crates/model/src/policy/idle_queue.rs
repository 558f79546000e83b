//! Join-Idle-Queue: Y. Lu et al., "Join-Idle-Queue: A novel load balancing algorithm for dynamically scalable web
//! services", Performance Evaluation 68(11), 2011. A server that falls idle tells one dispatcher, drawn at random
//! (JIQ-Random); a request goes to the first idle one that the dispatcher knows of, and else to any at random.

use std::collections::VecDeque;

use oorandom::Rand64;
use sagemast_decide::api::{Millis, UpstreamId};

use super::{Pick, Sight, Word};

/// More are forgotten, the oldest first: no more servers than this are modelled.
const MOST: usize = 10_000;

#[derive(Default)]
pub struct IdleQueue(VecDeque<UpstreamId>);

impl Pick for IdleQueue {
    fn pick(&mut self, sight: &Sight<'_>, rng: &mut Rand64) -> UpstreamId {
        while let Some(idle) = self.0.pop_front() {
            if sight.ready.binary_search(&idle).is_ok() {
                return idle;
            }
        }
        sight.ready[rng.rand_range(0..sight.ready.len() as u64) as usize]
    }

    fn told(&mut self, _now: Millis, word: Word) {
        if let Word::Idle(server) = word {
            self.0.push_back(server);
            if self.0.len() > MOST {
                self.0.pop_front();
            }
        }
    }

    fn hears_idle(&self) -> bool {
        true
    }
}
