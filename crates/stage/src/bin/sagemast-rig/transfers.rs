//! Long answers to slow readers and long uploads of slow writers, twenty times the memory limit together, beside small
//! requests: the sidecar's memory, what the small ones notice, and how soon first bytes come beside a bare pass-through.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, LazyLock};
use std::time::Duration;

use sagemast_sidecar::hosts::Health;
use sagemast_stage::clients::{Application, Book, Class, Tally};
use sagemast_stage::discovery::Discovery;
use sagemast_stage::single::{Site, peak_kib};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::report::Report;

/// Bytes of one transfer.
const LONG: usize = 32 << 20;
const PIECE: usize = 64 << 10;
/// Small requests a second.
const RATE: f64 = 200.0;
const UPSTREAMS: usize = 4;
/// Small requests may take so many times what they take without the crowd.
const RATIO: f64 = 1.3;

/// Every long body, once.
static BODY: LazyLock<Vec<u8>> =
    LazyLock::new(|| (0..LONG).map(|at| (at % 251) as u8 ^ (at / 251) as u8).collect());

/// Whether these are the bytes that stand at a place of every long body.
fn is_body(at: usize, bytes: &[u8]) -> bool {
    BODY.get(at..at + bytes.len()).is_some_and(|expected| expected == bytes)
}

/// An upstream that answers `?long` with a long body, others with `ran ID`, and reads whatever comes.
async fn upstream(wrong: Arc<AtomicU64>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let wrong = wrong.clone();
            // A connection that breaks is one of the other side's.
            tokio::spawn(async move { drop(serve(stream, &wrong).await) });
        }
    });
    Ok(address)
}

async fn serve(mut stream: TcpStream, wrong: &AtomicU64) -> std::io::Result<()> {
    let mut have = Vec::new();
    loop {
        let end = loop {
            if let Some(end) = have.windows(4).position(|window| window == b"\r\n\r\n") {
                break end + 4;
            }
            let mut chunk = [0; 4 << 10];
            let got = stream.read(&mut chunk).await?;
            if got == 0 {
                return Ok(());
            }
            have.extend_from_slice(&chunk[..got]);
        };
        let head = String::from_utf8_lossy(&have[..end]).into_owned();
        let mut body: Vec<u8> = have.split_off(end);
        let header = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(':'));
            lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim().to_owned())
        };
        let length: usize = header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        let (mut at, long) = (0, length > PIECE);
        let mut buffer = vec![0; PIECE];
        loop {
            let here = body.len().min(length - at);
            if long && !is_body(at, &body[..here]) {
                wrong.fetch_add(1, Ordering::Relaxed);
            }
            at += here;
            let rest = body.split_off(here);
            if at == length {
                have = rest;
                break;
            }
            let got = stream.read(&mut buffer).await?;
            if got == 0 {
                return Ok(());
            }
            body = buffer[..got].to_vec();
        }
        let id = header("x-request-id").unwrap_or_default();
        if head.starts_with("GET /metrics/load") {
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\nTEXT inflight=1, eps=0, util=0.20")
                .await?;
        } else if head.contains("k=long") && !long {
            stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n").as_bytes()).await?;
            for at in (0..LONG).step_by(PIECE) {
                stream.write_all(&BODY[at..at + PIECE]).await?;
            }
        } else {
            let body = format!("ran {id}");
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(format!("{head}{body}").as_bytes()).await?;
        }
    }
}

/// Passes bytes both ways and knows nothing of them.
async fn bare(to: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                if let Ok(mut upstream) = TcpStream::connect(to).await {
                    let _ = tokio::io::copy_bidirectional(&mut stream, &mut upstream).await;
                }
            });
        }
    });
    Ok(address)
}

fn long_request(id: &str, upload: Option<usize>) -> String {
    let (class, method) = (Class::Bill.name(), "POST");
    let length = upload.unwrap_or(0);
    let key = if upload.is_some() { "k=up" } else { "k=long" };
    format!(
        "{method} /{class}?{key} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: {class}\r\nX-Timeout-Ms: 1500\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// Reads a long answer at a rate; the time to its first byte, and whether it came whole and unchanged.
async fn download(address: SocketAddr, id: String, per_second: usize) -> (Duration, Result<(), String>) {
    let begun = Instant::now();
    let mut first = Duration::ZERO;
    let mut read = async || -> Result<(), String> {
        let told = |error: std::io::Error| error.to_string();
        let mut stream = TcpStream::connect(address).await.map_err(told)?;
        stream.write_all(long_request(&id, None).as_bytes()).await.map_err(told)?;
        let mut stream = BufReader::with_capacity(PIECE, stream);
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.map_err(told)?);
        }
        if !head.starts_with(b"HTTP/1.1 200 ") {
            return Err(String::from_utf8_lossy(&head).lines().next().unwrap_or_default().to_owned());
        }
        let (mut at, started) = (0, Instant::now());
        let mut buffer = vec![0; PIECE];
        while at < LONG {
            let got = stream.read(&mut buffer).await.map_err(told)?;
            if got == 0 {
                return Err(format!("it ends after {at} bytes"));
            }
            if at == 0 {
                first = begun.elapsed();
            }
            if !is_body(at, &buffer[..got]) {
                return Err(format!("it is another after {at} bytes"));
            }
            at += got;
            let due = Duration::from_secs_f64(at as f64 / per_second as f64);
            sleep(due.saturating_sub(started.elapsed())).await;
        }
        Ok(())
    };
    let result =
        timeout(Duration::from_secs(120), read()).await.unwrap_or_else(|_| Err("too long".to_owned()));
    (first, result)
}

/// Writes a long body at a rate; whether it was served.
async fn upload(address: SocketAddr, id: String, per_second: usize) -> Result<(), String> {
    let write = async || -> Result<(), String> {
        let told = |error: std::io::Error| error.to_string();
        let mut stream = TcpStream::connect(address).await.map_err(told)?;
        stream.write_all(long_request(&id, Some(LONG)).as_bytes()).await.map_err(told)?;
        let started = Instant::now();
        for at in (0..LONG).step_by(PIECE) {
            stream.write_all(&BODY[at..at + PIECE]).await.map_err(told)?;
            let due = Duration::from_secs_f64(at as f64 / per_second as f64);
            sleep(due.saturating_sub(started.elapsed())).await;
        }
        let mut answer = vec![0; 4 << 10];
        let got = stream.read(&mut answer).await.map_err(told)?;
        let answer = String::from_utf8_lossy(&answer[..got]).into_owned();
        match answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(&format!("ran {id}")) {
            true => Ok(()),
            false => Err(answer.lines().next().unwrap_or_default().to_owned()),
        }
    };
    timeout(Duration::from_secs(120), write()).await.unwrap_or_else(|_| Err("too long".to_owned()))
}

/// Small requests for so long; what their clients saw.
async fn small(address: SocketAddr, seconds: f64) -> Book {
    let tally = Arc::new(Tally::default());
    let application = Application::new(address, tally.clone(), Duration::from_millis(1_500));
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    let phase = Arc::new(AtomicU64::new(0));
    let load = tokio::spawn(application.load(RATE, end, phase.clone(), 7));
    // Connections are opened, and a crowd begins, in the first second.
    sleep(Duration::from_secs(1)).await;
    phase.store(1, Ordering::Relaxed);
    let _ = load.await;
    tally.book().clone()
}

pub async fn run(program: &Path, short: bool) -> Result<Report, String> {
    let io = |error: std::io::Error| error.to_string();
    LazyLock::force(&BODY);
    let wrong = Arc::new(AtomicU64::new(0));
    let discovery = Discovery::start().await.map_err(io)?;
    let mut first_upstream = None;
    for number in 0..UPSTREAMS {
        let address = upstream(wrong.clone()).await.map_err(io)?;
        first_upstream.get_or_insert(address);
        discovery.put_at(&format!("u{number}"), address, Health::Ready);
    }
    let mut site = Site::new("transfers", discovery.address).map_err(io)?;
    site.sockets = 1_024;
    let address = site.address().map_err(io)?;
    let mut single = site.start(program)?;
    tokio::task::block_in_place(|| single.wait_ready())?;
    let mut report = Report::new("transfers");
    // A crowd that together has twenty times the limit under way.
    let crowd = if short { 16 } else { site.memory_mb * 20 * (1 << 20) / LONG };
    let seconds = if short { 6.0 } else { 30.0 };
    let rate = (LONG as f64 / seconds) as usize;
    let calm = small(address, seconds).await;
    let quiet = peak_kib(single.pid());

    // First bytes, one at a time, beside a pass-through that knows nothing.
    let bare = bare(first_upstream.ok_or("no upstream")?).await.map_err(io)?;
    let (mut through, mut direct) = (Vec::new(), Vec::new());
    for number in 0..if short { 5 } else { 20 } {
        let (first, whole) = download(address, format!("f{number:015x}"), usize::MAX >> 8).await;
        whole?;
        through.push(first);
        let (first, whole) = download(bare, format!("e{number:015x}"), usize::MAX >> 8).await;
        whole?;
        direct.push(first);
    }
    let median = |times: &mut Vec<Duration>| {
        times.sort_unstable();
        times[times.len() / 2].as_secs_f64() * 1e3
    };
    report.figure("first bytes ms", median(&mut through));
    report.figure("first bytes ms bare", median(&mut direct));

    for (what, up) in [("answers", false), ("uploads", true)] {
        let mut crowd_of = JoinSet::new();
        for number in 0..crowd {
            let id = format!("{}{number:015x}", if up { 'b' } else { 'a' });
            crowd_of.spawn(async move {
                if up { upload(address, id, rate).await } else { download(address, id, rate).await.1 }
            });
        }
        let crowded = small(address, seconds).await;
        let mut broken = Vec::new();
        while let Some(one) = crowd_of.join_next().await {
            if let Ok(Err(how)) = one {
                broken.push(how);
            }
        }
        report.figure(&format!("{what}: at once"), crowd as f64);
        report.bound(&format!("{what}: broken"), broken.len() as f64, 0.0);
        broken.iter().take(5).for_each(|how| report.note(format!("{what}: {how}")));
        for (quantile, name) in [(0.5, "p50"), (0.99, "p99")] {
            let (with, without) = (crowded.quantile_ms(1, quantile), calm.quantile_ms(1, quantile));
            report.figure(&format!("{what}: small {name} ms"), with);
            report.figure(&format!("{what}: small {name} ms without"), without);
            if name == "p99" {
                report.bound(&format!("{what}: small {name} over without"), with / without, RATIO);
            }
        }
        let bad = crowded.lost + crowded.wrong + crowded.failed;
        report.bound(&format!("{what}: small ones lost, wrong or failed"), bad as f64, 0.0);
        report.figure(&format!("{what}: small ones refused"), crowded.refused.iter().sum::<u64>() as f64);
    }
    report.bound("bodies changed on the way", wrong.load(Ordering::Relaxed) as f64, 0.0);
    report.figure("memory MB before", quiet as f64 / 1024.0);
    report.bound("memory MB at most", peak_kib(single.pid()) as f64 / 1024.0, site.memory_mb as f64);
    drop(single);
    Ok(report)
}
