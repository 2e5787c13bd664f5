//! HTTP headers of requests and answers that a gateway forwards: removes the hop-by-hop headers and
//! reads values as text or numbers. It keeps no state.

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Hop-by-hop headers, in addition to those listed in `Connection`.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Hop-by-hop headers without a constant in the `http` crate.
const HOP_BY_HOP_NONSTANDARD: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes the hop-by-hop headers, including those listed in `Connection` that are not in
/// `end_to_end`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap, end_to_end: &[&HeaderName]) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        // These stay even if `Connection` lists them: without them the message would change its
        // meaning.
        .filter(|name| *name != header::HOST && *name != header::CONTENT_LENGTH)
        .filter(|name| !end_to_end.contains(&name))
        .collect();
    for name in &named {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_NONSTANDARD {
        headers.remove(name);
    }
}

/// A header's value as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header's value as an unsigned integer.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}
