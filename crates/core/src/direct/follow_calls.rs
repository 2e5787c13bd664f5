//! Calls to the store that wait for changes of a table: how long they may wait.
//! Input: the time within which this gateway has to know of changes, and answers. State: when the
//! connection answered last.
//! This module decides the wait of each call, and when a call without an answer is given up.
//!
//! A connection whose answer was lost stays open and silent, so only the time tells it from a table
//! without changes. Each gateway that follows a table notices this by itself: those that could send
//! it the changes may be suspended or cut off.

use crate::clock::Millis;

/// Time that is left after a call was given up: the next one has to be answered by then.
const RESERVE: Millis = Millis(250);

/// Shortest wait: calls have a price.
const MIN_WAIT: Millis = Millis(500);

/// Time bounds of these calls.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time without disturbances within which this gateway has to know all earlier changes.
    pub current_within: Millis,
    /// Time beyond its wait after which a call without an answer is given up.
    pub overdue_after: Millis,
}

/// The connection on which a table is followed. It may have gone silent at any time since its last
/// answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connection {
    /// When it answered last; `None` if the next call opens a new one.
    answered_at: Option<Millis>,
}

impl Connection {
    /// Records an answer, also one that refuses the call.
    pub fn record_answer(&mut self, now: Millis) {
        self.answered_at = Some(now);
    }

    /// Records that the connection has ended, or is not used any more.
    pub fn record_end(&mut self) {
        self.answered_at = None;
    }

    /// Time since its last answer.
    fn unanswered_for(&self, now: Millis) -> Millis {
        self.answered_at.map_or(Millis::ZERO, |at| now.since(at))
    }
}

/// One call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowCall {
    /// Time for which the store waits for changes.
    pub wait: Millis,
    /// Time after which the call is given up.
    pub timeout: Millis,
}

impl Config {
    /// The call of a gateway that waits for changes, on this connection.
    pub fn waiting(&self, connection: Connection, now: Millis) -> FollowCall {
        let detected_within = self.current_within - RESERVE;
        let wait = detected_within - connection.unanswered_for(now) - self.overdue_after;
        self.call(wait.max(MIN_WAIT))
    }

    /// A call that returns what has changed so far.
    pub fn polling(&self) -> FollowCall {
        self.call(Millis::ZERO)
    }

    fn call(&self, wait: Millis) -> FollowCall {
        FollowCall { wait, timeout: wait + self.overdue_after }
    }
}
