//! Attempts that ended without a crash, as they speak for the requests and parts that were at crashes.
//! Input: attempts that ended here, and counts from other gateways. The state is that of [`Crashes`].
//! Decides which crashes a request or a part did not cause.

use crate::clock::Millis;
use crate::direct::crashes::AttemptCount;
use crate::direct::crashes::Cleared;
use crate::direct::crashes::Crashes;
use crate::direct::crashes::EndingCount;
use crate::direct::crashes::Extent;
use crate::direct::crashes::MergeOutcome;
use crate::direct::crashes::ServiceNumber;
use crate::direct::crashes::Suspect;
use crate::direct::crashes::attribution;
use crate::direct::crashes::coincidence;
use crate::direct::crashes::coincidence::Coincidences;
use crate::direct::crashes::exposure::Ending;
use crate::direct::crashes::merged;
use crate::direct::crashes::merged::Merged;
use crate::direct::fingerprint::Fingerprint;
use crate::direct::fingerprint::FingerprintKind;
use crate::direct::fingerprint::Fingerprints;

impl Crashes {
    /// Records a request that completed at this gateway, suspect or not: reports may be late.
    pub fn record_completed(&mut self, fingerprint: Fingerprint, now: Millis) -> MergeOutcome {
        self.record_ending(Ending { fingerprint, at: now, extent: Extent::Completed }, now)
    }

    /// Records an attempt at this gateway that ended at `at` before its answer was complete, and
    /// whose server answered a request that was sent later.
    pub fn record_survived(
        &mut self,
        fingerprint: Fingerprint,
        extent: Extent,
        at: Millis,
        now: Millis,
    ) -> MergeOutcome {
        self.record_ending(Ending { fingerprint, at, extent }, now)
    }

    fn record_ending(&mut self, ending: Ending, now: Millis) -> MergeOutcome {
        let fingerprint = ending.fingerprint;
        self.exposure.add(ending, self.config.max_endings);
        if !self.is_suspect(fingerprint) {
            return MergeOutcome::Unchanged;
        }
        if ending.extent == Extent::Completed || self.is_cleared_by(ending, now) {
            return self.clear(Cleared { fingerprint, age: now.since(ending.at) }, now);
        }
        self.count_endings(&[fingerprint], now)
    }

    /// Counts an attempt that ended here, whatever came of it, after the server had had it for this time.
    pub fn count_attempt(
        &mut self,
        service: ServiceNumber,
        fingerprints: &Fingerprints,
        lasted: Millis,
    ) {
        self.traffic.count(service, fingerprints, lasted);
    }

    /// Merges a count of another gateway; it is weighed at the next crash.
    pub fn merge_attempt_count(&mut self, received: AttemptCount, now: Millis) {
        if received.reporter != self.own && received.age < self.config.report_ttl {
            self.traffic.merge(received, now);
        }
    }

    /// The counts of attempts, for what was at several crashes.
    pub fn attempt_counts(&self, now: Millis) -> Vec<AttemptCount> {
        let weighed = self.coincidences.weighed.keys();
        weighed.flat_map(|one| self.traffic.counts(*one, self.own, now)).collect()
    }

    /// Whether something is sent one attempt at a time because it was at crashes more often than by
    /// chance.
    pub fn is_coincident(&self, fingerprint: Fingerprint) -> bool {
        self.coincidences.weak.iter().any(|(one, _)| *one == fingerprint)
    }

    /// At how many crashes something was, the duration of the attempts with it that ended, and of all attempts
    /// of its service, in spans of 200 ms; `None` if it was at few.
    pub fn coincidence(&self, fingerprint: Fingerprint) -> Option<(usize, u64, u64)> {
        let count = *self.coincidences.weighed.get(&fingerprint)?;
        let (with, of) = self.traffic.of(fingerprint);
        Some((count, with, of))
    }

    /// Determines what was at crashes more often than by chance.
    pub(super) fn update_coincidences(&mut self, now: Millis) {
        let merged = self.merged(now);
        let ended_well = |one| self.endings_of(one, now) as usize;
        let otherwise =
            attribution::attribute(&merged, &Coincidences::default(), ended_well, &self.config);
        let unexplained: Vec<&Merged<'_>> =
            merged.values().filter(|crash| !otherwise.explains(crash)).collect();
        let (traffic, earlier) = (&self.traffic, &self.coincidences);
        self.coincidences = coincidence::weigh(&unexplained, traffic, earlier, &self.config, now);
    }

    /// Whether an attempt that ended here, with those before it, shows that the request caused none
    /// of the crashes so far.
    fn is_cleared_by(&self, ending: Ending, now: Millis) -> bool {
        let mut crashes = self.crashes_with(ending.fingerprint, now);
        crashes.retain(|(age, _)| *age >= now.since(ending.at));
        let suspects = || crashes.iter().map(|(_, suspect)| *suspect);
        if !crashes.is_empty() && suspects().all(|suspect| ending.extent.outlasts(suspect)) {
            return true;
        }
        if ending.fingerprint.kind() == FingerprintKind::Part {
            return false;
        }
        let Some(shortest) = suspects().min_by_key(|one| (one.stage, one.ran)) else {
            return false;
        };
        let since = crashes.iter().map(|(age, _)| *age).min().unwrap_or_default();
        let later = self.exposure.recent(ending.fingerprint);
        let later = later.filter(|one| now.since(one.at) < since && one.extent.outlasts(shortest));
        later.count() >= self.config.min_abandoned
    }

    /// The crashes at which a request was: the age of each, and the request's progress there.
    pub(super) fn crashes_with(
        &self,
        fingerprint: Fingerprint,
        now: Millis,
    ) -> Vec<(Millis, Suspect)> {
        if !self.is_suspect(fingerprint) {
            return Vec::new();
        }
        merged::progress_of(fingerprint, &self.reports, self.config.report_ttl, now)
    }

    /// Number of crashes at which a request, or a part, was.
    pub fn crash_count(&self, fingerprint: Fingerprint, now: Millis) -> usize {
        self.crashes_with(fingerprint, now).len()
    }

    /// Counts the attempts here that ended well, of those requests that were at several crashes.
    pub(super) fn count_endings(
        &mut self,
        fingerprints: &[Fingerprint],
        now: Millis,
    ) -> MergeOutcome {
        let mut has_risen = false;
        for fingerprint in fingerprints {
            if self.exposure.recent(*fingerprint).next().is_none() {
                continue;
            }
            let crashes = self.crashes_with(*fingerprint, now);
            let Some(outlasted) = outlasted(&crashes).filter(|_| crashes.len() > 1) else {
                continue;
            };
            has_risen |= self.exposure.count_own(self.own, outlasted, now);
        }
        self.after_count(has_risen, now)
    }

    /// How long ago an attempt last ended here that shows that a suspect did not cause a crash.
    pub(super) fn last_outlasted(&self, suspect: Suspect, now: Millis) -> Option<Millis> {
        self.exposure.recent(suspect.fingerprint).next()?;
        let crashes = match suspect.fingerprint.kind() {
            FingerprintKind::Request => Vec::new(),
            FingerprintKind::Part => self.crashes_with(suspect.fingerprint, now),
        };
        let outlasted = outlasted(&crashes).unwrap_or(suspect);
        let mut ended = self.exposure.recent(suspect.fingerprint);
        let last = ended.find(|ending| ending.extent.outlasts(outlasted));
        last.map(|ending| now.since(ending.at))
    }

    /// Whether a request with a part, or a request, has completed, as far as that is stored.
    pub fn has_completed(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        let mut recent = self.exposure.recent(fingerprint);
        self.endings_of(fingerprint, now) > 0
            || recent.any(|ending| ending.extent == Extent::Completed)
    }

    /// Merges a count that another gateway reported or the platform stores.
    pub fn merge_ending_count(&mut self, received: EndingCount, now: Millis) -> MergeOutcome {
        let is_valid = received.age < self.config.report_ttl;
        let has_risen = is_valid && self.exposure.merge(received, now);
        self.after_count(has_risen, now)
    }

    fn after_count(&mut self, has_risen: bool, now: Millis) -> MergeOutcome {
        if !has_risen {
            return MergeOutcome::Unchanged;
        }
        let restricted = self.count_restricted();
        self.remove_expired(now);
        self.update_refused(now);
        match restricted == self.count_restricted() {
            true => MergeOutcome::Changed,
            false => MergeOutcome::Urgent,
        }
    }

    /// Number of refusals, combinations, and requests and parts that are sent one at a time.
    fn count_restricted(&self) -> (usize, usize, usize) {
        (self.refused.len(), self.combinations.len(), self.weak_suspects.len())
    }

    /// The number of attempts that ended well at each gateway, of requests that were at several
    /// crashes.
    pub fn ending_counts(&self, now: Millis) -> Vec<EndingCount> {
        self.exposure.counts(now, self.config.report_ttl).collect()
    }

    /// The number of attempts of a request that ended well, at all gateways together.
    pub fn endings_of(&self, fingerprint: Fingerprint, now: Millis) -> u32 {
        self.exposure.total(fingerprint, now, self.config.report_ttl)
    }
}

/// What an attempt has to outlast to count as a good end: for a request, its crash at the earliest
/// point. Requests that share a part differ, so that for a part it is the latest one.
fn outlasted(crashes: &[(Millis, Suspect)]) -> Option<Suspect> {
    let suspects = crashes.iter().map(|(_, suspect)| *suspect);
    let progress = |one: &Suspect| (one.stage, one.ran);
    match crashes.first()?.1.fingerprint.kind() {
        FingerprintKind::Request => suspects.min_by_key(progress),
        FingerprintKind::Part => suspects.max_by_key(progress),
    }
}
