//! Actor that owns the sidecar's dispatcher: passes events to it and carries out its decisions.
//! Input: messages of links, runs and timers. State: the dispatcher, and the job of each request.
//! The [`Dispatcher`] decides; the actor starts, aborts and refuses requests accordingly.

use std::collections::HashMap;

use hooktrestle_clock::ProcessClock;
use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::config::BackendServer;
use hooktrestle_core::config::Config;
use hooktrestle_core::direct::advertised_limit::LimitAdvertisement;
use hooktrestle_core::direct::advertised_limit::Rate;
use hooktrestle_core::dispatch;
use hooktrestle_core::dispatch::Arrival;
use hooktrestle_core::dispatch::CancelOutcome;
use hooktrestle_core::dispatch::Dispatcher;
use hooktrestle_core::dispatch::Link;
use hooktrestle_core::dispatch::LinkOutcome;
use hooktrestle_core::dispatch::Next;
use hooktrestle_core::dispatch::RequestSpec;
use hooktrestle_core::dispatch::RunKey;
use hooktrestle_core::fair_queue::FlowId;
use hooktrestle_core::id::RequestId;
use hooktrestle_core::util::arena::Key;
use hooktrestle_core::util::hash;
use hooktrestle_core::verdict::Refusal;
use hooktrestle_link::Identity;
use hooktrestle_link::Peer;
use hooktrestle_link::Sender;
use hooktrestle_schema::Cause;
use hooktrestle_schema::Frame;
use hooktrestle_schema::LoadFrame;
use hooktrestle_schema::RefusedFrame;
use hooktrestle_schema::RequestFrame;
use hooktrestle_schema::SettledFrame;
use hooktrestle_schema::Ticket;
use spdlog::info;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use xtra::Address;
use xtra::Context;
use xtra::Handler;
use xtra::Mailbox;
use xtra::WeakAddress;

use crate::config_sync;
use crate::sidecar::run;
use crate::sidecar::run::Backend;
use crate::sidecar::run::Job;
use crate::sidecar::run::RunEnd;

/// Parts of a [`DispatchActor`].
#[derive(Debug)]
pub(super) struct Setup {
    pub(super) identity: Identity,
    pub(super) clock: ProcessClock,
    pub(super) limits: dispatch::Config,
    pub(super) backend: Backend,
    pub(super) config: config_sync::Watch,
}

/// The actor that owns the dispatcher.
#[derive(Debug, xtra::Actor)]
pub struct DispatchActor {
    setup: Setup,
    dispatcher: Dispatcher,
    waiting: HashMap<RunKey, Job>,
    running: HashMap<RunKey, AbortHandle>,
    running_count: watch::Sender<usize>,
    next_due: watch::Sender<Millis>,
    config_version: u64,
    stopping: bool,
    address: Option<WeakAddress<DispatchActor>>,
}

/// A gateway has opened a link.
#[derive(Debug)]
pub(super) struct LinkOpened(pub(super) Peer);

/// A link has closed.
#[derive(Debug)]
pub(super) struct LinkEnded(pub(super) Link);

/// A request has arrived.
#[derive(Debug)]
pub(super) struct Arrive {
    pub(super) link: Link,
    pub(super) job: Job,
}

/// A gateway cancels a request: the caller has disconnected or has got its final answer.
#[derive(Debug)]
pub(super) struct Cancel(pub(super) Link, pub(super) RequestId);

/// A gateway queries the outcome of a request.
#[derive(Debug)]
pub(super) struct Settle {
    pub(super) link: Link,
    pub(super) id: RequestId,
    pub(super) ticket: Option<Ticket>,
    pub(super) sender: Sender,
}

/// A gateway has received the end of a request.
#[derive(Debug)]
pub(super) struct Acknowledge(pub(super) Link, pub(super) RequestId);

/// A run has ended.
#[derive(Debug)]
pub(super) struct RunEnded {
    pub(super) key: RunKey,
    pub(super) end: RunEnd,
    pub(super) job: Job,
}

/// The backend server advertised a limit of its request rate, or withdrew it.
#[derive(Debug)]
pub(super) struct ApplyLimit(pub(super) LimitAdvertisement);

/// The time has come at which the dispatcher may have something to do.
#[derive(Debug)]
pub(super) struct Tick;

/// Query for the load that is reported to gateways.
#[derive(Debug)]
pub(super) struct ReadLoad;

/// Refuse new and queued requests. The reply is a watch on the number of running requests.
#[derive(Debug)]
pub(super) struct Leave;

/// Abort all runs and stop the actor.
#[derive(Debug)]
pub(super) struct AbortAll;

/// Starts the actor.
pub(super) fn start(setup: Setup) -> Address<DispatchActor> {
    let next_due = watch::Sender::new(Millis::MAX);
    let due_changes = next_due.subscribe();
    let clock = setup.clock;
    let actor = DispatchActor {
        dispatcher: Dispatcher::new(setup.limits, setup.identity.incarnation),
        setup,
        waiting: HashMap::new(),
        running: HashMap::new(),
        running_count: watch::Sender::new(0),
        next_due,
        config_version: 0,
        stopping: false,
        address: None,
    };
    let (address, mailbox) = Mailbox::unbounded();
    let weak = address.downgrade();
    let actor = DispatchActor { address: Some(weak.clone()), ..actor };
    tokio::spawn(xtra::run(mailbox, actor));
    tokio::spawn(send_ticks(weak, due_changes, clock));
    address
}

/// Sends a [`Tick`] at each time that the actor sets.
async fn send_ticks(
    actor: WeakAddress<DispatchActor>,
    mut next_due: watch::Receiver<Millis>,
    clock: ProcessClock,
) {
    loop {
        let due = *next_due.borrow_and_update();
        let changed = clock.timeout_at(due, next_due.changed()).await;
        match changed {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) => {
                let Some(actor) = actor.try_upgrade() else { return };
                if actor.send(Tick).await.is_err() {
                    return;
                }
            }
        }
    }
}

impl DispatchActor {
    fn now(&self) -> Millis {
        self.setup.clock.now()
    }

    /// Carries out all decisions of the dispatcher that are due.
    fn process_due(&mut self) {
        let now = self.now();
        loop {
            match self.dispatcher.next(now) {
                Next::Start(key) => self.start_run(key),
                Next::Expire(key) => self.refuse(key, Refusal::not_run(Cause::DeadlinePassed)),
                Next::Idle(until) => {
                    self.next_due.send_replace(until);
                    break;
                }
            }
        }
        self.running_count.send_replace(self.dispatcher.running());
    }

    /// Applies limits and drains of a new configuration.
    fn apply_config(&mut self) {
        let in_force = self.setup.config.borrow().clone();
        let Some(in_force) = in_force else { return };
        let config = &in_force.config;
        if config.version == self.config_version {
            return;
        }
        self.config_version = config.version;
        let Some(server) = config.server(&self.setup.identity.instance) else { return };
        self.apply_server_config(config, server);
    }

    fn apply_server_config(&mut self, config: &Config, server: Key<BackendServer>) {
        let record = &config.servers[server];
        let max_running = record.row.limit_running_requests as usize;
        let max_queued = config.services[record.service].row.queue_limit_requests as usize;
        self.dispatcher.set_limits(max_running, max_queued);
        if config.is_draining(server) && !self.dispatcher.is_leaving() {
            self.begin_leaving();
        } else if !config.is_draining(server) && !self.stopping {
            self.dispatcher.stop_leaving();
        }
    }

    fn begin_leaving(&mut self) {
        let now = self.now();
        for key in self.dispatcher.start_leaving(now) {
            self.refuse(key, Refusal::not_run(Cause::Leaving));
        }
    }

    /// Backs off for a time that the backend server requested.
    fn back_off(&mut self, span: Millis) {
        let now = self.now();
        let (waiting, left) = self.dispatcher.back_off(now, span);
        let (back_off_ms, refused_requests) = (left.0, waiting.len());
        info!("the backend server requested a back-off", kv: { back_off_ms, refused_requests });
        for key in waiting {
            self.refuse(key, Refusal::not_run(Cause::BackendRefused).retry_after(left));
        }
    }

    fn start_run(&mut self, key: RunKey) {
        let Some(job) = self.waiting.remove(&key) else {
            debug_assert!(false, "a queued request has a job");
            return;
        };
        let backend = self.setup.backend.clone();
        let actor = self.address.clone();
        let (clock, sent_at, is_limited) =
            (self.setup.clock, self.now(), self.dispatcher.is_limited());
        let limit_receiver = actor.clone();
        let report_limit = async move |limit: Option<Rate>| {
            if limit.is_none() && !is_limited {
                return;
            }
            let advertisement =
                LimitAdvertisement { limit, earliest: sent_at, latest: clock.now() };
            if let Some(actor) = limit_receiver.and_then(|actor| actor.try_upgrade()) {
                // An actor that has stopped needs no limit.
                let _ = actor.send(ApplyLimit(advertisement)).await;
            }
        };
        let task = tokio::spawn(async move {
            let mut job = job;
            let end = run::run(&backend, &mut job, report_limit).await;
            if let Some(actor) = actor.and_then(|actor| actor.try_upgrade()) {
                // An actor that has stopped needs no outcome.
                let _ = actor.send(RunEnded { key, end, job }).await;
            }
        });
        self.running.insert(key, task.abort_handle());
    }

    /// Refuses a queued request.
    fn refuse(&mut self, key: RunKey, refusal: Refusal) {
        if let Some(job) = self.waiting.remove(&key) {
            let spent = job.frame.ticket.is_some();
            send_detached(&job.sender, refused(&job.frame, refusal, spent));
        }
    }

    fn abort(&mut self, key: RunKey) {
        if let Some(task) = self.running.remove(&key) {
            task.abort();
            let now = self.now();
            self.dispatcher.finished(now, key);
        }
    }

    fn is_ready(&self) -> bool {
        self.config_version > 0
    }
}

impl Handler<LinkOpened> for DispatchActor {
    type Return = Option<Link>;

    async fn handle(&mut self, linked: LinkOpened, _: &mut Context<Self>) -> Option<Link> {
        let now = self.now();
        self.dispatcher.evict_unlinked(now);
        let name = hash::of(&linked.0.identity.instance);
        let opening =
            self.dispatcher.link(now, name, linked.0.identity.incarnation, linked.0.link_epoch);
        let LinkOutcome::Open(link, abandoned) = opening else { return None };
        for key in abandoned {
            self.abort(key);
        }
        self.process_due();
        Some(link)
    }
}

impl Handler<LinkEnded> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, unlinked: LinkEnded, _: &mut Context<Self>) {
        let now = self.now();
        for key in self.dispatcher.unlink(now, unlinked.0) {
            self.abort(key);
        }
        self.waiting.retain(|_, job| !job.is_orphan());
        self.process_due();
    }
}

impl Handler<Arrive> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, arrive: Arrive, _: &mut Context<Self>) {
        self.apply_config();
        let Arrive { link, job } = arrive;
        if !self.is_ready() {
            send_detached(
                &job.sender,
                refused(&job.frame, Refusal::not_run(Cause::NotReady), false),
            );
            return;
        }
        let now = self.now();
        let id = RequestId::from(&job.frame.id);
        match self.dispatcher.request(now, link, id, spec(&job.frame)) {
            Arrival::Queued(key) => {
                self.waiting.insert(key, job);
                self.process_due();
            }
            Arrival::Refuse { refusal, spent } => {
                send_detached(&job.sender, refused(&job.frame, refusal, spent));
            }
            Arrival::Drop => {}
        }
    }
}

impl Handler<Cancel> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, cancel: Cancel, _: &mut Context<Self>) {
        let now = self.now();
        match self.dispatcher.cancel(now, cancel.0, cancel.1) {
            CancelOutcome::Abort(key) => self.abort(key),
            CancelOutcome::Removed(key) => drop(self.waiting.remove(&key)),
            CancelOutcome::Unknown => {}
        }
        self.dispatcher.acknowledge(cancel.0, cancel.1);
        self.process_due();
    }
}

impl Handler<Settle> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, settle: Settle, _: &mut Context<Self>) {
        let now = self.now();
        let verdict = self.dispatcher.settle(now, settle.link, settle.id, settle.ticket.as_ref());
        if let Some(verdict) = verdict {
            let id = settle.id.into();
            send_detached(&settle.sender, Frame::Settled(SettledFrame { id, verdict }));
        }
        self.process_due();
    }
}

impl Handler<Acknowledge> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, acknowledge: Acknowledge, _: &mut Context<Self>) {
        self.dispatcher.acknowledge(acknowledge.0, acknowledge.1);
    }
}

impl Handler<RunEnded> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, ended: RunEnded, _: &mut Context<Self>) {
        if self.running.remove(&ended.key).is_none() {
            return;
        }
        let now = self.now();
        let RunEnded { key, end, job } = ended;
        match end {
            RunEnd::Complete | RunEnd::LinkClosed => self.dispatcher.finished(now, key),
            RunEnd::Failed(refusal) => {
                self.dispatcher.finished(now, key);
                send_detached(&job.sender, refused(&job.frame, refusal, false));
            }
            RunEnd::NotStarted(refusal, back_off) => {
                self.dispatcher.not_started(now, key, job.frame.ticket.as_ref());
                let spent = job.frame.ticket.is_some();
                send_detached(&job.sender, refused(&job.frame, refusal, spent));
                if let Some(span) = back_off {
                    self.back_off(span);
                }
            }
        }
        self.process_due();
    }
}

impl Handler<ApplyLimit> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, limit: ApplyLimit, _: &mut Context<Self>) {
        self.dispatcher.apply_limit(limit.0);
        self.process_due();
    }
}

impl Handler<Tick> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.process_due();
    }
}

impl Handler<ReadLoad> for DispatchActor {
    type Return = LoadFrame;

    async fn handle(&mut self, _: ReadLoad, _: &mut Context<Self>) -> LoadFrame {
        self.apply_config();
        self.process_due();
        LoadFrame {
            now_ms: self.now().0,
            queued_requests: u32::try_from(self.dispatcher.queued()).unwrap_or(u32::MAX),
            running_requests: u32::try_from(self.dispatcher.running()).unwrap_or(u32::MAX),
            running_tokens: self.dispatcher.running_tokens(),
            step_ms: 0.0,
            leaving: self.dispatcher.is_leaving(),
            config_version: self.config_version,
        }
    }
}

impl Handler<Leave> for DispatchActor {
    type Return = watch::Receiver<usize>;

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) -> watch::Receiver<usize> {
        self.stopping = true;
        self.begin_leaving();
        self.process_due();
        self.running_count.subscribe()
    }
}

impl Handler<AbortAll> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, _: AbortAll, context: &mut Context<Self>) {
        for task in self.running.values() {
            task.abort();
        }
        context.stop_all();
    }
}

fn spec(frame: &RequestFrame) -> RequestSpec {
    RequestSpec {
        flow: FlowId(hash::of(&frame.account)),
        weight: frame.weight,
        cost_tokens: frame.cost_tokens,
        priority: frame.priority,
        deadline_in: Millis(frame.deadline_in_ms),
        ticket: frame.ticket.clone(),
    }
}

fn refused(frame: &RequestFrame, refusal: Refusal, spent: bool) -> Frame {
    Frame::Refused(RefusedFrame {
        id: frame.id.clone(),
        verdict: refusal.verdict,
        cause: refusal.cause,
        retry_after_ms: refusal.retry_after.map(|span| span.0),
        spent,
    })
}

/// Sends a frame in a separate task, so that a slow link does not delay the actor and, with it,
/// requests of other gateways.
fn send_detached(sender: &Sender, frame: Frame) {
    let sender = sender.clone();
    tokio::spawn(async move { sender.send(&frame, &[]).await });
}
