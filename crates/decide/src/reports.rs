//! What a server's own report of its load tells: its capacity κ from in flight and utilisation, and that of its kind.

use crate::api::*;
use crate::estimates::Estimates;
use crate::state::Upstream;

/// In-flight is averaged over about this time, as servers average their utilisation.
const MEANS_OVER: Millis = 700.0;
/// From here on a server counts as saturated: in-flight / utilisation then only bounds κ from above.
const SATURATED: f64 = 0.9;
/// A rising κ is believed this much slower.
const RISE: f64 = 0.1;
/// Below this reported utilisation in-flight / utilisation is mostly rounding, but in-flight over this bounds
/// κ from below.
const UTILISATION_FLOOR: f64 = 0.1;
/// Weight of a new sample in what all servers feed.
const SMOOTH_ALL: f64 = 0.02;
/// A server that says that it holds more has sent nonsense.
const MOST_IN_FLIGHT: f64 = 1e9;

/// The requests that a report says, if they can be.
pub(crate) fn sound_in_flight(report: &Report) -> Option<f64> {
    report.in_flight.filter(|m| (0.0..=MOST_IN_FLIGHT).contains(m))
}

/// How long after the first report of all means are worth dividing: servers that start with us begin theirs at 0, and early
/// ratios would call them huge.
pub(crate) fn settled_after(scale: f64) -> Millis {
    2.0 * MEANS_OVER * scale
}

/// Enters a report with so many in flight that still says something `until` then; the sends that it does not hold are these,
/// or those since it was asked for. Gives the weight of it in the means.
pub(crate) fn enter(
    upstream: &mut Upstream,
    (in_flight, utilisation): (f64, Option<f64>),
    (now, until, scale): (Millis, Millis, f64),
    unheard: Option<(u64, usize)>,
) -> f64 {
    // Utilisation is a running mean while in-flight is of the moment: only means of both may be divided.
    let weight = 1.0 - (-(now - upstream.reported_at) / (MEANS_OVER * scale)).exp();
    let unheard = unheard.unwrap_or((upstream.first_send_after_probe, upstream.sends_after_probe));
    upstream.reports(in_flight, now, until, unheard);
    upstream.utilisation = utilisation;
    upstream.mean_in_flight += weight * (in_flight - upstream.mean_in_flight);
    weight
}

/// Learns its κ from a report that weighs so much and says that it is so busy.
pub(crate) fn learn_kappa(upstream: &mut Upstream, utilisation: f64, weight: f64) {
    if utilisation < UTILISATION_FLOOR {
        let (least, known) = (upstream.mean_in_flight / UTILISATION_FLOOR, upstream.capacity.unwrap_or(1.0));
        if least > known {
            let step = if upstream.capacity.is_some() { weight * RISE } else { 1.0 };
            upstream.capacity = Some(known + step * (least - known));
        }
        return;
    }
    // A queue is in the in-flight count, too, so a reading only bounds κ from above: it falls to the reading at
    // once, but rises slowly, and not at all while all cores are busy.
    let rise = if utilisation < SATURATED { weight * RISE } else { 0.0 };
    let sample = (upstream.mean_in_flight / utilisation.min(1.0)).max(1.0);
    // A server that is first heard of in a jam has told nothing of its size: its whole queue would be taken for cores,
    // and every sidecar that hears of it once would send it more. Its kind tells more.
    if upstream.capacity.is_none() && utilisation >= SATURATED {
        return;
    }
    upstream.capacity_samples += 1.0;
    let known = *upstream.capacity.get_or_insert(sample);
    upstream.capacity = Some(known + (sample - known) * if sample < known { 1.0 } else { rise });
}

/// Learns what servers of its kind, and all of them, are like.
pub(crate) fn learn_kind(seen: &mut Estimates, kind: KindId, in_flight: f64, utilisation: f64) {
    if (UTILISATION_FLOOR..SATURATED).contains(&utilisation) {
        seen.kinds.entry(kind).or_default().record_report(in_flight, utilisation, SMOOTH_ALL);
        seen.fleet.record_report(in_flight, utilisation, SMOOTH_ALL);
    } else if utilisation >= SATURATED {
        seen.kinds.entry(kind).or_default().record_saturated_report(in_flight);
        seen.fleet.record_saturated_report(in_flight);
    }
}
