//! The flow table: places that are used again, found by key. A place costs the same whatever stands in it.

use std::collections::HashMap;
use std::net::SocketAddr;

use ahash::RandomState;

use crate::api::{Cause, FlowId, Millis};
use crate::key::Key;
use crate::list::{Links, NIL};
use crate::sources::Bucket;
use crate::wheel::OUT;

/// An opening that the module waits to hear the end of.
#[derive(Debug, Clone, Copy)]
pub struct Opening {
    /// The module's number for it.
    pub request: u64,
    /// Which of its sends.
    pub attempt: u32,
    /// When its first datagram went on.
    pub since: Millis,
    /// It is given up after this long.
    pub timeout: Millis,
}

/// A move that is to come.
#[derive(Debug, Clone, Copy)]
pub struct Move {
    /// Not before then.
    pub at: Millis,
    /// Why.
    pub cause: Cause,
}

/// A flow, or a place for one.
#[derive(Debug, Clone)]
pub struct Flow {
    pub key: Key,
    pub client: SocketAddr,
    /// Which of the flows that had this place, and whether it is there.
    pub generation: u32,
    pub used: bool,
    /// A server has answered it.
    pub live: bool,
    /// Its source has sent after an answer: it hears.
    pub proven: bool,
    pub source: u32,
    pub server: u32,
    pub opening: Option<Opening>,
    pub moving: Option<Move>,
    pub begun: Millis,
    pub heard_client: Millis,
    pub heard_server: Millis,
    /// Bytes from and to its client while that is unproven.
    pub unproven: [u64; 2],
    /// Datagrams from and to its client.
    pub datagrams: [u64; 2],
    pub bucket: Bucket,
    pub links: [Links; 3],
    /// Of its timer.
    pub due: u64,
    pub cell: u16,
}

/// All flows.
#[derive(Debug)]
pub struct Table {
    pub flows: Vec<Flow>,
    free: Vec<u32>,
    by_key: HashMap<Key, u32, RandomState>,
}

impl Table {
    /// An empty one.
    pub fn new(hashing: RandomState) -> Table {
        Table { flows: Vec::new(), free: Vec::new(), by_key: HashMap::with_hasher(hashing) }
    }

    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    pub fn find(&self, key: &Key) -> Option<u32> {
        self.by_key.get(key).copied()
    }

    /// The place of a flow that has not ended.
    pub fn place(&self, id: FlowId) -> Option<u32> {
        let flow = self.flows.get(id.slot as usize)?;
        (flow.used && flow.generation == id.generation).then_some(id.slot)
    }

    pub fn id(&self, at: u32) -> FlowId {
        FlowId { slot: at, generation: self.flows[at as usize].generation }
    }

    /// A flow that is unanswered and has no server.
    fn fresh(key: Key, client: SocketAddr, source: u32, now: Millis, bucket: Bucket) -> Flow {
        Flow {
            key,
            client,
            generation: 0,
            used: true,
            live: false,
            proven: false,
            source,
            server: NIL,
            opening: None,
            moving: None,
            begun: now,
            heard_client: now,
            heard_server: f64::NEG_INFINITY,
            unproven: [0; 2],
            datagrams: [0; 2],
            bucket,
            links: [Links::NONE; 3],
            due: 0,
            cell: OUT,
        }
    }

    /// Enters a flow, unanswered and with no server.
    pub fn insert(&mut self, key: Key, client: SocketAddr, source: u32, now: Millis, bucket: Bucket) -> u32 {
        let flow = Table::fresh(key, client, source, now, bucket);
        let at = match self.free.pop() {
            Some(at) => {
                let generation = self.flows[at as usize].generation;
                self.flows[at as usize] = Flow { generation, ..flow };
                at
            }
            None => {
                self.flows.push(flow);
                (self.flows.len() - 1) as u32
            }
        };
        self.by_key.insert(key, at);
        at
    }

    /// The same under a number that it had before, if its place was never used here. Places up to `most` are made.
    pub fn insert_as(
        &mut self,
        id: FlowId,
        most: usize,
        (key, client, source): (Key, SocketAddr, u32),
        now: Millis,
        bucket: Bucket,
    ) -> u32 {
        let (place, made) = (id.slot as usize, self.flows.len());
        if (made..most).contains(&place) {
            let flow = Table::fresh(key, client, source, now, bucket);
            // Places before its own are free.
            self.flows.resize(place, Flow { used: false, ..flow.clone() });
            self.free.extend(made as u32..id.slot);
            self.flows.push(Flow { generation: id.generation, ..flow });
            self.by_key.insert(key, id.slot);
            return id.slot;
        }
        self.insert(key, client, source, now, bucket)
    }

    /// Forgets a flow that is in no chain any more.
    pub fn remove(&mut self, at: u32) {
        let flow = &mut self.flows[at as usize];
        flow.used = false;
        // 31 bits: one is left for whoever numbers other things beside flows.
        flow.generation = flow.generation.wrapping_add(1) & (u32::MAX >> 1);
        self.by_key.remove(&flow.key);
        self.free.push(at);
    }

    /// All that have not ended.
    pub fn all(&self) -> impl Iterator<Item = (u32, &Flow)> {
        self.flows.iter().enumerate().filter(|(_, flow)| flow.used).map(|(at, flow)| (at as u32, flow))
    }
}
