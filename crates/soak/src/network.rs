//! Network faults: delays, blocks and resets on the proxies in front of the store and the servers.
//! Input: a proxy, the kind of fault, its target and its duration. State: none of its own.
//! Decides which state of the proxy represents the fault.

use std::time::Duration;

use hooktrestle_users_standin::proxy::Proxy;
use hooktrestle_users_standin::proxy::State;
use tokio::time;

use crate::endless;
use crate::schedule::FaultKind;

/// Added delay of a slow connection: many times the usual delay between data centres.
const SLOW: Duration = Duration::from_millis(80);

/// Injects a fault into the connections of a proxy, and waits until the fault has ended.
pub async fn inject(proxy: &Proxy, kind: FaultKind, target: usize, duration: Duration) {
    let state = match kind {
        FaultKind::StoreMute | FaultKind::ServerMute => return proxy.freeze(),
        FaultKind::StoreReset | FaultKind::ServerReset => return proxy.reset(),
        FaultKind::StoreSlow | FaultKind::ServerSlow => State::Slow(SLOW),
        FaultKind::StoreHoldsRequests | FaultKind::ServerHoldsRequests => State::HoldsRequests,
        FaultKind::StoreHoldsAnswers | FaultKind::ServerHoldsAnswers => State::HoldsAnswers,
        FaultKind::StoreEndless => {
            proxy.set_state(State::AnswersEndlessly(endless::store_place(target)));
            // Ends the calls that wait for changes, so that others follow.
            proxy.reset();
            time::sleep(duration).await;
            return proxy.set_state(State::Open);
        }
        _ => return,
    };
    proxy.set_state(state);
    time::sleep(duration).await;
    proxy.set_state(State::Open);
}
