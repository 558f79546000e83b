//! Live feeds over UDP: servers that number what they send to each viewer, viewers that tell loss, disorder, pauses and
//! who served them, and floods of datagrams from one source or many.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket as StdSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

/// What a viewer sends begins so; then comes its feed's id.
const ASK: &[u8; 4] = b"VIEW";
/// What a server sends begins so; then come the server's number, the feed's id and the datagram's number.
const FEED: &[u8; 4] = b"FEED";
/// The head of a server's datagram.
const HEAD: usize = 4 + 2 + 8 + 8;
/// A viewer that was not heard for so long is sent nothing more.
const FORGET: Duration = Duration::from_secs(2);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Subscriber {
    feed: u64,
    number: u64,
    heard: Instant,
}

#[derive(Default)]
struct ServerState {
    silent: AtomicBool,
    late_ms: AtomicU64,
    subscribers: Mutex<HashMap<SocketAddr, Subscriber>>,
    received: AtomicU64,
    sent: AtomicU64,
    hellos: Mutex<Vec<Vec<u8>>>,
}

/// A server of feeds. Its socket closes when it is dropped, and its host refuses from then on.
pub struct FeedServer {
    address: SocketAddr,
    state: Arc<ServerState>,
    _tasks: JoinSet<()>,
}

impl FeedServer {
    /// A server at this address that sends each viewer a datagram of so many bytes every so often.
    pub async fn start(at: SocketAddr, id: u16, every: Duration, bytes: usize) -> io::Result<FeedServer> {
        let socket = StdSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        // Smaller buffers than asked for still serve.
        let _ = enlarge(&socket);
        let socket = Arc::new(UdpSocket::from_std(socket)?);
        let state = Arc::new(ServerState::default());
        let mut tasks = JoinSet::new();
        tasks.spawn(listen(socket.clone(), state.clone()));
        let address = socket.local_addr()?;
        tasks.spawn(speak(socket, state.clone(), id, every, bytes.max(HEAD)));
        Ok(FeedServer { address, state, _tasks: tasks })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Says nothing from now on, or speaks again; its socket stays open.
    pub fn silence(&self, silent: bool) {
        self.state.silent.store(silent, Ordering::Relaxed);
    }

    /// Takes in what comes only after so many milliseconds.
    pub fn answer_late(&self, ms: u64) {
        self.state.late_ms.store(ms, Ordering::Relaxed);
    }

    /// Viewers that it sends to.
    pub fn viewers(&self) -> usize {
        let now = Instant::now();
        lock(&self.state.subscribers).values().filter(|viewer| now - viewer.heard < FORGET).count()
    }

    /// The ids of their feeds.
    pub fn feeds(&self) -> Vec<u64> {
        lock(&self.state.subscribers).values().map(|viewer| viewer.feed).collect()
    }

    /// Datagrams that it got, and sent.
    pub fn counts(&self) -> [u64; 2] {
        [self.state.received.load(Ordering::Relaxed), self.state.sent.load(Ordering::Relaxed)]
    }

    /// What it got that no viewer sent: first datagrams of a balancer, in order, the last 1,000.
    pub fn hellos(&self) -> Vec<Vec<u8>> {
        lock(&self.state.hellos).clone()
    }
}

fn enlarge(socket: &StdSocket) -> io::Result<()> {
    rustix::net::sockopt::set_socket_recv_buffer_size(socket, 4 << 20)?;
    rustix::net::sockopt::set_socket_send_buffer_size(socket, 4 << 20)?;
    Ok(())
}

async fn listen(socket: Arc<UdpSocket>, state: Arc<ServerState>) {
    let mut buffer = vec![0; 65_536];
    loop {
        // A refusal of a viewer that has gone is told here.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        if state.silent.load(Ordering::Relaxed) {
            continue;
        }
        let late = state.late_ms.load(Ordering::Relaxed);
        if late > 0 {
            tokio::time::sleep(Duration::from_millis(late)).await;
        }
        state.received.fetch_add(1, Ordering::Relaxed);
        let asked = buffer[..length].strip_prefix(ASK).and_then(|rest| rest.get(..8)?.try_into().ok());
        let Some(feed) = asked.map(u64::from_be_bytes) else {
            let mut hellos = lock(&state.hellos);
            if hellos.len() < 1_000 {
                hellos.push(buffer[..length].to_vec());
            }
            continue;
        };
        let heard = Instant::now();
        let mut subscribers = lock(&state.subscribers);
        let viewer = subscribers.entry(from).or_insert(Subscriber { feed, number: 0, heard });
        if viewer.feed != feed {
            *viewer = Subscriber { feed, number: 0, heard };
        }
        viewer.heard = heard;
    }
}

async fn speak(socket: Arc<UdpSocket>, state: Arc<ServerState>, id: u16, every: Duration, bytes: usize) {
    let mut ticks = interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut payload = vec![0; bytes];
    payload[..4].copy_from_slice(FEED);
    payload[4..6].copy_from_slice(&id.to_be_bytes());
    loop {
        ticks.tick().await;
        if state.silent.load(Ordering::Relaxed) {
            continue;
        }
        let now = Instant::now();
        let due: Vec<(SocketAddr, u64, u64)> = {
            let mut subscribers = lock(&state.subscribers);
            subscribers.retain(|_, viewer| now - viewer.heard < FORGET);
            let next = |(to, viewer): (&SocketAddr, &mut Subscriber)| {
                viewer.number += 1;
                (*to, viewer.feed, viewer.number)
            };
            subscribers.iter_mut().map(next).collect()
        };
        for (to, feed, number) in due {
            payload[6..14].copy_from_slice(&feed.to_be_bytes());
            payload[14..22].copy_from_slice(&number.to_be_bytes());
            if socket.send_to(&payload, to).await.is_ok() {
                state.sent.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// What a viewer has seen.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// Datagrams of its feed.
    pub received: u64,
    /// Numbers of one server that never came.
    pub lost: u64,
    /// Datagrams that came after one of a higher number.
    pub late: u64,
    /// Datagrams of another feed.
    pub foreign: u64,
    /// Who served it, in order.
    pub servers: Vec<u16>,
    /// Between the last datagram of one server and the first of the next, in milliseconds.
    pub moves: Vec<f64>,
    /// The longest pause, in milliseconds.
    pub longest: f64,
    last: Option<(u64, Instant)>,
}

impl Seen {
    fn take(&mut self, feed: u64, datagram: &[u8]) {
        let word = |at: usize| Some(u64::from_be_bytes(datagram.get(at..at + 8)?.try_into().ok()?));
        let (Some(FEED), Some(of), Some(number)) = (datagram.first_chunk::<4>(), word(6), word(14)) else {
            self.foreign += 1;
            return;
        };
        if of != feed {
            self.foreign += 1;
            return;
        }
        let server = u16::from_be_bytes([datagram[4], datagram[5]]);
        let now = Instant::now();
        let pause = self.last.map_or(0.0, |(_, at)| (now - at).as_secs_f64() * 1e3);
        self.longest = self.longest.max(pause);
        self.received += 1;
        if self.servers.last() != Some(&server) {
            if !self.servers.is_empty() {
                self.moves.push(pause);
            }
            self.servers.push(server);
            self.last = Some((number, now));
            return;
        }
        match self.last {
            Some((last, _)) if number <= last => {
                self.late += 1;
                // It was taken for lost.
                self.lost = self.lost.saturating_sub(1);
                self.last = Some((last, now));
            }
            Some((last, _)) => {
                self.lost += number - last - 1;
                self.last = Some((number, now));
            }
            None => self.last = Some((number, now)),
        }
    }
}

/// Viewers of feeds, each with a socket and a feed of its own.
pub struct Viewers {
    seen: Vec<Arc<Mutex<Seen>>>,
    tasks: JoinSet<()>,
}

impl Viewers {
    /// So many viewers at this address that ask `to` every so often. Feeds are numbered from `first`. They begin one
    /// after the other over `over`.
    pub async fn start(
        count: usize,
        first: u64,
        from: IpAddr,
        to: SocketAddr,
        every: Duration,
        over: Duration,
    ) -> io::Result<Viewers> {
        let mut viewers = Viewers { seen: Vec::new(), tasks: JoinSet::new() };
        for number in 0..count {
            let socket = StdSocket::bind(SocketAddr::new(from, 0))?;
            socket.set_nonblocking(true)?;
            let socket = UdpSocket::from_std(socket)?;
            let seen = Arc::new(Mutex::new(Seen::default()));
            viewers.seen.push(seen.clone());
            let wait = over.mul_f64(number as f64 / count as f64);
            viewers.tasks.spawn(view(socket, first + number as u64, to, every, wait, seen));
        }
        Ok(viewers)
    }

    /// What each has seen so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.iter().map(|seen| lock(seen).clone()).collect()
    }

    /// Forgets what they have seen, but for where they stand.
    pub fn forget(&self) {
        for seen in &self.seen {
            let mut seen = lock(seen);
            let (last, server) = (seen.last, seen.servers.last().copied());
            *seen = Seen { last, servers: server.into_iter().collect(), ..Seen::default() };
        }
    }

    /// Ends all.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

async fn view(
    socket: UdpSocket,
    feed: u64,
    to: SocketAddr,
    every: Duration,
    wait: Duration,
    seen: Arc<Mutex<Seen>>,
) {
    tokio::time::sleep(wait).await;
    let mut ask = ASK.to_vec();
    ask.extend(feed.to_be_bytes());
    let mut ticks = interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; 2_048];
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                // What is lost here is asked for again at the next tick.
                let _ = socket.send_to(&ask, to).await;
            }
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, _)) = received {
                    lock(&seen).take(feed, &buffer[..length]);
                }
            }
        }
    }
}

/// Sends one datagram each from so many ports of one address, or, with `addresses` above 1, from that many loopback
/// addresses in turn, spread over a time. Blocks; returns how many were sent.
pub fn flood(to: SocketAddr, count: u32, addresses: u32, over: Duration) -> u64 {
    let start = Instant::now();
    let mut sent = 0;
    for number in 0..count {
        let due = over.mul_f64(f64::from(number) / f64::from(count));
        if let Some(early) =
            due.checked_sub(start.elapsed()).filter(|early| *early > Duration::from_micros(500))
        {
            std::thread::sleep(early);
        }
        // 127.66.x.y: nobody else listens or sends from there.
        let address = number % addresses.max(1);
        let [_, _, c, d] = (address + 1).to_be_bytes();
        let port = 10_000 + (number / addresses.max(1)) % 50_000;
        let from = SocketAddr::new(Ipv4Addr::new(127, 66, c, d).into(), port as u16);
        if StdSocket::bind(from).is_ok_and(|socket| socket.send_to(b"flood of nonsense", to).is_ok()) {
            sent += 1;
        }
    }
    sent
}
