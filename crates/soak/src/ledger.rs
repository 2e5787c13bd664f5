//! What was told to callers, what servers ran, and the promises between the two.

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

use crate::limits::Count;
use crate::limits::Limits;
use crate::schedule::Kind;
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
    pub named: Duration,
    /// From the word to stop until the process has ended.
    pub stop: Duration,
    /// Until all gateways serve after the last trouble.
    pub recovery: Duration,
    /// From the third crash under a request until all gateways know.
    pub contact: Duration,
    /// From a crash until a request that was beginning there is held back no more.
    pub held_back: Duration,
    /// From a server's asking for rest to the last request that reaches it.
    pub rest: Duration,
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
            named: Duration::from_secs(7),
            stop: Duration::from_secs(9),
            recovery: Duration::from_secs(20),
            contact: Duration::from_secs(3),
            held_back: Duration::from_secs(10),
            rest: Duration::from_millis(500),
            limit: Duration::from_secs(3),
        }
    }
}

impl Bounds {
    /// All of them `times` as long, for machines on which little is to be had.
    pub fn stretched(times: u32) -> Bounds {
        let Bounds { drain, configuration, close, named, stop, recovery, .. } = Bounds::default();
        let Bounds { contact, held_back, rest, limit, .. } = Bounds::default();
        Bounds {
            drain: drain * times,
            configuration: configuration * times,
            close: close * times,
            named: named * times,
            stop: stop * times,
            recovery: recovery * times,
            contact: contact * times,
            held_back: held_back * times,
            rest: rest * times,
            // Limits are named for some seconds: nothing would be due.
            limit: limit * times.min(1),
        }
    }
}

/// What may go on while a request that crashes servers is judged: it does not touch gateways or what they hear.
const MAY_GO_ON: [Kind; 4] =
    [Kind::HangUp, Kind::ServerDrain, Kind::ServerCrash, Kind::CrashingRequest];

/// What may go on while what a server asked is judged: it holds up no answer, and no gateway.
const MAY_GO_ON_ASKED: [Kind; 18] = [
    Kind::HangUp,
    Kind::StoreBusy,
    Kind::StoreSilent,
    Kind::StoreLosesAnswers,
    Kind::StoreTurnsAway,
    Kind::StoreForgets,
    Kind::StoreDrill,
    Kind::ServerDrain,
    Kind::ServerCrash,
    Kind::ServerRefuses,
    Kind::ServerFails,
    Kind::ServerLosesAnswers,
    Kind::ServerAnswersTwice,
    Kind::ServerForges,
    Kind::CrashingRequest,
    Kind::ServerAsksRest,
    Kind::ServerSaysItLeaves,
    Kind::ServerNamesLimit,
];

/// The same while limits are judged: gateways that begin or end are no excuse for the others.
const MAY_GO_ON_LIMITED: [Kind; 4] = [Kind::Kill, Kind::Off, Kind::KillAll, Kind::Stop];

/// Time after a trouble in which time-bounded promises are not judged: what it broke is found out by
/// time-outs of up to three seconds.
const SETTLE: Duration = Duration::from_secs(4);

/// Troubles in which servers crash.
const CRASHES: [Kind; 2] = [Kind::ServerCrash, Kind::CrashingRequest];

/// What is promised.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Promise {
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
pub struct Broken {
    /// Which one.
    pub promise: Promise,
    /// From the start of traffic.
    pub at: Duration,
    /// What was seen.
    pub what: String,
}

impl Display for Broken {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:.3} s {:?}: {}", self.at.as_secs_f64(), self.promise, self.what)
    }
}

/// What became of a request, as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The caller waits.
    Waits,
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
pub struct RepeatBound {
    /// Part of the requests.
    pub ratio: f64,
    /// Beyond that part, so many.
    pub slack: u32,
    /// In a window of this length.
    pub window: Duration,
}

/// The bound that gateways are given.
pub const REPEATS: RepeatBound =
    RepeatBound { ratio: 0.2, slack: 20, window: Duration::from_secs(10) };

/// A server that was there.
struct Watched {
    server: Server,
    /// How much of what reached it was looked at.
    seen: usize,
    /// Since when it leaves, if it does.
    leaving: Option<Instant>,
}

/// One life of a gateway, by its number.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Through {
    /// The gateway.
    pub gateway: usize,
    /// How often it had begun.
    pub life: u32,
}

/// What a server asked of a gateway.
#[derive(Clone, Debug)]
struct AskedOf {
    server: String,
    through: Through,
    at: Instant,
    /// When its rest ends; `None` if it leaves.
    until: Option<Instant>,
}

/// What became of a request that crashes servers.
#[derive(Clone, Copy, Debug, Default)]
struct Crashing {
    crashed: u32,
    /// When a server crashed under it for the third time.
    told_at: Option<Instant>,
    /// How often it reached servers when all gateways had had time to know.
    late: u32,
}

/// Crashes that tell, and times that it may reach servers later; the users' rule.
const TELLING: u32 = 3;
const MOST_LATE: u32 = 3;

/// Everything that was seen.
pub struct Ledger {
    start: Instant,
    /// When what is promised is due.
    pub bounds: Bounds,
    requests: RefCell<HashMap<String, Request>>,
    runs: RefCell<HashMap<String, u32>>,
    servers: RefCell<Vec<Watched>>,
    troubles: RefCell<Vec<(Kind, Instant, Instant)>>,
    broken: RefCell<Vec<Broken>>,
    /// Of the promises that depend on time, how often each was due.
    judged: RefCell<BTreeMap<Promise, u32>>,
    noticed: RefCell<HashSet<String>>,
    /// Bodies under which servers crash, with what reached servers.
    crashing: RefCell<HashMap<String, Crashing>>,
    /// The gateway that each request was sent to.
    through: RefCell<HashMap<String, Through>>,
    asked: RefCell<Vec<AskedOf>>,
    limits: RefCell<Limits>,
    /// Requests that reached servers again after their first time.
    pub repeats: Cell<u32>,
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
            troubles: RefCell::default(),
            broken: RefCell::default(),
            judged: RefCell::default(),
            noticed: RefCell::default(),
            crashing: RefCell::default(),
            through: RefCell::default(),
            asked: RefCell::default(),
            limits: RefCell::default(),
            repeats: Cell::new(0),
        }
    }

    /// A promise was not kept.
    pub fn broken(&self, promise: Promise, what: String) {
        let at = self.start.elapsed();
        self.broken.borrow_mut().push(Broken { promise, at, what });
    }

    /// All that was not kept.
    pub fn findings(&self) -> Vec<Broken> {
        self.broken.borrow().clone()
    }

    /// A promise that depends on time was due.
    pub fn judge(&self, promise: Promise) {
        *self.judged.borrow_mut().entry(promise).or_default() += 1;
    }

    /// How often each promise that depends on time was due.
    pub fn judged(&self) -> BTreeMap<Promise, u32> {
        self.judged.borrow().clone()
    }

    /// How many requests were sent, and how many were answered.
    pub fn served(&self) -> (usize, usize) {
        let requests = self.requests.borrow();
        let answered = requests.values().filter(|one| one.verdict == Verdict::Answered).count();
        (requests.len(), answered)
    }

    /// A trouble goes on until a moment.
    pub fn trouble(&self, kind: Kind, from: Instant, until: Instant) {
        self.troubles.borrow_mut().push((kind, from, until));
    }

    /// Whether nothing but planned work went on from a moment to now, and had for a while before.
    pub fn is_calm_since(&self, from: Instant) -> bool {
        self.is_calm_but_for(&PLANNED, from)
    }

    /// The same for what the store took at a moment: that it loses what all have heard is no excuse, nor is a drill that
    /// was over before, once all have got over it.
    pub fn is_calm_but_for_drills_since(&self, from: Instant) -> bool {
        let (now, heard) = (Instant::now(), from + self.bounds.configuration);
        let troubles = self.troubles.borrow();
        let excuses = |(kind, begun, until): &(Kind, Instant, Instant)| match kind {
            Kind::StoreDrill if *until < from => *until + SETTLE >= now,
            Kind::StoreDrill => *begun < heard,
            kind => !PLANNED.contains(kind) && *until + SETTLE >= from,
        };
        !troubles.iter().any(excuses)
    }

    fn is_calm_but_for(&self, kinds: &[Kind], from: Instant) -> bool {
        let troubles = self.troubles.borrow();
        let mut others = troubles.iter().filter(|(kind, ..)| !kinds.contains(kind));
        others.all(|(_, _, until)| *until + SETTLE < from)
    }

    /// Whether a server crashed in the time for which requests may be held back for that.
    pub fn has_crashed_lately(&self) -> bool {
        let now = Instant::now();
        let troubles = self.troubles.borrow();
        let mut crashes = troubles.iter().filter(|(kind, ..)| CRASHES.contains(kind));
        crashes.any(|(_, _, until)| *until + self.bounds.held_back > now)
    }

    /// Servers crash under requests with this body.
    pub fn crashes_under(&self, body: &str) {
        self.crashing.borrow_mut().insert(body.to_owned(), Crashing::default());
    }

    fn judge_crashing(&self, server: &Server, received: &ReceivedRequest) {
        let calm = self.is_calm_but_for(&MAY_GO_ON, received.at - self.bounds.contact);
        let mut crashing = self.crashing.borrow_mut();
        let Some(seen) = crashing.get_mut(&received.body) else { return };
        seen.crashed += u32::from(received.ran);
        if seen.crashed >= TELLING && seen.told_at.is_none() {
            seen.told_at = Some(received.at);
            drop(crashing);
            self.judge(Promise::Crashing);
            return;
        }
        let known = seen.told_at.is_some_and(|at| received.at > at + self.bounds.contact);
        seen.late += u32::from(known && calm);
        if known && calm && seen.late > MOST_LATE {
            let what =
                format!("{} was sent {}, {} ended in all", server.id, received.body, seen.crashed);
            drop(crashing);
            self.broken(Promise::Crashing, what);
        }
    }

    /// A server has come.
    pub fn serve(&self, server: &Server) {
        let watched = Watched { server: server.clone(), seen: 0, leaving: None };
        self.servers.borrow_mut().push(watched);
    }

    /// A server has said that it leaves, and the store has taken that.
    pub fn leaves(&self, id: &str) {
        let mut servers = self.servers.borrow_mut();
        if let Some(watched) = servers.iter_mut().find(|watched| watched.server.id == id) {
            watched.leaving = Some(Instant::now());
        }
    }

    /// A caller sends a request.
    pub fn send(&self, id: &str, repeatable: bool) {
        let request = Request { repeatable, sent_at: Instant::now(), verdict: Verdict::Waits };
        self.requests.borrow_mut().insert(id.to_owned(), request);
    }

    /// It is sent to this gateway.
    pub fn goes_through(&self, id: &str, through: Through) {
        self.through.borrow_mut().insert(id.to_owned(), through);
    }

    /// Judges whether a server had asked the gateway not to send a request, then keeps what it asks now.
    fn judge_asked(&self, server: &Server, received: &ReceivedRequest, request: Request) {
        let Some(through) = self.through.borrow().get(received.id()).copied() else { return };
        let id = received.id();
        let of_both = |one: &&AskedOf| one.server == server.id && one.through == through;
        let asked: Vec<AskedOf> = self.asked.borrow().iter().filter(of_both).cloned().collect();
        for AskedOf { at, until, .. } in asked {
            let broken = match until {
                Some(until) if received.at > at + self.bounds.rest && received.at < until => {
                    Promise::Rest
                }
                None if request.sent_at > at + self.bounds.drain => Promise::Parting,
                _ => continue,
            };
            if self.is_calm_but_for(&MAY_GO_ON_ASKED, at) {
                let after = received.at.duration_since(at);
                let what = format!("{} was sent {id} {after:?} after it had asked", server.id);
                self.broken(broken, what);
            }
        }
        // Read apart from the product; what is no time is no rest.
        let rest_s =
            received.requested_back_off.as_deref().and_then(|text| text.parse::<f64>().ok());
        let asks = |promise, until| {
            if self.is_calm_but_for(&MAY_GO_ON_ASKED, received.at) {
                self.judge(promise);
            }
            let (server, at) = (server.id.clone(), received.at);
            self.asked.borrow_mut().push(AskedOf { server, through, at, until });
        };
        if let Some(rest_s) = rest_s.filter(|rest_s| *rest_s > 0.0) {
            asks(Promise::Rest, Some(received.at + Duration::from_secs_f64(rest_s)));
        }
        if received.reported_leaving {
            asks(Promise::Parting, None);
        }
    }

    /// Judges whether a server got more than it takes.
    fn judge_limit(&self, server: &Server, received: &ReceivedRequest) {
        let Some(through) = self.through.borrow().get(received.id()).copied() else { return };
        let Bounds { limit, rest, .. } = self.bounds;
        let count = self.limits.borrow_mut().count(&server.id, received, through, limit, rest);
        let may_go_on = [&MAY_GO_ON_ASKED[..], &MAY_GO_ON_LIMITED].concat();
        match count {
            Count::Not => {}
            Count::Within => self.judge(Promise::Limit),
            Count::TooMany(began, what) if self.is_calm_but_for(&may_go_on, began) => {
                self.broken(Promise::Limit, what);
            }
            Count::TooMany(..) => {}
        }
    }

    /// What became of it.
    pub fn end(&self, id: &str, verdict: Verdict) {
        if let Some(request) = self.requests.borrow_mut().get_mut(id) {
            request.verdict = verdict;
        }
        let ran = self.runs.borrow().get(id).copied().unwrap_or_default();
        if verdict == Verdict::NotRun && ran > 0 {
            self.broken(Promise::NotRun, format!("{id} was refused as not run, and ran"));
        }
    }

    /// Looks at what has reached servers since the last look.
    pub fn look(&self) {
        let mut servers = self.servers.borrow_mut();
        for Watched { server, seen, leaving } in servers.iter_mut() {
            for received in server.received_since(*seen) {
                *seen += 1;
                self.judge_arrival(server, &received, *leaving);
            }
            for received in server.unfinished() {
                self.judge_close(server, &received);
            }
        }
    }

    fn judge_arrival(&self, server: &Server, received: &ReceivedRequest, leaving: Option<Instant>) {
        let id = received.id();
        // A look at its health, or at its engine.
        if id.is_empty() {
            return;
        }
        let request = self.requests.borrow().get(id).copied();
        let Some(request) = request else {
            self.broken(Promise::Asked, format!("{} was sent {id}, which nobody asked", server.id));
            return;
        };
        if let Some(since) = leaving.filter(|since| received.at > *since + self.bounds.drain)
            && self.is_calm_since(since)
        {
            let late = received.at.duration_since(since);
            self.broken(Promise::Drain, format!("{} was sent {id} {late:?} after", server.id));
        }
        if let Verdict::Left(at) = request.verdict
            && received.at > at + self.bounds.close
            && self.is_calm_since(at)
        {
            self.broken(
                Promise::Close,
                format!("{id} reached {} after its caller left", server.id),
            );
        }
        self.judge_crashing(server, received);
        self.judge_asked(server, received, request);
        self.judge_limit(server, received);
        if !received.ran {
            return;
        }
        let runs = {
            let mut runs = self.runs.borrow_mut();
            let runs = runs.entry(id.to_owned()).or_default();
            *runs += 1;
            *runs
        };
        self.repeats.set(self.repeats.get() + u32::from(runs > 1));
        if runs > 1 && !request.repeatable {
            self.broken(Promise::AtMostOnce, format!("{id} ran {runs} times"));
        }
        if request.verdict == Verdict::NotRun {
            self.broken(Promise::NotRun, format!("{id} was refused as not run, and ran later"));
        }
    }

    fn judge_close(&self, server: &Server, received: &ReceivedRequest) {
        let request = self.requests.borrow().get(received.id()).copied();
        let Some(Verdict::Left(at)) = request.map(|request| request.verdict) else { return };
        let is_due = at.elapsed() > self.bounds.close && self.is_calm_since(at);
        if is_due && self.noticed.borrow_mut().insert(received.id().to_owned()) {
            let what = format!("{} still runs {}, whose caller left", server.id, received.id());
            self.broken(Promise::Close, what);
        }
    }

    /// Looks at repeats in every window, once all is over.
    pub fn judge_repeats(&self) {
        let RepeatBound { ratio, slack, window } = REPEATS;
        let mut sent: Vec<Instant> =
            self.requests.borrow().values().map(|request| request.sent_at).collect();
        sent.sort();
        let mut received: Vec<(Instant, String)> = self
            .servers
            .borrow()
            .iter()
            .flat_map(|watched| watched.server.received())
            .filter(|one| !one.id().is_empty())
            .map(|one| (one.at, one.id().to_owned()))
            .collect();
        received.sort();
        let mut known = HashSet::new();
        let repeated: Vec<Instant> =
            received.into_iter().filter_map(|(at, id)| (!known.insert(id)).then_some(at)).collect();
        let within = |times: &[Instant], from: Instant, to: Instant| {
            times.partition_point(|at| *at <= to) - times.partition_point(|at| *at <= from)
        };
        for end in &repeated {
            let Some(from) = end.checked_sub(window) else { continue };
            let before = from.checked_sub(window).unwrap_or(from);
            let requests = within(&sent, from, *end).max(within(&sent, before, from));
            let repeats = within(&repeated, from, *end);
            if repeats as f64 > ratio * requests as f64 + f64::from(slack) {
                let what = format!("{repeats} repeats of {requests} requests in a window");
                self.broken(Promise::Repeats, what);
                return;
            }
        }
    }
}
