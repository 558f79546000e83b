//! The buffer of a body that is read as a whole.

use bytes::{Bytes, BytesMut};

use super::limits::MAX_BUFFERED_BODY_BYTES;
use crate::budget::BufferPermit;

/// A body of up to this size needs no memory of the budget: every connection has as much.
pub const UNCHARGED_BODY_BYTES: usize = 16 << 10;
/// Largest piece of a body, which is the read buffer of a connection.
pub const MAX_PIECE_BYTES: usize = 32 << 10;

/// Collects the pieces of a body. A body that arrives in one piece is not copied.
#[derive(Default)]
pub struct BodyBuffer {
    first_piece: Bytes,
    joined: BytesMut,
    permit: Option<BufferPermit>,
}

impl BodyBuffer {
    /// The number of buffered bytes.
    pub fn length(&self) -> usize {
        self.first_piece.len() + self.joined.len()
    }

    /// The memory in bytes that must be taken from the budget before a piece of this size is appended; `None`
    /// if there is enough. `length` is the length of the whole body, if it is known.
    pub fn missing_memory(&self, piece_bytes: usize, length: Option<u64>) -> Option<usize> {
        let is_missing = self.permit.is_none() && self.length() + piece_bytes > UNCHARGED_BODY_BYTES;
        is_missing.then(|| capacity(length))
    }

    /// Adds memory of the budget.
    pub fn add_memory(&mut self, permit: BufferPermit) {
        self.permit = Some(permit);
    }

    /// Appends a piece of a body. `length` is the length of the whole body, if it is known.
    pub fn push(&mut self, data: Bytes, length: Option<u64>) {
        if self.length() == 0 {
            self.first_piece = data;
            return;
        }
        let needed = self.length() + data.len();
        if needed > self.joined.capacity() {
            // The size is that of the permit, so that the buffer never grows beyond it by doubling.
            let wanted = if self.permit.is_some() {
                capacity(length)
            } else {
                capacity(length).min(UNCHARGED_BODY_BYTES)
            };
            let mut joined = BytesMut::with_capacity(wanted.max(needed));
            joined.extend_from_slice(&std::mem::take(&mut self.first_piece));
            joined.extend_from_slice(&self.joined);
            self.joined = joined;
        }
        self.joined.extend_from_slice(&data);
    }

    /// Returns all buffered bytes, which hold their memory of the budget until they are dropped, and leaves the
    /// buffer empty.
    pub fn take(&mut self) -> Bytes {
        let permit = self.take_permit();
        let bytes = self.take_bytes();
        match permit {
            Some(permit) => permit.attach_to(bytes),
            None => bytes,
        }
    }

    /// Returns all buffered bytes without their memory.
    pub fn take_bytes(&mut self) -> Bytes {
        if self.joined.is_empty() {
            std::mem::take(&mut self.first_piece)
        } else {
            std::mem::take(&mut self.joined).freeze()
        }
    }

    /// Returns the memory taken from the budget.
    pub fn take_permit(&mut self) -> Option<BufferPermit> {
        self.permit.take()
    }
}

/// The size of the buffer for a body of this length. A longer one is buffered until it exceeds the limit by at
/// most one piece.
fn capacity(length: Option<u64>) -> usize {
    let stated = length.and_then(|length| usize::try_from(length).ok());
    stated
        .filter(|length| *length <= MAX_BUFFERED_BODY_BYTES)
        .unwrap_or(MAX_BUFFERED_BODY_BYTES + MAX_PIECE_BYTES)
}
