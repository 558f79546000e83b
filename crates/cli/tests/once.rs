//! Work that may run only once: every way in which an attempt can end, and in which a client can be led to send again.

mod loopback;

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use loopback::*;

/// What upstreams do that proves nothing: each comes after the last byte of the request.
fn proves_nothing() -> Vec<(&'static str, ScriptedResponse)> {
    vec![
        ("a 503 without the mark", ScriptedResponse::Answer(503, "", b"busy".to_vec())),
        ("a mark that says no", ScriptedResponse::Answer(503, "X-Not-Processed: 0\r\n", Vec::new())),
        ("a mark in other words", ScriptedResponse::Answer(503, "X-Not-Processed: yes\r\n", Vec::new())),
        ("a mark that comes twice", ScriptedResponse::Answer(503, "X-Not-Processed: 1\r\nX-Not-Processed: 1\r\n", Vec::new())),
        ("marks that differ", ScriptedResponse::Answer(504, "X-Not-Processed: 1\r\nX-Not-Processed: 0\r\n", Vec::new())),
        ("a mark on a 500", ScriptedResponse::Answer(500, "X-Not-Processed: 1\r\n", Vec::new())),
        ("a mark on a 429", ScriptedResponse::Answer(429, "X-Not-Processed: 1\r\n", Vec::new())),
        ("a marked head whose body never comes", ScriptedResponse::Raw(b"HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\n")),
        ("a marked answer that is cut", ScriptedResponse::RawAndClose(b"HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\nhal")),
        ("a marked answer that is reset", ScriptedResponse::RawAndReset(b"HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\nhal")),
        ("a marked answer without end", ScriptedResponse::Raw(b"HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 3000000000\r\n\r\nmore")),
        ("a marked answer with two framings", ScriptedResponse::RawAndClose(b"HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")),
        ("half a marked head", ScriptedResponse::RawAndClose(b"HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nX-Mo")),
        ("noise", ScriptedResponse::RawAndClose(b"\x00\xff not HTTP at all \r\n\r\n")),
        ("a notice ahead of the end", ScriptedResponse::RawAndClose(b"HTTP/1.1 102 x\r\nX-Not-Processed: 1\r\n\r\n")),
        ("a close", ScriptedResponse::Close),
        ("a torn answer", ScriptedResponse::TruncatedAnswer),
        ("a reset", ScriptedResponse::RawAndReset(b"")),
    ]
}

/// Guards against proof where there is none: a failed attempt that may have run is the last one, and its client is told 502 at
/// once, which promises nothing.
#[test]
fn what_may_have_run_is_neither_sent_again_nor_refused() {
    for (what, deed) in proves_nothing() {
        let deeds = [deed.clone(), deed];
        let upstreams = deeds.map(|deed| Upstream::new(move |_| deed.clone()));
        let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstreams[0], &upstreams[1]]);
        for _ in 0..3 {
            let begun = Instant::now();
            let answer = Client::connect(sidecar.address).exchange("bill");
            assert_eq!(answer.status(), 502, "{what}");
            assert!(begun.elapsed() < Duration::from_secs(5), "{what}: it is told at once");
        }
        let came: usize = upstreams.iter().map(|upstream| upstream.requests().len()).sum();
        assert_eq!(came, 3, "{what}: three requests, three attempts");
    }
}

/// What is proven not to have run goes on, on every path that proves it: turned away, refused, closed before it was asked.
#[test]
fn what_is_proven_not_to_have_run_goes_on_elsewhere() {
    let full = Upstream::new(|_| ScriptedResponse::Answer(503, "X-Not-Processed: 1\r\n", Vec::new()));
    let serves = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&full, &serves]);
    wait_until("one was turned away first", || {
        assert_eq!(Client::connect(sidecar.address).exchange("bill").status(), 200);
        !full.requests().is_empty()
    });
    // Nobody listens at the other address.
    let known = server_list(
        5,
        true,
        &[server_entry("a", free_address(), "ready"), server_entry("b", serves.address, "ready")],
    );
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS));
    sidecar.wait_until_up();
    for _ in 0..10 {
        assert_eq!(Client::connect(sidecar.address).exchange("bill").status(), 200);
    }
}

/// Guards against attempts for those who have gone: while the process is held up its client leaves and the connection that the
/// request waits for comes up, so that it hears of both in one turn.
#[test]
fn who_leaves_while_the_process_is_held_up_is_not_sent_on() {
    for _ in 0..4 {
        let (sidecar, _discovery, console, slow) = start_with_full_backlog(1);
        let mut client = Client::connect(sidecar.address);
        client.send("bill", 100_000);
        wait_until("it waits", || telemetry(console)["in_progress"] == 1);
        sidecar.suspend();
        let written = slow.accept_connections();
        // The system connects for the process that is held up: the handshake is tried anew within a second or two.
        std::thread::sleep(Duration::from_millis(2_200));
        drop(client);
        std::thread::sleep(Duration::from_millis(20));
        sidecar.signal("-CONT");
        assert_eq!(Client::connect(sidecar.address).exchange("fetch").body, b"slow");
        let written = written.lock().unwrap();
        assert_eq!(written.len(), 1, "only who has stayed is sent on: {written:?}");
    }
}

/// Guards against a request that is read after the end of our writing: its client sends it once more, and it would run twice.
#[test]
fn what_comes_after_our_end_is_not_sent_on() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut clients: Vec<Client> = (0..20).map(|_| Client::connect(sidecar.address)).collect();
    for client in &mut clients {
        assert_eq!(client.exchange("bill").status(), 200);
    }
    for client in &mut clients {
        // It rests until the sidecar has ended its writing, and sends in that very moment.
        assert_eq!(client.reader.read(&mut [0; 1]).unwrap_or(0), 0);
        client.write(request("bill", 6_000).as_bytes());
    }
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(Client::connect(sidecar.address).exchange("bill").status(), 200);
    assert_eq!(upstream.requests().len(), 21, "20 before, none of the 20 after, and one to end with");
}

/// A request that crosses the close of its idle connection is answered, or nobody has read it: one of the two, never both.
#[test]
fn a_request_that_crosses_the_close_of_its_connection_runs_once() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let (answered, sent_again) = (AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for number in 0..60u64 {
            let (sidecar, answered, sent_again) = (&sidecar, &answered, &sent_again);
            scope.spawn(move || {
                let mut client = Client::connect(sidecar.address);
                client.exchange("fetch");
                // Around the moment in which it is closed for having been idle.
                std::thread::sleep(Duration::from_millis(2_170 + number));
                let (id, text) = request_with_id("bill", 6_000);
                client.write(text.as_bytes());
                // As clients do: without an answer once more, on a new connection.
                let answer = client.read_answer().or_else(|| {
                    sent_again.fetch_add(1, Ordering::SeqCst);
                    let mut again = Client::connect(sidecar.address);
                    again.write(text.as_bytes());
                    again.read_answer()
                });
                let status = answer.expect("an answer").status();
                answered.fetch_add(1, Ordering::SeqCst);
                // So many at once may be refused, and then it never ran.
                assert_eq!(
                    judge::received_count(&id),
                    usize::from(status == 200),
                    "{id} was answered {status}"
                );
            });
        }
    });
    assert_eq!(answered.load(Ordering::SeqCst), 60, "{sent_again:?} were sent again");
}

/// Clients that leave and come again with a new id, in a crowd, while attempts are out, connecting or about to be tried again:
/// each id comes once, and none after its client has been told otherwise.
#[test]
fn who_leaves_and_comes_again_is_sent_on_once_for_each_time() {
    let turn = Arc::new(AtomicUsize::new(0));
    let upstreams = [0, 1].map(|_| {
        let turn = turn.clone();
        Upstream::new(move |_| match turn.fetch_add(1, Ordering::SeqCst) % 4 {
            0 => ScriptedResponse::Answer(503, "X-Not-Processed: 1\r\n", Vec::new()),
            1 => ScriptedResponse::Close,
            2 => ScriptedResponse::Unresponsive,
            _ => ScriptedResponse::ok("served"),
        })
    });
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstreams[0], &upstreams[1]]);
    std::thread::scope(|scope| {
        for number in 0..40u64 {
            let sidecar = &sidecar;
            scope.spawn(move || {
                for time in 0..15 {
                    let mut client = Client::connect(sidecar.address);
                    client.send(if number % 2 == 0 { "bill" } else { "log" }, 400);
                    if (number + time) % 3 > 0 {
                        std::thread::sleep(Duration::from_micros(number * 100));
                        continue;
                    }
                    drop(client.read_answer());
                }
            });
        }
    });
    judge::assert_no_unsafe_retries();
    assert!(upstreams.iter().map(|upstream| upstream.requests().len()).sum::<usize>() > 50);
}

/// Guards against requests of those who had gone before anybody read them: they wait in the accept queue, or in the socket of a
/// connection that rests, while the process is held up, and are read together with the end of their clients.
#[test]
fn who_had_left_before_the_request_was_read_is_not_sent_on() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let long = "x".repeat(40_000);
    let long = request("bill", 6_000)
        .replace("Content-Length: 4", "Content-Length: 40000")
        .replace("\r\n\r\nbill", &format!("\r\n\r\n{long}"));
    let mut gone = 0;
    for _ in 0..3 {
        let resting: Vec<Client> = (0..9)
            .map(|_| {
                let mut client = Client::connect(sidecar.address);
                assert_eq!(client.exchange("fetch").status(), 200);
                client
            })
            .collect();
        let before = upstream.requests().len();
        sidecar.suspend();
        let new = (0..9).map(|_| Client::connect(sidecar.address));
        let mut held = Vec::new();
        for (number, mut client) in new.chain(resting).enumerate() {
            let id = format!("X-Request-ID: left-{gone}-{}", std::process::id());
            let text = [request("fetch", 6_000), request("bill", 6_000), long.clone()][number % 3].clone();
            let old = text.lines().find(|line| line.starts_with("X-Request-ID")).unwrap().to_owned();
            client.write(text.replace(&old, &id).as_bytes());
            let stream = client.reader.get_ref();
            match number / 3 % 3 {
                0 => drop(client),
                1 => {
                    stream.shutdown(std::net::Shutdown::Write).unwrap();
                    held.push(client);
                }
                _ => rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO)).unwrap(),
            }
            gone += 1;
        }
        std::thread::sleep(Duration::from_millis(120));
        sidecar.signal("-CONT");
        assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200);
        std::thread::sleep(Duration::from_millis(100));
        let came = upstream.requests();
        let came: Vec<_> = came[before..].iter().map(|m| (&m.start_line, m.header("x-request-id"))).collect();
        assert_eq!(came.len(), 1, "only who has stayed is sent on: {came:?}");
    }
    assert_eq!(gone, 54);
}
