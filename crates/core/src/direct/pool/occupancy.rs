//! Occupation of a service's servers, as the keeper of its room last told it.
//! Input: notices of the keeper, and the requests that this gateway sends. State: the newest notice,
//! and what was sent and has ended since it was read. Decides the weight of each server in the
//! choice of one, and which servers are this gateway's own part.
//!
//! The weight of a server is the number of its free slots, as far as its group bears more streams,
//! and less if its group makes longer passes than others.
//!
//! All gateways receive the same notice. If each sent to the servers with the most free slots, they
//! would all choose the same ones. So each has a part of the slots in which it chooses first: it
//! knows of most requests there as soon as they begin and end, not only by the next notice. If it has
//! no free slot there, it chooses among all servers at random in proportion to the weights. What
//! all gateways send in this way lowers all weights in the same proportion, so it doesn't have to be
//! known.

use std::collections::HashMap;
use std::collections::VecDeque;

use super::Pool;
use super::Server;
use crate::clock::Millis;
use crate::direct::room::GroupState;
use crate::direct::room::ServerList;
use crate::util::arena::Key;

/// Age of a reading from which it is not used.
const READING_LIFETIME: Millis = Millis(1_500);

/// Weight of a server without free slots, in slots: some of its requests end before the next notice.
const FULL_WEIGHT: f64 = 0.2;

/// Fraction of the weight that a server keeps if its group bears no more streams: what is sent to
/// it shows whether the group is fast again.
const PROBE_FRACTION: f64 = 0.02;

/// Weight from which a server of the own part is chosen first: one free slot.
const MIN_OWN_WEIGHT: f64 = 1.0;

/// The position of a gateway among those that serve, in an order that is the same at all of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// Number of gateways before it.
    pub index: usize,
    /// Number of gateways.
    pub count: usize,
}

/// Occupation of one server.
#[derive(Clone, Copy, Debug)]
struct Occupied {
    group: usize,
    /// Requests running and queued, when it was read.
    requests: u32,
    /// Requests that this gateway sent to it since, less those that ended.
    own_change: i64,
    /// Number of its slots that are in the own part.
    own_slots: f64,
}

/// A request that this gateway sent, or that ended.
#[derive(Clone, Copy, Debug)]
struct OwnChange {
    at: Millis,
    server: Key<Server>,
    change: i64,
}

/// Weights of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Weights {
    /// Among all servers.
    pub(super) of_all: f64,
    /// Among those of the own part; 0 if it has no free slot or is not among them.
    pub(super) of_own: f64,
}

/// Occupation of the servers of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Occupancy {
    read_at: Millis,
    servers: HashMap<Key<Server>, Occupied>,
    /// For each group, the fraction of its servers' free slots that its passes bear.
    usable_fractions: Vec<f64>,
    /// Changes within the lifetime of a reading, in the order of their times.
    own_changes: VecDeque<OwnChange>,
}

impl Occupancy {
    /// Whether the reading is recent enough to choose by it.
    pub(super) fn is_fresh(&self, now: Millis) -> bool {
        !self.servers.is_empty() && now.since(self.read_at) < READING_LIFETIME
    }

    /// Records that this gateway sends a request to a server.
    pub(super) fn record_sent(&mut self, server: Key<Server>, now: Millis) {
        self.record(OwnChange { at: now, server, change: 1 });
    }

    /// Records that a request of this gateway at a server has ended.
    pub(super) fn record_ended(&mut self, server: Key<Server>, now: Millis) {
        self.record(OwnChange { at: now, server, change: -1 });
    }

    /// Undoes the record of a request that was not sent after all.
    pub(super) fn undo_sent(&mut self, server: Key<Server>) {
        let is_it = |own: &OwnChange| own.server == server && own.change > 0;
        let Some(index) = self.own_changes.iter().rposition(is_it) else { return };
        let at = self.own_changes.remove(index).map_or(Millis::ZERO, |own| own.at);
        if let Some(known) = self.servers.get_mut(&server).filter(|_| at > self.read_at) {
            known.own_change -= 1;
        }
    }

    fn record(&mut self, own: OwnChange) {
        if let Some(server) = self.servers.get_mut(&own.server) {
            server.own_change += own.change;
        }
        let is_outdated = |known: &OwnChange| own.at.since(known.at) >= READING_LIFETIME;
        while self.own_changes.front().is_some_and(is_outdated) {
            self.own_changes.pop_front();
        }
        self.own_changes.push_back(own);
    }

    /// Weights of a server with `slots` slots and `own` requests of this gateway; `None` if nothing
    /// is known about it.
    pub(super) fn weights(&self, key: Key<Server>, slots: u32, own: u32) -> Option<Weights> {
        let server = self.servers.get(&key)?;
        let occupied = (i64::from(server.requests) + server.own_change).max(i64::from(own));
        let free = (i64::from(slots) - occupied) as f64;
        let usable_fraction = self.usable_fractions[server.group];
        let of_all = usable_fraction * if free > 0.0 { free } else { FULL_WEIGHT / (1.0 - free) };
        let is_first = of_all >= MIN_OWN_WEIGHT;
        let of_own = if is_first { of_all.min(server.own_slots) } else { 0.0 };
        Some(Weights { of_all, of_own })
    }
}

/// What is known of the servers of a group.
#[derive(Clone, Copy, Debug, Default)]
struct GroupSums {
    occupied: u32,
    free_slots: u32,
    has_slow_server: bool,
}

/// The fraction of the free slots of a group that its passes bear, where the shortest passes of an
/// open group take `shortest_ms`.
fn usable_fraction(group: &GroupState, sums: GroupSums, shortest_ms: f64) -> f64 {
    if !group.is_open {
        return 0.0;
    }
    // A group without requests shows no pass, and those that come would wait for its slow server.
    if group.pass_ms <= 0.0 && sums.has_slow_server {
        return PROBE_FRACTION;
    }
    let left = f64::from(group.room.saturating_sub(sums.occupied));
    let of_room = (left / f64::from(sums.free_slots.max(1))).clamp(PROBE_FRACTION, 1.0);
    // In a group with passes twice as long, half as many streams end in a given time, and each of
    // them is late more often.
    let of_pace = if group.pass_ms > shortest_ms { shortest_ms / group.pass_ms } else { 1.0 };
    of_room * of_pace * of_pace
}

/// The shortest passes of an open group; 0 if unknown.
fn shortest_pass_ms(groups: &[GroupState]) -> f64 {
    let known = groups.iter().filter(|group| group.is_open && group.pass_ms > 0.0);
    known.map(|group| group.pass_ms).min_by(f64::total_cmp).unwrap_or_default()
}

/// Number of a server's slots that are in the own part, where the slots of all servers are divided
/// among the gateways in order.
fn own_slots(position: Option<Position>, before: u32, slots: u32, total: u32) -> f64 {
    let Some(Position { index, count }) = position else { return 0.0 };
    let per_gateway = f64::from(total) / count.max(1) as f64;
    let (begin, end) = (per_gateway * index as f64, per_gateway * (index + 1) as f64);
    (f64::from(before + slots).min(end) - f64::from(before).max(begin)).max(0.0)
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
        let position = self.position;
        let known = self.occupancies.entry(service.to_owned()).or_default();
        known.read_at = read_at;
        known.servers.clear();
        let mut sums = vec![GroupSums::default(); groups.len()];
        let slots_of = |incarnation| {
            let key = self.by_incarnation.get(incarnation);
            key.map_or(0, |key| self.servers[*key].listed.slots)
        };
        let total_slots: u32 = list.servers.iter().map(|(one, _)| slots_of(one)).sum();
        let mut slots_before = 0;
        for ((incarnation, group), requests) in list.servers.iter().zip(occupied) {
            let Some(key) = self.by_incarnation.get(incarnation).copied() else { continue };
            let slots = self.servers[key].listed.slots;
            let own_slots = own_slots(position, slots_before, slots, total_slots);
            slots_before += slots;
            let Some(sums) = sums.get_mut(*group) else { continue };
            sums.occupied += requests;
            sums.free_slots += slots.saturating_sub(*requests);
            sums.has_slow_server |= self.servers[key].slow_until > now;
            let (group, requests) = (*group, *requests);
            known.servers.insert(key, Occupied { group, requests, own_change: 0, own_slots });
        }
        let shortest_ms = shortest_pass_ms(groups);
        let fraction = |(group, sums)| usable_fraction(group, sums, shortest_ms);
        known.usable_fractions = groups.iter().zip(sums).map(fraction).collect();
        for own in known.own_changes.iter().filter(|own| own.at > read_at) {
            if let Some(server) = known.servers.get_mut(&own.server) {
                server.own_change += own.change;
            }
        }
    }

    /// Sets the position of this gateway among those that serve; `None` if it is not known.
    pub fn set_position(&mut self, position: Option<Position>) {
        self.position = position;
    }
}
