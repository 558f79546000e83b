//! Tests of HTTP/1.1 transfers: bodies of any length and framing, slow peers, and connections that break off.

mod loopback;

use std::io::{BufRead, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use loopback::uploads::{chunked, patterned_body, upload_head};
use loopback::*;

/// The number of complete requests that the upstreams have received.
fn total_requests(upstreams: &[&Upstream]) -> usize {
    upstreams.iter().map(|upstream| upstream.requests().len()).sum()
}

#[test]
fn long_answer_is_passed_on_from_its_first_bytes() {
    let released = Arc::new(AtomicUsize::new(0));
    let is_released = released.clone();
    let body = patterned_body(3_000_000);
    let sent = body.clone();
    let upstream = Upstream::new(move |_| {
        let (sent, is_released) = (sent.clone(), is_released.clone());
        ScriptedResponse::custom(move |stream| {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Note: kept\r\n\r\n", sent.len());
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(&sent[..100]).unwrap();
            wait_until("the client has read the first bytes", || is_released.load(Ordering::SeqCst) > 0);
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
    let mut received = vec![0; 100];
    client.reader.read_exact(&mut received).unwrap();
    released.store(1, Ordering::SeqCst);
    received.resize(body.len(), 0);
    client.reader.read_exact(&mut received[100..]).unwrap();
    assert!(received == body, "the body is unchanged");
    // The connections to the client and to the upstream are kept.
    assert_eq!(client.exchange("bill").body.len(), body.len());
    let connections: Vec<usize> = upstream.requests().iter().map(|message| message.connection).collect();
    assert_eq!(connections[0], connections[1]);
}

#[test]
fn long_answer_continues_after_the_request_timeout_and_a_pause_of_its_upstream() {
    let body = patterned_body(400_000);
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
    assert!(client.read_answer().expect("a complete answer").body == body);
}

#[test]
fn long_answer_that_breaks_off_reaches_the_client_truncated_and_is_not_retried() {
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
        assert!(client.read_answer().is_none(), "the answer is truncated");
        assert_eq!(total_requests(&[&upstreams[0], &upstreams[1]]), 1);
    }
}

#[test]
fn answers_of_every_framing_are_passed_on() {
    let long = patterned_body(100_000);
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
    for (bytes, keeps_connection, body) in forms {
        for pieces in [1, 7] {
            let bytes = bytes.clone();
            let upstream = Upstream::new(move |_| {
                let bytes = bytes.clone();
                ScriptedResponse::custom(move |stream| {
                    for piece in bytes.chunks(bytes.len().div_ceil(pieces)) {
                        stream.write_all(piece).unwrap();
                        std::thread::sleep(Duration::from_millis(2));
                    }
                    keeps_connection
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
fn answer_delimited_by_close_counts_as_truncated_when_the_connection_is_reset() {
    let upstream = Upstream::new(|_| ScriptedResponse::RawAndReset(b"HTTP/1.1 200 OK\r\n\r\n"));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    assert_eq!(Client::connect(sidecar.address).exchange("bill").status(), 502);
    assert_eq!(upstream.requests().len(), 1);
}

#[test]
fn requests_with_slow_heads_and_bodies_are_served() {
    let upstream = Upstream::new(|message| ScriptedResponse::Answer(200, "", message.body.clone()));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let body = patterned_body(60_000);
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
                // At 64 kB a second, the lowest rate that a client may send at.
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
fn client_that_sends_too_slowly_is_disconnected() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let head =
        request("bill", 6_000).replace("Content-Length: 4\r\n\r\nbill", "Content-Length: 50000\r\n\r\n");
    for first_bytes in [head.as_bytes(), b"GET /fetch HTTP/1.1\r\nX-Long: "] {
        let mut stream = TcpStream::connect(sidecar.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let start = Instant::now();
        stream.write_all(first_bytes).unwrap();
        loop {
            let mut answer = [0; 16];
            match stream.read(&mut answer) {
                Ok(_) => break,
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => break,
                Err(_) => {}
            }
            let _ = stream.write_all(b"x");
            assert!(start.elapsed() < WAIT_TIMEOUT, "the connection is never closed");
        }
        assert!(start.elapsed() > Duration::from_secs(2), "a client has at least 2 s");
    }
    assert_eq!(upstream.requests().len(), 0);
}

#[test]
fn slow_readers_of_long_answers_do_not_delay_other_clients() {
    let upstream = Upstream::new(|message| match message.start_line.starts_with("POST /bill") {
        true => ScriptedResponse::Answer(200, "", vec![b'x'; 8 << 20]),
        false => ScriptedResponse::ok("served"),
    });
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut slow_readers: Vec<Client> = (0..6).map(|_| Client::connect(sidecar.address)).collect();
    for client in &mut slow_readers {
        client.send("bill", 6_000);
        assert!(!client.reader.fill_buf().unwrap().is_empty(), "the answer has begun");
    }
    for _ in 0..100 {
        assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200);
    }
    for client in &mut slow_readers {
        assert_eq!(client.read_answer().expect("the complete answer").body.len(), 8 << 20);
    }
}

#[test]
fn long_uploads_of_every_framing_arrive_unchanged() {
    let upstream = Upstream::new(|message| ScriptedResponse::Answer(200, "", message.body.clone()));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let body = patterned_body(3_000_001);
    for class in ["bill", "log"] {
        let mut client = Client::connect(sidecar.address);
        client.write(upload_head(class, Some(body.len())).as_bytes());
        client.write(&body);
        let answer = client.read_answer().expect("an answer");
        assert!((answer.status(), &answer.body) == (200, &body), "{}", answer.start_line);
        // A chunked body on the same connection.
        client.write(upload_head(class, None).as_bytes());
        client.write(&chunked(&body, 9_999));
        let answer = client.read_answer().expect("an answer");
        assert!((answer.status(), &answer.body) == (200, &body), "{}", answer.start_line);
        // A short chunked body is buffered completely before it is sent on.
        client.write(upload_head(class, None).as_bytes());
        client.write(&chunked(b"short", 2));
        assert_eq!(client.read_answer().expect("an answer").body, b"short");
        assert_eq!(client.exchange("fetch").status(), 200);
    }
    assert_eq!(upstream.requests().len(), 8);
}

#[test]
fn upload_is_sent_on_while_it_arrives() {
    let received_bytes = Arc::new(AtomicUsize::new(0));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = received_bytes.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let count = count.clone();
            std::thread::spawn(move || {
                let mut buffer = vec![0; 64 << 10];
                while let Ok(read) = stream.read(&mut buffer) {
                    if read == 0 {
                        return;
                    }
                    if count.fetch_add(read, Ordering::SeqCst) + read > 500_000 {
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
    client.write(&patterned_body(200_000));
    wait_until("the upstream has received the bytes sent so far", || {
        received_bytes.load(Ordering::SeqCst) > 190_000
    });
    client.write(&patterned_body(300_000));
    assert_eq!(client.read_answer().expect("an answer").body, b"ok");
}

#[test]
fn uploads_over_the_size_limit_are_rejected_before_their_end() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    client.write(upload_head("bill", Some((32 << 20) + 1)).as_bytes());
    assert_eq!(client.read_answer().expect("an answer before the body is sent").status(), 413);
    // The length of a chunked body is known only as its chunks arrive.
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
    assert_eq!(upstream.requests().len(), 0, "no request is received completely");
    assert_eq!(Client::connect(sidecar.address).exchange("bill").status(), 200);
}

#[test]
fn upload_is_retried_only_while_its_body_is_still_buffered() {
    // Nothing listens at `b`: the sidecar still has all that it has read from the client.
    let unused_address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let upstream = Upstream::new(|message| ScriptedResponse::Answer(200, "", message.body.clone()));
    let known = server_list(
        5,
        true,
        &[server_entry("a", upstream.address, "ready"), server_entry("b", unused_address, "ready")],
    );
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS));
    sidecar.wait_until_up();
    let body = patterned_body(300_000);
    for _ in 0..8 {
        let mut client = Client::connect(sidecar.address);
        client.write(upload_head("bill", Some(body.len())).as_bytes());
        client.write(&body);
        let answer = client.read_answer().expect("an answer");
        assert!((answer.status(), &answer.body) == (200, &body), "{}", answer.start_line);
    }
    // An upstream refuses the request unprocessed after the whole body was sent: the request was not executed, and the
    // client is told so with a 503.
    let refusing =
        [0, 1].map(|_| Upstream::new(|_| ScriptedResponse::Answer(503, "X-Not-Processed: 1\r\n", vec![])));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&refusing[0], &refusing[1]]);
    let mut client = Client::connect(sidecar.address);
    client.write(upload_head("bill", Some(body.len())).as_bytes());
    client.write(&body);
    assert_eq!(client.read_answer().expect("an answer").status(), 503);
    assert_eq!(total_requests(&[&refusing[0], &refusing[1]]), 1);
    // A request that may have been executed is answered with a 502, not with a refusal.
    let closing = Upstream::new(|_| ScriptedResponse::Close);
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&closing]);
    let mut client = Client::connect(sidecar.address);
    client.write(upload_head("bill", None).as_bytes());
    client.write(&chunked(&body, 30_000));
    assert_eq!(client.read_answer().expect("an answer").status(), 502);
    assert_eq!(closing.requests().len(), 1);
}

#[test]
fn incomplete_upload_is_never_executed() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let body = patterned_body(300_000);
    let mut stalled = Client::connect(sidecar.address);
    stalled.write(upload_head("bill", Some(body.len())).as_bytes());
    stalled.write(&body[..299_999]);
    let answer = stalled.read_answer();
    assert!(answer.as_ref().is_none_or(|answer| answer.status() == 408), "{answer:?}");
    for cut in [70_000, 299_999] {
        let mut leaving = Client::connect(sidecar.address);
        leaving.write(upload_head("bill", Some(body.len())).as_bytes());
        leaving.write(&body[..cut]);
        drop(leaving);
    }
    assert_eq!(upstream.requests().len(), 0);
    wait_until("a new request is served", || {
        Client::connect(sidecar.address).exchange("bill").status() == 200
    });
    assert_eq!(upstream.requests().len(), 1);
}

#[test]
fn slow_upload_continues_after_the_request_timeout() {
    let upstream = Upstream::new(|message| ScriptedResponse::Answer(200, "", message.body.clone()));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let body = patterned_body(192_000);
    let mut client = Client::connect(sidecar.address);
    client.write(
        upload_head("bill", Some(body.len())).replace("X-Timeout-Ms: 6000", "X-Timeout-Ms: 400").as_bytes(),
    );
    // At 64 kB a second.
    for piece in body.chunks(6_400) {
        client.write(piece);
        std::thread::sleep(Duration::from_millis(100));
    }
    let answer = client.read_answer().expect("an answer");
    assert!((answer.status(), &answer.body) == (200, &body), "{}", answer.start_line);
}

#[test]
fn expect_100_continue_is_answered_by_the_sidecar() {
    let upstream = Upstream::new(|message| ScriptedResponse::Answer(200, "", message.body.clone()));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    for length in [10, 200_000] {
        let body = patterned_body(length);
        let head = upload_head("bill", Some(length)).replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n");
        let mut client = Client::connect(sidecar.address);
        client.write(head.as_bytes());
        assert_eq!(client.read_answer().expect("the interim answer").status(), 100);
        client.write(&body);
        assert!(client.read_answer().expect("an answer").body == body);
    }
    assert!(upstream.requests().iter().all(|message| message.header("expect").is_none()));
}

#[test]
fn pipelined_requests_and_http_1_0_requests_are_served() {
    let upstream =
        Upstream::new(|message| ScriptedResponse::Answer(200, "", message.start_line.clone().into_bytes()));
    let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    let body = patterned_body(100_000);
    let three_requests = [
        upload_head("bill", Some(body.len())).as_bytes(),
        &body,
        request("fetch", 6_000).as_bytes(),
        upload_head("log", None).as_bytes(),
        &chunked(&body, 5_000),
    ]
    .concat();
    client.write(&three_requests);
    for first_line in ["POST /bill", "GET /fetch", "POST /log"] {
        let answer = client.read_answer().expect("an answer");
        assert!(answer.body.starts_with(first_line.as_bytes()), "{first_line}");
    }
    let mut client = Client::connect(sidecar.address);
    client.write(request("fetch", 6_000).replace("HTTP/1.1", "HTTP/1.0").as_bytes());
    let mut answer = String::new();
    client.reader.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.0 200 OK") && answer.contains("GET /fetch"), "{answer}");
}
