//! Which rank of a group holds which experts: what a better map is, and what it costs to bring it in.

use crate::clock::Millis;
use crate::direct::expert_demand::Demand;
use crate::direct::expert_plan;
use crate::direct::holders::Holders;
use crate::direct::holders::Rank;
use crate::direct::serving::ExpertShape;

/// Time that the copies of one switch may take at a rank, beyond the first: demand goes on shifting
/// meanwhile, and a switch that is under way cannot be changed. Worth of days with trouble, without
/// processor time: where a copy takes 400 ms, 0.545 with two a rank and 0.630 with one; where it takes
/// 148 ms, 0.656 and 0.668; where it takes 76 ms, 0.717 with two, 0.716 with three, 0.661 with one.
const COPIES_TIME: Millis = Millis(200);

/// Added to the time that copies take by the link's rate: round trips, and a late start.
const COPY_MARGIN: Millis = Millis(30);

/// Most that a copy has to gain, in parts of the mean load of one set: 0.637 of worth in place of 0.630
/// with twice as much, where a copy takes 400 ms.
const MOST_COPY_PRICE: f64 = 0.03;

/// The same for each second that a copy takes: the most from 75 ms on. Where a copy takes 18 ms, on
/// groups of 96 ranks, plans end at a skew of 1.25 in place of 1.6, and worth of a day with many
/// shifts is 0.529 and 0.663 in place of 0.473 and 0.508 (two seeds, without processor time); with 0.15
/// it is 0.474 with the first of them, since passes are longer while ranks copy.
const COPY_PRICE_A_SECOND: f64 = 0.4;

/// Part of the present peak that any switch has to gain.
const LEAST_GAIN: f64 = 0.06;

/// The same for each second that its ranks copy: passes take longer meanwhile, and a shift of demand
/// that comes then is answered only after it. With a copy of 400 ms a switch has to gain a fifth: 0.652
/// of worth in place of 0.630 with 0.08; with one of 148 ms an eighth: 0.668 in place of 0.654 with a
/// fifth.
const LEAST_GAIN_A_SECOND: f64 = 0.33;

/// A group's experts: set by set, the ranks that hold each.
pub type Layout = Vec<Vec<Holders>>;

/// A layout that is worth a switch, and why: the load of the slowest rank over the mean, as demand is
/// estimated, in the mean of the sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// The layout.
    pub layout: Layout,
    /// With the layout as it is.
    pub skew_before: f64,
    /// With this one.
    pub skew_after: f64,
}

/// The layout that groups begin with.
pub fn first(shape: &ExpertShape, ranks: usize) -> Layout {
    vec![expert_plan::round_robin(shape.experts, ranks); shape.sets]
}

/// A better layout, if it is worth a switch. `paces` are the times that the ranks take for a token,
/// over the usual time.
pub fn plan(
    shape: &ExpertShape,
    demand: &Demand,
    layout: &Layout,
    paces: &[f64],
) -> Option<Planned> {
    let ranks = paces.len();
    let mut copies_left = vec![copies_each(shape); ranks];
    let (mut before, mut after) = (0.0, 0.0);
    let mut planned = layout.clone();
    // The sets with the most to gain first: copies are few.
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
            copy_cost: copy_price(shape),
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
    let least_gain = LEAST_GAIN + LEAST_GAIN_A_SECOND * copy_s;
    let sets = shape.sets.max(1) as f64;
    let (skew_before, skew_after) = (before / sets, after / sets);
    let is_worth_it = after < before * (1.0 - least_gain);
    is_worth_it.then_some(Planned { layout: planned, skew_before, skew_after })
}

/// Copies that a rank makes for one switch, over all sets.
fn copies_each(shape: &ExpertShape) -> usize {
    let fitting = COPIES_TIME.0 as f64 / copy_ms(shape).max(1.0);
    (fitting as usize).max(1)
}

/// Part of the mean load of one set that a copy has to gain.
fn copy_price(shape: &ExpertShape) -> f64 {
    (COPY_PRICE_A_SECOND * copy_ms(shape) / 1_000.0).min(MOST_COPY_PRICE)
}

/// How long a rank copies one expert.
fn copy_ms(shape: &ExpertShape) -> f64 {
    let megabit = 8.0 * shape.expert_mb;
    1_000.0 * megabit / shape.link_mbps.max(1.0)
}

/// How long the rank with the most to copy takes.
pub fn copy_time(shape: &ExpertShape, from: &Layout, to: &Layout, ranks: usize) -> Millis {
    let mut copies = vec![0; ranks];
    for (from, to) in from.iter().zip(to) {
        let new = expert_plan::new_experts(from, to, ranks);
        copies.iter_mut().zip(new).for_each(|(sum, new)| *sum += new);
    }
    let most = copies.into_iter().max().unwrap_or_default() as f64;
    let copied = Millis((most * copy_ms(shape)) as u64);
    if most > 0.0 { copied + COPY_MARGIN } else { copied }
}

/// The experts by set and rank.
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

/// The reverse, from what each rank told of each set; `None` if one names an expert that is not known.
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
