//! A token bucket that may go into debt.

use sagemast_decide::api::Millis;

/// Sums of shares such as 0.02 come out this far from whole numbers.
const ROUNDING: f64 = 1e-6;

/// Tokens that are earned in time or by the piece and spent by the piece. It never holds more than its burst, and never
/// owes more: a long trouble must not close the border for hours after.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    level: f64,
    at: Millis,
    per_ms: f64,
    burst: f64,
}

impl TokenBucket {
    /// An empty one: a restart makes no tokens.
    pub fn new(per_ms: f64, burst: f64, now: Millis) -> TokenBucket {
        TokenBucket { level: 0.0, at: now, per_ms, burst }
    }

    /// What it holds; below 0 what it owes.
    pub fn level(&self, now: Millis) -> f64 {
        (self.level + self.per_ms * (now - self.at).max(0.0)).min(self.burst)
    }

    /// The most that it holds, and owes.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// How full it is, from 0 to 1.
    pub fn fill_fraction(&self, now: Millis) -> f64 {
        if self.burst > 0.0 { (self.level(now) / self.burst).clamp(0.0, 1.0) } else { 0.0 }
    }

    /// Whether it holds so much, or is full where that is more than it can.
    pub fn has_tokens(&self, now: Millis, tokens: f64) -> bool {
        self.burst > 0.0 && self.level(now) + ROUNDING >= tokens.min(self.burst)
    }

    /// Puts tokens in, or takes them out where they are negative.
    pub fn add(&mut self, now: Millis, tokens: f64) {
        let level = self.level(now) + tokens;
        (self.level, self.at) = (level.clamp(-self.burst, self.burst), now.max(self.at));
    }

    /// Changes how it is filled and what it holds at most. What it holds stays, within that.
    pub fn set_rate_and_burst(&mut self, now: Millis, per_ms: f64, burst: f64) {
        let level = self.level(now);
        (self.per_ms, self.burst) = (per_ms, burst);
        (self.level, self.at) = (level.clamp(-burst, burst), now.max(self.at));
    }
}
