//! The delivery of one answer: from the request until the connection has written the whole answer.
//! Until it is dropped, the request counts as in flight and its connection is not idle.

use std::rc::Rc;

use crate::bodies::ReservedBytes;
use crate::callers::activity::AnswerGuard;
use crate::gateway::in_flight::InFlight;
use crate::platform::Platform;
use crate::request_progress::RequestProgress;

/// The delivery of one answer.
pub(super) struct Delivery<P: Platform> {
    guard: AnswerGuard,
    in_flight: InFlight<P>,
    /// Memory of the answer, if it was read whole.
    memory: Option<ReservedBytes>,
}

impl<P: Platform> Delivery<P> {
    /// Begins with the request.
    pub(super) fn new(guard: AnswerGuard, in_flight: InFlight<P>) -> Delivery<P> {
        Delivery { guard, in_flight, memory: None }
    }

    /// How far the request is.
    pub(super) fn progress(&self) -> &Rc<RequestProgress> {
        self.in_flight.progress()
    }

    /// Holds the memory of the answer until it has been written.
    pub(super) fn hold(&mut self, memory: ReservedBytes) {
        self.memory = Some(memory);
    }

    /// Records that the answer was truncated.
    pub(super) fn record_truncated(&self) {
        self.guard.record_truncated();
    }
}
