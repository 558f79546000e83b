//! A request body that is forwarded while it arrives. Its first bytes are kept; the rest is streamed to one
//! attempt.
//!
//! The body can be sent to another attempt as long as only the kept bytes have been read from the client, and
//! not after that.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep_until};

use super::client_progress::LastIncomplete;
use super::limits::{MAX_BODY_BYTES, body_due_by};
use crate::budget::BufferPermit;
use crate::connection_activity::ConnectionActivity;

/// The state of a streamed request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UploadState {
    /// The body is incomplete, or has not been read yet.
    Receiving,
    /// The client has written the last byte, and the kernel still holds a part of the body: the upstream takes
    /// it more slowly than the client wrote it, or not at all.
    Written,
    /// The body is complete; its last byte was received at this time.
    Complete(Instant),
    /// The body could not be read completely; the client gets this status.
    Failed(StatusCode),
}

/// The client's stream of the bytes that are not kept.
#[derive(Debug)]
enum Source {
    /// Nothing has been read from the stream.
    Unread(Box<Incoming>),
    /// An attempt has the stream, or has read from it.
    Taken,
}

/// A streamed request body, shared by the attempts of the request, of which at most one is in flight.
#[derive(Debug)]
pub struct Upload {
    first_bytes: Bytes,
    /// The length stated by the client.
    length: Option<u64>,
    /// When the head of the request was received.
    head_at: Instant,
    /// When the first bytes of the body were received.
    first_bytes_at: Instant,
    source: Mutex<Source>,
    state: watch::Sender<UploadState>,
    /// The client's connection.
    activity: Arc<ConnectionActivity>,
    /// When the client is known not to have written all of the body.
    last_incomplete: Mutex<LastIncomplete>,
    _permit: BufferPermit,
}

/// Locks a mutex. No code that holds the lock can panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Upload {
    /// An upload of which the first bytes have been read over the connection with this activity; its head was
    /// received at `head_at`.
    pub fn new(
        first_bytes: Bytes,
        rest: Incoming,
        length: Option<u64>,
        head_at: Instant,
        activity: Arc<ConnectionActivity>,
        permit: BufferPermit,
    ) -> Upload {
        let source = Mutex::new(Source::Unread(Box::new(rest)));
        let first_bytes_at = Instant::now();
        Upload {
            first_bytes,
            length,
            head_at,
            first_bytes_at,
            source,
            state: watch::Sender::new(UploadState::Receiving),
            activity,
            last_incomplete: Mutex::new(LastIncomplete::new(first_bytes_at)),
            _permit: permit,
        }
    }

    /// The length of the whole body, if the client has stated it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether an attempt can still send the body from its beginning.
    pub fn is_sendable(&self) -> bool {
        matches!(*lock(&self.source), Source::Unread(_))
    }

    /// The current state.
    pub fn state(&self) -> UploadState {
        *self.state.borrow()
    }

    /// Whether the body could not be read completely.
    pub fn has_failed(&self) -> bool {
        matches!(self.state(), UploadState::Failed(_))
    }

    /// Waits until the body is complete or has failed.
    pub async fn wait_until_settled(&self) -> UploadState {
        let mut states = self.state.subscribe();
        let is_settled =
            |state: &UploadState| !matches!(state, UploadState::Receiving | UploadState::Written);
        // Waiting cannot fail: `self` owns the sender.
        let _ = states.wait_for(is_settled).await;
        self.state()
    }

    /// The last time at which the client is known not to have written all of the body; the client's time runs
    /// from then.
    pub fn last_incomplete_at(&self) -> Instant {
        lock(&self.last_incomplete).at()
    }

    /// Finds out how much of the body the client has written, as far as it is not known already, and updates
    /// the state.
    pub fn observe_client(&self) {
        let mut last_incomplete = lock(&self.last_incomplete);
        if self.state() != UploadState::Receiving {
            return;
        }
        last_incomplete.record(Instant::now(), self.activity.client_progress());
        if last_incomplete.is_complete() {
            self.state.send_replace(UploadState::Written);
        }
    }

    /// Takes the body for an attempt; `None` if it can no longer be sent.
    pub fn take_stream(this: &Arc<Upload>) -> Option<UploadStream> {
        match std::mem::replace(&mut *lock(&this.source), Source::Taken) {
            Source::Unread(rest) => Some(UploadStream {
                upload: this.clone(),
                first_bytes: Some(this.first_bytes.clone()),
                rest: Some(rest),
                rest_was_read: false,
                forwarded_bytes: 0,
                timeout: Box::pin(sleep_until(body_due_by(this.head_at, 0))),
                not_polled_since: Some(this.first_bytes_at),
                not_polled_for: Duration::ZERO,
            }),
            Source::Taken => None,
        }
    }
}

/// The body that an attempt writes: the kept bytes, then the rest as it arrives. If the stream is dropped
/// before any of the rest was read, the next attempt can have the whole body.
pub struct UploadStream {
    upload: Arc<Upload>,
    first_bytes: Option<Bytes>,
    rest: Option<Box<Incoming>>,
    rest_was_read: bool,
    forwarded_bytes: u64,
    timeout: Pin<Box<Sleep>>,
    /// Since when the attempt has not polled for more bytes; `None` while it waits for some.
    not_polled_since: Option<Instant>,
    /// Sum of the times without polling, which do not count against the client's minimum rate.
    not_polled_for: Duration,
}

/// The client's body was truncated, malformed, too slow or too long.
#[derive(Debug, thiserror::Error)]
#[error("the client's request body could not be read completely")]
pub struct UploadError;

impl UploadStream {
    fn forward(&mut self, data: Bytes) -> Poll<Option<Result<Frame<Bytes>, UploadError>>> {
        self.forwarded_bytes = self.forwarded_bytes.saturating_add(data.len() as u64);
        if self.forwarded_bytes > MAX_BODY_BYTES {
            return self.fail(StatusCode::PAYLOAD_TOO_LARGE);
        }
        self.not_polled_since = Some(Instant::now());
        if self.upload.length == Some(self.forwarded_bytes) {
            self.complete();
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn fail(&mut self, status: StatusCode) -> Poll<Option<Result<Frame<Bytes>, UploadError>>> {
        self.upload.state.send_replace(UploadState::Failed(status));
        Poll::Ready(Some(Err(UploadError)))
    }

    fn complete(&mut self) {
        if matches!(self.upload.state(), UploadState::Receiving | UploadState::Written) {
            self.upload.state.send_replace(UploadState::Complete(Instant::now()));
        }
    }
}

impl Body for UploadStream {
    type Data = Bytes;
    type Error = UploadError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, UploadError>>> {
        let this = &mut *self;
        lock(&this.upload.last_incomplete).record_reading(Instant::now());
        if let Some(since) = this.not_polled_since.take() {
            this.not_polled_for += since.elapsed();
            let counted_from = this.upload.head_at + this.not_polled_for;
            this.timeout.as_mut().reset(body_due_by(counted_from, this.forwarded_bytes));
        }
        if let Some(first_bytes) = this.first_bytes.take().filter(|bytes| !bytes.is_empty()) {
            return this.forward(first_bytes);
        }
        let Some(rest) = &mut this.rest else { return Poll::Ready(None) };
        loop {
            match Pin::new(&mut **rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    this.rest_was_read = true;
                    // Trailers are not forwarded: they belong to the client's connection.
                    match frame.into_data() {
                        Ok(data) if !data.is_empty() => return this.forward(data),
                        _ => {}
                    }
                }
                Poll::Ready(Some(Err(_))) => {
                    this.rest_was_read = true;
                    return this.fail(StatusCode::BAD_REQUEST);
                }
                Poll::Ready(None) => {
                    this.rest_was_read = true;
                    this.complete();
                    return Poll::Ready(None);
                }
                Poll::Pending if this.timeout.as_mut().poll(cx).is_ready() => {
                    this.rest_was_read = true;
                    return this.fail(StatusCode::REQUEST_TIMEOUT);
                }
                Poll::Pending => {
                    lock(&this.upload.last_incomplete).record_waiting();
                    return Poll::Pending;
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.upload.length == Some(self.forwarded_bytes)
    }

    fn size_hint(&self) -> SizeHint {
        let bytes_left = self.upload.length.map(|length| length.saturating_sub(self.forwarded_bytes));
        bytes_left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for UploadStream {
    fn drop(&mut self) {
        if let Some(rest) = self.rest.take().filter(|_| !self.rest_was_read) {
            *lock(&self.upload.source) = Source::Unread(rest);
        }
    }
}
