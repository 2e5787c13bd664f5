//! Bursts of callers beyond the room of the servers, with streams of two priorities.
//! Input: how each of their requests ended. State: counts by priority, and requests that ended by
//! their deadline. Decides whether urgent requests were served as often as others, and whether each
//! request that ended by its deadline had been offered to a server.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use hooktrestle_users_standin::KEY_WITHOUT_PRIORITY;
use hooktrestle_users_standin::STREAMS_BY_PRIORITY;
use hooktrestle_users_standin::caller;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use reqwest::Client;
use reqwest::StatusCode;
use reqwest::header::RETRY_AFTER;
use tokio::time;
use tokio::time::Instant;

use crate::callers::RunContext;
use crate::ledger::Guarantee;
use crate::ledger::Verdict;
use crate::schedule::Fault;

/// Callers of a burst. The servers have 16 slots.
pub const BURST_CALLERS: u64 = 40;

/// Deadline of their requests.
const DEADLINE_MS: u64 = 2_000;

/// Number of events of their streams.
const EVENTS: std::ops::Range<u32> = 20..40;

/// One in so many callers repeats a refused request at once, whatever it was told.
const IMPATIENT_ONE_IN: u64 = 4;

/// Pause before the next request after one that failed.
const PAUSE: Duration = Duration::from_millis(400);

/// The users' rule: an urgent kind is served less often than another one by at most this fraction.
const TOLERANCE: f64 = 0.05;

/// Multiple of the standard deviation of the difference that chance may add.
const DEVIATIONS: f64 = 3.0;

/// Requests of each priority from which the two are compared.
const MIN_REQUESTS: u32 = 60;

/// Requests of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: u32,
    served: u32,
}

impl Counts {
    fn served_fraction(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }

    fn variance(self) -> f64 {
        let fraction = self.served_fraction();
        fraction * (1.0 - fraction) / f64::from(self.sent.max(1))
    }
}

/// What became of the requests of all bursts.
#[derive(Debug, Default)]
pub struct Overload {
    /// By the index of the route in [`STREAMS_BY_PRIORITY`].
    counts: RefCell<[Counts; 2]>,
    /// Requests that a gateway ended by their deadline.
    timed_out: RefCell<Vec<String>>,
    refusals: RefCell<u32>,
}

/// A check at the end of a run: its guarantee, and what violates it.
pub type OverloadCheck = (Guarantee, Option<String>);

impl Overload {
    /// Records a request, which may have been tried twice, of the route with this index.
    pub fn record(&self, route: usize, served: bool) {
        let counts = &mut self.counts.borrow_mut()[route];
        counts.sent += 1;
        counts.served += u32::from(served);
    }

    /// Records that a gateway ended a request by its deadline.
    pub fn record_timed_out(&self, id: &str) {
        self.timed_out.borrow_mut().push(id.to_owned());
    }

    /// Records a refusal.
    pub fn record_refusal(&self) {
        *self.refusals.borrow_mut() += 1;
    }

    /// The counts in words; empty if there was no burst.
    pub fn summary(&self) -> String {
        let [urgent, other] = *self.counts.borrow();
        if urgent.sent + other.sent == 0 {
            return String::new();
        }
        format!(
            ", {} of {} urgent and {} of {} other streams of bursts served with {} refusals",
            urgent.served,
            urgent.sent,
            other.served,
            other.sent,
            self.refusals.borrow()
        )
    }

    /// Checks what is known at the end of a run, when all that reached servers is in `offered`.
    pub fn check(&self, offered: &HashSet<String>) -> Vec<OverloadCheck> {
        let mut checks = Vec::new();
        let [urgent, other] = *self.counts.borrow();
        if urgent.sent >= MIN_REQUESTS && other.sent >= MIN_REQUESTS {
            let chance = DEVIATIONS * (urgent.variance() + other.variance()).sqrt();
            let lacks = other.served_fraction() - urgent.served_fraction();
            let detail =
                || format!("urgent ones are served less often than others{}", self.summary());
            checks.push((Guarantee::Priority, (lacks > TOLERANCE + chance).then(detail)));
        }
        if urgent.sent + other.sent > 0 {
            let timed_out = self.timed_out.borrow();
            let held: Vec<&String> = timed_out.iter().filter(|id| !offered.contains(*id)).collect();
            let detail = || format!("ended by their deadline, never sent to a server: {held:?}");
            checks.push((Guarantee::Offered, (!held.is_empty()).then(detail)));
        }
        checks
    }
}

/// Sends streams of both priorities until the fault ends, as one of the callers of a burst.
pub async fn send_streams(context: Rc<RunContext>, fault: Fault, number: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(fault.target as u64 * BURST_CALLERS + number);
    let is_impatient = number.is_multiple_of(IMPATIENT_ONE_IN);
    let client = Client::new();
    let end = Instant::now() + fault.duration;
    while Instant::now() < end && context.running.get() {
        let route = rng.random_range(0..STREAMS_BY_PRIORITY.len());
        let path = format!("/{}/{}", STREAMS_BY_PRIORITY[route], rng.random_range(EVENTS));
        // Both tries of a request are the same one to gateways, and no other request is.
        let body = format!("burst, {}", context.next_id());
        let mut result = send(&context, &client, &mut rng, &path, &body).await;
        if let Sent::Refused(after) = result {
            if !is_impatient {
                time::sleep(after).await;
            }
            result = send(&context, &client, &mut rng, &path, &body).await;
        }
        context.ledger.overload.record(route, matches!(result, Sent::Served));
        if !matches!(result, Sent::Served) {
            time::sleep(PAUSE).await;
        }
    }
}

/// How one try ended.
enum Sent {
    Served,
    /// Refused, with the time after which to return.
    Refused(Duration),
    Failed,
}

async fn send(
    context: &RunContext,
    client: &Client,
    rng: &mut ChaCha8Rng,
    path: &str,
    body: &str,
) -> Sent {
    let id = context.next_id();
    let gateways = &context.fleet.gateways;
    let gateway = gateways[rng.random_range(0..gateways.len())].at.callers;
    context.record_request(&id, true, Duration::from_millis(DEADLINE_MS), gateway);
    let key = KEY_WITHOUT_PRIORITY;
    let request = caller::request_with_key(client, gateway, path, &id, DEADLINE_MS, key);
    let Ok(answer) = request.body(body.to_owned()).send().await else {
        context.ledger.record_verdict(&id, Verdict::Open);
        return Sent::Failed;
    };
    if caller::reports_not_run(&answer) && !caller::is_signed(&answer) {
        let after = answer.headers().get(RETRY_AFTER).and_then(|text| text.to_str().ok());
        let after = after.and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        context.ledger.record_verdict(&id, Verdict::NotRun);
        context.ledger.overload.record_refusal();
        return Sent::Refused(Duration::from_secs_f64(after.clamp(0.0, 3.0)));
    }
    if answer.status() == StatusCode::GATEWAY_TIMEOUT && !caller::is_signed(&answer) {
        context.ledger.overload.record_timed_out(&id);
    }
    let is_success = answer.status() == StatusCode::OK;
    let is_whole = answer.bytes().await.is_ok();
    let verdict = if is_success && is_whole { Verdict::Answered } else { Verdict::Open };
    context.ledger.record_verdict(&id, verdict);
    if verdict == Verdict::Answered { Sent::Served } else { Sent::Failed }
}
