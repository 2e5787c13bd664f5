//! Admission level of a service: which share of the demand all gateways admit.
//! Input: demand by urgency and account, and the room that is left. State: smoothed demand.
//! Decides which requests are admitted, and when the callers of the others return.
//!
//! The keeper of the room computes the level with a [`Controller`]. Each gateway applies it to the
//! requests that it gets with a [`Gate`], by a hash of the request, so that a request has the same
//! result at all gateways.

use crate::direct::room::AccountId;
use crate::direct::room::URGENCIES;
use crate::util::hash;

pub mod controller;
pub mod gate;
pub mod turns;

pub use controller::Config;
pub use controller::Controller;
pub use controller::Demand;
pub use controller::Room;
pub use gate::Gate;
pub use gate::GateRequest;
pub use gate::Return;
pub use gate::Verdict;

/// Which requests are admitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Level {
    /// Fraction of the requests that are admitted, by urgency.
    pub admitted: [f64; URGENCIES],
    /// Fraction of the refused requests that are assigned a turn.
    pub turns: f64,
    /// Accounts above their share, with the fraction of their requests that are admitted. It applies
    /// in addition to that of their urgency.
    pub accounts: Vec<(AccountId, f64)>,
}

impl Level {
    /// The level that admits all requests.
    pub fn open() -> Level {
        Level { admitted: [1.0; URGENCIES], turns: 0.0, accounts: Vec::new() }
    }

    /// Fraction of the requests of an account that are admitted.
    pub fn fraction(&self, urgency: u8, account: AccountId) -> f64 {
        self.admitted[usize::from(urgency).min(URGENCIES - 1)] * self.relative(account)
    }

    /// Fraction of an account's requests that are admitted, relative to that of their urgency.
    pub fn relative(&self, account: AccountId) -> f64 {
        let found = self.accounts.iter().find(|(listed, _)| *listed == account);
        found.map_or(1.0, |(_, relative)| *relative)
    }
}

/// Bits of an [`AccountId`] that hold the urgency.
const URGENCY_BITS: u64 = 0xf;

impl AccountId {
    /// A client account's requests of one urgency; requests without an account have an empty name.
    ///
    /// Accounts share the room among equals only, so an account with requests of two urgencies
    /// counts as two.
    pub fn of(name: &str, urgency: u8) -> AccountId {
        AccountId(hash::of(name) & !URGENCY_BITS | u64::from(urgency) & URGENCY_BITS)
    }

    /// Priority of the requests.
    pub fn urgency(self) -> usize {
        ((self.0 & URGENCY_BITS) as usize).min(URGENCIES - 1)
    }
}
