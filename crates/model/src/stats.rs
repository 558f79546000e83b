//! Whether two policies can be told apart: differences on the same days, resampled.

use crate::streams::{Actor, Draw, stream};

/// So many resamples: the ends of a 95 % interval are then the 50th from either end.
const RESAMPLES: usize = 2_000;
/// Fewer pairs tell nothing about their spread.
pub const LEAST_PAIRS: usize = 3;

/// A mean with its 95 % interval.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interval {
    /// The mean.
    pub mean: f64,
    /// The lower end.
    pub low: f64,
    /// The upper end.
    pub high: f64,
}

/// What an interval of differences tells, where more is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The first is better.
    Better,
    /// It is worse.
    Worse,
    /// They cannot be told apart by these days.
    NotTold,
}

impl Interval {
    /// The mean of these, with its percentile bootstrap interval (Efron, Annals of Statistics 7(1), 1979). With fewer
    /// than [`LEAST_PAIRS`] it is as wide as can be.
    pub fn of(samples: &[f64], seed: u64) -> Interval {
        let mean = samples.iter().sum::<f64>() / samples.len().max(1) as f64;
        if samples.len() < LEAST_PAIRS {
            return Interval { mean, low: f64::NEG_INFINITY, high: f64::INFINITY };
        }
        let mut rng = stream(seed, Actor::Bootstrap);
        let mut means: Vec<f64> = (0..RESAMPLES)
            .map(|_| {
                let drawn = (0..samples.len()).map(|_| samples[rng.index(samples.len())]);
                drawn.sum::<f64>() / samples.len() as f64
            })
            .collect();
        means.sort_by(f64::total_cmp);
        Interval { mean, low: means[RESAMPLES / 40], high: means[RESAMPLES - 1 - RESAMPLES / 40] }
    }

    /// What it tells if it is one of differences.
    pub fn verdict(&self) -> Verdict {
        if self.low > 0.0 {
            Verdict::Better
        } else if self.high < 0.0 {
            Verdict::Worse
        } else {
            Verdict::NotTold
        }
    }

    /// Half its width.
    pub fn half(&self) -> f64 {
        (self.high - self.low) / 2.0
    }
}
