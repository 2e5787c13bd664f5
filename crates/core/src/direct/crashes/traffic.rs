//! How frequent requests and parts of prompts are among the attempts of their service.
//! Input: attempts that ended here, and counts from other gateways. State: both of these, for what was
//! at a crash, since then; and when each part was first seen.
//! Tells how often something would be at a crash by chance, and which parts are new.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::clock::Millis;
use crate::direct::crashes::report::Aged;
use crate::direct::crashes::report::Reporter;
use crate::direct::crashes::report::ServiceNumber;
use crate::direct::fingerprint::Fingerprint;
use crate::direct::fingerprint::FingerprintKind;
use crate::direct::fingerprint::Fingerprints;

/// Maximum number of gateways whose counts are stored for one fingerprint: those that count the most
/// attempts of all kinds, which does not depend on how frequent it is at each of them.
const MAX_REPORTERS: usize = 8;

/// Attempts are counted by their duration, in spans of this length: the longer they last, the more of
/// them are at a crash. Each has one span at least.
const SPAN: Millis = Millis(200);

/// Number of parts of which it is known when they were first seen, those that came last; twice as many
/// before the others are forgotten.
const MAX_SEEN: usize = 4_096;

/// A part is new at a crash if it was first seen since then, or in this last part of the time before: a
/// report takes a moment to arrive.
const NEW_PART_OF_PAST: u64 = 10;

/// Attempts of a service that ended at one gateway, as exchanged between gateways.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptCount {
    /// A request or a part of prompts.
    pub fingerprint: Fingerprint,
    /// The gateway process.
    pub reporter: Reporter,
    /// Duration of the attempts with it, in spans of 200 ms.
    pub with: u64,
    /// Duration of all attempts of its service, likewise.
    pub of: u64,
    /// Time since they were counted, as known to the sender.
    pub age: Millis,
}

/// Counts of this gateway for one fingerprint, and since when.
#[derive(Clone, Copy, Debug)]
struct OwnCount {
    since: Millis,
    service: ServiceNumber,
    /// Attempts of the service before.
    of_before: u64,
    with: u64,
}

/// When a part was in attempts, by the duration of all attempts of its service that had ended before.
#[derive(Clone, Copy, Debug)]
struct Seen {
    first: u64,
    last: u64,
}

/// Attempts with what was at a crash, and all attempts of its service.
#[derive(Clone, Debug, Default)]
pub(super) struct Traffic {
    /// Duration of the attempts of each service that ended here.
    totals: HashMap<ServiceNumber, u64>,
    own: HashMap<Fingerprint, OwnCount>,
    received: BTreeMap<(Fingerprint, Reporter), (u64, u64, Aged)>,
    /// The parts of attempts that ended here.
    seen: HashMap<Fingerprint, Seen>,
}

impl Traffic {
    /// Counts an attempt that ended here.
    pub(super) fn count(
        &mut self,
        service: ServiceNumber,
        fingerprints: &Fingerprints,
        lasted: Millis,
    ) {
        let spans = 1 + lasted.0 / SPAN.0;
        let total = self.totals.entry(service).or_default();
        let before = *total;
        *total += spans;
        for part in &fingerprints.parts {
            self.seen.entry(*part).or_insert(Seen { first: before, last: before }).last = before;
        }
        if self.seen.len() > 2 * MAX_SEEN {
            self.forget_parts();
        }
        if self.own.is_empty() {
            return;
        }
        for fingerprint in fingerprints.iter() {
            if let Some(count) = self.own.get_mut(&fingerprint) {
                count.with += spans;
            }
        }
    }

    /// Forgets when parts were first seen that have not come for the longest time.
    fn forget_parts(&mut self) {
        let mut last: Vec<u64> = self.seen.values().map(|seen| seen.last).collect();
        let (_, latest_forgotten, _) = last.select_nth_unstable(MAX_SEEN);
        let latest_forgotten = *latest_forgotten;
        self.seen.retain(|_, seen| seen.last > latest_forgotten);
    }

    /// Whether a part was new at the first crash at which a suspect was.
    pub(super) fn was_new(&self, part: Fingerprint, suspect: Fingerprint) -> bool {
        let Some(count) = self.own.get(&suspect) else { return false };
        let new_from = count.of_before - count.of_before / NEW_PART_OF_PAST;
        part.kind() == FingerprintKind::Part
            && self.seen.get(&part).is_none_or(|seen| seen.first >= new_from)
    }

    /// Counts attempts with a fingerprint from now on, unless they are counted, in place of the one that
    /// has been counted for the longest time if there are more than `max`.
    pub(super) fn track(
        &mut self,
        fingerprint: Fingerprint,
        service: ServiceNumber,
        max: usize,
        now: Millis,
    ) {
        if service == ServiceNumber::UNKNOWN || self.own.contains_key(&fingerprint) {
            return;
        }
        if self.own.len() >= max
            && let Some(first) = self.own.iter().min_by_key(|(_, count)| count.since)
        {
            let first = *first.0;
            self.own.remove(&first);
        }
        let of_before = self.totals.get(&service).copied().unwrap_or_default();
        self.own.insert(fingerprint, OwnCount { since: now, service, of_before, with: 0 });
    }

    /// Merges a count of another gateway; returns whether it is newer than the known one.
    pub(super) fn merge(&mut self, received: AttemptCount, now: Millis) -> bool {
        let AttemptCount { fingerprint, reporter, with, of, age } = received;
        let known = self.received.get(&(fingerprint, reporter));
        if known.is_some_and(|(_, known_of, _)| of <= *known_of) {
            return false;
        }
        let at = Aged { age_at_merge: age, error: Millis::ZERO, merged_at: now };
        self.received.insert((fingerprint, reporter), (with, of, at));
        let ranked = self.received_of(fingerprint).map(|(reporter, (_, of, _))| (*of, reporter));
        if ranked.clone().count() > MAX_REPORTERS
            && let Some((_, lowest)) = ranked.min()
        {
            self.received.remove(&(fingerprint, lowest));
        }
        true
    }

    fn received_of(
        &self,
        fingerprint: Fingerprint,
    ) -> impl Iterator<Item = (Reporter, &(u64, u64, Aged))> + Clone {
        let range = (fingerprint, Reporter(u64::MIN))..=(fingerprint, Reporter(u64::MAX));
        self.received.range(range).map(|((_, reporter), count)| (*reporter, count))
    }

    fn own_count(&self, fingerprint: Fingerprint) -> (u64, u64) {
        let Some(count) = self.own.get(&fingerprint) else { return (0, 0) };
        let total = self.totals.get(&count.service).copied().unwrap_or_default();
        (count.with, total - count.of_before)
    }

    /// Duration of the attempts with a fingerprint, and of all attempts of its service, at the gateways whose
    /// counts are known.
    pub(super) fn of(&self, fingerprint: Fingerprint) -> (u64, u64) {
        let received = self.received_of(fingerprint).map(|(_, (with, of, _))| (*with, *of));
        let all = std::iter::once(self.own_count(fingerprint)).chain(received);
        all.fold((0, 0), |(with, of), one| (with + one.0, of + one.1))
    }

    /// The counts of one fingerprint to exchange with other gateways; `own` is this one.
    pub(super) fn counts(
        &self,
        fingerprint: Fingerprint,
        own: Reporter,
        now: Millis,
    ) -> impl Iterator<Item = AttemptCount> {
        let (with, of) = self.own_count(fingerprint);
        let own = AttemptCount { fingerprint, reporter: own, with, of, age: Millis::ZERO };
        let received = self.received_of(fingerprint).map(move |(reporter, (with, of, at))| {
            AttemptCount { fingerprint, reporter, with: *with, of: *of, age: at.age(now) }
        });
        (of > 0).then_some(own).into_iter().chain(received)
    }

    /// Removes counts that have expired, and the oldest received ones above `max`. Own counts of what
    /// is still reported to have been at a crash are kept: crashes are weighed by them.
    pub(super) fn remove_expired(
        &mut self,
        now: Millis,
        ttl: Millis,
        max: usize,
        is_reported: impl Fn(Fingerprint) -> bool,
    ) {
        self.own.retain(|one, count| now.since(count.since) < ttl || is_reported(*one));
        self.received.retain(|_, (_, _, at)| at.age(now) < ttl);
        while self.received.len() > max {
            let oldest = self.received.iter().max_by_key(|(_, (_, _, at))| at.age(now));
            let Some(key) = oldest.map(|(key, _)| *key) else { break };
            self.received.remove(&key);
        }
    }
}
