//! The staleness bound: when discovery is called, and how long to wait between calls, so that a change is
//! taken in within the bound. The module has no clock and does no I/O.
//!
//! The bound is measured from the time at which discovery has a change and can be reached. In the worst case
//! the change comes right after a call has begun, that call fails at the last moment, and the next one is
//! answered at the last moment. The time that two such calls leave of the bound is the longest wait between
//! them. Calls that fail at once leave more time. After the first failure this time is used for one more
//! call, after further failures for longer waits, since a discovery that refuses calls may be overloaded.

use crate::api::Millis;

/// The longest duration of a call, including the connect. Discovery refuses calls after a wait of 2 s.
pub const CALL_TIMEOUT: Millis = 2_200.0;
/// Allowance for timers and for the transmission of an answer.
const DELIVERY_MARGIN: Millis = 100.0;
/// The jitter is at most this share of the bound, even where calls leave more time.
const MAX_JITTER_SHARE: f64 = 0.25;
/// The jitter is at least this share of the bound, even where calls leave less time: many sidecars lose their
/// watches together.
const MIN_JITTER_SHARE: f64 = 0.1;

/// The longest wait between two calls that both last for [`CALL_TIMEOUT`].
fn max_jitter(bound: Millis) -> Millis {
    (bound - 2.0 * CALL_TIMEOUT - DELIVERY_MARGIN).min(MAX_JITTER_SHARE * bound).max(MIN_JITTER_SHARE * bound)
}

/// The longest time from the start of a call that fails at once to the start of the next one.
fn max_interval(bound: Millis, failures: u32) -> Millis {
    let time_left = bound - CALL_TIMEOUT - DELIVERY_MARGIN;
    let interval = if failures <= 1 { time_left / 2.0 } else { time_left };
    interval.max(MAX_JITTER_SHARE * bound)
}

/// When discovery was last called, and whether another call is scheduled.
#[derive(Debug, Default)]
pub(crate) struct CallSchedule {
    last_call_at: Option<Millis>,
    is_scheduled: bool,
    /// Calls that have failed since the last answer.
    failures: u32,
}

impl CallSchedule {
    /// Records that a call was answered, or that a watch delivered an update.
    pub fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// The time of the next call, unless one is scheduled already. `random` is from 0 to 1 and spreads the
    /// call over the whole jitter: many sidecars may have restarted or been cut off together, and discovery
    /// handles calls one after another.
    pub fn schedule_call(&mut self, now: Millis, bound: Millis, random: f64) -> Option<Millis> {
        if std::mem::replace(&mut self.is_scheduled, true) {
            return None;
        }
        let jitter = max_jitter(bound);
        let min_interval = max_interval(bound, self.failures) - jitter;
        let earliest = self.last_call_at.map_or(now, |last_call_at| now.max(last_call_at + min_interval));
        Some(earliest + jitter * random)
    }

    /// Begins the scheduled call, if there is one, and returns whether there is. A call counts as failed
    /// until it is answered.
    pub fn begin_call(&mut self, now: Millis) -> bool {
        let is_due = std::mem::take(&mut self.is_scheduled);
        if is_due {
            self.last_call_at = Some(now);
            self.failures = self.failures.saturating_add(1);
        }
        is_due
    }
}
