//! The process's budgets: what is handed out to each instance and returned by it, so that none takes another's.
//! Pure; the shell does the locking.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::hash::Hash;
use std::net::SocketAddr;

/// What an instance takes of the process: fixed while it runs, used or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Demand {
    /// Memory, in MiB.
    pub memory_mb: u64,
    /// File descriptors.
    pub descriptors: u64,
}

impl Demand {
    /// The larger in each respect.
    pub fn max(self, other: Demand) -> Demand {
        Demand {
            memory_mb: self.memory_mb.max(other.memory_mb),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// What a budget lacks for a demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Short {
    /// What was asked for.
    pub needs: Demand,
    /// What is left.
    pub left: Demand,
}

impl fmt::Display for Short {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Short { needs, left } = self;
        if needs.memory_mb > left.memory_mb {
            write!(
                f,
                "needs {} MiB of memory, budgets.memory_mb has {} left",
                needs.memory_mb, left.memory_mb
            )
        } else {
            let (needs, left) = (needs.descriptors, left.descriptors);
            write!(f, "needs {needs} descriptors, budgets.descriptors has {left} left")
        }
    }
}

/// Who holds how much of the whole.
#[derive(Debug)]
pub struct Ledger<K> {
    total: Demand,
    taken: Demand,
    granted: BTreeMap<K, Demand>,
}

impl<K: Ord + Clone> Ledger<K> {
    /// A whole of which nothing is taken.
    pub fn new(total: Demand) -> Ledger<K> {
        Ledger { total, taken: Demand::default(), granted: BTreeMap::new() }
    }

    /// Grants a holder so much in all, unless it does not fit. What it held before is returned with it.
    pub fn grant(&mut self, holder: &K, demand: Demand) -> Result<(), Short> {
        let before = self.granted.get(holder).copied().unwrap_or_default();
        let left = Demand {
            memory_mb: (self.total.memory_mb + before.memory_mb).saturating_sub(self.taken.memory_mb),
            descriptors: (self.total.descriptors + before.descriptors).saturating_sub(self.taken.descriptors),
        };
        // A smaller total than before leaves holders over it: to ask for no more than one has always fits.
        let grows = |needs: u64, has: u64, left: u64| needs > has && needs > left;
        if grows(demand.memory_mb, before.memory_mb, left.memory_mb)
            || grows(demand.descriptors, before.descriptors, left.descriptors)
        {
            return Err(Short { needs: demand, left });
        }
        self.set(holder, demand);
        Ok(())
    }

    /// Takes back what a holder has beyond this.
    pub fn shrink(&mut self, holder: &K, demand: Demand) {
        if let Some(before) = self.granted.get(holder) {
            let kept = Demand {
                memory_mb: before.memory_mb.min(demand.memory_mb),
                descriptors: before.descriptors.min(demand.descriptors),
            };
            self.set(holder, kept);
        }
    }

    /// Takes all back.
    pub fn give_back(&mut self, holder: &K) {
        self.set(holder, Demand::default());
        self.granted.remove(holder);
    }

    fn set(&mut self, holder: &K, demand: Demand) {
        let before = self.granted.insert(holder.clone(), demand).unwrap_or_default();
        self.taken.memory_mb = self.taken.memory_mb - before.memory_mb + demand.memory_mb;
        self.taken.descriptors = self.taken.descriptors - before.descriptors + demand.descriptors;
    }

    /// What is granted in all.
    pub fn taken(&self) -> Demand {
        self.taken
    }

    /// The whole.
    pub fn total(&self) -> Demand {
        self.total
    }

    /// Changes the whole. What was granted stays granted.
    pub fn set_total(&mut self, total: Demand) {
        self.total = total;
    }
}

/// Connections that many holders share to each of many upstreams. Each holder has an equal part that no other can
/// take; beyond it, it may use what nobody's part covers.
#[derive(Debug)]
pub struct Shares<K> {
    cap: usize,
    holders: usize,
    used: HashMap<SocketAddr, HashMap<K, usize>>,
}

impl<K: Eq + Hash + Clone> Shares<K> {
    /// So many to each upstream, and no holders yet.
    pub fn new(cap: usize) -> Shares<K> {
        Shares { cap, holders: 0, used: HashMap::new() }
    }

    /// Changes how many there may be. Those beyond a smaller number stay until they are returned.
    pub fn set_cap(&mut self, cap: usize) {
        self.cap = cap;
    }

    /// Changes among how many they are shared.
    pub fn set_holders(&mut self, holders: usize) {
        self.holders = holders;
    }

    /// Takes one for a holder. False when there is none left for it.
    pub fn take(&mut self, dial: SocketAddr, holder: &K) -> bool {
        // With more holders than connections nobody has a part of its own, and first come is first served.
        let part = self.cap / self.holders.max(1);
        let used = self.used.entry(dial).or_default();
        let mine = used.get(holder).copied().unwrap_or(0);
        let all: usize = used.values().sum();
        let others: usize = used.iter().filter(|(key, _)| *key != holder).map(|(_, n)| (*n).max(part)).sum();
        let idle = self.holders.saturating_sub(used.len() + usize::from(mine == 0)) * part;
        let fits = all < self.cap && (mine < part || others + idle + mine < self.cap);
        if fits {
            used.insert(holder.clone(), mine + 1);
        } else if used.is_empty() {
            self.used.remove(&dial);
        }
        fits
    }

    /// Returns one.
    pub fn give_back(&mut self, dial: SocketAddr, holder: &K) {
        let Some(used) = self.used.get_mut(&dial) else { return };
        if let Some(mine) = used.get_mut(holder) {
            *mine -= 1;
            if *mine == 0 {
                used.remove(holder);
            }
        }
        if used.is_empty() {
            self.used.remove(&dial);
        }
    }

    /// The most that any upstream has, and how many upstreams have any.
    pub fn most(&self) -> (usize, usize) {
        (self.used.values().map(|used| used.values().sum()).max().unwrap_or(0), self.used.len())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

    fn demand(memory_mb: u64, descriptors: u64) -> Demand {
        Demand { memory_mb, descriptors }
    }

    #[test]
    fn what_is_granted_is_never_more_than_there_is_and_comes_back() {
        let mut ledger = Ledger::new(demand(100, 50));
        assert_eq!(ledger.grant(&"a", demand(60, 10)), Ok(()));
        let short = ledger.grant(&"b", demand(50, 10)).unwrap_err();
        assert_eq!(short.left, demand(40, 40));
        assert!(short.to_string().contains("budgets.memory_mb has 40 left"), "{short}");
        assert_eq!(ledger.taken(), demand(60, 10), "what was refused is not taken");
        assert_eq!(ledger.grant(&"a", demand(100, 50)), Ok(()), "its own counts as free for it");
        ledger.shrink(&"a", demand(20, 60));
        assert_eq!(ledger.taken(), demand(20, 50));
        ledger.give_back(&"a");
        assert_eq!(ledger.taken(), Demand::default());
    }

    #[test]
    fn a_smaller_whole_leaves_what_is_granted() {
        let mut ledger = Ledger::new(demand(100, 50));
        ledger.grant(&"a", demand(60, 10)).unwrap();
        ledger.set_total(demand(10, 5));
        assert_eq!(ledger.grant(&"a", demand(60, 10)), Ok(()), "no more than it has");
        assert!(ledger.grant(&"a", demand(61, 10)).is_err());
        assert!(ledger.grant(&"b", demand(1, 1)).is_err());
    }

    #[test]
    fn no_holder_takes_the_part_of_another() {
        let mut shares = Shares::new(10);
        shares.set_holders(2);
        let greedy = (0..20).filter(|_| shares.take(ADDRESS, &"greedy")).count();
        assert_eq!(greedy, 5, "its own part; the other's is kept for it");
        assert_eq!((0..20).filter(|_| shares.take(ADDRESS, &"late")).count(), 5);
        shares.give_back(ADDRESS, &"greedy");
        assert!(!shares.take(ADDRESS, &"late"), "that one is the other's");
        assert!(shares.take(ADDRESS, &"greedy"));
    }

    #[test]
    fn what_no_part_covers_is_for_anyone_and_the_cap_holds_when_holders_come() {
        let mut shares = Shares::new(10);
        shares.set_holders(1);
        assert_eq!((0..20).filter(|_| shares.take(ADDRESS, &0)).count(), 10);
        shares.set_holders(100);
        assert!(!shares.take(ADDRESS, &1), "all are out");
        shares.give_back(ADDRESS, &0);
        assert!(shares.take(ADDRESS, &1), "with more holders than connections, first come");
        for _ in 0..9 {
            shares.give_back(ADDRESS, &0);
        }
        shares.give_back(ADDRESS, &1);
        assert_eq!(shares.most(), (0, 0), "nothing is kept of an upstream without connections");
    }
}
