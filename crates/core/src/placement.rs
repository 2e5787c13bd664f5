//! Which expert stands on which rank.
//!
//! A layer's experts, some of them more than once, fill the slots of the group's ranks. Tokens of
//! an expert are spread evenly over its replicas, and the rank with the most tokens for its speed
//! sets the pace of the step.
//!
//! - [`Layout`]: one layer's map, and the loads that it makes.
//! - [`plan`]: the few moves that are worth their cost.
//! - [`baseline`]: what it is measured against: the layout left alone, and packed anew each time.
//! - [`min_skew`]: what no layout can be better than.

pub mod baseline;
mod layout;
mod search;

pub use layout::Expert;
pub use layout::Layout;
pub use layout::Move;
pub use layout::Rank;
pub use search::Config;
pub use search::Planner;

/// The least load that the slowest rank can have, over the mean load: an expert with `r` replicas
/// puts at least its tokens over `r` on some rank, and there are only so many slots.
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
