//! Attempts whose body is still coming from the client. A server begins with the last byte only: until then such an attempt
//! is no load, does not hang, and takes none of the request's time.

use rustc_hash::FxHashMap;

use crate::Balancer;
use crate::api::*;
use crate::state::OutstandingSend;

/// By request and attempt: as it stood in the books of its server, and since when it is not in them.
pub(crate) type Uploads = FxHashMap<(RequestId, AttemptNo), (OutstandingSend, Millis)>;

impl Balancer {
    /// Takes an attempt out of the books of its server while its body comes, or puts it back once the last byte is out.
    pub(crate) fn upload(&mut self, request: RequestId, attempt: AttemptNo, in_progress: bool) {
        let key = (request, attempt);
        let Some(&(number, id)) = self.sends.get(&key) else { return };
        let now = self.now;
        if in_progress {
            // What has passed cannot be sent again, so that nothing is won by giving it up.
            self.watch_no_more(request);
            let sent = self.upstreams.update(id, |upstream| upstream.take(number)).flatten();
            // Twice is once.
            self.uploads.extend(sent.map(|sent| (key, (sent, now))));
            return;
        }
        let Some((sent, since)) = self.uploads.remove(&key) else { return };
        let number = self.next_send;
        self.next_send += 1;
        let entered = self
            .upstreams
            .update(id, |upstream| upstream.enter(number, OutstandingSend { sent: now, ..sent }));
        match entered {
            Some(()) => drop(self.sends.insert(key, (number, id))),
            // It was forgotten meanwhile, as gone.
            None => drop(self.sends.remove(&key)),
        }
        let Some(held) = self.requests.get_mut(&request) else { return };
        held.arrived += now - since;
        held.deadline += now - since;
        if let Some(this) = held.attempts.get_mut(attempt.0 as usize) {
            this.sent = now;
        }
    }
}
