//! Throttling behind servers that don't report their load and look idle to a sidecar with few requests in
//! flight.

mod common;

use common::*;
use sagemast_decide::api::*;

/// Plays requests at 50 per second, each of which ends after `latency` with `outcome`. Returns the numbers of
/// requests sent and refused.
fn play(harness: &mut Harness, requests: usize, latency: Millis, outcome: Outcome) -> (usize, usize) {
    let mut in_flight: Vec<(Millis, RequestId, UpstreamId)> = Vec::new();
    let (mut sent, mut refused) = (0, 0);
    for _ in 0..requests {
        harness.now += 20.0;
        while let Some((at, request, to)) = in_flight.first().copied().filter(|(at, ..)| *at <= harness.now) {
            in_flight.remove(0);
            let now = std::mem::replace(&mut harness.now, at);
            harness.finish(request, 0, to, outcome, latency);
            harness.now = now;
        }
        let (request, actions) = harness.arrive(NON_IDEMPOTENT);
        match sent_to(&actions) {
            Some(to) => {
                sent += 1;
                in_flight.push((harness.now + latency, request, to));
            }
            None => {
                assert!(matches!(actions[..], [Action::Refuse { .. }]), "no attempt was made: {actions:?}");
                refused += 1;
            }
        }
    }
    for (at, request, to) in in_flight {
        harness.now = harness.now.max(at);
        harness.finish(request, 0, to, outcome, latency);
    }
    (sent, refused)
}

fn without_reports() -> Harness {
    let mut settings = settings();
    settings.limits.probes = false;
    Harness::new(settings, (0..40).map(listing).collect())
}

/// Guards against an overload of servers that don't report their load: every request was accepted and no
/// answer was in time.
#[test]
fn few_requests_are_sent_while_no_answer_is_in_time_and_all_once_answers_are() {
    let mut harness = without_reports();
    assert_eq!(play(&mut harness, 200, 30.0, Outcome::Ok), (200, 0), "in time");
    play(&mut harness, 100, 450.0, Outcome::Ok);
    let (sent, refused) = play(&mut harness, 200, 450.0, Outcome::Ok);
    assert!(refused > sent && sent > 5, "sent {sent}, refused {refused}: a few are still sent");
    play(&mut harness, 100, 30.0, Outcome::Ok);
    let (sent, refused) = play(&mut harness, 200, 30.0, Outcome::Ok);
    assert!(refused <= 2, "sent {sent}, refused {refused} once answers are in time");
}

/// A failure doesn't show how loaded the other servers are.
#[test]
fn failures_cause_no_refusals() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Full] {
        let (sent, refused) = play(&mut without_reports(), 300, 30.0, outcome);
        assert_eq!((sent, refused), (300, 0), "{outcome:?}");
    }
}

/// Where servers report their load, the reports decide which requests are accepted.
#[test]
fn idle_servers_that_report_their_load_get_all_requests_after_late_answers() {
    let mut harness = without_reports();
    let ids: Vec<u64> = (0..40).collect();
    harness.report_steadily(&ids, 0.0, 0.1);
    // Late answers may cause refusals in other ways; the throttle must not add any.
    play(&mut harness, 100, 450.0, Outcome::Ok);
    harness.report_steadily(&ids, 0.0, 0.1);
    let (sent, refused) = play(&mut harness, 50, 30.0, Outcome::Ok);
    assert_eq!((sent, refused), (50, 0), "idle servers that report so are sent to at once");
}
