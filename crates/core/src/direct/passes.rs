//! Estimator of the pass length of a service's groups.
//! Input: the pass numbers that ranks report. State: each rank's last report and a moving mean.
//! It decides how long a pass is expected to take.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::direct::pool::Server;
use crate::util::arena::Key;

/// Range to which lengths are clamped: a group without work makes no passes, and its pass number
/// does not change.
const LENGTH_RANGE_MS: (f64, f64) = (10.0, 1_000.0);

/// Weight of a new length in the mean: reports come every 120 ms and show one to three passes.
const NEWEST_WEIGHT: f64 = 0.2;

/// The last pass that a rank reported.
#[derive(Clone, Copy, Debug)]
struct LastPass {
    epoch: u64,
    pass: u64,
    at: Millis,
}

/// Mean length of the passes of a service's groups.
#[derive(Clone, Debug, Default)]
pub struct Passes {
    last_passes: BTreeMap<Key<Server>, LastPass>,
    mean_ms: Option<f64>,
}

impl Passes {
    /// Records the last pass that has begun, as a rank reports it, in this epoch of its group.
    pub fn record(&mut self, rank: Key<Server>, epoch: u64, pass: u64, at: Millis) {
        let last = self.last_passes.get(&rank).copied().filter(|last| last.epoch == epoch);
        if let Some(last) = last {
            if pass <= last.pass {
                // The span continues until a new pass has begun.
                return;
            }
            self.count(at.since(last.at), pass - last.pass);
        }
        self.last_passes.insert(rank, LastPass { epoch, pass, at });
    }

    /// Updates the mean with the passes that have begun within a span.
    fn count(&mut self, span: Millis, passes: u64) {
        let (min, max) = LENGTH_RANGE_MS;
        let length = (span.0 as f64 / passes as f64).clamp(min, max);
        let mean = self.mean_ms.get_or_insert(length);
        *mean += NEWEST_WEIGHT * (length - *mean);
    }

    /// Mean length of a pass; `None` before the first passes are recorded.
    pub fn length(&self) -> Option<Millis> {
        self.mean_ms.map(|mean| Millis(mean as u64))
    }
}
