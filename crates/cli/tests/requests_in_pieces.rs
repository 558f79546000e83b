//! Tests of requests that arrive in pieces, or wait in the kernel, while the process is told to terminate, reload or
//! evacuate: each accepted request gets one complete answer.

mod loopback;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use loopback::*;

/// An event that the process handles in the middle of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Interruption {
    Nothing,
    Reload,
    Evacuation,
    Sigterm,
}

const INTERRUPTIONS: [Interruption; 4] =
    [Interruption::Nothing, Interruption::Reload, Interruption::Evacuation, Interruption::Sigterm];

/// A sidecar with a console, and its configuration.
struct Fixture {
    sidecar: Sidecar,
    console: SocketAddr,
    config: String,
    _discovery: Discovery,
}

impl Fixture {
    fn new() -> Fixture {
        let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
        let known = ready_server_list(&[&upstream]);
        let (discovery, console) = (Discovery::new(&known), free_address());
        let text = config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS);
        let config = config_with_console(&text, &console.to_string());
        let sidecar = Sidecar::start(&config);
        sidecar.wait_until_up();
        Fixture { sidecar, console, config, _discovery: discovery }
    }

    /// Causes the interruption and waits until the process has handled it.
    fn interrupt(&self, interruption: Interruption) {
        match interruption {
            Interruption::Nothing => {}
            Interruption::Reload => {
                self.sidecar.reload(&self.config);
                self.sidecar.wait_for_log("SIGHUP: discovery is at");
            }
            Interruption::Evacuation => assert_eq!(call_console(self.console, "PUT", "/api/evacuate").0, 200),
            Interruption::Sigterm => {
                self.sidecar.signal("-TERM");
                self.sidecar.wait_for_log("SIGTERM");
            }
        }
    }

    /// Checks that the process exits with success if it was told to terminate.
    fn finish(mut self, interruption: Interruption) {
        if interruption == Interruption::Sigterm {
            assert!(self.sidecar.wait_for_exit().success());
        }
    }
}

/// A request of which only the first part has been written.
struct PartialRequest {
    client: Client,
    id: String,
    rest: Vec<u8>,
}

impl PartialRequest {
    /// Writes the first `cut` bytes of a request.
    fn write(mut client: Client, class: &str, cut: usize) -> PartialRequest {
        let (id, text) = request_with_id(class, 6_000);
        client.write(&text.as_bytes()[..cut]);
        PartialRequest { client, id, rest: text.as_bytes()[cut..].to_vec() }
    }

    /// Writes the rest and reads the answer.
    fn finish(mut self) -> Option<Message> {
        self.client.write(&self.rest);
        let answer = self.client.read_answer();
        answer.iter().for_each(|answer| judge::record_answer(&self.id, answer.status()));
        answer
    }
}

/// A client whose connection has carried a request before.
fn used_client(address: SocketAddr) -> Client {
    let mut client = Client::connect(address);
    assert!(matches!(client.exchange("fetch").status(), 200 | 503));
    client
}

/// Checks that a request was served, or refused for lack of capacity. Returns whether it was served.
fn assert_answered(answer: Option<Message>, context: &str) -> bool {
    let answer = answer.unwrap_or_else(|| panic!("{context}: no answer"));
    assert!(matches!(answer.status(), 200 | 503), "{context}: {}", answer.start_line);
    answer.status() == 200
}

/// Guards against requests that are lost because the process is interrupted while it has read only a part of them: one
/// connection for every length of that part, on new and on used connections.
#[test]
fn request_split_at_any_byte_is_answered_after_every_interruption() {
    let length = request("log", 6_000).len();
    for interruption in INTERRUPTIONS {
        let fixture = Fixture::new();
        let address = fixture.sidecar.address;
        let used = (1..length).step_by(4).map(|cut| (cut, used_client(address))).collect::<Vec<_>>();
        let new = (1..length).map(|cut| (cut, Client::connect(address)));
        let partial_requests: Vec<(usize, PartialRequest)> = used
            .into_iter()
            .chain(new)
            .map(|(cut, client)| (cut, PartialRequest::write(client, "log", cut)))
            .collect();
        // The process may or may not have read these parts.
        fixture.interrupt(interruption);
        std::thread::sleep(Duration::from_millis(100));
        let served = partial_requests
            .into_iter()
            .map(|(cut, partial)| {
                assert_answered(partial.finish(), &format!("{interruption:?}, cut at {cut}"))
            })
            .filter(|served| *served)
            .count();
        assert!(served > length / 2, "{interruption:?}: {served} served");
        fixture.finish(interruption);
    }
}

/// Guards against requests that are lost because they arrive byte by byte, with the interruption in the head or in the body.
#[test]
fn request_sent_byte_by_byte_is_answered_after_every_interruption() {
    for interruption in INTERRUPTIONS {
        let fixture = Fixture::new();
        let address = fixture.sidecar.address;
        let (head_cut, body_cut) = (40, request("bill", 6_000).len() - 2);
        let mut partial_requests: Vec<PartialRequest> =
            [("fetch", head_cut), ("log", head_cut), ("bill", head_cut), ("bill", body_cut)]
                .into_iter()
                .flat_map(|(class, cut)| {
                    [(class, cut, Client::connect(address)), (class, cut, used_client(address))]
                })
                .map(|(class, cut, client)| {
                    let mut partial = PartialRequest::write(client, class, 0);
                    for byte in partial.rest.drain(..cut).collect::<Vec<u8>>() {
                        partial.client.write(&[byte]);
                    }
                    partial
                })
                .collect();
        fixture.interrupt(interruption);
        let longest = partial_requests.iter().map(|partial| partial.rest.len()).max().unwrap_or(0);
        for _ in 1..longest {
            for partial in partial_requests.iter_mut().filter(|partial| partial.rest.len() > 1) {
                let byte = partial.rest.remove(0);
                partial.client.write(&[byte]);
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        for partial in partial_requests {
            assert_answered(partial.finish(), &format!("{interruption:?}"));
        }
        fixture.finish(interruption);
    }
}

/// Guards against requests that are lost because they and the interruption come while the process is suspended: it resumes
/// with requests in the accept queue (complete, partial and pipelined) and on idle connections.
#[test]
fn requests_waiting_in_the_kernel_during_an_interruption_are_answered() {
    for interruption in [Interruption::Reload, Interruption::Evacuation, Interruption::Sigterm] {
        let fixture = Fixture::new();
        let address = fixture.sidecar.address;
        let idle: Vec<Client> = (0..20).map(|_| used_client(address)).collect();
        fixture.sidecar.suspend();
        let length = request("log", 6_000).len();
        let on_idle: Vec<PartialRequest> =
            idle.into_iter().map(|client| PartialRequest::write(client, "log", length)).collect();
        let queued: Vec<PartialRequest> = (0..40)
            .map(|number| {
                PartialRequest::write(
                    Client::connect(address),
                    "log",
                    if number % 2 == 0 { length } else { 70 },
                )
            })
            .collect();
        let mut pipelined: Vec<Client> = (0..10).map(|_| Client::connect(address)).collect();
        for client in &mut pipelined {
            let two_requests = [request("log", 6_000), request("fetch", 6_000)].concat();
            client.write(two_requests.as_bytes());
        }
        let mut operator = None;
        match interruption {
            Interruption::Sigterm => fixture.sidecar.signal("-TERM"),
            Interruption::Evacuation => {
                let mut client = Client::connect(fixture.console);
                client.write(b"PUT /api/evacuate HTTP/1.1\r\nHost: console\r\n\r\n");
                operator = Some(client);
            }
            _ => fixture.sidecar.reload(&fixture.config),
        }
        std::thread::sleep(Duration::from_millis(300));
        fixture.sidecar.signal("-CONT");
        for (place, partial) in on_idle
            .into_iter()
            .map(|partial| ("idle connection", partial))
            .chain(queued.into_iter().map(|partial| ("accept queue", partial)))
        {
            assert_answered(partial.finish(), &format!("{interruption:?}, {place}"));
        }
        for client in &mut pipelined {
            for number in 0..2 {
                assert_answered(client.read_answer(), &format!("{interruption:?}, pipelined {number}"));
            }
        }
        assert!(
            operator.is_none_or(|mut operator| operator
                .read_answer()
                .is_some_and(|answer| answer.status() == 200))
        );
        fixture.finish(interruption);
    }
}

/// The outcome of a request that came close to the exit of the process.
#[derive(Debug, PartialEq)]
enum RequestOutcome {
    /// One complete answer.
    Answered,
    /// The connection was closed before the last byte was written, so the request was not accepted.
    ClosedBefore,
    /// The last byte was written, but no answer came.
    Lost,
}

/// Guards against a process that exits while requests wait in its sockets, for example because it is held up just before the
/// exit. The last byte of each request comes close to the exit: the request is answered, or its connection was closed before,
/// 40 ms ahead of the exit.
#[test]
fn request_completed_near_the_exit_is_answered_or_not_accepted() {
    /// A request that comes later than this before the exit cannot be served, and is answered so.
    const SERVICE_TIME: Duration = Duration::from_millis(80);
    let settings = SETTINGS.replace(r#""aim":3000.0"#, r#""aim":60.0"#).replace("8000.0", "90.0");
    let upstream = Upstream::new(|_| {
        ScriptedResponse::custom(|stream| {
            std::thread::sleep(SERVICE_TIME);
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved").is_ok()
        })
    });
    let (mut sidecar, _discovery) = Sidecar::start_with_settings(&[&upstream], &settings);
    let cut = request("log", 6_000).len() - 1;
    let partial_requests: Vec<PartialRequest> =
        (0..150).map(|_| PartialRequest::write(Client::connect(sidecar.address), "log", cut)).collect();
    std::thread::sleep(Duration::from_millis(50));
    sidecar.signal("-TERM");
    sidecar.wait_for_log("SIGTERM");
    let signalled_at = Instant::now();
    // The process exits after the longest deadline and 640 ms more.
    let exit = std::thread::spawn(move || {
        while sidecar.child.try_wait().unwrap().is_none() {
            std::thread::sleep(Duration::from_micros(500));
            assert!(signalled_at.elapsed() < WAIT_TIMEOUT);
        }
        (Instant::now(), sidecar)
    });
    let writers: Vec<_> = partial_requests
        .into_iter()
        .enumerate()
        .map(|(number, partial)| {
            std::thread::spawn(move || {
                let write_at = signalled_at + Duration::from_millis(450 + 3 * number as u64);
                std::thread::sleep(write_at.saturating_duration_since(Instant::now()));
                partial.client.reader.get_ref().set_nonblocking(true).unwrap();
                let is_closed = !matches!(
                    partial.client.reader.get_ref().peek(&mut [0; 1]),
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock
                );
                partial.client.reader.get_ref().set_nonblocking(false).unwrap();
                let written_at = Instant::now();
                let outcome = match (is_closed, partial.finish()) {
                    (true, _) => RequestOutcome::ClosedBefore,
                    (false, Some(_)) => RequestOutcome::Answered,
                    (false, None) => RequestOutcome::Lost,
                };
                (written_at, outcome)
            })
        })
        .collect();
    let outcomes: Vec<(Instant, RequestOutcome)> =
        writers.into_iter().map(|writer| writer.join().unwrap()).collect();
    let (exited_at, _sidecar) = exit.join().unwrap();
    let count =
        |expected: RequestOutcome| outcomes.iter().filter(|(_, outcome)| *outcome == expected).count();
    let lost: Vec<Duration> = outcomes
        .iter()
        .filter(|(_, outcome)| *outcome == RequestOutcome::Lost)
        .map(|(written_at, _)| exited_at.saturating_duration_since(*written_at))
        .collect();
    println!(
        "exit {:?} after SIGTERM: {} answered, {} closed before, times from the last byte of lost requests to the exit: {lost:?}",
        exited_at - signalled_at,
        count(RequestOutcome::Answered),
        count(RequestOutcome::ClosedBefore),
    );
    assert!(
        count(RequestOutcome::Answered) > 20 && count(RequestOutcome::ClosedBefore) > 0,
        "requests came both before and after the connections were closed"
    );
    assert!(lost.is_empty(), "times from the last byte of lost requests to the exit: {lost:?}");
}

// --- Eviction -------------------------------------------------------------------------------------

/// Guards against evicting a connection in the middle of a request for a new connection while others are idle.
#[test]
fn connection_with_a_partial_request_is_not_evicted_while_others_are_idle() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let known = ready_server_list(&[&upstream]);
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 64, SETTINGS));
    sidecar.wait_until_up();
    let stop = AtomicBool::new(false);
    let length = request("log", 6_000).len();
    std::thread::scope(|scope| {
        let crowd = scope.spawn(|| connect_repeatedly(sidecar.address, Duration::from_millis(15), &stop));
        let statuses: Vec<_> = [40, length - 2]
            .map(|cut| {
                let address = sidecar.address;
                scope.spawn(move || {
                    let partial = PartialRequest::write(Client::connect(address), "log", cut);
                    std::thread::sleep(Duration::from_millis(1_500));
                    partial.finish().map(|answer| answer.status())
                })
            })
            .into_iter()
            .map(|writer| writer.join().unwrap())
            .collect();
        stop.store(true, Ordering::SeqCst);
        let crowd_requests = crowd.join().unwrap();
        let is_answered = |status: &Option<u16>| matches!(status, Some(200 | 503));
        assert!(
            statuses.iter().all(is_answered),
            "{statuses:?}, beside {crowd_requests} requests on new connections"
        );
    });
    let last_answer = Client::connect(sidecar.address).exchange("fetch");
    assert!(matches!(last_answer.status(), 200 | 503));
}
