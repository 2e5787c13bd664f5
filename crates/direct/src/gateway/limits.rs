//! How many requests backend servers take from all gateways together: heard, told, and kept.

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
use crate::gateway::findings::Reach;
use crate::headers;
use crate::permits;
use crate::permits::Wanted;
use crate::platform::Platform;

/// Leave to send one request to a server.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    /// `None`: the server named no limit when it was chosen.
    good_until: Option<Millis>,
}

impl Permit {
    /// Whether it is leave to send to a server that names a limit by now.
    pub fn is_good(self, now: Millis) -> bool {
        self.good_until.is_some_and(|until| until > now)
    }
}

impl<P: Platform> Gateway<P> {
    /// A server answered a request that was sent at `sent_at` with this head. One that names no limit in it names none
    /// any more, if the answer `lifts` limits. Returns what it named, if that is news.
    pub fn note_limit<'a>(
        &self,
        server: Key<Server>,
        head: &'a Parts,
        sent_at: Millis,
        lifts: bool,
    ) -> Option<&'a str> {
        // Another server than the one that was asked speaks for itself only.
        if self.platform.is_other_server(head.status.as_u16()) {
            return None;
        }
        let named = headers::text(&head.headers, &self.platform.headers().limit);
        let limit = match named {
            Some(text) => {
                self.metrics.limits_named.inc();
                Some(Rate::from_text(text)?)
            }
            None if lifts && self.with_pool(|pool| pool.limit(server).is_some()) => None,
            None => return None,
        };
        let said = LimitAdvertisement { limit, earliest: sent_at, latest: self.now() };
        let heard = self.with_pool(|pool| pool.apply_limit(server, said));
        self.act_on_limit(heard);
        if heard != LimitMergeOutcome::Unchanged {
            let id = self.with_pool(|pool| pool.server(server).listed.id.clone());
            self.journal.state(format_args!("server {id} takes {} a second", Told(limit)));
        }
        named.filter(|_| heard != LimitMergeOutcome::Unchanged)
    }

    /// Takes what another gateway tells of limits.
    pub fn take_limits(&self, told: &[(ServerIncarnation, LimitAdvertisement)]) {
        let heard = self.with_pool(|pool| {
            told.iter().map(|(server, said)| pool.apply_limit_of(*server, *said)).max()
        });
        self.act_on_limit(heard.unwrap_or(LimitMergeOutcome::Unchanged));
    }

    fn act_on_limit(&self, heard: LimitMergeOutcome) {
        if heard == LimitMergeOutcome::Unchanged {
            return;
        }
        self.limits_known.notify_one();
        if heard == LimitMergeOutcome::Urgent {
            self.hand_on(Reach::All);
        }
    }

    /// Leave to send one request to a server; `None` if there is none for now.
    pub async fn permit(self: &Rc<Self>, server: Key<Server>) -> Option<Permit> {
        let now = self.now();
        let taken = self.with_pool(|pool| pool.take_permit(server, now));
        let Permission::Ask(wanted) = taken else { return self.permitted(taken) };
        let (life, ramp_up_rate) =
            self.with_pool(|pool| (pool.incarnation(server), pool.ramp_up_rate(server, now)));
        let wanted = Wanted::Requests(life, wanted, ramp_up_rate);
        let given = permits::ask(self, wanted).await.unwrap_or_default();
        let told_at = self.now();
        let taken = self.with_pool(|pool| {
            pool.record_grant(server, given, now, told_at);
            if given.permits == 0 { Permission::None } else { pool.take_permit(server, told_at) }
        });
        self.permits_told.notify_waiters();
        self.permitted(taken)
    }

    fn permitted(&self, taken: Permission) -> Option<Permit> {
        match taken {
            Permission::Free => Some(Permit { good_until: None }),
            Permission::Until(until) => Some(Permit { good_until: Some(until) }),
            Permission::Ask(_) | Permission::None => {
                self.metrics.permits_lacking.inc();
                None
            }
        }
    }

    /// Does something with the permits that are given out.
    pub fn with_permits<T>(&self, act: impl FnOnce(&mut Permits) -> T) -> T {
        act(&mut self.permits.borrow_mut())
    }
}

/// A limit, in words.
struct Told(Option<Rate>);

impl std::fmt::Display for Told {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Some(limit) => write!(f, "{} requests", limit.in_1000_s as f64 / 1_000.0),
            None => write!(f, "any number of requests"),
        }
    }
}
