//! Stand-in of a model engine with continuous batching. Input: chat requests and a behaviour.
//! State: the ledger. It answers one token in each step, or refuses, stalls or truncates as
//! configured.
//!
//! Requests are `POST /v1/chat/completions` in the usual form. The content of the last message is
//! the request's marker. Each token of the answer is the marker with a number, so that a test can
//! check to which request an answer belongs and whether it is complete.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use futures_util::stream;
use hooktrestle_schema::MapOrder;
use http::HeaderValue;
use http::Response;
use http::header::RETRY_AFTER;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use warp::Filter;
use warp::Reply;

use crate::group::FakeGroup;
use crate::ledger::Ledger;
use crate::serve::ServerHandle;
use crate::serve::serve;

/// Header of a backend server's refusal: no part of the request ran.
pub const NOT_RUN_HEADER: &str = "x-hooktrestle-not-run";

/// Header with the advertised limit of an engine, in requests a second.
pub const LIMIT_HEADER: &str = "x-hooktrestle-limit";

/// Largest request body.
const BODY_LIMIT_BYTES: u64 = 16 << 20;

/// Tokens of an answer if the request has no `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;

/// Speed and faults of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Duration of one step, which yields one token for each running request.
    pub step: Duration,
    /// Refuses new requests before any part of them runs.
    pub refuse: bool,
    /// Back-off that refusals ask for, as `Retry-After` in seconds.
    pub retry_after_s: Option<u64>,
    /// Limit that answers advertise, in requests a second.
    pub advertised_limit_per_s: Option<f64>,
    /// Running requests make no progress.
    pub stalled: bool,
    /// Truncates each answer after this many tokens.
    pub truncate_after_tokens: Option<u64>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            step: Duration::from_millis(1),
            refuse: false,
            retry_after_s: None,
            advertised_limit_per_s: None,
            stalled: false,
            truncate_after_tokens: None,
        }
    }
}

/// An engine that stops and closes its connections when it is dropped.
#[derive(Debug)]
pub struct FakeEngine {
    /// The requests that ran.
    pub ledger: Ledger,
    behaviour: Arc<watch::Sender<Behaviour>>,
    server: ServerHandle,
}

#[derive(Debug)]
struct Answer {
    marker: String,
    tokens: u64,
    next: u64,
    ledger: Ledger,
    behaviour: watch::Receiver<Behaviour>,
}

impl FakeEngine {
    /// Starts an engine; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(listen: SocketAddr, behaviour: Behaviour) -> Result<FakeEngine> {
        FakeEngine::start_with(listen, behaviour, None).await
    }

    /// Starts an engine that is a rank of a group.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start_rank(
        listen: SocketAddr,
        behaviour: Behaviour,
        group: FakeGroup,
        rank: usize,
    ) -> Result<FakeEngine> {
        FakeEngine::start_with(listen, behaviour, Some((group, rank))).await
    }

    async fn start_with(
        listen: SocketAddr,
        behaviour: Behaviour,
        member: Option<(FakeGroup, usize)>,
    ) -> Result<FakeEngine> {
        let ledger = Ledger::default();
        let behaviour = Arc::new(watch::Sender::new(behaviour));
        let chat = routes(ledger.clone(), Arc::clone(&behaviour));
        let routes = control(member).or(chat).unify();
        let server = serve(listen, routes).await?;
        Ok(FakeEngine { ledger, behaviour, server })
    }

    /// Base URL of the engine.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address)
    }

    /// Replaces the behaviour, also for running requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.behaviour.send_replace(behaviour);
    }
}

fn routes(
    ledger: Ledger,
    behaviour: Arc<watch::Sender<Behaviour>>,
) -> impl Filter<Extract = (warp::reply::Response,), Error = Infallible> + Clone + Send + Sync + 'static
{
    let shared_ledger = ledger.clone();
    let chat = warp::post()
        .and(warp::path!("v1" / "chat" / "completions"))
        .and(warp::body::content_length_limit(BODY_LIMIT_BYTES))
        .and(warp::body::json())
        .then(move |body: Value| chat(body, ledger.clone(), behaviour.subscribe()));
    let ledger = warp::get().and(warp::path!("fake" / "ledger")).map(move || {
        let all = shared_ledger.all();
        let rows = all.into_iter().map(|(marker, entry)| {
            json!({ "marker": marker, "started": entry.started, "finished": entry.finished })
        });
        warp::reply::json(&rows.collect::<Vec<_>>()).into_response()
    });
    chat.or(ledger)
        .unify()
        .recover(|_| async { Ok::<_, Infallible>(warp::http::StatusCode::BAD_REQUEST) })
        .map(Reply::into_response)
}

/// Routes for orders to a rank and for its counts; an engine outside of a group has neither.
fn control(
    member: Option<(FakeGroup, usize)>,
) -> impl Filter<Extract = (warp::reply::Response,), Error = warp::Rejection>
+ Clone
+ Send
+ Sync
+ 'static {
    let with = warp::any().and_then(move || {
        let member = member.clone();
        async move { member.ok_or_else(warp::reject::not_found) }
    });
    let order = warp::post()
        .and(warp::path!("control" / "map"))
        .and(with.clone())
        .and(warp::body::json())
        .map(|(group, rank): (FakeGroup, usize), order: MapOrder| {
            warp::reply::json(&group.order(rank, &order)).into_response()
        });
    let counts = warp::get()
        .and(warp::path!("control" / "counts"))
        .and(with)
        .map(|(group, _): (FakeGroup, usize)| warp::reply::json(&group.counts()).into_response());
    order.or(counts).unify()
}

async fn chat(
    body: Value,
    ledger: Ledger,
    behaviour: watch::Receiver<Behaviour>,
) -> warp::reply::Response {
    let Behaviour { refuse, retry_after_s, advertised_limit_per_s, .. } = *behaviour.borrow();
    if refuse {
        let mut refusal = Response::builder().status(503).header(NOT_RUN_HEADER, "true");
        if let Some(after_s) = retry_after_s {
            refusal = refusal.header(RETRY_AFTER, after_s);
        }
        return refusal.body(String::new()).expect("a valid response").into_response();
    }
    let marker = body["messages"]
        .as_array()
        .and_then(|messages| messages.last())
        .and_then(|message| message["content"].as_str())
        .unwrap_or_default()
        .to_owned();
    ledger.start(&marker);
    let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
    let stream = body["stream"].as_bool().unwrap_or(false);
    let answer = Answer { marker, tokens, next: 0, ledger, behaviour };
    let mut reply = if stream { answer.into_stream() } else { answer.into_whole().await };
    if let Some(limit) = advertised_limit_per_s {
        reply
            .headers_mut()
            .insert(LIMIT_HEADER, HeaderValue::from_str(&limit.to_string()).expect("a number"));
    }
    reply
}

impl Answer {
    /// Server-sent events, one for each token; an error closes the connection.
    fn into_stream(self) -> warp::reply::Response {
        let events = stream::unfold(Some(self), |answer| async move {
            let mut answer = answer?;
            match answer.step().await {
                Ok(Some(event)) => Some((Ok::<Bytes, std::io::Error>(event), Some(answer))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        });
        let reply = warp::reply::stream(events);
        warp::reply::with_header(reply, "content-type", "text/event-stream").into_response()
    }

    async fn into_whole(mut self) -> warp::reply::Response {
        let mut content = String::new();
        loop {
            match self.token().await {
                Ok(Some(token)) => content.push_str(&token),
                Ok(None) => break,
                Err(_) => return warp::http::StatusCode::INTERNAL_SERVER_ERROR.into_response(),
            }
        }
        self.ledger.finish(&self.marker);
        let message = json!({ "role": "assistant", "content": content });
        let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
        warp::reply::json(&json!({ "object": "chat.completion", "choices": [choice] }))
            .into_response()
    }

    /// The next event of a stream; `[DONE]` follows the last token and marks the answer as
    /// complete.
    async fn step(&mut self) -> std::io::Result<Option<Bytes>> {
        if self.next > self.tokens {
            return Ok(None);
        }
        if let Some(token) = self.token().await? {
            let delta = json!({ "choices": [{ "index": 0, "delta": { "content": token } }] });
            return Ok(Some(Bytes::from(format!("data: {delta}\n\n"))));
        }
        self.next += 1;
        self.ledger.finish(&self.marker);
        Ok(Some(Bytes::from_static(b"data: [DONE]\n\n")))
    }

    async fn token(&mut self) -> std::io::Result<Option<String>> {
        if self.next >= self.tokens {
            return Ok(None);
        }
        let step = self.behaviour.borrow().step;
        tokio::time::sleep(step).await;
        // Waits for the end of a stall; a dropped sender means that the engine has stopped.
        let _ = self.behaviour.wait_for(|behaviour| !behaviour.stalled).await;
        if self.behaviour.borrow().truncate_after_tokens.is_some_and(|limit| self.next >= limit) {
            return Err(std::io::Error::other("answer truncated as configured"));
        }
        let token = format!("{}#{} ", self.marker, self.next);
        self.next += 1;
        Ok(Some(token))
    }
}
