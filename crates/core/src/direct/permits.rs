//! Permits for limits that hold for all gateways together, as one gateway requests and grants them.
//! Input: requests for permits, and shares of other gateways. State: these shares, and a token
//! bucket per server. Decides how many permits are granted, and which gateway gets the own share.
//!
//! Permits are needed for requests to backend servers that have a limit, warm up after a start or
//! ramp up after a back-off, and for requests that are retried after a server crashed.
//!
//! One gateway grants the permits: the first live gateway in an order that all gateways know. The
//! others request permits from it as they need them. So any one gateway can use all that is
//! allowed, and the limit can be less than one request per gateway.
//!
//! Gateways need not agree on which gateway grants permits, nor on which gateways are alive. Each
//! has one share of the limit; there are as many shares as gateways, alive or not. A gateway
//! delegates its share for a short time to the gateway that it asks. A gateway grants permits for
//! as many shares of the limit as are delegated to it. A delegated share goes to no other gateway
//! before that time is over. So the sum stays within the limit however many gateways grant permits
//! at once, also on both sides of a network partition, and an isolated gateway has its own share.
//!
//! A gateway that has just started does not know where its predecessor delegated the share, and one
//! whose granting gateway has ended cannot withdraw its share from there. Such a gateway learns
//! that its share is free from the gateway that it asks, if that one still counts the share, or if
//! all other gateways have disclaimed: each has stated that it counts no share of another gateway,
//! and accepts none for a while. Otherwise the gateway waits until its share counts nowhere.
//!
//! The alternative, a share that each gateway keeps for itself, is of no use if it is a tenth of a
//! request per second. The cost: while the granting gateway changes, permits of some seconds are
//! lost; the share of a gateway that is gone for good is lost until the gateway is no longer
//! listed.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::direct::advertised_limit::Rate;
use crate::direct::crashes::ServerIncarnation;
use crate::direct::fingerprint::Fingerprint;
use crate::direct::members::IncarnationId;

/// How long a delegated share counts at the gateway that it was delegated to.
const DELEGATED_FOR: Millis = Millis(2_000);

/// How long a delegated share goes to no other gateway. The message that delegates it may be in
/// transit for the difference to `DELEGATED_FOR`.
const RESERVED_FOR: Millis = Millis(2_500);

/// How long a gateway accepts no share after it disclaimed. Messages that delegate a share may be in
/// transit for the difference to [`DISCLAIMER_VALIDITY`], and so may the disclaimer: half of it each.
const DISCLAIMED_FOR: Millis = Millis(2_000);

/// How long a disclaimer holds at the gateway that received it.
const DISCLAIMER_VALIDITY: Millis = Millis(1_000);

/// Interval at which a gateway that requests no permits renews the delegation of its share.
pub const DELEGATION_INTERVAL: Millis = Millis(600);

/// Time whose permits a bucket can accumulate, in addition to one permit.
const BURST_S: f64 = 0.25;

/// Time without a request for a subject after which its bucket is removed. A limit that is
/// requested again later begins with no permit, as every limit does.
const BUCKET_IDLE_TTL: Millis = Millis(60_000);

/// Longest interval between two trials of a suspect, in shortest ones.
const MAX_TRIAL_INTERVALS: u64 = 8;

/// How much earlier than after its interval a trial may be granted if the one before was late.
const TRIAL_BURST: Millis = Millis(250);

/// Identifies a gateway, across restarts of its process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct GatewayId(pub u64);

/// Answer to a request for permits.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Grant {
    /// Number of requests that may be sent.
    pub permits: u32,
    /// If none: time until there is a permit, unless other gateways take it.
    pub retry_in: Millis,
}

/// Permits for one subject that are not granted yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    level: f64,
    at: Millis,
}

impl TokenBucket {
    /// A bucket that holds this number of permits now.
    pub(crate) fn with_level(level: f64, now: Millis) -> TokenBucket {
        TokenBucket { level, at: now }
    }

    /// Adds the permits accrued since the last call at this rate, and takes as many whole permits
    /// as are wanted or available.
    pub(crate) fn take(&mut self, per_ms: f64, wanted: u32, now: Millis) -> u32 {
        let capacity = 1.0 + per_ms * 1_000.0 * BURST_S;
        self.level = (self.level + per_ms * now.since(self.at).0 as f64).min(capacity);
        self.at = now;
        let taken = wanted.min(self.level as u32);
        self.level -= f64::from(taken);
        taken
    }

    /// Time until the bucket holds this number of permits, if none is taken.
    pub(crate) fn until(&self, permits: f64, per_ms: f64, now: Millis) -> Millis {
        // At rate zero this is infinite, and the conversion saturates.
        let missing_ms = (permits - self.level).max(0.0) / per_ms;
        Millis(missing_ms.ceil() as u64) - now.since(self.at)
    }
}

/// Time between two trials of a suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TrialPace {
    /// This time.
    Constant(Millis),
    /// This time at first, and twice as long after each further trial, up to a maximum: a trial that
    /// another one follows has decided nothing, because the server refused it for instance.
    Slowing(Millis),
}

/// The latest trial of a suspect that was granted.
#[derive(Clone, Copy, Debug)]
struct GrantedTrial {
    /// When the next one may be granted.
    next_at: Millis,
    /// Time between the two.
    pause: Millis,
}

/// Shares and buckets of one gateway: where its own share is delegated to, and what it grants
/// itself.
#[derive(Clone, Debug)]
pub struct Permits {
    own: GatewayId,
    own_incarnation: IncarnationId,
    delegated_to: Option<IncarnationId>,
    /// When the own share was last delegated; `None` before.
    delegated_at: Option<Millis>,
    /// Until when the own share is reserved for the gateway that it is delegated to.
    reserved_until: Millis,
    /// Shares delegated to this gateway, by their owner, with the time until which they count.
    shares: HashMap<GatewayId, Millis>,
    /// Until when this gateway accepts no share of another one, as it has stated.
    disclaimed_until: Millis,
    /// Gateways that have disclaimed, with the time until which that holds.
    disclaimers: HashMap<GatewayId, Millis>,
    buckets: HashMap<ServerIncarnation, TokenBucket>,
    trials: HashMap<Fingerprint, GrantedTrial>,
}

impl Permits {
    /// State of a new process of the gateway `own`. Its predecessor may have delegated the share,
    /// so the share is reserved.
    pub fn new(own: GatewayId, own_incarnation: IncarnationId, now: Millis) -> Permits {
        Permits {
            own,
            own_incarnation,
            delegated_to: None,
            delegated_at: None,
            reserved_until: now + RESERVED_FOR,
            shares: HashMap::new(),
            disclaimed_until: Millis::ZERO,
            disclaimers: HashMap::new(),
            buckets: HashMap::new(),
            trials: HashMap::new(),
        }
    }

    /// Delegates the own share to the gateway that this one requests permits from, which may be
    /// this one, unless the share is reserved for another. Returns whether it is delegated to it.
    /// A share that counts at this gateway is withdrawn there at once: a gateway that has just
    /// started grants for itself until it knows the others.
    pub fn delegate_share(&mut self, to: IncarnationId, now: Millis) -> bool {
        if self.delegated_to != Some(to) && now < self.reserved_until {
            if self.delegated_to != Some(self.own_incarnation) {
                return false;
            }
            self.shares.remove(&self.own);
        }
        self.delegated_to = Some(to);
        self.delegated_at = Some(now);
        self.reserved_until = now + RESERVED_FOR;
        true
    }

    /// Whether the own share is reserved for a gateway that this one does not know, since an earlier
    /// process may have delegated it.
    pub fn awaits_own_share(&self, now: Millis) -> bool {
        self.delegated_to.is_none() && now < self.reserved_until
    }

    /// Whether the own share was delegated at this time or later.
    pub fn has_delegated_since(&self, at: Millis) -> bool {
        self.delegated_at.is_some_and(|delegated_at| delegated_at >= at)
    }

    /// A gateway, which may be this one, has delegated its share to this one. A share of another
    /// gateway is not accepted after a disclaimer.
    pub fn add_share(&mut self, from: GatewayId, now: Millis) {
        if from == self.own || now >= self.disclaimed_until {
            self.shares.insert(from, now + DELEGATED_FOR);
        }
    }

    /// Whether this gateway counts the share of a gateway, which may be this one.
    pub fn counts_share(&self, owner: GatewayId, now: Millis) -> bool {
        self.shares.get(&owner).is_some_and(|until| *until > now)
    }

    /// Disclaims: from now on this gateway accepts no share of another one for a while. Returns
    /// whether it did; it does not while it counts such a share.
    pub fn disclaim(&mut self, now: Millis) -> bool {
        self.shares.retain(|_, until| *until > now);
        let counts_none = self.shares.keys().all(|owner| *owner == self.own);
        if counts_none {
            self.disclaimed_until = now + DISCLAIMED_FOR;
        }
        counts_none
    }

    /// Another gateway has disclaimed.
    pub fn record_disclaimer(&mut self, from: GatewayId, now: Millis) {
        self.disclaimers.insert(from, now + DISCLAIMER_VALIDITY);
    }

    /// Whether the share of `owner` counts at no gateway but this one: it counts here, or all other
    /// gateways have disclaimed. `fleet` has all gateways, alive or not; `None` if it may lack one.
    pub fn is_share_free(
        &self,
        owner: GatewayId,
        fleet: Option<&[GatewayId]>,
        now: Millis,
    ) -> bool {
        let has_disclaimed = |gateway: &GatewayId| {
            let disclaimer = self.disclaimers.get(gateway);
            *gateway == self.own || disclaimer.is_some_and(|until| *until > now)
        };
        now >= self.disclaimed_until
            && (self.counts_share(owner, now)
                || fleet.is_some_and(|fleet| fleet.iter().all(has_disclaimed)))
    }

    /// The gateway `by`, which may be this one, has replied to a request of `requested_at` that the
    /// own share counts at no other gateway. The share can then be delegated to it at once.
    pub fn confirm_free_share(&mut self, by: IncarnationId, requested_at: Millis, now: Millis) {
        if !self.has_delegated_since(requested_at)
            && self.delegated_to != Some(self.own_incarnation)
        {
            self.delegated_to = Some(by);
            self.reserved_until = now + RESERVED_FOR;
        }
    }

    /// Grants permits for a server with this limit, as many as are wanted or available. A new
    /// bucket holds `initial_level` permits. `gateways` is the number of gateways, alive or not;
    /// `None` if unknown.
    pub fn grant(
        &mut self,
        server: ServerIncarnation,
        limit: Rate,
        wanted: u32,
        initial_level: f64,
        gateways: Option<usize>,
        now: Millis,
    ) -> Grant {
        self.shares.retain(|_, until| *until > now);
        let total_shares =
            gateways.map_or(f64::INFINITY, |known| known.max(self.shares.len()).max(1) as f64);
        let per_ms = limit.per_ms() * self.shares.len() as f64 / total_shares;
        self.take(server, per_ms, wanted, initial_level, now)
    }

    /// Grants one trial of a request, or of requests with a part, unless this gateway granted one too
    /// recently. This does not depend on the shares: two gateways may grant a trial each, and no trial
    /// waits for shares.
    pub fn grant_trial(&mut self, suspect: Fingerprint, pace: TrialPace, now: Millis) -> Grant {
        self.trials.retain(|_, trial| now.since(trial.next_at) < BUCKET_IDLE_TTL);
        let last = self.trials.get(&suspect).copied();
        if let Some(last) = last.filter(|last| last.next_at > now) {
            return Grant { permits: 0, retry_in: last.next_at.since(now) };
        }
        let (began_at, pause) = match (pace, last) {
            // Requests that come at intervals of their own do not make the interval longer.
            (TrialPace::Constant(interval), Some(last)) => {
                (last.next_at.max(now - TRIAL_BURST), interval)
            }
            (TrialPace::Slowing(interval), Some(last)) => {
                (now, Millis(2 * last.pause.0).min(Millis(interval.0 * MAX_TRIAL_INTERVALS)))
            }
            (TrialPace::Constant(interval) | TrialPace::Slowing(interval), None) => (now, interval),
        };
        let next_at = began_at + pause;
        self.trials.insert(suspect, GrantedTrial { next_at, pause });
        Grant { permits: 1, retry_in: next_at.since(now) }
    }

    fn take(
        &mut self,
        server: ServerIncarnation,
        per_ms: f64,
        wanted: u32,
        initial_level: f64,
        now: Millis,
    ) -> Grant {
        self.buckets.retain(|_, bucket| now.since(bucket.at) < BUCKET_IDLE_TTL);
        let bucket =
            self.buckets.entry(server).or_insert(TokenBucket::with_level(initial_level, now));
        let permits = bucket.take(per_ms, wanted, now);
        // Without any share the rate is not known yet: shares may be reserved for other gateways.
        let retry_in = match per_ms > 0.0 {
            true => bucket.until(1.0, per_ms, now),
            false => RESERVED_FOR,
        };
        Grant { permits, retry_in }
    }
}
