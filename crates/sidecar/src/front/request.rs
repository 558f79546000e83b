//! Serves one request: validates it, claims its id, reads its body, hands it to the driver and waits for the answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use hyper::body::{Body, Incoming};
use hyper::{Method, Request, Response, StatusCode, Uri};
use sagemast_decide::api::*;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Front;
use super::body::{BodyError, buffer_body, wait_for_memory};
use super::head::{ValidatedHead, validate_head};
use super::response::{refused_response, text_response};
use crate::connection_activity::ConnectionActivity;
use crate::headers::{self, LONG_HEAD_BYTES, end_to_end_headers};
use crate::messages::{ClientEvent, FinalAnswer, ForwardedRequest, RequestArrival};
use crate::request_bound::Deadline;
use crate::request_ids::{ClaimError, IdLease};
use crate::transfer::answer::AnswerBody;
use crate::transfer::request_body::RequestBody;
use crate::transfer::upload::Upload;

/// `Retry-After` of a request refused for lack of memory: transfers take seconds.
const MEMORY_RETRY_AFTER_MS: Millis = 500.0;
/// `Retry-After` of a request whose id could not be checked: another process of the sidecar is busy.
const CLAIM_RETRY_AFTER_MS: Millis = 100.0;

/// Notifies the driver if it is dropped before the answer: hyper drops the future of a request whose client
/// disconnects.
struct DisconnectGuard<'a> {
    request: RequestId,
    front: &'a Front,
    answered: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.front.events.send(ClientEvent::Disconnected(self.request));
        }
    }
}

/// Answers `/up`, rejects malformed requests, and forwards all others. Returns the answer, and the lease of the
/// request's id if the request has one.
pub async fn handle_request(
    request: Request<Incoming>,
    front: &Front,
    activity: &Arc<ConnectionActivity>,
) -> (Response<AnswerBody>, Option<Arc<IdLease>>) {
    if request.uri().path() == "/up" {
        return (readiness_response(request.method(), front), None);
    }
    let head_at = Instant::now();
    let validated = match validate_head(&request, &front.names) {
        Ok(validated) => validated,
        Err((status, reason)) => return (text_response(status, reason), None),
    };
    let effect = front.names.classes[validated.class.0].effect;
    match front.request_ids.claim(&validated.id, effect).await {
        Ok(lease) => {
            let response = forward_request(request, head_at, validated, &lease, front, activity).await;
            (response, Some(lease))
        }
        Err(ClaimError::InUse) => (text_response(StatusCode::CONFLICT, "the id is in use"), None),
        Err(ClaimError::NotAnswered) => (refused_response(CLAIM_RETRY_AFTER_MS), None),
    }
}

/// The answer to `/up`.
fn readiness_response(method: &Method, front: &Front) -> Response<AnswerBody> {
    let ready = front.metrics.ready.load(Ordering::Relaxed);
    match (method == Method::GET, front.lifecycle.borrow().reports_up(), ready) {
        (false, ..) => text_response(StatusCode::METHOD_NOT_ALLOWED, "use GET"),
        (true, true, true) => text_response(StatusCode::OK, "up"),
        (true, true, false) => text_response(StatusCode::SERVICE_UNAVAILABLE, "no list of upstreams yet"),
        (true, false, _) => text_response(StatusCode::SERVICE_UNAVAILABLE, "evacuated"),
    }
}

/// Reads the body of a valid request, hands the request to the driver and waits for its answer.
async fn forward_request(
    request: Request<Incoming>,
    head_at: Instant,
    validated: ValidatedHead,
    id_lease: &Arc<IdLease>,
    front: &Front,
    activity: &Arc<ConnectionActivity>,
) -> Response<AnswerBody> {
    let ValidatedHead { class, tenant, time_left, id } = validated;
    let (head, body) = request.into_parts();
    let stated_length = body.size_hint().exact();
    // The request may have been received completely with its head, so that its time may run from then.
    let deadline = Deadline::new(head_at, time_left, None);
    let target_bytes = head.uri.path_and_query().map_or(0, |target| target.as_str().len());
    let head_memory = match headers::is_long(&head.headers, target_bytes) {
        false => None,
        true => match wait_for_memory(LONG_HEAD_BYTES, deadline, front, activity).await {
            Ok(permit) => Some(permit),
            Err(_) => return refused_response(MEMORY_RETRY_AFTER_MS),
        },
    };
    let body = match buffer_body(body, deadline, stated_length, front, activity).await {
        Ok((mut buffer, None)) => RequestBody::Buffered(buffer.take()),
        Ok((mut buffer, Some(rest))) => match front.buffers.try_extend_to_transfer(buffer.take_permit()) {
            Some(permit) => {
                activity.long_body_started();
                let (first_bytes, activity) = (buffer.take_bytes(), activity.clone());
                let upload = Upload::new(first_bytes, rest, stated_length, head_at, activity, permit);
                RequestBody::Upload(Arc::new(upload))
            }
            // Nothing has been executed, and there is no queue for uploads.
            None => return refused_response(MEMORY_RETRY_AFTER_MS),
        },
        Err(BodyError::Rejected(status, reason)) => return text_response(status, reason),
        Err(BodyError::NoMemory) => return refused_response(MEMORY_RETRY_AFTER_MS),
    };
    let received_at = Instant::now();
    activity.request_opened();
    // A client may send an absolute URI; upstreams always get path and query only.
    let target = head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    let request = RequestId(front.next_request_id.fetch_add(1, Ordering::Relaxed));
    let (reply, answer) = oneshot::channel();
    let (headers, client) = (end_to_end_headers(&head.headers), activity.client());
    let id_lease = id_lease.clone();
    let forward =
        ForwardedRequest { method: head.method, target, headers, body, client, head_memory, id_lease };
    let arrival = RequestArrival { request, class, tenant, id, received_at, time_left, forward, reply };
    let mut guard = DisconnectGuard { request, front, answered: false };
    front.events.send(ClientEvent::Arrived(Box::new(arrival)));
    let answer = answer.await;
    guard.answered = true;
    match answer {
        Ok(FinalAnswer::Served(headers, body)) => {
            let mut response = Response::new(body);
            *response.headers_mut() = headers;
            response
        }
        Ok(FinalAnswer::Refused(retry_after)) => refused_response(retry_after),
        Ok(FinalAnswer::Rejected(status)) => text_response(status, "the request cannot be served"),
        Ok(FinalAnswer::Failed) | Err(_) => text_response(StatusCode::BAD_GATEWAY, "failed"),
    }
}
