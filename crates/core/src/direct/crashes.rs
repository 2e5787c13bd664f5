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
//! Reports only grow until they expire. So gateways that merge each other's reports in any order
//! reach the same result, and a gateway that receives them late needs nothing but the reports.
//!
//! This protects the servers of a service from a caller that retries such a request: without it,
//! most of them crash and their groups stall.

mod report;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use self::report::Aged;
pub use self::report::Cleared;
pub use self::report::Crash;
pub use self::report::CrashReportId;
pub use self::report::Reporter;
pub use self::report::ServerIncarnation;
pub use self::report::Stage;
pub use self::report::Suspect;
pub use self::report::UNKNOWN_AGE_ERROR;
use crate::clock::Millis;
use crate::direct::fingerprint::Fingerprint;
use crate::util::hash;

/// Thresholds, times and limits of the stored state.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of crashes from which a request is refused. Two can be a coincidence: a stream that
    /// is resumed after a crash can be at the next one. The users' rule counts from the third.
    pub min_crashes: usize,
    /// The same for crashes in [`Stage::Starting`], which lasts for a tenth of the run time.
    pub min_starts: usize,
    /// How long a request is held back after a crash at which it was in [`Stage::Starting`]. A
    /// server of the users' deployment is back within 3.3 s, and its group opens 0.6 s later.
    pub hold_back: Millis,
    /// Upper bound of an extra hold-back that differs between gateways. Otherwise all gateways
    /// would send the requests that arrived meanwhile at the same time, and each would crash one
    /// server. A crash report reaches other gateways within some tens of milliseconds.
    pub hold_back_spread: Millis,
    /// How long a report counts: as long as a person needs to examine what was refused. A request
    /// that still crashes servers afterwards causes three more crashes in each such period.
    pub report_ttl: Millis,
    /// Maximum number of crash reports, and of cleared requests; the oldest are evicted first.
    pub max_crashes: usize,
    /// Maximum number of requests in one report. A server of the users' deployment runs 12 at once.
    pub max_suspects: usize,
    /// Number of the latest completed requests of this gateway that are stored, for the seconds by
    /// which a crash report may be late. A gateway of the users' deployment has 13 a second.
    pub max_completed: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            min_crashes: 3,
            min_starts: 2,
            hold_back: Millis(5_000),
            hold_back_spread: Millis(5_000),
            report_ttl: Millis(600_000),
            max_crashes: 256,
            max_suspects: 32,
            max_completed: 512,
        }
    }
}

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

#[derive(Clone, Debug)]
struct Report {
    at: Aged,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

/// A crash, merged from all reports of it.
#[derive(Clone, Debug)]
struct Merged {
    age: Millis,
    /// Lowest possible age of the first truncated answer at any gateway.
    min_age: Millis,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Merged {
    /// Whether a request was in [`Stage::Starting`] at the crash.
    fn was_at_start(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|one| one.stage == Stage::Starting)
    }
}

/// Error of times that are rounded to milliseconds at both ends.
const ROUNDING: Millis = Millis(2);

/// Number of crashes at which a request was, and its longest run time at one of the servers.
#[derive(Clone, Copy, Default)]
struct Count {
    all: usize,
    at_start: usize,
    longest: Millis,
}

/// The [`Count`] of each request.
#[derive(Default)]
struct Counts(HashMap<Fingerprint, Count>);

impl Counts {
    fn add(&mut self, report: &Merged) {
        for (fingerprint, suspect) in &report.suspects {
            let count = self.0.entry(*fingerprint).or_default();
            count.all += 1;
            count.at_start += usize::from(suspect.stage == Stage::Starting);
            count.longest = count.longest.max(suspect.ran);
        }
    }

    /// Of the requests at a crash that were at enough crashes, those with the shortest run time.
    fn culprits_of(&self, report: &Merged, config: &Config) -> Vec<Fingerprint> {
        let counted = report.suspects.keys().map(|one| (self.0[one], *one));
        let enough =
            |count: &Count| count.all >= config.min_crashes || count.at_start >= config.min_starts;
        let culprits: Vec<(Millis, Fingerprint)> = counted
            .filter(|(count, _)| enough(count))
            .map(|(count, one)| (count.longest, one))
            .collect();
        let shortest = culprits.iter().map(|(longest, _)| *longest).min();
        culprits
            .into_iter()
            .filter(|(longest, _)| Some(*longest) == shortest)
            .map(|(_, one)| one)
            .collect()
    }
}

/// Whether a request that is not refused may be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Quarantine {
    /// No crash speaks against the request.
    Free,
    /// The request was in [`Stage::Starting`] at a crash some time ago: one attempt at a time.
    OneAtATime,
    /// The request is not sent for this much longer.
    HeldBack(Millis),
}

/// All crash reports, completed requests and refusals that one gateway knows.
#[derive(Clone, Debug)]
pub struct Crashes {
    config: Config,
    /// Identifies this gateway process.
    own: Reporter,
    reports: BTreeMap<CrashReportId, Report>,
    cleared: BTreeMap<Fingerprint, Aged>,
    /// The requests that completed here most recently, with the time of each.
    recent: VecDeque<(Fingerprint, Millis)>,
    /// Refused requests, with the end of each refusal.
    refused: HashMap<Fingerprint, Millis>,
    /// Requests that were in [`Stage::Starting`] at a crash; most requests are not among them.
    began_at_crash: BTreeSet<Fingerprint>,
}

impl Crashes {
    /// No crash is known.
    pub fn new(config: Config, own: Reporter) -> Crashes {
        Crashes {
            config,
            own,
            reports: BTreeMap::new(),
            cleared: BTreeMap::new(),
            recent: VecDeque::new(),
            refused: HashMap::new(),
            began_at_crash: BTreeSet::new(),
        }
    }

    /// How much longer a request is refused, if it is.
    pub fn refused_for(&self, fingerprint: Fingerprint, now: Millis) -> Option<Millis> {
        let until = *self.refused.get(&fingerprint)?;
        (until > now).then(|| until.since(now))
    }

    /// Whether a request may be sent. It is held back if it was in [`Stage::Starting`] at a crash
    /// at which no refused request was.
    pub fn quarantine(&self, fingerprint: Fingerprint, now: Millis) -> Quarantine {
        if !self.began_at_crash.contains(&fingerprint) {
            return Quarantine::Free;
        }
        let merged = self.merged(now);
        let unexplained = merged.iter().filter(|(_, crash)| {
            let is_explained =
                crash.suspects.keys().any(|one| self.refused_for(*one, now).is_some());
            crash.was_at_start(fingerprint) && !is_explained
        });
        let left = unexplained.map(|(server, crash)| self.held_for(*server).since(crash.age)).max();
        match left {
            None => Quarantine::Free,
            Some(Millis::ZERO) => Quarantine::OneAtATime,
            Some(left) => Quarantine::HeldBack(left),
        }
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

    /// Whether a request was at a server at the time of its crash.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.reports.values().any(|report| report.suspects.contains_key(&fingerprint))
    }

    /// Whether one more crash that no other request explains would make a request refused.
    pub fn is_one_crash_from_refusal(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        let merged = self.merged(now);
        let with_it = merged.values().filter(|crash| crash.suspects.contains_key(&fingerprint));
        with_it.count() + 1 >= self.config.min_crashes
    }

    /// The crashes at which a request was, without the other requests there and without reporters.
    pub fn crashes_of(&self, fingerprint: Fingerprint, now: Millis) -> Vec<Crash> {
        let merged = self.merged(now);
        let found = merged.iter().filter_map(|(server, crash)| {
            let suspect = *crash.suspects.get(&fingerprint)?;
            // `Waiting` is replaced by `Running`: when the request was sent is not stored.
            let stage =
                if suspect.stage == Stage::Waiting { Stage::Running } else { suspect.stage };
            let suspects = vec![Suspect { stage, ..suspect }];
            Some(Crash {
                server: *server,
                reporter: Reporter(0),
                age: crash.age,
                age_error: UNKNOWN_AGE_ERROR,
                suspects,
            })
        });
        found.collect()
    }

    /// Merges the reports of each crash. Requests may still be sent to a crashed server before the
    /// crash is detected. One that was sent after the first truncated answer at any gateway, and
    /// that got no answer, did not cause the crash.
    fn merged(&self, now: Millis) -> BTreeMap<ServerIncarnation, Merged> {
        let counts = |report: &&Report| report.at.age(now) < self.config.report_ttl;
        let mut merged: BTreeMap<ServerIncarnation, Merged> = BTreeMap::new();
        for ((server, _), report) in self.reports.iter().filter(|(_, report)| counts(report)) {
            let (age, (min_age, _)) = (report.at.age(now), report.at.bounds(now));
            let crash = merged.entry(*server).or_insert_with(|| Merged {
                age,
                min_age,
                suspects: BTreeMap::new(),
            });
            crash.age = crash.age.max(age);
            crash.min_age = crash.min_age.max(min_age);
        }
        for ((server, _), report) in self.reports.iter().filter(|(_, report)| counts(report)) {
            let Some(crash) = merged.get_mut(server) else { continue };
            let (_, max_age) = report.at.bounds(now);
            let was_there = |one: &&Suspect| {
                one.stage > Stage::Waiting || max_age + one.ran + ROUNDING >= crash.min_age
            };
            for suspect in report.suspects.values().filter(was_there) {
                let known = crash.suspects.entry(suspect.fingerprint).or_insert(*suspect);
                *known = known.merge(*suspect);
            }
        }
        merged
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

    /// Records a request that completed at this gateway, suspect or not: reports may be late.
    pub fn record_completed(&mut self, fingerprint: Fingerprint, now: Millis) -> MergeOutcome {
        if self.recent.len() == self.config.max_completed {
            self.recent.pop_front();
        }
        self.recent.push_back((fingerprint, now));
        if !self.is_suspect(fingerprint) {
            return MergeOutcome::Unchanged;
        }
        self.clear(Cleared { fingerprint, age: Millis::ZERO }, now)
    }

    /// Records a crash that was observed here or reported by another gateway.
    pub fn record(&mut self, crash: &Crash, now: Millis) -> MergeOutcome {
        let outcome = self.record_report(crash, now);
        let since = |one: &Suspect| {
            let recent = self.recent.iter().rev().find(|(recent, _)| *recent == one.fingerprint);
            recent.map(|(_, at)| now.since(*at)).filter(|age| *age < crash.age)
        };
        let recent = crash.suspects.iter().filter_map(|one| Some((one.fingerprint, since(one)?)));
        let recent: Vec<(Fingerprint, Millis)> = recent.collect();
        let cleared = recent
            .into_iter()
            .map(|(fingerprint, age)| self.clear(Cleared { fingerprint, age }, now))
            .max();
        cleared.map_or(outcome, |cleared| cleared.max(outcome))
    }

    fn record_report(&mut self, crash: &Crash, now: Millis) -> MergeOutcome {
        if crash.age >= self.config.report_ttl {
            return MergeOutcome::Unchanged;
        }
        let still_suspect = |suspect: &&Suspect| {
            // A request that completed after the crash did not cause it.
            self.cleared.get(&suspect.fingerprint).is_none_or(|at| crash.age < at.age(now))
        };
        let suspects: Vec<Suspect> = crash.suspects.iter().filter(still_suspect).copied().collect();
        let at = Aged { age_at_merge: crash.age, error: crash.age_error, merged_at: now };
        let report = self
            .reports
            .entry((crash.server, crash.reporter))
            .or_insert_with(|| Report { at, suspects: BTreeMap::new() });
        report.at.record(crash.age, crash.age_error, now);
        let mut added = Vec::new();
        for suspect in suspects {
            let fingerprint = suspect.fingerprint;
            let has_room = report.suspects.len() < self.config.max_suspects;
            let known = report.suspects.get(&fingerprint).copied();
            let merged = known.map_or(suspect, |known| known.merge(suspect));
            if known.map_or(has_room, |known| known != merged) {
                report.suspects.insert(fingerprint, merged);
                added.push(fingerprint);
            }
        }
        if report.suspects.is_empty() {
            self.reports.remove(&(crash.server, crash.reporter));
        }
        if added.is_empty() {
            return MergeOutcome::Unchanged;
        }
        self.remove_expired(now);
        self.update_refused(now);
        let repeated = self.repeat_suspects(now);
        let is_held_back = |one: &Fingerprint| self.quarantine(*one, now) != Quarantine::Free;
        let urgent = added.iter().any(|one| repeated.contains(one) || is_held_back(one));
        if urgent { MergeOutcome::Urgent } else { MergeOutcome::Changed }
    }

    /// Records that a request completed, here or elsewhere: it caused no crash before that.
    pub fn clear(&mut self, cleared: Cleared, now: Millis) -> MergeOutcome {
        let Cleared { fingerprint, age } = cleared;
        if age >= self.config.report_ttl {
            return MergeOutcome::Unchanged;
        }
        let was_repeated = self.repeat_suspects(now).contains(&fingerprint)
            || self.quarantine(fingerprint, now) != Quarantine::Free;
        let mut is_removed = false;
        for report in self.reports.values_mut() {
            if report.at.age(now) >= age && report.suspects.remove(&fingerprint).is_some() {
                is_removed = true;
            }
        }
        self.reports.retain(|_, report| !report.suspects.is_empty());
        let at = Aged { age_at_merge: age, error: Millis::ZERO, merged_at: now };
        self.cleared.entry(fingerprint).or_insert(at).record(age, Millis::ZERO, now);
        self.remove_expired(now);
        if !is_removed {
            return MergeOutcome::Unchanged;
        }
        self.update_refused(now);
        if was_repeated { MergeOutcome::Urgent } else { MergeOutcome::Changed }
    }

    /// Removes what has expired, and the oldest entries above the limits.
    pub fn remove_expired(&mut self, now: Millis) {
        let Config { report_ttl, max_crashes, .. } = self.config;
        self.reports.retain(|_, report| report.at.age(now) < report_ttl);
        self.cleared.retain(|_, at| at.age(now) < report_ttl);
        self.refused.retain(|_, until| *until > now);
        while self.reports.len() > max_crashes {
            let oldest = self.reports.iter().max_by_key(|(_, report)| report.at.age(now));
            let Some(id) = oldest.map(|(id, _)| *id) else { break };
            self.reports.remove(&id);
        }
        while self.cleared.len() > max_crashes {
            let oldest = self.cleared.iter().max_by_key(|(_, at)| at.age(now));
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else { break };
            self.cleared.remove(&fingerprint);
        }
    }

    /// Determines which requests are refused, crash by crash from the oldest on. A request that was
    /// at enough crashes explains all crashes at which it was, and they do not count against the
    /// other requests there. Of several requests at the same crashes, the one with the shortest run
    /// time is taken as the cause: the others had usually been there before it.
    fn update_refused(&mut self, now: Millis) {
        let merged = self.merged(now);
        let mut by_age: Vec<(&ServerIncarnation, &Merged)> = merged.iter().collect();
        by_age.sort_by_key(|(server, crash)| (Reverse(crash.age), **server));
        let mut found: Vec<Fingerprint> = Vec::new();
        let mut unexplained: Vec<&Merged> = Vec::new();
        let mut counts = Counts::default();
        for (_, report) in by_age {
            if found.iter().any(|fingerprint| report.suspects.contains_key(fingerprint)) {
                continue;
            }
            unexplained.push(report);
            counts.add(report);
            let culprits = counts.culprits_of(report, &self.config);
            if culprits.is_empty() {
                continue;
            }
            unexplained.retain(|one| !culprits.iter().any(|it| one.suspects.contains_key(it)));
            counts = Counts::default();
            unexplained.iter().for_each(|one| counts.add(one));
            found.extend(culprits);
        }
        let until = |one: &Fingerprint| (*one, now + self.time_left(*one, &merged));
        self.refused = found.iter().map(until).collect();
        let suspects = merged.values().flat_map(|crash| crash.suspects.values());
        let began = suspects.filter(|one| one.stage == Stage::Starting);
        self.began_at_crash = began.map(|one| one.fingerprint).collect();
    }

    /// For how much longer enough crashes at which a request was still count.
    fn time_left(&self, one: Fingerprint, merged: &BTreeMap<ServerIncarnation, Merged>) -> Millis {
        let with_it = merged.values().filter(|crash| crash.suspects.contains_key(&one));
        let at_start = merged.values().filter(|crash| crash.was_at_start(one));
        let left = |ages: &mut Vec<Millis>, enough: usize| {
            ages.sort();
            ages.get(enough - 1).map_or(Millis::ZERO, |age| self.config.report_ttl - *age)
        };
        let of_all = left(&mut with_it.map(|crash| crash.age).collect(), self.config.min_crashes);
        let of_start = left(&mut at_start.map(|crash| crash.age).collect(), self.config.min_starts);
        of_all.max(of_start)
    }

    /// Digest of all known reports. Two gateways with the same digest have none to exchange.
    pub fn digest(&self, now: Millis) -> u64 {
        self.report_digests(now).iter().fold(0, |all, (_, digest)| all ^ digest)
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
            (*id, report.suspects.values().fold(0, |all, one| all ^ number(one)))
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
                reporter: id.1,
                age: report.at.age(now),
                age_error: report.at.error,
                suspects: report.suspects.values().copied().collect(),
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
