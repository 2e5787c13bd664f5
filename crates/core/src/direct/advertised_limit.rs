//! Limit of one backend server: how many requests per second it takes from all gateways.
//! Input: the limits in the server's answers, its warm-up after a start, and granted permits.
//! State: the last advertisement, the warm-up and the permits held. Decides whether a request may be sent, and when permits are requested.
//!
//! The last advertisement of the server holds, but answers can overtake each other: a server made
//! an advertisement at some time between the sending of the request and the arrival of the answer.
//! A lower limit applies at once, unless the known one is certainly newer. A higher limit, or the
//! end of the limit, applies only if it is certainly newer than the known one.
//!
//! No request is sent to a server with a limit without a permit, which one gateway grants for all:
//! see [`permits`](crate::direct::permits). A permit is valid for a moment only, so permits do not
//! accumulate.

use crate::clock::Millis;

/// Maximum limit that is represented, in requests per second: more than any server takes.
const MAX_PER_S: f64 = 1e9;

/// Minimum rate at which a server is sent requests, even if its limit is lower: a server that gets
/// no requests could not advertise that it takes them again.
const MIN_RATE: Rate = Rate { in_1000_s: 100 };

/// How long a permit is valid after it was requested: a request may have to wait for a connection.
pub const PERMIT_VALIDITY: Millis = Millis(500);

/// Maximum wait for the answer to a request for permits.
pub const ASK_TIMEOUT: Millis = Millis(100);

/// Minimum and maximum time until permits are requested again if none were granted: the answer may
/// differ by then.
const ASK_RETRY_BOUNDS: (Millis, Millis) = (Millis(20), Millis(500));

/// Maximum time to the next permit that is reported to callers: a longer estimate only shows that
/// the wait is long.
const MAX_REPORTED_WAIT: Millis = Millis(10_000);

/// Time for which a gateway requests permits in advance, by the number of requests that it sent
/// recently. One message then serves several requests.
const PREFETCH_S: f64 = 0.25;

/// Decay time of the number of recently sent requests.
const RECENT_DECAY_MS: f64 = 1_000.0;

/// Maximum time in transit of an advertisement from another gateway, beyond the ages that it
/// carries.
pub const TRANSIT_ALLOWANCE: Millis = Millis(500);

/// A rate of requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rate {
    /// Requests in 1,000 seconds.
    pub in_1000_s: u64,
}

impl Rate {
    /// Parses a rate that a server advertises: requests per second, as a decimal number. `None` if
    /// the text is no such number.
    pub fn from_text(text: &str) -> Option<Rate> {
        let text = text.trim();
        // Signs, and words that parse as a number, are not accepted.
        if !text.starts_with(|first: char| first.is_ascii_digit() || first == '.') {
            return None;
        }
        Some(Rate::per_s(text.parse::<f64>().ok()?))
    }

    /// A rate of requests per second; rounded down, and a negative one is 0.
    pub fn per_s(per_s: f64) -> Rate {
        Rate { in_1000_s: (per_s.min(MAX_PER_S) * 1_000.0) as u64 }
    }

    /// Requests per millisecond that are sent to a server with this limit.
    pub fn per_ms(self) -> f64 {
        self.max(MIN_RATE).in_1000_s as f64 / 1e6
    }
}

/// A limit that a server advertised, and when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitAdvertisement {
    /// `None`: the server no longer has a limit.
    pub limit: Option<Rate>,
    /// Earliest time at which the server can have advertised it.
    pub earliest: Millis,
    /// Latest time at which the server can have advertised it.
    pub latest: Millis,
}

impl LimitAdvertisement {
    fn is_looser_than(&self, known: &LimitAdvertisement) -> bool {
        match (self.limit, known.limit) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(limit), Some(known)) => limit > known,
        }
    }

    /// Whether this advertisement replaces the known one.
    fn supersedes(&self, known: &LimitAdvertisement) -> bool {
        if self.is_looser_than(known) {
            self.earliest >= known.latest
        } else {
            self.latest > known.earliest
        }
    }
}

/// What an advertisement changed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LimitMergeOutcome {
    /// Nothing.
    Unchanged,
    /// The limit changed, or ended.
    Changed,
    /// The limit is much lower than was known: other gateways are to receive it before they exceed
    /// it.
    Urgent,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permission {
    /// No permit is needed.
    Free,
    /// There is a permit, valid until this time.
    Until(Millis),
    /// This number of permits is to be requested.
    Ask(u32),
    /// There is no permit at present.
    None,
}

/// Warm-up of a server that has recently started: until its end the server has a limit, whatever
/// it advertises.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WarmUp {
    /// Requests that the server takes from all gateways together.
    pub rate: Rate,
    /// End of the warm-up.
    pub until: Millis,
}

/// Limit of one server as this gateway knows it, and the permits that the gateway holds for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdvertisedLimit {
    advertisement: Option<LimitAdvertisement>,
    warm_up: Option<WarmUp>,
    permits_held: u32,
    valid_until: Millis,
    /// Until when the answer to a request for permits is awaited.
    awaiting_until: Millis,
    /// No permit is requested before this time.
    ask_not_before: Millis,
    /// When there is a permit, by the last answer.
    expected_at: Millis,
    /// Number of requests recently sent with permits; older ones count less.
    recent: f64,
    recent_at: Millis,
}

impl AdvertisedLimit {
    /// Applies an advertisement of the server.
    pub fn apply(&mut self, advertisement: LimitAdvertisement) -> LimitMergeOutcome {
        let Some(known) = &mut self.advertisement else {
            self.advertisement = Some(advertisement);
            return if advertisement.limit.is_some() {
                LimitMergeOutcome::Urgent
            } else {
                LimitMergeOutcome::Unchanged
            };
        };
        if known.limit == advertisement.limit {
            known.earliest = known.earliest.max(advertisement.earliest);
            known.latest = known.latest.max(advertisement.latest);
            return LimitMergeOutcome::Unchanged;
        }
        if !advertisement.supersedes(known) {
            return LimitMergeOutcome::Unchanged;
        }
        let is_halved = match (advertisement.limit, known.limit) {
            (Some(limit), Some(known)) => limit.in_1000_s <= known.in_1000_s / 2,
            (limit, _) => limit.is_some(),
        };
        if !advertisement.is_looser_than(known) {
            // The permits that were granted under the previous limit are too many now.
            self.permits_held = 0;
        }
        *known = advertisement;
        if is_halved { LimitMergeOutcome::Urgent } else { LimitMergeOutcome::Changed }
    }

    /// The last advertisement of the server.
    pub fn advertisement(&self) -> Option<LimitAdvertisement> {
        self.advertisement
    }

    /// Sets the warm-up of the server; `None` if it has none.
    pub fn set_warm_up(&mut self, warm_up: Option<WarmUp>) {
        self.warm_up = warm_up;
    }

    /// The limit of the server's warm-up, if it is warming up.
    pub fn warm_up_rate(&self, now: Millis) -> Option<Rate> {
        self.warm_up.filter(|warm_up| warm_up.until > now).map(|warm_up| warm_up.rate)
    }

    /// Whether the server advertises a limit or is warming up.
    pub fn is_limited(&self, now: Millis) -> bool {
        self.limit().is_some() || self.warm_up_rate(now).is_some()
    }

    /// The limit that the server advertises, if there is one.
    pub fn limit(&self) -> Option<Rate> {
        self.advertisement?.limit
    }

    /// When a permit is expected, if there is none and none can be requested now. `None` otherwise,
    /// and if the server has no limit.
    pub fn blocked_until(&self, now: Millis) -> Option<Millis> {
        let is_blocked = self.is_limited(now) && !self.has_permit(now) && self.ask_not_before > now;
        is_blocked.then(|| self.expected_at.max(self.ask_not_before))
    }

    /// Whether there is no permit, and none can be requested now.
    pub fn is_closed(&self, now: Millis) -> bool {
        !self.has_permit(now) && self.ask_not_before.max(self.awaiting_until) > now
    }

    /// Earliest time at which a limit that is closed may be open. An answer that is awaited may
    /// arrive at any moment.
    pub fn may_open_at(&self) -> Millis {
        self.ask_not_before
    }

    /// Takes a permit for one request, or returns what is to be done to get one. `ramp_up_rate` is
    /// the maximum rate during the ramp-up after a back-off. It is not enforced if no other server
    /// is left.
    pub fn take(&mut self, ramp_up_rate: Option<Rate>, now: Millis) -> Permission {
        let is_limited = self.is_limited(now);
        if !is_limited && ramp_up_rate.is_none() {
            return Permission::Free;
        }
        if self.has_permit(now) {
            self.permits_held -= 1;
            self.count(now);
            return Permission::Until(self.valid_until);
        }
        if self.is_closed(now) {
            return if is_limited { Permission::None } else { Permission::Free };
        }
        self.awaiting_until = now + ASK_TIMEOUT;
        Permission::Ask(1 + (self.recent_by(now) * PREFETCH_S) as u32)
    }

    fn has_permit(&self, now: Millis) -> bool {
        self.permits_held > 0 && self.valid_until > now
    }

    /// Applies the answer to a request for permits that was made at `requested_at`.
    pub fn apply_grant(
        &mut self,
        permits: u32,
        retry_in: Millis,
        requested_at: Millis,
        now: Millis,
    ) {
        self.awaiting_until = Millis::ZERO;
        if permits == 0 {
            let (shortest, longest) = ASK_RETRY_BOUNDS;
            self.ask_not_before = now + retry_in.clamp(shortest, longest);
            self.expected_at = now + retry_in.min(MAX_REPORTED_WAIT);
            return;
        }
        self.permits_held = permits;
        self.valid_until = requested_at + PERMIT_VALIDITY;
    }

    /// Permits can be requested again at once: more shares of the limit are delegated now than at
    /// the last answer.
    pub fn reopen(&mut self, now: Millis) {
        self.ask_not_before = self.ask_not_before.min(now);
        self.expected_at = self.expected_at.min(now);
    }

    fn recent_by(&self, now: Millis) -> f64 {
        self.recent * (-(now.since(self.recent_at).0 as f64) / RECENT_DECAY_MS).exp()
    }

    fn count(&mut self, now: Millis) {
        self.recent = self.recent_by(now) + 1.0;
        self.recent_at = now;
    }
}
