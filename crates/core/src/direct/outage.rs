//! When callers of a service shall come back while none of its servers can take a request.
//!
//! Callers come back once or twice, so one that is told too early is lost, and one that is told late
//! only waits. How long an outage lasts nobody knows when it begins; it is expected to last as long as
//! the earlier ones did, and at first as long as a group stands and forms anew.

use crate::clock::Millis;
use crate::direct::attempts::MAX_RETRY_AFTER;
use crate::direct::attempts::RETRY_AFTER_NO_SERVER;

/// Part of the time to come back over which callers are spread.
const JITTER_FRACTION: f64 = 0.25;

/// What is expected of an outage, and what is learned from one that is over.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How long the first outage is expected to last: the users' groups stand for 1,500 ms once a rank
    /// is lost, and take 600 ms to open again.
    pub initial_estimate: Millis,
    /// Shortest time to come back.
    pub min_retry_after: Millis,
    /// Longest time to come back.
    pub max_retry_after: Millis,
    /// Outages that are shorter say nothing: one server of many refused.
    pub min_duration: Millis,
    /// Part of the newest outage in what is expected.
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

/// The outages of one service, as one gateway sees them.
#[derive(Clone, Debug)]
pub struct Outages {
    config: Config,
    expected_ms: f64,
    since: Option<Millis>,
}

impl Outages {
    /// None was seen yet.
    pub fn new(config: Config) -> Outages {
        Outages { config, expected_ms: config.initial_estimate.0 as f64, since: None }
    }

    /// No server could take a request.
    pub fn began(&mut self, now: Millis) {
        self.since.get_or_insert(now);
    }

    /// A server has taken one.
    pub fn ended(&mut self, now: Millis) {
        let Some(since) = self.since.take() else { return };
        let lasted = now.since(since);
        if lasted >= self.config.min_duration {
            self.expected_ms += self.config.newest_weight * (lasted.0 as f64 - self.expected_ms);
        }
    }

    /// When a caller that is refused now shall come back, if the service is out. `fraction` is drawn evenly
    /// from 0 to 1: callers are spread over a quarter more, or all would come at the same moment.
    pub fn retry_after(&self, now: Millis, fraction: f64) -> Option<Millis> {
        let Config { min_retry_after, max_retry_after, .. } = self.config;
        let left_ms = self.expected_ms - now.since(self.since?).0 as f64;
        let left = Millis(left_ms.max(min_retry_after.0 as f64) as u64);
        Some(add_jitter(left, fraction).min(max_retry_after))
    }
}

/// A time to come back after `left` that callers share: spread over a quarter more, as `fraction`, drawn evenly
/// from 0 to 1, says. Never earlier than `left`.
pub fn add_jitter(left: Millis, fraction: f64) -> Millis {
    left + Millis((left.0 as f64 * JITTER_FRACTION * fraction) as u64)
}
