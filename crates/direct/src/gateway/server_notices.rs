//! Notices that backend servers send in their answers: back-off and leaving.
//! Input are the heads of answers; the notices are recorded in the pool.
//! This module decides which servers get no requests, and when a refused caller is to retry.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::attempts::MAX_RETRY_AFTER;
use hooktrestle_core::direct::outage;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::server_notices;
use hooktrestle_core::util::arena::Key;
use http::StatusCode;
use http::header;
use http::response::Parts;
use rand::RngExt;

use crate::gateway::Gateway;
use crate::headers;
use crate::platform::Platform;

impl<P: Platform> Gateway<P> {
    /// Records the notices in the head of a server's answer: whether it is leaving, and whether it
    /// requests a back-off. Returns the text of the requested back-off, if there is one.
    pub fn record_server_notices<'a>(
        &self,
        server: Key<Server>,
        head: &'a Parts,
    ) -> Option<&'a str> {
        self.record_leaving(server, head);
        let refusals = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
        if !refusals.contains(&head.status) {
            return None;
        }
        let requested = headers::text(&head.headers, &header::RETRY_AFTER)?;
        let span = server_notices::parse_back_off(requested)?;
        let now = self.now();
        self.metrics.back_offs_received.inc();
        let all_unavailable_for = self.with_pool(|pool| {
            pool.back_off(server, span, now);
            let service = pool.server(server).listed.service.clone();
            pool.all_unavailable_until(&service, now).map(|_| service)
        });
        if let Some(service) = all_unavailable_for {
            // Waiting streams are released now: each gets a refusal with the time at which to
            // retry.
            self.admission_queue(&service).admit_all();
        }
        Some(requested)
    }

    /// Records whether a server's answer announces that it is leaving.
    pub fn record_leaving(&self, server: Key<Server>, head: &Parts) {
        let notice = headers::text(&head.headers, &self.platform.headers().leaving);
        // A server other than the expected one reports its own state only.
        let is_other = self.platform.is_other_server(head.status.as_u16());
        if notice.map(str::trim) != Some("1") || is_other {
            return;
        }
        if self.with_pool(|pool| pool.mark_leaving(server)) {
            let id = self.with_pool(|pool| pool.server(server).listed.id.clone());
            self.event_log.state(format_args!("server {id} reports that it is leaving"));
        }
    }

    /// Time after which a refused caller is to retry, if all servers of a service that would accept
    /// requests are backing off or at their limits: when the first one accepts requests again, plus
    /// jitter, so that callers do not all retry at that moment. Jitter does not exceed what callers
    /// wait for.
    pub fn all_unavailable_for(&self, service: &str) -> Option<Millis> {
        let now = self.now();
        let until = self.with_pool(|pool| pool.all_unavailable_until(service, now))?;
        let left = until.since(now);
        Some(outage::add_jitter(left, rand::rng().random()).min(MAX_RETRY_AFTER.max(left)))
    }
}
