//! Choice of a server in a [`Pool`] for one request.
//! Input: the demand of the request. State: health and turns of the servers of its service.
//! Decides which server gets the request, and whether there is a better one than its present one.

use rand::Rng;
use rand::RngExt;

use super::Pool;
use super::Server;
use super::Service;
use super::occupancy::Occupancy;
use super::occupancy::Weights;
use crate::clock::Millis;
use crate::direct::pool::ListedServer;
use crate::direct::serving::Residency;
use crate::direct::shared_faults::Repeatability;
use crate::routing;
use crate::util::arena::Arena;
use crate::util::arena::Key;

/// A request for which a server is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The service that it goes to.
    pub service: &'a str,
    /// Regions in which it may be processed.
    pub residency: Residency<'a>,
    /// Servers that it was sent to.
    pub tried: &'a [Key<Server>],
    /// Its work relative to a usual request.
    pub cost: f64,
    /// What holds for a request whose answer is not a stream.
    pub plain: Option<PlainDemand>,
}

/// A request whose answer is not a stream.
#[derive(Clone, Copy, Debug)]
pub struct PlainDemand {
    /// Whether it may be sent again.
    pub repeatability: Repeatability,
    /// When it ends at the latest.
    pub deadline: Millis,
}

impl<'a> Demand<'a> {
    /// A usual request that may be processed anywhere and was sent to no server.
    pub fn for_service(service: &'a str) -> Demand<'a> {
        Demand { service, residency: Residency::default(), tried: &[], cost: 1.0, plain: None }
    }

    /// Whether the request may be sent to a server.
    pub(super) fn allows(&self, key: Key<Server>, server: &ListedServer) -> bool {
        !self.tried.contains(&key) && self.residency.allows(&server.region)
    }
}

impl Pool {
    /// Chooses a server for a request, and counts its turn. Servers that are in cooldown, slow, or in the
    /// ramp-up after a requested back-off are chosen only if no other server is left. Servers of a
    /// stalled group are excluded because they refuse. Servers that are backing off, or that
    /// advertise a limit and have no permit available, are excluded as well. For requests that are
    /// no streams, see [`plain`](super::plain).
    pub fn choose<R: Rng>(
        &mut self,
        demand: &Demand<'_>,
        now: Millis,
        rng: &mut R,
    ) -> Option<Key<Server>> {
        let avoided = self.avoided(demand, now);
        let overdue = self.overdue(demand, now);
        let found = self.services.get_mut(demand.service)?;
        for last_resort in [false, true] {
            for (key, candidate) in found.servers.iter().zip(&mut found.candidates) {
                let server = &self.servers[*key];
                let requests = candidate.own_requests;
                let fits = if last_resort {
                    server.is_available(now)
                } else {
                    server.is_preferred(requests, now) && !avoided.contains(key)
                };
                let is_closed = self.limits.get(key).is_some_and(|limited| {
                    limited.is_closed(now) && (limited.is_limited(now) || !last_resort)
                });
                let is_closed = is_closed || overdue.contains(key);
                candidate.usable = fits && !is_closed && demand.allows(*key, &server.listed);
            }
            let occupancy =
                self.occupancies.get(demand.service).filter(|known| known.is_fresh(now));
            let pick = match occupancy {
                Some(occupancy) => pick_by_weight(found, &self.servers, occupancy, rng),
                None => Pick::ByTurns,
            };
            let config = &self.config.routing;
            let chosen = match pick {
                Pick::Server(index) => {
                    let candidate = &mut found.candidates[index];
                    candidate.own_requests += 1;
                    candidate.turns += demand.cost;
                    Some(index)
                }
                // Without any weight, servers that are a last resort may be in a better group.
                Pick::NoWeight if !last_resort => None,
                Pick::NoWeight | Pick::ByTurns => {
                    routing::choose(config, &mut found.candidates, &[], demand.cost, now, rng)
                }
            };
            if let Some(index) = chosen {
                let key = found.servers[index];
                if let Some(occupancy) = self.occupancies.get_mut(demand.service) {
                    occupancy.record_sent(key, now);
                }
                return Some(key);
            }
        }
        None
    }

    /// Whether a server is available for a request, at its advertised limit or not.
    pub fn has_available(&self, demand: &Demand<'_>, now: Millis) -> bool {
        let Some(found) = self.services.get(demand.service) else { return false };
        let mut servers = found.servers.iter().map(|key| (*key, &self.servers[*key]));
        servers.any(|(key, server)| server.is_available(now) && demand.allows(key, &server.listed))
    }

    /// Whether a request can be sent to a preferred server that is not at its advertised limit,
    /// other than `server`. A preferred server is available, not in cooldown, not slow,
    /// and may get one more request during its ramp-up.
    pub fn has_alternative(&self, demand: &Demand<'_>, server: Key<Server>, now: Millis) -> bool {
        let Some(found) = self.services.get(demand.service) else { return false };
        found.servers.iter().zip(&found.candidates).any(|(key, candidate)| {
            let other = &self.servers[*key];
            let is_preferred = other.is_preferred(candidate.own_requests, now);
            let is_closed = self.limits.get(key).is_some_and(|limited| limited.is_closed(now));
            *key != server && demand.allows(*key, &other.listed) && is_preferred && !is_closed
        })
    }
}

/// How a server is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pick {
    /// The server with this index.
    Server(usize),
    /// No usable server is in a group that bears more streams.
    NoWeight,
    /// Nothing recent is known about the occupation of the servers.
    ByTurns,
}

/// Picks a usable server of a service: one of the own part with free slots, otherwise any of them at
/// random in proportion to the weights. A server whose occupation is unknown has the mean weight.
fn pick_by_weight<R: Rng>(
    found: &Service,
    servers: &Arena<Server>,
    occupancy: &Occupancy,
    rng: &mut R,
) -> Pick {
    let weights = |index: usize| {
        let candidate = &found.candidates[index];
        let key = found.servers[index];
        occupancy.weights(key, servers[key].listed.slots, candidate.own_requests)
    };
    let usable = (0..found.servers.len()).filter(|index| found.candidates[*index].usable);
    let weights: Vec<(usize, Option<Weights>)> =
        usable.map(|index| (index, weights(index))).collect();
    let known = || weights.iter().filter_map(|(index, weights)| Some((*index, (*weights)?)));
    let count = known().count();
    if count == 0 {
        return Pick::ByTurns;
    }
    let of_own = known().map(|(index, weights)| (index, weights.of_own));
    if let Some(index) = pick(of_own, rng) {
        return Pick::Server(index);
    }
    let mean = known().map(|(_, weights)| weights.of_all).sum::<f64>() / count as f64;
    let of_all =
        weights.iter().map(|(index, weights)| (*index, weights.map_or(mean, |one| one.of_all)));
    pick(of_all, rng).map_or(Pick::NoWeight, Pick::Server)
}

/// An index at random in proportion to the weights; `None` if all of them are 0.
fn pick<R: Rng>(weights: impl Iterator<Item = (usize, f64)> + Clone, rng: &mut R) -> Option<usize> {
    let total: f64 = weights.clone().map(|(_, weight)| weight).sum();
    if total <= 0.0 {
        return None;
    }
    let mut left = rng.random_range(0.0..total);
    let mut last = None;
    for (index, weight) in weights.filter(|(_, weight)| *weight > 0.0) {
        left -= weight;
        last = Some(index);
        if left < 0.0 {
            break;
        }
    }
    last
}
