//! Separates end-to-end headers from those of one connection (RFC 9110, 7.6.1), and tells the memory of a head.

use hyper::header::{self, HeaderMap, HeaderName};

/// A head of up to this size needs no memory of the budget: every connection has as much.
pub const UNCHARGED_HEAD_BYTES: usize = 8 << 10;
/// Memory in bytes of a longer head: it is kept in the read buffer of its connection, so that the body needs another one, and is
/// written in one piece.
pub const LONG_HEAD_BYTES: usize = 64 << 10;

/// Whether a head with these headers, and a target of `target_bytes`, needs [`LONG_HEAD_BYTES`] of memory.
pub fn is_long(headers: &HeaderMap, target_bytes: usize) -> bool {
    let fields = headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    fields.sum::<usize>() + target_bytes > UNCHARGED_HEAD_BYTES
}

/// The headers that are forwarded: those that don't concern one connection or its framing.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    const HOP_BY_HOP: [HeaderName; 9] = [
        header::CONNECTION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
    ];
    let named_by_connection: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let hop_by_hop = HOP_BY_HOP.contains(name) || name == "keep-alive";
        if !hop_by_hop && !named_by_connection.iter().any(|named| named == name.as_str()) {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}
