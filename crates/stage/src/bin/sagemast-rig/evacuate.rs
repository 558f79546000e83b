//! One sidecar under load is emptied and filled again, time after time: how soon `/up` says no, how soon nothing is held,
//! how soon it says yes again, and that nothing is lost.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use sagemast_sidecar::hosts::Health;
use sagemast_stage::clients::{Application, Tally};
use sagemast_stage::discovery::Discovery;
use sagemast_stage::effects::Effects;
use sagemast_stage::single::{Site, call, figures};
use sagemast_stage::upstream::{Nature, Upstream};
use tokio::time::{Instant, sleep};

use crate::report::Report;

const RATE: f64 = 200.0;
const UPSTREAMS: usize = 4;
/// The front asks `/up` this often, and sends new connections for so long after it has heard a no.
const ASKS: Duration = Duration::from_millis(100);
const STILL_SENDS: Duration = Duration::from_millis(200);

/// What `/up` says at the clients' address.
fn up(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    };
    ask().is_ok_and(|answer| answer.starts_with("HTTP/1.1 200 "))
}

/// Waits until `/up` says so; how long that took.
async fn until_up(address: SocketAddr, says: bool) -> Duration {
    let begun = Instant::now();
    while tokio::task::block_in_place(|| up(address)) != says && begun.elapsed() < Duration::from_secs(20) {
        sleep(Duration::from_millis(2)).await;
    }
    begun.elapsed()
}

pub async fn run(program: &Path, short: bool) -> Result<Report, String> {
    let io = |error: std::io::Error| error.to_string();
    let cycles = if short { 4 } else { 20 };
    let (effects, cell) = (Arc::new(Effects::default()), sagemast_stage::upstream::Cell::default());
    let discovery = Discovery::start().await.map_err(io)?;
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let nature = Nature { work_ms: 10.0, ..Nature::default() };
        let upstream = Upstream::start(nature, effects.clone(), cell.clone()).await.map_err(io)?;
        discovery.put(&format!("u{number}"), &upstream, Health::Ready);
        upstreams.push(upstream);
    }
    let mut site = Site::new("evacuate", discovery.address).map_err(io)?;
    let address = site.address().map_err(io)?;
    let mut single = site.start(program)?;
    tokio::task::block_in_place(|| single.wait_ready())?;
    let console = single.console;
    let tally = Arc::new(Tally::default());
    let application = Application::new(address, tally.clone(), Duration::from_millis(1_500));
    let end = Instant::now() + Duration::from_secs(6) * cycles;
    let load = tokio::spawn(application.clone().load(RATE, end, Arc::new(AtomicU64::new(0)), 5));
    let call = |path: &str| tokio::task::block_in_place(|| call(console, "PUT", path)).map_err(io);
    let (mut to_no, mut to_empty, mut to_yes) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    let (mut not_empty, mut refused_calls) = (0, 0);
    for cycle in 0..cycles {
        sleep(Duration::from_millis(800)).await;
        let begun = Instant::now();
        refused_calls += u32::from(call("/api/evacuate")?.0 != 200);
        if cycle % 3 == 1 {
            // Twice is once, and a new configuration is no rejoining.
            single.signal(rustix::process::Signal::HUP);
            refused_calls += u32::from(call("/api/evacuate")?.0 != 200);
        }
        to_no = to_no.max(until_up(address, false).await);
        sleep(ASKS + STILL_SENDS).await;
        application.send_away(true);
        let mut empty = false;
        while begun.elapsed() < Duration::from_secs(4) && !empty {
            let told = tokio::task::block_in_place(|| figures(console))?;
            empty = told["in_progress"] == 0 && application.open_connections() == 0;
            sleep(Duration::from_millis(10)).await;
        }
        to_empty = to_empty.max(begun.elapsed());
        not_empty += u32::from(!empty);
        let begun = Instant::now();
        refused_calls += u32::from(call("/api/rejoin")?.0 != 200);
        to_yes = to_yes.max(until_up(address, true).await);
        to_yes = to_yes.max(begun.elapsed());
        application.send_away(false);
    }
    sleep(Duration::from_millis(500)).await;
    application.send_away(true);
    sleep(Duration::from_millis(1_600)).await;
    load.abort();
    let told = tokio::task::block_in_place(|| figures(console))?;
    let sum = |word: &str| -> u64 {
        let classes = told["handled"].as_object().into_iter().flatten();
        classes.filter_map(|(_, class)| class[word].as_u64()).sum()
    };
    let book = tally.book().clone();
    let mut report = Report::new("evacuate");
    report.figure("cycles", f64::from(cycles));
    report.bound("calls that were not granted", f64::from(refused_calls), 0.0);
    report.figure("requests taken", book.taken as f64);
    report.figure("served", book.served as f64);
    report.figure("refused", book.refused.iter().sum::<u64>() as f64);
    report.bound("lost", book.lost as f64, 0.0);
    report.bound("wrong answers", book.wrong as f64, 0.0);
    let doubled = effects.doubled(book.once.iter().map(String::as_str));
    report.bound("doubled effects", doubled as f64, 0.0);
    report.figure("crossed a close, sent again", book.unanswered.len() as f64);
    report.bound("slowest no ms", to_no.as_secs_f64() * 1e3, 1_000.0);
    report.bound("slowest empty ms", to_empty.as_secs_f64() * 1e3, 4_000.0);
    report.bound("not empty after 4 s", f64::from(not_empty), 0.0);
    report.bound("slowest yes ms", to_yes.as_secs_f64() * 1e3, 2_000.0);
    let off = sum("passed").abs_diff(book.served);
    report.bound("figures beside what clients counted", off as f64, 3.0);
    report.figure(
        "connections that upstreams had at most",
        upstreams.iter().map(Upstream::most_connections).sum::<usize>() as f64,
    );
    book.losses.iter().for_each(|loss| report.note(loss.clone()));
    drop(single);
    Ok(report)
}
