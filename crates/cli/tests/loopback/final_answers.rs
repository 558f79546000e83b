//! Decides whether an accepted request got exactly one complete final answer in time. The functions are pure: times are
//! arguments. The judge keeps one `ClientWait` for each request that a test client sent completely. An answer is timed by
//! its last byte. An answer longer than `MAX_TIMED_TO_END_BYTES` is timed by its first byte, since its upstream sets the
//! pace of the rest.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An answer later than its client's timeout by at most this much earns nothing; a later one counts as lost.
pub const MAX_LATENESS: Duration = Duration::from_millis(500);

/// The length up to which an answer is timed by its last byte; a longer one is timed by its first byte.
pub const MAX_TIMED_TO_END_BYTES: u64 = 64 << 10;

/// How a client's wait ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitOutcome {
    /// A complete final answer was read.
    Answered,
    /// The connection ended before a complete answer; `begun` if at least one byte of the answer had arrived.
    ConnectionClosed { begun: bool },
    /// The client's read timed out before any byte arrived.
    ReadTimedOut,
    /// The client left before the answer, or never read.
    ClientLeft,
}

/// The end of a client's wait.
#[derive(Debug, Clone, Copy)]
pub struct WaitEnd {
    pub outcome: WaitOutcome,
    /// When the client began to read.
    pub reading_since: Instant,
    pub first_byte_at: Instant,
    pub ended_at: Instant,
    /// The number of bytes received.
    pub bytes: u64,
}

impl WaitEnd {
    /// The time that is compared with the deadline: that of the first byte of a long answer, of the last byte otherwise.
    fn timed_at(&self) -> Instant {
        if self.bytes > MAX_TIMED_TO_END_BYTES { self.first_byte_at } else { self.ended_at }
    }
}

/// The attempts of a request, as its upstreams saw them.
#[derive(Debug, Clone, Copy, Default)]
pub struct UpstreamAttempts {
    /// The number of attempts that were received completely.
    pub received: usize,
    /// Whether an upstream may have truncated its answer, which is no fault of the sidecar.
    pub may_truncate: bool,
}

/// How a request was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// The request got no answer.
    NoAnswer,
    /// The answer was truncated although no upstream had truncated one.
    Truncated,
    /// The answer, or the end of a truncated one, came more than `MAX_LATENESS` after the client's timeout.
    Late,
    /// Further bytes followed the answer.
    Surplus,
}

/// A client's wait for the answer to an accepted request.
#[derive(Debug, Clone, Copy)]
pub struct ClientWait {
    /// When the last byte of the request was written.
    pub accepted_at: Instant,
    /// The address that accepted the request, if known.
    pub accepted_by: Option<SocketAddr>,
    /// The client's timeout.
    pub timeout: Duration,
    /// Whether the connection had not carried any bytes before this request.
    pub on_new_connection: bool,
    /// The end of the wait, once it has ended.
    pub end: Option<WaitEnd>,
    /// Whether further bytes followed the answer.
    pub has_surplus: bool,
}

impl ClientWait {
    fn latest_answer_at(&self) -> Instant {
        self.accepted_at + self.timeout + MAX_LATENESS
    }

    /// Whether the wait ended too late. If the client began to read only after the latest acceptable time, lateness cannot
    /// be determined and is not reported.
    fn is_late(&self, end: &WaitEnd) -> bool {
        end.timed_at() > self.latest_answer_at() && end.reading_since <= self.latest_answer_at()
    }

    /// Whether the request crossed the close of an idle connection, in which case its client may send it again.
    pub fn crossed_idle_close(&self, attempts: UpstreamAttempts) -> bool {
        let closed_without_answer =
            self.end.is_some_and(|end| end.outcome == WaitOutcome::ConnectionClosed { begun: false });
        closed_without_answer && !self.on_new_connection && attempts.received == 0
    }

    /// How the request was lost, or `None` if it was not lost.
    pub fn violation(&self, attempts: UpstreamAttempts) -> Option<Violation> {
        if self.has_surplus {
            return Some(Violation::Surplus);
        }
        let end = self.end?;
        match end.outcome {
            WaitOutcome::ClientLeft => None,
            WaitOutcome::ReadTimedOut => {
                (end.ended_at > self.latest_answer_at()).then_some(Violation::NoAnswer)
            }
            WaitOutcome::ConnectionClosed { begun: false } => {
                (!self.crossed_idle_close(attempts)).then_some(Violation::NoAnswer)
            }
            WaitOutcome::ConnectionClosed { begun: true } if !attempts.may_truncate => {
                Some(Violation::Truncated)
            }
            WaitOutcome::ConnectionClosed { begun: true } | WaitOutcome::Answered => {
                self.is_late(&end).then_some(Violation::Late)
            }
        }
    }
}

/// The number of accepted requests of a test process, in total and by result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestCounts {
    pub accepted: usize,
    /// One complete final answer that was not observed to be late.
    pub answered: usize,
    /// The client left before the answer.
    pub client_left: usize,
    /// The answer was truncated, and an upstream may have truncated it.
    pub truncated_by_upstream: usize,
    pub crossed_idle_close: usize,
    /// The wait has not ended, or the client stopped reading before the latest acceptable time.
    pub waiting: usize,
    pub lost: usize,
}

impl RequestCounts {
    /// Counts one request.
    pub fn add(&mut self, wait: &ClientWait, attempts: UpstreamAttempts) {
        self.accepted += 1;
        let count = match wait.end.map(|end| end.outcome) {
            _ if wait.violation(attempts).is_some() => &mut self.lost,
            None | Some(WaitOutcome::ReadTimedOut) => &mut self.waiting,
            Some(WaitOutcome::Answered) => &mut self.answered,
            Some(WaitOutcome::ClientLeft) => &mut self.client_left,
            Some(WaitOutcome::ConnectionClosed { begun: true }) => &mut self.truncated_by_upstream,
            Some(WaitOutcome::ConnectionClosed { begun: false }) => &mut self.crossed_idle_close,
        };
        *count += 1;
    }
}
