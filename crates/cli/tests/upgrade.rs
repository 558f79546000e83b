//! A new version under load: two processes on one listening socket, as one sidecar.

mod loopback;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use loopback::*;

/// A sidecar whose socket the test holds, as the platform does.
struct Platform {
    /// What all its processes see.
    tmp: PathBuf,
    socket: TcpListener,
    address: SocketAddr,
    known: String,
    discovery: Discovery,
}

impl Platform {
    fn new(upstreams: &[&Upstream]) -> Platform {
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        let known = ready_server_list(upstreams);
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let name = format!("tmp-{}-{}", std::process::id(), NUMBER.fetch_add(1, Ordering::SeqCst));
        let tmp = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&tmp).unwrap();
        Platform { tmp, socket, address, discovery: Discovery::new(&known), known }
    }

    fn config(&self, known: &str) -> String {
        config_json(&self.address.to_string(), self.discovery.address, known, 1024, SETTINGS)
    }

    /// Starts a process with this configuration.
    fn start_with(&self, config: &str) -> Sidecar {
        Sidecar::start_on_socket(&self.socket, config, &[("TMPDIR", &self.tmp)])
    }

    /// Starts a process and waits until it can serve.
    fn start(&self) -> Sidecar {
        let sidecar = self.start_with(&self.config(&self.known));
        sidecar.wait_for_log("serving");
        sidecar
    }

    /// Where it is asked by who comes next.
    fn link(&self) -> PathBuf {
        self.tmp.join("sagemast.sock")
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.tmp);
    }
}

fn has_said(sidecar: &Sidecar, text: &str) -> bool {
    sidecar.log.lock().unwrap().iter().any(|line| line.contains(text))
}

#[test]
fn clients_do_not_notice_ten_upgrades() {
    let upstream = Upstream::new(|_| {
        std::thread::sleep(Duration::from_millis(3));
        ScriptedResponse::ok("served")
    });
    let platform = Platform::new(&[&upstream]);
    let mut serving = platform.start();
    let (stop, asked, turned) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|threads| {
        for number in 0..3 {
            let (stop, asked, turned, address) = (&stop, &asked, &turned, platform.address);
            threads.spawn(move || {
                let mut client = Client::connect(address);
                while !stop.load(Ordering::SeqCst) {
                    client.send(if number == 0 { "bill" } else { "fetch" }, 6_000);
                    asked.fetch_add(1, Ordering::SeqCst);
                    let answer = match client.read_answer() {
                        Some(answer) => answer,
                        // It crossed the close of an idle connection: sent once more on a new one.
                        None => {
                            turned.fetch_add(1, Ordering::SeqCst);
                            client = Client::connect(address);
                            client.exchange("fetch")
                        }
                    };
                    assert!(matches!(answer.status(), 200 | 503), "{answer:?}");
                    if answer.header("connection") == Some("close") {
                        client = Client::connect(address);
                    }
                    std::thread::sleep(Duration::from_millis(2));
                }
            });
        }
        for _ in 0..10 {
            let next = platform.start();
            let before = asked.load(Ordering::SeqCst);
            assert!(has_said(&next, "goes on from 1 upstreams and what was learnt"));
            wait_until("the old one knows", || has_said(&serving, "a successor has begun"));
            serving.signal("-TERM");
            assert!(serving.wait_for_exit().success(), "{:?}", serving.log.lock().unwrap());
            serving = next;
            wait_until("it serves alone", || asked.load(Ordering::SeqCst) > before + 50);
        }
        stop.store(true, Ordering::SeqCst);
    });
    assert!(turned.load(Ordering::SeqCst) <= 20, "two an upgrade at most");
}

#[test]
fn who_cannot_serve_yet_accepts_nobody() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let platform = Platform::new(&[&upstream]);
    let mut old = platform.start();
    // Without a list, and with a discovery that is down.
    let nowhere = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let blind = config_json(&platform.address.to_string(), nowhere, "null", 1024, SETTINGS);
    let _new = Sidecar::start_on_socket(&platform.socket, &blind, &[]);
    for _ in 0..50 {
        assert_eq!(
            Client::connect(platform.address).exchange("fetch").status(),
            200,
            "the old one serves alone"
        );
    }
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
}

#[test]
fn the_old_process_answers_one_more_request_on_each_connection_and_ends() {
    let go = Arc::new(AtomicUsize::new(0));
    let wait = go.clone();
    let upstream = Upstream::new(move |message| match message.start_line.starts_with("POST /bill") {
        true => ScriptedResponse::AnswerWhenReleased(wait.clone()),
        false => ScriptedResponse::ok("served"),
    });
    let platform = Platform::new(&[&upstream]);
    let mut old = platform.start();
    let mut idle: Vec<Client> = (0..20).map(|_| Client::connect(platform.address)).collect();
    idle.iter_mut().for_each(|client| assert_eq!(client.exchange("fetch").status(), 200));
    let mut waiting = Client::connect(platform.address);
    waiting.send("bill", 6_000);
    wait_until("it is out", || upstream.requests().iter().any(|m| m.start_line.starts_with("POST /bill")));
    let new = platform.start();
    old.signal("-TERM");
    old.wait_for_log("finishing what is held");
    for client in &mut idle[..10] {
        let answer = client.exchange("fetch");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    for client in &mut idle[10..] {
        assert_eq!(client.read_until_close().expect("it is closed late"), b"");
    }
    let mut fresh = Client::connect(platform.address);
    assert_eq!(fresh.exchange("fetch").header("connection"), None, "who comes now is for the new one");
    go.store(1, Ordering::SeqCst);
    let answer = waiting.read_answer().expect("what was taken is answered");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(old.wait_for_exit().success());
    drop(new);
}

#[test]
fn a_socket_that_is_none_is_one_line_and_an_exit() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let platform = Platform::new(&[&upstream]);
    let elsewhere = platform.config("null").replace(&platform.address.to_string(), "127.0.0.1:9");
    let (child, _) = spawn_on_socket(&platform.socket, &elsewhere, &[]);
    for (mut child, what) in [
        (child, "listens on"),
        (spawn_with_env(&platform.config("null"), &[("ROUTER_SOCKET_FD", &PathBuf::from("77"))]), "77"),
        (spawn_with_env(&platform.config("null"), &[("ROUTER_SOCKET_FD", &PathBuf::from("three"))]), "three"),
        (spawn_with_env(&platform.config("null"), &[("ROUTER_SOCKET_FD", &PathBuf::from("1"))]), "1"),
    ] {
        let mut said = String::new();
        child.stderr.take().unwrap().read_to_string(&mut said).unwrap();
        assert!(!child.wait().unwrap().success());
        assert!(
            said.lines().count() == 1 && said.contains(what) && said.contains("ROUTER_SOCKET_FD"),
            "{said}"
        );
    }
}

/// An upstream that fails, beside two that serve.
fn one_that_fails() -> [Upstream; 3] {
    [0, 1, 2].map(|number| {
        Upstream::new(move |_| {
            if number == 0 {
                ScriptedResponse::Answer(500, "", vec![])
            } else {
                ScriptedResponse::ok("served")
            }
        })
    })
}

fn console_of(config: &str) -> (String, SocketAddr) {
    let console = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    (config.replacen('{', &format!(r#"{{"console":"{console}","#), 1), console)
}

fn figure(console: SocketAddr, name: &str) -> u64 {
    let answer = Client::connect(console).get("/api/telemetry").expect("figures");
    let figures: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    figures[name].as_u64().unwrap()
}

#[test]
fn the_new_process_goes_on_from_what_the_old_one_knows() {
    let upstreams = one_that_fails();
    let platform = Platform::new(&[&upstreams[0], &upstreams[1], &upstreams[2]]);
    let (text, console) = console_of(&platform.config(&platform.known));
    let mut old = platform.start_with(&text);
    old.wait_for_log("serving");
    let mut client = Client::connect(platform.address);
    wait_until("the one that fails is out", || {
        client.exchange("fetch");
        figure(console, "skipped_upstreams") == 1
    });
    // The new one has no list of its own, and no discovery: what the old one has told it must do.
    let nowhere = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let blind = config_json(&platform.address.to_string(), nowhere, "null", 1024, SETTINGS);
    let (text, console) = console_of(&blind);
    let new = platform.start_with(&text);
    new.wait_for_log("serving");
    assert!(has_said(&new, "goes on from 3 upstreams and what was learnt"));
    assert_eq!(figure(console, "known_upstreams"), 3);
    assert_eq!(figure(console, "skipped_upstreams"), 1, "before it has sent anything");
    wait_until("the old one knows that it is succeeded", || has_said(&old, "a successor has begun"));
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    new.wait_for_log("the predecessor has ended");
    assert_eq!(Client::connect(platform.address).exchange("fetch").status(), 200);
}

#[test]
fn a_drain_that_one_of_them_was_told_holds_for_both() {
    let upstreams = [0, 1].map(|_| Upstream::new(|_| ScriptedResponse::ok("served")));
    let platform = Platform::new(&[&upstreams[0], &upstreams[1]]);
    let old = platform.start();
    let silent = Discovery::new("");
    let deaf = config_json(&platform.address.to_string(), silent.address, &platform.known, 1024, SETTINGS);
    let (text, console) = console_of(&deaf);
    let new = platform.start_with(&text);
    new.wait_for_log("serving");
    let drained = server_list(6, false, &[server_entry("a", upstreams[0].address, "draining")]);
    platform.discovery.publish(&format!("{drained}\n"));
    wait_until("the new one hears of it from the old one", || figure(console, "skipped_upstreams") == 1);
    drop(old);
    let before = upstreams[0].requests().len();
    for _ in 0..30 {
        assert_eq!(Client::connect(platform.address).exchange("fetch").status(), 200);
    }
    assert_eq!(upstreams[0].requests().len(), before);
}

#[test]
fn a_successor_that_is_killed_leaves_all_as_it_was_and_the_next_one_is_served() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let platform = Platform::new(&[&upstream]);
    let mut old = platform.start();
    // One without a list never serves; it is killed while it starts.
    let nowhere = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    for _ in 0..3 {
        let mut half = Sidecar::start_on_socket(
            &platform.socket,
            &config_json(&platform.address.to_string(), nowhere, "null", 1024, SETTINGS),
            &[("TMPDIR", &platform.tmp)],
        );
        wait_until("it is met", || has_said(&half, "handover: goes on from"));
        half.child.kill().unwrap();
        half.wait_for_exit();
        wait_until("the old one knows", || {
            let log = old.log.lock().unwrap();
            let count = |what: &str| log.iter().filter(|line| line.contains(what)).count();
            count("a successor has begun") > 0
                && count("a successor has begun") == count("the successor has ended")
        });
        assert_eq!(Client::connect(platform.address).exchange("fetch").status(), 200);
    }
    let new = platform.start();
    assert!(has_said(&new, "goes on from 1 upstreams and what was learnt"));
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    assert_eq!(Client::connect(platform.address).exchange("fetch").status(), 200);
}

#[test]
fn an_old_process_that_is_killed_is_missed_and_no_more() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let platform = Platform::new(&[&upstream]);
    let mut old = platform.start();
    let mut new = platform.start();
    old.child.kill().unwrap();
    old.wait_for_exit();
    new.wait_for_log("the predecessor has ended");
    assert_eq!(Client::connect(platform.address).exchange("fetch").status(), 200);
    // What it left on its way is no predecessor: a third start goes on from the second.
    let third = platform.start();
    assert!(has_said(&third, "goes on from 1 upstreams"));
    new.signal("-HUP");
    new.wait_for_log("discovery is at");
    new.signal("-TERM");
    assert!(new.wait_for_exit().success(), "{:?}", new.log.lock().unwrap());
}

#[test]
fn a_socket_that_nobody_serves_or_that_speaks_nonsense_holds_no_start_up() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let platform = Platform::new(&[&upstream]);
    // Of a process that was killed.
    drop(std::os::unix::net::UnixListener::bind(platform.link()).unwrap());
    let sidecar = platform.start();
    assert!(has_said(&sidecar, "starting without a predecessor"));
    assert_eq!(Client::connect(platform.address).exchange("fetch").status(), 200);
    drop(sidecar);
    for nonsense in [
        &b""[..],
        b"\x00\xffnoise\n",
        b"{\"kind\":\"hello\",\"v\":1}\n",
        b"{\"kind\":\"estate\",\"list\":{\"seq\":1,\"hosts\":[]}}\n",
        b"{\"kind\":\"estate\"",
    ] {
        let _ = std::fs::remove_file(platform.link());
        let listener = std::os::unix::net::UnixListener::bind(platform.link()).unwrap();
        let answering = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = std::io::Write::write_all(&mut stream, nonsense);
        });
        let sidecar = platform.start();
        answering.join().unwrap();
        assert!(has_said(&sidecar, "starting without a predecessor"), "{nonsense:?}");
        assert_eq!(Client::connect(platform.address).exchange("fetch").status(), 200);
    }
    // One that takes the call and says nothing.
    let _ = std::fs::remove_file(platform.link());
    let silent = std::os::unix::net::UnixListener::bind(platform.link()).unwrap();
    let sidecar = platform.start();
    assert!(has_said(&sidecar, "starting without a predecessor"));
    drop(silent);
}

#[test]
fn a_long_directory_is_no_hindrance() {
    let upstream = Upstream::new(|_| ScriptedResponse::ok("served"));
    let mut platform = Platform::new(&[&upstream]);
    let short = platform.tmp.clone();
    platform.tmp = short.join("d".repeat(100)).join("e".repeat(100));
    std::fs::create_dir_all(&platform.tmp).unwrap();
    let _old = platform.start();
    let new = platform.start();
    assert!(has_said(&new, "goes on from 1 upstreams"));
    platform.tmp = short;
}

#[test]
fn who_starts_beside_a_full_one_serves_with_what_is_left() {
    let go = Arc::new(AtomicUsize::new(0));
    let wait = go.clone();
    let upstreams: Vec<Upstream> = (0..20)
        .map(|_| {
            let wait = wait.clone();
            Upstream::new(move |message| match message.start_line.starts_with("POST /bill") {
                true => ScriptedResponse::AnswerWhenReleased(wait.clone()),
                false => ScriptedResponse::ok("served"),
            })
        })
        .collect();
    let platform = Platform::new(&upstreams.iter().collect::<Vec<_>>());
    // 256 descriptors: 88 for two processes, 84 connections on each side for both together.
    let small = config_json(
        &platform.address.to_string(),
        platform.discovery.address,
        &platform.known,
        256,
        SETTINGS,
    );
    let (text, _) = console_of(&small);
    let mut old = platform.start_with(&text);
    old.wait_for_log("serving");
    let mut held: Vec<Client> = (0..60).map(|_| Client::connect(platform.address)).collect();
    held.iter_mut().for_each(|client| client.send("bill", 6_000));
    let out = || upstreams.iter().map(|upstream| upstream.requests().len()).sum::<usize>();
    wait_until("some are out", || out() >= 20);
    let (text, console) = console_of(&small);
    let new = platform.start_with(&text);
    new.wait_for_log("serving");
    wait_until("the old one knows", || has_said(&old, "a successor has begun"));
    old.signal("-TERM");
    old.signal("-HUP");
    old.wait_for_log("finishing what is held");
    new.signal("-HUP");
    new.wait_for_log("discovery is at");
    for _ in 0..30 {
        assert_eq!(Client::connect(platform.address).exchange("fetch").status(), 200);
    }
    assert!(figure(console, "known_upstreams") == 20);
    go.store(1, Ordering::SeqCst);
    for client in &mut held {
        let answer = client.read_answer().expect("what was taken is answered");
        assert!(matches!(answer.status(), 200 | 503), "{answer:?}");
    }
    assert!(old.wait_for_exit().success());
}

#[test]
fn a_transfer_under_way_outlasts_the_upgrade() {
    let go = Arc::new(AtomicUsize::new(0));
    let wait = go.clone();
    let upstream = Upstream::new(move |message| {
        let wait = wait.clone();
        match message.start_line.starts_with("POST /bill") {
            true => ScriptedResponse::custom(move |stream| {
                std::io::Write::write_all(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n")
                    .unwrap();
                std::io::Write::write_all(stream, &[b'x'; 100_000]).unwrap();
                wait_until("the test lets go", || wait.load(Ordering::SeqCst) > 0);
                std::io::Write::write_all(stream, &[b'x'; 100_000]).unwrap();
                true
            }),
            false => ScriptedResponse::ok("served"),
        }
    });
    let platform = Platform::new(&[&upstream]);
    let mut old = platform.start();
    let mut client = Client::connect(platform.address);
    client.send("bill", 6_000);
    assert!(!std::io::BufRead::fill_buf(&mut client.reader).unwrap().is_empty(), "it has begun");
    let _new = platform.start();
    wait_until("the old one knows", || has_said(&old, "a successor has begun"));
    old.signal("-TERM");
    old.wait_for_log("finishing what is held");
    assert_eq!(Client::connect(platform.address).exchange("fetch").status(), 200);
    go.store(1, Ordering::SeqCst);
    assert_eq!(client.read_answer().expect("all of it").body.len(), 200_000);
    assert!(old.wait_for_exit().success());
}
