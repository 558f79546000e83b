//! Timeouts of a discovery watch. Together they ensure that changes which an unresponsive watch misses are
//! fetched again within [`STALENESS_BOUND`]. Pure.

use std::time::Duration;

use sagemast_decide::staleness::CALL_TIMEOUT;

/// A change that a watch misses counts as received this long after the watch became unresponsive, whether or
/// not it arrived.
pub const STALENESS_BOUND: Duration = Duration::from_secs(6);
/// A watch counts as unresponsive after this time without an empty line or a fully received list. While
/// nothing changes an empty line comes every 2 s, so the timeout must be a little longer than that, and short
/// enough that a second watch may become unresponsive within [`STALENESS_BOUND`].
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Call timeout for a discovery service that all sidecars share. The service handles calls in turn and
/// rejects those that have waited for 2 s. The decision module spreads its calls by the same figure.
const SHARED_SERVICE_CALL_TIMEOUT: Duration = Duration::from_millis(CALL_TIMEOUT as u64);
/// Minimum and maximum call timeout for an agent on the sidecar's own machine, which answers at once. While
/// discovery is down the agent does not respond, and changes that it gets when discovery returns count as
/// received at once. An unanswered call must therefore end well within the grace period of a drain.
const LOCAL_AGENT_CALL_TIMEOUT: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(500)];
/// Wait before a watch that received a list is reopened, and longest wait between failed calls.
const BACK_OFF: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(200)];
/// Sidecars that share a discovery service reopen unresponsive watches spread over this time, each at its own
/// position. It is long enough to spread the calls, and short enough to leave time for a slow call after it.
const REOPEN_SPREAD: Duration = Duration::from_millis(1_000);
/// Minimum and maximum wait before each further attempt to reopen the watch, within [`STALENESS_BOUND`].
const REOPEN_RETRY_WAIT: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(450)];
/// Lower limit of the longest wait between failed calls, however short the grace period of a drain is.
const MIN_BACK_OFF: Duration = Duration::from_millis(10);
/// Longest wait of a new process for the list of the agent on its machine; it waits a quarter of the shortest
/// aim if that is less. Changes that the agent has count as received from the start of the process, while its
/// initial list may be old.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(100);

/// Timeouts of a watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTimeouts {
    /// Longest time without an empty line or a fully received list.
    pub idle: Duration,
    /// Time for a call to be answered, connecting included.
    pub call: Duration,
    /// Wait before a watch that received a list is reopened, and longest wait between failed calls. Each wait
    /// after a failed call is twice the one before.
    pub back_off: [Duration; 2],
}

impl WatchTimeouts {
    /// Timeouts for lists that are pushed to an agent on the sidecar's machine. `drain_grace` is the time
    /// after the notice of a drain within which new requests may still be sent to the upstream.
    pub fn local_agent(drain_grace: Duration) -> WatchTimeouts {
        let [min_call, max_call] = LOCAL_AGENT_CALL_TIMEOUT;
        let longest_wait = (drain_grace / 10).clamp(MIN_BACK_OFF, BACK_OFF[1]);
        WatchTimeouts {
            idle: IDLE_TIMEOUT,
            call: (drain_grace / 4).clamp(min_call, max_call),
            back_off: [BACK_OFF[0].min(longest_wait), longest_wait],
        }
    }

    /// Timeouts for a discovery service that all sidecars share.
    pub fn shared_service() -> WatchTimeouts {
        WatchTimeouts { idle: IDLE_TIMEOUT, call: SHARED_SERVICE_CALL_TIMEOUT, back_off: BACK_OFF }
    }
}

/// How long to wait before an unresponsive watch is reopened. `unresponsive_for` is the time since the watch
/// last received a complete item, `retries` the number of failed attempts to reopen it, and `spread_position`
/// this sidecar's position in the spread, from 0 to 1. `None` once [`STALENESS_BOUND`] would be exceeded:
/// missed changes then count as received, and the decision module requests a new list as usual.
pub fn reopen_wait(unresponsive_for: Duration, retries: u32, spread_position: f64) -> Option<Duration> {
    let wait = match retries {
        0 => REOPEN_SPREAD.mul_f64(spread_position.clamp(0.0, 1.0)),
        _ => {
            let [min, max] = REOPEN_RETRY_WAIT;
            min + (max - min).mul_f64(spread_position.clamp(0.0, 1.0))
        }
    };
    (unresponsive_for + wait < STALENESS_BOUND).then_some(wait)
}

/// How long a new process waits for the agent's list before it accepts requests.
pub fn startup_wait(shortest_aim: Duration) -> Duration {
    MAX_STARTUP_WAIT.min(shortest_aim / 4)
}

#[cfg(test)]
mod tests {
    use super::*;

    const DRAIN_GRACES_MS: [u64; 5] = [0, 100, 500, 2_000, 60_000];

    #[test]
    fn two_unresponsive_watches_in_a_row_leave_time_for_a_third() {
        for drain_grace in DRAIN_GRACES_MS.map(Duration::from_millis) {
            let timeouts = WatchTimeouts::local_agent(drain_grace);
            let [first, longest] = timeouts.back_off;
            // The first watch becomes unresponsive; the second is answered at the last moment and is
            // unresponsive, too.
            let sum = timeouts.idle + first * 2 + timeouts.call + timeouts.idle + longest;
            assert!(sum < STALENESS_BOUND, "{drain_grace:?}: {sum:?}");
            // If the calls after the first watch get no answer instead, there is time for at least six.
            let five_calls = (timeouts.call + longest) * 5;
            assert!(timeouts.idle + five_calls <= STALENESS_BOUND, "{drain_grace:?}");
        }
        // A shared service leaves time for the slowest call that is answered at all, and for repeating failed
        // calls.
        let timeouts = WatchTimeouts::shared_service();
        for spread_position in [0.0, 0.5, 1.0] {
            let first = reopen_wait(timeouts.idle, 0, spread_position).expect("there is time");
            assert!(timeouts.idle + first + timeouts.call < STALENESS_BOUND);
            let (mut unresponsive_for, mut retries) = (timeouts.idle, 0);
            while let Some(wait) = reopen_wait(unresponsive_for, retries, spread_position) {
                unresponsive_for += wait;
                assert!(unresponsive_for < STALENESS_BOUND);
                retries += 1;
            }
            assert!(retries >= 6, "{retries} calls that are rejected at once");
        }
    }

    #[test]
    fn agent_is_called_again_within_half_the_drain_grace() {
        let graces_ms = DRAIN_GRACES_MS.into_iter().filter(|grace_ms| *grace_ms >= 250);
        for drain_grace in graces_ms.map(Duration::from_millis) {
            let timeouts = WatchTimeouts::local_agent(drain_grace);
            assert!(timeouts.call + timeouts.back_off[1] < drain_grace / 2, "{drain_grace:?}: {timeouts:?}");
        }
    }

    #[test]
    fn startup_wait_is_short_compared_with_the_shortest_aim() {
        assert_eq!(startup_wait(Duration::from_millis(60)), Duration::from_millis(15));
        assert_eq!(startup_wait(Duration::from_secs(30)), MAX_STARTUP_WAIT);
    }
}
