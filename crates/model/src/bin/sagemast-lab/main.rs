//! `sagemast-lab`: experiments over the model. Exit codes: 0 done, 1 a bound or a rule is broken or something failed,
//! 2 a wrong command line, 6 a faulty file.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use sagemast_model::experiment::{Cell, Experiment, Results, is_whole, read_results};
use sagemast_model::report;

/// A file is faulty.
const BAD_FILE: u8 = 6;
/// An experiment file is no larger than this.
const FILE_BYTES: u64 = 1 << 20;

/// Experiments over a model of the whole system.
#[derive(Parser)]
#[command(name = "sagemast-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Args)]
struct Which {
    /// The experiment, a TOML file.
    file: PathBuf,
    /// Two seeds, and days of an eighth of their length.
    #[arg(long)]
    short: bool,
    /// Where results are kept; beside the experiment if it is not given.
    #[arg(long, value_name = "FILE")]
    results: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Tell all that is wrong with an experiment, and how many cells it has.
    Check(Which),
    /// Run the cells that are not done yet, and print the table.
    Run {
        #[command(flatten)]
        which: Which,
        /// Threads; all cores if it is not given.
        #[arg(long)]
        threads: Option<usize>,
    },
    /// Print the table of the cells that are done.
    Compare(Which),
    /// Write the report, one HTML file.
    Report {
        #[command(flatten)]
        which: Which,
        /// Where to.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Play one cell again and print every fact, or what came of it.
    Replay {
        #[command(flatten)]
        which: Which,
        /// The policy.
        #[arg(long)]
        policy: String,
        /// The point of the sweep.
        #[arg(long, default_value_t = 0)]
        point: usize,
        /// The seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print every fact.
        #[arg(long)]
        trace: bool,
    },
}

fn main() -> ExitCode {
    match carry_out(Cli::parse().command) {
        Ok(code) => code,
        Err(lines) => {
            lines.iter().for_each(|line| eprintln!("sagemast-lab: {line}"));
            ExitCode::from(BAD_FILE)
        }
    }
}

fn read(which: &Which) -> Result<(Experiment, PathBuf), Vec<String>> {
    let shown = which.file.display();
    let size = std::fs::metadata(&which.file)
        .map_err(|error| vec![format!("{shown}: cannot be read: {error}")])?
        .len();
    if size > FILE_BYTES {
        return Err(vec![format!("{shown}: it has {size} bytes; {FILE_BYTES} are allowed")]);
    }
    let text = std::fs::read_to_string(&which.file)
        .map_err(|error| vec![format!("{shown}: cannot be read: {error}")])?;
    let experiment = Experiment::read(&text, which.short)
        .map_err(|faults| faults.iter().map(|fault| format!("{shown}:{fault}")).collect::<Vec<_>>())?;
    let ending = if which.short { "short.jsonl" } else { "jsonl" };
    let results = which.results.clone().unwrap_or_else(|| which.file.with_extension(ending));
    Ok((experiment, results))
}

fn carry_out(command: Command) -> Result<ExitCode, Vec<String>> {
    let failed = |error: std::io::Error| vec![error.to_string()];
    match command {
        Command::Check(which) => {
            let (experiment, _) = read(&which)?;
            println!("{}: sound, {} cells", which.file.display(), experiment.cells().len());
            Ok(ExitCode::SUCCESS)
        }
        Command::Run { which, threads } => {
            let (experiment, path) = read(&which)?;
            if let Some(threads) = threads {
                let built = rayon::ThreadPoolBuilder::new().num_threads(threads).build_global();
                built.map_err(|error| vec![error.to_string()])?;
            }
            let begun = Instant::now();
            let bar = ProgressBar::new(experiment.cells().len() as u64);
            // Its form is a constant; without one the usual bar is shown.
            if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos} of {len} cells, {eta} left") {
                bar.set_style(style);
            }
            let results = experiment.run(&path, || bar.inc(1)).map_err(failed)?;
            bar.finish_and_clear();
            print!("{}", report::table(&experiment, &results));
            Ok(last_line(&experiment, &results, begun))
        }
        Command::Compare(which) => {
            let (experiment, path) = read(&which)?;
            let results = read_results(&path, experiment.sum()).map_err(failed)?;
            if !is_whole(&experiment, &results) {
                eprintln!("sagemast-lab: {} of {} cells are done", results.len(), experiment.cells().len());
            }
            print!("{}", report::table(&experiment, &results));
            Ok(ExitCode::SUCCESS)
        }
        Command::Report { which, out } => {
            let (experiment, path) = read(&which)?;
            let results = read_results(&path, experiment.sum()).map_err(failed)?;
            if results.is_empty() {
                return Err(vec![format!(
                    "{}: no cell of this experiment is done; run it first",
                    path.display()
                )]);
            }
            let html =
                report::html(&experiment, &results, &name(&which.file)).map_err(|error| vec![error])?;
            std::fs::write(&out, html).map_err(|error| vec![format!("{}: {error}", out.display())])?;
            println!("{}", out.display());
            Ok(ExitCode::SUCCESS)
        }
        Command::Replay { which, policy, point, seed, trace } => {
            let (experiment, _) = read(&which)?;
            let cell = Cell { point, policy, seed };
            if point >= experiment.points.len() || !experiment.policies.contains(&cell.policy) {
                return Err(vec!["the experiment has no such point or policy".to_owned()]);
            }
            let outcome = experiment.play(&cell, trace);
            outcome.trace.iter().for_each(|line| println!("{line}"));
            outcome.breaks.iter().for_each(|line| println!("BROKEN {line}"));
            let text = serde_json::to_string(&outcome).map_err(|error| vec![error.to_string()])?;
            println!("{text}");
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn name(path: &Path) -> String {
    path.file_name().map_or(String::new(), |name| name.to_string_lossy().into_owned())
}

/// One line of JSON with the figures. Failure if the project's module broke a rule, or a day did not come to its end.
fn last_line(experiment: &Experiment, results: &Results, begun: Instant) -> ExitCode {
    let of = |name: &str| results.iter().filter(move |(cell, _)| cell.policy == name).collect::<Vec<_>>();
    let events: u64 = results.values().map(|outcome| outcome.events).sum();
    let broken: u64 = of("sagemast").iter().map(|(_, outcome)| outcome.broken).sum();
    let left: u64 = results.values().map(|outcome| outcome.left).sum();
    let goodput: serde_json::Map<String, serde_json::Value> = experiment
        .policies
        .iter()
        .map(|policy| {
            let these = of(policy);
            let mean =
                these.iter().map(|(_, outcome)| outcome.goodput).sum::<f64>() / these.len().max(1) as f64;
            (policy.clone(), serde_json::json!((mean * 1e4).round() / 1e4))
        })
        .collect();
    let seconds = begun.elapsed().as_secs_f64();
    let held = broken == 0 && left == 0;
    let line = serde_json::json!({
        "cells": results.len(), "events": events, "seconds": (seconds * 10.0).round() / 10.0,
        "events_a_second": (events as f64 / seconds).round(), "goodput": goodput,
        "sagemast_broke": broken, "left": left, "held": held,
    });
    println!("{line}");
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
