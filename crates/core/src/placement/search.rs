//! Planner of expert moves: searches for the few moves whose gain exceeds their cost.
//! Input: a layout, the experts' shares of the tokens, the ranks' speeds, and how long these last.
//! State: buffers of the current search. Decides which weights to load into which slots.
//!
//! From the current layout, the search takes the slowest rank and makes the change with the largest
//! gain per weight load: it swaps an expert with another rank, or gives an expert of the rank a
//! further replica on another rank, in place of a replica that is needed less. It repeats this
//! until no change has a gain. Then it transfers a replica to the expert with the hottest replicas,
//! from the expert that can spare it best. A transfer may increase the skew until later swaps make
//! use of it. The search stops after several transfers without an improvement. The result is the
//! prefix of the sequence of changes with the largest net gain: the gain over the time for which
//! the shares are expected to last, minus the cost of the loads. A prefix is chosen, and changes
//! are not judged individually, because no single change has a gain while several ranks are
//! equally slow.

use crate::placement::layout::Expert;
use crate::placement::layout::Layout;
use crate::placement::layout::Move;
use crate::placement::layout::Rank;

/// Number of transfers without an improvement after which the search stops.
const MAX_FRUITLESS_TRANSFERS: usize = 6;

/// Costs of skew and of moves, and a limit of moves.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Weight that the service gives to a millisecond that is lost to the slowest rank.
    pub weight_skew: f64,
    /// Weight that the service gives to a millisecond that is lost to moving experts.
    pub weight_rebalance: f64,
    /// Step time that is lost to loading the weights of one expert, in milliseconds.
    pub load_ms: f64,
    /// Maximum number of weight loads in one plan, as the weight store's rate allows.
    pub max_loads: usize,
}

/// Plans changes of one group's layouts, layer by layer. It reuses its buffers between plans.
#[derive(Clone, Debug)]
pub struct Planner {
    config: Config,
    replica_load: Vec<f64>,
    loads: Vec<f64>,
    changes: Vec<Change>,
    /// Experts to which the search has transferred a replica.
    protected: Vec<Expert>,
}

/// One change of a layout.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    /// Swap the experts in two slots of two ranks: two weight loads.
    Swap { a: (Rank, usize), b: (Rank, usize) },
    /// Load another expert into a slot: one weight load.
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

/// The best change so far.
#[derive(Clone, Copy, Debug)]
struct Best {
    change: Option<Change>,
    /// Reduction of the slowest affected rank's load per weight load.
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
    /// A planner with empty buffers.
    pub fn new(config: Config) -> Planner {
        Planner {
            config,
            replica_load: Vec::new(),
            loads: Vec::new(),
            changes: Vec::new(),
            protected: Vec::new(),
        }
    }

    /// Changes a layout for the given shares, and returns the weights to load.
    ///
    /// `lasts_ms` is the time for which these shares are expected to last, and so the time for
    /// which a move saves its gain. `speeds` are the relative speeds of the ranks, so that a rank
    /// that is slow for other reasons than its load gets less load. If empty, all ranks are equally
    /// fast.
    ///
    /// # Panics
    ///
    /// If the number of shares differs from the number of experts.
    pub fn plan(
        &mut self,
        layout: &mut Layout,
        shares: &[f64],
        speeds: &[f64],
        lasts_ms: f64,
    ) -> Vec<Move> {
        assert_eq!(shares.len(), layout.experts(), "one share for each expert");
        let mean = shares.iter().sum::<f64>() / layout.ranks() as f64;
        let mut candidate = layout.clone();
        self.start(&candidate, shares, speeds);
        self.changes.clear();
        self.protected.clear();
        let initial_load = self.slowest().1;
        let (mut best_net, mut best_len, mut loads) = (0.0, 0, 0);
        let cost_per_load = self.cost_per_load(lasts_ms) * mean;
        let mut fruitless = 0;
        while loads < self.config.max_loads {
            let change = match self.improve(&candidate, shares, speeds, mean) {
                Some(change) => change,
                None if fruitless >= MAX_FRUITLESS_TRANSFERS => break,
                None => match self.transfer(&candidate, shares, speeds) {
                    Some((change, expert)) => {
                        fruitless += 1;
                        self.protected.push(expert);
                        change
                    }
                    None => break,
                },
            };
            self.apply(&mut candidate, shares, speeds, change);
            self.changes.push(change);
            loads += change.loads();
            let net = initial_load - self.slowest().1 - cost_per_load * loads as f64;
            if net > best_net {
                (best_net, best_len) = (net, self.changes.len());
                fruitless = 0;
            }
            if initial_load - mean - cost_per_load * loads as f64 <= best_net {
                break;
            }
        }
        self.changes.truncate(best_len);
        commit(layout, &self.changes)
    }

    /// Cost of one weight load, as a fraction of the mean load.
    fn cost_per_load(&self, lasts_ms: f64) -> f64 {
        let Config { weight_skew, weight_rebalance, load_ms, .. } = self.config;
        weight_rebalance * load_ms / (weight_skew * lasts_ms).max(f64::MIN_POSITIVE)
    }

    fn start(&mut self, layout: &Layout, shares: &[f64], speeds: &[f64]) {
        self.replica_load.clear();
        let experts = (0..layout.experts()).map(|index| Expert(index as u16));
        self.replica_load.extend(experts.map(|expert| layout.replica_load(shares, expert)));
        self.loads.clear();
        for rank in 0..layout.ranks() {
            let load = self.load_of(layout, Rank(rank as u16), speeds);
            self.loads.push(load);
        }
    }

    fn load_of(&self, layout: &Layout, rank: Rank, speeds: &[f64]) -> f64 {
        let tokens: f64 = layout.on(rank).iter().map(|expert| self.replica_load_of(*expert)).sum();
        tokens / speed(speeds, rank)
    }

    fn replica_load_of(&self, expert: Expert) -> f64 {
        self.replica_load[usize::from(expert.0)]
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

    /// The change with the largest reduction of the slowest rank's load per weight load.
    fn improve(
        &self,
        layout: &Layout,
        shares: &[f64],
        speeds: &[f64],
        mean: f64,
    ) -> Option<Change> {
        let (hot, top) = self.slowest();
        // Gains below this are rounding errors.
        let mut best = Best { change: None, gain: mean * 1e-6 };
        for other in (0..layout.ranks()).map(|rank| Rank(rank as u16)) {
            // Only a less loaded rank can take over load.
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
        // The best result of a swap is an equal load of both ranks.
        let level = (top * speed_hot + load_other * speed_other) / (speed_hot + speed_other);
        if (top - level) / 2.0 <= best.gain {
            return;
        }
        for (slot_hot, mine) in layout.on(hot).iter().enumerate() {
            let mine_each = self.replica_load_of(*mine);
            for (slot_other, theirs) in layout.on(other).iter().enumerate() {
                let moved = mine_each - self.replica_load_of(*theirs);
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

    /// Considers a further replica, on `other`, of an expert of the slowest rank.
    fn try_replicas(
        &self,
        layout: &Layout,
        shares: &[f64],
        speeds: &[f64],
        (hot, top): (Rank, f64),
        other: Rank,
        best: &mut Best,
    ) {
        for (slot, removed) in layout.on(other).iter().enumerate() {
            if !self.can_remove(layout, *removed) {
                continue;
            }
            let more = match layout.has_replica(*removed, hot) {
                true => self.extra_load_without(layout, shares, *removed),
                false => 0.0,
            };
            let others_load =
                self.load_after_removal(layout, shares, speeds, *removed, [other, hot]);
            if top - others_load <= best.gain {
                continue;
            }
            for expert in layout.on(hot) {
                if layout.has_replica(*expert, other) {
                    continue;
                }
                let share = shares[usize::from(expert.0)];
                let new_each = share / f64::from(layout.replicas(*expert) + 1);
                let less = self.replica_load_of(*expert) - new_each - more;
                let hot_after = top - less / speed(speeds, hot);
                if top - hot_after <= best.gain {
                    continue;
                }
                let change = new_each - self.replica_load_of(*removed);
                let other_after = self.load(other) + change / speed(speeds, other);
                let after = hot_after.max(other_after);
                if top - after <= best.gain {
                    continue;
                }
                best.consider(
                    Change::Load { at: (other, slot), expert: *expert },
                    top - after.max(others_load),
                );
            }
        }
    }

    /// Considers the replacement of one of the slowest rank's replicas by a less loaded one.
    fn try_shedding(
        &self,
        layout: &Layout,
        shares: &[f64],
        speeds: &[f64],
        (hot, top): (Rank, f64),
        best: &mut Best,
    ) {
        for (slot, removed) in layout.on(hot).iter().enumerate() {
            if !self.can_remove(layout, *removed) {
                continue;
            }
            let others_load = self.load_after_removal(layout, shares, speeds, *removed, [hot; 2]);
            if top - others_load <= best.gain {
                continue;
            }
            for (index, share) in shares.iter().enumerate() {
                let expert = Expert(index as u16);
                if layout.has_replica(expert, hot) {
                    continue;
                }
                let new_each = share / f64::from(layout.replicas(expert) + 1);
                let change = new_each - self.replica_load_of(*removed);
                let hot_after = top + change / speed(speeds, hot);
                best.consider(
                    Change::Load { at: (hot, slot), expert },
                    top - hot_after.max(others_load),
                );
            }
        }
    }

    /// A further replica of the expert with the hottest replicas, in place of a replica of the
    /// expert whose remaining replicas get the least load.
    fn transfer(
        &self,
        layout: &Layout,
        shares: &[f64],
        speeds: &[f64],
    ) -> Option<(Change, Expert)> {
        let experts = || (0..layout.experts()).map(|index| Expert(index as u16));
        let room = |expert: &Expert| usize::from(layout.replicas(*expert)) < layout.ranks();
        let hottest = experts()
            .filter(room)
            .max_by(|a, b| self.replica_load_of(*a).total_cmp(&self.replica_load_of(*b)))?;
        let spared = |expert: &Expert| {
            shares[usize::from(expert.0)] / f64::from(layout.replicas(*expert) - 1)
        };
        let spare = experts()
            .filter(|expert| *expert != hottest && self.can_remove(layout, *expert))
            .filter(|expert| {
                layout.ranks_of(*expert).any(|rank| !layout.has_replica(hottest, rank))
            })
            .min_by(|a, b| spared(a).total_cmp(&spared(b)))?;
        if spared(&spare) >= self.replica_load_of(hottest) {
            return None;
        }
        let new_each = shares[usize::from(hottest.0)] / f64::from(layout.replicas(hottest) + 1);
        let after = |rank: &Rank| {
            self.load(*rank) + (new_each - self.replica_load_of(spare)) / speed(speeds, *rank)
        };
        let rank = layout
            .ranks_of(spare)
            .filter(|rank| !layout.has_replica(hottest, *rank))
            .min_by(|a, b| after(a).total_cmp(&after(b)))?;
        let slot = layout.on(rank).iter().position(|expert| *expert == spare)?;
        Some((Change::Load { at: (rank, slot), expert: hottest }, hottest))
    }

    /// Whether a replica of this expert can be removed. Replicas of an expert that has received a
    /// transfer cannot: removal would be the cheapest change, and would return the search to the
    /// layout where it was stuck.
    fn can_remove(&self, layout: &Layout, expert: Expert) -> bool {
        layout.replicas(expert) > 1 && !self.protected.contains(&expert)
    }

    /// Additional load of each remaining replica of an expert when one replica is removed.
    fn extra_load_without(&self, layout: &Layout, shares: &[f64], expert: Expert) -> f64 {
        let share = shares[usize::from(expert.0)];
        share / f64::from(layout.replicas(expert) - 1) - self.replica_load_of(expert)
    }

    /// Load of the slowest rank with this expert, other than `except`, when one replica of it is
    /// removed.
    fn load_after_removal(
        &self,
        layout: &Layout,
        shares: &[f64],
        speeds: &[f64],
        expert: Expert,
        except: [Rank; 2],
    ) -> f64 {
        let more = self.extra_load_without(layout, shares, expert);
        layout
            .ranks_of(expert)
            .filter(|other| !except.contains(other))
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
                    self.replica_load[usize::from(changed.0)] =
                        layout.replica_load(shares, changed);
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

/// Applies changes to a layout, and lists the weights to load. A slot that changed several times is
/// loaded once, and a slot that has its former expert again is not loaded.
fn commit(layout: &mut Layout, changes: &[Change]) -> Vec<Move> {
    let mut moves: Vec<Move> = Vec::new();
    let mut record = |done: Move| {
        let known = moves.iter_mut().find(|old| old.rank == done.rank && old.slot == done.slot);
        match known {
            Some(old) => old.expert = done.expert,
            None => moves.push(done),
        }
    };
    for change in changes {
        match *change {
            Change::Swap { a, b } => layout.swap(a, b).into_iter().for_each(&mut record),
            Change::Load { at: (rank, slot), expert } => record(layout.load(rank, slot, expert)),
        }
    }
    moves.retain(|done| done.expert != done.replaced);
    moves
}

fn speed(speeds: &[f64], rank: Rank) -> f64 {
    speeds.get(usize::from(rank.0)).copied().unwrap_or(1.0)
}
