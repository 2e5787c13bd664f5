//! Edited rows to the next configuration.
//!
//! A configuration is a snapshot that was checked whole. Rows that cannot be part of one are left
//! as they were in the version before, and their faults are reported; the others go ahead, so one
//! operator's slip holds up nobody else.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hooktrestle_schema::Snapshot;
use hooktrestle_schema::TableRow;
use hooktrestle_schema::range;
use serde_json::Value;

use crate::config::Config;
use crate::config::RowFault;
use crate::rows::RowKind;
use crate::rows::RowName;

/// What becomes of a set of edits.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The snapshot with every edit that holds; its version is one more than the base's.
    pub snapshot: Snapshot,
    /// Whether it differs from the base in more than its version.
    pub changed: bool,
    /// Edits left out, with what to mend.
    pub faults: BTreeMap<RowName, String>,
}

/// Merges edited rows into the snapshot in force. A null value deletes a row.
///
/// Rows whose keys are not `kind:name` are ignored: the table may hold the operators' own notes.
pub fn merge(base: &Snapshot, edits: &[TableRow]) -> Outcome {
    let mut faults = BTreeMap::new();
    let mut left_out = BTreeSet::new();
    loop {
        let snapshot = apply(base, edits, &left_out, &mut faults);
        let found = match Config::check(&snapshot) {
            Ok(_) => Vec::new(),
            Err(found) => found,
        };
        let blamed = blame(&found, base, edits, &left_out);
        if blamed.is_empty() {
            return finish(base, snapshot, faults);
        }
        for (row, message) in blamed {
            left_out.insert(row.clone());
            faults.insert(row, message);
        }
    }
}

fn finish(base: &Snapshot, snapshot: Snapshot, faults: BTreeMap<RowName, String>) -> Outcome {
    let same = Snapshot { version: base.version, ..snapshot.clone() };
    Outcome { changed: same != *base, snapshot, faults }
}

/// Which edits to leave out for the faults found: the faulty row's own; or that of the row it
/// clashes with; or, if neither was edited, all that deleted a row, since only a deletion can break
/// a row that stayed the same.
fn blame(
    found: &[RowFault],
    base: &Snapshot,
    edits: &[TableRow],
    left_out: &BTreeSet<RowName>,
) -> Vec<(RowName, String)> {
    let edited: BTreeSet<RowName> = edits
        .iter()
        .filter_map(|edit| RowName::parse(&edit.key))
        .filter(|row| !left_out.contains(row))
        .collect();
    let mut blamed = Vec::new();
    for fault in found {
        let named = [Some(&fault.row), fault.clashes_with.as_ref()];
        if let Some(row) = named.into_iter().flatten().find(|row| edited.contains(row)) {
            blamed.push((row.clone(), fault.message.clone()));
            continue;
        }
        let message = format!("{} still needs it: {}", fault.row, fault.message);
        let deletions = edits
            .iter()
            .filter(|edit| edit.value.is_null())
            .filter_map(|edit| RowName::parse(&edit.key))
            .filter(|row| edited.contains(row) && holds(base, row));
        blamed.extend(deletions.map(|row| (row, message.clone())));
    }
    debug_assert!(found.is_empty() || !blamed.is_empty(), "the base was checked: {found:?}");
    blamed
}

fn apply(
    base: &Snapshot,
    edits: &[TableRow],
    left_out: &BTreeSet<RowName>,
    faults: &mut BTreeMap<RowName, String>,
) -> Snapshot {
    let mut snapshot = base.clone();
    snapshot.version += 1;
    for edit in edits {
        let Some(row) = RowName::parse(&edit.key) else { continue };
        if left_out.contains(&row) {
            continue;
        }
        if edit.value.is_null() {
            remove(&mut snapshot, &row);
        } else if let Err(message) = insert(&mut snapshot, &row, &edit.value) {
            faults.insert(row, message);
        }
    }
    snapshot
}

fn insert(snapshot: &mut Snapshot, row: &RowName, value: &Value) -> Result<(), String> {
    let Value::Object(object) = value else {
        return Err("must be an object of fields".to_owned());
    };
    range::check(row.kind.definition(), object)
        .map_err(|errors| errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))?;
    let name = row.name.clone();
    match row.kind {
        RowKind::Service => snapshot.services.insert(name, parse(value)?).is_some(),
        RowKind::Account => snapshot.accounts.insert(name, parse(value)?).is_some(),
        RowKind::BackendServer => snapshot.backend_servers.insert(name, parse(value)?).is_some(),
        RowKind::DataCentre => snapshot.data_centres.insert(name, parse(value)?).is_some(),
    };
    Ok(())
}

fn parse<T: serde::de::DeserializeOwned>(value: &Value) -> Result<T, String> {
    serde_json::from_value(value.clone()).map_err(|error| error.to_string())
}

fn remove(snapshot: &mut Snapshot, row: &RowName) {
    match row.kind {
        RowKind::Service => snapshot.services.remove(&row.name).is_some(),
        RowKind::Account => snapshot.accounts.remove(&row.name).is_some(),
        RowKind::BackendServer => snapshot.backend_servers.remove(&row.name).is_some(),
        RowKind::DataCentre => snapshot.data_centres.remove(&row.name).is_some(),
    };
}

fn holds(snapshot: &Snapshot, row: &RowName) -> bool {
    match row.kind {
        RowKind::Service => snapshot.services.contains_key(&row.name),
        RowKind::Account => snapshot.accounts.contains_key(&row.name),
        RowKind::BackendServer => snapshot.backend_servers.contains_key(&row.name),
        RowKind::DataCentre => snapshot.data_centres.contains_key(&row.name),
    }
}

/// The snapshot before the first one: no rows, version 0.
pub fn empty() -> Snapshot {
    Snapshot {
        version: 0,
        services: BTreeMap::new(),
        accounts: BTreeMap::new(),
        backend_servers: BTreeMap::new(),
        data_centres: BTreeMap::new(),
    }
}
