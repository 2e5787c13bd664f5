//! Log lines, one for each decision about a request and each change of the gateway's state.
//! Input are steps of requests and state changes; the lines of the current second are counted.
//! The log decides which lines about requests are written.
//!
//! Lines about requests are limited per second, so that many failures do not cause as many writes.
//! Dropped lines are counted, and the count is logged.

use std::cell::Cell;
use std::fmt::Arguments;

use hooktrestle_schema::RequestStep;
use spdlog::info;
use tokio::time::Instant;

/// Maximum number of lines per second about requests. A line costs some tens of microseconds of
/// a quarter of a core.
const MAX_REQUEST_LINES_PER_S: u32 = 40;

/// Log of one process.
#[derive(Debug)]
pub struct EventLog {
    window_start: Cell<Instant>,
    written: Cell<u32>,
    dropped: Cell<u32>,
}

impl Default for EventLog {
    fn default() -> Self {
        EventLog {
            window_start: Cell::new(Instant::now()),
            written: Cell::new(0),
            dropped: Cell::new(0),
        }
    }
}

impl EventLog {
    /// Logs a change of the gateway's state; always written.
    pub fn state(&self, line: Arguments<'_>) {
        info!("{line}");
    }

    /// Logs a step of a request as JSON after its identifier; dropped above the limit.
    pub fn request(&self, id: &str, step: impl Into<RequestStep>) {
        if self.window_start.get().elapsed().as_secs() >= 1 {
            let dropped = self.dropped.replace(0);
            if dropped > 0 {
                info!("{dropped} lines about requests were dropped");
            }
            self.window_start.set(Instant::now());
            self.written.set(0);
        }
        if self.written.get() >= MAX_REQUEST_LINES_PER_S {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        self.written.set(self.written.get() + 1);
        // A step has only fields that JSON can represent.
        let step = serde_json::to_string(&step.into()).unwrap_or_default();
        info!("request={id} {step}");
    }
}
