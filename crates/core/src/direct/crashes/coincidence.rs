//! Whether something is at crashes more often than chance explains.
//! Input: all that was at each crash, also what ended well since, and how frequent each of these is
//! among the attempts of its service. It has no state.
//! Decides what crashes servers, and what may.
//!
//! A request or a part of prompts may crash its server only sometimes. Attempts that end well say little
//! about it then; what tells it apart is that it was at nearly all crashes, although few attempts have
//! it. What many attempts have is expected at crashes, whatever causes these. The more attempts a server
//! runs, the more is there by chance.
//!
//! Requests with a part that crashes servers have further parts, which others share. So crashes with a
//! less frequent suspect do not count against a more frequent one, nor do those that are explained
//! otherwise.
//!
//! A part that had been in use for some time before its first crash may be sound, and shared by requests
//! with new parts of which each crashes servers. Such a part is not refused for crashes at which a new part
//! returned with another request, unless most attempts with it have these new parts, and it takes more
//! crashes with other new parts. Crashes without any new part count as ever.
//!
//! Each suspect is weighed by the logarithm of a likelihood ratio: of its being at the crashes at which
//! it was with the observed frequency, and by chance. What explains crashes best is taken for the cause
//! of all at which it was; only the others count against the rest.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::clock::Millis;
use crate::direct::crashes::Config;
use crate::direct::crashes::merged::Merged;
use crate::direct::crashes::report::ServiceNumber;
use crate::direct::crashes::traffic::Traffic;
use crate::direct::fingerprint::Fingerprint;
use crate::direct::fingerprint::FingerprintKind;

/// What is at crashes more often than by chance.
#[derive(Clone, Debug, Default)]
pub(super) struct Coincidences {
    /// What crashes servers.
    pub(super) culprits: Vec<Fingerprint>,
    /// Since when each of these has been known.
    pub(super) known_since: HashMap<Fingerprint, Millis>,
    /// What may crash servers, and the age of the latest crash at which it was.
    pub(super) weak: Vec<(Fingerprint, Millis)>,
    /// At how many crashes each was that was at more than one.
    pub(super) weighed: HashMap<Fingerprint, usize>,
}

/// A crash, with all that was at its server.
struct Crashed {
    age: Millis,
    /// Number of the moment at which it came, from the latest one on. Servers that crash at the same
    /// moment may have a cause in common that is none of their requests, as a loss of power is.
    moment: usize,
    present: BTreeSet<Fingerprint>,
    /// Number of requests that were there.
    requests: usize,
    /// How much it counts: many crashes of one moment count as few of different ones.
    weight: f64,
}

/// The crashes of each service, from the latest on.
fn by_service(
    unexplained: &[&Merged<'_>],
    same_time: Millis,
) -> BTreeMap<ServiceNumber, Vec<Crashed>> {
    let known = unexplained.iter().filter(|crash| crash.service != ServiceNumber::UNKNOWN);
    let mut by_age: Vec<&Merged<'_>> = known.copied().collect();
    by_age.sort_by_key(|crash| crash.age);
    let mut services: BTreeMap<ServiceNumber, Vec<Vec<&Merged<'_>>>> = BTreeMap::new();
    for crash in by_age {
        let moments = services.entry(crash.service).or_default();
        let is_same = |first: &&Merged<'_>| crash.age.since(first.age) < same_time;
        match moments.last_mut().filter(|last| last.first().is_some_and(is_same)) {
            Some(last) => last.push(crash),
            None => moments.push(vec![crash]),
        }
    }
    let of_moment = |(moment, crashes): (usize, Vec<&Merged<'_>>)| {
        let weight = (MAX_MOMENT_WEIGHT / crashes.len() as f64).min(1.0);
        crashes.into_iter().map(move |crash| crashed(crash, moment, weight)).collect::<Vec<_>>()
    };
    let all = services.into_iter().map(|(service, moments)| {
        (service, moments.into_iter().enumerate().flat_map(of_moment).collect())
    });
    all.collect()
}

fn crashed(crash: &Merged<'_>, moment: usize, weight: f64) -> Crashed {
    let present = crash.present();
    let requests = present.iter().filter(|one| one.kind() == FingerprintKind::Request).count();
    Crashed { age: crash.age, moment, present, requests: requests.max(1), weight }
}

/// Maximum probability of being at a crash by chance: more cannot be told from the counts.
const MAX_CHANCE: f64 = 0.999;

/// How much less the evidence against something counts that all attempts have: the more attempts have
/// it, the more are lost if it is innocent.
const FREQUENCY_PENALTY: f64 = 8.0;

/// What more of the attempts have is not taken for a cause: to refuse it would cost more than crashes do.
const MAX_FREQUENCY: f64 = 0.2;

/// Natural logarithm of how much more likely it must be that a new part has to do with the crashes at which
/// another part was, for these not to count against the other one.
const MIN_RETURNED_LOG_RATIO: f64 = 0.5;

/// The same for it not to be tried.
const MIN_TRIAL_RETURNED_LOG_RATIO: f64 = 1.5;

/// Least share of the attempts with a part that are without the new parts to which crashes are attributed.
const MIN_WITHOUT_NEW: f64 = 0.5;

/// Least number of returns by chance that is assumed.
const MIN_EXPECTED: f64 = 0.01;

/// How much all crashes of one moment count together.
const MAX_MOMENT_WEIGHT: f64 = 2.0;

/// Weighs what was at crashes that are not explained otherwise. `traffic` knows the attempts with it;
/// `earlier` is the result before the latest crash.
pub(super) fn weigh(
    unexplained: &[&Merged<'_>],
    traffic: &Traffic,
    earlier: &Coincidences,
    config: &Config,
    now: Millis,
) -> Coincidences {
    let mut found = Coincidences::default();
    let past = Past { traffic, known_since: &earlier.known_since, now };
    for crashes in by_service(unexplained, config.same_time).into_values() {
        weigh_service(crashes, &past, config, &mut found);
    }
    let since = |one: &Fingerprint| (*one, earlier.known_since.get(one).copied().unwrap_or(now));
    found.known_since = found.culprits.iter().map(since).collect();
    found
}

fn weigh_service(
    mut crashes: Vec<Crashed>,
    past: &Past<'_>,
    config: &Config,
    found: &mut Coincidences,
) {
    let Config { min_coincidences, extra_crashes, .. } = *config;
    if crashes.len() < min_coincidences {
        return;
    }
    let mut counts: HashMap<Fingerprint, usize> = HashMap::new();
    for one in crashes.iter().flat_map(|crash| &crash.present) {
        *counts.entry(*one).or_default() += 1;
    }
    counts.retain(|_, count| *count > 1);
    let is_frequent = |(_, count): &(&Fingerprint, &usize)| **count >= min_coincidences;
    let mut suspects: Vec<Fingerprint> =
        counts.iter().filter(is_frequent).map(|(one, _)| *one).collect();
    // Of what was always there together, requests come first: others share their parts.
    suspects.sort_by_key(|one| (one.kind() == FingerprintKind::Part, *one));
    found.weighed.extend(counts);
    loop {
        let weighed = weigh_suspects(&suspects, &crashes, &found.culprits, past, config);
        let is_enough = |evidence: &Evidence| {
            (evidence.alone >= min_coincidences + extra_crashes
                || evidence.crashes >= config.min_accompanied)
                && evidence.log_ratio >= config.min_culprit_log_ratio
        };
        let mut best: Option<(Fingerprint, Evidence)> = None;
        for (one, evidence) in weighed.iter().filter(|(_, evidence)| is_enough(evidence)) {
            if best.is_none_or(|(_, best)| evidence.log_ratio > best.log_ratio) {
                best = Some((*one, *evidence));
            }
        }
        let Some((culprit, _)) = best else {
            let weak = weighed.into_iter().filter(|(_, evidence)| evidence.is_weak(config));
            found.weak.extend(weak.map(|(one, evidence)| (one, evidence.latest)));
            return;
        };
        found.culprits.push(culprit);
        crashes.retain(|crash| !crash.present.contains(&culprit));
    }
}

/// What is known beside the crashes.
struct Past<'a> {
    traffic: &'a Traffic,
    known_since: &'a HashMap<Fingerprint, Millis>,
    now: Millis,
}

impl Past<'_> {
    fn history(&self, one: Fingerprint) -> History {
        History {
            frequency: frequency(self.traffic.of(one)),
            known_for: self.known_since.get(&one).map(|since| self.now.since(*since)),
        }
    }

    /// Whether a part was in use before the first crash at which it was.
    fn was_in_use(&self, one: Fingerprint) -> bool {
        one.kind() == FingerprintKind::Part && !self.traffic.was_new(one, one)
    }
}

/// What is known of a suspect beside the crashes.
#[derive(Clone, Copy, Debug)]
struct History {
    /// How frequent it is among the attempts of its service.
    frequency: f64,
    /// For how long it has been known to crash servers, if it has.
    known_for: Option<Millis>,
}

/// Weighs the suspects at enough crashes, the least frequent one first: crashes at which one was that may
/// be their cause do not count against more frequent ones.
fn weigh_suspects(
    suspects: &[Fingerprint],
    crashes: &[Crashed],
    culprits: &[Fingerprint],
    past: &Past<'_>,
    config: &Config,
) -> Vec<(Fingerprint, Evidence)> {
    let mut by_frequency: Vec<(History, Fingerprint)> =
        suspects.iter().map(|one| (past.history(*one), *one)).collect();
    // The sort is stable: requests stay before parts.
    by_frequency.sort_by(|one, other| one.0.frequency.total_cmp(&other.0.frequency));
    let mut weighed: Vec<(Fingerprint, Evidence)> = Vec::new();
    let mut rarer: Vec<(f64, Fingerprint)> = Vec::new();
    for (history, one) in by_frequency {
        if history.frequency > MAX_FREQUENCY {
            continue;
        }
        let has_rarer = |crash: &&Crashed| {
            let mut rarer = rarer.iter();
            rarer.any(|(frequency, other)| {
                *frequency < history.frequency && crash.present.contains(other)
            })
        };
        let counted: Vec<&Crashed> = crashes.iter().filter(|crash| !has_rarer(crash)).collect();
        let mut evidence = evidence(one, &counted, history);
        if evidence.is_weak(config) && past.was_in_use(one) {
            let with_it = counted.iter().copied().filter(|crash| crash.present.contains(&one));
            let new = NewParts::at(one, with_it.collect(), culprits, past);
            let beside = |min_log_ratio| new.evidence(one, &counted, history, min_log_ratio);
            let refusal = beside(MIN_RETURNED_LOG_RATIO);
            let trial = beside(MIN_TRIAL_RETURNED_LOG_RATIO);
            evidence = Evidence {
                trial_log_ratio: trial.log_ratio,
                crashes_for_trial: trial.crashes,
                ..refusal
            };
        }
        if evidence.crashes_for_trial < config.min_coincidences {
            continue;
        }
        if evidence.is_weak(config) {
            rarer.push((history.frequency, one));
        }
        weighed.push((one, evidence));
    }
    weighed
}

/// The parts at the crashes of a part that had been in use before, which were new at the first of them.
/// Requests with them may have caused these crashes.
struct NewParts {
    /// Each with the logarithm of how much more likely its returns are than by chance.
    log_ratios: BTreeMap<Fingerprint, f64>,
    /// Duration of the attempts with each.
    with_new: BTreeMap<Fingerprint, u64>,
    /// Duration of the attempts with the part that had been in use, and of those without new ones that
    /// are known to crash servers.
    with_part: u64,
    with_others: u64,
}

impl NewParts {
    fn at(
        one: Fingerprint,
        crashes: Vec<&Crashed>,
        culprits: &[Fingerprint],
        past: &Past<'_>,
    ) -> NewParts {
        let with = |part: Fingerprint| past.traffic.of(part).0;
        let new_culprits = culprits.iter().filter(|part| past.traffic.was_new(**part, one));
        let with_culprits: u64 = new_culprits.map(|part| with(*part)).sum();
        let present: BTreeSet<Fingerprint> =
            crashes.iter().flat_map(|crash| &crash.present).copied().collect();
        let new = present.into_iter().filter(|part| past.traffic.was_new(*part, one));
        let log_ratio = |part| returned_log_ratio(part, &crashes, past.history(part).frequency);
        let log_ratios: BTreeMap<Fingerprint, f64> =
            new.map(|part| (part, log_ratio(part))).collect();
        let with_new = log_ratios.keys().map(|part| (*part, with(*part))).collect();
        NewParts {
            log_ratios,
            with_new,
            with_others: with(one).saturating_sub(with_culprits),
            with_part: with(one),
        }
    }

    /// Whether the part had enough attempts without those that returned: otherwise it cannot be told from
    /// them.
    fn is_told_apart(&self, min_log_ratio: f64) -> bool {
        let returned = self.log_ratios.iter().filter(|(_, it)| **it >= min_log_ratio);
        let with: u64 = returned.filter_map(|(part, _)| self.with_new.get(part)).sum();
        self.with_others.saturating_sub(with) as f64 >= MIN_WITHOUT_NEW * self.with_part as f64
    }

    /// Weighs the part without the crashes at which a new one returned.
    fn evidence(
        &self,
        one: Fingerprint,
        crashes: &[&Crashed],
        history: History,
        min_log_ratio: f64,
    ) -> Evidence {
        if !self.is_told_apart(min_log_ratio) {
            return evidence(one, crashes, history);
        }
        let has_returned = |crash: &&Crashed| {
            let mut log_ratios = crash.present.iter().filter_map(|one| self.log_ratios.get(one));
            log_ratios.any(|log_ratio| *log_ratio >= min_log_ratio)
        };
        let was_at = |crash: &&Crashed| crash.present.contains(&one);
        let is_alone =
            |crash: &&&Crashed| !crash.present.iter().any(|one| self.log_ratios.contains_key(one));
        let counted =
            crashes.iter().copied().filter(|crash| !was_at(crash) || !has_returned(crash));
        let counted: Vec<&Crashed> = counted.collect();
        let alone = counted.iter().filter(|crash| was_at(crash)).filter(is_alone).count();
        Evidence { alone, ..evidence(one, &counted, history) }
    }
}

/// Logarithm of how much more likely it is that a part returns at crashes at which another part was as often
/// as it did, than that it was there with other requests.
fn returned_log_ratio(one: Fingerprint, crashes: &[&Crashed], frequency: f64) -> f64 {
    let Some(first) = crashes.iter().rposition(|crash| crash.present.contains(&one)) else {
        return 0.0;
    };
    let by_chance = |crash: &&Crashed| 1.0 - (1.0 - frequency).powi(crash.requests as i32 - 1);
    let expected: f64 = crashes[..first].iter().map(by_chance).sum();
    let returned = (different_requests(one, crashes) - 1) as f64;
    match returned > expected {
        true => returned * (returned / expected.max(MIN_EXPECTED)).ln() - (returned - expected),
        false => 0.0,
    }
}

/// Number of crashes at which a part was, without those to which a request has come from an earlier one:
/// such a request may have been there each time.
fn different_requests(part: Fingerprint, crashes: &[&Crashed]) -> usize {
    let mut earlier: BTreeSet<Fingerprint> = BTreeSet::new();
    let with_it = crashes.iter().rev().filter(|crash| crash.present.contains(&part));
    let is_different = |crash: &&&Crashed| {
        let requests = crash.present.iter().filter(|one| one.kind() == FingerprintKind::Request);
        let requests: Vec<Fingerprint> = requests.copied().collect();
        let is_different = requests.iter().all(|one| !earlier.contains(one));
        earlier.extend(requests);
        is_different
    };
    with_it.filter(is_different).count()
}

/// How frequent something is among the attempts of its service, by their duration. The attempt at the
/// first crash, before which nothing was counted, counts as well, and one more for what is in flight.
fn frequency((with, of): (u64, u64)) -> f64 {
    (with + 2) as f64 / (of + 2) as f64
}

/// How something was at crashes.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    /// At how many of them it was.
    crashes: usize,
    /// At how many of them no part was that may be the cause because it was new.
    alone: usize,
    /// Age of the latest one.
    latest: Millis,
    /// Logarithm of how much more likely that is if it has to do with the crashes.
    log_ratio: f64,
    /// Number of crashes, and the logarithm, by which it is tried.
    crashes_for_trial: usize,
    trial_log_ratio: f64,
}

impl Evidence {
    fn is_weak(&self, config: &Config) -> bool {
        self.trial_log_ratio >= config.min_weak_log_ratio
    }
}

/// Weighs something by the crashes after the first moment at which it was at one: before, it may not
/// have been sent. Once it is known, it is not sent either: crashes since then, without it, have other
/// causes.
fn evidence(one: Fingerprint, crashes: &[&Crashed], history: History) -> Evidence {
    let History { frequency, known_for } = history;
    let was_at = |crash: &&Crashed| crash.present.contains(&one);
    let all = || crashes.iter().copied();
    let count = all().filter(was_at).count();
    let first = all().rfind(was_at).map_or(0, |crash| crash.moment);
    let latest = all().find(was_at).map_or(Millis::ZERO, |crash| crash.age);
    let may_count =
        |crash: &&Crashed| was_at(crash) || known_for.is_none_or(|age| crash.age >= age);
    let later = || all().filter(|crash| crash.moment < first).filter(may_count);
    let weight = |crash: &Crashed| crash.weight;
    let observed = later().filter(was_at).map(weight).sum::<f64>();
    let observed = observed / later().map(weight).sum::<f64>().max(f64::MIN_POSITIVE);
    let log_ratio = later().map(|crash| {
        let by_chance = 1.0 - (1.0 - frequency).powi(crash.requests as i32);
        let by_chance = by_chance.min(MAX_CHANCE);
        let expected = observed.max(by_chance);
        let ratio = match was_at(&crash) {
            true => expected / by_chance,
            // `observed` is below 1 here.
            false => (1.0 - expected) / (1.0 - by_chance),
        };
        crash.weight * ratio.ln()
    });
    let log_ratio = log_ratio.sum::<f64>() - FREQUENCY_PENALTY * frequency;
    let (crashes_for_trial, trial_log_ratio) = (count, log_ratio);
    Evidence { crashes: count, alone: count, latest, log_ratio, crashes_for_trial, trial_log_ratio }
}
