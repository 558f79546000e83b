//! When an attempt is given up: by what is known of its server against the others, never by a multiple of the mean.
//!
//! Work with a heavy tail is long by itself, and as long the second time. So the question is not how long an attempt has
//! taken, but what it is waiting for: a server that is at work on it, or one that answers nobody. The first is told by how
//! long answers take ([`LatencyHistogram`], learnt by class), the second by how often servers went silent of late and by what this one has
//! or has not done since. From both follow the chance of an answer in the time that is left here, and elsewhere.

/// Answer times are counted as multiples of what was expected, in bins that grow by this factor from this multiple on.
const STEP: f64 = 1.25;
const FIRST: f64 = 0.25;
/// To a few hundred times.
const BINS: usize = 32;
/// So many answers are remembered: the count halves in about as many.
const REMEMBERED: f64 = 1_000.0;
/// What is assumed before anything is known weighs as much as so many answers. Its tail is heavy, so that nobody is impatient
/// who has not seen that answers are soon.
const ASSUMED: f64 = 10.0;
/// The share of attempts that meet a silent server where none was met of late, and the most that is ever assumed.
const RARELY: f64 = 0.002;
const MOSTLY: f64 = 0.9;
/// Weight of a new attempt in that share, and of a new answer in how much all of them take longer than expected of late.
const SMOOTH: f64 = 0.02;
const CROWD: f64 = 0.1;
/// One answer counts for no more there.
const MOST_CROWD: f64 = 20.0;
/// A server that failed in such a share of what it was sent of late is suspect, and so is one whose other requests wait for
/// longer than this share of answers takes.
const SUSPECT_FAILS: f64 = 0.2;
const SUSPECT_WAITS: f64 = 0.1;
/// And one that answers nobody while an answer takes so many times what answers take of late.
const SUSPECT_TIMES: f64 = 12.0;
/// A server that has answered somebody since is silent to this request only: so much rarer.
const ANSWERS: f64 = 0.02;
/// One that leaves even a probe unanswered is so much likelier to be silent.
const NO_PROBE: f64 = 10.0;
/// An attempt is overdue when fewer than this share take as long; then its server is asked.
const OVERDUE: f64 = 0.05;

/// How long answers of one class take, as multiples of what was expected.
#[derive(Debug, Clone)]
pub(crate) struct LatencyHistogram {
    bins: [f64; BINS],
    total: f64,
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram { bins: [0.0; BINS], total: 0.0 }
    }
}

/// The upper end of a bin.
fn end_of(bin: usize) -> f64 {
    FIRST * STEP.powi(bin as i32)
}

/// The bin of a multiple.
fn bin_of(times: f64) -> usize {
    let steps = (times.max(FIRST) / FIRST).ln() / STEP.ln();
    (steps.ceil() as usize).min(BINS - 1)
}

/// The share that takes longer than so many times what is expected, before anything is known.
fn assumed(times: f64) -> f64 {
    (1.0 + times / 2.0).powi(-3)
}

impl LatencyHistogram {
    /// An answer took so many times what was expected.
    pub fn record_answer(&mut self, times: f64) {
        self.add(bin_of(times), 1.0);
    }

    fn add(&mut self, bin: usize, weight: f64) {
        let keep = 1.0 - weight / REMEMBERED;
        self.bins.iter_mut().for_each(|count| *count *= keep);
        self.bins[bin] += weight;
        self.total = self.total * keep + weight;
    }

    /// An attempt was given up at so many times, where an answer would have come with such a chance: it would have been
    /// one of the longer ones, as these are spread.
    pub fn record_abandoned(&mut self, times: f64, chance: f64) {
        let beyond = self.tail_probability(times);
        let from = bin_of(times);
        for bin in from..BINS {
            let above = if bin + 1 < BINS { self.tail_probability(end_of(bin)) } else { 0.0 };
            let below = if bin == from { beyond } else { self.tail_probability(end_of(bin - 1)) };
            let share = chance * (below - above).max(0.0) / beyond;
            self.bins[bin] += share;
            self.total += share;
        }
    }

    /// The share of answers that take longer than so many times what is expected. Never 0.
    pub fn tail_probability(&self, times: f64) -> f64 {
        let bin = bin_of(times);
        let above: f64 = self.bins[bin + 1..].iter().sum();
        let start = if bin == 0 { 0.0 } else { end_of(bin - 1) };
        let within = ((end_of(bin) - times) / (end_of(bin) - start)).clamp(0.0, 1.0);
        let counted = above + within * self.bins[bin];
        (counted + ASSUMED * assumed(times)) / (self.total + ASSUMED)
    }

    /// The multiple at which an attempt is overdue.
    pub fn overdue_multiple(&self) -> f64 {
        (0..BINS).map(end_of).find(|times| self.tail_probability(*times) < OVERDUE).unwrap_or(f64::INFINITY)
    }
}

/// How often attempts met a server that was silent, of late and over all servers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnresponsiveRate {
    share: f64,
    /// How much longer answers take than expected: in a rush all do, and nobody is to blame.
    crowd: f64,
}

impl Default for UnresponsiveRate {
    fn default() -> UnresponsiveRate {
        UnresponsiveRate { share: RARELY, crowd: 1.0 }
    }
}

impl UnresponsiveRate {
    /// An attempt has ended, on a server that was silent with such a chance.
    pub fn record_attempt(&mut self, chance: f64) {
        self.share += SMOOTH * (chance - self.share);
    }

    /// An answer took so many times what was expected, or more than that.
    pub fn record_latency(&mut self, times: f64) {
        self.crowd += CROWD * (times.min(MOST_CROWD) - self.crowd);
    }

    /// How many times what is expected answers take of late.
    pub fn slowdown(&self) -> f64 {
        self.crowd.max(1.0)
    }

    /// For one more.
    pub fn rate(&self) -> f64 {
        self.share.clamp(RARELY, MOSTLY)
    }
}

/// What is known of an attempt that is out, beside how long it is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptEvidence {
    /// What was expected, as far as is known now.
    pub expected: f64,
    /// The share of answers that take longer than what others on the same server wait for, one for each request that it
    /// works on at once: 1 where none is.
    pub others_tail_probability: f64,
    /// How often servers are silent, and how often this one fails.
    pub unresponsive_rate: f64,
    pub failure_rate: f64,
    /// How many times what is expected answers take of late, wherever they come from.
    pub slowdown: f64,
    /// Whether it has answered anybody since, and whether it leaves a probe unanswered.
    pub answered_since: bool,
    pub probe_unanswered: bool,
}

impl AttemptEvidence {
    /// Whether anything speaks against its server when an attempt is out for so long. Its own time alone is hardly evidence,
    /// for who gives up by it never learns that an answer would have come.
    pub fn is_suspect(&self, out: f64) -> bool {
        let long = out >= SUSPECT_TIMES * self.slowdown * self.expected;
        let known = self.probe_unanswered
            || self.failure_rate >= SUSPECT_FAILS
            || self.others_tail_probability <= SUSPECT_WAITS;
        !self.answered_since && (known || long)
    }

    /// The chance that its server is silent, when an attempt is out for so long.
    pub fn unresponsive_probability(&self, law: &LatencyHistogram, out: f64) -> f64 {
        if !self.is_suspect(out) {
            return 0.0;
        }
        let prior = (self.unresponsive_rate + self.failure_rate).min(MOSTLY);
        let prior = prior * if self.answered_since { ANSWERS } else { 1.0 };
        let silent = prior * if self.probe_unanswered { NO_PROBE } else { 1.0 };
        let at_work = (1.0 - prior)
            * law.tail_probability(out / self.expected / self.slowdown)
            * self.others_tail_probability;
        silent / (silent + at_work)
    }

    /// How much likelier an answer in the time that is left is elsewhere, where it is expected after `elsewhere`, than here.
    pub fn retry_gain(&self, law: &LatencyHistogram, out: f64, left: f64, elsewhere: f64) -> f64 {
        if left <= 0.0 || !self.is_suspect(out) {
            return 0.0;
        }
        let silent = self.unresponsive_probability(law, out);
        let now = law.tail_probability(out / self.expected);
        let here = (1.0 - silent) * (1.0 - law.tail_probability((out + left) / self.expected) / now);
        let at_best = (1.0 - self.unresponsive_rate) * (1.0 - law.tail_probability(left / elsewhere));
        // One that is long by itself has as much before it elsewhere as it has behind it here.
        let again = if left / elsewhere > out / self.expected {
            1.0 - law.tail_probability(left / elsewhere) / now
        } else {
            0.0
        };
        silent * at_best + (1.0 - silent) * again.clamp(0.0, 1.0) - here
    }

    /// When an attempt that goes on for so long already is to be looked at: as soon as going elsewhere gains more than it
    /// costs, if nothing else is heard till then. `until` is when an answer is worth nothing any more.
    pub fn next_check(
        &self,
        law: &LatencyHistogram,
        out: f64,
        until: f64,
        elsewhere: f64,
        cost: f64,
    ) -> Option<f64> {
        let next = (out * STEP).max(FIRST * self.expected);
        let times = std::iter::successors(Some(next), |out| Some(out * STEP)).take(BINS);
        times.take_while(|at| *at < until).find(|at| self.retry_gain(law, *at, until - *at, elsewhere) > cost)
    }
}

#[cfg(test)]
mod tests {
    use oorandom::Rand64;

    use super::*;

    fn learnt(mut draw: impl FnMut(&mut Rand64) -> f64) -> LatencyHistogram {
        let (mut law, mut rng) = (LatencyHistogram::default(), Rand64::new(9));
        (0..5_000).for_each(|_| law.record_answer(draw(&mut rng)));
        law
    }

    fn exponential(rng: &mut Rand64) -> f64 {
        -(1.0 - rng.rand_float()).ln()
    }

    /// Shape 2.1, mean 1.
    fn pareto(rng: &mut Rand64) -> f64 {
        1.1 / 2.1 * (1.0 - rng.rand_float()).powf(-1.0 / 2.1)
    }

    const CALM: AttemptEvidence = AttemptEvidence {
        expected: 30.0,
        others_tail_probability: 1.0,
        unresponsive_rate: 0.0,
        failure_rate: 0.0,
        slowdown: 1.0,
        answered_since: false,
        probe_unanswered: false,
    };

    /// On a server that has failed before.
    fn first_look(law: &LatencyHistogram, silence: f64) -> Option<f64> {
        AttemptEvidence { unresponsive_rate: silence, failure_rate: 0.2, ..CALM }
            .next_check(law, 0.0, 250.0, 30.0, 0.1)
            .map(|at| at / 30.0)
    }

    #[test]
    fn a_law_tells_the_share_that_takes_longer() {
        let law = learnt(exponential);
        for times in [0.5f64, 1.0, 2.0, 4.0] {
            let (told, true_share) = (law.tail_probability(times), (-times).exp());
            assert!((told / true_share - 1.0).abs() < 0.25, "{times}: {told} of {true_share}");
        }
        assert!(LatencyHistogram::default().tail_probability(1e9) > 0.0, "nothing is impossible");
        assert!((law.tail_probability(0.0) - 1.0).abs() < 1e-9, "{}", law.tail_probability(0.0));
    }

    /// On a suspect server patience ends sooner under a light tail than under a heavy one, and where more servers hang.
    #[test]
    fn patience_follows_what_servers_and_answers_are_like() {
        let (light, heavy) = (learnt(exponential), learnt(pareto));
        let [often, rare] = [0.15, RARELY].map(|share| first_look(&light, share).expect("it is given up"));
        assert!(often <= rare && often < 4.0, "{often} and {rare}");
        let heavy_often = first_look(&heavy, 0.15).expect("it is given up");
        assert!(heavy_often >= often && heavy_often < 8.0, "{heavy_often}");
    }

    /// Guards against a trap: who gives up by its own time alone never learns that an answer would have come, takes all for
    /// silent, and in a rush does so everywhere.
    #[test]
    fn time_alone_is_no_evidence() {
        let law = learnt(exponential);
        let alone = AttemptEvidence { unresponsive_rate: MOSTLY, ..CALM };
        assert_eq!(alone.unresponsive_probability(&law, 11.0 * 30.0), 0.0);
        assert!(alone.unresponsive_probability(&law, 13.0 * 30.0) > 0.9, "nobody waits for ever");
        assert_eq!(alone.next_check(&law, 0.0, 250.0, 30.0, 0.1), None);
        let suspect = AttemptEvidence { probe_unanswered: true, ..alone };
        assert!(suspect.unresponsive_probability(&law, 150.0) > 0.9);
        let crowded = AttemptEvidence { slowdown: 10.0, unresponsive_rate: RARELY, ..suspect };
        assert!(crowded.unresponsive_probability(&law, 150.0) < 0.1, "all answers take as long");
    }

    /// Guards against work done twice in a rush: queues differ, and who runs from each longer one to a shorter one leaves
    /// work behind that servers go on with.
    #[test]
    fn a_longer_queue_is_no_reason_to_run() {
        let law = learnt(exponential);
        let behind = AttemptEvidence { expected: 300.0, ..CALM };
        assert!(
            AttemptEvidence { probe_unanswered: true, ..behind }.retry_gain(&law, 30.0, 250.0, 30.0) > 0.2
        );
        assert_eq!(behind.retry_gain(&law, 30.0, 250.0, 30.0), 0.0);
        assert_eq!(behind.next_check(&law, 0.0, 250.0, 30.0, 0.1), None);
    }

    #[test]
    fn each_piece_of_evidence_moves_the_chance_its_way() {
        let law = learnt(exponential);
        let plain = AttemptEvidence { unresponsive_rate: 0.02, failure_rate: SUSPECT_FAILS, ..CALM };
        let chance = |evidence: AttemptEvidence| evidence.unresponsive_probability(&law, 60.0);
        assert!(chance(AttemptEvidence { answered_since: true, ..plain }) < 0.2 * chance(plain));
        assert!(chance(AttemptEvidence { probe_unanswered: true, ..plain }) > chance(plain));
        assert!(chance(AttemptEvidence { failure_rate: 0.6, ..plain }) > chance(plain));
        assert!(chance(AttemptEvidence { others_tail_probability: 0.05, ..plain }) > chance(plain));
        assert!(
            chance(AttemptEvidence { expected: 90.0, ..plain }) < 0.7 * chance(plain),
            "a queue explains it"
        );
        assert_eq!(
            chance(AttemptEvidence { failure_rate: 0.0, ..plain }),
            0.0,
            "nothing else speaks against it"
        );
    }

    /// Guards against a circle: who gives long ones up sees none, and takes all long ones for lost.
    #[test]
    fn what_is_given_up_still_counts_as_long() {
        let (mut law, mut rng) = (LatencyHistogram::default(), Rand64::new(4));
        for _ in 0..20_000 {
            let times = pareto(&mut rng);
            if times < 3.0 { law.record_answer(times) } else { law.record_abandoned(3.0, 1.0) }
        }
        let (told, true_share) = (law.tail_probability(3.0), (1.1 / 2.1 / 3.0f64).powf(2.1));
        assert!((told / true_share - 1.0).abs() < 0.3, "{told} of {true_share}");
        assert!(law.tail_probability(6.0) > 0.05 * true_share, "and some of them take twice as long");
    }
}
