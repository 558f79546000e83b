//! An answer that was written for a client reaches it completely when something happens to its connection in the meantime:
//! more pipelined requests, a request body that still arrives, an eviction, the end of the process, a client that reads
//! slowly.

mod loopback;

use std::io::{BufRead, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use loopback::*;

/// The longest answer that the sidecar holds completely before it forwards any of it.
const MAX_HELD_ANSWER_BYTES: usize = 64 << 10;
/// The receive buffer of a slow client, far smaller than an answer.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 4 << 10;

/// Bytes whose values depend on their position, so that lost or moved bytes are detected.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at % 251) as u8 ^ (at / 251) as u8).collect()
}

/// An upstream that answers `bill` requests once the test sets `released`, and all others with this body.
fn upstream_with_delayed_bills(released: &Arc<AtomicUsize>, body: Vec<u8>) -> Upstream {
    let released = released.clone();
    Upstream::new(move |message| match message.start_line.starts_with("POST /bill") {
        true => ScriptedResponse::AnswerWhenReleased(released.clone()),
        false => ScriptedResponse::Answer(200, "", body.clone()),
    })
}

// --- Pipelined requests ---------------------------------------------------------------------------

/// Sends a `bill` request, waits until it is in flight, and pipelines four requests behind it.
fn send_pipeline_of_five(address: SocketAddr, upstream: &Upstream) -> Client {
    let mut client = Client::connect(address);
    client.send("bill", 6_000);
    wait_until("the first request is in flight", || {
        upstream.requests().iter().any(|m| m.start_line.starts_with("POST /bill"))
    });
    for class in ["fetch", "log", "fetch", "log"] {
        client.send(class, 6_000);
    }
    // The requests are in the sidecar's socket; it needs some time to read them.
    std::thread::sleep(Duration::from_millis(50));
    client
}

/// Checks that five answers come and that no answer before the last one has `Connection: close`.
fn assert_five_answers(client: &mut Client, when: &str) {
    for number in 0..5 {
        let answer =
            client.read_answer().unwrap_or_else(|| panic!("{when}: no answer to request {number} of 5"));
        assert_eq!(answer.status(), 200, "{when}: request {number}");
        let closes = answer.header("connection") == Some("close");
        assert!(number == 4 || !closes, "{when}: request {number} of 5 closes the connection");
    }
}

/// Guards against an answer with `Connection: close` while accepted requests wait behind it on the connection.
#[test]
fn pipelined_requests_are_all_answered_after_sigterm() {
    let released = Arc::new(AtomicUsize::new(0));
    let upstream = upstream_with_delayed_bills(&released, b"served".to_vec());
    let (mut sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut client = send_pipeline_of_five(sidecar.address, &upstream);
    sidecar.signal("-TERM");
    sidecar.wait_for_log("SIGTERM");
    std::thread::sleep(Duration::from_millis(100));
    released.store(1, Ordering::SeqCst);
    assert_five_answers(&mut client, "SIGTERM");
    assert_eq!(client.read_until_close().expect("the connection is closed"), b"");
    assert!(sidecar.wait_for_exit().success());
}

/// Guards against the same early `Connection: close` when an operator evacuates the sidecar.
#[test]
fn pipelined_requests_are_all_answered_after_evacuation() {
    let released = Arc::new(AtomicUsize::new(0));
    let upstream = upstream_with_delayed_bills(&released, b"served".to_vec());
    let (sidecar, _discovery, console) = start_with_console(&[&upstream]);
    let mut client = send_pipeline_of_five(sidecar.address, &upstream);
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200);
    std::thread::sleep(Duration::from_millis(1_400));
    released.store(1, Ordering::SeqCst);
    assert_five_answers(&mut client, "evacuation");
    assert_eq!(client.read_until_close().expect("the connection is closed"), b"");
}

/// Guards against an evacuation that never ends because a client pipelines requests faster than they are answered.
#[test]
fn evacuation_ends_a_connection_with_endless_pipelining() {
    let upstream = Upstream::new(|_| {
        ScriptedResponse::custom(|stream| {
            std::thread::sleep(Duration::from_millis(8));
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved").is_ok()
        })
    });
    let (sidecar, _discovery, console) = start_with_console(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    let mut writer = client.reader.get_ref().try_clone().unwrap();
    let sender = std::thread::spawn(move || {
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT && writer.write_all(request("fetch", 60_000).as_bytes()).is_ok()
        {
            std::thread::sleep(Duration::from_millis(2));
        }
    });
    (0..20).for_each(|_| assert_eq!(client.read_answer().expect("an answer").status(), 200));
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200);
    let evacuated = Instant::now();
    while client.read_answer().is_some() {
        assert!(
            evacuated.elapsed() < Duration::from_secs(4),
            "requests are still answered 4 s after the evacuation"
        );
    }
    drop(client);
    sender.join().unwrap();
}

// --- Clients that read slowly -----------------------------------------------------------------------

/// A client that has sent a request and read nothing, so that the answer waits in the sidecar's send buffer.
fn client_with_unread_answer(address: SocketAddr, upstream: &Upstream) -> Client {
    let mut client = Client::with_receive_buffer(address, SMALL_RECEIVE_BUFFER_BYTES);
    let before = upstream.requests().len();
    client.send("fetch", 6_000);
    wait_until("the request has reached the upstream", || upstream.requests().len() > before);
    std::thread::sleep(Duration::from_millis(150));
    client
}

/// Reads an answer and checks that it is complete.
fn assert_complete_answer(mut client: Client, body: &[u8], when: &str) {
    let answer = client.read_answer().unwrap_or_else(|| panic!("{when}: the answer is truncated"));
    assert_eq!(answer.status(), 200, "{when}");
    assert!(answer.body == body, "{when}: {} bytes of {}", answer.body.len(), body.len());
}

/// Guards against the loss of an answer in the sidecar's send buffer when the sidecar closes the connection or ends.
#[test]
fn unread_answer_is_delivered_after_the_sidecar_closes_the_connection() {
    let body = pattern(MAX_HELD_ANSWER_BYTES);
    let answer_body = body.clone();
    let upstream = Upstream::new(move |_| ScriptedResponse::Answer(200, "", answer_body.clone()));
    let known = ready_server_list(&[&upstream]);
    let discovery = Discovery::new(&known);
    let mut sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 64, SETTINGS));
    sidecar.wait_until_up();
    // 64 sockets allow 20 connections: each further one evicts another, and idle ones beyond a third are closed.
    let evicted: Vec<Client> =
        (0..24).map(|_| client_with_unread_answer(sidecar.address, &upstream)).collect();
    let idle = client_with_unread_answer(sidecar.address, &upstream);
    std::thread::sleep(Duration::from_millis(2_700));
    evicted.into_iter().for_each(|client| assert_complete_answer(client, &body, "evicted"));
    assert_complete_answer(idle, &body, "idle");
    let read_after_exit = client_with_unread_answer(sidecar.address, &upstream);
    let mut sent_after_sigterm = Client::with_receive_buffer(sidecar.address, SMALL_RECEIVE_BUFFER_BYTES);
    sidecar.signal("-TERM");
    sidecar.wait_for_log("SIGTERM");
    sent_after_sigterm.send("fetch", 6_000);
    assert!(sidecar.wait_for_exit().success());
    assert_complete_answer(read_after_exit, &body, "before SIGTERM, read after the exit");
    assert_complete_answer(sent_after_sigterm, &body, "after SIGTERM, read after the exit");
}

/// Answers with this body after a delay.
fn answer_after_delay(delay: Duration, body: &[u8]) -> ScriptedResponse {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let answer = [head.as_bytes(), body].concat();
    ScriptedResponse::custom(move |stream| {
        std::thread::sleep(delay);
        stream.write_all(&answer).is_ok()
    })
}

/// Guards against truncated or missing answers around the time at which the process ends: each client, although it reads
/// only after the end of the process, gets one complete answer, either the upstream's or a failure.
#[test]
fn answers_around_process_end_are_delivered_completely() {
    const CLIENT_COUNT: u64 = 30;
    /// The longest deadline. The process runs for 640 ms beyond it.
    const DEADLINE_MS: u64 = 500;
    let (body, request_count) = (pattern(MAX_HELD_ANSWER_BYTES), Arc::new(AtomicUsize::new(0)));
    let upstreams: Vec<Upstream> = (0..15)
        .map(|_| {
            let (answer_body, request_count) = (body.clone(), request_count.clone());
            // Every second `bill` request is never answered.
            Upstream::new(move |message| {
                match (
                    message.start_line.starts_with("POST /bill"),
                    request_count.fetch_add(1, Ordering::SeqCst) % 2,
                ) {
                    (false, _) => ScriptedResponse::ok("served"),
                    (true, 0) => answer_after_delay(Duration::from_millis(250), &answer_body),
                    (true, _) => ScriptedResponse::Unresponsive,
                }
            })
        })
        .collect();
    let settings = SETTINGS.replace(r#""aim":3000.0"#, r#""aim":400.0"#).replace("8000.0", "500.0");
    let (mut sidecar, _discovery) =
        Sidecar::start_with_settings(&upstreams.iter().collect::<Vec<_>>(), &settings);
    let address = sidecar.address;
    sidecar.signal("-TERM");
    sidecar.wait_for_log("SIGTERM");
    let start = Instant::now();
    // The sidecar keeps connections that have carried no request for half a second; the last requests come on them.
    std::thread::sleep(Duration::from_millis(400));
    let clients: Vec<Client> =
        (0..CLIENT_COUNT).map(|_| Client::with_receive_buffer(address, SMALL_RECEIVE_BUFFER_BYTES)).collect();
    let clients: Vec<Client> = clients
        .into_iter()
        .zip(0..)
        .map(|(mut client, number)| {
            let send_at = start + Duration::from_millis(540 + 11 * number);
            std::thread::sleep(send_at.saturating_duration_since(Instant::now()));
            client.send("bill", DEADLINE_MS);
            client
        })
        .collect();
    assert!(sidecar.wait_for_exit().success());
    let mut statuses = std::collections::BTreeMap::new();
    for (mut client, number) in clients.into_iter().zip(0..CLIENT_COUNT) {
        let answer = client.read_answer().unwrap_or_else(|| panic!("client {number}: no complete answer"));
        assert!(answer.status() != 200 || answer.body == body, "client {number}");
        *statuses.entry(answer.status()).or_insert(0) += 1;
    }
    println!("answers by status: {statuses:?}");
    for status in [200, 502] {
        assert!(statuses.get(&status).is_some_and(|count| *count > 5), "{statuses:?}");
    }
}

/// Reads at most 8 KiB every 20 ms, at about 400 KB/s.
struct SlowReader(std::net::TcpStream);

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_millis(20));
        let length = buffer.len().min(8 << 10);
        self.0.read(&mut buffer[..length])
    }
}

/// Requests a long answer, again after each refusal, and reads it slowly. Returns "complete", "truncated" or the status
/// line.
fn read_long_answer_slowly(address: SocketAddr, body: &[u8]) -> String {
    let start = Instant::now();
    loop {
        let mut stream = connect_with_receive_buffer(address, 16 << 10);
        stream.write_all(request("bill", 6_000).as_bytes()).unwrap();
        let mut reader = std::io::BufReader::with_capacity(8 << 10, SlowReader(stream));
        match read_message(&mut reader) {
            Some(answer) if answer.status() == 503 => {
                assert!(start.elapsed() < WAIT_TIMEOUT, "refused until the timeout")
            }
            Some(answer) if answer.body == body => return "complete".to_owned(),
            Some(answer) => return answer.start_line,
            None => return "truncated".to_owned(),
        }
    }
}

/// Guards against the eviction of a connection whose answer was received completely from the upstream, while the end of the
/// answer still waits in the process for space in the send buffer.
#[test]
fn long_answer_to_slow_client_is_complete_despite_new_connections() {
    let body = pattern(1_200_000);
    let answer_body = body.clone();
    let upstream = Upstream::new(move |message| match message.start_line.starts_with("POST /bill") {
        true => ScriptedResponse::Answer(200, "", answer_body.clone()),
        false => ScriptedResponse::ok("served"),
    });
    let known = ready_server_list(&[&upstream]);
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 64, SETTINGS));
    sidecar.wait_until_up();
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let new_connections =
            scope.spawn(|| connect_repeatedly(sidecar.address, Duration::from_millis(4), &stop));
        let readers: Vec<_> = (0..3)
            .map(|_| {
                let (address, body) = (sidecar.address, &body);
                scope.spawn(move || read_long_answer_slowly(address, body))
            })
            .collect();
        let results: Vec<String> = readers.into_iter().map(|reader| reader.join().unwrap()).collect();
        stop.store(true, Ordering::SeqCst);
        assert_eq!(results, ["complete"; 3], "with {} new connections", new_connections.join().unwrap());
    });
}

/// Guards against the same eviction when the answers are held completely and more are pipelined than the send buffer can
/// take.
#[test]
fn pipelined_answers_to_slow_client_are_complete_despite_new_connections() {
    const REQUEST_COUNT: usize = 14;
    let body = pattern(MAX_HELD_ANSWER_BYTES);
    let answer_body = body.clone();
    let upstream = Upstream::new(move |message| match message.start_line.starts_with("POST /log") {
        true => ScriptedResponse::Answer(200, "", answer_body.clone()),
        false => ScriptedResponse::ok("served"),
    });
    let known = ready_server_list(&[&upstream]);
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 64, SETTINGS));
    sidecar.wait_until_up();
    let mut client = Client::with_receive_buffer(sidecar.address, SMALL_RECEIVE_BUFFER_BYTES);
    (0..REQUEST_COUNT).for_each(|_| client.send("log", 6_000));
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let new_connections =
            scope.spawn(|| connect_repeatedly(sidecar.address, Duration::from_millis(4), &stop));
        std::thread::sleep(Duration::from_millis(1_500));
        let complete_count = (0..REQUEST_COUNT)
            .map_while(|_| client.read_answer())
            .filter(|answer| answer.status() == 200 && answer.body == body)
            .count();
        stop.store(true, Ordering::SeqCst);
        assert_eq!(complete_count, REQUEST_COUNT, "with {} new connections", new_connections.join().unwrap());
    });
}

// --- Bytes that follow a request -----------------------------------------------------------------

/// Guards against a lost refusal: memory for a long body is short, and the sidecar refuses the request after its head while
/// the body still arrives.
#[test]
fn refusal_reaches_client_that_still_sends_its_body() {
    let upstream = Upstream::new(|_| ScriptedResponse::Answer(200, "", vec![b'x'; 8 << 20]));
    let known = ready_server_list(&[&upstream]);
    let discovery = Discovery::new(&known);
    // 8 MB hold four long bodies.
    let text = config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS)
        .replace(r#""memory_mb":192"#, r#""memory_mb":8"#);
    let sidecar = Sidecar::start(&text);
    sidecar.wait_until_up();
    let unread: Vec<Client> = (0..4)
        .map(|_| {
            let mut client = Client::connect(sidecar.address);
            client.send("fetch", 6_000);
            assert!(!client.reader.fill_buf().unwrap().is_empty(), "the answer has begun");
            client
        })
        .collect();
    let received = upstream.requests().len();
    for length in [70_000, 200_000, 1_000_000, 4_000_000] {
        let mut client = Client::connect(sidecar.address);
        let head =
            request("bill", 6_000).replace("Content-Length: 4", &format!("Content-Length: {}", length + 4));
        client.write(head.as_bytes());
        client.write(&vec![b'x'; length]);
        let answer = client.read_answer().unwrap_or_else(|| panic!("{length} bytes: no answer"));
        assert_eq!(answer.status(), 503, "{length} bytes");
    }
    assert_eq!(upstream.requests().len(), received, "a refused request was forwarded");
    drop(unread);
}

/// Guards against a truncated answer when bytes that are no request follow an open request, also for a client that reads
/// slowly.
#[test]
fn answer_is_complete_when_invalid_bytes_follow_its_request() {
    let body = pattern(MAX_HELD_ANSWER_BYTES);
    let answer_body = body.clone();
    let upstream = Upstream::new(move |_| ScriptedResponse::Answer(200, "", answer_body.clone()));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    for noise_bytes in [1, 1_000, 60_000, 200_000] {
        let mut client = Client::with_receive_buffer(sidecar.address, SMALL_RECEIVE_BUFFER_BYTES);
        client.send("fetch", 6_000);
        client.write(&vec![b'\x01'; noise_bytes]);
        std::thread::sleep(Duration::from_millis(500));
        assert_complete_answer(client, &body, &format!("{noise_bytes} invalid bytes"));
    }
}

// --- Small writes --------------------------------------------------------------------------------

/// The time from the arrival of the first byte of small, separately written pieces until all of them have arrived. The
/// client does not read the first piece, so that its kernel need not acknowledge it immediately.
fn small_pieces_duration(client: &mut Client, bytes: usize) -> Duration {
    let stream = client.reader.get_ref();
    let mut buffer = vec![0; bytes];
    let mut first_arrival = None;
    let start = Instant::now();
    loop {
        let arrived_bytes = stream.peek(&mut buffer).unwrap();
        assert!(arrived_bytes > 0 && start.elapsed() < WAIT_TIMEOUT, "the pieces did not arrive");
        let first_arrival = *first_arrival.get_or_insert_with(Instant::now);
        if arrived_bytes == bytes {
            client.reader.read_exact(&mut buffer).unwrap();
            return first_arrival.elapsed();
        }
        std::thread::sleep(Duration::from_micros(200));
    }
}

/// Guards against small pieces of an answer that the kernel delays until earlier bytes are acknowledged (Nagle's algorithm);
/// a receiver may delay the acknowledgement by 40 ms.
#[test]
fn small_pieces_of_an_answer_are_sent_without_delay() {
    const ROUND_COUNT: usize = 30;
    const FIRST_PART_BYTES: usize = MAX_HELD_ANSWER_BYTES + 1;
    const PIECE_COUNT: usize = 3;
    const MAX_MEDIAN_DURATION: Duration = Duration::from_millis(25);
    // The answer is longer than the sidecar holds, so that each piece is forwarded as it arrives.
    let upstream = Upstream::new(|message| {
        if !message.start_line.starts_with("POST /bill") {
            return ScriptedResponse::ok("served");
        }
        ScriptedResponse::custom(|stream| {
            let head =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", FIRST_PART_BYTES + 16 * PIECE_COUNT);
            let first_part = [head.as_bytes(), &[b'.'; FIRST_PART_BYTES]].concat();
            let first_part_written = stream.set_nodelay(true).and_then(|()| stream.write_all(&first_part));
            std::thread::sleep(Duration::from_millis(60));
            let pieces = (0..PIECE_COUNT).try_for_each(|_| {
                std::thread::sleep(Duration::from_millis(2));
                stream.write_all(&[b'x'; 16])
            });
            first_part_written.and(pieces).is_ok()
        })
    });
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    let mut durations: Vec<Duration> = (0..ROUND_COUNT)
        .map(|_| {
            // After a few exchanges the client's kernel delays acknowledgements to send them with the next request.
            (0..4).for_each(|_| drop(client.exchange("fetch")));
            client.send("bill", 6_000);
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                assert!(
                    client.reader.read_line(&mut head).unwrap() > 0,
                    "the connection ended before the end of the head"
                );
            }
            client.reader.read_exact(&mut [0; FIRST_PART_BYTES]).unwrap();
            small_pieces_duration(&mut client, 16 * PIECE_COUNT)
        })
        .collect();
    durations.sort_unstable();
    let median = durations[ROUND_COUNT / 2];
    println!("small pieces took {median:?} on the median, {:?} at most", durations[ROUND_COUNT - 1]);
    assert!(median < MAX_MEDIAN_DURATION, "the median duration of the small pieces was {median:?}");
}
