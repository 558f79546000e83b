//! The client side: the listener, the requests of the application, and their answers.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use sagemast::api::*;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

use super::driver::Happening;
use super::log;
use super::upstream::BODY_BYTES;

/// Clients that connect while the sidecar starts or is busy wait here.
const BACKLOG: u32 = 4096;
/// Room for a head; hyper also reads bodies through it.
const BUFFER_BYTES: usize = 32 << 10;
/// A connection on which no whole head comes for this long is closed.
const IDLE: Duration = Duration::from_secs(75);
/// The same while connections are scarce: silent ones must not keep others out.
const IDLE_CROWDED: Duration = Duration::from_secs(2);
/// The same once the sidecar ends and only sweeps up.
const IDLE_AT_END: Duration = Duration::from_millis(150);
/// A body must come in this time.
const BODY_TIME: Duration = Duration::from_secs(5);
/// The wait after a failed accept: out of descriptors, a busy loop would starve those who could free some.
const ACCEPT_BACK_OFF: Duration = Duration::from_millis(20);
/// A longer time-out is absurd.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// How far the end has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving.
    Open,
    /// SIGTERM came: still accepting, but every answer closes its connection.
    Leaving,
    /// No client comes any more: only what is open is finished.
    Closing,
}

/// What class and tenant names stand for.
pub struct Names {
    /// By class id.
    pub classes: Vec<(String, Effect)>,
    /// By tenant id.
    pub tenants: Vec<String>,
}

/// What all client connections share. Counters only: the driver alone owns state.
pub struct Front {
    /// Names in requests.
    pub names: Names,
    /// Whether `/up` says so.
    pub ready: AtomicBool,
    /// How far the end has come.
    pub phase: watch::Receiver<Phase>,
    /// To the driver.
    pub happenings: mpsc::UnboundedSender<Happening>,
    /// Ids for the module: those of clients come from outside and might come twice.
    next_id: AtomicU64,
    /// Open client connections.
    pub connections: AtomicUsize,
}

/// A request as it goes on to upstreams.
pub struct Forward {
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body, unchanged.
    pub body: Bytes,
}

/// A request for the driver.
pub struct Arrival {
    /// The id the module knows it by.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// When its last byte was read.
    pub at: Instant,
    /// How long its client waits from then on.
    pub time_left: Duration,
    /// What goes on to upstreams.
    pub forward: Forward,
    /// Where its final answer goes.
    pub reply: oneshot::Sender<Final>,
}

/// A final answer.
#[derive(Debug)]
pub enum Final {
    /// An upstream's answer.
    Served(HeaderMap, Bytes),
    /// Trying again is harmless, best after this long.
    Refused(Millis),
    /// No promise.
    Failed,
}

impl Front {
    /// A front that is not ready yet.
    pub fn new(
        names: Names,
        phase: watch::Receiver<Phase>,
        happenings: mpsc::UnboundedSender<Happening>,
    ) -> Front {
        Front {
            names,
            ready: AtomicBool::new(false),
            phase,
            happenings,
            // The module keeps timer 0 for itself and halves request ids into timers.
            next_id: AtomicU64::new(2),
            connections: AtomicUsize::new(0),
        }
    }
}

/// Listens. The address may be in use by connections of a predecessor that was killed.
pub fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address).with_context(|| format!("cannot listen on {address}"))?;
    Ok(socket.listen(BACKLOG)?)
}

/// Accepts clients until the end: when it is closing, none is open and none waits to be accepted.
pub async fn serve(listener: TcpListener, front: Arc<Front>, max_connections: usize) {
    let permits = Arc::new(Semaphore::new(max_connections));
    let mut phase = front.phase.clone();
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = all_done(&mut phase, &front) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                front.connections.fetch_add(1, Ordering::Relaxed);
                let crowded = permits.available_permits() * 4 < max_connections;
                let front = front.clone();
                tokio::spawn(async move {
                    connection(stream, &front, crowded).await;
                    front.connections.fetch_sub(1, Ordering::Relaxed);
                    drop(permit);
                });
            }
            Err(error) => {
                log::line(format!("cannot accept: {error}"));
                sleep(ACCEPT_BACK_OFF).await;
            }
        }
    }
}

/// Comes back once the end is near and no connection is open.
async fn all_done(phase: &mut watch::Receiver<Phase>, front: &Front) {
    if phase.wait_for(|phase| *phase == Phase::Closing).await.is_err() {
        return;
    }
    while front.connections.load(Ordering::Relaxed) > 0 {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Serves one client connection. Where connections are scarce, one answer is all that it carries.
async fn connection(stream: TcpStream, front: &Arc<Front>, crowded: bool) {
    let _ = stream.set_nodelay(true);
    let mut phase = front.phase.clone();
    let now = *phase.borrow_and_update();
    let heard = AtomicBool::new(false);
    let service = service_fn(|request| {
        heard.store(true, Ordering::Relaxed);
        let front = front.clone();
        async move {
            let mut response = handle(request, &front).await;
            if crowded || *front.phase.borrow() > Phase::Open {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(match now {
            Phase::Closing => IDLE_AT_END,
            _ if crowded => IDLE_CROWDED,
            _ => IDLE,
        })
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        tokio::select! {
            // First read what has come, then look at the phase: a request that waits in the socket when its
            // idle connection is closed would have to be sent again.
            biased;
            // Errors here are clients that left or wrote nonsense; hyper has answered those it can.
            _ = connection.as_mut() => return,
            changed = phase.changed() => {
                let now = *phase.borrow_and_update();
                // A connection that has carried nothing yet is about to: it gets its one answer while
                // clients may still come. The others are closed as soon as they carry nothing.
                if changed.is_err() || now == Phase::Closing || heard.load(Ordering::Relaxed) {
                    connection.as_mut().graceful_shutdown();
                }
                if changed.is_err() {
                    let _ = connection.as_mut().await;
                    return;
                }
            }
        }
    }
}

/// Tells the driver when the client goes away before its answer.
struct Guard<'a> {
    request: RequestId,
    front: &'a Front,
    answered: bool,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.front.happenings.send(Happening::ClientLeft(self.request));
        }
    }
}

/// What is wrong with a request.
type Malformed = (StatusCode, &'static str);

async fn handle(request: Request<Incoming>, front: &Front) -> Response<Full<Bytes>> {
    if request.uri().path() == "/up" {
        let up = front.ready.load(Ordering::Relaxed);
        return match (request.method() == Method::GET, up) {
            (false, _) => plain(StatusCode::METHOD_NOT_ALLOWED, "use GET"),
            (true, true) => plain(StatusCode::OK, "up"),
            (true, false) => plain(StatusCode::SERVICE_UNAVAILABLE, "no list of upstreams yet"),
        };
    }
    let (class, tenant, time_left) = match check(&request, &front.names) {
        Ok(checked) => checked,
        Err((status, reason)) => return plain(status, reason),
    };
    let (head, body) = request.into_parts();
    let body = match timeout(BODY_TIME, Limited::new(body, BODY_BYTES).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        }
        Ok(Err(_)) => return plain(StatusCode::BAD_REQUEST, "the body is broken"),
        Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body did not come"),
    };
    let at = Instant::now();
    // A client may name the whole URL; upstreams are asked for the path in any case.
    let target = head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    let request = RequestId(front.next_id.fetch_add(1, Ordering::Relaxed));
    let (reply, answer) = oneshot::channel();
    let forward = Forward { method: head.method, target, headers: end_to_end(&head.headers), body };
    let arrival = Arrival { request, class, tenant, at, time_left, forward, reply };
    let mut guard = Guard { request, front, answered: false };
    let _ = front.happenings.send(Happening::Arrived(Box::new(arrival)));
    let answer = answer.await;
    guard.answered = true;
    match answer {
        Ok(Final::Served(headers, body)) => {
            let mut response = Response::new(Full::new(body));
            *response.headers_mut() = headers;
            response
        }
        Ok(Final::Refused(retry_after)) => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
            let seconds = HeaderValue::from_str(&format!("{:.3}", retry_after / 1_000.0));
            if let (Ok(seconds), true) = (seconds, retry_after > 0.0) {
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
            response
        }
        Ok(Final::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

/// Reads the head of a request.
fn check(request: &Request<Incoming>, names: &Names) -> Result<(ClassId, TenantId, Duration), Malformed> {
    let bad = |reason| (StatusCode::BAD_REQUEST, reason);
    let first = request.uri().path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let Some(class) = names.classes.iter().position(|(name, _)| name == first) else {
        return Err((StatusCode::NOT_FOUND, "no such path"));
    };
    let headers = request.headers();
    match single(headers, "x-priority-class")? {
        None => return Err(bad("X-Priority-Class is missing")),
        Some(name) if name != first => return Err(bad("X-Priority-Class does not fit the path")),
        Some(_) => {}
    }
    let keyed = single(headers, "idempotency-key")?.is_some_and(|key| !key.is_empty());
    match (request.method(), names.classes[class].1) {
        (&Method::GET | &Method::POST, Effect::Repeatable | Effect::Once) => {}
        // Without its key upstreams could not drop a repeat.
        (&Method::GET | &Method::POST, Effect::ByKey { .. }) if keyed => {}
        (&Method::GET | &Method::POST, _) => return Err(bad("Idempotency-Key is missing")),
        _ => return Err((StatusCode::METHOD_NOT_ALLOWED, "use GET or POST")),
    }
    if single(headers, "x-request-id")?.is_none_or(str::is_empty) {
        return Err(bad("X-Request-ID is missing"));
    }
    let time_left = single(headers, "x-timeout-ms")?.ok_or(bad("X-Timeout-Ms is missing"))?;
    let time_left = time_left.parse().ok().filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms));
    let time_left =
        Duration::from_millis(time_left.ok_or(bad("X-Timeout-Ms is not a number of milliseconds"))?);
    let tenant = match single(headers, "x-tenant-id")? {
        _ if names.tenants.is_empty() => 0,
        None => return Err(bad("X-Tenant-Id is missing")),
        Some(name) => names.tenants.iter().position(|n| n == name).ok_or(bad("unknown tenant"))?,
    };
    let length = headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    if length.is_some_and(|bytes| bytes > BODY_BYTES as u64) {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"));
    }
    Ok((ClassId(class), TenantId(tenant), time_left))
}

/// The value of a header that must not come twice.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Malformed> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    match (value.to_str(), values.next()) {
        (Ok(text), None) => Ok(Some(text.trim())),
        (Err(_), _) => Err((StatusCode::BAD_REQUEST, "a header is not text")),
        (_, Some(_)) => Err((StatusCode::BAD_REQUEST, "a header comes twice")),
    }
}

/// The headers that are not about one connection or its framing.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    const OF_CONNECTION: [HeaderName; 9] = [
        header::CONNECTION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
    ];
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let of_connection = OF_CONNECTION.contains(name) || name == "keep-alive";
        if !of_connection && !named.iter().any(|n| n == name.as_str()) {
            kept.append(name, value.clone());
        }
    }
    kept
}

fn plain(status: StatusCode, reason: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(reason.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
