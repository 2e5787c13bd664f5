//! One gateway's view of the room of a service.
//! Input: requests for streams, and notices of the keeper. State: counts since the last report,
//! the newest notice. Decides which notices are applied, and what the gateway reports.

use std::collections::HashMap;

use super::AccountId;
use super::GatewayReport;
use super::GroupState;
use super::MAX_REPORTED_ACCOUNTS;
use super::RoomNotice;
use super::ServerList;
use super::URGENCIES;
use crate::clock::Millis;
use crate::direct::level::Gate;
use crate::direct::members::IncarnationId;

/// Number of client accounts that are counted between two reports.
const MAX_COUNTED_ACCOUNTS: usize = 1_024;

/// Time after a request for a stream in which a gateway reports at short intervals.
const ACTIVE_FOR: Millis = Millis(1_000);

/// Requests for streams since the last report.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    by_urgency: [u32; URGENCIES],
    turns: u32,
    /// Streams that had ended at the last report, since the start of the process.
    ended_before: u64,
    accounts: HashMap<AccountId, u32>,
    since: Millis,
    last_at: Option<Millis>,
}

impl Arrivals {
    /// Counts a request. `in_turn` is whether it arrives in its turn after a refusal.
    pub fn record(&mut self, urgency: u8, account: Option<AccountId>, in_turn: bool, now: Millis) {
        self.last_at = Some(now);
        if in_turn {
            self.turns += 1;
            return;
        }
        self.by_urgency[usize::from(urgency).min(URGENCIES - 1)] += 1;
        let Some(account) = account else { return };
        let has_space = self.accounts.len() < MAX_COUNTED_ACCOUNTS;
        if has_space || self.accounts.contains_key(&account) {
            *self.accounts.entry(account).or_default() += 1;
        }
    }

    /// Counts the requests of a report again, since the report was lost.
    pub fn put_back(&mut self, report: &GatewayReport) {
        self.since = self.since - report.span;
        self.turns += report.turns;
        self.ended_before -= u64::from(report.ended_streams);
        for (count, lost) in self.by_urgency.iter_mut().zip(report.arrivals) {
            *count += lost;
        }
        for (account, lost) in &report.accounts {
            *self.accounts.entry(*account).or_default() += lost;
        }
    }

    /// The accounts with the most requests.
    fn largest_accounts(&self) -> Vec<(AccountId, u32)> {
        let mut accounts: Vec<(AccountId, u32)> =
            self.accounts.iter().map(|(account, count)| (*account, *count)).collect();
        accounts.sort_by_key(|(account, count)| (u32::MAX - count, *account));
        accounts.truncate(MAX_REPORTED_ACCOUNTS);
        accounts
    }
}

/// The open streams of a gateway, with their means; 0 if unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamSummary {
    /// Streams that it has admitted and that have not ended.
    pub open: u32,
    /// Streams that have ended since the start of the process.
    pub ended: u64,
    /// Mean duration of a stream.
    pub stream_ms: f64,
    /// Mean time to the first event of a stream.
    pub first_ms: f64,
    /// Mean pause between events plus its mean deviation.
    pub pass_ms: f64,
}

/// The newest notice as a gateway got it, without its level.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Applied {
    keeper: u64,
    number: u64,
    /// Clock of the notice minus that of this process.
    clock_offset_ms: i64,
    at: Millis,
}

/// One gateway's view of the room of a service.
#[derive(Debug, Default)]
pub struct RoomView {
    /// Requests since the last report.
    pub arrivals: Arrivals,
    /// Applies the level to requests.
    pub gate: Gate,
    list: ServerList,
    groups: Vec<GroupState>,
    applied: Option<Applied>,
}

impl RoomView {
    /// Whether the gateway has open streams or got a request for one a short time ago.
    pub fn is_active(&self, open_streams: u32, now: Millis) -> bool {
        open_streams > 0 || self.arrivals.last_at.is_some_and(|at| now.since(at) < ACTIVE_FOR)
    }

    /// Takes the report since the last one.
    pub fn take_report(
        &mut self,
        gateway: IncarnationId,
        streams: &StreamSummary,
        now: Millis,
    ) -> GatewayReport {
        let next = Arrivals {
            since: now,
            last_at: self.arrivals.last_at,
            ended_before: streams.ended,
            ..Arrivals::default()
        };
        let counted = std::mem::replace(&mut self.arrivals, next);
        GatewayReport {
            gateway,
            span: now.since(counted.since),
            open_streams: streams.open,
            ended_streams: (streams.ended - counted.ended_before) as u32,
            arrivals: counted.by_urgency,
            turns: counted.turns,
            accounts: counted.largest_accounts(),
            stream_ms: streams.stream_ms,
            first_ms: streams.first_ms,
            pass_ms: streams.pass_ms,
            known_list: self.list.number,
        }
    }

    /// Applies a notice that took up to `delay` to arrive; returns whether it is the newest. A
    /// notice with a lower token, or of the same token with a lower number, is applied only once
    /// the newest has lapsed.
    pub fn apply(&mut self, notice: &RoomNotice, lifetime: Millis, now: Millis) -> bool {
        let order = (notice.keeper, notice.number);
        let is_superseded = self.applied.is_some_and(|applied| {
            (applied.keeper, applied.number) > order && now.since(applied.at) < lifetime
        });
        if is_superseded {
            return false;
        }
        let clock_offset_ms = notice.clock.0 as i64 - now.0 as i64;
        let (keeper, number) = order;
        self.applied = Some(Applied { keeper, number, clock_offset_ms, at: now });
        if let Some(list) = &notice.list {
            self.list = list.clone();
        }
        self.groups.clone_from(&notice.groups);
        self.gate.apply(notice.level.clone(), notice.clock, lifetime, now);
        true
    }

    /// The list of servers that `notice` refers to, if it is known.
    pub fn list_of(&self, notice: &RoomNotice) -> Option<&ServerList> {
        let is_known = notice.list_number == self.list.number && self.list.number > 0;
        is_known.then_some(&self.list)
    }

    /// State of each group by the newest notice.
    pub fn groups(&self) -> &[GroupState] {
        &self.groups
    }

    /// The clock that all gateways share; that of this process before the first notice.
    pub fn shared_clock(&self, now: Millis) -> Millis {
        let offset_ms = self.applied.map_or(0, |applied| applied.clock_offset_ms);
        Millis(now.0.saturating_add_signed(offset_ms))
    }
}
