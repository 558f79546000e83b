//! The plainest reading of HTTP on a raw connection, for upstreams that break off at any byte.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// The value of a header, by the plainest reading there is.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Reads on until a head is whole; what follows it is left in `rest`.
pub async fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(at) = rest.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = rest.drain(..at + 4).collect();
            return String::from_utf8(head).ok();
        }
        if stream.read_buf(rest).await.ok()? == 0 {
            return None;
        }
    }
}

/// Reads on until a body of this length is whole, and drops it; what follows it is left in `rest`.
pub async fn read_body(stream: &mut TcpStream, rest: &mut Vec<u8>, length: usize) -> Option<()> {
    while rest.len() < length {
        if stream.read_buf(rest).await.ok()? == 0 {
            return None;
        }
    }
    rest.drain(..length);
    Some(())
}

/// Resets a connection.
pub fn reset(stream: TcpStream) {
    let socket = stream.into_std();
    // One that cannot be reset is closed.
    let _ = socket.map(|socket| rustix::net::sockopt::set_socket_linger(&socket, Some(Duration::ZERO)));
}
