//! Ledger: compares the answers that callers got with the requests that servers received and ran.
//! Input: requests, verdicts, arrivals and faults. State: all of them, and the violations found.
//! Decides whether the guarantees of the service hold outside of the faults that excuse them.

mod contact;
mod crashes;
mod totals;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;

use hooktrestle_users_standin::server::ReceivedRequest;
use hooktrestle_users_standin::server::Server;
use tokio::time::Instant;

use self::contact::Contact;
pub use crate::bounds::Bounds;
use crate::crashing::Crashing;
use crate::data_centres::DataCentreCheck;
use crate::data_centres::DataCentres;
use crate::limits::AdvertisedLimits;
use crate::limits::LimitCheck;
use crate::losses::Losses;
use crate::overload::Overload;
use crate::schedule::FaultKind;
use crate::schedule::PLANNED;

/// Faults during which notices of servers are checked: they delay no answer and no gateway.
const ALLOWED_FOR_NOTICES: [FaultKind; 23] = [
    FaultKind::HangUp,
    FaultKind::StoreBusy,
    FaultKind::StoreSilent,
    FaultKind::StoreLosesAnswers,
    FaultKind::StoreTurnsAway,
    FaultKind::StoreForgets,
    FaultKind::StoreDrill,
    FaultKind::ServerDrain,
    FaultKind::ServerCrash,
    FaultKind::ServerRefuses,
    FaultKind::ServerFails,
    FaultKind::ServerLosesAnswers,
    FaultKind::ServerAnswersTwice,
    FaultKind::ServerForges,
    FaultKind::CrashingRequest,
    FaultKind::CrashingPart,
    FaultKind::ServerUnframed,
    FaultKind::ServerAsksRest,
    FaultKind::ServerSaysItLeaves,
    FaultKind::ServerNamesLimit,
    FaultKind::ServerEndless,
    FaultKind::CallersEndless,
    FaultKind::PeersEndless,
];

/// Further faults during which limits are checked: the start or end of a gateway excuses no other.
const ALLOWED_FOR_LIMITS: [FaultKind; 4] =
    [FaultKind::Kill, FaultKind::Off, FaultKind::KillAll, FaultKind::Stop];

/// Planned operations of gateways. They learn from the store that a server leaves.
const PLANNED_AT_GATEWAYS: [FaultKind; 4] =
    [FaultKind::Stop, FaultKind::HangUp, FaultKind::PlannedSeries, FaultKind::StopAgain];

/// Time after a fault in which time-bounded guarantees are not checked: timeouts of up to 3 s
/// detect its effects.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Faults in which servers crash.
const CRASH_FAULTS: [FaultKind; 5] = [
    FaultKind::GroupTrouble,
    FaultKind::ServerCrash,
    FaultKind::ServerReturnsCold,
    FaultKind::CrashingRequest,
    FaultKind::CrashingPart,
];

/// A guarantee of the service.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Guarantee {
    /// A request that is not repeatable runs at most once.
    AtMostOnce,
    /// A request refused as not run has not run and will not run.
    NotRun,
    /// An answer is complete and belongs to the request of the caller.
    OwnAnswer,
    /// Servers receive only requests that callers sent.
    Asked,
    /// A leaving server gets no new requests.
    Drain,
    /// A server that asked a gateway for a back-off gets no requests from it meanwhile.
    Rest,
    /// All gateways together send a server no more requests than its advertised limit.
    Limit,
    /// An evacuated data centre gets no requests.
    Evacuation,
    /// All gateways together send a cold server no more requests than it takes.
    Cold,
    /// A server that announced to a gateway that it leaves gets no new requests from it.
    Parting,
    /// A configuration is in force in time, and no older one is in force after it.
    Configuration,
    /// Lists for callers do not contain gateways that have been down for long.
    Named,
    /// The disconnect of a caller reaches the server that runs its request.
    Close,
    /// Requests are answered while no fault is active, and during planned stops.
    Answered,
    /// Requests end in time then, whatever they end with.
    InTime,
    /// A process exits in time and with success after `SIGTERM`.
    Stop,
    /// Retries stay within the bound set by the operator.
    Repeats,
    /// A request runs at no more servers than its route allows.
    Attempts,
    /// Servers get no more time for a request than its caller waits.
    TimeLeft,
    /// A gateway does not close the connection of a request that a sound server has received.
    Kept,
    /// A stop ends no answer of a sound server.
    Lost,
    /// A request known to crash servers is sent to no more servers, and no other request is refused
    /// as one.
    Crashing,
    /// Sound requests are served beside those that crash servers.
    Neighbours,
    /// Urgent requests are served as often as less urgent ones while there is too little room.
    Priority,
    /// No request ends by its deadline without being sent to a server.
    Offered,
    /// All gateways serve again after the last fault.
    Recovery,
}

/// A violated guarantee.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The guarantee.
    pub guarantee: Guarantee,
    /// Time since the start of the traffic.
    pub at: Duration,
    /// What was observed.
    pub detail: String,
}

impl Display for Violation {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:.3} s {:?}: {}", self.at.as_secs_f64(), self.guarantee, self.detail)
    }
}

/// Outcome of a request as observed by its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The caller waits for the answer.
    Pending,
    /// A complete successful answer.
    Answered,
    /// Refused: it did not run and will not run.
    NotRun,
    /// Unknown: an error that guarantees nothing.
    Open,
    /// Unknown: the connection was closed before the answer was complete.
    Closed,
    /// The caller disconnected at this time.
    Left(Instant),
}

impl Verdict {
    /// Whether the caller does not know what became of its request.
    pub fn is_failure(self) -> bool {
        matches!(self, Verdict::Open | Verdict::Closed)
    }
}

/// A request as known to its caller.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When it was sent.
    pub sent_at: Instant,
    /// How long its caller waits, if that is recorded.
    pub deadline: Option<Duration>,
    /// Its outcome.
    pub verdict: Verdict,
}

/// A server whose arrivals are checked.
struct WatchedServer {
    server: Server,
    /// Number of arrivals checked so far.
    checked: usize,
    /// When it began to leave.
    leaving_since: Option<Instant>,
}

/// One process of a gateway.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct GatewayIncarnation {
    /// Index of the gateway.
    pub index: usize,
    /// Number of processes started for the gateway up to this one.
    pub incarnation: u32,
}

/// A notice of a server that a gateway received.
#[derive(Clone, Debug)]
struct Notice {
    server: String,
    gateway: GatewayIncarnation,
    at: Instant,
    /// End of the back-off; `None` if the server leaves.
    until: Option<Instant>,
}

/// All observations of a run.
pub struct Ledger {
    start: Instant,
    /// Time bounds of the guarantees.
    pub bounds: Bounds,
    requests: RefCell<HashMap<String, Request>>,
    runs: RefCell<HashMap<String, u32>>,
    servers: RefCell<Vec<WatchedServer>>,
    faults: RefCell<Vec<(FaultKind, Instant, Instant)>>,
    contacts: RefCell<HashMap<usize, Contact>>,
    violations: RefCell<Vec<Violation>>,
    /// How often each time-bounded guarantee was checked.
    check_counts: RefCell<BTreeMap<Guarantee, u32>>,
    reported_disconnects: RefCell<HashSet<String>>,
    crashing: RefCell<Crashing>,
    /// The gateway process that each request was sent to.
    gateways: RefCell<HashMap<String, GatewayIncarnation>>,
    /// Requests to gateways that had not run for long enough to have the current state.
    out_of_touch: RefCell<HashSet<String>>,
    notices: RefCell<Vec<Notice>>,
    limits: RefCell<AdvertisedLimits>,
    /// Evacuations, and servers that are cold.
    pub data_centres: RefCell<DataCentres>,
    /// Runs of requests after their first run.
    pub retries: Cell<u32>,
    /// Bursts of callers.
    pub overload: Overload,
    /// Answers that ended around stops.
    pub losses: Losses,
    /// Requests that reached a server.
    offered: RefCell<HashSet<String>>,
    /// Requests whose connection a gateway closed although a sound server had received them.
    closed: RefCell<Vec<String>>,
}

impl Ledger {
    /// Creates an empty ledger; traffic starts now.
    pub fn new(bounds: Bounds) -> Ledger {
        Ledger {
            start: Instant::now(),
            bounds,
            requests: RefCell::default(),
            runs: RefCell::default(),
            servers: RefCell::default(),
            faults: RefCell::default(),
            contacts: RefCell::default(),
            violations: RefCell::default(),
            check_counts: RefCell::default(),
            reported_disconnects: RefCell::default(),
            crashing: RefCell::default(),
            gateways: RefCell::default(),
            out_of_touch: RefCell::default(),
            notices: RefCell::default(),
            limits: RefCell::default(),
            data_centres: RefCell::default(),
            retries: Cell::new(0),
            overload: Overload::default(),
            losses: Losses::default(),
            offered: RefCell::default(),
            closed: RefCell::default(),
        }
    }

    /// Records a violation.
    pub fn report(&self, guarantee: Guarantee, detail: String) {
        let at = self.start.elapsed();
        self.violations.borrow_mut().push(Violation { guarantee, at, detail });
    }

    /// Returns all violations.
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.borrow().clone()
    }

    /// Records that a time-bounded guarantee was checked.
    pub fn record_check(&self, guarantee: Guarantee) {
        *self.check_counts.borrow_mut().entry(guarantee).or_default() += 1;
    }

    /// Returns how often each time-bounded guarantee was checked.
    pub fn check_counts(&self) -> BTreeMap<Guarantee, u32> {
        self.check_counts.borrow().clone()
    }

    /// Returns how many requests were sent, and how many were answered.
    pub fn request_counts(&self) -> (usize, usize) {
        let requests = self.requests.borrow();
        let answered = requests.values().filter(|one| one.verdict == Verdict::Answered).count();
        (requests.len(), answered)
    }

    /// Records a fault and its period.
    pub fn record_fault(&self, kind: FaultKind, from: Instant, until: Instant) {
        self.faults.borrow_mut().push((kind, from, until));
    }

    /// Whether only planned operations occurred from shortly before `from` until now.
    pub fn no_faults_since(&self, from: Instant) -> bool {
        self.no_faults_but(&PLANNED, from)
    }

    /// Whether only the store and connections to it had faults, or gateways planned operations: the
    /// requests of callers need neither.
    pub fn no_faults_but_store_since(&self, from: Instant) -> bool {
        let faults = self.faults.borrow();
        let mut others = faults.iter().filter(|(kind, ..)| {
            !kind.affects_store() && !kind.is_endless() && !PLANNED_AT_GATEWAYS.contains(kind)
        });
        others.all(|(_, _, until)| *until + SETTLE_TIME < from)
    }

    fn no_faults_but(&self, kinds: &[FaultKind], from: Instant) -> bool {
        let faults = self.faults.borrow();
        let mut others = faults.iter().filter(|(kind, ..)| !kinds.contains(kind));
        others.all(|(_, _, until)| *until + SETTLE_TIME < from)
    }

    /// Whether a server crashed within the time for which a crash may hold back requests.
    pub fn has_recent_crash(&self) -> bool {
        let now = Instant::now();
        let faults = self.faults.borrow();
        let mut crash_faults = faults.iter().filter(|(kind, ..)| CRASH_FAULTS.contains(kind));
        crash_faults.any(|(_, _, until)| *until + self.bounds.held_back > now)
    }

    /// Adds a server whose arrivals are checked.
    pub fn watch_server(&self, server: &Server) {
        let watched = WatchedServer { server: server.clone(), checked: 0, leaving_since: None };
        self.servers.borrow_mut().push(watched);
    }

    /// Records that a server leaves; called once the store shows it.
    pub fn mark_leaving(&self, id: &str) {
        let mut servers = self.servers.borrow_mut();
        if let Some(watched) = servers.iter_mut().find(|watched| watched.server.id == id) {
            watched.leaving_since = Some(Instant::now());
        }
    }

    /// Records a request that a caller sends.
    pub fn record_request(&self, id: &str, repeatable: bool) {
        let (sent_at, verdict) = (Instant::now(), Verdict::Pending);
        let request = Request { repeatable, sent_at, deadline: None, verdict };
        self.requests.borrow_mut().insert(id.to_owned(), request);
    }

    /// Records how long the caller of a request waits.
    pub fn record_deadline(&self, id: &str, deadline: Duration) {
        if let Some(request) = self.requests.borrow_mut().get_mut(id) {
            request.deadline = Some(deadline);
        }
    }

    /// Records the gateway that a request is sent to.
    pub fn record_gateway(&self, id: &str, gateway: GatewayIncarnation) {
        self.gateways.borrow_mut().insert(id.to_owned(), gateway);
    }

    /// Checks an arrival against earlier notices to its gateway, then records new notices.
    fn check_notices(&self, server: &Server, arrival: &ReceivedRequest, request: Request) {
        let Some(gateway) = self.gateways.borrow().get(arrival.id()).copied() else { return };
        let id = arrival.id();
        let is_same_pair = |one: &&Notice| one.server == server.id && one.gateway == gateway;
        let received: Vec<Notice> =
            self.notices.borrow().iter().filter(is_same_pair).cloned().collect();
        for Notice { at, until, .. } in received {
            let violated = match until {
                Some(until) if arrival.at > at + self.bounds.back_off && arrival.at < until => {
                    Guarantee::Rest
                }
                None if request.sent_at > at + self.bounds.drain => Guarantee::Parting,
                _ => continue,
            };
            if self.no_faults_but(&ALLOWED_FOR_NOTICES, at) {
                let after = arrival.at.duration_since(at);
                let detail = format!("{} was sent {id} {after:?} after its notice", server.id);
                self.report(violated, detail);
            }
        }
        // Parsed independently of the gateway code; an invalid time is no back-off.
        let back_off_s =
            arrival.requested_back_off.as_deref().and_then(|text| text.parse::<f64>().ok());
        let record = |guarantee, until| {
            if self.no_faults_but(&ALLOWED_FOR_NOTICES, arrival.at) {
                self.record_check(guarantee);
            }
            let (server, at) = (server.id.clone(), arrival.at);
            self.notices.borrow_mut().push(Notice { server, gateway, at, until });
        };
        if let Some(back_off_s) = back_off_s.filter(|back_off_s| *back_off_s > 0.0) {
            record(Guarantee::Rest, Some(arrival.at + Duration::from_secs_f64(back_off_s)));
        }
        if arrival.reported_leaving {
            record(Guarantee::Parting, None);
        }
    }

    /// Checks whether an arrival exceeds the advertised limit.
    fn check_limit(&self, server: &Server, arrival: &ReceivedRequest) {
        let Some(gateway) = self.gateways.borrow().get(arrival.id()).copied() else { return };
        let Bounds { limit, back_off, .. } = self.bounds;
        let check = self.limits.borrow_mut().check(&server.id, arrival, gateway, limit, back_off);
        let allowed = [&ALLOWED_FOR_NOTICES[..], &ALLOWED_FOR_LIMITS].concat();
        match check {
            LimitCheck::NotCounted => {}
            LimitCheck::Within => self.record_check(Guarantee::Limit),
            LimitCheck::Exceeded(began, detail) if self.no_faults_but(&allowed, began) => {
                self.report(Guarantee::Limit, detail);
            }
            LimitCheck::Exceeded(..) => {}
        }
    }

    fn check_data_centre(&self, server: &Server, arrival: &ReceivedRequest) {
        let bound = self.bounds.evacuation;
        let checks = self.data_centres.borrow_mut().check(&server.id, arrival.at, bound);
        for DataCentreCheck { guarantee, since, violation } in checks {
            if guarantee == Guarantee::Evacuation && self.excuses_evacuation(since) {
                continue;
            }
            match violation {
                None => self.record_check(guarantee),
                Some(detail) => self.report(guarantee, format!("{} at {detail}", arrival.id())),
            }
        }
    }

    /// Whether a fault excuses a gateway that has not received an evacuation which the store
    /// accepted at `since`: the store was away before all gateways had time to receive it, or a
    /// gateway was suspended since. Starts and ends of gateways are no excuse.
    fn excuses_evacuation(&self, since: Instant) -> bool {
        let applied_by = since + self.bounds.evacuation;
        let faults = self.faults.borrow();
        let mut recent = faults.iter().filter(|(.., until)| *until + SETTLE_TIME >= since);
        recent.any(|(kind, started, _)| {
            *kind == FaultKind::Pause || (kind.affects_store() && *started < applied_by)
        })
    }

    /// Records the outcome of a request.
    pub fn record_verdict(&self, id: &str, verdict: Verdict) {
        if let Some(request) = self.requests.borrow_mut().get_mut(id) {
            request.verdict = verdict;
        }
        let ran = self.runs.borrow().get(id).copied().unwrap_or_default();
        if verdict == Verdict::NotRun && ran > 0 {
            self.report(Guarantee::NotRun, format!("{id} was refused as not run, but ran"));
        }
    }

    /// Whether a request has reached a server.
    pub fn was_offered(&self, id: &str) -> bool {
        self.poll();
        self.offered.borrow().contains(id)
    }

    /// Checks what has reached servers since the last call.
    pub fn poll(&self) {
        let mut servers = self.servers.borrow_mut();
        for WatchedServer { server, checked, leaving_since } in servers.iter_mut() {
            for arrival in server.received_since(*checked) {
                // Whether it runs is not known yet.
                if arrival.is_queued {
                    break;
                }
                *checked += 1;
                self.check_arrival(server, &arrival, *leaving_since);
            }
            for arrival in server.unfinished() {
                self.check_close(server, &arrival);
            }
        }
    }

    fn check_arrival(&self, server: &Server, arrival: &ReceivedRequest, leaving: Option<Instant>) {
        let id = arrival.id();
        // A health check, or a call to the engine.
        if id.is_empty() {
            return;
        }
        let request = self.requests.borrow().get(id).copied();
        let Some(request) = request else {
            self.report(Guarantee::Asked, format!("{} got unknown request {id}", server.id));
            return;
        };
        let is_bound = self.is_bound(id, arrival.at);
        if let Some(since) = leaving.filter(|since| arrival.at > *since + self.bounds.drain)
            && (is_bound || self.no_faults_since(since))
        {
            let after = arrival.at.duration_since(since);
            self.report(Guarantee::Drain, format!("{} got {id} {after:?} after notice", server.id));
        }
        if let Verdict::Left(at) = request.verdict
            && arrival.at > at + self.bounds.close
            && self.no_faults_since(at)
        {
            self.report(
                Guarantee::Close,
                format!("{id} reached {} after its caller disconnected", server.id),
            );
        }
        self.offered.borrow_mut().insert(id.to_owned());
        self.check_crashing(server, arrival);
        self.check_notices(server, arrival, request);
        self.check_limit(server, arrival);
        self.check_data_centre(server, arrival);
        if !arrival.ran {
            return;
        }
        let runs = {
            let mut runs = self.runs.borrow_mut();
            let runs = runs.entry(id.to_owned()).or_default();
            *runs += 1;
            *runs
        };
        self.retries.set(self.retries.get() + u32::from(runs > 1));
        if runs > 1 && !request.repeatable {
            self.report(Guarantee::AtMostOnce, format!("{id} ran {runs} times"));
        }
        if request.verdict == Verdict::NotRun {
            self.report(Guarantee::NotRun, format!("{id} was refused as not run, but ran later"));
        }
    }

    fn check_close(&self, server: &Server, arrival: &ReceivedRequest) {
        let request = self.requests.borrow().get(arrival.id()).copied();
        let Some(Verdict::Left(at)) = request.map(|request| request.verdict) else { return };
        let is_due = at.elapsed() > self.bounds.close && self.no_faults_since(at);
        if is_due && self.reported_disconnects.borrow_mut().insert(arrival.id().to_owned()) {
            let detail = format!("{} still runs {} without a caller", server.id, arrival.id());
            self.report(Guarantee::Close, detail);
        }
    }
}
