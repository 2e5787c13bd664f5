//! Repeats that one gateway may cause at a service, over a sliding window.
//!
//! The operators bound the repeats of all gateways together: a share of the requests, and some
//! more. Each gateway takes its part of both, by how many there are. Chosen over asking each other:
//! the bound must hold in every window, also while gateways die, start and cannot talk. Half of the
//! bound is kept back, since a process that starts anew knows nothing of what the one before spent.

use std::collections::VecDeque;

use crate::clock::Millis;

/// The bound for all gateways together.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Repeats for each request, in any window.
    pub ratio: f64,
    /// Repeats beyond that, in any window.
    pub slack: f64,
    /// Length of a window.
    pub window: Millis,
}

/// The part of the bound that is spent. The rest is for processes that are replaced: see the module.
const PART_SPENT: f64 = 0.5;

/// Requests and repeats of one service at one gateway.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: Config,
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl RetryBudget {
    /// An unspent budget.
    pub fn new(config: Config) -> RetryBudget {
        RetryBudget { config, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Other bounds, from now on. What was spent counts on.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// A request for the service came.
    pub fn record_request(&mut self, now: Millis) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat if this gateway's part of the bound has one left.
    #[must_use]
    pub fn take(&mut self, now: Millis, gateways: usize) -> bool {
        let covered = self.has_retry(now, gateways);
        if covered {
            self.repeats.push_back(now);
        }
        covered
    }

    /// Whether this gateway's part of the bound has a repeat left.
    pub fn has_retry(&mut self, now: Millis, gateways: usize) -> bool {
        self.expire(now);
        let slack = self.config.slack / gateways.max(1) as f64;
        let most = PART_SPENT * (self.config.ratio * self.requests.len() as f64 + slack);
        (self.repeats.len() as f64) + 1.0 <= most
    }

    fn expire(&mut self, now: Millis) {
        let window = self.config.window;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.since(*at) >= window) {
                times.pop_front();
            }
        }
    }
}
