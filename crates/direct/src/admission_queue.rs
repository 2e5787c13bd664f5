//! Where streams of a service begin: at once, after a wait, or not here and now.
//!
//! [`Admission`] decides; this keeps those that wait, by priority and then by deadline, and lets the
//! first of them in as soon as there is room. A caller that was refused once comes back with less time
//! left, so it goes before one that comes for the first time.

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
use tokio::sync::oneshot;

/// Who goes first: priority, deadline, then order of arrival.
type QueueKey = (u8, Millis, u64);

/// The queue of one service.
#[derive(Debug)]
pub struct AdmissionQueue {
    clock: ProcessClock,
    admission: RefCell<Admission>,
    waiting: RefCell<BTreeMap<QueueKey, (LatencyObjective, oneshot::Sender<AdmittedStream>)>>,
    arrivals: Cell<u64>,
}

/// A stream that asks for entry.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// What its route and service owe.
    pub objective: LatencyObjective,
    /// 0 goes first.
    pub priority: u8,
    /// When it is given up.
    pub deadline: Millis,
    /// When its first event is objective.
    pub first_event_due: Millis,
    /// Part of the service's slots that is taken.
    pub busy_fraction: f64,
}

impl AdmissionQueue {
    /// Nobody has entered yet.
    pub fn new(clock: ProcessClock) -> Rc<AdmissionQueue> {
        Rc::new(AdmissionQueue {
            clock,
            admission: RefCell::new(Admission::new(admission::Config::default())),
            waiting: RefCell::default(),
            arrivals: Cell::new(0),
        })
    }

    /// Lets a stream in, at once or after a wait.
    ///
    /// # Errors
    ///
    /// Its turn would come too late; it may come back after this time.
    pub async fn admit(
        self: &Rc<Self>,
        request: AdmissionRequest,
    ) -> Result<AdmittedStream, Millis> {
        let now = self.clock.now();
        let left_ms = request.first_event_due.since(now).0 as f64;
        let entry = self.admission.borrow_mut().decide(
            request.objective,
            left_ms,
            request.busy_fraction,
            now,
        );
        match entry {
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
        let latest = Millis(request.first_event_due.0.saturating_sub(first_ms as u64));
        tokio::select! {
            permit = &mut receiver => if let Ok(permit) = permit { return Ok(permit) },
            () = self.clock.sleep_until(latest) => {}
        }
        // The estimate was off: what was held is sent rather than held in vain.
        Ok(AdmittedStream::new(self.clone(), self.clock.now()))
    }

    /// Lets in all that wait: no server takes requests, and they are to hear so at once.
    pub fn admit_all(self: &Rc<Self>) {
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        let now = self.clock.now();
        for (_, sender) in waiting.into_values() {
            // One that has left gives its permit back.
            drop(sender.send(AdmittedStream::new(self.clone(), now)));
        }
    }

    /// Lets in those that wait, as far as there is room.
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
            // One that has left gives its permit back.
            drop(sender.send(AdmittedStream::new(self.clone(), now)));
        }
    }
}

/// A place among those that wait.
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

/// A stream that was let in, until this is dropped.
#[derive(Debug)]
pub struct AdmittedStream {
    queue: Rc<AdmissionQueue>,
    since: Millis,
    last_event: Option<Millis>,
    /// Whether it has left the server at which it began.
    moved: bool,
}

impl AdmittedStream {
    fn new(queue: Rc<AdmissionQueue>, now: Millis) -> AdmittedStream {
        queue.admission.borrow_mut().began();
        AdmittedStream { queue, since: now, last_event: None, moved: false }
    }

    /// An event of the stream came; returns the pause since the one before it.
    pub fn record_event(&mut self) -> Option<Millis> {
        let now = self.queue.clock.now();
        let pause = self.last_event.replace(now).map(|last| now.since(last));
        let mut admission = self.queue.admission.borrow_mut();
        match pause {
            Some(pause) => admission.record_pass(pause.0 as f64, now),
            None if !self.moved => admission.record_first_event(now.since(self.since).0 as f64),
            None => {}
        }
        drop(admission);
        self.queue.admit_waiting();
        pause
    }

    /// The stream goes on at another server: the pause says nothing of passes.
    pub fn moved(&mut self) {
        self.moved = true;
        self.last_event = None;
    }
}

impl Drop for AdmittedStream {
    fn drop(&mut self) {
        let took = self.queue.clock.now().since(self.since).0 as f64;
        self.queue.admission.borrow_mut().ended(self.last_event.is_some().then_some(took));
        self.queue.admit_waiting();
    }
}
