//! Generator of demand for the experts of one layer. Input: a seed and the size of the layer.
//! State: the popularity of each expert. Draws the tokens of each expert in each tick.
//!
//! Popularity follows a power law. Every half hour the set of popular experts changes within
//! minutes. At random times a theme makes a few experts more popular at once for some minutes.
//! Counts are drawn around the popularity, arrive one tick late, and some are missing.

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::Poisson;

/// Length of a tick in seconds.
pub const TICK_S: u64 = 10;

/// Ticks between two turnovers of the set of popular experts.
const TURNOVER_TICKS: u64 = 30 * 60 / TICK_S;

/// Length of a turnover in ticks.
const RAMP_TICKS: u64 = 3 * 60 / TICK_S;

/// Length of a theme in ticks.
const THEME_TICKS: u64 = 8 * 60 / TICK_S;

/// Mean number of ticks from the end of one theme to the start of the next.
const MEAN_THEME_INTERVAL_TICKS: f64 = 120.0;

/// Factor by which a theme increases the popularity of its experts.
const THEME_FACTOR: f64 = 4.0;

/// Fraction of counts that never arrive.
const MISSING_FRACTION: f64 = 0.05;

/// Parameters of the demand.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Experts of the layer.
    pub experts: usize,
    /// Exponent of the power law.
    pub zipf: f64,
    /// Tokens in one tick, times the experts that each token uses.
    pub tokens_per_tick: f64,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Demand and counts of one tick.
#[derive(Clone, Debug)]
pub struct Tick {
    /// Actual tokens of each expert.
    pub tokens: Vec<f64>,
    /// Counts of the tick before; `None` if they never arrive.
    pub late_counts: Option<Vec<f64>>,
}

/// Demand over time.
#[derive(Debug)]
pub struct Demand {
    config: Config,
    rng: ChaCha8Rng,
    tick: u64,
    from: Vec<f64>,
    to: Vec<f64>,
    theme: Vec<usize>,
    theme_ends: u64,
    last: Option<Vec<f64>>,
}

impl Demand {
    /// Demand at its first tick.
    pub fn new(config: Config) -> Demand {
        let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
        let from = power_law(&config, &mut rng);
        Demand {
            to: from.clone(),
            from,
            config,
            rng,
            tick: 0,
            theme: Vec::new(),
            theme_ends: 0,
            last: None,
        }
    }

    /// The next tick.
    pub fn next_tick(&mut self) -> Tick {
        if self.tick > 0 && self.tick.is_multiple_of(TURNOVER_TICKS) {
            self.from = std::mem::take(&mut self.to);
            self.to = power_law(&self.config, &mut self.rng);
        }
        self.move_theme();
        let shares = self.shares();
        let tokens: Vec<f64> = shares
            .iter()
            .map(|share| {
                let mean = (share * self.config.tokens_per_tick).max(1e-9);
                Poisson::new(mean).map_or(0.0, |poisson| poisson.sample(&mut self.rng))
            })
            .collect();
        let is_missing = self.rng.random_bool(MISSING_FRACTION);
        let late_counts = self.last.replace(tokens.clone()).filter(|_| !is_missing);
        self.tick += 1;
        Tick { tokens, late_counts }
    }

    fn shares(&self) -> Vec<f64> {
        let since = (self.tick % TURNOVER_TICKS) as f64;
        let first = self.tick < TURNOVER_TICKS;
        let done = if first { 1.0 } else { (since / RAMP_TICKS as f64).min(1.0) };
        let mixed = self.from.iter().zip(&self.to).map(|(from, to)| from + (to - from) * done);
        let mut shares: Vec<f64> = mixed.collect();
        for expert in &self.theme {
            shares[*expert] *= THEME_FACTOR;
        }
        let sum: f64 = shares.iter().sum();
        shares.iter_mut().for_each(|share| *share /= sum);
        shares
    }

    fn move_theme(&mut self) {
        if self.tick >= self.theme_ends {
            self.theme.clear();
        }
        if self.theme.is_empty() && self.rng.random_bool(1.0 / MEAN_THEME_INTERVAL_TICKS) {
            let some = self.config.experts / 32;
            let mut all: Vec<usize> = (0..self.config.experts).collect();
            all.shuffle(&mut self.rng);
            self.theme = all[..some.max(1)].to_vec();
            self.theme_ends = self.tick + THEME_TICKS;
        }
    }
}

fn power_law(config: &Config, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut shares: Vec<f64> =
        (1..=config.experts).map(|rank| (rank as f64).powf(-config.zipf)).collect();
    let sum: f64 = shares.iter().sum();
    shares.iter_mut().for_each(|share| *share /= sum);
    shares.shuffle(rng);
    shares
}
