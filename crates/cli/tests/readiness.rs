//! A process that starts while discovery is no help is ready soon by the list that it was started with.

mod loopback;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use loopback::*;

/// A restarted process is to be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(6);

/// What discovery does.
#[derive(Debug, Clone, Copy)]
enum Does {
    /// Nobody listens.
    RefusesConnections,
    /// Connections come up, and nothing is said.
    Hangs,
    /// Connections do not come up.
    IsOutOfReach,
    /// Connections are reset.
    Resets,
    /// Calls are turned away at once.
    TurnsAway,
    /// Calls are turned away after they have waited.
    TurnsAwayLate,
    /// Watches are opened and say nothing.
    OpensInSilence,
    /// Watches are opened and begin a list that does not end.
    Dribbles,
}

const ALL: [Does; 8] = [
    Does::RefusesConnections,
    Does::Hangs,
    Does::IsOutOfReach,
    Does::Resets,
    Does::TurnsAway,
    Does::TurnsAwayLate,
    Does::OpensInSilence,
    Does::Dribbles,
];

/// Starts such a discovery; where it is, and what keeps it up.
fn start(does: Does) -> (SocketAddr, Option<FullBacklogUpstream>) {
    match does {
        Does::RefusesConnections => return (free_address(), None),
        Does::IsOutOfReach => {
            let clogged = FullBacklogUpstream::new();
            return (clogged.address, Some(clogged));
        }
        _ => {}
    }
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let turned_away = b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n";
            let opens = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            match does {
                Does::Resets => {
                    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
                    continue;
                }
                Does::TurnsAway => drop(stream.write_all(turned_away)),
                Does::TurnsAwayLate => {
                    std::thread::spawn(move || {
                        std::thread::sleep(Duration::from_secs(2));
                        let _ = stream.write_all(turned_away);
                    });
                    continue;
                }
                Does::OpensInSilence => drop(stream.write_all(opens)),
                Does::Dribbles => {
                    let _ = stream.write_all(opens);
                    let _ = write_chunk(&mut stream, br#"{"seq":9,"whole":true,"hosts":["#);
                }
                Does::Hangs | Does::RefusesConnections | Does::IsOutOfReach => {}
            }
            open.push(stream);
        }
    });
    (address, None)
}

/// Guards against a start that waits for discovery: it has a list, and serves by it.
#[test]
fn a_process_is_ready_by_its_known_list_whatever_discovery_does() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let known = ready_server_list(&[&upstream]);
    for mode in ["automatic", "subscribe"] {
        let settings = SETTINGS.replace("automatic", mode);
        std::thread::scope(|scope| {
            for does in ALL {
                let (settings, known) = (&settings, &known);
                scope.spawn(move || {
                    let (address, _kept) = start(does);
                    let begun = Instant::now();
                    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", address, known, 1024, settings));
                    sidecar.wait_until_up();
                    let took = begun.elapsed();
                    assert!(took < READY_WITHIN, "{mode}, {does:?}: {took:?}");
                    let answer = Client::connect(sidecar.address).exchange("fetch");
                    assert_eq!(answer.status(), 200, "{mode}, {does:?}: it serves by the list");
                });
            }
        });
    }
}

/// Without a list it is not ready before discovery has told one, and is soon after.
#[test]
fn a_process_without_a_list_is_ready_soon_after_discovery_comes_back() {
    for mode in ["automatic", "subscribe"] {
        let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
        let settings =
            SETTINGS.replace("automatic", mode).replace(r#""must_ask_in":400.0"#, r#""must_ask_in":36e6"#);
        let address = free_address();
        let sidecar = Sidecar::start(&config_json("127.0.0.1:0", address, "null", 1024, &settings));
        std::thread::sleep(Duration::from_millis(2_500));
        let said = Client::connect(sidecar.address).get("/up").expect("an answer").status();
        assert_ne!(said, 200, "{mode}: it has no list");
        let line = ready_server_list(&[&upstream]);
        let listener = TcpListener::bind(address).unwrap();
        let begun = Instant::now();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                let _ = write_chunk(&mut stream, format!("{line}\n").as_bytes());
                std::mem::forget(stream);
            }
        });
        sidecar.wait_until_up();
        assert!(begun.elapsed() < READY_WITHIN, "{mode}: {:?}", begun.elapsed());
    }
}
