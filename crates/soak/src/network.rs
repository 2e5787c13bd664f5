//! What goes wrong on the way from a gateway to the store or to a server.

use std::time::Duration;

use hooktrestle_users_standin::proxy::Proxy;
use hooktrestle_users_standin::proxy::State;
use tokio::time;

use crate::schedule::FaultKind;

/// How much later all comes on a way that is slow: many times a usual way between data centres.
const SLOW: Duration = Duration::from_millis(80);

/// A trouble of a way, until it is over.
pub async fn inject(proxy: &Proxy, kind: FaultKind, duration: Duration) {
    let state = match kind {
        FaultKind::StoreMute | FaultKind::ServerMute => return proxy.mute(),
        FaultKind::StoreReset | FaultKind::ServerReset => return proxy.reset(),
        FaultKind::StoreSlow | FaultKind::ServerSlow => State::Slow(SLOW),
        FaultKind::StoreHoldsRequests | FaultKind::ServerHoldsRequests => State::HoldsRequests,
        FaultKind::StoreHoldsAnswers | FaultKind::ServerHoldsAnswers => State::HoldsAnswers,
        _ => return,
    };
    proxy.set_state(state);
    time::sleep(duration).await;
    proxy.set_state(State::Open);
}
