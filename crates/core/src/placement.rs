//! Placement of experts on the ranks of a group, one layer at a time.
//! Input: the experts' shares of the tokens, the ranks' speeds, and the current [`Layout`].
//! State: reusable buffers only. Decides which weights to load into which slots.
//!
//! A layer's experts, some of them with several replicas, fill the slots of the group's ranks.
//! Tokens of an expert are spread evenly over its replicas, and the rank with the most tokens
//! relative to its speed determines the duration of the step.
//!
//! - [`Layout`]: the map of one layer, and the loads that result from it.
//! - [`Planner`]: searches for the few moves whose gain exceeds their cost.
//! - [`baseline`]: packing from scratch, as a reference for the planner.
//! - [`min_skew`]: a lower bound of the skew over all layouts.

pub mod baseline;
mod layout;
mod search;

pub use layout::Expert;
pub use layout::Layout;
pub use layout::Move;
pub use layout::Rank;
pub use search::Config;
pub use search::Planner;

/// Lower bound of the slowest rank's load over the mean load. An expert with `r` replicas puts at
/// least `1 / r` of its tokens on some rank, and the number of slots limits the replicas.
pub fn min_skew(shares: &[f64], ranks: usize, slots_per_rank: usize) -> f64 {
    let replicas = baseline::replicas(shares, ranks, slots_per_rank);
    let mean = shares.iter().sum::<f64>() / ranks as f64;
    let hottest = shares
        .iter()
        .zip(&replicas)
        .map(|(share, count)| share / f64::from(*count))
        .fold(0.0, f64::max);
    (hottest / mean).max(1.0)
}
