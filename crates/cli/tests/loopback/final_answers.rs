//! Whether an accepted request got exactly one whole final answer in time. Pure: times are arguments. The judge keeps one
//! `Wait` for each request that a client of these tests sends whole. An answer's time is that of its last byte; of one that is
//! longer than `SHORT_BYTES` the first bytes are timed, and the rest goes on for as long as its upstream gives it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An answer up to this much after its client's time only earns nothing; a later one is lost.
pub const MAX_LATENESS: Duration = Duration::from_millis(500);

/// Of longer answers the first bytes are timed.
pub const MAX_TIMED_TO_END_BYTES: u64 = 64 << 10;

/// How a client's wait ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitOutcome {
    /// With a whole final answer.
    Answered,
    /// With the end of the connection before that; whether anything of an answer had come.
    ConnectionClosed { begun: bool },
    /// Nothing came for as long as the client reads.
    ReadTimedOut,
    /// The client left first, or never looked.
    ClientLeft,
}

/// The end of a wait.
#[derive(Debug, Clone, Copy)]
pub struct WaitEnd {
    pub outcome: WaitOutcome,
    /// Since when the client had been reading.
    pub reading_since: Instant,
    /// When its first bytes were there.
    pub first_byte_at: Instant,
    /// When it was over.
    pub ended_at: Instant,
    /// How many bytes came.
    pub bytes: u64,
}

impl WaitEnd {
    /// The moment that counts.
    fn timed(&self) -> Instant {
        if self.bytes > MAX_TIMED_TO_END_BYTES { self.first_byte_at } else { self.ended_at }
    }
}

/// What upstreams have done with the attempts of a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct UpstreamAttempts {
    /// How many came whole.
    pub received: usize,
    /// Whether one of them may have broken off its answer: that is no fault of the sidecar's.
    pub may_truncate: bool,
}

/// How a request was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// It got no answer at all.
    NoAnswer,
    /// Its answer broke off although no upstream had broken off one.
    Truncated,
    /// Its answer, or the end of a torn one, came more than the slack after its time.
    Late,
    /// More came than one answer.
    Surplus,
}

/// The wait of a client for the answer to an accepted request.
#[derive(Debug, Clone, Copy)]
pub struct ClientWait {
    /// When its last byte was written.
    pub accepted_at: Instant,
    /// Where it was accepted, if that is known.
    pub accepted_by: Option<SocketAddr>,
    /// How long its client waits.
    pub timeout: Duration,
    /// Whether its connection had carried nothing before.
    pub on_new_connection: bool,
    /// Its end.
    pub end: Option<WaitEnd>,
    /// Whether more came behind its answer.
    pub has_surplus: bool,
}

impl ClientWait {
    fn due(&self) -> Instant {
        self.accepted_at + self.timeout + MAX_LATENESS
    }

    /// Whether the end came too late. Of a client that began to read only then nobody can tell.
    fn is_late(&self, ended: &WaitEnd) -> bool {
        ended.timed() > self.due() && ended.reading_since <= self.due()
    }

    /// Whether it crossed the close of a resting connection: its client may send it once more.
    pub fn crossed_idle_close(&self, attempts: UpstreamAttempts) -> bool {
        let cut_off =
            self.end.is_some_and(|ended| ended.outcome == WaitOutcome::ConnectionClosed { begun: false });
        cut_off && !self.on_new_connection && attempts.received == 0
    }

    /// How it was lost, if it was.
    pub fn violation(&self, attempts: UpstreamAttempts) -> Option<Violation> {
        if self.has_surplus {
            return Some(Violation::Surplus);
        }
        let ended = self.end?;
        match ended.outcome {
            WaitOutcome::ClientLeft => None,
            WaitOutcome::ReadTimedOut => (ended.ended_at > self.due()).then_some(Violation::NoAnswer),
            WaitOutcome::ConnectionClosed { begun: false } => {
                (!self.crossed_idle_close(attempts)).then_some(Violation::NoAnswer)
            }
            WaitOutcome::ConnectionClosed { begun: true } if !attempts.may_truncate => {
                Some(Violation::Truncated)
            }
            WaitOutcome::ConnectionClosed { begun: true } | WaitOutcome::Answered => {
                self.is_late(&ended).then_some(Violation::Late)
            }
        }
    }
}

/// The accepted requests of a test process by what became of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestCounts {
    pub accepted: usize,
    /// One whole final answer, in time as far as anybody could tell.
    pub answered: usize,
    /// The client left first.
    pub client_left: usize,
    /// Broken off after an upstream had broken off.
    pub truncated_by_upstream: usize,
    pub crossed_idle_close: usize,
    /// Not at their end yet.
    pub waiting: usize,
    pub lost: usize,
}

impl RequestCounts {
    /// Counts one more.
    pub fn add(&mut self, wait: &ClientWait, attempts: UpstreamAttempts) {
        self.accepted += 1;
        let place = match wait.end.map(|ended| ended.outcome) {
            _ if wait.violation(attempts).is_some() => &mut self.lost,
            None | Some(WaitOutcome::ReadTimedOut) => &mut self.waiting,
            Some(WaitOutcome::Answered) => &mut self.answered,
            Some(WaitOutcome::ClientLeft) => &mut self.client_left,
            Some(WaitOutcome::ConnectionClosed { begun: true }) => &mut self.truncated_by_upstream,
            Some(WaitOutcome::ConnectionClosed { begun: false }) => &mut self.crossed_idle_close,
        };
        *place += 1;
    }
}
