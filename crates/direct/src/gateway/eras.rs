//! Eras of the platform's store: it came back from an older copy of itself, and has lost what was written since.

use std::time::Duration;

use hooktrestle_core::clock::Millis;
use rand::RngExt;
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::platform::Platform;

/// Time from one gateway to the next as they write again what the store has lost: it takes 300 writes a second
/// to one part of a table.
const WRITE_EACH: Millis = Millis(10);

impl<P: Platform> Gateway<P> {
    /// The store's era, as far as it was told.
    pub fn era(&self) -> Option<u64> {
        *self.eras.borrow()
    }

    /// Whether the store came back from an older copy less than `span` ago: claims that stood there may be missing.
    pub fn era_began_within(&self, span: Millis) -> bool {
        let now = self.now();
        self.era_began_at.get().is_some_and(|at| now.since(at) < span)
    }

    /// Tells whoever waits for it that an era begins; the first that is told to a process, too.
    pub fn watch_eras(&self) -> watch::Receiver<Option<u64>> {
        self.eras.subscribe()
    }

    /// A moment within a span that is longer the more gateways there are: what all write again at once would be
    /// more than the store takes.
    pub fn write_delay(&self) -> Duration {
        let all = self.with_members(|members| members.known().count());
        Duration::from(Millis(WRITE_EACH.0 * all as u64)).mul_f64(rand::rng().random())
    }

    /// The store, or another gateway, has told an era.
    pub fn note_era(&self, era: u64) {
        let known = self.era();
        if known.is_some_and(|known| known >= era) {
            return;
        }
        if known.is_some() {
            self.metrics.store_eras.inc();
            self.event_log.state(format_args!("the store came back from an older copy: era {era}"));
            let now = self.now();
            self.era_began_at.set(Some(now));
            self.with_members(|members| members.begin_era(now));
        }
        self.eras.send_replace(Some(era));
    }
}
