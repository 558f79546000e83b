//! How much a body may hold and how long it may take. Pure: times and counts are arguments.

use std::time::Duration;

use tokio::time::Instant;

/// Bodies up to this are held whole: checked before they go on, and fit to be sent again.
pub const WHOLE_BYTES: usize = 64 << 10;
/// Longer bodies are not carried, either way: the platform's are of 32 MB at most.
pub const MOST_BYTES: u64 = 32 << 20;
/// A head must be whole this long after its first byte, or after its connection began: honest clients take up to 2 s, and
/// one that never ends it is owed an end within 3 s.
pub const HEAD: Duration = Duration::from_millis(2_700);
/// A body must be whole this long after its head,
const BODY: Duration = Duration::from_millis(2_300);
/// and as long as its bytes take at this rate a second: half of what the slowest honest client sends.
pub const LEAST_RATE: u64 = 32 << 10;
/// A transfer under way in which nothing moves for this long has ended.
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// When a body that has come so far must be whole, or have brought more.
pub fn body_by(head_at: Instant, bytes: u64) -> Instant {
    head_at + BODY + Duration::from_micros(bytes.saturating_mul(1_000_000) / LEAST_RATE)
}

/// What to do with an answer's body, by its stated length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyHandling {
    /// It is read whole before any of it goes on.
    Whole,
    /// It goes on as it comes.
    Stream,
    /// Its length is not known: it is read until it is whole, too long to hold or too long on its way.
    Wait,
    /// It is longer than any is.
    TooLong,
}

/// The plan for an answer that states such a length, if it states one.
pub fn plan(length: Option<u64>) -> BodyHandling {
    match length {
        None => BodyHandling::Wait,
        Some(length) if length <= WHOLE_BYTES as u64 => BodyHandling::Whole,
        Some(length) if length <= MOST_BYTES => BodyHandling::Stream,
        Some(_) => BodyHandling::TooLong,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_slowest_honest_client_has_its_time_and_a_dribbler_does_not() {
        let start = Instant::now();
        let by_rate = |rate: u64| {
            // Looked at every 10 ms: when it is out, or has sent 4 MB.
            let mut ms = 0;
            loop {
                let sent = rate * ms / 1_000;
                if sent >= 4_000_000 {
                    return None;
                }
                if start + Duration::from_millis(ms) > body_by(start, sent) {
                    return Some(ms);
                }
                ms += 10;
            }
        };
        assert_eq!(by_rate(64_000), None);
        assert_eq!(by_rate(33 << 10), None);
        assert!(by_rate(20).is_some_and(|out| out < 2_900), "one byte at a time");
        assert!(by_rate(0).is_some_and(|out| out < 2_400));
    }

    #[test]
    fn what_is_short_is_held_and_what_is_absurd_is_not_carried() {
        let bounds =
            [(0, BodyHandling::Whole), (65_536, BodyHandling::Whole), (65_537, BodyHandling::Stream)];
        for (length, expected) in bounds
            .into_iter()
            .chain([(MOST_BYTES, BodyHandling::Stream), (MOST_BYTES + 1, BodyHandling::TooLong)])
        {
            assert_eq!(plan(Some(length)), expected, "{length}");
        }
        assert_eq!((plan(None), plan(Some(u64::MAX))), (BodyHandling::Wait, BodyHandling::TooLong));
    }
}
