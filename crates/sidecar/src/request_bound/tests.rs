//! The table of the module comment, line by line, and that every accepted request ends in time.

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const TIMEOUT: Duration = Duration::from_millis(600);
const STATED: Option<u64> = Some(200_000);

/// The bound of a state, in time after the request was taken.
fn after(start: Instant, state: RequestState) -> (Duration, EndsWith) {
    let Bound { at, ends_with } = bound(state);
    (at.saturating_duration_since(start), ends_with)
}

fn progress(start: Instant, waiting_since: u64, passed_bytes: u64, length: Option<u64>) -> RequestState {
    RequestState::Streaming(StreamProgress {
        deadline: start + TIMEOUT,
        waiting_since: start + ms(waiting_since),
        longest_pause: ms(150),
        forwarded_bytes: passed_bytes,
        length,
    })
}

#[test]
fn every_state_has_its_bound_and_its_answer() {
    let start = Instant::now();
    let deadline = Deadline::new(start, TIMEOUT, None);
    let ending = Deadline::new(start, TIMEOUT, Some(start + ms(200)));
    let attempt = |connect: u64, until: u64| AttemptTimes {
        connect_by: start + ms(connect),
        times_out_at: start + ms(until),
    };
    let almost = |millis: u64| ms(millis) - FINAL_ANSWER_MARGIN;
    let table = [
        (RequestState::Reading { head_at: start, bytes: 0 }, ms(2_300), EndsWith::RequestTimeout),
        (RequestState::Reading { head_at: start, bytes: 32 << 10 }, ms(3_300), EndsWith::RequestTimeout),
        (RequestState::Queued(deadline), almost(600), EndsWith::BadGateway),
        (RequestState::Queued(ending), almost(200), EndsWith::BadGateway),
        (RequestState::Connecting(attempt(100, 400)), ms(100), EndsWith::AnotherAttempt),
        (RequestState::Connecting(attempt(500, 400)), ms(400), EndsWith::AnotherAttempt),
        (RequestState::Sent(attempt(100, 400)), ms(400), EndsWith::AnotherAttempt),
        // A short answer that stops before or after its deadline ends soon after it.
        (progress(start, 100, 1_000, None), ms(850), EndsWith::TruncatedAnswer),
        (progress(start, 590, 1_000, None), ms(850), EndsWith::TruncatedAnswer),
        // One that goes on has the time that its bytes have earned, and is given up when it pauses for too long.
        (progress(start, 840, 32 << 10, None), ms(990), EndsWith::TruncatedAnswer),
        (progress(start, 9_000, 32 << 10, None), ms(8_850), EndsWith::TruncatedAnswer),
        (progress(start, 9_000, 100, None), ms(874), EndsWith::TruncatedAnswer),
        // A long one is timed by its first bytes alone.
        (progress(start, 100, 70_000, None), ms(10_100), EndsWith::TruncatedAnswer),
        (progress(start, 100, 0, STATED), ms(10_100), EndsWith::TruncatedAnswer),
    ];
    for (state, at, ends_with) in table {
        let (found, answer) = after(start, state);
        assert_eq!((found.as_millis(), answer), (at.as_millis(), ends_with), "{state:?}");
    }
}

#[test]
fn no_deadline_lies_before_the_request_was_taken() {
    let start = Instant::now();
    for timeout in [Duration::ZERO, ms(1), ms(2), TIMEOUT] {
        for ends in [None, Some(start), Some(start + ms(1))] {
            let deadline = Deadline::new(start, timeout, ends);
            assert!(deadline.attempts_due_by() >= start && deadline.attempts_due_by() <= deadline.at());
            assert!(bound(RequestState::Queued(deadline)).at >= deadline.attempts_due_by());
            assert!(deadline.at() <= start + timeout);
        }
    }
}

/// What is taken ends within the limit of the users whatever it waits for, unless a long answer is under way, which is timed
/// by its first bytes: and with time to spare for a process that gets a twentieth of a core, whose turns are short.
#[test]
fn whatever_is_not_known_to_be_long_ends_within_the_limit_of_late_answers() {
    const TURN: Duration = Duration::from_millis(5);
    const STARVED: u32 = 20;
    let start = Instant::now();
    let limit = start + TIMEOUT + LATE_ANSWER_LIMIT;
    let deadline = Deadline::new(start, TIMEOUT, None);
    assert!(bound(RequestState::Queued(deadline)).at + TURN * STARVED < limit);
    let mut rng = oorandom::Rand64::new(9);
    for _ in 0..20_000 {
        let waiting_since = rng.rand_range(0..600);
        let passed = rng.rand_range(0..(MAX_BUFFERED_BODY_BYTES as u64 + 1));
        let (at, _) = after(start, progress(start, waiting_since, passed, None));
        // Nothing has come since before the deadline.
        assert!(start + at + TURN * STARVED < limit, "{waiting_since} {passed}: {at:?}");
    }
}
