//! Weighted round-robin over backend servers, corrected by load reports.
//! Input: the candidates with their weights and load reports. State: the turns of each candidate.
//! Decides which backend server gets a request.
//!
//! Each server gets turns in proportion to its weight. A server that is reported to be much busier
//! than the others loses turns while the report is fresh. Turns distribute requests more evenly
//! than random selection. Reports add the detection of servers that are slow, stalled, or busy with
//! requests of other gateways. A report is delayed, and all gateways receive the same one, so it
//! only takes turns away, and only above a number of requests. If reports ordered the servers, all
//! gateways would send to them in the same order, which is worse than ignoring the reports.
//!
//! `hooktrestle-bench routing` compares this with its baselines, and `docs/MEASUREMENTS.md` lists
//! the alternatives that were tested.

use rand::Rng;
use rand::RngExt;

use crate::clock::Millis;

/// Weight of load reports.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Requests above the mean that a server may have without losing turns. With a lower value,
    /// reports would set the order of turns, and all gateways would send in the same order.
    pub tolerated_requests: f64,
    /// Turns lost for each further request.
    pub turns_per_request: f64,
    /// Time constant of the weight of a report: a report of this age weighs about a third.
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
    /// When this process received it.
    pub at: Millis,
    /// Requests queued at the server.
    pub queued_requests: u32,
    /// Requests running at the server.
    pub running_requests: u32,
    /// Whether the server reported that it is leaving.
    pub leaving: bool,
}

/// A server as one gateway observes it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidate {
    /// Its weight; a server of weight 0 is not used.
    pub weight: u32,
    /// Whether a link to it is open and operators don't drain it.
    pub usable: bool,
    /// Its latest load report.
    pub report: Report,
    /// Requests that this gateway has in flight at the server.
    pub own_requests: u32,
    /// Turns that it has had, each divided by its weight.
    pub turns: f64,
}

impl Candidate {
    /// Records the end of a request that was sent to the server.
    pub fn ended(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    fn is_open(&self) -> bool {
        self.usable && !self.report.leaving && self.weight > 0
    }

    /// Requests per unit of weight: the reported ones, or this gateway's own if those are more.
    fn load(&self) -> f64 {
        let reported = self.report.queued_requests + self.report.running_requests;
        f64::from(reported.max(self.own_requests)) / f64::from(self.weight.max(1))
    }
}

/// Chooses a server other than those in `tried`, by index, and counts its turn; `None` if none is
/// usable. `cost` is the request's work relative to a usual one: a large request takes several
/// turns.
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
    let open_candidates = || open.iter().map(|index| &candidates[*index]);
    let mean_load = open_candidates().map(Candidate::load).sum::<f64>() / open.len() as f64;
    let weights: f64 = open_candidates().map(|candidate| f64::from(candidate.weight)).sum();
    let mean_weight = weights / open.len() as f64;
    let max_turns = open_candidates().map(|candidate| candidate.turns).fold(f64::MIN, f64::max);
    // The turns of servers that were always available differ by at most one turn of the server with
    // the least weight. The same bound applies to a server that was unavailable, since it would be
    // flooded with requests if it had to catch up on all turns.
    let min_weight = open_candidates().map(|candidate| candidate.weight).min().unwrap_or(1);
    let floor = max_turns - mean_weight / f64::from(min_weight);
    let score = |index: usize| {
        let candidate = &candidates[index];
        let freshness = (-(now.since(candidate.report.at).0 as f64) / config.decay_ms).exp();
        let excess = (candidate.load() - mean_load) * mean_weight - config.tolerated_requests;
        candidate.turns.max(floor) + config.turns_per_request * excess.max(0.0) * freshness
    };
    // The search starts at a random server, so that ties don't make all gateways choose the same
    // one.
    let start = rng.random_range(0..open.len());
    let around = (0..open.len()).map(|offset| open[(start + offset) % open.len()]);
    let chosen = around.min_by(|a, b| score(*a).total_cmp(&score(*b)))?;
    let candidate = &mut candidates[chosen];
    candidate.turns = candidate.turns.max(floor);
    candidate.turns += cost * mean_weight / f64::from(candidate.weight);
    candidate.own_requests += 1;
    Some(chosen)
}
