//! The stream of a connection to an upstream, with a meter of its bytes. The meter counts how much of a
//! request was written, which tells whether the upstream can have received the request. It also tracks the
//! open request and its answer, which tells whether received bytes belong to a request.

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
use crate::head_gate::{HeadGate, HeadScanner};
use crate::io_counts;
use crate::metrics::Metrics;
use crate::transfer::framing::Framing;
use crate::transfer::limits::STREAM_IDLE_TIMEOUT;
use crate::transfer::pause_estimate::PauseEstimate;

/// The byte counts and exchange state of a connection, shared between the stream, which hyper owns, and the
/// task that runs the exchange.
pub struct Meter {
    opened_at: Instant,
    bytes_written: AtomicU64,
    bytes_read: AtomicU64,
    /// Whether the writing of a request has begun and the answer to the request is not complete.
    request_open: AtomicBool,
    /// Whether bytes of the open request's answer have been received.
    answer_started: AtomicBool,
    /// Notified when `answer_started` becomes true.
    answer_start: Notify,
    /// When bytes were last read, in microseconds after the connection was opened.
    last_read_micros: AtomicU64,
    /// Whether someone waits for the next bytes.
    bytes_awaited: AtomicBool,
    /// Notified when awaited bytes have been read.
    bytes_arrived: Notify,
    /// Whether the socket is to be reset when it is closed.
    reset_on_close: AtomicBool,
    /// Whether the connection's buffers have grown for a long head.
    has_grown_buffers: AtomicBool,
    /// Whether the head of the current answer may be long.
    head_gate: HeadGate,
    /// The current exchange.
    exchange: Mutex<Exchange>,
}

/// The current exchange of a request and its answer.
#[derive(Default)]
struct Exchange {
    /// Bytes of the request that the kernel has accepted.
    request_bytes_written: u64,
    /// Framing of these bytes, which finds the end of the request.
    framing: Framing,
    /// The conditions for writing the first byte.
    conditions: Option<WriteConditions>,
    /// Whether the request was obsolete when its first byte was to be written.
    obsolete: bool,
    /// Where an attempt and the pauses of its answer are recorded; `None` for a probe.
    recorders: Option<(Arc<Metrics>, Arc<PauseEstimate>)>,
}

impl Default for Meter {
    fn default() -> Meter {
        Meter {
            opened_at: Instant::now(),
            bytes_written: AtomicU64::new(0),
            bytes_read: AtomicU64::new(0),
            request_open: AtomicBool::new(false),
            answer_started: AtomicBool::new(false),
            answer_start: Notify::new(),
            last_read_micros: AtomicU64::new(0),
            bytes_awaited: AtomicBool::new(false),
            bytes_arrived: Notify::new(),
            reset_on_close: AtomicBool::new(false),
            has_grown_buffers: AtomicBool::new(false),
            head_gate: HeadGate::default(),
            exchange: Mutex::default(),
        }
    }
}

impl Meter {
    /// Bytes that the kernel has accepted so far.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.load(Ordering::Relaxed)
    }

    /// Bytes read so far.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read.load(Ordering::Relaxed)
    }

    /// Waits until the first byte of an answer has been read.
    pub async fn wait_for_answer_start(&self) {
        while !self.answer_started.load(Ordering::Relaxed) {
            self.answer_start.notified().await;
        }
    }

    /// Waits until more bytes have been read.
    pub async fn wait_for_bytes(&self) {
        self.bytes_awaited.store(true, Ordering::Relaxed);
        self.bytes_arrived.notified().await;
    }

    /// Records that the final answer has begun.
    pub fn mark_answer_started(&self) {
        if !self.answer_started.swap(true, Ordering::Relaxed) {
            self.answer_start.notify_one();
        }
    }

    /// Whether an answer has begun that is not complete.
    pub fn is_answer_started(&self) -> bool {
        self.answer_started.load(Ordering::Relaxed)
    }

    /// Records that the bytes received were an interim (1xx) answer: the final answer has not begun.
    pub fn mark_interim_answer(&self) {
        self.answer_started.store(false, Ordering::Relaxed);
    }

    /// Records that the answer is complete: bytes that arrive before the next request is written belong to no
    /// request.
    pub fn mark_answer_complete(&self) {
        self.request_open.store(false, Ordering::Relaxed);
        self.answer_started.store(false, Ordering::Relaxed);
    }

    /// Begins an exchange and discards the state of the previous one.
    pub fn begin_exchange(
        &self,
        recorders: Option<(Arc<Metrics>, Arc<PauseEstimate>)>,
        conditions: Option<WriteConditions>,
    ) {
        *lock(&self.exchange) = Exchange { recorders, conditions, ..Exchange::default() };
    }

    /// Whether the request was not written because it had expired or its client had disconnected.
    pub fn is_request_obsolete(&self) -> bool {
        lock(&self.exchange).obsolete
    }

    /// How much of the request was written.
    pub fn request_written(&self) -> Written {
        let exchange = lock(&self.exchange);
        match exchange.request_bytes_written {
            _ if exchange.framing.complete_requests() > 0 || exchange.framing.is_untracked() => {
                Written::Complete
            }
            0 => Written::Nothing,
            _ => Written::Partial,
        }
    }

    /// The number of bytes of the request that were written.
    pub fn request_bytes_written(&self) -> u64 {
        lock(&self.exchange).request_bytes_written
    }

    /// Has the socket reset when it is closed. The kernel then discards unsent bytes, so that they cannot
    /// reach the upstream after the next attempt has begun.
    pub fn reset_on_close(&self) {
        self.reset_on_close.store(true, Ordering::Relaxed);
    }

    /// Whether the head of the current answer may be long.
    pub fn head_gate(&self) -> &HeadGate {
        &self.head_gate
    }

    /// Records that the connection's buffers have grown for a long head.
    pub fn mark_grown_buffers(&self) {
        self.has_grown_buffers.store(true, Ordering::Relaxed);
    }

    /// Whether the connection's buffers have grown for a long head.
    pub fn has_grown_buffers(&self) -> bool {
        self.has_grown_buffers.load(Ordering::Relaxed)
    }

    /// When bytes were last read.
    pub fn last_read_at(&self) -> Instant {
        self.opened_at + Duration::from_micros(self.last_read_micros.load(Ordering::Relaxed))
    }

    /// Records that the kernel has accepted the first `bytes` bytes of `parts`.
    fn count_written(&self, parts: &[io::IoSlice<'_>], mut bytes: usize) {
        self.bytes_written.fetch_add(bytes as u64, Ordering::Relaxed);
        let mut exchange = lock(&self.exchange);
        let complete_before = exchange.framing.complete_requests();
        exchange.request_bytes_written += bytes as u64;
        for part in parts {
            let mut rest = part.get(..bytes.min(part.len())).unwrap_or_default();
            bytes -= rest.len();
            while !rest.is_empty() {
                let fed = exchange.framing.feed(rest);
                rest = rest.get(fed..).unwrap_or_default();
            }
        }
        if complete_before == 0
            && exchange.framing.complete_requests() > 0
            && let Some((metrics, _)) = &exchange.recorders
        {
            metrics.attempts_written.fetch_add(1, Ordering::Release);
        }
    }

    /// Records that reading goes on after a pause of this side, which does not count as a gap of the answer.
    pub fn mark_reading_resumed(&self) {
        let now = u64::try_from(self.opened_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.last_read_micros.store(now, Ordering::Relaxed);
    }

    /// Records bytes read; an error if no request is open.
    fn count_read(&self, bytes: usize) -> io::Result<()> {
        if bytes == 0 {
            return Ok(());
        }
        if !self.request_open.load(Ordering::Relaxed) {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the upstream sent bytes without a request",
            ));
        }
        self.bytes_read.fetch_add(bytes as u64, Ordering::Relaxed);
        let now = u64::try_from(self.opened_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        let last_read = self.last_read_micros.swap(now, Ordering::Relaxed);
        if self.is_answer_started()
            && let Some((_, pauses)) = &lock(&self.exchange).recorders
        {
            pauses.record_gap(Duration::from_micros(now.saturating_sub(last_read)));
        }
        self.mark_answer_started();
        if self.bytes_awaited.swap(false, Ordering::Relaxed) {
            self.bytes_arrived.notify_one();
        }
        Ok(())
    }
}

/// Locks a mutex. No code that holds the lock can panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A TCP stream to an upstream with a meter.
pub struct MeteredStream {
    stream: TcpStream,
    meter: Arc<Meter>,
    /// Follows the head of the current answer.
    head_scanner: HeadScanner,
    /// Runs while a write is blocked because the upstream takes no bytes.
    write_timeout: Option<Pin<Box<Sleep>>>,
}

impl MeteredStream {
    /// Wraps a stream; its counts start at 0.
    pub fn new(stream: TcpStream) -> (MeteredStream, Arc<Meter>) {
        let meter = Arc::new(Meter::default());
        (
            MeteredStream {
                stream,
                meter: meter.clone(),
                head_scanner: HeadScanner::default(),
                write_timeout: None,
            },
            meter,
        )
    }

    /// Checks the connection before the first byte of a request is written. Bytes that wait in the socket
    /// would be read as the answer, a request on a connection closed by the upstream would be lost, and the
    /// client may have disconnected. The check polls the sockets themselves, since the runtime detects new
    /// events only when it next polls the kernel.
    fn check_before_request(&mut self) -> io::Result<()> {
        if self.meter.request_open.load(Ordering::Relaxed) {
            return Ok(());
        }
        io_counts::record_read(&Poll::Ready(Ok(())), 0);
        let mut exchange = lock(&self.meter.exchange);
        match client_disconnect::check_before_write(&self.stream, exchange.conditions.as_ref())? {
            ConnectionCheck::Proceed => {
                self.meter.request_open.store(true, Ordering::Relaxed);
                self.head_scanner.reset(&self.meter.head_gate);
                Ok(())
            }
            ConnectionCheck::RequestObsolete => {
                exchange.obsolete = true;
                Err(io::Error::other("the request has expired or its client has disconnected"))
            }
            ConnectionCheck::UpstreamUnusable => Err(io::Error::new(
                io::ErrorKind::NotConnected,
                "the upstream has closed the idle connection or sent bytes on it",
            )),
        }
    }

    /// Records the result of a write, and returns an error if the upstream has taken no bytes for too long.
    fn check_write(
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

impl Drop for MeteredStream {
    fn drop(&mut self) {
        if self.meter.reset_on_close.load(Ordering::Relaxed) {
            // If the option cannot be set, the connection is closed normally.
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
        let this = &mut *self;
        if this.head_scanner.is_blocked(&this.meter.head_gate) {
            this.meter.head_gate.wait(cx.waker());
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(cx, buf);
        let read = buf.filled().get(before..).unwrap_or_default();
        io_counts::record_read(&result, read.len());
        ready!(result)?;
        this.head_scanner.feed(read);
        Poll::Ready(this.meter.count_read(read.len()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.check_before_request()?;
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_write(cx, &[io::IoSlice::new(buf)], result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_before_request()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_write(cx, bufs, result)
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

    async fn metered_pair() -> (MeteredStream, Arc<Meter>, std::net::TcpStream) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (metered, meter) = MeteredStream::new(stream);
        (metered, meter, listener.accept().unwrap().0)
    }

    #[tokio::test]
    async fn request_is_not_written_after_unrequested_bytes_have_arrived() {
        let (mut metered, meter, mut upstream) = metered_pair().await;
        metered.write_all(b"first").await.unwrap();
        upstream.write_all(b"answer").unwrap();
        metered.read_exact(&mut [0; 6]).await.unwrap();
        meter.mark_answer_complete();
        // The runtime has not polled the kernel since: only the socket itself shows these bytes.
        upstream.write_all(b"more").unwrap();
        let written = meter.bytes_written();
        assert!(metered.write_all(b"second").await.is_err());
        assert_eq!(meter.bytes_written(), written);
        assert!(metered.read(&mut [0; 4]).await.is_err(), "the bytes must not be read as an answer");
    }

    #[tokio::test]
    async fn request_is_not_written_to_a_connection_closed_by_the_upstream() {
        let (mut metered, meter, upstream) = metered_pair().await;
        drop(upstream);
        assert!(metered.write_all(b"first").await.is_err());
        assert_eq!(meter.bytes_written(), 0);
    }
}
