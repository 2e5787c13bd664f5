//! Simulation of gateways that admit streams to the same servers, without a network.
//!
//! Streams last 1.4 s and begin as slots become free. A stream is in time if it begins within the
//! slack. Gateways report to the keeper each 200 ms; reports and notices take up to 100 ms, and some
//! are lost.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::admission;
use hooktrestle_core::direct::admission::Admission;
use hooktrestle_core::direct::admission::Decision;
use hooktrestle_core::direct::admission::LatencyObjective;
use hooktrestle_core::direct::level::Config;
use hooktrestle_core::direct::level::Controller;
use hooktrestle_core::direct::level::Demand;
use hooktrestle_core::direct::level::Gate;
use hooktrestle_core::direct::level::GateRequest;
use hooktrestle_core::direct::level::Level;
use hooktrestle_core::direct::level::Return;
use hooktrestle_core::direct::level::Room;
use hooktrestle_core::direct::level::Verdict;
use hooktrestle_core::direct::room::AccountId;
use hooktrestle_core::direct::room::URGENCIES;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub const SLOTS: usize = 720;
pub const STREAM_MS: f64 = 1_400.0;
/// Time that a stream can wait for a slot and still be in time.
const SLACK: Millis = Millis(240);
const STEP: Millis = Millis(5);
const REPORT_INTERVAL: Millis = Millis(200);
const LOST: f64 = 0.05;
/// Reports of each gateway lapse.
const MAX_REPORT_AGE: Millis = Millis(1_000);
const ACCOUNTS: u64 = 24;
const LISTED: usize = 16;

/// Streams per second that these slots carry.
pub fn rate_per_s(slots: usize) -> f64 {
    slots as f64 * 1_000.0 / STREAM_MS
}

/// Streams that the servers carry in time: slots, and half of the slack in the queue.
pub fn room(slots: usize) -> f64 {
    slots as f64 + rate_per_s(slots) * SLACK.0 as f64 / 2_000.0
}

/// The room at which the keeper aims: less than what is in time, since open streams vary.
fn target(slots: usize) -> f64 {
    slots as f64 + rate_per_s(slots) * SLACK.0 as f64 / 4_000.0
}

/// Way in which gateways decide.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    EqualParts,
    Passes,
    Level,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    pub key: u64,
    pub account: u64,
    pub urgency: u8,
    pub asked_at: Millis,
    retries: u32,
    has_turn: bool,
}

/// What became of the requests of 1 s.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub most_open: usize,
}

struct Report {
    open: usize,
    ended: u32,
    arrivals: [u32; URGENCIES],
    turns: u32,
    accounts: BTreeMap<AccountId, u32>,
}

struct Gateway {
    gate: Gate,
    admission: Admission,
    open: usize,
    report: Report,
    next_report_at: Millis,
    is_alive: bool,
    is_cut: bool,
}

fn empty_report() -> Report {
    Report { open: 0, ended: 0, arrivals: [0; URGENCIES], turns: 0, accounts: BTreeMap::new() }
}

pub struct Fleet {
    pub now: Millis,
    pub slots: usize,
    /// Priorities of requests, at equal rates.
    pub urgencies: [u8; 4],
    /// Requests per second, of callers that repeat at once, and of one account more than others.
    pub per_s: f64,
    pub repeaters: f64,
    pub large_account: f64,
    pub seconds: Vec<Second>,
    /// By urgency and by account: requests, and those that were admitted at first.
    pub by_urgency: [(u32, u32); 3],
    pub by_account: Vec<(u32, u32)>,
    /// Callers that returned in their turn, and those of them that were admitted.
    pub returned: (u32, u32),
    way: Way,
    rng: ChaCha8Rng,
    gateways: Vec<Gateway>,
    controller: Controller,
    last_level_at: Millis,
    level: Level,
    messages: BinaryHeap<Reverse<(Millis, usize, bool, Millis)>>,
    sent: BTreeMap<(Millis, usize), (Report, Level)>,
    reports: BTreeMap<usize, (Report, Millis)>,
    running: BinaryHeap<Reverse<(Millis, usize)>>,
    queue: VecDeque<(Millis, usize)>,
    returns: BTreeMap<(Millis, u64), Request>,
    next_key: u64,
}

impl Fleet {
    pub fn new(way: Way, gateways: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: Millis(10_000),
            slots: SLOTS,
            urgencies: [0, 1, 1, 2],
            per_s: 300.0,
            repeaters: 0.0,
            large_account: 0.0,
            seconds: Vec::new(),
            by_urgency: [(0, 0); 3],
            by_account: vec![(0, 0); ACCOUNTS as usize],
            returned: (0, 0),
            way,
            rng: ChaCha8Rng::seed_from_u64(seed),
            gateways: Vec::new(),
            controller: Controller::new(Config::default()),
            last_level_at: Millis::ZERO,
            level: Level::open(),
            messages: BinaryHeap::new(),
            sent: BTreeMap::new(),
            reports: BTreeMap::new(),
            running: BinaryHeap::new(),
            queue: VecDeque::new(),
            returns: BTreeMap::new(),
            next_key: 0,
        };
        (0..gateways).for_each(|_| fleet.start_gateway());
        fleet
    }

    pub fn start_gateway(&mut self) {
        self.gateways.push(Gateway {
            gate: Gate::new(),
            admission: Admission::new(admission::Config::default()),
            open: 0,
            report: empty_report(),
            next_report_at: self.now + Millis(self.rng.random_range(0..REPORT_INTERVAL.0)),
            is_alive: true,
            is_cut: false,
        });
    }

    /// A gateway dies; its streams end.
    pub fn kill(&mut self, index: usize) {
        self.gateways[index].is_alive = false;
        self.running.retain(|Reverse((_, gateway))| *gateway != index);
        self.queue.retain(|(_, gateway)| *gateway != index);
    }

    pub fn cut(&mut self, index: usize) {
        self.gateways[index].is_cut = true;
    }

    pub fn run(&mut self, span: Millis) -> &[Second] {
        let first = self.seconds.len();
        let end = self.now + span;
        while self.now < end {
            if self.seconds.is_empty() || self.now.0.is_multiple_of(1_000) {
                self.seconds.push(Second::default());
            }
            self.step();
            self.now = self.now + STEP;
        }
        &self.seconds[first..]
    }

    fn step(&mut self) {
        self.serve();
        self.exchange();
        let expected = self.per_s * STEP.0 as f64 / 1_000.0;
        let arrivals = expected as usize + usize::from(self.rng.random_bool(expected.fract()));
        for _ in 0..arrivals {
            self.next_key += 1;
            let is_large = self.rng.random_bool(self.large_account);
            let account = if is_large { 0 } else { self.rng.random_range(0..ACCOUNTS) };
            let urgency = self.urgencies[self.rng.random_range(0..4)];
            let request = Request {
                key: self.next_key,
                account,
                urgency,
                asked_at: self.now,
                retries: 0,
                has_turn: false,
            };
            self.ask(request);
        }
        while let Some(entry) = self.returns.first_entry().filter(|entry| entry.key().0 <= self.now)
        {
            let request = entry.remove();
            self.ask(request);
        }
    }

    /// Ends streams, and starts queued ones.
    fn serve(&mut self) {
        while let Some(Reverse((ends_at, gateway))) = self.running.peek().copied() {
            if ends_at > self.now {
                break;
            }
            self.running.pop();
            self.gateways[gateway].open -= 1;
            self.gateways[gateway].report.ended += 1;
            self.gateways[gateway].admission.ended(Some(STREAM_MS));
        }
        let open = self.running.len() + self.queue.len();
        let second = self.seconds.last_mut().expect("a second has begun");
        second.most_open = second.most_open.max(open);
        while self.running.len() < self.slots {
            let Some((since, gateway)) = self.queue.pop_front() else { break };
            let second = self.seconds.last_mut().expect("a second has begun");
            if self.now.since(since) <= SLACK {
                second.in_time += 1
            } else {
                second.late += 1
            }
            // Most answers are short, and some are several times as long.
            let draw = |rng: &mut ChaCha8Rng| -rng.random_range(1e-9_f64..1.0).ln();
            let length = STREAM_MS / 2.0 * (draw(&mut self.rng) + draw(&mut self.rng));
            self.running.push(Reverse((self.now + Millis(length as u64), gateway)));
        }
    }

    fn ask(&mut self, mut request: Request) {
        self.seconds.last_mut().expect("a second has begun").asked += 1;
        let alive: Vec<usize> =
            (0..self.gateways.len()).filter(|index| self.gateways[*index].is_alive).collect();
        let index = alive[self.rng.random_range(0..alive.len())];
        let account = AccountId::of(&request.account.to_string(), request.urgency);
        let gateway = &mut self.gateways[index];
        let verdict = match self.way {
            Way::Level => gateway.gate.decide(
                &GateRequest {
                    urgency: request.urgency,
                    account,
                    key: request.key.wrapping_mul(0x9e37_79b9_7f4a_7c15),
                    open_streams: gateway.open as u32,
                    left: Millis(8_000).since(self.now.since(request.asked_at)),
                },
                self.slots as f64 / alive.len() as f64,
                self.now,
            ),
            Way::EqualParts => {
                let part = (room(self.slots) / alive.len() as f64).max(1.0);
                let is_free = (gateway.open as f64) < part;
                if is_free { Verdict::Admitted } else { Verdict::Refused(Return::Never) }
            }
            Way::Passes => {
                gateway.admission.record_pass(63.0, self.now);
                let objective = LatencyObjective { pause_ms: 120.0, min_pass_ms: 10.0 };
                match gateway.admission.decide(objective, 400.0, 1.0, self.now) {
                    Decision::Refused(after) => Verdict::Refused(Return::NotBefore(after)),
                    _ => Verdict::Admitted,
                }
            }
        };
        let is_in_turn = verdict == Verdict::AdmittedInTurn;
        let report = &mut gateway.report;
        if is_in_turn {
            report.turns += 1;
        } else {
            report.arrivals[usize::from(request.urgency)] += 1;
            *report.accounts.entry(account).or_default() += 1;
        }
        let refused = match verdict {
            Verdict::Refused(to_return) => Some(to_return),
            _ => None,
        };
        if request.retries == 0 {
            let admitted = u32::from(refused.is_none());
            let of_urgency = &mut self.by_urgency[usize::from(request.urgency)];
            *of_urgency = (of_urgency.0 + 1, of_urgency.1 + admitted);
            let of_account = &mut self.by_account[request.account as usize];
            *of_account = (of_account.0 + 1, of_account.1 + admitted);
        }
        if request.has_turn {
            self.returned = (self.returned.0 + 1, self.returned.1 + u32::from(refused.is_none()));
        }
        let Some(to_return) = refused else {
            gateway.open += 1;
            gateway.admission.began();
            self.queue.push_back((self.now, index));
            return;
        };
        // Some callers repeat at once, several times; the others return once, as they are told.
        let repeats = (request.key as f64 * 0.618).fract() < self.repeaters;
        let (after, has_turn) = match to_return {
            _ if repeats && request.retries < 4 => (Millis(20), false),
            Return::InTurn(after) if request.retries == 0 => (after, true),
            Return::NotBefore(after) if request.retries == 0 => (after, false),
            _ => return,
        };
        request.retries += 1;
        request.has_turn = has_turn;
        self.returns.insert((self.now + after, request.key), request);
    }

    /// Sends due reports, and delivers reports and notices.
    fn exchange(&mut self) {
        for index in 0..self.gateways.len() {
            let gateway = &mut self.gateways[index];
            if !gateway.is_alive || gateway.next_report_at > self.now {
                continue;
            }
            gateway.next_report_at = self.now + REPORT_INTERVAL;
            let mut report = std::mem::replace(&mut gateway.report, empty_report());
            report.open = gateway.open;
            if gateway.is_cut || self.rng.random_bool(LOST) {
                continue;
            }
            self.send(index, false, report, Level::open());
        }
        while let Some(Reverse((at, index, is_notice, sent_at))) = self.messages.peek().copied() {
            if at > self.now {
                break;
            }
            self.messages.pop();
            let (report, level) = self.sent.remove(&(sent_at, index)).expect("it was sent");
            if is_notice {
                let lifetime = Millis(1_500);
                self.gateways[index].gate.apply(level, sent_at, lifetime, self.now);
                continue;
            }
            self.reports.insert(index, (report, self.now));
            self.update_level();
            if !self.rng.random_bool(LOST) {
                self.send(index, true, empty_report(), self.level.clone());
            }
        }
    }

    fn send(&mut self, index: usize, is_notice: bool, report: Report, level: Level) {
        let delay = Millis(self.rng.random_range(1..100));
        self.sent.insert((self.now, index), (report, level));
        self.messages.push(Reverse((self.now + delay, index, is_notice, self.now)));
    }

    /// The keeper computes the level each 50 ms from the newest reports.
    fn update_level(&mut self) {
        if self.now.since(self.last_level_at) < Millis(50) {
            return;
        }
        self.last_level_at = self.now;
        self.reports.retain(|_, (_, at)| self.now.since(*at) <= MAX_REPORT_AGE);
        let heard = self.reports.len() as f64;
        let known = self.gateways.iter().filter(|gateway| gateway.is_alive).count() as f64;
        let per_s = 1_000.0 / REPORT_INTERVAL.0 as f64;
        let mut demand = Demand::default();
        let mut accounts: BTreeMap<AccountId, f64> = BTreeMap::new();
        let mut open = 0;
        let mut ended = 0;
        for (report, _) in self.reports.values() {
            open += report.open;
            ended += report.ended;
            demand.turns_per_s += f64::from(report.turns) * per_s;
            for (sum, count) in demand.arrivals_per_s.iter_mut().zip(report.arrivals) {
                *sum += f64::from(count) * per_s;
            }
            let mut listed: Vec<_> = report.accounts.iter().collect();
            listed.sort_by_key(|(_, count)| Reverse(**count));
            for (account, count) in listed.into_iter().take(LISTED) {
                *accounts.entry(*account).or_default() += f64::from(*count) * per_s;
            }
        }
        let mut accounts: Vec<_> = accounts.into_iter().collect();
        accounts.sort_by(|one, other| other.1.total_cmp(&one.1));
        accounts.truncate(LISTED);
        demand.accounts = accounts;
        let part = (heard / known).min(1.0);
        let open = open as f64;
        let completions_per_s = f64::from(ended) * per_s;
        let room = Room { streams: target(self.slots) * part, open, completions_per_s };
        self.level = self.controller.update(&demand, &room, self.now);
    }
}
