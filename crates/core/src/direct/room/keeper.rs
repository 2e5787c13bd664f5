//! The keeper of a service's room: what all gateways admit, and how occupied the servers are.
//! Input: reports of gateways and of ranks, slots of the servers. State: the newest of each.
//! Decides the level, and the notice that each gateway gets as the reply to its report.
//!
//! Gateways that are alive but have not reported are assumed to be like those that have.

use std::collections::BTreeMap;

use super::GatewayReport;
use super::MAX_REPORTED_ACCOUNTS;
use super::RoomNotice;
use super::ServerList;
use super::URGENCIES;
use super::estimate;
use super::estimate::GroupRoom;
use super::estimate::OpenSlots;
use super::estimate::StreamMeans;
use super::estimate::StreamObjective;
use super::groups::RankReading;
use super::groups::Readings;
use super::report_lifetime;
use crate::clock::Millis;
use crate::direct::crashes::ServerIncarnation;
use crate::direct::level;
use crate::direct::level::Controller;
use crate::direct::level::Demand;
use crate::direct::level::Level;
use crate::direct::level::Room;
use crate::direct::members::IncarnationId;

/// Shortest time between two computations of the level. Reports that arrive between them get the
/// same notice.
const MIN_UPDATE_INTERVAL: Millis = Millis(50);

/// Time for which reports of ranks count after the last read.
const READINGS_LIFETIME: Millis = Millis(1_000);

/// Shortest time between two changes of the level that are logged.
const MIN_CHANGE_INTERVAL: Millis = Millis(1_000);

/// Time constant of the rate at which streams end.
const COMPLETIONS_DECAY_MS: f64 = 300.0;

/// Upper bound of the factor by which reports are scaled for gateways that have not reported: most
/// of the gateways may have sent their reports to another keeper.
const MAX_SCALE: f64 = 8.0;

/// What the keeper of a room has to know beside the reports.
#[derive(Clone, Copy, Debug)]
pub struct KeeperInput<'a> {
    /// Fencing token of its leadership; 0 if it leads no maps.
    pub fencing_token: u64,
    /// Clock that all gateways share.
    pub clock: Millis,
    /// Open servers of the service with their slots.
    pub open_servers: &'a [(ServerIncarnation, OpenSlots)],
    /// Number of gateways that are alive, this one included.
    pub gateways: usize,
    /// The objective for streams of the service.
    pub objective: StreamObjective,
}

/// A change of the level to log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LevelChange {
    /// Requests are refused from now on.
    Closed,
    /// All requests are admitted again.
    Opened,
}

/// State of the room of one service at its keeper.
#[derive(Clone, Debug)]
pub struct RoomKeeper {
    reports: BTreeMap<IncarnationId, (GatewayReport, Millis)>,
    readings: Readings,
    controller: Controller,
    room: Room,
    /// Streams that end per second, smoothed.
    completions_per_s: f64,
    list: ServerList,
    notice: Option<(RoomNotice, Millis)>,
    /// Number of the last notice.
    number: u64,
    /// The last change of the level that was returned, and its time.
    last_change: (LevelChange, Millis),
}

impl RoomKeeper {
    /// A keeper without reports. `number` is higher than that of any notice of an earlier process
    /// of this gateway.
    pub fn new(number: u64) -> RoomKeeper {
        RoomKeeper {
            reports: BTreeMap::new(),
            readings: Readings::default(),
            controller: Controller::new(level::Config::default()),
            room: Room::default(),
            completions_per_s: 0.0,
            list: ServerList::default(),
            notice: None,
            number,
            last_change: (LevelChange::Opened, Millis::ZERO),
        }
    }

    /// Records the report of a gateway.
    pub fn record_report(&mut self, report: GatewayReport, now: Millis) {
        self.reports.insert(report.gateway, (report, now));
    }

    /// Records the reports of one read of all ranks.
    pub fn record_readings(&mut self, readings: &[RankReading], now: Millis) {
        self.readings.record(readings, now);
    }

    /// Whether the next notice is to be computed anew.
    pub fn is_update_due(&self, now: Millis) -> bool {
        let notice = self.notice.as_ref();
        notice.is_none_or(|(_, at)| now.since(*at) >= MIN_UPDATE_INTERVAL)
    }

    /// The room at the last update.
    pub fn room(&self) -> Room {
        self.room
    }

    /// Whether ranks are to be read more often: more than half of the room is taken.
    pub fn is_busy(&self, now: Millis) -> bool {
        let recent = self.notice.as_ref().is_some_and(|(_, at)| now.since(*at) < READINGS_LIFETIME);
        recent && 2.0 * self.room.open > self.room.streams
    }

    /// Computes the next notice; returns a change of the level to log, at most one a second.
    pub fn update(&mut self, input: &KeeperInput<'_>, now: Millis) -> Option<LevelChange> {
        let lifetime = report_lifetime(input.gateways);
        self.reports.retain(|_, (_, at)| now.since(*at) < lifetime);
        let age = self.readings.age(now).filter(|age| *age < READINGS_LIFETIME);
        if age.is_none() {
            self.readings.clear();
        }
        let means = self.means();
        self.smooth_completions(input.gateways, now);
        let groups = self.groups(input, means);
        self.room = self.estimate(input, &groups, means);
        let level = self.controller.update(&self.demand(input.gateways), &self.room, now);
        let (list, occupied) = self.readings.servers();
        self.number += 1;
        let state = match level == Level::open() {
            true => LevelChange::Opened,
            false => LevelChange::Closed,
        };
        let notice = RoomNotice {
            keeper: input.fencing_token,
            number: self.number,
            clock: input.clock,
            level,
            list_number: list.number,
            list: None,
            occupied,
            groups: groups.iter().map(|group| group.state).collect(),
            age: age.unwrap_or_default(),
        };
        self.list = list;
        self.notice = Some((notice, now));
        let (last, at) = self.last_change;
        if state == last || now.since(at) < MIN_CHANGE_INTERVAL {
            return None;
        }
        self.last_change = (state, now);
        Some(state)
    }

    /// The last notice, for a gateway that has the list with this number; `None` before the first
    /// update.
    pub fn notice(&self, known_list: u64, now: Millis) -> Option<RoomNotice> {
        let (notice, at) = self.notice.as_ref()?;
        let since = now.since(*at);
        let has_list = known_list == notice.list_number;
        Some(RoomNotice {
            clock: notice.clock + since,
            list: (!has_list).then(|| self.list.clone()),
            age: notice.age + since,
            ..notice.clone()
        })
    }

    /// Means over all gateways, weighted by their streams.
    fn means(&self) -> StreamMeans {
        let mean = |value: fn(&GatewayReport) -> f64| {
            let known = || self.reports.values().filter(|(report, _)| value(report) > 0.0);
            let weight = |report: &GatewayReport| f64::from(report.open_streams.max(1));
            let total: f64 = known().map(|(report, _)| weight(report)).sum();
            let sum: f64 = known().map(|(report, _)| weight(report) * value(report)).sum();
            if total > 0.0 { sum / total } else { 0.0 }
        };
        StreamMeans { stream_ms: mean(|one| one.stream_ms), first_ms: mean(|one| one.first_ms) }
    }

    /// Factor by which the sums of the reports are multiplied.
    fn scale(&self, gateways: usize) -> f64 {
        let heard = self.reports.len().max(1) as f64;
        (gateways as f64 / heard).clamp(1.0, MAX_SCALE)
    }

    /// Updates the rate at which streams end.
    fn smooth_completions(&mut self, gateways: usize, now: Millis) {
        let ended = self.reports.values().map(|(report, _)| report.per_s(report.ended_streams));
        let per_s = ended.sum::<f64>() * self.scale(gateways);
        let since_ms =
            self.notice.as_ref().map_or(f64::INFINITY, |(_, at)| now.since(*at).0 as f64);
        let weight = 1.0 - (-since_ms / COMPLETIONS_DECAY_MS).exp();
        self.completions_per_s += weight * (per_s - self.completions_per_s);
    }

    fn groups(&self, input: &KeeperInput<'_>, means: StreamMeans) -> Vec<GroupRoom> {
        let mut slots = BTreeMap::new();
        for (server, open) in input.open_servers {
            if let Some(group) = self.readings.group_of(*server) {
                let (slots, without_queue) = slots.entry(group).or_insert((0.0, 0.0));
                *slots += open.streams(means);
                *without_queue += open.streams_without_queue(means);
            }
        }
        let slots_of = |group| slots.get(&group).copied().unwrap_or_default();
        let groups = self.readings.groups();
        groups
            .map(|(id, passes)| estimate::group_room(passes, slots_of(id), &input.objective))
            .collect()
    }

    fn estimate(&self, input: &KeeperInput<'_>, groups: &[GroupRoom], means: StreamMeans) -> Room {
        let ungrouped = input.open_servers.iter();
        let ungrouped = ungrouped.filter(|(server, _)| self.readings.group_of(*server).is_none());
        let ungrouped_slots = ungrouped.map(|(_, open)| open.streams_without_queue(means)).sum();
        let reported: u32 = self.reports.values().map(|(report, _)| report.open_streams).sum();
        // Streams of a gateway whose reports are lost still occupy servers.
        let open = (f64::from(reported) * self.scale(input.gateways))
            .max(f64::from(self.readings.occupied()));
        let completions_per_s = self.completions_per_s;
        let queueable = estimate::queueable(completions_per_s, &input.objective, means);
        let streams = estimate::carried(groups, ungrouped_slots) + queueable;
        Room { streams, open, completions_per_s }
    }

    /// The demand of the last reports. The controller smooths it.
    fn demand(&self, gateways: usize) -> Demand {
        let scale = self.scale(gateways);
        let mut demand = Demand::default();
        let mut accounts = BTreeMap::new();
        for (report, _) in self.reports.values() {
            let per_s = |count| report.per_s(count) * scale;
            for urgency in 0..URGENCIES {
                demand.arrivals_per_s[urgency] += per_s(report.arrivals[urgency]);
            }
            demand.turns_per_s += per_s(report.turns);
            for (account, count) in &report.accounts {
                *accounts.entry(*account).or_insert(0.0) += per_s(*count);
            }
        }
        demand.accounts = accounts.into_iter().collect();
        demand.accounts.sort_by(|(_, one), (_, other)| other.total_cmp(one));
        demand.accounts.truncate(4 * MAX_REPORTED_ACCOUNTS);
        demand
    }
}
