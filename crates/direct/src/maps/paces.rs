//! Paces of the ranks of a service, and reports of slow servers to all gateways.
//! Input: engine reports. State: the last pace of each rank, and the last slow-server report.
//! It decides which servers are slow, and when to report them.
//!
//! A rank's pace is how long its work takes, as a multiple of the usual time.

use std::collections::BTreeMap;

use futures_util::future::join_all;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::room::groups::GroupId;
use hooktrestle_core::direct::room::groups::RankReading;
use hooktrestle_core::direct::slow_servers::SlowServerReport;
use hooktrestle_core::util::arena::Key;
use hooktrestle_core::util::hash;

use crate::engine;
use crate::engine::Path;
use crate::maps::Service;
use crate::platform::EngineReport;
use crate::platform::Platform;

/// Pace from which a server is slow and gets no requests while other servers have room, since all
/// ranks of its group wait for it.
const SLOW_PACE: f64 = 1.4;

/// Time between two reports while servers are slow.
const REPORT_INTERVAL: Millis = Millis(1_000);

/// Bounds to which the pace that a rank reports is limited. A rank beyond the upper one gets next
/// to no tokens anyway.
const PACE_BOUNDS: (f64, f64) = (0.1, 100.0);

/// Pace of a rank that reported none: its work takes the usual time.
const USUAL_PACE: f64 = 1.0;

/// The last paces that ranks reported, and the last report of slow servers.
pub(super) struct Paces {
    /// The pace of each rank that reported one in the last read.
    by_rank: BTreeMap<Key<Server>, f64>,
    /// The last report to all gateways, and its time.
    last_report: SlowServerReport,
    reported_at: Millis,
}

impl Paces {
    /// No paces yet, for the leader with this fencing token.
    pub(super) fn new(fencing_token: u64) -> Paces {
        let last_report = SlowServerReport { fencing_token, ..SlowServerReport::default() };
        Paces { by_rank: BTreeMap::new(), last_report, reported_at: Millis::ZERO }
    }

    /// Ranks that are slow.
    fn slow(&self) -> impl Iterator<Item = Key<Server>> {
        self.by_rank.iter().filter(|(_, pace)| **pace >= SLOW_PACE).map(|(key, _)| *key)
    }

    /// Whether these slow servers are to be reported now: if they differ from the last report, and
    /// each second while there are any.
    fn is_due(&self, servers: &[String], now: Millis) -> bool {
        let repeat_due = !servers.is_empty() && now.since(self.reported_at) >= REPORT_INTERVAL;
        repeat_due || servers != self.last_report.servers
    }
}

impl<P: Platform> Service<P> {
    /// Reads how fast and how occupied the ranks are through sidecars, which has no price. A rank
    /// without an answer has the usual pace.
    pub(super) async fn read_paces(&self, ranks: &[Key<Server>]) {
        if self.gateway.sidecars_port == 0 {
            return;
        }
        let reads = ranks.iter().map(|key| async {
            let report = engine::report(&self.gateway, *key, Path::Sidecar).await?;
            Some((*key, report))
        });
        let received: Vec<(Key<Server>, EngineReport)> =
            join_all(reads).await.into_iter().flatten().collect();
        self.record_reached(received.len(), ranks.len());
        let reading = |(key, report): &(Key<Server>, EngineReport)| self.reading(*key, report);
        let readings: Vec<RankReading> = received.iter().map(reading).collect();
        self.gateway.record_rank_readings(&self.name, &readings);
        let pace = |report: &EngineReport| report.pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        self.paces.borrow_mut().by_rank =
            received.iter().map(|(key, report)| (*key, pace(report))).collect();
        self.report_slow_servers();
    }

    /// The report of a rank, for the room of the service.
    fn reading(&self, key: Key<Server>, report: &EngineReport) -> RankReading {
        RankReading {
            server: self.gateway.with_pool(|pool| pool.incarnation(key)),
            group: GroupId(hash::of(&report.group)),
            epoch: report.state.epoch,
            pass: report.state.pass,
            is_open: report.state.open,
            pace: report.pace,
            running: report.running,
            queued: report.queued,
        }
    }

    /// Reports the slow servers to all gateways, if that is due.
    fn report_slow_servers(&self) {
        let mut paces = self.paces.borrow_mut();
        let id =
            |key: Key<Server>| self.gateway.with_pool(|pool| pool.server(key).listed.id.clone());
        let servers: Vec<String> = paces.slow().map(id).collect();
        let now = self.gateway.now();
        if !paces.is_due(&servers, now) {
            return;
        }
        if servers != paces.last_report.servers {
            let (all, name) = (paces.by_rank.len(), &self.name);
            let event_log = &self.gateway.event_log;
            event_log.state(format_args!("{} of {all} servers of {name} are slow", servers.len()));
        }
        paces.reported_at = now;
        paces.last_report.number += 1;
        paces.last_report.servers = servers;
        self.gateway.apply_slow_server_report(&self.name, &paces.last_report);
    }

    /// The paces of these ranks, in their order.
    pub(super) fn paces_of(&self, ranks: &[Key<Server>]) -> Vec<f64> {
        let known = &self.paces.borrow().by_rank;
        ranks.iter().map(|key| known.get(key).copied().unwrap_or(USUAL_PACE)).collect()
    }
}
