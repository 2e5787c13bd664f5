//! Simulation of gateways that send requests to one server with a limit, for
//! `tests/advertised_limits.rs`. Requests, answers, requests for permits and gossip have delays. Gateways
//! start late, end, restart, are suspended and are partitioned from each other. The requests that
//! reached the server are stored as a plain list, and counted in every window of it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::advertised_limit::ASK_TIMEOUT;
use hooktrestle_core::direct::advertised_limit::AdvertisedLimit;
use hooktrestle_core::direct::advertised_limit::LimitAdvertisement;
use hooktrestle_core::direct::advertised_limit::Permission;
use hooktrestle_core::direct::advertised_limit::Rate;
use hooktrestle_core::direct::advertised_limit::TRANSIT_ALLOWANCE;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use hooktrestle_core::direct::members::IncarnationId;
use hooktrestle_core::direct::permits::DELEGATION_INTERVAL;
use hooktrestle_core::direct::permits::GatewayId;
use hooktrestle_core::direct::permits::Grant;
use hooktrestle_core::direct::permits::Permits;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SERVER: ServerIncarnation = ServerIncarnation(7);
const LENGTH_MS: u64 = 60_000;

/// Maximum delay of a message, and time without a message after which a gateway is suspected.
const MAX_TRANSIT_MS: u64 = 40;
const SUSPECTED_AFTER: Millis = Millis(3_000);
const SKIPPED_FOR: Millis = Millis(3_000);
const GOSSIP_INTERVAL_MS: u64 = 600;

/// The users' rule: from [`CONTACT_TIME`] after a limit was advertised, each [`WINDOW`] has at most
/// [`ALLOWED_FACTOR`] times the requests that the limit allows, and [`ALLOWED_EXTRA`] more.
pub const CONTACT_TIME: Millis = Millis(3_000);
pub const WINDOW: Millis = Millis(4_000);
pub const ALLOWED_FACTOR: f64 = 1.5;
pub const ALLOWED_EXTRA: f64 = 5.0;

/// How gateways share a limit: as the product does, except in tests of the simulation itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sharing {
    Together,
    EachTheWhole,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub gateways: usize,
    /// Limit of the server at first, in requests per second.
    pub limit: f64,
    /// Whether one gateway gets all requests.
    pub demand_at_one: bool,
    /// Whether gateways end, are suspended and are partitioned, and the limit changes.
    pub disturbances: bool,
    pub sharing: Sharing,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Request { to: usize },
    Arrives { from: usize, incarnation: u64, sent: u64, was_informed: bool },
    Answers { to: usize, incarnation: u64, limit: Option<u64>, sent: u64 },
    Asks { from: usize, to: usize, incarnation: u64, delegates: bool, wanted: u32, requested: u64 },
    Grants { to: usize, incarnation: u64, permits: u32, retry_ms: u64, requested: u64 },
    TimesOut { by: usize, incarnation: u64, on: usize, requested: u64 },
    Renews { of: usize },
    Gossip { of: usize },
    Disturb,
}

#[derive(Clone, Debug)]
struct Gateway {
    incarnation: u64,
    is_alive: bool,
    frozen_until: Millis,
    limited: AdvertisedLimit,
    permits: Permits,
    last_received: Vec<Millis>,
    skipped_until: Vec<Millis>,
    /// Time of the request for permits that is awaiting an answer.
    requested: Option<u64>,
    listed: bool,
}

fn incarnation_id(gateway: usize, incarnation: u64) -> IncarnationId {
    IncarnationId(gateway as u64 * 1_000 + incarnation)
}

fn new_permits(gateway: usize, incarnation: u64, now: Millis) -> Permits {
    Permits::new(GatewayId(gateway as u64), incarnation_id(gateway, incarnation), now)
}

pub struct Fleet {
    rng: ChaCha8Rng,
    setup: Setup,
    gateways: Vec<Gateway>,
    /// Side of a partition on which each gateway is; all are on one side if there is no partition.
    sides: Vec<u8>,
    limit: Option<f64>,
    /// The limits that were advertised, and since when.
    advertised: Vec<(Millis, Option<f64>)>,
    /// Arrival times of requests from processes that had received an advertisement since the server
    /// advertised its limit. A process that just started or resumed, and has received nothing yet,
    /// is not counted.
    arrived: Vec<Millis>,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    event_count: u64,
}

impl Fleet {
    pub fn new(seed: u64, setup: Setup) -> Fleet {
        let gateway = |number: usize| Gateway {
            incarnation: 1,
            is_alive: true,
            frozen_until: Millis::ZERO,
            limited: AdvertisedLimit::default(),
            permits: new_permits(number, 1, Millis::ZERO),
            last_received: vec![Millis::ZERO; setup.gateways],
            skipped_until: vec![Millis::ZERO; setup.gateways],
            requested: None,
            listed: true,
        };
        let mut fleet = Fleet {
            rng: ChaCha8Rng::seed_from_u64(seed),
            setup,
            gateways: (0..setup.gateways).map(gateway).collect(),
            sides: vec![0; setup.gateways],
            limit: Some(setup.limit),
            advertised: vec![(Millis::ZERO, Some(setup.limit))],
            arrived: Vec::new(),
            events: BinaryHeap::new(),
            event_count: 0,
        };
        // Twice the limit, and at least 20 per second.
        let demand_per_s = (2.0 * setup.limit).clamp(20.0, 1_000.0);
        let step_us = (1e6 / demand_per_s) as u64;
        for at_us in (0..LENGTH_MS * 1_000).step_by(step_us as usize) {
            let to =
                if setup.demand_at_one { 0 } else { fleet.rng.random_range(0..setup.gateways) };
            fleet.at(Millis(at_us / 1_000), Event::Request { to });
        }
        for of in 0..setup.gateways {
            let first = fleet.rng.random_range(0..GOSSIP_INTERVAL_MS);
            for at in (first..LENGTH_MS).step_by(GOSSIP_INTERVAL_MS as usize) {
                fleet.at(Millis(at), Event::Gossip { of });
            }
            for at in (first..LENGTH_MS).step_by(DELEGATION_INTERVAL.0 as usize) {
                fleet.at(Millis(at), Event::Renews { of });
            }
        }
        if setup.disturbances {
            (5_000..LENGTH_MS).step_by(700).for_each(|at| fleet.at(Millis(at), Event::Disturb));
        }
        fleet
    }

    fn at(&mut self, at: Millis, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn later(&mut self, now: Millis, event: Event) {
        let transit = Millis(self.rng.random_range(1..=MAX_TRANSIT_MS));
        self.at(now + transit, event);
    }

    fn reaches(&self, from: usize, to: usize, now: Millis) -> bool {
        let runs = |gateway: &Gateway| gateway.is_alive && gateway.frozen_until <= now;
        self.sides[from] == self.sides[to] && runs(&self.gateways[from]) && runs(&self.gateways[to])
    }

    /// Runs the simulation to its end.
    pub fn run_to_end(mut self) -> Outcome {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.step(event, now);
        }
        self.arrived.sort();
        Outcome { arrived: self.arrived, advertised: self.advertised }
    }

    fn step(&mut self, event: Event, now: Millis) {
        match event {
            Event::Request { to } => self.request(to, now),
            Event::Arrives { from, incarnation, sent, was_informed } => {
                if was_informed {
                    self.arrived.push(now);
                }
                let limit = self.limit.map(|limit| (limit * 1_000.0) as u64);
                self.later(now, Event::Answers { to: from, incarnation, limit, sent });
            }
            Event::Answers { to, incarnation, limit, sent }
                if self.is_same_process(to, incarnation, now) =>
            {
                let limit = limit.map(|in_1000_s| Rate { in_1000_s });
                let advertisement =
                    LimitAdvertisement { limit, earliest: Millis(sent), latest: now };
                // A gateway that never received a limit stores none.
                if limit.is_some() || self.gateways[to].limited.limit().is_some() {
                    self.gateways[to].limited.apply(advertisement);
                }
            }
            Event::Asks { from, to, incarnation, delegates, wanted, requested }
                if self.reaches(from, to, now) =>
            {
                self.send_limit(from, to);
                let granted = self.grant(from, to, delegates, wanted, now);
                let (permits, retry_ms) = (granted.permits, granted.retry_in.0);
                self.later(
                    now,
                    Event::Grants { to: from, incarnation, permits, retry_ms, requested },
                );
            }
            Event::Grants { to, incarnation, permits, retry_ms, requested }
                if self.is_same_process(to, incarnation, now) =>
            {
                let gateway = &mut self.gateways[to];
                if gateway.requested == Some(requested) {
                    gateway.requested = None;
                    let (requested_at, delay) = (Millis(requested), Millis(retry_ms));
                    gateway.limited.apply_grant(permits, delay, requested_at, now);
                    self.request(to, now);
                }
            }
            Event::TimesOut { by, incarnation, on, requested }
                if self.is_same_process(by, incarnation, now) =>
            {
                let gateway = &mut self.gateways[by];
                if gateway.requested == Some(requested) {
                    gateway.requested = None;
                    gateway.skipped_until[on] = now + SKIPPED_FOR;
                    gateway.limited.apply_grant(0, Millis::ZERO, Millis(requested), now);
                }
            }
            Event::Renews { of }
                if self.runs(of, now) && self.gateways[of].limited.limit().is_some() =>
            {
                self.ask(of, 0, now);
            }
            Event::Gossip { of } if self.runs(of, now) => self.gossip(of, now),
            Event::Disturb => self.disturb(now),
            _ => {}
        }
    }

    fn runs(&self, one: usize, now: Millis) -> bool {
        self.gateways[one].is_alive && self.gateways[one].frozen_until <= now
    }

    fn is_same_process(&self, one: usize, incarnation: u64, now: Millis) -> bool {
        self.runs(one, now) && self.gateways[one].incarnation == incarnation
    }

    fn request(&mut self, to: usize, now: Millis) {
        if !self.runs(to, now) {
            return;
        }
        let incarnation = self.gateways[to].incarnation;
        match self.gateways[to].limited.take(None, now) {
            Permission::Free | Permission::Until(_) => {
                let advertised_at = self.advertised[self.advertised.len() - 1].0;
                let advertisement = self.gateways[to].limited.advertisement();
                let was_informed = advertisement
                    .is_some_and(|advertisement| advertisement.latest >= advertised_at);
                self.later(
                    now,
                    Event::Arrives { from: to, incarnation, sent: now.0, was_informed },
                );
            }
            Permission::Ask(wanted) => self.ask(to, wanted, now),
            Permission::None => {}
        }
    }

    fn ask(&mut self, from: usize, wanted: u32, now: Millis) {
        let gateway = &self.gateways[from];
        let is_fit = |to: &usize| {
            let last_received =
                now.since(gateway.last_received[*to]) < SUSPECTED_AFTER || *to == from;
            last_received && gateway.skipped_until[*to] <= now
        };
        let first = match self.setup.sharing {
            Sharing::Together => (0..self.gateways.len()).find(is_fit).unwrap_or(from),
            Sharing::EachTheWhole => from,
        };
        let incarnation = gateway.incarnation;
        let of = incarnation_id(first, self.gateways[first].incarnation);
        let delegates = self.gateways[from].permits.delegate_share(of, now);
        if wanted > 0 {
            self.gateways[from].requested = Some(now.0);
            let times_out = Event::TimesOut { by: from, incarnation, on: first, requested: now.0 };
            self.at(now + ASK_TIMEOUT, times_out);
        }
        if first == from {
            let granted = self.grant(from, from, delegates, wanted, now);
            let (permits, retry_ms) = (granted.permits, granted.retry_in.0);
            if wanted > 0 {
                self.at(
                    now,
                    Event::Grants { to: from, incarnation, permits, retry_ms, requested: now.0 },
                );
            }
            return;
        }
        let asks =
            Event::Asks { from, to: first, incarnation, delegates, wanted, requested: now.0 };
        self.later(now, asks);
    }

    fn grant(
        &mut self,
        from: usize,
        to: usize,
        with_share: bool,
        wanted: u32,
        now: Millis,
    ) -> Grant {
        let gateways = match self.setup.sharing {
            Sharing::Together => self.gateways.iter().filter(|one| one.listed).count(),
            Sharing::EachTheWhole => 1,
        };
        let limit = self.gateways[to].limited.limit();
        let grantor = &mut self.gateways[to];
        if with_share {
            grantor.permits.add_share(GatewayId(from as u64), now);
        }
        match limit {
            Some(limit) => grantor.permits.grant(SERVER, limit, wanted, 0.0, Some(gateways), now),
            None => Grant { permits: wanted, retry_in: Millis::ZERO },
        }
    }

    /// One gossip round with another gateway: liveness, and what both know of the limit.
    fn gossip(&mut self, of: usize, now: Millis) {
        let to = self.rng.random_range(0..self.gateways.len());
        for other in 0..self.gateways.len() {
            if self.reaches(other, of, now) && self.rng.random_bool(0.9) {
                self.gateways[of].last_received[other] = now;
            }
        }
        if !self.reaches(of, to, now) {
            return;
        }
        self.send_limit(of, to);
        self.send_limit(to, of);
    }

    /// Sends what a gateway knows of the limit to another; also done with each request for permits.
    fn send_limit(&mut self, from: usize, to: usize) {
        if let Some(advertisement) = self.gateways[from].limited.advertisement() {
            let received = LimitAdvertisement {
                earliest: advertisement.earliest - TRANSIT_ALLOWANCE,
                ..advertisement
            };
            self.gateways[to].limited.apply(received);
        }
    }

    fn disturb(&mut self, now: Millis) {
        let one = self.rng.random_range(0..self.gateways.len());
        match self.rng.random_range(0..8) {
            0 => self.gateways[one].is_alive = false,
            1 | 2 => self.start_process(one, now),
            3 => self.gateways[one].frozen_until = now + Millis(self.rng.random_range(100..6_000)),
            4 => {
                for side in &mut self.sides {
                    *side = self.rng.random_range(0..2);
                }
            }
            5 => self.sides[one] = 9,
            6 => self.sides.fill(0),
            _ if self.rng.random_bool(0.2) => {
                let limits = [None, Some(0.0), Some(0.4), Some(1.3), Some(12.7), Some(60.0)];
                self.limit = limits[self.rng.random_range(0..limits.len())];
                self.advertised.push((now, self.limit));
            }
            _ => {}
        }
    }

    /// A gateway starts, or restarts.
    fn start_process(&mut self, one: usize, now: Millis) {
        let gateway = &mut self.gateways[one];
        gateway.incarnation += 1;
        gateway.is_alive = true;
        gateway.frozen_until = Millis::ZERO;
        gateway.limited = AdvertisedLimit::default();
        gateway.permits = new_permits(one, gateway.incarnation, now);
        gateway.requested = None;
        // It receives what others know before it gets requests.
        let known = (0..self.gateways.len()).find(|other| {
            *other != one
                && self.reaches(*other, one, now)
                && self.gateways[*other].limited.advertisement().is_some()
        });
        if let Some(advertisement) =
            known.and_then(|other| self.gateways[other].limited.advertisement())
        {
            self.gateways[one].limited.apply(advertisement);
        }
    }
}

/// Result of a run.
pub struct Outcome {
    arrived: Vec<Millis>,
    advertised: Vec<(Millis, Option<f64>)>,
}

impl Outcome {
    /// Windows with more requests than the rule allows.
    pub fn violations(&self) -> Vec<String> {
        let ends = self.advertised[1..].iter().map(|(at, _)| *at).chain([Millis(LENGTH_MS)]);
        let mut violations = Vec::new();
        for ((from, limit), until) in self.advertised.iter().zip(ends) {
            let Some(limit) = limit else { continue };
            let allowed = ALLOWED_FACTOR * limit * WINDOW.0 as f64 / 1_000.0 + ALLOWED_EXTRA;
            let first = self.arrived.partition_point(|at| *at < *from + CONTACT_TIME);
            let end = self.arrived.partition_point(|at| *at < until);
            for start in first..end.max(first) {
                let at = self.arrived[start];
                let within = self.arrived[start..end].partition_point(|one| *one < at + WINDOW);
                if within as f64 > allowed {
                    violations.push(format!("{at}: {within} in a window, {allowed} allowed"));
                }
            }
        }
        violations
    }

    /// Requests per second that reached the server in the second half.
    pub fn used_per_s(&self) -> f64 {
        let half = self.arrived.partition_point(|at| at.0 < LENGTH_MS / 2);
        (self.arrived.len() - half) as f64 / (LENGTH_MS as f64 / 2_000.0)
    }
}
