//! The operators' address: four calls over HTTP/1.1, one to a connection. It runs on a thread of its own, reads
//! published values and sends wishes, so that it answers however busy the instance is.

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

use crate::client::Client;
use crate::connection_activity::ConnectionActivity;
use crate::instance::Control;
use crate::lifecycle::Stage;
use crate::log::Log;
use crate::metrics::Metrics;

/// Callers at one time. Who comes when all places are taken gets that of the oldest caller that has not asked yet, or
/// else of the oldest.
pub const PLACES: usize = 10;
/// Descriptors that a console needs beside its places: the listener and what its runtime asks the kernel with.
pub const OWN_DESCRIPTORS: usize = 6;
/// A caller whose head has not come whole by then is let go.
const HEAD: Duration = Duration::from_millis(2_000);
/// Room for a head.
const HEAD_BYTES: usize = 8 << 10;
/// No call needs a body; one that says it is longer than this is refused, whatever it is for.
const BODY_BYTES: u64 = 64 << 10;
/// The wait after a failed accept.
const ACCEPT_BACK_OFF: Duration = Duration::from_millis(20);
/// Its thread needs little room.
const STACK_BYTES: usize = 256 << 10;

/// A console that runs. It ends when this is dropped.
pub struct Console {
    _end: oneshot::Sender<()>,
}

impl Console {
    /// Listens at an address; nobody is answered yet.
    pub fn listen(address: SocketAddr) -> Result<StdListener> {
        let listener =
            StdListener::bind(address).with_context(|| format!("cannot listen on {address} (console)"))?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    }

    /// Answers for an instance, on a thread of its own.
    pub fn start(listener: StdListener, control: Control, log: Log) -> Result<Console> {
        let (end, ended) = oneshot::channel();
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
                        _ = ended => {}
                    }
                });
            })
            .context("cannot start the console's thread")?;
        Ok(Console { _end: end })
    }
}

/// A caller that holds a place.
struct Caller {
    task: Id,
    end: tokio::task::AbortHandle,
    asked: Arc<AtomicBool>,
}

async fn serve(listener: TcpListener, control: Control) {
    let mut calls = JoinSet::new();
    let mut callers: VecDeque<Caller> = VecDeque::new();
    loop {
        tokio::select! {
            Some(ended) = calls.join_next_with_id() => {
                let task = match ended {
                    Ok((task, ())) => task,
                    Err(error) => error.id(),
                };
                callers.retain(|caller| caller.task != task);
            }
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    if callers.len() >= PLACES {
                        let silent = callers.iter().position(|caller| !caller.asked.load(Ordering::Relaxed));
                        if let Some(caller) = callers.remove(silent.unwrap_or(0)) {
                            caller.end.abort();
                        }
                    }
                    let asked = Arc::new(AtomicBool::new(false));
                    let end = calls.spawn(call(stream, control.clone(), asked.clone()));
                    callers.push_back(Caller { task: end.id(), end, asked });
                    // What it has sent is read before the next can take its place.
                    tokio::task::yield_now().await;
                }
                Err(_) => sleep(ACCEPT_BACK_OFF).await,
            },
        }
    }
}

/// Answers one call.
async fn call(stream: TcpStream, control: Control, asked: Arc<AtomicBool>) {
    let _ = stream.set_nodelay(true);
    let slot = Arc::new(ConnectionActivity::new(tokio::time::Instant::now()));
    let service = service_fn(|request| {
        asked.store(true, Ordering::Relaxed);
        let answer = answer(&request, &control);
        std::future::ready(Ok::<_, Infallible>(answer))
    });
    // Callers that go away or write nonsense; hyper has answered those it can.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD)
        .max_buf_size(HEAD_BYTES)
        .keep_alive(false)
        .half_close(true)
        .serve_connection(TokioIo::new(Client::new(stream, slot)), service)
        .await;
}

/// The answer to a call, which is carried out by then.
fn answer<B: Body>(request: &Request<B>, control: &Control) -> Response<Full<Bytes>> {
    let calls: [(&str, Method); 4] = [
        ("/api/ready", Method::GET),
        ("/api/telemetry", Method::GET),
        ("/api/evacuate", Method::PUT),
        ("/api/rejoin", Method::PUT),
    ];
    let Some((path, method)) = calls.into_iter().find(|(path, _)| *path == request.uri().path()) else {
        return said(StatusCode::NOT_FOUND, "no such call");
    };
    if *request.method() != method {
        let mut response = said(StatusCode::METHOD_NOT_ALLOWED, "not the method of this call");
        if let Ok(allowed) = HeaderValue::from_str(method.as_str()) {
            response.headers_mut().insert(header::ALLOW, allowed);
        }
        return response;
    }
    if request.body().size_hint().lower() > BODY_BYTES {
        return said(StatusCode::PAYLOAD_TOO_LARGE, "this call takes no body");
    }
    match path {
        "/api/ready" => {
            let listed = control.metrics().ready.load(Ordering::Acquire);
            match control.life().stage() {
                Stage::Serving | Stage::Evacuating if listed => said(StatusCode::OK, "yes"),
                Stage::Standby | Stage::Serving | Stage::Evacuating => {
                    said(StatusCode::SERVICE_UNAVAILABLE, "no: it has no list of upstreams yet")
                }
                Stage::Draining | Stage::Closing | Stage::HandedOver => {
                    said(StatusCode::SERVICE_UNAVAILABLE, "no: it is ending")
                }
            }
        }
        "/api/telemetry" => figures(control.metrics()),
        "/api/evacuate" => {
            control.evacuate();
            said(StatusCode::OK, "yes: clients are sent away")
        }
        _ => match control.rejoin() {
            true => said(StatusCode::OK, "yes: clients are taken"),
            false => said(StatusCode::CONFLICT, "no: it is ending"),
        },
    }
}

fn said(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// The figures as they stand, in the words of the platform's page.
#[derive(Serialize)]
struct Figures<'a> {
    handled: Handled<'a>,
    upstream_tries: u64,
    in_progress: u64,
    known_upstreams: u64,
    skipped_upstreams: u64,
    unheld_answers: u64,
}

/// By class, in the order of the settings.
struct Handled<'a>(&'a Metrics);

#[derive(Serialize)]
struct OfClass {
    passed: u64,
    dropped: u64,
    bad_gateway: u64,
}

impl Serialize for Handled<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        for (name, counts) in self.0.classes() {
            let class =
                OfClass { passed: counts.served, dropped: counts.refused, bad_gateway: counts.failed };
            map.serialize_entry(name, &class)?;
        }
        map.end()
    }
}

fn figures(metrics: &Metrics) -> Response<Full<Bytes>> {
    let figures = Figures {
        in_progress: metrics.all().open(),
        handled: Handled(metrics),
        upstream_tries: metrics.sends.load(Ordering::Acquire),
        known_upstreams: metrics.upstreams.load(Ordering::Relaxed),
        skipped_upstreams: metrics.skipped.load(Ordering::Relaxed),
        unheld_answers: metrics.unheld_answers.load(Ordering::Relaxed),
    };
    match serde_json::to_vec(&figures) {
        Ok(text) => {
            let mut response = Response::new(Full::new(Bytes::from(text)));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            response
        }
        Err(_) => said(StatusCode::INTERNAL_SERVER_ERROR, "the figures cannot be written"),
    }
}
