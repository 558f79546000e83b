//! Reads answers as a strict client does: a final answer is whole only when its framing says so. Does no I/O: it is fed
//! what came and told how the connection ended.

/// More than this before the end of a head is no answer.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A final answer that is whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinalAnswer {
    /// Its status.
    pub status: u16,
    /// Its body, without framing.
    pub body: Vec<u8>,
    /// Whether its connection may carry another request.
    pub keeps_alive: bool,
    /// Bytes that came behind its end.
    pub surplus_bytes: usize,
}

/// How the other side ended a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// An orderly end of its sending.
    Closed,
    /// A reset or another error.
    Reset,
}

/// Why there is no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Incomplete {
    /// Nothing has come.
    Nothing,
    /// The head or the body is not whole, or is no HTTP: the client can tell.
    Torn,
}

/// The length of a body, as its head tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Length {
    Known(usize),
    Chunked,
    UntilClose,
}

#[derive(Debug, Clone, Copy)]
struct Head {
    status: u16,
    length: Length,
    keeps_alive: bool,
    /// Where the body begins.
    end: usize,
}

/// What has come on a connection since a request was written.
#[derive(Debug, Default)]
pub struct AnswerParser {
    bytes: Vec<u8>,
    head: Option<Head>,
    /// Of a chunked body: what was read, and where the next chunk begins.
    body: Vec<u8>,
    next_chunk: usize,
    is_malformed: bool,
}

impl AnswerParser {
    /// Whether anything of a final answer has come.
    pub fn has_begun(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Whether anything of a final answer's body has come.
    pub fn has_body(&self) -> bool {
        self.head.is_some_and(|head| self.bytes.len() > head.end)
    }

    /// Takes in what has come. The answer, if it is whole now.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<FinalAnswer> {
        self.bytes.extend_from_slice(bytes);
        if self.is_malformed || !self.read_head() {
            return None;
        }
        let head = self.head?;
        match head.length {
            Length::Known(length) => {
                let body = self.bytes.get(head.end..head.end.checked_add(length)?)?.to_vec();
                Some(self.whole(head, body, head.end + length))
            }
            Length::Chunked => {
                let end = self.read_chunks()?;
                let body = std::mem::take(&mut self.body);
                Some(self.whole(head, body, end))
            }
            Length::UntilClose => None,
        }
    }

    /// Takes in that the connection has ended before an answer was whole.
    ///
    /// # Errors
    /// The answer is not whole.
    pub fn finish(self, end: ConnectionEnd) -> Result<FinalAnswer, Incomplete> {
        match self.head {
            _ if self.bytes.is_empty() => Err(Incomplete::Nothing),
            Some(head) if head.length == Length::UntilClose && end == ConnectionEnd::Closed => {
                let body = self.bytes.get(head.end..).unwrap_or_default().to_vec();
                Ok(self.whole(head, body, self.bytes.len()))
            }
            _ => Err(Incomplete::Torn),
        }
    }

    fn whole(&self, head: Head, body: Vec<u8>, end: usize) -> FinalAnswer {
        let surplus_bytes = self.bytes.len().saturating_sub(end);
        let keeps_alive = head.keeps_alive && surplus_bytes == 0;
        FinalAnswer { status: head.status, body, keeps_alive, surplus_bytes }
    }

    /// Whether the head of the final answer has been read.
    fn read_head(&mut self) -> bool {
        while self.head.is_none() {
            let Some(end) = self.bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
                self.is_malformed = self.bytes.len() > MAX_HEAD_BYTES;
                return false;
            };
            match parse_head(&self.bytes[..end], end + 4) {
                // An interim answer.
                Some(head) if head.status < 200 => drop(self.bytes.drain(..end + 4)),
                Some(head) => {
                    self.next_chunk = head.end;
                    self.head = Some(head);
                }
                None => {
                    self.is_malformed = true;
                    return false;
                }
            }
        }
        true
    }

    /// Reads chunks as far as they are whole. Where the body ends, if that has come.
    fn read_chunks(&mut self) -> Option<usize> {
        loop {
            let rest = self.bytes.get(self.next_chunk..)?;
            let line = rest.windows(2).position(|two| two == b"\r\n")?;
            let size = std::str::from_utf8(&rest[..line]).ok().and_then(|line| line.split(';').next());
            let Some(size) = size.and_then(|size| usize::from_str_radix(size.trim(), 16).ok()) else {
                self.is_malformed = true;
                return None;
            };
            let begin = self.next_chunk + line + 2;
            if size == 0 {
                return self.end_of_trailers(begin);
            }
            let end = begin.checked_add(size)?;
            if self.bytes.get(end..end.checked_add(2)?)? != b"\r\n" {
                self.is_malformed = true;
                return None;
            }
            self.body.extend_from_slice(&self.bytes[begin..end]);
            self.next_chunk = end + 2;
        }
    }

    fn end_of_trailers(&self, begin: usize) -> Option<usize> {
        let rest = self.bytes.get(begin..)?;
        if rest.starts_with(b"\r\n") {
            return Some(begin + 2);
        }
        rest.windows(4).position(|four| four == b"\r\n\r\n").map(|at| begin + at + 4)
    }
}

fn parse_head(head: &[u8], end: usize) -> Option<Head> {
    let head = std::str::from_utf8(head).ok()?;
    let mut lines = head.split("\r\n");
    let status_line = lines.next()?.strip_prefix("HTTP/1.1 ")?;
    let status = status_line.split(' ').next()?.parse().ok()?;
    let mut lengths = Vec::new();
    let (mut chunked, mut keeps_alive) = (false, true);
    for line in lines {
        let (name, value) = line.split_once(':')?;
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => lengths.push(value.parse().ok()?),
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") => chunked = true,
            "transfer-encoding" => return None,
            "connection" => keeps_alive = !value.eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    let length = match (lengths.as_slice(), chunked) {
        _ if matches!(status, 100..200 | 204 | 304) => Length::Known(0),
        ([], true) => Length::Chunked,
        ([length], false) => Length::Known(*length),
        ([], false) => Length::UntilClose,
        // Two framings, or two lengths.
        _ => return None,
    };
    Some(Head { status, length, keeps_alive: keeps_alive && length != Length::UntilClose, end })
}

#[cfg(test)]
mod tests;
