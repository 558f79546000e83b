//! What may be spent on probes: a share of what requests earn. Where probes are cheap it binds nowhere; where many sidecars
//! with little traffic pay much for each, most requests go on what is known.

/// Of its worth each request pays this share in.
const SPEND: f64 = 0.01;
/// So many probes may be saved up at least, or what so many requests pay in.
const SAVED: f64 = 4.0;

/// What has been paid in and not spent, in probes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProbeBudget {
    earned: f64,
    most: f64,
    saved: f64,
}

impl ProbeBudget {
    /// One for probes that cost such a share of a mean request's worth. It starts half full: who knows nothing yet gains
    /// most by asking.
    pub fn new(fee: f64) -> ProbeBudget {
        let earned = if fee > 0.0 { SPEND / fee } else { f64::INFINITY };
        let most = SAVED * earned.max(1.0);
        ProbeBudget { earned, most, saved: most / 2.0 }
    }

    /// A request has come.
    pub fn record_arrival(&mut self) {
        self.saved = (self.saved + self.earned).min(self.most);
    }

    /// Whether so many probes can be paid.
    pub fn can_afford(&self, probes: f64) -> bool {
        self.saved >= probes
    }

    /// One is sent.
    pub fn spend(&mut self) {
        self.saved -= 1.0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Probes for so many requests that want two each.
    fn probes(fee: f64, requests: usize) -> usize {
        let mut purse = ProbeBudget::new(fee);
        let mut sent = 0;
        for _ in 0..requests {
            purse.record_arrival();
            for _ in 0..2 {
                if purse.can_afford(1.0) {
                    purse.spend();
                    sent += 1;
                }
            }
        }
        sent
    }

    #[test]
    fn cheap_probes_are_not_limited_and_dear_ones_cost_one_percent() {
        assert_eq!(probes(0.0, 1_000), 2_000);
        assert_eq!(probes(0.002, 1_000), 2_000);
        let dear = probes(0.08, 1_000) as f64 * 0.08 / 1_000.0;
        assert!((0.009..0.0105).contains(&dear), "{dear}");
        assert!(probes(1e9, 1_000) <= 4);
    }
}
