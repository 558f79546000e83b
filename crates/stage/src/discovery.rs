//! A stand-in discovery: a list with versions, and watches that hear what changed after theirs. It can be down.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sagemast_sidecar::hosts::{Health, Host, HostList};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::upstream::Upstream;

/// While nothing changes an empty line comes this often.
const ALIVE: Duration = Duration::from_secs(2);

/// Discovery; it ends when this is dropped.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

struct State {
    list: Mutex<List>,
    /// The version, and whether it is up.
    version: watch::Sender<(u64, bool)>,
    watches: std::sync::atomic::AtomicU64,
}

#[derive(Default)]
struct List {
    seq: u64,
    /// By name: the entry and the version that it came with.
    hosts: BTreeMap<String, (u64, Host)>,
}

impl State {
    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What changed after a version, or everything.
    fn line(&self, from: u64) -> (u64, String) {
        let list = self.list();
        let whole = from == 0;
        let changed = list
            .hosts
            .values()
            .filter(|(seq, host)| if whole { host.health != Health::Gone } else { *seq > from });
        let hosts = changed.filter_map(|(_, host)| serde_json::to_value(host).ok()).collect();
        let told = HostList { seq: list.seq, complete: whole, hosts };
        (list.seq, serde_json::to_string(&told).unwrap_or_default() + "\n")
    }
}

impl Discovery {
    /// Starts one on a port of its own, with an empty list.
    pub async fn start() -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (version, _) = watch::channel((0, true));
        let state = Arc::new(State { list: Mutex::default(), version, watches: 0.into() });
        let serving = state.clone();
        let task = tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    // While it is down, whoever connects is dropped.
                    Ok(_) if !serving.version.borrow().1 => {}
                    Ok((stream, _)) => drop(tokio::spawn(watched(stream, serving.clone()))),
                    Err(_) => sleep(Duration::from_millis(10)).await,
                }
            }
        });
        Ok(Discovery { address, state, task })
    }

    /// Tells an entry from now on.
    pub fn put(&self, name: &str, upstream: &Upstream, health: Health) {
        let (dial, share, born_ms) = (upstream.address, upstream.share(), upstream.born_ms);
        self.list(name, dial, health, share, born_ms, upstream.place());
    }

    /// The same for any address, of the usual size and long since warm.
    pub fn put_at(&self, name: &str, dial: std::net::SocketAddr, health: Health) {
        self.put_in(name, dial, health, ("east", 1));
    }

    /// The same in this zone, with the number of its cell.
    pub fn put_in(&self, name: &str, dial: std::net::SocketAddr, health: Health, place: (&str, u64)) {
        self.list(name, dial, health, 1.0, 0.0, place);
    }

    fn list(
        &self,
        name: &str,
        dial: std::net::SocketAddr,
        health: Health,
        share: f64,
        born_ms: f64,
        (site, block): (&str, u64),
    ) {
        let mut list = self.state.list();
        list.seq += 1;
        let (site, class) = (site.to_owned(), "std".to_owned());
        let host = Host {
            name: name.to_owned(),
            address: dial,
            zone: site,
            kind: class,
            cell: block,
            health,
            weight: share,
            started_ms: born_ms,
        };
        let seq = list.seq;
        list.hosts.insert(name.to_owned(), (seq, host));
        drop(list);
        self.state.version.send_modify(|version| version.0 = seq);
    }

    /// Goes down, or comes back. When it goes down, watches end.
    pub fn set_up(&self, up: bool) {
        self.state.version.send_modify(|version| version.1 = up);
    }

    /// Watches so far.
    pub fn watches(&self) -> u64 {
        self.state.watches.load(std::sync::atomic::Ordering::Relaxed)
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves one connection: a watch, or the list once.
async fn watched(mut stream: TcpStream, state: Arc<State>) {
    let mut head = Vec::new();
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        let mut chunk = [0; 1024];
        match stream.read(&mut chunk).await {
            Ok(read) if read > 0 && head.len() < 16 << 10 => head.extend_from_slice(&chunk[..read]),
            _ => return,
        }
    }
    let head = String::from_utf8_lossy(&head);
    let target = head.split(' ').nth(1).unwrap_or_default();
    let from = target.split_once("from=").and_then(|(_, from)| from.split('&').next()?.parse().ok());
    if !target.contains("watch=1") {
        let (_, line) = state.line(0);
        let answer =
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{line}", line.len());
        let _ = stream.write_all(answer.as_bytes()).await;
        return;
    }
    state.watches.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let begin = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    if stream.write_all(begin).await.is_err() {
        return;
    }
    let mut version = state.version.subscribe();
    let mut from: u64 = from.unwrap_or(0);
    let mut first = true;
    loop {
        let now = *version.borrow_and_update();
        if !now.1 {
            return;
        }
        // One that knows more than there is knows another discovery's list.
        if first && from > now.0 {
            from = 0;
        }
        if std::mem::take(&mut first) || now.0 > from {
            let (seq, line) = state.line(from);
            from = seq;
            if chunk(&mut stream, &line).await.is_err() {
                return;
            }
        }
        match timeout(ALIVE, version.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) if chunk(&mut stream, "\n").await.is_err() => return,
            Err(_) => {}
        }
    }
}

async fn chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}
