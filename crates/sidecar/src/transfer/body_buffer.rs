//! The buffer of a body that is read as a whole.

use bytes::{Bytes, BytesMut};

use super::limits::MAX_BUFFERED_BODY_BYTES;

/// Collects the pieces of a body. A body that arrives in one piece is not copied.
#[derive(Default)]
pub struct BodyBuffer {
    first_piece: Bytes,
    joined: BytesMut,
}

impl BodyBuffer {
    /// The number of buffered bytes.
    pub fn length(&self) -> usize {
        self.first_piece.len() + self.joined.len()
    }

    /// Appends a piece of a body. `length` is the length of the whole body, if it is known.
    pub fn push(&mut self, data: Bytes, length: Option<u64>) {
        if self.first_piece.is_empty() && self.joined.is_empty() {
            self.first_piece = data;
            return;
        }
        if self.joined.is_empty() {
            let body_length = length.and_then(|length| usize::try_from(length).ok()).unwrap_or(0);
            self.joined
                .reserve(body_length.min(MAX_BUFFERED_BODY_BYTES).max(self.first_piece.len() + data.len()));
            self.joined.extend_from_slice(&std::mem::take(&mut self.first_piece));
        }
        self.joined.extend_from_slice(&data);
    }

    /// Returns all buffered bytes and leaves the buffer empty.
    pub fn take(&mut self) -> Bytes {
        if self.joined.is_empty() {
            std::mem::take(&mut self.first_piece)
        } else {
            self.joined.split().freeze()
        }
    }
}
