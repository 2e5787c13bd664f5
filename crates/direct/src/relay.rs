//! The relay of one stream: takes the stream's bytes from a server and yields whole events to the
//! caller. Its state is the current source, the last forwarded event and the attempts made so far.
//! It decides when the stream leaves its server, and whether another server resumes it.
//!
//! The end of a body is the end of its stream only if its framing shows that, or if its server is
//! still up afterwards; see [`answer_ends`]. If a server truncates the stream, another server
//! resumes it after the last event that the caller has, where the route allows that. Otherwise the
//! caller's connection is closed, so that the answer does not look complete. A stream leaves a
//! server that sends nothing, or that is reported as slow, once another one has taken it over; until
//! then it stays, since its server may be sound.

mod resumption;

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::answer_ends;
use hooktrestle_core::direct::answer_ends::AnswerEnd;
use hooktrestle_core::direct::answer_ends::Content;
use hooktrestle_core::direct::attempts::Attempts;
use hooktrestle_core::direct::events::EventBuffer;
use hooktrestle_schema::EndStep;
use hooktrestle_schema::Framing;
use hooktrestle_schema::IncompleteReason;
use hooktrestle_schema::LeaveReason;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::time;
use tokio::time::Instant;

use crate::admission_queue::AdmittedStream;
use crate::arrivals;
use crate::content;
use crate::exchange::Answer;
use crate::gateway::Gateway;
use crate::gateway::crashes::Completion;
use crate::gateway::crashes::Progress;
use crate::incomplete;
use crate::platform::Platform;
use crate::request::Request;
use crate::slow_exit;

/// Time without bytes from a server after which its stream is resumed at another server. Groups
/// stall for 1,500 ms when a rank is lost, and callers disconnect after 2,000 ms.
const SOURCE_IDLE_TIMEOUT: Duration = Duration::from_millis(1_650);

/// Time after a suspension in which the parts that arrived meanwhile are forwarded.
const CATCH_UP_TIME: Millis = Millis(1_000);

/// Maximum number of parts of a stream that are forwarded then after its deadline.
const MAX_LATE_PARTS: u32 = 256;

/// The stream ended before it was complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TruncatedStream;

impl fmt::Display for TruncatedStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the stream was truncated")
    }
}

impl std::error::Error for TruncatedStream {}

struct Relay<P: Platform> {
    gateway: Rc<Gateway<P>>,
    request: Request<P>,
    attempts: Attempts,
    source: Option<Answer<P>>,
    events: EventBuffer,
    /// What is known of the content. An opaque one is forwarded as it is received.
    content: Content,
    /// Whether the source has sent a complete event or, of opaque content, anything of its body.
    has_progress: bool,
    /// Whether another server may resume the stream.
    resumable: bool,
    /// What the source sent while another server was asked to resume the stream.
    received: Option<SourceItem>,
    /// Parts that may still be forwarded after the deadline.
    late_parts_left: u32,
}

/// The frames for the caller of a stream that has begun.
pub fn frames<P: Platform>(
    gateway: Rc<Gateway<P>>,
    request: Request<P>,
    attempts: Attempts,
    answer: Answer<P>,
) -> impl Stream<Item = Result<Frame<Bytes>, TruncatedStream>> {
    let content = content::of(&answer.head.headers);
    // If the answer has a length, the bytes from another server would have to add up to it.
    let resumable = request.route().resumable
        && content != Content::Opaque
        && answer.framing != Framing::Length;
    let relay = Relay {
        gateway,
        request,
        attempts,
        source: Some(answer),
        events: EventBuffer::default(),
        content,
        has_progress: false,
        resumable,
        received: None,
        late_parts_left: MAX_LATE_PARTS,
    };
    stream::unfold(relay, next_frame)
}

/// An item from the source: bytes, or the reason why no more were received.
enum SourceItem {
    Bytes(Bytes),
    End,
    Truncated,
    IdleTimeout,
    /// The server was reported as slow, and another one can resume the stream.
    LeaveSlowServer,
    Deadline,
}

async fn next_frame<P: Platform>(
    mut relay: Relay<P>,
) -> Option<(Result<Frame<Bytes>, TruncatedStream>, Relay<P>)> {
    loop {
        if should_leave_slow_server(&relay) {
            resumption::move_from(&mut relay, LeaveReason::Slow).await;
        }
        match next_source_item(&mut relay).await? {
            SourceItem::Bytes(bytes) => {
                record_received(&relay);
                if relay.content == Content::Opaque {
                    record_progress(&mut relay);
                    return Some((Ok(Frame::data(bytes)), relay));
                }
                let complete_count = relay.events.complete_count();
                let complete = relay.events.push(&bytes);
                relay.request.progress.set_last_event_id(relay.events.last_id());
                if relay.events.complete_count() > complete_count {
                    record_progress(&mut relay);
                }
                if !complete.is_empty() {
                    let pause = relay
                        .request
                        .admitted_stream
                        .as_mut()
                        .and_then(AdmittedStream::record_event);
                    if let Some(pause) = pause {
                        relay.gateway.metrics.event_gap_ms.observe(pause.0 as f64);
                    }
                    return Some((Ok(Frame::data(Bytes::from(complete))), relay));
                }
            }
            SourceItem::End => match end_of_source(&relay).await? {
                SourceEnd::Complete(completion) => {
                    let remaining = complete(&mut relay, completion)?;
                    return Some((Ok(Frame::data(remaining)), relay));
                }
                SourceEnd::Truncated => {
                    if !leave_truncated(&mut relay).await {
                        return Some((Err(TruncatedStream), relay));
                    }
                }
            },
            SourceItem::Truncated => {
                if !leave_truncated(&mut relay).await {
                    return Some((Err(TruncatedStream), relay));
                }
            }
            SourceItem::IdleTimeout => {
                resumption::move_from(&mut relay, LeaveReason::Silent).await;
            }
            // Left at the next turn of this loop.
            SourceItem::LeaveSlowServer => {}
            SourceItem::Deadline => {
                record_incomplete(&relay, IncompleteReason::DeadlinePassed);
                relay.source = None;
                return Some((Err(TruncatedStream), relay));
            }
        }
    }
}

/// What the end of the source's body is to its stream.
enum SourceEnd {
    Complete(Completion),
    Truncated,
}

/// What the end of the source is to the stream; `None` if there is no source. An end that does not
/// show by itself that the stream is complete is logged, and its server is asked whether it is up.
async fn end_of_source<P: Platform>(relay: &Relay<P>) -> Option<SourceEnd> {
    let Relay { gateway, request, source, events, content, .. } = relay;
    let source = source.as_ref()?;
    let end = answer_ends::of_stream(source.framing, *content, events.position());
    if end == AnswerEnd::Complete {
        return Some(SourceEnd::Complete(Completion::Confirmed));
    }
    let server = source.guard.server();
    let step = EndStep {
        fingerprint_number: request.fingerprints.whole.0,
        server_number: server.number(),
        framing: source.framing,
        after_event_number: events.last_id(),
        incomplete_bytes: events.incomplete_bytes() as u64,
    };
    gateway.event_log.request(request.id_text(), step);
    let is_truncated = end == AnswerEnd::Truncated || gateway.has_crashed(server).await;
    Some(match is_truncated {
        true => SourceEnd::Truncated,
        false => SourceEnd::Complete(Completion::Unconfirmed),
    })
}

/// Ends a stream whose source has sent all of it; returns the bytes left to forward, if any.
fn complete<P: Platform>(relay: &mut Relay<P>, completion: Completion) -> Option<Bytes> {
    if let Some(source) = relay.source.take() {
        source.guard.set_progress(None);
        let (server, fingerprints) = (source.guard.server(), &relay.request.fingerprints);
        relay.gateway.record_completed_request(server, fingerprints, completion);
        source.recycle(&relay.gateway);
    }
    relay.gateway.metrics.answered.inc();
    let remaining = relay.events.end();
    (!remaining.is_empty()).then(|| Bytes::from(remaining))
}

/// Leaves a source that truncated the stream; returns whether another server resumes the stream.
async fn leave_truncated<P: Platform>(relay: &mut Relay<P>) -> bool {
    if resumption::resume(relay).await {
        return true;
    }
    let is_refused = relay.gateway.crash_refusal(&relay.request.fingerprints).is_some();
    let reason = if is_refused { IncompleteReason::Refused } else { IncompleteReason::BrokenOff };
    record_incomplete(relay, reason);
    if is_refused {
        // The caller retries at once at any gateway, so the crash is reported to the other gateways
        // first.
        relay.gateway.await_urgent_gossip().await;
    }
    false
}

/// Records why the stream ends before it is complete.
fn record_incomplete<P: Platform>(relay: &Relay<P>, reason: IncompleteReason) {
    incomplete::record(&relay.gateway, &relay.request.progress, reason);
}

/// Records that a part of the stream was received.
fn record_received<P: Platform>(relay: &Relay<P>) {
    let Relay { gateway, request, source, .. } = relay;
    request.progress.record_received(gateway.now());
    if let Some(source) = source {
        gateway.with_pool(|pool| pool.record_received(source.guard.server()));
    }
}

/// Records that the source has got further than the beginning of its answer.
fn record_progress<P: Platform>(relay: &mut Relay<P>) {
    if let Some(source) = relay.source.as_ref().filter(|_| !relay.has_progress) {
        source.guard.set_progress(Some(Progress::Running(source.began_at)));
        let fingerprints = &relay.request.fingerprints;
        relay.gateway.record_begun_answer(source.guard.server(), fingerprints);
    }
    relay.has_progress = true;
}

/// The next item of the source; `None` if the stream has ended.
async fn next_source_item<P: Platform>(relay: &mut Relay<P>) -> Option<SourceItem> {
    if let Some(received) = relay.received.take() {
        return Some(received);
    }
    let can_move = resumption::can_move(relay);
    let Relay { gateway, request, attempts, source, resumable, late_parts_left, .. } = relay;
    let (source, deadline, resumable) = (source.as_mut()?, request.deadline, *resumable);
    let server = source.guard.server();
    let idle_at = Instant::now() + SOURCE_IDLE_TIMEOUT;
    loop {
        tokio::select! {
            biased;
            frame = source.body.frame() => {
                if let Some(item) = item_of(frame) {
                    return Some(item);
                }
            }
            () = until_passed(gateway, deadline, late_parts_left) => {
                return Some(SourceItem::Deadline);
            }
            // This timer does not count the time of a suspension, which is no sign of an idle
            // server.
            () = time::sleep_until(idle_at), if can_move => return Some(SourceItem::IdleTimeout),
            // The server's next event comes only at the end of a pass that it delays for all streams
            // of its group.
            () = gateway.slow_servers_reported.notified(), if resumable => {
                if slow_exit::can_leave(gateway, request, attempts, server) {
                    return Some(SourceItem::LeaveSlowServer);
                }
            }
        }
    }
}

/// Waits until a deadline has passed. After a suspension, parts that have arrived are read first; a
/// server that sends without end does not prolong the wait.
async fn until_passed<P: Platform>(gateway: &Gateway<P>, deadline: Millis, parts_left: &mut u32) {
    gateway.clock.sleep_until(deadline).await;
    if *parts_left > 0 && gateway.recent_suspension(CATCH_UP_TIME).is_some() {
        *parts_left -= 1;
        arrivals::handle().await;
    }
}

/// The item that a frame of the source is; `None` for trailers, which concern one connection only and
/// are not forwarded.
fn item_of(frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Option<SourceItem> {
    match frame {
        Some(Ok(frame)) => frame.into_data().ok().map(SourceItem::Bytes),
        None => Some(SourceItem::End),
        Some(Err(_)) => Some(SourceItem::Truncated),
    }
}

/// Whether the stream is at a slow server and a server that is not slow can resume it.
fn should_leave_slow_server<P: Platform>(relay: &Relay<P>) -> bool {
    let Relay { gateway, request, attempts, source, resumable, received, .. } = relay;
    let Some(source) = source else { return false };
    // What was received belongs to this source, and is handled first.
    let may_leave = *resumable && received.is_none();
    may_leave && slow_exit::can_leave(gateway, request, attempts, source.guard.server())
}
