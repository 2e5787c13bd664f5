//! The clock of a process, in milliseconds since it started.
//!
//! A machine can be suspended for seconds. The clock that timers run by does not count that time, so
//! whatever is due by it is late by as much: leases seem to hold, callers seem to wait. [`ProcessClock`]
//! counts it (`CLOCK_BOOTTIME`), and waits until a moment of its own in short pieces, so that who wakes
//! notices within [`MAX_SLEEP`].
//!
//! What is measured while the process runs, as how long a peer says nothing, stays with the timers: a peer is
//! not silent for longer because we slept.

use std::fmt;
use std::time::Duration;

use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tokio::time;

/// Longest piece of a wait. What is due while a machine is suspended is noticed so much after its waking at the
/// latest; a request of the users takes 1 to 2 s, so most waits wake a task once more.
pub const MAX_SLEEP: Duration = Duration::from_millis(1_000);

/// The process's steady clock, time asleep included.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    read: fn() -> Duration,
    start: Duration,
}

/// The moment that was waited for is past.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the time is over")
    }
}

impl std::error::Error for Elapsed {}

impl Default for ProcessClock {
    fn default() -> Self {
        ProcessClock::with_source(since_boot)
    }
}

impl ProcessClock {
    /// A clock that begins now and reads time from elsewhere.
    pub fn with_source(read: fn() -> Duration) -> ProcessClock {
        ProcessClock { read, start: read() }
    }

    /// Waits until a moment of this clock.
    pub async fn sleep_until(&self, at: Millis) {
        loop {
            let left = at.since(self.now());
            if left == Millis::ZERO {
                return;
            }
            time::sleep(Duration::from(left).min(MAX_SLEEP)).await;
        }
    }

    /// What `future` gives, if it is done before a moment of this clock, or just when that is noticed.
    ///
    /// # Errors
    ///
    /// It was not done.
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
