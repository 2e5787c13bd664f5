//! One attempt at one backend server: sent on a kept connection or a new one, up to the head of
//! the answer.

use std::future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::attempts::Fate;
use hooktrestle_core::direct::overtaken;
use hooktrestle_core::direct::pool::AttemptOutcome;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::util::arena::Key;
use hooktrestle_schema::ConnectionStep;
use hooktrestle_schema::LimitStep;
use hooktrestle_schema::OtherAnswerStep;
use hooktrestle_schema::RestStep;
use http::HeaderValue;
use http::Response;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time;

use crate::connections::Connection;
use crate::gateway::Gateway;
use crate::gateway::crashes::Progress;
use crate::gateway::limits::Permit;
use crate::headers;
use crate::platform::HeaderNames;
use crate::platform::Platform;
use crate::request::Request;

/// Longest time for the rest of a refusal; its bytes come with its head.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after a standstill in which answers that came meanwhile may wait to be read.
const NOT_READ_YET: Millis = Millis(200);

/// A server's part in a request; tells the pool how it ended, also when it is dropped on the way. Without a permit it is
/// given back.
pub struct Turn<P: Platform> {
    gateway: Rc<Gateway<P>>,
    server: Key<Server>,
    /// The work of the request over that of a usual one.
    cost: f64,
    permit: Option<Permit>,
    /// When its request is given up.
    deadline: Millis,
    /// How it ended, once that is known.
    ending: Option<AttemptOutcome>,
}

impl<P: Platform> Turn<P> {
    /// The pool gave a turn to `server`, for a request that is given up at `deadline`.
    pub fn new(
        gateway: Rc<Gateway<P>>,
        server: Key<Server>,
        cost: f64,
        deadline: Millis,
    ) -> Turn<P> {
        Turn { gateway, server, cost, permit: None, deadline, ending: None }
    }

    /// Gets leave to send the request; `None` if there is none for now.
    pub async fn permitted(mut self) -> Option<Turn<P>> {
        self.permit = Some(self.gateway.permit(self.server).await?);
        Some(self)
    }

    /// Whether its request may be sent: the server may have asked for a rest or named a limit since it was
    /// chosen, and the permit may be too old by now.
    fn may_send(&self, now: Millis) -> bool {
        let Turn { gateway, server, permit, .. } = self;
        let has_permit = permit.is_some_and(|permit| permit.is_valid(now));
        gateway.with_pool(|pool| {
            pool.accepts(*server, now) && (pool.limit(*server).is_none() || has_permit)
        })
    }

    /// The server.
    pub fn server(&self) -> Key<Server> {
        self.server
    }

    /// Notes how it ended.
    pub fn end(&mut self, ending: AttemptOutcome) {
        self.ending = Some(ending);
    }
}

impl<P: Platform> Drop for Turn<P> {
    fn drop(&mut self) {
        if self.permit.is_none() {
            // Nothing was sent; its caller may have left as permits were asked for.
            return self.gateway.with_pool(|pool| pool.undo_choice(self.server, self.cost));
        }
        let now = self.gateway.now();
        // Without an answer the caller left, which says nothing of the server, or its time was over.
        let unanswered =
            if now >= self.deadline { AttemptOutcome::Lost } else { AttemptOutcome::Abandoned };
        let ending = self.ending.unwrap_or(unanswered);
        self.gateway.with_pool(|pool| pool.ended(self.server, ending, now));
    }
}

/// An answer that has begun.
pub struct Answer<P: Platform> {
    /// Its head.
    pub head: Parts,
    /// Its body, as it comes.
    pub body: Incoming,
    /// The connection that it comes on; closed if dropped.
    pub connection: Connection,
    /// The server's part in it.
    pub turn: Turn<P>,
    /// When it began.
    pub began: Millis,
}

impl<P: Platform> Answer<P> {
    /// The body was read to its end: the connection can serve another request.
    pub fn recycle(self, gateway: &Gateway<P>) {
        gateway.connections.keep(self.connection);
    }
}

/// Sends a request to a server, and waits for the head of its answer.
///
/// # Errors
///
/// There is no answer for the caller; what became of the attempt is said.
pub async fn attempt<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: &Request<P>,
    turn: Turn<P>,
    after_event: Option<u64>,
) -> Result<Answer<P>, Fate> {
    let mut turn = turn;
    let sent = send(gateway, request, &turn, after_event).await;
    let Sent { response, mut connection, reused, sent_at } = match sent {
        Ok(sent) => sent,
        Err(NoAnswer { fate, ending }) => {
            turn.end(ending);
            return Err(fate);
        }
    };
    let (head, body) = response.into_parts();
    connection.note_answer(&head.headers);
    let names = gateway.platform.headers();
    let asks_rest = note_server_notices(gateway, request, turn.server(), &head);
    note_limit(gateway, request, turn.server(), &head, sent_at);
    if !is_answer_to(request, names, &head, reused) {
        turn.end(AttemptOutcome::Lost);
        let step = OtherAnswerStep { server_number: turn.server().number() };
        gateway.event_log.request(request.id_text(), step);
        return Err(Fate::MayHaveRun);
    }
    gateway.note_server_answered(turn.server(), sent_at);
    note_load(gateway, turn.server(), &head);
    if is_refusal(gateway, &head) {
        let ending = if asks_rest { AttemptOutcome::Full } else { refusal(gateway, &head) };
        turn.end(ending);
        if ending == AttemptOutcome::Stalled {
            gateway.stall_detected.notify_one();
            gateway.note_outage_began(&request.service);
        }
        drain(gateway, body, connection);
        return Err(Fate::NotRun);
    }
    if head.status.is_success() && !head.headers.contains_key(&names.signature) {
        turn.end(AttemptOutcome::Lost);
        return Err(Fate::MayHaveRun);
    }
    let failed = head.status.is_server_error();
    turn.end(if failed { AttemptOutcome::Failed } else { AttemptOutcome::Answered });
    gateway.note_outage_ended(&request.service);
    gateway.with_pool(|pool| pool.record_answer(turn.server()));
    let now = gateway.now();
    gateway.with_heads(&request.service, |heads| heads.began(turn.server(), sent_at, now));
    Ok(Answer { head, body, connection, turn, began: now })
}

/// Waits until a request that was sent to a server is overtaken by others; for ever where it may
/// not be sent again.
async fn overtaken<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<P>,
    server: Key<Server>,
    sent_at: Millis,
) {
    if !request.route().is_repeatable() {
        return future::pending().await;
    }
    loop {
        let now = gateway.now();
        let next = gateway.with_heads(&request.service, |heads| heads.next(server, sent_at, now));
        match next {
            overtaken::Next::Wait(until) => gateway.clock.sleep_until(until).await,
            // What was answered while this process stood still has not been read yet.
            overtaken::Next::GiveUp if gateway.recent_suspension(NOT_READ_YET).is_some() => {
                time::sleep(Duration::from(NOT_READ_YET)).await;
            }
            overtaken::Next::GiveUp => return,
        }
    }
}

/// Whether an answer belongs to the request. One that does not say so can on a new connection only.
fn is_answer_to<P: Platform>(
    request: &Request<P>,
    names: &HeaderNames,
    head: &Parts,
    reused: bool,
) -> bool {
    let answered = head.headers.get(&names.request_id);
    answered.map_or(!reused, |id| *id == request.id)
}

/// Whether the server says that it did not run the request.
fn is_refusal<P: Platform>(gateway: &Gateway<P>, head: &Parts) -> bool {
    head.headers.contains_key(&gateway.platform.headers().not_run)
        || gateway.platform.is_other_server(head.status.as_u16())
}

/// A request that was sent, up to the head of an answer.
struct Sent {
    response: Response<Incoming>,
    connection: Connection,
    /// Whether an earlier request was answered on the connection.
    reused: bool,
    /// When it was sent.
    sent_at: Millis,
}

/// A request that got no head of an answer.
struct NoAnswer {
    fate: Fate,
    ending: AttemptOutcome,
}

impl NoAnswer {
    /// Nothing was sent, or the connection was lost.
    fn of_connection(unsent: bool) -> NoAnswer {
        if unsent {
            NoAnswer { fate: Fate::NotSent, ending: AttemptOutcome::Unreachable }
        } else {
            NoAnswer { fate: Fate::MayHaveRun, ending: AttemptOutcome::Lost }
        }
    }
}

/// Sends on an idle connection where one is left, else on a new one. Requests that must not run
/// twice get a new one always: on a kept one they may cross its close, or meet an answer that
/// belongs to an earlier request, and could not be sent again.
async fn send<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: &Request<P>,
    turn: &Turn<P>,
    after_event: Option<u64>,
) -> Result<Sent, NoAnswer> {
    let server = turn.server();
    loop {
        let kept =
            if request.route().is_repeatable() { gateway.connections.idle(server) } else { None };
        let fresh = kept.is_none();
        let mut connection = match kept {
            Some(connection) => connection,
            None => open(gateway, server).await?,
        };
        let now = gateway.now();
        if now >= request.deadline || !turn.may_send(now) {
            gateway.connections.keep(connection);
            return Err(NoAnswer { fate: Fate::NotSent, ending: AttemptOutcome::Abandoned });
        }
        let reused = connection.used();
        let message = message(gateway, request, server, after_event);
        let sent_at = gateway.now();
        let answered = tokio::select! {
            biased;
            answered = connection.sender().try_send_request(message) => answered,
            () = overtaken(gateway, request, server, sent_at) => {
                gateway.metrics.overtaken.inc();
                gateway.note_truncated(server, request.fingerprint, Progress::Sent(sent_at)).await;
                return Err(NoAnswer { fate: Fate::MayHaveRun, ending: AttemptOutcome::Overtaken });
            }
        };
        match answered {
            Ok(response) => {
                gateway.metrics.attempts.inc();
                return Ok(Sent { response, connection, reused, sent_at });
            }
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                if !unsent {
                    gateway
                        .note_truncated(server, request.fingerprint, Progress::Sent(sent_at))
                        .await;
                }
                if unsent && !fresh {
                    // The server had closed the kept connection: nothing was written.
                    continue;
                }
                let error = error.error().to_string();
                let step = ConnectionStep {
                    fingerprint_number: request.fingerprint.0,
                    server_number: server.number(),
                    fresh,
                    unsent,
                    error,
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
    let left = request.deadline.since(gateway.now()).max(Millis(1));
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left.0));
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

/// Notes the load that a server tells: requests that run and requests that wait.
fn note_load<P: Platform>(gateway: &Gateway<P>, server: Key<Server>, head: &Parts) {
    let Some(text) = headers::text(&head.headers, &gateway.platform.headers().load) else { return };
    let mut counts = text.split(',').filter_map(|count| count.trim().parse::<u32>().ok());
    if let (Some(running), Some(queued)) = (counts.next(), counts.next()) {
        let now = gateway.now();
        gateway.with_pool(|pool| pool.record_load(server, running, queued, now));
    }
}

/// Takes note of what a server asks; returns whether that is a rest.
fn note_server_notices<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<P>,
    server: Key<Server>,
    head: &Parts,
) -> bool {
    let Some(asked) = gateway.note_server_notices(server, head) else { return false };
    let step = RestStep { server_number: server.number(), asked: asked.to_owned() };
    gateway.event_log.request(request.id_text(), step);
    true
}

/// Takes note of how many requests a server takes, and logs it where that is news.
fn note_limit<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<P>,
    server: Key<Server>,
    head: &Parts,
    sent_at: Millis,
) {
    let lifts = head.status.is_success();
    if let Some(named) = gateway.note_limit(server, head, sent_at, lifts) {
        let step = LimitStep { server_number: server.number(), named: named.to_owned() };
        gateway.event_log.request(request.id_text(), step);
    }
}

/// How a refusal ends the server's part.
fn refusal<P: Platform>(gateway: &Gateway<P>, head: &Parts) -> AttemptOutcome {
    if gateway.platform.is_other_server(head.status.as_u16()) {
        return AttemptOutcome::Replaced;
    }
    // A server that is full tells its load; one whose group stands still has room, and refuses.
    let load = headers::text(&head.headers, &gateway.platform.headers().load);
    let waiting = load.and_then(|text| text.split(',').nth(1)?.trim().parse::<u32>().ok());
    if waiting.is_some_and(|waiting| waiting > 0) {
        AttemptOutcome::Full
    } else {
        AttemptOutcome::Stalled
    }
}

/// Reads a refusal to its end, so that its connection can be kept.
fn drain<P: Platform>(gateway: &Rc<Gateway<P>>, body: Incoming, connection: Connection) {
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        if let Ok(Ok(_)) = time::timeout(DRAIN_TIMEOUT, body.collect()).await {
            gateway.connections.keep(connection);
        }
    });
}
