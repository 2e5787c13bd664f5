//! How popular each expert of a layer is, from counts that are late, noisy and have gaps.
//!
//! Each expert's share of the tokens is averaged over as long as it stays the same, up to a limit,
//! and the average starts over when a count is too far off to be noise. So a steady expert's
//! estimate is nearly free of noise, and a sudden theme is seen with the first counts that show it.
//! An average of one fixed length would have to give up one for the other. A drift too slow to be
//! seen as a change is followed by the limit on the length.

/// Bounds of an estimate.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Longest average, in counts.
    pub max_counts: f64,
    /// Deviation from the average, in standard deviations, that one count has to show.
    pub jump_sigmas: f64,
    /// Deviation that two counts in a row have to show, in the same direction.
    pub drift_sigmas: f64,
    /// Change from one count to the next, in standard deviations, below which a change is over.
    pub settled_sigmas: f64,
    /// How far ahead of its counts a change is followed: they come late.
    pub lookahead_counts: f64,
    /// Relative noise of counts beyond that of independent tokens.
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
    /// The estimate, ahead of the counts while it moves.
    share: f64,
    level: f64,
    /// Change of the level from count to count, while it moves.
    slope: f64,
    moving: bool,
    /// Counts in the level's average.
    counts: f64,
    /// Counts since the share last changed.
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
    /// An estimate that takes all experts for equal until it has seen counts.
    pub fn new(config: Config, experts: usize) -> Popularity {
        let even = 1.0 / experts.max(1) as f64;
        Popularity {
            config,
            experts: vec![Expert::default(); experts],
            shares: vec![even; experts],
        }
    }

    /// Each expert's share of the tokens; they add up to 1.
    pub fn shares(&self) -> &[f64] {
        &self.shares
    }

    /// For how many counts the shares have been the same, weighed by share. What has lasted for some
    /// time can be expected to last for about as long again.
    pub fn stable_counts(&self) -> f64 {
        let weighed = self.experts.iter().zip(&self.shares);
        weighed.map(|(expert, share)| expert.age * share).sum()
    }

    /// Takes the tokens that each expert had in one interval. An interval that is missing is
    /// simply not given; one without tokens says nothing.
    ///
    /// # Panics
    ///
    /// If the number of experts is another.
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

    /// The share has been the same so far.
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

    /// The share was changing: follows it, ahead of the counts, until two of them agree.
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

/// Variance of one count, as a share: that of independent tokens, and what comes on top of it.
fn variance(config: &Config, share: f64, total: f64) -> f64 {
    let tokens = share * total;
    (tokens.max(1.0) + (config.extra_relative_noise * tokens).powi(2)) / (total * total)
}
