//! Run of one request at the backend server: sends it over HTTP and its answer in frames.
//! Input: a [`Job`], chunks of its body, and credit. State: the answer's sequence number and tail.
//! Decides whether the run ended complete, not started or failed.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use futures_util::StreamExt;
use futures_util::stream;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::advertised_limit::Rate;
use hooktrestle_core::direct::answer_ends;
use hooktrestle_core::direct::answer_ends::AnswerEnd;
use hooktrestle_core::direct::answer_ends::Content;
use hooktrestle_core::direct::answer_heads;
use hooktrestle_core::direct::answer_heads::HeadFault;
use hooktrestle_core::direct::server_notices;
use hooktrestle_core::verdict::Refusal;
use hooktrestle_link::Sender;
use hooktrestle_schema::BodyFrame;
use hooktrestle_schema::Cause;
use hooktrestle_schema::CreditFrame;
use hooktrestle_schema::ExpertCounts;
use hooktrestle_schema::Frame;
use hooktrestle_schema::Framing;
use hooktrestle_schema::HeadFrame;
use hooktrestle_schema::Header;
use hooktrestle_schema::MapOrder;
use hooktrestle_schema::MapReply;
use hooktrestle_schema::RequestFrame;
use opentelemetry::KeyValue;
use opentelemetry::trace::SpanKind;
use reqwest::Method;
use reqwest::Response;
use reqwest::Url;
use reqwest::header::CONTENT_ENCODING;
use reqwest::header::CONTENT_TYPE;
use reqwest::header::HeaderMap;
use reqwest::header::HeaderName;
use reqwest::header::RETRY_AFTER;
use spdlog::warn;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::time;

use crate::traces::Hop;
use crate::traces::TRACEPARENT;
use crate::traces::Traces;

/// Header that marks an answer as a refusal: the backend server ran nothing of the request.
const NOT_RUN_HEADER: &str = "x-hooktrestle-not-run";

/// Header in which a backend server advertises its limit in requests per second.
const LIMIT_HEADER: &str = "x-hooktrestle-limit";

/// Largest chunk of an answer in one frame.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// Timeout for a connection to the local backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Last event of a complete stream of server-sent events.
const STREAM_END: &[u8] = b"data: [DONE]";

/// HTTP client of the local backend server.
#[derive(Clone, Debug)]
pub(super) struct Backend {
    http: reqwest::Client,
    base_url: String,
    traces: Traces,
}

/// A chunk of a request's body.
#[derive(Debug)]
pub(super) struct BodyChunk {
    pub(super) bytes: Bytes,
    pub(super) last: bool,
}

/// A request with the state that its run needs.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) frame: RequestFrame,
    pub(super) sender: Sender,
    /// Chunks of the body; `None` once the run has started.
    pub(super) body: Option<mpsc::UnboundedReceiver<BodyChunk>>,
    /// Number of answer bytes that may be sent.
    pub(super) credit: Arc<Semaphore>,
}

impl Job {
    /// Whether the link over which the request arrived has closed.
    pub(super) fn is_orphan(&self) -> bool {
        self.body.as_ref().is_some_and(mpsc::UnboundedReceiver::is_closed)
    }
}

/// Outcome of a run.
#[derive(Debug)]
pub(super) enum RunEnd {
    /// The complete answer was written to the link.
    Complete,
    /// The backend server refused the request before running any of it, and may have requested a
    /// back-off.
    NotStarted(Refusal, Option<Millis>),
    /// The request ran, or may have run, and the answer is not complete.
    Failed(Refusal),
    /// The link closed, so the answer cannot be delivered.
    LinkClosed,
}

impl Backend {
    /// A client of the backend server at `base_url`; connects on first use.
    pub(super) fn new(base_url: &str, traces: Traces) -> Result<Backend> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .redirect(reqwest::redirect::Policy::none())
            .build()?;
        Ok(Backend { http, base_url: base_url.trim_end_matches('/').to_owned(), traces })
    }
}

impl Backend {
    /// Forwards an order to the local rank. The result is `Silent` if the rank cannot be reached:
    /// its state is not known then, and the leader sends the order again.
    pub(super) async fn order(&self, order: &MapOrder) -> MapReply {
        let url = format!("{}/control/map", self.base_url);
        let sent = self.http.post(url).json(order).send().await;
        let Ok(response) = sent.and_then(Response::error_for_status) else {
            return MapReply::Silent;
        };
        if let Err(fault) = framing(&response) {
            warn!("malformed reply of the rank to an order: {fault}");
            return MapReply::Silent;
        }
        response.json().await.unwrap_or(MapReply::Silent)
    }

    /// Whether the backend server still accepts connections. An answer that only the end of its
    /// connection delimits is complete if the server did not crash just then.
    async fn is_up(&self) -> bool {
        let Ok(url) = Url::parse(&self.base_url) else { return true };
        let host = url.host_str().unwrap_or_default();
        let port = url.port_or_known_default().unwrap_or_default();
        let opened = time::timeout(CONNECT_TIMEOUT, TcpStream::connect((host, port))).await;
        !matches!(opened, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
    }

    /// Number of tokens of each expert since the engine of the rank started.
    pub(super) async fn counts(&self) -> Result<ExpertCounts> {
        let url = format!("{}/control/counts", self.base_url);
        let response = self.http.get(url).send().await?.error_for_status()?;
        framing(&response)?;
        Ok(response.json().await?)
    }
}

/// Runs a request to its end. `report_limit` is called with the limit that the backend server
/// advertises, as soon as the head of the answer has arrived.
pub(super) async fn run(
    backend: &Backend,
    job: &mut Job,
    report_limit: impl AsyncFnOnce(Option<Rate>),
) -> RunEnd {
    let service = KeyValue::new("hooktrestle.service", job.frame.service.clone());
    let parent = &job.frame.traceparent;
    let hop = backend.traces.hop("sidecar", SpanKind::Client, parent, vec![service]);
    let response = match send(backend, job, &hop).await {
        Ok(response) => response,
        Err(error) if error.is_connect() || error.is_builder() => {
            return RunEnd::NotStarted(Refusal::not_run(Cause::BackendRefused), None);
        }
        // The request was sent, at least in part, without an answer: it may have run.
        Err(_) => return RunEnd::Failed(Refusal::may_have_run(Cause::BackendFailed)),
    };
    let framing = match framing(&response) {
        Ok(framing) => framing,
        Err(fault) => {
            warn!("malformed answer of the backend server: {fault}");
            return RunEnd::Failed(Refusal::may_have_run(Cause::BackendFailed));
        }
    };
    let advertised = response.headers().get(LIMIT_HEADER).map(|value| value.to_str().unwrap_or(""));
    match advertised.map(Rate::from_text) {
        Some(Some(limit)) => report_limit(Some(limit)).await,
        // A value that is not a number is ignored.
        Some(None) => {}
        None if response.status().is_success() => report_limit(None).await,
        None => {}
    }
    if response.headers().contains_key(NOT_RUN_HEADER) {
        let retry_after = response.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok());
        let back_off = retry_after.and_then(server_notices::parse_back_off);
        return RunEnd::NotStarted(Refusal::not_run(Cause::BackendRefused), back_off);
    }
    answer(backend, job, response, framing).await
}

async fn send(backend: &Backend, job: &mut Job, hop: &Hop) -> reqwest::Result<Response> {
    let frame = &job.frame;
    let method = Method::from_bytes(frame.method.as_bytes()).unwrap_or(Method::POST);
    let url = format!("{}{}", backend.base_url, frame.path);
    let mut request = backend.http.request(method, url);
    for header in &frame.headers {
        request = request.header(&header.name, &header.value);
    }
    let traceparent = hop.traceparent();
    if !traceparent.is_empty() {
        request = request.header(TRACEPARENT, traceparent);
    }
    request.body(body(job)).send().await
}

/// The request's body as a stream. Each chunk that is read returns its credit to the gateway.
fn body(job: &mut Job) -> reqwest::Body {
    let Some(chunks) = job.body.take() else { return reqwest::Body::default() };
    let sender = job.sender.clone();
    let id = job.frame.id.clone();
    let state = Some((chunks, sender, id));
    let bytes = stream::unfold(state, |state| async move {
        let (mut chunks, sender, id) = state?;
        let Some(chunk) = chunks.recv().await else {
            let truncated =
                std::io::Error::other("request body truncated: link closed or request cancelled");
            return Some((Err(truncated), None));
        };
        let credit = CreditFrame { id: id.clone(), more_bytes: chunk.bytes.len() as u64 };
        // If the link is closed, the channel of the chunks ends too.
        let _ = sender.send(&Frame::Credit(credit), &[]).await;
        let next_state = if chunk.last { None } else { Some((chunks, sender, id)) };
        Some((Ok(chunk.bytes), next_state))
    });
    reqwest::Body::wrap_stream(bytes)
}

async fn answer(backend: &Backend, job: &Job, response: Response, framing: Framing) -> RunEnd {
    let content = content(response.headers());
    let head = HeadFrame {
        id: job.frame.id.clone(),
        status: response.status().as_u16(),
        headers: headers(response.headers()),
    };
    if job.sender.send(&Frame::Head(head), &[]).await.is_err() {
        return RunEnd::LinkClosed;
    }
    let mut out = AnswerWriter { job, sequence: 0, tail: Vec::new() };
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        let Ok(chunk) = chunk else {
            return RunEnd::Failed(Refusal::ran(Cause::BackendFailed));
        };
        if !out.send(chunk).await {
            return RunEnd::LinkClosed;
        }
    }
    let is_truncated = match (content, answer_ends::of_body(framing)) {
        (Content::Events, _) => !out.has_stream_end(),
        (_, AnswerEnd::Complete) => false,
        (_, AnswerEnd::Unconfirmed | AnswerEnd::Truncated) => !backend.is_up().await,
    };
    if is_truncated {
        return RunEnd::Failed(Refusal::ran(Cause::BackendFailed));
    }
    if out.finish().await { RunEnd::Complete } else { RunEnd::LinkClosed }
}

/// Writer of one answer to a link.
struct AnswerWriter<'a> {
    job: &'a Job,
    sequence: u64,
    /// The last bytes sent, in which [`STREAM_END`] is detected.
    tail: Vec<u8>,
}

impl AnswerWriter<'_> {
    /// Sends a chunk as credit allows. Returns `false` if the link has closed.
    async fn send(&mut self, mut bytes: Bytes) -> bool {
        self.update_tail(&bytes);
        while !bytes.is_empty() {
            let chunk = bytes.split_to(bytes.len().min(MAX_CHUNK_BYTES));
            let need = u32::try_from(chunk.len()).unwrap_or(u32::MAX);
            let credit = tokio::select! {
                credit = self.job.credit.acquire_many(need) => credit,
                () = self.job.sender.closed() => return false,
            };
            match credit {
                Ok(credit) => credit.forget(),
                Err(_) => return false,
            }
            if !self.frame(&chunk, false).await {
                return false;
            }
        }
        true
    }

    /// Sends the end of the answer, and waits until all frames are written. A process that leaves
    /// stops once no request runs, and would lose frames that are only queued.
    async fn finish(&mut self) -> bool {
        self.frame(&[], true).await && self.job.sender.flush().await.is_ok()
    }

    async fn frame(&mut self, payload: &[u8], last: bool) -> bool {
        let id = self.job.frame.id.clone();
        let frame = Frame::Body(BodyFrame { id, sequence: self.sequence, last });
        self.sequence += 1;
        self.job.sender.send(&frame, payload).await.is_ok()
    }

    fn update_tail(&mut self, bytes: &[u8]) {
        let keep = 2 * STREAM_END.len();
        self.tail.extend_from_slice(&bytes[bytes.len().saturating_sub(keep)..]);
        let extra = self.tail.len().saturating_sub(keep);
        self.tail.drain(..extra);
    }

    fn has_stream_end(&self) -> bool {
        self.tail.windows(STREAM_END.len()).any(|window| window == STREAM_END)
    }
}

fn framing(response: &Response) -> Result<Framing, HeadFault> {
    let is_length_known = response.content_length().is_some();
    answer_heads::framing(response.status(), response.headers(), is_length_known)
}

fn content(headers: &HeaderMap) -> Content {
    Content::of(text(headers, &CONTENT_TYPE), text(headers, &CONTENT_ENCODING))
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get_all(name).iter().next_back()?.to_str().ok()
}

/// The answer's headers without the hop-by-hop ones.
fn headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !crate::headers::is_hop_by_hop(name))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some(Header { name: name.as_str().to_owned(), value })
        })
        .collect()
}
