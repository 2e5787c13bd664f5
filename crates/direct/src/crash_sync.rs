//! Sync task for the platform's table of requests that crash servers.
//! Input: the crashes known to this gateway, and the rows of the table. State: the stored rows.
//! It decides which rows to write and to remove, and when.
//!
//! Gateways gossip crashes; the table serves gateways that start after all others were replaced at
//! once. It contains only requests that were at two or more crashes, written by the gateways that
//! observed one of these. This makes a few calls for each request that crashes servers, and
//! otherwise only one call at each start.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::crashes::EndingCount;
use hooktrestle_core::direct::crashes::Reporter;
use hooktrestle_core::direct::fingerprint::Fingerprint;
use tokio::time;

use crate::gateway::Gateway;
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

/// Number of crashes in the stored row of a request, as far as this gateway knows, and whether as
/// many attempts of it ended well: a row is written again only if this changes.
type StoredEvidence = (usize, bool);

/// Reads the stored rows, then keeps them up to date until the process ends.
pub async fn sync_crashes<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut eras = gateway.watch_eras();
    let mut stored: BTreeMap<Fingerprint, StoredEvidence> = read(&gateway).await;
    let mut read_era = gateway.platform.store_era();
    loop {
        tokio::select! {
            () = time::sleep(EXPIRY_CHECK_INTERVAL) => {}
            // A notification that arrives while this task is busy is not lost: `Notify` stores it.
            () = gateway.crashes_changed.notified() => {}
            _ = eras.wait_for(|era| *era > Some(read_era)) => {
                // The store may have lost written rows, and may have removed rows again.
                if !stored.is_empty() || !gateway.crashes_to_store().is_empty() {
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

async fn read<P: Platform>(gateway: &Gateway<P>) -> BTreeMap<Fingerprint, StoredEvidence> {
    let mut pauses = RetryPauses::default();
    loop {
        match gateway.platform.read_crashes().await {
            Ok(rows) => {
                let crashes: usize = rows.iter().map(|row| row.crashes.len()).sum();
                gateway.event_log.state(format_args!(
                    "read crash reports of {} requests and parts, {crashes} crashes",
                    rows.len()
                ));
                for row in &rows {
                    let ended = EndingCount {
                        fingerprint: row.fingerprint,
                        reporter: Reporter::STORED,
                        count: row.ended_attempts,
                        age: Millis::ZERO,
                    };
                    gateway.merge_crashes(&row.crashes, &[], &[ended]);
                }
                gateway.record_crashes_read();
                return rows.iter().map(|row| (row.fingerprint, evidence(row))).collect();
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
    let count = row.crashes.len();
    (count, row.ended_attempts as usize >= count)
}

/// Writes and removes changed rows, as many as one call may contain.
async fn write<P: Platform>(
    gateway: &Gateway<P>,
    stored: &mut BTreeMap<Fingerprint, StoredEvidence>,
) -> Result<Remaining, Failure> {
    let mut put: Vec<StoredCrashes> = gateway.crashes_to_store();
    put.retain(|row| stored.get(&row.fingerprint) != Some(&evidence(row)));
    put.truncate(MAX_ROWS);
    let wanted = gateway.with_crashes(|crashes| crashes.worth_storing(gateway.now()));
    let expired = stored.keys().filter(|fingerprint| !wanted.contains(fingerprint));
    let expired: Vec<Fingerprint> = expired.take(MAX_ROWS).copied().collect();
    if put.is_empty() && expired.is_empty() {
        return Ok(Remaining::Nothing);
    }
    gateway.platform.write_crashes(&put, &expired).await?;
    stored.extend(put.iter().map(|row| (row.fingerprint, evidence(row))));
    stored.retain(|fingerprint, _| !expired.contains(fingerprint));
    Ok(Remaining::More)
}
