//! Gossip messages: translates between their form on the wire and the types of the core.
//! Input: messages of peers, and what this gateway knows. It has no state of its own.
//! It decides what each message contains: what the peer lacks, and what this gateway lacks.
//!
//! An exchange has up to four messages: [`opening_message`], [`reply`], and if one side still
//! lacks anything, [`follow_up`] and the reply to it. All of them are a [`PeerNews`].

use std::iter;

use bytes::Bytes;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::advertised_limit::LimitAdvertisement;
use hooktrestle_core::direct::advertised_limit::Rate;
use hooktrestle_core::direct::advertised_limit::TRANSIT_ALLOWANCE;
use hooktrestle_core::direct::crashes::AttemptCount;
use hooktrestle_core::direct::crashes::Cleared;
use hooktrestle_core::direct::crashes::Crash;
use hooktrestle_core::direct::crashes::CrashReportId;
use hooktrestle_core::direct::crashes::EndingCount;
use hooktrestle_core::direct::crashes::Reporter;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use hooktrestle_core::direct::crashes::ServiceNumber;
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
use crate::room;

/// Limit of the nesting of a message. Messages are four levels deep.
const DEPTH_LIMIT: usize = 16;

/// Time after a suspension of this process in which it reads messages that arrived during it.
pub(crate) const LATE_READ_WINDOW: Millis = Millis(300);

/// The first message of an exchange: what this gateway knows.
pub(super) fn opening_message<P: Platform>(gateway: &Gateway<P>) -> PeerNews {
    let now = gateway.now();
    let (own, beats) =
        gateway.with_members(|members| (members.own_record(), members.heartbeats(now)));
    PeerNews {
        members: vec![record_to_wire(&own)],
        ..with_heartbeats(own_state(gateway, None), &beats)
    }
}

/// Applies a message of another gateway, and returns the reply: what the sender lacks and, if the
/// message lists all heartbeats that the sender knows, also what this gateway knows and lacks.
pub(super) fn reply<P: Platform>(gateway: &Gateway<P>, request: &PeerNews) -> PeerNews {
    let now = gateway.now();
    // The message may have waited for as long as this process was suspended.
    let delay = gateway.recent_suspension(LATE_READ_WINDOW).unwrap_or(Millis::ZERO);
    if let Some(permits) = &request.permits_asked {
        gateway.apply_limits(&received_limits(request, now, delay));
        return permits::reply(gateway, permits);
    }
    if let Some(asked) = &request.room_asked {
        return room::reply(gateway, asked);
    }
    let received = received_heartbeats(request, delay);
    let unknown = apply_message(gateway, request, &received, delay);
    let message = own_state(gateway, Some(request));
    let wanted: Vec<CrashReportId> = request.crashes_wanted.iter().map(report_id).collect();
    let crashes = gateway.with_crashes(|crashes| crashes.reports_by_id(&wanted, now));
    let crashes = crashes.iter().map(|crash| crash_to_wire(crash, Millis::ZERO)).collect();
    let message = PeerNews { crashes, ..message };
    if received.is_empty() {
        return message;
    }
    let differs = request.crash_digest_number != message.crash_digest_number;
    let message = if differs { with_known_crashes(gateway, message, now) } else { message };
    let (missing, beats) = gateway.with_members(|members| {
        (members.records_missing_from(&received, now), members.heartbeats(now))
    });
    PeerNews {
        members: missing.iter().map(record_to_wire).collect(),
        wanted_numbers: unknown.iter().map(|incarnation| incarnation.0).collect(),
        ..with_heartbeats(message, &beats)
    }
}

/// What the peer lacks according to its reply, with requests for crashes that this gateway lacks;
/// `None` if there is neither. `round_trip` is the time that the reply took: this message is
/// expected to take no longer than twice that.
pub(super) fn follow_up<P: Platform>(
    gateway: &Gateway<P>,
    reply: &PeerNews,
    round_trip: Millis,
) -> Option<PeerNews> {
    let wanted: Vec<IncarnationId> =
        reply.wanted_numbers.iter().copied().map(IncarnationId).collect();
    let now = gateway.now();
    let members = gateway.with_members(|members| members.records_of(&wanted, now));
    let message = own_state(gateway, Some(reply));
    let transit = Millis(2 * round_trip.0);
    let message = with_missing_crashes(gateway, message, reply, transit, now);
    let has_crashes = !message.crashes.is_empty() || !message.crashes_wanted.is_empty();
    let has_tables = !message.news.is_empty() || message.configuration_kept.is_some();
    let nothing_missing = members.is_empty() && !has_tables && !has_crashes;
    let members = members.iter().map(record_to_wire).collect();
    (!nothing_missing).then_some(PeerNews { members, ..message })
}

/// Adds the known crashes to a message, for a peer that knows other ones.
fn with_known_crashes<P: Platform>(
    gateway: &Gateway<P>,
    message: PeerNews,
    now: Millis,
) -> PeerNews {
    let (known, cleared) =
        gateway.with_crashes(|crashes| (crashes.report_digests(now), crashes.cleared(now)));
    PeerNews {
        crashes_known: known
            .iter()
            .map(|((server, reporter), digest)| [server.0, reporter.0, *digest])
            .collect(),
        cleared: cleared.iter().map(cleared_to_wire).collect(),
        ending_counts: ending_counts(gateway, now),
        attempt_counts: attempt_counts(gateway, now),
        ..message
    }
}

/// Adds the crashes that the peer lacks according to its reply, and requests those that this
/// gateway lacks.
fn with_missing_crashes<P: Platform>(
    gateway: &Gateway<P>,
    message: PeerNews,
    reply: &PeerNews,
    transit: Millis,
    now: Millis,
) -> PeerNews {
    if reply.crash_digest_number == message.crash_digest_number {
        return message;
    }
    let known = reply.crashes_known.iter();
    let known: Vec<_> =
        known.map(|&[server, reporter, digest]| (report_id(&[server, reporter]), digest)).collect();
    let ((missing, wanted), cleared) =
        gateway.with_crashes(|crashes| (crashes.compare(&known, now), crashes.cleared(now)));
    PeerNews {
        crashes: missing.iter().map(|crash| crash_to_wire(crash, transit)).collect(),
        crashes_wanted: wanted.iter().map(|(server, reporter)| [server.0, reporter.0]).collect(),
        cleared: cleared.iter().map(cleared_to_wire).collect(),
        ending_counts: ending_counts(gateway, now),
        attempt_counts: attempt_counts(gateway, now),
        ..message
    }
}

fn report_id(&[server, reporter]: &[u64; 2]) -> CrashReportId {
    (ServerIncarnation(server), Reporter(reporter))
}

/// The number of a stage on the wire. Gateways that know only two stages read the last one as the
/// second.
fn stage_to_wire(stage: Stage) -> u64 {
    match stage {
        Stage::Waiting => 0,
        Stage::Running => 1,
        Stage::Starting => 2,
        Stage::Doubtful => 3,
    }
}

fn stage_from_wire(number: u64) -> Stage {
    match number {
        0 => Stage::Waiting,
        2 => Stage::Starting,
        3 => Stage::Doubtful,
        _ => Stage::Running,
    }
}

/// A crash for a message. The receiver of a reply knows how long that may have been in transit;
/// `transit` is the longest time expected for any other message.
fn crash_to_wire(crash: &Crash, transit: Millis) -> CrashNews {
    let suspects = crash.suspects.iter();
    let suspects = suspects.map(|one| [one.fingerprint.0, one.ran.0, stage_to_wire(one.stage)]);
    CrashNews {
        server_number: crash.server.0,
        service_number: crash.service.0,
        reporter_number: crash.reporter.0,
        age_ms: crash.age.0,
        age_error_ms: (crash.age_error + transit).0,
        suspects: suspects.collect(),
        outlasted_numbers: crash.outlasted.iter().map(|one| one.0).collect(),
    }
}

fn crash_from_wire(message: &CrashNews, delay: Millis) -> Crash {
    let suspects = message.suspects.iter().map(|&[fingerprint, ran_ms, stage]| Suspect {
        fingerprint: Fingerprint(fingerprint),
        ran: Millis(ran_ms),
        stage: stage_from_wire(stage),
    });
    Crash {
        server: ServerIncarnation(message.server_number),
        service: ServiceNumber(message.service_number),
        reporter: Reporter(message.reporter_number),
        age: Millis(message.age_ms) + delay,
        age_error: Millis(message.age_error_ms) + delay,
        suspects: suspects.collect(),
        outlasted: message.outlasted_numbers.iter().copied().map(Fingerprint).collect(),
    }
}

fn cleared_to_wire(cleared: &Cleared) -> [u64; 2] {
    [cleared.fingerprint.0, cleared.age.0]
}

fn ending_counts<P: Platform>(gateway: &Gateway<P>, now: Millis) -> Vec<[u64; 4]> {
    let counts = gateway.with_crashes(|crashes| crashes.ending_counts(now)).into_iter();
    let to_wire =
        |one: EndingCount| [one.fingerprint.0, one.reporter.0, u64::from(one.count), one.age.0];
    counts.map(to_wire).collect()
}

fn ending_count_from_wire(message: &[u64; 4], delay: Millis) -> EndingCount {
    let &[fingerprint, reporter, count, age_ms] = message;
    EndingCount {
        fingerprint: Fingerprint(fingerprint),
        reporter: Reporter(reporter),
        count: u32::try_from(count).unwrap_or(u32::MAX),
        age: Millis(age_ms) + delay,
    }
}

fn attempt_counts<P: Platform>(gateway: &Gateway<P>, now: Millis) -> Vec<[u64; 5]> {
    let counts = gateway.with_crashes(|crashes| crashes.attempt_counts(now)).into_iter();
    let to_wire =
        |one: AttemptCount| [one.fingerprint.0, one.reporter.0, one.with, one.of, one.age.0];
    counts.map(to_wire).collect()
}

fn attempt_count_from_wire(message: &[u64; 5], delay: Millis) -> AttemptCount {
    let &[fingerprint, reporter, with, of, age_ms] = message;
    AttemptCount {
        fingerprint: Fingerprint(fingerprint),
        reporter: Reporter(reporter),
        with,
        of,
        age: Millis(age_ms) + delay,
    }
}

/// What this gateway knows of tables, slow servers, crashes and limits, with the table updates that
/// the peer lacks according to its message.
fn own_state<P: Platform>(gateway: &Gateway<P>, other: Option<&PeerNews>) -> PeerNews {
    let known = other.into_iter().flat_map(|other| &other.known);
    let updates = known.filter_map(|known| {
        let revision = Revision { era: known.era_number, count: known.revision };
        let update = gateway.since(Table::of_name(&known.table)?, revision)?;
        Some(update_to_wire(&known.table, update))
    });
    let now = gateway.now();
    let limits = gateway.with_pool(|pool| pool.advertised_limits(now));
    PeerNews {
        known: [Table::Configuration, Table::Servers]
            .map(|table| {
                let Revision { era, count } = gateway.revision(table);
                let age_ms = gateway.table_age(table).map(|age| age.0);
                TableKnown {
                    table: table.name().to_owned(),
                    era_number: era,
                    revision: count,
                    age_ms,
                }
            })
            .to_vec(),
        news: updates.collect(),
        configuration_version: gateway.serving().version,
        configuration_kept: other
            .and_then(|other| gateway.retained_for_peer(other.configuration_version))
            .map(|update| update_to_wire(Table::Configuration.name(), update)),
        held_evacuations: gateway.held_evacuations(),
        slow: gateway.with_slow_server_reports(|reports| {
            reports.current(now).map(slow_servers_to_wire).collect()
        }),
        crash_digest_number: gateway.with_crashes(|crashes| crashes.digest(now)),
        limits: limits
            .iter()
            .map(|(server, advertised)| limit_to_wire(*server, advertised, now))
            .collect(),
        faults: gateway.faults_to_wire(),
        ..empty_message()
    }
}

/// A message without content.
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
        held_evacuations: Vec::new(),
        slow: Vec::new(),
        crash_digest_number: 0,
        crashes_known: Vec::new(),
        crashes_wanted: Vec::new(),
        crashes: Vec::new(),
        cleared: Vec::new(),
        ending_counts: Vec::new(),
        attempt_counts: Vec::new(),
        limits: Vec::new(),
        faults: Vec::new(),
        permits_asked: None,
        permits_given: None,
        room_asked: None,
        room_given: None,
    }
}

/// Means on the wire that a server has no limit any more.
const NO_LIMIT: u64 = u64::MAX;

fn limit_to_wire(
    server: ServerIncarnation,
    advertised: &LimitAdvertisement,
    now: Millis,
) -> [u64; 4] {
    let limit = advertised.limit.map_or(NO_LIMIT, |limit| limit.in_1000_s);
    [server.0, limit, now.since(advertised.latest).0, now.since(advertised.earliest).0]
}

/// The limit that a server advertised, as an entry of a message; empty if none is known.
pub(crate) fn limit_entries<P: Platform>(
    gateway: &Gateway<P>,
    server: ServerIncarnation,
) -> Vec<[u64; 4]> {
    let now = gateway.now();
    let advertised = gateway.with_pool(|pool| pool.advertised_limit(server));
    advertised.iter().map(|advertised| limit_to_wire(server, advertised, now)).collect()
}

/// The limits in a message of another gateway. The earliest time of each is moved back by `delay`
/// and an allowance for the transit, since the ages in the message do not include these.
pub(crate) fn received_limits(
    message: &PeerNews,
    now: Millis,
    delay: Millis,
) -> Vec<(ServerIncarnation, LimitAdvertisement)> {
    let received = message.limits.iter().map(|&[server, in_1000_s, latest_ms, earliest_ms]| {
        let limit = (in_1000_s != NO_LIMIT).then_some(Rate { in_1000_s });
        let latest = now - Millis(latest_ms);
        let earliest = now - (Millis(earliest_ms) + delay + TRANSIT_ALLOWANCE);
        (ServerIncarnation(server), LimitAdvertisement { limit, earliest, latest })
    });
    received.collect()
}

fn slow_servers_to_wire((service, report): (&str, SlowServerReport)) -> SlowServers {
    SlowServers {
        age_ms: report.age.0,
        service: service.to_owned(),
        lead_fence_number: report.fencing_token,
        finding_number: report.number,
        servers: report.servers,
    }
}

/// Applies the reply to a message that was sent at `sent_at`. The reply may have waited since then,
/// as this process may have been suspended. Its content is older by at most that time, which is
/// added to the ages in it.
pub(super) fn apply_reply<P: Platform>(gateway: &Gateway<P>, message: &PeerNews, sent_at: Millis) {
    let delay = gateway.now().since(sent_at);
    // Gateways that are not known here need no request: the reply has their records, too.
    apply_message(gateway, message, &received_heartbeats(message, delay), delay);
    // Of other messages it is not known how long they were in transit.
    for known in &message.known {
        let revision = Revision { era: known.era_number, count: known.revision };
        if let (Some(table), Some(age_ms)) = (Table::of_name(&known.table), known.age_ms) {
            gateway.confirm_table_by_peer(table, revision, Millis(age_ms) + delay);
        }
    }
}

/// Applies a message that another gateway sent up to `delay` ago, with these heartbeats. Returns
/// the incarnations of the heartbeats that are not known here.
fn apply_message<P: Platform>(
    gateway: &Gateway<P>,
    message: &PeerNews,
    beats: &[Heartbeat],
    delay: Millis,
) -> Vec<IncarnationId> {
    let now = gateway.now();
    let unknown = gateway.with_members(|members| {
        let received =
            message.members.iter().filter_map(|received| record_from_wire(received, delay));
        received.for_each(|record| members.apply_record(&record, now));
        members.apply_heartbeats(beats, now)
    });
    for received in &message.slow {
        let (fencing_token, number) = (received.lead_fence_number, received.finding_number);
        let age = Millis(received.age_ms) + delay;
        let report =
            SlowServerReport { fencing_token, number, servers: received.servers.clone(), age };
        gateway.apply_slow_server_report(&received.service, &report);
    }
    let crashes: Vec<Crash> =
        message.crashes.iter().map(|received| crash_from_wire(received, delay)).collect();
    let cleared = message.cleared.iter().map(|&[fingerprint, age_ms]| Cleared {
        fingerprint: Fingerprint(fingerprint),
        age: Millis(age_ms) + delay,
    });
    let counts = message.ending_counts.iter().map(|one| ending_count_from_wire(one, delay));
    // Crashes are weighed by these counts.
    for received in &message.attempt_counts {
        gateway.merge_attempt_count(attempt_count_from_wire(received, delay));
    }
    gateway.merge_crashes(&crashes, &cleared.collect::<Vec<_>>(), &counts.collect::<Vec<_>>());
    gateway.apply_limits(&received_limits(message, now, delay));
    gateway.merge_faults(&message.faults, delay);
    for table_update in &message.news {
        if let Some(table) = Table::of_name(&table_update.table) {
            gateway.apply_update(table, &update_from_wire(table_update), "peer");
        }
    }
    gateway.apply_held_evacuations(&message.held_evacuations);
    if let Some(retained) = &message.configuration_kept {
        gateway.apply_retained_configuration(&update_from_wire(retained));
    }
    unknown
}

fn update_to_wire(table: &str, update: Update) -> TableNews {
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

fn update_from_wire(message: &TableNews) -> Update {
    let changes = message.changes.iter().map(|change| Change {
        key: change.key.clone(),
        revision: change.revision,
        value: change.value.clone(),
    });
    let revision = Revision { era: message.era_number, count: message.revision };
    Update { revision, whole: message.whole, changes: changes.collect() }
}

/// Readiness by its number on the wire, from 0 on.
const STATES: [Readiness; 3] = [Readiness::Starting, Readiness::Ready, Readiness::Leaving];

/// Added to the number of a state if the store answers the gateway.
const STORE_ANSWERS_FLAG: u64 = 4;

fn heartbeat_to_wire(beat: &Heartbeat) -> [u64; 4] {
    let index = STATES.iter().position(|readiness| *readiness == beat.readiness);
    let answers = if beat.store_answers { STORE_ANSWERS_FLAG } else { 0 };
    let state = index.unwrap_or_default() as u64 + answers;
    [beat.incarnation_id.0, beat.heartbeat, state, beat.leader_fencing_token]
}

/// Adds heartbeats to a message.
fn with_heartbeats(message: PeerNews, beats: &[Heartbeat]) -> PeerNews {
    PeerNews {
        beats: beats.iter().map(heartbeat_to_wire).collect(),
        beat_ages_ms: beats.iter().map(|beat| beat.age.0).collect(),
        ..message
    }
}

/// The heartbeats in a message, with `delay` added to each age. A gateway of an earlier version
/// sends no ages.
fn received_heartbeats(message: &PeerNews, delay: Millis) -> Vec<Heartbeat> {
    let ages = message.beat_ages_ms.iter().copied().chain(iter::repeat(0));
    let received = message.beats.iter().zip(ages);
    received
        .filter_map(|(received, age_ms)| heartbeat_from_wire(received, Millis(age_ms) + delay))
        .collect()
}

/// Reverse of [`heartbeat_to_wire`]; `None` for a state of a later version.
fn heartbeat_from_wire(
    &[incarnation, heartbeat, state, leader_fencing_token]: &[u64; 4],
    age: Millis,
) -> Option<Heartbeat> {
    let readiness = *STATES.get((state % STORE_ANSWERS_FLAG) as usize)?;
    let store_answers = state / STORE_ANSWERS_FLAG == 1;
    Some(Heartbeat {
        incarnation_id: IncarnationId(incarnation),
        heartbeat,
        readiness,
        store_answers,
        leader_fencing_token,
        age,
    })
}

fn record_to_wire(record: &MemberRecord) -> MemberNews {
    MemberNews { age_ms: record.age.0, ..member_to_wire(&record.member) }
}

fn record_from_wire(message: &MemberNews, delay: Millis) -> Option<MemberRecord> {
    Some(MemberRecord { member: member_from_wire(message)?, age: Millis(message.age_ms) + delay })
}

fn member_to_wire(member: &Member) -> MemberNews {
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

fn member_from_wire(message: &MemberNews) -> Option<Member> {
    Some(Member {
        name: message.name.clone(),
        incarnation: message.incarnation,
        heartbeat: message.heartbeat_number,
        callers_at: message.callers_at.parse().ok()?,
        peers_at: message.peers_at.parse().ok()?,
        data_centre: message.data_centre.clone(),
        memory_bytes: message.memory_bytes,
        readiness: match message.readiness {
            schema::Readiness::Starting => Readiness::Starting,
            schema::Readiness::Ready => Readiness::Ready,
            schema::Readiness::Leaving => Readiness::Leaving,
        },
        store_answers: message.store_answers,
        leader_fencing_token: message.lead_fence_number,
    })
}

/// A gateway as the value of its row in [`Table::Members`].
pub(crate) fn member_to_json(member: &Member) -> String {
    // All fields of the type can be represented in JSON.
    serde_json::to_string(&member_to_wire(member)).unwrap_or_default()
}

/// The gateway in the value of a row of [`Table::Members`].
pub(crate) fn member_from_json(text: &str) -> Option<Member> {
    member_from_wire(&serde_json::from_str::<MemberNews>(text).ok()?)
}

/// Encodes a message for the wire.
pub(super) fn encode(message: &PeerNews) -> Message {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("messages are representable in CBOR");
    Message::Binary(Bytes::from(bytes))
}

/// Decodes a message from the wire.
///
/// # Errors
///
/// The bytes are not a message.
pub(super) fn decode(bytes: Bytes) -> eyre::Result<PeerNews> {
    Ok(ciborium::de::from_reader_with_recursion_limit(bytes.as_ref(), DEPTH_LIMIT)?)
}
