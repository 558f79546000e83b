//! Whether an attempt may be written, now that a connection for it is at hand or is to be got: one answer for an idle
//! connection, for one that has just come up and for the next one after a stale one. Pure.
//!
//! | what is known | it may be written | it ends as |
//! | --- | --- | --- |
//! | its request is over, or it was given up | no | not sent |
//! | its time is up, or it has waited longer for a connection than it may | no | could not connect |
//! | its upstream is gone, drains, or has started anew since | no | could not connect |
//! | else | yes | |

use sagemast_decide::api::Outcome;

/// What is known of its upstream.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamState {
    /// Whether it is still the process that the attempt was meant for: another may be cold, and knows no keys.
    pub same_life: bool,
    /// Whether it takes new work.
    pub serves: bool,
}

/// What is known of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptState {
    /// Whether its request is still open: its client waits and no other answer has ended it.
    pub open: bool,
    /// Whether it was given up.
    pub given_up: bool,
    /// Whether its own time is up.
    pub time_is_up: bool,
    /// Whether it has waited for a connection for longer than was counted on: a key's window might end before it arrives.
    pub too_late: bool,
    /// Its upstream, unless that is forgotten.
    pub upstream: Option<UpstreamState>,
}

/// Whether it may be written, and else how it ends. Either way it has not run.
///
/// # Errors
/// What the attempt ends as.
pub fn verdict(known: &AttemptState) -> Result<(), Outcome> {
    let wanted = known.upstream.is_some_and(|upstream| upstream.same_life && upstream.serves);
    match (known.open && !known.given_up, known.time_is_up || known.too_late, wanted) {
        (false, ..) => Err(Outcome::NotSent),
        (true, false, true) => Ok(()),
        (true, ..) => Err(Outcome::Unreachable),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_is_wanted_in_time_by_a_server_that_serves_is_written() {
        let mut written = 0;
        for bits in 0u32..128 {
            let bit = |place: u32| bits >> place & 1 == 1;
            let upstream = bit(4).then(|| UpstreamState { same_life: bit(5), serves: bit(6) });
            let known = AttemptState {
                open: bit(0),
                given_up: bit(1),
                time_is_up: bit(2),
                too_late: bit(3),
                upstream,
            };
            match verdict(&known) {
                Ok(()) => {
                    written += 1;
                    assert!(known.open && !known.given_up && !known.time_is_up && !known.too_late);
                    assert!(upstream.is_some_and(|upstream| upstream.same_life && upstream.serves));
                }
                // A request that is over tells nothing of its upstream.
                Err(outcome) if !known.open || known.given_up => assert_eq!(outcome, Outcome::NotSent),
                Err(outcome) => assert_eq!(outcome, Outcome::Unreachable),
            }
        }
        assert_eq!(written, 1, "of 128 states one");
    }
}
