//! Detects that this process was suspended: paused, suspended with its machine, or without a CPU.
//! Input: the times at which the process reads its clock. State: the last suspension.
//! Decides whether a suspension has ended recently, and how long it lasted.
//!
//! The process gets no notice of a suspension. It reads its clock at intervals of less than about a
//! second, so a much longer gap is a suspension. After one, the state of the process is outdated by
//! its length, pending input is at most that old, and missing messages from other processes don't
//! show that these have failed.

use crate::clock::Millis;

/// Shortest gap between two clock readings that counts as a suspension. A gateway reads its clock
/// in each gossip round, at intervals of at most 0.6 s, and other gateways miss its heartbeat after
/// 3 s.
pub const MIN_SUSPENSION: Millis = Millis(2_000);

/// The last suspension of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspensionDetector {
    last_reading_at: Millis,
    duration: Millis,
    ended_at: Option<Millis>,
}

impl SuspensionDetector {
    /// Records a clock reading.
    pub fn observe_clock(&mut self, now: Millis) {
        let gap = now.since(self.last_reading_at);
        if self.last_reading_at > Millis::ZERO && gap >= MIN_SUSPENSION {
            self.duration = gap;
            self.ended_at = Some(now);
        }
        self.last_reading_at = now;
    }

    /// Length of the last suspension, if it ended less than `within` ago.
    pub fn ended_within(&self, within: Millis, now: Millis) -> Option<Millis> {
        self.ended_at.filter(|ended_at| now.since(*ended_at) < within).map(|_| self.duration)
    }
}
