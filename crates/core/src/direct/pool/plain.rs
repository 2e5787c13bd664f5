//! Choice among the servers of a [`Pool`] for requests whose answers are no streams.
//! Input: their load reports, durations of requests, and faults that gateways observed.
//! State: the mean duration and the faults of each server. Decides which servers are left out.
//!
//! A server with [faults](crate::direct::shared_faults) is chosen only if no better one is left. A
//! server whose [queue](crate::direct::queue_wait) lasts beyond the deadline is not chosen at all.

use super::Demand;
use super::Pool;
use super::Server;
use crate::clock::Millis;
use crate::direct::crashes::ServerIncarnation;
use crate::direct::queue_wait;
use crate::direct::queue_wait::QueueState;
use crate::direct::queue_wait::Timeliness;
use crate::direct::shared_faults::Repeatability;
use crate::direct::shared_faults::SharedFault;
use crate::util::arena::Key;

/// Weight of the newest duration in the mean.
const NEWEST_DURATION_WEIGHT: f64 = 0.25;

impl Pool {
    /// Records a fault that this gateway, the incarnation `reporter`, observed at a server. Returns
    /// whether the server is to be avoided from now on.
    pub fn record_fault(&mut self, key: Key<Server>, reporter: u64, now: Millis) -> bool {
        let was_avoided = self.is_avoided(key, now);
        self.faults.record(self.servers[key].incarnation, reporter, now);
        !was_avoided && self.is_avoided(key, now)
    }

    /// Adds faults that another gateway sent. Returns whether a server is to be avoided from now on.
    pub fn merge_faults(&mut self, faults: &[SharedFault], now: Millis) -> bool {
        let mut newly_avoided = false;
        for fault in faults {
            let key = self.by_incarnation.get(&fault.server).copied();
            let was_avoided = key.is_some_and(|key| self.is_avoided(key, now));
            let is_new = self.faults.merge(fault, now);
            newly_avoided |=
                is_new && !was_avoided && key.is_some_and(|key| self.is_avoided(key, now));
        }
        newly_avoided
    }

    /// The newest faults, to be sent to other gateways.
    pub fn faults_to_gossip(&self, now: Millis) -> Vec<SharedFault> {
        self.faults.to_gossip(now)
    }

    /// Records how long a server took for a request that is no stream, the queue included.
    pub fn record_duration(&mut self, key: Key<Server>, took: Millis) {
        let queued = self.candidate(key).map_or(0, |candidate| candidate.report.queued_requests);
        let server = &mut self.servers[key];
        let rounds = 1.0 + f64::from(queued) / f64::from(server.listed.slots.max(1));
        let work_ms = took.0 as f64 / rounds;
        let weight = if server.work_ms == 0.0 { 1.0 } else { NEWEST_DURATION_WEIGHT };
        server.work_ms += (work_ms - server.work_ms) * weight;
    }

    /// Whether a request that is no stream is expected to begin in time at a server that would
    /// accept it.
    pub fn timeliness(&self, demand: &Demand<'_>, now: Millis) -> Timeliness {
        let (Some(plain), Some(found)) = (demand.plain, self.services.get(demand.service)) else {
            return Timeliness::InTime;
        };
        let servers = found.servers.iter().zip(&found.candidates);
        let accepting = servers.filter(|(key, _)| {
            let server = &self.servers[**key];
            server.is_available(now) && demand.allows(**key, &server.listed)
        });
        let queues = accepting.filter_map(|(key, _)| self.queue_state(*key, now));
        queue_wait::timeliness(queues, plain.deadline.since(now))
    }

    /// Servers at which a request is expected to wait beyond its deadline.
    pub(super) fn overdue(&self, demand: &Demand<'_>, now: Millis) -> Vec<Key<Server>> {
        let (Some(plain), Some(found)) = (demand.plain, self.services.get(demand.service)) else {
            return Vec::new();
        };
        let left = plain.deadline.since(now);
        let is_overdue = |key: &Key<Server>| {
            self.queue_state(*key, now).is_some_and(|queue| queue.wait() >= left)
        };
        found.servers.iter().copied().filter(is_overdue).collect()
    }

    /// Servers that a request avoids as long as another one is left.
    pub(super) fn avoided(&self, demand: &Demand<'_>, now: Millis) -> Vec<Key<Server>> {
        let Some(plain) = demand.plain else { return Vec::new() };
        self.avoided_of(demand.service, plain.repeatability, now)
    }

    fn is_avoided(&self, key: Key<Server>, now: Millis) -> bool {
        let service = &self.servers[key].listed.service;
        self.avoided_of(service, Repeatability::Once, now).contains(&key)
    }

    fn avoided_of(
        &self,
        service: &str,
        repeatability: Repeatability,
        now: Millis,
    ) -> Vec<Key<Server>> {
        let Some(found) = self.services.get(service) else { return Vec::new() };
        let available = found.servers.iter().filter(|key| self.servers[**key].is_available(now));
        let available: Vec<(Key<Server>, ServerIncarnation)> =
            available.map(|key| (*key, self.servers[*key].incarnation)).collect();
        self.faults.avoided(&available, repeatability, now)
    }

    fn queue_state(&self, key: Key<Server>, now: Millis) -> Option<QueueState> {
        let server = &self.servers[key];
        let candidates = &self.services.get(&server.listed.service)?.candidates;
        let candidate = candidates.get(server.position?)?;
        let report = candidate.report;
        Some(QueueState {
            reported: report.running_requests + report.queued_requests,
            age: now.since(report.at),
            own: candidate.own_requests,
            slots: server.listed.slots,
            work_ms: server.work_ms,
        })
    }
}
