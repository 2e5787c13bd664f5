//! Hands accepted configurations on from peer to peer.
//!
//! Every heartbeat and load report carries its sender's version. Whoever is behind asks, and gets
//! the snapshot in parts over the same link; so a version that one process has reaches all that are
//! linked to it within a heartbeat, and all others through them, whether the store is up or not.

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

/// Largest snapshot that is put together; one at the size aimed at is about 1 MB.
const SNAPSHOT_LIMIT_BYTES: usize = 64 << 20;

/// One link's side of it.
#[derive(Debug)]
pub(crate) struct ConfigExchange {
    config: config_sync::Watch,
    sync_task: Address<ConfigSync>,
    sender: Sender,
    requested_version: u64,
    partial: PartialSnapshot,
}

/// The parts of a snapshot so far.
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

    /// The peer has this version: asks for it, once, if it is newer.
    pub(crate) async fn request_if_newer(&mut self, version: u64) {
        let have = config_sync::version(&self.config);
        let Some(have_version) = have else { return };
        if version <= have_version || version <= self.requested_version {
            return;
        }
        self.requested_version = version;
        let ask = Frame::ConfigAsk(ConfigAskFrame { have_version });
        // A link that is lost asks again once it is back.
        let _ = self.sender.send(&ask, &[]).await;
    }

    /// The peer asks for a newer version than it has.
    pub(crate) async fn send_snapshot(&self, ask: &ConfigAskFrame) {
        let Some(in_force) = self.in_force() else { return };
        let version = in_force.config.version;
        if version <= ask.have_version {
            return;
        }
        let Ok(bytes) = serde_json::to_vec(&*in_force.snapshot) else { return };
        let sender = self.sender.clone();
        // In the background, so that a large snapshot does not hold up the reading of this link.
        tokio::spawn(async move { send_parts(&sender, version, &bytes).await });
    }

    /// A part has arrived. A snapshot that is whole goes to the keeper.
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
            // A keeper that has ended needs no news.
            Ok(snapshot) => drop(self.sync_task.send(PeerSnapshot(snapshot)).await),
            Err(error) => {
                warn!("a peer handed on a malformed configuration", kv: { error: = error.to_string().as_str() });
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
