//! Limits right after gateways have started. Guards against cold servers that get nothing for
//! seconds after a common start of all gateways, since each reserves its share, and against shares
//! that count twice, since they are used too early: a gateway of before the start may still count
//! them. A simulation of gateways that ask for permits, with messages that are late or lost, starts,
//! and cuts; every window of one second of the server's requests is checked.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::advertised_limit::AdvertisedLimit;
use hooktrestle_core::direct::advertised_limit::Permission;
use hooktrestle_core::direct::advertised_limit::Rate;
use hooktrestle_core::direct::advertised_limit::WarmUp;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use hooktrestle_core::direct::members::IncarnationId;
use hooktrestle_core::direct::permits::DELEGATION_INTERVAL;
use hooktrestle_core::direct::permits::GatewayId;
use hooktrestle_core::direct::permits::Permits;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// What a cold server takes per second, and the users' rule: in each window at most 1.5 times as
/// much, and five more.
const RATE_PER_S: f64 = 14.0;
const WINDOW: Millis = Millis(1_000);
const ALLOWED: usize = (1.5 * RATE_PER_S) as usize + 5;

/// When the fault happens, and the end of the run.
const FAULT_AT: Millis = Millis(10_000);
const END: Millis = Millis(20_000);

/// Time between two attempts of a gateway to delegate its share.
const RETRY_INTERVAL_MS: u64 = 100;

/// Latest start of a process after the common end of all.
const MAX_START_MS: u64 = 300;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    AllStart,
    /// A part of the gateways end and start again, the one that grants permits among them.
    SomeStart,
    /// The one that grants permits ends, and starts again late.
    GranterDies,
    /// Gateways end and start again while the network is cut at random.
    StartsAndCuts,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trust {
    /// As the product does.
    Confirmed,
    /// A reply never confirms that a share is free.
    Never,
    /// Each reply confirms it.
    Always,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Network {
    Good,
    /// One message in ten is late or lost.
    Bad,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Starts(usize),
    Ends(usize),
    Cuts,
    /// A gateway learns which one grants permits.
    Learns(usize),
    Delegates(usize, u64),
    Wants(usize),
    Asked(Ask),
    Replied(Ask, u32, u64, bool),
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Ask {
    from: (usize, u64),
    to: (usize, u64),
    hands_over: bool,
    counts_none: bool,
    wanted: u32,
    at: Millis,
}

struct Gateway {
    /// Number of its process.
    process: u64,
    runs: bool,
    side: u8,
    granter: (usize, u64),
    permits: Permits,
    limited: AdvertisedLimit,
}

fn process_id((gateway, process): (usize, u64)) -> IncarnationId {
    IncarnationId(gateway as u64 * 1_000 + process)
}

impl Gateway {
    fn started(number: usize, process: u64, now: Millis) -> Gateway {
        let mut limited = AdvertisedLimit::default();
        limited.set_warm_up(Some(WarmUp { rate: Rate::per_s(RATE_PER_S), until: END }));
        let permits = Permits::new(GatewayId(number as u64), process_id((number, process)), now);
        Gateway { process, runs: true, side: 0, granter: (number, process), permits, limited }
    }
}

struct Simulation {
    rng: ChaCha8Rng,
    trust: Trust,
    network: Network,
    fleet: Vec<GatewayId>,
    gateways: Vec<Gateway>,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    count: u64,
    arrived: Vec<Millis>,
}

impl Simulation {
    fn at(&mut self, at: Millis, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn send(&mut self, now: Millis, event: Event) {
        let transit_ms = match self.rng.random_range(0..20) {
            0 if self.network == Network::Bad => return,
            1 if self.network == Network::Bad => self.rng.random_range(1..450),
            _ => self.rng.random_range(1..5),
        };
        self.at(now + Millis(transit_ms), event);
    }

    fn is_process(&self, (gateway, process): (usize, u64)) -> bool {
        self.gateways[gateway].runs && self.gateways[gateway].process == process
    }

    fn step(&mut self, now: Millis, event: Event) {
        match event {
            Event::Starts(number) => {
                let process = self.gateways[number].process + 1;
                self.gateways[number] = Gateway::started(number, process, now);
                self.at(now + Millis(30), Event::Learns(number));
                self.at(now + Millis(20), Event::Delegates(number, process));
            }
            Event::Ends(number) => self.gateways[number].runs = false,
            Event::Cuts => {
                let is_cut = self.rng.random_bool(0.5);
                for gateway in &mut self.gateways {
                    gateway.side = u8::from(is_cut && self.rng.random_bool(0.5));
                }
            }
            Event::Learns(number) => {
                let reached = |one: &&Gateway| one.runs && one.side == self.gateways[number].side;
                let first = self.gateways.iter().position(|one| reached(&one)).unwrap_or(number);
                self.gateways[number].granter = (first, self.gateways[first].process);
                let next = self.rng.random_range(20..250);
                self.at(now + Millis(next), Event::Learns(number));
            }
            Event::Delegates(number, process) if self.is_process((number, process)) => {
                let hands_over = self.ask(number, 0, now);
                let interval =
                    if hands_over { DELEGATION_INTERVAL } else { Millis(RETRY_INTERVAL_MS) };
                self.at(now + interval, event);
            }
            Event::Wants(number) if self.gateways[number].runs => self.want(number, now),
            Event::Asked(ask) => self.answer(ask, now),
            Event::Replied(ask, permits, retry_ms, is_free) if self.is_process(ask.from) => {
                let is_free = match self.trust {
                    Trust::Confirmed => is_free,
                    Trust::Never => false,
                    Trust::Always => true,
                };
                let gateway = &mut self.gateways[ask.from.0];
                if is_free && !ask.hands_over {
                    gateway.permits.confirm_free_share(process_id(ask.to), ask.at, now);
                }
                if ask.wanted > 0 {
                    gateway.limited.apply_grant(permits, Millis(retry_ms), ask.at, now);
                    self.want(ask.from.0, now);
                }
            }
            _ => {}
        }
    }

    fn want(&mut self, number: usize, now: Millis) {
        match self.gateways[number].limited.take(None, now) {
            Permission::Free | Permission::Until(_) => self.arrived.push(now),
            Permission::Ask(wanted) => {
                self.ask(number, wanted, now);
            }
            Permission::None => {}
        }
    }

    fn ask(&mut self, number: usize, wanted: u32, now: Millis) -> bool {
        let gateway = &mut self.gateways[number];
        let (from, to) = ((number, gateway.process), gateway.granter);
        let hands_over = gateway.permits.delegate_share(process_id(to), now);
        let counts_none = !hands_over && from != to && gateway.permits.disclaim(now);
        let ask = Ask { from, to, hands_over, counts_none, wanted, at: now };
        match from == to {
            true => self.at(now, Event::Asked(ask)),
            false => self.send(now, Event::Asked(ask)),
        }
        hands_over
    }

    fn answer(&mut self, ask: Ask, now: Millis) {
        let (from, to) = (ask.from.0, ask.to.0);
        // A message to an earlier process of the gateway was lost with its connection.
        if !self.is_process(ask.to) || self.gateways[from].side != self.gateways[to].side {
            return;
        }
        let permits = &mut self.gateways[to].permits;
        let owner = GatewayId(from as u64);
        if ask.hands_over {
            permits.add_share(owner, now);
        }
        if ask.counts_none {
            permits.record_disclaimer(owner, now);
        }
        let is_free = permits.is_share_free(owner, Some(&self.fleet), now);
        let (rate, total) = (Rate::per_s(RATE_PER_S), Some(self.fleet.len()));
        let server = ServerIncarnation(1);
        let granted = permits.grant(server, rate, ask.wanted, 0.0, total, now);
        let reply = Event::Replied(ask, granted.permits, granted.retry_in.0, is_free);
        match from == to {
            true => self.at(now, reply),
            false => self.send(now, reply),
        }
    }
}

/// Arrival times of requests at the server. Demand is ten times what it takes, at all gateways.
fn play(
    gateways: usize,
    fault: Fault,
    (network, trust): (Network, Trust),
    seed: u64,
) -> Vec<Millis> {
    let mut play = Simulation {
        rng: ChaCha8Rng::seed_from_u64(seed),
        trust,
        network,
        fleet: (0..gateways as u64).map(GatewayId).collect(),
        gateways: (0..gateways).map(|one| Gateway::started(one, 0, Millis::ZERO)).collect(),
        events: BinaryHeap::new(),
        count: 0,
        arrived: Vec::new(),
    };
    for number in 0..gateways {
        play.at(Millis(number as u64 % 50), Event::Learns(number));
        play.at(Millis(number as u64 % 100), Event::Delegates(number, 0));
    }
    for at in (0..END.0).step_by((100.0 / RATE_PER_S) as usize) {
        let number = play.rng.random_range(0..gateways);
        play.at(Millis(at), Event::Wants(number));
    }
    for number in 0..gateways {
        let back_ms = match fault {
            Fault::AllStart => Some(play.rng.random_range(50..MAX_START_MS)),
            Fault::SomeStart if number == 0 || play.rng.random_bool(0.5) => {
                Some(play.rng.random_range(50..1_500))
            }
            Fault::GranterDies if number == 0 => Some(play.rng.random_range(50..3_000)),
            _ => None,
        };
        if let Some(back_ms) = back_ms {
            play.at(FAULT_AT, Event::Ends(number));
            play.at(FAULT_AT + Millis(back_ms), Event::Starts(number));
        }
    }
    if fault == Fault::StartsAndCuts {
        for _ in 0..20 {
            let at = Millis(play.rng.random_range(3_000..END.0));
            play.at(at, Event::Cuts);
            let all = play.rng.random_bool(0.3);
            for number in 0..gateways {
                if all || play.rng.random_bool(0.2) {
                    let back_ms = play.rng.random_range(20..1_000);
                    play.at(at, Event::Ends(number));
                    play.at(at + Millis(back_ms), Event::Starts(number));
                }
            }
        }
    }
    while let Some(Reverse((now, _, event))) = play.events.pop().filter(|next| next.0.0 < END) {
        play.step(now, event);
    }
    play.arrived
}

fn max_in_window(arrived: &[Millis]) -> usize {
    let in_window =
        |(first, at): (usize, &Millis)| arrived[first..].partition_point(|one| *one < *at + WINDOW);
    arrived.iter().enumerate().map(in_window).max().unwrap_or_default()
}

/// Requests per second from half a second after the start of the last gateway, for one second.
fn used_after_start(arrived: &[Millis]) -> usize {
    let from = FAULT_AT + Millis(MAX_START_MS + 500);
    arrived.iter().filter(|at| **at >= from && **at < from + WINDOW).count()
}

#[test]
fn a_cold_server_never_gets_more_than_the_rule_allows_after_starts() {
    for fault in [Fault::AllStart, Fault::SomeStart, Fault::GranterDies, Fault::StartsAndCuts] {
        for gateways in [1, 2, 3, 8, 34, 300] {
            for seed in 0..if gateways > 34 { 3 } else { 40 } {
                let arrived = play(gateways, fault, (Network::Bad, Trust::Confirmed), seed);
                let found = max_in_window(&arrived);
                assert!(
                    found <= ALLOWED,
                    "{gateways}, {fault:?}, seed {seed}: {found} in a window"
                );
            }
        }
    }
}

#[test]
fn a_cold_server_gets_most_of_what_it_takes_half_a_second_after_a_start_of_all() {
    for gateways in [1, 3, 8, 34, 300] {
        for seed in 0..5 {
            let arrived = play(gateways, Fault::AllStart, (Network::Good, Trust::Confirmed), seed);
            let used = used_after_start(&arrived);
            assert!(used as f64 >= 0.8 * RATE_PER_S, "{gateways}, seed {seed}: {used} in a second");
        }
    }
}

#[test]
fn the_simulation_detects_shares_that_are_reserved_or_used_too_early() {
    let reserved = play(34, Fault::AllStart, (Network::Good, Trust::Never), 1);
    assert_eq!(used_after_start(&reserved), 0);
    let trust = (Network::Bad, Trust::Always);
    let excess = |seed| max_in_window(&play(8, Fault::StartsAndCuts, trust, seed));
    assert!((0..40).any(|seed| excess(seed) > ALLOWED), "none in 40 seeds");
}
