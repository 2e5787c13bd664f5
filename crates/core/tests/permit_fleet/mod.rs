//! A model of gateways before one server that names a limit, in simulated time: requests, answers, questions about
//! permits and news take time on their way; gateways start late, end, begin anew, stand still and are cut off from each
//! other. What reached the server is kept as a plain list, and every window of it is counted.

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

/// Longest way of a message, and time after which a gateway that was not heard of is silent.
const MOST_WAY_MS: u64 = 40;
const SILENT: Millis = Millis(3_000);
const PASS_BY: Millis = Millis(3_000);
const NEWS_EVERY_MS: u64 = 600;

/// The users' rule: from so long after a limit was named, in some window so many times what it allows and some more.
pub const CONTACT: Millis = Millis(3_000);
pub const WINDOW: Millis = Millis(4_000);
pub const TIMES: f64 = 1.5;
pub const MORE: f64 = 5.0;

/// How gateways hold themselves to a limit; as the product does, but where the model itself is tested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kept {
    Together,
    EachTheWhole,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub gateways: usize,
    /// Requests a second that the server takes at first.
    pub limit: f64,
    /// Whether one gateway has all the demand.
    pub at_one: bool,
    /// Whether gateways end, stand still, are cut off, and the limit changes.
    pub troubles: bool,
    pub kept: Kept,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Request { to: usize },
    Arrives { from: usize, life: u64, sent: u64, knew: bool },
    Answers { to: usize, life: u64, limit: Option<u64>, sent: u64 },
    Asks { from: usize, to: usize, life: u64, hands_over: bool, wanted: u32, asked: u64 },
    Gives { to: usize, life: u64, permits: u32, again_ms: u64, asked: u64 },
    GivesUp { by: usize, life: u64, on: usize, asked: u64 },
    Beats { of: usize },
    News { of: usize },
    Trouble,
}

#[derive(Clone, Debug)]
struct Gateway {
    life: u64,
    lives: bool,
    frozen_until: Millis,
    limited: AdvertisedLimit,
    permits: Permits,
    heard: Vec<Millis>,
    passed_by: Vec<Millis>,
    /// When the question was put that is out.
    asked: Option<u64>,
    listed: bool,
}

pub struct Fleet {
    rng: ChaCha8Rng,
    play: Play,
    gateways: Vec<Gateway>,
    /// Side of a cut on which each is; all on one while there is none.
    sides: Vec<u8>,
    limit: Option<f64>,
    /// The limits that were named, and since when.
    named: Vec<(Millis, Option<f64>)>,
    /// When requests came from processes that had heard of the server since it named its limit; one that began or woke
    /// just now and was told nothing is excused until it is.
    arrived: Vec<Millis>,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    counted: u64,
}

impl Fleet {
    pub fn new(seed: u64, play: Play) -> Fleet {
        let gateway = Gateway {
            life: 1,
            lives: true,
            frozen_until: Millis::ZERO,
            limited: AdvertisedLimit::default(),
            permits: Permits::new(Millis::ZERO),
            heard: vec![Millis::ZERO; play.gateways],
            passed_by: vec![Millis::ZERO; play.gateways],
            asked: None,
            listed: true,
        };
        let mut fleet = Fleet {
            rng: ChaCha8Rng::seed_from_u64(seed),
            play,
            gateways: vec![gateway; play.gateways],
            sides: vec![0; play.gateways],
            limit: Some(play.limit),
            named: vec![(Millis::ZERO, Some(play.limit))],
            arrived: Vec::new(),
            events: BinaryHeap::new(),
            counted: 0,
        };
        // Twice as many as it takes, and some.
        let demand_per_s = (2.0 * play.limit).clamp(20.0, 1_000.0);
        let step_us = (1e6 / demand_per_s) as u64;
        for at_us in (0..LENGTH_MS * 1_000).step_by(step_us as usize) {
            let to = if play.at_one { 0 } else { fleet.rng.random_range(0..play.gateways) };
            fleet.at(Millis(at_us / 1_000), Event::Request { to });
        }
        for of in 0..play.gateways {
            let first = fleet.rng.random_range(0..NEWS_EVERY_MS);
            for at in (first..LENGTH_MS).step_by(NEWS_EVERY_MS as usize) {
                fleet.at(Millis(at), Event::News { of });
            }
            for at in (first..LENGTH_MS).step_by(DELEGATION_INTERVAL.0 as usize) {
                fleet.at(Millis(at), Event::Beats { of });
            }
        }
        if play.troubles {
            (5_000..LENGTH_MS).step_by(700).for_each(|at| fleet.at(Millis(at), Event::Trouble));
        }
        fleet
    }

    fn at(&mut self, at: Millis, event: Event) {
        self.counted += 1;
        self.events.push(Reverse((at, self.counted, event)));
    }

    fn later(&mut self, now: Millis, event: Event) {
        let way = Millis(self.rng.random_range(1..=MOST_WAY_MS));
        self.at(now + way, event);
    }

    fn reaches(&self, from: usize, to: usize, now: Millis) -> bool {
        let runs = |gateway: &Gateway| gateway.lives && gateway.frozen_until <= now;
        self.sides[from] == self.sides[to] && runs(&self.gateways[from]) && runs(&self.gateways[to])
    }

    /// Plays it to its end.
    pub fn play(mut self) -> Played {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.step(event, now);
        }
        self.arrived.sort();
        Played { arrived: self.arrived, named: self.named }
    }

    fn step(&mut self, event: Event, now: Millis) {
        match event {
            Event::Request { to } => self.request(to, now),
            Event::Arrives { from, life, sent, knew } => {
                if knew {
                    self.arrived.push(now);
                }
                let limit = self.limit.map(|limit| (limit * 1_000.0) as u64);
                self.later(now, Event::Answers { to: from, life, limit, sent });
            }
            Event::Answers { to, life, limit, sent } if self.is(to, life, now) => {
                let limit = limit.map(|in_1000_s| Rate { in_1000_s });
                let said = LimitAdvertisement { limit, earliest: Millis(sent), latest: now };
                // Who was never told of a limit keeps none.
                if limit.is_some() || self.gateways[to].limited.limit().is_some() {
                    self.gateways[to].limited.apply(said);
                }
            }
            Event::Asks { from, to, life, hands_over, wanted, asked }
                if self.reaches(from, to, now) =>
            {
                self.tell(from, to);
                let given = self.grant(from, to, hands_over, wanted, now);
                let (permits, again_ms) = (given.permits, given.retry_in.0);
                self.later(now, Event::Gives { to: from, life, permits, again_ms, asked });
            }
            Event::Gives { to, life, permits, again_ms, asked } if self.is(to, life, now) => {
                let gateway = &mut self.gateways[to];
                if gateway.asked == Some(asked) {
                    gateway.asked = None;
                    let (asked, again) = (Millis(asked), Millis(again_ms));
                    gateway.limited.apply_grant(permits, again, asked, now);
                    self.request(to, now);
                }
            }
            Event::GivesUp { by, life, on, asked } if self.is(by, life, now) => {
                let gateway = &mut self.gateways[by];
                if gateway.asked == Some(asked) {
                    gateway.asked = None;
                    gateway.passed_by[on] = now + PASS_BY;
                    gateway.limited.apply_grant(0, Millis::ZERO, Millis(asked), now);
                }
            }
            Event::Beats { of }
                if self.runs(of, now) && self.gateways[of].limited.limit().is_some() =>
            {
                self.ask(of, 0, now);
            }
            Event::News { of } if self.runs(of, now) => self.news(of, now),
            Event::Trouble => self.trouble(now),
            _ => {}
        }
    }

    fn runs(&self, one: usize, now: Millis) -> bool {
        self.gateways[one].lives && self.gateways[one].frozen_until <= now
    }

    fn is(&self, one: usize, life: u64, now: Millis) -> bool {
        self.runs(one, now) && self.gateways[one].life == life
    }

    fn request(&mut self, to: usize, now: Millis) {
        if !self.runs(to, now) {
            return;
        }
        let life = self.gateways[to].life;
        match self.gateways[to].limited.take(None, now) {
            Permission::Free | Permission::Until(_) => {
                let named_at = self.named[self.named.len() - 1].0;
                let said = self.gateways[to].limited.advertisement();
                let knew = said.is_some_and(|said| said.latest >= named_at);
                self.later(now, Event::Arrives { from: to, life, sent: now.0, knew });
            }
            Permission::Ask(wanted) => self.ask(to, wanted, now),
            Permission::None => {}
        }
    }

    fn ask(&mut self, from: usize, wanted: u32, now: Millis) {
        let gateway = &self.gateways[from];
        let is_fit = |to: &usize| {
            let heard = now.since(gateway.heard[*to]) < SILENT || *to == from;
            heard && gateway.passed_by[*to] <= now
        };
        let first = match self.play.kept {
            Kept::Together => (0..self.gateways.len()).find(is_fit).unwrap_or(from),
            Kept::EachTheWhole => from,
        };
        let life = gateway.life;
        let of = IncarnationId(first as u64 * 1_000 + self.gateways[first].life);
        let hands_over = self.gateways[from].permits.delegate_share(of, now);
        if wanted > 0 {
            self.gateways[from].asked = Some(now.0);
            let gives_up = Event::GivesUp { by: from, life, on: first, asked: now.0 };
            self.at(now + ASK_TIMEOUT, gives_up);
        }
        if first == from {
            let given = self.grant(from, from, hands_over, wanted, now);
            let (permits, again_ms) = (given.permits, given.retry_in.0);
            if wanted > 0 {
                self.at(now, Event::Gives { to: from, life, permits, again_ms, asked: now.0 });
            }
            return;
        }
        let asks = Event::Asks { from, to: first, life, hands_over, wanted, asked: now.0 };
        self.later(now, asks);
    }

    fn grant(&mut self, from: usize, to: usize, hands: bool, wanted: u32, now: Millis) -> Grant {
        let gateways = match self.play.kept {
            Kept::Together => self.gateways.iter().filter(|one| one.listed).count(),
            Kept::EachTheWhole => 1,
        };
        let limit = self.gateways[to].limited.limit();
        let grantor = &mut self.gateways[to];
        if hands {
            grantor.permits.add_share(GatewayId(from as u64), now);
        }
        match limit {
            Some(limit) => grantor.permits.grant(SERVER, limit, wanted, 0.0, Some(gateways), now),
            None => Grant { permits: wanted, retry_in: Millis::ZERO },
        }
    }

    /// One round of news: who lives, and what is known of the limit, told to one other and back.
    fn news(&mut self, of: usize, now: Millis) {
        let to = self.rng.random_range(0..self.gateways.len());
        for other in 0..self.gateways.len() {
            if self.reaches(other, of, now) && self.rng.random_bool(0.9) {
                self.gateways[of].heard[other] = now;
            }
        }
        if !self.reaches(of, to, now) {
            return;
        }
        self.tell(of, to);
        self.tell(to, of);
    }

    /// What one knows of the limit, told to another, also with each question about permits.
    fn tell(&mut self, from: usize, to: usize) {
        if let Some(said) = self.gateways[from].limited.advertisement() {
            let told = LimitAdvertisement { earliest: said.earliest - TRANSIT_ALLOWANCE, ..said };
            self.gateways[to].limited.apply(told);
        }
    }

    fn trouble(&mut self, now: Millis) {
        let one = self.rng.random_range(0..self.gateways.len());
        match self.rng.random_range(0..8) {
            0 => self.gateways[one].lives = false,
            1 | 2 => self.begin(one, now),
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
                self.named.push((now, self.limit));
            }
            _ => {}
        }
    }

    /// One begins, or begins anew.
    fn begin(&mut self, one: usize, now: Millis) {
        let gateway = &mut self.gateways[one];
        gateway.life += 1;
        gateway.lives = true;
        gateway.frozen_until = Millis::ZERO;
        gateway.limited = AdvertisedLimit::default();
        gateway.permits = Permits::new(now);
        gateway.asked = None;
        // It hears what others know before callers are sent to it.
        let known = (0..self.gateways.len()).find(|other| {
            *other != one
                && self.reaches(*other, one, now)
                && self.gateways[*other].limited.advertisement().is_some()
        });
        if let Some(said) = known.and_then(|other| self.gateways[other].limited.advertisement()) {
            self.gateways[one].limited.apply(said);
        }
    }
}

/// What a run showed.
pub struct Played {
    arrived: Vec<Millis>,
    named: Vec<(Millis, Option<f64>)>,
}

impl Played {
    /// Windows that hold more than the rule allows.
    pub fn broken(&self) -> Vec<String> {
        let ends = self.named[1..].iter().map(|(at, _)| *at).chain([Millis(LENGTH_MS)]);
        let mut broken = Vec::new();
        for ((from, limit), until) in self.named.iter().zip(ends) {
            let Some(limit) = limit else { continue };
            let most = TIMES * limit * WINDOW.0 as f64 / 1_000.0 + MORE;
            let first = self.arrived.partition_point(|at| *at < *from + CONTACT);
            let end = self.arrived.partition_point(|at| *at < until);
            for start in first..end.max(first) {
                let at = self.arrived[start];
                let within = self.arrived[start..end].partition_point(|one| *one < at + WINDOW);
                if within as f64 > most {
                    broken.push(format!("{at}: {within} in a window, {most} allowed"));
                }
            }
        }
        broken
    }

    /// Requests a second that reached the server in the second half.
    pub fn used_per_s(&self) -> f64 {
        let half = self.arrived.partition_point(|at| at.0 < LENGTH_MS / 2);
        (self.arrived.len() - half) as f64 / (LENGTH_MS as f64 / 2_000.0)
    }
}
