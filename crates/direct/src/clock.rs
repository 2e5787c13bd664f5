//! The process's monotonic clock, which the runtime's timers share.

use std::time::Duration;

use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use tokio::time::Instant;

/// Milliseconds since the process started.
#[derive(Clone, Copy, Debug)]
pub struct TimerClock {
    start: Instant,
}

impl Default for TimerClock {
    fn default() -> Self {
        TimerClock { start: Instant::now() }
    }
}

impl TimerClock {
    /// The moment of a time of this clock, for timers.
    pub fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::from(at)
    }
}

impl Clock for TimerClock {
    fn now(&self) -> Millis {
        Millis::from(self.start.elapsed())
    }
}
