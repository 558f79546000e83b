//! Moments in which two events cross, forced by what the test's own stage does, on real sockets.

mod loopback;

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use loopback::*;

/// The same list, as an editor would lay it out.
fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

// --- Lists and watches -----------------------------------------------------------------------

/// Guards against a reader that takes each line of an indented list for a broken one, asks for the whole list again and is
/// told that indented, too, for good.
#[test]
fn indented_lists_are_read_and_the_watch_goes_on() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| Deed::ok("served")));
    let first = list(9, true, &[entry("a", a.address, "ready"), entry("b", b.address, "ready")]);
    let discovery = Discovery::new(&indented(&first));
    let sidecar = Sidecar::start(&config("127.0.0.1:0", discovery.address, "null", 1024, SETTINGS));
    sidecar.wait_up();
    let mut client = Client::to(sidecar.address);
    until("both serve", || {
        client.ask("fetch");
        !a.requests().is_empty() && !b.requests().is_empty()
    });
    // A drain in pieces, with nothing but white space behind it.
    let drain = indented(&list(10, false, &[entry("a", a.address, "draining")]));
    let (head, tail) = drain.split_at(drain.len() / 2);
    discovery.say(head);
    std::thread::sleep(Duration::from_millis(50));
    discovery.say(tail);
    until("the drain is kept", || {
        let before = a.requests().len();
        (0..20).for_each(|_| drop(client.ask("fetch")));
        a.requests().len() == before
    });
    assert_eq!(discovery.watches().len(), 1, "it was understood at once: {:?}", sidecar.log.lock().unwrap());
}

// --- Clients that leave -----------------------------------------------------------------------

/// How a client leaves.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Leaves {
    /// It closes, or ends its sending: both say that it has gone away.
    Closes,
    EndsSending,
    /// It resets its connection.
    Resets,
}

const LEAVES: [Leaves; 3] = [Leaves::Closes, Leaves::EndsSending, Leaves::Resets];

impl Leaves {
    /// Leaves; what is still to be held on to for it, if anything is.
    fn leave(self, client: Client) -> Option<Client> {
        let stream: &TcpStream = client.reader.get_ref();
        match self {
            Leaves::Closes => None,
            Leaves::EndsSending => {
                stream.shutdown(Shutdown::Write).unwrap();
                Some(client)
            }
            Leaves::Resets => {
                rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO)).unwrap();
                None
            }
        }
    }
}

/// A sidecar before an upstream that nobody gets through to, under so many names: requests wait for a connection.
fn before_clogged(names: usize) -> (Sidecar, Discovery, SocketAddr, Clogged) {
    let slow = Clogged::new();
    let entries: Vec<String> =
        (0..names).map(|name| entry(&format!("slow-{name}"), slow.address, "ready")).collect();
    let known = list(5, true, &entries);
    let discovery = Discovery::new(&known);
    let settings = SETTINGS
        .replace(r#""connect_timeout":2000.0"#, r#""connect_timeout":120000.0"#)
        .replace(r#""aim":3000.0"#, r#""aim":120000.0"#)
        .replace(r#""probes":true"#, r#""probes":false"#);
    let console = free();
    let text = config("127.0.0.1:0", discovery.address, &known, 1024, &settings);
    let sidecar = Sidecar::start(&with_console(&text, &console.to_string()));
    sidecar.wait_up();
    (sidecar, discovery, console, slow)
}

fn in_progress(console: SocketAddr) -> u64 {
    figures(console)["in_progress"].as_u64().unwrap()
}

/// Guards against requests whose clients have left while they waited and that are sent on all the same: hyper reads no
/// further where bytes wait behind an open request, and so never saw the end behind them.
#[test]
fn who_has_left_while_waiting_is_not_sent_on_whatever_lies_behind_the_request() {
    let (sidecar, _discovery, console, slow) = before_clogged(1);
    // Nothing, one byte, a whole request, and more than is read ahead.
    let behind: [Vec<u8>; 4] = [
        Vec::new(),
        b"G".to_vec(),
        request("fetch", 100_000).into(),
        request("fetch", 100_000).repeat(1_000).into(),
    ];
    assert!(behind[3].len() > 128 << 10, "more than the sidecar keeps");
    let mut held = Vec::new();
    for class in ["fetch", "log", "bill"] {
        for leaves in LEAVES {
            for more in &behind {
                let mut client = Client::to(sidecar.address);
                client.send(class, 100_000);
                until("it waits", || in_progress(console) == 1);
                client.write(more);
                held.extend(leaves.leave(client));
                until(
                    &format!("{class}, {leaves:?}, {} bytes: it is known to have left", more.len()),
                    || in_progress(console) == 0,
                );
            }
        }
    }
    let written = slow.let_through();
    // One that has stayed is served, and by then the others would have been.
    assert_eq!(Client::to(sidecar.address).ask("fetch").body, b"slow");
    let written = written.lock().unwrap();
    assert_eq!(written.len(), 1, "of 36 that left none is sent on: {written:?}");
}

/// The same for hundreds that leave at once while others wait on.
#[test]
fn of_a_burst_of_clients_that_leave_none_is_sent_on_and_who_stays_is_served() {
    let (sidecar, _discovery, console, slow) = before_clogged(200);
    let waiting = |_| {
        let mut client = Client::to(sidecar.address);
        client.send("log", 100_000);
        client
    };
    let stay: Vec<Client> = (0..10).map(waiting).collect();
    let leave: Vec<Client> = (0..200).map(waiting).collect();
    until("all wait", || in_progress(console) == 210);
    let _held: Vec<Client> = leave
        .into_iter()
        .zip(LEAVES.iter().cycle())
        .filter_map(|(client, leaves)| leaves.leave(client))
        .collect();
    until("they are known to have left", || in_progress(console) == 10);
    let written = slow.let_through();
    for mut client in stay {
        assert_eq!(client.read().expect("an answer").body, b"slow");
    }
    assert_eq!(written.lock().unwrap().len(), 10, "of 200 that left none is sent on");
}
