//! Simulated group of ranks that follows the published rules of map orders.
//! Input: orders, and ticks of time. State: report, maps and fencing token of each rank.
//! It decides the reply to each order, and counts passes in which ranks use different maps.
#![allow(dead_code, reason = "each test program uses a part")]

use hooktrestle_core::direct::map_orders::FencedOrder;
use hooktrestle_core::direct::map_orders::Order;
use hooktrestle_core::direct::map_orders::RankReport;
use hooktrestle_core::direct::map_orders::Reply;

/// Ticks that the copy of a map takes.
const COPY_TICKS: u64 = 4;

/// Content of a map, by which maps with the same version differ. Each planned switch has its own
/// content, and 0 is the initial map of groups.
pub type Content = u64;

/// One rank.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rank {
    /// The current state of the rank.
    pub report: RankReport,
    fencing_token: u64,
    newest_version: u64,
    /// Version that is being copied, and the tick in which the copy is complete.
    copying: Option<(u64, u64)>,
    /// Content of the map that is being copied, is prepared or is armed.
    next_content: Content,
    /// Content of the map in use.
    used_content: Content,
}

impl Rank {
    /// Whether this version is being copied, or is prepared or armed.
    fn has(&self, version: u64) -> bool {
        self.report.prepared == Some(version)
            || self.copying.is_some_and(|(copied, _)| copied == version)
    }

    /// Whether an order is in effect already. Ranks compare versions, not maps.
    fn is_in_effect(&self, order: Order) -> bool {
        match order {
            Order::Prepare { version } => self.has(version),
            Order::Arm { version, pass } => self.report.armed == Some((version, pass)),
            Order::Disarm { .. } | Order::Hold { .. } | Order::Go { .. } => false,
        }
    }

    /// Whether an order fits the rank's state.
    fn fits(&self, order: Order) -> bool {
        let report = &self.report;
        match order {
            Order::Prepare { version } => report.armed.is_none() && version > self.newest_version,
            Order::Arm { version, pass } => report.prepared == Some(version) && pass > report.pass,
            Order::Disarm { version } => report.armed.is_some_and(|(armed, _)| armed == version),
            Order::Hold { pass } => report.held.is_none() && pass > report.pass,
            Order::Go { pass } => report.held == Some(pass),
        }
    }

    /// Carries out an order that fits the rank's state.
    fn carry_out(&mut self, order: Order, content: Content, now: u64) {
        let report = &mut self.report;
        match order {
            Order::Prepare { version } => {
                self.newest_version = version;
                report.prepared = None;
                self.copying = Some((version, now + COPY_TICKS));
                self.next_content = content;
            }
            Order::Arm { version, pass } => report.armed = Some((version, pass)),
            Order::Disarm { .. } => report.armed = None,
            Order::Hold { pass } => report.held = Some(pass),
            Order::Go { .. } => report.held = None,
        }
    }
}

/// A group of ranks that follows the published rules of orders.
pub struct Group {
    /// Ticks since the group was created.
    pub now: u64,
    /// The ranks, from rank 0 on.
    pub ranks: Vec<Rank>,
    /// Reports of earlier ticks, the newest last.
    pub history: Vec<Vec<RankReport>>,
    /// Delayed orders: the tick in which each is carried out, its rank, and its map's content.
    pub late_orders: Vec<(u64, usize, FencedOrder, Content)>,
    /// Content of the newest switch that was planned.
    planned: Content,
    /// Passes in which two ranks used different maps.
    pub passes_with_two_maps: u64,
    /// Whether the group has work, without which it makes no passes.
    pub busy: bool,
    /// Whether ranks refuse orders with a lower fencing token than the highest accepted one.
    pub checks_fencing_tokens: bool,
    /// Whether a pass that is held does not begin.
    pub keeps_holds: bool,
}

impl Group {
    /// A group of `ranks` ranks that has work.
    pub fn new(ranks: usize) -> Group {
        let report = RankReport { epoch: 1, open: true, ..RankReport::default() };
        let rank = Rank { report, ..Rank::default() };
        Group {
            now: 0,
            ranks: vec![rank; ranks],
            history: vec![vec![report; ranks]],
            late_orders: Vec::new(),
            planned: 0,
            passes_with_two_maps: 0,
            busy: true,
            checks_fencing_tokens: true,
            keeps_holds: true,
        }
    }

    /// Plans a switch; returns the content of its map, which differs from all earlier ones.
    pub fn plan(&mut self) -> Content {
        self.planned += 1;
        self.planned
    }

    /// Applies an order to a rank and returns its reply; `content` is that of the order's map.
    pub fn order(&mut self, index: usize, fenced: FencedOrder, content: Content) -> Reply {
        let rank = &mut self.ranks[index];
        if fenced.epoch != rank.report.epoch {
            return Reply::Conflict;
        }
        if self.checks_fencing_tokens && fenced.fencing_token < rank.fencing_token {
            return Reply::Fenced;
        }
        if rank.is_in_effect(fenced.order) {
            return Reply::AlreadyInEffect;
        }
        if !rank.fits(fenced.order) {
            return Reply::Conflict;
        }
        rank.carry_out(fenced.order, content, self.now);
        rank.fencing_token = rank.fencing_token.max(fenced.fencing_token);
        Reply::Accepted
    }

    /// Carries out late orders that are due, completes copies, and makes a pass unless it is held.
    pub fn tick(&mut self) {
        self.now += 1;
        let now = self.now;
        let due: Vec<(u64, usize, FencedOrder, Content)> =
            self.late_orders.iter().copied().filter(|(at, ..)| *at <= now).collect();
        self.late_orders.retain(|(at, ..)| *at > now);
        for (_, index, fenced, content) in due {
            self.order(index, fenced, content);
        }
        for rank in &mut self.ranks {
            if let Some((version, at)) = rank.copying
                && at <= now
            {
                rank.copying = None;
                rank.report.prepared = Some(version);
            }
        }
        self.pass();
        self.history.push(self.ranks.iter().map(|rank| rank.report).collect());
    }

    fn pass(&mut self) {
        let next = self.ranks[0].report.pass + 1;
        let is_held = self.ranks.iter().any(|rank| rank.report.held == Some(next));
        if !self.busy || (is_held && self.keeps_holds) {
            return;
        }
        for rank in &mut self.ranks {
            rank.report.pass = next;
            if let Some((version, pass)) = rank.report.armed
                && pass <= next
            {
                rank.report.map = version;
                rank.used_content = rank.next_content;
                rank.report.armed = None;
                rank.report.prepared = None;
            }
        }
        let map = |rank: &Rank| (rank.report.map, rank.used_content);
        if self.ranks.iter().any(|rank| map(rank) != map(&self.ranks[0])) {
            self.passes_with_two_maps += 1;
        }
    }

    /// A rank crashes; the group opens in a new epoch, with the initial map and nothing pending.
    pub fn restart(&mut self) {
        let epoch = self.ranks[0].report.epoch + 1;
        let pass = self.ranks[0].report.pass;
        for rank in &mut self.ranks {
            let report = RankReport { epoch, open: true, pass, ..RankReport::default() };
            *rank = Rank { report, ..Rank::default() };
        }
    }

    /// The report of a rank `lag` ticks ago.
    pub fn report(&self, index: usize, lag: usize) -> RankReport {
        let at = self.history.len().saturating_sub(1 + lag);
        self.history[at][index]
    }

    /// Whether no rank holds a pass.
    pub fn holds_no_pass(&self) -> bool {
        let mut reports = self.ranks.iter().map(|rank| rank.report);
        reports.all(|report| report.held.is_none())
    }
}
