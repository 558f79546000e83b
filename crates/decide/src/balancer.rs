//! Every decision of the load balancer. The types it speaks in are in `src/api.rs`.
//!
//! Ordinary path: per request draw two ready servers at random and send to the one with the smaller projected
//! utilisation (m+1)/κ. Read on in the order a request meets it: arrival, draw, look, send, outcome; then
//! reports, health, cold starts, the list.

use std::collections::BTreeSet;

use oorandom::Rand64;
use rustc_hash::FxHashMap;

use crate::api::*;
use crate::attempt_timeout::AttemptEvidence;
use crate::check_schedule::{self, CheckSchedule};
use crate::cross_zone::{CrossZone, CrossZoneAttempt};
use crate::estimates::{ClassEstimates, Estimates};
use crate::fleet::{CandidateSampler, CandidateScope, Fleet, Slot};
use crate::latency_outlier::MUTE;
use crate::outlier_ejection;
use crate::probe_budget::ProbeBudget;
use crate::reports::{self, learn_kappa, learn_kind, settled_after, sound_in_flight};
use crate::staleness::CallSchedule;
use crate::state::*;
use crate::subset::{ServerRanking, SubsetSize};
use crate::throttle::LATE_TARGET;
use crate::upload::Uploads;
use crate::zone_outage::ZoneOutages;

/// Times below are for a mean service time of up to this; longer where it is longer, within a bound; and no
/// shorter for faster servers: probes cost, and servers take their means over a time that we are not told.
const USUAL_SERVICE: Millis = 40.0;
const MOST_SCALE: f64 = 25.0;
/// A report older than this is renewed when its server is drawn: about one service time.
const FRESH: Millis = 40.0;
/// A request whose pair has a report older than this many service times waits for the pair's probes,
const HOLD_AFTER: f64 = 4.0;
/// for at most this share of its aim,
const HOLD_FOR: f64 = 0.15;
/// for no longer than so many probes take of late, and this often.
const HOLD_PROBES: f64 = 3.0;
const HOLDS: u32 = 2;
/// It never waits where a probe takes more than this share of a service time: it could not win as much.
const HOLD_WORTH: f64 = 0.5;
/// What was asked for is one pair, not the fleet: a queue that long at the better of two is long everywhere.
const HELD_ROOM: f64 = 0.6;
/// A report older than this says nothing any more; the mean of the known servers stands in.
const STALE: Millis = 1_000.0;
/// Weight of a new sample in the slowness of one server.
const SMOOTH: f64 = 0.15;
/// Weight of a new sample in what all servers or all arrivals feed.
const SMOOTH_ALL: f64 = 0.02;
/// The service time assumed at first, as a share of the class's aim.
const SERVICE_PRIOR: f64 = 0.15;
/// An unanswered send counts as this share of an answer that took as long: service times spread.
const AGEING: f64 = 0.5;
/// A send is accepted while its expected answer takes no more than this share of the time left to its aim.
const ROOM: f64 = 0.6;
/// How strongly room depends on what a request earns; 0 is not at all.
const FAVOUR: f64 = 0.4;
/// How strongly room makes up for a class that is refused more than the whole.
const EVEN: f64 = 0.5;
/// A server this little used, with one request more, counts as idle.
const IDLE: f64 = 0.5;
/// One with at most one in flight does so too, while few are refused; this is what refusals weigh.
const IDLE_CROWDED: f64 = 2.0;
/// Further attempts, as a share of first ones, and how many may be saved up.
const RETRY_SHARE: f64 = 0.1;
const RETRY_BURST: f64 = 10.0;
/// A refused client is asked to stay away for up to this share of its aim.
const RETRY_AFTER: f64 = 0.3;
/// From this chance on that a server was silent it counts as a failure of its.
const SILENT: f64 = 0.5;
/// The share of a cold server's allowance that is used: speeds and costs are estimates.
const COLD_MARGIN: f64 = 0.5;
/// From so many kinds of machine on, those that no server is of are forgotten.
const KINDS: usize = 64;

/// So many servers are looked at for a request at most. Up to that many the draw is exact: every pair with
/// room is as likely as any other. Among more, one is missed where a share `f` has room by (1 - f)^LOOKS.
const LOOKS: usize = 24;
/// The decision module of one sidecar. The same seed, settings and events give the same actions.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Rand64,
    pub(crate) now: Millis,
    /// What limits traffic that leaves the zone, if anything does.
    pub(crate) cross_zone_budget: Option<Box<dyn CrossZone>>,
    pub(crate) requests: FxHashMap<RequestId, PendingRequest>,
    pub(crate) upstreams: Fleet,
    /// Sends that have not ended: their number in the books of their server. And the next number.
    pub(crate) sends: FxHashMap<(RequestId, AttemptNo), (u64, UpstreamId)>,
    pub(crate) next_send: u64,
    pub(crate) uploads: Uploads,
    pub(crate) check_schedule: CheckSchedule,
    discovery_calls: CallSchedule,
    probe_budget: ProbeBudget,
    /// Zones that cannot be reached.
    pub(crate) outages: ZoneOutages,
    /// In which order servers are taken into the subset, and how many.
    pub(crate) ranking: ServerRanking,
    subset_size: SubsetSize,
    /// Which requests wait for a server's probe.
    waiting: BTreeSet<(UpstreamId, RequestId)>,
    pub(crate) estimates: Estimates,
}

impl Balancer {
    /// A module that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        // Until answers tell, a service time that leaves room for a queue and another try.
        let service =
            settings.classes.iter().map(|class| ClassEstimates::new(class.aim * SERVICE_PRIOR)).collect();
        let estimates = Estimates::new(service, settings.tenants.len(), RETRY_BURST);
        let probe_budget = ProbeBudget::new(settings.probe_cost);
        let ranking = ServerRanking::new(settings.identity);
        let home = (settings.cross_zone_cost > 0.0).then_some(settings.zone);
        Balancer {
            settings,
            rng: Rand64::new(u128::from(seed)),
            now: 0.0,
            cross_zone_budget: None,
            requests: FxHashMap::default(),
            upstreams: Fleet::new(ranking, home),
            sends: FxHashMap::default(),
            next_send: 1,
            uploads: Uploads::default(),
            check_schedule: CheckSchedule::default(),
            discovery_calls: CallSchedule::default(),
            probe_budget,
            outages: ZoneOutages::default(),
            ranking,
            subset_size: SubsetSize::default(),
            waiting: BTreeSet::new(),
            estimates,
        }
    }

    /// How many times a server was looked at so far: what draws have cost, the same on any machine.
    pub fn looks(&self) -> u64 {
        self.upstreams.examined_count
    }

    /// Takes in one event and appends the actions that answer it.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.upstreams.advance(self.now);
        match event {
            Event::RequestArrived { request, class, tenant, time_left } => {
                self.arrived(request, PendingRequest::new(class, tenant, self.now, time_left.max(0.0)), out)
            }
            Event::UploadProgress { request, attempt, in_progress } => {
                self.upload(request, attempt, in_progress)
            }
            Event::AttemptFinished(end) => {
                self.upload(end.request, end.attempt, false);
                self.settle(end, out);
                self.finished(end, out);
            }
            Event::ClientDisconnected(request) => {
                // Who goes once the aim has passed was not served in time; who goes before tells nothing.
                let held = self.requests.get(&request).filter(|held| held.attempts.iter().any(|t| t.out));
                if held.is_some_and(|held| self.aim_left(held) <= 0.0) {
                    self.estimates.throttle.ended(false);
                }
                self.abandoned(request, out);
            }
            Event::ProbeFinished { upstream, answered, report } => {
                self.probed(upstream, answered, report, out)
            }
            Event::ListReceived(news) => self.listed(news, out),
            Event::SidecarCountChanged(count) => {
                self.settings.sidecars = count;
                self.cross_zone_budget.iter_mut().for_each(|plan| plan.sidecars(self.now, count));
            }
            Event::TimerFired(0) if self.discovery_calls.begin_call(self.now) => out.push(Action::Subscribe),
            Event::TimerFired(check_schedule::TOKEN) => {
                self.check_schedule.woke();
                while let Some(request) = self.check_schedule.next(self.now) {
                    self.look_after(request, out);
                }
            }
            Event::TimerFired(token) => self.resume(token, out),
        }
        self.check_schedule.arm(out);
    }

    fn arrived(&mut self, request: RequestId, held: PendingRequest, out: &mut Vec<Action>) {
        if self.requests.contains_key(&request) {
            return;
        }
        if held.class.0 >= self.settings.classes.len() {
            return out.push(Action::Refuse { request, retry_after: 0.0 });
        }
        self.estimates.retry_tokens = (self.estimates.retry_tokens + RETRY_SHARE).min(RETRY_BURST);
        self.probe_budget.record_arrival();
        self.subset_size.record_arrival(self.now);
        for (number, share) in self.estimates.tenant_shares.iter_mut().enumerate() {
            *share += SMOOTH_ALL * (f64::from(u8::from(number == held.tenant.0)) - *share);
        }
        let service = self.estimates.classes[held.class.0].service_time;
        let mean = self.estimates.mean_service_time.get_or_insert(service);
        *mean += SMOOTH_ALL * (service - *mean);
        let (density, usual) =
            (self.density(&held), self.estimates.mean_density.unwrap_or(self.density(&held)));
        self.estimates.mean_density = Some(usual + SMOOTH_ALL * (density - usual));
        // Where servers tell of their load, room is judged by that.
        let aim = self.settings.classes[held.class.0].aim;
        let blind = self.estimates.first_report_at.is_none();
        let chance = if blind { self.estimates.throttle.chance(self.now, aim) } else { 0.0 };
        self.requests.insert(request, held);
        // Luck is drawn only where it decides something.
        if chance > 0.0 && self.rng.rand_float() < chance {
            self.estimates.throttle.turned_away();
            return self.give_up(request, out);
        }
        self.place(request, out);
    }

    /// Sends a request to the best place there is, or ends it.
    fn place(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(held) = self.requests.get(&request).cloned() else { return };
        let drawn = self.draw(&held, out);
        let (chosen, again) = (drawn.map(|(pair, _)| pair), drawn.is_some_and(|(_, again)| again));
        // On old readings, sidecars that send seldom crowd onto the same servers, or refuse what has room.
        if let Some(pair) = chosen.filter(|pair| pair.iter().any(|c| c.awaits_probe)) {
            return self.hold(request, pair, again, out);
        }
        let refused = f64::from(u8::from(chosen.is_none()));
        self.estimates.refused_share += SMOOTH_ALL * (refused - self.estimates.refused_share);
        let class = &mut self.estimates.classes[held.class.0];
        class.refused_share += SMOOTH_ALL * (refused - class.refused_share);
        let by_use = chosen.map(|[a, b]| if b.projected_load < a.projected_load { [b, a] } else { [a, b] });
        let taker = by_use.into_iter().flatten().find(|c| self.admits(c, &held, again));
        let other = |_| self.warm_one(&held).or_else(|| self.find_warming_up_server(&held));
        match taker.or_else(|| chosen.and_then(other)) {
            Some(chosen) => self.send(request, chosen, out),
            None => self.give_up(request, out),
        }
    }

    /// Whether a server may be sent one more while it is cold. An equal part of its budget is less than one
    /// request for each of many sidecars, so chance decides: a server is drawn for at most two of `n`
    /// requests, and chance leaves it of those what its budget allows, for all sidecars together.
    ///
    /// A share of requests bounds nothing in a rush, as when many sidecars start at once beside a server that
    /// has just started. So what goes to a cold one is kept to an amount as well: an equal part of its
    /// allowance for each sidecar. A part that never comes to one request is a chance of one instead, spent
    /// whether or not it wins.
    fn admits(&mut self, to: &Candidate, held: &PendingRequest, again: bool) -> bool {
        if to.warm_up_fraction >= 1.0 {
            return true;
        }
        let odds = if again { held.draw_share } else { self.odds(held) };
        // Where there is no room elsewhere, more requests come than servers can carry, and more to this one.
        let multiple = self.settings.slow_start.overload_multiple * to.warm_up_fraction;
        let share = COLD_MARGIN * multiple / 2.0 * odds * (1.0 - self.estimates.refused_share);
        self.try_spend_allowance(to, held.class, share)
    }

    /// Waits for the probes of a pair. Timers are numbered in 63 bits: two requests may share one.
    fn hold(&mut self, request: RequestId, pair: [Candidate; 2], again: bool, out: &mut Vec<Action>) {
        let Some(known) = self.requests.get(&request) else { return };
        // What a cold one was drawn from is told by how things stand at the draw.
        let odds = match pair.iter().any(|c| c.warm_up_fraction < 1.0) {
            true if !again => self.odds(&known.clone()),
            _ => known.draw_share,
        };
        let Some(held) = self.requests.get_mut(&request) else { return };
        (held.draw_share, held.probe_waits, held.exemption) =
            (odds, held.probe_waits + 1, pair.iter().find_map(|c| c.exemption));
        let most = HOLD_FOR * self.settings.classes[held.class.0].aim;
        let at = self.now + self.estimates.probe_time.map_or(most, |time| most.min(HOLD_PROBES * time));
        out.push(Action::SetTimer { at: at.min(held.deadline), token: request.0 >> 1 });
        let before = held.pair.replace(pair.map(|c| c.id));
        self.wait_no_more(request, before);
        self.waiting.extend(pair.map(|c| (c.id, request)));
    }

    /// Goes on with what is held until this timer.
    fn resume(&mut self, token: u64, out: &mut Vec<Action>) {
        for request in [token << 1, token << 1 | 1].map(RequestId) {
            if self.requests.get(&request).is_some_and(|held| held.pair.is_some()) {
                self.place(request, out);
            }
        }
    }

    /// The share of the time left to its aim that a request's wait may take. Under overload queues fill up
    /// to it, so work that earns less for its service time than the usual is the first to be refused.
    fn room(&self, held: &PendingRequest) -> f64 {
        let density = self.density(held);
        let worth = (density / self.estimates.mean_density.unwrap_or(density)).powf(FAVOUR).clamp(0.5, 1.5);
        // By worth alone one class would bear all refusals.
        let class = &self.estimates.classes[held.class.0];
        let even = (1.0 + EVEN * (class.refused_share - self.estimates.refused_share)).max(0.5);
        self.estimates.wait_scale * ROOM * worth * even
    }

    /// What a request earns for its service time. No sidecar can know which tenants are over their share;
    /// those with more of our arrivals than of all quotas are the likeliest.
    fn density(&self, held: &PendingRequest) -> f64 {
        let quotas: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        let quota = self.settings.tenants.get(held.tenant.0).map_or(0.0, |tenant| tenant.quota_per_s);
        let share = self.estimates.tenant_shares.get(held.tenant.0).copied().unwrap_or(0.0);
        let within = if quota > 0.0 && share > 0.0 { (quota / quotas / share).min(1.0) } else { 1.0 };
        let worth = self.settings.classes[held.class.0].worth;
        worth * (within + (1.0 - within) * self.settings.over_quota_worth)
            / self.estimates.classes[held.class.0].service_time.max(1.0)
    }

    /// Time until the answer loses its worth.
    pub(crate) fn aim_left(&self, held: &PendingRequest) -> Millis {
        held.deadline.min(held.arrived + self.settings.classes[held.class.0].aim) - self.now
    }

    /// Ends a request: refused where that is safe to say, else failed.
    fn give_up(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(held) = self.end(request) else { return };
        let safe = match self.settings.classes[held.class.0].effect {
            Effect::Idempotent | Effect::IdempotentByKey { scope: KeyScope::All, .. } => true,
            Effect::IdempotentByKey { .. } | Effect::NonIdempotent => {
                !held.attempts.iter().any(|t| t.may_have_run)
            }
        };
        if safe {
            // Soon enough to make its aim yet, and spread: all that were refused together come back.
            let soon = RETRY_AFTER * self.settings.classes[held.class.0].aim * self.rng.rand_float();
            out.push(Action::Refuse { request, retry_after: soon.min(self.settings.limits.max_retry_after) });
        } else {
            out.push(Action::Fail(request));
        }
    }

    /// Takes a request off the books.
    fn end(&mut self, request: RequestId) -> Option<PendingRequest> {
        self.watch_no_more(request);
        let held = self.requests.remove(&request)?;
        self.wait_no_more(request, held.pair);
        Some(held)
    }

    pub(crate) fn watch_no_more(&mut self, request: RequestId) {
        if let Some(held) = self.requests.get_mut(&request) {
            self.check_schedule.set(request, held.check_at.take(), None);
        }
    }

    fn wait_no_more(&mut self, request: RequestId, pair: Option<[UpstreamId; 2]>) {
        for id in pair.into_iter().flatten() {
            self.waiting.remove(&(id, request));
        }
    }

    // --- The survey of servers ---------------------------------------------------------------

    /// How much longer times are here than where the mean service time is the usual.
    fn scale(&self) -> f64 {
        (self.estimates.mean_service_time.unwrap_or(USUAL_SERVICE) / USUAL_SERVICE).clamp(1.0, MOST_SCALE)
    }

    /// What all servers are looked at with.
    pub(crate) fn view(&self, held: &PendingRequest) -> SelectionContext {
        let aim_left = self.aim_left(held);
        let spare = aim_left > 2.0 * HOLD_FOR * self.settings.classes[held.class.0].aim;
        // With roughly exponential answer times one expected at `wait` misses its aim with probability
        // exp(-aim/wait): while that is below the fee, crossing does not pay.
        let terms = self.cross_zone_budget.as_ref().map(|plan| plan.terms(self.now, held.class));
        let limit = |fee: f64| if fee > 0.0 { aim_left / (1.0 / fee).ln().max(1.0) } else { 0.0 };
        let service = self.estimates.classes[held.class.0].service_time;
        let soon = self.estimates.probe_time.is_none_or(|time| time <= HOLD_WORTH * service);
        SelectionContext {
            service,
            outside: false,
            // Older than what is renewed: there is a probe to wait for.
            max_report_age: (HOLD_AFTER * service).max(FRESH * self.scale()),
            means: self.upstreams.means(),
            may_wait_for_probe: self.settings.limits.probes
                && self.probe_budget.can_afford(2.0)
                && held.probe_waits < HOLDS
                && spare
                && soon,
            max_wait: self.room(held) * aim_left * if held.probe_waits > 0 { HELD_ROOM } else { 1.0 },
            same_zone_limit: limit(terms.map_or(self.settings.cross_zone_cost, |terms| terms.fee)),
            failing: terms.map_or(1.0, |terms| terms.bend_at),
        }
    }

    /// A server as a request sees it now, with its projected utilisation and expected answer time.
    pub(crate) fn look(
        &self,
        slot: Slot,
        held: &PendingRequest,
        view: &SelectionContext,
    ) -> Option<Candidate> {
        let (id, upstream) = self.upstreams.at_slot(slot)?;
        let (in_flight, kappa) = (self.in_flight(upstream, &view.means), self.kappa(upstream));
        let warm_up_fraction = upstream.warmth(self.now, &self.settings.slow_start);
        let slowness = self.slowness(upstream) / warm_up_fraction;
        let depth = ((in_flight + 1.0) / kappa).max(1.0);
        Some(Candidate {
            id,
            zone: upstream.zone,
            same_zone: upstream.zone == self.settings.zone,
            exemption: None,
            heard: upstream.has_valid_report,
            awaits_probe: view.may_wait_for_probe && self.now - upstream.reported_at > view.max_report_age,
            // One that has just failed this request is the likeliest to fail it again.
            healthy: self.takes_part(upstream)
                && !self.outages.is_out(upstream.zone)
                && held.attempts.iter().all(|t| t.upstream != id),
            projected_load: (in_flight + 1.0) / kappa * slowness,
            depth,
            // An empty one is idle whatever its size: else nothing could ever correct what was learnt.
            idle: self.says_idle(upstream)
                || in_flight + 1.0
                    <= (IDLE * kappa).max((2.5 - IDLE_CROWDED * self.estimates.refused_share).max(1.0)),
            wait: view.service * slowness * depth,
            failure_rate: upstream.failure_rate,
            warm_up_fraction,
        })
    }

    /// Where a further send may go, by what may have run already.
    pub(crate) fn reach(&self, held: &PendingRequest) -> Option<CandidateScope> {
        let Some(first) = held.attempts.iter().find(|t| t.out || t.may_have_run) else {
            return Some(CandidateScope::All);
        };
        match self.settings.classes[held.class.0].effect {
            Effect::Idempotent => Some(CandidateScope::All),
            Effect::NonIdempotent => None,
            // The window counts from the first send that may have run; a tick is kept in hand.
            Effect::IdempotentByKey { scope, window } => {
                let in_time = self.now + self.settings.limits.tick < first.sent + window;
                in_time.then_some(match scope {
                    KeyScope::All => CandidateScope::All,
                    KeyScope::Zone => CandidateScope::Zone(first.zone),
                    KeyScope::Cell => CandidateScope::Cell(first.cell),
                })
            }
        }
    }

    pub(crate) fn kappa(&self, upstream: &Upstream) -> f64 {
        self.estimates.capacity(upstream, self.upstreams.members_of(upstream.kind), self.now, self.scale())
    }

    /// m: the last report and our sends since; an unheard server takes the mean m of the known ones.
    fn in_flight(&self, upstream: &Upstream, means: &FleetMeans) -> f64 {
        let own = upstream.outstanding.len() as f64;
        if !upstream.has_valid_report || !self.estimates.reports_are_trusted() {
            // What all send to a cold one is kept to what it surely does: others' queues are not its.
            let cold = upstream.warmth(self.now, &self.settings.slow_start) < 1.0;
            return own + if cold { 0.0 } else { means.in_flight };
        }
        // A report below what we ourselves have out there is old, whatever it says.
        (upstream.reported_in_flight + upstream.unreported_sends as f64).max(own)
    }

    /// Whether one of unknown size says itself that it is little used, and has not been sent twice as much
    /// since.
    fn says_idle(&self, upstream: &Upstream) -> bool {
        let sent = upstream.unreported_sends as f64;
        let believed = upstream.has_valid_report
            && self.estimates.reports_are_trusted()
            && sent <= upstream.reported_in_flight + 1.0;
        upstream.capacity.is_none() && believed && upstream.utilisation.is_some_and(|u| u < IDLE)
    }

    /// Service time relative to the mean server, from answers and from sends that are long unanswered.
    fn slowness(&self, upstream: &Upstream) -> f64 {
        let learnt = self.remembered(upstream);
        // A server that hangs gives no answers to learn from: the time since its last one tells.
        let ageing = upstream.outstanding.oldest().map_or(0.0, |(_, oldest)| {
            AGEING * (self.now - oldest.sent.max(upstream.answered_at))
                / (oldest.depth * self.estimates.classes[oldest.class.0].service_time)
        });
        learnt.max(ageing).max(0.05)
    }

    pub(crate) fn remembered(&self, upstream: &Upstream) -> f64 {
        let members = self.upstreams.members_of(upstream.kind);
        self.estimates.relative_service_time(upstream, members, self.now, self.scale())
    }

    fn takes_part(&self, upstream: &Upstream) -> bool {
        match upstream.health {
            Health::Ready => true,
            // Half-open after a while: one trial at a time.
            Health::Ejected { until, .. } => self.now >= until && upstream.outstanding.is_empty(),
        }
    }

    // --- The draw ----------------------------------------------------------------------------

    /// Two random servers among those with room, near ones first; the smaller projected utilisation wins.
    /// They are looked at in random order until two have room, or [`LOOKS`] have been. Also whether it is the
    /// pair that was drawn before.
    fn draw(&mut self, held: &PendingRequest, out: &mut Vec<Action>) -> Option<([Candidate; 2], bool)> {
        self.know();
        self.ask_zones(out);
        let reach = self.reach(held)?;
        let view = self.view(held);
        let before = self.asked_for(held, &view);
        let inside = reach.within_subset();
        let near =
            if before.is_none() && held.probe_waits == 0 { self.near(inside, held, &view) } else { None };
        let mut pair = before.or(near).or_else(|| self.open(inside, held, &view));
        if pair.is_none() && inside != reach && self.upstreams.sizes(reach) != self.upstreams.sizes(inside) {
            // A refusal is honest only after a look outside; what is found there widens the subset.
            pair = self.open(reach, held, &SelectionContext { outside: true, ..view });
            if pair.is_some() {
                self.subset_size.widen();
            }
        }
        let Some(pair) = pair else {
            let view = self.view(held);
            self.ask_anyone(reach, &view, out);
            return None;
        };
        pair.iter().for_each(|drawn| self.probe(drawn.id, out));
        Some((pair, before.is_some()))
    }

    /// Brings the subset into line with the traffic and with what has become of its members.
    fn know(&mut self) {
        if self.estimates.observed_capacity.is_review_due(self.now) {
            let warm = self.upstreams.warm_servers(self.now, &self.settings.slow_start);
            self.estimates.observed_capacity.review(self.now, warm);
        }
        let serving = self.upstreams.serving_count();
        let wanted = self.subset_size.target(self.now, serving, self.settings.sidecars);
        if self.upstreams.is_subset_current(wanted, self.now) {
            return;
        }
        let mut fleet = std::mem::replace(&mut self.upstreams, Fleet::new(self.ranking, None));
        fleet.update_subset(wanted, self.now, |_, server| self.warm_up_status(server));
        self.upstreams = fleet;
    }

    /// Who is refused leaves something to learn from: else nothing would tell that there is room again.
    fn ask_anyone(&mut self, reach: CandidateScope, view: &SelectionContext, out: &mut Vec<Action>) {
        let mut looks = CandidateSampler::new(&self.upstreams, reach, true);
        for _ in 0..2 {
            let slot = looks.next(&mut self.upstreams, &mut self.rng);
            let Some((id, upstream)) = slot.and_then(|slot| self.upstreams.at_slot(slot)) else { return };
            if self.now - upstream.reported_at > view.max_report_age {
                self.probe(id, out);
            }
        }
    }

    /// Of the pair that was drawn before and asked since, those that still suit.
    fn asked_for(&self, held: &PendingRequest, view: &SelectionContext) -> Option<[Candidate; 2]> {
        let limit = |c: &Candidate| {
            if held.probe_waits == 1 && c.same_zone {
                view.same_zone_limit.min(view.max_wait)
            } else {
                view.max_wait
            }
        };
        let fits = |c: &Candidate| c.healthy && view.has_room(c) && c.wait <= limit(c);
        let suits = |c: &Candidate| fits(c) && self.still_pays(held, c);
        let again = |id| {
            self.look(self.upstreams.slot(id)?, held, view).filter(|c| self.is_serving(c.id) && suits(c))
        };
        let [a, b] = held.pair?.map(again);
        Some([a.or(b)?, b.or(a)?])
    }

    /// Two near ones with so much room that crossing does not pay.
    fn near(
        &mut self,
        reach: CandidateScope,
        held: &PendingRequest,
        view: &SelectionContext,
    ) -> Option<[Candidate; 2]> {
        if view.same_zone_limit == 0.0 {
            return None;
        }
        let reach = if reach == CandidateScope::Members {
            CandidateScope::MembersInZone(self.settings.zone)
        } else {
            reach
        };
        self.two(reach, held, view, false, |c| c.healthy && view.suits_near(c))
    }

    /// Two with room that may be sent to, wherever they are.
    pub(crate) fn anywhere(
        &mut self,
        reach: CandidateScope,
        held: &PendingRequest,
        view: &SelectionContext,
        may: impl Fn(&Candidate) -> bool,
    ) -> Option<[Candidate; 2]> {
        let mut healthy = false;
        let found = self.two(reach, held, view, false, |c| {
            healthy |= c.healthy;
            c.healthy && view.has_room(c) && may(c)
        });
        // Everyone looks bad: rather ask someone than no one.
        if healthy { found } else { self.two(reach, held, view, true, |c| view.has_room(c) && may(c)) }
    }

    /// The first two that are wanted, in a random order; the one there is, twice, where there is only one.
    pub(crate) fn two(
        &mut self,
        reach: CandidateScope,
        held: &PendingRequest,
        view: &SelectionContext,
        all: bool,
        mut wanted: impl FnMut(&Candidate) -> bool,
    ) -> Option<[Candidate; 2]> {
        let mut looks = CandidateSampler::new(&self.upstreams, reach, all);
        let mut first = None;
        for _ in 0..LOOKS {
            let Some(slot) = looks.next(&mut self.upstreams, &mut self.rng) else { break };
            let Some(found) = self.look(slot, held, view).filter(|c| wanted(c)) else { continue };
            match first {
                None => first = Some(found),
                Some(first) => return Some([first, found]),
            }
        }
        first.map(|one| [one, one])
    }

    /// The share of the servers within reach that a pair is drawn from. Only asked where one of it is cold.
    fn odds(&mut self, held: &PendingRequest) -> f64 {
        let Some(reach) = self.reach(held).map(CandidateScope::within_subset) else { return 1.0 };
        let view = self.view(held);
        let whole = self.upstreams.sizes(reach).1.max(1) as f64;
        let zone = if reach == CandidateScope::Members {
            CandidateScope::MembersInZone(self.settings.zone)
        } else {
            reach
        };
        let near = if view.same_zone_limit != 0.0 {
            // Where nothing pays for a crossing, the near ones are drawn from as long as one has room.
            let stays = self.stays(held.class);
            self.count(zone, held, &view, |c| view.suits_near(c) || stays && c.same_zone && view.has_room(c))
        } else {
            0.0
        };
        let open = if near > 0.0 { near } else { self.count(reach, held, &view, |c| view.has_room(c)) };
        if open > 0.0 { open / whole } else { 1.0 }
    }

    /// How many of a group are healthy and wanted, by those that are looked at.
    fn count(
        &mut self,
        reach: CandidateScope,
        held: &PendingRequest,
        view: &SelectionContext,
        wanted: impl Fn(&Candidate) -> bool,
    ) -> f64 {
        let mut looks = CandidateSampler::new(&self.upstreams, reach, false);
        let (mut seen, mut found) = (0.0, 0.0);
        for _ in 0..LOOKS {
            let Some(slot) = looks.next(&mut self.upstreams, &mut self.rng) else { break };
            seen += 1.0;
            let suits = self.look(slot, held, view).is_some_and(|c| c.healthy && wanted(&c));
            found += f64::from(u8::from(suits));
        }
        found / f64::max(seen, 1.0) * self.upstreams.sizes(reach).0 as f64
    }

    fn is_serving(&self, id: UpstreamId) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| upstream.serving)
    }

    pub(crate) fn probe(&mut self, id: UpstreamId, out: &mut Vec<Action>) {
        let may_probe = self.settings.limits.probes && self.probe_budget.can_afford(1.0);
        let (now, next) = (self.now, self.next_send);
        let (fresh, lost) = (FRESH * self.scale(), STALE * self.scale());
        let ask = |upstream: &mut Upstream| {
            let waiting = upstream.probe_sent.is_some_and(|sent| now - sent < lost);
            let due = may_probe && !waiting && now - upstream.reported_at > fresh;
            if due {
                upstream.probe_sent = Some(now);
                (upstream.first_send_after_probe, upstream.sends_after_probe) = upstream.unheard(next, now);
            }
            due
        };
        if self.upstreams.update(id, ask) == Some(true) {
            self.tell_probed(id);
            self.probe_budget.spend();
            out.push(Action::Probe(id));
        }
    }

    fn send(&mut self, request: RequestId, to: Candidate, out: &mut Vec<Action>) {
        let Some(held) = self.requests.get(&request) else { return };
        let left = (held.deadline - self.now).max(0.0);
        let first = AttemptEvidence { wait: to.wait, failing: to.failure_rate, ..self.no_evidence() };
        let look = self
            .may_go_on(held, held.attempts.len() + 1)
            .then(|| self.next_look(held, &first, 0.0))
            .flatten();
        // Who may not call an attempt off has to know beforehand.
        let (timeout, look) = match self.settings.limits.cancel {
            true => (left, look),
            false if self.may_go_on(held, held.attempts.len() + 1) => {
                (self.timeout(held, to).min(left), None)
            }
            false => (left, None),
        };
        let usual = &mut self.estimates.classes[held.class.0].expected_latency;
        *usual += SMOOTH_ALL * (to.wait - *usual);
        let (class, attempt, held_bend) = (held.class, AttemptNo(held.attempts.len() as u32), held.exemption);
        let (sent, number) = (self.now, self.next_send);
        let Candidate { depth, wait, zone, .. } = to;
        let enter = |upstream: &mut Upstream| {
            upstream.enter(number, OutstandingSend { class, sent, depth, wait });
            Attempt::new(to.id, upstream, sent)
        };
        let Some(this) = self.upstreams.update(to.id, enter) else { return };
        self.next_send += 1;
        self.sends.insert((request, attempt), (number, to.id));
        if let Some(held) = self.requests.get_mut(&request) {
            held.attempts.push(this);
            let pair = held.pair.take();
            held.check_at = look.map(|after| sent + after);
            self.check_schedule.set(request, None, held.check_at);
            self.wait_no_more(request, pair);
        }
        self.tell_sent(CrossZoneAttempt {
            request,
            number: attempt,
            class,
            to: zone,
            bend: to.exemption.or(held_bend),
        });
        out.push(Action::Send { request, upstream: to.id, timeout });
    }

    /// Goes on with the request after an attempt has ended.
    fn finished(&mut self, end: FinishedAttempt, out: &mut Vec<Action>) {
        let (request, outcome) = (end.request, end.outcome);
        let Some(held) = self.requests.get_mut(&request) else { return };
        let Some(this) = held.attempts.get_mut(end.attempt.0 as usize).filter(|t| t.out) else { return };
        this.out = false;
        self.check_schedule.set(request, held.check_at.take(), None);
        // A jam once fed itself: answers that servers were full came soon, and made room as if in time.
        let full = outcome == Outcome::Full;
        let late = full || self.now > held.arrived + self.settings.classes[held.class.0].aim;
        let step = if full { SMOOTH } else { SMOOTH_ALL } * (LATE_TARGET - f64::from(u8::from(late)));
        self.estimates.wait_scale = (self.estimates.wait_scale * (1.0 + step)).clamp(0.25, 1.0);
        // Failures are those of one server; a jam shows in what comes late.
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            self.estimates.throttle.ended(outcome == Outcome::Ok && !late);
        }
        this.may_have_run = outcome.may_have_run();
        if end.client_answered || outcome == Outcome::Ok {
            return self.abandoned(request, out);
        }
        let held = held.clone();
        let attempts_left = (held.attempts.len() as u32) < self.settings.limits.max_attempts;
        let given_up = held.attempts[end.attempt.0 as usize].abandoned;
        let worth_it = self.aim_left(&held) > 0.0 && (outcome != Outcome::NotSent || given_up);
        if attempts_left && worth_it && self.estimates.retry_tokens >= 1.0 {
            self.estimates.retry_tokens -= 1.0;
            self.place(request, out);
        } else {
            self.give_up(request, out);
        }
    }

    /// Forgets a request that has its answer, and stops what is still out for it.
    fn abandoned(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(held) = self.end(request) else { return };
        let cancel = self.settings.limits.cancel;
        for (number, _) in held.attempts.iter().enumerate().filter(|(_, t)| t.out && cancel) {
            out.push(Action::Cancel { request, attempt: AttemptNo(number as u32) });
        }
    }

    /// Learns from an attempt's end, whether or not its request is still held.
    fn settle(&mut self, end: FinishedAttempt, out: &mut Vec<Action>) {
        let FinishedAttempt { upstream: id, outcome, latency, .. } = end;
        let key = (end.request, end.attempt);
        let Some(&(number, _)) = self.sends.get(&key).filter(|(_, to)| *to == id) else { return };
        self.sends.remove(&key);
        let given_up =
            self.requests.get(&end.request).and_then(|held| held.attempts.get(end.attempt.0 as usize));
        let given_up = given_up.is_some_and(|this| this.abandoned) && outcome == Outcome::Cancelled;
        let unanswered = given_up || outcome == Outcome::TimedOut;
        let known = self.upstreams.get(id).filter(|_| unanswered).and_then(|upstream| {
            Some(self.evidence_of(upstream, number, &upstream.outstanding.get(number)?))
        });
        let Some(sent) = self.upstreams.update(id, |upstream| upstream.take(number)).flatten() else {
            return;
        };
        self.tell_of_zone(id, outcome);
        self.carried(id, &sent, outcome);
        let law = &mut self.estimates.classes[sent.class.0].latencies;
        let silent = known.map_or(0.0, |known| known.silent(law, latency));
        let mute = known.is_some_and(|known| !known.answers && latency >= MUTE * known.crowd * known.wait);
        match outcome {
            Outcome::Ok => {
                law.answered(latency / sent.wait);
                self.estimates.unresponsive.took(latency / sent.wait);
                self.estimates.unresponsive.met(0.0);
                self.learn(id, sent, latency, true);
            }
            Outcome::Cancelled if !given_up => {}
            Outcome::TimedOut | Outcome::Cancelled => {
                law.given_up(latency / sent.wait, 1.0 - silent);
                if silent < SILENT {
                    self.estimates.unresponsive.took(latency / sent.wait);
                }
                self.estimates.unresponsive.met(silent);
                self.learn(id, sent, latency, false);
            }
            _ => {}
        }
        if let Some(report) = end.report {
            let unheard = self.upstreams.get(id).map(|upstream| upstream.unheard(self.next_send, self.now));
            self.take_report(id, report, unheard);
        }
        let failed = match outcome {
            Outcome::Ok => false,
            Outcome::Error | Outcome::Unreachable | Outcome::Reset => true,
            // Under overload good servers time out too.
            Outcome::TimedOut if silent >= SILENT || mute => true,
            Outcome::Cancelled if given_up && silent >= SILENT => true,
            _ => return self.upstreams.remove_if_gone(id),
        };
        self.judge(id, failed, outcome == Outcome::Unreachable, out);
        self.upstreams.remove_if_gone(id);
    }

    /// Counts what a warm server has done of an attempt that has ended.
    fn carried(&mut self, id: UpstreamId, sent: &OutstandingSend, outcome: Outcome) {
        let warm =
            self.upstreams.get(id).is_some_and(|u| u.warmth(self.now, &self.settings.slow_start) >= 1.0);
        if warm {
            let answered = f64::from(u8::from(outcome == Outcome::Ok));
            self.estimates
                .observed_capacity
                .record_attempt(self.now, answered * self.estimates.classes[sent.class.0].service_time);
        }
    }

    /// An answer tells the class's service time and this server's pace, with the queue taken out; a time-out
    /// tells that the server is at least this slow.
    fn learn(&mut self, id: UpstreamId, sent: OutstandingSend, latency: Millis, answered: bool) {
        // What a cold server takes longer is no sign of crowding, nor of the speed it will have.
        let Some(server) = self.upstreams.get(id).filter(|_| latency > 0.0) else { return };
        let (known, warmth) = (self.remembered(server), server.warmth(self.now, &self.settings.slow_start));
        let kind = server.kind;
        let alone = latency * warmth / sent.depth;
        let service = &mut self.estimates.classes[sent.class.0];
        let pace = alone / service.service_time;
        let (seen, weight) = if answered { (pace, SMOOTH) } else { (known.max(AGEING * pace), 1.0) };
        let now = self.now;
        let answers = self.estimates.kinds.get(&kind).map_or(0.0, |kind| kind.answers);
        self.upstreams.update(id, |upstream| {
            upstream.relative_service_time = known + weight * (seen - known);
            (upstream.estimated_at, upstream.kind_answers_at_estimate) = (now, answers);
            upstream.answered_at = if answered { now } else { upstream.answered_at };
        });
        self.estimates.kinds.entry(kind).or_default().record_answer(seen, SMOOTH_ALL);
        self.estimates.fleet.record_answer(seen, SMOOTH_ALL);
        // The median of sends that met no queue tells the service time: behind one that we underrate, answers
        // are late, and a service time learnt from them would have us refuse work that there is room for.
        if answered && sent.depth <= 1.0 {
            service.record_service_time(alone, SMOOTH_ALL);
        }
    }

    fn probed(&mut self, id: UpstreamId, answered: bool, report: Option<Report>, out: &mut Vec<Action>) {
        self.heard(id, answered, report);
        if answered {
            self.hear_from(id);
        }
        let heard = |id: &UpstreamId| self.upstreams.get(*id).is_none_or(|u| u.probe_sent.is_none());
        let ready = |request: &RequestId| {
            self.requests.get(request).and_then(|held| held.pair).is_some_and(|pair| pair.iter().all(heard))
        };
        let waiting = self.waiting.range((id, RequestId(0))..=(id, RequestId(u64::MAX)));
        let held: Vec<_> = waiting.map(|(_, request)| *request).filter(ready).collect();
        held.into_iter().for_each(|request| self.place(request, out));
    }

    fn heard(&mut self, id: UpstreamId, answered: bool, report: Option<Report>) {
        let (next, now) = (self.next_send, self.now);
        let take = |upstream: &mut Upstream| {
            // One that nobody asked for holds all that was sent.
            let asked_at = upstream.probe_sent.take();
            if asked_at.is_none() {
                (upstream.first_send_after_probe, upstream.sends_after_probe) = upstream.unheard(next, now);
            }
            (upstream.outstanding.len() - upstream.sends_after_probe, asked_at)
        };
        let Some((ours, asked_at)) = self.upstreams.update(id, take) else { return };
        if let Some(time) = asked_at.map(|at| now - at) {
            let mean = self.estimates.probe_time.get_or_insert(time);
            *mean += SMOOTH * (time - *mean);
        }
        let ours = ours as f64;
        let (Some(report), true) = (report, answered) else { return };
        // Reports carry no age. One that lacks what we had out there when we asked is late, and
        // when many are, none is believed: each server then counts as unheard.
        if let Some(in_flight) = report.in_flight.filter(|_| ours > 1.0) {
            let late = f64::from(u8::from(in_flight + 1.0 < ours));
            self.estimates.late_report_share += SMOOTH_ALL * (late - self.estimates.late_report_share);
        }
        self.take_report(id, report, None);
    }

    /// Takes in a server's own figures, which hold what was sent until it was asked, or all but these.
    fn take_report(&mut self, id: UpstreamId, report: Report, unheard: Option<(u64, usize)>) {
        let Some(in_flight) = sound_in_flight(&report) else { return };
        let (now, scale) = (self.now, self.scale());
        let (until, utilisation) = (now + STALE * scale, report.utilisation.filter(|u| *u >= 0.0));
        let early = now < *self.estimates.first_report_at.get_or_insert(now) + settled_after(scale);
        let kinds = &self.estimates.kinds;
        let take = |upstream: &mut Upstream| {
            let weight =
                reports::enter(upstream, (in_flight, report.utilisation), (now, until, scale), unheard);
            if let Some(utilisation) = utilisation.filter(|_| !early) {
                learn_kappa(upstream, utilisation, weight);
            }
            upstream.kind_reports_at_report = kinds.get(&upstream.kind).map_or(0.0, |kind| kind.reports);
            upstream.kind
        };
        let Some(kind) = self.upstreams.update(id, take) else { return };
        if let Some(utilisation) = utilisation.filter(|_| !early) {
            learn_kind(&mut self.estimates, kind, in_flight, utilisation);
        }
    }

    /// Counts an outcome for or against a server.
    fn judge(&mut self, id: UpstreamId, failed: bool, lost: bool, out: &mut Vec<Action>) {
        // Of those that it knows: if more look bad, others are known in their place.
        let known = self.upstreams.sizes(CandidateScope::Members).1;
        let may_eject = lost || outlier_ejection::may_eject(self.upstreams.ejected_count(), known);
        let (peers, luck) = (self.upstreams.mean_failure_rate(), self.rng.rand_float());
        let how = (self.now, peers, may_eject, luck);
        let weigh = |u: &mut Upstream| outlier_ejection::weigh(u, failed, lost, how);
        if let Some(said) = self.upstreams.update(id, weigh).flatten() {
            out.push(Action::Log(format!("server {} is {said}", id.0)));
        }
    }

    // --- The server list ---------------------------------------------------------------------

    fn listed(&mut self, news: ListUpdate, out: &mut Vec<Action>) {
        let must_ask = matches!(news, ListUpdate::Unavailable | ListUpdate::Restored(_));
        if !must_ask {
            self.discovery_calls.answered();
        }
        match news {
            // Who is missing from a complete list is gone.
            ListUpdate::Restored(list) | ListUpdate::Complete(list) => {
                self.upstreams.begin_complete_list();
                list.iter().for_each(|entry| self.list(entry));
                self.upstreams.end_complete_list();
            }
            ListUpdate::Changed(list) => list.iter().for_each(|entry| self.list(entry)),
            ListUpdate::Unavailable => out.push(Action::Log("server list unavailable".to_owned())),
        }
        if self.estimates.kinds.len() > KINDS {
            self.estimates.kinds.retain(|kind, _| self.upstreams.has_kind(*kind));
        }
        let Discovery::Subscribed { must_ask_in } = self.settings.discovery else { return };
        if must_ask {
            let luck = self.rng.rand_float();
            let at = self.discovery_calls.next_call(self.now, must_ask_in, luck);
            out.extend(at.map(|at| Action::SetTimer { at, token: 0 }));
        }
    }
}
