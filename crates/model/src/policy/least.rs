//! The one with the fewest of this sidecar's own requests; ties at random.

use oorandom::Rand64;
use sagemast_decide::api::UpstreamId;

use super::{Pick, Sight};

pub struct Least;

impl Pick for Least {
    fn pick(&mut self, sight: &Sight<'_>, rng: &mut Rand64) -> UpstreamId {
        let least = sight.ready.iter().map(|one| sight.own(*one)).fold(f64::INFINITY, f64::min);
        let ties = || sight.ready.iter().filter(|one| sight.own(**one) <= least);
        let which = rng.rand_range(0..ties().count().max(1) as u64) as usize;
        ties().nth(which).copied().unwrap_or(sight.ready[0])
    }
}
