//! Finds where the requests in a byte stream begin and end (RFC 9112, 6 and 7), both for a client's stream
//! and for the stream to an upstream, and whether a request has two framings. hyper parses the stream as
//! well, but drops a `Content-Length` beside `Transfer-Encoding`, so that code behind hyper cannot detect two
//! framings. Pure: the parser takes bytes, cut at any place. Where the parser cannot follow the stream, hyper
//! rejects the request as well, and the rest of the stream is ignored.

use memchr::memchr;

/// Bytes kept of each line of a head: enough for the framing headers and their values.
const KEPT_LINE_BYTES: usize = 64;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// In a head, or before one.
    Head,
    /// In a body with this many bytes left.
    Body(u64),
    /// In the line with the size of a chunk.
    ChunkSize,
    /// In a chunk with this many bytes left, its line end included.
    Chunk(u64),
    /// In the lines after the last chunk.
    Trailers,
    /// Unknown: the framing could not be followed.
    Untracked,
}

/// An incremental parser of request boundaries.
#[derive(Debug)]
pub struct Framing {
    position: Position,
    /// The beginning of the current line.
    line: [u8; KEPT_LINE_BYTES],
    /// Length of the current line so far.
    line_length: usize,
    /// Whether the current head has a line yet.
    has_lines: bool,
    /// `Content-Length` of the current head; [`u64::MAX`] if it is not a number.
    content_length: Option<u64>,
    /// Whether the last transfer coding of the current head is `chunked`.
    is_chunked: bool,
    /// Whether the current head has a `Transfer-Encoding`.
    has_transfer_encoding: bool,
    /// Number of complete heads.
    complete_heads: u64,
    /// Number of complete requests.
    complete_requests: u64,
    /// Number of the first request with two framings, counted from 1.
    first_ambiguous_request: Option<u64>,
}

impl Default for Framing {
    fn default() -> Framing {
        Framing {
            position: Position::Head,
            line: [0; KEPT_LINE_BYTES],
            line_length: 0,
            has_lines: false,
            content_length: None,
            is_chunked: false,
            has_transfer_encoding: false,
            complete_heads: 0,
            complete_requests: 0,
            first_ambiguous_request: None,
        }
    }
}

impl Framing {
    /// Takes in bytes up to the end of the first request that ends in them, and returns their number. Once
    /// the framing cannot be followed, it takes in all bytes.
    pub fn feed(&mut self, bytes: &[u8]) -> usize {
        let (mut fed, requests_before) = (0, self.complete_requests);
        while let Some(rest) =
            bytes.get(fed..).filter(|rest| !rest.is_empty() && self.complete_requests == requests_before)
        {
            fed += match self.position {
                Position::Untracked => rest.len(),
                Position::Body(left) | Position::Chunk(left) => self.skip(left, rest.len()),
                Position::Head | Position::ChunkSize | Position::Trailers => self.read_line(rest),
            };
        }
        fed
    }

    /// The number of complete requests.
    pub fn complete_requests(&self) -> u64 {
        self.complete_requests
    }

    /// The number of the first request with two framings, counted from 1.
    pub fn first_ambiguous_request(&self) -> Option<u64> {
        self.first_ambiguous_request
    }

    /// Whether the framing could not be followed, so that the ends of requests are unknown.
    pub fn is_untracked(&self) -> bool {
        self.position == Position::Untracked
    }

    /// Bytes of the current request's body that are still to come: 0 between requests, `None` if unknown.
    pub fn body_bytes_left(&self) -> Option<u64> {
        match self.position {
            Position::Head => Some(0),
            Position::Body(left) => Some(left),
            Position::ChunkSize | Position::Chunk(_) | Position::Trailers | Position::Untracked => None,
        }
    }

    /// Whether a head has begun and is incomplete.
    pub fn in_head(&self) -> bool {
        self.position == Position::Head && (self.has_lines || self.line_length > 0)
    }

    /// Skips bytes of a body or a chunk, of which `left` are to come and `available` are there. Returns how
    /// many.
    fn skip(&mut self, left: u64, available: usize) -> usize {
        let available = u64::try_from(available).unwrap_or(u64::MAX);
        let (skipped, left) = (left.min(available), left.saturating_sub(available));
        self.position = match (self.position, left) {
            (Position::Chunk(_), 0) => Position::ChunkSize,
            (Position::Chunk(_), left) => Position::Chunk(left),
            (_, 0) => self.end_request(),
            (_, left) => Position::Body(left),
        };
        usize::try_from(skipped).unwrap_or(usize::MAX)
    }

    /// Reads up to the end of the current line, and interprets the line if it is complete. Returns the number
    /// of bytes read.
    fn read_line(&mut self, bytes: &[u8]) -> usize {
        let newline = memchr(b'\n', bytes);
        let part = &bytes[..newline.unwrap_or(bytes.len())];
        if let Some(free) = self.line.get_mut(self.line_length..) {
            let kept = part.len().min(free.len());
            free[..kept].copy_from_slice(&part[..kept]);
        }
        self.line_length = self.line_length.saturating_add(part.len());
        let Some(newline) = newline else { return bytes.len() };
        let (line, line_length) = (self.line, self.line_length);
        self.line_length = 0;
        let line = line.get(..line_length.min(KEPT_LINE_BYTES)).unwrap_or_default();
        let line =
            if line_length <= KEPT_LINE_BYTES { line.strip_suffix(b"\r").unwrap_or(line) } else { line };
        match self.position {
            Position::ChunkSize => {
                self.position =
                    parse_chunk_size(line).map_or(Position::Untracked, |size| self.begin_chunk(size));
            }
            Position::Trailers if line.is_empty() => self.position = self.end_request(),
            Position::Head if line.is_empty() => self.end_head(),
            Position::Head => self.read_header(line),
            _ => {}
        }
        newline + 1
    }

    /// Counts a complete request; the next position is a head.
    fn end_request(&mut self) -> Position {
        self.complete_requests += 1;
        Position::Head
    }

    fn begin_chunk(&self, size: u64) -> Position {
        if size == 0 { Position::Trailers } else { Position::Chunk(size.saturating_add(2)) }
    }

    fn read_header(&mut self, line: &[u8]) {
        self.has_lines = true;
        let Some(colon) = memchr(b':', line) else { return };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            let number = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
            self.content_length = Some(number.unwrap_or(u64::MAX));
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.has_transfer_encoding = true;
            let last_coding = value.rsplit(|byte| *byte == b',').next().unwrap_or_default();
            self.is_chunked = last_coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
        }
    }

    fn end_head(&mut self) {
        // Empty lines before a request are ignored (RFC 9112, 2.2).
        if !std::mem::take(&mut self.has_lines) {
            return;
        }
        self.complete_heads += 1;
        let (content_length, has_transfer_encoding) =
            (self.content_length.take(), std::mem::take(&mut self.has_transfer_encoding));
        if content_length.is_some() && has_transfer_encoding && self.first_ambiguous_request.is_none() {
            self.first_ambiguous_request = Some(self.complete_heads);
        }
        self.position = match (content_length, std::mem::take(&mut self.is_chunked)) {
            (_, true) => Position::ChunkSize,
            (None, false) if has_transfer_encoding => Position::Untracked,
            (None | Some(0), false) => self.end_request(),
            (Some(length), false) => Position::Body(length),
        };
    }
}

/// Parses the size of a chunk; text after a semicolon is an extension.
fn parse_chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
    let digits = std::str::from_utf8(digits).ok().filter(|digits| !digits.starts_with('+'))?;
    u64::from_str_radix(digits, 16).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID_REQUESTS: &[u8] = b"\r\nPOST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 30\r\n\r\n\
        Transfer-Encoding: chunked\r\n\r\n\
        POST /b HTTP/1.1\r\ntransfer-encoding: gzip, Chunked\r\n\r\n\
        13;name=\"content-length: 1\"\r\nContent-Length: 5\r\n\r\n1\r\nx\r\n0\r\nContent-Length: 7\r\n\r\n\
        GET /c HTTP/1.1\r\n\r\nGET /d HTTP/1.1\nContent-Length: 0\n\n";
    const AMBIGUOUS_REQUESTS: [&[u8]; 4] = [
        b"POST /e HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST /e HTTP/1.1\r\nTransfer-Encoding: chunked\r\nX: 1\r\nContent-Length: 4\r\n\r\n",
        b"POST /e HTTP/1.1\r\nTRANSFER-ENCODING:identity\r\ncontent-length:4\r\n\r\n",
        b"POST /e HTTP/1.1\nContent-Length : 4\nTransfer-Encoding : chunked\n\n",
    ];

    fn feed_all(pieces: &[&[u8]]) -> Framing {
        let mut framing = Framing::default();
        for piece in pieces {
            let mut rest = *piece;
            while !rest.is_empty() {
                let before = framing.complete_requests();
                let fed = framing.feed(rest);
                assert!(
                    fed == rest.len() || framing.complete_requests() == before + 1,
                    "feeding stops only at the end of a request"
                );
                rest = &rest[fed..];
            }
        }
        framing
    }

    #[test]
    fn requests_are_counted_wherever_the_bytes_are_cut() {
        for cut in 0..=VALID_REQUESTS.len() {
            let (first, second) = VALID_REQUESTS.split_at(cut);
            let framing = feed_all(&[first, second]);
            assert_eq!(
                (framing.complete_heads, framing.first_ambiguous_request(), framing.position),
                (4, None, Position::Head),
                "cut at {cut}"
            );
            assert_eq!(framing.complete_requests(), 4, "cut at {cut}");
        }
        let bytes: Vec<&[u8]> = VALID_REQUESTS.chunks(1).collect();
        assert_eq!((feed_all(&bytes).complete_heads, feed_all(&bytes).first_ambiguous_request()), (4, None));
    }

    #[test]
    fn ambiguous_request_is_detected_wherever_the_bytes_are_cut_and_after_other_requests() {
        for ambiguous in AMBIGUOUS_REQUESTS {
            let stream = [VALID_REQUESTS, ambiguous].concat();
            for cut in 0..=stream.len() {
                let (first, second) = stream.split_at(cut);
                assert_eq!(feed_all(&[first, second]).first_ambiguous_request(), Some(5), "cut at {cut}");
            }
            assert_eq!(feed_all(&[ambiguous]).first_ambiguous_request(), Some(1));
        }
    }

    #[test]
    fn malformed_bytes_do_not_panic_and_long_lines_do_not_hide_two_framings() {
        let mut rng = oorandom::Rand64::new(4);
        for _ in 0..3_000 {
            let mut malformed: Vec<u8> = VALID_REQUESTS.to_vec();
            for _ in 0..rng.rand_range(1..8) {
                let at = rng.rand_range(0..malformed.len() as u64) as usize;
                malformed[at] = rng.rand_range(0..256) as u8;
            }
            feed_all(&malformed.chunks(1 + rng.rand_range(0..50) as usize).collect::<Vec<_>>());
        }
        let long_lines = format!("GET /{} HTTP/1.1\r\nX: {}\r\n", "x".repeat(5_000), "y".repeat(9_000));
        let request =
            [long_lines.as_bytes(), b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"].concat();
        assert_eq!(feed_all(&[&request]).first_ambiguous_request(), Some(1));
    }

    #[test]
    fn feed_stops_exactly_at_the_end_of_each_request() {
        let expected_ends: Vec<usize> =
            ["29\r\n\r\n", "Content-Length: 7\r\n\r\n", "GET /c HTTP/1.1\r\n\r\n"]
                .iter()
                .filter_map(|text| {
                    VALID_REQUESTS
                        .windows(text.len())
                        .position(|window| window == text.as_bytes())
                        .map(|at| at + text.len())
                })
                .collect();
        let mut framing = Framing::default();
        let (mut fed, mut ends) = (0, Vec::new());
        while fed < VALID_REQUESTS.len() {
            fed += framing.feed(&VALID_REQUESTS[fed..]);
            ends.push(fed);
        }
        assert_eq!(ends.len(), 4);
        assert_eq!(ends[3], VALID_REQUESTS.len());
        assert!(expected_ends.iter().all(|end| ends.contains(end)), "{expected_ends:?} in {ends:?}");
    }

    #[test]
    fn in_head_is_true_only_within_an_incomplete_head() {
        assert!(!feed_all(&[]).in_head() && !feed_all(&[VALID_REQUESTS]).in_head());
        assert!(feed_all(&[b"G"]).in_head() && feed_all(&[VALID_REQUESTS, b"GET / HTTP/1.1\r\n"]).in_head());
    }
}
