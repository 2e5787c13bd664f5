//! A second attempt beside one that waits for the head of its answer.
//! Input: the first attempt, and the limits on attempts and retries. It keeps no state.
//! Decides which of both answers the caller gets, and when an attempt is left.
//!
//! The first server may be frozen or slow, or the request may take longer than others. So the first
//! attempt goes on beside the second, and is left once that has a successful answer. One that fails
//! leaves the decision to the other one.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::attempts::Attempts;
use hooktrestle_core::direct::attempts::Fate;
use hooktrestle_core::direct::pool::AttemptOutcome;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::util::arena::Key;
use hooktrestle_schema::BesideNext;
use hooktrestle_schema::BesideStep;
use tokio::time;

use crate::exchange;
use crate::exchange::Answer;
use crate::forward;
use crate::gateway::Gateway;
use crate::gateway::crashes::Progress;
use crate::platform::Platform;
use crate::request::Request;
use crate::slow_exit::SLOW_EXIT_TIMEOUT;

/// The head of an answer, or the fate of the attempt.
pub type Head<P> = Result<Answer<P>, Fate>;

/// An attempt that waits for the head of its answer.
pub struct Waiting<F> {
    /// Its server.
    pub server: Key<Server>,
    /// When it began.
    pub began_at: Millis,
    /// Gives the head.
    pub head: Pin<Box<F>>,
    /// Outcome that is reported if it is left.
    pub outcome_if_left: Rc<Cell<Option<AttemptOutcome>>>,
}

/// Why another server is asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// Other servers answer later requests.
    Overtaken,
    /// The first server is reported as slow. That it begins to answer is no reason to stay there.
    Slow,
}

/// Asks another server beside the first one. Returns the server that answered, or else the last one
/// that failed, with what came of the attempt there.
pub async fn race<P: Platform, F>(
    gateway: &Rc<Gateway<P>>,
    request: &Request<P>,
    attempts: &mut Attempts,
    reason: Reason,
    mut first: Waiting<F>,
) -> (Key<Server>, Head<P>)
where
    F: Future<Output = Head<P>>,
{
    let may_begin = gateway.crash_refusal(&request.fingerprints).is_none()
        && attempts.begin_beside(first.server, || gateway.take_retry(&request.service));
    if !may_begin {
        return (first.server, first.head.await);
    }
    let Some(guard) = forward::next_attempt(gateway, request, attempts).await else {
        return (first.server, first.head.await);
    };
    if reason == Reason::Overtaken {
        gateway.metrics.overtaken.inc();
    }
    let other = guard.server();
    attempts.begin();
    let mut second = Box::pin(exchange::attempt(gateway, request, guard, None));
    let log = |server, other, head: &Head<P>, next| {
        log_end(gateway, request, server, other, failure(head), next);
    };
    tokio::select! {
        biased;
        head = first.head.as_mut() => {
            let next = match (failure(&head), reason) {
                (None, Reason::Overtaken) => BesideNext::GivenUp,
                (None, Reason::Slow) | (Some(_), _) => BesideNext::GoesOn,
            };
            log(first.server, other, &head, next);
            if next == BesideNext::GivenUp {
                attempts.after_failure(other, Fate::MayHaveRun, || false);
                return (first.server, head);
            }
            let second = match failure(&head) {
                None => time::timeout(SLOW_EXIT_TIMEOUT, second).await.unwrap_or(Err(Fate::MayHaveRun)),
                Some(_) => second.await,
            };
            better_of(attempts, first.server, head, other, second)
        }
        head = second.as_mut() => {
            let Some(fate) = failure(&head) else {
                log(other, first.server, &head, BesideNext::GivenUp);
                attempts.end_running();
                if reason == Reason::Overtaken {
                    leave(gateway, request, &first).await;
                }
                return (other, head);
            };
            log(other, first.server, &head, BesideNext::GoesOn);
            attempts.after_failure(other, fate, || false);
            (first.server, first.head.await)
        }
    }
}

/// The result once both attempts have ended: the answer of the second one, or else that of the first
/// one. A server's answer that reports a failure is preferred to none.
fn better_of<P: Platform>(
    attempts: &mut Attempts,
    server: Key<Server>,
    first: Head<P>,
    other: Key<Server>,
    second: Head<P>,
) -> (Key<Server>, Head<P>) {
    let prefers_first = match failure(&first) {
        None => failure(&second).is_some(),
        Some(_) => first.is_ok() && second.is_err(),
    };
    if prefers_first {
        let fate = failure(&second).unwrap_or(Fate::MayHaveRun);
        attempts.after_failure(other, fate, || false);
        return (server, first);
    }
    let fate = failure(&first).unwrap_or(Fate::MayHaveRun);
    attempts.after_failure(server, fate, || false);
    (other, second)
}

/// Why a head is no successful answer; `None` if it is one.
fn failure<P: Platform>(head: &Head<P>) -> Option<Fate> {
    match head {
        Ok(answer) => answer.head.status.is_server_error().then_some(Fate::Failed),
        Err(fate) => Some(*fate),
    }
}

/// Logs that an attempt ended while the request also ran at another server, and what follows for the
/// attempt there. `fate` is that of an attempt without a successful answer.
pub fn log_end<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<P>,
    server: Key<Server>,
    other: Key<Server>,
    fate: Option<Fate>,
    next: BesideNext,
) {
    let (server_number, other_server_number) = (server.number(), other.number());
    let step = BesideStep { server_number, other_server_number, fate, next };
    gateway.event_log.request(request.id_text(), step);
}

/// Records that an attempt is left because another server has answered.
async fn leave<P: Platform, F>(gateway: &Rc<Gateway<P>>, request: &Request<P>, first: &Waiting<F>) {
    first.outcome_if_left.set(Some(AttemptOutcome::Overtaken));
    let progress = Progress::Sent(first.began_at);
    gateway.record_truncated_answer(first.server, &request.fingerprints, progress).await;
}
