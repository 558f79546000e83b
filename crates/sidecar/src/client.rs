//! The stream of a client connection. It tracks where requests begin and end, detects a disconnect even if
//! pipelined bytes wait behind an open request, ends writes that stall, and closes without losing an answer
//! that is on its way.

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

use crate::budget::{BufferBudget, BufferPermit};
use crate::client_disconnect::{ClientConnection, SharedStream, has_left_behind_unread_bytes};
use crate::connection_activity::ConnectionActivity;
use crate::io_counts;
use crate::transfer::framing::Framing;
use crate::transfer::limits::STREAM_IDLE_TIMEOUT;

/// After the write side is shut down, reading goes on for this long, or until the client closes as well.
/// Closing a socket with unread bytes resets the connection, and the client may lose an answer that is on its
/// way.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Most bytes that are read and discarded during the lingering close; no honest client sends more.
const MAX_LINGERING_CLOSE_BYTES: usize = 256 << 10;

/// Send buffer of the socket; the kernel holds about twice as much for a client that has yet to read it. At
/// its own setting the kernel accepts megabytes at once and then nothing until a slow client has read them:
/// the client's pace would not show.
const SEND_BUFFER_BYTES: usize = 256 << 10;

/// Bytes behind an open request that every connection may read and keep.
const UNCHARGED_READ_AHEAD_BYTES: usize = 4 << 10;
/// Size of one read behind an open request.
const READ_AHEAD_CHUNK_BYTES: usize = 4 << 10;
/// Most bytes that are read and kept behind an open request while memory is to spare, as many as a buffered body
/// may have; the rest stays in the kernel. hyper stops reading while its own buffer holds pipelined bytes, and would not notice
/// that the client disconnects.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Most bytes of a short chunked body that are read at once: less than hyper's smallest buffer, which grows when
/// it is filled.
const MAX_CHUNKED_READ_BYTES: usize = (8 << 10) - 1;
/// While the read-ahead buffer is full, the kernel is asked this often whether the client has disconnected. A
/// request must not be sent to an upstream later than 0.3 s after its client has disconnected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The stream of a client connection.
pub struct Client {
    /// Others may check whether the client is connected; only this stream reads and writes.
    stream: SharedStream,
    /// State of the connection for observers, updated from the bytes read and written.
    activity: Arc<ConnectionActivity>,
    framing: Framing,
    /// Runs while a write is blocked because the client takes no bytes.
    write_timeout: Option<Pin<Box<Sleep>>>,
    /// Bytes received behind the open request, and when the last of them arrived.
    read_ahead: BytesMut,
    read_ahead_at: Instant,
    /// The memory of more than [`UNCHARGED_READ_AHEAD_BYTES`].
    read_ahead_permit: Option<BufferPermit>,
    /// The budget of that memory.
    buffers: BufferBudget,
    /// Tracks the request that begins with the first read-ahead byte, and how many bytes of it have been fed.
    next_framing: Framing,
    next_framed_bytes: usize,
    /// Set while the read-ahead buffer is full: when to check next whether the client has disconnected.
    disconnect_check: Option<Pin<Box<Sleep>>>,
    /// Set once the write side is shut down: until when to read on, and how many more bytes at most.
    lingering_close: Option<(Pin<Box<Sleep>>, usize)>,
}

impl Client {
    /// Wraps the stream of an accepted connection.
    pub fn new(stream: TcpStream, activity: Arc<ConnectionActivity>, buffers: BufferBudget) -> Client {
        // Without the smaller buffer the client's pace cannot be measured, but it can still be served.
        let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        let stream = Arc::new(Mutex::new(stream));
        activity.set_client(ClientConnection::from_stream(&stream));
        Client {
            stream,
            activity,
            framing: Framing::default(),
            read_ahead: BytesMut::new(),
            read_ahead_at: Instant::now(),
            read_ahead_permit: None,
            buffers,
            next_framing: Framing::default(),
            next_framed_bytes: 0,
            disconnect_check: None,
            write_timeout: None,
            lingering_close: None,
        }
    }

    /// Whether a complete request has been received that has no answer yet.
    fn has_open_request(&self) -> bool {
        self.framing.complete_requests() > self.activity.answered_requests()
    }

    /// Reads from the socket directly, without waiting for the runtime's readiness. Returns whether anything
    /// was read, the end of the stream included.
    fn try_read_socket(&mut self, buf: &mut ReadBuf<'_>) -> io::Result<bool> {
        let mut chunk = [0; 4 << 10];
        let max_bytes = chunk.len().min(buf.remaining());
        let result = (&*SockRef::from(&*lock(&self.stream))).read(&mut chunk[..max_bytes]);
        match result {
            Ok(read) => {
                io_counts::record_read(&Poll::Ready(Ok(())), read);
                let read = &chunk[..read];
                // An empty read is the end of the stream; hyper sees it as such.
                let fed = if read.is_empty() { 0 } else { feed(&mut self.framing, &self.activity, read) };
                buf.put_slice(&read[..fed]);
                self.push_read_ahead(&read[fed..]);
                Ok(true)
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }

    /// Most bytes that may be kept behind the open request.
    fn max_read_ahead(&self) -> usize {
        if self.read_ahead_permit.is_some() { MAX_READ_AHEAD_BYTES } else { UNCHARGED_READ_AHEAD_BYTES }
    }

    /// Whether no more bytes may be kept behind the open request. Takes memory for more if there is some to
    /// spare.
    fn is_read_ahead_full(&mut self) -> bool {
        if self.read_ahead.len() >= UNCHARGED_READ_AHEAD_BYTES && self.read_ahead_permit.is_none() {
            self.extend_read_ahead();
        }
        self.read_ahead.len() >= self.max_read_ahead()
    }

    /// Takes memory for [`MAX_READ_AHEAD_BYTES`], if there is some to spare.
    fn extend_read_ahead(&mut self) {
        let capacity = MAX_READ_AHEAD_BYTES + READ_AHEAD_CHUNK_BYTES;
        self.read_ahead_permit = self.buffers.try_acquire_spare_bytes(capacity);
        if self.read_ahead_permit.is_some() {
            // At its full size at once: a buffer that grows by doubling would exceed the permit.
            self.read_ahead.reserve(capacity.saturating_sub(self.read_ahead.len()));
        }
    }

    /// Removes bytes from the beginning of the read-ahead buffer, and returns its memory once it is empty.
    fn consume_read_ahead(&mut self, bytes: usize) {
        self.read_ahead.advance(bytes);
        if self.read_ahead.is_empty() && self.read_ahead_permit.is_some() {
            self.read_ahead = BytesMut::new();
            self.read_ahead_permit = None;
        }
    }

    /// Most bytes to read at once, so that little is read behind the current request, and hyper's buffer does not
    /// grow for a body that has no memory of the budget. `None` if hyper's buffer is the limit.
    fn max_read_bytes(&self) -> Option<usize> {
        match self.framing.body_bytes_left() {
            Some(0) => None,
            Some(left) => usize::try_from(left).ok()?.checked_add(UNCHARGED_READ_AHEAD_BYTES),
            None => (!self.activity.has_long_body()).then_some(MAX_CHUNKED_READ_BYTES),
        }
    }

    /// Reads from the socket.
    fn poll_read_current(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let max_bytes = self.max_read_bytes().filter(|max_bytes| *max_bytes < buf.remaining());
        let mut stream = lock(&self.stream);
        let Some(max_bytes) = max_bytes else { return Pin::new(&mut *stream).poll_read(cx, buf) };
        let mut limited = ReadBuf::new(buf.initialize_unfilled_to(max_bytes));
        ready!(Pin::new(&mut *stream).poll_read(cx, &mut limited))?;
        let read = limited.filled().len();
        buf.advance(read);
        Poll::Ready(Ok(()))
    }

    /// Keeps bytes received behind a request.
    fn push_read_ahead(&mut self, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.read_ahead.extend_from_slice(bytes);
            self.read_ahead_at = Instant::now();
            self.update_next_request();
        }
    }

    /// Reports whether another complete request waits behind the open one: its connection must not be closed
    /// before both are answered. A request longer than the read-ahead buffer counts as complete, since the
    /// rest may be in the kernel.
    fn update_next_request(&mut self) {
        if self.next_framing.complete_requests() == 0 {
            self.next_framed_bytes += self.next_framing.feed(&self.read_ahead[self.next_framed_bytes..]);
        }
        let waits =
            self.next_framing.complete_requests() > 0 || self.read_ahead.len() >= self.max_read_ahead();
        // Until the current request is complete, the read-ahead bytes are still part of it.
        self.activity.set_next_request((waits && self.has_open_request()).then_some(self.read_ahead_at));
    }

    /// While a request is open: reads ahead, and is ready only when the client has disconnected.
    fn poll_disconnect(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.activity.wake_when_answered(cx.waker());
        let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
        while !self.is_read_ahead_full() {
            let mut buffer = ReadBuf::new(&mut chunk);
            let result = Pin::new(&mut *lock(&self.stream)).poll_read(cx, &mut buffer);
            io_counts::record_read(&result, buffer.filled().len());
            ready!(result)?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.push_read_ahead(buffer.filled());
        }
        loop {
            let check =
                self.disconnect_check.get_or_insert_with(|| Box::pin(sleep(DISCONNECT_CHECK_INTERVAL)));
            ready!(check.as_mut().poll(cx));
            self.disconnect_check = None;
            let stream = lock(&self.stream);
            if let Some(error) = stream.take_error()? {
                return Poll::Ready(Err(error));
            }
            if has_left_behind_unread_bytes(&stream) {
                return Poll::Ready(Ok(()));
            }
            let readiness = std::pin::pin!(stream.ready(Interest::READABLE)).poll(cx);
            drop(stream);
            if let Poll::Ready(ready) = readiness
                && ready?.is_read_closed()
            {
                return Poll::Ready(Ok(()));
            }
        }
    }

    /// Records the result of a write, and returns an error if the client has taken no bytes for too long.
    fn check_write(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        io_counts::record_write(&result);
        self.activity.set_write_blocked(result.is_pending());
        if result.is_ready() {
            self.write_timeout = None;
            return result;
        }
        let timeout = self.write_timeout.get_or_insert_with(|| Box::pin(sleep(STREAM_IDLE_TIMEOUT)));
        match timeout.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

/// Locks the stream. No code that holds the lock can panic or holds it for longer than one call.
fn lock(stream: &SharedStream) -> MutexGuard<'_, TcpStream> {
    stream.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Feeds received bytes to the framing, up to the end of a request. Returns how many bytes that are.
fn feed(framing: &mut Framing, activity: &ConnectionActivity, bytes: &[u8]) -> usize {
    let fed = framing.feed(bytes);
    activity.bytes_received(framing.in_head(), framing.first_ambiguous_request());
    activity.body_read(fed, framing.body_bytes_left());
    fed
}

impl AsyncRead for Client {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.has_open_request() {
            // hyper gets the next bytes after the answer, but a disconnect at once.
            return this.poll_disconnect(cx);
        }
        if !this.read_ahead.is_empty() {
            let available = this.read_ahead.len().min(buf.remaining());
            let fed = feed(&mut this.framing, &this.activity, &this.read_ahead[..available]);
            buf.put_slice(&this.read_ahead[..fed]);
            this.consume_read_ahead(fed);
            (this.next_framing, this.next_framed_bytes) = (Framing::default(), 0);
            this.update_next_request();
            return Poll::Ready(Ok(()));
        }
        if this.activity.take_direct_read_request() && this.try_read_socket(buf)? {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let result = this.poll_read_current(cx, buf);
        let read = buf.filled().get(before..).unwrap_or_default();
        io_counts::record_read(&result, read.len());
        if !read.is_empty() {
            let fed = feed(&mut this.framing, &this.activity, read);
            this.push_read_ahead(&read[fed..]);
            buf.set_filled(before + fed);
        }
        result
    }
}

impl AsyncWrite for Client {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *lock(&self.stream)).poll_write(cx, buf);
        self.check_write(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *lock(&self.stream)).poll_write_vectored(cx, bufs);
        self.check_write(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        lock(&self.stream).is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *lock(&self.stream)).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.lingering_close.is_none() {
            ready!(Pin::new(&mut *lock(&this.stream)).poll_shutdown(cx))?;
            this.lingering_close =
                Some((Box::pin(sleep(LINGERING_CLOSE_TIMEOUT)), MAX_LINGERING_CLOSE_BYTES));
        }
        let Some((timeout, bytes_left)) = &mut this.lingering_close else { return Poll::Ready(Ok(())) };
        let mut chunk = [0; 4 << 10];
        loop {
            if timeout.as_mut().poll(cx).is_ready() || *bytes_left == 0 {
                return Poll::Ready(Ok(()));
            }
            let mut buffer = ReadBuf::new(&mut chunk);
            match Pin::new(&mut *lock(&this.stream)).poll_read(cx, &mut buffer) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    *bytes_left = bytes_left.saturating_sub(buffer.filled().len());
                }
                // The client has closed or reset the connection.
                Poll::Ready(_) => return Poll::Ready(Ok(())),
            }
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        if self.activity.is_reset_on_close() {
            // If the option cannot be set, the connection is closed normally.
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
    async fn unread_bytes_at_close_do_not_reset_the_answer() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let mut client = Client::new(
            listener.accept().await.unwrap().0,
            Arc::new(ConnectionActivity::new(tokio::time::Instant::now())),
            BufferBudget::new(1),
        );
        // These bytes are unread when the stream is closed.
        peer.write_all(&[b'x'; 1_000]).unwrap();
        client.write_all(b"answer").await.unwrap();
        let closing = tokio::spawn(async move {
            client.shutdown().await.unwrap();
            drop(client);
        });
        let answer = tokio::task::spawn_blocking(move || {
            std::thread::sleep(Duration::from_millis(20));
            let mut answer = Vec::new();
            peer.read_to_end(&mut answer).map(|_| answer)
        });
        assert_eq!(answer.await.unwrap().unwrap(), b"answer");
        closing.await.unwrap();
    }

    /// Guards the memory limit against requests that are read ahead: only a little of them without memory of the
    /// budget, and no more than there is memory for.
    #[tokio::test]
    async fn bytes_behind_an_open_request_are_read_only_if_there_is_memory_for_them() {
        for (transfers, max_bytes) in [(0, UNCHARGED_READ_AHEAD_BYTES), (8, MAX_READ_AHEAD_BYTES)] {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
            let activity = Arc::new(ConnectionActivity::new(tokio::time::Instant::now()));
            let stream = listener.accept().await.unwrap().0;
            let buffers = BufferBudget::new(transfers);
            let mut client = Client::new(stream, activity.clone(), buffers.clone());
            peer.write_all(b"POST / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n").unwrap();
            let head_bytes = tokio::io::AsyncReadExt::read(&mut client, &mut [0; 100]).await.unwrap();
            assert!(head_bytes > 0);
            peer.write_all(&[b'x'; 300_000]).unwrap();
            let mut buffer = vec![0; 32 << 10];
            let mut body_bytes = 0;
            while body_bytes < 20_000 {
                body_bytes += tokio::io::AsyncReadExt::read(&mut client, &mut buffer).await.unwrap();
            }
            // The request is open now: hyper waits for the client to disconnect.
            let disconnected = tokio::io::AsyncReadExt::read(&mut client, &mut buffer);
            let waited = tokio::time::timeout(Duration::from_millis(300), disconnected).await;
            assert!(waited.is_err(), "the client is still connected");
            let kept = client.read_ahead.len();
            assert!(kept >= max_bytes && kept < max_bytes + READ_AHEAD_CHUNK_BYTES, "{kept} bytes");
            assert_eq!(buffers.in_use() > 0, transfers > 0);
            assert!(client.read_ahead.capacity() <= max_bytes + 2 * READ_AHEAD_CHUNK_BYTES);
        }
    }

    #[tokio::test]
    async fn shutdown_does_not_wait_long_for_a_client_that_keeps_its_side_open() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let mut client = Client::new(
            listener.accept().await.unwrap().0,
            Arc::new(ConnectionActivity::new(tokio::time::Instant::now())),
            BufferBudget::new(1),
        );
        tokio::time::timeout(Duration::from_secs(30), client.shutdown()).await.unwrap().unwrap();
        drop(client);
        assert_eq!(peer.read(&mut [0; 1]).unwrap(), 0);
    }
}
