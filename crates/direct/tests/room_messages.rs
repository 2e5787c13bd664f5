//! Messages about the room of a service. Guards against fields that are lost or rounded too coarsely
//! on the wire, and against messages that grow with the number of gateways or accounts.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use hooktrestle_core::direct::level::Level;
use hooktrestle_core::direct::members::IncarnationId;
use hooktrestle_core::direct::room;
use hooktrestle_core::direct::room::AccountId;
use hooktrestle_core::direct::room::GatewayReport;
use hooktrestle_core::direct::room::GroupState;
use hooktrestle_core::direct::room::RoomNotice;
use hooktrestle_core::direct::room::ServerList;
use hooktrestle_direct::room_messages::notice_from_wire;
use hooktrestle_direct::room_messages::notice_to_wire;
use hooktrestle_direct::room_messages::report_from_wire;
use hooktrestle_direct::room_messages::report_to_wire;
use hooktrestle_schema::RoomAsked;
use hooktrestle_schema::RoomGiven;

const SERVICE: &str = "assistant";

fn report() -> GatewayReport {
    let accounts = (0..room::MAX_REPORTED_ACCOUNTS as u64).map(|id| (AccountId(u64::MAX - id), 9));
    let mut arrivals = [0; room::URGENCIES];
    (arrivals[0], arrivals[1], arrivals[room::URGENCIES - 1]) = (1, 2, 3);
    GatewayReport {
        gateway: IncarnationId(u64::MAX),
        span: Millis(200),
        open_streams: 40,
        ended_streams: 6,
        arrivals,
        turns: 4,
        accounts: accounts.collect(),
        stream_ms: 1_400.0,
        first_ms: 165.0,
        pass_ms: 63.0,
        known_list: 11,
    }
}

fn notice(servers: u64) -> RoomNotice {
    let list = ServerList::new(
        (0..servers).map(|server| (ServerIncarnation(u64::MAX - server), 2)).collect(),
    );
    let mut level = Level::open();
    level.admitted[2] = 0.125;
    level.turns = 0.3;
    level.accounts = (0..64).map(|id| (AccountId(u64::MAX - id), 0.25)).collect();
    let group = GroupState { is_open: true, pass_ms: 63.0, room: 240 };
    RoomNotice {
        keeper: 7,
        number: 1_700_000_000_000,
        clock: Millis(90_000),
        level,
        list_number: list.number,
        list: Some(list),
        occupied: vec![12; servers as usize],
        groups: vec![group; 3],
        age: Millis(80),
    }
}

/// Bytes of a report and of the notice that is the reply to it.
fn bytes_of_exchange(asked: &RoomAsked, given: &RoomGiven) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(asked, &mut bytes).expect("representable in CBOR");
    ciborium::into_writer(given, &mut bytes).expect("representable in CBOR");
    bytes.len()
}

#[test]
fn reports_and_notices_arrive_as_they_were_sent() {
    assert_eq!(report_from_wire(&report_to_wire(SERVICE, &report())), report());
    let sent = notice(72);
    let received = notice_from_wire(&notice_to_wire(SERVICE, &sent), Millis(15));
    assert_eq!(received, RoomNotice { age: Millis(95), ..sent });
}

#[test]
fn values_of_another_version_are_bounded() {
    let mut asked: RoomAsked = report_to_wire(SERVICE, &report());
    asked.arrivals = vec![u64::MAX; 30];
    asked.accounts = vec![[1, u64::MAX]; 500];
    let received = report_from_wire(&asked);
    assert_eq!(received.arrivals, [u32::MAX; room::URGENCIES]);
    assert_eq!(received.accounts.len(), room::MAX_REPORTED_ACCOUNTS);
    let mut given: RoomGiven = notice_to_wire(SERVICE, &notice(2));
    given.admitted = vec![5_000];
    let received = notice_from_wire(&given, Millis::ZERO);
    assert_eq!(received.level.admitted, [1.0; room::URGENCIES]);
}

/// The keeper also serves callers, over a link of a few hundred Mbit/s.
#[test]
fn a_keeper_sends_and_receives_less_than_eight_megabits_per_second() {
    for (gateways, servers) in [(18, 72), (34, 72), (432, 576)] {
        let per_s = gateways as f64 * 1_000.0 / room::report_interval(gateways, true).0 as f64;
        let without_list = RoomNotice { list: None, ..notice(servers) };
        let (asked, given) =
            (report_to_wire(SERVICE, &report()), notice_to_wire(SERVICE, &without_list));
        let exchanged = bytes_of_exchange(&asked, &given);
        let bits_per_s = exchanged as f64 * 8.0 * per_s;
        println!("{gateways} gateways, {servers} servers: {exchanged} bytes, {bits_per_s} bit/s");
        assert!(bits_per_s < 8e6, "{gateways} gateways: {exchanged} bytes, {bits_per_s} bit/s");
    }
}
