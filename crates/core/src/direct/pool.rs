//! The pool of backend servers of a gateway that sends requests to servers directly.
//! Input: platform rows, outcomes of attempts, load reports and back-off requests of servers.
//! State: the listed servers and their health. Decides which server gets each request.
//!
//! [`routing`](crate::routing) selects a server by turns. This module adds the health of each
//! server as this gateway observes it: a server that cannot be reached, refuses or fails gets a
//! cooldown, which limits the number of callers that are affected. A server in cooldown is a last
//! resort. A back-off that a server requests itself is mandatory: see
//! [`server_notices`](crate::direct::server_notices).

mod choice;
mod leaving;
mod limits;
mod occupancy;
mod plain;
mod slots;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

pub use self::choice::Demand;
pub use self::choice::PlainDemand;
use self::occupancy::Occupancy;
pub use self::occupancy::Position;
use crate::clock::Millis;
use crate::direct::advertised_limit::AdvertisedLimit;
use crate::direct::advertised_limit::Rate;
use crate::direct::crashes::ServerIncarnation;
use crate::direct::replica::Revision;
use crate::direct::server_notices::ServerNotices;
use crate::direct::shared_faults::SharedFaults;
use crate::direct::slow_servers;
use crate::routing;
use crate::routing::Candidate;
use crate::routing::Report;
use crate::util::arena::Arena;
use crate::util::arena::Key;

/// A backend server as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedServer {
    /// Identifies one incarnation of the server; not reused.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Address at which it listens; an earlier server may have had the same address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// The region of its data centre; empty if that is not known.
    pub region: String,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether its row marks it as leaving.
    pub leaving: bool,
    /// How long it stays cold after its start, when the row was written.
    pub cold_for: Millis,
    /// Start time in Unix ms, if the row contains it. Distinguishes incarnations where a restarted
    /// server keeps its id.
    pub started_unix_ms: Option<u64>,
}

impl ListedServer {
    /// Whether this row describes an earlier incarnation than `newer`.
    fn precedes(&self, newer: &ListedServer) -> bool {
        let (this, newer) = (self.started_unix_ms, newer.started_unix_ms);
        this.zip(newer).is_some_and(|(this, newer)| this < newer)
    }
}

/// Outcome of an attempt at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The server answered.
    Answered,
    /// The gateway or the caller stopped waiting for the answer.
    Abandoned,
    /// The answer reports a server failure.
    Failed,
    /// The server refused because it has no free slot.
    Full,
    /// The server refused because its group is stalled.
    Stalled,
    /// Another server answered at the address.
    Replaced,
    /// No connection could be opened.
    Unreachable,
    /// The connection was lost, or the response violated the protocol.
    Lost,
    /// No answer, while other servers answered requests that were sent later.
    Overtaken,
}

/// How the servers of a service warm up after a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WarmUpConfig {
    /// How long a server is cold.
    pub duration: Millis,
    /// Requests that a cold server takes from all gateways together.
    pub rate: Rate,
}

/// Cooldowns of servers and thresholds of their health.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Selection by turns and load reports.
    pub routing: routing::Config,
    /// Cooldown after a refusal because no slot is free: about the time of one request's prompt.
    pub full_cooldown: Millis,
    /// Cooldown after a refusal by a stalled group.
    pub stalled_cooldown: Millis,
    /// Cooldown after the first failure to connect or overtaken request; doubled with each further
    /// one.
    pub unreachable_cooldown: Millis,
    /// Upper bound of a cooldown.
    pub max_cooldown: Millis,
    /// How long a server counts as slow after a slow-server report, unless a newer one confirms it.
    pub slow_duration: Millis,
    /// Fraction of failed requests above which a server gets a cooldown.
    pub failure_threshold: f64,
}

impl Default for Config {
    /// A server that is gone is removed from the platform's list after three heartbeats, 3.6 s in
    /// the users' deployments. `max_cooldown` covers that time.
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

/// Weight of the newest result in the moving fraction of failed requests.
const NEWEST_RESULT_WEIGHT: f64 = 0.25;

/// Upper bound of the count of consecutive failures to connect. It bounds the doublings of the
/// cooldown, so that the shift does not overflow. `max_cooldown` is reached at a lower count.
const MAX_UNREACHABLE_COUNT: u32 = 8;

/// One incarnation of a backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// The latest row.
    pub listed: ListedServer,
    incarnation: ServerIncarnation,
    /// Index among the candidates of its service; `None` if the platform does not list it.
    position: Option<usize>,
    /// Whether it has sent something while the platform does not list it.
    serves_unlisted: bool,
    /// Store revision at which this gateway first received its row.
    first_revision: Revision,
    cooldown_until: Millis,
    /// End of the time for which it counts as slow.
    slow_until: Millis,
    /// Consecutive failures to connect and overtaken requests.
    unreachable_count: u32,
    /// Moving fraction of failed requests; newer results weigh more.
    failure_ratio: f64,
    /// Another server owns its address, by the rows.
    replaced: bool,
    /// Another server answered at its address. Permanent, since ids are not reused.
    address_lost: bool,
    /// Its group is stalled, as its engine reported.
    stalled: bool,
    /// Operators evacuate its data centre.
    evacuated: bool,
    /// Until when it is cold after a start, as far as is known.
    cold_until: Millis,
    /// Its notices: a back-off that it requested, and that it is leaving.
    notices: ServerNotices,
    /// Mean processing time of a request that is no stream; 0 if unknown.
    work_ms: f64,
}

/// The listed servers of a service. Both arrays have the same order.
#[derive(Clone, Debug, Default)]
struct Service {
    servers: Vec<Key<Server>>,
    candidates: Vec<Candidate>,
}

/// All backend servers known to this gateway.
#[derive(Clone, Debug)]
pub struct Pool {
    config: Config,
    servers: Arena<Server>,
    by_id: HashMap<String, Key<Server>>,
    by_incarnation: HashMap<ServerIncarnation, Key<Server>>,
    /// State of advertised limits and permits.
    limits: HashMap<Key<Server>, AdvertisedLimit>,
    /// Servers that are listed at an address.
    by_address: HashMap<SocketAddr, Vec<Key<Server>>>,
    services: HashMap<String, Service>,
    /// Occupation of servers, by their service.
    occupancies: HashMap<String, Occupancy>,
    /// Position of this gateway among those that serve.
    position: Option<Position>,
    /// Data centres that operators evacuate.
    evacuated: HashSet<String>,
    /// How servers warm up, by their service.
    warm_ups: HashMap<String, WarmUpConfig>,
    /// Faults that gateways observed.
    faults: SharedFaults,
}

impl Pool {
    /// An empty pool.
    pub fn new(config: Config) -> Pool {
        Pool {
            config,
            servers: Arena::default(),
            by_id: HashMap::new(),
            by_incarnation: HashMap::new(),
            limits: HashMap::new(),
            by_address: HashMap::new(),
            services: HashMap::new(),
            occupancies: HashMap::new(),
            position: None,
            evacuated: HashSet::new(),
            warm_ups: HashMap::new(),
            faults: SharedFaults::default(),
        }
    }

    /// Sets which data centres operators evacuate: no request is sent to their servers. Servers of
    /// a data centre that is no longer evacuated are treated as cold: they may have been restarted
    /// meanwhile.
    pub fn set_evacuated(&mut self, data_centres: HashSet<String>, now: Millis) {
        let mut returning = Vec::new();
        for (key, server) in self.servers.iter_mut() {
            let evacuated = data_centres.contains(&server.listed.data_centre);
            if std::mem::replace(&mut server.evacuated, evacuated) && !evacuated {
                returning.push(key);
            }
        }
        returning.into_iter().for_each(|key| self.presume_cold(key, now));
        self.evacuated = data_centres;
    }

    /// Applies the row of a server and the revision of that row. If several servers are listed at
    /// one address, the one that was listed last owns it: a server that died stays listed for some
    /// seconds.
    pub fn list(&mut self, listed: ListedServer, revision: impl Into<Revision>) {
        let address = listed.address;
        self.upsert(listed, revision.into());
        self.resolve_address(address);
    }

    /// Determines which server owns an address. The row of a dead server may still change after its
    /// successor was listed, so the first revision of each server is compared.
    fn resolve_address(&mut self, address: SocketAddr) {
        let Some(keys) = self.by_address.get(&address) else { return };
        let claims = |key: &Key<Server>| {
            let server = &self.servers[*key];
            !server.address_lost && server.listed.address == address
        };
        let claiming = keys.iter().copied().filter(claims);
        let owner = claiming.max_by_key(|key| self.servers[*key].first_revision);
        for key in keys {
            self.servers[*key].replaced = Some(*key) != owner;
        }
    }

    fn upsert(&mut self, mut listed: ListedServer, revision: Revision) {
        if let Some(key) = self.by_id.get(&listed.id) {
            let server = &mut self.servers[*key];
            let known = &server.listed;
            if listed.precedes(known) {
                // An outdated row: a later incarnation has this id.
                return;
            }
            // A row without a start time belongs to the known incarnation.
            listed.started_unix_ms = listed.started_unix_ms.or(known.started_unix_ms);
            let is_same_address =
                known.service == listed.service && known.address == listed.address;
            if is_same_address && known.started_unix_ms == listed.started_unix_ms {
                let key = *key;
                server.evacuated = self.evacuated.contains(&listed.data_centre);
                server.listed = listed;
                self.add_to_service(key);
                return;
            }
            // A different server: the state of the earlier one does not apply to it.
            let (key, address) = (*key, known.address);
            self.remove_from_service(key);
            self.resolve_address(address);
        }
        let id = listed.id.clone();
        let evacuated = self.evacuated.contains(&listed.data_centre);
        let incarnation = ServerIncarnation::of(&id, listed.started_unix_ms);
        let server = Server {
            listed,
            incarnation,
            position: None,
            serves_unlisted: false,
            first_revision: revision,
            cooldown_until: Millis::ZERO,
            slow_until: Millis::ZERO,
            unreachable_count: 0,
            failure_ratio: 0.0,
            replaced: false,
            address_lost: false,
            stalled: false,
            evacuated,
            cold_until: Millis::ZERO,
            notices: ServerNotices::default(),
            work_ms: 0.0,
        };
        let key = self.servers.push(server);
        self.add_to_service(key);
        self.by_id.insert(id, key);
        self.by_incarnation.insert(incarnation, key);
    }

    /// Adds a server to the listed servers of its service, unless it is among them.
    fn add_to_service(&mut self, key: Key<Server>) {
        let server = &mut self.servers[key];
        if server.position.is_some() {
            return;
        }
        let service = self.services.entry(server.listed.service.clone()).or_default();
        server.position = Some(service.servers.len());
        server.serves_unlisted = false;
        service.servers.push(key);
        service.candidates.push(Candidate { weight: 1, ..Candidate::default() });
        self.by_address.entry(server.listed.address).or_default().push(key);
    }

    /// Removes a server from the listed servers of its service. Its health state is retained, since
    /// its row may reappear.
    fn remove_from_service(&mut self, key: Key<Server>) {
        let server = &mut self.servers[key];
        let Some(position) = server.position.take() else { return };
        if let Some(service) = self.services.get_mut(&server.listed.service) {
            service.servers.swap_remove(position);
            service.candidates.swap_remove(position);
            if let Some(moved) = service.servers.get(position) {
                self.servers[*moved].position = Some(position);
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

    /// Records that the platform no longer lists a server.
    pub fn unlist(&mut self, id: &str) {
        if let Some(key) = self.by_id.get(id).copied() {
            self.remove_from_service(key);
            self.resolve_address(self.servers[key].listed.address);
        }
    }

    /// A server by its key.
    pub fn server(&self, key: Key<Server>) -> &Server {
        &self.servers[key]
    }

    /// Servers that accept new requests, in the order in which they were first listed.
    pub fn open(&self) -> impl Iterator<Item = &ListedServer> {
        let open = self.servers.iter().filter(|(_, server)| server.is_open());
        open.map(|(_, server)| &server.listed)
    }

    /// Listed servers of a service, including those that are leaving.
    pub fn present_of(&self, service: &str) -> Vec<Key<Server>> {
        let Some(found) = self.services.get(service) else { return Vec::new() };
        found.servers.iter().copied().filter(|key| self.is_present(*key)).collect()
    }

    /// Whether a service has an open server.
    pub fn has_open_server(&self, service: &str) -> bool {
        let found = self.services.get(service);
        found.is_some_and(|found| found.servers.iter().any(|key| self.servers[*key].is_open()))
    }

    /// Fraction of the slots of a service's open servers that is occupied, by their latest load
    /// reports.
    pub fn busy_fraction(&self, service: &str) -> f64 {
        let Some(found) = self.services.get(service) else { return 0.0 };
        let (mut occupied, mut slots) = (0, 0);
        for (key, candidate) in found.servers.iter().zip(&found.candidates) {
            let server = &self.servers[*key];
            if server.is_open() {
                occupied += candidate.report.running_requests + candidate.report.queued_requests;
                slots += server.listed.slots;
            }
        }
        f64::from(occupied) / f64::from(slots.max(1))
    }

    /// Number of requests that this gateway has in flight at a server or is about to send to it.
    pub fn requests_at(&self, key: Key<Server>) -> u32 {
        let server = &self.servers[key];
        let candidates = self.services.get(&server.listed.service);
        let candidate = candidates.and_then(|found| found.candidates.get(server.position?));
        candidate.map_or(0, |candidate| candidate.own_requests)
    }

    /// Whether a server counts as slow.
    pub fn is_slow(&self, key: Key<Server>, now: Millis) -> bool {
        self.servers[key].slow_until > now
    }

    /// Whether a chosen server may still be sent a request: it may have requested a back-off since.
    /// A server that advertises a limit requires a permit in addition.
    pub fn accepts(&self, key: Key<Server>, now: Millis) -> bool {
        let server = &self.servers[key];
        server.is_open() && server.notices.backing_off_until(now).is_none()
    }

    /// The earliest time at which a server of a service accepts requests again, if all its servers
    /// that are open and not stalled are backing off or at their advertised limits.
    pub fn all_unavailable_until(&self, service: &str, now: Millis) -> Option<Millis> {
        let mut first = None;
        for key in &self.services.get(service)?.servers {
            let server = &self.servers[*key];
            match self.unavailable_until(*key, now).filter(|_| server.is_open()) {
                Some(until) => first = Some(first.map_or(until, |first| until.min(first))),
                None if server.is_available(now) => return None,
                None => {}
            }
        }
        first
    }

    /// Whether a server is backing off at its own request.
    pub fn is_backing_off(&self, key: Key<Server>, now: Millis) -> bool {
        self.servers[key].notices.backing_off_until(now).is_some()
    }

    /// Whether a server listed at an address is to get orders only from its own machine, because it
    /// is backing off or advertises a limit.
    pub fn accepts_only_local_orders_at(&self, address: SocketAddr, now: Millis) -> bool {
        let keys = self.by_address.get(&address);
        let is_closed =
            |key: &Key<Server>| self.is_backing_off(*key, now) || self.limit(*key).is_some();
        keys.is_some_and(|keys| keys.iter().any(is_closed))
    }

    /// Records that a server requested a back-off of length `span`.
    pub fn back_off(&mut self, key: Key<Server>, span: Millis, now: Millis) {
        self.servers[key].notices.back_off(span, now);
        self.limits.entry(key).or_default();
    }

    /// Records that a server answered a request that it had accepted.
    pub fn record_answer(&mut self, key: Key<Server>) {
        let server = &mut self.servers[key];
        server.notices.record_answer(server.listed.slots);
    }

    /// Whether the platform lists a server, leaving or not, and no other server is known to own its
    /// address.
    pub fn is_present(&self, key: Key<Server>) -> bool {
        let server = &self.servers[key];
        server.position.is_some() && !server.replaced
    }

    /// Records that another server answered at the address of this one.
    pub fn mark_replaced(&mut self, key: Key<Server>) {
        self.servers[key].address_lost = true;
        let address = self.servers[key].listed.address;
        self.resolve_address(address);
    }

    /// Records whether a server's group is stalled, as its engine reported; returns whether that
    /// changed.
    pub fn set_stalled(&mut self, key: Key<Server>, stalled: bool) -> bool {
        let server = &mut self.servers[key];
        if !stalled {
            server.cooldown_until = Millis::ZERO;
        }
        std::mem::replace(&mut server.stalled, stalled) != stalled
    }

    /// Applies a slow-server report of the given age: the servers of the service in `ids` are slow,
    /// the others are not. The report is valid until the next one, and for `slow_duration` at most.
    pub fn set_slow(&mut self, service: &str, ids: &[String], age: Millis, now: Millis) {
        let Some(found) = self.services.get(service) else { return };
        let until = now + self.config.slow_duration - age;
        let mut newly_slow = Vec::new();
        for key in &found.servers {
            let server = &mut self.servers[*key];
            let slow = ids.contains(&server.listed.id);
            if slow && server.slow_until <= now {
                newly_slow.push(*key);
            }
            server.slow_until = if slow { until } else { Millis::ZERO };
        }
        if let Some(occupancy) = self.occupancies.get_mut(service) {
            occupancy.record_newly_slow(&newly_slow, now);
        }
    }

    /// Records a load report of a server.
    pub fn record_load(&mut self, key: Key<Server>, running: u32, queued: u32, now: Millis) {
        let report =
            Report { at: now, queued_requests: queued, running_requests: running, leaving: false };
        if let Some(candidate) = self.candidate(key) {
            candidate.report = report;
        }
    }

    /// Records the outcome of an attempt at a server.
    pub fn ended(&mut self, key: Key<Server>, outcome: AttemptOutcome, now: Millis) {
        if let Some(candidate) = self.candidate(key) {
            candidate.ended();
        }
        if let Some(occupancy) = self.occupancies.get_mut(&self.servers[key].listed.service) {
            occupancy.record_ended(key, now);
        }
        if outcome == AttemptOutcome::Replaced {
            self.mark_replaced(key);
        }
        let config = self.config;
        let server = &mut self.servers[key];
        server.record_outcome(outcome);
        let cooldown = server.cooldown_after(outcome, &config).min(config.max_cooldown);
        server.cooldown_until = server.cooldown_until.max(now + cooldown);
    }

    fn candidate(&mut self, key: Key<Server>) -> Option<&mut Candidate> {
        let server = &self.servers[key];
        let service = self.services.get_mut(&server.listed.service)?;
        service.candidates.get_mut(server.position?)
    }
}

impl Server {
    /// Updates the failure counters by the outcome of an attempt.
    fn record_outcome(&mut self, outcome: AttemptOutcome) {
        let failed = matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::Lost);
        if failed || outcome == AttemptOutcome::Answered {
            let result = f64::from(u8::from(failed));
            self.failure_ratio += (result - self.failure_ratio) * NEWEST_RESULT_WEIGHT;
        }
        let got_no_response =
            matches!(outcome, AttemptOutcome::Unreachable | AttemptOutcome::Overtaken);
        let unreachable_count = if got_no_response { self.unreachable_count + 1 } else { 0 };
        self.unreachable_count = unreachable_count.min(MAX_UNREACHABLE_COUNT);
    }

    /// The cooldown after a recorded outcome, before `max_cooldown` is applied.
    fn cooldown_after(&self, outcome: AttemptOutcome, config: &Config) -> Millis {
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Abandoned | AttemptOutcome::Replaced => {
                Millis::ZERO
            }
            AttemptOutcome::Full => config.full_cooldown,
            AttemptOutcome::Stalled => config.stalled_cooldown,
            AttemptOutcome::Unreachable | AttemptOutcome::Overtaken => {
                Millis(config.unreachable_cooldown.0 << (self.unreachable_count - 1))
            }
            AttemptOutcome::Failed | AttemptOutcome::Lost
                if self.failure_ratio > config.failure_threshold =>
            {
                Millis(config.unreachable_cooldown.0 * 2)
            }
            AttemptOutcome::Failed | AttemptOutcome::Lost => Millis::ZERO,
        }
    }

    /// Whether it accepts new requests now: open, not stalled and not backing off.
    fn is_available(&self, now: Millis) -> bool {
        self.is_open() && !self.stalled && self.notices.backing_off_until(now).is_none()
    }

    /// Whether it is available, not in cooldown, not slow, and its ramp-up allows one more request.
    fn is_preferred(&self, requests: u32, now: Millis) -> bool {
        let is_healthy = self.cooldown_until.max(self.slow_until) <= now;
        is_healthy && self.is_available(now) && self.notices.admits_one_more(requests)
    }

    /// Whether it is listed, owns its address, is not leaving, and its data centre is not
    /// evacuated.
    pub fn is_open(&self) -> bool {
        self.position.is_some() && !self.replaced && !self.is_leaving() && !self.evacuated
    }
}
