//! How fast the ranks of a service are, and what gateways are told of those that are slow.

use std::collections::BTreeMap;

use futures_util::future::join_all;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::slow_servers::SlowServerReport;
use hooktrestle_core::util::arena::Key;

use crate::engine;
use crate::engine::Path;
use crate::maps::Service;
use crate::platform::Platform;

/// Pace from which a server is given no requests while others have room: all ranks of its group wait
/// for it.
const SLOW_PACE: f64 = 1.4;

/// Time between two tellings while servers are slow.
const TELL_EVERY: Millis = Millis(1_000);

/// Bounds of what a rank tells of its pace: beyond the upper one it gets next to no tokens anyway.
const PACES: (f64, f64) = (0.1, 100.0);

/// A rank's pace where none was told: its work takes the usual time.
const USUAL_PACE: f64 = 1.0;

/// The paces that ranks told last, and the last finding.
pub(super) struct Paces {
    /// How long each rank's work takes over the usual time, as far as it was told.
    by_rank: BTreeMap<Key<Server>, f64>,
    /// What gateways were told of slow servers, and when.
    told: SlowServerReport,
    told_at: Millis,
}

impl Paces {
    /// Nothing was told yet; the leader with this fencing token finds.
    pub(super) fn new(fence: u64) -> Paces {
        let told = SlowServerReport { fencing_token: fence, ..SlowServerReport::default() };
        Paces { by_rank: BTreeMap::new(), told, told_at: Millis::ZERO }
    }

    /// Ranks that are slow.
    fn slow(&self) -> impl Iterator<Item = Key<Server>> {
        self.by_rank.iter().filter(|(_, pace)| **pace >= SLOW_PACE).map(|(key, _)| *key)
    }

    /// Whether these slow servers are told now: where that has changed, and each second while some
    /// are.
    fn is_due(&self, servers: &[String], now: Millis) -> bool {
        let again = !servers.is_empty() && now.since(self.told_at) >= TELL_EVERY;
        again || servers != self.told.servers
    }
}

impl<P: Platform> Service<P> {
    /// Reads how fast the ranks are, where that costs nothing. One that does not tell counts as usual.
    pub(super) async fn read_paces(&self, ranks: &[Key<Server>]) {
        if self.gateway.sidecars_port == 0 {
            return;
        }
        let asked = ranks.iter().map(|key| async {
            let report = engine::report(&self.gateway, *key, Path::Sidecar).await?;
            Some((*key, report.pace.clamp(PACES.0, PACES.1)))
        });
        let told: BTreeMap<Key<Server>, f64> =
            join_all(asked).await.into_iter().flatten().collect();
        self.note_reached(told.len(), ranks.len());
        self.paces.borrow_mut().by_rank = told;
        self.tell_slow();
    }

    /// Tells all gateways which servers are slow, if that is due.
    fn tell_slow(&self) {
        let mut paces = self.paces.borrow_mut();
        let id =
            |key: Key<Server>| self.gateway.with_pool(|pool| pool.server(key).listed.id.clone());
        let servers: Vec<String> = paces.slow().map(id).collect();
        let now = self.gateway.now();
        if !paces.is_due(&servers, now) {
            return;
        }
        if servers != paces.told.servers {
            let (all, name) = (paces.by_rank.len(), &self.name);
            let event_log = &self.gateway.event_log;
            event_log.state(format_args!("{} of {all} servers of {name} are slow", servers.len()));
        }
        paces.told_at = now;
        paces.told.number += 1;
        paces.told.servers = servers;
        self.gateway.apply_slow_server_report(&self.name, &paces.told);
    }

    /// The paces of these ranks, in their order.
    pub(super) fn paces_of(&self, ranks: &[Key<Server>]) -> Vec<f64> {
        let known = &self.paces.borrow().by_rank;
        ranks.iter().map(|key| known.get(key).copied().unwrap_or(USUAL_PACE)).collect()
    }
}
