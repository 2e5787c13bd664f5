//! Admission level of a service: which share of the demand all gateways admit.
//! Input: demand by priority and account, and the room that is left. State: smoothed demand.
//! Decides which requests are admitted, and when the callers of the others return.
//!
//! The keeper of the room computes the level. Each gateway applies it to the requests that it gets,
//! by a hash of the request, so that a request has the same result at all gateways.

use crate::direct::room::AccountId;
use crate::direct::room::PRIORITIES;

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
}
