//! The times at which requests are to be checked, with one timer for all of them. A request that is answered
//! in time leaves no timer behind.

use std::collections::BTreeSet;

use crate::api::{Action, Millis, RequestId};
use crate::fleet::Microseconds;

/// The token of the timer. The timers of requests that wait for probes have smaller tokens, except for one
/// value in 2^62.
pub(crate) const TIMER_TOKEN: u64 = u64::MAX >> 1;

/// A timer may fire this much early, since its time is kept in whole microseconds.
const TIMER_ROUNDING: Millis = 0.002;

/// Requests by the time of their next check; at most one entry for each pending request.
#[derive(Debug, Default)]
pub(crate) struct CheckSchedule {
    due: BTreeSet<(Microseconds, RequestId)>,
    /// The time of the earliest timer in force.
    armed: Option<Microseconds>,
}

impl CheckSchedule {
    /// Moves the check of a request from one time to another. `None` stands for no check.
    pub fn reschedule(&mut self, request: RequestId, previous: Option<Millis>, next: Option<Millis>) {
        if let Some(previous) = previous {
            self.due.remove(&(Microseconds::from_millis(previous), request));
        }
        self.due.extend(next.map(|at| (Microseconds::from_millis(at), request)));
    }

    /// Records that the timer has fired.
    pub fn timer_fired(&mut self) {
        self.armed = None;
    }

    /// Removes and returns the next request whose check is due.
    pub fn pop_due(&mut self, now: Millis) -> Option<RequestId> {
        let entry =
            *self.due.first().filter(|(due, _)| *due <= Microseconds::from_millis(now + TIMER_ROUNDING))?;
        self.due.remove(&entry);
        Some(entry.1)
    }

    /// Sets a timer for the earliest check, unless one that fires no later is in force.
    pub fn arm_timer(&mut self, out: &mut Vec<Action>) {
        let Some((due, _)) = self.due.first().filter(|(due, _)| self.armed.is_none_or(|at| *due < at)) else {
            return;
        };
        self.armed = Some(*due);
        out.push(Action::SetTimer { at: due.to_millis(), token: TIMER_TOKEN });
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.due.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_timer_serves_all_requests_and_cancelled_checks_are_not_returned() {
        let (mut schedule, mut out) = (CheckSchedule::default(), Vec::new());
        for id in 1..=9 {
            schedule.reschedule(RequestId(id), None, Some(100.0 - id as f64));
            schedule.arm_timer(&mut out);
        }
        assert_eq!(out.len(), 9, "each check was due before all earlier ones");
        out.clear();
        schedule.reschedule(RequestId(9), Some(91.0), None);
        schedule.reschedule(RequestId(10), None, Some(99.5));
        schedule.arm_timer(&mut out);
        assert!(out.is_empty(), "the timer in force fires earlier");
        schedule.timer_fired();
        assert_eq!(
            (schedule.pop_due(91.0), schedule.pop_due(92.0), schedule.pop_due(92.0)),
            (None, Some(RequestId(8)), None)
        );
        schedule.arm_timer(&mut out);
        assert_eq!(out, [Action::SetTimer { at: 93.0, token: TIMER_TOKEN }]);
        assert_eq!(schedule.len(), 8);
    }
}
