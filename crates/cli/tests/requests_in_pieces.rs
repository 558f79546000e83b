//! Requests that come in pieces, or wait in the kernel, while the process is told to end, to reload or to drain: each that was
//! taken gets one whole answer.

mod loopback;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use loopback::*;

/// What happens to the process in the middle of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Interruption {
    Nothing,
    Reload,
    Evacuation,
    Sigterm,
}

const INTERRUPTIONS: [Interruption; 4] =
    [Interruption::Nothing, Interruption::Reload, Interruption::Evacuation, Interruption::Sigterm];

/// A sidecar with a console, and what it was configured with.
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

    /// Has the interruption happen; it is in force when this returns.
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

    /// The end in order, whatever it was.
    fn end(mut self, interruption: Interruption) {
        if interruption == Interruption::Sigterm {
            assert!(self.sidecar.wait_for_exit().success());
        }
    }
}

/// A request whose second part is still to be written.
struct Half {
    client: Client,
    id: String,
    rest: Vec<u8>,
}

impl Half {
    /// Writes a request up to that byte.
    fn write(mut client: Client, class: &str, cut: usize) -> Half {
        let (id, text) = request_with_id(class, 6_000);
        client.write(&text.as_bytes()[..cut]);
        Half { client, id, rest: text.as_bytes()[cut..].to_vec() }
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

/// Served, or refused for want of room: a whole answer that harms nobody.
fn assert_answered(answer: Option<Message>, what: &str) -> bool {
    let answer = answer.unwrap_or_else(|| panic!("{what}: no answer"));
    assert!(matches!(answer.status(), 200 | 503), "{what}: {}", answer.start_line);
    answer.status() == 200
}

/// One connection for every cut of a request, new ones and used ones, all in the middle of it when the process is interrupted.
#[test]
fn a_request_cut_anywhere_is_answered_whatever_happens_in_between() {
    let length = request("log", 6_000).len();
    for interruption in INTERRUPTIONS {
        let fixture = Fixture::new();
        let address = fixture.sidecar.address;
        let used = (1..length).step_by(4).map(|cut| (cut, used_client(address))).collect::<Vec<_>>();
        let new = (1..length).map(|cut| (cut, Client::connect(address)));
        let halves: Vec<(usize, Half)> =
            used.into_iter().chain(new).map(|(cut, client)| (cut, Half::write(client, "log", cut))).collect();
        // In the same moment, read by the process or not.
        fixture.interrupt(interruption);
        std::thread::sleep(Duration::from_millis(100));
        let served = halves
            .into_iter()
            .map(|(cut, half)| assert_answered(half.finish(), &format!("{interruption:?}, cut at {cut}")))
            .filter(|served| *served)
            .count();
        assert!(served > length / 2, "{interruption:?}: {served} served");
        fixture.end(interruption);
    }
}

/// Byte by byte, with the interruption in the head and in the body.
#[test]
fn a_request_that_comes_byte_by_byte_is_answered_whatever_happens_in_between() {
    for interruption in INTERRUPTIONS {
        let fixture = Fixture::new();
        let address = fixture.sidecar.address;
        let (head_cut, body_cut) = (40, request("bill", 6_000).len() - 2);
        let mut halves: Vec<Half> =
            [("fetch", head_cut), ("log", head_cut), ("bill", head_cut), ("bill", body_cut)]
                .into_iter()
                .flat_map(|(class, cut)| {
                    [(class, cut, Client::connect(address)), (class, cut, used_client(address))]
                })
                .map(|(class, cut, client)| {
                    let mut half = Half::write(client, class, 0);
                    for byte in half.rest.drain(..cut).collect::<Vec<u8>>() {
                        half.client.write(&[byte]);
                    }
                    half
                })
                .collect();
        fixture.interrupt(interruption);
        let longest = halves.iter().map(|half| half.rest.len()).max().unwrap_or(0);
        for _ in 1..longest {
            for half in halves.iter_mut().filter(|half| half.rest.len() > 1) {
                let byte = half.rest.remove(0);
                half.client.write(&[byte]);
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        for half in halves {
            assert_answered(half.finish(), &format!("{interruption:?}"));
        }
        fixture.end(interruption);
    }
}

/// While the process stands still: requests in the accept queue, whole, cut and pipelined, and on connections that rest. Then it
/// hears of the interruption and of all of them at once.
#[test]
fn what_waits_in_the_kernel_when_the_process_is_interrupted_is_answered() {
    for interruption in [Interruption::Reload, Interruption::Evacuation, Interruption::Sigterm] {
        let fixture = Fixture::new();
        let address = fixture.sidecar.address;
        let resting: Vec<Client> = (0..20).map(|_| used_client(address)).collect();
        fixture.sidecar.suspend();
        let whole = request("log", 6_000).len();
        let rested: Vec<Half> = resting.into_iter().map(|client| Half::write(client, "log", whole)).collect();
        let queued: Vec<Half> = (0..40)
            .map(|number| {
                Half::write(Client::connect(address), "log", if number % 2 == 0 { whole } else { 70 })
            })
            .collect();
        let mut pipelined: Vec<Client> = (0..10).map(|_| Client::connect(address)).collect();
        for client in &mut pipelined {
            let two = [request("log", 6_000), request("fetch", 6_000)].concat();
            client.write(two.as_bytes());
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
        for (place, half) in
            rested.into_iter().map(|h| ("resting", h)).chain(queued.into_iter().map(|h| ("queued", h)))
        {
            assert_answered(half.finish(), &format!("{interruption:?}, {place}"));
        }
        for client in &mut pipelined {
            for number in 0..2 {
                assert_answered(client.read_answer(), &format!("{interruption:?}, pipelined {number}"));
            }
        }
        assert!(
            operator
                .is_none_or(|mut operator| operator.read_answer().is_some_and(|said| said.status() == 200))
        );
        fixture.end(interruption);
    }
}

/// How a request that came near the end of the process fared.
#[derive(Debug, PartialEq)]
enum Fate {
    /// One whole answer.
    Answered,
    /// The connection had been closed before the last byte was written: nothing was taken.
    ClosedBefore,
    /// The last byte was written, and no answer came.
    Lost,
}

/// The last byte comes when the time of the process is almost up, or is up: it is answered, or its connection had been closed
/// before, 40 ms ahead of the end. A process that is held up right there must not end on requests that wait in its sockets.
#[test]
fn a_request_that_ends_with_the_process_is_answered_or_not_taken() {
    /// What comes within this before the end cannot be served any more, and is told so.
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
    let halves: Vec<Half> =
        (0..150).map(|_| Half::write(Client::connect(sidecar.address), "log", cut)).collect();
    std::thread::sleep(Duration::from_millis(50));
    sidecar.signal("-TERM");
    sidecar.wait_for_log("SIGTERM");
    let begun = Instant::now();
    // The longest deadline, and 640 ms more.
    let exit = std::thread::spawn(move || {
        while sidecar.child.try_wait().unwrap().is_none() {
            std::thread::sleep(Duration::from_micros(500));
            assert!(begun.elapsed() < WAIT_TIMEOUT);
        }
        (Instant::now(), sidecar)
    });
    let writers: Vec<_> = halves
        .into_iter()
        .enumerate()
        .map(|(number, half)| {
            std::thread::spawn(move || {
                let at = begun + Duration::from_millis(450 + 3 * number as u64);
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                half.client.reader.get_ref().set_nonblocking(true).unwrap();
                let closed = !matches!(
                    half.client.reader.get_ref().peek(&mut [0; 1]),
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock
                );
                half.client.reader.get_ref().set_nonblocking(false).unwrap();
                let written = Instant::now();
                let fate = match (closed, half.finish()) {
                    (true, _) => Fate::ClosedBefore,
                    (false, Some(_)) => Fate::Answered,
                    (false, None) => Fate::Lost,
                };
                (written, fate)
            })
        })
        .collect();
    let fates: Vec<(Instant, Fate)> = writers.into_iter().map(|writer| writer.join().unwrap()).collect();
    let (exit, _sidecar) = exit.join().unwrap();
    let of = |fate: Fate| fates.iter().filter(|(_, found)| *found == fate).count();
    let lost: Vec<Duration> = fates
        .iter()
        .filter(|(_, fate)| *fate == Fate::Lost)
        .map(|(written, _)| exit.saturating_duration_since(*written))
        .collect();
    println!(
        "{:?} after SIGTERM it ended: {} answered, {} closed before, lost so long before the end: {lost:?}",
        exit - begun,
        of(Fate::Answered),
        of(Fate::ClosedBefore),
    );
    assert!(of(Fate::Answered) > 20 && of(Fate::ClosedBefore) > 0, "both were tried");
    assert!(lost.is_empty(), "lost so long before the end: {lost:?}");
}

// --- Eviction -------------------------------------------------------------------------------------

/// Guards against closing a connection in the middle of a request for a newcomer while others rest and hold nothing.
#[test]
fn who_writes_slowly_is_not_evicted_while_others_are_idle() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let known = ready_server_list(&[&upstream]);
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 64, SETTINGS));
    sidecar.wait_until_up();
    let stop = AtomicBool::new(false);
    let length = request("log", 6_000).len();
    std::thread::scope(|scope| {
        let asked = scope.spawn(|| connect_repeatedly(sidecar.address, Duration::from_millis(15), &stop));
        let slow: Vec<_> = [40, length - 2]
            .map(|cut| {
                let address = sidecar.address;
                scope.spawn(move || {
                    let half = Half::write(Client::connect(address), "log", cut);
                    std::thread::sleep(Duration::from_millis(1_500));
                    half.finish().map(|answer| answer.status())
                })
            })
            .into_iter()
            .map(|writer| writer.join().unwrap())
            .collect();
        stop.store(true, Ordering::SeqCst);
        let asked = asked.join().unwrap();
        let answered = |status: &Option<u16>| matches!(status, Some(200 | 503));
        assert!(slow.iter().all(answered), "{slow:?}, beside {asked} newcomers");
    });
    let last = Client::connect(sidecar.address).exchange("fetch");
    assert!(matches!(last.status(), 200 | 503));
}
