//! Moments in which two events cross, forced by what the test's own stage does, on real sockets.

mod loopback;

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
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
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| ScriptedResponse::ok("served")));
    let first =
        server_list(9, true, &[server_entry("a", a.address, "ready"), server_entry("b", b.address, "ready")]);
    let discovery = Discovery::new(&indented(&first));
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, "null", 1024, SETTINGS));
    sidecar.wait_until_up();
    let mut client = Client::connect(sidecar.address);
    wait_until("both serve", || {
        client.exchange("fetch");
        !a.requests().is_empty() && !b.requests().is_empty()
    });
    // A drain in pieces, with nothing but white space behind it.
    let drain = indented(&server_list(10, false, &[server_entry("a", a.address, "draining")]));
    let (head, tail) = drain.split_at(drain.len() / 2);
    discovery.publish(head);
    std::thread::sleep(Duration::from_millis(50));
    discovery.publish(tail);
    wait_until("the drain is kept", || {
        let before = a.requests().len();
        (0..20).for_each(|_| drop(client.exchange("fetch")));
        a.requests().len() == before
    });
    assert_eq!(discovery.watches().len(), 1, "it was understood at once: {:?}", sidecar.log.lock().unwrap());
}

/// Guards against a peer that goes on sending bytes which end nothing: half a list is no sign of life.
#[test]
fn a_watch_that_dribbles_or_says_nothing_behind_its_head_is_silent() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| ScriptedResponse::ok("served")));
    let first = server_list(5, true, &[server_entry("a", a.address, "ready")]);
    let last = server_list(6, true, &[server_entry("b", b.address, "ready")]);
    let (address, asked) = scripted_discovery(move |number, stream| match number {
        0 => {
            write_chunk(stream, format!("{first}\n{{\"seq\": 6,").as_bytes()).unwrap();
            // White space that could go on for good.
            while write_chunk(stream, b" ").is_ok() {
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        1 => {}
        _ => drop(write_chunk(stream, format!("{last}\n").as_bytes())),
    });
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", address, "null", 1024, SETTINGS));
    sidecar.wait_until_up();
    let mut client = Client::connect(sidecar.address);
    wait_until("what the silent ones kept back is known", || {
        client.exchange("fetch").status() == 200 && !b.requests().is_empty()
    });
    let asked = asked.lock().unwrap();
    assert!(asked.len() >= 3 && asked[1].contains("from=0 "), "half a list was missed: {asked:?}");
}

/// Guards against a module that, where discovery is asked, spreads its next call over all the time in which it must ask: a
/// watch that has fallen silent may have missed a drain, which counts as told soon.
#[test]
fn where_discovery_is_asked_a_silent_watch_is_opened_anew_at_once() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| ScriptedResponse::ok("served")));
    let first = server_list(5, true, &[server_entry("a", a.address, "ready")]);
    let last = server_list(6, true, &[server_entry("b", b.address, "ready")]);
    let known = first.clone();
    let (address, asked) = scripted_discovery(move |number, stream| {
        let _ = write_chunk(stream, format!("{}\n", if number == 0 { &first } else { &last }).as_bytes());
    });
    // It must ask once in ten hours: were the next call spread over that, none would come here. The first one is made
    // for all that, since the process knows how long what it has not heard may count as told.
    let settings =
        SETTINGS.replace("automatic", "subscribe").replace(r#""must_ask_in":400.0"#, r#""must_ask_in":36e6"#);
    let sidecar = Sidecar::start(&config_json("127.0.0.1:0", address, &known, 1024, &settings));
    let mut client = Client::connect(sidecar.address);
    wait_until("what the silent one kept back is known", || {
        client.exchange("fetch").status() == 200 && !b.requests().is_empty()
    });
    assert_eq!(asked.lock().unwrap().len(), 2);
    assert!(
        !sidecar.log.lock().unwrap().iter().any(|line| line.contains("unavailable")),
        "the module was not asked"
    );
}

/// Guards against a drain that is undone by what was told before it.
#[test]
fn a_change_of_an_older_version_undoes_nothing_and_is_asked_about() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| ScriptedResponse::ok("served")));
    let (sidecar, discovery) = Sidecar::start_with_upstreams(&[&a, &b]);
    let mut client = Client::connect(sidecar.address);
    // In one piece: the drain, the same once more, and what was true before.
    let drain = server_list(9, false, &[server_entry("a", a.address, "draining")]);
    let before = server_list(8, false, &[server_entry("a", a.address, "ready")]);
    wait_until("it watches", || discovery.watches().len() == 1);
    discovery.publish(&format!("{drain}\n{drain}\n{before}\n"));
    wait_until("the drain has come", || {
        let before = a.requests().len();
        (0..20).for_each(|_| drop(client.exchange("fetch")));
        a.requests().len() == before
    });
    discovery.close_watch();
    wait_until("it asks for the whole list", || discovery.watches().len() >= 2);
    assert!(discovery.watches()[1].contains("from=0 "), "{:?}", discovery.watches());
}

/// Guards against requests that a new process sends by the list that it was started with, while the agent beside it has
/// been told of a drain since: that counts as told from the first moment on. The request waits before the process listens
/// for it; the list comes right after.
#[test]
fn a_new_process_sends_nothing_before_it_has_heard_what_the_agent_knows() {
    let mut crossed = 0;
    for _ in 0..20 {
        let [drains, serves] = [0, 1].map(|_| Upstream::new(|_| ScriptedResponse::ok("served")));
        let news =
            [server_entry("a", drains.address, "draining"), server_entry("b", serves.address, "ready")];
        let news = server_list(6, true, &news);
        let written = Arc::new(AtomicUsize::new(0));
        let is_written = written.clone();
        let (address, _asked) = scripted_discovery(move |_, stream| {
            wait_until("the request is written", || is_written.load(Ordering::SeqCst) == 1);
            let _ = write_chunk(stream, format!("{news}\n").as_bytes());
        });
        let known = server_list(5, true, &[server_entry("a", drains.address, "ready")]);
        let begins = std::time::Instant::now();
        let sidecar = Sidecar::start(&config_json("127.0.0.1:0", address, &known, 1024, SETTINGS));
        let mut client = Client::connect(sidecar.address);
        client.send("fetch", 20_000);
        written.store(1, Ordering::SeqCst);
        let took = begins.elapsed();
        assert_eq!(client.read_answer().expect("an answer").status(), 200);
        // On a machine that was held up the process has waited as long as it may: no crossing, so once more.
        if took < Duration::from_millis(60) {
            assert_eq!((drains.requests().len(), serves.requests().len()), (0, 1));
            crossed += 1;
        }
    }
    assert!(crossed > 0, "the crossing was never played");
}

/// Where the agent is silent the process serves by what it was started with.
#[test]
fn a_new_process_is_not_kept_waiting_by_an_agent_that_says_nothing() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let (address, _asked) = scripted_discovery(|_, _| {});
    let sidecar = Sidecar::start(&config_json(
        "127.0.0.1:0",
        address,
        &ready_server_list(&[&upstream]),
        1024,
        SETTINGS,
    ));
    assert_eq!(Client::connect(sidecar.address).exchange("fetch").status(), 200);
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

fn in_progress(console: SocketAddr) -> u64 {
    telemetry(console)["in_progress"].as_u64().unwrap()
}

/// Guards against requests whose clients have left while they waited and that are sent on all the same: hyper reads no
/// further where bytes wait behind an open request, and so never saw the end behind them.
#[test]
fn who_has_left_while_waiting_is_not_sent_on_whatever_lies_behind_the_request() {
    let (sidecar, _discovery, console, slow) = start_with_full_backlog(1);
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
                let mut client = Client::connect(sidecar.address);
                client.send(class, 100_000);
                wait_until("it waits", || in_progress(console) == 1);
                client.write(more);
                held.extend(leaves.leave(client));
                wait_until(
                    &format!("{class}, {leaves:?}, {} bytes: it is known to have left", more.len()),
                    || in_progress(console) == 0,
                );
            }
        }
    }
    let written = slow.accept_connections();
    // One that has stayed is served, and by then the others would have been.
    assert_eq!(Client::connect(sidecar.address).exchange("fetch").body, b"slow");
    let written = written.lock().unwrap();
    assert_eq!(written.len(), 1, "of 36 that left none is sent on: {written:?}");
}

/// The same for hundreds that leave at once while others wait on.
#[test]
fn of_a_burst_of_clients_that_leave_none_is_sent_on_and_who_stays_is_served() {
    let (sidecar, _discovery, console, slow) = start_with_full_backlog(200);
    let waiting = |_| {
        let mut client = Client::connect(sidecar.address);
        client.send("log", 100_000);
        client
    };
    let stay: Vec<Client> = (0..10).map(waiting).collect();
    let leave: Vec<Client> = (0..200).map(waiting).collect();
    wait_until("all wait", || in_progress(console) == 210);
    let _held: Vec<Client> = leave
        .into_iter()
        .zip(LEAVES.iter().cycle())
        .filter_map(|(client, leaves)| leaves.leave(client))
        .collect();
    wait_until("they are known to have left", || in_progress(console) == 10);
    let written = slow.accept_connections();
    for mut client in stay {
        assert_eq!(client.read_answer().expect("an answer").body, b"slow");
    }
    assert_eq!(written.lock().unwrap().len(), 10, "of 200 that left none is sent on");
}

// --- The end ----------------------------------------------------------------------------------

/// SIGTERM crosses a start that has no list yet: who waits in the accept queue is answered, and the end is in order.
#[test]
fn who_waits_for_a_process_that_is_told_to_end_before_it_is_ready_is_answered() {
    let (address, _asked) = scripted_discovery(|_, _| {});
    let mut sidecar = Sidecar::start(&config_json("127.0.0.1:0", address, "null", 1024, SETTINGS));
    let mut client = Client::connect(sidecar.address);
    client.send("fetch", 6_000);
    sidecar.signal("-TERM");
    assert_eq!(client.read_answer().expect("an answer").status(), 503);
    assert!(sidecar.wait_for_exit().success());
}

/// Signals that come together or twice: what is held is answered, and a new configuration changes nothing about the end.
#[test]
fn further_signals_neither_hasten_nor_put_off_the_end() {
    let go = Arc::new(AtomicUsize::new(0));
    let let_go = go.clone();
    let upstream = Upstream::new(move |_| ScriptedResponse::AnswerWhenReleased(let_go.clone()));
    let (mut sidecar, discovery) = Sidecar::start_with_upstreams(&[&upstream]);
    let mut held = Client::connect(sidecar.address);
    held.send("bill", 8_000);
    wait_until("it is held", || upstream.requests().len() == 1);
    sidecar.reload(&config_json("127.0.0.1:0", discovery.address, "null", 1024, SETTINGS));
    sidecar.signal("-TERM");
    sidecar.wait_for_log("SIGTERM");
    for signal in ["-TERM", "-HUP", "-TERM"] {
        sidecar.signal(signal);
    }
    let mut late = Client::connect(sidecar.address);
    late.send("bill", 8_000);
    wait_until("who comes late is held as well", || upstream.requests().len() == 2);
    go.store(1, Ordering::SeqCst);
    for client in [&mut held, &mut late] {
        assert_eq!(client.read_answer().expect("a whole answer").body, b"late");
    }
    assert!(sidecar.wait_for_exit().success());
    assert_eq!(upstream.requests().len(), 2, "each once");
}

// --- Settings of other customers --------------------------------------------------------------

/// Short calls, discovery asked, loads in answers, tenants, nothing called off, a window shorter than connecting may take;
/// keys that nobody knows.
const SHORT: &str = r#"{"allowed":{"cancel":false,"connect_timeout":900.0,"max_attempts":3,"retry_after":true,
"max_retry_after":400.0,"probes":true,"cpu_us_per_request":0.0,"of_tomorrow":[1,{"a":null}]},"azs":["quay","mill","dunes"],
"classes":[{"name":"fetch","aim":40.0,"hard_limit":60.0,"importance":1.0,"late_worth":0.2,"effect":"repeatable"},
{"name":"log","aim":50.0,"hard_limit":80.0,"importance":2.0,"effect":"by_key","dedup_scope":"all","window":300.0},
{"name":"bill","aim":60.0,"hard_limit":90.0,"importance":4.0,"effect":"once"}],
"invariants":{"cold_share":0.2,"warm_up":8000.0,"fall_multiple":2.8,"fall":1200.0,"must_ask_in":3000.0,"drain_grace":900.0},
"kinds":["t4"],"membership_mode":"subscribe","peers_total":4,"rank":2,"period":2.0,"over_share_worth":0.2,
"telemetry":{"how":"piggyback","columns":["inflight","util","qps"]},
"tenants":[{"name":"acme","quota_per_s":50.0},{"name":"south","quota_per_s":80.0}],"zone":1}"#;

/// Long calls, one attempt, nothing that may be repeated, no probes, reports, retry-after, zones, kinds or number.
const LONG: &str = r#"{"allowed":{"max_attempts":1},
"classes":[{"name":"bill","aim":12000.0,"hard_limit":30000.0,"importance":3.0,"effect":"once"}],
"invariants":{"cold_share":0.15,"warm_up":18000.0,"fall_multiple":2.2,"fall":2500.0},
"membership_mode":"automatic","peers_total":1,"telemetry":{}}"#;

/// Guards against what only one customer's settings allow: every class is served, and the end comes in order.
#[test]
fn settings_unlike_each_other_are_served_and_ended() {
    for (settings, classes) in [(SHORT, &["fetch", "log", "bill"][..]), (LONG, &["bill"][..])] {
        let upstream = Upstream::new(|_| {
            ScriptedResponse::Answer(200, "X-Server-Load: TEXT inflight=1, util=0.1\r\n", b"served".to_vec())
        });
        let (mut sidecar, _discovery) = Sidecar::start_with_settings(&[&upstream], settings);
        for class in classes {
            // A machine that is held up may take longer than a class has: that is told, and no fault of the settings.
            wait_until(&format!("{class} is served"), || {
                let mut client = Client::connect(sidecar.address);
                client.send(class, 2_000);
                client.read_answer().is_some_and(|answer| answer.status() == 200)
            });
        }
        sidecar.signal("-TERM");
        assert!(sidecar.wait_for_exit().success());
    }
    // What is out of range is one plain line before anything listens.
    for (from, to, key) in [
        (r#""drain_grace":900.0"#, r#""drain_grace":-1"#, "drain_grace"),
        (r#""max_attempts":3"#, r#""max_attempts":0"#, "max_attempts"),
        (r#""aim":40.0"#, r#""aim":"soon""#, "soon"),
    ] {
        assert!(SHORT.contains(from));
        let text = config_json(
            "127.0.0.1:0",
            "127.0.0.1:1".parse().unwrap(),
            "null",
            1024,
            &SHORT.replace(from, to),
        );
        let ended = spawn_program(&text).wait_with_output().unwrap();
        let said = String::from_utf8(ended.stderr).unwrap();
        assert_eq!((ended.status.code(), said.lines().count()), (Some(1), 1), "{said}");
        assert!(said.contains(key) && !said.contains("listening"), "{said}");
    }
}
