//! Ledger of the requests that ran at a stand-in backend server. Input: starts and ends of
//! requests. State: their counts by marker. Tests compare it with the responses that callers got.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::sync::watch;

/// Counts of one request at the backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Entry {
    /// How often it was started.
    pub started: u32,
    /// How often its answer was completed.
    pub finished: u32,
}

/// Requests by the marker that their callers gave them; clones share the entries.
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
    /// Records the start of a request.
    pub fn start(&self, marker: &str) {
        self.change(marker, |entry| entry.started += 1);
    }

    /// Records the complete answer to a request.
    pub fn finish(&self, marker: &str) {
        self.change(marker, |entry| entry.finished += 1);
    }

    /// Counts of a request; zeros if it was never received.
    pub fn entry(&self, marker: &str) -> Entry {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.get(marker).copied().unwrap_or_default()
    }

    /// All requests that ran.
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
