//! What the end of a probe and the load report of a server change.

use crate::Balancer;
use crate::api::*;
use crate::balancer::{FLEET_SMOOTHING, REPORT_VALIDITY, SMOOTHING};
use crate::reports;
use crate::state::Upstream;

impl Balancer {
    /// Records the end of a probe, and dispatches the requests that waited for it.
    pub(crate) fn probe_ended(
        &mut self,
        id: UpstreamId,
        answered: bool,
        report: Option<Report>,
        out: &mut Vec<Action>,
    ) {
        self.record_probe(id, answered, report);
        if answered {
            self.record_server_contact(id);
        }
        let is_probe_over = |id: &UpstreamId| self.upstreams.get(*id).is_none_or(|u| u.probe_sent.is_none());
        let is_ready = |request: &RequestId| {
            let pair = self.requests.get(request).and_then(|pending| pending.pair);
            pair.is_some_and(|pair| pair.iter().all(is_probe_over))
        };
        let waiting = self.waiting.range((id, RequestId(0))..=(id, RequestId(u64::MAX)));
        let ready: Vec<_> = waiting.map(|(_, request)| *request).filter(is_ready).collect();
        ready.into_iter().for_each(|request| self.dispatch(request, out));
    }

    fn record_probe(&mut self, id: UpstreamId, answered: bool, report: Option<Report>) {
        let (next_send, now) = (self.next_send, self.now);
        let end_probe = |server: &mut Upstream| {
            let probe_sent = server.probe_sent.take();
            // A report without a probe lacks only the sends of this moment.
            if probe_sent.is_none() {
                (server.first_send_after_probe, server.sends_after_probe) = server.unreported(next_send, now);
            }
            (server.outstanding.len() - server.sends_after_probe, probe_sent)
        };
        let Some((sent_before, probe_sent)) = self.upstreams.update(id, end_probe) else { return };
        if let Some(time) = probe_sent.map(|sent| now - sent) {
            let mean = self.estimates.probe_time.get_or_insert(time);
            *mean += SMOOTHING * (time - *mean);
        }
        let sent_before = sent_before as f64;
        let (Some(report), true) = (report, answered) else { return };
        // Reports carry no age. A report that lacks sends from before its probe is late. When many are late,
        // none is trusted: each server then counts as one without a valid report.
        if let Some(in_flight) = report.in_flight.filter(|_| sent_before > 1.0) {
            let late = f64::from(u8::from(in_flight + 1.0 < sent_before));
            self.estimates.late_report_share += FLEET_SMOOTHING * (late - self.estimates.late_report_share);
        }
        self.record_report(id, report, None);
    }

    /// Records a report. It lacks the sends in `unreported`, or with `None` those since its probe was sent.
    pub(crate) fn record_report(&mut self, id: UpstreamId, report: Report, unreported: Option<(u64, usize)>) {
        let Some(in_flight) = reports::valid_in_flight(&report) else { return };
        let (now, scale) = (self.now, self.time_scale());
        let (until, utilisation) = (now + REPORT_VALIDITY * scale, report.utilisation.filter(|u| *u >= 0.0));
        let first_at = *self.estimates.first_report_at.get_or_insert(now);
        let utilisation = utilisation.filter(|_| now >= first_at + reports::settling_time(scale));
        let kinds = &self.estimates.kinds;
        let record = |server: &mut Upstream| {
            let load = (in_flight, report.utilisation);
            let weight = reports::record_load(server, load, (now, until, scale), unreported);
            if let Some(utilisation) = utilisation {
                reports::update_capacity(server, utilisation, weight);
            }
            server.kind_reports_at_report = kinds.get(&server.kind).map_or(0.0, |kind| kind.reports);
            server.kind
        };
        let Some(kind) = self.upstreams.update(id, record) else { return };
        if let Some(utilisation) = utilisation {
            reports::update_kind_capacity(&mut self.estimates, kind, in_flight, utilisation);
        }
    }
}
