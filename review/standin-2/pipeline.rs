//! A client sends many commands at once on one connection. Does each get its final answer in its time?

use std::thread::sleep;

use crate::harness::*;

/// Commands that are sent at once, and how often.
const COMMANDS: usize = 30;
const ROUNDS: usize = 3;
/// A try is given up after 50 to 80% of the class's 1.2 s.
const TIMEOUT_MS: u64 = 800;
/// Up to half a second after its time an answer only earns nothing; every limit is 50 ms longer on sockets.
const LATE_MS: f64 = 500.0 + 50.0;
/// What an attempt tells its upstream may be more than what is left by this much.
const TOLD_SLACK_MS: f64 = 150.0 + 50.0;

pub fn run(case: &Case, world: &World) -> Result<bool, String> {
    // 44 to 80 ms of work at a core of speed 0.9: within the brief's figures for copy-bill.
    let behaviour: Behaviour = std::sync::Arc::new(|_: &Arrived| Reply::Serve { after: ms(70) });
    let (_upstreams, hosts) = world.upstreams(8, &behaviour);
    let discovery = Discovery::start(hosts.clone(), world);
    let listen = free_address();
    let sidecar = case.sidecar("n1", &Deployment::new(listen, discovery.address, &hosts))?;
    sidecar.wait_until_up(listen)?;
    let (mut late, mut answered, mut told_too_much) = (0, 0, 0);
    for round in 0..ROUNDS {
        let mut connection = Connection::open(listen).map_err(|error| error.to_string())?;
        let ids: Vec<String> = (0..COMMANDS).map(|_| new_id()).collect();
        let texts: Vec<String> = ids.iter().map(|id| request_text("copy-bill", id, TIMEOUT_MS, 0)).collect();
        let mut sent_at = world.record.clock.now();
        if case.trouble {
            world.record.line(format!("client: sends {COMMANDS} copy-bills at once (round {round})"));
            connection.send(texts.concat().as_bytes())?;
        }
        for (id, text) in ids.iter().zip(&texts) {
            if !case.trouble {
                sent_at = world.record.clock.now();
                world.record.line(format!("client: sends {id}"));
                connection.send(text.as_bytes())?;
            }
            let answer = connection.answer(ms(10_000));
            let took = world.record.clock.now() - sent_at;
            let is_late = took > TIMEOUT_MS as f64 + LATE_MS;
            let what = answer.as_ref().map_or_else(|error| error.to_string(), |(head, _)| head.first.clone());
            world.record.line(format!(
                "client: {id}: {what} after {took:.0} ms of {TIMEOUT_MS}{}",
                if is_late { ": LOST, later than half a second after its time" } else { "" }
            ));
            late += usize::from(is_late);
            if answer.is_err() {
                // What the sidecar has not read, the client would send again.
                let was_forwarded = lock(&world.arrived).iter().any(|arrived| arrived.id == *id);
                late += usize::from(was_forwarded && !is_late);
                break;
            }
            answered += 1;
            let left = |at: f64| sent_at + TIMEOUT_MS as f64 - at;
            let arrived = lock(&world.arrived);
            let attempts = arrived.iter().filter(|arrived| arrived.id == *id);
            told_too_much += attempts
                .filter(|attempt| attempt.timeout_ms as f64 > left(attempt.head_at).max(0.0) + TOLD_SLACK_MS)
                .count();
        }
        sleep(ms(200));
    }
    world.record.line(format!(
        "result: {answered} answered, {late} lost (answered later than {LATE_MS} ms after their time), \
         {told_too_much} attempts told their upstream more time than was left"
    ));
    Ok(late == 0)
}
