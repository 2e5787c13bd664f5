//! Slots of the open servers of a service in a [`Pool`].
//! Input: the rows of the servers, and what is known of each. There is no state.
//! Decides which servers count for the room of the service.

use super::Pool;
use crate::clock::Millis;
use crate::direct::crashes::ServerIncarnation;
use crate::direct::room::estimate::OpenSlots;

impl Pool {
    /// Servers of a service that accept requests now, with their slots.
    pub fn open_slots(&self, service: &str, now: Millis) -> Vec<(ServerIncarnation, OpenSlots)> {
        let Some(found) = self.services.get(service) else { return Vec::new() };
        let available = found.servers.iter().filter(|key| self.servers[**key].is_available(now));
        let open = available.map(|key| {
            let slots = self.servers[*key].listed.slots;
            let warm_up_rate = self.warm_up_rate(*key, now);
            (self.servers[*key].incarnation, OpenSlots { slots, warm_up_rate })
        });
        open.collect()
    }
}
