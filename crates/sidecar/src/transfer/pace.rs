//! The pace at which the pieces of one answer arrive. A pause is no evidence that an answer has ended, but an
//! answer that has kept the pace of long ones is likely to go on after it. Pure: times are arguments.

use std::time::Duration;

use tokio::time::Instant;

use super::limits::MIN_BODY_BYTES_PER_SECOND;

/// An answer that has brought no bytes for this many times its longest gap may have stopped.
const MAX_PAUSE_IN_GAPS: u32 = 2;

/// The pieces of one answer so far. Only time in which the sidecar waited for the upstream counts: while a
/// slow client holds up the reading, nothing shows about the upstream.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    waiting_since: Instant,
    waited: Duration,
    longest_gap: Option<Duration>,
    bytes: u64,
}

impl Pace {
    /// Begins with an answer whose head was received at `head_at`.
    pub fn new(head_at: Instant) -> Pace {
        Pace { waiting_since: head_at, waited: Duration::ZERO, longest_gap: None, bytes: 0 }
    }

    /// Records a piece of the body, for which the sidecar has waited since the piece before.
    pub fn record_piece(&mut self, now: Instant, bytes: usize) {
        let gap = now.saturating_duration_since(self.waiting_since);
        self.waited += gap;
        self.longest_gap = Some(self.longest_gap.map_or(gap, |longest| longest.max(gap)));
        self.waiting_since = now;
        self.bytes += bytes as u64;
    }

    /// Records that the sidecar begins to wait for the next piece only now.
    pub fn resume_waiting(&mut self, now: Instant) {
        self.waiting_since = now;
    }

    /// Since when the sidecar has waited for the next piece.
    pub fn waiting_since(&self) -> Instant {
        self.waiting_since
    }

    /// Whether more bytes are to be expected, judged by the gaps so far. An answer of which nothing has
    /// followed the bytes that came with its head may have stopped.
    pub fn is_progressing(&self, now: Instant) -> bool {
        let pause = now.saturating_duration_since(self.waiting_since);
        self.longest_gap.is_some_and(|longest| pause <= longest * MAX_PAUSE_IN_GAPS)
    }

    /// Whether the answer arrives as fast as long answers do if no more of it arrives before `now`. Its longest
    /// gap does not count. A slower answer is either short or of no use to its client.
    pub fn may_be_long(&self, now: Instant) -> bool {
        let waited = self.waited + now.saturating_duration_since(self.waiting_since);
        let transfer_time = waited.saturating_sub(self.longest_gap.unwrap_or_default());
        self.bytes as f64 >= MIN_BODY_BYTES_PER_SECOND as f64 * transfer_time.as_secs_f64()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(millis: u64) -> Duration {
        Duration::from_millis(millis)
    }

    #[test]
    fn answer_is_progressing_while_its_pause_is_at_most_twice_its_longest_gap() {
        let head_at = Instant::now();
        let mut pace = Pace::new(head_at);
        assert!(!pace.is_progressing(head_at + ms(1)), "no piece has arrived yet");
        pace.record_piece(head_at, 1);
        assert!(!pace.is_progressing(head_at + ms(50)), "the only piece came with the head");
        pace.record_piece(head_at + ms(40), 1);
        assert!(pace.is_progressing(head_at + ms(120)));
        assert!(!pace.is_progressing(head_at + ms(121)));
        pace.record_piece(head_at + ms(300), 1);
        assert!(pace.is_progressing(head_at + ms(700)));
    }

    #[test]
    fn slow_answer_is_not_taken_for_a_long_one_but_one_pause_is_allowed() {
        let head_at = Instant::now();
        // 40 KiB/s and 4 KiB/s, a piece every 50 ms.
        for (piece_bytes, is_long) in [(2 << 10, true), (200, false)] {
            let mut pace = Pace::new(head_at);
            for number in 1..=20 {
                pace.record_piece(head_at + ms(50 * number), piece_bytes);
            }
            assert_eq!(pace.may_be_long(head_at + ms(1_000)), is_long, "{piece_bytes}");
        }
        // At full pace except for one pause of a second.
        let mut pace = Pace::new(head_at);
        for number in 1..=10 {
            pace.record_piece(head_at + ms(50 * number), 2 << 10);
        }
        pace.record_piece(head_at + ms(1_500), 2 << 10);
        assert!(pace.may_be_long(head_at + ms(1_500)));
    }

    /// Guards against a sound answer that is taken for one that has stopped because its client reads slowly.
    #[test]
    fn time_in_which_nothing_was_read_does_not_count() {
        let head_at = Instant::now();
        let mut pace = Pace::new(head_at);
        pace.record_piece(head_at, 20_000);
        for second in 1..=20 {
            let reads_again_at = head_at + ms(1_000 * second);
            pace.resume_waiting(reads_again_at);
            pace.record_piece(reads_again_at + ms(10), 500);
        }
        assert!(pace.may_be_long(head_at + ms(20_100)));
        assert!(!pace.may_be_long(head_at + ms(24_000)));
    }
}
