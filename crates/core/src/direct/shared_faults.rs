//! Faults of backend servers, as all gateways together observe them.
//! Input: attempts at a server that went wrong, here and at other gateways. State: the recent
//! faults of each server. Decides which servers of a service are avoided.
//!
//! Where gateways outnumber the servers of a service, each gateway sees an answer of each server
//! once in seconds, and would have to lose several requests to learn that a server loses answers.
//! So gateways gossip single faults. A server is avoided if it has many more faults than the best
//! server of its service: faults that all servers have, such as slow answers of a service without
//! room, exclude none of them. A request that runs at most once cannot be sent again, so it avoids a
//! server for longer than others, which meanwhile show whether the server has recovered.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::clock::Millis;
use crate::direct::crashes::ServerIncarnation;
use crate::direct::pool::AttemptOutcome;

/// Time for which a fault counts for requests that run at most once.
pub const FAULT_LIFETIME: Millis = Millis(8_000);

/// Time for which a fault counts for requests that can be sent again.
const REPEATABLE_LIFETIME: Millis = Millis(2_000);

/// Number of faults from which a server is avoided, if another one has none. Single requests take
/// longer than their objective, or break off, at any server.
const MIN_FAULTS: u32 = 3;

/// Faults that exclude a server are more than those of the best server times this factor.
const FAULT_RATIO: u32 = 2;

/// Faults kept for each server: further ones change no decision.
const MAX_FAULTS: usize = 8;

/// Faults in one message. With 432 gateways a message of gossip has some 11 KB of heartbeats; this
/// adds 0.6 KB at most.
pub const MAX_GOSSIPED_FAULTS: usize = 24;

/// Identifies a fault: the gateway that observed it, and the number that it gave it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FaultId {
    /// Incarnation of the gateway that observed it.
    pub reporter: u64,
    /// Rises with each fault that the gateway observes.
    pub number: u64,
}

/// A fault as gateways gossip it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedFault {
    /// The server.
    pub server: ServerIncarnation,
    /// Identifies the fault.
    pub id: FaultId,
    /// Time since it was observed.
    pub age: Millis,
}

/// Whether a request may be sent again after a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatability {
    /// It runs at most once.
    Once,
    /// It may run again.
    Repeatable,
}

impl Repeatability {
    fn fault_lifetime(self) -> Millis {
        match self {
            Repeatability::Once => FAULT_LIFETIME,
            Repeatability::Repeatable => REPEATABLE_LIFETIME,
        }
    }
}

/// Whether the outcome of an attempt is a fault of its server. A failure that the server reports, or
/// an answer that others overtook, is one only for a request that runs at most once: others are sent
/// to a second server, where most fail again, because of what they ask for.
pub fn is_fault(outcome: AttemptOutcome, repeatability: Repeatability) -> bool {
    match outcome {
        AttemptOutcome::Lost | AttemptOutcome::Unreachable => true,
        AttemptOutcome::Failed | AttemptOutcome::Overtaken => repeatability == Repeatability::Once,
        AttemptOutcome::Answered
        | AttemptOutcome::Abandoned
        | AttemptOutcome::Full
        | AttemptOutcome::Stalled
        | AttemptOutcome::Replaced => false,
    }
}

/// Whether it is a fault of a server that an attempt ended without any answer, by its deadline or
/// because its caller left, later than its latency objective. The same reason as in [`is_fault`]
/// holds, unless no connection to the server was open.
pub fn is_silence_a_fault(connected: bool, repeatability: Repeatability) -> bool {
    !connected || repeatability == Repeatability::Once
}

/// Recent faults of all servers.
#[derive(Clone, Debug, Default)]
pub struct SharedFaults {
    by_server: HashMap<ServerIncarnation, VecDeque<(FaultId, Millis)>>,
    last_number: u64,
}

impl SharedFaults {
    /// Records a fault that the gateway with the incarnation `reporter` observed itself.
    pub fn record(&mut self, server: ServerIncarnation, reporter: u64, now: Millis) {
        self.last_number += 1;
        let id = FaultId { reporter, number: self.last_number };
        self.insert(server, id, now, now);
    }

    /// Adds a fault that another gateway sent; returns whether it is new here. A gateway that
    /// started after the fault cannot date it, and ignores it.
    pub fn merge(&mut self, fault: &SharedFault, now: Millis) -> bool {
        let is_recent = fault.age < FAULT_LIFETIME && fault.age <= now;
        is_recent && self.insert(fault.server, fault.id, now - fault.age, now)
    }

    fn insert(&mut self, server: ServerIncarnation, id: FaultId, at: Millis, now: Millis) -> bool {
        self.by_server.retain(|_, faults| {
            faults.retain(|(_, at)| now.since(*at) < FAULT_LIFETIME);
            !faults.is_empty()
        });
        let faults = self.by_server.entry(server).or_default();
        if faults.iter().any(|(known, _)| *known == id) {
            return false;
        }
        let place = faults.partition_point(|(_, known_at)| *known_at <= at);
        if faults.len() == MAX_FAULTS && place == 0 {
            return false;
        }
        faults.insert(place, (id, at));
        if faults.len() > MAX_FAULTS {
            faults.pop_front();
        }
        true
    }

    /// The newest faults, as many as a message holds.
    pub fn to_gossip(&self, now: Millis) -> Vec<SharedFault> {
        let all = self.by_server.iter().flat_map(|(server, faults)| {
            faults.iter().map(|(id, at)| SharedFault {
                server: *server,
                id: *id,
                age: now.since(*at),
            })
        });
        let mut recent: Vec<SharedFault> = all.filter(|fault| fault.age < FAULT_LIFETIME).collect();
        recent.sort_by_key(|fault| (fault.age, fault.id));
        recent.truncate(MAX_GOSSIPED_FAULTS);
        recent
    }

    /// The servers among `open`, the open servers of one service, that a request avoids as long as
    /// another one is left.
    pub fn avoided<K: Copy>(
        &self,
        open: &[(K, ServerIncarnation)],
        repeatability: Repeatability,
        now: Millis,
    ) -> Vec<K> {
        if self.by_server.is_empty() {
            return Vec::new();
        }
        let lifetime = repeatability.fault_lifetime();
        let count = |server: &ServerIncarnation| {
            let faults = self.by_server.get(server).into_iter().flatten();
            faults.filter(|(_, at)| now.since(*at) < lifetime).count() as u32
        };
        let counts: Vec<u32> = open.iter().map(|(_, server)| count(server)).collect();
        let fewest = counts.iter().copied().min().unwrap_or(0);
        let is_avoided = |faults: &u32| *faults >= MIN_FAULTS + FAULT_RATIO * fewest;
        let pairs = open.iter().zip(&counts).filter(|(_, faults)| is_avoided(faults));
        pairs.map(|((key, _), _)| *key).collect()
    }
}
