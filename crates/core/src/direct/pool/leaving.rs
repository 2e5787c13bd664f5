//! Servers of a [`Pool`] that leave.
//! Input: rows of the platform, and reports of the servers themselves. State: that of the pool.
//! Decides whether a server is leaving, and whether its end is planned.

use super::Pool;
use super::Server;
use crate::util::arena::Key;

impl Pool {
    /// Records that a server reported itself as leaving; returns whether that is new.
    pub fn mark_leaving(&mut self, key: Key<Server>) -> bool {
        let server = &mut self.servers[key];
        let is_new = !server.is_leaving();
        server.notices.set_leaving();
        is_new
    }

    /// Records that something was received from a server. One that is no longer listed leaves without
    /// notice then: a server that has crashed or went dark sends nothing more.
    pub fn record_received(&mut self, key: Key<Server>) {
        let server = &mut self.servers[key];
        server.serves_unlisted = server.position.is_none();
    }

    /// Whether an end of a server is planned, if it comes now: it is leaving, or it has served on after
    /// its row was removed.
    pub fn is_end_planned(&self, key: Key<Server>) -> bool {
        let server = &self.servers[key];
        server.is_leaving() || server.serves_unlisted
    }
}

impl Server {
    /// Whether it is leaving, by its row or by its own report. The report is final: a later row
    /// does not revoke it.
    pub fn is_leaving(&self) -> bool {
        self.listed.leaving || self.notices.announced_leaving()
    }
}
