//! Data centres that operators evacuate: no request is sent to their backend servers.
//! Input: the rows of evacuations in the operators' table. State: the evacuations in force, and the
//! rows that the store has lost. Decides which data centres are evacuated.
//!
//! An evacuation that was acknowledged stays in force if the store is restored from an older copy
//! without its row, until the operator writes or removes that row again. In the same way one that
//! ended stays ended. Other gateways, in particular those that start meanwhile, learn of such
//! evacuations by gossip.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::direct::replica::LostRow;
use crate::direct::replica::Replica;
use crate::direct::unconfirmed::Holds;
use crate::direct::unconfirmed::Unconfirmed;

/// Time for which a lost row counts if the operator does not write it again: long enough for an
/// operator to notice that the store was restored.
const LOST_ROW_HOLD: Millis = Millis(600_000);

/// What an update of the table changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationChanges {
    /// Data centres whose evacuation began.
    pub begun: Vec<String>,
    /// Data centres whose evacuation ended.
    pub ended: Vec<String>,
}

impl EvacuationChanges {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}

/// The evacuations known to one gateway.
#[derive(Clone, Debug)]
pub struct Evacuations {
    /// Lost rows by their key in the table.
    unconfirmed: Unconfirmed,
    /// Evacuated data centres, by the key of their row.
    in_force: BTreeMap<String, String>,
}

impl Default for Evacuations {
    fn default() -> Self {
        let holds = Holds { missing_row: LOST_ROW_HOLD, older_row: LOST_ROW_HOLD };
        Evacuations { unconfirmed: Unconfirmed::new(holds), in_force: BTreeMap::new() }
    }
}

impl Evacuations {
    /// Records rows that were lost when the store was restored from an older copy. `data_centre`
    /// returns the data centre that a row evacuates; `None` for other rows.
    pub fn begin_era(
        &mut self,
        lost: Vec<LostRow>,
        replica: &Replica,
        data_centre: impl Fn(&str) -> Option<String>,
        now: Millis,
    ) {
        let lost = lost.into_iter().filter(|row| data_centre(&row.key).is_some());
        self.unconfirmed.begin(lost.collect(), replica, now);
    }

    /// Records evacuations that another gateway holds although the store has lost their rows.
    pub fn hold(&mut self, keys: &[String], replica: &Replica, now: Millis) {
        // A row that was written or removed in this era is not lost.
        let unknown = keys.iter().filter(|key| replica.revision_of(key).count == 0);
        let lost = unknown.map(|key| LostRow { key: key.clone(), value: Some(String::new()) });
        self.unconfirmed.add(lost.collect(), replica, now);
    }

    /// Keys of the evacuations that are in force although the store has lost their rows.
    pub fn held(&self) -> Vec<String> {
        self.unconfirmed.present().map(str::to_owned).collect()
    }

    /// Determines the evacuations in force from the table and the held rows, and returns what
    /// changed. `data_centre` is as for [`Evacuations::begin_era`].
    pub fn update(
        &mut self,
        replica: &Replica,
        data_centre: impl Fn(&str) -> Option<String>,
        now: Millis,
    ) -> EvacuationChanges {
        self.unconfirmed.settle(replica, now);
        let held = self.unconfirmed.present();
        let is_in_force = |key: &&str| self.unconfirmed.value(key, replica).is_some();
        let keys = replica.rows().map(|(key, _)| key).filter(is_in_force).chain(held);
        let found = keys.filter_map(|key| Some((key.to_owned(), data_centre(key)?))).collect();
        let before = std::mem::replace(&mut self.in_force, found);
        let added = |from: &BTreeMap<String, String>, to: &BTreeMap<String, String>| {
            let known: BTreeSet<&String> = from.values().collect();
            to.values().filter(|name| !known.contains(name)).cloned().collect()
        };
        EvacuationChanges {
            begun: added(&before, &self.in_force),
            ended: added(&self.in_force, &before),
        }
    }

    /// The data centres that are evacuated.
    pub fn data_centres(&self) -> impl Iterator<Item = &str> {
        self.in_force.values().map(String::as_str)
    }
}
