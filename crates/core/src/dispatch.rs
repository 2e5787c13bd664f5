//! Dispatcher of a sidecar's requests: decides which request queues, starts or is refused.
//! Input: requests, cancellations and queries from gateways, and the ends of runs.
//! State: the queue, a record of each request by gateway, and the ticket memory.
//!
//! Only the dispatcher can state that a request did not run. Therefore each request is in exactly
//! one state here, and it is `Running` before the first byte goes to the backend server.
//!
//! A gateway that lost its link queries its requests over a new link. Each link carries an epoch
//! that grows. Once a newer link has sent its hello, messages of the older link are dropped. So a
//! request that is unknown at the time of the query can never arrive later, and `not-run` remains
//! true without a tombstone for each query.

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

/// Records of finished requests that are retained for a gateway that does not acknowledge them.
const MAX_FINISHED_RECORDS: usize = 4_096;

/// Weight of the newest run in the moving average of run times.
const RUN_TIME_SMOOTHING: f64 = 0.1;

/// Run time that is assumed until the first run has finished.
const FIRST_RUN_TIME_MS: f64 = 1_000.0;

/// Limits of a [`Dispatcher`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Requests that may run at once.
    pub max_running: usize,
    /// Requests that may wait in the queue.
    pub max_queued: usize,
    /// Bounds of the ticket memory.
    pub tickets: ticket_memory::Config,
    /// How long the records of a gateway without a link are retained.
    pub gateway_retention: Millis,
}

/// One incarnation of a gateway.
#[derive(Debug)]
pub struct Gateway {
    /// Epoch of its newest link.
    epoch: u64,
    linked: bool,
    unlinked_at: Millis,
    /// Highest request number whose record may have been evicted.
    evicted_up_to: Option<u64>,
    records: BTreeMap<RequestId, State>,
    finished: usize,
}

/// An open link from a gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Link {
    gateway: Key<Gateway>,
    epoch: u64,
}

/// Identifier of a request at this sidecar.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunKey {
    /// Gateway that sent it.
    pub gateway: Key<Gateway>,
    /// Its identifier at that gateway.
    pub id: RequestId,
}

/// Parameters of a request that a gateway sends.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Flow of the account in the fair queue.
    pub flow: FlowId,
    /// Weight of the account in the fair queue.
    pub weight: u32,
    /// Estimated tokens.
    pub cost_tokens: u32,
    /// 0 to 9; a higher priority goes first.
    pub priority: u8,
    /// Time that is left until its deadline.
    pub deadline_in: Millis,
    /// Present if the request is not repeatable.
    pub ticket: Option<Ticket>,
}

#[derive(Clone, Debug)]
enum State {
    Queued { deadline: Millis, ticket: Option<Ticket> },
    Running { since: Millis, cost_tokens: u32 },
    Finished,
}

/// Outcome of a gateway's hello.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkOutcome {
    /// The link is open. The listed runs of an older link cannot be answered: abort them.
    Open(Link, Vec<RunKey>),
    /// The gateway's incarnation already has a newer link, or one of the same epoch is open.
    Stale,
}

/// What to do with a request that arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// It waits; [`Dispatcher::next`] returns it when it starts.
    Queued(RunKey),
    /// Send the refusal to the gateway.
    Refuse {
        /// Verdict, cause and time to retry after.
        refusal: Refusal,
        /// Whether its ticket can never be accepted any more.
        spent: bool,
    },
    /// Ignore it: it came over an outdated link, or is a duplicate.
    Drop,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Send the request to the backend server; it counts as running from now on.
    Start(RunKey),
    /// Refuse a request whose deadline passed in the queue.
    Expire(RunKey),
    /// Nothing until the next event or this time.
    Idle(Millis),
}

/// Outcome of the cancellation of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelOutcome {
    /// It was queued, and never runs.
    Removed(RunKey),
    /// It is running: abort it at the backend server.
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
    /// Back-off that the backend server requested.
    server_back_off: ServerNotices,
    /// Request rate that the backend server advertised, not shared: all requests pass through here.
    advertised_limit: AdvertisedLimit,
    permits: TokenBucket,
}

impl Dispatcher {
    /// A dispatcher without records, for the sidecar's `incarnation`.
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

    /// Changes the limits. Requests that run or wait beyond the new limits are not affected.
    pub fn set_limits(&mut self, max_running: usize, max_queued: usize) {
        self.config.max_running = max_running;
        self.config.max_queued = max_queued;
    }

    /// Number of requests in the queue.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Estimated tokens of the running requests.
    pub fn running_tokens(&self) -> u64 {
        self.running_tokens
    }

    /// Whether new requests are refused because the instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Opens a link for an incarnation of a gateway.
    pub fn link(&mut self, now: Millis, name: u64, incarnation: u64, epoch: u64) -> LinkOutcome {
        let key = match self.by_name.get(&(name, incarnation)) {
            Some(key) => *key,
            None => self.add_gateway(name, incarnation),
        };
        let newest = &self.gateways[key];
        if newest.epoch > epoch || (newest.linked && newest.epoch == epoch) {
            return LinkOutcome::Stale;
        }
        let aborted = self.end_link_requests(now, key);
        let gateway = &mut self.gateways[key];
        gateway.epoch = epoch;
        gateway.linked = true;
        LinkOutcome::Open(Link { gateway: key, epoch }, aborted)
    }

    /// Handles the loss of a link. Returns its runs, which cannot be answered, to abort.
    pub fn unlink(&mut self, now: Millis, link: Link) -> Vec<RunKey> {
        if !self.is_current(link) {
            return Vec::new();
        }
        let gateway = &mut self.gateways[link.gateway];
        gateway.linked = false;
        gateway.unlinked_at = now;
        self.end_link_requests(now, link.gateway)
    }

    /// Queues a request, or returns why it is refused or dropped.
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

    /// Returns what to do next; called after each event until it returns [`Next::Idle`].
    pub fn next(&mut self, now: Millis) -> Next {
        if let Some((deadline, key)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.dequeue(now, key);
            return Next::Expire(key);
        }
        if self.running < self.config.max_running
            && self.server_back_off.backing_off_until(now).is_none()
            && self.take_permit(now)
            && let Some(entry) = self.queue.pop()
        {
            self.start(now, entry);
            return Next::Start(entry.key);
        }
        let expires = self.deadlines.first().map_or(Millis::MAX, |(deadline, _)| *deadline);
        Next::Idle(expires.min(self.next_permit_at(now)))
    }

    /// Whether the next queued request may start under the advertised limit; takes a permit if so.
    fn take_permit(&mut self, now: Millis) -> bool {
        match self.advertised_limit.limit() {
            Some(limit) => !self.queue.is_empty() && self.permits.take(limit.per_ms(), 1, now) > 0,
            None => true,
        }
    }

    /// Time at which the next permit is available for a queued request.
    fn next_permit_at(&self, now: Millis) -> Millis {
        let waits = !self.queue.is_empty() && self.running < self.config.max_running;
        match self.advertised_limit.limit().filter(|_| waits) {
            Some(limit) => now + self.permits.until(1.0, limit.per_ms(), now).max(Millis(1)),
            None => Millis::MAX,
        }
    }

    /// Whether a limit that the backend server advertised is in force.
    pub fn is_limited(&self) -> bool {
        self.advertised_limit.limit().is_some()
    }

    /// Applies a limit that the backend server advertised, or its withdrawal.
    pub fn apply_limit(&mut self, advertisement: LimitAdvertisement) {
        // Without any limit before, the absence of a limit changes nothing.
        let was_limited = self.is_limited();
        if advertisement.limit.is_some() || was_limited {
            self.advertised_limit.apply(advertisement);
        }
        if !was_limited {
            self.permits = TokenBucket::with_level(0.0, advertisement.latest);
        }
    }

    /// Records that a run has ended, and that its answer, if any, was passed to the link.
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

    /// Records that a run has ended before the backend server received any of it: it did not run.
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

    /// Drops the record of a finished request: the gateway received its end and does not query it.
    pub fn acknowledge(&mut self, link: Link, id: RequestId) {
        let gateway = &mut self.gateways[link.gateway];
        if matches!(gateway.records.get(&id), Some(State::Finished)) {
            gateway.records.remove(&id);
            gateway.finished -= 1;
        }
    }

    /// Cancels a request that its gateway no longer needs to answer.
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

    /// Returns the verdict on a request. A queued request is removed from the queue, so that the
    /// verdict `not-run` remains true. `None` for a query over an outdated link.
    ///
    /// The ticket, if any, is spent unless its request was accepted, so that a request that never
    /// arrived cannot run under the same ticket later.
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
            None if gateway
                .evicted_up_to
                .is_some_and(|evicted_up_to| id.number <= evicted_up_to) =>
            {
                Verdict::MayHaveRun
            }
            None => self.settle_unknown(now, ticket),
        };
        Some(verdict)
    }

    /// Starts leaving: refuses new requests, and returns queued ones to refuse as `not-run`.
    pub fn start_leaving(&mut self, now: Millis) -> Vec<RunKey> {
        self.leaving = true;
        self.dequeue_all(now)
    }

    /// Backs off for a time that the backend server requested. Requests do not wait for its end:
    /// returns the queued ones to refuse as `not-run`, and the time left of the back-off.
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

    /// Removes all requests from the queue.
    fn dequeue_all(&mut self, now: Millis) -> Vec<RunKey> {
        let waiting: Vec<RunKey> = self.queue.iter().map(|entry| entry.key).collect();
        for key in &waiting {
            self.dequeue(now, *key);
        }
        waiting
    }

    /// Ends leaving, after operators revoked the drain.
    pub fn stop_leaving(&mut self) {
        self.leaving = false;
    }

    /// Evicts gateways that have been without a link for the retention time.
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

    /// Estimated time until the current queue has been served.
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

    /// Removes a request from the queue for good: its ticket, if any, is spent.
    fn dequeue(&mut self, now: Millis, key: RunKey) {
        let state = self.gateways[key.gateway].records.remove(&key.id);
        let Some(State::Queued { deadline, ticket }) = state else {
            debug_assert!(false, "only a queued request is dequeued");
            return;
        };
        self.queue.remove(key);
        self.deadlines.remove(&(deadline, key));
        if let Some(ticket) = ticket {
            self.tickets.spend(now, &ticket);
        }
    }

    /// Dequeues the requests of a gateway, and returns its running requests.
    fn end_link_requests(&mut self, now: Millis, gateway: Key<Gateway>) -> Vec<RunKey> {
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
            evicted_up_to: None,
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

    /// Evicts the oldest finished request of a gateway that does not acknowledge. `evicted_up_to`
    /// makes the verdict of a later query `may-have-run`.
    fn bound_records(&mut self, key: Key<Gateway>) {
        let gateway = &mut self.gateways[key];
        if gateway.finished <= MAX_FINISHED_RECORDS {
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
            gateway.evicted_up_to = gateway.evicted_up_to.max(Some(id.number));
        }
    }
}
