//! The budget for a discovery that falls silent: how long a watch waits for what, so that what it misses is asked anew
//! before it counts as told. Pure.

use std::time::Duration;

use sagemast_decide::staleness::CALL_TIMEOUT;

/// What a watch misses counts as told this long after it fell silent, whether or not it arrived.
pub const TOLD: Duration = Duration::from_secs(6);
/// While nothing changes an empty line comes every 2 s. After this long without one, or a whole list, a watch is dead. It
/// has to be a little longer than 2 s, and short enough that a second watch may fall silent as well.
const SILENCE: Duration = Duration::from_millis(2_500);
/// A service that all sidecars ask works through calls in turn and turns away those that waited for 2 s. The module spreads
/// its calls by the same figure.
const ASKED_CALL: Duration = Duration::from_millis(CALL_TIMEOUT as u64);
/// An agent on the sidecar's own machine answers at once. While discovery is down it says nothing, and what it gets at the
/// return counts as told at once: a call that hangs must end well within the grace that drains have.
const PUSHED_CALL: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(500)];
/// The waits between calls that fail, from the first to the last.
const BACK_OFF: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(200)];
/// Where one service is asked by all, watches that fell silent together are opened anew over this time, each at its own
/// place in it: long enough to spread them, and short enough that a call may take its time after it.
const SPREAD: Duration = Duration::from_millis(1_000);
/// The same for the calls after that, while the budget lasts.
const SPREAD_AGAIN: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(450)];
/// No wait is shorter, whatever the grace.
const LEAST_BACK_OFF: Duration = Duration::from_millis(10);
/// A new process waits this long, or a quarter of the shortest aim if that is less, for what the agent on its machine has:
/// that counts as told from its first moment on, while the list that it was started with may be old.
const FIRST: Duration = Duration::from_millis(100);

/// How long a watch waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTimeouts {
    /// For a sign of life: an empty line, or a whole list.
    pub silence: Duration,
    /// For a call to be answered, connecting included.
    pub call: Duration,
    /// Between calls that fail: at first, doubling up to the last.
    pub back_off: [Duration; 2],
}

impl WatchTimeouts {
    /// Where lists are pushed to an agent beside the sidecar, and nothing new may go to an upstream for longer than `grace`
    /// after a drain was told.
    pub fn local_agent(grace: Duration) -> WatchTimeouts {
        let [least, most] = PUSHED_CALL;
        let last = (grace / 10).clamp(LEAST_BACK_OFF, BACK_OFF[1]);
        WatchTimeouts {
            silence: SILENCE,
            call: (grace / 4).clamp(least, most),
            back_off: [BACK_OFF[0].min(last), last],
        }
    }

    /// Where one service is asked by all.
    pub fn shared_service() -> WatchTimeouts {
        WatchTimeouts { silence: SILENCE, call: ASKED_CALL, back_off: BACK_OFF }
    }
}

/// How long to wait before a silent watch is opened anew for the `tries`-th time (from 0), where its last sign of life is so
/// long past and this sidecar's place in the spread is `place` (0 to 1). `None` once the budget is used up: what was missed
/// counts as told, and the module asks as it always does.
pub fn again(since: Duration, tries: u32, place: f64) -> Option<Duration> {
    let wait = match tries {
        0 => SPREAD.mul_f64(place.clamp(0.0, 1.0)),
        _ => SPREAD_AGAIN[0] + (SPREAD_AGAIN[1] - SPREAD_AGAIN[0]).mul_f64(place.clamp(0.0, 1.0)),
    };
    (since + wait < TOLD).then_some(wait)
}

/// How long a new process waits for what the agent has before it takes requests, where the shortest aim is this.
pub fn startup_wait(shortest_aim: Duration) -> Duration {
    FIRST.min(shortest_aim / 4)
}

#[cfg(test)]
mod tests {
    use super::*;

    const GRACES: [u64; 5] = [0, 100, 500, 2_000, 60_000];

    #[test]
    fn two_watches_that_fall_silent_in_a_row_leave_time_for_a_third() {
        for grace in GRACES.map(Duration::from_millis) {
            let times = WatchTimeouts::local_agent(grace);
            let [first, last] = times.back_off;
            // The first falls silent; the second is answered at the last moment and then says nothing, either.
            let sum = times.silence + first * 2 + times.call + times.silence + last;
            assert!(sum < TOLD, "{grace:?}: {sum:?}");
            // Calls that hang instead: six at least.
            assert!(times.silence + (times.call + last) * 5 <= TOLD, "{grace:?}");
        }
        // Where all ask, the slowest call that is answered at all is answered in time, and failed ones are repeated.
        let times = WatchTimeouts::shared_service();
        for place in [0.0, 0.5, 1.0] {
            let first = again(times.silence, 0, place).expect("there is time");
            assert!(times.silence + first + times.call < TOLD);
            let (mut since, mut tries) = (times.silence, 0);
            while let Some(wait) = again(since, tries, place) {
                since += wait;
                assert!(since < TOLD);
                tries += 1;
            }
            assert!(tries >= 6, "{tries} calls that are turned away at once");
        }
    }

    #[test]
    fn what_an_agent_gets_at_the_return_of_discovery_is_asked_for_within_the_grace() {
        for grace in GRACES.into_iter().filter(|grace| *grace >= 250).map(Duration::from_millis) {
            let times = WatchTimeouts::local_agent(grace);
            assert!(times.call + times.back_off[1] < grace / 2, "{grace:?}: {times:?}");
        }
    }

    #[test]
    fn the_wait_of_a_new_process_is_short_beside_what_is_wanted_of_it() {
        assert_eq!(startup_wait(Duration::from_millis(60)), Duration::from_millis(15));
        assert_eq!(startup_wait(Duration::from_secs(30)), FIRST);
    }
}
