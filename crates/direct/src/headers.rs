//! Which headers pass a gateway.

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Headers that concern one connection only, beside those that `Connection` names.
const ONE_CONNECTION: [HeaderName; 8] = [
    header::CONNECTION,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The same, of those that have no constant.
const ONE_CONNECTION_TOO: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes the headers that concern one connection only.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        // These stay whatever `Connection` says: without them the message is another one.
        .filter(|name| *name != header::HOST && *name != header::CONTENT_LENGTH)
        .collect();
    for name in &named {
        headers.remove(name);
    }
    for name in &ONE_CONNECTION {
        headers.remove(name);
    }
    for name in ONE_CONNECTION_TOO {
        headers.remove(name);
    }
}

/// A header's value as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header's value as a whole number.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}
