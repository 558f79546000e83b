//! Size and time limits of bodies and heads. Pure: times and counts are arguments.

use std::time::Duration;

use tokio::time::Instant;

/// Bodies up to this size are buffered: they are checked before they are forwarded, and can be sent again.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Longest body in either direction; bodies on the platform have at most 32 MB.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// A request head must be complete this long after its first byte, or after its connection was accepted.
/// Well-behaved clients take up to 2 s, and a connection whose head never ends must be closed within 3 s.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(2_700);
/// A body must be complete this long after its head, plus the time that its bytes take at
/// [`MIN_BODY_BYTES_PER_SECOND`].
const BODY_BASE_TIMEOUT: Duration = Duration::from_millis(2_300);
/// Minimum rate of a body: half the rate of the slowest well-behaved client.
pub const MIN_BODY_BYTES_PER_SECOND: u64 = 32 << 10;
/// A stream that makes no progress for this long has ended.
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// When a body of which `bytes` bytes have been received must be complete, or more of it received.
pub fn body_due_by(head_at: Instant, bytes: u64) -> Instant {
    head_at
        + BODY_BASE_TIMEOUT
        + Duration::from_micros(bytes.saturating_mul(1_000_000) / MIN_BODY_BYTES_PER_SECOND)
}

/// How an answer's body is handled, by its stated length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyHandling {
    /// The whole body is read before any of it is forwarded.
    Buffer,
    /// The body is forwarded as it arrives.
    Stream,
    /// The length is not stated: the body is read until it is complete, exceeds the buffer limit, or has
    /// taken too long.
    UnknownLength,
    /// The body exceeds [`MAX_BODY_BYTES`].
    TooLong,
}

/// How to handle the body of an answer with this stated length.
pub fn body_handling(length: Option<u64>) -> BodyHandling {
    match length {
        None => BodyHandling::UnknownLength,
        Some(length) if length <= MAX_BUFFERED_BODY_BYTES as u64 => BodyHandling::Buffer,
        Some(length) if length <= MAX_BODY_BYTES => BodyHandling::Stream,
        Some(_) => BodyHandling::TooLong,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn slowest_well_behaved_client_is_in_time_and_slower_bodies_time_out() {
        let start = Instant::now();
        // After how many milliseconds a body sent at this rate times out; `None` if 4 MB are sent before.
        let timed_out_after_ms = |bytes_per_second: u64| {
            let mut ms = 0;
            loop {
                let sent = bytes_per_second * ms / 1_000;
                if sent >= 4_000_000 {
                    return None;
                }
                if start + Duration::from_millis(ms) > body_due_by(start, sent) {
                    return Some(ms);
                }
                ms += 10;
            }
        };
        assert_eq!(timed_out_after_ms(64_000), None);
        assert_eq!(timed_out_after_ms(33 << 10), None);
        assert!(timed_out_after_ms(20).is_some_and(|ms| ms < 2_900), "20 bytes a second");
        assert!(timed_out_after_ms(0).is_some_and(|ms| ms < 2_400));
    }

    #[test]
    fn short_bodies_are_buffered_and_bodies_over_the_limit_are_rejected() {
        let bounds =
            [(0, BodyHandling::Buffer), (65_536, BodyHandling::Buffer), (65_537, BodyHandling::Stream)];
        for (length, expected) in bounds
            .into_iter()
            .chain([(MAX_BODY_BYTES, BodyHandling::Stream), (MAX_BODY_BYTES + 1, BodyHandling::TooLong)])
        {
            assert_eq!(body_handling(Some(length)), expected, "{length}");
        }
        assert_eq!(
            (body_handling(None), body_handling(Some(u64::MAX))),
            (BodyHandling::UnknownLength, BodyHandling::TooLong)
        );
    }
}
