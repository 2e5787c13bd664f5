//! The HTTP server for callers: accepts their connections, reads requests and writes the answers.
//! Its state is the activity of each connection. It decides when a connection is closed: after its
//! idle or header time-out, or after its next answer while the process stops.

mod activity;
mod body;
mod delivery;
pub(crate) mod hand_over;
pub(crate) mod reader;

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::attempts;
use hooktrestle_core::direct::level::Return;
use hooktrestle_core::verdict::Refusal;
use hooktrestle_schema::AnswerStage;
use hooktrestle_schema::Cause;
use hooktrestle_schema::RefusedStep;
use hooktrestle_schema::Verdict;
use hooktrestle_stream::Allowance;
use hooktrestle_stream::BoundedStream;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http::response::Parts;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task;

use crate::accept;
use crate::bounded::BoundedBody;
use crate::callers::activity::Activity;
use crate::callers::activity::AnswerGuard;
use crate::callers::activity::SharedActivity;
use crate::callers::activity::TrackedConnection;
use crate::callers::body::CallerBody;
use crate::callers::body::Content;
use crate::callers::body::FrameStream;
use crate::callers::delivery::Delivery;
use crate::callers::reader::Reader;
use crate::forward;
use crate::forward::Reply;
use crate::gateway::Gateway;
use crate::gateway::in_flight::InFlight;
use crate::gateway::levels::LevelDecision;
use crate::headers;
use crate::pass_through;
use crate::platform::Platform;
use crate::relay;
use crate::request;
use crate::request::ReadError;
use crate::request::Request;
use crate::request_progress::RequestProgress;

/// Minimum buffer size that the HTTP library accepts.
const MIN_HEADER_BUFFER_BYTES: usize = 8_192;

/// Minimum interval between two checks of a connection's time-outs, however short these are: each
/// check wakes a task.
const MIN_POLL_INTERVAL: Millis = Millis(100);

/// Accepts callers' connections until the process ends.
pub async fn serve<P: Platform>(gateway: Rc<Gateway<P>>, listener: TcpListener) {
    let log_error = |error: &io::Error| {
        gateway.event_log.state(format_args!("accepting a caller's connection failed: {error}"));
    };
    loop {
        let stream = accept::next_caller(&listener, log_error).await;
        task::spawn_local(serve_connection(gateway.clone(), stream));
    }
}

async fn serve_connection<P: Platform>(gateway: Rc<Gateway<P>>, stream: TcpStream) {
    let shared_activity: SharedActivity = Rc::new(Cell::new(Activity::Idle(gateway.now())));
    let limits = gateway.serving().limits;
    let reader = Reader::new(gateway.clone());
    let buffer_bytes = limits.header_bytes.max(MIN_HEADER_BUFFER_BYTES);
    let allowance = Allowance::new(buffer_bytes);
    let io = TrackedConnection {
        inner: TokioIo::new(BoundedStream::new(stream, allowance.clone())),
        shared_activity: shared_activity.clone(),
        clock: gateway.clock,
        reader: reader.clone(),
    };
    let service = service_fn(|request: http::Request<Incoming>| {
        reader.record_written();
        // A caller that does not wait for answers has sent the next request already.
        let is_read_ahead = !matches!(shared_activity.get(), Activity::Reading(_));
        shared_activity.set(Activity::Answering);
        let shared_activity = shared_activity.clone();
        let (gateway, reader) = (gateway.clone(), reader.clone());
        let request = request.map(|body| BoundedBody::begin(body, &allowance));
        let allowance = allowance.clone();
        async move {
            if is_read_ahead {
                // Ends the turn of this connection: else several requests would be answered in one.
                task::yield_now().await;
            }
            answer(gateway, request, reader, shared_activity, allowance).await
        }
    });
    let mut builder = http1::Builder::new();
    builder.auto_date_header(false).max_buf_size(buffer_bytes);
    // Events are copied into one buffer of that size. Without it, a few small events of a caller
    // that does not read would hold up the server of its stream.
    builder.writev(false);
    let connection = builder.serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    // An idle connection stays open when the process begins to stop, because a request may be in
    // transit on it. The answer to that request closes it.
    loop {
        let until =
            expiry(shared_activity.get(), &gateway).min(gateway.now() + poll_interval(&gateway));
        tokio::select! {
            // A request that arrived while this process was suspended is read before a time-out
            // applies.
            biased;
            // An error of the connection affects only its caller, which notices it.
            _ = connection.as_mut() => return,
            () = reader.is_to_close() => return reader.record_closed_over_budget(),
            // The connection is polled again, and enlarges its buffer if it cannot write.
            () = gateway.hand_over.begun() => {}
            () = gateway.clock.sleep_until(until) => {
                if expiry(shared_activity.get(), &gateway) <= gateway.now() {
                    return reader.record_closed_idle();
                }
                if reader.stall_ends_at().is_some_and(|ends_at| ends_at <= gateway.now()) {
                    return reader.record_closed_stalled();
                }
            }
        }
    }
}

/// Interval at which a connection's time-outs are checked: the header time-out, which is the
/// shortest one.
fn poll_interval<P: Platform>(gateway: &Gateway<P>) -> Millis {
    gateway.serving().limits.header_ms.max(MIN_POLL_INTERVAL)
}

fn expiry<P: Platform>(activity: Activity, gateway: &Gateway<P>) -> Millis {
    let limits = gateway.serving().limits;
    match activity {
        Activity::Idle(since) => since + limits.idle_ms,
        Activity::Reading(since) => since + limits.header_ms,
        Activity::Answering | Activity::Discarding | Activity::Truncated => {
            gateway.now() + limits.idle_ms
        }
    }
}

type ServiceResult<S, T, P> = Result<Response<CallerBody<S, T, P>>, Infallible>;

async fn answer<P: Platform>(
    gateway: Rc<Gateway<P>>,
    request: http::Request<BoundedBody>,
    reader: Rc<Reader<P>>,
    shared_activity: SharedActivity,
    allowance: Allowance,
) -> ServiceResult<impl FrameStream, impl FrameStream, P> {
    let guard = AnswerGuard {
        shared_activity: shared_activity.clone(),
        clock: gateway.clock,
        version: request.version(),
        allowance: allowance.clone(),
    };
    let (parts, body) = request.into_parts();
    let id = parts.headers.get(&gateway.platform.headers().request_id).cloned();
    let mut delivery = Delivery::new(guard, InFlight::begin(&gateway, id.clone()));
    let progress = delivery.progress().clone();
    reader.begin_answering(&progress);
    let received_at = progress.received_at;
    gateway.metrics.requests.inc();
    reader.set_deadline(None);
    let (head, content) = match reply(&gateway, parts, body, &progress).await {
        Ok((request, Reply::Whole(answer))) => {
            gateway.metrics.answered.inc();
            reader.set_deadline(Some(request.deadline));
            progress.set_stage(AnswerStage::Complete);
            delivery.hold(answer.memory);
            (forwarded_head(&gateway, answer.head), Content::Whole(answer.body))
        }
        Ok((request, Reply::Stream(answer, attempts))) => {
            reader.set_deadline(Some(request.deadline));
            progress.set_stage(AnswerStage::Forwarding);
            let head = forwarded_head(&gateway, answer.head.clone());
            let frames = relay::frames(gateway.clone(), request, attempts, *answer);
            (head, Content::Stream(Box::pin(frames)))
        }
        Ok((request, Reply::Partial(partial))) => {
            gateway.metrics.answers_passed_through.inc();
            reader.set_deadline(Some(request.deadline));
            progress.set_stage(AnswerStage::Forwarding);
            let head = forwarded_head(&gateway, partial.head());
            let frames = pass_through::frames(gateway.clone(), request, *partial);
            (head, Content::PassThrough(Box::pin(frames)))
        }
        Ok((_, Reply::Refused(refusal))) => {
            if refusal.verdict == Verdict::NotRun {
                progress.refuse();
            }
            progress.set_stage(AnswerStage::Complete);
            record_refusal(&gateway, id.as_ref(), received_at, &refusal);
            refused(&refusal, id, &gateway)
        }
        Err(NotForwarded { refusal, unread_body }) => {
            progress.refuse();
            progress.set_stage(AnswerStage::Complete);
            record_refusal(&gateway, id.as_ref(), received_at, &refusal);
            if let Some((body, until)) = unread_body {
                let discarded =
                    activity::discard(shared_activity, gateway.clock, body, allowance, until);
                task::spawn_local(discarded);
            }
            refused(&refusal, id, &gateway)
        }
    };
    gateway.metrics.head_ms.observe(gateway.now().since(received_at).0 as f64);
    let mut response = Response::from_parts(head, CallerBody::new(content, reader, delivery));
    if gateway.is_stopping() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// A request that was sent to no server.
struct NotForwarded {
    refusal: Refusal,
    /// What is left of its body, and until when its caller may send it.
    unread_body: Option<(BoundedBody, Millis)>,
}

impl From<Refusal> for NotForwarded {
    fn from(refusal: Refusal) -> NotForwarded {
        NotForwarded { refusal, unread_body: None }
    }
}

/// The reply to a request, with the request, which is needed until its answer ends.
async fn reply<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    parts: http::request::Parts,
    body: BoundedBody,
    progress: &Rc<RequestProgress>,
) -> Result<(Request<P>, Reply<P>), NotForwarded> {
    match request::read(gateway, parts, body, progress).await {
        Ok(request) if !gateway.accepts(&request.route().name, request.deadline) => {
            // Another gateway can accept the request at once.
            Err(Refusal::not_run(Cause::Leaving).retry_after(Millis::ZERO).into())
        }
        Ok(mut request) => {
            progress.accept(request.request_route(), request.deadline);
            let admitted = gateway.unless_ending(admit(gateway, &mut request)).await;
            admitted.unwrap_or_else(|| {
                Err(Refusal::not_run(Cause::Leaving).retry_after(Millis::ZERO))
            })?;
            let reply = forward::forward(gateway, &request).await;
            Ok((request, reply))
        }
        Err(ReadError::Refused(refusal)) => Err(refusal.into()),
        Err(ReadError::NoRoom { refusal, unread_body }) => {
            gateway.metrics.bodies_refused.inc();
            Err(NotForwarded { refusal, unread_body })
        }
        // The caller has disconnected, so this refusal is only logged and counted.
        Err(ReadError::Disconnected) => Err(Refusal::not_run(Cause::Cancelled).into()),
    }
}

/// Admits a request, after a wait if necessary: for its trials if it is a crash suspect, and among the
/// streams of its service.
async fn admit<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: &mut Request<P>,
) -> Result<(), Refusal> {
    let trials = gateway.begin_trials_if_suspect(request).await;
    request.trials = trials.map_err(|(cause, left)| Refusal::not_run(cause).retry_after(left))?;
    admit_stream(gateway, request).await
}

/// Admits a stream, after a wait if necessary, where its route has a latency objective for the
/// pauses between events.
async fn admit_stream<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: &mut Request<P>,
) -> Result<(), Refusal> {
    // `forward` waits for a permit that becomes available within this time.
    let bound = gateway
        .all_unavailable_for(&request.service)
        .filter(|after| *after > forward::MAX_PERMIT_WAIT);
    if let Some(after) = bound {
        return Err(Refusal::not_run(Cause::NoBackendServer).retry_after(after));
    }
    let busy = || gateway.with_pool(|pool| pool.busy_fraction(&request.service));
    let Some(admission) = request.admission_request(busy) else { return Ok(()) };
    let queue = gateway.admission_queue(&request.service);
    let names = gateway.platform.headers();
    let to_gate = request.gate_request(names, queue.summary().open, gateway.now());
    match gateway.decide_by_level(&request.service, &to_gate) {
        LevelDecision::Admitted => {
            request.admitted_stream = Some(queue.admit_at_once());
            return Ok(());
        }
        LevelDecision::Unknown => {}
        LevelDecision::Refused(to_return) => {
            gateway.metrics.streams_over_capacity.inc();
            let refusal = Refusal::not_run(Cause::QueueFull);
            return Err(match to_return {
                Return::InTurn(after) | Return::NotBefore(after) => refusal.retry_after(after),
                Return::Never => refusal,
            });
        }
    }
    match queue.admit(admission).await {
        Ok(admitted) => {
            request.admitted_stream = Some(admitted);
            Ok(())
        }
        Err(after) => {
            gateway.metrics.streams_over_capacity.inc();
            Err(Refusal::not_run(Cause::QueueFull).retry_after(after))
        }
    }
}

fn record_refusal<P: Platform>(
    gateway: &Gateway<P>,
    id: Option<&HeaderValue>,
    received_at: Millis,
    refusal: &Refusal,
) {
    let id_text = id.and_then(|id| id.to_str().ok()).unwrap_or("?");
    let held_ms = gateway.now().since(received_at).0;
    let (verdict, cause) = (refusal.verdict, refusal.cause);
    gateway.event_log.request(id_text, RefusedStep { held_ms, cause, verdict });
    gateway.metrics.refused.inc();
    if let Some(counter) = gateway.metrics.of_refusal(cause) {
        counter.inc();
    }
}

fn forwarded_head<P: Platform>(gateway: &Gateway<P>, mut head: Parts) -> Parts {
    let names = gateway.platform.headers();
    headers::strip_hop_by_hop(&mut head.headers, &names.end_to_end());
    // The HTTP version of the server concerns only the connection to it.
    head.version = http::Version::HTTP_11;
    head
}

fn refused<P: Platform, S, T>(
    refusal: &Refusal,
    id: Option<HeaderValue>,
    gateway: &Gateway<P>,
) -> (Parts, Content<S, T>) {
    let status = StatusCode::from_u16(attempts::status(refusal));
    let mut response = Response::new(());
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let names = gateway.platform.headers();
    if let Some(id) = id {
        response.headers_mut().insert(names.request_id.clone(), id);
    }
    if let Some(span) = refusal.retry_after {
        let seconds = format!("{:.3}", span.0 as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    // All fields of the body have a JSON representation.
    let body = serde_json::to_vec(&refusal.body()).unwrap_or_default();
    (response.into_parts().0, Content::Whole(Bytes::from(body)))
}
