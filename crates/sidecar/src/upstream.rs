//! Exchanges with upstreams: attempts and probes. A connection carries one exchange at a time.

mod answer_memory;
mod answer_progress;
mod attempt_timeout;
mod hold;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode, header};
use sagemast_decide::api::*;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use self::answer_memory::AnswerMemory;
use self::answer_progress::AnswerWatch;
use self::attempt_timeout::wait_until_attempt_times_out;
use self::hold::{AnswerHold, HoldContext, wait_until_hold_over};
use crate::budget::{BufferBudget, BufferPermit, UpstreamPermit};
use crate::client_disconnect::WriteConditions;
use crate::connection::Connection;
use crate::execution::{self, Termination, Written};
use crate::headers;
use crate::log::Log;
use crate::messages::{Answer, AttemptEnd, AttemptInfo, EventSink};
use crate::metered_stream::Meter;
use crate::metrics::{Metrics, RequestOutcome};
use crate::request_bound::{RequestState, bound};
use crate::request_ids::AttemptLease;
use crate::transfer::answer::{self, AnswerBody, AnswerStream};
use crate::transfer::answer_hold::AnswerLengths;
use crate::transfer::body_buffer::BodyBuffer;
use crate::transfer::limits::{self, BodyHandling, MAX_BUFFERED_BODY_BYTES};
use crate::transfer::pace::Pace;
use crate::transfer::pause_estimate::PauseEstimate;
use crate::transfer::request_body::{AttemptBody, RequestBody};
use crate::transfer::upload::{Upload, UploadState};

/// Why an exchange yielded no answer.
enum ExchangeError {
    /// The connection broke or was closed.
    ConnectionLost,
    /// The answer is malformed; the request may have run.
    Malformed(&'static str),
}

/// Why an answer with this head cannot be read completely, or is framed ambiguously; `None` for a well-formed
/// head.
fn malformed_reason(head: &hyper::http::response::Parts) -> Option<&'static str> {
    let headers = &head.headers;
    let has_length = headers.contains_key(header::CONTENT_LENGTH);
    match (head.status, has_length && headers.contains_key(header::TRANSFER_ENCODING)) {
        (StatusCode::SWITCHING_PROTOCOLS, _) => Some("the answer switches to another protocol"),
        (_, true) => Some("the answer has both Content-Length and Transfer-Encoding"),
        _ => None,
    }
}

/// The part of an answer that has been received.
enum Received {
    /// All of it.
    Complete(Answer),
    /// The head and the first bytes of an answer that is to be streamed. Has a permit if the answer was held
    /// for longer than [`MIN_HOLD`].
    Streaming {
        head: Parts,
        first: Bytes,
        rest: Incoming,
        length: Option<u64>,
        pace: Pace,
        permit: Option<BufferPermit>,
    },
    /// The head. The body is not needed.
    HeadOnly(Answer),
}

/// Sends a request once and reads its answer until the answer is complete or may be streamed. An answer is
/// held only with a `hold_context`, and only if it has served the request.
async fn exchange(
    sender: &mut SendRequest<AttemptBody>,
    mut request: Request<AttemptBody>,
    meter: &Arc<Meter>,
    hold_context: Option<&HoldContext<'_>>,
    memory: &AnswerMemory<'_>,
) -> Result<Received, ExchangeError> {
    let interim_meter = meter.clone();
    hyper::ext::on_informational(&mut request, move |_| interim_meter.mark_interim_answer());
    let mut sending = std::pin::pin!(sender.send_request(request));
    let mut head_memory = None;
    let response = loop {
        tokio::select! {
            biased;
            response = &mut sending => break response.map_err(|_| ExchangeError::ConnectionLost)?,
            () = meter.head_gate().wait_until_memory_is_needed() => {
                head_memory = memory.wait_for_long_head(meter).await;
                meter.head_gate().allow();
            }
        }
    };
    meter.head_gate().allow();
    meter.mark_answer_started();
    let (head, mut body): (_, Incoming) = Response::into_parts(response);
    if let Some(reason) = malformed_reason(&head) {
        return Err(ExchangeError::Malformed(reason));
    }
    if head_memory.is_none() && headers::is_long(&head.headers, 0) {
        head_memory = memory.wait_for_long_head(meter).await;
    }
    // The memory of the head is held until the first bytes of the body are written behind it.
    let with_head = |bytes: Bytes| match head_memory {
        Some(permit) if !bytes.is_empty() => permit.attach_to(bytes),
        _ => bytes,
    };
    let length = body.size_hint().exact();
    let served = head.status == StatusCode::OK;
    let handling = match limits::body_handling(length) {
        BodyHandling::TooLong if served => return Err(ExchangeError::Malformed("the answer is too long")),
        // Of an answer that did not serve the request, only the status is passed on.
        BodyHandling::TooLong | BodyHandling::Stream if !served => {
            return Ok(Received::HeadOnly(without_body(head)));
        }
        handling => handling,
    };
    let is_long = handling == BodyHandling::Stream;
    let is_held = served && (is_long || handling == BodyHandling::UnknownLength);
    let mut hold = hold_context.filter(|_| is_held).map(|context| AnswerHold::new(context, is_long));
    let (mut buffer, mut pace) = (BodyBuffer::default(), Pace::new(Instant::now()));
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = wait_until_hold_over(&mut hold, &pace) => break,
        };
        match frame {
            None => {
                meter.mark_answer_complete();
                if let Some(hold) = &hold {
                    hold.record_complete();
                }
                let (Parts { status, headers, .. }, body) =
                    (head, AnswerBody::Buffered(with_head(buffer.take())));
                return Ok(Received::Complete(Answer { status, headers, body }));
            }
            Some(Ok(frame)) => {
                // Trailers apply to one hop only and are dropped.
                if let Ok(data) = frame.into_data() {
                    pace.record_piece(Instant::now(), data.len());
                    // A hold of some length has the memory already.
                    let has_memory = hold.as_ref().is_some_and(AnswerHold::has_memory);
                    let missing = buffer.missing_memory(data.len(), length).filter(|_| !has_memory);
                    if let Some(bytes) = missing {
                        let permit = memory.wait_for(memory.buffers.acquire_bytes(bytes), meter).await;
                        permit.into_iter().for_each(|permit| buffer.add_memory(permit));
                    }
                    buffer.push(data, length);
                }
            }
            Some(Err(_)) => return Err(ExchangeError::ConnectionLost),
        }
        let is_long = buffer.length() > MAX_BUFFERED_BODY_BYTES;
        match handling {
            BodyHandling::UnknownLength if is_long && !served => {
                return Ok(Received::HeadOnly(without_body(head)));
            }
            BodyHandling::UnknownLength if is_long => break,
            BodyHandling::Stream => break,
            _ => {}
        }
    }
    let permit = hold.and_then(AnswerHold::into_permit);
    Ok(Received::Streaming { head, first: with_head(buffer.take()), rest: body, length, pace, permit })
}

/// An answer with this head and an empty body.
fn without_body(head: Parts) -> Answer {
    let Parts { status, headers, .. } = head;
    Answer { status, headers, body: AnswerBody::Buffered(Bytes::new()) }
}

/// The connection over which an attempt was written, and how many bytes were written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WireUsage {
    /// Local port; 0 if there was no connection.
    pub local_port: u16,
    /// Bytes of the request that the kernel accepted.
    pub bytes_written: u64,
}

/// An event on a connection to an upstream.
pub enum UpstreamEvent {
    /// Connecting for an attempt succeeded or failed.
    Connected {
        /// The attempt.
        attempt: AttemptInfo,
        /// The connection, or why there is none.
        result: Result<Box<Connection>, String>,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptInfo,
        /// Its result.
        end: AttemptEnd,
        /// The attempt's use of its connection, for the trace.
        wire: WireUsage,
    },
    /// How the answer of an attempt goes on that has begun and of which nothing has been passed on.
    AnswerProgress(AttemptInfo, AnswerProgress),
    /// State of the upload that an attempt forwards: still in progress, or received completely.
    UploadStateChanged(AttemptInfo, UploadState),
    /// A streamed answer ended.
    StreamEnded {
        /// Its request.
        request: RequestId,
        /// How it ended.
        outcome: RequestOutcome,
    },
    /// A connection has become idle.
    Idle {
        /// The upstream to which the connection leads.
        upstream: UpstreamId,
        /// The incarnation of the upstream to which the connection was opened.
        incarnation: u64,
        /// The connection.
        connection: Box<Connection>,
    },
    /// A probe ended.
    ProbeEnded {
        /// The upstream that was probed.
        upstream: UpstreamId,
        /// The incarnation of the upstream that was probed.
        incarnation: u64,
        /// Its answer, if there was one in time.
        answer: Option<Answer>,
    },
}

/// Connects for an attempt, until `cancelled` resolves.
pub async fn connect_for_attempt(
    address: SocketAddr,
    permit: UpstreamPermit,
    attempt: AttemptInfo,
    cancelled: oneshot::Receiver<()>,
    events: EventSink<UpstreamEvent>,
) {
    let connect_by = bound(RequestState::Connecting(attempt.times())).at;
    let result = tokio::select! {
        result = Connection::open(address, connect_by, permit) => result,
        _ = cancelled => Err("cancelled while connecting".to_owned()),
    };
    events.send(UpstreamEvent::Connected { attempt, result: result.map(Box::new) });
}

/// State that all attempts of an instance share.
#[derive(Clone)]
pub struct AttemptContext {
    /// Log.
    pub log: Log,
    /// Metrics, which count the attempts that were written completely and the answers that were not held.
    pub metrics: Arc<Metrics>,
    /// Estimate of how long answers pause.
    pub pauses: Arc<PauseEstimate>,
    /// Estimate of whether answers of unknown length are long.
    pub answer_lengths: Arc<AnswerLengths>,
    /// Limit on streamed answers.
    pub buffers: BufferBudget,
}

/// The request that an attempt writes.
pub struct AttemptRequest {
    /// The request without its body.
    pub head: Request<AttemptBody>,
    /// Its body.
    pub body: RequestBody,
    /// Conditions for writing its first byte, if any.
    pub write_conditions: Option<WriteConditions>,
    /// The use of the request's id by the attempt.
    pub lease: AttemptLease,
}

/// Runs one attempt over a connection until the attempt ends, times out or is cancelled. It is cancelled when
/// `cancelled` resolves.
pub async fn run_attempt(
    mut connection: Connection,
    attempt_request: AttemptRequest,
    attempt: AttemptInfo,
    mut cancelled: oneshot::Receiver<()>,
    context: AttemptContext,
    events: EventSink<UpstreamEvent>,
) {
    let AttemptRequest { head: mut request, body, write_conditions, lease } = attempt_request;
    if headers::is_long(request.headers(), 0) {
        connection.meter.mark_grown_buffers();
    }
    // The attempt may have been cancelled, or the driver may have ended, before this task was first polled.
    if !matches!(cancelled.try_recv(), Err(oneshot::error::TryRecvError::Empty)) {
        lease.prove_not_run();
        events.send(UpstreamEvent::Ended {
            attempt,
            end: AttemptEnd::Outcome(Outcome::NotSent, None),
            wire: WireUsage::default(),
        });
        return return_connection(Some(connection), attempt.upstream, attempt.incarnation, &events);
    }
    let (meter, local_port) = (connection.meter.clone(), connection.local_port);
    meter.begin_exchange(Some((context.metrics.clone(), context.pauses.clone())), write_conditions);
    let upload = body.upload().cloned();
    *request.body_mut() = match body {
        RequestBody::Buffered(bytes) => AttemptBody::Buffered(Full::new(bytes)),
        RequestBody::Upload(upload) => match Upload::take_stream(&upload) {
            Some(body) => AttemptBody::Stream(body),
            None => {
                lease.prove_not_run();
                events.send(UpstreamEvent::Ended {
                    attempt,
                    end: AttemptEnd::Outcome(Outcome::NotSent, None),
                    wire: WireUsage::default(),
                });
                return return_connection(Some(connection), attempt.upstream, attempt.incarnation, &events);
            }
        },
    };
    let (termination, answer) = {
        let waiting_for_memory = AtomicBool::new(false);
        let memory = AnswerMemory { buffers: &context.buffers, waiting: &waiting_for_memory };
        let hold_context = HoldContext { attempt: &attempt, shared: &context };
        let answer_watch = AnswerWatch {
            attempt: &attempt,
            meter: &meter,
            pauses: &context.pauses,
            waiting_for_memory: &waiting_for_memory,
            can_be_replaced: upload.is_none(),
            events: &events,
        };
        let exchange = async {
            let mut received =
                exchange(&mut connection.sender, request, &meter, Some(&hold_context), &memory).await?;
            // Until a permit is available, an answer to be streamed waits unread at its upstream.
            if let Received::Streaming { permit: permit @ None, .. } = &mut received {
                *permit = memory.wait_for(context.buffers.acquire_transfer(), &meter).await;
            }
            Ok(received)
        };
        tokio::select! {
            biased;
            result = exchange => match result {
                Ok(Received::Complete(answer)) => {
                    context.pauses.record_complete_answer();
                    let marked = execution::is_marked_not_processed(&answer.headers);
                    let kind = execution::classify_answer(answer.status, marked);
                    let termination = Termination::Answered(kind);
                    // An upstream that answers early keeps reading the request. Unless all of the request was
                    // written, the connection is closed below, so that the rest cannot arrive any more.
                    if meter.request_written() == Written::Complete {
                        let end = attempt_end(termination, Written::Complete, Some(answer));
                        end_lease(lease, &end);
                        let wire = WireUsage { local_port, bytes_written: meter.request_bytes_written() };
                        events.send(UpstreamEvent::Ended { attempt, end, wire });
                        let connection = connection.into_idle().await;
                        return return_connection(connection, attempt.upstream, attempt.incarnation, &events);
                    }
                    (termination, Some(answer))
                }
                // The answer was not read to its end, so it may be malformed and a mark in it proves nothing.
                Ok(Received::HeadOnly(answer)) => {
                    (Termination::Answered(execution::classify_answer(answer.status, false)), Some(answer))
                }
                Ok(Received::Streaming { head, first, rest, length, pace, permit: Some(permit) }) => {
                    let stream_events = events.clone();
                    let on_end = Box::new(move |outcome, connection: Option<Connection>| {
                        // The attempt is out until its answer has ended.
                        drop(lease);
                        stream_events.send(UpstreamEvent::StreamEnded { request: attempt.request, outcome });
                        // Without a runtime the connection could not be used again, so it is closed.
                        if let (Some(connection), Ok(runtime)) = (connection, Handle::try_current()) {
                            runtime.spawn(async move {
                                let connection = connection.into_idle().await;
                                let (upstream, incarnation) = (attempt.upstream, attempt.incarnation);
                                return_connection(connection, upstream, incarnation, &stream_events);
                            });
                        }
                    });
                    let deadline = match upload.as_deref() {
                        Some(upload) => upload.last_incomplete_at() + attempt.client_timeout,
                        None => attempt.client_deadline,
                    };
                    let estimates = answer::StreamEstimates {
                        pauses: context.pauses.clone(),
                        lengths: context.answer_lengths.clone(),
                    };
                    let parts = answer::StreamParts {
                        first,
                        rest,
                        length,
                        connection,
                        on_end,
                        permit,
                        deadline,
                        estimates,
                        pace,
                    };
                    let body = AnswerBody::Stream(Box::new(AnswerStream::new(parts)));
                    let answer = Answer { status: head.status, headers: head.headers, body };
                    let end = AttemptEnd::Outcome(Outcome::Ok, Some(answer));
                    let wire = WireUsage { local_port, bytes_written: meter.request_bytes_written() };
                    events.send(UpstreamEvent::Ended { attempt, end, wire });
                    return;
                }
                Ok(Received::Streaming { permit: None, .. }) => (Termination::Malformed, None),
                Err(ExchangeError::ConnectionLost)
                    if upload.as_ref().is_some_and(|upload| upload.has_failed()) =>
                {
                    (Termination::BodyIncomplete, None)
                }
                Err(ExchangeError::ConnectionLost) => (Termination::ConnectionLost, None),
                Err(ExchangeError::Malformed(reason)) => {
                    context.log.line(format!("upstream {}: {reason}", attempt.upstream.0));
                    (Termination::Malformed, None)
                }
            },
            () = answer_watch.run_until_stalled() => {
                let upstream = attempt.upstream.0;
                context.log.line(format!("upstream {upstream}: the answer stalled before its end"));
                (Termination::Malformed, None)
            }
            _ = cancelled => (Termination::Cancelled, None),
            () = wait_until_attempt_times_out(&attempt, upload.as_deref(), &events) => {
                (Termination::TimedOut, None)
            }
        }
    };
    // The connection is closed before the written bytes are counted and before the driver is notified: the
    // next attempt must not be sent while this one may still run.
    let was_reused = connection.was_used;
    connection.close().await;
    // The disconnect of a client must not count against the upstream.
    let termination = if meter.is_request_obsolete() { Termination::Cancelled } else { termination };
    let written = meter.request_written();
    let execution = execution::execution(termination, written);
    let end = match execution::is_stale_connection(termination, execution, was_reused) {
        true => AttemptEnd::StaleConnection,
        false => attempt_end(termination, written, answer),
    };
    end_lease(lease, &end);
    events.send(UpstreamEvent::Ended {
        attempt,
        end,
        wire: WireUsage { local_port, bytes_written: meter.request_bytes_written() },
    });
}

/// Ends the use of the request's id by an attempt that has ended in this way.
fn end_lease(lease: AttemptLease, end: &AttemptEnd) {
    match end {
        AttemptEnd::Outcome(outcome, _) if outcome.may_have_run() => drop(lease),
        AttemptEnd::Outcome(..) | AttemptEnd::StaleConnection => lease.prove_not_run(),
    }
}

fn attempt_end(termination: Termination, written: Written, answer: Option<Answer>) -> AttemptEnd {
    let execution = execution::execution(termination, written);
    AttemptEnd::Outcome(execution::outcome(termination, execution), answer)
}

/// Probes an upstream and reports its answer, if the answer is complete by `probe_by`.
pub async fn run_probe(
    connection: ProbeConnection,
    request: Request<AttemptBody>,
    upstream: UpstreamId,
    incarnation: u64,
    probe_by: Instant,
    buffers: BufferBudget,
    events: EventSink<UpstreamEvent>,
) {
    let opened = match connection {
        ProbeConnection::Idle(connection) => Ok(*connection),
        ProbeConnection::New { address, connect_by, permit } => {
            Connection::open(address, connect_by.min(probe_by), permit).await
        }
    };
    let mut answer = None;
    if let Ok(mut connection) = opened {
        let meter = connection.meter.clone();
        meter.begin_exchange(None, None);
        let memory = AnswerMemory { buffers: &buffers, waiting: &AtomicBool::new(false) };
        let answered = exchange(&mut connection.sender, request, &meter, None, &memory);
        let result = timeout_at(probe_by, answered).await;
        if let Ok(Ok(Received::Complete(received))) = result {
            answer = Some(received);
            events.send(UpstreamEvent::ProbeEnded { upstream, incarnation, answer });
            return return_connection(connection.into_idle().await, upstream, incarnation, &events);
        }
        connection.close().await;
    }
    events.send(UpstreamEvent::ProbeEnded { upstream, incarnation, answer });
}

fn return_connection(
    connection: Option<Connection>,
    upstream: UpstreamId,
    incarnation: u64,
    events: &EventSink<UpstreamEvent>,
) {
    if let Some(connection) = connection {
        events.send(UpstreamEvent::Idle { upstream, incarnation, connection: Box::new(connection) });
    }
}

/// The connection for a probe.
pub enum ProbeConnection {
    /// An open connection.
    Idle(Box<Connection>),
    /// A connection that is still to be opened.
    New {
        /// Address of the upstream.
        address: SocketAddr,
        /// Time by which the connection must be open.
        connect_by: Instant,
        /// Permit for the connection.
        permit: UpstreamPermit,
    },
}
