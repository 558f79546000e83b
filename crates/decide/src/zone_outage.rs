//! Zones that cannot be reached. A zone goes as a whole: its power, its switch, the link to it. Who takes each of its servers
//! for lost one by one pays a lost attempt for each of them, and many sidecars with little traffic each pay as often.
//!
//! A zone is out once so many different servers in a row could not be reached and nothing came from it meanwhile. It is asked
//! at once, and then now and then: any sign of life ends it.

use std::collections::BTreeMap;

use crate::Balancer;
use crate::api::*;
use crate::fleet::{CandidateSampler, CandidateScope};

/// So many servers of a zone have to be out of reach, one after the other: two may share a rack, or a release.
const WITNESSES: usize = 3;
/// How long a zone is left alone before it is asked again, at first and at last. An answer comes within a few milliseconds; the
/// longest is about as long as discovery takes to notice.
const ASK_AFTER: [Millis; 2] = [250.0, 2_000.0];

/// What speaks against one zone since it last gave a sign of life.
#[derive(Debug, Clone, PartialEq)]
struct Zone {
    /// At most [`WITNESSES`] of its servers that could not be reached.
    lost: Vec<UpstreamId>,
    ask_at: Millis,
    wait: Millis,
}

impl Zone {
    fn is_out(&self) -> bool {
        self.lost.len() >= WITNESSES
    }
}

/// Which zones are out, as far as one sidecar can tell. At most one entry for each zone that it has servers in.
#[derive(Debug, Clone, Default)]
pub(crate) struct ZoneOutages {
    zones: BTreeMap<ZoneId, Zone>,
}

impl ZoneOutages {
    /// A server of a zone could not be reached.
    pub fn lost(&mut self, zone: ZoneId, id: UpstreamId, now: Millis) {
        let nothing = Zone { lost: Vec::new(), ask_at: now, wait: ASK_AFTER[0] };
        let known = self.zones.entry(zone).or_insert(nothing);
        if !known.is_out() && !known.lost.contains(&id) {
            known.lost.push(id);
            known.ask_at = now;
        }
    }

    /// Something came from a zone, or was told of it, that a dead one could not have sent. Whether it was out.
    pub fn lives(&mut self, zone: ZoneId) -> bool {
        self.zones.remove(&zone).is_some_and(|known| known.is_out())
    }

    /// Whether a zone is out.
    pub fn is_out(&self, zone: ZoneId) -> bool {
        self.zones.get(&zone).is_some_and(Zone::is_out)
    }

    /// Whether any is.
    pub fn any(&self) -> bool {
        self.zones.values().any(Zone::is_out)
    }

    /// The zones that are to be asked now. Each is asked again after twice as long, times `luck` between 0.5 and 1: all
    /// sidecars have noticed together.
    pub fn due(&mut self, now: Millis, luck: f64) -> Vec<ZoneId> {
        let out = self.zones.iter_mut().filter(|(_, known)| known.is_out() && known.ask_at <= now);
        let ask = |(zone, known): (&ZoneId, &mut Zone)| {
            known.ask_at = now + known.wait * luck;
            known.wait = (2.0 * known.wait).min(ASK_AFTER[1]);
            *zone
        };
        out.map(ask).collect()
    }
}

impl Balancer {
    /// Asks a server of each zone that is out whether it is back.
    pub(crate) fn ask_zones(&mut self, out: &mut Vec<Action>) {
        if !self.outages.any() {
            return;
        }
        let luck = 0.5 + 0.5 * self.rng.rand_float();
        for zone in self.outages.due(self.now, luck) {
            let mut looks = CandidateSampler::new(&self.upstreams, CandidateScope::Zone(zone), true);
            let slot = looks.next(&mut self.upstreams, &mut self.rng);
            match slot.and_then(|slot| self.upstreams.at_slot(slot)) {
                Some((id, _)) if self.settings.limits.probes => self.probe(id, out),
                // Nobody is left to ask, or requests have to ask.
                _ => self.zone_lives(zone),
            }
        }
    }

    /// An attempt has ended: a sign of life of its server's zone, or the lack of one.
    pub(crate) fn tell_of_zone(&mut self, id: UpstreamId, outcome: Outcome) {
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Full => self.hear_from(id),
            Outcome::Unreachable => {
                let Some(zone) = self.upstreams.get(id).map(|upstream| upstream.zone) else { return };
                self.outages.lost(zone, id, self.now);
                self.upstreams.invalidate_subset();
            }
            Outcome::TimedOut | Outcome::Cancelled | Outcome::Reset | Outcome::NotSent => {}
        }
    }

    /// A server has given a sign of life.
    pub(crate) fn hear_from(&mut self, id: UpstreamId) {
        if let Some(zone) = self.upstreams.get(id).map(|upstream| upstream.zone) {
            self.zone_lives(zone);
        }
    }

    fn zone_lives(&mut self, zone: ZoneId) {
        if self.outages.lives(zone) {
            self.upstreams.invalidate_subset();
        }
    }

    /// Takes in what discovery says of a server. One that has started anew is there.
    pub(crate) fn list(&mut self, entry: &Listing) {
        let known = self.upstreams.get(entry.upstream).and_then(|server| server.started);
        if entry.started.is_some() && entry.started > known {
            self.zone_lives(entry.zone);
        }
        self.upstreams.apply_listing(entry);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: ZoneId = ZoneId(0);
    const B: ZoneId = ZoneId(1);

    #[test]
    fn three_in_a_row_and_no_sign_of_life_are_an_outage() {
        let mut outages = ZoneOutages::default();
        [1, 2].iter().for_each(|id| outages.lost(A, UpstreamId(*id), 0.0));
        assert!(!outages.is_out(A));
        assert!(!outages.lives(A));
        [3, 4, 4, 4].iter().for_each(|id| outages.lost(A, UpstreamId(*id), 1.0));
        assert!(!outages.is_out(A), "the same one again is no further witness");
        outages.lost(A, UpstreamId(5), 2.0);
        assert!(outages.is_out(A) && outages.any() && !outages.is_out(B));
        assert!(outages.lives(A));
        assert!(!outages.is_out(A) && !outages.any());
    }

    #[test]
    fn it_is_asked_at_once_and_then_ever_more_seldom() {
        let mut outages = ZoneOutages::default();
        [1, 2, 3].iter().for_each(|id| outages.lost(B, UpstreamId(*id), 10.0));
        let mut asked = Vec::new();
        for ms in 10..20_000 {
            asked.extend(outages.due(f64::from(ms), 1.0).into_iter().map(|_| ms));
            // Requests that are lost meanwhile change nothing.
            outages.lost(B, UpstreamId(ms as u64), f64::from(ms));
        }
        assert_eq!(asked[..5], [10, 260, 760, 1_760, 3_760]);
        assert!(asked.windows(2).all(|pair| pair[1] - pair[0] <= 2_000), "it never gives up: {asked:?}");
        assert_eq!(outages.zones[&B].lost.len(), WITNESSES, "and remembers no more than it needs");
    }
}
