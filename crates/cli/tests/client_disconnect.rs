//! Clients that disconnect just before a further attempt of their request begins: it is not sent, however they left and
//! whatever the attempt waited for.

mod loopback;

use std::io::Write;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use loopback::*;

/// How a client disconnects, if it does.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Disconnect {
    /// It stays: the further attempt is sent.
    Never,
    Close,
    EndOfSending,
    Reset,
}

const ALL: [Disconnect; 4] =
    [Disconnect::Never, Disconnect::Close, Disconnect::EndOfSending, Disconnect::Reset];

impl Disconnect {
    /// Disconnects; what is still to be held on to, if anything is.
    fn apply(self, client: Client) -> Option<Client> {
        let stream = client.reader.get_ref();
        match self {
            Disconnect::Never => Some(client),
            Disconnect::Close => None,
            Disconnect::EndOfSending => {
                stream.shutdown(Shutdown::Write).unwrap();
                Some(client)
            }
            Disconnect::Reset => {
                rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO)).unwrap();
                None
            }
        }
    }
}

/// An upstream that turns away each request that may run only once, when the test says so, and serves the others.
fn turns_away_on(signal: &Arc<AtomicUsize>) -> Upstream {
    let signal = signal.clone();
    Upstream::new(move |message| {
        if !message.start_line.starts_with("POST /bill") {
            return ScriptedResponse::ok("served");
        }
        let signal = signal.clone();
        ScriptedResponse::custom(move |stream| {
            wait_until("the test says so", || signal.load(Ordering::SeqCst) == 1);
            let answer = b"HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(answer).is_ok()
        })
    })
}

fn bills(upstream: &Upstream) -> usize {
    upstream.requests().iter().filter(|message| message.start_line.starts_with("POST /bill")).count()
}

/// Guards against a further attempt that takes the first one's word for the client's presence: while the process is held up
/// the first attempt is turned away and the client disconnects, so that it hears of both in one turn.
#[test]
fn who_disconnects_as_the_first_attempt_ends_gets_no_second_one() {
    for round in 0..3 {
        for disconnect in ALL {
            let signal = Arc::new(AtomicUsize::new(0));
            let upstreams = [0, 1].map(|_| turns_away_on(&signal));
            let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstreams[0], &upstreams[1]]);
            let came = || upstreams.iter().map(bills).sum::<usize>();
            let mut client = Client::connect(sidecar.address);
            client.send("bill", 6_000);
            wait_until("its first attempt is out", || came() == 1);
            sidecar.suspend();
            signal.store(1, Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(30));
            let client = disconnect.apply(client);
            std::thread::sleep(Duration::from_millis(30));
            sidecar.signal("-CONT");
            if disconnect == Disconnect::Never {
                assert_eq!(client.unwrap().read_answer().expect("an answer").status(), 503);
                assert!(came() > 1, "round {round}: who stays gets a further attempt");
                continue;
            }
            assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200);
            std::thread::sleep(Duration::from_millis(100));
            assert_eq!(came(), 1, "round {round}, {disconnect:?}: sent on after its client had gone");
        }
    }
}

/// The same where the further attempt waits for a connection that comes up a second or two late.
#[test]
fn who_disconnects_before_a_late_connection_comes_up_gets_no_second_attempt_over_it() {
    for disconnect in ALL {
        let signal = Arc::new(AtomicUsize::new(0));
        let (turns_away, slow, console) =
            (turns_away_on(&signal), FullBacklogUpstream::new(), free_address());
        let known = server_list(5, true, &[server_entry("a", turns_away.address, "ready")]);
        let discovery = Discovery::new(&known);
        let settings = SETTINGS
            .replace(r#""connect_timeout":2000.0"#, r#""connect_timeout":120000.0"#)
            .replace(r#""aim":3000.0"#, r#""aim":120000.0"#)
            .replace(r#""probes":true"#, r#""probes":false"#);
        let text = config_json("127.0.0.1:0", discovery.address, &known, 1024, &settings);
        let sidecar = Sidecar::start(&config_with_console(&text, &console.to_string()));
        sidecar.wait_until_up();
        let mut client = Client::connect(sidecar.address);
        client.send("bill", 100_000);
        wait_until("its first attempt is out", || bills(&turns_away) == 1);
        // The other upstream is known only now: the second attempt can go nowhere else.
        discovery.publish(&(server_list(6, false, &[server_entry("b", slow.address, "ready")]) + "\n"));
        std::thread::sleep(Duration::from_millis(200));
        signal.store(1, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(200));
        assert_eq!(telemetry(console)["in_progress"], 1, "it waits for its connection");
        sidecar.suspend();
        let written = slow.accept_connections();
        // The system connects for the process that is held up: the handshake is tried anew within a second or two.
        std::thread::sleep(Duration::from_millis(2_200));
        let client = disconnect.apply(client);
        std::thread::sleep(Duration::from_millis(20));
        sidecar.signal("-CONT");
        if disconnect == Disconnect::Never {
            assert_eq!(
                client.unwrap().read_answer().expect("an answer").body,
                b"slow",
                "who stays is served"
            );
            continue;
        }
        assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200);
        std::thread::sleep(Duration::from_millis(200));
        let written = written.lock().unwrap();
        assert!(written.iter().all(|line| !line.starts_with("POST /bill")), "{disconnect:?}: {written:?}");
        assert_eq!(bills(&turns_away), 1, "{disconnect:?}");
    }
}
