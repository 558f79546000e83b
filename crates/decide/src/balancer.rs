//! The load balancer: all decisions of the module. Its interface is in `src/api.rs`.
//!
//! Ordinary path: for each request, two ready servers are sampled at random. The one with the smaller
//! projected load s·(m+1)/κ gets it, with m its requests in flight, κ its capacity and s its slowness.
//! The functions follow a request: arrival, evaluation, sampling, outcome; then reports and the server list.

use std::collections::BTreeSet;

use oorandom::Rand64;
use rustc_hash::FxHashMap;

use crate::api::*;
use crate::check_schedule::{self, CheckSchedule};
use crate::cross_zone::{CrossZoneAttempt, CrossZoneLimiter};
use crate::estimates::{ClassEstimates, Estimates};
use crate::fleet::{CandidateSampler, CandidateScope, Fleet, Slot};
use crate::latency_outlier::UNRESPONSIVE_MULTIPLE;
use crate::outlier_ejection;
use crate::probe_budget::ProbeBudget;
use crate::staleness::CallSchedule;
use crate::state::*;
use crate::subset::{ServerRanking, SubsetSize};
use crate::throttle::TARGET_LATE_SHARE;
use crate::upload::Uploads;
use crate::zone_outage::ZoneOutages;

/// [`Balancer::time_scale`] is 1 up to this mean service time and grows with it to [`MAX_TIME_SCALE`]. It is
/// never below 1: probes cost, and the averaging time of servers is unknown.
const BASE_SERVICE_TIME: Millis = 40.0;
const MAX_TIME_SCALE: f64 = 25.0;
/// A sampled server is probed if its report is older than this, which is about one service time.
const PROBE_AFTER: Millis = 40.0;
/// A request waits for its pair's probes if a report is older than this many service times and `PROBE_AFTER`.
const PROBE_WAIT_SERVICE_TIMES: f64 = 4.0;
/// Longest wait for probes (share of the aim; mean probe times, if shorter), and most waits of a request.
const PROBE_WAIT_AIM_SHARE: f64 = 0.15;
const PROBE_WAIT_PROBE_TIMES: f64 = 3.0;
const MAX_PROBE_WAITS: u32 = 2;
/// Requests don't wait for probes that take more than this share of a service time: waiting would gain less.
const MAX_PROBE_TIME_SHARE: f64 = 0.5;
/// Factor on `max_wait`, the longest acceptable answer time, after a wait for probes: only the pair was
/// probed, but a queue that long at the better of two servers is long everywhere.
const WAIT_FACTOR_AFTER_PROBES: f64 = 0.6;
/// Older reports are invalid (the mean load of servers with valid ones is assumed), older probes lost.
pub(crate) const REPORT_VALIDITY: Millis = 1_000.0;
/// Weight of a new sample in fast averages (of one server, of probe times) and in slow ones (all others).
pub(crate) const SMOOTHING: f64 = 0.15;
pub(crate) const FLEET_SMOOTHING: f64 = 0.02;
/// The service time assumed before the first answers, as a share of the class's aim.
const INITIAL_SERVICE_TIME_AIM_SHARE: f64 = 0.15;
/// An unanswered send counts as this share of an answer that took as long, since service times vary.
const UNANSWERED_WEIGHT: f64 = 0.5;
/// The longest acceptable answer time (`max_wait`), as a share of the time left to the aim.
const MAX_WAIT_AIM_SHARE: f64 = 0.6;
/// Effect of a request's worth per service time on its longest acceptable answer time; 0 is none.
const WORTH_EXPONENT: f64 = 0.4;
/// Effect on a class's longest acceptable answer time of the excess of its refused share over the mean.
const CLASS_REFUSAL_WEIGHT: f64 = 0.5;
/// A server is idle if its utilisation with one more request is at most this.
const IDLE_UTILISATION: f64 = 0.5;
/// Weight of the refused share: while that is at most 1/4, servers with one request in flight are idle, too.
const IDLE_REFUSAL_WEIGHT: f64 = 2.0;
/// Retry budget: tokens earned per request, and the most that are saved up. A further attempt takes one.
const RETRY_RATIO: f64 = 0.1;
const MAX_RETRY_TOKENS: f64 = 10.0;
/// A refused client is asked to wait for up to this share of its class's aim before it retries.
const RETRY_AFTER_AIM_SHARE: f64 = 0.3;
/// An unanswered attempt is a failure of its server if the server was unresponsive with this probability.
const UNRESPONSIVE_PROBABILITY: f64 = 0.5;
/// Factor on the probability that a warming-up server gets a request, since speeds and costs are estimates.
const ADMISSION_FACTOR: f64 = 0.5;
/// When more kinds of machine than this are known, those without servers are dropped.
const MAX_KINDS: usize = 64;
/// The most servers examined in one sample. Among that many, all pairs with capacity are equally likely.
/// Among more, of which a share `f` has capacity, none is found with probability (1 - f)^MAX_EXAMINED.
const MAX_EXAMINED: usize = 24;

/// The decision module of one sidecar. The same seed, settings and events give the same actions.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Rand64,
    pub(crate) now: Millis,
    /// Limits traffic that leaves the zone, if there is such a limit.
    pub(crate) cross_zone_budget: Option<Box<dyn CrossZoneLimiter>>,
    pub(crate) requests: FxHashMap<RequestId, PendingRequest>,
    pub(crate) upstreams: Fleet,
    /// Unfinished attempts: send number over all requests (a report lacks sends from some number on), server.
    pub(crate) sends: FxHashMap<(RequestId, AttemptNo), (u64, UpstreamId)>,
    pub(crate) next_send: u64,
    pub(crate) uploads: Uploads,
    pub(crate) check_schedule: CheckSchedule,
    /// Their timer has token 0, which no wait for probes has: the sidecar's request ids begin at 2.
    discovery_calls: CallSchedule,
    probe_budget: ProbeBudget,
    pub(crate) outages: ZoneOutages,
    /// The order in which servers are taken into the subset.
    pub(crate) ranking: ServerRanking,
    subset_size: SubsetSize,
    /// Requests that wait for the probe of a server.
    pub(crate) waiting: BTreeSet<(UpstreamId, RequestId)>,
    pub(crate) estimates: Estimates,
}

impl Balancer {
    /// A module without servers and with initial estimates.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        // Until answers come, the assumed service time leaves time for a queue and another attempt.
        let initial = |class: &Class| ClassEstimates::new(class.aim * INITIAL_SERVICE_TIME_AIM_SHARE);
        let service = settings.classes.iter().map(initial).collect();
        let estimates = Estimates::new(service, settings.tenants.len(), MAX_RETRY_TOKENS);
        let probe_budget = ProbeBudget::new(settings.probe_cost);
        let ranking = ServerRanking::new(settings.identity);
        let home_zone = (settings.cross_zone_cost > 0.0).then_some(settings.zone);
        Balancer {
            settings,
            rng: Rand64::new(u128::from(seed)),
            now: 0.0,
            cross_zone_budget: None,
            requests: FxHashMap::default(),
            upstreams: Fleet::new(ranking, home_zone),
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

    /// The number of servers examined so far: a measure of the cost of sampling on any machine.
    pub fn servers_examined(&self) -> u64 {
        self.upstreams.examined_count
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.upstreams.advance(self.now);
        match event {
            Event::RequestArrived { request, class, tenant, time_left } => {
                let pending = PendingRequest::new(class, tenant, self.now, time_left.max(0.0));
                self.request_arrived(request, pending, out);
            }
            Event::UploadProgress { request, attempt, in_progress } => {
                self.track_upload(request, attempt, in_progress)
            }
            Event::AnswerProgress { request, attempt, progress } => {
                self.track_answer(request, attempt, progress)
            }
            Event::AttemptFinished(finished) => {
                self.track_upload(finished.request, finished.attempt, false);
                self.record_outcome(finished, out);
                self.attempt_finished(finished, out);
            }
            Event::ClientDisconnected(request) => {
                // A disconnect after the aim or deadline is a late answer; an earlier one shows nothing.
                let is_in_flight = |p: &&PendingRequest| p.attempts.iter().any(|t| t.in_flight);
                if self.requests.get(&request).filter(is_in_flight).is_some_and(|p| self.aim_left(p) <= 0.0) {
                    self.estimates.throttle.record_finished(false);
                }
                self.close(request, out);
            }
            Event::ProbeFinished { upstream, answered, report } => {
                self.probe_ended(upstream, answered, report, out)
            }
            Event::ListReceived(update) => self.list_received(update, out),
            Event::SidecarCountChanged(count) => {
                self.settings.sidecars = count;
                let budget = self.cross_zone_budget.iter_mut();
                budget.for_each(|budget| budget.set_sidecar_count(self.now, count));
            }
            Event::TimerFired(0) if self.discovery_calls.begin_call(self.now) => out.push(Action::Subscribe),
            Event::TimerFired(check_schedule::TIMER_TOKEN) => {
                self.check_schedule.timer_fired();
                while let Some(request) = self.check_schedule.pop_due(self.now) {
                    self.check_attempt(request, out);
                }
            }
            Event::TimerFired(token) => self.probe_wait_ended(token, out),
        }
        self.check_schedule.arm_timer(out);
    }

    fn request_arrived(&mut self, request: RequestId, pending: PendingRequest, out: &mut Vec<Action>) {
        if self.requests.contains_key(&request) {
            return;
        }
        if pending.class.0 >= self.settings.classes.len() {
            return out.push(Action::Refuse { request, retry_after: 0.0 });
        }
        self.estimates.retry_tokens = (self.estimates.retry_tokens + RETRY_RATIO).min(MAX_RETRY_TOKENS);
        self.probe_budget.record_arrival();
        self.subset_size.record_arrival(self.now);
        for (number, share) in self.estimates.tenant_shares.iter_mut().enumerate() {
            *share += FLEET_SMOOTHING * (f64::from(u8::from(number == pending.tenant.0)) - *share);
        }
        let service_time = self.estimates.classes[pending.class.0].service_time;
        let mean_service = self.estimates.mean_service_time.get_or_insert(service_time);
        *mean_service += FLEET_SMOOTHING * (service_time - *mean_service);
        let density = self.worth_density(&pending);
        let mean_density = self.estimates.mean_density.unwrap_or(density);
        self.estimates.mean_density = Some(mean_density + FLEET_SMOOTHING * (density - mean_density));
        // The throttle is for servers that don't report their load; otherwise the reports decide.
        let aim = self.settings.classes[pending.class.0].aim;
        let (throttle, reported) = (&mut self.estimates.throttle, self.estimates.first_report_at.is_some());
        let probability = if reported { 0.0 } else { throttle.refusal_probability(self.now, aim) };
        self.requests.insert(request, pending);
        // A random value is drawn only where it decides something.
        if probability > 0.0 && self.rng.rand_float() < probability {
            self.estimates.throttle.record_refused();
            return self.refuse_or_fail(request, out);
        }
        self.dispatch(request, out);
    }

    /// Lets a request wait for probes, sends it to one of a pair (another if neither admits it), or ends it.
    pub(crate) fn dispatch(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&request).cloned() else { return };
        let selected = self.select_pair(&pending, out);
        let (pair, was_probed) = (selected.map(|(pair, _)| pair), selected.is_some_and(|(_, probed)| probed));
        // With old reports, sidecars of little traffic would overload the same servers or refuse needlessly.
        if let Some(pair) = pair.filter(|pair| pair.iter().any(|c| c.awaits_probe)) {
            return self.wait_for_probes(request, pair, was_probed, out);
        }
        let has_no_pair = f64::from(u8::from(pair.is_none()));
        self.estimates.refused_share += FLEET_SMOOTHING * (has_no_pair - self.estimates.refused_share);
        let class = &mut self.estimates.classes[pending.class.0];
        class.refused_share += FLEET_SMOOTHING * (has_no_pair - class.refused_share);
        let by_load = pair.map(|[a, b]| if b.projected_load < a.projected_load { [b, a] } else { [a, b] });
        let admitted = by_load.into_iter().flatten().find(|c| self.admits(c, &pending, was_probed));
        let fallback = |_| self.select_warmed_up(&pending).or_else(|| self.find_warming_up_server(&pending));
        match admitted.or_else(|| pair.and_then(fallback)) {
            Some(candidate) => self.send(request, candidate, out),
            None => self.refuse_or_fail(request, out),
        }
    }

    /// Whether a server may get this request. While the server warms up, two bounds apply. One is a
    /// probability, since a sidecar's share of the server may be less than one request: each of `n` servers
    /// is in the pairs of at most 2/`n` of the requests, and the probability lowers that to what all sidecars
    /// together may send. The other is an amount of work (`src/slow_start.rs`), the same for each sidecar,
    /// because a probability bounds nothing when many sidecars start at the same time as the server.
    fn admits(&mut self, to: &Candidate, pending: &PendingRequest, was_probed: bool) -> bool {
        if to.warm_up_fraction >= 1.0 {
            return true;
        }
        let sampled_share = if was_probed { pending.sampled_share } else { self.sampled_share(pending) };
        // While requests are refused, more arrive than servers can carry, and more of them for this server.
        let multiple = self.settings.slow_start.overload_multiple * to.warm_up_fraction;
        let probability =
            ADMISSION_FACTOR * multiple / 2.0 * sampled_share * (1.0 - self.estimates.refused_share);
        self.try_spend_allowance(to, pending.class, probability)
    }

    /// Lets a request wait for the probes of its pair. Tokens have 63 bits: two request ids share each.
    fn wait_for_probes(&mut self, request: RequestId, pair: Pair, was_probed: bool, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&request) else { return };
        // If a server is warming up, the sampled share is fixed now: it may change while the request waits.
        let sampled_share = match pair.iter().any(|c| c.warm_up_fraction < 1.0) {
            true if !was_probed => self.sampled_share(&pending.clone()),
            _ => pending.sampled_share,
        };
        let Some(pending) = self.requests.get_mut(&request) else { return };
        (pending.sampled_share, pending.probe_waits, pending.exemption) =
            (sampled_share, pending.probe_waits + 1, pair.iter().find_map(|c| c.exemption));
        let longest = PROBE_WAIT_AIM_SHARE * self.settings.classes[pending.class.0].aim;
        let by_probes = self.estimates.probe_time.map(|time| PROBE_WAIT_PROBE_TIMES * time);
        let at = self.now + by_probes.map_or(longest, |time| longest.min(time));
        out.push(Action::SetTimer { at: at.min(pending.deadline), token: request.0 >> 1 });
        let replaced = pending.pair.replace(pair.map(|c| c.id));
        self.stop_waiting(request, replaced);
        self.waiting.extend(pair.map(|c| (c.id, request)));
    }

    /// Dispatches the requests of this token that wait for probes, even if the timer is of an earlier wait.
    fn probe_wait_ended(&mut self, token: u64, out: &mut Vec<Action>) {
        for request in [token << 1, token << 1 | 1].map(RequestId) {
            if self.requests.get(&request).is_some_and(|pending| pending.pair.is_some()) {
                self.dispatch(request, out);
            }
        }
    }

    /// `max_wait`, the longest acceptable answer time, as a share of the time left to the aim. Under overload
    /// queues grow up to it, so requests of less worth per service time than the mean are refused first.
    fn max_wait_share(&self, pending: &PendingRequest) -> f64 {
        let density = self.worth_density(pending);
        let mean_density = self.estimates.mean_density.unwrap_or(density);
        let worth_factor = (density / mean_density).powf(WORTH_EXPONENT).clamp(0.5, 1.5);
        // By worth alone, one class would bear all refusals.
        let excess = self.estimates.classes[pending.class.0].refused_share - self.estimates.refused_share;
        let refusal_factor = (1.0 + CLASS_REFUSAL_WEIGHT * excess).max(0.5);
        self.estimates.wait_scale * MAX_WAIT_AIM_SHARE * worth_factor * refusal_factor
    }

    /// Worth of a request per millisecond of service time. No sidecar can know which tenants exceed their
    /// quotas. The likeliest are those whose share of our arrivals exceeds their share of all quotas.
    fn worth_density(&self, pending: &PendingRequest) -> f64 {
        let quotas: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        let quota = self.settings.tenants.get(pending.tenant.0).map_or(0.0, |tenant| tenant.quota_per_s);
        let share = self.estimates.tenant_shares.get(pending.tenant.0).copied().unwrap_or(0.0);
        let within_quota = if quota > 0.0 && share > 0.0 { (quota / quotas / share).min(1.0) } else { 1.0 };
        let worth = self.settings.classes[pending.class.0].worth;
        worth * (within_quota + (1.0 - within_quota) * self.settings.over_quota_worth)
            / self.estimates.classes[pending.class.0].service_time.max(1.0)
    }

    /// Time until an answer loses its full worth, or the client stops waiting.
    pub(crate) fn aim_left(&self, pending: &PendingRequest) -> Millis {
        pending.deadline.min(pending.arrived + self.settings.classes[pending.class.0].aim) - self.now
    }

    /// Ends a request: refused if a repeat by the client is certainly harmless, else failed.
    fn refuse_or_fail(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.remove_request(request) else { return };
        let may_repeat = match self.settings.classes[pending.class.0].effect {
            Effect::Idempotent | Effect::IdempotentByKey { scope: KeyScope::All, .. } => true,
            Effect::IdempotentByKey { .. } | Effect::NonIdempotent => {
                !pending.attempts.iter().any(|t| t.may_have_run)
            }
        };
        if may_repeat {
            // The wait leaves time to meet the aim. It is random, so that clients don't all retry together.
            let wait =
                RETRY_AFTER_AIM_SHARE * self.settings.classes[pending.class.0].aim * self.rng.rand_float();
            let retry_after = wait.min(self.settings.limits.max_retry_after);
            out.push(Action::Refuse { request, retry_after });
        } else {
            out.push(Action::Fail(request));
        }
    }

    fn remove_request(&mut self, request: RequestId) -> Option<PendingRequest> {
        self.cancel_check(request);
        let pending = self.requests.remove(&request)?;
        self.stop_waiting(request, pending.pair);
        Some(pending)
    }

    pub(crate) fn cancel_check(&mut self, request: RequestId) {
        if let Some(pending) = self.requests.get_mut(&request) {
            self.check_schedule.reschedule(request, pending.check_at.take(), None);
        }
    }

    fn stop_waiting(&mut self, request: RequestId, pair: Option<[UpstreamId; 2]>) {
        for id in pair.into_iter().flatten() {
            self.waiting.remove(&(id, request));
        }
    }

    // --- Evaluation of servers ---------------------------------------------------------------

    /// Factor on the times of probes, reports and estimates, for service times over [`BASE_SERVICE_TIME`].
    pub(crate) fn time_scale(&self) -> f64 {
        let mean_service = self.estimates.mean_service_time.unwrap_or(BASE_SERVICE_TIME);
        (mean_service / BASE_SERVICE_TIME).clamp(1.0, MAX_TIME_SCALE)
    }

    /// The terms on which a request evaluates all servers.
    pub(crate) fn selection_context(&self, pending: &PendingRequest) -> SelectionContext {
        let aim_left = self.aim_left(pending);
        let has_time = aim_left > 2.0 * PROBE_WAIT_AIM_SHARE * self.settings.classes[pending.class.0].aim;
        // With roughly exponential answer times, an answer misses the aim with probability
        // exp(-aim_left/expected_latency). Crossing pays from the latency at which this equals its cost.
        let budget = self.cross_zone_budget.as_ref();
        let terms = budget.map(|budget| budget.cross_zone_cost(self.now, pending.class));
        let break_even = |cost: f64| if cost > 0.0 { aim_left / (1.0 / cost).ln().max(1.0) } else { 0.0 };
        let service_time = self.estimates.classes[pending.class.0].service_time;
        let wait_factor = if pending.probe_waits > 0 { WAIT_FACTOR_AFTER_PROBES } else { 1.0 };
        SelectionContext {
            service_time,
            outside_subset: false,
            // No less than the age from which servers are probed, else there would be no probe to wait for.
            max_report_age: (PROBE_WAIT_SERVICE_TIMES * service_time).max(PROBE_AFTER * self.time_scale()),
            means: self.upstreams.means(),
            may_wait_for_probe: self.settings.limits.probes
                && self.probe_budget.can_afford(2.0)
                && pending.probe_waits < MAX_PROBE_WAITS
                && has_time
                && self.estimates.probe_time.is_none_or(|time| time <= MAX_PROBE_TIME_SHARE * service_time),
            max_wait: self.max_wait_share(pending) * aim_left * wait_factor,
            same_zone_limit: break_even(terms.map_or(self.settings.cross_zone_cost, |terms| terms.cost)),
            max_failure_rate: terms.map_or(1.0, |terms| terms.exemption_threshold),
        }
    }

    /// Evaluates a server for a request, with its projected load and expected answer time.
    pub(crate) fn examine(
        &self,
        slot: Slot,
        pending: &PendingRequest,
        context: &SelectionContext,
    ) -> Option<Candidate> {
        let (id, server) = self.upstreams.at_slot(slot)?;
        let in_flight = self.estimated_in_flight(server, &context.means);
        let capacity = self.estimated_capacity(server);
        let warm_up_fraction = server.warm_up_fraction(self.now, &self.settings.slow_start);
        let slowness = self.current_slowness(server) / warm_up_fraction;
        let depth = ((in_flight + 1.0) / capacity).max(1.0);
        // An empty server is idle whatever its estimated capacity: only answers can correct the estimate.
        let idle_requests = (2.5 - IDLE_REFUSAL_WEIGHT * self.estimates.refused_share).max(1.0);
        let is_lightly_loaded = in_flight + 1.0 <= (IDLE_UTILISATION * capacity).max(idle_requests);
        Some(Candidate {
            id,
            zone: server.zone,
            same_zone: server.zone == self.settings.zone,
            exemption: None,
            has_valid_report: server.has_valid_report,
            awaits_probe: context.may_wait_for_probe
                && self.now - server.reported_at > context.max_report_age,
            // A server that has just failed this request is the likeliest to fail it again.
            healthy: self.is_available(server)
                && !self.outages.is_unreachable(server.zone)
                && pending.attempts.iter().all(|t| t.upstream != id),
            projected_load: (in_flight + 1.0) / capacity * slowness,
            depth,
            idle: self.reports_idle(server) || is_lightly_loaded,
            expected_latency: context.service_time * slowness * depth,
            failure_rate: server.failure_rate,
            warm_up_fraction,
        })
    }

    /// The servers that may get a further attempt, given the attempts that may have run; `None` if none may.
    pub(crate) fn candidate_scope(&self, pending: &PendingRequest) -> Option<CandidateScope> {
        let Some(first) = pending.attempts.iter().find(|t| t.in_flight || t.may_have_run) else {
            return Some(CandidateScope::All);
        };
        match self.settings.classes[pending.class.0].effect {
            Effect::Idempotent => Some(CandidateScope::All),
            Effect::NonIdempotent => None,
            // The window counts from the first send that may have run; one tick is left for the time to send.
            Effect::IdempotentByKey { scope, window } => {
                let is_in_window = self.now + self.settings.limits.tick < first.sent + window;
                is_in_window.then_some(match scope {
                    KeyScope::All => CandidateScope::All,
                    KeyScope::Zone => CandidateScope::Zone(first.zone),
                    KeyScope::Cell => CandidateScope::Cell(first.cell),
                })
            }
        }
    }

    pub(crate) fn estimated_capacity(&self, server: &Upstream) -> f64 {
        self.estimates.capacity(server, self.upstreams.members_of(server.kind), self.now, self.time_scale())
    }

    /// Requests in flight: the last report plus our sends since; without a valid one, ours plus others' mean.
    fn estimated_in_flight(&self, server: &Upstream, means: &FleetMeans) -> f64 {
        let own = server.outstanding.len() as f64;
        if !server.has_valid_report || !self.estimates.reports_are_trusted() {
            // All sidecars together keep a warming-up server within its capacity: others add no queue there.
            let is_warming_up = server.warm_up_fraction(self.now, &self.settings.slow_start) < 1.0;
            return own + if is_warming_up { 0.0 } else { means.in_flight_from_others };
        }
        // A report with fewer requests than we have outstanding there is out of date.
        (server.reported_in_flight + server.unreported_sends as f64).max(own)
    }

    /// Whether a server of unknown capacity reports a low utilisation and has at most doubled its load since.
    fn reports_idle(&self, server: &Upstream) -> bool {
        let is_trusted = server.has_valid_report
            && self.estimates.reports_are_trusted()
            && server.unreported_sends as f64 <= server.reported_in_flight + 1.0;
        let is_low = server.utilisation.is_some_and(|utilisation| utilisation < IDLE_UTILISATION);
        server.capacity.is_none() && is_trusted && is_low
    }

    /// Service time relative to the mean server's, from answers and from sends that are long unanswered.
    fn current_slowness(&self, server: &Upstream) -> f64 {
        let estimated = self.estimated_slowness(server);
        // An unresponsive server gives no answers; the time since its last one is used instead.
        let by_unanswered = server.outstanding.oldest().map_or(0.0, |(_, oldest)| {
            UNANSWERED_WEIGHT * (self.now - oldest.sent.max(server.answered_at))
                / (oldest.depth * self.estimates.classes[oldest.class.0].service_time)
        });
        estimated.max(by_unanswered).max(0.05)
    }

    pub(crate) fn estimated_slowness(&self, server: &Upstream) -> f64 {
        let members = self.upstreams.members_of(server.kind);
        self.estimates.relative_service_time(server, members, self.now, self.time_scale())
    }

    fn is_available(&self, server: &Upstream) -> bool {
        match server.health {
            Health::Ready => true,
            // Half-open after its ejection: one trial at a time.
            Health::Ejected { until, .. } => self.now >= until && server.outstanding.is_empty(),
        }
    }

    // --- Sampling ----------------------------------------------------------------------------

    /// Two random servers with capacity, and whether the request has waited for the probes of this pair.
    pub(crate) fn select_pair(
        &mut self,
        pending: &PendingRequest,
        out: &mut Vec<Action>,
    ) -> Option<(Pair, bool)> {
        self.update_subset();
        self.probe_unreachable_zones(out);
        let scope = self.candidate_scope(pending)?;
        let context = self.selection_context(pending);
        let probed = self.probed_pair(pending, &context);
        let subset = scope.in_subset();
        let is_new = probed.is_none() && pending.probe_waits == 0;
        let same_zone = if is_new { self.same_zone_pair(subset, pending, &context) } else { None };
        let mut pair = probed.or(same_zone).or_else(|| self.sample_allowed(subset, pending, &context));
        if pair.is_none() && subset != scope && self.upstreams.sizes(scope) != self.upstreams.sizes(subset) {
            // Before a refusal, the whole scope is sampled if larger. A pair found there widens the subset.
            pair = self.sample_allowed(scope, pending, &SelectionContext { outside_subset: true, ..context });
            if pair.is_some() {
                self.subset_size.widen();
            }
        }
        let Some(pair) = pair else {
            let context = self.selection_context(pending);
            self.probe_at_random(scope, &context, out);
            return None;
        };
        pair.iter().for_each(|candidate| self.probe_if_due(candidate.id, out));
        Some((pair, probed.is_some()))
    }

    /// Adapts the subset to traffic and members. The fleet is moved out, as the closure borrows `self`.
    fn update_subset(&mut self) {
        if self.estimates.observed_capacity.is_review_due(self.now) {
            let warmed_up = self.upstreams.warmed_up_servers(self.now, &self.settings.slow_start);
            self.estimates.observed_capacity.review(self.now, warmed_up);
        }
        let size = self.subset_size.target(self.now, self.upstreams.serving_count(), self.settings.sidecars);
        if self.upstreams.is_subset_current(size, self.now) {
            return;
        }
        let mut fleet = std::mem::replace(&mut self.upstreams, Fleet::new(self.ranking, None));
        fleet.update_subset(size, self.now, |_, server| self.subset_status(server));
        self.upstreams = fleet;
    }

    /// Probes two servers after a refusal: otherwise nothing would show that there is capacity again.
    fn probe_at_random(&mut self, scope: CandidateScope, context: &SelectionContext, out: &mut Vec<Action>) {
        let mut sampler = CandidateSampler::new(&self.upstreams, scope, true);
        for _ in 0..2 {
            let slot = sampler.next(&mut self.upstreams, &mut self.rng);
            let Some((id, server)) = slot.and_then(|slot| self.upstreams.at_slot(slot)) else { return };
            if self.now - server.reported_at > context.max_report_age {
                self.probe_if_due(id, out);
            }
        }
    }

    /// The pair whose probes the request has waited for, if acceptable; one server twice if the other is not.
    fn probed_pair(&self, pending: &PendingRequest, context: &SelectionContext) -> Option<Pair> {
        let longest = |c: &Candidate| match pending.probe_waits == 1 && c.same_zone {
            true => context.same_zone_limit.min(context.max_wait),
            false => context.max_wait,
        };
        let suits = |c: &Candidate| c.healthy && context.has_capacity(c) && c.expected_latency <= longest(c);
        let is_allowed = |c: &Candidate| self.is_serving(c.id) && self.is_still_allowed(pending, c);
        let [a, b] = pending.pair?.map(|id| {
            let candidate = self.examine(self.upstreams.slot(id)?, pending, context);
            candidate.filter(|c| suits(c) && is_allowed(c))
        });
        Some([a.or(b)?, b.or(a)?])
    }

    /// Two servers of the same zone whose expected answer times are so short that crossing would not pay.
    fn same_zone_pair(
        &mut self,
        scope: CandidateScope,
        pending: &PendingRequest,
        context: &SelectionContext,
    ) -> Option<Pair> {
        if context.same_zone_limit == 0.0 {
            return None;
        }
        let scope = match scope {
            CandidateScope::Members => CandidateScope::MembersInZone(self.settings.zone),
            _ => scope,
        };
        self.sample_pair(scope, pending, context, false, |c| c.healthy && context.suits_same_zone(c))
    }

    /// Two `allowed` servers in scope with capacity. Unhealthy ones only if none examined is healthy.
    pub(crate) fn sample_pair_preferring_healthy(
        &mut self,
        scope: CandidateScope,
        pending: &PendingRequest,
        context: &SelectionContext,
        allowed: impl Fn(&Candidate) -> bool,
    ) -> Option<Pair> {
        let is_usable = |c: &Candidate| context.has_capacity(c) && allowed(c);
        let mut any_healthy = false;
        let healthy = self.sample_pair(scope, pending, context, false, |candidate| {
            any_healthy |= candidate.healthy;
            candidate.healthy && is_usable(candidate)
        });
        // An unhealthy server is better than none.
        if any_healthy { healthy } else { self.sample_pair(scope, pending, context, true, is_usable) }
    }

    /// The first two `wanted` servers in random order, or the only one twice. May include ejected servers.
    pub(crate) fn sample_pair(
        &mut self,
        scope: CandidateScope,
        pending: &PendingRequest,
        context: &SelectionContext,
        include_ejected: bool,
        mut wanted: impl FnMut(&Candidate) -> bool,
    ) -> Option<Pair> {
        let mut sampler = CandidateSampler::new(&self.upstreams, scope, include_ejected);
        let mut first = None;
        for _ in 0..MAX_EXAMINED {
            let Some(slot) = sampler.next(&mut self.upstreams, &mut self.rng) else { break };
            let Some(found) = self.examine(slot, pending, context).filter(|c| wanted(c)) else { continue };
            match first {
                None => first = Some(found),
                Some(first) => return Some([first, found]),
            }
        }
        first.map(|only| [only, only])
    }

    /// Servers that pairs are sampled from, as a share of the scope. Needed only if one of a pair warms up.
    fn sampled_share(&mut self, pending: &PendingRequest) -> f64 {
        let Some(scope) = self.candidate_scope(pending).map(CandidateScope::in_subset) else { return 1.0 };
        let context = self.selection_context(pending);
        let size = self.upstreams.sizes(scope).1.max(1) as f64;
        let has_capacity = |c: &Candidate| context.has_capacity(c);
        let zone = match scope {
            CandidateScope::Members => CandidateScope::MembersInZone(self.settings.zone),
            _ => scope,
        };
        let same_zone = if context.same_zone_limit != 0.0 {
            // The pairs of a class that is confined to the zone stay there while a server there has capacity.
            let stays = self.is_confined_to_zone(pending.class);
            let suits = |c: &Candidate| context.suits_same_zone(c) || stays && c.same_zone && has_capacity(c);
            self.estimate_count(zone, pending, &context, suits)
        } else {
            0.0
        };
        let sampled_from = match same_zone > 0.0 {
            true => same_zone,
            false => self.estimate_count(scope, pending, &context, has_capacity),
        };
        if sampled_from > 0.0 { sampled_from / size } else { 1.0 }
    }

    /// The number of healthy servers in scope that are `wanted`, estimated from a sample.
    fn estimate_count(
        &mut self,
        scope: CandidateScope,
        pending: &PendingRequest,
        context: &SelectionContext,
        wanted: impl Fn(&Candidate) -> bool,
    ) -> f64 {
        let mut sampler = CandidateSampler::new(&self.upstreams, scope, false);
        let (mut examined, mut found) = (0.0, 0.0);
        for _ in 0..MAX_EXAMINED {
            let Some(slot) = sampler.next(&mut self.upstreams, &mut self.rng) else { break };
            examined += 1.0;
            let is_wanted = self.examine(slot, pending, context).is_some_and(|c| c.healthy && wanted(&c));
            found += f64::from(u8::from(is_wanted));
        }
        found / f64::max(examined, 1.0) * self.upstreams.sizes(scope).0 as f64
    }

    fn is_serving(&self, id: UpstreamId) -> bool {
        self.upstreams.get(id).is_some_and(|server| server.serving)
    }

    /// Probes a server unless probes are off or unaffordable, its report is recent or a probe is under way.
    pub(crate) fn probe_if_due(&mut self, id: UpstreamId, out: &mut Vec<Action>) {
        let may_probe = self.settings.limits.probes && self.probe_budget.can_afford(1.0);
        let (now, next_send) = (self.now, self.next_send);
        let (min_age, lost_after) = (PROBE_AFTER * self.time_scale(), REPORT_VALIDITY * self.time_scale());
        let start_if_due = |server: &mut Upstream| {
            let is_under_way = server.probe_sent.is_some_and(|sent| now - sent < lost_after);
            let is_due = may_probe && !is_under_way && now - server.reported_at > min_age;
            if is_due {
                server.probe_sent = Some(now);
                (server.first_send_after_probe, server.sends_after_probe) = server.unreported(next_send, now);
            }
            is_due
        };
        if self.upstreams.update(id, start_if_due) == Some(true) {
            self.account_probe(id);
            self.probe_budget.spend();
            out.push(Action::Probe(id));
        }
    }

    fn send(&mut self, request: RequestId, to: Candidate, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&request) else { return };
        let time_left = (pending.deadline - self.now).max(0.0);
        let evidence = self.initial_evidence(to.expected_latency, to.failure_rate);
        let may_retry = self.may_retry(pending, pending.attempts.len() + 1);
        let check_after = may_retry.then(|| self.next_check_after(pending, &evidence, 0.0)).flatten();
        // Where attempts cannot be cancelled, the time-out has to be decided beforehand.
        let (timeout, check_after) = match self.settings.limits.cancel {
            true => (time_left, check_after),
            false if may_retry => (self.attempt_timeout(pending, to).min(time_left), None),
            false => (time_left, None),
        };
        let mean_latency = &mut self.estimates.classes[pending.class.0].expected_latency;
        *mean_latency += FLEET_SMOOTHING * (to.expected_latency - *mean_latency);
        let (class, attempt) = (pending.class, AttemptNo(pending.attempts.len() as u32));
        let (sent, number, exemption) = (self.now, self.next_send, to.exemption.or(pending.exemption));
        let Candidate { depth, expected_latency, .. } = to;
        let add_send = |server: &mut Upstream| {
            server.add_send(number, OutstandingSend { class, sent, depth, expected_latency });
            Attempt::new(to.id, server, sent)
        };
        let Some(started) = self.upstreams.update(to.id, add_send) else { return };
        self.next_send += 1;
        self.sends.insert((request, attempt), (number, to.id));
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.attempts.push(started);
            let pair = pending.pair.take();
            pending.check_at = check_after.map(|after| sent + after);
            self.check_schedule.reschedule(request, None, pending.check_at);
            self.stop_waiting(request, pair);
        }
        self.account_attempt(CrossZoneAttempt { request, number: attempt, class, to: to.zone, exemption });
        out.push(Action::Send { request, upstream: to.id, timeout });
    }

    // --- Outcomes ----------------------------------------------------------------------------

    /// After an attempt has finished, closes its request, tries again, or refuses or fails the request.
    fn attempt_finished(&mut self, finished: FinishedAttempt, out: &mut Vec<Action>) {
        let FinishedAttempt { request, outcome, .. } = finished;
        let number = finished.attempt.0 as usize;
        let Some(pending) = self.requests.get_mut(&request) else { return };
        let Some(attempt) = pending.attempts.get_mut(number).filter(|t| t.in_flight) else { return };
        attempt.in_flight = false;
        self.check_schedule.reschedule(request, pending.check_at.take(), None);
        // Full servers answer soon. Their answers count as late: counted as in time, they worsen an overload.
        let is_full = outcome == Outcome::Full;
        let counts_late = is_full || self.now > pending.arrived + self.settings.classes[pending.class.0].aim;
        let gain = if is_full { SMOOTHING } else { FLEET_SMOOTHING };
        let step = gain * (TARGET_LATE_SHARE - f64::from(u8::from(counts_late)));
        self.estimates.wait_scale = (self.estimates.wait_scale * (1.0 + step)).clamp(0.25, 1.0);
        // Failures are those of one server; an overload shows in late answers.
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            self.estimates.throttle.record_finished(outcome == Outcome::Ok && !counts_late);
        }
        attempt.may_have_run = outcome.may_have_run();
        if finished.client_answered || outcome == Outcome::Ok {
            return self.close(request, out);
        }
        let pending = pending.clone();
        let has_attempts_left = (pending.attempts.len() as u32) < self.settings.limits.max_attempts;
        let was_abandoned = pending.attempts[number].abandoned;
        let is_worth_it = self.aim_left(&pending) > 0.0 && (outcome != Outcome::NotSent || was_abandoned);
        if has_attempts_left && is_worth_it && self.estimates.retry_tokens >= 1.0 {
            self.estimates.retry_tokens -= 1.0;
            self.dispatch(request, out);
        } else {
            self.refuse_or_fail(request, out);
        }
    }

    /// Removes a request that needs no answer any more and cancels its attempts in flight.
    fn close(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.remove_request(request) else { return };
        let cancel = self.settings.limits.cancel;
        for (number, _) in pending.attempts.iter().enumerate().filter(|(_, t)| t.in_flight && cancel) {
            out.push(Action::Cancel { request, attempt: AttemptNo(number as u32) });
        }
    }

    /// Updates estimates and health by a finished attempt, whether or not its request is still pending.
    fn record_outcome(&mut self, finished: FinishedAttempt, out: &mut Vec<Action>) {
        let FinishedAttempt { request, attempt, upstream: id, outcome, latency, .. } = finished;
        let key = (request, attempt);
        let Some(&(number, _)) = self.sends.get(&key).filter(|(_, to)| *to == id) else { return };
        self.sends.remove(&key);
        let attempts = self.requests.get(&request).map(|pending| &pending.attempts);
        let attempt = attempts.and_then(|attempts| attempts.get(attempt.0 as usize));
        let was_abandoned = attempt.is_some_and(|t| t.abandoned) && outcome == Outcome::Cancelled;
        let was_abandoned_in_pause = attempt.is_some_and(|t| t.abandoned_in_pause);
        let is_unanswered = was_abandoned || outcome == Outcome::TimedOut;
        let server = self.upstreams.get(id).filter(|_| is_unanswered);
        let outstanding = server.and_then(|server| Some((server, server.outstanding.get(number)?)));
        let evidence = outstanding.map(|(server, sent)| self.gather_evidence(server, number, &sent));
        let sent = self.upstreams.update(id, |server| server.remove_send(number)).flatten();
        let Some(sent) = sent else { return };
        self.record_zone_outcome(id, outcome);
        self.update_observed_capacity(id, &sent, outcome);
        let latencies = &mut self.estimates.classes[sent.class.0].latencies;
        let relative_latency = latency / sent.expected_latency;
        let unresponsive = evidence.map_or(0.0, |e| e.unresponsive_probability(latencies, latency));
        let is_overdue = evidence
            .is_some_and(|e| !e.answered_since && latency >= UNRESPONSIVE_MULTIPLE * e.slowdown * e.expected);
        match outcome {
            Outcome::Ok => {
                latencies.record_answer(relative_latency);
                self.estimates.unresponsive.record_latency(relative_latency);
                self.estimates.unresponsive.record_attempt(0.0);
                self.update_slowness(id, sent, latency, true);
            }
            Outcome::Cancelled if !was_abandoned => {}
            Outcome::TimedOut | Outcome::Cancelled => {
                latencies.record_abandoned(relative_latency, 1.0 - unresponsive);
                if unresponsive < UNRESPONSIVE_PROBABILITY {
                    self.estimates.unresponsive.record_latency(relative_latency);
                }
                self.estimates.unresponsive.record_attempt(unresponsive);
                self.update_slowness(id, sent, latency, false);
            }
            _ => {}
        }
        if let Some(report) = finished.report {
            let (next_send, now) = (self.next_send, self.now);
            let unreported = self.upstreams.get(id).map(|server| server.unreported(next_send, now));
            self.record_report(id, report, unreported);
        }
        let failed = match outcome {
            Outcome::Ok => false,
            Outcome::Error | Outcome::Unreachable | Outcome::Reset => true,
            // Under overload, responsive servers time out, too, but are not so late without other answers.
            Outcome::TimedOut if unresponsive >= UNRESPONSIVE_PROBABILITY || is_overdue => true,
            Outcome::Cancelled if was_abandoned && unresponsive >= UNRESPONSIVE_PROBABILITY => true,
            // Its answer may have stopped for good.
            Outcome::Cancelled if was_abandoned_in_pause => true,
            _ => return self.upstreams.remove_if_gone(id),
        };
        self.update_health(id, failed, outcome == Outcome::Unreachable, out);
        self.upstreams.remove_if_gone(id);
    }

    /// Adds the work of a finished attempt, if its server has warmed up, to the work of such servers.
    fn update_observed_capacity(&mut self, id: UpstreamId, sent: &OutstandingSend, outcome: Outcome) {
        let (now, slow_start) = (self.now, &self.settings.slow_start);
        if self.upstreams.get(id).is_some_and(|u| u.warm_up_fraction(now, slow_start) >= 1.0) {
            let answered = f64::from(u8::from(outcome == Outcome::Ok));
            let work = answered * self.estimates.classes[sent.class.0].service_time;
            self.estimates.observed_capacity.record_attempt(now, work);
        }
    }

    /// Updates the service time of a class and the relative service time of a server from a latency without
    /// its share of queueing. A time-out shows a lower bound: the server is at least this slow.
    fn update_slowness(&mut self, id: UpstreamId, sent: OutstandingSend, latency: Millis, answered: bool) {
        let Some(server) = self.upstreams.get(id).filter(|_| latency > 0.0) else { return };
        let estimated = self.estimated_slowness(server);
        // The extra time of a warming-up server shows neither a queue nor its speed once it has warmed up.
        let warm_up_fraction = server.warm_up_fraction(self.now, &self.settings.slow_start);
        let (now, kind) = (self.now, server.kind);
        let without_queue = latency * warm_up_fraction / sent.depth;
        let class = &mut self.estimates.classes[sent.class.0];
        let relative = without_queue / class.service_time;
        let (sample, weight) = match answered {
            true => (relative, SMOOTHING),
            false => (estimated.max(UNANSWERED_WEIGHT * relative), 1.0),
        };
        let kind_answers = self.estimates.kinds.get(&kind).map_or(0.0, |kind| kind.answers);
        self.upstreams.update(id, |server| {
            server.relative_service_time = estimated + weight * (sample - estimated);
            (server.estimated_at, server.kind_answers_at_estimate) = (now, kind_answers);
            server.answered_at = if answered { now } else { server.answered_at };
        });
        self.estimates.kinds.entry(kind).or_default().record_answer(sample, FLEET_SMOOTHING);
        self.estimates.fleet.record_answer(sample, FLEET_SMOOTHING);
        // Only sends that met no queue show the service time. Behind an underestimated queue answers are
        // late; a service time estimated from them would cause refusals although there is capacity.
        if answered && sent.depth <= 1.0 {
            class.record_service_time(without_queue, FLEET_SMOOTHING);
        }
    }

    // --- Health ------------------------------------------------------------------------------

    /// Counts an outcome for or against a server, which may eject it or end its ejection.
    fn update_health(&mut self, id: UpstreamId, failed: bool, unreachable: bool, out: &mut Vec<Action>) {
        // At most a share of the subset may be ejected: if more of its members fail, others take their place.
        let members = self.upstreams.sizes(CandidateScope::Members).1;
        let may_eject = unreachable || outlier_ejection::may_eject(self.upstreams.ejected_count(), members);
        let (mean_failure_rate, random) = (self.upstreams.mean_failure_rate(), self.rng.rand_float());
        let inputs = (self.now, mean_failure_rate, may_eject, random);
        let record = |server: &mut Upstream| outlier_ejection::record(server, failed, unreachable, inputs);
        if let Some(change) = self.upstreams.update(id, record).flatten() {
            out.push(Action::Log(format!("server {} is {change}", id.0)));
        }
    }

    // --- The server list ---------------------------------------------------------------------

    fn list_received(&mut self, update: ListUpdate, out: &mut Vec<Action>) {
        let lacks_answer = matches!(update, ListUpdate::Unavailable | ListUpdate::Restored(_));
        if !lacks_answer {
            self.discovery_calls.record_answer();
        }
        match update {
            // Servers that a complete list lacks are gone.
            ListUpdate::Restored(list) | ListUpdate::Complete(list) => {
                self.upstreams.begin_complete_list();
                list.iter().for_each(|entry| self.apply_listing(entry));
                self.upstreams.end_complete_list();
            }
            ListUpdate::Changed(list) => list.iter().for_each(|entry| self.apply_listing(entry)),
            ListUpdate::Unavailable => out.push(Action::Log("server list unavailable".to_owned())),
        }
        if self.estimates.kinds.len() > MAX_KINDS {
            self.estimates.kinds.retain(|kind, _| self.upstreams.has_kind(*kind));
        }
        let Discovery::Subscribed { staleness_bound } = self.settings.discovery else { return };
        if lacks_answer {
            let random = self.rng.rand_float();
            let at = self.discovery_calls.schedule_call(self.now, staleness_bound, random);
            out.extend(at.map(|at| Action::SetTimer { at, token: 0 }));
        }
    }
}
