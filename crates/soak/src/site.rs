//! The store and the backend servers, and what goes wrong with them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use hooktrestle_users_standin::configuration_with;
use hooktrestle_users_standin::proxy::Proxy;
use hooktrestle_users_standin::server::Action;
use hooktrestle_users_standin::server::Server;
use hooktrestle_users_standin::store::Mode;
use hooktrestle_users_standin::store::Snapshot;
use hooktrestle_users_standin::store::Store;
use tokio::task;
use tokio::time;
use tokio::time::Instant;

use crate::ledger::Ledger;
use crate::schedule::Kind;
use crate::ways;

/// Time for which a server that leaves is listed as leaving, and then serves on.
const LEAVES: Duration = Duration::from_secs(2);

/// What servers tell for a rest: times, and texts that are none.
const RESTS: [&str; 6] = ["3", "1.5", "0.4", "8", "-1", "soon"];

/// What servers name as a limit: numbers, and texts that are none.
const LIMITS: [&str; 8] = ["1.3", "0.4", "2", "0", "7.25", "1e12", "-1", "soon"];

/// The oldest copy from which the store comes back in a drill.
const OLDEST_COPY: Duration = Duration::from_secs(10);

/// Within what time of a drill's end the operator and the servers write again.
const WRITTEN_AGAIN_MS: u64 = 1_500;

/// Tables of the operator and of the servers, who write again what the store has lost.
const WRITTEN_BY_OTHERS: [&str; 2] = ["op", "servers"];

/// Time after which the row of a server that crashed is gone.
const LAPSE: Duration = Duration::from_millis(1_500);

/// Time from then until another server comes for one that crashed under a request.
const RETURNS: Duration = Duration::from_millis(1_500);

/// A server, and the way on which gateways reach it.
#[derive(Clone)]
struct Placed {
    server: Server,
    way: Proxy,
}

/// The store and the servers.
pub struct Site {
    /// The store, as operators reach it.
    pub store: Store,
    ledger: Rc<Ledger>,
    doors: RefCell<Vec<Store>>,
    /// Servers that take work.
    open: RefCell<Vec<Placed>>,
    begun: Cell<u32>,
    version: Cell<u64>,
    accepted_at: Cell<Instant>,
    /// Bodies under which servers crash.
    crashes_on: RefCell<Vec<String>>,
    /// Copies of the store, the newest at the end.
    copies: RefCell<VecDeque<(Instant, Snapshot)>>,
    /// Drills that go on.
    drills: Cell<u32>,
}

impl Site {
    /// A store with a configuration, and servers.
    pub async fn start(servers: usize, ledger: Rc<Ledger>) -> Rc<Site> {
        let site = Rc::new(Site {
            store: Store::start().await,
            ledger,
            doors: RefCell::default(),
            open: RefCell::default(),
            begun: Cell::new(0),
            version: Cell::new(0),
            accepted_at: Cell::new(Instant::now()),
            crashes_on: RefCell::default(),
            copies: RefCell::default(),
            drills: Cell::default(),
        });
        site.configure();
        for _ in 0..servers {
            site.add_server().await;
        }
        site
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
    pub fn newest(&self) -> (u64, Instant) {
        (self.version.get(), self.accepted_at.get())
    }

    async fn add_server(&self) {
        let number = self.begun.get() + 1;
        self.begun.set(number);
        let server = Server::start(&format!("s{number}")).await;
        server.set_default_action(Action::Work);
        self.crashes_on.borrow().iter().for_each(|body| server.crash_on(body));
        let way = Proxy::open(server.address).await;
        self.store.put("servers", &server.id, &server.entry_via(way.address, "ready"));
        self.ledger.serve(&server);
        self.open.borrow_mut().push(Placed { server, way });
    }

    /// From now on servers crash under requests with this body, and others come for them.
    pub fn crash_on(&self, body: &str) {
        self.crashes_on.borrow_mut().push(body.to_owned());
        self.open.borrow().iter().for_each(|placed| placed.server.crash_on(body));
    }

    /// Copies the store.
    fn snapshot(&self) {
        let mut copies = self.copies.borrow_mut();
        copies.push_back((Instant::now(), self.store.snapshot()));
        while copies.front().is_some_and(|(at, _)| at.elapsed() > OLDEST_COPY) {
            copies.pop_front();
        }
    }

    /// The store is away, and comes back from a copy that is as old as `target` tells.
    async fn drill(self: &Rc<Self>, target: usize, lasts: Duration) {
        let snapshot = {
            let copies = self.copies.borrow();
            copies.get(target % copies.len().max(1)).map(|(_, snapshot)| snapshot.clone())
        };
        let Some(snapshot) = snapshot else { return };
        self.drills.set(self.drills.get() + 1);
        let mood = [Mode::Busy, Mode::Unresponsive][target % 2];
        self.mood(mood, lasts).await;
        let lost = self.store.restore(&snapshot);
        self.drills.set(self.drills.get() - 1);
        // What the drill before had lost is not written by then.
        self.copies.borrow_mut().clear();
        for (number, write) in lost.into_iter().enumerate() {
            if !WRITTEN_BY_OTHERS.contains(&write.table.as_str()) {
                continue;
            }
            let site = self.clone();
            let after_ms = (target + number * 7_919) as u64 % WRITTEN_AGAIN_MS;
            task::spawn_local(async move {
                time::sleep(Duration::from_millis(after_ms)).await;
                site.store.rewrite(&write);
            });
        }
    }

    /// Looks for servers that crashed under a request: others come for them after a while.
    pub fn look(self: &Rc<Self>) {
        if self.drills.get() == 0 {
            // Servers check in.
            self.store.advance_revision();
            self.snapshot();
        }
        let crashed = |placed: &&Placed| placed.server.has_crashed();
        let crashed: Vec<Placed> = self.open.borrow().iter().filter(crashed).cloned().collect();
        for Placed { server, .. } in crashed {
            self.close(&server.id);
            let site = self.clone();
            task::spawn_local(async move { site.replace(&server, RETURNS).await });
        }
    }

    fn pick(&self, target: usize) -> Option<Placed> {
        let open = self.open.borrow();
        (!open.is_empty()).then(|| open[target % open.len()].clone())
    }

    fn close(&self, id: &str) {
        self.open.borrow_mut().retain(|placed| placed.server.id != id);
    }

    /// A trouble of the store or of a server, until it is over.
    pub async fn trouble(self: &Rc<Self>, kind: Kind, target: usize, lasts: Duration) {
        match kind {
            Kind::StoreBusy => self.mood(Mode::Busy, lasts).await,
            Kind::StoreSilent => self.mood(Mode::Unresponsive, lasts).await,
            Kind::StoreLosesAnswers => self.mood(Mode::LosesAnswers, lasts).await,
            Kind::StoreForgets => self.store.discard_history(),
            Kind::StoreDrill => self.drill(target, lasts).await,
            Kind::ServerMute
            | Kind::ServerReset
            | Kind::ServerSlow
            | Kind::ServerHoldsRequests
            | Kind::ServerHoldsAnswers
            | Kind::ServerCrash
            | Kind::ServerDrain
            | Kind::ServerRefuses
            | Kind::ServerFails
            | Kind::ServerLosesAnswers
            | Kind::ServerAnswersTwice
            | Kind::ServerForges
            | Kind::ServerAsksRest
            | Kind::ServerSaysItLeaves
            | Kind::ServerNamesLimit => {
                if let Some(placed) = self.pick(target) {
                    self.server_trouble(kind, placed, target, lasts).await;
                }
            }
            // The gateways' own.
            _ => {}
        }
    }

    /// One more address of the store, for one gateway.
    pub async fn door(&self) -> Store {
        let door = self.store.with_another_address().await;
        self.doors.borrow_mut().push(door.clone());
        door
    }

    fn set_moods(&self, mood: Mode) {
        self.doors.borrow().iter().for_each(|door| door.set_mode(mood));
    }

    async fn mood(&self, mood: Mode, lasts: Duration) {
        self.set_moods(mood);
        time::sleep(lasts).await;
        self.set_moods(Mode::Normal);
    }

    async fn server_trouble(
        self: &Rc<Self>,
        kind: Kind,
        placed: Placed,
        target: usize,
        lasts: Duration,
    ) {
        let Placed { server, way } = placed;
        let act = match kind {
            Kind::ServerRefuses => Action::Refuse,
            Kind::ServerFails => Action::Fail,
            Kind::ServerLosesAnswers => Action::LoseAnswer,
            Kind::ServerAnswersTwice => Action::WorkAndAnswerTwice,
            Kind::ServerForges => Action::AnswerUnsigned("forged".to_owned()),
            Kind::ServerAsksRest => {
                Action::RefuseWithBackOff(RESTS[target % RESTS.len()].to_owned())
            }
            Kind::ServerSaysItLeaves => return self.part(&server).await,
            Kind::ServerNamesLimit => {
                server.advertise_limit(Some(LIMITS[target % LIMITS.len()]));
                time::sleep(lasts).await;
                return server.advertise_limit(None);
            }
            Kind::ServerDrain => return self.drain(&server, &way).await,
            Kind::ServerCrash => return self.crash(&server, lasts).await,
            _ => return ways::trouble(&way, kind, lasts).await,
        };
        server.set_default_action(act);
        time::sleep(lasts).await;
        server.set_default_action(Action::Work);
    }

    async fn crash(&self, server: &Server, lasts: Duration) {
        self.close(&server.id);
        server.crash();
        self.replace(server, lasts).await;
    }

    /// The row of a server that crashed goes, and another server comes.
    async fn replace(&self, server: &Server, lasts: Duration) {
        time::sleep(LAPSE).await;
        self.store.remove("servers", &server.id);
        time::sleep(lasts).await;
        self.add_server().await;
    }

    async fn drain(self: &Rc<Self>, server: &Server, way: &Proxy) {
        self.close(&server.id);
        self.add_server().await;
        self.store.put("servers", &server.id, &server.entry_via(way.address, "draining"));
        self.ledger.leaves(&server.id);
        self.unlist(server).await;
    }

    /// A server says that it leaves in its answers alone; the list says that it takes work.
    async fn part(self: &Rc<Self>, server: &Server) {
        self.close(&server.id);
        self.add_server().await;
        server.report_leaving(true);
        self.unlist(server).await;
        self.ledger.leaves(&server.id);
    }

    /// The row of a server that leaves goes after a while.
    async fn unlist(&self, server: &Server) {
        time::sleep(LEAVES).await;
        self.store.remove("servers", &server.id);
        // It serves on for long: who is sent there after its time is seen.
        let server = server.clone();
        let patience = self.ledger.bounds.drain * 4;
        task::spawn_local(async move {
            time::sleep(patience).await;
            server.crash();
        });
    }
}

/// The route that one version of the configuration has, and no other.
pub fn route_of(version: u64) -> String {
    format!("v{version}")
}
