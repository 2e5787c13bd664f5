//! A stream of events on its way to the caller.
//!
//! Whole events are passed on as they come. If the server breaks off, the stream is taken up at
//! another one after the last event that the caller has, where the route allows that; else the
//! caller's connection is closed, so that the answer does not look complete. A stream leaves a server
//! that was found slow in the same way, if it can: all streams of its group wait for that server.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use hooktrestle_core::direct::attempts::Attempts;
use hooktrestle_core::direct::attempts::Fate;
use hooktrestle_core::direct::attempts::Next;
use hooktrestle_core::direct::events::EventBuffer;
use hooktrestle_core::direct::pool::AttemptOutcome;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::util::arena::Key;
use hooktrestle_schema::LeaveReason;
use hooktrestle_schema::LeaveStep;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::time;
use tokio::time::Instant;

use crate::entrance::Permit;
use crate::exchange;
use crate::exchange::Answer;
use crate::forward;
use crate::gateway::Gateway;
use crate::gateway::crashes::Progress;
use crate::platform::Platform;
use crate::request::Request;

/// Silence of a server after which a stream is taken up elsewhere. The users' groups stand still
/// for 1,500 ms when one rank is lost and callers leave after 2,000 ms.
const SILENCE: Duration = Duration::from_millis(1_650);

/// The stream ended early.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BrokenOff;

impl fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the stream was broken off")
    }
}

impl std::error::Error for BrokenOff {}

struct Relay<P: Platform> {
    gateway: Rc<Gateway<P>>,
    request: Request<P>,
    attempts: Attempts,
    source: Option<Answer<P>>,
    events: EventBuffer,
    /// Whether the source has given more than the head of its answer.
    is_running: bool,
    /// Whether the stream may be taken up elsewhere.
    resumable: bool,
}

/// The frames of a stream that has begun.
pub fn frames<P: Platform>(
    gateway: Rc<Gateway<P>>,
    request: Request<P>,
    attempts: Attempts,
    answer: Answer<P>,
) -> impl Stream<Item = Result<Frame<Bytes>, BrokenOff>> {
    // With a length told, another server's pieces would have to add up to it.
    let resumable =
        request.route().resumable && !answer.head.headers.contains_key(header::CONTENT_LENGTH);
    let relay = Relay {
        gateway,
        request,
        attempts,
        source: Some(answer),
        events: EventBuffer::default(),
        is_running: false,
        resumable,
    };
    stream::unfold(relay, next_frame)
}

/// What the source gave.
enum Piece {
    Bytes(Bytes),
    End,
    Broken,
    Silent,
    Deadline,
}

async fn next_frame<P: Platform>(
    mut relay: Relay<P>,
) -> Option<(Result<Frame<Bytes>, BrokenOff>, Relay<P>)> {
    loop {
        if leaves_slow_server(&relay) && !resume(&mut relay, LeaveReason::Slow).await {
            return Some((Err(BrokenOff), relay));
        }
        match next_piece(&mut relay).await? {
            Piece::Bytes(bytes) => {
                relay.is_running = true;
                let passed = relay.events.push(&bytes);
                if !passed.is_empty() {
                    let pause = relay.request.permit.as_mut().and_then(Permit::saw_event);
                    if let Some(pause) = pause {
                        relay.gateway.metrics.event_gap_ms.observe(pause.0 as f64);
                    }
                    return Some((Ok(Frame::data(Bytes::from(passed))), relay));
                }
            }
            Piece::End => {
                let rest = end(&mut relay)?;
                return Some((Ok(Frame::data(rest)), relay));
            }
            piece @ (Piece::Broken | Piece::Silent) => {
                note_truncated(&relay, &piece).await;
                if !resume(&mut relay, LeaveReason::BrokenOff).await {
                    if relay.gateway.crash_refusal(relay.request.fingerprint).is_some() {
                        // Its caller comes again at once, at any gateway.
                        relay.gateway.await_urgent_gossip().await;
                    }
                    return Some((Err(BrokenOff), relay));
                }
            }
            Piece::Deadline => {
                relay.source = None;
                return Some((Err(BrokenOff), relay));
            }
        }
    }
}

/// The source has ended as it should: what is left to pass on, if anything.
fn end<P: Platform>(relay: &mut Relay<P>) -> Option<Bytes> {
    let rest = relay.events.end();
    if let Some(source) = relay.source.take() {
        source.recycle(&relay.gateway);
    }
    relay.gateway.note_completed(relay.request.fingerprint);
    relay.gateway.metrics.answered.inc();
    Some(Bytes::from(rest)).filter(|rest| !rest.is_empty())
}

/// The source has broken off, or says nothing.
async fn note_truncated<P: Platform>(relay: &Relay<P>, piece: &Piece) {
    let Some(source) = &relay.source else { return };
    // Who says nothing goes on doing so: that it crashed as this began is not to be found out at once.
    let is_starting = !relay.is_running && matches!(piece, Piece::Broken);
    let progress = if is_starting { Progress::Starting } else { Progress::Running };
    let (server, progress) = (source.turn.server(), progress(source.began));
    relay.gateway.note_truncated(server, relay.request.fingerprint, progress).await;
}

/// The next piece of the source; `None` if the stream is over.
async fn next_piece<P: Platform>(relay: &mut Relay<P>) -> Option<Piece> {
    let source = relay.source.as_mut()?;
    let (clock, deadline, resumable) =
        (relay.gateway.clock, relay.request.deadline, relay.resumable);
    let silent_at = Instant::now() + SILENCE;
    loop {
        let frame = tokio::select! {
            biased;
            frame = source.body.frame() => frame,
            () = clock.sleep_until(deadline) => return Some(Piece::Deadline),
            // Time asleep does not make a server silent.
            () = time::sleep_until(silent_at), if resumable => return Some(Piece::Silent),
        };
        return Some(match frame {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => Piece::Bytes(bytes),
                // Trailers concern one connection only.
                Err(_) => continue,
            },
            None => Piece::End,
            Some(Err(_)) => Piece::Broken,
        });
    }
}

/// Whether the stream is at a slow server, and can be taken up at one that is not.
fn leaves_slow_server<P: Platform>(relay: &Relay<P>) -> bool {
    let Relay { gateway, request, attempts, source, resumable, .. } = relay;
    let Some(source) = source else { return false };
    if !*resumable || !attempts.allows_another() {
        return false;
    }
    let (now, server) = (gateway.now(), source.turn.server());
    let is_better_elsewhere = gateway.with_pool(|pool| {
        pool.is_slow(server, now)
            && pool.has_alternative(&request.service, server, attempts.tried(), now)
    });
    is_better_elsewhere && gateway.budget_has_retry(&request.service)
}

/// Leaves the source, and returns its server; `None` if there is none.
fn leave<P: Platform>(relay: &mut Relay<P>, reason: LeaveReason) -> Option<Key<Server>> {
    let mut left = relay.source.take()?;
    left.turn.end(match reason {
        LeaveReason::BrokenOff => AttemptOutcome::Lost,
        LeaveReason::Slow => AttemptOutcome::Abandoned,
    });
    relay.events.discard_partial();
    if let Some(permit) = &mut relay.request.permit {
        permit.moved();
    }
    Some(left.turn.server())
}

/// Takes the stream up at another server, after the last event that was passed on.
async fn resume<P: Platform>(relay: &mut Relay<P>, reason: LeaveReason) -> bool {
    let Some(mut server) = leave(relay, reason) else { return false };
    let mut fate = Fate::MayHaveRun;
    while goes_on(relay, server, fate, reason) {
        let turn = forward::next_turn(&relay.gateway, &relay.request, &relay.attempts).await;
        let Some(turn) = turn else { return false };
        server = turn.server();
        relay.attempts.begin();
        let after = relay.events.last_id();
        let attempt = exchange::attempt(&relay.gateway, &relay.request, turn, after);
        fate = match relay.gateway.clock.timeout_at(relay.request.deadline, attempt).await {
            Ok(Ok(answer)) if answer.head.status == StatusCode::OK => {
                relay.gateway.metrics.resumed.inc();
                relay.source = Some(answer);
                relay.is_running = false;
                return true;
            }
            Ok(Ok(_)) => Fate::Failed,
            Ok(Err(fate)) => fate,
            Err(_) => return false,
        };
    }
    false
}

/// Whether one more server may be asked for the rest of the stream, after `server`.
fn goes_on<P: Platform>(
    relay: &mut Relay<P>,
    server: Key<Server>,
    fate: Fate,
    reason: LeaveReason,
) -> bool {
    let Relay { gateway, request, attempts, events, resumable, .. } = relay;
    let may_go_on = *resumable && gateway.crash_refusal(request.fingerprint).is_none();
    let covered = || may_go_on && gateway.take_retry(&request.service);
    let next = attempts.after_failure(server, fate, covered);
    let step = LeaveStep {
        fingerprint_number: request.fingerprint.0,
        server_number: server.number(),
        reason,
        after_event_number: events.last_id(),
        next: next.step(),
    };
    gateway.event_log.request(request.id_text(), step);
    next == Next::Retry
}
