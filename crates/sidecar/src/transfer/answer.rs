//! An answer's body on its way to a client: held whole, or pulled piece by piece out of the upstream's connection by the
//! client's.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::Version;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};

use super::answer_hold::AnswerLengths;
use super::limits::{MOST_BYTES, WHOLE_BYTES};
use super::stall_timeout::StallTimeout;
use crate::budget::TransferPermit;
use crate::connection::Connection;
use crate::connection_activity::ConnectionActivity;
use crate::metrics::RequestOutcome;
use crate::request_bound::{RequestState, StreamProgress, bound};

/// An answer's body.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// As it comes.
    Stream(Box<AnswerStream>),
}

impl AnswerBody {
    /// How long it is, where that is known.
    pub fn length(&self) -> Option<u64> {
        match self {
            AnswerBody::Whole(bytes) => u64::try_from(bytes.len()).ok(),
            AnswerBody::Stream(stream) => stream.length,
        }
    }

    /// Its bytes, if it is held whole.
    pub fn whole(&self) -> Option<&Bytes> {
        match self {
            AnswerBody::Whole(bytes) => Some(bytes),
            AnswerBody::Stream(_) => None,
        }
    }

    /// Keeps a client's connection from counting as free until it is through. A client of HTTP/1.0 can tell the end of an
    /// answer of unknown length only by the end of its connection.
    pub fn occupies(&mut self, slot: &Arc<ConnectionActivity>, version: Version) {
        if let AnswerBody::Stream(stream) = self {
            stream.slot = Some(slot.clone());
            stream.delimited_by_close = version == Version::HTTP_10 && stream.length.is_none();
        }
    }

    /// Whether it is a stream.
    pub fn is_stream(&self) -> bool {
        matches!(self, AnswerBody::Stream(_))
    }
}

/// Why a body ended before its end. What it says goes nowhere: hyper ends the client's connection.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// The upstream's connection broke, or its framing did.
    #[error("the upstream broke off: {0}")]
    Upstream(#[from] hyper::Error),
    /// Nothing came for too long.
    #[error("the upstream stopped")]
    Still,
    /// It went on beyond what any answer holds.
    #[error("the answer is too long")]
    TooLong,
}

/// Told how a stream has ended, with its connection if that can be used again.
pub type EndCallback = Box<dyn FnOnce(RequestOutcome, Option<Connection>) + Send>;

/// An answer that goes on as it comes. Its end is told when it is dropped, whole or not.
pub struct AnswerStream {
    first: Option<Bytes>,
    rest: Incoming,
    /// As the upstream stated it.
    length: Option<u64>,
    passed: u64,
    connection: Option<Connection>,
    end: Option<EndCallback>,
    /// When its client stops waiting for a short answer.
    deadline: Instant,
    learnt: StreamEstimates,
    /// Since when it has waited for the upstream, while it does.
    waiting_since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
    ended: bool,
    torn: bool,
    /// Why it is to be torn, once what went before has been written.
    tearing: Option<StreamError>,
    slot: Option<Arc<ConnectionActivity>>,
    delimited_by_close: bool,
    _room: TransferPermit,
}

/// What the answers of an instance have taught, and what is learnt from this one.
#[derive(Clone)]
pub struct StreamEstimates {
    /// How long answers pause.
    pub patience: Arc<StallTimeout>,
    /// How long those turn out that state no length.
    pub lengths: Arc<AnswerLengths>,
}

/// What a stream is made of.
pub struct StreamParts {
    /// Bytes that have been read already.
    pub first: Bytes,
    /// Where the others come from.
    pub rest: Incoming,
    /// How many there are in all, if the upstream has stated it.
    pub length: Option<u64>,
    /// The connection that they come on.
    pub connection: Connection,
    /// Called at its end.
    pub end: EndCallback,
    /// The room that it takes.
    pub room: TransferPermit,
    /// When its client stops waiting for a short answer.
    pub deadline: Instant,
    /// What was learnt from others.
    pub learnt: StreamEstimates,
}

impl AnswerStream {
    /// One that has just begun.
    pub fn new(parts: StreamParts) -> AnswerStream {
        let StreamParts { first, rest, length, connection, end, room, deadline, learnt } = parts;
        AnswerStream {
            first: Some(first).filter(|first| !first.is_empty()),
            rest,
            length,
            passed: 0,
            connection: Some(connection),
            end: Some(end),
            deadline,
            learnt,
            waiting_since: None,
            timer: Box::pin(sleep_until(deadline)),
            ended: false,
            torn: false,
            tearing: None,
            slot: None,
            delimited_by_close: false,
            _room: room,
        }
    }

    fn pass(&mut self, data: Bytes, cx: &Context<'_>) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        self.passed = self.passed.saturating_add(data.len() as u64);
        if self.passed > MOST_BYTES {
            return self.tear_later(StreamError::TooLong, cx);
        }
        self.waiting_since = None;
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    /// Tears the answer at the next poll. hyper throws away what it has not written when a body fails: where nothing of the
    /// answer had been, a client would take its connection for an idle one that was closed, and send the request again.
    fn tear_later(
        &mut self,
        why: StreamError,
        cx: &Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        self.tearing = Some(why);
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn tear(&mut self, why: StreamError) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        self.torn = true;
        if let Some(slot) = self.slot.as_ref().filter(|_| self.delimited_by_close) {
            slot.reset_on_close();
        }
        Poll::Ready(Some(Err(why)))
    }

    /// Nothing has come: whether that has lasted for too long.
    fn poll_overdue(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.waiting_since.is_none() {
            let now = Instant::now();
            self.waiting_since = Some(now);
            let ends_at = bound(RequestState::Streaming(self.progress(now))).at;
            self.timer.as_mut().reset(ends_at);
        }
        self.timer.as_mut().poll(cx)
    }

    fn progress(&self, waiting_since: Instant) -> StreamProgress {
        StreamProgress {
            deadline: self.deadline,
            waiting_since,
            longest_pause: self.learnt.patience.learnt(),
            passed_bytes: self.passed,
            length: self.length,
        }
    }

    fn is_whole(&self) -> bool {
        !self.torn && (self.ended || self.length == Some(self.passed))
    }
}

impl Body for AnswerStream {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let this = &mut *self;
        if let Some(why) = this.tearing.take() {
            return this.tear(why);
        }
        if let Some(first) = this.first.take() {
            return this.pass(first, cx);
        }
        loop {
            match Pin::new(&mut this.rest).poll_frame(cx) {
                // Trailers end with the connection that they came on.
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return this.pass(data, cx),
                    Err(_) => {}
                },
                Poll::Ready(Some(Err(error))) => return this.tear_later(StreamError::Upstream(error), cx),
                Poll::Ready(None) => {
                    this.ended = true;
                    return Poll::Ready(None);
                }
                Poll::Pending if this.poll_overdue(cx).is_ready() => {
                    return this.tear_later(StreamError::Still, cx);
                }
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.length == Some(self.passed)
    }

    fn size_hint(&self) -> SizeHint {
        self.length
            .map_or_else(SizeHint::default, |length| SizeHint::with_exact(length.saturating_sub(self.passed)))
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        let whole = self.is_whole();
        let is_long = self.passed > WHOLE_BYTES as u64;
        if self.length.is_none() && (whole || is_long) {
            self.learnt.lengths.learn(is_long);
        }
        let came = match (whole, self.torn) {
            (true, _) => RequestOutcome::Served,
            (false, true) => RequestOutcome::Failed,
            (false, false) => RequestOutcome::Left,
        };
        if let Some(slot) = self.slot.take() {
            slot.free();
        }
        // One that is not whole is closed as it is.
        let connection = self.connection.take().filter(|_| whole);
        if let Some(connection) = &connection {
            connection.meter.answered();
        }
        if let Some(end) = self.end.take() {
            end(came, connection);
        }
    }
}

impl fmt::Debug for AnswerStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Stream({} of {:?} bytes)", self.passed, self.length)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        match &mut *self {
            AnswerBody::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            AnswerBody::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            AnswerBody::Stream(stream) => Pin::new(&mut **stream).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.is_empty(),
            AnswerBody::Stream(stream) => stream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            AnswerBody::Stream(stream) => stream.size_hint(),
        }
    }
}
