//! Turns: the times at which refused callers return and are admitted first.
//! Input: the key of a request and the clock that all gateways share. There is no state.
//! Decides whether a request has a turn, when that is, and whether a caller returns in its turn.
//!
//! The turn follows from the key alone, so any gateway recognises a caller that returns in time,
//! and turns are spread evenly however many callers are refused at once.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::direct::attempts::MAX_RETRY_AFTER;

/// Period in which each key has one turn.
pub const PERIOD: Millis = MAX_RETRY_AFTER;

/// How long a turn lasts. It covers the time to a new connection, and the differences between the
/// clocks of gateways.
pub const WINDOW: Millis = Millis(100);

/// Shortest time after which a refused caller returns.
pub const MIN_RETRY_AFTER: Millis = Millis(300);

/// The time within the window for which callers are told to return.
const AIM: Millis = Millis(20);

/// Period in which the order of admission by hash rotates once. Much longer than a caller waits, so
/// that a request that is repeated at once has the same result.
const ROTATION: Millis = Millis(26_000);

/// The different values that are derived from one key.
#[derive(Clone, Copy)]
enum Draw {
    Position = 1,
    Turn = 2,
    Phase = 3,
    Spread = 4,
}

/// A number from 0 to 1 that follows from the key.
fn fraction(key: u64, draw: Draw) -> f64 {
    let hash = xxh3_64_with_seed(&key.to_le_bytes(), draw as u64);
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// Position of a request in the order of admission, from 0, which is admitted first, to 1.
///
/// Positions fall slowly, so that no request is refused for good.
pub fn position(key: u64, shared: Millis) -> f64 {
    let rotated = (shared.0 % ROTATION.0) as f64 / ROTATION.0 as f64;
    (fraction(key, Draw::Position) - rotated).rem_euclid(1.0)
}

/// Whether a refused request is assigned a turn where this fraction of them is.
pub fn is_assigned(key: u64, turns: f64) -> bool {
    fraction(key, Draw::Turn) < turns
}

/// Time since the key's last turn began.
fn since_turn(key: u64, shared: Millis) -> Millis {
    let phase = (fraction(key, Draw::Phase) * PERIOD.0 as f64) as u64;
    Millis((shared.0 % PERIOD.0 + PERIOD.0 - phase) % PERIOD.0)
}

/// Whether the key's turn is now.
pub fn is_now(key: u64, shared: Millis) -> bool {
    since_turn(key, shared) < WINDOW
}

/// The time until the caller is to return in the key's next turn; `None` if that is longer than the
/// caller waits, `max`.
pub fn until_next(key: u64, shared: Millis, max: Millis) -> Option<Millis> {
    let mut left = PERIOD - since_turn(key, shared) + AIM;
    if left < MIN_RETRY_AFTER {
        left = left + PERIOD;
    }
    (left <= max).then_some(left)
}

/// A time after which a caller without a turn returns, at most `max`, evenly spread and not in the
/// key's turn; `None` if no such time is left.
pub fn outside(key: u64, shared: Millis, max: Millis) -> Option<Millis> {
    let span_ms = max.since(MIN_RETRY_AFTER).0;
    if span_ms == 0 {
        return None;
    }
    let drawn = Millis((fraction(key, Draw::Spread) * span_ms as f64) as u64) + MIN_RETRY_AFTER;
    if !is_now(key, shared + drawn) {
        return Some(drawn);
    }
    let moved = drawn + WINDOW;
    if moved <= max { Some(moved) } else { Some(drawn - WINDOW).filter(|span| span.0 > 0) }
}
