//! Which headers belong to a message and which to the connection it came on (RFC 9110, 7.6.1).

use hyper::header::{self, HeaderMap, HeaderName};

/// The headers that are not about one connection or its framing.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    const OF_CONNECTION: [HeaderName; 9] = [
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
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let of_connection = OF_CONNECTION.contains(name) || name == "keep-alive";
        if !of_connection && !named.iter().any(|n| n == name.as_str()) {
            kept.append(name, value.clone());
        }
    }
    kept
}
