//! Tests of expert map switches while machines freeze, each right after it has sent an order.
//!
//! Most orders to a rank are sent by the rank's own machine, which adds no cost, but no other
//! machine reaches the rank while its own is frozen. Gateways can send orders too. The tests guard
//! against a pass in which ranks use two maps, and against a group that is held for long although
//! all its ranks can be reached.

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

/// Length of a tick. A group makes one pass in each.
const TICK_MS: u64 = 50;

/// Ticks until an order without an answer times out: 250 ms.
const UNANSWERED_TICKS: u64 = 5;

/// Ticks for which a group may be held while all its ranks can be reached: one order without an
/// answer for each machine that freezes after it, at most two here, and as much again for polls.
const MAX_HELD_TICKS: u64 = 4 * UNANSWERED_TICKS;

const GATEWAYS: u8 = 5;

/// The kind of order after which a machine freezes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FreezeAfter {
    Prepare,
    Hold,
    Arm,
    Go,
}

impl FreezeAfter {
    const ALL: [FreezeAfter; 4] =
        [FreezeAfter::Prepare, FreezeAfter::Hold, FreezeAfter::Arm, FreezeAfter::Go];

    fn applies_to(self, order: Order) -> bool {
        match self {
            FreezeAfter::Prepare => matches!(order, Order::Prepare { .. }),
            FreezeAfter::Hold => matches!(order, Order::Hold { .. }),
            FreezeAfter::Arm => matches!(order, Order::Arm { .. }),
            FreezeAfter::Go => matches!(order, Order::Go { .. }),
        }
    }
}

/// The faults of one run.
#[derive(Clone, Copy, Debug)]
struct Faults {
    freeze_after: FreezeAfter,
    /// How long each machine is frozen, in ticks.
    frozen_ticks: u64,
    /// How many machines are still to freeze, one after the other.
    freezes_left: u32,
    /// Fraction of the orders that get no answer and are carried out late.
    late_fraction: f64,
    /// Tick in which a rank restarts.
    restart_at: Option<u64>,
    /// Tick in which the leader crashes; its successor starts a second later.
    leader_crash_at: Option<u64>,
}

struct Simulation {
    group: Group,
    faults: Faults,
    /// Tick until which each rank's machine is frozen.
    machine_frozen_until: Vec<u64>,
    /// Tick until which each gateway is frozen.
    gateway_frozen_until: Vec<u64>,
    relays: Relays,
    rng: ChaCha8Rng,
}

impl Simulation {
    fn new(ranks: usize, faults: Faults, seed: u64) -> Simulation {
        Simulation {
            group: Group::new(ranks),
            faults,
            machine_frozen_until: vec![0; ranks],
            gateway_frozen_until: vec![0; usize::from(GATEWAYS)],
            relays: Relays::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn now_ms(&self) -> Millis {
        Millis(self.group.now * TICK_MS)
    }

    fn is_reached(&self, rank: usize) -> bool {
        self.machine_frozen_until[rank] <= self.group.now
    }

    /// Whether some rank cannot be reached.
    fn is_any_rank_unreachable(&self) -> bool {
        (0..self.machine_frozen_until.len()).any(|rank| !self.is_reached(rank))
    }

    fn order(&mut self, rank: usize, fenced: FencedOrder, content: Content) -> Reply {
        let alive: Vec<IpAddr> =
            (0..GATEWAYS).map(|last| IpAddr::V4(Ipv4Addr::new(10, 0, 0, last))).collect();
        let relay = match fenced.order.sender() {
            Sender::Local => None,
            Sender::Remote => self.relays.next(&alive, self.now_ms()),
        };
        let reply = self.send_order(rank, fenced, content, relay.map(gateway_index));
        if let (Reply::NoAnswer, Some(relay)) = (reply, relay) {
            self.relays.mark_unanswered(relay, self.now_ms());
        }
        reply
    }

    fn send_order(
        &mut self,
        rank: usize,
        fenced: FencedOrder,
        content: Content,
        gateway: Option<usize>,
    ) -> Reply {
        let now = self.group.now;
        let is_frozen = gateway.is_some_and(|gateway| self.gateway_frozen_until[gateway] > now);
        if !self.is_reached(rank) || is_frozen {
            return Reply::NoAnswer;
        }
        if self.rng.random_bool(self.faults.late_fraction) {
            let at = now + self.rng.random_range(1..=60);
            self.group.late_orders.push((at, rank, fenced, content));
            return Reply::NoAnswer;
        }
        let reply = self.group.order(rank, fenced, content);
        if self.faults.freeze_after.applies_to(fenced.order) && self.faults.freezes_left > 0 {
            self.faults.freezes_left -= 1;
            let until = now + self.faults.frozen_ticks;
            match gateway {
                Some(gateway) => self.gateway_frozen_until[gateway] = until,
                None => self.machine_frozen_until[rank] = until,
            }
            return Reply::NoAnswer;
        }
        reply
    }

    fn send(&mut self, rank: usize, request: RankRequest, content: Content) -> Reply {
        match request {
            RankRequest::Report if self.is_reached(rank) => {
                Reply::Report(self.group.report(rank, 0))
            }
            RankRequest::Report => Reply::NoAnswer,
            RankRequest::Order(fenced) => self.order(rank, fenced, content),
        }
    }
}

fn gateway_index(relay: IpAddr) -> usize {
    match relay {
        IpAddr::V4(address) => usize::from(address.octets()[3]),
        IpAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

/// Result of one run.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Longest sequence of ticks without a pass.
    longest_stall: u64,
    /// Longest sequence of ticks without a pass although all ranks could be reached.
    longest_held: u64,
    /// Number of completed switches.
    switched: u32,
}

/// Runs 20 s of one switch after the other.
fn run(ranks: usize, faults: Faults, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(ranks, faults, seed);
    let mut outcome = Outcome::default();
    let mut fencing_token = 1;
    let mut content = simulation.group.plan();
    let mut versions = Versions::of_fencing_token(fencing_token);
    let mut switch = begin(versions, ranks);
    let (mut wakes_at, mut stalled_ticks, mut held_ticks) = (0, 0, 0);
    for tick in 0..400 {
        if faults.restart_at == Some(tick) {
            simulation.group.restart();
        }
        if faults.leader_crash_at == Some(tick) {
            fencing_token += 1;
            wakes_at = tick + 20;
            versions = Versions::of_fencing_token(fencing_token);
            content = simulation.group.plan();
            switch = begin(versions, ranks);
        }
        // A round takes some milliseconds if all ranks answer, so several fit into a tick.
        for _ in 0..4 {
            if wakes_at > tick {
                break;
            }
            match switch.step() {
                Next::Round(requests) => {
                    let replies: Vec<(usize, RankRequest, Reply)> = requests
                        .into_iter()
                        .map(|(rank, request)| {
                            (rank, request, simulation.send(rank, request, content))
                        })
                        .collect();
                    if replies.iter().any(|(_, _, reply)| *reply == Reply::NoAnswer) {
                        wakes_at = tick + UNANSWERED_TICKS;
                    }
                    switch.apply_replies(&replies);
                }
                Next::Pause(span) => wakes_at = tick + span.0.div_ceil(TICK_MS),
                ended => {
                    outcome.switched += u32::from(ended == Next::Switched);
                    versions = switch.versions();
                    content = simulation.group.plan();
                    switch = begin(versions, ranks);
                    wakes_at = tick + 10;
                }
            }
        }
        let before = simulation.group.ranks[0].report.pass;
        simulation.group.tick();
        assert_eq!(
            simulation.group.passes_with_two_maps, 0,
            "{faults:?}, seed {seed}: two maps in a pass, tick {tick}"
        );
        let stalled = simulation.group.ranks[0].report.pass == before;
        stalled_ticks = if stalled { stalled_ticks + 1 } else { 0 };
        held_ticks =
            if stalled && !simulation.is_any_rank_unreachable() { held_ticks + 1 } else { 0 };
        outcome.longest_stall = outcome.longest_stall.max(stalled_ticks);
        let excused = faults.leader_crash_at.is_some_and(|at| (at..at + 40).contains(&tick));
        if !excused {
            outcome.longest_held = outcome.longest_held.max(held_ticks);
        }
    }
    outcome
}

fn begin(versions: Versions, ranks: usize) -> Switch {
    let config =
        Config { passes_ahead: 2, pass_length: Millis(TICK_MS), ..Config::for_fresh_reports() };
    Switch::new(config, versions, ranks, Start::Unknown, Millis::ZERO)
}

fn all_faults() -> impl Iterator<Item = Faults> {
    let lengths = [1, 4, 10, 20, 40, 60, 100, 160];
    FreezeAfter::ALL.into_iter().flat_map(move |freeze_after| {
        lengths.into_iter().flat_map(move |frozen_ticks| {
            [1, 2].map(|freezes_left| Faults {
                freeze_after,
                frozen_ticks,
                freezes_left,
                late_fraction: 0.0,
                restart_at: None,
                leader_crash_at: None,
            })
        })
    })
}

#[test]
fn a_machine_that_freezes_after_a_hold_stalls_the_group_for_a_bounded_time() {
    for faults in all_faults().filter(|faults| faults.freeze_after == FreezeAfter::Hold) {
        for ranks in [2, 5, 12] {
            let outcome = run(ranks, faults, 1);
            assert!(outcome.switched > 4, "{faults:?}, {ranks} ranks: {outcome:?}");
            assert!(
                outcome.longest_stall <= MAX_HELD_TICKS,
                "{faults:?}, {ranks} ranks: {outcome:?}"
            );
        }
    }
}

#[test]
fn a_group_is_held_for_a_bounded_time_while_its_ranks_can_be_reached() {
    for faults in all_faults() {
        for ranks in [2, 5, 12] {
            let outcome = run(ranks, faults, 2);
            assert!(
                outcome.longest_held <= MAX_HELD_TICKS,
                "{faults:?}, {ranks} ranks: {outcome:?}"
            );
        }
    }
}

#[test]
fn late_orders_rank_restarts_and_leader_crashes_cause_no_second_map_in_a_pass() {
    let mut switched = 0;
    for (number, faults) in all_faults().enumerate() {
        for seed in 0..12 {
            let faults = Faults {
                late_fraction: [0.0, 0.1, 0.3][seed as usize % 3],
                restart_at: (seed % 4 == 1).then_some(30 + 7 * seed),
                leader_crash_at: (seed % 4 >= 2).then_some(5 + 9 * seed),
                ..faults
            };
            switched += run(2 + number % 4, faults, seed).switched;
        }
    }
    assert!(switched > 1_000, "{switched} switches: too few for a meaningful test");
}
