//! The delivery of one answer: from the request until the connection has written the whole answer.
//! Until it is dropped, the request counts as in flight and its connection is not idle.

use hooktrestle_core::clock::Millis;

use crate::bodies::ReservedBytes;
use crate::callers::activity::AnswerGuard;
use crate::gateway::in_flight::InFlight;
use crate::gateway::in_flight::RequestRoute;
use crate::gateway::in_flight::Stage;
use crate::platform::Platform;

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

    /// Records the route of the request once it is accepted, and `None` once it is refused.
    pub(super) fn set_route(&self, route: Option<RequestRoute>) {
        self.in_flight.set_route(route);
    }

    /// Records bytes of the answer.
    pub(super) fn record_answer_bytes(&self, bytes: usize) {
        self.in_flight.record_answer_bytes(bytes);
    }

    /// Records that the answer begins, and until when the caller waits for it.
    pub(super) fn begin_answer(&self, stage: Stage, deadline: Millis) {
        self.in_flight.begin_answer(stage, deadline);
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
