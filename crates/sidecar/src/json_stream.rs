//! JSON objects out of a stream that comes in pieces: what discovery speaks. A value ends where its last bracket does, on
//! one line or indented over many. Pure: bytes in, at any cut.

use bytes::BytesMut;

/// What comes next in a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    /// An object, whole as far as its brackets tell.
    Object(BytesMut),
    /// An empty line between two objects.
    Blank,
    /// Bytes that are no object; the reader goes on with the next one that begins a line.
    Broken(&'static str),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum At {
    /// Between objects; whether anything has come since the last line end.
    Between { any: bool },
    /// In an object.
    Object,
    /// In a text of one; whether the next byte is escaped.
    Text { escaped: bool },
    /// In what is broken, up to a line that begins an object; whether a line has just ended.
    Lost { line_ended: bool },
}

/// Cuts a stream into objects, however it is chunked. Each byte is looked at once.
#[derive(Debug)]
pub struct JsonStream {
    buffer: BytesMut,
    /// So many bytes of the buffer have been looked at.
    seen: usize,
    at: At,
    /// The brackets that are open.
    open: Vec<u8>,
    most: usize,
}

/// The list of upstreams is three brackets deep. Deeper ones are nonsense, and this bounds what is kept of them.
const MAX_NESTING_DEPTH: usize = 32;

impl JsonStream {
    /// None yet; an object may have so many bytes.
    pub fn new(most: usize) -> JsonStream {
        JsonStream {
            buffer: BytesMut::new(),
            seen: 0,
            at: At::Between { any: false },
            open: Vec::new(),
            most,
        }
    }

    /// Takes in what came.
    ///
    /// # Errors
    /// Where more waits for its end than an object may have.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), String> {
        if self.buffer.len() + chunk.len() > self.most {
            return Err(format!("an object is longer than {} bytes", self.most));
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// Whether an object has begun that has not ended.
    pub fn is_within(&self) -> bool {
        !matches!(self.at, At::Between { .. })
    }

    /// What comes next, if all of it has come.
    pub fn next_value(&mut self) -> Option<Next> {
        while let Some(byte) = self.buffer.get(self.seen).copied() {
            self.seen += 1;
            match (self.at, byte) {
                (At::Between { any }, b'\n') => {
                    self.drop_seen();
                    self.at = At::Between { any: false };
                    if !any {
                        return Some(Next::Blank);
                    }
                }
                (At::Between { .. }, b' ' | b'\t' | b'\r') => self.drop_seen(),
                (At::Between { .. }, b'{') => {
                    self.open.push(b'}');
                    self.at = At::Object;
                }
                (At::Between { .. }, _) => return Some(self.lose("something that is no object")),
                (At::Lost { line_ended: true }, b'{') => {
                    // The bytes before it are dropped, it itself begins anew.
                    let begins = self.seen - 1;
                    drop(self.buffer.split_to(begins));
                    (self.seen, self.at) = (0, At::Between { any: false });
                }
                (At::Lost { .. }, byte) => {
                    self.drop_seen();
                    self.at = At::Lost { line_ended: byte == b'\n' };
                }
                (At::Object, b'"') => self.at = At::Text { escaped: false },
                (At::Object, b'{') => self.open.push(b'}'),
                (At::Object, b'[') => self.open.push(b']'),
                (At::Object, b'}' | b']') => {
                    if self.open.pop() != Some(byte) {
                        return Some(self.lose("brackets that do not match"));
                    }
                    if self.open.is_empty() {
                        self.at = At::Between { any: true };
                        let object = self.buffer.split_to(self.seen);
                        self.seen = 0;
                        return Some(Next::Object(object));
                    }
                }
                (At::Object, _) => {}
                (At::Text { escaped: true }, _) => self.at = At::Text { escaped: false },
                (At::Text { .. }, b'\\') => self.at = At::Text { escaped: true },
                (At::Text { .. }, b'"') => self.at = At::Object,
                // JSON escapes them: a text that holds one was cut.
                (At::Text { .. }, 0..=0x1f) => {
                    let broken = self.lose("a text that does not end");
                    self.at = At::Lost { line_ended: byte == b'\n' };
                    return Some(broken);
                }
                (At::Text { .. }, _) => {}
            }
            if self.open.len() > MAX_NESTING_DEPTH {
                return Some(self.lose("too many brackets"));
            }
        }
        None
    }

    fn drop_seen(&mut self) {
        drop(self.buffer.split_to(self.seen));
        self.seen = 0;
    }

    fn lose(&mut self, why: &'static str) -> Next {
        self.drop_seen();
        self.open.clear();
        self.at = At::Lost { line_ended: false };
        Next::Broken(why)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(values: &mut JsonStream, chunk: &[u8]) -> Vec<String> {
        values.push(chunk).expect("it is short");
        let told = |next| match next {
            Next::Object(text) => String::from_utf8(text.to_vec()).expect("text"),
            Next::Blank => "-".to_owned(),
            Next::Broken(_) => "?".to_owned(),
        };
        std::iter::from_fn(|| values.next_value()).map(told).collect()
    }

    #[test]
    fn objects_are_found_however_they_are_laid_out_and_chunked() {
        let indented = "{\n  \"seq\": 5,\n\n  \"hosts\": [\n    {\"a\": \"}\\\"{\\\\\"}\n  ]\n}";
        let text = format!("{{\"a\":[1]}}\n\n{indented}\n{{\"b\":2}}{{\"c\":3}} \r\n\r\n \n{{\"d\"");
        let expected = ["{\"a\":[1]}", "-", indented, "{\"b\":2}", "{\"c\":3}", "-", "-"];
        for size in 1..text.len() {
            let mut values = JsonStream::new(1_000);
            let found: Vec<String> =
                text.as_bytes().chunks(size).flat_map(|chunk| read(&mut values, chunk)).collect();
            assert_eq!(found, expected, "chunks of {size}");
            assert!(values.is_within(), "the last one has not ended");
        }
    }

    #[test]
    fn what_is_broken_is_told_once_and_takes_nothing_else_with_it() {
        let whole = "{\"a\":1}";
        for broken in
            ["nonsense", "{\"a\":1]}", "{\"cut\n  \"b\": 2\n}", "]", "[1,2]", "\u{0}", "{\"a\":\"\t\"}"]
        {
            let text = format!("{whole}\n{broken}\n{whole}\n{whole}\n");
            for size in 1..text.len() {
                let mut values = JsonStream::new(1_000);
                let found: Vec<String> =
                    text.as_bytes().chunks(size).flat_map(|chunk| read(&mut values, chunk)).collect();
                assert_eq!(found, [whole, "?", whole, whole], "{broken:?} in chunks of {size}");
            }
        }
        let deep = format!("{}\n{whole}\n", "{\"a\":".repeat(100));
        assert_eq!(read(&mut JsonStream::new(1_000), deep.as_bytes()), ["?", whole]);
    }

    #[test]
    fn an_endless_object_is_an_error_and_endless_nonsense_takes_no_room() {
        let mut values = JsonStream::new(1_000);
        assert!(read(&mut values, &[b"{\"".to_vec(), vec![b'x'; 600]].concat()).is_empty());
        assert!(values.push(&[b'x'; 600]).is_err());
        let mut values = JsonStream::new(1_000);
        for _ in 0..100 {
            read(&mut values, &[b'x'; 600]);
        }
        assert!(values.buffer.is_empty() && values.is_within());
    }

    #[test]
    fn noise_is_no_reason_to_panic() {
        let mut rng = oorandom::Rand64::new(5);
        let sound = b"{\"seq\":1,\"hosts\":[{\"a\":\"b\"}]}\n\n{\n \"seq\": 2\n}\n";
        for _ in 0..3_000 {
            let mut values = JsonStream::new(1 << 20);
            let mut noise = sound.repeat(3);
            for _ in 0..rng.rand_range(1..9) {
                let at = rng.rand_range(0..noise.len() as u64) as usize;
                noise[at] = rng.rand_range(0..256) as u8;
            }
            for chunk in noise.chunks(1 + rng.rand_range(0..40) as usize) {
                values.push(chunk).expect("it is short");
                while values.next_value().is_some() {}
            }
        }
    }
}
