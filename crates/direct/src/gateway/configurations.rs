//! The configuration in force.
//!
//! A store that came back from an older copy may hold an older configuration than the one in force, until the
//! operator writes again. The newer one was acknowledged, so it stays, and is told to gateways that start
//! meanwhile: configurations are ordered by their own versions, which operators never give out again.

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
    /// Brings the configuration of the table into force, unless a newer one is.
    pub(super) fn configure(&self, source: &str) {
        let decoded = match self.replicas.borrow().get(&Table::Configuration) {
            Some(replica) => self.platform.serving(replica),
            None => return,
        };
        let in_force = self.serving.borrow().version;
        match decoded {
            Ok(Some(serving)) if serving.version >= in_force => {
                self.retained_configuration.replace(None);
                self.bring_into_force(serving, source);
            }
            Ok(_) => {}
            Err(error) => {
                self.event_log
                    .state(format_args!("configuration {in_force} stays in force: {error}"));
            }
        }
    }

    fn bring_into_force(&self, serving: ServingConfig, source: &str) {
        let version = serving.version;
        self.serving.replace(Rc::new(serving));
        self.event_log.state(format_args!("configuration {version} in force, from {source}"));
    }

    /// Keeps the table of the configuration, as it is about to be replaced by an older copy.
    pub(super) fn retain_configuration(&self) {
        let replica = self.replicas.borrow().get(&Table::Configuration).cloned();
        let mut kept = self.retained_configuration.borrow_mut();
        if kept.is_none() {
            *kept = replica.filter(|replica| replica.revision() > Revision::default());
        }
    }

    /// The configuration in force, for another gateway in which an older one is: where the store holds it,
    /// the other hears of it with the table.
    pub fn retained_for_peer(&self, version: u64) -> Option<Update> {
        let is_behind = version < self.serving.borrow().version;
        let kept = self.retained_configuration.borrow();
        kept.as_ref().filter(|_| is_behind)?.since(Revision::default())
    }

    /// Takes a configuration that another gateway kept.
    pub fn apply_retained_configuration(&self, update: &Update) {
        let mut replica = Replica::default();
        replica.apply(update);
        let decoded = self.platform.serving(&replica);
        let Ok(Some(serving)) = decoded else { return };
        if serving.version > self.serving.borrow().version {
            self.retained_configuration.replace(Some(replica));
            self.bring_into_force(serving, "peer");
            self.request_urgent_gossip(Reach::DataCentre);
        }
    }
}
