//! Occupation of a service's servers, as the keeper of its room last told it.
//! Input: notices of the keeper, and the requests that this gateway sends. State: the newest notice,
//! and what was sent since it was read. Decides the weight of each server in the choice of one.
//!
//! The weight of a server is the number of its free slots, as far as its group bears more streams.
//! All gateways receive the same notice. If each sent to the servers with the most free slots, they
//! would all choose the same ones, so each chooses at random in proportion to the weights: together
//! they fill all servers evenly. What they send before the next notice then lowers all weights in
//! the same proportion, so only the requests of this gateway are subtracted.

use std::collections::HashMap;

use super::Pool;
use super::Server;
use crate::clock::Millis;
use crate::direct::room::GroupState;
use crate::direct::room::ServerList;
use crate::util::arena::Key;

/// Age of a reading from which it is not used.
const READING_LIFETIME: Millis = Millis(1_500);

/// Weight of a server without free slots, in slots: some of its requests end before the next notice.
const FULL_WEIGHT: f64 = 0.5;

/// Fraction of the weight that a server keeps if its group bears no more streams: what is sent to
/// it shows whether the group is fast again.
const PROBE_FRACTION: f64 = 0.02;

/// Occupation of one server.
#[derive(Clone, Copy, Debug)]
struct Occupied {
    group: usize,
    /// Requests running and queued, when it was read.
    requests: u32,
    /// Requests that this gateway sent to it since.
    sent: u32,
}

/// Occupation of the servers of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Occupancy {
    read_at: Millis,
    servers: HashMap<Key<Server>, Occupied>,
    /// For each group, the fraction of its servers' free slots that its passes bear.
    usable_fractions: Vec<f64>,
    /// Requests that this gateway sent within the lifetime of a reading.
    sent: Vec<(Millis, Key<Server>)>,
}

impl Occupancy {
    /// Whether the reading is recent enough to choose by it.
    pub(super) fn is_fresh(&self, now: Millis) -> bool {
        !self.servers.is_empty() && now.since(self.read_at) < READING_LIFETIME
    }

    /// Records that this gateway sends a request to a server.
    pub(super) fn record_sent(&mut self, key: Key<Server>, now: Millis) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.sent += 1;
        }
        self.sent.retain(|(at, _)| now.since(*at) < READING_LIFETIME);
        self.sent.push((now, key));
    }

    /// Weight of a server with `slots` slots and `own` requests of this gateway; `None` if nothing is
    /// known about it.
    pub(super) fn weight(&self, key: Key<Server>, slots: u32, own: u32) -> Option<f64> {
        let server = self.servers.get(&key)?;
        let occupied = (server.requests + server.sent).max(own);
        let free = slots.saturating_sub(occupied);
        Some(f64::from(free).max(FULL_WEIGHT) * self.usable_fractions[server.group])
    }
}

/// The fraction of the free slots of a group that its passes bear.
fn usable_fraction(group: &GroupState, occupied: u32, free_slots: u32) -> f64 {
    if !group.is_open {
        return 0.0;
    }
    let left = f64::from(group.room.saturating_sub(occupied));
    (left / f64::from(free_slots.max(1))).clamp(PROBE_FRACTION, 1.0)
}

impl Pool {
    /// Applies the occupation of a service's servers that the keeper of its room told, read `age`
    /// ago. `occupied` has an entry for each server of `list`; servers that are not listed here, and
    /// those of unknown groups, are ignored.
    pub fn apply_occupancy(
        &mut self,
        service: &str,
        list: &ServerList,
        occupied: &[u32],
        groups: &[GroupState],
        age: Millis,
        now: Millis,
    ) {
        let read_at = now - age;
        let known = self.occupancies.entry(service.to_owned()).or_default();
        known.read_at = read_at;
        known.servers.clear();
        let mut sums = vec![(0, 0); groups.len()];
        for ((incarnation, group), requests) in list.servers.iter().zip(occupied) {
            let Some(key) = self.by_incarnation.get(incarnation).copied() else { continue };
            let Some((occupied, free)) = sums.get_mut(*group) else { continue };
            *occupied += requests;
            *free += self.servers[key].listed.slots.saturating_sub(*requests);
            known.servers.insert(key, Occupied { group: *group, requests: *requests, sent: 0 });
        }
        let sums = groups.iter().zip(sums);
        known.usable_fractions =
            sums.map(|(group, (occupied, free))| usable_fraction(group, occupied, free)).collect();
        for (at, key) in &known.sent {
            if let Some(server) = known.servers.get_mut(key).filter(|_| *at > read_at) {
                server.sent += 1;
            }
        }
    }
}
