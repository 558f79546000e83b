//! A made world for the core: addresses, servers, and a shell that does what it is told in no time.
#![allow(dead_code)] // each test uses some of it

use std::collections::HashMap;
use std::net::SocketAddr;

use sagemast_flows::Flows;
use sagemast_flows::api::*;
use sagemast_flows::rules::Rules;

pub fn client(number: u32) -> SocketAddr {
    // Ports first, then addresses: 200 clients a prefix.
    let [_, _, b, c] = (number / 200).to_be_bytes();
    SocketAddr::from(([10, b, c, 1], 1_000 + (number % 200) as u16))
}

pub fn server(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 200, 0, 1], 9_000 + number))
}

pub fn entry(number: u16) -> Entry {
    Entry {
        name: format!("s{number}"),
        dial: server(number),
        zone: 0,
        weight: 1.0,
        started: None,
        serving: true,
    }
}

pub fn list(count: u16) -> News {
    News::Complete((0..count).map(entry).collect())
}

/// A listener and its sockets.
pub struct Site {
    pub flows: Flows,
    pub now: f64,
    pub out: Vec<Action>,
    /// Where the socket of each flow sends to.
    pub sockets: HashMap<FlowId, SocketAddr>,
    pub opened: Vec<(FlowId, SocketAddr, Cause)>,
    pub closed: Vec<(FlowId, End)>,
    pub lines: Vec<String>,
}

impl Site {
    pub fn new(rules: Rules, servers: u16) -> Site {
        let flows = Flows::new(rules, 7, 0.0);
        let mut site = Site {
            flows,
            now: 0.0,
            out: Vec::new(),
            sockets: HashMap::new(),
            opened: Vec::new(),
            closed: Vec::new(),
            lines: Vec::new(),
        };
        site.flows.news(0.0, list(servers), &mut site.out);
        site.carry_out();
        site
    }

    pub fn carry_out(&mut self) {
        for action in self.out.drain(..) {
            match action {
                Action::Open { flow, to, cause, .. } => {
                    self.sockets.insert(flow, to);
                    self.opened.push((flow, to, cause));
                }
                Action::Close { flow, end } => {
                    assert!(self.sockets.remove(&flow).is_some(), "a socket is closed that is not open");
                    self.closed.push((flow, end));
                }
                Action::Log(line) => self.lines.push(line),
            }
        }
    }

    pub fn send(&mut self, from: SocketAddr, payload: &[u8]) -> Fate {
        let fate = self.flows.from_client(self.now, from, payload, &mut self.out);
        self.carry_out();
        if let Fate::ToServer(flow) = fate {
            assert!(self.sockets.contains_key(&flow), "a datagram goes on by no socket");
        }
        fate
    }

    pub fn answer(&mut self, flow: FlowId, bytes: usize) -> Fate {
        let fate = self.flows.from_server(self.now, flow, bytes, &mut self.out);
        self.carry_out();
        fate
    }

    /// Sends and has the server answer: the flow lives.
    pub fn exchange(&mut self, from: SocketAddr) -> Option<FlowId> {
        let fate = self.send(from, b"hello, server");
        let Fate::ToServer(flow) = fate else {
            eprintln!("{from} at {}: {fate:?}", self.now);
            return None;
        };
        self.answer(flow, 10);
        // It hears.
        self.send(from, b"thanks");
        Some(flow)
    }

    pub fn pass(&mut self, until: f64) {
        while self.now < until {
            self.now = (self.now + 25.0).min(until);
            self.flows.advance(self.now, &mut self.out);
            self.carry_out();
        }
    }

    pub fn to(&self, flow: FlowId) -> SocketAddr {
        self.sockets[&flow]
    }

    /// What must hold at any time.
    pub fn check(&self) {
        let counts = self.flows.counts();
        assert_eq!(counts.astray(), 0, "a datagram has no fate, or two");
        let [all, tentative] = self.flows.sizes();
        assert_eq!(counts.open(), all as i128);
        assert_eq!(self.sockets.len(), all, "as many sockets as flows");
        let rules = self.flows.rules();
        assert!(all <= rules.flows && tentative <= rules.tentative, "{all} flows, {tentative} tentative");
        assert!(self.flows.sources() <= rules.sources);
        let by_server: usize = self.flows.server_views().iter().map(|server| server.flows[0]).sum();
        assert_eq!(by_server, all, "every flow is at one server");
        let live: usize = self.flows.server_views().iter().map(|server| server.flows[1]).sum();
        assert_eq!(live, all - tentative);
    }
}
