//! Attribution of crashes to requests, or to the parts of prompts that requests share.
//! Input: the crashes with what was at each, and how often each of these ended well. It has no
//! state. Decides which of them are refused, and which are sent one attempt at a time.
//!
//! What was at enough crashes explains them, and they do not count against what else was there. A
//! part counts as there however far requests with it had got: a part that crashes servers does so
//! whatever else the request holds, while other requests with a sound part complete. If one request
//! was at all crashes of a part, the request is the cause, else the part is.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::direct::crashes::Config;
use crate::direct::crashes::coincidence::Coincidences;
use crate::direct::crashes::evidence::Count;
use crate::direct::crashes::evidence::Counts;
use crate::direct::crashes::evidence::Verdict;
use crate::direct::crashes::merged::Merged;
use crate::direct::crashes::report::ServerIncarnation;
use crate::direct::fingerprint::Fingerprint;
use crate::direct::fingerprint::FingerprintKind;

/// What the known crashes are attributed to.
#[derive(Debug, Default)]
pub(super) struct Attribution {
    /// What crashes servers.
    pub(super) culprits: Vec<Fingerprint>,
    /// Parts of which one crashes servers, and the crashes do not tell which. A request with all of
    /// them crashes servers.
    pub(super) combinations: Vec<BTreeSet<Fingerprint>>,
    /// What may crash servers, and whether it is held back after its latest crash. A request that
    /// ends well is not: its next attempt probably clears it.
    pub(super) weak: Vec<(Fingerprint, bool)>,
}

impl Attribution {
    /// Whether something of this was at a crash.
    pub(super) fn explains(&self, crash: &Merged<'_>) -> bool {
        self.culprits.iter().any(|one| crash.was_present(*one))
            || self.combinations.iter().any(|parts| crash.has_all(parts))
    }
}

/// Attributes crashes. `coincidences` is what was there more often than by chance, and `ended_well`
/// returns the number of attempts that ended well.
pub(super) fn attribute(
    merged: &BTreeMap<ServerIncarnation, Merged<'_>>,
    coincidences: &Coincidences,
    ended_well: impl Fn(Fingerprint) -> usize,
    config: &Config,
) -> Attribution {
    let mut by_age: Vec<(&ServerIncarnation, &Merged<'_>)> = merged.iter().collect();
    by_age.sort_by_key(|(server, crash)| (Reverse(crash.age), **server));
    let by_age: Vec<&Merged<'_>> = by_age.into_iter().map(|(_, crash)| crash).collect();
    let mut found =
        Attribution { culprits: coincidences.culprits.clone(), ..Attribution::default() };
    let unexplained = by_age.iter().copied().filter(|crash| !found.explains(crash));
    attribute_to_parts(unexplained.collect(), &ended_well, config, &mut found);
    attribute_to_requests(by_age, &ended_well, config, &mut found);
    found
}

/// Crash by crash from the oldest on. Of several requests at the same crashes, the one with the
/// shortest run time is taken as the cause: the others had usually been there before it.
fn attribute_to_requests(
    by_age: Vec<&Merged<'_>>,
    ended_well: &impl Fn(Fingerprint) -> usize,
    config: &Config,
    found: &mut Attribution,
) {
    let kind = FingerprintKind::Request;
    let mut unexplained: Vec<&Merged<'_>> = Vec::new();
    let mut counts = Counts::new(kind);
    for crash in by_age {
        if found.explains(crash) {
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

/// Whether one request was at all of the crashes of a part. A request is at two of them if it was
/// resumed at a second server before the first was known to have crashed.
fn is_of_one_request(part: Fingerprint, crashes: &[&Merged<'_>]) -> bool {
    let mut with_part = crashes.iter().filter(|crash| crash.has(part));
    let Some(first) = with_part.next() else { return false };
    let mut requests: Vec<Fingerprint> = first.suspects.keys().copied().collect();
    requests.retain(|one| one.kind() == FingerprintKind::Request);
    requests.retain(|one| first.may_be_part_of(part, *one));
    for crash in with_part {
        requests.retain(|one| crash.may_be_part_of(part, *one));
    }
    !requests.is_empty()
}

/// The part at the fewest crashes first, since a part that many requests share is at the crashes of
/// each cause. Parts that were always there with it may be the cause as well: then requests with all
/// of them are refused, and those with one of them are sent one at a time, which clears sound ones.
fn attribute_to_parts(
    mut unexplained: Vec<&Merged<'_>>,
    ended_well: &impl Fn(Fingerprint) -> usize,
    config: &Config,
    found: &mut Attribution,
) {
    let kind = FingerprintKind::Part;
    let mut undecided = BTreeSet::new();
    loop {
        let mut counts = Counts::new(kind);
        unexplained.iter().for_each(|crash| counts.add(crash));
        let verdict =
            |one: Fingerprint, count: &Count| count.verdict(kind, ended_well(one), config);
        let suspects = counts.iter().filter(|(one, it)| {
            verdict(*one, it) == Verdict::Culprit
                && !undecided.contains(one)
                && !is_of_one_request(*one, &unexplained)
        });
        let narrowest = suspects.map(|(one, count)| (count.all(), one)).min();
        let Some((crashes, part)) = narrowest else {
            let weak = counts.iter().filter(|(one, it)| {
                verdict(*one, it) == Verdict::Inconsistent && !is_of_one_request(*one, &unexplained)
            });
            found.weak.extend(weak.map(|(one, _)| (one, false)));
            found.weak.extend(undecided.into_iter().map(|one| (one, false)));
            return;
        };
        let is_sound = |one: Fingerprint| ended_well(one) > 0;
        match cause_with(part, &unexplained, is_sound) {
            PartCause::Certain => found.culprits.push(part),
            PartCause::Undecided
                if crashes >= config.min_part_starts + 2 * config.extra_crashes =>
            {
                found.culprits.push(part);
            }
            PartCause::OneOf(parts) => {
                found.weak.extend(parts.iter().map(|one| (*one, false)));
                found.combinations.push(parts);
            }
            PartCause::Undecided => {
                undecided.insert(part);
                continue;
            }
        }
        unexplained.retain(|crash| !crash.has(part));
    }
}

/// What may have caused the crashes at which a part was.
enum PartCause {
    /// The part.
    Certain,
    /// One of these parts, which were there at all of the crashes.
    OneOf(BTreeSet<Fingerprint>),
    /// The part, or another one at several of the crashes beside further causes.
    Undecided,
}

/// The cause of the crashes at which `part` was, if it is a part. Parts of which a request ended well
/// are not taken for a cause beside it.
fn cause_with(
    part: Fingerprint,
    crashes: &[&Merged<'_>],
    is_sound: impl Fn(Fingerprint) -> bool,
) -> PartCause {
    let mut together: BTreeMap<Fingerprint, usize> = BTreeMap::new();
    let with_part: Vec<&&Merged<'_>> = crashes.iter().filter(|crash| crash.has(part)).collect();
    for one in with_part.iter().flat_map(|crash| crash.parts()) {
        *together.entry(one).or_default() += 1;
    }
    together.retain(|one, _| *one == part || !is_sound(*one));
    let is_repeated = together.values().any(|count| (2..with_part.len()).contains(count));
    together.retain(|_, count| *count == with_part.len());
    if together.len() > 1 {
        PartCause::OneOf(together.into_keys().collect())
    } else if is_repeated {
        PartCause::Undecided
    } else {
        PartCause::Certain
    }
}

/// For how much longer enough crashes at which something was still count.
pub(super) fn time_left(
    one: Fingerprint,
    merged: &BTreeMap<ServerIncarnation, Merged<'_>>,
    config: &Config,
) -> Millis {
    let with_it = merged.values().filter(|crash| crash.was_present(one));
    let at_start = merged.values().filter(|crash| crash.was_at_start(one));
    let left = |ages: &mut Vec<Millis>, enough: usize| {
        ages.sort();
        ages.get(enough - 1).map_or(Millis::ZERO, |age| config.report_ttl - *age)
    };
    let mut all: Vec<Millis> = with_it.map(|crash| crash.age).collect();
    let mut starts: Vec<Millis> = at_start.map(|crash| crash.age).collect();
    match one.kind() {
        FingerprintKind::Part => left(&mut all, config.min_part_starts),
        FingerprintKind::Request => {
            left(&mut all, config.min_crashes).max(left(&mut starts, config.min_starts))
        }
    }
}
