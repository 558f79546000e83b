//! A harness that drives one decision module: settings, a server list and events.
#![allow(dead_code)]

use sagemast_decide::Balancer;
use sagemast_decide::api::*;

pub const IDEMPOTENT: ClassId = ClassId(0);
pub const KEYED_BY_CELL: ClassId = ClassId(1);
pub const NON_IDEMPOTENT: ClassId = ClassId(2);
pub const KEYED_BY_ZONE: ClassId = ClassId(3);
pub const KEYED_BY_ALL: ClassId = ClassId(4);

pub fn class(effect: Effect) -> Class {
    Class { aim: 200.0, worth: 1.0, late_worth: 0.0, effect }
}

pub fn keyed(scope: KeyScope) -> Class {
    class(Effect::IdempotentByKey { scope, window: 300.0 })
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Effect::Idempotent),
            keyed(KeyScope::Cell),
            class(Effect::NonIdempotent),
            keyed(KeyScope::Zone),
            keyed(KeyScope::All),
        ],
        tenants: Vec::new(),
        over_quota_worth: 1.0,
        zone: ZoneId(0),
        sidecars: 2,
        identity: Identity::Anonymous,
        cross_zone_cost: 0.0,
        probe_cost: 0.0,
        attempt_cost: 0.1,
        limits: Limits {
            max_attempts: 4,
            allow_parallel_attempts: false,
            probes: true,
            cancel: true,
            max_retry_after: 400.0,
            tick: 4.0,
        },
        slow_start: SlowStartLimits {
            initial_capacity_share: 0.2,
            warm_up: 20_000.0,
            overload_multiple: 2.5,
            overload_window: 2_000.0,
        },
        discovery: Discovery::Pushed,
    }
}

pub fn listing(id: u64) -> Listing {
    Listing {
        upstream: UpstreamId(id),
        zone: ZoneId(0),
        cell: CellId(id / 10),
        kind: KindId(0),
        lifecycle: Lifecycle::Serving,
        weight: 1.0,
        started: None,
        key: id,
    }
}

/// One decision module and the time of its next event.
pub struct Harness {
    pub balancer: Balancer,
    pub now: Millis,
    last_request: u64,
}

impl Harness {
    pub fn new(settings: Settings, servers: Vec<Listing>) -> Harness {
        Harness::seeded(settings, servers, 7)
    }

    pub fn seeded(settings: Settings, servers: Vec<Listing>, seed: u64) -> Harness {
        let mut harness = Harness { balancer: Balancer::new(settings, seed), now: 1_000.0, last_request: 0 };
        harness.event(Event::ListReceived(ListUpdate::Restored(servers)));
        harness
    }

    /// Reports the same load from all these servers for long enough to be used for estimates of capacity.
    pub fn report_steadily(&mut self, ids: &[u64], in_flight: f64, utilisation: f64) {
        for _ in 0..40 {
            self.now += 50.0;
            ids.iter().for_each(|id| self.report(*id, in_flight, utilisation));
        }
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Lets a request arrive. Returns its id and the actions; if it waits for probes, these go unanswered.
    pub fn arrive(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        let event = Event::RequestArrived { request, class, tenant: TenantId(0), time_left: 500.0 };
        let mut actions = self.event(event);
        let is_its_timer =
            |action: &Action| matches!(action, Action::SetTimer { token, .. } if *token == request.0 >> 1);
        while actions.last().is_some_and(is_its_timer) {
            actions.extend(self.event(Event::TimerFired(request.0 >> 1)));
        }
        (request, actions)
    }

    pub fn finish(
        &mut self,
        request: RequestId,
        attempt: u32,
        upstream: UpstreamId,
        outcome: Outcome,
        latency: Millis,
    ) -> Vec<Action> {
        self.event(Event::AttemptFinished(FinishedAttempt {
            request,
            attempt: AttemptNo(attempt),
            upstream,
            outcome,
            latency,
            client_answered: outcome == Outcome::Ok,
            report: None,
        }))
    }

    pub fn report(&mut self, id: u64, in_flight: f64, utilisation: f64) {
        self.answer_probe(id, in_flight, utilisation);
    }

    /// Reports a load in answer to a probe and returns the resulting actions.
    pub fn answer_probe(&mut self, id: u64, in_flight: f64, utilisation: f64) -> Vec<Action> {
        let report =
            Report { in_flight: Some(in_flight), utilisation: Some(utilisation), ..Report::default() };
        self.event(Event::ProbeFinished { upstream: UpstreamId(id), answered: true, report: Some(report) })
    }
}

/// The server of the first attempt among these actions.
pub fn sent_to(actions: &[Action]) -> Option<UpstreamId> {
    actions.iter().find_map(|action| match action {
        Action::Send { upstream, .. } => Some(*upstream),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail(_)))
}
