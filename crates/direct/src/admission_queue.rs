//! The admission queue of a service: takes requests for streams, and admits, queues or refuses
//! them. Its state is the service's [`Admission`], which decides, and the queued requests.
//!
//! Queued requests are ordered by priority, then by deadline. The first one is admitted as soon as
//! there is room. A caller that retries after a refusal has less time left until its deadline, so
//! its request precedes new requests of the same priority.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use hooktrestle_clock::ProcessClock;
use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::admission;
use hooktrestle_core::direct::admission::Admission;
use hooktrestle_core::direct::admission::Decision;
use hooktrestle_core::direct::admission::LatencyObjective;
use hooktrestle_core::direct::room::view::StreamSummary;
use tokio::sync::oneshot;

/// Order of queued requests: priority, deadline, then order of arrival.
type QueueKey = (u8, Millis, u64);

/// The admission queue of one service.
#[derive(Debug)]
pub struct AdmissionQueue {
    clock: ProcessClock,
    admission: RefCell<Admission>,
    waiting: RefCell<BTreeMap<QueueKey, (LatencyObjective, oneshot::Sender<AdmittedStream>)>>,
    arrivals: Cell<u64>,
}

/// A request for a stream, before it is admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Latency objective of its route and service.
    pub objective: LatencyObjective,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Deadline of the request.
    pub deadline: Millis,
    /// When its first event is due by the latency objective.
    pub first_event_due: Millis,
    /// Fraction of the service's slots in use.
    pub busy_fraction: f64,
}

impl AdmissionQueue {
    /// An empty queue with no admitted streams.
    pub fn new(clock: ProcessClock) -> Rc<AdmissionQueue> {
        Rc::new(AdmissionQueue {
            clock,
            admission: RefCell::new(Admission::new(admission::Config::default())),
            waiting: RefCell::default(),
            arrivals: Cell::new(0),
        })
    }

    /// Admits a stream, at once or after a wait in the queue.
    ///
    /// # Errors
    ///
    /// The wait would be too long for its objective; the caller may retry after the returned time.
    pub async fn admit(
        self: &Rc<Self>,
        request: AdmissionRequest,
    ) -> Result<AdmittedStream, Millis> {
        let now = self.clock.now();
        let left_ms = request.first_event_due.since(now).0 as f64;
        let decision = self.admission.borrow_mut().decide(
            request.objective,
            left_ms,
            request.busy_fraction,
            now,
        );
        match decision {
            Decision::Admitted => return Ok(AdmittedStream::new(self.clone(), now)),
            Decision::Refused(after) => return Err(after),
            Decision::Waits => {}
        }
        let (sender, mut receiver) = oneshot::channel();
        let number = self.arrivals.replace(self.arrivals.get() + 1);
        let key = (request.priority, request.deadline, number);
        self.waiting.borrow_mut().insert(key, (request.objective, sender));
        let _queued = QueuedRequest { queue: self, key };
        self.admission.borrow_mut().wait_began();
        let first_ms = self.admission.borrow().first_ms();
        let wait_until = Millis(request.first_event_due.0.saturating_sub(first_ms as u64));
        tokio::select! {
            stream = &mut receiver => if let Ok(stream) = stream { return Ok(stream) },
            () = self.clock.sleep_until(wait_until) => {}
        }
        // The wait took longer than estimated. The request is sent while its first event can still
        // be in time.
        Ok(AdmittedStream::new(self.clone(), self.clock.now()))
    }

    /// Admits a stream that the level of all gateways admits.
    pub fn admit_at_once(self: &Rc<Self>) -> AdmittedStream {
        AdmittedStream::new(self.clone(), self.clock.now())
    }

    /// The admitted streams, with their means.
    pub fn summary(&self) -> StreamSummary {
        self.admission.borrow().summary()
    }

    /// Admits all queued requests, so that they are refused at once if no server accepts requests.
    pub fn admit_all(self: &Rc<Self>) {
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        let now = self.clock.now();
        for (_, sender) in waiting.into_values() {
            // If the receiver is gone, dropping the stream undoes its admission.
            drop(sender.send(AdmittedStream::new(self.clone(), now)));
        }
    }

    /// Admits queued requests as far as there is room.
    fn admit_waiting(self: &Rc<Self>) {
        let now = self.clock.now();
        loop {
            let mut waiting = self.waiting.borrow_mut();
            let Some(first) = waiting.first_entry() else { return };
            if !self.admission.borrow().has_room(first.get().0, now) {
                return;
            }
            let (_, sender) = first.remove();
            drop(waiting);
            // If the receiver is gone, dropping the stream undoes its admission.
            drop(sender.send(AdmittedStream::new(self.clone(), now)));
        }
    }
}

/// A request in the queue; dropping it removes it from the queue.
struct QueuedRequest<'a> {
    queue: &'a AdmissionQueue,
    key: QueueKey,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.queue.waiting.borrow_mut().remove(&self.key);
        self.queue.admission.borrow_mut().wait_ended();
    }
}

/// An admitted stream; dropping it records its end and admits queued requests.
#[derive(Debug)]
pub struct AdmittedStream {
    queue: Rc<AdmissionQueue>,
    admitted_at: Millis,
    last_event_at: Option<Millis>,
    /// Whether the stream has left the server on which it began.
    moved: bool,
}

impl AdmittedStream {
    fn new(queue: Rc<AdmissionQueue>, now: Millis) -> AdmittedStream {
        queue.admission.borrow_mut().began();
        AdmittedStream { queue, admitted_at: now, last_event_at: None, moved: false }
    }

    /// Records an event of the stream and returns the time since the previous one.
    pub fn record_event(&mut self) -> Option<Millis> {
        let now = self.queue.clock.now();
        let pause = self.last_event_at.replace(now).map(|last| now.since(last));
        let mut admission = self.queue.admission.borrow_mut();
        match pause {
            Some(pause) => admission.record_pass(pause.0 as f64, now),
            None if !self.moved => {
                admission.record_first_event(now.since(self.admitted_at).0 as f64)
            }
            None => {}
        }
        drop(admission);
        self.queue.admit_waiting();
        pause
    }

    /// Records that the stream moves to another server: the next pause is not the length of a pass.
    pub fn moved(&mut self) {
        self.moved = true;
        self.last_event_at = None;
    }
}

impl Drop for AdmittedStream {
    fn drop(&mut self) {
        let duration_ms = self.queue.clock.now().since(self.admitted_at).0 as f64;
        self.queue
            .admission
            .borrow_mut()
            .ended(self.last_event_at.is_some().then_some(duration_ms));
        self.queue.admit_waiting();
    }
}
