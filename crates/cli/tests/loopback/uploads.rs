//! Requests with long bodies, and upstreams that handle their connections themselves.

use std::net::{SocketAddr, TcpListener, TcpStream};

use super::request;

/// A body whose bytes depend on their position, so that lost or moved bytes are noticed.
pub fn patterned_body(length: usize) -> Vec<u8> {
    (0..length).map(|position| (position % 251) as u8 ^ (position / 251) as u8).collect()
}

/// The head of a request whose body has this length, or is chunked if there is none.
pub fn upload_head(class: &str, length: Option<usize>) -> String {
    let framing = match length {
        Some(length) => format!("Content-Length: {length}"),
        None => "Transfer-Encoding: chunked".to_owned(),
    };
    let text = request(class, 6_000);
    let end = text.find("\r\n\r\n").unwrap();
    let head: Vec<&str> =
        text[..end].split("\r\n").filter(|line| !line.starts_with("Content-Length")).collect();
    format!("{}\r\n{framing}\r\n\r\n", head.join("\r\n"))
}

/// A body in chunks of this size, with chunk extensions and a trailer field.
pub fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let chunk = |c: &[u8]| [format!("{:X};x=y\r\n", c.len()).as_bytes(), c, b"\r\n"].concat();
    let chunks: Vec<u8> = body.chunks(size).flat_map(chunk).collect();
    [&chunks[..], b"0\r\nX-Sum: 7\r\n\r\n"].concat()
}

/// An upstream that passes each connection to a function.
pub fn start_upstream(serve: fn(TcpStream)) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}
