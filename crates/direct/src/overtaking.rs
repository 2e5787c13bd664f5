//! Requests that wait at a server while other servers answer later ones.
//! Input: the attempt of a request, and the beginnings of other answers. It keeps no state.
//! Decides when another server is asked as well; see [`crate::second_attempt`].

use std::future;
use std::time::Duration;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::attempts::Attempts;
use hooktrestle_core::direct::overtaken;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::util::arena::Key;
use tokio::time;

use crate::gateway::Gateway;
use crate::platform::Platform;
use crate::request::Request;

/// Time after a suspension of this process in which answers that arrived meanwhile may still be
/// unread.
const READ_BACKLOG_GRACE: Millis = Millis(200);

/// Interval between two checks of whether an overtaken request may be sent to another server.
const RETRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until a request is overtaken by requests to other servers that were sent later, and may be
/// sent to another server. Never returns if it must not run twice.
pub async fn overtaken<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<P>,
    attempts: &Attempts,
    server: Key<Server>,
    began_at: Millis,
) {
    if !request.route().is_repeatable() {
        return future::pending().await;
    }
    loop {
        let now = gateway.now();
        let next = gateway.with_heads(&request.service, |heads| heads.next(server, began_at, now));
        match next {
            overtaken::Next::Wait(until) => gateway.clock.sleep_until(until).await,
            // Answers that arrived while this process was suspended may not have been read yet.
            overtaken::Next::GiveUp if gateway.recent_suspension(READ_BACKLOG_GRACE).is_some() => {
                time::sleep(Duration::from(READ_BACKLOG_GRACE)).await;
            }
            overtaken::Next::GiveUp if can_retry(gateway, request, attempts, server) => return,
            overtaken::Next::GiveUp => time::sleep(RETRY_CHECK_INTERVAL).await,
        }
    }
}

/// Whether a request that waits at a server may be sent to another one.
fn can_retry<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<P>,
    attempts: &Attempts,
    server: Key<Server>,
) -> bool {
    let demand = request.demand(attempts.tried());
    attempts.allows_another()
        && gateway.budget_has_retry(&request.service)
        && gateway.with_pool(|pool| pool.has_alternative(&demand, server, gateway.now()))
}
