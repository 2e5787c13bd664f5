//! Room of a service at its keeper, and what the gateways make of its notices. Guards against a
//! room that does not follow the servers (a group that stalls, a cold server, a slow rank), and
//! against demand that is counted wrongly while gateways, reports or the keeper are lost.

#[path = "fleet/member.rs"]
mod member;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::advertised_limit::Rate;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use hooktrestle_core::direct::members::IncarnationId;
use hooktrestle_core::direct::members::Member;
use hooktrestle_core::direct::pool::Config as PoolConfig;
use hooktrestle_core::direct::pool::ListedServer;
use hooktrestle_core::direct::pool::Pool;
use hooktrestle_core::direct::pool::WarmUpConfig;
use hooktrestle_core::direct::replica::Revision;
use hooktrestle_core::direct::room;
use hooktrestle_core::direct::room::AccountId;
use hooktrestle_core::direct::room::GatewayReport;
use hooktrestle_core::direct::room::RoomNotice;
use hooktrestle_core::direct::room::estimate::OpenSlots;
use hooktrestle_core::direct::room::estimate::StreamMeans;
use hooktrestle_core::direct::room::estimate::StreamObjective;
use hooktrestle_core::direct::room::groups::GroupId;
use hooktrestle_core::direct::room::groups::RankReading;
use hooktrestle_core::direct::room::keeper::KeeperInput;
use hooktrestle_core::direct::room::keeper::RoomKeeper;
use hooktrestle_core::direct::room::view::RoomView;
use hooktrestle_core::direct::room::view::StreamSummary;
use member::numbered;

const OBJECTIVE: StreamObjective =
    StreamObjective { first_ms: 400.0, pause_ms: 120.0, min_pass_ms: 30.0 };
const GATEWAYS: usize = 34;
const GROUPS: u64 = 3;
const RANKS: u64 = 24;
const SLOTS: u32 = 10;
const ALL_SLOTS: f64 = (GROUPS * RANKS) as f64 * SLOTS as f64;
/// Slots that are kept free at each server: half the square root of ten.
const FREE_SLOTS: f64 = 1.581_138_830_084_189_8;
const ALL_ROOM: f64 = ALL_SLOTS - (GROUPS * RANKS) as f64 * FREE_SLOTS;
const READ_INTERVAL: Millis = Millis(120);
const LIFETIME: Millis = Millis(1_500);

fn report(gateway: u64, open_streams: u32, arrivals: u32) -> GatewayReport {
    let mut by_urgency = [0; room::URGENCIES];
    by_urgency[1] = arrivals;
    GatewayReport {
        gateway: IncarnationId(gateway),
        span: Millis(200),
        open_streams,
        ended_streams: open_streams / 7,
        arrivals: by_urgency,
        turns: 0,
        accounts: Vec::new(),
        stream_ms: 1_400.0,
        first_ms: 400.0,
        pass_ms: 60.0,
        known_list: 0,
    }
}

fn server(group: u64, rank: u64) -> ServerIncarnation {
    ServerIncarnation(group * RANKS + rank + 1)
}

/// A keeper with its servers, which reads all ranks at intervals. Each rank has `running` requests.
struct Fixture {
    keeper: RoomKeeper,
    servers: Vec<(ServerIncarnation, OpenSlots)>,
    now: Millis,
    /// Passes of each group, and how long one takes.
    passes: [f64; GROUPS as usize],
    running: u32,
    pass_ms: [f64; GROUPS as usize],
    pace: [f64; GROUPS as usize],
    closed: Option<u64>,
}

impl Fixture {
    fn new(running: u32) -> Fixture {
        let servers = (0..GROUPS).flat_map(|group| (0..RANKS).map(move |rank| server(group, rank)));
        let open = |server| (server, OpenSlots { slots: SLOTS, warm_up_rate: None });
        Fixture {
            keeper: RoomKeeper::new(1),
            servers: servers.map(open).collect(),
            now: Millis(10_000),
            passes: [100.0; GROUPS as usize],
            running,
            pass_ms: [60.0; GROUPS as usize],
            pace: [1.0; GROUPS as usize],
            closed: None,
        }
    }

    fn read(&mut self) {
        self.now = self.now + READ_INTERVAL;
        let mut readings = Vec::new();
        for group in 0..GROUPS {
            let index = group as usize;
            self.passes[index] += READ_INTERVAL.0 as f64 / self.pass_ms[index];
            readings.extend((0..RANKS).map(|rank| RankReading {
                server: server(group, rank),
                group: GroupId(group),
                epoch: 1,
                pass: self.passes[index] as u64,
                is_open: self.closed != Some(group),
                pace: if rank == 0 { self.pace[index] } else { 1.0 },
                running: self.running,
                queued: 0,
            }));
        }
        self.keeper.record_readings(&readings, self.now);
    }

    /// Reads the ranks over one second, and returns the notice after it.
    fn settle(&mut self) -> RoomNotice {
        for _ in 0..8 {
            self.read();
        }
        self.notice(GATEWAYS)
    }

    fn notice(&mut self, gateways: usize) -> RoomNotice {
        let input = KeeperInput {
            fencing_token: 7,
            clock: self.now,
            open_servers: &self.servers,
            gateways,
            objective: OBJECTIVE,
        };
        self.keeper.update(&input, self.now);
        self.keeper.notice(0, self.now).expect("updated")
    }

    fn room(&self) -> f64 {
        self.keeper.room().streams
    }
}

fn assert_room(fixture: &Fixture, expected: f64) {
    assert!((fixture.room() - expected).abs() < 1e-6, "{} of {expected}", fixture.room());
}

/// Gateways choose servers without knowing what the others choose. If all slots were taken on
/// average, some servers would have queues while others have free slots.
#[test]
fn some_slots_of_each_server_are_kept_free() {
    let mean = |slots| {
        let open = OpenSlots { slots, warm_up_rate: None };
        open.streams_without_queue(StreamMeans::default())
    };
    assert_eq!((mean(1), mean(2)), (0.5, 2.0 - 0.5 * 2.0_f64.sqrt()));
    assert!((mean(SLOTS) - (10.0 - FREE_SLOTS)).abs() < 1e-6);
    assert_eq!(mean(100), 95.0);
}

#[test]
fn the_room_is_the_slots_of_open_servers_but_some_and_short_passes_leave_it() {
    let mut fixture = Fixture::new(7);
    let notice = fixture.settle();
    assert_room(&fixture, ALL_ROOM);
    let list = notice.list.expect("the list is sent to a gateway without it");
    assert_eq!((list.servers.len(), notice.occupied.len()), (72, 72));
    assert!(notice.groups.iter().all(|group| group.is_open && group.room == 240));
    // A gateway that has the list does not get it again.
    let again = fixture.keeper.notice(notice.list_number, fixture.now).expect("updated");
    assert_eq!(again.list, None);
}

#[test]
fn passes_that_many_streams_make_too_long_bound_the_room() {
    let mut fixture = Fixture::new(10);
    fixture.pass_ms = [120.0; 3];
    fixture.settle();
    assert_room(&fixture, ALL_ROOM);
    // Passes of 210 ms take 180 ms more than the shortest ones. Half of that is left.
    fixture.pass_ms = [210.0; 3];
    fixture.settle();
    let expected = ALL_SLOTS / 2.0;
    assert!((fixture.room() / expected - 1.0).abs() < 0.1, "{}", fixture.room());
}

#[test]
fn a_closed_group_leaves_the_room_with_the_next_read() {
    let mut fixture = Fixture::new(7);
    fixture.settle();
    fixture.closed = Some(1);
    fixture.read();
    let notice = fixture.notice(GATEWAYS);
    assert_room(&fixture, ALL_ROOM * 2.0 / 3.0);
    assert!(!notice.groups[1].is_open);
}

/// A rank is lost: its group stands still, and does not report that it is closed before a time-out.
#[test]
fn a_group_that_begins_no_pass_leaves_the_room_within_half_a_second() {
    let mut fixture = Fixture::new(7);
    fixture.settle();
    fixture.pass_ms[2] = f64::INFINITY;
    let lost_at = fixture.now;
    while fixture.room() > ALL_ROOM * 0.7 {
        fixture.read();
        fixture.notice(GATEWAYS);
        assert!(fixture.now.since(lost_at) <= Millis(500));
    }
}

/// Fewer streams would be late all the same, so none are refused for a slow rank of the only group;
/// if other groups carry the streams, they get them.
#[test]
fn a_slow_rank_lowers_the_room_only_if_other_groups_have_some() {
    let mut fixture = Fixture::new(7);
    (fixture.pace, fixture.pass_ms) = ([12.0, 1.0, 1.0], [240.0, 60.0, 60.0]);
    let notice = fixture.settle();
    assert!(notice.groups[0].is_open && notice.groups[0].room < 120);
    // Less than half of the slots of its group.
    assert!(fixture.room() < ALL_ROOM * 2.0 / 3.0 + ALL_SLOTS / 6.0);
    (fixture.pace, fixture.pass_ms) = ([12.0; 3], [240.0; 3]);
    fixture.settle();
    assert_room(&fixture, ALL_ROOM);
}

#[test]
fn a_cold_server_counts_by_the_rate_at_which_it_gets_requests() {
    let mut fixture = Fixture::new(7);
    fixture.settle();
    for (_, open) in &mut fixture.servers {
        open.warm_up_rate = Some(Rate { in_1000_s: 2_000 });
    }
    fixture.keeper.record_report(report(1, 10, 0), fixture.now);
    fixture.notice(1);
    // Two a second, for 1.4 s each.
    assert!((fixture.room() - 72.0 * 2.8).abs() < 1e-6, "{}", fixture.room());
}

#[test]
fn servers_that_do_not_accept_requests_do_not_count() {
    let mut fixture = Fixture::new(7);
    fixture.settle();
    // The data centre of 36 servers is evacuated.
    fixture.servers.truncate(36);
    fixture.notice(GATEWAYS);
    assert_room(&fixture, ALL_ROOM / 2.0);
}

/// Guards against room that is reckoned from servers that accept nothing: one that is leaving, one
/// whose group is stalled, one in an evacuated data centre.
#[test]
fn slots_count_only_at_servers_that_accept_requests() {
    let now = Millis(5_000);
    let mut pool = Pool::new(PoolConfig::default());
    for (number, id) in ["open", "leaving", "stalled", "evacuated"].into_iter().enumerate() {
        let listed = ListedServer {
            id: id.to_owned(),
            service: "assistant".to_owned(),
            address: format!("127.0.0.1:{}", 9_000 + number).parse().expect("an address"),
            data_centre: if id == "evacuated" { "mill" } else { "hall" }.to_owned(),
            region: String::new(),
            slots: SLOTS,
            leaving: id == "leaving",
            cold_for: Millis::ZERO,
            started_unix_ms: None,
        };
        pool.list(listed, Revision { era: 0, count: number as u64 });
    }
    let keys = pool.present_of("assistant");
    pool.set_stalled(keys[2], true);
    pool.set_evacuated(["mill".to_owned()].into(), now);
    let open = pool.open_slots("assistant", now);
    assert_eq!(open, [(pool.incarnation(keys[0]), OpenSlots { slots: SLOTS, warm_up_rate: None })]);
    // The servers that return are cold.
    let rate = Rate { in_1000_s: 14_000 };
    let warm_up = WarmUpConfig { duration: Millis(3_000), rate };
    pool.set_warm_ups([("assistant".to_owned(), warm_up)].into());
    pool.set_evacuated([].into(), now);
    let returned = pool.open_slots("assistant", now);
    assert_eq!(returned[1].1, OpenSlots { slots: SLOTS, warm_up_rate: Some(rate) });
    assert_eq!(pool.open_slots("assistant", now + warm_up.duration)[1].1.warm_up_rate, None);
}

/// After a start of all, the keeper hears of some gateways first.
#[test]
fn gateways_that_have_not_reported_are_assumed_to_be_like_the_others() {
    let mut fixture = Fixture::new(0);
    for gateway in 0..17 {
        fixture.keeper.record_report(report(gateway, 20, 4), fixture.now);
    }
    fixture.notice(GATEWAYS);
    assert_eq!(fixture.keeper.room().open, 34.0 * 20.0);
    for gateway in 0..GATEWAYS as u64 {
        fixture.keeper.record_report(report(gateway, 20, 4), fixture.now);
    }
    fixture.notice(GATEWAYS);
    assert_eq!(fixture.keeper.room().open, 34.0 * 20.0);
}

#[test]
fn the_report_of_a_lost_gateway_lapses_after_a_second() {
    let mut fixture = Fixture::new(0);
    fixture.keeper.record_report(report(1, 50, 0), fixture.now);
    fixture.keeper.record_report(report(2, 50, 0), fixture.now);
    for _ in 0..5 {
        fixture.now = fixture.now + Millis(200);
        fixture.keeper.record_report(report(2, 50, 0), fixture.now);
    }
    fixture.notice(1);
    assert_eq!(fixture.keeper.room().open, 50.0);
}

#[test]
fn the_keeper_follows_the_demand_of_all_reports() {
    let mut fixture = Fixture::new(7);
    // 34 gateways with 14 requests in 200 ms each, of which all servers complete about 500 a second.
    for _ in 0..10 {
        fixture.read();
        for gateway in 0..GATEWAYS as u64 {
            fixture.keeper.record_report(report(gateway, 21, 14), fixture.now);
        }
        fixture.notice(GATEWAYS);
    }
    let level = fixture.notice(GATEWAYS).level;
    assert!(level.admitted[1] < 0.5, "{level:?}");
    let completions_per_s = fixture.keeper.room().completions_per_s;
    assert!((completions_per_s - 34.0 * 3.0 * 5.0).abs() < 5.0, "{completions_per_s}");
    for _ in 0..10 {
        fixture.read();
        for gateway in 0..GATEWAYS as u64 {
            fixture.keeper.record_report(report(gateway, 10, 1), fixture.now);
        }
        fixture.notice(GATEWAYS);
    }
    assert_eq!(fixture.notice(GATEWAYS).level.admitted[1], 1.0);
}

#[test]
fn a_lost_report_is_counted_with_the_next_one() {
    let mut view = RoomView::default();
    let streams = StreamSummary::default();
    view.take_report(IncarnationId(1), &streams, Millis(1_000));
    let streams = StreamSummary { ended: 4, ..streams };
    view.arrivals.record(2, Some(AccountId(5)), false, Millis(1_100));
    view.arrivals.record(2, None, true, Millis(1_150));
    let lost = view.take_report(IncarnationId(1), &streams, Millis(1_200));
    view.arrivals.put_back(&lost);
    view.arrivals.record(2, Some(AccountId(5)), false, Millis(1_300));
    let streams = StreamSummary { ended: 6, ..streams };
    let next = view.take_report(IncarnationId(1), &streams, Millis(1_400));
    assert_eq!((lost.ended_streams, next.ended_streams), (4, 6));
    assert_eq!((next.arrivals[2], next.turns, next.span), (2, 1, Millis(400)));
    assert_eq!(next.accounts, [(AccountId(5), 2)]);
}

#[test]
fn a_report_names_the_accounts_with_the_most_requests_only() {
    let mut view = RoomView::default();
    for account in 0..5_000 {
        view.arrivals.record(1, Some(AccountId(account)), false, Millis(100));
    }
    (0..9).for_each(|_| view.arrivals.record(1, Some(AccountId(700)), false, Millis(100)));
    let report = view.take_report(IncarnationId(1), &StreamSummary::default(), Millis(200));
    assert_eq!(report.accounts.len(), room::MAX_REPORTED_ACCOUNTS);
    assert_eq!(report.accounts[0], (AccountId(700), 10));
}

/// The former leader answers late, or believes that it still leads.
#[test]
fn notices_are_ordered_by_token_then_by_number_until_they_lapse() {
    let notice = |keeper, number| {
        let mut keeping = Fixture::new(0);
        RoomNotice { keeper, number, ..keeping.notice(1) }
    };
    let mut view = RoomView::default();
    assert!(view.apply(&notice(7, 40), LIFETIME, Millis(1_000)));
    assert!(!view.apply(&notice(7, 39), LIFETIME, Millis(1_010)));
    assert!(view.apply(&notice(8, 2), LIFETIME, Millis(1_020)));
    assert!(!view.apply(&notice(7, 41), LIFETIME, Millis(1_030)));
    // No leader is left; another gateway keeps the room without a token.
    assert!(!view.apply(&notice(0, 90), LIFETIME, Millis(2_519)));
    assert!(view.apply(&notice(0, 91), LIFETIME, Millis(2_520)));
}

/// A gateway that leads with this fencing token, or leads no maps if it is 0.
fn leader(number: usize, leader_fencing_token: u64) -> Member {
    Member { leader_fencing_token, ..numbered(number, 1) }
}

#[test]
fn the_newest_leader_that_answers_keeps_the_room_else_the_first_gateway() {
    let members = [leader(0, 0), leader(1, 4), leader(2, 6)];
    let serving: Vec<&Member> = members.iter().collect();
    let name = |has_experts, skipped: &[&Member]| {
        let is_skipped = |id| skipped.iter().any(|member| member.incarnation_id() == id);
        room::choose_keeper(&serving, has_experts, is_skipped).map(|member| member.name.as_str())
    };
    assert_eq!(name(true, &[]), Some("g002"));
    assert_eq!(name(true, &[&members[2]]), Some("g001"));
    assert_eq!(name(true, &[&members[1], &members[2]]), Some("g000"));
    assert_eq!(name(false, &[]), Some("g000"));
    assert_eq!(name(false, &serving), None);
}

#[test]
fn a_keeper_gets_a_bounded_number_of_reports_and_counts_each_until_the_next() {
    for gateways in [1, 18, 34, 432] {
        let (active, idle) =
            (room::report_interval(gateways, true), room::report_interval(gateways, false));
        assert!(gateways as u64 * 1_000 / active.0 <= 300);
        assert!(idle < room::report_lifetime(gateways) && active <= idle);
        assert!(room::notice_lifetime(gateways) > room::report_lifetime(gateways));
    }
    assert_eq!(room::report_interval(GATEWAYS, true), Millis(200));
}
