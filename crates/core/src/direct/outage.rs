//! Retry-after times for callers of a service while none of its servers can accept a request.
//! Input are the beginning and end of outages; the state is the expected duration of an outage.
//! This module decides how long a refused caller is asked to wait.
//!
//! A caller that retries before the outage is over is refused again, and callers that all retry as
//! it ends take the room of new requests. Callers retry once or twice, and wait for a third of the
//! time that they have left, at most. So retries are spread from the expected end of the outage on,
//! in the order of the refusals, as widely as callers wait. An outage that lasts longer than expected
//! may end at any time: its callers retry as late as they wait. A time beyond that is told only if
//! none lies within.
//!
//! The duration of an outage is not known when it begins. It is expected to last as long as earlier
//! ones did, and at first as long as a group takes to stall and form again.

use crate::clock::Millis;
use crate::direct::attempts::MAX_RETRY_AFTER;
use crate::direct::attempts::RETRY_AFTER_NO_SERVER;

/// Callers wait for this part of the time that they have left, at most.
const WAITED_PART_OF_TIME_LEFT: u64 = 3;

/// Fraction of the remaining time over which retries of callers are spread, if it is known.
const JITTER_FRACTION: f64 = 0.25;

/// Expected duration of an outage, and bounds on what is learned from one.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Expected duration of the first outage. The users' groups stall for 1,500 ms once a rank is
    /// lost, and take 600 ms to open again.
    pub initial_estimate: Millis,
    /// Shortest time until a retry.
    pub min_retry_after: Millis,
    /// Longest time until a retry.
    pub max_retry_after: Millis,
    /// Outages that are shorter do not change the estimate: one server of many refused a request.
    pub min_duration: Millis,
    /// Weight of the newest outage in the moving average.
    pub newest_weight: f64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            initial_estimate: Millis(2_100),
            min_retry_after: RETRY_AFTER_NO_SERVER,
            max_retry_after: MAX_RETRY_AFTER,
            min_duration: Millis(300),
            newest_weight: 0.3,
        }
    }
}

/// The outages of one service, as one gateway observes them.
#[derive(Clone, Debug)]
pub struct Outages {
    config: Config,
    expected_ms: f64,
    since: Option<Millis>,
}

impl Outages {
    /// No outage was observed yet.
    pub fn new(config: Config) -> Outages {
        Outages { config, expected_ms: config.initial_estimate.0 as f64, since: None }
    }

    /// Records that no server could accept a request.
    pub fn began(&mut self, now: Millis) {
        self.since.get_or_insert(now);
    }

    /// Records that a server accepted a request.
    pub fn ended(&mut self, now: Millis) {
        let Some(since) = self.since.take() else { return };
        let duration = now.since(since);
        if duration >= self.config.min_duration {
            self.expected_ms += self.config.newest_weight * (duration.0 as f64 - self.expected_ms);
        }
    }

    /// Time after which a caller that is refused now is to retry; `None` if the service has no
    /// outage. `time_left` is the time until the caller's deadline. `fraction` is drawn uniformly
    /// from 0 to 1 and spreads the retries. A time beyond what the caller waits for means that the
    /// outage is not expected to end before that.
    pub fn retry_after(&self, now: Millis, time_left: Millis, fraction: f64) -> Option<Millis> {
        let Config { min_retry_after, max_retry_after, .. } = self.config;
        let longest_wait = Millis(time_left.0 / WAITED_PART_OF_TIME_LEFT).min(max_retry_after);
        let elapsed_ms = now.since(self.since?).0 as f64;
        let left_ms = (self.expected_ms - elapsed_ms).max(min_retry_after.0 as f64);
        let longest_ms = longest_wait.0 as f64;
        if left_ms > longest_ms {
            return Some(Millis(left_ms as u64));
        }
        // Refusals of the expected duration are spread over the longest wait.
        let spread_ms = elapsed_ms * longest_ms / self.expected_ms;
        let earliest_ms = (left_ms + spread_ms).min(longest_ms);
        Some(Millis((earliest_ms + (longest_ms - earliest_ms) * fraction) as u64))
    }
}

/// The time `left` until a retry that many callers share, made up to a quarter longer by
/// `fraction`, which is drawn uniformly from 0 to 1. Never shorter than `left`.
pub fn add_jitter(left: Millis, fraction: f64) -> Millis {
    left + Millis((left.0 as f64 * JITTER_FRACTION * fraction) as u64)
}
