//! Some answers come with a second copy some milliseconds late. Does a client get another request's answer?

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::harness::*;

/// The share of answers that are followed by a second copy, and how late that is at most.
const SHARE: f64 = 0.03;
const LATE_MS: (f64, f64) = (0.2, 3.0);
/// One way, in microseconds: 0.099 to 0.34 ms in a building, 0.42 to 0.78 ms between the two.
const SAME_US: u64 = 300;
const CROSS_US: u64 = 700;
const UPSTREAMS: usize = 10;
/// Together some 300 requests a second.
const CLIENTS: usize = 24;
const THINK_MS: f64 = 40.0;
const WORK_MS: u64 = 35;
const SECONDS: u64 = 60;

pub fn run(case: &Case, world: &World) -> Result<bool, String> {
    let (trouble, record) = (case.trouble, world.record.clone());
    let (chance, copies) = (Mutex::new(Chance::new(7)), Arc::new(AtomicU64::new(0)));
    let counted = copies.clone();
    let behaviour: Behaviour = Arc::new(move |request: &Arrived| {
        let after = ms(WORK_MS);
        let late = {
            let mut chance = lock(&chance);
            (trouble && chance.unit() < SHARE).then(|| chance.between(LATE_MS.0, LATE_MS.1))
        };
        let Some(late) = late else { return Reply::Serve { after } };
        let (request, record, copies) = (request.clone(), record.clone(), counted.clone());
        Reply::Custom {
            after,
            act: Box::new(move |stream, answer| {
                stream.write_all(answer)?;
                sleep(Duration::from_secs_f64(late / 1e3));
                // A second answer comes only when nothing else waits on the connection.
                if !is_readable(stream) {
                    stream.write_all(answer)?;
                    copies.fetch_add(1, Ordering::SeqCst);
                    record.line(format!(
                        "u{}: answered {} a second time, {late:.2} ms after the first",
                        request.upstream, request.id
                    ));
                }
                Ok(())
            }),
        }
    });
    let upstreams: Vec<Upstream> =
        (0..UPSTREAMS).map(|number| world.upstream(number, behaviour.clone())).collect();
    // The network between: each upstream is reached through a relay that delays both directions.
    let hosts: Vec<Host> = upstreams
        .iter()
        .map(|upstream| {
            let is_near = upstream.number < UPSTREAMS / 2;
            let delay = Duration::from_micros(if is_near { SAME_US } else { CROSS_US });
            let zone = if is_near { "howard-ave" } else { "pass-road" };
            Host { dial: delaying_relay(upstream.address, delay), zone, ..upstream.host("ready") }
        })
        .collect();
    let discovery = Discovery::new(hosts.clone(), world);
    let service = discovery.serve();
    let listen = free_address();
    let sidecar = case.sidecar("n1", &Deployment::new(listen, service.address, &hosts))?;
    sidecar.wait_until_up(listen)?;
    let counts = Arc::new(Counts::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (counts, stop, record) = (counts.clone(), world.stop.clone(), world.record.clone());
            std::thread::spawn(move || client(number, listen, &counts, &stop, &record))
        })
        .collect();
    sleep(Duration::from_secs(SECONDS));
    world.stop.set();
    clients.into_iter().for_each(|client| drop(client.join()));
    let foreign = counts.get("foreign");
    world.record.line(format!(
        "result: {}; {} second copies; {foreign} clients got the answer of another request",
        counts.text(),
        copies.load(Ordering::SeqCst)
    ));
    Ok(foreign == 0)
}

fn client(
    number: usize,
    listen: std::net::SocketAddr,
    counts: &Counts,
    stop: &Stop,
    record: &Record,
) {
    let mut chance = Chance::new(number as u64 + 100);
    let mut kept: Option<Connection> = None;
    while !stop.is_set() {
        sleep(Duration::from_secs_f64(chance.exp(THINK_MS) / 1e3));
        let class = if chance.unit() < 0.8 { "page-fetch" } else { "copy-bill" };
        let id = new_id();
        let Some(mut connection) = kept.take().or_else(|| Connection::open(listen).ok()) else { continue };
        if connection.send(request_text(class, &id, 700, 0).as_bytes()).is_err() {
            continue;
        }
        match connection.answer(ms(3_000)) {
            Ok((head, body)) if head.status() == 200 => {
                let text = String::from_utf8_lossy(&body);
                let is_own = text.starts_with(&format!("answer for {id} "));
                counts.add(if is_own { "served" } else { "foreign" });
                if !is_own {
                    record.line(format!("client {number}: BROKEN: {class} {id} got 200 with {:?}", text.trim_end()));
                }
                kept = Some(connection);
            }
            Ok((head, _)) => {
                counts.add(&format!("status {}", head.status()));
                kept = Some(connection);
            }
            Err(_) => counts.add("no answer"),
        }
    }
}
