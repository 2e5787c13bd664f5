//! How many requests a second a backend server takes from all gateways together, as it names it in its answers.
//!
//! What it said last binds, and answers overtake one another: what a server said lies somewhere between the sending
//! of the request and the coming of the answer. A lower limit holds at once, unless what is known is surely newer; a
//! higher one, or none any more, has to be surely newer itself.
//!
//! Nothing is sent to a limited server without a permit of the gateway that gives them out for all: see
//! [`permits`](crate::direct::permits). What a gateway was given is in hand for a moment only, so nothing is saved up.

use crate::clock::Millis;

/// Most that is told apart, in requests a second: more than any server takes.
const MOST_PER_S: f64 = 1e9;

/// What servers that take less are sent all the same: who is sent nothing cannot say that it takes requests again.
const LEAST: Rate = Rate { in_1000_s: 100 };

/// How long a permit is good, from when it was asked for: a request may have to wait for a connection.
pub const PERMIT_VALIDITY: Millis = Millis(500);

/// Longest wait for an answer to one who asks for permits.
pub const ASK_TIMEOUT: Millis = Millis(100);

/// Shortest and longest time until permits are asked for again where there were none: what is given out may change.
const ASK_AGAIN: (Millis, Millis) = (Millis(20), Millis(500));

/// Longest time to the next permit that callers are told: nobody knows more than that it is long.
const MOST_TOLD: Millis = Millis(10_000);

/// Time for which a gateway asks permits ahead, by what it sent lately: one message for several requests.
const AHEAD_S: f64 = 0.25;

/// Time over which requests count as sent lately.
const LATELY_MS: f64 = 1_000.0;

/// What news may have taken on their way from another gateway, beyond the ages they tell.
pub const TRANSIT_ALLOWANCE: Millis = Millis(500);

/// Requests over time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rate {
    /// Requests in 1,000 seconds.
    pub in_1000_s: u64,
}

impl Rate {
    /// What a server named, in requests a second, a decimal; `None` if the text is no number.
    pub fn from_text(text: &str) -> Option<Rate> {
        let text = text.trim();
        // Words that stand for numbers, and signs, are none.
        if !text.starts_with(|first: char| first.is_ascii_digit() || first == '.') {
            return None;
        }
        let per_s = text.parse::<f64>().ok()?;
        Some(Rate { in_1000_s: (per_s.min(MOST_PER_S) * 1_000.0) as u64 })
    }

    /// Requests a millisecond that are sent to a server of this limit.
    pub fn per_ms(self) -> f64 {
        self.max(LEAST).in_1000_s as f64 / 1e6
    }
}

/// What a server said of its limit, and when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitAdvertisement {
    /// `None`: it names none any more.
    pub limit: Option<Rate>,
    /// It said so at this moment at the earliest.
    pub earliest: Millis,
    /// It said so at this moment at the latest.
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

    /// Whether this binds in place of what is known.
    fn overrules(&self, known: &LimitAdvertisement) -> bool {
        if self.is_looser_than(known) {
            self.earliest >= known.latest
        } else {
            self.latest > known.earliest
        }
    }
}

/// What came of word about a limit.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LimitMergeOutcome {
    /// It was known.
    Unchanged,
    /// The limit is another one, or gone.
    Changed,
    /// Much less is taken than was known: others should not have to find out.
    Urgent,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permission {
    /// The server names no limit.
    Free,
    /// There is a permit, good until this moment.
    Until(Millis),
    /// Permits have to be asked for, so many.
    Ask(u32),
    /// There is none for now.
    None,
}

/// One server's limit as this gateway knows it, and the permits that it has for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdvertisedLimit {
    advertisement: Option<LimitAdvertisement>,
    in_hand: u32,
    good_until: Millis,
    /// Until when an answer to one who asked is waited for.
    asked_until: Millis,
    /// No permit is asked for before.
    ask_from: Millis,
    /// When there is one, as far as was told.
    expected_at: Millis,
    /// Requests sent with permits lately, those longer ago counting less.
    lately: f64,
    lately_at: Millis,
}

impl AdvertisedLimit {
    /// Takes what the server said.
    pub fn apply(&mut self, said: LimitAdvertisement) -> LimitMergeOutcome {
        let Some(known) = &mut self.advertisement else {
            self.advertisement = Some(said);
            return if said.limit.is_some() {
                LimitMergeOutcome::Urgent
            } else {
                LimitMergeOutcome::Unchanged
            };
        };
        if known.limit == said.limit {
            known.earliest = known.earliest.max(said.earliest);
            known.latest = known.latest.max(said.latest);
            return LimitMergeOutcome::Unchanged;
        }
        if !said.overrules(known) {
            return LimitMergeOutcome::Unchanged;
        }
        let is_halved = match (said.limit, known.limit) {
            (Some(limit), Some(known)) => limit.in_1000_s <= known.in_1000_s / 2,
            (limit, _) => limit.is_some(),
        };
        if !said.is_looser_than(known) {
            // What was given out by the limit before is too much now.
            self.in_hand = 0;
        }
        *known = said;
        if is_halved { LimitMergeOutcome::Urgent } else { LimitMergeOutcome::Changed }
    }

    /// What the server said last.
    pub fn advertisement(&self) -> Option<LimitAdvertisement> {
        self.advertisement
    }

    /// The limit, if it names one.
    pub fn limit(&self) -> Option<Rate> {
        self.advertisement?.limit
    }

    /// When there is a permit, if none can be asked for now; `None` where the server names no limit.
    pub fn blocked_until(&self, now: Millis) -> Option<Millis> {
        let is_bound = self.limit().is_some() && !self.has_permit(now) && self.ask_from > now;
        is_bound.then(|| self.expected_at.max(self.ask_from))
    }

    /// Whether there is no permit, and none can be asked for now.
    pub fn is_closed(&self, now: Millis) -> bool {
        !self.has_permit(now) && self.ask_from.max(self.asked_until) > now
    }

    /// When one who finds it closed may find it open at the earliest: an answer that is waited for may come at any
    /// moment.
    pub fn may_open_at(&self) -> Millis {
        self.ask_from
    }

    /// Takes a permit for one request, or says what is to be done for one. `returning` is what is sent at most while
    /// the server comes back from a rest; that does not bind where no other server is left.
    pub fn take(&mut self, returning: Option<Rate>, now: Millis) -> Permission {
        let is_limited = self.limit().is_some();
        if !is_limited && returning.is_none() {
            return Permission::Free;
        }
        if self.has_permit(now) {
            self.in_hand -= 1;
            self.count(now);
            return Permission::Until(self.good_until);
        }
        if self.is_closed(now) {
            return if is_limited { Permission::None } else { Permission::Free };
        }
        self.asked_until = now + ASK_TIMEOUT;
        Permission::Ask(1 + (self.lately_by(now) * AHEAD_S) as u32)
    }

    fn has_permit(&self, now: Millis) -> bool {
        self.in_hand > 0 && self.good_until > now
    }

    /// Takes the answer to what was asked at `asked_at`.
    pub fn apply_grant(&mut self, permits: u32, retry_in: Millis, asked_at: Millis, now: Millis) {
        self.asked_until = Millis::ZERO;
        if permits == 0 {
            let (least, most) = ASK_AGAIN;
            self.ask_from = now + retry_in.clamp(least, most);
            self.expected_at = now + retry_in.min(MOST_TOLD);
            return;
        }
        self.in_hand = permits;
        self.good_until = asked_at + PERMIT_VALIDITY;
    }

    fn lately_by(&self, now: Millis) -> f64 {
        self.lately * (-(now.since(self.lately_at).0 as f64) / LATELY_MS).exp()
    }

    fn count(&mut self, now: Millis) {
        self.lately = self.lately_by(now) + 1.0;
        self.lately_at = now;
    }
}
