//! Messages between a leader and the ranks of a group, and between a switch and its driver.
//! Input: a rank's report, or an order. State: none; all types are plain values.
//! An order determines which process sends it; a report, which map versions a rank has.

use crate::clock::Millis;

/// State of a rank as it reports it; some hundred milliseconds old.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RankReport {
    /// Epoch of the group.
    pub epoch: u64,
    /// Whether the group is open, so that it makes passes.
    pub open: bool,
    /// Last pass that has begun.
    pub pass: u64,
    /// Version of the map in use.
    pub map: u64,
    /// Version of the map that the rank has copied.
    pub prepared: Option<u64>,
    /// Version that is armed, and the pass from which it is in force.
    pub armed: Option<(u64, u64)>,
    /// Pass that does not begin until it is released.
    pub held: Option<u64>,
}

impl RankReport {
    /// Version that is armed.
    pub(super) fn armed_version(&self) -> Option<u64> {
        self.armed.map(|(version, _)| version)
    }

    /// Version that is armed or, if none is, the one that is prepared.
    pub(super) fn pending_version(&self) -> Option<u64> {
        self.armed_version().or(self.prepared)
    }

    /// The newest version in the report.
    pub(super) fn newest_version(&self) -> u64 {
        let pending = self.armed_version().max(self.prepared);
        self.map.max(pending.unwrap_or_default())
    }
}

/// An order to a rank.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Order {
    /// Copy the switch's map, as this version.
    Prepare {
        /// Version of the map.
        version: u64,
    },
    /// Use a map from this pass on.
    Arm {
        /// Version of the map.
        version: u64,
        /// The pass.
        pass: u64,
    },
    /// Cancel an `Arm`.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Do not begin this pass until it is released.
    Hold {
        /// The pass.
        pass: u64,
    },
    /// Release a held pass.
    Go {
        /// The pass.
        pass: u64,
    },
}

/// The process that sends an order to its rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sender {
    /// The process on the rank's own machine. Sending from there adds no cost, and no other machine
    /// reaches the rank while its own is frozen.
    Local,
    /// A process on a machine that no rank of the group depends on.
    Remote,
}

impl Order {
    /// The sender of this order. From the hold on, the group waits until all ranks have been
    /// reached. The machine that sends the hold may freeze right after it, so it must not be one
    /// that is needed to reach a rank.
    pub fn sender(self) -> Sender {
        match self {
            Order::Hold { .. } => Sender::Remote,
            _ => Sender::Local,
        }
    }
}

/// An order with the fencing token and the epoch that a rank checks before it accepts it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FencedOrder {
    /// The order.
    pub order: Order,
    /// The leader's fencing token.
    pub fencing_token: u64,
    /// The epoch of the group for which the order is valid.
    pub epoch: u64,
}

/// A request to a rank in one round.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RankRequest {
    /// Send a report.
    Report,
    /// Carry out an order.
    Order(FencedOrder),
}

/// The outcome of a request to a rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// A report.
    Report(RankReport),
    /// The order was accepted.
    Accepted,
    /// What is ordered is in effect already.
    AlreadyInEffect,
    /// The order does not fit the rank's state.
    Conflict,
    /// The rank has accepted a higher fencing token.
    Fenced,
    /// No answer: the order may have been accepted, or may be accepted later.
    NoAnswer,
}

/// The next action of a switch, or its outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// Send these requests, all at once.
    Round(Vec<(usize, RankRequest)>),
    /// Continue after a pause.
    Pause(Millis),
    /// The new map is in force from its pass on.
    Switched,
    /// No pass is held any more, but this map was not brought in: a new plan is needed.
    Discarded,
    /// The group has another epoch, is not open, lost a listed rank or makes no progress: start
    /// again later.
    Changed,
    /// Another leader has a higher fencing token.
    Superseded,
    /// No version is left for this fencing token: a new token is needed.
    VersionsExhausted,
}

/// A leader's knowledge of a group before a switch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    /// Nothing is known: all ranks are surveyed first.
    Unknown,
    /// The leader's own last switch was completed, and no other switch has begun since.
    Settled {
        /// Epoch of the group.
        epoch: u64,
    },
}
