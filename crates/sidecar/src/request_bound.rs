//! Which bound ends an accepted request, and with which answer, in each state that it can be in. The front, the driver, the
//! attempts and the streams all ask here. Pure: times are arguments.
//!
//! | state | bound | what its client gets |
//! | --- | --- | --- |
//! | reading | the least rate of a body | 408 |
//! | queued, no attempt is out | its deadline, less [`FINAL_ANSWER_MARGIN`] | 502 |
//! | connecting | the connect timeout, or the attempt timeout if that is sooner | another attempt, or 502 |
//! | sent, answer begun, answer held | the attempt timeout, at most the deadline less [`ATTEMPT_MARGIN`] | another attempt, or 502 |
//! | answer streaming, perhaps short | [`STREAM_GRACE`] after its deadline, while it makes no progress | an answer that is visibly not whole |
//! | answer streaming, long | [`STREAM_IDLE_TIMEOUT`] without a byte | an answer that is visibly not whole |
//! | closing, the process ends | the end of the process, less [`FINAL_ANSWER_MARGIN`] | 502 |
//!
//! Two bounds can apply at once: while an attempt is out, that of the queued request stands behind it.

use std::time::Duration;

use tokio::time::Instant;

use crate::transfer::limits::{MAX_BUFFERED_BODY_BYTES, STREAM_IDLE_TIMEOUT, body_due_by};

/// Attempts end this much before the deadline: the final answer must reach the client in time. An answer takes a fraction of
/// a millisecond to it; the rest is for a turn of the driver in which much else is to be done.
pub const ATTEMPT_MARGIN: Duration = Duration::from_millis(3);
/// What the decision module has not ended by this much before the deadline, the driver does.
pub const FINAL_ANSWER_MARGIN: Duration = Duration::from_micros(1_500);
/// An answer that is later than this is lost; one that is late by less earns nothing.
pub const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// An answer under way may go on for this long after its deadline without progress. Half of [`LATE_ANSWER_LIMIT`]: the other
/// half is for a process that gets little of its processor.
pub const STREAM_GRACE: Duration = Duration::from_millis(250);
/// After its deadline, an answer of unknown length has to have made progress at this rate. Bytes a second.
pub const MIN_STREAM_BYTES_PER_SECOND: u64 = 4 << 10;

/// By when the final answer to one request is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadline {
    taken_at: Instant,
    at: Instant,
}

impl Deadline {
    /// Of a request whose last byte came at `taken_at` and whose client waits for `timeout` from then on, in a process that
    /// ends by `process_ends` if it ends at all.
    pub fn new(taken_at: Instant, timeout: Duration, process_ends: Option<Instant>) -> Deadline {
        let deadline = Deadline { taken_at, at: taken_at + timeout };
        process_ends.map_or(deadline, |ends| deadline.capped_at(ends))
    }

    /// The same where the process ends by then.
    pub fn capped_at(&self, process_ends: Instant) -> Deadline {
        Deadline { at: self.at.min(process_ends).max(self.taken_at), ..*self }
    }

    /// The moment itself.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// By when every attempt has to have ended.
    pub fn attempts_due_by(&self) -> Instant {
        self.less(ATTEMPT_MARGIN)
    }

    fn less(&self, margin: Duration) -> Instant {
        self.at.checked_sub(margin).map_or(self.taken_at, |at| at.max(self.taken_at))
    }
}

/// The times of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTimes {
    /// By when it has to have its connection.
    pub connect_by: Instant,
    /// When it times out.
    pub times_out_at: Instant,
}

/// How far an answer has come that is passed on while it arrives.
#[derive(Debug, Clone, Copy)]
pub struct StreamProgress {
    /// When its client stops waiting for a short answer.
    pub deadline: Instant,
    /// Since when nothing has come.
    pub waiting_since: Instant,
    /// How long answers pause at most, as far as is known.
    pub longest_pause: Duration,
    /// Bytes that were passed on.
    pub forwarded_bytes: u64,
    /// Its length, if the upstream has stated one.
    pub length: Option<u64>,
}

impl StreamProgress {
    /// Whether it may turn out so short that its client expects all of it by the deadline.
    fn may_be_short(&self) -> bool {
        self.length.unwrap_or(self.forwarded_bytes) <= MAX_BUFFERED_BODY_BYTES as u64
    }
}

/// What an accepted request waits for.
#[derive(Debug, Clone, Copy)]
pub enum RequestState {
    /// The rest of its body: its head came then, and so many bytes since.
    Reading {
        /// When its head was whole.
        head_at: Instant,
        /// Bytes of its body so far.
        bytes: u64,
    },
    /// A decision, a probe or the end of an attempt.
    Queued(Deadline),
    /// A connection to an upstream.
    Connecting(AttemptTimes),
    /// The answer of an upstream, or the rest of one of which nothing was passed on.
    Sent(AttemptTimes),
    /// The rest of an answer that is passed on as it comes.
    Streaming(StreamProgress),
}

/// What a client gets when the bound is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndsWith {
    /// 408, and a close: the request was never whole.
    RequestTimeout,
    /// The answer of another attempt where its class allows one and there is time, else 502.
    AnotherAttempt,
    /// 502.
    BadGateway,
    /// An answer that is visibly not whole.
    TruncatedAnswer,
}

/// When a state ends at the latest, and with what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// When.
    pub at: Instant,
    /// With what.
    pub ends_with: EndsWith,
}

/// The bound of a state.
pub fn bound(state: RequestState) -> Bound {
    match state {
        RequestState::Reading { head_at, bytes } => {
            Bound { at: body_due_by(head_at, bytes), ends_with: EndsWith::RequestTimeout }
        }
        RequestState::Queued(deadline) => {
            Bound { at: deadline.less(FINAL_ANSWER_MARGIN), ends_with: EndsWith::BadGateway }
        }
        RequestState::Connecting(times) => {
            Bound { at: times.connect_by.min(times.times_out_at), ends_with: EndsWith::AnotherAttempt }
        }
        RequestState::Sent(times) => Bound { at: times.times_out_at, ends_with: EndsWith::AnotherAttempt },
        RequestState::Streaming(progress) => {
            Bound { at: stream_ends_at(&progress), ends_with: EndsWith::TruncatedAnswer }
        }
    }
}

/// A long answer ends when nothing comes for too long. One that may be short is of no use to anyone long after its deadline,
/// unless it is still making progress and so may turn out long.
fn stream_ends_at(progress: &StreamProgress) -> Instant {
    let idle = progress.waiting_since + STREAM_IDLE_TIMEOUT;
    if !progress.may_be_short() {
        return idle;
    }
    let paused = progress.waiting_since + progress.longest_pause;
    let earned = Duration::from_micros(
        progress.forwarded_bytes.saturating_mul(1_000_000) / MIN_STREAM_BYTES_PER_SECOND,
    );
    let allowed = progress.deadline + STREAM_GRACE;
    // What pauses longer than answers do has stopped; what crawls has to keep its rate.
    idle.min(allowed.max(paused.min(allowed + earned)))
}

#[cfg(test)]
mod tests;
