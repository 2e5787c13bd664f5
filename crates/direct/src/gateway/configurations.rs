//! The configuration in force, from the configuration table or retained by a peer.
//! Its table is retained if the store has an older one.
//! This module decides whether a configuration replaces the one in force.
//!
//! A store that was restored from an older copy may hold an older configuration than the one in
//! force, until the operator writes again. The newer one was acknowledged, so it stays in force and
//! is sent to gateways that start meanwhile. Configurations are ordered by their own versions,
//! which operators never reuse.

use std::rc::Rc;

use hooktrestle_core::direct::replica::Replica;
use hooktrestle_core::direct::replica::Revision;
use hooktrestle_core::direct::replica::Update;
use hooktrestle_core::direct::serving::ServingConfig;

use crate::gateway::Gateway;
use crate::gateway::slow_servers::Reach;
use crate::platform::Platform;
use crate::platform::Table;

impl<P: Platform> Gateway<P> {
    /// Puts the configuration of the table in force, unless a newer one is in force.
    pub(super) fn configure(&self, source: &str) {
        let decoded = match self.replicas.borrow().get(&Table::Configuration) {
            Some(replica) => self.platform.serving(replica),
            None => return,
        };
        let in_force = self.serving.borrow().version;
        match decoded {
            Ok(Some(serving)) if serving.version >= in_force => {
                self.retained_configuration.replace(None);
                self.put_in_force(serving, source);
            }
            Ok(_) => {}
            Err(error) => {
                self.event_log
                    .state(format_args!("configuration {in_force} stays in force: {error}"));
            }
        }
    }

    fn put_in_force(&self, serving: ServingConfig, source: &str) {
        let version = serving.version;
        let warm_ups = serving.services.iter();
        let warm_ups = warm_ups.filter_map(|(name, one)| Some((name.clone(), one.warm_up?)));
        self.with_pool(|pool| pool.set_warm_ups(warm_ups.collect()));
        self.limits_changed.notify_one();
        self.serving.replace(Rc::new(serving));
        let age = self.table_age_text(Table::Configuration);
        self.event_log
            .state(format_args!("configuration {version} in force, from {source}, {age}"));
    }

    /// Retains the table of the configuration, which is about to be replaced by an older copy.
    pub(super) fn retain_configuration(&self) {
        let replica = self.replicas.borrow().get(&Table::Configuration).cloned();
        let mut retained = self.retained_configuration.borrow_mut();
        if retained.is_none() {
            *retained = replica.filter(|replica| replica.revision() > Revision::default());
        }
    }

    /// The retained configuration, for a gateway with the older configuration `version`. If the
    /// store holds the configuration in force, nothing is retained: the other gateway receives the
    /// table.
    pub fn retained_for_peer(&self, version: u64) -> Option<Update> {
        let is_behind = version < self.serving.borrow().version;
        let retained = self.retained_configuration.borrow();
        retained.as_ref().filter(|_| is_behind)?.since(Revision::default())
    }

    /// Applies a configuration that another gateway retained.
    pub fn apply_retained_configuration(&self, update: &Update) {
        let mut replica = Replica::default();
        replica.apply(update);
        let decoded = self.platform.serving(&replica);
        let Ok(Some(serving)) = decoded else { return };
        if serving.version > self.serving.borrow().version {
            self.retained_configuration.replace(Some(replica));
            self.put_in_force(serving, "peer");
            self.request_urgent_gossip(Reach::DataCentre);
        }
    }
}
