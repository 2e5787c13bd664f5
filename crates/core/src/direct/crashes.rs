//! Which requests crash the servers that run them.
//!
//! One request can crash each server that begins to run it, and come again at any gateway under a new id.
//! All gateways report which requests were at a server as it crashed. A request that was there at several
//! crashes is refused by all of them for a while; what else ran beside it is explained by it. One that ends
//! well anywhere is cleared.
//!
//! One that a server was just beginning to run as it crashed is held back at once, until the server and its group can
//! be back: were it the cause, it would crash another one within a moment, and a group more would stand still. Then
//! it is tried by one gateway after the other, one at a time. A second such crash tells as much as three of others.
//!
//! Reports only grow until they are too old, so gateways that merge each other's in any order come to the
//! same result, and whoever learns late needs no more than the reports.
//!
//! It protects the servers of a service from a caller that repeats such a request: without it most of them crash under
//! one, and their groups stand still.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use crate::clock::Millis;
use crate::direct::fingerprint::Fingerprint;
use crate::util::hash;

/// Bounds of what is remembered.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Crashes from which a request is refused. Two may be chance: a stream that is taken up after a crash may meet
    /// the next one. The users' rule counts from the third.
    pub min_crashes: usize,
    /// The same of crashes at which it was just beginning: servers begin to run a request for a tenth of its time.
    pub min_crashes_at_start: usize,
    /// How long a request is held back after a crash at which it was just beginning. A server of the users is back
    /// within 3.3 s, and its group opens 0.6 s later.
    pub hold_back: Millis,
    /// Up to so much longer, by gateway: what came meanwhile would go everywhere at once, and crash one server for each
    /// gateway. Reports of a crash take some tens of milliseconds.
    pub hold_back_spread: Millis,
    /// How long a report counts. As long as a person takes to look at what was refused; a request that still
    /// crashes servers then does so three times more in each such span.
    pub report_ttl: Millis,
    /// Most reports of crashes that are remembered, and most requests that are remembered as cleared; the oldest go
    /// first.
    pub max_crashes: usize,
    /// Most requests that are remembered of one crash; a server of the users takes 12 at once.
    pub max_suspects: usize,
    /// Requests that ended well last at this gateway and are remembered: those of the seconds in which it may hear of a
    /// crash late. A gateway of the users has 13 a second.
    pub max_completed: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            min_crashes: 3,
            min_crashes_at_start: 2,
            hold_back: Millis(5_000),
            hold_back_spread: Millis(5_000),
            report_ttl: Millis(600_000),
            max_crashes: 256,
            max_suspects: 32,
            max_completed: 512,
        }
    }
}

/// Stands for one life of a backend server, the same at all gateways.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServerIncarnation(pub u64);

impl ServerIncarnation {
    /// Of a server by its name and, where it tells it, when it started.
    pub fn of(id: &str, started_unix_ms: Option<u64>) -> ServerIncarnation {
        ServerIncarnation(hash::score(started_unix_ms.unwrap_or_default(), id))
    }
}

/// Stands for who saw a crash, the same at all gateways.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Reporter(pub u64);

/// A crash as one gateway saw it: what names a report.
pub type CrashReportId = (ServerIncarnation, Reporter);

/// How far a request was at a server as it crashed. Of several that are the same one, the furthest counts: it did no harm
/// until then.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// No answer had begun: the server may have crashed before.
    Waiting,
    /// Its answer had begun, and nothing more had come.
    Starting,
    /// More of its answer had come.
    Running,
}

/// A request that was at a server as it crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How long it had been there then.
    pub ran: Millis,
    /// How far it was.
    pub stage: Stage,
}

impl Suspect {
    fn merge(self, other: Suspect) -> Suspect {
        let (ran, stage) = (self.ran.max(other.ran), self.stage.max(other.stage));
        Suspect { ran, stage, ..self }
    }
}

/// A crash as one gateway saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// The server.
    pub server: ServerIncarnation,
    /// Who saw it.
    pub reporter: Reporter,
    /// Time since its first answer broke off there, as far as the one who tells has heard.
    pub age: Millis,
    /// What was there.
    pub suspects: Vec<Suspect>,
}

/// A request that ended well, as gateways tell each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cleared {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Time since, as far as the one who tells has heard.
    pub age: Millis,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MergeOutcome {
    /// Nothing.
    Unchanged,
    /// Something was not known; it can wait for the next exchange.
    Changed,
    /// A request is held back, or suspected of more than one crash, or of so many no more: all need to know.
    Urgent,
}

/// A time that is told by its age. Not the moment: that may be before this process began, where its clock
/// has no times.
#[derive(Clone, Copy, Debug)]
struct Aged {
    age_then: Millis,
    taken_at: Millis,
}

impl Aged {
    fn age(self, now: Millis) -> Millis {
        self.age_then + now.since(self.taken_at)
    }

    /// Takes the younger: what waited on its way is told too old.
    fn record(&mut self, age: Millis, now: Millis) {
        if age < self.age(now) {
            *self = Aged { age_then: age, taken_at: now };
        }
    }
}

#[derive(Clone, Debug)]
struct Report {
    at: Aged,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

/// A crash by all reports of it.
#[derive(Clone, Debug)]
struct Merged {
    age: Millis,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Merged {
    /// Whether a request was just beginning there.
    fn was_at_start(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|one| one.stage == Stage::Starting)
    }
}

/// How much later than the first answer broke off at any gateway a request may have been sent that was there: ages that
/// gateways tell each other are too high by as long as news took.
const TOLD_LATE: Millis = Millis(250);

/// At how many crashes a request was, and the longest time that it had been at one of the servers.
#[derive(Clone, Copy, Default)]
struct Count {
    all: usize,
    at_start: usize,
    longest: Millis,
}

/// The same of each request.
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

    /// Of those that were at a crash and at enough in all, the ones that never stayed for long.
    fn told_by(&self, report: &Merged, config: &Config) -> Vec<Fingerprint> {
        let counted = report.suspects.keys().map(|one| (self.0[one], *one));
        let enough = |count: &Count| {
            count.all >= config.min_crashes || count.at_start >= config.min_crashes_at_start
        };
        let told: Vec<(Millis, Fingerprint)> = counted
            .filter(|(count, _)| enough(count))
            .map(|(count, one)| (count.longest, one))
            .collect();
        let shortest = told.iter().map(|(longest, _)| *longest).min();
        told.into_iter()
            .filter(|(longest, _)| Some(*longest) == shortest)
            .map(|(_, one)| one)
            .collect()
    }
}

/// Whether a request that is not refused may be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Quarantine {
    /// Nothing is known against it.
    Unrestricted,
    /// It was just beginning at a server as that crashed, some time ago: one at a time.
    OneAtATime,
    /// Not for so much longer.
    HeldBack(Millis),
}

/// Everything that one gateway knows of crashes.
#[derive(Clone, Debug)]
pub struct Crashes {
    config: Config,
    /// Tells this gateway from the others.
    own: Reporter,
    reports: BTreeMap<CrashReportId, Report>,
    cleared: BTreeMap<Fingerprint, Aged>,
    /// Requests that ended well here last, and when.
    well: VecDeque<(Fingerprint, Millis)>,
    /// Requests that are refused, and until when.
    refused: HashMap<Fingerprint, Millis>,
    /// Requests that were just beginning at a crash; most requests are looked up in vain here.
    began_at_crash: BTreeSet<Fingerprint>,
}

impl Crashes {
    /// Nothing is known.
    pub fn new(config: Config, own: Reporter) -> Crashes {
        Crashes {
            config,
            own,
            reports: BTreeMap::new(),
            cleared: BTreeMap::new(),
            well: VecDeque::new(),
            refused: HashMap::new(),
            began_at_crash: BTreeSet::new(),
        }
    }

    /// How much longer a request is refused, if it is.
    pub fn refused_for(&self, fingerprint: Fingerprint, now: Millis) -> Option<Millis> {
        let until = *self.refused.get(&fingerprint)?;
        (until > now).then(|| until.since(now))
    }

    /// Whether a request may be sent: it is held back if it was just beginning at a server as that crashed, and nothing
    /// that is refused was there.
    pub fn quarantine(&self, fingerprint: Fingerprint, now: Millis) -> Quarantine {
        if !self.began_at_crash.contains(&fingerprint) {
            return Quarantine::Unrestricted;
        }
        let merged = self.merged(now);
        let unexplained = merged.iter().filter(|(_, crash)| {
            let is_explained =
                crash.suspects.keys().any(|one| self.refused_for(*one, now).is_some());
            crash.was_at_start(fingerprint) && !is_explained
        });
        let left =
            unexplained.map(|(server, crash)| self.hold_back_time(*server).since(crash.age)).max();
        match left {
            None => Quarantine::Unrestricted,
            Some(Millis::ZERO) => Quarantine::OneAtATime,
            Some(left) => Quarantine::HeldBack(left),
        }
    }

    /// How long this gateway holds back what was beginning at a server as that crashed.
    fn hold_back_time(&self, server: ServerIncarnation) -> Millis {
        let Config { hold_back, hold_back_spread, .. } = self.config;
        let drawn = hash::score(self.own.0, &server.0.to_string());
        hold_back + Millis(drawn % hold_back_spread.0.max(1))
    }

    /// Requests that are refused.
    pub fn refused(&self, now: Millis) -> Vec<Fingerprint> {
        let refused = self.refused.iter().filter(|(_, until)| **until > now);
        refused.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Whether a request was at a server that crashed.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.reports.values().any(|report| report.suspects.contains_key(&fingerprint))
    }

    /// Whether one more crash would make a request refused, if nothing explains it.
    pub fn is_one_crash_from_refusal(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        let merged = self.merged(now);
        let with_it = merged.values().filter(|crash| crash.suspects.contains_key(&fingerprint));
        with_it.count() + 1 >= self.config.min_crashes
    }

    /// The crashes at which a request was, without what ran beside it and without who saw them.
    pub fn crashes_of(&self, fingerprint: Fingerprint, now: Millis) -> Vec<Crash> {
        let merged = self.merged(now);
        let found = merged.iter().filter_map(|(server, crash)| {
            let suspect = *crash.suspects.get(&fingerprint)?;
            // What waited is told as if its answer had begun: when it was sent is not kept.
            let stage =
                if suspect.stage == Stage::Waiting { Stage::Running } else { suspect.stage };
            let suspects = vec![Suspect { stage, ..suspect }];
            Some(Crash { server: *server, reporter: Reporter(0), age: crash.age, suspects })
        });
        found.collect()
    }

    /// The crashes by all reports of each. A server that crashed may take requests for a while before anybody knows; what
    /// was sent after the first answer had broken off there, at whatever gateway, and was not answered, did not
    /// crash it.
    fn merged(&self, now: Millis) -> BTreeMap<ServerIncarnation, Merged> {
        let counts = |report: &&Report| report.at.age(now) < self.config.report_ttl;
        let mut merged: BTreeMap<ServerIncarnation, Merged> = BTreeMap::new();
        for ((server, _), report) in self.reports.iter().filter(|(_, report)| counts(report)) {
            let age = report.at.age(now);
            let crash =
                merged.entry(*server).or_insert_with(|| Merged { age, suspects: BTreeMap::new() });
            crash.age = crash.age.max(age);
        }
        for ((server, _), report) in self.reports.iter().filter(|(_, report)| counts(report)) {
            let Some(crash) = merged.get_mut(server) else { continue };
            let age = report.at.age(now);
            let was_there = |one: &&Suspect| {
                one.stage > Stage::Waiting || age + one.ran + TOLD_LATE >= crash.age
            };
            for suspect in report.suspects.values().filter(was_there) {
                let known = crash.suspects.entry(suspect.fingerprint).or_insert(*suspect);
                *known = known.merge(*suspect);
            }
        }
        merged
    }

    /// Requests that were at more than one crash: what another process would have to find out again.
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

    /// A request has ended well at this gateway. Remembered also where it is not suspected yet: the crash may be
    /// heard of late.
    pub fn record_completed(&mut self, fingerprint: Fingerprint, now: Millis) -> MergeOutcome {
        if self.well.len() == self.config.max_completed {
            self.well.pop_front();
        }
        self.well.push_back((fingerprint, now));
        if !self.is_suspect(fingerprint) {
            return MergeOutcome::Unchanged;
        }
        self.clear(Cleared { fingerprint, age: Millis::ZERO }, now)
    }

    /// Takes a crash that was seen here, or that another gateway tells of.
    pub fn record(&mut self, crash: &Crash, now: Millis) -> MergeOutcome {
        let news = self.record_report(crash, now);
        let since = |one: &Suspect| {
            let well = self.well.iter().rev().find(|(well, _)| *well == one.fingerprint);
            well.map(|(_, at)| now.since(*at)).filter(|age| *age < crash.age)
        };
        let well = crash.suspects.iter().filter_map(|one| Some((one.fingerprint, since(one)?)));
        let well: Vec<(Fingerprint, Millis)> = well.collect();
        let cleared = well
            .into_iter()
            .map(|(fingerprint, age)| self.clear(Cleared { fingerprint, age }, now))
            .max();
        cleared.map_or(news, |cleared| cleared.max(news))
    }

    fn record_report(&mut self, crash: &Crash, now: Millis) -> MergeOutcome {
        if crash.age >= self.config.report_ttl {
            return MergeOutcome::Unchanged;
        }
        let still_suspect = |suspect: &&Suspect| {
            // One that ended well since did not do it.
            self.cleared.get(&suspect.fingerprint).is_none_or(|at| crash.age < at.age(now))
        };
        let suspects: Vec<Suspect> = crash.suspects.iter().filter(still_suspect).copied().collect();
        let at = Aged { age_then: crash.age, taken_at: now };
        let report = self
            .reports
            .entry((crash.server, crash.reporter))
            .or_insert_with(|| Report { at, suspects: BTreeMap::new() });
        report.at.record(crash.age, now);
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
        self.expire(now);
        self.update_refused(now);
        let repeated = self.repeat_suspects(now);
        let is_held_back =
            |one: &Fingerprint| self.quarantine(*one, now) != Quarantine::Unrestricted;
        let urgent = added.iter().any(|one| repeated.contains(one) || is_held_back(one));
        if urgent { MergeOutcome::Urgent } else { MergeOutcome::Changed }
    }

    /// Takes that a request ended well, here or at another gateway: no crash before that was due to it.
    pub fn clear(&mut self, cleared: Cleared, now: Millis) -> MergeOutcome {
        let Cleared { fingerprint, age } = cleared;
        if age >= self.config.report_ttl {
            return MergeOutcome::Unchanged;
        }
        let was_repeated = self.repeat_suspects(now).contains(&fingerprint)
            || self.quarantine(fingerprint, now) != Quarantine::Unrestricted;
        let mut is_news = false;
        for report in self.reports.values_mut() {
            if report.at.age(now) >= age && report.suspects.remove(&fingerprint).is_some() {
                is_news = true;
            }
        }
        self.reports.retain(|_, report| !report.suspects.is_empty());
        let at = Aged { age_then: age, taken_at: now };
        self.cleared.entry(fingerprint).or_insert(at).record(age, now);
        self.expire(now);
        if !is_news {
            return MergeOutcome::Unchanged;
        }
        self.update_refused(now);
        if was_repeated { MergeOutcome::Urgent } else { MergeOutcome::Changed }
    }

    /// Forgets what is too old, and the oldest of what is too much.
    pub fn expire(&mut self, now: Millis) {
        let Config { report_ttl, max_crashes, .. } = self.config;
        self.reports.retain(|_, report| report.at.age(now) < report_ttl);
        self.cleared.retain(|_, at| at.age(now) < report_ttl);
        self.refused.retain(|_, until| *until > now);
        while self.reports.len() > max_crashes {
            let oldest = self.reports.iter().max_by_key(|(_, report)| report.at.age(now));
            let Some(sighting) = oldest.map(|(sighting, _)| *sighting) else { break };
            self.reports.remove(&sighting);
        }
        while self.cleared.len() > max_crashes {
            let oldest = self.cleared.iter().max_by_key(|(_, at)| at.age(now));
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else { break };
            self.cleared.remove(&fingerprint);
        }
    }

    /// Finds out which requests are refused, crash by crash from the oldest on: one that was at enough of them
    /// explains all at which it was, and they do not count for what ran beside it. Of several that were at the
    /// same ones, it is the one that never stayed for long: a request beside it was mostly there before.
    fn update_refused(&mut self, now: Millis) {
        let merged = self.merged(now);
        let mut in_turn: Vec<(&ServerIncarnation, &Merged)> = merged.iter().collect();
        in_turn.sort_by_key(|(server, crash)| (Reverse(crash.age), **server));
        let mut found: Vec<Fingerprint> = Vec::new();
        let mut unexplained: Vec<&Merged> = Vec::new();
        let mut counts = Counts::default();
        for (_, report) in in_turn {
            if found.iter().any(|fingerprint| report.suspects.contains_key(fingerprint)) {
                continue;
            }
            unexplained.push(report);
            counts.add(report);
            let told = counts.told_by(report, &self.config);
            if told.is_empty() {
                continue;
            }
            unexplained.retain(|one| !told.iter().any(|it| one.suspects.contains_key(it)));
            counts = Counts::default();
            unexplained.iter().for_each(|one| counts.add(one));
            found.extend(told);
        }
        let until = |one: &Fingerprint| (*one, now + self.lasts_for(*one, &merged));
        self.refused = found.iter().map(until).collect();
        let suspects = merged.values().flat_map(|crash| crash.suspects.values());
        let began = suspects.filter(|one| one.stage == Stage::Starting);
        self.began_at_crash = began.map(|one| one.fingerprint).collect();
    }

    /// How long a request was at enough crashes that still count.
    fn lasts_for(&self, one: Fingerprint, merged: &BTreeMap<ServerIncarnation, Merged>) -> Millis {
        let with_it = merged.values().filter(|crash| crash.suspects.contains_key(&one));
        let at_start = merged.values().filter(|crash| crash.was_at_start(one));
        let left = |ages: &mut Vec<Millis>, enough: usize| {
            ages.sort();
            ages.get(enough - 1).map_or(Millis::ZERO, |age| self.config.report_ttl - *age)
        };
        let of_all = left(&mut with_it.map(|crash| crash.age).collect(), self.config.min_crashes);
        let of_start =
            left(&mut at_start.map(|crash| crash.age).collect(), self.config.min_crashes_at_start);
        of_all.max(of_start)
    }

    /// Stands for all that is known; two gateways with the same have nothing to tell each other.
    pub fn digest(&self, now: Millis) -> u64 {
        self.report_digests(now).iter().fold(0, |all, (_, digest)| all ^ digest)
    }

    /// The reports that are known, each with a number that stands for what was there.
    pub fn report_digests(&self, now: Millis) -> Vec<(CrashReportId, u64)> {
        let counting =
            self.reports.iter().filter(|(_, report)| report.at.age(now) < self.config.report_ttl);
        let digest = |(sighting, report): (&CrashReportId, &Report)| {
            let (server, reporter) = sighting;
            let number = |one: &Suspect| {
                let Suspect { fingerprint, ran, stage } = one;
                let text = format!("{} {} {} {stage:?}", reporter.0, fingerprint.0, ran.0);
                hash::score(server.0, &text)
            };
            (*sighting, report.suspects.values().fold(0, |all, one| all ^ number(one)))
        };
        counting.map(digest).collect()
    }

    /// What one that knows these reports lacks, and the reports of which it may know more.
    pub fn compare(
        &self,
        known: &[(CrashReportId, u64)],
        now: Millis,
    ) -> (Vec<Crash>, Vec<CrashReportId>) {
        let theirs: BTreeMap<CrashReportId, u64> = known.iter().copied().collect();
        let own: BTreeMap<CrashReportId, u64> = self.report_digests(now).into_iter().collect();
        let lacking = own.iter().filter(|(sighting, digest)| theirs.get(sighting) != Some(digest));
        let lacking: Vec<CrashReportId> = lacking.map(|(sighting, _)| *sighting).collect();
        let wanted = theirs.iter().filter(|(sighting, digest)| own.get(sighting) != Some(digest));
        (self.reports_by_id(&lacking, now), wanted.map(|(sighting, _)| *sighting).collect())
    }

    /// These reports.
    pub fn reports_by_id(&self, sightings: &[CrashReportId], now: Millis) -> Vec<Crash> {
        let found = sightings.iter().filter_map(|sighting| {
            let report = self.reports.get(sighting)?;
            Some(Crash {
                server: sighting.0,
                reporter: sighting.1,
                age: report.at.age(now),
                suspects: report.suspects.values().copied().collect(),
            })
        });
        found.collect()
    }

    /// Requests that ended well.
    pub fn cleared(&self, now: Millis) -> Vec<Cleared> {
        let told = self.cleared.iter();
        told.map(|(fingerprint, at)| Cleared { fingerprint: *fingerprint, age: at.age(now) })
            .collect()
    }
}
