//! A table of the platform as this process knows it.
//!
//! The store numbers every change with one counter, so two processes can tell which of them knows
//! more, and hand each other just what is missing. A replica never goes back: what is older than
//! what it knows is passed over, wherever it comes from.

use std::collections::BTreeMap;

/// A row, or its removal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The row's key.
    pub key: String,
    /// The store's counter when it changed.
    pub revision: u64,
    /// Its value; `None` if it was removed.
    pub value: Option<String>,
}

/// What one process can tell another about a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Update {
    /// All changes up to this one are told or known already.
    pub revision: u64,
    /// Whether rows that are not told do not exist.
    pub whole: bool,
    /// The rows.
    pub changes: Vec<Change>,
}

/// Removals that are remembered for peers which are behind; older ones need a whole copy.
const MOST_REMOVALS: usize = 256;

#[derive(Clone, Debug)]
struct Row {
    revision: u64,
    value: Option<String>,
}

/// One table.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    revision: u64,
    rows: BTreeMap<String, Row>,
    /// Revision up to which removals are not known.
    forgotten: u64,
}

impl Replica {
    /// All changes up to this one are known; 0: nothing is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// A row's value.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.rows.get(key).and_then(|row| row.value.as_deref())
    }

    /// The store's counter when a row changed last.
    pub fn revision_of(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.revision)
    }

    /// Rows that exist, in order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &str)> {
        self.rows.iter().filter_map(|(key, row)| Some((key.as_str(), row.value.as_deref()?)))
    }

    /// Takes an update, and returns the keys that changed.
    pub fn take(&mut self, update: &Update) -> Vec<String> {
        if update.whole && update.revision < self.revision {
            // An old copy says nothing of the rows that it lacks.
            return Vec::new();
        }
        let mut changed = Vec::new();
        // A row of an earlier time that is not known was removed since, and its removal forgotten.
        let removed_before = if update.whole { 0 } else { self.forgotten };
        if update.whole {
            self.remove_untold(update, &mut changed);
            // What was removed before this copy was never told: others need a whole one, too.
            self.forgotten = self.forgotten.max(update.revision);
        }
        for change in &update.changes {
            let known = self.rows.get(&change.key);
            let known_up_to = known.map_or(removed_before, |row| row.revision);
            if known_up_to >= change.revision {
                continue;
            }
            let same = known.and_then(|row| row.value.as_ref()) == change.value.as_ref();
            let row = Row { revision: change.revision, value: change.value.clone() };
            self.rows.insert(change.key.clone(), row);
            if !same {
                changed.push(change.key.clone());
            }
        }
        self.revision = self.revision.max(update.revision);
        self.forget_removals();
        changed
    }

    /// What a process that knows all up to `revision` lacks; `None` if it lacks nothing.
    pub fn since(&self, revision: u64) -> Option<Update> {
        if revision >= self.revision {
            return None;
        }
        let whole = revision < self.forgotten || revision == 0;
        let told = |row: &Row| if whole { row.value.is_some() } else { row.revision > revision };
        let rows = self.rows.iter().filter(|(_, row)| told(row));
        let changes = rows.map(|(key, row)| Change {
            key: key.clone(),
            revision: row.revision,
            value: row.value.clone(),
        });
        Some(Update { revision: self.revision, whole, changes: changes.collect() })
    }

    fn remove_untold(&mut self, update: &Update, changed: &mut Vec<String>) {
        for (key, row) in &mut self.rows {
            let told = update.changes.iter().any(|change| change.key == *key);
            if !told && row.value.is_some() && row.revision <= update.revision {
                *row = Row { revision: update.revision, value: None };
                changed.push(key.clone());
            }
        }
    }

    fn forget_removals(&mut self) {
        let removals = self.rows.values().filter(|row| row.value.is_none()).count();
        if removals <= MOST_REMOVALS {
            return;
        }
        let removed = |row: &Row| row.value.is_none();
        let latest = self.rows.values().filter(|row| removed(row)).map(|row| row.revision).max();
        self.forgotten = self.forgotten.max(latest.unwrap_or_default());
        self.rows.retain(|_, row| !removed(row));
    }
}
