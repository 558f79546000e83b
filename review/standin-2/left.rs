//! A client sends many commands at once and leaves. Does an attempt begin after that?

use std::collections::HashSet;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Instant;

use crate::harness::*;

const ROUNDS: usize = 6;
/// Errata entries behind the first command, each with this body.
const BEHIND: usize = 150;
const BODY_BYTES: usize = 4_000;
/// An attempt may begin 0.1 s after the close; every limit is 50 ms longer on sockets.
const LIMIT_MS: f64 = 100.0 + 50.0;

pub fn run(case: &Case, world: &World) -> Result<bool, String> {
    // The first attempt of each draft-save is reset under way.
    let seen = Mutex::new(HashSet::new());
    let behaviour: Behaviour = Arc::new(move |request: &Arrived| {
        match request.class == "draft-save" && lock(&seen).insert(request.id.clone()) {
            true => Reply::Reset { after: ms(200) },
            false => Reply::Serve { after: ms(35) },
        }
    });
    let (_upstreams, hosts) = world.upstreams(8, &behaviour);
    let discovery = Discovery::start(hosts.clone(), world);
    let listen = free_address();
    let sidecar = case.sidecar("n1", &Deployment::new(listen, discovery.address, &hosts))?;
    sidecar.wait_until_up(listen)?;
    // A little usual traffic, so that the sidecar knows its upstreams.
    let mut usual = Connection::open(listen).map_err(|error| error.to_string())?;
    for _ in 0..20 {
        usual.send(request_text("page-fetch", &new_id(), 800, 0).as_bytes())?;
        usual.answer(ms(3_000)).map_err(|error| error.to_string())?;
    }
    let mut broken = 0;
    for round in 0..ROUNDS {
        let first = new_id();
        let mut ids = HashSet::from([first.clone()]);
        let mut text = request_text("draft-save", &first, 800, 0).into_bytes();
        for _ in 0..BEHIND {
            let id = new_id();
            text.extend(request_text("errata-log", &id, 300, BODY_BYTES).into_bytes());
            text.extend([b'x'; BODY_BYTES]);
            ids.insert(id);
        }
        let mut connection = Connection::open(listen).map_err(|error| error.to_string())?;
        let sent_at = world.record.clock.now();
        let written = send_at_once(&mut connection.stream, &text).map_err(|error| error.to_string())?;
        world.record.line(format!(
            "client {round}: sent draft-save {first} and {BEHIND} errata entries at once: {written} of {} bytes",
            text.len()
        ));
        let mut closed_at = f64::INFINITY;
        if case.trouble {
            drop(connection);
            closed_at = world.record.clock.now();
            world.record.line(format!(
                "client {round}: has closed its connection, {:.1} ms after it sent",
                closed_at - sent_at
            ));
            sleep(ms(1_500));
        } else {
            // It stays and reads some of its answers.
            for _ in 0..5 {
                let (head, _) = connection.answer(ms(3_000)).map_err(|error| error.to_string())?;
                world.record.line(format!("client {round}: {}", head.first));
            }
            sleep(ms(300));
        }
        for attempt in lock(&world.arrived).iter().filter(|attempt| ids.contains(&attempt.id)) {
            let after = attempt.head_at - closed_at;
            if after > LIMIT_MS {
                broken += 1;
                world.record.line(format!(
                    "client {round}: BROKEN: an attempt of {} {} began {after:.0} ms after the close",
                    attempt.class, attempt.id
                ));
            }
        }
    }
    world
        .record
        .line(format!("result: {broken} attempts began more than {LIMIT_MS} ms after their client had left"));
    Ok(broken == 0)
}

/// Writes as much as the kernel takes within 30 ms. Returns how much that is.
fn send_at_once(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<usize> {
    stream.set_nonblocking(true)?;
    let until = Instant::now() + ms(30);
    let mut written = 0;
    while written < text.len() && Instant::now() < until {
        match stream.write(&text[written..]) {
            Ok(bytes) => written += bytes,
            Err(error) if error.kind() == ErrorKind::WouldBlock => sleep(ms(1)),
            Err(error) => return Err(error),
        }
    }
    stream.set_nonblocking(false)?;
    Ok(written)
}
