//! Estimator of expert demand: how often requests choose each expert of a group's model.
//! Input: the ranks' counts, which are read several times a second. State: two decaying averages.
//! It decides the expected share of each expert, from which a new expert layout is planned.

use std::collections::BTreeMap;

use crate::direct::pool::Server;
use crate::direct::serving::ExpertShape;
use crate::util::arena::Key;

/// Time after which a count has half its weight. A shift of demand has to show
/// within a few reads, and a read has to hold enough requests to tell it from chance.
const HALF_LIFE_MS: f64 = 150.0;

/// Half-life of the slow average relative to that of the fast one.
const SLOW_HALF_LIFE_FACTOR: f64 = 2.0;

/// How far demand is extrapolated beyond the fast average, in differences of the two averages.
const EXTRAPOLATION: f64 = 1.0;

/// Minimum number of choices for an estimate, per expert of the set.
const MIN_COUNTS_PER_EXPERT: f64 = 4.0;

/// How often experts were chosen recently, in two averages. Where the fast average differs from the
/// slow one, demand is changing, and the estimate is extrapolated beyond the counts.
pub struct Demand {
    experts: usize,
    fast: Vec<f64>,
    slow: Vec<f64>,
    /// The last reported epoch and counts of each rank.
    last: BTreeMap<Key<Server>, (u64, Vec<u64>)>,
    /// When the averages were last decayed.
    decayed_ms: f64,
    /// Whether any rank's newest counts showed work.
    pub busy: bool,
}

impl Demand {
    /// An estimator without counts, for groups with this shape.
    pub fn new(shape: &ExpertShape) -> Demand {
        let sums = vec![0.0; shape.sets * shape.experts];
        Demand {
            experts: shape.experts,
            fast: sums.clone(),
            slow: sums,
            last: BTreeMap::new(),
            decayed_ms: 0.0,
            busy: true,
        }
    }

    /// Reduces the weight of earlier counts; `now_ms` is in milliseconds of one clock.
    pub fn decay(&mut self, now_ms: f64) {
        let span = now_ms - self.decayed_ms;
        self.decayed_ms = now_ms;
        for (sums, half_life) in
            [(&mut self.fast, HALF_LIFE_MS), (&mut self.slow, SLOW_HALF_LIFE_FACTOR * HALF_LIFE_MS)]
        {
            let remaining = 0.5f64.powf(span / half_life);
            sums.iter_mut().for_each(|sum| *sum *= remaining);
        }
    }

    /// Records a rank's counts; a group that was restarted counts from zero.
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

    /// The newest epoch of a group that its ranks have reported with their counts.
    pub fn epoch_of(&self, ranks: &[Key<Server>]) -> Option<u64> {
        ranks.iter().filter_map(|key| self.last.get(key)).map(|(epoch, _)| *epoch).max()
    }

    /// The expected share of each expert in a set; `None` while there are too few counts.
    pub fn shares_of_set(&self, set: usize) -> Option<Vec<f64>> {
        let range = set * self.experts..(set + 1) * self.experts;
        let (fast, slow) = (self.fast.get(range.clone())?, self.slow.get(range)?);
        let (all_fast, all_slow) = (fast.iter().sum::<f64>(), slow.iter().sum::<f64>());
        if all_fast < MIN_COUNTS_PER_EXPERT * self.experts as f64 {
            return None;
        }
        let shares = fast.iter().zip(slow).map(|(fast, slow)| {
            let (fast, slow) = (fast / all_fast, slow / all_slow);
            (fast + EXTRAPOLATION * (fast - slow)).max(0.0)
        });
        Some(shares.collect())
    }
}
