//! How what the surroundings allow a sidecar is divided: among its processes, clients, upstreams, long bodies and the
//! console. Pure. What cannot be divided is told as a sum.

use crate::config::Limits;
use crate::console::{MAX_CALLERS, OWN_DESCRIPTORS};

/// Descriptors for standard streams, the listener, discovery and the runtime, and for connections that are closing.
const OWN_SOCKETS: usize = 24;
/// And for the socket between processes: its listener and two peers.
const LINK_SOCKETS: usize = 4;
/// What a process holds before anyone comes, in MiB.
const OWN_MB: usize = 6;
/// What a client's connection and one to an upstream hold together while they are busy, in KiB: their buffers, and a body
/// one way. Few are at their most at once.
const PAIR_KIB: usize = 96;
/// What a long body that passes through holds, in KiB: pieces of 32 KiB on their way through two connections.
pub const TRANSFER_KIB: usize = 256;
/// Fewer connections on each side, or long bodies at once, are no service.
const LEAST: [usize; 2] = [8, 4];

/// What is divided among whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Connections on each side.
    pub connections: usize,
    /// Long bodies that pass through at once.
    pub transfers: usize,
}

/// Divides limits for a sidecar with a console or none, of which so many processes may run at once.
///
/// # Errors
/// There is too little: what is needed, as a sum.
pub fn divide(limits: &Limits, console: bool, processes: usize) -> Result<ResourceLimits, String> {
    let link = if processes > 1 { LINK_SOCKETS } else { 0 };
    let own = OWN_SOCKETS + link + if console { MAX_CALLERS + OWN_DESCRIPTORS } else { 0 };
    let [connections, transfers] = LEAST;
    let needed = processes * own + 2 * connections;
    if limits.sockets < needed {
        return Err(format!(
            "limits.sockets is {}; {needed} are needed: {processes} times {own} for a process itself{}, and twice \
             {connections} for connections",
            limits.sockets,
            if console { " and its console" } else { "" },
        ));
    }
    let least_kib = connections * PAIR_KIB + transfers * TRANSFER_KIB;
    let own_kib = processes * OWN_MB * 1024;
    let kib = limits.memory_mb.saturating_mul(1024);
    if kib < own_kib + least_kib {
        return Err(format!(
            "limits.memory_mb is {}; {} are needed: {processes} times {OWN_MB} for a process itself, and {} for bodies \
             and connections",
            limits.memory_mb,
            (own_kib + least_kib).div_ceil(1024),
            least_kib.div_ceil(1024),
        ));
    }
    // Half of the rest each.
    let half = (kib - own_kib) / 2;
    let by_memory = half / PAIR_KIB;
    let by_sockets = (limits.sockets - processes * own) / 2;
    Ok(ResourceLimits {
        connections: by_memory.min(by_sockets).max(connections),
        transfers: (half / TRANSFER_KIB).max(transfers),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn limits(memory_mb: usize, sockets: usize) -> Limits {
        Limits { memory_mb, sockets }
    }

    #[test]
    fn no_sum_is_above_its_limit() {
        for memory_mb in (1..200).chain([2_000]) {
            for sockets in (16..400).step_by(7).chain([1_024, 60_000]) {
                for (console, processes) in [(false, 1), (true, 1), (true, 2)] {
                    let Ok(division) = divide(&limits(memory_mb, sockets), console, processes) else {
                        continue;
                    };
                    let ResourceLimits { connections, transfers } = division;
                    let own = OWN_SOCKETS
                        + usize::from(console) * (MAX_CALLERS + OWN_DESCRIPTORS)
                        + (processes - 1) * LINK_SOCKETS;
                    assert!(processes * own + 2 * connections <= sockets);
                    let kib = processes * OWN_MB * 1024 + connections * PAIR_KIB + transfers * TRANSFER_KIB;
                    // What is least is granted where half would be less.
                    let most = memory_mb * 1024 + LEAST[1] * TRANSFER_KIB;
                    assert!(kib <= most, "{memory_mb} MB, {sockets}: {kib} KiB");
                }
            }
        }
    }

    #[test]
    fn what_is_too_little_is_told_as_a_sum() {
        let sockets = divide(&limits(192, 90), true, 2).unwrap_err();
        assert!(sockets.contains("104 are needed: 2 times 44"), "{sockets}");
        let memory = divide(&limits(13, 1_024), false, 2).unwrap_err();
        assert!(memory.contains("14 are needed: 2 times 6"), "{memory}");
        assert!(divide(&limits(48, 384), true, 2).is_ok_and(|d| d.connections > 128 && d.transfers > 64));
        assert!(divide(&limits(32, 256), false, 1).is_ok_and(|d| d.connections > 85 && d.transfers > 40));
    }
}
