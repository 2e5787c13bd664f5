//! Estimator of the popularity of each expert of a layer.
//! Input: token counts of each expert per interval, which are delayed, noisy and may be missing.
//! State: a moving average and its length for each expert. Decides when a share has changed.
//!
//! The share of each expert is averaged over the time for which it stays the same, up to a limit.
//! The average restarts when a count deviates too far to be noise. So the estimate of a stable
//! expert has hardly any noise, and a sudden change of popularity is detected with the first counts
//! that show it. An average of fixed length would be worse in one of these respects. The limit of
//! the length makes the average follow a drift that is too slow to be detected as a change.

/// Parameters of an estimate.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Maximum length of the average, in counts.
    pub max_counts: f64,
    /// Deviation of one count from the average, in standard deviations, above which it is a change.
    pub jump_sigmas: f64,
    /// Deviation of two successive counts in the same direction, in standard deviations, above
    /// which they are a change.
    pub drift_sigmas: f64,
    /// Difference of two successive counts, in standard deviations, below which a change has ended.
    pub settled_sigmas: f64,
    /// Number of counts by which a change is extrapolated, because counts are delayed.
    pub lookahead_counts: f64,
    /// Relative noise of counts in addition to that of independent tokens.
    pub extra_relative_noise: f64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            max_counts: 40.0,
            jump_sigmas: 4.0,
            drift_sigmas: 2.0,
            settled_sigmas: 1.5,
            lookahead_counts: 1.0,
            extra_relative_noise: 0.02,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Expert {
    /// The estimate, extrapolated while the share changes.
    share: f64,
    level: f64,
    /// Change of the level per count while the share changes.
    slope: f64,
    moving: bool,
    /// Number of counts in the average of the level.
    counts: f64,
    /// Number of counts since the share last changed.
    age: f64,
    last_share: f64,
    last_sigmas: f64,
}

/// The estimate for one layer.
#[derive(Clone, Debug)]
pub struct Popularity {
    config: Config,
    experts: Vec<Expert>,
    shares: Vec<f64>,
}

impl Popularity {
    /// An estimate with equal shares of all experts until it has received counts.
    pub fn new(config: Config, experts: usize) -> Popularity {
        let even = 1.0 / experts.max(1) as f64;
        Popularity {
            config,
            experts: vec![Expert::default(); experts],
            shares: vec![even; experts],
        }
    }

    /// Share of each expert in the tokens; the sum is 1.
    pub fn shares(&self) -> &[f64] {
        &self.shares
    }

    /// Number of counts for which the shares have been stable, averaged with the shares as weights.
    /// A share that was stable for some time is expected to remain so for about as long.
    pub fn stable_counts(&self) -> f64 {
        let weighed = self.experts.iter().zip(&self.shares);
        weighed.map(|(expert, share)| expert.age * share).sum()
    }

    /// Adds the token counts of each expert in one interval. For an interval without counts, the
    /// caller makes no call; an interval without tokens is ignored.
    ///
    /// # Panics
    ///
    /// If the number of counts differs from the number of experts.
    pub fn observe(&mut self, tokens: &[f64]) {
        assert_eq!(tokens.len(), self.experts.len(), "one count for each expert");
        let total: f64 = tokens.iter().sum();
        if total <= 0.0 {
            return;
        }
        for (expert, tokens) in self.experts.iter_mut().zip(tokens) {
            expert.observe(&self.config, tokens / total, total);
        }
        let sum: f64 = self.experts.iter().map(|expert| expert.share).sum();
        for (share, expert) in self.shares.iter_mut().zip(&self.experts) {
            *share = expert.share / sum;
        }
    }
}

impl Expert {
    fn observe(&mut self, config: &Config, share: f64, total: f64) {
        self.age += 1.0;
        if self.counts == 0.0 {
            self.restart_average(share, 1.0);
        } else if self.moving {
            self.follow(config, share, total);
        } else {
            self.average(config, share, total);
        }
        self.last_share = share;
        self.share = (self.level + config.lookahead_counts * self.slope).max(0.0);
    }

    /// Adds a count to the average of a stable share, or detects a change.
    fn average(&mut self, config: &Config, share: f64, total: f64) {
        let variance = variance(config, self.level.max(share / 4.0), total);
        let both = variance * (1.0 + 1.0 / self.counts);
        let sigmas = (share - self.level) / both.sqrt();
        let jumped = sigmas.abs() > config.jump_sigmas;
        let drifted = sigmas.abs() > config.drift_sigmas
            && self.last_sigmas.abs() > config.drift_sigmas
            && sigmas.signum() == self.last_sigmas.signum();
        if jumped || drifted {
            self.restart_average(share, 1.0);
            self.moving = true;
        } else {
            self.counts = (self.counts + 1.0).min(config.max_counts);
            self.level += (share - self.level) / self.counts;
            self.last_sigmas = sigmas;
        }
    }

    /// Follows a changing share with extrapolation until two successive counts agree.
    fn follow(&mut self, config: &Config, share: f64, total: f64) {
        let step = share - self.last_share;
        let noise = (2.0 * variance(config, share.max(self.last_share), total)).sqrt();
        if step.abs() < config.settled_sigmas * noise {
            self.restart_average((share + self.last_share) / 2.0, 2.0);
            return;
        }
        self.level = share;
        self.slope = if self.slope == 0.0 { step } else { (self.slope + step) / 2.0 };
        self.age = 1.0;
    }

    fn restart_average(&mut self, level: f64, counts: f64) {
        *self = Expert { level, counts, age: counts, ..Expert::default() };
    }
}

/// Variance of the share in one count: that of independent tokens plus the additional noise.
fn variance(config: &Config, share: f64, total: f64) -> f64 {
    let tokens = share * total;
    (tokens.max(1.0) + (config.extra_relative_noise * tokens).powi(2)) / (total * total)
}
