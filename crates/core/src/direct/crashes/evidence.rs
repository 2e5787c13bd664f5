//! Evidence that a request, or a part of prompts, crashes servers, from the crashes at which it was.
//! Input: its progress at each crash, and how often it ended well. It has no state.
//! Decides whether the request is refused, sent one attempt at a time, or not restricted.
//!
//! A request that crashes servers does so at about the same point of its run. One that was at a
//! crash by chance may have got to any point, or may have been sent to a server that was down.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::direct::crashes::Config;
use crate::direct::crashes::merged::Merged;
use crate::direct::crashes::report::Stage;
use crate::direct::crashes::report::Suspect;
use crate::direct::fingerprint::Fingerprint;
use crate::direct::fingerprint::FingerprintKind;

/// How much longer than its shortest run a request may have run at crashes that count as the same
/// point of its run: twice as long, since servers differ in speed and load, and a short time more.
pub(super) const MAX_RUN_RATIO: u64 = 2;
pub(super) const MAX_RUN_DIFFERENCE: Millis = Millis(10);

/// What the crashes at which a request was show.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    /// They are too few.
    TooFew,
    /// They are enough, but the request ended well at least as often.
    EndsWell,
    /// They are enough, but some of them may have had another cause.
    Inconsistent,
    /// The request crashes servers.
    Culprit,
}

/// How a request is sent against which there is weak evidence.
#[derive(Clone, Copy, Debug)]
pub(super) struct WeakSuspect {
    /// Whether it is held back after its latest crash. One that ends well is not: its next attempt
    /// probably clears it.
    pub(super) is_held_back: bool,
    /// Until when it is sent one attempt at a time.
    pub(super) until: Millis,
}

/// The progress of a request at the crashes that no other request explains.
#[derive(Clone, Debug, Default)]
pub(super) struct Count {
    progress: Vec<Suspect>,
    /// Age of each of these crashes.
    ages: Vec<Millis>,
}

impl Count {
    fn add(&mut self, suspect: Suspect, age: Millis) {
        self.progress.push(suspect);
        self.ages.push(age);
    }

    /// Number of crashes.
    pub(super) fn all(&self) -> usize {
        self.progress.len()
    }

    /// Number of different times at which the crashes came.
    fn times(&self, same_time: Millis) -> usize {
        let mut ages = self.ages.clone();
        ages.sort();
        let mut times: Vec<Millis> = Vec::new();
        for age in ages {
            if times.last().is_none_or(|first| age.since(*first) >= same_time) {
                times.push(age);
            }
        }
        times.len()
    }

    /// Number of crashes at which it was just beginning.
    pub(super) fn at_start(&self) -> usize {
        self.progress.iter().filter(|one| one.stage == Stage::Starting).count()
    }

    fn longest(&self) -> Millis {
        self.progress.iter().map(|one| one.ran).max().unwrap_or_default()
    }

    /// Maximum number of crashes at the same point of the run.
    fn consistent(&self) -> usize {
        let certain = || self.progress.iter().filter(|one| one.stage > Stage::Doubtful);
        let is_same = |first: &Suspect, other: &Suspect| {
            let longest = Millis(first.ran.0 * MAX_RUN_RATIO) + MAX_RUN_DIFFERENCE;
            other.stage == first.stage && (first.ran..=longest).contains(&other.ran)
        };
        let alike = certain().map(|first| certain().filter(|other| is_same(first, other)).count());
        alike.max().unwrap_or(0)
    }

    /// What the crashes show about a request, or a part of prompts, of which this many attempts ended
    /// well.
    pub(super) fn verdict(
        &self,
        kind: FingerprintKind,
        ended_well: usize,
        config: &Config,
    ) -> Verdict {
        match kind {
            FingerprintKind::Request => self.verdict_on_request(ended_well, config),
            FingerprintKind::Part => self.verdict_on_part(ended_well, config),
        }
    }

    /// No request ends well with a part that crashes servers. Where one did, either others crashed
    /// the servers, or the servers have changed since: the next attempts show which.
    fn verdict_on_part(&self, ended_well: usize, config: &Config) -> Verdict {
        match ended_well {
            0 => self.verdict_on_unproven_part(config),
            _ => self.verdict_on_proven_part(ended_well, config),
        }
    }

    /// Requests are in [`Stage::Starting`] for a short time only. In other stages, a part is refused
    /// after it was at crashes while it was tried.
    fn verdict_on_unproven_part(&self, config: &Config) -> Verdict {
        let Config { min_part_starts, min_part_times, extra_crashes, same_time, .. } = *config;
        let recurs = || {
            self.all() >= min_part_starts + extra_crashes && self.times(same_time) >= min_part_times
        };
        if self.at_start() >= min_part_starts || recurs() {
            Verdict::Culprit
        } else if self.all() >= min_part_starts {
            Verdict::Inconsistent
        } else {
            Verdict::TooFew
        }
    }

    fn verdict_on_proven_part(&self, ended_well: usize, config: &Config) -> Verdict {
        let Config { min_part_starts, extra_crashes, same_time, .. } = *config;
        let counts = [self.at_start(), self.times(same_time)];
        let is_enough = |extra| counts.iter().any(|count| *count >= min_part_starts + extra);
        let outweighs = |extra| {
            counts.iter().any(|count| *count >= min_part_starts + extra && ended_well < *count)
        };
        if !is_enough(0) {
            Verdict::TooFew
        } else if outweighs(2 * extra_crashes) {
            Verdict::Culprit
        } else if outweighs(extra_crashes) {
            Verdict::Inconsistent
        } else {
            Verdict::EndsWell
        }
    }

    fn verdict_on_request(&self, ended_well: usize, config: &Config) -> Verdict {
        let Config { min_crashes, min_starts, extra_crashes, .. } = *config;
        let (all, at_start) = (self.progress.len(), self.at_start());
        let is_enough = |extra| all >= min_crashes + extra || at_start >= min_starts + extra;
        if !is_enough(0) {
            Verdict::TooFew
        } else if is_enough(extra_crashes) {
            Verdict::Culprit
        } else if ended_well >= all {
            Verdict::EndsWell
        } else if at_start >= min_starts || self.consistent() >= min_crashes {
            Verdict::Culprit
        } else {
            Verdict::Inconsistent
        }
    }
}

/// The [`Count`] of each request, or of each part.
pub(super) struct Counts {
    kind: FingerprintKind,
    counts: HashMap<Fingerprint, Count>,
}

impl Counts {
    /// No crashes yet, for fingerprints of one kind.
    pub(super) fn new(kind: FingerprintKind) -> Counts {
        Counts { kind, counts: HashMap::new() }
    }

    pub(super) fn add(&mut self, crash: &Merged<'_>) {
        for (fingerprint, suspect) in &crash.suspects {
            if fingerprint.kind() == self.kind {
                self.counts.entry(*fingerprint).or_default().add(*suspect, crash.age);
            }
        }
    }

    /// Of the requests at a crash that crash servers, those with the shortest run time.
    pub(super) fn culprits_of(
        &self,
        crash: &Merged<'_>,
        verdict: impl Fn(Fingerprint, &Count) -> Verdict,
    ) -> Vec<Fingerprint> {
        let counted = crash.suspects.keys().filter_map(|one| Some((self.counts.get(one)?, *one)));
        let culprits: Vec<(Millis, Fingerprint)> = counted
            .filter(|(count, one)| verdict(*one, count) == Verdict::Culprit)
            .map(|(count, one)| (count.longest(), one))
            .collect();
        let shortest = culprits.iter().map(|(longest, _)| *longest).min();
        culprits
            .into_iter()
            .filter(|(longest, _)| Some(*longest) == shortest)
            .map(|(_, one)| one)
            .collect()
    }

    /// Each of them with its count.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Fingerprint, &Count)> {
        self.counts.iter().map(|(fingerprint, count)| (*fingerprint, count))
    }
}
