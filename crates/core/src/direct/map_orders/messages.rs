//! What passes between a leader and its ranks, and between a switch and whoever carries it out.

use crate::clock::Millis;

/// A rank as it reports itself; some hundred milliseconds old.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RankReport {
    /// Life of the group.
    pub epoch: u64,
    /// Whether the group makes passes.
    pub open: bool,
    /// Last pass that has begun.
    pub pass: u64,
    /// Version of the map in use.
    pub map: u64,
    /// Version that is copied in.
    pub prepared: Option<u64>,
    /// Version that is armed, and the pass from which it holds.
    pub armed: Option<(u64, u64)>,
    /// Pass that does not begin until it is released.
    pub held: Option<u64>,
}

impl RankReport {
    /// Version that is armed.
    pub(super) fn armed_version(&self) -> Option<u64> {
        self.armed.map(|(version, _)| version)
    }

    /// Version that is armed or, if none is, waits to be.
    pub(super) fn pending_version(&self) -> Option<u64> {
        self.armed_version().or(self.prepared)
    }

    /// The newest version that it names.
    pub(super) fn newest_version(&self) -> u64 {
        let pending = self.armed_version().max(self.prepared);
        self.map.max(pending.unwrap_or_default())
    }
}

/// What a rank is ordered.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Order {
    /// Copy the switch's map in, under this version.
    Prepare {
        /// Version of the map.
        version: u64,
    },
    /// Use a map from a pass on.
    Arm {
        /// Version of the map.
        version: u64,
        /// The pass.
        pass: u64,
    },
    /// Do not use it after all.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Do not begin a pass.
    Hold {
        /// The pass.
        pass: u64,
    },
    /// Begin it.
    Go {
        /// The pass.
        pass: u64,
    },
}

/// Who gives an order to its rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sender {
    /// The machine beside the rank: at no price, and none other reaches the rank while it stands still.
    Local,
    /// A machine that no rank of the group needs.
    Remote,
}

impl Order {
    /// Who gives it. From the hold on the group waits until all ranks were reached: whoever gives that
    /// order may stand still upon it, and must not be one that is needed then.
    pub fn sender(self) -> Sender {
        match self {
            Order::Hold { .. } => Sender::Remote,
            _ => Sender::Local,
        }
    }
}

/// An order with what guards it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FencedOrder {
    /// What is ordered.
    pub order: Order,
    /// The leader's fencing token.
    pub fencing_token: u64,
    /// The group's life that it is meant for.
    pub epoch: u64,
}

/// What a rank is asked in a round.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RankRequest {
    /// Its report.
    Report,
    /// To do something.
    Order(FencedOrder),
}

/// What came back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// A report.
    Report(RankReport),
    /// The order was taken.
    Accepted,
    /// What is ordered holds already.
    AlreadyInEffect,
    /// It does not fit the rank's state.
    Conflict,
    /// A higher fencing token was seen.
    Fenced,
    /// Nothing: it may have been taken, or may be taken later.
    NoAnswer,
}

/// What comes next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// RankRequest these ranks, all at once.
    Round(Vec<(usize, RankRequest)>),
    /// Look again after a pause.
    Pause(Millis),
    /// The new map is in force from its pass on.
    Switched,
    /// The group is clean, but this map was not brought in: plan anew.
    Discarded,
    /// The group has another epoch or is not open: begin anew later.
    Changed,
    /// Another leader has a higher fencing token.
    Superseded,
    /// No version is left for this fencing token: claim a new one.
    VersionsExhausted,
}

/// What a leader knows of a group before a switch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    /// Nothing: all ranks are looked at first.
    Unknown,
    /// Its own last switch was completed, and nothing else was begun since.
    Settled {
        /// Life of the group.
        epoch: u64,
    },
}
