//! Permits for backend servers with an advertised limit, requested from the granting gateway.
//! Input: permit requests of this gateway and of its peers. State: granting gateways to skip.
//! It decides which gateway to request permits from; the core decides how many are granted.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::Result;
use eyre::eyre;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::advertised_limit::ASK_TIMEOUT;
use hooktrestle_core::direct::advertised_limit::Rate;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use hooktrestle_core::direct::fingerprint::Fingerprint;
use hooktrestle_core::direct::members::IncarnationId;
use hooktrestle_core::direct::members::Readiness;
use hooktrestle_core::direct::permits::DELEGATION_INTERVAL;
use hooktrestle_core::direct::permits::GatewayId;
use hooktrestle_core::direct::permits::Grant;
use hooktrestle_schema::PeerNews;
use hooktrestle_schema::PermitsAsked;
use hooktrestle_schema::PermitsGiven;
use tokio::time;

use crate::gateway::Gateway;
use crate::peers;
use crate::peers::connection_pool::ConnectionPool;
use crate::peers::messages;
use crate::peers::messages::LATE_READ_WINDOW;
use crate::platform::Platform;

/// Time for which a granting gateway that did not answer is skipped.
const SKIP_FOR: Millis = Millis(3_000);

/// Minimum time until another attempt to delegate the own share.
const MIN_RETRY_INTERVAL: Millis = Millis(100);

/// Time between two such attempts, for each gateway of the fleet.
const RETRY_SPACING_MS: u64 = 2;

/// Maximum number of idle connections to granting gateways.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Connections to the gateways that grant permits, and those gateways that are skipped.
pub struct PermitGranters {
    connections: ConnectionPool,
    /// Gateways that did not answer, with the time until which each is skipped.
    skipped: RefCell<HashMap<IncarnationId, Millis>>,
}

impl Default for PermitGranters {
    fn default() -> Self {
        PermitGranters {
            connections: ConnectionPool::new(MAX_IDLE_CONNECTIONS),
            skipped: RefCell::default(),
        }
    }
}

/// The subject of a permit request.
#[derive(Clone, Copy, Debug)]
pub enum PermitRequest {
    /// No permits: the own share is delegated to the granting gateway.
    ShareOnly,
    /// Requests to a server.
    Requests(ServerPermits),
    /// One trial of a request that is suspected of crashing servers.
    Trial(Fingerprint),
}

/// Permits for requests to a server, with the rates at which all gateways together may send to it
/// as far as the requesting gateway knows: the granting one may not have heard of them.
#[derive(Clone, Copy, Debug)]
pub struct ServerPermits {
    /// The server.
    pub server: ServerIncarnation,
    /// Number of requests.
    pub wanted: u32,
    /// Rate during the ramp-up after a back-off.
    pub ramp_up_rate: Option<Rate>,
    /// Rate during the warm-up after a start.
    pub warm_up_rate: Option<Rate>,
}

impl PermitRequest {
    fn message(self, own: GatewayId, hands_over: bool, counts_no_shares: bool) -> PermitsAsked {
        let nothing = PermitsAsked {
            gateway_number: own.0,
            hands_over,
            counts_no_shares,
            server_number: None,
            wanted_requests: 0,
            returning_requests: None,
            warming_requests: None,
            trial_number: None,
        };
        match self {
            PermitRequest::ShareOnly => nothing,
            PermitRequest::Requests(permits) => PermitsAsked {
                server_number: Some(permits.server.0),
                wanted_requests: permits.wanted,
                returning_requests: permits.ramp_up_rate.map(|rate| rate.in_1000_s),
                warming_requests: permits.warm_up_rate.map(|rate| rate.in_1000_s),
                ..nothing
            },
            PermitRequest::Trial(fingerprint) => {
                PermitsAsked { trial_number: Some(fingerprint.0), ..nothing }
            }
        }
    }
}

/// The gateway to request permits from.
struct Granter {
    incarnation: IncarnationId,
    address: SocketAddr,
    is_own: bool,
}

/// Delegates the own share at intervals while any server has a limit, until the process ends. After
/// a start it does so, too, if servers may be cold: their limits are then usable at once.
pub async fn run<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        while needs_share(&gateway) {
            let asked_at = gateway.now();
            // Without a granting gateway this has no effect.
            let _ = request_permits(&gateway, PermitRequest::ShareOnly).await;
            let interval =
                match gateway.with_permits(|permits| permits.has_delegated_since(asked_at)) {
                    true => DELEGATION_INTERVAL,
                    false => retry_interval(&gateway),
                };
            time::sleep(Duration::from(interval)).await;
        }
        gateway.limits_changed.notified().await;
    }
}

fn needs_share<P: Platform>(gateway: &Gateway<P>) -> bool {
    gateway.with_pool(|pool| pool.has_limits(gateway.now())) || awaits_share(gateway)
}

/// Whether servers may be cold and the own share is reserved since the start of this gateway.
pub(crate) fn awaits_share<P: Platform>(gateway: &Gateway<P>) -> bool {
    let is_awaited = gateway.with_permits(|permits| permits.awaits_own_share(gateway.now()));
    is_awaited && gateway.with_pool(|pool| pool.has_warm_ups())
}

/// Time until another attempt to delegate the own share after one that failed. It is longer with
/// many gateways, since all of them may ask after a common start.
fn retry_interval<P: Platform>(gateway: &Gateway<P>) -> Millis {
    let fleet = gateway.with_members(|members| members.fleet_size(gateway.now()));
    let spaced = Millis(fleet.unwrap_or_default() as u64 * RETRY_SPACING_MS);
    MIN_RETRY_INTERVAL.max(spaced).min(DELEGATION_INTERVAL)
}

/// Requests permits; `None` if there is no answer.
pub async fn request_permits<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    wanted: PermitRequest,
) -> Option<Grant> {
    let granter = granter(gateway)?;
    let now = gateway.now();
    let own = gateway.with_members(|members| members.own().gateway_id());
    if granter.is_own {
        return Some(grant_from_own_share(gateway, own, wanted));
    }
    // A gateway that does not serve yet may soon grant permits itself.
    let is_ready = gateway.readiness() == Readiness::Ready;
    let (hands_over, counts_no_shares) = gateway.with_permits(|permits| {
        let hands_over = permits.delegate_share(granter.incarnation, now);
        (hands_over, !hands_over && is_ready && permits.disclaim(now))
    });
    let request = wanted.message(own, hands_over, counts_no_shares);
    let server = request.server_number.map(ServerIncarnation);
    let limits = server.map(|server| messages::limit_entries(gateway, server)).unwrap_or_default();
    let message = PeerNews { permits_asked: Some(request), limits, ..messages::empty_message() };
    let exchanged =
        time::timeout(Duration::from(ASK_TIMEOUT), exchange(gateway, granter.address, &message));
    match exchanged.await {
        Ok(Ok((granted, is_share_free))) => {
            if is_share_free && !hands_over {
                let replied_at = gateway.now();
                gateway.with_permits(|permits| {
                    permits.confirm_free_share(granter.incarnation, now, replied_at);
                });
                gateway.with_pool(|pool| pool.reopen_limits(replied_at));
            }
            Some(granted)
        }
        Ok(Err(_)) | Err(_) => {
            gateway.event_log.state(format_args!(
                "{} did not answer a permit request and is skipped",
                granter.address
            ));
            let until = gateway.now() + SKIP_FOR;
            gateway.permit_granters.skipped.borrow_mut().insert(granter.incarnation, until);
            None
        }
    }
}

/// The first of the gateways that serve, except those that are skipped.
/// Whether this gateway grants the permits of all.
pub fn is_granter<P: Platform>(gateway: &Gateway<P>) -> bool {
    granter(gateway).is_some_and(|granter| granter.is_own)
}

fn granter<P: Platform>(gateway: &Gateway<P>) -> Option<Granter> {
    let now = gateway.now();
    let mut skipped = gateway.permit_granters.skipped.borrow_mut();
    skipped.retain(|_, until| *until > now);
    gateway.with_members(|members| {
        let order = members.serving_gateways(now);
        let first =
            order.into_iter().find(|member| !skipped.contains_key(&member.incarnation_id()))?;
        let is_own = first.name == members.own().name;
        Some(Granter { incarnation: first.incarnation_id(), address: first.peers_at, is_own })
    })
}

async fn exchange<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    address: SocketAddr,
    message: &PeerNews,
) -> Result<(Grant, bool)> {
    let sent_at = gateway.now();
    let attempt = async |idle| {
        peers::round_trip_over(idle, address, message, Duration::from(ASK_TIMEOUT)).await
    };
    let reply = gateway.permit_granters.connections.exchange(address, attempt).await?;
    gateway.apply_limits(&messages::received_limits(
        &reply,
        gateway.now(),
        gateway.now().since(sent_at),
    ));
    let granted = reply.permits_given.ok_or_else(|| eyre!("the reply contains no permits"))?;
    let grant =
        Grant { permits: granted.permitted_requests, retry_in: Millis(granted.again_in_ms) };
    Ok((grant, granted.share_is_free))
}

/// The reply to a permit request of another gateway.
pub(crate) fn reply<P: Platform>(gateway: &Gateway<P>, request: &PermitsAsked) -> PeerNews {
    // A request that is read after a suspension of this process may be as old as the suspension.
    // The sender may have stopped delegating its share meanwhile.
    let is_fresh = gateway.recent_suspension(LATE_READ_WINDOW).is_none();
    let hands_over = request.hands_over && is_fresh;
    let granted = grant_locally(gateway, &PermitsAsked { hands_over, ..request.clone() });
    let sender = GatewayId(request.gateway_number);
    let now = gateway.now();
    if request.counts_no_shares && is_fresh {
        gateway.with_permits(|permits| permits.record_disclaimer(sender, now));
    }
    let share_is_free = !request.hands_over && is_share_free(gateway, sender, now);
    let server = request.server_number.map(ServerIncarnation);
    PeerNews {
        limits: server.map(|server| messages::limit_entries(gateway, server)).unwrap_or_default(),
        permits_given: Some(PermitsGiven {
            permitted_requests: granted.permits,
            again_in_ms: granted.retry_in.0,
            share_is_free,
        }),
        ..messages::empty_message()
    }
}

fn is_share_free<P: Platform>(gateway: &Gateway<P>, owner: GatewayId, now: Millis) -> bool {
    let fleet = gateway.with_members(|members| members.whole_fleet(now));
    gateway.with_permits(|permits| permits.is_share_free(owner, fleet.as_deref(), now))
}

/// Grants permits as this gateway's own granting gateway.
fn grant_from_own_share<P: Platform>(
    gateway: &Gateway<P>,
    own: GatewayId,
    wanted: PermitRequest,
) -> Grant {
    let now = gateway.now();
    let incarnation = gateway.with_members(|members| members.own().incarnation_id());
    let mut hands_over = gateway.with_permits(|permits| permits.delegate_share(incarnation, now));
    if !hands_over && is_share_free(gateway, own, now) {
        hands_over = gateway.with_permits(|permits| {
            permits.confirm_free_share(incarnation, now, now);
            permits.delegate_share(incarnation, now)
        });
    }
    grant_locally(gateway, &wanted.message(own, hands_over, false))
}

fn grant_locally<P: Platform>(gateway: &Gateway<P>, request: &PermitsAsked) -> Grant {
    let now = gateway.now();
    let gateways = gateway.with_members(|members| members.fleet_size(now));
    let ramp_up = request.returning_requests.map(|in_1000_s| Rate { in_1000_s });
    let requested_warm_up = request.warming_requests.map(|in_1000_s| Rate { in_1000_s });
    let limit = request.server_number.map(ServerIncarnation).and_then(|server| {
        let (advertised, known_warm_up) = gateway
            .with_pool(|pool| (pool.advertised_limit(server), pool.warm_up_rate_of(server, now)));
        let advertised_rate = advertised.and_then(|advertised| advertised.limit);
        let rates = [advertised_rate, ramp_up, requested_warm_up, known_warm_up];
        let lowest = rates.into_iter().flatten().min();
        (advertised.is_some() || lowest.is_some()).then_some((server, lowest))
    });
    let trial = request.trial_number.map(|number| {
        let suspect = Fingerprint(number);
        (suspect, gateway.trial_pace(suspect))
    });
    // After a back-off, one request has to find out whether the server accepts requests again. A
    // server in its warm-up accepts them, and each of several granting gateways would grant one.
    let initial_level = if ramp_up.is_some() && requested_warm_up.is_none() { 1.0 } else { 0.0 };
    gateway.with_permits(|permits| {
        if request.hands_over {
            permits.add_share(GatewayId(request.gateway_number), now);
        }
        if let Some((suspect, pace)) = trial {
            return permits.grant_trial(suspect, pace, now);
        }
        let Some((server, limit)) = limit else { return Grant::default() };
        let granted = match limit {
            Some(limit) => {
                permits.grant(server, limit, request.wanted_requests, initial_level, gateways, now)
            }
            // The server has no limit any more.
            None => Grant { permits: request.wanted_requests, retry_in: Millis::ZERO },
        };
        gateway.metrics.permits_granted.inc_by(granted.permits.into());
        granted
    })
}
