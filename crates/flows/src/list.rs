//! Chains through the flows themselves: to enter or leave one allocates nothing and costs the same at any length.

use crate::table::Flow;

/// No place.
pub const NIL: u32 = u32::MAX;

/// What a flow can be chained for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Chain {
    /// The flows of one cell of the timer wheel.
    Timer = 0,
    /// The flows of one server.
    Server = 1,
    /// The unanswered flows of one source, oldest first.
    Source = 2,
}

/// A flow's neighbours in one chain.
#[derive(Debug, Clone, Copy)]
pub struct Links {
    previous: u32,
    next: u32,
}

impl Links {
    /// In no chain.
    pub const NONE: Links = Links { previous: NIL, next: NIL };
}

/// One chain.
#[derive(Debug, Clone, Copy)]
pub struct List {
    head: u32,
    tail: u32,
    len: u32,
}

impl List {
    /// An empty one.
    pub const EMPTY: List = List { head: NIL, tail: NIL, len: 0 };

    /// How many.
    pub fn len(&self) -> usize {
        self.len as usize
    }

    /// The first, which has been there longest.
    pub fn first(&self) -> Option<u32> {
        (self.head != NIL).then_some(self.head)
    }

    /// The one after.
    pub fn after(flows: &[Flow], chain: Chain, at: u32) -> Option<u32> {
        Some(flows[at as usize].links[chain as usize].next).filter(|next| *next != NIL)
    }

    /// Enters one that is in no such chain.
    pub fn push(&mut self, flows: &mut [Flow], chain: Chain, at: u32) {
        flows[at as usize].links[chain as usize] = Links { previous: self.tail, next: NIL };
        match self.tail {
            NIL => self.head = at,
            tail => flows[tail as usize].links[chain as usize].next = at,
        }
        self.tail = at;
        self.len += 1;
    }

    /// Takes out one that is in this chain.
    pub fn remove(&mut self, flows: &mut [Flow], chain: Chain, at: u32) {
        let Links { previous, next } =
            std::mem::replace(&mut flows[at as usize].links[chain as usize], Links::NONE);
        match previous {
            NIL => self.head = next,
            previous => flows[previous as usize].links[chain as usize].next = next,
        }
        match next {
            NIL => self.tail = previous,
            next => flows[next as usize].links[chain as usize].previous = previous,
        }
        self.len -= 1;
    }
}
