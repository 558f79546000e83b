//! The pieces of a body that is held whole.

use bytes::{Bytes, BytesMut};

use super::limits::WHOLE_BYTES;

/// The pieces of a body that is held whole. One that comes in one piece is not copied.
#[derive(Default)]
pub struct BodyBuffer {
    first: Bytes,
    more: BytesMut,
}

impl BodyBuffer {
    /// How many bytes there are.
    pub fn length(&self) -> usize {
        self.first.len() + self.more.len()
    }

    /// Adds a piece of a body of this length, where that is known.
    pub fn add(&mut self, data: Bytes, length: Option<u64>) {
        if self.first.is_empty() && self.more.is_empty() {
            self.first = data;
            return;
        }
        if self.more.is_empty() {
            let whole = length.and_then(|length| usize::try_from(length).ok()).unwrap_or(0);
            self.more.reserve(whole.min(WHOLE_BYTES).max(self.first.len() + data.len()));
            self.more.extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.more.extend_from_slice(&data);
    }

    /// All of them; none are left.
    pub fn take(&mut self) -> Bytes {
        if self.more.is_empty() { std::mem::take(&mut self.first) } else { self.more.split().freeze() }
    }
}
