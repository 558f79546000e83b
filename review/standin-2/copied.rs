//! A bad client copies the id of a copy-bill whose long answer is on its way. Does the id go out a second time?

use std::collections::{HashMap, HashSet};
use std::io::{Read, Write};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::harness::*;

const ROUNDS: usize = 3;
/// Answers of up to 32 MB occur.
const ANSWER_BYTES: usize = 16 << 20;
/// A client reads slowly: this much every 0.1 s, so 64 kB a second.
const READ_BYTES: usize = 6_400;

pub fn run(case: &Case, world: &World) -> Result<bool, String> {
    // The first time that an id comes, its answer is long; when the last byte of it was written is kept.
    let seen = Mutex::new(HashSet::new());
    let written: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let (shared, record) = (written.clone(), world.record.clone());
    let behaviour: Behaviour = Arc::new(move |request: &Arrived| {
        if request.class != "copy-bill" || !lock(&seen).insert(request.id.clone()) {
            return Reply::Serve { after: ms(60) };
        }
        let (id, upstream, written, record) =
            (request.id.clone(), request.upstream, shared.clone(), record.clone());
        Reply::Custom {
            after: ms(60),
            act: Box::new(move |stream, _| {
                record.line(format!("u{upstream}: ran {id}, writes its answer of {ANSWER_BYTES} bytes"));
                write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n")?;
                let line = body_for(&id, upstream);
                let piece = line.repeat((64 << 10) / line.len());
                let mut left = ANSWER_BYTES;
                while left > 0 {
                    let length = left.min(piece.len());
                    stream.write_all(&piece.as_bytes()[..length])?;
                    left -= length;
                }
                lock(&written).insert(id, record.clock.now());
                Ok(())
            }),
        }
    });
    let (_upstreams, hosts) = world.upstreams(8, &behaviour);
    let discovery = Discovery::start(hosts.clone(), world);
    let listen = free_address();
    let sidecar = case.sidecar("n1", &Deployment::new(listen, discovery.address, &hosts))?;
    sidecar.wait_until_up(listen)?;
    let (mut twice, mut served) = (0, 0);
    for round in 0..ROUNDS {
        let id = new_id();
        let mut usual = Connection::open(listen).map_err(|error| error.to_string())?;
        let mut text = request_text("copy-bill", &id, 800, 20).into_bytes();
        text.extend(b"a bill for copies: 3");
        world.record.line(format!("client {round}: sends copy-bill {id}"));
        usual.send(&text)?;
        let mut read = read_slowly(&mut usual, ms(1_000))?;
        if case.trouble {
            let mut bad = Connection::open(listen).map_err(|error| error.to_string())?;
            let mut text = request_text("copy-bill", &id, 800, 20).into_bytes();
            text.extend(b"a bill for copies: 9");
            world.record.line(format!("bad client {round}: sends a copy-bill with the same id"));
            bad.send(&text)?;
            // It is owed an error or a close.
            let answer = bad.answer(ms(3_000)).map(|(head, _)| head);
            let what = answer.as_ref().map_or_else(|error| error.to_string(), |head| head.first.clone());
            let is_served = answer.is_ok_and(|head| head.status() == 200);
            served += usize::from(is_served);
            world.record.line(format!(
                "bad client {round}: {what}{}",
                if is_served { ": BROKEN, it is served" } else { "" }
            ));
        }
        read += read_slowly(&mut usual, ms(1_500))?;
        world.record.line(format!("client {round}: has read {read} bytes of its answer, which goes on"));
        let finished_at = lock(&written).get(&id).copied().unwrap_or(f64::INFINITY);
        let arrived = lock(&world.arrived);
        for second in arrived.iter().filter(|request| request.id == id).skip(1) {
            if second.head_at < finished_at {
                twice += 1;
                world.record.line(format!(
                    "round {round}: BROKEN: {id} went to u{} while its first attempt was out on an open connection",
                    second.upstream
                ));
            }
        }
    }
    world.record.line(format!(
        "result: {twice} of {ROUNDS} ids went out a second time while the first attempt was out; {served} bad clients \
         were served"
    ));
    Ok(twice == 0 && served == 0)
}

/// Reads for so long at a slow reader's pace. Returns how much.
fn read_slowly(connection: &mut Connection, time: Duration) -> Result<usize, String> {
    let until = Instant::now() + time;
    let mut read = 0;
    let mut piece = vec![0; READ_BYTES];
    connection.stream.set_read_timeout(Some(ms(1_000))).map_err(|error| error.to_string())?;
    while Instant::now() < until {
        match connection.reader.read(&mut piece) {
            Ok(0) => return Err("the long answer ended early".to_owned()),
            Ok(bytes) => read += bytes,
            Err(error) => return Err(format!("the long answer cannot be read: {error}")),
        }
        sleep(ms(100));
    }
    Ok(read)
}
