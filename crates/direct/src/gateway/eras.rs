//! Eras of the platform's store: it came back from an older copy of itself, and has lost what was written since.

use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::platform::Platform;

impl<P: Platform> Gateway<P> {
    /// The store's era, as far as it was told.
    pub fn era(&self) -> Option<u64> {
        *self.eras.borrow()
    }

    /// Tells whoever waits for it that an era begins; the first that is told to a process, too.
    pub fn watch_eras(&self) -> watch::Receiver<Option<u64>> {
        self.eras.subscribe()
    }

    /// The store, or another gateway, has told an era.
    pub fn note_era(&self, era: u64) {
        let known = self.era();
        if known.is_some_and(|known| known >= era) {
            return;
        }
        if known.is_some() {
            self.metrics.store_eras.inc();
            self.journal.state(format_args!("the store came back from an older copy: era {era}"));
        }
        self.eras.send_replace(Some(era));
    }
}
