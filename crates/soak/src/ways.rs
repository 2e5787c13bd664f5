//! What goes wrong on the way from a gateway to the store or to a server.

use std::time::Duration;

use hooktrestle_users_standin::proxy::Proxy;
use hooktrestle_users_standin::proxy::State;
use tokio::time;

use crate::schedule::Kind;

/// How much later all comes on a way that is slow: many times a usual way between data centres.
const SLOW: Duration = Duration::from_millis(80);

/// A trouble of a way, until it is over.
pub async fn trouble(way: &Proxy, kind: Kind, lasts: Duration) {
    let state = match kind {
        Kind::StoreMute | Kind::ServerMute => return way.freeze(),
        Kind::StoreReset | Kind::ServerReset => return way.reset(),
        Kind::StoreSlow | Kind::ServerSlow => State::Slow(SLOW),
        Kind::StoreHoldsRequests | Kind::ServerHoldsRequests => State::HoldsRequests,
        Kind::StoreHoldsAnswers | Kind::ServerHoldsAnswers => State::HoldsAnswers,
        _ => return,
    };
    way.set_state(state);
    time::sleep(lasts).await;
    way.set_state(State::Open);
}
