//! One attempt at one backend server: takes a request and a chosen server, and gives the head of
//! the answer or the fate of the attempt. Its state is an [`AttemptGuard`] and a connection, pooled
//! or new. It decides whether the request may be sent, and which outcome the pool records.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::answer_ends;
use hooktrestle_core::direct::answer_ends::AnswerEnd;
use hooktrestle_core::direct::attempts::Fate;
use hooktrestle_core::direct::fingerprint::Fingerprints;
use hooktrestle_core::direct::pool::AttemptOutcome;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::shared_faults;
use hooktrestle_core::direct::shared_faults::Repeatability;
use hooktrestle_core::util::arena::Key;
use hooktrestle_schema::ConnectionStep;
use hooktrestle_schema::Framing;
use hooktrestle_schema::LimitStep;
use hooktrestle_schema::OtherAnswerStep;
use hooktrestle_schema::RestStep;
use http::HeaderValue;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use tokio::time;

use crate::bounded::BoundedBody;
use crate::bounded::ReceivedAnswer;
use crate::connections::Connection;
use crate::gateway::Gateway;
use crate::gateway::crashes::Completion;
use crate::gateway::crashes::Progress;
use crate::gateway::limits::Permit;
use crate::headers;
use crate::platform::HeaderNames;
use crate::platform::Platform;
use crate::request::Request;
use crate::request_progress::RequestProgress;

/// Maximum time to read the body of a refusal, which arrives together with its head.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum size of the body of a refusal. The connection of a larger one is closed.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// An attempt at a server that the pool has chosen. Dropping it reports the outcome to the pool,
/// also when the attempt was cancelled. Without a permit, dropping it undoes the choice of the
/// server.
pub struct AttemptGuard<P: Platform> {
    gateway: Rc<Gateway<P>>,
    server: Key<Server>,
    /// Estimated work of the request, relative to a typical request.
    cost: f64,
    /// Whether the request may be sent again, if its answer is no stream.
    repeatability: Option<Repeatability>,
    permit: Option<Permit>,
    /// Deadline of the request.
    deadline: Millis,
    /// When the attempt began, and the latency objective of the request.
    began_at: Millis,
    objective: Millis,
    /// Whether a connection to the server was open.
    connected: Cell<bool>,
    fingerprints: Fingerprints,
    /// How far the request got at the server, until the end of the answer or a failure is recorded.
    progress: Cell<Option<Progress>>,
    /// How far the request is for its caller.
    request: Rc<RequestProgress>,
    /// Outcome of the attempt, once it is known.
    outcome: Option<AttemptOutcome>,
    /// Outcome if the attempt is given up before it is known.
    outcome_if_left: Rc<Cell<Option<AttemptOutcome>>>,
}

impl<P: Platform> AttemptGuard<P> {
    /// An attempt of `request` at `server`, which the pool has chosen for it.
    pub fn new(
        gateway: Rc<Gateway<P>>,
        server: Key<Server>,
        request: &Request<P>,
    ) -> AttemptGuard<P> {
        let plain = request.demand(&[]).plain;
        AttemptGuard {
            server,
            cost: request.cost,
            repeatability: plain.map(|plain| plain.repeatability),
            permit: None,
            deadline: request.deadline,
            began_at: gateway.now(),
            objective: request.route().objective_ms,
            connected: Cell::new(false),
            fingerprints: request.fingerprints.clone(),
            progress: Cell::new(None),
            request: request.progress.clone(),
            outcome: None,
            outcome_if_left: Rc::default(),
            gateway,
        }
    }

    /// Acquires a permit to send the request; `None` if none is available now.
    pub async fn acquire_permit(mut self) -> Option<AttemptGuard<P>> {
        self.permit = Some(self.gateway.permit(self.server).await?);
        self.gateway.in_flight.begin_attempt();
        self.request.begin_attempt(self.server);
        Some(self)
    }

    /// Whether the request may still be sent. Since the server was chosen, the server may have
    /// requested a back-off or advertised a limit, and the permit may have expired.
    fn may_send(&self, now: Millis) -> bool {
        let AttemptGuard { gateway, server, permit, .. } = self;
        let has_permit = permit.is_some_and(|permit| permit.is_valid(now));
        gateway.with_pool(|pool| {
            pool.accepts(*server, now) && (!pool.is_limited(*server, now) || has_permit)
        })
    }

    /// The outcome that is reported if the attempt is given up before it has one.
    pub fn outcome_if_left(&self) -> Rc<Cell<Option<AttemptOutcome>>> {
        self.outcome_if_left.clone()
    }

    /// The server of the attempt.
    pub fn server(&self) -> Key<Server> {
        self.server
    }

    /// Sets how far the request got, or `None` once its end is recorded elsewhere.
    pub fn set_progress(&self, progress: Option<Progress>) {
        self.progress.set(progress);
    }

    /// Sets the outcome that is reported to the pool.
    pub fn end(&mut self, outcome: AttemptOutcome) {
        self.outcome = Some(outcome);
    }
}

impl<P: Platform> Drop for AttemptGuard<P> {
    fn drop(&mut self) {
        if self.permit.is_none() {
            // Nothing was sent. The caller may have disconnected while a permit was requested.
            return self.gateway.with_pool(|pool| pool.undo_choice(self.server, self.cost));
        }
        self.gateway.in_flight.end_attempt();
        self.request.end_attempt();
        let outcome = self.outcome.or(self.outcome_if_left.get());
        if let Some(progress) = self.progress.get().filter(|_| self.outcome_if_left.get().is_none())
        {
            self.gateway.record_ended_attempt(self.server, &self.fingerprints, progress);
        }
        let now = self.gateway.now();
        // Without an outcome, either the deadline has passed or the caller has disconnected. The
        // latter is no evidence about the server.
        let unanswered =
            if now >= self.deadline { AttemptOutcome::Lost } else { AttemptOutcome::Abandoned };
        let reported = outcome.unwrap_or(unanswered);
        self.gateway.with_pool(|pool| pool.ended(self.server, reported, now));
        if has_run(reported) {
            let lasted = now.since(self.began_at);
            self.gateway.count_attempt(self.server, &self.fingerprints, lasted);
        }
        let Some(repeatability) = self.repeatability else { return };
        let is_fault = match outcome {
            Some(outcome) => shared_faults::is_fault(outcome, repeatability),
            None => {
                let waited = now.since(self.began_at);
                let waited_long = waited > self.objective;
                waited_long
                    && shared_faults::is_silence_a_fault(self.connected.get(), repeatability)
            }
        };
        if is_fault {
            self.gateway.record_fault(self.server);
        }
    }
}

/// Whether a server may have run an attempt with this outcome.
fn has_run(outcome: AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Answered
        | AttemptOutcome::Abandoned
        | AttemptOutcome::Failed
        | AttemptOutcome::Overtaken
        | AttemptOutcome::Lost => true,
        AttemptOutcome::Full
        | AttemptOutcome::Stalled
        | AttemptOutcome::Replaced
        | AttemptOutcome::Unreachable => false,
    }
}

/// An answer whose head was received.
pub struct Answer<P: Platform> {
    /// Its head.
    pub head: Parts,
    /// Its body, as it is received.
    pub body: BoundedBody,
    /// The connection it is received on; closed if dropped.
    pub connection: Connection,
    /// The attempt that it answers.
    pub guard: AttemptGuard<P>,
    /// When its head was received.
    pub began_at: Millis,
    /// What delimits its body.
    pub framing: Framing,
}

impl<P: Platform> Answer<P> {
    /// Puts the connection back for reuse; the body must have been read to its end.
    pub fn recycle(self, gateway: &Gateway<P>) {
        gateway.connections.put_back(self.connection);
    }

    /// Whether the end of the body, if it is no stream, shows that the answer is complete.
    pub fn completion(&self) -> Completion {
        match answer_ends::of_body(self.framing) {
            AnswerEnd::Complete => Completion::Confirmed,
            AnswerEnd::Unconfirmed | AnswerEnd::Truncated => Completion::Unconfirmed,
        }
    }

    /// Whether the answer is complete, once the body has ended: an end that does not show it counts if
    /// the server is still up.
    pub async fn is_complete(&self, gateway: &Rc<Gateway<P>>) -> bool {
        self.completion() == Completion::Confirmed
            || !gateway.has_crashed(self.guard.server()).await
    }

    /// Records that a body that is no stream was read to its end.
    pub fn record_completed(&self, gateway: &Rc<Gateway<P>>, request: &Request<P>) {
        if self.head.status.is_success() {
            self.guard.set_progress(None);
            let (server, completion) = (self.guard.server(), self.completion());
            gateway.record_completed_request(server, &request.fingerprints, completion);
        }
    }

    /// Closes the connection, and records that the answer was truncated.
    pub async fn record_truncated(self, gateway: &Rc<Gateway<P>>, request: &Request<P>) {
        let Answer { body, connection, mut guard, began_at, .. } = self;
        // A server that sends without end does so until its connection is closed.
        drop((body, connection));
        guard.end(AttemptOutcome::Lost);
        guard.set_progress(None);
        let (server, progress) = (guard.server(), Progress::Running(began_at));
        gateway.record_truncated_answer(server, &request.fingerprints, progress).await;
    }
}

/// Sends a request to a server and waits for the head of the answer.
///
/// # Errors
///
/// There is no answer for the caller; the error is the fate of the attempt.
pub async fn attempt<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: &Request<P>,
    guard: AttemptGuard<P>,
    after_event: Option<u64>,
) -> Result<Answer<P>, Fate> {
    let mut guard = guard;
    let sent = send(gateway, request, &guard, after_event).await;
    let Sent { answer, mut connection, reused, sent_at } = match sent {
        Ok(sent) => sent,
        Err(NoAnswer { fate, outcome }) => {
            guard.end(outcome);
            return Err(fate);
        }
    };
    let ReceivedAnswer { head, body, framing } = answer;
    connection.on_answer(&head.headers);
    let names = gateway.platform.headers();
    let requests_back_off = record_back_off(gateway, request, guard.server(), &head);
    record_limit(gateway, request, guard.server(), &head, sent_at);
    if !is_answer_to(request, names, &head, reused) {
        guard.set_progress(None);
        guard.end(AttemptOutcome::Lost);
        let step = OtherAnswerStep { server_number: guard.server().number() };
        gateway.event_log.request(request.id_text(), step);
        return Err(Fate::MayHaveRun);
    }
    gateway.record_server_answer(guard.server(), sent_at);
    record_server_load(gateway, guard.server(), &head);
    if is_refusal(gateway, &head) {
        guard.set_progress(None);
        let outcome =
            if requests_back_off { AttemptOutcome::Full } else { refusal_outcome(gateway, &head) };
        guard.end(outcome);
        if outcome == AttemptOutcome::Stalled {
            gateway.stall_detected.notify_one();
            gateway.record_outage_began(&request.service);
        }
        drain(gateway, body, connection);
        return Err(Fate::NotRun);
    }
    if head.status.is_success() && !head.headers.contains_key(&names.signature) {
        guard.end(AttemptOutcome::Lost);
        return Err(Fate::MayHaveRun);
    }
    let failed = head.status.is_server_error();
    guard.end(if failed { AttemptOutcome::Failed } else { AttemptOutcome::Answered });
    gateway.record_outage_ended(&request.service);
    gateway.with_pool(|pool| pool.record_answer(guard.server()));
    let now = gateway.now();
    // A server may report a failure before its engine has the request.
    if head.status.is_success() {
        guard.set_progress(Some(Progress::Starting(now)));
    }
    gateway.with_heads(&request.service, |heads| heads.began(guard.server(), sent_at, now));
    if !request.is_stream() {
        record_duration(gateway, request, guard.server(), now.since(sent_at));
    }
    if framing == Framing::Connection {
        gateway.metrics.answers_unframed.inc();
    }
    Ok(Answer { head, body, connection, guard, began_at: now, framing })
}

/// Records how long a server took for a request that is no stream. An answer that alone took longer
/// than the latency objective is a fault of the server.
fn record_duration<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<P>,
    server: Key<Server>,
    took: Millis,
) {
    gateway.with_pool(|pool| pool.record_duration(server, took));
    if took > request.route().objective_ms {
        gateway.record_fault(server);
    }
}

/// Whether an answer belongs to the request. An answer without a request id is accepted only on a
/// new connection, which has carried no earlier request.
fn is_answer_to<P: Platform>(
    request: &Request<P>,
    names: &HeaderNames,
    head: &Parts,
    reused: bool,
) -> bool {
    let answered = head.headers.get(&names.request_id);
    answered.map_or(!reused, |id| *id == request.id)
}

/// Whether the head states that the server did not run the request.
fn is_refusal<P: Platform>(gateway: &Gateway<P>, head: &Parts) -> bool {
    head.headers.contains_key(&gateway.platform.headers().not_run)
        || gateway.platform.is_other_server(head.status.as_u16())
}

/// A request that was sent, with the head of its answer.
struct Sent {
    answer: ReceivedAnswer,
    connection: Connection,
    /// Whether an earlier request was answered on the connection.
    reused: bool,
    /// When it was sent.
    sent_at: Millis,
}

/// An attempt without the head of an answer.
struct NoAnswer {
    fate: Fate,
    outcome: AttemptOutcome,
}

impl NoAnswer {
    /// For a connection that failed: before the request was sent (`unsent`), or later.
    fn of_connection(unsent: bool) -> NoAnswer {
        if unsent {
            NoAnswer { fate: Fate::NotSent, outcome: AttemptOutcome::Unreachable }
        } else {
            NoAnswer { fate: Fate::MayHaveRun, outcome: AttemptOutcome::Lost }
        }
    }
}

/// Sends a request on an idle connection if there is one, else on a new one. A request that must
/// not run twice always gets a new connection: on an idle one it may cross the server's close, or
/// get an answer that belongs to an earlier request, and it could not be sent again.
async fn send<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: &Request<P>,
    guard: &AttemptGuard<P>,
    after_event: Option<u64>,
) -> Result<Sent, NoAnswer> {
    let server = guard.server();
    loop {
        let pooled =
            if request.route().is_repeatable() { gateway.connections.idle(server) } else { None };
        let fresh = pooled.is_none();
        let mut connection = match pooled {
            Some(connection) => connection,
            None => open(gateway, server).await?,
        };
        guard.connected.set(true);
        let now = gateway.now();
        if now >= request.deadline || !guard.may_send(now) {
            gateway.connections.put_back(connection);
            return Err(NoAnswer { fate: Fate::NotSent, outcome: AttemptOutcome::Abandoned });
        }
        let reused = connection.used();
        let message = message(gateway, request, server, after_event);
        let sent_at = gateway.now();
        guard.set_progress(Some(Progress::Sent(sent_at)));
        let answered = connection.sender().send_request(message).await;
        match answered {
            Ok(answer) => {
                gateway.metrics.attempts.inc();
                return Ok(Sent { answer, connection, reused, sent_at });
            }
            Err(error) => {
                // A server that sends without end does so until its connection is closed.
                drop(connection);
                guard.set_progress(None);
                let unsent = error.is_unsent();
                if !unsent {
                    gateway
                        .record_truncated_answer(
                            server,
                            &request.fingerprints,
                            Progress::Sent(sent_at),
                        )
                        .await;
                }
                if unsent && !fresh {
                    // The server had closed the idle connection; nothing was written to it.
                    continue;
                }
                let step = ConnectionStep {
                    fingerprint_number: request.fingerprints.whole.0,
                    server_number: server.number(),
                    fresh,
                    unsent,
                    error: error.to_string(),
                };
                gateway.event_log.request(request.id_text(), step);
                return Err(NoAnswer::of_connection(unsent));
            }
        }
    }
}

async fn open<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
) -> Result<Connection, NoAnswer> {
    let address = gateway.with_pool(|pool| pool.server(server).listed.address);
    gateway.metrics.connections_opened.inc();
    Connection::open(server, address).await.map_err(|_| NoAnswer::of_connection(true))
}

fn message<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<P>,
    server: Key<Server>,
    after_event: Option<u64>,
) -> http::Request<Full<Bytes>> {
    let names = gateway.platform.headers();
    let mut message = http::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let mut headers = request.headers.clone();
    let remaining = request.deadline.since(gateway.now()).max(Millis(1));
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(remaining.0));
    let id = gateway.with_pool(|pool| HeaderValue::from_str(&pool.server(server).listed.id));
    if let Ok(id) = id {
        headers.insert(names.expect_server.clone(), id);
    }
    if let Some(event) = after_event {
        headers.insert(names.last_event_id.clone(), HeaderValue::from(event));
    }
    *message.headers_mut() = headers;
    message
}

/// Records the load that a server reports: its running and its queued requests.
fn record_server_load<P: Platform>(gateway: &Gateway<P>, server: Key<Server>, head: &Parts) {
    let Some(text) = headers::text(&head.headers, &gateway.platform.headers().load) else { return };
    let mut counts = text.split(',').filter_map(|count| count.trim().parse::<u32>().ok());
    if let (Some(running), Some(queued)) = (counts.next(), counts.next()) {
        let now = gateway.now();
        gateway.with_pool(|pool| pool.record_load(server, running, queued, now));
    }
}

/// Records what a server announces in the head of an answer, and logs a requested back-off; returns
/// whether there is one.
fn record_back_off<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<P>,
    server: Key<Server>,
    head: &Parts,
) -> bool {
    let Some(requested) = gateway.record_server_notices(server, head) else { return false };
    let step = RestStep { server_number: server.number(), asked: requested.to_owned() };
    gateway.event_log.request(request.id_text(), step);
    true
}

/// Records the limit that a server advertises, and logs it if it has changed.
fn record_limit<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<P>,
    server: Key<Server>,
    head: &Parts,
    sent_at: Millis,
) {
    let lifts = head.status.is_success();
    if let Some(advertised) = gateway.record_advertised_limit(server, head, sent_at, lifts) {
        let step = LimitStep { server_number: server.number(), named: advertised.to_owned() };
        gateway.event_log.request(request.id_text(), step);
    }
}

/// The outcome of an attempt that the server refused.
fn refusal_outcome<P: Platform>(gateway: &Gateway<P>, head: &Parts) -> AttemptOutcome {
    if gateway.platform.is_other_server(head.status.as_u16()) {
        return AttemptOutcome::Replaced;
    }
    // A full server reports queued requests. A server whose group is stalled refuses without any.
    let load = headers::text(&head.headers, &gateway.platform.headers().load);
    let queued_requests = load.and_then(|text| text.split(',').nth(1)?.trim().parse::<u32>().ok());
    if queued_requests.is_some_and(|queued_requests| queued_requests > 0) {
        AttemptOutcome::Full
    } else {
        AttemptOutcome::Stalled
    }
}

/// Reads the body of a refusal to its end, so that its connection can be reused.
fn drain<P: Platform>(gateway: &Rc<Gateway<P>>, body: BoundedBody, connection: Connection) {
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        let rest = Limited::new(body, MAX_REFUSAL_BYTES).collect();
        if let Ok(Ok(_)) = time::timeout(DRAIN_TIMEOUT, rest).await {
            gateway.connections.put_back(connection);
        }
    });
}
