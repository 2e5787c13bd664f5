//! Placement measurement: skew against moved bytes. Input: demand in ticks, and a policy. State:
//! the layout and the estimate of popularity. Compares the planner of `hooktrestle_core` with a
//! static layout and with a full repack in each interval.

use std::time::Instant;

use hooktrestle_core::placement::Config;
use hooktrestle_core::placement::Layout;
use hooktrestle_core::placement::Planner;
use hooktrestle_core::placement::baseline;
use hooktrestle_core::placement::min_skew;
use hooktrestle_core::popularity;
use hooktrestle_core::popularity::Popularity;

use crate::demand;
use crate::demand::Demand;
use crate::demand::TICK_S;
use crate::demand::Tick;

/// Bytes of one expert's weights in one layer, which one load moves.
pub const EXPERT_BYTES: f64 = 44e6;

/// Step time lost to one load, in milliseconds: 44 MB at 2.2 GB/s. The rank that loads holds the
/// other ranks for this time.
pub const LOAD_MS: f64 = 20.0;

/// Maximum time for which popularity is expected to remain stable.
const MAX_POPULARITY_LIFETIME_MS: f64 = 15.0 * 60.0 * 1000.0;

/// Fraction of the time in which a group steps, so that a shorter step saves time.
const BUSY_FRACTION: f64 = 0.8;

/// Ticks between two full repacks: a minute.
const REPACK_TICKS: usize = 60 / TICK_S as usize;

/// Ticks at the start that do not count for skew: no policy has counts yet, and a group starts only
/// once. Moves in these ticks count.
const WARM_UP_TICKS: usize = 12;

/// Maximum number of loads in one plan.
const MAX_LOADS_PER_PLAN: usize = 96;

/// Size of a group.
#[derive(Clone, Copy, Debug)]
pub struct Group {
    /// Ranks.
    pub ranks: usize,
    /// Slots of each rank.
    pub slots: usize,
}

/// The operator's two weights.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// Weight of step time lost to the slowest rank.
    pub skew: f64,
    /// Weight of step time lost to moving experts.
    pub rebalance: f64,
}

/// Weights of Kivuko, which prefers low skew.
pub const KIVUKO: Weights = Weights { skew: 1.0, rebalance: 1.0 };

/// Weights of Kettle Pond, which prefers low rebalancing cost.
pub const KETTLE_POND: Weights = Weights { skew: 1.0, rebalance: 96.0 };

/// Policy that decides the layout.
#[derive(Clone, Copy, Debug)]
pub enum Policy {
    /// Keeps the first layout.
    Static,
    /// Packs all experts again every minute.
    Repack,
    /// The planner of `hooktrestle_core`.
    Planned(Weights),
}

/// Results of a policy over all ticks.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Load of the slowest rank over the mean, for each tick.
    pub skews: Vec<f64>,
    /// Lower bound of the skew, for each tick.
    pub bounds: Vec<f64>,
    /// Load of the slowest rank less that of the fastest, over the mean, for each tick.
    pub spreads: Vec<f64>,
    /// Weights loaded.
    pub moves: usize,
}

impl Outcome {
    /// Mean skew.
    pub fn skew_mean(&self) -> f64 {
        mean(&self.skews)
    }

    /// Mean lower bound.
    pub fn bound_mean(&self) -> f64 {
        mean(&self.bounds)
    }

    /// Mean skew over the mean lower bound.
    pub fn ratio(&self) -> f64 {
        self.skew_mean() / self.bound_mean()
    }

    /// Bytes moved.
    pub fn bytes(&self) -> f64 {
        self.moves as f64 * EXPERT_BYTES
    }

    /// Step time lost to moves, in milliseconds.
    pub fn lost_ms(&self) -> f64 {
        self.moves as f64 * LOAD_MS
    }

    /// Milliseconds lost to the slowest rank and to moves, with the operator's weights.
    pub fn cost(&self, weights: Weights) -> f64 {
        let tick_ms = (TICK_S * 1000) as f64 * BUSY_FRACTION;
        let slow: f64 = self.skews.iter().map(|skew| (skew - 1.0) * tick_ms).sum();
        weights.skew * slow + weights.rebalance * self.lost_ms()
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// The value below which this fraction of the values lies.
pub fn quantile(values: &[f64], fraction: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    sorted.get((fraction * last as f64).round() as usize).copied().unwrap_or(f64::NAN)
}

/// Configuration of the planner with an operator's weights.
pub fn config(weights: Weights) -> Config {
    Config {
        weight_skew: weights.skew * BUSY_FRACTION,
        weight_rebalance: weights.rebalance,
        load_ms: LOAD_MS,
        max_loads: MAX_LOADS_PER_PLAN,
    }
}

/// Runs one policy over the ticks.
pub fn run(policy: Policy, group: Group, ticks: &[Tick]) -> Outcome {
    let experts = ticks.first().map_or(0, |tick| tick.tokens.len());
    let mut layout = Layout::round_robin(experts, group.ranks, group.slots);
    let mut popularity = Popularity::new(popularity::Config::default(), experts);
    let mut planner = match policy {
        Policy::Planned(weights) => Some(Planner::new(config(weights))),
        Policy::Static | Policy::Repack => None,
    };
    let mut outcome =
        Outcome { skews: Vec::new(), bounds: Vec::new(), spreads: Vec::new(), moves: 0 };
    let mut minute_tokens = vec![0.0; experts];
    for (number, tick) in ticks.iter().enumerate() {
        if let Some(counts) = &tick.late_counts {
            popularity.observe(counts);
            minute_tokens.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
            if let Some(planner) = &mut planner {
                let popularity_lifetime_ms = popularity_lifetime_ms(&popularity);
                let moves =
                    planner.plan(&mut layout, popularity.shares(), &[], popularity_lifetime_ms);
                outcome.moves += moves.len();
            }
        }
        if matches!(policy, Policy::Repack) && number % REPACK_TICKS == REPACK_TICKS - 1 {
            if minute_tokens.iter().sum::<f64>() > 0.0 {
                let packed = baseline::pack(&minute_tokens, group.ranks, group.slots);
                outcome.moves += layout.weight_loads_to(&packed);
                layout = packed;
            }
            minute_tokens.fill(0.0);
        }
        if number >= WARM_UP_TICKS {
            record(&mut outcome, &layout, group, &tick.tokens);
        }
    }
    outcome
}

fn popularity_lifetime_ms(popularity: &Popularity) -> f64 {
    (popularity.stable_counts() * (TICK_S * 1000) as f64).min(MAX_POPULARITY_LIFETIME_MS)
}

fn record(outcome: &mut Outcome, layout: &Layout, group: Group, tokens: &[f64]) {
    let total: f64 = tokens.iter().sum();
    if total <= 0.0 {
        return;
    }
    let loads = layout.loads(tokens);
    let mean = total / group.ranks as f64;
    let slowest = loads.iter().copied().fold(0.0, f64::max);
    let fastest = loads.iter().copied().fold(f64::MAX, f64::min);
    outcome.skews.push(slowest / mean);
    outcome.spreads.push((slowest - fastest) / mean);
    outcome.bounds.push(min_skew(tokens, group.ranks, group.slots));
}

/// Ticks of seeded demand.
pub fn ticks(config: demand::Config, count: usize) -> Vec<Tick> {
    let mut demand = Demand::new(config);
    (0..count).map(|_| demand.next_tick()).collect()
}

/// Longest time of a decision, in milliseconds: estimate and plan for all layers, over 200 ticks
/// with one turnover. The maximum counts, since each decision must be fast enough.
pub fn decide_ms(group: Group, config: demand::Config, layers: usize, weights: Weights) -> f64 {
    let mut demands: Vec<Demand> = (0..layers as u64)
        .map(|layer| Demand::new(demand::Config { seed: config.seed + layer, ..config }))
        .collect();
    let mut planner = Planner::new(self::config(weights));
    let mut layouts = vec![Layout::round_robin(config.experts, group.ranks, group.slots); layers];
    let mut estimates =
        vec![Popularity::new(popularity::Config::default(), config.experts); layers];
    let mut worst: f64 = 0.0;
    for tick in 0..200 {
        let ticks: Vec<Tick> = demands.iter_mut().map(Demand::next_tick).collect();
        let start = Instant::now();
        for (layer, tick) in ticks.iter().enumerate() {
            if let Some(counts) = &tick.late_counts {
                estimates[layer].observe(counts);
                let popularity_lifetime_ms = popularity_lifetime_ms(&estimates[layer]);
                planner.plan(
                    &mut layouts[layer],
                    estimates[layer].shares(),
                    &[],
                    popularity_lifetime_ms,
                );
            }
        }
        let took_ms = start.elapsed().as_secs_f64() * 1e3;
        // The first decisions have no estimate yet, which occurs only at a group's start.
        if tick > 20 {
            worst = worst.max(took_ms);
        }
    }
    worst
}
