//! When the client of an upload wrote the last byte. From then on its time runs, even while the upstream takes
//! no bytes and the rest of the body waits in the kernel. Pure: times are arguments.

use tokio::time::Instant;

/// What a client has written of its current request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientProgress {
    /// Bytes that have been read from the socket.
    pub bytes_read: u64,
    /// Bytes of the body that have not been read; `None` if the length of the body is not stated.
    pub bytes_left: Option<u64>,
    /// Unread bytes in this side's socket.
    pub in_socket: u64,
    /// Bytes that the client has written and its kernel still holds; `None` if that is unknown.
    pub in_sender_queue: Option<u64>,
}

/// Whether a client has written the last byte of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Completeness {
    Complete,
    Incomplete,
    Unknown,
}

impl ClientProgress {
    /// Bytes written by the client, as far as is known. Bytes that have been received and not acknowledged
    /// count twice.
    fn bytes_written(&self) -> u64 {
        self.bytes_read + self.in_socket + self.in_sender_queue.unwrap_or(0)
    }

    fn completeness(&self) -> Completeness {
        let in_kernel = self.in_socket + self.in_sender_queue.unwrap_or(0);
        match self.bytes_left {
            Some(left) if left <= in_kernel => Completeness::Complete,
            Some(_) if self.in_sender_queue.is_some() => Completeness::Incomplete,
            // If the kernel holds nothing, the client has still to write the end of the body. The sender's
            // queue is empty, too, since the socket has room.
            _ if in_kernel == 0 => Completeness::Incomplete,
            _ => Completeness::Unknown,
        }
    }
}

/// The last time at which the client is known not to have written all of its body. It never lies after the
/// time at which the last byte was written.
#[derive(Debug, Clone, Copy)]
pub struct LastIncomplete {
    at: Instant,
    /// The most that was observed; `None` before the first observation.
    bytes_written: Option<u64>,
    complete: bool,
    /// Whether the sidecar waits for more bytes, and none were seen since.
    waiting: bool,
}

impl LastIncomplete {
    /// Begins with a body that is known to be incomplete at `now`.
    pub fn new(now: Instant) -> LastIncomplete {
        LastIncomplete { at: now, bytes_written: None, complete: false, waiting: false }
    }

    /// The last time at which the body is known to have been incomplete.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Whether the client has certainly written all of its body.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Records that the sidecar has read all that has arrived, and waits for more.
    pub fn record_waiting(&mut self) {
        self.waiting = !self.complete;
    }

    /// Records that the sidecar reads on at `now`. If it has waited for the client until now, the body was
    /// incomplete until now.
    pub fn record_reading(&mut self, now: Instant) {
        if std::mem::take(&mut self.waiting) {
            self.at = now;
        }
    }

    /// Records the progress of the client at `now`.
    pub fn record(&mut self, now: Instant, progress: ClientProgress) {
        if self.complete {
            return;
        }
        let bytes_written = progress.bytes_written();
        let grown = self.bytes_written.is_some_and(|before| bytes_written > before);
        self.bytes_written = self.bytes_written.max(Some(bytes_written));
        match progress.completeness() {
            Completeness::Complete => (self.complete, self.waiting) = (true, false),
            Completeness::Incomplete => self.at = now,
            Completeness::Unknown => {
                // Bytes have arrived that the upstream keeps the sidecar from reading.
                self.waiting = false;
                // A client that goes on writing had not written all of its body before.
                if grown {
                    self.at = now;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    /// At each millisecond: bytes left, in the socket and in the sender's queue. Returns the millisecond of
    /// the last known incompleteness, and whether the body is certainly complete.
    fn observe(observations: &[(u64, Option<u64>, u64, Option<u64>)]) -> (u64, bool) {
        let start = Instant::now();
        let mut last_incomplete = LastIncomplete::new(start);
        for (ms, bytes_left, in_socket, in_sender_queue) in observations {
            let progress = ClientProgress {
                bytes_read: 0,
                bytes_left: *bytes_left,
                in_socket: *in_socket,
                in_sender_queue: *in_sender_queue,
            };
            last_incomplete.record(start + Duration::from_millis(*ms), progress);
        }
        let at_ms = (last_incomplete.at() - start).as_millis() as u64;
        (at_ms, last_incomplete.is_complete())
    }

    #[test]
    fn body_of_stated_length_is_complete_once_the_kernel_holds_the_rest() {
        assert_eq!(observe(&[(10, Some(100), 40, Some(59)), (20, Some(100), 40, Some(60))]), (10, true));
        assert_eq!(observe(&[(10, Some(100), 40, Some(59)), (20, Some(100), 100, None)]), (10, true));
        assert_eq!(observe(&[(10, Some(0), 0, None)]), (0, true));
    }

    #[test]
    fn client_that_pauses_before_its_last_byte_does_not_count_as_complete() {
        assert_eq!(observe(&[(10, Some(100), 99, Some(0)), (5_000, Some(100), 99, Some(0))]), (5_000, false));
        assert_eq!(observe(&[(10, Some(100), 0, None), (5_000, None, 0, Some(0))]), (5_000, false));
    }

    #[test]
    fn wait_for_the_client_counts_as_incomplete_and_a_wait_for_the_upstream_does_not() {
        let start = Instant::now();
        let after = |ms| start + Duration::from_millis(ms);
        let mut last_incomplete = LastIncomplete::new(start);
        last_incomplete.record_waiting();
        last_incomplete.record_reading(after(700));
        assert_eq!(last_incomplete.at(), after(700));
        last_incomplete.record_waiting();
        let unread =
            ClientProgress { bytes_read: 5, bytes_left: None, in_socket: 9, in_sender_queue: Some(0) };
        last_incomplete.record(after(800), unread);
        last_incomplete.record_reading(after(900));
        assert_eq!(last_incomplete.at(), after(700));
    }

    #[test]
    fn body_whose_end_is_unknown_may_be_complete_since_the_client_last_wrote() {
        // Chunked, or the sender's queue is unknown.
        for (left, queue) in [(None, Some(7)), (None, None), (Some(100), None)] {
            assert_eq!(observe(&[(10, left, 40, queue), (900, left, 40, queue)]), (0, false));
            assert_eq!(observe(&[(10, left, 40, queue), (900, left, 41, queue)]), (900, false));
        }
    }
}
