//! A table of the platform as this process knows it.
//!
//! The store numbers every change with one counter, so two processes can tell which of them knows
//! more, and hand each other just what is missing. A replica never goes back: what is older than
//! what it knows is passed over, wherever it comes from.
//!
//! A store that comes back from an older copy of itself begins a new era, in which its counter goes
//! on from that of the copy: numbers are given out again, so they compare within one era alone. A
//! replica enters an era with a whole copy of the table, and tells what it knew and the copy lacks.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

/// A moment of the store; of two, the one in the later era is the later one.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Revision {
    /// How often the store had come back from an older copy.
    pub era: u64,
    /// The store's counter.
    pub count: u64,
}

impl From<u64> for Revision {
    /// The count of a store that tells no era.
    fn from(count: u64) -> Revision {
        Revision { era: 0, count }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of era {}", self.count, self.era)
    }
}

/// A row, or its removal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The row's key.
    pub key: String,
    /// The store's counter when it changed, in the era of the update.
    pub revision: u64,
    /// Its value; `None` if it was removed.
    pub value: Option<String>,
}

/// What one process can tell another about a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Update {
    /// All changes up to this one are told or known already.
    pub revision: Revision,
    /// Whether rows that are not told do not exist.
    pub whole: bool,
    /// The rows.
    pub changes: Vec<Change>,
}

/// A row as it was known, which the store lacks or has in another form since it came back from an older copy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostRow {
    /// The row's key.
    pub key: String,
    /// Its value; `None` if it was removed.
    pub value: Option<String>,
}

/// What an update brought.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Applied {
    /// Keys of the rows that changed.
    pub changed: Vec<String>,
    /// What was known and is lost to the store; empty unless an era began.
    pub lost: Vec<LostRow>,
}

/// Removals that are remembered for peers which are behind; older ones need a whole copy.
const MAX_REMOVALS: usize = 256;

#[derive(Clone, Debug)]
struct Row {
    /// The store's counter, in the era of the replica.
    revision: u64,
    value: Option<String>,
}

/// One table.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    revision: Revision,
    rows: BTreeMap<String, Row>,
    /// Count up to which removals are not known.
    forgotten: u64,
}

impl Replica {
    /// All changes up to this one are known; the first of all: nothing is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// A row's value.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.rows.get(key).and_then(|row| row.value.as_deref())
    }

    /// When a row changed last.
    pub fn revision_of(&self, key: &str) -> Revision {
        let count = self.rows.get(key).map_or(0, |row| row.revision);
        Revision { era: self.revision.era, count }
    }

    /// Rows that exist, in order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &str)> {
        self.rows.iter().filter_map(|(key, row)| Some((key.as_str(), row.value.as_deref()?)))
    }

    /// Takes an update.
    pub fn apply(&mut self, update: &Update) -> Applied {
        match update.revision.era.cmp(&self.revision.era) {
            Ordering::Less => Applied::default(),
            Ordering::Equal => Applied { changed: self.advance(update), lost: Vec::new() },
            // There is nothing in this era yet to which changes could be added.
            Ordering::Greater if !update.whole => Applied::default(),
            Ordering::Greater => self.begin_era(update),
        }
    }

    /// Takes the first copy of a later era.
    fn begin_era(&mut self, update: &Update) -> Applied {
        let before = std::mem::take(&mut self.rows);
        self.revision = update.revision;
        self.forgotten = update.revision.count;
        let told = update.changes.iter().map(|change| {
            (change.key.clone(), Row { revision: change.revision, value: change.value.clone() })
        });
        self.rows = told.collect();
        let keys: BTreeSet<&String> = before.keys().chain(self.rows.keys()).collect();
        let value = |rows: &BTreeMap<String, Row>, key: &str| rows.get(key)?.value.clone();
        let changed = keys.into_iter().filter(|key| value(&before, key) != value(&self.rows, key));
        let changed = changed.cloned().collect();
        let lost = before.into_iter().filter(|(key, row)| self.has_lost(key, row));
        let lost = lost.map(|(key, row)| LostRow { key, value: row.value }).collect();
        Applied { changed, lost }
    }

    /// Whether what was known of a row in an earlier era may have been written after the copy that this era began
    /// with. The copy tells rows with the counts that they had; of one that it lacks nothing more is known.
    fn has_lost(&self, key: &str, known: &Row) -> bool {
        match self.rows.get(key) {
            Some(told) => told.revision < known.revision && told.value != known.value,
            None => known.value.is_some(),
        }
    }

    /// Takes an update of the present era, and returns the keys that changed.
    fn advance(&mut self, update: &Update) -> Vec<String> {
        let count = update.revision.count;
        if update.whole && count < self.revision.count {
            // An old copy says nothing of the rows that it lacks.
            return Vec::new();
        }
        let mut changed = Vec::new();
        // A row of an earlier time that is not known was removed since, and its removal forgotten.
        let removed_before = if update.whole { 0 } else { self.forgotten };
        if update.whole {
            self.remove_untold(update, &mut changed);
            // What was removed before this copy was never told: others need a whole one, too.
            self.forgotten = self.forgotten.max(count);
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
    pub fn since(&self, revision: Revision) -> Option<Update> {
        if revision >= self.revision {
            return None;
        }
        let Revision { era, count } = revision;
        let whole = era < self.revision.era || count < self.forgotten || count == 0;
        let told = |row: &Row| if whole { row.value.is_some() } else { row.revision > count };
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
            let count = update.revision.count;
            if !told && row.value.is_some() && row.revision <= count {
                *row = Row { revision: count, value: None };
                changed.push(key.clone());
            }
        }
    }

    fn forget_removals(&mut self) {
        let removals = self.rows.values().filter(|row| row.value.is_none()).count();
        if removals <= MAX_REMOVALS {
            return;
        }
        let removed = |row: &Row| row.value.is_none();
        let latest = self.rows.values().filter(|row| removed(row)).map(|row| row.revision).max();
        self.forgotten = self.forgotten.max(latest.unwrap_or_default());
        self.rows.retain(|_, row| !removed(row));
    }
}
