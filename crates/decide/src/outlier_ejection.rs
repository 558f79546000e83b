//! Outlier ejection with half-open trials: the effect of outcomes on the health of a server.

use crate::api::*;
use crate::state::{Health, Upstream};

/// Weight of a new outcome in the failure rate of one server.
const SMOOTHING: f64 = 0.15;
/// A server is ejected when its failure rate exceeds the mean of all servers by more than this.
const MAX_EXCESS_FAILURE_RATE: f64 = 0.4;
/// The largest share of servers that may be ejected: if more fail, the cause may be this sidecar or the
/// network.
const MAX_EJECTED_SHARE: f64 = 0.4;
/// The first and the longest time until a trial.
const MIN_EJECTION: Millis = 1_000.0;
const MAX_EJECTION: Millis = 8_000.0;

/// Whether a further server may be ejected.
pub(crate) fn may_eject(ejected: usize, servers: usize) -> bool {
    let count = servers as f64;
    count > 1.0 && ejected as f64 + 1.0 <= (MAX_EJECTED_SHARE * count).max(1.0)
}

/// Records the outcome of an attempt in the failure rate and the health of its server. `mean_failure_rate`
/// is that of all servers, `random` is from 0 to 1. Returns a text for the log if the server is ejected or
/// ready again. An unreachable server is ejected at once: the cause is not chance, and the next request would
/// wait for the connection, too.
pub(crate) fn record(
    server: &mut Upstream,
    failed: bool,
    unreachable: bool,
    (now, mean_failure_rate, may_eject, random): (Millis, f64, bool, f64),
) -> Option<&'static str> {
    let (max_failure_rate, jitter) = (MAX_EXCESS_FAILURE_RATE + mean_failure_rate, 0.75 + 0.5 * random);
    let eject = |wait: Millis| Health::Ejected { until: now + wait * jitter, wait };
    server.failure_rate += SMOOTHING * (f64::from(u8::from(failed)) - server.failure_rate);
    let (health, change) = match server.health {
        Health::Ready if failed && may_eject && (unreachable || server.failure_rate > max_failure_rate) => {
            (eject(MIN_EJECTION), Some(if unreachable { "out of reach" } else { "ejected for failures" }))
        }
        Health::Ejected { until, wait } if failed && now >= until => {
            (eject((wait * 2.0).min(MAX_EJECTION)), None)
        }
        Health::Ejected { .. } if !failed && server.failure_rate < max_failure_rate => {
            (Health::Ready, Some("back after trials"))
        }
        Health::Ready | Health::Ejected { .. } => return None,
    };
    (server.health, server.is_half_open) = (health, false);
    change
}
