//! The state directory: each instance's last list of upstreams, and which instances the operator has stopped. Files
//! are replaced whole (a temporary file, fsync, rename, fsync of the directory); one that cannot be believed is set
//! aside with a line. Writing is done by a thread of its own: a disk that is slow, full or read-only holds up nobody.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::fd::OwnedFd;
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustix::fs::{FlockOperation, flock};
use sagemast_sidecar::log::Log;

use crate::record;

/// A larger file is not one of ours: a list of thousands of upstreams takes under a MiB.
const FILE_BYTES: u64 = 16 << 20;
/// The wait before what could not be written is tried again.
const AGAIN: Duration = Duration::from_secs(5);
/// The name of the lock.
const LOCK: &str = "lock";

/// What a file in the directory is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Item {
    /// The list of upstreams of an instance, as JSON in discovery's form.
    List(Arc<str>),
    /// What an instance has counted of traffic between zones, as JSON.
    Crossing(Arc<str>),
    /// The table of a listener for UDP flows, as it is handed over.
    Flows(Arc<str>),
    /// The names of the instances that the operator has stopped, as JSON.
    Stopped,
}

impl Item {
    fn kind(&self) -> &'static str {
        match self {
            Item::List(_) => "list",
            Item::Crossing(_) => "crossing",
            Item::Flows(_) => "flows",
            Item::Stopped => "stopped",
        }
    }

    fn file_name(&self) -> String {
        match self {
            Item::List(name) => format!("list.{name}"),
            Item::Crossing(name) => format!("crossing.{name}"),
            Item::Flows(name) => format!("flows.{name}"),
            Item::Stopped => "stopped".to_owned(),
        }
    }
}

/// The state directory, held against any other daemon.
pub struct Store {
    folder: PathBuf,
    lock: Arc<OwnedFd>,
    desk: Arc<Desk>,
    writer: Option<std::thread::JoinHandle<()>>,
    log: Log,
}

/// What is to be written. One entry a file, the latest: its size is bounded by the number of instances.
#[derive(Default)]
struct Desk {
    work: Mutex<Work>,
    changed: Condvar,
}

#[derive(Default)]
struct Work {
    /// `None` is to be removed.
    pending: BTreeMap<Item, Option<Vec<u8>>>,
    busy: bool,
    over: bool,
    trouble: Option<String>,
}

impl Desk {
    fn put(&self, item: Item, payload: Option<Vec<u8>>) {
        let mut work = self.work();
        if !work.over {
            work.pending.insert(item, payload);
            self.changed.notify_all();
        }
    }

    fn work(&self) -> MutexGuard<'_, Work> {
        // The writer does not panic while it holds this; were it to, the work is as good as it was.
        self.work.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store {
    /// Makes the directory if need be, and takes hold of it. An error is one plain line.
    pub fn open(folder: &Path, log: Log) -> Result<Store, String> {
        let shown = folder.display();
        fs::DirBuilder::new()
            .recursive(true)
            .mode(0o700)
            .create(folder)
            .map_err(|error| format!("daemon.state: cannot make {shown}: {error}"))?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .mode(0o600)
            .open(folder.join(LOCK))
            .map_err(|error| format!("daemon.state: cannot write in {shown}: {error}"))?;
        match flock(&lock, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(Store::holding(folder, Arc::new(lock.into()), log)),
            Err(rustix::io::Errno::WOULDBLOCK) => Err(format!(
                "daemon.state: another daemon holds {shown}; stop it, or give this one a directory"
            )),
            Err(error) => Err(format!("daemon.state: cannot lock {shown}: {error}")),
        }
    }

    /// The same with the lock that a predecessor has handed over.
    pub fn holding(folder: &Path, lock: Arc<OwnedFd>, log: Log) -> Store {
        let desk = Arc::new(Desk::default());
        let (desk_, folder_, log_) = (desk.clone(), folder.to_owned(), log.clone());
        let writer = std::thread::Builder::new().name("state".to_owned()).spawn(move || {
            write_on(&desk_, &folder_, &log_);
        });
        if let Err(error) = &writer {
            log.line(format!("state: nothing will be written: {error}"));
        }
        Store { folder: folder.to_owned(), lock, desk, writer: writer.ok(), log }
    }

    /// The lock, to hand it over: it is held as long as anyone has it open.
    pub fn lock(&self) -> Arc<OwnedFd> {
        self.lock.clone()
    }

    /// Writes nothing more: the directory is a successor's now.
    pub fn abandon(self) {
        let mut work = self.desk.work();
        work.pending.clear();
        work.over = true;
    }

    /// What was kept last, if it can be believed.
    pub fn read(&self, item: &Item) -> Option<Vec<u8>> {
        let path = self.folder.join(item.file_name());
        let mut file = Vec::new();
        let read = File::open(&path).and_then(|open| open.take(FILE_BYTES + 1).read_to_end(&mut file));
        match read {
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
            Err(error) => {
                self.log.line(format!("state: {} cannot be read: {error}", path.display()));
                return None;
            }
        }
        match record::decode(item.kind(), &file) {
            Ok(payload) => Some(payload.to_vec()),
            Err(reason) => {
                self.set_aside(item, &reason.to_string());
                None
            }
        }
    }

    /// Puts a file that is of no use where nobody reads it, with a line.
    pub fn set_aside(&self, item: &Item, reason: &str) {
        let path = self.folder.join(item.file_name());
        // One of each at most: a later one takes the place of the one before.
        let aside = self.folder.join(format!("{}.bad", item.file_name()));
        let done = fs::rename(&path, &aside);
        let then = done.map_or_else(
            |error| format!("and cannot be set aside: {error}"),
            |()| format!("set aside as {}", aside.display()),
        );
        self.log.line(format!("state: {} is not believed: {reason}; {then}", path.display()));
    }

    /// Has something written before long; `None` has it removed. Returns at once.
    pub fn write(&self, item: Item, payload: Option<Vec<u8>>) {
        self.desk.put(item, payload);
    }

    /// A way to write one file, for another thread. After this store it does nothing.
    pub fn pen(&self, item: Item) -> impl Fn(Vec<u8>) + Send + use<> {
        let desk = self.desk.clone();
        move |payload| desk.put(item.clone(), Some(payload))
    }

    /// Why the last write failed, if it did.
    pub fn trouble(&self) -> Option<String> {
        self.desk.work().trouble.clone()
    }

    /// Waits until all is written, up to a time; false if something is not.
    pub fn flush(&self, at_most: Duration) -> bool {
        let until = Instant::now() + at_most;
        let mut work = self.desk.work();
        while work.busy || !work.pending.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || work.trouble.is_some() {
                return false;
            }
            work = match self.desk.changed.wait_timeout(work, left) {
                Ok((work, _)) => work,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
        true
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.desk.work().over = true;
        self.desk.changed.notify_all();
        if let Some(writer) = self.writer.take() {
            // A disk that hangs must not keep the process from ending.
            if self.flush(Duration::from_secs(1)) {
                let _ = writer.join();
            }
        }
    }
}

/// The writer's whole life.
fn write_on(desk: &Desk, folder: &Path, log: &Log) {
    let mut work = desk.work();
    loop {
        let Some((item, payload)) = work.pending.pop_first() else {
            if work.over {
                return;
            }
            work = desk.changed.wait(work).unwrap_or_else(PoisonError::into_inner);
            continue;
        };
        work.busy = true;
        drop(work);
        let done = match &payload {
            Some(payload) => replace(folder, &item.file_name(), &record::encode(item.kind(), payload)),
            None => remove(folder, &item.file_name()),
        };
        work = desk.work();
        work.busy = false;
        match done {
            Ok(()) => {
                if work.trouble.take().is_some() {
                    log.line("state: written again");
                }
            }
            Err(error) => {
                let text = format!("{} cannot be written: {error}", folder.join(item.file_name()).display());
                if work.trouble.is_none() {
                    log.line(format!("state: {text}; serving goes on, and it is tried again"));
                }
                work.trouble = Some(text);
                // Unless something newer has come in meanwhile.
                work.pending.entry(item).or_insert(payload);
                if work.over {
                    return;
                }
                let waited = desk.changed.wait_timeout_while(work, AGAIN, |work| !work.over);
                work = waited.map_or_else(|poisoned| poisoned.into_inner().0, |(work, _)| work);
            }
        }
        desk.changed.notify_all();
    }
}

/// Puts a file in the place of another so that either the old or the new one is there, whole, whenever power fails.
fn replace(folder: &Path, name: &str, content: &[u8]) -> io::Result<()> {
    let temporary = folder.join(format!(".{name}.new"));
    let write = || {
        let mut file =
            OpenOptions::new().create(true).truncate(true).write(true).mode(0o600).open(&temporary)?;
        file.write_all(content)?;
        file.sync_all()?;
        fs::rename(&temporary, folder.join(name))?;
        File::open(folder)?.sync_all()
    };
    let done = write();
    if done.is_err() {
        // What is left of it only takes room.
        let _ = fs::remove_file(&temporary);
    }
    done
}

fn remove(folder: &Path, name: &str) -> io::Result<()> {
    match fs::remove_file(folder.join(name)) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => File::open(folder)?.sync_all(),
    }
}
