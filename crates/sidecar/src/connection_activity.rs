//! What is known of one client connection by those who look at it from outside: since when it has been quiet, and whether
//! its client is in the middle of a head.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::task::Waker;

use tokio::sync::Notify;
use tokio::time::{Duration, Instant};

use crate::client_disconnect::ClientConnection;
use crate::connection_close::ConnectionContents;

/// The mark of a connection with an open request.
const BUSY: u64 = u64::MAX;
/// The mark of no time.
const NEVER: u64 = u64::MAX;

/// One client connection. Times are milliseconds from the epoch of all of them.
#[derive(Debug)]
pub struct ConnectionActivity {
    epoch: Instant,
    /// Since when nothing has come and no request has been open; [`BUSY`] while one is.
    quiet_since: AtomicU64,
    /// When the head that is under way began.
    head_since: AtomicU64,
    /// The number of the first request that was framed in two ways.
    doubled: AtomicU64,
    /// Whether it has carried a request.
    used: AtomicBool,
    /// Whether a request has come whose body may still be coming.
    in_body: AtomicBool,
    /// Whether the socket itself is to be looked into next, and how often bytes have come.
    look: AtomicBool,
    reads: AtomicU64,
    /// Requests that have been answered.
    answered: AtomicU64,
    /// Whether its end would be taken for the end of an answer that is not whole.
    reset_on_close: AtomicBool,
    /// When the request that waits behind the open one had come whole; [`NEVER`] if none waits.
    next_request_at: AtomicU64,
    /// Whether bytes of an answer wait in this process, since the send buffer is full.
    write_blocked: AtomicBool,
    /// Whose connection it is.
    client: OnceLock<ClientConnection>,
    /// Who waits for the next one to be.
    waiting: Mutex<Option<Waker>>,
    /// Whether it was told to make room, and has not been kept after all.
    pub making_room: AtomicBool,
    /// Told to make room.
    pub make_room: Notify,
    /// Told that it has been quiet for too long, as things stand.
    pub let_go: Notify,
}

impl ConnectionActivity {
    /// A connection that has just been accepted.
    pub fn new(epoch: Instant) -> ConnectionActivity {
        let slot = ConnectionActivity {
            epoch,
            quiet_since: AtomicU64::new(0),
            head_since: AtomicU64::new(NEVER),
            doubled: AtomicU64::new(0),
            used: AtomicBool::new(false),
            in_body: AtomicBool::new(false),
            look: AtomicBool::new(false),
            reads: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            reset_on_close: AtomicBool::new(false),
            next_request_at: AtomicU64::new(NEVER),
            write_blocked: AtomicBool::new(false),
            client: OnceLock::new(),
            waiting: Mutex::default(),
            making_room: AtomicBool::new(false),
            make_room: Notify::new(),
            let_go: Notify::new(),
        };
        slot.quiet_since.store(slot.now(), Ordering::Relaxed);
        slot
    }

    /// Says whose connection it is.
    pub fn belongs_to(&self, client: ClientConnection) {
        // It belongs to one only.
        let _ = self.client.set(client);
    }

    /// Its client.
    pub fn client(&self) -> Option<ClientConnection> {
        self.client.get().cloned()
    }

    fn now(&self) -> u64 {
        u64::try_from(self.epoch.elapsed().as_millis()).unwrap_or(NEVER - 1)
    }

    fn at(&self, millis: u64) -> Instant {
        self.epoch + Duration::from_millis(millis)
    }

    /// A request has come.
    pub fn used(&self) {
        self.used.store(true, Ordering::Relaxed);
        self.in_body.store(true, Ordering::Relaxed);
    }

    /// Whether one ever has.
    pub fn is_used(&self) -> bool {
        self.used.load(Ordering::Relaxed)
    }

    /// A request is open from now on.
    pub fn busy(&self) {
        self.in_body.store(false, Ordering::Relaxed);
        self.quiet_since.store(BUSY, Ordering::Relaxed);
    }

    /// A request has been answered, and none is open from now on.
    pub fn free(&self) {
        self.quiet_since.store(self.now(), Ordering::Relaxed);
        self.in_body.store(false, Ordering::Relaxed);
        self.answered.fetch_add(1, Ordering::Relaxed);
        let waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner).take();
        waiting.into_iter().for_each(Waker::wake);
    }

    /// How many requests have been answered.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    /// Has the connection reset when it is closed.
    pub fn reset_on_close(&self) {
        self.reset_on_close.store(true, Ordering::Relaxed);
    }

    /// Whether the connection is to be reset when it is closed.
    pub fn is_reset_on_close(&self) -> bool {
        self.reset_on_close.load(Ordering::Relaxed)
    }

    /// Has this woken when the next one is.
    pub fn wake_when_answered(&self, waker: &Waker) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.as_ref().is_none_or(|before| !before.will_wake(waker)) {
            *waiting = Some(waker.clone());
        }
    }

    /// Whether one is open.
    pub fn is_busy(&self) -> bool {
        self.quiet_since.load(Ordering::Relaxed) == BUSY
    }

    /// Says when the request that is pipelined behind the open one had come whole, if there is one.
    pub fn set_next_request(&self, received: Option<Instant>) {
        let since_epoch = |at: Instant| at.saturating_duration_since(self.epoch).as_millis();
        let millis = received.map_or(NEVER, |at| u64::try_from(since_epoch(at)).unwrap_or(NEVER - 1));
        self.next_request_at.store(millis, Ordering::Relaxed);
    }

    /// When the request that is pipelined behind the open one had come whole, if there is one.
    pub fn next_request_at(&self) -> Option<Instant> {
        let received = self.next_request_at.load(Ordering::Relaxed);
        (received != NEVER).then(|| self.at(received))
    }

    /// The send buffer has no room for what is to be written, or has taken it. A connection is quiet only from then on: the
    /// end of an answer would be lost if it were closed before.
    pub fn set_write_blocked(&self, blocked: bool) {
        if self.write_blocked.swap(blocked, Ordering::Relaxed) && !blocked && !self.is_busy() {
            self.quiet_since.store(self.now(), Ordering::Relaxed);
        }
    }

    /// Whether bytes of an answer wait for room in the send buffer.
    fn is_write_blocked(&self) -> bool {
        self.write_blocked.load(Ordering::Relaxed)
    }

    /// Bytes have come; whether the client is in the middle of a head now, and the number of the first request that was
    /// framed in two ways.
    pub fn came(&self, in_head: bool, doubled: Option<u64>) {
        let now = self.now();
        self.reads.fetch_add(1, Ordering::Relaxed);
        if !in_head {
            self.head_since.store(NEVER, Ordering::Relaxed);
        } else if self.head_since.load(Ordering::Relaxed) == NEVER {
            self.head_since.store(now, Ordering::Relaxed);
        }
        if let Some(number) = doubled {
            self.doubled.store(number, Ordering::Relaxed);
        }
        if !self.is_busy() {
            self.quiet_since.store(now, Ordering::Relaxed);
        }
    }

    /// Has the next read look into the socket itself: the runtime hears of what came only when it next turns to the kernel.
    pub fn look(&self) {
        self.look.store(true, Ordering::Relaxed);
    }

    /// Whether the socket itself is to be looked into.
    pub fn is_to_look(&self) -> bool {
        self.look.swap(false, Ordering::Relaxed)
    }

    /// How often bytes have come.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// What it holds.
    pub fn holds(&self) -> ConnectionContents {
        match (
            self.is_busy() || self.is_write_blocked(),
            self.in_body.load(Ordering::Relaxed),
            self.head_since(),
        ) {
            (true, ..) => ConnectionContents::Request,
            (false, true, _) => ConnectionContents::Body,
            (false, false, Some(_)) => ConnectionContents::Head,
            (false, false, None) => ConnectionContents::Nothing,
        }
    }

    /// Whether the request of that number, from 1, was framed in two ways.
    pub fn is_doubled(&self, number: u64) -> bool {
        self.doubled.load(Ordering::Relaxed) == number
    }

    /// Since when it has been quiet; `None` while a request is open or its answer is not written.
    pub fn quiet_since(&self) -> Option<Instant> {
        let since = self.quiet_since.load(Ordering::Relaxed);
        (since != BUSY && !self.is_write_blocked()).then(|| self.at(since))
    }

    /// When the head that is under way began, if one is.
    pub fn head_since(&self) -> Option<Instant> {
        let since = self.head_since.load(Ordering::Relaxed);
        (since != NEVER).then(|| self.at(since))
    }
}
