//! Crashes, each merged from the reports of all gateways.
//! Input: reports and the time. It has no state.
//! Decides which requests were at a server at the time of its crash.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::direct::crashes::report::Aged;
use crate::direct::crashes::report::CrashReportId;
use crate::direct::crashes::report::ServerIncarnation;
use crate::direct::crashes::report::ServiceNumber;
use crate::direct::crashes::report::Stage;
use crate::direct::crashes::report::Suspect;
use crate::direct::fingerprint::Fingerprint;
use crate::direct::fingerprint::FingerprintKind;

/// Error of times that are rounded to milliseconds at both ends.
const ROUNDING: Millis = Millis(2);

/// A crash as one gateway observed it.
#[derive(Clone, Debug)]
pub(super) struct Report {
    pub(super) at: Aged,
    pub(super) service: ServiceNumber,
    pub(super) suspects: BTreeMap<Fingerprint, Suspect>,
    /// What was there as well, and has ended well since.
    pub(super) outlasted: BTreeSet<Fingerprint>,
}

impl Report {
    /// A report without entries.
    pub(super) fn new(at: Aged, service: ServiceNumber) -> Report {
        Report { at, service, suspects: BTreeMap::new(), outlasted: BTreeSet::new() }
    }

    /// Number of entries, which is limited.
    pub(super) fn len(&self) -> usize {
        self.suspects.len() + self.outlasted.len()
    }

    /// Whether something was at the server, and may have ended well since.
    pub(super) fn was_present(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint) || self.outlasted.contains(&fingerprint)
    }

    /// Records that something has ended well since; returns whether it was a suspect.
    pub(super) fn outlast(&mut self, fingerprint: Fingerprint) -> bool {
        let was_suspect = self.suspects.remove(&fingerprint).is_some();
        if was_suspect {
            self.keep_outlasted(fingerprint);
        }
        was_suspect
    }

    /// Keeps what has ended well since. Only crashes of a known service are weighed by that.
    pub(super) fn keep_outlasted(&mut self, fingerprint: Fingerprint) -> bool {
        self.service != ServiceNumber::UNKNOWN && self.outlasted.insert(fingerprint)
    }
}

/// A crash, merged from all reports of it.
#[derive(Clone, Debug)]
pub(super) struct Merged<'a> {
    pub(super) age: Millis,
    pub(super) service: ServiceNumber,
    /// Lowest possible age of the first truncated answer at any gateway.
    min_age: Millis,
    pub(super) suspects: BTreeMap<Fingerprint, Suspect>,
    outlasted: Vec<&'a BTreeSet<Fingerprint>>,
}

impl Merged<'_> {
    /// Whether a request was in [`Stage::Starting`] at the crash.
    pub(super) fn was_at_start(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|one| one.stage == Stage::Starting)
    }

    /// All that was at the server, whether or not it has ended well since.
    pub(super) fn present(&self) -> BTreeSet<Fingerprint> {
        let outlasted = self.outlasted.iter().copied().flatten();
        self.suspects.keys().chain(outlasted).copied().collect()
    }

    /// Whether something was at the server, and may have ended well since.
    pub(super) fn was_present(&self, fingerprint: Fingerprint) -> bool {
        self.has(fingerprint) || self.outlasted.iter().any(|one| one.contains(&fingerprint))
    }

    /// Whether something was at the server, and has not ended well since.
    pub(super) fn has(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Whether all of these were.
    pub(super) fn has_all(&self, all: &BTreeSet<Fingerprint>) -> bool {
        all.iter().all(|one| self.has(*one))
    }

    /// The parts of prompts that were.
    pub(super) fn parts(&self) -> impl Iterator<Item = Fingerprint> {
        let all = self.suspects.keys().copied();
        all.filter(|one| one.kind() == FingerprintKind::Part)
    }

    /// Whether a request was there whose prompt may have a part: the furthest request with the part had
    /// got at least as far.
    pub(super) fn may_be_part_of(&self, part: Fingerprint, request: Fingerprint) -> bool {
        let found = self.suspects.get(&part).zip(self.suspects.get(&request));
        found.is_some_and(|(part, request)| part.stage >= request.stage && part.ran >= request.ran)
    }
}

/// Merges the reports of each crash that are younger than `ttl`. Requests may still be sent to a
/// crashed server before the crash is detected. One that was sent after the first truncated answer at
/// any gateway, and that got no answer, did not cause the crash.
pub(super) fn merge(
    reports: &BTreeMap<CrashReportId, Report>,
    ttl: Millis,
    now: Millis,
) -> BTreeMap<ServerIncarnation, Merged<'_>> {
    merge_selected(reports, ttl, now, |report| report.suspects.values())
}

/// The crashes at which something was: the age of each, and its progress there. The cost does not
/// depend on what else was there.
pub(super) fn progress_of(
    fingerprint: Fingerprint,
    reports: &BTreeMap<CrashReportId, Report>,
    ttl: Millis,
    now: Millis,
) -> Vec<(Millis, Suspect)> {
    let merged = merge_selected(reports, ttl, now, |report| report.suspects.get(&fingerprint));
    let found = merged.into_values().filter_map(|crash| {
        let suspect = crash.suspects.get(&fingerprint)?;
        Some((crash.age, *suspect))
    });
    found.collect()
}

fn merge_selected<'a, S: IntoIterator<Item = &'a Suspect>>(
    reports: &'a BTreeMap<CrashReportId, Report>,
    ttl: Millis,
    now: Millis,
    selected: impl Fn(&'a Report) -> S,
) -> BTreeMap<ServerIncarnation, Merged<'a>> {
    let counts = |report: &&Report| report.at.age(now) < ttl;
    let mut merged: BTreeMap<ServerIncarnation, Merged<'a>> = BTreeMap::new();
    for ((server, _), report) in reports.iter().filter(|(_, report)| counts(report)) {
        let (age, (min_age, _)) = (report.at.age(now), report.at.bounds(now));
        let crash = merged.entry(*server).or_insert_with(|| Merged {
            age,
            service: report.service,
            min_age,
            suspects: BTreeMap::new(),
            outlasted: Vec::new(),
        });
        crash.age = crash.age.max(age);
        crash.min_age = crash.min_age.max(min_age);
        crash.service = crash.service.max(report.service);
        crash.outlasted.push(&report.outlasted);
    }
    for ((server, _), report) in reports.iter().filter(|(_, report)| counts(report)) {
        let Some(crash) = merged.get_mut(server) else { continue };
        let (_, max_age) = report.at.bounds(now);
        let was_there = |one: &&Suspect| {
            one.stage > Stage::Waiting || max_age + one.ran + ROUNDING >= crash.min_age
        };
        for suspect in selected(report).into_iter().filter(was_there) {
            let known = crash.suspects.entry(suspect.fingerprint).or_insert(*suspect);
            *known = known.merge(*suspect);
        }
    }
    merged
}
