//! Zones that are unreachable. A zone often fails as a whole: its power, its switch or the link to it. If its
//! servers were found unreachable one by one, each sidecar, even with little traffic, would lose an attempt
//! per server.
//!
//! A zone counts as unreachable once several different servers in a row could not be reached and nothing was
//! received from the zone in between. It is probed at once and then at growing intervals; any contact makes
//! it reachable again.

use std::collections::BTreeMap;

use crate::Balancer;
use crate::api::*;
use crate::fleet::{CandidateSampler, CandidateScope};

/// How many different servers in a row have to be unreachable. Two may share a rack or a release.
const MIN_UNREACHABLE_SERVERS: usize = 3;
/// First and longest interval between probes of an unreachable zone. A reachable server answers within a few
/// milliseconds; the longest interval is about the time in which discovery notices an outage.
const MIN_PROBE_INTERVAL: Millis = 250.0;
const MAX_PROBE_INTERVAL: Millis = 2_000.0;

/// Failed contacts with one zone since the last successful one.
#[derive(Debug, Clone, PartialEq)]
struct ZoneFailures {
    /// Servers that could not be reached; at most [`MIN_UNREACHABLE_SERVERS`].
    unreachable: Vec<UpstreamId>,
    probe_at: Millis,
    probe_interval: Millis,
}

impl ZoneFailures {
    fn is_unreachable(&self) -> bool {
        self.unreachable.len() >= MIN_UNREACHABLE_SERVERS
    }
}

/// The zones that one sidecar cannot reach. At most one entry for each zone that it has servers in.
#[derive(Debug, Clone, Default)]
pub(crate) struct ZoneOutages {
    zones: BTreeMap<ZoneId, ZoneFailures>,
}

impl ZoneOutages {
    /// Records that a server of a zone could not be reached.
    pub fn record_unreachable(&mut self, zone: ZoneId, id: UpstreamId, now: Millis) {
        let no_failures =
            ZoneFailures { unreachable: Vec::new(), probe_at: now, probe_interval: MIN_PROBE_INTERVAL };
        let failures = self.zones.entry(zone).or_insert(no_failures);
        if !failures.is_unreachable() && !failures.unreachable.contains(&id) {
            failures.unreachable.push(id);
            failures.probe_at = now;
        }
    }

    /// Records a sign that a zone is reachable, such as an answer or a newly started server. Returns
    /// whether the zone was unreachable until now.
    pub fn record_contact(&mut self, zone: ZoneId) -> bool {
        self.zones.remove(&zone).is_some_and(|failures| failures.is_unreachable())
    }

    pub fn is_unreachable(&self, zone: ZoneId) -> bool {
        self.zones.get(&zone).is_some_and(ZoneFailures::is_unreachable)
    }

    pub fn any_unreachable(&self) -> bool {
        self.zones.values().any(ZoneFailures::is_unreachable)
    }

    /// Returns the zones that are to be probed now, and schedules their next probes after `jitter` (0.5 to 1)
    /// times their interval, since all sidecars notice an outage together. The interval then doubles.
    pub fn take_due(&mut self, now: Millis, jitter: f64) -> Vec<ZoneId> {
        let due = self
            .zones
            .iter_mut()
            .filter(|(_, failures)| failures.is_unreachable() && failures.probe_at <= now);
        let schedule_next = |(zone, failures): (&ZoneId, &mut ZoneFailures)| {
            failures.probe_at = now + failures.probe_interval * jitter;
            failures.probe_interval = (2.0 * failures.probe_interval).min(MAX_PROBE_INTERVAL);
            *zone
        };
        due.map(schedule_next).collect()
    }
}

impl Balancer {
    /// Probes a server of each unreachable zone that is due.
    pub(crate) fn probe_unreachable_zones(&mut self, out: &mut Vec<Action>) {
        if !self.outages.any_unreachable() {
            return;
        }
        let jitter = 0.5 + 0.5 * self.rng.rand_float();
        for zone in self.outages.take_due(self.now, jitter) {
            let mut sampler = CandidateSampler::new(&self.upstreams, CandidateScope::Zone(zone), true);
            let slot = sampler.next(&mut self.upstreams, &mut self.rng);
            match slot.and_then(|slot| self.upstreams.at_slot(slot)) {
                Some((id, _)) if self.settings.limits.probes => self.probe_if_due(id, out),
                // The zone has no server left to probe, or probes are off and only requests can show that
                // the zone is reachable again.
                _ => self.record_zone_contact(zone),
            }
        }
    }

    /// Records the outcome of an attempt for the zone of its server.
    pub(crate) fn record_zone_outcome(&mut self, id: UpstreamId, outcome: Outcome) {
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Full => self.record_server_contact(id),
            Outcome::Unreachable => {
                let Some(zone) = self.upstreams.get(id).map(|upstream| upstream.zone) else { return };
                self.outages.record_unreachable(zone, id, self.now);
                self.upstreams.invalidate_subset();
            }
            Outcome::TimedOut | Outcome::Cancelled | Outcome::Reset | Outcome::NotSent => {}
        }
    }

    /// Records that a server has answered, so that its zone is reachable.
    pub(crate) fn record_server_contact(&mut self, id: UpstreamId) {
        if let Some(zone) = self.upstreams.get(id).map(|upstream| upstream.zone) {
            self.record_zone_contact(zone);
        }
    }

    fn record_zone_contact(&mut self, zone: ZoneId) {
        if self.outages.record_contact(zone) {
            self.upstreams.invalidate_subset();
        }
    }

    /// Applies a server's entry in the list of discovery. A server that has started since it was last
    /// listed shows that its zone is reachable.
    pub(crate) fn apply_listing(&mut self, entry: &Listing) {
        let known_start = self.upstreams.get(entry.upstream).and_then(|server| server.started);
        if entry.started.is_some() && entry.started > known_start {
            self.record_zone_contact(entry.zone);
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
    fn zone_is_unreachable_after_three_different_servers_in_a_row_without_contact() {
        let mut outages = ZoneOutages::default();
        [1, 2].iter().for_each(|id| outages.record_unreachable(A, UpstreamId(*id), 0.0));
        assert!(!outages.is_unreachable(A));
        assert!(!outages.record_contact(A));
        [3, 4, 4, 4].iter().for_each(|id| outages.record_unreachable(A, UpstreamId(*id), 1.0));
        assert!(!outages.is_unreachable(A), "a server counts only once");
        outages.record_unreachable(A, UpstreamId(5), 2.0);
        assert!(outages.is_unreachable(A) && outages.any_unreachable() && !outages.is_unreachable(B));
        assert!(outages.record_contact(A));
        assert!(!outages.is_unreachable(A) && !outages.any_unreachable());
    }

    #[test]
    fn unreachable_zone_is_probed_at_once_and_then_at_growing_intervals() {
        let mut outages = ZoneOutages::default();
        [1, 2, 3].iter().for_each(|id| outages.record_unreachable(B, UpstreamId(*id), 10.0));
        let mut probed_at = Vec::new();
        for ms in 10..20_000 {
            probed_at.extend(outages.take_due(f64::from(ms), 1.0).into_iter().map(|_| ms));
            // Further unreachable servers don't change the schedule.
            outages.record_unreachable(B, UpstreamId(ms as u64), f64::from(ms));
        }
        assert_eq!(probed_at[..5], [10, 260, 760, 1_760, 3_760]);
        assert!(
            probed_at.windows(2).all(|pair| pair[1] - pair[0] <= 2_000),
            "probes never end: {probed_at:?}"
        );
        assert_eq!(
            outages.zones[&B].unreachable.len(),
            MIN_UNREACHABLE_SERVERS,
            "further servers are not recorded"
        );
    }
}
