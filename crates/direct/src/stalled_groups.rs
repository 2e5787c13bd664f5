//! Groups that stand still: found at the first refusal, and left out until they go on.
//!
//! Where one rank is lost, all ranks of its group refuse. Each gateway would find that out rank by
//! rank, at the price of a repeat each. So at the first such refusal it asks the process beside each
//! server of the service, which answers at no price, and asks on while any group stands still.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::util::arena::Key;
use tokio::time;

use crate::engine;
use crate::engine::Path;
use crate::gateway::Gateway;
use crate::platform::Platform;

/// Time between two looks while a group stands still. Groups take 600 ms to open again.
const LOOK_EVERY: Duration = Duration::from_millis(150);

/// Looks after groups until the process ends.
pub async fn watch<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        gateway.stall_detected.notified().await;
        while look(&gateway).await {
            time::sleep(LOOK_EVERY).await;
        }
    }
}

/// Looks at every server whose engine belongs to a group; whether one stands still.
async fn look<P: Platform>(gateway: &Rc<Gateway<P>>) -> bool {
    let serving = gateway.serving();
    let grouped = serving.services.values().filter(|service| service.experts.is_some());
    let servers: Vec<Key<Server>> = gateway
        .with_pool(|pool| grouped.flat_map(|service| pool.present_of(&service.name)).collect());
    let asked = servers
        .iter()
        .map(|key| async { (*key, engine::report(gateway, *key, Path::Sidecar).await) });
    let mut standing = 0;
    let mut changed = 0;
    for (key, report) in join_all(asked).await {
        // What is not known is tried, and rests if it refuses.
        let stands = report.is_some_and(|report| !report.state.open);
        standing += usize::from(stands);
        changed += usize::from(gateway.with_pool(|pool| pool.set_stalled(key, stands)));
    }
    if changed > 0 {
        gateway.event_log.state(format_args!("{standing} servers are in groups that stand still"));
    }
    standing > 0
}
