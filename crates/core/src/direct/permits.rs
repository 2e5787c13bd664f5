//! Permits for what is bounded for all gateways together: requests to backend servers that name a limit or come back
//! from a rest, and requests that are tried again after a server crashed.
//!
//! One gateway gives them out, the first of those that live in an order that all know, and the others ask it as they
//! need them: so what is allowed can be used by any one of them, and less than one request a gateway can be allowed.
//! Gateways need not agree on who that is, and need not know who lives. Each has one part in as many as there are
//! gateways, living or not, and hands its part over to the one that it asks, for a short while: whoever gives out
//! permits gives as many parts of the whole as were handed to it. A part that was handed over is handed to nobody else
//! before that while is over. So the sum holds however many give out permits at once, on both sides of a cut too, and
//! whoever is cut off alone has its own part.
//!
//! Chosen over parts that each keeps for itself: a tenth of a request a second is of no use to anyone. Price: while
//! the one that gives out permits changes, some seconds' worth of them is lost; the part of a gateway that is gone for
//! good is, until it is listed no more.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::direct::advertised_limit::Rate;
use crate::direct::crashes::ServerIncarnation;
use crate::direct::fingerprint::Fingerprint;
use crate::direct::members::IncarnationId;

/// How long a part counts with the one that it was handed to.
const HANDED_FOR: Millis = Millis(2_000);

/// How long it is handed to nobody else: word of it may be on its way for as much longer.
const KEPT_FOR: Millis = Millis(2_500);

/// Time between two words of a gateway that asks for nothing: its part stays handed over.
pub const DELEGATION_INTERVAL: Millis = Millis(600);

/// Permits that are kept for one who asks: one, and so many seconds' worth.
const SAVED_S: f64 = 0.25;

/// Time without a question about a subject after which it is forgotten here. A limit that is asked about again then
/// begins with no permit, as all do.
const FORGET: Millis = Millis(60_000);

/// Stands for a gateway, whichever of its processes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct GatewayId(pub u64);

/// Stands for what is bounded, the same at all gateways.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Subject {
    /// Requests to one life of a server.
    Server(ServerIncarnation),
    /// Trials of a request.
    Trial(Fingerprint),
}

/// What is given to one who asks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Grant {
    /// So many requests may be sent.
    pub permits: u32,
    /// If none: when there is one, unless others take it.
    pub retry_in: Millis,
}

/// Permits for one subject that are not given out yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    level: f64,
    at: Millis,
}

impl TokenBucket {
    /// One that holds so many permits now.
    pub(crate) fn with_level(level: f64, now: Millis) -> TokenBucket {
        TokenBucket { level, at: now }
    }

    /// Adds what came since, at this rate, and takes as many whole permits as are wanted or there are.
    pub(crate) fn take(&mut self, per_ms: f64, wanted: u32, now: Millis) -> u32 {
        let most = 1.0 + per_ms * 1_000.0 * SAVED_S;
        self.level = (self.level + per_ms * now.since(self.at).0 as f64).min(most);
        self.at = now;
        let taken = wanted.min(self.level as u32);
        self.level -= f64::from(taken);
        taken
    }

    /// Time until there are so many, if none is taken.
    pub(crate) fn until(&self, permits: f64, per_ms: f64, now: Millis) -> Millis {
        // Without a rate this is infinite, and saturates.
        let lacks_ms = (permits - self.level).max(0.0) / per_ms;
        Millis(lacks_ms.ceil() as u64) - now.since(self.at)
    }
}

/// One gateway's side of it: to whom it has handed its own part, and what it gives out itself.
#[derive(Clone, Debug)]
pub struct Permits {
    handed_to: Option<IncarnationId>,
    /// Until when its own part is kept for whom it was handed to.
    kept_until: Millis,
    /// Whose parts were handed to this gateway, and until when they count.
    parts: HashMap<GatewayId, Millis>,
    buckets: HashMap<Subject, TokenBucket>,
}

impl Permits {
    /// A process that begins: the one before it may have handed its part over.
    pub fn new(now: Millis) -> Permits {
        Permits {
            handed_to: None,
            kept_until: now + KEPT_FOR,
            parts: HashMap::new(),
            buckets: HashMap::new(),
        }
    }

    /// A gateway is asked: whether the own part is handed to it.
    pub fn delegate_share(&mut self, to: IncarnationId, now: Millis) -> bool {
        if self.handed_to != Some(to) && now < self.kept_until {
            return false;
        }
        self.handed_to = Some(to);
        self.kept_until = now + KEPT_FOR;
        true
    }

    /// A gateway, this one too, has handed its part to this one.
    pub fn add_share(&mut self, from: GatewayId, now: Millis) {
        self.parts.insert(from, now + HANDED_FOR);
    }

    /// Gives permits for a server of this limit, as many as are wanted or there are; `first` of them are there at the
    /// first question. `gateways` is how many there are, living or not; `None` if this one cannot know.
    pub fn grant(
        &mut self,
        server: ServerIncarnation,
        limit: Rate,
        wanted: u32,
        first: f64,
        gateways: Option<usize>,
        now: Millis,
    ) -> Grant {
        self.parts.retain(|_, until| *until > now);
        let of = gateways.map_or(f64::INFINITY, |known| known.max(self.parts.len()).max(1) as f64);
        let per_ms = limit.per_ms() * self.parts.len() as f64 / of;
        self.take(Subject::Server(server), per_ms, wanted, first, now)
    }

    /// Lets one trial of a request begin, if none did less than `every` ago by this one. That holds for who gives out
    /// permits alone, whosever parts it was handed: it may be that two are begun, and none has to wait for the parts.
    pub fn grant_trial(&mut self, request: Fingerprint, every: Millis, now: Millis) -> Grant {
        self.take(Subject::Trial(request), 1.0 / every.0.max(1) as f64, 1, 1.0, now)
    }

    fn take(
        &mut self,
        subject: Subject,
        per_ms: f64,
        wanted: u32,
        first: f64,
        now: Millis,
    ) -> Grant {
        self.buckets.retain(|_, bucket| now.since(bucket.at) < FORGET);
        let bucket = self.buckets.entry(subject).or_insert(TokenBucket::with_level(first, now));
        let permits = bucket.take(per_ms, wanted, now);
        Grant { permits, retry_in: bucket.until(1.0, per_ms, now) }
    }
}
