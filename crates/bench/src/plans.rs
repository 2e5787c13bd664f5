//! Plans of where experts go on the users' platform: how long one takes, and what it is worth,
//! against experts that stay dealt out in turn.

use std::time::Duration;
use std::time::Instant;

use hooktrestle_core::direct::expert_plan;
use hooktrestle_core::direct::expert_plan::Holders;
use hooktrestle_core::direct::expert_plan::Limits;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// Exponent of the power law of popularity.
const EXPONENT: f64 = 0.9;

/// Part of the mean load that one copy has to gain; what the leader uses.
const PRICE: f64 = 0.06;

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
    pub dealt: f64,
    /// The same after some switches.
    pub planned: f64,
}

/// Plans some switches of a group, one copy a rank and set each.
pub fn measure(shape: Shape, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut paces = vec![1.0; shape.ranks];
    if shape.one_slow {
        paces[shape.ranks / 2] = 5.0;
    }
    let limits = Limits {
        places: shape.places,
        new_at: vec![1; shape.ranks],
        price: PRICE,
        paces: paces.clone(),
    };
    let demands: Vec<Vec<f64>> =
        (0..shape.sets).map(|_| popularity(shape.experts, &mut rng)).collect();
    let dealt = vec![expert_plan::dealt(shape.experts, shape.ranks); shape.sets];
    let mut layout = dealt.clone();
    let began = Instant::now();
    for _ in 0..SWITCHES {
        for (holders, shares) in layout.iter_mut().zip(&demands) {
            *holders = expert_plan::plan(holders, shares, &limits);
        }
    }
    let plan = began.elapsed() / SWITCHES as u32;
    let skew = |layout: &[Vec<Holders>]| {
        let each = layout.iter().zip(&demands);
        let sum: f64 =
            each.map(|(holders, shares)| expert_plan::skew(holders, shares, &paces)).sum();
        sum / shape.sets as f64
    };
    Outcome { plan, dealt: skew(&dealt), planned: skew(&layout) }
}

fn popularity(experts: usize, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut shares: Vec<f64> = (1..=experts).map(|place| (place as f64).powf(-EXPONENT)).collect();
    shares.shuffle(rng);
    shares
}
