//! The operators' console: four calls over HTTP/1.1, one per connection. It has its own thread and only reads
//! metrics and sends requests to the instance, so that it answers even if the instance is busy.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde::ser::{SerializeMap, Serializer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{Id, JoinSet};
use tokio::time::sleep;

use crate::budget::BufferBudget;
use crate::client::Client;
use crate::connection_activity::ConnectionActivity;
use crate::instance::Control;
use crate::lifecycle::Stage;
use crate::log::Log;
use crate::metrics::Metrics;

/// Maximum number of connected callers. A further caller replaces the oldest one that has not sent a request
/// yet, or else the oldest.
pub const MAX_CALLERS: usize = 10;
/// Descriptors that a console needs besides those of its callers: the listener and those of its runtime.
pub const OWN_DESCRIPTORS: usize = 6;
/// A caller that has not sent a complete head within this time is disconnected.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Size of the read buffer, and so the longest head.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// No call needs a body. A call that announces a longer one than this is rejected.
const MAX_BODY_BYTES: u64 = 64 << 10;
/// Wait after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Stack size of the console's thread.
const STACK_BYTES: usize = 256 << 10;

/// A running console. Dropping it ends the console.
pub struct Console {
    _stop: oneshot::Sender<()>,
}

impl Console {
    /// Opens the listener. Callers are answered only after [`Console::start`].
    pub fn listen(address: SocketAddr) -> Result<StdListener> {
        let listener =
            StdListener::bind(address).with_context(|| format!("cannot listen on {address} (console)"))?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    }

    /// Starts to answer calls for an instance, on a separate thread.
    pub fn start(listener: StdListener, control: Control, log: Log) -> Result<Console> {
        let (stop, stopped) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new()
            .name("console".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                runtime.block_on(async move {
                    let listener = match TcpListener::from_std(listener) {
                        Ok(listener) => listener,
                        Err(error) => return log.line(format!("console: {error}")),
                    };
                    tokio::select! {
                        () = serve(listener, control) => {}
                        _ = stopped => {}
                    }
                });
            })
            .context("cannot start the console's thread")?;
        Ok(Console { _stop: stop })
    }
}

/// A connected caller.
struct Caller {
    task: Id,
    abort_handle: tokio::task::AbortHandle,
    has_sent_request: Arc<AtomicBool>,
}

/// Accepts callers and answers their calls.
async fn serve(listener: TcpListener, control: Control) {
    let mut tasks = JoinSet::new();
    // Oldest first.
    let mut callers: VecDeque<Caller> = VecDeque::new();
    loop {
        tokio::select! {
            Some(ended) = tasks.join_next_with_id() => {
                let task = match ended {
                    Ok((task, ())) => task,
                    Err(error) => error.id(),
                };
                callers.retain(|caller| caller.task != task);
            }
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    if callers.len() >= MAX_CALLERS {
                        let has_no_request = |caller: &Caller| !caller.has_sent_request.load(Ordering::Relaxed);
                        let oldest_without_request = callers.iter().position(has_no_request);
                        if let Some(caller) = callers.remove(oldest_without_request.unwrap_or(0)) {
                            caller.abort_handle.abort();
                        }
                    }
                    let has_sent_request = Arc::new(AtomicBool::new(false));
                    let abort_handle = tasks.spawn(serve_caller(stream, control.clone(), has_sent_request.clone()));
                    callers.push_back(Caller { task: abort_handle.id(), abort_handle, has_sent_request });
                    // Reads a request that the caller has already sent, before it can be replaced by the next.
                    tokio::task::yield_now().await;
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
        }
    }
}

/// Answers one call.
async fn serve_caller(stream: TcpStream, control: Control, has_sent_request: Arc<AtomicBool>) {
    let _ = stream.set_nodelay(true);
    let activity = Arc::new(ConnectionActivity::new(tokio::time::Instant::now()));
    let service = service_fn(|request| {
        has_sent_request.store(true, Ordering::Relaxed);
        let response = handle_call(&request, &control);
        std::future::ready(Ok::<_, Infallible>(response))
    });
    // A caller sends one request, so that nothing is read ahead.
    let client = Client::new(stream, activity, BufferBudget::new(0));
    // Errors are disconnects and malformed requests; hyper has answered those where possible.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(false)
        .half_close(true)
        .serve_connection(TokioIo::new(client), service)
        .await;
}

/// Carries out a call and returns the answer.
fn handle_call<B: Body>(request: &Request<B>, control: &Control) -> Response<Full<Bytes>> {
    let methods: [(&str, Method); 4] = [
        ("/api/ready", Method::GET),
        ("/api/telemetry", Method::GET),
        ("/api/evacuate", Method::PUT),
        ("/api/rejoin", Method::PUT),
    ];
    let Some((path, method)) = methods.into_iter().find(|(path, _)| *path == request.uri().path()) else {
        return text_response(StatusCode::NOT_FOUND, "no such call");
    };
    if *request.method() != method {
        let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, "wrong method for this call");
        if let Ok(allowed) = HeaderValue::from_str(method.as_str()) {
            response.headers_mut().insert(header::ALLOW, allowed);
        }
        return response;
    }
    if request.body().size_hint().lower() > MAX_BODY_BYTES {
        return text_response(StatusCode::PAYLOAD_TOO_LARGE, "this call takes no body");
    }
    match path {
        "/api/ready" => {
            let ready = control.metrics().ready.load(Ordering::Acquire);
            match control.lifecycle().stage() {
                Stage::Serving | Stage::Evacuating if ready => text_response(StatusCode::OK, "yes"),
                Stage::Standby | Stage::Serving | Stage::Evacuating => {
                    text_response(StatusCode::SERVICE_UNAVAILABLE, "no: the instance has no host list yet")
                }
                Stage::Draining | Stage::Closing | Stage::HandedOver => {
                    text_response(StatusCode::SERVICE_UNAVAILABLE, "no: the instance is ending")
                }
            }
        }
        "/api/telemetry" => metrics_response(control.metrics()),
        "/api/evacuate" => {
            control.evacuate();
            text_response(StatusCode::OK, "yes: clients are sent away")
        }
        _ => match control.rejoin() {
            true => text_response(StatusCode::OK, "yes: clients are accepted"),
            false => text_response(StatusCode::CONFLICT, "no: the instance is ending"),
        },
    }
}

fn text_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// The metrics under the names that the platform uses.
#[derive(Serialize)]
struct TelemetryBody<'a> {
    handled: HandledByClass<'a>,
    upstream_tries: u64,
    in_progress: u64,
    known_upstreams: u64,
    skipped_upstreams: u64,
    unheld_answers: u64,
}

/// Serializes the counts of each class, in the order of the settings.
struct HandledByClass<'a>(&'a Metrics);

#[derive(Serialize)]
struct HandledOfClass {
    passed: u64,
    dropped: u64,
    bad_gateway: u64,
}

impl Serialize for HandledByClass<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        for (name, counts) in self.0.classes() {
            let class =
                HandledOfClass { passed: counts.served, dropped: counts.refused, bad_gateway: counts.failed };
            map.serialize_entry(name, &class)?;
        }
        map.end()
    }
}

fn metrics_response(metrics: &Metrics) -> Response<Full<Bytes>> {
    let body = TelemetryBody {
        in_progress: metrics.totals().open(),
        handled: HandledByClass(metrics),
        upstream_tries: metrics.attempts_written.load(Ordering::Acquire),
        known_upstreams: metrics.listed_upstreams.load(Ordering::Relaxed),
        skipped_upstreams: metrics.avoided_upstreams.load(Ordering::Relaxed),
        unheld_answers: metrics.unheld_answers.load(Ordering::Relaxed),
    };
    match serde_json::to_vec(&body) {
        Ok(text) => {
            let mut response = Response::new(Full::new(Bytes::from(text)));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            response
        }
        Err(_) => text_response(StatusCode::INTERNAL_SERVER_ERROR, "the metrics cannot be serialized"),
    }
}
