//! Whether an attempt may have run: one value, decided once for each attempt when its connection is closed or its answer is
//! whole, and the outcome that the module is told follows from it. Nobody else decides it. Pure.
//!
//! | how it ended | nothing was written | a part | the last byte, too |
//! | --- | --- | --- | --- |
//! | answered: turned away, and marked so | never ran | never ran | never ran |
//! | answered otherwise, or with what is no answer | may have run | may have run | may have run |
//! | the connection broke | not begun | never ran | may have run |
//! | its time was up | not begun | never ran | may have run |
//! | it was called off | not begun | never ran | may have run |
//! | its client's body never came whole | not begun | never ran | may have run |
//!
//! "Written" is what the kernel took, read off the bytes themselves ([`Written`]): a request whose last byte was not handed
//! over on a connection that is closed can never arrive.

use hyper::header::HeaderMap;
use hyper::{StatusCode, header};
use sagemast_decide::api::Outcome;

/// The mark of an answer to a request that was turned away unseen.
const NOT_PROCESSED: &str = "x-not-processed";

/// How much of a request was handed to the kernel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// Not a byte.
    Nothing,
    /// Some of it, and not the last byte.
    Partial,
    /// The last byte, or nobody can tell.
    Complete,
}

/// What a whole answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Says {
    /// Here is what was asked for.
    Served,
    /// It was turned away unseen.
    TurnedAway,
    /// The request is at fault, and would be anywhere.
    AtFault,
    /// Something went wrong.
    Failed,
}

/// How an attempt ended, as far as its connection tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum How {
    /// By an answer that came whole, or whose first bytes did.
    Answered(Says),
    /// By something that cannot be taken for an answer, or that stopped on its way.
    Spoilt,
    /// The connection broke or ended.
    Broke,
    /// Its time was up.
    TimedOut,
    /// It was called off.
    CalledOff,
    /// Its client's body never came whole.
    BodyBroke,
}

/// Whether an attempt may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// Nothing of it was written.
    NotBegun,
    /// It may have run, or may yet.
    MayHaveRun,
    /// It is proven that it has not and never will.
    NeverRan,
}

/// Whether an attempt that ended so may have run.
pub fn execution(how: How, written: Written) -> Execution {
    match (how, written) {
        (How::Answered(Says::TurnedAway), _) => Execution::NeverRan,
        // Whoever answers has seen something, whatever we know of what was written.
        (How::Answered(_) | How::Spoilt, _) | (_, Written::Complete) => Execution::MayHaveRun,
        (_, Written::Partial) => Execution::NeverRan,
        (_, Written::Nothing) => Execution::NotBegun,
    }
}

/// What the module is told of an attempt that ended so.
pub fn outcome(how: How, execution: Execution) -> Outcome {
    let may_have_run = execution == Execution::MayHaveRun;
    match (how, may_have_run) {
        (How::Answered(Says::Served), _) => Outcome::Ok,
        (How::Answered(Says::TurnedAway), _) => Outcome::Full,
        // It must not count against the upstream: what ends so tells the module nothing.
        (How::Answered(Says::AtFault), _) | (How::CalledOff, true) => Outcome::Cancelled,
        (How::Answered(Says::Failed) | How::Spoilt, _) => Outcome::Error,
        (How::Broke | How::BodyBroke, true) => Outcome::Reset,
        (How::TimedOut, true) => Outcome::TimedOut,
        (How::Broke | How::TimedOut, false) => Outcome::Unreachable,
        (How::CalledOff | How::BodyBroke, false) => Outcome::NotSent,
    }
}

/// Whether an attempt goes on over another connection: the idle one that it was given had been closed.
pub fn is_stale(how: How, execution: Execution, reused: bool) -> bool {
    reused && how == How::Broke && execution == Execution::NotBegun
}

/// What an answer says that came whole; `marked` as [`is_marked`] has it.
pub fn says(status: StatusCode, marked: bool) -> Says {
    match status {
        StatusCode::OK => Says::Served,
        // Without the mark nothing says that it never ran.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if marked => Says::TurnedAway,
        // About this sidecar's pace or the upstream's patience, not about the request.
        StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => Says::Failed,
        status if status.is_client_error() => Says::AtFault,
        _ => Says::Failed,
    }
}

/// Whether an answer's head says that the request was turned away unseen: once, and in so many words. A mark that comes twice
/// or with another value is none, nor is one beside two framings, which two readers would read differently.
pub fn is_marked(headers: &HeaderMap) -> bool {
    let mut marks = headers.get_all(NOT_PROCESSED).iter();
    let once = marks.next().is_some_and(|value| value == "1") && marks.next().is_none();
    let doubled =
        headers.contains_key(header::CONTENT_LENGTH) && headers.contains_key(header::TRANSFER_ENCODING);
    once && !doubled
}

#[cfg(test)]
mod tests;
