//! Arbitrary legal event orders: rules 1 to 3 hold on the actions, and nothing panics.

mod common;

use std::collections::BTreeMap;

use common::*;
use oorandom::Rand64;
use sagemast_decide::Balancer;
use sagemast_decide::api::*;

struct Try {
    upstream: UpstreamId,
    sent: Millis,
    timeout: Millis,
    outcome: Option<Outcome>,
    /// Since when its body has been coming, if it is.
    coming: Option<Millis>,
}

struct Seen {
    class: usize,
    deadline: Millis,
    tries: Vec<Try>,
    ended: bool,
}

/// A world that answers at random and checks every action against the rules.
struct World {
    settings: Settings,
    rng: Rand64,
    now: Millis,
    requests: BTreeMap<RequestId, Seen>,
    serving: BTreeMap<UpstreamId, bool>,
    probes: Vec<UpstreamId>,
    /// Timers that have not come due.
    wakes: Vec<(Millis, u64)>,
}

impl World {
    fn pick(&mut self, below: usize) -> usize {
        self.rng.rand_range(0..below as u64) as usize
    }

    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, upstream, timeout } => {
                    let seen = self.requests.get_mut(request).expect("a known request");
                    assert!(!seen.ended, "sent after its end");
                    assert!(self.serving[upstream], "sent to a server that has left");
                    assert!((seen.tries.len() as u32) < self.settings.limits.max_attempts);
                    assert!(seen.tries.iter().all(|t| t.outcome.is_some()), "two attempts out");
                    let first = seen.tries.iter().find(|t| t.outcome.is_none_or(Outcome::may_have_run));
                    if let Some(first) = first {
                        match self.settings.classes[seen.class].effect {
                            Effect::Idempotent => {}
                            Effect::NonIdempotent => panic!("may run twice"),
                            Effect::IdempotentByKey { scope, window } => {
                                assert!(self.now <= first.sent + window, "outside the window");
                                match scope {
                                    KeyScope::All => {}
                                    KeyScope::Zone => assert_eq!(upstream.0 / 20, first.upstream.0 / 20),
                                    KeyScope::Cell => assert_eq!(upstream.0 / 10, first.upstream.0 / 10),
                                }
                            }
                        }
                    }
                    assert!(timeout.is_finite() && *timeout >= 0.0);
                    let timeout = timeout.min(seen.deadline - self.now);
                    let (upstream, sent) = (*upstream, self.now);
                    seen.tries.push(Try { upstream, sent, timeout, outcome: None, coming: None });
                }
                Action::Refuse { request, .. } => {
                    let seen = self.requests.get_mut(request).expect("a known request");
                    assert!(!std::mem::replace(&mut seen.ended, true), "answered twice");
                    let ran = seen.tries.iter().any(|t| t.outcome.is_none_or(Outcome::may_have_run));
                    match self.settings.classes[seen.class].effect {
                        Effect::Idempotent | Effect::IdempotentByKey { scope: KeyScope::All, .. } => {}
                        _ => assert!(!ran, "a refusal promises that it never ran"),
                    }
                }
                Action::Fail(request) => {
                    let seen = self.requests.get_mut(request).expect("a known request");
                    assert!(!std::mem::replace(&mut seen.ended, true), "answered twice");
                }
                Action::Probe(upstream) => self.probes.push(*upstream),
                Action::Cancel { request, attempt } => {
                    assert!(self.requests[request].tries.len() > attempt.0 as usize);
                }
                Action::SetTimer { at, token } => {
                    assert!(at.is_finite());
                    self.wakes.push((*at, *token));
                }
                Action::Subscribe | Action::Log(_) => {}
            }
        }
    }

    fn listing(&mut self) -> Listing {
        let id = 1 + self.pick(39) as u64;
        let lifecycle = if self.pick(4) == 0 { Lifecycle::Draining } else { Lifecycle::Serving };
        let started = (self.pick(6) == 0).then_some(self.now);
        let weight = [1.0, 2.0, 0.0, f64::NAN, -1.0, 0.5][self.pick(6)];
        Listing { zone: ZoneId(id / 20), lifecycle, started, weight, ..listing(id) }
    }

    fn report(&mut self) -> Option<Report> {
        let absurd = [0.0, -3.0, f64::NAN, f64::INFINITY, 1e300, 0.5, 7.0, 30.0];
        let (m, u) = (absurd[self.pick(8)], absurd[self.pick(8)]);
        let report = Report { in_flight: Some(m), utilisation: Some(u), ..Report::default() };
        (self.pick(5) > 0).then_some(report)
    }

    /// The next event: something due, or something at random.
    fn event(&mut self, number: u64) -> Event {
        let now = self.now;
        let due = self.requests.iter().find_map(|(id, seen)| {
            let due = |t: &Try| t.outcome.is_none() && t.coming.is_none() && t.sent + t.timeout <= now;
            let at = seen.tries.iter().position(due)?;
            Some((*id, at))
        });
        if let Some((request, at)) = due {
            return self.end(request, at, Outcome::TimedOut);
        }
        if let Some(at) = self.wakes.iter().position(|(at, _)| *at <= now) {
            return Event::TimerFired(self.wakes.remove(at).1);
        }
        let out: Vec<(RequestId, usize)> = self
            .requests
            .iter()
            .flat_map(|(id, seen)| seen.tries.iter().enumerate().map(move |(at, t)| (*id, at, t)))
            .filter(|(_, _, t)| t.outcome.is_none())
            .map(|(id, at, _)| (id, at))
            .collect();
        match self.pick(11) {
            10 if !out.is_empty() => {
                let (request, at) = out[self.pick(out.len())];
                let seen = self.requests.get_mut(&request).expect("a known request");
                let this = &mut seen.tries[at];
                let in_progress = this.coming.is_none();
                match this.coming.take() {
                    None => this.coming = Some(now),
                    Some(since) => {
                        this.sent = now;
                        seen.deadline += now - since;
                    }
                }
                Event::UploadProgress { request, attempt: AttemptNo(at as u32), in_progress }
            }
            0..=3 => {
                let class = self.pick(5);
                let time_left = [0.0, 3.0, 90.0, 300.0, 800.0][self.pick(5)];
                let request = RequestId(number);
                let seen = Seen { class, deadline: now + time_left, tries: Vec::new(), ended: false };
                self.requests.insert(request, seen);
                Event::RequestArrived {
                    request,
                    class: ClassId(class),
                    tenant: TenantId(self.pick(3)),
                    time_left,
                }
            }
            4..=6 if !out.is_empty() => {
                let (request, at) = out[self.pick(out.len())];
                let outcomes = [
                    Outcome::Ok,
                    Outcome::Ok,
                    Outcome::Ok,
                    Outcome::Error,
                    Outcome::Full,
                    Outcome::Unreachable,
                    Outcome::Reset,
                    Outcome::Cancelled,
                    Outcome::NotSent,
                ];
                let outcome = outcomes[self.pick(outcomes.len())];
                self.end(request, at, outcome)
            }
            7 => {
                let list: Vec<Listing> = (0..self.pick(12)).map(|_| self.listing()).collect();
                let kind = self.pick(4);
                if kind < 2 {
                    self.serving.values_mut().for_each(|serving| *serving = false);
                }
                if kind < 3 {
                    for entry in &list {
                        self.serving.insert(entry.upstream, entry.lifecycle == Lifecycle::Serving);
                    }
                }
                Event::ListReceived(match kind {
                    0 => ListUpdate::Complete(list),
                    1 => ListUpdate::Restored(list),
                    2 => ListUpdate::Changed(list),
                    _ => ListUpdate::Unavailable,
                })
            }
            8 if !self.requests.is_empty() => {
                let open: Vec<RequestId> =
                    self.requests.iter().filter(|(_, seen)| !seen.ended).map(|(id, _)| *id).collect();
                let request = if open.is_empty() { RequestId(u64::MAX) } else { open[self.pick(open.len())] };
                if let Some(seen) = self.requests.get_mut(&request) {
                    seen.ended = true;
                }
                Event::ClientDisconnected(request)
            }
            _ => match self.probes.pop() {
                Some(upstream) => {
                    let answered = self.pick(4) > 0;
                    Event::ProbeFinished { upstream, answered, report: self.report() }
                }
                // Things nobody asked for.
                None => match self.pick(5) {
                    4 => {
                        let (request, attempt) = (RequestId(number), AttemptNo(self.pick(3) as u32));
                        Event::UploadProgress { request, attempt, in_progress: self.pick(2) == 0 }
                    }
                    0 => Event::TimerFired(number),
                    3 => Event::SidecarCountChanged(self.pick(400) as u32),
                    1 => Event::ProbeFinished {
                        upstream: UpstreamId(999),
                        answered: true,
                        report: self.report(),
                    },
                    _ => Event::AttemptFinished(FinishedAttempt {
                        request: RequestId(number),
                        attempt: AttemptNo(9),
                        upstream: UpstreamId(1),
                        outcome: Outcome::Ok,
                        latency: f64::NAN,
                        client_answered: true,
                        report: None,
                    }),
                },
            },
        }
    }

    fn end(&mut self, request: RequestId, at: usize, outcome: Outcome) -> Event {
        let report = self.report();
        let now = self.now;
        let seen = self.requests.get_mut(&request).expect("a known request");
        seen.ended |= outcome == Outcome::Ok;
        if let Some(since) = seen.tries[at].coming.take() {
            seen.tries[at].sent = now;
            seen.deadline += now - since;
        }
        let client_answered = seen.ended;
        let this = &mut seen.tries[at];
        this.outcome = Some(outcome);
        let (upstream, latency) = (this.upstream, now - this.sent);
        let attempt = AttemptNo(at as u32);
        Event::AttemptFinished(FinishedAttempt {
            request,
            attempt,
            upstream,
            outcome,
            latency,
            client_answered,
            report,
        })
    }
}

#[test]
fn rules_hold_for_any_order_of_events() {
    for seed in 0..60 {
        let mut settings = settings();
        settings.limits.probes = seed % 3 > 0;
        settings.cross_zone_cost = [0.0, 0.02, 0.2][seed as usize % 3];
        if seed % 2 == 0 {
            settings.discovery = Discovery::Subscribed { must_ask_in: 5_000.0 };
        }
        let start = if seed % 5 == 0 { 0.0 } else { 50_000.0 };
        let mut balancer = Balancer::new(settings.clone(), seed);
        let mut world = World {
            settings,
            rng: Rand64::new(u128::from(seed) + 1_000),
            now: start,
            requests: BTreeMap::new(),
            serving: BTreeMap::new(),
            probes: Vec::new(),
            wakes: Vec::new(),
        };
        for number in 0..1_500 {
            world.now += [0.0, 0.5, 3.0, 12.0][world.pick(4)];
            let event = world.event(number);
            let mut actions = Vec::new();
            balancer.handle(world.now, event, &mut actions);
            world.check(&actions);
            // Rule 1: whatever is not ended has an attempt out, whose time-out comes by its deadline, or is held
            // until a timer that comes well before it.
            for (id, seen) in &world.requests {
                let out = seen.tries.iter().any(|t| t.outcome.is_none());
                let held = world.wakes.iter().any(|(at, token)| *token == id.0 >> 1 && *at < seen.deadline);
                assert!(seen.ended || out || held, "forgotten");
            }
        }
    }
}
