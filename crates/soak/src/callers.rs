//! Callers: clients that fetch the list of gateways, keep connections, and wait or disconnect.
//! Input: a seed, the running system. State: the list of gateways and the random generator.
//! Decides which request goes to which gateway and how soon, and the verdict on each answer.

mod crashing;
mod slow;
mod streams;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use hooktrestle_users_standin::IDLE_TIMEOUT;
use hooktrestle_users_standin::caller;
use hooktrestle_users_standin::slow_caller::SlowConnection;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use reqwest::Client;
use reqwest::Response;
use reqwest::StatusCode;
use tokio::time;
use tokio::time::Instant;

pub use self::crashing::WAVE;
pub use self::crashing::send_crashing_requests;
pub use self::crashing::send_neighbours;
use crate::backends::Backends;
use crate::backends::groups::MIN_TIMEOUT;
use crate::configurations::LASTING_ROUTES;
use crate::configurations::lasting_route_of;
use crate::configurations::route_of;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::Gateway;
use crate::ledger::GatewayIncarnation;
use crate::ledger::Guarantee;
use crate::ledger::Ledger;
use crate::ledger::Verdict;
use crate::losses::Outcome;

/// Deadline of requests.
const DEADLINE: Duration = Duration::from_millis(DEADLINE_MS);
const DEADLINE_MS: u64 = 3_000;

/// Deadline of long requests, and time-out of the routes.
pub const LONG_DEADLINE: Duration = Duration::from_secs(8);

/// Time before its deadline at which a server that still runs a request does not end it in time.
const NEAR_DEADLINE: Duration = Duration::from_millis(200);

/// Time from `SIGTERM` until which requests may be sent that the end of the stop cuts off: their
/// servers are at work on them in its last sixth.
const LONG_REQUESTS_EXCUSED: Duration = Duration::from_secs(3);

/// Time from `SIGTERM` for which a gateway serves at least.
const SHORTEST_STOP: Duration = Duration::from_millis(3_300);

/// How long a caller uses a list of gateways before it fetches the list again.
const REFRESH_MS: std::ops::Range<u64> = 1_000..3_000;

/// Pause between two requests of one caller.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

/// Cause with which a gateway refuses a request that crashes servers.
const CRASHES_SERVERS: &str = "crashes-servers";

/// Cause with which a gateway holds back a request that a server was starting when it crashed.
const CRASH_SUSPECT: &str = "crash-suspect";

/// Header that names the parts of a prompt.
const PROMPT_PARTS_HEADER: &str = "prompt-prefix";

/// The part that the prompts of all streams share, and the number of further parts that sound ones
/// share.
const COMMON_PART: &str = "c0";
const SHARED_PARTS: u32 = 3;

/// Number of events of a stream.
const EVENTS: std::ops::Range<u32> = 2..60;

/// Time between two checks of the configuration in force at a gateway.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// State that all callers share.
pub struct RunContext {
    /// The gateways.
    pub fleet: Rc<Fleet>,
    /// The store and the backend servers.
    pub backends: Rc<Backends>,
    /// Requests, arrivals and violations.
    pub ledger: Rc<Ledger>,
    /// Whether callers send further requests.
    pub running: Cell<bool>,
    last_number: Cell<u64>,
}

impl RunContext {
    /// Creates the state; callers send requests until `running` is cleared.
    pub fn new(fleet: Rc<Fleet>, backends: Rc<Backends>, ledger: Rc<Ledger>) -> RunContext {
        RunContext { fleet, backends, ledger, running: Cell::new(true), last_number: Cell::new(0) }
    }

    /// The id of the next request.
    pub fn next_id(&self) -> String {
        self.last_number.set(self.last_number.get() + 1);
        format!("r{}", self.last_number.get())
    }

    /// Records a request and the current incarnation of the gateway that it goes to.
    pub fn record_request(
        &self,
        id: &str,
        repeatable: bool,
        deadline: Duration,
        gateway: SocketAddr,
    ) {
        self.ledger.record_request(id, repeatable);
        self.ledger.record_deadline(id, deadline);
        let mut gateways = self.fleet.gateways.iter().enumerate();
        if let Some((number, found)) = gateways.find(|(_, found)| found.at.callers == gateway) {
            self.ledger.record_gateway(
                id,
                GatewayIncarnation { index: number, incarnation: found.incarnations.get() },
            );
            if !found.has_run_for(self.ledger.bounds.propagation) {
                self.ledger.record_out_of_touch(id);
            }
        }
    }

    fn gateway_at(&self, callers: SocketAddr) -> Option<&Rc<Gateway>> {
        self.fleet.gateways.iter().find(|gateway| gateway.at.callers == callers)
    }
}

/// One caller.
pub struct Caller {
    context: Rc<RunContext>,
    client: Client,
    rng: ChaCha8Rng,
    addresses: Vec<SocketAddr>,
    /// The newest list of gateways that it got, and when.
    listed: Vec<SocketAddr>,
    listed_at: Instant,
    /// Whether it uses gateways that are no longer listed until they are gone.
    keeps_gateways: bool,
    /// Which requests it sends.
    kind: CallerKind,
    /// Connection on which a caller that reads slowly sends its next request.
    kept: Option<(SocketAddr, SlowConnection)>,
    refresh_at: Instant,
}

/// One in so many callers uses gateways until they are gone.
const KEEPS_GATEWAYS_ONE_IN: u64 = 4;

/// Which requests a caller sends: one in so many of those that use gateways until they are gone, and as
/// many of the others, send long ones only; as many of the others read large answers slowly.
const KIND_ONE_IN: u64 = 8;

/// Which requests a caller sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallerKind {
    /// Short ones of all routes.
    Usual,
    /// Those that take up to their deadline.
    Long,
    /// Those with large answers, which it reads slowly.
    Slow,
}

impl CallerKind {
    fn of(seed: u64) -> CallerKind {
        match seed % KIND_ONE_IN {
            0 | 1 => CallerKind::Long,
            2 | 4 => CallerKind::Slow,
            _ => CallerKind::Usual,
        }
    }
}

/// A request to send.
#[derive(Clone, Debug)]
struct RequestSpec {
    path: String,
    repeatable: bool,
    /// Number of events of a complete answer; `None` if the answer is the id of the request.
    events: Option<u32>,
    deadline: Duration,
    disconnects_after: Option<Duration>,
    /// Time that the caller takes to read a large answer; `None` for a small one.
    reading: Option<Duration>,
}

impl Caller {
    /// Creates a caller with connections of its own, which draws requests from a seed.
    pub fn new(context: Rc<RunContext>, seed: u64) -> Caller {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Caller {
            context,
            client: client(),
            rng,
            addresses: Vec::new(),
            listed: Vec::new(),
            listed_at: Instant::now(),
            keeps_gateways: seed.is_multiple_of(KEEPS_GATEWAYS_ONE_IN),
            kind: CallerKind::of(seed),
            kept: None,
            refresh_at: Instant::now(),
        }
    }

    /// Sends requests until the run ends.
    pub async fn run(mut self) {
        while self.context.running.get() {
            if self.refresh_at <= Instant::now() || self.addresses.is_empty() {
                self.fetch_endpoints().await;
            }
            let failed = match self.choose() {
                Some(gateway) => self.request(gateway).await,
                None => false,
            };
            // After a failure, half of the next requests follow without a pause.
            if !failed || self.rng.random_bool(0.5) {
                time::sleep(Duration::from_millis(self.rng.random_range(PAUSE_MS))).await;
            }
        }
    }

    fn choose(&mut self) -> Option<SocketAddr> {
        let count = self.addresses.len();
        (count > 0).then(|| self.addresses[self.rng.random_range(0..count)])
    }

    async fn fetch_endpoints(&mut self) {
        let gateways = &self.context.fleet.gateways;
        let source = gateways[self.rng.random_range(0..gateways.len())].clone();
        let Some(list) = caller::endpoints(&self.client, source.at.endpoints).await else { return };
        if source.is_settled() {
            for listed in list.iter().filter_map(|address| self.context.gateway_at(*address)) {
                self.check_listed(&source, listed);
            }
        }
        self.refresh_at = Instant::now() + Duration::from_millis(self.rng.random_range(REFRESH_MS));
        self.listed.clone_from(&list);
        self.listed_at = Instant::now();
        if self.keeps_gateways {
            self.addresses.retain(|address| !list.contains(address));
            self.addresses.extend(list);
        } else {
            self.addresses = list;
        }
    }

    fn check_listed(&self, source: &Gateway, listed: &Gateway) {
        let ledger = &self.context.ledger;
        let Some(down) = listed.down_since.get().map(|since| since.elapsed()) else { return };
        ledger.record_check(Guarantee::Named);
        if down > ledger.bounds.listed {
            let detail = format!("{} lists {}, down for {down:?}", source.name, listed.name);
            ledger.report(Guarantee::Named, detail);
        }
    }

    fn draw_request(&mut self) -> RequestSpec {
        let backends = &self.context.backends;
        let rng = &mut self.rng;
        match self.kind {
            CallerKind::Usual if backends.has_group_faults() => return streams::one(rng, backends),
            CallerKind::Usual => {}
            CallerKind::Long => {
                return streams::long_request(rng, backends);
            }
            CallerKind::Slow => return slow::request(rng),
        }
        let (work_ms, events) = (rng.random_range(0..80_u32), rng.random_range(EVENTS));
        let disconnects_after =
            rng.random_bool(0.1).then(|| Duration::from_millis(rng.random_range(1..60)));
        let (route, repeatable, events) = match rng.random_range(0..10) {
            0..4 => ("once", false, None),
            4..7 => ("safe", true, None),
            7..9 => ("flow", true, Some(events)),
            _ => ("brook", false, Some(events)),
        };
        // A caller that disconnects leaves a long request behind.
        let work_or_abandoned_ms = if disconnects_after.is_some() { 2_500 } else { work_ms };
        let path = format!("/{route}/{}", events.unwrap_or(work_or_abandoned_ms));
        RequestSpec {
            path,
            repeatable,
            events,
            deadline: DEADLINE,
            disconnects_after,
            reading: None,
        }
    }

    /// Whether a request was sent early in a stop of its gateway, and its server was still at work on it
    /// at the end of that.
    fn outlasted_stop(&self, gateway: SocketAddr, sent_at: Instant, id: &str) -> bool {
        let stopped_at = self.context.gateway_at(gateway).and_then(|one| one.stopped_at.get());
        stopped_at.is_some_and(|stopped_at| {
            sent_at <= stopped_at + LONG_REQUESTS_EXCUSED
                && self.context.ledger.was_running_at(id, stopped_at + fleet::LAST_SIXTH_OF_STOP)
        })
    }

    /// Whether a gateway was told to stop after this caller fetched its list, and long enough ago for its
    /// process to have ended.
    fn may_have_stopped(&self, gateway: SocketAddr, sent_at: Instant) -> bool {
        let stopped_at = self.context.gateway_at(gateway).and_then(|one| one.stopped_at.get());
        stopped_at.is_some_and(|at| self.listed_at < at && sent_at >= at + SHORTEST_STOP)
    }

    fn record_outcome(
        &self,
        id: &str,
        gateway: SocketAddr,
        spec: &RequestSpec,
        sent_at: Instant,
        verdict: Verdict,
    ) {
        let Some(gateway) = self.context.gateway_at(gateway) else { return };
        let has_group_faults = self.context.backends.has_group_faults();
        let timeout = if has_group_faults { MIN_TIMEOUT } else { LONG_DEADLINE };
        self.context.ledger.losses.record_outcome(Outcome {
            id: id.to_owned(),
            gateway: gateway.index,
            sent_at,
            ended_at: Instant::now(),
            time_limit: spec.deadline.min(timeout),
            is_stream: spec.events.is_some(),
            verdict,
        });
    }

    fn is_settled(&self, gateway: SocketAddr) -> bool {
        self.context.gateway_at(gateway).is_some_and(|one| one.is_settled())
    }

    /// Sends a request; returns whether it failed: refused as not run, or with an unknown outcome.
    async fn request(&mut self, gateway: SocketAddr) -> bool {
        let (spec, id) = (self.draw_request(), self.context.next_id());
        let (ledger, sent_at) = (self.context.ledger.clone(), Instant::now());
        let was_settled = self.is_settled(gateway);
        self.context.record_request(&id, spec.repeatable, spec.deadline, gateway);
        let deadline_ms = spec.deadline.as_millis() as u64;
        let request = caller::request(&self.client, gateway, &spec.path, &id, deadline_ms);
        let request = match spec.events {
            Some(events) => {
                let others = format!("d{}", events % SHARED_PARTS);
                request.header(PROMPT_PARTS_HEADER, prompt_parts(&id, &others))
            }
            None => request,
        };
        let max_wait = spec.disconnects_after.unwrap_or(2 * spec.deadline);
        let answer = async {
            match spec.reading {
                Some(reading) => self.read_slowly(gateway, &spec, &id, reading).await,
                None => read_answer(request, &id, &spec, &ledger).await,
            }
        };
        let verdict = match time::timeout(max_wait, answer).await {
            Ok(verdict) => verdict,
            Err(_) => Verdict::Left(Instant::now()),
        };
        ledger.record_verdict(&id, verdict);
        self.record_outcome(&id, gateway, &spec, sent_at, verdict);
        let has_settled = was_settled && self.is_settled(gateway);
        let was_working = || {
            let deadline_at = sent_at + spec.deadline;
            Instant::now() >= deadline_at && ledger.was_running_at(&id, deadline_at - NEAR_DEADLINE)
        };
        let outlasted_deadline = verdict.is_failure() && was_working();
        if spec.disconnects_after.is_none() && has_settled && !outlasted_deadline {
            ledger.check_closed(&id, sent_at, verdict);
        }
        // A request to a gateway that is no longer listed may find it gone, or cross its end.
        let is_undelivered = || {
            let is_listed = self.listed.contains(&gateway);
            let may_be_gone =
                !is_listed || verdict == Verdict::Closed && self.may_have_stopped(gateway, sent_at);
            verdict.is_failure() && may_be_gone && !ledger.was_offered(&id)
        };
        let is_excused =
            !ledger.no_faults_since(sent_at) && !ledger.no_faults_but_store_since(sent_at);
        let is_excused = is_excused || outlasted_deadline;
        let is_checked = spec.disconnects_after.is_none() && !is_excused;
        if is_checked && has_settled {
            ledger.record_check(Guarantee::InTime);
            let took = sent_at.elapsed();
            if took > spec.deadline + ledger.bounds.after_deadline {
                let detail = format!("{id} at {gateway} ended after {took:?}, {verdict:?}");
                ledger.report(Guarantee::InTime, detail);
            }
        }
        if is_checked && !is_undelivered() && !self.outlasted_stop(gateway, sent_at, &id) {
            ledger.record_check(Guarantee::Answered);
            if verdict.is_failure() || matches!(verdict, Verdict::Left(_)) {
                let path = &spec.path;
                let took = sent_at.elapsed();
                let list_age = self.listed_at.elapsed();
                let detail = format!(
                    "{id} {path} at {gateway}: no answer in {took:?}, {verdict:?}, listed {}, by a list \
                     {list_age:?} old",
                    self.listed.contains(&gateway)
                );
                ledger.report(Guarantee::Answered, detail);
            }
        }
        // The gateway may be down: use other gateways, or fetch the list again if none is left.
        if verdict.is_failure() {
            self.addresses.retain(|address| *address != gateway);
        }
        verdict.is_failure() || verdict == Verdict::NotRun
    }
}

/// A client that uses connections which have rested for up to four fifths of their idle time-out, as
/// the users' callers do. Later, a request may cross the close of its connection.
fn client() -> Client {
    let builder = Client::builder().pool_idle_timeout(IDLE_TIMEOUT * 4 / 5);
    builder.build().expect("a client without certificates")
}

async fn read_answer(
    request: reqwest::RequestBuilder,
    id: &str,
    spec: &RequestSpec,
    ledger: &Ledger,
) -> Verdict {
    let Ok(answer) = request.send().await else { return Verdict::Closed };
    if caller::reports_not_run(&answer) && !caller::is_signed(&answer) {
        let text = answer.text().await.unwrap_or_default();
        if text.contains(CRASHES_SERVERS) {
            ledger.report(Guarantee::Crashing, format!("{id} is refused as crashing servers"));
        }
        if text.contains(CRASH_SUSPECT) && !ledger.has_recent_crash() {
            ledger.report(Guarantee::Crashing, format!("{id} is held back, but no server crashed"));
        }
        return Verdict::NotRun;
    }
    if answer.status() != StatusCode::OK {
        return Verdict::Open;
    }
    if !caller::is_signed(&answer) {
        ledger.report(Guarantee::OwnAnswer, format!("{id} got a success without a signature"));
    }
    match spec.events {
        Some(events) => stream(answer, id, events, ledger).await,
        None => whole(answer, id, ledger).await,
    }
}

async fn whole(answer: Response, id: &str, ledger: &Ledger) -> Verdict {
    match answer.text().await {
        Ok(text) if text == id => Verdict::Answered,
        Ok(text) => {
            ledger.report(Guarantee::OwnAnswer, format!("{id} got the answer {text:?}"));
            Verdict::Answered
        }
        Err(_) => Verdict::Closed,
    }
}

/// Reads a stream. It must contain each event of the request once and in order, and all of them if
/// it ends without an error.
async fn stream(answer: Response, id: &str, events: u32, ledger: &Ledger) -> Verdict {
    let (mut chunks, mut text) = (answer.bytes_stream(), String::new());
    let mut whole = true;
    while let Some(chunk) = chunks.next().await {
        match chunk {
            Ok(bytes) => text.push_str(&String::from_utf8_lossy(&bytes)),
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    let complete = text.rfind("\n\n").map_or("", |end| &text[..end + 2]);
    let expected: String =
        (0..events).map(|event| format!("id: {event}\ndata: {id}\n\n")).collect();
    if !expected.starts_with(complete) || (whole && text != expected) {
        let detail = format!("{id} got wrong events, complete {whole}: {text:?}");
        ledger.report(Guarantee::OwnAnswer, detail);
    }
    if whole { Verdict::Answered } else { Verdict::Closed }
}

/// The value of the header that names the parts of a prompt: one that all streams share, others, and
/// one of the request alone.
fn prompt_parts(id: &str, others: &str) -> String {
    format!("{COMMON_PART}:100,{others}:40,{id}:20")
}

/// Checks repeatedly which configuration is in force at a gateway.
pub async fn probe_configuration(context: Rc<RunContext>, gateway: Rc<Gateway>) {
    let client = Client::new();
    let mut seen = SeenConfiguration::default();
    while context.running.get() {
        time::sleep(PROBE_INTERVAL).await;
        let incarnation = gateway.incarnations.get();
        if seen.incarnation != incarnation {
            seen = SeenConfiguration { incarnation, ..SeenConfiguration::default() };
        }
        check_no_older(&context, &client, &gateway, &seen).await;
        if let Some(due) = check_due(&context, &client, &gateway).await {
            seen.reached = seen.reached.max(due);
        }
        let newest = context.backends.configurations.newest();
        if has_route(&context, &client, &gateway, &route_of(newest)).await == Some(true) {
            seen.newest = seen.newest.max(newest);
        }
    }
}

/// What one incarnation of a gateway had in force.
#[derive(Clone, Copy, Debug, Default)]
struct SeenConfiguration {
    incarnation: u32,
    /// The newest version that was in force itself.
    newest: u64,
    /// The newest version that was in force itself, or before a later one.
    reached: u64,
}

/// Checks that a gateway has no configuration in force that is older than what it had before.
async fn check_no_older(
    context: &RunContext,
    client: &Client,
    gateway: &Gateway,
    seen: &SeenConfiguration,
) {
    let before = seen.newest.saturating_sub(1);
    let checks = [
        (before, route_of(before), Some(true)),
        (seen.reached, lasting_route_of(seen.reached), Some(false)),
    ];
    for (version, route, older) in checks {
        // The route of a version far behind the newest one does not exist any more.
        if version == 0 || context.backends.configurations.newest() >= version + LASTING_ROUTES {
            continue;
        }
        let in_force = has_route(context, client, gateway, &route).await;
        if in_force.is_some() {
            context.ledger.record_check(Guarantee::Configuration);
        }
        if in_force == older && gateway.incarnations.get() == seen.incarnation {
            let detail =
                format!("{} has an older configuration in force after {seen:?}", gateway.name);
            context.ledger.report(Guarantee::Configuration, detail);
        }
    }
}

/// Checks that a gateway has the newest configuration in force that is due, or a later one, and
/// returns it if it has. Only faults of the gateway, of the store and of the path between them are an
/// excuse.
async fn check_due(context: &RunContext, client: &Client, gateway: &Gateway) -> Option<u64> {
    let RunContext { backends, ledger, .. } = context;
    let sent_at = Instant::now();
    let due = backends.configurations.newest_before(sent_at - ledger.bounds.configuration);
    if due == 0 {
        return None;
    }
    let is_bound = || ledger.is_in_contact(gateway.index, sent_at);
    let was_bound = is_bound();
    let in_force = has_route(context, client, gateway, &lasting_route_of(due)).await?;
    if was_bound && is_bound() {
        ledger.record_check(Guarantee::Configuration);
        if !in_force {
            let detail = format!("{} does not have configuration {due} in force", gateway.name);
            ledger.report(Guarantee::Configuration, detail);
        }
    }
    in_force.then_some(due)
}

/// Whether a route exists; `None` if the response does not show it.
async fn has_route(
    context: &RunContext,
    client: &Client,
    gateway: &Gateway,
    route: &str,
) -> Option<bool> {
    let id = context.next_id();
    context.record_request(&id, true, DEADLINE, gateway.at.callers);
    let path = format!("/{route}/0");
    let request = caller::request(client, gateway.at.callers, &path, &id, DEADLINE_MS);
    let answer = request.send().await.ok()?;
    match answer.status() {
        StatusCode::NOT_FOUND => Some(false),
        StatusCode::OK => Some(true),
        _ => None,
    }
}
