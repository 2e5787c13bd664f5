//! What gateways tell each other, between its form on the link and the core's own types.

use std::iter;

use bytes::Bytes;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::advertised_limit::LimitAdvertisement;
use hooktrestle_core::direct::advertised_limit::Rate;
use hooktrestle_core::direct::advertised_limit::TRANSIT_ALLOWANCE;
use hooktrestle_core::direct::crashes::Cleared;
use hooktrestle_core::direct::crashes::Crash;
use hooktrestle_core::direct::crashes::CrashReportId;
use hooktrestle_core::direct::crashes::Reporter;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use hooktrestle_core::direct::crashes::Stage;
use hooktrestle_core::direct::crashes::Suspect;
use hooktrestle_core::direct::fingerprint::Fingerprint;
use hooktrestle_core::direct::members::Heartbeat;
use hooktrestle_core::direct::members::IncarnationId;
use hooktrestle_core::direct::members::Member;
use hooktrestle_core::direct::members::MemberRecord;
use hooktrestle_core::direct::members::Readiness;
use hooktrestle_core::direct::replica::Change;
use hooktrestle_core::direct::replica::Revision;
use hooktrestle_core::direct::replica::Update;
use hooktrestle_core::direct::slow_servers::SlowServerReport;
use hooktrestle_schema as schema;
use hooktrestle_schema::CrashNews;
use hooktrestle_schema::MemberNews;
use hooktrestle_schema::PeerNews;
use hooktrestle_schema::SlowServers;
use hooktrestle_schema::TableChange;
use hooktrestle_schema::TableKnown;
use hooktrestle_schema::TableNews;
use tokio_tungstenite::tungstenite::Message;

use crate::gateway::Gateway;
use crate::permits;
use crate::platform::Platform;
use crate::platform::Table;

/// Nesting of a message; it is four levels deep.
const DEPTH_LIMIT: usize = 16;

/// Time after a standstill in which questions that came meanwhile are read.
pub(crate) const LATE_READ_WINDOW: Millis = Millis(300);

/// What is asked first: what this gateway knows.
pub(super) fn opening_message<P: Platform>(gateway: &Gateway<P>) -> PeerNews {
    let now = gateway.now();
    let (own, beats) =
        gateway.with_members(|members| (members.own_record(), members.heartbeats(now)));
    PeerNews { members: vec![word_news(&own)], ..with_beats(own_news(gateway, None), &beats) }
}

/// Takes what another gateway told, and returns the reply to it: what the other lacks and, if it told
/// all that it knows, what this one knows and lacks.
pub(super) fn reply<P: Platform>(gateway: &Gateway<P>, asked: &PeerNews) -> PeerNews {
    let now = gateway.now();
    // It may have waited as long as this process stood still.
    let waited = gateway.stood_still(LATE_READ_WINDOW).unwrap_or(Millis::ZERO);
    if let Some(permits) = &asked.permits_asked {
        gateway.take_limits(&received_limits(asked, now, waited));
        return permits::reply(gateway, permits);
    }
    let told = beats_of(asked, waited);
    let unknown = take_told(gateway, asked, &told, waited);
    let news = own_news(gateway, Some(asked));
    let wanted: Vec<CrashReportId> = asked.crashes_wanted.iter().map(sighting).collect();
    let crashes = gateway.with_crashes(|crashes| crashes.reports_by_id(&wanted, now));
    let news = PeerNews { crashes: crashes.iter().map(crash_news).collect(), ..news };
    if told.is_empty() {
        return news;
    }
    let differs = asked.crash_digest_number != news.crash_digest_number;
    let news = if differs { with_known_crashes(gateway, news, now) } else { news };
    let (lacking, beats) = gateway.with_members(|members| {
        (members.records_missing_from(&told, now), members.heartbeats(now))
    });
    PeerNews {
        members: lacking.iter().map(word_news).collect(),
        wanted_numbers: unknown.iter().map(|life| life.0).collect(),
        ..with_beats(news, &beats)
    }
}

/// What the other was found to lack by its reply, if anything.
pub(super) fn follow_up<P: Platform>(gateway: &Gateway<P>, reply: &PeerNews) -> Option<PeerNews> {
    let wanted: Vec<IncarnationId> =
        reply.wanted_numbers.iter().copied().map(IncarnationId).collect();
    let now = gateway.now();
    let members = gateway.with_members(|members| members.records_of(&wanted, now));
    let news = own_news(gateway, Some(reply));
    let news = with_lacking_crashes(gateway, news, reply, now);
    let has_crashes = !news.crashes.is_empty() || !news.crashes_wanted.is_empty();
    let has_tables = !news.news.is_empty() || news.configuration_kept.is_some();
    let lacks_nothing = members.is_empty() && !has_tables && !has_crashes;
    let members = members.iter().map(word_news).collect();
    (!lacks_nothing).then_some(PeerNews { members, ..news })
}

/// News with the crashes that are known, to one that knows others.
fn with_known_crashes<P: Platform>(gateway: &Gateway<P>, news: PeerNews, now: Millis) -> PeerNews {
    let (known, cleared) =
        gateway.with_crashes(|crashes| (crashes.report_digests(now), crashes.cleared(now)));
    PeerNews {
        crashes_known: known
            .iter()
            .map(|((server, by), digest)| [server.0, by.0, *digest])
            .collect(),
        cleared: cleared.iter().map(cleared_news).collect(),
        ..news
    }
}

/// News with the crashes that the other lacks by its reply, asking for those that this gateway lacks.
fn with_lacking_crashes<P: Platform>(
    gateway: &Gateway<P>,
    news: PeerNews,
    reply: &PeerNews,
    now: Millis,
) -> PeerNews {
    if reply.crash_digest_number == news.crash_digest_number {
        return news;
    }
    let known = reply.crashes_known.iter();
    let known: Vec<_> =
        known.map(|&[server, by, digest]| (sighting(&[server, by]), digest)).collect();
    let ((lacking, wanted), cleared) =
        gateway.with_crashes(|crashes| (crashes.compare(&known, now), crashes.cleared(now)));
    PeerNews {
        crashes: lacking.iter().map(crash_news).collect(),
        crashes_wanted: wanted.iter().map(|(server, by)| [server.0, by.0]).collect(),
        cleared: cleared.iter().map(cleared_news).collect(),
        ..news
    }
}

fn sighting(&[server, by]: &[u64; 2]) -> CrashReportId {
    (ServerIncarnation(server), Reporter(by))
}

/// How far a request was, as gateways tell each other; those that know two stages take the last for the second.
fn stage_number(stage: Stage) -> u64 {
    match stage {
        Stage::Waiting => 0,
        Stage::Running => 1,
        Stage::Starting => 2,
    }
}

fn stage_of(number: u64) -> Stage {
    match number {
        0 => Stage::Waiting,
        2 => Stage::Starting,
        _ => Stage::Running,
    }
}

fn crash_news(crash: &Crash) -> CrashNews {
    let suspects = crash.suspects.iter();
    let suspects = suspects.map(|one| [one.fingerprint.0, one.ran.0, stage_number(one.stage)]);
    CrashNews {
        server_number: crash.server.0,
        reporter_number: crash.reporter.0,
        age_ms: crash.age.0,
        suspects: suspects.collect(),
    }
}

fn crash(news: &CrashNews, waited: Millis) -> Crash {
    let suspects = news.suspects.iter().map(|&[fingerprint, ran_ms, stage]| Suspect {
        fingerprint: Fingerprint(fingerprint),
        ran: Millis(ran_ms),
        stage: stage_of(stage),
    });
    Crash {
        server: ServerIncarnation(news.server_number),
        reporter: Reporter(news.reporter_number),
        age: Millis(news.age_ms) + waited,
        suspects: suspects.collect(),
    }
}

fn cleared_news(cleared: &Cleared) -> [u64; 2] {
    [cleared.fingerprint.0, cleared.age.0]
}

/// What this gateway knows of tables and findings, and what the other lacks by what it told.
fn own_news<P: Platform>(gateway: &Gateway<P>, other: Option<&PeerNews>) -> PeerNews {
    let known = other.into_iter().flat_map(|other| &other.known);
    let lacks = known.filter_map(|known| {
        let revision = Revision { era: known.era_number, count: known.revision };
        let update = gateway.since(Table::of_name(&known.table)?, revision)?;
        Some(table_news(&known.table, update))
    });
    let now = gateway.now();
    let limits = gateway.with_pool(|pool| pool.advertised_limits(now));
    PeerNews {
        known: [Table::Configuration, Table::Servers]
            .map(|table| {
                let Revision { era, count } = gateway.revision(table);
                TableKnown { table: table.name().to_owned(), era_number: era, revision: count }
            })
            .to_vec(),
        news: lacks.collect(),
        configuration_version: gateway.serving().version,
        configuration_kept: other
            .and_then(|other| gateway.kept_for(other.configuration_version))
            .map(|update| table_news(Table::Configuration.name(), update)),
        slow: gateway.with_findings(|findings| findings.current(now).map(slow_servers).collect()),
        crash_digest_number: gateway.with_crashes(|crashes| crashes.digest(now)),
        limits: limits.iter().map(|(server, said)| limit_news(*server, said, now)).collect(),
        ..empty_message()
    }
}

/// News that tell nothing.
pub(crate) fn empty_message() -> PeerNews {
    PeerNews {
        members: Vec::new(),
        beats: Vec::new(),
        beat_ages_ms: Vec::new(),
        wanted_numbers: Vec::new(),
        known: Vec::new(),
        news: Vec::new(),
        configuration_version: 0,
        configuration_kept: None,
        slow: Vec::new(),
        crash_digest_number: 0,
        crashes_known: Vec::new(),
        crashes_wanted: Vec::new(),
        crashes: Vec::new(),
        cleared: Vec::new(),
        limits: Vec::new(),
        permits_asked: None,
        permits_given: None,
    }
}

/// Stands for no limit.
const NO_LIMIT: u64 = u64::MAX;

fn limit_news(server: ServerIncarnation, said: &LimitAdvertisement, now: Millis) -> [u64; 4] {
    let limit = said.limit.map_or(NO_LIMIT, |limit| limit.in_1000_s);
    [server.0, limit, now.since(said.latest).0, now.since(said.earliest).0]
}

/// What a server said of its limit, as it is told.
pub(crate) fn limit_entries<P: Platform>(
    gateway: &Gateway<P>,
    server: ServerIncarnation,
) -> Vec<[u64; 4]> {
    let now = gateway.now();
    let said = gateway.with_pool(|pool| pool.advertised_limit(server));
    said.iter().map(|said| limit_news(server, said, now)).collect()
}

/// What another gateway told of limits, in an reply that was waited for so long.
pub(crate) fn received_limits(
    news: &PeerNews,
    now: Millis,
    waited: Millis,
) -> Vec<(ServerIncarnation, LimitAdvertisement)> {
    let told = news.limits.iter().map(|&[server, in_1000_s, latest_ms, earliest_ms]| {
        let limit = (in_1000_s != NO_LIMIT).then_some(Rate { in_1000_s });
        let latest = now - Millis(latest_ms);
        let earliest = now - (Millis(earliest_ms) + waited + TRANSIT_ALLOWANCE);
        (ServerIncarnation(server), LimitAdvertisement { limit, earliest, latest })
    });
    told.collect()
}

fn slow_servers((service, finding): (&str, SlowServerReport)) -> SlowServers {
    SlowServers {
        age_ms: finding.age.0,
        service: service.to_owned(),
        lead_fence_number: finding.fencing_token,
        finding_number: finding.number,
        servers: finding.servers,
    }
}

/// Takes what another gateway answered to what was asked at a time. The reply may have waited since,
/// as this process may have stood still: what it tells is older by so much at the most.
pub(super) fn apply_reply<P: Platform>(gateway: &Gateway<P>, news: &PeerNews, asked_at: Millis) {
    let waited = gateway.now().since(asked_at);
    // Whoever it names and this gateway did not know comes with the reply.
    take_told(gateway, news, &beats_of(news, waited), waited);
}

/// Takes what another gateway told so long ago, with these beats; returns the lives among them that are
/// not known.
fn take_told<P: Platform>(
    gateway: &Gateway<P>,
    news: &PeerNews,
    beats: &[Heartbeat],
    waited: Millis,
) -> Vec<IncarnationId> {
    let now = gateway.now();
    let unknown = gateway.with_members(|members| {
        let told = news.members.iter().filter_map(|told| word(told, waited));
        told.for_each(|word| members.apply_record(&word, now));
        members.apply_heartbeats(beats, now)
    });
    for told in &news.slow {
        let (fence, number) = (told.lead_fence_number, told.finding_number);
        let age = Millis(told.age_ms) + waited;
        let finding =
            SlowServerReport { fencing_token: fence, number, servers: told.servers.clone(), age };
        gateway.take_finding(&told.service, &finding);
    }
    let crashes: Vec<Crash> = news.crashes.iter().map(|told| crash(told, waited)).collect();
    let cleared = news.cleared.iter().map(|&[fingerprint, age_ms]| Cleared {
        fingerprint: Fingerprint(fingerprint),
        age: Millis(age_ms) + waited,
    });
    gateway.take_crashes(&crashes, &cleared.collect::<Vec<_>>());
    gateway.take_limits(&received_limits(news, now, waited));
    for table_news in &news.news {
        if let Some(table) = Table::of_name(&table_news.table) {
            gateway.take(table, &update(table_news), "peer");
        }
    }
    if let Some(kept) = &news.configuration_kept {
        gateway.take_kept(&update(kept));
    }
    unknown
}

fn table_news(table: &str, update: Update) -> TableNews {
    let changes = update.changes.into_iter().map(|change| TableChange {
        key: change.key,
        revision: change.revision,
        value: change.value,
    });
    TableNews {
        table: table.to_owned(),
        era_number: update.revision.era,
        revision: update.revision.count,
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
    let revision = Revision { era: news.era_number, count: news.revision };
    Update { revision, whole: news.whole, changes: changes.collect() }
}

/// Readiness as a state names it, from 0 on.
const STATES: [Readiness; 3] = [Readiness::Starting, Readiness::Ready, Readiness::Leaving];

/// Added to a state where the store answers.
const ANSWERS: u64 = 4;

fn beat_news(beat: &Heartbeat) -> [u64; 4] {
    let place = STATES.iter().position(|readiness| *readiness == beat.readiness);
    let answers = if beat.store_answers { ANSWERS } else { 0 };
    let state = place.unwrap_or_default() as u64 + answers;
    [beat.incarnation_id.0, beat.heartbeat, state, beat.leader_fencing_token]
}

/// News with these beats.
fn with_beats(news: PeerNews, beats: &[Heartbeat]) -> PeerNews {
    PeerNews {
        beats: beats.iter().map(beat_news).collect(),
        beat_ages_ms: beats.iter().map(|beat| beat.age.0).collect(),
        ..news
    }
}

/// The beats that were told, each older by `waited` than it says. A gateway of an earlier version tells
/// no ages.
fn beats_of(news: &PeerNews, waited: Millis) -> Vec<Heartbeat> {
    let ages = news.beat_ages_ms.iter().copied().chain(iter::repeat(0));
    let told = news.beats.iter().zip(ages);
    told.filter_map(|(told, age_ms)| beat(told, Millis(age_ms) + waited)).collect()
}

/// The reverse; `None` for a state of a later version.
fn beat(
    &[life, heartbeat, state, leader_fencing_token]: &[u64; 4],
    age: Millis,
) -> Option<Heartbeat> {
    let readiness = *STATES.get((state % ANSWERS) as usize)?;
    let store_answers = state / ANSWERS == 1;
    Some(Heartbeat {
        incarnation_id: IncarnationId(life),
        heartbeat,
        readiness,
        store_answers,
        leader_fencing_token,
        age,
    })
}

fn word_news(word: &MemberRecord) -> MemberNews {
    MemberNews { age_ms: word.age.0, ..member_news(&word.member) }
}

fn word(news: &MemberNews, waited: Millis) -> Option<MemberRecord> {
    Some(MemberRecord { member: member(news)?, age: Millis(news.age_ms) + waited })
}

fn member_news(member: &Member) -> MemberNews {
    MemberNews {
        age_ms: 0,
        name: member.name.clone(),
        incarnation: member.incarnation,
        heartbeat_number: member.heartbeat,
        callers_at: member.callers_at.to_string(),
        peers_at: member.peers_at.to_string(),
        data_centre: member.data_centre.clone(),
        memory_bytes: member.memory_bytes,
        readiness: match member.readiness {
            Readiness::Starting => schema::Readiness::Starting,
            Readiness::Ready => schema::Readiness::Ready,
            Readiness::Leaving => schema::Readiness::Leaving,
        },
        store_answers: member.store_answers,
        lead_fence_number: member.leader_fencing_token,
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
        memory_bytes: news.memory_bytes,
        readiness: match news.readiness {
            schema::Readiness::Starting => Readiness::Starting,
            schema::Readiness::Ready => Readiness::Ready,
            schema::Readiness::Leaving => Readiness::Leaving,
        },
        store_answers: news.store_answers,
        leader_fencing_token: news.lead_fence_number,
    })
}

/// A gateway as it stands in [`Table::Members`].
pub(crate) fn member_to_json(member: &Member) -> String {
    // The type has only fields that JSON can hold.
    serde_json::to_string(&member_news(member)).unwrap_or_default()
}

/// The gateway that a value of [`Table::Members`] lists.
pub(crate) fn member_from_json(text: &str) -> Option<Member> {
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
