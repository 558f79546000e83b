//! How two processes that are one sidecar share what one may hold. Pure.
//!
//! While both serve each has half, or what the other leaves if it holds more than that already. One that leaves keeps
//! what it holds, and a small part to finish with; the rest is the other's.

use serde::{Deserialize, Serialize};

use crate::budget::ResourceCounts;

/// What a process that leaves may hold beside what it held when it began to: an eighth, for second attempts.
const TO_FINISH: usize = 8;

/// What one process tells the other of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// What it holds.
    pub held: ResourceCounts,
    /// What there is for the two of them.
    pub whole: ResourceCounts,
    /// Whether it takes no new clients.
    pub leaving: bool,
    /// Whether it takes clients.
    pub serving: bool,
    /// How many processes there are on its side, itself included.
    pub side: u32,
}

/// What a process may hold of the whole, beside a peer that told this of itself.
fn beside(
    whole: ResourceCounts,
    held: ResourceCounts,
    leaving: bool,
    peer: &ProcessStatus,
) -> ResourceCounts {
    let part = |whole: usize| whole / TO_FINISH;
    if leaving && !peer.leaving {
        return held.zip_with(whole, |held, whole| held.max(part(whole)).min(whole));
    }
    let theirs = |held: usize, whole: usize| held.max(if peer.leaving { part(whole) } else { whole / 2 });
    whole.zip_with(peer.held.zip_with(whole, theirs), |whole, theirs| whole.saturating_sub(theirs))
}

/// One process between the one before it and the one after it, of which there may be none.
#[derive(Debug, Clone, Copy)]
pub struct Shares {
    whole: ResourceCounts,
    elder: Option<ProcessStatus>,
    younger: Option<ProcessStatus>,
    leaving: bool,
}

impl Shares {
    /// One that is alone and may hold this.
    pub fn new(whole: ResourceCounts) -> Shares {
        Shares { whole, elder: None, younger: None, leaving: false }
    }

    /// What the one before it tells; `None` once it has ended.
    pub fn elder(&mut self, standing: Option<ProcessStatus>) {
        self.elder = standing;
    }

    /// What the one after it tells; `None` once it has ended.
    pub fn younger(&mut self, standing: Option<ProcessStatus>) {
        self.younger = standing;
    }

    /// It takes no new clients from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// What there is for it and who comes after it.
    fn ours(&self, held: ResourceCounts) -> ResourceCounts {
        match &self.elder {
            // The elder's word counts where it has less to share than the configuration says.
            Some(elder) => {
                let whole = self.whole.zip_with(elder.whole, usize::min);
                beside(whole, held, self.leaving, elder)
            }
            None => self.whole,
        }
    }

    /// What it may hold, where it holds this.
    pub fn allowed(&self, held: ResourceCounts) -> ResourceCounts {
        let ours = self.ours(held);
        match &self.younger {
            Some(younger) => beside(ours, held, self.leaving, younger),
            None => ours,
        }
    }

    /// How many processes there are, itself included.
    pub fn processes(&self) -> u32 {
        let side = |peer: &Option<ProcessStatus>| peer.map_or(0, |peer| peer.side.clamp(1, MOST_PROCESSES));
        1 + side(&self.elder) + side(&self.younger)
    }

    /// What it tells the one before it.
    pub fn to_elder(&self, held: ResourceCounts) -> ProcessStatus {
        let side = 1 + self.younger.map_or(0, |peer| peer.side.clamp(1, MOST_PROCESSES));
        ProcessStatus { held, whole: self.whole, leaving: self.leaving, serving: !self.leaving, side }
    }

    /// What it tells the one after it.
    pub fn to_younger(&self, held: ResourceCounts) -> ProcessStatus {
        let side = 1 + self.elder.map_or(0, |peer| peer.side.clamp(1, MOST_PROCESSES));
        ProcessStatus { held, whole: self.ours(held), leaving: self.leaving, serving: !self.leaving, side }
    }
}

/// More never run at once.
const MOST_PROCESSES: u32 = 8;

#[cfg(test)]
mod tests {
    use super::*;

    fn all(count: usize) -> ResourceCounts {
        ResourceCounts { clients: count, upstreams: count, transfers: count }
    }

    fn count(amounts: ResourceCounts) -> usize {
        assert_eq!((amounts.clients, amounts.upstreams), (amounts.upstreams, amounts.transfers));
        amounts.clients
    }

    /// Two processes that tell each other what they hold, with some delay.
    struct Pair {
        elder: Shares,
        younger: Shares,
        held: [usize; 2],
    }

    impl Pair {
        fn new(whole: usize, held: usize) -> Pair {
            let mut pair =
                Pair { elder: Shares::new(all(whole)), younger: Shares::new(all(whole)), held: [held, 0] };
            pair.tell();
            pair
        }

        fn tell(&mut self) {
            self.elder.younger(Some(self.younger.to_elder(all(self.held[1]))));
            self.younger.elder(Some(self.elder.to_younger(all(self.held[0]))));
        }

        fn allowed(&self) -> [usize; 2] {
            [count(self.elder.allowed(all(self.held[0]))), count(self.younger.allowed(all(self.held[1])))]
        }
    }

    #[test]
    fn half_is_each_ones_and_what_the_other_holds_is_its_own() {
        assert_eq!(Pair::new(100, 10).allowed(), [50, 50]);
        assert_eq!(Pair::new(100, 70).allowed(), [50, 30], "the elder takes no more until it holds less");
        let mut pair = Pair::new(100, 70);
        pair.elder.leave();
        pair.tell();
        assert_eq!(pair.allowed(), [70, 30]);
        pair.held = [20, 25];
        pair.tell();
        assert_eq!(pair.allowed(), [20, 80]);
        pair.held[0] = 0;
        pair.tell();
        assert_eq!(pair.allowed(), [12, 88]);
        pair.younger.elder(None);
        assert_eq!(count(pair.younger.allowed(all(25))), 100);
        assert_eq!((pair.younger.processes(), pair.elder.processes()), (1, 2));
    }

    #[test]
    fn three_in_a_row_know_of_each_other() {
        let (mut first, mut second, mut third) =
            (Shares::new(all(80)), Shares::new(all(80)), Shares::new(all(80)));
        for _ in 0..3 {
            first.younger(Some(second.to_elder(all(0))));
            second.elder(Some(first.to_younger(all(30))));
            second.younger(Some(third.to_elder(all(0))));
            third.elder(Some(second.to_younger(all(10))));
        }
        assert_eq!([first, second, third].map(|one| one.processes()), [3, 3, 3]);
        let allowed = [first.allowed(all(30)), second.allowed(all(10)), third.allowed(all(0))].map(count);
        assert!(allowed.iter().sum::<usize>() <= 80, "{allowed:?}");
    }

    /// Both take whenever they are allowed to and let go at will; each hears of the other now and then.
    #[test]
    fn together_they_hold_no_more_than_one_may() {
        let mut rng = oorandom::Rand64::new(8);
        for round in 0..400 {
            let whole = 8 + rng.rand_range(0..300) as usize;
            let mut pair = Pair::new(whole, rng.rand_range(0..whole as u64 + 1) as usize);
            let mut leaving = false;
            for step in 0..300 {
                let who = rng.rand_range(0..2) as usize;
                let allowed = pair.allowed()[who];
                if rng.rand_range(0..3) > 0 && pair.held[who] < allowed && !(who == 0 && leaving) {
                    pair.held[who] += 1;
                } else {
                    pair.held[who] = pair.held[who].saturating_sub(1);
                }
                if rng.rand_range(0..8) == 0 {
                    pair.tell();
                }
                if step == 150 {
                    pair.elder.leave();
                    leaving = true;
                }
                // What grew since it was told is an eighth at most: who leaves may finish with that.
                let slack = whole / TO_FINISH + 1;
                let held: usize = pair.held.iter().sum();
                assert!(held <= whole + slack, "round {round}: {held} of {whole}");
            }
        }
    }
}
