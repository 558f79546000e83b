//! Steady load over 50 instances while they are restarted, stopped and started, changed in place and by successors,
//! killed by panic, and the whole daemon is handed over; upstreams come cold and go meanwhile.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use oorandom::Rand64;
use sagemast_daemon::frames::{Ask, Fault};
use sagemast_sidecar::hosts::Health;
use sagemast_stage::clients::{Application, Tally};
use sagemast_stage::discovery::Discovery;
use sagemast_stage::effects::Effects;
use sagemast_stage::fleet::FleetFile;
use sagemast_stage::program::Daemon;
use sagemast_stage::upstream::{Cold, Nature, Upstream};
use tokio::time::{Instant, sleep, sleep_until};

use crate::report::Report;

const INSTANCES: usize = 50;
/// Requests a second of each instance.
const RATE: f64 = 8.0;
const UPSTREAMS: usize = 8;
/// The rule about servers that have just started, as the platform's site has it.
const COLD: Cold = Cold {
    share: 0.16,
    warm_up: Duration::from_secs(21),
    multiple: 2.5,
    window: Duration::from_millis(1_500),
};

pub async fn run(program: &Path, short: bool) -> Result<Report, String> {
    let io = |error: std::io::Error| error.to_string();
    let (calm, restarts, churn) = if short { (5, 10, 10) } else { (20, 30, 30) };
    let effects = Arc::new(Effects::default());
    let cell = sagemast_stage::upstream::Cell::default();
    let discovery = Discovery::start().await.map_err(io)?;
    let warm = Nature { cores: 4, work_ms: 10.0, ..Nature::default() };
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let upstream = Upstream::start(warm.clone(), effects.clone(), cell.clone()).await.map_err(io)?;
        discovery.put(&format!("u{number}"), &upstream, Health::Ready);
        upstreams.push(upstream);
    }
    let folder = std::env::temp_dir().join(format!("sagemast-rig-{}-restart", std::process::id()));
    let mut file = FleetFile::new(&folder, discovery.address).with_instances(INSTANCES);
    file.state = true;
    let mut daemon = tokio::task::block_in_place(|| {
        let daemon = Daemon::start(program, &file)?;
        daemon.settle()?;
        Ok::<_, String>(daemon)
    })?;

    // The clients: a calm stretch first, then the same load through everything that follows.
    let tally = Arc::new(Tally::default());
    let phase = Arc::new(AtomicU64::new(0));
    let begun = Instant::now();
    let turn = begun + Duration::from_secs(calm);
    // What servers that have just started take longer is not the restarts' doing: they come when times were taken.
    let churns = turn + Duration::from_secs(restarts);
    let end = churns + Duration::from_secs(churn);
    let mut loads = tokio::task::JoinSet::new();
    let addresses = daemon.instances()?;
    for (number, instance) in addresses.values().enumerate() {
        let address = instance.listen.parse().map_err(|_| format!("{instance:?} listens nowhere"))?;
        let application = Application::new(address, tally.clone(), Duration::from_millis(1_500));
        loads.spawn(application.load(RATE, end, phase.clone(), number as u64));
    }
    sleep_until(turn).await;
    phase.store(1, Ordering::Relaxed);

    let mut rng = Rand64::new(7);
    let mut done = [0_u32; 7];
    let every = Duration::from_secs((restarts + churn) / 4);
    let (mut next_upstream, mut next_upgrade) = (churns, turn + every);
    let mut fresh = 0;
    while Instant::now() + Duration::from_secs(2) < end {
        if Instant::now() >= next_upstream {
            // One comes that has just started, and the one that came longest ago goes.
            phase.store(2, Ordering::Relaxed);
            next_upstream += Duration::from_secs(3);
            let cold = Nature { cold: Some(COLD), ..warm.clone() };
            let upstream = Upstream::start(cold, effects.clone(), cell.clone()).await.map_err(io)?;
            discovery.put(&format!("c{fresh}"), &upstream, Health::Ready);
            let old = if fresh < UPSTREAMS { format!("u{fresh}") } else { format!("c{}", fresh - UPSTREAMS) };
            discovery.put(&old, &upstreams[fresh], Health::Draining);
            upstreams[fresh].drain();
            upstreams.push(upstream);
            fresh += 1;
            done[6] += 1;
        }
        let upgrade = Instant::now() >= next_upgrade;
        if upgrade {
            next_upgrade += every;
        }
        let name = format!("i{}", rng.rand_range(0..INSTANCES as u64));
        let what = if upgrade { 5 } else { rng.rand_range(0..5) as usize };
        let random = rng.rand_u64();
        tokio::task::block_in_place(|| act(&mut daemon, &mut file, program, what, name, random))?;
        done[what] += 1;
        sleep(Duration::from_millis(100 + random % 150)).await;
    }
    while loads.join_next().await.is_some() {}
    let settled = tokio::task::block_in_place(|| daemon.settle());
    let log = daemon.lines();
    drop(daemon);
    let _ = std::fs::remove_dir_all(&folder);

    let book = tally.book().clone();
    let mut report = Report::new("daemon-restart");
    report.figure("requests taken", book.taken as f64);
    report.figure("answered", (book.served + book.refused.iter().sum::<u64>() + book.failed) as f64);
    report.figure("served", book.served as f64);
    let phases = ["calm", "restarts", "restarts and cold upstreams"];
    phases
        .iter()
        .zip(book.refused)
        .for_each(|(name, n)| report.figure(&format!("{name}: refused"), n as f64));
    report.figure("failed", book.failed as f64);
    report.bound("lost", book.lost as f64, 0.0);
    report.bound("answers to another request", book.wrong as f64, 0.0);
    let doubled = effects.doubled(book.once.iter().map(String::as_str)) + effects.doubled_keys();
    report.bound("doubled effects", doubled as f64, 0.0);
    let undone = book.done.iter().filter(|id| effects.of(id) == 0).count();
    report.bound("answered and never run", undone as f64, 0.0);
    report.bound("sends after drain", effects.sends_after_drain() as f64, 0.0);
    report.bound("worst surge over budget", effects.worst_surge(), 1.0);
    for (at, name) in phases.iter().enumerate() {
        report.figure(&format!("{name}: p50 ms"), book.quantile_ms(at, 0.5));
        report.figure(&format!("{name}: p99 ms"), book.quantile_ms(at, 0.99));
    }
    report.bound("p99 ratio", book.quantile_ms(1, 0.99) / book.quantile_ms(0, 0.99), 1.5);
    report.figure("connections turned away", book.turned_away as f64);
    report.figure("kept out", book.kept_out as f64);
    report.figure("crossed a close", book.unanswered.len() as f64);
    let ran = book.unanswered.iter().filter(|id| effects.of(id) > 0).count();
    report.bound("ran and unanswered", ran as f64, 0.0);
    let kinds =
        ["restarts", "stops and starts", "changes in place", "successors", "panics", "upgrades", "upstreams"];
    kinds.iter().zip(done).for_each(|(kind, count)| report.figure(kind, f64::from(count)));
    report.bound("not settled in the end", if settled.is_ok() { 0.0 } else { 1.0 }, 0.0);
    book.losses.iter().for_each(|loss| report.note(format!("lost {loss}")));
    if let Err(reason) = settled {
        report.note(reason);
        log.iter().rev().take(20).rev().for_each(|line| report.note(line.clone()));
    }
    Ok(report)
}

/// Does one of the things that operators and faults do.
fn act(
    daemon: &mut Daemon,
    file: &mut FleetFile,
    program: &Path,
    what: usize,
    name: String,
    random: u64,
) -> Result<(), String> {
    match what {
        0 => drop(daemon.ask(Ask::Restart { name })?),
        1 => {
            // Whoever asks second is heeded, whatever the first has begun.
            daemon.ask(Ask::Stop { name: name.clone() })?;
            std::thread::sleep(Duration::from_millis(random % 40));
            daemon.ask(Ask::Start { name })?;
        }
        2 | 3 => {
            let every = 1 + random as usize % 7;
            for (at, (_, _, more)) in file.instances.iter_mut().enumerate().filter(|(at, _)| at % every == 0)
            {
                *more = match what {
                    2 => format!("sockets = {}\n", 48 + (random as usize + at) % 32),
                    _ => format!("seed = \"{:x}\"\n", random.wrapping_add(at as u64)),
                };
            }
            file.write().map_err(|error| error.to_string())?;
            daemon.ask(Ask::Apply { dry_run: false })?;
        }
        4 => {
            // One that is being started anew has nothing that could panic.
            let _ = daemon.ask(Ask::Fault { fault: Fault::Panic { name } });
        }
        _ => daemon.upgrade(program)?,
    }
    Ok(())
}
