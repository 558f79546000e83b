//! Whether an attempt may be written, checked before a connection is acquired and again before the first
//! write. The same check applies to an idle connection, a new one and the replacement for a stale one. Pure.
//!
//! | state | may be written | outcome |
//! | --- | --- | --- |
//! | the request is over, or the attempt was cancelled | no | not sent |
//! | the attempt has timed out, or has waited too long for its connection | no | unreachable |
//! | the upstream is gone, drains, or has restarted since | no | unreachable |
//! | otherwise | yes | |

use sagemast_decide::api::Outcome;

/// State of an attempt's upstream.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamState {
    /// Whether the upstream is still the process for which the attempt was decided. A new process may be
    /// warming up, and does not know the idempotency keys that the old one has received.
    pub same_incarnation: bool,
    /// Whether the upstream accepts new requests.
    pub is_serving: bool,
}

/// State of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptState {
    /// Whether its request is still open: the client waits and no other answer has ended it.
    pub request_open: bool,
    /// Whether the attempt was cancelled.
    pub cancelled: bool,
    /// Whether the attempt has timed out.
    pub timed_out: bool,
    /// Whether the attempt has waited for a connection for longer than the decision module allows for. The
    /// window of the idempotency key might end before the attempt arrives.
    pub connect_timed_out: bool,
    /// The attempt's upstream, unless it has been removed.
    pub upstream: Option<UpstreamState>,
}

/// Checks whether an attempt may be written.
///
/// # Errors
/// The outcome of an attempt that may not be written. Such an attempt has not run.
pub fn check(attempt: &AttemptState) -> Result<(), Outcome> {
    let available = attempt.upstream.is_some_and(|upstream| upstream.same_incarnation && upstream.is_serving);
    let wanted = attempt.request_open && !attempt.cancelled;
    match (wanted, attempt.timed_out || attempt.connect_timed_out, available) {
        (false, ..) => Err(Outcome::NotSent),
        (true, false, true) => Ok(()),
        (true, ..) => Err(Outcome::Unreachable),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn attempt_may_be_written_only_if_wanted_in_time_and_its_upstream_serves() {
        let mut writable_states = 0;
        for bits in 0u32..128 {
            let bit = |index: u32| bits >> index & 1 == 1;
            let upstream = bit(4).then(|| UpstreamState { same_incarnation: bit(5), is_serving: bit(6) });
            let attempt = AttemptState {
                request_open: bit(0),
                cancelled: bit(1),
                timed_out: bit(2),
                connect_timed_out: bit(3),
                upstream,
            };
            match check(&attempt) {
                Ok(()) => {
                    writable_states += 1;
                    assert!(
                        attempt.request_open
                            && !attempt.cancelled
                            && !attempt.timed_out
                            && !attempt.connect_timed_out
                    );
                    assert!(
                        upstream.is_some_and(|upstream| upstream.same_incarnation && upstream.is_serving)
                    );
                }
                // The end of an unwanted attempt must not count against its upstream.
                Err(outcome) if !attempt.request_open || attempt.cancelled => {
                    assert_eq!(outcome, Outcome::NotSent)
                }
                Err(outcome) => assert_eq!(outcome, Outcome::Unreachable),
            }
        }
        assert_eq!(writable_states, 1, "of 128 states");
    }
}
