//! Tests of server lists with 1,200 entries at one of 1,200 sidecars: a list is read in every form that discovery may use, kept,
//! passed to a successor, and used to serve requests.
//!
//! The limits that apply to such a list, none of which is too low:
//!
//! | limit on | constant | value | at 1,200 |
//! | --- | --- | --- | --- |
//! | bytes of one list from discovery | `discovery::MAX_LIST_BYTES` | 2 MiB | 0.5 MiB at most, indented |
//! | nesting depth of the list | `json_stream::MAX_NESTING_DEPTH` | 32 | 3 |
//! | bytes of one line between processes | `handover::message::MAX_LINE_BYTES` | 8 MiB | under 1 MiB |
//! | servers in the handover state | `snapshot::MAX_SERVERS` | 100,000 | 1,200 |
//! | kinds in the handover state | `snapshot::MAX_KINDS` | 1,024 | counts kinds, not servers |
//! | kinds above which unused ones are dropped | `balancer::MAX_KINDS` | 64 | kinds in use stay, however many |
//! | sidecars in the order of a server | `subset::MAX_SIDECARS` | 16,777,216 | 1,200 |
//! | servers examined for one request | `balancer::MAX_EXAMINED`, `slow_start::MAX_EXAMINED` | 24 | sampled from all for each request |
//! | minimum owners of a server in slow start | `slow_start::MIN_OWNERS` | 4 | up to all sidecars, by its allowance |
//! | unreachable servers that mark a zone unreachable | `zone_outage::MIN_UNREACHABLE_SERVERS` | 3 | a threshold, not a limit |
//! | connections to upstreams | `limits.sockets`, `limits.memory_mb` | (sockets - 40) / 2 | the oldest idle one is evicted |
//! | processes of one sidecar at once | `shares::MAX_PROCESSES_PER_SIDE` | 8 | processes of an upgrade, not sidecars |

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

/// Upstreams on one thread, each on its own port, that count the requests they receive.
struct ManyUpstreams {
    addresses: Vec<SocketAddr>,
    served: Arc<Vec<AtomicUsize>>,
}

impl ManyUpstreams {
    fn new(count: usize) -> ManyUpstreams {
        let served: Arc<Vec<AtomicUsize>> = Arc::new((0..count).map(|_| AtomicUsize::new(0)).collect());
        let (address_sender, addresses) = mpsc::channel();
        let counts = served.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async move {
                for number in 0..count {
                    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
                    address_sender.send(listener.local_addr().unwrap()).unwrap();
                    tokio::spawn(accept(listener, counts.clone(), number));
                }
                std::future::pending::<()>().await;
            });
        });
        ManyUpstreams { addresses: addresses.iter().take(count).collect(), served }
    }

    /// The number of upstreams that have received a request.
    fn reached_count(&self) -> usize {
        self.served.iter().filter(|count| count.load(Ordering::SeqCst) > 0).count()
    }

    /// The upstreams as entries of a server list.
    fn entries(&self) -> Vec<String> {
        let numbered = self.addresses.iter().enumerate();
        numbered
            .map(|(number, address)| server_entry(&format!("server-{number:04}"), *address, "ready"))
            .collect()
    }
}

async fn accept(listener: tokio::net::TcpListener, served: Arc<Vec<AtomicUsize>>, number: usize) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_requests(stream, served.clone(), number));
    }
}

/// Answers requests without a body, and requests for a load report.
async fn serve_requests(mut stream: tokio::net::TcpStream, served: Arc<Vec<AtomicUsize>>, number: usize) {
    let (mut received, mut buffer) = (Vec::new(), [0; 2_048]);
    loop {
        match stream.read(&mut buffer).await {
            Ok(read) if read > 0 => received.extend_from_slice(&buffer[..read]),
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

/// The settings of a sidecar in a group of `sidecars`.
fn settings_with_sidecar_count(sidecars: usize) -> String {
    SETTINGS.replace(r#""peers_total":3"#, &format!(r#""peers_total":{sidecars}"#))
}

/// Discovery that sends these pieces on every watch, each in its own chunk, and then keeps the watch alive.
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

/// The same list in indented JSON.
fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

/// The texts, each with a line end.
fn lines(texts: &[String]) -> Vec<u8> {
    texts.iter().flat_map(|text| [text.as_bytes(), b"\n"].concat()).collect()
}

/// A value of `/proc/PID/status` for the sidecar's process.
fn process_status_value(sidecar: &Sidecar, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", sidecar.child.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
    line.split_whitespace().next().unwrap().parse().unwrap()
}

/// Sends requests until `requests` of them were served. Returns the number of servers that served them.
fn serve_and_count_servers(sidecar: &Sidecar, requests: usize) -> usize {
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

/// Guards against a list form or a limit for which a sidecar knows only a part of the servers or serves nothing.
#[test]
fn lists_of_1200_servers_are_read_in_every_form() {
    let upstreams = ManyUpstreams::new(SERVERS);
    let entries = upstreams.entries();
    let complete = server_list(7, true, &entries);
    let empty_then_changes = [server_list(7, true, &[]), server_list(8, false, &entries)];
    let many_changes: Vec<String> = std::iter::once(server_list(7, true, &entries[..1]))
        .chain(entries.chunks(7).enumerate().map(|(at, part)| server_list(8 + at as u64, false, part)))
        .collect();
    let pretty: Vec<String> = many_changes.iter().map(|list| indented(list)).collect();
    let in_pieces = |bytes: Vec<u8>, size: usize| bytes.chunks(size).map(<[u8]>::to_vec).collect::<Vec<_>>();
    let forms: Vec<(&str, Vec<Vec<u8>>)> = vec![
        ("complete, on one line, at once", vec![lines(std::slice::from_ref(&complete))]),
        (
            "complete, on one line, in pieces of 97 bytes",
            in_pieces(lines(std::slice::from_ref(&complete)), 97),
        ),
        ("complete, indented, at once", vec![lines(&[indented(&complete)])]),
        ("complete, indented, in pieces of 61 bytes", in_pieces(lines(&[indented(&complete)]), 61)),
        ("all changes in one list", vec![lines(&empty_then_changes)]),
        ("changes in many lists", in_pieces(lines(&many_changes), 1_000)),
        ("changes in many indented lists, in pieces of 113 bytes", in_pieces(lines(&pretty), 113)),
    ];
    assert!(indented(&complete).len() < 512 << 10, "{} bytes", indented(&complete).len());
    for (form, pieces) in forms {
        let (address, console) = (discovery_in_pieces(pieces), free_address());
        let text = config_json("127.0.0.1:0", address, "null", 1024, &settings_with_sidecar_count(SIDECARS));
        let sidecar = Sidecar::start(&config_with_console(&text, &console.to_string()));
        wait_until(form, || telemetry(console)["known_upstreams"] == SERVERS);
        let servers = serve_and_count_servers(&sidecar, 60);
        let (memory, threads) =
            (process_status_value(&sidecar, "VmRSS:"), process_status_value(&sidecar, "Threads:"));
        println!("{form}: {SERVERS} known, {servers} served 60 requests, {memory} KiB, {threads} threads");
        assert!(servers >= 2, "{form}: members of the subset");
    }
    // The list in the configuration file that a process starts with.
    let (silent_discovery, console) = (discovery_in_pieces(Vec::new()), free_address());
    let text =
        config_json("127.0.0.1:0", silent_discovery, &complete, 1024, &settings_with_sidecar_count(SIDECARS));
    let sidecar = Sidecar::start(&config_with_console(&text, &console.to_string()));
    wait_until("the list of the configuration file is known", || {
        telemetry(console)["known_upstreams"] == SERVERS
    });
    serve_and_count_servers(&sidecar, 60);
}

/// Guards against servers that a single sidecar never reaches because it may have fewer connections than servers, and against
/// memory or threads that grow with the list: it is compared with a sidecar that knows two servers.
#[test]
fn single_sidecar_reaches_each_of_1200_servers() {
    const CLIENTS: usize = 4;
    let upstreams = ManyUpstreams::new(SERVERS);
    let start = |entries: &[String]| {
        let known = server_list(7, true, entries);
        let address = discovery_in_pieces(vec![lines(&[known])]);
        let sidecar = Sidecar::start(&config_json(
            "127.0.0.1:0",
            address,
            "null",
            1024,
            &settings_with_sidecar_count(1),
        ));
        sidecar.wait_until_up();
        sidecar
    };
    let small = start(&upstreams.entries()[..2]);
    serve_and_count_servers(&small, 200);
    let large = start(&upstreams.entries());
    let initial_memory = process_status_value(&large, "VmRSS:");
    let start_time = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                let mut client = Client::connect(large.address);
                while upstreams.reached_count() < SERVERS && start_time.elapsed() < WAIT_TIMEOUT {
                    assert!(matches!(client.exchange("fetch").status(), 200 | 503));
                }
            });
        }
    });
    let requests: usize = upstreams.served.iter().map(|count| count.load(Ordering::SeqCst)).sum();
    let memory = [&small, &large].map(|sidecar| process_status_value(sidecar, "VmRSS:"));
    let threads = [&small, &large].map(|sidecar| process_status_value(sidecar, "Threads:"));
    println!(
        "{} of {SERVERS} reached by {requests} requests in {:?}; 2 servers: {} KiB, {} threads; {SERVERS}: {initial_memory} KiB at \
         first, {} KiB with connections, {} threads",
        upstreams.reached_count(),
        start_time.elapsed(),
        memory[0],
        threads[0],
        memory[1],
        threads[1],
    );
    assert_eq!(upstreams.reached_count(), SERVERS, "after {requests} requests");
    assert_eq!(threads[0], threads[1], "the number of threads does not grow with the list");
    assert!(memory[1] < memory[0] + (48 << 10), "{memory:?} KiB");
}

/// Guards against a handover that passes only a part of the servers, or not the estimates about them, to the successor.
#[test]
fn list_of_1200_servers_is_handed_over_to_a_successor() {
    let upstreams = ManyUpstreams::new(SERVERS);
    let known = server_list(7, true, &upstreams.entries());
    let socket = StdListener::bind("127.0.0.1:0").unwrap();
    let temp_dir: PathBuf =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("many-{}", std::process::id()));
    std::fs::create_dir_all(&temp_dir).unwrap();
    let start = |discovery: SocketAddr| {
        let listen = socket.local_addr().unwrap().to_string();
        let text = config_json(&listen, discovery, "null", 1024, &settings_with_sidecar_count(1));
        Sidecar::start_on_socket(&socket, &text, &[("TMPDIR", &temp_dir)])
    };
    let predecessor = start(discovery_in_pieces(vec![lines(&[known])]));
    predecessor.wait_for_log("serving");
    serve_and_count_servers(&predecessor, 2_000);
    let successor = start(discovery_in_pieces(Vec::new()));
    successor.wait_for_log(&format!("handover: goes on from {SERVERS} upstreams and what was learnt"));
    drop(predecessor);
    successor.wait_for_log("serving");
    serve_and_count_servers(&successor, 60);
    let _ = std::fs::remove_dir_all(&temp_dir);
}
