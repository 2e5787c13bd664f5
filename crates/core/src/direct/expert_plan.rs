//! Which rank holds which expert of one set of layers, where every copy of an expert costs.
//!
//! The ranks that hold an expert split its tokens evenly, and the rank with the most tokens sets
//! the pace. From the placement as it is, the search makes the change that lowers the peak most for
//! its copies, until no change is worth its copies. What is dropped costs nothing, so it considers
//! free places, replicas that can go, and exchanges alike. Unlike
//! [`placement`](crate::placement), which fills every slot, it works where places stay free and
//! where the number of experts that are new to a rank is bounded.
//!
//! Ranks may differ in speed: one that is slow for a while is given fewer tokens, or all others would
//! wait for it in every pass.
//!
//! The peak is measured by a high norm, not by the maximum: where several ranks are equally loaded,
//! no single change lowers the maximum at all.

/// Exponent of the norm: high enough to be close to the maximum of some ranks.
const NORM: i32 = 8;

/// Part of the mean load below which a gain is a rounding error.
const LEAST_GAIN: f64 = 1e-6;

/// The ranks that hold an expert, one bit each.
pub type Holders = u64;

/// Most ranks of a group.
pub const MOST_RANKS: usize = 64;

/// Bounds of a plan.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Experts that a rank can hold.
    pub places: usize,
    /// Experts that may be new to each rank.
    pub new_at: Vec<usize>,
    /// Part of the mean load that one copy has to gain.
    pub price: f64,
    /// How long each rank takes for a token, over the usual time.
    pub paces: Vec<f64>,
}

/// The placement that groups begin with: experts dealt out in turn.
pub fn dealt(experts: usize, ranks: usize) -> Vec<Holders> {
    (0..experts).map(|expert| 1 << (expert % ranks.max(1))).collect()
}

/// Each rank's load: the time that it takes for its tokens, in usual tokens.
pub fn loads(holders: &[Holders], shares: &[f64], paces: &[f64]) -> Vec<f64> {
    let mut loads = vec![0.0; paces.len()];
    for (mask, share) in holders.iter().zip(shares) {
        let each = share / f64::from(mask.count_ones().max(1));
        for (rank, (load, pace)) in loads.iter_mut().zip(paces).enumerate() {
            if mask >> rank & 1 == 1 {
                *load += each * pace;
            }
        }
    }
    loads
}

/// Load of the slowest rank over what each would have if they shared the tokens by their paces.
pub fn skew(holders: &[Holders], shares: &[f64], paces: &[f64]) -> f64 {
    let slowest = loads(holders, shares, paces).into_iter().fold(0.0, f64::max);
    let mean = mean_load(shares, paces);
    if mean > 0.0 { slowest / mean } else { 1.0 }
}

/// The load of each rank if they shared the tokens by their paces.
fn mean_load(shares: &[f64], paces: &[f64]) -> f64 {
    let tokens_a_time: f64 = paces.iter().map(|pace| 1.0 / pace).sum();
    shares.iter().sum::<f64>() / tokens_a_time
}

/// Experts that are new to each rank.
pub fn new_at(from: &[Holders], to: &[Holders], ranks: usize) -> Vec<usize> {
    let is_new =
        |rank: usize| move |(old, new): (&Holders, &Holders)| (new & !old) >> rank & 1 == 1;
    (0..ranks).map(|rank| from.iter().zip(to).filter(|pair| is_new(rank)(*pair)).count()).collect()
}

/// One change of a placement.
#[derive(Clone, Copy, Debug)]
struct Change {
    /// Experts and their new holders; the second may be the first unchanged.
    first: (usize, Holders),
    second: Option<(usize, Holders)>,
}

/// A better placement for these shares.
///
/// # Panics
///
/// If there is not one share for each expert and one pace for each rank, or more than [`MOST_RANKS`]
/// ranks.
pub fn plan(current: &[Holders], shares: &[f64], limits: &Limits) -> Vec<Holders> {
    assert_eq!(current.len(), shares.len(), "one share for each expert");
    assert!(limits.new_at.len() <= MOST_RANKS, "at most {MOST_RANKS} ranks");
    assert_eq!(limits.new_at.len(), limits.paces.len(), "one pace for each rank");
    let mut search = Search::new(current, shares, limits);
    let most_changes = 2 * limits.new_at.iter().sum::<usize>() + limits.new_at.len();
    for _ in 0..most_changes {
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
    loads: Vec<f64>,
    used: Vec<usize>,
    new: Vec<usize>,
    mean: f64,
    scratch: Vec<f64>,
}

impl<'a> Search<'a> {
    fn new(start: &'a [Holders], shares: &'a [f64], limits: &'a Limits) -> Search<'a> {
        let ranks = limits.new_at.len();
        let held = |rank: usize| start.iter().filter(|mask| *mask >> rank & 1 == 1).count();
        Search {
            start,
            shares,
            limits,
            holders: start.to_vec(),
            loads: loads(start, shares, &limits.paces),
            used: (0..ranks).map(held).collect(),
            new: vec![0; ranks],
            mean: mean_load(shares, &limits.paces),
            scratch: vec![0.0; ranks],
        }
    }

    /// The change that lowers the peak most for its copies, if one is worth them.
    fn best(&mut self) -> Option<Change> {
        if self.mean <= 0.0 {
            return None;
        }
        let before = norm(&self.loads);
        let slowest =
            (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]))?;
        let mut best: Option<(f64, Change)> = None;
        for change in self.candidates(slowest) {
            let Some(copies) = self.allowed(&change) else { continue };
            self.weigh(&change);
            let gain = before - norm(&self.scratch) - self.limits.price * self.mean * copies as f64;
            let rate = gain / copies.max(1) as f64;
            let least = LEAST_GAIN * self.mean;
            if gain > least && best.as_ref().is_none_or(|(known, _)| rate > *known) {
                best = Some((rate, change));
            }
        }
        best.map(|(_, change)| change)
    }

    /// Changes that take tokens off a rank.
    fn candidates(&self, slowest: usize) -> Vec<Change> {
        let bit = 1 << slowest;
        let mut found = Vec::new();
        for expert in 0..self.holders.len() {
            let mask = self.holders[expert];
            if mask & bit == 0 || self.shares[expert] <= 0.0 {
                continue;
            }
            if mask != bit {
                found.push(Change { first: (expert, mask & !bit), second: None });
            }
            for target in 0..self.loads.len() {
                if mask >> target & 1 == 1 || self.loads[target] >= self.mean {
                    continue;
                }
                let target_bit = 1 << target;
                let added = (expert, mask | target_bit);
                let moved = (expert, (mask | target_bit) & !bit);
                if self.used[target] < self.limits.places {
                    found.push(Change { first: added, second: None });
                    found.push(Change { first: moved, second: None });
                    continue;
                }
                self.make_room(target_bit, bit, added, moved, &mut found);
            }
        }
        found
    }

    /// The same onto a rank that is full: an expert that stands elsewhere too goes, or one is
    /// exchanged for the other.
    fn make_room(
        &self,
        target_bit: Holders,
        bit: Holders,
        added: (usize, Holders),
        moved: (usize, Holders),
        found: &mut Vec<Change>,
    ) {
        for other in 0..self.holders.len() {
            let held = self.holders[other];
            if held & target_bit == 0 || other == added.0 {
                continue;
            }
            if held != target_bit {
                let gone = Some((other, held & !target_bit));
                found.push(Change { first: added, second: gone });
                found.push(Change { first: moved, second: gone });
            }
            if held & bit == 0 && self.shares[other] < self.shares[added.0] {
                let exchanged = Some((other, (held & !target_bit) | bit));
                found.push(Change { first: moved, second: exchanged });
            }
        }
    }

    /// Copies that a change needs; `None` if a rank would have too many experts or new ones.
    fn allowed(&self, change: &Change) -> Option<usize> {
        let mut copies = 0;
        for (expert, mask) in change.parts() {
            let gained = mask & !self.holders[expert];
            let copied = gained & !self.start[expert];
            copies += copied.count_ones() as usize;
            for rank in 0..self.loads.len() {
                if copied >> rank & 1 == 1 && self.new[rank] >= self.limits.new_at[rank] {
                    return None;
                }
            }
        }
        Some(copies)
    }

    /// Loads after a change, into `scratch`.
    fn weigh(&mut self, change: &Change) {
        self.scratch.copy_from_slice(&self.loads);
        for (expert, mask) in change.parts() {
            self.shift(expert, mask);
        }
    }

    fn shift(&mut self, expert: usize, mask: Holders) {
        let (old, share) = (self.holders[expert], self.shares[expert]);
        let before = share / f64::from(old.count_ones().max(1));
        let after = share / f64::from(mask.count_ones().max(1));
        let ranks = self.scratch.iter_mut().zip(&self.limits.paces);
        for (rank, (load, pace)) in ranks.enumerate() {
            if old >> rank & 1 == 1 {
                *load -= before * pace;
            }
            if mask >> rank & 1 == 1 {
                *load += after * pace;
            }
        }
    }

    fn apply(&mut self, change: Change) {
        self.weigh(&change);
        self.loads.copy_from_slice(&self.scratch);
        for (expert, mask) in change.parts() {
            let old = std::mem::replace(&mut self.holders[expert], mask);
            let start = self.start[expert];
            for rank in 0..self.loads.len() {
                let at = |mask: Holders| usize::from(mask >> rank & 1 == 1);
                self.used[rank] = self.used[rank] + at(mask) - at(old);
                self.new[rank] = self.new[rank] + at(mask & !start) - at(old & !start);
            }
        }
    }
}

impl Change {
    fn parts(&self) -> impl Iterator<Item = (usize, Holders)> + use<> {
        [Some(self.first), self.second].into_iter().flatten()
    }
}

fn norm(loads: &[f64]) -> f64 {
    let peak = loads.iter().copied().fold(0.0, f64::max);
    if peak <= 0.0 {
        return 0.0;
    }
    let sum: f64 = loads.iter().map(|load| (load / peak).powi(NORM)).sum();
    peak * sum.powf(1.0 / f64::from(NORM))
}
