//! In turn, from a random first one.

use oorandom::Rand64;
use sagemast_decide::api::UpstreamId;

use super::{Pick, Sight};

#[derive(Default)]
pub struct RoundRobin(Option<usize>);

impl Pick for RoundRobin {
    fn pick(&mut self, sight: &Sight<'_>, rng: &mut Rand64) -> UpstreamId {
        let count = sight.ready.len();
        let next = self.0.unwrap_or_else(|| rng.rand_range(0..count as u64) as usize);
        self.0 = Some(next.wrapping_add(1));
        sight.ready[next % count]
    }
}
