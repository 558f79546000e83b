//! How often the kernel is asked to read and to write, and how many bytes it copies: for the guard of the ordinary path
//! (`benches/ordinary_path.rs`). Without the feature `calls` nothing is counted, and none of it is compiled in.

use std::io;
use std::task::Poll;

/// What was counted since the start of the process.
#[cfg(feature = "calls")]
pub mod counts {
    use std::sync::atomic::{AtomicU64, Ordering};

    static CALLS: [AtomicU64; 2] = [AtomicU64::new(0), AtomicU64::new(0)];
    static BYTES: [AtomicU64; 2] = [AtomicU64::new(0), AtomicU64::new(0)];

    pub(super) fn add(side: usize, bytes: usize) {
        CALLS[side].fetch_add(1, Ordering::Relaxed);
        BYTES[side].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Calls that read and that wrote.
    pub fn calls() -> [u64; 2] {
        [CALLS[0].load(Ordering::Relaxed), CALLS[1].load(Ordering::Relaxed)]
    }

    /// Bytes that were read and written.
    pub fn bytes() -> [u64; 2] {
        [BYTES[0].load(Ordering::Relaxed), BYTES[1].load(Ordering::Relaxed)]
    }
}

/// The kernel was asked to read. What is not ready yet is mostly known without asking, and does not count.
#[inline]
pub(crate) fn record_read<T>(_result: &Poll<io::Result<T>>, _bytes: usize) {
    #[cfg(feature = "calls")]
    if _result.is_ready() {
        counts::add(0, _bytes);
    }
}

/// The kernel was asked to write.
#[inline]
pub(crate) fn record_write(_result: &Poll<io::Result<usize>>) {
    #[cfg(feature = "calls")]
    if let Poll::Ready(result) = _result {
        counts::add(1, result.as_ref().map_or(0, |bytes| *bytes));
    }
}
