//! From one process to the next: the listening sockets, the control socket and the lock of the state directory pass
//! over a Unix socket pair (`SCM_RIGHTS`, `unix(7)`), and both sides say how far they are in lines of JSON.
//!
//! ```text
//! predecessor                                   successor (its standard input is the pair)
//!   begin, sockets + descriptors, lists, end ->
//!                                            <- ready, or failed
//!   UDP flows, each listener's socket, table and sockets of flows ->
//!   go                                       ->   accepts from now on
//!                                            <- serving
//!   ids of open requests, both ways (id_exchange.rs), if both can
//!   drains; its end of the pair closes       ->   knows that it is alone
//! ```
//!
//! Until `go` the predecessor serves as if nothing had been, and the successor accepts nobody. `cancel`, or the end of
//! the successor before it serves, leaves everything with the predecessor. If the pair ends before `go` without
//! `cancel`, the predecessor was killed, and its successor goes on in its place.

use std::collections::{HashMap, VecDeque};
use std::fs::File;
use std::io::{self, IoSlice, IoSliceMut, Read, Seek, Write};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use sagemast_sidecar::line_buffer::LineBuffer;
use sagemast_udp::Legacy;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, UnixListener};

use crate::config::Place;
use crate::id_exchange::Link;
use crate::plan::Name;

/// The version of what is said.
const VERSION: u32 = 1;
/// Descriptors a message; the kernel takes 253 (`SCM_MAX_FD`).
const AT_ONCE: usize = 128;
/// The largest table of flows: four million of some 60 bytes.
const TABLE_BYTES: u64 = 256 << 20;
/// The longest line: the list of upstreams of one instance.
const LINE_BYTES: usize = 8 << 20;
/// What is said of a successor that ends too soon.
const ENDED: &str = "it ended before it was ready";
/// How often a predecessor that waits looks whether it still should.
const LOOK_UP: Duration = Duration::from_millis(200);
/// A successor that was told to go serves within this.
const SERVING: Duration = Duration::from_secs(5);

/// A place in words.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PlaceText {
    /// Of an instance whose port the system chose.
    of: Option<String>,
    at: SocketAddr,
}

impl From<&Place> for PlaceText {
    fn from(place: &Place) -> PlaceText {
        match place {
            Place::At(at) => PlaceText { of: None, at: *at },
            Place::Chosen(name, at) => PlaceText { of: Some(name.to_string()), at: *at },
        }
    }
}

impl From<PlaceText> for Place {
    fn from(text: PlaceText) -> Place {
        match text.of {
            None => Place::At(text.at),
            Some(name) => Place::Chosen(name.into(), text.at),
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
enum Said {
    Begin {
        v: u32,
        lock: bool,
        others: u32,
        ready: Vec<String>,
        stopped: Vec<String>,
        first: u64,
        /// Instances that share the ids of their open requests; none in earlier versions.
        #[serde(default)]
        shares_ids: Vec<String>,
    },
    Sockets {
        places: Vec<PlaceText>,
    },
    List {
        name: String,
        list: serde_json::Value,
    },
    End,
    Ready {
        places: Vec<PlaceText>,
        /// Whether the successor shares the ids of open requests; earlier versions do not.
        #[serde(default)]
        shares_ids: bool,
    },
    Failed {
        text: String,
    },
    Go,
    Cancel,
    Serving,
    /// A listener for UDP flows: its socket and its table, in a file that is in memory only.
    Flows {
        name: String,
    },
    /// Sockets of flows of the listener before, in the order of its table.
    FlowSockets {
        count: usize,
    },
}

/// Everything that passes.
#[derive(Debug)]
pub struct Estate {
    /// The control socket.
    pub control: OwnedFd,
    /// The lock of the state directory.
    pub lock: Option<OwnedFd>,
    /// The listening sockets.
    pub listeners: HashMap<Place, OwnedFd>,
    /// The lists of upstreams, as JSON in discovery's form.
    pub lists: HashMap<Name, Vec<u8>>,
    /// How many generations run in the predecessor.
    pub others: u32,
    /// Instances that were ready there.
    pub ready: Vec<Name>,
    /// Instances that the operator has stopped.
    pub stopped: Vec<Name>,
    /// The number of the last generation there.
    pub first: u64,
    /// Instances that share the ids of their open requests.
    pub shares_ids: Vec<Name>,
}

/// One end of the pair.
struct Pair {
    stream: UnixStream,
    lines: LineBuffer,
    received: VecDeque<OwnedFd>,
}

impl Pair {
    fn new(stream: UnixStream) -> Pair {
        Pair { stream, lines: LineBuffer::new(LINE_BYTES), received: VecDeque::new() }
    }

    fn say(&self, what: &Said, descriptors: &[BorrowedFd<'_>]) -> io::Result<()> {
        let line = crate::frames::line(what);
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(AT_ONCE))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        if !descriptors.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(descriptors)) {
            return Err(io::Error::other("too many descriptors for one message"));
        }
        // They go with the first byte; the rest of a long line follows without them.
        let mut sent = sendmsg(&self.stream, &[IoSlice::new(&line)], &mut ancillary, SendFlags::NOSIGNAL)?;
        while sent < line.len() {
            let rest = &line[sent..];
            let mut none = SendAncillaryBuffer::default();
            sent += sendmsg(&self.stream, &[IoSlice::new(rest)], &mut none, SendFlags::NOSIGNAL)?;
        }
        Ok(())
    }

    /// The next thing said; `None` at the end of the pair.
    fn hear(&mut self, until: Option<Instant>) -> io::Result<Option<Said>> {
        loop {
            if let Some(line) = self.lines.next_line() {
                return serde_json::from_slice(&line).map(Some).map_err(io::Error::other);
            }
            let left = until.map(|until| until.saturating_duration_since(Instant::now()));
            if left.is_some_and(|left| left.is_zero()) {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(left)?;
            let mut chunk = [0; 16 << 10];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(AT_ONCE))];
            let mut ancillary = RecvAncillaryBuffer::new(&mut space);
            let flags = RecvFlags::CMSG_CLOEXEC;
            let got = match recvmsg(&self.stream, &mut [IoSliceMut::new(&mut chunk)], &mut ancillary, flags) {
                Ok(got) => got.bytes,
                Err(rustix::io::Errno::INTR) => continue,
                Err(error) => return Err(error.into()),
            };
            for message in ancillary.drain() {
                if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                    self.received.extend(descriptors);
                }
            }
            if got == 0 {
                return Ok(None);
            }
            self.lines.push(&chunk[..got]).map_err(io::Error::other)?;
        }
    }

    fn descriptor(&mut self) -> io::Result<OwnedFd> {
        self.received.pop_front().ok_or_else(|| io::Error::other("a descriptor is missing"))
    }
}

/// What a predecessor hands over. It shares the sockets with those that serve from them meanwhile.
pub struct Bequest {
    /// The control socket.
    pub control: Arc<UnixListener>,
    /// The lock of the state directory.
    pub lock: Option<Arc<OwnedFd>>,
    /// The listening sockets.
    pub listeners: Vec<(Place, Arc<TcpListener>)>,
    /// The lists of upstreams, as JSON in discovery's form.
    pub lists: Vec<(Name, Vec<u8>)>,
    /// How many generations run here.
    pub others: u32,
    /// Instances that are ready.
    pub ready: Vec<String>,
    /// Instances that the operator has stopped.
    pub stopped: Vec<String>,
    /// The number of the last generation.
    pub first: u64,
    /// Instances that share the ids of their open requests.
    pub shares_ids: Vec<String>,
}

/// A successor process as its predecessor sees it.
pub struct Successor {
    child: Child,
    pair: Pair,
    until: Instant,
    shares_ids: bool,
}

impl Successor {
    /// Starts a program as successor; it has until then to get ready.
    pub fn start(
        program: &Path,
        arguments: &[std::ffi::OsString],
        at_most: Duration,
    ) -> Result<Successor, String> {
        let pair = UnixStream::pair().map_err(|error| format!("cannot make a socket pair: {error}"))?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::from(OwnedFd::from(pair.1)))
            .spawn()
            .map_err(|error| format!("cannot start {}: {error}", program.display()))?;
        // A successor that reads nothing must not hold up who tells it.
        let set = pair.0.set_write_timeout(Some(at_most));
        let until = Instant::now() + at_most;
        let mut successor = Successor { child, pair: Pair::new(pair.0), until, shares_ids: false };
        match set {
            Ok(()) => Ok(successor),
            Err(error) => Err(successor.end(&format!("its socket is of no use: {error}"))),
        }
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Hands everything to it, and waits until it is ready or the handover is cancelled. Gives the places that it
    /// listens at.
    pub fn hand_over(
        mut self,
        bequest: &Bequest,
        cancelled: &AtomicBool,
    ) -> Result<(Successor, Vec<Place>), String> {
        match self.pass_on(bequest, cancelled) {
            Ok(places) => Ok((self, places)),
            Err(error) => Err(self.end(&error)),
        }
    }

    fn pass_on(&mut self, bequest: &Bequest, cancelled: &AtomicBool) -> Result<Vec<Place>, String> {
        let tell = |error: io::Error| match error.kind() {
            // It may end while it is still being told.
            io::ErrorKind::BrokenPipe | io::ErrorKind::ConnectionReset => ENDED.to_owned(),
            _ => format!("it does not listen: {error}"),
        };
        let lock = bequest.lock.as_ref().map(|lock| lock.as_fd());
        let singles: Vec<BorrowedFd<'_>> = std::iter::once(bequest.control.as_fd()).chain(lock).collect();
        let begin = Said::Begin {
            v: VERSION,
            lock: lock.is_some(),
            others: bequest.others,
            ready: bequest.ready.clone(),
            stopped: bequest.stopped.clone(),
            first: bequest.first,
            shares_ids: bequest.shares_ids.clone(),
        };
        self.pair.say(&begin, &singles).map_err(tell)?;
        for some in bequest.listeners.chunks(AT_ONCE) {
            let places = some.iter().map(|(place, _)| PlaceText::from(place)).collect();
            let sockets: Vec<BorrowedFd<'_>> = some.iter().map(|(_, socket)| socket.as_fd()).collect();
            self.pair.say(&Said::Sockets { places }, &sockets).map_err(tell)?;
        }
        for (name, list) in &bequest.lists {
            // A list that is not JSON is not worth handing on: discovery tells it again.
            let Ok(list) = serde_json::from_slice(list) else { continue };
            self.pair.say(&Said::List { name: name.to_string(), list }, &[]).map_err(tell)?;
        }
        self.pair.say(&Said::End, &[]).map_err(tell)?;
        loop {
            let now = Instant::now();
            if cancelled.load(Ordering::Relaxed) {
                return Err("the upgrade was cancelled".to_owned());
            }
            match self.pair.hear(Some(self.until.min(now + LOOK_UP))) {
                Ok(Some(Said::Ready { places, shares_ids })) => {
                    self.shares_ids = shares_ids;
                    return Ok(places.into_iter().map(Place::from).collect());
                }
                Ok(Some(Said::Failed { text })) => return Err(text),
                Ok(Some(other)) => return Err(format!("it said {other:?} out of turn")),
                Ok(None) => return Err(ENDED.to_owned()),
                // With something unread it ends so.
                Err(error) if error.kind() == io::ErrorKind::ConnectionReset => return Err(ENDED.to_owned()),
                Err(error) if is_late(&error) && now < self.until => {}
                Err(error) if is_late(&error) => return Err("it did not get ready in time".to_owned()),
                Err(error) => return Err(format!("it cannot be heard: {error}")),
            }
        }
    }

    /// Whether it shares the ids of open requests.
    pub fn shares_ids(&self) -> bool {
        self.shares_ids
    }

    /// Lets it serve, and waits until it does. What comes back is to be kept as long as this process runs: its end
    /// tells the successor that it is alone.
    pub fn go(mut self, flows: Vec<Legacy>) -> Result<Link, String> {
        let told = flows.into_iter().try_for_each(|legacy| self.leave(legacy));
        let heard = match told.and_then(|()| self.pair.say(&Said::Go, &[])) {
            Ok(()) => self.pair.hear(Some(Instant::now() + SERVING)),
            Err(error) => Err(error),
        };
        match heard {
            Ok(Some(Said::Serving)) => Ok(Link { stream: self.pair.stream, lines: self.pair.lines }),
            _ => Err(self.end("it did not serve when it was told to")),
        }
    }

    /// Leaves a listener for UDP flows to it.
    fn leave(&self, legacy: Legacy) -> io::Result<()> {
        let Legacy { name, socket, table, sockets } = legacy;
        let held = rustix::fs::memfd_create("flows", rustix::fs::MemfdFlags::CLOEXEC)?;
        let mut held = File::from(held);
        held.write_all(&table)?;
        held.rewind()?;
        self.pair.say(&Said::Flows { name }, &[socket.as_fd(), held.as_fd()])?;
        for some in sockets.chunks(AT_ONCE) {
            let sockets: Vec<BorrowedFd<'_>> = some.iter().map(AsFd::as_fd).collect();
            self.pair.say(&Said::FlowSockets { count: some.len() }, &sockets)?;
        }
        Ok(())
    }

    /// Ends it, and says why.
    pub fn end(&mut self, reason: &str) -> String {
        let _ = self.pair.say(&Said::Cancel, &[]);
        let _ = self.child.kill();
        match self.child.wait() {
            Ok(status) => format!("the successor was ended: {reason} ({status})"),
            Err(error) => format!("the successor was ended: {reason} ({error})"),
        }
    }
}

fn is_late(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock)
}

/// A predecessor process as its successor sees it.
pub struct Predecessor(Pair);

/// What a predecessor says once its successor is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word {
    /// Serve.
    Go,
    /// End.
    Cancel,
    /// Nothing any more: it was killed. Serve in its place.
    Dead,
}

impl Predecessor {
    /// Takes everything over from the process at the other end of the standard input.
    pub fn meet(stream: OwnedFd, at_most: Duration) -> Result<(Predecessor, Estate), String> {
        let mut pair = Pair::new(UnixStream::from(stream));
        let until = Instant::now() + at_most;
        let mut estate = None;
        loop {
            let said = pair
                .hear(Some(until))
                .map_err(|error| format!("the predecessor cannot be heard: {error}"))?;
            let lost = |error: io::Error| error.to_string();
            match (said, &mut estate) {
                (Some(Said::Begin { v, lock, others, ready, stopped, first, shares_ids }), None) => {
                    if v != VERSION {
                        return Err(format!(
                            "the predecessor speaks version {v}, this program {VERSION}: restart instead"
                        ));
                    }
                    estate = Some(Estate {
                        control: pair.descriptor().map_err(lost)?,
                        lock: lock.then(|| pair.descriptor()).transpose().map_err(lost)?,
                        listeners: HashMap::new(),
                        lists: HashMap::new(),
                        others,
                        ready: ready.into_iter().map(Name::from).collect(),
                        stopped: stopped.into_iter().map(Name::from).collect(),
                        first,
                        shares_ids: shares_ids.into_iter().map(Name::from).collect(),
                    });
                }
                (Some(Said::Sockets { places }), Some(estate)) => {
                    for place in places {
                        estate.listeners.insert(place.into(), pair.descriptor().map_err(lost)?);
                    }
                }
                (Some(Said::List { name, list }), Some(estate)) => {
                    estate.lists.insert(name.into(), list.to_string().into_bytes());
                }
                (Some(Said::End), Some(_)) => break,
                (Some(other), _) => return Err(format!("the predecessor said {other:?} out of turn")),
                (None, _) => return Err("the predecessor ended".to_owned()),
            }
        }
        match estate {
            Some(estate) => Ok((Predecessor(pair), estate)),
            None => Err("the predecessor handed nothing over".to_owned()),
        }
    }

    /// Says that it cannot be done.
    pub fn failed(&self, text: &str) {
        // Who is gone need not be told.
        let _ = self.0.say(&Said::Failed { text: text.to_owned() }, &[]);
    }

    /// Says that all is ready, and waits for the word. With it come the listeners for UDP flows.
    pub fn ready(&mut self, places: &[Place]) -> (Word, Vec<Legacy>) {
        let places = places.iter().map(PlaceText::from).collect();
        let mut flows = Vec::new();
        if self.0.say(&Said::Ready { places, shares_ids: true }, &[]).is_err() {
            return (Word::Dead, flows);
        }
        loop {
            let word = match self.0.hear(None) {
                Ok(Some(Said::Flows { name })) => match self.take(name) {
                    Ok(legacy) => {
                        flows.push(legacy);
                        continue;
                    }
                    Err(_) => Word::Cancel,
                },
                Ok(Some(Said::FlowSockets { count })) => {
                    let sockets = (0..count).map(|_| self.0.descriptor()).collect::<io::Result<Vec<_>>>();
                    match (flows.last_mut(), sockets) {
                        (Some(legacy), Ok(sockets)) => {
                            legacy.sockets.extend(sockets);
                            continue;
                        }
                        _ => Word::Cancel,
                    }
                }
                Ok(Some(Said::Go)) => Word::Go,
                Ok(None) => Word::Dead,
                _ => Word::Cancel,
            };
            return (word, flows);
        }
    }

    /// Takes a listener for UDP flows over, but for the sockets of its flows.
    fn take(&mut self, name: String) -> io::Result<Legacy> {
        let socket = self.0.descriptor()?;
        let mut table = Vec::new();
        File::from(self.0.descriptor()?).take(TABLE_BYTES).read_to_end(&mut table)?;
        Ok(Legacy { name, socket, table, sockets: Vec::new() })
    }

    /// Says that this process serves. What comes back is for the ids of open requests; its end is that of the predecessor.
    pub fn serving(self) -> Link {
        let _ = self.0.say(&Said::Serving, &[]);
        Link { stream: self.0.stream, lines: self.0.lines }
    }
}
