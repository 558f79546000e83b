//! The body of an answer on its way to the client.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::request_ids::IdLease;
use crate::transfer::answer::{AnswerBody, StreamError};

/// An answer's body, with the lease of the request's id: the request is open until its answer has been handed
/// to the connection.
pub struct ClientAnswer {
    body: AnswerBody,
    /// Whether the end of the body was reached.
    reached_end: bool,
    id_lease: Option<Arc<IdLease>>,
}

impl ClientAnswer {
    /// A body with the lease of its request, if the request has one.
    pub fn new(body: AnswerBody, id_lease: Option<Arc<IdLease>>) -> ClientAnswer {
        ClientAnswer { body, reached_end: false, id_lease }
    }
}

impl Body for ClientAnswer {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let result = Pin::new(&mut self.body).poll_frame(cx);
        self.reached_end |= matches!(result, Poll::Ready(None));
        result
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ClientAnswer {
    fn drop(&mut self) {
        let is_complete = self.reached_end || self.body.is_end_stream();
        if let Some(id_lease) = self.id_lease.as_ref().filter(|_| is_complete) {
            id_lease.mark_answered();
        }
    }
}
