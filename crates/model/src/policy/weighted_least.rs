//! Weighted least request, as Envoy documents it ("Supported load balancers"): where weights are equal, two choices by
//! active requests; where they differ, at random by weight / (active requests + 1).

use oorandom::Rand64;
use sagemast_decide::api::UpstreamId;

use super::{Pick, Sight};

pub struct WeightedLeast;

impl Pick for WeightedLeast {
    fn pick(&mut self, sight: &Sight<'_>, rng: &mut Rand64) -> UpstreamId {
        let weight = |server: &UpstreamId| sight.weights.get(server).copied().unwrap_or(1.0);
        let first = weight(&sight.ready[0]);
        if sight.ready.iter().all(|server| weight(server) == first) {
            let [a, b] = sight.two(rng);
            return if sight.own(b) < sight.own(a) { b } else { a };
        }
        let dynamic = |server: &UpstreamId| weight(server) / (sight.own(*server) + 1.0);
        let mut left = rng.rand_float() * sight.ready.iter().map(dynamic).sum::<f64>();
        let drawn = sight.ready.iter().find(|server| {
            left -= dynamic(server);
            left <= 0.0
        });
        *drawn.unwrap_or(&sight.ready[0])
    }
}
