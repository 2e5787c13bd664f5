//! Advertised limits and permits of the servers in a [`Pool`].
//! Input: limits that servers or other gateways advertise, and granted permits.
//! State: one [`Limited`] per server. Decides whether a request to a server needs a permit.

use std::collections::HashMap;

use super::Demand;
use super::Pool;
use super::Server;
use super::WarmUpConfig;
use crate::clock::Millis;
use crate::direct::advertised_limit::AdvertisedLimit;
use crate::direct::advertised_limit::LimitAdvertisement;
use crate::direct::advertised_limit::LimitMergeOutcome;
use crate::direct::advertised_limit::Permission;
use crate::direct::advertised_limit::Rate;
use crate::direct::advertised_limit::WarmUp;
use crate::direct::crashes::ServerIncarnation;
use crate::direct::permits::Grant;
use crate::util::arena::Key;

/// Time for which gateways gossip that a server has withdrawn its limit.
const NO_LIMIT_GOSSIP_PERIOD: Millis = Millis(60_000);

impl Pool {
    /// Applies a limit that a server advertised, or its withdrawal.
    pub fn apply_limit(
        &mut self,
        key: Key<Server>,
        advertisement: LimitAdvertisement,
    ) -> LimitMergeOutcome {
        let limited = self.limits.entry(key).or_default();
        limited.apply(advertisement)
    }

    /// [`Pool::apply_limit`] for a server by its incarnation. An unknown one is ignored.
    pub fn apply_limit_of(
        &mut self,
        incarnation: ServerIncarnation,
        advertisement: LimitAdvertisement,
    ) -> LimitMergeOutcome {
        match self.by_incarnation.get(&incarnation).copied() {
            Some(key) => self.apply_limit(key, advertisement),
            None => LimitMergeOutcome::Unchanged,
        }
    }

    /// Limits of the listed servers to gossip: advertised ones, and recent withdrawals.
    pub fn advertised_limits(&self, now: Millis) -> Vec<(ServerIncarnation, LimitAdvertisement)> {
        let listed = self.limits.iter().filter(|(key, _)| self.is_present(**key));
        let advertised = listed
            .filter_map(|(key, limited)| Some((self.incarnation(*key), limited.advertisement()?)));
        advertised
            .filter(|(_, advertisement)| {
                advertisement.limit.is_some()
                    || now.since(advertisement.latest) < NO_LIMIT_GOSSIP_PERIOD
            })
            .collect()
    }

    /// Whether servers of any service are cold after a start.
    pub fn has_warm_ups(&self) -> bool {
        !self.warm_ups.is_empty()
    }

    /// Whether a listed server advertises a limit or is warming up.
    pub fn has_limits(&self, now: Millis) -> bool {
        let mut limited = self.limits.iter().filter(|(_, limited)| limited.is_limited(now));
        limited.any(|(key, _)| self.is_present(*key))
    }

    /// Whether a server advertises a limit or is warming up: a request to it needs a permit.
    pub fn is_limited(&self, key: Key<Server>, now: Millis) -> bool {
        self.limited(key).is_some_and(|limited| limited.is_limited(now))
    }

    /// Sets how servers warm up, by their service. It applies to servers that are cold now, too.
    pub fn set_warm_ups(&mut self, warm_ups: HashMap<String, WarmUpConfig>) {
        self.warm_ups = warm_ups;
        let keys: Vec<Key<Server>> = self.servers.iter().map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.apply_warm_up(key));
    }

    /// Records that a server stated that it stays cold for `span`; returns whether it is limited now
    /// and was not before.
    pub fn record_cold(&mut self, id: &str, span: Millis, now: Millis) -> bool {
        let Some(key) = self.by_id.get(id).copied().filter(|_| span > Millis::ZERO) else {
            return false;
        };
        let was_limited = self.is_limited(key, now);
        self.set_cold_until(key, now + span);
        !was_limited && self.is_limited(key, now)
    }

    /// Treats a server as cold for as long as servers of its service are after their start, since
    /// it may have turned cold without a notice that has arrived.
    pub(super) fn presume_cold(&mut self, key: Key<Server>, now: Millis) {
        let service = &self.servers[key].listed.service;
        if let Some(warm_up) = self.warm_ups.get(service).copied() {
            self.set_cold_until(key, now + warm_up.duration);
        }
    }

    fn set_cold_until(&mut self, key: Key<Server>, until: Millis) {
        let server = &mut self.servers[key];
        server.cold_until = server.cold_until.max(until);
        self.apply_warm_up(key);
    }

    fn apply_warm_up(&mut self, key: Key<Server>) {
        let server = &self.servers[key];
        if server.cold_until == Millis::ZERO {
            return;
        }
        let warm_up = self
            .warm_ups
            .get(&server.listed.service)
            .map(|config| WarmUp { rate: config.rate, until: server.cold_until });
        self.limits.entry(key).or_default().set_warm_up(warm_up);
    }

    /// Limit of a server that is warming up.
    pub fn warm_up_rate(&self, key: Key<Server>, now: Millis) -> Option<Rate> {
        self.limited(key).and_then(|limited| limited.warm_up_rate(now))
    }

    /// [`Pool::warm_up_rate`] for a server by its incarnation.
    pub fn warm_up_rate_of(&self, incarnation: ServerIncarnation, now: Millis) -> Option<Rate> {
        self.warm_up_rate(*self.by_incarnation.get(&incarnation)?, now)
    }

    /// The latest limit that a server advertised, or its withdrawal.
    pub fn advertised_limit(&self, incarnation: ServerIncarnation) -> Option<LimitAdvertisement> {
        self.limited(*self.by_incarnation.get(&incarnation)?)
            .and_then(AdvertisedLimit::advertisement)
    }

    /// The limit that a server advertises, if any.
    pub fn limit(&self, key: Key<Server>) -> Option<Rate> {
        self.limited(key).and_then(AdvertisedLimit::limit)
    }

    /// Identifier of one incarnation of a server.
    pub fn incarnation(&self, key: Key<Server>) -> ServerIncarnation {
        self.servers[key].incarnation
    }

    /// Whether the server with this incarnation is listed.
    pub fn is_incarnation_present(&self, incarnation: ServerIncarnation) -> bool {
        self.by_incarnation.get(&incarnation).is_some_and(|key| self.is_present(*key))
    }

    /// Takes a permit for one request to a server, or returns how to obtain one.
    pub fn take_permit(&mut self, key: Key<Server>, now: Millis) -> Permission {
        let ramp_up_rate = self.ramp_up_rate(key, now);
        self.limits
            .get_mut(&key)
            .map_or(Permission::Free, |limited| limited.take(ramp_up_rate, now))
    }

    /// The rate at which all gateways together send to a server during its ramp-up.
    pub fn ramp_up_rate(&self, key: Key<Server>, now: Millis) -> Option<Rate> {
        self.servers[key].notices.ramp_up_rate(now)
    }

    /// Records the answer to a request for permits that was sent at `requested_at`.
    pub fn record_grant(
        &mut self,
        key: Key<Server>,
        grant: Grant,
        requested_at: Millis,
        now: Millis,
    ) {
        if let Some(limited) = self.limits.get_mut(&key) {
            limited.apply_grant(grant.permits, grant.retry_in, requested_at, now);
        }
    }

    /// [`AdvertisedLimit::reopen`] for all servers.
    pub fn reopen_limits(&mut self, now: Millis) {
        self.limits.values_mut().for_each(|limited| limited.reopen(now));
    }

    /// The earliest time at which a permit may be available for a server that is otherwise
    /// available and that a request may be sent to.
    pub fn next_permit_at(&self, demand: &Demand<'_>, now: Millis) -> Option<Millis> {
        let servers = &self.services.get(demand.service)?.servers;
        let available = servers.iter().filter(|key| {
            let server = &self.servers[**key];
            server.is_available(now) && demand.allows(**key, &server.listed)
        });
        available.filter_map(|key| self.limited(*key).map(AdvertisedLimit::may_open_at)).min()
    }

    /// Reverts the turn of a server that was chosen but is sent no request.
    pub fn undo_choice(&mut self, key: Key<Server>, cost: f64) {
        if let Some(candidate) = self.candidate(key) {
            candidate.ended();
            candidate.turns -= cost;
        }
        if let Some(occupancy) = self.occupancies.get_mut(&self.servers[key].listed.service) {
            occupancy.undo_sent(key);
        }
    }

    /// The time until which a server is sent nothing, because it is backing off or has no permit.
    pub(super) fn unavailable_until(&self, key: Key<Server>, now: Millis) -> Option<Millis> {
        let backing_off_until = self.servers[key].notices.backing_off_until(now);
        let no_permit_until = self.limited(key).and_then(|limited| limited.blocked_until(now));
        backing_off_until.max(no_permit_until)
    }

    fn limited(&self, key: Key<Server>) -> Option<&AdvertisedLimit> {
        self.limits.get(&key)
    }
}
