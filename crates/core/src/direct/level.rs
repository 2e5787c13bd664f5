//! Admission level of a service: which share of the demand all gateways admit.
//! Input: demand by priority and account, and the room that is left. State: smoothed demand.
//! Decides which requests are admitted, and when the callers of the others return.
//!
//! The keeper of the room computes the level with a [`Controller`]. Each gateway applies it to the
//! requests that it gets with a [`Gate`], by a hash of the request, so that a request has the same
//! result at all gateways.

use crate::direct::room::AccountId;
use crate::direct::room::PRIORITIES;
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
    /// Fraction of the requests that are admitted, by priority.
    pub admitted: [f64; PRIORITIES],
    /// Fraction of the refused requests that are assigned a turn.
    pub turns: f64,
    /// Accounts above their share, with the fraction of their requests that are admitted. It applies
    /// in addition to that of their priority.
    pub accounts: Vec<(AccountId, f64)>,
}

impl Level {
    /// The level that admits all requests.
    pub fn open() -> Level {
        Level { admitted: [1.0; PRIORITIES], turns: 0.0, accounts: Vec::new() }
    }

    /// Fraction of the requests of an account that are admitted.
    pub fn fraction(&self, priority: u8, account: AccountId) -> f64 {
        self.admitted[usize::from(priority).min(PRIORITIES - 1)] * self.relative(account)
    }

    /// Fraction of an account's requests that are admitted, relative to that of their priority.
    pub fn relative(&self, account: AccountId) -> f64 {
        let found = self.accounts.iter().find(|(listed, _)| *listed == account);
        found.map_or(1.0, |(_, relative)| *relative)
    }
}

/// Bits of an [`AccountId`] that hold the priority.
const PRIORITY_BITS: u64 = 0xf;

impl AccountId {
    /// A client account's requests of one priority; requests without an account have an empty name.
    ///
    /// Accounts share the room among equals only, so an account with requests of two priorities
    /// counts as two.
    pub fn of(name: &str, priority: u8) -> AccountId {
        AccountId(hash::of(name) & !PRIORITY_BITS | u64::from(priority) & PRIORITY_BITS)
    }

    /// Priority of the requests.
    pub fn priority(self) -> usize {
        ((self.0 & PRIORITY_BITS) as usize).min(PRIORITIES - 1)
    }
}
