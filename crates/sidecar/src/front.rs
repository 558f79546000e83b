//! The client side: the listener, the requests of the application, and their answers.

use std::collections::HashMap;
use std::convert::Infallible;
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::Poll;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use sagemast_decide::api::*;
use sagemast_decide::settings::ClassForm;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{Id, JoinSet};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::budget::{Quota, TransferLimit};
use crate::client::Client;
use crate::connection_activity::ConnectionActivity;
use crate::connection_close::{self, CloseAction, CloseReason, ConnectionContents};
use crate::headers::end_to_end;
use crate::lifecycle::{Lifecycle, Stage};
use crate::log::Log;
use crate::messages::{ClientEvent, EventSink, FinalAnswer, ForwardedRequest, RequestArrival};
use crate::metrics::Metrics;
use crate::request_bound::{RequestState, bound};
use crate::transfer::answer::AnswerBody;
use crate::transfer::body_buffer::BodyBuffer;
use crate::transfer::limits::{HEAD, MOST_BYTES, WHOLE_BYTES};
use crate::transfer::request_body::RequestBody;
use crate::transfer::upload::Upload;

/// Clients that connect while the sidecar starts or is busy wait here.
const BACKLOG: u32 = 4096;
/// Room for a head; hyper also reads bodies through it.
const BUFFER_BYTES: usize = 32 << 10;
/// A connection on which nothing comes for this long is closed. Clients hold on to theirs for good, and one that has
/// said nothing is owed an end within 3 s; one that has been used may be closed after 2 s.
const IDLE: Duration = Duration::from_millis(2_200);
/// A connection is not closed for a newcomer before it has had no request open for this long: its last answer
/// is on its way to the client, or its first request to the sidecar.
const SETTLED: Duration = Duration::from_millis(100);
/// Of the places this part is kept for connections that have been answered and are quiet. Some clients ask once and
/// keep their connection for good, and the platform gives them all no more than a third of the descriptors: kept until
/// they are idle for too long, those would be all that clients can have.
const QUIET_PART: usize = 3;
/// How often a connection that is to end is looked at while its client is in the middle of a head.
const HALF_WAY: Duration = Duration::from_millis(50);
/// A connection that has just been answered is not closed for that: its client may be about to use it again.
const JUST_ANSWERED: Duration = Duration::from_millis(50);
/// So many connections more may be closing to make room for others.
const CLOSING: usize = 8;
/// Ids of requests are no longer than this; they are kept while the request is open.
const ID_BYTES: usize = 256;
/// The wait after a failed accept: out of descriptors, a busy loop would starve those who could free some.
const ACCEPT_BACK_OFF: Duration = Duration::from_millis(20);
/// Who finds no room for a long body is asked to stay away for this long: transfers take seconds.
const CROWDED_RETRY_MS: Millis = 500.0;
/// A longer time-out is absurd.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// What class and tenant names stand for.
pub struct RequestNames {
    /// By class id.
    pub classes: Vec<ClassForm>,
    /// By tenant id.
    pub tenants: Vec<String>,
}

/// What all client connections share. Counters only: the driver alone owns state.
pub struct Front {
    /// Names in requests.
    pub names: RequestNames,
    /// Whether clients are wanted.
    pub life: watch::Receiver<Lifecycle>,
    /// To the driver.
    pub told: EventSink<ClientEvent>,
    /// How many connections there may be.
    pub connections: Quota,
    /// Room for bodies that go on as they come.
    pub transfers: TransferLimit,
    /// Whether it is ready, and what was counted.
    pub metrics: Arc<Metrics>,
    /// For what goes wrong.
    pub log: Log,
    /// Ids for the module: those of clients come from outside and might come twice.
    next_id: AtomicU64,
}

impl Front {
    /// A front that has taken nothing yet.
    pub fn new(
        names: RequestNames,
        life: watch::Receiver<Lifecycle>,
        told: EventSink<ClientEvent>,
        connections: Quota,
        transfers: TransferLimit,
        metrics: Arc<Metrics>,
        log: Log,
    ) -> Front {
        // The module keeps timer 0 for itself and halves request ids into timers.
        Front { names, life, told, connections, transfers, metrics, log, next_id: AtomicU64::new(2) }
    }
}

/// Listens. The address may be in use by connections of a predecessor that was killed.
pub fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address).with_context(|| format!("cannot listen on {address}"))?;
    Ok(socket.listen(BACKLOG)?)
}

/// Serves from a socket that listens already.
pub fn listen_on(socket: std::net::TcpListener) -> Result<TcpListener> {
    TcpListener::from_std(socket).context("the listening socket is of no use")
}

/// The open connections, and what is needed to choose one to close.
struct Slots {
    epoch: Instant,
    by_task: HashMap<Id, Arc<ConnectionActivity>>,
}

impl Slots {
    /// Has the connection closed that has longest been quiet: of those that hold nothing, or where there are none, of those
    /// in the middle of a request. Which of its peers are honest a sidecar cannot know; one that waits for an answer is
    /// never closed for another.
    fn make_room(&self) -> bool {
        let now = Instant::now();
        let asked = |slot: &&Arc<ConnectionActivity>| slot.making_room.load(Ordering::Relaxed);
        let quiet = self.by_task.values().filter(|slot| !asked(slot));
        let quiet = quiet.filter_map(|slot| Some((slot.quiet_since()?, slot)));
        let settled = quiet.filter(|(since, _)| *since + SETTLED <= now);
        // A client that writes slowly loses its request, one that is idle at most connects anew.
        let first = settled.min_by_key(|(since, slot)| (slot.holds() != ConnectionContents::Nothing, *since));
        let Some((_, slot)) = first else { return false };
        slot.making_room.store(true, Ordering::Relaxed);
        slot.make_room.notify_one();
        true
    }

    /// Has those closed that have been answered and quiet for longest, beyond so many. When to look again, if one of
    /// them has just been answered.
    fn trim(&self, most: usize) -> Option<Instant> {
        if self.by_task.len() <= most {
            return None;
        }
        let now = Instant::now();
        let used = self.by_task.values().filter(|slot| slot.is_used());
        let mut quiet: Vec<(Instant, &Arc<ConnectionActivity>)> =
            used.filter_map(|slot| Some((slot.quiet_since()?, slot))).collect();
        let beyond = quiet.len().saturating_sub(most);
        if beyond == 0 {
            return None;
        }
        quiet.sort_unstable_by_key(|(since, _)| *since);
        let (old, new): (Vec<_>, Vec<_>) =
            quiet.iter().take(beyond).partition(|(since, _)| *since + JUST_ANSWERED <= now);
        old.iter().for_each(|(_, slot)| slot.let_go.notify_one());
        new.first().map(|(since, _)| *since + JUST_ANSWERED)
    }
}

/// Accepts clients until the end: when it is closing, none is open and none waits to be accepted. A client that
/// comes when there are as many connections as may be takes the place of one that has no request open. Once nobody
/// waits to be accepted any more the listener is let go and `let_go` told, however long what is open may take: who
/// comes then is to be refused by the system, and not to wait.
pub async fn serve(listener: Arc<TcpListener>, front: Arc<Front>, let_go: impl FnOnce()) {
    let mut life = front.life.clone();
    let mut slots = Slots { epoch: Instant::now(), by_task: HashMap::new() };
    let mut connections = JoinSet::new();
    let mut held = Some((listener, let_go));
    let mut trim_at: Option<Instant> = None;
    loop {
        let now = *life.borrow_and_update();
        let (closing, handed_over) = (now.closes(), now.stage() == Stage::HandedOver);
        let accepting = held.is_some() && now.accepts();
        if handed_over {
            release(&mut held);
        }
        let room = front.connections.held() < front.connections.limit() + CLOSING;
        tokio::select! {
            biased;
            Some(ended) = connections.join_next_with_id() => forget(&mut slots, ended),
            accepted = accept(held.as_ref().map(|(listener, _)| &**listener)), if room && accepting => match accepted {
                Ok((stream, _)) => trim_at = take_in(stream, &front, &mut slots, &mut connections),
                Err(error) => {
                    front.log.line(format!("cannot accept: {error}"));
                    slots.make_room();
                    sleep(ACCEPT_BACK_OFF).await;
                }
            },
            () = sleep_until(trim_at.unwrap_or(slots.epoch)), if trim_at.is_some() => {
                trim_at = slots.trim(front.connections.limit() / QUIET_PART);
            }
            // All are busy, or closing already.
            () = sleep(ACCEPT_BACK_OFF), if !room && accepting => drop(slots.make_room()),
            // The socket itself is asked: the runtime may not have heard yet of who has just come.
            () = std::future::ready(()), if closing && accepting && room => {
                match held.as_ref().and_then(|(listener, _)| waiting(listener)) {
                    Some(stream) => trim_at = take_in(stream, &front, &mut slots, &mut connections),
                    None => release(&mut held),
                }
            }
            () = std::future::ready(()), if closing && held.is_none() && connections.is_empty() => return,
            changed = life.changed(), if !handed_over => if changed.is_err() { return },
        }
    }
}

/// Takes a connection in. When to trim the quiet ones next.
fn take_in(
    stream: TcpStream,
    front: &Arc<Front>,
    slots: &mut Slots,
    connections: &mut JoinSet<()>,
) -> Option<Instant> {
    // Another generation may have taken the last place since: then this one is a little over.
    let place = front.connections.take_beyond(CLOSING);
    let slot = Arc::new(ConnectionActivity::new(slots.epoch));
    let (served, kept) = (front.clone(), slot.clone());
    let task = connections.spawn(async move {
        connection(stream, &served, &slot).await;
        drop(place);
    });
    slots.by_task.insert(task.id(), kept);
    if front.connections.held() > front.connections.limit() {
        slots.make_room();
    }
    slots.trim(front.connections.limit() / QUIET_PART)
}

/// Who waits in the accept queue at this moment, if anyone does.
fn waiting(listener: &TcpListener) -> Option<TcpStream> {
    let (socket, _) = SockRef::from(listener).accept().ok()?;
    socket.set_nonblocking(true).ok()?;
    TcpStream::from_std(socket.into()).ok()
}

/// Lets the listener go, and tells so.
fn release<F: FnOnce()>(held: &mut Option<(Arc<TcpListener>, F)>) {
    if let Some((listener, let_go)) = held.take() {
        drop(listener);
        let_go();
    }
}

async fn accept(listener: Option<&TcpListener>) -> std::io::Result<(TcpStream, std::net::SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

/// Strikes off a connection that has ended. One that has panicked must not take the others with it.
fn forget(slots: &mut Slots, ended: Result<(Id, ()), tokio::task::JoinError>) {
    let id = match ended {
        Ok((id, ())) => id,
        Err(error) => error.id(),
    };
    slots.by_task.remove(&id);
}

/// Serves one client connection.
async fn connection(stream: TcpStream, front: &Arc<Front>, slot: &Arc<ConnectionActivity>) {
    let _ = stream.set_nodelay(true);
    let mut life = front.life.clone();
    let now = *life.borrow_and_update();
    let heard = AtomicU64::new(0);
    let accepted = Instant::now();
    let service = service_fn(|request: Request<Incoming>| {
        let number = heard.fetch_add(1, Ordering::Relaxed) + 1;
        slot.used();
        let (front, version) = (front.clone(), request.version());
        async move {
            let mut response = if slot.is_doubled(number) {
                plain(StatusCode::BAD_REQUEST, "two framings")
            } else {
                handle(request, &front, slot).await
            };
            if response.body().is_stream() {
                response.body_mut().occupies(slot, version);
            } else {
                slot.free();
            }
            // What is left of a request that was turned away must not be read as another.
            if response.status().is_client_error()
                || front.life.borrow().closes_after_answer(slot.next_request_at())
            {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(Client::new(stream, slot.clone())), service);
    let mut connection = std::pin::pin!(connection);
    let mut ends_at = now.idle_until(accepted, false);
    let (mut ending, mut end_is_near) = (false, false);
    loop {
        // By when something must have come. Looked at anew when it is due: what comes meanwhile only puts it off.
        let due = match (slot.quiet_since(), slot.head_since()) {
            (None, _) => Instant::now() + IDLE,
            (Some(_), Some(began)) => began + HEAD,
            (Some(quiet), None) => quiet + IDLE,
        };
        let answer_by = life.borrow().answer_by();
        let reason = tokio::select! {
            // First read what has come, then look at the time: a request that waits in the socket when its
            // idle connection is closed would have to be sent again.
            biased;
            // Errors here are clients that left or wrote nonsense; hyper has answered those it can.
            _ = connection.as_mut() => return,
            changed = life.changed() => {
                ends_at = match changed {
                    Ok(()) => life.borrow_and_update().idle_until(accepted, heard.load(Ordering::Relaxed) > 0),
                    Err(_) => Some(accepted),
                };
                if changed.is_err() {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.as_mut().await;
                    return;
                }
                continue;
            }
            () = sleep_until(answer_by.unwrap_or(accepted)), if answer_by.is_some() && !end_is_near => {
                end_is_near = true;
                CloseReason::EndIsNear
            }
            () = sleep_until(ends_at.unwrap_or(accepted)), if ends_at.is_some() => CloseReason::Ends,
            () = sleep_until(due), if !ending => match (slot.quiet_since(), slot.head_since()) {
                (Some(_), Some(began)) if began + HEAD <= Instant::now() => CloseReason::HeadOverdue,
                (Some(quiet), None) if quiet + IDLE <= Instant::now() => CloseReason::Idle,
                _ => continue,
            },
            () = slot.let_go.notified(), if !ending => CloseReason::LetGo,
            () = slot.make_room.notified() => CloseReason::MakeRoom,
        };
        // Whatever is in the socket by now came first. A request that does is answered, and one that has begun is waited for.
        let before = slot.reads();
        slot.look();
        if poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx).is_ready())).await {
            return;
        }
        let came = slot.reads() != before;
        let holds = match (slot.holds(), slot.next_request_at()) {
            (ConnectionContents::Request, Some(next)) if !life.borrow().closes_after_answer(Some(next)) => {
                ConnectionContents::Requests
            }
            (holds, _) => holds,
        };
        let deed = match connection_close::deed(reason, holds) {
            // Who has just spoken is neither idle nor quiet; the place of another is asked for next.
            CloseAction::Shut | CloseAction::Drop
                if came && !matches!(reason, CloseReason::Ends | CloseReason::EndIsNear) =>
            {
                CloseAction::Keep
            }
            deed => deed,
        };
        let now = Instant::now();
        match deed {
            CloseAction::Keep => {
                // Who is in the middle of a head has the time that heads have; who has asked more than once is answered.
                let over = holds != ConnectionContents::Requests
                    && slot.head_since().is_none_or(|began| began + HEAD <= now);
                match (reason, over) {
                    (CloseReason::Ends, true) => return,
                    (CloseReason::Ends, false) => ends_at = Some(now + HALF_WAY),
                    (CloseReason::MakeRoom, _) => slot.making_room.store(false, Ordering::Relaxed),
                    _ => {}
                }
            }
            CloseAction::Drop => return,
            CloseAction::Shut | CloseAction::AfterAnswer => {
                if reason == CloseReason::Ends {
                    ends_at = None;
                }
                ending = true;
                connection.as_mut().graceful_shutdown();
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
            self.front.told.send(ClientEvent::Disconnected(self.request));
        }
    }
}

/// What is wrong with a request.
type Malformed = (StatusCode, &'static str);

async fn handle(
    request: Request<Incoming>,
    front: &Front,
    slot: &ConnectionActivity,
) -> Response<AnswerBody> {
    if request.uri().path() == "/up" {
        let ready = front.metrics.ready.load(Ordering::Relaxed);
        return match (request.method() == Method::GET, front.life.borrow().up(), ready) {
            (false, ..) => plain(StatusCode::METHOD_NOT_ALLOWED, "use GET"),
            (true, true, true) => plain(StatusCode::OK, "up"),
            (true, true, false) => plain(StatusCode::SERVICE_UNAVAILABLE, "no list of upstreams yet"),
            (true, false, _) => plain(StatusCode::SERVICE_UNAVAILABLE, "evacuated"),
        };
    }
    let Checked { class, tenant, time_left, id } = match check(&request, &front.names) {
        Ok(checked) => checked,
        Err((status, reason)) => return plain(status, reason),
    };
    let (head, body) = request.into_parts();
    let (began, stated) = (Instant::now(), body.size_hint().exact());
    let body = match gather(body, began, stated).await {
        Ok((first, None)) => RequestBody::Whole(first),
        Ok((first, Some(rest))) => match front.transfers.take() {
            Some(room) => RequestBody::Upload(Arc::new(Upload::new(first, rest, stated, began, room))),
            // Nothing has run, and there is no room to wait in.
            None => return refused(CROWDED_RETRY_MS),
        },
        Err((status, reason)) => return plain(status, reason),
    };
    let at = Instant::now();
    slot.busy();
    // A client may name the whole URL; upstreams are asked for the path in any case.
    let target = head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    let request = RequestId(front.next_id.fetch_add(1, Ordering::Relaxed));
    let (reply, answer) = oneshot::channel();
    let (headers, client) = (end_to_end(&head.headers), slot.client());
    let forward = ForwardedRequest { method: head.method, target, headers, body, client };
    let arrival = RequestArrival { request, class, tenant, id, received_at: at, time_left, forward, reply };
    let mut guard = Guard { request, front, answered: false };
    front.told.send(ClientEvent::Arrived(Box::new(arrival)));
    let answer = answer.await;
    guard.answered = true;
    match answer {
        Ok(FinalAnswer::Served(headers, body)) => {
            let mut response = Response::new(body);
            *response.headers_mut() = headers;
            response
        }
        Ok(FinalAnswer::Refused(retry_after)) => refused(retry_after),
        Ok(FinalAnswer::Rejected(status)) => plain(status, "the request cannot be served"),
        Ok(FinalAnswer::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

/// Reads a body until it is whole or longer than what is held, as long as it keeps the least rate: what has come, and
/// where the rest of a longer one comes from.
async fn gather(
    mut body: Incoming,
    began: Instant,
    stated: Option<u64>,
) -> Result<(Bytes, Option<Incoming>), Malformed> {
    let mut gathered = BodyBuffer::default();
    while !body.is_end_stream() {
        let reading = RequestState::Reading { head_at: began, bytes: gathered.length() as u64 };
        match timeout_at(bound(reading).at, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                // Trailers end with the connection that they came on.
                if let Ok(data) = frame.into_data() {
                    gathered.add(data, stated);
                }
            }
            Ok(Some(Err(_))) => return Err((StatusCode::BAD_REQUEST, "the body is broken")),
            Ok(None) => break,
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body did not come")),
        }
        if gathered.length() > WHOLE_BYTES {
            return Ok((gathered.take(), Some(body)));
        }
    }
    Ok((gathered.take(), None))
}

/// What the head of a sound request says.
struct Checked {
    class: ClassId,
    tenant: TenantId,
    time_left: Duration,
    id: Box<str>,
}

/// Reads the head of a request. What upstreams could not use, or might read otherwise, never goes on to them.
fn check(request: &Request<Incoming>, names: &RequestNames) -> Result<Checked, Malformed> {
    let bad = |reason| (StatusCode::BAD_REQUEST, reason);
    let first = request.uri().path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let Some(class) = names.classes.iter().position(|form| form.name == first) else {
        return Err((StatusCode::NOT_FOUND, "no such path"));
    };
    let target = request.uri().path_and_query().map_or("", |target| target.as_str());
    if !target.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(bad("the path is not plain text"));
    }
    let headers = request.headers();
    let length = match single(headers, "content-length")? {
        Some(text) => number(text).ok_or(bad("Content-Length is not a number"))?,
        None => 0,
    };
    if length > MOST_BYTES {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"));
    }
    match single(headers, "x-priority-class")? {
        None => return Err(bad("X-Priority-Class is missing")),
        Some(name) if name != first => return Err(bad("X-Priority-Class does not fit the path")),
        Some(_) => {}
    }
    let key = single(headers, "idempotency-key")?;
    let form = &names.classes[class];
    match (request.method(), form.effect) {
        (&Method::GET, Effect::Idempotent) if !request.body().is_end_stream() => {
            return Err(bad("GET has no body"));
        }
        (&Method::GET, Effect::Idempotent) => {}
        (&Method::PUT, Effect::Idempotent) if form.put => {}
        // Without its key upstreams could not drop a repeat.
        (&Method::POST, Effect::IdempotentByKey { .. }) if key.is_none_or(str::is_empty) => {
            return Err(bad("Idempotency-Key is missing"));
        }
        // A key promises that a repeat is dropped; for this class it is not.
        (&Method::POST, Effect::NonIdempotent) if key.is_some() => {
            return Err(bad("the class takes no Idempotency-Key"));
        }
        (&Method::POST, Effect::IdempotentByKey { .. } | Effect::NonIdempotent) => {}
        _ => return Err((StatusCode::METHOD_NOT_ALLOWED, "not the method of this class")),
    }
    let id = single(headers, "x-request-id")?.filter(|id| !id.is_empty() && id.len() <= ID_BYTES);
    let id = id.ok_or(bad("X-Request-ID is missing or too long"))?.into();
    let time_left = single(headers, "x-timeout-ms")?.ok_or(bad("X-Timeout-Ms is missing"))?;
    let time_left = number(time_left).filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms));
    let time_left =
        Duration::from_millis(time_left.ok_or(bad("X-Timeout-Ms is not a number of milliseconds"))?);
    let tenant = match single(headers, "x-tenant-id")? {
        _ if names.tenants.is_empty() => 0,
        None => return Err(bad("X-Tenant-Id is missing")),
        Some(name) => names.tenants.iter().position(|n| n == name).ok_or(bad("unknown tenant"))?,
    };
    Ok(Checked { class: ClassId(class), tenant: TenantId(tenant), time_left, id })
}

/// A whole number in decimal digits and nothing else; `parse` alone would take a sign.
fn number(text: &str) -> Option<u64> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok()).flatten()
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

/// Trying again is harmless, best after this long.
fn refused(retry_after: Millis) -> Response<AnswerBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let seconds = HeaderValue::from_str(&format!("{:.3}", retry_after / 1_000.0));
    if let (Ok(seconds), true) = (seconds, retry_after > 0.0) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn plain(status: StatusCode, reason: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(Bytes::from_static(reason.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

#[cfg(test)]
mod tests;
