//! Clients of an instance, as the platform's application is one: connections that are kept, one request at a time on
//! each, and a strict account of what was taken and never answered.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use oorandom::Rand64;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::kept_connections::{ClientConnection, KeptConnections};

/// An answer that comes this long after the client's time is up is lost all the same.
const SLACK: Duration = Duration::from_millis(50);
/// Times are told apart up to a minute.
const LONGEST_US: u64 = 60_000_000;
/// The body of a save: a page of a transcript.
pub const DRAFT_BYTES: usize = 4 << 10;
/// Within this time an answer is worth something, as `fleet::SETTINGS` has it.
pub const AIM: Duration = Duration::from_millis(500);

/// A class of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Safe to repeat.
    Fetch,
    /// Safe to repeat, with a body.
    Save,
    /// Carries a key.
    Errata,
    /// Must never run twice.
    Bill,
}

impl Class {
    /// All of them, in the order of their numbers.
    pub const ALL: [Class; 4] = [Class::Fetch, Class::Save, Class::Errata, Class::Bill];

    /// Its name in paths and headers.
    pub fn name(self) -> &'static str {
        match self {
            Class::Fetch => "page-fetch",
            Class::Save => "draft-save",
            Class::Errata => "errata-log",
            Class::Bill => "copy-bill",
        }
    }

    /// The classes in their usual shares.
    pub fn drawn(rng: &mut Rand64) -> Class {
        match rng.rand_range(0..100) {
            0..42 => Class::Fetch,
            42..67 => Class::Save,
            67..85 => Class::Errata,
            _ => Class::Bill,
        }
    }
}

/// What clients have seen. Shared by all of a scenario.
#[derive(Default)]
pub struct Tally {
    book: Mutex<Book>,
    next_id: AtomicU64,
}

/// The counts.
#[derive(Debug, Clone)]
pub struct Book {
    /// Requests whose last byte was written.
    pub taken: u64,
    /// Answered 200 with the answer made for them.
    pub served: u64,
    /// Answered 429 or 503, in each of three phases.
    pub refused: [u64; 3],
    /// Answered otherwise.
    pub failed: u64,
    /// Taken, and never answered whole.
    pub lost: u64,
    /// Of the lost, how.
    pub losses: Vec<String>,
    /// Answered with another request's answer.
    pub wrong: u64,
    /// Connections that were refused.
    pub turned_away: u64,
    /// Requests for which no connection came up in time: not taken.
    pub kept_out: u64,
    /// Ids of those that ended with a used connection before a byte of an answer had come: they may have crossed
    /// its close, or may have run. Whoever holds the account of effects tells; they are never sent again.
    pub unanswered: Vec<String>,
    /// Ids that must not have run twice.
    pub once: HashSet<String>,
    /// Ids of those that were served.
    pub done: HashSet<String>,
    /// In each of three phases, by class: asked for, and served within the aim.
    pub service: [[[u64; 2]; 4]; 3],
    /// Time to a 200 answer in microseconds, in each of three phases.
    pub times: [Histogram<u64>; 3],
}

impl Default for Book {
    fn default() -> Book {
        Book {
            taken: 0,
            served: 0,
            refused: [0; 3],
            failed: 0,
            lost: 0,
            losses: Vec::new(),
            wrong: 0,
            turned_away: 0,
            kept_out: 0,
            unanswered: Vec::new(),
            once: HashSet::new(),
            done: HashSet::new(),
            service: Default::default(),
            times: [(); 3].map(|()| {
                let times = Histogram::new_with_bounds(1, LONGEST_US, 3);
                times.unwrap_or_else(|_| unreachable!("the bounds are sound"))
            }),
        }
    }
}

impl Tally {
    /// The counts, to read or change.
    pub fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Book {
    /// A quantile of the times in a phase, in milliseconds.
    pub fn quantile_ms(&self, phase: usize, quantile: f64) -> f64 {
        self.times[phase].value_at_quantile(quantile) as f64 / 1e3
    }

    /// The share of what was asked for in a phase that was served within its aim, of a class or of all.
    pub fn service(&self, phase: usize, class: Option<Class>) -> f64 {
        let classes = Class::ALL.into_iter().zip(self.service[phase]);
        let these = classes.filter(|(one, _)| class.is_none_or(|class| class == *one));
        let [asked, served] = these.fold([0, 0], |sum, (_, [a, s])| [sum[0] + a, sum[1] + s]);
        served as f64 / asked as f64
    }

    fn lose(&mut self, how: String) {
        self.lost += 1;
        if self.losses.len() < 20 {
            self.losses.push(how);
        }
    }
}

/// How an exchange went.
enum Went {
    /// Status, the body, and whether the connection may be used again.
    Answered(u16, Vec<u8>, bool),
    /// The connection ended before the first byte of an answer.
    Nothing,
    /// It ended within an answer, or was none.
    Broken(String),
    /// The request was not written whole.
    Unsent,
    /// The client's time was up.
    Late,
}

/// The application beside one instance.
pub struct Application {
    tally: Arc<Tally>,
    kept: KeptConnections,
    timeout: Duration,
    mark: char,
    /// Whether new connections go elsewhere.
    away: AtomicBool,
}

impl Application {
    /// An application whose requests have so much time.
    pub fn new(address: SocketAddr, tally: Arc<Tally>, timeout: Duration) -> Arc<Application> {
        Application::marked(address, tally, timeout, '0')
    }

    /// The same, whose ids begin with a hexadecimal digit of its own.
    pub fn marked(address: SocketAddr, tally: Arc<Tally>, timeout: Duration, mark: char) -> Arc<Application> {
        let away = AtomicBool::new(false);
        Arc::new(Application { kept: KeptConnections::to(address), tally, timeout, mark, away })
    }

    /// Opens no new connection from now on, and uses those that stay open; or opens them again.
    pub fn send_away(&self, away: bool) {
        self.away.store(away, Ordering::Relaxed);
    }

    /// Idle connections that the other side has not closed.
    pub fn open_connections(&self) -> usize {
        self.kept.open()
    }

    /// Closes the idle connections.
    pub fn hang_up(&self) {
        self.kept.clear();
    }

    /// Sends requests at a rate, whether or not answers come, until a time; then waits for the last answers.
    pub async fn load(self: Arc<Self>, per_second: f64, until: Instant, phase: Arc<AtomicU64>, seed: u64) {
        let mut rng = Rand64::new(u128::from(seed));
        let mut at = Instant::now();
        let mut open = tokio::task::JoinSet::new();
        loop {
            at += Duration::from_secs_f64(-(1.0 - rng.rand_float()).ln() / per_second);
            if at >= until {
                break;
            }
            sleep_until(at).await;
            while open.try_join_next().is_some() {}
            let class = Class::drawn(&mut rng);
            let (this, phase) = (self.clone(), phase.load(Ordering::Relaxed) as usize);
            open.spawn(async move { this.ask(class, phase).await });
        }
        while open.join_next().await.is_some() {}
    }

    /// One request, from its id to its entry in the tally. Gives the status of the answer, if one came.
    pub async fn ask(&self, class: Class, phase: usize) -> Option<u16> {
        self.ask_for(class, phase, None).await
    }

    /// The same, which tells the work that it is, in microseconds.
    pub async fn ask_for(&self, class: Class, phase: usize, cost_us: Option<u64>) -> Option<u16> {
        if self.away.load(Ordering::Relaxed) && self.kept.is_empty() {
            // It goes to another sidecar.
            return None;
        }
        let number = self.tally.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}{:07x}{number:08x}", self.mark, std::process::id() & 0xfff_ffff);
        self.tally.book().service[phase.min(2)][class as usize][0] += 1;
        if class == Class::Bill {
            self.tally.book().once.insert(id.clone());
        }
        let begun = Instant::now();
        let until = begun + self.timeout;
        loop {
            let refused = || self.tally.book().turned_away += 1;
            let Some(ClientConnection { mut stream, is_reused }) = self.kept.get(until, refused).await else {
                self.tally.book().kept_out += 1;
                return None;
            };
            let left = until.saturating_duration_since(Instant::now()).as_millis().max(1);
            let went = exchange(&mut stream, &costed(class, &id, left as u64, cost_us), until + SLACK).await;
            let mut book = self.tally.book();
            match went {
                // Nothing was taken: the same request goes over another connection.
                Went::Unsent => continue,
                Went::Nothing if is_reused => {
                    book.unanswered.push(id);
                    drop(book);
                    self.hang_up();
                }
                Went::Nothing => {
                    book.taken += 1;
                    book.lose(format!("{id}: closed without an answer"));
                }
                Went::Broken(how) => {
                    book.taken += 1;
                    book.lose(format!("{id}: {how}"));
                }
                Went::Late => {
                    book.taken += 1;
                    book.lose(format!("{id}: no answer in time"));
                }
                Went::Answered(status, body, keep) => {
                    book.taken += 1;
                    match status {
                        200 if body == format!("ran {id}").as_bytes() => {
                            book.served += 1;
                            let micros = begun.elapsed().as_micros() as u64;
                            book.times[phase.min(2)].saturating_record(micros);
                            let in_aim = u64::from(begun.elapsed() <= AIM);
                            book.service[phase.min(2)][class as usize][1] += in_aim;
                            book.done.insert(id);
                        }
                        200 => book.wrong += 1,
                        429 | 503 => book.refused[phase.min(2)] += 1,
                        _ => book.failed += 1,
                    }
                    drop(book);
                    if keep {
                        self.kept.keep(stream);
                    }
                    return Some(status);
                }
            }
            return None;
        }
    }
}

/// A request as the platform's application writes it.
pub fn request(class: Class, id: &str, left_ms: u64) -> Vec<u8> {
    costed(class, id, left_ms, None)
}

fn costed(class: Class, id: &str, left_ms: u64, cost_us: Option<u64>) -> Vec<u8> {
    let cost = cost_us.map_or(String::new(), |cost| format!("X-Cost: {cost}\r\n"));
    let name = class.name();
    let (method, key, body) = match class {
        Class::Fetch => ("GET", String::new(), String::new()),
        // The stand-in upstream looks whether it came whole.
        Class::Save => ("PUT", String::new(), format!("{:>DRAFT_BYTES$}", id)),
        Class::Errata => ("POST", format!("Idempotency-Key: key-{id}\r\n"), "an entry".to_owned()),
        Class::Bill => ("POST", String::new(), "a bill".to_owned()),
    };
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /{name}?k=7f3a9c21 HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: {name}\r\nX-Timeout-Ms: {left_ms}\r\n{cost}{key}{length}\r\n{body}"
    )
    .into_bytes()
}

async fn exchange(stream: &mut TcpStream, request: &[u8], until: Instant) -> Went {
    match timeout_at(until, stream.write_all(request)).await {
        Ok(Ok(())) => {}
        _ => return Went::Unsent,
    }
    let mut got = Vec::new();
    loop {
        if let Some(answer) = whole(&got) {
            return answer;
        }
        let mut chunk = [0; 4096];
        match timeout_at(until, stream.read(&mut chunk)).await {
            Err(_) => return Went::Late,
            Ok(Ok(0) | Err(_)) if got.is_empty() => return Went::Nothing,
            Ok(Ok(0)) => return Went::Broken("closed within its answer".to_owned()),
            Ok(Err(error)) => return Went::Broken(error.to_string()),
            Ok(Ok(read)) => got.extend_from_slice(&chunk[..read]),
        }
    }
}

/// The answer, once it is whole.
fn whole(got: &[u8]) -> Option<Went> {
    let end = got.windows(4).position(|window| window == b"\r\n\r\n")?;
    let Ok(head) = std::str::from_utf8(&got[..end]) else { return Some(Went::Broken("no head".to_owned())) };
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        lines.find(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    };
    let length = header("content-length").and_then(|length| length.parse::<usize>().ok());
    let (Some(status), Some(length)) = (status, length) else {
        return Some(Went::Broken(format!("no sound head: {head:?}")));
    };
    let body = got.get(end + 4..end + 4 + length)?;
    let keep = !header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    Some(Went::Answered(status, body.to_vec(), keep))
}
