//! Lists of 1,200 servers, told to one of 1,200 sidecars: read in every form that discovery may use, kept, handed to a new
//! process, and served from. No bound on the way is below that.
//!
//! What is bounded where such a list goes, by constant and value:
//!
//! | what | constant | value | at 1,200 |
//! | --- | --- | --- | --- |
//! | bytes of one list from discovery | `discovery::MAX_LIST_BYTES` | 2 MiB | 0.5 MiB at most, indented |
//! | depth of its brackets | `json_stream::MAX_NESTING_DEPTH` | 32 | 3 |
//! | bytes of one line between processes | `handover::message::LINE_BYTES` | 8 MiB | under 1 MiB |
//! | servers that a new process takes over | `snapshot::MOST_SERVERS` | 100,000 | 1,200 |
//! | kinds that it takes over | `snapshot::MOST_KINDS` | 1,024 | one a kind, not a server |
//! | kinds before unused ones are forgotten | `balancer::KINDS` | 64 | those in use stay, however many |
//! | sidecars in the order of a server | `subset::MOST_SIDECARS` | 16,777,216 | 1,200 |
//! | servers looked at for one request | `balancer::LOOKS`, `slow_start::ASKED` | 24 | drawn anew for each request from all |
//! | owners of a cold server, at least | `cold::OWNERS` | 4 | up to all sidecars, by its allowance |
//! | servers whose loss means that of a zone | `zone_outage::WITNESSES` | 3 | a threshold, no bound |
//! | connections to upstreams | `limits.sockets`, `limits.memory_mb` | (sockets - 40) / 2 | the oldest idle one makes room |
//! | processes of one sidecar at once | `shares::MOST_PROCESSES` | 8 | upgrades of one sidecar, not sidecars |

mod loopback;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use loopback::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const SERVERS: usize = 1_200;
const SIDECARS: usize = 1_200;

/// 1,200 upstreams, each on a port of its own, on one thread: they count what they are asked for.
struct ManyUpstreams {
    addresses: Vec<SocketAddr>,
    served: Arc<Vec<AtomicUsize>>,
}

impl ManyUpstreams {
    fn new(count: usize) -> ManyUpstreams {
        let served: Arc<Vec<AtomicUsize>> = Arc::new((0..count).map(|_| AtomicUsize::new(0)).collect());
        let (bound, addresses) = mpsc::channel();
        let counted = served.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async move {
                for number in 0..count {
                    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
                    bound.send(listener.local_addr().unwrap()).unwrap();
                    tokio::spawn(accept(listener, counted.clone(), number));
                }
                std::future::pending::<()>().await;
            });
        });
        ManyUpstreams { addresses: addresses.iter().take(count).collect(), served }
    }

    /// How many have served a request.
    fn reached(&self) -> usize {
        self.served.iter().filter(|count| count.load(Ordering::SeqCst) > 0).count()
    }

    /// Their entries in discovery's form.
    fn entries(&self) -> Vec<String> {
        let named = self.addresses.iter().enumerate();
        named
            .map(|(number, address)| server_entry(&format!("server-{number:04}"), *address, "ready"))
            .collect()
    }
}

async fn accept(listener: tokio::net::TcpListener, served: Arc<Vec<AtomicUsize>>, number: usize) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_requests(stream, served.clone(), number));
    }
}

/// Answers requests without a body and reports of the load.
async fn serve_requests(mut stream: tokio::net::TcpStream, served: Arc<Vec<AtomicUsize>>, number: usize) {
    let (mut received, mut room) = (Vec::new(), [0; 2_048]);
    loop {
        match stream.read(&mut room).await {
            Ok(read) if read > 0 => received.extend_from_slice(&room[..read]),
            _ => return,
        }
        let Some(end) = received.windows(4).position(|bytes| bytes == b"\r\n\r\n") else { continue };
        let head: Vec<u8> = received.drain(..end + 4).collect();
        let body = match head.starts_with(b"GET /metrics/load ") {
            true => "TEXT inflight=0, eps=0, util=0.1".to_owned(),
            false => {
                served[number].fetch_add(1, Ordering::SeqCst);
                format!("server-{number:04}")
            }
        };
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// The settings of one of so many sidecars.
fn settings_of(sidecars: usize) -> String {
    SETTINGS.replace(r#""peers_total":3"#, &format!(r#""peers_total":{sidecars}"#))
}

/// Discovery that says these pieces on every watch, each in a chunk of its own, and then keeps it alive.
fn discovery_in_pieces(pieces: Vec<Vec<u8>>) -> SocketAddr {
    let (address, _asked) = scripted_discovery(move |_, stream| {
        for piece in &pieces {
            if write_chunk(stream, piece).is_err() {
                return;
            }
        }
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT && write_chunk(stream, b"\n").is_ok() {
            std::thread::sleep(Duration::from_millis(500));
        }
    });
    address
}

fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

fn lines(texts: &[String]) -> Vec<u8> {
    texts.iter().flat_map(|text| [text.as_bytes(), b"\n"].concat()).collect()
}

/// What the system says of a process: a figure out of `/proc/PID/status`.
fn process_figure(sidecar: &Sidecar, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", sidecar.child.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
    line.split_whitespace().next().unwrap().parse().unwrap()
}

/// Asks until that many requests were served; how many servers did.
fn ask(sidecar: &Sidecar, requests: usize) -> usize {
    let mut client = Client::connect(sidecar.address);
    let mut by_server: HashMap<Vec<u8>, usize> = HashMap::new();
    let start = Instant::now();
    while by_server.values().sum::<usize>() < requests {
        assert!(start.elapsed() < WAIT_TIMEOUT, "served {by_server:?}");
        let answer = client.exchange("fetch");
        if answer.status() == 200 {
            *by_server.entry(answer.body).or_default() += 1;
        }
    }
    by_server.len()
}

/// Every form of a list, through the program's own reader to the decisions: all servers are known, and requests are served.
#[test]
fn lists_of_1200_servers_are_read_in_every_form() {
    let upstreams = ManyUpstreams::new(SERVERS);
    let entries = upstreams.entries();
    let whole = server_list(7, true, &entries);
    let empty_then_changes = [server_list(7, true, &[]), server_list(8, false, &entries)];
    let many_changes: Vec<String> = std::iter::once(server_list(7, true, &entries[..1]))
        .chain(entries.chunks(7).enumerate().map(|(at, part)| server_list(8 + at as u64, false, part)))
        .collect();
    let pretty: Vec<String> = many_changes.iter().map(|list| indented(list)).collect();
    let in_pieces = |bytes: Vec<u8>, size: usize| bytes.chunks(size).map(<[u8]>::to_vec).collect::<Vec<_>>();
    let forms: Vec<(&str, Vec<Vec<u8>>)> = vec![
        ("whole, on one line, at once", vec![lines(std::slice::from_ref(&whole))]),
        ("whole, on one line, in pieces of 97 bytes", in_pieces(lines(std::slice::from_ref(&whole)), 97)),
        ("whole, indented, at once", vec![lines(&[indented(&whole)])]),
        ("whole, indented, in pieces of 61 bytes", in_pieces(lines(&[indented(&whole)]), 61)),
        ("changes, all in one", vec![lines(&empty_then_changes)]),
        ("changes, one after the other", in_pieces(lines(&many_changes), 1_000)),
        ("changes, indented, in pieces of 113 bytes", in_pieces(lines(&pretty), 113)),
    ];
    assert!(indented(&whole).len() < 512 << 10, "{} bytes", indented(&whole).len());
    for (form, pieces) in forms {
        let (address, console) = (discovery_in_pieces(pieces), free_address());
        let text = config_json("127.0.0.1:0", address, "null", 1024, &settings_of(SIDECARS));
        let sidecar = Sidecar::start(&config_with_console(&text, &console.to_string()));
        wait_until(form, || telemetry(console)["known_upstreams"] == SERVERS);
        let servers = ask(&sidecar, 60);
        let (memory, threads) = (process_figure(&sidecar, "VmRSS:"), process_figure(&sidecar, "Threads:"));
        println!("{form}: {SERVERS} known, {servers} served 60 requests, {memory} KiB, {threads} threads");
        assert!(servers >= 2, "{form}: members of the subset");
    }
    // As it is kept in the file that a process is started with.
    let (silent, console) = (discovery_in_pieces(Vec::new()), free_address());
    let text = config_json("127.0.0.1:0", silent, &whole, 1024, &settings_of(SIDECARS));
    let sidecar = Sidecar::start(&config_with_console(&text, &console.to_string()));
    wait_until("as known at the start", || telemetry(console)["known_upstreams"] == SERVERS);
    ask(&sidecar, 60);
}

/// The only sidecar knows all 1,200, with fewer connections than that: each is reached in the end. Its memory beside that of one
/// that knows two servers.
#[test]
fn each_of_1200_servers_is_reached() {
    const CLIENTS: usize = 4;
    let upstreams = ManyUpstreams::new(SERVERS);
    let start = |entries: &[String]| {
        let known = server_list(7, true, entries);
        let address = discovery_in_pieces(vec![lines(&[known])]);
        let sidecar = Sidecar::start(&config_json("127.0.0.1:0", address, "null", 1024, &settings_of(1)));
        sidecar.wait_until_up();
        sidecar
    };
    let small = start(&upstreams.entries()[..2]);
    ask(&small, 200);
    let large = start(&upstreams.entries());
    let before = process_figure(&large, "VmRSS:");
    let begun = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                let mut client = Client::connect(large.address);
                while upstreams.reached() < SERVERS && begun.elapsed() < WAIT_TIMEOUT {
                    assert!(matches!(client.exchange("fetch").status(), 200 | 503));
                }
            });
        }
    });
    let requests: usize = upstreams.served.iter().map(|count| count.load(Ordering::SeqCst)).sum();
    let memory = [&small, &large].map(|sidecar| process_figure(sidecar, "VmRSS:"));
    let threads = [&small, &large].map(|sidecar| process_figure(sidecar, "Threads:"));
    println!(
        "{} of {SERVERS} reached by {requests} requests in {:?}; 2 servers: {} KiB, {} threads; {SERVERS}: {before} KiB at \
         first, {} KiB with connections, {} threads",
        upstreams.reached(),
        begun.elapsed(),
        memory[0],
        threads[0],
        memory[1],
        threads[1],
    );
    assert_eq!(upstreams.reached(), SERVERS, "after {requests} requests");
    assert_eq!(threads[0], threads[1], "threads do not grow with the list");
    assert!(memory[1] < memory[0] + (48 << 10), "{memory:?} KiB");
}

/// A new process beside the old one takes all 1,200 over, with what was learnt of them.
#[test]
fn a_list_of_1200_servers_is_handed_to_a_new_process() {
    let upstreams = ManyUpstreams::new(SERVERS);
    let known = server_list(7, true, &upstreams.entries());
    let socket = StdListener::bind("127.0.0.1:0").unwrap();
    let tmp: PathBuf =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("many-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let start = |discovery: SocketAddr| {
        let listen = socket.local_addr().unwrap().to_string();
        let text = config_json(&listen, discovery, "null", 1024, &settings_of(1));
        Sidecar::start_on_socket(&socket, &text, &[("TMPDIR", &tmp)])
    };
    let elder = start(discovery_in_pieces(vec![lines(&[known])]));
    elder.wait_for_log("serving");
    ask(&elder, 2_000);
    let younger = start(discovery_in_pieces(Vec::new()));
    younger.wait_for_log(&format!("handover: goes on from {SERVERS} upstreams and what was learnt"));
    drop(elder);
    younger.wait_for_log("serving");
    ask(&younger, 60);
    let _ = std::fs::remove_dir_all(&tmp);
}
