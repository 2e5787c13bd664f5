//! The actor that chooses a backend server for each attempt. Its input is the configuration in
//! force, the instance list, link events, and the sidecars' load reports; its state is one entry
//! for each backend server, with its link and load. It also decides which backend servers get a
//! link.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::config::BackendServer;
use hooktrestle_core::config::Config;
use hooktrestle_core::routing;
use hooktrestle_core::routing::Candidate;
use hooktrestle_core::routing::Report;
use hooktrestle_core::subset;
use hooktrestle_core::util::arena::Arena;
use hooktrestle_core::util::arena::Key;
use hooktrestle_schema::Instance;
use hooktrestle_schema::LoadFrame;
use tokio::sync::watch;
use xtra::Address;
use xtra::Context;
use xtra::Handler;
use xtra::Mailbox;
use xtra::WeakAddress;

use crate::gateway::endpoints;
use crate::gateway::links;
use crate::gateway::links::Handle;

/// State of one backend server at this gateway. It is found by name, and outlives changes of the
/// configuration.
#[derive(Debug)]
pub(crate) struct Server {
    name: String,
    candidate: Candidate,
    link: watch::Sender<Option<Handle>>,
    /// The sidecar's clock in its newest load report. It is the time of issue of new tickets.
    sidecar_now: Millis,
}

/// The actor that chooses backend servers.
#[derive(Debug, xtra::Actor)]
pub(crate) struct Router {
    context: links::Context,
    servers: Arena<Server>,
    by_name: HashMap<String, Key<Server>>,
    /// Version of the configuration, and the instance list, that were last applied to the servers;
    /// `None` if they have to be applied again.
    applied: Option<(u64, Arc<BTreeMap<String, Instance>>)>,
    /// Services whose callers get this gateway as an endpoint, by that list.
    assigned: BTreeSet<String>,
    /// Services that were requested here although their callers get other gateways.
    requested: BTreeSet<String>,
    link_changes: watch::Sender<u64>,
    address: Option<WeakAddress<Router>>,
}

/// A link is open.
#[derive(Debug)]
pub(crate) struct LinkUp {
    pub(crate) server: Key<Server>,
    pub(crate) handle: Handle,
}

/// A link is lost.
#[derive(Debug)]
pub(crate) struct LinkDown {
    pub(crate) server: Key<Server>,
    pub(crate) epoch: u64,
}

/// A sidecar's load report.
#[derive(Debug)]
pub(crate) struct Load {
    pub(crate) server: Key<Server>,
    pub(crate) load: LoadFrame,
}

/// Chooses a backend server of a service, other than those in `tried`.
#[derive(Debug)]
pub(crate) struct Choose {
    pub(crate) service: Arc<str>,
    pub(crate) tried: Vec<Key<Server>>,
}

/// A chosen backend server. Each choice counts as a request in flight until [`Release`] is sent.
#[derive(Debug)]
pub(crate) struct Choice {
    pub(crate) server: Key<Server>,
    pub(crate) handle: Handle,
    pub(crate) sidecar_now: Millis,
}

/// Finds the link to one sidecar, by name.
#[derive(Debug)]
pub(crate) struct Find(pub(crate) String);

/// A request is no longer in flight at a backend server.
#[derive(Debug)]
pub(crate) struct Release(pub(crate) Key<Server>);

/// Subscribes to the link to a backend server.
#[derive(Debug)]
pub(crate) struct WatchLink(pub(crate) Key<Server>);

/// Counts the open links to a service's backend servers.
#[derive(Debug)]
pub(crate) struct CountLinked(pub(crate) String);

/// Starts the actor. Links are opened when the configuration names new backend servers.
pub(crate) fn start(context: links::Context) -> Address<Router> {
    let (address, mailbox) = Mailbox::unbounded();
    let router = Router {
        context: context.clone(),
        servers: Arena::default(),
        by_name: HashMap::new(),
        applied: None,
        assigned: BTreeSet::new(),
        requested: BTreeSet::new(),
        link_changes: watch::Sender::new(0),
        address: Some(address.downgrade()),
    };
    tokio::spawn(xtra::run(mailbox, router));
    tokio::spawn(send_refreshes(context, address.downgrade()));
    address
}

/// Applies the configuration and the instance list, if one of them has changed.
#[derive(Debug)]
struct Refresh;

async fn send_refreshes(context: links::Context, router: WeakAddress<Router>) {
    let mut config = context.config;
    let mut directory = context.directory;
    loop {
        match router.try_upgrade() {
            Some(router) if router.send(Refresh).await.is_ok() => {}
            _ => return,
        }
        let changed = tokio::select! {
            changed = config.changed() => changed,
            changed = directory.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

impl Router {
    fn config(&self) -> Option<Arc<Config>> {
        self.context.config.borrow().as_ref().map(|in_force| in_force.config.clone())
    }

    /// Applies weights and drains, and opens links to new backend servers.
    fn apply_config(&mut self) {
        let Some(config) = self.config() else { return };
        let list = self.context.directory.borrow().clone();
        if let Some((version, applied)) = &self.applied
            && *version == config.version
            && Arc::ptr_eq(applied, &list)
        {
            return;
        }
        self.assigned = self.assigned_services(&config, &list);
        self.applied = Some((config.version, list));
        for (_, server) in self.servers.iter_mut() {
            server.candidate.weight = 0;
        }
        for (_, service) in config.services.iter() {
            if self.requested.contains(&service.name) || self.assigned.contains(&service.name) {
                self.apply_service(&config, &service.servers);
            }
        }
    }

    /// The services whose callers get this gateway as an endpoint.
    fn assigned_services(
        &self,
        config: &Config,
        list: &BTreeMap<String, Instance>,
    ) -> BTreeSet<String> {
        let own = &self.context.identity.instance;
        let is_assigned = |service: &str| {
            endpoints::for_service(list, service).iter().any(|instance| instance.name == *own)
        };
        let names = config.services.iter().map(|(_, service)| &service.name);
        names.filter(|name| is_assigned(name)).cloned().collect()
    }

    fn apply_service(&mut self, config: &Config, members: &[Key<BackendServer>]) {
        let local_data_centre = &self.context.data_centre;
        let instances: Vec<subset::Instance<'_>> = members
            .iter()
            .map(|key| {
                let record = &config.servers[*key];
                let is_local = config.data_centres[record.data_centre].name == *local_data_centre;
                subset::Instance { name: &record.name, is_local }
            })
            .collect();
        let subject = &self.context.identity.instance;
        let chosen = subset::choose(subject, &instances, subset::SERVERS_PER_GATEWAY);
        for index in chosen {
            let key = members[index];
            let record = &config.servers[key];
            let server = self.server(&record.name);
            let weight = if config.is_draining(key) { 0 } else { record.row.weight };
            self.servers[server].candidate.weight = weight;
        }
    }

    fn server(&mut self, name: &str) -> Key<Server> {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let key = self.servers.push(Server {
            name: name.to_owned(),
            candidate: Candidate::default(),
            link: watch::Sender::new(None),
            sidecar_now: Millis::ZERO,
        });
        self.by_name.insert(name.to_owned(), key);
        if let Some(router) = &self.address {
            let maintain_task =
                links::maintain(self.context.clone(), router.clone(), key, name.to_owned());
            tokio::spawn(maintain_task);
        }
        key
    }

    fn choice(&self, server: Key<Server>) -> Option<Choice> {
        let record = &self.servers[server];
        let handle = record.link.borrow().clone()?;
        Some(Choice { server, handle, sidecar_now: record.sidecar_now })
    }

    fn count_linked(&self, service: &str) -> usize {
        let Some(config) = self.config() else { return 0 };
        let Some(service) = config.service(service) else { return 0 };
        let names = config.services[service].servers.iter().map(|key| &config.servers[*key].name);
        let keys = names.filter_map(|name| self.by_name.get(name));
        keys.filter(|key| self.servers[**key].candidate.usable).count()
    }
}

impl Handler<Refresh> for Router {
    type Return = ();

    async fn handle(&mut self, _: Refresh, _: &mut Context<Self>) {
        self.apply_config();
        self.link_changes.send_modify(|changes| *changes += 1);
    }
}

impl Handler<LinkUp> for Router {
    type Return = ();

    async fn handle(&mut self, up: LinkUp, _: &mut Context<Self>) {
        let server = &mut self.servers[up.server];
        server.candidate.usable = true;
        server.link.send_replace(Some(up.handle));
        self.link_changes.send_modify(|changes| *changes += 1);
    }
}

impl Handler<LinkDown> for Router {
    type Return = ();

    async fn handle(&mut self, down: LinkDown, _: &mut Context<Self>) {
        let server = &mut self.servers[down.server];
        let current = server.link.borrow().as_ref().map(|handle| handle.epoch);
        if current == Some(down.epoch) {
            server.candidate.usable = false;
            server.link.send_replace(None);
            self.link_changes.send_modify(|changes| *changes += 1);
        }
    }
}

impl Handler<Load> for Router {
    type Return = ();

    async fn handle(&mut self, message: Load, _: &mut Context<Self>) {
        let at = self.context.clock.now();
        let server = &mut self.servers[message.server];
        server.sidecar_now = Millis(message.load.now_ms);
        server.candidate.report = Report {
            at,
            queued_requests: message.load.queued_requests,
            running_requests: message.load.running_requests,
            leaving: message.load.leaving,
        };
    }
}

impl Handler<Choose> for Router {
    type Return = Option<Choice>;

    async fn handle(&mut self, choose: Choose, _: &mut Context<Self>) -> Option<Choice> {
        self.apply_config();
        let assigned = self.assigned.contains(&*choose.service);
        if !assigned && self.requested.insert(choose.service.to_string()) {
            self.applied = None;
            self.apply_config();
        }
        let config = self.config()?;
        let service = config.service(&choose.service)?;
        let members = &config.services[service].servers;
        let names = members.iter().map(|key| &config.servers[*key].name);
        let keys: Vec<Key<Server>> =
            names.filter_map(|name| self.by_name.get(name).copied()).collect();
        let mut candidates: Vec<Candidate> =
            keys.iter().map(|key| self.servers[*key].candidate).collect();
        let is_tried = |index: &usize| choose.tried.contains(&keys[*index]);
        let tried: Vec<usize> = (0..keys.len()).filter(is_tried).collect();
        let now = self.context.clock.now();
        let config = routing::Config::default();
        let chosen = routing::choose(&config, &mut candidates, &tried, 1.0, now, &mut rand::rng())?;
        self.servers[keys[chosen]].candidate = candidates[chosen];
        self.choice(keys[chosen])
    }
}

impl Handler<Find> for Router {
    type Return = Option<Choice>;

    async fn handle(&mut self, find: Find, _: &mut Context<Self>) -> Option<Choice> {
        let server = *self.by_name.get(&find.0)?;
        debug_assert_eq!(self.servers[server].name, find.0);
        self.servers[server].candidate.own_requests += 1;
        self.choice(server)
    }
}

impl Handler<Release> for Router {
    type Return = ();

    async fn handle(&mut self, release: Release, _: &mut Context<Self>) {
        self.servers[release.0].candidate.ended();
    }
}

impl Handler<WatchLink> for Router {
    type Return = watch::Receiver<Option<Handle>>;

    async fn handle(
        &mut self,
        watched: WatchLink,
        _: &mut Context<Self>,
    ) -> watch::Receiver<Option<Handle>> {
        self.servers[watched.0].link.subscribe()
    }
}

impl Handler<CountLinked> for Router {
    type Return = (usize, watch::Receiver<u64>);

    async fn handle(
        &mut self,
        service: CountLinked,
        _: &mut Context<Self>,
    ) -> (usize, watch::Receiver<u64>) {
        let changes = self.link_changes.subscribe();
        (self.count_linked(&service.0), changes)
    }
}
