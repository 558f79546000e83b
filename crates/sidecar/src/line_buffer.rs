//! Splits a byte stream into lines, for the control socket of the daemon and the handover link between
//! processes.

use bytes::BytesMut;

/// Splits a stream into lines, independent of how it is chunked.
pub struct LineBuffer {
    buffer: BytesMut,
    /// Length of the start of the buffer that is known to contain no line end.
    searched: usize,
    max_bytes: usize,
}

impl LineBuffer {
    /// An empty buffer that holds at most `max_bytes`.
    pub fn new(max_bytes: usize) -> LineBuffer {
        LineBuffer { buffer: BytesMut::new(), searched: 0, max_bytes }
    }

    /// Appends a chunk. Fails if the buffer would exceed its limit.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), String> {
        if self.buffer.len() + chunk.len() > self.max_bytes {
            return Err(format!("a line is longer than {} bytes", self.max_bytes));
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// Removes and returns the next complete line, without its line end.
    pub fn next_line(&mut self) -> Option<BytesMut> {
        let Some(end) = self.buffer[self.searched..].iter().position(|byte| *byte == b'\n') else {
            self.searched = self.buffer.len();
            return None;
        };
        let mut line = self.buffer.split_to(self.searched + end + 1);
        self.searched = 0;
        line.truncate(line.len() - 1);
        Some(line)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_split_independently_of_chunk_size() {
        let text = b"{\"a\":1}\n\n{\"b\":2}\n{\"c\"";
        for size in 1..text.len() {
            let mut lines = LineBuffer::new(1_000);
            let mut found = Vec::new();
            for chunk in text.chunks(size) {
                lines.push(chunk).unwrap();
                while let Some(line) = lines.next_line() {
                    found.push(line.to_vec());
                }
            }
            assert_eq!(found, [&b"{\"a\":1}"[..], b"", b"{\"b\":2}"], "chunks of {size}");
        }
    }

    #[test]
    fn push_fails_when_an_unfinished_line_exceeds_the_limit() {
        let mut lines = LineBuffer::new(1_000);
        let chunk = vec![b'x'; 501];
        lines.push(&chunk).unwrap();
        assert!(lines.next_line().is_none());
        assert!(lines.push(&chunk).is_err());
    }
}
