//! What operators do with a running sidecar: the console, its figures, evacuation and rejoining.

mod loopback;

use std::io::{BufRead, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Child;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use loopback::*;

fn up(sidecar: &Sidecar) -> u16 {
    Client::connect(sidecar.address).get("/up").expect("an answer").status()
}

#[test]
fn calls_are_answered_and_all_else_is_told_apart() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (_sidecar, _discovery, console) = start_with_console(&[&upstream]);
    assert_eq!(call_console(console, "GET", "/api/ready").0, 200);
    assert_eq!(call_console(console, "GET", "/api/nothing").0, 404);
    assert_eq!(call_console(console, "GET", "/api/evacuate").0, 405);
    assert_eq!(call_console(console, "POST", "/api/telemetry").0, 405);
    let raw = |bytes: &[u8]| {
        let mut client = Client::connect(console);
        client.write(bytes);
        client.read_answer().map_or(0, |answer| answer.status())
    };
    assert_eq!(raw(b"\x00\x01noise\r\n\r\n"), 400);
    let long = format!("GET /api/ready HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(64 << 10));
    assert_eq!(raw(long.as_bytes()), 431);
    // A body that no call needs is not waited for.
    let waiting = b"PUT /api/rejoin HTTP/1.1\r\nHost: c\r\nContent-Length: 9\r\n\r\n";
    assert_eq!(raw(waiting), 200);
    let huge = b"PUT /api/rejoin HTTP/1.1\r\nHost: c\r\nContent-Length: 99999999\r\n\r\n";
    assert_eq!(raw(huge), 413);
    // A caller that ends its writing with its request, as some do.
    let mut caller = TcpStream::connect(console).unwrap();
    caller.write_all(b"GET /api/ready HTTP/1.1\r\nHost: c\r\n\r\n").unwrap();
    caller.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[test]
fn the_console_answers_beside_callers_that_say_nothing_or_half_a_call() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (_sidecar, _discovery, console) = start_with_console(&[&upstream]);
    let silent: Vec<TcpStream> = (0..100)
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
    drop(silent);
}

#[test]
fn a_sidecar_without_a_list_is_not_ready() {
    let discovery = free_address();
    let console = free_address();
    let text = config_json("127.0.0.1:0", discovery, "null", 1024, SETTINGS);
    let _sidecar = Sidecar::start(&config_with_console(&text, &console.to_string()));
    assert_eq!(call_console(console, "GET", "/api/ready").0, 503);
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200);
}

#[test]
fn the_figures_are_what_clients_and_upstreams_saw() {
    let count = AtomicUsize::new(0);
    let upstream = Upstream::new(move |message| match count.fetch_add(1, Ordering::SeqCst) {
        _ if message.start_line.starts_with("GET") => ScriptedResponse::ok("served"),
        number if number % 3 == 0 => ScriptedResponse::Answer(500, "", Vec::new()),
        number if number % 3 == 1 => ScriptedResponse::Answer(503, "X-Not-Processed: 1\r\n", Vec::new()),
        _ => ScriptedResponse::ok("served"),
    });
    let (sidecar, _discovery, console) = start_with_console(&[&upstream]);
    let zero = telemetry(console);
    for class in ["fetch", "log", "bill"] {
        assert_eq!(zero["handled"][class]["passed"], 0, "all classes are there from the start");
    }
    let mut seen = std::collections::BTreeMap::new();
    for class in ["bill", "bill", "fetch", "bill", "log", "fetch", "bill"] {
        let word = match Client::connect(sidecar.address).exchange(class).status() {
            200 => "passed",
            503 => "dropped",
            _ => "bad_gateway",
        };
        *seen.entry((class, word)).or_insert(0) += 1;
    }
    // What is no request of a class counts nowhere.
    Client::connect(sidecar.address).get("/nothing").unwrap();
    let got = telemetry(console);
    for class in ["fetch", "log", "bill"] {
        for word in ["passed", "dropped", "bad_gateway"] {
            let seen = seen.get(&(class, word)).copied().unwrap_or(0);
            assert_eq!(got["handled"][class][word], seen, "{class} {word}: {got}");
        }
    }
    assert_eq!(got["upstream_tries"], upstream.requests().len());
    assert_eq!((&got["in_progress"], &got["known_upstreams"]), (&0.into(), &1.into()));
}

#[test]
fn what_is_open_shows_and_what_is_avoided_is_told() {
    let go = Arc::new(AtomicUsize::new(0));
    let wait = go.clone();
    let slow = Upstream::new(move |_| ScriptedResponse::AnswerWhenReleased(wait.clone()));
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
    wait_until("all are out", || telemetry(console)["upstream_tries"] == 2);
    let got = telemetry(console);
    assert_eq!((&got["in_progress"], &got["known_upstreams"]), (&2.into(), &2.into()));
    assert_eq!(got["skipped_upstreams"], 1, "one is listed as draining");
    go.store(1, Ordering::SeqCst);
    clients.iter_mut().for_each(|client| assert_eq!(client.read_answer().unwrap().status(), 200));
    wait_until("none is open", || telemetry(console)["in_progress"] == 0);
}

#[test]
fn evacuation_empties_the_sidecar_and_rejoining_fills_it_again() {
    let go = Arc::new(AtomicUsize::new(0));
    let wait = go.clone();
    let upstream = Upstream::new(move |message| match message.start_line.starts_with("POST /bill") {
        true => ScriptedResponse::AnswerWhenReleased(wait.clone()),
        false => ScriptedResponse::ok("served"),
    });
    let (sidecar, _discovery, console) = start_with_console(&[&upstream]);
    // 200 clients hold idle connections, 50 are half way through a head, one waits for its answer.
    let mut idle: Vec<Client> = (0..200).map(|_| Client::connect(sidecar.address)).collect();
    idle.iter_mut().take(50).for_each(|client| assert_eq!(client.exchange("fetch").status(), 200));
    let half: Vec<String> = (0..50).map(|_| request("fetch", 6_000)).collect();
    let mut halves: Vec<Client> = half
        .iter()
        .map(|text| {
            let mut client = Client::connect(sidecar.address);
            client.write(&text.as_bytes()[..60]);
            client
        })
        .collect();
    let mut waiting = Client::connect(sidecar.address);
    waiting.send("bill", 8_000);
    wait_until("it is out", || upstream.requests().iter().any(|m| m.start_line.starts_with("POST /bill")));
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200);
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200, "twice is once");
    assert_eq!(up(&sidecar), 503, "at once");
    assert_eq!(call_console(console, "GET", "/api/ready").0, 200, "the process can serve");
    // Who has an idle connection may use it once more, and so may who comes now.
    let last = idle[0].exchange("fetch");
    assert_eq!((last.status(), last.header("connection")), (200, Some("close")));
    let new = Client::connect(sidecar.address).exchange("fetch");
    assert_eq!((new.status(), new.header("connection")), (200, Some("close")));
    for (half, text) in halves.iter_mut().zip(&half) {
        half.write(&text.as_bytes()[60..]);
        let answer = half.read_answer().expect("what had begun is answered");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    for client in &mut idle[1..] {
        assert_eq!(client.read_until_close().expect("idle ones are closed"), b"");
    }
    // What was taken gets its answer, however late.
    go.store(1, Ordering::SeqCst);
    let answer = waiting.read_answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    let before = upstream.connection_count();
    assert_eq!(call_console(console, "PUT", "/api/rejoin").0, 200);
    assert_eq!(up(&sidecar), 200);
    let mut client = Client::connect(sidecar.address);
    for _ in 0..5 {
        assert_eq!(client.exchange("fetch").header("connection"), None, "connections are kept again");
    }
    assert_eq!(upstream.connection_count(), before, "those to upstreams were kept");
}

#[test]
fn evacuation_and_its_end_in_any_order_leave_it_as_the_last_call_says() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (mut sidecar, discovery, console) = start_with_console(&[&upstream]);
    assert_eq!(call_console(console, "PUT", "/api/rejoin").0, 200, "there is nothing to undo");
    let mut kept = Client::connect(sidecar.address);
    assert_eq!(kept.exchange("fetch").status(), 200);
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200);
    sidecar.signal("-HUP");
    assert_eq!(call_console(console, "PUT", "/api/rejoin").0, 200, "some ms later");
    assert_eq!(kept.exchange("fetch").header("connection"), None, "it was not closed meanwhile");
    assert_eq!(up(&sidecar), 200);
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200);
    sidecar.wait_for_log("discovery is at");
    assert_eq!(up(&sidecar), 503, "a new configuration is no rejoining");
    sidecar.signal("-TERM");
    sidecar.wait_for_log("finishing what is held");
    let mut said = 200;
    // Until it ends, it is ending: no call undoes that.
    if let Ok(mut stream) = TcpStream::connect(console) {
        let _ = stream.write_all(b"PUT /api/rejoin HTTP/1.1\r\nHost: c\r\n\r\n");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        said = answer.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(409);
    }
    assert!(sidecar.wait_for_exit().success());
    assert_eq!(said, 409);
    drop(discovery);
}

#[test]
fn an_unsound_console_is_one_line_and_an_exit() {
    let known = "null";
    let text = config_json("127.0.0.1:7", free_address(), known, 1024, SETTINGS);
    for console in ["nowhere", "127.0.0.1:7", "127.0.0.1"] {
        let mut child = spawn_program(&config_with_console(&text, console));
        let said = errors(&mut child);
        assert!(!child.wait().unwrap().success());
        assert_eq!(said.lines().count(), 1, "{said}");
    }
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = config_json("127.0.0.1:0", free_address(), known, 1024, SETTINGS);
    let mut child = spawn_program(&config_with_console(&text, &taken.local_addr().unwrap().to_string()));
    let said = errors(&mut child);
    assert!(!child.wait().unwrap().success());
    assert!(said.lines().count() == 1 && said.contains("(console)"), "{said}");
}

fn errors(child: &mut Child) -> String {
    let mut said = String::new();
    child.stderr.take().unwrap().read_to_string(&mut said).unwrap();
    said
}

#[test]
fn noise_and_every_cut_of_a_call_leave_the_console_at_work() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (_sidecar, _discovery, console) = start_with_console(&[&upstream]);
    let sound = b"PUT /api/rejoin HTTP/1.1\r\nHost: console\r\nContent-Length: 2\r\n\r\nok";
    for cut in 0..=sound.len() {
        TcpStream::connect(console).unwrap().write_all(&sound[..cut]).unwrap();
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
fn who_is_half_way_through_a_head_when_the_time_is_up_may_end_it() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (sidecar, _discovery, console) = start_with_console(&[&upstream]);
    let mut idle = Client::connect(sidecar.address);
    assert_eq!(idle.exchange("fetch").status(), 200);
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200);
    let text = request("fetch", 6_000);
    let mut slow: Vec<Client> = [true, false]
        .into_iter()
        .map(|used| {
            let mut client = Client::connect(sidecar.address);
            if used {
                assert_eq!(client.get("/up").map(|up| up.status()), Some(503));
                client = Client::connect(sidecar.address);
            }
            client
        })
        .collect();
    std::thread::sleep(Duration::from_millis(600));
    slow.iter_mut().for_each(|client| client.write(&text.as_bytes()[..50]));
    assert_eq!(idle.read_until_close().expect("the idle one is closed"), b"");
    // Longer than an idle one has.
    std::thread::sleep(Duration::from_millis(900));
    let ids = ["cccccccccccccccc", "dddddddddddddddd"];
    for (client, id) in slow.iter_mut().zip(ids) {
        let at = text.find("X-Request-ID: ").unwrap() + 14;
        let text = format!("{}{id}{}", &text[..at], &text[at + 16..]);
        client.write(&text.as_bytes()[50..]);
        let answer = client.read_answer().expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
}

/// An upstream whose bill is long: its first half comes at once, the rest when the test says so.
fn long_bills(go: &Arc<AtomicUsize>) -> Upstream {
    let go = go.clone();
    Upstream::new(move |message| {
        if !message.start_line.starts_with("POST /bill") {
            return ScriptedResponse::ok("served");
        }
        let go = go.clone();
        ScriptedResponse::custom(move |stream| {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n").unwrap();
            stream.write_all(&[b'x'; 200_000]).unwrap();
            wait_until("the test lets go", || go.load(Ordering::SeqCst) > 0);
            stream.write_all(&[b'x'; 200_000]).unwrap();
            true
        })
    })
}

#[test]
fn a_transfer_under_way_outlasts_evacuation() {
    let go = Arc::new(AtomicUsize::new(0));
    let upstream = long_bills(&go);
    let (sidecar, _discovery, console) = start_with_console(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    client.send("bill", 3_000);
    assert!(!client.reader.fill_buf().unwrap().is_empty(), "it has begun");
    let mut idle = Client::connect(sidecar.address);
    assert_eq!(idle.exchange("fetch").status(), 200);
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200);
    assert_eq!(idle.read_until_close().expect("the idle one is closed"), b"");
    assert_eq!(telemetry(console)["in_progress"], 1, "what still passes is in progress");
    go.store(1, Ordering::SeqCst);
    assert_eq!(client.read_answer().expect("all of it").body.len(), 400_000);
    assert_eq!(client.read_until_close().expect("and then the end"), b"");
    wait_until("it is through", || telemetry(console)["in_progress"] == 0);
    assert_eq!(telemetry(console)["handled"]["bill"]["passed"], 1);
    assert_eq!(call_console(console, "PUT", "/api/rejoin").0, 200);
    assert_eq!(Client::connect(sidecar.address).exchange("fetch").header("connection"), None);
}

#[test]
fn a_transfer_under_way_outlasts_sigterm() {
    let go = Arc::new(AtomicUsize::new(0));
    let upstream = long_bills(&go);
    let (mut sidecar, _discovery, _console) = start_with_console(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    client.send("bill", 3_000);
    assert!(!client.reader.fill_buf().unwrap().is_empty(), "it has begun");
    sidecar.signal("-TERM");
    sidecar.wait_for_log("finishing what is held");
    go.store(1, Ordering::SeqCst);
    assert_eq!(client.read_answer().expect("all of it").body.len(), 400_000);
    assert!(sidecar.wait_for_exit().success());
}
