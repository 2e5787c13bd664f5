//! Short questions and orders to a backend server's engine, beside the requests that it serves.

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
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use tokio::time;

use crate::compression;
use crate::connections::Connection;
use crate::gateway::Gateway;
use crate::platform::EngineAsk;
use crate::platform::EngineReport;
use crate::platform::Platform;
use crate::sidecar;

/// Longest wait for an answer. Orders that get none are repeated; a server answers within a few
/// milliseconds unless the answer is lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest wait for a connection to a sidecar, before the engine is asked directly.
const SIDECAR_TIMEOUT: Duration = Duration::from_millis(60);

/// How an engine is reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// Through the process beside it.
    Sidecar,
    /// The same, or directly where there is none: that is priced, and disturbs the group.
    Any,
    /// Through another gateway. That is priced, but what happens to that gateway does not keep any
    /// server from being reached.
    Through(IpAddr),
}

/// A question as it is put to engines, made once however many are asked.
#[derive(Clone, Debug)]
pub struct Question {
    method: Method,
    uri: Uri,
    body: Bytes,
    /// The body as sidecars get it, where that is smaller.
    packed: Option<Bytes>,
    /// For counts, to sidecars alone: the reading since which they are told.
    since: Option<u64>,
}

impl Question {
    /// Spells a question as the platform has it.
    pub fn new<P: Platform>(gateway: &Gateway<P>, asked: &EngineAsk<'_>) -> Question {
        let (method, uri, body) = gateway.platform.engine_ask(asked);
        let packed =
            (body.len() >= compression::COMPRESS_FROM_BYTES).then(|| compression::compress(&body));
        Question { method, uri, body, packed, since: None }
    }

    /// For counts: the sidecar tells only what came since the reading with this number.
    fn since(self, known: u64) -> Question {
        Question { since: Some(known), ..self }
    }
}

/// Asks an engine, and returns its status and answer; `None` if there was none in time. A sidecar or
/// a relaying gateway that gave no answer is passed by for a while: its process may be frozen, and its
/// machine still take connections.
async fn ask<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    question: &Question,
    path: Path,
) -> Option<(StatusCode, Bytes)> {
    let through_sidecar = gateway.uses_sidecar(server);
    let answer = time::timeout(ANSWER_TIMEOUT, exchange(gateway, server, question, path)).await;
    // Too late is no answer.
    let answer = answer.unwrap_or_default();
    match path {
        Path::Through(relay) if answer.is_none() => gateway.pass_relay_by(relay),
        Path::Sidecar | Path::Any if answer.is_none() && through_sidecar => {
            gateway.pass_sidecar_by(server);
        }
        _ => {}
    }
    // A sidecar says so where the engine gave no answer.
    answer.filter(|(status, _)| *status != StatusCode::BAD_GATEWAY)
}

/// The same, where only an answer that says success is of use.
async fn ask_body<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    question: &Question,
    path: Path,
) -> Option<Bytes> {
    let (status, body) = ask(gateway, server, question, path).await?;
    status.is_success().then_some(body)
}

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Engine,
    Sidecar,
    Relay,
}

async fn exchange<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    question: &Question,
    path: Path,
) -> Option<(StatusCode, Bytes)> {
    let is_limited = gateway.with_pool(|pool| pool.limit(server).is_some());
    let path = match path {
        // Its own machine is none of those that the limit is for.
        Path::Through(_) if is_limited => Path::Any,
        path => path,
    };
    let (mut connection, end) = connect(gateway, server, path).await?;
    let request = request(gateway, server, question, end)?;
    let sent_at = gateway.now();
    let answer = connection.sender().send_request(request).await.ok()?;
    let (head, body) = answer.into_parts();
    connection.note_answer(&head.headers);
    match end {
        End::Engine => {
            gateway.note_asked(server, &head);
            gateway.note_limit(server, &head, sent_at, head.status.is_success());
        }
        // A rest is asked of the one whose connection it came on, and not all that the engine says comes through.
        End::Sidecar | End::Relay => {
            gateway.note_leaving(server, &head);
            gateway.note_limit(server, &head, sent_at, false);
        }
    }
    let body = body.collect().await.ok()?.to_bytes();
    match end {
        End::Engine => gateway.connections.keep(connection),
        End::Sidecar => gateway.sidecars.keep(connection),
        // One order a switch, and each through another gateway.
        End::Relay => drop(connection),
    }
    Some((head.status, body))
}

/// The request that asks a server's engine; `None` if the platform names a header or URI that HTTP
/// does not allow.
fn request<P: Platform>(
    gateway: &Gateway<P>,
    server: Key<Server>,
    question: &Question,
    end: End,
) -> Option<Request<Full<Bytes>>> {
    let listed = gateway.with_pool(|pool| pool.server(server).listed.clone());
    let mut request = Request::builder()
        .method(&question.method)
        .uri(&question.uri)
        .header(header::HOST, listed.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(&gateway.platform.headers().expect_server, listed.id);
    let mut body = &question.body;
    if end != End::Engine {
        if let Some(known) = question.since {
            request = request.header(sidecar::SINCE_HEADER, known);
        }
        if let Some(packed) = &question.packed {
            body = packed;
            request = request.header(header::CONTENT_ENCODING, compression::ENCODING);
        }
    }
    if end == End::Relay {
        request = request.header(sidecar::ENGINE_HEADER, listed.address.to_string());
    }
    request.body(Full::new(body.clone())).ok()
}

/// A connection on which the engine is reached, and who is at its other end.
async fn connect<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    path: Path,
) -> Option<(Connection, End)> {
    if let Path::Through(relay) = path {
        let at = SocketAddr::new(relay, gateway.sidecars_port);
        let opened = Connection::open_within(server, at, SIDECAR_TIMEOUT).await;
        return Some((opened.ok()?, End::Relay));
    }
    if let Some(connection) = connect_sidecar(gateway, server).await {
        return Some((connection, End::Sidecar));
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
    if let Some(connection) = gateway.connections.idle(server) {
        return Some((connection, End::Engine));
    }
    gateway.metrics.dialled.inc();
    Some((Connection::open(server, address).await.ok()?, End::Engine))
}

/// A connection to the process beside a server, unless there is none or it is passed by.
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
    let beside = SocketAddr::new(ip, gateway.sidecars_port);
    Connection::open_within(server, beside, SIDECAR_TIMEOUT).await.ok()
}

/// An engine's report, if it gives one.
pub async fn report<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    path: Path,
) -> Option<EngineReport> {
    let question = Question::new(gateway, &EngineAsk::Report);
    let body = ask_body(gateway, server, &question, path).await?;
    gateway.platform.engine_report(&body)
}

/// How often the requests of an engine's rank have chosen each expert since its start.
pub async fn counts<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    path: Path,
) -> Option<Counts> {
    let question = Question::new(gateway, &EngineAsk::Counts);
    let body = ask_body(gateway, server, &question, path).await?;
    gateway.platform.engine_counts(&body)
}

/// The same through the process beside the engine, which tells what came since the reading that is
/// known.
pub async fn counts_since<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    known: u64,
) -> Option<CountsNews> {
    let question = Question::new(gateway, &EngineAsk::Counts).since(known);
    let body = ask_body(gateway, server, &question, Path::Sidecar).await?;
    let body = compression::decompress(&body, sidecar::MAX_BODY_BYTES).ok()?;
    ciborium::from_reader(body.as_ref()).ok()
}

/// The experts of an engine's rank, set by set, and the version of that map.
pub async fn experts<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
) -> Option<(u64, Vec<Vec<u16>>)> {
    let question = Question::new(gateway, &EngineAsk::Experts);
    let body = ask_body(gateway, server, &question, Path::Any).await?;
    gateway.platform.engine_experts(&body)
}

/// Gives an order. An answer that names another server shows that this one has lost its address.
pub async fn order<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    order: &Question,
    path: Path,
) -> Reply {
    match ask(gateway, server, order, path).await {
        Some((status, _)) if gateway.platform.is_other_server(status.as_u16()) => {
            gateway.with_pool(|pool| pool.mark_replaced(server));
            Reply::NoAnswer
        }
        Some((status, _)) => gateway.platform.engine_order_reply(status.as_u16()),
        None => Reply::NoAnswer,
    }
}
