//! Bodies of any size, slow peers, and all forms of HTTP/1.1.

mod loopback;

use std::io::{BufRead, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use loopback::*;

/// Bytes that tell where they stand.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at % 251) as u8 ^ (at / 251) as u8).collect()
}

fn total(upstreams: &[&Upstream]) -> usize {
    upstreams.iter().map(|upstream| upstream.requests().len()).sum()
}

#[test]
fn a_long_answer_goes_on_with_its_first_bytes() {
    let go = Arc::new(AtomicUsize::new(0));
    let wait = go.clone();
    let body = pattern(3_000_000);
    let sent = body.clone();
    let upstream = Upstream::new(move |_| {
        let (sent, wait) = (sent.clone(), wait.clone());
        ScriptedResponse::custom(move |stream| {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Note: kept\r\n\r\n", sent.len());
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(&sent[..100]).unwrap();
            wait_until("the client has the first bytes", || wait.load(Ordering::SeqCst) > 0);
            stream.write_all(&sent[100..]).unwrap();
            true
        })
    });
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    client.send("bill", 6_000);
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        client.reader.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    assert!(String::from_utf8_lossy(&head).to_lowercase().contains("x-note: kept"));
    let mut got = vec![0; 100];
    client.reader.read_exact(&mut got).unwrap();
    go.store(1, Ordering::SeqCst);
    got.resize(body.len(), 0);
    client.reader.read_exact(&mut got[100..]).unwrap();
    assert!(got == body, "unchanged");
    // Both connections go on.
    assert_eq!(client.exchange("bill").body.len(), body.len());
    let connections: Vec<usize> = upstream.requests().iter().map(|message| message.connection).collect();
    assert_eq!(connections[0], connections[1]);
}

#[test]
fn a_long_answer_outlasts_its_requests_time_and_pauses_of_its_upstream() {
    let body = pattern(400_000);
    let sent = body.clone();
    let upstream = Upstream::new(move |_| {
        let sent = sent.clone();
        ScriptedResponse::custom(move |stream| {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", sent.len());
            stream.write_all(head.as_bytes()).unwrap();
            let (first, second) = sent.split_at(150_000);
            stream.write_all(first).unwrap();
            std::thread::sleep(Duration::from_millis(1_900));
            stream.write_all(second).unwrap();
            true
        })
    });
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    client.send("bill", 500);
    assert!(client.read_answer().expect("a whole answer").body == body);
}

#[test]
fn a_long_answer_that_breaks_off_is_seen_to_be_broken_and_not_asked_for_again() {
    for head in ["Content-Length: 300000\r\n", "Transfer-Encoding: chunked\r\n"] {
        let upstreams = [0, 1].map(|_| {
            Upstream::new(move |_| {
                ScriptedResponse::custom(move |stream| {
                    let begin = format!("HTTP/1.1 200 OK\r\n{head}\r\n");
                    stream.write_all(begin.as_bytes()).unwrap();
                    let part = vec![b'x'; 200_000];
                    match head.starts_with('C') {
                        true => stream.write_all(&part).unwrap(),
                        false => {
                            stream.write_all(b"30D40\r\n").unwrap();
                            stream.write_all(&part).unwrap();
                        }
                    }
                    false
                })
            })
        });
        let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstreams[0], &upstreams[1]]);
        let mut client = Client::connect(sidecar.address);
        client.send("fetch", 6_000);
        assert!(client.read_answer().is_none(), "not whole");
        assert_eq!(total(&[&upstreams[0], &upstreams[1]]), 1);
    }
}

#[test]
fn answers_of_every_form_are_served() {
    let long = pattern(100_000);
    let chunked: Vec<u8> = long
        .chunks(777)
        .flat_map(|c| [format!("{:x};a=\"b\"\r\n", c.len()).as_bytes(), c, b"\r\n"].concat())
        .collect();
    let forms: Vec<(Vec<u8>, bool, &[u8])> = vec![
        ([b"HTTP/1.1 200 OK\r\n\r\n", &long[..]].concat(), false, &long),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end".to_vec(), false, b"to the end"),
        (b"HTTP/1.0 200 OK\r\n\r\nold".to_vec(), false, b"old"),
        (
            [
                b"HTTP/1.1 103 Hint\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                &chunked[..],
                b"0\r\nX-Sum: 1\r\n\r\n",
            ]
            .concat(),
            true,
            &long,
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: CHUNKED\r\n\r\n5\r\nshort\r\n0\r\n\r\n".to_vec(),
            true,
            b"short",
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec(), true, b""),
    ];
    for (bytes, stays, body) in forms {
        for pieces in [1, 7] {
            let bytes = bytes.clone();
            let upstream = Upstream::new(move |_| {
                let bytes = bytes.clone();
                ScriptedResponse::custom(move |stream| {
                    for piece in bytes.chunks(bytes.len().div_ceil(pieces)) {
                        stream.write_all(piece).unwrap();
                        std::thread::sleep(Duration::from_millis(2));
                    }
                    stays
                })
            });
            let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
            for _ in 0..2 {
                let answer = Client::connect(sidecar.address).exchange("bill");
                assert!((answer.status(), &answer.body[..]) == (200, body), "{:?}", answer.start_line);
            }
        }
    }
}

#[test]
fn an_answer_that_ends_with_its_connection_is_not_whole_if_that_was_reset() {
    let upstream = Upstream::new(|_| ScriptedResponse::RawAndReset(b"HTTP/1.1 200 OK\r\n\r\n"));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    assert_eq!(Client::connect(sidecar.address).exchange("bill").status(), 502);
    assert_eq!(upstream.requests().len(), 1);
}

#[test]
fn slow_heads_and_bodies_are_waited_for() {
    let upstream = Upstream::new(|m| ScriptedResponse::Answer(200, "", m.body.clone()));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let body = pattern(60_000);
    let head = request("bill", 6_000)
        .strip_suffix("bill")
        .map(|head| head.replace("Content-Length: 4", "Content-Length: 60000"))
        .unwrap();
    let threads: Vec<_> = [2_000, 1_000]
        .into_iter()
        .map(|head_ms: u64| {
            let (head, body, address) = (head.clone(), body.clone(), sidecar.address);
            std::thread::spawn(move || {
                let id = if head_ms > 1_500 { "aaaaaaaaaaaaaaaa" } else { "bbbbbbbbbbbbbbbb" };
                let at = head.find("X-Request-ID: ").unwrap() + 14;
                let head = format!("{}{id}{}", &head[..at], &head[at + 16..]);
                let mut client = Client::connect(address);
                let pieces: Vec<&[u8]> = head.as_bytes().chunks(head.len().div_ceil(20)).collect();
                for piece in &pieces {
                    client.write(piece);
                    std::thread::sleep(Duration::from_millis(head_ms / 20));
                }
                // At 64 kB a second, as the slowest honest one.
                for piece in body.chunks(3_200) {
                    client.write(piece);
                    std::thread::sleep(Duration::from_millis(50));
                }
                let answer = client.read_answer().expect("an answer");
                assert!((answer.status(), answer.body) == (200, body));
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| thread.join().unwrap());
}

#[test]
fn who_dribbles_is_out_in_time() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let head =
        request("bill", 6_000).replace("Content-Length: 4\r\n\r\nbill", "Content-Length: 50000\r\n\r\n");
    for first in [head.as_bytes(), b"GET /fetch HTTP/1.1\r\nX-Long: "] {
        let mut stream = TcpStream::connect(sidecar.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let start = Instant::now();
        stream.write_all(first).unwrap();
        loop {
            let mut answer = [0; 16];
            match stream.read(&mut answer) {
                Ok(_) => break,
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => break,
                Err(_) => {}
            }
            let _ = stream.write_all(b"x");
            assert!(start.elapsed() < WAIT_TIMEOUT, "it is never out");
        }
        assert!(start.elapsed() > Duration::from_secs(2), "an honest one has 2 s");
    }
    assert_eq!(upstream.requests().len(), 0);
}

#[test]
fn slow_readers_of_long_answers_leave_others_alone() {
    let upstream = Upstream::new(|message| match message.start_line.starts_with("POST /bill") {
        true => ScriptedResponse::Answer(200, "", vec![b'x'; 8 << 20]),
        false => ScriptedResponse::ok("served"),
    });
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut slow: Vec<Client> = (0..6).map(|_| Client::connect(sidecar.address)).collect();
    for client in &mut slow {
        client.send("bill", 6_000);
        assert!(!client.reader.fill_buf().unwrap().is_empty(), "it has begun");
    }
    for _ in 0..100 {
        assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200);
    }
    for client in &mut slow {
        assert_eq!(client.read_answer().expect("all of it").body.len(), 8 << 20);
    }
}

/// The head of a request with a body of this length, or in chunks.
fn upload_head(class: &str, length: Option<usize>) -> String {
    let framing = match length {
        Some(length) => format!("Content-Length: {length}"),
        None => "Transfer-Encoding: chunked".to_owned(),
    };
    let text = request(class, 6_000);
    let end = text.find("\r\n\r\n").unwrap();
    let head: Vec<&str> =
        text[..end].split("\r\n").filter(|line| !line.starts_with("Content-Length")).collect();
    format!("{}\r\n{framing}\r\n\r\n", head.join("\r\n"))
}

fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let chunk = |c: &[u8]| [format!("{:X};x=y\r\n", c.len()).as_bytes(), c, b"\r\n"].concat();
    let chunks: Vec<u8> = body.chunks(size).flat_map(chunk).collect();
    [&chunks[..], b"0\r\nX-Sum: 7\r\n\r\n"].concat()
}

#[test]
fn long_uploads_of_every_form_come_unchanged() {
    let upstream = Upstream::new(|m| ScriptedResponse::Answer(200, "", m.body.clone()));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let body = pattern(3_000_001);
    for class in ["bill", "log"] {
        let mut client = Client::connect(sidecar.address);
        client.write(upload_head(class, Some(body.len())).as_bytes());
        client.write(&body);
        let answer = client.read_answer().expect("an answer");
        assert!((answer.status(), &answer.body) == (200, &body), "{}", answer.start_line);
        // On the same connection, in chunks.
        client.write(upload_head(class, None).as_bytes());
        client.write(&chunked(&body, 9_999));
        let answer = client.read_answer().expect("an answer");
        assert!((answer.status(), &answer.body) == (200, &body), "{}", answer.start_line);
        // Short ones in chunks are held whole.
        client.write(upload_head(class, None).as_bytes());
        client.write(&chunked(b"short", 2));
        assert_eq!(client.read_answer().expect("an answer").body, b"short");
        assert_eq!(client.exchange("fetch").status(), 200);
    }
    assert_eq!(upstream.requests().len(), 8);
}

#[test]
fn an_upload_reaches_its_upstream_while_it_arrives() {
    let seen = Arc::new(AtomicUsize::new(0));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = seen.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let count = count.clone();
            std::thread::spawn(move || {
                let mut buffer = vec![0; 64 << 10];
                while let Ok(got) = stream.read(&mut buffer) {
                    if got == 0 {
                        return;
                    }
                    if count.fetch_add(got, Ordering::SeqCst) + got > 500_000 {
                        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    }
                }
            });
        }
    });
    let known = server_list(5, true, &[server_entry("a", address, "ready")]);
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS));
    sidecar.wait_until_up();
    let mut client = Client::connect(sidecar.address);
    client.write(upload_head("bill", Some(500_000)).as_bytes());
    client.write(&pattern(200_000));
    wait_until("the upstream has what has come", || seen.load(Ordering::SeqCst) > 190_000);
    client.write(&pattern(300_000));
    assert_eq!(client.read_answer().expect("an answer").body, b"ok");
}

#[test]
fn uploads_over_the_limit_are_told_at_once() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    client.write(upload_head("bill", Some((32 << 20) + 1)).as_bytes());
    assert_eq!(client.read_answer().expect("before its bytes").status(), 413);
    // In chunks it shows when they have come.
    let mut client = Client::connect(sidecar.address);
    client.write(upload_head("bill", None).as_bytes());
    let chunk = [b"100000\r\n", &vec![b'x'; 1 << 20][..], b"\r\n"].concat();
    for _ in 0..33 {
        if client.reader.get_mut().write_all(&chunk).is_err() {
            break;
        }
    }
    let answer = client.read_answer();
    assert!(answer.is_none_or(|answer| answer.status() == 413));
    assert_eq!(upstream.requests().len(), 0, "none came whole");
    assert_eq!(Client::connect(sidecar.address).exchange("bill").status(), 200);
}

#[test]
fn an_upload_whose_body_is_kept_goes_to_another_and_one_that_has_gone_does_not() {
    // Nobody listens at the first: nothing was taken from the client but what is kept.
    let dead = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let upstream = Upstream::new(|m| ScriptedResponse::Answer(200, "", m.body.clone()));
    let known = server_list(
        5,
        true,
        &[server_entry("a", upstream.address, "ready"), server_entry("b", dead, "ready")],
    );
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS));
    sidecar.wait_until_up();
    let body = pattern(300_000);
    for _ in 0..8 {
        let mut client = Client::connect(sidecar.address);
        client.write(upload_head("bill", Some(body.len())).as_bytes());
        client.write(&body);
        let answer = client.read_answer().expect("an answer");
        assert!((answer.status(), &answer.body) == (200, &body), "{}", answer.start_line);
    }
    // Turned away unseen after all of it has gone: it did not run, and that is what the client is told.
    let away =
        [0, 1].map(|_| Upstream::new(|_| ScriptedResponse::Answer(503, "X-Not-Processed: 1\r\n", vec![])));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&away[0], &away[1]]);
    let mut client = Client::connect(sidecar.address);
    client.write(upload_head("bill", Some(body.len())).as_bytes());
    client.write(&body);
    assert_eq!(client.read_answer().expect("an answer").status(), 503);
    assert_eq!(total(&[&away[0], &away[1]]), 1);
    // One that may have run is not called a refusal.
    let closes = Upstream::new(|_| ScriptedResponse::Close);
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&closes]);
    let mut client = Client::connect(sidecar.address);
    client.write(upload_head("bill", None).as_bytes());
    client.write(&chunked(&body, 30_000));
    assert_eq!(client.read_answer().expect("an answer").status(), 502);
    assert_eq!(closes.requests().len(), 1);
}

#[test]
fn an_upload_that_stops_or_whose_client_leaves_never_runs() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let body = pattern(300_000);
    let mut stops = Client::connect(sidecar.address);
    stops.write(upload_head("bill", Some(body.len())).as_bytes());
    stops.write(&body[..299_999]);
    let answer = stops.read_answer();
    assert!(answer.as_ref().is_none_or(|answer| answer.status() == 408), "{answer:?}");
    for cut in [70_000, 299_999] {
        let mut leaves = Client::connect(sidecar.address);
        leaves.write(upload_head("bill", Some(body.len())).as_bytes());
        leaves.write(&body[..cut]);
        drop(leaves);
    }
    assert_eq!(upstream.requests().len(), 0);
    wait_until("they stand in nobody's way", || {
        Client::connect(sidecar.address).exchange("bill").status() == 200
    });
    assert_eq!(upstream.requests().len(), 1);
}

#[test]
fn a_slow_upload_outlasts_its_requests_time() {
    let upstream = Upstream::new(|m| ScriptedResponse::Answer(200, "", m.body.clone()));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let body = pattern(192_000);
    let mut client = Client::connect(sidecar.address);
    client.write(
        upload_head("bill", Some(body.len())).replace("X-Timeout-Ms: 6000", "X-Timeout-Ms: 400").as_bytes(),
    );
    // 64 kB a second.
    for piece in body.chunks(6_400) {
        client.write(piece);
        std::thread::sleep(Duration::from_millis(100));
    }
    let answer = client.read_answer().expect("an answer");
    assert!((answer.status(), &answer.body) == (200, &body), "{}", answer.start_line);
}

#[test]
fn who_expects_to_be_told_to_go_on_is_told() {
    let upstream = Upstream::new(|m| ScriptedResponse::Answer(200, "", m.body.clone()));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    for length in [10, 200_000] {
        let body = pattern(length);
        let head = upload_head("bill", Some(length)).replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n");
        let mut client = Client::connect(sidecar.address);
        client.write(head.as_bytes());
        assert_eq!(client.read_answer().expect("a notice").status(), 100);
        client.write(&body);
        assert!(client.read_answer().expect("an answer").body == body);
    }
    assert!(upstream.requests().iter().all(|message| message.header("expect").is_none()));
}

#[test]
fn pipelined_requests_and_http_1_0_are_served() {
    let upstream = Upstream::new(|m| ScriptedResponse::Answer(200, "", m.start_line.clone().into_bytes()));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    let body = pattern(100_000);
    let three = [
        upload_head("bill", Some(body.len())).as_bytes(),
        &body,
        request("fetch", 6_000).as_bytes(),
        upload_head("log", None).as_bytes(),
        &chunked(&body, 5_000),
    ]
    .concat();
    client.write(&three);
    for begins in ["POST /bill", "GET /fetch", "POST /log"] {
        let answer = client.read_answer().expect("an answer");
        assert!(answer.body.starts_with(begins.as_bytes()), "{begins}");
    }
    let mut client = Client::connect(sidecar.address);
    client.write(request("fetch", 6_000).replace("HTTP/1.1", "HTTP/1.0").as_bytes());
    let mut answer = String::new();
    client.reader.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.0 200 OK") && answer.contains("GET /fetch"), "{answer}");
}
