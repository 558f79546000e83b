//! `sagemast demo`: a daemon of two instances between stand-in upstreams and stand-in clients, all in this process and
//! on loopback, so that a newcomer sees requests served at once.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use clap::Args;
use sagemast_daemon::control;
use sagemast_daemon::frames::{Answer, Ask, Instance, Outcome};
use sagemast_daemon::supervisor::{self, Options};
use sagemast_sidecar::hosts::Health;
use sagemast_stage::clients::{Application, Tally};
use sagemast_stage::discovery::Discovery;
use sagemast_stage::effects::Effects;
use sagemast_stage::fleet::FleetFile;
use sagemast_stage::program::until_some;
use sagemast_stage::upstream::{Cell, Nature, Upstream};
use tokio::time::{Instant, sleep};

/// The daemon answers at once.
const ANSWER: Duration = Duration::from_secs(10);
/// Requests a second of each instance.
const RATE: f64 = 40.0;

/// The command line.
#[derive(Args)]
pub struct Arguments {
    /// How long it runs.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    seconds: u64,
}

/// Runs it to its end.
pub fn run(arguments: &Arguments) -> ExitCode {
    let folder = std::env::temp_dir().join(format!("sagemast-demo-{}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let done = match runtime {
        Ok(runtime) => runtime.block_on(show(&folder, arguments.seconds)),
        Err(error) => Err(error.to_string()),
    };
    // Left over, it only takes room.
    let _ = std::fs::remove_dir_all(&folder);
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("sagemast: demo: {reason}");
            ExitCode::FAILURE
        }
    }
}

async fn show(folder: &Path, seconds: u64) -> Result<(), String> {
    let io = |error: std::io::Error| error.to_string();
    let discovery = Discovery::start().await.map_err(io)?;
    let (effects, cell) = (Arc::new(Effects::default()), Cell::default());
    let mut upstreams = Vec::new();
    for number in 0..3 {
        // Two of one size and one that is slower.
        let nature = Nature { cores: 4, work_ms: if number == 2 { 20.0 } else { 10.0 }, ..Nature::default() };
        let upstream = Upstream::start(nature, effects.clone(), cell.clone()).await.map_err(io)?;
        discovery.put(&format!("depo-{number}"), &upstream, Health::Ready);
        println!("upstream  depo-{number} at {}", upstream.address);
        upstreams.push(upstream);
    }
    let file = FleetFile::new(folder, discovery.address).with_instances(2);
    file.write().map_err(io)?;
    let options = Options { config: file.path(), take_over: false, allow_faults: false };
    let daemon = std::thread::spawn(move || supervisor::run(options));
    let socket = file.control();
    let ready = || {
        let all = instances(&socket).ok()?;
        all.iter().all(|one| one.state == "ready").then_some(all)
    };
    let all = tokio::task::block_in_place(|| until_some("the daemon is ready", ready))?;

    let tally = Arc::new(Tally::default());
    let end = Instant::now() + Duration::from_secs(seconds);
    let mut loads = tokio::task::JoinSet::new();
    for (seed, instance) in all.iter().enumerate() {
        println!("instance  {} at {}", instance.name, instance.listen);
        let address = instance.listen.parse().map_err(|_| format!("{} listens nowhere", instance.name))?;
        let application = Application::new(address, tally.clone(), Duration::from_millis(1_500));
        loads.spawn(application.load(RATE, end, Arc::new(AtomicU64::new(0)), seed as u64));
    }
    println!("control   sagemast ctl --socket {} list", socket.display());
    println!();
    for second in 1..=seconds {
        sleep(Duration::from_secs(1)).await;
        if second == seconds.div_ceil(3) {
            discovery.put("depo-0", &upstreams[0], Health::Draining);
            println!("      depo-0 drains: nothing new goes there");
        }
        if second == (2 * seconds).div_ceil(3) {
            discovery.put("depo-0", &upstreams[0], Health::Ready);
            tell(&socket, Ask::Restart { name: all[0].name.clone() })?;
            println!("      depo-0 is back; {} gets a successor without a gap", all[0].name);
        }
        let book = tally.book().clone();
        let shares: Vec<String> = upstreams.iter().map(|upstream| upstream.requests().to_string()).collect();
        println!(
            "{second:>3} s  {} served, {} refused, {} failed, {} lost; p50 {:.1} ms, p99 {:.1} ms; by upstream {}",
            book.served,
            book.refused[0],
            book.failed,
            book.lost,
            book.quantile_ms(0, 0.5),
            book.quantile_ms(0, 0.99),
            shares.join(" / "),
        );
    }
    while loads.join_next().await.is_some() {}
    tell(&socket, Ask::DrainAll)?;
    let ended = tokio::task::block_in_place(|| daemon.join()).map_err(|_| "the daemon has panicked")?;
    ended.map_err(|lines| lines.join("; "))?;
    let book = tally.book();
    println!("\n{} requests taken, {} answered, {} lost", book.taken, book.taken - book.lost, book.lost);
    println!("Read on in README.md; a fleet of your own begins with deploy/fleet.toml.");
    Ok(())
}

fn tell(socket: &Path, ask: Ask) -> Result<Answer, String> {
    match tokio::task::block_in_place(|| control::ask(socket, ask, ANSWER))?.outcome {
        Outcome::Ok(answer) => Ok(answer),
        Outcome::Error(problem) => Err(problem.text),
    }
}

fn instances(socket: &Path) -> Result<Vec<Instance>, String> {
    match tell(socket, Ask::List)? {
        Answer::Instances(all) => Ok(all),
        other => Err(format!("no list: {other:?}")),
    }
}
