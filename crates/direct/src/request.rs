//! One request of a caller, read whole and admitted.

use std::rc::Rc;

use bytes::Bytes;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::admission::LatencyObjective;
use hooktrestle_core::direct::attempts::RETRY_AFTER_NO_SERVER;
use hooktrestle_core::direct::fingerprint::Fingerprint;
use hooktrestle_core::direct::serving::AccountKey;
use hooktrestle_core::direct::serving::Denial;
use hooktrestle_core::direct::serving::Route;
use hooktrestle_core::direct::serving::RouteKey;
use hooktrestle_core::direct::serving::RouteKind;
use hooktrestle_core::direct::serving::ServingConfig;
use hooktrestle_core::verdict::Refusal;
use hooktrestle_schema::Cause;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Uri;
use http::header;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;

use crate::admission_queue::AdmissionRequest;
use crate::admission_queue::AdmittedStream;
use crate::gateway::Gateway;
use crate::gateway::crashes::Trial;
use crate::headers;
use crate::platform::HeaderNames;
use crate::platform::Platform;

/// Cost of a prompt's token over that of an answer's: a token that is written takes a step of its
/// own, and tokens of a prompt are read many at a time. From the users' engines: 1 / 74.8 ms to
/// read one, 0.362 ms to write one.
const PROMPT_TOKEN_COST: f64 = 0.037;

/// Tokens that a usual request costs; what it says of a request's size is relative to this.
const TYPICAL_REQUEST_TOKENS: f64 = 190.0;

/// Bounds of a request's cost, in usual requests: hints are often far off.
const COST_RANGE: (f64, f64) = (0.25, 4.0);

/// When a caller shall come back while no configuration is known, by how long the process has run: one
/// that starts reads it within 0.1 s, but after a loss of power groups form anew meanwhile.
const RETRY_AFTER_NOT_READY: Millis = Millis(2_000);

/// The priority that goes last, as [`Route`] says.
const LOWEST_PRIORITY: u8 = 9;

/// Why there is no request.
pub enum ReadError {
    /// Refuse it.
    Refused(Refusal),
    /// The caller broke off.
    Disconnected,
}

/// A request, kept for as many attempts as it takes.
pub struct Request<P: Platform> {
    /// The configuration that it began under.
    pub serving: Rc<ServingConfig>,
    route: RouteKey,
    /// Its service.
    pub service: String,
    /// Its id.
    pub id: HeaderValue,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Headers as backend servers get them, but for those that differ between attempts.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The same for each time that it comes.
    pub fingerprint: Fingerprint,
    /// When the caller or its route gives it up.
    pub deadline: Millis,
    /// Work that it is, in usual requests.
    pub cost: f64,
    /// When it received_at.
    pub received_at: Millis,
    /// Its priority at backend servers.
    pub priority: u8,
    /// Its entry as a stream, once it has one.
    pub admitted_stream: Option<AdmittedStream>,
    /// Its trial, if it is on one.
    pub trial: Option<Trial<P>>,
}

impl<P: Platform> Request<P> {
    /// Its route.
    pub fn route(&self) -> &Route {
        self.serving.route(self.route)
    }

    /// Its id, for logs.
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }

    /// What it asks of its service's entrance; `None` where no pause between events is owed. `busy_fraction` tells
    /// the part of the service's slots that is taken.
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

    /// Whether it is answered by a stream of events.
    pub fn is_stream(&self) -> bool {
        self.route().kind == RouteKind::Stream
    }
}

/// Admits a request by its head, then reads its body.
///
/// # Errors
///
/// It is refused, or the caller broke off.
pub async fn read<P: Platform>(
    gateway: &Gateway<P>,
    parts: Parts,
    body: Incoming,
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
    let body = read_body(body, serving.limits.body_bytes).await?;
    let found = serving.route(route);
    let waits = headers::number(&parts.headers, &names.deadline_ms).map(Millis);
    let deadline = received_at + waits.unwrap_or(found.timeout_ms).min(found.timeout_ms);
    let service = found.draw(&mut rand::rng()).unwrap_or_default().to_owned();
    let cost = cost(&parts.headers, names);
    let uri = origin_form(&parts.uri);
    let account_name = account.map(|key| serving.account(key).name.as_str());
    let fingerprint = Fingerprint::of(&uri.to_string(), account_name, &body);
    let priority = priority(&serving, route, account);
    let headers = forwarded_headers(parts.headers, names, &serving, account, priority);
    Ok(Request {
        serving,
        route,
        service,
        id,
        method: parts.method,
        uri,
        headers,
        body,
        fingerprint,
        deadline,
        cost,
        received_at,
        priority,
        admitted_stream: None,
        trial: None,
    })
}

fn admit(
    serving: &ServingConfig,
    parts: &Parts,
) -> Result<(RouteKey, Option<AccountKey>), ReadError> {
    let host = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let shown = parts.headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = shown.and_then(|text| text.strip_prefix("Bearer ")).map(str::trim);
    serving.admit(host, parts.uri.path(), key).map_err(|denial| {
        ReadError::Refused(Refusal::not_run(match denial {
            Denial::NoRoute => Cause::UnknownService,
            Denial::UnknownKey => Cause::UnknownKey,
        }))
    })
}

async fn read_body(body: Incoming, most: usize) -> Result<Bytes, ReadError> {
    match Limited::new(body, most).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(ReadError::Refused(Refusal::not_run(Cause::TooLarge)))
        }
        Err(_) => Err(ReadError::Disconnected),
    }
}

/// The headers for backend servers: without the caller's key, and with the account that it stands
/// for, whatever the caller called itself.
fn forwarded_headers(
    mut headers: HeaderMap,
    names: &HeaderNames,
    serving: &ServingConfig,
    account: Option<AccountKey>,
    priority: u8,
) -> HeaderMap {
    headers::strip_hop_by_hop(&mut headers);
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

/// The account's priority, or the route's.
fn priority(serving: &ServingConfig, route: RouteKey, account: Option<AccountKey>) -> u8 {
    let own = account.and_then(|account| serving.account(account).priority);
    own.unwrap_or(serving.route(route).priority).min(LOWEST_PRIORITY)
}

fn cost(headers: &HeaderMap, names: &HeaderNames) -> f64 {
    let counts = headers::text(headers, &names.token_counts).unwrap_or_default();
    let mut counts = counts.split(',').filter_map(|text| text.trim().parse::<f64>().ok());
    let (Some(prompt), Some(most)) = (counts.next(), counts.next()) else { return 1.0 };
    let hinted = headers::number(headers, &names.length_hint);
    let answer = hinted.map_or(most, |hint| (hint as f64).min(most));
    let (least, largest) = COST_RANGE;
    ((prompt * PROMPT_TOKEN_COST + answer) / TYPICAL_REQUEST_TOKENS).clamp(least, largest)
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
