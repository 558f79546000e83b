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
    socket: TcpListener,
    address: SocketAddr,
    known: String,
    discovery: Discovery,
}

impl Platform {
    fn new(upstreams: &[&Upstream]) -> Platform {
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        let known = ready(upstreams);
        Platform { socket, address, discovery: Discovery::new(&known), known }
    }

    fn config(&self, known: &str) -> String {
        config(&self.address.to_string(), self.discovery.address, known, 1024, SETTINGS)
    }

    /// Starts a process and waits until it can serve.
    fn start(&self) -> Sidecar {
        let sidecar = Sidecar::start_on(&self.socket, &self.config(&self.known), &[]);
        sidecar.wait_log("serving");
        sidecar
    }
}

#[test]
fn clients_do_not_notice_ten_upgrades() {
    let upstream = Upstream::new(|_| {
        std::thread::sleep(Duration::from_millis(3));
        Deed::ok("served")
    });
    let platform = Platform::new(&[&upstream]);
    let mut serving = platform.start();
    let (stop, asked, turned) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|threads| {
        for number in 0..3 {
            let (stop, asked, turned, address) = (&stop, &asked, &turned, platform.address);
            threads.spawn(move || {
                let mut client = Client::to(address);
                while !stop.load(Ordering::SeqCst) {
                    client.send(if number == 0 { "bill" } else { "fetch" }, 6_000);
                    asked.fetch_add(1, Ordering::SeqCst);
                    let answer = match client.read() {
                        Some(answer) => answer,
                        // It crossed the close of an idle connection: sent once more on a new one.
                        None => {
                            turned.fetch_add(1, Ordering::SeqCst);
                            client = Client::to(address);
                            client.ask("fetch")
                        }
                    };
                    assert!(matches!(answer.status(), 200 | 503), "{answer:?}");
                    if answer.header("connection") == Some("close") {
                        client = Client::to(address);
                    }
                    std::thread::sleep(Duration::from_millis(2));
                }
            });
        }
        for _ in 0..10 {
            let next = platform.start();
            let before = asked.load(Ordering::SeqCst);
            serving.signal("-TERM");
            assert!(serving.wait_exit().success(), "{:?}", serving.log.lock().unwrap());
            serving = next;
            until("it serves alone", || asked.load(Ordering::SeqCst) > before + 50);
        }
        stop.store(true, Ordering::SeqCst);
    });
    assert!(turned.load(Ordering::SeqCst) <= 20, "two an upgrade at most");
}

#[test]
fn who_cannot_serve_yet_accepts_nobody() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let platform = Platform::new(&[&upstream]);
    let mut old = platform.start();
    // Without a list, and with a discovery that is down.
    let nowhere = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let blind = config(&platform.address.to_string(), nowhere, "null", 1024, SETTINGS);
    let _new = Sidecar::start_on(&platform.socket, &blind, &[]);
    for _ in 0..50 {
        assert_eq!(Client::to(platform.address).ask("fetch").status(), 200, "the old one serves alone");
    }
    old.signal("-TERM");
    assert!(old.wait_exit().success());
}

#[test]
fn the_old_process_answers_one_more_request_on_each_connection_and_ends() {
    let go = Arc::new(AtomicUsize::new(0));
    let wait = go.clone();
    let upstream = Upstream::new(move |message| match message.line.starts_with("POST /bill") {
        true => Deed::Wait(wait.clone()),
        false => Deed::ok("served"),
    });
    let platform = Platform::new(&[&upstream]);
    let mut old = platform.start();
    let mut idle: Vec<Client> = (0..20).map(|_| Client::to(platform.address)).collect();
    idle.iter_mut().for_each(|client| assert_eq!(client.ask("fetch").status(), 200));
    let mut waiting = Client::to(platform.address);
    waiting.send("bill", 6_000);
    until("it is out", || upstream.requests().iter().any(|m| m.line.starts_with("POST /bill")));
    let new = platform.start();
    old.signal("-TERM");
    old.wait_log("finishing what is held");
    for client in &mut idle[..10] {
        let answer = client.ask("fetch");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    for client in &mut idle[10..] {
        assert_eq!(client.read_to_close().expect("it is closed late"), b"");
    }
    let mut fresh = Client::to(platform.address);
    assert_eq!(fresh.ask("fetch").header("connection"), None, "who comes now is for the new one");
    go.store(1, Ordering::SeqCst);
    let answer = waiting.read().expect("what was taken is answered");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(old.wait_exit().success());
    drop(new);
}

#[test]
fn a_socket_that_is_none_is_one_line_and_an_exit() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let platform = Platform::new(&[&upstream]);
    let elsewhere = platform.config("null").replace(&platform.address.to_string(), "127.0.0.1:9");
    let (child, _) = spawn_on(&platform.socket, &elsewhere, &[]);
    for (mut child, what) in [
        (child, "listens on"),
        (spawn_in(&platform.config("null"), &[("ROUTER_SOCKET_FD", &PathBuf::from("77"))]), "77"),
        (spawn_in(&platform.config("null"), &[("ROUTER_SOCKET_FD", &PathBuf::from("three"))]), "three"),
        (spawn_in(&platform.config("null"), &[("ROUTER_SOCKET_FD", &PathBuf::from("1"))]), "1"),
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
