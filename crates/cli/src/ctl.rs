//! `sagemast ctl`: asks a daemon over its control socket, prints tables for people or JSON for programs, and ends with
//! a code that a script can tell apart.

mod flows;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use sagemast_daemon::control;
use sagemast_daemon::fleet_file;
use sagemast_daemon::frames::{
    Answer, Ask, Changes, CrossingReport, Fault, Instance, Kind, Outcome, ProcessStatus, Reply,
};
use sagemast_pools::counts::Totals;

/// A daemon answers at once, but for an upgrade.
const ANSWER: Duration = Duration::from_secs(15);
/// How often one that waits looks.
const LOOK: Duration = Duration::from_millis(50);

/// Something was tried and failed.
const FAILED: u8 = 1;
/// No daemon answers. (2 is clap's own, for a wrong command line.)
const NO_DAEMON: u8 = 3;
/// No instance has that name.
const UNKNOWN: u8 = 4;
/// Not now, or not at all.
const REFUSED: u8 = 5;
/// The configuration is faulty, and the old one stays.
const BAD_CONFIG: u8 = 6;
/// What was waited for did not come about in time.
const TIMED_OUT: u8 = 7;

/// The command line.
#[derive(Args)]
#[command(
    after_help = "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 no daemon answers, 4 no such instance, \
                        5 refused, 6 faulty configuration (the old one stays), 7 not in time"
)]
pub struct Arguments {
    /// The control socket; the usual one of this user if neither it nor a fleet file is named.
    #[arg(long, value_name = "PATH", env = "SAGEMAST_CONTROL", conflicts_with = "config", global = true)]
    socket: Option<PathBuf>,
    /// The fleet file, to take the socket's path from.
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// Print the answer as JSON.
    #[arg(long, global = true)]
    json: bool,
    /// Wait up to so many seconds until it has come about.
    #[arg(long, value_name = "SECONDS", global = true)]
    wait: Option<f64>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Show all instances.
    List,
    /// Show one instance whole.
    Show {
        /// Its name.
        name: String,
    },
    /// Show what crosses between zones, by class, and how far budgets are used up.
    Crossing {
        /// Of one instance; of all together if it is not given.
        name: Option<String>,
    },
    /// Listeners for UDP flows: see them, move flows, end them.
    #[command(subcommand)]
    Flows(flows::Command),
    /// Show the process: budgets, threads, how many instances are how far.
    Status,
    /// Run an instance that was stopped, drained or left alone after failures.
    Start {
        /// Its name.
        name: String,
    },
    /// Drain an instance and keep it from running, also after a restart of the daemon.
    Stop {
        /// Its name.
        name: String,
    },
    /// Drain an instance; it runs again when it is started, or the daemon is.
    Drain {
        /// Its name.
        name: String,
    },
    /// Put a new generation of an instance in the place of the present one, without a gap.
    Restart {
        /// Its name.
        name: String,
    },
    /// Read the configuration again and bring what changed into force.
    Apply {
        /// Only show what would change.
        #[arg(long)]
        dry_run: bool,
    },
    /// Drain all instances and end the daemon.
    DrainAll,
    /// Hand over to another program, without a gap.
    Upgrade {
        /// The program: another sagemast.
        binary: PathBuf,
    },
    /// Make a daemon that allows it fail.
    #[command(hide = true)]
    Fault {
        #[command(subcommand)]
        fault: FaultCommand,
    },
}

#[derive(Subcommand)]
enum FaultCommand {
    /// An instance panics.
    Panic {
        /// Its name.
        name: String,
    },
    /// A worker does nothing for a while.
    Stall {
        /// Its number.
        worker: usize,
        /// For how many milliseconds.
        ms: u64,
    },
}

/// Asks, prints, and gives the code to end with.
pub fn run(arguments: Arguments) -> ExitCode {
    match carry_out(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, text)) => {
            eprintln!("sagemast: {text}");
            ExitCode::from(code)
        }
    }
}

type Trouble = (u8, String);

fn carry_out(arguments: &Arguments) -> Result<(), Trouble> {
    let socket = socket(arguments)?;
    let ask = match &arguments.command {
        Command::List => Ask::List,
        Command::Show { name } => Ask::Show { name: name.clone() },
        Command::Crossing { name } => Ask::Crossing { name: name.clone() },
        Command::Flows(command) => command.ask(),
        Command::Status => Ask::Status,
        Command::Start { name } => Ask::Start { name: name.clone() },
        Command::Stop { name } => Ask::Stop { name: name.clone() },
        Command::Drain { name } => Ask::Drain { name: name.clone() },
        Command::Restart { name } => Ask::Restart { name: name.clone() },
        Command::Apply { dry_run } => Ask::Apply { dry_run: *dry_run },
        Command::DrainAll => Ask::DrainAll,
        Command::Upgrade { binary } => {
            // The daemon may stand in another folder.
            let whole = std::path::absolute(binary).map_err(|error| (FAILED, error.to_string()))?;
            Ask::Upgrade { binary: whole.to_string_lossy().into_owned() }
        }
        Command::Fault { fault: FaultCommand::Panic { name } } => {
            Ask::Fault { fault: Fault::Panic { name: name.clone() } }
        }
        Command::Fault { fault: FaultCommand::Stall { worker, ms } } => {
            Ask::Fault { fault: Fault::Stall { worker: *worker, ms: *ms } }
        }
    };
    let at_most = if matches!(ask, Ask::Upgrade { .. }) { Duration::from_secs(3_700) } else { ANSWER };
    let reply = control::ask(&socket, ask, at_most).map_err(|text| (NO_DAEMON, text))?;
    if arguments.json {
        println!("{}", serde_json::to_string(&reply).map_err(|error| (FAILED, error.to_string()))?);
    }
    let answer = said(reply)?;
    if !arguments.json {
        print(&arguments.command, &answer);
    }
    match arguments.wait {
        Some(seconds) => wait(&arguments.command, &socket, seconds),
        None => Ok(()),
    }
}

fn socket(arguments: &Arguments) -> Result<PathBuf, Trouble> {
    match (&arguments.socket, &arguments.config) {
        (Some(socket), _) => Ok(socket.clone()),
        (None, Some(config)) => match fleet_file::load(config) {
            Ok(fleet) => Ok(fleet.process.control),
            Err(faults) => {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                Err((BAD_CONFIG, lines.join("\n")))
            }
        },
        (None, None) => Ok(control::usual(|name| std::env::var_os(name))),
    }
}

/// The answer, or the trouble with its code.
fn said(reply: Reply) -> Result<Answer, Trouble> {
    match reply.outcome {
        Outcome::Ok(answer) => Ok(answer),
        Outcome::Error(problem) => {
            let code = match problem.kind {
                Kind::Malformed | Kind::Failed => FAILED,
                Kind::Unknown => UNKNOWN,
                Kind::Refused => REFUSED,
                Kind::BadConfig => BAD_CONFIG,
            };
            let lines: Vec<String> = std::iter::once(problem.text).chain(problem.faults).collect();
            Err((code, lines.join("\n")))
        }
    }
}

/// Waits until what was asked for has come about.
fn wait(command: &Command, socket: &std::path::Path, seconds: f64) -> Result<(), Trouble> {
    let until = Instant::now() + Duration::try_from_secs_f64(seconds).unwrap_or(ANSWER);
    loop {
        let ask = match command {
            Command::Start { name }
            | Command::Stop { name }
            | Command::Drain { name }
            | Command::Restart { name } => Ask::Show { name: name.clone() },
            Command::DrainAll => Ask::Status,
            _ => Ask::Status,
        };
        let now = control::ask(socket, ask, ANSWER);
        let there = match (command, now) {
            (Command::DrainAll, Err(_)) => true,
            (_, Err(text)) => return Err((NO_DAEMON, text)),
            (Command::DrainAll, Ok(_)) => false,
            (_, Ok(reply)) => match said(reply)? {
                Answer::Instances(instances) => {
                    instances.iter().all(|instance| has_come_about(command, instance))
                }
                Answer::Process(process) => process.settled,
                Answer::Changes(_) | Answer::Crossing(_) | Answer::Flows(_) | Answer::Done(_) => true,
            },
        };
        if there {
            return Ok(());
        }
        if Instant::now() > until {
            return Err((
                TIMED_OUT,
                format!("not within {seconds} s; `sagemast ctl list` tells how far it is"),
            ));
        }
        std::thread::sleep(LOOK);
    }
}

fn has_come_about(command: &Command, instance: &Instance) -> bool {
    match command {
        Command::Stop { .. } | Command::Drain { .. } => instance.state == "ended",
        _ => instance.state == "ready" && instance.draining == 0 && instance.successor.is_none(),
    }
}

fn print(command: &Command, answer: &Answer) {
    match (command, answer) {
        (Command::Show { .. }, Answer::Instances(instances)) => instances.iter().for_each(show),
        (_, Answer::Instances(instances)) => list(instances),
        (_, Answer::Process(process)) => status(process),
        (_, Answer::Crossing(reports)) => crossing(reports),
        (Command::Flows(command), Answer::Flows(reports)) => command.print(reports),
        (_, Answer::Flows(_)) => {}
        (_, Answer::Changes(changes)) => print_changes(changes),
        (_, Answer::Done(text)) => println!("{text}"),
    }
}

fn list(instances: &[Instance]) {
    let head = ["NAME", "STATE", "LISTEN", "GEN", "OPEN", "TAKEN", "SERVED", "REFUSED", "FAILED", "NOTE"];
    let mut rows = vec![head.map(str::to_owned)];
    rows.extend(instances.iter().map(|i| {
        let state = if i.stopped && i.state == "ended" { "stopped" } else { &i.state };
        [
            i.name.clone(),
            state.to_owned(),
            i.listen.clone(),
            i.generation.map_or("-".to_owned(), |generation| generation.to_string()),
            i.open.to_string(),
            i.taken.to_string(),
            i.served.to_string(),
            i.refused.to_string(),
            i.failed.to_string(),
            i.note.clone().unwrap_or_default(),
        ]
    }));
    table(&rows);
}

/// Prints rows in columns as wide as they need to be.
fn table<const COLUMNS: usize>(rows: &[[String; COLUMNS]]) {
    let widths: [usize; COLUMNS] =
        std::array::from_fn(|at| rows.iter().map(|row| row[at].len()).max().unwrap_or(0));
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        println!("{}", cells.join("  ").trim_end());
    }
}

fn crossing(reports: &[CrossingReport]) {
    if reports.is_empty() {
        return println!("nothing is counted: no instance has a key `pools` in the fleet file");
    }
    let mut totals = Totals::default();
    reports.iter().for_each(|report| totals.add(&report.totals));
    let head = [
        "CLASS", "FROM", "TO", "ATTEMPTS", "SHARE", "AGAIN", "SERVED", "FAILED", "UNSENT", "OUT", "IN",
        "BENT",
    ];
    let mut rows = vec![head.map(str::to_owned)];
    totals.rows.sort_by(|a, b| (&a.class, &a.from, &a.to).cmp(&(&b.class, &b.from, &b.to)));
    for row in &totals.rows {
        let of = totals.rows.iter().filter(|other| (&other.class, &other.from) == (&row.class, &row.from));
        let all: u64 = of.map(|other| other.attempts()).sum();
        let bent = row.exempted;
        let bent = [
            ("down", bent.down),
            ("full", bent.full),
            ("late", bent.late),
            ("failing", bent.failing),
            ("bound", bent.bound),
        ];
        let bent =
            bent.into_iter().filter(|(_, count)| *count > 0).map(|(why, count)| format!("{count} {why}"));
        rows.push([
            row.class.clone(),
            row.from.clone(),
            row.to.clone(),
            row.attempts().to_string(),
            format!("{:.1} %", 100.0 * row.attempts() as f64 / all.max(1) as f64),
            row.retries.to_string(),
            row.served.to_string(),
            row.failed.to_string(),
            row.unsent.to_string(),
            row.bytes_out.to_string(),
            row.bytes_in.to_string(),
            bent.collect::<Vec<_>>().join(", "),
        ]);
    }
    table(&rows);
    println!();
    for probes in &totals.probes {
        println!("{:<12} {} from {} to {}", "probes", probes.probes, probes.from, probes.to);
    }
    let (all, crossed) = totals.attempts_and_crossings(None);
    let share = 100.0 * crossed as f64 / all.max(1) as f64;
    println!("{:<12} {crossed} of {all} attempts, {share:.2} %", "crossed");
    for report in reports {
        for budget in &report.budgets {
            let (level, burst) = (budget.level, budget.burst);
            println!("{:<12} {}: {}, {level:.1} of {burst:.1} left", "budget", report.name, budget.budget);
        }
    }
}

fn show(i: &Instance) {
    let mut rows = vec![
        ("name", i.name.clone()),
        ("state", format!("{}{}", i.state, if i.stopped { ", stopped by the operator" } else { "" })),
        ("listen", i.listen.clone()),
        ("discovery", format!("{}, {} upstreams, version {}", i.discovery, i.upstreams, i.seq)),
        ("generation", i.generation.map_or("none".to_owned(), |generation| generation.to_string())),
    ];
    rows.extend(i.successor.map(|generation| ("successor", generation.to_string())));
    rows.extend((i.draining > 0).then(|| ("draining", format!("{} generations", i.draining))));
    rows.extend(i.worker.map(|worker| ("worker", worker.to_string())));
    let [clients, upstreams] = i.connections;
    rows.push(("connections", format!("{clients} of clients, {upstreams} to upstreams")));
    let Instance { open, taken, served, refused, failed, left, sends, .. } = i;
    rows.push((
        "requests",
        format!(
            "{open} open, {taken} taken: {served} served, {refused} refused, {failed} failed, {left} left"
        ),
    ));
    rows.push(("attempts", sends.to_string()));
    rows.extend((i.failures > 0).then(|| ("failures", format!("{} in a row", i.failures))));
    rows.extend(i.retry_in_ms.map(|ms| ("next start", format!("in {ms} ms"))));
    rows.extend(i.note.clone().map(|note| ("note", note)));
    rows.iter().for_each(|(key, value)| println!("{key:<12} {value}"));
}

fn status(p: &ProcessStatus) {
    println!(
        "{:<12} {} {}, process {}, for {:.1} s",
        "daemon",
        p.version,
        p.phase,
        p.pid,
        p.uptime_ms as f64 / 1e3
    );
    let states: Vec<String> = p.instances.iter().map(|(state, count)| format!("{count} {state}")).collect();
    println!("{:<12} {}", "instances", if states.is_empty() { "none".to_owned() } else { states.join(", ") });
    println!("{:<12} {} open", "requests", p.open);
    println!("{:<12} {} of {} MiB granted", "memory", p.memory_mb[0], p.memory_mb[1]);
    println!("{:<12} {} of {} granted", "descriptors", p.descriptors[0], p.descriptors[1]);
    let [most, cap] = p.connections_per_upstream;
    println!("{:<12} {most} of {cap} to the upstream that has most", "connections");
    for (number, worker) in p.workers.iter().enumerate() {
        let how =
            if worker.stuck { format!("STUCK for {} ms", worker.silent_ms) } else { "turns".to_owned() };
        println!("{:<12} {how}, {} generations", format!("worker {number}"), worker.generations);
    }
    if let Some(trouble) = &p.state_trouble {
        println!("{:<12} {trouble}", "state");
    }
}

fn print_changes(changes: &Changes) {
    let parts = [
        ("added", &changes.added),
        ("removed", &changes.removed),
        ("in place", &changes.in_place),
        ("by successor", &changes.successor),
        ("not now", &changes.later),
    ];
    for (what, names) in parts.iter().filter(|(_, names)| !names.is_empty()) {
        println!("{what:<13} {}", names.join(" "));
    }
    println!("{:<13} {}", "unchanged", changes.unchanged);
}
