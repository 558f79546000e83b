//! Connections of a client to one address that are kept between requests.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};

/// The wait before another connection is tried where one was refused.
const REFUSED_RETRY: Duration = Duration::from_millis(10);
/// Connections that are kept while they are idle; the oldest go first.
const MAX_IDLE: usize = 32;

/// A connection for one request.
pub struct ClientConnection {
    /// The connection.
    pub stream: TcpStream,
    /// Whether it has carried a request before.
    pub is_reused: bool,
}

/// Idle connections to one address.
#[derive(Debug)]
pub struct KeptConnections {
    address: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
    surplus: AtomicU64,
}

/// What an idle connection has for its client.
enum Rest {
    Nothing,
    Ended,
    Surplus,
}

fn rest(stream: &TcpStream) -> Rest {
    match stream.try_read(&mut [0; 1]) {
        Err(error) if error.kind() == ErrorKind::WouldBlock => Rest::Nothing,
        Ok(1..) => Rest::Surplus,
        Ok(_) | Err(_) => Rest::Ended,
    }
}

impl KeptConnections {
    /// None yet, to this address.
    pub fn to(address: SocketAddr) -> KeptConnections {
        KeptConnections { address, idle: Mutex::default(), surplus: AtomicU64::new(0) }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection that the other side has not closed.
    fn reuse(&self) -> Option<TcpStream> {
        loop {
            let stream = self.idle().pop()?;
            match rest(&stream) {
                Rest::Nothing => return Some(stream),
                Rest::Ended => {}
                Rest::Surplus => drop(self.surplus.fetch_add(1, Ordering::Relaxed)),
            }
        }
    }

    /// A connection: an idle one, or a new one that comes up in time. Each refusal on the way is told.
    pub async fn get(&self, until: Instant, mut refused: impl FnMut()) -> Option<ClientConnection> {
        if let Some(stream) = self.reuse() {
            return Some(ClientConnection { stream, is_reused: true });
        }
        loop {
            match timeout_at(until, TcpStream::connect(self.address)).await {
                Ok(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    return Some(ClientConnection { stream, is_reused: false });
                }
                Ok(Err(_)) => {
                    refused();
                    if Instant::now() + REFUSED_RETRY >= until {
                        return None;
                    }
                    sleep(REFUSED_RETRY).await;
                }
                Err(_) => return None,
            }
        }
    }

    /// Keeps one for later.
    pub fn keep(&self, stream: TcpStream) {
        let mut idle = self.idle();
        idle.push(stream);
        if idle.len() > MAX_IDLE {
            idle.remove(0);
        }
    }

    /// Closes all that are idle.
    pub fn clear(&self) {
        self.idle().clear();
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.idle().is_empty()
    }

    /// Idle ones that the other side has not closed.
    pub fn open(&self) -> usize {
        let mut idle = self.idle();
        idle.retain(|stream| matches!(rest(stream), Rest::Nothing));
        idle.len()
    }

    /// Idle connections on which bytes came that answer no request.
    pub fn surplus(&self) -> u64 {
        self.surplus.load(Ordering::Relaxed)
    }
}
