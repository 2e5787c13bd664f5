//! Requests that last for some time: up to their deadline, or streams beside faults of groups.
//! Input: a random generator. State: none. Decides the route, the length and the deadline of a request.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::LONG_DEADLINE;
use super::RequestSpec;
use crate::backends::Backends;

/// Work of the requests of callers whose requests have a long deadline: of any length, up to that.
const LONG_WORK_MS: std::ops::Range<u32> = 50..7_500;

/// The longest work where the time-outs of routes change.
const MAX_WORK_MS: u32 = 5_000;

/// Deadlines of streams beside faults of groups, and the share of the deadline that their work takes
/// at most.
const DEADLINES_MS: std::ops::Range<u64> = 1_000..8_001;
const MAX_WORK_SHARE: f64 = 0.6;

/// Mean delay of a timer.
const TIMER_DELAY_MS: u32 = 2;

/// A request with work of up to its deadline.
pub(super) fn long_request(rng: &mut ChaCha8Rng, backends: &Backends) -> RequestSpec {
    let max_work_ms = if backends.has_group_faults() { MAX_WORK_MS } else { LONG_WORK_MS.end };
    let work_ms = rng.random_range(LONG_WORK_MS).min(max_work_ms);
    let events = Some(work_ms / (backends.event_interval().as_millis() as u32 + TIMER_DELAY_MS));
    let (route, repeatable, events) = match rng.random_range(0..4) {
        0 => ("once", false, None),
        1 => ("safe", true, None),
        2 => ("flow", true, events),
        _ => ("brook", false, events),
    };
    let path = format!("/{route}/{}", events.unwrap_or(work_ms));
    RequestSpec {
        path,
        repeatable,
        events,
        deadline: LONG_DEADLINE,
        disconnects_after: None,
        reading: None,
    }
}

/// A stream of up to some seconds, of a route that may be resumed or of one that may not, with any
/// deadline.
pub(super) fn one(rng: &mut ChaCha8Rng, backends: &Backends) -> RequestSpec {
    let deadline = Duration::from_millis(rng.random_range(DEADLINES_MS));
    let work = deadline.mul_f64(MAX_WORK_SHARE * rng.random_range(0.05..1.0));
    let events = work.div_duration_f64(backends.event_interval()) as u32;
    let routes = backends.stream_routes();
    let (route, repeatable) = routes[rng.random_range(0..routes.len())];
    RequestSpec {
        path: format!("/{route}/{events}"),
        repeatable,
        events: Some(events),
        deadline,
        disconnects_after: None,
        reading: None,
    }
}
