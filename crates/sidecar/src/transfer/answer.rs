//! The body of an answer on its way to a client: either buffered, or streamed piece by piece from the
//! upstream's connection as the client's connection polls for it.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::Version;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};

use super::answer_hold::AnswerLengths;
use super::limits::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};
use super::pace::Pace;
use super::pause_estimate::PauseEstimate;
use crate::budget::BufferPermit;
use crate::connection::Connection;
use crate::connection_activity::ConnectionActivity;
use crate::metrics::RequestOutcome;
use crate::request_bound::{RequestState, StreamProgress, bound};

/// An answer's body.
#[derive(Debug)]
pub enum AnswerBody {
    /// The whole body.
    Buffered(Bytes),
    /// A body that is forwarded as it arrives.
    Stream(Box<AnswerStream>),
}

impl AnswerBody {
    /// The length, if it is known.
    pub fn length(&self) -> Option<u64> {
        match self {
            AnswerBody::Buffered(bytes) => u64::try_from(bytes.len()).ok(),
            AnswerBody::Stream(stream) => stream.length,
        }
    }

    /// The bytes of a buffered body.
    pub fn buffered(&self) -> Option<&Bytes> {
        match self {
            AnswerBody::Buffered(bytes) => Some(bytes),
            AnswerBody::Stream(_) => None,
        }
    }

    /// Attaches the client's connection to a streamed body, so that it counts as busy until the end of the
    /// stream. An HTTP/1.0 client recognizes the end of an answer of unknown length only by the end of its
    /// connection.
    pub fn attach_connection(&mut self, client_connection: &Arc<ConnectionActivity>, version: Version) {
        if let AnswerBody::Stream(stream) = self {
            stream.client_connection = Some(client_connection.clone());
            stream.delimited_by_close = version == Version::HTTP_10 && stream.length.is_none();
        }
    }

    /// Whether the body is streamed.
    pub fn is_stream(&self) -> bool {
        matches!(self, AnswerBody::Stream(_))
    }
}

/// Why an answer is truncated. The text is not shown anywhere: hyper closes the client's connection.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// The upstream's connection failed, or its framing was malformed.
    #[error("reading the answer from the upstream failed: {0}")]
    Upstream(#[from] hyper::Error),
    /// No bytes arrived within the time bound of the stream.
    #[error("the upstream's answer stalled")]
    Stalled,
    /// The answer exceeds [`MAX_BODY_BYTES`].
    #[error("the answer is too long")]
    TooLong,
}

/// Called with the outcome of a stream, and with its upstream connection if that can be reused.
pub type EndCallback = Box<dyn FnOnce(RequestOutcome, Option<Connection>) + Send>;

/// An answer that is forwarded as it arrives. Its end callback is called when it is dropped, complete or not.
pub struct AnswerStream {
    first_bytes: Option<Bytes>,
    rest: Incoming,
    /// The length stated by the upstream.
    length: Option<u64>,
    forwarded_bytes: u64,
    upstream_connection: Option<Connection>,
    on_end: Option<EndCallback>,
    /// When the client stops waiting if the answer is short.
    deadline: Instant,
    estimates: StreamEstimates,
    pace: Pace,
    /// Whether the stream waits for bytes from the upstream.
    is_waiting: bool,
    timeout: Pin<Box<Sleep>>,
    reached_end: bool,
    truncated: bool,
    /// Set once the answer must be truncated, until the bytes before that have been written.
    pending_error: Option<StreamError>,
    client_connection: Option<Arc<ConnectionActivity>>,
    delimited_by_close: bool,
    _permit: BufferPermit,
}

/// Estimates from the answers of an instance, which this answer updates.
#[derive(Clone)]
pub struct StreamEstimates {
    /// How long answers may pause.
    pub pauses: Arc<PauseEstimate>,
    /// Whether answers without a stated length are long.
    pub lengths: Arc<AnswerLengths>,
}

/// The parts from which an [`AnswerStream`] is made.
pub struct StreamParts {
    /// Bytes of the body that have been read already.
    pub first: Bytes,
    /// The rest of the body.
    pub rest: Incoming,
    /// The length of the whole body, if the upstream has stated it.
    pub length: Option<u64>,
    /// The upstream's connection.
    pub connection: Connection,
    /// Called at the end of the stream.
    pub on_end: EndCallback,
    /// Held until the end of the stream.
    pub permit: BufferPermit,
    /// When the client stops waiting if the answer is short.
    pub deadline: Instant,
    /// Estimates from earlier answers.
    pub estimates: StreamEstimates,
    /// The pace of the answer so far.
    pub pace: Pace,
}

impl AnswerStream {
    /// Begins to stream an answer.
    pub fn new(parts: StreamParts) -> AnswerStream {
        let StreamParts { first, rest, length, connection, on_end, permit, deadline, estimates, pace } =
            parts;
        AnswerStream {
            first_bytes: Some(first).filter(|first| !first.is_empty()),
            rest,
            length,
            forwarded_bytes: 0,
            upstream_connection: Some(connection),
            on_end: Some(on_end),
            deadline,
            estimates,
            pace,
            is_waiting: false,
            timeout: Box::pin(sleep_until(deadline)),
            reached_end: false,
            truncated: false,
            pending_error: None,
            client_connection: None,
            delimited_by_close: false,
            _permit: permit,
        }
    }

    fn forward(&mut self, data: Bytes, cx: &Context<'_>) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        self.forwarded_bytes = self.forwarded_bytes.saturating_add(data.len() as u64);
        if self.forwarded_bytes > MAX_BODY_BYTES {
            return self.truncate_later(StreamError::TooLong, cx);
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    /// Truncates the answer at the next poll. When a body fails, hyper discards what it has not written. If
    /// that were the whole answer, the client would take the connection for an idle one that was closed, and
    /// send the request again.
    fn truncate_later(
        &mut self,
        error: StreamError,
        cx: &Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        self.pending_error = Some(error);
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn truncate(&mut self, error: StreamError) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        self.truncated = true;
        if let Some(client_connection) = self.client_connection.as_ref().filter(|_| self.delimited_by_close) {
            client_connection.set_reset_on_close();
        }
        Poll::Ready(Some(Err(error)))
    }

    /// Called while no bytes are available; ready once the time bound of the stream has passed.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if !std::mem::replace(&mut self.is_waiting, true) {
            self.pace.resume_waiting(Instant::now());
            let ends_at = bound(RequestState::Streaming(self.progress())).at;
            self.timeout.as_mut().reset(ends_at);
        }
        self.timeout.as_mut().poll(cx)
    }

    /// Records a piece of the body that has just been read.
    fn record_piece(&mut self, bytes: usize) {
        let now = Instant::now();
        if !std::mem::take(&mut self.is_waiting) {
            // The piece had arrived before the stream read on.
            self.pace.resume_waiting(now);
        }
        self.pace.record_piece(now, bytes);
    }

    fn progress(&self) -> StreamProgress {
        StreamProgress {
            deadline: self.deadline,
            pace: self.pace,
            longest_pause: self.estimates.pauses.longest_usual(),
            long_is_likely: self.estimates.lengths.long_is_likely(),
            forwarded_bytes: self.forwarded_bytes,
            length: self.length,
        }
    }

    fn is_complete(&self) -> bool {
        !self.truncated && (self.reached_end || self.length == Some(self.forwarded_bytes))
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
        if let Some(error) = this.pending_error.take() {
            return this.truncate(error);
        }
        if let Some(first_bytes) = this.first_bytes.take() {
            return this.forward(first_bytes, cx);
        }
        loop {
            match Pin::new(&mut this.rest).poll_frame(cx) {
                // Trailers are not forwarded: they belong to the upstream's connection.
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => {
                        this.record_piece(data.len());
                        return this.forward(data, cx);
                    }
                    Err(_) => {}
                },
                Poll::Ready(Some(Err(error))) => {
                    return this.truncate_later(StreamError::Upstream(error), cx);
                }
                Poll::Ready(None) => {
                    this.reached_end = true;
                    return Poll::Ready(None);
                }
                Poll::Pending if this.poll_timeout(cx).is_ready() => {
                    return this.truncate_later(StreamError::Stalled, cx);
                }
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first_bytes.is_none() && self.length == Some(self.forwarded_bytes)
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, |length| {
            SizeHint::with_exact(length.saturating_sub(self.forwarded_bytes))
        })
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        let complete = self.is_complete();
        let is_long = self.forwarded_bytes > MAX_BUFFERED_BODY_BYTES as u64;
        if self.length.is_none() && (complete || is_long) {
            self.estimates.lengths.record(is_long);
        }
        let outcome = match (complete, self.truncated) {
            (true, _) => RequestOutcome::Served,
            (false, true) => RequestOutcome::Failed,
            (false, false) => RequestOutcome::ClientDisconnected,
        };
        if let Some(client_connection) = self.client_connection.take() {
            client_connection.request_answered();
        }
        // The connection of an incomplete answer is closed.
        let connection = self.upstream_connection.take().filter(|_| complete);
        if let Some(connection) = &connection {
            connection.meter.mark_answer_complete();
        }
        if let Some(on_end) = self.on_end.take() {
            on_end(outcome, connection);
        }
    }
}

impl fmt::Debug for AnswerStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Stream({} of {:?} bytes)", self.forwarded_bytes, self.length)
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
            AnswerBody::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            AnswerBody::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            AnswerBody::Stream(stream) => Pin::new(&mut **stream).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Buffered(bytes) => bytes.is_empty(),
            AnswerBody::Stream(stream) => stream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            AnswerBody::Stream(stream) => stream.size_hint(),
        }
    }
}
