//! Log lines: one for each decision that touches a request or changes what the process believes.
//!
//! Their number a second is bounded, so that a flood of failures does not become a flood of
//! writes; what is dropped is counted, and the count is logged.

use std::cell::Cell;
use std::fmt::Arguments;

use hooktrestle_schema::RequestStep;
use spdlog::info;
use tokio::time::Instant;

/// Lines a second about requests. A line costs some tens of microseconds of a quarter of a core.
const MOST_A_SECOND: u32 = 40;

/// The log of one process.
#[derive(Debug)]
pub struct EventLog {
    since: Cell<Instant>,
    written: Cell<u32>,
    dropped: Cell<u32>,
}

impl Default for EventLog {
    fn default() -> Self {
        EventLog { since: Cell::new(Instant::now()), written: Cell::new(0), dropped: Cell::new(0) }
    }
}

impl EventLog {
    /// A change of what the process believes; always written.
    pub fn state(&self, line: Arguments<'_>) {
        info!("{line}");
    }

    /// A step of a request's way, as JSON behind its id; dropped beyond the bound.
    pub fn request(&self, id: &str, step: impl Into<RequestStep>) {
        if self.since.get().elapsed().as_secs() >= 1 {
            let dropped = self.dropped.replace(0);
            if dropped > 0 {
                info!("{dropped} lines about requests were dropped");
            }
            self.since.set(Instant::now());
            self.written.set(0);
        }
        if self.written.get() >= MOST_A_SECOND {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        self.written.set(self.written.get() + 1);
        // A step has only fields that JSON can hold.
        let step = serde_json::to_string(&step.into()).unwrap_or_default();
        info!("request={id} {step}");
    }
}
