//! Transfers accepted configurations between the two processes of a link. Its input is the versions
//! that the peer reports and the frames of the transfer; its state is the version requested last
//! and the parts received so far. It decides when to request a snapshot, and when one is complete.
//!
//! Each heartbeat and load report contains the sender's version. A process with an older version
//! requests the snapshot and receives it in parts over the same link. A version that one process
//! has therefore reaches all processes linked to it within a heartbeat, and the others through
//! these, also while the store is down.

use hooktrestle_link::Sender;
use hooktrestle_schema::ConfigAskFrame;
use hooktrestle_schema::ConfigPartFrame;
use hooktrestle_schema::Frame;
use spdlog::warn;
use xtra::Address;

use crate::config_sync;
use crate::config_sync::ConfigSync;
use crate::config_sync::InForce;
use crate::config_sync::PeerSnapshot;

/// Bytes of a snapshot in one frame.
const PART_BYTES: usize = 64 * 1024;

/// Maximum size of a received snapshot. A snapshot for a fleet of the target size is about 1 MB.
const SNAPSHOT_LIMIT_BYTES: usize = 64 << 20;

/// State of the transfers over one link, at one end.
#[derive(Debug)]
pub(crate) struct ConfigExchange {
    config: config_sync::Watch,
    sync_task: Address<ConfigSync>,
    sender: Sender,
    requested_version: u64,
    partial: PartialSnapshot,
}

/// The parts of a snapshot received so far.
#[derive(Debug, Default)]
struct PartialSnapshot {
    version: u64,
    next_part: u32,
    bytes: Vec<u8>,
}

impl ConfigExchange {
    pub(crate) fn new(
        config: config_sync::Watch,
        sync_task: Address<ConfigSync>,
        sender: Sender,
    ) -> ConfigExchange {
        ConfigExchange {
            config,
            sync_task,
            sender,
            requested_version: 0,
            partial: PartialSnapshot::default(),
        }
    }

    /// Handles the peer's version: requests the snapshot if it is newer and not yet requested.
    pub(crate) async fn request_if_newer(&mut self, version: u64) {
        let have = config_sync::version(&self.config);
        let Some(have_version) = have else { return };
        if version <= have_version || version <= self.requested_version {
            return;
        }
        self.requested_version = version;
        let ask = Frame::ConfigAsk(ConfigAskFrame { have_version });
        // An error means that the link is lost. The next link requests the snapshot again.
        let _ = self.sender.send(&ask, &[]).await;
    }

    /// Handles a request of the peer: sends the snapshot in force if it is newer than the peer's.
    pub(crate) async fn send_snapshot(&self, ask: &ConfigAskFrame) {
        let Some(in_force) = self.in_force() else { return };
        let version = in_force.config.version;
        if version <= ask.have_version {
            return;
        }
        let Ok(bytes) = serde_json::to_vec(&*in_force.snapshot) else { return };
        let sender = self.sender.clone();
        // A task of its own, so that a large snapshot does not delay reading from this link.
        tokio::spawn(async move { send_parts(&sender, version, &bytes).await });
    }

    /// Handles a part of a snapshot. A complete snapshot is sent to [`ConfigSync`].
    pub(crate) async fn add_part(&mut self, part: &ConfigPartFrame, payload: &[u8]) {
        if part.part == 0 {
            self.partial = PartialSnapshot { version: part.version, ..PartialSnapshot::default() };
        }
        let partial = &mut self.partial;
        let fits = partial.bytes.len() + payload.len() <= SNAPSHOT_LIMIT_BYTES;
        if part.version != partial.version || part.part != partial.next_part || !fits {
            self.partial = PartialSnapshot::default();
            return;
        }
        partial.bytes.extend_from_slice(payload);
        partial.next_part += 1;
        if partial.next_part < part.parts {
            return;
        }
        let complete = std::mem::take(&mut self.partial);
        match serde_json::from_slice(&complete.bytes) {
            // An error means that `ConfigSync` has ended.
            Ok(snapshot) => drop(self.sync_task.send(PeerSnapshot(snapshot)).await),
            Err(error) => {
                warn!("malformed configuration from a peer", kv: { error: = error.to_string().as_str() });
            }
        }
    }

    fn in_force(&self) -> Option<InForce> {
        self.config.borrow().clone()
    }
}

async fn send_parts(sender: &Sender, version: u64, bytes: &[u8]) {
    let parts = u32::try_from(bytes.len().div_ceil(PART_BYTES)).unwrap_or(u32::MAX);
    for (part, payload) in (0..).zip(bytes.chunks(PART_BYTES)) {
        let frame = Frame::ConfigPart(ConfigPartFrame { version, part, parts });
        if sender.send(&frame, payload).await.is_err() {
            return;
        }
    }
}
