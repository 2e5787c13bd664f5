//! The retry budget of a gateway with sidecars, so that failures don't multiply load.
//! Input: first attempts and retries. State: the number of retries saved.
//! Decides whether a retry is allowed.
//!
//! Each first attempt earns a fraction of a retry. A fixed number of retries per request would
//! multiply the load when every request fails and capacity is lowest. The budget limits the
//! additional load to [`Config::percent`], independent of the number of failures. The budget of
//! [`direct::budget`](crate::direct::budget) is for gateways that send to servers directly.

/// Limits of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Retries earned by 100 first attempts.
    pub percent: u32,
    /// Maximum number of saved retries, so that a gateway with few requests can still retry.
    pub max_saved: u32,
}

impl Default for Config {
    fn default() -> Self {
        Config { percent: 10, max_saved: 20 }
    }
}

/// Retries that may still be made.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    config: Config,
    /// Hundredths of a retry.
    saved: u32,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(config: Config) -> RetryBudget {
        RetryBudget { config, saved: config.max_saved * 100 }
    }

    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.config.percent).min(self.config.max_saved * 100);
    }

    /// Takes one retry, if there is one.
    #[must_use]
    pub fn take(&mut self) -> bool {
        let covered = self.saved >= 100;
        if covered {
            self.saved -= 100;
        }
        covered
    }
}
