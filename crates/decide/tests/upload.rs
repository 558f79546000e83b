//! Attempts whose body is still coming: no load, no sign of hanging, none of the request's time.

mod common;

use common::*;
use sagemast_decide::Balancer;
use sagemast_decide::api::*;

struct Stage {
    module: Balancer,
    out: Vec<Action>,
    next: u64,
}

impl Stage {
    fn new(servers: u64) -> Stage {
        let mut settings = settings();
        settings.limits.probes = false;
        let mut stage = Stage { module: Balancer::new(settings, 7), out: Vec::new(), next: 1 };
        let list = (1..=servers).map(listing).collect();
        stage.tell(0.0, Event::ListReceived(ListUpdate::Complete(list)));
        stage
    }

    fn tell(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.out.clear();
        self.module.handle(now, event, &mut self.out);
        std::mem::take(&mut self.out)
    }

    /// A request that arrives, and where it is sent.
    fn ask(&mut self, now: Millis, class: ClassId) -> (RequestId, Option<(UpstreamId, Millis)>) {
        let request = RequestId(self.next);
        self.next += 2;
        let actions =
            self.tell(now, Event::RequestArrived { request, class, tenant: TenantId(0), time_left: 400.0 });
        let sent = actions.into_iter().find_map(|action| match action {
            Action::Send { upstream, timeout, .. } => Some((upstream, timeout)),
            _ => None,
        });
        (request, sent)
    }

    fn upload(&mut self, now: Millis, request: RequestId, in_progress: bool) {
        self.tell(now, Event::UploadProgress { request, attempt: AttemptNo(0), in_progress });
    }

    fn end(
        &mut self,
        now: Millis,
        request: RequestId,
        upstream: UpstreamId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let client_answered = outcome == Outcome::Ok;
        let (attempt, latency, report) = (AttemptNo(0), 20.0, None);
        self.tell(
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
fn bodies_that_come_slowly_do_not_fill_the_servers() {
    let mut stage = Stage::new(2);
    let uploads: Vec<RequestId> = (0..40)
        .map(|number| {
            let (request, sent) = stage.ask(f64::from(number), NON_IDEMPOTENT);
            assert!(sent.is_some(), "the {number}th is refused");
            stage.upload(f64::from(number), request, true);
            request
        })
        .collect();
    // 20 s later they count for nothing, and no server is taken to hang.
    for number in 0..20 {
        let now = 20_000.0 + 30.0 * f64::from(number);
        let (request, sent) = stage.ask(now, IDEMPOTENT);
        let (upstream, _) = sent.expect("there is room");
        stage.end(now + 20.0, request, upstream, Outcome::Ok);
    }
    // All end their bodies at once: now they are load.
    uploads.into_iter().for_each(|request| stage.upload(21_000.0, request, false));
    let refused = (0..10).filter(|_| stage.ask(21_001.0, IDEMPOTENT).1.is_none()).count();
    assert_eq!(refused, 10, "forty are in hand");
}

#[test]
fn a_requests_time_counts_from_its_last_byte() {
    let mut stage = Stage::new(3);
    let (request, sent) = stage.ask(0.0, IDEMPOTENT);
    stage.upload(0.0, request, true);
    stage.upload(5_000.0, request, false);
    // Turned away unseen: there is time for another attempt, and it may go anywhere.
    let actions = stage.end(5_010.0, request, sent.expect("sent").0, Outcome::Full);
    let again = actions.iter().find_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert!(again.is_some_and(|timeout| timeout > 0.0 && timeout <= 390.0), "{actions:?}");
}

#[test]
fn an_attempt_that_ends_while_its_body_comes_leaves_nothing_behind() {
    let mut stage = Stage::new(1);
    for number in 0..200 {
        let now = 50.0 * f64::from(number);
        let (request, sent) = stage.ask(now, NON_IDEMPOTENT);
        let (upstream, _) = sent.expect("there is room for one");
        stage.upload(now, request, true);
        stage.upload(now + 1.0, request, true);
        let actions = stage.end(now + 30.0, request, upstream, Outcome::NotSent);
        assert!(matches!(actions[..], [Action::Refuse { .. }]), "it never ran: {actions:?}");
    }
}

#[test]
fn a_server_that_is_gone_when_the_last_byte_comes_is_not_revived() {
    let mut stage = Stage::new(2);
    let (request, sent) = stage.ask(0.0, NON_IDEMPOTENT);
    let (upstream, _) = sent.expect("sent");
    stage.upload(0.0, request, true);
    let gone = Listing { lifecycle: Lifecycle::Draining, ..listing(upstream.0) };
    stage.tell(10.0, Event::ListReceived(ListUpdate::Changed(vec![gone])));
    stage.upload(20.0, request, false);
    let actions = stage.end(30.0, request, upstream, Outcome::Reset);
    assert!(matches!(actions[..], [Action::Fail(_)]), "it may have run: {actions:?}");
    for _ in 0..20 {
        if let (request, Some((to, _))) = stage.ask(40.0, IDEMPOTENT) {
            assert_ne!(to, upstream);
            stage.end(50.0, request, to, Outcome::Ok);
        }
    }
}
