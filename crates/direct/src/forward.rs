//! The attempts of one request: takes an admitted request and gives the one answer for its caller.
//! Its state is the servers that were tried and the last failed answer. After each failed attempt
//! it decides whether another server is tried, within the attempts and retries that are allowed.

use std::rc::Rc;

use bytes::Bytes;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::attempts;
use hooktrestle_core::direct::attempts::Attempts;
use hooktrestle_core::direct::attempts::Fate;
use hooktrestle_core::direct::attempts::Next;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::util::arena::Key;
use hooktrestle_core::verdict::Refusal;
use hooktrestle_schema::AttemptStep;
use hooktrestle_schema::Cause;
use http::StatusCode;
use http::response::Parts;

use crate::bodies::Received;
use crate::bodies::ReservedBytes;
use crate::exchange;
use crate::exchange::Answer;
use crate::exchange::AttemptGuard;
use crate::gateway::Gateway;
use crate::overtaking;
use crate::pass_through::PartialAnswer;
use crate::platform::Platform;
use crate::request::Request;
use crate::second_attempt;
use crate::second_attempt::Reason;
use crate::second_attempt::Waiting;
use crate::slow_exit;

/// Maximum size of an answer that is buffered whole before it is forwarded, if it is no stream: its
/// request cannot be sent again once its caller receives a part of the answer. Usual ones have a few
/// kilobytes.
const MAX_BUFFERED_ANSWER_BYTES: usize = 4 << 20;

/// Maximum wait for a permit if no other server is available: an eighth of the usual latency
/// objective. If the wait would be longer, the caller gets a refusal with the time after which to
/// retry.
pub const MAX_PERMIT_WAIT: Millis = Millis(50);

/// The whole answer of a server, with the memory of its body, which is held until the caller has it.
pub struct WholeAnswer {
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
    /// Memory of the body.
    pub memory: ReservedBytes,
}

/// The reply to a caller.
pub enum Reply<P: Platform> {
    /// The whole answer of a server.
    Whole(WholeAnswer),
    /// An answer that is too large to be held.
    Partial(Box<PartialAnswer<P>>),
    /// A stream of events that has begun, with the attempts that it took.
    Stream(Box<Answer<P>>, Attempts),
    /// A refusal or failure that the gateway itself reports.
    Refused(Refusal),
}

/// Forwards a request to backend servers and returns the reply, at its deadline or shortly before the
/// process ends at the latest.
pub async fn forward<P: Platform>(gateway: &Rc<Gateway<P>>, request: &Request<P>) -> Reply<P> {
    gateway.count_request(&request.service);
    let route = request.route();
    // A trial that ends without an answer may have crashed its server, and one that a server refuses
    // decides nothing: no second server gets it.
    let mut attempts = match request.trials.is_empty() {
        true => Attempts::new(route.max_attempts, route.is_repeatable()),
        false => Attempts::new(1, false),
    };
    let trying = try_servers(gateway, request, &mut attempts);
    let trying = gateway.clock.timeout_at(request.deadline, trying);
    let tried = gateway.unless_ending(trying).await;
    match tried {
        Some(Ok(ForwardOutcome::Whole(answer))) => Reply::Whole(answer),
        Some(Ok(ForwardOutcome::Partial(answer))) => Reply::Partial(answer),
        Some(Ok(ForwardOutcome::Stream(answer))) => Reply::Stream(answer, attempts),
        Some(Ok(ForwardOutcome::Refused(refusal))) => Reply::Refused(refusal),
        Some(Err(_)) => Reply::Refused(attempts.refuse(Cause::DeadlinePassed)),
        // Another gateway can accept a request that did not run at once.
        None => Reply::Refused(attempts.refuse_with_retry_after(Cause::Leaving, Millis::ZERO)),
    }
}

enum ForwardOutcome<P: Platform> {
    Whole(WholeAnswer),
    Partial(Box<PartialAnswer<P>>),
    Stream(Box<Answer<P>>),
    Refused(Refusal),
}

async fn try_servers<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: &Request<P>,
    attempts: &mut Attempts,
) -> ForwardOutcome<P> {
    // The last answer of a server that reports a failure; it is forwarded if there is no better
    // one.
    let mut failure = None;
    loop {
        // The machine may have been suspended since the last check. This check does not
        // interrupt an attempt that waits for its answer.
        if gateway.now() >= request.deadline {
            return ForwardOutcome::Refused(attempts.refuse(Cause::DeadlinePassed));
        }
        if let Some((cause, left)) = gateway.crash_refusal(&request.fingerprints) {
            return ForwardOutcome::Refused(attempts.refuse_with_retry_after(cause, left));
        }
        let Some(guard) = next_attempt(gateway, request, attempts).await else {
            if let Some(after) = gateway.too_late_for(&request.demand(attempts.tried()))
                && failure.is_none()
            {
                let after = after.clamp(attempts::RETRY_AFTER_FULL, attempts::MAX_RETRY_AFTER);
                let refusal = attempts.refuse_with_retry_after(Cause::QueueFull, after);
                return ForwardOutcome::Refused(refusal);
            }
            // A back-off or an advertised limit is no outage, because its end is known.
            if attempts.tried().is_empty()
                && gateway.all_unavailable_for(&request.service).is_none()
            {
                gateway.record_outage_began(&request.service);
            }
            return match failure {
                Some(answer) => ForwardOutcome::Whole(answer),
                None => refused(gateway, request, attempts.refuse(Cause::NoBackendServer)),
            };
        };
        attempts.begin();
        let (server, result) = try_server(gateway, request, attempts, guard).await;
        let fate = match result {
            AttemptResult::Answered(answer) => return answer,
            AttemptResult::Failed(answer) => {
                failure = Some(answer);
                Fate::Failed
            }
            AttemptResult::Unanswered(fate) => fate,
        };
        let next = attempts.after_failure(server, fate, || gateway.take_retry(&request.service));
        let (server_number, sent_number) = (server.number(), attempts.sent());
        let step = AttemptStep { server_number, sent_number, fate, next: next.step() };
        gateway.event_log.request(request.id_text(), step);
        match (next, failure.take()) {
            (Next::Retry, last) => failure = last,
            (_, Some(answer)) => return ForwardOutcome::Whole(answer),
            (Next::GiveUp(refusal), None) => return refused(gateway, request, refusal),
            (Next::PassOn, None) => {
                return ForwardOutcome::Refused(attempts.refuse(Cause::BackendFailed));
            }
        }
    }
}

/// A refusal, with a retry time at which servers are expected to accept requests again.
fn refused<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<P>,
    refusal: Refusal,
) -> ForwardOutcome<P> {
    let may_retry = refusal.retry_after.is_some();
    let after = gateway.outage_retry_after(&request.service, request.deadline);
    match after.filter(|_| may_retry) {
        Some(after) => ForwardOutcome::Refused(refusal.retry_after(after)),
        None => ForwardOutcome::Refused(refusal),
    }
}

/// The result of one attempt.
enum AttemptResult<P: Platform> {
    /// An answer for the caller.
    Answered(ForwardOutcome<P>),
    /// A whole answer that reports a failure of the server.
    Failed(WholeAnswer),
    /// No whole answer.
    Unanswered(Fate),
}

/// Makes an attempt at a server, and perhaps one beside it; returns the server at which it ended.
async fn try_server<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: &Request<P>,
    attempts: &mut Attempts,
    guard: AttemptGuard<P>,
) -> (Key<Server>, AttemptResult<P>) {
    let (server, began_at) = (guard.server(), gateway.now());
    let outcome_if_left = guard.outcome_if_left();
    let mut attempt = Box::pin(exchange::attempt(gateway, request, guard, None));
    let ended = tokio::select! {
        biased;
        head = attempt.as_mut() => Ok(head),
        () = slow_exit::may_leave(gateway, request, attempts, server) => Err(Reason::Slow),
        () = overtaking::overtaken(gateway, request, attempts, server, began_at) => {
            Err(Reason::Overtaken)
        }
    };
    let (server, head) = match ended {
        Ok(head) => (server, head),
        Err(reason) => {
            let waiting = Waiting { server, began_at, head: attempt, outcome_if_left };
            second_attempt::race(gateway, request, attempts, reason, waiting).await
        }
    };
    let answer = match head {
        Ok(answer) => answer,
        Err(fate) => return (server, AttemptResult::Unanswered(fate)),
    };
    request.progress.set_source(server, answer.began_at);
    if request.is_stream() && answer.head.status == StatusCode::OK {
        let stream = ForwardOutcome::Stream(Box::new(answer));
        return (server, AttemptResult::Answered(stream));
    }
    let result = match whole(gateway, request, answer).await {
        Some(ForwardOutcome::Whole(answer)) if answer.head.status.is_server_error() => {
            AttemptResult::Failed(answer)
        }
        Some(outcome) => AttemptResult::Answered(outcome),
        None => AttemptResult::Unanswered(Fate::MayHaveRun),
    };
    (server, result)
}

/// Begins an attempt at a server that was not tried yet. A server that advertises a limit needs a
/// permit, which may have to be requested from another gateway.
pub async fn next_attempt<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: &Request<P>,
    attempts: &Attempts,
) -> Option<AttemptGuard<P>> {
    let demand = request.demand(attempts.tried());
    let give_up_at = gateway.now() + MAX_PERMIT_WAIT;
    loop {
        let now = gateway.now();
        let chosen = gateway.with_pool(|pool| pool.choose(&demand, now, &mut rand::rng()));
        if let Some(server) = chosen {
            let guard = AttemptGuard::new(gateway.clone(), server, request);
            match guard.acquire_permit().await {
                Some(guard) => return Some(guard),
                None => continue,
            }
        }
        let next = gateway.with_pool(|pool| pool.next_permit_at(&demand, now));
        let next = next.filter(|at| now < give_up_at && *at < give_up_at)?;
        // A time in the past means that permits have been requested for another request, and that
        // the reply is still to come.
        let until = if next > now { next } else { give_up_at };
        let _ = gateway.clock.timeout_at(until, gateway.permit_reply_received.notified()).await;
    }
}

/// Reads an answer to its end, or until there is no room for more; `None` if it was truncated. An end
/// that does not show that the answer is complete counts if the server is still up.
async fn whole<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: &Request<P>,
    mut answer: Answer<P>,
) -> Option<ForwardOutcome<P>> {
    let read = gateway.answers.read_while_room(&mut answer.body, MAX_BUFFERED_ANSWER_BYTES).await;
    request.progress.record_received(gateway.now());
    match read {
        Ok(Received::Part(part, memory)) => {
            Some(ForwardOutcome::Partial(Box::new(PartialAnswer { answer, part, memory })))
        }
        Ok(Received::Whole(body, memory)) if answer.is_complete(gateway).await => {
            answer.record_completed(gateway, request);
            let head = answer.head.clone();
            answer.recycle(gateway);
            Some(ForwardOutcome::Whole(WholeAnswer { head, body, memory }))
        }
        Ok(Received::Whole(..)) | Err(_) => {
            answer.record_truncated(gateway, request).await;
            None
        }
    }
}
