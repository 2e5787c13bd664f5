//! Whether a request would begin in time at a server that has a queue.
//! Input: the load that a server reported, and what is known of its pace. There is no state.
//! Decides at which servers a request ends before its deadline, and when a refused one returns.
//!
//! A request that waits in a server's queue until its deadline is lost, and whether it has run is
//! then unknown to its caller. One that is refused at once has not run, and may be sent again.
//! Where nothing recent is known of a server, its queue counts as empty: a refusal needs a reason.

use crate::clock::Millis;

/// What a gateway knows of the queue of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueState {
    /// Requests running and queued at the server, by its latest report.
    pub reported: u32,
    /// Age of that report.
    pub age: Millis,
    /// Requests that this gateway has in flight there.
    pub own: u32,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Mean processing time of a request without the time in the queue; 0 if unknown.
    pub work_ms: f64,
}

impl QueueState {
    /// Expected time from the arrival of a request to its start. Each slot takes the next request
    /// after one processing time, also since the report.
    pub fn wait(&self) -> Millis {
        self.time_for(self.reported).since(self.age).max(self.time_for(self.own))
    }

    /// Time until one of the slots is free if there are this many requests.
    fn time_for(&self, requests: u32) -> Millis {
        let slots = self.slots.max(1);
        let ahead = (requests + 1).saturating_sub(slots);
        Millis((f64::from(ahead) * self.work_ms / f64::from(slots)) as u64)
    }
}

/// What follows for a request that the given servers could process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Timeliness {
    /// It is expected to begin in time at some server, or there is none.
    InTime,
    /// It is expected to begin in time at no server; one that comes after this time is.
    TooLate(Millis),
}

/// Whether a request with the time `left` until its deadline is expected to begin in time at one of
/// the servers.
pub fn timeliness(servers: impl Iterator<Item = QueueState>, left: Millis) -> Timeliness {
    match servers.map(|server| server.wait()).min() {
        Some(wait) if wait >= left => Timeliness::TooLate(wait.since(left)),
        _ => Timeliness::InTime,
    }
}
