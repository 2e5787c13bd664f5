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
use hooktrestle_core::direct::serving::RouteKey;
use hooktrestle_core::direct::serving::ServingConfig;

use crate::gateway::Gateway;
use crate::platform::Platform;

/// How far the answer to a request is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Stage {
    /// It has not begun.
    #[default]
    Unanswered,
    /// It is forwarded as its server sends it.
    Forwarding,
    /// It is complete, and its caller reads it.
    Complete,
}

/// The route of a request, in the configuration with which it was admitted.
#[derive(Clone)]
pub struct RequestRoute {
    /// The configuration.
    pub serving: Rc<ServingConfig>,
    /// The route.
    pub key: RouteKey,
}

impl RequestRoute {
    /// Name of the route.
    pub fn name(&self) -> &str {
        &self.serving.route(self.key).name
    }
}

#[derive(Default)]
struct Progress {
    stage: Stage,
    /// Until when its caller waits for it, once that is known.
    deadline: Option<Millis>,
    /// Its route, unless it is refused.
    route: Option<RequestRoute>,
}

/// The requests without a complete answer.
#[derive(Default)]
pub struct InFlightRequests {
    /// By when each was received, with a number of its own.
    received: RefCell<BTreeMap<(Millis, u64), Progress>>,
    last_number: Cell<u64>,
    last_received_at: Cell<Millis>,
    /// Number of attempts at servers.
    attempts: Cell<usize>,
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

    /// When the last request was received, whether or not it has ended.
    pub fn last_received_at(&self) -> Millis {
        self.last_received_at.get()
    }

    /// When the first of those in flight on a route was received; `None` if there are none.
    pub fn first_received_at(&self, route: &str) -> Option<Millis> {
        let received = self.received.borrow();
        let mut all = received.iter();
        let is_of_route = |progress: &Progress| {
            progress.route.as_ref().is_some_and(|of_request| of_request.name() == route)
        };
        all.find(|(_, progress)| is_of_route(progress)).map(|((at, _), _)| *at)
    }

    /// What the end of a stop that began at `began_at` cuts off; `None` if there is nothing.
    pub fn cut_off(&self, began_at: Millis, now: Millis) -> Option<CutOff> {
        let received = self.received.borrow();
        let count = |is_counted: &dyn Fn(&Progress) -> bool| {
            received.values().filter(|progress| is_counted(progress)).count()
        };
        Some(CutOff {
            began_at,
            first_at: received.first_key_value()?.0.0,
            last_at: received.last_key_value()?.0.0,
            unanswered: count(&|progress| progress.stage == Stage::Unanswered),
            forwarding: count(&|progress| progress.stage == Stage::Forwarding),
            complete: count(&|progress| progress.stage == Stage::Complete),
            before_deadline: count(&|progress| progress.deadline.is_some_and(|at| at > now)),
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
    answer_bytes: Cell<usize>,
}

impl<P: Platform> InFlight<P> {
    /// Counts a request as in flight until the returned value is dropped.
    pub fn begin(gateway: &Rc<Gateway<P>>) -> InFlight<P> {
        let all = &gateway.in_flight;
        let number = all.last_number.get() + 1;
        all.last_number.set(number);
        let key = (gateway.now(), number);
        all.last_received_at.set(key.0);
        all.received.borrow_mut().insert(key, Progress::default());
        InFlight { gateway: gateway.clone(), key, answer_bytes: Cell::new(0) }
    }

    /// Records its route once it is accepted, and `None` once it is refused.
    pub fn set_route(&self, route: Option<RequestRoute>) {
        self.update(|progress| progress.route = route);
    }

    /// Records that its answer begins, and until when its caller waits for that.
    pub fn begin_answer(&self, stage: Stage, deadline: Millis) {
        self.update(|progress| {
            progress.stage = stage;
            progress.deadline = Some(deadline);
        });
    }

    /// Records bytes of its answer.
    pub fn record_answer_bytes(&self, bytes: usize) {
        self.answer_bytes.set(self.answer_bytes.get() + bytes);
    }

    fn update(&self, act: impl FnOnce(&mut Progress)) {
        if let Some(progress) = self.gateway.in_flight.received.borrow_mut().get_mut(&self.key) {
            act(progress);
        }
    }
}

impl<P: Platform> Drop for InFlight<P> {
    fn drop(&mut self) {
        let progress = self.gateway.in_flight.received.borrow_mut().remove(&self.key);
        if let Some(route) = progress.and_then(|progress| progress.route) {
            let now = self.gateway.now();
            let took = now.since(self.key.0);
            let served = Served { took, answer_bytes: self.answer_bytes.get() };
            self.gateway.record_served(route.name(), served);
        }
    }
}
