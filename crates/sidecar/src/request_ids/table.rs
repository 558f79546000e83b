//! The decisions about ids: who holds which id, what is asked of the predecessor and what is told to the
//! successor. Pure: times are arguments, and messages are collected until the caller sends them.
//!
//! | event | effect |
//! | --- | --- |
//! | an id is claimed here | denied while it is held or recent; else held, once the predecessor grants it as well |
//! | the successor claims an id | the same; it gets the answer |
//! | a held id is released | it may be claimed again |
//! | the same, but it may have run unanswered | it is recent, here and in the other processes |
//! | the predecessor ends | its open claims are granted: the ids that it has used are known here |
//! | the successor ends | the ids that it held are recent |

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::IdDigest;
use super::exchange::{IdNotice, IdRequest};
use super::recent::{MAX_IDS_PER_GENERATION, RecentIds};

/// Most notices that wait to be sent to a successor. Older ones are of the least use.
const MAX_WAITING_NOTICES: usize = 4 * MAX_IDS_PER_GENERATION;

/// The process that holds an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Holder {
    /// This process.
    Local,
    /// The successor.
    Successor,
}

/// Who waits for the predecessor's answer to a claim.
enum Waiter {
    /// A request of this process.
    Local(oneshot::Sender<bool>),
    /// The successor.
    Successor,
}

/// The predecessor, while it is connected.
#[derive(Default)]
struct PredecessorLink {
    waiting: HashMap<IdDigest, Waiter>,
    outgoing: Vec<IdRequest>,
}

/// The answer to a claim.
pub enum Claim {
    /// The id is held from now on.
    Granted,
    /// The id is held from now on if the predecessor grants it: the receiver gets true then.
    Asked(oneshot::Receiver<bool>),
    /// The id is in use, or was used.
    Denied,
}

/// The ids of one process.
pub struct IdTable {
    held: HashMap<IdDigest, Holder>,
    recent: RecentIds,
    predecessor: Option<PredecessorLink>,
    /// Notices to the successor, while it is connected.
    successor: Option<Vec<IdNotice>>,
}

impl IdTable {
    /// A table without ids.
    pub fn new(now: Instant) -> IdTable {
        IdTable { held: HashMap::new(), recent: RecentIds::new(now), predecessor: None, successor: None }
    }

    /// Claims an id for a request of this process.
    pub fn claim(&mut self, id: IdDigest) -> Claim {
        if !self.try_hold(id, Holder::Local) {
            return Claim::Denied;
        }
        let Some(predecessor) = &mut self.predecessor else { return Claim::Granted };
        let (answer, receiver) = oneshot::channel();
        predecessor.waiting.insert(id, Waiter::Local(answer));
        predecessor.outgoing.push(IdRequest::Claim(id));
        Claim::Asked(receiver)
    }

    /// Releases a held id. `used` is whether an attempt with it may have run and the client has no answer. The
    /// id is remembered then, here and in the other processes.
    pub fn release(&mut self, now: Instant, id: IdDigest, used: bool) {
        self.held.remove(&id);
        if used {
            self.recent.insert(now, id);
            self.notify_successor(IdNotice::Used(id));
        }
        if let Some(predecessor) = &mut self.predecessor {
            let request = if used { IdRequest::ReleaseUsed(id) } else { IdRequest::Release(id) };
            predecessor.outgoing.push(request);
        }
    }

    /// Handles a request of the successor.
    pub fn handle_request(&mut self, now: Instant, request: IdRequest) {
        match request {
            IdRequest::Claim(id) if !self.try_hold(id, Holder::Successor) => {
                self.notify_successor(IdNotice::Denied(id))
            }
            IdRequest::Claim(id) => match &mut self.predecessor {
                Some(predecessor) => {
                    predecessor.waiting.insert(id, Waiter::Successor);
                    predecessor.outgoing.push(IdRequest::Claim(id));
                }
                None => self.notify_successor(IdNotice::Granted(id)),
            },
            IdRequest::Release(id) => self.release_of_successor(now, id, false),
            IdRequest::ReleaseUsed(id) => self.release_of_successor(now, id, true),
        }
    }

    /// Handles a notice of the predecessor.
    pub fn handle_notice(&mut self, now: Instant, notice: IdNotice) {
        match notice {
            IdNotice::Granted(id) => self.resolve(id, true),
            IdNotice::Denied(id) => self.resolve(id, false),
            IdNotice::Used(id) => {
                self.recent.insert(now, id);
                self.notify_successor(notice);
            }
        }
    }

    /// Asks a predecessor about each claim from now on.
    pub fn connect_predecessor(&mut self) {
        self.predecessor = Some(PredecessorLink::default());
    }

    /// Decides alone from now on.
    pub fn disconnect_predecessor(&mut self) {
        let Some(predecessor) = self.predecessor.take() else { return };
        for (id, waiter) in predecessor.waiting {
            self.answer(id, waiter, true);
        }
    }

    /// Collects notices for a successor from now on, beginning with all used ids.
    pub fn connect_successor(&mut self) {
        self.successor = Some(self.recent.iter().map(IdNotice::Used).collect());
    }

    /// Collects no more notices. The ids that the successor held may have been used.
    pub fn disconnect_successor(&mut self, now: Instant) {
        self.successor = None;
        let of_successor: Vec<IdDigest> =
            self.held.iter().filter(|(_, holder)| **holder == Holder::Successor).map(|(id, _)| *id).collect();
        for id in of_successor {
            self.release_of_successor(now, id, true);
        }
    }

    /// The collected requests to the predecessor. The caller clears those that it has sent.
    pub fn outgoing_requests(&mut self) -> Option<&mut Vec<IdRequest>> {
        self.predecessor.as_mut().map(|predecessor| &mut predecessor.outgoing)
    }

    /// The collected notices to the successor. The caller clears those that it has sent.
    pub fn outgoing_notices(&mut self) -> Option<&mut Vec<IdNotice>> {
        self.successor.as_mut()
    }

    /// Whether there is anything to send.
    pub fn has_outgoing(&self) -> bool {
        self.predecessor.as_ref().is_some_and(|predecessor| !predecessor.outgoing.is_empty())
            || self.successor.as_ref().is_some_and(|notices| !notices.is_empty())
    }

    fn try_hold(&mut self, id: IdDigest, holder: Holder) -> bool {
        if self.recent.contains(id) {
            return false;
        }
        match self.held.entry(id) {
            Entry::Occupied(_) => false,
            Entry::Vacant(entry) => {
                entry.insert(holder);
                true
            }
        }
    }

    fn release_of_successor(&mut self, now: Instant, id: IdDigest, used: bool) {
        // A claim that was denied holds nothing.
        if self.held.get(&id) == Some(&Holder::Successor) {
            self.release(now, id, used);
        }
    }

    fn resolve(&mut self, id: IdDigest, granted: bool) {
        let waiter = self.predecessor.as_mut().and_then(|predecessor| predecessor.waiting.remove(&id));
        if let Some(waiter) = waiter {
            self.answer(id, waiter, granted);
        }
    }

    fn answer(&mut self, id: IdDigest, waiter: Waiter, granted: bool) {
        match waiter {
            // The request may have ended meanwhile; its lease releases the id.
            Waiter::Local(answer) => drop(answer.send(granted)),
            Waiter::Successor if granted => self.notify_successor(IdNotice::Granted(id)),
            Waiter::Successor => {
                self.held.remove(&id);
                self.notify_successor(IdNotice::Denied(id));
            }
        }
    }

    fn notify_successor(&mut self, notice: IdNotice) {
        if let Some(notices) = &mut self.successor {
            if notices.len() >= MAX_WAITING_NOTICES {
                notices.drain(..MAX_WAITING_NOTICES / 2);
            }
            notices.push(notice);
        }
    }
}
