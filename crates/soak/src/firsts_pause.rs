//! A moment without answers of the store, after which the first gateway of each data centre is
//! suspended. Input: the target of a fault. State: none.
//! Decides how long the store is silent, and how long after that the gateways are suspended.

use std::time::Duration;

/// How long the store may be silent, by target.
const SILENCES_MS: [u64; 3] = [400, 600, 1_000];

/// Time from the end of the silence until the gateways are suspended, by target.
const DELAYS_MS: [u64; 4] = [0, 300, 700, 2_000];

/// How long the store is silent.
pub fn silence(target: usize) -> Duration {
    Duration::from_millis(SILENCES_MS[target % SILENCES_MS.len()])
}

/// Time from the end of the silence until the gateways are suspended.
pub fn delay(target: usize) -> Duration {
    Duration::from_millis(DELAYS_MS[target / SILENCES_MS.len() % DELAYS_MS.len()])
}
