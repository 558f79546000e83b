//! A sidecar that the operators have emptied is replaced by a new version under load. Does it stay empty?

use std::net::{Ipv4Addr, TcpListener};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::harness::*;

/// From this long after the call on, `/up` must not say yes before the drain ends.
const EMPTY_AFTER: Duration = ms(4_000 + 50);
/// The platform's yes to a new process is due within this.
const READY_WITHIN: Duration = ms(6_000);
/// SIGKILL comes the longest deadline and 0.7 s after SIGTERM.
const KILL_AFTER: Duration = ms(1_200 + 700);
const CLIENTS: usize = 4;

pub fn run(case: &Case, world: &World) -> Result<bool, String> {
    let behaviour: Behaviour = Arc::new(|_: &Arrived| Reply::Serve { after: ms(35) });
    let (_upstreams, hosts) = world.upstreams(9, &behaviour);
    let discovery = Discovery::new(hosts.clone(), world);
    let service = discovery.serve();
    // The platform holds the clients' listening socket.
    let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|error| error.to_string())?;
    let listen = socket.local_addr().map_err(|error| error.to_string())?;
    let mut deployment = Deployment::new(listen, service.address, &hosts);
    let first_console = free_address();
    deployment.console = Some(first_console);
    let first = case.sidecar_with("first", &deployment, Some(&socket))?;
    first.wait_until_up(listen)?;
    let answers = Default::default();
    let clients: Vec<_> =
        (0..CLIENTS).map(|number| usual_client(number, listen, &answers, world, "page-fetch")).collect();
    sleep(ms(1_500));
    world.stop.set();
    clients.into_iter().for_each(|client| drop(client.join()));
    let status = call(first_console, "PUT", "/api/evacuate");
    let called_at = Instant::now();
    world.record.line(format!("operator: PUT /api/evacuate at the first process: {status:?}"));
    if status.is_none_or(|status| status / 100 != 2) {
        return Err("the call to empty the sidecar failed".to_owned());
    }
    let mut second = None;
    if case.trouble {
        sleep(ms(1_000));
        let console = free_address();
        deployment.console = Some(console);
        let process = case.sidecar_with("second", &deployment, Some(&socket))?;
        world.record.line("operator: started the new version beside the old one");
        let until = Instant::now() + READY_WITHIN;
        while call(console, "GET", "/api/ready") != Some(200) {
            if Instant::now() > until {
                return Err("the new process has not become ready".to_owned());
            }
            sleep(ms(20));
        }
        world.record.line("operator: the new process says yes at /api/ready; SIGTERM to the old one");
        first.signal(SIGTERM);
        second = Some((process, console, Instant::now()));
    }
    // The front asks every 0.1 s; nobody has called /api/rejoin.
    let (mut broken, mut asked) = (0, 0);
    let mut killed = false;
    while called_at.elapsed() < EMPTY_AFTER + ms(3_000) {
        let up = get_up(listen);
        let since = called_at.elapsed();
        asked += 1;
        let is_broken = up == Some(200) && since > EMPTY_AFTER;
        world.record.line(format!(
            "front: GET /up {:.1} s after the call: {up:?}{}",
            since.as_secs_f64(),
            if is_broken { ": BROKEN, the answer is yes" } else { "" }
        ));
        broken += usize::from(is_broken);
        if let Some((_, _, ended_at)) = &second
            && !killed
            && ended_at.elapsed() > KILL_AFTER
        {
            first.signal(SIGKILL);
            killed = true;
        }
        sleep(ms(100));
    }
    // A client that the front sends here by that answer is served.
    if broken > 0
        && let Ok(mut connection) = Connection::open(listen)
    {
        let id = new_id();
        connection.send(request_text("page-fetch", &id, 800, 0).as_bytes())?;
        let answer = connection.answer(ms(3_000)).map(|(head, _)| head.first);
        world.record.line(format!("client: page-fetch {id}: {answer:?}"));
    }
    let console = second.as_ref().map_or(first_console, |(_, console, _)| *console);
    let rejoined = call(console, "PUT", "/api/rejoin");
    world.record.line(format!("operator: PUT /api/rejoin: {rejoined:?}"));
    world.record.line(format!("result: of {asked} answers at /up, {broken} were yes later than 4 s after the call"));
    Ok(broken == 0)
}
