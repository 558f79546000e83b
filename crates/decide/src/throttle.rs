//! Adaptive throttling: refuses a share of the requests while few answers are in time.
//!
//! Servers that don't report their load, with a few requests in flight from each of many sidecars, look idle
//! to every sidecar while all together overload them: everything is accepted and no answer is in time. The
//! share of answers in time shows this. Requests are refused at random so that at most `MAX_SENT_PER_IN_TIME`
//! times as many are sent as were answered in time recently. While most answers are in time, all requests are
//! sent; while none is, a few still are, to detect the recovery. Used only where no server reports its load.
//! Times and random values are arguments.

use crate::api::Millis;

/// While a larger share of answers is late, fewer requests are sent than arrive. The longest acceptable wait
/// for a server is controlled by the same share.
pub(crate) const TARGET_LATE_SHARE: f64 = 0.15;
/// Requests that may be sent per answer in time.
const MAX_SENT_PER_IN_TIME: f64 = 1.0 / (1.0 - TARGET_LATE_SHARE);
/// Counts decay over this many aims. A late answer is noticed after one aim; an overload is over or
/// established after two.
const DECAY_AIMS: f64 = 2.0;
/// Added to the answers in time, so that a sidecar with hardly any requests refuses none.
const EXTRA_IN_TIME: f64 = 2.0;

/// Decaying counts of requests and of answers in time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Throttle {
    /// Requests that have ended or were refused here. Those in flight are not counted: they may yet be in
    /// time.
    requests: f64,
    in_time: f64,
    decayed_at: Millis,
}

impl Throttle {
    /// The probability with which a request with this aim is to be refused.
    pub fn refusal_probability(&mut self, now: Millis, aim: Millis) -> f64 {
        let keep = (-(now - self.decayed_at).max(0.0) / (DECAY_AIMS * aim.max(1.0))).exp();
        (self.requests, self.in_time, self.decayed_at) = (self.requests * keep, self.in_time * keep, now);
        let allowed = MAX_SENT_PER_IN_TIME * (self.in_time + EXTRA_IN_TIME);
        ((self.requests - allowed) / (self.requests + 1.0)).max(0.0)
    }

    /// Counts a request that was refused.
    pub fn record_refused(&mut self) {
        self.requests += 1.0;
    }

    /// Counts a request that was sent and has ended. Not to be called for requests that failed, were
    /// cancelled or never left: they don't show how loaded servers are.
    pub fn record_finished(&mut self, in_time: bool) {
        self.requests += 1.0;
        self.in_time += f64::from(u8::from(in_time));
    }
}

#[cfg(test)]
mod tests;
