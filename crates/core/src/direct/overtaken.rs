//! Requests that wait at a server which says nothing, while requests that were sent later are answered
//! elsewhere.
//!
//! A machine that freezes keeps its connections, and says nothing on them for seconds. A bound on the
//! time alone would also take requests from servers that only are behind: when a group stands still,
//! all of its servers say nothing, and sent again the requests come to the same halt. So what counts
//! is that others, sent later, were answered, and that this was a usual answer's time ago.
//!
//! Callers whose request waits at a frozen machine are answered late in place of not at all, and do not leave
//! a request behind that nobody can stop.

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::direct::pool::Server;
use crate::util::arena::Key;

/// When a request counts as overtaken.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Shortest wait. Work of plain requests at the users lasts 60 ms, and 300 ms in one of a hundred.
    pub least: Millis,
    /// Shortest wait in usual times to an answer.
    pub usual_times: f64,
    /// Later requests that were answered by other servers. One may have been lucky.
    pub overtakers: usize,
    /// Time between two looks.
    pub look: Millis,
}

impl Default for Config {
    fn default() -> Self {
        Config { least: Millis(300), usual_times: 3.0, overtakers: 2, look: Millis(100) }
    }
}

/// Answers that are remembered: more than come in the time in which a request is overtaken.
const MOST_REMEMBERED: usize = 32;

/// How much the newest answer counts in the usual time to one.
const NEWEST: f64 = 1.0 / 16.0;

/// An answer that began.
#[derive(Clone, Copy, Debug)]
struct Head {
    server: Key<Server>,
    sent_at: Millis,
    came_at: Millis,
}

/// What becomes of a request that waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// It waits on, at least until then.
    Wait(Millis),
    /// It is given up here, and may be sent to another server.
    Leave,
}

/// Answers of one service, as one gateway saw them begin.
#[derive(Clone, Debug)]
pub struct Heads {
    config: Config,
    /// Time from a request to the beginning of its answer, in ms; 0 while none is known.
    usual_ms: f64,
    newest: VecDeque<Head>,
}

impl Heads {
    /// No answer is known.
    pub fn new(config: Config) -> Heads {
        Heads { config, usual_ms: 0.0, newest: VecDeque::new() }
    }

    /// An answer to a request that was sent at `sent_at` has begun.
    pub fn began(&mut self, server: Key<Server>, sent_at: Millis, now: Millis) {
        let took_ms = now.since(sent_at).0 as f64;
        let newest = if self.usual_ms == 0.0 { 1.0 } else { NEWEST };
        self.usual_ms += (took_ms - self.usual_ms) * newest;
        if self.newest.len() == MOST_REMEMBERED {
            self.newest.pop_front();
        }
        self.newest.push_back(Head { server, sent_at, came_at: now });
    }

    /// What becomes of a request that was sent to `server` at `sent_at`.
    pub fn next(&self, server: Key<Server>, sent_at: Millis, now: Millis) -> Next {
        let bound_ms = (self.usual_ms * self.config.usual_times) as u64;
        let due = sent_at + self.config.least.max(Millis(bound_ms));
        if now < due {
            return Next::Wait(due);
        }
        let usual = Millis(self.usual_ms as u64);
        let overtook = |head: &&Head| {
            head.server != server && head.sent_at > sent_at && head.came_at + usual <= now
        };
        match self.newest.iter().filter(overtook).count() {
            count if count >= self.config.overtakers => Next::Leave,
            _ => Next::Wait(now + self.config.look),
        }
    }
}
