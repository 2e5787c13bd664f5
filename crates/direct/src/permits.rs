//! Permits for servers that name a limit, asked of the gateway that gives them out, and given.

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
use hooktrestle_core::direct::permits::DELEGATION_INTERVAL;
use hooktrestle_core::direct::permits::GatewayId;
use hooktrestle_core::direct::permits::Grant;
use hooktrestle_core::util::hash;
use hooktrestle_schema::PeerNews;
use hooktrestle_schema::PermitsAsked;
use hooktrestle_schema::PermitsGiven;
use tokio::time;

use crate::gateway::Gateway;
use crate::gateway::crashes::TRIAL;
use crate::peers;
use crate::peers::Socket;
use crate::peers::connection_pool::ConnectionPool;
use crate::peers::messages;
use crate::peers::messages::LATE_READ_WINDOW;
use crate::platform::Platform;

/// How long a gateway that gave no answer is passed by.
const PASS_BY: Millis = Millis(3_000);

/// Idle connections that are kept to whom permits are asked of.
const MOST_KEPT: usize = 4;

/// The gateways that give out permits.
pub struct PermitGranters {
    links: ConnectionPool,
    /// Those that gave no answer, and until when each is passed by.
    passed_by: RefCell<HashMap<IncarnationId, Millis>>,
}

impl Default for PermitGranters {
    fn default() -> Self {
        PermitGranters { links: ConnectionPool::new(MOST_KEPT), passed_by: RefCell::default() }
    }
}

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub enum PermitRequest {
    /// Nothing: the own part is handed over.
    ShareOnly,
    /// Requests to a server, so many, and what all gateways together send it while it comes back from a rest.
    Requests(ServerIncarnation, u32, Option<Rate>),
    /// A trial of a request.
    Trial(Fingerprint),
}

impl PermitRequest {
    fn question(self, own: GatewayId, hands_over: bool) -> PermitsAsked {
        let nothing = PermitsAsked {
            gateway_number: own.0,
            hands_over,
            server_number: None,
            wanted_requests: 0,
            returning_requests: None,
            trial_number: None,
        };
        match self {
            PermitRequest::ShareOnly => nothing,
            PermitRequest::Requests(server, wanted_requests, returning) => PermitsAsked {
                server_number: Some(server.0),
                wanted_requests,
                returning_requests: returning.map(|rate| rate.in_1000_s),
                ..nothing
            },
            PermitRequest::Trial(request) => {
                PermitsAsked { trial_number: Some(request.0), ..nothing }
            }
        }
    }
}

/// Who is asked.
struct Giver {
    life: IncarnationId,
    at: SocketAddr,
    is_own: bool,
}

/// Hands the own part over, as long as a server names a limit, until the process ends.
pub async fn run<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        while gateway.with_pool(|pool| pool.has_limits()) {
            // In vain where nobody can be asked.
            let _ = request_permits(&gateway, PermitRequest::ShareOnly).await;
            time::sleep(Duration::from(DELEGATION_INTERVAL)).await;
        }
        gateway.limits_known.notified().await;
    }
}

/// Asks for permits; `None` if there is no answer.
pub async fn request_permits<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    wanted: PermitRequest,
) -> Option<Grant> {
    let giver = giver(gateway)?;
    let now = gateway.now();
    let own = GatewayId(gateway.with_members(|members| hash::of(&members.own().name)));
    let hands_over = gateway.with_permits(|permits| permits.delegate_share(giver.life, now));
    let asked = wanted.question(own, hands_over);
    if giver.is_own {
        return Some(give(gateway, &asked));
    }
    let server = asked.server_number.map(ServerIncarnation);
    let limits = server.map(|server| messages::limit_entries(gateway, server)).unwrap_or_default();
    let question = PeerNews { permits_asked: Some(asked), limits, ..messages::empty_message() };
    let exchanged =
        time::timeout(Duration::from(ASK_TIMEOUT), exchange(gateway, giver.at, &question));
    match exchanged.await {
        Ok(Ok(given)) => Some(given),
        Ok(Err(_)) | Err(_) => {
            gateway.journal.state(format_args!("{} gave no permits, and is passed by", giver.at));
            let until = gateway.now() + PASS_BY;
            gateway.permit_givers.passed_by.borrow_mut().insert(giver.life, until);
            None
        }
    }
}

/// The first of the gateways that live, but for those that gave no answer.
fn giver<P: Platform>(gateway: &Gateway<P>) -> Option<Giver> {
    let now = gateway.now();
    let mut passed_by = gateway.permit_givers.passed_by.borrow_mut();
    passed_by.retain(|_, until| *until > now);
    gateway.with_members(|members| {
        let order = members.serving_gateways(now);
        let first = order.into_iter().find(|one| !passed_by.contains_key(&one.incarnation_id()))?;
        let is_own = first.name == members.own().name;
        Some(Giver { life: first.incarnation_id(), at: first.peers_at, is_own })
    })
}

async fn exchange<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    at: SocketAddr,
    question: &PeerNews,
) -> Result<Grant> {
    let asked_at = gateway.now();
    let over = async |kept| ask_over(kept, at, question).await;
    let answer = gateway.permit_givers.links.exchange(at, over).await?;
    gateway.take_limits(&messages::received_limits(
        &answer,
        gateway.now(),
        gateway.now().since(asked_at),
    ));
    let given = answer.permits_given.ok_or_else(|| eyre!("it knows no permits"))?;
    Ok(Grant { permits: given.permitted_requests, retry_in: Millis(given.again_in_ms) })
}

async fn ask_over(
    kept: Option<Socket>,
    at: SocketAddr,
    question: &PeerNews,
) -> Result<(Socket, PeerNews)> {
    let mut socket = match kept {
        Some(socket) => socket,
        None => peers::connect(at, Duration::from(ASK_TIMEOUT)).await?,
    };
    let answer = peers::round_trip(&mut socket, question).await?;
    Ok((socket, answer))
}

/// Answers a gateway that asks for permits.
pub(crate) fn reply<P: Platform>(gateway: &Gateway<P>, asked: &PermitsAsked) -> PeerNews {
    // A question that waited as long as this process stood still says nothing of now.
    let is_fresh = gateway.stood_still(LATE_READ_WINDOW).is_none();
    let hands_over = asked.hands_over && is_fresh;
    let given = give(gateway, &PermitsAsked { hands_over, ..asked.clone() });
    let server = asked.server_number.map(ServerIncarnation);
    PeerNews {
        limits: server.map(|server| messages::limit_entries(gateway, server)).unwrap_or_default(),
        permits_given: Some(PermitsGiven {
            permitted_requests: given.permits,
            again_in_ms: given.retry_in.0,
        }),
        ..messages::empty_message()
    }
}

fn give<P: Platform>(gateway: &Gateway<P>, asked: &PermitsAsked) -> Grant {
    let now = gateway.now();
    let gateways = gateway.with_members(|members| members.fleet_size(now));
    let returning = asked.returning_requests.map(|in_1000_s| Rate { in_1000_s });
    // After a rest somebody has to find out whether the server takes requests.
    let first = if returning.is_some() { 1.0 } else { 0.0 };
    let limit = asked.server_number.map(ServerIncarnation).and_then(|server| {
        let said = gateway.with_pool(|pool| pool.advertised_limit(server));
        (said.is_some() || returning.is_some()).then(|| {
            let named = said.and_then(|said| said.limit);
            (server, named.into_iter().chain(returning).min())
        })
    });
    gateway.with_permits(|permits| {
        if asked.hands_over {
            permits.add_share(GatewayId(asked.gateway_number), now);
        }
        if let Some(request) = asked.trial_number {
            return permits.grant_trial(Fingerprint(request), TRIAL, now);
        }
        let Some((server, limit)) = limit else { return Grant::default() };
        let given = match limit {
            Some(limit) => {
                permits.grant(server, limit, asked.wanted_requests, first, gateways, now)
            }
            // It names none any more.
            None => Grant { permits: asked.wanted_requests, retry_in: Millis::ZERO },
        };
        gateway.metrics.permits_given.inc_by(given.permits.into());
        given
    })
}
