//! HTTP/1.1 on blocking sockets, and the record.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The record file, to which each line is appended by one write.
#[derive(Clone)]
pub struct Record(Arc<File>);

impl Record {
    pub fn open(path: &str) -> Record {
        let file = OpenOptions::new().append(true).create(true).open(path).unwrap_or_else(|error| {
            eprintln!("{path}: {error}");
            std::process::exit(2)
        });
        Record(Arc::new(file))
    }

    pub fn line(&self, text: &str) {
        let line = format!("{} {text}\n", unix_ms());
        let _ = (&*self.0).write_all(line.as_bytes());
    }
}

/// A new id for a request.
pub fn next_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// A random number below this one.
pub fn random(below: u64) -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish() % below
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// A head: its first line and its headers, with names in lower case.
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    at: usize,
}

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    Whole,
    Cut,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new(), at: 0 }
    }

    /// Whether no byte waits, neither here nor in the socket, which must not block.
    pub fn is_quiet(&self) -> bool {
        let peeked = self.stream.peek(&mut [0; 1]);
        self.at == self.buffer.len() && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    fn fill(&mut self) -> io::Result<usize> {
        if self.at > 0 {
            self.buffer.drain(..self.at);
            self.at = 0;
        }
        let mut chunk = [0; 64 << 10];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }

    /// One line without its end; `None` at the end of the stream.
    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            let rest = &self.buffer[self.at..];
            if let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                let text = String::from_utf8_lossy(&rest[..end]).trim_end_matches('\r').to_owned();
                self.at += end + 1;
                return Ok(Some(text));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// The next head; `None` at the end of the stream.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let first = loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => {}
                Some(line) => break line,
            }
        };
        let mut headers = Vec::new();
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => return Ok(Some(Head { first, headers })),
                Some(line) => {
                    if let Some((name, value)) = line.split_once(':') {
                        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
                    }
                }
            }
        }
    }

    fn take(&mut self, mut bytes: usize, into: &mut Vec<u8>) -> io::Result<BodyEnd> {
        while bytes > 0 {
            if self.at == self.buffer.len() && self.fill()? == 0 {
                return Ok(BodyEnd::Cut);
            }
            let taken = bytes.min(self.buffer.len() - self.at);
            into.extend_from_slice(&self.buffer[self.at..self.at + taken]);
            (self.at, bytes) = (self.at + taken, bytes - taken);
        }
        Ok(BodyEnd::Whole)
    }

    /// The body that follows this head. What came of a body that was cut is in `into` as well.
    pub fn body(&mut self, head: &Head, is_answer: bool, into: &mut Vec<u8>) -> io::Result<BodyEnd> {
        let chunked = head.get("transfer-encoding").is_some_and(|value| value.contains("chunked"));
        if chunked {
            loop {
                let Some(line) = self.line()? else { return Ok(BodyEnd::Cut) };
                let size = line.split(';').next().unwrap_or_default().trim();
                let Ok(size) = usize::from_str_radix(size, 16) else { return Ok(BodyEnd::Cut) };
                if size == 0 {
                    while let Some(line) = self.line()? {
                        if line.is_empty() {
                            return Ok(BodyEnd::Whole);
                        }
                    }
                    return Ok(BodyEnd::Cut);
                }
                if self.take(size, into)? == BodyEnd::Cut || self.line()?.is_none() {
                    return Ok(BodyEnd::Cut);
                }
            }
        }
        match head.get("content-length").and_then(|text| text.parse().ok()) {
            Some(length) => self.take(length, into),
            None if is_answer => loop {
                into.extend_from_slice(&self.buffer[self.at..]);
                self.at = self.buffer.len();
                if self.fill()? == 0 {
                    return Ok(BodyEnd::Whole);
                }
            },
            None => Ok(BodyEnd::Whole),
        }
    }
}

/// Connects; waits for that for 2 s at most.
pub fn connect(address: &str) -> io::Result<Connection> {
    let address = address.parse().map_err(io::Error::other)?;
    Ok(Connection::new(TcpStream::connect_timeout(&address, Duration::from_secs(2))?))
}

/// Asks `/up` until it says 200.
pub fn wait_until_up(address: &str, within: Duration) -> bool {
    let started = Instant::now();
    while started.elapsed() < within {
        let status = connect(address).and_then(|mut connection| {
            connection.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            connection.stream.write_all(b"GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
            Ok(connection.head()?.map_or(0, |head| head.status()))
        });
        if matches!(status, Ok(200)) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Short requests on one kept connection, until `stop`.
pub fn short_requests(address: &str, stop: &AtomicBool, served: &AtomicU64) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut connection) = connect(address) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(3)));
        while !stop.load(Ordering::Relaxed) {
            let request = format!(
                "GET /page-fetch?k=p HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {}\r\n\
                 X-Priority-Class: page-fetch\r\nX-Timeout-Ms: 800\r\n\r\n",
                next_id()
            );
            if connection.stream.write_all(request.as_bytes()).is_err() {
                break;
            }
            let Ok(Some(head)) = connection.head() else { break };
            if connection.body(&head, true, &mut Vec::new()).is_err() {
                break;
            }
            served.fetch_add(u64::from(head.status() == 200), Ordering::Relaxed);
            if head.get("connection") == Some("close") {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Sends a signal to a process that the case has started.
pub fn signal(name: &str, pid: &str, record: &Record) {
    let sent = std::process::Command::new("kill").arg(format!("-{name}")).arg(pid).status();
    record.line(&format!("signal {name} pid={pid} done={}", sent.is_ok_and(|status| status.success())));
}
