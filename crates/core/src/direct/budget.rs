//! The retry budget of one service at one gateway, over a sliding window.
//! Input: requests, retries and the number of gateways. State: their times within the window.
//! Decides whether another retry is allowed.
//!
//! The operators bound the retries of all gateways together: a ratio of the requests, plus a slack.
//! The slack is divided by the number of gateways; the ratio applies to the requests that each
//! gateway receives itself. Gateways don't coordinate, since the bound must hold in every window,
//! also while gateways crash, start or cannot reach each other.
//!
//! A process does not know what its predecessor has spent. So its share of the slack grows from
//! nothing over the first window: of one gateway, the processes that end or begin within a window
//! take at most one share while their predecessor takes another one. Half of the bound is usable,
//! which covers both, however often a process is replaced.

use std::collections::VecDeque;

use crate::clock::Millis;

/// The bound for all gateways together.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Retries per request, in any window.
    pub ratio: f64,
    /// Additional retries, in any window.
    pub slack: f64,
    /// Length of the window.
    pub window: Millis,
}

/// Fraction of the bound that one process may use in a window. The remainder is reserved for the
/// processes that replace it within the window.
const USABLE_FRACTION: f64 = 0.5;

/// Minimum time between two reports of denied retries.
const DENIAL_REPORT_INTERVAL: Millis = Millis(1_000);

/// Requests and retries in the current window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Requests that this gateway received.
    pub requests: usize,
    /// Retries that it has taken.
    pub retries: usize,
}

/// Requests and retries of one service at one gateway.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: Config,
    /// When the process started.
    started_at: Millis,
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
    /// When a denied retry was last reported.
    denial_reported_at: Option<Millis>,
}

impl RetryBudget {
    /// The budget of a process that started at `started_at`, which has taken no retries.
    pub fn new(config: Config, started_at: Millis) -> RetryBudget {
        RetryBudget {
            config,
            started_at,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            denial_reported_at: None,
        }
    }

    /// Replaces the bounds. Retries already taken still count.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Records a request for the service.
    pub fn record_request(&mut self, now: Millis) {
        self.remove_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one retry if this gateway's share of the bound has one left. `gateways` is the number
    /// of gateways that share the slack; none of it is used while that is not known.
    #[must_use]
    pub fn take(&mut self, now: Millis, gateways: Option<usize>) -> bool {
        let allowed = self.has_retry(now, gateways);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    /// Whether this gateway's share of the bound has a retry left; `gateways` as in
    /// [`RetryBudget::take`].
    pub fn has_retry(&mut self, now: Millis, gateways: Option<usize>) -> bool {
        self.remove_expired(now);
        let earned = self.config.ratio * self.requests.len() as f64;
        let slack = gateways.map_or(0.0, |gateways| self.slack_share(now, gateways));
        let max_retries = USABLE_FRACTION * (earned + slack);
        (self.retries.len() as f64) + 1.0 <= max_retries
    }

    /// This gateway's share of the slack, which grows over the first window of the process.
    fn slack_share(&self, now: Millis, gateways: usize) -> f64 {
        let window_ms = self.config.window.0.max(1) as f64;
        let grown = (now.since(self.started_at).0 as f64 / window_ms).min(1.0);
        grown * self.config.slack / gateways.max(1) as f64
    }

    /// What was used in the current window, to be logged after a retry was denied; `None` if a
    /// denied retry was reported lately.
    pub fn denial_to_report(&mut self, now: Millis) -> Option<Usage> {
        let is_recent = |at: Millis| now.since(at) < DENIAL_REPORT_INTERVAL;
        if self.denial_reported_at.is_some_and(is_recent) {
            return None;
        }
        self.denial_reported_at = Some(now);
        Some(Usage { requests: self.requests.len(), retries: self.retries.len() })
    }

    fn remove_expired(&mut self, now: Millis) {
        let window = self.config.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) >= window) {
                times.pop_front();
            }
        }
    }
}
