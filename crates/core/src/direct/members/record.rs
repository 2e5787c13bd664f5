//! Records of gateways that gateways send each other: full records, or heartbeats without names.
//! Both hold the state of one incarnation of a gateway, and the age of that state.
//! This module decides which of two records is newer, and which gateway is preferred as leader.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::clock::Millis;
use crate::direct::permits::GatewayId;
use crate::util::hash;

/// Whether callers are sent to a gateway.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Readiness {
    /// It has no configuration yet.
    Starting,
    /// It serves.
    Ready,
    /// It is stopping.
    Leaving,
}

/// A gateway as it describes itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name of its instance.
    pub name: String,
    /// Rises with each start of its process.
    pub incarnation: u64,
    /// Rises while its process runs.
    pub heartbeat: u64,
    /// Address for callers.
    pub callers_at: SocketAddr,
    /// Address for other gateways.
    pub peers_at: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Memory of its instance; 0 if that is not known.
    pub memory_bytes: u64,
    /// Whether callers are sent there.
    pub readiness: Readiness,
    /// Whether the platform's store answers it.
    pub store_answers: bool,
    /// Fencing token with which it leads expert maps; 0 if it does not.
    pub leader_fencing_token: u64,
}

/// Identifies one incarnation of a gateway: a hash of its name and incarnation, the same at all
/// gateways.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct IncarnationId(pub u64);

/// The fields of a gateway that change during one incarnation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Incarnation of the gateway.
    pub incarnation_id: IncarnationId,
    /// As [`Member::heartbeat`].
    pub heartbeat: u64,
    /// As [`Member::readiness`].
    pub readiness: Readiness,
    /// As [`Member::store_answers`].
    pub store_answers: bool,
    /// As [`Member::leader_fencing_token`].
    pub leader_fencing_token: u64,
    /// Time since the gateway was alive, as far as the sender knows.
    pub age: Millis,
}

/// A gateway with all its fields, and the time since it was alive.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberRecord {
    /// The gateway.
    pub member: Member,
    /// Time since the gateway was alive, as far as the sender knows.
    pub age: Millis,
}

impl Member {
    /// Identifier of this incarnation.
    pub fn incarnation_id(&self) -> IncarnationId {
        IncarnationId(hash::score(self.incarnation, &self.name))
    }

    /// Identifier across restarts of its process.
    pub fn gateway_id(&self) -> GatewayId {
        GatewayId(hash::of(&self.name))
    }

    /// The heartbeat to send, with the time since the gateway was alive.
    pub fn to_heartbeat(&self, age: Millis) -> Heartbeat {
        Heartbeat {
            incarnation_id: self.incarnation_id(),
            heartbeat: self.heartbeat,
            readiness: self.readiness,
            store_answers: self.store_answers,
            leader_fencing_token: self.leader_fencing_token,
            age,
        }
    }

    /// Order of records of one gateway: it rises with each heartbeat, restart and change of
    /// readiness.
    pub(super) fn recency(&self) -> (u64, u64, Readiness) {
        (self.incarnation, self.heartbeat, self.readiness)
    }

    /// Order in which gateways are preferred as leader: those with more memory first, then by name.
    /// A leader polls and orders hundreds of ranks, and instances with more memory have faster
    /// links and larger shares of a processor. Maps of groups of 96 ranks are in force after 0.25 s
    /// if the leader's link has 200 Mbit/s, and after 0.5 to 0.9 s if it has 40.
    pub(super) fn leadership_order(&self) -> (Reverse<u64>, &str) {
        (Reverse(self.memory_bytes), &self.name)
    }

    pub(super) fn with_heartbeat(&self, beat: &Heartbeat) -> Member {
        Member {
            heartbeat: beat.heartbeat,
            readiness: beat.readiness,
            store_answers: beat.store_answers,
            leader_fencing_token: beat.leader_fencing_token,
            ..self.clone()
        }
    }
}
