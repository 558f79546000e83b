//! What an ordinary request costs the sidecar: allocations, calls that read or write, and bytes that cross the kernel,
//! counted, not timed, so that the figures are the same every time. `cargo test` runs this and fails where one of them
//! has risen by more than 5 % over the baseline below. One instance on a thread of its own; the client and the
//! upstreams use fixed buffers and allocate nothing while it is counted.
//!
//! To renew the baseline after a change that is meant to cost more, or that costs less:
//!
//!     cargo bench -p sagemast-sidecar --bench ordinary_path
//!
//! and put what it prints in the place of [`BASELINE`], with the reason in the commit.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sagemast_decide::settings::Config as SettingsObject;
use sagemast_sidecar::budget::Budgets;
use sagemast_sidecar::hosts::HostList;
use sagemast_sidecar::instance::{Instance, InstanceConfig};
use sagemast_sidecar::io_counts::counts;
use sagemast_sidecar::log::Log;
use sagemast_sidecar::messages::EventSink;

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// Requests before anything is counted, and while it is.
const WARM: u64 = 300;
const COUNTED: u64 = 1_000;
/// A figure may rise by this share.
const RISE: f64 = 0.05;

/// By load: allocations, calls and bytes a request.
const BASELINE: [(&str, [f64; 3]); 4] = [
    ("small GET", [38.0, 5.0, 726.0]),
    ("16 KiB POST", [43.0, 5.0, 33523.0]),
    ("64 KiB answer", [43.0, 7.0, 131402.0]),
    ("one in 16 tried again", [39.5, 5.2, 736.3]),
];

const SETTINGS: &str = r#"{
    "classes":[{"name":"page","aim":2000.0,"hard_limit":9000.0,"importance":2.0,"effect":"repeatable"},
               {"name":"bill","aim":2000.0,"hard_limit":9000.0,"importance":2.0,"effect":"once"}],
    "allowed":{"max_attempts":3},"peers_total":1,"membership_mode":"automatic","telemetry":{},
    "invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500.0}}"#;

/// Reads one message with a stated length into a buffer, and says how long it was; `None` at the end.
fn message(stream: &mut TcpStream, buffer: &mut [u8]) -> Option<usize> {
    let mut have = 0;
    loop {
        let got = stream.read(&mut buffer[have..]).ok().filter(|got| *got > 0)?;
        have += got;
        let Some(head) = buffer[..have].windows(4).position(|four| four == b"\r\n\r\n") else { continue };
        let length = length(&buffer[..head]).unwrap_or(0);
        if have >= head + 4 + length {
            return Some(have);
        }
    }
}

/// The stated length of a body.
fn length(head: &[u8]) -> Option<usize> {
    let name = b"content-length:";
    let at = head.windows(name.len()).position(|some| some.eq_ignore_ascii_case(name))?;
    let digits = head[at + name.len()..].trim_ascii_start();
    let end = digits.iter().position(|byte| !byte.is_ascii_digit()).unwrap_or(digits.len());
    std::str::from_utf8(&digits[..end]).ok()?.parse().ok()
}

/// An upstream that answers with so many bytes; one in 16 requests of all upstreams is turned away unseen if `again`:
/// the module tries one in ten again at most, and refuses then.
fn upstream(bytes: usize, again: bool, asked: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n").into_bytes();
    answer.resize(answer.len() + bytes, b'x');
    let away = b"HTTP/1.1 503 No\r\nx-not-processed: 1\r\ncontent-length: 0\r\n\r\n";
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let (answer, asked) = (answer.clone(), asked.clone());
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = vec![0; 128 << 10];
                while message(&mut stream, &mut buffer).is_some() {
                    let turned = again && asked.fetch_add(1, Ordering::Relaxed).is_multiple_of(16);
                    let whole = if turned { &away[..] } else { &answer };
                    if stream.write_all(whole).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Tells the list and then an empty line each second.
fn discovery(upstreams: &[SocketAddr]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let hosts: Vec<String> = upstreams
        .iter()
        .enumerate()
        .map(|(n, at)| format!(r#"{{"host":"u{n}","dial":"{at}","health":"ready"}}"#))
        .collect();
    let list = format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}}\n", hosts.join(","));
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let _ = stream.read(&mut [0; 4096]);
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            let first = format!("{head}{:x}\r\n{list}\r\n", list.len());
            let mut open = stream.write_all(first.as_bytes()).is_ok();
            while open {
                std::thread::sleep(Duration::from_secs(1));
                open = stream.write_all(b"1\r\n\n\r\n").is_ok();
            }
        }
    });
    address
}

/// One instance for good. Where clients connect.
fn sidecar(discovery: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("nonblocking");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async move {
            let settings: SettingsObject = serde_json::from_str(SETTINGS).expect("settings");
            let (instance, _control) = Instance::new(InstanceConfig {
                settings,
                seed: 7,
                discovery,
                estate: None,
                known: None::<HostList>,
                listener: Arc::new(tokio::net::TcpListener::from_std(listener).expect("a listener")),
                budgets: Budgets::with_connections(64),
                crossing: None,
                log: Log::process(),
                listening: EventSink::discard(),
                standby: false,
            });
            instance.run().await;
        });
    });
    address
}

/// Asks until the sidecar has its list.
fn wait_until_up(address: SocketAddr) {
    for _ in 0..1_000 {
        let mut stream = TcpStream::connect(address).expect("it listens");
        stream.write_all(b"GET /up HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").expect("it reads");
        let mut buffer = [0; 1024];
        let got = message(&mut stream, &mut buffer).unwrap_or(0);
        if buffer[..got].starts_with(b"HTTP/1.1 200") {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("it never had its list");
}

/// Allocations, calls and bytes a request.
fn measure(request: &[u8], bytes: usize, again: bool) -> [f64; 3] {
    let asked = Arc::new(AtomicU64::new(0));
    let upstreams: Vec<SocketAddr> = (0..4).map(|_| upstream(bytes, again, asked.clone())).collect();
    let address = sidecar(discovery(&upstreams));
    wait_until_up(address);
    let mut stream = TcpStream::connect(address).expect("it listens");
    let _ = stream.set_nodelay(true);
    let mut buffer = vec![0; 128 << 10];
    let mut before = (0, [0, 0], [0, 0]);
    let look = || (dhat::HeapStats::get().total_blocks, counts::calls(), counts::bytes());
    for number in 0..WARM + COUNTED {
        if number == WARM {
            before = look();
        }
        stream.write_all(request).expect("it reads");
        let got = message(&mut stream, &mut buffer).expect("it answers");
        assert!(
            buffer[..got].starts_with(b"HTTP/1.1 200"),
            "{}",
            String::from_utf8_lossy(&buffer[..got.min(200)])
        );
    }
    let after = look();
    let each = |after: u64, before: u64| (after - before) as f64 / COUNTED as f64;
    let sum = |both: [u64; 2]| both[0] + both[1];
    [each(after.0, before.0), each(sum(after.1), sum(before.1)), each(sum(after.2), sum(before.2))]
}

fn main() -> ExitCode {
    let _profiler = dhat::Profiler::builder().testing().build();
    let head = |method: &str, class: &str, length: usize| {
        let head = format!(
            "{method} /{class}/1 HTTP/1.1\r\nhost: x\r\nx-priority-class: {class}\r\nx-request-id: r1\r\n\
             x-timeout-ms: 8000\r\ncontent-length: {length}\r\n\r\n"
        );
        let mut whole = head.into_bytes();
        whole.resize(whole.len() + length, b'y');
        whole
    };
    let get = head("GET", "page", 0);
    let post = head("POST", "bill", 16 << 10);
    let measured = [
        measure(&get, 200, false),
        measure(&post, 200, false),
        measure(&get, 64 << 10, false),
        measure(&get, 200, true),
    ];
    let mut held = true;
    for ((name, baseline), now) in BASELINE.iter().zip(measured) {
        println!("    (\"{name}\", [{:.1}, {:.1}, {:.1}]),", now[0], now[1], now[2]);
        for ((what, base), now) in ["allocations", "calls", "bytes"].iter().zip(baseline).zip(now) {
            if now > base * (1.0 + RISE) {
                held = false;
                println!("{name}: {now:.1} {what} a request, {base:.1} in the baseline: more than 5 % above");
            }
        }
    }
    println!("{}", if held { "4 passed, 0 failed" } else { "0 passed, 1 failed" });
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
