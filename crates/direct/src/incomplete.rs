//! Answers that end incomplete for their callers: one log line for each, and a count by reason.
//! Input: the progress of the request, and why its answer ends. It keeps no state of its own.
//! Decides what the line says.
//!
//! A caller that closes its connection is no such end.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::pool::Pool;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::util::arena::Key;
use hooktrestle_schema::IncompleteReason;
use hooktrestle_schema::IncompleteStep;
use hooktrestle_schema::ServerListing;

use crate::gateway::Gateway;
use crate::platform::Platform;
use crate::request_progress::RequestProgress;

/// Records that the answer to a request ends incomplete; only the first reason counts.
pub fn record<P: Platform>(
    gateway: &Gateway<P>,
    request: &RequestProgress,
    reason: IncompleteReason,
) {
    if request.end_incomplete() {
        gateway.metrics.record_incomplete(reason);
        gateway.event_log.incomplete(request.id_text(), || step(gateway, request, reason));
    }
}

fn step<P: Platform>(
    gateway: &Gateway<P>,
    request: &RequestProgress,
    reason: IncompleteReason,
) -> IncompleteStep {
    let now = gateway.now();
    let until = |at: Millis| at.0.cast_signed() - now.0.cast_signed();
    let server = request.server();
    // A server that truncates its answer has ended its attempt.
    let has_server_ended =
        matches!(reason, IncompleteReason::BrokenOff | IncompleteReason::Refused);
    let unread_bytes = request.reader().map_or(0, |id| gateway.readers.held_bytes_of(id));
    IncompleteStep {
        reason,
        stage: request.stage(),
        route: request.route().map(|route| route.name().to_owned()),
        server_number: server.map(|key| key.number()),
        server: server.map(|key| gateway.with_pool(|pool| pool.server(key).listed.id.clone())),
        answer_bytes: request.answer_bytes() as u64,
        unread_bytes: (unread_bytes > 0).then_some(unread_bytes as u64),
        after_event_number: request.last_event_id(),
        age_ms: now.since(request.received_at).0,
        until_deadline_ms: request.deadline().map(until),
        attempt_open: request.has_open_attempt() && !has_server_ended,
        server_quiet_ms: request.answer_received_at().map(|at| now.since(at).0),
        server_listing: server.map(|key| gateway.with_pool(|pool| listing(pool, key))),
        not_resumed: request.not_resumed().filter(|_| has_server_ended),
        stopping_ms: gateway.stopping_for(now).map(|time| time.0),
    }
}

fn listing(pool: &Pool, server: Key<Server>) -> ServerListing {
    match () {
        () if !pool.is_present(server) => ServerListing::Unlisted,
        () if pool.server(server).is_leaving() => ServerListing::Leaving,
        () => ServerListing::Open,
    }
}
