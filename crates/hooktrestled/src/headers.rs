//! HTTP headers: those of the callers' protocol, and those that belong to one connection.

use http::HeaderName;

/// Time left to the request, in milliseconds.
pub const DEADLINE: &str = "x-hooktrestle-deadline-ms";
/// 0 to 9; the higher goes first among the account's own requests.
pub const PRIORITY: &str = "x-hooktrestle-priority";
/// Key under which a request that is not repeatable runs at most once.
pub const REQUEST_KEY: &str = "x-hooktrestle-request-key";
/// `true` for a request that must run at most once.
pub const NOT_REPEATABLE: &str = "x-hooktrestle-not-repeatable";
/// In refusals: whether the request may have run.
pub const VERDICT: &str = "x-hooktrestle-verdict";
/// In refusals: why.
pub const CAUSE: &str = "x-hooktrestle-cause";
/// In refusals: when to come back, in milliseconds.
pub const RETRY_AFTER: &str = "x-hooktrestle-retry-after-ms";

/// Prefix of all headers that are between callers and gateways only.
const OWN_PREFIX: &str = "x-hooktrestle-";

/// Whether a header belongs to one connection and must not be passed on.
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "host"
    )
}

/// Whether a caller's header is passed on to backend servers: the account's key stays here.
pub(crate) fn is_forwarded(name: &HeaderName) -> bool {
    let own = name.as_str().starts_with(OWN_PREFIX) || name == http::header::AUTHORIZATION;
    !own && name != "traceparent" && !is_hop_by_hop(name)
}
