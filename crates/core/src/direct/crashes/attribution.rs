//! Attribution of crashes to requests, or to the parts of prompts that requests share.
//! Input: the crashes with what was at each, and how often each of these ended well. It has no
//! state. Decides which of them are refused, and which are sent one attempt at a time.
//!
//! What was at enough crashes explains them, and they do not count against what else was there. A
//! part counts as there if a request with it was just beginning: a part that crashes servers does so
//! whatever else the request holds, while other requests with a sound part complete. If one request
//! was at most of the crashes of a part, the request is the cause, else the part is.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::direct::crashes::Config;
use crate::direct::crashes::Merged;
use crate::direct::crashes::evidence::Count;
use crate::direct::crashes::evidence::Counts;
use crate::direct::crashes::evidence::Verdict;
use crate::direct::crashes::report::ServerIncarnation;
use crate::direct::fingerprint::Fingerprint;
use crate::direct::fingerprint::FingerprintKind;

/// What the known crashes are attributed to.
#[derive(Debug, Default)]
pub(super) struct Attribution {
    /// What crashes servers.
    pub(super) culprits: Vec<Fingerprint>,
    /// What may crash servers, and whether it is held back after its latest crash. A request that
    /// ends well is not: its next attempt probably clears it.
    pub(super) weak: Vec<(Fingerprint, bool)>,
}

/// Attributes crashes. `ended_well` returns the number of attempts that ended well.
pub(super) fn attribute(
    merged: &BTreeMap<ServerIncarnation, Merged>,
    ended_well: impl Fn(Fingerprint) -> usize,
    config: &Config,
) -> Attribution {
    let mut by_age: Vec<(&ServerIncarnation, &Merged)> = merged.iter().collect();
    by_age.sort_by_key(|(server, crash)| (Reverse(crash.age), **server));
    let by_age: Vec<&Merged> = by_age.into_iter().map(|(_, crash)| crash).collect();
    let mut found = Attribution::default();
    attribute_to_parts(by_age.clone(), &ended_well, config, &mut found);
    attribute_to_requests(by_age, &ended_well, config, &mut found);
    found
}

/// Crash by crash from the oldest on. Of several requests at the same crashes, the one with the
/// shortest run time is taken as the cause: the others had usually been there before it.
fn attribute_to_requests(
    by_age: Vec<&Merged>,
    ended_well: &impl Fn(Fingerprint) -> usize,
    config: &Config,
    found: &mut Attribution,
) {
    let kind = FingerprintKind::Request;
    let mut unexplained: Vec<&Merged> = Vec::new();
    let mut counts = Counts::new(kind);
    for crash in by_age {
        if found.culprits.iter().any(|one| crash.suspects.contains_key(one)) {
            continue;
        }
        unexplained.push(crash);
        counts.add(crash);
        let culprits =
            counts.culprits_of(crash, |one, count| count.verdict(kind, ended_well(one), config));
        if culprits.is_empty() {
            continue;
        }
        unexplained.retain(|one| !culprits.iter().any(|it| one.suspects.contains_key(it)));
        counts = Counts::new(kind);
        unexplained.iter().for_each(|one| counts.add(one));
        found.culprits.extend(culprits);
    }
    found.weak.extend(counts.iter().filter_map(|(one, count)| {
        match count.verdict(kind, ended_well(one), config) {
            Verdict::EndsWell => Some((one, false)),
            Verdict::Inconsistent => Some((one, true)),
            Verdict::TooFew | Verdict::Culprit => None,
        }
    }));
}

/// Whether one request was at more than half of the crashes at which a part was just beginning.
fn is_of_one_request(part: Fingerprint, crashes: &[&Merged]) -> bool {
    let mut counts = Counts::new(FingerprintKind::Request);
    let with_part: Vec<&&Merged> = crashes.iter().filter(|it| it.was_at_start(part)).collect();
    with_part.iter().for_each(|crash| counts.add(crash));
    counts.iter().any(|(_, count)| 2 * count.at_start() > with_part.len())
}

/// The part at most crashes first. Another part that was at most of the same crashes, and of which no
/// request ended well either, may be the cause as well: then both are held back and sent one attempt
/// at a time, which clears the sound one.
fn attribute_to_parts(
    mut unexplained: Vec<&Merged>,
    ended_well: &impl Fn(Fingerprint) -> usize,
    config: &Config,
    found: &mut Attribution,
) {
    let kind = FingerprintKind::Part;
    loop {
        let mut counts = Counts::new(kind);
        unexplained.iter().for_each(|crash| counts.add(crash));
        let verdict =
            |one: Fingerprint, count: &Count| count.verdict(kind, ended_well(one), config);
        let suspects = counts.iter().filter(|(one, it)| {
            verdict(*one, it) == Verdict::Culprit && !is_of_one_request(*one, &unexplained)
        });
        let mut suspects: Vec<(usize, Fingerprint)> =
            suspects.map(|(one, count)| (count.at_start(), one)).collect();
        suspects.sort();
        let Some((crashes, leading)) = suspects.pop() else {
            let weak = counts.iter().filter(|(one, it)| verdict(*one, it) == Verdict::Inconsistent);
            found.weak.extend(weak.map(|(one, _)| (one, false)));
            return;
        };
        let with_leading = || unexplained.iter().filter(|crash| crash.was_at_start(leading));
        let is_rival = |one: Fingerprint| {
            2 * with_leading().filter(|it| it.was_at_start(one)).count() > crashes
        };
        let rivals = suspects.into_iter().map(|(_, one)| one).filter(|one| is_rival(*one));
        let candidates: Vec<Fingerprint> = rivals.chain([leading]).collect();
        unexplained.retain(|crash| !crash.was_at_start(leading));
        if candidates.len() == 1 || crashes >= config.min_part_starts + 2 * config.extra_crashes {
            found.culprits.extend(candidates);
        } else {
            found.weak.extend(candidates.into_iter().map(|one| (one, true)));
        }
    }
}

/// For how much longer enough crashes at which something was still count.
pub(super) fn time_left(
    one: Fingerprint,
    merged: &BTreeMap<ServerIncarnation, Merged>,
    config: &Config,
) -> Millis {
    let with_it = merged.values().filter(|crash| crash.suspects.contains_key(&one));
    let at_start = merged.values().filter(|crash| crash.was_at_start(one));
    let left = |ages: &mut Vec<Millis>, enough: usize| {
        ages.sort();
        ages.get(enough - 1).map_or(Millis::ZERO, |age| config.report_ttl - *age)
    };
    let mut starts: Vec<Millis> = at_start.map(|crash| crash.age).collect();
    match one.kind() {
        FingerprintKind::Part => left(&mut starts, config.min_part_starts),
        FingerprintKind::Request => {
            let of_all = left(&mut with_it.map(|crash| crash.age).collect(), config.min_crashes);
            of_all.max(left(&mut starts, config.min_starts))
        }
    }
}
