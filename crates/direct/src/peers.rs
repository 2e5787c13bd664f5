//! News between gateways: who lives, and what changed in the platform's tables.
//!
//! Each gateway asks another one, drawn at random, in each round: more often while the store does not
//! reply it, and at once where news cannot wait. Both tell what they know, and give each other what
//! is lacking. So whatever reaches one gateway reaches all within a few rounds, also those that the
//! store turns away.

pub(crate) mod connection_pool;
pub(crate) mod messages;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::members::LivenessChange;
use hooktrestle_core::direct::members::Readiness;
use hooktrestle_schema::PeerNews;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::accept;
use crate::dial;
use crate::gateway::Gateway;
use crate::gateway::findings::Reach;
use crate::peers::connection_pool::ConnectionPool;
use crate::peers::messages::apply_reply;
use crate::peers::messages::decode;
use crate::peers::messages::encode;
use crate::peers::messages::follow_up;
use crate::peers::messages::opening_message;
use crate::peers::messages::reply;
use crate::platform::Platform;

/// Time between two rounds while the store does not reply, or while this gateway knows too little to
/// serve.
const HASTY_ROUND: Duration = Duration::from_millis(250);

/// Longest time for one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections to other gateways that are kept.
const MOST_KEPT: usize = 8;

/// Rounds from one that asks a seed to the next: a seed may know the other side after a cut, and
/// most rounds are better spent on gateways that are known to live.
const SEED_ROUNDS: usize = 8;

/// A connection to another gateway.
pub(crate) type Socket = WebSocketStream<TcpStream>;

/// Accepts other gateways until the process ends.
pub async fn serve<P: Platform>(gateway: Rc<Gateway<P>>, listener: TcpListener) {
    let note = |error: &io::Error| {
        gateway.journal.state(format_args!("peers are not accepted: {error}"));
    };
    loop {
        let stream = accept::next(&listener, note).await;
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            // The other side sees the close and dials again.
            drop(answer_peer(gateway, stream).await);
        });
    }
}

async fn answer_peer<P: Platform>(gateway: Rc<Gateway<P>>, stream: TcpStream) -> eyre::Result<()> {
    let accepted = tokio_tungstenite::accept_async(stream);
    let mut socket = time::timeout(EXCHANGE_TIMEOUT, accepted).await??;
    while let Some(message) = socket.next().await {
        let Message::Binary(bytes) = message? else { continue };
        let asked = decode(bytes)?;
        let reply = reply(&gateway, &asked);
        time::timeout(EXCHANGE_TIMEOUT, socket.send(encode(&reply))).await??;
    }
    Ok(())
}

/// Connections to other gateways.
pub struct Peers {
    links: ConnectionPool,
    seeds: RefCell<Vec<SocketAddr>>,
}

impl Default for Peers {
    fn default() -> Self {
        Peers { links: ConnectionPool::new(MOST_KEPT), seeds: RefCell::default() }
    }
}

impl Peers {
    /// Gateways to ask while no other is known.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Exchanges news until the process ends.
    pub async fn run<P: Platform>(&self, gateway: Rc<Gateway<P>>) {
        let mut round = 0;
        let mut urgent = None;
        loop {
            let now = gateway.now();
            let readiness = gateway.readiness();
            note_sightings(&gateway, now);
            let drawn = gateway.with_members(|members| {
                members.advance_heartbeat();
                members.set_readiness(readiness);
                let near = match urgent {
                    Some(Reach::Near) => members.random_local_peer(now, &mut rand::rng()),
                    Some(Reach::All) | None => None,
                };
                near.or_else(|| members.random_peer(now, &mut rand::rng()))
            });
            round += 1;
            let asked = match self.seed(&gateway, round, drawn.is_none()).or(drawn) {
                Some(address) => self.exchange(&gateway, address).await,
                None => gateway.with_members(|members| members.is_listed_alone()),
            };
            if asked {
                gateway.note_peers_asked();
            }
            let hasty = !gateway.store_answers() || readiness == Readiness::Starting;
            urgent = gateway.take_urgent_round();
            if urgent.is_some() {
                continue;
            }
            gateway.told.notify_waiters();
            let round_time =
                gateway.with_members(|members| Duration::from(members.gossip_interval()));
            let pause = time::sleep(if hasty { HASTY_ROUND } else { round_time });
            tokio::select! {
                () = pause => {}
                () = gateway.urgent.notified() => urgent = gateway.urgent_reach(),
            }
        }
    }

    /// The seed to ask in a round, if one is: each in the first rounds, and then now and then, or
    /// while `alone`.
    fn seed<P: Platform>(
        &self,
        gateway: &Gateway<P>,
        round: usize,
        alone: bool,
    ) -> Option<SocketAddr> {
        let seeds = self.seeds.borrow();
        if !alone && !round.is_multiple_of(SEED_ROUNDS) && round >= seeds.len() {
            return None;
        }
        let own = gateway.with_members(|members| members.own().peers_at);
        seeds.get(round % seeds.len().max(1)).copied().filter(|address| *address != own)
    }

    /// Tells all that live, at once.
    pub async fn announce<P: Platform>(&self, gateway: &Rc<Gateway<P>>) {
        let now = gateway.now();
        let readiness = gateway.readiness();
        let living = gateway.with_members(|members| {
            members.advance_heartbeat();
            members.set_readiness(readiness);
            members.alive_peers(now)
        });
        let told = living.into_iter().map(|address| self.exchange(gateway, address));
        futures_util::future::join_all(told).await;
    }

    /// Exchanges news with the gateway at an address; whether it answered.
    async fn exchange<P: Platform>(&self, gateway: &Rc<Gateway<P>>, address: SocketAddr) -> bool {
        let exchange = async |kept| {
            let done = exchange(gateway, address, kept);
            Ok((time::timeout(EXCHANGE_TIMEOUT, done).await??, ()))
        };
        let answered = self.links.exchange(address, exchange).await.is_ok();
        let now = gateway.now();
        gateway.with_members(|members| match answered {
            true => members.record_exchange(now),
            false => members.mark_unreachable(address),
        });
        answered
    }
}

/// Forgets gateways that were silent for long; logs whom callers are sent to from now on, or are not.
fn note_sightings<P: Platform>(gateway: &Gateway<P>, now: Millis) {
    let (sightings, living) = gateway.with_members(|members| {
        members.remove_expired(now);
        (members.liveness_changes(now), members.count_alive(now))
    });
    gateway.metrics.gateways_living.set(living as i64);
    if sightings.is_empty() {
        return;
    }
    let line: Vec<String> = sightings.iter().map(LivenessChange::to_string).collect();
    gateway.journal.state(format_args!("{living} gateways live: {}", line.join(", ")));
}

async fn exchange<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    address: SocketAddr,
    kept: Option<Socket>,
) -> eyre::Result<Socket> {
    let mut socket = match kept {
        Some(socket) => socket,
        None => connect(address, EXCHANGE_TIMEOUT).await?,
    };
    let asked_at = gateway.now();
    let reply = round_trip(&mut socket, &opening_message(gateway)).await?;
    apply_reply(gateway, &reply, asked_at);
    // What the other lacks, it is given at once.
    if let Some(follow_up) = follow_up(gateway, &reply) {
        let asked_at = gateway.now();
        apply_reply(gateway, &round_trip(&mut socket, &follow_up).await?, asked_at);
    }
    Ok(socket)
}

/// Opens a connection to another gateway.
pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> eyre::Result<Socket> {
    let stream = dial::dial(address, timeout).await?;
    Ok(tokio_tungstenite::client_async(format!("ws://{address}/"), stream).await?.0)
}

/// Sends news, and returns the reply.
pub(crate) async fn round_trip(socket: &mut Socket, news: &PeerNews) -> eyre::Result<PeerNews> {
    socket.send(encode(news)).await?;
    while let Some(message) = socket.next().await {
        if let Message::Binary(bytes) = message? {
            return decode(bytes);
        }
    }
    Err(eyre::eyre!("the connection was closed"))
}
