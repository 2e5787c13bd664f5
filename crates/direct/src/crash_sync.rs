//! Keeps on the platform which requests crash servers, for gateways that start later.
//!
//! Gateways tell each other of crashes; the platform's table is for the case that all of them are replaced
//! at once. Only requests that were at two crashes and more are kept there, by the gateways that saw one of
//! them: a few calls for each request that crashes servers, and none on other days but one at each start.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hooktrestle_core::direct::fingerprint::Fingerprint;
use tokio::time;

use crate::gateway::Gateway;
use crate::platform::Failure;
use crate::platform::KeptCrashes;
use crate::platform::Platform;

/// Pause after a call that failed, doubled with each further one up to the longest: the store may be away for long,
/// and refused calls are priced. What is kept is for a restart of all gateways, which mostly comes later.
const PAUSE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// Time between two looks at what is too old.
const LOOK_EVERY: Duration = Duration::from_secs(30);

/// Most rows that are written or removed at once; the store takes 100.
const MOST_ROWS: usize = 50;

/// Reads what is kept, then keeps it up to date until the process ends.
pub async fn sync_crashes<P: Platform>(gateway: Rc<Gateway<P>>) {
    // How many crashes of each request are kept, as far as this gateway knows.
    let mut eras = gateway.watch_eras();
    let mut kept: BTreeMap<Fingerprint, usize> = read(&gateway).await;
    let mut read_in = gateway.platform.store_era();
    loop {
        tokio::select! {
            () = time::sleep(LOOK_EVERY) => {}
            // What happens meanwhile leaves a permit.
            () = gateway.crashes_changed.notified() => {}
            _ = eras.wait_for(|era| *era > Some(read_in)) => {
                // The store may have lost what was written, and have again what was removed.
                if !kept.is_empty() || !gateway.crashes_to_keep().is_empty() {
                    time::sleep(gateway.turn_to_write()).await;
                    kept = read(&gateway).await;
                }
                read_in = gateway.era().unwrap_or_default();
            }
        }
        let mut pauses = Pauses::default();
        loop {
            match write(&gateway, &mut kept).await {
                Ok(Left::Nothing) => break,
                Ok(Left::More) => {}
                Err(failure) => pauses.next(&gateway, "kept", failure).await,
            }
        }
    }
}

/// Pauses between calls that fail one after the other.
#[derive(Default)]
struct Pauses {
    last: Option<Duration>,
}

impl Pauses {
    /// Logs the first failure, and waits.
    async fn next<P: Platform>(&mut self, gateway: &Gateway<P>, aim: &str, failure: Failure) {
        if self.last.is_none() {
            gateway.journal.state(format_args!("crashes are not {aim}: {failure}"));
        }
        let pause = self.last.map_or(PAUSE, |last| LONGEST_PAUSE.min(2 * last));
        self.last = Some(pause);
        time::sleep(pause).await;
    }
}

/// What is left to write.
enum Left {
    Nothing,
    More,
}

async fn read<P: Platform>(gateway: &Gateway<P>) -> BTreeMap<Fingerprint, usize> {
    let mut pauses = Pauses::default();
    loop {
        match gateway.platform.read_crashes().await {
            Ok(rows) => {
                for row in &rows {
                    gateway.take_crashes(&row.crashes, &[]);
                }
                gateway.note_crashes_read();
                return rows.iter().map(|row| (row.fingerprint, row.crashes.len())).collect();
            }
            Err(failure) => {
                // Others will tell, if they know.
                gateway.note_crashes_read();
                pauses.next(gateway, "read", failure).await;
            }
        }
    }
}

/// Writes what has changed, as much as goes at once.
async fn write<P: Platform>(
    gateway: &Gateway<P>,
    kept: &mut BTreeMap<Fingerprint, usize>,
) -> Result<Left, Failure> {
    let mut put: Vec<KeptCrashes> = gateway.crashes_to_keep();
    put.retain(|row| kept.get(&row.fingerprint) != Some(&row.crashes.len()));
    put.truncate(MOST_ROWS);
    let worth = gateway.with_crashes(|crashes| crashes.repeat_suspects(gateway.now()));
    let gone = kept.keys().filter(|fingerprint| !worth.contains(fingerprint));
    let gone: Vec<Fingerprint> = gone.take(MOST_ROWS).copied().collect();
    if put.is_empty() && gone.is_empty() {
        return Ok(Left::Nothing);
    }
    gateway.platform.write_crashes(&put, &gone).await?;
    kept.extend(put.iter().map(|row| (row.fingerprint, row.crashes.len())));
    kept.retain(|fingerprint, _| !gone.contains(fingerprint));
    Ok(Left::More)
}
