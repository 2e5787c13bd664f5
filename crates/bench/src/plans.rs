//! Measurement of placement plans on the users' platform. Input: the shape of a group and a seed.
//! State: the holders of each set's experts. Measures the time of a plan, and the skew after some
//! switches compared with round-robin placement.

use std::time::Duration;
use std::time::Instant;

use hooktrestle_core::direct::expert_plan;
use hooktrestle_core::direct::expert_plan::Limits;
use hooktrestle_core::direct::holders::Holders;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// Exponent of the power law of popularity.
const ZIPF_EXPONENT: f64 = 0.9;

/// Gain that one copy must bring, as a fraction of the mean load. The leader uses the same value.
const COPY_COST: f64 = 0.06;

/// Time of the slow rank, relative to the other ranks.
const SLOW_RANK_PACE: f64 = 5.0;

/// Number of switches after which the skew is measured: about 2 s on the users' deployments.
const SWITCHES: usize = 4;

/// Shape of a group.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Ranks of the group.
    pub ranks: usize,
    /// Experts in each set.
    pub experts: usize,
    /// Maximum number of experts of a set that a rank holds.
    pub places: usize,
    /// Sets of layers.
    pub sets: usize,
    /// Whether one rank takes five times as long as the others.
    pub one_slow: bool,
}

/// Time and gain of the plans for a shape.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Mean time of a plan for all sets.
    pub plan: Duration,
    /// Mean skew of the sets with round-robin placement.
    pub initial: f64,
    /// Mean skew of the sets after the switches.
    pub planned: f64,
}

/// Plans some switches of a group, each with at most one copy for each rank and set.
pub fn measure(shape: Shape, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let limits = limits(&shape);
    let demands: Vec<Vec<f64>> =
        (0..shape.sets).map(|_| popularity(shape.experts, &mut rng)).collect();
    let initial = vec![expert_plan::round_robin(shape.experts, shape.ranks); shape.sets];
    let mut layout = initial.clone();
    let start = Instant::now();
    for _ in 0..SWITCHES {
        for (holders, shares) in layout.iter_mut().zip(&demands) {
            *holders = expert_plan::plan(holders, shares, &limits);
        }
    }
    let plan = start.elapsed() / SWITCHES as u32;
    let skew = |layout: &[Vec<Holders>]| mean_skew(layout, &demands, &limits.paces);
    Outcome { plan, initial: skew(&initial), planned: skew(&layout) }
}

/// Limits of one plan: one new expert for each rank, and the paces of the shape's ranks.
fn limits(shape: &Shape) -> Limits {
    let mut paces = vec![1.0; shape.ranks];
    if shape.one_slow {
        paces[shape.ranks / 2] = SLOW_RANK_PACE;
    }
    Limits {
        places: shape.places,
        max_new_experts: vec![1; shape.ranks],
        copy_cost: COPY_COST,
        paces,
    }
}

/// Mean skew of the sets of a layout, each with its demand.
fn mean_skew(layout: &[Vec<Holders>], demands: &[Vec<f64>], paces: &[f64]) -> f64 {
    let each = layout.iter().zip(demands);
    let sum: f64 = each.map(|(holders, shares)| expert_plan::skew(holders, shares, paces)).sum();
    sum / layout.len() as f64
}

/// Popularity of each expert of a set: a power law, in random order.
fn popularity(experts: usize, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut shares: Vec<f64> =
        (1..=experts).map(|place| (place as f64).powf(-ZIPF_EXPONENT)).collect();
    shares.shuffle(rng);
    shares
}
