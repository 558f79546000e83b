//! Estimates from load reports: the capacity κ of a server and that of its kind, from in-flight counts and
//! utilisation.

use crate::api::*;
use crate::estimates::Estimates;
use crate::state::Upstream;

/// In-flight counts are averaged over about this time, as servers average their utilisation.
const AVERAGING_TIME: Millis = 700.0;
/// From this utilisation on a server counts as saturated: in-flight / utilisation is then only an upper bound
/// on κ.
const SATURATED_UTILISATION: f64 = 0.9;
/// Factor on the weight of samples that raise κ, so that it rises slowly.
const RISE_FACTOR: f64 = 0.1;
/// Below this utilisation in-flight / utilisation is mostly rounding error, but in-flight divided by this is
/// a lower bound on κ.
const MIN_UTILISATION: f64 = 0.1;
/// Weight of a new sample in the averages over all servers.
const FLEET_SMOOTHING: f64 = 0.02;
/// The largest valid in-flight count in a report.
const MAX_REPORTED_IN_FLIGHT: f64 = 1e9;

/// The in-flight count of a report, if it is valid.
pub(crate) fn valid_in_flight(report: &Report) -> Option<f64> {
    report.in_flight.filter(|in_flight| (0.0..=MAX_REPORTED_IN_FLIGHT).contains(in_flight))
}

/// How long after the very first report κ is not estimated. Servers that start together with this sidecar
/// begin their averages at 0, so early ratios would make them look huge.
pub(crate) fn settling_time(scale: f64) -> Millis {
    2.0 * AVERAGING_TIME * scale
}

/// Records the load of a report that is valid until `until`, and returns the report's weight in averages. The
/// report lacks the sends in `unreported`, by default those since its probe was sent.
pub(crate) fn record_load(
    server: &mut Upstream,
    (in_flight, utilisation): (f64, Option<f64>),
    (now, until, scale): (Millis, Millis, f64),
    unreported: Option<(u64, usize)>,
) -> f64 {
    // Reported utilisation is a running mean, the in-flight count is momentary: only means of both may be
    // divided.
    let weight = 1.0 - (-(now - server.reported_at) / (AVERAGING_TIME * scale)).exp();
    let unreported = unreported.unwrap_or((server.first_send_after_probe, server.sends_after_probe));
    server.record_report(in_flight, now, until, unreported);
    server.utilisation = utilisation;
    server.mean_in_flight += weight * (in_flight - server.mean_in_flight);
    weight
}

/// Updates the capacity κ of a server after a report of this utilisation, which has this weight in averages.
pub(crate) fn update_capacity(server: &mut Upstream, utilisation: f64, weight: f64) {
    if utilisation < MIN_UTILISATION {
        let (lower_bound, capacity) =
            (server.mean_in_flight / MIN_UTILISATION, server.capacity.unwrap_or(1.0));
        if lower_bound > capacity {
            let step = if server.capacity.is_some() { weight * RISE_FACTOR } else { 1.0 };
            server.capacity = Some(capacity + step * (lower_bound - capacity));
        }
        return;
    }
    // Queued requests are in the in-flight count, too, so a sample is an upper bound on κ: κ falls to the
    // sample at once, but rises slowly, and not at all while all cores are busy.
    let rise = if utilisation < SATURATED_UTILISATION { weight * RISE_FACTOR } else { 0.0 };
    let sample = (server.mean_in_flight / utilisation.min(1.0)).max(1.0);
    // If a server is saturated in its first report, its capacity stays unknown: its whole queue would count
    // as cores, and each sidecar that gets such a report would send the server more requests. The kind of
    // machine gives a better estimate.
    if server.capacity.is_none() && utilisation >= SATURATED_UTILISATION {
        return;
    }
    server.capacity_samples += 1.0;
    let capacity = *server.capacity.get_or_insert(sample);
    server.capacity = Some(capacity + (sample - capacity) * if sample < capacity { 1.0 } else { rise });
}

/// Updates the capacity estimates of a kind of machine and of the fleet after a report from a server of that
/// kind.
pub(crate) fn update_kind_capacity(
    estimates: &mut Estimates,
    kind: KindId,
    in_flight: f64,
    utilisation: f64,
) {
    if (MIN_UTILISATION..SATURATED_UTILISATION).contains(&utilisation) {
        estimates.kinds.entry(kind).or_default().record_report(in_flight, utilisation, FLEET_SMOOTHING);
        estimates.fleet.record_report(in_flight, utilisation, FLEET_SMOOTHING);
    } else if utilisation >= SATURATED_UTILISATION {
        estimates.kinds.entry(kind).or_default().record_saturated_report(in_flight);
        estimates.fleet.record_saturated_report(in_flight);
    }
}
