//! A change arrives with one byte wrong, so that its entry cannot be read. Is the drain kept?

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::sleep;

use crate::harness::*;

/// What discovery has to tell counts as told this much later, whether or not it arrived.
const TOLD_MS: f64 = 6_000.0;
/// The settings' grace; every limit is 50 ms longer on sockets.
const GRACE_MS: f64 = 2_000.0 + 50.0;
const CLIENTS: usize = 8;

pub fn run(case: &Case, world: &World) -> Result<bool, String> {
    let behaviour: Behaviour = Arc::new(|_: &Arrived| Reply::Serve { after: ms(35) });
    let (upstreams, hosts) = world.upstreams(9, &behaviour);
    let discovery = Discovery::start(hosts.clone(), world);
    let listen = free_address();
    let sidecar = case.sidecar("n1", &Deployment::new(listen, discovery.address, &hosts))?;
    sidecar.wait_until_up(listen)?;
    let answers = [Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0))];
    let clients: Vec<_> =
        (0..CLIENTS).map(|number| usual_client(number, listen, &answers, world, "page-fetch")).collect();
    sleep(ms(2_000));
    let draining = 2;
    let spoilt = case.trouble.then_some(("draining", "dra?ning"));
    let changed_at = discovery.change(upstreams[draining].host("draining"), spoilt);
    sleep(ms(14_000));
    world.stop.set();
    clients.into_iter().for_each(|client| drop(client.join()));
    let limit = changed_at + TOLD_MS + GRACE_MS;
    let arrived = lock(&world.arrived);
    let sends: Vec<f64> = arrived
        .iter()
        .filter(|request| request.upstream == draining)
        .map(|request| request.head_at)
        .collect();
    let late = sends.iter().filter(|at| **at > limit).count();
    let last = sends.last().copied().unwrap_or(0.0) - changed_at;
    let [served, other] = answers.map(|count| count.load(Ordering::SeqCst));
    world.record.line(format!(
        "result: {served} served, {other} not; u{draining} began to drain at {changed_at:.0} ms; its last new request \
         came {last:.0} ms after that; {late} came later than {:.0} ms after it",
        TOLD_MS + GRACE_MS
    ));
    Ok(late == 0)
}
