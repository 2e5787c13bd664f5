//! State of the groups of a service, from the reports of their ranks.
//! Input: reports of ranks. State: the last report of each rank, and the passes of each group.
//! Decides which groups run passes, how long these take, and how occupied each server is.
//!
//! All ranks of a group make each pass together, so the highest pass number of a group counts. A
//! pass that takes longer than the mean counts before it has ended: a group that stalls is noticed
//! by the passes that it does not begin. Reads see whole passes only, two or three at a time, so
//! their mean length is the time of many passes by their number.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::ServerList;
use crate::clock::Millis;
use crate::direct::crashes::ServerIncarnation;

/// Time constant of the means: some reads, since each sees whole passes only.
const DECAY_MS: f64 = 400.0;

/// Time for which the last report of a rank counts. A sidecar that does not answer is skipped for a
/// second.
const READING_LIFETIME: Millis = Millis(2_500);

/// Pace from which a rank is slow.
const SLOW_PACE: f64 = 1.4;

/// Number of the longest passes within the objective after which a group without a new pass is
/// stalled.
const STALL_PASSES: f64 = 3.0;

/// Shortest time without a new pass after which a group is stalled: several reads of reports.
const MIN_STALL_MS: f64 = 360.0;

/// Identifies a group by the hash of its name.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct GroupId(pub u64);

/// The report of one rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankReading {
    /// The server of the rank.
    pub server: ServerIncarnation,
    /// Its group.
    pub group: GroupId,
    /// Epoch of the group.
    pub epoch: u64,
    /// The last pass that has begun.
    pub pass: u64,
    /// Whether the group runs passes.
    pub is_open: bool,
    /// How long the rank's work takes, as a multiple of the usual time.
    pub pace: f64,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub queued: u32,
}

/// The passes of one group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupPasses {
    epoch: u64,
    pass: u64,
    /// When `pass` was first read, and the time of the last read.
    pass_at: Millis,
    read_at: Millis,
    is_open: bool,
    has_slow_rank: bool,
    /// Whether a rank gave no answer to the last read.
    lacks_answer: bool,
    /// Whether requests ran at the last read.
    is_busy: bool,
    /// Number of passes and their duration; older ones weigh less.
    passes: f64,
    span_ms: f64,
    mean_streams: f64,
}

impl GroupPasses {
    /// Mean length of its passes, or the time that the present one has taken so far if that is
    /// longer; 0 if unknown.
    pub fn length_ms(&self) -> f64 {
        if !self.is_busy {
            return 0.0;
        }
        let mean_ms = if self.passes > 0.0 { self.span_ms / self.passes } else { 0.0 };
        mean_ms.max(self.unfinished_ms())
    }

    /// Mean number of requests that ran in the passes.
    pub fn mean_streams(&self) -> f64 {
        self.mean_streams
    }

    /// Whether one of its ranks is slow.
    pub fn has_slow_rank(&self) -> bool {
        self.has_slow_rank
    }

    /// Whether it runs passes, if the longest pass within the objective takes `objective_ms`. A
    /// group with a rank that does not answer is stalled after half the time.
    pub fn is_open(&self, objective_ms: f64) -> bool {
        let stall_ms = (STALL_PASSES * objective_ms).max(MIN_STALL_MS);
        let stall_ms = if self.lacks_answer { stall_ms / 2.0 } else { stall_ms };
        self.is_open && self.unfinished_ms() < stall_ms
    }

    /// Time without a new pass although requests run, as far as it was read.
    fn unfinished_ms(&self) -> f64 {
        if self.is_busy { self.read_at.since(self.pass_at).0 as f64 } else { 0.0 }
    }

    fn record(&mut self, epoch: u64, pass: u64, running: u32, now: Millis) {
        let was_busy = std::mem::replace(&mut self.is_busy, running > 0);
        let is_first = self.read_at == Millis::ZERO;
        self.read_at = now;
        if epoch != self.epoch || is_first {
            (self.epoch, self.pass, self.pass_at) = (epoch, pass, now);
            (self.passes, self.span_ms) = (0.0, 0.0);
            self.mean_streams = f64::from(running);
            return;
        }
        // A group without work makes no passes.
        if !was_busy {
            (self.pass, self.pass_at) = (pass, now);
            return;
        }
        if pass <= self.pass {
            return;
        }
        let span_ms = now.since(self.pass_at).0 as f64;
        let kept = (-span_ms / DECAY_MS).exp();
        self.passes = self.passes * kept + (pass - self.pass) as f64;
        self.span_ms = self.span_ms * kept + span_ms;
        self.mean_streams += (1.0 - kept) * (f64::from(running) - self.mean_streams);
        (self.pass, self.pass_at) = (pass, now);
    }
}

/// Reports of the ranks of a service.
#[derive(Clone, Debug, Default)]
pub struct Readings {
    ranks: BTreeMap<ServerIncarnation, (RankReading, Millis)>,
    groups: BTreeMap<GroupId, GroupPasses>,
    read_at: Option<Millis>,
}

impl Readings {
    /// Records the reports of one read of all ranks.
    pub fn record(&mut self, reports: &[RankReading], now: Millis) {
        if reports.is_empty() {
            return;
        }
        self.read_at = Some(now);
        self.ranks.extend(reports.iter().map(|report| (report.server, (*report, now))));
        self.ranks.retain(|_, (_, at)| now.since(*at) < READING_LIFETIME);
        let present: BTreeSet<GroupId> =
            self.ranks.values().map(|(report, _)| report.group).collect();
        self.groups.retain(|group, _| present.contains(group));
        for group in present {
            self.record_group(group, now);
        }
    }

    fn record_group(&mut self, group: GroupId, now: Millis) {
        let known = self.ranks.values().filter(|(report, _)| report.group == group);
        let running = known.clone().map(|(report, _)| report.running).sum();
        let Some(epoch) = known.clone().map(|(report, _)| report.epoch).max() else { return };
        let newest = || known.clone().filter(|(report, _)| report.epoch == epoch);
        let pass = newest().map(|(report, _)| report.pass).max().unwrap_or_default();
        let fresh = || newest().filter(|(_, at)| *at == now);
        let passes = self.groups.entry(group).or_default();
        if fresh().next().is_some() {
            passes.is_open = fresh().all(|(report, _)| report.is_open);
            passes.has_slow_rank = fresh().any(|(report, _)| report.pace >= SLOW_PACE);
        }
        passes.lacks_answer = known.clone().any(|(_, at)| *at != now);
        passes.record(epoch, pass, running, now);
    }

    /// Time since the last read; `None` before the first one.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.read_at.map(|at| now.since(at))
    }

    /// Forgets all reports: another gateway reads the ranks.
    pub fn clear(&mut self) {
        *self = Readings::default();
    }

    /// All groups with their passes, in the order of [`Readings::servers`].
    pub fn groups(&self) -> impl Iterator<Item = (GroupId, &GroupPasses)> {
        self.groups.iter().map(|(id, passes)| (*id, passes))
    }

    /// The group of a server.
    pub fn group_of(&self, server: ServerIncarnation) -> Option<GroupId> {
        self.ranks.get(&server).map(|(report, _)| report.group)
    }

    /// Requests that run or wait at all ranks.
    pub fn occupied(&self) -> u32 {
        self.ranks.values().map(|(report, _)| report.running + report.queued).sum()
    }

    /// The servers with the index of their groups, and the requests that run or wait at each.
    pub fn servers(&self) -> (ServerList, Vec<u32>) {
        let index: BTreeMap<GroupId, usize> =
            self.groups.keys().enumerate().map(|(index, group)| (*group, index)).collect();
        let listed = self.ranks.iter().filter_map(|(server, (report, _))| {
            Some(((*server, *index.get(&report.group)?), report.running + report.queued))
        });
        let (servers, occupied): (Vec<_>, Vec<u32>) = listed.unzip();
        (ServerList::new(servers), occupied)
    }
}
