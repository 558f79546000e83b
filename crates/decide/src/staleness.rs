//! When discovery is asked, where it is asked: the staleness bound as a budget for calls and the waits between them. Owned by
//! the balancer. Pure.
//!
//! A change counts as told once the bound has passed since discovery had it and could be reached. In the worst case it comes
//! right after a call has begun; that call fails at the last moment, and the next one is answered at the last moment. What two
//! calls leave of the bound is the longest wait between them. Calls that fail at once leave more: the first time it is used for
//! one more call, and from then on for asking less often, since discovery that refuses may be overloaded.

use crate::api::Millis;

/// The longest that a call takes, connecting included: discovery turns away calls that have waited for 2 s.
pub const CALL_TIMEOUT: Millis = 2_200.0;
/// What timers and the way of an answer take.
const MARGIN: Millis = 100.0;
/// The jitter is at most this share of the bound, where calls leave more,
const MAX_JITTER_SHARE: f64 = 0.25;
/// and at least this share, where they leave less: many sidecars lose their watches together.
const MIN_JITTER_SHARE: f64 = 0.1;

/// How long the wait between two calls may be that both take their whole time.
fn max_jitter(bound: Millis) -> Millis {
    (bound - 2.0 * CALL_TIMEOUT - MARGIN).min(MAX_JITTER_SHARE * bound).max(MIN_JITTER_SHARE * bound)
}

/// How long after the beginning of a call that fails at once the next one begins at the latest.
fn max_interval(bound: Millis, failures: u32) -> Millis {
    let left = bound - CALL_TIMEOUT - MARGIN;
    let interval = if failures <= 1 { left / 2.0 } else { left };
    interval.max(MAX_JITTER_SHARE * bound)
}

/// When discovery was asked and is to be asked.
#[derive(Debug, Default)]
pub(crate) struct CallSchedule {
    /// When the last call began.
    began: Option<Millis>,
    /// Whether one is to come.
    is_pending: bool,
    /// How many calls have failed since the last list.
    failures: u32,
}

impl CallSchedule {
    /// A call was answered, or a watch told something.
    pub fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// When to call next, unless that stands already. With `luck`, from 0 to 1, all of the jitter is drawn: many may have
    /// restarted or been cut off together, and discovery works through calls in turn.
    pub fn schedule_call(&mut self, now: Millis, bound: Millis, luck: f64) -> Option<Millis> {
        if std::mem::replace(&mut self.is_pending, true) {
            return None;
        }
        let jitter = max_jitter(bound);
        let rest = max_interval(bound, self.failures) - jitter;
        let earliest = self.began.map_or(now, |began| now.max(began + rest));
        Some(earliest + jitter * luck)
    }

    /// Whether a call is due; it begins now, and has failed until it is answered.
    pub fn begin_call(&mut self, now: Millis) -> bool {
        let is_due = std::mem::take(&mut self.is_pending);
        if is_due {
            self.began = Some(now);
            self.failures = self.failures.saturating_add(1);
        }
        is_due
    }
}
