//! An answer that was written for a client reaches it whole, whatever happens to its connection meanwhile: requests pipelined
//! behind it, a body that still comes, an eviction, the end of the process, a client that reads slowly.

mod loopback;

use std::io::{BufRead, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use loopback::*;

/// The longest answer that the sidecar holds whole before any of it goes on.
const HELD_ANSWER_BYTES: usize = 64 << 10;
/// What a slow client's kernel holds for it: far less than an answer.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 4 << 10;

/// Bytes that tell where they stand.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at % 251) as u8 ^ (at / 251) as u8).collect()
}

/// An upstream whose `bill` waits until the test lets go and whose other answers have this body.
fn held_bills(go: &Arc<AtomicUsize>, body: Vec<u8>) -> Upstream {
    let go = go.clone();
    Upstream::new(move |message| match message.start_line.starts_with("POST /bill") {
        true => ScriptedResponse::AnswerWhenReleased(go.clone()),
        false => ScriptedResponse::Answer(200, "", body.clone()),
    })
}

// --- Pipelined requests ---------------------------------------------------------------------------

/// Sends a `bill` that waits and four requests pipelined behind it, and waits until the first is out.
fn pipeline_of_five(address: SocketAddr, upstream: &Upstream) -> Client {
    let mut client = Client::connect(address);
    client.send("bill", 6_000);
    wait_until("the first is out", || {
        upstream.requests().iter().any(|m| m.start_line.starts_with("POST /bill"))
    });
    for class in ["fetch", "log", "fetch", "log"] {
        client.send(class, 6_000);
    }
    // They are in the sidecar's machine; it hears of them in its own time.
    std::thread::sleep(Duration::from_millis(50));
    client
}

/// Five answers, and `Connection: close` on the last one at the earliest.
fn assert_five_answers(client: &mut Client, when: &str) {
    for number in 0..5 {
        let answer =
            client.read_answer().unwrap_or_else(|| panic!("{when}: no answer to request {number} of 5"));
        assert_eq!(answer.status(), 200, "{when}: request {number}");
        let closes = answer.header("connection") == Some("close");
        assert!(number == 4 || !closes, "{when}: request {number} of 5 closes the connection");
    }
}

/// Guards against an answer that says `Connection: close` while requests wait behind it that were taken.
#[test]
fn pipelined_requests_are_all_answered_when_the_process_ends() {
    let go = Arc::new(AtomicUsize::new(0));
    let upstream = held_bills(&go, b"served".to_vec());
    let (mut sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut client = pipeline_of_five(sidecar.address, &upstream);
    sidecar.signal("-TERM");
    sidecar.wait_for_log("SIGTERM");
    std::thread::sleep(Duration::from_millis(100));
    go.store(1, Ordering::SeqCst);
    assert_five_answers(&mut client, "SIGTERM");
    assert_eq!(client.read_until_close().expect("it is closed"), b"");
    assert!(sidecar.wait_for_exit().success());
}

/// The same where operators empty the sidecar.
#[test]
fn pipelined_requests_are_all_answered_when_the_sidecar_is_evacuated() {
    let go = Arc::new(AtomicUsize::new(0));
    let upstream = held_bills(&go, b"served".to_vec());
    let (sidecar, _discovery, console) = start_with_console(&[&upstream]);
    let mut client = pipeline_of_five(sidecar.address, &upstream);
    assert_eq!(call_console(console, "PUT", "/api/evacuate").0, 200);
    std::thread::sleep(Duration::from_millis(1_400));
    go.store(1, Ordering::SeqCst);
    assert_five_answers(&mut client, "evacuation");
    assert_eq!(client.read_until_close().expect("it is closed"), b"");
}

/// Who sends faster than it is answered does not hold an evacuation up.
#[test]
fn endless_pipelining_ends_with_the_evacuation() {
    let upstream = Upstream::new(|_| {
        ScriptedResponse::custom(|stream| {
            std::thread::sleep(Duration::from_millis(8));
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved").is_ok()
        })
    });
    let (sidecar, _discovery, console) = start_with_console(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    let mut writer = client.reader.get_ref().try_clone().unwrap();
    let sends = std::thread::spawn(move || {
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
        assert!(evacuated.elapsed() < Duration::from_secs(4), "it still is answered 4 s after the call");
    }
    drop(client);
    sends.join().unwrap();
}

// --- Clients that read slowly -----------------------------------------------------------------------

/// A client that has asked, whose answer waits in the sidecar's machine since it has read nothing of it.
fn unread_answer(address: SocketAddr, upstream: &Upstream) -> Client {
    let mut client = Client::with_receive_buffer(address, SMALL_RECEIVE_BUFFER_BYTES);
    let before = upstream.requests().len();
    client.send("fetch", 6_000);
    wait_until("it is answered", || upstream.requests().len() > before);
    std::thread::sleep(Duration::from_millis(150));
    client
}

/// Reads what is left unread, in small pieces.
fn assert_whole(mut client: Client, body: &[u8], when: &str) {
    let answer = client.read_answer().unwrap_or_else(|| panic!("{when}: the answer is torn"));
    assert_eq!(answer.status(), 200, "{when}");
    assert!(answer.body == body, "{when}: {} bytes of {}", answer.body.len(), body.len());
}

/// What is in the sidecar's send buffer when it closes the connection, or ends, still arrives.
#[test]
fn an_unread_answer_outlasts_the_close_of_its_connection() {
    let body = pattern(HELD_ANSWER_BYTES);
    let sent = body.clone();
    let upstream = Upstream::new(move |_| ScriptedResponse::Answer(200, "", sent.clone()));
    let known = ready_server_list(&[&upstream]);
    let discovery = Discovery::new(&known);
    let mut sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 64, SETTINGS));
    sidecar.wait_until_up();
    // 20 connections: one is evicted for whom comes after them, and quiet ones beyond a third are closed.
    let evicted: Vec<Client> = (0..24).map(|_| unread_answer(sidecar.address, &upstream)).collect();
    let idle = unread_answer(sidecar.address, &upstream);
    std::thread::sleep(Duration::from_millis(2_700));
    evicted.into_iter().for_each(|client| assert_whole(client, &body, "evicted"));
    assert_whole(idle, &body, "idle");
    let ended = unread_answer(sidecar.address, &upstream);
    let mut late = Client::with_receive_buffer(sidecar.address, SMALL_RECEIVE_BUFFER_BYTES);
    sidecar.signal("-TERM");
    sidecar.wait_for_log("SIGTERM");
    late.send("fetch", 6_000);
    assert!(sidecar.wait_for_exit().success());
    assert_whole(ended, &body, "before SIGTERM, read after the exit");
    assert_whole(late, &body, "after SIGTERM, read after the exit");
}

/// Answers with this body after so long.
fn answer_after(delay: Duration, body: &[u8]) -> ScriptedResponse {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let answer = [head.as_bytes(), body].concat();
    ScriptedResponse::custom(move |stream| {
        std::thread::sleep(delay);
        stream.write_all(&answer).is_ok()
    })
}

/// Answers that come around the moment in which the time of the process is up, for clients that read only once it has ended:
/// each gets one whole answer, the upstream's or that it failed.
#[test]
fn answers_of_the_last_moments_arrive_whole() {
    const CLIENTS: u64 = 30;
    /// The longest deadline. The process has 640 ms more.
    const DEADLINE_MS: u64 = 500;
    let (body, turn) = (pattern(HELD_ANSWER_BYTES), Arc::new(AtomicUsize::new(0)));
    let upstreams: Vec<Upstream> = (0..15)
        .map(|_| {
            let (sent, turn) = (body.clone(), turn.clone());
            // Every other one is never answered.
            Upstream::new(move |message| {
                match (message.start_line.starts_with("POST /bill"), turn.fetch_add(1, Ordering::SeqCst) % 2)
                {
                    (false, _) => ScriptedResponse::ok("served"),
                    (true, 0) => answer_after(Duration::from_millis(250), &sent),
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
    let begun = Instant::now();
    // Connections that have carried nothing are kept for half a second: the last requests come on them.
    std::thread::sleep(Duration::from_millis(400));
    let clients: Vec<Client> =
        (0..CLIENTS).map(|_| Client::with_receive_buffer(address, SMALL_RECEIVE_BUFFER_BYTES)).collect();
    let clients: Vec<Client> = clients
        .into_iter()
        .zip(0..)
        .map(|(mut client, number)| {
            let at = begun + Duration::from_millis(540 + 11 * number);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            client.send("bill", DEADLINE_MS);
            client
        })
        .collect();
    assert!(sidecar.wait_for_exit().success());
    let mut statuses = std::collections::BTreeMap::new();
    for (mut client, number) in clients.into_iter().zip(0..CLIENTS) {
        let answer = client.read_answer().unwrap_or_else(|| panic!("client {number}: no whole answer"));
        assert!(answer.status() != 200 || answer.body == body, "client {number}");
        *statuses.entry(answer.status()).or_insert(0) += 1;
    }
    println!("answers by status: {statuses:?}");
    for status in [200, 502] {
        assert!(statuses.get(&status).is_some_and(|count| *count > 5), "{statuses:?}");
    }
}

/// Reads an answer in small pieces, at about 400 KB a second.
struct SlowReader(std::net::TcpStream);

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_millis(20));
        let room = buffer.len().min(8 << 10);
        self.0.read(&mut buffer[..room])
    }
}

/// Asks for a long answer, once more whenever that is refused, and reads it slowly; how it ended.
fn long_answer_read_slowly(address: SocketAddr, body: &[u8]) -> String {
    let start = Instant::now();
    loop {
        let mut stream = connect_with_receive_buffer(address, 16 << 10);
        stream.write_all(request("bill", 6_000).as_bytes()).unwrap();
        let mut reader = std::io::BufReader::with_capacity(8 << 10, SlowReader(stream));
        match read_message(&mut reader) {
            Some(answer) if answer.status() == 503 => {
                assert!(start.elapsed() < WAIT_TIMEOUT, "refused for good")
            }
            Some(answer) if answer.body == body => return "whole".to_owned(),
            Some(answer) => return answer.start_line,
            None => return "torn".to_owned(),
        }
    }
}

/// Guards against eviction of a connection whose answer is through as far as its upstream goes, while its end still waits in
/// the process for room in the send buffer.
#[test]
fn the_end_of_a_long_answer_is_not_lost_to_a_newcomer() {
    let body = pattern(1_200_000);
    let sent = body.clone();
    let upstream = Upstream::new(move |message| match message.start_line.starts_with("POST /bill") {
        true => ScriptedResponse::Answer(200, "", sent.clone()),
        false => ScriptedResponse::ok("served"),
    });
    let known = ready_server_list(&[&upstream]);
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 64, SETTINGS));
    sidecar.wait_until_up();
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let asked = scope.spawn(|| connect_repeatedly(sidecar.address, Duration::from_millis(4), &stop));
        let readers: Vec<_> = (0..3)
            .map(|_| {
                let (address, body) = (sidecar.address, &body);
                scope.spawn(move || long_answer_read_slowly(address, body))
            })
            .collect();
        let ends: Vec<String> = readers.into_iter().map(|reader| reader.join().unwrap()).collect();
        stop.store(true, Ordering::SeqCst);
        assert_eq!(ends, ["whole"; 3], "beside {} newcomers", asked.join().unwrap());
    });
}

/// The same for answers that are held whole, of which more are pipelined than the send buffer takes.
#[test]
fn pipelined_answers_that_wait_for_a_slow_client_are_not_lost_to_a_newcomer() {
    const REQUESTS: usize = 14;
    let body = pattern(HELD_ANSWER_BYTES);
    let sent = body.clone();
    let upstream = Upstream::new(move |message| match message.start_line.starts_with("POST /log") {
        true => ScriptedResponse::Answer(200, "", sent.clone()),
        false => ScriptedResponse::ok("served"),
    });
    let known = ready_server_list(&[&upstream]);
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 64, SETTINGS));
    sidecar.wait_until_up();
    let mut client = Client::with_receive_buffer(sidecar.address, SMALL_RECEIVE_BUFFER_BYTES);
    (0..REQUESTS).for_each(|_| client.send("log", 6_000));
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let asked = scope.spawn(|| connect_repeatedly(sidecar.address, Duration::from_millis(4), &stop));
        std::thread::sleep(Duration::from_millis(1_500));
        let whole = (0..REQUESTS)
            .map_while(|_| client.read_answer())
            .filter(|answer| answer.status() == 200 && answer.body == body)
            .count();
        stop.store(true, Ordering::SeqCst);
        assert_eq!(whole, REQUESTS, "beside {} newcomers", asked.join().unwrap());
    });
}

// --- What comes behind a request -----------------------------------------------------------------

/// A long body is refused for want of room, with its head read and the rest still coming: the refusal arrives.
#[test]
fn a_refusal_reaches_a_client_that_still_sends_its_body() {
    let upstream = Upstream::new(|_| ScriptedResponse::Answer(200, "", vec![b'x'; 8 << 20]));
    let known = ready_server_list(&[&upstream]);
    let discovery = Discovery::new(&known);
    // Room for four long bodies.
    let text = config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS)
        .replace(r#""memory_mb":192"#, r#""memory_mb":8"#);
    let sidecar = Sidecar::start(&text);
    sidecar.wait_until_up();
    let unread: Vec<Client> = (0..4)
        .map(|_| {
            let mut client = Client::connect(sidecar.address);
            client.send("fetch", 6_000);
            assert!(!client.reader.fill_buf().unwrap().is_empty(), "it has begun");
            client
        })
        .collect();
    let asked = upstream.requests().len();
    for length in [70_000, 200_000, 1_000_000, 4_000_000] {
        let mut client = Client::connect(sidecar.address);
        let head =
            request("bill", 6_000).replace("Content-Length: 4", &format!("Content-Length: {}", length + 4));
        client.write(head.as_bytes());
        client.write(&vec![b'x'; length]);
        let answer = client.read_answer().unwrap_or_else(|| panic!("{length} bytes: no answer"));
        assert_eq!(answer.status(), 503, "{length} bytes");
    }
    assert_eq!(upstream.requests().len(), asked, "none of them was sent on");
    drop(unread);
}

/// Bytes that are no request behind an open one: its answer arrives whole all the same, also at a client that reads slowly.
#[test]
fn noise_behind_a_request_does_not_tear_its_answer() {
    let body = pattern(HELD_ANSWER_BYTES);
    let sent = body.clone();
    let upstream = Upstream::new(move |_| ScriptedResponse::Answer(200, "", sent.clone()));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    for noise in [1, 1_000, 60_000, 200_000] {
        let mut client = Client::with_receive_buffer(sidecar.address, SMALL_RECEIVE_BUFFER_BYTES);
        client.send("fetch", 6_000);
        client.write(&vec![b'\x01'; noise]);
        std::thread::sleep(Duration::from_millis(500));
        assert_whole(client, &body, &format!("{noise} bytes of noise"));
    }
}

// --- Small writes --------------------------------------------------------------------------------

/// How long it takes from the first to the last of small pieces that were written one after the other, for a client that has
/// not read the first: so its kernel need not acknowledge it at once.
fn time_of_small_pieces(client: &mut Client, bytes: usize) -> Duration {
    let stream = client.reader.get_ref();
    let mut room = vec![0; bytes];
    let mut first = None;
    let start = Instant::now();
    loop {
        let waiting = stream.peek(&mut room).unwrap();
        assert!(waiting > 0 && start.elapsed() < WAIT_TIMEOUT, "they come");
        let first = *first.get_or_insert_with(Instant::now);
        if waiting == bytes {
            client.reader.read_exact(&mut room).unwrap();
            return first.elapsed();
        }
        std::thread::sleep(Duration::from_micros(200));
    }
}

/// Guards against small pieces of an answer that the kernel holds back until what went before is acknowledged, which a
/// receiver may put off by 40 ms.
#[test]
fn small_pieces_of_an_answer_are_not_held_back() {
    const ROUNDS: usize = 30;
    const LONG_BYTES: usize = HELD_ANSWER_BYTES + 1;
    const PIECES: usize = 3;
    const HELD_BACK: Duration = Duration::from_millis(25);
    // Longer than what is held whole: it goes on as it comes.
    let upstream = Upstream::new(|message| {
        if !message.start_line.starts_with("POST /bill") {
            return ScriptedResponse::ok("served");
        }
        ScriptedResponse::custom(|stream| {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", LONG_BYTES + 16 * PIECES);
            let begun = [head.as_bytes(), &[b'.'; LONG_BYTES]].concat();
            let sent = stream.set_nodelay(true).and_then(|()| stream.write_all(&begun));
            std::thread::sleep(Duration::from_millis(60));
            let pieces = (0..PIECES).try_for_each(|_| {
                std::thread::sleep(Duration::from_millis(2));
                stream.write_all(&[b'x'; 16])
            });
            sent.and(pieces).is_ok()
        })
    });
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            // A client that asks and is answered acknowledges with what it sends next.
            (0..4).for_each(|_| drop(client.exchange("fetch")));
            client.send("bill", 6_000);
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                assert!(client.reader.read_line(&mut head).unwrap() > 0, "a head");
            }
            client.reader.read_exact(&mut [0; LONG_BYTES]).unwrap();
            time_of_small_pieces(&mut client, 16 * PIECES)
        })
        .collect();
    times.sort_unstable();
    let median = times[ROUNDS / 2];
    println!("small pieces took {median:?} on the median, {:?} at most", times[ROUNDS - 1]);
    assert!(median < HELD_BACK, "half of the time they took {median:?} or longer");
}
