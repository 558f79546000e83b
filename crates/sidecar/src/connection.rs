//! Connections to upstreams, and pools of idle ones.

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

/// Size limit of an answer's head; hyper also reads bodies through this buffer.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// How long a connection may take to become ready for the next request after an answer was read.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// An open connection. Dropping it closes it; [`Connection::close`] also waits until it is closed.
pub struct Connection {
    /// Sends requests over the connection.
    pub sender: SendRequest<AttemptBody>,
    task: JoinHandle<()>,
    /// Counts the connection's bytes.
    pub meter: Arc<Meter>,
    /// Local port.
    pub local_port: u16,
    /// Whether the connection has carried a request before.
    pub was_used: bool,
    /// When the connection last became idle.
    pub idle_since: Instant,
    _permit: UpstreamPermit,
}

impl Connection {
    /// Opens a connection, which must be established by `connect_by`.
    pub async fn open(
        address: SocketAddr,
        connect_by: Instant,
        permit: UpstreamPermit,
    ) -> Result<Connection, String> {
        let stream = timeout_at(connect_by, TcpStream::connect(address))
            .await
            .map_err(|_| "connecting timed out".to_owned())?
            .map_err(|error| format!("cannot connect: {error}"))?;
        // With Nagle's algorithm the kernel may delay a small request.
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let local_port = stream.local_addr().map_or(0, |address| address.port());
        let (metered_stream, meter) = MeteredStream::new(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(metered_stream))
            .await
            .map_err(|error| error.to_string())?;
        let task = tokio::spawn(async move {
            // Errors are reported by the exchange that is in progress.
            let _ = connection.await;
        });
        let idle_since = Instant::now();
        Ok(Connection { sender, task, meter, local_port, was_used: false, idle_since, _permit: permit })
    }

    /// Whether the connection can take a request now, as far as this side knows.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Closes the connection. When this returns, the socket is closed and bytes that the kernel has not sent
    /// yet are discarded.
    pub async fn close(mut self) {
        self.meter.reset_on_close();
        self.task.abort();
        let _ = (&mut self.task).await;
    }

    /// Waits until the next request can be sent, and marks the connection as used and idle. `None` if it does
    /// not become ready in time, the upstream closes it, or its buffers have grown for a long head: they keep
    /// their size, and no idle connection has the memory for that.
    pub async fn into_idle(mut self) -> Option<Connection> {
        if self.meter.has_grown_buffers() {
            return None;
        }
        timeout(READY_TIMEOUT, self.sender.ready()).await.ok()?.ok()?;
        self.was_used = true;
        self.idle_since = Instant::now();
        Some(self)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The idle connections to one upstream, ordered by last use; the most recently used one is last.
#[derive(Default)]
pub struct Pool {
    idle: Vec<Connection>,
}

impl Pool {
    /// Takes the most recently used connection that is usable and within `idle_limit`, and closes more
    /// recently used ones that are not. Connections used less recently can then reach their idle limit.
    pub fn take(&mut self, idle_limit: Duration) -> Option<Connection> {
        while let Some(connection) = self.idle.pop() {
            if connection.is_usable() && connection.idle_since.elapsed() < idle_limit {
                return Some(connection);
            }
        }
        None
    }

    /// Adds a connection that has just become idle.
    pub fn put(&mut self, connection: Connection) {
        self.idle.push(connection);
    }

    /// Closes connections that the upstream has closed or that have been idle for too long: the most recently
    /// used one after `last_limit`, the others, which are left over from a burst, after `spare_limit`.
    pub fn sweep(&mut self, last_limit: Duration, spare_limit: Duration) {
        self.idle.retain(|connection| connection.is_usable() && connection.idle_since.elapsed() < last_limit);
        if let Some(last) = self.idle.pop() {
            self.idle.retain(|connection| connection.idle_since.elapsed() < spare_limit);
            self.idle.push(last);
        }
    }

    /// Since when the longest-idle connection has been idle.
    pub fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.first().map(|connection| connection.idle_since)
    }

    /// Closes the longest-idle connection.
    pub fn close_oldest(&mut self) {
        if !self.idle.is_empty() {
            self.idle.remove(0);
        }
    }

    /// Closes all connections.
    pub fn close_all(&mut self) {
        self.idle.clear();
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::budget::Budgets;

    /// Guards against idle connections that use up an upstream's connection limit, so that it refuses other
    /// sidecars.
    #[tokio::test]
    async fn spare_idle_connections_are_closed_before_the_most_recently_used_one() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let budgets = Budgets::with_connections(8);
        let (mut pool, mut accepted) = (Pool::default(), Vec::new());
        for _ in 0..3 {
            let permit = budgets.upstream_permit(address).expect("a free permit");
            let connect_by = Instant::now() + Duration::from_secs(10);
            let connection = Connection::open(address, connect_by, permit).await.expect("a connection");
            accepted.push(listener.accept().await.expect("an accepted connection"));
            pool.put(connection.into_idle().await.expect("a ready connection"));
        }
        let latest = pool.idle[2].idle_since;
        let (long, zero) = (Duration::from_secs(60), Duration::ZERO);
        pool.sweep(long, long);
        assert_eq!(pool.idle.len(), 3);
        pool.sweep(long, zero);
        assert_eq!(pool.idle.iter().map(|connection| connection.idle_since).collect::<Vec<_>>(), [latest]);
        pool.sweep(zero, zero);
        assert!(pool.is_empty(), "the last connection is closed as well once its limit has passed");
    }
}
