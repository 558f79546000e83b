//! When an attempt is abandoned: by evidence about its server compared with the other servers, never by a
//! multiple of the mean latency.
//!
//! A request of a heavy-tailed class may be long by itself, and would take as long on a second attempt.
//! Elapsed time alone therefore doesn't decide; the question is whether the server is working on the attempt
//! or is unresponsive. How likely a working server is to take this long follows from the answer times of the
//! class ([`LatencyHistogram`]). How likely an unresponsive server is follows from how often attempts met one
//! recently ([`UnresponsiveRate`]) and from what this server has done since the attempt was sent
//! ([`AttemptEvidence`]). Together they give the probability of an answer in the time that is left, on this
//! server and on another one.

/// Latencies are counted as multiples of the expected latency. The first bin ends at `FIRST_BIN_END`, and
/// each further bin ends `BIN_GROWTH` times as high.
const BIN_GROWTH: f64 = 1.25;
const FIRST_BIN_END: f64 = 0.25;
/// The last bin ends at about 250 times the expected latency.
const BIN_COUNT: usize = 32;
/// How many recent answers the histogram represents. Each new answer multiplies the weight of the earlier
/// ones by `1 - 1 / HISTORY_ANSWERS`.
const HISTORY_ANSWERS: f64 = 1_000.0;
/// Weight of the prior distribution, in answers. The prior has a heavy tail, so that no attempt is abandoned
/// early before short latencies have been observed.
const PRIOR_WEIGHT_ANSWERS: f64 = 10.0;
/// Bounds of the rate at which attempts are assumed to meet an unresponsive server. The lower one applies
/// while none was met recently.
const MIN_UNRESPONSIVE_RATE: f64 = 0.002;
const MAX_UNRESPONSIVE_RATE: f64 = 0.9;
/// Weight of a new attempt in the running rate of unresponsive servers.
const RATE_SMOOTHING: f64 = 0.02;
/// Weight of a new answer in the running slowdown over all servers.
const SLOWDOWN_SMOOTHING: f64 = 0.1;
/// Cap of a single answer's contribution to the slowdown.
const MAX_SLOWDOWN_SAMPLE: f64 = 20.0;
/// A server is suspect from this recent failure rate on.
const SUSPECT_FAILURE_RATE: f64 = 0.2;
/// A server is suspect if its other attempts have waited so long that at most this share of answers takes
/// longer.
const SUSPECT_TAIL_PROBABILITY: f64 = 0.1;
/// A server is suspect if it has answered nothing since the attempt was sent, for this multiple of the
/// latency to be expected at the present slowdown.
const SUSPECT_LATENCY_MULTIPLE: f64 = 12.0;
/// Factor on the prior if the server has answered another attempt since: the server is then unresponsive to
/// this attempt only, which is much rarer.
const ANSWERED_SINCE_FACTOR: f64 = 0.02;
/// Factor on the likelihood that a server is unresponsive if the server leaves a probe unanswered.
const PROBE_UNANSWERED_FACTOR: f64 = 10.0;
/// An attempt is overdue when less than this share of answers takes as long; its server is then probed.
const OVERDUE_TAIL_PROBABILITY: f64 = 0.05;

/// Distribution of the latencies of one class, as multiples of the expected latency.
#[derive(Debug, Clone)]
pub(crate) struct LatencyHistogram {
    bins: [f64; BIN_COUNT],
    total: f64,
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram { bins: [0.0; BIN_COUNT], total: 0.0 }
    }
}

/// The upper end of a bin, as a multiple of the expected latency.
fn bin_end(bin: usize) -> f64 {
    FIRST_BIN_END * BIN_GROWTH.powi(bin as i32)
}

/// The bin that counts latencies of this multiple.
fn bin_index(multiple: f64) -> usize {
    let steps = (multiple.max(FIRST_BIN_END) / FIRST_BIN_END).ln() / BIN_GROWTH.ln();
    (steps.ceil() as usize).min(BIN_COUNT - 1)
}

/// The share of answers that is assumed to take longer than this multiple before any was recorded.
fn prior_tail_probability(multiple: f64) -> f64 {
    (1.0 + multiple / 2.0).powi(-3)
}

impl LatencyHistogram {
    /// Records an answer that took this multiple of its expected latency.
    pub fn record_answer(&mut self, multiple: f64) {
        self.add(bin_index(multiple), 1.0);
    }

    fn add(&mut self, bin: usize, weight: f64) {
        let keep = 1.0 - weight / HISTORY_ANSWERS;
        self.bins.iter_mut().for_each(|count| *count *= keep);
        self.bins[bin] += weight;
        self.total = self.total * keep + weight;
    }

    /// Records an attempt that was abandoned at this multiple and would have been answered later with this
    /// probability. The probability is spread over the longer latencies in proportion to their present
    /// distribution.
    pub fn record_abandoned(&mut self, multiple: f64, answer_probability: f64) {
        let tail = self.tail_probability(multiple);
        let first_bin = bin_index(multiple);
        for bin in first_bin..BIN_COUNT {
            let above = if bin + 1 < BIN_COUNT { self.tail_probability(bin_end(bin)) } else { 0.0 };
            let below = if bin == first_bin { tail } else { self.tail_probability(bin_end(bin - 1)) };
            let weight = answer_probability * (below - above).max(0.0) / tail;
            self.bins[bin] += weight;
            self.total += weight;
        }
    }

    /// The share of answers that takes longer than this multiple of the expected latency. Never 0.
    pub fn tail_probability(&self, multiple: f64) -> f64 {
        let bin = bin_index(multiple);
        let above: f64 = self.bins[bin + 1..].iter().sum();
        let bin_start = if bin == 0 { 0.0 } else { bin_end(bin - 1) };
        let share_of_bin = ((bin_end(bin) - multiple) / (bin_end(bin) - bin_start)).clamp(0.0, 1.0);
        let counted = above + share_of_bin * self.bins[bin];
        (counted + PRIOR_WEIGHT_ANSWERS * prior_tail_probability(multiple))
            / (self.total + PRIOR_WEIGHT_ANSWERS)
    }

    /// The multiple of the expected latency from which on an attempt is overdue.
    pub fn overdue_multiple(&self) -> f64 {
        (0..BIN_COUNT)
            .map(bin_end)
            .find(|multiple| self.tail_probability(*multiple) < OVERDUE_TAIL_PROBABILITY)
            .unwrap_or(f64::INFINITY)
    }
}

/// How often attempts recently met an unresponsive server, over all servers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnresponsiveRate {
    rate: f64,
    /// How many times the expected latency answers take. Under overload this rises for all servers, and is no
    /// evidence against any one of them.
    slowdown: f64,
}

impl Default for UnresponsiveRate {
    fn default() -> UnresponsiveRate {
        UnresponsiveRate { rate: MIN_UNRESPONSIVE_RATE, slowdown: 1.0 }
    }
}

impl UnresponsiveRate {
    /// Records an attempt that has ended, on a server that was unresponsive with this probability.
    pub fn record_attempt(&mut self, unresponsive_probability: f64) {
        self.rate += RATE_SMOOTHING * (unresponsive_probability - self.rate);
    }

    /// Records that an answer took at least this multiple of its expected latency.
    pub fn record_latency(&mut self, multiple: f64) {
        self.slowdown += SLOWDOWN_SMOOTHING * (multiple.min(MAX_SLOWDOWN_SAMPLE) - self.slowdown);
    }

    /// How many times the expected latency answers take at present; at least 1.
    pub fn slowdown(&self) -> f64 {
        self.slowdown.max(1.0)
    }

    /// The probability that the next attempt meets an unresponsive server.
    pub fn rate(&self) -> f64 {
        self.rate.clamp(MIN_UNRESPONSIVE_RATE, MAX_UNRESPONSIVE_RATE)
    }
}

/// The evidence about an attempt in flight and its server, apart from the elapsed time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptEvidence {
    /// Expected latency in milliseconds, by the latest report of the server.
    pub expected: f64,
    /// Probability that a working server leaves its other attempts unanswered for as long as this server has:
    /// a product over as many attempts as the server works on at once, 1 if there are none.
    pub others_tail_probability: f64,
    /// How often attempts meet an unresponsive server, over all servers.
    pub unresponsive_rate: f64,
    /// Recent failure rate of this server.
    pub failure_rate: f64,
    /// How many times the expected latency answers take at present, over all servers.
    pub slowdown: f64,
    /// Whether the server has answered another attempt since this one was sent.
    pub answered_since: bool,
    /// Whether the server leaves a probe unanswered.
    pub probe_unanswered: bool,
}

impl AttemptEvidence {
    /// Whether there is evidence against the server after this elapsed time. Elapsed time alone counts only
    /// when it is extreme: an attempt abandoned for its elapsed time alone never shows whether an answer
    /// would have come.
    pub fn is_suspect(&self, elapsed: f64) -> bool {
        let is_long = elapsed >= SUSPECT_LATENCY_MULTIPLE * self.slowdown * self.expected;
        let has_other_evidence = self.probe_unanswered
            || self.failure_rate >= SUSPECT_FAILURE_RATE
            || self.others_tail_probability <= SUSPECT_TAIL_PROBABILITY;
        !self.answered_since && (has_other_evidence || is_long)
    }

    /// The probability that the server is unresponsive, given that the attempt is unanswered after this
    /// elapsed time.
    pub fn unresponsive_probability(&self, latencies: &LatencyHistogram, elapsed: f64) -> f64 {
        if !self.is_suspect(elapsed) {
            return 0.0;
        }
        let prior = (self.unresponsive_rate + self.failure_rate).min(MAX_UNRESPONSIVE_RATE);
        let prior = prior * if self.answered_since { ANSWERED_SINCE_FACTOR } else { 1.0 };
        let unresponsive = prior * if self.probe_unanswered { PROBE_UNANSWERED_FACTOR } else { 1.0 };
        let working = (1.0 - prior)
            * latencies.tail_probability(elapsed / self.expected / self.slowdown)
            * self.others_tail_probability;
        unresponsive / (unresponsive + working)
    }

    /// By how much a retry on another server, with the expected latency `expected_elsewhere`, raises the
    /// probability of an answer within `time_left`.
    pub fn retry_gain(
        &self,
        latencies: &LatencyHistogram,
        elapsed: f64,
        time_left: f64,
        expected_elsewhere: f64,
    ) -> f64 {
        if time_left <= 0.0 || !self.is_suspect(elapsed) {
            return 0.0;
        }
        let unresponsive = self.unresponsive_probability(latencies, elapsed);
        let tail = latencies.tail_probability(elapsed / self.expected);
        let answer_here = (1.0 - unresponsive)
            * (1.0 - latencies.tail_probability((elapsed + time_left) / self.expected) / tail);
        let answer_elsewhere = (1.0 - self.unresponsive_rate)
            * (1.0 - latencies.tail_probability(time_left / expected_elsewhere));
        // Work that is long by itself has to be repeated elsewhere from the start, for at least as long as it
        // has run here.
        let long_answer_elsewhere = if time_left / expected_elsewhere > elapsed / self.expected {
            1.0 - latencies.tail_probability(time_left / expected_elsewhere) / tail
        } else {
            0.0
        };
        unresponsive * answer_elsewhere + (1.0 - unresponsive) * long_answer_elsewhere.clamp(0.0, 1.0)
            - answer_here
    }

    /// The elapsed time at which the attempt is to be checked next: as soon as a retry gains more than `cost`
    /// if no further evidence arrives. An answer has no worth from the elapsed time `worthless_after` on.
    pub fn next_check(
        &self,
        latencies: &LatencyHistogram,
        elapsed: f64,
        worthless_after: f64,
        expected_elsewhere: f64,
        cost: f64,
    ) -> Option<f64> {
        let first = (elapsed * BIN_GROWTH).max(FIRST_BIN_END * self.expected);
        let times = std::iter::successors(Some(first), |at| Some(at * BIN_GROWTH)).take(BIN_COUNT);
        times
            .take_while(|at| *at < worthless_after)
            .find(|at| self.retry_gain(latencies, *at, worthless_after - *at, expected_elsewhere) > cost)
    }
}

#[cfg(test)]
mod tests {
    use oorandom::Rand64;

    use super::*;

    fn histogram_of(mut draw: impl FnMut(&mut Rand64) -> f64) -> LatencyHistogram {
        let (mut latencies, mut rng) = (LatencyHistogram::default(), Rand64::new(9));
        (0..5_000).for_each(|_| latencies.record_answer(draw(&mut rng)));
        latencies
    }

    fn exponential(rng: &mut Rand64) -> f64 {
        -(1.0 - rng.rand_float()).ln()
    }

    /// A Pareto-distributed value of shape 2.1 and mean 1.
    fn pareto(rng: &mut Rand64) -> f64 {
        1.1 / 2.1 * (1.0 - rng.rand_float()).powf(-1.0 / 2.1)
    }

    const NO_EVIDENCE: AttemptEvidence = AttemptEvidence {
        expected: 30.0,
        others_tail_probability: 1.0,
        unresponsive_rate: 0.0,
        failure_rate: 0.0,
        slowdown: 1.0,
        answered_since: false,
        probe_unanswered: false,
    };

    /// The multiple of the expected latency at which an attempt on a server with recent failures is first
    /// checked.
    fn first_check(latencies: &LatencyHistogram, unresponsive_rate: f64) -> Option<f64> {
        AttemptEvidence { unresponsive_rate, failure_rate: 0.2, ..NO_EVIDENCE }
            .next_check(latencies, 0.0, 250.0, 30.0, 0.1)
            .map(|at| at / 30.0)
    }

    #[test]
    fn tail_probability_follows_the_recorded_answers() {
        let latencies = histogram_of(exponential);
        for multiple in [0.5f64, 1.0, 2.0, 4.0] {
            let (estimated, exact) = (latencies.tail_probability(multiple), (-multiple).exp());
            assert!((estimated / exact - 1.0).abs() < 0.25, "{multiple}: {estimated} of {exact}");
        }
        assert!(LatencyHistogram::default().tail_probability(1e9) > 0.0, "the tail is never empty");
        assert!((latencies.tail_probability(0.0) - 1.0).abs() < 1e-9, "{}", latencies.tail_probability(0.0));
    }

    /// An attempt on a suspect server is checked earlier if latencies have a light tail or unresponsive
    /// servers are common.
    #[test]
    fn first_check_is_earlier_for_light_tails_and_frequent_unresponsive_servers() {
        let (light, heavy) = (histogram_of(exponential), histogram_of(pareto));
        let [often, rare] = [0.15, MIN_UNRESPONSIVE_RATE]
            .map(|rate| first_check(&light, rate).expect("the attempt is checked"));
        assert!(often <= rare && often < 4.0, "{often} and {rare}");
        let heavy_often = first_check(&heavy, 0.15).expect("the attempt is checked");
        assert!(heavy_often >= often && heavy_often < 8.0, "{heavy_often}");
    }

    /// Guards against a feedback loop: attempts abandoned for their elapsed time alone never show that an
    /// answer would have come, so that all servers seem unresponsive, under overload all at once.
    #[test]
    fn elapsed_time_alone_is_no_evidence_until_it_is_extreme() {
        let latencies = histogram_of(exponential);
        let time_only = AttemptEvidence { unresponsive_rate: MAX_UNRESPONSIVE_RATE, ..NO_EVIDENCE };
        assert_eq!(time_only.unresponsive_probability(&latencies, 11.0 * 30.0), 0.0);
        assert!(
            time_only.unresponsive_probability(&latencies, 13.0 * 30.0) > 0.9,
            "an extreme time is evidence"
        );
        assert_eq!(time_only.next_check(&latencies, 0.0, 250.0, 30.0, 0.1), None);
        let suspect = AttemptEvidence { probe_unanswered: true, ..time_only };
        assert!(suspect.unresponsive_probability(&latencies, 150.0) > 0.9);
        let overloaded =
            AttemptEvidence { slowdown: 10.0, unresponsive_rate: MIN_UNRESPONSIVE_RATE, ..suspect };
        assert!(
            overloaded.unresponsive_probability(&latencies, 150.0) < 0.1,
            "all answers take as long under overload"
        );
    }

    /// Guards against duplicate work under overload: queue lengths differ, and an attempt that leaves a
    /// longer queue for a shorter one leaves work behind that the first server still executes.
    #[test]
    fn longer_queue_alone_gives_no_retry_gain() {
        let latencies = histogram_of(exponential);
        let queued = AttemptEvidence { expected: 300.0, ..NO_EVIDENCE };
        let probe_unanswered = AttemptEvidence { probe_unanswered: true, ..queued };
        assert!(probe_unanswered.retry_gain(&latencies, 30.0, 250.0, 30.0) > 0.2);
        assert_eq!(queued.retry_gain(&latencies, 30.0, 250.0, 30.0), 0.0);
        assert_eq!(queued.next_check(&latencies, 0.0, 250.0, 30.0, 0.1), None);
    }

    #[test]
    fn each_kind_of_evidence_changes_the_unresponsive_probability() {
        let latencies = histogram_of(exponential);
        let base =
            AttemptEvidence { unresponsive_rate: 0.02, failure_rate: SUSPECT_FAILURE_RATE, ..NO_EVIDENCE };
        let probability = |evidence: AttemptEvidence| evidence.unresponsive_probability(&latencies, 60.0);
        assert!(probability(AttemptEvidence { answered_since: true, ..base }) < 0.2 * probability(base));
        assert!(probability(AttemptEvidence { probe_unanswered: true, ..base }) > probability(base));
        assert!(probability(AttemptEvidence { failure_rate: 0.6, ..base }) > probability(base));
        assert!(probability(AttemptEvidence { others_tail_probability: 0.05, ..base }) > probability(base));
        assert!(
            probability(AttemptEvidence { expected: 90.0, ..base }) < 0.7 * probability(base),
            "a queue explains the wait"
        );
        assert_eq!(
            probability(AttemptEvidence { failure_rate: 0.0, ..base }),
            0.0,
            "there is no other evidence"
        );
    }

    /// Guards against a feedback loop: if abandoned attempts were left out of the histogram, long answers
    /// would vanish from it, and every long attempt would seem lost.
    #[test]
    fn abandoned_attempts_keep_the_tail_of_the_histogram() {
        let (mut latencies, mut rng) = (LatencyHistogram::default(), Rand64::new(4));
        for _ in 0..20_000 {
            let multiple = pareto(&mut rng);
            if multiple < 3.0 {
                latencies.record_answer(multiple)
            } else {
                latencies.record_abandoned(3.0, 1.0)
            }
        }
        let (estimated, exact) = (latencies.tail_probability(3.0), (1.1 / 2.1 / 3.0f64).powf(2.1));
        assert!((estimated / exact - 1.0).abs() < 0.3, "{estimated} of {exact}");
        assert!(latencies.tail_probability(6.0) > 0.05 * exact, "some answers take twice as long");
    }
}
