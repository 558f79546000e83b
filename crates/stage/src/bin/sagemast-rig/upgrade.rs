//! One sidecar under load is replaced by a process beside it, time after time, while upstreams come cold and go; two of
//! the new ones are killed half way and started again.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use rustix::process::Signal;
use sagemast_sidecar::hosts::Health;
use sagemast_stage::clients::{Application, Tally};
use sagemast_stage::discovery::Discovery;
use sagemast_stage::effects::Effects;
use sagemast_stage::procfs::usage;
use sagemast_stage::single::{Single, Site};
use sagemast_stage::upstream::{Cold, Nature, Upstream};
use tokio::time::{Instant, sleep};

use crate::report::Report;

const RATE: f64 = 200.0;
const UPSTREAMS: usize = 6;
const UPGRADES: usize = 10;
/// Before the fourth and the eighth.
const HALF_WAY: [usize; 2] = [3, 7];
/// The rule about servers that have just started, as the platform's site has it.
const COLD: Cold = Cold {
    share: 0.16,
    warm_up: Duration::from_secs(21),
    multiple: 2.5,
    window: Duration::from_millis(1_500),
};

/// The most that these processes together have held, looked at until it is told to stop.
struct Peaks {
    stop: AtomicBool,
    kib: AtomicU64,
    descriptors: AtomicU64,
    pids: std::sync::Mutex<Vec<u32>>,
}

impl Peaks {
    fn watch() -> Arc<Peaks> {
        let peaks = Arc::new(Peaks {
            stop: AtomicBool::new(false),
            kib: AtomicU64::new(0),
            descriptors: AtomicU64::new(0),
            pids: std::sync::Mutex::default(),
        });
        let watching = peaks.clone();
        std::thread::spawn(move || {
            while !watching.stop.load(Ordering::Relaxed) {
                let pids = watching.pids().clone();
                let all = pids.into_iter().map(usage);
                let (kib, descriptors) =
                    all.fold((0, 0), |sum, one| (sum.0 + one.rss_kib, sum.1 + one.descriptors));
                watching.kib.fetch_max(kib, Ordering::Relaxed);
                watching.descriptors.fetch_max(descriptors as u64, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        peaks
    }

    fn pids(&self) -> std::sync::MutexGuard<'_, Vec<u32>> {
        self.pids.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

pub async fn run(program: &Path, short: bool) -> Result<Report, String> {
    let io = |error: std::io::Error| error.to_string();
    let (effects, cell) = (Arc::new(Effects::default()), sagemast_stage::upstream::Cell::default());
    let discovery = Discovery::start().await.map_err(io)?;
    let warm = Nature { cores: 4, work_ms: 10.0, ..Nature::default() };
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let upstream = Upstream::start(warm.clone(), effects.clone(), cell.clone()).await.map_err(io)?;
        discovery.put(&format!("u{number}"), &upstream, Health::Ready);
        upstreams.push(upstream);
    }
    let mut site = Site::new("upgrade", discovery.address).map_err(io)?;
    let peaks = Peaks::watch();
    let start = |site: &mut Site| -> Result<Single, String> {
        let single = site.start(program)?;
        peaks.pids().push(single.pid());
        Ok(single)
    };
    let mut serving = start(&mut site)?;
    tokio::task::block_in_place(|| serving.wait_ready())?;
    let (tally, phase) = (Arc::new(Tally::default()), Arc::new(AtomicU64::new(0)));
    let pause = Duration::from_millis(if short { 700 } else { 2_500 });
    // Until the last upgrade is through; the load is ended by hand.
    let address = site.address().map_err(io)?;
    let application = Application::new(address, tally.clone(), Duration::from_millis(1_500));
    let end = Instant::now() + (pause * 2 + Duration::from_secs(2)) * UPGRADES as u32;
    let load = tokio::spawn(application.clone().load(RATE, end, phase, 3));

    let (mut slowest, mut ended_badly, mut cold_starts) = (Duration::ZERO, 0, 0);
    for upgrade in 0..UPGRADES {
        sleep(pause).await;
        // One comes that has just started, at the moment at which both may find it, and one drains.
        let cold = Nature { cold: Some(COLD), ..warm.clone() };
        let fresh = Upstream::start(cold, effects.clone(), cell.clone()).await.map_err(io)?;
        let old =
            if upgrade < UPSTREAMS { format!("u{upgrade}") } else { format!("c{}", upgrade - UPSTREAMS) };
        if HALF_WAY.contains(&upgrade) {
            let mut half = start(&mut site)?;
            sleep(Duration::from_millis(15)).await;
            half.kill();
        }
        let mut next = start(&mut site)?;
        discovery.put(&format!("c{upgrade}"), &fresh, Health::Ready);
        discovery.put(&old, &upstreams[upgrade], Health::Draining);
        upstreams[upgrade].drain();
        upstreams.push(fresh);
        cold_starts += 1;
        slowest = slowest.max(tokio::task::block_in_place(|| next.wait_ready())?);
        serving.signal(Signal::TERM);
        let ended = tokio::task::block_in_place(|| serving.wait_exit())?;
        ended_badly += u32::from(!ended.success());
        peaks.pids().retain(|pid| *pid != serving.pid());
        serving = next;
    }
    sleep(pause).await;
    application.send_away(true);
    sleep(Duration::from_millis(1_600)).await;
    load.abort();
    peaks.stop.store(true, Ordering::Relaxed);
    let handed = serving.has_said("goes on from");
    let memory_mb = site.memory_mb as f64;
    let sockets = site.sockets as f64;
    drop(serving);

    let book = tally.book().clone();
    let mut report = Report::new("upgrade");
    report.figure("upgrades", UPGRADES as f64);
    report.figure("killed half way", HALF_WAY.len() as f64);
    report.figure("cold upstreams that came", f64::from(cold_starts));
    report.figure("requests taken", book.taken as f64);
    report.figure("served", book.served as f64);
    report.figure("refused", book.refused.iter().sum::<u64>() as f64);
    report.figure("failed", book.failed as f64);
    report.bound("lost", book.lost as f64, 0.0);
    report.bound("wrong answers", book.wrong as f64, 0.0);
    let undone = book.done.iter().filter(|id| effects.of(id) == 0).count();
    report.bound("answered and undone", undone as f64, 0.0);
    let doubled = effects.doubled(book.once.iter().map(String::as_str));
    report.bound("doubled effects", doubled as f64, 0.0);
    report.bound("sent after a drain", effects.sends_after_drain() as f64, 0.0);
    report.bound("worst surge of a cold upstream", effects.worst_surge(), 1.0);
    let unheard = book.unanswered.len() as u64 + book.turned_away + book.kept_out;
    report.bound("turned back unheard an upgrade", unheard as f64 / UPGRADES as f64, 2.0);
    report.bound("did not hand over", f64::from(u8::from(!handed)), 0.0);
    report.bound("ended badly", f64::from(ended_badly), 0.0);
    report.bound("slowest ready s", slowest.as_secs_f64(), 6.0);
    report.bound("memory of both MB", peaks.kib.load(Ordering::Relaxed) as f64 / 1024.0, memory_mb);
    report.bound("descriptors of both", peaks.descriptors.load(Ordering::Relaxed) as f64, sockets);
    book.losses.iter().for_each(|loss| report.note(loss.clone()));
    Ok(report)
}
