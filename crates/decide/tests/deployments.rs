//! Decisions under unusual settings.

mod common;

use common::*;
use sagemast_decide::api::*;

/// Sends 300 requests and answers each attempt, with a report in the answer if `report_in_answer`. Returns
/// the numbers of requests served and of probes.
fn serve(settings: Settings, servers: Vec<Listing>, report_in_answer: bool) -> (usize, usize) {
    let mut stage = Harness::new(settings, servers);
    let (mut served, mut probes) = (0, 0);
    for _ in 0..300 {
        stage.now += 30.0;
        let (request, actions) = stage.arrive(IDEMPOTENT);
        probes += actions.iter().filter(|action| matches!(action, Action::Probe(_))).count();
        let Some(upstream) = sent_to(&actions) else { continue };
        let report = Report { in_flight: Some(2.0), utilisation: Some(0.5), ..Report::default() };
        stage.event(Event::AttemptFinished(FinishedAttempt {
            request,
            attempt: AttemptNo(0),
            upstream,
            outcome: Outcome::Ok,
            latency: 25.0,
            client_answered: true,
            report: report_in_answer.then_some(report),
        }));
        served += 1;
    }
    (served, probes)
}

#[test]
fn all_requests_are_served_without_probes_and_reports() {
    let mut settings = settings();
    settings.limits.probes = false;
    assert_eq!(serve(settings, (1..=4).map(listing).collect(), false), (300, 0));
}

#[test]
fn all_requests_are_served_with_reports_in_answers_only() {
    let mut settings = settings();
    settings.limits.probes = false;
    assert_eq!(serve(settings, (1..=4).map(listing).collect(), true), (300, 0));
}

#[test]
fn all_requests_are_served_by_a_single_server_in_another_zone() {
    let mut settings = settings();
    settings.cross_zone_cost = 0.2;
    let other_zone = Listing { zone: ZoneId(5), ..listing(1) };
    assert_eq!(serve(settings, vec![other_zone], false).0, 300);
}

#[test]
fn request_is_refused_without_classes_and_sidecars() {
    let mut settings = settings();
    settings.classes.clear();
    settings.sidecars = 0;
    let mut stage = Harness::new(settings, vec![listing(1)]);
    assert!(refused(&stage.arrive(IDEMPOTENT).1), "a request of an unknown class is refused");
}

#[test]
fn all_requests_are_served_for_tenants_without_quotas() {
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota_per_s: 0.0 }, Tenant { quota_per_s: 0.0 }];
    assert_eq!(serve(settings, (1..=4).map(listing).collect(), false).0, 300);
}

#[test]
fn all_requests_are_served_with_parallel_attempts_allowed() {
    let mut settings = settings();
    settings.limits.allow_parallel_attempts = true;
    assert_eq!(serve(settings, (1..=4).map(listing).collect(), false).0, 300);
}
