//! Short questions: which gateways to use, whether this one is ready, and its metrics.

use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hooktrestle_core::direct::members::Readiness;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time;

use crate::accept;
use crate::gateway::Gateway;
use crate::platform::Platform;

/// How long callers may keep an answer. Some keep it three times as long, so it also bounds how
/// long a stopping gateway has callers: no longer than it takes streams.
const KEEP_ENDPOINTS: Duration = Duration::from_secs(1);

/// Longest time that a connection for short questions lives.
const CONNECTION_LIFE: Duration = Duration::from_secs(30);

/// Most gateways in an answer; callers hold no more.
const MOST_ENDPOINTS: usize = 64;

/// What is asked on a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Question {
    /// Which gateways to use.
    Endpoints,
    /// Whether this one is ready.
    Readiness,
    /// Its metrics.
    Metrics,
}

/// Answers a kind of question until the process ends.
pub async fn serve<P: Platform>(
    gateway: Rc<Gateway<P>>,
    listener: TcpListener,
    question: Question,
) {
    let note = |error: &io::Error| {
        gateway.event_log.state(format_args!("{question:?} is not accepted: {error}"));
    };
    loop {
        let stream = accept::next(&listener, note).await;
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let answer = answer(&gateway, &request, question);
                async move { Ok::<_, Infallible>(answer) }
            });
            let mut builder = http1::Builder::new();
            let connection =
                builder.auto_date_header(false).serve_connection(TokioIo::new(stream), service);
            // What went wrong with the connection is the asker's to see.
            drop(time::timeout(CONNECTION_LIFE, connection).await);
        });
    }
}

fn answer<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<Incoming>,
    question: Question,
) -> Response<Full<Bytes>> {
    let (path, query) = (request.uri().path(), request.uri().query().unwrap_or_default());
    match question {
        Question::Readiness if gateway.platform.asks_for_readiness(path) => {
            let ready = gateway.readiness() == Readiness::Ready;
            status(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        }
        Question::Metrics => Response::new(Full::new(Bytes::from(gateway.metrics.text()))),
        Question::Endpoints => match gateway.platform.asks_for_endpoints(path, query) {
            Some(data_centre) => endpoints(gateway, &data_centre),
            None => status(StatusCode::NOT_FOUND),
        },
        Question::Readiness => status(StatusCode::NOT_FOUND),
    }
}

fn endpoints<P: Platform>(gateway: &Gateway<P>, data_centre: &str) -> Response<Full<Bytes>> {
    let now = gateway.now();
    let mut found = gateway.with_members(|members| {
        members.set_readiness(gateway.readiness());
        members.for_callers(data_centre, now)
    });
    found.truncate(MOST_ENDPOINTS);
    let (media_type, body) = gateway.platform.endpoints(&found, KEEP_ENDPOINTS);
    let mut response = Response::new(Full::new(body));
    response.headers_mut().insert(header::CONTENT_TYPE, media_type);
    response.headers_mut().insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
