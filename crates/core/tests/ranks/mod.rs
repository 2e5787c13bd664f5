//! A stand-in for a group of ranks that keeps to the published rules of map orders, tick by tick.
#![allow(dead_code, reason = "each test program uses a part")]

use hooktrestle_core::direct::map_orders::FencedOrder;
use hooktrestle_core::direct::map_orders::Order;
use hooktrestle_core::direct::map_orders::RankReport;
use hooktrestle_core::direct::map_orders::Reply;

/// Ticks that copying a map takes.
const COPY_TICKS: u64 = 4;

/// Tells maps of one version apart: each switch that is planned has a content of its own, and 0 is
/// the map that groups begin with.
pub type Content = u64;

/// One rank.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rank {
    /// Its state at this moment.
    pub report: RankReport,
    fence: u64,
    newest_version: u64,
    /// Version that is copied in, and when that is done.
    copying: Option<(u64, u64)>,
    /// Content of what is copied in, prepared or armed.
    next: Content,
    /// Content of the map in use.
    used: Content,
}

impl Rank {
    /// Whether this version was accepted and waits to be armed, or is.
    fn has(&self, version: u64) -> bool {
        self.report.prepared == Some(version)
            || self.copying.is_some_and(|(copied, _)| copied == version)
    }

    /// Whether what is ordered holds already. Ranks compare versions, not maps.
    fn holds(&self, order: Order) -> bool {
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

    /// Carries out an order that fits.
    fn carry_out(&mut self, order: Order, content: Content, now: u64) {
        let report = &mut self.report;
        match order {
            Order::Prepare { version } => {
                self.newest_version = version;
                report.prepared = None;
                self.copying = Some((version, now + COPY_TICKS));
                self.next = content;
            }
            Order::Arm { version, pass } => report.armed = Some((version, pass)),
            Order::Disarm { .. } => report.armed = None,
            Order::Hold { pass } => report.held = Some(pass),
            Order::Go { .. } => report.held = None,
        }
    }
}

/// A group that keeps to the published rules of orders.
pub struct Group {
    /// Ticks since it was made.
    pub now: u64,
    /// Rank 0 first.
    pub ranks: Vec<Rank>,
    /// Reports of earlier ticks, the newest last.
    pub history: Vec<Vec<RankReport>>,
    /// Orders on their way: the tick in which each is carried out, its rank, and its map's content.
    pub late: Vec<(u64, usize, FencedOrder, Content)>,
    /// Content of the newest switch that was planned.
    planned: Content,
    /// Passes in which two ranks used different maps.
    pub passes_with_two_maps: u64,
    /// Whether the group has work, without which it makes no passes.
    pub busy: bool,
    /// Whether ranks refuse orders with an older fencing token than they have seen.
    pub checks_fences: bool,
}

impl Group {
    /// A group with so many ranks that has work.
    pub fn new(ranks: usize) -> Group {
        let report = RankReport { epoch: 1, open: true, ..RankReport::default() };
        let rank = Rank { report, ..Rank::default() };
        Group {
            now: 0,
            ranks: vec![rank; ranks],
            history: vec![vec![report; ranks]],
            late: Vec::new(),
            planned: 0,
            passes_with_two_maps: 0,
            busy: true,
            checks_fences: true,
        }
    }

    /// Plans a switch, whose map differs from all before it.
    pub fn plan(&mut self) -> Content {
        self.planned += 1;
        self.planned
    }

    /// A rank's reply to an order; `content` is that of the map that it concerns.
    pub fn order(&mut self, index: usize, fenced: FencedOrder, content: Content) -> Reply {
        let rank = &mut self.ranks[index];
        if fenced.epoch != rank.report.epoch {
            return Reply::Conflict;
        }
        if self.checks_fences && fenced.fencing_token < rank.fence {
            return Reply::Fenced;
        }
        if rank.holds(fenced.order) {
            return Reply::AlreadyInEffect;
        }
        if !rank.fits(fenced.order) {
            return Reply::Conflict;
        }
        rank.carry_out(fenced.order, content, self.now);
        rank.fence = rank.fence.max(fenced.fencing_token);
        Reply::Accepted
    }

    /// Carries out late orders that are due, copies, and makes a pass if it may.
    pub fn tick(&mut self) {
        self.now += 1;
        let now = self.now;
        let due: Vec<(u64, usize, FencedOrder, Content)> =
            self.late.iter().copied().filter(|(at, ..)| *at <= now).collect();
        self.late.retain(|(at, ..)| *at > now);
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
        if !self.busy || self.ranks.iter().any(|rank| rank.report.held == Some(next)) {
            return;
        }
        for rank in &mut self.ranks {
            rank.report.pass = next;
            if let Some((version, pass)) = rank.report.armed
                && pass <= next
            {
                rank.report.map = version;
                rank.used = rank.next;
                rank.report.armed = None;
                rank.report.prepared = None;
            }
        }
        let map = |rank: &Rank| (rank.report.map, rank.used);
        if self.ranks.iter().any(|rank| map(rank) != map(&self.ranks[0])) {
            self.passes_with_two_maps += 1;
        }
    }

    /// A rank dies; the group opens in a new epoch, with the first map and nothing pending.
    pub fn reborn(&mut self) {
        let epoch = self.ranks[0].report.epoch + 1;
        let pass = self.ranks[0].report.pass;
        for rank in &mut self.ranks {
            let report = RankReport { epoch, open: true, pass, ..RankReport::default() };
            *rank = Rank { report, ..Rank::default() };
        }
    }

    /// What a rank reported so many ticks ago.
    pub fn report(&self, index: usize, lag: usize) -> RankReport {
        let at = self.history.len().saturating_sub(1 + lag);
        self.history[at][index]
    }

    /// Whether no rank holds a pass.
    pub fn is_clean(&self) -> bool {
        let mut reports = self.ranks.iter().map(|rank| rank.report);
        reports.all(|report| report.held.is_none())
    }
}
