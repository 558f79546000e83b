//! Tests of the operation of a running sidecar: its console, telemetry, evacuation and rejoining, and SIGTERM.

mod loopback;

use std::io::{BufRead, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Child;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use loopback::*;

/// The status of the sidecar's `/up` path.
fn up_status(sidecar: &Sidecar) -> u16 {
    Client::connect(sidecar.address).get("/up").expect("an answer").status()
}

#[test]
fn console_answers_calls_and_rejects_other_input_with_distinct_statuses() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (_sidecar, _discovery, console) = start_with_console(&[&upstream]);
    assert_eq!(call_console(console, "GET", "/api/ready").0, 200);
    assert_eq!(call_console(console, "GET", "/api/nothing").0, 404);
    assert_eq!(call_console(console, "GET", "/api/evacuate").0, 405);
    assert_eq!(call_console(console, "POST", "/api/telemetry").0, 405);
    let status_of = |bytes: &[u8]| {
        let mut client = Client::connect(console);
        client.write(bytes);
        client.read_answer().map_or(0, |answer| answer.status())
    };
    assert_eq!(status_of(b"\x00\x01noise\r\n\r\n"), 400);
    let long_head = format!("GET /api/ready HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(64 << 10));
    assert_eq!(status_of(long_head.as_bytes()), 431);
    // The console does not wait for a body, because no call uses one.
    let without_body = b"PUT /api/rejoin HTTP/1.1\r\nHost: c\r\nContent-Length: 9\r\n\r\n";
    assert_eq!(status_of(without_body), 200);
    let too_long_body = b"PUT /api/rejoin HTTP/1.1\r\nHost: c\r\nContent-Length: 99999999\r\n\r\n";
    assert_eq!(status_of(too_long_body), 413);
    // Some clients shut down their sending side after the request.
    let mut caller = TcpStream::connect(console).unwrap();
    caller.write_all(b"GET /api/ready HTTP/1.1\r\nHost: c\r\n\r\n").unwrap();
    caller.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[test]
fn console_answers_calls_beside_clients_that_send_nothing_or_half_a_call() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (_sidecar, _discovery, console) = start_with_console(&[&upstream]);
    let unresponsive: Vec<TcpStream> = (0..100)
        .map(|number| {
            let mut stream = TcpStream::connect(console).unwrap();
            if number % 2 == 0 {
                stream.write_all(b"GET /api/rea").unwrap();
            }
            stream
        })
        .collect();
    for _ in 0..20 {
        assert_eq!(call_console(console, "GET", "/api/ready").0, 200);
    }
    drop(unresponsive);
}

#[test]
fn sidecar_without_a_server_list_is_not_ready() {
    let discovery = free_address();
    let console = free_address();
    let text = config_json("127.0.0.1:0", discovery, "null", 1024, SETTINGS);
    let _sidecar = Sidecar::start(&config_with_console(&text, &console.to_string()));
    assert_eq!(call_console(console, "GET", "/api/ready").0, 503);
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200);
}

#[test]
fn telemetry_matches_the_answers_and_attempts_that_clients_and_upstreams_saw() {
    let count = AtomicUsize::new(0);
    let upstream = Upstream::new(move |message| match count.fetch_add(1, Ordering::SeqCst) {
        _ if message.start_line.starts_with("GET") => ScriptedResponse::ok("served"),
        number if number % 3 == 0 => ScriptedResponse::Answer(500, "", Vec::new()),
        number if number % 3 == 1 => ScriptedResponse::Answer(503, "X-Not-Processed: 1\r\n", Vec::new()),
        _ => ScriptedResponse::ok("served"),
    });
    let (sidecar, _discovery, console) = start_with_console(&[&upstream]);
    let initial = telemetry(console);
    for class in ["fetch", "log", "bill"] {
        assert_eq!(initial["handled"][class]["passed"], 0, "every class is listed from the start");
    }
    let mut seen = std::collections::BTreeMap::new();
    for class in ["bill", "bill", "fetch", "bill", "log", "fetch", "bill"] {
        let counter = match Client::connect(sidecar.address).exchange(class).status() {
            200 => "passed",
            503 => "dropped",
            _ => "bad_gateway",
        };
        *seen.entry((class, counter)).or_insert(0) += 1;
    }
    // A request without a class is not counted.
    Client::connect(sidecar.address).get("/nothing").unwrap();
    let counts = telemetry(console);
    for class in ["fetch", "log", "bill"] {
        for counter in ["passed", "dropped", "bad_gateway"] {
            let seen = seen.get(&(class, counter)).copied().unwrap_or(0);
            assert_eq!(counts["handled"][class][counter], seen, "{class} {counter}: {counts}");
        }
    }
    assert_eq!(counts["upstream_tries"], upstream.requests().len());
    assert_eq!((&counts["in_progress"], &counts["known_upstreams"]), (&0.into(), &1.into()));
}

#[test]
fn telemetry_counts_requests_in_progress_and_skipped_upstreams() {
    let released = Arc::new(AtomicUsize::new(0));
    let is_released = released.clone();
    let slow = Upstream::new(move |_| ScriptedResponse::AnswerWhenReleased(is_released.clone()));
    let known = server_list(
        5,
        true,
        &[server_entry("a", slow.address, "ready"), server_entry("b", slow.address, "draining")],
    );
    let discovery = Discovery::new(&known);
    let console = free_address();
    let text = config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS);
    let sidecar = Sidecar::start(&config_with_console(&text, &console.to_string()));
    sidecar.wait_until_up();
    let mut clients: Vec<Client> = (0..2).map(|_| Client::connect(sidecar.address)).collect();
    clients.iter_mut().for_each(|client| client.send("bill", 6_000));
    wait_until("both requests are in flight", || telemetry(console)["upstream_tries"] == 2);
    let counts = telemetry(console);
    assert_eq!((&counts["in_progress"], &counts["known_upstreams"]), (&2.into(), &2.into()));
    assert_eq!(counts["skipped_upstreams"], 1, "one upstream is listed as draining");
    released.store(1, Ordering::SeqCst);
    clients.iter_mut().for_each(|client| assert_eq!(client.read_answer().unwrap().status(), 200));
    wait_until("no request is in progress", || telemetry(console)["in_progress"] == 0);
}

#[test]
fn evacuation_closes_client_connections_and_rejoining_keeps_them_open_again() {
    let released = Arc::new(AtomicUsize::new(0));
    let is_released = released.clone();
    let upstream = Upstream::new(move |message| match message.start_line.starts_with("POST /bill") {
        true => ScriptedResponse::AnswerWhenReleased(is_released.clone()),
        false => ScriptedResponse::ok("served"),
    });
    let (sidecar, _discovery, console) = start_with_console(&[&upstream]);
    // 200 clients have idle connections, 50 have sent half of a head, and one waits for its answer.
    let mut idle: Vec<Client> = (0..200).map(|_| Client::connect(sidecar.address)).collect();
    idle.iter_mut().take(50).for_each(|client| assert_eq!(client.exchange("fetch").status(), 200));
    let requests: Vec<String> = (0..50).map(|_| request("fetch", 6_000)).collect();
    let mut partial: Vec<Client> = requests
        .iter()
        .map(|text| {
            let mut client = Client::connect(sidecar.address);
            client.write(&text.as_bytes()[..60]);
            client
        })
        .collect();
    let mut waiting = Client::connect(sidecar.address);
    waiting.send("bill", 8_000);
    wait_until("the request is in flight", || {
        upstream.requests().iter().any(|m| m.start_line.starts_with("POST /bill"))
    });
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200);
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200, "a second evacuation changes nothing");
    assert_eq!(up_status(&sidecar), 503, "the sidecar reports itself down at once");
    assert_eq!(call_console(console, "GET", "/api/ready").0, 200, "the process is still able to serve");
    // An idle connection and a new one each serve one more request.
    let last = idle[0].exchange("fetch");
    assert_eq!((last.status(), last.header("connection")), (200, Some("close")));
    let new = Client::connect(sidecar.address).exchange("fetch");
    assert_eq!((new.status(), new.header("connection")), (200, Some("close")));
    for (client, text) in partial.iter_mut().zip(&requests) {
        client.write(&text.as_bytes()[60..]);
        let answer = client.read_answer().expect("a request that had begun is answered");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    for client in &mut idle[1..] {
        assert_eq!(client.read_until_close().expect("idle connections are closed"), b"");
    }
    // An accepted request gets its answer, however late.
    released.store(1, Ordering::SeqCst);
    let answer = waiting.read_answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    let connections_before = upstream.connection_count();
    assert_eq!(call_console(console, "PUT", "/api/rejoin").0, 200);
    assert_eq!(up_status(&sidecar), 200);
    let mut client = Client::connect(sidecar.address);
    for _ in 0..5 {
        assert_eq!(client.exchange("fetch").header("connection"), None, "connections are kept open again");
    }
    assert_eq!(upstream.connection_count(), connections_before, "connections to upstreams were kept");
}

#[test]
fn last_call_of_evacuate_and_rejoin_takes_effect() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (mut sidecar, discovery, console) = start_with_console(&[&upstream]);
    assert_eq!(call_console(console, "PUT", "/api/rejoin").0, 200, "there is no evacuation to end");
    let mut client = Client::connect(sidecar.address);
    assert_eq!(client.exchange("fetch").status(), 200);
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200);
    sidecar.signal("-HUP");
    assert_eq!(call_console(console, "PUT", "/api/rejoin").0, 200, "a few milliseconds after the evacuation");
    assert_eq!(client.exchange("fetch").header("connection"), None, "the connection was kept open");
    assert_eq!(up_status(&sidecar), 200);
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200);
    sidecar.wait_for_log("discovery is at");
    assert_eq!(up_status(&sidecar), 503, "a new configuration does not end the evacuation");
    sidecar.signal("-TERM");
    sidecar.wait_for_log("finishing what is held");
    let mut status = 200;
    // No console call cancels a termination. The console may already be closed, which counts as a refusal.
    if let Ok(mut stream) = TcpStream::connect(console) {
        let _ = stream.write_all(b"PUT /api/rejoin HTTP/1.1\r\nHost: c\r\n\r\n");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        status = answer.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(409);
    }
    assert!(sidecar.wait_for_exit().success());
    assert_eq!(status, 409);
    drop(discovery);
}

#[test]
fn start_with_an_unusable_console_address_fails_with_one_line() {
    let known = "null";
    let text = config_json("127.0.0.1:7", free_address(), known, 1024, SETTINGS);
    for console in ["nowhere", "127.0.0.1:7", "127.0.0.1"] {
        let mut child = spawn_program(&config_with_console(&text, console));
        let stderr = stderr_of(&mut child);
        assert!(!child.wait().unwrap().success());
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
    }
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = config_json("127.0.0.1:0", free_address(), known, 1024, SETTINGS);
    let mut child = spawn_program(&config_with_console(&text, &taken.local_addr().unwrap().to_string()));
    let stderr = stderr_of(&mut child);
    assert!(!child.wait().unwrap().success());
    assert!(stderr.lines().count() == 1 && stderr.contains("(console)"), "{stderr}");
}

/// Reads all standard error output of a process.
fn stderr_of(child: &mut Child) -> String {
    let mut stderr = String::new();
    child.stderr.take().unwrap().read_to_string(&mut stderr).unwrap();
    stderr
}

#[test]
fn console_answers_after_random_bytes_and_truncated_calls() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (_sidecar, _discovery, console) = start_with_console(&[&upstream]);
    let valid = b"PUT /api/rejoin HTTP/1.1\r\nHost: console\r\nContent-Length: 2\r\n\r\nok";
    for cut in 0..=valid.len() {
        TcpStream::connect(console).unwrap().write_all(&valid[..cut]).unwrap();
    }
    let mut state = 88_172_645_463_325_252_u64;
    for length in 0..60 {
        let noise: Vec<u8> = (0..length * 7)
            .map(|_| {
                state ^= state << 13;
                state ^= state >> 7;
                state ^= state << 17;
                state as u8
            })
            .collect();
        let _ = TcpStream::connect(console).unwrap().write_all(&noise);
    }
    let start = Instant::now();
    assert_eq!(call_console(console, "GET", "/api/ready").0, 200);
    assert!(start.elapsed() < Duration::from_secs(20));
}

#[test]
fn request_head_begun_before_idle_connections_close_may_be_completed() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (sidecar, _discovery, console) = start_with_console(&[&upstream]);
    let mut idle = Client::connect(sidecar.address);
    assert_eq!(idle.exchange("fetch").status(), 200);
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200);
    let text = request("fetch", 6_000);
    let mut slow_clients: Vec<Client> = [true, false]
        .into_iter()
        .map(|has_asked_before| {
            let mut client = Client::connect(sidecar.address);
            if has_asked_before {
                assert_eq!(client.get("/up").map(|up| up.status()), Some(503));
                client = Client::connect(sidecar.address);
            }
            client
        })
        .collect();
    std::thread::sleep(Duration::from_millis(600));
    slow_clients.iter_mut().for_each(|client| client.write(&text.as_bytes()[..50]));
    assert_eq!(idle.read_until_close().expect("the idle connection is closed"), b"");
    // Longer than the time after which an idle connection is closed.
    std::thread::sleep(Duration::from_millis(900));
    let ids = ["cccccccccccccccc", "dddddddddddddddd"];
    for (client, id) in slow_clients.iter_mut().zip(ids) {
        let at = text.find("X-Request-ID: ").unwrap() + 14;
        let text = format!("{}{id}{}", &text[..at], &text[at + 16..]);
        client.write(&text.as_bytes()[50..]);
        let answer = client.read_answer().expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
}

/// An upstream with long answers to `bill`: the first half is sent at once, the second half after the test releases it.
fn upstream_with_long_bill_answers(released: &Arc<AtomicUsize>) -> Upstream {
    let released = released.clone();
    Upstream::new(move |message| {
        if !message.start_line.starts_with("POST /bill") {
            return ScriptedResponse::ok("served");
        }
        let released = released.clone();
        ScriptedResponse::custom(move |stream| {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n").unwrap();
            stream.write_all(&[b'x'; 200_000]).unwrap();
            wait_until("the test releases the answer", || released.load(Ordering::SeqCst) > 0);
            stream.write_all(&[b'x'; 200_000]).unwrap();
            true
        })
    })
}

#[test]
fn transfer_in_progress_is_completed_during_evacuation() {
    let released = Arc::new(AtomicUsize::new(0));
    let upstream = upstream_with_long_bill_answers(&released);
    let (sidecar, _discovery, console) = start_with_console(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    client.send("bill", 3_000);
    assert!(!client.reader.fill_buf().unwrap().is_empty(), "the answer has begun");
    let mut idle = Client::connect(sidecar.address);
    assert_eq!(idle.exchange("fetch").status(), 200);
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200);
    assert_eq!(idle.read_until_close().expect("the idle connection is closed"), b"");
    assert_eq!(telemetry(console)["in_progress"], 1, "a transfer that is not complete is in progress");
    released.store(1, Ordering::SeqCst);
    assert_eq!(client.read_answer().expect("the complete answer").body.len(), 400_000);
    assert_eq!(client.read_until_close().expect("the connection is closed after the answer"), b"");
    wait_until("the transfer is complete", || telemetry(console)["in_progress"] == 0);
    assert_eq!(telemetry(console)["handled"]["bill"]["passed"], 1);
    assert_eq!(call_console(console, "PUT", "/api/rejoin").0, 200);
    assert_eq!(Client::connect(sidecar.address).exchange("fetch").header("connection"), None);
}

#[test]
fn transfer_in_progress_is_completed_after_sigterm() {
    let released = Arc::new(AtomicUsize::new(0));
    let upstream = upstream_with_long_bill_answers(&released);
    let (mut sidecar, _discovery, _console) = start_with_console(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    client.send("bill", 3_000);
    assert!(!client.reader.fill_buf().unwrap().is_empty(), "the answer has begun");
    sidecar.signal("-TERM");
    sidecar.wait_for_log("finishing what is held");
    released.store(1, Ordering::SeqCst);
    assert_eq!(client.read_answer().expect("the complete answer").body.len(), 400_000);
    assert!(sidecar.wait_for_exit().success());
}
