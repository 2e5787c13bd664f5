//! Exit of streams from servers that are reported as slow, before they end there.
//! Input: reports of slow servers, the attempts of a stream, the retry budget. There is no state.
//! It decides whether a stream may leave its server, and waits until it may.
//!
//! All streams of a group wait in each pass for a slow rank as long as it runs a single stream, so
//! each of its streams leaves once another server answers: also one that waits for the head of its
//! answer.

use std::future;
use std::time::Duration;

use hooktrestle_core::direct::attempts::Attempts;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::util::arena::Key;

use crate::gateway::Gateway;
use crate::platform::Platform;
use crate::request::Request;

/// Time in which another server has to begin its answer to a stream that is to leave a slow one.
/// Nothing is forwarded meanwhile, and callers give up after 2,000 ms.
pub const SLOW_EXIT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Whether a server is slow, and one that is not slow can take over a stream that is there.
pub fn can_leave<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<P>,
    attempts: &Attempts,
    server: Key<Server>,
) -> bool {
    if !attempts.allows_another() {
        return false;
    }
    let now = gateway.now();
    let has_better_server = gateway.with_pool(|pool| {
        let demand = request.demand(attempts.tried());
        pool.is_slow(server, now) && pool.has_alternative(&demand, server, now)
    });
    has_better_server && gateway.budget_has_retry(&request.service)
}

/// Waits until a stream may leave a server that is reported as slow while the stream is there.
/// Never returns if the request may not be sent again.
pub async fn may_leave<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<P>,
    attempts: &Attempts,
    server: Key<Server>,
) {
    if !request.is_stream() || !request.route().is_repeatable() {
        return future::pending().await;
    }
    loop {
        gateway.slow_servers_reported.notified().await;
        if can_leave(gateway, request, attempts, server) {
            return;
        }
    }
}
