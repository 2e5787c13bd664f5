//! Limits that backend servers advertise for the requests of all gateways together.
//! Input are heads of answers, limits from peers, and granted permits; the pool keeps them.
//! This module decides whether a request may be sent, and whether a changed limit is urgent.

use std::rc::Rc;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::advertised_limit::LimitAdvertisement;
use hooktrestle_core::direct::advertised_limit::LimitMergeOutcome;
use hooktrestle_core::direct::advertised_limit::Permission;
use hooktrestle_core::direct::advertised_limit::Rate;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use hooktrestle_core::direct::permits::Permits;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::util::arena::Key;
use http::response::Parts;

use crate::gateway::Gateway;
use crate::gateway::slow_servers::Reach;
use crate::headers;
use crate::permits;
use crate::permits::PermitRequest;
use crate::permits::ServerPermits;
use crate::platform::Platform;

/// Permission to send one request to a server.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    /// `None`: the server advertised no limit when it was chosen.
    valid_until: Option<Millis>,
}

impl Permit {
    /// Whether it still permits a request at `now`, to a server that advertises a limit by then.
    pub fn is_valid(self, now: Millis) -> bool {
        self.valid_until.is_some_and(|until| until > now)
    }
}

impl<P: Platform> Gateway<P> {
    /// Records the limit in the head of a server's answer to a request that was sent at `sent_at`.
    /// An answer without a limit withdraws the known one if it `lifts` limits. Returns the
    /// advertised limit, if it changed the known one.
    pub fn record_advertised_limit<'a>(
        &self,
        server: Key<Server>,
        head: &'a Parts,
        sent_at: Millis,
        lifts: bool,
    ) -> Option<&'a str> {
        // A server other than the expected one reports its own state only.
        if self.platform.is_other_server(head.status.as_u16()) {
            return None;
        }
        let advertised = headers::text(&head.headers, &self.platform.headers().limit);
        let limit = match advertised {
            Some(text) => {
                self.metrics.limits_advertised.inc();
                Some(Rate::from_text(text)?)
            }
            None if lifts && self.with_pool(|pool| pool.limit(server).is_some()) => None,
            None => return None,
        };
        let advertisement = LimitAdvertisement { limit, earliest: sent_at, latest: self.now() };
        let outcome = self.with_pool(|pool| pool.apply_limit(server, advertisement));
        self.act_on_limit(outcome);
        if outcome != LimitMergeOutcome::Unchanged {
            let id = self.with_pool(|pool| pool.server(server).listed.id.clone());
            self.event_log
                .state(format_args!("server {id} accepts {} per second", LimitText(limit)));
        }
        advertised.filter(|_| outcome != LimitMergeOutcome::Unchanged)
    }

    /// Applies limits that another gateway sent.
    pub fn apply_limits(&self, advertisements: &[(ServerIncarnation, LimitAdvertisement)]) {
        let outcome = self.with_pool(|pool| {
            advertisements
                .iter()
                .map(|(server, advertisement)| pool.apply_limit_of(*server, *advertisement))
                .max()
        });
        self.act_on_limit(outcome.unwrap_or(LimitMergeOutcome::Unchanged));
    }

    fn act_on_limit(&self, outcome: LimitMergeOutcome) {
        if outcome == LimitMergeOutcome::Unchanged {
            return;
        }
        self.limits_changed.notify_one();
        if outcome == LimitMergeOutcome::Urgent {
            self.request_urgent_gossip(Reach::All);
        }
    }

    /// A permit to send one request to a server; `None` if none is available now.
    pub async fn permit(self: &Rc<Self>, server: Key<Server>) -> Option<Permit> {
        let now = self.now();
        let permission = self.with_pool(|pool| pool.take_permit(server, now));
        let Permission::Ask(wanted) = permission else { return self.permitted(permission) };
        let wanted = self.with_pool(|pool| {
            PermitRequest::Requests(ServerPermits {
                server: pool.incarnation(server),
                wanted,
                ramp_up_rate: pool.ramp_up_rate(server, now),
                warm_up_rate: pool.warm_up_rate(server, now),
            })
        });
        let grant = permits::request_permits(self, wanted).await.unwrap_or_default();
        let granted_at = self.now();
        let permission = self.with_pool(|pool| {
            pool.record_grant(server, grant, now, granted_at);
            if grant.permits == 0 { Permission::None } else { pool.take_permit(server, granted_at) }
        });
        self.permit_reply_received.notify_waiters();
        self.permitted(permission)
    }

    fn permitted(&self, permission: Permission) -> Option<Permit> {
        match permission {
            Permission::Free => Some(Permit { valid_until: None }),
            Permission::Until(until) => Some(Permit { valid_until: Some(until) }),
            Permission::Ask(_) | Permission::None => {
                self.metrics.permits_unavailable.inc();
                None
            }
        }
    }

    /// Calls `act` with the permits that this gateway grants.
    pub fn with_permits<T>(&self, act: impl FnOnce(&mut Permits) -> T) -> T {
        act(&mut self.permits.borrow_mut())
    }
}

/// A limit, formatted for a log line.
struct LimitText(Option<Rate>);

impl std::fmt::Display for LimitText {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Some(limit) => write!(f, "{} requests", limit.in_1000_s as f64 / 1_000.0),
            None => write!(f, "any number of requests"),
        }
    }
}
