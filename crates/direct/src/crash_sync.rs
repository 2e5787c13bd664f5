//! Sync task for the platform's table of requests that crash servers.
//! Input: the crashes known to this gateway, and the rows of the table. State: the stored rows.
//! It decides which rows to write and to remove, and when.
//!
//! Gateways gossip crashes; the table serves gateways that start after all others were replaced at
//! once. It contains what a crash speaks against from the first crash on, written by the gateways that
//! observed one: all gateways may be replaced again and again before the next crash. What was at such a
//! crash is also stored with truncated answers of servers whose crash is not confirmed yet, in a row of
//! each gateway. This makes a call or two for each crash, and otherwise only one call at each start.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::crashes::Crash;
use hooktrestle_core::direct::crashes::EndingCount;
use hooktrestle_core::direct::crashes::Reporter;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use tokio::time;

use crate::gateway::Gateway;
use crate::permits;
use crate::platform::CrashRowKey;
use crate::platform::Failure;
use crate::platform::Platform;
use crate::platform::StoredCrashes;

/// Pause after a failed call. Each further failure doubles it up to the maximum, since the store
/// may be unavailable for long and refused calls have a price. The rows are needed only after a
/// restart of all gateways, which mostly comes later.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);

/// Time between two checks for expired rows.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(30);

/// Maximum number of rows that one call writes, and that it removes. The store accepts 100 in all.
const MAX_ROWS: usize = 50;

/// The servers in a stored row, as far as this gateway knows, and whether as many attempts ended well:
/// a row is written again only if this changes.
type StoredEvidence = (BTreeSet<ServerIncarnation>, bool);

/// The stored rows, as far as this gateway knows.
#[derive(Default)]
struct StoredRows {
    evidence: BTreeMap<CrashRowKey, StoredEvidence>,
    /// Those that this gateway wrote.
    own: BTreeSet<CrashRowKey>,
}

/// Reads the stored rows, then keeps them up to date until the process ends.
pub async fn sync_crashes<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut eras = gateway.watch_eras();
    let mut stored = read(&gateway).await;
    let mut read_era = gateway.platform.store_era();
    loop {
        tokio::select! {
            () = time::sleep(EXPIRY_CHECK_INTERVAL) => {
                // Other gateways may have written rows and ended.
                let has_crashes = gateway.with_crashes(|crashes| crashes.has_reports());
                if permits::is_granter(&gateway) && (has_crashes || !stored.evidence.is_empty()) {
                    stored = read(&gateway).await;
                }
            }
            // A notification that arrives while this task is busy is not lost: `Notify` stores it.
            () = gateway.crashes_changed.notified() => {}
            _ = eras.wait_for(|era| *era > Some(read_era)) => {
                // The store may have lost written rows, and may have removed rows again.
                if !stored.evidence.is_empty() || !gateway.crashes_to_store().is_empty() {
                    time::sleep(gateway.write_delay()).await;
                    stored = read(&gateway).await;
                }
                read_era = gateway.era().unwrap_or_default();
            }
        }
        let mut pauses = RetryPauses::default();
        loop {
            match write(&gateway, &mut stored).await {
                Ok(Remaining::Nothing) => break,
                Ok(Remaining::More) => {}
                Err(failure) => pauses.next(&gateway, "written", failure).await,
            }
        }
    }
}

/// Pauses between consecutive failed calls.
#[derive(Default)]
struct RetryPauses {
    last: Option<Duration>,
}

impl RetryPauses {
    /// Logs the first failure, and waits.
    async fn next<P: Platform>(&mut self, gateway: &Gateway<P>, action: &str, failure: Failure) {
        if self.last.is_none() {
            gateway.event_log.state(format_args!("crash reports cannot be {action}: {failure}"));
        }
        let pause = self.last.map_or(RETRY_PAUSE, |last| MAX_RETRY_PAUSE.min(2 * last));
        self.last = Some(pause);
        time::sleep(pause).await;
    }
}

/// Whether there is more to write.
enum Remaining {
    Nothing,
    More,
}

async fn read<P: Platform>(gateway: &Gateway<P>) -> StoredRows {
    let mut pauses = RetryPauses::default();
    loop {
        match gateway.platform.read_crashes().await {
            Ok(rows) => {
                let is_confirmed = |row: &&StoredCrashes| row.key.unconfirmed_by.is_none();
                // All at once: a part of the rows may speak against what the others clear.
                let confirmed = rows.iter().filter(is_confirmed);
                let crashes: Vec<Crash> =
                    confirmed.clone().flat_map(|row| row.crashes.iter().cloned()).collect();
                let ended = confirmed.map(|row| EndingCount {
                    fingerprint: row.key.fingerprint,
                    reporter: Reporter::STORED,
                    count: row.ended_attempts,
                    age: Millis::ZERO,
                });
                gateway.event_log.state(format_args!(
                    "read crash reports of {} requests and parts, {} in all",
                    rows.len(),
                    crashes.len()
                ));
                gateway.merge_crashes(&crashes, &[], &ended.collect::<Vec<_>>());
                gateway.hold_unconfirmed(rows.iter().filter(|row| !is_confirmed(row)));
                gateway.record_crashes_read();
                let evidence = rows.iter().map(|row| (row.key, evidence(row))).collect();
                return StoredRows { evidence, own: BTreeSet::new() };
            }
            Err(failure) => {
                // Other gateways send the crashes that they know.
                gateway.record_crashes_read();
                pauses.next(gateway, "read", failure).await;
            }
        }
    }
}

fn evidence(row: &StoredCrashes) -> StoredEvidence {
    let servers: BTreeSet<ServerIncarnation> =
        row.crashes.iter().map(|crash| crash.server).collect();
    let ended_well = row.ended_attempts as usize >= servers.len();
    (servers, ended_well)
}

/// Writes and removes changed rows, as many as one call may contain.
async fn write<P: Platform>(
    gateway: &Gateway<P>,
    stored: &mut StoredRows,
) -> Result<Remaining, Failure> {
    let mut put: Vec<StoredCrashes> = gateway.crashes_to_store();
    let worth_storing = gateway.with_crashes(|crashes| crashes.worth_storing(gateway.now()));
    let held = gateway.held_rows();
    let mut wanted: BTreeSet<CrashRowKey> = put.iter().map(|row| row.key).chain(held).collect();
    wanted.extend(
        worth_storing.iter().map(|one| CrashRowKey { fingerprint: *one, unconfirmed_by: None }),
    );
    put.retain(|row| stored.evidence.get(&row.key) != Some(&evidence(row)));
    put.truncate(MAX_ROWS);
    // All gateways have read the rows of processes that have ended: one of them removes these.
    let removes_all = permits::is_granter(gateway);
    let is_removed_here = |key: &&CrashRowKey| removes_all || stored.own.contains(key);
    let expired = stored.evidence.keys().filter(|key| !wanted.contains(key));
    let expired = expired.filter(is_removed_here);
    let expired: Vec<CrashRowKey> = expired.take(MAX_ROWS).copied().collect();
    if put.is_empty() && expired.is_empty() {
        return Ok(Remaining::Nothing);
    }
    gateway.platform.write_crashes(&put, &expired).await?;
    stored.evidence.extend(put.iter().map(|row| (row.key, evidence(row))));
    stored.evidence.retain(|key, _| !expired.contains(key));
    stored.own.extend(put.iter().map(|row| row.key));
    stored.own.retain(|key| !expired.contains(key));
    Ok(Remaining::More)
}
