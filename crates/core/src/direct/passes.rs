//! How long the passes of groups take, from the numbers of passes that ranks tell.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::direct::pool::Server;
use crate::util::arena::Key;

/// Lengths that are believed: a group without work makes no passes, and its counter stands still.
const LENGTHS_MS: (f64, f64) = (10.0, 1_000.0);

/// Part of a new length in the mean: readings come each 120 ms and show one to three passes.
const NEWEST: f64 = 0.2;

/// The pass that a rank told last.
#[derive(Clone, Copy, Debug)]
struct Told {
    epoch: u64,
    pass: u64,
    at: Millis,
}

/// Mean length of the passes of a service's groups.
#[derive(Clone, Debug, Default)]
pub struct Passes {
    told: BTreeMap<Key<Server>, Told>,
    mean_ms: Option<f64>,
}

impl Passes {
    /// A rank told the last pass that has begun, in this life of its group.
    pub fn record(&mut self, rank: Key<Server>, epoch: u64, pass: u64, at: Millis) {
        let last = self.told.get(&rank).copied().filter(|last| last.epoch == epoch);
        if let Some(last) = last {
            if pass <= last.pass {
                // The span goes on until a pass is seen to have begun.
                return;
            }
            self.count(at.since(last.at), pass - last.pass);
        }
        self.told.insert(rank, Told { epoch, pass, at });
    }

    /// So many passes have begun within a span.
    fn count(&mut self, span: Millis, passes: u64) {
        let (least, most) = LENGTHS_MS;
        let length = (span.0 as f64 / passes as f64).clamp(least, most);
        let mean = self.mean_ms.get_or_insert(length);
        *mean += NEWEST * (length - *mean);
    }

    /// How long a pass takes, as far as that is known.
    pub fn length(&self) -> Option<Millis> {
        self.mean_ms.map(|mean| Millis(mean as u64))
    }
}
