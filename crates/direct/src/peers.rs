//! News between gateways: who lives, and what changed in the platform's tables.
//!
//! Each gateway asks another one, drawn at random, about once a second, more often while the store
//! does not answer it. Both tell what they know, and give each other what is lacking. So whatever
//! reaches one gateway reaches all within a few rounds, also those that the store turns away.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use hooktrestle_core::direct::members::Member;
use hooktrestle_core::direct::members::Readiness;
use hooktrestle_core::direct::replica::Change;
use hooktrestle_core::direct::replica::Update;
use hooktrestle_schema as schema;
use hooktrestle_schema::MemberNews;
use hooktrestle_schema::PeerNews;
use hooktrestle_schema::TableChange;
use hooktrestle_schema::TableKnown;
use hooktrestle_schema::TableNews;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::accept;
use crate::dial;
use crate::gateway::Gateway;
use crate::platform::Platform;
use crate::platform::Table;

/// Time between two rounds while the store answers.
const ROUND: Duration = Duration::from_millis(600);

/// The same while it does not, or while this gateway knows too little to serve.
const HASTY_ROUND: Duration = Duration::from_millis(250);

/// Longest time for one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections to other gateways that are kept.
const MOST_KEPT: usize = 8;

/// Nesting of a message; it is four levels deep.
const DEPTH_LIMIT: usize = 16;

type Socket = WebSocketStream<TcpStream>;

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
        take(&gateway, &asked);
        let answer = own_news(&gateway, &asked.known);
        time::timeout(EXCHANGE_TIMEOUT, socket.send(encode(&answer))).await??;
    }
    Ok(())
}

/// Connections to other gateways.
#[derive(Default)]
pub struct Peers {
    kept: RefCell<HashMap<SocketAddr, Socket>>,
    seeds: RefCell<Vec<SocketAddr>>,
}

impl Peers {
    /// Gateways to ask while no other is known.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Exchanges news until the process ends.
    pub async fn run<P: Platform>(&self, gateway: Rc<Gateway<P>>) {
        let mut seed = 0;
        loop {
            let now = gateway.now();
            let readiness = gateway.readiness();
            let drawn = gateway.with_members(|members| {
                members.beat();
                members.set_readiness(readiness);
                members.forget(now);
                members.draw(now, &mut rand::rng())
            });
            // Seeds are asked now and then also later: after a cut they may know the other side.
            let seeds = self.seeds.borrow().clone();
            let own = gateway.with_members(|members| members.own().peers_at);
            seed += 1;
            let from_seeds = if drawn.is_none() || seed % 8 == 0 || seed < seeds.len() {
                seeds.get(seed % seeds.len().max(1)).copied().filter(|address| *address != own)
            } else {
                None
            };
            if let Some(address) = from_seeds.or(drawn) {
                self.exchange(&gateway, address).await;
            }
            let hasty = !gateway.store_answers() || readiness == Readiness::Starting;
            time::sleep(if hasty { HASTY_ROUND } else { ROUND }).await;
        }
    }

    /// Tells all that live, at once.
    pub async fn announce<P: Platform>(&self, gateway: &Rc<Gateway<P>>) {
        let now = gateway.now();
        let readiness = gateway.readiness();
        let living = gateway.with_members(|members| {
            members.beat();
            members.set_readiness(readiness);
            members.living_peers(now)
        });
        let told = living.into_iter().map(|address| self.exchange(gateway, address));
        futures_util::future::join_all(told).await;
    }

    async fn exchange<P: Platform>(&self, gateway: &Rc<Gateway<P>>, address: SocketAddr) {
        let kept = self.kept.borrow_mut().remove(&address);
        let again = kept.is_some();
        let mut done = time::timeout(EXCHANGE_TIMEOUT, exchange(gateway, address, kept)).await;
        if again && !matches!(done, Ok(Ok(_))) {
            // The other may have been restarted since.
            done = time::timeout(EXCHANGE_TIMEOUT, exchange(gateway, address, None)).await;
        }
        match done {
            Ok(Ok(socket)) => {
                let mut kept = self.kept.borrow_mut();
                if kept.len() < MOST_KEPT {
                    kept.insert(address, socket);
                }
            }
            Ok(Err(_)) | Err(_) => {
                let now = gateway.now();
                gateway.with_members(|members| members.unreachable(address, now));
            }
        }
    }
}

async fn exchange<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    address: SocketAddr,
    kept: Option<Socket>,
) -> eyre::Result<Socket> {
    let mut socket = match kept {
        Some(socket) => socket,
        None => {
            let stream = dial::dial(address, EXCHANGE_TIMEOUT).await?;
            tokio_tungstenite::client_async(format!("ws://{address}/"), stream).await?.0
        }
    };
    let answer = ask(&mut socket, &own_news(gateway, &[])).await?;
    take(gateway, &answer);
    // What the other lacks, it is given at once.
    let given = own_news(gateway, &answer.known);
    if !given.news.is_empty() {
        take(gateway, &ask(&mut socket, &given).await?);
    }
    Ok(socket)
}

async fn ask(socket: &mut Socket, news: &PeerNews) -> eyre::Result<PeerNews> {
    socket.send(encode(news)).await?;
    while let Some(message) = socket.next().await {
        if let Message::Binary(bytes) = message? {
            return decode(bytes);
        }
    }
    Err(eyre::eyre!("the connection was closed"))
}

/// What this gateway knows, and what one that knows `known` lacks.
fn own_news<P: Platform>(gateway: &Gateway<P>, known: &[TableKnown]) -> PeerNews {
    let members = gateway.with_members(|members| members.tell());
    let lacks = known.iter().filter_map(|known| {
        let update = gateway.since(Table::of_name(&known.table)?, known.revision)?;
        Some(table_news(&known.table, update))
    });
    PeerNews {
        members: members.iter().map(member_news).collect(),
        known: [Table::Configuration, Table::Servers]
            .map(|table| TableKnown {
                table: table.name().to_owned(),
                revision: gateway.revision(table),
            })
            .to_vec(),
        news: lacks.collect(),
    }
}

fn take<P: Platform>(gateway: &Gateway<P>, news: &PeerNews) {
    let now = gateway.now();
    gateway.with_members(|members| {
        let told = news.members.iter().filter_map(member);
        told.for_each(|member| members.hear(&member, now));
    });
    for table_news in &news.news {
        if let Some(table) = Table::of_name(&table_news.table) {
            gateway.take(table, &update(table_news), "peer");
        }
    }
}

fn table_news(table: &str, update: Update) -> TableNews {
    let changes = update.changes.into_iter().map(|change| TableChange {
        key: change.key,
        revision: change.revision,
        value: change.value,
    });
    TableNews {
        table: table.to_owned(),
        revision: update.revision,
        whole: update.whole,
        changes: changes.collect(),
    }
}

fn update(news: &TableNews) -> Update {
    let changes = news.changes.iter().map(|change| Change {
        key: change.key.clone(),
        revision: change.revision,
        value: change.value.clone(),
    });
    Update { revision: news.revision, whole: news.whole, changes: changes.collect() }
}

fn member_news(member: &Member) -> MemberNews {
    MemberNews {
        name: member.name.clone(),
        incarnation: member.incarnation,
        heartbeat_number: member.heartbeat,
        callers_at: member.callers_at.to_string(),
        peers_at: member.peers_at.to_string(),
        data_centre: member.data_centre.clone(),
        readiness: match member.readiness {
            Readiness::Starting => schema::Readiness::Starting,
            Readiness::Ready => schema::Readiness::Ready,
            Readiness::Leaving => schema::Readiness::Leaving,
        },
    }
}

fn member(news: &MemberNews) -> Option<Member> {
    Some(Member {
        name: news.name.clone(),
        incarnation: news.incarnation,
        heartbeat: news.heartbeat_number,
        callers_at: news.callers_at.parse().ok()?,
        peers_at: news.peers_at.parse().ok()?,
        data_centre: news.data_centre.clone(),
        readiness: match news.readiness {
            schema::Readiness::Starting => Readiness::Starting,
            schema::Readiness::Ready => Readiness::Ready,
            schema::Readiness::Leaving => Readiness::Leaving,
        },
    })
}

/// A gateway as it stands in [`Table::Members`].
pub fn member_text(member: &Member) -> String {
    // The type has only fields that JSON can hold.
    serde_json::to_string(&member_news(member)).unwrap_or_default()
}

/// The gateway that a value of [`Table::Members`] lists.
pub fn member_of_text(text: &str) -> Option<Member> {
    member(&serde_json::from_str::<MemberNews>(text).ok()?)
}

fn encode(news: &PeerNews) -> Message {
    let mut bytes = Vec::new();
    ciborium::into_writer(news, &mut bytes).expect("news are representable in CBOR");
    Message::Binary(Bytes::from(bytes))
}

fn decode(bytes: Bytes) -> eyre::Result<PeerNews> {
    Ok(ciborium::de::from_reader_with_recursion_limit(bytes.as_ref(), DEPTH_LIMIT)?)
}
