//! Adaptive throttling: how much of what comes is sent on at all while little of it is answered in time.
//!
//! Servers that tell nothing of their load, and of which each sidecar has a few requests out, look idle to each of many sidecars
//! while all together drown them: everything is accepted and nothing is in time. What shows is the share that is. A request is
//! turned away by chance so that no more is sent than `ALLOW` times what was answered in time of late. While most is in time
//! that is everything; when nothing is, a little still goes out to find out. Asked only where no server tells of its load. Pure:
//! time and luck are arguments.

use crate::api::Millis;

/// While more than this share comes late, less is sent than was asked for: the share that room for requests is steered by, too.
pub(crate) const TARGET_LATE_SHARE: f64 = 0.15;
/// So many times what was answered in time may be sent.
const ALLOW: f64 = 1.0 / (1.0 - TARGET_LATE_SHARE);
/// What counts fades over so many aims: what comes too late is known to after one, and a jam is over or there after two.
const SPAN: f64 = 2.0;
/// So many are taken for answered in time beside those that were: who sends hardly anything turns nobody away.
const GRACE: f64 = 2.0;

/// What was asked for and what was answered in time of late.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Throttle {
    /// Requests that have ended or were turned away here: what is still out may yet be in time.
    asked: f64,
    in_time: f64,
    at: Millis,
}

impl Throttle {
    /// The chance with which a request with this aim is to be turned away.
    pub fn refusal_probability(&mut self, now: Millis, aim: Millis) -> f64 {
        let keep = (-(now - self.at).max(0.0) / (SPAN * aim.max(1.0))).exp();
        (self.asked, self.in_time, self.at) = (self.asked * keep, self.in_time * keep, now);
        ((self.asked - ALLOW * (self.in_time + GRACE)) / (self.asked + 1.0)).max(0.0)
    }

    /// One was turned away.
    pub fn record_refused(&mut self) {
        self.asked += 1.0;
    }

    /// One that was sent has ended, in time or not. What failed, was called off or never left says nothing of how crowded servers
    /// are, and is not told.
    pub fn record_finished(&mut self, in_time: bool) {
        self.asked += 1.0;
        self.in_time += f64::from(u8::from(in_time));
    }
}

#[cfg(test)]
mod tests;
