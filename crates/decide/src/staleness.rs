//! When discovery is asked, where it is asked: the staleness bound as a budget for calls and the waits between them. Owned by
//! the balancer. Pure.
//!
//! A change counts as told once the bound has passed since discovery had it and could be reached. In the worst case it comes
//! right after a call has begun; that call fails at the last moment, and the next one is answered at the last moment. What two
//! calls leave of the bound is the longest wait between them. Calls that fail at once leave time for one more: so that
//! discovery that refuses is not asked without rest, a call is followed by the next one no sooner than that allows.

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

/// How long after the beginning of a call that fails at once the next one may begin, so that one more may fail so.
fn max_interval(bound: Millis) -> Millis {
    ((bound - CALL_TIMEOUT - MARGIN) / 2.0).max(MAX_JITTER_SHARE * bound)
}

/// When discovery was asked and is to be asked.
#[derive(Debug, Default)]
pub(crate) struct CallSchedule {
    /// When the last call began.
    began: Option<Millis>,
    /// Whether one is to come.
    is_pending: bool,
}

impl CallSchedule {
    /// When to call next, unless that stands already. With `luck`, from 0 to 1, all of the jitter is drawn: many may have
    /// restarted or been cut off together, and discovery works through calls in turn.
    pub fn next_call(&mut self, now: Millis, bound: Millis, luck: f64) -> Option<Millis> {
        if std::mem::replace(&mut self.is_pending, true) {
            return None;
        }
        let jitter = max_jitter(bound);
        let earliest = self.began.map_or(now, |began| now.max(began + max_interval(bound) - jitter));
        Some(earliest + jitter * luck)
    }

    /// Whether a call is due; it begins now.
    pub fn begin_call(&mut self, now: Millis) -> bool {
        let is_due = std::mem::take(&mut self.is_pending);
        if is_due {
            self.began = Some(now);
        }
        is_due
    }
}
