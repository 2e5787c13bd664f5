//! Changing a group's expert map: in every step, all ranks use one and the same map.
//!
//! A step needs every rank anyway, so the ranks agree among themselves: a leader stages the new
//! map at every rank for a step ahead, and commits when all have staged. A rank that has staged
//! promises not to run that step, or a later one, before it hears the outcome.
//!
//! Leaders come and go, and one that was paused may believe that it still leads. Each has a
//! [`Ballot`], and first asks all ranks to join it; a rank that has joined a ballot refuses lower
//! ones. So a leader that has been joined by all knows everything that was decided before, and
//! nothing can be decided behind its back. A leader decides only what was staged under its own
//! ballot; of an older leader's attempt it commits what some rank has committed and else aborts.
//!
//! - [`Rank`]: one rank's side.
//! - [`Leader`]: one leader's side.
//! - [`wire`]: the same as they cross processes.
//! - [`Order`], [`Reply`]: what they say to each other. Orders may be lost, late, repeated and
//!   reordered.
//!
//! The fence of a rank, [`Rank::promised`], must outlive its sidecar. A backend server that keeps
//! fences keeps it; before one that does not, a restarted sidecar answers nothing until it has
//! read from the table which ballots were given out ([`Rank::restore_fence`]).

mod leader;
mod rank;
pub mod wire;

pub use leader::Leader;
pub use leader::Progress;
pub use rank::Gate;
pub use rank::OrderAction;
pub use rank::Rank;

/// A leader's claim; the higher one wins.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ballot {
    /// Grows: with each lease of the group's leadership, or beyond all that a rank has seen.
    pub number: u64,
    /// 0 for the holder of the lease; else one more than the rank that leads without the store.
    pub proposer: u32,
}

/// One version of a group's expert map.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MapId {
    /// Grows by one with each switch that succeeds.
    pub version: u64,
    /// Whose proposal it is: two leaders may propose the same version.
    pub ballot: Ballot,
}

/// A map that a rank has staged.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Armed {
    /// The map.
    pub map: MapId,
    /// First step that is to use it.
    pub at_step: u64,
    /// Whether the switch is decided.
    pub committed: bool,
}

/// What a leader tells one rank.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Order {
    /// The leader's ballot.
    pub ballot: Ballot,
    /// What to do.
    pub kind: OrderKind,
}

/// Kinds of [`Order`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderKind {
    /// Refuse lower ballots from now on, and say how things stand.
    Join,
    /// Load the map's weights, and promise to wait for the outcome at `at_step`.
    Stage {
        /// The map.
        map: MapId,
        /// First step that is to use it.
        at_step: u64,
    },
    /// The switch to this map is decided.
    Commit {
        /// The map.
        map: MapId,
    },
    /// The switch to this map is off.
    Abort {
        /// The map.
        map: MapId,
    },
}

/// A rank's state, as a leader has to know it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RankState {
    /// The map in use.
    pub current: MapId,
    /// The map that is staged.
    pub armed: Option<Armed>,
    /// The next step to run.
    pub step: u64,
}

/// What a rank answers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reply {
    /// It has joined this ballot.
    Joined(Ballot, RankState),
    /// It has staged the map.
    Staged(MapId),
    /// It could not, and has promised nothing.
    NotStaged(MapId),
    /// The map is committed, or in use already.
    Committed(MapId),
    /// The map is not staged here, and never will be.
    Aborted(MapId),
    /// It has joined this higher ballot.
    Outdated(Ballot),
}
