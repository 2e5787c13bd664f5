//! A model of gateways before servers in groups, in simulated time: requests, answers and rows of the list take time on
//! their way, and rows may overtake each other. What was asked is kept a second time, as a plain list, and looked
//! through for each request.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::pool;
use hooktrestle_core::direct::pool::AttemptOutcome;
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

/// Longest way of a request or an answer, and of a row of the list.
const MOST_WAY_MS: u64 = 40;
const MOST_ROW_MS: u64 = 900;

/// The users' rule counts from so long after a server has asked.
const GRACE: Millis = Millis(500);

/// What servers tell for a time, odd values among them.
const TOLD: [&str; 9] = ["3", "0.4", "1.5", "2", "-1", "soon", "1e400", "0", "6"];

const SERVICE: &str = "hints";

/// What gateways hear of what servers ask; all, but where the model itself is tested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hears {
    All,
    NoRest,
    NoLeaving,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub broken: Vec<String>,
    pub rests: usize,
    pub refused: usize,
    pub left: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Request { gateway: usize },
    Arrives { gateway: usize, server: usize, life: u64, sent: u64 },
    Answers { gateway: usize, server: usize, life: u64, says: Says },
    Row { gateway: usize, server: usize, life: u64, slots: u32 },
    Moods,
}

/// An answer, as a gateway reads it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Says {
    refuses: bool,
    /// Index in [`TOLD`].
    rest: Option<usize>,
    leaves: bool,
}

/// A server as it is.
#[derive(Clone, Copy, Debug, Default)]
struct Real {
    life: u64,
    sheds: bool,
    leaves: bool,
}

/// Something that a gateway has heard a server ask.
#[derive(Clone, Copy, Debug)]
struct Heard {
    gateway: usize,
    server: usize,
    life: u64,
    heard: Millis,
    /// `None`: for good.
    until: Option<Millis>,
}

pub struct Fleet {
    rng: ChaCha8Rng,
    hears: Hears,
    pools: Vec<Pool>,
    real: Vec<Real>,
    standing: Vec<bool>,
    /// The life of each server that each gateway has heard of.
    known: Vec<[u64; SERVERS]>,
    heard: Vec<Heard>,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    counted: u64,
    seen: Seen,
}

fn listed(server: usize, life: u64, slots: u32) -> ListedServer {
    ListedServer {
        id: format!("s{server}"),
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + server as u16)),
        data_centre: String::new(),
        slots,
        leaving: false,
        started_unix_ms: Some(life),
    }
}

fn number(pool: &Pool, key: Key<Server>) -> usize {
    pool.server(key).listed.id[1..].parse().expect("a server's number")
}

impl Fleet {
    pub fn new(seed: u64, hears: Hears) -> Fleet {
        let mut pools = vec![Pool::new(pool::Config::default()); GATEWAYS];
        for pool in &mut pools {
            (0..SERVERS).for_each(|server| pool.list(listed(server, 1, 6), 1));
        }
        let mut fleet = Fleet {
            rng: ChaCha8Rng::seed_from_u64(seed),
            hears,
            pools,
            real: vec![Real { life: 1, ..Real::default() }; SERVERS],
            standing: vec![false; SERVERS / GROUP],
            known: vec![[1; SERVERS]; GATEWAYS],
            heard: Vec::new(),
            events: BinaryHeap::new(),
            counted: 0,
            seen: Seen::default(),
        };
        for at in (0..LENGTH_MS).step_by(5) {
            let gateway = fleet.rng.random_range(0..GATEWAYS);
            fleet.at(Millis(at), Event::Request { gateway });
        }
        (0..LENGTH_MS).step_by(500).for_each(|at| fleet.at(Millis(at), Event::Moods));
        fleet
    }

    /// Plays it to its end.
    pub fn play(mut self) -> Seen {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Request { gateway } => self.request(gateway, now),
                Event::Arrives { gateway, server, life, sent } => {
                    self.arrives(gateway, server, life, Millis(sent), now);
                }
                Event::Answers { gateway, server, life, says } => {
                    self.answers(gateway, server, life, says, now);
                }
                Event::Row { gateway, server, life, slots } => {
                    self.pools[gateway].list(listed(server, life, slots), now.0);
                    let known = &mut self.known[gateway][server];
                    *known = life.max(*known);
                }
                Event::Moods => self.change_moods(now),
            }
        }
        self.seen
    }

    fn at(&mut self, at: Millis, event: Event) {
        self.counted += 1;
        self.events.push(Reverse((at, self.counted, event)));
    }

    fn later(&mut self, now: Millis, most: u64, event: Event) {
        let way = Millis(self.rng.random_range(1..=most));
        self.at(now + way, event);
    }

    fn change_moods(&mut self, now: Millis) {
        let all_shed = self.rng.random_bool(0.08);
        for server in 0..SERVERS {
            let real = &mut self.real[server];
            real.sheds = all_shed || self.rng.random_bool(0.3);
            real.leaves |= self.rng.random_bool(0.01);
            if self.rng.random_bool(0.02) {
                *real = Real { life: real.life + 1, ..Real::default() };
            }
            // Rows come late, one before the other, and say nothing of leaving.
            let (life, slots) = (self.real[server].life, self.rng.random_range(4..9));
            for gateway in 0..GATEWAYS {
                self.later(now, MOST_ROW_MS, Event::Row { gateway, server, life, slots });
            }
        }
        for group in 0..self.standing.len() {
            self.standing[group] = self.rng.random_bool(0.1);
            for gateway in 0..GATEWAYS {
                for server in group * GROUP..(group + 1) * GROUP {
                    let pool = &mut self.pools[gateway];
                    let keys = pool.present_of(SERVICE);
                    let key = keys.into_iter().find(|key| number(pool, *key) == server);
                    pool.set_stalled(key.expect("listed"), self.standing[group]);
                }
            }
        }
    }

    /// What binds a gateway towards a server, by the plain list.
    fn bound_until(&self, gateway: usize, server: usize, now: Millis) -> Option<Millis> {
        let life = self.known[gateway][server];
        let bound = self.heard.iter().filter(|one| {
            one.gateway == gateway && one.server == server && one.life == life && one.heard <= now
        });
        let ends = bound.map(|one| one.until.unwrap_or(Millis::MAX));
        ends.filter(|until| *until > now).max()
    }

    fn request(&mut self, gateway: usize, now: Millis) {
        let pool = &mut self.pools[gateway];
        let chosen = pool.choose(SERVICE, &[], 1.0, now, &mut self.rng);
        let told = pool.all_unavailable_until(SERVICE, now);
        let Some(key) = chosen else { return self.refused(gateway, told, now) };
        let server = number(pool, key);
        if !pool.accepts(key, now) || told.is_some() {
            self.broken(now, format!("gateway {gateway} chooses s{server}, and {told:?}"));
        }
        if let Some(until) = self.bound_until(gateway, server, now) {
            self.broken(now, format!("gateway {gateway} sends to s{server}, bound until {until}"));
        }
        let life = self.known[gateway][server];
        self.later(now, MOST_WAY_MS, Event::Arrives { gateway, server, life, sent: now.0 });
    }

    /// Refusals are for want of servers alone, and name the end of the first rest.
    fn refused(&mut self, gateway: usize, told: Option<Millis>, now: Millis) {
        self.seen.refused += 1;
        let mut first = None;
        for server in 0..SERVERS {
            match self.bound_until(gateway, server, now) {
                None if self.standing[server / GROUP] => {}
                None => {
                    self.broken(now, format!("gateway {gateway} refuses, and s{server} is free"))
                }
                Some(Millis::MAX) => {}
                Some(until) => first = Some(first.map_or(until, |first| until.min(first))),
            }
        }
        if told != first {
            self.broken(now, format!("gateway {gateway} tells {told:?}, and it is {first:?}"));
        }
    }

    fn arrives(&mut self, gateway: usize, server: usize, life: u64, sent: Millis, now: Millis) {
        let real = self.real[server];
        // The users' rule, as a server sees it: by when it asked, not by when that was heard.
        let late = self.heard.iter().any(|one| {
            let asked = (one.gateway, one.server, one.life) == (gateway, server, real.life);
            let rests = one.until.is_some_and(|until| sent < until);
            asked && rests && one.heard + GRACE < sent
        });
        if late && life == real.life {
            self.broken(now, format!("s{server} is sent a request by gateway {gateway}"));
        }
        let stands = self.standing[server / GROUP];
        let rest = real.sheds.then(|| self.rng.random_range(0..TOLD.len()));
        let says = Says { refuses: stands || real.sheds, rest, leaves: real.leaves };
        self.later(now, MOST_WAY_MS, Event::Answers { gateway, server, life, says });
    }

    fn answers(&mut self, gateway: usize, server: usize, life: u64, says: Says, now: Millis) {
        let pool = &mut self.pools[gateway];
        let keys = pool.present_of(SERVICE);
        let key = keys.into_iter().find(|key| number(pool, *key) == server).expect("listed");
        if self.known[gateway][server] != life {
            // Of a life that is over; nothing is known by its name any more.
            return;
        }
        pool.ended(
            key,
            if says.refuses { AttemptOutcome::Full } else { AttemptOutcome::Answered },
            now,
        );
        if !says.refuses {
            pool.record_answer(key);
        }
        let heard = Heard { gateway, server, life, heard: now, until: None };
        if let Some(span) = says.rest.and_then(|index| server_notices::parse_back_off(TOLD[index]))
        {
            self.seen.rests += 1;
            self.heard.push(Heard { until: Some(now + span), ..heard });
            if self.hears != Hears::NoRest {
                self.pools[gateway].back_off(key, span, now);
            }
        }
        if says.leaves {
            self.seen.left += 1;
            self.heard.push(heard);
            if self.hears != Hears::NoLeaving {
                self.pools[gateway].mark_leaving(key);
            }
        }
    }

    fn broken(&mut self, now: Millis, what: String) {
        self.seen.broken.push(format!("{now}: {what}"));
    }
}
