//! Which backend server gets a request, where gateways send to servers directly.
//!
//! [`routing`](crate::routing) gives out turns; what is added here is what a gateway learns at the
//! server itself: that it cannot be reached, refuses, or fails, so that it rests before callers
//! feel it, and is tried again carefully. What a server asks for itself binds: see
//! [`server_notices`](crate::direct::server_notices).

mod limits;

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::Rng;

use crate::clock::Millis;
use crate::direct::advertised_limit::AdvertisedLimit;
use crate::direct::crashes::ServerIncarnation;
use crate::direct::replica::Revision;
use crate::direct::server_notices::ServerNotices;
use crate::direct::slow_servers;
use crate::routing;
use crate::routing::Candidate;
use crate::routing::Report;
use crate::util::arena::Arena;
use crate::util::arena::Key;

/// A backend server as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedServer {
    /// Names one life of the server; never used again.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it listens; may have been another server's before.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When it started, in Unix ms, if it tells. Tells lives apart where one keeps the name of the last.
    pub started_unix_ms: Option<u64>,
}

impl ListedServer {
    /// Whether this tells of a life before the one that `newer` tells of.
    fn is_life_before(&self, newer: &ListedServer) -> bool {
        let (this, newer) = (self.started_unix_ms, newer.started_unix_ms);
        this.zip(newer).is_some_and(|(this, newer)| this < newer)
    }
}

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// An answer.
    Answered,
    /// The caller did not wait for one.
    Abandoned,
    /// An answer that says the server failed.
    Failed,
    /// The server refused for want of room.
    Full,
    /// The server refused: what it depends on stands still.
    Stalled,
    /// Another server has the address.
    Replaced,
    /// No connection.
    Unreachable,
    /// The connection was lost, or carried no answer in the protocol.
    Lost,
    /// Nothing came, while requests that were sent later were answered by others.
    Overtaken,
}

/// How long servers rest.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Turns and reports.
    pub routing: routing::Config,
    /// After a refusal for want of room: about the time of one request's prompt.
    pub full_cooldown: Millis,
    /// After a refusal because the group stands still.
    pub stalled_cooldown: Millis,
    /// After the first failure to connect or overtaken request, and doubled with each further one.
    pub unreachable_cooldown: Millis,
    /// Longest rest.
    pub max_cooldown: Millis,
    /// How long a server counts as slow unless that is told again.
    pub slow_duration: Millis,
    /// Share of failed requests from which a server rests.
    pub failure_threshold: f64,
}

impl Default for Config {
    /// A server that is gone leaves the list after three heartbeats, 3.6 s at the users: the longest
    /// rest covers that.
    fn default() -> Self {
        Config {
            routing: routing::Config::default(),
            full_cooldown: Millis(60),
            stalled_cooldown: Millis(300),
            unreachable_cooldown: Millis(500),
            max_cooldown: Millis(4_000),
            slow_duration: slow_servers::REPORT_LIFETIME,
            failure_threshold: 0.5,
        }
    }
}

/// How much the newest result counts in the share of failed requests.
const NEWEST_RESULT_WEIGHT: f64 = 0.25;

/// Failures to connect in a row that are counted: a bound on the doublings of a rest, so that none
/// overflows. The longest rest is reached long before.
const MAX_UNREACHABLE_COUNT: u32 = 8;

/// One life of a backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// As listed last.
    pub listed: ListedServer,
    life: ServerIncarnation,
    /// Place among the candidates of its service; `None` unless the list has it.
    place: Option<usize>,
    /// When its row was first seen to have changed, by the store's counter.
    first_revision: Revision,
    rests_until: Millis,
    /// Until when it counts as slow.
    slow_until: Millis,
    /// Failures to connect, and requests that were overtaken, in a row.
    unreachable: u32,
    /// Share of failed requests, the newest counting most.
    failing: f64,
    /// Another server has its address, by the list.
    replaced: bool,
    /// Another server answered at its address: for good, since names are not used again.
    disproved: bool,
    /// Its group stands still, as its engine reported.
    standing: bool,
    /// What it asked itself.
    asked: ServerNotices,
}

/// The listed servers of a service, in two arrays of the same order.
#[derive(Clone, Debug, Default)]
struct Service {
    servers: Vec<Key<Server>>,
    candidates: Vec<Candidate>,
}

/// All backend servers that this gateway knows.
#[derive(Clone, Debug)]
pub struct Pool {
    config: Config,
    servers: Arena<Server>,
    by_id: HashMap<String, Key<Server>>,
    by_life: HashMap<ServerIncarnation, Key<Server>>,
    /// Those that have named a limit.
    limits: HashMap<Key<Server>, AdvertisedLimit>,
    /// Who is listed at an address.
    by_address: HashMap<SocketAddr, Vec<Key<Server>>>,
    services: HashMap<String, Service>,
}

impl Pool {
    /// A pool that knows no server.
    pub fn new(config: Config) -> Pool {
        Pool {
            config,
            servers: Arena::default(),
            by_id: HashMap::new(),
            by_life: HashMap::new(),
            limits: HashMap::new(),
            by_address: HashMap::new(),
            services: HashMap::new(),
        }
    }

    /// Takes a server as it is listed now, and when its row changed. Of those that are listed at one
    /// address, the one that was listed last has it: a server that died is listed for some seconds.
    pub fn list(&mut self, listed: ListedServer, revision: impl Into<Revision>) {
        let address = listed.address;
        self.keep(listed, revision.into());
        self.settle(address);
    }

    /// Decides who has an address. Rows may change late, so the first revision of each counts.
    fn settle(&mut self, address: SocketAddr) {
        let Some(keys) = self.by_address.get(&address) else { return };
        let claims = |key: &Key<Server>| {
            let server = &self.servers[*key];
            !server.disproved && server.listed.address == address
        };
        let claiming = keys.iter().copied().filter(claims);
        let holder = claiming.max_by_key(|key| self.servers[*key].first_revision);
        for key in keys {
            self.servers[*key].replaced = Some(*key) != holder;
        }
    }

    fn keep(&mut self, mut listed: ListedServer, revision: Revision) {
        if let Some(key) = self.by_id.get(&listed.id) {
            let server = &mut self.servers[*key];
            let known = &server.listed;
            if listed.is_life_before(known) {
                // It arrives late: another life has the name by now.
                return;
            }
            // A row that does not tell when its server started is of the life that is known.
            listed.started_unix_ms = listed.started_unix_ms.or(known.started_unix_ms);
            let is_same_place = known.service == listed.service && known.address == listed.address;
            if is_same_place && known.started_unix_ms == listed.started_unix_ms {
                let key = *key;
                server.listed = listed;
                self.place(key);
                return;
            }
            // Another server, of which nothing is known yet.
            let (key, address) = (*key, known.address);
            self.displace(key);
            self.settle(address);
        }
        let id = listed.id.clone();
        let life = ServerIncarnation::of(&id, listed.started_unix_ms);
        let server = Server {
            listed,
            life,
            place: None,
            first_revision: revision,
            rests_until: Millis::ZERO,
            slow_until: Millis::ZERO,
            unreachable: 0,
            failing: 0.0,
            replaced: false,
            disproved: false,
            standing: false,
            asked: ServerNotices::default(),
        };
        let key = self.servers.push(server);
        self.place(key);
        self.by_id.insert(id, key);
        self.by_life.insert(life, key);
    }

    /// Puts a server among those that are listed, unless it is there.
    fn place(&mut self, key: Key<Server>) {
        let server = &mut self.servers[key];
        if server.place.is_some() {
            return;
        }
        let service = self.services.entry(server.listed.service.clone()).or_default();
        server.place = Some(service.servers.len());
        service.servers.push(key);
        service.candidates.push(Candidate { weight: 1, ..Candidate::default() });
        self.by_address.entry(server.listed.address).or_default().push(key);
    }

    /// Takes a server from those that are listed; what it was found to be is kept, as its row may
    /// come back.
    fn displace(&mut self, key: Key<Server>) {
        let server = &mut self.servers[key];
        let Some(place) = server.place.take() else { return };
        if let Some(service) = self.services.get_mut(&server.listed.service) {
            service.servers.swap_remove(place);
            service.candidates.swap_remove(place);
            if let Some(moved) = service.servers.get(place) {
                self.servers[*moved].place = Some(place);
            }
        }
        let address = self.servers[key].listed.address;
        if let Some(keys) = self.by_address.get_mut(&address) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }

    /// A server has gone from the list.
    pub fn unlist(&mut self, id: &str) {
        if let Some(key) = self.by_id.get(id).copied() {
            self.displace(key);
            self.settle(self.servers[key].listed.address);
        }
    }

    /// A server by its key.
    pub fn server(&self, key: Key<Server>) -> &Server {
        &self.servers[key]
    }

    /// Servers that may be given work, in the order in which they were first listed.
    pub fn open(&self) -> impl Iterator<Item = &ListedServer> {
        let open = self.servers.iter().filter(|(_, server)| server.is_open());
        open.map(|(_, server)| &server.listed)
    }

    /// Servers of a service that are listed, leaving or not.
    pub fn present_of(&self, service: &str) -> Vec<Key<Server>> {
        let Some(found) = self.services.get(service) else { return Vec::new() };
        found.servers.iter().copied().filter(|key| self.is_present(*key)).collect()
    }

    /// Chooses a server of a service that is not in `tried`, and counts its turn. `cost` is the
    /// work of the request over that of a usual one. Servers that rest by this gateway's judgement, are
    /// slow, or come back from a rest that they asked for, are chosen only if no other is left. Those
    /// whose group stands still never are: they refuse; nor are those that asked to be sent nothing, or
    /// for which there is no permit.
    pub fn choose<R: Rng>(
        &mut self,
        service: &str,
        tried: &[Key<Server>],
        cost: f64,
        now: Millis,
        rng: &mut R,
    ) -> Option<Key<Server>> {
        let found = self.services.get_mut(service)?;
        for resting in [false, true] {
            for (key, candidate) in found.servers.iter().zip(&mut found.candidates) {
                let server = &self.servers[*key];
                let requests = candidate.own_requests;
                let fit = if resting { server.is_fit(now) } else { server.is_swift(requests, now) };
                let is_closed = self.limits.get(key).is_some_and(|limited| {
                    limited.is_closed(now) && (limited.limit().is_some() || !resting)
                });
                candidate.usable = fit && !is_closed && !tried.contains(key);
            }
            let config = &self.config.routing;
            let chosen = routing::choose(config, &mut found.candidates, &[], cost, now, rng);
            if let Some(index) = chosen {
                return Some(found.servers[index]);
            }
        }
        None
    }

    /// Part of the slots of a service's open servers that is taken, as they told last.
    pub fn busy_fraction(&self, service: &str) -> f64 {
        let Some(found) = self.services.get(service) else { return 0.0 };
        let (mut taken, mut slots) = (0, 0);
        for (key, candidate) in found.servers.iter().zip(&found.candidates) {
            let server = &self.servers[*key];
            if server.is_open() {
                taken += candidate.report.running_requests + candidate.report.queued_requests;
                slots += server.listed.slots;
            }
        }
        f64::from(taken) / f64::from(slots.max(1))
    }

    /// Requests that this gateway has at a server, or is about to send there.
    pub fn requests_at(&self, key: Key<Server>) -> u32 {
        let server = &self.servers[key];
        let candidates = self.services.get(&server.listed.service);
        let candidate = candidates.and_then(|found| found.candidates.get(server.place?));
        candidate.map_or(0, |candidate| candidate.own_requests)
    }

    /// Whether a server counts as slow.
    pub fn is_slow(&self, key: Key<Server>, now: Millis) -> bool {
        self.servers[key].slow_until > now
    }

    /// Whether a service has a server beside `server` and those in `tried` that has room, as far as
    /// is known, and is not slow.
    pub fn has_alternative(
        &self,
        service: &str,
        server: Key<Server>,
        tried: &[Key<Server>],
        now: Millis,
    ) -> bool {
        let Some(found) = self.services.get(service) else { return false };
        found.servers.iter().zip(&found.candidates).any(|(key, candidate)| {
            let is_swift = self.servers[*key].is_swift(candidate.own_requests, now);
            let is_closed = self.limits.get(key).is_some_and(|limited| limited.is_closed(now));
            *key != server && !tried.contains(key) && is_swift && !is_closed
        })
    }

    /// Whether a server may be sent a request, whatever chose it: it may have asked for a rest since. Where it
    /// names a limit, that takes a permit as well.
    pub fn accepts(&self, key: Key<Server>, now: Millis) -> bool {
        let server = &self.servers[key];
        server.is_open() && server.asked.backing_off_until(now).is_none()
    }

    /// When the first server of a service takes requests again, if all that would take them have asked
    /// for a rest or are at their limits.
    pub fn all_unavailable_until(&self, service: &str, now: Millis) -> Option<Millis> {
        let mut first = None;
        for key in &self.services.get(service)?.servers {
            let server = &self.servers[*key];
            match self.unavailable_until(*key, now).filter(|_| server.is_open()) {
                Some(until) => first = Some(first.map_or(until, |first| until.min(first))),
                None if server.is_fit(now) => return None,
                None => {}
            }
        }
        first
    }

    /// Whether a server has asked for a rest that lasts.
    pub fn is_backing_off(&self, key: Key<Server>, now: Millis) -> bool {
        self.servers[key].asked.backing_off_until(now).is_some()
    }

    /// Whether whoever is listed at an address shall get no order but from its own machine: it rests, or names a
    /// limit.
    pub fn accepts_only_local_orders_at(&self, address: SocketAddr, now: Millis) -> bool {
        let keys = self.by_address.get(&address);
        let is_closed =
            |key: &Key<Server>| self.is_backing_off(*key, now) || self.limit(*key).is_some();
        keys.is_some_and(|keys| keys.iter().any(is_closed))
    }

    /// A server asked to be sent nothing for so long.
    pub fn back_off(&mut self, key: Key<Server>, span: Millis, now: Millis) {
        self.servers[key].asked.back_off(span, now);
        self.limits.entry(key).or_default();
    }

    /// A server said itself that it leaves; returns whether that is new.
    pub fn mark_leaving(&mut self, key: Key<Server>) -> bool {
        let server = &mut self.servers[key];
        let is_new = !server.is_leaving();
        server.asked.set_leaving();
        is_new
    }

    /// A server has answered a request that it took.
    pub fn record_answer(&mut self, key: Key<Server>) {
        let server = &mut self.servers[key];
        server.asked.record_answer(server.listed.slots);
    }

    /// Whether the platform still lists a server, leaving or not, and nothing has shown that another
    /// one has its address.
    pub fn is_present(&self, key: Key<Server>) -> bool {
        let server = &self.servers[key];
        server.place.is_some() && !server.replaced
    }

    /// Another server was found to have this one's address.
    pub fn mark_replaced(&mut self, key: Key<Server>) {
        self.servers[key].disproved = true;
        let address = self.servers[key].listed.address;
        self.settle(address);
    }

    /// An engine reported whether its group stands still; returns whether that is new.
    pub fn set_stalled(&mut self, key: Key<Server>, standing: bool) -> bool {
        let server = &mut self.servers[key];
        if !standing {
            server.rests_until = Millis::ZERO;
        }
        std::mem::replace(&mut server.standing, standing) != standing
    }

    /// Servers of a service were found slow so long ago, and all others of it were not; that holds until
    /// it is told again, or for a while.
    pub fn set_slow(&mut self, service: &str, ids: &[String], age: Millis, now: Millis) {
        let Some(found) = self.services.get(service) else { return };
        let until = now + self.config.slow_duration - age;
        for key in &found.servers {
            let server = &mut self.servers[*key];
            let slow = ids.contains(&server.listed.id);
            server.slow_until = if slow { until } else { Millis::ZERO };
        }
    }

    /// A server told its load.
    pub fn record_load(&mut self, key: Key<Server>, running: u32, queued: u32, now: Millis) {
        let report =
            Report { at: now, queued_requests: queued, running_requests: running, leaving: false };
        if let Some(candidate) = self.candidate(key) {
            candidate.report = report;
        }
    }

    /// An attempt at a server has ended.
    pub fn ended(&mut self, key: Key<Server>, ending: AttemptOutcome, now: Millis) {
        if let Some(candidate) = self.candidate(key) {
            candidate.ended();
        }
        if ending == AttemptOutcome::Replaced {
            self.mark_replaced(key);
        }
        let config = self.config;
        let server = &mut self.servers[key];
        server.count(ending);
        let rest = server.rest_after(ending, &config).min(config.max_cooldown);
        server.rests_until = server.rests_until.max(now + rest);
    }

    fn candidate(&mut self, key: Key<Server>) -> Option<&mut Candidate> {
        let server = &self.servers[key];
        let service = self.services.get_mut(&server.listed.service)?;
        service.candidates.get_mut(server.place?)
    }
}

impl Server {
    /// Counts how an attempt ended.
    fn count(&mut self, ending: AttemptOutcome) {
        let failed = matches!(ending, AttemptOutcome::Failed | AttemptOutcome::Lost);
        if failed || ending == AttemptOutcome::Answered {
            let result = f64::from(u8::from(failed));
            self.failing += (result - self.failing) * NEWEST_RESULT_WEIGHT;
        }
        let is_silent = matches!(ending, AttemptOutcome::Unreachable | AttemptOutcome::Overtaken);
        let unreachable = if is_silent { self.unreachable + 1 } else { 0 };
        self.unreachable = unreachable.min(MAX_UNREACHABLE_COUNT);
    }

    /// How long it rests after an ending that was counted, if nothing bounds that.
    fn rest_after(&self, ending: AttemptOutcome, config: &Config) -> Millis {
        match ending {
            AttemptOutcome::Answered | AttemptOutcome::Abandoned | AttemptOutcome::Replaced => {
                Millis::ZERO
            }
            AttemptOutcome::Full => config.full_cooldown,
            AttemptOutcome::Stalled => config.stalled_cooldown,
            AttemptOutcome::Unreachable | AttemptOutcome::Overtaken => {
                Millis(config.unreachable_cooldown.0 << (self.unreachable - 1))
            }
            AttemptOutcome::Failed | AttemptOutcome::Lost
                if self.failing > config.failure_threshold =>
            {
                Millis(config.unreachable_cooldown.0 * 2)
            }
            AttemptOutcome::Failed | AttemptOutcome::Lost => Millis::ZERO,
        }
    }

    /// Whether it may be given work now, and its group makes passes.
    fn is_fit(&self, now: Millis) -> bool {
        self.is_open() && !self.standing && self.asked.backing_off_until(now).is_none()
    }

    /// The same, where it does not rest by our judgement, is not slow, and so many requests are no rush.
    fn is_swift(&self, requests: u32, now: Millis) -> bool {
        let is_well = self.rests_until.max(self.slow_until) <= now;
        is_well && self.is_fit(now) && self.asked.admits_one_more(requests)
    }

    /// Whether it leaves, by the list or by its own word, which holds whatever the list says later.
    pub fn is_leaving(&self) -> bool {
        self.listed.leaving || self.asked.announced_leaving()
    }

    /// Whether it may be given work.
    pub fn is_open(&self) -> bool {
        self.place.is_some() && !self.replaced && !self.is_leaving()
    }
}
