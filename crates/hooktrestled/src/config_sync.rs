//! Keeps a process at the newest accepted configuration.
//!
//! An actor looks at the head row now and then; peers that are ahead hand their snapshot on over
//! the links (see [`crate::config_exchange`]), so that an outage right after an acceptance does not keep it
//! from the fleet. What is published only ever grows.
//!
//! A process that has just started takes its first configuration from the table only: peers that
//! are cut off could hand it one that the process before it had left behind.

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

/// A configuration as published: the arenas, and the snapshot that they were built from.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Checked, in arenas.
    pub config: Arc<Config>,
    /// As accepted.
    pub snapshot: Arc<Snapshot>,
}

/// The configuration in force here; `None` until the first is known.
pub type Watch = watch::Receiver<Option<InForce>>;

/// The version in force; `None` before the first.
pub(crate) fn version(watch: &Watch) -> Option<u64> {
    watch.borrow().as_ref().map(|in_force| in_force.config.version)
}

/// The actor.
#[derive(Debug, xtra::Actor)]
pub struct ConfigSync {
    platform: Platform,
    published: watch::Sender<Option<InForce>>,
}

/// Look at the head row now.
#[derive(Clone, Copy, Debug)]
pub struct Poll;

/// A peer has handed on an accepted snapshot.
#[derive(Clone, Debug)]
pub struct PeerSnapshot(pub Snapshot);

/// Starts the actor and its polling; it ends with the last address.
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

/// Reads the head row; `None` if nothing has been accepted yet.
///
/// # Errors
///
/// An outage, or a row that is no head.
pub async fn read_head(platform: &Platform) -> Result<Option<(ConfigHead, u64)>> {
    let Some(row) = platform.row(CONFIG, HEAD).await? else { return Ok(None) };
    let head = serde_json::from_value(row.value).wrap_err("the head row is malformed")?;
    Ok(Some((head, row.version)))
}

/// Reads the snapshot behind a head row, and checks that it is that one.
///
/// # Errors
///
/// An outage, or an object that is missing or not the one that was accepted.
pub async fn read_snapshot(platform: &Platform, head: &ConfigHead) -> Result<Snapshot> {
    let bytes = platform.object(&head.object_key).await?;
    let bytes = bytes.ok_or_else(|| eyre!("object {} is missing", head.object_key))?;
    let digest = hex::encode(Sha256::digest(&bytes));
    ensure!(digest == head.sha256_hex, "object {} is not the accepted one", head.object_key);
    let snapshot: Snapshot = serde_json::from_slice(&bytes)?;
    ensure!(snapshot.version == head.version, "object {} has another version", head.object_key);
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
            warn!("cannot look for a new configuration", kv: { error: = error.to_string().as_str() });
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
            warn!("a peer handed on a bad configuration", kv: { error: = error.to_string().as_str() });
        }
    }
}
