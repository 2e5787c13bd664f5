//! Retry-after times for callers of a service while none of its servers can accept a request.
//! Input are the beginning and end of outages; the state is the expected duration of an outage.
//! This module decides how long a refused caller is asked to wait.
//!
//! Callers retry once or twice. A caller that retries too early is lost, and one that retries late
//! only waits longer. The duration of an outage is not known when it begins. It is expected to last
//! as long as earlier ones did, and at first as long as a group takes to stall and form again.

use crate::clock::Millis;
use crate::direct::attempts::MAX_RETRY_AFTER;
use crate::direct::attempts::RETRY_AFTER_NO_SERVER;

/// Fraction of the remaining time over which retries of callers are spread.
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
    /// outage. `fraction` is drawn uniformly from 0 to 1. It spreads the retries, which would
    /// otherwise all arrive at the same moment.
    pub fn retry_after(&self, now: Millis, fraction: f64) -> Option<Millis> {
        let Config { min_retry_after, max_retry_after, .. } = self.config;
        let left_ms = self.expected_ms - now.since(self.since?).0 as f64;
        let left = Millis(left_ms.max(min_retry_after.0 as f64) as u64);
        Some(add_jitter(left, fraction).min(max_retry_after))
    }
}

/// The time `left` until a retry that many callers share, made up to a quarter longer by
/// `fraction`, which is drawn uniformly from 0 to 1. Never shorter than `left`.
pub fn add_jitter(left: Millis, fraction: f64) -> Millis {
    left + Millis((left.0 as f64 * JITTER_FRACTION * fraction) as u64)
}
