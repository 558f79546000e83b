//! What a listener counts. Every datagram is counted once on its way in and once by its fate.

use serde::{Deserialize, Serialize};

use crate::api::{Cause, Drop, End};

/// Totals since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Datagrams from clients, and from servers.
    pub received: [u64; 2],
    /// Bytes of them.
    pub received_bytes: [u64; 2],
    /// Datagrams to servers, and to clients.
    pub forwarded: [u64; 2],
    /// Bytes of them.
    pub forwarded_bytes: [u64; 2],
    /// Datagrams that went nowhere, by [`Drop`].
    pub dropped: [u64; Drop::COUNT],
    /// Flows that were begun.
    pub begun: u64,
    /// Flows that a server answered.
    pub answered: u64,
    /// Flows that ended, by [`End`].
    pub ended: [u64; 5],
    /// Flows that went to another server, by [`Cause`].
    pub moved: [u64; 7],
    /// Flows that were taken over from before a restart.
    pub restored: u64,
    /// Addresses that a known flow came from anew.
    pub rebound: u64,
    /// Datagrams with the id of a flow that is in use at another address.
    pub claimed: u64,
    /// Times a server counted as lost: refused by its host, and silent.
    pub lost: [u64; 2],
    /// Times one came back.
    pub back: u64,
}

impl Counts {
    pub(crate) fn drop(&mut self, why: Drop) {
        self.dropped[why as usize] += 1;
    }

    pub(crate) fn end(&mut self, why: End) {
        self.ended[why as usize] += 1;
    }

    pub(crate) fn moves(&mut self, why: Cause) {
        self.moved[why as usize] += 1;
    }

    /// Datagrams that came in less those with a fate: zero, whatever happened.
    pub fn astray(&self) -> i128 {
        let sum = |all: &[u64]| all.iter().map(|n| i128::from(*n)).sum::<i128>();
        sum(&self.received) - sum(&self.forwarded) - sum(&self.dropped)
    }

    /// Flows that were begun or restored less those that ended: those in the table.
    pub fn open(&self) -> i128 {
        let ended: i128 = self.ended.iter().map(|n| i128::from(*n)).sum();
        i128::from(self.begun) + i128::from(self.restored) - ended
    }
}
