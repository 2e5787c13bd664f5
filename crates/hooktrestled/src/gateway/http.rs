//! The HTTP interface of a gateway for callers. Its input is HTTP requests; its state is
//! [`Shared`], of which it reads the configuration in force. It authenticates the account, resolves
//! the service, estimates the cost in tokens, and decides the response's status and headers.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::time::Duration;

use ::http::HeaderMap;
use ::http::HeaderValue;
use ::http::Method;
use ::http::StatusCode;
use ::http::header::CONTENT_TYPE;
use bytes::Buf;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::TryStreamExt;
use futures_util::stream;
use hooktrestle_core::attempt::RetryPolicy;
use hooktrestle_core::config::Account;
use hooktrestle_core::util::arena::Key;
use hooktrestle_core::verdict::Refusal;
use hooktrestle_schema::Cause;
use hooktrestle_schema::Header;
use hooktrestle_schema::ProblemBody;
use hooktrestle_schema::ServiceKind;
use hooktrestle_schema::StatusAnswer;
use hooktrestle_schema::Ticket;
use opentelemetry::KeyValue;
use opentelemetry::trace::SpanKind;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use tokio_stream::wrappers::ReceiverStream;
use warp::Filter;
use warp::Reply;
use warp::reply::Response;

use crate::config_sync;
use crate::config_sync::InForce;
use crate::gateway::Shared;
use crate::gateway::body::Body;
use crate::gateway::body::BodyError;
use crate::gateway::drive;
use crate::gateway::drive::Head;
use crate::gateway::drive::Incoming;
use crate::gateway::endpoints;
use crate::gateway::router::Choose;
use crate::gateway::router::Release;
use crate::gateway::tickets;
use crate::headers;
use crate::traces::TRACEPARENT;

/// Estimated tokens of a chat answer if the request has no `max_tokens`.
const DEFAULT_ANSWER_TOKENS: u32 = 256;

/// Estimated bytes of a prompt for each token.
const BYTES_PER_TOKEN: usize = 4;

/// Estimated cost of a request to a plain service, in tokens of the fair queue.
const PLAIN_COST_TOKENS: u32 = 1;

/// Highest priority that a caller can request.
const MAX_PRIORITY: u8 = 9;

/// Prefix of the paths of plain services: `/services/NAME/PATH`.
const SERVICES_PATH: &str = "/services/";

/// A refusal, with a message for the caller on how to correct the request, if there is one.
#[derive(Debug)]
struct Problem {
    refusal: Refusal,
    message: Option<String>,
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Problem {
        Problem { refusal, message: None }
    }
}

impl Problem {
    fn bad_request(message: impl Into<String>) -> Problem {
        Problem { refusal: Refusal::not_run(Cause::BadRequest), message: Some(message.into()) }
    }
}

/// An HTTP request without its body.
#[derive(Debug)]
struct Call {
    method: Method,
    path: String,
    query: Option<String>,
    headers: HeaderMap,
}

/// The filter that serves all paths.
pub(crate) fn routes(
    shared: Shared,
) -> impl Filter<Extract = (Response,), Error = Infallible> + Clone + Send + Sync + 'static {
    let query = warp::query::raw()
        .map(Some)
        .or_else(|_| async { Ok::<(Option<String>,), Infallible>((None,)) });
    warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(move |method, path: warp::path::FullPath, query, headers, body| {
            let shared = shared.clone();
            let path = path.as_str().to_owned();
            async move { route(shared, Call { method, path, query, headers }, body).await }
        })
        .recover(|_| async { Ok::<_, Infallible>(StatusCode::BAD_REQUEST) })
        .map(Reply::into_response)
}

async fn route<S, B>(shared: Shared, call: Call, body: S) -> Response
where
    S: Stream<Item = Result<B, warp::Error>> + Send + 'static,
    B: Buf + 'static,
{
    let answered = match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/v1/endpoints") => endpoints(&shared, &call),
        ("GET", "/v1/status") => Ok(status(&shared)),
        ("POST", "/v1/tickets") => ticket(&shared, &call).await,
        ("POST", "/v1/chat/completions") => chat(shared, call, body).await,
        (_, path) if path.starts_with(SERVICES_PATH) => plain(shared, call, body).await,
        _ => Err(Problem::bad_request(format!(
            "nothing is at {} {}; see /v1/endpoints, /v1/tickets, /v1/chat/completions and \
             /services/NAME/PATH",
            call.method, call.path
        ))),
    };
    answered.unwrap_or_else(|problem| problem_response(&problem))
}

/// The status for operators' tools. It contains no data on single accounts or requests.
fn status(shared: &Shared) -> Response {
    let version = config_sync::version(&shared.config);
    let answer = StatusAnswer {
        instance: shared.identity.instance.clone(),
        data_centre: shared.data_centre.to_string(),
        config_version: version.unwrap_or(0),
        leaving: shared.is_leaving(),
        open_requests: *shared.in_flight.borrow() as u64,
    };
    warp::reply::json(&answer).into_response()
}

fn endpoints(shared: &Shared, call: &Call) -> Result<Response, Problem> {
    let in_force = in_force(shared)?;
    let service = service_in_query(call)?;
    if in_force.config.service(&service).is_none() {
        return Err(unknown_service(&in_force, &service));
    }
    Ok(warp::reply::json(&endpoints::answer(shared, &in_force, &service)).into_response())
}

async fn ticket(shared: &Shared, call: &Call) -> Result<Response, Problem> {
    let in_force = in_force(shared)?;
    let account = account(&in_force, &call.headers)?;
    let service = service_in_query(call)?;
    if in_force.config.service(&service).is_none() {
        return Err(unknown_service(&in_force, &service));
    }
    let choose = Choose { service: service.as_str().into(), tried: Vec::new() };
    let unroutable = || Problem::from(Refusal::not_run(Cause::NoBackendServer));
    let choice = shared.router.send(choose).await.ok().flatten().ok_or_else(unroutable)?;
    // An error means that the router has ended; it has no counts to update.
    let _ = shared.router.send(Release(choice.server)).await;
    let handle = &choice.handle;
    let ticket = tickets::new_ticket(&handle.sidecar, handle.incarnation, choice.sidecar_now);
    let name = &in_force.config.accounts[account].name;
    let key = tickets::encode_key(&shared.keys, name, &service, &ticket);
    Ok(warp::reply::json(&json!({ "request_key": key })).into_response())
}

async fn chat<S, B>(shared: Shared, call: Call, body: S) -> Result<Response, Problem>
where
    S: Stream<Item = Result<B, warp::Error>> + Send + 'static,
    B: Buf,
{
    let in_force = in_force(&shared)?;
    let account = account(&in_force, &call.headers)?;
    let bytes = read_body(body, shared.settings.body_limit_bytes).await?;
    let value: Value = serde_json::from_slice(&bytes)
        .map_err(|error| Problem::bad_request(format!("the body is not JSON: {error}")))?;
    let model = value["model"].as_str();
    let model =
        model.ok_or_else(|| Problem::bad_request("`model` must name a service"))?.to_owned();
    let answer_tokens = value["max_tokens"].as_u64().and_then(|tokens| u32::try_from(tokens).ok());
    let prompt_tokens = u32::try_from(bytes.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    let cost_tokens = prompt_tokens.saturating_add(answer_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS));
    let mut call = call;
    // The body was parsed as JSON whatever its content type; engines may reject another type.
    call.headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let request = Request { service: model, kind: ServiceKind::Model, cost_tokens };
    let incoming = incoming(&shared, &in_force, account, &call, request, Body::complete(bytes))?;
    answer(shared, incoming).await
}

async fn plain<S, B>(shared: Shared, call: Call, body: S) -> Result<Response, Problem>
where
    S: Stream<Item = Result<B, warp::Error>> + Send + 'static,
    B: Buf + 'static,
{
    let in_force = in_force(&shared)?;
    let account = account(&in_force, &call.headers)?;
    let remainder = call.path.strip_prefix(SERVICES_PATH).unwrap_or_default();
    let (service, path) = remainder.split_once('/').unwrap_or((remainder, ""));
    let service = service.to_owned();
    let path = match &call.query {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let call = Call { path, ..call };
    let limit = shared.settings.body_limit_bytes;
    let body = Body::new(Box::pin(chunks(body)), limit);
    let request = Request { service, kind: ServiceKind::Plain, cost_tokens: PLAIN_COST_TOKENS };
    let incoming = incoming(&shared, &in_force, account, &call, request, body)?;
    answer(shared, incoming).await
}

/// The service that a call is for, and its estimated cost.
#[derive(Debug)]
struct Request {
    service: String,
    kind: ServiceKind,
    cost_tokens: u32,
}

fn incoming(
    shared: &Shared,
    in_force: &InForce,
    account: Key<Account>,
    call: &Call,
    request: Request,
    body: Body,
) -> Result<Incoming, Problem> {
    let config = &in_force.config;
    let service = config.service(&request.service);
    let service = service.filter(|key| config.services[*key].row.kind == request.kind);
    let service = service.ok_or_else(|| unknown_service(in_force, &request.service))?;
    let row = &config.services[service].row;
    let account = &config.accounts[account];
    let deadline_ms = number(&call.headers, headers::DEADLINE, 1, u64::MAX)?;
    let priority = number(&call.headers, headers::PRIORITY, 0, u64::from(MAX_PRIORITY))?;
    let (retry_policy, ticket) =
        retry_policy(shared, &account.name, &request.service, &call.headers)?;
    Ok(Incoming {
        service: request.service.as_str().into(),
        account: account.name.clone(),
        weight: account.row.weight,
        limits: account.row.clone(),
        method: call.method.as_str().to_owned(),
        path: call.path.clone(),
        headers: forwarded_headers(&call.headers),
        deadline: Duration::from_millis(deadline_ms.unwrap_or(row.deadline_ms)),
        priority: priority.and_then(|number| u8::try_from(number).ok()).unwrap_or(0),
        cost_tokens: request.cost_tokens,
        retry_policy,
        ticket,
        hop: shared.traces.hop(
            "gateway",
            SpanKind::Server,
            text(&call.headers, TRACEPARENT).unwrap_or_default(),
            vec![
                KeyValue::new("hooktrestle.service", request.service.clone()),
                KeyValue::new("hooktrestle.account", account.name.clone()),
            ],
        ),
        body,
    })
}

fn retry_policy(
    shared: &Shared,
    account: &str,
    service: &str,
    headers: &HeaderMap,
) -> Result<(RetryPolicy, Option<Ticket>), Problem> {
    let not_repeatable = match text(headers, headers::NOT_REPEATABLE) {
        None | Some("false") => false,
        Some("true") => true,
        Some(other) => {
            let name = headers::NOT_REPEATABLE;
            return Err(Problem::bad_request(format!(
                "{name}: `{other}` given; must be true or false"
            )));
        }
    };
    let key = text(headers, headers::REQUEST_KEY);
    match (not_repeatable, key) {
        (false, _) => Ok((RetryPolicy::Unrestricted, None)),
        (true, None) => Ok((RetryPolicy::WithNewTicket, None)),
        (true, Some(key)) => {
            let ticket = tickets::decode_key(&shared.keys, account, service, key);
            let bad_request = || {
                let name = headers::REQUEST_KEY;
                Problem::bad_request(format!(
                    "{name}: get one for this service from POST /v1/tickets"
                ))
            };
            Ok((RetryPolicy::Never, Some(ticket.ok_or_else(bad_request)?)))
        }
    }
}

async fn answer(shared: Shared, incoming: Incoming) -> Result<Response, Problem> {
    match drive::start(shared, incoming)?.await {
        Ok(Ok(head)) => Ok(head_response(head)),
        Ok(Err(refusal)) => Err(refusal.into()),
        Err(_) => Err(Refusal::may_have_run(Cause::Protocol).into()),
    }
}

fn head_response(head: Head) -> Response {
    let is_stream = head.headers.iter().any(|header| {
        header.name == "content-type" && header.value.starts_with("text/event-stream")
    });
    let chunks = ReceiverStream::new(head.body).flat_map(move |chunk| match chunk {
        Ok(bytes) => stream::once(std::future::ready(Ok(bytes))).left_stream(),
        Err(refusal) => truncated_tail(refusal, is_stream).right_stream(),
    });
    let mut response = warp::reply::stream(chunks).into_response();
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in head.headers {
        let name = ::http::HeaderName::from_bytes(header.name.as_bytes());
        let value = ::http::HeaderValue::from_str(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// The end of a truncated answer: an `error` event with the reason if the answer is an event
/// stream, then an error that aborts the connection, so that the caller does not consider the
/// answer complete.
fn truncated_tail(
    refusal: Refusal,
    is_stream: bool,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send + Sync + 'static {
    let body = serde_json::to_string(&refusal.body()).unwrap_or_default();
    let event = if is_stream { format!("event: error\ndata: {body}\n\n") } else { String::new() };
    let abort_connection = async {
        // The HTTP server writes its buffer when the stream is pending. Without this yield the
        // event would be dropped with the connection.
        tokio::task::yield_now().await;
        Err(std::io::Error::other("answer truncated"))
    };
    stream::once(std::future::ready(Ok(Bytes::from(event)))).chain(stream::once(abort_connection))
}

fn problem_response(problem: &Problem) -> Response {
    let refusal = &problem.refusal;
    let body = refusal.body();
    let message = problem.message.clone().unwrap_or(body.message);
    let body = ProblemBody { message, ..body };
    let mut response = warp::reply::json(&body).into_response();
    *response.status_mut() =
        StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut set_header = |name: &'static str, value: String| {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    };
    set_header(headers::VERDICT, body.verdict.to_string());
    set_header(headers::CAUSE, body.cause.to_string());
    if let Some(span) = body.retry_after_ms {
        set_header(headers::RETRY_AFTER, span.to_string());
        set_header("retry-after", span.div_ceil(1_000).to_string());
    }
    response
}

fn in_force(shared: &Shared) -> Result<InForce, Problem> {
    let in_force = shared.config.borrow().clone();
    in_force.ok_or_else(|| Refusal::not_run(Cause::NotReady).into())
}

fn account(in_force: &InForce, headers: &HeaderMap) -> Result<Key<Account>, Problem> {
    let unknown = || Problem {
        refusal: Refusal::not_run(Cause::UnknownKey),
        message: Some("send `authorization: Bearer KEY` with a client account's key".to_owned()),
    };
    let bearer = text(headers, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    let key = bearer.ok_or_else(unknown)?;
    let hash = hex::encode(Sha256::digest(key.as_bytes()));
    in_force.config.account_by_key_hash(&hash).ok_or_else(unknown)
}

fn unknown_service(in_force: &InForce, name: &str) -> Problem {
    let names = in_force.config.services.iter().map(|(_, service)| service.name.as_str());
    let hint = match hooktrestle_schema::range::nearest(name, names) {
        Some(known) => format!("; did you mean `{known}`?"),
        None => String::new(),
    };
    let refusal = Refusal::not_run(Cause::UnknownService);
    Problem { refusal, message: Some(format!("no such service here: `{name}`{hint}")) }
}

fn service_in_query(call: &Call) -> Result<String, Problem> {
    let query = call.query.as_deref().unwrap_or_default();
    let pairs: BTreeMap<&str, &str> =
        query.split('&').filter_map(|pair| pair.split_once('=')).collect();
    let service = pairs.get("service").map(|name| (*name).to_owned());
    service.ok_or_else(|| Problem::bad_request("add ?service=NAME"))
}

fn number(
    headers: &HeaderMap,
    name: &'static str,
    min: u64,
    max: u64,
) -> Result<Option<u64>, Problem> {
    let Some(text) = text(headers, name) else { return Ok(None) };
    let number = text.parse().ok().filter(|number| (min..=max).contains(number));
    let bad_request =
        || Problem::bad_request(format!("{name}: `{text}` given; must be from {min} to {max}"));
    number.map(Some).ok_or_else(bad_request)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| headers::is_forwarded(name))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some(Header { name: name.as_str().to_owned(), value })
        })
        .collect()
}

fn chunks<S, B>(body: S) -> impl Stream<Item = Result<Bytes, BodyError>>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    body.map(|chunk| match chunk {
        Ok(mut buffer) => Ok(buffer.copy_to_bytes(buffer.remaining())),
        Err(_) => Err(BodyError::Truncated),
    })
}

async fn read_body<S, B>(body: S, limit_bytes: u64) -> Result<Bytes, Problem>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    let mut chunks = std::pin::pin!(chunks(body));
    let mut collected = Vec::new();
    let truncated = |_| Problem::bad_request("the body was cut off");
    while let Some(chunk) = chunks.try_next().await.map_err(truncated)? {
        collected.extend_from_slice(&chunk);
        if collected.len() as u64 > limit_bytes {
            let message = Some(format!("the body is over {limit_bytes} bytes"));
            return Err(Problem { refusal: Refusal::not_run(Cause::TooLarge), message });
        }
    }
    Ok(collected.into())
}
