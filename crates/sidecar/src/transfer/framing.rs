//! Where the requests of a stream, a client's or our own to an upstream, begin and end (RFC 9112, 6 and 7), and whether one of them is framed in two
//! ways. hyper reads the stream; it drops a length that stands beside `Transfer-Encoding`, so that nobody behind it can
//! tell. Pure: bytes in, at any cut. What it cannot follow hyper refuses as well, and it then looks no further.

use memchr::memchr;

/// Of a line of a head so much is kept: the names that are looked for, and the number behind one of them.
const KEPT: usize = 64;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum At {
    /// In a head, or before one.
    Head,
    /// In a body with so many bytes to come.
    Body(u64),
    /// In the line that tells the size of a chunk.
    Size,
    /// In a chunk with so many bytes to come, its line end included.
    Chunk(u64),
    /// In the lines after the last chunk.
    Trailers,
    /// Where nobody can say.
    Lost,
}

/// The reader.
#[derive(Debug)]
pub struct Framing {
    at: At,
    /// The beginning of the line that is being read, and its whole length.
    line: [u8; KEPT],
    length: usize,
    /// What the head under way has told so far.
    any_line: bool,
    stated: Option<u64>,
    chunked: bool,
    encoded: bool,
    /// Heads that have ended, and requests that have come whole.
    heads: u64,
    whole: u64,
    doubled: Option<u64>,
}

impl Default for Framing {
    fn default() -> Framing {
        Framing {
            at: At::Head,
            line: [0; KEPT],
            length: 0,
            any_line: false,
            stated: None,
            chunked: false,
            encoded: false,
            heads: 0,
            whole: 0,
            doubled: None,
        }
    }
}

impl Framing {
    /// Takes in what came next, up to the end of the first request that ends in it; how many bytes that are. What it
    /// cannot follow it takes in whole.
    pub fn feed(&mut self, bytes: &[u8]) -> usize {
        let (mut fed, before) = (0, self.whole);
        while let Some(rest) = bytes.get(fed..).filter(|rest| !rest.is_empty() && self.whole == before) {
            fed += match self.at {
                At::Lost => rest.len(),
                At::Body(left) | At::Chunk(left) => self.skip(left, rest.len()),
                At::Head | At::Size | At::Trailers => self.read_line(rest),
            };
        }
        fed
    }

    /// How many requests have come whole.
    pub fn complete_requests(&self) -> u64 {
        self.whole
    }

    /// The number of the first request that was framed in two ways, counted from 1.
    pub fn first_ambiguous_request(&self) -> Option<u64> {
        self.doubled
    }

    /// Whether nobody can say any more where requests end.
    pub fn is_untracked(&self) -> bool {
        self.at == At::Lost
    }

    /// Whether a head is under way.
    pub fn in_head(&self) -> bool {
        self.at == At::Head && (self.any_line || self.length > 0)
    }

    fn skip(&mut self, left: u64, have: usize) -> usize {
        let have = u64::try_from(have).unwrap_or(u64::MAX);
        let (taken, left) = (left.min(have), left.saturating_sub(have));
        self.at = match (self.at, left) {
            (At::Chunk(_), 0) => At::Size,
            (At::Chunk(_), left) => At::Chunk(left),
            (_, 0) => self.ends(),
            (_, left) => At::Body(left),
        };
        usize::try_from(taken).unwrap_or(usize::MAX)
    }

    /// Reads on to the end of the line, and takes it in if it has come.
    fn read_line(&mut self, bytes: &[u8]) -> usize {
        let end = memchr(b'\n', bytes);
        let part = &bytes[..end.unwrap_or(bytes.len())];
        if let Some(room) = self.line.get_mut(self.length..) {
            let kept = part.len().min(room.len());
            room[..kept].copy_from_slice(&part[..kept]);
        }
        self.length = self.length.saturating_add(part.len());
        let Some(end) = end else { return bytes.len() };
        let (line, whole) = (self.line, self.length);
        self.length = 0;
        let line = line.get(..whole.min(KEPT)).unwrap_or_default();
        let line = if whole <= KEPT { line.strip_suffix(b"\r").unwrap_or(line) } else { line };
        match self.at {
            At::Size => self.at = size(line).map_or(At::Lost, |size| self.chunk(size)),
            At::Trailers if line.is_empty() => self.at = self.ends(),
            At::Head if line.is_empty() => self.head_ends(),
            At::Head => self.header(line),
            _ => {}
        }
        end + 1
    }

    /// A request has come whole.
    fn ends(&mut self) -> At {
        self.whole += 1;
        At::Head
    }

    fn chunk(&self, size: u64) -> At {
        if size == 0 { At::Trailers } else { At::Chunk(size.saturating_add(2)) }
    }

    fn header(&mut self, line: &[u8]) {
        self.any_line = true;
        let Some(colon) = memchr(b':', line) else { return };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            let number = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
            self.stated = Some(number.unwrap_or(u64::MAX));
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.encoded = true;
            let last = value.rsplit(|byte| *byte == b',').next().unwrap_or_default();
            self.chunked = last.trim_ascii().eq_ignore_ascii_case(b"chunked");
        }
    }

    fn head_ends(&mut self) {
        // Empty lines before a request are passed over (RFC 9112, 2.2).
        if !std::mem::take(&mut self.any_line) {
            return;
        }
        self.heads += 1;
        let (stated, encoded) = (self.stated.take(), std::mem::take(&mut self.encoded));
        if stated.is_some() && encoded && self.doubled.is_none() {
            self.doubled = Some(self.heads);
        }
        self.at = match (stated, std::mem::take(&mut self.chunked)) {
            (_, true) => At::Size,
            (None, false) if encoded => At::Lost,
            (None | Some(0), false) => self.ends(),
            (Some(length), false) => At::Body(length),
        };
    }
}

/// The size of a chunk; what stands behind a semicolon is an extension.
fn size(line: &[u8]) -> Option<u64> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
    let digits = std::str::from_utf8(digits).ok().filter(|digits| !digits.starts_with('+'))?;
    u64::from_str_radix(digits, 16).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    const SOUND: &[u8] = b"\r\nPOST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 30\r\n\r\n\
        Transfer-Encoding: chunked\r\n\r\n\
        POST /b HTTP/1.1\r\ntransfer-encoding: gzip, Chunked\r\n\r\n\
        13;name=\"content-length: 1\"\r\nContent-Length: 5\r\n\r\n1\r\nx\r\n0\r\nContent-Length: 7\r\n\r\n\
        GET /c HTTP/1.1\r\n\r\nGET /d HTTP/1.1\nContent-Length: 0\n\n";
    const DOUBLED: [&[u8]; 4] = [
        b"POST /e HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST /e HTTP/1.1\r\nTransfer-Encoding: chunked\r\nX: 1\r\nContent-Length: 4\r\n\r\n",
        b"POST /e HTTP/1.1\r\nTRANSFER-ENCODING:identity\r\ncontent-length:4\r\n\r\n",
        b"POST /e HTTP/1.1\nContent-Length : 4\nTransfer-Encoding : chunked\n\n",
    ];

    fn read(pieces: &[&[u8]]) -> Framing {
        let mut framing = Framing::default();
        for piece in pieces {
            let mut rest = *piece;
            while !rest.is_empty() {
                let before = framing.complete_requests();
                let fed = framing.feed(rest);
                assert!(
                    fed == rest.len() || framing.complete_requests() == before + 1,
                    "it stops at ends only"
                );
                rest = &rest[fed..];
            }
        }
        framing
    }

    #[test]
    fn requests_are_told_apart_however_they_are_cut() {
        for cut in 0..=SOUND.len() {
            let (first, second) = SOUND.split_at(cut);
            let framing = read(&[first, second]);
            assert_eq!(
                (framing.heads, framing.first_ambiguous_request(), framing.at),
                (4, None, At::Head),
                "cut at {cut}"
            );
            assert_eq!(framing.complete_requests(), 4, "cut at {cut}");
        }
        let bytes: Vec<&[u8]> = SOUND.chunks(1).collect();
        assert_eq!((read(&bytes).heads, read(&bytes).first_ambiguous_request()), (4, None));
    }

    #[test]
    fn two_framings_are_seen_however_they_are_cut_and_whatever_came_before() {
        for doubled in DOUBLED {
            let whole = [SOUND, doubled].concat();
            for cut in 0..=whole.len() {
                let (first, second) = whole.split_at(cut);
                assert_eq!(read(&[first, second]).first_ambiguous_request(), Some(5), "cut at {cut}");
            }
            assert_eq!(read(&[doubled]).first_ambiguous_request(), Some(1));
        }
    }

    #[test]
    fn noise_is_no_reason_to_panic_and_long_lines_hide_nothing() {
        let mut rng = oorandom::Rand64::new(4);
        for _ in 0..3_000 {
            let mut noise: Vec<u8> = SOUND.to_vec();
            for _ in 0..rng.rand_range(1..8) {
                let at = rng.rand_range(0..noise.len() as u64) as usize;
                noise[at] = rng.rand_range(0..256) as u8;
            }
            read(&noise.chunks(1 + rng.rand_range(0..50) as usize).collect::<Vec<_>>());
        }
        let long = format!("GET /{} HTTP/1.1\r\nX: {}\r\n", "x".repeat(5_000), "y".repeat(9_000));
        let whole = [long.as_bytes(), b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"].concat();
        assert_eq!(read(&[&whole]).first_ambiguous_request(), Some(1));
    }

    #[test]
    fn the_end_of_each_request_is_found_to_the_byte() {
        let ends: Vec<usize> = ["29\r\n\r\n", "Content-Length: 7\r\n\r\n", "GET /c HTTP/1.1\r\n\r\n"]
            .iter()
            .filter_map(|text| {
                SOUND.windows(text.len()).position(|at| at == text.as_bytes()).map(|at| at + text.len())
            })
            .collect();
        let mut framing = Framing::default();
        let (mut fed, mut found) = (0, Vec::new());
        while fed < SOUND.len() {
            fed += framing.feed(&SOUND[fed..]);
            found.push(fed);
        }
        assert_eq!(found.len(), 4);
        assert_eq!(found[3], SOUND.len());
        assert!(ends.iter().all(|end| found.contains(end)), "{ends:?} in {found:?}");
    }

    #[test]
    fn a_head_under_way_is_known() {
        assert!(!read(&[]).in_head() && !read(&[SOUND]).in_head());
        assert!(read(&[b"G"]).in_head() && read(&[SOUND, b"GET / HTTP/1.1\r\n"]).in_head());
    }
}
