//! Conversions between the orders and replies of a map switch and their schema messages.
//! Input: orders, replies and schema messages. No state, and no decisions.

use hooktrestle_schema::MapArmed;
use hooktrestle_schema::MapBallot;
use hooktrestle_schema::MapJoined;
use hooktrestle_schema::MapName;
use hooktrestle_schema::MapOrder;
use hooktrestle_schema::MapOrderKind;
use hooktrestle_schema::MapReply;
use hooktrestle_schema::MapStage;

use crate::map_switch::Armed;
use crate::map_switch::Ballot;
use crate::map_switch::MapId;
use crate::map_switch::Order;
use crate::map_switch::OrderKind;
use crate::map_switch::RankState;
use crate::map_switch::Reply;

impl From<&MapBallot> for Ballot {
    fn from(ballot: &MapBallot) -> Ballot {
        Ballot { number: ballot.number, proposer: ballot.proposer_number }
    }
}

impl From<Ballot> for MapBallot {
    fn from(ballot: Ballot) -> MapBallot {
        MapBallot { number: ballot.number, proposer_number: ballot.proposer }
    }
}

impl From<&MapName> for MapId {
    fn from(name: &MapName) -> MapId {
        MapId { version: name.version, ballot: Ballot::from(&name.ballot) }
    }
}

impl From<MapId> for MapName {
    fn from(map: MapId) -> MapName {
        MapName { version: map.version, ballot: map.ballot.into() }
    }
}

impl From<&MapArmed> for Armed {
    fn from(armed: &MapArmed) -> Armed {
        Armed {
            map: MapId::from(&armed.map),
            at_step: armed.at_step_number,
            committed: armed.committed,
        }
    }
}

impl From<&MapOrder> for Order {
    fn from(order: &MapOrder) -> Order {
        let kind = match &order.kind {
            MapOrderKind::Join => OrderKind::Join,
            MapOrderKind::Stage(stage) => {
                OrderKind::Stage { map: MapId::from(&stage.map), at_step: stage.at_step_number }
            }
            MapOrderKind::Commit(map) => OrderKind::Commit { map: map.into() },
            MapOrderKind::Abort(map) => OrderKind::Abort { map: map.into() },
        };
        Order { ballot: Ballot::from(&order.ballot), kind }
    }
}

/// Encodes an order. An order to stage a map carries the experts of the rank in that map.
pub fn order(order: Order, experts: &[u16]) -> MapOrder {
    let kind = match order.kind {
        OrderKind::Join => MapOrderKind::Join,
        OrderKind::Stage { map, at_step } => MapOrderKind::Stage(MapStage {
            map: map.into(),
            at_step_number: at_step,
            experts: experts.to_vec(),
        }),
        OrderKind::Commit { map } => MapOrderKind::Commit(map.into()),
        OrderKind::Abort { map } => MapOrderKind::Abort(map.into()),
    };
    MapOrder { ballot: order.ballot.into(), kind }
}

/// Encodes a reply. A reply to join carries the experts that the rank has.
pub fn reply(reply: Reply, experts: &[u16]) -> MapReply {
    match reply {
        Reply::Joined(ballot, state) => MapReply::Joined(MapJoined {
            ballot: ballot.into(),
            current: state.current.into(),
            armed: state.armed.map(|armed| MapArmed {
                map: armed.map.into(),
                at_step_number: armed.at_step,
                committed: armed.committed,
            }),
            step_number: state.step,
            experts: experts.to_vec(),
        }),
        Reply::Staged(map) => MapReply::Staged(map.into()),
        Reply::NotStaged(map) => MapReply::NotStaged(map.into()),
        Reply::Committed(map) => MapReply::Committed(map.into()),
        Reply::Aborted(map) => MapReply::Aborted(map.into()),
        Reply::Outdated(ballot) => MapReply::Outdated(ballot.into()),
    }
}

/// Decodes a reply; `None` if the message states that the rank gave no reply.
pub fn read_reply(reply: &MapReply) -> Option<Reply> {
    let reply = match reply {
        MapReply::Silent => return None,
        MapReply::Joined(joined) => {
            let state = RankState {
                current: MapId::from(&joined.current),
                armed: joined.armed.as_ref().map(Armed::from),
                step: joined.step_number,
            };
            Reply::Joined(Ballot::from(&joined.ballot), state)
        }
        MapReply::Staged(map) => Reply::Staged(map.into()),
        MapReply::NotStaged(map) => Reply::NotStaged(map.into()),
        MapReply::Committed(map) => Reply::Committed(map.into()),
        MapReply::Aborted(map) => Reply::Aborted(map.into()),
        MapReply::Outdated(ballot) => Reply::Outdated(ballot.into()),
    };
    Some(reply)
}
