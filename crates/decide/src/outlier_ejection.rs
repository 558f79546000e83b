//! Outlier ejection with half-open trials: what an outcome means for the server that it came from.

use crate::api::*;
use crate::state::{Health, Upstream};

/// Weight of a new outcome in the failure rate of one server.
const SMOOTH: f64 = 0.15;
/// A server is ejected when its failure rate is this far above that of its peers.
const EJECT_ABOVE: f64 = 0.4;
/// At most this share of the servers may be ejected: if more look bad, we or the network may be at fault.
const EJECT_SHARE: f64 = 0.4;
/// First and longest time a server stays ejected before a trial.
const EJECT_FOR: [Millis; 2] = [1_000.0, 8_000.0];

/// Whether one more of so many may be ejected where so many are.
pub(crate) fn may_eject(ejected: usize, servers: usize) -> bool {
    let count = servers as f64;
    count > 1.0 && ejected as f64 + 1.0 <= (EJECT_SHARE * count).max(1.0)
}

/// Counts an outcome for or against a server, among peers that fail as often. What is to be said of it, if its health
/// changes. One that is `lost`, for no connection to it comes up, is ejected at once: that is no matter of chance, and one
/// more request would only wait for it again. `luck` is between 0 and 1.
pub(crate) fn record(
    upstream: &mut Upstream,
    failed: bool,
    lost: bool,
    (now, peers, may_eject, luck): (Millis, f64, bool, f64),
) -> Option<&'static str> {
    let (bar, spread) = (EJECT_ABOVE + peers, 0.75 + 0.5 * luck);
    let eject = |wait: Millis| Health::Ejected { until: now + wait * spread, wait };
    upstream.failure_rate += SMOOTH * (f64::from(u8::from(failed)) - upstream.failure_rate);
    let (health, said) = match upstream.health {
        Health::Ready if failed && may_eject && (lost || upstream.failure_rate > bar) => {
            (eject(EJECT_FOR[0]), Some(if lost { "out of reach" } else { "ejected for failures" }))
        }
        Health::Ejected { until, wait } if failed && now >= until => {
            (eject((wait * 2.0).min(EJECT_FOR[1])), None)
        }
        Health::Ejected { .. } if !failed && upstream.failure_rate < bar => {
            (Health::Ready, Some("back after trials"))
        }
        Health::Ready | Health::Ejected { .. } => return None,
    };
    (upstream.health, upstream.is_half_open) = (health, false);
    said
}
