//! Whether this process stood still: paused, suspended with its machine, or without a processor.
//!
//! Nobody tells it. It finds out by its clock, which it reads all the time: between two readings lies
//! hardly a second. What it knew before is old then, what waits to be read is as old as that at most, and
//! that others were silent meanwhile says nothing of them.

use crate::clock::Millis;

/// Shortest time between two readings that counts as a standstill. A gateway reads its clock at each round of
/// news, each 0.6 s at the latest, and others wait 3 s for a heartbeat before they miss it.
pub const MIN_SUSPENSION: Millis = Millis(2_000);

/// When a process stood still last.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspensionDetector {
    read_at: Millis,
    lasted: Millis,
    ended_at: Option<Millis>,
}

impl SuspensionDetector {
    /// The clock was read.
    pub fn observe_clock(&mut self, now: Millis) {
        let gap = now.since(self.read_at);
        if self.read_at > Millis::ZERO && gap >= MIN_SUSPENSION {
            self.lasted = gap;
            self.ended_at = Some(now);
        }
        self.read_at = now;
    }

    /// How long the standstill lasted that ended less than `within` ago, if there was one.
    pub fn ended_within(&self, within: Millis, now: Millis) -> Option<Millis> {
        self.ended_at.filter(|ended_at| now.since(*ended_at) < within).map(|_| self.lasted)
    }
}
