//! A stand-in upstream: so many cores, a queue, load reports, a cold start; it runs what it has begun whether or not
//! anyone still waits, and remembers the keys of its cell.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::clients::DRAFT_BYTES;
use crate::effects::Effects;

/// Utilisation is reported as a mean over about this time.
const MEAN_OVER_MS: f64 = 700.0;
/// What a send to a draining upstream is allowed beyond the grace of the rules.
const SLACK: Duration = Duration::from_millis(50);

/// What it is like.
#[derive(Debug, Clone)]
pub struct Nature {
    /// Requests that it works on at once.
    pub cores: usize,
    /// Its size compared with others, as discovery lists it.
    pub share: f64,
    /// Work of a request, in milliseconds of one core.
    pub work_ms: f64,
    /// Where this is set a request's `X-Cost` tells its work, in microseconds of a core of speed 1, and this is the
    /// speed of the cores.
    pub speed: Option<f64>,
    /// How it starts.
    pub cold: Option<Cold>,
    /// For how long its cell drops repeats of a key.
    pub window: Duration,
    /// How long after it was said to drain something may still come.
    pub grace: Duration,
    /// Its building, and the number of its cell.
    pub place: (&'static str, u64),
}

/// The rule about servers that have just started.
#[derive(Debug, Clone, Copy)]
pub struct Cold {
    /// The share of its capacity that it starts with.
    pub share: f64,
    /// After this long it has all of it.
    pub warm_up: Duration,
    /// It may be sent no more than this multiple of its present capacity
    pub multiple: f64,
    /// in any window of this length.
    pub window: Duration,
}

impl Default for Nature {
    fn default() -> Nature {
        Nature {
            cores: 4,
            share: 1.0,
            work_ms: 5.0,
            speed: None,
            cold: None,
            window: Duration::from_secs(2),
            grace: Duration::from_secs(2),
            place: ("east", 1),
        }
    }
}

/// Keys that the upstreams of one cell have seen, and when.
pub type Cell = Arc<Mutex<HashMap<String, Instant>>>;

/// One upstream; it ends when this is dropped.
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    /// Unix time of its start in milliseconds; 0 if it is not cold.
    pub born_ms: f64,
    state: Arc<State>,
    task: JoinHandle<()>,
}

struct State {
    nature: Nature,
    born: Instant,
    cores: Semaphore,
    effects: Arc<Effects>,
    cell: Cell,
    load: Mutex<Load>,
}

#[derive(Default)]
struct Load {
    inflight: usize,
    busy: usize,
    util: f64,
    util_at: Option<Instant>,
    drained: Option<Instant>,
    /// What came while it was cold: when, and how much work.
    came: VecDeque<(Instant, f64)>,
    requests: u64,
    probes: u64,
    connections: usize,
    most_connections: usize,
    /// How many times slower it works than its nature; 0 for not.
    slower: f64,
    resets: bool,
}

impl Upstream {
    /// Starts one on a port of its own.
    pub async fn start(nature: Nature, effects: Arc<Effects>, cell: Cell) -> std::io::Result<Upstream> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let born_ms = if nature.cold.is_some() { unix.as_secs_f64() * 1e3 } else { 0.0 };
        let state = Arc::new(State {
            cores: Semaphore::new(nature.cores),
            born: Instant::now(),
            nature,
            effects,
            cell,
            load: Mutex::default(),
        });
        let serving = state.clone();
        let task = tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(10)).await;
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let state = serving.clone();
                tokio::spawn(async move {
                    state.connected(1);
                    let service = service_fn(|request| answer(state.clone(), request));
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                    state.connected(-1);
                });
            }
        });
        Ok(Upstream { address, born_ms, state, task })
    }

    /// From now on it counts what comes after the grace.
    pub fn drain(&self) {
        self.state.load().drained = Some(Instant::now());
    }

    /// Its building, and the number of its cell.
    pub fn place(&self) -> (&'static str, u64) {
        self.state.nature.place
    }

    /// From now on work takes so many times as long.
    pub fn slow_down(&self, times: f64) {
        self.state.load().slower = times;
    }

    /// From now on it closes without an answer once a request has run, or no more.
    pub fn reset_after_work(&self, resets: bool) {
        self.state.load().resets = resets;
    }

    /// Its size compared with others.
    pub fn share(&self) -> f64 {
        self.state.nature.share
    }

    /// Requests that came, probes apart.
    pub fn requests(&self) -> u64 {
        self.state.load().requests
    }

    /// Probes that came.
    pub fn probes(&self) -> u64 {
        self.state.load().probes
    }

    /// Requests that are queued or at work.
    pub fn inflight(&self) -> usize {
        self.state.load().inflight
    }

    /// The most connections that were open at once.
    pub fn most_connections(&self) -> usize {
        self.state.load().most_connections
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl State {
    fn load(&self) -> std::sync::MutexGuard<'_, Load> {
        self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connected(&self, by: isize) {
        let mut load = self.load();
        load.connections = load.connections.saturating_add_signed(by);
        load.most_connections = load.most_connections.max(load.connections);
    }

    /// The share of its capacity that it has.
    fn warmth(&self, at: Instant) -> f64 {
        let Some(cold) = self.nature.cold else { return 1.0 };
        let age = at.saturating_duration_since(self.born).as_secs_f64() / cold.warm_up.as_secs_f64();
        (cold.share + (1.0 - cold.share) * age).min(1.0)
    }

    /// Takes in that the number of busy cores changes.
    fn turn(&self, busy: isize, inflight: isize) {
        let mut load = self.load();
        let now = Instant::now();
        let since = load.util_at.replace(now).map_or(0.0, |at| (now - at).as_secs_f64() * 1e3);
        let share = load.busy as f64 / self.nature.cores as f64;
        load.util += (1.0 - (-since / MEAN_OVER_MS).exp()) * (share - load.util);
        load.busy = load.busy.saturating_add_signed(busy);
        load.inflight = load.inflight.saturating_add_signed(inflight);
    }

    fn arrived(&self) {
        let now = Instant::now();
        let mut load = self.load();
        load.requests += 1;
        if load.drained.is_some_and(|at| now > at + self.nature.grace + SLACK) {
            self.effects.sent_after_drain();
        }
        let Some(cold) = self.nature.cold.filter(|_| self.warmth(now) < 1.0) else { return };
        load.came.push_back((now, self.nature.work_ms));
        while load.came.front().is_some_and(|(at, _)| *at + cold.window < now) {
            load.came.pop_front();
        }
        // The window that ends now begins no sooner than the server did.
        let begin = now.checked_sub(cold.window).map_or(self.born, |at| at.max(self.born));
        let sent: f64 = load.came.iter().map(|(_, work)| work).sum();
        let capacity = self.nature.cores as f64 * self.warmth(begin);
        self.effects.surged(sent / (cold.multiple * capacity * cold.window.as_secs_f64() * 1e3));
    }

    fn report(&self) -> String {
        self.turn(0, 0);
        let mut load = self.load();
        load.probes += 1;
        format!("TEXT inflight={}, eps=0, util={:.3}", load.inflight, load.util.min(1.0))
    }

    /// Whether the cell has run this key of late; from now on it has.
    fn is_repeat(&self, key: &str) -> bool {
        let now = Instant::now();
        let mut cell = self.cell.lock().unwrap_or_else(PoisonError::into_inner);
        let before = cell.get(key).copied().filter(|at| *at + self.nature.window > now);
        cell.entry(key.to_owned()).or_insert(now);
        before.is_some()
    }
}

/// Closes the connection without an answer.
#[derive(Debug)]
struct Reset;

impl std::fmt::Display for Reset {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("closed on purpose")
    }
}

impl std::error::Error for Reset {}

async fn answer(state: Arc<State>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Reset> {
    let plain = |status: StatusCode, text: String| {
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        Ok(response)
    };
    match request.uri().path() {
        "/metrics/load" => return plain(StatusCode::OK, state.report()),
        "/alive" => return plain(StatusCode::OK, String::new()),
        _ => {}
    }
    let text =
        |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let (id, key) = (text("x-request-id"), text("idempotency-key"));
    let cost = text("x-cost").and_then(|cost| cost.parse::<f64>().ok()).zip(state.nature.speed);
    let work_ms = cost.map_or(state.nature.work_ms, |(cost, speed)| cost / 1e3 / speed);
    let Some(id) = id else { return plain(StatusCode::NOT_FOUND, "no id".to_owned()) };
    let put = request.method() == Method::PUT;
    let Ok(body) = request.into_body().collect().await else {
        return plain(StatusCode::BAD_REQUEST, "the body is broken".to_owned());
    };
    let body = body.to_bytes();
    if put && (body.len() != DRAFT_BYTES || !body.ends_with(id.as_bytes())) {
        return plain(StatusCode::BAD_REQUEST, "not the body of this save".to_owned());
    }
    state.arrived();
    state.effects.came(&id, state.nature.place.0);
    // A task of its own: what has begun is not stopped by a connection that closes.
    let answer = format!("ran {id}");
    let work = tokio::spawn(async move {
        state.turn(0, 1);
        let core = state.cores.acquire().await;
        state.turn(1, 0);
        state.effects.ran(&id);
        if let Some(key) = key.filter(|key| !state.is_repeat(key)) {
            state.effects.ran_key(&key);
        }
        let warmth = state.warmth(Instant::now());
        let slower = state.load().slower.max(1.0);
        sleep(Duration::try_from_secs_f64(work_ms * slower / warmth / 1e3).unwrap_or_default()).await;
        drop(core);
        state.turn(-1, -1);
        state.load().resets
    });
    match work.await {
        Ok(true) => Err(Reset),
        Ok(false) => plain(StatusCode::OK, answer),
        Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed".to_owned()),
    }
}
