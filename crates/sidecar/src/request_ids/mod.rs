//! Which ids of clients' requests are in use. Upstreams identify a request by the id that its client gave it
//! (`X-Request-ID`), so a second request with the same id would be another attempt of the first. This module
//! alone decides whether a request may use its id; the processes of one sidecar decide together.
//!
//! An id is held by an [`IdLease`] from the request's head until the last byte of the answer was handed to the
//! client's connection and no attempt is out any more, whichever is later. If the client got no answer and an
//! attempt may have run whose repetition is not harmless, the id cannot be claimed again for a while after
//! that, either.

pub mod exchange;
mod recent;
mod table;
#[cfg(test)]
mod tests;

use std::fmt;
use std::hash::Hasher;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sagemast_decide::api::Effect;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use self::exchange::{IdNotice, IdRequest};
use self::table::{Claim, IdTable};

/// How long a claim waits for the predecessor's answer. The predecessor answers within one turn of its event
/// loop.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(100);

/// Digest of an id, the same in all processes and versions of a sidecar. Two different ids have the same one
/// with a probability of 2 to the power of -64.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IdDigest(u64);

impl IdDigest {
    fn of(id: &str) -> IdDigest {
        let mut hasher = SipHasher13::new();
        hasher.write(id.as_bytes());
        IdDigest(hasher.finish())
    }
}

/// Why an id may not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// Another request with this id is open, or may have run.
    #[error("the id is in use")]
    InUse,
    /// The predecessor has not answered in time, and a second request with the id could do harm.
    #[error("the predecessor does not answer")]
    NotAnswered,
}

/// The ids that are in use in one sidecar. Clones share them.
#[derive(Clone)]
pub struct RequestIds(Arc<Shared>);

struct Shared {
    table: Mutex<IdTable>,
    /// Notified when there is something to send to another process.
    outgoing: Notify,
}

impl Default for RequestIds {
    fn default() -> RequestIds {
        let table = Mutex::new(IdTable::new(Instant::now()));
        RequestIds(Arc::new(Shared { table, outgoing: Notify::new() }))
    }
}

impl RequestIds {
    /// Claims an id for a request with this effect.
    ///
    /// # Errors
    /// The request must not be forwarded.
    pub async fn claim(&self, id: &str, effect: Effect) -> Result<Arc<IdLease>, ClaimError> {
        let digest = IdDigest::of(id);
        let claim = self.update(|table| table.claim(digest));
        if let Claim::Denied = claim {
            return Err(ClaimError::InUse);
        }
        let repeatable = effect == Effect::Idempotent;
        let lease = IdLease {
            ids: self.clone(),
            digest,
            repeatable,
            unproven_attempts: AtomicU32::new(0),
            answered: AtomicBool::new(false),
        };
        if let Claim::Asked(answer) = claim {
            match timeout(CLAIM_TIMEOUT, answer).await {
                Ok(Ok(false)) => return Err(ClaimError::InUse),
                Err(_) if !repeatable => return Err(ClaimError::NotAnswered),
                _ => {}
            }
        }
        Ok(Arc::new(lease))
    }

    /// Asks a predecessor about each claim from now on.
    pub fn connect_predecessor(&self) {
        self.update(IdTable::connect_predecessor);
    }

    /// Decides without the predecessor from now on, since it has ended.
    pub fn disconnect_predecessor(&self) {
        self.update(IdTable::disconnect_predecessor);
    }

    /// Collects notices for a successor from now on.
    pub fn connect_successor(&self) {
        self.update(IdTable::connect_successor);
    }

    /// Takes back the ids of the successor, since it has ended.
    pub fn disconnect_successor(&self) {
        self.update(|table| table.disconnect_successor(Instant::now()));
    }

    /// Handles requests of the successor.
    pub fn handle_requests(&self, requests: Vec<IdRequest>) {
        let now = Instant::now();
        self.update(|table| requests.into_iter().for_each(|request| table.handle_request(now, request)));
    }

    /// Handles notices of the predecessor.
    pub fn handle_notices(&self, notices: Vec<IdNotice>) {
        let now = Instant::now();
        self.update(|table| notices.into_iter().for_each(|notice| table.handle_notice(now, notice)));
    }

    /// Waits until there may be something to send to another process.
    pub async fn wait_for_outgoing(&self) {
        self.0.outgoing.notified().await;
    }

    /// Passes the requests for the predecessor to `send`, which returns whether it has sent them. Those that it
    /// has not sent are kept.
    pub fn send_requests(&self, send: impl FnOnce(&[IdRequest]) -> bool) {
        if let Some(requests) = self.table().outgoing_requests() {
            clear_if_sent(requests, send);
        }
    }

    /// Passes the notices for the successor to `send`, in the same way.
    pub fn send_notices(&self, send: impl FnOnce(&[IdNotice]) -> bool) {
        if let Some(notices) = self.table().outgoing_notices() {
            clear_if_sent(notices, send);
        }
    }

    fn update<T>(&self, change: impl FnOnce(&mut IdTable) -> T) -> T {
        let mut table = self.table();
        let result = change(&mut table);
        if table.has_outgoing() {
            self.0.outgoing.notify_one();
        }
        result
    }

    fn table(&self) -> MutexGuard<'_, IdTable> {
        self.0.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn clear_if_sent<T>(messages: &mut Vec<T>, send: impl FnOnce(&[T]) -> bool) {
    if !messages.is_empty() && send(messages) {
        messages.clear();
    }
}

/// The right to use an id. It is shared by all that work on the request; when the last of them drops it, the
/// id is released.
pub struct IdLease {
    ids: RequestIds,
    digest: IdDigest,
    /// Whether a repetition of the request is harmless.
    repeatable: bool,
    /// Attempts that are not proven not to have run.
    unproven_attempts: AtomicU32,
    /// Whether the client has a complete answer.
    answered: AtomicBool,
}

impl IdLease {
    /// Records that an attempt with the id is about to be written.
    pub fn begin_attempt(self: &Arc<IdLease>) -> AttemptLease {
        self.unproven_attempts.fetch_add(1, Ordering::Relaxed);
        AttemptLease(self.clone())
    }

    /// Records that the client has a complete answer: it knows what became of its request.
    pub fn mark_answered(&self) {
        self.answered.store(true, Ordering::Relaxed);
    }
}

impl Drop for IdLease {
    fn drop(&mut self) {
        let may_have_run = *self.unproven_attempts.get_mut() > 0;
        let used = may_have_run && !self.repeatable && !*self.answered.get_mut();
        let digest = self.digest;
        self.ids.update(|table| table.release(Instant::now(), digest, used));
    }
}

impl fmt::Debug for IdLease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "IdLease({:016x})", self.digest.0)
    }
}

/// The use of an id by one attempt, held until the attempt has ended on its connection. Dropped without
/// [`AttemptLease::prove_not_run`], the attempt counts as one that may have run.
#[derive(Debug)]
pub struct AttemptLease(Arc<IdLease>);

impl AttemptLease {
    /// Ends the attempt, which is proven not to have run.
    pub fn prove_not_run(self) {
        self.0.unproven_attempts.fetch_sub(1, Ordering::Relaxed);
    }
}
