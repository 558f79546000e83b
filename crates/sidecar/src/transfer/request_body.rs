//! A request's body: as it is kept for all attempts, and as one attempt writes it.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use super::upload::{Upload, UploadError, UploadStream};

/// The body of a request.
#[derive(Debug, Clone)]
pub enum RequestBody {
    /// All of it.
    Whole(Bytes),
    /// What has come so far, and where the rest comes from.
    Upload(Arc<Upload>),
}

impl RequestBody {
    /// How long it is, where that is known.
    pub fn length(&self) -> Option<u64> {
        match self {
            RequestBody::Whole(bytes) => u64::try_from(bytes.len()).ok(),
            RequestBody::Upload(upload) => upload.length(),
        }
    }

    /// The upload, if it is one.
    pub fn upload(&self) -> Option<&Arc<Upload>> {
        match self {
            RequestBody::Whole(_) => None,
            RequestBody::Upload(upload) => Some(upload),
        }
    }
}

/// What an attempt writes.
pub enum AttemptBody {
    /// All of it at once.
    Whole(Full<Bytes>),
    /// As it comes.
    Passing(UploadStream),
}

impl AttemptBody {
    /// One without a body.
    pub fn empty() -> AttemptBody {
        AttemptBody::Whole(Full::new(Bytes::new()))
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = UploadError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, UploadError>>> {
        match &mut *self {
            AttemptBody::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map(|frame| frame.map(|frame| frame.map_err(|error: Infallible| match error {}))),
            AttemptBody::Passing(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AttemptBody::Whole(body) => body.is_end_stream(),
            AttemptBody::Passing(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AttemptBody::Whole(body) => body.size_hint(),
            AttemptBody::Passing(body) => body.size_hint(),
        }
    }
}
