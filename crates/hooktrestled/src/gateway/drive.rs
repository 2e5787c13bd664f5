//! Drives one request at a gateway, as one task. Its input is the request, the frames of its
//! attempts and the deadline; its state is the attempts, the newest attempt's link, and the channel
//! to the caller. The state machine [`Attempts`] decides on retries; the driver carries out each
//! [`Next`].

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use hooktrestle_core::attempt;
use hooktrestle_core::attempt::Attempts;
use hooktrestle_core::attempt::Next;
use hooktrestle_core::attempt::RetryPolicy;
use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::service_times::Served;
use hooktrestle_core::id::RequestId;
use hooktrestle_core::retry::RetryBudget;
use hooktrestle_core::subset;
use hooktrestle_core::util::arena::Key;
use hooktrestle_core::util::hash;
use hooktrestle_core::verdict::Refusal;
use hooktrestle_schema::AccountRow;
use hooktrestle_schema::Cause;
use hooktrestle_schema::CreditFrame;
use hooktrestle_schema::Frame;
use hooktrestle_schema::Header;
use hooktrestle_schema::IdFrame;
use hooktrestle_schema::RefusedFrame;
use hooktrestle_schema::RequestFrame;
use hooktrestle_schema::SettleFrame;
use hooktrestle_schema::Ticket;
use hooktrestle_schema::Verdict;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::directory;
use crate::gateway::Shared;
use crate::gateway::body;
use crate::gateway::body::Body;
use crate::gateway::body::BodyError;
use crate::gateway::links::Event;
use crate::gateway::links::Handle;
use crate::gateway::router::Choice;
use crate::gateway::router::Choose;
use crate::gateway::router::Find;
use crate::gateway::router::Release;
use crate::gateway::router::Server;
use crate::gateway::router::WatchLink;
use crate::gateway::tickets;
use crate::traces::Hop;

/// Answer bytes that a sidecar may send before the caller has received them.
const CREDIT_BYTES: u64 = 256 * 1024;

/// Capacity of the channel of answer chunks from the driver to the caller's connection.
const BUFFERED_CHUNKS: usize = 16;

/// The `retry_after` that callers get if no backend server can be reached.
const NO_SERVER_RETRY_AFTER: Millis = Millis(1_000);

/// A request, as the HTTP interface passes it on.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) service: Arc<str>,
    pub(crate) account: String,
    pub(crate) weight: u32,
    pub(crate) limits: AccountRow,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) deadline: Duration,
    pub(crate) priority: u8,
    pub(crate) cost_tokens: u32,
    pub(crate) retry_policy: RetryPolicy,
    /// The ticket that the caller sent, with [`RetryPolicy::Never`].
    pub(crate) ticket: Option<Ticket>,
    /// The gateway's span in the trace of the request.
    pub(crate) hop: Hop,
    pub(crate) body: Body,
}

/// Status and headers of an answer, and the channel for its body.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    /// Ends with an error if the answer is truncated, and without an error if it is complete.
    pub(crate) body: mpsc::Receiver<Result<Bytes, Refusal>>,
}

/// Result that the HTTP interface waits for.
pub(crate) type Answer = Result<Head, Refusal>;

/// Channel to the HTTP interface, by progress of the answer.
#[derive(Debug)]
enum CallerChannel {
    Head(oneshot::Sender<Answer>),
    Body(mpsc::Sender<Result<Bytes, Refusal>>),
    Closed,
}

/// The newest attempt, once it has been sent.
#[derive(Debug)]
struct CurrentAttempt {
    server: Key<Server>,
    handle: Handle,
    events: mpsc::UnboundedReceiver<Event>,
    credit: Arc<Semaphore>,
    ticket: Option<Ticket>,
    upload: AbortHandle,
    body_failed: mpsc::Receiver<BodyError>,
}

#[derive(Debug)]
struct Driver {
    shared: Shared,
    incoming: Incoming,
    attempts: Attempts,
    tried: Vec<Key<Server>>,
    current: Option<CurrentAttempt>,
    caller_channel: CallerChannel,
    received_at: Millis,
    deadline: Millis,
    /// Bytes of the answer that were handed to the caller.
    answer_bytes: usize,
    /// Whether the caller was told that the request did not run.
    is_refused: bool,
}

/// Reason why a wait ended.
#[allow(clippy::large_enum_variant, reason = "moved once; a box would cost an allocation")]
enum Wakeup {
    Event(Event),
    Deadline,
    BodyFailed(BodyError),
    CallerDisconnected,
}

/// Counts a request as in flight, at the gateway and for its account, until it is dropped.
struct InFlightGuard {
    shared: Shared,
    account: u64,
}

impl InFlightGuard {
    /// Admits a request if its account's limits allow.
    fn admit(shared: &Shared, incoming: &Incoming) -> Result<InFlightGuard, Refusal> {
        let live = directory::live_gateway_count(&shared.directory.borrow());
        let gateways = live.min(subset::GATEWAYS_PER_SERVICE);
        let account = hash::of(&incoming.account);
        let (now, cost) = (shared.clock.now(), incoming.cost_tokens);
        let mut limiter = shared.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        limiter.admit(now, account, &incoming.limits, gateways, cost)?;
        shared.in_flight.send_modify(|count| *count += 1);
        Ok(InFlightGuard { shared: shared.clone(), account })
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.in_flight.send_modify(|count| *count -= 1);
        let now = self.shared.clock.now();
        let mut limiter = self.shared.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        limiter.release(now, self.account);
    }
}

/// Starts a task that drives a request. The channel receives the answer's head, or the refusal.
///
/// # Errors
///
/// The request exceeds a limit of its account, or may last longer than this process, which stops.
pub(crate) fn start(
    shared: Shared,
    incoming: Incoming,
) -> Result<oneshot::Receiver<Answer>, Refusal> {
    let received_at = shared.clock.now();
    let deadline = received_at + Millis::from(incoming.deadline);
    if !shared.accepts(&incoming.service, deadline) {
        let refusal = Refusal::not_run(Cause::Leaving).retry_after(Millis::ZERO);
        return Err(unsent(incoming.retry_policy, refusal));
    }
    let guard = InFlightGuard::admit(&shared, &incoming)?;
    let (head, answer) = oneshot::channel();
    let config = attempt::Config {
        number: shared.request_numbers.next(),
        retry_policy: incoming.retry_policy,
        max_attempts: shared.settings.attempts,
    };
    let driver = Driver {
        received_at,
        deadline,
        answer_bytes: 0,
        is_refused: false,
        attempts: Attempts::new(config),
        tried: Vec::new(),
        current: None,
        caller_channel: CallerChannel::Head(head),
        shared,
        incoming,
    };
    tokio::spawn(async move {
        driver.drive().await;
        drop(guard);
    });
    Ok(answer)
}

impl Driver {
    async fn drive(mut self) {
        with_retry_budget(&self.shared, |retry_budget| retry_budget.earn());
        let mut next = Next::Send(self.attempts.id());
        loop {
            next = match next {
                Next::Send(id) => self.send(id).await,
                Next::Settle(id) => self.settle(id).await,
                Next::Forward | Next::Ignore => match self.wait().await {
                    Some(next) => next,
                    None => break self.cancel().await,
                },
                Next::ForwardLast => break self.acknowledge().await,
                Next::Finish(refusal) => break self.finish(refusal).await,
            };
        }
        self.release().await;
        self.record_served();
    }

    /// Records what the request took, unless it did not run.
    fn record_served(&self) {
        if !self.is_refused {
            let took = self.shared.clock.now().since(self.received_at);
            let served = Served { took, answer_bytes: self.answer_bytes };
            self.shared.record_served(&self.incoming.service, served);
        }
    }

    /// Sends the newest attempt to a backend server that has not been tried. If the caller sent a
    /// ticket, sends it to the sidecar that the ticket names.
    async fn send(&mut self, id: RequestId) -> Next {
        self.release().await;
        if id.attempt > 0 && !self.incoming.body.can_resend().await {
            return self.attempts.not_routed(Refusal::not_run(Cause::BackendRefused));
        }
        let Some(choice) = self.choose().await else {
            return self.attempts.not_routed(self.unroutable());
        };
        let server = choice.server;
        self.tried.push(server);
        let Some(events) = choice.handle.register(id.number) else {
            self.release_server(server).await;
            return self.attempts.not_routed(self.unroutable());
        };
        let ticket = self.ticket(&choice);
        let frame = self.frame(id, ticket.clone());
        let handle = choice.handle;
        // An error means that the link is lost; `Event::Lost` reports that too.
        let _ = handle.sender.send(&Frame::Request(frame), &[]).await;
        self.attempts.sent();
        let credit = body::initial_credit();
        let (failed, body_failed) = mpsc::channel(1);
        let upload = self.upload(id, &handle, &credit, failed);
        self.current =
            Some(CurrentAttempt { server, handle, events, credit, ticket, upload, body_failed });
        Next::Ignore
    }

    async fn choose(&self) -> Option<Choice> {
        let router = &self.shared.router;
        // An error means that the router has ended; it is handled as no choice.
        if let Some(ticket) = &self.incoming.ticket {
            return router.send(Find(ticket.sidecar.clone())).await.ok().flatten();
        }
        let service = Arc::clone(&self.incoming.service);
        router.send(Choose { service, tried: self.tried.clone() }).await.ok().flatten()
    }

    /// The refusal if no backend server can be chosen.
    fn unroutable(&self) -> Refusal {
        unsent(self.incoming.retry_policy, attempt::no_backend_server(NO_SERVER_RETRY_AFTER))
    }

    fn ticket(&self, choice: &Choice) -> Option<Ticket> {
        match self.incoming.retry_policy {
            RetryPolicy::Unrestricted => None,
            RetryPolicy::Never => self.incoming.ticket.clone(),
            RetryPolicy::WithNewTicket => {
                let handle = &choice.handle;
                Some(tickets::new_ticket(&handle.sidecar, handle.incarnation, choice.sidecar_now))
            }
        }
    }

    fn frame(&self, id: RequestId, ticket: Option<Ticket>) -> RequestFrame {
        let left = self.deadline.since(self.shared.clock.now());
        RequestFrame {
            id: id.into(),
            service: self.incoming.service.to_string(),
            account: self.incoming.account.clone(),
            weight: self.incoming.weight,
            method: self.incoming.method.clone(),
            path: self.incoming.path.clone(),
            headers: self.incoming.headers.clone(),
            deadline_in_ms: left.0,
            priority: self.incoming.priority,
            cost_tokens: self.incoming.cost_tokens,
            credit_bytes: CREDIT_BYTES,
            ticket,
            traceparent: self.incoming.hop.traceparent(),
        }
    }

    fn upload(
        &self,
        id: RequestId,
        handle: &Handle,
        credit: &Arc<Semaphore>,
        failed: mpsc::Sender<BodyError>,
    ) -> AbortHandle {
        let body = self.incoming.body.clone();
        let sender = handle.sender.clone();
        let credit = Arc::clone(credit);
        let task = tokio::spawn(async move {
            if let Err(error) = body.upload(&sender, id, &credit).await {
                // An error means that the request has ended meanwhile.
                let _ = failed.send(error).await;
            }
        });
        task.abort_handle()
    }

    /// Waits for one event and handles it; `None` if the caller has disconnected.
    async fn wait(&mut self) -> Option<Next> {
        let wakeup = self.next_wakeup().await;
        match wakeup {
            Wakeup::CallerDisconnected => None,
            Wakeup::Deadline => Some(self.attempts.deadline()),
            Wakeup::BodyFailed(error) => Some(Next::Finish(body_refusal(error))),
            Wakeup::Event(Event::Lost) => {
                let id = self.attempts.id();
                Some(with_retry_budget(&self.shared, |retry_budget| {
                    self.attempts.link_lost(id, retry_budget)
                }))
            }
            Wakeup::Event(Event::Frame(frame, payload)) => self.handle_frame(frame, payload).await,
        }
    }

    async fn next_wakeup(&mut self) -> Wakeup {
        let Some(current) = &mut self.current else {
            debug_assert!(false, "waited without a sent attempt");
            return Wakeup::Deadline;
        };
        let disconnected = async {
            match &mut self.caller_channel {
                CallerChannel::Head(head) => head.closed().await,
                CallerChannel::Body(body) => body.closed().await,
                CallerChannel::Closed => {}
            }
        };
        tokio::select! {
            biased;
            event = current.events.recv() => Wakeup::Event(event.unwrap_or(Event::Lost)),
            () = disconnected => Wakeup::CallerDisconnected,
            Some(error) = current.body_failed.recv() => Wakeup::BodyFailed(error),
            () = self.shared.clock.sleep_until(self.deadline) => Wakeup::Deadline,
        }
    }

    async fn handle_frame(&mut self, frame: Frame, payload: Bytes) -> Option<Next> {
        match frame {
            Frame::Head(head) => {
                let next = self.attempts.head(RequestId::from(&head.id));
                if next == Next::Forward {
                    self.forward_head(head.status, head.headers)?;
                }
                Some(next)
            }
            Frame::Body(body) => {
                let next = self.attempts.body(RequestId::from(&body.id), body.sequence, body.last);
                if matches!(next, Next::Forward | Next::ForwardLast) {
                    return self.forward(next, payload).await;
                }
                Some(next)
            }
            Frame::Refused(refused) => {
                let id = RequestId::from(&refused.id);
                let (refusal, spent) = (refusal(&refused), refused.spent);
                Some(with_retry_budget(&self.shared, |retry_budget| {
                    self.attempts.refused(id, refusal, spent, retry_budget)
                }))
            }
            Frame::Credit(credit) => {
                self.add_upload_credit(&credit);
                Some(Next::Ignore)
            }
            _ => Some(Next::Ignore),
        }
    }

    fn add_upload_credit(&self, credit: &CreditFrame) {
        if let Some(current) = &self.current
            && RequestId::from(&credit.id) == self.attempts.id()
        {
            let max_additional = Semaphore::MAX_PERMITS - current.credit.available_permits();
            let more = usize::try_from(credit.more_bytes).unwrap_or(usize::MAX);
            current.credit.add_permits(more.min(max_additional / 2));
        }
    }

    fn forward_head(&mut self, status: u16, headers: Vec<Header>) -> Option<()> {
        let (sender, body) = mpsc::channel(BUFFERED_CHUNKS);
        let CallerChannel::Head(head) =
            std::mem::replace(&mut self.caller_channel, CallerChannel::Body(sender))
        else {
            debug_assert!(false, "head of an answer forwarded twice");
            return None;
        };
        head.send(Ok(Head { status, headers, body })).ok()
    }

    /// Sends a chunk to the caller, and returns its credit to the sidecar. A caller that reads
    /// slowly delays only its own answer.
    async fn forward(&mut self, next: Next, payload: Bytes) -> Option<Next> {
        if payload.is_empty() {
            return Some(next);
        }
        let CallerChannel::Body(body) = &self.caller_channel else { return None };
        let more_bytes = payload.len() as u64;
        tokio::select! {
            sent = body.send(Ok(payload)) => sent.ok()?,
            () = self.shared.clock.sleep_until(self.deadline) => return Some(self.attempts.deadline()),
        }
        self.answer_bytes += more_bytes as usize;
        if let Some(current) = &self.current {
            let credit = CreditFrame { id: self.attempts.id().into(), more_bytes };
            // An error means that the link is lost; `Event::Lost` reports that too.
            let _ = current.handle.sender.send(&Frame::Credit(credit), &[]).await;
        }
        Some(next)
    }

    /// Queries the sidecar, over a new link, for the outcome of the newest attempt.
    async fn settle(&mut self, id: RequestId) -> Next {
        let clock = self.shared.clock;
        let within = Millis(self.shared.settings.settle_ms);
        let until = self.deadline.min(clock.now() + within);
        let query = clock.timeout_at(until, self.query_verdict(id)).await;
        let verdict = query.ok().flatten();
        with_retry_budget(&self.shared, |retry_budget| {
            self.attempts.settled(id, verdict, retry_budget)
        })
    }

    async fn query_verdict(&mut self, id: RequestId) -> Option<Verdict> {
        let current = self.current.as_ref()?;
        let lost_epoch = current.handle.epoch;
        let incarnation = current.handle.incarnation;
        let mut link = self.shared.router.send(WatchLink(current.server)).await.ok()?;
        let is_new =
            |link: &Option<Handle>| link.as_ref().is_some_and(|link| link.epoch > lost_epoch);
        let handle = link.wait_for(is_new).await.ok()?.clone()?;
        if handle.incarnation != incarnation {
            // Only the incarnation that received the attempt knows its outcome.
            return None;
        }
        let mut events = handle.register(id.number)?;
        let frame = SettleFrame { id: id.into(), ticket: current.ticket.clone() };
        handle.sender.send(&Frame::Settle(frame), &[]).await.ok()?;
        loop {
            match events.recv().await? {
                Event::Frame(Frame::Settled(settled), _) if RequestId::from(&settled.id) == id => {
                    handle.deregister(id.number);
                    return Some(settled.verdict);
                }
                Event::Frame(..) => {}
                Event::Lost => return None,
            }
        }
    }

    /// Sends the final answer to the caller, and cancels an attempt that may still run.
    async fn finish(&mut self, refusal: Refusal) {
        self.incoming.hop.add_attribute("hooktrestle.verdict", refusal.verdict.to_string());
        self.incoming.hop.add_attribute("hooktrestle.cause", refusal.cause.to_string());
        match std::mem::replace(&mut self.caller_channel, CallerChannel::Closed) {
            CallerChannel::Head(head) => {
                // An error means that the caller has disconnected.
                let _ = head.send(Err(refusal));
            }
            CallerChannel::Body(body) => {
                let _ = tokio::time::timeout(Duration::from_secs(1), body.send(Err(refusal))).await;
            }
            CallerChannel::Closed => {}
        }
        if refusal.verdict == Verdict::NotRun {
            self.is_refused = true;
            self.acknowledge().await;
        } else {
            self.cancel().await;
        }
    }

    async fn cancel(&mut self) {
        self.send_frame(Frame::Cancel(IdFrame { id: self.attempts.id().into() })).await;
    }

    async fn acknowledge(&mut self) {
        self.send_frame(Frame::Ack(IdFrame { id: self.attempts.id().into() })).await;
    }

    async fn send_frame(&mut self, frame: Frame) {
        if let Some(current) = &self.current {
            // An error means that the link is lost. The sidecar detects that too, and aborts the
            // attempt.
            let _ = current.handle.sender.send(&frame, &[]).await;
        }
    }

    /// Stops the upload of the newest attempt, and releases its link and backend server.
    async fn release(&mut self) {
        if let Some(current) = self.current.take() {
            current.upload.abort();
            current.handle.deregister(self.attempts.id().number);
            self.release_server(current.server).await;
        }
    }

    async fn release_server(&self, server: Key<Server>) {
        // An error means that the router has ended; it has no counts to update.
        let _ = self.shared.router.send(Release(server)).await;
    }
}

/// The refusal of a request that this gateway has not sent. A ticket that the caller sent may have
/// run earlier: this gateway does not know.
fn unsent(retry_policy: RetryPolicy, refusal: Refusal) -> Refusal {
    match retry_policy {
        RetryPolicy::Never => Refusal { verdict: Verdict::MayHaveRun, ..refusal },
        RetryPolicy::Unrestricted | RetryPolicy::WithNewTicket => refusal,
    }
}

fn with_retry_budget<T>(shared: &Shared, apply: impl FnOnce(&mut RetryBudget) -> T) -> T {
    apply(&mut shared.retry_budget.lock().unwrap_or_else(PoisonError::into_inner))
}

fn refusal(frame: &RefusedFrame) -> Refusal {
    Refusal {
        verdict: frame.verdict,
        cause: frame.cause,
        retry_after: frame.retry_after_ms.map(Millis),
    }
}

/// A body is sent to the backend server while it arrives, so the request may have run on a part of
/// it.
fn body_refusal(error: BodyError) -> Refusal {
    match error {
        BodyError::Truncated => Refusal::may_have_run(Cause::Cancelled),
        BodyError::TooLarge => Refusal::may_have_run(Cause::TooLarge),
    }
}
