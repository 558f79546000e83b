//! Datagrams as fast as they go: a bare pass-through to measure against, an echo, and clients in a closed loop.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rustix::event::epoll;

/// How long a thread waits before it looks whether it should end.
const LOOK: Duration = Duration::from_millis(100);
/// A client that has heard nothing for so long takes what is out for lost.
const LOST: Duration = Duration::from_millis(200);

fn loopback() -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    // Smaller buffers than asked for still serve.
    let _ = rustix::net::sockopt::set_socket_recv_buffer_size(&socket, 2 << 20);
    let _ = rustix::net::sockopt::set_socket_send_buffer_size(&socket, 2 << 20);
    Ok(socket)
}

/// A thread that ends when this is dropped.
pub struct Running {
    /// Where it listens.
    pub address: SocketAddr,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(
    name: &str,
    address: SocketAddr,
    does: impl FnOnce(Arc<AtomicBool>) + Send + 'static,
) -> io::Result<Running> {
    let over = Arc::new(AtomicBool::new(false));
    let its = over.clone();
    let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || does(its))?;
    Ok(Running { address, over, thread: Some(thread) })
}

/// Sends everything back.
pub fn echo() -> io::Result<Running> {
    let socket = loopback()?;
    socket.set_read_timeout(Some(LOOK))?;
    run("echo", socket.local_addr()?, move |over| {
        let mut buffer = vec![0; 65_536];
        while !over.load(Ordering::Relaxed) {
            if let Ok((length, from)) = socket.recv_from(&mut buffer) {
                let _ = socket.send_to(&buffer[..length], from);
            }
        }
    })
}

/// A bare pass-through: a socket for each source, a map of them, and nothing else. Its thread is named `bare-udp`.
pub fn bare(to: SocketAddr) -> io::Result<Running> {
    let clients = loopback()?;
    clients.set_nonblocking(true)?;
    let set = epoll::create(epoll::CreateFlags::CLOEXEC)?;
    epoll::add(&set, &clients, epoll::EventData::new_u64(u64::MAX), epoll::EventFlags::IN)?;
    run("bare-udp", clients.local_addr()?, move |over| {
        let mut by_source: HashMap<SocketAddr, usize> = HashMap::new();
        let mut flows: Vec<(UdpSocket, SocketAddr)> = Vec::new();
        let mut buffer = vec![0; 65_536];
        let mut ready = Vec::with_capacity(256);
        let wait = rustix::event::Timespec { tv_sec: 0, tv_nsec: 100_000_000 };
        while !over.load(Ordering::Relaxed) {
            ready.clear();
            let _ = epoll::wait(&set, rustix::buffer::spare_capacity(&mut ready), Some(&wait));
            for event in &ready {
                let event: &epoll::Event = event;
                if event.data.u64() == u64::MAX {
                    for _ in 0..128 {
                        let Ok((length, from)) = clients.recv_from(&mut buffer) else { break };
                        let at = *by_source.entry(from).or_insert_with(|| {
                            if let Some(socket) = opened(to, &set, flows.len()) {
                                flows.push((socket, from));
                            }
                            flows.len() - 1
                        });
                        let _ = flows[at].0.send(&buffer[..length]);
                    }
                } else {
                    let (socket, client) = &flows[event.data.u64() as usize];
                    for _ in 0..16 {
                        let Ok(length) = socket.recv(&mut buffer) else { break };
                        let _ = clients.send_to(&buffer[..length], client);
                    }
                }
            }
        }
    })
}

fn opened(to: SocketAddr, set: &impl std::os::fd::AsFd, number: usize) -> Option<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).ok()?;
    socket.connect(to).ok()?;
    socket.set_nonblocking(true).ok()?;
    epoll::add(set, &socket, epoll::EventData::new_u64(number as u64), epoll::EventFlags::IN).ok()?;
    Some(socket)
}

/// What a closed loop came to.
#[derive(Debug, Clone, Copy)]
pub struct Loop {
    /// Datagrams that came back a second.
    pub per_s: f64,
    /// Those that did not, as a share.
    pub lost: f64,
}

/// So many clients each keep so many datagrams of some bytes out for a while; each that comes back is sent again.
/// The first second does not count. `flows` ids are written into the first eight bytes, in turn, so that with ids a
/// few sockets make many flows. Blocks.
pub fn closed_loop(
    to: SocketAddr,
    clients: usize,
    window: usize,
    bytes: usize,
    flows: u64,
    span: Duration,
) -> io::Result<Loop> {
    let set = epoll::create(epoll::CreateFlags::CLOEXEC)?;
    let mut sockets = Vec::new();
    for number in 0..clients {
        let socket = loopback()?;
        socket.connect(to)?;
        socket.set_nonblocking(true)?;
        epoll::add(&set, &socket, epoll::EventData::new_u64(number as u64), epoll::EventFlags::IN)?;
        sockets.push((socket, Instant::now()));
    }
    let mut payload = vec![7; bytes.max(8)];
    let (mut next, mut sent, mut came) = (0_u64, 0_u64, 0_u64);
    let start = Instant::now();
    let warm = Duration::from_secs(1);
    let mut counting: Option<Instant> = None;
    let mut send = |socket: &UdpSocket, sent: &mut u64| {
        payload[..8].copy_from_slice(&(next % flows.max(1)).to_be_bytes());
        next += 1;
        *sent += u64::from(socket.send(&payload).is_ok());
    };
    for (socket, _) in &sockets {
        (0..window).for_each(|_| send(socket, &mut sent));
    }
    let mut buffer = vec![0; 65_536];
    let mut ready: Vec<epoll::Event> = Vec::with_capacity(256);
    let wait = rustix::event::Timespec { tv_sec: 0, tv_nsec: 20_000_000 };
    while start.elapsed() < warm + span {
        if counting.is_none() && start.elapsed() >= warm {
            counting = Some(Instant::now());
            (sent, came) = (0, 0);
        }
        ready.clear();
        let _ = epoll::wait(&set, rustix::buffer::spare_capacity(&mut ready), Some(&wait));
        let now = Instant::now();
        for event in &ready {
            let (socket, heard) = &mut sockets[event.data.u64() as usize];
            *heard = now;
            for _ in 0..32 {
                if socket.recv(&mut buffer).is_err() {
                    break;
                }
                came += 1;
                send(socket, &mut sent);
            }
        }
        if ready.is_empty() {
            for (socket, heard) in &mut sockets {
                if now - *heard > LOST {
                    *heard = now;
                    (0..window).for_each(|_| send(socket, &mut sent));
                }
            }
        }
    }
    let span = counting.map_or(span, |since| since.elapsed()).as_secs_f64();
    let lost = 1.0 - came as f64 / sent.max(1) as f64;
    Ok(Loop { per_s: came as f64 / span, lost: lost.max(0.0) })
}
