//! Simulation of gateways that send requests to servers in groups, for `tests/server_notices.rs`. Requests,
//! answers and rows of the server list have delays, and rows may overtake each other. The received
//! notices are stored a second time, as a plain list, which each request is checked against.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::pool;
use hooktrestle_core::direct::pool::AttemptOutcome;
use hooktrestle_core::direct::pool::Demand;
use hooktrestle_core::direct::pool::ListedServer;
use hooktrestle_core::direct::pool::Pool;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::server_notices;
use hooktrestle_core::util::arena::Key;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const GATEWAYS: usize = 5;
const SERVERS: usize = 12;
const GROUP: usize = 4;
const LENGTH_MS: u64 = 40_000;

/// Maximum delay of a request or an answer, and of a row of the server list.
const MAX_TRANSIT_MS: u64 = 40;
const MAX_ROW_DELAY_MS: u64 = 900;

/// The users' rule counts from this time after a notice of a server.
const GRACE: Millis = Millis(500);

/// Times that servers send with a back-off; some are invalid.
const BACK_OFF_TEXTS: [&str; 9] = ["3", "0.4", "1.5", "2", "-1", "soon", "1e400", "0", "6"];

const SERVICE: &str = "hints";

/// Which notices of servers the gateways apply: all, except in tests of the simulation itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticesApplied {
    All,
    NoBackOff,
    NoLeaving,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub violations: Vec<String>,
    pub back_offs: usize,
    pub refused: usize,
    pub leaving_notices: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Request { gateway: usize },
    Arrives { gateway: usize, server: usize, incarnation: u64, sent: u64 },
    Answers { gateway: usize, server: usize, incarnation: u64, content: AnswerContent },
    Row { gateway: usize, server: usize, incarnation: u64, slots: u32 },
    StateChange,
}

/// Content of an answer, as a gateway reads it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct AnswerContent {
    refuses: bool,
    /// Index in [`BACK_OFF_TEXTS`].
    back_off: Option<usize>,
    leaves: bool,
}

/// Actual state of a server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerState {
    incarnation: u64,
    sheds: bool,
    leaves: bool,
}

/// A notice that a gateway has received from a server.
#[derive(Clone, Copy, Debug)]
struct ReceivedNotice {
    gateway: usize,
    server: usize,
    incarnation: u64,
    received: Millis,
    /// `None`: without end.
    until: Option<Millis>,
}

pub struct Fleet {
    rng: ChaCha8Rng,
    applied: NoticesApplied,
    pools: Vec<Pool>,
    actual: Vec<ServerState>,
    stalled: Vec<bool>,
    /// The incarnation of each server that each gateway knows.
    known: Vec<[u64; SERVERS]>,
    received: Vec<ReceivedNotice>,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    event_count: u64,
    outcome: Outcome,
}

fn listed(server: usize, incarnation: u64, slots: u32) -> ListedServer {
    ListedServer {
        id: format!("s{server}"),
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + server as u16)),
        data_centre: String::new(),
        region: String::new(),
        slots,
        leaving: false,
        cold_for: Millis::ZERO,
        started_unix_ms: Some(incarnation),
    }
}

fn number(pool: &Pool, key: Key<Server>) -> usize {
    pool.server(key).listed.id[1..].parse().expect("a server's number")
}

impl Fleet {
    pub fn new(seed: u64, applied: NoticesApplied) -> Fleet {
        let mut pools = vec![Pool::new(pool::Config::default()); GATEWAYS];
        for pool in &mut pools {
            (0..SERVERS).for_each(|server| pool.list(listed(server, 1, 6), 1));
        }
        let mut fleet = Fleet {
            rng: ChaCha8Rng::seed_from_u64(seed),
            applied,
            pools,
            actual: vec![ServerState { incarnation: 1, ..ServerState::default() }; SERVERS],
            stalled: vec![false; SERVERS / GROUP],
            known: vec![[1; SERVERS]; GATEWAYS],
            received: Vec::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            outcome: Outcome::default(),
        };
        for at in (0..LENGTH_MS).step_by(5) {
            let gateway = fleet.rng.random_range(0..GATEWAYS);
            fleet.at(Millis(at), Event::Request { gateway });
        }
        (0..LENGTH_MS).step_by(500).for_each(|at| fleet.at(Millis(at), Event::StateChange));
        fleet
    }

    /// Runs the simulation to its end.
    pub fn run_to_end(mut self) -> Outcome {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Request { gateway } => self.request(gateway, now),
                Event::Arrives { gateway, server, incarnation, sent } => {
                    self.arrives(gateway, server, incarnation, Millis(sent), now);
                }
                Event::Answers { gateway, server, incarnation, content } => {
                    self.answers(gateway, server, incarnation, content, now);
                }
                Event::Row { gateway, server, incarnation, slots } => {
                    self.pools[gateway].list(listed(server, incarnation, slots), now.0);
                    let known = &mut self.known[gateway][server];
                    *known = incarnation.max(*known);
                }
                Event::StateChange => self.change_states(now),
            }
        }
        self.outcome
    }

    fn at(&mut self, at: Millis, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn later(&mut self, now: Millis, max_delay_ms: u64, event: Event) {
        let transit = Millis(self.rng.random_range(1..=max_delay_ms));
        self.at(now + transit, event);
    }

    fn change_states(&mut self, now: Millis) {
        let all_shed = self.rng.random_bool(0.08);
        for server in 0..SERVERS {
            let actual = &mut self.actual[server];
            actual.sheds = all_shed || self.rng.random_bool(0.3);
            actual.leaves |= self.rng.random_bool(0.01);
            if self.rng.random_bool(0.02) {
                *actual =
                    ServerState { incarnation: actual.incarnation + 1, ..ServerState::default() };
            }
            // Rows arrive late and out of order, and do not show that a server is leaving.
            let (incarnation, slots) =
                (self.actual[server].incarnation, self.rng.random_range(4..9));
            for gateway in 0..GATEWAYS {
                self.later(
                    now,
                    MAX_ROW_DELAY_MS,
                    Event::Row { gateway, server, incarnation, slots },
                );
            }
        }
        for group in 0..self.stalled.len() {
            self.stalled[group] = self.rng.random_bool(0.1);
            for gateway in 0..GATEWAYS {
                for server in group * GROUP..(group + 1) * GROUP {
                    let pool = &mut self.pools[gateway];
                    let keys = pool.present_of(SERVICE);
                    let key = keys.into_iter().find(|key| number(pool, *key) == server);
                    pool.set_stalled(key.expect("listed"), self.stalled[group]);
                }
            }
        }
    }

    /// Until when a gateway may send a server nothing, by the plain list.
    fn notice_ends_at(&self, gateway: usize, server: usize, now: Millis) -> Option<Millis> {
        let incarnation = self.known[gateway][server];
        let notices = self.received.iter().filter(|one| {
            one.gateway == gateway
                && one.server == server
                && one.incarnation == incarnation
                && one.received <= now
        });
        let ends = notices.map(|one| one.until.unwrap_or(Millis::MAX));
        ends.filter(|until| *until > now).max()
    }

    fn request(&mut self, gateway: usize, now: Millis) {
        let pool = &mut self.pools[gateway];
        let chosen = pool.choose(&Demand::for_service(SERVICE), now, &mut self.rng);
        let reported = pool.all_unavailable_until(SERVICE, now);
        let Some(key) = chosen else { return self.refused(gateway, reported, now) };
        let server = number(pool, key);
        if !pool.accepts(key, now) || reported.is_some() {
            self.add_violation(
                now,
                format!(
                    "gateway {gateway} chooses s{server}, with all unavailable until {reported:?}"
                ),
            );
        }
        if let Some(until) = self.notice_ends_at(gateway, server, now) {
            self.add_violation(
                now,
                format!("gateway {gateway} sends to s{server}, whose notice holds until {until}"),
            );
        }
        let incarnation = self.known[gateway][server];
        self.later(
            now,
            MAX_TRANSIT_MS,
            Event::Arrives { gateway, server, incarnation, sent: now.0 },
        );
    }

    /// A request is refused only if no server is left; the refusal gives the end of the first
    /// back-off.
    fn refused(&mut self, gateway: usize, reported: Option<Millis>, now: Millis) {
        self.outcome.refused += 1;
        let mut first = None;
        for server in 0..SERVERS {
            match self.notice_ends_at(gateway, server, now) {
                None if self.stalled[server / GROUP] => {}
                None => self.add_violation(
                    now,
                    format!("gateway {gateway} refuses, although s{server} is available"),
                ),
                Some(Millis::MAX) => {}
                Some(until) => first = Some(first.map_or(until, |first| until.min(first))),
            }
        }
        if reported != first {
            self.add_violation(
                now,
                format!("gateway {gateway} reports {reported:?} instead of {first:?}"),
            );
        }
    }

    fn arrives(
        &mut self,
        gateway: usize,
        server: usize,
        incarnation: u64,
        sent: Millis,
        now: Millis,
    ) {
        let actual = self.actual[server];
        // The users' rule as the server observes it: by the time of its notice, not of its receipt.
        let late = self.received.iter().any(|one| {
            let is_from_server =
                (one.gateway, one.server, one.incarnation) == (gateway, server, actual.incarnation);
            let is_backing_off = one.until.is_some_and(|until| sent < until);
            is_from_server && is_backing_off && one.received + GRACE < sent
        });
        if late && incarnation == actual.incarnation {
            self.add_violation(now, format!("s{server} is sent a request by gateway {gateway}"));
        }
        let is_stalled = self.stalled[server / GROUP];
        let back_off = actual.sheds.then(|| self.rng.random_range(0..BACK_OFF_TEXTS.len()));
        let content =
            AnswerContent { refuses: is_stalled || actual.sheds, back_off, leaves: actual.leaves };
        self.later(now, MAX_TRANSIT_MS, Event::Answers { gateway, server, incarnation, content });
    }

    fn answers(
        &mut self,
        gateway: usize,
        server: usize,
        incarnation: u64,
        content: AnswerContent,
        now: Millis,
    ) {
        let pool = &mut self.pools[gateway];
        let keys = pool.present_of(SERVICE);
        let key = keys.into_iter().find(|key| number(pool, *key) == server).expect("listed");
        if self.known[gateway][server] != incarnation {
            // From a previous incarnation, which the gateway no longer knows.
            return;
        }
        pool.ended(
            key,
            if content.refuses { AttemptOutcome::Full } else { AttemptOutcome::Answered },
            now,
        );
        if !content.refuses {
            pool.record_answer(key);
        }
        let received = ReceivedNotice { gateway, server, incarnation, received: now, until: None };
        if let Some(span) =
            content.back_off.and_then(|index| server_notices::parse_back_off(BACK_OFF_TEXTS[index]))
        {
            self.outcome.back_offs += 1;
            self.received.push(ReceivedNotice { until: Some(now + span), ..received });
            if self.applied != NoticesApplied::NoBackOff {
                self.pools[gateway].back_off(key, span, now);
            }
        }
        if content.leaves {
            self.outcome.leaving_notices += 1;
            self.received.push(received);
            if self.applied != NoticesApplied::NoLeaving {
                self.pools[gateway].mark_leaving(key);
            }
        }
    }

    fn add_violation(&mut self, now: Millis, what: String) {
        self.outcome.violations.push(format!("{now}: {what}"));
    }
}
