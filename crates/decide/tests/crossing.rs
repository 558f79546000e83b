//! How the selection applies a limiter of cross-zone traffic. The limiter here is a stub with fixed replies.

mod common;

use std::any::Any;

use common::*;
use sagemast_decide::api::*;
use sagemast_decide::cross_zone::{BudgetExemption, CrossZoneAttempt, CrossZoneCost, CrossZoneLimiter};

#[derive(Debug)]
struct StubLimiter {
    cost: CrossZoneCost,
    has_budget: bool,
    exemptions: Vec<BudgetExemption>,
    sent: Vec<CrossZoneAttempt>,
}

impl CrossZoneLimiter for StubLimiter {
    fn set_sidecar_count(&mut self, _: Millis, _: u32) {}

    fn cross_zone_cost(&self, _: Millis, _: ClassId) -> CrossZoneCost {
        self.cost
    }

    fn has_budget(&self, _: Millis, _: ClassId, _: Option<ZoneId>) -> bool {
        self.has_budget
    }

    fn allows_exemption(&self, reason: BudgetExemption) -> bool {
        self.exemptions.contains(&reason)
    }

    fn attempt_sent(&mut self, _: Millis, attempt: CrossZoneAttempt) {
        self.sent.push(attempt);
    }

    fn attempt_ended(&mut self, _: Millis, _: RequestId, _: AttemptNo, _: Outcome, _: [u64; 2]) {}

    fn probe_sent(&mut self, _: ZoneId) {}
}

/// Servers 0 and 1 are in the same zone, 10 and 11 in another one.
fn harness(has_budget: bool, exemptions: &[BudgetExemption]) -> Harness {
    let in_other_zone = |id| Listing { zone: ZoneId(1), ..listing(id) };
    let servers = vec![listing(0), listing(1), in_other_zone(10), in_other_zone(11)];
    let mut harness = Harness::new(settings(), servers);
    let cost = CrossZoneCost { cost: 0.03, exemption_threshold: 0.2 };
    let limiter = StubLimiter { cost, has_budget, exemptions: exemptions.to_vec(), sent: Vec::new() };
    harness.balancer.set_cross_zone_budget(Some(Box::new(limiter)));
    harness.report_steadily(&[0, 1, 10, 11], 2.0, 0.2);
    harness
}

fn limiter(harness: &mut Harness) -> &mut StubLimiter {
    (harness.balancer.cross_zone_budget_mut().expect("a limiter is set") as &mut dyn Any)
        .downcast_mut()
        .expect("the limiter is the stub")
}

/// Sends this many requests, each of which is served at once. Returns how many went to the same zone, to the
/// other zone and to no server.
fn serve_requests(harness: &mut Harness, class: ClassId, count: usize) -> (usize, usize, usize) {
    let (mut same_zone, mut cross_zone, mut unsent) = (0, 0, 0);
    for _ in 0..count {
        harness.now += 1.0;
        let (request, actions) = harness.arrive(class);
        match sent_to(&actions) {
            Some(to) if to.0 < 10 => same_zone += 1,
            Some(_) => cross_zone += 1,
            None => unsent += 1,
        }
        if let Some(to) = sent_to(&actions) {
            harness.finish(request, 0, to, Outcome::Ok, 20.0);
        }
    }
    (same_zone, cross_zone, unsent)
}

/// Fills the servers of the same zone: they report ten times as many requests in flight as they can hold.
fn fill_same_zone(harness: &mut Harness) {
    for _ in 0..40 {
        harness.now += 50.0;
        [0, 1].into_iter().for_each(|id| harness.report(id, 200.0, 1.0));
        [10, 11].into_iter().for_each(|id| harness.report(id, 2.0, 0.2));
    }
}

#[test]
fn requests_stay_in_their_zone_while_its_servers_have_capacity() {
    for has_budget in [true, false] {
        let mut harness = harness(has_budget, &BudgetExemption::ALL);
        assert_eq!(serve_requests(&mut harness, IDEMPOTENT, 50), (50, 0, 0));
    }
}

#[test]
fn requests_leave_a_full_zone_only_with_a_budget_or_an_exemption() {
    for (has_budget, exemptions, expected) in
        [(true, &[][..], None), (false, &[BudgetExemption::Full][..], Some(BudgetExemption::Full))]
    {
        let mut harness = harness(has_budget, exemptions);
        fill_same_zone(&mut harness);
        assert_eq!(serve_requests(&mut harness, NON_IDEMPOTENT, 20), (0, 20, 0), "{exemptions:?}");
        let sent = &limiter(&mut harness).sent;
        assert!(sent.iter().all(|attempt| attempt.exemption == expected), "{expected:?}");
    }
    let mut harness = harness(
        false,
        &[BudgetExemption::Down, BudgetExemption::Late, BudgetExemption::Failing, BudgetExemption::Bound],
    );
    fill_same_zone(&mut harness);
    assert_eq!(serve_requests(&mut harness, NON_IDEMPOTENT, 20), (0, 0, 20));
    assert!(limiter(&mut harness).sent.is_empty());
}

#[test]
fn requests_leave_a_zone_without_servers_with_the_reason_down() {
    let mut harness = harness(false, &[BudgetExemption::Down]);
    let draining = |id| Listing { lifecycle: Lifecycle::Draining, ..listing(id) };
    harness.event(Event::ListReceived(ListUpdate::Changed(vec![draining(0), draining(1)])));
    assert_eq!(serve_requests(&mut harness, NON_IDEMPOTENT, 10), (0, 10, 0));
    let sent = &limiter(&mut harness).sent;
    assert!(sent.iter().all(|attempt| attempt.exemption == Some(BudgetExemption::Down)));
}

/// Resets all attempts. One server of the same zone is then ejected; the other is not, since too many would
/// be.
fn reset_attempts(harness: &mut Harness) {
    for _ in 0..20 {
        harness.now += 1.0;
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        if let Some(to) = sent_to(&actions) {
            harness.finish(request, 0, to, Outcome::Reset, 20.0);
        }
    }
}

#[test]
fn requests_leave_a_zone_whose_servers_fail() {
    for has_budget in [true, false] {
        let mut harness = harness(false, &[]);
        // While nothing may leave the zone, all attempts go to its servers and fail.
        reset_attempts(&mut harness);
        (limiter(&mut harness).has_budget, limiter(&mut harness).exemptions) =
            (has_budget, vec![BudgetExemption::Failing, BudgetExemption::Down]);
        limiter(&mut harness).sent.clear();
        let (same_zone, cross_zone, unsent) = serve_requests(&mut harness, NON_IDEMPOTENT, 20);
        assert!(cross_zone >= 15 && unsent == 0, "{same_zone} {cross_zone} {unsent}");
        let exempted =
            limiter(&mut harness).sent.iter().filter(|attempt| attempt.exemption.is_some()).count();
        assert_eq!(exempted, if has_budget { 0 } else { cross_zone });
    }
}

#[test]
fn requests_stay_in_a_slow_zone_if_the_other_zone_is_as_slow() {
    let mut harness = harness(false, &BudgetExemption::ALL);
    // Idle servers answer in 160 ms, with an aim of 200 ms. Two of seven answers are late, more than the
    // threshold.
    for _ in 0..400 {
        harness.now += 5.0;
        let (request, actions) = harness.arrive(IDEMPOTENT);
        if let Some(to) = sent_to(&actions) {
            harness.now += 160.0;
            harness.finish(request, 0, to, Outcome::Ok, 160.0);
        }
        [0, 1, 10, 11].into_iter().for_each(|id| harness.report(id, 2.0, 0.2));
    }
    let sent = &limiter(&mut harness).sent;
    assert!(sent.len() > 350, "{}", sent.len());
    assert_eq!(sent.iter().skip(200).filter(|attempt| attempt.exemption.is_some()).count(), 0);
}

/// Guards against an overdrawn budget: it may be spent by others while a request waits for the probes of its
/// pair.
#[test]
fn budget_is_checked_again_after_a_request_has_waited_for_probes() {
    let mut harness = harness(true, &[]);
    fill_same_zone(&mut harness);
    // The reports of the other zone grow old, so that its servers are probed before the request is
    // dispatched.
    harness.now += 900.0;
    [0, 1].into_iter().for_each(|id| harness.report(id, 200.0, 1.0));
    let (request, class, tenant) = (RequestId(77_777), IDEMPOTENT, TenantId(0));
    let actions = harness.event(Event::RequestArrived { request, class, tenant, time_left: 500.0 });
    let probed: Vec<u64> =
        actions.iter().filter_map(|a| if let Action::Probe(id) = a { Some(id.0) } else { None }).collect();
    assert!(
        sent_to(&actions).is_none() && probed.iter().all(|id| *id >= 10) && !probed.is_empty(),
        "{actions:?}"
    );
    limiter(&mut harness).has_budget = false;
    harness.now += 2.0;
    let after_probes: Vec<Action> =
        probed.into_iter().flat_map(|id| harness.answer_probe(id, 2.0, 0.2)).collect();
    assert!(sent_to(&after_probes).is_none() && refused(&after_probes), "{after_probes:?}");
}

/// Guards against duplicate execution: the limiter must not widen the servers to which a request that may
/// have run is sent.
#[test]
fn retry_of_a_request_that_may_have_run_stays_within_its_key_scope_whatever_the_limiter_allows() {
    // The key is known only in the cell or zone that may have run the request, so a retry stays there even
    // with a budget.
    for class in [KEYED_BY_CELL, KEYED_BY_ZONE, NON_IDEMPOTENT] {
        for has_budget in [true, false] {
            let mut harness = harness(has_budget, &BudgetExemption::ALL);
            let (request, actions) = harness.arrive(class);
            let first = sent_to(&actions).expect("the request is sent");
            harness.now += 10.0;
            let retry = harness.finish(request, 0, first, Outcome::Reset, 10.0);
            match (class, sent_to(&retry)) {
                (NON_IDEMPOTENT, to) => assert!(to.is_none() && failed(&retry), "{retry:?}"),
                (_, to) => assert!(to.is_some_and(|to| to.0 < 10 && to != first), "{retry:?}"),
            }
        }
    }
    // The request ran in the other zone, so only that zone knows its key: a retry needs an exemption, else
    // the request fails.
    for (exemptions, is_retried) in
        [(&[BudgetExemption::Full, BudgetExemption::Bound][..], true), (&[BudgetExemption::Full][..], false)]
    {
        let mut harness = harness(false, exemptions);
        fill_same_zone(&mut harness);
        let (request, actions) = harness.arrive(KEYED_BY_ZONE);
        let first = sent_to(&actions).expect("the request leaves the full zone");
        harness.now += 10.0;
        let retry = harness.finish(request, 0, first, Outcome::Reset, 10.0);
        assert_eq!(sent_to(&retry).is_some_and(|to| to.0 >= 10 && to != first), is_retried, "{retry:?}");
        let sent: Vec<_> = limiter(&mut harness).sent.iter().map(|attempt| attempt.exemption).collect();
        let bound = is_retried.then_some(Some(BudgetExemption::Bound));
        assert_eq!(
            sent,
            [Some(Some(BudgetExemption::Full)), bound].into_iter().flatten().collect::<Vec<_>>()
        );
        assert!(is_retried || failed(&retry), "the request may have run, so it must not be refused");
    }
}
