//! Layout of one layer: the expert in each slot of each rank.
//! Input: replacements of an expert in a slot, and swaps of slots between ranks.
//! State: the slots, and an index of the ranks of each expert. Rejects invalid layouts.

/// An expert of a layer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Expert(pub u16);

/// A rank of a group.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rank(pub u16);

/// Loading of the weights of `expert` into a slot of `rank`, in place of `replaced`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Move {
    /// The rank.
    pub rank: Rank,
    /// The slot of that rank.
    pub slot: usize,
    /// The expert that is loaded.
    pub expert: Expert,
    /// The expert that was in the slot.
    pub replaced: Expert,
}

/// Experts in slots. Each expert has at least one replica, and at most one on each rank.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Layout {
    ranks: usize,
    slots_per_rank: usize,
    slots: Vec<Expert>,
    /// The ranks that have a replica of each expert, in no particular order.
    holders: Vec<Vec<Rank>>,
    /// Whether a rank has a replica of an expert, indexed by expert and then rank.
    has_replica: Vec<bool>,
}

impl Layout {
    /// The initial layout: a round-robin placement of all experts on the ranks until the slots are
    /// full.
    ///
    /// # Panics
    ///
    /// If there are fewer slots than experts, or more slots on a rank than experts.
    pub fn round_robin(experts: usize, ranks: usize, slots_per_rank: usize) -> Layout {
        assert!(ranks * slots_per_rank >= experts, "too few slots for {experts} experts");
        assert!(slots_per_rank <= experts, "more slots on a rank than experts");
        let mut columns: Vec<Vec<Expert>> = vec![Vec::new(); ranks];
        for index in 0..ranks * slots_per_rank {
            let column = &mut columns[index % ranks];
            let candidates = (0..experts).map(|shift| Expert(((index + shift) % experts) as u16));
            let free = candidates.into_iter().find(|expert| !column.contains(expert));
            column.extend(free);
        }
        Layout::from_ranks(experts, &columns)
    }

    /// The layout with the given experts on each rank.
    ///
    /// # Panics
    ///
    /// If an expert has no replica or two on one rank, or ranks differ in their number of slots.
    pub fn from_ranks(experts: usize, columns: &[Vec<Expert>]) -> Layout {
        let ranks = columns.len();
        let slots_per_rank = columns.first().map_or(0, Vec::len);
        let mut layout = Layout {
            ranks,
            slots_per_rank,
            slots: Vec::with_capacity(ranks * slots_per_rank),
            holders: vec![Vec::new(); experts],
            has_replica: vec![false; experts * ranks],
        };
        for (rank, column) in columns.iter().enumerate() {
            assert_eq!(column.len(), slots_per_rank, "every rank has the same slots");
            for expert in column {
                let place = usize::from(expert.0) * ranks + rank;
                assert!(!layout.has_replica[place], "{expert:?} is twice on rank {rank}");
                layout.has_replica[place] = true;
                layout.holders[usize::from(expert.0)].push(Rank(rank as u16));
                layout.slots.push(*expert);
            }
        }
        let everywhere = layout.holders.iter().all(|ranks| !ranks.is_empty());
        assert!(everywhere, "each expert has a replica");
        layout
    }

    /// Number of experts.
    pub fn experts(&self) -> usize {
        self.holders.len()
    }

    /// Number of ranks.
    pub fn ranks(&self) -> usize {
        self.ranks
    }

    /// Slots of each rank.
    pub fn slots_per_rank(&self) -> usize {
        self.slots_per_rank
    }

    /// The experts on a rank.
    pub fn on(&self, rank: Rank) -> &[Expert] {
        let from = usize::from(rank.0) * self.slots_per_rank;
        &self.slots[from..from + self.slots_per_rank]
    }

    /// Number of replicas of an expert.
    pub fn replicas(&self, expert: Expert) -> u16 {
        self.holders[usize::from(expert.0)].len() as u16
    }

    /// Whether a rank has a replica of an expert.
    pub fn has_replica(&self, expert: Expert, rank: Rank) -> bool {
        self.has_replica[usize::from(expert.0) * self.ranks + usize::from(rank.0)]
    }

    /// The ranks that have a replica of an expert.
    pub fn ranks_of(&self, expert: Expert) -> impl Iterator<Item = Rank> {
        self.holders[usize::from(expert.0)].iter().copied()
    }

    /// Replaces the expert in a slot by another one.
    ///
    /// # Panics
    ///
    /// If an expert would be left without a replica, or have two on one rank. Swaps between ranks
    /// need [`Layout::swap`].
    pub fn load(&mut self, rank: Rank, slot: usize, expert: Expert) -> Move {
        let place = usize::from(rank.0) * self.slots_per_rank + slot;
        let replaced = self.slots[place];
        assert!(self.replicas(replaced) > 1, "{replaced:?} would have no replica");
        assert!(!self.has_replica(expert, rank), "{expert:?} is already on {rank:?}");
        self.set(place, rank, expert);
        Move { rank, slot, expert, replaced }
    }

    /// Swaps the experts in two slots of two ranks.
    ///
    /// # Panics
    ///
    /// If an expert would have two replicas on one rank.
    pub fn swap(&mut self, a: (Rank, usize), b: (Rank, usize)) -> [Move; 2] {
        let place = |(rank, slot): (Rank, usize)| usize::from(rank.0) * self.slots_per_rank + slot;
        let (place_a, place_b) = (place(a), place(b));
        let (expert_a, expert_b) = (self.slots[place_a], self.slots[place_b]);
        assert!(
            !self.has_replica(expert_a, b.0) && !self.has_replica(expert_b, a.0),
            "an expert is already on the other rank"
        );
        self.set(place_a, a.0, expert_b);
        self.set(place_b, b.0, expert_a);
        [
            Move { rank: a.0, slot: a.1, expert: expert_b, replaced: expert_a },
            Move { rank: b.0, slot: b.1, expert: expert_a, replaced: expert_b },
        ]
    }

    /// Number of weight loads that change this layout into `other`: replicas that a rank has in
    /// `other` but not in this layout.
    pub fn weight_loads_to(&self, other: &Layout) -> usize {
        let here = self.has_replica.iter().zip(&other.has_replica);
        here.filter(|(here, there)| **there && !**here).count()
    }

    /// Load of each rank: its share of the tokens.
    pub fn loads(&self, shares: &[f64]) -> Vec<f64> {
        let mut loads = vec![0.0; self.ranks];
        for (rank, load) in loads.iter_mut().enumerate() {
            let experts = self.on(Rank(rank as u16));
            *load = experts.iter().map(|expert| self.replica_load(shares, *expert)).sum();
        }
        loads
    }

    /// Load of the most loaded rank over the mean load.
    pub fn skew(&self, shares: &[f64]) -> f64 {
        let slowest = self.loads(shares).into_iter().fold(0.0, f64::max);
        slowest * self.ranks as f64 / shares.iter().sum::<f64>()
    }

    /// Share of the tokens of each replica of an expert.
    pub(super) fn replica_load(&self, shares: &[f64], expert: Expert) -> f64 {
        shares[usize::from(expert.0)] / f64::from(self.replicas(expert))
    }

    fn set(&mut self, place: usize, rank: Rank, expert: Expert) {
        let old = self.slots[place];
        self.has_replica[usize::from(old.0) * self.ranks + usize::from(rank.0)] = false;
        self.holders[usize::from(old.0)].retain(|holder| *holder != rank);
        self.has_replica[usize::from(expert.0) * self.ranks + usize::from(rank.0)] = true;
        self.holders[usize::from(expert.0)].push(rank);
        self.slots[place] = expert;
    }
}
