//! Lines out of a stream that comes in pieces: what the control socket of a daemon and the link of an upgrade speak.

use bytes::BytesMut;

/// Cuts a stream into lines, however it is chunked.
pub struct LineBuffer {
    buffer: BytesMut,
    searched: usize,
    most: usize,
}

impl LineBuffer {
    /// None yet; what waits for the end of its line may have so many bytes.
    pub fn new(most: usize) -> LineBuffer {
        LineBuffer { buffer: BytesMut::new(), searched: 0, most }
    }

    /// Takes in what came.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), String> {
        if self.buffer.len() + chunk.len() > self.most {
            return Err(format!("a line is longer than {} bytes", self.most));
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// The next whole line, without its end.
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
    fn lines_are_found_however_they_are_chunked() {
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
    fn an_endless_line_is_an_error() {
        let mut lines = LineBuffer::new(1_000);
        let chunk = vec![b'x'; 501];
        lines.push(&chunk).unwrap();
        assert!(lines.next_line().is_none());
        assert!(lines.push(&chunk).is_err());
    }
}
