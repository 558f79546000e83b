//! Uniformly at random.

use oorandom::Rand64;
use sagemast_decide::api::UpstreamId;

use super::{Pick, Sight};

pub struct Random;

impl Pick for Random {
    fn pick(&mut self, sight: &Sight<'_>, rng: &mut Rand64) -> UpstreamId {
        sight.ready[rng.rand_range(0..sight.ready.len() as u64) as usize]
    }
}
