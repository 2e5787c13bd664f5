//! Names of HTTP headers: those of the callers' protocol, and those that belong to one connection.
//! There is no state. The module decides which headers are forwarded.

use http::HeaderName;

/// Time until the request's deadline, in milliseconds.
pub const DEADLINE: &str = "x-hooktrestle-deadline-ms";
/// Priority, 0 to 9. Requests with a higher one run first, among those of the same account.
pub const PRIORITY: &str = "x-hooktrestle-priority";
/// Key under which a request that is not repeatable runs at most once.
pub const REQUEST_KEY: &str = "x-hooktrestle-request-key";
/// `true` for a request that must run at most once.
pub const NOT_REPEATABLE: &str = "x-hooktrestle-not-repeatable";
/// In refusals: whether the request may have run.
pub const VERDICT: &str = "x-hooktrestle-verdict";
/// In refusals: the cause.
pub const CAUSE: &str = "x-hooktrestle-cause";
/// In refusals: time to retry after, in milliseconds.
pub const RETRY_AFTER: &str = "x-hooktrestle-retry-after-ms";

/// Prefix of headers that only callers and gateways use.
const OWN_PREFIX: &str = "x-hooktrestle-";

/// Whether a header belongs to one connection and must not be forwarded.
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

/// Whether a caller's header is forwarded to backend servers. The account's key is not.
pub(crate) fn is_forwarded(name: &HeaderName) -> bool {
    let own = name.as_str().starts_with(OWN_PREFIX) || name == http::header::AUTHORIZATION;
    !own && name != "traceparent" && !is_hop_by_hop(name)
}
