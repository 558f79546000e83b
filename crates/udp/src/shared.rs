//! Sockets that flows share, one a server: for listeners with more flows than descriptors. Every datagram begins with the
//! listener's `hello` and the number of its flow, both ways.

use std::collections::HashMap;
use std::io::{self, ErrorKind, IoSlice};
use std::net::{SocketAddr, UdpSocket};
use std::ops::Range;
use std::os::fd::{AsFd, OwnedFd};

use rustix::event::epoll;
use rustix::net::{SendAncillaryBuffer, SendFlags, sendmsg};
use sagemast_flows::api::FlowId;

use crate::sockets;

/// The bytes of a flow's number.
const NUMBER: usize = 8;
/// Marks shared sockets in the epoll set: numbers of flows have 63 bits.
const MARK: u64 = 1 << 63;
/// What is asked of the kernel for each direction: many flows come by one socket.
const BUFFER: usize = 4 << 20;

struct One {
    to: SocketAddr,
    socket: UdpSocket,
    flows: usize,
}

/// All shared sockets of a listener, and which flow uses which.
#[derive(Default)]
pub struct Shared {
    all: Vec<Option<One>>,
    by_server: HashMap<SocketAddr, usize>,
    /// By place in the table: the flow and its socket.
    flows: Vec<Option<(FlowId, usize)>>,
}

impl Shared {
    /// Whether this number of the epoll set is a shared socket's.
    pub fn is_one(number: u64) -> bool {
        number & MARK != 0 && number < u64::MAX - 1
    }

    /// Takes a socket over that is connected to a server.
    pub fn adopt(&mut self, socket: UdpSocket, set: &OwnedFd) {
        if let Ok(to) = socket.peer_addr() {
            let _ = self.enter(to, socket, set);
        }
    }

    fn enter(&mut self, to: SocketAddr, socket: UdpSocket, set: &OwnedFd) -> io::Result<usize> {
        sockets::enlarge(&socket, BUFFER);
        let free = self.all.iter().position(Option::is_none);
        let at = free.unwrap_or(self.all.len());
        let data = epoll::EventData::new_u64(MARK | at as u64);
        epoll::add(set, socket.as_fd(), data, epoll::EventFlags::IN)?;
        let one = Some(One { to, socket, flows: 0 });
        match free {
            Some(at) => self.all[at] = one,
            None => self.all.push(one),
        }
        self.by_server.insert(to, at);
        Ok(at)
    }

    /// A flow goes to this server from now on.
    pub fn join(&mut self, flow: FlowId, to: SocketAddr, port: Option<u16>, set: &OwnedFd) -> io::Result<()> {
        let at = match self.by_server.get(&to) {
            Some(at) => *at,
            None => self.enter(to, sockets::connect(to, port)?, set)?,
        };
        // First in, then out: a socket that it stays at is not closed between.
        if let Some(one) = &mut self.all[at] {
            one.flows += 1;
        }
        self.leave(flow);
        let place = flow.slot as usize;
        if self.flows.len() <= place {
            self.flows.resize(place + 1, None);
        }
        self.flows[place] = Some((flow, at));
        Ok(())
    }

    /// A flow uses its socket no more. The last one closes it.
    pub fn leave(&mut self, flow: FlowId) {
        let Some((_, at)) = self.flows.get_mut(flow.slot as usize).and_then(Option::take) else { return };
        let Some(one) = self.all[at].as_mut() else { return };
        one.flows -= 1;
        if one.flows == 0 {
            self.by_server.remove(&one.to);
            self.all[at] = None;
        }
    }

    /// Closes sockets that were taken over and that no flow uses.
    pub fn close_unused(&mut self) {
        for place in &mut self.all {
            if let Some(one) = place.take_if(|one| one.flows == 0) {
                self.by_server.remove(&one.to);
            }
        }
    }

    fn of(&self, flow: FlowId) -> Option<usize> {
        let (known, at) = (*self.flows.get(flow.slot as usize)?)?;
        (known == flow).then_some(at)
    }

    /// Sends a flow's datagram.
    pub fn send(&self, flow: FlowId, hello: &[u8], payload: &[u8]) -> io::Result<()> {
        let one = self.of(flow).and_then(|at| self.all[at].as_ref()).ok_or(ErrorKind::NotConnected)?;
        let number = flow.number().to_be_bytes();
        let parts = [IoSlice::new(hello), IoSlice::new(&number), IoSlice::new(payload)];
        let mut none = SendAncillaryBuffer::default();
        sendmsg(&one.socket, &parts, &mut none, SendFlags::empty())?;
        Ok(())
    }

    /// The next datagram: whose it is and where it is in the buffer. What no flow of this socket is named in, or that
    /// is no such datagram, belongs to a flow that never was.
    pub fn receive(
        &self,
        number: u64,
        hello: &[u8],
        buffer: &mut [u8],
    ) -> io::Result<Option<(FlowId, Range<usize>)>> {
        let at = (number & !MARK) as usize;
        let Some(one) = self.all.get(at).and_then(Option::as_ref) else { return Ok(None) };
        let length = one.socket.recv(buffer)?;
        let head = hello.len() + NUMBER;
        let named = buffer[..length].strip_prefix(hello).and_then(|rest| rest.first_chunk::<NUMBER>());
        let flow = named.map(|bytes| FlowId::from_number(u64::from_be_bytes(*bytes)));
        Ok(Some(match flow.filter(|flow| self.of(*flow) == Some(at)) {
            Some(flow) => (flow, head..length),
            None => (FlowId { slot: u32::MAX, generation: 0 }, 0..length),
        }))
    }

    /// A flow that uses this socket.
    pub fn any_flow(&self, number: u64) -> Option<FlowId> {
        let at = (number & !MARK) as usize;
        self.flows.iter().flatten().find(|(_, its)| *its == at).map(|(flow, _)| *flow)
    }

    /// The local port of a flow's socket.
    pub fn port(&self, flow: FlowId) -> Option<u16> {
        let one = self.all[self.of(flow)?].as_ref()?;
        one.socket.local_addr().ok().map(|at| at.port())
    }

    /// All sockets, to hand them over.
    pub fn copies(&self) -> io::Result<Vec<OwnedFd>> {
        self.all.iter().flatten().map(|one| one.socket.try_clone().map(OwnedFd::from)).collect()
    }
}
