//! Time in milliseconds on the monotonic clock of one process.
//! Input: durations, and the time from a [`Clock`]. There is no state.
//!
//! This crate never reads a clock: its callers pass `now`. Times of two processes are never
//! compared. Messages contain durations, or times of the receiver's own clock.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

/// A time or a duration on one process's monotonic clock.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Millis(pub u64);

impl Millis {
    /// The start of the clock, and the zero duration.
    pub const ZERO: Millis = Millis(0);
    /// Later than any time that occurs.
    pub const MAX: Millis = Millis(u64::MAX);

    /// The duration since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Millis;

    /// Saturates: a deadline beyond the clock's range is never reached.
    fn add(self, span: Millis) -> Millis {
        Millis(self.0.saturating_add(span.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, span: Millis) -> Millis {
        self.since(span)
    }
}

impl From<Duration> for Millis {
    /// Truncates to whole milliseconds; saturates.
    fn from(span: Duration) -> Millis {
        Millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

impl From<Millis> for Duration {
    fn from(span: Millis) -> Duration {
        Duration::from_millis(span.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// A source of the current time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// The current time; never decreases.
    fn now(&self) -> Millis;
}
