//! The time bound of an accepted request in each of its states, and the answer that its client gets when the
//! bound is reached. The front, the driver, the attempts and the streams all use these bounds. Pure: times
//! are arguments.
//!
//! | state | bound | answer to the client |
//! | --- | --- | --- |
//! | reading | the minimum rate of a body | 408 |
//! | queued, no attempt in flight | the deadline less [`FINAL_ANSWER_MARGIN`] | 502 |
//! | connecting | the connect timeout, or the attempt timeout if that is sooner | another attempt, or 502 |
//! | sent, the upload incomplete | the deadline less [`ATTEMPT_MARGIN`], counted from the last time at which the client is known not to have written all of the body | 503 or 502 |
//! | sent, answer begun or held back | the attempt timeout, at most the deadline less [`ATTEMPT_MARGIN`] | another attempt, or 502 |
//! | streaming, the answer may be short | [`STREAM_GRACE`] after the deadline, if it makes no progress; [`MAX_SOUND_PAUSE`] without a byte if it keeps the pace of a long answer | a visibly truncated answer |
//! | streaming, the answer is long | [`STREAM_IDLE_TIMEOUT`] without a byte | a visibly truncated answer |
//! | closing, the process ends | the end of the process less [`FINAL_ANSWER_MARGIN`] | 502 |
//!
//! Two bounds can apply at once: while an attempt is in flight, the bound of the queued request applies as
//! well.

use std::time::Duration;

use tokio::time::Instant;

use crate::transfer::limits::{MAX_BUFFERED_BODY_BYTES, STREAM_IDLE_TIMEOUT, body_due_by};
use crate::transfer::pace::Pace;

/// Attempts end this much before the deadline, so that the final answer reaches the client in time. An answer
/// takes a fraction of a millisecond to the client; the rest covers a busy turn of the driver.
pub const ATTEMPT_MARGIN: Duration = Duration::from_millis(3);
/// The driver fails a request this much before the deadline if the decision module has not ended it by then.
pub const FINAL_ANSWER_MARGIN: Duration = Duration::from_micros(1_500);
/// An answer that comes later than this after its deadline counts as lost. An answer that comes after the
/// deadline but within this limit has no worth.
pub const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// A streamed answer may go on for this long after its deadline without progress. This is half of
/// [`LATE_ANSWER_LIMIT`]; the other half is for a process that gets little processor time.
pub const STREAM_GRACE: Duration = Duration::from_millis(250);
/// After its deadline, a streamed answer of unknown length must have progressed at this rate on average.
pub const MIN_STREAM_BYTES_PER_SECOND: u64 = 4 << 10;

/// Longest pause of a sound answer: well-behaved servers pause for up to 2 s.
pub const MAX_SOUND_PAUSE: Duration = Duration::from_millis(2_100);

/// When the final answer to a request is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadline {
    received_at: Instant,
    at: Instant,
}

impl Deadline {
    /// The deadline of a request whose last byte was received at `received_at` and whose client waits for
    /// `timeout` from then on. If the process is to end by `process_ends`, the deadline is no later.
    pub fn new(received_at: Instant, timeout: Duration, process_ends: Option<Instant>) -> Deadline {
        let deadline = Deadline { received_at, at: received_at + timeout };
        process_ends.map_or(deadline, |ends| deadline.capped_at(ends))
    }

    /// The same deadline, but no later than the end of the process, and no earlier than the request was
    /// received.
    pub fn capped_at(&self, process_ends: Instant) -> Deadline {
        Deadline { at: self.at.min(process_ends).max(self.received_at), ..*self }
    }

    /// When the last byte of the request was received.
    pub fn received_at(&self) -> Instant {
        self.received_at
    }

    /// The time of the deadline.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// When every attempt must have ended.
    pub fn attempts_due_by(&self) -> Instant {
        self.minus(ATTEMPT_MARGIN)
    }

    /// The time `margin` before the deadline, but no earlier than the request was received.
    fn minus(&self, margin: Duration) -> Instant {
        self.at.checked_sub(margin).map_or(self.received_at, |at| at.max(self.received_at))
    }
}

/// The time limits of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTimes {
    /// When the attempt must have a connection.
    pub connect_by: Instant,
    /// When the attempt times out.
    pub times_out_at: Instant,
}

/// The progress of an answer that is streamed to its client.
#[derive(Debug, Clone, Copy)]
pub struct StreamProgress {
    /// When the client stops waiting if the answer is short.
    pub deadline: Instant,
    /// The pace of the answer, and since when the stream has waited for more bytes from the upstream.
    pub pace: Pace,
    /// Whether answers of unknown length are more likely to be long than short.
    pub long_is_likely: bool,
    /// The estimated longest pause of other answers.
    pub longest_pause: Duration,
    /// Bytes forwarded to the client.
    pub forwarded_bytes: u64,
    /// The length stated by the upstream, if any.
    pub length: Option<u64>,
}

impl StreamProgress {
    /// Whether the answer may be so short that its client expects all of it by the deadline.
    fn may_be_short(&self) -> bool {
        self.length.unwrap_or(self.forwarded_bytes) <= MAX_BUFFERED_BODY_BYTES as u64
    }
}

/// The state of an accepted request, by what it waits for.
#[derive(Debug, Clone, Copy)]
pub enum RequestState {
    /// Waits for the rest of its body.
    Reading {
        /// When its head was complete.
        head_at: Instant,
        /// Bytes of its body received so far.
        bytes: u64,
    },
    /// Waits for a decision, a probe or the end of an attempt.
    Queued(Deadline),
    /// Waits for a connection to an upstream.
    Connecting(AttemptTimes),
    /// Sent in part: the rest of the body is still to come from the client, or to be taken by the upstream.
    Uploading {
        /// When the client was last known not to have written all of the body.
        last_incomplete_at: Instant,
        /// How long the client waits from its last byte on.
        client_timeout: Duration,
    },
    /// Waits for an upstream's answer, or for the rest of an answer no part of which has been forwarded.
    Sent(AttemptTimes),
    /// Waits for the rest of an answer that is being streamed.
    Streaming(StreamProgress),
}

/// The answer that the client gets when a bound is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerAtBound {
    /// 408 and a closed connection: the request was never complete.
    RequestTimeout,
    /// The answer of another attempt if the class allows one and there is time, otherwise 502.
    AnotherAttempt,
    /// 502: there is no time for another attempt.
    BadGateway,
    /// A visibly truncated answer.
    TruncatedAnswer,
}

/// The time bound of a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// When the state ends at the latest.
    pub at: Instant,
    /// The answer that the client gets if the state lasts until then.
    pub answer: AnswerAtBound,
}

/// The bound of a state, as in the table of the module comment.
pub fn bound(state: RequestState) -> Bound {
    match state {
        RequestState::Reading { head_at, bytes } => {
            Bound { at: body_due_by(head_at, bytes), answer: AnswerAtBound::RequestTimeout }
        }
        RequestState::Queued(deadline) => {
            Bound { at: deadline.minus(FINAL_ANSWER_MARGIN), answer: AnswerAtBound::BadGateway }
        }
        RequestState::Connecting(times) => {
            Bound { at: times.connect_by.min(times.times_out_at), answer: AnswerAtBound::AnotherAttempt }
        }
        RequestState::Uploading { last_incomplete_at, client_timeout } => {
            let deadline = Deadline::new(last_incomplete_at, client_timeout, None);
            Bound { at: deadline.attempts_due_by(), answer: AnswerAtBound::BadGateway }
        }
        RequestState::Sent(times) => Bound { at: times.times_out_at, answer: AnswerAtBound::AnotherAttempt },
        RequestState::Streaming(progress) => {
            Bound { at: stream_ends_at(&progress), answer: AnswerAtBound::TruncatedAnswer }
        }
    }
}

/// A long answer ends after an idle timeout. An answer that may be short is of no use long after its
/// deadline, unless it still makes progress and so may turn out to be long.
fn stream_ends_at(progress: &StreamProgress) -> Instant {
    let waiting_since = progress.pace.waiting_since();
    let idle_timeout_at = waiting_since + STREAM_IDLE_TIMEOUT;
    if !progress.may_be_short() {
        return idle_timeout_at;
    }
    let minimum_rate_time = Duration::from_micros(
        progress.forwarded_bytes.saturating_mul(1_000_000) / MIN_STREAM_BYTES_PER_SECOND,
    );
    let grace_ends_at = progress.deadline + STREAM_GRACE;
    // Whether the answer is long is not known. It is taken for long if most are, or if it has kept their pace
    // until its time is over, and then has the time for any pause of a sound answer. Any other has stopped
    // if it pauses for longer than the estimated longest pause. A slow one must keep the minimum rate.
    let is_taken_for_long =
        progress.long_is_likely || progress.pace.may_be_long(grace_ends_at.max(waiting_since));
    let longest_pause = match is_taken_for_long {
        true => MAX_SOUND_PAUSE.max(progress.longest_pause),
        false => progress.longest_pause,
    };
    let pause_ends_at = waiting_since + longest_pause;
    idle_timeout_at.min(grace_ends_at.max(pause_ends_at.min(grace_ends_at + minimum_rate_time)))
}

#[cfg(test)]
mod tests;
