//! Memory of the budget for the answer of an upstream.

use std::sync::atomic::{AtomicBool, Ordering};

use crate::budget::{BufferBudget, BufferPermit};
use crate::headers::LONG_HEAD_BYTES;
use crate::metered_stream::Meter;

/// The memory of an answer that is read.
pub struct AnswerMemory<'a> {
    /// The budget that it draws on.
    pub buffers: &'a BufferBudget,
    /// Whether the answer waits for memory, unread at its upstream.
    pub waiting: &'a AtomicBool,
}

impl AnswerMemory<'_> {
    /// Waits for the memory of a long head, which its connection keeps in its buffers.
    pub async fn wait_for_long_head(&self, meter: &Meter) -> Option<BufferPermit> {
        meter.mark_grown_buffers();
        self.wait_for(self.buffers.acquire_bytes(LONG_HEAD_BYTES), meter).await
    }

    /// Waits for a permit. The wait does not count as a pause of the upstream.
    pub async fn wait_for(
        &self,
        permit: impl Future<Output = Option<BufferPermit>>,
        meter: &Meter,
    ) -> Option<BufferPermit> {
        self.waiting.store(true, Ordering::Relaxed);
        let permit = permit.await;
        meter.mark_reading_resumed();
        self.waiting.store(false, Ordering::Relaxed);
        permit
    }
}
