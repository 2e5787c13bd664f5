//! What really ran at a backend server.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::sync::watch;

/// What became of one request at the backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Entry {
    /// How often it was started.
    pub started: u32,
    /// How often its answer was given whole.
    pub finished: u32,
}

/// Requests by the marker that their callers gave them; clones share it.
#[derive(Clone, Debug)]
pub struct Ledger {
    entries: Arc<Mutex<BTreeMap<String, Entry>>>,
    changes: watch::Sender<u64>,
}

impl Default for Ledger {
    fn default() -> Self {
        Ledger { entries: Arc::default(), changes: watch::Sender::new(0) }
    }
}

impl Ledger {
    /// A request has been started.
    pub fn start(&self, marker: &str) {
        self.change(marker, |entry| entry.started += 1);
    }

    /// A request's answer has been given whole.
    pub fn finish(&self, marker: &str) {
        self.change(marker, |entry| entry.finished += 1);
    }

    /// What became of a request; zeros if it never came.
    pub fn entry(&self, marker: &str) -> Entry {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.get(marker).copied().unwrap_or_default()
    }

    /// Everything that ran.
    pub fn all(&self) -> BTreeMap<String, Entry> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Waits until `reached` holds for a request's entry.
    pub async fn wait(&self, marker: &str, reached: impl Fn(Entry) -> bool) {
        let mut changes = self.changes.subscribe();
        while !reached(self.entry(marker)) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn change(&self, marker: &str, apply: impl FnOnce(&mut Entry)) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        apply(entries.entry(marker.to_owned()).or_default());
        drop(entries);
        self.changes.send_modify(|count| *count += 1);
    }
}
