//! How often experts are chosen, estimated from counts that are read now and then.

use std::collections::BTreeMap;

use crate::direct::pool::Server;
use crate::direct::serving::ExpertShape;
use crate::util::arena::Key;

/// Time after which a reading counts for half. Shifts are seen sooner than with 250 ms: 0.739 of worth
/// in place of 0.717 where 90 requests a second are counted, 0.640 in place of 0.630 with 56.
const HALF_LIFE_MS: f64 = 150.0;

/// Half-life of the slow average over that of the fast one.
const SLOWER: f64 = 2.0;

/// How far ahead of the counts demand is followed, in differences of the two averages.
const AHEAD: f64 = 1.0;

/// Chosen experts on which an estimate has to rest, for each expert.
const LEAST_COUNTS_EACH: f64 = 4.0;

/// How often experts were chosen lately, in two averages: where the fast one is ahead of the slow
/// one, demand is changing, and is followed ahead of what was counted.
pub struct Demand {
    experts: usize,
    fast: Vec<f64>,
    slow: Vec<f64>,
    /// Life of its group and counts, as each rank told them last.
    last: BTreeMap<Key<Server>, (u64, Vec<u64>)>,
    /// When the averages were faded last.
    faded_ms: f64,
    /// Whether the newest reading showed work.
    pub busy: bool,
}

impl Demand {
    /// Nothing was counted yet of groups with this shape.
    pub fn new(shape: &ExpertShape) -> Demand {
        let sums = vec![0.0; shape.sets * shape.experts];
        Demand {
            experts: shape.experts,
            fast: sums.clone(),
            slow: sums,
            last: BTreeMap::new(),
            faded_ms: 0.0,
            busy: true,
        }
    }

    /// Lets what was counted until now, in milliseconds of one clock, count for less.
    pub fn decay(&mut self, now_ms: f64) {
        let span = now_ms - self.faded_ms;
        self.faded_ms = now_ms;
        for (sums, half_life) in
            [(&mut self.fast, HALF_LIFE_MS), (&mut self.slow, SLOWER * HALF_LIFE_MS)]
        {
            let kept = 0.5f64.powf(span / half_life);
            sums.iter_mut().for_each(|sum| *sum *= kept);
        }
    }

    /// Takes a rank's counts; a group that was born anew counts from zero.
    pub fn record(&mut self, key: Key<Server>, epoch: u64, counts: Vec<u64>) {
        if counts.len() != self.fast.len() {
            return;
        }
        if let Some((known_epoch, known)) = self.last.get(&key)
            && *known_epoch == epoch
        {
            self.busy |= counts != *known;
            for (index, (new, old)) in counts.iter().zip(known).enumerate() {
                let chosen = new.saturating_sub(*old) as f64;
                self.fast[index] += chosen;
                self.slow[index] += chosen;
            }
        }
        self.last.insert(key, (epoch, counts));
    }

    /// The newest life of a group that its ranks told with their counts.
    pub fn epoch_of(&self, ranks: &[Key<Server>]) -> Option<u64> {
        ranks.iter().filter_map(|key| self.last.get(key)).map(|(epoch, _)| *epoch).max()
    }

    /// Each expert's share of a set as it is expected to be; `None` while there are too few counts.
    pub fn shares_of_set(&self, set: usize) -> Option<Vec<f64>> {
        let places = set * self.experts..(set + 1) * self.experts;
        let (fast, slow) = (self.fast.get(places.clone())?, self.slow.get(places)?);
        let (all_fast, all_slow) = (fast.iter().sum::<f64>(), slow.iter().sum::<f64>());
        if all_fast < LEAST_COUNTS_EACH * self.experts as f64 {
            return None;
        }
        let shares = fast.iter().zip(slow).map(|(fast, slow)| {
            let (fast, slow) = (fast / all_fast, slow / all_slow);
            (fast + AHEAD * (fast - slow)).max(0.0)
        });
        Some(shares.collect())
    }
}
