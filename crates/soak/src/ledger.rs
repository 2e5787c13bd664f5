//! What was told to callers, what servers ran, and the promises between the two.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;

use hooktrestle_users_standin::server::Arrived;
use hooktrestle_users_standin::server::Server;
use tokio::time::Instant;

use crate::limits::AdvertisedLimits;
use crate::limits::LimitCheck;
use crate::schedule::FaultKind;
use crate::schedule::PLANNED;

/// Times within which what is promised comes about, while nothing else goes wrong.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// From a server's word that it leaves to the last request that reaches it.
    pub drain: Duration,
    /// From a configuration's acceptance until it is in force.
    pub configuration: Duration,
    /// From a caller's leaving until its server knows.
    pub close: Duration,
    /// From a gateway's end until callers are not given it any more.
    pub listed: Duration,
    /// From the word to stop until the process has ended.
    pub stop: Duration,
    /// Until all gateways serve after the last trouble.
    pub recovery: Duration,
    /// From the third crash under a request until all gateways know.
    pub propagation: Duration,
    /// From a crash until a request that was beginning there is held back no more.
    pub held_back: Duration,
    /// From a server's asking for rest to the last request that reaches it.
    pub back_off: Duration,
    /// From a server's first naming of a limit until it holds.
    pub limit: Duration,
}

impl Default for Bounds {
    /// The users' bounds are 2 s for drains and configurations and half a second for closes; a gateway
    /// that is silent is given out for 3 s, and for as long as news take to spread (2.4 s) by whoever
    /// heard of it last. A stop has 8 s. What crosses the word for a rest has half a second. The others are
    /// for a busy machine.
    fn default() -> Self {
        Bounds {
            drain: Duration::from_secs(3),
            configuration: Duration::from_secs(3),
            close: Duration::from_secs(1),
            listed: Duration::from_secs(7),
            stop: Duration::from_secs(9),
            recovery: Duration::from_secs(20),
            propagation: Duration::from_secs(3),
            held_back: Duration::from_secs(10),
            back_off: Duration::from_millis(500),
            limit: Duration::from_secs(3),
        }
    }
}

impl Bounds {
    /// All of them `times` as long, for machines on which little is to be had.
    pub fn scaled(factor: u32) -> Bounds {
        let Bounds { drain, configuration, close, listed, stop, recovery, .. } = Bounds::default();
        let Bounds { propagation, held_back, back_off, limit, .. } = Bounds::default();
        Bounds {
            drain: drain * factor,
            configuration: configuration * factor,
            close: close * factor,
            listed: listed * factor,
            stop: stop * factor,
            recovery: recovery * factor,
            propagation: propagation * factor,
            held_back: held_back * factor,
            back_off: back_off * factor,
            // Limits are named for some seconds: nothing would be due.
            limit: limit * factor.min(1),
        }
    }
}

/// What may go on while a request that crashes servers is judged: it does not touch gateways or what they hear.
const ALLOWED_FOR_CRASHES: [FaultKind; 4] =
    [FaultKind::HangUp, FaultKind::ServerDrain, FaultKind::ServerCrash, FaultKind::CrashingRequest];

/// What may go on while what a server asked is judged: it holds up no answer, and no gateway.
const ALLOWED_FOR_NOTICES: [FaultKind; 18] = [
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
    FaultKind::ServerAsksRest,
    FaultKind::ServerSaysItLeaves,
    FaultKind::ServerNamesLimit,
];

/// The same while limits are judged: gateways that begin or end are no excuse for the others.
const ALLOWED_FOR_LIMITS: [FaultKind; 4] =
    [FaultKind::Kill, FaultKind::Off, FaultKind::KillAll, FaultKind::Stop];

/// Time after a trouble in which time-bounded promises are not judged: what it broke is found out by
/// time-outs of up to three seconds.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Troubles in which servers crash.
const CRASH_FAULTS: [FaultKind; 2] = [FaultKind::ServerCrash, FaultKind::CrashingRequest];

/// What is promised.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Guarantee {
    /// A request that must not be repeated runs at most once.
    AtMostOnce,
    /// A refusal is true: the request did not run and never will.
    NotRun,
    /// An answer is whole and the caller's own.
    OwnAnswer,
    /// Servers run only what callers asked.
    Asked,
    /// A server that leaves gets no new work.
    Drain,
    /// A server that asked a gateway for rest gets nothing from it meanwhile.
    Rest,
    /// A server gets no more from all gateways together than it said that it takes.
    Limit,
    /// A server that told a gateway that it leaves gets no new work from it.
    Parting,
    /// A configuration is in force in time, and never an older one again.
    Configuration,
    /// Callers are not given gateways that are long off.
    Named,
    /// A caller that has left is noticed through to the server.
    Close,
    /// While nothing goes wrong, and in planned stops, requests are answered.
    Answered,
    /// A process that is told to stop ends in time, and well.
    Stop,
    /// Repeats stay within the operators' bound.
    Repeats,
    /// A request that crashes servers is sent to no more of them once that is known, and no other is taken for it.
    Crashing,
    /// All serve again after the last trouble.
    Recovery,
}

/// A promise that was not kept.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which one.
    pub guarantee: Guarantee,
    /// From the start of traffic.
    pub at: Duration,
    /// What was seen.
    pub detail: String,
}

impl Display for Violation {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:.3} s {:?}: {}", self.at.as_secs_f64(), self.guarantee, self.detail)
    }
}

/// What became of a request, as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The caller waits.
    Pending,
    /// A whole success.
    Answered,
    /// It did not run and never will.
    NotRun,
    /// A failure that promises nothing, or a connection that closed.
    Open,
    /// The caller has gone.
    Left(Instant),
}

/// A request as its caller knows it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When it was sent.
    pub sent_at: Instant,
    /// What became of it.
    pub verdict: Verdict,
}

/// A bound on repeats.
#[derive(Clone, Copy, Debug)]
pub struct RetryBound {
    /// Part of the requests.
    pub ratio: f64,
    /// Beyond that part, so many.
    pub slack: u32,
    /// In a window of this length.
    pub window: Duration,
}

/// The bound that gateways are given.
pub const RETRY_BOUND: RetryBound =
    RetryBound { ratio: 0.2, slack: 20, window: Duration::from_secs(10) };

/// A server that was there.
struct WatchedServer {
    server: Server,
    /// How much of what reached it was looked at.
    checked: usize,
    /// Since when it leaves, if it does.
    leaving_since: Option<Instant>,
}

/// One life of a gateway, by its number.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct GatewayIncarnation {
    /// The gateway.
    pub index: usize,
    /// How often it had begun.
    pub incarnation: u32,
}

/// What a server asked of a gateway.
#[derive(Clone, Debug)]
struct Notice {
    server: String,
    gateway: GatewayIncarnation,
    at: Instant,
    /// When its rest ends; `None` if it leaves.
    until: Option<Instant>,
}

/// What became of a request that crashes servers.
#[derive(Clone, Copy, Debug, Default)]
struct CrashState {
    crashes: u32,
    /// When a server crashed under it for the third time.
    threshold_at: Option<Instant>,
    /// How often it reached servers when all gateways had had time to know.
    late_arrivals: u32,
}

/// Crashes that tell, and times that it may reach servers later; the users' rule.
const CRASH_THRESHOLD: u32 = 3;
const MAX_LATE_ARRIVALS: u32 = 3;

/// Everything that was seen.
pub struct Ledger {
    start: Instant,
    /// When what is promised is due.
    pub bounds: Bounds,
    requests: RefCell<HashMap<String, Request>>,
    runs: RefCell<HashMap<String, u32>>,
    servers: RefCell<Vec<WatchedServer>>,
    faults: RefCell<Vec<(FaultKind, Instant, Instant)>>,
    violations: RefCell<Vec<Violation>>,
    /// Of the promises that depend on time, how often each was due.
    check_counts: RefCell<BTreeMap<Guarantee, u32>>,
    reported_disconnects: RefCell<HashSet<String>>,
    /// Bodies under which servers crash, with what reached servers.
    crashing: RefCell<HashMap<String, CrashState>>,
    /// The gateway that each request was sent to.
    gateways: RefCell<HashMap<String, GatewayIncarnation>>,
    notices: RefCell<Vec<Notice>>,
    limits: RefCell<AdvertisedLimits>,
    /// Requests that reached servers again after their first time.
    pub retries: Cell<u32>,
}

impl Ledger {
    /// An empty one; traffic starts now.
    pub fn new(bounds: Bounds) -> Ledger {
        Ledger {
            start: Instant::now(),
            bounds,
            requests: RefCell::default(),
            runs: RefCell::default(),
            servers: RefCell::default(),
            faults: RefCell::default(),
            violations: RefCell::default(),
            check_counts: RefCell::default(),
            reported_disconnects: RefCell::default(),
            crashing: RefCell::default(),
            gateways: RefCell::default(),
            notices: RefCell::default(),
            limits: RefCell::default(),
            retries: Cell::new(0),
        }
    }

    /// A promise was not kept.
    pub fn report(&self, guarantee: Guarantee, detail: String) {
        let at = self.start.elapsed();
        self.violations.borrow_mut().push(Violation { guarantee, at, detail });
    }

    /// All that was not kept.
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.borrow().clone()
    }

    /// A promise that depends on time was due.
    pub fn record_check(&self, guarantee: Guarantee) {
        *self.check_counts.borrow_mut().entry(guarantee).or_default() += 1;
    }

    /// How often each promise that depends on time was due.
    pub fn check_counts(&self) -> BTreeMap<Guarantee, u32> {
        self.check_counts.borrow().clone()
    }

    /// How many requests were sent, and how many were answered.
    pub fn request_counts(&self) -> (usize, usize) {
        let requests = self.requests.borrow();
        let answered = requests.values().filter(|one| one.verdict == Verdict::Answered).count();
        (requests.len(), answered)
    }

    /// A trouble goes on until a moment.
    pub fn record_fault(&self, kind: FaultKind, from: Instant, until: Instant) {
        self.faults.borrow_mut().push((kind, from, until));
    }

    /// Whether nothing but planned work went on from a moment to now, and had for a while before.
    pub fn no_faults_since(&self, from: Instant) -> bool {
        self.no_faults_but(&PLANNED, from)
    }

    /// The same for what the store took at a moment: that it loses what all have heard is no excuse, nor is a drill that
    /// was over before, once all have got over it.
    pub fn no_faults_but_drills_since(&self, from: Instant) -> bool {
        let (now, applied_by) = (Instant::now(), from + self.bounds.configuration);
        let faults = self.faults.borrow();
        let excludes = |(kind, started, until): &(FaultKind, Instant, Instant)| match kind {
            FaultKind::StoreDrill if *until < from => *until + SETTLE_TIME >= now,
            FaultKind::StoreDrill => *started < applied_by,
            kind => !PLANNED.contains(kind) && *until + SETTLE_TIME >= from,
        };
        !faults.iter().any(excludes)
    }

    fn no_faults_but(&self, kinds: &[FaultKind], from: Instant) -> bool {
        let faults = self.faults.borrow();
        let mut others = faults.iter().filter(|(kind, ..)| !kinds.contains(kind));
        others.all(|(_, _, until)| *until + SETTLE_TIME < from)
    }

    /// Whether a server crashed in the time for which requests may be held back for that.
    pub fn has_recent_crash(&self) -> bool {
        let now = Instant::now();
        let faults = self.faults.borrow();
        let mut crash_faults = faults.iter().filter(|(kind, ..)| CRASH_FAULTS.contains(kind));
        crash_faults.any(|(_, _, until)| *until + self.bounds.held_back > now)
    }

    /// Servers crash under requests with this body.
    pub fn add_crashing_body(&self, body: &str) {
        self.crashing.borrow_mut().insert(body.to_owned(), CrashState::default());
    }

    fn check_crashing(&self, server: &Server, arrived: &Arrived) {
        let quiet = self.no_faults_but(&ALLOWED_FOR_CRASHES, arrived.at - self.bounds.propagation);
        let mut crashing = self.crashing.borrow_mut();
        let Some(state) = crashing.get_mut(&arrived.body) else { return };
        state.crashes += u32::from(arrived.ran);
        if state.crashes >= CRASH_THRESHOLD && state.threshold_at.is_none() {
            state.threshold_at = Some(arrived.at);
            drop(crashing);
            self.record_check(Guarantee::Crashing);
            return;
        }
        let known = state.threshold_at.is_some_and(|at| arrived.at > at + self.bounds.propagation);
        state.late_arrivals += u32::from(known && quiet);
        if known && quiet && state.late_arrivals > MAX_LATE_ARRIVALS {
            let detail =
                format!("{} was sent {}, {} ended in all", server.id, arrived.body, state.crashes);
            drop(crashing);
            self.report(Guarantee::Crashing, detail);
        }
    }

    /// A server has come.
    pub fn watch_server(&self, server: &Server) {
        let watched = WatchedServer { server: server.clone(), checked: 0, leaving_since: None };
        self.servers.borrow_mut().push(watched);
    }

    /// A server has said that it leaves, and the store has taken that.
    pub fn mark_leaving(&self, id: &str) {
        let mut servers = self.servers.borrow_mut();
        if let Some(watched) = servers.iter_mut().find(|watched| watched.server.id == id) {
            watched.leaving_since = Some(Instant::now());
        }
    }

    /// A caller sends a request.
    pub fn record_request(&self, id: &str, repeatable: bool) {
        let request = Request { repeatable, sent_at: Instant::now(), verdict: Verdict::Pending };
        self.requests.borrow_mut().insert(id.to_owned(), request);
    }

    /// It is sent to this gateway.
    pub fn record_gateway(&self, id: &str, gateway: GatewayIncarnation) {
        self.gateways.borrow_mut().insert(id.to_owned(), gateway);
    }

    /// Judges whether a server had asked the gateway not to send a request, then keeps what it asks now.
    fn check_notices(&self, server: &Server, arrived: &Arrived, request: Request) {
        let Some(gateway) = self.gateways.borrow().get(arrived.id()).copied() else { return };
        let id = arrived.id();
        let is_same_pair = |one: &&Notice| one.server == server.id && one.gateway == gateway;
        let received: Vec<Notice> =
            self.notices.borrow().iter().filter(is_same_pair).cloned().collect();
        for Notice { at, until, .. } in received {
            let violated = match until {
                Some(until) if arrived.at > at + self.bounds.back_off && arrived.at < until => {
                    Guarantee::Rest
                }
                None if request.sent_at > at + self.bounds.drain => Guarantee::Parting,
                _ => continue,
            };
            if self.no_faults_but(&ALLOWED_FOR_NOTICES, at) {
                let after = arrived.at.duration_since(at);
                let detail = format!("{} was sent {id} {after:?} after it had asked", server.id);
                self.report(violated, detail);
            }
        }
        // Read apart from the product; what is no time is no rest.
        let back_off_s = arrived.asked_rest.as_deref().and_then(|text| text.parse::<f64>().ok());
        let record = |guarantee, until| {
            if self.no_faults_but(&ALLOWED_FOR_NOTICES, arrived.at) {
                self.record_check(guarantee);
            }
            let (server, at) = (server.id.clone(), arrived.at);
            self.notices.borrow_mut().push(Notice { server, gateway, at, until });
        };
        if let Some(back_off_s) = back_off_s.filter(|back_off_s| *back_off_s > 0.0) {
            record(Guarantee::Rest, Some(arrived.at + Duration::from_secs_f64(back_off_s)));
        }
        if arrived.told_leaving {
            record(Guarantee::Parting, None);
        }
    }

    /// Judges whether a server got more than it takes.
    fn check_limit(&self, server: &Server, arrived: &Arrived) {
        let Some(gateway) = self.gateways.borrow().get(arrived.id()).copied() else { return };
        let Bounds { limit, back_off, .. } = self.bounds;
        let check = self.limits.borrow_mut().check(&server.id, arrived, gateway, limit, back_off);
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

    /// What became of it.
    pub fn record_verdict(&self, id: &str, verdict: Verdict) {
        if let Some(request) = self.requests.borrow_mut().get_mut(id) {
            request.verdict = verdict;
        }
        let ran = self.runs.borrow().get(id).copied().unwrap_or_default();
        if verdict == Verdict::NotRun && ran > 0 {
            self.report(Guarantee::NotRun, format!("{id} was refused as not run, and ran"));
        }
    }

    /// Looks at what has reached servers since the last look.
    pub fn poll(&self) {
        let mut servers = self.servers.borrow_mut();
        for WatchedServer { server, checked, leaving_since } in servers.iter_mut() {
            for arrived in server.arrived_since(*checked) {
                *checked += 1;
                self.check_arrival(server, &arrived, *leaving_since);
            }
            for arrived in server.unended() {
                self.check_close(server, &arrived);
            }
        }
    }

    fn check_arrival(&self, server: &Server, arrived: &Arrived, leaving_since: Option<Instant>) {
        let id = arrived.id();
        // A look at its health, or at its engine.
        if id.is_empty() {
            return;
        }
        let request = self.requests.borrow().get(id).copied();
        let Some(request) = request else {
            self.report(Guarantee::Asked, format!("{} got unknown request {id}", server.id));
            return;
        };
        if let Some(since) = leaving_since.filter(|since| arrived.at > *since + self.bounds.drain)
            && self.no_faults_since(since)
        {
            let late = arrived.at.duration_since(since);
            self.report(Guarantee::Drain, format!("{} was sent {id} {late:?} after", server.id));
        }
        if let Verdict::Left(at) = request.verdict
            && arrived.at > at + self.bounds.close
            && self.no_faults_since(at)
        {
            self.report(
                Guarantee::Close,
                format!("{id} reached {} after its caller left", server.id),
            );
        }
        self.check_crashing(server, arrived);
        self.check_notices(server, arrived, request);
        self.check_limit(server, arrived);
        if !arrived.ran {
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
            self.report(Guarantee::NotRun, format!("{id} was refused as not run, and ran later"));
        }
    }

    fn check_close(&self, server: &Server, arrived: &Arrived) {
        let request = self.requests.borrow().get(arrived.id()).copied();
        let Some(Verdict::Left(at)) = request.map(|request| request.verdict) else { return };
        let is_due = at.elapsed() > self.bounds.close && self.no_faults_since(at);
        if is_due && self.reported_disconnects.borrow_mut().insert(arrived.id().to_owned()) {
            let detail = format!("{} still runs {}, whose caller left", server.id, arrived.id());
            self.report(Guarantee::Close, detail);
        }
    }

    /// Looks at repeats in every window, once all is over.
    pub fn check_retries(&self) {
        let RetryBound { ratio, slack, window } = RETRY_BOUND;
        let mut sent: Vec<Instant> =
            self.requests.borrow().values().map(|request| request.sent_at).collect();
        sent.sort();
        let mut arrived: Vec<(Instant, String)> = self
            .servers
            .borrow()
            .iter()
            .flat_map(|watched| watched.server.arrived())
            .filter(|one| !one.id().is_empty())
            .map(|one| (one.at, one.id().to_owned()))
            .collect();
        arrived.sort();
        let mut seen = HashSet::new();
        let retried: Vec<Instant> =
            arrived.into_iter().filter_map(|(at, id)| (!seen.insert(id)).then_some(at)).collect();
        let within = |times: &[Instant], from: Instant, to: Instant| {
            times.partition_point(|at| *at <= to) - times.partition_point(|at| *at <= from)
        };
        for end in &retried {
            let Some(from) = end.checked_sub(window) else { continue };
            let before = from.checked_sub(window).unwrap_or(from);
            let requests = within(&sent, from, *end).max(within(&sent, before, from));
            let retries = within(&retried, from, *end);
            if retries as f64 > ratio * requests as f64 + f64::from(slack) {
                let detail = format!("{retries} retries of {requests} requests in a window");
                self.report(Guarantee::Repeats, detail);
                return;
            }
        }
    }
}
