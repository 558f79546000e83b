//! Budget for probes: a share of the worth of requests. Cheap probes are never limited by it. Where probes
//! are costly and many sidecars have little traffic each, most decisions are based on earlier reports.

/// The share of its worth that each request adds to the budget.
const SPEND_SHARE: f64 = 0.01;
/// Maximum savings: this number of probes, or the earnings of this number of requests if they are more.
const MAX_SAVED: f64 = 4.0;

/// The budget of one sidecar. All amounts are numbers of probes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProbeBudget {
    earned_per_request: f64,
    max_saved: f64,
    saved: f64,
}

impl ProbeBudget {
    /// A budget for probes of this cost, as a share of a mean request's worth. It starts half full, because a
    /// sidecar without any reports gains most from probes.
    pub fn new(probe_cost: f64) -> ProbeBudget {
        let earned_per_request = if probe_cost > 0.0 { SPEND_SHARE / probe_cost } else { f64::INFINITY };
        let max_saved = MAX_SAVED * earned_per_request.max(1.0);
        ProbeBudget { earned_per_request, max_saved, saved: max_saved / 2.0 }
    }

    /// Adds the earnings of an arriving request.
    pub fn record_arrival(&mut self) {
        self.saved = (self.saved + self.earned_per_request).min(self.max_saved);
    }

    pub fn can_afford(&self, probes: f64) -> bool {
        self.saved >= probes
    }

    /// Takes out the cost of one probe.
    pub fn spend(&mut self) {
        self.saved -= 1.0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The number of probes sent by requests that want two each.
    fn probes_sent(probe_cost: f64, requests: usize) -> usize {
        let mut budget = ProbeBudget::new(probe_cost);
        let mut sent = 0;
        for _ in 0..requests {
            budget.record_arrival();
            for _ in 0..2 {
                if budget.can_afford(1.0) {
                    budget.spend();
                    sent += 1;
                }
            }
        }
        sent
    }

    #[test]
    fn cheap_probes_are_not_limited_and_costly_ones_take_one_percent_of_the_worth() {
        assert_eq!(probes_sent(0.0, 1_000), 2_000);
        assert_eq!(probes_sent(0.002, 1_000), 2_000);
        let cost_per_request = probes_sent(0.08, 1_000) as f64 * 0.08 / 1_000.0;
        assert!((0.009..0.0105).contains(&cost_per_request), "{cost_per_request}");
        assert!(probes_sent(1e9, 1_000) <= 4);
    }
}
