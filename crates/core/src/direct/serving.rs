//! The configuration in force at a gateway: which service a request goes to, and who may ask.
//!
//! A [`ServingConfig`] is immutable and shared by the requests that began under it; a newer version
//! replaces it whole.

use std::collections::HashMap;

use rand::Rng;
use rand::RngExt;

use crate::clock::Millis;

/// What may be repeated, and how an answer comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once for each request of a caller.
    Once,
    /// A series of events; runs at most once unless the route lets streams be resumed.
    Stream,
}

/// A part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Split {
    /// Name of the service.
    pub service: String,
    /// Its part, relative to the others.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is held.
    pub timeout_ms: Millis,
    /// Time within which the first byte is owed.
    pub objective_ms: Millis,
    /// Longest pause between the events of a stream, where one is owed.
    pub pause_ms: Option<Millis>,
    /// 0 to 9; 0 goes first.
    pub priority: u8,
    /// Where its requests go.
    pub splits: Vec<Split>,
    /// Most backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Whether a broken stream may be taken up at another server.
    pub resumable: bool,
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

    /// The service that gets one request, drawn by weight.
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
    /// Its name, as backend servers get it.
    pub name: String,
    /// Keys that its callers show.
    pub keys: Vec<String>,
    /// Goes before the route's priority where it is set.
    pub priority: Option<u8>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub header_bytes: usize,
    /// Largest body of a request.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request to the end of its head.
    pub header_ms: Millis,
    /// Longest time that a connection rests.
    pub idle_ms: Millis,
}

impl Default for CallerLimits {
    /// In force until the first configuration is known: nothing is served then but refusals.
    fn default() -> Self {
        CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_ms: Millis(3_000),
            idle_ms: Millis(15_000),
        }
    }
}

/// How an engine's ranks hold experts; from the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpertShape {
    /// Sets of layers that have a map of their own.
    pub sets: usize,
    /// Experts in each set.
    pub experts: usize,
    /// Experts that a rank holds of each set, copies counted.
    pub places: usize,
    /// Experts of a set that a rank can copy in for one switch.
    pub spare: usize,
    /// Size of an expert of one set.
    pub expert_mb: f64,
    /// Rate at which a rank copies experts in.
    pub link_mbps: f64,
}

/// What the configuration says of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one of its servers takes from all callers together.
    pub max_connections: u32,
    /// Length of a pass of its engines with next to no work; zero where that is not told.
    pub min_pass_ms: f64,
    /// Its engine's experts, if groups of ranks serve it.
    pub experts: Option<ExpertShape>,
}

/// Why a request has no route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// No route of this host begins the path.
    NoRoute,
    /// The route needs a key, and no account has this one.
    UnknownKey,
}

/// Place of a route in its [`ServingConfig`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteKey(usize);

/// Place of an account in its [`ServingConfig`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AccountKey(usize);

/// A whole configuration, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct ServingConfig {
    /// Rises with each change; 0 is none.
    pub version: u64,
    /// Bounds of what callers send.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: HashMap<String, Service>,
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
        let services = services.into_iter().map(|one| (one.name.clone(), one)).collect();
        ServingConfig { version, limits, services, routes, accounts, by_host, by_key }
    }

    /// The route of `host` with the longest prefix that begins `path`, and the account of `key`.
    ///
    /// # Errors
    ///
    /// No such route, or no such account where the route needs one.
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

    /// A route by its place.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key.0]
    }

    /// An account by its place.
    pub fn account(&self, key: AccountKey) -> &Account {
        &self.accounts[key.0]
    }

    fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.by_host.get(name) {
            Some(prefixes) => prefixes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        // Prefixes end with a slash, so only the path's slashes can end one.
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.map(|(end, _)| &path[..=end]).find_map(|prefix| prefixes.get(prefix)).copied()
    }
}
