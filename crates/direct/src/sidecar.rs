//! Sidecar of a backend server: relays requests and orders to the engine on the same machine.
//! Input: HTTP requests of the leader of a service's maps. State: the last counts sent to leaders,
//! and idle connections. It decides nothing: an order contains the fencing token that guards it.
//!
//! An engine answers requests of its own machine with a fresh report, and neither reports nor
//! orders have a price there. Reports to other machines are late, and each request from them
//! disturbs the group. So the leader sends its requests through the sidecar, and directly only if
//! there is none. The counts sent last are the base of the next ones, which are sent as
//! differences.
//!
//! Gateways relay in the same way, to the engine that a request names:
//! [`hooktrestle_core::direct::relays`] describes which orders go through them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use eyre::WrapErr;
use eyre::ensure;
use eyre::eyre;
use hooktrestle_core::direct::count_deltas::Counts;
use hooktrestle_core::direct::count_deltas::DeltaEncoder;
use hooktrestle_schema::SidecarRoleSettings;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

use crate::accept;
use crate::bounded;
use crate::bounded::BoundedBody;
use crate::bounded::ReceivedAnswer;
use crate::bounded::RequestSender;
use crate::compression;
use crate::dial;
use crate::gateway::Gateway;
use crate::headers;
use crate::platform::Platform;
use crate::signals::Signals;

/// Header with the address of the engine that a request is for. Without it, that is the local
/// engine.
pub(crate) const ENGINE_HEADER: &str = "hooktrestle-engine";

/// Header of a request for counts with the number of a counter snapshot: the response is to contain
/// the differences from that snapshot, compressed.
pub(crate) const SINCE_HEADER: &str = "hooktrestle-since";

/// Time-out of a request to the engine. A local engine answers within a few milliseconds, and a
/// group may be held until an order without an answer is retried.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(60);

/// Maximum size of a relayed body. A map of 64 ranks and 256 experts has some 100 KB.
pub(crate) const MAX_BODY_BYTES: usize = 1 << 20;

/// The local engine, and idle connections to it and to other engines. `C` returns whether the
/// engine at an address accepts only local orders now, as it is backing off or advertises a limit.
struct Engines<C> {
    is_local_only: C,
    /// `None` at a gateway, which has no local engine.
    local: Option<SocketAddr>,
    idle: RefCell<HashMap<SocketAddr, Vec<RequestSender>>>,
    /// Decodes counts in the engine's format.
    decode_counts: DecodeCounts,
    sent: RefCell<DeltaEncoder>,
}

/// Decodes an engine's response with its counts.
pub type DecodeCounts = fn(&[u8]) -> Option<Counts>;

/// Runs the sidecar until a signal stops the process.
///
/// # Errors
///
/// The address to listen on cannot be bound.
pub async fn run(
    settings: &SidecarRoleSettings,
    decode_counts: DecodeCounts,
    signals: Signals,
) -> Result<()> {
    let Signals { mut terminate, mut hang_up } = signals;
    let listener = TcpListener::bind(&settings.listen)
        .await
        .wrap_err_with(|| format!("cannot listen on {}", settings.listen))?;
    // Orders of this process are local ones, which its engine always accepts.
    let engines = Rc::new(Engines::new(Some(settings.engine.parse()?), decode_counts, |_| false));
    spdlog::info!("sidecar of {} started", settings.engine);
    let log_error =
        |error: &io::Error| spdlog::warn!("cannot accept connections of leaders: {error}");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            // The two addresses are those of the machine, and stay the same until the process ends.
            _ = hang_up.recv() => spdlog::info!("settings are not reloaded"),
            stream = accept::next(&listener, log_error) => {
                tokio::task::spawn_local(serve(engines.clone(), stream));
            }
        }
    }
    // From now on the leader sends its requests to the engine directly.
    spdlog::info!("sidecar of {} stopped", settings.engine);
    Ok(())
}

/// Relays requests and orders to the engines that they name, until the process ends.
pub(crate) async fn relay<P: Platform>(gateway: Rc<Gateway<P>>, listener: TcpListener) {
    // Counts are read only through sidecars, so there is nothing to decode here.
    let own_gateway = gateway.clone();
    let is_local_only = move |address| {
        let now = own_gateway.now();
        own_gateway.with_pool(|pool| pool.accepts_only_local_orders_at(address, now))
    };
    let engines = Rc::new(Engines::new(None, |_| None, is_local_only));
    let log_error = |error: &io::Error| {
        gateway.event_log.state(format_args!("cannot accept connections of leaders: {error}"));
    };
    loop {
        let stream = accept::next(&listener, log_error).await;
        tokio::task::spawn_local(serve(engines.clone(), stream));
    }
}

async fn serve<C: Fn(SocketAddr) -> bool>(engines: Rc<Engines<C>>, stream: TcpStream) {
    let served = bounded::serve(stream, |request| {
        let engines = engines.clone();
        async move { answer(&engines, request).await }
    });
    // The leader detects a failed connection itself.
    drop(served.await);
}

async fn answer<C: Fn(SocketAddr) -> bool>(
    engines: &Engines<C>,
    request: Request<BoundedBody>,
) -> Response<Full<Bytes>> {
    match time::timeout(ENGINE_TIMEOUT, engines.relay_request(request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) | Err(_) => {
            // This status does not mean that an order was refused: the engine may have accepted it.
            let mut answer = Response::new(Full::default());
            *answer.status_mut() = StatusCode::BAD_GATEWAY;
            answer
        }
    }
}

impl<C: Fn(SocketAddr) -> bool> Engines<C> {
    fn new(local: Option<SocketAddr>, decode_counts: DecodeCounts, is_local_only: C) -> Engines<C> {
        Engines {
            is_local_only,
            local,
            idle: RefCell::default(),
            decode_counts,
            sent: RefCell::new(DeltaEncoder::new(rand::random())),
        }
    }

    async fn relay_request(&self, request: Request<BoundedBody>) -> Result<Response<Full<Bytes>>> {
        let (mut head, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let mut body =
            body.map_err(|error| eyre!("cannot read the request body: {error}"))?.to_bytes();
        headers::strip_hop_by_hop(&mut head.headers, &[]);
        let address = self.target(&mut head.headers)?;
        ensure!(
            !(self.is_local_only)(address),
            "the engine at {address} accepts only local orders now"
        );
        let since = headers::number(&head.headers, &HeaderName::from_static(SINCE_HEADER));
        head.headers.remove(SINCE_HEADER);
        if head.headers.remove(header::CONTENT_ENCODING).is_some() {
            body = compression::decompress(&body, MAX_BODY_BYTES)?;
            head.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
        }
        let idle = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
        let mut sender = match idle.filter(RequestSender::is_ready) {
            Some(sender) => sender,
            None => dial::dial_http(address, ENGINE_TIMEOUT).await?.0,
        };
        let answer = sender.send_request(Request::from_parts(head, Full::new(body))).await?;
        let ReceivedAnswer { mut head, body, .. } = answer;
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body.map_err(|error| eyre!("body of the engine's answer: {error}"))?.to_bytes();
        self.idle.borrow_mut().entry(address).or_default().push(sender);
        headers::strip_hop_by_hop(&mut head.headers, &[]);
        match since.filter(|_| head.status.is_success()) {
            Some(known) => self.encode_since(known, &body),
            None => Ok(Response::from_parts(head, Full::new(body))),
        }
    }

    /// The response with counts for a leader that has the counter snapshot with the number `known`.
    fn encode_since(&self, known: u64, answer: &[u8]) -> Result<Response<Full<Bytes>>> {
        let counts = (self.decode_counts)(answer)
            .ok_or_else(|| eyre!("cannot decode the counts of the engine"))?;
        let message = self.sent.borrow_mut().encode(counts, known);
        let mut body = Vec::new();
        ciborium::into_writer(&message, &mut body)?;
        Ok(Response::new(Full::new(compression::compress(&body))))
    }

    /// The address of the engine that a request is for.
    fn target(&self, headers: &mut HeaderMap) -> Result<SocketAddr> {
        let Some(named) = headers.remove(ENGINE_HEADER) else {
            return self
                .local
                .ok_or_else(|| eyre!("the request names no engine, and there is no local engine"));
        };
        named.to_str()?.parse().wrap_err("the address of the engine is not IP:PORT")
    }
}
