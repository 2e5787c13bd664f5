//! Requests that crash servers, and sound ones beside them.
//! Input: a fault with its duration and random numbers. State: what crashes servers.
//! Decides which requests crash servers, and when a further part of prompts takes their place.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hooktrestle_users_standin::caller;
use hooktrestle_users_standin::server::CrashDraws;
use hooktrestle_users_standin::server::CrashPoint;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use reqwest::Client;
use tokio::task;
use tokio::time;
use tokio::time::Instant;

use super::COMMON_PART;
use super::DEADLINE;
use super::DEADLINE_MS;
use super::PROMPT_PARTS_HEADER;
use super::RequestSpec;
use super::RunContext;
use super::client;
use super::prompt_parts;
use super::read_answer;
use crate::crash_shapes::CrashShape;
use crate::crash_shapes::Pace;
use crate::crash_shapes::Place;
use crate::crashing::CrashCause;
use crate::ledger::Verdict;
use crate::schedule::Fault;
use crate::schedule::FaultKind;

/// Pause between two requests with the same body, or the same part, that crash servers.
const CRASH_PAUSE_MS: std::ops::Range<u64> = 50..500;
const PART_PAUSE_MS: std::ops::Range<u64> = 100..2_000;

/// Time between two requests that are sent at a fixed rate, of all parts together.
const FIXED_INTERVAL: Duration = Duration::from_millis(500);

/// Requests with parts that crash servers in a smaller share of the attempts follow each other faster, by
/// this factor at most, so that they crash as many.
const MIN_PAUSE_FACTOR: f64 = 1.0 / 3.0;

/// Path of the sound requests that are compared with others beside a part that crashes servers.
const NEIGHBOUR_PATH: &str = "/flow/9";

/// Time after which callers leave that do not wait for their answer.
const LEAVES_AFTER_MS: std::ops::Range<u64> = 1..15;

/// Number of parts before one at the tenth place, beside the part that all prompts share.
const SOUND_PARTS: usize = 8;

/// Parts of which each sound request that is compared has one.
const DOCUMENT_PARTS: [&str; 3] = ["f1", "f2", "f3"];

/// Time between two of these sound requests, whether they are served or not.
const NEIGHBOUR_INTERVAL: Duration = Duration::from_millis(50);

/// Number of requests with a part that crashes servers which are sent at once: more servers than
/// identify the part crash before any gateway knows of it.
pub const WAVE: usize = 6;

/// Time after which the servers that a wave has crashed are replaced.
const WAVE_INTERVAL: Duration = Duration::from_secs(5);

/// Sends requests that crash servers, to randomly drawn gateways: the same one repeatedly, or
/// different ones whose prompts share a part. Half of the parts begin with a wave of requests; if a
/// wave does not identify a part that crashes servers in all attempts, another part follows.
pub async fn send_crashing_requests(context: Rc<RunContext>, fault: Fault) {
    let mut rng = ChaCha8Rng::seed_from_u64(fault.target as u64);
    let path = ["/flow/9", "/safe/9", "/once/9"][rng.random_range(0..3)];
    let is_part = fault.kind == FaultKind::CrashingPart;
    let shape = is_part.then(|| CrashShape::draw(fault.target as u64));
    let path = shape.map_or(path, |shape| shape.path);
    let share = shape.map_or(1.0, |shape| shape.share);
    let pause_factor = share.max(MIN_PAUSE_FACTOR);
    let always_crashes = shape.is_none_or(|shape| shape.always_crashes());
    let draws = CrashDraws::of_share(share, fault.target as u64);
    let new_source = |context| CrashingSource::new(context, path, shape, draws.clone());
    let mut source = new_source(context);
    let end = Instant::now() + fault.duration;
    if is_part && fault.target.is_multiple_of(2) {
        source.send_wave().await;
        while always_crashes && Instant::now() + WAVE_INTERVAL < end && !source.is_identified() {
            time::sleep(WAVE_INTERVAL).await;
            source = new_source(source.context);
            source.send_wave().await;
        }
    }
    let further = shape.map_or(1, |shape| shape.part_count).saturating_sub(1);
    let further = (0..further).map(|_| new_source(source.context.clone()));
    let further: Vec<CrashingSource> = further.collect();
    let sources: Vec<Rc<CrashingSource>> =
        std::iter::once(source).chain(further).map(Rc::new).collect();
    for source in sources.iter().cycle() {
        if Instant::now() >= end || !source.context.running.get() {
            return;
        }
        let index = rng.random_range(0..source.context.fleet.gateways.len());
        let leaves = shape.is_some_and(|shape| shape.leaves) && rng.random_bool(0.5);
        let patience = leaves.then(|| Duration::from_millis(rng.random_range(LEAVES_AFTER_MS)));
        match shape.map(|shape| shape.pace) {
            Some(Pace::FixedRate) => {
                let source = source.clone();
                task::spawn_local(async move { source.send_for(index, patience).await });
                time::sleep(FIXED_INTERVAL.mul_f64(pause_factor)).await;
            }
            Some(Pace::OneByOne) | None => {
                source.send_for(index, patience).await;
                let pause_ms = if is_part { PART_PAUSE_MS } else { CRASH_PAUSE_MS };
                let pause = Duration::from_millis(rng.random_range(pause_ms));
                time::sleep(pause.mul_f64(pause_factor)).await;
            }
        }
    }
}

/// Sends requests with one cause of crashes.
struct CrashingSource {
    context: Rc<RunContext>,
    client: Client,
    path: &'static str,
    cause: CrashCause,
    shape: Option<CrashShape>,
}

impl CrashingSource {
    /// The source of a part of this shape, or else of a request.
    fn new(
        context: Rc<RunContext>,
        path: &'static str,
        shape: Option<CrashShape>,
        draws: CrashDraws,
    ) -> CrashingSource {
        let name = context.next_id();
        let cause = match shape {
            Some(_) => CrashCause::Part(format!("bad-{name}")),
            None => CrashCause::Body(format!("crashes servers, {name}")),
        };
        context.ledger.add_crash_cause(cause.clone(), shape);
        let point = shape.map_or(CrashPoint::AfterHead, |shape| shape.point);
        context.backends.add_crash_cause(cause.clone(), point, draws);
        CrashingSource { context, client: Client::new(), path, cause, shape }
    }

    fn is_identified(&self) -> bool {
        self.context.ledger.is_identified(&self.cause)
    }

    /// Sends several requests at once.
    async fn send_wave(&self) {
        let count = self.context.fleet.gateways.len();
        join_all((0..WAVE).map(|number| self.send(number % count))).await;
    }

    /// Sends a request to the gateway with this index, and waits for its answer.
    async fn send(&self, index: usize) {
        let id = self.context.next_id();
        let verdict = self.request(index, &id).await;
        self.context.ledger.record_verdict(&id, verdict);
    }

    /// Sends a request, by a caller that leaves after a time if one is given.
    async fn send_for(&self, index: usize, patience: Option<Duration>) {
        match patience {
            Some(patience) => self.send_and_leave(index, patience).await,
            None => self.send(index).await,
        }
    }

    /// Like [`CrashingSource::send`], by a caller that leaves after this time.
    async fn send_and_leave(&self, index: usize, patience: Duration) {
        let id = self.context.next_id();
        let answered = time::timeout(patience, self.request(index, &id)).await;
        let verdict = answered.unwrap_or_else(|_| Verdict::Left(Instant::now()));
        self.context.ledger.record_verdict(&id, verdict);
    }

    async fn request(&self, index: usize, id: &str) -> Verdict {
        let CrashingSource { context, client, path, cause, shape } = self;
        let gateway = context.fleet.gateways[index].at.callers;
        let repeatable = !path.starts_with("/once");
        context.record_request(id, repeatable, DEADLINE, gateway);
        context.ledger.record_crashing_sent(cause);
        let request = caller::request(client, gateway, path, id, DEADLINE_MS);
        let request = match cause {
            CrashCause::Body(body) => request.body(body.clone()),
            CrashCause::Part(part) => {
                let place = shape.map_or(Place::Second, |shape| shape.place);
                let parts = crashing_prompt_parts(id, part, place);
                request.header(PROMPT_PARTS_HEADER, parts).body(format!("prompt of {id}"))
            }
        };
        match request.send().await {
            Ok(answer) if caller::reports_not_run(&answer) && !caller::is_signed(&answer) => {
                Verdict::NotRun
            }
            Ok(answer) => {
                drop(answer.bytes().await);
                Verdict::Open
            }
            Err(_) => Verdict::Open,
        }
    }
}

/// The value of the header that names the parts of a prompt, with one at this place that crashes servers.
fn crashing_prompt_parts(id: &str, part: &str, place: Place) -> String {
    match place {
        Place::Second => prompt_parts(id, part),
        Place::BetweenTied => {
            format!("{COMMON_PART}:100,t-{part}:30,{part}:40,u-{part}:30,{id}:20")
        }
        Place::Tenth => {
            format!("{COMMON_PART}:100,{}{part}:40,{id}:20", sound_parts())
        }
    }
}

fn sound_parts() -> String {
    (1..=SOUND_PARTS).map(|number| format!("e{number}:30,")).collect()
}

/// The value of the header for the sound requests that are compared: with the sound parts that prompts
/// with a crashing one at the tenth place have, and a part that each third of these requests shares.
fn neighbour_prompt_parts(id: &str, number: usize) -> String {
    let document = DOCUMENT_PARTS[number % DOCUMENT_PARTS.len()];
    format!("{COMMON_PART}:100,{}{document}:30,{id}:20", sound_parts())
}

/// Sends sound requests to all gateways in turn, of the route of those with a part that crashes servers
/// and with the same first part in their prompts.
pub async fn send_neighbours(context: Rc<RunContext>) {
    let client = client();
    for (number, gateway) in context.fleet.gateways.iter().cycle().enumerate() {
        if !context.running.get() {
            return;
        }
        let (context, client, callers) = (context.clone(), client.clone(), gateway.at.callers);
        task::spawn_local(async move {
            let (id, sent_at) = (context.next_id(), Instant::now());
            context.record_request(&id, true, DEADLINE, callers);
            let path = NEIGHBOUR_PATH;
            let request = caller::request(&client, callers, path, &id, DEADLINE_MS);
            let request = request.header(PROMPT_PARTS_HEADER, neighbour_prompt_parts(&id, number));
            let request = request.body(format!("sound prompt of {id}"));
            let events = path.trim_start_matches("/flow/").parse().ok();
            let spec = RequestSpec {
                path: path.to_owned(),
                repeatable: true,
                events,
                deadline: DEADLINE,
                disconnects_after: None,
                reading: None,
            };
            let verdict = read_answer(request, &id, &spec, &context.ledger).await;
            context.ledger.record_verdict(&id, verdict);
            context.ledger.record_neighbour(&id, sent_at);
        });
        time::sleep(NEIGHBOUR_INTERVAL).await;
    }
}
