//! The process's monotonic clock.

use std::time::Instant;

use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;

/// Milliseconds since the process started.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl Default for MonotonicClock {
    fn default() -> Self {
        MonotonicClock { start: Instant::now() }
    }
}

impl Clock for MonotonicClock {
    fn now(&self) -> Millis {
        Millis::from(self.start.elapsed())
    }
}
