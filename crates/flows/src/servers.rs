//! The servers of a listener: who is listed, who counts as lost, and what each may still be given.

use std::collections::HashMap;

use sagemast_decide::api::{CellId, KindId, Lifecycle, Listing, UpstreamId, ZoneId};

use crate::api::{Entry, Millis};
use crate::list::{List, NIL};
use crate::rules::{Rules, Silence};

/// Servers that a listener knows at most; further ones are not listed.
pub const MOST: usize = 10_000;
/// Refusals by its host, with nothing heard from it between, that make a server lost. One may be left over from a
/// restart that is over.
const REFUSALS: u32 = 2;
/// A server is lost by silence once so many datagrams are missing at its own rate: where they come at random it is
/// silent for so long by chance once in 3,000 times (e^-8),
const MISSING: f64 = 8.0;
/// and not before this multiple of the longest pause it made of late.
const PAUSES: f64 = 2.0;
/// The longest pause is forgotten over about this time.
const PAUSE_FADES: Millis = 10_000.0;
/// Weight of a new window in a server's rates.
const SMOOTH: f64 = 0.1;
/// First and longest wait before a lost server is tried with a new flow.
const TRIAL_AFTER: [Millis; 2] = [1_000.0, 8_000.0];
/// The share of a cold server's allowance that is used: sizes of flows are estimates.
const COLD_MARGIN: f64 = 0.5;

/// What discovery says of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Standing {
    /// It takes new flows.
    Serving,
    /// It keeps what it has until its grace is over.
    Draining {
        /// Since when.
        since: Millis,
    },
    /// It is no more.
    Gone,
}

/// That a server counts as lost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Lost {
    /// Only by silence.
    pub by_silence: bool,
    /// When a new flow may try it.
    trial_at: Millis,
    wait: Millis,
    /// A new flow may try it.
    due: bool,
    /// The module may draw it, for the flow at hand.
    pub offered: bool,
    /// That flow is out.
    pub tried: bool,
}

/// One server.
#[derive(Debug)]
pub struct Server {
    pub id: UpstreamId,
    pub entry: Entry,
    pub standing: Standing,
    pub lost: Option<Lost>,
    /// Its flows, and how many of them it has yet to answer.
    pub flows: List,
    pub openings: u32,
    pub live: u32,
    /// A place for a server that is used by none.
    pub used: bool,
    heard_at: Millis,
    longest_pause: Millis,
    refusals: u32,
    /// Datagrams that went to it since it was heard.
    unheard: u32,
    /// Datagrams in the present window: from it, and both ways.
    window: [u32; 2],
    /// The same a millisecond, smoothed.
    rate: [f64; 2],
    /// The module has it as serving.
    pub listed: bool,
}

impl Server {
    /// Whether flows may go there still.
    pub fn may_forward(&self, now: Millis, rules: &Rules) -> bool {
        match self.standing {
            Standing::Serving => true,
            Standing::Draining { since } => now < since + rules.drain_grace,
            Standing::Gone => false,
        }
    }

    /// Whether the module may give it new flows, if it has a place.
    pub fn is_offered(&self) -> bool {
        self.standing == Standing::Serving && self.lost.is_none_or(|lost| lost.offered && !lost.tried)
    }

    /// In the module's terms. Its capacity is what it can hold in flows.
    pub fn listing(&self, rules: &Rules) -> Listing {
        let lifecycle = if self.listed { Lifecycle::Serving } else { Lifecycle::Draining };
        Listing {
            upstream: self.id,
            zone: ZoneId(self.entry.zone),
            cell: CellId(0),
            // Each its own: what one reports says nothing of another.
            kind: KindId(self.id.0),
            lifecycle,
            weight: self.capacity(rules),
            started: self.entry.started,
            key: self.id.0,
        }
    }

    fn capacity(&self, rules: &Rules) -> f64 {
        self.entry.weight * rules.flows_per_weight
    }

    /// Whether it may hold one more flow: of its capacity what it has of it now, and while it is cold an equal part
    /// of that for each daemon.
    pub fn has_place(&self, now: Millis, rules: &Rules) -> bool {
        let age = self.entry.started.map_or(f64::INFINITY, |started| (now - started).max(0.0));
        let capacity = self.capacity(rules);
        let most = if age < rules.warm_up {
            let warmth = rules.cold_share + (1.0 - rules.cold_share) * age / rules.warm_up;
            let allowed = COLD_MARGIN * rules.fall_multiple * warmth * capacity;
            allowed.min(capacity) / f64::from(rules.peers.max(1))
        } else {
            capacity
        };
        // A first flow always has a place: else nothing would ever warm.
        self.flows.len() == 0 || self.flows.len() as f64 + 1.0 <= most
    }

    /// A datagram came from it. True if it counted as lost.
    pub fn heard(&mut self, now: Millis) -> bool {
        if self.heard_at.is_finite() {
            self.longest_pause = self.longest_pause.max(now - self.heard_at);
        }
        (self.heard_at, self.refusals, self.unheard) = (now, 0, 0);
        self.window[0] += 1;
        self.window[1] += 1;
        self.lost.is_some()
    }

    /// Whether anything came from it since then.
    pub fn heard_since(&self, since: Millis) -> bool {
        self.heard_at > since
    }

    /// One went to it.
    pub fn sent(&mut self) {
        self.unheard = self.unheard.saturating_add(1);
        self.window[1] += 1;
    }

    /// Its host refused one. True if it is to count as lost from now on.
    pub fn refused(&mut self, now: Millis) -> bool {
        self.refusals += 1;
        if let Some(lost) = &mut self.lost {
            match lost.tried {
                true => lost.postpone(now),
                // Those that have nowhere else to go try it all the time.
                false => lost.trial_at = lost.trial_at.max(now + lost.wait),
            }
            lost.by_silence = false;
            return false;
        }
        self.refusals >= REFUSALS
    }

    /// A window of time is over.
    pub fn close_window(&mut self, span: Millis) {
        let window = std::mem::take(&mut self.window);
        self.longest_pause *= 1.0 - (span / PAUSE_FADES).min(1.0);
        for (side, count) in window.into_iter().enumerate() {
            // Silence says nothing about the rate at which it speaks.
            if side == 0 && count == 0 {
                continue;
            }
            self.rate[side] += SMOOTH * (f64::from(count) / span - self.rate[side]);
        }
    }

    /// Whether it has been silent for longer than it ever is, while somebody still speaks to it: where viewers have
    /// left, a feed that has ended is no failure.
    pub fn is_silent(&self, now: Millis, rules: &Rules) -> bool {
        if rules.silence == Silence::Off || self.live == 0 || !self.heard_at.is_finite() {
            return false;
        }
        let silent = now - self.heard_at;
        self.unheard > 0
            && silent >= rules.silent_least
            && silent >= PAUSES * self.longest_pause
            && silent * self.rate[0] >= MISSING
    }

    /// Counts as lost from now on.
    pub fn lose(&mut self, now: Millis, by_silence: bool) {
        let wait = TRIAL_AFTER[0];
        self.lost =
            Some(Lost { by_silence, trial_at: now + wait, wait, due: false, offered: false, tried: false });
    }

    /// Answers again: as one that has just started, since nothing tells what it still holds.
    pub fn find(&mut self, now: Millis) {
        self.lost = None;
        self.entry.started = Some(now);
    }

    /// A flow that tried it got no answer.
    pub fn trial_failed(&mut self, now: Millis) {
        if let Some(lost) = &mut self.lost {
            lost.postpone(now);
        }
    }

    /// Whether a lost one may be tried from now on.
    pub fn becomes_due(&mut self, now: Millis) -> bool {
        let serving = self.standing == Standing::Serving;
        let due = |lost: &&mut Lost| serving && !lost.due && now >= lost.trial_at;
        let lost = self.lost.as_mut().filter(due);
        lost.map(|lost| lost.due = true).is_some()
    }

    /// Offers a lost one to the module, for a trial, or takes it back. Whether that changed anything.
    pub fn offer(&mut self, offered: bool) -> bool {
        let serving = self.standing == Standing::Serving;
        let lost = self.lost.as_mut().filter(|_| serving);
        lost.map(|lost| lost.offered = offered).is_some()
    }

    /// Whether a trial of it is still to come, now or later.
    pub fn is_due(&self) -> bool {
        self.lost.is_some_and(|lost| lost.due && !lost.tried)
    }

    /// Datagrams a millisecond, both ways.
    pub fn traffic(&self) -> f64 {
        self.rate[1]
    }
}

impl Lost {
    fn postpone(&mut self, now: Millis) {
        self.wait = (self.wait * 2.0).min(TRIAL_AFTER[1]);
        self.trial_at = now + self.wait;
        (self.due, self.offered, self.tried) = (false, false, false);
    }
}

/// All servers.
#[derive(Debug, Default)]
pub struct Servers {
    pub all: Vec<Server>,
    free: Vec<u32>,
    by_name: HashMap<String, u32>,
    by_id: HashMap<UpstreamId, u32>,
    last_id: u64,
}

impl Servers {
    pub fn by_id(&self, id: UpstreamId) -> Option<u32> {
        self.by_id.get(&id).copied()
    }

    pub fn by_name(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    /// The places of those that are known.
    pub fn places(&self) -> impl Iterator<Item = u32> + use<> {
        let used: Vec<u32> = (0..self.all.len() as u32).filter(|at| self.all[*at as usize].used).collect();
        used.into_iter()
    }

    /// How many are listed as serving.
    pub fn serving(&self) -> usize {
        self.all.iter().filter(|server| server.used && server.standing == Standing::Serving).count()
    }

    /// How many count as lost by silence alone.
    pub fn silent(&self) -> usize {
        let silent = |server: &&Server| server.used && server.lost.is_some_and(|lost| lost.by_silence);
        self.all.iter().filter(silent).count()
    }

    /// A server that is not known yet; `None` if there are too many.
    pub fn add(&mut self, entry: Entry) -> Option<u32> {
        if self.by_name.len() >= MOST {
            return None;
        }
        self.last_id += 1;
        let id = UpstreamId(self.last_id);
        let name = entry.name.clone();
        let server = Server {
            id,
            entry,
            standing: Standing::Serving,
            lost: None,
            flows: List::EMPTY,
            openings: 0,
            live: 0,
            used: true,
            heard_at: f64::NEG_INFINITY,
            longest_pause: 0.0,
            refusals: 0,
            unheard: 0,
            window: [0; 2],
            rate: [0.0; 2],
            listed: false,
        };
        let at = match self.free.pop() {
            Some(at) => {
                self.all[at as usize] = server;
                at
            }
            None => {
                self.all.push(server);
                (self.all.len() - 1) as u32
            }
        };
        self.by_name.insert(name, at);
        self.by_id.insert(id, at);
        Some(at)
    }

    /// A server is another process from now on, at another address or under the same: what was learnt of the one
    /// before holds no more.
    pub fn renew(&mut self, at: u32) {
        let server = &mut self.all[at as usize];
        (server.lost, server.refusals, server.longest_pause) = (None, 0, 0.0);
        (server.heard_at, server.rate, server.window) = (f64::NEG_INFINITY, [0.0; 2], [0; 2]);
    }

    /// Forgets one that is gone and has no flow left.
    pub fn forget_gone(&mut self, at: u32) {
        if at == NIL {
            return;
        }
        let server = &mut self.all[at as usize];
        if server.used && server.standing == Standing::Gone && server.flows.len() == 0 {
            server.used = false;
            self.by_name.remove(&server.entry.name);
            self.by_id.remove(&server.id);
            self.free.push(at);
        }
    }
}
