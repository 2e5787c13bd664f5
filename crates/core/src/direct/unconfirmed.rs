//! Rows that the platform's store has lost, until they are written again or time shows that they are not.
//!
//! A store that came back from an older copy lists servers as they were then: some that have left since take
//! work, and some that came since are missing. All write their rows again within a heartbeat; those of
//! servers that are gone lapse. Until then what was known holds.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::direct::replica::LostRow;
use crate::direct::replica::Replica;
use crate::direct::replica::Revision;

/// How long a row that the copy lacks counts as if it were there: one that is not back two seconds after the
/// store is not to be expected any more.
const MISSING_FOR: Millis = Millis(2_000);

/// How long a row that the copy has in an older form is not believed: the row of a server that is gone lapses
/// after three heartbeats, 3.6 s at the users.
const OLDER_FOR: Millis = Millis(5_000);

#[derive(Clone, Debug)]
struct Row {
    /// As it was known; `None` if it was removed.
    value: Option<String>,
    /// The revision with which the copy tells it; any other one was written since.
    told: Revision,
    until: Millis,
}

/// The rows of one table.
#[derive(Clone, Debug, Default)]
pub struct Unconfirmed {
    rows: BTreeMap<String, Row>,
}

impl Unconfirmed {
    /// The store has come back from a copy that lacks these. What was not confirmed before stays so: the copy is
    /// older still.
    pub fn begin(&mut self, lost: Vec<LostRow>, replica: &Replica, now: Millis) {
        for LostRow { key, value } in lost {
            let row = Row { value, told: Revision::default(), until: Millis::ZERO };
            self.rows.entry(key).or_insert(row);
        }
        for (key, row) in &mut self.rows {
            let is_told = replica.get(key).is_some();
            row.told = replica.revision_of(key);
            row.until = now + if is_told { OLDER_FOR } else { MISSING_FOR };
        }
    }

    /// A row's value: as it was known while that is not settled, else as the replica has it.
    pub fn value<'a>(&'a self, key: &str, replica: &'a Replica) -> Option<&'a str> {
        match self.rows.get(key) {
            Some(row) => row.value.as_deref(),
            None => replica.get(key),
        }
    }

    /// Lets go of rows that were written again or whose time is over, and returns their keys.
    pub fn settle(&mut self, replica: &Replica, now: Millis) -> Vec<String> {
        let is_settled =
            |key: &String, row: &mut Row| replica.revision_of(key) != row.told || row.until <= now;
        self.rows.extract_if(.., is_settled).map(|(key, _)| key).collect()
    }

    /// Whether all rows are settled.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
