//! UDP flows on loopback: feeds through a listener, with servers that vanish, floods, odd datagrams, handover and kills.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sagemast_flows::api::{Drop, FlowId};
use sagemast_flows::file::File;
use sagemast_stage::feeds::{FeedServer, Viewers, flood};
use sagemast_udp::{Front, View};

const EVERY: Duration = Duration::from_millis(50);
/// A condition that does not come about in this time never will.
const PATIENCE: Duration = Duration::from_secs(20);

fn any() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn file(servers: &[SocketAddr], more: &str) -> File {
    let entry = |(n, at): (usize, &SocketAddr)| format!("{{ name = \"s{n}\", dial = \"{at}\" }}");
    let entries: Vec<String> = servers.iter().enumerate().map(entry).collect();
    let text = format!(
        "[[listener]]\nname = \"t\"\nlisten = \"127.0.0.1:0\"\nseed = 3\nservers = [{}]\n{more}",
        entries.join(", ")
    );
    File::read(&text).unwrap_or_else(|faults| panic!("{text}: {faults:?}"))
}

fn start(file: &File) -> (Front, SocketAddr) {
    let front = Front::start(file, Vec::new(), |_| None, &|_| None).expect("it listens");
    let at = front.address("t").expect("it is there");
    (front, at)
}

async fn servers(count: u16) -> Vec<FeedServer> {
    let mut all = Vec::new();
    for id in 0..count {
        all.push(FeedServer::start(any(), id, EVERY, 200).await.expect("a server"));
    }
    all
}

fn addresses(servers: &[FeedServer]) -> Vec<SocketAddr> {
    servers.iter().map(FeedServer::address).collect()
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "never: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn viewers(count: usize, to: SocketAddr) -> Viewers {
    let all = Viewers::start(count, 1, Ipv4Addr::LOCALHOST.into(), to, EVERY * 4, EVERY * 10).await;
    let all = all.expect("viewers");
    until("all viewers are served", || all.seen().iter().all(|seen| seen.received > 10)).await;
    all
}

fn view(front: &Front) -> View {
    let view = front.view("t", 10_000).expect("it answers");
    assert_eq!(view.counts.astray(), 0, "{:?}", view.counts);
    assert_eq!(view.counts.open(), view.sizes[0] as i128);
    view
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_reach_their_own_viewers_in_order_and_survive_a_flood() {
    let servers = servers(3).await;
    let (front, at) = start(&file(&addresses(&servers), "flows = 400\ntentative = 100\n"));
    let viewers = viewers(60, at).await;
    assert!(servers.iter().all(|server| server.viewers() > 5));
    // 5,000 datagrams from ports of one address, then from 500 addresses, while feeds go on.
    for sources in [1, 500] {
        let over = Duration::from_millis(500);
        let sent =
            tokio::task::spawn_blocking(move || flood(at, 5_000, sources, over)).await.expect("it ends");
        assert!(sent > 4_000);
        let before: Vec<u64> = viewers.seen().iter().map(|seen| seen.received).collect();
        until("all feeds go on", || {
            viewers.seen().iter().zip(&before).all(|(seen, before)| seen.received > before + 10)
        })
        .await;
    }
    let seen = viewers.seen();
    assert!(seen.iter().all(|seen| seen.foreign == 0 && seen.late == 0), "{seen:?}");
    assert!(seen.iter().all(|seen| seen.servers.len() == 1), "a flood moved a feed");
    let view = view(&front);
    assert!(view.sizes[0] <= 400 && view.sizes[1] <= 100);
    assert!(view.counts.dropped[Drop::SourceNew as usize] > 0);
    assert!(view.flows.iter().filter(|flow| flow.live).count() >= 60);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_move_from_servers_that_are_refused_or_silent() {
    let mut servers = servers(3).await;
    let (front, at) = start(&file(&addresses(&servers), ""));
    let viewers = viewers(30, at).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    servers[1].silence(true);
    until("the silent one is left", || view(&front).servers[1].flows[0] == 0).await;
    let gone = servers.remove(2);
    drop(gone);
    until("the refused one is left", || view(&front).servers[2].flows[0] == 0).await;
    viewers.forget();
    until("all feeds go on", || viewers.seen().iter().all(|seen| seen.received > 10)).await;
    assert!(viewers.seen().iter().all(|seen| seen.servers.last() == Some(&0)));
    assert_eq!(view(&front).counts.lost, [1, 1]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_last_server_comes_back() {
    let servers = servers(1).await;
    let place = servers[0].address();
    let (front, at) = start(&file(&[place], ""));
    let viewers = viewers(10, at).await;
    drop(servers);
    until("it counts as lost", || view(&front).servers[0].state == "lost").await;
    let again = FeedServer::start(place, 9, EVERY, 200).await.expect("the port is free");
    until("it serves again", || view(&front).servers[0].state == "serving").await;
    until("all feeds go on", || viewers.seen().iter().all(|seen| seen.servers.last() == Some(&9))).await;
    assert_eq!(again.viewers(), 10);
}

/// Echoes what comes.
fn echo() -> SocketAddr {
    let socket = UdpSocket::bind(any()).expect("a socket");
    let at = socket.local_addr().expect("an address");
    std::thread::spawn(move || {
        let mut buffer = vec![0; 65_536];
        while let Ok((length, from)) = socket.recv_from(&mut buffer) {
            if &buffer[..length] == b"end" {
                return;
            }
            let _ = socket.send_to(&buffer[..length], from);
        }
    });
    at
}

#[test]
fn datagrams_of_any_size_pass_unchanged() {
    let server = echo();
    let (front, at) = start(&file(&[server], ""));
    let client = UdpSocket::bind(any()).expect("a socket");
    client.set_read_timeout(Some(PATIENCE)).expect("a time");
    client.connect(at).expect("a peer");
    let mut buffer = vec![0; 65_536];
    for length in [1, 0, 1_472, 65_507, 0, 9_000] {
        let payload: Vec<u8> = (0..length).map(|at| (at % 251) as u8).collect();
        client.send(&payload).expect("it is sent");
        let got = client.recv(&mut buffer).expect("it comes back");
        assert_eq!((got, &buffer[..got]), (length, &payload[..]));
    }
    // Many of one size at once may be read as one; they stay apart.
    for number in 0..200_u8 {
        client.send(&[number; 64]).expect("it is sent");
    }
    let mut came = Vec::new();
    for _ in 0..200 {
        let got = client.recv(&mut buffer).expect("it comes back");
        assert_eq!(got, 64);
        came.push(buffer[0]);
    }
    assert_eq!(came, (0..200).collect::<Vec<u8>>());
    assert_eq!(view(&front).counts.forwarded, [206, 206]);
    client.send(b"end").expect("it is sent");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_go_on_in_a_successor_and_after_a_kill() {
    let servers = servers(2).await;
    let kept: Arc<Mutex<Vec<u8>>> = Arc::default();
    let keep = kept.clone();
    let keepers = move |_: &str| -> Option<sagemast_udp::Keeper> {
        let keep = keep.clone();
        Some(Box::new(move |table| *keep.lock().expect("sound") = table))
    };
    let file = file(&addresses(&servers), "keep_every_ms = 100\n");
    let front = Front::start(&file, Vec::new(), |_| None, &keepers).expect("it listens");
    let at = front.address("t").expect("it is there");
    let viewers = viewers(40, at).await;
    let at_servers = |servers: &[FeedServer]| -> Vec<Vec<u64>> {
        let sorted = |server: &FeedServer| {
            let mut feeds = server.feeds();
            feeds.sort_unstable();
            feeds
        };
        servers.iter().map(sorted).collect()
    };
    let before = at_servers(&servers);
    viewers.forget();

    // Handover: what comes meanwhile waits in the sockets.
    let legacies = front.freeze();
    assert_eq!(legacies[0].sockets.len(), 40);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let next = Front::start(&file, legacies, |_| None, &keepers).expect("it takes over");
    drop(front);
    assert_eq!(next.address("t"), Some(at));
    until("all feeds go on", || viewers.seen().iter().all(|seen| seen.received > 10)).await;
    let seen = viewers.seen();
    assert!(seen.iter().all(|seen| seen.lost == 0 && seen.late == 0), "lost in the handover: {seen:?}");
    assert_eq!(at_servers(&servers), before, "a feed was moved, or begun anew");
    assert_eq!(view(&next).counts.restored, 40);

    // A kill: sockets are gone, the table is what was written last, the ports are the same.
    until("the table is written", || !kept.lock().expect("sound").is_empty()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let table = kept.lock().expect("sound").clone();
    drop(next);
    let pinned = File { listeners: file.listeners.clone() };
    let mut pinned = pinned;
    pinned.listeners[0].listen = at;
    let after =
        Front::start(&pinned, Vec::new(), |_| Some(table.clone()), &keepers).expect("it listens again");
    viewers.forget();
    until("all feeds go on", || viewers.seen().iter().all(|seen| seen.received > 10)).await;
    assert_eq!(at_servers(&servers), before, "a feed was moved, or begun anew");
    assert_eq!(view(&after).counts.restored, 40);
    assert_eq!(view(&after).counts.begun, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_handover_that_fails_leaves_the_feeds_where_they_were() {
    let servers = servers(2).await;
    let (front, at) = start(&file(&addresses(&servers), ""));
    let viewers = viewers(10, at).await;
    drop(front.freeze());
    front.thaw();
    viewers.forget();
    until("all feeds go on", || viewers.seen().iter().all(|seen| seen.received > 10)).await;
    assert!(viewers.seen().iter().all(|seen| seen.lost == 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_see_move_and_end_flows_and_change_limits() {
    let servers = servers(2).await;
    let hello = "hello = \"SGM1\"\n";
    let (mut front, at) = start(&file(&addresses(&servers), hello));
    let viewers = viewers(10, at).await;
    let flow = view(&front).flows[0].clone();
    let other = if flow.server == "s0" { "s1" } else { "s0" };
    front.move_flow("t", flow.id, Some(other.to_owned())).expect("it moves");
    let moved = view(&front).flows.into_iter().find(|now| now.id == flow.id).expect("it is there");
    assert_eq!(moved.server, other);
    // The server is told: the prefix, the flow, and why.
    let told = |hellos: Vec<Vec<u8>>| {
        let mut wanted = b"SGM1".to_vec();
        wanted.extend(flow.id.number().to_be_bytes());
        wanted.push(sagemast_flows::api::Cause::Told as u8);
        hellos.contains(&wanted)
    };
    until("the server is told", || servers.iter().any(|server| told(server.hellos()))).await;
    assert!(front.move_server("t", "nobody").is_err());
    assert!(front.drop_flow("t", FlowId { slot: 9_999, generation: 0 }).is_err());
    front.drop_flow("t", flow.id).expect("it ends");
    // Its viewer asks again, and is a new flow.
    let generation_grew = || view(&front).flows.iter().any(|now| now.id.generation > 0 && now.live);
    until("it begins anew", generation_grew).await;
    // Another file in force: one server drains at once, and the limits are others.
    let text = hello.to_owned() + "drain_grace_ms = 500\nflows = 50\n";
    let mut next = file(&addresses(&servers), &text);
    next.listeners[0].listen = "127.0.0.1:0".parse().expect("an address");
    if let sagemast_flows::file::From::File(fixed) = &mut next.listeners[0].servers {
        fixed[0].draining = true;
    }
    assert!(front.apply(&next, &|_| None).is_empty());
    until("the draining one is left", || view(&front).servers[0].flows[0] == 0).await;
    assert_eq!(view(&front).limits[0], 50);
    viewers.stop().await;
}

#[test]
fn a_listener_that_cannot_listen_is_a_plain_line() {
    let taken = UdpSocket::bind(any()).expect("a socket");
    let mut file = file(&[any()], "");
    file.listeners[0].listen = taken.local_addr().expect("an address");
    let fault = Front::start(&file, Vec::new(), |_| None, &|_| None).err().expect("it is taken");
    assert!(fault.starts_with("flows: t: cannot listen on 127.0.0.1:"), "{fault}");
}

#[test]
fn a_viewer_that_changes_its_port_keeps_its_flow_by_its_id() {
    let server = echo();
    let ids = "id = { offset = 0, length = 4 }\nrebind_after_ms = 200\n";
    let (front, at) = start(&file(&[server], ids));
    let socket = || {
        let socket = UdpSocket::bind(any()).expect("a socket");
        socket.set_read_timeout(Some(PATIENCE)).expect("a time");
        socket.connect(at).expect("a peer");
        socket
    };
    let exchange = |socket: &UdpSocket, payload: &[u8]| {
        let mut buffer = [0; 64];
        socket.send(payload).expect("it is sent");
        let got = socket.recv(&mut buffer).expect("it comes back");
        assert_eq!(&buffer[..got], payload);
    };
    let (first, second) = (socket(), socket());
    exchange(&first, b"abcd 1");
    exchange(&first, b"abcd 2");
    // While the first is heard, the same id from elsewhere is another flow.
    exchange(&second, b"abcd mine");
    assert_eq!((view(&front).sizes[0], view(&front).counts.claimed), (2, 1));
    exchange(&first, b"abcd 3");
    // Another port, after a while: the flow goes on there.
    std::thread::sleep(Duration::from_millis(300));
    let moved = socket();
    exchange(&moved, b"abcd 4");
    let view = view(&front);
    assert_eq!((view.sizes[0], view.counts.rebound), (2, 1));
    let client = moved.local_addr().expect("an address");
    assert!(view.flows.iter().any(|flow| flow.client == client && flow.datagrams[0] == 4), "{view:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_the_kernel_drops_while_nobody_reads_is_counted_and_feeds_go_on() {
    let servers = servers(1).await;
    let (front, at) = start(&file(&addresses(&servers), "buffer_kib = 64\n"));
    let viewers = viewers(5, at).await;
    drop(front.freeze());
    let client = UdpSocket::bind(any()).expect("a socket");
    for _ in 0..100 {
        client.send_to(&[0; 60_000], at).expect("loopback takes it");
    }
    front.thaw();
    viewers.forget();
    until("all feeds go on", || viewers.seen().iter().all(|seen| seen.received > 10)).await;
    let view = view(&front);
    if let Some(drops) = view.kernel_drops {
        assert!(drops > 50, "{drops}");
    }
    assert!(viewers.seen().iter().all(|seen| seen.servers.len() == 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_answers_late_loses_new_flows_to_one_that_does_not() {
    let servers = servers(2).await;
    servers[0].answer_late(1_000);
    let (front, at) = start(&file(&addresses(&servers), "unanswered_ms = 10000\n"));
    let viewers = viewers(10, at).await;
    until("all are live", || view(&front).flows.iter().filter(|flow| flow.live).count() >= 10).await;
    let view = view(&front);
    assert!(view.servers[1].flows[0] > view.servers[0].flows[0], "{:?}", view.servers);
    drop(viewers);
}

/// Who sent what an echo got: its address, and the head of the datagram.
type Heads = Arc<Mutex<std::collections::BTreeSet<(SocketAddr, Vec<u8>)>>>;

/// Echoes, and keeps the first 12 bytes of what comes, with where from.
fn recording_echo() -> (SocketAddr, Heads) {
    let socket = UdpSocket::bind(any()).expect("a socket");
    let (at, heads) = (socket.local_addr().expect("an address"), Heads::default());
    let seen = heads.clone();
    std::thread::spawn(move || {
        let mut buffer = vec![0; 65_536];
        while let Ok((length, from)) = socket.recv_from(&mut buffer) {
            seen.lock().expect("sound").insert((from, buffer[..length.min(12)].to_vec()));
            // One without more only tells of its flow.
            if length > 12 {
                let _ = socket.send_to(&buffer[..length], from);
            }
        }
    });
    (at, heads)
}

#[test]
fn flows_that_share_a_socket_are_told_apart_by_their_numbers_also_in_a_successor() {
    let (server, heads) = recording_echo();
    let file = file(&[server], "sockets = \"shared\"\nhello = \"SGM1\"\n");
    let (front, at) = start(&file);
    let clients: Vec<UdpSocket> = (0..20)
        .map(|_| {
            let socket = UdpSocket::bind(any()).expect("a socket");
            socket.set_read_timeout(Some(PATIENCE)).expect("a time");
            socket.connect(at).expect("a peer");
            socket
        })
        .collect();
    let round = |salt: u8| {
        for (number, client) in clients.iter().enumerate() {
            client.send(&[salt, number as u8, 3]).expect("it is sent");
        }
        for (number, client) in clients.iter().enumerate() {
            let mut buffer = [0; 64];
            let got = client.recv(&mut buffer).expect("it comes back");
            assert_eq!(buffer[..got], [salt, number as u8, 3], "another's, or with a head");
        }
    };
    round(1);
    round(2);
    let before = heads.lock().expect("sound").clone();
    assert_eq!(before.len(), 20, "a number each");
    assert!(
        before
            .iter()
            .all(|(from, head)| *from == before.first().expect("some").0 && head.starts_with(b"SGM1"))
    );
    // A successor goes on by the same socket with the same numbers.
    let legacies = front.freeze();
    assert_eq!(legacies[0].sockets.len(), 1);
    let next = Front::start(&file, legacies, |_| None, &|_| None).expect("it takes over");
    drop(front);
    round(3);
    assert_eq!(*heads.lock().expect("sound"), before);
    assert_eq!(view(&next).counts.restored, 20);
    // What names no flow of this listener goes nowhere.
    let stranger = UdpSocket::bind(any()).expect("a socket");
    let own = before.first().expect("some").0;
    let _ = stranger.send_to(b"SGM1nonsense", own);
    round(4);
    assert_eq!(view(&next).sizes, [20, 0]);
}

#[test]
fn a_datagram_that_the_kernel_refuses_to_send_is_counted_and_its_flow_goes_on() {
    // With a head before it the largest datagram has no place in one.
    let shared = "sockets = \"shared\"\nhello = \"SGM1\"\n";
    let (front, at) = start(&file(&[echo()], shared));
    let client = UdpSocket::bind(any()).expect("a socket");
    client.connect(at).expect("a peer");
    client.set_read_timeout(Some(PATIENCE)).expect("a time");
    let mut buffer = vec![0; 65_536];
    client.send(&[1; 65_507]).expect("it is sent");
    client.send(&[1; 60_000]).expect("it is sent");
    assert_eq!(client.recv(&mut buffer).expect("it comes back"), 60_000);
    assert_eq!(view(&front).counts.dropped[Drop::Send as usize], 1);
}
