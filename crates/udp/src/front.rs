//! All listeners of a process, and how their owner reaches them.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

use rustix::event::{EventfdFlags, eventfd};
use sagemast_flows::api::FlowId;
use sagemast_flows::counts::Counts;
use sagemast_flows::file::{File, From, Listener as Settings};
use sagemast_flows::flows::{FlowView, ServerView};
use sagemast_sidecar::hosts::HostList;
use sagemast_sidecar::log::Log;

use crate::listener::Listener;
use crate::sockets;
use crate::watch::{Watching, watch};

/// Orders that wait for a listener at most; who gives a further one waits.
const ORDERS: usize = 256;
/// A listener answers within this, or is taken to be stuck.
const ANSWER: Duration = Duration::from_secs(2);

/// Where a listener's table is written to, by who owns the disk. It must not wait.
pub type Keeper = Box<dyn Fn(Vec<u8>) + Send>;

/// What one process leaves to the next of a listener: the socket that clients send to, the table, and the sockets of
/// its flows in the table's order.
#[derive(Debug)]
pub struct Legacy {
    /// The listener's name.
    pub name: String,
    /// The socket that clients send to.
    pub socket: OwnedFd,
    /// The table, as [`sagemast_flows::snapshot`] has it.
    pub table: Vec<u8>,
    /// The sockets of its flows.
    pub sockets: Vec<OwnedFd>,
}

impl Legacy {
    /// Whether it is of the address that is configured now.
    fn fits(&self, settings: &Settings) -> bool {
        let at = self.socket.try_clone().and_then(|socket| UdpSocket::from(socket).local_addr());
        at.is_ok_and(|at| at == settings.listen || settings.listen == SocketAddr::new(at.ip(), 0))
    }
}

/// A listener as operators are shown it.
#[derive(Debug, Clone)]
pub struct View {
    /// Its name.
    pub name: String,
    /// Where clients send to.
    pub listen: String,
    /// Totals.
    pub counts: Counts,
    /// Flows: all, and unanswered ones.
    pub sizes: [usize; 2],
    /// The limits of both.
    pub limits: [usize; 2],
    /// Source prefixes that are told apart.
    pub sources: usize,
    /// Datagrams that the kernel dropped since nobody read them in time.
    pub kernel_drops: Option<u64>,
    /// Its servers.
    pub servers: Vec<ServerView>,
    /// Its first flows.
    pub flows: Vec<FlowView>,
}

/// What a listener is told.
pub enum Order {
    /// Discovery has told this.
    Listed(HostList),
    /// Go by these settings.
    Settings(Box<Settings>),
    /// Show yourself, with so many flows.
    View(Sender<View>, usize),
    /// Move a flow, to this server or any.
    Move(FlowId, Option<String>, Sender<Result<(), String>>),
    /// Move all flows of a server.
    MoveServer(String, Sender<Option<usize>>),
    /// End a flow.
    Drop(FlowId, Sender<bool>),
    /// Read nothing more, and hand everything over.
    Freeze(Sender<Option<Legacy>>),
    /// Go on after all.
    Thaw,
    /// Take no new flow.
    Close,
    /// End.
    End,
}

/// The way to a listener's thread.
#[derive(Clone)]
struct Line {
    orders: SyncSender<Order>,
    wake: Arc<OwnedFd>,
}

impl Line {
    fn tell(&self, order: Order) -> bool {
        let told = self.orders.send(order).is_ok();
        let _ = rustix::io::write(&*self.wake, &1_u64.to_ne_bytes());
        told
    }

    fn ask<T>(&self, order: impl FnOnce(Sender<T>) -> Order) -> Option<T> {
        let (reply, answer) = channel();
        self.tell(order(reply)).then(|| answer.recv_timeout(ANSWER).ok()).flatten()
    }
}

struct Running {
    settings: Settings,
    line: Line,
    thread: Option<JoinHandle<()>>,
    address: SocketAddr,
    watching: Option<Watching>,
}

/// All listeners. When it is dropped they end.
#[derive(Default)]
pub struct Front {
    listeners: HashMap<String, Running>,
}

/// Makes the keeper of a listener.
pub type Keepers<'k> = dyn Fn(&str) -> Option<Keeper> + 'k;

impl Front {
    /// Starts all listeners of a file. `legacies` are those of a process before, whose sockets are taken over;
    /// `kept` gives the tables of one that was killed. Nothing runs if one cannot listen: the error is a plain line.
    pub fn start(
        file: &File,
        mut legacies: Vec<Legacy>,
        kept: impl Fn(&str) -> Option<Vec<u8>>,
        keepers: &Keepers<'_>,
    ) -> Result<Front, String> {
        let mut front = Front::default();
        for settings in &file.listeners {
            let place = legacies.iter().position(|legacy| legacy.name == settings.name);
            let legacy = place.map(|at| legacies.swap_remove(at)).filter(|legacy| legacy.fits(settings));
            let table = if legacy.is_none() { kept(&settings.name) } else { None };
            front.add(settings, legacy, table, keepers)?;
        }
        Ok(front)
    }

    fn add(
        &mut self,
        settings: &Settings,
        legacy: Option<Legacy>,
        kept: Option<Vec<u8>>,
        keepers: &Keepers<'_>,
    ) -> Result<(), String> {
        let name = settings.name.clone();
        let fault = |what: &str, error: io::Error| format!("flows: {name}: cannot {what}: {error}");
        let (socket, table, flow_sockets) = match legacy {
            Some(Legacy { socket, table, sockets, .. }) => {
                let socket = sockets::adopt(socket).map_err(|error| fault("take over", error))?;
                sockets::enlarge(&socket, settings.buffer);
                (socket, Some(table), sockets)
            }
            None => {
                let bound = sockets::bind(settings.listen, settings.buffer);
                let listen = |error| fault(&format!("listen on {}", settings.listen), error);
                (bound.map_err(listen)?, kept, Vec::new())
            }
        };
        let address = socket.local_addr().map_err(|error| fault("listen", error))?;
        let log = Log::instance(&name);
        let (line, orders) = line().map_err(|error| fault("start", error))?;
        let seed = settings.seed.unwrap_or_else(random);
        let wake = line.wake.try_clone().map_err(|error| fault("start", error))?;
        let mut listener =
            Listener::new(settings.clone(), seed, socket, (orders, wake), keepers(&name), log.clone())
                .map_err(|error| fault("start", error))?;
        if let Some(table) = table {
            listener.restore(&table, flow_sockets);
        }
        let thread = std::thread::Builder::new().name(format!("udp-{name}")).spawn(move || listener.run());
        let thread = thread.map_err(|error| fault("start", error))?;
        let watching = watched(settings, &line, &log).map_err(|error| fault("watch discovery", error))?;
        log.line(format!("takes datagrams at {address}"));
        let running = Running { settings: settings.clone(), line, thread: Some(thread), address, watching };
        self.listeners.insert(name, running);
        Ok(())
    }

    /// Brings another file into force. Listeners that stay keep their flows; those that are gone, or listen elsewhere,
    /// end. What could not be done, in plain lines: the others are in force all the same.
    pub fn apply(&mut self, file: &File, keepers: &Keepers<'_>) -> Vec<String> {
        let mut faults = Vec::new();
        let stays = |running: &Running| {
            file.listeners
                .iter()
                .any(|new| new.name == running.settings.name && new.listen == running.settings.listen)
        };
        let gone: Vec<String> = self
            .listeners
            .iter()
            .filter(|(_, running)| !stays(running))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.listeners.remove(&name).into_iter().for_each(Running::end);
        }
        for settings in &file.listeners {
            let Some(running) = self.listeners.get_mut(&settings.name) else {
                faults.extend(self.add(settings, None, None, keepers).err());
                continue;
            };
            if running.settings == *settings {
                continue;
            }
            if running.settings.servers != settings.servers {
                running.watching = None;
                let log = Log::instance(&settings.name);
                match watched(settings, &running.line, &log) {
                    Ok(watching) => running.watching = watching,
                    Err(error) => faults.push(format!("flows: {}: {error}", settings.name)),
                }
            }
            running.settings = settings.clone();
            running.line.tell(Order::Settings(Box::new(settings.clone())));
        }
        faults
    }

    /// The names of all, in order.
    pub fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.listeners.keys().cloned().collect();
        names.sort();
        names
    }

    /// Where one takes datagrams.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.listeners.get(name).map(|running| running.address)
    }

    /// One of them as it is, with so many of its flows; `None` if there is none or it does not answer.
    pub fn view(&self, name: &str, flows: usize) -> Option<View> {
        self.listeners.get(name)?.line.ask(|reply| Order::View(reply, flows))
    }

    /// Moves a flow, to this server or to whom the module chooses.
    pub fn move_flow(&self, name: &str, flow: FlowId, to: Option<String>) -> Result<(), String> {
        let running = self.listeners.get(name).ok_or_else(|| unknown(name))?;
        running.line.ask(|reply| Order::Move(flow, to, reply)).unwrap_or_else(|| Err(stuck(name)))
    }

    /// Has all flows of a server move; how many they are.
    pub fn move_server(&self, name: &str, server: &str) -> Result<usize, String> {
        let running = self.listeners.get(name).ok_or_else(|| unknown(name))?;
        let moved = running.line.ask(|reply| Order::MoveServer(server.to_owned(), reply));
        moved.ok_or_else(|| stuck(name))?.ok_or_else(|| format!("{name} has no server {server:?}"))
    }

    /// Ends a flow.
    pub fn drop_flow(&self, name: &str, flow: FlowId) -> Result<(), String> {
        let running = self.listeners.get(name).ok_or_else(|| unknown(name))?;
        match running.line.ask(|reply| Order::Drop(flow, reply)) {
            Some(true) => Ok(()),
            Some(false) => Err("there is no such flow".to_owned()),
            None => Err(stuck(name)),
        }
    }

    /// Has all listeners stand still, and gives what a successor goes on with. What comes meanwhile waits in the
    /// sockets, which both processes hold. One that does not answer is left out: its successor begins anew.
    pub fn freeze(&self) -> Vec<Legacy> {
        let asked: Vec<_> = self
            .listeners
            .values()
            .map(|running| {
                let (reply, answer) = channel();
                running.line.tell(Order::Freeze(reply));
                answer
            })
            .collect();
        asked.into_iter().filter_map(|answer| answer.recv_timeout(ANSWER).ok().flatten()).collect()
    }

    /// Has all go on: nothing came of the handover.
    pub fn thaw(&self) {
        for running in self.listeners.values() {
            running.line.tell(Order::Thaw);
        }
    }

    /// Has all take no new flow.
    pub fn close(&self) {
        for running in self.listeners.values() {
            running.line.tell(Order::Close);
        }
    }
}

impl Running {
    fn end(mut self) {
        self.watching = None;
        self.line.tell(Order::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        for (_, running) in self.listeners.drain() {
            running.end();
        }
    }
}

fn watched(settings: &Settings, line: &Line, log: &Log) -> io::Result<Option<Watching>> {
    let From::Discovery(address) = settings.servers else { return Ok(None) };
    let line = line.clone();
    watch(&settings.name, address, log.clone(), move |list| line.tell(Order::Listed(list))).map(Some)
}

fn line() -> io::Result<(Line, Receiver<Order>)> {
    let (orders, taken) = sync_channel(ORDERS);
    let wake = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
    Ok((Line { orders, wake: Arc::new(wake) }, taken))
}

fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

fn unknown(name: &str) -> String {
    format!("no listener is named {name:?}; `sagemast ctl flows list` tells those that there are")
}

fn stuck(name: &str) -> String {
    format!("the listener {name} does not answer")
}
