//! The configuration in force at a gateway: routes, services, client accounts and caller limits.
//! Input: host, path and key of a request. State: one immutable version, indexed for lookups.
//! Decides which route and client account a request has.
//!
//! A [`ServingConfig`] is shared by the requests that began under it. A newer version replaces it
//! as a whole.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use rand::Rng;
use rand::RngExt;

use crate::clock::Millis;
use crate::direct::pool::WarmUpConfig;
use crate::direct::room::URGENCIES;
use crate::direct::room::estimate::StreamObjective;

/// Whether requests of a route may run more than once, and whether the answer is a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Repeatable,
    /// A request runs at most once.
    Once,
    /// The answer is a stream of events. A request runs at most once unless the route allows
    /// streams to be resumed.
    Stream,
}

/// The regions in which requests may be processed; no restriction if there are none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Homes(pub Vec<String>);

impl Homes {
    /// Whether requests may be processed in a region.
    pub fn allow(&self, region: &str) -> bool {
        self.0.is_empty() || self.0.iter().any(|home| home == region)
    }
}

/// Where one request may be processed: within the homes of its route and of its client account.
#[derive(Clone, Copy, Debug, Default)]
pub struct Residency<'a> {
    /// Homes of the route.
    pub route: Option<&'a Homes>,
    /// Homes of the client account.
    pub account: Option<&'a Homes>,
}

impl Residency<'_> {
    /// Whether the request may be processed in a region.
    pub fn allows(&self, region: &str) -> bool {
        let mut homes = self.route.iter().chain(&self.account);
        homes.all(|homes| homes.allow(region))
    }
}

/// A share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Split {
    /// Name of the service.
    pub service: String,
    /// Weight of this share relative to the others.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests are repeatable, and whether the answer is a stream.
    pub kind: RouteKind,
    /// Longest time for which a request is held.
    pub timeout_ms: Millis,
    /// Latency objective for the first byte.
    pub objective_ms: Millis,
    /// Latency objective for the pauses between the events of a stream, if there is one.
    pub pause_ms: Option<Millis>,
    /// Priority from 0 to 9; 0 is the highest.
    pub priority: u8,
    /// Services that get its requests.
    pub splits: Vec<Split>,
    /// Maximum number of backend servers to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests without a key are accepted.
    pub anonymous: bool,
    /// Whether a truncated stream may be resumed at another server.
    pub resumable: bool,
    /// Where its requests may be processed.
    pub homes: Homes,
}

impl Route {
    /// Whether a request that may have run may be sent again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Draws the service for one request, by weight.
    pub fn draw<R: Rng>(&self, rng: &mut R) -> Option<&str> {
        let total: u32 = self.splits.iter().map(|split| split.weight).sum();
        if total == 0 {
            return self.splits.first().map(|split| split.service.as_str());
        }
        let mut drawn = rng.random_range(0..total);
        for split in &self.splits {
            if drawn < split.weight {
                return Some(&split.service);
            }
            drawn -= split.weight;
        }
        None
    }
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Its name, as it is sent to backend servers.
    pub name: String,
    /// Keys by which its callers authenticate.
    pub keys: Vec<String>,
    /// Overrides the route's priority if it is set.
    pub priority: Option<u8>,
    /// Where its requests may be processed.
    pub homes: Homes,
}

/// Size and time limits for callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub header_bytes: usize,
    /// Largest body of a request.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request to the end of its head.
    pub header_ms: Millis,
    /// Longest time for which a connection may be idle.
    pub idle_ms: Millis,
}

impl Default for CallerLimits {
    /// In force until the first configuration is received; all requests are refused until then.
    fn default() -> Self {
        CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_ms: Millis(3_000),
            idle_ms: Millis(15_000),
        }
    }
}

/// How the ranks of an engine hold experts, by the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpertShape {
    /// Number of sets of layers with separate expert maps.
    pub sets: usize,
    /// Number of experts in each set.
    pub experts: usize,
    /// Number of experts that a rank holds of each set, including copies.
    pub places: usize,
    /// Number of experts of a set that a rank can copy in for one switch of maps.
    pub spare: usize,
    /// Size of one expert of a set.
    pub expert_mb: f64,
    /// Rate at which a rank copies experts in.
    pub link_mbps: f64,
}

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Maximum number of connections that one of its servers accepts from all clients together.
    pub max_connections: u32,
    /// Length of a pass of its engines with almost no load; zero if the configuration omits it.
    pub min_pass_ms: f64,
    /// How its servers warm up after a start, if they have to.
    pub warm_up: Option<WarmUpConfig>,
    /// Its engine's experts, if groups of ranks serve it.
    pub experts: Option<ExpertShape>,
}

/// Why a request has no route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// No route of the host has a prefix of the path.
    NoRoute,
    /// The route requires a key, and no client account has the key of the request.
    UnknownKey,
}

/// Index of a route in its [`ServingConfig`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteKey(usize);

/// Index of a client account in its [`ServingConfig`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AccountKey(usize);

/// A complete configuration, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct ServingConfig {
    /// Version number, higher for newer configurations; 0 stands for no configuration.
    pub version: u64,
    /// Size and time limits for callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Services with a route that has an objective for the pauses between events, with the
    /// strictest objectives of such routes.
    pub stream_objectives: BTreeMap<String, StreamObjective>,
    /// Priorities of all streams, by account and by route, in their order.
    urgencies: Vec<(u8, u8)>,
    routes: Vec<Route>,
    accounts: Vec<Account>,
    by_host: HashMap<String, HashMap<String, RouteKey>>,
    by_key: HashMap<String, AccountKey>,
}

impl ServingConfig {
    /// Indexes a configuration.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        accounts: Vec<Account>,
        limits: CallerLimits,
    ) -> ServingConfig {
        let mut by_host: HashMap<String, HashMap<String, RouteKey>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.path_prefix.clone(), RouteKey(index));
        }
        let mut by_key = HashMap::new();
        for (index, account) in accounts.iter().enumerate() {
            by_key.extend(account.keys.iter().map(|key| (key.clone(), AccountKey(index))));
        }
        let services: HashMap<String, Service> =
            services.into_iter().map(|one| (one.name.clone(), one)).collect();
        let stream_objectives = stream_objectives(&routes, &services);
        let urgencies = urgencies(&routes, &accounts);
        ServingConfig {
            version,
            limits,
            services,
            stream_objectives,
            urgencies,
            routes,
            accounts,
            by_host,
            by_key,
        }
    }

    /// The route of `host` with the longest prefix of `path`, and the client account of `key`.
    ///
    /// # Errors
    ///
    /// There is no such route, or the route requires a key and there is no such account.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(RouteKey, Option<AccountKey>), Denial> {
        let route = self.find(host, path).ok_or(Denial::NoRoute)?;
        let account = key.and_then(|key| self.by_key.get(key)).copied();
        if account.is_none() && !self.routes[route.0].anonymous && !self.accounts.is_empty() {
            return Err(Denial::UnknownKey);
        }
        Ok((route, account))
    }

    /// A route by its key.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key.0]
    }

    /// Urgency of a stream among those that compete for the same room, from 0, the most urgent: its
    /// place by the priority of the account, then by that of the route.
    pub fn urgency(&self, route: RouteKey, account: Option<AccountKey>) -> u8 {
        let of_account = account.and_then(|account| self.account(account).priority);
        let pair = priorities(self.route(route), of_account);
        let place = self.urgencies.partition_point(|known| *known < pair);
        place.min(URGENCIES - 1) as u8
    }

    /// A client account by its key.
    pub fn account(&self, key: AccountKey) -> &Account {
        &self.accounts[key.0]
    }

    /// Whether the requests of all routes of a host may be processed in a region.
    pub fn host_allows(&self, host: &str, region: &str) -> bool {
        let Some(prefixes) = self.by_host.get(&host.to_ascii_lowercase()) else { return true };
        prefixes.values().all(|route| self.route(*route).homes.allow(region))
    }

    fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.by_host.get(name) {
            Some(prefixes) => prefixes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        // Every prefix ends with a slash, so only substrings that end at a slash are looked up.
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.map(|(end, _)| &path[..=end]).find_map(|prefix| prefixes.get(prefix)).copied()
    }
}

/// Priority of a stream by its account, or by its route if the account has none, and by its route.
fn priorities(route: &Route, of_account: Option<u8>) -> (u8, u8) {
    (of_account.unwrap_or(route.priority), route.priority)
}

fn urgencies(routes: &[Route], accounts: &[Account]) -> Vec<(u8, u8)> {
    let of_accounts: BTreeSet<Option<u8>> =
        accounts.iter().map(|account| account.priority).chain([None]).collect();
    let streams = routes.iter().filter(|route| route.kind == RouteKind::Stream);
    let pairs: BTreeSet<(u8, u8)> = streams
        .flat_map(|route| of_accounts.iter().map(|of_account| priorities(route, *of_account)))
        .collect();
    pairs.into_iter().collect()
}

fn stream_objectives(
    routes: &[Route],
    services: &HashMap<String, Service>,
) -> BTreeMap<String, StreamObjective> {
    let mut objectives: BTreeMap<String, StreamObjective> = BTreeMap::new();
    for route in routes.iter().filter(|route| route.kind == RouteKind::Stream) {
        let Some(pause) = route.pause_ms else { continue };
        let (first_ms, pause_ms) = (route.objective_ms.0 as f64, pause.0 as f64);
        for split in &route.splits {
            let min_pass_ms =
                services.get(&split.service).map_or(0.0, |service| service.min_pass_ms);
            let objective = objectives.entry(split.service.clone()).or_insert(StreamObjective {
                first_ms,
                pause_ms,
                min_pass_ms,
            });
            objective.first_ms = objective.first_ms.min(first_ms);
            objective.pause_ms = objective.pause_ms.min(pause_ms);
        }
    }
    objectives
}
