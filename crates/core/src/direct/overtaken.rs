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
    pub min_wait: Millis,
    /// Shortest wait in usual times to an answer.
    pub min_wait_factor: f64,
    /// Later requests that were answered by other servers. One may have been lucky.
    pub min_overtakers: usize,
    /// Time between two looks.
    pub check_interval: Millis,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            min_wait: Millis(300),
            min_wait_factor: 3.0,
            min_overtakers: 2,
            check_interval: Millis(100),
        }
    }
}

/// Answers that are remembered: more than come in the time in which a request is overtaken.
const MAX_REMEMBERED: usize = 32;

/// How much the newest answer counts in the usual time to one.
const NEWEST_WEIGHT: f64 = 1.0 / 16.0;

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
    GiveUp,
}

/// Answers of one service, as one gateway saw them begin.
#[derive(Clone, Debug)]
pub struct Heads {
    config: Config,
    /// Time from a request to the beginning of its answer, in ms; 0 while none is known.
    mean_ms: f64,
    newest: VecDeque<Head>,
}

impl Heads {
    /// No answer is known.
    pub fn new(config: Config) -> Heads {
        Heads { config, mean_ms: 0.0, newest: VecDeque::new() }
    }

    /// An answer to a request that was sent at `sent_at` has begun.
    pub fn began(&mut self, server: Key<Server>, sent_at: Millis, now: Millis) {
        let took_ms = now.since(sent_at).0 as f64;
        let newest = if self.mean_ms == 0.0 { 1.0 } else { NEWEST_WEIGHT };
        self.mean_ms += (took_ms - self.mean_ms) * newest;
        if self.newest.len() == MAX_REMEMBERED {
            self.newest.pop_front();
        }
        self.newest.push_back(Head { server, sent_at, came_at: now });
    }

    /// What becomes of a request that was sent to `server` at `sent_at`.
    pub fn next(&self, server: Key<Server>, sent_at: Millis, now: Millis) -> Next {
        let bound_ms = (self.mean_ms * self.config.min_wait_factor) as u64;
        let due = sent_at + self.config.min_wait.max(Millis(bound_ms));
        if now < due {
            return Next::Wait(due);
        }
        let usual = Millis(self.mean_ms as u64);
        let overtook = |head: &&Head| {
            head.server != server && head.sent_at > sent_at && head.came_at + usual <= now
        };
        match self.newest.iter().filter(overtook).count() {
            count if count >= self.config.min_overtakers => Next::GiveUp,
            _ => Next::Wait(now + self.config.check_interval),
        }
    }
}
