//! What the system knows of a process: `proc(5)`.

use std::fs;
use std::time::Duration;

/// What a process holds and has used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Memory that it holds, in KiB.
    pub rss_kib: u64,
    /// Descriptors that it has open.
    pub descriptors: usize,
    /// Processor time that it has used.
    pub cpu: Duration,
    /// How often its threads went to sleep of their own accord.
    pub sleeps: u64,
}

/// Clock ticks a second in `/proc/PID/stat`; Linux has told user space 100 since it has had others itself.
const TICKS: f64 = 100.0;

/// Of a process that runs. Zeros where it does not.
pub fn usage(pid: u32) -> Usage {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name in parentheses may hold spaces.
    let fields: Vec<&str> = stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace().collect();
    let ticks: f64 = [11, 12].iter().filter_map(|at| fields.get(*at)?.parse::<f64>().ok()).sum();
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let sleeps = tasks.map(|task| {
        let status = fs::read_to_string(task.path().join("status")).unwrap_or_default();
        field(&status, "voluntary_ctxt_switches:")
    });
    Usage {
        rss_kib: field(&status, "VmRSS:"),
        descriptors: fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count),
        cpu: Duration::from_secs_f64(ticks / TICKS),
        sleeps: sleeps.sum(),
    }
}

fn field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Processor time that threads of this process with that name have used.
pub fn thread_cpu(name: &str) -> Duration {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let ticks = tasks.filter_map(|task| {
        let comm = fs::read_to_string(task.path().join("comm")).ok()?;
        if comm.trim_end() != name {
            return None;
        }
        let stat = fs::read_to_string(task.path().join("stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        Some([11, 12].iter().filter_map(|at| fields.get(*at)?.parse::<f64>().ok()).sum::<f64>())
    });
    Duration::from_secs_f64(ticks.sum::<f64>() / TICKS)
}
