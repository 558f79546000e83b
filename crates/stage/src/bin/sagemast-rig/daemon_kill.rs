//! A daemon under load is killed outright, ten times, and started again as a service manager would; every other time
//! discovery is down then, so that only what was kept on disk tells it of its upstreams.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use sagemast_sidecar::hosts::Health;
use sagemast_stage::clients::{Application, Tally};
use sagemast_stage::discovery::Discovery;
use sagemast_stage::effects::Effects;
use sagemast_stage::fleet::FleetFile;
use sagemast_stage::program::Daemon;
use sagemast_stage::upstream::{Nature, Upstream};
use tokio::time::{Instant, sleep};

use crate::report::Report;

const INSTANCES: usize = 20;
const RATE: f64 = 10.0;
const UPSTREAMS: usize = 4;
const KILLS: usize = 10;

pub async fn run(program: &Path, short: bool) -> Result<Report, String> {
    let io = |error: std::io::Error| error.to_string();
    let effects = Arc::new(Effects::default());
    let cell = sagemast_stage::upstream::Cell::default();
    let discovery = Discovery::start().await.map_err(io)?;
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let upstream = Upstream::start(Nature::default(), effects.clone(), cell.clone()).await.map_err(io)?;
        discovery.put(&format!("u{number}"), &upstream, Health::Ready);
        upstreams.push(upstream);
    }
    let folder = std::env::temp_dir().join(format!("sagemast-rig-{}-kill", std::process::id()));
    let mut file = FleetFile::new(&folder, discovery.address).with_instances(INSTANCES);
    // The same addresses after each start.
    for (_, listen, _) in &mut file.instances {
        let free = std::net::TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
        *listen = free.map_err(io)?;
    }
    file.state = true;
    let mut daemon = tokio::task::block_in_place(|| {
        let daemon = Daemon::start(program, &file)?;
        daemon.settle()?;
        Ok::<_, String>(daemon)
    })?;
    let pause = Duration::from_millis(if short { 1_200 } else { 4_000 });
    let tally = Arc::new(Tally::default());
    let end = Instant::now() + (pause + Duration::from_millis(400)) * (KILLS as u32 + 1);
    let mut loads = tokio::task::JoinSet::new();
    for (number, (_, address, _)) in file.instances.iter().enumerate() {
        let application = Application::new(*address, tally.clone(), Duration::from_millis(1_500));
        loads.spawn(application.load(RATE, end, Arc::new(AtomicU64::new(0)), number as u64));
    }
    let (mut slowest, mut slowest_down) = (Duration::ZERO, Duration::ZERO);
    let (mut came_back, mut served_down) = (0, 0);
    for kill in 0..KILLS {
        sleep(pause).await;
        let down = kill % 2 == 1;
        discovery.set_up(!down);
        if down {
            // Nothing of a first start is left that could tell it.
            sleep(Duration::from_millis(50)).await;
        }
        let begun = Instant::now();
        tokio::task::block_in_place(|| {
            daemon.kill();
            daemon.start_again()?;
            daemon.settle()
        })?;
        let took = begun.elapsed();
        came_back += 1;
        if down {
            slowest_down = slowest_down.max(took);
            let before = tally.book().served;
            sleep(Duration::from_millis(400)).await;
            served_down += u32::from(tally.book().served > before);
            discovery.set_up(true);
        } else {
            slowest = slowest.max(took);
        }
    }
    while loads.join_next().await.is_some() {}
    let aside = std::fs::read_dir(folder.join("state")).into_iter().flatten().flatten();
    let aside = aside.filter(|entry| entry.file_name().to_string_lossy().ends_with(".bad")).count();
    drop(daemon);
    let _ = std::fs::remove_dir_all(&folder);

    let book = tally.book().clone();
    let mut report = Report::new("daemon-kill");
    report.figure("kills", KILLS as f64);
    report.bound("did not come back", (KILLS - came_back) as f64, 0.0);
    report.bound("did not serve without discovery", (KILLS / 2) as f64 - f64::from(served_down), 0.0);
    report.figure("slowest return s", slowest.as_secs_f64());
    report.figure("slowest return without discovery s", slowest_down.as_secs_f64());
    report.figure("requests taken", book.taken as f64);
    report.figure("served", book.served as f64);
    report.figure("refused", book.refused.iter().sum::<u64>() as f64);
    report.figure("failed", book.failed as f64);
    report.figure("held when killed", (book.lost as usize + book.unanswered.len()) as f64);
    let undone = book.done.iter().filter(|id| effects.of(id) == 0).count();
    report.bound("answered and undone", undone as f64, 0.0);
    let doubled = effects.doubled(book.once.iter().map(String::as_str));
    report.bound("doubled effects", doubled as f64, 0.0);
    report.bound("state files not believed", aside as f64, 0.0);
    Ok(report)
}
