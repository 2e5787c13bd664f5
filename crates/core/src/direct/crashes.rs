//! Crash reports of a gateway: which requests crash the backend servers that run them.
//! Input: crash reports and completed requests, observed here or received from other gateways.
//! State: both of these. Decides which requests are refused, held back or sent one at a time.
//!
//! One request can crash each server that begins to run it, and can be retried at any gateway under
//! a new id. Each gateway reports which requests were at a server at the time of its crash. All
//! gateways refuse a request that was at several crashes, for a limited time. These crashes are
//! attributed to it, so they do not count against the other requests there. A request that
//! completes at any gateway is cleared.
//!
//! A request that a server was just beginning to run at the time of its crash is held back at once,
//! until the server and its group can be back. If it was the cause, it would otherwise crash
//! another server within a moment and stall another group. Afterwards one gateway after the other
//! sends it again, one attempt at a time. Two such crashes are as strong evidence as three others.
//!
//! A request that is sent often is at several crashes by chance. If it ended well at least as often
//! as it was at crashes, or got to different points of its run there, these are weak evidence: it is
//! sent one attempt at a time, and refused only after further crashes. An attempt that its caller
//! abandoned clears the request too, if the server lived on and the attempt lasted longer than the
//! request had run at its crashes.
//!
//! Requests that differ may share a part of their prompts that crashes servers. Parts are known by
//! fingerprints of their own, and are weighed like requests: see `attribution`.
//!
//! What crashes servers only sometimes is cleared again and again, and is known by being at more
//! crashes than chance explains: see `coincidence`. For that, reports keep what has ended well since.
//!
//! Reports only grow until they expire. So gateways that merge each other's reports in any order
//! reach the same result, and a gateway that receives them late needs nothing but the reports.
//!
//! This protects the servers of a service from a caller that retries such a request: without it,
//! most of them crash and their groups stall.

mod attribution;
mod coincidence;
mod config;
mod endings;
mod evidence;
mod exposure;
mod merged;
mod report;
mod traffic;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use self::attribution::Attribution;
use self::coincidence::Coincidences;
pub use self::config::Config;
use self::evidence::WeakSuspect;
pub use self::exposure::EndingCount;
use self::exposure::Exposure;
pub use self::exposure::Extent;
use self::merged::Merged;
use self::merged::Report;
use self::report::Aged;
pub use self::report::Cleared;
pub use self::report::Crash;
pub use self::report::CrashReportId;
pub use self::report::Reporter;
pub use self::report::ServerIncarnation;
pub use self::report::ServiceNumber;
pub use self::report::Stage;
pub use self::report::Suspect;
pub use self::report::UNKNOWN_AGE_ERROR;
pub use self::traffic::AttemptCount;
use self::traffic::Traffic;
use crate::clock::Millis;
use crate::direct::fingerprint::Fingerprint;
use crate::direct::fingerprint::FingerprintKind;
use crate::direct::fingerprint::Fingerprints;
use crate::util::hash;

/// What a merged report or completion changed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MergeOutcome {
    /// Nothing.
    Unchanged,
    /// Something was new, and can wait for the next gossip round.
    Changed,
    /// A request that is held back, or was at several crashes, was added or cleared: other gateways
    /// are to receive the change at once.
    Urgent,
}

/// Whether a request that is not refused may be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Quarantine {
    /// No crash speaks against the request.
    Free,
    /// The request was in [`Stage::Starting`] at a crash some time ago, or there is weak evidence
    /// against it: one attempt at a time.
    OneAtATime,
    /// The request is not sent for this much longer.
    HeldBack(Millis),
}

/// Parts of prompts that together make a request refused, and until when.
#[derive(Clone, Debug)]
struct Combination {
    parts: BTreeSet<Fingerprint>,
    until: Millis,
}

/// All crash reports, completed requests and refusals that one gateway knows.
#[derive(Clone, Debug)]
pub struct Crashes {
    config: Config,
    /// Identifies this gateway process.
    own: Reporter,
    reports: BTreeMap<CrashReportId, Report>,
    cleared: BTreeMap<Fingerprint, Aged>,
    /// Attempts that ended without a crash.
    exposure: Exposure,
    /// How frequent what was at crashes is.
    traffic: Traffic,
    /// What was at crashes more often than by chance, as of the latest crash.
    coincidences: Coincidences,
    /// Refused requests and parts, with the end of each refusal.
    refused: HashMap<Fingerprint, Millis>,
    /// Parts of which one crashes servers: requests with all of them are refused.
    combinations: Vec<Combination>,
    /// Requests that were in [`Stage::Starting`] at a crash; most requests are not among them.
    began_at_crash: BTreeSet<Fingerprint>,
    /// Requests that were at enough crashes, against which these are weak evidence.
    weak_suspects: HashMap<Fingerprint, WeakSuspect>,
}

impl Crashes {
    /// No crash is known.
    pub fn new(config: Config, own: Reporter) -> Crashes {
        Crashes {
            config,
            own,
            reports: BTreeMap::new(),
            cleared: BTreeMap::new(),
            exposure: Exposure::default(),
            traffic: Traffic::default(),
            coincidences: Coincidences::default(),
            refused: HashMap::new(),
            combinations: Vec::new(),
            began_at_crash: BTreeSet::new(),
            weak_suspects: HashMap::new(),
        }
    }

    /// How much longer a request is refused, if it is: by itself, for a part of its prompt, or for
    /// several parts together.
    pub fn refusal(&self, fingerprints: &Fingerprints, now: Millis) -> Option<Millis> {
        let single = fingerprints.iter().filter_map(|one| self.refused_for(one, now));
        let is_complete = |one: &&Combination| {
            one.until > now && one.parts.iter().all(|part| fingerprints.parts.contains(part))
        };
        let together = self.combinations.iter().filter(is_complete);
        single.chain(together.map(|one| one.until.since(now))).max()
    }

    /// How much longer a request, or each request with a part, is refused, if it is.
    pub fn refused_for(&self, fingerprint: Fingerprint, now: Millis) -> Option<Millis> {
        let until = *self.refused.get(&fingerprint)?;
        (until > now).then(|| until.since(now))
    }

    /// Whether a request may be sent. It is held back if it was in [`Stage::Starting`] at a crash
    /// at which no refused request was.
    pub fn quarantine(&self, fingerprint: Fingerprint, now: Millis) -> Quarantine {
        let weak = self.weak_suspects.get(&fingerprint).filter(|weak| weak.until > now);
        if !self.began_at_crash.contains(&fingerprint) && weak.is_none() {
            return Quarantine::Free;
        }
        let is_request = fingerprint.kind() == FingerprintKind::Request;
        let holds_back_all = weak.is_some_and(|weak| weak.is_held_back);
        let merged = self.merged(now);
        let unexplained = merged.iter().filter(|(_, crash)| {
            let holds_back = match holds_back_all {
                true => crash.suspects.contains_key(&fingerprint),
                false => is_request && crash.was_at_start(fingerprint),
            };
            holds_back && !self.is_explained(crash, now)
        });
        let left = unexplained.map(|(server, crash)| self.held_for(*server).since(crash.age)).max();
        match left {
            None if weak.is_some() => Quarantine::OneAtATime,
            None => Quarantine::Free,
            Some(Millis::ZERO) => Quarantine::OneAtATime,
            Some(left) => Quarantine::HeldBack(left),
        }
    }

    /// Whether a refused request, or refused parts, were at a crash.
    fn is_explained(&self, crash: &Merged<'_>, now: Millis) -> bool {
        crash.suspects.keys().any(|one| self.refused_for(*one, now).is_some())
            || self.is_explained_by_parts(crash, now)
    }

    fn is_explained_by_parts(&self, crash: &Merged<'_>, now: Millis) -> bool {
        crash.parts().any(|one| self.refused_for(one, now).is_some())
            || self.combinations(now).any(|parts| crash.has_all(parts))
            || self.coincidences.culprits.iter().any(|one| crash.was_present(*one))
    }

    /// How long this gateway holds back requests that were starting at a server as it crashed.
    fn held_for(&self, server: ServerIncarnation) -> Millis {
        let Config { hold_back, hold_back_spread, .. } = self.config;
        let offset = hash::score(self.own.0, &server.0.to_string());
        hold_back + Millis(offset % hold_back_spread.0.max(1))
    }

    /// Requests that are refused.
    pub fn refused(&self, now: Millis) -> Vec<Fingerprint> {
        let refused = self.refused.iter().filter(|(_, until)| **until > now);
        refused.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Parts of prompts that together make a request refused.
    pub fn combinations(&self, now: Millis) -> impl Iterator<Item = &BTreeSet<Fingerprint>> {
        let valid = self.combinations.iter().filter(move |one| one.until > now);
        valid.map(|one| &one.parts)
    }

    /// What is sent one attempt at a time, since there is weak evidence against it.
    pub fn tried(&self, now: Millis) -> Vec<Fingerprint> {
        let tried = self.weak_suspects.iter().filter(|(_, weak)| weak.until > now);
        tried.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Whether any crash is known at which something was that has not ended well since.
    pub fn has_reports(&self) -> bool {
        self.reports.values().any(|report| !report.suspects.is_empty())
    }

    /// Whether a request was at a server at the time of its crash.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.reports.values().any(|report| report.suspects.contains_key(&fingerprint))
    }

    /// Whether one more crash that nothing else explains would restrict a request, or requests with a
    /// part.
    pub fn is_one_crash_from_refusal(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        let merged = self.merged(now);
        let with_it = merged.values().filter(|crash| crash.has(fingerprint));
        let enough = match fingerprint.kind() {
            FingerprintKind::Request => self.config.min_crashes,
            FingerprintKind::Part => self.config.min_part_starts,
        };
        with_it.count() + 1 >= enough
    }

    /// Whether a request, or a part, was at so many crashes that it is refused if the crashes are of
    /// different times and nothing else explains them.
    pub fn is_known(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        let Config { min_crashes, min_part_starts, extra_crashes, .. } = self.config;
        let enough = match fingerprint.kind() {
            FingerprintKind::Request => min_crashes,
            FingerprintKind::Part => min_part_starts + extra_crashes,
        };
        let weighed = self.coincidences.weighed.get(&fingerprint).copied();
        self.crash_count(fingerprint, now).max(weighed.unwrap_or_default()) >= enough
    }

    /// The crashes at which a request was, without the other requests there and without reporters.
    pub fn crashes_of(&self, fingerprint: Fingerprint, now: Millis) -> Vec<Crash> {
        let merged = self.merged(now);
        let found = merged.iter().filter_map(|(server, crash)| {
            let outlasted = || {
                let stage = Stage::Running;
                let ran = Millis::ZERO;
                crash.was_present(fingerprint).then_some(Suspect { fingerprint, ran, stage })
            };
            let suspect = crash.suspects.get(&fingerprint).copied().or_else(outlasted)?;
            // `Waiting` is replaced by `Running`: when the request was sent is not stored.
            let stage =
                if suspect.stage == Stage::Waiting { Stage::Running } else { suspect.stage };
            let suspects = vec![Suspect { stage, ..suspect }];
            Some(Crash {
                server: *server,
                service: crash.service,
                reporter: Reporter(0),
                age: crash.age,
                age_error: UNKNOWN_AGE_ERROR,
                suspects,
                outlasted: Vec::new(),
            })
        });
        found.collect()
    }

    fn merged(&self, now: Millis) -> BTreeMap<ServerIncarnation, Merged<'_>> {
        merged::merge(&self.reports, self.config.report_ttl, now)
    }

    /// Requests that were at more than one crash, which a new process would have to detect again.
    pub fn repeat_suspects(&self, now: Millis) -> BTreeSet<Fingerprint> {
        let merged = self.merged(now);
        let mut once = BTreeSet::new();
        let mut more = BTreeSet::new();
        for fingerprint in merged.values().flat_map(|crash| crash.suspects.keys()) {
            if !once.insert(*fingerprint) {
                more.insert(*fingerprint);
            }
        }
        more
    }

    /// What a new process is to know of: restricted parts, requests at more than one crash, and, of
    /// crashes that no part explains, requests in [`Stage::Starting`] and parts with which no request
    /// has completed. These are worth storing from the first crash on, since this process may end before
    /// the next.
    pub fn worth_storing(&self, now: Millis) -> BTreeSet<Fingerprint> {
        let is_restricted = |one: &Fingerprint| {
            self.refused.contains_key(one) || self.weak_suspects.contains_key(one)
        };
        let merged = self.merged(now);
        // A request that was resumed at a second server explains two crashes by itself; they still count
        // for its parts.
        let unexplained = merged.values().filter(|crash| !self.is_explained_by_parts(crash, now));
        let suspects = unexplained.flat_map(|crash| crash.suspects.values());
        let stored = suspects.filter(|one| match one.fingerprint.kind() {
            FingerprintKind::Request => one.stage == Stage::Starting,
            FingerprintKind::Part => !self.has_completed(one.fingerprint, now),
        });
        let mut known = self.repeat_suspects(now);
        known.retain(|one| one.kind() == FingerprintKind::Request || is_restricted(one));
        known.extend(stored.map(|one| one.fingerprint));
        known
    }

    /// Records a crash that was observed here or reported by another gateway.
    pub fn record(&mut self, crash: &Crash, now: Millis) -> MergeOutcome {
        let outcome = self.record_report(crash, now);
        let since = |one: &Suspect| self.last_outlasted(*one, now).filter(|age| *age < crash.age);
        let recent = crash.suspects.iter().filter_map(|one| Some((one.fingerprint, since(one)?)));
        let recent: Vec<(Fingerprint, Millis)> = recent.collect();
        let cleared = recent
            .into_iter()
            .map(|(fingerprint, age)| self.clear(Cleared { fingerprint, age }, now))
            .max();
        let suspects: Vec<Fingerprint> =
            crash.suspects.iter().map(|suspect| suspect.fingerprint).collect();
        let counted = self.count_endings(&suspects, now);
        outcome.max(counted).max(cleared.unwrap_or(outcome))
    }

    fn record_report(&mut self, crash: &Crash, now: Millis) -> MergeOutcome {
        if crash.age >= self.config.report_ttl {
            return MergeOutcome::Unchanged;
        }
        let still_suspect = |suspect: &Suspect| {
            // A request that completed after the crash did not cause it.
            self.cleared.get(&suspect.fingerprint).is_none_or(|at| crash.age < at.age(now))
        };
        let (suspects, outlasted): (Vec<Suspect>, Vec<Suspect>) =
            crash.suspects.iter().copied().partition(still_suspect);
        let outlasted = outlasted.iter().map(|one| one.fingerprint);
        let outlasted: Vec<Fingerprint> =
            outlasted.chain(crash.outlasted.iter().copied()).collect();
        for fingerprint in suspects.iter().map(|one| one.fingerprint).chain(outlasted.clone()) {
            self.traffic.track(fingerprint, crash.service, self.config.max_endings, now);
        }
        let at = Aged { age_at_merge: crash.age, error: crash.age_error, merged_at: now };
        let report = self
            .reports
            .entry((crash.server, crash.reporter))
            .or_insert_with(|| Report::new(at, crash.service));
        report.at.record(crash.age, crash.age_error, now);
        let mut added = Vec::new();
        let mut is_outlasted = false;
        for fingerprint in outlasted {
            let has_room = report.len() < self.config.max_suspects;
            is_outlasted |=
                report.outlast(fingerprint) || (has_room && report.keep_outlasted(fingerprint));
        }
        for suspect in suspects {
            let fingerprint = suspect.fingerprint;
            if report.outlasted.contains(&fingerprint) {
                continue;
            }
            let has_room = report.len() < self.config.max_suspects;
            let known = report.suspects.get(&fingerprint).copied();
            let merged = known.map_or(suspect, |known| known.merge(suspect));
            if known.map_or(has_room, |known| known != merged) {
                report.suspects.insert(fingerprint, merged);
                added.push(fingerprint);
            }
        }
        if report.len() == 0 {
            self.reports.remove(&(crash.server, crash.reporter));
        }
        if added.is_empty() && !is_outlasted {
            return MergeOutcome::Unchanged;
        }
        self.remove_expired(now);
        self.update_coincidences(now);
        self.update_refused(now);
        let repeated = self.repeat_suspects(now);
        let is_held_back = |one: &Fingerprint| match one.kind() {
            FingerprintKind::Request => self.quarantine(*one, now) != Quarantine::Free,
            FingerprintKind::Part => self.weak_suspects.contains_key(one),
        };
        // Most crashes have parts that many requests share.
        let is_proven = |one: &Fingerprint| {
            one.kind() == FingerprintKind::Part && self.has_completed(*one, now)
        };
        let urgent = added
            .iter()
            .any(|one| (repeated.contains(one) && !is_proven(one)) || is_held_back(one));
        if urgent { MergeOutcome::Urgent } else { MergeOutcome::Changed }
    }

    /// Records that a request completed, here or elsewhere: it caused no crash before that.
    pub fn clear(&mut self, cleared: Cleared, now: Millis) -> MergeOutcome {
        let Cleared { fingerprint, age } = cleared;
        if age >= self.config.report_ttl {
            return MergeOutcome::Unchanged;
        }
        let was_urgent = self.is_suspect(fingerprint) && self.is_clearing_urgent(fingerprint, now);
        let mut is_removed = false;
        for report in self.reports.values_mut() {
            is_removed |= report.at.age(now) >= age && report.outlast(fingerprint);
        }
        self.reports.retain(|_, report| report.len() > 0);
        let at = Aged { age_at_merge: age, error: Millis::ZERO, merged_at: now };
        self.cleared.entry(fingerprint).or_insert(at).record(age, Millis::ZERO, now);
        self.remove_expired(now);
        if !is_removed {
            return MergeOutcome::Unchanged;
        }
        self.update_refused(now);
        if was_urgent { MergeOutcome::Urgent } else { MergeOutcome::Changed }
    }

    /// Whether other gateways are to know at once that a suspect has completed. Parts that many requests
    /// share are at most crashes, and are cleared after each.
    fn is_clearing_urgent(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        match fingerprint.kind() {
            FingerprintKind::Request => {
                self.repeat_suspects(now).contains(&fingerprint)
                    || self.quarantine(fingerprint, now) != Quarantine::Free
            }
            FingerprintKind::Part => {
                let is_together = |one: &Combination| one.parts.contains(&fingerprint);
                self.refused.contains_key(&fingerprint)
                    || self.weak_suspects.contains_key(&fingerprint)
                    || self.combinations.iter().any(is_together)
            }
        }
    }

    /// Removes what has expired, and the oldest entries above the limits.
    pub fn remove_expired(&mut self, now: Millis) {
        let Config { report_ttl, max_crashes, .. } = self.config;
        self.exposure.remove_expired(now, report_ttl, max_crashes);
        self.reports.retain(|_, report| report.at.age(now) < report_ttl);
        let reports = &self.reports;
        let is_reported = |one| reports.values().any(|report| report.was_present(one));
        self.traffic.remove_expired(now, report_ttl, max_crashes, is_reported);
        self.cleared.retain(|_, at| at.age(now) < report_ttl);
        self.refused.retain(|_, until| *until > now);
        self.combinations.retain(|one| one.until > now);
        self.weak_suspects.retain(|_, weak| weak.until > now);
        while self.reports.len() > max_crashes {
            let oldest = self.reports.iter().max_by_key(|(_, report)| {
                // All that was there has ended well since: that tells least.
                (report.suspects.is_empty(), report.at.age(now))
            });
            let Some(id) = oldest.map(|(id, _)| *id) else { break };
            self.reports.remove(&id);
        }
        while self.cleared.len() > max_crashes {
            let oldest = self.cleared.iter().max_by_key(|(_, at)| at.age(now));
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else { break };
            self.cleared.remove(&fingerprint);
        }
    }

    /// Determines what is refused, and what is sent one attempt at a time.
    fn update_refused(&mut self, now: Millis) {
        let merged = self.merged(now);
        let ended_well = |one| self.endings_of(one, now) as usize;
        let Attribution { culprits, combinations, weak } =
            attribution::attribute(&merged, &self.coincidences, ended_well, &self.config);
        let until = |one| now + attribution::time_left(one, &merged, &self.config);
        let weak = weak.into_iter().map(|(one, is_held_back)| {
            let until = until(one);
            (one, WeakSuspect { is_held_back, until })
        });
        let tried = self.coincidences.weak.iter().map(|(one, age)| {
            let until = now + self.config.coincidence_ttl.since(*age);
            (*one, WeakSuspect { is_held_back: false, until })
        });
        // What the weighing of single crashes shows lasts longer.
        let weak_suspects = tried.chain(weak).collect();
        let refused = culprits.into_iter().map(|one| (one, until(one))).collect();
        let combinations = combinations.into_iter().map(|parts| {
            let until = parts.iter().map(|one| until(*one)).min().unwrap_or(now);
            Combination { parts, until }
        });
        let combinations = combinations.collect();
        let suspects = merged.values().flat_map(|crash| crash.suspects.values());
        // A part is restricted only by the weighing: most requests may share it.
        let began = suspects.filter(|one| {
            one.stage == Stage::Starting && one.fingerprint.kind() == FingerprintKind::Request
        });
        let began_at_crash = began.map(|one| one.fingerprint).collect();
        self.refused = refused;
        self.combinations = combinations;
        self.weak_suspects = weak_suspects;
        self.began_at_crash = began_at_crash;
    }

    /// Digest of all known reports and counts. Two gateways with the same digest have none to
    /// exchange.
    pub fn digest(&self, now: Millis) -> u64 {
        let endings = self.exposure.digest(now, self.config.report_ttl);
        self.report_digests(now).iter().fold(endings, |all, (_, digest)| all ^ digest)
    }

    /// The known reports, each with a digest of its suspects.
    pub fn report_digests(&self, now: Millis) -> Vec<(CrashReportId, u64)> {
        let current =
            self.reports.iter().filter(|(_, report)| report.at.age(now) < self.config.report_ttl);
        let digest = |(id, report): (&CrashReportId, &Report)| {
            let (server, reporter) = id;
            let number = |one: &Suspect| {
                let Suspect { fingerprint, ran, stage } = one;
                let text = format!("{} {} {} {stage:?}", reporter.0, fingerprint.0, ran.0);
                hash::score(server.0, &text)
            };
            let outlasted = report.outlasted.iter();
            let outlasted =
                outlasted.map(|one| hash::score(server.0, &format!("{} {}", reporter.0, one.0)));
            (
                *id,
                report.suspects.values().map(number).chain(outlasted).fold(0, |all, one| all ^ one),
            )
        };
        current.map(digest).collect()
    }

    /// The reports that a gateway with these lacks, and the ids of those of which it may know more.
    pub fn compare(
        &self,
        known: &[(CrashReportId, u64)],
        now: Millis,
    ) -> (Vec<Crash>, Vec<CrashReportId>) {
        let theirs: BTreeMap<CrashReportId, u64> = known.iter().copied().collect();
        let own: BTreeMap<CrashReportId, u64> = self.report_digests(now).into_iter().collect();
        let lacking = own.iter().filter(|(id, digest)| theirs.get(id) != Some(digest));
        let lacking: Vec<CrashReportId> = lacking.map(|(id, _)| *id).collect();
        let wanted = theirs.iter().filter(|(id, digest)| own.get(id) != Some(digest));
        (self.reports_by_id(&lacking, now), wanted.map(|(id, _)| *id).collect())
    }

    /// The reports with these ids, as far as they are known.
    pub fn reports_by_id(&self, ids: &[CrashReportId], now: Millis) -> Vec<Crash> {
        let found = ids.iter().filter_map(|id| {
            let report = self.reports.get(id)?;
            Some(Crash {
                server: id.0,
                service: report.service,
                reporter: id.1,
                age: report.at.age(now),
                age_error: report.at.error,
                suspects: report.suspects.values().copied().collect(),
                outlasted: report.outlasted.iter().copied().collect(),
            })
        });
        found.collect()
    }

    /// The requests that completed, as far as that is stored.
    pub fn cleared(&self, now: Millis) -> Vec<Cleared> {
        let done = self.cleared.iter();
        done.map(|(fingerprint, at)| Cleared { fingerprint: *fingerprint, age: at.age(now) })
            .collect()
    }
}
