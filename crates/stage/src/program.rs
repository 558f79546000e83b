//! The program as a process: a daemon that a scenario or test starts, asks, kills and starts again.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use sagemast_daemon::control;
use sagemast_daemon::frames::{Answer, Ask, Instance, Outcome, ProcessStatus, Reply};

use crate::fleet::FleetFile;

/// Nothing here takes this long unless it never comes.
pub const FOREVER: Duration = Duration::from_secs(30);

/// A daemon. When this is dropped, every process that it has been is ended.
pub struct Daemon {
    program: PathBuf,
    file: PathBuf,
    control: PathBuf,
    child: Option<Child>,
    /// Lines of its log, also of successors.
    pub log: Arc<Mutex<Vec<String>>>,
    /// Processes that it has become by handing over.
    heirs: Vec<u32>,
}

impl Daemon {
    /// Starts one and waits until it can be asked.
    pub fn start(program: &Path, fleet: &FleetFile) -> Result<Daemon, String> {
        fleet.write().map_err(|error| error.to_string())?;
        let mut daemon = Daemon {
            program: program.to_owned(),
            file: fleet.path(),
            control: fleet.control(),
            child: None,
            log: Arc::default(),
            heirs: Vec::new(),
        };
        daemon.start_again()?;
        Ok(daemon)
    }

    /// Starts it again after it has ended or was killed.
    pub fn start_again(&mut self) -> Result<(), String> {
        let mut child = Command::new(&self.program)
            .args(["daemon", "--allow-faults", "--config"])
            .arg(&self.file)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|error| format!("{}: {error}", self.program.display()))?;
        if let Some(errors) = child.stderr.take() {
            let log = self.log.clone();
            std::thread::spawn(move || {
                for line in BufReader::new(errors).lines().map_while(Result::ok) {
                    log.lock().unwrap_or_else(PoisonError::into_inner).push(line);
                }
            });
        }
        self.child = Some(child);
        until("it can be asked", || self.ask(Ask::Status).is_ok() || self.has_ended())?;
        if self.has_ended() { Err(format!("it has ended: {:?}", self.lines())) } else { Ok(()) }
    }

    fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)) | Err(_)))
    }

    /// Its process id: that of the process that was started, until it hands over.
    pub fn pid(&self) -> u32 {
        self.heirs.last().copied().or_else(|| self.child.as_ref().map(Child::id)).unwrap_or(0)
    }

    /// Its log so far.
    pub fn lines(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Asks it something. Trouble of any kind is an error.
    pub fn ask(&self, ask: Ask) -> Result<Answer, String> {
        match control::ask(&self.control, ask, FOREVER)?.outcome {
            Outcome::Ok(answer) => Ok(answer),
            Outcome::Error(problem) => {
                Err(format!("{:?}: {} {:?}", problem.kind, problem.text, problem.faults))
            }
        }
    }

    /// Asks it something, and gives what it says.
    pub fn reply(&self, ask: Ask) -> Result<Reply, String> {
        control::ask(&self.control, ask, FOREVER)
    }

    /// The control socket.
    pub fn control(&self) -> &Path {
        &self.control
    }

    /// The process.
    pub fn status(&self) -> Result<ProcessStatus, String> {
        match self.ask(Ask::Status)? {
            Answer::Process(process) => Ok(*process),
            other => Err(format!("no status: {other:?}")),
        }
    }

    /// The instances by name.
    pub fn instances(&self) -> Result<BTreeMap<String, Instance>, String> {
        match self.ask(Ask::List)? {
            Answer::Instances(all) => Ok(all.into_iter().map(|one| (one.name.clone(), one)).collect()),
            other => Err(format!("no list: {other:?}")),
        }
    }

    /// Where an instance listens.
    pub fn address(&self, name: &str) -> Result<SocketAddr, String> {
        let all = self.instances()?;
        let one = all.get(name).ok_or_else(|| format!("no instance {name}"))?;
        one.listen.parse().map_err(|_| format!("{name} listens nowhere: {one:?}"))
    }

    /// Waits until all that is wanted serves as wanted.
    pub fn settle(&self) -> Result<(), String> {
        until("it is settled", || self.status().is_ok_and(|status| status.settled))
    }

    /// Has it hand over to another process of a program.
    pub fn upgrade(&mut self, program: &Path) -> Result<(), String> {
        let before = self.pid();
        self.ask(Ask::Upgrade { binary: program.display().to_string() })?;
        let answers = || self.status().ok().map(|status| status.pid).filter(|pid| *pid != before);
        let pid = until_some("the successor can be asked", answers)?;
        self.heirs.push(pid);
        Ok(())
    }

    /// Waits until the process that was started has ended.
    pub fn wait_exit(&mut self) -> Result<ExitStatus, String> {
        let child = self.child.as_mut().ok_or("it was not started")?;
        until_some("it ends", || child.try_wait().ok().flatten())
    }

    /// Sends the process that was started a signal.
    pub fn signal(&self, signal: rustix::process::Signal) {
        signal_to(self.pid(), signal);
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        let heir = self.heirs.last().copied();
        if let Some(heir) = heir {
            signal_to(heir, rustix::process::Signal::KILL);
        }
        if let Some(child) = &mut self.child {
            // One that has ended by itself needs no killing.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.heirs.clear();
    }
}

fn signal_to(pid: u32, signal: rustix::process::Signal) {
    if let Some(pid) = rustix::process::Pid::from_raw(pid as i32) {
        let _ = rustix::process::kill_process(pid, signal);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        // A successor that nobody got to know of: it was started for this very file.
        let file = self.file.display().to_string();
        for process in std::fs::read_dir("/proc").into_iter().flatten().flatten() {
            let line = std::fs::read(process.path().join("cmdline")).unwrap_or_default();
            let words: Vec<_> = line.split(|byte| *byte == 0).map(String::from_utf8_lossy).collect();
            let pid = process.file_name().to_string_lossy().parse();
            if let (true, Ok(pid)) = (words.iter().any(|word| *word == file), pid) {
                signal_to(pid, rustix::process::Signal::KILL);
            }
        }
    }
}

/// Waits for a condition.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) -> Result<(), String> {
    until_some(what, || holds().then_some(()))
}

/// Waits for a value.
pub fn until_some<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> Result<T, String> {
    let start = Instant::now();
    loop {
        if let Some(value) = look() {
            return Ok(value);
        }
        if start.elapsed() > FOREVER {
            return Err(format!("waited in vain: {what}"));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}
