//! The program: without a subcommand the sidecar that the platform starts, with one a daemon, its client, and tools.

mod ctl;
mod demo;
mod sidecar;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use sagemast_daemon::fleet_file;
use sagemast_daemon::supervisor::{self, Options};
use sagemast_flows::file::File as FlowsFile;
use sagemast_pools::file::{Fault, File as PoolsFile};
use sagemast_sidecar::config::Config;
use sagemast_sidecar::log::Log;

/// A client-side load balancer: two random choices by projected utilisation. Without a subcommand it is one sidecar,
/// configured by the file that ROUTER_CONFIG names.
#[derive(Parser)]
#[command(name = "sagemast", version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Tell all that is wrong with a configuration: a fleet file or one of limits (TOML), or a sidecar's (JSON).
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Run a fleet of instances in the foreground.
    Daemon {
        /// The fleet file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Take over from the process at the other end of the standard input; `ctl upgrade` sets it.
        #[arg(long, hide = true)]
        take_over: bool,
        /// Let `ctl fault` make it fail, for tests.
        #[arg(long, hide = true)]
        allow_faults: bool,
    },
    /// Ask or tell a running daemon.
    Ctl(ctl::Arguments),
    /// Show it at work: a daemon between stand-in upstreams and clients, in this process.
    Demo(demo::Arguments),
}

fn main() -> ExitCode {
    let log = Log::process();
    // The platform's way pays for nothing that it does not use.
    if std::env::args_os().len() <= 1 {
        return done(sidecar::run(&log).map_err(|error| vec![format!("{error:#}")]), &log);
    }
    match Cli::parse().command {
        None => done(sidecar::run(&log).map_err(|error| vec![format!("{error:#}")]), &log),
        Some(Command::Check { file }) => check(&file),
        Some(Command::Daemon { config, take_over, allow_faults }) => {
            done(supervisor::run(Options { config, take_over, allow_faults }), &log)
        }
        Some(Command::Ctl(arguments)) => ctl::run(arguments),
        Some(Command::Demo(arguments)) => demo::run(&arguments),
    }
}

fn done(result: Result<(), Vec<String>>, log: &Log) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(lines) => {
            lines.iter().for_each(|line| log.line(line));
            ExitCode::FAILURE
        }
    }
}

/// What is wrong with a file that holds limits (`deploy/pools.toml`) by itself; `None` if it is another. Whether its
/// names are those of an instance shows where an instance names it.
fn limits(file: &Path) -> Option<Result<PoolsFile, Vec<Fault>>> {
    let text = std::fs::read_to_string(file).ok()?;
    let is_limits = text.lines().any(|line| line.trim_start().starts_with("[crossing]"));
    is_limits.then(|| PoolsFile::read(&text))
}

/// What is wrong with a file of listeners for UDP flows (`deploy/flows.toml`); `None` if it is another.
fn flows(file: &Path) -> Option<Result<FlowsFile, Vec<sagemast_flows::file::Fault>>> {
    let text = std::fs::read_to_string(file).ok()?;
    let is_flows = text.lines().any(|line| line.trim_start().starts_with("[[listener]]"));
    is_flows.then(|| FlowsFile::read(&text))
}

/// Prints every fault, a line each, or that there is none.
fn check(file: &Path) -> ExitCode {
    let faults: Vec<String> = if file.extension().is_some_and(|ending| ending == "json") {
        let text = std::fs::read(file).map_err(|error| vec![format!("cannot be read: {error}")]);
        let faults = text.and_then(|text| Config::errors_in(&text).map_or_else(|| Ok(()), Err));
        let shown = file.display();
        faults.err().into_iter().flatten().map(|fault| format!("{shown}: {fault}")).collect()
    } else if let Some(flows) = flows(file) {
        let shown = file.display();
        flows.err().into_iter().flatten().map(|fault| format!("{shown}:{fault}")).collect()
    } else if let Some(limits) = limits(file) {
        let shown = file.display();
        limits.err().into_iter().flatten().map(|fault| format!("{shown}:{fault}")).collect()
    } else {
        match fleet_file::load(file) {
            Ok(fleet) => {
                println!("{}: sound, {} instances", file.display(), fleet.instances.len());
                return ExitCode::SUCCESS;
            }
            Err(faults) => faults.iter().map(ToString::to_string).collect(),
        }
    };
    if faults.is_empty() {
        println!("{}: sound", file.display());
        return ExitCode::SUCCESS;
    }
    faults.iter().for_each(|fault| println!("{fault}"));
    ExitCode::FAILURE
}
