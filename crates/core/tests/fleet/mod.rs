//! Simulated gateways that gossip without a network. They start, stop without notice, and are cut
//! off from each other; each has a membership table. The fleet reports gateways that callers get
//! although they stopped, and running ones that are missing.

pub mod gossip;
pub mod member;

use std::collections::BTreeMap;

use gossip::exchange;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::members::Config;
use hooktrestle_core::direct::members::Distance;
use hooktrestle_core::direct::members::Member;
use hooktrestle_core::direct::members::Members;
use member::FIRST_PORT;
use member::address;
use member::numbered;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Time between two steps of a fleet.
pub const STEP: Millis = Millis(100);

/// Time between two reads of the table of gateways by one gateway.
const TABLE_EVERY_MS: u64 = 60_000;

/// Gossip rounds from one with a seed to the next.
const SEED_ROUNDS: u64 = 8;

/// Number of gateways that are seeds.
const SEEDS: usize = 2;

struct Process {
    members: Members,
    started_at: Millis,
    next_round: Millis,
    rounds: u64,
}

impl Process {
    /// The present time by this process's clock, which starts with the process.
    fn clock(&self, now: Millis) -> Millis {
        now.since(self.started_at)
    }
}

/// Gateways by number, and the table that they are listed in.
pub struct Fleet {
    /// The present time.
    pub now: Millis,
    running: Vec<Option<Process>>,
    stopped_at: Vec<Millis>,
    listed: BTreeMap<usize, Member>,
    /// While it is set, gateways with lower numbers and the others cannot reach each other.
    pub cut: Option<usize>,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// A fleet without gateways.
    pub fn new(seed: u64) -> Fleet {
        Fleet {
            now: Millis(10_000),
            running: Vec::new(),
            stopped_at: Vec::new(),
            listed: BTreeMap::new(),
            cut: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Starts one more gateway, which lists itself and reads the table.
    pub fn start(&mut self) {
        self.running.push(None);
        self.stopped_at.push(Millis::ZERO);
        self.start_again(self.running.len() - 1);
    }

    /// Starts a stopped gateway again.
    pub fn start_again(&mut self, number: usize) {
        let own = numbered(number, self.now.0);
        self.listed.insert(number, own.clone());
        let mut members = Members::new(Config::default(), own);
        members.apply_table(&self.table(), Millis::ZERO);
        let next_round = self.now + Millis(self.rng.random_range(0..600));
        let process = Process { members, started_at: self.now, next_round, rounds: 0 };
        self.running[number] = Some(process);
    }

    /// Stops a gateway without notice.
    pub fn stop(&mut self, number: usize) {
        self.running[number] = None;
        self.stopped_at[number] = self.now;
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

    /// Numbers of the gateways that are stopped.
    pub fn stopped(&self) -> Vec<usize> {
        (0..self.running.len()).filter(|number| self.running[*number].is_none()).collect()
    }

    /// Advances the time by [`STEP`]; each gateway whose gossip round is due starts an exchange.
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
            let removed = members.apply_table(&self.table(), now);
            self.listed.retain(|_, listed| !removed.contains(&listed.name));
        }
        let seed = (process.rounds.is_multiple_of(SEED_ROUNDS)).then(|| {
            let seed = self.rng.random_range(0..SEEDS);
            address(seed)
        });
        let picked = seed.filter(|at| *at != address(number));
        let Some(peer) = picked.or_else(|| members.random_peer(now, &mut self.rng)) else { return };
        let peer_number = usize::from(peer.port() - FIRST_PORT);
        let is_cut = self.cut.is_some_and(|first| (peer_number < first) != (number < first));
        match self.running[peer_number].as_mut().filter(|_| !is_cut) {
            Some(other) => {
                let others_now = other.clock(self.now);
                exchange((&mut *members, now), (&mut other.members, others_now));
                members.record_exchange(now);
            }
            None => members.mark_unreachable(peer),
        }
    }

    /// Pairs of a gateway and one that it gives to callers although that one stopped longer ago
    /// than the sum of the time-out of heartbeats and their propagation time.
    pub fn given_though_stopped(&self) -> Vec<(usize, usize)> {
        let mut found = Vec::new();
        for number in self.running() {
            let Some(process) = &self.running[number] else { continue };
            let given = process
                .members
                .for_callers(|name| Distance::within_region(name, "hall"), process.clock(self.now));
            let bound = Config::default().suspect_after + process.members.propagation_time();
            for stopped in self.stopped() {
                let stopped_long_ago = self.now.since(self.stopped_at[stopped]) >= bound;
                if stopped_long_ago && given.contains(&address(stopped)) {
                    found.push((number, stopped));
                }
            }
        }
        found
    }

    /// Whether a running gateway gives this one to callers.
    pub fn gives_to_callers(&self, gateway: usize) -> bool {
        let mut running = self.running().into_iter().filter_map(|one| self.running[one].as_ref());
        running.any(|process| {
            let distance = |name: &str| Distance::within_region(name, "hall");
            let given = process.members.for_callers(distance, process.clock(self.now));
            given.contains(&address(gateway))
        })
    }

    /// Pairs of running gateways of which the first does not give the second to callers.
    pub fn missing_though_running(&self) -> Vec<(usize, usize)> {
        let mut found = Vec::new();
        for number in self.running() {
            let Some(process) = &self.running[number] else { continue };
            let given = process
                .members
                .for_callers(|name| Distance::within_region(name, "hall"), process.clock(self.now));
            let missing =
                self.running().into_iter().filter(|other| !given.contains(&address(*other)));
            found.extend(missing.map(|other| (number, other)));
        }
        found
    }
}
