//! Case 1: the clients. They send short requests of all classes and judge whose answer they are served.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, BodyEnd, Connection, Record};
use crate::Options;

/// What became of the requests.
#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    foreign: AtomicU64,
    not_served: AtomicU64,
    unanswered: AtomicU64,
}

/// A request, by the site's shares of its classes.
fn request(id: &str) -> (&'static str, String) {
    let (class, method, timeout_ms, more) = match http::random(100) {
        0..42 => ("page-fetch", "GET", 700, String::new()),
        42..67 => ("draft-save", "GET", 700, String::new()),
        67..85 => ("errata-log", "POST", 300, format!("Idempotency-Key: {id}\r\nContent-Length: 0\r\n")),
        _ => ("copy-bill", "POST", 900, "Content-Length: 0\r\n".to_owned()),
    };
    let text = format!(
        "{method} /{class}?k=p HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Timeout-Ms: {timeout_ms}\r\n{more}\r\n"
    );
    (class, text)
}

/// Sends one request and judges its answer. Whether the connection can be used again.
fn ask(connection: &mut Connection, counts: &Counts, record: &Record) -> std::io::Result<bool> {
    let id = http::next_id();
    let (class, text) = request(&id);
    connection.stream.write_all(text.as_bytes())?;
    counts.sent.fetch_add(1, Ordering::Relaxed);
    let answer = connection.head().and_then(|head| {
        let Some(head) = head else { return Ok(None) };
        let mut body = Vec::new();
        let end = connection.body(&head, true, &mut body)?;
        Ok((end == BodyEnd::Whole).then_some((head, body)))
    });
    let Ok(Some((head, body))) = answer else {
        counts.unanswered.fetch_add(1, Ordering::Relaxed);
        record.line(&format!("no_answer id={id} class={class}"));
        return Ok(false);
    };
    let body = String::from_utf8_lossy(&body).replace(' ', "_");
    let count = match (head.status(), body == format!("answer_to_{id}")) {
        (200, true) => &counts.served,
        (200, false) => {
            record.line(&format!("FOREIGN id={id} class={class} got={body}"));
            &counts.foreign
        }
        _ => &counts.not_served,
    };
    count.fetch_add(1, Ordering::Relaxed);
    record.line(&format!("answer id={id} class={class} status={} body={body}", head.status()));
    Ok(head.get("connection") != Some("close"))
}

pub fn run(options: &Options) {
    let record = Record::open(options.get("record"));
    let address = options.get("sidecar").to_owned();
    let (clients, seconds) = (options.number("clients", 30), options.number("seconds", 60));
    let pause_us = options.number("pause-ms", 40) * 1_000;
    if !http::wait_until_up(&address, Duration::from_secs(30)) {
        record.line("the sidecar is not up");
        std::process::exit(2);
    }
    let counts = Arc::new(Counts::default());
    let ends = Instant::now() + Duration::from_secs(seconds);
    let threads: Vec<_> = (0..clients)
        .map(|_| {
            let (address, record, counts) = (address.clone(), record.clone(), counts.clone());
            thread::spawn(move || {
                while Instant::now() < ends {
                    let Ok(mut connection) = http::connect(&address) else { continue };
                    let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(3)));
                    while Instant::now() < ends && matches!(ask(&mut connection, &counts, &record), Ok(true))
                    {
                        thread::sleep(Duration::from_micros(http::random(pause_us)));
                    }
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|one| drop(one.join()));
    let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let summary = format!(
        "summary sent={} per_s={} served={} foreign={} refused_or_failed={} unanswered={}",
        get(&counts.sent),
        get(&counts.sent) / seconds,
        get(&counts.served),
        get(&counts.foreign),
        get(&counts.not_served),
        get(&counts.unanswered)
    );
    record.line(&summary);
    println!("{summary}");
    if get(&counts.served) == 0 {
        std::process::exit(2);
    }
    std::process::exit(i32::from(get(&counts.foreign) > 0));
}
