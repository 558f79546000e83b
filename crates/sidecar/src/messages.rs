//! What the parts of a sidecar tell each other, as plain values. This file knows none of the parts.

use std::sync::Arc;
use std::time::Duration;

use hyper::{HeaderMap, Method, StatusCode, Uri};
use sagemast_decide::api::*;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::client_disconnect::ClientConnection;
use crate::request_bound::AttemptTimes;
use crate::transfer::answer::AnswerBody;
use crate::transfer::request_body::RequestBody;

/// Where a part tells what happened, without knowing who listens or what else they hear.
pub struct EventSink<T>(Arc<dyn Fn(T) -> bool + Send + Sync>);

impl<T> Clone for EventSink<T> {
    fn clone(&self) -> EventSink<T> {
        EventSink(self.0.clone())
    }
}

impl<T: 'static> EventSink<T> {
    /// Into a channel that carries other messages as well. Who sends bounds what waits there: a part tells of a
    /// connection, an attempt or a watch only once it has ended or changed, and the number of those is bounded.
    pub fn new<M: From<T> + Send + 'static>(channel: mpsc::UnboundedSender<M>) -> EventSink<T> {
        EventSink(Arc::new(move |message| channel.send(message.into()).is_ok()))
    }

    /// To a function, which must not wait.
    pub fn from_fn(listener: impl Fn(T) -> bool + Send + Sync + 'static) -> EventSink<T> {
        EventSink(Arc::new(listener))
    }

    /// Where nobody listens.
    pub fn discard() -> EventSink<T> {
        EventSink(Arc::new(|_| true))
    }

    /// Tells it. False when the listener has ended; the message is dropped then.
    pub fn send(&self, message: T) -> bool {
        (self.0)(message)
    }
}

/// A request as it goes on to upstreams.
pub struct ForwardedRequest {
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body, unchanged.
    pub body: RequestBody,
    /// Who asks, where that can be told.
    pub client: Option<ClientConnection>,
}

/// A request for the driver.
pub struct RequestArrival {
    /// The id the module knows it by.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The id that its client gave it.
    pub id: Box<str>,
    /// When its last byte was read; of an upload, when it went on.
    pub received_at: Instant,
    /// How long its client waits from then on.
    pub time_left: Duration,
    /// What goes on to upstreams.
    pub forward: ForwardedRequest,
    /// Where its final answer goes.
    pub reply: oneshot::Sender<FinalAnswer>,
}

/// A final answer.
#[derive(Debug)]
pub enum FinalAnswer {
    /// An upstream's answer.
    Served(HeaderMap, AnswerBody),
    /// Trying again is harmless, best after this long.
    Refused(Millis),
    /// No promise.
    Failed,
    /// The client is at fault: it is told with this status.
    Rejected(StatusCode),
}

/// What clients do.
pub enum ClientEvent {
    /// A request came in.
    Arrived(Box<RequestArrival>),
    /// The client of an open request went away.
    Disconnected(RequestId),
}

/// One attempt on its way.
#[derive(Debug, Clone, Copy)]
pub struct AttemptInfo {
    /// The request.
    pub request: RequestId,
    /// Which of its sends.
    pub attempt: AttemptNo,
    /// Where to.
    pub upstream: UpstreamId,
    /// Which of the upstream's lives: connections do not outlast one.
    pub incarnation: u64,
    /// When the attempt is given up.
    pub until: Instant,
    /// By when it must have its connection: counted once, however many it tries.
    pub connect_by: Instant,
    /// By when its client should have the answer.
    pub aim_at: Instant,
    /// When its client stops waiting.
    pub deadline: Instant,
}

impl AttemptInfo {
    /// Its times, as its bounds depend on them.
    pub fn times(&self) -> AttemptTimes {
        AttemptTimes { connect_by: self.connect_by, until: self.until }
    }
}

/// An upstream's answer.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: AnswerBody,
}

/// What an attempt came to.
pub enum AttemptEnd {
    /// It ended so, with the answer if one came.
    Outcome(Outcome, Option<Answer>),
    /// The idle connection had been closed and no byte was written to it: another may be used.
    Stale,
}
