//! The few moves that are worth their cost.
//!
//! From the layout as it is, the search takes the slowest rank and makes the change there that
//! helps most for each load of weights: exchanging an expert with another rank, or giving one of
//! its experts a further replica elsewhere in place of a replica that is needed less. It goes on
//! until nothing helps; then it moves a replica to the expert whose replicas are hottest from the one
//! that can spare it best, which may make things worse until further exchanges make use of it. It
//! stops after some of these in vain, and keeps the beginning of that sequence whose gain, over the time that
//! popularity lasts, outweighs its cost most. Choosing a beginning, not judging each move by
//! itself, matters: where several ranks are equally slow, no single move helps at all.

use crate::placement::layout::Expert;
use crate::placement::layout::Layout;
use crate::placement::layout::Move;
use crate::placement::layout::Rank;

/// Replicas that are moved in vain before the search stops.
const MOST_FRUITLESS: usize = 6;

/// What moves cost, and what they gain.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Cost that the service puts on a millisecond lost to the slowest rank.
    pub weight_skew: f64,
    /// Cost that it puts on a millisecond lost to moving experts.
    pub weight_rebalance: f64,
    /// Step time lost to loading one expert's weights, in milliseconds.
    pub load_ms: f64,
    /// Most loads in one plan: what the weight store's rate allows.
    pub max_loads: usize,
}

/// Plans changes of one group's layouts, layer by layer; keeps its memory between plans.
#[derive(Clone, Debug)]
pub struct Planner {
    config: Config,
    each: Vec<f64>,
    loads: Vec<f64>,
    changes: Vec<Change>,
    /// Experts that the search has moved a replica to.
    protected: Vec<Expert>,
}

/// One change of a layout.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    /// Exchange two slots of two ranks: two loads.
    Swap { a: (Rank, usize), b: (Rank, usize) },
    /// Load another expert into a slot: one load.
    Load { at: (Rank, usize), expert: Expert },
}

impl Change {
    fn loads(self) -> usize {
        match self {
            Change::Swap { .. } => 2,
            Change::Load { .. } => 1,
        }
    }
}

/// The best change found so far.
#[derive(Clone, Copy, Debug)]
struct Best {
    change: Option<Change>,
    /// Reduction of the slowest affected rank's load, for each load of weights.
    gain: f64,
}

impl Best {
    fn consider(&mut self, change: Change, gain: f64) {
        let gain = gain / change.loads() as f64;
        if gain > self.gain {
            *self = Best { change: Some(change), gain };
        }
    }
}

impl Planner {
    /// A planner.
    pub fn new(config: Config) -> Planner {
        Planner {
            config,
            each: Vec::new(),
            loads: Vec::new(),
            changes: Vec::new(),
            protected: Vec::new(),
        }
    }

    /// Changes a layout for these shares, and says which weights have to be loaded.
    ///
    /// `lasts_ms` is how long these shares can be expected to last: what a move saves, it saves for
    /// so long. `speeds` are the ranks' speeds relative to each other; a rank that is slow for other reasons
    /// than its load gets less of it. Empty: all are alike.
    ///
    /// # Panics
    ///
    /// If there is not one share for each expert.
    pub fn plan(
        &mut self,
        layout: &mut Layout,
        shares: &[f64],
        speeds: &[f64],
        lasts_ms: f64,
    ) -> Vec<Move> {
        assert_eq!(shares.len(), layout.experts(), "one share for each expert");
        let mean = shares.iter().sum::<f64>() / layout.ranks() as f64;
        let mut tried = layout.clone();
        self.start(&tried, shares, speeds);
        self.changes.clear();
        self.protected.clear();
        let first = self.slowest().1;
        let (mut best_net, mut best_len, mut loads) = (0.0, 0, 0);
        let price = self.price(lasts_ms) * mean;
        let mut fruitless = 0;
        while loads < self.config.max_loads {
            let change = match self.improve(&tried, shares, speeds, mean) {
                Some(change) => change,
                None if fruitless >= MOST_FRUITLESS => break,
                None => match self.transfer(&tried, shares, speeds) {
                    Some((change, expert)) => {
                        fruitless += 1;
                        self.protected.push(expert);
                        change
                    }
                    None => break,
                },
            };
            self.apply(&mut tried, shares, speeds, change);
            self.changes.push(change);
            loads += change.loads();
            let net = first - self.slowest().1 - price * loads as f64;
            if net > best_net {
                (best_net, best_len) = (net, self.changes.len());
                fruitless = 0;
            }
            if first - mean - price * loads as f64 <= best_net {
                break;
            }
        }
        self.changes.truncate(best_len);
        commit(layout, &self.changes)
    }

    /// What one load of weights costs, as a part of the mean load.
    fn price(&self, lasts_ms: f64) -> f64 {
        let Config { weight_skew, weight_rebalance, load_ms, .. } = self.config;
        weight_rebalance * load_ms / (weight_skew * lasts_ms).max(f64::MIN_POSITIVE)
    }

    fn start(&mut self, layout: &Layout, shares: &[f64], speeds: &[f64]) {
        self.each.clear();
        let experts = (0..layout.experts()).map(|index| Expert(index as u16));
        self.each.extend(experts.map(|expert| layout.each(shares, expert)));
        self.loads.clear();
        for rank in 0..layout.ranks() {
            let load = self.load_of(layout, Rank(rank as u16), speeds);
            self.loads.push(load);
        }
    }

    fn load_of(&self, layout: &Layout, rank: Rank, speeds: &[f64]) -> f64 {
        let tokens: f64 = layout.on(rank).iter().map(|expert| self.each_of(*expert)).sum();
        tokens / speed(speeds, rank)
    }

    fn each_of(&self, expert: Expert) -> f64 {
        self.each[usize::from(expert.0)]
    }

    fn load(&self, rank: Rank) -> f64 {
        self.loads[usize::from(rank.0)]
    }

    fn slowest(&self) -> (Rank, f64) {
        let mut slowest = (Rank(0), f64::MIN);
        for (rank, load) in self.loads.iter().enumerate() {
            if *load > slowest.1 {
                slowest = (Rank(rank as u16), *load);
            }
        }
        slowest
    }

    /// The change that helps the slowest rank most for each load of weights.
    fn improve(
        &self,
        layout: &Layout,
        shares: &[f64],
        speeds: &[f64],
        mean: f64,
    ) -> Option<Change> {
        let (hot, top) = self.slowest();
        // Less than this is rounding.
        let mut best = Best { change: None, gain: mean * 1e-6 };
        for other in (0..layout.ranks()).map(|rank| Rank(rank as u16)) {
            // A rank that is nearly as slow cannot take anything over.
            if other != hot && self.load(other) < top {
                self.try_swaps(layout, speeds, (hot, top), other, &mut best);
                self.try_replicas(layout, shares, speeds, (hot, top), other, &mut best);
            }
        }
        self.try_shedding(layout, shares, speeds, (hot, top), &mut best);
        best.change
    }

    fn try_swaps(
        &self,
        layout: &Layout,
        speeds: &[f64],
        (hot, top): (Rank, f64),
        other: Rank,
        best: &mut Best,
    ) {
        let (speed_hot, speed_other) = (speed(speeds, hot), speed(speeds, other));
        let load_other = self.load(other);
        // No exchange can do better than to level both.
        let level = (top * speed_hot + load_other * speed_other) / (speed_hot + speed_other);
        if (top - level) / 2.0 <= best.gain {
            return;
        }
        for (slot_hot, mine) in layout.on(hot).iter().enumerate() {
            let mine_each = self.each_of(*mine);
            for (slot_other, theirs) in layout.on(other).iter().enumerate() {
                let moved = mine_each - self.each_of(*theirs);
                if moved <= 0.0 {
                    continue;
                }
                let after = (top - moved / speed_hot).max(load_other + moved / speed_other);
                let gain = (top - after) / 2.0;
                if gain > best.gain
                    && !layout.has_replica(*mine, other)
                    && !layout.has_replica(*theirs, hot)
                {
                    let change = Change::Swap { a: (hot, slot_hot), b: (other, slot_other) };
                    best.consider(change, top - after);
                }
            }
        }
    }

    /// A further replica, on `other`, of an expert of the slowest rank.
    fn try_replicas(
        &self,
        layout: &Layout,
        shares: &[f64],
        speeds: &[f64],
        (hot, top): (Rank, f64),
        other: Rank,
        best: &mut Best,
    ) {
        for (slot, given_up) in layout.on(other).iter().enumerate() {
            if !self.may_give_up(layout, *given_up) {
                continue;
            }
            let more = match layout.has_replica(*given_up, hot) {
                true => self.more_without_one(layout, shares, *given_up),
                false => 0.0,
            };
            let rest = self.after_giving_up(layout, shares, speeds, *given_up, [other, hot]);
            if top - rest <= best.gain {
                continue;
            }
            for expert in layout.on(hot) {
                if layout.has_replica(*expert, other) {
                    continue;
                }
                let share = shares[usize::from(expert.0)];
                let new_each = share / f64::from(layout.replicas(*expert) + 1);
                let less = self.each_of(*expert) - new_each - more;
                let hot_after = top - less / speed(speeds, hot);
                if top - hot_after <= best.gain {
                    continue;
                }
                let change = new_each - self.each_of(*given_up);
                let other_after = self.load(other) + change / speed(speeds, other);
                let after = hot_after.max(other_after);
                if top - after <= best.gain {
                    continue;
                }
                best.consider(
                    Change::Load { at: (other, slot), expert: *expert },
                    top - after.max(rest),
                );
            }
        }
    }

    /// One of the slowest rank's replicas gives way to an expert that is needed less there.
    fn try_shedding(
        &self,
        layout: &Layout,
        shares: &[f64],
        speeds: &[f64],
        (hot, top): (Rank, f64),
        best: &mut Best,
    ) {
        for (slot, given_up) in layout.on(hot).iter().enumerate() {
            if !self.may_give_up(layout, *given_up) {
                continue;
            }
            let rest = self.after_giving_up(layout, shares, speeds, *given_up, [hot; 2]);
            if top - rest <= best.gain {
                continue;
            }
            for (index, share) in shares.iter().enumerate() {
                let expert = Expert(index as u16);
                if layout.has_replica(expert, hot) {
                    continue;
                }
                let new_each = share / f64::from(layout.replicas(expert) + 1);
                let change = new_each - self.each_of(*given_up);
                let hot_after = top + change / speed(speeds, hot);
                best.consider(Change::Load { at: (hot, slot), expert }, top - hot_after.max(rest));
            }
        }
    }

    /// A further replica of the expert whose replicas are hottest, in place of one of the expert
    /// that can spare it best.
    fn transfer(
        &self,
        layout: &Layout,
        shares: &[f64],
        speeds: &[f64],
    ) -> Option<(Change, Expert)> {
        let experts = || (0..layout.experts()).map(|index| Expert(index as u16));
        let room = |expert: &Expert| usize::from(layout.replicas(*expert)) < layout.ranks();
        let hottest =
            experts().filter(room).max_by(|a, b| self.each_of(*a).total_cmp(&self.each_of(*b)))?;
        let spared = |expert: &Expert| {
            shares[usize::from(expert.0)] / f64::from(layout.replicas(*expert) - 1)
        };
        let spare = experts()
            .filter(|expert| *expert != hottest && self.may_give_up(layout, *expert))
            .filter(|expert| {
                layout.ranks_of(*expert).any(|rank| !layout.has_replica(hottest, rank))
            })
            .min_by(|a, b| spared(a).total_cmp(&spared(b)))?;
        if spared(&spare) >= self.each_of(hottest) {
            return None;
        }
        let new_each = shares[usize::from(hottest.0)] / f64::from(layout.replicas(hottest) + 1);
        let after = |rank: &Rank| {
            self.load(*rank) + (new_each - self.each_of(spare)) / speed(speeds, *rank)
        };
        let rank = layout
            .ranks_of(spare)
            .filter(|rank| !layout.has_replica(hottest, *rank))
            .min_by(|a, b| after(a).total_cmp(&after(b)))?;
        let slot = layout.on(rank).iter().position(|expert| *expert == spare)?;
        Some((Change::Load { at: (rank, slot), expert: hottest }, hottest))
    }

    /// Whether a replica of this expert can go. One that was just moved to an expert must not: to
    /// drop it again is the cheapest way back to where the search was stuck.
    fn may_give_up(&self, layout: &Layout, expert: Expert) -> bool {
        layout.replicas(expert) > 1 && !self.protected.contains(&expert)
    }

    /// What each other replica of an expert takes over when one goes.
    fn more_without_one(&self, layout: &Layout, shares: &[f64], expert: Expert) -> f64 {
        let share = shares[usize::from(expert.0)];
        share / f64::from(layout.replicas(expert) - 1) - self.each_of(expert)
    }

    /// Load of the slowest of the ranks with this expert `but` these, once one has given it up.
    fn after_giving_up(
        &self,
        layout: &Layout,
        shares: &[f64],
        speeds: &[f64],
        expert: Expert,
        but: [Rank; 2],
    ) -> f64 {
        let more = self.more_without_one(layout, shares, expert);
        layout
            .ranks_of(expert)
            .filter(|other| !but.contains(other))
            .map(|other| self.load(other) + more / speed(speeds, other))
            .fold(0.0, f64::max)
    }

    fn apply(&mut self, layout: &mut Layout, shares: &[f64], speeds: &[f64], change: Change) {
        match change {
            Change::Swap { a, b } => {
                layout.swap(a, b);
                for (rank, _) in [a, b] {
                    self.loads[usize::from(rank.0)] = self.load_of(layout, rank, speeds);
                }
            }
            Change::Load { at: (rank, slot), expert } => {
                let done = layout.load(rank, slot, expert);
                for changed in [done.expert, done.replaced] {
                    self.each[usize::from(changed.0)] = layout.each(shares, changed);
                }
                self.loads[usize::from(rank.0)] = self.load_of(layout, rank, speeds);
                for changed in [done.expert, done.replaced] {
                    for other in layout.ranks_of(changed) {
                        self.loads[usize::from(other.0)] = self.load_of(layout, other, speeds);
                    }
                }
            }
        }
    }
}

/// Carries changes out, and lists the weights to load: a slot that changed twice is loaded once,
/// and one that is back at what it was not at all.
fn commit(layout: &mut Layout, changes: &[Change]) -> Vec<Move> {
    let mut moves: Vec<Move> = Vec::new();
    let mut note = |done: Move| {
        let known = moves.iter_mut().find(|old| old.rank == done.rank && old.slot == done.slot);
        match known {
            Some(old) => old.expert = done.expert,
            None => moves.push(done),
        }
    };
    for change in changes {
        match *change {
            Change::Swap { a, b } => layout.swap(a, b).into_iter().for_each(&mut note),
            Change::Load { at: (rank, slot), expert } => note(layout.load(rank, slot, expert)),
        }
    }
    moves.retain(|done| done.expert != done.replaced);
    moves
}

fn speed(speeds: &[f64], rank: Rank) -> f64 {
    speeds.get(usize::from(rank.0)).copied().unwrap_or(1.0)
}
