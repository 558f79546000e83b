//! The judge of the socket tests: what it makes of each way in which a wait for an answer can end, and that clients tell it.

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

/// A wait whose client read from the first moment, or from another after that.
fn wait(end: WaitOutcome, read_after: Duration, took: Duration) -> ClientWait {
    let accepted = Instant::now();
    let (read_from, at) = (accepted + read_after, accepted + took);
    let ended = Some(WaitEnd {
        outcome: end,
        reading_since: read_from,
        first_byte_at: read_from,
        ended_at: at,
        bytes: 500,
    });
    ClientWait {
        accepted_at: accepted,
        accepted_by: None,
        timeout: TIMEOUT,
        on_new_connection: true,
        end: ended,
        has_surplus: false,
    }
}

#[test]
fn each_end_at_each_time_is_kept_or_lost() {
    let (at_once, in_slack) = (Duration::from_millis(1), TIMEOUT + MAX_LATENESS);
    let late = in_slack + Duration::from_millis(1);
    let none = UpstreamAttempts::default();
    let whole = UpstreamAttempts { received: 1, may_truncate: false };
    let broken = UpstreamAttempts { received: 1, may_truncate: true };
    let (torn, shut) =
        (WaitOutcome::ConnectionClosed { begun: true }, WaitOutcome::ConnectionClosed { begun: false });
    let table = [
        (WaitOutcome::Answered, whole, [None, None, Some(Violation::Late)]),
        (WaitOutcome::Answered, none, [None, None, Some(Violation::Late)]),
        (torn, broken, [None, None, Some(Violation::Late)]),
        (torn, whole, [Some(Violation::Truncated); 3]),
        (torn, none, [Some(Violation::Truncated); 3]),
        (shut, whole, [Some(Violation::NoAnswer); 3]),
        (shut, broken, [Some(Violation::NoAnswer); 3]),
        (shut, none, [Some(Violation::NoAnswer); 3]),
        (WaitOutcome::ReadTimedOut, whole, [None, None, Some(Violation::NoAnswer)]),
        (WaitOutcome::ClientLeft, whole, [None; 3]),
    ];
    for (end, attempts, expected) in table {
        for (took, expected) in [at_once, in_slack, late].into_iter().zip(expected) {
            let breach = wait(end, Duration::ZERO, took).violation(attempts);
            assert_eq!(breach, expected, "{end:?} after {took:?} with {attempts:?}");
        }
    }
    // Who looks only when it is too late cannot tell.
    assert_eq!(wait(WaitOutcome::Answered, late, late * 2).violation(whole), None);
    assert_eq!(wait(WaitOutcome::Answered, in_slack, late).violation(whole), Some(Violation::Late));
}

/// Of an answer over 64 KiB the first bytes are timed: what its upstream still gives goes on.
#[test]
fn a_long_answer_is_in_time_if_its_first_bytes_are() {
    let whole = UpstreamAttempts { received: 1, may_truncate: false };
    let due = TIMEOUT + MAX_LATENESS;
    for (bytes, begun, expected) in [
        (MAX_TIMED_TO_END_BYTES, due, Some(Violation::Late)),
        (MAX_TIMED_TO_END_BYTES + 1, due, None),
        (MAX_TIMED_TO_END_BYTES + 1, due + Duration::from_millis(1), Some(Violation::Late)),
    ] {
        let mut wait = wait(WaitOutcome::Answered, Duration::ZERO, due * 3);
        let accepted = wait.accepted_at;
        wait.end = wait.end.map(|ended| WaitEnd { bytes, first_byte_at: accepted + begun, ..ended });
        assert_eq!(wait.violation(whole), expected, "{bytes} bytes, begun after {begun:?}");
    }
}

#[test]
fn what_crosses_the_close_of_a_resting_connection_unread_is_not_lost() {
    let shut = wait(WaitOutcome::ConnectionClosed { begun: false }, Duration::ZERO, Duration::from_millis(1));
    let resting = ClientWait { on_new_connection: false, ..shut };
    assert_eq!(resting.violation(UpstreamAttempts::default()), None);
    let sent_on = UpstreamAttempts { received: 1, may_truncate: true };
    assert_eq!(resting.violation(sent_on), Some(Violation::NoAnswer), "it was read, and sent on");
    let torn = ClientWait {
        end: wait(WaitOutcome::ConnectionClosed { begun: true }, TIMEOUT, TIMEOUT).end,
        ..resting
    };
    assert_eq!(torn.violation(UpstreamAttempts::default()), Some(Violation::Truncated));
}

#[test]
fn a_second_answer_is_one_too_many_and_each_is_counted_once() {
    let answered = wait(WaitOutcome::Answered, Duration::ZERO, Duration::from_millis(1));
    let doubled = ClientWait { has_surplus: true, ..answered };
    assert_eq!(doubled.violation(UpstreamAttempts::default()), Some(Violation::Surplus));
    let broken = UpstreamAttempts { received: 1, may_truncate: true };
    let torn = wait(WaitOutcome::ConnectionClosed { begun: true }, Duration::ZERO, Duration::from_millis(1));
    let shut = wait(WaitOutcome::ConnectionClosed { begun: false }, Duration::ZERO, Duration::from_millis(1));
    let crossed = ClientWait { on_new_connection: false, ..shut };
    let mut counts = RequestCounts::default();
    for (wait, attempts) in [
        (answered, broken),
        (doubled, broken),
        (torn, broken),
        (shut, broken),
        (crossed, UpstreamAttempts::default()),
        (wait(WaitOutcome::ClientLeft, Duration::ZERO, Duration::ZERO), broken),
        (ClientWait { end: None, ..answered }, broken),
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

/// In a sidecar's place: reads a request on each connection and answers with these bytes, after this time, and closes.
fn in_its_place(bytes: &'static [u8], after: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = read_message(&mut std::io::BufReader::new(stream.try_clone().unwrap()));
            std::thread::sleep(after);
            let _ = stream.write_all(bytes);
        }
    });
    address
}

const GOOD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";

/// Guards against a judge that nobody tells: what clients see on sockets is what it has.
#[test]
fn what_a_client_sees_is_told() {
    let at_once = Duration::ZERO;
    let late = TIMEOUT + MAX_LATENESS + Duration::from_millis(200);
    let half = &GOOD[..GOOD.len() - 1];
    let twice: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\n";
    for (bytes, after, expected) in [
        (GOOD, at_once, None),
        (GOOD, late, Some(Violation::Late)),
        (half, at_once, Some(Violation::Truncated)),
        (b"".as_slice(), at_once, Some(Violation::NoAnswer)),
        (twice, at_once, Some(Violation::Surplus)),
    ] {
        let mut client = Client::connect(in_its_place(bytes, after));
        let id = client.send_and_return_id("bill", TIMEOUT.as_millis() as u64);
        let got = client.read_answer();
        assert_eq!(got.is_some(), bytes.starts_with(GOOD));
        drop(client);
        assert_eq!(judge::violation(&id), expected, "{:?} after {after:?}", String::from_utf8_lossy(bytes));
    }
    let mut client = Client::connect(in_its_place(GOOD, at_once));
    let id = client.send_and_return_id("bill", 100);
    drop(client);
    assert_eq!(judge::violation(&id), None, "it has left");
}

/// A real sidecar before upstreams that break off: whole failures are answers, and what an upstream tears is no loss.
#[test]
fn failures_in_time_are_answers() {
    let turn = AtomicUsize::new(0);
    let upstream =
        Arc::new(Upstream::new(move |_| match turn.fetch_add(1, std::sync::atomic::Ordering::SeqCst) % 3 {
            0 => ScriptedResponse::Close,
            1 => ScriptedResponse::Unresponsive,
            _ => ScriptedResponse::ok("served"),
        }));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut statuses = Vec::new();
    for _ in 0..3 {
        let mut client = Client::connect(sidecar.address);
        let id = client.send_and_return_id("bill", 700);
        statuses.push(client.read_answer().expect("a whole answer").status());
        assert_eq!(judge::violation(&id), None);
    }
    assert!(statuses.contains(&502) || statuses.contains(&504), "{statuses:?}");
}

/// Each loss fails the verdict on the sidecar that it belongs to, and no other.
#[test]
fn a_loss_is_told_where_it_belongs() {
    let (fails, serves) = (in_its_place(b"", Duration::ZERO), in_its_place(GOOD, Duration::ZERO));
    for address in [fails, serves] {
        let mut client = Client::connect(address);
        client.send("fetch", 5_000);
        client.read_answer();
    }
    judge::assert_no_request_lost(serves);
    let verdict = std::thread::spawn(move || judge::assert_no_request_lost(fails)).join();
    let why = verdict.expect_err("a request got no answer");
    let why = why.downcast_ref::<String>().expect("a text");
    assert!(why.contains("has not got one whole answer in time"), "{why}");
}
