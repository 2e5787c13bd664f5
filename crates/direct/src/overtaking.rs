//! Requests that wait at a server while other servers answer later ones.
//! Input: the attempt of a request, and the beginnings of other answers. It keeps no state.
//! Decides when another server is asked, and which of both answers the caller gets.
//!
//! The server may be frozen, or the request may take longer than others. So the first attempt goes
//! on beside the second, and is left once that has a successful answer.

use std::cell::Cell;
use std::future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::attempts::Attempts;
use hooktrestle_core::direct::attempts::Fate;
use hooktrestle_core::direct::overtaken;
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

/// Time after a suspension of this process in which answers that arrived meanwhile may still be
/// unread.
const READ_BACKLOG_GRACE: Millis = Millis(200);

/// Interval between two checks of whether an overtaken request may be sent to another server.
const RETRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

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

/// Waits until a request is overtaken by requests to other servers that were sent later, and may be
/// sent to another server. Never returns if it must not run twice.
pub async fn overtaken<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<P>,
    attempts: &Attempts,
    server: Key<Server>,
    began_at: Millis,
) {
    if !request.route().is_repeatable() {
        return future::pending().await;
    }
    loop {
        let now = gateway.now();
        let next = gateway.with_heads(&request.service, |heads| heads.next(server, began_at, now));
        match next {
            overtaken::Next::Wait(until) => gateway.clock.sleep_until(until).await,
            // Answers that arrived while this process was suspended may not have been read yet.
            overtaken::Next::GiveUp if gateway.recent_suspension(READ_BACKLOG_GRACE).is_some() => {
                time::sleep(Duration::from(READ_BACKLOG_GRACE)).await;
            }
            overtaken::Next::GiveUp if can_retry(gateway, request, attempts, server) => return,
            overtaken::Next::GiveUp => time::sleep(RETRY_CHECK_INTERVAL).await,
        }
    }
}

/// Whether a request that waits at a server may be sent to another one.
fn can_retry<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<P>,
    attempts: &Attempts,
    server: Key<Server>,
) -> bool {
    let demand = request.demand(attempts.tried());
    attempts.allows_another()
        && gateway.budget_has_retry(&request.service)
        && gateway.with_pool(|pool| pool.has_alternative(&demand, server, gateway.now()))
}

/// Sends an overtaken request to another server as well, and returns the server that ended first
/// with its answer, or the first server with what came of its attempt.
pub async fn race<P: Platform, F>(
    gateway: &Rc<Gateway<P>>,
    request: &Request<P>,
    attempts: &mut Attempts,
    mut first: Waiting<F>,
) -> (Key<Server>, Head<P>)
where
    F: Future<Output = Head<P>>,
{
    if !attempts.begin_beside(first.server, || gateway.take_retry(&request.service)) {
        return (first.server, first.head.await);
    }
    let Some(guard) = forward::next_attempt(gateway, request, attempts).await else {
        return (first.server, first.head.await);
    };
    gateway.metrics.overtaken.inc();
    let other = guard.server();
    attempts.begin();
    let second = exchange::attempt(gateway, request, guard, None);
    let fate = tokio::select! {
        biased;
        head = first.head.as_mut() => {
            let fate = head.as_ref().err().copied();
            log_end(gateway, request, first.server, other, fate, BesideNext::GivenUp);
            attempts.after_failure(other, Fate::MayHaveRun, || false);
            return (first.server, head);
        }
        head = second => match head {
            Ok(answer) if !answer.head.status.is_server_error() => {
                attempts.end_running();
                log_end(gateway, request, other, first.server, None, BesideNext::GivenUp);
                leave(gateway, request, &first).await;
                return (other, Ok(answer));
            }
            Ok(_) => Fate::Failed,
            Err(fate) => fate,
        },
    };
    attempts.after_failure(other, fate, || false);
    log_end(gateway, request, other, first.server, Some(fate), BesideNext::GoesOn);
    (first.server, first.head.await)
}

/// Logs that an attempt ended while the request also ran at another server, and what follows for the
/// attempt there. `fate` is that of an attempt without an answer for the caller.
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
