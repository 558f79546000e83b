//! Source prefixes: what each may begin and send, and which of them holds the most unanswered flows.

use std::collections::{BTreeSet, HashMap};

use ahash::RandomState;

use crate::api::Millis;
use crate::key::Prefix;
use crate::list::{Chain, List};
use crate::rules::Rules;
use crate::table::Flow;

/// What a source saves up of datagrams in unanswered flows, in seconds of its rate.
const RATE_SAVED_S: f64 = 1.0;
/// So many places are looked at for one that can be taken away when all are taken.
const LOOKS: usize = 8;
/// The place that sources share that no other is left for.
const SHARED: u32 = 0;

/// Tokens that come with time.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    level: f64,
    at: Millis,
}

impl Bucket {
    /// A full one.
    pub fn full(burst: f64, now: Millis) -> Bucket {
        Bucket { level: burst, at: now }
    }

    /// Takes one, if there is one.
    pub fn take(&mut self, now: Millis, per_s: f64, burst: f64) -> bool {
        self.take_above(0.0, now, per_s, burst)
    }

    /// Takes one, if so many are left then.
    pub fn take_above(&mut self, left: f64, now: Millis, per_s: f64, burst: f64) -> bool {
        self.level = (self.level + (now - self.at).max(0.0) * per_s / 1e3).min(burst);
        self.at = now;
        let may = self.level >= 1.0 + left;
        if may {
            self.level -= 1.0;
        }
        may
    }

    fn is_full(&self, now: Millis, per_s: f64, burst: f64) -> bool {
        self.level + (now - self.at).max(0.0) * per_s / 1e3 >= burst
    }
}

#[derive(Debug)]
struct Source {
    prefix: Option<Prefix>,
    begun: Bucket,
    sent: Bucket,
    tentative: List,
    /// All its flows: it is remembered as long as it has one.
    flows: u32,
}

/// All sources.
#[derive(Debug)]
pub struct Sources {
    by_prefix: HashMap<Prefix, u32, RandomState>,
    places: Vec<Source>,
    most: usize,
    hand: usize,
    /// Those that hold unanswered flows, by how many.
    by_tentative: BTreeSet<(u32, u32)>,
}

impl Sources {
    /// None yet, and room for so many beside the shared place.
    pub fn new(most: usize, hashing: RandomState, rules: &Rules, now: Millis) -> Sources {
        let mut sources = Sources {
            by_prefix: HashMap::with_hasher(hashing),
            places: Vec::new(),
            most: most + 1,
            hand: 1,
            by_tentative: BTreeSet::new(),
        };
        sources.places.push(Sources::fresh(None, rules, now));
        sources
    }

    fn fresh(prefix: Option<Prefix>, rules: &Rules, now: Millis) -> Source {
        Source {
            prefix,
            begun: Bucket::full(rules.new_burst, now),
            sent: Bucket::full(rules.tentative_per_s * RATE_SAVED_S, now),
            tentative: List::EMPTY,
            flows: 0,
        }
    }

    /// The place of a source. A new one takes a free place, or that of one that has no flow and has been quiet; if
    /// there is none it shares with others.
    pub fn enter(&mut self, prefix: Prefix, rules: &Rules, now: Millis) -> u32 {
        if let Some(at) = self.by_prefix.get(&prefix) {
            return *at;
        }
        let at = if self.places.len() < self.most {
            self.places.push(Sources::fresh(Some(prefix), rules, now));
            self.places.len() - 1
        } else {
            let Some(at) = self.quiet(rules, now) else { return SHARED };
            if let Some(old) = self.places[at].prefix {
                self.by_prefix.remove(&old);
            }
            self.places[at] = Sources::fresh(Some(prefix), rules, now);
            at
        };
        self.by_prefix.insert(prefix, at as u32);
        at as u32
    }

    fn quiet(&mut self, rules: &Rules, now: Millis) -> Option<usize> {
        for _ in 0..LOOKS {
            self.hand = if self.hand + 1 < self.places.len() { self.hand + 1 } else { 1 };
            let Some(source) = self.places.get(self.hand) else { continue };
            let rested = source.begun.is_full(now, rules.new_per_s, rules.new_burst);
            if source.flows == 0 && rested {
                return Some(self.hand);
            }
        }
        None
    }

    /// Whether it may begin one more flow.
    pub fn may_begin(&mut self, at: u32, rules: &Rules, now: Millis) -> bool {
        self.places[at as usize].begun.take(now, rules.new_per_s, rules.new_burst)
    }

    /// Whether one more datagram of it may go on in a flow that no server has answered.
    pub fn may_send(&mut self, at: u32, rules: &Rules, now: Millis) -> bool {
        let burst = (rules.tentative_per_s * RATE_SAVED_S).max(1.0);
        self.places[at as usize].sent.take(now, rules.tentative_per_s, burst)
    }

    /// The source with the most unanswered flows, its oldest one, and how many it has.
    pub fn largest(&self) -> Option<(u32, u32, usize)> {
        let (_, at) = self.by_tentative.last()?;
        let list = &self.places[*at as usize].tentative;
        Some((*at, list.first()?, list.len()))
    }

    /// How many unanswered flows it has.
    pub fn tentative(&self, at: u32) -> usize {
        self.places[at as usize].tentative.len()
    }

    /// A flow of it begins, unanswered.
    pub fn begin(&mut self, flows: &mut [Flow], at: u32, flow: u32) {
        self.places[at as usize].flows += 1;
        self.change(at, |list| list.push(flows, Chain::Source, flow));
    }

    /// A flow of it begins that lives already.
    pub fn adopt(&mut self, at: u32) {
        self.places[at as usize].flows += 1;
    }

    /// One of its unanswered flows lives from now on.
    pub fn promote(&mut self, flows: &mut [Flow], at: u32, flow: u32) {
        self.change(at, |list| list.remove(flows, Chain::Source, flow));
    }

    /// A flow of it that lives ends.
    pub fn end(&mut self, at: u32) {
        self.places[at as usize].flows -= 1;
    }

    fn change(&mut self, at: u32, how: impl FnOnce(&mut List)) {
        let list = &mut self.places[at as usize].tentative;
        let before = list.len() as u32;
        how(list);
        let after = list.len() as u32;
        self.by_tentative.remove(&(before, at));
        if after > 0 {
            self.by_tentative.insert((after, at));
        }
    }

    /// How many are told apart.
    pub fn count(&self) -> usize {
        self.places.len() - 1
    }
}
