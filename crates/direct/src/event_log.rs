//! Log lines, one for each decision about a request and each change of the gateway's state.
//! Input are steps of requests and state changes; the lines of the current second are counted.
//! The log decides which lines about requests are written.
//!
//! Lines about requests are limited per second, so that many failures do not cause as many writes.
//! Those about answers that end incomplete have a limit of their own, so that other lines do not use
//! it up. Dropped lines are counted, and the counts are logged.

use std::cell::Cell;
use std::fmt::Arguments;

use hooktrestle_schema::IncompleteStep;
use hooktrestle_schema::RequestStep;
use spdlog::info;
use tokio::time::Instant;

/// Maximum number of lines per second about requests. A line costs some tens of microseconds of
/// a quarter of a core.
const MAX_REQUEST_LINES_PER_S: u32 = 40;

/// Maximum number of lines per second about answers that end incomplete. Most of them end together:
/// with their process or with a server.
const MAX_INCOMPLETE_LINES_PER_S: u32 = 256;

/// Log of one process.
#[derive(Debug)]
pub struct EventLog {
    requests: LineLimit,
    incomplete: LineLimit,
}

impl Default for EventLog {
    fn default() -> Self {
        EventLog {
            requests: LineLimit::new("requests", MAX_REQUEST_LINES_PER_S),
            incomplete: LineLimit::new("incomplete answers", MAX_INCOMPLETE_LINES_PER_S),
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
        if self.requests.admits_line() {
            write(id, &step.into());
        }
    }

    /// Logs that the answer to a request ended incomplete; dropped above a limit for such lines alone.
    pub fn incomplete(&self, id: &str, step: impl FnOnce() -> IncompleteStep) {
        if self.incomplete.admits_line() {
            write(id, &step().into());
        }
    }

    /// Logs how many lines were dropped since the last report, if any.
    pub fn report_dropped(&self) {
        self.requests.report_dropped();
        self.incomplete.report_dropped();
    }
}

fn write(id: &str, step: &RequestStep) {
    // A step has only fields that JSON can represent.
    let step = serde_json::to_string(step).unwrap_or_default();
    info!("request={id} {step}");
}

/// Limit on the lines of one kind.
#[derive(Debug)]
struct LineLimit {
    /// What the lines are about.
    subject: &'static str,
    max_per_s: u32,
    window_start: Cell<Instant>,
    written: Cell<u32>,
    dropped: Cell<u32>,
}

impl LineLimit {
    fn new(subject: &'static str, max_per_s: u32) -> LineLimit {
        LineLimit {
            subject,
            max_per_s,
            window_start: Cell::new(Instant::now()),
            written: Cell::new(0),
            dropped: Cell::new(0),
        }
    }

    /// Whether a line may be written; counts it as written or dropped.
    fn admits_line(&self) -> bool {
        if self.window_start.get().elapsed().as_secs() >= 1 {
            self.report_dropped();
            self.window_start.set(Instant::now());
            self.written.set(0);
        }
        let is_admitted = self.written.get() < self.max_per_s;
        let count = if is_admitted { &self.written } else { &self.dropped };
        count.set(count.get() + 1);
        is_admitted
    }

    fn report_dropped(&self) {
        let dropped = self.dropped.replace(0);
        if dropped > 0 {
            info!("{dropped} lines about {} were dropped", self.subject);
        }
    }
}
