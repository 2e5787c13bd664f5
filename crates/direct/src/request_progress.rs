//! How far one request is: its id, its route, its server, and what was received and forwarded.
//! Input: the stages of the request, and each part of its answer. State: cells, as one thread runs
//! all tasks.
//! Decides nothing; the line about an answer that ends incomplete is made of it.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::serving::RouteKey;
use hooktrestle_core::direct::serving::ServingConfig;
use hooktrestle_core::direct::unread_answers::ReaderId;
use hooktrestle_core::util::arena::Key;
use hooktrestle_schema::AnswerStage;
use hooktrestle_schema::NotResumed;
use http::HeaderValue;

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

/// How far one request is.
pub struct RequestProgress {
    id: Option<HeaderValue>,
    /// When it was received.
    pub received_at: Millis,
    stage: Cell<AnswerStage>,
    deadline: Cell<Option<Millis>>,
    /// Its route, unless it is refused.
    route: RefCell<Option<RequestRoute>>,
    /// The server that sends its answer, or that was tried last.
    server: Cell<Option<Key<Server>>>,
    /// When something of its answer was last received.
    answer_received_at: Cell<Option<Millis>>,
    open_attempts: Cell<u32>,
    /// Number of transfers of all answers.
    transfers: Rc<Cell<u64>>,
    answer_bytes: Cell<usize>,
    last_event_id: Cell<Option<u64>>,
    reader: Cell<Option<ReaderId>>,
    /// Why no other server resumed it, once its server has truncated it.
    not_resumed: Cell<Option<NotResumed>>,
    ended_incomplete: Cell<bool>,
}

impl RequestProgress {
    /// A request with this id, received now, and the number of transfers of all answers.
    pub fn new(
        id: Option<HeaderValue>,
        received_at: Millis,
        transfers: Rc<Cell<u64>>,
    ) -> RequestProgress {
        RequestProgress {
            id,
            received_at,
            stage: Cell::new(AnswerStage::Unanswered),
            deadline: Cell::new(None),
            route: RefCell::new(None),
            server: Cell::new(None),
            answer_received_at: Cell::new(None),
            open_attempts: Cell::new(0),
            transfers,
            answer_bytes: Cell::new(0),
            last_event_id: Cell::new(None),
            reader: Cell::new(None),
            not_resumed: Cell::new(None),
            ended_incomplete: Cell::new(false),
        }
    }

    /// Records the connection on which it is answered.
    pub fn set_reader(&self, reader: ReaderId) {
        self.reader.set(Some(reader));
    }

    /// Records that it is accepted, and until when its caller waits for its answer.
    pub fn accept(&self, route: RequestRoute, deadline: Millis) {
        self.route.replace(Some(route));
        self.deadline.set(Some(deadline));
    }

    /// Records that it is refused without having run.
    pub fn refuse(&self) {
        self.route.replace(None);
    }

    /// Records how far its answer is.
    pub fn set_stage(&self, stage: AnswerStage) {
        self.stage.set(stage);
    }

    /// Records the begin of an attempt at a server.
    pub fn begin_attempt(&self, server: Key<Server>) {
        self.open_attempts.set(self.open_attempts.get() + 1);
        if self.stage.get() == AnswerStage::Unanswered {
            self.server.set(Some(server));
        }
    }

    /// Records the end of an attempt at a server.
    pub fn end_attempt(&self) {
        self.open_attempts.set(self.open_attempts.get() - 1);
    }

    /// Records the server that sends the answer, or the rest of it from here on.
    pub fn set_source(&self, server: Key<Server>, head_received_at: Millis) {
        self.server.set(Some(server));
        self.answer_received_at.set(Some(head_received_at));
    }

    /// Records that a part of the answer was received.
    pub fn record_received(&self, at: Millis) {
        self.answer_received_at.set(Some(at));
        self.transfers.update(|count| count + 1);
    }

    /// Records the id of the last complete event.
    pub fn set_last_event_id(&self, id: Option<u64>) {
        self.last_event_id.set(id);
    }

    /// Records bytes of the answer that are handed to the caller's connection.
    pub fn record_answer_bytes(&self, bytes: usize) {
        self.answer_bytes.set(self.answer_bytes.get() + bytes);
    }

    /// Records why no other server resumes it.
    pub fn set_not_resumed(&self, reason: NotResumed) {
        self.not_resumed.set(Some(reason));
    }

    /// Records that the answer ended incomplete; returns whether that is new.
    pub fn end_incomplete(&self) -> bool {
        !self.ended_incomplete.replace(true)
    }

    /// Its id as text, for log lines.
    pub fn id_text(&self) -> &str {
        self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("?")
    }

    /// Its route, unless it is refused.
    pub fn route(&self) -> Option<RequestRoute> {
        self.route.borrow().clone()
    }

    /// Whether it is on the route of this name.
    pub fn is_on_route(&self, name: &str) -> bool {
        self.route.borrow().as_ref().is_some_and(|route| route.name() == name)
    }

    /// How far its answer is.
    pub fn stage(&self) -> AnswerStage {
        self.stage.get()
    }

    /// Until when its caller waits, once that is known.
    pub fn deadline(&self) -> Option<Millis> {
        self.deadline.get()
    }

    /// The server that sends its answer, or that was tried last.
    pub fn server(&self) -> Option<Key<Server>> {
        self.server.get()
    }

    /// Whether an attempt at a server is open.
    pub fn has_open_attempt(&self) -> bool {
        self.open_attempts.get() > 0
    }

    /// When something of its answer was last received.
    pub fn answer_received_at(&self) -> Option<Millis> {
        self.answer_received_at.get()
    }

    /// Bytes of its answer that were handed to the caller's connection.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes.get()
    }

    /// The id of the last complete event.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id.get()
    }

    /// Why no other server resumed it.
    pub fn not_resumed(&self) -> Option<NotResumed> {
        self.not_resumed.get()
    }

    /// The connection on which it is answered.
    pub fn reader(&self) -> Option<ReaderId> {
        self.reader.get()
    }
}
