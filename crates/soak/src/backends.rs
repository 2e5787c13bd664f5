//! Stand-ins for the store and the backend servers, and their faults.
//! Input: faults of the store and of servers. State: servers that accept requests, store snapshots.
//! Decides when a server is replaced, when rows are removed and what the store loses in a drill.

pub mod endings;
pub mod groups;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use hooktrestle_users_standin::add_streams_by_priority;
use hooktrestle_users_standin::add_warm_up;
use hooktrestle_users_standin::evacuation;
use hooktrestle_users_standin::proxy::Proxy;
use hooktrestle_users_standin::server::Action;
use hooktrestle_users_standin::server::CrashDraws;
use hooktrestle_users_standin::server::CrashPoint;
use hooktrestle_users_standin::server::Framing;
use hooktrestle_users_standin::server::Server;
use hooktrestle_users_standin::set_timeouts;
use hooktrestle_users_standin::store::Mode;
use hooktrestle_users_standin::store::Snapshot;
use hooktrestle_users_standin::store::Store;
use serde_json::Value;
use tokio::task;
use tokio::time;
use tokio::time::Instant;

use self::groups::Groups;
use crate::callers::LONG_DEADLINE;
use crate::configurations::Configurations;
use crate::crashing::CrashCause;
use crate::data_centres::COLD_START;
use crate::data_centres::WARM_UP_PER_S;
use crate::endless::ServerInTrouble;
use crate::firsts_pause;
use crate::ledger::Ledger;
use crate::network;
use crate::schedule::FaultKind;

/// Time for which the row of a leaving server stays in the store. The server continues to run after
/// that.
const LEAVING_ROW_LIFETIME: Duration = Duration::from_secs(2);

/// Back-off texts that servers send: valid times and invalid texts.
const BACK_OFF_VALUES: [&str; 6] = ["3", "1.5", "0.4", "8", "-1", "soon"];

/// Limit texts that servers advertise: valid numbers and invalid texts.
const LIMIT_VALUES: [&str; 8] = ["1.3", "0.4", "2", "0", "7.25", "1e12", "-1", "soon"];

/// Slots of each server in a burst of callers, as its row says, and the requests that wait for one.
const BUSY_SLOTS: (u32, u32) = (4, 8);

/// Time between two events of a stream in a burst of callers.
const BUSY_EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two events of a stream otherwise.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(2);

/// Time between two events of a stream beside faults of groups.
const GROUP_EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// Time for which a series of configurations goes on after the fault that it belongs to.
const SERIES_MARGIN: Duration = Duration::from_secs(2);

/// Time between two configurations of a series.
const SERIES_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum age of the snapshot with which the store returns in a drill.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(10);

/// Time after the end of a drill within which the operator and the servers write their lost rows
/// again.
pub const REWRITE_WITHIN_MS: u64 = 1_500;

/// Tables of the operator and of the servers, whose lost rows are written again after a drill.
const REWRITTEN_TABLES: [&str; 2] = ["op", "servers"];

/// Time between two checks of whether a drill has ended.
const DRILL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time after a crash until the row of the server is removed.
const ROW_EXPIRY: Duration = Duration::from_millis(1_500);

/// Default time from the removal of the row until another server replaces one that crashed while it
/// ran a request.
pub const REPLACEMENT_DELAY: Duration = Duration::from_millis(1_500);

/// A server, and the proxy through which gateways reach it.
#[derive(Clone)]
struct ProxiedServer {
    server: Server,
    proxy: Proxy,
    data_centre: &'static str,
    /// Its group, whose servers stop together.
    group: u32,
}

impl ProxiedServer {
    /// The row of the server in this state.
    fn row(&self, state: &str, cold_for: Duration) -> Value {
        self.server.entry_in(self.data_centre, self.proxy.address, state, cold_for)
    }
}

/// Whether a server is slow after its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Temperature {
    Warm,
    Cold,
}

/// The store and the backend servers.
pub struct Backends {
    /// The store, at the address for operators.
    pub store: Store,
    ledger: Rc<Ledger>,
    store_endpoints: RefCell<Vec<Store>>,
    /// Servers that accept requests.
    active: RefCell<Vec<ProxiedServer>>,
    /// All servers, in the order of their starts: leaving ones run requests too.
    started: RefCell<Vec<Server>>,
    replacement_delay: Cell<Duration>,
    /// The configurations that the store accepted.
    pub configurations: Configurations,
    /// What crashes servers.
    crash_causes: RefCell<Vec<(CrashCause, CrashPoint, CrashDraws)>>,
    groups: Groups,
    /// Servers that leave, and may still run requests.
    leaving: RefCell<Vec<ProxiedServer>>,
    /// Snapshots of the store, the newest at the end.
    snapshots: RefCell<VecDeque<(Instant, Snapshot)>>,
    /// When the clock of the store was last advanced.
    polled_at: Cell<Instant>,
    /// Number of drills in progress.
    drills: Cell<u32>,
    /// Slots and queue of each server, while they are bounded.
    slots: Cell<Option<(u32, u32)>>,
    /// Whether the configuration has streams of two priorities, for bursts of callers.
    has_priorities: bool,
    /// The server of a service of its own that sends without end.
    pub in_trouble: ServerInTrouble,
}

impl Backends {
    /// Starts a store with a configuration, and `servers` servers. The configuration has streams of
    /// two priorities if `has_priorities` is set. A crash stops all servers of a group.
    pub async fn start(
        servers: usize,
        groups: Groups,
        has_priorities: bool,
        ledger: Rc<Ledger>,
    ) -> Rc<Backends> {
        let backends = Rc::new(Backends {
            store: Store::start().await,
            ledger,
            store_endpoints: RefCell::default(),
            active: RefCell::default(),
            started: RefCell::default(),
            replacement_delay: Cell::new(REPLACEMENT_DELAY),
            configurations: Configurations::default(),
            crash_causes: RefCell::default(),
            groups,
            leaving: RefCell::default(),
            snapshots: RefCell::default(),
            polled_at: Cell::new(Instant::now()),
            drills: Cell::default(),
            slots: Cell::default(),
            has_priorities,
            in_trouble: ServerInTrouble::default(),
        });
        backends.configure();
        for number in 0..servers {
            let group = backends.groups.of_number(number);
            backends.add_server(Temperature::Warm, group).await;
        }
        backends
    }

    /// Sets the time from the removal of the row of a server that crashed while it ran a request until
    /// another server replaces it.
    pub fn set_replacement_delay(&self, delay: Duration) {
        self.replacement_delay.set(delay);
    }

    /// Writes a new version of the configuration, as the operator does. Returns whether the store
    /// accepted it, which it does not during a drill.
    pub fn configure(&self) -> bool {
        if self.drills.get() > 0 {
            return false;
        }
        let mut configuration = self.configurations.next();
        add_warm_up(&mut configuration, WARM_UP_PER_S, COLD_START);
        set_timeouts(&mut configuration, LONG_DEADLINE);
        if self.has_group_faults() {
            self.configure_for_groups(&mut configuration);
        }
        if self.has_priorities {
            add_streams_by_priority(&mut configuration);
        }
        self.in_trouble.add_to(&mut configuration);
        self.store.put("op", "config", &configuration);
        self.configurations.record_accepted();
        true
    }

    /// Writes new versions in quick succession.
    pub async fn configure_in_series(&self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.configure();
            time::sleep(SERIES_INTERVAL).await;
        }
    }

    async fn add_server(&self, temperature: Temperature, group: u32) {
        let number = self.started.borrow().len() as u32 + 1;
        let server = Server::start(&format!("s{number}")).await;
        self.started.borrow_mut().push(server.clone());
        server.set_default_action(Action::Work);
        self.apply_slots(&server);
        let causes = self.crash_causes.borrow().clone();
        for (cause, point, draws) in &causes {
            apply_cause(&server, cause, *point, draws);
        }
        if self.groups.is_stopped(group) {
            server.set_default_action(Action::Refuse);
        }
        let proxy = Proxy::open(server.address).await;
        let data_centre = self.ledger.data_centres.borrow().of_number(number);
        self.ledger.watch_server(&server);
        self.ledger.data_centres.borrow_mut().add_server(&server.id, data_centre);
        let proxied = ProxiedServer { server, proxy, data_centre, group };
        // The addresses of the other servers accept connections without them.
        if number.is_multiple_of(2) {
            let ProxiedServer { server, proxy, .. } = proxied.clone();
            task::spawn_local(async move {
                server.until_crashed().await;
                proxy.close();
            });
        }
        let cold_for = match temperature {
            Temperature::Warm => Duration::ZERO,
            Temperature::Cold => {
                self.ledger.data_centres.borrow_mut().add_cold(&proxied.server.id);
                COLD_START
            }
        };
        self.store.put("servers", &proxied.server.id, &proxied.row("ready", cold_for));
        self.active.borrow_mut().push(proxied);
    }

    fn apply_slots(&self, server: &Server) {
        server.limit_slots(self.slots.get());
        let is_bounded = self.slots.get().is_some();
        let interval = if is_bounded { BUSY_EVENT_INTERVAL } else { self.event_interval() };
        server.set_event_interval(interval);
    }

    /// Time between two events of a stream, but in a burst of callers.
    pub fn event_interval(&self) -> Duration {
        if self.has_group_faults() { GROUP_EVENT_INTERVAL } else { EVENT_INTERVAL }
    }

    /// Bounds the slots of all servers for a time.
    async fn bound_slots(&self, duration: Duration) {
        let apply = |slots| {
            self.slots.set(slots);
            self.active.borrow().iter().for_each(|proxied| self.apply_slots(&proxied.server));
        };
        apply(Some(BUSY_SLOTS));
        time::sleep(duration).await;
        apply(None);
    }

    /// Makes all servers run requests and lose the answers for a time.
    async fn lose_answers(&self, duration: Duration) {
        let servers = self.active.borrow().clone();
        let set = |action: Action| {
            servers.iter().for_each(|proxied| proxied.server.set_default_action(action.clone()));
        };
        set(Action::LoseAnswer);
        time::sleep(duration).await;
        set(Action::Work);
    }

    /// From now on servers crash for this cause, in the attempts that are drawn if it is a part, and
    /// others replace them.
    pub fn add_crash_cause(&self, cause: CrashCause, point: CrashPoint, draws: CrashDraws) {
        let started = self.started.borrow();
        started.iter().for_each(|server| apply_cause(server, &cause, point, &draws));
        self.crash_causes.borrow_mut().push((cause, point, draws));
    }

    /// Takes a snapshot of the store, and drops snapshots that are too old for a drill.
    fn take_snapshot(&self) {
        let mut snapshots = self.snapshots.borrow_mut();
        snapshots.push_back((Instant::now(), self.store.snapshot()));
        while snapshots.front().is_some_and(|(at, _)| at.elapsed() > MAX_SNAPSHOT_AGE) {
            snapshots.pop_front();
        }
    }

    /// Makes the store unavailable, and then restores the snapshot selected by `target`.
    async fn drill(self: &Rc<Self>, target: usize, duration: Duration) {
        let snapshot = {
            let snapshots = self.snapshots.borrow();
            snapshots.get(target % snapshots.len().max(1)).map(|(_, snapshot)| snapshot.clone())
        };
        let Some(snapshot) = snapshot else { return };
        self.drills.set(self.drills.get() + 1);
        let mode = [Mode::Busy, Mode::Unresponsive][target % 2];
        self.set_mode_for(mode, duration).await;
        let lost = self.store.restore(&snapshot);
        self.drills.set(self.drills.get() - 1);
        // Rows lost in the previous drill are not yet written again by then.
        self.snapshots.borrow_mut().clear();
        for (number, write) in lost.into_iter().enumerate() {
            if !REWRITTEN_TABLES.contains(&write.table.as_str()) {
                continue;
            }
            let backends = self.clone();
            let after_ms = (target + number * 7_919) as u64 % REWRITE_WITHIN_MS;
            task::spawn_local(async move {
                time::sleep(Duration::from_millis(after_ms)).await;
                backends.store.rewrite(&write);
            });
        }
    }

    /// Detects servers that crashed while they ran a request, and replaces them after a delay.
    pub fn poll(self: &Rc<Self>) {
        let now = Instant::now();
        let elapsed = now.duration_since(self.polled_at.replace(now));
        self.store.advance_ms(elapsed.as_millis() as u64);
        if self.drills.get() == 0 {
            // Heartbeats of servers advance the revision of the store.
            self.store.advance_revision();
            self.take_snapshot();
        }
        let crashed = |proxied: &&ProxiedServer| proxied.server.has_crashed();
        let crashed: Vec<ProxiedServer> =
            self.active.borrow().iter().filter(crashed).cloned().collect();
        for proxied in crashed {
            self.deactivate(&proxied.server.id);
            self.ledger.losses.record_crash(&proxied.server.id);
            self.stop_group(proxied.group);
            let backends = self.clone();
            task::spawn_local(async move {
                let delay = backends.replacement_delay.get();
                backends.replace(&proxied, delay, Temperature::Warm).await
            });
        }
    }

    fn pick(&self, target: usize) -> Option<ProxiedServer> {
        let active = self.active.borrow();
        (!active.is_empty()).then(|| active[target % active.len()].clone())
    }

    fn deactivate(&self, id: &str) {
        self.active.borrow_mut().retain(|proxied| proxied.server.id != id);
    }

    /// Injects a fault into the store or a server, and waits until the fault has ended.
    pub async fn inject(self: &Rc<Self>, kind: FaultKind, target: usize, duration: Duration) {
        match kind {
            FaultKind::StoreBusy => self.set_mode_for(Mode::Busy, duration).await,
            FaultKind::StoreSilent => self.set_mode_for(Mode::Unresponsive, duration).await,
            FaultKind::StoreLosesAnswers => self.set_mode_for(Mode::LosesAnswers, duration).await,
            FaultKind::StoreForgets => self.store.discard_history(),
            FaultKind::StoreDrill => self.drill(target, duration).await,
            FaultKind::GroupTrouble => self.trouble_group(target, duration).await,
            FaultKind::GroupRelease => self.release_group(target, duration).await,
            FaultKind::ServerEnds => self.end_server(target).await,
            FaultKind::LockStepRelease => self.release_in_lock_step(target, duration).await,
            FaultKind::Evacuation => self.evacuate(target, duration).await,
            FaultKind::Overload => self.bound_slots(duration).await,
            FaultKind::RestartSeries => self.lose_answers(duration).await,
            FaultKind::PlannedSeries | FaultKind::ConfigurationSeries => {
                self.configure_in_series(duration).await;
            }
            FaultKind::FirstsPause => {
                let silence = firsts_pause::silence(target);
                let all = silence + firsts_pause::delay(target) + duration;
                tokio::join!(
                    self.set_mode_for(Mode::Unresponsive, silence),
                    self.configure_in_series(all + SERIES_MARGIN)
                );
            }
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
            | FaultKind::ServerNamesLimit
            | FaultKind::ServerUnframed
            | FaultKind::ServerReturnsCold => {
                if let Some(proxied) = self.pick(target) {
                    self.inject_server_fault(kind, proxied, target, duration).await;
                }
            }
            // `Fleet::inject` injects the faults of gateways.
            _ => {}
        }
    }

    /// Opens a further address of the store, for one gateway.
    pub async fn add_store_endpoint(&self) -> Store {
        let endpoint = self.store.with_another_address().await;
        self.store_endpoints.borrow_mut().push(endpoint.clone());
        endpoint
    }

    fn set_modes(&self, mode: Mode) {
        self.store_endpoints.borrow().iter().for_each(|endpoint| endpoint.set_mode(mode));
    }

    async fn set_mode_for(&self, mode: Mode, duration: Duration) {
        self.set_modes(mode);
        time::sleep(duration).await;
        self.set_modes(Mode::Normal);
    }

    async fn inject_server_fault(
        self: &Rc<Self>,
        kind: FaultKind,
        proxied: ProxiedServer,
        target: usize,
        duration: Duration,
    ) {
        let ProxiedServer { server, proxy, .. } = proxied.clone();
        let action = match kind {
            FaultKind::ServerRefuses => Action::Refuse,
            FaultKind::ServerFails => Action::Fail,
            FaultKind::ServerLosesAnswers => Action::LoseAnswer,
            FaultKind::ServerAnswersTwice => Action::WorkAndAnswerTwice,
            FaultKind::ServerForges => Action::AnswerUnsigned("forged".to_owned()),
            FaultKind::ServerAsksRest => Action::RefuseWithBackOff(
                BACK_OFF_VALUES[target % BACK_OFF_VALUES.len()].to_owned(),
            ),
            FaultKind::ServerSaysItLeaves => return self.announce_leaving(&proxied).await,
            FaultKind::ServerNamesLimit => {
                server.advertise_limit(Some(LIMIT_VALUES[target % LIMIT_VALUES.len()]));
                time::sleep(duration).await;
                return server.advertise_limit(None);
            }
            FaultKind::ServerUnframed => {
                server.set_framing(Framing::Connection);
                time::sleep(duration).await;
                return server.set_framing(Framing::Message);
            }
            FaultKind::ServerDrain => return self.drain(&proxied).await,
            FaultKind::ServerCrash => {
                return self.crash(&proxied, duration, Temperature::Warm).await;
            }
            FaultKind::ServerReturnsCold => {
                return self.crash(&proxied, duration, Temperature::Cold).await;
            }
            _ => {
                self.ledger.losses.record_cut(&server.id, duration);
                return network::inject(&proxy, kind, target, duration).await;
            }
        };
        self.ledger.losses.record_lost(&server.id, duration);
        server.set_default_action(action);
        time::sleep(duration).await;
        server.set_default_action(Action::Work);
    }

    /// Evacuates a data centre, unless another one is evacuated, the store is away, or all active
    /// servers are there.
    async fn evacuate(&self, target: usize, duration: Duration) {
        let names = self.ledger.data_centres.borrow().names();
        let data_centre = names[target % names.len()];
        let has_others = {
            let active = self.active.borrow();
            active.iter().any(|proxied| proxied.data_centre != data_centre)
        };
        let is_possible = !self.ledger.data_centres.borrow().has_evacuation();
        if self.drills.get() > 0 || !has_others || !is_possible {
            return;
        }
        let (key, value) = evacuation(data_centre);
        self.store.put("op", &key, &value);
        self.ledger.data_centres.borrow_mut().set_evacuated(Some(data_centre));
        time::sleep(duration).await;
        while self.drills.get() > 0 {
            time::sleep(DRILL_POLL_INTERVAL).await;
        }
        self.ledger.poll();
        self.ledger.data_centres.borrow_mut().set_evacuated(None);
        self.store.remove("op", &key);
    }

    async fn crash(
        self: &Rc<Self>,
        proxied: &ProxiedServer,
        duration: Duration,
        returns: Temperature,
    ) {
        self.deactivate(&proxied.server.id);
        proxied.server.crash();
        self.ledger.losses.record_crash(&proxied.server.id);
        self.stop_group(proxied.group);
        self.replace(proxied, duration, returns).await;
    }

    /// Removes the row of a crashed server, and starts another server after `duration`.
    async fn replace(&self, crashed: &ProxiedServer, duration: Duration, returns: Temperature) {
        time::sleep(ROW_EXPIRY).await;
        self.store.remove("servers", &crashed.server.id);
        time::sleep(duration).await;
        self.add_server(returns, crashed.group).await;
        self.restart_group(crashed.group).await;
    }

    async fn drain(self: &Rc<Self>, proxied: &ProxiedServer) {
        let server = &proxied.server;
        self.deactivate(&server.id);
        self.leaving.borrow_mut().push(proxied.clone());
        self.add_server(Temperature::Warm, proxied.group).await;
        self.store.put("servers", &server.id, &proxied.row("draining", Duration::ZERO));
        self.ledger.mark_leaving(&server.id);
        self.remove_later(server).await;
    }

    /// A server announces only in its answers that it is leaving; its row shows that it is ready.
    async fn announce_leaving(self: &Rc<Self>, proxied: &ProxiedServer) {
        let server = &proxied.server;
        self.deactivate(&server.id);
        self.add_server(Temperature::Warm, proxied.group).await;
        server.report_leaving(true);
        self.remove_later(server).await;
        self.ledger.mark_leaving(&server.id);
    }

    /// Removes the row of a leaving server after some time.
    async fn remove_later(&self, server: &Server) {
        time::sleep(LEAVING_ROW_LIFETIME).await;
        self.store.remove("servers", &server.id);
        // The server runs beyond the drain bound, so that late requests to it are detected.
        let server = server.clone();
        let ledger = self.ledger.clone();
        task::spawn_local(async move {
            time::sleep(ledger.bounds.drain * 4).await;
            server.crash();
            ledger.losses.record_crash(&server.id);
        });
    }
}

fn apply_cause(server: &Server, cause: &CrashCause, point: CrashPoint, draws: &CrashDraws) {
    match cause {
        CrashCause::Body(body) => server.crash_on(body),
        CrashCause::Part(part) => server.crash_on_part_sometimes(part, point, draws),
    }
}
