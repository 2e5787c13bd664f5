//! The requests of a gateway that have no complete answer yet.
//! Input: the beginning, the stages and the end of each request. State: when each of them was
//! received, and how far its answer is.
//! Tells a planned stop how many there are, which of them its end cuts off, and how many attempts
//! are at servers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::service_times::Served;
use hooktrestle_schema::AnswerStage;
use http::HeaderValue;

use crate::gateway::Gateway;
use crate::platform::Platform;
use crate::request_progress::RequestProgress;

/// The requests without a complete answer.
#[derive(Default)]
pub struct InFlightRequests {
    /// By when each was received, with a number of its own.
    received: RefCell<BTreeMap<(Millis, u64), Rc<RequestProgress>>>,
    last_number: Cell<u64>,
    last_received_at: Cell<Millis>,
    /// Number of attempts at servers.
    attempts: Cell<usize>,
    /// Number of transfers of answers so far.
    transfers: Rc<Cell<u64>>,
}

impl InFlightRequests {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.received.borrow().len()
    }

    /// Number of attempts at servers: less than the requests if some of these wait in this process.
    pub fn attempts(&self) -> usize {
        self.attempts.get()
    }

    /// Records the begin of an attempt at a server.
    pub fn begin_attempt(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// Records the end of an attempt at a server.
    pub fn end_attempt(&self) {
        self.attempts.set(self.attempts.get() - 1);
    }

    /// How often a part of an answer was received from a server or written to a caller.
    pub fn transfers(&self) -> u64 {
        self.transfers.get()
    }

    /// Records that a part of an answer was written to a caller.
    pub fn record_written(&self) {
        self.transfers.update(|count| count + 1);
    }

    /// When the last request was received, whether or not it has ended.
    pub fn last_received_at(&self) -> Millis {
        self.last_received_at.get()
    }

    /// When the first of those in flight on a route was received; `None` if there are none.
    pub fn first_received_at(&self, route: &str) -> Option<Millis> {
        let received = self.received.borrow();
        let mut all = received.iter();
        all.find(|(_, request)| request.is_on_route(route)).map(|((at, _), _)| *at)
    }

    /// All of them: first those whose answers are forwarded, then complete ones, then those without
    /// an answer; of each kind the first received one first.
    pub fn by_stage(&self) -> Vec<Rc<RequestProgress>> {
        let mut all: Vec<_> = self.received.borrow().values().cloned().collect();
        all.sort_by_key(|request| match request.stage() {
            AnswerStage::Forwarding => 0,
            AnswerStage::Complete => 1,
            AnswerStage::Unanswered => 2,
        });
        all
    }

    /// What the end of a stop that began at `began_at` cuts off; `None` if there is nothing.
    pub fn cut_off(&self, began_at: Millis, now: Millis) -> Option<CutOff> {
        let received = self.received.borrow();
        let count = |is_counted: &dyn Fn(&RequestProgress) -> bool| {
            received.values().filter(|request| is_counted(request)).count()
        };
        let has_begun = |request: &RequestProgress| request.stage() != AnswerStage::Unanswered;
        Some(CutOff {
            began_at,
            first_at: received.first_key_value()?.0.0,
            last_at: received.last_key_value()?.0.0,
            unanswered: count(&|request| request.stage() == AnswerStage::Unanswered),
            forwarding: count(&|request| request.stage() == AnswerStage::Forwarding),
            complete: count(&|request| request.stage() == AnswerStage::Complete),
            before_deadline: count(&|request| {
                has_begun(request) && request.deadline().is_some_and(|at| at > now)
            }),
        })
    }
}

/// The requests that the end of a stop cuts off, for a log line.
#[derive(Clone, Copy, Debug)]
pub struct CutOff {
    began_at: Millis,
    /// When the first and the last of them were received.
    first_at: Millis,
    last_at: Millis,
    /// Number of those without an answer, with one that is forwarded, and with a complete one.
    unanswered: usize,
    forwarding: usize,
    complete: usize,
    /// Number of those whose answer has begun, and whose callers still wait for it.
    before_deadline: usize,
}

impl fmt::Display for CutOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CutOff { began_at, first_at, last_at, .. } = *self;
        let after = |at: Millis| at.0.cast_signed() - began_at.0.cast_signed();
        write!(
            f,
            "requests cut off by the end of the stop: {} without an answer, {} with one that is \
             forwarded, {} with a complete one, {} of these before their deadline; received {} to {} \
             ms after its start",
            self.unanswered,
            self.forwarding,
            self.complete,
            self.before_deadline,
            after(first_at),
            after(last_at)
        )
    }
}

/// A request without a complete answer.
pub struct InFlight<P: Platform> {
    gateway: Rc<Gateway<P>>,
    key: (Millis, u64),
    progress: Rc<RequestProgress>,
}

impl<P: Platform> InFlight<P> {
    /// Counts a request with this id as in flight until the returned value is dropped.
    pub fn begin(gateway: &Rc<Gateway<P>>, id: Option<HeaderValue>) -> InFlight<P> {
        let all = &gateway.in_flight;
        let number = all.last_number.get() + 1;
        all.last_number.set(number);
        let key = (gateway.now(), number);
        all.last_received_at.set(key.0);
        let progress = Rc::new(RequestProgress::new(id, key.0, all.transfers.clone()));
        all.received.borrow_mut().insert(key, progress.clone());
        InFlight { gateway: gateway.clone(), key, progress }
    }

    /// How far it is.
    pub fn progress(&self) -> &Rc<RequestProgress> {
        &self.progress
    }
}

impl<P: Platform> Drop for InFlight<P> {
    fn drop(&mut self) {
        self.gateway.in_flight.received.borrow_mut().remove(&self.key);
        if let Some(route) = self.progress.route() {
            let now = self.gateway.now();
            let took = now.since(self.key.0);
            let served = Served { took, answer_bytes: self.progress.answer_bytes() };
            self.gateway.record_served(route.name(), served);
        }
    }
}
