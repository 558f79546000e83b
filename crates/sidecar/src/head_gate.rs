//! Keeps the head of an answer from growing its connection's buffers before there is memory for that. The stream of
//! the connection scans the head; while it is long and not allowed to be, its rest stays in the kernel.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::task::Waker;

use tokio::sync::Notify;

use crate::headers::UNCHARGED_HEAD_BYTES;

/// Whether the head of the current answer may be long; shared by the stream and the task of the exchange.
#[derive(Default)]
pub struct HeadGate {
    allowed: AtomicBool,
    memory_needed: Notify,
    reader: Mutex<Option<Waker>>,
}

impl HeadGate {
    /// Waits until the head needs memory to be read on.
    pub async fn wait_until_memory_is_needed(&self) {
        self.memory_needed.notified().await;
    }

    /// Lets the head be read on, now that there is memory for it.
    pub fn allow(&self) {
        self.allowed.store(true, Ordering::Relaxed);
        let reader = self.reader.lock().unwrap_or_else(PoisonError::into_inner).take();
        reader.into_iter().for_each(Waker::wake);
    }

    /// Asks for memory and has the reader woken when there is some.
    pub fn wait(&self, reader: &Waker) {
        *self.reader.lock().unwrap_or_else(PoisonError::into_inner) = Some(reader.clone());
        self.memory_needed.notify_one();
    }
}

/// Position of the first digit of the status in a head: `HTTP/1.1 200`.
const STATUS_POSITION: usize = 9;

/// Finds the end of the head of an answer in the bytes that are read. The heads of interim answers are skipped.
#[derive(Debug, Default)]
pub struct HeadScanner {
    /// Bytes of the current head.
    bytes: usize,
    /// Whether the last line that ended was empty so far.
    line_is_empty: bool,
    is_interim: bool,
    complete: bool,
}

impl HeadScanner {
    /// Takes in bytes of an answer.
    pub fn feed(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.complete {
                return;
            }
            self.feed_byte(*byte);
        }
    }

    fn feed_byte(&mut self, byte: u8) {
        if self.bytes == STATUS_POSITION {
            self.is_interim = byte == b'1';
        }
        self.bytes += 1;
        match byte {
            b'\n' if self.line_is_empty && self.is_interim => *self = HeadScanner::default(),
            b'\n' if self.line_is_empty => self.complete = true,
            b'\n' => self.line_is_empty = true,
            b'\r' => {}
            _ => self.line_is_empty = false,
        }
    }

    /// Whether the next bytes of the head must not be read.
    pub fn is_blocked(&self, gate: &HeadGate) -> bool {
        !self.complete && self.bytes >= UNCHARGED_HEAD_BYTES && !gate.allowed.load(Ordering::Relaxed)
    }

    /// Begins with the next answer.
    pub fn reset(&mut self, gate: &HeadGate) {
        *self = HeadScanner::default();
        gate.allowed.store(false, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn long_head_is_blocked_until_allowed_and_a_long_body_is_not() {
        for chunk_size in [1, 7, 100_000] {
            let (gate, mut scanner) = (HeadGate::default(), HeadScanner::default());
            let head = [&b"HTTP/1.1 200 OK\r\nA: "[..], &[b'a'; UNCHARGED_HEAD_BYTES], b"\r\n"].concat();
            head.chunks(chunk_size).for_each(|chunk| scanner.feed(chunk));
            assert!(scanner.is_blocked(&gate), "chunks of {chunk_size}");
            gate.allow();
            assert!(!scanner.is_blocked(&gate));
            scanner.reset(&gate);
            let heads = b"HTTP/1.1 103 Hint\r\n\r\nHTTP/1.1 200 OK\r\nA: a\r\n\r\n";
            let answer = [&heads[..], &[b'b'; UNCHARGED_HEAD_BYTES]].concat();
            answer.chunks(chunk_size).for_each(|chunk| scanner.feed(chunk));
            assert!(!scanner.is_blocked(&gate), "chunks of {chunk_size}");
        }
    }
}
