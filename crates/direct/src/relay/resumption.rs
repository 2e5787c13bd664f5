//! Resumption of a stream at another server.
//! Input: the relay of the stream, and why it is to leave its source. The state is the relay's.
//! Decides whether another server is asked, and when the stream leaves its source.
//!
//! A source that broke off is left at once. One that sends nothing or is slow may be sound: it is
//! left only after another server has answered. If none does, the stream goes on at its source. A
//! source that breaks off while another server is asked leaves the stream to that one, also if it
//! sends a part of an event before: only a complete one shows that it goes on.

use std::pin::pin;

use hooktrestle_core::direct::answer_ends;
use hooktrestle_core::direct::answer_ends::AnswerEnd;
use hooktrestle_core::direct::answer_ends::Content;
use hooktrestle_core::direct::attempts::Fate;
use hooktrestle_core::direct::attempts::Next;
use hooktrestle_core::direct::events::EventBuffer;
use hooktrestle_core::direct::pool::AttemptOutcome;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::util::arena::Key;
use hooktrestle_schema::BesideNext;
use hooktrestle_schema::LeaveReason;
use hooktrestle_schema::LeaveStep;
use hooktrestle_schema::NextStep;
use hooktrestle_schema::NotResumed;
use hooktrestle_schema::ResumedStep;
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::time;

use crate::exchange;
use crate::exchange::Answer;
use crate::exchange::AttemptGuard;
use crate::forward;
use crate::gateway::crashes::Progress;
use crate::platform::Platform;
use crate::relay::Relay;
use crate::relay::SourceItem;
use crate::relay::item_of;
use crate::second_attempt;
use crate::slow_exit::SLOW_EXIT_TIMEOUT;

/// Whether the route and the attempts so far allow to ask another server beside the source.
pub(super) fn can_move<P: Platform>(relay: &Relay<P>) -> bool {
    let Relay { attempts, events, resumable, .. } = relay;
    *resumable && !events.is_event_split() && attempts.allows_another()
}

/// Resumes the stream at another server after its source broke off; returns whether one did.
pub(super) async fn resume<P: Platform>(relay: &mut Relay<P>) -> bool {
    let Some(left) = leave(relay, LeaveReason::BrokenOff).await else { return false };
    let mut server = left;
    let mut fate = Fate::MayHaveRun;
    while may_resume(relay, server, fate) {
        let guard = forward::next_attempt(&relay.gateway, &relay.request, &relay.attempts).await;
        let Some(guard) = guard else { return not_resumed(relay, NotResumed::NoServer) };
        server = guard.server();
        relay.attempts.begin();
        let Relay { gateway, request, events, .. } = &*relay;
        let attempt = exchange::attempt(gateway, request, guard, events.last_id());
        let answered = gateway.clock.timeout_at(request.deadline, attempt).await;
        let Ok(answered) = answered else { return not_resumed(relay, NotResumed::NotAnswered) };
        fate = match answer_of(answered) {
            Ok(answer) => {
                take_over(relay, answer, left);
                return true;
            }
            Err(fate) => fate,
        };
    }
    false
}

/// Moves the stream from its source to another server, if one begins its answer. Otherwise the
/// stream stays, and `relay.received` has what its source has sent meanwhile.
pub(super) async fn move_from<P: Platform>(relay: &mut Relay<P>, reason: LeaveReason) {
    let Some(server) = relay.source.as_ref().map(|source| source.guard.server()) else { return };
    let mut may_begin = can_move(relay) && begin_beside(relay, server);
    while may_begin {
        log_leave(relay, server, reason, NextStep::Again);
        let guard = forward::next_attempt(&relay.gateway, &relay.request, &relay.attempts).await;
        let Some(guard) = guard else { break };
        let other = guard.server();
        let fate = match attempt_beside(relay, guard, reason).await {
            Beside::Answered(answer) => {
                let received = relay.received.take();
                let has_broken_off = matches!(received, Some(SourceItem::Truncated));
                let reason = if has_broken_off { LeaveReason::BrokenOff } else { reason };
                leave(relay, reason).await;
                relay.attempts.end_running();
                return take_over(relay, *answer, server);
            }
            // The next turn of the relay finds that the source has broken off.
            Beside::Failed(fate) if relay.received.is_some() => {
                relay.attempts.after_failure(other, fate, || false);
                return;
            }
            Beside::Failed(fate) => fate,
            Beside::Stays(received) => {
                relay.received = received;
                relay.attempts.after_failure(other, Fate::MayHaveRun, || false);
                break;
            }
        };
        let Relay { gateway, request, attempts, .. } = relay;
        let take_retry = || gateway.take_retry(&request.service);
        may_begin = attempts.after_failure(other, fate, take_retry) == Next::Retry;
    }
    log_leave(relay, server, reason, NextStep::Stay);
}

/// Records that an attempt is to begin beside the one at `server`; returns whether it may.
fn begin_beside<P: Platform>(relay: &mut Relay<P>, server: Key<Server>) -> bool {
    let Relay { gateway, request, attempts, .. } = relay;
    gateway.crash_refusal(&request.fingerprints).is_none()
        && attempts.begin_beside(server, || gateway.take_retry(&request.service))
}

/// What came of an attempt beside the source.
enum Beside<P: Platform> {
    /// Another server answers.
    Answered(Box<Answer<P>>),
    /// Another server does not answer.
    Failed(Fate),
    /// The attempt was given up; the source may have sent something first.
    Stays(Option<SourceItem>),
}

async fn attempt_beside<P: Platform>(
    relay: &mut Relay<P>,
    guard: AttemptGuard<P>,
    reason: LeaveReason,
) -> Beside<P> {
    let Relay { gateway, request, attempts, source, events, content, received, .. } = relay;
    attempts.begin();
    let (server, other) = (source.as_ref().map(|source| source.guard.server()), guard.server());
    let attempt = exchange::attempt(gateway, request, guard, events.last_id());
    let mut attempt = pin!(gateway.clock.timeout_at(request.deadline, attempt));
    // That a slow source goes on sending is no reason to stay there.
    let is_silent = reason == LeaveReason::Silent;
    let next_item = async {
        match source {
            Some(source) => next_item(source, events, *content).await,
            None => None,
        }
    };
    tokio::select! {
        biased;
        answered = attempt.as_mut() => return beside(answered),
        item = next_item, if is_silent => match item {
            Some(SourceItem::Truncated) => {}
            item => return Beside::Stays(item),
        },
        () = time::sleep(SLOW_EXIT_TIMEOUT), if !is_silent => return Beside::Stays(None),
    }
    if let Some(server) = server {
        let (fate, next) = (Some(Fate::MayHaveRun), BesideNext::GoesOn);
        second_attempt::log_end(gateway, request, server, other, fate, next);
    }
    *received = Some(SourceItem::Truncated);
    beside(attempt.await)
}

/// The next complete event of a source, or its end. Parts of an event are buffered.
async fn next_item<P: Platform>(
    source: &mut Answer<P>,
    events: &mut EventBuffer,
    content: Content,
) -> Option<SourceItem> {
    loop {
        match item_of(source.body.frame().await) {
            Some(SourceItem::Bytes(bytes)) if !events.is_completed_by(&bytes) => {
                events.push(&bytes);
            }
            Some(SourceItem::End) => {
                let end = answer_ends::of_stream(source.framing, content, events.position());
                let is_truncated = end == AnswerEnd::Truncated;
                return Some(if is_truncated { SourceItem::Truncated } else { SourceItem::End });
            }
            item => return item,
        }
    }
}

/// What came of an attempt that has ended, or has lasted until the deadline.
fn beside<P: Platform, E>(answered: Result<Result<Answer<P>, Fate>, E>) -> Beside<P> {
    match answered.map(answer_of) {
        Ok(Ok(answer)) => Beside::Answered(Box::new(answer)),
        Ok(Err(fate)) => Beside::Failed(fate),
        Err(_) => Beside::Stays(Some(SourceItem::Deadline)),
    }
}

/// The answer with which a server resumes a stream.
fn answer_of<P: Platform>(answered: Result<Answer<P>, Fate>) -> Result<Answer<P>, Fate> {
    answered.and_then(|answer| match answer.head.status {
        StatusCode::OK => Ok(answer),
        _ => Err(Fate::Failed),
    })
}

/// Continues the stream with the answer of another server, after it has left the server `left`.
fn take_over<P: Platform>(relay: &mut Relay<P>, answer: Answer<P>, left: Key<Server>) {
    let Relay { gateway, request, events, .. } = &*relay;
    let server = answer.guard.server();
    gateway.metrics.resumed.inc();
    request.progress.set_source(server, answer.began_at);
    let step = ResumedStep {
        server_number: server.number(),
        left_server_number: Some(left.number()),
        after_event_number: events.last_id(),
    };
    gateway.event_log.request(request.id_text(), step);
    relay.source = Some(answer);
    relay.has_progress = false;
}

/// Drops the source and returns its server; `None` if there is none.
async fn leave<P: Platform>(relay: &mut Relay<P>, reason: LeaveReason) -> Option<Key<Server>> {
    if reason != LeaveReason::Slow {
        record_truncation(relay, reason).await;
    }
    let mut left = relay.source.take()?;
    left.guard.end(match reason {
        LeaveReason::BrokenOff | LeaveReason::Silent => AttemptOutcome::Lost,
        LeaveReason::Slow => AttemptOutcome::Abandoned,
    });
    relay.events.discard_partial();
    if let Some(admitted) = &mut relay.request.admitted_stream {
        admitted.moved();
    }
    Some(left.guard.server())
}

/// Records that the source has truncated the stream or sends nothing.
async fn record_truncation<P: Platform>(relay: &Relay<P>, reason: LeaveReason) {
    let Some(source) = &relay.source else { return };
    // A server that sends nothing keeps doing so. Whether it crashed as this stream began need not
    // be determined at once.
    let is_starting = !relay.has_progress && reason == LeaveReason::BrokenOff;
    let progress = if is_starting { Progress::Starting } else { Progress::Running };
    let (server, progress) = (source.guard.server(), progress(source.began_at));
    source.guard.set_progress(None);
    relay.gateway.record_truncated_answer(server, &relay.request.fingerprints, progress).await;
}

/// Records why no other server resumes the stream.
fn not_resumed<P: Platform>(relay: &Relay<P>, reason: NotResumed) -> bool {
    relay.request.progress.set_not_resumed(reason);
    false
}

/// Decides whether another server may resume the stream after `server` failed, and logs that.
fn may_resume<P: Platform>(relay: &mut Relay<P>, server: Key<Server>, fate: Fate) -> bool {
    let Relay { gateway, request, attempts, events, resumable, .. } = relay;
    let can_resume = *resumable && !events.is_event_split();
    let is_allowed = can_resume && gateway.crash_refusal(&request.fingerprints).is_none();
    let mut obstacle = match can_resume {
        true => NotResumed::AttemptsUsed,
        false => NotResumed::NotResumable,
    };
    let covered = || {
        let covered = is_allowed && gateway.take_retry(&request.service);
        if is_allowed && !covered {
            obstacle = NotResumed::RetriesUsed;
        }
        covered
    };
    let next = attempts.after_failure(server, fate, covered);
    log_leave(relay, server, LeaveReason::BrokenOff, next.step());
    next == Next::Retry || not_resumed(relay, obstacle)
}

fn log_leave<P: Platform>(
    relay: &Relay<P>,
    server: Key<Server>,
    reason: LeaveReason,
    next: NextStep,
) {
    let Relay { gateway, request, events, .. } = relay;
    let step = LeaveStep {
        fingerprint_number: request.fingerprints.whole.0,
        server_number: server.number(),
        reason,
        part_numbers: request.fingerprints.parts.iter().map(|part| part.0).collect(),
        after_event_number: events.last_id(),
        next,
    };
    gateway.event_log.request(request.id_text(), step);
}
