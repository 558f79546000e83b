//! Counts of read and write system calls and of the bytes that they copy, for the benchmark of the ordinary
//! path of a request (`benches/ordinary_path.rs`). Without the feature `calls` nothing is counted, and the
//! counters are not compiled in.

use std::io;
use std::task::Poll;

/// Counts since the start of the process.
#[cfg(feature = "calls")]
pub mod counts {
    use std::sync::atomic::{AtomicU64, Ordering};

    /// Index of reads in the counters.
    pub(super) const READ: usize = 0;
    /// Index of writes in the counters.
    pub(super) const WRITE: usize = 1;

    static CALLS: [AtomicU64; 2] = [AtomicU64::new(0), AtomicU64::new(0)];
    static BYTES: [AtomicU64; 2] = [AtomicU64::new(0), AtomicU64::new(0)];

    pub(super) fn add(direction: usize, bytes: usize) {
        CALLS[direction].fetch_add(1, Ordering::Relaxed);
        BYTES[direction].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Number of read and of write calls.
    pub fn calls() -> [u64; 2] {
        [CALLS[READ].load(Ordering::Relaxed), CALLS[WRITE].load(Ordering::Relaxed)]
    }

    /// Number of bytes read and of bytes written.
    pub fn bytes() -> [u64; 2] {
        [BYTES[READ].load(Ordering::Relaxed), BYTES[WRITE].load(Ordering::Relaxed)]
    }
}

/// Records a read. A pending result is not counted, since the runtime usually knows without a system call
/// that a socket is not readable.
#[inline]
pub(crate) fn record_read<T>(_result: &Poll<io::Result<T>>, _bytes: usize) {
    #[cfg(feature = "calls")]
    if _result.is_ready() {
        counts::add(counts::READ, _bytes);
    }
}

/// Records a write. A pending result is not counted.
#[inline]
pub(crate) fn record_write(_result: &Poll<io::Result<usize>>) {
    #[cfg(feature = "calls")]
    if let Poll::Ready(result) = _result {
        counts::add(counts::WRITE, result.as_ref().map_or(0, |bytes| *bytes));
    }
}
