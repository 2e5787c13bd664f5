//! Callers' connections: accepted, watched while they rest, and closed in order when the process
//! stops.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::attempts;
use hooktrestle_core::verdict::Refusal;
use hooktrestle_schema::Cause;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http::response::Parts;
use http_body::Body;
use http_body::SizeHint;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::rt::ReadBufCursor;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;
use tokio::time::Instant;

use crate::accept;
use crate::forward;
use crate::forward::Reply;
use crate::gateway::Gateway;
use crate::gateway::InFlight;
use crate::gateway::Phase;
use crate::headers;
use crate::platform::Platform;
use crate::relay;
use crate::relay::BrokenOff;
use crate::request;
use crate::request::Unread;

/// Smallest buffer that the HTTP library takes.
const LEAST_HEADER_BYTES: usize = 8_192;

/// Accepts callers until the process ends.
pub async fn serve<P: Platform>(gateway: Rc<Gateway<P>>, listener: TcpListener) {
    let note = |error: &io::Error| {
        gateway.journal.state(format_args!("callers are not accepted: {error}"));
    };
    loop {
        let stream = accept::next(&listener, note).await;
        tokio::task::spawn_local(serve_connection(gateway.clone(), stream));
    }
}

/// What a connection is at, and since when.
#[derive(Clone, Copy)]
enum Activity {
    /// Nothing of a request has come.
    Resting(Instant),
    /// A request's head is coming.
    Reading(Instant),
    /// A request has no whole answer yet.
    Answering,
}

type Watch = Rc<Cell<Activity>>;

async fn serve_connection<P: Platform>(gateway: Rc<Gateway<P>>, stream: TcpStream) {
    let watch: Watch = Rc::new(Cell::new(Activity::Resting(Instant::now())));
    let limits = gateway.serving().limits;
    let io = Watched { inner: TokioIo::new(stream), watch: watch.clone() };
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
    let mut stopping = false;
    loop {
        let until = expiry(watch.get(), &gateway).min(Instant::now() + limits_check(&gateway));
        tokio::select! {
            // What went wrong with the connection is the caller's to see.
            _ = connection.as_mut() => return,
            () = gateway.stop.notified(), if !stopping => {}
            () = time::sleep_until(until) => {
                if expiry(watch.get(), &gateway) <= Instant::now() {
                    return;
                }
            }
        }
        if gateway.phase() == Phase::Stopping && !stopping {
            stopping = true;
            connection.as_mut().graceful_shutdown();
        }
    }
}

/// How often a connection's activity is looked at: the shortest bound that is to be kept.
fn limits_check<P: Platform>(gateway: &Gateway<P>) -> Duration {
    Duration::from_millis(gateway.serving().limits.header_ms.0.max(100))
}

fn expiry<P: Platform>(activity: Activity, gateway: &Gateway<P>) -> Instant {
    let limits = gateway.serving().limits;
    match activity {
        Activity::Resting(since) => since + Duration::from(limits.idle_ms),
        Activity::Reading(since) => since + Duration::from(limits.header_ms),
        Activity::Answering => Instant::now() + Duration::from(limits.idle_ms),
    }
}

type Answered<S, P> = Result<Response<CallerBody<S, P>>, Infallible>;

async fn answer<P: Platform>(
    gateway: Rc<Gateway<P>>,
    request: http::Request<Incoming>,
    watch: Watch,
) -> Answered<impl Stream<Item = Result<Frame<Bytes>, BrokenOff>>, P> {
    let guard = Guard { watch };
    let in_flight = gateway.begin_request();
    let came = gateway.now();
    let (parts, body) = request.into_parts();
    let id = parts.headers.get(&gateway.platform.headers().request_id).cloned();
    gateway.metrics.requests.inc();
    let read = request::read(&gateway, parts, body).await;
    let reply = match read {
        Ok(request) if request.is_stream() && !gateway.takes_streams() => {
            // Another gateway can take it at once.
            Err(Refusal::not_run(Cause::Leaving).retry_after(Millis::ZERO))
        }
        Ok(request) => {
            let reply = forward::forward(&gateway, &request).await;
            Ok((request, reply))
        }
        Err(Unread::Refused(refusal)) => Err(refusal),
        // Nobody is there to read it.
        Err(Unread::BrokenOff) => Err(Refusal::not_run(Cause::Cancelled)),
    };
    let (head, content) = match reply {
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
            let shown = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("?");
            let held = gateway.now().since(came);
            let (verdict, cause) = (refusal.verdict, refusal.cause);
            let line = format_args!("refused after {held}: {cause} verdict={verdict}");
            gateway.journal.request(shown, line);
            gateway.metrics.refused.inc();
            refused(&refusal, id, &gateway)
        }
    };
    gateway.metrics.head_ms.observe(gateway.now().since(came).0 as f64);
    let mut response =
        Response::from_parts(head, CallerBody { content, _guard: guard, _in_flight: in_flight });
    if gateway.phase() == Phase::Stopping {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
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

/// The connection rests again once its answer is written.
struct Guard {
    watch: Watch,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.watch.set(Activity::Resting(Instant::now()));
    }
}

enum Content<S> {
    Whole(Option<Bytes>),
    Stream(Pin<Box<S>>),
}

/// The body of an answer to a caller.
struct CallerBody<S, P: Platform> {
    content: Content<S>,
    _guard: Guard,
    _in_flight: InFlight<P>,
}

impl<S, P: Platform> Body for CallerBody<S, P>
where
    S: Stream<Item = Result<Frame<Bytes>, BrokenOff>>,
{
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut self.content {
            Content::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Content::Stream(frames) => frames.as_mut().poll_next(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

/// A connection that notes when the first bytes of a request come.
struct Watched {
    inner: TokioIo<TcpStream>,
    watch: Watch,
}

impl hyper::rt::Read for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if let (Poll::Ready(Ok(())), Activity::Resting(_)) = (&polled, self.watch.get()) {
            self.watch.set(Activity::Reading(Instant::now()));
        }
        polled
    }
}

impl hyper::rt::Write for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, pieces)
    }
}
