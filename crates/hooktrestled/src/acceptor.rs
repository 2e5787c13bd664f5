//! Accepts the operators' edits as the next configuration. Its input is the rows and the head row
//! of the store; its state is the revision up to which edits had no effect. [`acceptance::merge`]
//! decides which edits take effect; the acceptor stores the result.
//!
//! Every gateway runs an acceptor, without a leader. The transaction is conditional on the head
//! row, so one of several concurrent acceptors commits, and the others start again from the new
//! head.

use std::collections::BTreeMap;
use std::time::Duration;

use eyre::Result;
use hooktrestle_core::acceptance;
use hooktrestle_core::acceptance::Outcome;
use hooktrestle_core::rows::CONFIG;
use hooktrestle_core::rows::HEAD;
use hooktrestle_core::rows::ROW_ERRORS;
use hooktrestle_core::rows::ROWS;
use hooktrestle_platform::Platform;
use hooktrestle_schema::ConfigHead;
use hooktrestle_schema::RowCheck;
use hooktrestle_schema::RowError;
use hooktrestle_schema::RowWrite;
use hooktrestle_schema::Snapshot;
use hooktrestle_schema::TableRow;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;
use spdlog::info;
use spdlog::warn;
use tokio::time::sleep;
use xtra::Address;

use crate::config_sync::ConfigSync;
use crate::config_sync::Poll;
use crate::config_sync::read_head;
use crate::config_sync::read_snapshot;
use crate::directory;
use crate::poll::jittered;

/// Result of one poll of the rows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Accepted {
    /// There are no edits, or none that changes the configuration.
    Nothing,
    /// This version was accepted, and is in force from now on.
    Version(u64),
    /// Another acceptor has changed the head row first.
    Raced,
}

/// Number of gateways up to which each polls at the interval of the settings. In a larger fleet,
/// the interval grows with the number, so that the load on the table does not.
const GATEWAYS_AT_FULL_POLL_RATE: u32 = 8;

/// Polls for edits and accepts them. Returns only if the [`ConfigSync`] actor has ended.
pub async fn run(
    platform: Platform,
    sync_task: Address<ConfigSync>,
    directory: directory::Watch,
    poll: Duration,
) {
    let mut acceptor = Acceptor::new(platform);
    loop {
        match acceptor.accept().await {
            Ok(Accepted::Nothing) => {}
            Ok(Accepted::Raced) => continue,
            Ok(Accepted::Version(version)) => {
                info!("configuration accepted", kv: { version });
                if sync_task.send(Poll).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                warn!("cannot accept edits", kv: { error: = error.to_string().as_str() });
            }
        }
        let gateways =
            u32::try_from(directory::live_gateway_count(&directory.borrow())).unwrap_or(u32::MAX);
        sleep(jittered(poll * gateways.div_ceil(GATEWAYS_AT_FULL_POLL_RATE).max(1))).await;
    }
}

/// Accepts edits.
#[derive(Debug)]
pub struct Acceptor {
    platform: Platform,
    /// Edits up to this revision were checked, and had no effect.
    checked_revision: u64,
}

/// The head row's content and version, and its snapshot.
#[derive(Debug)]
struct Base {
    head: ConfigHead,
    row_version: u64,
    snapshot: Snapshot,
}

impl Acceptor {
    /// An acceptor that has read no edits yet.
    pub fn new(platform: Platform) -> Acceptor {
        Acceptor { platform, checked_revision: 0 }
    }

    /// Polls the rows once, and accepts the edits.
    ///
    /// # Errors
    ///
    /// The store is unavailable. If the transaction itself failed, the edits may have been
    /// accepted; the next poll detects that.
    pub async fn accept(&mut self) -> Result<Accepted> {
        let head = read_head(&self.platform).await?;
        let since = head.as_ref().map_or(0, |(head, _)| head.rows_revision);
        let scan = self.platform.rows(ROWS, since.max(self.checked_revision)).await?;
        if scan.rows.is_empty() {
            return Ok(Accepted::Nothing);
        }
        let base = self.base(head).await?;
        let edits = self.edits(since, &scan.rows).await?;
        let outcome = acceptance::merge(&base.snapshot, &edits);
        let known = self.platform.rows(ROW_ERRORS, 0).await?.rows;
        let error_writes = error_writes(&outcome, &edits, &known);
        if !outcome.changed && error_writes.is_empty() {
            self.checked_revision = scan.revision;
            return Ok(Accepted::Nothing);
        }
        self.commit(base, outcome, error_writes, scan.revision).await
    }

    async fn base(&self, head: Option<(ConfigHead, u64)>) -> Result<Base> {
        match head {
            Some((head, row_version)) => {
                let snapshot = read_snapshot(&self.platform, &head).await?;
                Ok(Base { head, row_version, snapshot })
            }
            None => {
                let head = ConfigHead {
                    version: 0,
                    object_key: String::new(),
                    sha256_hex: String::new(),
                    rows_revision: 0,
                };
                Ok(Base { head, row_version: 0, snapshot: acceptance::empty() })
            }
        }
    }

    /// All edits since the head, and those that the head left out: their fault may have been
    /// corrected in another row.
    async fn edits(&self, since: u64, newest: &[TableRow]) -> Result<Vec<TableRow>> {
        let mut edits: BTreeMap<String, TableRow> = BTreeMap::new();
        for error in self.platform.rows(ROW_ERRORS, 0).await?.rows {
            if !error.value.is_null()
                && let Some(row) = self.platform.row(ROWS, &error.key).await?
            {
                edits.insert(row.key.clone(), row);
            }
        }
        for row in self.platform.rows(ROWS, since).await?.rows {
            edits.insert(row.key.clone(), row);
        }
        for row in newest {
            edits.insert(row.key.clone(), row.clone());
        }
        Ok(edits.into_values().collect())
    }

    async fn commit(
        &mut self,
        base: Base,
        outcome: Outcome,
        error_writes: Vec<RowWrite>,
        rows_revision: u64,
    ) -> Result<Accepted> {
        let (head, version) = if outcome.changed {
            (self.store(&outcome.snapshot, rows_revision).await?, outcome.snapshot.version)
        } else {
            (ConfigHead { rows_revision, ..base.head.clone() }, base.head.version)
        };
        let check =
            RowCheck { table: CONFIG.to_owned(), key: HEAD.to_owned(), version: base.row_version };
        let value = serde_json::to_value(head)?;
        let mut writes = error_writes;
        writes.push(RowWrite { table: CONFIG.to_owned(), key: HEAD.to_owned(), value });
        match self.platform.transact(vec![check], writes).await {
            Ok(_) if outcome.changed => Ok(Accepted::Version(version)),
            Ok(_) => Ok(Accepted::Nothing),
            Err(error) if error.conflicts().is_some() => Ok(Accepted::Raced),
            Err(error) => Err(error.into()),
        }
    }

    async fn store(&self, snapshot: &Snapshot, rows_revision: u64) -> Result<ConfigHead> {
        let bytes = serde_json::to_vec(snapshot)?;
        let sha256_hex = hex::encode(Sha256::digest(&bytes));
        // Concurrent acceptors of one version write objects under different keys, so neither
        // overwrites the object of the other.
        let object_key = format!("config/{}-{}", snapshot.version, &sha256_hex[..16]);
        self.platform.put_object(&object_key, bytes).await?;
        Ok(ConfigHead { version: snapshot.version, object_key, sha256_hex, rows_revision })
    }
}

/// Writes that update the error rows: new faults are added, corrected faults are deleted.
fn error_writes(outcome: &Outcome, edits: &[TableRow], known: &[TableRow]) -> Vec<RowWrite> {
    let mut writes = Vec::new();
    let table = || ROW_ERRORS.to_owned();
    for (row, message) in &outcome.faults {
        let key = row.to_string();
        let edit = edits.iter().find(|edit| edit.key == key);
        let row_version = edit.map_or(0, |edit| edit.version);
        let error = RowError { row_version, message: message.clone() };
        let value = serde_json::to_value(error).unwrap_or(Value::Null);
        let stored = known.iter().any(|known| known.key == key && known.value == value);
        if !stored {
            writes.push(RowWrite { table: table(), key, value });
        }
    }
    for row in known.iter().filter(|row| !row.value.is_null()) {
        let faulty = outcome.faults.keys().any(|fault| fault.to_string() == row.key);
        if !faulty {
            writes.push(RowWrite { table: table(), key: row.key.clone(), value: Value::Null });
        }
    }
    writes
}
