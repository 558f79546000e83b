//! The operators' address on a starved processor: the sidecar is ranked last, every core is kept busy by others, clients
//! ask, and 100 callers say nothing or half a call.

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use sagemast_sidecar::hosts::Health;
use sagemast_stage::clients::{Application, Tally};
use sagemast_stage::discovery::Discovery;
use sagemast_stage::effects::Effects;
use sagemast_stage::single::{Site, call, figures};
use sagemast_stage::upstream::{Nature, Upstream};
use tokio::time::{Instant, sleep};

use crate::report::Report;

const RATE: f64 = 150.0;
const UPSTREAMS: usize = 4;
const SILENT: usize = 100;

/// Keeps every core busy until this is dropped.
struct Busy(Arc<AtomicBool>);

impl Busy {
    fn start() -> Busy {
        let stop = Arc::new(AtomicBool::new(false));
        let cores = std::thread::available_parallelism().map_or(2, std::num::NonZero::get);
        for _ in 0..cores {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let mut sum = 1_u64;
                while !stop.load(Ordering::Relaxed) {
                    for _ in 0..10_000 {
                        sum =
                            std::hint::black_box(sum.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1));
                    }
                }
            });
        }
        Busy(stop)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

pub async fn run(program: &Path, short: bool) -> Result<Report, String> {
    let io = |error: std::io::Error| error.to_string();
    let (effects, cell) = (Arc::new(Effects::default()), sagemast_stage::upstream::Cell::default());
    let discovery = Discovery::start().await.map_err(io)?;
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let nature = Nature { work_ms: 5.0, ..Nature::default() };
        let upstream = Upstream::start(nature, effects.clone(), cell.clone()).await.map_err(io)?;
        discovery.put(&format!("u{number}"), &upstream, Health::Ready);
        upstreams.push(upstream);
    }
    let mut site = Site::new("console", discovery.address).map_err(io)?;
    site.nice = 19;
    let address = site.address().map_err(io)?;
    let mut single = site.start(program)?;
    tokio::task::block_in_place(|| single.wait_ready())?;
    let console = single.console;
    let tally = Arc::new(Tally::default());
    let application = Application::new(address, tally.clone(), Duration::from_millis(1_500));
    let seconds = if short { 5 } else { 20 };
    let end = Instant::now() + Duration::from_secs(seconds);
    let load = tokio::spawn(application.load(RATE, end, Arc::new(AtomicU64::new(0)), 9));
    let busy = Busy::start();
    let mut silent: Vec<TcpStream> = Vec::new();
    let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(|error| error.to_string())?;
    let (mut unanswered, mut calls) = (0, 0_u64);
    while Instant::now() < end {
        // Always so many that say nothing, half of them after half a call; they stay for 4 s.
        while silent.len() < SILENT {
            let mut stream = TcpStream::connect(console).map_err(io)?;
            if silent.len().is_multiple_of(2) {
                let _ = stream.write_all(b"GET /api/tele");
            }
            silent.push(stream);
        }
        let begun = Instant::now();
        let path = if calls.is_multiple_of(2) { "/api/ready" } else { "/api/telemetry" };
        let answer = tokio::task::block_in_place(|| call(console, "GET", path));
        calls += 1;
        unanswered += u32::from(!answer.is_ok_and(|(status, _)| status == 200));
        times.saturating_record(begun.elapsed().as_micros() as u64);
        sleep(Duration::from_millis(20)).await;
        if calls.is_multiple_of(10) {
            silent.drain(..silent.len() / 5);
        }
    }
    drop(busy);
    let _ = load.await;
    sleep(Duration::from_millis(600)).await;
    let told = tokio::task::block_in_place(|| figures(console))?;
    let sum = |word: &str| -> u64 {
        let classes = told["handled"].as_object().into_iter().flatten();
        classes.filter_map(|(_, class)| class[word].as_u64()).sum()
    };
    let book = tally.book().clone();
    let tries: u64 = upstreams.iter().map(Upstream::requests).sum();
    let mut report = Report::new("console");
    report.figure("calls", calls as f64);
    report.figure("silent callers at once", SILENT as f64);
    report.bound("calls without a yes", f64::from(unanswered), 0.0);
    report.figure("half of the answers within ms", times.value_at_quantile(0.5) as f64 / 1e3);
    report.figure("99 of 100 within ms", times.value_at_quantile(0.99) as f64 / 1e3);
    report.bound("slowest answer ms", times.max() as f64 / 1e3, 1_000.0);
    report.figure("clients' half within ms", book.quantile_ms(0, 0.5));
    report.figure("clients' 99 of 100 within ms", book.quantile_ms(0, 0.99));
    report.figure("served", book.served as f64);
    let off = |told: u64, seen: u64, share: f64| {
        // To 1 % (attempts 2 %), or 3.
        let most = (seen as f64 * share).max(3.0);
        told.abs_diff(seen) as f64 / most
    };
    report.bound("passed, off in parts of what is allowed", off(sum("passed"), book.served, 0.01), 1.0);
    let refused = book.refused.iter().sum();
    report.bound("dropped, the same", off(sum("dropped"), refused, 0.01), 1.0);
    report.bound("bad_gateway, the same", off(sum("bad_gateway"), book.failed, 0.01), 1.0);
    let told_tries = told["upstream_tries"].as_u64().unwrap_or(0);
    report.bound("upstream_tries, the same", off(told_tries, tries, 0.02), 1.0);
    report.bound("in_progress at the end", told["in_progress"].as_u64().unwrap_or(99) as f64, 0.0);
    drop(single);
    Ok(report)
}
