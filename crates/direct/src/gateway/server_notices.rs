//! What backend servers ask in their answers, taken note of and kept.

use hooktrestle_core::clock::Millis;
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
    /// A server answered with this head: whether it leaves, and whether it wants a rest. Returns what it
    /// asked, if that is a rest.
    pub fn note_server_notices<'a>(&self, server: Key<Server>, head: &'a Parts) -> Option<&'a str> {
        self.note_leaving(server, head);
        let turns_away = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
        if !turns_away.contains(&head.status) {
            return None;
        }
        let asked = headers::text(&head.headers, &header::RETRY_AFTER)?;
        let span = server_notices::parse_back_off(asked)?;
        let now = self.now();
        self.metrics.back_offs_received.inc();
        let all_unavailable_for = self.with_pool(|pool| {
            pool.back_off(server, span, now);
            let service = pool.server(server).listed.service.clone();
            pool.all_unavailable_until(&service, now).map(|_| service)
        });
        if let Some(service) = all_unavailable_for {
            // Whoever waits there is told at once.
            self.entrance(&service).let_all_go();
        }
        Some(asked)
    }

    /// A server answered with this head: whether it leaves.
    pub fn note_leaving(&self, server: Key<Server>, head: &Parts) {
        let told = headers::text(&head.headers, &self.platform.headers().leaving);
        // Another server than the one that was asked speaks for itself only.
        let is_other = self.platform.is_other_server(head.status.as_u16());
        if told.map(str::trim) != Some("1") || is_other {
            return;
        }
        if self.with_pool(|pool| pool.mark_leaving(server)) {
            let id = self.with_pool(|pool| pool.server(server).listed.id.clone());
            self.event_log.state(format_args!("server {id} says that it leaves"));
        }
    }

    /// When a caller shall come back, if all servers of a service that would take requests have asked for
    /// a rest or are at their limits: once the first takes requests, or soon after, or all callers would come at that
    /// moment.
    pub fn all_unavailable_for(&self, service: &str) -> Option<Millis> {
        let now = self.now();
        let until = self.with_pool(|pool| pool.all_unavailable_until(service, now))?;
        Some(outage::add_jitter(until.since(now), rand::rng().random()))
    }
}
