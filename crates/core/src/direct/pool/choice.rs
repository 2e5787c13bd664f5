//! Choice of a server in a [`Pool`] for one request.
//! Input: the demand of the request. State: health and turns of the servers of its service.
//! Decides which server gets the request, and whether there is a better one than its present one.

use rand::Rng;

use super::Pool;
use super::Server;
use crate::clock::Millis;
use crate::direct::pool::ListedServer;
use crate::direct::serving::Residency;
use crate::direct::shared_faults::Repeatability;
use crate::routing;
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
            let config = &self.config.routing;
            let candidates = &mut found.candidates;
            let chosen = routing::choose(config, candidates, &[], demand.cost, now, rng);
            if let Some(index) = chosen {
                return Some(found.servers[index]);
            }
        }
        None
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
