//! Eras of the platform's store, as the store and other gateways report them.
//! The latest era and the time of its beginning are kept.
//! This module decides whether an era is new, and when this gateway writes its rows again.
//!
//! A new era begins when the store is restored from an older copy. The store has then lost what was
//! written since that copy.

use std::time::Duration;

use hooktrestle_core::clock::Millis;
use rand::RngExt;
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::platform::Platform;

/// Mean interval between two gateways that write lost rows again. The store accepts 300 writes per
/// second to one part of a table.
const WRITE_INTERVAL: Millis = Millis(10);

impl<P: Platform> Gateway<P> {
    /// Latest era of the store that is known.
    pub fn era(&self) -> Option<u64> {
        *self.eras.borrow()
    }

    /// Whether a new era began less than `span` ago: claims that the store held may be missing.
    pub fn era_began_within(&self, span: Millis) -> bool {
        let now = self.now();
        self.era_began_at.get().is_some_and(|at| now.since(at) < span)
    }

    /// A receiver that is notified of each new era, including the first one that this process
    /// learns of.
    pub fn watch_eras(&self) -> watch::Receiver<Option<u64>> {
        self.eras.subscribe()
    }

    /// Random delay within a span that is proportional to the number of gateways. Simultaneous
    /// writes of all gateways would exceed the write rate that the store accepts.
    pub fn write_delay(&self) -> Duration {
        let all = self.with_members(|members| members.known().count());
        Duration::from(Millis(WRITE_INTERVAL.0 * all as u64)).mul_f64(rand::rng().random())
    }

    /// Records an era that the store or another gateway reported.
    pub fn record_era(&self, era: u64) {
        let known = self.era();
        if known.is_some_and(|known| known >= era) {
            return;
        }
        if known.is_some() {
            self.metrics.store_eras.inc();
            self.event_log
                .state(format_args!("the store was restored from an older copy: era {era}"));
            let now = self.now();
            self.era_began_at.set(Some(now));
            self.with_members(|members| members.begin_era(now));
        }
        self.eras.send_replace(Some(era));
    }
}
