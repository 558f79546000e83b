//! The judge of the socket tests: what it makes of each way in which a wait for an answer can end, and that clients tell it.

mod loopback;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::{Duration, Instant};

use loopback::final_answers::{Attempts, Breach, Counts, End, Ended, LATE_SLACK, SHORT_BYTES, Wait};
use loopback::*;

const TIMEOUT: Duration = Duration::from_millis(400);

/// A wait whose client read from the first moment, or from another after that.
fn wait(end: End, read_after: Duration, took: Duration) -> Wait {
    let accepted = Instant::now();
    let (read_from, at) = (accepted + read_after, accepted + took);
    let ended = Some(Ended { end, read_from, begun_at: read_from, at, bytes: 500 });
    Wait { accepted, by: None, timeout: TIMEOUT, on_new_connection: true, ended, surplus: false }
}

#[test]
fn each_end_at_each_time_is_kept_or_lost() {
    let (at_once, in_slack) = (Duration::from_millis(1), TIMEOUT + LATE_SLACK);
    let late = in_slack + Duration::from_millis(1);
    let none = Attempts::default();
    let whole = Attempts { came: 1, may_break_off: false };
    let broken = Attempts { came: 1, may_break_off: true };
    let (torn, shut) = (End::CutOff { begun: true }, End::CutOff { begun: false });
    let table = [
        (End::Answered, whole, [None, None, Some(Breach::Late)]),
        (End::Answered, none, [None, None, Some(Breach::Late)]),
        (torn, broken, [None, None, Some(Breach::Late)]),
        (torn, whole, [Some(Breach::Torn); 3]),
        (torn, none, [Some(Breach::Torn); 3]),
        (shut, whole, [Some(Breach::NoAnswer); 3]),
        (shut, broken, [Some(Breach::NoAnswer); 3]),
        (shut, none, [Some(Breach::NoAnswer); 3]),
        (End::GaveUp, whole, [None, None, Some(Breach::NoAnswer)]),
        (End::Left, whole, [None; 3]),
    ];
    for (end, attempts, expected) in table {
        for (took, expected) in [at_once, in_slack, late].into_iter().zip(expected) {
            let breach = wait(end, Duration::ZERO, took).breach(attempts);
            assert_eq!(breach, expected, "{end:?} after {took:?} with {attempts:?}");
        }
    }
    // Who looks only when it is too late cannot tell.
    assert_eq!(wait(End::Answered, late, late * 2).breach(whole), None);
    assert_eq!(wait(End::Answered, in_slack, late).breach(whole), Some(Breach::Late));
}

/// Of an answer over 64 KiB the first bytes are timed: what its upstream still gives goes on.
#[test]
fn a_long_answer_is_in_time_if_its_first_bytes_are() {
    let whole = Attempts { came: 1, may_break_off: false };
    let due = TIMEOUT + LATE_SLACK;
    for (bytes, begun, expected) in [
        (SHORT_BYTES, due, Some(Breach::Late)),
        (SHORT_BYTES + 1, due, None),
        (SHORT_BYTES + 1, due + Duration::from_millis(1), Some(Breach::Late)),
    ] {
        let mut wait = wait(End::Answered, Duration::ZERO, due * 3);
        let accepted = wait.accepted;
        wait.ended = wait.ended.map(|ended| Ended { bytes, begun_at: accepted + begun, ..ended });
        assert_eq!(wait.breach(whole), expected, "{bytes} bytes, begun after {begun:?}");
    }
}

#[test]
fn what_crosses_the_close_of_a_resting_connection_unread_is_not_lost() {
    let shut = wait(End::CutOff { begun: false }, Duration::ZERO, Duration::from_millis(1));
    let resting = Wait { on_new_connection: false, ..shut };
    assert_eq!(resting.breach(Attempts::default()), None);
    let sent_on = Attempts { came: 1, may_break_off: true };
    assert_eq!(resting.breach(sent_on), Some(Breach::NoAnswer), "it was read, and sent on");
    let torn = Wait { ended: wait(End::CutOff { begun: true }, TIMEOUT, TIMEOUT).ended, ..resting };
    assert_eq!(torn.breach(Attempts::default()), Some(Breach::Torn));
}

#[test]
fn a_second_answer_is_one_too_many_and_each_is_counted_once() {
    let answered = wait(End::Answered, Duration::ZERO, Duration::from_millis(1));
    let doubled = Wait { surplus: true, ..answered };
    assert_eq!(doubled.breach(Attempts::default()), Some(Breach::Twice));
    let broken = Attempts { came: 1, may_break_off: true };
    let torn = wait(End::CutOff { begun: true }, Duration::ZERO, Duration::from_millis(1));
    let shut = wait(End::CutOff { begun: false }, Duration::ZERO, Duration::from_millis(1));
    let crossed = Wait { on_new_connection: false, ..shut };
    let mut counts = Counts::default();
    for (wait, attempts) in [
        (answered, broken),
        (doubled, broken),
        (torn, broken),
        (shut, broken),
        (crossed, Attempts::default()),
        (wait(End::Left, Duration::ZERO, Duration::ZERO), broken),
        (Wait { ended: None, ..answered }, broken),
    ] {
        counts.add(&wait, attempts);
    }
    let expected = Counts {
        accepted: 7,
        answered: 1,
        left: 1,
        torn_by_upstream: 1,
        crossed_close: 1,
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
    let late = TIMEOUT + LATE_SLACK + Duration::from_millis(200);
    let half = &GOOD[..GOOD.len() - 1];
    let twice: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\n";
    for (bytes, after, expected) in [
        (GOOD, at_once, None),
        (GOOD, late, Some(Breach::Late)),
        (half, at_once, Some(Breach::Torn)),
        (b"".as_slice(), at_once, Some(Breach::NoAnswer)),
        (twice, at_once, Some(Breach::Twice)),
    ] {
        let mut client = Client::to(in_its_place(bytes, after));
        let id = client.send_numbered("bill", TIMEOUT.as_millis() as u64);
        let got = client.read();
        assert_eq!(got.is_some(), bytes.starts_with(GOOD));
        drop(client);
        assert_eq!(judge::breach(&id), expected, "{:?} after {after:?}", String::from_utf8_lossy(bytes));
    }
    let mut client = Client::to(in_its_place(GOOD, at_once));
    let id = client.send_numbered("bill", 100);
    drop(client);
    assert_eq!(judge::breach(&id), None, "it has left");
}

/// A real sidecar before upstreams that break off: whole failures are answers, and what an upstream tears is no loss.
#[test]
fn failures_in_time_are_answers() {
    let turn = AtomicUsize::new(0);
    let upstream =
        Arc::new(Upstream::new(move |_| match turn.fetch_add(1, std::sync::atomic::Ordering::SeqCst) % 3 {
            0 => Deed::Close,
            1 => Deed::Silence,
            _ => Deed::ok("served"),
        }));
    let (sidecar, _discovery) = Sidecar::with(&[&upstream]);
    let mut statuses = Vec::new();
    for _ in 0..3 {
        let mut client = Client::to(sidecar.address);
        let id = client.send_numbered("bill", 700);
        statuses.push(client.read().expect("a whole answer").status());
        assert_eq!(judge::breach(&id), None);
    }
    assert!(statuses.contains(&502) || statuses.contains(&504), "{statuses:?}");
}

/// Each loss fails the verdict on the sidecar that it belongs to, and no other.
#[test]
fn a_loss_is_told_where_it_belongs() {
    let (fails, serves) = (in_its_place(b"", Duration::ZERO), in_its_place(GOOD, Duration::ZERO));
    for address in [fails, serves] {
        let mut client = Client::to(address);
        client.send("fetch", 5_000);
        client.read();
    }
    judge::verdict_on_answers(serves);
    let verdict = std::thread::spawn(move || judge::verdict_on_answers(fails)).join();
    let why = verdict.expect_err("a request got no answer");
    let why = why.downcast_ref::<String>().expect("a text");
    assert!(why.contains("has not got one whole answer in time"), "{why}");
}
