//! Choice of the gateway that relays an order which no machine of its group is to send.
//! Input are the gateways that are alive and those that did not answer; it keeps the last choice.
//! This module decides which gateway relays the next order.
//!
//! While a pass is held, its group stalls until every rank was reached again. The sender of the
//! `hold` order may freeze just then, and a rank whose own machine is frozen cannot be reached. If
//! orders are relayed through the rank's machine, or through that of another rank, each freeze of 3
//! to 5 s stalls the group for as long. A gateway other than the leader carries no rank, so its
//! freeze costs one retry of the order through the next gateway, 250 ms.

use std::collections::HashMap;
use std::net::IpAddr;

use crate::clock::Millis;

/// Time-outs of relaying.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time for which a gateway that did not answer is skipped. In the users' deployments freezes
    /// last 3 to 5 s.
    pub skip_for: Millis,
}

impl Default for Config {
    fn default() -> Self {
        Config { skip_for: Millis(5_000) }
    }
}

/// Round-robin choice of the next relay.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    config: Config,
    /// Gateways that did not answer, and until when each is skipped.
    skipped: HashMap<IpAddr, Millis>,
    /// The relay that was used last. All are used in turn, since each relay costs processor time.
    last: Option<IpAddr>,
}

impl Relays {
    /// The next of these gateways that is not skipped, in rising order from the one used last;
    /// `None` if there is none.
    pub fn next(&mut self, alive: &[IpAddr], now: Millis) -> Option<IpAddr> {
        self.skipped.retain(|_, until| *until > now);
        let mut open: Vec<IpAddr> =
            alive.iter().copied().filter(|relay| !self.skipped.contains_key(relay)).collect();
        open.sort_unstable();
        let after_last = open.iter().find(|relay| self.last.is_some_and(|last| **relay > last));
        self.last = after_last.or(open.first()).copied();
        self.last
    }

    /// Records that a gateway did not answer: it is skipped for [`Config::skip_for`].
    pub fn mark_unanswered(&mut self, relay: IpAddr, now: Millis) {
        self.skipped.insert(relay, now + self.config.skip_for);
    }
}
