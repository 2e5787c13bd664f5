//! Gateways that exchange news without a network: they start, go off, are cut off from each other.

pub mod gossip;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gossip::exchange;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::members::Config;
use hooktrestle_core::direct::members::Member;
use hooktrestle_core::direct::members::Members;
use hooktrestle_core::direct::members::Readiness;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Time between two steps of a fleet.
pub const STEP: Millis = Millis(100);

/// Time between two looks of a gateway at the table of gateways.
const TABLE_EVERY_MS: u64 = 60_000;

/// Rounds of news from one with a seed to the next.
const SEED_ROUNDS: u64 = 8;

/// Gateways that are known as seeds.
const SEEDS: usize = 2;

/// The first port of callers: gateway number `n` has `FIRST_PORT + n`.
const FIRST_PORT: u16 = 1_000;

/// The gateway with a number; its addresses say which it is.
pub fn numbered(number: usize, incarnation: u64) -> Member {
    let address = address(number);
    Member {
        name: format!("g{number:03}"),
        incarnation,
        heartbeat: 0,
        callers_at: address,
        peers_at: address,
        data_centre: "hall".to_owned(),
        memory_bytes: 0,
        readiness: Readiness::Ready,
        store_answers: true,
        leader_fencing_token: 0,
    }
}

/// Where the gateway with a number is.
pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + number as u16))
}

struct Process {
    members: Members,
    started_at: Millis,
    next_round: Millis,
    rounds: u64,
}

impl Process {
    /// A moment by this process's clock, which begins with it.
    fn clock(&self, now: Millis) -> Millis {
        now.since(self.started_at)
    }
}

/// Gateways by number, and the table that they are listed in.
pub struct Fleet {
    /// The present moment.
    pub now: Millis,
    running: Vec<Option<Process>>,
    off_at: Vec<Millis>,
    listed: BTreeMap<usize, Member>,
    /// While it is set, numbers below it and the others do not reach each other.
    pub cut: Option<usize>,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// A fleet without gateways.
    pub fn new(seed: u64) -> Fleet {
        Fleet {
            now: Millis(10_000),
            running: Vec::new(),
            off_at: Vec::new(),
            listed: BTreeMap::new(),
            cut: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// One more gateway starts, lists itself and reads the table.
    pub fn start(&mut self) {
        self.running.push(None);
        self.off_at.push(Millis::ZERO);
        self.start_again(self.running.len() - 1);
    }

    /// A gateway that is off starts again.
    pub fn start_again(&mut self, number: usize) {
        let own = numbered(number, self.now.0);
        self.listed.insert(number, own.clone());
        let mut members = Members::new(Config::default(), own);
        members.apply_table(&self.table(), Millis::ZERO);
        let next_round = self.now + Millis(self.rng.random_range(0..600));
        let process = Process { members, started_at: self.now, next_round, rounds: 0 };
        self.running[number] = Some(process);
    }

    /// A gateway goes off without a word.
    pub fn off(&mut self, number: usize) {
        self.running[number] = None;
        self.off_at[number] = self.now;
    }

    fn table(&self) -> Vec<Member> {
        self.listed.values().cloned().collect()
    }

    /// Numbers of the gateways that are listed.
    pub fn listed(&self) -> Vec<usize> {
        self.listed.keys().copied().collect()
    }

    /// Numbers of the gateways that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.running.len()).filter(|number| self.running[*number].is_some()).collect()
    }

    /// Numbers of the gateways that are off.
    pub fn gone(&self) -> Vec<usize> {
        (0..self.running.len()).filter(|number| self.running[*number].is_none()).collect()
    }

    /// Time passes, and whoever's round it is exchanges news.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for number in self.running() {
            let Some(mut process) = self.running[number].take() else { continue };
            if process.next_round <= self.now {
                self.round(number, &mut process);
            }
            self.running[number] = Some(process);
        }
    }

    fn round(&mut self, number: usize, process: &mut Process) {
        let now = process.clock(self.now);
        let members = &mut process.members;
        process.next_round = process.next_round + members.gossip_interval();
        process.rounds += 1;
        members.remove_expired(now);
        members.advance_heartbeat();
        if now.0 % TABLE_EVERY_MS < members.gossip_interval().0 {
            self.listed.entry(number).or_insert_with(|| members.own().clone());
            let given_up = members.apply_table(&self.table(), now);
            self.listed.retain(|_, listed| !given_up.contains(&listed.name));
        }
        let seed = (process.rounds.is_multiple_of(SEED_ROUNDS)).then(|| {
            let seed = self.rng.random_range(0..SEEDS);
            address(seed)
        });
        let drawn = seed.filter(|at| *at != address(number));
        let Some(peer) = drawn.or_else(|| members.random_peer(now, &mut self.rng)) else { return };
        let asked = usize::from(peer.port() - FIRST_PORT);
        let is_cut = self.cut.is_some_and(|first| (asked < first) != (number < first));
        match self.running[asked].as_mut().filter(|_| !is_cut) {
            Some(other) => {
                let others_now = other.clock(self.now);
                exchange((&mut *members, now), (&mut other.members, others_now));
                members.record_exchange(now);
            }
            None => members.mark_unreachable(peer),
        }
    }

    /// Pairs of a gateway and one that it gives to callers, though that went off longer ago than
    /// heartbeats are waited for and take to spread.
    pub fn named_though_long_off(&self) -> Vec<(usize, usize)> {
        let mut found = Vec::new();
        for number in self.running() {
            let Some(process) = &self.running[number] else { continue };
            let given = process.members.for_callers("hall", process.clock(self.now));
            let bound = Config::default().suspect_after + process.members.propagation_time();
            for gone in self.gone() {
                let long_off = self.now.since(self.off_at[gone]) >= bound;
                if long_off && given.contains(&address(gone)) {
                    found.push((number, gone));
                }
            }
        }
        found
    }

    /// Pairs of gateways that both run, the second of which the first does not give to callers.
    pub fn not_named_though_running(&self) -> Vec<(usize, usize)> {
        let mut found = Vec::new();
        for number in self.running() {
            let Some(process) = &self.running[number] else { continue };
            let given = process.members.for_callers("hall", process.clock(self.now));
            let missing =
                self.running().into_iter().filter(|other| !given.contains(&address(*other)));
            found.extend(missing.map(|other| (number, other)));
        }
        found
    }
}
