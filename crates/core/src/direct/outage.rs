//! When callers of a service shall come back while none of its servers can take a request.
//!
//! Callers come back once or twice, so one that is told too early is lost, and one that is told late
//! only waits. How long an outage lasts nobody knows when it begins; it is expected to last as long as
//! the earlier ones did, and at first as long as a group stands and forms anew.

use crate::clock::Millis;
use crate::direct::attempts::MAX_RETRY_AFTER;
use crate::direct::attempts::RETRY_AFTER_NO_SERVER;

/// Part of the time to come back over which callers are spread.
const SPREAD: f64 = 0.25;

/// What is expected of an outage, and what is learned from one that is over.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How long the first outage is expected to last: the users' groups stand for 1,500 ms once a rank
    /// is lost, and take 600 ms to open again.
    pub usual: Millis,
    /// Shortest time to come back.
    pub least: Millis,
    /// Longest time to come back.
    pub most: Millis,
    /// Outages that are shorter say nothing: one server of many refused.
    pub noise: Millis,
    /// Part of the newest outage in what is expected.
    pub newest: f64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            usual: Millis(2_100),
            least: RETRY_AFTER_NO_SERVER,
            most: MAX_RETRY_AFTER,
            noise: Millis(300),
            newest: 0.3,
        }
    }
}

/// The outages of one service, as one gateway sees them.
#[derive(Clone, Debug)]
pub struct Outages {
    config: Config,
    usual_ms: f64,
    since: Option<Millis>,
}

impl Outages {
    /// None was seen yet.
    pub fn new(config: Config) -> Outages {
        Outages { config, usual_ms: config.usual.0 as f64, since: None }
    }

    /// No server could take a request.
    pub fn began(&mut self, now: Millis) {
        self.since.get_or_insert(now);
    }

    /// A server has taken one.
    pub fn ended(&mut self, now: Millis) {
        let Some(since) = self.since.take() else { return };
        let lasted = now.since(since);
        if lasted >= self.config.noise {
            self.usual_ms += self.config.newest * (lasted.0 as f64 - self.usual_ms);
        }
    }

    /// When a caller that is refused now shall come back, if the service is out. `part` is drawn evenly
    /// from 0 to 1: callers are spread over a quarter more, or all would come at the same moment.
    pub fn come_back(&self, now: Millis, part: f64) -> Option<Millis> {
        let Config { least, most, .. } = self.config;
        let left_ms = self.usual_ms - now.since(self.since?).0 as f64;
        let left = Millis(left_ms.max(least.0 as f64) as u64);
        Some(spread(left, part).min(most))
    }
}

/// A time to come back after `left` that callers share: spread over a quarter more, as `part`, drawn evenly
/// from 0 to 1, says. Never earlier than `left`.
pub fn spread(left: Millis, part: f64) -> Millis {
    left + Millis((left.0 as f64 * SPREAD * part) as u64)
}
