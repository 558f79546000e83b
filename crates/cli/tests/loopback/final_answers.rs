//! Whether an accepted request got exactly one whole final answer in time. Pure: times are arguments. The judge keeps one
//! `Wait` for each request that a client of these tests sends whole. An answer's time is that of its last byte; of one that is
//! longer than `SHORT_BYTES` the first bytes are timed, and the rest goes on for as long as its upstream gives it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An answer up to this much after its client's time only earns nothing; a later one is lost.
pub const LATE_SLACK: Duration = Duration::from_millis(500);

/// Of longer answers the first bytes are timed.
pub const SHORT_BYTES: u64 = 64 << 10;

/// How a client's wait ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With a whole final answer.
    Answered,
    /// With the end of the connection before that; whether anything of an answer had come.
    CutOff { begun: bool },
    /// Nothing came for as long as the client reads.
    GaveUp,
    /// The client left first, or never looked.
    Left,
}

/// The end of a wait.
#[derive(Debug, Clone, Copy)]
pub struct Ended {
    pub end: End,
    /// Since when the client had been reading.
    pub read_from: Instant,
    /// When its first bytes were there.
    pub begun_at: Instant,
    /// When it was over.
    pub at: Instant,
    /// How many bytes came.
    pub bytes: u64,
}

impl Ended {
    /// The moment that counts.
    fn timed(&self) -> Instant {
        if self.bytes > SHORT_BYTES { self.begun_at } else { self.at }
    }
}

/// What upstreams have done with the attempts of a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Attempts {
    /// How many came whole.
    pub came: usize,
    /// Whether one of them may have broken off its answer: that is no fault of the sidecar's.
    pub may_break_off: bool,
}

/// How a request was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breach {
    /// It got no answer at all.
    NoAnswer,
    /// Its answer broke off although no upstream had broken off one.
    Torn,
    /// Its answer, or the end of a torn one, came more than the slack after its time.
    Late,
    /// More came than one answer.
    Twice,
}

/// The wait of a client for the answer to an accepted request.
#[derive(Debug, Clone, Copy)]
pub struct Wait {
    /// When its last byte was written.
    pub accepted: Instant,
    /// Where it was accepted, if that is known.
    pub by: Option<SocketAddr>,
    /// How long its client waits.
    pub timeout: Duration,
    /// Whether its connection had carried nothing before.
    pub on_new_connection: bool,
    /// Its end.
    pub ended: Option<Ended>,
    /// Whether more came behind its answer.
    pub surplus: bool,
}

impl Wait {
    fn due(&self) -> Instant {
        self.accepted + self.timeout + LATE_SLACK
    }

    /// Whether the end came too late. Of a client that began to read only then nobody can tell.
    fn is_late(&self, ended: &Ended) -> bool {
        ended.timed() > self.due() && ended.read_from <= self.due()
    }

    /// Whether it crossed the close of a resting connection: its client may send it once more.
    pub fn crossed_close(&self, attempts: Attempts) -> bool {
        let cut_off = self.ended.is_some_and(|ended| ended.end == End::CutOff { begun: false });
        cut_off && !self.on_new_connection && attempts.came == 0
    }

    /// How it was lost, if it was.
    pub fn breach(&self, attempts: Attempts) -> Option<Breach> {
        if self.surplus {
            return Some(Breach::Twice);
        }
        let ended = self.ended?;
        match ended.end {
            End::Left => None,
            End::GaveUp => (ended.at > self.due()).then_some(Breach::NoAnswer),
            End::CutOff { begun: false } => (!self.crossed_close(attempts)).then_some(Breach::NoAnswer),
            End::CutOff { begun: true } if !attempts.may_break_off => Some(Breach::Torn),
            End::CutOff { begun: true } | End::Answered => self.is_late(&ended).then_some(Breach::Late),
        }
    }
}

/// The accepted requests of a test process by what became of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub accepted: usize,
    /// One whole final answer, in time as far as anybody could tell.
    pub answered: usize,
    /// The client left first.
    pub left: usize,
    /// Broken off after an upstream had broken off.
    pub torn_by_upstream: usize,
    pub crossed_close: usize,
    /// Not at their end yet.
    pub waiting: usize,
    pub lost: usize,
}

impl Counts {
    /// Counts one more.
    pub fn add(&mut self, wait: &Wait, attempts: Attempts) {
        self.accepted += 1;
        let place = match wait.ended.map(|ended| ended.end) {
            _ if wait.breach(attempts).is_some() => &mut self.lost,
            None | Some(End::GaveUp) => &mut self.waiting,
            Some(End::Answered) => &mut self.answered,
            Some(End::Left) => &mut self.left,
            Some(End::CutOff { begun: true }) => &mut self.torn_by_upstream,
            Some(End::CutOff { begun: false }) => &mut self.crossed_close,
        };
        *place += 1;
    }
}
