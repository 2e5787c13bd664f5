//! What gateways tell each other, between its form on the link and the core's own types.

use bytes::Bytes;
use hooktrestle_core::direct::members::Member;
use hooktrestle_core::direct::members::Readiness;
use hooktrestle_core::direct::replica::Change;
use hooktrestle_core::direct::replica::Update;
use hooktrestle_core::direct::slow::Finding;
use hooktrestle_schema as schema;
use hooktrestle_schema::MemberNews;
use hooktrestle_schema::PeerNews;
use hooktrestle_schema::SlowServers;
use hooktrestle_schema::TableChange;
use hooktrestle_schema::TableKnown;
use hooktrestle_schema::TableNews;
use tokio_tungstenite::tungstenite::Message;

use crate::gateway::Gateway;
use crate::platform::Platform;
use crate::platform::Table;

/// Nesting of a message; it is four levels deep.
const DEPTH_LIMIT: usize = 16;

/// What this gateway knows, and what one that knows `known` lacks.
pub(super) fn own_news<P: Platform>(gateway: &Gateway<P>, known: &[TableKnown]) -> PeerNews {
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
        slow: gateway.with_findings(|findings| findings.all().map(slow_servers).collect()),
    }
}

fn slow_servers((service, finding): (&str, &Finding)) -> SlowServers {
    SlowServers {
        service: service.to_owned(),
        lead_fence_number: finding.fence,
        finding_number: finding.number,
        servers: finding.servers.clone(),
    }
}

/// Takes what another gateway told.
pub(super) fn take<P: Platform>(gateway: &Gateway<P>, news: &PeerNews) {
    let now = gateway.now();
    gateway.with_members(|members| {
        let told = news.members.iter().filter_map(member);
        told.for_each(|member| members.hear(&member, now));
    });
    for told in &news.slow {
        let (fence, number) = (told.lead_fence_number, told.finding_number);
        let finding = Finding { fence, number, servers: told.servers.clone() };
        gateway.take_finding(&told.service, &finding);
    }
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
        store_answers: member.store_answers,
        lead_fence_number: member.lead_fence,
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
        store_answers: news.store_answers,
        lead_fence: news.lead_fence_number,
    })
}

/// A gateway as it stands in [`Table::Members`].
pub(crate) fn member_text(member: &Member) -> String {
    // The type has only fields that JSON can hold.
    serde_json::to_string(&member_news(member)).unwrap_or_default()
}

/// The gateway that a value of [`Table::Members`] lists.
pub(crate) fn member_of_text(text: &str) -> Option<Member> {
    member(&serde_json::from_str::<MemberNews>(text).ok()?)
}

/// News as they cross a link.
pub(super) fn encode(news: &PeerNews) -> Message {
    let mut bytes = Vec::new();
    ciborium::into_writer(news, &mut bytes).expect("news are representable in CBOR");
    Message::Binary(Bytes::from(bytes))
}

/// The reverse.
///
/// # Errors
///
/// These bytes are no news.
pub(super) fn decode(bytes: Bytes) -> eyre::Result<PeerNews> {
    Ok(ciborium::de::from_reader_with_recursion_limit(bytes.as_ref(), DEPTH_LIMIT)?)
}
