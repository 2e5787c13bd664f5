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

    /// Whether an end of a server is planned, if it comes now: it is leaving, or the platform no longer
    /// lists it. Some servers leave without notice: their row is removed, and they serve for some time.
    pub fn is_end_planned(&self, key: Key<Server>) -> bool {
        let server = &self.servers[key];
        server.is_leaving() || server.position.is_none()
    }
}

impl Server {
    /// Whether it is leaving, by its row or by its own report. The report is final: a later row
    /// does not revoke it.
    pub fn is_leaving(&self) -> bool {
        self.listed.leaving || self.notices.announced_leaving()
    }
}
