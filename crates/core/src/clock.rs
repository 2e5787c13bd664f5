//! Time in milliseconds.
//!
//! The core never reads a clock: callers pass `now` in. Times of two processes are never
//! compared; what crosses a link is a duration, or a time of the receiver's own clock.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

/// A moment, or a span, on one process's monotonic clock.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Millis(pub u64);

impl Millis {
    /// The clock's start, and the empty span.
    pub const ZERO: Millis = Millis(0);
    /// Later than any moment that occurs.
    pub const MAX: Millis = Millis(u64::MAX);

    /// The span since `earlier`; zero if `earlier` is later.
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
    /// Cut to whole milliseconds; saturates.
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

/// Where a process gets `now` from.
pub trait Clock: Clone + Send + Sync + 'static {
    /// The present moment; never goes back.
    fn now(&self) -> Millis;
}
