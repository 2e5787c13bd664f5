//! The HTTP listeners for queries: the list of gateways that callers can use, the readiness of this
//! gateway, and its metrics. Takes a request's path and query and answers from the gateway's state.
//! It decides which gateways are listed, and for how long callers may cache the list.

use std::future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hooktrestle_core::direct::members::Distance;
use hooktrestle_core::direct::members::Readiness;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use tokio::net::TcpListener;
use tokio::time;

use crate::accept;
use crate::bounded;
use crate::bounded::BoundedBody;
use crate::gateway::Gateway;
use crate::platform::EndpointsQuery;
use crate::platform::Platform;

/// Time for which callers may cache the list of gateways. Some callers keep it three times as long,
/// so this also bounds how long callers use a gateway that is stopping: no longer than the gateway
/// still accepts streams.
const ENDPOINTS_MAX_AGE: Duration = Duration::from_secs(1);

/// Maximum lifetime of a connection for queries.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of gateways in an answer; callers store no more.
const MAX_ENDPOINTS: usize = 64;

/// The kind of query that a listener answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueryKind {
    /// The list of gateways for callers.
    Endpoints,
    /// The readiness of this gateway.
    Readiness,
    /// The metrics of this gateway.
    Metrics,
}

/// Answers queries of one kind until the process ends.
pub async fn serve<P: Platform>(gateway: Rc<Gateway<P>>, listener: TcpListener, kind: QueryKind) {
    let log_error = |error: &io::Error| {
        gateway
            .event_log
            .state(format_args!("accepting a connection for {kind:?} failed: {error}"));
    };
    loop {
        let stream = accept::next(&listener, log_error).await;
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            let served =
                bounded::serve(stream, |request| future::ready(answer(&gateway, &request, kind)));
            // An error of the connection affects only its client, which notices it.
            drop(time::timeout(CONNECTION_TIMEOUT, served).await);
        });
    }
}

fn answer<P: Platform>(
    gateway: &Gateway<P>,
    request: &Request<BoundedBody>,
    kind: QueryKind,
) -> Response<Full<Bytes>> {
    let (path, query) = (request.uri().path(), request.uri().query().unwrap_or_default());
    match kind {
        QueryKind::Readiness if gateway.platform.asks_for_readiness(path) => {
            let ready = gateway.readiness() == Readiness::Ready;
            status(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        }
        QueryKind::Metrics => {
            gateway.record_table_ages();
            Response::new(Full::new(Bytes::from(gateway.metrics.text())))
        }
        QueryKind::Endpoints => match gateway.platform.asks_for_endpoints(path, query) {
            Some(query) => endpoints(gateway, &query),
            None => status(StatusCode::NOT_FOUND),
        },
        QueryKind::Readiness => status(StatusCode::NOT_FOUND),
    }
}

fn endpoints<P: Platform>(gateway: &Gateway<P>, query: &EndpointsQuery) -> Response<Full<Bytes>> {
    let now = gateway.now();
    let serving = gateway.serving();
    let distance = |data_centre: &str| {
        let region = gateway.platform.region_of(data_centre);
        if data_centre == query.data_centre {
            Distance::SameDataCentre
        } else if region == query.region {
            Distance::SameRegion
        } else if serving.host_allows(&query.host, region) {
            Distance::Allowed
        } else {
            Distance::LastResort
        }
    };
    let mut gateways = gateway.with_members(|members| {
        members.set_readiness(gateway.readiness());
        members.for_callers(distance, now)
    });
    gateways.truncate(MAX_ENDPOINTS);
    let (media_type, body) = gateway.platform.endpoints(&gateways, ENDPOINTS_MAX_AGE);
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
