//! What is said over the control socket: one JSON object a line, each with the version of the form.

use sagemast_flows::counts::Counts as FlowCounts;
use sagemast_pools::counts::Totals;
use serde::{Deserialize, Serialize};

/// The version of the form.
pub const VERSION: u32 = 1;
/// A request is no longer than this: it holds a name or a path.
pub const REQUEST_BYTES: usize = 16 << 10;
/// Nor an answer than this: thousands of instances take some hundred bytes each.
pub const REPLY_BYTES: usize = 16 << 20;

/// What a client asks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The version of the form.
    pub v: u32,
    /// What.
    #[serde(flatten)]
    pub ask: Ask,
}

/// What can be asked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "kebab-case")]
pub enum Ask {
    /// All instances.
    List,
    /// One of them.
    Show {
        /// Its name.
        name: String,
    },
    /// The process.
    Status,
    /// What crosses between zones, of one instance or of all.
    Crossing {
        /// Its name.
        #[serde(default)]
        name: Option<String>,
    },
    /// Listeners for UDP flows: one or all, each with so many of its flows.
    Flows {
        /// Its name.
        #[serde(default)]
        name: Option<String>,
        /// How many flows to tell of.
        #[serde(default)]
        flows: usize,
    },
    /// Move one flow, or all of a server.
    FlowsMove {
        /// The listener.
        name: String,
        /// The flow; all of `server` if it is not given.
        #[serde(default)]
        flow: Option<u64>,
        /// Where to a flow goes (to whom the module chooses if it is not given), or whose flows move.
        #[serde(default)]
        server: Option<String>,
    },
    /// End a flow.
    FlowsDrop {
        /// The listener.
        name: String,
        /// The flow.
        flow: u64,
    },
    /// Run one that was stopped, drained or left alone after failures.
    Start {
        /// Its name.
        name: String,
    },
    /// Drain one and keep it from running, also after a restart of the daemon.
    Stop {
        /// Its name.
        name: String,
    },
    /// Drain one; it runs again when it is started or the daemon is.
    Drain {
        /// Its name.
        name: String,
    },
    /// Put a new generation of one in the place of the present one.
    Restart {
        /// Its name.
        name: String,
    },
    /// Read the configuration again and bring it into force.
    Apply {
        /// Only tell what would change.
        #[serde(default)]
        dry_run: bool,
    },
    /// Drain all and end.
    DrainAll,
    /// Hand over to another process.
    Upgrade {
        /// Its program.
        binary: String,
    },
    /// Fail on purpose. Refused unless the daemon was started with `--allow-faults`.
    Fault {
        /// How.
        #[serde(flatten)]
        fault: Fault,
    },
}

/// A failure on purpose.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum Fault {
    /// An instance panics.
    Panic {
        /// Which.
        name: String,
    },
    /// A worker does nothing for a while.
    Stall {
        /// Which.
        worker: usize,
        /// For how long.
        ms: u64,
    },
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The version of the form.
    pub v: u32,
    /// What came of it.
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// What came of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It was done, or begun.
    Ok(Answer),
    /// It was not.
    Error(Problem),
}

/// Why something was not done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// What kind of trouble, for scripts.
    pub kind: Kind,
    /// For people: what is wrong and what to do.
    pub text: String,
    /// All faults, where there are several.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<String>,
}

/// Kinds of trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The frame was no request.
    Malformed,
    /// No instance has that name.
    Unknown,
    /// Not now, or not at all.
    Refused,
    /// The configuration is faulty; the old one stays.
    BadConfig,
    /// It was tried and failed; everything is as before.
    Failed,
}

/// What is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// Instances.
    Instances(Vec<Instance>),
    /// The process.
    Process(Box<ProcessStatus>),
    /// What crosses between zones, by instance; those that count nothing are left out.
    Crossing(Vec<CrossingReport>),
    /// Listeners for UDP flows.
    Flows(Vec<FlowsReport>),
    /// What changes, or would.
    Changes(Changes),
    /// Nothing but that it was done, or begun.
    Done(String),
}

/// What crosses between zones, of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrossingReport {
    /// The instance.
    pub name: String,
    /// Over all its generations.
    pub totals: Totals,
    /// Its budgets.
    pub budgets: Vec<BudgetLevel>,
}

/// A listener for UDP flows as it is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FlowsReport {
    /// Its name.
    pub name: String,
    /// Where clients send to.
    pub listen: String,
    /// Flows, and how many the table holds at most.
    pub flows: [usize; 2],
    /// The same of unanswered ones.
    pub tentative: [usize; 2],
    /// Source prefixes that are told apart.
    pub sources: usize,
    /// Datagrams that the kernel dropped since nobody read them in time.
    pub kernel_drops: Option<u64>,
    /// Totals.
    pub counts: FlowCounts,
    /// Its servers.
    pub servers: Vec<FlowServer>,
    /// The first of its flows.
    pub table: Vec<FlowReport>,
}

/// A server of UDP flows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FlowServer {
    /// Its name.
    pub name: String,
    /// Where it takes datagrams.
    pub dial: String,
    /// `serving`, `draining`, `gone` or `lost`.
    pub state: String,
    /// Its flows, and those of them that it has answered.
    pub flows: [usize; 2],
    /// Datagrams a second, both ways.
    pub per_s: f64,
}

/// One UDP flow.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FlowReport {
    /// Its number.
    pub flow: u64,
    /// Where its client is.
    pub client: String,
    /// Its server.
    pub server: String,
    /// Whether a server has answered.
    pub live: bool,
    /// Milliseconds since it began, and since its client and its server were heard; -1 for never.
    pub ages_ms: [f64; 3],
    /// Datagrams from and to its client.
    pub datagrams: [u64; 2],
}

/// A budget as it stood at the last attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BudgetLevel {
    /// In words.
    pub budget: String,
    /// What it held, crossings or bytes; below 0 what it owed.
    pub level: f64,
    /// What it can hold.
    pub burst: f64,
}

/// What a new configuration changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Instances that are new.
    pub added: Vec<String>,
    /// That are no more.
    pub removed: Vec<String>,
    /// That take it while they run.
    pub in_place: Vec<String>,
    /// That get a successor.
    pub successor: Vec<String>,
    /// That stay as they are.
    pub unchanged: usize,
    /// Settings of the process that take a restart or an upgrade.
    pub later: Vec<String>,
}

/// An instance as it is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// How far it is.
    pub state: String,
    /// Where its clients connect; empty while it listens nowhere.
    pub listen: String,
    /// Where discovery is.
    pub discovery: String,
    /// The generation that serves.
    pub generation: Option<u64>,
    /// The one that is to take its place.
    pub successor: Option<u64>,
    /// How many are on their way out.
    pub draining: usize,
    /// The thread it lives on.
    pub worker: Option<usize>,
    /// Requests without an answer, over all its generations.
    pub open: u64,
    /// Of the present generation: requests taken, served, refused, failed, and left by their clients.
    pub taken: u64,
    /// See `taken`.
    pub served: u64,
    /// See `taken`.
    pub refused: u64,
    /// See `taken`.
    pub failed: u64,
    /// See `taken`.
    pub left: u64,
    /// Attempts that went out.
    pub sends: u64,
    /// How many upstreams it knows.
    pub upstreams: u64,
    /// The version of its list of them.
    pub seq: u64,
    /// Connections of clients, and to upstreams.
    pub connections: [usize; 2],
    /// Failures in a row.
    pub failures: u32,
    /// Milliseconds until it is started again.
    pub retry_in_ms: Option<u64>,
    /// Whether the operator has stopped it.
    pub stopped: bool,
    /// What went wrong last.
    pub note: Option<String>,
}

/// The process as it is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Its version.
    pub version: String,
    /// Its id.
    pub pid: u32,
    /// How long it has run.
    pub uptime_ms: u64,
    /// Whether it is `serving`, `upgrading` or `draining`.
    pub phase: String,
    /// How many instances are in each state.
    pub instances: std::collections::BTreeMap<String, usize>,
    /// Requests without an answer.
    pub open: u64,
    /// The threads.
    pub workers: Vec<WorkerStatus>,
    /// MiB of memory: granted, and there are.
    pub memory_mb: [u64; 2],
    /// Descriptors: granted, and there are.
    pub descriptors: [u64; 2],
    /// Connections to the upstream that has most, and the limit.
    pub connections_per_upstream: [usize; 2],
    /// Why state is not being kept, if it is not.
    pub state_trouble: Option<String>,
    /// Whether all that is wanted serves as wanted.
    pub settled: bool,
}

/// A thread as it is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Generations that live on it.
    pub generations: usize,
    /// How long ago it was last heard.
    pub silent_ms: u64,
    /// Whether that is too long.
    pub stuck: bool,
}

impl Reply {
    /// An answer.
    pub fn ok(answer: Answer) -> Reply {
        Reply { v: VERSION, outcome: Outcome::Ok(answer) }
    }

    /// Trouble.
    pub fn error(kind: Kind, text: impl Into<String>) -> Reply {
        Reply::faults(kind, text, Vec::new())
    }

    /// Trouble of several parts.
    pub fn faults(kind: Kind, text: impl Into<String>, faults: Vec<String>) -> Reply {
        Reply { v: VERSION, outcome: Outcome::Error(Problem { kind, text: text.into(), faults }) }
    }
}

/// Reads a request from its line; an error is to be told to who sent it.
pub fn request(line: &[u8]) -> Result<Ask, Problem> {
    #[derive(Deserialize)]
    struct Versioned {
        v: u32,
    }
    let problem = |text: String| Problem { kind: Kind::Malformed, text, faults: Vec::new() };
    let malformed = |error: serde_json::Error| problem(format!("no request: {error}"));
    // The version first: what another one means by its fields is not known.
    let Versioned { v } = serde_json::from_slice(line).map_err(malformed)?;
    if v != VERSION {
        let text =
            format!("version {v} is not spoken here, {VERSION} is; use the ctl of the daemon's own version");
        return Err(problem(text));
    }
    serde_json::from_slice::<Request>(line).map(|request| request.ask).map_err(malformed)
}

/// A message as its line.
pub fn line(message: &impl Serialize) -> Vec<u8> {
    // Plain values always have a form; an empty line says nothing, which a reader takes for the end.
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_are_read_as_they_are_written() {
        let asks = [
            Ask::List,
            Ask::Show { name: "a".to_owned() },
            Ask::Crossing { name: None },
            Ask::Flows { name: Some("a".to_owned()), flows: 3 },
            Ask::FlowsMove { name: "a".to_owned(), flow: Some(7), server: None },
            Ask::Apply { dry_run: true },
            Ask::Fault { fault: Fault::Stall { worker: 1, ms: 2_000 } },
            Ask::Upgrade { binary: "/bin/x".to_owned() },
        ];
        for ask in asks {
            let line = line(&Request { v: VERSION, ask: ask.clone() });
            assert_eq!(request(&line), Ok(ask));
        }
        assert_eq!(request(br#"{"v":1,"op":"drain-all"}"#), Ok(Ask::DrainAll));
        for bad in [
            &b"{}"[..],
            b"[1]",
            b"\xff",
            br#"{"v":1}"#,
            br#"{"v":1,"op":"dance"}"#,
            br#"{"v":1,"op":"show"}"#,
        ] {
            assert_eq!(request(bad).unwrap_err().kind, Kind::Malformed);
        }
        let later = request(br#"{"v":2,"op":"list"}"#).unwrap_err();
        assert!(later.text.contains("version 2"), "{later:?}");
    }

    #[test]
    fn replies_are_read_as_they_are_written() {
        let changes = Changes { added: vec!["a".to_owned()], unchanged: 3, ..Changes::default() };
        for reply in
            [Reply::ok(Answer::Changes(changes)), Reply::error(Kind::Unknown, "no instance is named x")]
        {
            let line = line(&reply);
            assert_eq!(serde_json::from_slice::<Reply>(&line).unwrap(), reply);
        }
    }
}
