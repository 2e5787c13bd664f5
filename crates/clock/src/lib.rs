//! Clock of a process, in milliseconds since its start; it includes time suspended.
//! Input: the operating system's boot-time clock. State: the time of the start.
//! Decides when a wait until a time of this clock ends.
//!
//! A machine can be suspended for seconds. The clock of timers does not count that time, so
//! everything that is due by that clock is late by as much: leases appear to hold, and callers
//! appear to wait. [`ProcessClock`] counts it (`CLOCK_BOOTTIME`). It waits in short sleeps, so that
//! after a suspension a waiting task notices within [`MAX_SLEEP`] that its time has come.
//!
//! Times that are measured while the process runs, such as the silence of a peer, remain with the
//! timers: a suspension of this process does not make a peer silent for longer.

use std::fmt;
use std::time::Duration;

use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tokio::time;

/// Longest single sleep of a wait. Work that became due during a suspension is noticed within this
/// time after it. Typical requests take 1 to 2 s, so most waits wake their task one extra time.
pub const MAX_SLEEP: Duration = Duration::from_millis(1_000);

/// Monotonic clock of the process, which includes time suspended.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    read: fn() -> Duration,
    start: Duration,
}

/// The time of a [`ProcessClock::timeout_at`] has passed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "deadline has elapsed")
    }
}

impl std::error::Error for Elapsed {}

impl Default for ProcessClock {
    fn default() -> Self {
        ProcessClock::with_source(since_boot)
    }
}

impl ProcessClock {
    /// A clock that starts now and reads time through `read`.
    pub fn with_source(read: fn() -> Duration) -> ProcessClock {
        ProcessClock { read, start: read() }
    }

    /// Waits until a time of this clock.
    pub async fn sleep_until(&self, at: Millis) {
        loop {
            let left = at.since(self.now());
            if left == Millis::ZERO {
                return;
            }
            time::sleep(Duration::from(left).min(MAX_SLEEP)).await;
        }
    }

    /// The output of `future`, if it completes before a time of this clock. A future that is ready
    /// when the passing of that time is noticed counts as complete.
    ///
    /// # Errors
    ///
    /// `future` did not complete in time.
    pub async fn timeout_at<F: Future>(&self, at: Millis, future: F) -> Result<F::Output, Elapsed> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.sleep_until(at) => Err(Elapsed),
        }
    }
}

impl Clock for ProcessClock {
    fn now(&self) -> Millis {
        Millis::from((self.read)().saturating_sub(self.start))
    }
}

fn since_boot() -> Duration {
    let boot_time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(boot_time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(boot_time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
