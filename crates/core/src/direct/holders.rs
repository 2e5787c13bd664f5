//! Holders of an expert: a sorted set of the ranks that hold a copy of it.
//! Input: ranks to add or to remove. State: the ranks, held inline while they are few.
//! It decides nothing; the planners of expert layouts build their maps from it.

use smallvec::SmallVec;

/// Index of a rank in its group.
pub type Rank = u16;

/// Maximum number of ranks of a group whose map a gateway manages. It is far above the 64 to 128
/// ranks that deployments have or plan, and low enough that a report of a nonsensical group size
/// does not use up memory.
pub const MAX_RANKS: usize = 1_024;

/// Holders that are stored inline: most experts have one to three copies, hot ones more.
const INLINE_HOLDERS: usize = 8;

/// The ranks that hold a copy of one expert, in rising order, each once.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Holders(SmallVec<[Rank; INLINE_HOLDERS]>);

impl Holders {
    /// A set of one rank.
    pub fn one(rank: Rank) -> Holders {
        Holders(SmallVec::from_slice(&[rank]))
    }

    /// Number of ranks that hold the expert.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no rank holds the expert.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether this rank holds the expert.
    pub fn contains(&self, rank: Rank) -> bool {
        self.0.binary_search(&rank).is_ok()
    }

    /// The ranks, in rising order.
    pub fn iter(&self) -> impl Iterator<Item = Rank> {
        self.0.iter().copied()
    }

    /// Adds a rank, if it is not in the set.
    pub fn insert(&mut self, rank: Rank) {
        if let Err(position) = self.0.binary_search(&rank) {
            self.0.insert(position, rank);
        }
    }

    /// Removes a rank, if it is in the set.
    pub fn remove(&mut self, rank: Rank) {
        if let Ok(position) = self.0.binary_search(&rank) {
            self.0.remove(position);
        }
    }
}
