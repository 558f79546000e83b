//! Whether an attempt may have run. This is decided once for each attempt, when its connection is closed or
//! its answer is complete, and the outcome reported to the decision module follows from it. No other code
//! decides it. Pure.
//!
//! | termination | nothing was written | a part was written | the last byte was written |
//! | --- | --- | --- | --- |
//! | answered as not processed, with the mark | never ran | never ran | never ran |
//! | any other answer, or a malformed one | may have run | may have run | may have run |
//! | connection lost | not started | never ran | may have run |
//! | timed out | not started | never ran | may have run |
//! | cancelled | not started | never ran | may have run |
//! | client's body incomplete | not started | never ran | may have run |
//!
//! "Written" counts the bytes that the kernel accepted ([`Written`]). If the last byte of a request was not
//! handed to the kernel before the connection was closed, the request can never arrive.

use hyper::header::HeaderMap;
use hyper::{StatusCode, header};
use sagemast_decide::api::Outcome;

/// Header that marks an answer to a request that the upstream did not process.
const NOT_PROCESSED: &str = "x-not-processed";

/// How much of a request was handed to the kernel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// No byte.
    Nothing,
    /// Some bytes, but not the last one.
    Partial,
    /// The last byte, or it cannot be determined.
    Complete,
}

/// Meaning of a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The request was served.
    Served,
    /// The upstream turned the request away without processing it.
    NotProcessed,
    /// The request is invalid; every upstream would reject it.
    InvalidRequest,
    /// The upstream failed to serve the request.
    Failed,
}

/// How an attempt ended, as seen on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Termination {
    /// A complete answer, or at least its first bytes, arrived.
    Answered(AnswerKind),
    /// The answer was malformed or stopped before its end.
    Malformed,
    /// The connection broke or was closed.
    ConnectionLost,
    /// The attempt timed out.
    TimedOut,
    /// The attempt was cancelled.
    Cancelled,
    /// The client's body was never received completely.
    BodyIncomplete,
}

/// Whether an attempt may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// No byte of the attempt was written.
    NotStarted,
    /// The attempt may have run, or may still run.
    MayHaveRun,
    /// The attempt is proven not to have run, and never will.
    NeverRan,
}

/// Whether an attempt may have run, given how it ended and how much of it was written.
pub fn execution(termination: Termination, written: Written) -> Execution {
    match (termination, written) {
        (Termination::Answered(AnswerKind::NotProcessed), _) => Execution::NeverRan,
        // An upstream that answers has received some of the request, however many bytes count as written.
        (Termination::Answered(_) | Termination::Malformed, _) | (_, Written::Complete) => {
            Execution::MayHaveRun
        }
        (_, Written::Partial) => Execution::NeverRan,
        (_, Written::Nothing) => Execution::NotStarted,
    }
}

/// The outcome that is reported to the decision module.
pub fn outcome(termination: Termination, execution: Execution) -> Outcome {
    let may_have_run = execution == Execution::MayHaveRun;
    match (termination, may_have_run) {
        (Termination::Answered(AnswerKind::Served), _) => Outcome::Ok,
        (Termination::Answered(AnswerKind::NotProcessed), _) => Outcome::Full,
        // An invalid request must not count against the upstream, and the module ignores cancelled attempts.
        (Termination::Answered(AnswerKind::InvalidRequest), _) | (Termination::Cancelled, true) => {
            Outcome::Cancelled
        }
        (Termination::Answered(AnswerKind::Failed) | Termination::Malformed, _) => Outcome::Error,
        (Termination::ConnectionLost | Termination::BodyIncomplete, true) => Outcome::Reset,
        (Termination::TimedOut, true) => Outcome::TimedOut,
        (Termination::ConnectionLost | Termination::TimedOut, false) => Outcome::Unreachable,
        (Termination::Cancelled | Termination::BodyIncomplete, false) => Outcome::NotSent,
    }
}

/// Whether an attempt continues over another connection because the reused idle connection had already been
/// closed.
pub fn is_stale_connection(termination: Termination, execution: Execution, reused: bool) -> bool {
    reused && termination == Termination::ConnectionLost && execution == Execution::NotStarted
}

/// Classifies a complete answer; `marked_not_processed` as returned by [`is_marked_not_processed`].
pub fn classify_answer(status: StatusCode, marked_not_processed: bool) -> AnswerKind {
    match status {
        StatusCode::OK => AnswerKind::Served,
        // Without the mark, these statuses do not prove that the request never ran.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if marked_not_processed => {
            AnswerKind::NotProcessed
        }
        // These statuses concern this sidecar's request rate or the upstream's read timeout, not the request
        // itself.
        StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => AnswerKind::Failed,
        status if status.is_client_error() => AnswerKind::InvalidRequest,
        _ => AnswerKind::Failed,
    }
}

/// Whether an answer's head marks the request as not processed: the header occurs exactly once, with the
/// value `1`. The mark does not count in an answer that has both a length and chunked framing, since two
/// readers may disagree on where it ends.
pub fn is_marked_not_processed(headers: &HeaderMap) -> bool {
    let mut marks = headers.get_all(NOT_PROCESSED).iter();
    let marked_once = marks.next().is_some_and(|value| value == "1") && marks.next().is_none();
    let ambiguous_framing =
        headers.contains_key(header::CONTENT_LENGTH) && headers.contains_key(header::TRANSFER_ENCODING);
    marked_once && !ambiguous_framing
}

#[cfg(test)]
mod tests;
