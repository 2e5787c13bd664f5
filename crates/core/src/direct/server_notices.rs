//! What a backend server asks of this gateway in its answers: to be sent nothing for a while, or nothing more.
//!
//! Other rests are this gateway's own judgement: they say who is chosen first, and whoever rests is still a last
//! resort. What a server asks binds: nothing is sent, even if no other server is left, and no report of anybody ends
//! it. It concerns one life of a server, and this gateway alone.

use crate::clock::Millis;
use crate::direct::advertised_limit::Rate;

/// Longest rest that is kept: one that asks for more has told a wrong number, and would be lost for good. Servers
/// ask for seconds; a new life is back within a minute.
pub const MAX_BACK_OFF: Millis = Millis(600_000);

/// Requests that a server gets at once when its rest is over, until one is answered; doubled with each answer. All
/// callers that were turned away meanwhile come then.
const FIRST_AGAIN: u32 = 1;

/// Requests a second that all gateways together send at first when its rest is over, and the time in which they
/// become twice as many: hundreds of gateways with one request each would be as much a rush as one with hundreds.
const FIRST_PER_S: u64 = 1;
const DOUBLED_IN: Millis = Millis(500);

/// Time after its rest from which a server has all its turns again.
const BACK_AFTER: Millis = Millis(3_000);

/// The time that a server asks for, in seconds or parts of them, bounded; `None` if the text is no time.
pub fn parse_back_off(text: &str) -> Option<Millis> {
    let text = text.trim();
    // Words that stand for numbers, and signs, are none.
    if !text.starts_with(|first: char| first.is_ascii_digit() || first == '.') {
        return None;
    }
    let asked_ms = text.parse::<f64>().ok()? * 1_000.0;
    // Too large a number is infinite; part of a millisecond is a whole one.
    (asked_ms > 0.0).then(|| Millis(asked_ms.min(MAX_BACK_OFF.0 as f64).ceil() as u64))
}

/// What one life of a server has asked.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerNotices {
    leaves: bool,
    backing_off_until: Millis,
    /// Requests that it may have at once, while it comes back from a rest.
    at_once: Option<u32>,
}

impl ServerNotices {
    /// It said that it leaves: for good.
    pub fn set_leaving(&mut self) {
        self.leaves = true;
    }

    /// Whether it said that it leaves.
    pub fn announced_leaving(&self) -> bool {
        self.leaves
    }

    /// It asked for a rest. Of several that overlap the one that ends last binds.
    pub fn back_off(&mut self, span: Millis, now: Millis) {
        self.backing_off_until = self.backing_off_until.max(now + span.min(MAX_BACK_OFF));
        self.at_once = Some(FIRST_AGAIN);
    }

    /// When its rest ends, if it rests.
    pub fn backing_off_until(&self, now: Millis) -> Option<Millis> {
        (self.backing_off_until > now).then_some(self.backing_off_until)
    }

    /// What all gateways together send it, while it comes back from a rest.
    pub fn ramp_up_rate(&self, now: Millis) -> Option<Rate> {
        self.at_once?;
        let since = now.since(self.backing_off_until);
        let doublings = since.0 / DOUBLED_IN.0;
        (since < BACK_AFTER).then(|| Rate { in_1000_s: (FIRST_PER_S * 1_000) << doublings })
    }

    /// It has answered a request that it took.
    pub fn record_answer(&mut self, slots: u32) {
        self.at_once = self.at_once.map(|most| most.saturating_mul(2)).filter(|most| *most < slots);
    }

    /// Whether one more than so many requests are no rush.
    pub fn admits_one_more(&self, requests: u32) -> bool {
        self.at_once.is_none_or(|most| requests < most)
    }
}
