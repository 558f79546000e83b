//! A client's stream: its calls are counted, nothing behind an open request hides that the client has left, and it is
//! closed in two steps.

use std::io::{self, Read};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use crate::client_disconnect::{ClientConnection, Shared};
use crate::connection_activity::ConnectionActivity;
use crate::io_counts;
use crate::transfer::framing::Framing;
use crate::transfer::limits::STREAM_IDLE_TIMEOUT;

/// After the end of our writing we read on for this long, until the client closes as well: bytes that wait unread when
/// a socket is closed reset it, and the client may lose an answer that was on its way.
const READ_ON: Duration = Duration::from_millis(200);
/// What comes then is thrown away; nobody honest sends more than this.
const READ_ON_BYTES: usize = 256 << 10;

/// The kernel holds about twice as much of what a client has yet to read. Left to itself it takes megabytes at once, and
/// then nothing for as long as a slow client needs for them: its pace would not show.
const SEND_BUFFER_BYTES: usize = 256 << 10;

/// What comes behind an open request is kept here, up to as much as a body may have; the rest waits in the kernel. hyper
/// would stop to read where anything waits in its own buffer, and never see that the client has left.
const AHEAD_BYTES: usize = 64 << 10;
/// Once that is full, the kernel is asked this often whether the client has left: a request whose client has left must not
/// be sent on 0.3 s later.
const LOOK: Duration = Duration::from_millis(100);

/// A client's stream.
pub struct Client {
    /// Others may look whether the client is there; nobody else reads or writes.
    stream: Shared,
    /// What others may know of it, and what its bytes tell.
    slot: Arc<ConnectionActivity>,
    framing: Framing,
    /// Since when the client has taken nothing of what waits for it.
    stuck: Option<Pin<Box<Sleep>>>,
    /// What has come behind the request that is open, and when the last of it did.
    ahead: BytesMut,
    ahead_at: Instant,
    /// Reads that up to the end of the next request, which has begun so many bytes before.
    next: Framing,
    next_bytes: usize,
    /// Once there is no room for more of that: when the kernel is asked next.
    look: Option<Pin<Box<Sleep>>>,
    /// Once our writing has ended: until when we read on, and how many bytes more.
    closing: Option<(Pin<Box<Sleep>>, usize)>,
}

impl Client {
    /// Of a connection that was accepted.
    pub fn new(stream: TcpStream, slot: Arc<ConnectionActivity>) -> Client {
        // Without it a pace cannot be told; that is no reason not to serve.
        let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        let stream = Arc::new(Mutex::new(stream));
        slot.belongs_to(ClientConnection::of(&stream));
        Client {
            stream,
            slot,
            framing: Framing::default(),
            ahead: BytesMut::new(),
            ahead_at: Instant::now(),
            next: Framing::default(),
            next_bytes: 0,
            look: None,
            stuck: None,
            closing: None,
        }
    }

    /// Whether a request has come whole that has no answer yet.
    fn is_asked(&self) -> bool {
        self.framing.whole() > self.slot.answered()
    }

    /// Asks the socket itself for what has come, and gives that to be read; false where nothing has.
    fn look_into(&mut self, buf: &mut ReadBuf<'_>) -> io::Result<bool> {
        let mut room = [0; 4 << 10];
        let most = room.len().min(buf.remaining());
        let read = (&*SockRef::from(&*lock(&self.stream))).read(&mut room[..most]);
        match read {
            Ok(read) => {
                io_counts::record_read(&Poll::Ready(Ok(())), read);
                let read = &room[..read];
                // The end of the stream is given as it is: nothing.
                let fed = if read.is_empty() { 0 } else { came(&mut self.framing, &self.slot, read) };
                buf.put_slice(&read[..fed]);
                self.keep_ahead(&read[fed..]);
                Ok(true)
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }

    /// Keeps what has come behind a request.
    fn keep_ahead(&mut self, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.ahead.extend_from_slice(bytes);
            self.ahead_at = Instant::now();
            self.look_ahead();
        }
    }

    /// Tells whether another request waits behind the open one: it was taken as well, and its connection must not be closed
    /// before it is answered. One that is longer than what is kept may be whole in the kernel.
    fn look_ahead(&mut self) {
        if self.next.whole() == 0 {
            self.next_bytes += self.next.feed(&self.ahead[self.next_bytes..]);
        }
        let waits = self.next.whole() > 0 || self.ahead.len() >= AHEAD_BYTES;
        // Before the present one is whole, what is kept is still a part of it.
        self.slot.set_next_request((waits && self.is_asked()).then_some(self.ahead_at));
    }

    /// While a request is open: reads on, and comes back only when the client has left.
    fn poll_left(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.slot.wake_when_answered(cx.waker());
        let mut room = [0; 4 << 10];
        while self.ahead.len() < AHEAD_BYTES {
            let mut buffer = ReadBuf::new(&mut room);
            let result = Pin::new(&mut *lock(&self.stream)).poll_read(cx, &mut buffer);
            io_counts::record_read(&result, buffer.filled().len());
            ready!(result)?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.keep_ahead(buffer.filled());
        }
        loop {
            let look = self.look.get_or_insert_with(|| Box::pin(sleep(LOOK)));
            ready!(look.as_mut().poll(cx));
            self.look = None;
            let stream = lock(&self.stream);
            if let Some(error) = stream.take_error()? {
                return Poll::Ready(Err(error));
            }
            let asked = std::pin::pin!(stream.ready(Interest::READABLE)).poll(cx);
            drop(stream);
            if let Poll::Ready(known) = asked
                && known?.is_read_closed()
            {
                return Poll::Ready(Ok(()));
            }
        }
    }

    /// Ends with an error when the client has taken nothing for too long.
    fn wrote(&mut self, cx: &mut Context<'_>, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        io_counts::record_write(&result);
        self.slot.set_write_blocked(result.is_pending());
        if result.is_ready() {
            self.stuck = None;
            return result;
        }
        let stuck = self.stuck.get_or_insert_with(|| Box::pin(sleep(STREAM_IDLE_TIMEOUT)));
        match stuck.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

/// Nothing that is held under it can panic, and nobody holds it for longer than one call.
fn lock(stream: &Shared) -> MutexGuard<'_, TcpStream> {
    stream.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Takes in what came, up to the end of a request; how much that is.
fn came(framing: &mut Framing, slot: &ConnectionActivity, bytes: &[u8]) -> usize {
    let fed = framing.feed(bytes);
    slot.came(framing.in_head(), framing.doubled());
    fed
}

impl AsyncRead for Client {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.is_asked() {
            // Whatever comes now is for later; that the client leaves is for now.
            return this.poll_left(cx);
        }
        if !this.ahead.is_empty() {
            let room = this.ahead.len().min(buf.remaining());
            let fed = came(&mut this.framing, &this.slot, &this.ahead[..room]);
            buf.put_slice(&this.ahead[..fed]);
            this.ahead.advance(fed);
            (this.next, this.next_bytes) = (Framing::default(), 0);
            this.look_ahead();
            return Poll::Ready(Ok(()));
        }
        if this.slot.is_to_look() && this.look_into(buf)? {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let result = Pin::new(&mut *lock(&this.stream)).poll_read(cx, buf);
        let read = buf.filled().get(before..).unwrap_or_default();
        io_counts::record_read(&result, read.len());
        if !read.is_empty() {
            let fed = came(&mut this.framing, &this.slot, read);
            this.keep_ahead(&read[fed..]);
            buf.set_filled(before + fed);
        }
        result
    }
}

impl AsyncWrite for Client {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *lock(&self.stream)).poll_write(cx, buf);
        self.wrote(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *lock(&self.stream)).poll_write_vectored(cx, bufs);
        self.wrote(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        lock(&self.stream).is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *lock(&self.stream)).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.closing.is_none() {
            ready!(Pin::new(&mut *lock(&this.stream)).poll_shutdown(cx))?;
            this.closing = Some((Box::pin(sleep(READ_ON)), READ_ON_BYTES));
        }
        let Some((until, left)) = &mut this.closing else { return Poll::Ready(Ok(())) };
        let mut room = [0; 4 << 10];
        loop {
            if until.as_mut().poll(cx).is_ready() || *left == 0 {
                return Poll::Ready(Ok(()));
            }
            let mut buffer = ReadBuf::new(&mut room);
            match Pin::new(&mut *lock(&this.stream)).poll_read(cx, &mut buffer) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    *left = left.saturating_sub(buffer.filled().len());
                }
                // The client has closed, or reset.
                Poll::Ready(_) => return Poll::Ready(Ok(())),
            }
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        if self.slot.is_reset_on_close() {
            // Where that cannot be had it is closed as usual.
            let _ = SockRef::from(&*lock(&self.stream)).set_linger(Some(Duration::ZERO));
        }
    }
}

#[cfg(test)]
mod tests {
    use std::io::Write;

    use tokio::io::AsyncWriteExt;

    use super::*;

    #[tokio::test]
    async fn what_crosses_the_close_does_not_reset_the_answer() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let mut client = Client::new(
            listener.accept().await.unwrap().0,
            Arc::new(ConnectionActivity::new(tokio::time::Instant::now())),
        );
        // It waits unread when the stream is closed.
        peer.write_all(&[b'x'; 1_000]).unwrap();
        client.write_all(b"answer").await.unwrap();
        let closing = tokio::spawn(async move {
            client.shutdown().await.unwrap();
            drop(client);
        });
        let read = tokio::task::spawn_blocking(move || {
            std::thread::sleep(Duration::from_millis(20));
            let mut answer = Vec::new();
            peer.read_to_end(&mut answer).map(|_| answer)
        });
        assert_eq!(read.await.unwrap().unwrap(), b"answer");
        closing.await.unwrap();
    }

    #[tokio::test]
    async fn who_does_not_close_is_not_waited_for_long() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let mut client = Client::new(
            listener.accept().await.unwrap().0,
            Arc::new(ConnectionActivity::new(tokio::time::Instant::now())),
        );
        tokio::time::timeout(Duration::from_secs(30), client.shutdown()).await.unwrap().unwrap();
        drop(client);
        assert_eq!(peer.read(&mut [0; 1]).unwrap(), 0);
    }
}
