//! A request's way to its one answer: attempts at servers, as often as is allowed.

use std::rc::Rc;

use bytes::Bytes;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::attempts::Attempts;
use hooktrestle_core::direct::attempts::Fate;
use hooktrestle_core::direct::attempts::Next;
use hooktrestle_core::direct::pool::AttemptOutcome;
use hooktrestle_core::verdict::Refusal;
use hooktrestle_schema::AttemptStep;
use hooktrestle_schema::Cause;
use http::StatusCode;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Limited;

use crate::exchange;
use crate::exchange::Answer;
use crate::exchange::Turn;
use crate::gateway::Gateway;
use crate::gateway::crashes::Progress;
use crate::platform::Platform;
use crate::request::Request;

/// Largest answer that is read whole before it is passed on. Larger ones cannot be sent again once
/// they have begun; the users' answers have a few kilobytes.
const WHOLE_BYTES: usize = 4 << 20;

/// Longest wait for a permit, where no other server is left: an eighth of the usual objective. Who waits longer is told
/// to come back.
pub const MOST_WAIT: Millis = Millis(50);

/// What the caller gets.
pub enum Reply<P: Platform> {
    /// A whole answer of a server.
    Whole(Parts, Bytes),
    /// A stream of events that has begun, with the attempts that it took.
    Stream(Answer<P>, Attempts),
    /// A refusal or failure of our own.
    Refused(Refusal),
}

/// Finds the answer to a request, at its deadline at the latest.
pub async fn forward<P: Platform>(gateway: &Rc<Gateway<P>>, request: &Request<P>) -> Reply<P> {
    gateway.count_request(&request.service);
    let route = request.route();
    let mut attempts = Attempts::new(route.max_attempts, route.is_repeatable());
    let trying = try_servers(gateway, request, &mut attempts);
    let tried = gateway.clock.timeout_at(request.deadline, trying).await;
    match tried {
        Ok(Tried::Whole(head, body)) => Reply::Whole(head, body),
        Ok(Tried::Stream(answer)) => Reply::Stream(answer, attempts),
        Ok(Tried::Refused(refusal)) => Reply::Refused(refusal),
        Err(_) => Reply::Refused(attempts.refuse(Cause::DeadlinePassed)),
    }
}

enum Tried<P: Platform> {
    Whole(Parts, Bytes),
    Stream(Answer<P>),
    Refused(Refusal),
}

async fn try_servers<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: &Request<P>,
    attempts: &mut Attempts,
) -> Tried<P> {
    // A server's answer that says it failed, for want of a better one.
    let mut failure = None;
    loop {
        // The machine may have been suspended since; what waits for an answer at a server waits on.
        if gateway.now() >= request.deadline {
            return Tried::Refused(attempts.refuse(Cause::DeadlinePassed));
        }
        if let Some((cause, left)) = gateway.crash_refusal(request.fingerprint) {
            return Tried::Refused(attempts.refuse_with_retry_after(cause, left));
        }
        let Some(turn) = next_turn(gateway, request, attempts).await else {
            // A rest that servers ask for, and a limit, is no outage: its end is known.
            if attempts.tried().is_empty()
                && gateway.all_unavailable_for(&request.service).is_none()
            {
                gateway.note_outage_began(&request.service);
            }
            return match failure {
                Some((head, body)) => Tried::Whole(head, body),
                None => refused(gateway, request, attempts.refuse(Cause::NoBackendServer)),
            };
        };
        let server = turn.server();
        attempts.begin();
        let fate = match try_server(gateway, request, turn).await {
            Outcome::Answered(answer) => return answer,
            Outcome::Failed(head, body) => {
                failure = Some((head, body));
                Fate::Failed
            }
            Outcome::Unanswered(fate) => fate,
        };
        let next = attempts.after_failure(server, fate, || gateway.take_retry(&request.service));
        let (server_number, sent_number) = (server.number(), attempts.sent());
        let step = AttemptStep { server_number, sent_number, fate, next: next.step() };
        gateway.event_log.request(request.id_text(), step);
        match (next, failure.take()) {
            (Next::Retry, kept) => failure = kept,
            (_, Some((head, body))) => return Tried::Whole(head, body),
            (Next::GiveUp(refusal), None) => return refused(gateway, request, refusal),
            (Next::PassOn, None) => {
                return Tried::Refused(attempts.refuse(Cause::BackendFailed));
            }
        }
    }
}

/// A refusal, with a time to come back at which servers are expected to take requests again.
fn refused<P: Platform>(gateway: &Gateway<P>, request: &Request<P>, refusal: Refusal) -> Tried<P> {
    let may_return = refusal.retry_after.is_some();
    match gateway.outage_retry_after(&request.service).filter(|_| may_return) {
        Some(after) => Tried::Refused(refusal.retry_after(after)),
        None => Tried::Refused(refusal),
    }
}

/// What one attempt gave.
enum Outcome<P: Platform> {
    /// What the caller gets.
    Answered(Tried<P>),
    /// A whole answer that says the server failed.
    Failed(Parts, Bytes),
    /// No whole answer.
    Unanswered(Fate),
}

async fn try_server<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: &Request<P>,
    turn: Turn<P>,
) -> Outcome<P> {
    let answer = match exchange::attempt(gateway, request, turn, None).await {
        Ok(answer) => answer,
        Err(fate) => return Outcome::Unanswered(fate),
    };
    if request.is_stream() && answer.head.status == StatusCode::OK {
        return Outcome::Answered(Tried::Stream(answer));
    }
    match whole(gateway, request, answer).await {
        Some((head, body)) if head.status.is_server_error() => Outcome::Failed(head, body),
        Some((head, body)) => Outcome::Answered(Tried::Whole(head, body)),
        None => Outcome::Unanswered(Fate::MayHaveRun),
    }
}

/// A turn of a server that was not tried yet. One that names a limit has it only with a permit, which may have to be
/// asked for.
pub async fn next_turn<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: &Request<P>,
    attempts: &Attempts,
) -> Option<Turn<P>> {
    let (service, cost) = (&request.service, request.cost);
    let give_up_at = gateway.now() + MOST_WAIT;
    loop {
        let now = gateway.now();
        let chosen = gateway
            .with_pool(|pool| pool.choose(service, attempts.tried(), cost, now, &mut rand::rng()));
        if let Some(server) = chosen {
            let turn = Turn::new(gateway.clone(), server, cost, request.deadline);
            match turn.permitted().await {
                Some(turn) => return Some(turn),
                None => continue,
            }
        }
        let next = gateway.with_pool(|pool| pool.next_permit_at(service, attempts.tried(), now));
        let next = next.filter(|at| now < give_up_at && *at < give_up_at)?;
        // Past is where another request has asked, and its answer may come.
        let until = if next > now { next } else { give_up_at };
        let _ = gateway.clock.timeout_at(until, gateway.permit_reply_received.notified()).await;
    }
}

/// Reads an answer to its end; `None` if it was broken off.
async fn whole<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: &Request<P>,
    answer: Answer<P>,
) -> Option<(Parts, Bytes)> {
    let Answer { head, body, connection, mut turn, began } = answer;
    match Limited::new(body, WHOLE_BYTES).collect().await {
        Ok(collected) => {
            gateway.connections.keep(connection);
            if head.status.is_success() {
                gateway.note_completed(request.fingerprint);
            }
            Some((head, collected.to_bytes()))
        }
        Err(_) => {
            turn.end(AttemptOutcome::Lost);
            let progress = Progress::Running(began);
            gateway.note_truncated(turn.server(), request.fingerprint, progress).await;
            None
        }
    }
}
