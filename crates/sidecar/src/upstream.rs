//! The one exchange at a time that a connection to an upstream carries: attempts and probes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode, header};
use sagemast_decide::api::*;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::budget::{TransferLimit, TransferPermit, UpstreamPermit};
use crate::client_disconnect::WriteConditions;
use crate::connection::Connection;
use crate::execution::{self, How, Written};
use crate::log::Log;
use crate::messages::{Answer, AttemptEnd, AttemptInfo, EventSink};
use crate::metered_stream::Meter;
use crate::metrics::{Metrics, RequestOutcome};
use crate::request_bound::{RequestState, bound};
use crate::transfer::answer::{self, AnswerBody, AnswerStream};
use crate::transfer::answer_hold::{AnswerLengths, HoldTimes, Pace, SHORT_HOLD, hold_until};
use crate::transfer::body_buffer::BodyBuffer;
use crate::transfer::limits::{self, BodyHandling, WHOLE_BYTES};
use crate::transfer::request_body::{AttemptBody, RequestBody};
use crate::transfer::stall_timeout::StallTimeout;
use crate::transfer::upload::{Upload, UploadState};

/// Why there is no answer.
enum Broken {
    /// The connection broke or ended.
    Cut,
    /// An answer came that cannot be taken for one; the request may have run.
    Unfit(&'static str),
}

/// Tells from its head that an answer cannot be read whole, or that two readers would differ on where it ends.
fn unfit(head: &hyper::http::response::Parts) -> Option<&'static str> {
    let headers = &head.headers;
    let length = headers.contains_key(header::CONTENT_LENGTH);
    match (head.status, length && headers.contains_key(header::TRANSFER_ENCODING)) {
        (StatusCode::SWITCHING_PROTOCOLS, _) => Some("an answer that leaves HTTP"),
        (_, true) => Some("an answer with two framings"),
        _ => None,
    }
}

/// What has come of an answer.
enum Got {
    /// All of it.
    Whole(Answer),
    /// Its head and first bytes; it goes on as it comes. It has room for that if it was held.
    Begun { head: Parts, first: Bytes, rest: Incoming, length: Option<u64>, room: Option<TransferPermit> },
    /// Its head; what follows is of no use to anyone.
    Head(Answer),
}

/// What the holding of an answer of unknown length goes by.
struct Holder<'a> {
    flight: &'a AttemptInfo,
    common: &'a Common,
}

/// The hold of one answer of unknown length.
struct Hold<'a> {
    holder: &'a Holder<'a>,
    head_at: Instant,
    until: Instant,
    pace: Pace,
    /// The room that it takes once it has lasted for longer than [`SHORT_HOLD`]; it goes on in the same.
    room: Option<TransferPermit>,
}

impl<'a> Hold<'a> {
    fn new(holder: &'a Holder<'a>) -> Hold<'a> {
        let head_at = Instant::now();
        Hold { holder, head_at, until: head_at + SHORT_HOLD, pace: Pace::new(head_at), room: None }
    }

    /// Comes back when the answer is not to be held any longer. One that has stopped is held until its next piece: nobody gains
    /// by its head, and another attempt can still replace it.
    async fn is_over(&mut self) {
        loop {
            sleep_until(self.until).await;
            if self.lengthen() {
                continue;
            }
            let now = Instant::now();
            // Without room it goes on as it comes, whatever it may be.
            if self.pace.is_coming(now) && (self.room.is_none() || self.pace.may_be_long(now)) {
                return;
            }
            std::future::pending::<()>().await;
        }
    }

    /// Once its first time is over: goes on for as long as the answer is worth holding, if there is room.
    fn lengthen(&mut self) -> bool {
        if self.room.is_some() {
            return false;
        }
        let Holder { flight, common } = self.holder;
        self.room = common.transfers.take();
        if self.room.is_none() {
            common.metrics.unheld_answers.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        let times = HoldTimes { head_at: self.head_at, aim_at: flight.aim_at, attempt_until: flight.until };
        self.until = hold_until(times, common.lengths.long_expected());
        true
    }
}

/// Sends a request once and reads its answer: whole, or until it may go on as it comes. What nobody waits for is not held.
async fn exchange(
    sender: &mut SendRequest<AttemptBody>,
    mut request: Request<AttemptBody>,
    meter: &Arc<Meter>,
    holder: Option<&Holder<'_>>,
) -> Result<Got, Broken> {
    let notices = meter.clone();
    hyper::ext::on_informational(&mut request, move |_| notices.answer_is_to_come());
    let response = sender.send_request(request).await.map_err(|_| Broken::Cut)?;
    meter.answer_has_begun();
    let (head, mut body): (_, Incoming) = Response::into_parts(response);
    if let Some(reason) = unfit(&head) {
        return Err(Broken::Unfit(reason));
    }
    let length = body.size_hint().exact();
    let served = head.status == StatusCode::OK;
    let plan = match limits::plan(length) {
        BodyHandling::TooLong if served => return Err(Broken::Unfit("an answer that is too long")),
        // What it says beside its status goes to nobody.
        BodyHandling::TooLong | BodyHandling::Stream if !served => return Ok(Got::Head(head_only(head))),
        plan => plan,
    };
    let mut hold = holder.filter(|_| plan == BodyHandling::Wait && served).map(Hold::new);
    let mut gathered = BodyBuffer::default();
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = over(&mut hold) => break,
        };
        match frame {
            None => {
                meter.answered();
                // Those that were whole at once say nothing of those that are not.
                if let Some(Hold { holder, room: Some(_), .. }) = &hold {
                    holder.common.lengths.learn(false);
                }
                let (Parts { status, headers, .. }, body) = (head, AnswerBody::Whole(gathered.take()));
                return Ok(Got::Whole(Answer { status, headers, body }));
            }
            Some(Ok(frame)) => {
                // Trailers end with the connection that they came on.
                if let Ok(data) = frame.into_data() {
                    if let Some(hold) = &mut hold {
                        hold.pace.piece(Instant::now(), data.len());
                    }
                    gathered.add(data, length);
                }
            }
            Some(Err(_)) => return Err(Broken::Cut),
        }
        let is_long = gathered.length() > WHOLE_BYTES;
        match plan {
            BodyHandling::Wait if is_long && !served => return Ok(Got::Head(head_only(head))),
            BodyHandling::Wait if is_long => break,
            BodyHandling::Stream => break,
            _ => {}
        }
    }
    let room = hold.and_then(|hold| hold.room);
    Ok(Got::Begun { head, first: gathered.take(), rest: body, length, room })
}

/// An answer of which nothing but its status is of use.
fn head_only(head: Parts) -> Answer {
    let Parts { status, headers, .. } = head;
    Answer { status, headers, body: AnswerBody::Whole(Bytes::new()) }
}

/// Comes back when a hold is over; never where there is none.
async fn over(hold: &mut Option<Hold<'_>>) {
    match hold {
        Some(hold) => hold.is_over().await,
        None => std::future::pending().await,
    }
}

/// Comes back when an answer that has begun comes no further for longer than is worth waiting. While it waits for room nobody
/// reads it, and that is no fault of the upstream's.
async fn stalled(meter: &Meter, patience: &StallTimeout, waits_for_room: &AtomicBool) {
    loop {
        meter.answer_began().await;
        let limit = patience.limit();
        while meter.is_answering() {
            let until = meter.read_at() + limit;
            if waits_for_room.load(Ordering::Relaxed) {
                return std::future::pending().await;
            }
            if until <= Instant::now() {
                return;
            }
            sleep_until(until).await;
        }
        // A notice ahead of the answer has ended meanwhile.
    }
}

/// Where an attempt was written, and how many bytes of it were.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Wire {
    /// Our port; 0 where there was no connection.
    pub port: u16,
    /// Bytes.
    pub bytes: u64,
}

/// What becomes of connections and of what they carry.
pub enum UpstreamEvent {
    /// A connection for an attempt came up or did not.
    Connected(AttemptInfo, Result<Box<Connection>, String>),
    /// An attempt ended.
    Ended {
        /// Which.
        flight: AttemptInfo,
        /// How.
        end: AttemptEnd,
        /// What crossed its connection, for the trace.
        wire: Wire,
    },
    /// The body of an attempt is still coming, or has come.
    Uploads(AttemptInfo, UploadState),
    /// An answer that went on as it came has ended.
    Streamed {
        /// Whose.
        request: RequestId,
        /// How.
        came: RequestOutcome,
    },
    /// A connection is free.
    Idle {
        /// To whom.
        upstream: UpstreamId,
        /// In which of its lives.
        life: u64,
        /// The connection.
        connection: Box<Connection>,
    },
    /// A probe ended.
    Probed {
        /// Who was asked.
        upstream: UpstreamId,
        /// What came back.
        answer: Option<Answer>,
    },
}

/// Connects for an attempt, until `given_up` is dropped or used.
pub async fn connect(
    dial: SocketAddr,
    permit: UpstreamPermit,
    flight: AttemptInfo,
    given_up: oneshot::Receiver<()>,
    told: EventSink<UpstreamEvent>,
) {
    let result = tokio::select! {
        result = Connection::open(dial, bound(RequestState::Connecting(flight.times())).at, permit) => result,
        _ = given_up => Err("given up".to_owned()),
    };
    told.send(UpstreamEvent::Connected(flight, result.map(Box::new)));
}

/// What all attempts of an instance share.
#[derive(Clone)]
pub struct Common {
    /// Where they log.
    pub log: Log,
    /// Where those that were written whole are counted.
    pub metrics: Arc<Metrics>,
    /// How long answers that stop are waited for.
    pub patience: Arc<StallTimeout>,
    /// How long those turn out that state no length.
    pub lengths: Arc<AnswerLengths>,
    /// Room for answers that go on as they come.
    pub transfers: TransferLimit,
}

/// What an attempt writes.
pub struct Writing {
    /// The request, but for its body.
    pub request: Request<AttemptBody>,
    /// Its body.
    pub body: RequestBody,
    /// On what terms its first byte is written.
    pub terms: Option<WriteConditions>,
}

/// Carries one attempt over a connection until it ends, its time is up or `give_up` is dropped or used.
pub async fn attempt(
    mut connection: Connection,
    writing: Writing,
    flight: AttemptInfo,
    mut give_up: oneshot::Receiver<()>,
    common: Common,
    told: EventSink<UpstreamEvent>,
) {
    let Writing { mut request, body, terms } = writing;
    // It may have been given up, or the driver may have ended, before this task had its first turn.
    if !matches!(give_up.try_recv(), Err(oneshot::error::TryRecvError::Empty)) {
        told.send(UpstreamEvent::Ended {
            flight,
            end: AttemptEnd::Outcome(Outcome::NotSent, None),
            wire: Wire::default(),
        });
        return give_back(Some(connection), flight.upstream, flight.incarnation, &told);
    }
    let (meter, port) = (connection.meter.clone(), connection.port);
    let client_waits = flight.deadline.saturating_duration_since(Instant::now());
    meter.begin(Some((common.metrics.clone(), common.patience.clone())), terms);
    let upload = body.upload().cloned();
    *request.body_mut() = match body {
        RequestBody::Whole(bytes) => AttemptBody::Whole(Full::new(bytes)),
        RequestBody::Upload(upload) => match Upload::body(&upload) {
            Some(body) => AttemptBody::Passing(body),
            None => {
                told.send(UpstreamEvent::Ended {
                    flight,
                    end: AttemptEnd::Outcome(Outcome::NotSent, None),
                    wire: Wire::default(),
                });
                return give_back(Some(connection), flight.upstream, flight.incarnation, &told);
            }
        },
    };
    let (how, answer) = {
        let waits_for_room = AtomicBool::new(false);
        let holder = Holder { flight: &flight, common: &common };
        let exchange = async {
            let mut got = exchange(&mut connection.sender, request, &meter, Some(&holder)).await?;
            // Until there is room for what goes on as it comes, it waits with its upstream.
            if let Got::Begun { room: room @ None, .. } = &mut got {
                waits_for_room.store(true, Ordering::Relaxed);
                *room = common.transfers.wait().await;
            }
            Ok(got)
        };
        tokio::select! {
            biased;
            result = exchange => match result {
                Ok(Got::Whole(answer)) => {
                    common.patience.whole();
                    let says = execution::says(answer.status, execution::is_marked(&answer.headers));
                    // What answers before it has all of a request goes on reading it: that must not arrive any more.
                    if meter.request() == Written::Complete {
                        let end = ended(How::Answered(says), Written::Complete, Some(answer));
                        told.send(UpstreamEvent::Ended { flight, end, wire: Wire { port, bytes: meter.taken() } });
                        return give_back(connection.settle().await, flight.upstream, flight.incarnation, &told);
                    }
                    (How::Answered(says), Some(answer))
                }
                // Nobody has seen that it is sound to its end, so that a mark on it proves nothing.
                Ok(Got::Head(answer)) => {
                    (How::Answered(execution::says(answer.status, false)), Some(answer))
                }
                Ok(Got::Begun { head, first, rest, length, room: Some(room) }) => {
                    let streamed = told.clone();
                    let end = Box::new(move |came, connection: Option<Connection>| {
                        streamed.send(UpstreamEvent::Streamed { request: flight.request, came });
                        // Outside a runtime nobody could use it again.
                        if let (Some(connection), Ok(runtime)) = (connection, Handle::try_current()) {
                            runtime.spawn(async move {
                                let connection = connection.settle().await;
                                give_back(connection, flight.upstream, flight.incarnation, &streamed);
                            });
                        }
                    });
                    let deadline = match upload.as_deref().map(Upload::fate) {
                        Some(UploadState::Whole(at)) => at + client_waits,
                        _ => flight.deadline,
                    };
                    let learnt = answer::StreamEstimates {
                        patience: common.patience.clone(),
                        lengths: common.lengths.clone(),
                    };
                    let parts = answer::StreamParts { first, rest, length, connection, end, room, deadline, learnt };
                    let body = AnswerBody::Stream(Box::new(AnswerStream::new(parts)));
                    let answer = Answer { status: head.status, headers: head.headers, body };
                    let end = AttemptEnd::Outcome(Outcome::Ok, Some(answer));
                    told.send(UpstreamEvent::Ended { flight, end, wire: Wire { port, bytes: meter.taken() } });
                    return;
                }
                Ok(Got::Begun { room: None, .. }) => (How::Spoilt, None),
                Err(Broken::Cut) if upload.as_ref().is_some_and(|upload| upload.is_broken()) => {
                    (How::BodyBroke, None)
                }
                Err(Broken::Cut) => (How::Broke, None),
                Err(Broken::Unfit(reason)) => {
                    common.log.line(format!("upstream {}: {reason}", flight.upstream.0));
                    (How::Spoilt, None)
                }
            },
            () = stalled(&meter, &common.patience, &waits_for_room) => {
                common.log.line(format!("upstream {}: an answer that does not end", flight.upstream.0));
                (How::Spoilt, None)
            }
            _ = give_up => (How::CalledOff, None),
            () = due(&flight, upload.as_deref(), &told) => (How::TimedOut, None),
        }
    };
    // Closed before anyone asks how much was written, and before the driver hears of it: the next attempt must not go out
    // while this one may still run.
    let used = connection.used;
    connection.close().await;
    // Who is not there any more is no fault of the upstream's.
    let how = if meter.is_unwanted() { How::CalledOff } else { how };
    let written = meter.request();
    let end = match execution::is_stale(how, execution::execution(how, written), used) {
        true => AttemptEnd::Stale,
        false => ended(how, written, answer),
    };
    told.send(UpstreamEvent::Ended { flight, end, wire: Wire { port, bytes: meter.taken() } });
}

/// What the driver is told of an attempt that has ended.
fn ended(how: How, written: Written, answer: Option<Answer>) -> AttemptEnd {
    AttemptEnd::Outcome(execution::outcome(how, execution::execution(how, written)), answer)
}

/// Comes back when an attempt's time is up. That of an upload counts from its last byte.
async fn due(flight: &AttemptInfo, upload: Option<&Upload>, told: &EventSink<UpstreamEvent>) {
    let until = bound(RequestState::Sent(flight.times())).at;
    let Some(upload) = upload else { return sleep_until(until).await };
    let allowed = until.saturating_duration_since(Instant::now());
    if upload.fate() == UploadState::Coming {
        told.send(UpstreamEvent::Uploads(*flight, UploadState::Coming));
    }
    match upload.settled().await {
        UploadState::Whole(at) => {
            told.send(UpstreamEvent::Uploads(*flight, UploadState::Whole(at)));
            sleep_until(at + allowed).await;
        }
        // The exchange ends by itself.
        UploadState::Coming | UploadState::Broken(_) => std::future::pending().await,
    }
}

/// Probes an upstream over an idle connection, or a new one.
pub async fn probe(
    source: Source,
    request: Request<AttemptBody>,
    upstream: UpstreamId,
    life: u64,
    until: Instant,
    told: EventSink<UpstreamEvent>,
) {
    let opened = match source {
        Source::Idle(connection) => Ok(*connection),
        Source::Dial(dial, by, permit) => Connection::open(dial, by.min(until), permit).await,
    };
    let mut answer = None;
    if let Ok(mut connection) = opened {
        let meter = connection.meter.clone();
        meter.begin(None, None);
        let result = timeout_at(until, exchange(&mut connection.sender, request, &meter, None)).await;
        if let Ok(Ok(Got::Whole(got))) = result {
            answer = Some(got);
            told.send(UpstreamEvent::Probed { upstream, answer });
            return give_back(connection.settle().await, upstream, life, &told);
        }
        connection.close().await;
    }
    told.send(UpstreamEvent::Probed { upstream, answer });
}

fn give_back(
    connection: Option<Connection>,
    upstream: UpstreamId,
    life: u64,
    told: &EventSink<UpstreamEvent>,
) {
    if let Some(connection) = connection {
        told.send(UpstreamEvent::Idle { upstream, life, connection: Box::new(connection) });
    }
}

/// Where a probe gets its connection.
pub enum Source {
    /// One that is open.
    Idle(Box<Connection>),
    /// A new one to this address, by this time.
    Dial(SocketAddr, Instant, UpstreamPermit),
}

#[cfg(test)]
mod tests;
