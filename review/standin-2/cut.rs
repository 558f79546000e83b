//! Long answers of no stated length are written slowly and pause once. Are they passed on whole?

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::sleep;

use crate::harness::*;

/// Each answer has 200 KiB, in chunks of 6,400 bytes every 80 ms, with one pause: 64 kB a second and more in all.
const ANSWER_BYTES: usize = 200 << 10;
const PIECE_BYTES: usize = 6_400;
const BETWEEN_MS: u64 = 80;
/// The pause comes after this many pieces, and takes this long: less than the 2 s that the pages name.
const PAUSE_AFTER: usize = 5;
const PAUSE_MS: u64 = 500;
/// A try is given up after 50 to 80% of the class's 1 s; over 64 KiB only the first bytes are timed.
const TIMEOUT_MS: u64 = 500;
const CLIENTS: usize = 6;
const ROUNDS: usize = 5;

pub fn run(case: &Case, world: &World) -> Result<bool, String> {
    let (trouble, record) = (case.trouble, world.record.clone());
    let ended_early = Arc::new(AtomicU64::new(0));
    let counted = ended_early.clone();
    let behaviour: Behaviour = Arc::new(move |request: &Arrived| {
        if request.class != "page-fetch" {
            return Reply::Serve { after: ms(60) };
        }
        let (request, record, counted) = (request.clone(), record.clone(), counted.clone());
        Reply::Custom {
            after: ms(30),
            act: Box::new(move |stream, _| {
                let result = write_slowly(stream, &request, trouble);
                if let Err(error) = &result {
                    counted.fetch_add(1, Ordering::SeqCst);
                    record.line(format!(
                        "u{}: {}: the sidecar has closed the connection under its answer: {error}",
                        request.upstream, request.id
                    ));
                } else {
                    record
                        .line(format!("u{}: {}: has written its whole answer", request.upstream, request.id));
                }
                result
            }),
        }
    });
    let (_upstreams, hosts) = world.upstreams(9, &behaviour);
    let discovery = Discovery::start(hosts.clone(), world);
    let listen = free_address();
    let sidecar = case.sidecar("n1", &Deployment::new(listen, discovery.address, &hosts))?;
    sidecar.wait_until_up(listen)?;
    let counts = Arc::new(Counts::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (counts, record) = (counts.clone(), world.record.clone());
            std::thread::spawn(move || {
                for _ in 0..ROUNDS {
                    fetch(number, listen, &counts, &record);
                    sleep(ms(50));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    sleep(ms(300));
    let cut = counts.get("cut");
    world.record.line(format!(
        "result: of {} answers: {}; {} upstreams could not write theirs to the end; {cut} were cut off while the \
         upstream still gave them",
        CLIENTS * ROUNDS,
        counts.text(),
        ended_early.load(Ordering::SeqCst)
    ));
    Ok(cut == 0)
}

fn write_slowly(stream: &mut std::net::TcpStream, request: &Arrived, trouble: bool) -> std::io::Result<()> {
    use std::io::Write;
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let line = body_for(&request.id, request.upstream);
    let text = line.repeat(ANSWER_BYTES / line.len() + 1);
    for (number, piece) in text.as_bytes()[..ANSWER_BYTES].chunks(PIECE_BYTES).enumerate() {
        if trouble && number == PAUSE_AFTER {
            sleep(ms(PAUSE_MS));
        }
        write!(stream, "{:x}\r\n", piece.len())?;
        stream.write_all(piece)?;
        stream.write_all(b"\r\n")?;
        sleep(ms(BETWEEN_MS));
    }
    stream.write_all(b"0\r\n\r\n")
}

fn fetch(number: usize, listen: std::net::SocketAddr, counts: &Counts, record: &Record) {
    let id = new_id();
    let Ok(mut connection) = Connection::open(listen) else { return counts.add("not connected") };
    let sent_at = record.clock.now();
    record.line(format!("client {number}: sends page-fetch {id}"));
    if connection.send(request_text("page-fetch", &id, TIMEOUT_MS, 0).as_bytes()).is_err() {
        return counts.add("not sent");
    }
    if connection.stream.set_read_timeout(Some(ms(15_000))).is_err() {
        return counts.add("not read");
    }
    let head = match read_head(&mut connection.reader) {
        Ok(Some(head)) => head,
        _ => return counts.add("no head"),
    };
    if head.status() != 200 {
        record.line(format!("client {number}: {id}: {}", head.first));
        return counts.add(&format!("status {}", head.status()));
    }
    let body = read_body(&mut connection.reader, &head, true);
    let took = record.clock.now() - sent_at;
    match body {
        Ok(body) if body.len() == ANSWER_BYTES => {
            record.line(format!("client {number}: {id}: 200, whole after {took:.0} ms"));
            counts.add("whole");
        }
        _ => {
            record.line(format!("client {number}: {id}: BROKEN: 200, cut off after {took:.0} ms"));
            counts.add("cut");
        }
    }
}
