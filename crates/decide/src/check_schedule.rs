//! Which requests are to be looked at when, with one timer for all of them: an answer in time leaves nothing behind.

use std::collections::BTreeSet;

use crate::api::{Action, Millis, RequestId};
use crate::fleet::Microseconds;

/// The token of its timer. Those of requests that wait for probes are smaller but for one in 2^62.
pub(crate) const TOKEN: u64 = u64::MAX >> 1;

/// A timer may go off so much before its time as it was told: times are kept in whole microseconds.
const ROUNDING: Millis = 0.002;

/// Requests by when they are due; one entry for each request that is held, at most.
#[derive(Debug, Default)]
pub(crate) struct CheckSchedule {
    due: BTreeSet<(Microseconds, RequestId)>,
    /// When the timer that is set goes off.
    armed: Option<Microseconds>,
}

impl CheckSchedule {
    /// Changes when a request is looked at.
    pub fn set(&mut self, request: RequestId, before: Option<Millis>, at: Option<Millis>) {
        if let Some(before) = before {
            self.due.remove(&(Microseconds::from_millis(before), request));
        }
        self.due.extend(at.map(|at| (Microseconds::from_millis(at), request)));
    }

    /// The timer has gone off.
    pub fn woke(&mut self) {
        self.armed = None;
    }

    /// One that is due.
    pub fn next(&mut self, now: Millis) -> Option<RequestId> {
        let due = *self.due.first().filter(|(due, _)| *due <= Microseconds::from_millis(now + ROUNDING))?;
        self.due.remove(&due);
        Some(due.1)
    }

    /// Has the timer set where none goes off in time.
    pub fn arm(&mut self, out: &mut Vec<Action>) {
        let Some((due, _)) = self.due.first().filter(|(due, _)| self.armed.is_none_or(|at| *due < at)) else {
            return;
        };
        self.armed = Some(*due);
        out.push(Action::SetTimer { at: due.to_millis(), token: TOKEN });
    }

    /// How many are watched.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.due.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_timer_serves_all_and_what_ended_is_not_looked_at() {
        let (mut watch, mut out) = (CheckSchedule::default(), Vec::new());
        for id in 1..=9 {
            watch.set(RequestId(id), None, Some(100.0 - id as f64));
            watch.arm(&mut out);
        }
        assert_eq!(out.len(), 9, "each was due before all others");
        out.clear();
        watch.set(RequestId(9), Some(91.0), None);
        watch.set(RequestId(10), None, Some(99.5));
        watch.arm(&mut out);
        assert!(out.is_empty(), "the timer that is set comes first");
        watch.woke();
        assert_eq!((watch.next(91.0), watch.next(92.0), watch.next(92.0)), (None, Some(RequestId(8)), None));
        watch.arm(&mut out);
        assert_eq!(out, [Action::SetTimer { at: 93.0, token: TOKEN }]);
        assert_eq!(watch.len(), 8);
    }
}
