//! Replica of one table of the platform's store, from updates of the store and of peers.
//! It holds the rows, the revision up to which it is complete, and recent removals.
//! This module decides which changes of an update are newer, and which changes a peer lacks.
//!
//! The store numbers every change with one counter, so two processes can compare what they know and
//! send each other only the changes that are missing. A replica never goes back: a change that is
//! older than the known one is ignored, wherever it comes from.
//!
//! A store that is restored from an older copy of itself begins a new era, in which its counter
//! continues from that of the copy. It uses the same numbers again, so counts compare within one
//! era alone. A replica enters an era with a complete copy of the table, and returns the rows that
//! it knew and that the copy lacks.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

/// A point in the history of the store; of two, the one in the later era is the later one.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Revision {
    /// Number of times that the store was restored from an older copy.
    pub era: u64,
    /// The store's counter.
    pub count: u64,
}

impl From<u64> for Revision {
    /// The count of a store that sends no era.
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

/// Changes of a table, as the store or a peer sends them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Update {
    /// The receiver has all changes up to this revision once the update is applied.
    pub revision: Revision,
    /// Whether the update is a complete copy: rows that it lacks do not exist.
    pub whole: bool,
    /// The rows.
    pub changes: Vec<Change>,
}

/// A known row that the store lacks, or has in another form, since it was restored from an older
/// copy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostRow {
    /// The row's key.
    pub key: String,
    /// Its value; `None` if it was removed.
    pub value: Option<String>,
}

/// Result of an update.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Applied {
    /// Keys of the rows that changed.
    pub changed: Vec<String>,
    /// Known rows that the store has lost; empty unless an era began.
    pub lost: Vec<LostRow>,
}

/// Removals that are stored for peers with an older revision; peers that need earlier ones get a
/// complete copy.
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
    removals_unknown_to: u64,
}

impl Replica {
    /// All changes up to this revision are known; the default revision if nothing is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// A row's value.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.rows.get(key).and_then(|row| row.value.as_deref())
    }

    /// Revision of a row's last change.
    pub fn revision_of(&self, key: &str) -> Revision {
        let count = self.rows.get(key).map_or(0, |row| row.revision);
        Revision { era: self.revision.era, count }
    }

    /// Rows that exist, in order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &str)> {
        self.rows.iter().filter_map(|(key, row)| Some((key.as_str(), row.value.as_deref()?)))
    }

    /// Applies an update.
    pub fn apply(&mut self, update: &Update) -> Applied {
        match update.revision.era.cmp(&self.revision.era) {
            Ordering::Less => Applied::default(),
            Ordering::Equal => Applied { changed: self.advance(update), lost: Vec::new() },
            // The replica has no rows of this era yet to which changes could be added.
            Ordering::Greater if !update.whole => Applied::default(),
            Ordering::Greater => self.begin_era(update),
        }
    }

    /// Applies the first complete copy of a later era.
    fn begin_era(&mut self, update: &Update) -> Applied {
        let before = std::mem::take(&mut self.rows);
        self.revision = update.revision;
        self.removals_unknown_to = update.revision.count;
        let received = update.changes.iter().map(|change| {
            (change.key.clone(), Row { revision: change.revision, value: change.value.clone() })
        });
        self.rows = received.collect();
        let keys: BTreeSet<&String> = before.keys().chain(self.rows.keys()).collect();
        let value = |rows: &BTreeMap<String, Row>, key: &str| rows.get(key)?.value.clone();
        let changed = keys.into_iter().filter(|key| value(&before, key) != value(&self.rows, key));
        let changed = changed.cloned().collect();
        let lost = before.into_iter().filter(|(key, row)| self.has_lost(key, row));
        let lost = lost.map(|(key, row)| LostRow { key, value: row.value }).collect();
        Applied { changed, lost }
    }

    /// Whether a row that was known in an earlier era may have been written after the copy that
    /// this era began with. The copy has rows with the counts of that time; of a row that it lacks,
    /// nothing more is known.
    fn has_lost(&self, key: &str, known: &Row) -> bool {
        match self.rows.get(key) {
            Some(received) => received.revision < known.revision && received.value != known.value,
            None => known.value.is_some(),
        }
    }

    /// Applies an update of the present era, and returns the keys that changed.
    fn advance(&mut self, update: &Update) -> Vec<String> {
        let count = update.revision.count;
        if update.whole && count < self.revision.count {
            // An old copy gives no information on the rows that it lacks.
            return Vec::new();
        }
        let mut changed = Vec::new();
        // An older row that is not known was removed since, and its removal is not stored any more.
        let removed_before = if update.whole { 0 } else { self.removals_unknown_to };
        if update.whole {
            self.remove_missing(update, &mut changed);
            // The copy lacks removals before its revision: peers need a complete copy, too.
            self.removals_unknown_to = self.removals_unknown_to.max(count);
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
        self.drop_removals();
        changed
    }

    /// Changes that a process lacks which knows all up to `revision`; `None` if it lacks nothing.
    pub fn since(&self, revision: Revision) -> Option<Update> {
        if revision >= self.revision {
            return None;
        }
        let Revision { era, count } = revision;
        let whole = era < self.revision.era || count < self.removals_unknown_to || count == 0;
        let is_sent = |row: &Row| if whole { row.value.is_some() } else { row.revision > count };
        let rows = self.rows.iter().filter(|(_, row)| is_sent(row));
        let changes = rows.map(|(key, row)| Change {
            key: key.clone(),
            revision: row.revision,
            value: row.value.clone(),
        });
        Some(Update { revision: self.revision, whole, changes: changes.collect() })
    }

    fn remove_missing(&mut self, update: &Update, changed: &mut Vec<String>) {
        for (key, row) in &mut self.rows {
            let received = update.changes.iter().any(|change| change.key == *key);
            let count = update.revision.count;
            if !received && row.value.is_some() && row.revision <= count {
                *row = Row { revision: count, value: None };
                changed.push(key.clone());
            }
        }
    }

    fn drop_removals(&mut self) {
        let removals = self.rows.values().filter(|row| row.value.is_none()).count();
        if removals <= MAX_REMOVALS {
            return;
        }
        let removed = |row: &Row| row.value.is_none();
        let latest = self.rows.values().filter(|row| removed(row)).map(|row| row.revision).max();
        self.removals_unknown_to = self.removals_unknown_to.max(latest.unwrap_or_default());
        self.rows.retain(|_, row| !removed(row));
    }
}
