//! State that all tasks of one gateway share: pool, members, tables, budgets and permits.
//! Input is what the tasks receive from callers, backend servers, peers and the platform.
//! It decides whether the gateway is ready, which requests it accepts, and if retries are left.
//!
//! One thread runs all tasks, so cells are sufficient: nothing is borrowed across an await.

mod by_service;
mod configurations;
pub(crate) mod crashes;
mod eras;
mod evacuations;
mod faults;
pub mod in_flight;
pub(crate) mod levels;
pub mod limits;
mod rooms;
mod server_notices;
pub(crate) mod slow_servers;
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
use hooktrestle_core::direct::budget::Usage;
use hooktrestle_core::direct::crashes::Config as CrashConfig;
use hooktrestle_core::direct::crashes::Crashes;
use hooktrestle_core::direct::crashes::Reporter;
use hooktrestle_core::direct::evacuations::Evacuations;
use hooktrestle_core::direct::follow_calls;
use hooktrestle_core::direct::members;
use hooktrestle_core::direct::members::Member;
use hooktrestle_core::direct::members::Members;
use hooktrestle_core::direct::members::Readiness;
use hooktrestle_core::direct::outage;
use hooktrestle_core::direct::outage::Outages;
use hooktrestle_core::direct::overtaken;
use hooktrestle_core::direct::overtaken::Heads;
use hooktrestle_core::direct::permits::Permits;
use hooktrestle_core::direct::planned_stop::PlannedStop;
use hooktrestle_core::direct::pool;
use hooktrestle_core::direct::pool::Pool;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::relays::Relays;
use hooktrestle_core::direct::replica::Replica;
use hooktrestle_core::direct::service_times::Served;
use hooktrestle_core::direct::service_times::ServiceTimes;
use hooktrestle_core::direct::serving::ServingConfig;
use hooktrestle_core::direct::slow_servers::SlowServerReports;
use hooktrestle_core::direct::table_age::TableAge;
use hooktrestle_core::direct::unconfirmed::Holds;
use hooktrestle_core::direct::unconfirmed::Unconfirmed;
use hooktrestle_core::suspension::SuspensionDetector;
use hooktrestle_core::util::arena::Key;
use rand::RngExt;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::admission_queue::AdmissionQueue;
use crate::bodies::Bodies;
use crate::callers::hand_over::HandOver;
use crate::callers::reader::Readers;
use crate::callers::reader::budget_bytes;
use crate::connections::Connections;
use crate::connections::MAX_IDLE_PER_SERVER;
use crate::connections::MAX_IDLE_PER_SIDECAR;
use crate::event_log::EventLog;
use crate::gateway::by_service::ByService;
use crate::gateway::crashes::CrashDetection;
use crate::gateway::in_flight::InFlightRequests;
use crate::gateway::rooms::Rooms;
use crate::gateway::slow_servers::Reach;
use crate::metrics::Metrics;
use crate::permits::PermitGranters;
use crate::platform::Platform;
use crate::platform::Table;

/// How long a sidecar that did not answer is skipped. Machines freeze for some seconds, and a
/// direct call to an engine has a price.
const SIDECAR_SKIPPED_FOR: Millis = Millis(1_000);

/// Time after a suspension within which heartbeats of all gateways that are alive have arrived
/// again: the time after which a gateway without a heartbeat is suspected.
const MEMBERSHIP_RECOVERY: Millis = Millis(3_000);

/// Time from the start of the process in which it waits for the state of another gateway.
const PEER_STATE_TIMEOUT: Millis = Millis(1_000);

/// Phase of a gateway process.
#[derive(Clone, Copy, Debug)]
pub enum Phase {
    /// It accepts requests.
    Running,
    /// It was asked to stop, and finishes the requests in flight.
    Stopping(PlannedStop),
}

/// State of one gateway.
pub struct Gateway<P> {
    /// The platform that the gateway runs on.
    pub platform: P,
    /// Time bounds of the calls that follow its tables.
    pub follow_calls: follow_calls::Config,
    /// Clock of the process.
    pub clock: ProcessClock,
    suspension: Cell<SuspensionDetector>,
    /// Writer of log lines.
    pub event_log: EventLog,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Connections to backend servers.
    pub connections: Connections,
    /// Connections to the sidecars of backend servers.
    pub sidecars: Connections,
    /// Port on which sidecars listen; 0 if there are none.
    pub sidecars_port: u16,
    /// Callers, and the answers that are held for them.
    pub readers: Readers,
    /// The bodies of requests.
    pub bodies: Bodies,
    /// The bodies of answers that are no streams, until they are complete.
    pub answers: Bodies,
    /// Notified shortly before a process that stops ends.
    last_answers: Notify,
    /// Gives the kernel what callers have not read by then.
    pub hand_over: HandOver,
    /// Wakes the task that polls stalled groups.
    pub stall_detected: Notify,
    /// Wakes the streams: a report of slow servers was applied.
    pub slow_servers_reported: Notify,
    /// Wakes the gossip task: an update is urgent.
    pub urgent_gossip: Notify,
    /// Notified when the urgent gossip rounds are done.
    pub urgent_gossip_done: Notify,
    /// Number of urgent gossip rounds that are left, and their reach.
    urgent_rounds: Cell<Option<(u32, Reach)>>,
    slow_server_reports: RefCell<SlowServerReports>,
    crashes: RefCell<Crashes>,
    crash_detection: RefCell<CrashDetection>,
    /// Wakes the task that stores crashes on the platform: something has changed.
    pub crashes_changed: Notify,
    permits: RefCell<Permits>,
    /// The gateways that grant permits.
    pub permit_granters: PermitGranters,
    /// Notified when a reply to a request for permits was recorded.
    pub permit_reply_received: Notify,
    /// Wakes the task that delegates this gateway's share: a limit was advertised or has changed.
    pub limits_changed: Notify,
    serving: RefCell<Rc<ServingConfig>>,
    /// Table of the configuration in force, if the store has an older copy of it.
    retained_configuration: RefCell<Option<Replica>>,
    /// Whether the state of another gateway was received, or there is no other gateway.
    peer_state_received: Cell<bool>,
    pool: RefCell<Pool>,
    members: RefCell<Members>,
    replicas: RefCell<BTreeMap<Table, Replica>>,
    table_ages: RefCell<BTreeMap<Table, TableAge>>,
    evacuations: RefCell<Evacuations>,
    /// Rows of the server list that the store has lost.
    unconfirmed: RefCell<Unconfirmed>,
    /// Wakes the task that waits for such rows to be written again.
    pub rows_lost: Notify,
    /// Latest era of the store that is known; `None` before the first.
    eras: watch::Sender<Option<u64>>,
    /// When the era changed last.
    era_began_at: Cell<Option<Millis>>,
    budgets: ByService<RetryBudget>,
    outages: ByService<Outages>,
    admission_queues: ByService<Rc<AdmissionQueue>>,
    heads: ByService<Heads>,
    rooms: Rooms,
    budget: Cell<budget::Config>,
    /// Sidecars that did not answer, and until when each is skipped.
    unanswered_sidecars: RefCell<HashMap<Key<Server>, Millis>>,
    relays: RefCell<Relays>,
    /// Invalid rows of the server list that were logged.
    ignored_rows_logged: RefCell<BTreeSet<String>>,
    phase: Cell<Phase>,
    service_times: RefCell<ServiceTimes>,
    /// Requests without a complete answer.
    pub in_flight: InFlightRequests,
}

impl<P: Platform> Gateway<P> {
    /// A gateway without any tables or peers.
    pub fn new(
        platform: P,
        follow_calls: follow_calls::Config,
        own: Member,
        budget: budget::Config,
        sidecars_port: u16,
        clock: ProcessClock,
    ) -> Gateway<P> {
        let metrics = Metrics::default();
        let bodies = Bodies::new(budget_bytes(own.memory_bytes), metrics.body_bytes.clone());
        let answers = Bodies::new(budget_bytes(own.memory_bytes), metrics.answer_bytes.clone());
        Gateway {
            platform,
            follow_calls,
            clock,
            suspension: Cell::default(),
            event_log: EventLog::default(),
            metrics,
            connections: Connections::new(clock, MAX_IDLE_PER_SERVER),
            sidecars: Connections::new(clock, MAX_IDLE_PER_SIDECAR),
            sidecars_port,
            readers: Readers::new(own.memory_bytes),
            bodies,
            answers,
            last_answers: Notify::new(),
            hand_over: HandOver::default(),
            stall_detected: Notify::new(),
            slow_servers_reported: Notify::new(),
            urgent_gossip: Notify::new(),
            urgent_gossip_done: Notify::new(),
            urgent_rounds: Cell::new(None),
            slow_server_reports: RefCell::default(),
            crashes: RefCell::new(Crashes::new(
                CrashConfig::default(),
                Reporter(own.incarnation_id().0),
            )),
            crash_detection: RefCell::default(),
            crashes_changed: Notify::new(),
            permits: RefCell::new(Permits::new(
                own.gateway_id(),
                own.incarnation_id(),
                clock.now(),
            )),
            permit_granters: PermitGranters::default(),
            permit_reply_received: Notify::new(),
            limits_changed: Notify::new(),
            serving: RefCell::default(),
            retained_configuration: RefCell::default(),
            peer_state_received: Cell::default(),
            pool: RefCell::new(Pool::new(pool::Config::default())),
            members: RefCell::new(Members::new(members::Config::default(), own)),
            replicas: RefCell::new(Table::ALL.map(|table| (table, Replica::default())).into()),
            table_ages: RefCell::default(),
            evacuations: RefCell::default(),
            unconfirmed: RefCell::new(Unconfirmed::new(Holds::SERVERS)),
            rows_lost: Notify::new(),
            eras: watch::Sender::default(),
            era_began_at: Cell::default(),
            budgets: ByService::default(),
            outages: ByService::default(),
            admission_queues: ByService::default(),
            heads: ByService::default(),
            rooms: Rooms::default(),
            budget: Cell::new(budget),
            unanswered_sidecars: RefCell::default(),
            relays: RefCell::default(),
            ignored_rows_logged: RefCell::default(),
            phase: Cell::new(Phase::Running),
            service_times: RefCell::default(),
            in_flight: InFlightRequests::default(),
        }
    }

    /// The current time; also detects suspensions of the process.
    pub fn now(&self) -> Millis {
        let now = self.clock.now();
        let mut suspension = self.suspension.get();
        suspension.observe_clock(now);
        self.suspension.set(suspension);
        now
    }

    /// Length of the last suspension of this process, if it ended less than `within` ago.
    pub fn recent_suspension(&self, within: Millis) -> Option<Millis> {
        let now = self.now();
        self.suspension.get().ended_within(within, now)
    }

    /// Number of gateways among which a common bound is divided. After a suspension no recent
    /// heartbeat is known, so all known gateways count.
    fn count_sharing(&self, now: Millis) -> usize {
        let members = self.members.borrow();
        if self.suspension.get().ended_within(MEMBERSHIP_RECOVERY, now).is_some() {
            return members.known().count();
        }
        members.count_alive(now)
    }

    /// The configuration in force.
    pub fn serving(&self) -> Rc<ServingConfig> {
        self.serving.borrow().clone()
    }

    /// Calls `act` with the pool of backend servers.
    pub fn with_pool<T>(&self, act: impl FnOnce(&mut Pool) -> T) -> T {
        act(&mut self.pool.borrow_mut())
    }

    /// Calls `act` with the membership table.
    pub fn with_members<T>(&self, act: impl FnOnce(&mut Members) -> T) -> T {
        act(&mut self.members.borrow_mut())
    }

    /// Readiness of this gateway. It is ready once it has a configuration and a server list, has
    /// tried to read the stored crashes, and has received the state of a peer or waited for it;
    /// while it stops it is leaving.
    pub fn readiness(&self) -> Readiness {
        if self.is_stopping() {
            Readiness::Leaving
        } else if self.knows_enough() {
            Readiness::Ready
        } else {
            Readiness::Starting
        }
    }

    fn knows_enough(&self) -> bool {
        let has_tables = self.serving.borrow().version > 0 && self.knows(Table::Servers);
        let peer_state_received =
            self.peer_state_received.get() || self.now() >= PEER_STATE_TIMEOUT;
        has_tables && self.crash_detection.borrow().stored_crashes_read && peer_state_received
    }

    /// Records that the state of another gateway was received, or that there is no other gateway.
    pub fn record_peer_state_received(&self) {
        self.peer_state_received.set(true);
    }

    /// Whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        matches!(self.phase.get(), Phase::Stopping(_))
    }

    /// Time since the process was told to stop; `None` if it was not.
    pub fn stopping_for(&self, now: Millis) -> Option<Millis> {
        match self.phase.get() {
            Phase::Stopping(stop) => Some(stop.lasted(now)),
            _ => None,
        }
    }

    /// Records that the process is to stop.
    pub fn begin_stop(&self, stop: PlannedStop) {
        self.phase.set(Phase::Stopping(stop));
    }

    /// Ends the waits of all requests whose answer has not begun, shortly before the process ends.
    pub fn answer_all_waiting(&self) {
        self.last_answers.notify_waiters();
    }

    /// The output of `waiting`, unless the process is about to end: then its request is to be answered
    /// now.
    pub async fn unless_ending<F: Future>(&self, waiting: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = waiting => Some(output),
            () = self.last_answers.notified() => None,
        }
    }

    /// Whether a request of a route with this deadline is accepted. While the process stops, another
    /// gateway has to run a request that may last longer than this one.
    pub fn accepts(&self, route: &str, deadline: Millis) -> bool {
        match self.phase.get() {
            Phase::Running => true,
            Phase::Stopping(stop) => {
                let now = self.now();
                stop.accepts(deadline, self.expected_service(route, now), now)
            }
        }
    }

    /// What a request of a route is expected to take: as long as the longest of those that have ended
    /// and of those in flight. `None` if none has ended recently.
    fn expected_service(&self, route: &str, now: Millis) -> Option<Served> {
        let longest = self.service_times.borrow().longest(route, now)?;
        let first_at = self.in_flight.first_received_at(route);
        let oldest = first_at.map_or(Millis::ZERO, |at| now.since(at));
        Some(Served { took: longest.took.max(oldest), ..longest })
    }

    /// Records what a request of a route took.
    pub fn record_served(&self, route: &str, served: Served) {
        self.service_times.borrow_mut().record(route, served, self.now());
    }

    /// Whether the engine of a server is reached through its sidecar.
    pub fn uses_sidecar(&self, server: Key<Server>) -> bool {
        let until = self.unanswered_sidecars.borrow().get(&server).copied().unwrap_or_default();
        self.sidecars_port > 0 && until <= self.now()
    }

    /// Records that the sidecar of a server did not answer: the engine is called directly for a
    /// while.
    pub fn mark_sidecar_unanswered(&self, server: Key<Server>) {
        self.unanswered_sidecars.borrow_mut().insert(server, self.now() + SIDECAR_SKIPPED_FOR);
    }

    /// The gateway that relays an order which no machine of its group is to send.
    pub fn next_relay(&self) -> Option<IpAddr> {
        if self.sidecars_port == 0 {
            return None;
        }
        let now = self.now();
        let alive = self.with_members(|members| members.ready_instances(now));
        self.relays.borrow_mut().next(&alive, now)
    }

    /// Records that a gateway did not relay an order: it is skipped for a while.
    pub fn mark_relay_unanswered(&self, relay: IpAddr) {
        self.event_log
            .state(format_args!("gateway at {relay} did not relay an order: skipped for a while"));
        self.relays.borrow_mut().mark_unanswered(relay, self.now());
    }

    /// Whether the store answered the last call.
    pub fn store_answers(&self) -> bool {
        self.with_members(|members| members.own().store_answers)
    }

    /// Records whether the store answers, and logs a change.
    pub fn record_store_answers(&self, answers: bool, reason: &dyn std::fmt::Display) {
        if self.store_answers() == answers {
            return;
        }
        self.with_members(|members| members.set_store_answers(answers));
        if answers {
            self.event_log.state(format_args!("store reachable again"));
        } else {
            self.event_log.state(format_args!("store lost: {reason}"));
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &str) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Takes one retry at a service from this gateway's share of the budget.
    pub fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        let gateways = self.count_sharing_slack(now);
        let covered = self.with_budget(service, |budget| budget.take(now, gateways));
        if covered {
            self.metrics.retries.inc();
        } else {
            self.metrics.retries_denied.inc();
            self.report_denied_retry(service, gateways, now);
        }
        covered
    }

    /// Number of gateways that share the slack of the retry budget. One that is silent or has
    /// stopped counts: it may send requests behind a partition, or has spent its share lately.
    fn count_sharing_slack(&self, now: Millis) -> Option<usize> {
        self.members.borrow().recent_fleet_size(now)
    }

    fn report_denied_retry(&self, service: &str, gateways: Option<usize>, now: Millis) {
        let denied = self.with_budget(service, |budget| budget.denial_to_report(now));
        let Some(Usage { requests, retries }) = denied else { return };
        self.event_log.state(format_args!(
            "retry budget of {service} is used up: {retries} retries for {requests} requests in its \
             window, slack shared by {} gateways, process up for {} ms",
            gateways.unwrap_or_default(),
            now.0
        ));
    }

    /// Whether this gateway's share of the budget has a retry at a service left.
    pub fn budget_has_retry(&self, service: &str) -> bool {
        let now = self.now();
        let gateways = self.count_sharing_slack(now);
        self.with_budget(service, |budget| budget.has_retry(now, gateways))
    }

    /// Records that no server of a service could accept a request.
    pub fn record_outage_began(&self, service: &str) {
        let now = self.now();
        self.with_outages(service, |outages| outages.began(now));
    }

    /// Records that a server of a service accepted a request.
    pub fn record_outage_ended(&self, service: &str) {
        let now = self.now();
        self.with_outages(service, |outages| outages.ended(now));
    }

    /// When a caller that is refused now is to retry, if no server of the service accepts requests.
    /// `deadline` is the caller's.
    pub fn outage_retry_after(&self, service: &str, deadline: Millis) -> Option<Millis> {
        if let Some(after) = self.all_unavailable_for(service) {
            return Some(after);
        }
        let (now, fraction) = (self.now(), rand::rng().random());
        self.with_outages(service, |outages| {
            outages.retry_after(now, deadline.since(now), fraction)
        })
    }

    /// Admission of streams of a service.
    pub fn admission_queue(&self, service: &str) -> Rc<AdmissionQueue> {
        self.admission_queues.with(
            service,
            || AdmissionQueue::new(self.clock),
            |admission_queue| admission_queue.clone(),
        )
    }

    /// Calls `act` with the recent beginnings of answers of a service.
    pub fn with_heads<T>(&self, service: &str, act: impl FnOnce(&mut Heads) -> T) -> T {
        self.heads.with(service, || Heads::new(overtaken::Config::default()), act)
    }

    /// Applies changed settings of the retry budget to all services.
    pub fn set_budget(&self, config: budget::Config) {
        self.budget.set(config);
        self.budgets.for_each(|budget| budget.set_config(config));
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let new = || RetryBudget::new(self.budget.get(), Millis::ZERO);
        self.budgets.with(service, new, act)
    }

    fn with_outages<T>(&self, service: &str, act: impl FnOnce(&mut Outages) -> T) -> T {
        self.outages.with(service, || Outages::new(outage::Config::default()), act)
    }
}
