//! Answers that state no length: held while another attempt could still replace them, passed on in time where they are long,
//! and ended by a clock where they stop.

mod loopback;

use std::io::{BufRead, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use loopback::*;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
/// Up to this long after its deadline an answer is late; after that it is lost.
const LATE_LIMIT: Duration = Duration::from_millis(500);

/// Writes a close-delimited answer in so many pieces, with a pause before each.
fn dribble(stream: &mut TcpStream, piece: &[u8], count: usize, pause: Duration) {
    stream.write_all(HEAD).unwrap();
    for _ in 0..count {
        std::thread::sleep(pause);
        // The sidecar may have given it up.
        if stream.write_all(piece).is_err() {
            return;
        }
    }
}

/// Begins a close-delimited answer at the pace of a long one, so that it is passed on, and goes on in small pieces.
fn begin_as_long(stream: &mut TcpStream, pieces: usize) {
    dribble(stream, &[b'x'; 30_000], 2, Duration::from_millis(10));
    for _ in 0..pieces {
        std::thread::sleep(Duration::from_millis(50));
        if stream.write_all(b"0123456789").is_err() {
            return;
        }
    }
}

/// Reads one chunked answer to the end of its connection; its bytes, and whether its last chunk came.
fn read_all(client: &mut Client) -> (String, bool) {
    let bytes = client.read_until_close().expect("the connection ends");
    let whole = bytes.ends_with(b"0\r\n\r\n");
    (String::from_utf8_lossy(&bytes).into_owned(), whole)
}

/// Lead 1: nothing of a short answer was passed on when its upstream resets it, so that another attempt replaces it.
#[test]
fn a_short_slow_answer_that_is_reset_is_replaced_by_another_attempt() {
    let attempts = Arc::new(AtomicUsize::new(0));
    let counted = attempts.clone();
    let deed = move |_: &Message| {
        let first = counted.fetch_add(1, Ordering::SeqCst) == 0;
        // 300 ms: well beyond the time for which any answer is held.
        let answer = |stream: &mut TcpStream| dribble(stream, b"0123456789", 6, Duration::from_millis(50));
        match first {
            true => ScriptedResponse::custom_and_reset(answer),
            false => ScriptedResponse::custom(move |stream| {
                answer(stream);
                false
            }),
        }
    };
    let (one, other) = (Upstream::new(deed.clone()), Upstream::new(deed));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&one, &other]);
    let answer = Client::connect(sidecar.address).exchange("fetch");
    assert_eq!((answer.status(), answer.body), (200, b"0123456789".repeat(6)));
    assert_eq!(attempts.load(Ordering::SeqCst), 2);
}

/// The same of work that may run only once: a whole failure in place of half an answer.
#[test]
fn a_short_slow_answer_that_is_reset_and_may_not_be_repeated_fails_whole() {
    let upstream = Upstream::new(|_| {
        ScriptedResponse::custom_and_reset(|stream| {
            dribble(stream, b"0123456789", 6, Duration::from_millis(50))
        })
    });
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let answer = Client::connect(sidecar.address).exchange("bill");
    assert_eq!(answer.status(), 502);
    assert_eq!(upstream.requests().len(), 1);
}

/// Lead 2: an answer that has begun to be passed on and stops, as when a zone is lost, ends soon after its deadline and does
/// not look whole.
#[test]
fn an_answer_under_way_that_stops_ends_within_the_limit_of_late_answers() {
    let upstream = Upstream::new(|_| {
        ScriptedResponse::custom(|stream| {
            // On its way for longer than any is held; then the upstream is silent with its connection open.
            begin_as_long(stream, 35);
            std::thread::sleep(Duration::from_secs(20));
            false
        })
    });
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    for class in ["fetch", "bill"] {
        let mut client = Client::connect(sidecar.address);
        let (start, timeout) = (Instant::now(), Duration::from_millis(2_500));
        client.write(request(class, 2_500).as_bytes());
        let (answer, whole) = read_all(&mut client);
        let took = start.elapsed();
        assert!(answer.contains(" 200 ") && answer.contains("0123456789"), "it had begun: {answer}");
        assert!(!whole, "it does not look whole");
        assert!(took >= timeout, "its upstream has its time: {took:?}");
        assert!(took < timeout + LATE_LIMIT, "{took:?}");
    }
}

/// An answer that never ends and hardly comes is no long one: its client is told in time that there is none.
#[test]
fn an_answer_that_dribbles_without_end_fails_whole_and_in_time() {
    let upstream = Upstream::new(|_| {
        ScriptedResponse::custom(|stream| {
            dribble(stream, b"x", 200, Duration::from_millis(50));
            false
        })
    });
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    let start = Instant::now();
    client.send("fetch", 2_000);
    let answer = client.read_answer().expect("a whole answer");
    assert!([502, 503].contains(&answer.status()), "{}", answer.start_line);
    assert!(start.elapsed() < Duration::from_millis(2_000) + LATE_LIMIT, "{:?}", start.elapsed());
}

/// A long answer is timed by its first bytes: they are not held for 2 s, and once one was long they come by the aim. All of
/// it comes, however long after the deadline.
#[test]
fn a_long_answer_of_unknown_length_goes_on_in_time_and_comes_whole() {
    const PIECE: &[u8] = &[b'x'; 4 << 10];
    const PIECES: usize = 45;
    let upstream = Upstream::new(|_| {
        ScriptedResponse::custom(|stream| {
            dribble(stream, PIECE, PIECES, Duration::from_millis(100));
            false
        })
    });
    let settings = SETTINGS.replace(r#""aim":3000.0"#, r#""aim":500.0"#);
    let (sidecar, _discovery) = Sidecar::start_with_settings(&[&upstream], &settings);
    for first_by in [1_900, 600] {
        let mut client = Client::connect(sidecar.address);
        let start = Instant::now();
        client.send("bill", 3_000);
        assert!(!client.reader.fill_buf().unwrap().is_empty());
        let first = start.elapsed();
        assert!(first < Duration::from_millis(first_by), "{first:?}");
        let answer = client.read_answer().expect("all of it");
        assert_eq!((answer.status(), answer.body.len()), (200, PIECE.len() * PIECES));
        assert!(start.elapsed() > Duration::from_millis(3_500), "it came after its deadline");
    }
}

/// Who can tell the end of an answer only by the end of its connection must not take a torn one for whole.
#[test]
fn a_torn_answer_does_not_look_whole_to_a_client_of_http_1_0() {
    let upstream = Upstream::new(|_| ScriptedResponse::custom_and_reset(|stream| begin_as_long(stream, 40)));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut stream = TcpStream::connect(sidecar.address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(request("fetch", 2_500).replace("HTTP/1.1", "HTTP/1.0").as_bytes()).unwrap();
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer);
    assert!(text.starts_with("HTTP/1.0 200 "), "it was passed on: {read:?}, {} bytes", answer.len());
    assert!(read.is_err(), "{} bytes that look whole", answer.len());
}

/// Guards against a close without a byte: on a connection that was used before, a client takes it for an idle one that was
/// closed, and sends what may run only once again.
#[test]
fn an_answer_that_breaks_off_as_it_begins_leaves_its_head_with_the_client() {
    const LONG: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n0123456789";
    let upstream = Upstream::new(|message| match message.start_line.starts_with("GET /fetch") {
        true => ScriptedResponse::ok("served"),
        // Its first bytes and its end arrive together.
        false => ScriptedResponse::custom(|stream| {
            stream.write_all(LONG).unwrap();
            false
        }),
    });
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    for _ in 0..20 {
        assert_eq!(client.exchange("fetch").status(), 200);
        client.write(request("bill", 3_000).as_bytes());
        let (answer, _) = read_all(&mut client);
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
        client = Client::connect(sidecar.address);
    }
}
