//! Short questions and orders to a backend server's engine, beside the requests that it serves.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hooktrestle_core::direct::map_orders::Reply;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::util::arena::Key;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use tokio::time;

use crate::connections::Connection;
use crate::gateway::Gateway;
use crate::platform::Counts;
use crate::platform::EngineAsk;
use crate::platform::EngineReport;
use crate::platform::Platform;

/// Longest wait for an answer. Orders that get none are repeated; a server answers within a few
/// milliseconds unless the answer is lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks an engine, and returns its status and answer; `None` if there was none in time.
async fn ask<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    ask: &EngineAsk<'_>,
) -> Option<(StatusCode, Bytes)> {
    time::timeout(ANSWER_TIMEOUT, exchange(gateway, server, ask)).await.ok()?
}

async fn exchange<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    ask: &EngineAsk<'_>,
) -> Option<(StatusCode, Bytes)> {
    let listed = gateway.with_pool(|pool| pool.server(server).listed.clone());
    let mut connection = match gateway.connections.idle(server) {
        Some(connection) => connection,
        None => {
            gateway.metrics.dialled.inc();
            Connection::open(server, listed.address).await.ok()?
        }
    };
    let (method, uri, body) = gateway.platform.engine_ask(ask);
    let request = Request::builder()
        .method(method)
        .uri(uri)
        .header(header::HOST, listed.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(&gateway.platform.headers().expect_server, listed.id)
        .body(Full::new(body))
        .ok()?;
    let answer = connection.sender().send_request(request).await.ok()?;
    let (head, body) = answer.into_parts();
    connection.note_answer(&head.headers);
    let body = body.collect().await.ok()?.to_bytes();
    gateway.connections.keep(connection);
    Some((head.status, body))
}

/// An engine's report, if it gives one.
pub async fn report<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
) -> Option<EngineReport> {
    let (status, body) = ask(gateway, server, &EngineAsk::Report).await?;
    if !status.is_success() {
        return None;
    }
    gateway.platform.engine_report(&body)
}

/// How often the requests of an engine's rank have chosen each expert since its start.
pub async fn counts<P: Platform>(gateway: &Rc<Gateway<P>>, server: Key<Server>) -> Option<Counts> {
    let (status, body) = ask(gateway, server, &EngineAsk::Counts).await?;
    if !status.is_success() {
        return None;
    }
    gateway.platform.engine_counts(&body)
}

/// The experts of an engine's rank, set by set, and the version of that map.
pub async fn experts<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
) -> Option<(u64, Vec<Vec<u16>>)> {
    let (status, body) = ask(gateway, server, &EngineAsk::Experts).await?;
    if !status.is_success() {
        return None;
    }
    gateway.platform.engine_experts(&body)
}

/// Gives an order.
pub async fn order<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    server: Key<Server>,
    order: &EngineAsk<'_>,
) -> Reply {
    match ask(gateway, server, order).await {
        Some((status, _)) => gateway.platform.engine_order_reply(status.as_u16()),
        None => Reply::Nothing,
    }
}
