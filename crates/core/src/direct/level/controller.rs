//! Controller of the admission level, at the keeper of a service's room.
//! Input: demand by urgency and account, and the room. State: smoothed demand.
//! Decides which fraction of the requests is admitted, by urgency and by account.
//!
//! The rate of admissions is that at which streams end, plus what closes the gap between the room
//! and the open streams within a fixed time. So the open streams approach the room and stay there,
//! also where the estimates of demand are wrong.
//!
//! A level takes effect some 100 ms after the reports on which it rests. The controller adds to the
//! open streams what the levels of that time admit under the newest demand. Of callers that return,
//! fewer are admitted than of new ones, since the order of admission changes slowly; an integral of
//! the gap makes up for them.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::clock::Millis;
use crate::direct::level::Level;
use crate::direct::room::AccountId;
use crate::direct::room::URGENCIES;

/// Demand for a service at all gateways together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests per second by urgency, without those in their turn.
    pub arrivals_per_s: [f64; URGENCIES],
    /// Requests per second that arrive in their turn.
    pub turns_per_s: f64,
    /// Requests per second of the accounts with the most.
    pub accounts: Vec<(AccountId, f64)>,
}

/// What the servers of a service carry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Streams that can be open so that each is in time.
    pub streams: f64,
    /// Open streams.
    pub open: f64,
    /// Streams that end, per second.
    pub completions_per_s: f64,
}

/// Parameters of the controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Time within which the gap between room and open streams closes, once the streams are counted
    /// that the reports do not show yet. Below it, the variation of the reports would dominate.
    pub gap_ms: f64,
    /// Time constant of the integral of the gap: slow against the delay, so that it follows how many
    /// callers return, and not a burst.
    pub integral_ms: f64,
    /// Time from the reports to the effect of a level that follows from them.
    pub delay: Millis,
    /// Time constant of the smoothed demand: about one interval of reports.
    pub smoothing_ms: f64,
    /// Time constant of the accounts' parts of the demand. A part of a few requests per second shows
    /// only over some seconds.
    pub accounts_smoothing_ms: f64,
    /// Deviations from the smoothed demand above which it has jumped.
    pub jump_deviations: f64,
    /// What is added to a jump, relative to it: most reports span only a part of it.
    pub jump_lead: f64,
    /// Lower bound of the admitted rate, in streams per second relative to the room. It keeps some
    /// streams going from which the room is seen to return.
    pub min_rate: f64,
    /// Lower bound of the fraction of an urgency's requests that are admitted, relative to that of
    /// all requests.
    pub min_relative: f64,
    /// The same for an account's requests of one urgency.
    pub min_account: f64,
    /// Upper bound of the turns that are assigned, relative to the admitted rate. Callers that
    /// return are late already, so more turns would be at the cost of those that can be in time.
    pub max_turns: f64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            gap_ms: 200.0,
            integral_ms: 2_000.0,
            delay: Millis(300),
            smoothing_ms: 150.0,
            accounts_smoothing_ms: 1_500.0,
            jump_deviations: 3.0,
            jump_lead: 0.5,
            min_rate: 0.05,
            min_relative: 0.4,
            min_account: 0.3,
            max_turns: 0.1,
        }
    }
}

/// Computes the level of one service.
#[derive(Clone, Debug)]
pub struct Controller {
    config: Config,
    arrivals_per_s: [f64; URGENCIES],
    turns_per_s: f64,
    completions_per_s: f64,
    /// Requests per second of accounts, and of all accounts of each urgency, over a longer time.
    accounts: BTreeMap<AccountId, f64>,
    accounts_per_s: [f64; URGENCIES],
    updated_at: Option<Millis>,
    /// Levels that the reports do not show yet.
    recent: VecDeque<Recent>,
    /// Integral of the gap, as a rate.
    integral_per_s: f64,
}

/// A recent level, and the demand for which it was computed.
#[derive(Clone, Copy, Debug)]
struct Recent {
    at: Millis,
    admitted: [f64; URGENCIES],
    arrivals_per_s: [f64; URGENCIES],
    /// Admitted rate less that of the streams that ended.
    surplus_per_s: f64,
}

/// Gap relative to the room above which the integral stays as it is.
const MAX_INTEGRATED_GAP: f64 = 0.25;

/// Bounds of the integral relative to the rate at which streams end.
const INTEGRAL_RANGE: (f64, f64) = (-0.5, 1.5);

/// Rate below which an account is forgotten.
const MIN_ACCOUNT_PER_S: f64 = 0.1;

/// Steps in which the share of the accounts is found.
const BISECTIONS: usize = 30;

/// Number of accounts of one urgency that are limited one by one.
const MAX_LISTED_ACCOUNTS: usize = 8;

impl Controller {
    /// No demand seen yet.
    pub fn new(config: Config) -> Controller {
        Controller {
            config,
            arrivals_per_s: [0.0; URGENCIES],
            turns_per_s: 0.0,
            completions_per_s: 0.0,
            accounts: BTreeMap::new(),
            accounts_per_s: [0.0; URGENCIES],
            updated_at: None,
            recent: VecDeque::new(),
            integral_per_s: 0.0,
        }
    }

    /// The level for the demand since the last update, and the room now.
    pub fn update(&mut self, demand: &Demand, room: &Room, now: Millis) -> Level {
        let span_ms = self.smooth(demand, room, now);
        let total_per_s: f64 = self.arrivals_per_s.iter().sum();
        let demand_per_s = total_per_s + self.turns_per_s;
        let gap = room.streams - room.open - self.unreported(now);
        let wanted_per_s = self.completions_per_s + gap * 1_000.0 / self.config.gap_ms;
        let min_per_s = room.streams * self.config.min_rate;
        // Where nothing is refused, there are no callers that return.
        let refused = (1.0 - wanted_per_s / demand_per_s.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
        let admitted_per_s = (wanted_per_s + refused * self.integral_per_s).max(min_per_s);
        let is_open = demand_per_s <= admitted_per_s;
        self.integrate(gap, room, is_open, span_ms);
        let level = if is_open { Level::open() } else { self.divide(total_per_s, admitted_per_s) };
        self.recent.push_back(Recent {
            at: now,
            admitted: self.means(&level),
            arrivals_per_s: self.arrivals_per_s,
            surplus_per_s: wanted_per_s.max(min_per_s).min(demand_per_s) - self.completions_per_s,
        });
        level
    }

    /// Streams that are admitted by the levels that the reports do not show yet, less those that
    /// end.
    fn unreported(&mut self, now: Millis) -> f64 {
        while self.recent.front().is_some_and(|recent| now.since(recent.at) > self.config.delay) {
            self.recent.pop_front();
        }
        let mut until = now;
        let mut streams = 0.0;
        for recent in self.recent.iter().rev() {
            let more: f64 = (0..URGENCIES)
                .map(|p| recent.admitted[p] * (self.arrivals_per_s[p] - recent.arrivals_per_s[p]))
                .sum();
            streams += (recent.surplus_per_s + more) * until.since(recent.at).0 as f64 / 1_000.0;
            until = recent.at;
        }
        streams
    }

    fn integrate(&mut self, gap: f64, room: &Room, is_open: bool, span_ms: f64) {
        if is_open {
            self.integral_per_s = 0.0;
        } else if gap.abs() <= room.streams * MAX_INTEGRATED_GAP {
            let gap_per_s = gap * 1_000.0 / self.config.gap_ms;
            let (min, max) = INTEGRAL_RANGE;
            self.integral_per_s = (self.integral_per_s
                + gap_per_s * span_ms / self.config.integral_ms)
                .clamp(min * self.completions_per_s, max * self.completions_per_s);
        }
    }

    /// Divides the admitted rate among urgencies, the most urgent first, and turns.
    fn divide(&self, total_per_s: f64, admitted_per_s: f64) -> Level {
        let turns_per_s = self.turns_per_s.min(self.config.max_turns * admitted_per_s);
        let free_per_s = admitted_per_s - turns_per_s;
        let overall = (free_per_s / total_per_s.max(f64::MIN_POSITIVE)).min(1.0);
        let floor = self.config.min_relative * overall;
        let mut level = Level::open();
        let mut left_per_s = free_per_s * (1.0 - self.config.min_relative);
        for (urgency, arrivals_per_s) in self.arrivals_per_s.into_iter().enumerate() {
            if arrivals_per_s <= 0.0 {
                // The first requests of an urgency are admitted as those of the urgency before.
                level.admitted[urgency] =
                    urgency.checked_sub(1).map_or(1.0, |before| level.admitted[before]);
                continue;
            }
            let above_floor = (arrivals_per_s * (1.0 - floor)).min(left_per_s);
            left_per_s -= above_floor;
            let fraction = (floor + above_floor / arrivals_per_s).min(1.0);
            self.share(urgency, fraction, self.config.min_account * overall, &mut level);
        }
        let refused_per_s = (total_per_s - free_per_s).max(f64::MIN_POSITIVE);
        level.turns = (self.config.max_turns * admitted_per_s / refused_per_s).min(1.0);
        level
    }

    /// Fraction of the requests of each urgency that a level admits, over all accounts.
    fn means(&self, level: &Level) -> [f64; URGENCIES] {
        let mut means = level.admitted;
        for (account, relative) in &level.accounts {
            let urgency = account.urgency();
            means[urgency] -= level.admitted[urgency] * self.part(*account) * (1.0 - relative);
        }
        means
    }

    /// An account's part of the requests of its urgency.
    fn part(&self, account: AccountId) -> f64 {
        let all_per_s = self.accounts_per_s[account.urgency()].max(f64::MIN_POSITIVE);
        self.accounts.get(&account).map_or(0.0, |rate| (rate / all_per_s).min(1.0))
    }

    /// Includes the newest demand, and returns the time since the last update.
    fn smooth(&mut self, demand: &Demand, room: &Room, now: Millis) -> f64 {
        let span_ms = self.updated_at.replace(now).map(|last| now.since(last).0 as f64);
        let mean_per_s: f64 = self.arrivals_per_s.iter().sum();
        let rise_per_s = demand.arrivals_per_s.iter().sum::<f64>() - mean_per_s;
        // Requests arrive independently of each other, so their number in the time constant varies
        // by its square root.
        let deviation_per_s = (mean_per_s * 1_000.0 / self.config.smoothing_ms).sqrt();
        let has_jumped = rise_per_s > self.config.jump_deviations * deviation_per_s;
        let weight = match span_ms {
            Some(span_ms) if !has_jumped => 1.0 - (-span_ms / self.config.smoothing_ms).exp(),
            Some(_) => 1.0 + self.config.jump_lead,
            None => 1.0,
        };
        for (mean, rate) in self.arrivals_per_s.iter_mut().zip(demand.arrivals_per_s) {
            *mean += weight * (rate - *mean);
        }
        self.turns_per_s += weight * (demand.turns_per_s - self.turns_per_s);
        let since_ms = span_ms.unwrap_or(f64::INFINITY);
        let weight = 1.0 - (-since_ms / self.config.smoothing_ms).exp();
        self.completions_per_s += weight * (room.completions_per_s - self.completions_per_s);
        let weight = 1.0 - (-since_ms / self.config.accounts_smoothing_ms).exp();
        for (mean, rate) in self.accounts_per_s.iter_mut().zip(demand.arrivals_per_s) {
            *mean += weight * (rate - *mean);
        }
        for mean in self.accounts.values_mut() {
            *mean *= 1.0 - weight;
        }
        for (account, rate) in &demand.accounts {
            *self.accounts.entry(*account).or_default() += weight * rate;
        }
        self.accounts.retain(|_, mean| *mean >= MIN_ACCOUNT_PER_S);
        span_ms.unwrap_or(0.0)
    }

    /// Divides what an urgency gets among accounts: those below the share get all that they ask for,
    /// the others get the share. All quantities are parts of the requests of the urgency.
    fn share(&self, urgency: usize, fraction: f64, floor: f64, level: &mut Level) {
        level.admitted[urgency] = fraction;
        let of_urgency = self.accounts.keys().filter(|account| account.urgency() == urgency);
        let mut parts: Vec<_> = of_urgency.map(|account| (*account, self.part(*account))).collect();
        parts.sort_by(|one, other| other.1.total_cmp(&one.1));
        parts.truncate(MAX_LISTED_ACCOUNTS);
        let Some((_, smallest)) = parts.last().copied().filter(|_| fraction < 1.0) else { return };
        // Accounts that are not listed are no larger than the smallest one that is.
        let unlisted = (1.0 - parts.iter().map(|(_, part)| part).sum::<f64>()).max(0.0);
        let admitted = |part: f64, share: f64| (share / part).clamp(floor, 1.0);
        let sum = |share: f64| {
            let of_listed: f64 = parts.iter().map(|(_, part)| part * admitted(*part, share)).sum();
            of_listed + unlisted * admitted(smallest, share)
        };
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..BISECTIONS {
            let middle = f64::midpoint(low, high);
            if sum(middle) < fraction {
                low = middle;
            } else {
                high = middle;
            }
        }
        let of_smallest = admitted(smallest, high);
        level.admitted[urgency] = of_smallest;
        let limited = parts.iter().map(|(one, part)| (*one, admitted(*part, high) / of_smallest));
        level.accounts.extend(limited.filter(|(_, relative)| *relative < 1.0));
    }
}
