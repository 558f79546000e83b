//! The last check before the first byte of an attempt is written: whether the client is still connected and
//! the upstream's connection usable, according to the sockets themselves.
//!
//! The driver is notified of a disconnect late: the event passes the accept queue, the runtime's poll of the
//! kernel, the client's connection task, a channel and the tasks scheduled before. A request and the end of
//! stream behind it are also read one after the other, so a client that disconnected before its request was
//! read shows as disconnected only after the request was forwarded. On an overloaded core, or while nothing
//! accepts connections, that delay is unbounded.
//!
//! The upstream's socket is checked in the same call, since bytes that wait there would be read as the
//! answer.

use std::io;
use std::sync::{Arc, Mutex, PoisonError, Weak};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::socket_diagnostics::{self, SenderStatus};

const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
const DISCONNECTED: PollFlags =
    PollFlags::RDHUP.union(PollFlags::HUP).union(PollFlags::ERR).union(PollFlags::NVAL);

/// The socket of a client, owned by its connection.
pub type SharedStream = Arc<Mutex<TcpStream>>;

/// A reference to a client's connection that does not keep its socket open.
#[derive(Debug, Clone)]
pub struct ClientConnection(Weak<Mutex<TcpStream>>);

impl ClientConnection {
    /// Refers to the client of this socket.
    pub fn from_stream(stream: &SharedStream) -> ClientConnection {
        ClientConnection(Arc::downgrade(stream))
    }

    /// Bytes that wait in the socket. `None` if the connection has ended.
    pub fn received_unread_bytes(&self) -> Option<u64> {
        let stream = self.0.upgrade()?;
        let stream = stream.lock().unwrap_or_else(PoisonError::into_inner);
        rustix::io::ioctl_fionread(&*stream).ok()
    }

    /// Bytes that the client has written and its kernel still holds. `None` if that is unknown: the client is
    /// on another machine, or the connection has ended.
    pub fn sender_queue_bytes(&self) -> Option<u64> {
        let stream = self.0.upgrade()?;
        let stream = stream.lock().unwrap_or_else(PoisonError::into_inner);
        sender_status(&stream).map(|status| status.queue_bytes)
    }
}

/// What the kernel tells about the client at the other end of this socket; `None` if the client is on another
/// machine.
fn sender_status(stream: &TcpStream) -> Option<SenderStatus> {
    socket_diagnostics::sender_status(stream.peer_addr().ok()?, stream.local_addr().ok()?)
}

/// Whether the client has closed its connection or shut down its write side, behind bytes that its kernel still
/// holds because nobody reads them. Unknown, and false, for a client on another machine.
pub fn has_left_behind_unread_bytes(stream: &TcpStream) -> bool {
    sender_status(stream).is_some_and(|status| status.has_ended)
}

/// The conditions under which the first byte of an attempt may be written.
#[derive(Debug, Clone)]
pub struct WriteConditions {
    /// The client that must still be connected.
    pub client: ClientConnection,
    /// When an answer ceases to be of use.
    pub expires_at: Instant,
}

/// The result of the check before the first byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionCheck {
    /// The request may be written.
    Proceed,
    /// The upstream has closed the connection or sent bytes without a request.
    UpstreamUnusable,
    /// The request has expired, or its client has disconnected: closed or reset its connection or shut down
    /// its write side, even if unread bytes precede that.
    RequestObsolete,
}

/// Checks the upstream's socket and the client's in one call.
///
/// # Errors
/// Polling the sockets failed.
pub fn check_before_write(
    upstream: &TcpStream,
    conditions: Option<&WriteConditions>,
) -> io::Result<ConnectionCheck> {
    let client = match conditions {
        None => None,
        Some(conditions) if Instant::now() >= conditions.expires_at => {
            return Ok(ConnectionCheck::RequestObsolete);
        }
        Some(conditions) => match conditions.client.0.upgrade() {
            Some(client) => Some(client),
            None => return Ok(ConnectionCheck::RequestObsolete),
        },
    };
    let client = client.as_ref().map(|client| client.lock().unwrap_or_else(PoisonError::into_inner));
    let upstream_fd = PollFd::new(upstream, PollFlags::IN | PollFlags::RDHUP);
    let (upstream_events, client_events) = match &client {
        None => {
            let mut fds = [upstream_fd];
            poll_now(&mut fds)?;
            (fds[0].revents(), PollFlags::empty())
        }
        Some(client) => {
            let mut fds = [upstream_fd, PollFd::new(&**client, PollFlags::IN | PollFlags::RDHUP)];
            poll_now(&mut fds)?;
            (fds[0].revents(), fds[1].revents())
        }
    };
    // Unread bytes may hold back the end of the client's stream in the client's own kernel.
    let has_unread_bytes = client_events.contains(PollFlags::IN);
    let client_disconnected = client_events.intersects(DISCONNECTED)
        || has_unread_bytes && client.as_ref().is_some_and(|client| has_left_behind_unread_bytes(client));
    let upstream_unusable = upstream_events.intersects(DISCONNECTED | PollFlags::IN);
    Ok(match (client_disconnected, upstream_unusable) {
        (true, _) => ConnectionCheck::RequestObsolete,
        (false, true) => ConnectionCheck::UpstreamUnusable,
        (false, false) => ConnectionCheck::Proceed,
    })
}

fn poll_now(fds: &mut [PollFd<'_>]) -> io::Result<()> {
    loop {
        match poll(fds, Some(&NO_WAIT)) {
            Ok(_) => return Ok(()),
            Err(rustix::io::Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
    }
}

#[cfg(test)]
mod tests;
