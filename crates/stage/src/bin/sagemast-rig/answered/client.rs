//! Clients that check every accepted request: exactly one whole final answer, in time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use sagemast_stage::answer_audit::{Audit, Ending, LATE_SLACK, Observed, Outcome, could_be_saved};
use sagemast_stage::answer_parser::{AnswerParser, ConnectionEnd, Incomplete};
use sagemast_stage::answer_plan::AnswerPlan;
use sagemast_stage::clients::{Class, request};
use sagemast_stage::kept_connections::{ClientConnection, KeptConnections};
use sagemast_stage::scripted_upstream::Registry;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout_at};

use super::PHASES;

/// After `LATE_SLACK` a client looks this much longer for what may still come.
const WATCH: Duration = Duration::from_millis(1_500);
/// The socket buffer, the reads and the pauses of a client that is slow to read.
const SLOW_BUFFER_BYTES: u32 = 8 << 10;
const SLOW_READ_BYTES: usize = 4 << 10;
const SLOW_PAUSE: Duration = Duration::from_millis(15);
/// Of the cases that break a bound, so many of each kind are shown.
const MAX_SHOWN: usize = 5;

/// How a client reads its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// As it comes.
    AtOnce,
    /// Slowly for half of its time, over a connection of its own; then as it comes.
    Slow,
}

/// One request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id, new with every request.
    pub id: String,
    /// Its class.
    pub class: Class,
    /// What upstreams answer to it.
    pub plan: AnswerPlan,
    /// How long its client waits.
    pub timeout: Duration,
    /// How its client reads.
    pub reading: Reading,
    /// When it is sent.
    pub phase: usize,
    /// Whether it is one of those whose latencies are told.
    pub is_honest: bool,
}

/// What all clients have seen.
pub struct Book {
    /// Accepted requests by outcome.
    pub audit: Audit,
    /// Requests for which no connection came up, or that could not be written: not accepted.
    pub not_taken: u64,
    /// Requests that crossed the close of an idle connection unread, and were sent once more.
    pub crossed_close: u64,
    /// Whole answers over 64 KiB that began in time and ended after `LATE_SLACK`.
    pub outlasting: u64,
    /// Honest requests in each phase, and the latencies in microseconds of those that were answered whole.
    pub honest: [(u64, Histogram<u64>); PHASES.len()],
    /// Cases that break a bound, by phase.
    pub breaches: [u64; PHASES.len()],
    /// Some of them.
    pub shown: Vec<(Outcome, String)>,
}

impl Book {
    /// An empty one.
    pub fn new() -> Result<Book, String> {
        let times = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|error| error.to_string())?;
        Ok(Book {
            audit: Audit::default(),
            not_taken: 0,
            crossed_close: 0,
            outlasting: 0,
            honest: PHASES.map(|_| (0, times.clone())),
            breaches: [0; PHASES.len()],
            shown: Vec::new(),
        })
    }

    fn enter(&mut self, request: &Request, ending: &Ending, observed: Observed) {
        let Observed { timeout, took, attempts, .. } = observed;
        let outcome = Outcome::of(ending, &request.id, &request.plan, observed);
        self.audit.enter(outcome, ending, request.class, &request.plan);
        self.outlasting += u64::from(outcome == Outcome::Whole && took > timeout + LATE_SLACK);
        if request.is_honest {
            let (asked, times) = &mut self.honest[request.phase];
            *asked += 1;
            if outcome == Outcome::Whole {
                times.saturating_record(took.as_micros() as u64);
            }
        }
        let savable = outcome == Outcome::Torn && could_be_saved(request.class, &request.plan);
        let breaks = outcome.is_lost() || savable;
        self.breaches[request.phase] += u64::from(breaks);
        let of_its_kind = self.shown.iter().filter(|(shown, _)| *shown == outcome).count();
        if breaks && of_its_kind < MAX_SHOWN {
            let Request { id, class, plan, reading, phase, .. } = request;
            let text = format!(
                "{outcome:?} {id} {} after {} of {} ms, {}, {attempts:?}, {reading:?}, {plan:?}",
                class.name(),
                took.as_millis(),
                timeout.as_millis(),
                PHASES[*phase],
            );
            self.shown.push((outcome, text));
        }
    }
}

/// The clients of one instance.
pub struct AuditedClient {
    address: SocketAddr,
    kept: KeptConnections,
    registry: Arc<Registry>,
    book: Arc<Mutex<Book>>,
}

impl AuditedClient {
    /// Clients of the instance at this address.
    pub fn to(address: SocketAddr, registry: Arc<Registry>, book: Arc<Mutex<Book>>) -> AuditedClient {
        AuditedClient { address, kept: KeptConnections::to(address), registry, book }
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Idle connections on which bytes came that answer no request.
    pub fn surplus(&self) -> u64 {
        self.kept.surplus()
    }

    /// One request, from its registration to its outcome.
    pub async fn ask(&self, request: Request) {
        self.registry.expect(&request.id, request.plan);
        self.exchange(&request).await;
        self.registry.forget(&request.id);
    }

    async fn exchange(&self, asked: &Request) {
        let until = Instant::now() + asked.timeout;
        let mut is_resent = false;
        loop {
            let Some(connection) = self.connection(asked.reading, until).await else {
                self.book().not_taken += 1;
                return;
            };
            let ClientConnection { mut stream, is_reused } = connection;
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let bytes = request(asked.class, &asked.id, left.as_millis() as u64);
            match timeout_at(until, stream.write_all(&bytes)).await {
                Ok(Ok(())) => {}
                // It was closed while it rested.
                Ok(Err(_)) if is_reused => continue,
                _ => {
                    self.book().not_taken += 1;
                    return;
                }
            }
            let sent_at = Instant::now();
            let (ending, begun) = read_answer(&mut stream, asked.reading, sent_at, left).await;
            let took = sent_at.elapsed();
            let attempts = self.registry.attempts(&asked.id);
            let unread = ending == Ending::Incomplete(Incomplete::Nothing) && attempts.count == 0;
            if unread && is_reused && !is_resent {
                self.book().crossed_close += 1;
                self.kept.clear();
                is_resent = true;
                continue;
            }
            self.book().enter(asked, &ending, Observed { timeout: left, begun, took, attempts });
            let keeps_alive = matches!(&ending, Ending::Answer(answer) if answer.keeps_alive);
            if keeps_alive && asked.reading == Reading::AtOnce {
                self.kept.keep(stream);
            }
            return;
        }
    }

    async fn connection(&self, reading: Reading, until: Instant) -> Option<ClientConnection> {
        match reading {
            Reading::AtOnce => self.kept.get(until, || ()).await,
            Reading::Slow => {
                let socket = TcpSocket::new_v4().ok()?;
                socket.set_recv_buffer_size(SLOW_BUFFER_BYTES).ok()?;
                let stream = timeout_at(until, socket.connect(self.address)).await.ok()?.ok()?;
                Some(ClientConnection { stream, is_reused: false })
            }
        }
    }
}

/// Reads an answer until it is whole, its connection ends, or it is long too late. Also when its body began.
async fn read_answer(
    stream: &mut TcpStream,
    reading: Reading,
    sent_at: Instant,
    timeout: Duration,
) -> (Ending, Option<Duration>) {
    let mut parser = AnswerParser::default();
    let give_up_at = sent_at + timeout + LATE_SLACK + WATCH;
    let mut buffer = vec![0; 64 << 10];
    let mut begun = None;
    loop {
        let slow = reading == Reading::Slow && sent_at.elapsed() < timeout / 2;
        let most = if slow { SLOW_READ_BYTES } else { buffer.len() };
        let end = match timeout_at(give_up_at, stream.read(&mut buffer[..most])).await {
            Err(_) => return (Ending::GaveUp { begun: parser.has_begun() }, begun),
            Ok(Ok(0)) => ConnectionEnd::Closed,
            Ok(Err(_)) => ConnectionEnd::Reset,
            Ok(Ok(read)) => {
                let whole = parser.feed(&buffer[..read]);
                if begun.is_none() && parser.has_body() {
                    begun = Some(sent_at.elapsed());
                }
                if let Some(answer) = whole {
                    return (Ending::Answer(answer), begun);
                }
                if slow {
                    sleep(SLOW_PAUSE).await;
                }
                continue;
            }
        };
        return (parser.finish(end).map_or_else(Ending::Incomplete, Ending::Answer), begun);
    }
}
