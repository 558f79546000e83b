//! A request's body: as shared by all attempts, and as written by one attempt.

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
    /// The whole body.
    Buffered(Bytes),
    /// The first bytes, and the stream of the rest.
    Upload(Arc<Upload>),
}

impl RequestBody {
    /// The length, if it is known.
    pub fn length(&self) -> Option<u64> {
        match self {
            RequestBody::Buffered(bytes) => u64::try_from(bytes.len()).ok(),
            RequestBody::Upload(upload) => upload.length(),
        }
    }

    /// The upload, if the body is streamed.
    pub fn upload(&self) -> Option<&Arc<Upload>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Upload(upload) => Some(upload),
        }
    }
}

/// The body that one attempt writes.
pub enum AttemptBody {
    /// The whole body.
    Buffered(Full<Bytes>),
    /// A body that is forwarded while it arrives.
    Stream(UploadStream),
}

impl AttemptBody {
    /// An empty body.
    pub fn empty() -> AttemptBody {
        AttemptBody::Buffered(Full::new(Bytes::new()))
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
            AttemptBody::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map(|frame| frame.map(|frame| frame.map_err(|error: Infallible| match error {}))),
            AttemptBody::Stream(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AttemptBody::Buffered(body) => body.is_end_stream(),
            AttemptBody::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AttemptBody::Buffered(body) => body.size_hint(),
            AttemptBody::Stream(body) => body.size_hint(),
        }
    }
}
