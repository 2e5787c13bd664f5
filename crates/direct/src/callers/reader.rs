//! A caller's connection as a reader of answers: counts the bytes that are held for it.
//! Input: frames handed to the connection, and its writes. State: in [`UnreadAnswers`].
//! Decides when the connection is closed because its caller does not read.
//!
//! [`UnreadAnswers`]: hooktrestle_core::direct::unread_answers::UnreadAnswers

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::unread_answers::Config;
use hooktrestle_core::direct::unread_answers::ReaderId;
use hooktrestle_core::direct::unread_answers::UnreadAnswers;
use hooktrestle_schema::IncompleteReason;
use tokio::sync::Notify;

use crate::callers::delivery::Delivery;
use crate::callers::hand_over::HandOver;
use crate::gateway::Gateway;
use crate::incomplete;
use crate::platform::Platform;
use crate::request_progress::RequestProgress;

/// Fraction of the instance's memory for what is held for callers, as a divisor.
const BUDGET_DIVISOR: u64 = 4;

/// Budget if the memory of the instance is not known.
const DEFAULT_BUDGET_BYTES: usize = 32 << 20;

/// As [`Config::stream_stall_timeout`]: callers themselves give up a stream after a pause of 2 s.
const STREAM_STALL_TIMEOUT: Millis = Millis(2_000);

/// Bytes that a gateway may hold for its callers of each kind: unread answers, and bodies.
pub(crate) fn budget_bytes(memory_bytes: u64) -> usize {
    match memory_bytes {
        0 => DEFAULT_BUDGET_BYTES,
        known => (known / BUDGET_DIVISOR) as usize,
    }
}

/// All readers of a gateway.
pub struct Readers {
    unread: RefCell<UnreadAnswers>,
    /// Notified to close a connection.
    close_signals: RefCell<HashMap<ReaderId, Rc<Notify>>>,
}

impl Readers {
    /// No readers, at an instance with this memory; 0 if that is not known.
    pub fn new(memory_bytes: u64) -> Readers {
        let budget_bytes = budget_bytes(memory_bytes);
        let config = Config { budget_bytes, stream_stall_timeout: STREAM_STALL_TIMEOUT };
        Readers {
            unread: RefCell::new(UnreadAnswers::new(config)),
            close_signals: RefCell::default(),
        }
    }

    /// Bytes of answers that callers have not read.
    pub fn held_bytes(&self) -> usize {
        self.unread.borrow().held_bytes()
    }

    /// Bytes of answers that one caller has not read; 0 if its connection is closed.
    pub fn held_bytes_of(&self, reader: ReaderId) -> usize {
        self.unread.borrow().held_bytes_of(reader)
    }
}

/// One connection of a caller; removed from the gateway's readers when it is dropped.
pub(super) struct Reader<P: Platform> {
    gateway: Rc<Gateway<P>>,
    id: ReaderId,
    close_signal: Rc<Notify>,
    /// The answer that the connection has taken and not written completely.
    unwritten: RefCell<Option<Delivery<P>>>,
    /// The request that is answered, until its answer is written.
    answering: RefCell<Option<Rc<RequestProgress>>>,
}

impl<P: Platform> Reader<P> {
    pub(super) fn new(gateway: Rc<Gateway<P>>) -> Rc<Reader<P>> {
        let id = gateway.readers.unread.borrow_mut().open();
        let close_signal = Rc::new(Notify::new());
        gateway.readers.close_signals.borrow_mut().insert(id, close_signal.clone());
        let (unwritten, answering) = (RefCell::new(None), RefCell::new(None));
        Rc::new(Reader { gateway, id, close_signal, unwritten, answering })
    }

    /// Records the request that is answered from here on.
    pub(super) fn begin_answering(&self, request: &Rc<RequestProgress>) {
        request.set_reader(self.id);
        self.answering.replace(Some(request.clone()));
    }

    /// Ends a delivery once the connection has written everything, or is closed.
    pub(super) fn end_when_written(&self, delivery: Delivery<P>) {
        self.unwritten.replace(Some(delivery));
    }

    /// Records that the connection has written everything that it has taken, or that its next
    /// request begins, whose answer is written later.
    pub(super) fn record_written(&self) {
        if let Some(written) = self.unwritten.take() {
            self.answering.take();
            drop(written);
        }
    }

    /// Holds bytes of an answer for the caller, and closes the slowest readers if that exceeds the
    /// budget.
    pub(super) fn hold(&self, bytes: usize) {
        let Readers { unread, close_signals } = &self.gateway.readers;
        let slowest = unread.borrow_mut().hold(self.id, bytes);
        for id in &slowest {
            if let Some(signal) = close_signals.borrow().get(id) {
                signal.notify_one();
            }
        }
        if !slowest.is_empty() {
            self.gateway.metrics.readers_closed.inc_by(slowest.len() as u64);
            self.gateway.event_log.state(format_args!(
                "{} callers closed: unread answers exceed their budget",
                slowest.len()
            ));
        }
        self.observe_held();
    }

    pub(super) fn record_read(&self, bytes: usize) {
        self.gateway.readers.unread.borrow_mut().record_read(self.id, bytes);
        self.gateway.in_flight.record_written();
        self.observe_held();
    }

    pub(super) fn hand_over(&self) -> &HandOver {
        &self.gateway.hand_over
    }

    pub(super) fn record_stall(&self) {
        self.gateway.readers.unread.borrow_mut().record_stall(self.id, self.gateway.now());
    }

    /// Records until when the caller waits for the answer that begins.
    pub(super) fn set_deadline(&self, deadline: Option<Millis>) {
        self.gateway.readers.unread.borrow_mut().set_deadline(self.id, deadline);
    }

    pub(super) fn set_streaming(&self, is_streaming: bool) {
        self.gateway.readers.unread.borrow_mut().set_streaming(self.id, is_streaming);
    }

    /// When the connection is closed unless its caller reads; `None` if it reads.
    pub(super) fn stall_ends_at(&self) -> Option<Millis> {
        let idle_timeout = self.gateway.serving().limits.idle_ms;
        self.gateway.readers.unread.borrow().stall_ends_at(self.id, idle_timeout)
    }

    /// Waits until the connection is to be closed so that the budget is kept.
    pub(super) async fn is_to_close(&self) {
        self.close_signal.notified().await;
    }

    /// Records that the caller gets a truncated stream.
    pub(super) fn record_truncated(&self) {
        self.gateway.metrics.streams_truncated.inc();
    }

    /// Records that the connection is closed so that the budget is kept.
    pub(super) fn record_closed_over_budget(&self) {
        self.record_incomplete(IncompleteReason::OverBudget);
    }

    /// Records that the connection is closed because its caller reads nothing.
    pub(super) fn record_closed_stalled(&self) {
        self.gateway.metrics.readers_closed.inc();
        self.record_incomplete(IncompleteReason::Stalled);
    }

    /// Records that the connection is closed because it is idle. What is held for its caller is
    /// lost.
    pub(super) fn record_closed_idle(&self) {
        let held = self.gateway.readers.held_bytes_of(self.id);
        if held > 0 {
            self.gateway.metrics.readers_closed.inc();
            self.gateway
                .event_log
                .state(format_args!("idle connection closed, {held} bytes of its answer not read"));
            self.record_incomplete(IncompleteReason::Idle);
        }
    }

    fn record_incomplete(&self, reason: IncompleteReason) {
        if let Some(request) = &*self.answering.borrow() {
            incomplete::record(&self.gateway, request, reason);
        }
    }

    fn observe_held(&self) {
        let held = self.gateway.readers.held_bytes();
        self.gateway.metrics.unread_bytes.set(held as i64);
    }
}

impl<P: Platform> Drop for Reader<P> {
    fn drop(&mut self) {
        self.gateway.readers.unread.borrow_mut().close(self.id);
        self.gateway.readers.close_signals.borrow_mut().remove(&self.id);
        self.observe_held();
    }
}
