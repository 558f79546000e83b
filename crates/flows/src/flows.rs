//! The core: every datagram's fate, every flow's life. Read on in the order a datagram meets it: a known flow, a new
//! one and its place, the choice of a server, answers; then lost servers, moves, time, and what operators ask.

use std::net::SocketAddr;

use ahash::RandomState;
use oorandom::Rand64;
use sagemast_decide::api as module;
use sagemast_decide::api::{
    AttemptNo, ClassId, FinishedAttempt, ListUpdate, Outcome, Report, RequestId, TenantId,
};
use sagemast_decide::balancer::Balancer;

use crate::api::*;
use crate::counts::Counts;
use crate::key::{Key, Prefix};
use crate::list::{Chain, List, NIL};
use crate::rules::Rules;
use crate::servers::{Server, Servers, Standing};
use crate::snapshot::{Kept, KeptFlow, Snapshot};
use crate::sources::{Bucket, Sources};
use crate::table::{Flow, Move, Opening, Table};
use crate::wheel::{TICK, Wheel};

/// The answer to a flow's first datagram has its full worth within this.
const OPEN_AIM: Millis = 500.0;
/// Servers that are tried for a flow, at most.
const ATTEMPTS: u32 = 3;
/// Loads are told to the module this often, so that none is stale there (1 s).
const REPORT_EVERY: Millis = 250.0;
/// A move that found no server is tried again after this.
const MOVE_AGAIN: Millis = 200.0;
/// Longer steps of the clock are no time that peers had: the process stood still, and what they sent waits unread.
const STALL: Millis = 500.0;
/// After such a step nothing expires or counts as silent for so long.
const STALL_GRACE: Millis = 250.0;
/// Where servers answer nothing, a flow lives once it has sent so many datagrams.
pub const ONE_WAY_PROOF: u64 = 8;
/// What a live flow saves up of datagrams, in seconds of its rate.
const FLOW_SAVED_S: f64 = 0.5;

/// The state of one listener.
#[derive(Debug)]
pub struct Flows {
    rules: Rules,
    table: Table,
    wheel: Wheel,
    sources: Sources,
    servers: Servers,
    module: Balancer,
    rng: Rand64,
    now: Millis,
    /// Nothing expires before then.
    quiet_until: Millis,
    next_report: Millis,
    last_window: Millis,
    next_request: u64,
    tentative: usize,
    /// Flows that all sources may begin.
    all_new: Bucket,
    /// Datagrams a millisecond of all servers.
    traffic: f64,
    /// Lost servers that a new flow may try.
    trials: Vec<u32>,
    closing: bool,
    counts: Counts,
    actions: Vec<module::Action>,
}

/// A server as operators are shown it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerView {
    /// Its name.
    pub name: String,
    /// Where it takes datagrams.
    pub dial: SocketAddr,
    /// `serving`, `draining`, `gone` or `lost`.
    pub state: &'static str,
    /// Its flows, and how many it has answered.
    pub flows: [usize; 2],
    /// Datagrams a second, both ways.
    pub per_s: f64,
}

/// A flow as operators are shown it.
#[derive(Debug, Clone, PartialEq)]
pub struct FlowView {
    /// Which.
    pub id: FlowId,
    /// Where its client is.
    pub client: SocketAddr,
    /// Its server's name.
    pub server: String,
    /// Whether a server has answered.
    pub live: bool,
    /// How long it has been there, and since its client and its server were heard.
    pub ages: [Millis; 3],
    /// Datagrams from and to its client.
    pub datagrams: [u64; 2],
}

fn settings(rules: &Rules) -> module::Settings {
    module::Settings {
        classes: vec![module::Class {
            aim: OPEN_AIM,
            worth: 1.0,
            late_worth: 0.0,
            // A datagram is never sent again: a further attempt is made of the next one.
            effect: module::Effect::Idempotent,
        }],
        tenants: Vec::new(),
        over_quota_worth: 0.0,
        zone: module::ZoneId(rules.zone),
        sidecars: rules.peers,
        // Flows stay where they are: all servers are known.
        identity: module::Identity::Anonymous,
        cross_zone_cost: rules.crossing_fee,
        probe_cost: 0.0,
        attempt_cost: 0.0,
        limits: module::Limits {
            max_attempts: ATTEMPTS,
            allow_parallel_attempts: false,
            probes: false,
            cancel: false,
            max_retry_after: 0.0,
            tick: 0.0,
        },
        slow_start: module::SlowStartLimits {
            initial_capacity_share: rules.cold_share,
            warm_up: rules.warm_up,
            overload_multiple: rules.fall_multiple,
            overload_window: 1_500.0,
        },
        discovery: module::Discovery::Pushed,
    }
}

impl Flows {
    /// A listener without servers. The same seed and events give the same actions.
    pub fn new(rules: Rules, seed: u64, now: Millis) -> Flows {
        let mut rng = Rand64::new(u128::from(seed));
        // Keys come from outsiders: their hashes follow the seed.
        let mut hashing =
            || RandomState::with_seeds(rng.rand_u64(), rng.rand_u64(), rng.rand_u64(), rng.rand_u64());
        let (table, sources) = (Table::new(hashing()), Sources::new(rules.sources, hashing(), &rules, now));
        Flows {
            table,
            wheel: Wheel::new(now),
            sources,
            servers: Servers::default(),
            module: Balancer::new(settings(&rules), rng.rand_u64()),
            rng,
            now,
            quiet_until: now,
            next_report: now,
            last_window: now,
            next_request: 0,
            tentative: 0,
            all_new: Bucket::full(rules.all_new_per_s.max(1.0), now),
            traffic: 0.0,
            trials: Vec::new(),
            closing: false,
            counts: Counts::default(),
            actions: Vec::new(),
            rules,
        }
    }

    fn pass(&mut self, now: Millis) -> Millis {
        if now > self.now {
            if now - self.now > STALL {
                self.quiet_until = now + STALL_GRACE;
            }
            self.now = now;
        }
        self.now
    }

    // --- Datagrams of clients ----------------------------------------------------------------

    /// A datagram from a client. What is to be done before it goes on is appended.
    pub fn from_client(
        &mut self,
        now: Millis,
        from: SocketAddr,
        payload: &[u8],
        out: &mut Vec<Action>,
    ) -> Fate {
        let now = self.pass(now);
        self.counts.received[0] += 1;
        self.counts.received_bytes[0] += payload.len() as u64;
        let key = Key::of(&self.rules, from, payload);
        let fate = match self.table.find(&key) {
            Some(at) if self.is_at(at, from, now) => self.known(now, at, payload.len(), out),
            Some(_) => {
                // Who claims an id that is in use elsewhere gets a flow of its own, by its address.
                self.counts.claimed += 1;
                let key = Key::Address(from);
                match self.table.find(&key) {
                    Some(at) => self.known(now, at, payload.len(), out),
                    None => self.begin(now, key, from, payload.len(), out),
                }
            }
            None => self.begin(now, key, from, payload.len(), out),
        };
        match fate {
            Fate::Dropped(why) => self.counts.drop(why),
            _ => {
                self.counts.forwarded[0] += 1;
                self.counts.forwarded_bytes[0] += payload.len() as u64;
            }
        }
        fate
    }

    /// Whether a datagram from there may belong to a known flow. An id that was silent at its old address may come
    /// from a new one, which then has to show anew that it hears.
    fn is_at(&mut self, at: u32, from: SocketAddr, now: Millis) -> bool {
        let flow = &mut self.table.flows[at as usize];
        if flow.client == from {
            return true;
        }
        if now - flow.heard_client < self.rules.rebind_after {
            return false;
        }
        (flow.client, flow.proven, flow.unproven) = (from, false, [0; 2]);
        flow.heard_server = f64::NEG_INFINITY;
        self.counts.rebound += 1;
        true
    }

    fn known(&mut self, now: Millis, at: u32, bytes: usize, out: &mut Vec<Action>) -> Fate {
        let flow = &mut self.table.flows[at as usize];
        if flow.live {
            let (per_s, burst) = (self.rules.flow_per_s, (self.rules.flow_per_s * FLOW_SAVED_S).max(1.0));
            if !flow.bucket.take(now, per_s, burst) {
                return Fate::Dropped(Drop::FlowRate);
            }
        } else if !self.sources.may_send(flow.source, &self.rules, now) {
            return Fate::Dropped(Drop::SourceRate);
        }
        flow.heard_client = now;
        flow.datagrams[0] += 1;
        if !flow.proven {
            flow.unproven[0] += bytes as u64;
            flow.proven = flow.heard_server.is_finite();
        }
        let may =
            |server: u32| server != NIL && self.servers.all[server as usize].may_forward(now, &self.rules);
        if !may(flow.server) {
            // It waits no longer, whenever its turn was to come.
            flow.moving.get_or_insert(Move { at: now, cause: Cause::Gone }).at = now;
        }
        if flow.moving.is_some_and(|to_come| now >= to_come.at) {
            self.move_now(now, at, out);
        }
        if self.rules.one_way {
            self.prove_one_way(now, at, out);
        }
        let flow = &mut self.table.flows[at as usize];
        if flow.server == NIL || !self.servers.all[flow.server as usize].may_forward(now, &self.rules) {
            return Fate::Dropped(Drop::Stranded);
        }
        self.servers.all[flow.server as usize].sent();
        Fate::ToServer(self.table.id(at))
    }

    fn begin(
        &mut self,
        now: Millis,
        key: Key,
        from: SocketAddr,
        bytes: usize,
        out: &mut Vec<Action>,
    ) -> Fate {
        if self.closing {
            return Fate::Dropped(Drop::Closing);
        }
        let source = self.sources.enter(Prefix::of(&self.rules, from.ip()), &self.rules, now);
        if !self.sources.may_send(source, &self.rules, now) {
            return Fate::Dropped(Drop::SourceRate);
        }
        if !self.sources.may_begin(source, &self.rules, now) {
            return Fate::Dropped(Drop::SourceNew);
        }
        // Half of what all may begin is kept for sources that have no unanswered flow.
        let (all, kept) = (self.rules.all_new_per_s.max(2.0), self.sources.tentative(source) > 0);
        let kept = if kept { all / 2.0 } else { 0.0 };
        if !self.all_new.take_above(kept, now, self.rules.all_new_per_s, all) {
            return Fate::Dropped(Drop::NewRate);
        }
        if self.tentative >= self.rules.tentative {
            // The place is had of the source with the most, unless the newcomer would then have as many.
            match self.sources.largest() {
                Some((_, oldest, count)) if count > self.sources.tentative(source) + 1 => {
                    self.end(now, oldest, End::Pushed, out);
                }
                _ => return Fate::Dropped(Drop::SourceShare),
            }
        }
        if self.table.len() >= self.rules.flows {
            return Fate::Dropped(Drop::TableFull);
        }
        // Lost ones are offered to new flows alone: a feed that has just lost one server is no trial of another.
        self.offer_trials(now, true);
        let chosen = self.choose(now, out);
        self.offer_trials(now, false);
        let Some((server, opening)) = chosen else { return Fate::Dropped(Drop::NoServer) };
        let bucket = Bucket::full(self.rules.flow_per_s * FLOW_SAVED_S, now);
        let at = self.table.insert(key, from, source, now, bucket);
        let flow = &mut self.table.flows[at as usize];
        (flow.unproven[0], flow.datagrams[0]) = (bytes as u64, 1);
        self.sources.begin(&mut self.table.flows, source, at);
        self.tentative += 1;
        self.counts.begun += 1;
        self.settle_at(at, server, Some(opening));
        let to = self.servers.all[server as usize].entry.dial;
        out.push(Action::Open { flow: self.table.id(at), to, cause: Cause::New, port: None });
        self.servers.all[server as usize].sent();
        Fate::ToServer(self.table.id(at))
    }

    /// Where servers answer nothing, what a flow has sent has to do.
    fn prove_one_way(&mut self, now: Millis, at: u32, out: &mut Vec<Action>) {
        let flow = &self.table.flows[at as usize];
        let old = now - flow.begun >= self.rules.unanswered / 2.0;
        if !flow.live && old && flow.datagrams[0] >= ONE_WAY_PROOF {
            self.finish(now, at, Outcome::Ok, out);
            self.promote(at);
        }
    }

    // --- The choice of a server --------------------------------------------------------------

    /// Offers the lost servers whose trial is due to the module, or takes them back.
    fn offer_trials(&mut self, now: Millis, offered: bool) {
        if self.trials.is_empty() {
            return;
        }
        let due = |at: &u32| self.servers.all[*at as usize].used && self.servers.all[*at as usize].is_due();
        let trials: Vec<u32> = self.trials.iter().copied().filter(due).collect();
        for at in &trials {
            if self.servers.all[*at as usize].offer(offered) {
                self.relist(now, *at);
            }
        }
        self.trials = trials;
    }

    /// Has the module choose a server for a flow.
    fn choose(&mut self, now: Millis, out: &mut Vec<Action>) -> Option<(u32, Opening)> {
        self.next_request += 1;
        let request = self.next_request;
        let time_left = self.rules.unanswered;
        let arrived = module::Event::RequestArrived {
            request: RequestId(request),
            class: ClassId(0),
            tenant: TenantId(0),
            time_left,
        };
        let mut actions = std::mem::take(&mut self.actions);
        self.module.handle(now, arrived, &mut actions);
        let chosen = self.follow(now, (request, 0), &mut actions, out);
        self.actions = actions;
        chosen
    }

    /// Carries out what the module says of a request, up to a send that the server has a place for.
    fn follow(
        &mut self,
        now: Millis,
        (request, mut attempt): (u64, u32),
        actions: &mut Vec<module::Action>,
        out: &mut Vec<Action>,
    ) -> Option<(u32, Opening)> {
        loop {
            let mut sent = None;
            for action in actions.drain(..) {
                match action {
                    module::Action::Send { upstream, timeout, .. } => sent = Some((upstream, timeout)),
                    module::Action::Log(text) => out.push(Action::Log(text)),
                    _ => {}
                }
            }
            let (upstream, timeout) = sent?;
            let place = self.servers.by_id(upstream);
            let server = place.map(|at| &mut self.servers.all[at as usize]);
            if let Some((at, server)) = place.zip(server).filter(|(_, server)| server.listed) {
                if let Some(lost) = &mut server.lost {
                    lost.tried = true;
                    self.relist(now, at);
                }
                return Some((at, Opening { request, attempt, since: now, timeout }));
            }
            let end = FinishedAttempt {
                request: RequestId(request),
                attempt: AttemptNo(attempt),
                upstream,
                outcome: Outcome::Full,
                latency: 0.0,
                client_answered: false,
                report: None,
            };
            self.module.handle(now, module::Event::AttemptFinished(end), actions);
            attempt += 1;
        }
    }

    /// Enters a flow at its server.
    fn settle_at(&mut self, at: u32, server: u32, opening: Option<Opening>) {
        let flow = &mut self.table.flows[at as usize];
        (flow.server, flow.opening, flow.moving) = (server, opening, None);
        let live = flow.live;
        let to = &mut self.servers.all[server as usize];
        to.openings += u32::from(opening.is_some());
        to.live += u32::from(live);
        to.flows.push(&mut self.table.flows, Chain::Server, at);
        self.look_at_place(self.now, server);
        self.look_again(at);
    }

    /// Takes it out there.
    fn unsettle(&mut self, at: u32) {
        let flow = &mut self.table.flows[at as usize];
        let (server, live) = (std::mem::replace(&mut flow.server, NIL), flow.live);
        if server != NIL {
            let from = &mut self.servers.all[server as usize];
            from.live -= u32::from(live);
            from.flows.remove(&mut self.table.flows, Chain::Server, at);
            self.look_at_place(self.now, server);
            self.servers.forget_gone(server);
        }
    }

    /// Tells the module how an opening came out. What it says then is for the caller to follow, if it is not over.
    fn finish(
        &mut self,
        now: Millis,
        at: u32,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) -> Option<(u32, Opening)> {
        let flow = &mut self.table.flows[at as usize];
        let opening = flow.opening.take()?;
        let server = &mut self.servers.all[flow.server as usize];
        server.openings -= 1;
        let again = matches!(outcome, Outcome::TimedOut | Outcome::Unreachable);
        let upstream = server.id;
        let report = (outcome == Outcome::Ok).then(|| self.load(self.table.flows[at as usize].server));
        let end = FinishedAttempt {
            request: RequestId(opening.request),
            attempt: AttemptNo(opening.attempt),
            upstream,
            outcome,
            latency: (now - opening.since).max(0.001),
            client_answered: !again,
            report,
        };
        let mut actions = std::mem::take(&mut self.actions);
        self.module.handle(now, module::Event::AttemptFinished(end), &mut actions);
        let next = match again {
            true => self.follow(now, (opening.request, opening.attempt + 1), &mut actions, out),
            false => None,
        };
        actions.clear();
        self.actions = actions;
        next
    }

    // --- Datagrams of servers ----------------------------------------------------------------

    /// A datagram that came in by a flow's socket.
    pub fn from_server(&mut self, now: Millis, id: FlowId, bytes: usize, out: &mut Vec<Action>) -> Fate {
        let now = self.pass(now);
        self.counts.received[1] += 1;
        self.counts.received_bytes[1] += bytes as u64;
        let fate = match self.table.place(id) {
            Some(at) => self.answer(now, at, bytes, out),
            None => Fate::Dropped(Drop::Unknown),
        };
        match fate {
            Fate::Dropped(why) => self.counts.drop(why),
            _ => {
                self.counts.forwarded[1] += 1;
                self.counts.forwarded_bytes[1] += bytes as u64;
            }
        }
        fate
    }

    fn answer(&mut self, now: Millis, at: u32, bytes: usize, out: &mut Vec<Action>) -> Fate {
        let flow = &mut self.table.flows[at as usize];
        flow.heard_server = now;
        let (server, opening) = (flow.server, flow.opening.is_some());
        if server != NIL && self.servers.all[server as usize].heard(now) {
            self.found(now, server, out);
        }
        if opening {
            self.finish(now, at, Outcome::Ok, out);
            self.promote(at);
        }
        let flow = &mut self.table.flows[at as usize];
        if !flow.proven {
            let sum = flow.unproven[1] + bytes as u64;
            if sum as f64 > self.rules.amplification * flow.unproven[0] as f64 {
                return Fate::Dropped(Drop::Amplification);
            }
            flow.unproven[1] = sum;
        }
        flow.datagrams[1] += 1;
        Fate::ToClient(flow.client)
    }

    /// A flow that was answered has a place among those that live, if there is one.
    fn promote(&mut self, at: u32) {
        let live = self.table.len() - self.tentative;
        let flow = &mut self.table.flows[at as usize];
        if flow.live || live >= self.rules.flows - self.rules.tentative {
            return;
        }
        flow.live = true;
        let (source, server) = (flow.source, flow.server);
        self.sources.promote(&mut self.table.flows, source, at);
        self.tentative -= 1;
        self.counts.answered += 1;
        if server != NIL {
            self.servers.all[server as usize].live += 1;
        }
        self.look_again(at);
    }

    // --- Lost servers ------------------------------------------------------------------------

    /// The host of a flow's server refused a datagram (ICMP port unreachable).
    pub fn refused(&mut self, now: Millis, id: FlowId, out: &mut Vec<Action>) {
        let now = self.pass(now);
        let Some(at) = self.table.place(id) else { return };
        let server = self.table.flows[at as usize].server;
        if server == NIL {
            return;
        }
        let was_tried = self.servers.all[server as usize].lost.is_some_and(|lost| lost.tried);
        if self.servers.all[server as usize].refused(now) {
            self.lose(now, server, false, out);
        } else if was_tried {
            self.relist(now, server);
        }
        // Its other flows wait for their turn; this one knows.
        if self.table.flows[at as usize].opening.is_some() {
            self.unanswered(now, at, Outcome::Unreachable, out);
        }
    }

    fn lose(&mut self, now: Millis, at: u32, by_silence: bool, out: &mut Vec<Action>) {
        self.servers.all[at as usize].lose(now, by_silence);
        self.counts.lost[usize::from(by_silence)] += 1;
        let why = if by_silence { "has fallen silent" } else { "is refused by its host" };
        let Server { entry, flows, .. } = &self.servers.all[at as usize];
        out.push(Action::Log(format!("server {} {why}: its {} flows move", entry.name, flows.len())));
        self.relist(now, at);
        self.move_all(now, at, now, Cause::Lost);
    }

    fn found(&mut self, now: Millis, at: u32, out: &mut Vec<Action>) {
        self.servers.all[at as usize].find(now);
        self.counts.back += 1;
        out.push(Action::Log(format!("server {} answers again", self.servers.all[at as usize].entry.name)));
        self.relist(now, at);
        // Who has not gone yet stays.
        let mut next = self.servers.all[at as usize].flows.first();
        while let Some(flow) = next {
            next = List::after(&self.table.flows, Chain::Server, flow);
            self.table.flows[flow as usize].moving = None;
        }
    }

    /// A server may have become full, or have a place again: then the module is told.
    fn look_at_place(&mut self, now: Millis, at: u32) {
        let server = &self.servers.all[at as usize];
        let offered = server.used && server.is_offered() && server.has_place(now, &self.rules);
        if server.used && offered != server.listed {
            self.relist(now, at);
        }
    }

    /// Tells the module how a server stands.
    fn relist(&mut self, now: Millis, at: u32) {
        let server = &mut self.servers.all[at as usize];
        server.listed = server.is_offered() && server.has_place(now, &self.rules);
        let listing = server.listing(&self.rules);
        let mut actions = Vec::new();
        let news = module::Event::ListReceived(ListUpdate::Changed(vec![listing]));
        self.module.handle(now, news, &mut actions);
        self.tell_load(now, at);
    }

    // --- Moves -------------------------------------------------------------------------------

    /// All flows of a server are to move, each at a time of its own.
    fn move_all(&mut self, now: Millis, server: u32, from: Millis, cause: Cause) {
        let mut next = self.servers.all[server as usize].flows.first();
        while let Some(at) = next {
            next = List::after(&self.table.flows, Chain::Server, at);
            let when = from + self.rules.move_over * self.rng.rand_float();
            self.table.flows[at as usize].moving = Some(Move { at: when.max(now), cause });
            self.look_again(at);
        }
    }

    /// Moves a flow whose time has come. Where no server takes it, it stays and tries again soon. Without a first
    /// datagram of ours a server cannot know of a flow: then the flow's own next one takes it there.
    fn move_now(&mut self, now: Millis, at: u32, out: &mut Vec<Action>) -> bool {
        let Some(Move { cause, .. }) = self.table.flows[at as usize].moving else { return false };
        // A server that did not answer yet and was left is not heard of any more.
        self.finish(now, at, Outcome::Cancelled, out);
        match self.choose(now, out) {
            Some((server, opening)) => {
                self.go_to(at, server, Some(opening), cause, out);
                true
            }
            None => {
                self.table.flows[at as usize].moving = Some(Move { at: now + MOVE_AGAIN, cause });
                self.look_again(at);
                false
            }
        }
    }

    fn go_to(&mut self, at: u32, server: u32, opening: Option<Opening>, cause: Cause, out: &mut Vec<Action>) {
        self.unsettle(at);
        self.settle_at(at, server, opening);
        self.counts.moves(cause);
        let to = self.servers.all[server as usize].entry.dial;
        out.push(Action::Open { flow: self.table.id(at), to, cause, port: None });
    }

    /// An opening was not answered: the module says where to next, or the flow ends. One that lived stays.
    fn unanswered(&mut self, now: Millis, at: u32, outcome: Outcome, out: &mut Vec<Action>) {
        let flow = &self.table.flows[at as usize];
        let (Some(opening), server) = (flow.opening, flow.server) else { return };
        let to = &mut self.servers.all[server as usize];
        let heard = self.table.flows[at as usize].heard_server > opening.since;
        // One that answers others is not to blame for what a source sent: else a flood of nonsense would have every
        // server taken out.
        let blamed = !heard && (outcome == Outcome::Unreachable || !to.heard_since(opening.since));
        if to.lost.is_some_and(|lost| lost.tried) {
            to.trial_failed(now);
            self.relist(now, server);
        }
        let outcome = if blamed { outcome } else { Outcome::Cancelled };
        match self.finish(now, at, outcome, out) {
            Some((server, opening)) => self.go_to(at, server, Some(opening), Cause::Unanswered, out),
            None => self.look_again(at),
        }
    }

    // --- Time --------------------------------------------------------------------------------

    /// Sets the timer of a flow to the first thing that may happen to it.
    fn look_again(&mut self, at: u32) {
        let flow = &self.table.flows[at as usize];
        let mut due = self.ends_at(flow);
        if let Some(opening) = flow.opening {
            due = due.min(opening.since + opening.timeout);
        }
        if let Some(to_come) = flow.moving {
            // Without a first datagram of ours a move waits for the flow's own.
            let when = if self.rules.hello.is_some() { to_come.at } else { f64::INFINITY };
            due = due.min(when);
        }
        self.wheel.set(&mut self.table.flows, at, due.max(self.now));
    }

    /// When a flow ends if nothing comes any more.
    fn ends_at(&self, flow: &Flow) -> Millis {
        if !flow.live {
            return flow.begun + self.rules.unanswered;
        }
        let last = flow.heard_client.max(flow.heard_server);
        (last + self.rules.idle).min(flow.heard_client + self.rules.client_idle)
    }

    /// Lets time pass: ends idle flows, moves those whose time has come, notices silent servers, tells loads.
    pub fn advance(&mut self, now: Millis, out: &mut Vec<Action>) {
        let now = self.pass(now);
        if now >= self.quiet_until {
            self.look_at_servers(now, out);
            while let Some(at) = self.wheel.next_due(&mut self.table.flows, now) {
                self.look_at(now, at, out);
            }
        }
        if now >= self.next_report {
            self.next_report = now + REPORT_EVERY;
            for at in self.servers.places() {
                self.look_at_place(now, at);
                self.tell_load(now, at);
            }
        }
    }

    /// When to be called again at the latest.
    pub fn next_wake(&self) -> Millis {
        let timers = self.wheel.next_wake().unwrap_or(f64::INFINITY);
        let servers = if self.servers.all.is_empty() { f64::INFINITY } else { self.last_window + 2.0 * TICK };
        timers.min(servers).max(self.quiet_until)
    }

    fn look_at(&mut self, now: Millis, at: u32, out: &mut Vec<Action>) {
        let flow = &self.table.flows[at as usize];
        if now >= self.ends_at(flow) {
            let end = if flow.live { End::Idle } else { End::Unanswered };
            return self.end(now, at, end, out);
        }
        if flow.opening.is_some_and(|opening| now >= opening.since + opening.timeout) {
            return self.unanswered(now, at, Outcome::TimedOut, out);
        }
        if self.rules.hello.is_some() && flow.moving.is_some_and(|to_come| now >= to_come.at) {
            self.move_now(now, at, out);
            return;
        }
        self.look_again(at);
    }

    fn look_at_servers(&mut self, now: Millis, out: &mut Vec<Action>) {
        let span = now - self.last_window;
        if span < 2.0 * TICK {
            return;
        }
        self.last_window = now;
        self.traffic = self.servers.all.iter().filter(|server| server.used).map(Server::traffic).sum();
        // Never the only one: nothing would be won.
        let serving = self.servers.serving();
        let most = ((serving as f64 * self.rules.silent_most) as usize).clamp(1, serving.max(1))
            * usize::from(serving > 1);
        let mut silent = self.servers.silent();
        for at in self.servers.places() {
            let server = &mut self.servers.all[at as usize];
            server.close_window(span);
            let serving = server.standing == Standing::Serving;
            if serving && server.lost.is_none() && server.is_silent(now, &self.rules) && silent < most {
                silent += 1;
                self.lose(now, at, true, out);
            } else if server.becomes_due(now) {
                self.trials.push(at);
            } else if let Standing::Draining { since } = server.standing
                && now >= since + (self.rules.drain_grace - self.rules.move_over).max(0.0)
                && let Some(first) = server.flows.first()
                && self.table.flows[first as usize].moving.is_none()
            {
                self.move_all(now, at, now, Cause::Drained);
            }
        }
    }

    fn end(&mut self, now: Millis, at: u32, why: End, out: &mut Vec<Action>) {
        let flow = &self.table.flows[at as usize];
        let (live, source, opening) = (flow.live, flow.source, flow.opening);
        let server = flow.server;
        if opening.is_some() {
            let tried = self.servers.all[server as usize].lost.is_some_and(|lost| lost.tried);
            let silent = opening.is_some_and(|o| !self.servers.all[server as usize].heard_since(o.since));
            let outcome = match why {
                End::Unanswered if silent => Outcome::TimedOut,
                _ => Outcome::Cancelled,
            };
            // Its time is over: where the module would try next does not matter.
            if let Some((next, opening)) = self.finish(now, at, outcome, out) {
                self.decline(now, next, opening);
            }
            if tried {
                self.servers.all[server as usize].trial_failed(now);
                self.relist(now, server);
            }
        }
        self.unsettle(at);
        self.wheel.unset(&mut self.table.flows, at);
        match live {
            true => self.sources.end(source),
            false => {
                self.sources.promote(&mut self.table.flows, source, at);
                self.sources.end(source);
                self.tentative -= 1;
            }
        }
        out.push(Action::Close { flow: self.table.id(at), end: why });
        self.table.remove(at);
        self.counts.end(why);
    }

    /// A choice of the module that comes too late: nothing goes there.
    fn decline(&mut self, now: Millis, server: u32, opening: Opening) {
        let to = &mut self.servers.all[server as usize];
        let end = FinishedAttempt {
            request: RequestId(opening.request),
            attempt: AttemptNo(opening.attempt),
            upstream: to.id,
            outcome: Outcome::NotSent,
            latency: 0.0,
            client_answered: true,
            report: None,
        };
        if to.lost.is_some_and(|lost| lost.tried) {
            to.trial_failed(now);
            self.relist(now, server);
        }
        let mut actions = Vec::new();
        self.module.handle(now, module::Event::AttemptFinished(end), &mut actions);
    }

    // --- Servers -----------------------------------------------------------------------------

    /// News of the servers.
    pub fn news(&mut self, now: Millis, news: News, out: &mut Vec<Action>) {
        let now = self.pass(now);
        let (entries, gone) = match news {
            News::Complete(entries) => {
                let named: std::collections::HashSet<&str> =
                    entries.iter().map(|entry| entry.name.as_str()).collect();
                let missing =
                    self.servers.places().map(|at| self.servers.all[at as usize].entry.name.clone());
                let gone = missing.filter(|name| !named.contains(name.as_str())).collect();
                (entries, gone)
            }
            News::Changed(entries, gone) => (entries, gone),
        };
        for entry in entries {
            self.listed(now, entry, out);
        }
        for at in gone.iter().filter_map(|name: &String| self.servers.by_name(name)).collect::<Vec<_>>() {
            self.servers.all[at as usize].standing = Standing::Gone;
            self.relist(now, at);
            self.move_all(now, at, now, Cause::Gone);
            self.servers.forget_gone(at);
        }
    }

    fn listed(&mut self, now: Millis, entry: Entry, out: &mut Vec<Action>) {
        let serving = entry.serving;
        let at = match self.servers.by_name(&entry.name) {
            Some(at) => {
                let before = &self.servers.all[at as usize].entry;
                let elsewhere = before.dial != entry.dial;
                let anew = entry.started > before.started && entry.started.is_some();
                // What was learnt of a start, by its coming back, stands until a later one is told.
                let started = if anew { entry.started } else { before.started };
                self.servers.all[at as usize].entry = Entry { started, ..entry };
                if elsewhere || anew {
                    self.servers.renew(at);
                }
                if elsewhere {
                    self.move_all(now, at, now, Cause::Gone);
                }
                at
            }
            None if !serving => return,
            None => match self.servers.add(entry) {
                Some(at) => at,
                None => return out.push(Action::Log("too many servers: some are not used".to_owned())),
            },
        };
        let server = &mut self.servers.all[at as usize];
        server.standing = match (serving, server.standing) {
            (true, _) => Standing::Serving,
            (false, Standing::Draining { since }) => Standing::Draining { since },
            (false, _) => Standing::Draining { since: now },
        };
        self.relist(now, at);
    }

    /// The load of a server as the module is told it: its flows, weighed by half with what they carry.
    fn load(&self, at: u32) -> Report {
        let server = &self.servers.all[at as usize];
        let flows = server.flows.len() as f64;
        let (all, traffic) = (self.table.len() as f64, self.traffic);
        let load = if traffic > 0.0 && flows > 0.0 {
            0.5 * flows + 0.5 * server.traffic() / traffic * all
        } else {
            flows
        };
        // What waits for its first answer is surely there.
        Report { in_flight: Some(load.max(f64::from(server.openings))), ..Report::default() }
    }

    fn tell_load(&mut self, now: Millis, at: u32) {
        let server = &self.servers.all[at as usize];
        if !server.used || !server.listed {
            return;
        }
        let (upstream, report) = (server.id, Some(self.load(at)));
        let mut actions = std::mem::take(&mut self.actions);
        self.module.handle(
            now,
            module::Event::ProbeFinished { upstream, answered: true, report },
            &mut actions,
        );
        actions.clear();
        self.actions = actions;
    }

    // --- The shell and the operator ----------------------------------------------------------

    /// A datagram that had a fate could not be sent after all: `side` is 0 to a server, 1 to a client.
    pub fn unsent(&mut self, side: usize, bytes: usize, why: Drop) {
        self.counts.forwarded[side] -= 1;
        self.counts.forwarded_bytes[side] -= bytes as u64;
        self.counts.drop(why);
    }

    /// A flow has no socket and can have none: it ends.
    pub fn no_socket(&mut self, now: Millis, id: FlowId, out: &mut Vec<Action>) {
        let now = self.pass(now);
        if let Some(at) = self.table.place(id) {
            self.end(now, at, End::NoSocket, out);
        }
    }

    /// Ends a flow. False if there is none.
    pub fn end_flow(&mut self, now: Millis, id: FlowId, out: &mut Vec<Action>) -> bool {
        let now = self.pass(now);
        let place = self.table.place(id);
        place.map(|at| self.end(now, at, End::Told, out)).is_some()
    }

    /// Moves a flow: to a server, or to whom the module chooses. An error says why not.
    pub fn move_flow(
        &mut self,
        now: Millis,
        id: FlowId,
        to: Option<&str>,
        out: &mut Vec<Action>,
    ) -> Result<(), String> {
        let now = self.pass(now);
        let at = self.table.place(id).ok_or("there is no such flow")?;
        match to {
            None => {
                self.table.flows[at as usize].moving = Some(Move { at: now, cause: Cause::Told });
                if self.move_now(now, at, out) { Ok(()) } else { Err("no server takes it".to_owned()) }
            }
            Some(name) => {
                let server = self.servers.by_name(name).ok_or("there is no such server")?;
                let named = &self.servers.all[server as usize];
                if !named.is_offered() || named.lost.is_some() || !named.has_place(now, &self.rules) {
                    return Err(format!("{name} takes no flow now"));
                }
                self.finish(now, at, Outcome::Cancelled, out);
                self.go_to(at, server, None, Cause::Told, out);
                Ok(())
            }
        }
    }

    /// Has all flows of a server move. How many they are, if it is known.
    pub fn move_server(&mut self, now: Millis, name: &str) -> Option<usize> {
        let now = self.pass(now);
        let at = self.servers.by_name(name)?;
        self.move_all(now, at, now, Cause::Told);
        Some(self.servers.all[at as usize].flows.len())
    }

    /// Takes no new flow from now on.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// Goes by other rules from now on. Flows beyond new limits stay until they end.
    pub fn set_rules(&mut self, now: Millis, rules: Rules) {
        let now = self.pass(now);
        let peers = module::Event::SidecarCountChanged(rules.peers);
        self.rules = rules;
        let mut actions = Vec::new();
        self.module.handle(now, peers, &mut actions);
        for at in self.servers.places() {
            self.relist(now, at);
        }
        for at in self.table.all().map(|(at, _)| at).collect::<Vec<_>>() {
            self.look_again(at);
        }
    }

    /// What it goes by.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Totals.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Flows in the table: all, and unanswered ones.
    pub fn sizes(&self) -> [usize; 2] {
        [self.table.len(), self.tentative]
    }

    /// Source prefixes that are told apart now.
    pub fn sources(&self) -> usize {
        self.sources.count()
    }

    /// Where a flow's server takes datagrams.
    pub fn server_of(&self, id: FlowId) -> Option<SocketAddr> {
        let server = self.table.flows[self.table.place(id)? as usize].server;
        (server != NIL).then(|| self.servers.all[server as usize].entry.dial)
    }

    /// The servers, as operators are shown them.
    pub fn server_views(&self) -> Vec<ServerView> {
        let view = |server: &Server| ServerView {
            name: server.entry.name.clone(),
            dial: server.entry.dial,
            state: match (server.standing, server.lost) {
                (Standing::Serving, None) => "serving",
                (Standing::Serving, Some(_)) => "lost",
                (Standing::Draining { .. }, _) => "draining",
                (Standing::Gone, _) => "gone",
            },
            flows: [server.flows.len(), server.live as usize],
            per_s: server.traffic() * 1e3,
        };
        self.servers.all.iter().filter(|server| server.used).map(view).collect()
    }

    /// The first flows of the table, as operators are shown them.
    pub fn flow_views(&self, most: usize) -> Vec<FlowView> {
        let view = |(at, flow): (u32, &Flow)| FlowView {
            id: self.table.id(at),
            client: flow.client,
            server: match flow.server {
                NIL => String::new(),
                server => self.servers.all[server as usize].entry.name.clone(),
            },
            live: flow.live,
            ages: [self.now - flow.begun, self.now - flow.heard_client, self.now - flow.heard_server],
            datagrams: flow.datagrams,
        };
        self.table.all().take(most).map(view).collect()
    }

    /// The live flows and the servers, to be kept. `port` tells the local port of a flow's socket.
    pub fn keep(&self, now_unix_ms: u64, port: impl Fn(FlowId) -> Option<u16>) -> Snapshot {
        let servers =
            self.servers.all.iter().filter(|server| server.used && server.standing != Standing::Gone);
        let flow = |(at, flow): (u32, &Flow)| {
            Some(KeptFlow {
                number: self.table.id(at).number(),
                key: flow.key,
                client: flow.client,
                server: self.servers.all.get(flow.server as usize)?.entry.name.clone(),
                port: port(self.table.id(at))?,
                proven: flow.proven,
                age: (self.now - flow.begun).max(0.0),
            })
        };
        let kept = Kept {
            // Starts are on this process's clock: they are told again.
            servers: servers.map(|server| Entry { started: None, ..server.entry.clone() }).collect(),
            flows: self.table.all().filter(|(_, flow)| flow.live).filter_map(flow).collect(),
        };
        Snapshot { unix_ms: now_unix_ms, kept }
    }

    /// Takes flows over from before a restart: each goes on at its server. Servers are believed until others are
    /// told. Which flows became which, in order; what has no place is left out.
    pub fn restore(&mut self, now: Millis, kept: Kept, out: &mut Vec<Action>) -> Vec<Option<FlowId>> {
        let now = self.pass(now);
        for entry in kept.servers.into_iter().filter(|entry| entry.serving) {
            if self.servers.by_name(&entry.name).is_none() {
                self.listed(now, entry, out);
            }
        }
        kept.flows.into_iter().map(|flow| self.restore_flow(now, flow, out)).collect()
    }

    fn restore_flow(&mut self, now: Millis, kept: KeptFlow, out: &mut Vec<Action>) -> Option<FlowId> {
        let live = self.table.len() - self.tentative;
        let has_place =
            live < self.rules.flows - self.rules.tentative && self.table.find(&kept.key).is_none();
        let server = self.servers.by_name(&kept.server).filter(|_| has_place)?;
        let source = self.sources.enter(Prefix::of(&self.rules, kept.client.ip()), &self.rules, now);
        let bucket = Bucket::full(self.rules.flow_per_s * FLOW_SAVED_S, now);
        let (id, most) = (FlowId::from_number(kept.number), self.rules.flows);
        let at = self.table.insert_as(id, most, (kept.key, kept.client, source), now, bucket);
        let flow = &mut self.table.flows[at as usize];
        (flow.live, flow.proven, flow.begun) = (true, kept.proven, now - kept.age);
        self.sources.adopt(source);
        self.counts.restored += 1;
        self.settle_at(at, server, None);
        let (flow, to) = (self.table.id(at), self.servers.all[server as usize].entry.dial);
        out.push(Action::Open { flow, to, cause: Cause::Restored, port: Some(kept.port) });
        Some(flow)
    }
}
