//! Room of a service: how many streams its servers carry within the objective, and how many are
//! open. Input: reports of gateways and of ranks. State: the newest report of each.
//! Decides how much room is left, and what all gateways are told about each server and group.
//!
//! One gateway keeps the room of a service: the leader of its expert maps, or the first gateway
//! that serves if there is none. The others send it a [`GatewayReport`] at short intervals, and get
//! a [`RoomNotice`].

use crate::clock::Millis;
use crate::direct::crashes::ServerIncarnation;
use crate::direct::level::Level;
use crate::direct::members::IncarnationId;

/// Number of priorities, from 0, the most urgent.
pub const PRIORITIES: usize = 10;

/// A client account, identified in the same way at all gateways.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AccountId(pub u64);

/// One gateway's view of a service since its last report.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayReport {
    /// The gateway.
    pub gateway: IncarnationId,
    /// Time over which requests were counted.
    pub span: Millis,
    /// Streams that it has admitted and that have not ended.
    pub open_streams: u32,
    /// Requests by priority, admitted or not, without those that arrived in their turn.
    pub arrivals: [u32; PRIORITIES],
    /// Requests that arrived in their turn after a refusal.
    pub turns: u32,
    /// Client accounts with the most requests.
    pub accounts: Vec<(AccountId, u32)>,
    /// Mean duration of a stream; 0 if unknown.
    pub stream_ms: f64,
    /// Mean time to the first event of a stream; 0 if unknown.
    pub first_ms: f64,
    /// Mean pause between events plus its mean deviation; 0 if unknown.
    pub pass_ms: f64,
    /// The list of servers that it has; 0 if none.
    pub known_list: u64,
}

/// A group of ranks that make each pass together; a server without ranks is a group of its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupState {
    /// Whether it runs passes.
    pub is_open: bool,
    /// Length of its passes; 0 if unknown.
    pub pass_ms: f64,
    /// Number of streams that it carries within the objective.
    pub room: u32,
}

/// The servers of a service and their groups, in the order of [`RoomNotice::occupied`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerList {
    /// Identifies the list; 0 for an empty one.
    pub number: u64,
    /// Each server with the index of its group.
    pub servers: Vec<(ServerIncarnation, usize)>,
}

/// What the keeper of a service's room tells the other gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct RoomNotice {
    /// Fencing token of the keeper's leadership; 0 if it leads no maps. Notices with a higher token
    /// replace others, then those with a higher number.
    pub keeper: u64,
    /// Rises with each notice of one keeper.
    pub number: u64,
    /// Clock that all gateways share, at the time of the notice.
    pub clock: Millis,
    /// Which requests are admitted.
    pub level: Level,
    /// Number of the list that `occupied` refers to; 0 if there is none.
    pub list_number: u64,
    /// The list, if the receiver lacks it.
    pub list: Option<ServerList>,
    /// For each server of the list: requests running and queued.
    pub occupied: Vec<u32>,
    /// State of each group.
    pub groups: Vec<GroupState>,
    /// Time since `occupied` and `groups` were read.
    pub age: Millis,
}
