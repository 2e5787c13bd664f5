//! Rows that the platform's store lost when it was restored from an older copy.
//! Input are the lost rows of a replica; each is held until it is written again or lapses.
//! This module decides which value of a row counts meanwhile.
//!
//! A store that was restored from an older copy lists the servers of that earlier time. Some of
//! them have left since but would receive requests again, and some that came since are missing. All
//! servers write their rows again within a heartbeat, and rows of servers that are gone lapse.
//! Until then the earlier values count.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::direct::replica::LostRow;
use crate::direct::replica::Replica;
use crate::direct::replica::Revision;

/// Times for which lost rows are held, unless they are written again.
#[derive(Clone, Copy, Debug)]
pub struct Holds {
    /// Time for which a row that the copy lacks counts as present.
    pub missing_row: Millis,
    /// Time for which the copy's value of a row in an older form is ignored.
    pub older_row: Millis,
}

impl Holds {
    /// For rows of servers. A row that is not written again within two seconds of the store's
    /// return is not expected any more. The row of a server that is gone lapses after three
    /// heartbeats, which are 3.6 s in the users' deployments.
    pub const SERVERS: Holds = Holds { missing_row: Millis(2_000), older_row: Millis(5_000) };
}

#[derive(Clone, Debug)]
struct Row {
    /// The earlier value; `None` if it was removed.
    value: Option<String>,
    /// The row's revision in the copy; any other revision was written since.
    copied: Revision,
    until: Millis,
}

impl Row {
    fn held(value: Option<String>, key: &str, replica: &Replica, holds: Holds, now: Millis) -> Row {
        let is_in_copy = replica.get(key).is_some();
        let hold = if is_in_copy { holds.older_row } else { holds.missing_row };
        Row { value, copied: replica.revision_of(key), until: now + hold }
    }
}

/// The held rows of one table.
#[derive(Clone, Debug)]
pub struct Unconfirmed {
    holds: Holds,
    rows: BTreeMap<String, Row>,
}

impl Unconfirmed {
    /// No held rows.
    pub fn new(holds: Holds) -> Unconfirmed {
        Unconfirmed { holds, rows: BTreeMap::new() }
    }

    /// Holds rows that the store's restored copy lacks. Rows that are held already stay, with a new
    /// time, since the new copy is older still.
    pub fn begin(&mut self, lost: Vec<LostRow>, replica: &Replica, now: Millis) {
        self.add(lost, replica, now);
        for (key, row) in &mut self.rows {
            *row = Row::held(row.value.take(), key, replica, self.holds, now);
        }
    }

    /// Holds further rows. Rows that are held already stay as they are.
    pub fn add(&mut self, lost: Vec<LostRow>, replica: &Replica, now: Millis) {
        for LostRow { key, value } in lost {
            let row = Row::held(value, &key, replica, self.holds, now);
            self.rows.entry(key).or_insert(row);
        }
    }

    /// Keys of the held rows that count as present.
    pub fn present(&self) -> impl Iterator<Item = &str> {
        let present = self.rows.iter().filter(|(_, row)| row.value.is_some());
        present.map(|(key, _)| key.as_str())
    }

    /// A row's value: the earlier one while the row is held, else that of the replica.
    pub fn value<'a>(&'a self, key: &str, replica: &'a Replica) -> Option<&'a str> {
        match self.rows.get(key) {
            Some(row) => row.value.as_deref(),
            None => replica.get(key),
        }
    }

    /// Drops rows that were written again or whose time is over, and returns their keys.
    pub fn settle(&mut self, replica: &Replica, now: Millis) -> Vec<String> {
        let is_settled = |key: &String, row: &mut Row| {
            replica.revision_of(key) != row.copied || row.until <= now
        };
        self.rows.extract_if(.., is_settled).map(|(key, _)| key).collect()
    }

    /// Whether no row is held.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
