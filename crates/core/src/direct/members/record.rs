//! What gateways tell each other of gateways.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::clock::Millis;
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

/// A gateway as it tells of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name of its instance.
    pub name: String,
    /// Rises each time its process starts.
    pub incarnation: u64,
    /// Rises while its process lives.
    pub heartbeat: u64,
    /// Where callers connect.
    pub callers_at: SocketAddr,
    /// Where other gateways connect.
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

/// Stands for one incarnation of a gateway: a hash of its name and incarnation, the same at all gateways.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct IncarnationId(pub u64);

/// What changes of a gateway while it lives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Which incarnation of which gateway.
    pub incarnation_id: IncarnationId,
    /// As [`Member::heartbeat`].
    pub heartbeat: u64,
    /// As [`Member::readiness`].
    pub readiness: Readiness,
    /// As [`Member::store_answers`].
    pub store_answers: bool,
    /// As [`Member::leader_fencing_token`].
    pub leader_fencing_token: u64,
    /// Time since it lived, as far as the one who tells has heard.
    pub age: Millis,
}

/// What one gateway tells of another: who it is, and how long ago it lived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberRecord {
    /// The gateway.
    pub member: Member,
    /// Time since it lived, as far as the one who tells has heard.
    pub age: Millis,
}

impl Member {
    /// Names this incarnation.
    pub fn incarnation_id(&self) -> IncarnationId {
        IncarnationId(hash::score(self.incarnation, &self.name))
    }

    /// What changes of it, told so long after it lived.
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

    /// What rises as a gateway lives on, starts anew or changes its state.
    pub(super) fn moment(&self) -> (u64, u64, Readiness) {
        (self.incarnation, self.heartbeat, self.readiness)
    }

    /// Who goes before whom in taking the lead: those with more memory, then by name. A leader reads and
    /// orders hundreds of ranks, and instances with more memory have the larger links and shares of a
    /// processor: maps of groups of 96 ranks are in force after 0.25 s where its link has 200 Mbit/s, and
    /// after 0.5 to 0.9 s where it has 40.
    pub(super) fn lead_order(&self) -> (Reverse<u64>, &str) {
        (Reverse(self.memory_bytes), &self.name)
    }

    pub(super) fn with_beat(&self, beat: &Heartbeat) -> Member {
        Member {
            heartbeat: beat.heartbeat,
            readiness: beat.readiness,
            store_answers: beat.store_answers,
            leader_fencing_token: beat.leader_fencing_token,
            ..self.clone()
        }
    }
}
