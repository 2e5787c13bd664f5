//! Truncated answers of servers whose crash is not confirmed, as the platform stores them.
//! Input: truncated answers, stored rows and the server list. State: rows of earlier processes.
//! Decides what is stored before a crash is confirmed, and which stored crashes are confirmed.
//!
//! The address of a crashed server may accept connections without it, so that only the server list
//! shows the crash, seconds later. If all gateways are replaced meanwhile, none of the new ones has
//! a truncated answer of the server. They find it in the store, and no longer in the list.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::crashes::Crash;
use hooktrestle_core::direct::crashes::Reporter;
use hooktrestle_core::direct::crashes::ServiceNumber;
use hooktrestle_core::direct::crashes::UNKNOWN_AGE_ERROR;
use hooktrestle_core::direct::fingerprint::Fingerprint;
use hooktrestle_core::direct::replica::Revision;
use hooktrestle_core::direct::truncated_answers::RETENTION;

use crate::gateway::Gateway;
use crate::gateway::crashes::CrashStatus;
use crate::platform::CrashRowKey;
use crate::platform::Platform;
use crate::platform::StoredCrashes;
use crate::platform::Table;

/// A stored row of an earlier process, until its crashes are confirmed or too old.
#[derive(Clone, Debug)]
pub(super) struct HeldRow {
    key: CrashRowKey,
    crashes: Vec<Crash>,
    read_at: Millis,
}

impl<P: Platform> Gateway<P> {
    /// Holds stored rows of crashes that were not confirmed as they were written.
    pub fn hold_unconfirmed<'a>(&self, rows: impl Iterator<Item = &'a StoredCrashes>) {
        let read_at = self.now();
        let held = rows.map(|row| HeldRow { key: row.key, crashes: row.crashes.clone(), read_at });
        self.crash_detection.borrow_mut().held = held.collect();
        self.settle_held();
    }

    /// Rows that are not settled yet.
    pub fn held_rows(&self) -> Vec<CrashRowKey> {
        self.crash_detection.borrow().held.iter().map(|row| row.key).collect()
    }

    /// Records crashes of held rows whose servers are no longer listed, and drops those that are so old
    /// that their servers may have left since.
    pub(super) fn settle_held(&self) {
        let now = self.now();
        // Before the list is read, it lacks all servers.
        if self.revision(Table::Servers) == Revision::default() {
            return;
        }
        let mut confirmed = Vec::new();
        {
            let mut detection = self.crash_detection.borrow_mut();
            let own = self.with_members(|members| members.own().gateway_id().0);
            let mut held = std::mem::take(&mut detection.held);
            for row in &mut held {
                let since_read = now.since(row.read_at);
                row.crashes.retain(|crash| crash.age + since_read < RETENTION);
                row.crashes.retain(|crash| {
                    let is_listed =
                        self.with_pool(|pool| pool.is_incarnation_present(crash.server));
                    if !is_listed {
                        confirmed.push(Crash { age: crash.age + since_read, ..crash.clone() });
                    }
                    is_listed
                });
                if row.key.unconfirmed_by == Some(own) {
                    detection.own.insert(row.key.fingerprint);
                }
            }
            held.retain(|row| !row.crashes.is_empty());
            detection.held = held;
        }
        if !confirmed.is_empty() {
            self.event_log.state(format_args!(
                "{} stored crashes are confirmed: their servers are no longer listed",
                confirmed.len()
            ));
            self.merge_crashes(&confirmed, &[], &[]);
        }
    }

    /// What of these was at servers that sent truncated answers and may have crashed.
    pub(super) fn unconfirmed_to_store(
        &self,
        candidates: &BTreeSet<Fingerprint>,
    ) -> Vec<StoredCrashes> {
        let now = self.now();
        let own = self.with_members(|members| members.own().gateway_id().0);
        let mut rows: BTreeMap<Fingerprint, Vec<Crash>> = BTreeMap::new();
        let detection = self.crash_detection.borrow();
        let may_have_crashed = detection.truncations.iter().filter(|(_, one)| {
            one.status == CrashStatus::Unconfirmed
                && one.was_accepted
                && !one.answers.is_expired(now)
        });
        for (server, truncations) in may_have_crashed {
            let server = self.with_pool(|pool| pool.incarnation(*server));
            let (crashed_at, suspects) = truncations.answers.if_crashed();
            for suspect in suspects.iter().filter(|one| candidates.contains(&one.fingerprint)) {
                let crashes = rows.entry(suspect.fingerprint).or_default();
                if crashes.iter().all(|crash| crash.server != server) {
                    crashes.push(Crash {
                        server,
                        service: ServiceNumber::UNKNOWN,
                        reporter: Reporter::STORED,
                        age: now.since(crashed_at),
                        age_error: UNKNOWN_AGE_ERROR,
                        suspects: vec![*suspect],
                        outlasted: Vec::new(),
                    });
                }
            }
        }
        let rows = rows.into_iter().map(|(fingerprint, crashes)| StoredCrashes {
            key: CrashRowKey { fingerprint, unconfirmed_by: Some(own) },
            crashes,
            ended_attempts: 0,
        });
        rows.collect()
    }
}
