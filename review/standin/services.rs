//! The upstream, and the agent of discovery.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http::{self, BodyEnd, Connection, Record};
use crate::Options;

fn listen(address: &str) -> TcpListener {
    TcpListener::bind(address).unwrap_or_else(|error| {
        eprintln!("{address}: {error}");
        std::process::exit(2)
    })
}

/// Prints free ports, one a line. They were free at this moment.
pub fn print_free_ports(options: &Options) {
    let held: Vec<TcpListener> = (0..options.number("count", 1)).map(|_| listen("127.0.0.1:0")).collect();
    held.iter().filter_map(|one| one.local_addr().ok()).for_each(|address| println!("{}", address.port()));
}

/// An upstream.
struct Upstream {
    name: String,
    /// How long a request takes.
    work: Duration,
    /// One answer in so many is followed by a second copy; 0 is none.
    copy_one_in: u64,
    /// The copy comes this long after the answer: from 1 ms to this.
    copy_within: Duration,
    in_flight: AtomicI64,
    record: Record,
}

pub fn upstream(options: &Options) {
    let ms = |name, default| Duration::from_millis(options.number(name, default));
    let upstream = Arc::new(Upstream {
        name: options.get("name").to_owned(),
        work: ms("work-ms", 20),
        copy_one_in: options.number("copy-one-in", 0),
        copy_within: ms("copy-within-ms", 5),
        in_flight: AtomicI64::new(0),
        record: Record::open(options.get("record")),
    });
    for stream in listen(options.get("listen")).incoming().flatten() {
        let upstream = upstream.clone();
        thread::spawn(move || {
            let _ = serve(&upstream, stream);
        });
    }
}

fn serve(upstream: &Upstream, stream: TcpStream) -> std::io::Result<()> {
    let mut connection = Connection::new(stream);
    while let Some(head) = connection.head()? {
        let target = head.first.split(' ').nth(1).unwrap_or_default().to_owned();
        if target == "/alive" || target == "/metrics/load" {
            let in_flight = upstream.in_flight.load(Ordering::Relaxed).max(0);
            let text =
                format!("TEXT inflight={in_flight}, eps=0, util={:.2}", (in_flight as f64 / 8.0).min(1.0));
            write!(connection.stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())?;
            continue;
        }
        let mut body = Vec::new();
        let Some(id) = head.get("x-request-id").map(str::to_owned) else {
            connection.stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        };
        if connection.body(&head, false, &mut body)? == BodyEnd::Cut {
            upstream.record.line(&format!(
                "incomplete upstream={} id={id} bytes={}",
                upstream.name,
                body.len()
            ));
            return Ok(());
        }
        upstream.record.line(&format!(
            "run upstream={} id={id} bytes={} told_ms={}",
            upstream.name,
            body.len(),
            head.get("x-timeout-ms").unwrap_or("-")
        ));
        upstream.in_flight.fetch_add(1, Ordering::Relaxed);
        thread::sleep(upstream.work);
        upstream.in_flight.fetch_sub(1, Ordering::Relaxed);
        let text = format!("answer to {id}");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        connection.stream.write_all(answer.as_bytes())?;
        if upstream.copy_one_in > 0 && http::random(upstream.copy_one_in) == 0 {
            send_copy(upstream, &mut connection, &id, &answer)?;
        }
    }
    Ok(())
}

/// Sends a second copy of an answer some milliseconds after the first, if nothing else waits on the connection:
/// no byte has come since the request, neither read nor unread.
fn send_copy(
    upstream: &Upstream,
    connection: &mut Connection,
    id: &str,
    answer: &str,
) -> std::io::Result<()> {
    let longest = upstream.copy_within.as_micros() as u64;
    thread::sleep(Duration::from_micros(1_000 + http::random(longest.saturating_sub(1_000).max(1))));
    connection.stream.set_nonblocking(true)?;
    let is_quiet = connection.is_quiet();
    let sent = is_quiet && connection.stream.write_all(answer.as_bytes()).is_ok();
    connection.stream.set_nonblocking(false)?;
    upstream.record.line(&format!("copy upstream={} id={id} sent={sent}", upstream.name));
    Ok(())
}

/// An agent that tells one list, which does not change: `--hosts NAME=ADDRESS,...`.
pub fn discovery(options: &Options) {
    let entries: Vec<String> = options
        .get("hosts")
        .split(',')
        .filter_map(|host| host.split_once('='))
        .enumerate()
        .map(|(number, (name, address))| {
            // Two buildings; a block has no members in both.
            let (site, block) = if number % 2 == 0 { ("howard-ave", 1) } else { ("pass-road", 2) };
            format!(
                "{{\"host\":\"{name}\",\"dial\":\"{address}\",\"site\":\"{site}\",\"class\":\"c2-full\",\
                 \"block\":{block},\"health\":\"ready\",\"share\":1.0,\"born_ms\":0}}"
            )
        })
        .collect();
    let list = Arc::new(format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}}", entries.join(",")));
    for stream in listen(options.get("listen")).incoming().flatten() {
        let list = list.clone();
        thread::spawn(move || {
            let _ = tell(&list, stream);
        });
    }
}

fn tell(list: &str, stream: TcpStream) -> std::io::Result<()> {
    let mut connection = Connection::new(stream);
    let Some(head) = connection.head()? else { return Ok(()) };
    let stream = &mut connection.stream;
    if !head.first.contains("watch=1") {
        return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write!(stream, "{:x}\r\n{list}\n\r\n", list.len() + 1)?;
    loop {
        thread::sleep(Duration::from_secs(2));
        stream.write_all(b"1\r\n\n\r\n")?;
    }
}
