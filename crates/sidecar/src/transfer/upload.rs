//! A request's body that goes on while it comes: its first bytes, which are kept, and the rest, which passes once.
//!
//! What may be sent again is decided here: everything while nothing but the kept bytes was taken from the client, nothing
//! after that.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep_until};

use super::limits::{MOST_BYTES, body_by};
use crate::budget::TransferPermit;

/// What became of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UploadState {
    /// It is still coming, or has not been asked for.
    Coming,
    /// Its last byte came then.
    Whole(Instant),
    /// It never came whole, and this is what its client is told.
    Broken(StatusCode),
}

/// Where the bytes are.
#[derive(Debug)]
enum Source {
    /// Nothing but the kept bytes was taken.
    Kept(Box<Incoming>),
    /// An attempt has it, or it has passed.
    Gone,
}

/// A body of a request, shared by its attempts, of which one is out at most.
#[derive(Debug)]
pub struct Upload {
    first: Bytes,
    /// As the client stated it.
    length: Option<u64>,
    /// When its head had come, and when its first bytes had.
    began: Instant,
    gathered: Instant,
    source: Mutex<Source>,
    fate: watch::Sender<UploadState>,
    _room: TransferPermit,
}

/// Nothing that is held under it can panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Upload {
    /// A body of which so much has come; its head came then.
    pub fn new(
        first: Bytes,
        rest: Incoming,
        length: Option<u64>,
        began: Instant,
        room: TransferPermit,
    ) -> Upload {
        let source = Mutex::new(Source::Kept(Box::new(rest)));
        Upload {
            first,
            length,
            began,
            gathered: Instant::now(),
            source,
            fate: watch::Sender::new(UploadState::Coming),
            _room: room,
        }
    }

    /// How long it is in all, where the client has said so.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether an attempt can have it.
    pub fn can_be_sent(&self) -> bool {
        matches!(*lock(&self.source), Source::Kept(_))
    }

    /// What became of it.
    pub fn fate(&self) -> UploadState {
        *self.fate.borrow()
    }

    /// Whether it never came whole.
    pub fn is_broken(&self) -> bool {
        matches!(self.fate(), UploadState::Broken(_))
    }

    /// Comes back once it no longer comes.
    pub async fn settled(&self) -> UploadState {
        let mut fates = self.fate.subscribe();
        // It cannot fail: the sender is here.
        let _ = fates.wait_for(|fate| *fate != UploadState::Coming).await;
        self.fate()
    }

    /// The body for an attempt; `None` if it can have none.
    pub fn body(this: &Arc<Upload>) -> Option<UploadStream> {
        match std::mem::replace(&mut *lock(&this.source), Source::Gone) {
            Source::Kept(rest) => Some(UploadStream {
                upload: this.clone(),
                first: Some(this.first.clone()),
                rest: Some(rest),
                touched: false,
                passed: 0,
                limit: Box::pin(sleep_until(body_by(this.began, 0))),
                unasked: Some(this.gathered),
                held: Duration::ZERO,
            }),
            Source::Gone => None,
        }
    }
}

/// What an attempt writes: the kept bytes, then the rest as it comes. Dropped before any of the rest was taken it leaves all
/// for the next attempt.
pub struct UploadStream {
    upload: Arc<Upload>,
    first: Option<Bytes>,
    rest: Option<Box<Incoming>>,
    touched: bool,
    passed: u64,
    limit: Pin<Box<Sleep>>,
    /// Since when nothing has been asked for, and for how long that was in all: it is not the client's fault.
    unasked: Option<Instant>,
    held: Duration,
}

/// A body that never came whole.
#[derive(Debug, thiserror::Error)]
#[error("the client's body did not come whole")]
pub struct UploadError;

impl UploadStream {
    fn pass(&mut self, data: Bytes) -> Poll<Option<Result<Frame<Bytes>, UploadError>>> {
        self.passed = self.passed.saturating_add(data.len() as u64);
        if self.passed > MOST_BYTES {
            return self.breaks(StatusCode::PAYLOAD_TOO_LARGE);
        }
        self.unasked = Some(Instant::now());
        if self.upload.length == Some(self.passed) {
            self.ends();
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn breaks(&mut self, status: StatusCode) -> Poll<Option<Result<Frame<Bytes>, UploadError>>> {
        self.upload.fate.send_replace(UploadState::Broken(status));
        Poll::Ready(Some(Err(UploadError)))
    }

    fn ends(&mut self) {
        if self.upload.fate() == UploadState::Coming {
            self.upload.fate.send_replace(UploadState::Whole(Instant::now()));
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
        if let Some(since) = this.unasked.take() {
            this.held += since.elapsed();
            this.limit.as_mut().reset(body_by(this.upload.began + this.held, this.passed));
        }
        if let Some(first) = this.first.take().filter(|first| !first.is_empty()) {
            return this.pass(first);
        }
        let Some(rest) = &mut this.rest else { return Poll::Ready(None) };
        loop {
            match Pin::new(&mut **rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    this.touched = true;
                    // Trailers end with the connection that they came on.
                    match frame.into_data() {
                        Ok(data) if !data.is_empty() => return this.pass(data),
                        _ => {}
                    }
                }
                Poll::Ready(Some(Err(_))) => {
                    this.touched = true;
                    return this.breaks(StatusCode::BAD_REQUEST);
                }
                Poll::Ready(None) => {
                    this.touched = true;
                    this.ends();
                    return Poll::Ready(None);
                }
                Poll::Pending if this.limit.as_mut().poll(cx).is_ready() => {
                    this.touched = true;
                    return this.breaks(StatusCode::REQUEST_TIMEOUT);
                }
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.upload.length == Some(self.passed)
    }

    fn size_hint(&self) -> SizeHint {
        let left = self.upload.length.map(|length| length.saturating_sub(self.passed));
        left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for UploadStream {
    fn drop(&mut self) {
        if let Some(rest) = self.rest.take().filter(|_| !self.touched) {
            *lock(&self.upload.source) = Source::Kept(rest);
        }
    }
}
