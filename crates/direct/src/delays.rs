//! Delays of the tasks of this process, which all run on one thread.
//! Input: times at which a wait began, and how long it was to last. State: the begin of one wait.
//! Decides whether the wait lasted longer than it should have, and how much of that time this
//! process ran: without that, a task that holds the thread looks like a machine that is busy.

use std::fmt;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tokio::time::Instant;

/// Shortest delay that is reported.
const MIN_DELAY: Duration = Duration::from_millis(250);

/// A wait that has begun.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    ends_at: Instant,
    processor_time: Duration,
}

/// A delay of all tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Delay {
    /// How much later than planned the wait ended.
    pub lasted: Duration,
    /// Processor time that this process used from the begin of the wait.
    pub processor_time: Duration,
}

impl Wait {
    /// A wait that begins now and is to last this long.
    pub fn begin(planned: Duration) -> Wait {
        Wait { ends_at: Instant::now() + planned, processor_time: processor_time() }
    }

    /// The delay of a wait that ends now, unless it is short.
    pub fn end(self) -> Option<Delay> {
        let lasted = self.ends_at.elapsed();
        let used = processor_time().saturating_sub(self.processor_time);
        (lasted >= MIN_DELAY).then_some(Delay { lasted, processor_time: used })
    }
}

impl fmt::Display for Delay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Delay { lasted, processor_time } = self;
        let (lasted_ms, used_ms) = (lasted.as_millis(), processor_time.as_millis());
        write!(f, "all tasks were delayed by {lasted_ms} ms, this process ran for {used_ms} ms")
    }
}

fn processor_time() -> Duration {
    let used = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(used.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(used.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
