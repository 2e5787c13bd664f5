//! Data centres that operators evacuate, from the configuration table or from peers.
//! The evacuations in force are kept; the pool sends no requests to servers of these data centres.
//! This module decides when the table's rows and those that the store has lost take effect.

use std::collections::HashSet;

use hooktrestle_core::direct::replica::LostRow;

use crate::gateway::Gateway;
use crate::gateway::slow_servers::Reach;
use crate::platform::Platform;
use crate::platform::Table;

impl<P: Platform> Gateway<P> {
    /// Data centres that are evacuated.
    pub fn evacuated_data_centres(&self) -> HashSet<String> {
        self.evacuations.borrow().data_centres().map(str::to_owned).collect()
    }

    /// Keys of the evacuations that are in force although the store has lost their rows.
    pub fn held_evacuations(&self) -> Vec<String> {
        self.evacuations.borrow().held()
    }

    /// Holds evacuations whose rows the store lost when it was restored from an older copy.
    pub(super) fn hold_lost_evacuations(&self, lost: Vec<LostRow>) {
        let replicas = self.replicas.borrow();
        let Some(replica) = replicas.get(&Table::Configuration) else { return };
        let data_centre = |key: &str| self.platform.evacuated_data_centre(key);
        self.evacuations.borrow_mut().begin_era(lost, replica, data_centre, self.now());
    }

    /// Applies evacuations that another gateway holds although the store has lost their rows.
    pub fn apply_held_evacuations(&self, keys: &[String]) {
        if keys.is_empty() {
            return;
        }
        if let Some(replica) = self.replicas.borrow().get(&Table::Configuration) {
            self.evacuations.borrow_mut().hold(keys, replica, self.now());
        }
        self.update_evacuations("peer");
    }

    /// Puts the evacuations of the table and the held ones in force.
    pub fn update_evacuations(&self, source: &str) {
        let now = self.now();
        let changes = match self.replicas.borrow().get(&Table::Configuration) {
            Some(replica) => {
                let data_centre = |key: &str| self.platform.evacuated_data_centre(key);
                self.evacuations.borrow_mut().update(replica, data_centre, now)
            }
            None => return,
        };
        if changes.is_empty() {
            return;
        }
        for data_centre in &changes.begun {
            self.event_log
                .state(format_args!("data centre {data_centre} evacuated, from {source}"));
        }
        for data_centre in &changes.ended {
            let line = format_args!("evacuation of data centre {data_centre} ended, from {source}");
            self.event_log.state(line);
        }
        let evacuated = self.evacuated_data_centres();
        self.metrics.evacuated_data_centres.set(evacuated.len() as i64);
        self.with_pool(|pool| pool.set_evacuated(evacuated, now));
        self.refuse_queued_without_server();
        // Servers that return are treated as cold: shares of their limits have to be delegated.
        self.limits_changed.notify_one();
        self.request_urgent_gossip(Reach::DataCentre);
    }

    /// Admits the queued streams of services without an open server, so that they are refused at
    /// once.
    fn refuse_queued_without_server(&self) {
        self.admission_queues.for_each_named(|service, queue| {
            if !self.with_pool(|pool| pool.has_open_server(service)) {
                queue.admit_all();
            }
        });
    }
}
