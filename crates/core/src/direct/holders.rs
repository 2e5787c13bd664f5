//! The ranks that hold a copy of one expert.

use smallvec::SmallVec;

/// A rank's place in its group.
pub type Rank = u16;

/// Most ranks of a group that is led: far more than the 64 to 128 that deployments have or plan, and
/// few enough that a report which names a nonsensical size takes no memory.
pub const MAX_RANKS: usize = 1_024;

/// Holders that need no memory of their own: most experts have one to three copies, hot ones more.
const INLINE: usize = 8;

/// The ranks that hold a copy of one expert, in rising order, each once.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Holders(SmallVec<[Rank; INLINE]>);

impl Holders {
    /// One rank alone.
    pub fn one(rank: Rank) -> Holders {
        Holders(SmallVec::from_slice(&[rank]))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no rank holds the expert.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether this rank is one of them.
    pub fn contains(&self, rank: Rank) -> bool {
        self.0.binary_search(&rank).is_ok()
    }

    /// The ranks, in rising order.
    pub fn iter(&self) -> impl Iterator<Item = Rank> {
        self.0.iter().copied()
    }

    /// Adds a rank, if it is not one of them.
    pub fn insert(&mut self, rank: Rank) {
        if let Err(place) = self.0.binary_search(&rank) {
            self.0.insert(place, rank);
        }
    }

    /// Takes a rank away, if it is one of them.
    pub fn remove(&mut self, rank: Rank) {
        if let Ok(place) = self.0.binary_search(&rank) {
            self.0.remove(place);
        }
    }
}
