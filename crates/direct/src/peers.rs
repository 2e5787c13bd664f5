//! Gossip between gateways: exchanges messages with one peer in each gossip round.
//! Input: messages of peers, seed addresses, urgent updates. State: idle connections and the seeds.
//! It decides which gateway it contacts in a round, and when the next round begins.
//!
//! Each gateway contacts another one, picked at random, in each round: more often while the store
//! does not answer it, and at once for urgent updates. Both sides send what they know and what the
//! other side lacks. So an update that reaches one gateway reaches all within a few rounds,
//! including gateways whose calls the store refuses.
//!
//! - [`connection_pool`]: idle connections to other gateways.
//! - [`messages`]: the messages, and their translation into types of the core.
//! - [`room_messages`]: the messages about the room of a service.
//! - [`socket`]: connections to other gateways, and what they may carry.

pub(crate) mod connection_pool;
pub(crate) mod messages;
pub mod room_messages;
pub(crate) mod socket;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::SinkExt;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::members::LivenessChange;
use hooktrestle_core::direct::members::Readiness;
use hooktrestle_schema::PeerNews;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

use crate::accept;
use crate::gateway::Gateway;
use crate::gateway::slow_servers::Reach;
use crate::peers::connection_pool::ConnectionPool;
use crate::peers::messages::apply_reply;
use crate::peers::messages::decode;
use crate::peers::messages::encode;
use crate::peers::messages::follow_up;
use crate::peers::messages::opening_message;
use crate::peers::messages::reply;
use crate::peers::socket::Socket;
use crate::platform::Platform;

/// Time between two gossip rounds while the store does not answer, or while this gateway does not
/// know enough to serve.
const FAST_GOSSIP_INTERVAL: Duration = Duration::from_millis(250);

/// Time-out of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of idle connections to other gateways.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Number of rounds from one that contacts a seed to the next. After a network cut, a seed may know
/// the gateways of the other side. Most rounds are better spent on gateways that are known to be
/// alive.
const SEED_INTERVAL_ROUNDS: usize = 8;

/// Accepts connections of other gateways until the process ends.
pub async fn serve<P: Platform>(gateway: Rc<Gateway<P>>, listener: TcpListener) {
    let log_error = |error: &io::Error| {
        gateway.event_log.state(format_args!("cannot accept connections of peers: {error}"));
    };
    loop {
        let stream = accept::next(&listener, log_error).await;
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            // On an error the connection is closed, and the peer opens a new one.
            drop(serve_peer(gateway, stream).await);
        });
    }
}

async fn serve_peer<P: Platform>(gateway: Rc<Gateway<P>>, stream: TcpStream) -> eyre::Result<()> {
    let mut socket = time::timeout(EXCHANGE_TIMEOUT, socket::accept(stream)).await??;
    while let Some(bytes) = socket::next_message(&mut socket).await? {
        let request = decode(bytes)?;
        let reply = reply(&gateway, &request);
        time::timeout(EXCHANGE_TIMEOUT, socket.send(encode(&reply))).await??;
    }
    Ok(())
}

/// The gossip of this gateway: its idle connections to others, and the seeds.
pub struct Peers {
    connections: ConnectionPool,
    seeds: RefCell<Vec<SocketAddr>>,
}

impl Default for Peers {
    fn default() -> Self {
        Peers { connections: ConnectionPool::new(MAX_IDLE_CONNECTIONS), seeds: RefCell::default() }
    }
}

impl Peers {
    /// Sets the addresses of gateways to contact while no other is known.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Exchanges messages with other gateways until the process ends.
    pub async fn run<P: Platform>(&self, gateway: Rc<Gateway<P>>) {
        let mut round = 0;
        let mut urgent = None;
        loop {
            let now = gateway.now();
            let readiness = gateway.readiness();
            log_liveness_changes(&gateway, now);
            // Evacuations whose rows the store has lost are held for a limited time.
            gateway.update_evacuations("the store's copy");
            let peer = gateway.with_members(|members| {
                members.advance_heartbeat();
                members.set_readiness(readiness);
                let local = match urgent {
                    Some(Reach::DataCentre) => members.random_local_peer(now, &mut rand::rng()),
                    Some(Reach::All) | None => None,
                };
                local.or_else(|| members.random_peer(now, &mut rand::rng()))
            });
            round += 1;
            let exchanged = match self.seed(&gateway, round, peer.is_none()).or(peer) {
                Some(address) => self.exchange(&gateway, address).await,
                None => gateway.with_members(|members| members.is_listed_alone()),
            };
            if exchanged {
                gateway.record_peer_state_received();
            }
            let fast = !gateway.store_answers() || readiness == Readiness::Starting;
            urgent = gateway.take_urgent_gossip_round();
            if urgent.is_some() {
                continue;
            }
            gateway.urgent_gossip_done.notify_waiters();
            let interval =
                gateway.with_members(|members| Duration::from(members.gossip_interval()));
            let pause = time::sleep(if fast { FAST_GOSSIP_INTERVAL } else { interval });
            tokio::select! {
                () = pause => {}
                () = gateway.urgent_gossip.notified() => urgent = gateway.urgent_gossip_reach(),
            }
        }
    }

    /// The seed to contact in a round, if any. One is contacted in each of the first rounds, as
    /// many as there are seeds, then in one of [`SEED_INTERVAL_ROUNDS`], and in each one while
    /// `alone`.
    fn seed<P: Platform>(
        &self,
        gateway: &Gateway<P>,
        round: usize,
        alone: bool,
    ) -> Option<SocketAddr> {
        let seeds = self.seeds.borrow();
        if !alone && !round.is_multiple_of(SEED_INTERVAL_ROUNDS) && round >= seeds.len() {
            return None;
        }
        let own = gateway.with_members(|members| members.own().peers_at);
        seeds.get(round % seeds.len().max(1)).copied().filter(|address| *address != own)
    }

    /// Exchanges messages with all gateways that are alive, in parallel.
    pub async fn announce<P: Platform>(&self, gateway: &Rc<Gateway<P>>) {
        let now = gateway.now();
        let readiness = gateway.readiness();
        let alive = gateway.with_members(|members| {
            members.advance_heartbeat();
            members.set_readiness(readiness);
            members.alive_peers(now)
        });
        let exchanges = alive.into_iter().map(|address| self.exchange(gateway, address));
        futures_util::future::join_all(exchanges).await;
    }

    /// Exchanges messages with the gateway at an address, and returns whether it answered.
    async fn exchange<P: Platform>(&self, gateway: &Rc<Gateway<P>>, address: SocketAddr) -> bool {
        let exchange = async |idle| {
            let done = exchange(gateway, address, idle);
            Ok((time::timeout(EXCHANGE_TIMEOUT, done).await??, ()))
        };
        let answered = self.connections.exchange(address, exchange).await.is_ok();
        let now = gateway.now();
        gateway.with_members(|members| match answered {
            true => members.record_exchange(now),
            false => members.mark_unreachable(address),
        });
        answered
    }
}

/// Removes gateways that have not been alive for a long time, and logs which gateways became alive,
/// suspected or removed.
fn log_liveness_changes<P: Platform>(gateway: &Gateway<P>, now: Millis) {
    let (changes, alive) = gateway.with_members(|members| {
        members.remove_expired(now);
        (members.liveness_changes(now), members.count_alive(now))
    });
    gateway.metrics.gateways_alive.set(alive as i64);
    if changes.is_empty() {
        return;
    }
    let lines: Vec<String> = changes.iter().map(LivenessChange::to_string).collect();
    gateway.event_log.state(format_args!("{alive} gateways alive: {}", lines.join(", ")));
}

async fn exchange<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    address: SocketAddr,
    idle: Option<Socket>,
) -> eyre::Result<Socket> {
    let mut socket = match idle {
        Some(socket) => socket,
        None => socket::connect(address, EXCHANGE_TIMEOUT).await?,
    };
    let sent_at = gateway.now();
    let reply = round_trip(&mut socket, &opening_message(gateway)).await?;
    apply_reply(gateway, &reply, sent_at);
    // The reply shows what the peer lacks; that is sent at once.
    let took = gateway.now().since(sent_at);
    if let Some(follow_up) = follow_up(gateway, &reply, took) {
        let sent_at = gateway.now();
        apply_reply(gateway, &round_trip(&mut socket, &follow_up).await?, sent_at);
    }
    Ok(socket)
}

/// Sends a message, and returns the reply to it.
pub(crate) async fn round_trip(socket: &mut Socket, request: &PeerNews) -> eyre::Result<PeerNews> {
    socket.send(encode(request)).await?;
    match socket::next_message(socket).await? {
        Some(bytes) => decode(bytes),
        None => Err(eyre::eyre!("the peer closed the connection before its reply")),
    }
}

/// Sends a message over an idle connection, or a new one that is opened within `timeout`; returns the
/// connection and the reply.
pub(crate) async fn round_trip_over(
    idle: Option<Socket>,
    address: SocketAddr,
    request: &PeerNews,
    timeout: Duration,
) -> eyre::Result<(Socket, PeerNews)> {
    let mut socket = match idle {
        Some(socket) => socket,
        None => socket::connect(address, timeout).await?,
    };
    let reply = round_trip(&mut socket, request).await?;
    Ok((socket, reply))
}
