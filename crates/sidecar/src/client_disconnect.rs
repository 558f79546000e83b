//! Whether a client is still there, asked of its socket itself: the last look before the first byte of an attempt. Between a
//! client's end and the driver's word of it lie the accept queue, the runtime's turn to the kernel, the client's connection, a
//! channel and the tasks that are due before. A request and the end behind it are read one after the other, so that whoever
//! left before anybody read the request is known to have left only after it was sent on. On a starved core, or while nobody
//! accepts, that is any time later.
//!
//! The upstream's socket is asked in the same call: bytes that wait there would be read as the answer.

use std::io;
use std::sync::{Arc, Mutex, PoisonError, Weak};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use tokio::net::TcpStream;
use tokio::time::Instant;

const AT_ONCE: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
const ENDS: PollFlags = PollFlags::RDHUP.union(PollFlags::HUP).union(PollFlags::ERR).union(PollFlags::NVAL);

/// A client's socket as its connection owns it.
pub type Shared = Arc<Mutex<TcpStream>>;

/// A client, as those who work for it know it. It keeps no socket open.
#[derive(Debug, Clone)]
pub struct ClientConnection(Weak<Mutex<TcpStream>>);

impl ClientConnection {
    /// That of the client whose socket this is.
    pub fn of(stream: &Shared) -> ClientConnection {
        ClientConnection(Arc::downgrade(stream))
    }
}

/// On what terms the first byte of an attempt may be written.
#[derive(Debug, Clone)]
pub struct WriteConditions {
    /// Who asks.
    pub client: ClientConnection,
    /// Until when an answer is of use.
    pub until: Instant,
}

/// What was found right before the first byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionCheck {
    /// Nothing speaks against it.
    Clear,
    /// The upstream has closed, or has sent what nobody asked for.
    Unusable,
    /// Its time is up, or its client has left: closed, reset, or done with sending, whatever lies unread before that.
    Unwanted,
}

/// Looks at the upstream's socket and the client's in one call.
///
/// # Errors
/// The system cannot tell.
pub fn look(upstream: &TcpStream, terms: Option<&WriteConditions>) -> io::Result<ConnectionCheck> {
    let client = match terms {
        None => None,
        Some(terms) if Instant::now() >= terms.until => return Ok(ConnectionCheck::Unwanted),
        Some(terms) => match terms.client.0.upgrade() {
            Some(client) => Some(client),
            None => return Ok(ConnectionCheck::Unwanted),
        },
    };
    let client = client.as_ref().map(|client| client.lock().unwrap_or_else(PoisonError::into_inner));
    let ours = PollFd::new(upstream, PollFlags::IN | PollFlags::RDHUP);
    let (ours, theirs) = match &client {
        None => {
            let mut asked = [ours];
            ask(&mut asked)?;
            (asked[0].revents(), PollFlags::empty())
        }
        Some(client) => {
            let mut asked = [ours, PollFd::new(&**client, PollFlags::RDHUP)];
            ask(&mut asked)?;
            (asked[0].revents(), asked[1].revents())
        }
    };
    Ok(match (theirs.intersects(ENDS), ours.intersects(ENDS | PollFlags::IN)) {
        (true, _) => ConnectionCheck::Unwanted,
        (false, true) => ConnectionCheck::Unusable,
        (false, false) => ConnectionCheck::Clear,
    })
}

fn ask(asked: &mut [PollFd<'_>]) -> io::Result<()> {
    loop {
        match poll(asked, Some(&AT_ONCE)) {
            Ok(_) => return Ok(()),
            Err(rustix::io::Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
    }
}

#[cfg(test)]
mod tests;
