//! Sees the true state of every server, takes the one that would answer first, and turns away what would be late even
//! there. No real one can.

use oorandom::Rand64;
use sagemast_decide::api::{Millis, UpstreamId};

use super::{Pick, Sight};

pub struct Oracle;

impl Pick for Oracle {
    fn refuses(&mut self, sight: &Sight<'_>, time_left: Millis) -> bool {
        !sight.ready.iter().any(|server| sight.truth.wait(*server, sight.class) <= time_left)
    }

    fn pick(&mut self, sight: &Sight<'_>, rng: &mut Rand64) -> UpstreamId {
        // From a random place on, so that ties do not all fall to the first.
        let count = sight.ready.len();
        let from = rng.rand_range(0..count as u64) as usize;
        let all = (0..count).map(|step| sight.ready[(from + step) % count]);
        let timed = all.map(|server| (sight.truth.wait(server, sight.class), server));
        let best = timed.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map_or(sight.ready[from], |(_, server)| server)
    }
}
