//! Splits a byte stream into JSON objects, the form in which discovery sends lists. An object ends at its
//! last closing bracket, whether it is on one line or indented over many. Pure; the stream may be chunked at
//! any byte.

use bytes::BytesMut;

/// An item of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// An object whose brackets are balanced.
    Object(BytesMut),
    /// An empty line between two objects.
    BlankLine,
    /// Bytes that are not an object, with the reason. The reader continues at the next line that begins with
    /// an object.
    Malformed(&'static str),
}

/// Position of the reader in the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// Between objects; `line_has_object` if an object has ended on the current line.
    Between { line_has_object: bool },
    /// In an object, outside its strings.
    Object,
    /// In a string of an object; `escaped` if the next byte is escaped.
    String { escaped: bool },
    /// In malformed bytes, which extend to a line that begins with an object; `line_ended` if the last byte
    /// was a line end.
    Malformed { line_ended: bool },
}

/// Splits a stream into objects, independent of how it is chunked. Each byte is examined once.
#[derive(Debug)]
pub struct JsonStream {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that have been examined.
    examined: usize,
    position: Position,
    /// The closing brackets that are expected, innermost last.
    expected_closings: Vec<u8>,
    max_bytes: usize,
}

/// Maximum nesting depth of an object. It bounds the memory for the expected brackets. The list of upstreams
/// has a depth of 3.
const MAX_NESTING_DEPTH: usize = 32;

impl JsonStream {
    /// A reader at the start of a stream whose objects have at most `max_bytes`.
    pub fn new(max_bytes: usize) -> JsonStream {
        JsonStream {
            buffer: BytesMut::new(),
            examined: 0,
            position: Position::Between { line_has_object: false },
            expected_closings: Vec::new(),
            max_bytes,
        }
    }

    /// Appends a chunk.
    ///
    /// # Errors
    /// The buffer would exceed the maximum size of an object.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), String> {
        if self.buffer.len() + chunk.len() > self.max_bytes {
            return Err(format!("an object is longer than {} bytes", self.max_bytes));
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// Whether the stream is inside an object or malformed bytes.
    pub fn is_inside_item(&self) -> bool {
        !matches!(self.position, Position::Between { .. })
    }

    /// Removes and returns the next item, if the buffer contains all of it.
    pub fn next_item(&mut self) -> Option<StreamItem> {
        while let Some(byte) = self.buffer.get(self.examined).copied() {
            self.examined += 1;
            match (self.position, byte) {
                (Position::Between { line_has_object }, b'\n') => {
                    self.drop_examined();
                    self.position = Position::Between { line_has_object: false };
                    if !line_has_object {
                        return Some(StreamItem::BlankLine);
                    }
                }
                (Position::Between { .. }, b' ' | b'\t' | b'\r') => self.drop_examined(),
                (Position::Between { .. }, b'{') => {
                    self.expected_closings.push(b'}');
                    self.position = Position::Object;
                }
                (Position::Between { .. }, _) => return Some(self.skip_malformed("not an object")),
                (Position::Malformed { line_ended: true }, b'{') => {
                    // The bytes before the bracket are dropped, and the bracket is examined again as the
                    // start of an object.
                    let start = self.examined - 1;
                    drop(self.buffer.split_to(start));
                    (self.examined, self.position) = (0, Position::Between { line_has_object: false });
                }
                (Position::Malformed { .. }, byte) => {
                    self.drop_examined();
                    self.position = Position::Malformed { line_ended: byte == b'\n' };
                }
                (Position::Object, b'"') => self.position = Position::String { escaped: false },
                (Position::Object, b'{') => self.expected_closings.push(b'}'),
                (Position::Object, b'[') => self.expected_closings.push(b']'),
                (Position::Object, b'}' | b']') => {
                    if self.expected_closings.pop() != Some(byte) {
                        return Some(self.skip_malformed("mismatched brackets"));
                    }
                    if self.expected_closings.is_empty() {
                        self.position = Position::Between { line_has_object: true };
                        let object = self.buffer.split_to(self.examined);
                        self.examined = 0;
                        return Some(StreamItem::Object(object));
                    }
                }
                (Position::Object, _) => {}
                (Position::String { escaped: true }, _) => {
                    self.position = Position::String { escaped: false }
                }
                (Position::String { .. }, b'\\') => self.position = Position::String { escaped: true },
                (Position::String { .. }, b'"') => self.position = Position::Object,
                // JSON escapes control characters in strings, so the string was truncated.
                (Position::String { .. }, 0..=0x1f) => {
                    let malformed = self.skip_malformed("unterminated string");
                    self.position = Position::Malformed { line_ended: byte == b'\n' };
                    return Some(malformed);
                }
                (Position::String { .. }, _) => {}
            }
            if self.expected_closings.len() > MAX_NESTING_DEPTH {
                return Some(self.skip_malformed("nested too deeply"));
            }
        }
        None
    }

    fn drop_examined(&mut self) {
        drop(self.buffer.split_to(self.examined));
        self.examined = 0;
    }

    /// Drops the examined bytes and skips to the next line that begins with an object.
    fn skip_malformed(&mut self, reason: &'static str) -> StreamItem {
        self.drop_examined();
        self.expected_closings.clear();
        self.position = Position::Malformed { line_ended: false };
        StreamItem::Malformed(reason)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Pushes a chunk and returns the items that it completes: objects as text, blank lines as "-", malformed
    /// bytes as "?".
    fn push_and_read(stream: &mut JsonStream, chunk: &[u8]) -> Vec<String> {
        stream.push(chunk).expect("the chunk fits");
        let describe = |item| match item {
            StreamItem::Object(text) => String::from_utf8(text.to_vec()).expect("valid UTF-8"),
            StreamItem::BlankLine => "-".to_owned(),
            StreamItem::Malformed(_) => "?".to_owned(),
        };
        std::iter::from_fn(|| stream.next_item()).map(describe).collect()
    }

    #[test]
    fn objects_are_found_independently_of_layout_and_chunk_size() {
        let indented = "{\n  \"seq\": 5,\n\n  \"hosts\": [\n    {\"a\": \"}\\\"{\\\\\"}\n  ]\n}";
        let text = format!("{{\"a\":[1]}}\n\n{indented}\n{{\"b\":2}}{{\"c\":3}} \r\n\r\n \n{{\"d\"");
        let expected = ["{\"a\":[1]}", "-", indented, "{\"b\":2}", "{\"c\":3}", "-", "-"];
        for size in 1..text.len() {
            let mut stream = JsonStream::new(1_000);
            let found: Vec<String> =
                text.as_bytes().chunks(size).flat_map(|chunk| push_and_read(&mut stream, chunk)).collect();
            assert_eq!(found, expected, "chunks of {size}");
            assert!(stream.is_inside_item(), "the last object is incomplete");
        }
    }

    #[test]
    fn malformed_bytes_are_reported_once_and_leave_other_objects_intact() {
        let valid = "{\"a\":1}";
        for malformed in
            ["nonsense", "{\"a\":1]}", "{\"cut\n  \"b\": 2\n}", "]", "[1,2]", "\u{0}", "{\"a\":\"\t\"}"]
        {
            let text = format!("{valid}\n{malformed}\n{valid}\n{valid}\n");
            for size in 1..text.len() {
                let mut stream = JsonStream::new(1_000);
                let found: Vec<String> = text
                    .as_bytes()
                    .chunks(size)
                    .flat_map(|chunk| push_and_read(&mut stream, chunk))
                    .collect();
                assert_eq!(found, [valid, "?", valid, valid], "{malformed:?} in chunks of {size}");
            }
        }
        let too_deep = format!("{}\n{valid}\n", "{\"a\":".repeat(100));
        assert_eq!(push_and_read(&mut JsonStream::new(1_000), too_deep.as_bytes()), ["?", valid]);
    }

    #[test]
    fn endless_object_is_an_error_and_endless_malformed_bytes_are_not_buffered() {
        let mut stream = JsonStream::new(1_000);
        assert!(push_and_read(&mut stream, &[b"{\"".to_vec(), vec![b'x'; 600]].concat()).is_empty());
        assert!(stream.push(&[b'x'; 600]).is_err());
        let mut stream = JsonStream::new(1_000);
        for _ in 0..100 {
            push_and_read(&mut stream, &[b'x'; 600]);
        }
        assert!(stream.buffer.is_empty() && stream.is_inside_item());
    }

    #[test]
    fn random_corruption_causes_no_panic() {
        let mut rng = oorandom::Rand64::new(5);
        let valid = b"{\"seq\":1,\"hosts\":[{\"a\":\"b\"}]}\n\n{\n \"seq\": 2\n}\n";
        for _ in 0..3_000 {
            let mut stream = JsonStream::new(1 << 20);
            let mut corrupted = valid.repeat(3);
            for _ in 0..rng.rand_range(1..9) {
                let index = rng.rand_range(0..corrupted.len() as u64) as usize;
                corrupted[index] = rng.rand_range(0..256) as u8;
            }
            for chunk in corrupted.chunks(1 + rng.rand_range(0..40) as usize) {
                stream.push(chunk).expect("the chunk fits");
                while stream.next_item().is_some() {}
            }
        }
    }
}
