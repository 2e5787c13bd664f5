//! The process beside a backend server: it passes questions and orders on to the engine there.
//!
//! An engine answers its own machine with a fresh report and at no price, and takes orders from
//! there at no price; from elsewhere reports are late, and each question disturbs the group. So the
//! leader of a service's maps asks through this process, and directly only where it is not there.
//! It decides nothing, and keeps only what it told of counts last, so that the next reading is told by
//! what came since: what guards an order is in the order.
//!
//! Gateways relay in the same way, to engines that are named: [`hooktrestle_core::direct::relays`] says
//! which orders go through them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
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
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time;

use crate::accept;
use crate::compression;
use crate::dial;
use crate::gateway::Gateway;
use crate::headers;
use crate::platform::Platform;

/// Names another engine that is to be asked, by its address. Without it, it is the one beside.
pub(crate) const ENGINE_HEADER: &str = "hooktrestle-engine";

/// In a question for counts: tell what came since the reading with this number, packed.
pub(crate) const SINCE_HEADER: &str = "hooktrestle-since";

/// Longest wait for the engine: on its own machine its answers come within a few milliseconds, and a
/// group may be held until an order that got none is repeated.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(60);

/// Largest body that is passed on: a map of 64 ranks and 256 experts has some 100 KB.
pub(crate) const MAX_BODY_BYTES: usize = 1 << 20;

/// The engine beside this process, and idle connections to it and to others. `C` tells whether an engine
/// has asked this process's machine to send it nothing for now.
struct Engines<C> {
    is_closed: C,
    /// None at a gateway, which has none beside it.
    beside: Option<SocketAddr>,
    kept: RefCell<HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
    /// Understands counts as the engine spells them.
    counts: DecodeCounts,
    told: RefCell<DeltaEncoder>,
}

/// Decodes an engine's answer about its counts.
pub type DecodeCounts = fn(&[u8]) -> Option<Counts>;

/// Runs until the process is told to stop.
///
/// # Errors
///
/// The address cannot be listened on.
pub async fn run(settings: &SidecarRoleSettings, counts: DecodeCounts) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let listener = TcpListener::bind(&settings.listen)
        .await
        .wrap_err_with(|| format!("cannot listen on {}", settings.listen))?;
    // An engine asks nothing of its own machine.
    let engines = Rc::new(Engines::new(Some(settings.engine.parse()?), counts, |_| false));
    spdlog::info!("sidecar of {} started", settings.engine);
    let note = |error: &io::Error| spdlog::warn!("the leader is not accepted: {error}");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            // Its two addresses are those of its machine, and stay as long as the process lives.
            _ = hang_up.recv() => spdlog::info!("settings are not read again"),
            stream = accept::next(&listener, note) => {
                tokio::task::spawn_local(serve(engines.clone(), stream));
            }
        }
    }
    // Whoever asks next goes to the engine directly.
    spdlog::info!("sidecar of {} stopped", settings.engine);
    Ok(())
}

/// Relays questions and orders to the engines that they name, until the process ends.
pub(crate) async fn relay<P: Platform>(gateway: Rc<Gateway<P>>, listener: TcpListener) {
    // Counts are read through the processes beside engines alone.
    let asked = gateway.clone();
    let is_closed = move |address| {
        let now = asked.now();
        asked.with_pool(|pool| pool.accepts_only_local_orders_at(address, now))
    };
    let engines = Rc::new(Engines::new(None, |_| None, is_closed));
    let note = |error: &io::Error| {
        gateway.journal.state(format_args!("the leader is not accepted: {error}"));
    };
    loop {
        let stream = accept::next(&listener, note).await;
        tokio::task::spawn_local(serve(engines.clone(), stream));
    }
}

async fn serve<C: Fn(SocketAddr) -> bool>(engines: Rc<Engines<C>>, stream: TcpStream) {
    let service = service_fn(|request: Request<Incoming>| {
        let engines = engines.clone();
        async move { Ok::<_, Infallible>(answer(&engines, request).await) }
    });
    let mut builder = http1::Builder::new();
    let connection =
        builder.auto_date_header(false).serve_connection(TokioIo::new(stream), service);
    // What went wrong with the connection is the leader's to see.
    drop(connection.await);
}

async fn answer<C: Fn(SocketAddr) -> bool>(
    engines: &Engines<C>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match time::timeout(ENGINE_TIMEOUT, engines.pass_on(request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) | Err(_) => {
            // No verdict on an order: it may have been taken.
            let mut answer = Response::new(Full::default());
            *answer.status_mut() = StatusCode::BAD_GATEWAY;
            answer
        }
    }
}

impl<C: Fn(SocketAddr) -> bool> Engines<C> {
    fn new(beside: Option<SocketAddr>, counts: DecodeCounts, is_closed: C) -> Engines<C> {
        Engines {
            is_closed,
            beside,
            kept: RefCell::default(),
            counts,
            told: RefCell::new(DeltaEncoder::new(rand::random())),
        }
    }

    async fn pass_on(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>> {
        let (mut head, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let mut body = body.map_err(|error| eyre!("the order cannot be read: {error}"))?.to_bytes();
        headers::strip_connection(&mut head.headers);
        let address = self.asked(&mut head.headers)?;
        ensure!(!(self.is_closed)(address), "the engine at {address} asked to be sent nothing");
        let since = headers::number(&head.headers, &HeaderName::from_static(SINCE_HEADER));
        head.headers.remove(SINCE_HEADER);
        if head.headers.remove(header::CONTENT_ENCODING).is_some() {
            body = compression::decompress(&body, MAX_BODY_BYTES)?;
            head.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
        }
        let kept = self.kept.borrow_mut().get_mut(&address).and_then(Vec::pop);
        let mut sender = match kept.filter(SendRequest::is_ready) {
            Some(sender) => sender,
            None => dial::dial_http(address, ENGINE_TIMEOUT).await?.0,
        };
        let answer = sender.send_request(Request::from_parts(head, Full::new(body))).await?;
        let (mut head, body) = answer.into_parts();
        let body = body.collect().await?.to_bytes();
        self.kept.borrow_mut().entry(address).or_default().push(sender);
        headers::strip_connection(&mut head.headers);
        match since.filter(|_| head.status.is_success()) {
            Some(known) => self.tell(known, &body),
            None => Ok(Response::from_parts(head, Full::new(body))),
        }
    }

    /// Tells counts to a leader that knows the reading with the number `known`.
    fn tell(&self, known: u64, answer: &[u8]) -> Result<Response<Full<Bytes>>> {
        let read = (self.counts)(answer).ok_or_else(|| eyre!("the counts make no sense"))?;
        let news = self.told.borrow_mut().encode(read, known);
        let mut body = Vec::new();
        ciborium::into_writer(&news, &mut body)?;
        Ok(Response::new(Full::new(compression::compress(&body))))
    }

    /// Which engine is asked.
    fn asked(&self, headers: &mut HeaderMap) -> Result<SocketAddr> {
        let Some(named) = headers.remove(ENGINE_HEADER) else {
            return self.beside.ok_or_else(|| eyre!("no engine is named, and none is beside"));
        };
        named.to_str()?.parse().wrap_err("the engine's address is not IP:PORT")
    }
}
