//! Activity of one client connection, shared between the task that serves it and the listener: how long it
//! has been quiet, and which part of a request it holds.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::task::Waker;

use tokio::sync::Notify;
use tokio::time::{Duration, Instant};

use crate::client_disconnect::ClientConnection;
use crate::connection_close::ConnectionContents;
use crate::transfer::client_progress::ClientProgress;

/// Value of `quiet_since_ms` while a request is open.
const REQUEST_OPEN: u64 = u64::MAX;
/// Value of a time that is not set.
const UNSET: u64 = u64::MAX;

/// Activity of one client connection. Times are stored as milliseconds since the epoch, which all connections
/// of an instance share.
#[derive(Debug)]
pub struct ConnectionActivity {
    epoch: Instant,
    /// Since when no bytes have arrived and no request has been open; [`REQUEST_OPEN`] while one is.
    quiet_since_ms: AtomicU64,
    /// When the incomplete head began; [`UNSET`] if there is none.
    head_since_ms: AtomicU64,
    /// Number, from 1, of the first request with two framings; 0 if there is none.
    ambiguous_request: AtomicU64,
    /// Whether the connection has carried a request.
    has_carried_request: AtomicBool,
    /// Whether a request has begun whose body may be incomplete.
    body_incomplete: AtomicBool,
    /// Whether the next read is to ask the socket directly.
    direct_read_requested: AtomicBool,
    /// Number of reads that returned bytes.
    read_count: AtomicU64,
    /// Number of bytes read.
    bytes_read: AtomicU64,
    /// Bytes of the current request's body that have not been read; [`UNSET`] if their number is unknown.
    body_bytes_left: AtomicU64,
    /// Number of requests that have been answered.
    answered_requests: AtomicU64,
    /// Whether an orderly close would make a truncated answer look complete.
    reset_on_close: AtomicBool,
    /// When the pipelined request behind the open one was complete; [`UNSET`] if there is none.
    next_request_at_ms: AtomicU64,
    /// Whether bytes of an answer wait in this process because the send buffer is full.
    write_blocked: AtomicBool,
    /// Whether the rest of a request is left in the kernel for lack of memory.
    reading_paused: AtomicBool,
    /// Whether the body of the open request is streamed, with its own memory.
    has_long_body: AtomicBool,
    /// The client of the connection.
    client: OnceLock<ClientConnection>,
    /// Task to wake when the next request is answered.
    answer_waker: Mutex<Option<Waker>>,
    /// Whether eviction was requested and the connection was not kept afterwards.
    pub eviction_pending: AtomicBool,
    /// Notified when the connection is to be evicted for a new one.
    pub eviction_requested: Notify,
    /// Notified when the connection is to be closed because too many are quiet.
    pub quiet_close_requested: Notify,
}

impl ConnectionActivity {
    /// Creates the activity of a connection that has just been accepted.
    pub fn new(epoch: Instant) -> ConnectionActivity {
        let activity = ConnectionActivity {
            epoch,
            quiet_since_ms: AtomicU64::new(0),
            head_since_ms: AtomicU64::new(UNSET),
            ambiguous_request: AtomicU64::new(0),
            has_carried_request: AtomicBool::new(false),
            body_incomplete: AtomicBool::new(false),
            direct_read_requested: AtomicBool::new(false),
            read_count: AtomicU64::new(0),
            bytes_read: AtomicU64::new(0),
            body_bytes_left: AtomicU64::new(0),
            answered_requests: AtomicU64::new(0),
            reset_on_close: AtomicBool::new(false),
            next_request_at_ms: AtomicU64::new(UNSET),
            write_blocked: AtomicBool::new(false),
            reading_paused: AtomicBool::new(false),
            has_long_body: AtomicBool::new(false),
            client: OnceLock::new(),
            answer_waker: Mutex::default(),
            eviction_pending: AtomicBool::new(false),
            eviction_requested: Notify::new(),
            quiet_close_requested: Notify::new(),
        };
        activity.quiet_since_ms.store(activity.now_ms(), Ordering::Relaxed);
        activity
    }

    /// Sets the client of the connection.
    pub fn set_client(&self, client: ClientConnection) {
        // A connection has one client, so a second call has no effect.
        let _ = self.client.set(client);
    }

    /// The client of the connection.
    pub fn client(&self) -> Option<ClientConnection> {
        self.client.get().cloned()
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.epoch.elapsed().as_millis()).unwrap_or(UNSET - 1)
    }

    fn instant_at(&self, ms: u64) -> Instant {
        self.epoch + Duration::from_millis(ms)
    }

    /// Records that the head of a request has been received.
    pub fn request_started(&self) {
        self.has_carried_request.store(true, Ordering::Relaxed);
        self.body_incomplete.store(true, Ordering::Relaxed);
    }

    /// Whether the connection has carried a request.
    pub fn has_carried_request(&self) -> bool {
        self.has_carried_request.load(Ordering::Relaxed)
    }

    /// Records that a request is open from now on.
    pub fn request_opened(&self) {
        self.body_incomplete.store(false, Ordering::Relaxed);
        self.quiet_since_ms.store(REQUEST_OPEN, Ordering::Relaxed);
    }

    /// Records that a request has been answered and none is open.
    pub fn request_answered(&self) {
        self.quiet_since_ms.store(self.now_ms(), Ordering::Relaxed);
        self.body_incomplete.store(false, Ordering::Relaxed);
        self.has_long_body.store(false, Ordering::Relaxed);
        self.answered_requests.fetch_add(1, Ordering::Relaxed);
        let waker = self.answer_waker.lock().unwrap_or_else(PoisonError::into_inner).take();
        waker.into_iter().for_each(Waker::wake);
    }

    /// Records that the body of the current request is streamed.
    pub fn long_body_started(&self) {
        self.has_long_body.store(true, Ordering::Relaxed);
    }

    /// Whether the body of the current request is streamed.
    pub fn has_long_body(&self) -> bool {
        self.has_long_body.load(Ordering::Relaxed)
    }

    /// Number of requests that have been answered.
    pub fn answered_requests(&self) -> u64 {
        self.answered_requests.load(Ordering::Relaxed)
    }

    /// Makes the connection end with a reset when it is closed.
    pub fn set_reset_on_close(&self) {
        self.reset_on_close.store(true, Ordering::Relaxed);
    }

    /// Whether the connection is to end with a reset.
    pub fn is_reset_on_close(&self) -> bool {
        self.reset_on_close.load(Ordering::Relaxed)
    }

    /// Wakes this task when the next request is answered.
    pub fn wake_when_answered(&self, waker: &Waker) {
        let mut current = self.answer_waker.lock().unwrap_or_else(PoisonError::into_inner);
        if current.as_ref().is_none_or(|current| !current.will_wake(waker)) {
            *current = Some(waker.clone());
        }
    }

    /// Whether a request is open.
    pub fn is_busy(&self) -> bool {
        self.quiet_since_ms.load(Ordering::Relaxed) == REQUEST_OPEN
    }

    /// Records when the pipelined request behind the open one was complete, or that there is none.
    pub fn set_next_request(&self, completed_at: Option<Instant>) {
        let ms_since_epoch = |at: Instant| at.saturating_duration_since(self.epoch).as_millis();
        let ms = completed_at.map_or(UNSET, |at| u64::try_from(ms_since_epoch(at)).unwrap_or(UNSET - 1));
        self.next_request_at_ms.store(ms, Ordering::Relaxed);
    }

    /// When the pipelined request behind the open one was complete, if there is one.
    pub fn next_request_at(&self) -> Option<Instant> {
        let ms = self.next_request_at_ms.load(Ordering::Relaxed);
        (ms != UNSET).then(|| self.instant_at(ms))
    }

    /// Records whether a write waits because the send buffer is full. The connection is quiet only once all
    /// bytes are in the buffer: closing it earlier would lose the end of an answer.
    pub fn set_write_blocked(&self, blocked: bool) {
        if self.write_blocked.swap(blocked, Ordering::Relaxed) && !blocked && !self.is_busy() {
            self.quiet_since_ms.store(self.now_ms(), Ordering::Relaxed);
        }
    }

    /// Records that the rest of the current request is left in the kernel, until the returned value is dropped.
    /// All of the request may have been received, so that it counts as open.
    pub fn pause_reading(&self) -> ReadingPause<'_> {
        self.reading_paused.store(true, Ordering::Relaxed);
        ReadingPause(self)
    }

    fn is_reading_paused(&self) -> bool {
        self.reading_paused.load(Ordering::Relaxed)
    }

    /// Whether bytes of an answer wait because the send buffer is full.
    fn is_write_blocked(&self) -> bool {
        self.write_blocked.load(Ordering::Relaxed)
    }

    /// Records that bytes were received. `in_head` is whether they end within a head, and
    /// `first_ambiguous_request` the number of the first request with two framings.
    pub fn bytes_received(&self, in_head: bool, first_ambiguous_request: Option<u64>) {
        let now_ms = self.now_ms();
        self.read_count.fetch_add(1, Ordering::Relaxed);
        if !in_head {
            self.head_since_ms.store(UNSET, Ordering::Relaxed);
        } else if self.head_since_ms.load(Ordering::Relaxed) == UNSET {
            self.head_since_ms.store(now_ms, Ordering::Relaxed);
        }
        if let Some(number) = first_ambiguous_request {
            self.ambiguous_request.store(number, Ordering::Relaxed);
        }
        if !self.is_busy() {
            self.quiet_since_ms.store(now_ms, Ordering::Relaxed);
        }
    }

    /// Records that `bytes` bytes were read, and how many bytes of the current request's body are left.
    pub fn body_read(&self, bytes: usize, body_bytes_left: Option<u64>) {
        self.bytes_read.fetch_add(bytes as u64, Ordering::Relaxed);
        self.body_bytes_left.store(body_bytes_left.unwrap_or(UNSET), Ordering::Relaxed);
    }

    /// What the client has written of the current request, read or not.
    pub fn client_progress(&self) -> ClientProgress {
        let left = self.body_bytes_left.load(Ordering::Relaxed);
        let bytes_left = (left != UNSET).then_some(left);
        let client = self.client.get().filter(|_| bytes_left != Some(0));
        let in_socket = client.and_then(ClientConnection::received_unread_bytes).unwrap_or(0);
        // The sender's queue is empty if the socket is, and does not matter if the socket holds the rest of the
        // body.
        let client = client.filter(|_| in_socket > 0 && bytes_left.is_none_or(|left| left > in_socket));
        ClientProgress {
            bytes_read: self.bytes_read.load(Ordering::Relaxed),
            bytes_left,
            in_socket,
            in_sender_queue: client.and_then(ClientConnection::sender_queue_bytes),
        }
    }

    /// Makes the next read ask the socket directly: the runtime learns of received bytes only when it next
    /// polls the kernel.
    pub fn request_direct_read(&self) {
        self.direct_read_requested.store(true, Ordering::Relaxed);
    }

    /// Whether the next read is to ask the socket directly. Resets the request.
    pub fn take_direct_read_request(&self) -> bool {
        self.direct_read_requested.swap(false, Ordering::Relaxed)
    }

    /// Number of reads that returned bytes.
    pub fn read_count(&self) -> u64 {
        self.read_count.load(Ordering::Relaxed)
    }

    /// Which part of a request the connection holds.
    pub fn contents(&self) -> ConnectionContents {
        match (
            self.is_busy() || self.is_write_blocked() || self.is_reading_paused(),
            self.body_incomplete.load(Ordering::Relaxed),
            self.head_since(),
        ) {
            (true, ..) => ConnectionContents::Request,
            (false, true, _) => ConnectionContents::Body,
            (false, false, Some(_)) => ConnectionContents::Head,
            (false, false, None) => ConnectionContents::Nothing,
        }
    }

    /// Whether the request with this number, from 1, has two framings.
    pub fn is_ambiguous_request(&self, number: u64) -> bool {
        self.ambiguous_request.load(Ordering::Relaxed) == number
    }

    /// Since when the connection has been quiet; `None` while a request is open, left in the kernel, or its
    /// answer is not written completely.
    pub fn quiet_since(&self) -> Option<Instant> {
        let ms = self.quiet_since_ms.load(Ordering::Relaxed);
        (ms != REQUEST_OPEN && !self.is_write_blocked() && !self.is_reading_paused())
            .then(|| self.instant_at(ms))
    }

    /// When the incomplete head began, if there is one.
    pub fn head_since(&self) -> Option<Instant> {
        let ms = self.head_since_ms.load(Ordering::Relaxed);
        (ms != UNSET).then(|| self.instant_at(ms))
    }
}

/// A pause in the reading of a request; it ends when this is dropped.
pub struct ReadingPause<'a>(&'a ConnectionActivity);

impl Drop for ReadingPause<'_> {
    fn drop(&mut self) {
        let activity = self.0;
        activity.reading_paused.store(false, Ordering::Relaxed);
        if !activity.is_busy() {
            activity.quiet_since_ms.store(activity.now_ms(), Ordering::Relaxed);
        }
    }
}
