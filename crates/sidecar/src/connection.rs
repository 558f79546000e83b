//! Connections to upstreams, and those that are idle.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

use crate::budget::UpstreamPermit;
use crate::metered_stream::{Meter, MeteredStream};
use crate::transfer::request_body::AttemptBody;

/// Room for a head; hyper also reads bodies through it.
const BUFFER_BYTES: usize = 32 << 10;
/// How long a connection may take to become ready for the next request once an answer was read.
const SETTLE: Duration = Duration::from_millis(100);

/// An open connection. It is closed when this is dropped; [`Connection::close`] waits until it is.
pub struct Connection {
    /// Where requests go in.
    pub sender: SendRequest<AttemptBody>,
    task: JoinHandle<()>,
    /// What has crossed it.
    pub meter: Arc<Meter>,
    /// Our port.
    pub port: u16,
    /// Whether it has carried a request before.
    pub used: bool,
    /// Since when it has carried nothing.
    pub idle_since: Instant,
    _permit: UpstreamPermit,
}

impl Connection {
    /// Connects by `until`.
    pub async fn open(
        dial: SocketAddr,
        until: Instant,
        permit: UpstreamPermit,
    ) -> Result<Connection, String> {
        let stream = timeout_at(until, TcpStream::connect(dial))
            .await
            .map_err(|_| "connecting took too long".to_owned())?
            .map_err(|error| format!("cannot connect: {error}"))?;
        // Without it the kernel may hold back a small request.
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let port = stream.local_addr().map_or(0, |address| address.port());
        let (counted, meter) = MeteredStream::new(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(counted))
            .await
            .map_err(|error| error.to_string())?;
        let task = tokio::spawn(async move {
            // How an exchange failed shows at the exchange.
            let _ = connection.await;
        });
        Ok(Connection { sender, task, meter, port, used: false, idle_since: Instant::now(), _permit: permit })
    }

    /// Whether it can take a request now, as far as this side knows.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Gives it up; when this returns, the socket is closed, and what the kernel had not sent yet never will be.
    pub async fn close(mut self) {
        self.meter.abort();
        self.task.abort();
        let _ = (&mut self.task).await;
    }

    /// Waits until the next request can be sent. `None` if the upstream closes it.
    pub async fn settle(mut self) -> Option<Connection> {
        timeout(SETTLE, self.sender.ready()).await.ok()?.ok()?;
        self.used = true;
        self.idle_since = Instant::now();
        Some(self)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The idle connections to one upstream, the latest used last.
#[derive(Default)]
pub struct Pool {
    idle: Vec<Connection>,
}

impl Pool {
    /// Takes the one used last, so that the others can grow old and close.
    pub fn take(&mut self, idle_limit: Duration) -> Option<Connection> {
        while let Some(connection) = self.idle.pop() {
            if connection.is_usable() && connection.idle_since.elapsed() < idle_limit {
                return Some(connection);
            }
        }
        None
    }

    /// Takes one back.
    pub fn put(&mut self, connection: Connection) {
        self.idle.push(connection);
    }

    /// Closes those that were closed by the upstream or have been idle for too long: the one used last after `idle_limit`,
    /// the others, which a burst has left behind, after `spare_limit`.
    pub fn sweep(&mut self, idle_limit: Duration, spare_limit: Duration) {
        self.idle.retain(|c| c.is_usable() && c.idle_since.elapsed() < idle_limit);
        if let Some(last) = self.idle.pop() {
            self.idle.retain(|c| c.idle_since.elapsed() < spare_limit);
            self.idle.push(last);
        }
    }

    /// Since when the one longest idle has been so.
    pub fn oldest(&self) -> Option<Instant> {
        self.idle.first().map(|connection| connection.idle_since)
    }

    /// Closes the one longest idle.
    pub fn drop_oldest(&mut self) {
        if !self.idle.is_empty() {
            self.idle.remove(0);
        }
    }

    /// Closes all.
    pub fn clear(&mut self) {
        self.idle.clear();
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::budget::Budgets;

    /// Guards against places that many sidecars hold at one upstream for nothing, while others are turned away.
    #[tokio::test]
    async fn what_a_burst_leaves_behind_closes_before_the_one_that_is_used() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let dial = listener.local_addr().expect("it has an address");
        let budgets = Budgets::of(8);
        let (mut pool, mut accepted) = (Pool::default(), Vec::new());
        for _ in 0..3 {
            let permit = budgets.permit(dial).expect("there is room");
            let by = Instant::now() + Duration::from_secs(10);
            let connection = Connection::open(dial, by, permit).await.expect("it connects");
            accepted.push(listener.accept().await.expect("it comes"));
            pool.put(connection.settle().await.expect("it is ready"));
        }
        let latest = pool.idle[2].idle_since;
        let (long, none) = (Duration::from_secs(60), Duration::ZERO);
        pool.sweep(long, long);
        assert_eq!(pool.idle.len(), 3);
        pool.sweep(long, none);
        assert_eq!(pool.idle.iter().map(|c| c.idle_since).collect::<Vec<_>>(), [latest]);
        pool.sweep(none, none);
        assert!(pool.is_empty(), "one to an upstream that is drawn from no more");
    }
}
