//! Backend servers that name a limit, among all others.

use super::Pool;
use super::Server;
use crate::clock::Millis;
use crate::direct::advertised_limit::AdvertisedLimit;
use crate::direct::advertised_limit::LimitAdvertisement;
use crate::direct::advertised_limit::LimitMergeOutcome;
use crate::direct::advertised_limit::Permission;
use crate::direct::advertised_limit::Rate;
use crate::direct::crashes::ServerIncarnation;
use crate::direct::permits::Grant;
use crate::util::arena::Key;

/// Time after which nobody is told any more that a server names no limit.
const TOLD_FOR: Millis = Millis(60_000);

impl Pool {
    /// Takes what a server said of its limit.
    pub fn merge_limit(&mut self, key: Key<Server>, said: LimitAdvertisement) -> LimitMergeOutcome {
        let limited = self.limits.entry(key).or_default();
        limited.apply(said)
    }

    /// The same of a server by its life; one that is not known is passed over.
    pub fn merge_limit_of(
        &mut self,
        life: ServerIncarnation,
        said: LimitAdvertisement,
    ) -> LimitMergeOutcome {
        match self.by_life.get(&life).copied() {
            Some(key) => self.merge_limit(key, said),
            None => LimitMergeOutcome::Unchanged,
        }
    }

    /// What the listed servers have said of their limits, as far as others may not know.
    pub fn advertised_limits(&self, now: Millis) -> Vec<(ServerIncarnation, LimitAdvertisement)> {
        let listed = self.limits.iter().filter(|(key, _)| self.is_present(**key));
        let said = listed
            .filter_map(|(key, limited)| Some((self.incarnation(*key), limited.advertisement()?)));
        said.filter(|(_, said)| said.limit.is_some() || now.since(said.latest) < TOLD_FOR).collect()
    }

    /// Whether a listed server names a limit.
    pub fn has_limits(&self) -> bool {
        self.limits.iter().any(|(key, limited)| limited.limit().is_some() && self.is_present(*key))
    }

    /// What a server has said of its limit.
    pub fn advertised_limit(&self, life: ServerIncarnation) -> Option<LimitAdvertisement> {
        self.limited(*self.by_life.get(&life)?).and_then(AdvertisedLimit::advertisement)
    }

    /// The limit that a server names, if it does.
    pub fn limit(&self, key: Key<Server>) -> Option<Rate> {
        self.limited(key).and_then(AdvertisedLimit::limit)
    }

    /// Stands for one life of a server.
    pub fn incarnation(&self, key: Key<Server>) -> ServerIncarnation {
        self.servers[key].life
    }

    /// Takes a permit for one request to a server, or says what is to be done for one.
    pub fn take_permit(&mut self, key: Key<Server>, now: Millis) -> Permission {
        let ramp_up_rate = self.ramp_up_rate(key, now);
        self.limits
            .get_mut(&key)
            .map_or(Permission::Free, |limited| limited.take(ramp_up_rate, now))
    }

    /// What all gateways together send a server, while it comes back from a rest.
    pub fn ramp_up_rate(&self, key: Key<Server>, now: Millis) -> Option<Rate> {
        self.servers[key].asked.ramp_up_rate(now)
    }

    /// Takes the answer to one who asked for permits.
    pub fn record_grant(&mut self, key: Key<Server>, given: Grant, asked_at: Millis, now: Millis) {
        if let Some(limited) = self.limits.get_mut(&key) {
            limited.apply_grant(given.permits, given.retry_in, asked_at, now);
        }
    }

    /// When there may be a permit for a server of a service, but those in `tried`, that takes requests otherwise.
    pub fn next_permit_at(
        &self,
        service: &str,
        tried: &[Key<Server>],
        now: Millis,
    ) -> Option<Millis> {
        let servers = &self.services.get(service)?.servers;
        let fit =
            servers.iter().filter(|key| self.servers[**key].is_fit(now) && !tried.contains(key));
        fit.filter_map(|key| self.limited(*key).map(AdvertisedLimit::may_open_at)).min()
    }

    /// A server that was chosen is sent nothing: its turn is given back.
    pub fn undo_choice(&mut self, key: Key<Server>, cost: f64) {
        if let Some(candidate) = self.candidate(key) {
            candidate.ended();
            candidate.turns -= cost;
        }
    }

    /// Until when a server is sent nothing, by what it asked: it rests, or there is no permit.
    pub(super) fn unavailable_until(&self, key: Key<Server>, now: Millis) -> Option<Millis> {
        let rests = self.servers[key].asked.backing_off_until(now);
        let lacks = self.limited(key).and_then(|limited| limited.blocked_until(now));
        rests.max(lacks)
    }

    fn limited(&self, key: Key<Server>) -> Option<&AdvertisedLimit> {
        self.limits.get(&key)
    }
}
