//! Tests of the choice of a server by free slots, with a fleet of gateways and no network.
//!
//! They guard against streams that wait in the queue of one server while others have free slots:
//! each gateway sees each server only once in a while, and all of them hear the same notices. They
//! also guard against gateways that all send to the same servers or groups at once, and against
//! streams that are sent to a group whose passes are too long.

use std::collections::VecDeque;
use std::ops::Range;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use hooktrestle_core::direct::pool::AttemptOutcome;
use hooktrestle_core::direct::pool::Demand;
use hooktrestle_core::direct::pool::ListedServer;
use hooktrestle_core::direct::pool::Pool;
use hooktrestle_core::direct::pool::Position;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::room::GroupState;
use hooktrestle_core::direct::room::ServerList;
use hooktrestle_core::util::arena::Key;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "hints";
const SERVERS: usize = 72;
const SLOTS: u32 = 10;

/// Time between two steps of a play.
const STEP_MS: u64 = 5;

const NOTICE_INTERVAL_MS: u64 = 200;

/// Duration of a stream at the usual length of passes.
const STREAM_MS: Range<f64> = 900.0..1_900.0;

/// Length of usual passes.
const PASS_MS: f64 = 63.0;

/// Longest wait for a slot with which the first event is in time.
const MAX_WAIT_MS: u64 = 235;

/// What a play varies.
#[derive(Clone, Copy)]
struct Play {
    gateways: usize,
    groups: usize,
    rate_per_s: f64,
    /// Time until which gateways get notices, of which each tenth is lost.
    notices_until_ms: u64,
    /// Pace of the first group from [`CHANGE_AT_MS`] on; 0 if it stalls and is gone.
    pace: f64,
    /// Time at which the change ends.
    change_until_ms: u64,
    /// Slots of the second half of the servers.
    slots_of_half: u32,
}

const CHANGE_AT_MS: u64 = 3_000;
const END_AT_MS: u64 = 9_000;

impl Play {
    fn even(gateways: usize, groups: usize, rate_per_s: f64) -> Play {
        let change_until_ms = END_AT_MS;
        Play {
            gateways,
            groups,
            rate_per_s,
            notices_until_ms: END_AT_MS,
            pace: 1.0,
            change_until_ms,
            slots_of_half: SLOTS,
        }
    }
}

struct Stream {
    gateway: usize,
    /// Its index in [`Fleet::sent`].
    sent_index: usize,
    left_ms: f64,
}

#[derive(Default)]
struct SimServer {
    group: usize,
    slots: u32,
    running: Vec<Stream>,
    queued: VecDeque<Stream>,
}

impl SimServer {
    fn occupied(&self) -> u32 {
        (self.running.len() + self.queued.len()) as u32
    }
}

struct Reading {
    occupied: Vec<u32>,
    groups: Vec<GroupState>,
    read_at_ms: u64,
}

/// A stream: when it arrived_ms: now, how long it waited for a slot, and its server.
struct Sent {
    at_ms: u64,
    wait_ms: Option<u64>,
    server: usize,
}

struct Fleet {
    play: Play,
    rng: ChaCha8Rng,
    pools: Vec<Pool>,
    keys: Vec<Key<Server>>,
    list: ServerList,
    servers: Vec<SimServer>,
    sent: Vec<Sent>,
}

impl Fleet {
    fn new(play: Play, seed: u64) -> Fleet {
        let mut pool = Pool::new(Default::default());
        for number in 0..SERVERS {
            pool.list(listed(number, &play), number as u64 + 1);
        }
        let group = |number: usize| number * play.groups / SERVERS;
        let incarnation = |number: usize| ServerIncarnation::of(&format!("s{number}"), None);
        let servers = (0..SERVERS).map(|number| (incarnation(number), group(number))).collect();
        let server = |number: usize| SimServer {
            group: group(number),
            slots: listed(number, &play).slots,
            ..SimServer::default()
        };
        Fleet {
            play,
            rng: ChaCha8Rng::seed_from_u64(seed),
            keys: pool.present_of(SERVICE),
            pools: (0..play.gateways).map(|index| pool_at(&pool, index, play.gateways)).collect(),
            list: ServerList { number: 1, servers },
            servers: (0..SERVERS).map(server).collect(),
            sent: Vec::new(),
        }
    }

    fn pace(&self, group: usize, now: u64) -> f64 {
        let changed = group == 0 && (CHANGE_AT_MS..self.play.change_until_ms).contains(&now);
        if changed { self.play.pace } else { 1.0 }
    }

    fn read(&self, now: u64) -> Reading {
        let state = |group: usize| {
            let pace = self.pace(group, now);
            let slots: u32 =
                self.servers.iter().filter(|one| one.group == group).map(|one| one.slots).sum();
            let room = if pace > 1.9 { slots / 5 } else { slots };
            GroupState { is_open: pace > 0.0, pass_ms: PASS_MS * pace, room }
        };
        Reading {
            occupied: self.servers.iter().map(SimServer::occupied).collect(),
            groups: (0..self.play.groups).map(state).collect(),
            read_at_ms: now,
        }
    }

    /// Notices reach each gateway 100 to 300 ms after they were read.
    fn notify(&mut self, reading: &Reading, now: u64) {
        for pool in &mut self.pools {
            if self.rng.random_bool(0.1) {
                continue;
            }
            let age = Millis(now - reading.read_at_ms);
            let (occupied, groups) = (&reading.occupied, &reading.groups);
            pool.apply_occupancy(SERVICE, &self.list, occupied, groups, age, Millis(now));
        }
    }

    fn arrive(&mut self, now: u64) {
        let gateway = self.rng.random_range(0..self.play.gateways);
        let left_ms = self.rng.random_range(STREAM_MS);
        let demand = Demand::for_service(SERVICE);
        let pool = &mut self.pools[gateway];
        let key = pool.choose(&demand, Millis(now), &mut self.rng).expect("a server is open");
        let server = self.keys.iter().position(|one| *one == key).expect("it is listed");
        let sent_index = self.sent.len();
        self.servers[server].queued.push_back(Stream { gateway, sent_index, left_ms });
        self.sent.push(Sent { at_ms: now, wait_ms: None, server });
    }

    fn serve(&mut self, now: u64) {
        for (number, key) in self.keys.iter().enumerate() {
            let pace = self.pace(self.servers[number].group, now);
            let server = &mut self.servers[number];
            while server.running.len() < server.slots as usize && pace > 0.0 {
                let Some(stream) = server.queued.pop_front() else { break };
                let sent = &mut self.sent[stream.sent_index];
                sent.wait_ms = Some(now - sent.at_ms);
                server.running.push(stream);
            }
            let worked_ms = if pace > 0.0 { STEP_MS as f64 / pace } else { 0.0 };
            let pools = &mut self.pools;
            server.running.retain_mut(|stream| {
                stream.left_ms -= worked_ms;
                if stream.left_ms <= 0.0 {
                    pools[stream.gateway].ended(*key, AttemptOutcome::Answered, Millis(now));
                }
                stream.left_ms > 0.0
            });
        }
    }

    fn run(mut self) -> Fleet {
        let mut reading = self.read(0);
        for now in (0..END_AT_MS).step_by(STEP_MS as usize) {
            let due = self.play.rate_per_s * STEP_MS as f64 / 1_000.0;
            let arrivals = (0..16).filter(|_| self.rng.random_bool(due / 16.0)).count();
            (0..arrivals).for_each(|_| self.arrive(now));
            self.serve(now);
            if now % NOTICE_INTERVAL_MS == 100 {
                reading = self.read(now);
            }
            if now % NOTICE_INTERVAL_MS == 0 && now < self.play.notices_until_ms {
                self.notify(&reading, now);
            }
        }
        self
    }

    /// Fraction of the streams that arrived in this time which waited too long for a slot.
    fn late(&self, from: u64, until: u64) -> f64 {
        let window = || self.sent.iter().filter(|sent| (from..until).contains(&sent.at_ms));
        let late =
            window().filter(|sent| sent.wait_ms.is_none_or(|wait| wait > MAX_WAIT_MS)).count();
        late as f64 / window().count() as f64
    }

    /// Fraction of the streams that arrived in this time which were sent to a group.
    fn share(&self, group: usize, from: u64, until: u64) -> f64 {
        let window = || self.sent.iter().filter(|sent| (from..until).contains(&sent.at_ms));
        let there = window().filter(|sent| self.servers[sent.server].group == group).count();
        there as f64 / window().count() as f64
    }
}

fn pool_at(pool: &Pool, index: usize, count: usize) -> Pool {
    let mut pool = pool.clone();
    pool.set_position(Some(Position { index, count }));
    pool
}

fn listed(number: usize, play: &Play) -> ListedServer {
    ListedServer {
        id: format!("s{number}"),
        service: SERVICE.to_owned(),
        address: ([10, 0, 0, number as u8], 80).into(),
        data_centre: "a".to_owned(),
        region: String::new(),
        slots: if number.is_multiple_of(2) { SLOTS } else { play.slots_of_half },
        leaving: false,
        cold_for: Millis::ZERO,
        started_unix_ms: None,
    }
}

/// Mean over some seeds.
fn mean(play: Play, of: impl Fn(&Fleet) -> f64) -> f64 {
    (0..3).map(|seed| of(&Fleet::new(play, seed).run())).sum::<f64>() / 3.0
}

/// With turns alone, a fifth of the streams wait too long although each eighth slot is free.
#[test]
fn few_streams_wait_for_a_slot_while_other_servers_have_free_ones() {
    for gateways in [8, 34, 432] {
        let play = Play::even(gateways, 3, 430.0);
        let late = mean(play, |fleet| fleet.late(2_000, 8_000));
        assert!(late < 0.1, "{late} with {gateways} gateways");
    }
}

/// Half of the servers have 4 slots in place of 10, so the turns fill these first.
#[test]
fn servers_get_requests_in_proportion_to_their_free_slots() {
    for gateways in [8, 34, 432] {
        let play = Play { slots_of_half: 4, ..Play::even(gateways, 3, 270.0) };
        let late = mean(play, |fleet| fleet.late(2_000, 8_000));
        assert!(late < 0.1, "{late} with {gateways} gateways");
    }
}

/// A group whose passes take 4 or 12 times as long, or that is gone, is left with the next notice,
/// and the other two groups serve what they bear. Afterwards it gets its part again, but not more
/// than it has free slots.
#[test]
fn a_group_is_left_at_once_and_returns_without_a_burst() {
    let change_until_ms = 7_000;
    for gateways in [8, 34, 432] {
        for pace in [4.0, 12.0, 0.0] {
            let play = Play { pace, change_until_ms, ..Play::even(gateways, 3, 260.0) };
            let late = mean(play, |fleet| fleet.late(CHANGE_AT_MS + 500, change_until_ms));
            assert!(late < 0.05, "{late} with {gateways} gateways at pace {pace}");
            let share = mean(play, |fleet| fleet.share(0, CHANGE_AT_MS + 500, change_until_ms));
            assert!(share < 0.02, "share of {share} with {gateways} gateways at pace {pace}");
            let late = mean(play, |fleet| fleet.late(change_until_ms + 500, END_AT_MS));
            assert!(late < 0.05, "{late} afterwards with {gateways} gateways at pace {pace}");
            let share = mean(play, |fleet| fleet.share(0, change_until_ms + 500, END_AT_MS));
            assert!((0.25..0.5).contains(&share), "share of {share} afterwards");
        }
    }
}

/// Guards against streams that are sent to a group whose passes have just become long: the report of
/// a slow server arrives before any notice that shows them.
#[test]
fn a_group_is_left_at_the_report_of_a_slow_server() {
    // Servers are reported as slow at 1 s, and the notice is as before.
    let share = |slow: &[&str], at: u64| {
        let mut fleet = Fleet::new(Play::even(8, 3, 300.0), 1);
        let Reading { occupied, groups, .. } = fleet.read(0);
        let ids: Vec<String> = slow.iter().map(|id| (*id).to_owned()).collect();
        for pool in &mut fleet.pools {
            let age = Millis(150);
            pool.apply_occupancy(SERVICE, &fleet.list, &occupied, &groups, age, Millis(1_000));
            pool.set_slow(SERVICE, &ids, Millis::ZERO, Millis(1_000));
            pool.apply_occupancy(SERVICE, &fleet.list, &occupied, &groups, age, Millis(at));
        }
        (0..300).for_each(|_| fleet.arrive(at));
        fleet.share(0, at, at + 1)
    };
    let usual = 0.25..0.42;
    assert!(usual.contains(&share(&[], 1_100)));
    let left = share(&["s3"], 1_100);
    assert!(left < 0.05, "{left}");
    let all = share(&["s3", "s30", "s60"], 1_100);
    assert!(usual.contains(&all), "{all}: no other group is left");
    let later = share(&["s3"], 1_600);
    assert!(usual.contains(&later), "{later}: by now notices show how long its passes are");
}

/// The last notice lapses: a group that it called closed gets its turns once the keeper is cut off.
#[test]
fn without_recent_notices_servers_get_even_turns() {
    let (notices_until_ms, change_until_ms) = (4_000, 4_500);
    let play = Play { pace: 0.0, notices_until_ms, change_until_ms, ..Play::even(34, 3, 300.0) };
    let share = mean(play, |fleet| fleet.share(0, 5_500, END_AT_MS));
    assert!((0.3..0.37).contains(&share), "{share}");
}
