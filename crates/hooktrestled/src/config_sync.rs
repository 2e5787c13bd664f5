//! An actor that follows the newest accepted configuration. Its input is the head row, which it
//! polls, and the snapshots that peers send; its state is the configuration in force. It decides
//! which configuration is published in the process. The published version never decreases.
//!
//! Peers with a newer version send their snapshot over the links (see [`crate::config_exchange`]),
//! so that an outage of the store right after an acceptance does not withhold the configuration
//! from the fleet.
//!
//! A process that has just started reads its first configuration from the store only. A peer
//! without access to the store could send a version older than the one that the previous process of
//! this instance had in force.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use eyre::WrapErr;
use eyre::ensure;
use eyre::eyre;
use hooktrestle_core::config::Config;
use hooktrestle_core::rows::CONFIG;
use hooktrestle_core::rows::HEAD;
use hooktrestle_platform::Platform;
use hooktrestle_schema::ConfigHead;
use hooktrestle_schema::Snapshot;
use sha2::Digest;
use sha2::Sha256;
use spdlog::info;
use spdlog::warn;
use tokio::sync::watch;
use tokio::time::sleep;
use xtra::Address;
use xtra::Context;
use xtra::Handler;
use xtra::Mailbox;

use crate::poll::jittered;

/// A published configuration.
#[derive(Clone, Debug)]
pub struct InForce {
    /// The checked configuration, in arenas.
    pub config: Arc<Config>,
    /// The accepted snapshot that `config` was built from.
    pub snapshot: Arc<Snapshot>,
}

/// Receiver of the configuration in force; `None` before the first.
pub type Watch = watch::Receiver<Option<InForce>>;

/// The version in force; `None` before the first.
pub(crate) fn version(watch: &Watch) -> Option<u64> {
    watch.borrow().as_ref().map(|in_force| in_force.config.version)
}

/// The actor that follows the configuration.
#[derive(Debug, xtra::Actor)]
pub struct ConfigSync {
    platform: Platform,
    published: watch::Sender<Option<InForce>>,
}

/// Polls the head row once.
#[derive(Clone, Copy, Debug)]
pub struct Poll;

/// An accepted snapshot that a peer sent.
#[derive(Clone, Debug)]
pub struct PeerSnapshot(pub Snapshot);

/// Starts the actor and its polling. Both end when the last address is dropped.
pub fn start(platform: Platform, poll: Duration) -> (Address<ConfigSync>, Watch) {
    let (published, watch) = watch::channel(None);
    let sync_task = ConfigSync { platform, published };
    let address = xtra::spawn_tokio(sync_task, Mailbox::unbounded());
    let weak = address.downgrade();
    tokio::spawn(async move {
        while let Some(address) = weak.try_upgrade() {
            if address.send(Poll).await.is_err() {
                return;
            }
            drop(address);
            sleep(jittered(poll)).await;
        }
    });
    (address, watch)
}

/// Reads the head row and its version; `None` if no configuration has been accepted yet.
///
/// # Errors
///
/// The table cannot be read, or the row is malformed.
pub async fn read_head(platform: &Platform) -> Result<Option<(ConfigHead, u64)>> {
    let Some(row) = platform.row(CONFIG, HEAD).await? else { return Ok(None) };
    let head = serde_json::from_value(row.value).wrap_err("the head row is malformed")?;
    Ok(Some((head, row.version)))
}

/// Reads the snapshot that a head row names, and checks its digest and version.
///
/// # Errors
///
/// The object cannot be read, is missing, or differs from the accepted one.
pub async fn read_snapshot(platform: &Platform, head: &ConfigHead) -> Result<Snapshot> {
    let bytes = platform.object(&head.object_key).await?;
    let bytes = bytes.ok_or_else(|| eyre!("object {} is missing", head.object_key))?;
    let digest = hex::encode(Sha256::digest(&bytes));
    ensure!(
        digest == head.sha256_hex,
        "object {}: its SHA-256 differs from the head row's",
        head.object_key
    );
    let snapshot: Snapshot = serde_json::from_slice(&bytes)?;
    ensure!(
        snapshot.version == head.version,
        "object {}: its version differs from the head row's",
        head.object_key
    );
    Ok(snapshot)
}

impl ConfigSync {
    fn version(&self) -> Option<u64> {
        self.published.borrow().as_ref().map(|in_force| in_force.config.version)
    }

    async fn fetch_newest(&mut self) -> Result<()> {
        let Some((head, _)) = read_head(&self.platform).await? else { return Ok(()) };
        if self.version().is_some_and(|version| version >= head.version) {
            return Ok(());
        }
        let snapshot = read_snapshot(&self.platform, &head).await?;
        self.publish(snapshot)
    }

    fn publish(&mut self, snapshot: Snapshot) -> Result<()> {
        let config = Config::check(&snapshot).map_err(|faults| eyre!("{faults:?}"))?;
        let version = config.version;
        let in_force = InForce { config: Arc::new(config), snapshot: Arc::new(snapshot) };
        self.published.send_if_modified(|published| {
            let newer = published.as_ref().is_none_or(|old| old.config.version < version);
            if newer {
                *published = Some(in_force);
            }
            newer
        });
        info!("configuration in force", kv: { version });
        Ok(())
    }
}

impl Handler<Poll> for ConfigSync {
    type Return = ();

    async fn handle(&mut self, _: Poll, _: &mut Context<Self>) {
        if let Err(error) = self.fetch_newest().await {
            warn!("cannot poll the configuration", kv: { error: = error.to_string().as_str() });
        }
    }
}

impl Handler<PeerSnapshot> for ConfigSync {
    type Return = ();

    async fn handle(&mut self, offered: PeerSnapshot, _: &mut Context<Self>) {
        if self.version().is_none_or(|version| version >= offered.0.version) {
            return;
        }
        if let Err(error) = self.publish(offered.0) {
            warn!("invalid configuration from a peer", kv: { error: = error.to_string().as_str() });
        }
    }
}
