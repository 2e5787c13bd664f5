//! What the leaders of expert maps found of backend servers, brought into force and handed on at once.

use hooktrestle_core::direct::slow::Finding;
use hooktrestle_core::direct::slow::Findings;

use crate::gateway::Gateway;
use crate::platform::Platform;

/// Rounds of news that follow at once on one that cannot wait: with each gateway that hears of it
/// telling two others, it reaches all but a few, and these in the next round.
const URGENT_ROUNDS: u32 = 2;

impl<P: Platform> Gateway<P> {
    /// What the leaders of expert maps found of servers.
    pub fn with_findings<T>(&self, act: impl FnOnce(&Findings) -> T) -> T {
        act(&self.findings.borrow())
    }

    /// Takes a finding, from the own lead or from another gateway, and hands it on at once if it is
    /// new.
    pub fn take_finding(&self, service: &str, finding: &Finding) {
        if !self.findings.borrow_mut().take(service, finding) {
            return;
        }
        let now = self.now();
        self.with_pool(|pool| pool.set_slow(service, &finding.servers, now));
        self.hand_on();
    }

    /// Exchanges news at once: there is some that cannot wait.
    pub fn hand_on(&self) {
        self.urgent_rounds.set(URGENT_ROUNDS);
        self.urgent.notify_one();
    }

    /// Takes one of the rounds of news that are to be made at once, if one is left.
    pub fn take_urgent_round(&self) -> bool {
        let left = self.urgent_rounds.get();
        self.urgent_rounds.set(left.saturating_sub(1));
        left > 0
    }
}
