//! Of two at random the one with fewer of this sidecar's own requests: M. Mitzenmacher, "The Power of Two Choices in
//! Randomized Load Balancing", IEEE TPDS 12(10), 2001, with local counts in place of queue lengths.

use oorandom::Rand64;
use sagemast_decide::api::UpstreamId;

use super::{Pick, Sight};

pub struct TwoChoices;

impl Pick for TwoChoices {
    fn pick(&mut self, sight: &Sight<'_>, rng: &mut Rand64) -> UpstreamId {
        let [a, b] = sight.two(rng);
        if sight.own(b) < sight.own(a) { b } else { a }
    }
}
