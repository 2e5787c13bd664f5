//! Retries at one service, in every window.
//! Input: when requests were sent, and when they arrived at servers. State: none.
//! Decides in which window retries came nearest to their bound, and how near.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

/// A bound on retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBound {
    /// Fraction of the requests that may be retried.
    pub ratio: f64,
    /// Retries allowed in addition.
    pub slack: u32,
    /// Length of the window that both apply to.
    pub window: Duration,
}

impl Default for RetryBound {
    fn default() -> Self {
        RetryBound { ratio: 0.2, slack: 20, window: Duration::from_secs(10) }
    }
}

/// The window in which retries came nearest to their bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPeak {
    /// Retries in the window.
    pub retries: usize,
    /// Retries that the bound allows there.
    pub allowed: f64,
}

impl RetryPeak {
    /// The retries as a fraction of those allowed.
    pub fn share(&self) -> f64 {
        if self.retries == 0 { 0.0 } else { self.retries as f64 / self.allowed }
    }
}

/// The window in which the arrivals beyond the first of each request came nearest to the bound.
pub fn peak(
    mut sent: Vec<Instant>,
    mut arrivals: Vec<(Instant, String)>,
    bound: RetryBound,
) -> RetryPeak {
    let RetryBound { ratio, slack, window } = bound;
    sent.sort();
    arrivals.sort();
    let mut seen = HashSet::new();
    let retried: Vec<Instant> =
        arrivals.into_iter().filter_map(|(at, id)| (!seen.insert(id)).then_some(at)).collect();
    let within = |times: &[Instant], from: Instant, to: Instant| {
        times.partition_point(|at| *at <= to) - times.partition_point(|at| *at <= from)
    };
    let mut peak = RetryPeak::default();
    for end in &retried {
        let Some(from) = end.checked_sub(window) else { continue };
        let before = from.checked_sub(window).unwrap_or(from);
        let requests = within(&sent, from, *end).max(within(&sent, before, from));
        let retries = within(&retried, from, *end);
        let found = RetryPeak { retries, allowed: ratio * requests as f64 + f64::from(slack) };
        if found.share() > peak.share() {
            peak = found;
        }
    }
    peak
}
