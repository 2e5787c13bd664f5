//! Messages about the room of a service: translates between their form on the wire and the core's.
//! Input: reports of gateways, notices of the keeper. It has no state of its own.
//! It decides the units on the wire, and what is ignored in a message of another version.

use std::iter;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use hooktrestle_core::direct::level::Level;
use hooktrestle_core::direct::members::IncarnationId;
use hooktrestle_core::direct::room::AccountId;
use hooktrestle_core::direct::room::GatewayReport;
use hooktrestle_core::direct::room::GroupState;
use hooktrestle_core::direct::room::MAX_REPORTED_ACCOUNTS;
use hooktrestle_core::direct::room::RoomNotice;
use hooktrestle_core::direct::room::ServerList;
use hooktrestle_core::direct::room::URGENCIES;
use hooktrestle_schema::RoomAsked;
use hooktrestle_schema::RoomGiven;

/// Fractions on the wire are in thousandths.
const THOUSANDTHS: f64 = 1_000.0;

/// Encodes a gateway's report on a service.
pub fn report_to_wire(service: &str, report: &GatewayReport) -> RoomAsked {
    RoomAsked {
        service: service.to_owned(),
        gateway_number: report.gateway.0,
        span_ms: report.span.0,
        open_requests: u64::from(report.open_streams),
        ended_requests: u64::from(report.ended_streams),
        arrivals: without_trailing(report.arrivals.map(u64::from), 0),
        turn_requests: u64::from(report.turns),
        accounts: report.accounts.iter().map(|(id, count)| [id.0, u64::from(*count)]).collect(),
        stream_ms: report.stream_ms as u64,
        first_ms: report.first_ms as u64,
        pass_ms: report.pass_ms as u64,
        known_list_number: report.known_list,
    }
}

/// Decodes a gateway's report on a service.
pub fn report_from_wire(message: &RoomAsked) -> GatewayReport {
    let accounts = message.accounts.iter().take(MAX_REPORTED_ACCOUNTS);
    GatewayReport {
        gateway: IncarnationId(message.gateway_number),
        span: Millis(message.span_ms),
        open_streams: count(message.open_requests),
        ended_streams: count(message.ended_requests),
        arrivals: filled(&message.arrivals, 0).map(count),
        turns: count(message.turn_requests),
        accounts: accounts.map(|&[id, requests]| (AccountId(id), count(requests))).collect(),
        stream_ms: message.stream_ms as f64,
        first_ms: message.first_ms as f64,
        pass_ms: message.pass_ms as f64,
        known_list: message.known_list_number,
    }
}

/// Encodes a notice of the keeper.
pub fn notice_to_wire(service: &str, notice: &RoomNotice) -> RoomGiven {
    let servers = notice.list.iter().flat_map(|list| &list.servers);
    let groups = notice
        .groups
        .iter()
        .map(|group| [u64::from(group.is_open), group.pass_ms as u64, u64::from(group.room)]);
    let accounts = notice.level.accounts.iter();
    RoomGiven {
        service: service.to_owned(),
        keeper_number: notice.keeper,
        notice_number: notice.number,
        clock_ms: notice.clock.0,
        admitted: without_trailing(notice.level.admitted.map(to_thousandths), THOUSANDTHS as u64),
        turn_part: to_thousandths(notice.level.turns),
        accounts: accounts.map(|(id, fraction)| [id.0, to_thousandths(*fraction)]).collect(),
        list_number: notice.list_number,
        servers: servers.map(|(server, group)| [server.0, *group as u64]).collect(),
        occupied: notice.occupied.iter().copied().map(u64::from).collect(),
        groups: groups.collect(),
        age_ms: notice.age.0,
    }
}

/// Decodes a notice of the keeper that was sent up to `delay` ago.
pub fn notice_from_wire(message: &RoomGiven, delay: Millis) -> RoomNotice {
    let servers = message.servers.iter();
    let servers = servers.map(|&[server, group]| (ServerIncarnation(server), group as usize));
    let list = (!message.servers.is_empty())
        .then(|| ServerList { number: message.list_number, servers: servers.collect() });
    let accounts = message.accounts.iter();
    let accounts =
        accounts.map(|&[id, thousandths]| (AccountId(id), from_thousandths(thousandths)));
    let groups = message.groups.iter().map(|&[is_open, pass_ms, room]| GroupState {
        is_open: is_open > 0,
        pass_ms: pass_ms as f64,
        room: count(room),
    });
    RoomNotice {
        keeper: message.keeper_number,
        number: message.notice_number,
        clock: Millis(message.clock_ms),
        level: Level {
            admitted: filled(&message.admitted, THOUSANDTHS as u64).map(from_thousandths),
            turns: from_thousandths(message.turn_part),
            accounts: accounts.collect(),
        },
        list_number: message.list_number,
        list,
        occupied: message.occupied.iter().copied().map(count).collect(),
        groups: groups.collect(),
        age: Millis(message.age_ms) + delay,
    }
}

fn to_thousandths(fraction: f64) -> u64 {
    (fraction * THOUSANDTHS).round() as u64
}

fn from_thousandths(thousandths: u64) -> f64 {
    (thousandths as f64 / THOUSANDTHS).min(1.0)
}

fn count(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// The values without those at the end that are equal to `usual`.
fn without_trailing(values: [u64; URGENCIES], usual: u64) -> Vec<u64> {
    let used = values.iter().rposition(|value| *value != usual).map_or(0, |last| last + 1);
    values[..used].to_vec()
}

/// Reverse of [`without_trailing`].
fn filled(values: &[u64], usual: u64) -> [u64; URGENCIES] {
    let mut all = values.iter().copied().chain(iter::repeat(usual));
    std::array::from_fn(|_| all.next().unwrap_or(usual))
}
