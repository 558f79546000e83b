//! Two changes arrive with one byte wrong each, so that their entries cannot be read. Are the drains kept?

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::sleep;

use crate::harness::*;

/// What discovery has to tell counts as told this much later, whether or not it arrived.
const TOLD_MS: f64 = 6_000.0;
/// The settings' grace; every limit is 50 ms longer on sockets.
const GRACE_MS: f64 = 2_000.0 + 50.0;
/// Two of nine upstreams drain, and are switched off so long after that.
const DRAINING: [usize; 2] = [2, 5];
const OFF_MS: u64 = 12_000;
/// Together some 300 requests a second.
const CLIENTS: usize = 30;

pub fn run(case: &Case, world: &World) -> Result<bool, String> {
    let behaviour: Behaviour = Arc::new(|_: &Arrived| Reply::Serve { after: ms(60) });
    let (upstreams, hosts) = world.upstreams(9, &behaviour);
    let discovery = Discovery::start(hosts.clone(), world);
    let listen = free_address();
    let sidecar = case.sidecar("n1", &Deployment::new(listen, discovery.address, &hosts))?;
    sidecar.wait_until_up(listen)?;
    let answers = [Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0))];
    let class = |number: usize| if number % 2 == 0 { "page-fetch" } else { "copy-bill" };
    let clients: Vec<_> =
        (0..CLIENTS).map(|number| usual_client(number, listen, &answers, world, class(number))).collect();
    sleep(ms(2_000));
    let spoilt = case.trouble.then_some(("draining", "dra?ning"));
    let changed_at = DRAINING.map(|number| {
        let at = discovery.change(upstreams[number].host("draining"), spoilt);
        sleep(ms(250));
        at
    });
    sleep(ms(OFF_MS));
    for number in DRAINING {
        upstreams[number].switch_off();
        world.record.line(format!("operator: u{number} is switched off"));
        discovery.change(upstreams[number].host("gone"), None);
    }
    sleep(ms(1_500));
    world.stop.set();
    clients.into_iter().for_each(|client| drop(client.join()));
    let arrived = lock(&world.arrived);
    let mut late = 0;
    for (number, changed_at) in DRAINING.into_iter().zip(changed_at) {
        let limit = changed_at + TOLD_MS + GRACE_MS;
        let sends: Vec<f64> = arrived
            .iter()
            .filter(|request| request.upstream == number)
            .map(|request| request.head_at)
            .collect();
        let late_here = sends.iter().filter(|at| **at > limit).count();
        let last = sends.last().copied().unwrap_or(0.0) - changed_at;
        world.record.line(format!(
            "u{number} began to drain at {changed_at:.0} ms; its last new request came {last:.0} ms after that; \
             {late_here} came later than {:.0} ms after it",
            TOLD_MS + GRACE_MS
        ));
        late += late_here;
    }
    let bills: u64 = DRAINING.into_iter().map(|number| upstreams[number].cut_off.get("copy-bill")).sum();
    let [served, other] = answers.map(|count| count.load(Ordering::SeqCst));
    world.record.line(format!(
        "result: {served} served, {other} not; {late} requests went to draining upstreams too late; {bills} copy-bills \
         were at these when they were switched off, {:.0} s after their drain began",
        OFF_MS as f64 / 1e3
    ));
    Ok(late == 0)
}
