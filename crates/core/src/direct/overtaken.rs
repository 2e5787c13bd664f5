//! Detection of requests at a server that stopped responding while others answer later requests.
//! Input are the beginnings of answers; the newest ones and the mean time to an answer are kept.
//! This module decides whether a waiting request is given up at its server.
//!
//! A machine that freezes keeps its connections, and sends nothing on them for seconds. A time-out
//! alone would also give up requests at servers that are only behind: when a group stalls, none of
//! its servers responds, and requests that are sent again meet the same stall. So a request is
//! given up only if others that were sent later were answered, at least one mean answer time ago.
//!
//! Callers whose request waits at a frozen machine then get a late answer in place of none, and do
//! not leave a request behind that cannot be stopped.

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::direct::pool::Server;
use crate::util::arena::Key;

/// When a request counts as overtaken.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Minimum wait. In the users' deployments plain requests take 60 ms, and one in a hundred
    /// takes 300 ms.
    pub min_wait: Millis,
    /// Minimum wait as a multiple of the mean time to an answer.
    pub min_wait_factor: f64,
    /// Minimum number of later requests that other servers answered. A single one may be an
    /// exceptionally fast answer.
    pub min_overtakers: usize,
    /// Time between two checks.
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

/// Maximum number of stored answers: more than arrive in the time in which a request is overtaken.
const MAX_HEADS: usize = 32;

/// Weight of the newest answer in the mean time to an answer.
const NEWEST_WEIGHT: f64 = 1.0 / 16.0;

/// The beginning of an answer.
#[derive(Clone, Copy, Debug)]
struct Head {
    server: Key<Server>,
    sent_at: Millis,
    received_at: Millis,
}

/// What follows for a request that waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// It waits at least until then.
    Wait(Millis),
    /// It is given up here, and may be sent to another server.
    GiveUp,
}

/// Beginnings of the answers of one service, as one gateway received them.
#[derive(Clone, Debug)]
pub struct Heads {
    config: Config,
    /// Mean time from a request to the beginning of its answer, in ms; 0 while none is known.
    mean_ms: f64,
    newest: VecDeque<Head>,
}

impl Heads {
    /// No answer is known.
    pub fn new(config: Config) -> Heads {
        Heads { config, mean_ms: 0.0, newest: VecDeque::new() }
    }

    /// Records that the answer to a request that was sent at `sent_at` has begun.
    pub fn began(&mut self, server: Key<Server>, sent_at: Millis, now: Millis) {
        let took_ms = now.since(sent_at).0 as f64;
        let weight = if self.mean_ms == 0.0 { 1.0 } else { NEWEST_WEIGHT };
        self.mean_ms += (took_ms - self.mean_ms) * weight;
        if self.newest.len() == MAX_HEADS {
            self.newest.pop_front();
        }
        self.newest.push_back(Head { server, sent_at, received_at: now });
    }

    /// What follows for a request that was sent to `server` at `sent_at`.
    pub fn next(&self, server: Key<Server>, sent_at: Millis, now: Millis) -> Next {
        let bound_ms = (self.mean_ms * self.config.min_wait_factor) as u64;
        let due = sent_at + self.config.min_wait.max(Millis(bound_ms));
        if now < due {
            return Next::Wait(due);
        }
        let mean = Millis(self.mean_ms as u64);
        let overtook = |head: &&Head| {
            head.server != server && head.sent_at > sent_at && head.received_at + mean <= now
        };
        match self.newest.iter().filter(overtook).count() {
            count if count >= self.config.min_overtakers => Next::GiveUp,
            _ => Next::Wait(now + self.config.check_interval),
        }
    }
}
