//! A token bucket that may go into debt.

use sagemast_decide::api::Millis;

/// Tolerance for sums of shares such as 0.02, which differ from whole numbers by up to this much.
const ROUNDING: f64 = 1e-6;

/// Tokens that are earned at a rate or added one amount at a time, and spent one amount at a time. The bucket
/// never holds more than its burst and never owes more than that: after a long disturbance, the debt must not
/// block traffic for hours.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    level: f64,
    updated_at: Millis,
    tokens_per_ms: f64,
    burst: f64,
}

impl TokenBucket {
    /// An empty bucket, so that a restart grants no tokens.
    pub fn new(tokens_per_ms: f64, burst: f64, now: Millis) -> TokenBucket {
        TokenBucket { level: 0.0, updated_at: now, tokens_per_ms, burst }
    }

    /// The tokens in the bucket; negative for a debt.
    pub fn level(&self, now: Millis) -> f64 {
        (self.level + self.tokens_per_ms * (now - self.updated_at).max(0.0)).min(self.burst)
    }

    /// The most tokens that the bucket can hold or owe.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// The level as a share of the burst, from 0 to 1.
    pub fn fill_fraction(&self, now: Millis) -> f64 {
        if self.burst > 0.0 { (self.level(now) / self.burst).clamp(0.0, 1.0) } else { 0.0 }
    }

    /// Whether the bucket holds this many tokens, or is full if it cannot hold as many.
    pub fn has_tokens(&self, now: Millis, tokens: f64) -> bool {
        self.burst > 0.0 && self.level(now) + ROUNDING >= tokens.min(self.burst)
    }

    /// Adds tokens, or spends them where `tokens` is negative.
    pub fn add(&mut self, now: Millis, tokens: f64) {
        let level = self.level(now) + tokens;
        (self.level, self.updated_at) = (level.clamp(-self.burst, self.burst), now.max(self.updated_at));
    }

    /// Changes the rate and the burst. The level is kept, within the new burst.
    pub fn set_rate_and_burst(&mut self, now: Millis, tokens_per_ms: f64, burst: f64) {
        let level = self.level(now);
        (self.tokens_per_ms, self.burst) = (tokens_per_ms, burst);
        (self.level, self.updated_at) = (level.clamp(-burst, burst), now.max(self.updated_at));
    }
}
