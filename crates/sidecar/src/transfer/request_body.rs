//! A request's body: as it is kept for all attempts, and as one attempt writes it.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use super::upload::{Broken, Passing, Upload};

/// The body of a request.
#[derive(Debug, Clone)]
pub enum Kept {
    /// All of it.
    Whole(Bytes),
    /// What has come so far, and where the rest comes from.
    Upload(Arc<Upload>),
}

impl Kept {
    /// How long it is, where that is known.
    pub fn length(&self) -> Option<u64> {
        match self {
            Kept::Whole(bytes) => u64::try_from(bytes.len()).ok(),
            Kept::Upload(upload) => upload.length(),
        }
    }

    /// The upload, if it is one.
    pub fn upload(&self) -> Option<&Arc<Upload>> {
        match self {
            Kept::Whole(_) => None,
            Kept::Upload(upload) => Some(upload),
        }
    }
}

/// What an attempt writes.
pub enum Outgoing {
    /// All of it at once.
    Whole(Full<Bytes>),
    /// As it comes.
    Passing(Passing),
}

impl Outgoing {
    /// One without a body.
    pub fn empty() -> Outgoing {
        Outgoing::Whole(Full::new(Bytes::new()))
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut *self {
            Outgoing::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map(|frame| frame.map(|frame| frame.map_err(|error: Infallible| match error {}))),
            Outgoing::Passing(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Outgoing::Whole(body) => body.is_end_stream(),
            Outgoing::Passing(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Outgoing::Whole(body) => body.size_hint(),
            Outgoing::Passing(body) => body.size_hint(),
        }
    }
}
