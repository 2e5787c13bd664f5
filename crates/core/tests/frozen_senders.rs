//! Switches of expert maps while machines stand still, each upon an order that it gives.
//!
//! A rank's own machine gives it most orders at no price, and nobody reaches the rank while that
//! machine stands still. Gateways can give orders, too. In each pass all ranks use one map, and a
//! group is never held for long while its ranks can be reached.

mod ranks;

use std::net::IpAddr;
use std::net::Ipv4Addr;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::map_orders::Config;
use hooktrestle_core::direct::map_orders::FencedOrder;
use hooktrestle_core::direct::map_orders::Next;
use hooktrestle_core::direct::map_orders::Order;
use hooktrestle_core::direct::map_orders::RankRequest;
use hooktrestle_core::direct::map_orders::Reply;
use hooktrestle_core::direct::map_orders::Sender;
use hooktrestle_core::direct::map_orders::Start;
use hooktrestle_core::direct::map_orders::Switch;
use hooktrestle_core::direct::map_orders::Versions;
use hooktrestle_core::direct::relays::Relays;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use ranks::Content;
use ranks::Group;

/// Ticks of 50 ms: a pass each.
const TICK_MS: u64 = 50;

/// Ticks that an order without an answer takes: 250 ms.
const UNANSWERED_TICKS: u64 = 5;

/// Ticks for which a group may be held while all its ranks can be reached: one order without an answer
/// for each machine that stands still upon it, two at most here, and as much again for looks.
const MOST_HELD: u64 = 4 * UNANSWERED_TICKS;

const GATEWAYS: u8 = 5;

/// Orders upon which a machine stands still.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Upon {
    Prepare,
    Hold,
    Arm,
    Go,
}

impl Upon {
    const ALL: [Upon; 4] = [Upon::Prepare, Upon::Hold, Upon::Arm, Upon::Go];

    fn is(self, order: Order) -> bool {
        match self {
            Upon::Prepare => matches!(order, Order::Prepare { .. }),
            Upon::Hold => matches!(order, Order::Hold { .. }),
            Upon::Arm => matches!(order, Order::Arm { .. }),
            Upon::Go => matches!(order, Order::Go { .. }),
        }
    }
}

/// What is to happen.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    upon: Upon,
    /// How long each machine stands still, in ticks.
    frozen_ticks: u64,
    /// How many machines still do so, one after the other.
    left: u32,
    /// Part of the orders that get no answer and are carried out late.
    late: f64,
    /// Tick in which a rank is born anew.
    reborn_at: Option<u64>,
    /// Tick in which the leader dies; its successor begins a second later.
    leader_dies_at: Option<u64>,
}

struct World {
    group: Group,
    trouble: Trouble,
    /// When each rank's machine goes on.
    beside_until: Vec<u64>,
    /// When each gateway goes on.
    gateway_until: Vec<u64>,
    relays: Relays,
    rng: ChaCha8Rng,
}

impl World {
    fn new(ranks: usize, trouble: Trouble, seed: u64) -> World {
        World {
            group: Group::new(ranks),
            trouble,
            beside_until: vec![0; ranks],
            gateway_until: vec![0; usize::from(GATEWAYS)],
            relays: Relays::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn now_ms(&self) -> Millis {
        Millis(self.group.now * TICK_MS)
    }

    fn is_reached(&self, rank: usize) -> bool {
        self.beside_until[rank] <= self.group.now
    }

    /// Whether nobody can reach some rank.
    fn is_cut_off(&self) -> bool {
        (0..self.beside_until.len()).any(|rank| !self.is_reached(rank))
    }

    fn order(&mut self, rank: usize, fenced: FencedOrder, content: Content) -> Reply {
        let living: Vec<IpAddr> =
            (0..GATEWAYS).map(|last| IpAddr::V4(Ipv4Addr::new(10, 0, 0, last))).collect();
        let relay = match fenced.order.sender() {
            Sender::Local => None,
            Sender::Remote => self.relays.next(&living, self.now_ms()),
        };
        let reply = self.give(rank, fenced, content, relay.map(number_of));
        if let (Reply::NoAnswer, Some(relay)) = (reply, relay) {
            self.relays.mark_unanswered(relay, self.now_ms());
        }
        reply
    }

    fn give(
        &mut self,
        rank: usize,
        fenced: FencedOrder,
        content: Content,
        gateway: Option<usize>,
    ) -> Reply {
        let now = self.group.now;
        let stands_still = gateway.is_some_and(|gateway| self.gateway_until[gateway] > now);
        if !self.is_reached(rank) || stands_still {
            return Reply::NoAnswer;
        }
        if self.rng.random_bool(self.trouble.late) {
            let at = now + self.rng.random_range(1..=60);
            self.group.late.push((at, rank, fenced, content));
            return Reply::NoAnswer;
        }
        let reply = self.group.order(rank, fenced, content);
        if self.trouble.upon.is(fenced.order) && self.trouble.left > 0 {
            self.trouble.left -= 1;
            let until = now + self.trouble.frozen_ticks;
            match gateway {
                Some(gateway) => self.gateway_until[gateway] = until,
                None => self.beside_until[rank] = until,
            }
            return Reply::NoAnswer;
        }
        reply
    }

    fn ask(&mut self, rank: usize, ask: RankRequest, content: Content) -> Reply {
        match ask {
            RankRequest::Report if self.is_reached(rank) => {
                Reply::Report(self.group.report(rank, 0))
            }
            RankRequest::Report => Reply::NoAnswer,
            RankRequest::Order(fenced) => self.order(rank, fenced, content),
        }
    }
}

fn number_of(relay: IpAddr) -> usize {
    match relay {
        IpAddr::V4(address) => usize::from(address.octets()[3]),
        IpAddr::V6(_) => unreachable!("all are IPv4"),
    }
}

/// How a group fared.
#[derive(Clone, Copy, Debug, Default)]
struct Played {
    /// Ticks in a row without a pass.
    longest_still: u64,
    /// The same, while all ranks could be reached.
    longest_held: u64,
    /// Switches that were completed.
    switched: u32,
}

/// Plays 20 s of one switch after the other.
fn play(ranks: usize, trouble: Trouble, seed: u64) -> Played {
    let mut world = World::new(ranks, trouble, seed);
    let mut played = Played::default();
    let mut fence = 1;
    let mut content = world.group.plan();
    let mut versions = Versions::of_fencing_token(fence);
    let mut switch = begin(versions, ranks);
    let (mut wakes, mut still, mut held) = (0, 0, 0);
    for tick in 0..400 {
        if trouble.reborn_at == Some(tick) {
            world.group.reborn();
        }
        if trouble.leader_dies_at == Some(tick) {
            fence += 1;
            wakes = tick + 20;
            versions = Versions::of_fencing_token(fence);
            content = world.group.plan();
            switch = begin(versions, ranks);
        }
        // A round takes some milliseconds where all answer: several fit into a tick.
        for _ in 0..4 {
            if wakes > tick {
                break;
            }
            match switch.step() {
                Next::Round(asks) => {
                    let replies: Vec<(usize, RankRequest, Reply)> = asks
                        .into_iter()
                        .map(|(rank, ask)| (rank, ask, world.ask(rank, ask, content)))
                        .collect();
                    if replies.iter().any(|(_, _, reply)| *reply == Reply::NoAnswer) {
                        wakes = tick + UNANSWERED_TICKS;
                    }
                    switch.apply_replies(&replies);
                }
                Next::Pause(span) => wakes = tick + span.0.div_ceil(TICK_MS),
                ended => {
                    played.switched += u32::from(ended == Next::Switched);
                    versions = switch.versions();
                    content = world.group.plan();
                    switch = begin(versions, ranks);
                    wakes = tick + 10;
                }
            }
        }
        let before = world.group.ranks[0].report.pass;
        world.group.tick();
        assert_eq!(
            world.group.passes_with_two_maps, 0,
            "{trouble:?}, seed {seed}: two maps in a pass, tick {tick}"
        );
        let stands_still = world.group.ranks[0].report.pass == before;
        still = if stands_still { still + 1 } else { 0 };
        held = if stands_still && !world.is_cut_off() { held + 1 } else { 0 };
        played.longest_still = played.longest_still.max(still);
        let excused = trouble.leader_dies_at.is_some_and(|at| (at..at + 40).contains(&tick));
        if !excused {
            played.longest_held = played.longest_held.max(held);
        }
    }
    played
}

fn begin(versions: Versions, ranks: usize) -> Switch {
    let config =
        Config { passes_ahead: 2, pass_length: Millis(TICK_MS), ..Config::for_fresh_reports() };
    Switch::new(config, versions, ranks, Start::Unknown, Millis::ZERO)
}

fn troubles() -> impl Iterator<Item = Trouble> {
    let lengths = [1, 4, 10, 20, 40, 60, 100, 160];
    Upon::ALL.into_iter().flat_map(move |upon| {
        lengths.into_iter().flat_map(move |frozen_ticks| {
            [1, 2].map(|left| Trouble {
                upon,
                frozen_ticks,
                left,
                late: 0.0,
                reborn_at: None,
                leader_dies_at: None,
            })
        })
    })
}

#[test]
fn a_machine_that_stands_still_upon_a_hold_does_not_hold_the_group() {
    for trouble in troubles().filter(|trouble| trouble.upon == Upon::Hold) {
        for ranks in [2, 5, 12] {
            let played = play(ranks, trouble, 1);
            assert!(played.switched > 4, "{trouble:?}, {ranks} ranks: {played:?}");
            assert!(played.longest_still <= MOST_HELD, "{trouble:?}, {ranks} ranks: {played:?}");
        }
    }
}

#[test]
fn a_group_is_held_for_a_bounded_time_while_its_ranks_can_be_reached() {
    for trouble in troubles() {
        for ranks in [2, 5, 12] {
            let played = play(ranks, trouble, 2);
            assert!(played.longest_held <= MOST_HELD, "{trouble:?}, {ranks} ranks: {played:?}");
        }
    }
}

#[test]
fn late_orders_reborn_ranks_and_dying_leaders_bring_no_second_map() {
    let mut switched = 0;
    for (number, trouble) in troubles().enumerate() {
        for seed in 0..12 {
            let trouble = Trouble {
                late: [0.0, 0.1, 0.3][seed as usize % 3],
                reborn_at: (seed % 4 == 1).then_some(30 + 7 * seed),
                leader_dies_at: (seed % 4 >= 2).then_some(5 + 9 * seed),
                ..trouble
            };
            switched += play(2 + number % 4, trouble, seed).switched;
        }
    }
    assert!(switched > 1_000, "{switched} switches: too few to show anything");
}
