//! The judge of the socket tests: how it classifies each end of a client's wait, and that clients report every end to it.

mod loopback;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::{Duration, Instant};

use loopback::final_answers::{
    ClientWait, MAX_LATENESS, MAX_TIMED_TO_END_BYTES, RequestCounts, UpstreamAttempts, Violation, WaitEnd,
    WaitOutcome,
};
use loopback::*;

const TIMEOUT: Duration = Duration::from_millis(400);

/// A wait that ended `duration` after the request was accepted; the client began to read `read_after` after that time.
fn wait(outcome: WaitOutcome, read_after: Duration, duration: Duration) -> ClientWait {
    let accepted_at = Instant::now();
    let (reading_since, ended_at) = (accepted_at + read_after, accepted_at + duration);
    let end = Some(WaitEnd { outcome, reading_since, first_byte_at: reading_since, ended_at, bytes: 500 });
    ClientWait {
        accepted_at,
        accepted_by: None,
        timeout: TIMEOUT,
        on_new_connection: true,
        end,
        has_surplus: false,
    }
}

#[test]
fn violation_follows_from_outcome_lateness_and_upstream_attempts() {
    let (immediate, at_limit) = (Duration::from_millis(1), TIMEOUT + MAX_LATENESS);
    let late = at_limit + Duration::from_millis(1);
    let no_attempts = UpstreamAttempts::default();
    let complete_attempt = UpstreamAttempts { received: 1, may_truncate: false };
    let truncating_attempt = UpstreamAttempts { received: 1, may_truncate: true };
    let (truncated, closed) =
        (WaitOutcome::ConnectionClosed { begun: true }, WaitOutcome::ConnectionClosed { begun: false });
    let table = [
        (WaitOutcome::Answered, complete_attempt, [None, None, Some(Violation::Late)]),
        (WaitOutcome::Answered, no_attempts, [None, None, Some(Violation::Late)]),
        (truncated, truncating_attempt, [None, None, Some(Violation::Late)]),
        (truncated, complete_attempt, [Some(Violation::Truncated); 3]),
        (truncated, no_attempts, [Some(Violation::Truncated); 3]),
        (closed, complete_attempt, [Some(Violation::NoAnswer); 3]),
        (closed, truncating_attempt, [Some(Violation::NoAnswer); 3]),
        (closed, no_attempts, [Some(Violation::NoAnswer); 3]),
        (WaitOutcome::ReadTimedOut, complete_attempt, [None, None, Some(Violation::NoAnswer)]),
        (WaitOutcome::ClientLeft, complete_attempt, [None; 3]),
    ];
    for (outcome, attempts, expected) in table {
        for (duration, expected) in [immediate, at_limit, late].into_iter().zip(expected) {
            let violation = wait(outcome, Duration::ZERO, duration).violation(attempts);
            assert_eq!(violation, expected, "{outcome:?} after {duration:?} with {attempts:?}");
        }
    }
    // A client that begins to read after the latest acceptable time cannot tell whether the answer was late.
    assert_eq!(wait(WaitOutcome::Answered, late, late * 2).violation(complete_attempt), None);
    assert_eq!(
        wait(WaitOutcome::Answered, at_limit, late).violation(complete_attempt),
        Some(Violation::Late)
    );
}

/// An answer over 64 KiB takes as long as its upstream takes to send it, so that only its first byte can be late.
#[test]
fn long_answer_is_timed_by_its_first_byte() {
    let complete_attempt = UpstreamAttempts { received: 1, may_truncate: false };
    let time_limit = TIMEOUT + MAX_LATENESS;
    for (bytes, first_byte_after, expected) in [
        (MAX_TIMED_TO_END_BYTES, time_limit, Some(Violation::Late)),
        (MAX_TIMED_TO_END_BYTES + 1, time_limit, None),
        (MAX_TIMED_TO_END_BYTES + 1, time_limit + Duration::from_millis(1), Some(Violation::Late)),
    ] {
        let mut wait = wait(WaitOutcome::Answered, Duration::ZERO, time_limit * 3);
        let accepted_at = wait.accepted_at;
        wait.end =
            wait.end.map(|end| WaitEnd { bytes, first_byte_at: accepted_at + first_byte_after, ..end });
        assert_eq!(
            wait.violation(complete_attempt),
            expected,
            "{bytes} bytes, first byte after {first_byte_after:?}"
        );
    }
}

#[test]
fn unread_request_on_closed_idle_connection_is_not_a_violation() {
    let closed =
        wait(WaitOutcome::ConnectionClosed { begun: false }, Duration::ZERO, Duration::from_millis(1));
    let on_idle_connection = ClientWait { on_new_connection: false, ..closed };
    assert_eq!(on_idle_connection.violation(UpstreamAttempts::default()), None);
    let forwarded = UpstreamAttempts { received: 1, may_truncate: true };
    assert_eq!(
        on_idle_connection.violation(forwarded),
        Some(Violation::NoAnswer),
        "the request was read and forwarded"
    );
    let truncated = ClientWait {
        end: wait(WaitOutcome::ConnectionClosed { begun: true }, TIMEOUT, TIMEOUT).end,
        ..on_idle_connection
    };
    assert_eq!(truncated.violation(UpstreamAttempts::default()), Some(Violation::Truncated));
}

#[test]
fn surplus_answer_is_a_violation_and_each_request_is_counted_once() {
    let answered = wait(WaitOutcome::Answered, Duration::ZERO, Duration::from_millis(1));
    let with_surplus = ClientWait { has_surplus: true, ..answered };
    assert_eq!(with_surplus.violation(UpstreamAttempts::default()), Some(Violation::Surplus));
    let truncating_attempt = UpstreamAttempts { received: 1, may_truncate: true };
    let truncated =
        wait(WaitOutcome::ConnectionClosed { begun: true }, Duration::ZERO, Duration::from_millis(1));
    let closed =
        wait(WaitOutcome::ConnectionClosed { begun: false }, Duration::ZERO, Duration::from_millis(1));
    let crossed_idle_close = ClientWait { on_new_connection: false, ..closed };
    let mut counts = RequestCounts::default();
    for (wait, attempts) in [
        (answered, truncating_attempt),
        (with_surplus, truncating_attempt),
        (truncated, truncating_attempt),
        (closed, truncating_attempt),
        (crossed_idle_close, UpstreamAttempts::default()),
        (wait(WaitOutcome::ClientLeft, Duration::ZERO, Duration::ZERO), truncating_attempt),
        (ClientWait { end: None, ..answered }, truncating_attempt),
    ] {
        counts.add(&wait, attempts);
    }
    let expected = RequestCounts {
        accepted: 7,
        answered: 1,
        client_left: 1,
        truncated_by_upstream: 1,
        crossed_idle_close: 1,
        waiting: 1,
        lost: 2,
    };
    assert_eq!(counts, expected);
}

/// Starts a stand-in for a sidecar, which reads a request on each connection, writes these bytes after a delay and closes.
fn start_stand_in_sidecar(bytes: &'static [u8], delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = read_message(&mut std::io::BufReader::new(stream.try_clone().unwrap()));
            std::thread::sleep(delay);
            let _ = stream.write_all(bytes);
        }
    });
    address
}

const COMPLETE_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";

/// Guards against clients that do not report an end to the judge, whose checks would then pass without any data.
#[test]
fn client_reports_each_end_of_a_wait_to_the_judge() {
    let immediate = Duration::ZERO;
    let late = TIMEOUT + MAX_LATENESS + Duration::from_millis(200);
    let truncated = &COMPLETE_ANSWER[..COMPLETE_ANSWER.len() - 1];
    let with_surplus: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\n";
    for (bytes, delay, expected) in [
        (COMPLETE_ANSWER, immediate, None),
        (COMPLETE_ANSWER, late, Some(Violation::Late)),
        (truncated, immediate, Some(Violation::Truncated)),
        (b"".as_slice(), immediate, Some(Violation::NoAnswer)),
        (with_surplus, immediate, Some(Violation::Surplus)),
    ] {
        let mut client = Client::connect(start_stand_in_sidecar(bytes, delay));
        let id = client.send_and_return_id("bill", TIMEOUT.as_millis() as u64);
        let answer = client.read_answer();
        assert_eq!(answer.is_some(), bytes.starts_with(COMPLETE_ANSWER));
        drop(client);
        assert_eq!(judge::violation(&id), expected, "{:?} after {delay:?}", String::from_utf8_lossy(bytes));
    }
    let mut client = Client::connect(start_stand_in_sidecar(COMPLETE_ANSWER, immediate));
    let id = client.send_and_return_id("bill", 100);
    drop(client);
    assert_eq!(judge::violation(&id), None, "the client left before the answer");
}

/// A real sidecar whose upstream closes connections or does not respond: a complete failure answer in time is no loss.
#[test]
fn failure_answers_in_time_are_not_violations() {
    let request_count = AtomicUsize::new(0);
    let upstream = Arc::new(Upstream::new(move |_| {
        match request_count.fetch_add(1, std::sync::atomic::Ordering::SeqCst) % 3 {
            0 => ScriptedResponse::Close,
            1 => ScriptedResponse::Unresponsive,
            _ => ScriptedResponse::ok("served"),
        }
    }));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut statuses = Vec::new();
    for _ in 0..3 {
        let mut client = Client::connect(sidecar.address);
        let id = client.send_and_return_id("bill", 700);
        statuses.push(client.read_answer().expect("a complete answer").status());
        assert_eq!(judge::violation(&id), None);
    }
    assert!(statuses.contains(&502) || statuses.contains(&504), "{statuses:?}");
}

/// Guards against a loss that fails the check of another sidecar, and so the wrong test.
#[test]
fn lost_request_fails_only_the_check_of_the_sidecar_that_accepted_it() {
    let (silent, serving) = (
        start_stand_in_sidecar(b"", Duration::ZERO),
        start_stand_in_sidecar(COMPLETE_ANSWER, Duration::ZERO),
    );
    for address in [silent, serving] {
        let mut client = Client::connect(address);
        client.send("fetch", 5_000);
        client.read_answer();
    }
    judge::assert_no_request_lost(serving);
    let check = std::thread::spawn(move || judge::assert_no_request_lost(silent)).join();
    let panic = check.expect_err("a request got no answer");
    let message = panic.downcast_ref::<String>().expect("a panic with a text");
    assert!(message.contains("did not get one complete answer in time"), "{message}");
}
