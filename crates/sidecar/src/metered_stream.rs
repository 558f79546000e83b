//! A stream to an upstream that knows what has crossed it: how much of a request was written, read off its very bytes, which
//! tells whether it can have arrived, and whether an answer has begun, which tells what belongs to which request.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep};

use crate::client_disconnect::{self, ConnectionCheck, WriteConditions};
use crate::execution::Written;
use crate::io_counts;
use crate::metrics::Metrics;
use crate::transfer::framing::Framing;
use crate::transfer::limits::STREAM_IDLE_TIMEOUT;
use crate::transfer::stall_timeout::StallTimeout;

/// What has crossed a connection. hyper owns the stream, so this is shared with it.
pub struct Meter {
    began_at: Instant,
    written: AtomicU64,
    read: AtomicU64,
    /// Whether a request has begun to be written that has no whole answer yet.
    asked: AtomicBool,
    /// Whether bytes of its answer have come, and who waits for that.
    answering: AtomicBool,
    began: Notify,
    /// When bytes were last read, in microseconds from the start of the connection.
    read_at: AtomicU64,
    /// Whether the socket is to be reset when it is closed.
    abortive: AtomicBool,
    /// The exchange under way.
    exchange: Mutex<Exchange>,
}

/// What is known of the exchange under way.
#[derive(Default)]
struct Exchange {
    /// How many bytes of its request the kernel has taken, and where that request ends: the same bytes tell.
    taken: u64,
    framing: Framing,
    /// On what terms its first byte is written, and whether they were over by then.
    terms: Option<WriteConditions>,
    unwanted: bool,
    /// Where an attempt is counted and the gaps in its answer are told; a probe is neither.
    told: Option<(Arc<Metrics>, Arc<StallTimeout>)>,
}

impl Default for Meter {
    fn default() -> Meter {
        Meter {
            began_at: Instant::now(),
            written: AtomicU64::new(0),
            read: AtomicU64::new(0),
            asked: AtomicBool::new(false),
            answering: AtomicBool::new(false),
            began: Notify::new(),
            read_at: AtomicU64::new(0),
            abortive: AtomicBool::new(false),
            exchange: Mutex::default(),
        }
    }
}

impl Meter {
    /// Bytes that the kernel has taken so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Bytes that were read so far.
    pub fn read(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }

    /// Comes back once the first byte of an answer has been read.
    pub async fn answer_began(&self) {
        while !self.answering.load(Ordering::Relaxed) {
            self.began.notified().await;
        }
    }

    /// The head of the answer itself has come.
    pub fn answer_has_begun(&self) {
        if !self.answering.swap(true, Ordering::Relaxed) {
            self.began.notify_one();
        }
    }

    /// Whether an answer has begun that is not whole.
    pub fn is_answering(&self) -> bool {
        self.answering.load(Ordering::Relaxed)
    }

    /// What came was no more than a notice that the answer is still to come.
    pub fn answer_is_to_come(&self) {
        self.answering.store(false, Ordering::Relaxed);
    }

    /// The answer is whole: what comes before the next request is written belongs to none.
    pub fn answered(&self) {
        self.asked.store(false, Ordering::Relaxed);
        self.answering.store(false, Ordering::Relaxed);
    }

    /// An exchange begins. What an earlier one left is forgotten.
    pub fn begin(&self, told: Option<(Arc<Metrics>, Arc<StallTimeout>)>, terms: Option<WriteConditions>) {
        *lock(&self.exchange) = Exchange { told, terms, ..Exchange::default() };
    }

    /// Whether its request was not written since nobody wanted it any more.
    pub fn is_unwanted(&self) -> bool {
        lock(&self.exchange).unwanted
    }

    /// How much of its request was written.
    pub fn request(&self) -> Written {
        let exchange = lock(&self.exchange);
        match exchange.taken {
            _ if exchange.framing.whole() > 0 || exchange.framing.is_lost() => Written::Complete,
            0 => Written::Nothing,
            _ => Written::Partial,
        }
    }

    /// How many bytes of its request were written.
    pub fn taken(&self) -> u64 {
        lock(&self.exchange).taken
    }

    /// Has the socket reset when it is closed: what the kernel holds back is thrown away with it, and never arrives after
    /// the next attempt has begun.
    pub fn abort(&self) {
        self.abortive.store(true, Ordering::Relaxed);
    }

    /// When bytes were last read.
    pub fn read_at(&self) -> Instant {
        self.began_at + Duration::from_micros(self.read_at.load(Ordering::Relaxed))
    }

    /// The kernel has taken so many bytes of these.
    fn count_written(&self, parts: &[io::IoSlice<'_>], mut bytes: usize) {
        self.written.fetch_add(bytes as u64, Ordering::Relaxed);
        let mut exchange = lock(&self.exchange);
        let before = exchange.framing.whole();
        exchange.taken += bytes as u64;
        for part in parts {
            let mut rest = part.get(..bytes.min(part.len())).unwrap_or_default();
            bytes -= rest.len();
            while !rest.is_empty() {
                let fed = exchange.framing.feed(rest);
                rest = rest.get(fed..).unwrap_or_default();
            }
        }
        if before == 0
            && exchange.framing.whole() > 0
            && let Some((metrics, _)) = &exchange.told
        {
            metrics.sends.fetch_add(1, Ordering::Release);
        }
    }

    fn count_read(&self, bytes: usize) -> io::Result<()> {
        if bytes == 0 {
            return Ok(());
        }
        if !self.asked.load(Ordering::Relaxed) {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "bytes that no request asked for"));
        }
        self.read.fetch_add(bytes as u64, Ordering::Relaxed);
        let now = u64::try_from(self.began_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        let before = self.read_at.swap(now, Ordering::Relaxed);
        if self.is_answering()
            && let Some((_, patience)) = &lock(&self.exchange).told
        {
            patience.went_on(Duration::from_micros(now.saturating_sub(before)));
        }
        self.answer_has_begun();
        Ok(())
    }
}

/// Nothing that is held under it can panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A TCP stream with a meter.
pub struct MeteredStream {
    stream: TcpStream,
    meter: Arc<Meter>,
    /// Since when the upstream has taken nothing of what waits for it.
    stuck: Option<Pin<Box<Sleep>>>,
}

impl MeteredStream {
    /// Wraps a stream; the counts start at 0.
    pub fn new(stream: TcpStream) -> (MeteredStream, Arc<Meter>) {
        let meter = Arc::new(Meter::default());
        (MeteredStream { stream, meter: meter.clone(), stuck: None }, meter)
    }

    /// Before the first byte of a request goes out: bytes that wait in the socket now would be read as its answer, one that the
    /// upstream has closed would swallow it, and its client may have left. The sockets themselves are asked, since the runtime
    /// hears of what came only when it next turns to the kernel.
    fn begin(&self) -> io::Result<()> {
        if self.meter.asked.load(Ordering::Relaxed) {
            return Ok(());
        }
        io_counts::record_read(&Poll::Ready(Ok(())), 0);
        let mut exchange = lock(&self.meter.exchange);
        match client_disconnect::look(&self.stream, exchange.terms.as_ref())? {
            ConnectionCheck::Clear => {
                self.meter.asked.store(true, Ordering::Relaxed);
                Ok(())
            }
            ConnectionCheck::Unwanted => {
                exchange.unwanted = true;
                Err(io::Error::other("nobody wants it any more"))
            }
            ConnectionCheck::Unusable => {
                Err(io::Error::new(io::ErrorKind::NotConnected, "the idle connection is of no more use"))
            }
        }
    }

    /// Ends with an error when the upstream has taken nothing for too long.
    fn count(
        &mut self,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        io_counts::record_write(&result);
        if let Poll::Ready(Ok(bytes)) = result {
            self.meter.count_written(parts, bytes);
        }
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

impl Drop for MeteredStream {
    fn drop(&mut self) {
        if self.meter.abortive.load(Ordering::Relaxed) {
            // Where that cannot be had it is closed as usual.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        io_counts::record_read(&result, buf.filled().len() - before);
        ready!(result)?;
        Poll::Ready(self.meter.count_read(buf.filled().len() - before))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.begin()?;
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(cx, &[io::IoSlice::new(buf)], result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(cx, bufs, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use std::io::Write;

    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    use super::*;

    async fn pair() -> (MeteredStream, Arc<Meter>, std::net::TcpStream) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (counted, meter) = MeteredStream::new(stream);
        (counted, meter, listener.accept().unwrap().0)
    }

    #[tokio::test]
    async fn nothing_is_written_behind_bytes_that_no_one_asked_for() {
        let (mut counted, meter, mut upstream) = pair().await;
        counted.write_all(b"first").await.unwrap();
        upstream.write_all(b"answer").unwrap();
        counted.read_exact(&mut [0; 6]).await.unwrap();
        meter.answered();
        // The runtime has not turned to the kernel since: only the socket itself can tell.
        upstream.write_all(b"more").unwrap();
        let written = meter.written();
        assert!(counted.write_all(b"second").await.is_err());
        assert_eq!(meter.written(), written);
        assert!(counted.read(&mut [0; 4]).await.is_err(), "nor is it read as an answer");
    }

    #[tokio::test]
    async fn nothing_is_written_to_a_connection_that_the_other_side_has_closed() {
        let (mut counted, meter, upstream) = pair().await;
        drop(upstream);
        assert!(counted.write_all(b"first").await.is_err());
        assert_eq!(meter.written(), 0);
    }
}
