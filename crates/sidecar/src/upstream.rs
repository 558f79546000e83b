//! Connections to upstreams, and the one exchange at a time that each carries: attempts and probes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use sagemast_decide::api::*;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::budget::Permit;
use crate::counted::{Counted, Meter};
use crate::log::Log;
use crate::messages::{Answer, BODY_BYTES, End, Flight, Outlet};
use crate::vitals::Vitals;

/// Room for a head; hyper also reads bodies through it.
const BUFFER_BYTES: usize = 32 << 10;
/// Once an answer has begun, its bytes follow each other: it is small and made before it is sent. When none has
/// come in two such spans in a row, what is missing is not on its way.
const STALL: Duration = Duration::from_millis(15);
/// How long a connection may take to become ready for the next request once an answer was read.
const SETTLE: Duration = Duration::from_millis(100);

/// An open connection. It is closed when this is dropped; [`Connection::close`] waits until it is.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    meter: Arc<Meter>,
    /// Whether it has carried a request before.
    pub used: bool,
    /// Since when it has carried nothing.
    pub idle_since: Instant,
    _permit: Permit,
}

impl Connection {
    /// Connects by `until`.
    pub async fn open(dial: SocketAddr, until: Instant, permit: Permit) -> Result<Connection, String> {
        let stream = timeout_at(until, TcpStream::connect(dial))
            .await
            .map_err(|_| "connecting took too long".to_owned())?
            .map_err(|error| format!("cannot connect: {error}"))?;
        // Without it the kernel may hold back a small request.
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let (counted, meter) = Counted::new(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(counted))
            .await
            .map_err(|error| error.to_string())?;
        let task = tokio::spawn(async move {
            // How an exchange failed shows at the exchange.
            let _ = connection.await;
        });
        Ok(Connection { sender, task, meter, used: false, idle_since: Instant::now(), _permit: permit })
    }

    /// Whether it can take a request now, as far as this side knows.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Closes it; when this returns, the socket is closed.
    pub async fn close(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }

    /// Waits until the next request can be sent. `None` if the upstream closes it.
    async fn settle(mut self) -> Option<Connection> {
        timeout(SETTLE, self.sender.ready()).await.ok()?.ok()?;
        self.used = true;
        self.idle_since = Instant::now();
        Some(self)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why there is no answer.
enum Broken {
    /// The request's last byte was never written: it has not run.
    Unsent,
    /// It may have run.
    Cut,
    /// An answer came that cannot be taken for one; the request may have run.
    Unfit(&'static str),
}

/// The bytes that a request takes on the wire at least. Fewer written mean that its last byte was not.
fn least_size(request: &Request<Full<Bytes>>) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let line = request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len();
    let headers: usize =
        request.headers().iter().map(|(name, value)| name.as_str().len() + 2 + value.len() + 2).sum();
    (line + headers + 2) as u64 + request.body().size_hint().lower()
}

/// Tells from its head that an answer cannot be read whole, or that two readers would differ on where it ends.
fn unfit(head: &hyper::http::response::Parts) -> Option<&'static str> {
    let headers = &head.headers;
    let length = headers.get(header::CONTENT_LENGTH);
    match (head.status, length, headers.contains_key(header::TRANSFER_ENCODING)) {
        (StatusCode::SWITCHING_PROTOCOLS, ..) => Some("an answer that leaves HTTP"),
        (_, Some(_), true) => Some("an answer with two framings"),
        // It ends with the connection: nothing tells a whole one from one that broke off.
        (StatusCode::OK, None, false) => Some("an answer of no stated length"),
        (_, Some(length), false) if length.to_str().ok().and_then(|l| l.parse().ok()) > Some(BODY_BYTES) => {
            Some("an answer that is too long")
        }
        _ => None,
    }
}

/// Sends a request once and reads its answer whole.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    mut request: Request<Full<Bytes>>,
    meter: &Arc<Meter>,
    complete_at: u64,
) -> Result<Answer, Broken> {
    let broken = || if meter.written() < complete_at { Broken::Unsent } else { Broken::Cut };
    let notices = meter.clone();
    hyper::ext::on_informational(&mut request, move |_| notices.answer_is_to_come());
    let response = sender.send_request(request).await.map_err(|_| broken())?;
    meter.answer_has_begun();
    let (head, body): (_, hyper::body::Incoming) = Response::into_parts(response);
    if let Some(reason) = unfit(&head) {
        return Err(Broken::Unfit(reason));
    }
    match Limited::new(body, BODY_BYTES).collect().await {
        Ok(body) => {
            meter.answered();
            Ok(Answer { status: head.status, headers: head.headers, body: body.to_bytes() })
        }
        Err(error) if error.is::<LengthLimitError>() => Err(Broken::Unfit("an answer that is too long")),
        Err(_) => Err(broken()),
    }
}

/// Comes back when an answer that has begun comes no further.
async fn stalled(meter: &Meter) {
    loop {
        meter.answer_began().await;
        let mut still = 0;
        let mut read = meter.read();
        while still < 2 {
            sleep(STALL).await;
            let now = meter.read();
            (still, read) = if now == read { (still + 1, read) } else { (0, now) };
        }
        // A notice ahead of the answer may have ended meanwhile.
        if meter.is_answering() {
            return;
        }
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
    by: Instant,
    permit: Permit,
    flight: Flight,
    given_up: oneshot::Receiver<()>,
    told: Outlet<FromUpstreams>,
) {
    let result = tokio::select! {
        result = Connection::open(dial, by.min(flight.until), permit) => result,
        _ = given_up => Err("given up".to_owned()),
    };
    told.tell(FromUpstreams::Connected(flight, result.map(Box::new)));
}

/// Carries one attempt over a connection until it ends, its time is up or `give_up` is dropped or used.
pub async fn attempt(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    flight: Flight,
    mut give_up: oneshot::Receiver<()>,
    log: Log,
    told: Outlet<FromUpstreams>,
    vitals: Arc<Vitals>,
) {
    // It may have been given up, or the driver may have ended, before this task had its first turn.
    if !matches!(give_up.try_recv(), Err(oneshot::error::TryRecvError::Empty)) {
        told.tell(FromUpstreams::Ended { flight, end: End::Outcome(Outcome::NotSent, None) });
        return give_back(Some(connection), flight.upstream, flight.life, &told);
    }
    let meter = connection.meter.clone();
    let before = meter.written();
    let complete_at = before + least_size(&request);
    meter.count_at(complete_at, vitals);
    let (end, keep) = {
        let exchange = exchange(&mut connection.sender, request, &meter, complete_at);
        tokio::select! {
            biased;
            result = exchange => match result {
                Ok(answer) => (End::Outcome(outcome_of(&answer), Some(answer)), true),
                Err(Broken::Unsent) if connection.used && meter.written() == before => (End::Stale, false),
                Err(Broken::Unsent) => (End::Outcome(Outcome::Unreachable, None), false),
                Err(Broken::Cut) => (End::Outcome(Outcome::Reset, None), false),
                Err(Broken::Unfit(reason)) => {
                    log.line(format!("upstream {}: {reason}", flight.upstream.0));
                    (End::Outcome(Outcome::Error, None), false)
                }
            },
            () = stalled(&meter) => {
                log.line(format!("upstream {}: an answer that does not end", flight.upstream.0));
                (End::Outcome(Outcome::Error, None), false)
            }
            _ = give_up => (End::Outcome(Outcome::Cancelled, None), false),
            () = sleep_until(flight.until) => (End::Outcome(Outcome::TimedOut, None), false),
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
        End::Outcome(Outcome::TimedOut, None) if meter.written() < complete_at => {
            End::Outcome(Outcome::Unreachable, None)
        }
        end => end,
    };
    told.tell(FromUpstreams::Ended { flight, end });
}

/// Probes an upstream over an idle connection, or a new one.
pub async fn probe(
    source: Source,
    request: Request<Full<Bytes>>,
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
        let result = timeout_at(until, exchange(&mut connection.sender, request, &meter, 0)).await;
        if let Ok(Ok(got)) = result {
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

/// The idle connections to one upstream, the latest used last.
#[derive(Default)]
pub struct Pool {
    idle: Vec<Connection>,
}

impl Pool {
    /// Takes the one used last, so that the others can grow old and close.
    pub fn take(&mut self, idle_limit: Duration) -> Option<Connection> {
        while let Some(connection) = self.idle.pop() {
            if connection.is_usable() && connection.idle_since.elapsed() < idle_limit {
                return Some(connection);
            }
        }
        None
    }

    /// Takes one back.
    pub fn put(&mut self, connection: Connection) {
        self.idle.push(connection);
    }

    /// Closes those that were closed by the upstream or have been idle for too long.
    pub fn sweep(&mut self, idle_limit: Duration) {
        self.idle.retain(|c| c.is_usable() && c.idle_since.elapsed() < idle_limit);
    }

    /// Since when the one longest idle has been so.
    pub fn oldest(&self) -> Option<Instant> {
        self.idle.first().map(|connection| connection.idle_since)
    }

    /// Closes the one longest idle.
    pub fn drop_oldest(&mut self) {
        if !self.idle.is_empty() {
            self.idle.remove(0);
        }
    }

    /// Closes all.
    pub fn clear(&mut self) {
        self.idle.clear();
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Mutex;

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
        let flight = Flight { request, attempt: attempt_no, upstream: UpstreamId(1), life: 0, until };
        let told = Arc::new(Mutex::new(Vec::new()));
        let heard = told.clone();
        let outlet = Outlet::to(move |message| {
            heard.lock().unwrap().push(message);
            true
        });
        let (give_up, given_up) = oneshot::channel();
        drop(give_up);
        let outgoing = Request::get("/fetch").header("host", "x").body(Full::new(Bytes::new())).unwrap();
        let vitals = Arc::new(Vitals::new(std::iter::empty()));
        attempt(connection, outgoing, flight, given_up, Log::process(), outlet, vitals).await;
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
