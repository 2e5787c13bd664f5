//! How long ago a replica of a table was known to be complete.
//! Input: answers of the store. State: the latest time at which the replica was complete.
//! This module decides which time an answer proves.
//!
//! Without answers, a gateway does not know whether a table has not changed or whether it no longer
//! receives the changes.

use crate::clock::Millis;

/// Age of a replica: the time since all changes of its table were known.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableAge {
    complete_at: Option<Millis>,
}

impl TableAge {
    /// Records that all changes up to a time are known. Earlier times than known ones are ignored.
    pub fn confirm(&mut self, at: Millis) {
        self.complete_at = self.complete_at.max(Some(at));
    }

    /// The age; `None` before the first confirmation.
    pub fn get(&self, now: Millis) -> Option<Millis> {
        Some(now.since(self.complete_at?))
    }
}

/// The time up to which an answer of the store shows all changes, for a call that was sent at `sent_at`
/// and waited for changes for at most `wait`. An answer without changes was sent at the end of the
/// wait. One with changes may have been sent at any time, and read late.
pub fn proven_by_answer(sent_at: Millis, wait: Millis, has_changes: bool) -> Millis {
    if has_changes { sent_at } else { sent_at + wait }
}
