//! Which gateways are in contact: undisturbed for some time, with a path to the store.
//! Input: beginnings and ends of faults of each gateway. State: the active ones, and the last change.
//! Decides whether a gateway is bound by the time bounds of guarantees, whatever happens to others.

use std::time::Duration;

use tokio::time::Instant;

use super::Ledger;
use crate::schedule::FaultKind;

/// Faults of the connections between gateways and a server.
const OF_SERVER_CONNECTIONS: [FaultKind; 6] = [
    FaultKind::GroupTrouble,
    FaultKind::ServerMute,
    FaultKind::ServerReset,
    FaultKind::ServerSlow,
    FaultKind::ServerHoldsRequests,
    FaultKind::ServerHoldsAnswers,
];

/// Time after a drill until the operator and the servers have written again what the store has lost.
const REWRITE_WITHIN: Duration = Duration::from_millis(crate::backends::REWRITE_WITHIN_MS);

/// Faults of one gateway, and of its path to the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct Contact {
    active_faults: u32,
    changed_at: Instant,
}

impl Ledger {
    /// Records that a gateway starts, or that a fault of it or of its path to the store begins or ends.
    pub fn record_disturbance(&self, gateway: usize, begun: u32, ended: u32) {
        let changed_at = Instant::now();
        let mut contacts = self.contacts.borrow_mut();
        let contact = contacts.entry(gateway).or_insert(Contact { active_faults: 0, changed_at });
        contact.active_faults = (contact.active_faults + begun).saturating_sub(ended);
        contact.changed_at = changed_at;
    }

    /// Whether a gateway had no fault for the time after which it is bound until `at` and since then,
    /// nor the store.
    pub fn is_in_contact(&self, gateway: usize, at: Instant) -> bool {
        let contacts = self.contacts.borrow();
        let is_undisturbed = contacts.get(&gateway).is_some_and(|contact| {
            contact.active_faults == 0 && contact.changed_at + self.bounds.contact < at
        });
        is_undisturbed && self.store_is_sound_since(at - self.bounds.contact)
    }

    /// Whether the store served all gateways from `from` on. After a drill, the operator writes again
    /// what the store has lost.
    fn store_is_sound_since(&self, from: Instant) -> bool {
        let faults = self.faults.borrow();
        let mut of_store = faults.iter().filter(|(kind, ..)| kind.affects_whole_store());
        of_store.all(|(kind, _, until)| match kind {
            FaultKind::StoreDrill => *until + REWRITE_WITHIN < from,
            _ => *until < from,
        })
    }

    /// Whether the gateway that a request was sent to is bound at `at`, and no connection to a server was
    /// disturbed lately.
    pub(super) fn is_bound(&self, id: &str, at: Instant) -> bool {
        let Some(gateway) = self.gateways.borrow().get(id).map(|gateway| gateway.index) else {
            return false;
        };
        let faults = self.faults.borrow();
        let mut of_connections =
            faults.iter().filter(|(kind, ..)| OF_SERVER_CONNECTIONS.contains(kind));
        of_connections.all(|(_, _, until)| *until + self.bounds.contact < at)
            && self.is_in_contact(gateway, at)
    }
}
