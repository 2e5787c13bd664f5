//! What a sidecar does with requests: queues, starts, refuses, and remembers what ran.
//!
//! This is the one place that can say that a request did not run, so every request is in exactly
//! one state here, and it is `Running` from before the first byte goes to the backend server.
//!
//! A gateway that lost its link asks again over a new one. Each link carries an epoch that grows;
//! once a newer link has said hello, whatever the older one still delivers is dropped. So a
//! request that is unknown when asked about can never arrive later, and `not-run` stays true
//! without a tombstone for every question.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use hooktrestle_schema::Cause;
use hooktrestle_schema::Ticket;
use hooktrestle_schema::Verdict;

use crate::clock::Millis;
use crate::direct::advertised_limit::AdvertisedLimit;
use crate::direct::advertised_limit::LimitAdvertisement;
use crate::direct::permits::TokenBucket;
use crate::direct::server_notices::ServerNotices;
use crate::fair_queue::Entry;
use crate::fair_queue::FairQueue;
use crate::fair_queue::FlowId;
use crate::id::RequestId;
use crate::ticket_memory;
use crate::ticket_memory::TicketMemory;
use crate::util::arena::Arena;
use crate::util::arena::Key;
use crate::verdict::Refusal;

/// Records of finished requests kept for one gateway that does not acknowledge them.
const MOST_FINISHED_RECORDS: usize = 4_096;

/// Weight of the newest run in the mean time that a run takes.
const RUN_TIME_SMOOTHING: f64 = 0.1;

/// Assumed time of a run before any has finished.
const FIRST_RUN_TIME_MS: f64 = 1_000.0;

/// Limits of a [`Dispatcher`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Requests that may run at once.
    pub max_running: usize,
    /// Requests that may wait.
    pub max_queued: usize,
    /// Bounds of the ticket memory.
    pub tickets: ticket_memory::Config,
    /// How long an unlinked gateway's records are kept.
    pub gateway_retention: Millis,
}

/// One incarnation of a gateway.
#[derive(Debug)]
pub struct Gateway {
    /// Of its newest link.
    epoch: u64,
    linked: bool,
    unlinked_at: Millis,
    /// Requests up to this number may have been forgotten.
    floor: Option<u64>,
    records: BTreeMap<RequestId, State>,
    finished: usize,
}

/// An open link from a gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Link {
    gateway: Key<Gateway>,
    epoch: u64,
}

/// A request at this sidecar.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunKey {
    /// Gateway that sent it.
    pub gateway: Key<Gateway>,
    /// Its number there.
    pub id: RequestId,
}

/// What a gateway asks to have run.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The account's place in the fair queue.
    pub flow: FlowId,
    /// The account's share.
    pub weight: u32,
    /// Estimated tokens.
    pub cost_tokens: u32,
    /// 0 to 9; the higher goes first.
    pub priority: u8,
    /// Time left to it.
    pub deadline_in: Millis,
    /// For a request that is not repeatable.
    pub ticket: Option<Ticket>,
}

#[derive(Clone, Debug)]
enum State {
    Queued { deadline: Millis, ticket: Option<Ticket> },
    Running { since: Millis, cost_tokens: u32 },
    Finished,
}

/// Answer to a gateway's hello.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkOutcome {
    /// The link is open; these runs of its older link have nobody to answer and are to be aborted.
    Open(Link, Vec<RunKey>),
    /// A newer link of the same incarnation is open already.
    Stale,
}

/// What to do with a request that arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// It waits; [`Dispatcher::next`] says when it starts.
    Queued(RunKey),
    /// Say so to the gateway. `spent`: its ticket can never run any more.
    Refuse {
        /// Verdict, cause, when to come back.
        refusal: Refusal,
        /// Whether its ticket can never run any more.
        spent: bool,
    },
    /// It came over an outdated link, or a second time: ignore it.
    Drop,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Hand the request to the backend server; it counts as running from now on.
    Start(RunKey),
    /// Refuse a request that waited too long.
    Expire(RunKey),
    /// Nothing until a new event, or this moment.
    Idle(Millis),
}

/// What to do when the caller of a request has gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelOutcome {
    /// It waited and never will run.
    Removed(RunKey),
    /// It runs: abort it at the backend server.
    Abort(RunKey),
    /// Nothing to do.
    Unknown,
}

/// The state of one sidecar's requests.
#[derive(Debug)]
pub struct Dispatcher {
    config: Config,
    gateways: Arena<Gateway>,
    by_name: HashMap<(u64, u64), Key<Gateway>>,
    queue: FairQueue<RunKey>,
    deadlines: BTreeSet<(Millis, RunKey)>,
    running: usize,
    running_tokens: u64,
    mean_run_ms: f64,
    tickets: TicketMemory,
    leaving: bool,
    /// What the backend server asked.
    server_back_off: ServerNotices,
    /// How many requests a second it takes: all that reach it come through here.
    advertised_limit: AdvertisedLimit,
    permits: TokenBucket,
}

impl Dispatcher {
    /// A dispatcher that remembers nothing, as `incarnation`.
    pub fn new(config: Config, incarnation: u64) -> Dispatcher {
        Dispatcher {
            config,
            gateways: Arena::default(),
            by_name: HashMap::new(),
            queue: FairQueue::default(),
            deadlines: BTreeSet::new(),
            running: 0,
            running_tokens: 0,
            mean_run_ms: FIRST_RUN_TIME_MS,
            tickets: TicketMemory::new(config.tickets, incarnation),
            leaving: false,
            server_back_off: ServerNotices::default(),
            advertised_limit: AdvertisedLimit::default(),
            permits: TokenBucket::with_level(0.0, Millis::ZERO),
        }
    }

    /// Changes the limits. What runs or waits beyond them stays.
    pub fn set_limits(&mut self, max_running: usize, max_queued: usize) {
        self.config.max_running = max_running;
        self.config.max_queued = max_queued;
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Estimated tokens of the requests that run.
    pub fn running_tokens(&self) -> u64 {
        self.running_tokens
    }

    /// Whether new requests are refused because the instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Opens a link for a gateway's incarnation.
    pub fn link(&mut self, now: Millis, name: u64, incarnation: u64, epoch: u64) -> LinkOutcome {
        let key = match self.by_name.get(&(name, incarnation)) {
            Some(key) => *key,
            None => self.add_gateway(name, incarnation),
        };
        let newest = &self.gateways[key];
        if newest.epoch > epoch || (newest.linked && newest.epoch == epoch) {
            return LinkOutcome::Stale;
        }
        let aborted = self.abandon(now, key);
        let gateway = &mut self.gateways[key];
        gateway.epoch = epoch;
        gateway.linked = true;
        LinkOutcome::Open(Link { gateway: key, epoch }, aborted)
    }

    /// A link has closed: nobody is left to answer over it. Returns the runs to abort.
    pub fn unlink(&mut self, now: Millis, link: Link) -> Vec<RunKey> {
        if !self.is_current(link) {
            return Vec::new();
        }
        let gateway = &mut self.gateways[link.gateway];
        gateway.linked = false;
        gateway.unlinked_at = now;
        self.abandon(now, link.gateway)
    }

    /// Takes a request in, or says why not.
    pub fn request(
        &mut self,
        now: Millis,
        link: Link,
        id: RequestId,
        spec: RequestSpec,
    ) -> Arrival {
        let key = RunKey { gateway: link.gateway, id };
        if !self.is_current(link) || self.gateways[link.gateway].records.contains_key(&id) {
            return Arrival::Drop;
        }
        if let Some(ticket) = &spec.ticket
            && let Err(refusal) = self.tickets.accept(now, ticket)
        {
            return Arrival::Refuse { refusal, spent: refusal.cause == Cause::Revoked };
        }
        if let Some(refusal) = self.refusal(now, &spec) {
            if let Some(ticket) = &spec.ticket {
                self.tickets.spend(now, ticket);
            }
            return Arrival::Refuse { refusal, spent: spec.ticket.is_some() };
        }
        self.enqueue(now, key, spec);
        Arrival::Queued(key)
    }

    /// What to do next; call it after every event until it says [`Next::Idle`].
    pub fn next(&mut self, now: Millis) -> Next {
        if let Some((deadline, key)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.dequeue(now, key);
            return Next::Expire(key);
        }
        if self.running < self.config.max_running
            && self.server_back_off.backing_off_until(now).is_none()
            && self.has_permit(now)
            && let Some(entry) = self.queue.pop()
        {
            self.start(now, entry);
            return Next::Start(entry.key);
        }
        let expires = self.deadlines.first().map_or(Millis::MAX, |(deadline, _)| *deadline);
        Next::Idle(expires.min(self.next_permit_at(now)))
    }

    /// Takes a permit for the request that waits longest, if there is one.
    fn has_permit(&mut self, now: Millis) -> bool {
        match self.advertised_limit.limit() {
            Some(limit) => !self.queue.is_empty() && self.permits.take(limit.per_ms(), 1, now) > 0,
            None => true,
        }
    }

    /// When what waits is looked at again because there is a permit.
    fn next_permit_at(&self, now: Millis) -> Millis {
        let waits = !self.queue.is_empty() && self.running < self.config.max_running;
        match self.advertised_limit.limit().filter(|_| waits) {
            Some(limit) => now + self.permits.until(1.0, limit.per_ms(), now).max(Millis(1)),
            None => Millis::MAX,
        }
    }

    /// Whether the backend server names a limit.
    pub fn is_limited(&self) -> bool {
        self.advertised_limit.limit().is_some()
    }

    /// The backend server said how many requests it takes, or that it takes any number.
    pub fn apply_limit(&mut self, said: LimitAdvertisement) {
        // One that names none and never did binds nothing.
        let was_limited = self.is_limited();
        if said.limit.is_some() || was_limited {
            self.advertised_limit.apply(said);
        }
        if !was_limited {
            self.permits = TokenBucket::with_level(0.0, said.latest);
        }
    }

    /// A run has ended, well or badly: its answer, if any, has been handed to the link.
    pub fn finished(&mut self, now: Millis, key: RunKey) {
        let gateway = &mut self.gateways[key.gateway];
        let Some(state) = gateway.records.get_mut(&key.id) else { return };
        let State::Running { since, cost_tokens } = *state else { return };
        *state = State::Finished;
        gateway.finished += 1;
        self.running -= 1;
        self.running_tokens -= u64::from(cost_tokens);
        let run_ms = now.since(since).0 as f64;
        self.mean_run_ms += RUN_TIME_SMOOTHING * (run_ms - self.mean_run_ms);
        self.bound_records(key.gateway);
    }

    /// A run has ended before the backend server had any of it: it did not run.
    pub fn not_started(&mut self, now: Millis, key: RunKey, ticket: Option<&Ticket>) {
        let gateway = &mut self.gateways[key.gateway];
        if let Some(State::Running { cost_tokens, .. }) = gateway.records.remove(&key.id) {
            self.running -= 1;
            self.running_tokens -= u64::from(cost_tokens);
        }
        if let Some(ticket) = ticket {
            self.tickets.spend(now, ticket);
        }
    }

    /// The gateway has the end of a request, and will not ask about it.
    pub fn acknowledge(&mut self, link: Link, id: RequestId) {
        let gateway = &mut self.gateways[link.gateway];
        if matches!(gateway.records.get(&id), Some(State::Finished)) {
            gateway.records.remove(&id);
            gateway.finished -= 1;
        }
    }

    /// The caller of a request has gone.
    pub fn cancel(&mut self, now: Millis, link: Link, id: RequestId) -> CancelOutcome {
        let key = RunKey { gateway: link.gateway, id };
        if !self.is_current(link) {
            return CancelOutcome::Unknown;
        }
        match self.gateways[link.gateway].records.get(&id) {
            Some(State::Queued { .. }) => {
                self.dequeue(now, key);
                CancelOutcome::Removed(key)
            }
            Some(State::Running { .. }) => CancelOutcome::Abort(key),
            Some(State::Finished) | None => CancelOutcome::Unknown,
        }
    }

    /// Says what became of a request, and sees to it that `not-run` stays true: one that waits is
    /// taken out of the queue. `None` for a question that came over an outdated link.
    ///
    /// The ticket, if any, is spent unless its request was taken, so that a request which never
    /// arrived cannot run under the same ticket later either.
    pub fn settle(
        &mut self,
        now: Millis,
        link: Link,
        id: RequestId,
        ticket: Option<&Ticket>,
    ) -> Option<Verdict> {
        if !self.is_current(link) {
            return None;
        }
        let gateway = &self.gateways[link.gateway];
        let verdict = match gateway.records.get(&id) {
            Some(State::Queued { .. }) => {
                self.dequeue(now, RunKey { gateway: link.gateway, id });
                Verdict::NotRun
            }
            Some(State::Running { .. } | State::Finished) => Verdict::Ran,
            None if gateway.floor.is_some_and(|floor| id.number <= floor) => Verdict::MayHaveRun,
            None => self.settle_unknown(now, ticket),
        };
        Some(verdict)
    }

    /// Starts leaving: everything that waits is given back, and nothing new is taken.
    /// Returns what to refuse as `not-run`.
    pub fn start_leaving(&mut self, now: Millis) -> Vec<RunKey> {
        self.leaving = true;
        self.dequeue_all(now)
    }

    /// The backend server asked to be sent nothing for a while: nothing waits here for that.
    /// Returns what to refuse as `not-run`, and for how long.
    pub fn back_off(&mut self, now: Millis, span: Millis) -> (Vec<RunKey>, Millis) {
        self.server_back_off.back_off(span, now);
        let waiting = self.dequeue_all(now);
        (
            waiting,
            self.server_back_off
                .backing_off_until(now)
                .map_or(Millis::ZERO, |until| until.since(now)),
        )
    }

    /// Takes all that waits out of the queue.
    fn dequeue_all(&mut self, now: Millis) -> Vec<RunKey> {
        let waiting: Vec<RunKey> = self.queue.iter().map(|entry| entry.key).collect();
        for key in &waiting {
            self.dequeue(now, *key);
        }
        waiting
    }

    /// Ends leaving, after operators took the drain back.
    pub fn stop_leaving(&mut self) {
        self.leaving = false;
    }

    /// Forgets gateways that have been gone for long enough.
    pub fn evict_unlinked(&mut self, now: Millis) {
        let keep = self.config.gateway_retention;
        let gateways = &mut self.gateways;
        self.by_name.retain(|_, key| {
            let gateway = &mut gateways[*key];
            let gone = !gateway.linked && now.since(gateway.unlinked_at) >= keep;
            if gone {
                gateway.records.clear();
            }
            !gone
        });
    }

    /// When to come back to a queue this long: the time that it takes to work off.
    fn retry_after(&self) -> Millis {
        let waiting = self.queue.len() as f64 + 1.0;
        let rounds = waiting / self.config.max_running.max(1) as f64;
        Millis((rounds * self.mean_run_ms).ceil() as u64)
    }

    fn refusal(&self, now: Millis, spec: &RequestSpec) -> Option<Refusal> {
        if self.leaving {
            return Some(Refusal::not_run(Cause::Leaving));
        }
        if spec.deadline_in == Millis::ZERO {
            return Some(Refusal::not_run(Cause::DeadlinePassed));
        }
        if let Some(until) = self.server_back_off.backing_off_until(now) {
            return Some(Refusal::not_run(Cause::BackendRefused).retry_after(until.since(now)));
        }
        if let Some(limit) = self.advertised_limit.limit() {
            let turn = self.permits.until(self.queue.len() as f64 + 1.0, limit.per_ms(), now);
            if turn > spec.deadline_in {
                return Some(Refusal::not_run(Cause::QueueFull).retry_after(turn));
            }
        }
        let busy = self.running >= self.config.max_running;
        if busy && self.queue.len() >= self.config.max_queued {
            return Some(Refusal::not_run(Cause::QueueFull).retry_after(self.retry_after()));
        }
        None
    }

    fn enqueue(&mut self, now: Millis, key: RunKey, spec: RequestSpec) {
        let deadline = now + spec.deadline_in;
        self.queue.push(Entry {
            key,
            flow: spec.flow,
            weight: spec.weight,
            cost_tokens: spec.cost_tokens,
            priority: spec.priority,
            arrived: now,
        });
        self.deadlines.insert((deadline, key));
        let state = State::Queued { deadline, ticket: spec.ticket };
        self.gateways[key.gateway].records.insert(key.id, state);
    }

    fn start(&mut self, now: Millis, entry: Entry<RunKey>) {
        let cost_tokens = entry.cost_tokens;
        let running = State::Running { since: now, cost_tokens };
        let gateway = &mut self.gateways[entry.key.gateway];
        let before = gateway.records.insert(entry.key.id, running);
        let Some(State::Queued { deadline, .. }) = before else {
            unreachable!("only a queued request starts");
        };
        self.deadlines.remove(&(deadline, entry.key));
        self.running += 1;
        self.running_tokens += u64::from(cost_tokens);
    }

    fn settle_unknown(&mut self, now: Millis, ticket: Option<&Ticket>) -> Verdict {
        if let Some(ticket) = ticket
            && !self.tickets.is_accepted(ticket)
        {
            self.tickets.spend(now, ticket);
        }
        Verdict::NotRun
    }

    /// Takes a waiting request out for good: its ticket, if any, is spent.
    fn dequeue(&mut self, now: Millis, key: RunKey) {
        let state = self.gateways[key.gateway].records.remove(&key.id);
        let Some(State::Queued { deadline, ticket }) = state else {
            debug_assert!(false, "only a queued request is taken back");
            return;
        };
        self.queue.remove(key);
        self.deadlines.remove(&(deadline, key));
        if let Some(ticket) = ticket {
            self.tickets.spend(now, &ticket);
        }
    }

    /// Takes back what waits for a gateway, and lists what runs for it.
    fn abandon(&mut self, now: Millis, gateway: Key<Gateway>) -> Vec<RunKey> {
        let mut waiting = Vec::new();
        let mut running = Vec::new();
        for (id, state) in &self.gateways[gateway].records {
            let key = RunKey { gateway, id: *id };
            match state {
                State::Queued { .. } => waiting.push(key),
                State::Running { .. } => running.push(key),
                State::Finished => {}
            }
        }
        for key in waiting {
            self.dequeue(now, key);
        }
        running
    }

    fn add_gateway(&mut self, name: u64, incarnation: u64) -> Key<Gateway> {
        let gateway = Gateway {
            epoch: 0,
            linked: false,
            unlinked_at: Millis::ZERO,
            floor: None,
            records: BTreeMap::new(),
            finished: 0,
        };
        let key = self.gateways.push(gateway);
        self.by_name.insert((name, incarnation), key);
        key
    }

    fn is_current(&self, link: Link) -> bool {
        let gateway = &self.gateways[link.gateway];
        gateway.linked && gateway.epoch == link.epoch
    }

    /// Forgets the oldest finished requests of a gateway that does not acknowledge, and remembers
    /// only that it did.
    fn bound_records(&mut self, key: Key<Gateway>) {
        let gateway = &mut self.gateways[key];
        if gateway.finished <= MOST_FINISHED_RECORDS {
            return;
        }
        let oldest = gateway
            .records
            .iter()
            .find(|(_, state)| matches!(state, State::Finished))
            .map(|(id, _)| *id);
        if let Some(id) = oldest {
            gateway.records.remove(&id);
            gateway.finished -= 1;
            gateway.floor = gateway.floor.max(Some(id.number));
        }
    }
}
