//! Which backend server gets a request.
//!
//! Two servers are drawn by weight and the less loaded of the two is taken. Load is what this
//! gateway has in flight there plus what the server last reported beyond that, in tokens, over the
//! server's weight. Two draws, not the best of all: many gateways that see the same late report
//! would all run to the same server.

use rand::Rng;
use rand::RngExt;

use crate::clock::Millis;

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
    /// What this gateway had in flight there then.
    pub own_requests: u32,
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
}

impl Candidate {
    /// Estimated requests at the server, for each unit of weight.
    pub fn load(&self) -> f64 {
        let reported = self.report.queued_requests + self.report.running_requests;
        let others = reported.saturating_sub(self.report.own_requests);
        f64::from(others + self.own_requests) / f64::from(self.weight.max(1))
    }

    fn draw_weight(&self, tried: bool) -> u64 {
        let open = self.usable && !self.report.leaving && !tried;
        if open { u64::from(self.weight) } else { 0 }
    }
}

/// Chooses a server other than those in `tried`, by index; `None` if none is usable.
pub fn choose<R: Rng>(candidates: &[Candidate], tried: &[usize], rng: &mut R) -> Option<usize> {
    let first = draw(candidates, tried, rng)?;
    let second = draw(candidates, tried, rng)?;
    let better = candidates[second].load() < candidates[first].load();
    Some(if better { second } else { first })
}

fn draw<R: Rng>(candidates: &[Candidate], tried: &[usize], rng: &mut R) -> Option<usize> {
    let weight = |index: usize| candidates[index].draw_weight(tried.contains(&index));
    let total: u64 = (0..candidates.len()).map(weight).sum();
    if total == 0 {
        return None;
    }
    let mut point = rng.random_range(0..total);
    for index in 0..candidates.len() {
        let weight = weight(index);
        if point < weight {
            return Some(index);
        }
        point -= weight;
    }
    None
}
