//! The one exchange at a time that a connection to an upstream carries: attempts and probes.

use std::net::SocketAddr;
use std::sync::Arc;

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

use crate::budget::{Permit, Room};
use crate::connection::Connection;
use crate::counted::Meter;
use crate::log::Log;
use crate::messages::{Answer, End, Flight, Outlet};
use crate::transfer::answer::{self, Payload, Stream};
use crate::transfer::gathered::Gathered;
use crate::transfer::limits::{self, COMING, Plan, WHOLE_BYTES};
use crate::transfer::outgoing::{Kept, Outgoing};
use crate::transfer::patience::Patience;
use crate::transfer::upload::{Fate, Upload};
use crate::vitals::{Came, Vitals};

/// Why there is no answer.
enum Broken {
    /// The request's last byte was never written: it has not run.
    Unsent,
    /// It may have run.
    Cut,
    /// An answer came that cannot be taken for one; the request may have run.
    Unfit(&'static str),
}

/// The bytes that a request's head takes on the wire at least. Fewer written than that and its body mean that its last byte
/// was not.
fn least_size(request: &Request<Outgoing>) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let line = request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len();
    let headers: usize =
        request.headers().iter().map(|(name, value)| name.as_str().len() + 2 + value.len() + 2).sum();
    (line + headers + 2) as u64
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
    /// Its head and first bytes; it goes on as it comes.
    Begun { head: hyper::http::response::Parts, first: Bytes, rest: Incoming, length: Option<u64> },
    /// Its head; what follows is of no use to anyone.
    Head(Answer),
}

/// Sends a request once and reads its answer: whole, or until it may go on as it comes.
async fn exchange(
    sender: &mut SendRequest<Outgoing>,
    mut request: Request<Outgoing>,
    meter: &Arc<Meter>,
) -> Result<Got, Broken> {
    let broken = || if meter.is_complete() { Broken::Cut } else { Broken::Unsent };
    let notices = meter.clone();
    hyper::ext::on_informational(&mut request, move |_| notices.answer_is_to_come());
    let response = sender.send_request(request).await.map_err(|_| broken())?;
    meter.answer_has_begun();
    let (head, mut body): (_, Incoming) = Response::into_parts(response);
    if let Some(reason) = unfit(&head) {
        return Err(Broken::Unfit(reason));
    }
    let length = body.size_hint().exact();
    let served = head.status == StatusCode::OK;
    let (plan, coming) = match limits::plan(length) {
        Plan::TooLong if served => return Err(Broken::Unfit("an answer that is too long")),
        // What it says beside its status goes to nobody.
        Plan::TooLong | Plan::Stream if !served => {
            let Parts { status, headers, .. } = head;
            return Ok(Got::Head(Answer { status, headers, body: Payload::Whole(Bytes::new()) }));
        }
        plan => (plan, Instant::now() + COMING),
    };
    let mut gathered = Gathered::default();
    loop {
        let frame = body.frame().await;
        match frame {
            None => {
                meter.answered();
                let (Parts { status, headers, .. }, body) = (head, Payload::Whole(gathered.take()));
                return Ok(Got::Whole(Answer { status, headers, body }));
            }
            Some(Ok(frame)) => {
                // Trailers end with the connection that they came on.
                if let Ok(data) = frame.into_data() {
                    gathered.add(data, length);
                }
            }
            Some(Err(_)) => return Err(broken()),
        }
        let long = gathered.length() > WHOLE_BYTES;
        match plan {
            Plan::Wait if long && !served => {
                let Parts { status, headers, .. } = head;
                return Ok(Got::Head(Answer { status, headers, body: Payload::Whole(Bytes::new()) }));
            }
            // What comes no further is waited for in vain: only one that still comes goes on.
            Plan::Wait if long || (served && Instant::now() >= coming) => break,
            Plan::Stream => break,
            _ => {}
        }
    }
    Ok(Got::Begun { head, first: gathered.take(), rest: body, length })
}

/// Comes back when an answer that has begun comes no further for longer than is worth waiting.
async fn stalled(meter: &Meter, patience: &Patience) {
    loop {
        meter.answer_began().await;
        let limit = patience.limit();
        while meter.is_answering() {
            let until = meter.read_at() + limit;
            if until <= Instant::now() {
                return;
            }
            sleep_until(until).await;
        }
        // A notice ahead of the answer has ended meanwhile.
    }
}

/// What an answer means for the attempt.
fn outcome_of(answer: &Answer) -> Outcome {
    let not_run = answer.headers.get("x-not-processed").is_some_and(|value| value == "1");
    match answer.status {
        StatusCode::OK => Outcome::Ok,
        // Without the mark nothing says that it never ran.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Outcome::Full,
        // About this sidecar's pace or the upstream's patience, not about the request.
        StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => Outcome::Error,
        // The client's fault: it must not count against the upstream, and another would say the same. What ends
        // so tells the module nothing.
        status if status.is_client_error() => Outcome::Cancelled,
        _ => Outcome::Error,
    }
}

/// What becomes of connections and of what they carry.
pub enum FromUpstreams {
    /// A connection for an attempt came up or did not.
    Connected(Flight, Result<Box<Connection>, String>),
    /// An attempt ended.
    Ended {
        /// Which.
        flight: Flight,
        /// How.
        end: End,
    },
    /// The body of an attempt is still coming, or has come.
    Uploads(Flight, Fate),
    /// An answer that went on as it came has ended.
    Streamed {
        /// Whose.
        request: RequestId,
        /// How.
        came: Came,
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
    permit: Permit,
    flight: Flight,
    given_up: oneshot::Receiver<()>,
    told: Outlet<FromUpstreams>,
) {
    let result = tokio::select! {
        result = Connection::open(dial, flight.connect_by.min(flight.until), permit) => result,
        _ = given_up => Err("given up".to_owned()),
    };
    told.tell(FromUpstreams::Connected(flight, result.map(Box::new)));
}

/// What all attempts of an instance share.
#[derive(Clone)]
pub struct Common {
    /// Where they log.
    pub log: Log,
    /// Where those that were written whole are counted.
    pub vitals: Arc<Vitals>,
    /// How long answers that stop are waited for.
    pub patience: Arc<Patience>,
    /// Room for answers that go on as they come.
    pub transfers: Room,
}

/// Carries one attempt over a connection until it ends, its time is up or `give_up` is dropped or used.
pub async fn attempt(
    mut connection: Connection,
    mut request: Request<Outgoing>,
    body: Kept,
    flight: Flight,
    mut give_up: oneshot::Receiver<()>,
    common: Common,
    told: Outlet<FromUpstreams>,
) {
    // It may have been given up, or the driver may have ended, before this task had its first turn.
    if !matches!(give_up.try_recv(), Err(oneshot::error::TryRecvError::Empty)) {
        told.tell(FromUpstreams::Ended { flight, end: End::Outcome(Outcome::NotSent, None) });
        return give_back(Some(connection), flight.upstream, flight.life, &told);
    }
    let meter = connection.meter.clone();
    let before = meter.written();
    meter.begin(Some((common.vitals.clone(), common.patience.clone())));
    let head = before + least_size(&request);
    let upload = body.upload().cloned();
    *request.body_mut() = match body {
        Kept::Whole(bytes) => {
            meter.complete_at(head + bytes.len() as u64);
            Outgoing::Whole(Full::new(bytes))
        }
        Kept::Upload(upload) => {
            let counted = meter.clone();
            match Upload::body(&upload, move |bytes| counted.complete_at(head + bytes)) {
                Some(body) => Outgoing::Passing(body),
                None => {
                    told.tell(FromUpstreams::Ended { flight, end: End::Outcome(Outcome::NotSent, None) });
                    return give_back(Some(connection), flight.upstream, flight.life, &told);
                }
            }
        }
    };
    let (end, keep) = {
        let exchange = async {
            let got = exchange(&mut connection.sender, request, &meter).await?;
            // Room for what goes on as it comes; until there is some it waits with its upstream.
            let room = match &got {
                Got::Begun { .. } => common.transfers.wait().await,
                Got::Whole(_) | Got::Head(_) => None,
            };
            Ok((got, room))
        };
        tokio::select! {
            biased;
            result = exchange => match result {
                Ok((Got::Whole(answer), _)) => {
                    common.patience.whole();
                    (End::Outcome(outcome_of(&answer), Some(answer)), true)
                }
                Ok((Got::Head(answer), _)) => (End::Outcome(outcome_of(&answer), Some(answer)), false),
                Ok((Got::Begun { head, first, rest, length }, Some(room))) => {
                    let streamed = told.clone();
                    let end = Box::new(move |came, connection: Option<Connection>| {
                        streamed.tell(FromUpstreams::Streamed { request: flight.request, came });
                        // Outside a runtime nobody could use it again.
                        if let (Some(connection), Ok(runtime)) = (connection, Handle::try_current()) {
                            runtime.spawn(async move {
                                let connection = connection.settle().await;
                                give_back(connection, flight.upstream, flight.life, &streamed);
                            });
                        }
                    });
                    let parts = answer::Parts { first, rest, length, connection, end, room };
                    let body = Payload::Stream(Box::new(Stream::new(parts)));
                    let answer = Answer { status: head.status, headers: head.headers, body };
                    let end = End::Outcome(Outcome::Ok, Some(answer));
                    told.tell(FromUpstreams::Ended { flight, end });
                    return;
                }
                Ok((Got::Begun { .. }, None)) => (End::Outcome(Outcome::Error, None), false),
                Err(Broken::Unsent) if connection.used && meter.written() == before => (End::Stale, false),
                Err(Broken::Unsent) => (End::Outcome(Outcome::Unreachable, None), false),
                Err(Broken::Cut) => (End::Outcome(Outcome::Reset, None), false),
                Err(Broken::Unfit(reason)) => {
                    common.log.line(format!("upstream {}: {reason}", flight.upstream.0));
                    (End::Outcome(Outcome::Error, None), false)
                }
            },
            () = stalled(&meter, &common.patience) => {
                common.log.line(format!("upstream {}: an answer that does not end", flight.upstream.0));
                (End::Outcome(Outcome::Error, None), false)
            }
            _ = give_up => (End::Outcome(Outcome::Cancelled, None), false),
            () = due(&flight, upload.as_deref(), &told) => (End::Outcome(Outcome::TimedOut, None), false),
        }
    };
    if keep {
        told.tell(FromUpstreams::Ended { flight, end });
        give_back(connection.settle().await, flight.upstream, flight.life, &told);
        return;
    }
    // Closed before the driver hears of it: the next attempt must not go out while this one may still run.
    connection.close().await;
    let end = match end {
        // The last byte was never written and now never will be.
        End::Outcome(Outcome::TimedOut, None) if !meter.is_complete() => {
            End::Outcome(Outcome::Unreachable, None)
        }
        end => end,
    };
    told.tell(FromUpstreams::Ended { flight, end });
}

/// Comes back when an attempt's time is up. That of an upload counts from its last byte.
async fn due(flight: &Flight, upload: Option<&Upload>, told: &Outlet<FromUpstreams>) {
    let Some(upload) = upload else { return sleep_until(flight.until).await };
    let allowed = flight.until.saturating_duration_since(Instant::now());
    if upload.fate() == Fate::Coming {
        told.tell(FromUpstreams::Uploads(*flight, Fate::Coming));
    }
    match upload.settled().await {
        Fate::Whole(at) => {
            told.tell(FromUpstreams::Uploads(*flight, Fate::Whole(at)));
            sleep_until(at + allowed).await;
        }
        // The exchange ends by itself.
        Fate::Coming | Fate::Broken(_) => std::future::pending().await,
    }
}

/// Probes an upstream over an idle connection, or a new one.
pub async fn probe(
    source: Source,
    request: Request<Outgoing>,
    upstream: UpstreamId,
    life: u64,
    until: Instant,
    told: Outlet<FromUpstreams>,
) {
    let opened = match source {
        Source::Idle(connection) => Ok(*connection),
        Source::Dial(dial, by, permit) => Connection::open(dial, by.min(until), permit).await,
    };
    let mut answer = None;
    if let Ok(mut connection) = opened {
        let meter = connection.meter.clone();
        meter.begin(None);
        let result = timeout_at(until, exchange(&mut connection.sender, request, &meter)).await;
        if let Ok(Ok(Got::Whole(got))) = result {
            answer = Some(got);
            told.tell(FromUpstreams::Probed { upstream, answer });
            return give_back(connection.settle().await, upstream, life, &told);
        }
        connection.close().await;
    }
    told.tell(FromUpstreams::Probed { upstream, answer });
}

fn give_back(connection: Option<Connection>, upstream: UpstreamId, life: u64, told: &Outlet<FromUpstreams>) {
    if let Some(connection) = connection {
        told.tell(FromUpstreams::Idle { upstream, life, connection: Box::new(connection) });
    }
}

/// Where a probe gets its connection.
pub enum Source {
    /// One that is open.
    Idle(Box<Connection>),
    /// A new one to this address, by this time.
    Dial(SocketAddr, Instant, Permit),
}

#[cfg(test)]
mod tests {
    use std::sync::Mutex;
    use std::time::Duration;

    use tokio::io::AsyncReadExt;

    use super::*;
    use crate::budget::Budgets;

    #[tokio::test]
    async fn what_was_given_up_before_its_first_turn_is_not_written() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let dial = listener.local_addr().unwrap();
        let until = Instant::now() + Duration::from_secs(30);
        let permit = Budgets::of(1).permit(dial).unwrap();
        let connection = Connection::open(dial, until, permit).await.unwrap();
        let (request, attempt_no) = (RequestId(1), AttemptNo(0));
        let flight = Flight {
            request,
            attempt: attempt_no,
            upstream: UpstreamId(1),
            life: 0,
            until,
            connect_by: until,
        };
        let told = Arc::new(Mutex::new(Vec::new()));
        let heard = told.clone();
        let outlet = Outlet::to(move |message| {
            heard.lock().unwrap().push(message);
            true
        });
        let (give_up, given_up) = oneshot::channel();
        drop(give_up);
        let outgoing = Request::get("/fetch").header("host", "x").body(Outgoing::empty()).unwrap();
        let common = Common {
            log: Log::process(),
            vitals: Arc::new(Vitals::new(std::iter::empty())),
            patience: Arc::default(),
            transfers: Room::new(1),
        };
        attempt(connection, outgoing, Kept::Whole(Bytes::new()), flight, given_up, common, outlet).await;
        let messages = std::mem::take(&mut *told.lock().unwrap());
        let ends: Vec<bool> = messages
            .iter()
            .filter_map(|message| match message {
                FromUpstreams::Ended { end: End::Outcome(outcome, None), .. } => {
                    Some(*outcome == Outcome::NotSent)
                }
                _ => None,
            })
            .collect();
        assert_eq!(ends, [true], "it is told that it never left");
        drop(messages);
        let mut written = Vec::new();
        let (mut accepted, _) = listener.accept().await.unwrap();
        // Its other end closes with the message that gave the connection back.
        accepted.read_to_end(&mut written).await.unwrap();
        assert!(written.is_empty(), "{}", String::from_utf8_lossy(&written));
    }
}
