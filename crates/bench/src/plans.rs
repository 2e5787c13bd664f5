//! Plans of where experts go on the users' platform: how long one takes, and what it is worth,
//! against experts that stay dealt out in turn.

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

/// Part of the mean load that one copy has to gain; what the leader uses.
const COPY_COST: f64 = 0.06;

/// How long the rank that is slow takes, over the usual time.
const SLOW_RANK_PACE: f64 = 5.0;

/// Switches after which the skew is told: about 2 s at the users.
const SWITCHES: usize = 4;

/// A group's shape.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Ranks of the group.
    pub ranks: usize,
    /// Experts in each set.
    pub experts: usize,
    /// Experts of a set that a rank holds at most.
    pub places: usize,
    /// Sets of layers.
    pub sets: usize,
    /// Whether one rank takes five times as long as the others.
    pub one_slow: bool,
}

/// What plans for a shape cost and gain.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Mean time of a plan for all sets.
    pub plan: Duration,
    /// Mean skew of the sets with experts dealt out in turn.
    pub initial: f64,
    /// The same after some switches.
    pub planned: f64,
}

/// Plans some switches of a group, one copy a rank and set each.
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

/// Bounds of one plan: a copy a rank, at the paces of the shape's ranks.
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

/// Mean skew of the sets of a layout, each under its own demand.
fn mean_skew(layout: &[Vec<Holders>], demands: &[Vec<f64>], paces: &[f64]) -> f64 {
    let each = layout.iter().zip(demands);
    let sum: f64 = each.map(|(holders, shares)| expert_plan::skew(holders, shares, paces)).sum();
    sum / layout.len() as f64
}

/// How popular each expert of a set is: a power law, in an order that is drawn.
fn popularity(experts: usize, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut shares: Vec<f64> =
        (1..=experts).map(|place| (place as f64).powf(-ZIPF_EXPONENT)).collect();
    shares.shuffle(rng);
    shares
}
