//! The answers that the sidecar gives itself.

use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use sagemast_decide::api::Millis;

use crate::transfer::answer::AnswerBody;

/// The answer to a request that was not executed and may be retried, best after `retry_after`.
pub fn refused_response(retry_after: Millis) -> Response<AnswerBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let seconds = HeaderValue::from_str(&format!("{:.3}", retry_after / 1_000.0));
    if let (Ok(seconds), true) = (seconds, retry_after > 0.0) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// An answer with a short text.
pub fn text_response(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Buffered(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
