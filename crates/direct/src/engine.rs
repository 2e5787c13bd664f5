//! Client for reports, counts and orders of the engines of backend servers.
//! It keeps pooled connections, and skips sidecars and relays that did not answer for a while.
//! It decides whether a request goes through a sidecar, through a gateway or directly.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hooktrestle_core::direct::count_deltas::Counts;
use hooktrestle_core::direct::map_orders::Reply;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::util::arena::Key;
use hooktrestle_schema::CountsNews;
use hooktrestle_schema::OtherAnswerStep;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use tokio::time;

use crate::bounded::ReceivedAnswer;
use crate::compression;
use crate::connections::Connection;
use crate::gateway::Gateway;
use crate::headers;
use crate::platform::EngineReport;
use crate::platform::EngineRequest;
use crate::platform::Platform;
use crate::sidecar;

/// Longest wait for an answer. Orders without an answer are sent again; a server answers within a
/// few milliseconds unless the answer is lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest wait for a connection to a sidecar, before the engine is called directly.
const SIDECAR_TIMEOUT: Duration = Duration::from_millis(60);

/// How an engine is reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// Through its sidecar.
    Sidecar,
    /// Through its sidecar, or directly if there is none. Direct calls are priced, and disturb the
    /// group.
    Any,
    /// Through another gateway. Such calls are priced, but a failure of that gateway makes no
    /// server unreachable.
    Through(IpAddr),
}

/// A request to an engine, encoded once for any number of engines.
#[derive(Clone, Debug)]
pub struct EncodedRequest {
    method: Method,
    uri: Uri,
    body: Bytes,
    /// The compressed body for sidecars and relays, if the body is large enough.
    compressed: Option<Bytes>,
    /// For counts, and for sidecars only: the number of the known snapshot, to which the reply
    /// gives the delta.
    since: Option<u64>,
}

impl EncodedRequest {
    /// Encodes a request in the format of the platform.
    pub fn new<P: Platform>(
        gateway: &Gateway<P>,
        engine_request: &EngineRequest<'_>,
    ) -> EncodedRequest {
        let (method, uri, body) = gateway.platform.encode_engine_request(engine_request);
        let compressed =
            (body.len() >= compression::COMPRESS_FROM_BYTES).then(|| compression::compress(&body));
        EncodedRequest { method, uri, body, compressed, since: None }
    }

    /// For counts: requests only the delta since the snapshot with this number.
    fn since(self, known: u64) -> EncodedRequest {
        EncodedRequest { since: Some(known), ..self }
    }
}

/// Calls an engine, and returns the status and body of its answer; `None` if there was none in
/// time. A sidecar or a relay that did not answer is skipped for a while: its process may be frozen
/// while its machine still accepts connections.
async fn call<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    encoded: &EncodedRequest,
    path: Path,
) -> Option<(StatusCode, Bytes)> {
    let through_sidecar = gateway.uses_sidecar(server);
    let answer = time::timeout(ANSWER_TIMEOUT, exchange(gateway, server, encoded, path)).await;
    // A late answer counts as none.
    let answer = answer.unwrap_or_default();
    match path {
        Path::Through(relay) if answer.is_none() => gateway.mark_relay_unanswered(relay),
        Path::Sidecar | Path::Any if answer.is_none() && through_sidecar => {
            gateway.mark_sidecar_unanswered(server);
        }
        _ => {}
    }
    // A sidecar answers with this status if the engine did not answer.
    answer.filter(|(status, _)| *status != StatusCode::BAD_GATEWAY)
}

/// Calls an engine, and returns the body of a successful answer.
async fn call_body<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    encoded: &EncodedRequest,
    path: Path,
) -> Option<Bytes> {
    let (status, body) = call(gateway, server, encoded, path).await?;
    status.is_success().then_some(body)
}

/// The process at the remote end of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RemoteEnd {
    Engine,
    Sidecar,
    Relay,
}

async fn exchange<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    encoded: &EncodedRequest,
    path: Path,
) -> Option<(StatusCode, Bytes)> {
    let is_limited = gateway.with_pool(|pool| pool.limit(server).is_some());
    let path = match path {
        // The limit does not apply to the engine's own machine, on which the sidecar runs.
        Path::Through(_) if is_limited => Path::Any,
        path => path,
    };
    let (mut connection, end) = connect(gateway, server, path, encoded).await?;
    let request = request(gateway, server, encoded, end)?;
    let sent_at = gateway.now();
    let ReceivedAnswer { head, body, .. } = connection.sender().send_request(request).await.ok()?;
    if end == RemoteEnd::Engine && is_of_request(gateway, server, &head.headers) {
        return None;
    }
    connection.on_answer(&head.headers);
    match end {
        RemoteEnd::Engine => {
            gateway.record_server_notices(server, &head);
            gateway.record_advertised_limit(server, &head, sent_at, head.status.is_success());
        }
        // A back-off applies to the sender on whose connection it was requested, and not all
        // headers of the engine pass a sidecar or relay.
        RemoteEnd::Sidecar | RemoteEnd::Relay => {
            gateway.record_leaving(server, &head);
            gateway.record_advertised_limit(server, &head, sent_at, false);
        }
    }
    let body = Limited::new(body, sidecar::MAX_BODY_BYTES).collect().await.ok()?.to_bytes();
    match end {
        RemoteEnd::Engine => gateway.connections.put_back(connection),
        RemoteEnd::Sidecar => gateway.sidecars.put_back(connection),
        // Not pooled: a switch of maps relays one order, each time through another gateway.
        RemoteEnd::Relay => drop(connection),
    }
    Some((head.status, body))
}

/// Whether an answer names a request of a caller, as a surplus one on a reused connection does; it
/// is logged.
fn is_of_request<P: Platform>(
    gateway: &Gateway<P>,
    server: Key<Server>,
    headers: &HeaderMap,
) -> bool {
    let named = headers::text(headers, &gateway.platform.headers().request_id);
    let Some(id) = named.filter(|id| !id.is_empty()) else { return false };
    gateway.event_log.request(id, OtherAnswerStep { server_number: server.number() });
    true
}

/// The HTTP request to a server's engine; `None` if the platform names a header or URI that HTTP
/// does not allow.
fn request<P: Platform>(
    gateway: &Gateway<P>,
    server: Key<Server>,
    encoded: &EncodedRequest,
    end: RemoteEnd,
) -> Option<Request<Full<Bytes>>> {
    let listed = gateway.with_pool(|pool| pool.server(server).listed.clone());
    let mut request = Request::builder()
        .method(&encoded.method)
        .uri(&encoded.uri)
        .header(header::HOST, listed.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(&gateway.platform.headers().expect_server, listed.id);
    let mut body = &encoded.body;
    if end != RemoteEnd::Engine {
        if let Some(known) = encoded.since {
            request = request.header(sidecar::SINCE_HEADER, known);
        }
        if let Some(compressed) = &encoded.compressed {
            body = compressed;
            request = request.header(header::CONTENT_ENCODING, compression::ENCODING);
        }
    }
    if end == RemoteEnd::Relay {
        request = request.header(sidecar::ENGINE_HEADER, listed.address.to_string());
    }
    request.body(Full::new(body.clone())).ok()
}

/// A connection over which the engine is reached, and the process at its remote end. An order that
/// is sent directly gets a new connection: on a reused one a surplus answer to an earlier call, which
/// nothing tells from its own, would make it count as carried out.
async fn connect<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    path: Path,
    encoded: &EncodedRequest,
) -> Option<(Connection, RemoteEnd)> {
    if let Path::Through(relay) = path {
        let at = SocketAddr::new(relay, gateway.sidecars_port);
        let opened = Connection::open_with_timeout(server, at, SIDECAR_TIMEOUT).await;
        return Some((opened.ok()?, RemoteEnd::Relay));
    }
    if let Some(connection) = connect_sidecar(gateway, server).await {
        return Some((connection, RemoteEnd::Sidecar));
    }
    if path != Path::Any {
        return None;
    }
    let now = gateway.now();
    let address = gateway.with_pool(|pool| {
        let address = pool.server(server).listed.address;
        (!pool.is_backing_off(server, now)).then_some(address)
    })?;
    if gateway.with_pool(|pool| pool.limit(server).is_some()) {
        gateway.permit(server).await?;
    }
    let idle = encoded.method.is_safe().then(|| gateway.connections.idle(server)).flatten();
    if let Some(connection) = idle {
        return Some((connection, RemoteEnd::Engine));
    }
    gateway.metrics.connections_opened.inc();
    Some((Connection::open(server, address).await.ok()?, RemoteEnd::Engine))
}

/// A connection to the sidecar of a server, unless there is none or it is skipped.
async fn connect_sidecar<P: Platform>(
    gateway: &Gateway<P>,
    server: Key<Server>,
) -> Option<Connection> {
    if !gateway.uses_sidecar(server) {
        return None;
    }
    if let Some(connection) = gateway.sidecars.idle(server) {
        return Some(connection);
    }
    let ip = gateway.with_pool(|pool| pool.server(server).listed.address.ip());
    let sidecar_at = SocketAddr::new(ip, gateway.sidecars_port);
    Connection::open_with_timeout(server, sidecar_at, SIDECAR_TIMEOUT).await.ok()
}

/// The report of an engine, if it sends one.
pub async fn report<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    path: Path,
) -> Option<EngineReport> {
    let encoded = EncodedRequest::new(gateway, &EngineRequest::Report);
    let body = call_body(gateway, server, &encoded, path).await?;
    gateway.platform.engine_report(&body)
}

/// How often the requests of an engine's rank have chosen each expert since its start.
pub async fn counts<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    path: Path,
) -> Option<Counts> {
    let encoded = EncodedRequest::new(gateway, &EngineRequest::Counts);
    let body = call_body(gateway, server, &encoded, path).await?;
    gateway.platform.engine_counts(&body)
}

/// The same counts through the engine's sidecar, as the delta since the known snapshot.
pub async fn counts_since<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    known: u64,
) -> Option<CountsNews> {
    let encoded = EncodedRequest::new(gateway, &EngineRequest::Counts).since(known);
    let body = call_body(gateway, server, &encoded, Path::Sidecar).await?;
    let body = compression::decompress(&body, sidecar::MAX_BODY_BYTES).ok()?;
    ciborium::from_reader(body.as_ref()).ok()
}

/// The experts of an engine's rank, set by set, and the version of that map.
pub async fn experts<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
) -> Option<(u64, Vec<Vec<u16>>)> {
    let encoded = EncodedRequest::new(gateway, &EngineRequest::Experts);
    let body = call_body(gateway, server, &encoded, Path::Any).await?;
    gateway.platform.engine_experts(&body)
}

/// Sends an order. An answer that names another server shows that this one has lost its address.
pub async fn order<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    order: &EncodedRequest,
    path: Path,
) -> Reply {
    match call(gateway, server, order, path).await {
        Some((status, _)) if gateway.platform.is_other_server(status.as_u16()) => {
            gateway.with_pool(|pool| pool.mark_replaced(server));
            Reply::NoAnswer
        }
        Some((status, _)) => gateway.platform.engine_order_reply(status.as_u16()),
        None => Reply::NoAnswer,
    }
}
