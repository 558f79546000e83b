//! Reads the body of a request into memory of the budget.

use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use super::Front;
use crate::budget::BufferPermit;
use crate::connection_activity::ConnectionActivity;
use crate::request_bound::{Deadline, RequestState, bound};
use crate::transfer::body_buffer::BodyBuffer;
use crate::transfer::limits::MAX_BUFFERED_BODY_BYTES;

/// Why a body was not read.
pub enum BodyError {
    /// The request is answered with this status and reason.
    Rejected(StatusCode, &'static str),
    /// The request's time has passed without memory for its body. It was not executed.
    NoMemory,
}

/// Reads a body until it is complete or exceeds the buffer limit, as long as it keeps the minimum rate.
/// Returns the bytes read and, if the body is longer, the stream of its rest. While there is no memory for the
/// body, its rest stays in the kernel.
pub async fn buffer_body(
    mut body: Incoming,
    deadline: Deadline,
    stated_length: Option<u64>,
    front: &Front,
    activity: &ConnectionActivity,
) -> Result<(BodyBuffer, Option<Incoming>), BodyError> {
    let mut head_at = deadline.received_at();
    let mut buffer = BodyBuffer::default();
    while !body.is_end_stream() {
        let state = RequestState::Reading { head_at, bytes: buffer.length() as u64 };
        let frame = match timeout_at(bound(state).at, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => {
                return Err(BodyError::Rejected(StatusCode::BAD_REQUEST, "the body is broken"));
            }
            Ok(None) => break,
            Err(_) => {
                return Err(BodyError::Rejected(StatusCode::REQUEST_TIMEOUT, "the body did not come"));
            }
        };
        // Trailers are not forwarded: they belong to the client's connection.
        let Ok(data) = frame.into_data() else { continue };
        if let Some(bytes) = buffer.missing_memory(data.len(), stated_length) {
            let waiting_since = Instant::now();
            let is_long = stated_length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64);
            buffer.add_memory(match is_long {
                // There is no queue for uploads.
                true => front.buffers.try_acquire_transfer().ok_or(BodyError::NoMemory)?,
                false => wait_for_memory(bytes, deadline, front, activity).await?,
            });
            // The wait is not the client's fault.
            head_at += waiting_since.elapsed();
        }
        buffer.push(data, stated_length);
        if buffer.length() > MAX_BUFFERED_BODY_BYTES {
            return Ok((buffer, Some(body)));
        }
    }
    Ok((buffer, None))
}

/// Waits for memory for the body of a request, at most until the request's answer is due.
pub async fn wait_for_memory(
    bytes: usize,
    deadline: Deadline,
    front: &Front,
    activity: &ConnectionActivity,
) -> Result<BufferPermit, BodyError> {
    let wait_until = bound(RequestState::Queued(deadline)).at;
    // The end of the request may wait in the kernel, so that its connection must not be closed meanwhile.
    let _paused = activity.pause_reading();
    let permit = timeout_at(wait_until, front.buffers.acquire_bytes(bytes)).await;
    permit.ok().flatten().ok_or(BodyError::NoMemory)
}
