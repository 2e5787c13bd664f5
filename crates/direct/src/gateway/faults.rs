//! Faults of servers of requests that are no streams, as this and other gateways observe them.
//! Input: ends of attempts, and messages of other gateways. The faults are recorded in the pool.
//! This module decides which faults are shared, and when they are urgent.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use hooktrestle_core::direct::pool::Demand;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::queue_wait::Timeliness;
use hooktrestle_core::direct::shared_faults::FaultId;
use hooktrestle_core::direct::shared_faults::SharedFault;
use hooktrestle_core::util::arena::Key;

use crate::gateway::Gateway;
use crate::gateway::slow_servers::Reach;
use crate::platform::Platform;

impl<P: Platform> Gateway<P> {
    /// Records a fault of a server, if gateways share faults of its service.
    pub(crate) fn record_fault(&self, server: Key<Server>) {
        let now = self.now();
        if !self.shares_faults(server, now) {
            return;
        }
        let own = self.with_members(|members| members.own().incarnation_id());
        if self.with_pool(|pool| pool.record_fault(server, own.0, now)) {
            let id = self.with_pool(|pool| pool.server(server).listed.id.clone());
            self.event_log.state(format_args!("server {id} has several faults: avoided"));
            self.request_urgent_gossip(Reach::All);
        }
    }

    /// Whether there are more gateways than servers of the service: otherwise each gateway observes
    /// enough itself.
    fn shares_faults(&self, server: Key<Server>, now: Millis) -> bool {
        let gateways = self.with_members(|members| members.count_alive(now));
        self.with_pool(|pool| {
            let service = &pool.server(server).listed.service;
            pool.present_of(service).len() < gateways
        })
    }

    /// Adds the faults in a message of another gateway, which was sent up to `delay` ago.
    pub(crate) fn merge_faults(&self, entries: &[[u64; 4]], delay: Millis) {
        let faults = entries.iter().map(|&[server, reporter, number, age_ms]| SharedFault {
            server: ServerIncarnation(server),
            id: FaultId { reporter, number },
            age: Millis(age_ms) + delay,
        });
        let faults: Vec<SharedFault> = faults.collect();
        let now = self.now();
        if self.with_pool(|pool| pool.merge_faults(&faults, now)) {
            self.request_urgent_gossip(Reach::All);
        }
    }

    /// The newest faults as entries of a message.
    pub(crate) fn faults_to_wire(&self) -> Vec<[u64; 4]> {
        let now = self.now();
        let faults = self.with_pool(|pool| pool.faults_to_gossip(now));
        let entries = faults
            .iter()
            .map(|fault| [fault.server.0, fault.id.reporter, fault.id.number, fault.age.0]);
        entries.collect()
    }

    /// Time after which a request would begin in time at a server, if it would at none now.
    pub(crate) fn too_late_for(&self, demand: &Demand<'_>) -> Option<Millis> {
        let now = self.now();
        match self.with_pool(|pool| pool.timeliness(demand, now)) {
            Timeliness::InTime => None,
            Timeliness::TooLate(after) => Some(after),
        }
    }
}
