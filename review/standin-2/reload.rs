//! New configurations in quick succession while discovery is slow. Is a drain kept that falls among them?

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;

use crate::harness::*;

/// A change counts as told this much after discovery had it and could be reached, whatever failed before.
const TOLD_MS: f64 = 6_000.0;
/// The settings' grace; every limit is 50 ms longer on sockets.
const GRACE_MS: f64 = 900.0 + 50.0;
/// How long a call to discovery waits for its turn: it would fail after 2 s.
const TURN_MS: u64 = 1_800;
/// New configurations, and the time between them.
const CONFIGURATIONS: usize = 7;
const BETWEEN_MS: u64 = 1_500;
const CLIENTS: usize = 8;

pub fn run(case: &Case, world: &World) -> Result<bool, String> {
    let behaviour: Behaviour = Arc::new(|_: &Arrived| Reply::Serve { after: ms(15) });
    let (upstreams, hosts) = world.upstreams(10, &behaviour);
    let discovery = Discovery::new(hosts.clone(), world);
    let mut service = discovery.serve();
    let listen = free_address();
    let mut deployment = Deployment::new(listen, service.address, &hosts);
    deployment.settings = tide_ledger();
    let sidecar = case.sidecar("n1", &deployment)?;
    sidecar.wait_until_up(listen)?;
    let answers = Default::default();
    let clients: Vec<_> =
        (0..CLIENTS).map(|number| usual_client(number, listen, &answers, world, "quote")).collect();
    // The sidecar has its watch by then.
    sleep(ms(4_000));
    discovery.turn_ms.store(TURN_MS, Ordering::SeqCst);
    let draining = 2;
    let mut changed_at = None;
    for number in 0..CONFIGURATIONS {
        if case.trouble {
            let next = discovery.serve();
            deployment.discovery = next.address;
            case.configure("n1", &deployment).map_err(|error| error.to_string())?;
            world.record.line(format!("operator: new configuration {number}: discovery is at {}; SIGHUP", next.address));
            sidecar.signal(SIGHUP);
            service.close();
            service = next;
        }
        sleep(ms(50));
        if number == 0 {
            changed_at = Some(discovery.change(upstreams[draining].host("draining"), None));
        }
        sleep(ms(BETWEEN_MS - 50));
    }
    sleep(ms(4_000));
    world.stop.set();
    clients.into_iter().for_each(|client| drop(client.join()));
    let changed_at = changed_at.unwrap_or(0.0);
    let limit = changed_at + TOLD_MS + GRACE_MS;
    let arrived = lock(&world.arrived);
    let sends: Vec<f64> =
        arrived.iter().filter(|request| request.upstream == draining).map(|request| request.head_at).collect();
    let late = sends.iter().filter(|at| **at > limit).count();
    let last = sends.last().copied().unwrap_or(0.0) - changed_at;
    world.record.line(format!(
        "result: u{draining} began to drain at {changed_at:.0} ms; its last new request came {last:.0} ms after that; \
         {late} came later than {:.0} ms after it",
        TOLD_MS + GRACE_MS
    ));
    Ok(late == 0)
}
