//! Clients that disconnect just before a further attempt of their request begins: the attempt is not sent, for each way of
//! disconnecting and each event that the attempt waited for.

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
    /// The client stays connected, so that the further attempt is sent.
    Never,
    Close,
    ShutdownWrite,
    Reset,
}

const ALL_DISCONNECTS: [Disconnect; 4] =
    [Disconnect::Never, Disconnect::Close, Disconnect::ShutdownWrite, Disconnect::Reset];

impl Disconnect {
    /// Disconnects; returns the client if its socket must stay open.
    fn apply(self, client: Client) -> Option<Client> {
        let stream = client.reader.get_ref();
        match self {
            Disconnect::Never => Some(client),
            Disconnect::Close => None,
            Disconnect::ShutdownWrite => {
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

/// An upstream that answers `bill` requests as not processed once the test sets the signal, and serves all others.
fn refuse_bills_after(signal: &Arc<AtomicUsize>) -> Upstream {
    let signal = signal.clone();
    Upstream::new(move |message| {
        if !message.start_line.starts_with("POST /bill") {
            return ScriptedResponse::ok("served");
        }
        let signal = signal.clone();
        ScriptedResponse::custom(move |stream| {
            wait_until("the test sets the signal", || signal.load(Ordering::SeqCst) == 1);
            let answer = b"HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(answer).is_ok()
        })
    })
}

fn bill_count(upstream: &Upstream) -> usize {
    upstream.requests().iter().filter(|message| message.start_line.starts_with("POST /bill")).count()
}

/// Guards against a further attempt that relies on the client's presence during the first one: while the process is
/// suspended, the first attempt is refused and the client disconnects, so that the process receives both events at once.
#[test]
fn second_attempt_is_not_sent_when_client_disconnects_as_the_first_is_refused() {
    for round in 0..3 {
        for disconnect in ALL_DISCONNECTS {
            let signal = Arc::new(AtomicUsize::new(0));
            let upstreams = [0, 1].map(|_| refuse_bills_after(&signal));
            let (sidecar, _discovery) = Sidecar::start_with_upstreams(&[&upstreams[0], &upstreams[1]]);
            let attempt_count = || upstreams.iter().map(bill_count).sum::<usize>();
            let mut client = Client::connect(sidecar.address);
            client.send("bill", 6_000);
            wait_until("the first attempt is in flight", || attempt_count() == 1);
            sidecar.suspend();
            signal.store(1, Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(30));
            let client = disconnect.apply(client);
            std::thread::sleep(Duration::from_millis(30));
            sidecar.signal("-CONT");
            if disconnect == Disconnect::Never {
                assert_eq!(client.unwrap().read_answer().expect("an answer").status(), 503);
                assert!(attempt_count() > 1, "round {round}: a connected client gets a further attempt");
                continue;
            }
            assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200);
            std::thread::sleep(Duration::from_millis(100));
            assert_eq!(
                attempt_count(),
                1,
                "round {round}, {disconnect:?}: sent after its client had disconnected"
            );
        }
    }
}

/// Guards against a further attempt for a disconnected client when the attempt waits for a connection that is established a
/// second or two late.
#[test]
fn second_attempt_is_not_sent_on_late_connection_when_client_has_disconnected() {
    for disconnect in ALL_DISCONNECTS {
        let signal = Arc::new(AtomicUsize::new(0));
        let (refusing, slow, console) =
            (refuse_bills_after(&signal), FullBacklogUpstream::new(), free_address());
        let known = server_list(5, true, &[server_entry("a", refusing.address, "ready")]);
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
        wait_until("the first attempt is in flight", || bill_count(&refusing) == 1);
        // The other upstream is listed only now, so that it is the only choice for the second attempt.
        discovery.publish(&(server_list(6, false, &[server_entry("b", slow.address, "ready")]) + "\n"));
        std::thread::sleep(Duration::from_millis(200));
        signal.store(1, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(200));
        assert_eq!(telemetry(console)["in_progress"], 1, "the second attempt waits for its connection");
        sidecar.suspend();
        let request_lines = slow.accept_connections();
        // The kernel completes the connection of the suspended process: it retries the handshake within a second or two.
        std::thread::sleep(Duration::from_millis(2_200));
        let client = disconnect.apply(client);
        std::thread::sleep(Duration::from_millis(20));
        sidecar.signal("-CONT");
        if disconnect == Disconnect::Never {
            assert_eq!(
                client.unwrap().read_answer().expect("an answer").body,
                b"slow",
                "a connected client is served"
            );
            continue;
        }
        assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200);
        std::thread::sleep(Duration::from_millis(200));
        let request_lines = request_lines.lock().unwrap();
        assert!(
            request_lines.iter().all(|line| !line.starts_with("POST /bill")),
            "{disconnect:?}: {request_lines:?}"
        );
        assert_eq!(bill_count(&refusing), 1, "{disconnect:?}");
    }
}
