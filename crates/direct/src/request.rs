//! One request of a caller: takes its head and body, and decides whether it is admitted under the
//! configuration in force. An admitted request holds all that is needed for several attempts.

use std::rc::Rc;

use bytes::Bytes;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::admission::LatencyObjective;
use hooktrestle_core::direct::attempts::RETRY_AFTER_NO_SERVER;
use hooktrestle_core::direct::fingerprint::Fingerprint;
use hooktrestle_core::direct::fingerprint::Fingerprints;
use hooktrestle_core::direct::level::GateRequest;
use hooktrestle_core::direct::pool::Demand;
use hooktrestle_core::direct::pool::PlainDemand;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::room::AccountId;
use hooktrestle_core::direct::serving::AccountKey;
use hooktrestle_core::direct::serving::Denial;
use hooktrestle_core::direct::serving::Residency;
use hooktrestle_core::direct::serving::Route;
use hooktrestle_core::direct::serving::RouteKey;
use hooktrestle_core::direct::serving::RouteKind;
use hooktrestle_core::direct::serving::ServingConfig;
use hooktrestle_core::direct::shared_faults::Repeatability;
use hooktrestle_core::util::arena::Key;
use hooktrestle_core::verdict::Refusal;
use hooktrestle_schema::Cause;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Uri;
use http::header;
use http::request::Parts;

use crate::admission_queue::AdmissionRequest;
use crate::admission_queue::AdmittedStream;
use crate::bodies::BodyError;
use crate::bodies::ReservedBytes;
use crate::bounded::BoundedBody;
use crate::gateway::Gateway;
use crate::gateway::crashes::Trial;
use crate::headers;
use crate::platform::HeaderNames;
use crate::platform::Platform;
use crate::request_progress::RequestProgress;
use crate::request_progress::RequestRoute;

/// Cost of a prompt token relative to an answer token. An engine takes a step for each token that
/// it generates, and processes many prompt tokens at once: 1 / 74.8 ms for a prompt token and 0.362
/// ms for an answer token.
const PROMPT_TOKEN_COST: f64 = 0.037;

/// Cost of a typical request in answer tokens; the cost of a request is relative to it.
const TYPICAL_REQUEST_TOKENS: f64 = 190.0;

/// Bounds of the cost of a request, in typical requests. Length hints of callers are often far off.
const COST_RANGE: (f64, f64) = (0.25, 4.0);

/// Uptime of the process at which a caller is to retry that was refused because no configuration is
/// known. A gateway reads the configuration within 0.1 s of its start, but after a loss of power
/// the groups form anew meanwhile.
const RETRY_AFTER_NOT_READY: Millis = Millis(2_000);

/// The lowest priority, as defined by [`Route`]; 0 is the highest.
const LOWEST_PRIORITY: u8 = 9;

/// Why a request was not read.
pub enum ReadError {
    /// The request is refused.
    Refused(Refusal),
    /// The request is refused because there is no room for its body.
    NoRoom {
        /// The refusal.
        refusal: Refusal,
        /// What is left of the body, and until when the caller may send it; `None` if the caller
        /// waits for a sign to send it.
        unread_body: Option<(BoundedBody, Millis)>,
    },
    /// The caller disconnected.
    Disconnected,
}

/// An admitted request, held for all of its attempts.
pub struct Request<P: Platform> {
    /// The configuration that was in force when it was received.
    pub serving: Rc<ServingConfig>,
    route: RouteKey,
    account: Option<AccountKey>,
    /// Name of the service it goes to.
    pub service: String,
    /// Id that the caller gave it.
    pub id: HeaderValue,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers for backend servers, without those that differ between attempts.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Memory of the body, which may have to be sent again until the answer ends.
    _body_memory: ReservedBytes,
    /// Fingerprints, which are the same for each retry by the caller.
    pub fingerprints: Fingerprints,
    /// Deadline: that of the caller or of its route, whichever is earlier.
    pub deadline: Millis,
    /// Estimated work, relative to a typical request.
    pub cost: f64,
    /// When its head was received.
    pub received_at: Millis,
    /// Priority at backend servers; 0 is the highest.
    pub priority: u8,
    /// Its place among the admitted streams, if it is a stream that was admitted.
    pub admitted_stream: Option<AdmittedStream>,
    /// Its trials, if it or a part of its prompt is a crash suspect that is tried one at a time.
    pub trials: Vec<Trial<P>>,
    /// How far it is.
    pub progress: Rc<RequestProgress>,
}

impl<P: Platform> Request<P> {
    /// The route of the request.
    pub fn route(&self) -> &Route {
        self.serving.route(self.route)
    }

    /// The route, with the configuration that it is part of.
    pub fn request_route(&self) -> RequestRoute {
        RequestRoute { serving: self.serving.clone(), key: self.route }
    }

    /// What the pool needs to know to choose a server, other than those in `tried`.
    pub fn demand<'a>(&'a self, tried: &'a [Key<Server>]) -> Demand<'a> {
        let residency = Residency {
            route: Some(&self.route().homes),
            account: self.account.map(|account| &self.serving.account(account).homes),
        };
        Demand { service: &self.service, residency, tried, cost: self.cost, plain: self.plain() }
    }

    /// What matters for the choice of a server if the answer is no stream.
    fn plain(&self) -> Option<PlainDemand> {
        let repeatability = match self.route().kind {
            RouteKind::Stream => return None,
            RouteKind::Once => Repeatability::Once,
            RouteKind::Repeatable => Repeatability::Repeatable,
        };
        Some(PlainDemand { repeatability, deadline: self.deadline })
    }

    /// Id as text, for log lines.
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }

    /// The request to the admission queue of its service; `None` if its route has no latency
    /// objective for the pauses between events. `busy_fraction` returns the fraction of the
    /// service's slots in use.
    pub fn admission_request(
        &self,
        busy_fraction: impl FnOnce() -> f64,
    ) -> Option<AdmissionRequest> {
        let route = self.route();
        let pause = route.pause_ms.filter(|_| self.is_stream())?;
        let min_pass_ms = self.serving.services.get(&self.service)?.min_pass_ms;
        Some(AdmissionRequest {
            objective: LatencyObjective { pause_ms: pause.0 as f64, min_pass_ms },
            priority: self.priority,
            deadline: self.deadline,
            first_event_due: self.received_at + route.objective_ms,
            busy_fraction: busy_fraction(),
        })
    }

    /// The request for a stream, as the level of all gateways decides on it. `open_streams` is the
    /// number of streams of its service that this gateway has open.
    pub fn gate_request(&self, names: &HeaderNames, open_streams: u32, now: Millis) -> GateRequest {
        let account = self.account.map(|account| self.serving.account(account).name.as_str());
        let own = [&names.token_counts, &names.length_hint];
        let texts = own.map(|name| headers::text(&self.headers, name).unwrap_or_default());
        let urgency = self.serving.urgency(self.route, self.account);
        GateRequest {
            urgency,
            account: AccountId::of(account.unwrap_or_default(), urgency),
            key: self.fingerprints.whole.caller_key(texts),
            open_streams,
            left: self.deadline.since(now),
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.route().kind == RouteKind::Stream
    }
}

/// Admits a request by its head, then reads its body.
///
/// # Errors
///
/// The request is refused, or the caller disconnected.
pub async fn read<P: Platform>(
    gateway: &Gateway<P>,
    parts: Parts,
    mut body: BoundedBody,
    progress: &Rc<RequestProgress>,
) -> Result<Request<P>, ReadError> {
    let received_at = gateway.now();
    let serving = gateway.serving();
    if serving.version == 0 {
        let refusal = Refusal::not_run(Cause::NotReady);
        let left = RETRY_AFTER_NOT_READY.since(received_at).max(RETRY_AFTER_NO_SERVER);
        return Err(ReadError::Refused(refusal.retry_after(left)));
    }
    let (route, account) = admit(&serving, &parts)?;
    let names = gateway.platform.headers();
    let Some(id) = parts.headers.get(&names.request_id).cloned() else {
        return Err(ReadError::Refused(Refusal::not_run(Cause::BadRequest)));
    };
    let found_route = serving.route(route);
    let requested = headers::number(&parts.headers, &names.deadline_ms).map(Millis);
    let deadline =
        received_at + requested.unwrap_or(found_route.timeout_ms).min(found_route.timeout_ms);
    let reading = gateway.bodies.read(&mut body, serving.limits.body_bytes);
    // A caller that sends slowly holds what it has sent no longer than it waits for the answer.
    let read = gateway.clock.timeout_at(deadline, reading).await;
    let (body, body_memory) = match read {
        Ok(Ok(read)) => read,
        Ok(Err(BodyError::TooLarge)) => {
            return Err(ReadError::Refused(Refusal::not_run(Cause::TooLarge)));
        }
        Ok(Err(BodyError::NoRoom)) => return Err(no_room(&parts, body, deadline)),
        Ok(Err(BodyError::Disconnected)) => return Err(ReadError::Disconnected),
        Err(_) => return Err(ReadError::Refused(Refusal::not_run(Cause::DeadlinePassed))),
    };
    let service = found_route.draw(&mut rand::rng()).unwrap_or_default().to_owned();
    let cost = cost(&parts.headers, names);
    let uri = origin_form(&parts.uri);
    let account_name = account.map(|key| serving.account(key).name.as_str());
    let whole = Fingerprint::of(&uri.to_string(), account_name, &body);
    let fingerprints = Fingerprints::new(whole, &service, part_ids(&parts.headers, names));
    let priority = priority(&serving, route, account);
    let headers = forwarded_headers(parts.headers, names, &serving, account, priority);
    Ok(Request {
        serving,
        route,
        account,
        service,
        id,
        method: parts.method,
        uri,
        headers,
        body,
        _body_memory: body_memory,
        fingerprints,
        deadline,
        cost,
        received_at,
        priority,
        admitted_stream: None,
        trials: Vec::new(),
        progress: progress.clone(),
    })
}

fn admit(
    serving: &ServingConfig,
    parts: &Parts,
) -> Result<(RouteKey, Option<AccountKey>), ReadError> {
    let host = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let authorization =
        parts.headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = authorization.and_then(|text| text.strip_prefix("Bearer ")).map(str::trim);
    serving.admit(host, parts.uri.path(), key).map_err(|denial| {
        ReadError::Refused(Refusal::not_run(match denial {
            Denial::NoRoute => Cause::UnknownService,
            Denial::UnknownKey => Cause::UnknownKey,
        }))
    })
}

/// The refusal of a request without room for its body. Others need some time to leave.
fn no_room(parts: &Parts, body: BoundedBody, deadline: Millis) -> ReadError {
    let refusal = Refusal::not_run(Cause::QueueFull).retry_after(RETRY_AFTER_NO_SERVER);
    // Reading it would be the sign for which the caller waits.
    let is_held_back = parts.headers.contains_key(header::EXPECT);
    let unread_body = (!is_held_back).then_some((body, deadline));
    ReadError::NoRoom { refusal, unread_body }
}

/// The headers for backend servers. The caller's key is replaced by the name of its client account;
/// an account name that the caller sent is discarded.
fn forwarded_headers(
    mut headers: HeaderMap,
    names: &HeaderNames,
    serving: &ServingConfig,
    account: Option<AccountKey>,
    priority: u8,
) -> HeaderMap {
    headers::strip_hop_by_hop(&mut headers, &names.end_to_end());
    headers.remove(header::AUTHORIZATION);
    for name in [&names.account, &names.expect_server, &names.priority, &names.deadline_ms] {
        headers.remove(name);
    }
    let account = account.map(|key| serving.account(key));
    if let Some(account) = account
        && let Ok(value) = HeaderValue::from_str(&account.name)
    {
        headers.insert(names.account.clone(), value);
    }
    headers.insert(names.priority.clone(), HeaderValue::from(u16::from(priority)));
    headers
}

/// The priority of the client account if it has one, else that of the route.
fn priority(serving: &ServingConfig, route: RouteKey, account: Option<AccountKey>) -> u8 {
    let of_account = account.and_then(|account| serving.account(account).priority);
    of_account.unwrap_or(serving.route(route).priority).min(LOWEST_PRIORITY)
}

fn cost(headers: &HeaderMap, names: &HeaderNames) -> f64 {
    let counts = headers::text(headers, &names.token_counts).unwrap_or_default();
    let mut counts = counts.split(',').filter_map(|text| text.trim().parse::<f64>().ok());
    let (Some(prompt), Some(max_answer)) = (counts.next(), counts.next()) else { return 1.0 };
    let hinted = headers::number(headers, &names.length_hint);
    let answer = hinted.map_or(max_answer, |hint| (hint as f64).min(max_answer));
    let (min_cost, max_cost) = COST_RANGE;
    ((prompt * PROMPT_TOKEN_COST + answer) / TYPICAL_REQUEST_TOKENS).clamp(min_cost, max_cost)
}

/// The ids of the parts of a prompt.
fn part_ids<'a>(headers: &'a HeaderMap, names: &HeaderNames) -> impl Iterator<Item = &'a str> {
    let text = headers::text(headers, &names.prompt_parts).unwrap_or_default();
    let ids = text.split(',').map(|part| part.split(':').next().unwrap_or_default().trim());
    ids.filter(|id| !id.is_empty())
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
