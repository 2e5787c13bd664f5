//! Notices of one backend server to one gateway: a back-off for some time, or that it is leaving.
//! Input: the notices and the answers of the server. State: the current back-off and the ramp-up
//! after it. Decides whether the server is sent requests, and how many while it ramps up.
//!
//! A cooldown is this gateway's own decision: it affects which server is preferred, and a server in
//! cooldown is still a last resort. A notice of the server is binding: the server is sent nothing,
//! even if no other server is left, and no report ends this. A notice applies to one incarnation of
//! the server, and to this gateway only.

use crate::clock::Millis;
use crate::direct::advertised_limit::Rate;

/// Maximum back-off. A server that asks for more sent a wrong number, and would otherwise be lost
/// for good. Servers ask for seconds, and a new incarnation is back within a minute.
pub const MAX_BACK_OFF: Millis = Millis(600_000);

/// Number of requests that a server may have in flight after its back-off until it answers one;
/// doubled with each answer. All callers that were refused meanwhile retry at that time.
const RAMP_UP_FIRST_REQUESTS: u32 = 1;

/// Requests per second that all gateways together send at first after a back-off, and the time in
/// which this rate doubles. One request from each of hundreds of gateways would be as large a burst
/// as hundreds from one gateway.
const RAMP_UP_FIRST_PER_S: u64 = 1;
const RAMP_UP_DOUBLING_TIME: Millis = Millis(500);

/// Time after the back-off from which a server gets its full share of requests again.
const RAMP_UP_DURATION: Millis = Millis(3_000);

/// Parses the back-off that a server asks for, in seconds and fractions of them, and bounds it.
/// `None` if the text is no such time.
pub fn parse_back_off(text: &str) -> Option<Millis> {
    let text = text.trim();
    // Signs, and words that parse as a number, are not accepted.
    if !text.starts_with(|first: char| first.is_ascii_digit() || first == '.') {
        return None;
    }
    let span_ms = text.parse::<f64>().ok()? * 1_000.0;
    // A number that is too large parses as infinite; a fraction of a millisecond is rounded up.
    (span_ms > 0.0).then(|| Millis(span_ms.min(MAX_BACK_OFF.0 as f64).ceil() as u64))
}

/// Notices of one incarnation of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerNotices {
    is_leaving: bool,
    backing_off_until: Millis,
    /// Number of requests that the server may have in flight, during the ramp-up after a back-off.
    max_in_flight: Option<u32>,
}

impl ServerNotices {
    /// Records that the server announced that it is leaving. This is final.
    pub fn set_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Whether the server announced that it is leaving.
    pub fn announced_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Records a back-off that the server asked for. Of several that overlap, the last one to end
    /// holds.
    pub fn back_off(&mut self, span: Millis, now: Millis) {
        self.backing_off_until = self.backing_off_until.max(now + span.min(MAX_BACK_OFF));
        self.max_in_flight = Some(RAMP_UP_FIRST_REQUESTS);
    }

    /// End of the current back-off, if there is one.
    pub fn backing_off_until(&self, now: Millis) -> Option<Millis> {
        (self.backing_off_until > now).then_some(self.backing_off_until)
    }

    /// Rate at which all gateways together send requests, during the ramp-up after a back-off.
    pub fn ramp_up_rate(&self, now: Millis) -> Option<Rate> {
        self.max_in_flight?;
        let since = now.since(self.backing_off_until);
        let doublings = since.0 / RAMP_UP_DOUBLING_TIME.0;
        (since < RAMP_UP_DURATION)
            .then(|| Rate { in_1000_s: (RAMP_UP_FIRST_PER_S * 1_000) << doublings })
    }

    /// Records that the server accepted and answered a request.
    pub fn record_answer(&mut self, slots: u32) {
        self.max_in_flight =
            self.max_in_flight.map(|limit| limit.saturating_mul(2)).filter(|limit| *limit < slots);
    }

    /// Whether the ramp-up admits one more request than this number.
    pub fn admits_one_more(&self, requests: u32) -> bool {
        self.max_in_flight.is_none_or(|limit| requests < limit)
    }
}
