//! Attempts whose request body is still being received from the client. A server begins its work with the
//! last byte. Until then the attempt is no load on the server, its missing answer is no evidence against the
//! server, and the request's time doesn't run.

use rustc_hash::FxHashMap;

use crate::Balancer;
use crate::api::*;
use crate::state::OutstandingSend;

/// By request and attempt: the send as it was removed from its server's outstanding sends, and the time of
/// the removal.
pub(crate) type Uploads = FxHashMap<(RequestId, AttemptNo), (OutstandingSend, Millis)>;

impl Balancer {
    /// Removes an attempt from its server's outstanding sends while its body is being received, and adds it
    /// again once the last byte was sent.
    pub(crate) fn track_upload(&mut self, request: RequestId, attempt: AttemptNo, in_progress: bool) {
        let key = (request, attempt);
        let Some(&(number, id)) = self.sends.get(&key) else { return };
        let now = self.now;
        if in_progress {
            // The bytes that have been passed on cannot be sent a second time, so abandoning the attempt
            // gains nothing.
            self.cancel_check(request);
            let removed = self.upstreams.update(id, |upstream| upstream.remove_send(number)).flatten();
            // A repeated event finds the send removed and changes nothing.
            self.uploads.extend(removed.map(|send| (key, (send, now))));
            return;
        }
        let Some((send, removed_at)) = self.uploads.remove(&key) else { return };
        let number = self.next_send;
        self.next_send += 1;
        let added = self
            .upstreams
            .update(id, |upstream| upstream.add_send(number, OutstandingSend { sent: now, ..send }));
        match added {
            Some(()) => drop(self.sends.insert(key, (number, id))),
            // The server was removed in the meantime.
            None => drop(self.sends.remove(&key)),
        }
        let Some(pending) = self.requests.get_mut(&request) else { return };
        pending.arrived += now - removed_at;
        pending.deadline += now - removed_at;
        if let Some(sent_attempt) = pending.attempts.get_mut(attempt.0 as usize) {
            sent_attempt.sent = now;
        }
    }
}
