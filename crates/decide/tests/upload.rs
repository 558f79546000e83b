//! Attempts whose request body is still being received: they are no load, no evidence of an unresponsive
//! server, and don't use up the request's time.

mod common;

use common::*;
use sagemast_decide::Balancer;
use sagemast_decide::api::*;

/// A decision module without probes, and the requests sent to it.
struct UploadHarness {
    balancer: Balancer,
    next_request: u64,
}

impl UploadHarness {
    fn new(servers: u64) -> UploadHarness {
        let mut settings = settings();
        settings.limits.probes = false;
        let mut harness = UploadHarness { balancer: Balancer::new(settings, 7), next_request: 1 };
        let list = (1..=servers).map(listing).collect();
        harness.event(0.0, Event::ListReceived(ListUpdate::Complete(list)));
        harness
    }

    fn event(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        actions
    }

    /// A new request, and the server and timeout of its attempt if it is sent.
    fn arrive(&mut self, now: Millis, class: ClassId) -> (RequestId, Option<(UpstreamId, Millis)>) {
        let request = RequestId(self.next_request);
        self.next_request += 2;
        let actions =
            self.event(now, Event::RequestArrived { request, class, tenant: TenantId(0), time_left: 400.0 });
        let sent = actions.into_iter().find_map(|action| match action {
            Action::Send { upstream, timeout, .. } => Some((upstream, timeout)),
            _ => None,
        });
        (request, sent)
    }

    fn upload(&mut self, now: Millis, request: RequestId, in_progress: bool) {
        self.event(now, Event::UploadProgress { request, attempt: AttemptNo(0), in_progress });
    }

    fn finish(
        &mut self,
        now: Millis,
        request: RequestId,
        upstream: UpstreamId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let client_answered = outcome == Outcome::Ok;
        let (attempt, latency, report) = (AttemptNo(0), 20.0, None);
        self.event(
            now,
            Event::AttemptFinished(FinishedAttempt {
                request,
                attempt,
                upstream,
                outcome,
                latency,
                client_answered,
                report,
            }),
        )
    }
}

#[test]
fn slow_uploads_do_not_fill_servers_until_their_last_byte() {
    let mut harness = UploadHarness::new(2);
    let uploads: Vec<RequestId> = (0..40)
        .map(|number| {
            let (request, sent) = harness.arrive(f64::from(number), NON_IDEMPOTENT);
            assert!(sent.is_some(), "request {number} is refused");
            harness.upload(f64::from(number), request, true);
            request
        })
        .collect();
    // 20 s later the uploads still count as no load, and no server as unresponsive.
    for number in 0..20 {
        let now = 20_000.0 + 30.0 * f64::from(number);
        let (request, sent) = harness.arrive(now, IDEMPOTENT);
        let (upstream, _) = sent.expect("the servers have capacity");
        harness.finish(now + 20.0, request, upstream, Outcome::Ok);
    }
    // All uploads end at once and become load.
    uploads.into_iter().for_each(|request| harness.upload(21_000.0, request, false));
    let refused = (0..10).filter(|_| harness.arrive(21_001.0, IDEMPOTENT).1.is_none()).count();
    assert_eq!(refused, 10, "forty requests are in flight");
}

#[test]
fn time_of_a_request_counts_from_the_last_byte_of_its_upload() {
    let mut harness = UploadHarness::new(3);
    let (request, sent) = harness.arrive(0.0, IDEMPOTENT);
    harness.upload(0.0, request, true);
    harness.upload(5_000.0, request, false);
    // The server turns the attempt away: there is time for another one, on any server.
    let actions = harness.finish(5_010.0, request, sent.expect("the request is sent").0, Outcome::Full);
    let retry_timeout = actions.iter().find_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert!(retry_timeout.is_some_and(|timeout| timeout > 0.0 && timeout <= 390.0), "{actions:?}");
}

#[test]
fn attempt_that_ends_during_its_upload_leaves_no_load_behind() {
    let mut harness = UploadHarness::new(1);
    for number in 0..200 {
        let now = 50.0 * f64::from(number);
        let (request, sent) = harness.arrive(now, NON_IDEMPOTENT);
        let (upstream, _) = sent.expect("the server has capacity");
        harness.upload(now, request, true);
        harness.upload(now + 1.0, request, true);
        let actions = harness.finish(now + 30.0, request, upstream, Outcome::NotSent);
        assert!(matches!(actions[..], [Action::Refuse { .. }]), "the request was not executed: {actions:?}");
    }
}

#[test]
fn server_that_leaves_during_an_upload_is_not_selected_again() {
    let mut harness = UploadHarness::new(2);
    let (request, sent) = harness.arrive(0.0, NON_IDEMPOTENT);
    let (upstream, _) = sent.expect("the request is sent");
    harness.upload(0.0, request, true);
    let draining = Listing { lifecycle: Lifecycle::Draining, ..listing(upstream.0) };
    harness.event(10.0, Event::ListReceived(ListUpdate::Changed(vec![draining])));
    harness.upload(20.0, request, false);
    let actions = harness.finish(30.0, request, upstream, Outcome::Reset);
    assert!(matches!(actions[..], [Action::Fail(_)]), "the request may have run: {actions:?}");
    for _ in 0..20 {
        if let (request, Some((to, _))) = harness.arrive(40.0, IDEMPOTENT) {
            assert_ne!(to, upstream);
            harness.finish(50.0, request, to, Outcome::Ok);
        }
    }
}
