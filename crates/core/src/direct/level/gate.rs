//! The admission level at one gateway.
//! Input: levels with the shared clock, and requests. State: the level in force, and recent turns.
//! Decides whether a request is admitted, in its turn or not, or refused with a retry time.
//!
//! All gateways use the same hash of a request and the same clock, so a caller gains nothing by
//! repeating its request at another gateway.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::clock::Millis;
use crate::direct::level::Level;
use crate::direct::level::turns;
use crate::direct::room::AccountId;

/// Streams that a gateway admits while no level is in force, relative to its equal part of the
/// slots, if the last level refused requests: some of the gateways may lack the level for long.
const CLOSED_PART_FACTOR: f64 = 1.25;

/// The same if the last level admitted all requests: deviations above the equal part. The number of
/// a gateway's streams varies by the square root of their mean.
const OPEN_PART_DEVIATIONS: f64 = 2.0;

/// Fraction of the time left for which callers wait before they retry.
const WAIT_FRACTION: f64 = 1.0 / 3.0;

/// Difference above which a notice of another clock replaces the known one.
const MAX_CLOCK_STEP: Millis = Millis(1_000);

/// A request to the gate.
#[derive(Clone, Copy, Debug)]
pub struct GateRequest {
    /// Priority; 0 is the most urgent.
    pub urgency: u8,
    /// The client account.
    pub account: AccountId,
    /// Hash of all that identifies the request and its caller, and is the same for each retry.
    pub key: u64,
    /// Streams of the service that this gateway has open.
    pub open_streams: u32,
    /// Time until the deadline of the request.
    pub left: Millis,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is sent.
    Admitted,
    /// It is sent, because its caller returned in its turn.
    AdmittedInTurn,
    /// It is not sent.
    Refused(Return),
}

/// When the caller of a refused request is to return.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Return {
    /// After this time, in a turn that is kept for it.
    InTurn(Millis),
    /// After this time at the earliest, without a turn.
    NotBefore(Millis),
    /// There is no use in a retry within the time that the caller waits.
    Never,
}

/// The level in force at one gateway.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    level: Option<Level>,
    in_force_until: Millis,
    /// The shared clock less the own one.
    offset_ms: Option<i64>,
    /// Fractions of turns that were assigned within a period.
    assigned: VecDeque<(Millis, f64)>,
    /// Keys that were admitted in their turn, with the end of the turn.
    used: BTreeMap<u64, Millis>,
}

impl Gate {
    /// No level yet.
    pub fn new() -> Gate {
        Gate::default()
    }

    /// Puts a level in force for `lifetime`, which was sent at `shared_clock`.
    pub fn apply(&mut self, level: Level, shared_clock: Millis, lifetime: Millis, now: Millis) {
        let sent_ms = shared_clock.0 as i64 - now.0 as i64;
        // A message that took longer shows an earlier clock.
        let is_delayed = |known: i64| known >= sent_ms && known - sent_ms < MAX_CLOCK_STEP.0 as i64;
        self.offset_ms = Some(self.offset_ms.filter(|known| is_delayed(*known)).unwrap_or(sent_ms));
        let oldest = turns::PERIOD + turns::MIN_RETRY_AFTER;
        while self.assigned.front().is_some_and(|(at, _)| now.since(*at) > oldest) {
            self.assigned.pop_front();
        }
        if level.turns > 0.0 {
            self.assigned.push_back((now, level.turns));
        }
        self.level = Some(level);
        self.in_force_until = now + lifetime;
    }

    /// The level in force, if there is one.
    pub fn level(&self, now: Millis) -> Option<&Level> {
        self.level.as_ref().filter(|_| now <= self.in_force_until)
    }

    /// Decides on a request. `own_part` is the gateway's equal part of the slots, which bounds its
    /// streams while no level is in force.
    pub fn decide(&mut self, request: &GateRequest, own_part: f64, now: Millis) -> Verdict {
        let shared = self.shared(now);
        // An account above its share gets fewer turns too, or its refused requests would get most.
        let fraction = self.level(now).map(|level| {
            let turns = level.turns * level.relative(request.account);
            (level.fraction(request.urgency, request.account), turns)
        });
        let position = turns::position(request.key, shared);
        let (is_admitted, turns) = match fraction {
            Some((fraction, turns)) => (position < fraction, turns),
            None => (f64::from(request.open_streams) + position < self.own_bound(own_part), 0.0),
        };
        if !is_admitted && self.take_turn(request.key, shared, now) {
            return Verdict::AdmittedInTurn;
        }
        if is_admitted {
            return Verdict::Admitted;
        }
        let max = Millis((request.left.0 as f64 * WAIT_FRACTION) as u64).min(turns::PERIOD);
        let turn = turns::is_assigned(request.key, turns)
            .then(|| turns::until_next(request.key, shared, max))
            .flatten();
        Verdict::Refused(match turn {
            Some(after) => Return::InTurn(after),
            None => {
                turns::outside(request.key, shared, max).map_or(Return::Never, Return::NotBefore)
            }
        })
    }

    /// Bound of the gateway's streams while no level is in force.
    fn own_bound(&self, own_part: f64) -> f64 {
        if self.level.as_ref().is_some_and(|last| *last != Level::open()) {
            own_part * CLOSED_PART_FACTOR
        } else {
            own_part + OPEN_PART_DEVIATIONS * own_part.sqrt()
        }
    }

    /// Takes the key's turn, if it is now and was not taken.
    fn take_turn(&mut self, key: u64, shared: Millis, now: Millis) -> bool {
        let assigned = self.assigned.iter().map(|(_, turns)| *turns).fold(0.0, f64::max);
        if !turns::is_assigned(key, assigned) || !turns::is_now(key, shared) {
            return false;
        }
        self.used.retain(|_, ends_at| *ends_at > now);
        self.used.insert(key, now + turns::WINDOW).is_none()
    }

    fn shared(&self, now: Millis) -> Millis {
        Millis(now.0.saturating_add_signed(self.offset_ms.unwrap_or(0)))
    }
}
