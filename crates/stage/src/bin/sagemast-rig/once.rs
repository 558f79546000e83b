//! Work that may run only once, through everything that could have it run twice: upstreams that refuse, reset, fall silent and
//! answer wrongly at any byte, clients that leave and come again, few descriptors, silent operators, the end and the upgrade of
//! the process in the middle. Counted by the upstreams and the clients alone.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use oorandom::Rand64;
use rustix::process::Signal;
use sagemast_sidecar::hosts::Health;
use sagemast_stage::discovery::Discovery;
use sagemast_stage::raw_http::{header, read_body, read_head, reset};
use sagemast_stage::single::Site;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use crate::report::Report;

const UPSTREAMS: u64 = 5;
const CLIENTS: u64 = 48;
/// The window of keyed requests in the settings, and what an upstream's clock may differ by.
const WINDOW: Duration = Duration::from_millis(2_050);
/// How long a client waits for its answer, and what it then gives the sidecar on top.
const PATIENCE: Duration = Duration::from_millis(700);
const SLACK: Duration = Duration::from_secs(2);
/// Half of what is asked for may run only once.
const CLASSES: [&str; 4] = ["copy-bill", "errata-log", "copy-bill", "page-fetch"];

/// What is known of one request.
#[derive(Default)]
struct Case {
    class: usize,
    /// When its last byte came to an upstream, and whether it may have run there.
    came: Vec<(Instant, bool)>,
    answered: Option<u16>,
    left: Option<Instant>,
}

#[derive(Default)]
struct Book(Mutex<HashMap<String, Case>>, AtomicU64);

impl Book {
    fn cases(&self) -> MutexGuard<'_, HashMap<String, Case>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One connection of an upstream.
async fn upstream(mut stream: TcpStream, book: Arc<Book>, seed: u64) {
    let _ = stream.set_nodelay(true);
    let (mut rng, mut rest) = (Rand64::new(u128::from(seed)), Vec::new());
    loop {
        // Now and then it goes away at some byte of what comes.
        if rng.rand_range(0..40) == 0 {
            let mut some = vec![0; rng.rand_range(1..400) as usize];
            let _ = timeout(Duration::from_millis(300), stream.read_exact(&mut some)).await;
            return reset(stream);
        }
        // It closes what rests, at a time of its own.
        let rests = Duration::from_millis(rng.rand_range(5..400));
        let Ok(Some(head)) = timeout(rests, read_head(&mut stream, &mut rest)).await else { return };
        let length = header(&head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        // It answers before all has come, now and then.
        let early = length > 0 && rng.rand_range(0..30) == 0;
        let full: &[u8] = b"HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
        if early {
            let _ = stream.write_all(full).await;
            return;
        }
        if read_body(&mut stream, &mut rest, length).await.is_none() {
            return;
        }
        let Some(id) = header(&head, "x-request-id") else {
            let report = b"HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\nTEXT inflight=0, eps=0, util=0.100\n";
            if stream.write_all(report.get(..report.len() - 1).unwrap_or_default()).await.is_err() {
                return;
            }
            let _ = stream.write_all(b"\n").await;
            continue;
        };
        let deed = rng.rand_range(0..24);
        let turned_away = deed < 4;
        if let Some(case) = book.cases().get_mut(id) {
            case.came.push((Instant::now(), !turned_away));
        }
        let work = Duration::from_micros(rng.rand_range(200..9_000));
        sleep(work).await;
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\nran {id}", id.len() + 4);
        let said = match deed {
            0..4 => stream.write_all(full).await,
            4 => return reset(stream),
            5 => return,
            // Half an answer, and no more or the end.
            6 | 7 => {
                let half = rng.rand_range(0..text.len() as u64) as usize;
                let _ = stream.write_all(&text.as_bytes()[..half]).await;
                if deed == 6 {
                    sleep(PATIENCE * 2).await;
                }
                return;
            }
            8 => {
                sleep(PATIENCE * 2).await;
                return;
            }
            9 => stream.write_all(b"HTTP/1.1 500 x\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n").await,
            10 => stream.write_all(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n").await,
            11 => {
                let _ = stream
                    .write_all(b"HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\nha")
                    .await;
                return;
            }
            // Late, and after its time.
            12 => {
                sleep(Duration::from_millis(rng.rand_range(50..900))).await;
                stream.write_all(text.as_bytes()).await
            }
            _ => stream.write_all(text.as_bytes()).await,
        };
        if said.is_err() {
            return;
        }
    }
}

/// One client, that asks time after time: it leaves now and then and comes again with a new id, and rests until its connection
/// is about to be closed.
async fn client(address: SocketAddr, book: Arc<Book>, number: u64, stop: Arc<AtomicBool>) {
    let mut rng = Rand64::new(u128::from(number) + 1_000);
    let mut kept: Option<TcpStream> = None;
    while !stop.load(Ordering::Relaxed) {
        let Some(mut stream) = (match kept.take() {
            Some(stream) => Some(stream),
            None => TcpStream::connect(address).await.ok(),
        }) else {
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let id = format!("{:016x}", book.1.fetch_add(1, Ordering::Relaxed));
        let class = rng.rand_range(0..CLASSES.len() as u64) as usize;
        let length = if class == 3 { 0 } else { [4, 900, 30_000][rng.rand_range(0..3) as usize] };
        let key = if class == 1 { format!("Idempotency-Key: key-{id}\r\n") } else { String::new() };
        let method = if class == 3 { "GET" } else { "POST" };
        let framing = if class == 3 { String::new() } else { format!("Content-Length: {length}\r\n") };
        let text = format!(
            "{method} /{0}?k=1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Priority-Class: {0}\r\n\
             X-Timeout-Ms: {1}\r\n{key}{framing}\r\n{2}",
            CLASSES[class],
            PATIENCE.as_millis(),
            "x".repeat(length)
        );
        book.cases().insert(id.clone(), Case { class, ..Case::default() });
        // In pieces, now and then, or not to its end.
        let cut = if rng.rand_range(0..4) == 0 { rng.rand_range(0..text.len() as u64) as usize } else { 0 };
        let (first, second) = text.as_bytes().split_at(cut);
        let mut written = stream.write_all(first).await;
        if cut > 0 {
            sleep(Duration::from_micros(rng.rand_range(0..3_000))).await;
        }
        if cut == 0 || rng.rand_range(0..8) > 0 {
            written = written.and(stream.write_all(second).await);
        }
        let leaves = cut == 0 && rng.rand_range(0..6) == 0;
        if leaves || written.is_err() {
            sleep(Duration::from_micros(rng.rand_range(0..20_000))).await;
            if let Some(case) = book.cases().get_mut(&id) {
                case.left = Some(Instant::now());
            }
            if rng.rand_range(0..2) == 0 {
                reset(stream);
            }
            continue;
        }
        let mut rest = Vec::new();
        let answer = timeout(PATIENCE + SLACK, read_head(&mut stream, &mut rest)).await;
        if let Ok(Some(answer)) = answer {
            let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
            let length =
                header(&answer, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            if read_body(&mut stream, &mut rest, length).await.is_some() {
                if let Some(case) = book.cases().get_mut(&id) {
                    case.answered = status;
                }
                let closes = header(&answer, "connection").is_some_and(|value| value == "close");
                kept = Some(stream).filter(|_| !closes && rng.rand_range(0..3) > 0);
            }
        }
        let rests =
            if rng.rand_range(0..60) == 0 { rng.rand_range(2_150..2_260) } else { rng.rand_range(0..12) };
        sleep(Duration::from_millis(rests)).await;
    }
}

pub async fn run(program: &Path, short: bool) -> Result<Report, String> {
    let io = |error: std::io::Error| error.to_string();
    let (book, stop) = (Arc::new(Book::default()), Arc::new(AtomicBool::new(false)));
    let discovery = Discovery::start().await.map_err(io)?;
    for number in 0..UPSTREAMS {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io)?;
        discovery.put_at(&format!("u{number}"), listener.local_addr().map_err(io)?, Health::Ready);
        let book = book.clone();
        tokio::spawn(async move {
            let mut seed = number << 32;
            while let Ok((stream, _)) = listener.accept().await {
                seed += 1;
                tokio::spawn(upstream(stream, book.clone(), seed));
            }
        });
    }
    let mut site = Site::new("once", discovery.address).map_err(io)?;
    site.sockets = 128;
    let mut serving = site.start(program)?;
    tokio::task::block_in_place(|| serving.wait_ready())?;
    let address = site.address().map_err(io)?;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| tokio::spawn(client(address, book.clone(), number, stop.clone())))
        .collect();
    let rounds = if short { 4 } else { 24 };
    let mut ended_badly = 0;
    // With SAGEMAST_TRACE=1 they tell what became of a case that breaks a bound.
    let mut logs = vec![serving.log.clone()];
    for round in 0..rounds {
        sleep(Duration::from_millis(2_500)).await;
        // Operators who say nothing, or half a call.
        let mut silent = Vec::new();
        for _ in 0..4 {
            if let Ok(mut stream) = TcpStream::connect(serving.console).await {
                let _ = stream.write_all(b"GET /api/tele").await;
                silent.push(stream);
            }
        }
        // Every other time the next one is there before the last is told to end; else there is a gap.
        let next = if round % 2 == 0 { Some(site.start(program)?) } else { None };
        let next = match next {
            Some(mut next) => {
                logs.push(next.log.clone());
                tokio::task::block_in_place(|| next.wait_ready())?;
                next
            }
            None => {
                serving.signal(Signal::TERM);
                let ended = tokio::task::block_in_place(|| serving.wait_exit())?;
                ended_badly += u32::from(!ended.success());
                let mut next = site.start(program)?;
                logs.push(next.log.clone());
                tokio::task::block_in_place(|| next.wait_ready())?;
                serving = next;
                continue;
            }
        };
        serving.signal(Signal::TERM);
        let ended = tokio::task::block_in_place(|| serving.wait_exit())?;
        ended_badly += u32::from(!ended.success());
        serving = next;
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.await;
    }
    // What is still out is given up by then.
    sleep(PATIENCE).await;
    drop(serving);
    let mut report = told(&book, ended_badly);
    for id in broken(&book) {
        for log in &logs {
            let log = log.lock().unwrap_or_else(PoisonError::into_inner);
            log.iter().filter(|line| line.contains(&id)).for_each(|line| report.note(line.clone()));
        }
    }
    Ok(report)
}

/// The ids of those that broke a bound.
fn broken(book: &Book) -> Vec<String> {
    let cases = book.cases();
    let broken = cases
        .iter()
        .filter(|(_, case)| case.begun_late().is_some() || case.ran_again() || case.refused_late());
    broken.map(|(id, _)| id.clone()).collect()
}

impl Case {
    /// The first attempt that may have run.
    fn first(&self) -> Option<usize> {
        self.came.iter().position(|(_, may_have_run)| *may_have_run)
    }

    /// How long after its client had left an attempt came, where that is too long. Half a second is for stand-ins that share
    /// their cores with the program: the bound of the terms is tested on made crossings.
    fn begun_late(&self) -> Option<Duration> {
        let left = self.left?;
        let last = self.came.iter().map(|(at, _)| at.saturating_duration_since(left)).max()?;
        Some(last).filter(|late| *late > Duration::from_millis(500))
    }

    fn ran_again(&self) -> bool {
        CLASSES[self.class] == "copy-bill" && self.first().is_some_and(|first| self.came.len() > first + 1)
    }

    fn refused_late(&self) -> bool {
        let safe = CLASSES[self.class] == "page-fetch";
        !safe && self.first().is_some() && matches!(self.answered, Some(429 | 503))
    }
}

fn told(book: &Book, ended_badly: u32) -> Report {
    let cases = book.cases();
    let [mut attempts, mut twice, mut late, mut refused, mut after] = [0u32; 5];
    let [mut served, mut failed, mut dropped, mut left, mut unanswered] = [0u32; 5];
    let mut report = Report::new("once");
    for case in cases.values() {
        attempts += case.came.len() as u32;
        match case.answered {
            Some(200) => served += 1,
            Some(429 | 503) => dropped += 1,
            Some(_) => failed += 1,
            None if case.left.is_some() => left += 1,
            None => unanswered += 1,
        }
        after += u32::from(case.begun_late().is_some());
        twice += u32::from(case.ran_again());
        refused += u32::from(case.refused_late());
        if let (Some(first), "errata-log") = (case.first(), CLASSES[case.class]) {
            late += u32::from(case.came.iter().any(|(at, _)| *at > case.came[first].0 + WINDOW));
        }
    }
    report.figure("requests", cases.len() as f64);
    report.figure("attempts that came whole", f64::from(attempts));
    report.figure("served", f64::from(served));
    report.figure("refused", f64::from(dropped));
    report.figure("failed", f64::from(failed));
    report.figure("left first", f64::from(left));
    report.figure("cut off or never sent whole", f64::from(unanswered));
    report.bound("sent again after it may have run", f64::from(twice), 0.0);
    report.bound("keyed, sent again after its window", f64::from(late), 0.0);
    report.bound("refused after it may have run", f64::from(refused), 0.0);
    report.bound("begun half a second after its client left", f64::from(after), 0.0);
    report.bound("processes that ended badly", f64::from(ended_badly), 0.0);
    report.bound("served none", f64::from(u8::from(served == 0)), 0.0);
    report
}
