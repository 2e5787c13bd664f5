//! Which rank of a group holds which experts: what a better map is, and what it costs to bring it in.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::expert_plan;
use hooktrestle_core::direct::expert_plan::Holders;
use hooktrestle_core::direct::serving::ExpertShape;

use crate::maps::demand::Demand;

/// Copies that a rank makes for one switch, over all sets: a copy takes 148 ms at the users, and
/// demand shifts every few seconds.
const COPIES_EACH: usize = 2;

/// Added to the time that copies take by the link's rate: round trips, and a late start.
const COPY_MARGIN: Millis = Millis(30);

/// Part of the mean load of one set that a copy has to gain.
const COPY_PRICE: f64 = 0.06;

/// Part of the present peak that a switch has to gain.
const LEAST_GAIN: f64 = 0.08;

/// A group's experts: set by set, the ranks that hold each.
pub(super) type Layout = Vec<Vec<Holders>>;

/// The layout that groups begin with.
pub(super) fn first(shape: &ExpertShape, ranks: usize) -> Layout {
    vec![expert_plan::dealt(shape.experts, ranks); shape.sets]
}

/// A better layout, if it is worth a switch. `paces` are the times that the ranks take for a token,
/// over the usual time.
pub(super) fn plan(
    shape: &ExpertShape,
    demand: &Demand,
    layout: &Layout,
    paces: &[f64],
) -> Option<Layout> {
    let ranks = paces.len();
    let mut copies_left = vec![COPIES_EACH; ranks];
    let (mut before, mut after) = (0.0, 0.0);
    let mut planned = layout.clone();
    // The sets with the most to gain first: copies are few.
    let mut sets: Vec<usize> = (0..shape.sets).collect();
    let demands: Option<Vec<Vec<f64>>> = sets.iter().map(|set| demand.of_set(*set)).collect();
    let demands = demands?;
    let skew = |set: usize| expert_plan::skew(&layout[set], &demands[set], paces);
    sets.sort_by(|a, b| skew(*b).total_cmp(&skew(*a)));
    for set in sets {
        let shares = &demands[set];
        let limits = expert_plan::Limits {
            places: shape.places,
            new_at: copies_left.iter().map(|left| (*left).min(shape.spare)).collect(),
            price: COPY_PRICE,
            paces: paces.to_vec(),
        };
        before += expert_plan::skew(&layout[set], shares, paces);
        planned[set] = expert_plan::plan(&layout[set], shares, &limits);
        after += expert_plan::skew(&planned[set], shares, paces);
        let new = expert_plan::new_at(&layout[set], &planned[set], ranks);
        for (left, new) in copies_left.iter_mut().zip(new) {
            *left = left.saturating_sub(new);
        }
    }
    (after < before * (1.0 - LEAST_GAIN)).then_some(planned)
}

/// How long the rank with the most to copy takes.
pub(super) fn copy_time(shape: &ExpertShape, from: &Layout, to: &Layout, ranks: usize) -> Millis {
    let mut copies = vec![0; ranks];
    for (from, to) in from.iter().zip(to) {
        let new = expert_plan::new_at(from, to, ranks);
        copies.iter_mut().zip(new).for_each(|(sum, new)| *sum += new);
    }
    let most = copies.into_iter().max().unwrap_or_default() as f64;
    let megabit = 8.0 * shape.expert_mb;
    let copied = Millis((1_000.0 * most * megabit / shape.link_mbps.max(1.0)) as u64);
    if most > 0.0 { copied + COPY_MARGIN } else { copied }
}

/// The experts by set and rank.
pub(super) fn by_rank(layout: &Layout, ranks: usize) -> Vec<Vec<Vec<u16>>> {
    let of_rank = |set: &Vec<Holders>, rank: usize| {
        let held = set.iter().enumerate().filter(|(_, mask)| **mask >> rank & 1 == 1);
        held.map(|(expert, _)| expert as u16).collect::<Vec<u16>>()
    };
    layout.iter().map(|set| (0..ranks).map(|rank| of_rank(set, rank)).collect()).collect()
}
