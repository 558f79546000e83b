//! The client side: accepts client connections, validates requests, hands them to the driver and writes their
//! answers.

mod answer;
mod body;
mod head;
mod request;
mod response;
#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::convert::Infallible;
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::Poll;
use std::time::Duration;

use anyhow::{Context, Result};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use sagemast_decide::settings::ClassForm;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{Id, JoinSet};
use tokio::time::{Instant, sleep, sleep_until};

use self::answer::ClientAnswer;
use self::request::handle_request;
use self::response::text_response;
use crate::budget::{BufferBudget, Quota};
use crate::client::Client;
use crate::connection_activity::ConnectionActivity;
use crate::connection_close::{self, CloseAction, CloseReason, ConnectionContents};
use crate::lifecycle::{Lifecycle, Stage};
use crate::log::Log;
use crate::messages::{ClientEvent, EventSink};
use crate::metrics::Metrics;
use crate::request_ids::RequestIds;
use crate::transfer::limits::HEAD_TIMEOUT;

/// Length of the kernel's accept queue, which holds new connections while the sidecar starts or is busy.
const LISTEN_BACKLOG: u32 = 4096;
/// hyper's read buffer for one connection: a request head must fit into it, and bodies are read through it.
const READ_BUFFER_BYTES: usize = 32 << 10;
/// A connection without traffic is closed after this time, since clients keep theirs open indefinitely. It
/// must be closed within 3 s if it has never carried a request, and may be closed after 2 s otherwise.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_200);
/// A connection is evicted for a new one only after this time without an open request. Before that its last
/// answer may still be on its way to the client, or its first request on its way to the sidecar.
const MIN_QUIET_BEFORE_EVICTION: Duration = Duration::from_millis(100);
/// Quiet connections that have carried requests may occupy the connection limit divided by this. Some clients
/// send one request and keep the connection open, and the platform grants all clients at most a third of the
/// descriptors: without this bound such connections would use up that share until their idle timeout.
const QUIET_CONNECTIONS_DIVISOR: usize = 3;
/// How often a connection that is to be closed is rechecked while a request head on it is incomplete.
const PARTIAL_HEAD_RECHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A connection answered less than this long ago is not closed as excess: its client may be about to reuse
/// it.
const MIN_QUIET_BEFORE_TRIM: Duration = Duration::from_millis(50);
/// New connections that may be accepted above the limit while evicted ones are still closing.
pub const MAX_CONNECTIONS_ABOVE_LIMIT: usize = 8;
/// Wait after a failed accept, and before another eviction while no connection can be accepted. If the
/// process is out of descriptors, a busy loop would starve the tasks that could free some.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The class and tenant names that requests may use.
pub struct RequestNames {
    /// Indexed by class id.
    pub classes: Vec<ClassForm>,
    /// Indexed by tenant id.
    pub tenants: Vec<String>,
}

/// What a front shares with the other instances and processes of its sidecar.
pub struct SharedResources {
    /// Limit of client connections.
    pub connections: Quota,
    /// Memory of bodies and of requests that are read ahead.
    pub buffers: BufferBudget,
    /// The ids of open requests.
    pub request_ids: RequestIds,
}

/// The state shared by all client connections. It holds no requests: the driver alone owns those.
pub struct Front {
    /// The class and tenant names that requests may use.
    pub names: RequestNames,
    /// Whether clients are accepted, and until when.
    pub lifecycle: watch::Receiver<Lifecycle>,
    /// Events for the driver.
    pub events: EventSink<ClientEvent>,
    /// Limit of client connections.
    pub connections: Quota,
    /// Memory of bodies and of requests that are read ahead.
    pub buffers: BufferBudget,
    /// The ids of open requests.
    pub request_ids: RequestIds,
    /// Readiness and counters.
    pub metrics: Arc<Metrics>,
    /// Receives errors of the listener.
    pub log: Log,
    /// The next request id for the decision module. Ids supplied by clients are not used, since they may
    /// repeat.
    next_request_id: AtomicU64,
}

impl Front {
    /// Creates a front without connections.
    pub fn new(
        names: RequestNames,
        lifecycle: watch::Receiver<Lifecycle>,
        events: EventSink<ClientEvent>,
        resources: SharedResources,
        metrics: Arc<Metrics>,
        log: Log,
    ) -> Front {
        let SharedResources { connections, buffers, request_ids } = resources;
        // The decision module reserves timer 0 and derives timer ids by halving request ids.
        let next_request_id = AtomicU64::new(2);
        Front { names, lifecycle, events, connections, buffers, request_ids, metrics, log, next_request_id }
    }
}

/// Opens a listener. Connections of a killed predecessor may still use the address.
pub fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address).with_context(|| format!("cannot listen on {address}"))?;
    Ok(socket.listen(LISTEN_BACKLOG)?)
}

/// Wraps a socket that already listens.
pub fn listener_from(socket: std::net::TcpListener) -> Result<TcpListener> {
    TcpListener::from_std(socket).context("cannot use the given listening socket")
}

/// The open connections, by their tasks.
struct OpenConnections {
    epoch: Instant,
    by_task: HashMap<Id, Arc<ConnectionActivity>>,
}

impl OpenConnections {
    /// Has the connection closed that has been quiet longest: preferably one that holds nothing, otherwise
    /// one in the middle of a request. The sidecar cannot tell honest clients from others, so a connection
    /// that waits for an answer is never evicted. Returns whether there was a connection to evict.
    fn evict_one(&self) -> bool {
        let now = Instant::now();
        let already_chosen =
            |activity: &&Arc<ConnectionActivity>| activity.eviction_pending.load(Ordering::Relaxed);
        let candidates = self.by_task.values().filter(|activity| !already_chosen(activity));
        let quiet = candidates.filter_map(|activity| Some((activity.quiet_since()?, activity)));
        let evictable = quiet.filter(|(since, _)| *since + MIN_QUIET_BEFORE_EVICTION <= now);
        // Evicting a slow writer costs its request; an idle client at most has to reconnect.
        let chosen = evictable
            .min_by_key(|(since, activity)| (activity.contents() != ConnectionContents::Nothing, *since));
        let Some((_, activity)) = chosen else { return false };
        activity.eviction_pending.store(true, Ordering::Relaxed);
        activity.eviction_requested.notify_one();
        true
    }

    /// Of the quiet connections that have carried requests, has those closed that have been quiet longest,
    /// until
    /// `max_quiet` are left. Returns when to trim again if some were answered too recently to be closed.
    fn trim_quiet(&self, max_quiet: usize) -> Option<Instant> {
        if self.by_task.len() <= max_quiet {
            return None;
        }
        let now = Instant::now();
        let used = self.by_task.values().filter(|activity| activity.has_carried_request());
        let mut quiet: Vec<(Instant, &Arc<ConnectionActivity>)> =
            used.filter_map(|activity| Some((activity.quiet_since()?, activity))).collect();
        let excess = quiet.len().saturating_sub(max_quiet);
        if excess == 0 {
            return None;
        }
        quiet.sort_unstable_by_key(|(since, _)| *since);
        let (closable, recent): (Vec<_>, Vec<_>) =
            quiet.iter().take(excess).partition(|(since, _)| *since + MIN_QUIET_BEFORE_TRIM <= now);
        closable.iter().for_each(|(_, activity)| activity.quiet_close_requested.notify_one());
        recent.first().map(|(since, _)| *since + MIN_QUIET_BEFORE_TRIM)
    }
}

/// Accepts and serves clients until the lifecycle is closing, the accept queue is empty and all connections
/// are closed. At the connection limit, a new connection replaces one without an open request.
///
/// Once the lifecycle is closing and the accept queue is empty, the listener is dropped and
/// `on_listener_released` is called, even if open requests take longer: the kernel is to refuse later clients
/// instead of letting them wait in the queue.
pub async fn serve(listener: Arc<TcpListener>, front: Arc<Front>, on_listener_released: impl FnOnce()) {
    let mut lifecycle = front.lifecycle.clone();
    let mut open = OpenConnections { epoch: Instant::now(), by_task: HashMap::new() };
    let mut tasks = JoinSet::new();
    let mut listening = Some((listener, on_listener_released));
    let mut trim_at: Option<Instant> = None;
    loop {
        let current = *lifecycle.borrow_and_update();
        let (closing, handed_over) = (current.is_closing(), current.stage() == Stage::HandedOver);
        let accepting = listening.is_some() && current.is_accepting();
        if handed_over {
            release_listener(&mut listening);
        }
        let has_capacity =
            front.connections.in_use() < front.connections.limit() + MAX_CONNECTIONS_ABOVE_LIMIT;
        tokio::select! {
            biased;
            Some(ended) = tasks.join_next_with_id() => remove_ended(&mut open, ended),
            accepted = accept(listening.as_ref().map(|(listener, _)| &**listener)),
                if has_capacity && accepting => match accepted {
                Ok((stream, _)) => trim_at = start_connection(stream, &front, &mut open, &mut tasks),
                Err(error) => {
                    front.log.line(format!("cannot accept: {error}"));
                    open.evict_one();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = sleep_until(trim_at.unwrap_or(open.epoch)), if trim_at.is_some() => {
                trim_at = open.trim_quiet(front.connections.limit() / QUIET_CONNECTIONS_DIVISOR);
            }
            // Every connection has an open request or is already closing.
            () = sleep(ACCEPT_RETRY_DELAY), if !has_capacity && accepting => drop(open.evict_one()),
            // Asks the socket directly: the runtime may not have been notified yet of the latest connections.
            () = std::future::ready(()), if closing && accepting && has_capacity => {
                match listening.as_ref().and_then(|(listener, _)| accept_pending(listener)) {
                    Some(stream) => trim_at = start_connection(stream, &front, &mut open, &mut tasks),
                    None => release_listener(&mut listening),
                }
            }
            () = std::future::ready(()), if closing && listening.is_none() && tasks.is_empty() => return,
            changed = lifecycle.changed(), if !handed_over => if changed.is_err() { return },
        }
    }
}

/// Starts the task that serves a connection. Returns when to trim the quiet connections next.
fn start_connection(
    stream: TcpStream,
    front: &Arc<Front>,
    open: &mut OpenConnections,
    tasks: &mut JoinSet<()>,
) -> Option<Instant> {
    // Another generation may have taken the last permit meanwhile; then this connection exceeds the limit.
    let permit = front.connections.try_acquire_beyond(MAX_CONNECTIONS_ABOVE_LIMIT);
    let activity = Arc::new(ConnectionActivity::new(open.epoch));
    let (task_front, task_activity) = (front.clone(), activity.clone());
    let task = tasks.spawn(async move {
        serve_connection(stream, &task_front, &task_activity).await;
        drop(permit);
    });
    open.by_task.insert(task.id(), activity);
    if front.connections.in_use() > front.connections.limit() {
        open.evict_one();
    }
    open.trim_quiet(front.connections.limit() / QUIET_CONNECTIONS_DIVISOR)
}

/// Accepts a connection that is in the accept queue now, if there is one.
fn accept_pending(listener: &TcpListener) -> Option<TcpStream> {
    let (socket, _) = SockRef::from(listener).accept().ok()?;
    socket.set_nonblocking(true).ok()?;
    TcpStream::from_std(socket.into()).ok()
}

/// Drops the listener and reports that.
fn release_listener<F: FnOnce()>(listening: &mut Option<(Arc<TcpListener>, F)>) {
    if let Some((listener, on_listener_released)) = listening.take() {
        drop(listener);
        on_listener_released();
    }
}

/// Accepts a connection; never ready without a listener.
async fn accept(listener: Option<&TcpListener>) -> std::io::Result<(TcpStream, std::net::SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

/// Removes a connection whose task has ended. A panic in one connection must not end the others.
fn remove_ended(open: &mut OpenConnections, ended: Result<(Id, ()), tokio::task::JoinError>) {
    let id = match ended {
        Ok((id, ())) => id,
        Err(error) => error.id(),
    };
    open.by_task.remove(&id);
}

/// Serves one client connection until it is closed.
async fn serve_connection(stream: TcpStream, front: &Arc<Front>, activity: &Arc<ConnectionActivity>) {
    let _ = stream.set_nodelay(true);
    let mut lifecycle = front.lifecycle.clone();
    let initial = *lifecycle.borrow_and_update();
    let requests_received = AtomicU64::new(0);
    let accepted_at = Instant::now();
    let service = service_fn(|request: Request<Incoming>| {
        let request_number = requests_received.fetch_add(1, Ordering::Relaxed) + 1;
        activity.request_started();
        let (front, version) = (front.clone(), request.version());
        async move {
            let (mut response, id_lease) = if activity.is_ambiguous_request(request_number) {
                (text_response(StatusCode::BAD_REQUEST, "two framings"), None)
            } else {
                handle_request(request, &front, activity).await
            };
            if response.body().is_stream() {
                response.body_mut().attach_connection(activity, version);
            } else {
                activity.request_answered();
            }
            // The unread rest of a rejected request must not be parsed as another request.
            if response.status().is_client_error()
                || front.lifecycle.borrow().closes_after_answer(activity.next_request_at())
            {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(|body| ClientAnswer::new(body, id_lease)))
        }
    });
    let connection = http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).serve_connection(
        TokioIo::new(Client::new(stream, activity.clone(), front.buffers.clone())),
        service,
    );
    let mut connection = std::pin::pin!(connection);
    let mut drain_close_at = initial.idle_close_at(accepted_at, false);
    let (mut shutting_down, mut imminent_end_handled) = (false, false);
    loop {
        // Traffic only postpones this deadline, so it is recomputed when it is reached.
        let inactivity_deadline = match (activity.quiet_since(), activity.head_since()) {
            (None, _) => Instant::now() + IDLE_TIMEOUT,
            (Some(_), Some(head_began)) => head_began + HEAD_TIMEOUT,
            (Some(quiet_since), None) => quiet_since + IDLE_TIMEOUT,
        };
        let answers_due_by = lifecycle.borrow().answers_due_by();
        let reason = tokio::select! {
            // Reads before it checks the time: a request that waits in the socket of an idle connection when
            // that is closed would have to be sent again.
            biased;
            // Errors are disconnects and malformed requests; hyper has answered those where possible.
            _ = connection.as_mut() => return,
            changed = lifecycle.changed() => {
                drain_close_at = match changed {
                    Ok(()) => lifecycle
                        .borrow_and_update()
                        .idle_close_at(accepted_at, requests_received.load(Ordering::Relaxed) > 0),
                    Err(_) => Some(accepted_at),
                };
                if changed.is_err() {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.as_mut().await;
                    return;
                }
                continue;
            }
            () = sleep_until(answers_due_by.unwrap_or(accepted_at)),
                if answers_due_by.is_some() && !imminent_end_handled => {
                imminent_end_handled = true;
                CloseReason::ShutdownImminent
            }
            () = sleep_until(drain_close_at.unwrap_or(accepted_at)), if drain_close_at.is_some() => {
                CloseReason::Draining
            }
            () = sleep_until(inactivity_deadline), if !shutting_down => {
                match (activity.quiet_since(), activity.head_since()) {
                    (Some(_), Some(head_began)) if head_began + HEAD_TIMEOUT <= Instant::now() => {
                        CloseReason::HeadOverdue
                    }
                    (Some(quiet_since), None) if quiet_since + IDLE_TIMEOUT <= Instant::now() => {
                        CloseReason::Idle
                    }
                    _ => continue,
                }
            }
            () = activity.quiet_close_requested.notified(), if !shutting_down => CloseReason::ExcessQuiet,
            () = activity.eviction_requested.notified() => CloseReason::Eviction,
        };
        // Bytes that are in the socket now arrived before the close was decided. A complete request among
        // them is answered, and one that has begun is waited for.
        let reads_before = activity.read_count();
        activity.request_direct_read();
        if poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx).is_ready())).await {
            return;
        }
        let bytes_arrived = activity.read_count() != reads_before;
        let contents = match (activity.contents(), activity.next_request_at()) {
            (ConnectionContents::Request, Some(next_at))
                if !lifecycle.borrow().closes_after_answer(Some(next_at)) =>
            {
                ConnectionContents::PipelinedRequests
            }
            (contents, _) => contents,
        };
        let action = match connection_close::close_action(reason, contents) {
            // A client that has just sent bytes is neither idle nor quiet; the next eviction takes another
            // one.
            CloseAction::Shutdown | CloseAction::CloseNow
                if bytes_arrived
                    && !matches!(reason, CloseReason::Draining | CloseReason::ShutdownImminent) =>
            {
                CloseAction::Keep
            }
            action => action,
        };
        let now = Instant::now();
        match action {
            CloseAction::Keep => {
                // A client gets the usual time to complete a head, and pipelined requests are answered.
                let close_due = contents != ConnectionContents::PipelinedRequests
                    && activity.head_since().is_none_or(|head_began| head_began + HEAD_TIMEOUT <= now);
                match (reason, close_due) {
                    (CloseReason::Draining, true) => return,
                    (CloseReason::Draining, false) => {
                        drain_close_at = Some(now + PARTIAL_HEAD_RECHECK_INTERVAL)
                    }
                    (CloseReason::Eviction, _) => activity.eviction_pending.store(false, Ordering::Relaxed),
                    _ => {}
                }
            }
            CloseAction::CloseNow => return,
            CloseAction::Shutdown | CloseAction::CloseAfterAnswer => {
                if reason == CloseReason::Draining {
                    drain_close_at = None;
                }
                shutting_down = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
