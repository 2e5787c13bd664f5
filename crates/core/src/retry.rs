//! A budget for retries, so that failures do not multiply load.
//!
//! Each first attempt earns a fraction of a retry. Chosen over a fixed number of retries a request:
//! when everything fails, that multiplies the load just when there is least room for it; the
//! budget caps the extra load at [`Config::percent`], whatever the failures.

/// Limits of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Retries earned by a hundred first attempts.
    pub percent: u32,
    /// Most retries saved up, so that a quiet gateway can still retry.
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

    /// A first attempt has been made.
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
