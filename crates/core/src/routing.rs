//! Which backend server gets a request.
//!
//! Servers take turns, as their weights say, and a server that is reported to be much busier than
//! the others loses turns while that report is fresh. Turns spread requests more evenly than any
//! random draw; what reports add is to see a server that is slow, stalled, or busy with others'
//! requests. A report was late when it came, and every gateway sees the same one: so it only takes
//! turns away, and only beyond some requests. Were it to order the servers, all gateways would go
//! around in the same order, which is worse than to ignore it.
//!
//! `hooktrestle-bench routing` measures this against its baselines, and `docs/MEASUREMENTS.md` says
//! which other ways were tried.

use rand::Rng;
use rand::RngExt;

use crate::clock::Millis;

/// How much reports count.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Requests beyond the mean that a server may have without losing turns. Below it reports would
    /// only set the order of turns, and all gateways would go around in the same order.
    pub tolerated_requests: f64,
    /// Turns lost for each request beyond that.
    pub turns_per_request: f64,
    /// Time after which a report counts for a third.
    pub decay_ms: f64,
}

impl Default for Config {
    fn default() -> Self {
        Config { tolerated_requests: 6.0, turns_per_request: 0.3, decay_ms: 3_000.0 }
    }
}

/// A server's load as its sidecar last reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// When it arrived here.
    pub at: Millis,
    /// Requests that wait there.
    pub queued_requests: u32,
    /// Requests that run there.
    pub running_requests: u32,
    /// Whether it has said that it is leaving.
    pub leaving: bool,
}

/// A server as one gateway sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidate {
    /// Its weight; 0 takes it out of use.
    pub weight: u32,
    /// Whether a link to it is open and operators do not drain it.
    pub usable: bool,
    /// Its newest report.
    pub report: Report,
    /// Requests that this gateway has in flight there.
    pub own_requests: u32,
    /// Turns that it has had, each counted over its weight.
    pub turns: f64,
}

impl Candidate {
    /// A request that was sent there has ended.
    pub fn ended(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    fn is_open(&self) -> bool {
        self.usable && !self.report.leaving && self.weight > 0
    }

    /// Requests there, for each unit of weight: as reported, or our own if those are more.
    fn load(&self) -> f64 {
        let reported = self.report.queued_requests + self.report.running_requests;
        f64::from(reported.max(self.own_requests)) / f64::from(self.weight.max(1))
    }
}

/// Chooses a server other than those in `tried`, by index, and counts its turn; `None` if none is
/// usable. `cost` is the request's work over that of a usual one: a large request is several turns.
pub fn choose<R: Rng>(
    config: &Config,
    candidates: &mut [Candidate],
    tried: &[usize],
    cost: f64,
    now: Millis,
    rng: &mut R,
) -> Option<usize> {
    let count = candidates.len();
    let open: Vec<usize> =
        (0..count).filter(|index| candidates[*index].is_open() && !tried.contains(index)).collect();
    if open.is_empty() {
        return None;
    }
    let each = || open.iter().map(|index| &candidates[*index]);
    let mean_load = each().map(Candidate::load).sum::<f64>() / open.len() as f64;
    let weights: f64 = each().map(|candidate| f64::from(candidate.weight)).sum();
    let mean_weight = weights / open.len() as f64;
    let most_turns = each().map(|candidate| candidate.turns).fold(f64::MIN, f64::max);
    // Turns of servers that were always there differ by one turn of the lightest at most; one that
    // was away has no more to catch up on, or it would be flooded.
    let lightest = each().map(|candidate| candidate.weight).min().unwrap_or(1);
    let floor = most_turns - mean_weight / f64::from(lightest);
    let score = |index: usize| {
        let candidate = &candidates[index];
        let fresh = (-(now.since(candidate.report.at).0 as f64) / config.decay_ms).exp();
        let beyond = (candidate.load() - mean_load) * mean_weight - config.tolerated_requests;
        candidate.turns.max(floor) + config.turns_per_request * beyond.max(0.0) * fresh
    };
    // Equals are taken from a random place on, or all gateways would go around in step.
    let start = rng.random_range(0..open.len());
    let around = (0..open.len()).map(|offset| open[(start + offset) % open.len()]);
    let chosen = around.min_by(|a, b| score(*a).total_cmp(&score(*b)))?;
    let candidate = &mut candidates[chosen];
    candidate.turns = candidate.turns.max(floor);
    candidate.turns += cost * mean_weight / f64::from(candidate.weight);
    candidate.own_requests += 1;
    Some(chosen)
}
