//! The store and the backend servers, and what goes wrong with them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use hooktrestle_users_standin::configuration_with;
use hooktrestle_users_standin::proxy::Proxy;
use hooktrestle_users_standin::server::Act;
use hooktrestle_users_standin::server::Server;
use hooktrestle_users_standin::store::Copy;
use hooktrestle_users_standin::store::Mood;
use hooktrestle_users_standin::store::Store;
use tokio::task;
use tokio::time;
use tokio::time::Instant;

use crate::ledger::Ledger;
use crate::network;
use crate::schedule::FaultKind;

/// Time for which a server that leaves is listed as leaving, and then serves on.
const LISTED_AS_LEAVING: Duration = Duration::from_secs(2);

/// What servers tell for a rest: times, and texts that are none.
const BACK_OFF_VALUES: [&str; 6] = ["3", "1.5", "0.4", "8", "-1", "soon"];

/// What servers name as a limit: numbers, and texts that are none.
const LIMIT_VALUES: [&str; 8] = ["1.3", "0.4", "2", "0", "7.25", "1e12", "-1", "soon"];

/// The oldest copy from which the store comes back in a drill.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(10);

/// Within what time of a drill's end the operator and the servers write again.
const REWRITE_WITHIN_MS: u64 = 1_500;

/// Tables of the operator and of the servers, who write again what the store has lost.
const REWRITTEN_TABLES: [&str; 2] = ["op", "servers"];

/// Time after which the row of a server that crashed is gone.
const ROW_EXPIRY: Duration = Duration::from_millis(1_500);

/// Time from then until another server comes for one that crashed under a request.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(1_500);

/// A server, and the way on which gateways reach it.
#[derive(Clone)]
struct ProxiedServer {
    server: Server,
    proxy: Proxy,
}

/// The store and the servers.
pub struct Backends {
    /// The store, as operators reach it.
    pub store: Store,
    ledger: Rc<Ledger>,
    store_endpoints: RefCell<Vec<Store>>,
    /// Servers that take work.
    active: RefCell<Vec<ProxiedServer>>,
    started_count: Cell<u32>,
    version: Cell<u64>,
    accepted_at: Cell<Instant>,
    /// Bodies under which servers crash.
    crash_bodies: RefCell<Vec<String>>,
    /// Copies of the store, the newest at the end.
    snapshots: RefCell<VecDeque<(Instant, Copy)>>,
    /// Drills that go on.
    drills: Cell<u32>,
}

impl Backends {
    /// A store with a configuration, and servers.
    pub async fn start(servers: usize, ledger: Rc<Ledger>) -> Rc<Backends> {
        let backends = Rc::new(Backends {
            store: Store::start().await,
            ledger,
            store_endpoints: RefCell::default(),
            active: RefCell::default(),
            started_count: Cell::new(0),
            version: Cell::new(0),
            accepted_at: Cell::new(Instant::now()),
            crash_bodies: RefCell::default(),
            snapshots: RefCell::default(),
            drills: Cell::default(),
        });
        backends.configure();
        for _ in 0..servers {
            backends.add_server().await;
        }
        backends
    }

    /// The operator changes the configuration; returns whether the store took it.
    pub fn configure(&self) -> bool {
        if self.drills.get() > 0 {
            return false;
        }
        let version = self.version.get() + 1;
        let route = route_of(version);
        self.store.put("op", "config", &configuration_with(version, &[&route]));
        self.version.set(version);
        self.accepted_at.set(Instant::now());
        true
    }

    /// The newest configuration, and when it was accepted.
    pub fn newest_configuration(&self) -> (u64, Instant) {
        (self.version.get(), self.accepted_at.get())
    }

    async fn add_server(&self) {
        let number = self.started_count.get() + 1;
        self.started_count.set(number);
        let server = Server::start(&format!("s{number}")).await;
        server.usually(Act::Work);
        self.crash_bodies.borrow().iter().for_each(|body| server.crash_on(body));
        let proxy = Proxy::open(server.address).await;
        self.store.put("servers", &server.id, &server.entry_by(proxy.address, "ready"));
        self.ledger.watch_server(&server);
        self.active.borrow_mut().push(ProxiedServer { server, proxy });
    }

    /// From now on servers crash under requests with this body, and others come for them.
    pub fn crash_on(&self, body: &str) {
        self.crash_bodies.borrow_mut().push(body.to_owned());
        self.active.borrow().iter().for_each(|proxied| proxied.server.crash_on(body));
    }

    /// Copies the store.
    fn take_snapshot(&self) {
        let mut snapshots = self.snapshots.borrow_mut();
        snapshots.push_back((Instant::now(), self.store.copy()));
        while snapshots.front().is_some_and(|(at, _)| at.elapsed() > MAX_SNAPSHOT_AGE) {
            snapshots.pop_front();
        }
    }

    /// The store is away, and comes back from a copy that is as old as `target` tells.
    async fn drill(self: &Rc<Self>, target: usize, duration: Duration) {
        let copy = {
            let snapshots = self.snapshots.borrow();
            snapshots.get(target % snapshots.len().max(1)).map(|(_, copy)| copy.clone())
        };
        let Some(copy) = copy else { return };
        self.drills.set(self.drills.get() + 1);
        let mood = [Mood::Busy, Mood::Silent][target % 2];
        self.set_mood_for(mood, duration).await;
        let lost = self.store.restore(&copy);
        self.drills.set(self.drills.get() - 1);
        // What the drill before had lost is not written by then.
        self.snapshots.borrow_mut().clear();
        for (number, write) in lost.into_iter().enumerate() {
            if !REWRITTEN_TABLES.contains(&write.table.as_str()) {
                continue;
            }
            let backends = self.clone();
            let after_ms = (target + number * 7_919) as u64 % REWRITE_WITHIN_MS;
            task::spawn_local(async move {
                time::sleep(Duration::from_millis(after_ms)).await;
                backends.store.write_again(&write);
            });
        }
    }

    /// Looks for servers that crashed under a request: others come for them after a while.
    pub fn poll(self: &Rc<Self>) {
        if self.drills.get() == 0 {
            // Servers check in.
            self.store.count_up();
            self.take_snapshot();
        }
        let crashed = |proxied: &&ProxiedServer| proxied.server.has_crashed();
        let crashed: Vec<ProxiedServer> =
            self.active.borrow().iter().filter(crashed).cloned().collect();
        for ProxiedServer { server, .. } in crashed {
            self.deactivate(&server.id);
            let backends = self.clone();
            task::spawn_local(async move { backends.replace(&server, REPLACEMENT_DELAY).await });
        }
    }

    fn pick(&self, target: usize) -> Option<ProxiedServer> {
        let active = self.active.borrow();
        (!active.is_empty()).then(|| active[target % active.len()].clone())
    }

    fn deactivate(&self, id: &str) {
        self.active.borrow_mut().retain(|proxied| proxied.server.id != id);
    }

    /// A trouble of the store or of a server, until it is over.
    pub async fn inject(self: &Rc<Self>, kind: FaultKind, target: usize, duration: Duration) {
        match kind {
            FaultKind::StoreBusy => self.set_mood_for(Mood::Busy, duration).await,
            FaultKind::StoreSilent => self.set_mood_for(Mood::Silent, duration).await,
            FaultKind::StoreLosesAnswers => self.set_mood_for(Mood::LosesAnswers, duration).await,
            FaultKind::StoreForgets => self.store.forget_history(),
            FaultKind::StoreDrill => self.drill(target, duration).await,
            FaultKind::ServerMute
            | FaultKind::ServerReset
            | FaultKind::ServerSlow
            | FaultKind::ServerHoldsRequests
            | FaultKind::ServerHoldsAnswers
            | FaultKind::ServerCrash
            | FaultKind::ServerDrain
            | FaultKind::ServerRefuses
            | FaultKind::ServerFails
            | FaultKind::ServerLosesAnswers
            | FaultKind::ServerAnswersTwice
            | FaultKind::ServerForges
            | FaultKind::ServerAsksRest
            | FaultKind::ServerSaysItLeaves
            | FaultKind::ServerNamesLimit => {
                if let Some(proxied) = self.pick(target) {
                    self.inject_server_fault(kind, proxied, target, duration).await;
                }
            }
            // The gateways' own.
            _ => {}
        }
    }

    /// One more address of the store, for one gateway.
    pub async fn add_store_endpoint(&self) -> Store {
        let endpoint = self.store.other_door().await;
        self.store_endpoints.borrow_mut().push(endpoint.clone());
        endpoint
    }

    fn set_moods(&self, mood: Mood) {
        self.store_endpoints.borrow().iter().for_each(|endpoint| endpoint.set_mood(mood));
    }

    async fn set_mood_for(&self, mood: Mood, duration: Duration) {
        self.set_moods(mood);
        time::sleep(duration).await;
        self.set_moods(Mood::Well);
    }

    async fn inject_server_fault(
        self: &Rc<Self>,
        kind: FaultKind,
        proxied: ProxiedServer,
        target: usize,
        duration: Duration,
    ) {
        let ProxiedServer { server, proxy } = proxied;
        let act = match kind {
            FaultKind::ServerRefuses => Act::Refuse,
            FaultKind::ServerFails => Act::Fail,
            FaultKind::ServerLosesAnswers => Act::LoseAnswer,
            FaultKind::ServerAnswersTwice => Act::WorkTwice,
            FaultKind::ServerForges => Act::Forge("forged".to_owned()),
            FaultKind::ServerAsksRest => {
                Act::AskRest(BACK_OFF_VALUES[target % BACK_OFF_VALUES.len()].to_owned())
            }
            FaultKind::ServerSaysItLeaves => return self.announce_leaving(&server).await,
            FaultKind::ServerNamesLimit => {
                server.name_limit(Some(LIMIT_VALUES[target % LIMIT_VALUES.len()]));
                time::sleep(duration).await;
                return server.name_limit(None);
            }
            FaultKind::ServerDrain => return self.drain(&server, &proxy).await,
            FaultKind::ServerCrash => return self.crash(&server, duration).await,
            _ => return network::inject(&proxy, kind, duration).await,
        };
        server.usually(act);
        time::sleep(duration).await;
        server.usually(Act::Work);
    }

    async fn crash(&self, server: &Server, duration: Duration) {
        self.deactivate(&server.id);
        server.crash();
        self.replace(server, duration).await;
    }

    /// The row of a server that crashed goes, and another server comes.
    async fn replace(&self, server: &Server, duration: Duration) {
        time::sleep(ROW_EXPIRY).await;
        self.store.remove("servers", &server.id);
        time::sleep(duration).await;
        self.add_server().await;
    }

    async fn drain(self: &Rc<Self>, server: &Server, proxy: &Proxy) {
        self.deactivate(&server.id);
        self.add_server().await;
        self.store.put("servers", &server.id, &server.entry_by(proxy.address, "draining"));
        self.ledger.mark_leaving(&server.id);
        self.remove_later(server).await;
    }

    /// A server says that it leaves in its answers alone; the list says that it takes work.
    async fn announce_leaving(self: &Rc<Self>, server: &Server) {
        self.deactivate(&server.id);
        self.add_server().await;
        server.say_it_leaves(true);
        self.remove_later(server).await;
        self.ledger.mark_leaving(&server.id);
    }

    /// The row of a server that leaves goes after a while.
    async fn remove_later(&self, server: &Server) {
        time::sleep(LISTED_AS_LEAVING).await;
        self.store.remove("servers", &server.id);
        // It serves on for long: who is sent there after its time is seen.
        let server = server.clone();
        let shutdown_delay = self.ledger.bounds.drain * 4;
        task::spawn_local(async move {
            time::sleep(shutdown_delay).await;
            server.crash();
        });
    }
}

/// The route that one version of the configuration has, and no other.
pub fn route_of(version: u64) -> String {
    format!("v{version}")
}
