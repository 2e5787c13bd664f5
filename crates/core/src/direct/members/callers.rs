//! Gateways that callers are told to use.
//! Input: the distance of each data centre from a caller. State: the membership table.
//! Decides which gateways a caller gets, and in which order.

use std::net::SocketAddr;

use super::Member;
use super::Members;
use super::Readiness;
use crate::clock::Millis;
use crate::util::hash;

/// How far the data centre of a gateway is from a caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The caller is in the same data centre.
    SameDataCentre,
    /// The caller is in the same region.
    SameRegion,
    /// The caller is in another region, and its requests may be processed in this one.
    Allowed,
    /// The caller's requests may not be processed in this region. The caller gets such a gateway
    /// only if there is no other.
    LastResort,
}

impl Distance {
    /// The distance between data centres of one region.
    pub fn within_region(data_centre: &str, other: &str) -> Distance {
        if data_centre == other { Distance::SameDataCentre } else { Distance::SameRegion }
    }
}

impl Members {
    /// Addresses to which a caller connects, the closest first. `distance` returns how far a data
    /// centre is from the caller. Never empty: a gateway that knows no ready gateway names itself, and one that is leaving
    /// names others where it can.
    ///
    /// Callers get the first of these addresses and pick one of them at random. Each gateway has an
    /// order of its own, so that all gateways get the same share of callers. Ordered by name, the
    /// first 64 of 149 gateways in five data centres are all of the caller's data centre and all of
    /// one other, which then gets four times the requests of most others.
    pub fn for_callers(&self, distance: impl Fn(&str) -> Distance, now: Millis) -> Vec<SocketAddr> {
        let ready = |member: &Member| member.readiness == Readiness::Ready;
        let alive = self.alive_others(now).chain([&self.own]);
        let mut found: Vec<&Member> = alive.filter(|member| ready(member)).collect();
        let own_order = hash::of(&self.own.name);
        found.sort_by_cached_key(|member| {
            (distance(&member.data_centre), hash::score(own_order, &member.name))
        });
        let is_allowed = |member: &&Member| distance(&member.data_centre) != Distance::LastResort;
        if found.iter().any(is_allowed) {
            found.retain(is_allowed);
        }
        if found.is_empty() {
            found.push(&self.own);
        }
        found.into_iter().map(|member| member.callers_at).collect()
    }
}
