//! Gateways through which an order goes that no machine of its group should give.
//!
//! While a pass is held, its group stands still until every rank has been reached again. Whoever gave
//! the `hold` may freeze or go dark upon it, and a rank whose own machine stands still is reached by
//! nobody: given through the rank's machine, or through that of another rank, each freeze of 3 to 5 s
//! held its group for as long. A gateway other than the leader carries no rank, so its freeze costs one
//! repetition of the order through the next, 250 ms.

use std::collections::HashMap;
use std::net::IpAddr;

use crate::clock::Millis;

/// Times of relaying.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How long a gateway that gave no answer is passed by. Freezes at the users last 3 to 5 s.
    pub skip_for: Millis,
}

impl Default for Config {
    fn default() -> Self {
        Config { skip_for: Millis(5_000) }
    }
}

/// Which gateway is asked next.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    config: Config,
    /// Gateways that gave no answer, and until when each is passed by.
    skipped: HashMap<IpAddr, Millis>,
    /// The one that was used last: all have their turn, since each relay costs it some processor time.
    last: Option<IpAddr>,
}

impl Relays {
    /// The next of these gateways that is not passed by, in rising order from the one used last; `None`
    /// if there is none.
    pub fn next(&mut self, living: &[IpAddr], now: Millis) -> Option<IpAddr> {
        self.skipped.retain(|_, until| *until > now);
        let mut open: Vec<IpAddr> =
            living.iter().copied().filter(|relay| !self.skipped.contains_key(relay)).collect();
        open.sort_unstable();
        let after_last = open.iter().find(|relay| self.last.is_some_and(|last| **relay > last));
        self.last = after_last.or(open.first()).copied();
        self.last
    }

    /// A gateway gave no answer: it is passed by for a while.
    pub fn mark_unanswered(&mut self, relay: IpAddr, now: Millis) {
        self.skipped.insert(relay, now + self.config.skip_for);
    }
}
