//! What a sidecar adds to a request where nothing is wrong: beside a bare pass-through to the same upstreams, which
//! answer at once and tell the same load throughout. Timings are ratios within one run.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use sagemast_sidecar::hosts::Health;
use sagemast_stage::clients::{Application, Book, Tally};
use sagemast_stage::discovery::Discovery;
use sagemast_stage::fixed::{Server, pass_through, upstream};
use sagemast_stage::fleet::FleetFile;
use sagemast_stage::program::Daemon;
use tokio::time::Instant;

use crate::report::Report;

const UPSTREAMS: usize = 10;
const RATE: f64 = 1_000.0;
/// Half and 99 of 100 requests may take so many times what they take through the pass-through.
const RATIO: f64 = 1.3;
/// In flight and utilisation as every upstream tells them.
const LOADS: [(&str, Option<&str>); 5] = [
    ("1/0.3", Some("inflight=1, eps=0, util=0.3")),
    ("10/0.05", Some("inflight=10, eps=0, util=0.05")),
    ("10/0.2", Some("inflight=10, eps=0, util=0.2")),
    ("0/0.01", Some("inflight=0, eps=0, util=0.01")),
    ("none", None),
];

/// Steady load on an address; what clients saw of its second half.
async fn play(address: SocketAddr, seconds: u64) -> Book {
    let tally = Arc::new(Tally::default());
    let phase = Arc::new(std::sync::atomic::AtomicU64::new(0));
    let begun = Instant::now();
    let application = Application::new(address, tally.clone(), Duration::from_millis(1_500));
    let load = tokio::spawn(application.load(RATE, begun + Duration::from_secs(seconds), phase.clone(), 7));
    // Connections are opened and service times learnt in the first half.
    tokio::time::sleep(Duration::from_millis(seconds * 500)).await;
    phase.store(1, std::sync::atomic::Ordering::Relaxed);
    // It panics only with the rig itself.
    let _ = load.await;
    tally.book().clone()
}

pub async fn run(program: &Path, short: bool) -> Result<Report, String> {
    let io = |error: std::io::Error| error.to_string();
    let seconds = if short { 2 } else { 8 };
    let mut report = Report::new("ordinary-path");
    for (name, load) in LOADS {
        let discovery = Discovery::start().await.map_err(io)?;
        let mut upstreams: Vec<Server> = Vec::new();
        for number in 0..UPSTREAMS {
            let started = upstream(load).await.map_err(io)?;
            discovery.put_at(&format!("u{number}"), started.address, Health::Ready);
            upstreams.push(started);
        }
        let bare = pass_through(upstreams.iter().map(|one| one.address).collect()).await.map_err(io)?;
        let folder = std::env::temp_dir().join(format!("sagemast-rig-{}-ordinary", std::process::id()));
        let mut file = FleetFile::new(&folder, discovery.address).with_instances(1);
        (file.workers, file.sockets) = (1, 512);
        if load.is_none() {
            file.settings = file.settings.replace("probes = true", "probes = false");
        }
        let daemon = tokio::task::block_in_place(|| {
            let daemon = Daemon::start(program, &file)?;
            daemon.settle()?;
            Ok::<_, String>(daemon)
        })?;
        let address = daemon.address("i0")?;
        let (through, direct) = (play(address, seconds).await, play(bare.address, seconds).await);
        drop(daemon);
        let _ = std::fs::remove_dir_all(&folder);
        for (quantile, what) in [(0.5, "p50"), (0.99, "p99")] {
            let (sidecar, bare) = (through.quantile_ms(1, quantile), direct.quantile_ms(1, quantile));
            report.figure(&format!("{name}: {what} ms"), sidecar);
            report.figure(&format!("{name}: {what} ms bare"), bare);
            report.bound(&format!("{name}: {what} over bare"), sidecar / bare, RATIO);
        }
        report.bound(&format!("{name}: refused"), through.refused.iter().sum::<u64>() as f64, 0.0);
        report.bound(&format!("{name}: failed or lost"), (through.failed + through.lost) as f64, 0.0);
        report.figure(&format!("{name}: served"), through.served as f64);
    }
    Ok(report)
}
