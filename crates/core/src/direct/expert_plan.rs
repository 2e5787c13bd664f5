//! Planner of expert placements: a greedy search over the ranks that hold experts.
//! Input: the current placement, the experts' shares of tokens, limits. State: of one search only.
//! It decides which rank holds which expert of one set of layers, where each copy has a cost.
//!
//! The ranks that hold an expert split its tokens evenly, and the rank with the highest load
//! determines how long a pass takes. Starting from the current placement, the search makes the
//! change that lowers the peak load most per copy, until no change is worth its copies. Removing an
//! expert from a rank costs nothing, so the search considers free places, replicas that can be
//! removed, and exchanges alike. Unlike [`placement`](crate::placement), which fills every slot, it
//! works where places stay free and where the number of experts that are new to a rank is bounded.
//!
//! Ranks may differ in speed. A rank that is slow for a while gets fewer tokens; otherwise all
//! others would wait for it in every pass.
//!
//! The peak is expressed as a high norm, not as the maximum: where several ranks are equally
//! loaded, no single change lowers the maximum at all.
//!
//! A change affects only the ranks that hold one or two experts, however large the group is, and
//! only those ranks are evaluated, so the time of a plan grows linearly with the number of ranks,
//! not with its square. `crates/core/tests/expert_plans.rs` compares it with a search that
//! evaluates all ranks for each change.

use crate::direct::holders::Holders;
use crate::direct::holders::Rank;

/// Exponent of the norm: high enough that the norm is close to the maximum over some ranks.
const NORM_EXPONENT: i32 = 8;

/// Fraction of the mean load below which a gain is a rounding error.
const MIN_GAIN: f64 = 1e-6;

/// Bounds of a plan.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Experts that a rank can hold.
    pub places: usize,
    /// Experts that may be new to each rank.
    pub max_new_experts: Vec<usize>,
    /// Gain that one copy must bring, as a fraction of the mean load.
    pub copy_cost: f64,
    /// Time that each rank takes for a token, relative to the usual time.
    pub paces: Vec<f64>,
}

/// The initial placement of groups: experts assigned to ranks round-robin.
pub fn round_robin(experts: usize, ranks: usize) -> Vec<Holders> {
    (0..experts).map(|expert| Holders::one((expert % ranks.max(1)) as Rank)).collect()
}

/// Load of each rank: the time that it takes for its tokens, in units of the usual time for a
/// token.
pub fn loads(holders: &[Holders], shares: &[f64], paces: &[f64]) -> Vec<f64> {
    let mut loads = vec![0.0; paces.len()];
    for (held_by, share) in holders.iter().zip(shares) {
        let each = share / held_by.len().max(1) as f64;
        for rank in held_by.iter() {
            let rank = usize::from(rank);
            loads[rank] += each * paces[rank];
        }
    }
    loads
}

/// Load of the slowest rank relative to the load of each rank if tokens were split by their paces.
pub fn skew(holders: &[Holders], shares: &[f64], paces: &[f64]) -> f64 {
    let slowest = loads(holders, shares, paces).into_iter().fold(0.0, f64::max);
    let mean = mean_load(shares, paces);
    if mean > 0.0 { slowest / mean } else { 1.0 }
}

/// The load of each rank if the tokens were split among the ranks by their paces.
fn mean_load(shares: &[f64], paces: &[f64]) -> f64 {
    let total_speed: f64 = paces.iter().map(|pace| 1.0 / pace).sum();
    shares.iter().sum::<f64>() / total_speed
}

/// Number of experts that are new to each rank.
pub fn new_experts(from: &[Holders], to: &[Holders], ranks: usize) -> Vec<usize> {
    let mut new = vec![0; ranks];
    for (old, held_by) in from.iter().zip(to) {
        for rank in held_by.iter().filter(|rank| !old.contains(*rank)) {
            new[usize::from(rank)] += 1;
        }
    }
    new
}

/// A change to the holders of one expert.
#[derive(Clone, Copy, Debug)]
struct Edit {
    expert: usize,
    gains: Option<Rank>,
    loses: Option<Rank>,
}

/// One step of the search: edits of one or two experts.
#[derive(Clone, Copy, Debug)]
struct Change {
    first: Edit,
    second: Option<Edit>,
}

impl Change {
    fn edits(&self) -> impl Iterator<Item = Edit> + use<> {
        [Some(self.first), self.second].into_iter().flatten()
    }
}

/// A placement with a lower peak load for these shares.
///
/// # Panics
///
/// If there is not one share for each expert and one pace for each rank.
pub fn plan(current: &[Holders], shares: &[f64], limits: &Limits) -> Vec<Holders> {
    assert_eq!(current.len(), shares.len(), "one share for each expert");
    assert_eq!(limits.max_new_experts.len(), limits.paces.len(), "one pace for each rank");
    let mut search = Search::new(current, shares, limits);
    let max_changes =
        2 * limits.max_new_experts.iter().sum::<usize>() + limits.max_new_experts.len();
    for _ in 0..max_changes {
        let Some(change) = search.best() else { break };
        search.apply(change);
    }
    search.holders
}

struct Search<'a> {
    start: &'a [Holders],
    shares: &'a [f64],
    limits: &'a Limits,
    holders: Vec<Holders>,
    /// Experts of each rank, in rising order.
    held: Vec<Vec<usize>>,
    loads: Vec<f64>,
    /// Sum over all ranks of the load relative to the mean, to the power of the norm's exponent.
    power_sum: f64,
    new: Vec<usize>,
    mean: f64,
    /// Effect of the change under evaluation on each rank's load, and the ranks that it affects.
    shifts: Vec<f64>,
    touched: Vec<usize>,
}

impl<'a> Search<'a> {
    fn new(start: &'a [Holders], shares: &'a [f64], limits: &'a Limits) -> Search<'a> {
        let ranks = limits.max_new_experts.len();
        let mut held = vec![Vec::new(); ranks];
        for (expert, held_by) in start.iter().enumerate() {
            held_by.iter().for_each(|rank| held[usize::from(rank)].push(expert));
        }
        let mut search = Search {
            start,
            shares,
            limits,
            holders: start.to_vec(),
            held,
            loads: loads(start, shares, &limits.paces),
            power_sum: 0.0,
            new: vec![0; ranks],
            mean: mean_load(shares, &limits.paces),
            shifts: vec![0.0; ranks],
            touched: Vec::new(),
        };
        search.recompute_powers();
        search
    }

    /// The change that lowers the peak most per copy, if any change is worth its copies.
    fn best(&mut self) -> Option<Change> {
        if self.mean <= 0.0 {
            return None;
        }
        let before = norm(self.power_sum);
        let slowest =
            (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]))?;
        let mut best: Option<(f64, Change)> = None;
        for change in self.candidates(slowest) {
            let Some(copies) = self.allowed(&change) else { continue };
            let gain = before - self.norm_after(&change) - self.limits.copy_cost * copies as f64;
            let rate = gain / copies.max(1) as f64;
            if gain > MIN_GAIN && best.as_ref().is_none_or(|(known, _)| rate > *known) {
                best = Some((rate, change));
            }
        }
        best.map(|(_, change)| change)
    }

    /// Changes that take tokens away from the slowest rank.
    fn candidates(&self, slowest: usize) -> Vec<Change> {
        let from = slowest as Rank;
        let mut changes = Vec::new();
        for &expert in &self.held[slowest] {
            let held_by = &self.holders[expert];
            if self.shares[expert] <= 0.0 {
                continue;
            }
            if held_by.len() > 1 {
                let dropped = Edit { expert, gains: None, loses: Some(from) };
                changes.push(Change { first: dropped, second: None });
            }
            for target in 0..self.loads.len() {
                let to = target as Rank;
                if self.loads[target] >= self.mean || held_by.contains(to) {
                    continue;
                }
                let added = Edit { expert, gains: Some(to), loses: None };
                let moved = Edit { expert, gains: Some(to), loses: Some(from) };
                if self.held[target].len() < self.limits.places {
                    changes.push(Change { first: added, second: None });
                    changes.push(Change { first: moved, second: None });
                    continue;
                }
                self.changes_to_full_rank(to, from, added, moved, &mut changes);
            }
        }
        changes
    }

    /// Changes that add or move an expert to a full rank: an expert that other ranks hold too is
    /// removed from it, or two experts are exchanged.
    fn changes_to_full_rank(
        &self,
        to: Rank,
        from: Rank,
        added: Edit,
        moved: Edit,
        changes: &mut Vec<Change>,
    ) {
        for &other in &self.held[usize::from(to)] {
            let held_by = &self.holders[other];
            if held_by.len() > 1 {
                let gone = Some(Edit { expert: other, gains: None, loses: Some(to) });
                changes.push(Change { first: added, second: gone });
                changes.push(Change { first: moved, second: gone });
            }
            if !held_by.contains(from) && self.shares[other] < self.shares[added.expert] {
                let exchanged = Edit { expert: other, gains: Some(from), loses: Some(to) };
                changes.push(Change { first: moved, second: Some(exchanged) });
            }
        }
    }

    /// Number of copies that a change needs; `None` if a rank would get too many new experts.
    fn allowed(&self, change: &Change) -> Option<usize> {
        let mut copies = 0;
        for edit in change.edits() {
            let Some(rank) = edit.gains else { continue };
            if self.start[edit.expert].contains(rank) {
                continue;
            }
            copies += 1;
            let rank = usize::from(rank);
            if self.new[rank] >= self.limits.max_new_experts[rank] {
                return None;
            }
        }
        Some(copies)
    }

    /// The norm of the loads after a change.
    fn norm_after(&mut self, change: &Change) -> f64 {
        self.compute_shifts(change);
        let mut power_sum = self.power_sum;
        for &rank in &self.touched {
            let load = self.loads[rank];
            power_sum += self.power(load + self.shifts[rank]) - self.power(load);
        }
        self.clear_shifts();
        norm(power_sum)
    }

    /// Records the effect of a change on the loads of the ranks that it affects.
    fn compute_shifts(&mut self, change: &Change) {
        for edit in change.edits() {
            let held_by = &self.holders[edit.expert];
            let (before, share) = (held_by.len(), self.shares[edit.expert]);
            let after =
                before + usize::from(edit.gains.is_some()) - usize::from(edit.loses.is_some());
            let each = |holders: usize| share / holders.max(1) as f64;
            let kept = each(after) - each(before);
            let paces = &self.limits.paces;
            let stays = held_by.iter().filter(|rank| Some(*rank) != edit.loses);
            let shifts = stays.map(|rank| (rank, kept));
            let gained = edit.gains.map(|rank| (rank, each(after)));
            let lost = edit.loses.map(|rank| (rank, -each(before)));
            for (rank, shift) in shifts.chain(gained).chain(lost) {
                let rank = usize::from(rank);
                if self.shifts[rank] == 0.0 {
                    self.touched.push(rank);
                }
                self.shifts[rank] += shift * paces[rank];
            }
        }
        // A rank whose shifts cancelled out in between may be in the list twice.
        self.touched.sort_unstable();
        self.touched.dedup();
    }

    fn clear_shifts(&mut self) {
        for rank in self.touched.drain(..) {
            self.shifts[rank] = 0.0;
        }
    }

    fn apply(&mut self, change: Change) {
        self.compute_shifts(&change);
        for &rank in &self.touched {
            self.loads[rank] += self.shifts[rank];
        }
        self.clear_shifts();
        self.recompute_powers();
        for edit in change.edits() {
            if let Some(rank) = edit.loses {
                self.lose(edit.expert, rank);
            }
            if let Some(rank) = edit.gains {
                self.gain(edit.expert, rank);
            }
        }
    }

    fn gain(&mut self, expert: usize, rank: Rank) {
        self.holders[expert].insert(rank);
        let held = &mut self.held[usize::from(rank)];
        held.insert(held.partition_point(|known| *known < expert), expert);
        self.new[usize::from(rank)] += usize::from(!self.start[expert].contains(rank));
    }

    fn lose(&mut self, expert: usize, rank: Rank) {
        self.holders[expert].remove(rank);
        self.held[usize::from(rank)].retain(|known| *known != expert);
        self.new[usize::from(rank)] -= usize::from(!self.start[expert].contains(rank));
    }

    /// Recomputes the sum of the powers of the loads: one that is only updated accumulates rounding
    /// errors.
    fn recompute_powers(&mut self) {
        self.power_sum = self.loads.iter().map(|load| self.power(*load)).sum();
    }

    fn power(&self, load: f64) -> f64 {
        (load / self.mean).max(0.0).powi(NORM_EXPONENT)
    }
}

/// The norm of the loads relative to their mean, from the sum of the powers of the loads.
fn norm(power_sum: f64) -> f64 {
    power_sum.max(0.0).powf(1.0 / f64::from(NORM_EXPONENT))
}
