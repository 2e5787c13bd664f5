//! What all tasks of one gateway share.
//!
//! One thread runs them all, so cells suffice: nothing is borrowed across an await.

mod asked;
mod by_service;
mod configurations;
pub(crate) mod crashes;
mod eras;
pub(crate) mod findings;
pub mod limits;
mod tables;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;

use hooktrestle_clock::ProcessClock;
use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::budget;
use hooktrestle_core::direct::budget::RetryBudget;
use hooktrestle_core::direct::crashes::Config as CrashConfig;
use hooktrestle_core::direct::crashes::Crashes;
use hooktrestle_core::direct::crashes::Reporter;
use hooktrestle_core::direct::members;
use hooktrestle_core::direct::members::Member;
use hooktrestle_core::direct::members::Members;
use hooktrestle_core::direct::members::Readiness;
use hooktrestle_core::direct::outage;
use hooktrestle_core::direct::outage::Outages;
use hooktrestle_core::direct::overtaken;
use hooktrestle_core::direct::overtaken::Heads;
use hooktrestle_core::direct::permits::Permits;
use hooktrestle_core::direct::pool;
use hooktrestle_core::direct::pool::Pool;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::relays::Relays;
use hooktrestle_core::direct::replica::Replica;
use hooktrestle_core::direct::serving::RouteKind;
use hooktrestle_core::direct::serving::ServingConfig;
use hooktrestle_core::direct::slow_servers::SlowServerReports;
use hooktrestle_core::direct::unconfirmed::Unconfirmed;
use hooktrestle_core::suspension::SuspensionDetector;
use hooktrestle_core::util::arena::Key;
use rand::RngExt;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::connections::Connections;
use crate::entrance::Entrance;
use crate::gateway::by_service::ByService;
use crate::gateway::crashes::Found;
use crate::gateway::findings::Reach;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::permits::PermitGranters;
use crate::platform::Platform;
use crate::platform::Table;

/// How long a sidecar that gave no answer is passed by. Freezes at the users last some seconds, and
/// asking directly has a price.
const PASS_BY: Millis = Millis(1_000);

/// Part of a planned stop in which streams are still taken, as a fraction: 3 of the users' 8 s, so
/// that 4.5 s are left for streams of 1 to 2 s.
const STREAM_PART: (u64, u64) = (3, 8);

/// The same for all other requests: 6 of the users' 8 s. They take some tenths of a second, and the
/// process ends half a second before it has to.
const REQUEST_PART: (u64, u64) = (6, 8);

/// Time after a standstill in which all gateways that live have been heard of again: as long as a heartbeat is
/// waited for.
const HEAR_AGAIN: Millis = Millis(3_000);

/// Time from its start in which a process waits for another gateway to tell what it knows.
const ASK_FIRST: Millis = Millis(1_000);

/// Where a process stands in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It takes requests.
    Running,
    /// It was told to stop, and finishes what it has.
    Stopping,
}

/// One gateway.
pub struct Gateway<P> {
    /// The platform that it runs on.
    pub platform: P,
    /// Time.
    pub clock: ProcessClock,
    suspension: Cell<SuspensionDetector>,
    /// Log lines.
    pub journal: Journal,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Connections to backend servers.
    pub connections: Connections,
    /// Connections to the processes beside them.
    pub sidecars: Connections,
    /// Port on which those listen; 0 if there are none.
    pub sidecars_port: u16,
    /// Wakes whoever looks after groups that stand still.
    pub stalled: Notify,
    /// Wakes whoever exchanges news with other gateways: there is some that cannot wait.
    pub urgent: Notify,
    /// Told when the rounds of news that could not wait were made.
    pub told: Notify,
    /// Rounds of news that are still to be made at once.
    urgent_rounds: Cell<Option<(u32, Reach)>>,
    findings: RefCell<SlowServerReports>,
    crashes: RefCell<Crashes>,
    found: RefCell<Found>,
    /// Wakes whoever keeps crashes on the platform: something has changed.
    pub crashes_changed: Notify,
    permits: RefCell<Permits>,
    /// The gateways that give out permits.
    pub permit_givers: PermitGranters,
    /// Told when an answer about permits has come.
    pub permits_told: Notify,
    /// Wakes whoever hands the own part over: a server has named a limit.
    pub limits_known: Notify,
    serving: RefCell<Rc<ServingConfig>>,
    /// The table that the configuration in force came from, where the store has an older copy of it.
    kept: RefCell<Option<Replica>>,
    /// Whether another gateway has told what it knows, as far as there are any.
    peers_asked: Cell<bool>,
    pool: RefCell<Pool>,
    members: RefCell<Members>,
    replicas: RefCell<BTreeMap<Table, Replica>>,
    /// Rows of the list of servers that the store has lost.
    unconfirmed: RefCell<Unconfirmed>,
    /// Wakes whoever waits for such rows to be written again.
    pub rows_lost: Notify,
    /// The store's era, as far as it was told; `None` before.
    eras: watch::Sender<Option<u64>>,
    /// When another era was told last.
    era_began_at: Cell<Option<Millis>>,
    budgets: ByService<RetryBudget>,
    outages: ByService<Outages>,
    entrances: ByService<Rc<Entrance>>,
    heads: ByService<Heads>,
    budget: Cell<budget::Config>,
    /// Sidecars that gave no answer, and until when they are not asked.
    passed_by: RefCell<HashMap<Key<Server>, Millis>>,
    relays: RefCell<Relays>,
    /// Rows of the list of servers that name none, as far as they were logged.
    passed_over: RefCell<BTreeSet<String>>,
    phase: Cell<Phase>,
    in_flight: Cell<usize>,
    last_request: Cell<Millis>,
    /// When streams are taken no more, while the process stops.
    last_stream: Cell<Millis>,
    /// When nothing is taken any more, while the process stops.
    last_taken: Cell<Millis>,
}

impl<P: Platform> Gateway<P> {
    /// A gateway that knows nothing yet.
    pub fn new(
        platform: P,
        own: Member,
        budget: budget::Config,
        sidecars_port: u16,
        clock: ProcessClock,
    ) -> Gateway<P> {
        Gateway {
            platform,
            clock,
            suspension: Cell::default(),
            journal: Journal::default(),
            metrics: Metrics::default(),
            connections: Connections::new(clock),
            sidecars: Connections::new(clock),
            sidecars_port,
            stalled: Notify::new(),
            urgent: Notify::new(),
            told: Notify::new(),
            urgent_rounds: Cell::new(None),
            findings: RefCell::default(),
            crashes: RefCell::new(Crashes::new(
                CrashConfig::default(),
                Reporter(own.incarnation_id().0),
            )),
            found: RefCell::default(),
            crashes_changed: Notify::new(),
            permits: RefCell::new(Permits::new(clock.now())),
            permit_givers: PermitGranters::default(),
            permits_told: Notify::new(),
            limits_known: Notify::new(),
            serving: RefCell::default(),
            kept: RefCell::default(),
            peers_asked: Cell::default(),
            pool: RefCell::new(Pool::new(pool::Config::default())),
            members: RefCell::new(Members::new(members::Config::default(), own)),
            replicas: RefCell::new(Table::ALL.map(|table| (table, Replica::default())).into()),
            unconfirmed: RefCell::default(),
            rows_lost: Notify::new(),
            eras: watch::Sender::default(),
            era_began_at: Cell::default(),
            budgets: ByService::default(),
            outages: ByService::default(),
            entrances: ByService::default(),
            heads: ByService::default(),
            budget: Cell::new(budget),
            passed_by: RefCell::default(),
            relays: RefCell::default(),
            passed_over: RefCell::default(),
            phase: Cell::new(Phase::Running),
            in_flight: Cell::new(0),
            last_request: Cell::new(Millis::ZERO),
            last_stream: Cell::new(Millis::MAX),
            last_taken: Cell::new(Millis::MAX),
        }
    }

    /// The present moment.
    pub fn now(&self) -> Millis {
        let now = self.clock.now();
        let mut suspension = self.suspension.get();
        suspension.observe_clock(now);
        self.suspension.set(suspension);
        now
    }

    /// How long this process stood still, if that ended less than `within` ago.
    pub fn stood_still(&self, within: Millis) -> Option<Millis> {
        let now = self.now();
        self.suspension.get().ended_within(within, now)
    }

    /// How many gateways share what is bounded for all of them. After a standstill nobody has been heard of
    /// lately; then all that are known do.
    fn sharing(&self, now: Millis) -> usize {
        let members = self.members.borrow();
        if self.suspension.get().ended_within(HEAR_AGAIN, now).is_some() {
            return members.known().count();
        }
        members.count_alive(now)
    }

    /// The configuration in force.
    pub fn serving(&self) -> Rc<ServingConfig> {
        self.serving.borrow().clone()
    }

    /// Does something with the backend servers.
    pub fn with_pool<T>(&self, act: impl FnOnce(&mut Pool) -> T) -> T {
        act(&mut self.pool.borrow_mut())
    }

    /// Does something with the gateways that are known.
    pub fn with_members<T>(&self, act: impl FnOnce(&mut Members) -> T) -> T {
        act(&mut self.members.borrow_mut())
    }

    /// Whether this gateway takes requests: it has a configuration and servers, has asked which requests crash
    /// them and what others know, and does not stop.
    pub fn readiness(&self) -> Readiness {
        if self.phase.get() == Phase::Stopping {
            Readiness::Leaving
        } else if self.knows_enough() {
            Readiness::Ready
        } else {
            Readiness::Starting
        }
    }

    fn knows_enough(&self) -> bool {
        let has_tables = self.serving.borrow().version > 0 && self.knows(Table::Servers);
        let peers_asked = self.peers_asked.get() || self.now() >= ASK_FIRST;
        has_tables && self.found.borrow().is_read && peers_asked
    }

    /// Another gateway has told what it knows, or there is none.
    pub fn note_peers_asked(&self) {
        self.peers_asked.set(true);
    }

    /// Where the process stands in its life.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// The process was told to stop within a time.
    pub fn begin_stop(&self, within: Millis) {
        self.phase.set(Phase::Stopping);
        let after = |(part, of): (u64, u64)| self.now() + Millis(within.0 * part / of);
        self.last_stream.set(after(STREAM_PART));
        self.last_taken.set(after(REQUEST_PART));
    }

    /// Whether a request that comes now can be expected to end before the process does.
    pub fn takes(&self, kind: RouteKind) -> bool {
        let last = match kind {
            RouteKind::Stream => &self.last_stream,
            RouteKind::Repeatable | RouteKind::Once => &self.last_taken,
        };
        self.now() < last.get()
    }

    /// Requests that have no whole answer yet.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// When the last request came.
    pub fn last_request(&self) -> Millis {
        self.last_request.get()
    }

    /// A request came; it is in flight as long as what is returned lives.
    pub fn begin_request(self: &Rc<Self>) -> InFlight<P> {
        self.in_flight.set(self.in_flight.get() + 1);
        self.last_request.set(self.now());
        InFlight { gateway: self.clone() }
    }

    /// Whether a server's engine is asked through the process beside it.
    pub fn uses_sidecar(&self, server: Key<Server>) -> bool {
        let until = self.passed_by.borrow().get(&server).copied().unwrap_or_default();
        self.sidecars_port > 0 && until <= self.now()
    }

    /// The process beside a server gave no answer: the engine is asked directly for a while.
    pub fn pass_sidecar_by(&self, server: Key<Server>) {
        self.passed_by.borrow_mut().insert(server, self.now() + PASS_BY);
    }

    /// The gateway through which an order goes that no machine of its group should give.
    pub fn next_relay(&self) -> Option<IpAddr> {
        if self.sidecars_port == 0 {
            return None;
        }
        let now = self.now();
        let living = self.with_members(|members| members.ready_instances(now));
        self.relays.borrow_mut().next(&living, now)
    }

    /// A gateway relayed nothing: it is passed by for a while.
    pub fn pass_relay_by(&self, relay: IpAddr) {
        self.journal.state(format_args!("{relay} relayed no order, and is passed by"));
        self.relays.borrow_mut().mark_unanswered(relay, self.now());
    }

    /// Whether the store answered when it was asked last.
    pub fn store_answers(&self) -> bool {
        self.with_members(|members| members.own().store_answers)
    }

    /// Notes whether the store answers, and logs a change.
    pub fn note_store(&self, answers: bool, reason: &dyn std::fmt::Display) {
        if self.store_answers() == answers {
            return;
        }
        self.with_members(|members| members.set_store_answers(answers));
        if answers {
            self.journal.state(format_args!("store regained"));
        } else {
            self.journal.state(format_args!("store lost: {reason}"));
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &str) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Takes one repeat at a service from this gateway's part of the budget.
    pub fn take_repeat(&self, service: &str) -> bool {
        let now = self.now();
        let gateways = self.sharing(now);
        let covered = self.with_budget(service, |budget| budget.take(now, gateways));
        if !covered {
            self.metrics.repeats_denied.inc();
        }
        covered
    }

    /// Whether this gateway's part of the budget has a repeat at a service left.
    pub fn covers_repeat(&self, service: &str) -> bool {
        let now = self.now();
        let gateways = self.sharing(now);
        self.with_budget(service, |budget| budget.has_retry(now, gateways))
    }

    /// No server of a service could take a request.
    pub fn note_out(&self, service: &str) {
        let now = self.now();
        self.with_outages(service, |outages| outages.began(now));
    }

    /// A server of a service has taken a request.
    pub fn note_taken(&self, service: &str) {
        let now = self.now();
        self.with_outages(service, |outages| outages.ended(now));
    }

    /// When a caller that is refused now shall come back, if no server of the service takes requests.
    pub fn come_back(&self, service: &str) -> Option<Millis> {
        if let Some(after) = self.all_bound(service) {
            return Some(after);
        }
        let (now, part) = (self.now(), rand::rng().random());
        self.with_outages(service, |outages| outages.retry_after(now, part))
    }

    /// Where streams of a service begin.
    pub fn entrance(&self, service: &str) -> Rc<Entrance> {
        self.entrances.with(service, || Entrance::new(self.clock), |entrance| entrance.clone())
    }

    /// Does something with the answers of a service, as they began.
    pub fn with_heads<T>(&self, service: &str, act: impl FnOnce(&mut Heads) -> T) -> T {
        self.heads.with(service, || Heads::new(overtaken::Config::default()), act)
    }

    /// Bounds from changed settings, for all services.
    pub fn set_budget(&self, config: budget::Config) {
        self.budget.set(config);
        self.budgets.for_each(|budget| budget.set_config(config));
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        self.budgets.with(service, || RetryBudget::new(self.budget.get()), act)
    }

    fn with_outages<T>(&self, service: &str, act: impl FnOnce(&mut Outages) -> T) -> T {
        self.outages.with(service, || Outages::new(outage::Config::default()), act)
    }
}

/// A request without a whole answer.
pub struct InFlight<P: Platform> {
    gateway: Rc<Gateway<P>>,
}

impl<P: Platform> Drop for InFlight<P> {
    fn drop(&mut self) {
        self.gateway.in_flight.set(self.gateway.in_flight.get().saturating_sub(1));
    }
}
