//! Polling of stalled groups, which begins at the first refusal of a server of a group.
//! Input are reports of engines through their sidecars; the pool keeps which servers are stalled.
//! This module decides which servers are excluded because their group is stalled.
//!
//! If one rank is lost, all ranks of its group refuse. Each gateway would detect that rank by rank,
//! at the price of one retry each. So at the first such refusal a gateway asks the sidecar of each
//! server of the service, which has no price, and polls as long as a group is stalled.

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

/// Interval between two polls while a group is stalled. Groups take 600 ms to open again.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Polls groups until the process ends.
pub async fn watch<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        gateway.stall_detected.notified().await;
        while poll(&gateway).await {
            time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Polls every server whose engine belongs to a group; returns whether one is stalled.
async fn poll<P: Platform>(gateway: &Rc<Gateway<P>>) -> bool {
    let serving = gateway.serving();
    let grouped = serving.services.values().filter(|service| service.experts.is_some());
    let servers: Vec<Key<Server>> = gateway
        .with_pool(|pool| grouped.flat_map(|service| pool.present_of(&service.name)).collect());
    let reports = servers
        .iter()
        .map(|key| async { (*key, engine::report(gateway, *key, Path::Sidecar).await) });
    let mut stalled = 0;
    let mut changed = 0;
    for (key, report) in join_all(reports).await {
        // A server without a report stays eligible, and goes into cooldown if it refuses.
        let is_stalled = report.is_some_and(|report| !report.state.open);
        stalled += usize::from(is_stalled);
        changed += usize::from(gateway.with_pool(|pool| pool.set_stalled(key, is_stalled)));
    }
    if changed > 0 {
        gateway.event_log.state(format_args!("{stalled} servers are in groups that stand still"));
    }
    stalled > 0
}
