//! One listener: its thread reads sockets, hands what comes to the core and does what it says.

use std::collections::HashSet;
use std::io::{self, ErrorKind, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::OwnedFd;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use quinn_udp::{BATCH_SIZE, RecvMeta, UdpSockRef, UdpSocketState};
use rustix::event::epoll;
use sagemast_flows::Flows;
use sagemast_flows::api::*;
use sagemast_flows::file::{From, Listener as Settings, Sockets};
use sagemast_flows::snapshot::Snapshot;
use sagemast_sidecar::hosts::HostList;
use sagemast_sidecar::log::Log;

use crate::front::{Keeper, Legacy, Order, View};
use crate::replies::Replies;
use crate::shared::Shared;
use crate::sockets::{self, DATAGRAM};
use crate::{kernel, servers};

/// What marks the socket of clients, and the queue of orders, in the epoll set. No flow has such a number: tables are
/// smaller.
const CLIENTS: u64 = u64::MAX;
const ORDERS: u64 = u64::MAX - 1;
/// Sockets that are looked at in one round.
const READY: usize = 256;
/// In one round a socket is read so often at most: none keeps the others waiting.
const CLIENT_BATCHES: usize = 4;
const FLOW_READS: usize = 16;
/// The longest sleep.
const LONGEST_MS: f64 = 1_000.0;
/// Writing the table takes at most one part in so many of the time.
const KEEP_SHARE: f64 = 50.0;
/// A flow's socket is emptied of so many datagrams before it turns to another server.
const STALE: usize = 64;

/// A listener and all that it holds.
pub struct Listener {
    settings: Settings,
    flows: Flows,
    socket: UdpSocket,
    state: UdpSocketState,
    sockets: Vec<Option<UdpSocket>>,
    shared: Shared,
    epoll: OwnedFd,
    orders: Receiver<Order>,
    wake: OwnedFd,
    replies: Replies,
    keeper: Option<Keeper>,
    known: HashSet<String>,
    epoch: Instant,
    epoch_unix_ms: f64,
    next_keep: f64,
    frozen: bool,
    log: Log,
    out: Vec<Action>,
    buffer: Vec<u8>,
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl Listener {
    /// A listener at this socket. With a legacy it goes on with the flows of the process before.
    pub fn new(
        settings: Settings,
        seed: u64,
        socket: UdpSocket,
        (orders, wake): (Receiver<Order>, OwnedFd),
        keeper: Option<Keeper>,
        log: Log,
    ) -> io::Result<Listener> {
        let state = UdpSocketState::new(UdpSockRef::from(&socket))?;
        sockets::let_fragment(&socket);
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        epoll::add(&epoll, &socket, epoll::EventData::new_u64(CLIENTS), epoll::EventFlags::IN)?;
        epoll::add(&epoll, &wake, epoll::EventData::new_u64(ORDERS), epoll::EventFlags::IN)?;
        let epoch = Instant::now();
        let mut listener = Listener {
            flows: Flows::new(settings.rules.clone(), seed, 0.0),
            settings,
            socket,
            state,
            sockets: Vec::new(),
            shared: Shared::default(),
            epoll,
            orders,
            wake,
            replies: Replies::default(),
            keeper,
            known: HashSet::new(),
            epoch,
            epoch_unix_ms: unix_ms() as f64,
            next_keep: 0.0,
            frozen: false,
            log,
            out: Vec::new(),
            buffer: vec![0; DATAGRAM + 1],
        };
        listener.list_fixed();
        Ok(listener)
    }

    /// Goes on with what was kept or handed over: its table, and the sockets of its flows if they came along.
    pub fn restore(&mut self, table: &[u8], sockets: Vec<OwnedFd>) {
        let kept = match Snapshot::decode(table, unix_ms(), self.settings.keep_for) {
            Ok(snapshot) => snapshot.kept,
            Err(fault) => return self.log.line(format!("the kept table {fault}: beginning with none")),
        };
        let (now, count) = (self.now(), kept.flows.len());
        self.known.extend(kept.servers.iter().map(|server| server.name.clone()));
        let mut out = std::mem::take(&mut self.out);
        let restored = self.flows.restore(now, kept, &mut out);
        self.out = out;
        if self.settings.sockets == Sockets::Shared {
            for socket in sockets {
                if let Ok(socket) = sockets::adopt(socket) {
                    self.shared.adopt(socket, &self.epoll);
                }
            }
            return self.restored(&restored, count);
        }
        for (flow, socket) in restored.iter().zip(sockets) {
            let Some(flow) = flow else { continue };
            if let Ok(socket) = sockets::adopt(socket) {
                self.enter(*flow, socket);
            }
        }
        self.restored(&restored, count);
    }

    fn restored(&mut self, restored: &[Option<FlowId>], count: usize) {
        self.carry_out();
        self.shared.close_unused();
        let taken = restored.iter().flatten().count();
        self.log.line(format!("goes on with {taken} flows of {count}"));
    }

    fn now(&self) -> f64 {
        self.epoch.elapsed().as_secs_f64() * 1e3
    }

    /// Runs until it is told to end.
    pub fn run(mut self) {
        let mut memory = vec![0; BATCH_SIZE * (DATAGRAM + 29)];
        let mut ready: Vec<epoll::Event> = Vec::with_capacity(READY);
        loop {
            if self.frozen {
                // Nothing is read; only the word of whether a successor serves is waited for.
                let Ok(order) = self.orders.recv() else { return };
                if !self.order(order) {
                    return;
                }
                continue;
            }
            let now = self.now();
            let mut out = std::mem::take(&mut self.out);
            self.flows.advance(now, &mut out);
            self.out = out;
            self.carry_out();
            self.keep(now);
            self.flush();
            let sleep = (self.flows.next_wake() - now).clamp(0.0, LONGEST_MS);
            let sleep = rustix::event::Timespec { tv_sec: 0, tv_nsec: (sleep.min(999.0) * 1e6) as _ };
            ready.clear();
            match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut ready), Some(&sleep)) {
                Ok(_) | Err(rustix::io::Errno::INTR) => {}
                Err(error) => return self.log.line(format!("epoll fails, the listener ends: {error}")),
            }
            for event in &ready {
                match event.data.u64() {
                    ORDERS => {
                        if !self.ordered() {
                            return;
                        }
                    }
                    CLIENTS => self.read_clients(&mut memory),
                    number if Shared::is_one(number) => self.read_shared(number),
                    number => self.read_server(FlowId::from_number(number)),
                }
            }
        }
    }

    // --- Clients ---------------------------------------------------------------------------------

    fn read_clients(&mut self, memory: &mut [u8]) {
        for _ in 0..CLIENT_BATCHES {
            if self.frozen {
                return;
            }
            let mut meta = [RecvMeta::default(); BATCH_SIZE];
            let size = memory.len() / BATCH_SIZE;
            let received = {
                let mut chunks = memory.chunks_mut(size);
                let mut slices: [IoSliceMut<'_>; BATCH_SIZE] =
                    std::array::from_fn(|_| IoSliceMut::new(chunks.next().unwrap_or_default()));
                self.state.recv(UdpSockRef::from(&self.socket), &mut slices, &mut meta)
            };
            let count = match received {
                Ok(count) => count,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return,
            };
            let now = self.now();
            for (meta, chunk) in meta.iter().take(count).zip(memory.chunks(size)) {
                // Several of one size may come as one (GRO); an empty one is one all the same.
                let (whole, stride) = (&chunk[..meta.len.min(chunk.len())], meta.stride.max(1));
                let pieces = if whole.is_empty() { 1 } else { whole.len().div_ceil(stride) };
                for piece in 0..pieces {
                    let end = ((piece + 1) * stride).min(whole.len());
                    self.client_sent(now, meta.addr, &whole[piece * stride..end]);
                }
            }
            if count < BATCH_SIZE {
                return;
            }
        }
    }

    fn client_sent(&mut self, now: f64, from: SocketAddr, payload: &[u8]) {
        let mut out = std::mem::take(&mut self.out);
        let fate = self.flows.from_client(now, from, payload, &mut out);
        self.out = out;
        self.carry_out();
        let Fate::ToServer(flow) = fate else { return };
        match self.send(flow, payload) {
            Ok(()) => {}
            // The kernel tells of an earlier refusal in the place of sending: nothing has gone out.
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                self.refused(flow);
                if let Err(error) = self.send(flow, payload) {
                    self.flows.unsent(0, payload.len(), sockets::fault(&error));
                }
            }
            Err(error) => self.flows.unsent(0, payload.len(), sockets::fault(&error)),
        }
    }

    fn send(&self, flow: FlowId, payload: &[u8]) -> io::Result<()> {
        if self.settings.sockets == Sockets::Shared {
            let hello = self.settings.rules.hello.as_deref().unwrap_or_default();
            return self.shared.send(flow, hello, payload);
        }
        let socket = self.sockets.get(flow.slot as usize).and_then(Option::as_ref);
        socket.ok_or(ErrorKind::NotConnected)?.send(payload).map(drop)
    }

    // --- Servers ---------------------------------------------------------------------------------

    fn read_server(&mut self, flow: FlowId) {
        let mut buffer = std::mem::take(&mut self.buffer);
        for _ in 0..FLOW_READS {
            if self.frozen {
                break;
            }
            let Some(Some(socket)) = self.sockets.get(flow.slot as usize) else { break };
            match socket.recv(&mut buffer) {
                Ok(length) => {
                    let now = self.now();
                    let mut out = std::mem::take(&mut self.out);
                    let fate = self.flows.from_server(now, flow, length, &mut out);
                    self.out = out;
                    self.carry_out();
                    if let Fate::ToClient(to) = fate {
                        if self.replies.is_full_for(length) {
                            self.flush();
                        }
                        self.replies.push(to, &buffer[..length]);
                    }
                }
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => self.refused(flow),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        self.buffer = buffer;
    }

    /// Reads a socket that many flows share: each datagram says whose it is.
    fn read_shared(&mut self, number: u64) {
        let mut buffer = std::mem::take(&mut self.buffer);
        for _ in 0..FLOW_READS * 4 {
            if self.frozen {
                break;
            }
            let hello = self.settings.rules.hello.as_deref().unwrap_or_default();
            match self.shared.receive(number, hello, &mut buffer) {
                Ok(Some((flow, payload))) => {
                    let now = self.now();
                    let mut out = std::mem::take(&mut self.out);
                    let fate = self.flows.from_server(now, flow, payload.len(), &mut out);
                    self.out = out;
                    self.carry_out();
                    if let Fate::ToClient(to) = fate {
                        if self.replies.is_full_for(payload.len()) {
                            self.flush();
                        }
                        self.replies.push(to, &buffer[payload]);
                    }
                }
                Ok(None) => break,
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                    if let Some(flow) = self.shared.any_flow(number) {
                        self.refused(flow);
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        self.buffer = buffer;
    }

    fn refused(&mut self, flow: FlowId) {
        let now = self.now();
        let mut out = std::mem::take(&mut self.out);
        self.flows.refused(now, flow, &mut out);
        self.out = out;
        self.carry_out();
    }

    fn flush(&mut self) {
        let flows = &mut self.flows;
        self.replies.flush(&self.socket, |length, error| flows.unsent(1, length, sockets::fault(error)));
    }

    // --- What the core says ----------------------------------------------------------------------

    fn carry_out(&mut self) {
        // What cannot be done has the core say more.
        while !self.out.is_empty() {
            for action in std::mem::take(&mut self.out) {
                match action {
                    Action::Open { flow, to, cause, port } => self.open(flow, to, cause, port),
                    Action::Close { flow, .. } => {
                        // Closing it takes it out of the epoll set.
                        self.sockets.get_mut(flow.slot as usize).map(Option::take);
                        self.shared.leave(flow);
                    }
                    Action::Log(line) => self.log.line(line),
                }
            }
        }
    }

    fn open(&mut self, flow: FlowId, to: SocketAddr, cause: Cause, port: Option<u16>) {
        if self.settings.sockets == Sockets::Shared {
            if self.shared.join(flow, to, port, &self.epoll).is_err() {
                let now = self.now();
                return self.flows.no_socket(now, flow, &mut self.out);
            }
            if cause != Cause::New {
                // An empty datagram of the flow tells its server of it.
                let _ = self.send(flow, &[]);
            }
            return;
        }
        let there = self.sockets.get(flow.slot as usize).and_then(Option::as_ref);
        if cause == Cause::Restored && there.is_some() {
            // It came along, connected as it is.
            return;
        }
        let turned = there.is_some_and(|socket| {
            // What the server before has sent or had refused says nothing of the next one.
            let mut byte = [0; 1];
            let mut stale = 0;
            while stale < STALE
                && !matches!(socket.recv(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
            {
                stale += 1;
            }
            let _ = socket.take_error();
            socket.connect(to).is_ok()
        });
        if !turned {
            let entered = sockets::connect(to, port).is_ok_and(|socket| self.enter(flow, socket));
            if !entered {
                let now = self.now();
                self.sockets.get_mut(flow.slot as usize).map(Option::take);
                return self.flows.no_socket(now, flow, &mut self.out);
            }
        }
        if let Some(hello) = &self.settings.rules.hello {
            let mut first = hello.clone();
            first.extend(flow.number().to_be_bytes());
            first.push(cause as u8);
            // It may be lost as any datagram may.
            let _ = self.send(flow, &first);
        }
    }

    fn enter(&mut self, flow: FlowId, socket: UdpSocket) -> bool {
        let data = epoll::EventData::new_u64(flow.number());
        let added = epoll::add(&self.epoll, &socket, data, epoll::EventFlags::IN).is_ok();
        let place = flow.slot as usize;
        if self.sockets.len() <= place {
            self.sockets.resize_with(place + 1, || None);
        }
        self.sockets[place] = Some(socket).filter(|_| added);
        added
    }

    // --- Orders ----------------------------------------------------------------------------------

    /// Does what it was told; false at the end.
    fn ordered(&mut self) -> bool {
        let mut counter = [MaybeUninit::<u8>::uninit(); 8];
        let _ = rustix::io::read(&self.wake, &mut counter);
        loop {
            match self.orders.try_recv() {
                Ok(order) => {
                    if !self.order(order) {
                        return false;
                    }
                }
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    fn order(&mut self, order: Order) -> bool {
        let now = self.now();
        // Whoever has asked may have gone: that an answer is not taken is nothing to worry about.
        match order {
            Order::Listed(list) => self.listed(now, &list),
            Order::Settings(settings) => self.change(now, *settings),
            Order::View(reply, most) => drop(reply.send(self.view(most))),
            Order::Move(flow, to, reply) => {
                let moved = self.flows.move_flow(now, flow, to.as_deref(), &mut self.out);
                let _ = reply.send(moved);
            }
            Order::MoveServer(name, reply) => {
                let _ = reply.send(self.flows.move_server(now, &name));
            }
            Order::Drop(flow, reply) => {
                let _ = reply.send(self.flows.end_flow(now, flow, &mut self.out));
            }
            Order::Freeze(reply) => {
                self.flush();
                self.frozen = true;
                let _ = reply.send(self.legacy());
            }
            Order::Thaw => self.frozen = false,
            Order::Close => self.flows.close(),
            Order::End => {
                self.flush();
                // After a handover the table is the successor's.
                if !self.frozen {
                    self.write();
                }
                return false;
            }
        }
        self.carry_out();
        true
    }

    fn listed(&mut self, now: f64, list: &HostList) {
        let news = servers::news(list, &self.settings, &mut self.known, self.epoch_unix_ms, &self.log);
        self.flows.news(now, news, &mut self.out);
    }

    fn list_fixed(&mut self) {
        if let From::File(fixed) = &self.settings.servers {
            let entries = fixed.iter().map(servers::fixed).collect();
            let now = self.now();
            self.flows.news(now, News::Complete(entries), &mut self.out);
            self.carry_out();
        }
    }

    fn change(&mut self, now: f64, mut settings: Settings) {
        if settings.sockets != self.settings.sockets
            || self.settings.sockets == Sockets::Shared && settings.rules.hello != self.settings.rules.hello
        {
            self.log.line("how flows reach their servers takes a restart; the rest is in force");
            settings.sockets = self.settings.sockets;
            settings.rules.hello = self.settings.rules.hello.clone();
        }
        sockets::enlarge(&self.socket, settings.buffer);
        self.flows.set_rules(now, settings.rules.clone());
        self.settings = settings;
        self.list_fixed();
    }

    fn view(&self, most: usize) -> View {
        View {
            name: self.settings.name.clone(),
            listen: self.socket.local_addr().map_or_else(|_| String::new(), |at| at.to_string()),
            counts: self.flows.counts().clone(),
            sizes: self.flows.sizes(),
            limits: [self.settings.rules.flows, self.settings.rules.tentative],
            sources: self.flows.sources(),
            kernel_drops: kernel::drops(&self.socket, self.settings.listen.is_ipv6()),
            servers: self.flows.server_views(),
            flows: self.flows.flow_views(most),
        }
    }

    // --- What outlasts it ------------------------------------------------------------------------

    fn port(&self, flow: FlowId) -> Option<u16> {
        if self.settings.sockets == Sockets::Shared {
            return self.shared.port(flow);
        }
        self.sockets.get(flow.slot as usize)?.as_ref()?.local_addr().ok().map(|at| at.port())
    }

    /// Writes the table, if it is time again.
    fn keep(&mut self, now: f64) {
        if self.keeper.is_none() || now < self.next_keep {
            return;
        }
        self.write();
        let took = self.now() - now;
        self.next_keep = now + self.settings.keep_every.max(KEEP_SHARE * took);
    }

    fn write(&self) {
        if let Some(keeper) = &self.keeper {
            keeper(self.flows.keep(unix_ms(), |flow| self.port(flow)).encode());
        }
    }

    /// Everything that a successor needs, with sockets in the order of the flows.
    fn legacy(&self) -> Option<Legacy> {
        let order = std::cell::RefCell::new(Vec::new());
        let table = self.flows.keep(unix_ms(), |flow| {
            let port = self.port(flow)?;
            order.borrow_mut().push(flow);
            Some(port)
        });
        let mut flows = order.into_inner();
        let mut shared = Vec::new();
        if self.settings.sockets == Sockets::Shared {
            flows.clear();
            shared = self.shared.copies().ok()?;
        }
        let copy = |flow: FlowId| {
            let socket = self.sockets.get(flow.slot as usize)?.as_ref()?;
            socket.try_clone().ok().map(OwnedFd::from)
        };
        let own: Option<Vec<OwnedFd>> = flows.into_iter().map(copy).collect();
        let sockets = own.map(|own| own.into_iter().chain(shared).collect());
        Some(Legacy {
            name: self.settings.name.clone(),
            socket: self.socket.try_clone().ok()?.into(),
            table: table.encode(),
            sockets: sockets?,
        })
    }
}
