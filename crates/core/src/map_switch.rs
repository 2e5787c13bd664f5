//! Protocol that switches a group's expert map: in each step, all ranks use the same map.
//! Input: orders of leaders and replies of ranks. State: one [`Leader`] per ballot, one [`Rank`].
//! Decides when a new map is committed or aborted, and which step uses it.
//!
//! A step needs all ranks anyway, so the protocol also needs all of them: a leader stages the new
//! map at each rank for a later step, and commits it when all ranks have staged it. A rank that has
//! staged a map promises not to run that step or a later one before it receives the outcome.
//!
//! Leadership changes, and a leader that was suspended may still act as one. Each leader has a
//! [`Ballot`], and first sends all ranks an order to join it. A rank that has joined a ballot
//! refuses orders of lower ballots. So a leader that was joined by all ranks knows all earlier
//! decisions, and no earlier leader can decide anything later. A leader decides only on maps that
//! were staged under its own ballot. Of the maps of earlier leaders, it commits one that some rank
//! has committed, and aborts the others.
//!
//! - [`Rank`]: the state machine of a rank.
//! - [`Leader`]: the state machine of a leader.
//! - [`wire`]: conversions to and from messages.
//! - [`Order`], [`Reply`]: the messages between them. Orders may be lost, delayed, duplicated and
//!   reordered.
//!
//! The fence of a rank, [`Rank::promised`], must outlive its sidecar. A backend server that keeps
//! fences stores it. For one that does not, a restarted sidecar does not reply until it has read
//! from the table the highest ballot that was granted ([`Rank::restore_fence`]).

mod leader;
mod rank;
pub mod wire;

pub use leader::Leader;
pub use leader::Progress;
pub use rank::Gate;
pub use rank::OrderAction;
pub use rank::Rank;

/// Identifier of a leader's term; the higher ballot takes precedence.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ballot {
    /// Grows with each lease of the group's leadership. A rank that leads without the store uses a
    /// number above all that it has seen.
    pub number: u64,
    /// 0 for the holder of the lease; otherwise the number of the rank that leads without the
    /// store, plus one.
    pub proposer: u32,
}

/// One version of a group's expert map.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MapId {
    /// Grows with each switch.
    pub version: u64,
    /// Ballot of the leader that proposed it, since two leaders may propose the same version.
    pub ballot: Ballot,
}

/// A map that a rank has staged.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Armed {
    /// The map.
    pub map: MapId,
    /// First step that is to use it.
    pub at_step: u64,
    /// Whether the switch is committed.
    pub committed: bool,
}

/// Message from a leader to one rank.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Order {
    /// The leader's ballot.
    pub ballot: Ballot,
    /// Kind of the order.
    pub kind: OrderKind,
}

/// Kinds of [`Order`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderKind {
    /// Refuse lower ballots from now on, and reply with the rank's state.
    Join,
    /// Load the map's weights, and promise to wait at `at_step` for the outcome.
    Stage {
        /// The map.
        map: MapId,
        /// First step that is to use it.
        at_step: u64,
    },
    /// The switch to this map is committed.
    Commit {
        /// The map.
        map: MapId,
    },
    /// The switch to this map is aborted.
    Abort {
        /// The map.
        map: MapId,
    },
}

/// The state of a rank that it reports to leaders.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RankState {
    /// The map in use.
    pub current: MapId,
    /// The map that is staged.
    pub armed: Option<Armed>,
    /// The next step to run.
    pub step: u64,
}

/// Reply of a rank to a leader.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reply {
    /// The rank has joined this ballot.
    Joined(Ballot, RankState),
    /// The rank has staged the map.
    Staged(MapId),
    /// The rank has not staged the map, and has not promised to wait.
    NotStaged(MapId),
    /// The map is committed, or already in use.
    Committed(MapId),
    /// The map is not staged at the rank, and is never staged later.
    Aborted(MapId),
    /// The rank has joined this higher ballot.
    Outdated(Ballot),
}
