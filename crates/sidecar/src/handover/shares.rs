//! How two processes of one sidecar share its resource limits while both run. Pure.
//!
//! While both serve, each may use half of the limits; a process whose peer already uses more than half gets
//! the rest. An ending process keeps what it uses, but at least a reserve to finish with; everything else
//! belongs to its peer.

use serde::{Deserialize, Serialize};

use crate::budget::ResourceCounts;

/// An ending process may use at least an eighth of the limits, even if it used less when it began to end: it
/// needs that for second attempts.
const ENDING_RESERVE_DIVISOR: usize = 8;

/// Status that one process sends to the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Resources that the process uses.
    #[serde(rename = "held")]
    pub in_use: ResourceCounts,
    /// Limits for both processes together.
    #[serde(rename = "whole")]
    pub limits: ResourceCounts,
    /// Whether the process accepts no new clients because it is ending.
    #[serde(rename = "leaving")]
    pub ending: bool,
    /// Whether the process accepts clients.
    pub serving: bool,
    /// Number of processes on the sender's side of the connection, the sender included.
    #[serde(rename = "side")]
    pub process_count: u32,
    /// Whether the sender understands messages about request ids. Earlier versions do not.
    #[serde(default)]
    pub shares_request_ids: bool,
}

/// The part of the limits that a process may use beside a peer with this status.
fn share_beside(
    limits: ResourceCounts,
    in_use: ResourceCounts,
    ending: bool,
    peer: &ProcessStatus,
) -> ResourceCounts {
    let reserve = |limit: usize| limit / ENDING_RESERVE_DIVISOR;
    if ending && !peer.ending {
        return in_use.zip_with(limits, |in_use, limit| in_use.max(reserve(limit)).min(limit));
    }
    let peer_share =
        |in_use: usize, limit: usize| in_use.max(if peer.ending { reserve(limit) } else { limit / 2 });
    limits.zip_with(peer.in_use.zip_with(limits, peer_share), |limit, peer_share| {
        limit.saturating_sub(peer_share)
    })
}

/// The shares of one process beside its predecessor and its successor, if it has them.
#[derive(Debug, Clone, Copy)]
pub struct Shares {
    limits: ResourceCounts,
    predecessor: Option<ProcessStatus>,
    successor: Option<ProcessStatus>,
    ending: bool,
}

impl Shares {
    /// A process without peers that may use these limits.
    pub fn new(limits: ResourceCounts) -> Shares {
        Shares { limits, predecessor: None, successor: None, ending: false }
    }

    /// Sets the status of the predecessor; `None` once it has ended.
    pub fn set_predecessor(&mut self, status: Option<ProcessStatus>) {
        self.predecessor = status;
    }

    /// Sets the status of the successor; `None` once it has ended.
    pub fn set_successor(&mut self, status: Option<ProcessStatus>) {
        self.successor = status;
    }

    /// Records that this process accepts no new clients from now on.
    pub fn set_ending(&mut self) {
        self.ending = true;
    }

    /// The limits for this process and its successors together.
    fn limits_beside_predecessor(&self, in_use: ResourceCounts) -> ResourceCounts {
        match &self.predecessor {
            // The predecessor may have been configured with smaller limits, or share with one of its own.
            Some(predecessor) => {
                let limits = self.limits.zip_with(predecessor.limits, usize::min);
                share_beside(limits, in_use, self.ending, predecessor)
            }
            None => self.limits,
        }
    }

    /// The resources that this process may use, given what it uses now.
    pub fn own_limits(&self, in_use: ResourceCounts) -> ResourceCounts {
        let limits = self.limits_beside_predecessor(in_use);
        match &self.successor {
            Some(successor) => share_beside(limits, in_use, self.ending, successor),
            None => limits,
        }
    }

    /// Number of processes, this one included.
    pub fn process_count(&self) -> u32 {
        let reported_count = |peer: &Option<ProcessStatus>| {
            peer.map_or(0, |peer| peer.process_count.clamp(1, MAX_PROCESSES_PER_SIDE))
        };
        1 + reported_count(&self.predecessor) + reported_count(&self.successor)
    }

    /// The status to send to the predecessor.
    pub fn status_for_predecessor(&self, in_use: ResourceCounts) -> ProcessStatus {
        let process_count =
            1 + self.successor.map_or(0, |peer| peer.process_count.clamp(1, MAX_PROCESSES_PER_SIDE));
        ProcessStatus {
            in_use,
            limits: self.limits,
            ending: self.ending,
            serving: !self.ending,
            process_count,
            shares_request_ids: true,
        }
    }

    /// The status to send to the successor.
    pub fn status_for_successor(&self, in_use: ResourceCounts) -> ProcessStatus {
        let process_count =
            1 + self.predecessor.map_or(0, |peer| peer.process_count.clamp(1, MAX_PROCESSES_PER_SIDE));
        ProcessStatus {
            in_use,
            limits: self.limits_beside_predecessor(in_use),
            ending: self.ending,
            serving: !self.ending,
            process_count,
            shares_request_ids: true,
        }
    }
}

/// Bounds the number of processes that a peer may report. More never run at once.
const MAX_PROCESSES_PER_SIDE: u32 = 8;

#[cfg(test)]
mod tests {
    use super::*;

    fn counts(count: usize) -> ResourceCounts {
        ResourceCounts { clients: count, upstreams: count, transfers: count }
    }

    fn single_count(counts: ResourceCounts) -> usize {
        assert_eq!((counts.clients, counts.upstreams), (counts.upstreams, counts.transfers));
        counts.clients
    }

    /// A predecessor and a successor, in this order in arrays, that exchange their status with some delay.
    struct Pair {
        predecessor: Shares,
        successor: Shares,
        in_use: [usize; 2],
    }

    impl Pair {
        fn new(limit: usize, predecessor_in_use: usize) -> Pair {
            let mut pair = Pair {
                predecessor: Shares::new(counts(limit)),
                successor: Shares::new(counts(limit)),
                in_use: [predecessor_in_use, 0],
            };
            pair.exchange_status();
            pair
        }

        fn exchange_status(&mut self) {
            let [predecessor_in_use, successor_in_use] = self.in_use.map(counts);
            self.predecessor.set_successor(Some(self.successor.status_for_predecessor(successor_in_use)));
            self.successor.set_predecessor(Some(self.predecessor.status_for_successor(predecessor_in_use)));
        }

        fn own_limits(&self) -> [usize; 2] {
            [
                single_count(self.predecessor.own_limits(counts(self.in_use[0]))),
                single_count(self.successor.own_limits(counts(self.in_use[1]))),
            ]
        }
    }

    #[test]
    fn each_process_gets_half_or_the_rest_beside_its_peers_use() {
        assert_eq!(Pair::new(100, 10).own_limits(), [50, 50]);
        assert_eq!(
            Pair::new(100, 70).own_limits(),
            [50, 30],
            "the predecessor may take no more until it uses less than its half"
        );
        let mut pair = Pair::new(100, 70);
        pair.predecessor.set_ending();
        pair.exchange_status();
        assert_eq!(pair.own_limits(), [70, 30]);
        pair.in_use = [20, 25];
        pair.exchange_status();
        assert_eq!(pair.own_limits(), [20, 80]);
        pair.in_use[0] = 0;
        pair.exchange_status();
        assert_eq!(pair.own_limits(), [12, 88]);
        pair.successor.set_predecessor(None);
        assert_eq!(single_count(pair.successor.own_limits(counts(25))), 100);
        assert_eq!((pair.successor.process_count(), pair.predecessor.process_count()), (1, 2));
    }

    #[test]
    fn three_processes_in_a_row_count_each_other_and_stay_within_the_limits() {
        let (mut first, mut second, mut third) =
            (Shares::new(counts(80)), Shares::new(counts(80)), Shares::new(counts(80)));
        for _ in 0..3 {
            first.set_successor(Some(second.status_for_predecessor(counts(0))));
            second.set_predecessor(Some(first.status_for_successor(counts(30))));
            second.set_successor(Some(third.status_for_predecessor(counts(0))));
            third.set_predecessor(Some(second.status_for_successor(counts(10))));
        }
        assert_eq!([first, second, third].map(|process| process.process_count()), [3, 3, 3]);
        let own_limits =
            [first.own_limits(counts(30)), second.own_limits(counts(10)), third.own_limits(counts(0))]
                .map(single_count);
        assert!(own_limits.iter().sum::<usize>() <= 80, "{own_limits:?}");
    }

    /// Guards against two processes together exceeding the limits of one: both acquire and release at random,
    /// and their status is exchanged only now and then.
    #[test]
    fn two_processes_together_stay_within_the_limits_of_one() {
        let mut rng = oorandom::Rand64::new(8);
        for round in 0..400 {
            let limit = 8 + rng.rand_range(0..300) as usize;
            let mut pair = Pair::new(limit, rng.rand_range(0..limit as u64 + 1) as usize);
            let mut ending = false;
            for step in 0..300 {
                let process = rng.rand_range(0..2) as usize;
                let own_limit = pair.own_limits()[process];
                if rng.rand_range(0..3) > 0 && pair.in_use[process] < own_limit && !(process == 0 && ending) {
                    pair.in_use[process] += 1;
                } else {
                    pair.in_use[process] = pair.in_use[process].saturating_sub(1);
                }
                if rng.rand_range(0..8) == 0 {
                    pair.exchange_status();
                }
                if step == 150 {
                    pair.predecessor.set_ending();
                    ending = true;
                }
                // Since the last exchange, the use can have grown by the reserve of an ending process at
                // most.
                let slack = limit / ENDING_RESERVE_DIVISOR + 1;
                let in_use: usize = pair.in_use.iter().sum();
                assert!(in_use <= limit + slack, "round {round}: {in_use} of {limit}");
            }
        }
    }
}
