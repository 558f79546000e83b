//! Divides the platform's resource limits for a sidecar among its processes, clients, upstreams, long bodies
//! and the console. Pure. Limits that are too small are reported with the calculation of the required amount.

use crate::config::Limits;
use crate::console::{MAX_CALLERS, OWN_DESCRIPTORS};
use crate::front::MAX_CONNECTIONS_ABOVE_LIMIT;

/// Descriptors per process for standard streams, the listener, discovery, the runtime and connections that
/// are being closed.
const PROCESS_DESCRIPTORS: usize = 24;
/// Descriptors per process for the handover socket: its listener and the connections to two peers.
const HANDOVER_DESCRIPTORS: usize = 4;
/// Memory of a process without connections, in MiB.
const PROCESS_MIB: usize = 6;
/// Memory that the allocator holds between buffers of different sizes, in MiB.
const FRAGMENTATION_MIB: usize = 2;
/// Memory of a busy client connection together with a connection to an upstream, in KiB: their tasks, the
/// buffers of hyper and a short body each way. All other buffers draw on the memory of long bodies.
const CONNECTION_PAIR_KIB: usize = 112;
/// Memory of a long body that is streamed, in KiB, beside that of its connections: its first bytes, which are kept while
/// it can still be sent again, and chunks of 32 KiB on their way.
pub const TRANSFER_KIB: usize = 160;
/// Memory of the buffers for each long body, in KiB. An eighth is for the buffers of other bodies alone
/// ([`BufferBudget`](crate::budget::BufferBudget)).
pub const BUFFER_KIB_PER_TRANSFER: usize = 184;
/// With fewer connections on each side a sidecar is of no use.
const MIN_CONNECTIONS: usize = 8;
/// With fewer long bodies at the same time a sidecar is of no use.
const MIN_TRANSFERS: usize = 4;

/// Limits that all processes of a sidecar share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Connections on each side.
    pub connections: usize,
    /// Long bodies that are streamed at the same time.
    pub transfers: usize,
}

/// Divides the limits for a sidecar with or without a console, of which up to `max_processes` run at once.
///
/// # Errors
/// The limits are too small. The text contains the calculation of the required amount.
pub fn divide(limits: &Limits, console: bool, max_processes: usize) -> Result<ResourceLimits, String> {
    let handover_descriptors = if max_processes > 1 { HANDOVER_DESCRIPTORS } else { 0 };
    let per_process =
        PROCESS_DESCRIPTORS + handover_descriptors + if console { MAX_CALLERS + OWN_DESCRIPTORS } else { 0 };
    let required = max_processes * per_process + 2 * MIN_CONNECTIONS;
    if limits.sockets < required {
        return Err(format!(
            "limits.sockets is {}; {required} are needed: {max_processes} times {per_process} for a process \
             itself{}, and twice {MIN_CONNECTIONS} for connections",
            limits.sockets,
            if console { " and its console" } else { "" },
        ));
    }
    let min_traffic_kib = MIN_CONNECTIONS * CONNECTION_PAIR_KIB + MIN_TRANSFERS * BUFFER_KIB_PER_TRANSFER;
    let processes_kib = max_processes * PROCESS_MIB * 1024;
    let limit_kib = limits.memory_mb.saturating_mul(1024);
    if limit_kib < processes_kib + min_traffic_kib {
        return Err(format!(
            "limits.memory_mb is {}; {} are needed: {max_processes} times {PROCESS_MIB} for a process itself, \
             and {} for bodies and connections",
            limits.memory_mb,
            (processes_kib + min_traffic_kib).div_ceil(1024),
            min_traffic_kib.div_ceil(1024),
        ));
    }
    // Connections may have three fifths of the memory, and bodies have what these leave, at most half.
    let traffic_kib = (limit_kib - processes_kib).saturating_sub(FRAGMENTATION_MIB * 1024);
    let max_by_memory =
        (traffic_kib / 5 * 3 / CONNECTION_PAIR_KIB).saturating_sub(MAX_CONNECTIONS_ABOVE_LIMIT);
    let max_by_descriptors = (limits.sockets - max_processes * per_process) / 2;
    let connections = max_by_memory.min(max_by_descriptors).max(MIN_CONNECTIONS);
    let transfers_kib = traffic_kib.saturating_sub(connections_kib(connections)).min(traffic_kib / 2);
    Ok(ResourceLimits {
        connections,
        transfers: (transfers_kib / BUFFER_KIB_PER_TRANSFER).max(MIN_TRANSFERS),
    })
}

/// Memory in KiB for this limit of connections, with those that are accepted above it.
pub fn connections_kib(connections: usize) -> usize {
    (connections + MAX_CONNECTIONS_ABOVE_LIMIT) * CONNECTION_PAIR_KIB
}

#[cfg(test)]
mod tests {
    use super::*;

    fn limits(memory_mb: usize, sockets: usize) -> Limits {
        Limits { memory_mb, sockets }
    }

    #[test]
    fn divided_resources_never_exceed_the_limits() {
        for memory_mb in (1..200).chain([2_000]) {
            for sockets in (16..400).step_by(7).chain([1_024, 60_000]) {
                for (console, max_processes) in [(false, 1), (true, 1), (true, 2)] {
                    let Ok(divided) = divide(&limits(memory_mb, sockets), console, max_processes) else {
                        continue;
                    };
                    let ResourceLimits { connections, transfers } = divided;
                    let per_process = PROCESS_DESCRIPTORS
                        + usize::from(console) * (MAX_CALLERS + OWN_DESCRIPTORS)
                        + (max_processes - 1) * HANDOVER_DESCRIPTORS;
                    assert!(max_processes * per_process + 2 * connections <= sockets);
                    let used_kib = max_processes * PROCESS_MIB * 1024
                        + (connections + MAX_CONNECTIONS_ABOVE_LIMIT) * CONNECTION_PAIR_KIB
                        + transfers * BUFFER_KIB_PER_TRANSFER;
                    assert!(connections >= MIN_CONNECTIONS && transfers >= MIN_TRANSFERS);
                    // With the least memory, the minimum of connections is granted, and what may be above it.
                    let least = connections == MIN_CONNECTIONS;
                    let extra_connections = if least { MAX_CONNECTIONS_ABOVE_LIMIT } else { 0 };
                    let max_kib = memory_mb * 1024 + extra_connections * CONNECTION_PAIR_KIB;
                    assert!(used_kib <= max_kib, "{memory_mb} MB, {sockets} descriptors: {used_kib} KiB");
                }
            }
        }
    }

    #[test]
    fn insufficient_limits_are_rejected_with_the_required_amount() {
        let sockets = divide(&limits(192, 90), true, 2).unwrap_err();
        assert!(sockets.contains("104 are needed: 2 times 44"), "{sockets}");
        let memory = divide(&limits(13, 1_024), false, 2).unwrap_err();
        assert!(memory.contains("14 are needed: 2 times 6"), "{memory}");
        assert!(divide(&limits(48, 384), true, 2).is_ok_and(|d| d.connections > 128 && d.transfers > 64));
        assert!(divide(&limits(32, 256), false, 1).is_ok_and(|d| d.connections > 85 && d.transfers > 40));
    }
}
