//! Planner of a group's expert layout: which rank holds which experts, over all sets of layers.
//! Input: the estimated demand, the current layout, the ranks' paces. State: none, pure functions.
//! It decides whether a better layout is worth a switch of the map, and which layout that is.

use crate::clock::Millis;
use crate::direct::expert_demand::Demand;
use crate::direct::expert_plan;
use crate::direct::holders::Holders;
use crate::direct::holders::Rank;
use crate::direct::serving::ExpertShape;

/// Time that the copies of one switch may take at a rank; one copy is always allowed. Demand keeps
/// shifting meanwhile, and a switch under way cannot be changed.
const MAX_COPY_TIME: Millis = Millis(200);

/// Added to the copy time at the link's rate, for round trips and a late start.
const COPY_MARGIN: Millis = Millis(30);

/// Upper bound of the gain that a copy must bring, as a fraction of the mean load of one set.
const MAX_COPY_COST: f64 = 0.03;

/// Gain that a copy must bring for each second that it takes; the upper bound applies from 75 ms
/// on. Passes are longer while ranks copy, so a copy that takes long has to bring more.
const COPY_COST_PER_SECOND: f64 = 0.4;

/// Gain that each switch must bring, as a fraction of the current peak.
const MIN_GAIN: f64 = 0.06;

/// Additional gain for each second that the ranks copy: passes take longer meanwhile, and a shift
/// of demand in that time is followed only after the switch.
const MIN_GAIN_PER_COPY_SECOND: f64 = 0.33;

/// Skew of layouts that follow demand.
const USUAL_SKEW: f64 = 1.3;

/// Layout of a group: for each set, the holders of each expert.
pub type Layout = Vec<Vec<Holders>>;

/// A layout that is worth a switch, with its gain in skew. The skew is the load of the slowest rank
/// relative to the mean load, for the estimated demand, averaged over the sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// The new layout.
    pub layout: Layout,
    /// Skew with the current layout.
    pub skew_before: f64,
    /// Skew with the new layout.
    pub skew_after: f64,
}

/// The initial layout of groups.
pub fn first(shape: &ExpertShape, ranks: usize) -> Layout {
    vec![expert_plan::round_robin(shape.experts, ranks); shape.sets]
}

/// A better layout, if it is worth a switch. `paces` are the times that the ranks take for a token,
/// relative to the usual time.
pub fn plan(
    shape: &ExpertShape,
    demand: &Demand,
    layout: &Layout,
    paces: &[f64],
) -> Option<Planned> {
    let ranks = paces.len();
    let mut copies_left = vec![max_copies_per_rank(shape); ranks];
    let (mut before, mut after) = (0.0, 0.0);
    let mut planned = layout.clone();
    // The sets with the highest skew come first, since the number of copies is limited.
    let mut sets: Vec<usize> = (0..shape.sets).collect();
    let demands: Option<Vec<Vec<f64>>> =
        sets.iter().map(|set| demand.shares_of_set(*set)).collect();
    let demands = demands?;
    let skew = |set: usize| expert_plan::skew(&layout[set], &demands[set], paces);
    sets.sort_by(|a, b| skew(*b).total_cmp(&skew(*a)));
    for set in sets {
        let shares = &demands[set];
        let limits = expert_plan::Limits {
            places: shape.places,
            max_new_experts: copies_left.iter().map(|left| (*left).min(shape.spare)).collect(),
            copy_cost: cost_per_copy(shape),
            paces: paces.to_vec(),
        };
        before += expert_plan::skew(&layout[set], shares, paces);
        planned[set] = expert_plan::plan(&layout[set], shares, &limits);
        after += expert_plan::skew(&planned[set], shares, paces);
        let new = expert_plan::new_experts(&layout[set], &planned[set], ranks);
        for (left, new) in copies_left.iter_mut().zip(new) {
            *left = left.saturating_sub(new);
        }
    }
    let copy_s = copy_time(shape, layout, &planned, ranks).0 as f64 / 1_000.0;
    let min_gain = MIN_GAIN + MIN_GAIN_PER_COPY_SECOND * copy_s;
    let sets = shape.sets.max(1) as f64;
    let (skew_before, skew_after) = (before / sets, after / sets);
    let is_worth_it = after < before * (1.0 - min_gain);
    is_worth_it.then_some(Planned { layout: planned, skew_before, skew_after })
}

/// Length of the passes of a group with a layout of this skew, where passes usually take
/// `usual_length`. A mean of earlier passes shows only seconds later that a rank became slow.
pub fn expected_pass(usual_length: Millis, skew: f64) -> Millis {
    Millis((usual_length.0 as f64 * (skew / USUAL_SKEW).max(1.0)) as u64)
}

/// Number of copies that a rank may make for one switch, over all sets.
fn max_copies_per_rank(shape: &ExpertShape) -> usize {
    let fitting = MAX_COPY_TIME.0 as f64 / copy_ms(shape).max(1.0);
    (fitting as usize).max(1)
}

/// Gain that a copy must bring, as a fraction of the mean load of one set.
fn cost_per_copy(shape: &ExpertShape) -> f64 {
    (COPY_COST_PER_SECOND * copy_ms(shape) / 1_000.0).min(MAX_COPY_COST)
}

/// Time that a rank takes to copy one expert, in milliseconds.
fn copy_ms(shape: &ExpertShape) -> f64 {
    let megabit = 8.0 * shape.expert_mb;
    1_000.0 * megabit / shape.link_mbps.max(1.0)
}

/// Time that the rank with the most to copy takes.
pub fn copy_time(shape: &ExpertShape, from: &Layout, to: &Layout, ranks: usize) -> Millis {
    let mut copies = vec![0; ranks];
    for (from, to) in from.iter().zip(to) {
        let new = expert_plan::new_experts(from, to, ranks);
        copies.iter_mut().zip(new).for_each(|(sum, new)| *sum += new);
    }
    let max_copies = copies.into_iter().max().unwrap_or_default() as f64;
    let copied = Millis((max_copies * copy_ms(shape)) as u64);
    if max_copies > 0.0 { copied + COPY_MARGIN } else { copied }
}

/// The experts that each rank holds, by set and rank.
pub fn by_rank(layout: &Layout, ranks: usize) -> Vec<Vec<Vec<u16>>> {
    let of_set = |set: &Vec<Holders>| {
        let mut held = vec![Vec::new(); ranks];
        for (expert, holders) in set.iter().enumerate() {
            holders.iter().for_each(|rank| held[usize::from(rank)].push(expert as u16));
        }
        held
    };
    layout.iter().map(of_set).collect()
}

/// The layout from the experts that each rank reports, by rank and set; `None` if a rank reports an
/// unknown expert.
pub fn from_ranks(shape: &ExpertShape, by_rank: &[Vec<Vec<u16>>]) -> Option<Layout> {
    let mut layout: Layout = vec![vec![Holders::default(); shape.experts]; shape.sets];
    for (rank, sets) in by_rank.iter().enumerate() {
        for (holders, held) in layout.iter_mut().zip(sets) {
            for expert in held {
                holders.get_mut(usize::from(*expert))?.insert(rank as Rank);
            }
        }
    }
    Some(layout)
}
