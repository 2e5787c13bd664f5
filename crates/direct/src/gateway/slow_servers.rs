//! What the leaders of expert maps found of backend servers, brought into force and handed on at once.

use hooktrestle_core::direct::slow_servers::SlowServerReport;
use hooktrestle_core::direct::slow_servers::SlowServerReports;

use crate::gateway::Gateway;
use crate::platform::Platform;

/// Rounds of news that follow at once on one that cannot wait: with each gateway that hears of it
/// telling two others, it reaches all but a few, and these in the next round.
const URGENT_ROUNDS: u32 = 2;

/// Whom news that cannot wait are told.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Reach {
    /// Those of the own data centre: each has some that follow the store closely, and bytes between data
    /// centres are priced. Told to all, changes of a day on which the configuration grew by 1,400 routes
    /// took 0.39 GB more between data centres.
    DataCentre,
    /// All.
    All,
}

impl<P: Platform> Gateway<P> {
    /// What the leaders of expert maps found of servers.
    pub fn with_slow_server_reports<T>(&self, act: impl FnOnce(&SlowServerReports) -> T) -> T {
        act(&self.slow_server_reports.borrow())
    }

    /// Takes a finding, from the own lead or from another gateway, and hands it on at once if it is
    /// new.
    pub fn apply_slow_server_report(&self, service: &str, finding: &SlowServerReport) {
        let now = self.now();
        if !self.slow_server_reports.borrow_mut().apply(service, finding, now) {
            return;
        }
        self.with_pool(|pool| pool.set_slow(service, &finding.servers, finding.age, now));
        self.request_urgent_gossip(Reach::All);
    }

    /// Exchanges news at once: there is some that cannot wait.
    pub fn request_urgent_gossip(&self, reach: Reach) {
        let reach = self.urgent_gossip_reach().map_or(reach, |waiting| waiting.max(reach));
        self.urgent_rounds.set(Some((URGENT_ROUNDS, reach)));
        self.urgent_gossip.notify_one();
    }

    /// With whom news are to be exchanged at once, if with anybody.
    pub fn urgent_gossip_reach(&self) -> Option<Reach> {
        self.urgent_rounds.get().map(|(_, reach)| reach)
    }

    /// Takes one of the rounds of news that are to be made at once, if one is left.
    pub fn take_urgent_gossip_round(&self) -> Option<Reach> {
        let (left, reach) = self.urgent_rounds.get()?;
        self.urgent_rounds.set((left > 1).then_some((left - 1, reach)));
        Some(reach)
    }
}
