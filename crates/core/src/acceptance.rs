//! Merges rows that operators edited into the next configuration.
//! Input: the snapshot in force and the edited rows. No state between calls.
//! Decides which edits take effect and which are left out, with the fault of each.
//!
//! A configuration is a snapshot that was validated as a whole. Rows that cannot be part of one
//! remain as in the version before, and their faults are reported. The other edits take effect, so
//! one operator's mistake does not block the edits of others.

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

/// Result of merging a set of edits.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The snapshot with all valid edits; its version is that of the base plus one.
    pub snapshot: Snapshot,
    /// Whether the snapshot differs from the base in more than its version.
    pub changed: bool,
    /// Edits that were left out, with the fault of each.
    pub faults: BTreeMap<RowName, String>,
}

/// Merges edited rows into the snapshot in force. A null value deletes a row.
///
/// Rows whose keys are not `kind:name` are ignored, since operators may store notes in the table.
pub fn merge(base: &Snapshot, edits: &[TableRow]) -> Outcome {
    let mut faults = BTreeMap::new();
    let mut left_out = BTreeSet::new();
    loop {
        let snapshot = apply(base, edits, &left_out, &mut faults);
        let detected = match Config::check(&snapshot) {
            Ok(_) => Vec::new(),
            Err(detected) => detected,
        };
        let rejected = select_rejected(&detected, base, edits, &left_out);
        if rejected.is_empty() {
            return finish(base, snapshot, faults);
        }
        for (row, message) in rejected {
            left_out.insert(row.clone());
            faults.insert(row, message);
        }
    }
}

fn finish(base: &Snapshot, snapshot: Snapshot, faults: BTreeMap<RowName, String>) -> Outcome {
    let same = Snapshot { version: base.version, ..snapshot.clone() };
    Outcome { changed: same != *base, snapshot, faults }
}

/// Selects the edits to leave out because of the detected faults. For each fault it is the edit of
/// the invalid row, or else the edit of the row that it conflicts with. If neither was edited, it
/// is each edit that deleted a row, since only a deletion can invalidate an unchanged row.
fn select_rejected(
    detected: &[RowFault],
    base: &Snapshot,
    edits: &[TableRow],
    left_out: &BTreeSet<RowName>,
) -> Vec<(RowName, String)> {
    let edited: BTreeSet<RowName> = edits
        .iter()
        .filter_map(|edit| RowName::parse(&edit.key))
        .filter(|row| !left_out.contains(row))
        .collect();
    let mut rejected = Vec::new();
    for fault in detected {
        let named = [Some(&fault.row), fault.clashes_with.as_ref()];
        if let Some(row) = named.into_iter().flatten().find(|row| edited.contains(row)) {
            rejected.push((row.clone(), fault.message.clone()));
            continue;
        }
        let message = format!("{} still needs it: {}", fault.row, fault.message);
        let deletions = edits
            .iter()
            .filter(|edit| edit.value.is_null())
            .filter_map(|edit| RowName::parse(&edit.key))
            .filter(|row| edited.contains(row) && contains_row(base, row));
        rejected.extend(deletions.map(|row| (row, message.clone())));
    }
    debug_assert!(
        detected.is_empty() || !rejected.is_empty(),
        "the base was validated: {detected:?}"
    );
    rejected
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

fn contains_row(snapshot: &Snapshot, row: &RowName) -> bool {
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
