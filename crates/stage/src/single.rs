//! The program as the platform starts it: one sidecar, configured by a file, with a console, on a listening socket that
//! somebody else may hold.

use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::program::{until, until_some};

/// The platform's settings with its four classes, with aims and deadlines in milliseconds.
pub const SETTINGS: &str = r#"{"peers_total":1,"membership_mode":"automatic","azs":["east"],"kinds":["std"],
"classes":[
{"name":"page-fetch","effect":"repeatable","aim":500.0,"hard_limit":2000.0,"importance":3.0},
{"name":"draft-save","effect":"repeatable","put":true,"aim":500.0,"hard_limit":2000.0,"importance":3.0},
{"name":"errata-log","effect":"by_key","dedup_scope":"cell","window":2000.0,"aim":500.0,"hard_limit":2000.0,"importance":3.0},
{"name":"copy-bill","effect":"once","aim":500.0,"hard_limit":2000.0,"importance":2.0}],
"allowed":{"max_attempts":4,"probes":true,"cancel":true,"retry_after":true,"max_retry_after":600.0,"connect_timeout":250.0},
"invariants":{"cold_share":0.16,"warm_up":21000.0,"fall_multiple":2.5,"fall":1500.0},
"telemetry":{"how":"pull","columns":["inflight","eps","util"]}}"#;

/// An answer of a console is due within this time.
const DUE: Duration = Duration::from_secs(10);

/// What one is started with.
#[derive(Debug)]
pub struct Site {
    /// The folder that its files, and the temporary ones of its processes, are in.
    pub folder: PathBuf,
    /// The clients' listening socket, which outlives processes.
    pub socket: TcpListener,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// What it may hold.
    pub memory_mb: usize,
    /// The same for descriptors.
    pub sockets: usize,
    /// How much lower than others the scheduler ranks it, 0 to 19.
    pub nice: u8,
    started: usize,
}

impl Site {
    /// One on a port of its own.
    pub fn new(name: &str, discovery: SocketAddr) -> std::io::Result<Site> {
        let folder = std::env::temp_dir().join(format!("sagemast-rig-{}-{name}", std::process::id()));
        std::fs::create_dir_all(folder.join("tmp"))?;
        let socket = TcpListener::bind("127.0.0.1:0")?;
        Ok(Site { folder, socket, discovery, memory_mb: 48, sockets: 384, nice: 0, started: 0 })
    }

    /// Where clients connect.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Starts a process of it; what it says goes to a log of its own.
    pub fn start(&mut self, program: &Path) -> Result<Single, String> {
        let io = |error: std::io::Error| error.to_string();
        self.started += 1;
        let console =
            TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).map_err(io)?;
        let config = format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","console":"{console}","seed":"{:x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":null,"settings":{SETTINGS}}}"#,
            self.address().map_err(io)?,
            self.discovery,
            self.started,
            self.memory_mb,
            self.sockets
        );
        let file = self.folder.join(format!("{}.json", self.started));
        std::fs::write(&file, config).map_err(io)?;
        let nice = if self.nice > 0 { format!("nice -n {} ", self.nice) } else { String::new() };
        let mut child = Command::new("sh")
            .arg("-c")
            .arg(format!("exec 3<&0 0</dev/null; exec {nice}\"$0\""))
            .arg(program)
            .env("ROUTER_CONFIG", &file)
            .env("ROUTER_SOCKET_FD", "3")
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(OwnedFd::from(self.socket.try_clone().map_err(io)?))
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        if let Some(errors) = child.stderr.take() {
            let log = log.clone();
            std::thread::spawn(move || {
                for line in BufReader::new(errors).lines().map_while(Result::ok) {
                    log.lock().unwrap_or_else(PoisonError::into_inner).push(line);
                }
            });
        }
        Ok(Single { child, console, log })
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// One process. It is killed when this is dropped.
#[derive(Debug)]
pub struct Single {
    child: Child,
    /// Where its console is.
    pub console: SocketAddr,
    /// What it has said.
    pub log: Arc<Mutex<Vec<String>>>,
}

impl Single {
    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until it says that it can serve; how long that took.
    pub fn wait_ready(&mut self) -> Result<Duration, String> {
        let begun = Instant::now();
        let console = self.console;
        until("it is ready", || call(console, "GET", "/api/ready").is_ok_and(|(status, _)| status == 200))?;
        Ok(begun.elapsed())
    }

    /// Whether it has said this.
    pub fn has_said(&self, text: &str) -> bool {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().any(|line| line.contains(text))
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: rustix::process::Signal) {
        if let Some(pid) = rustix::process::Pid::from_raw(self.child.id() as i32) {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Waits until it has ended.
    pub fn wait_exit(&mut self) -> Result<ExitStatus, String> {
        let child = &mut self.child;
        until_some("it ends", || child.try_wait().ok().flatten())
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Single {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Calls a console: the status and what it says.
pub fn call(console: SocketAddr, method: &str, path: &str) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&console, DUE)?;
    stream.set_read_timeout(Some(DUE))?;
    stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: console\r\n\r\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok((status, body.to_owned()))
}

/// The figures that a console tells.
pub fn figures(console: SocketAddr) -> Result<serde_json::Value, String> {
    let (status, text) = call(console, "GET", "/api/telemetry").map_err(|error| error.to_string())?;
    match status {
        200 => serde_json::from_str(&text).map_err(|error| error.to_string()),
        status => Err(format!("the figures are answered {status}")),
    }
}

/// Resident memory of a process in KiB, at its highest so far.
pub fn peak_kib(pid: u32) -> u64 {
    let mut text = String::new();
    let read = File::open(format!("/proc/{pid}/status")).and_then(|mut file| file.read_to_string(&mut text));
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    read.ok().and(line).and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// What is said of several processes in one line.
pub fn lines(all: &[&Single]) -> String {
    let mut text = String::new();
    for single in all {
        let log = single.log.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to a string does not fail.
        let _ = write!(text, "{:?} ", log);
    }
    text
}
