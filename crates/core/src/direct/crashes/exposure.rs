//! Attempts of requests that ended without a crash of their server.
//! Input: attempts that ended here, and counts received from other gateways. State: both of these.
//! Decides whether a request that was at crashes has ended well as often.
//!
//! An attempt ends well if it completes, and also if its caller disconnects or the server reports a
//! failure, provided that the server answers other requests afterwards. A request that its callers
//! always abandon never completes, however often it is sent.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::clock::Millis;
use crate::direct::crashes::evidence::MAX_RUN_DIFFERENCE;
use crate::direct::crashes::evidence::MAX_RUN_RATIO;
use crate::direct::crashes::report::Aged;
use crate::direct::crashes::report::Reporter;
use crate::direct::crashes::report::Stage;
use crate::direct::crashes::report::Suspect;
use crate::direct::fingerprint::Fingerprint;
use crate::direct::fingerprint::FingerprintKind;
use crate::util::hash;

/// Maximum count that a gateway reports for one request: more endings change nothing.
const MAX_COUNT: u32 = 8;

/// Maximum number of gateways whose counts are stored for one request: those with the highest
/// counts, so that gateways which merge in any order store the same ones.
const MAX_REPORTERS: usize = 4;

/// Shortest time between two recorded attempts with the same part in their prompts.
const PART_INTERVAL: Millis = Millis(1_000);

/// How far a request got in an attempt whose server did not crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Extent {
    /// The caller got the complete answer.
    Completed,
    /// The attempt ended before, in this stage, after the server had had the request for this time.
    Ended(Stage, Millis),
}

impl Extent {
    /// Whether the request got at least as far as it was at a crash: if it had caused that crash, it
    /// would have caused another one. Requests that share a part differ, so that one must have got
    /// clearly further, and one without an answer may not have run.
    pub(super) fn outlasts(self, suspect: Suspect) -> bool {
        match (self, suspect.fingerprint.kind()) {
            (Extent::Completed, _) => true,
            (Extent::Ended(stage, ran), FingerprintKind::Request) => {
                (stage, ran) >= (suspect.stage, suspect.ran)
            }
            (Extent::Ended(stage, ran), FingerprintKind::Part) => {
                let longest = Millis(suspect.ran.0 * MAX_RUN_RATIO) + MAX_RUN_DIFFERENCE;
                stage > Stage::Waiting && (stage, ran) > (suspect.stage, longest)
            }
        }
    }

    fn is_as_far_as(self, other: Extent) -> bool {
        match (self, other) {
            (Extent::Completed, _) => true,
            (Extent::Ended(..), Extent::Completed) => false,
            (Extent::Ended(stage, ran), Extent::Ended(other_stage, other_ran)) => {
                (stage, ran) >= (other_stage, other_ran)
            }
        }
    }
}

/// An attempt at this gateway whose server did not crash.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ending {
    pub(super) fingerprint: Fingerprint,
    pub(super) at: Millis,
    pub(super) extent: Extent,
}

/// Number of attempts of a request that ended well at one gateway, as exchanged between gateways.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndingCount {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The gateway process.
    pub reporter: Reporter,
    /// Number of attempts, up to a maximum.
    pub count: u32,
    /// Time since the last of them was counted, as known to the sender.
    pub age: Millis,
}

/// The latest attempts that ended well here, and the counts of all gateways for requests that were
/// at several crashes.
#[derive(Clone, Debug, Default)]
pub(super) struct Exposure {
    recent: VecDeque<Ending>,
    /// Those of parts, of which one request may have many.
    recent_of_parts: VecDeque<Ending>,
    counts: BTreeMap<(Fingerprint, Reporter), (u32, Aged)>,
}

impl Exposure {
    /// Records an attempt that ended here, and removes the oldest above `max`. Of a part that many
    /// requests share, one attempt in an interval is enough.
    pub(super) fn add(&mut self, ending: Ending, max: usize) {
        let is_part = ending.fingerprint.kind() == FingerprintKind::Part;
        let recent = self.recent(ending.fingerprint);
        let mut recent = recent.take_while(|one| ending.at.since(one.at) < PART_INTERVAL);
        let is_recorded = is_part && recent.any(|one| one.extent.is_as_far_as(ending.extent));
        drop(recent);
        if is_recorded {
            return;
        }
        let recent = if is_part { &mut self.recent_of_parts } else { &mut self.recent };
        while recent.len() >= max.max(1) {
            recent.pop_front();
        }
        recent.push_back(ending);
    }

    /// The attempts of a request that ended here, latest first.
    pub(super) fn recent(&self, fingerprint: Fingerprint) -> impl Iterator<Item = &Ending> {
        let recent = match fingerprint.kind() {
            FingerprintKind::Request => &self.recent,
            FingerprintKind::Part => &self.recent_of_parts,
        };
        recent.iter().rev().filter(move |ending| ending.fingerprint == fingerprint)
    }

    /// Counts the attempts here that got as far as the request was at a crash. Returns whether the
    /// count rose.
    pub(super) fn count_own(&mut self, own: Reporter, suspect: Suspect, now: Millis) -> bool {
        let fingerprint = suspect.fingerprint;
        let ended = self.recent(fingerprint).filter(|ending| ending.extent.outlasts(suspect));
        let count = ended.take(MAX_COUNT as usize).count() as u32;
        self.merge(EndingCount { fingerprint, reporter: own, count, age: Millis::ZERO }, now)
    }

    /// Merges a count of any gateway. Returns whether the count rose.
    pub(super) fn merge(&mut self, received: EndingCount, now: Millis) -> bool {
        let EndingCount { fingerprint, reporter, count, age } = received;
        let count = count.min(MAX_COUNT);
        let known = self.counts.get(&(fingerprint, reporter)).map_or(0, |(count, _)| *count);
        if count <= known {
            return false;
        }
        let at = Aged { age_at_merge: age, error: Millis::ZERO, merged_at: now };
        self.counts.insert((fingerprint, reporter), (count, at));
        let ranked = self.counts_of(fingerprint).map(|(reporter, (count, _))| (*count, reporter));
        if ranked.clone().count() > MAX_REPORTERS
            && let Some((_, lowest)) = ranked.min()
        {
            self.counts.remove(&(fingerprint, lowest));
            return lowest != reporter;
        }
        true
    }

    fn counts_of(
        &self,
        fingerprint: Fingerprint,
    ) -> impl Iterator<Item = (Reporter, &(u32, Aged))> + Clone {
        let range = (fingerprint, Reporter(u64::MIN))..=(fingerprint, Reporter(u64::MAX));
        self.counts.range(range).map(|((_, reporter), count)| (*reporter, count))
    }

    /// Number of attempts of a request that ended well, at the gateways whose counts are stored. The
    /// count that the platform stores, under [`Reporter::STORED`], is such a sum.
    pub(super) fn total(&self, fingerprint: Fingerprint, now: Millis, ttl: Millis) -> u32 {
        let valid = self.counts_of(fingerprint).filter(|(_, (_, at))| at.age(now) < ttl);
        let (mut stored, mut observed) = (0, 0);
        for (reporter, (count, _)) in valid {
            match reporter {
                Reporter::STORED => stored = *count,
                _ => observed += *count,
            }
        }
        observed.max(stored)
    }

    /// The counts to exchange with other gateways.
    pub(super) fn counts(&self, now: Millis, ttl: Millis) -> impl Iterator<Item = EndingCount> {
        let valid = self.counts.iter().filter(move |(_, (_, at))| at.age(now) < ttl);
        valid.map(move |((fingerprint, reporter), (count, at))| EndingCount {
            fingerprint: *fingerprint,
            reporter: *reporter,
            count: *count,
            age: at.age(now),
        })
    }

    /// Digest of the counts. Two gateways with the same digest have none to exchange.
    pub(super) fn digest(&self, now: Millis, ttl: Millis) -> u64 {
        self.counts(now, ttl).fold(0, |all, one| {
            all ^ hash::score(one.fingerprint.0, &format!("{} {}", one.reporter.0, one.count))
        })
    }

    /// Removes counts that have expired, and the oldest above `max`.
    pub(super) fn remove_expired(&mut self, now: Millis, ttl: Millis, max: usize) {
        self.counts.retain(|_, (_, at)| at.age(now) < ttl);
        while self.counts.len() > max {
            let oldest = self.counts.iter().max_by_key(|(_, (_, at))| at.age(now));
            let Some(key) = oldest.map(|(key, _)| *key) else { break };
            self.counts.remove(&key);
        }
    }
}
