//! Callers' connections: accepted, watched while they rest, and closed in order when the process
//! stops.

mod body;
mod watch;

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::Stream;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::attempts;
use hooktrestle_core::verdict::Refusal;
use hooktrestle_schema::Cause;
use hooktrestle_schema::RefusedStep;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http::response::Parts;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::accept;
use crate::callers::body::CallerBody;
use crate::callers::body::Content;
use crate::callers::watch::Activity;
use crate::callers::watch::Guard;
use crate::callers::watch::Watch;
use crate::callers::watch::Watched;
use crate::forward;
use crate::forward::Reply;
use crate::gateway::Gateway;
use crate::gateway::Phase;
use crate::headers;
use crate::platform::Platform;
use crate::relay;
use crate::relay::BrokenOff;
use crate::request;
use crate::request::Request;
use crate::request::Unread;

/// Smallest buffer that the HTTP library takes.
const LEAST_HEADER_BYTES: usize = 8_192;

/// Shortest time between two looks at a connection, however short the bounds: each look wakes a task.
const LEAST_LOOK: Millis = Millis(100);

/// Accepts callers until the process ends.
pub async fn serve<P: Platform>(gateway: Rc<Gateway<P>>, listener: TcpListener) {
    let note = |error: &io::Error| {
        gateway.event_log.state(format_args!("callers are not accepted: {error}"));
    };
    loop {
        let stream = accept::next(&listener, note).await;
        tokio::task::spawn_local(serve_connection(gateway.clone(), stream));
    }
}

async fn serve_connection<P: Platform>(gateway: Rc<Gateway<P>>, stream: TcpStream) {
    let watch: Watch = Rc::new(Cell::new(Activity::Resting(gateway.now())));
    let limits = gateway.serving().limits;
    let io = Watched { inner: TokioIo::new(stream), watch: watch.clone(), clock: gateway.clock };
    let service = service_fn(|request: http::Request<Incoming>| {
        watch.set(Activity::Answering);
        let watch = watch.clone();
        let gateway = gateway.clone();
        async move { answer(gateway, request, watch).await }
    });
    let mut builder = http1::Builder::new();
    builder.auto_date_header(false).max_buf_size(limits.header_bytes.max(LEAST_HEADER_BYTES));
    let connection = builder.serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    // A connection that rests when the process is told to stop stays: a request may be on its way over it
    // already. Its answer closes it.
    loop {
        let until = expiry(watch.get(), &gateway).min(gateway.now() + look_every(&gateway));
        tokio::select! {
            // A request that came while this process stood still is read first.
            biased;
            // What went wrong with the connection is the caller's to see.
            _ = connection.as_mut() => return,
            () = gateway.clock.sleep_until(until) => {
                if expiry(watch.get(), &gateway) <= gateway.now() {
                    return;
                }
            }
        }
    }
}

/// How often a connection's activity is looked at: the shortest bound that is to be kept.
fn look_every<P: Platform>(gateway: &Gateway<P>) -> Millis {
    gateway.serving().limits.header_ms.max(LEAST_LOOK)
}

fn expiry<P: Platform>(activity: Activity, gateway: &Gateway<P>) -> Millis {
    let limits = gateway.serving().limits;
    match activity {
        Activity::Resting(since) => since + limits.idle_ms,
        Activity::Reading(since) => since + limits.header_ms,
        Activity::Answering => gateway.now() + limits.idle_ms,
    }
}

type Answered<S, P> = Result<Response<CallerBody<S, P>>, Infallible>;

async fn answer<P: Platform>(
    gateway: Rc<Gateway<P>>,
    request: http::Request<Incoming>,
    watch: Watch,
) -> Answered<impl Stream<Item = Result<Frame<Bytes>, BrokenOff>>, P> {
    let guard = Guard { watch, clock: gateway.clock };
    let in_flight = gateway.begin_request();
    let came = gateway.now();
    let (parts, body) = request.into_parts();
    let id = parts.headers.get(&gateway.platform.headers().request_id).cloned();
    gateway.metrics.requests.inc();
    let (head, content) = match reply(&gateway, parts, body).await {
        Ok((_, Reply::Whole(head, body))) => {
            gateway.metrics.answered.inc();
            (passed_on(head), Content::Whole(Some(body)))
        }
        Ok((request, Reply::Stream(answer, attempts))) => {
            let head = passed_on(answer.head.clone());
            let frames = relay::frames(gateway.clone(), request, attempts, answer);
            (head, Content::Stream(Box::pin(frames)))
        }
        Ok((_, Reply::Refused(refusal))) | Err(refusal) => {
            note_refused(&gateway, id.as_ref(), came, &refusal);
            refused(&refusal, id, &gateway)
        }
    };
    gateway.metrics.head_ms.observe(gateway.now().since(came).0 as f64);
    let mut response = Response::from_parts(head, CallerBody::new(content, guard, in_flight));
    if gateway.phase() == Phase::Stopping {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// The reply to a request, and the request for as long as its answer takes; or why it is refused
/// before any server was tried.
async fn reply<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    parts: http::request::Parts,
    body: Incoming,
) -> Result<(Request<P>, Reply<P>), Refusal> {
    match request::read(gateway, parts, body).await {
        Ok(request) if !gateway.accepts(request.route().kind) => {
            // Another gateway can take it at once.
            Err(Refusal::not_run(Cause::Leaving).retry_after(Millis::ZERO))
        }
        Ok(mut request) => {
            let trial = gateway.begin_trial_if_suspect(request.fingerprint).await;
            request.trial =
                trial.map_err(|(cause, left)| Refusal::not_run(cause).retry_after(left))?;
            enter(gateway, &mut request).await?;
            let reply = forward::forward(gateway, &request).await;
            Ok((request, reply))
        }
        Err(Unread::Refused(refusal)) => Err(refusal),
        // Nobody is there to read it.
        Err(Unread::BrokenOff) => Err(Refusal::not_run(Cause::Cancelled)),
    }
}

/// Lets a stream in, after a wait if need be, where a pause between its events is owed.
async fn enter<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: &mut Request<P>,
) -> Result<(), Refusal> {
    // A permit that comes soon is waited for.
    let bound =
        gateway.all_unavailable_for(&request.service).filter(|after| *after > forward::MOST_WAIT);
    if let Some(after) = bound {
        return Err(Refusal::not_run(Cause::NoBackendServer).retry_after(after));
    }
    let busy = || gateway.with_pool(|pool| pool.busy_fraction(&request.service));
    let Some(asked) = request.asks_entry(busy) else { return Ok(()) };
    match gateway.entrance(&request.service).enter(asked).await {
        Ok(permit) => {
            request.permit = Some(permit);
            Ok(())
        }
        Err(after) => {
            gateway.metrics.streams_over_capacity.inc();
            Err(Refusal::not_run(Cause::QueueFull).retry_after(after))
        }
    }
}

fn note_refused<P: Platform>(
    gateway: &Gateway<P>,
    id: Option<&HeaderValue>,
    came: Millis,
    refusal: &Refusal,
) {
    let shown = id.and_then(|id| id.to_str().ok()).unwrap_or("?");
    let held_ms = gateway.now().since(came).0;
    let (verdict, cause) = (refusal.verdict, refusal.cause);
    gateway.event_log.request(shown, RefusedStep { held_ms, cause, verdict });
    gateway.metrics.refused.inc();
    if let Some(counter) = gateway.metrics.of_refusal(cause) {
        counter.inc();
    }
}

fn passed_on(mut head: Parts) -> Parts {
    headers::strip_connection(&mut head.headers);
    // What the server spoke concerns its connection only.
    head.version = http::Version::HTTP_11;
    head
}

fn refused<P: Platform, S>(
    refusal: &Refusal,
    id: Option<HeaderValue>,
    gateway: &Gateway<P>,
) -> (Parts, Content<S>) {
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
    // A problem's body has only fields that JSON can hold.
    let body = serde_json::to_vec(&refusal.body()).unwrap_or_default();
    (response.into_parts().0, Content::Whole(Some(Bytes::from(body))))
}
