//! Messages between the parts of a sidecar, as plain values. This module depends on none of the parts that
//! exchange them.

use std::sync::Arc;
use std::time::Duration;

use hyper::{HeaderMap, Method, StatusCode, Uri};
use sagemast_decide::api::*;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::budget::BufferPermit;
use crate::client_disconnect::ClientConnection;
use crate::request_bound::AttemptTimes;
use crate::request_ids::IdLease;
use crate::transfer::answer::AnswerBody;
use crate::transfer::request_body::RequestBody;

/// Destination for events of one type. The sender does not see the receiver or its other event types.
pub struct EventSink<T>(Arc<dyn Fn(T) -> bool + Send + Sync>);

impl<T> Clone for EventSink<T> {
    fn clone(&self) -> EventSink<T> {
        EventSink(self.0.clone())
    }
}

impl<T: 'static> EventSink<T> {
    /// Sends into a channel that also carries other messages. The channel needs no bound of its own: each
    /// event reports the end or a change of a connection, an attempt or a watch, and the number of these is
    /// bounded.
    pub fn new<M: From<T> + Send + 'static>(channel: mpsc::UnboundedSender<M>) -> EventSink<T> {
        EventSink(Arc::new(move |event| channel.send(event.into()).is_ok()))
    }

    /// Passes each event to a function, which must not block. The function returns false once its receiver
    /// has ended.
    pub fn from_fn(receive: impl Fn(T) -> bool + Send + Sync + 'static) -> EventSink<T> {
        EventSink(Arc::new(receive))
    }

    /// Drops every event.
    pub fn discard() -> EventSink<T> {
        EventSink(Arc::new(|_| true))
    }

    /// Sends an event. Returns false if the receiver has ended; the event is dropped then.
    pub fn send(&self, event: T) -> bool {
        (self.0)(event)
    }
}

/// A request as it is forwarded to upstreams.
pub struct ForwardedRequest {
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body, unchanged.
    pub body: RequestBody,
    /// The client's connection, if its disconnect can be detected.
    pub client: Option<ClientConnection>,
    /// Memory of a long head, held until the request has ended.
    pub head_memory: Option<BufferPermit>,
    /// The right to use the id that the client gave the request.
    pub id_lease: Arc<IdLease>,
}

/// A new request for the driver.
pub struct RequestArrival {
    /// Id of the request in the decision module.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The id that the client gave the request.
    pub id: Box<str>,
    /// When the last byte of the request was read; for an upload, when the request was passed to the driver.
    pub received_at: Instant,
    /// How long the client waits from `received_at` on.
    pub time_left: Duration,
    /// The request to forward to upstreams.
    pub forward: ForwardedRequest,
    /// Receives the final answer.
    pub reply: oneshot::Sender<FinalAnswer>,
}

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalAnswer {
    /// An upstream's answer.
    Served(HeaderMap, AnswerBody),
    /// The request was not executed and may be retried, preferably after this time.
    Refused(Millis),
    /// The request failed and may have been executed.
    Failed,
    /// The request is invalid; the client gets this status.
    Rejected(StatusCode),
}

/// An event on the client side.
pub enum ClientEvent {
    /// A request arrived.
    Arrived(Box<RequestArrival>),
    /// The client of an open request disconnected.
    Disconnected(RequestId),
}

/// Identity and time limits of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptInfo {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt within its request.
    pub number: AttemptNo,
    /// The upstream to which the attempt is sent.
    pub upstream: UpstreamId,
    /// The incarnation of the upstream for which the attempt was decided. Connections do not outlast an
    /// incarnation.
    pub incarnation: u64,
    /// When the attempt times out.
    pub attempt_deadline: Instant,
    /// When the attempt must have a connection, however many connections it tries.
    pub connect_by: Instant,
    /// When the client should have its answer.
    pub aim_at: Instant,
    /// When the client stops waiting; for an upload, if all of it had arrived with its first bytes.
    pub client_deadline: Instant,
    /// How long the client waits, counted from the request's last byte.
    pub client_timeout: Duration,
}

impl AttemptInfo {
    /// The time limits from which the bounds of its states are derived.
    pub fn times(&self) -> AttemptTimes {
        AttemptTimes { connect_by: self.connect_by, times_out_at: self.attempt_deadline }
    }
}

/// An upstream's answer.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: AnswerBody,
}

/// Result of an attempt.
pub enum AttemptEnd {
    /// The attempt has ended, with an answer if one was received.
    Outcome(Outcome, Option<Answer>),
    /// The idle connection had been closed before any byte was written to it; the attempt may use another
    /// connection.
    StaleConnection,
}
