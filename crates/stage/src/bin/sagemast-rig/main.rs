//! Scenarios on loopback that bring failures about and measure what they cost. Each prints a table, then one line of
//! JSON with its figures, and the program ends with 1 if a bound does not hold.

mod answered;
mod console;
mod crossing;
mod daemon_kill;
mod daemon_restart;
mod daemon_scale;
mod decide_scale;
mod evacuate;
mod once;
mod ordinary_path;
mod reality;
mod report;
mod transfers;
mod udp_flows;
mod upgrade;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Scenarios on loopback addresses.
#[derive(Parser)]
#[command(name = "sagemast-rig")]
struct Cli {
    /// Ends within 30 s.
    #[arg(long, global = true)]
    short: bool,
    /// The program under test; the one beside this one if it is not given.
    #[arg(long, global = true, value_name = "FILE")]
    program: Option<PathBuf>,
    #[command(subcommand)]
    scenario: Scenario,
}

#[derive(Subcommand)]
#[allow(clippy::enum_variant_names)] // they are what they are about
enum Scenario {
    /// 50 instances under steady load are restarted, changed, killed by panic and handed over at random.
    DaemonRestart,
    /// What 1, 10, 100 and 1,000 idle instances cost.
    DaemonScale,
    /// A daemon under load is killed outright ten times, with discovery down every other time.
    DaemonKill,
    /// What a decision of the module costs with 10 to 10,000 upstreams, in churn and in failures.
    DecideScale,
    /// Two buildings under budgets for what crosses between them, calm and with one that crawls.
    Crossing,
    /// The days of an experiment against a daemon and stand-ins, beside the model's word on them.
    Reality {
        /// The experiment.
        #[arg(long, value_name = "FILE", default_value = "experiments/reality.toml")]
        days: PathBuf,
    },
    /// Live feeds over UDP through floods and deaths of servers, and what a datagram costs beside a bare pass-through.
    UdpFlows,
    /// A sidecar under load is replaced ten times by a process beside it, two of which are killed half way.
    Upgrade,
    /// A sidecar under load is emptied and filled again, twenty times.
    Evacuate,
    /// Long answers and uploads of slow peers, twenty times the memory limit together, beside small requests.
    Transfers,
    /// The operators' address beside silent callers, on a starved processor.
    Console,
    /// Work that may run only once, through resets at any byte, late and wrong answers, clients that leave, ends and upgrades.
    Once,
    /// Every accepted request gets one whole answer in time: broken answers of all shapes, a lost zone, a starved daemon.
    Answered,
    /// What a sidecar adds to a request, beside a bare pass-through to the same upstreams.
    OrdinaryPath,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let beside = || Some(std::env::current_exe().ok()?.parent()?.join("sagemast"));
    let Some(program) = cli.program.or_else(beside).filter(|program| program.is_file()) else {
        eprintln!("sagemast-rig: build the program first (cargo build --release), or name it with --program");
        return ExitCode::FAILURE;
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("sagemast-rig: {error}");
            return ExitCode::FAILURE;
        }
    };
    let report = runtime.block_on(async {
        match cli.scenario {
            Scenario::DaemonRestart => daemon_restart::run(&program, cli.short).await,
            Scenario::DaemonScale => daemon_scale::run(&program, cli.short).await,
            Scenario::DaemonKill => daemon_kill::run(&program, cli.short).await,
            Scenario::OrdinaryPath => ordinary_path::run(&program, cli.short).await,
            Scenario::Answered => answered::run(&program, cli.short).await,
            Scenario::Once => once::run(&program, cli.short).await,
            Scenario::Upgrade => upgrade::run(&program, cli.short).await,
            Scenario::Evacuate => evacuate::run(&program, cli.short).await,
            Scenario::Transfers => transfers::run(&program, cli.short).await,
            Scenario::Console => console::run(&program, cli.short).await,
            Scenario::Crossing => crossing::run(&program, cli.short).await,
            Scenario::Reality { days } => reality::run(&program, &days, cli.short).await,
            Scenario::UdpFlows => udp_flows::run(&program, cli.short).await,
            Scenario::DecideScale => decide_scale::run(cli.short),
        }
    });
    // What still runs of the stand-ins ends with the process.
    runtime.shutdown_background();
    match report {
        Ok(report) => report.print(),
        Err(reason) => {
            eprintln!("sagemast-rig: {reason}");
            ExitCode::FAILURE
        }
    }
}
