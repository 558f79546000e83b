//! Upstreams that answer each request by its plan, in zones that can be lost: connections stay open and silent, new ones
//! never come up; at the return the old ones are reset.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::answer_plan::{AnswerPlan, Fault, Step};
use crate::raw_http::{header, read_body, read_head, reset};

/// The accept queue of an upstream that is up.
const BACKLOG: u32 = 256;
/// Connections that fill the accept queue of one that is lost, and the time for each: it comes up at once or never.
const CLOGGING: usize = 2;
const CLOG_CONNECT: Duration = Duration::from_millis(20);
/// A stalled answer ends by itself after this time, longer than any client waits.
const MAX_STALL: Duration = Duration::from_secs(15);
/// The wait after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);
/// What a probe is told.
const LOAD_REPORT: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\nTEXT inflight=0, eps=0, util=0.10";

/// A request that a client has sent, as the upstreams know it.
#[derive(Debug, Clone, Copy)]
struct Expected {
    plan: AnswerPlan,
    attempts: u32,
    /// Whether the zone of an attempt was lost under it.
    zone_was_lost: bool,
}

/// What upstreams have done with a request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Attempts {
    /// How many have come.
    pub count: u32,
    /// The worst that was done to one of them: which one's answer a client gets, nobody here can tell.
    pub worst: WorstAnswer,
}

/// What an upstream did with an attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum WorstAnswer {
    /// There was none.
    #[default]
    None,
    /// It answers it whole, or still does.
    Whole,
    /// It reset or closed the connection itself.
    BrokeOff,
    /// It stopped and left the connection open, has no end, or its zone was lost.
    Stopped,
}

/// The requests that are out, shared by clients and upstreams.
#[derive(Debug, Default)]
pub struct Registry(Mutex<HashMap<String, Expected>>);

impl Registry {
    fn requests(&self) -> MutexGuard<'_, HashMap<String, Expected>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A client is about to send this.
    pub fn expect(&self, id: &str, plan: AnswerPlan) {
        self.requests().insert(id.to_owned(), Expected { plan, attempts: 0, zone_was_lost: false });
    }

    /// What upstreams have done with it so far.
    pub fn attempts(&self, id: &str) -> Attempts {
        let Some(request) = self.requests().get(id).copied() else { return Attempts::default() };
        let count = request.attempts;
        let worst = match request.plan.fault {
            _ if count == 0 => WorstAnswer::None,
            _ if request.zone_was_lost => WorstAnswer::Stopped,
            None => WorstAnswer::Whole,
            Some(Fault::Reset(_) | Fault::Close(_)) => WorstAnswer::BrokeOff,
            Some(Fault::Stall(_) | Fault::Endless | Fault::Dribble) => WorstAnswer::Stopped,
        };
        Attempts { count, worst }
    }

    /// The zone of an attempt is lost under it.
    fn lose(&self, id: &str) {
        if let Some(request) = self.requests().get_mut(id) {
            request.zone_was_lost = true;
        }
    }

    /// Its client waits no longer.
    pub fn forget(&self, id: &str) {
        self.requests().remove(id);
    }

    /// An attempt has come: its plan and its number, if a client still waits for it.
    fn attempt(&self, id: &str) -> Option<(AnswerPlan, u32)> {
        let mut requests = self.requests();
        let request = requests.get_mut(id)?;
        request.attempts += 1;
        Some((request.plan, request.attempts - 1))
    }
}

/// A zone that can be lost. Its upstreams hold it.
#[derive(Debug)]
pub struct Zone {
    is_lost: watch::Sender<bool>,
}

impl Default for Zone {
    fn default() -> Zone {
        Zone { is_lost: watch::Sender::new(false) }
    }
}

impl Zone {
    /// From now on nothing in it answers and no connection to it comes up, or all is well again and what was open is reset.
    pub fn set_lost(&self, is_lost: bool) {
        self.is_lost.send_replace(is_lost);
    }

    async fn until(&self, is_lost: bool) {
        // The sender is here: it cannot be gone.
        let _ = self.is_lost.subscribe().wait_for(|now| *now == is_lost).await;
    }
}

/// One upstream. It accepts nothing more once this is dropped.
#[derive(Debug)]
pub struct ScriptedUpstream {
    /// Where it listens.
    pub address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Drop for ScriptedUpstream {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl ScriptedUpstream {
    /// Starts one in a zone, on a port of its own.
    ///
    /// # Errors
    /// There is no such port.
    pub async fn start(registry: Arc<Registry>, zone: Arc<Zone>) -> io::Result<ScriptedUpstream> {
        let socket = TcpSocket::new_v4()?;
        socket.bind((std::net::Ipv4Addr::LOCALHOST, 0).into())?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let accepting = tokio::spawn(accept(listener, address, registry, zone));
        Ok(ScriptedUpstream { address, accepting })
    }
}

async fn accept(listener: TcpListener, address: SocketAddr, registry: Arc<Registry>, zone: Arc<Zone>) {
    loop {
        tokio::select! {
            biased;
            () = zone.until(true) => {
                let queued = clog(&listener, address).await;
                zone.until(false).await;
                unclog(&listener).await;
                drop(queued);
            }
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => drop(tokio::spawn(serve(stream, registry.clone(), zone.clone()))),
                Err(_) => sleep(ACCEPT_RETRY).await,
            }
        }
    }
}

/// Has no connection come up any more: the accept queue shrinks to one and is filled.
async fn clog(listener: &TcpListener, address: SocketAddr) -> Vec<TcpStream> {
    // Where that fails connections come up and are silent.
    let _ = rustix::net::listen(listener, 0);
    let mut queued = Vec::new();
    for _ in 0..CLOGGING {
        if let Ok(Ok(stream)) = timeout(CLOG_CONNECT, TcpStream::connect(address)).await {
            queued.push(stream);
        }
    }
    queued
}

/// Connections come up again; those that did unseen are reset.
async fn unclog(listener: &TcpListener) {
    for _ in 0..CLOGGING {
        if let Ok(Ok((stream, _))) = timeout(Duration::from_millis(1), listener.accept()).await {
            reset(stream);
        }
    }
    let _ = rustix::net::listen(listener, BACKLOG as i32);
}

/// Serves a connection; while its zone is lost nothing moves on it, and then it is reset.
async fn serve(mut stream: TcpStream, registry: Arc<Registry>, zone: Arc<Zone>) {
    let _ = stream.set_nodelay(true);
    let mut current = None;
    let ended = tokio::select! {
        biased;
        () = zone.until(true) => None,
        resets = answer_all(&mut stream, &registry, &mut current) => Some(resets),
    };
    if ended.is_none() {
        current.iter().for_each(|id: &String| registry.lose(id));
        zone.until(false).await;
    }
    if ended.unwrap_or(true) {
        reset(stream);
    }
}

/// Answers what comes; whether the connection is to be reset at the end. Tells whose request it is at.
async fn answer_all(stream: &mut TcpStream, registry: &Registry, current: &mut Option<String>) -> bool {
    let mut rest = Vec::new();
    loop {
        let Some(head) = read_head(stream, &mut rest).await else { return false };
        let length = header(&head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        if read_body(stream, &mut rest, length).await.is_none() {
            return false;
        }
        let Some(id) = header(&head, "x-request-id") else {
            if stream.write_all(LOAD_REPORT).await.is_err() {
                return false;
            }
            continue;
        };
        // Nobody waits for it any more.
        let Some((plan, attempt)) = registry.attempt(id) else { return false };
        *current = Some(id.to_owned());
        for step in plan.steps(id, attempt) {
            match play(stream, step).await {
                Next::GoOn => {}
                Next::Close => return false,
                Next::Reset => return true,
            }
        }
        *current = None;
    }
}

enum Next {
    GoOn,
    Close,
    Reset,
}

async fn play(stream: &mut TcpStream, step: Step) -> Next {
    match step {
        Step::Write(bytes) if stream.write_all(&bytes).await.is_err() => Next::Close,
        Step::Write(_) => Next::GoOn,
        Step::Repeat(bytes, pause) => {
            while stream.write_all(&bytes).await.is_ok() {
                sleep(pause).await;
            }
            Next::Close
        }
        Step::Pause(pause) => {
            sleep(pause).await;
            Next::GoOn
        }
        Step::Stall => {
            let _ = timeout(MAX_STALL, stream.read(&mut [0; 1])).await;
            Next::Close
        }
        Step::Close => Next::Close,
        Step::Reset => Next::Reset,
    }
}

#[cfg(test)]
mod tests;
