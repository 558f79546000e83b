//! A client's stream: its calls are counted, and it is closed in two steps.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::calls;
use crate::slot::Slot;
use crate::transfer::framing::Framing;
use crate::transfer::limits::STILL;

/// After the end of our writing we read on for this long, until the client closes as well: bytes that wait unread when
/// a socket is closed reset it, and the client may lose an answer that was on its way.
const READ_ON: Duration = Duration::from_millis(200);
/// What comes then is thrown away; nobody honest sends more than this.
const READ_ON_BYTES: usize = 256 << 10;

/// The kernel holds about twice as much of what a client has yet to read. Left to itself it takes megabytes at once, and
/// then nothing for as long as a slow client needs for them: its pace would not show.
const SEND_BUFFER_BYTES: usize = 256 << 10;

/// A client's stream.
pub struct Client {
    stream: TcpStream,
    /// What others may know of it, and what its bytes tell.
    slot: Arc<Slot>,
    framing: Framing,
    /// Since when the client has taken nothing of what waits for it.
    stuck: Option<Pin<Box<Sleep>>>,
    /// Once our writing has ended: until when we read on, and how many bytes more.
    closing: Option<(Pin<Box<Sleep>>, usize)>,
}

impl Client {
    /// Of a connection that was accepted.
    pub fn new(stream: TcpStream, slot: Arc<Slot>) -> Client {
        // Without it a pace cannot be told; that is no reason not to serve.
        let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        Client { stream, slot, framing: Framing::default(), stuck: None, closing: None }
    }

    /// Ends with an error when the client has taken nothing for too long.
    fn wrote(&mut self, cx: &mut Context<'_>, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        calls::wrote(&result);
        if result.is_ready() {
            self.stuck = None;
            return result;
        }
        let stuck = self.stuck.get_or_insert_with(|| Box::pin(sleep(STILL)));
        match stuck.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for Client {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let this = &mut *self;
        let result = Pin::new(&mut this.stream).poll_read(cx, buf);
        let came = buf.filled().get(before..).unwrap_or_default();
        calls::read(&result, came.len());
        if !came.is_empty() {
            this.framing.feed(came);
            this.slot.came(this.framing.in_head(), this.framing.doubled());
        }
        result
    }
}

impl AsyncWrite for Client {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wrote(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wrote(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.closing.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            this.closing = Some((Box::pin(sleep(READ_ON)), READ_ON_BYTES));
        }
        let Some((until, left)) = &mut this.closing else { return Poll::Ready(Ok(())) };
        let mut room = [0; 4 << 10];
        loop {
            if until.as_mut().poll(cx).is_ready() || *left == 0 {
                return Poll::Ready(Ok(()));
            }
            let mut buffer = ReadBuf::new(&mut room);
            match Pin::new(&mut this.stream).poll_read(cx, &mut buffer) {
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

#[cfg(test)]
mod tests {
    use std::io::{Read, Write};

    use tokio::io::AsyncWriteExt;

    use super::*;

    #[tokio::test]
    async fn what_crosses_the_close_does_not_reset_the_answer() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let mut client =
            Client::new(listener.accept().await.unwrap().0, Arc::new(Slot::new(tokio::time::Instant::now())));
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
        let mut client =
            Client::new(listener.accept().await.unwrap().0, Arc::new(Slot::new(tokio::time::Instant::now())));
        tokio::time::timeout(Duration::from_secs(30), client.shutdown()).await.unwrap().unwrap();
        drop(client);
        assert_eq!(peer.read(&mut [0; 1]).unwrap(), 0);
    }
}
