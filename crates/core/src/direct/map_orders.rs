//! State machine that changes the expert map of one group by orders to its ranks.
//! Input: reports of the ranks and their replies to orders. State: phase, version, pass, newest
//! reports. It decides which requests the ranks get next, and how the switch ended.
//!
//! All ranks make each pass together and must use the same map in it, but they do not compare maps.
//! Orders may be lost, or carried out seconds later. A leader may crash, or freeze and resume, at
//! any point. A rank may restart, which opens the group in a new epoch with the initial map and
//! nothing pending.
//!
//! Steps of a switch: `prepare` at all ranks, at rank 0 first; `hold` for one pass at rank 0; `arm`
//! for that pass at all ranks; `go` at rank 0 once every rank has acknowledged its `arm`. No pass
//! uses two maps, for these reasons:
//!
//! - While the hold is in force, the pass does not begin. A group in which only some ranks are
//!   armed therefore makes no pass with the new map.
//! - An order that got no answer is retried unchanged until it is acknowledged, and no order with
//!   another version or pass is sent before that. If the lost order arrives late, then its map is
//!   no longer the newest, or its pass has begun, or what it orders is in effect already. One case
//!   remains: a `hold` that arrives between `go` and the pass. So the leader polls rank 0 until the
//!   pass has begun, and releases such a hold too: all ranks are armed by then.
//! - Ranks compare versions, not maps. A rank that has a version answers that the order is in
//!   effect already, whatever map the order contains. So each version names one map permanently,
//!   even if a switch ended before all ranks had the map: [`Versions`] allocates each version once.
//! - Each order carries the leader's fencing token. The first order of a new leader that rank 0
//!   accepts while it is not armed fences off the old leader, which can no longer hold or arm rank
//!   0 and so never reaches `go`. If rank 0 is armed already, the new leader completes the switch
//!   of the old leader, for the same pass.
//! - Ranks need not check tokens. A switch also ends once a report shows a later leader's version,
//!   unless it may hold a pass.
//! - A switch is never cancelled if rank 0 is armed. At the other ranks it is cancelled only after
//!   rank 0 has accepted the new leader's map. The old hold is released only once every rank has
//!   accepted that map.
//!
//! [`Switch`] works in rounds: each sends every rank at most one request, then applies the replies.
//! `crates/core/tests/map_orders.rs` runs it against ranks that lose and delay orders and restart.

mod config;
mod messages;
mod versions;

pub use config::Config;
pub use messages::FencedOrder;
pub use messages::Next;
pub use messages::Order;
pub use messages::RankReport;
pub use messages::RankRequest;
pub use messages::Reply;
pub use messages::Sender;
pub use messages::Start;
pub use versions::Versions;

use crate::clock::Millis;

#[derive(Clone, Copy, Debug, Default)]
struct Rank {
    /// The newest report.
    report: Option<RankReport>,
    /// Whether the rank is done with the current phase.
    done: bool,
    /// Its state is uncertain: a report is requested before the next order.
    needs_report: bool,
    /// Version that must be disarmed before the new map is prepared.
    armed_version: Option<u64>,
}

/// Phase of a switch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Reports of all ranks are collected.
    Survey,
    /// The map is sent to all ranks, to rank 0 first.
    Prepare,
    /// Ranks copy the experts that are new to them.
    Copy,
    /// A pass is held at rank 0.
    Hold,
    /// All ranks are being armed.
    Arm,
    /// The held pass is released at rank 0.
    Go,
    /// Rank 0 is polled until the pass has begun.
    Watch,
    /// A previous leader's hold is released, after the map was prepared at all ranks.
    Release,
}

/// State of one switch of one group's map.
#[derive(Clone, Debug)]
pub struct Switch {
    config: Config,
    versions: Versions,
    phase: Phase,
    ranks: Vec<Rank>,
    epoch: Option<u64>,
    version: u64,
    /// The pass from which the new map is in force.
    pass: u64,
    /// The pass that is held: equal to `pass`, unless a hold arrived late.
    held: u64,
    /// Whether this completes the switch of a previous leader.
    inherited: bool,
    idle_rounds: u32,
    /// Expected conflicts in this phase.
    conflicts: u32,
    /// Expected time that the ranks copy.
    copy_time: Millis,
    /// Whether the group is in the state that this leader's last switch left: most polls are left
    /// out then.
    settled: bool,
    /// Whether an order got no answer.
    order_unanswered: bool,
    /// Whether a hold got no answer and was retried, so that the lost one may arrive late.
    hold_retried: bool,
    /// Pause before the next round.
    pause: Option<Millis>,
    outcome: Option<Next>,
}

impl Switch {
    /// Creates a switch for a group of `ranks` ranks, by the leader that has `versions` left.
    /// `copy_time` is the expected time of the rank with the most to copy.
    pub fn new(
        config: Config,
        versions: Versions,
        ranks: usize,
        start: Start,
        copy_time: Millis,
    ) -> Switch {
        let mut switch = Switch {
            config,
            versions,
            phase: Phase::Survey,
            ranks: vec![Rank::default(); ranks],
            epoch: None,
            version: 0,
            pass: 0,
            held: 0,
            inherited: false,
            idle_rounds: 0,
            conflicts: 0,
            copy_time,
            settled: false,
            order_unanswered: false,
            hold_retried: false,
            pause: None,
            outcome: None,
        };
        if let Start::Settled { epoch } = start {
            switch.epoch = Some(epoch);
            switch.settled = true;
            switch.prepare_above(0);
        }
        switch
    }

    /// The versions that the leader has left, with which its next switch begins.
    pub fn versions(&self) -> Versions {
        self.versions
    }

    /// The group's epoch, once it is known.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// The progress of the switch, for logs.
    pub fn describe(&self) -> String {
        let unfinished: Vec<String> = self
            .unfinished(false)
            .map(|(index, rank)| format!("{index}:{:?}", rank.report))
            .collect();
        format!(
            "{:?} version={} pass={} epoch={:?} idle_rounds={} conflicts={} not done: {}",
            self.phase,
            self.version,
            self.pass,
            self.epoch,
            self.idle_rounds,
            self.conflicts,
            unfinished.join(" ")
        )
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Version of the new map, once it is known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether no rank has accepted an order of this switch yet, and it would begin with its own
    /// map.
    pub fn is_before_orders(&self) -> bool {
        self.phase == Phase::Prepare && !self.ranks.iter().any(|rank| rank.done)
    }

    /// The map version in the newest reports of the ranks, if it is the same in all of them.
    pub fn surveyed_map(&self) -> Option<u64> {
        same_of_all(self.ranks.iter().map(|rank| rank.report.map(|report| report.map)))
    }

    /// Ends the switch because a rank is not listed any more, unless a pass may be held. A held
    /// group stalls until the switch continues, and a rank that only lost its row still accepts
    /// orders.
    pub fn withdraw(&mut self) {
        if !matches!(self.phase, Phase::Hold | Phase::Arm | Phase::Go | Phase::Watch) {
            self.end(Next::Changed);
        }
    }

    /// The next action of the driver.
    pub fn step(&mut self) -> Next {
        if let Some(outcome) = &self.outcome {
            return outcome.clone();
        }
        if let Some(pause) = self.pause.take() {
            return Next::Pause(pause);
        }
        if self.settled && self.phase == Phase::Copy && !self.config.polls_before_hold {
            // The ranks have copied by now. A rank that still copies refuses to be armed for a
            // moment.
            self.enter(Phase::Hold);
            self.ranks[0].needs_report = true;
        }
        self.idle_rounds += 1;
        if self.idle_rounds > self.config.max_idle_rounds {
            self.end(Next::Changed);
            return Next::Changed;
        }
        let requests: Vec<(usize, RankRequest)> = match self.phase {
            Phase::Survey | Phase::Copy => self.report_requests(),
            Phase::Prepare => self.prepare_orders(),
            Phase::Hold => self.to_rank_0(Order::Hold { pass: self.pass }),
            Phase::Arm => self.arm_orders(),
            Phase::Go | Phase::Release => self.to_rank_0(Order::Go { pass: self.held }),
            Phase::Watch => vec![(0, RankRequest::Report)],
        };
        Next::Round(requests)
    }

    /// Applies the replies of one round.
    pub fn apply_replies(&mut self, replies: &[(usize, RankRequest, Reply)]) {
        let (done, conflicts) = (self.done(), self.conflicts);
        for (rank, request, reply) in replies {
            match (request, reply) {
                (_, Reply::Report(report)) => self.apply_report(*rank, *report),
                (RankRequest::Order(fenced), reply) => {
                    self.apply_order_reply(*rank, fenced.order, *reply)
                }
                (RankRequest::Report, _) => {}
            }
            if self.outcome.is_some() {
                return;
            }
        }
        let phase = self.phase;
        let surveyed = phase == Phase::Survey && self.ranks.iter().all(|rank| rank.done);
        let progress = self.done() > done;
        let conflict = replies.iter().any(|(_, _, reply)| *reply == Reply::Conflict);
        self.advance();
        self.pause = if self.phase != phase {
            self.pause_on_entry()
        } else if self.conflicts > conflicts {
            self.pause_after_conflict()
        } else {
            let polls = matches!(phase, Phase::Survey | Phase::Copy | Phase::Watch);
            // The ranks are surveyed again: an armed map is about to come into force.
            let waits = polls && (!progress || surveyed);
            (conflict || waits).then_some(self.config.poll_interval)
        };
    }

    fn pause_on_entry(&mut self) -> Option<Millis> {
        match self.phase {
            Phase::Copy if self.settled => Some(std::mem::take(&mut self.copy_time)),
            Phase::Copy => Some(std::mem::take(&mut self.copy_time) + self.config.poll_interval),
            Phase::Watch => Some(self.config.poll_interval),
            _ => None,
        }
    }

    /// No pause before a later pass is tried. Other conflicts need one: the last map comes into
    /// force only after some passes.
    fn pause_after_conflict(&self) -> Option<Millis> {
        (self.phase != Phase::Hold).then_some(self.config.retry_pause)
    }

    /// The newest reports of all ranks that gave one.
    fn reports(&self) -> impl Iterator<Item = RankReport> {
        self.ranks.iter().filter_map(|rank| rank.report)
    }

    /// The pass that rank 0 holds, by its newest report.
    fn held_at_rank_0(&self) -> Option<u64> {
        self.ranks[0].report.and_then(|report| report.held)
    }

    fn done(&self) -> usize {
        self.ranks.iter().filter(|rank| rank.done).count()
    }

    /// Ranks that are not done with the current phase; only rank 0 of them if `rank_0_only`.
    fn unfinished(&self, rank_0_only: bool) -> impl Iterator<Item = (usize, &Rank)> {
        let unfinished = self.ranks.iter().enumerate().filter(|(_, rank)| !rank.done);
        unfinished.filter(move |(index, _)| !rank_0_only || *index == 0)
    }

    fn report_requests(&self) -> Vec<(usize, RankRequest)> {
        self.unfinished(false).map(|(index, _)| (index, RankRequest::Report)).collect()
    }

    /// Orders for this phase: only to rank 0 until it has accepted, which fences off an old leader.
    fn prepare_orders(&self) -> Vec<(usize, RankRequest)> {
        let rank_0_only = !self.ranks[0].done;
        let ordered = |rank: &Rank| match rank.armed_version {
            Some(version) => Order::Disarm { version },
            None => Order::Prepare { version: self.version },
        };
        let unfinished = self.unfinished(rank_0_only);
        unfinished.map(|(index, rank)| (index, self.request(rank, ordered(rank)))).collect()
    }

    fn arm_orders(&self) -> Vec<(usize, RankRequest)> {
        // Rank 0 first where a previous leader may still be active: rank 0 fences it off.
        let rank_0_only = self.inherited && !self.ranks[0].done;
        let order = Order::Arm { version: self.version, pass: self.pass };
        self.unfinished(rank_0_only)
            .map(|(index, rank)| (index, self.request(rank, order)))
            .collect()
    }

    fn to_rank_0(&self, order: Order) -> Vec<(usize, RankRequest)> {
        vec![(0, self.request(&self.ranks[0], order))]
    }

    /// The order for a rank, or a request for its report if its state is uncertain.
    fn request(&self, rank: &Rank, order: Order) -> RankRequest {
        if rank.needs_report {
            return RankRequest::Report;
        }
        let epoch = self.epoch.unwrap_or_default();
        RankRequest::Order(FencedOrder {
            order,
            fencing_token: self.versions.fencing_token(),
            epoch,
        })
    }

    fn apply_report(&mut self, index: usize, report: RankReport) {
        if !report.open || self.epoch.is_some_and(|epoch| epoch != report.epoch) {
            return self.end(Next::Changed);
        }
        self.epoch = Some(report.epoch);
        if self.is_overtaken_by(report) {
            return self.end(Next::Superseded);
        }
        let rank = &mut self.ranks[index];
        rank.report = Some(report);
        rank.needs_report = false;
        match self.phase {
            Phase::Survey => rank.done = true,
            Phase::Prepare => self.check_prepare(index, report),
            Phase::Copy => rank.done = report.prepared == Some(self.version),
            Phase::Hold => self.check_hold(report.held),
            Phase::Arm => self.check_arm(index, report),
            Phase::Go | Phase::Release => rank.done = report.held != Some(self.held),
            Phase::Watch => self.check_pass_begun(report),
        }
    }

    /// Whether a report shows a version above this switch's own while its map is prepared: that of a
    /// later leader. Ranks need not check fencing tokens, so this switch must not disarm what that
    /// leader has armed. Once a pass may be held, the switch continues, which releases it.
    fn is_overtaken_by(&self, report: RankReport) -> bool {
        let prepares = matches!(self.phase, Phase::Prepare | Phase::Copy);
        prepares && report.newest_version() > self.version
    }

    /// If rank 0 is armed, the previous leader's switch is completed. Other armed ranks are
    /// disarmed first.
    fn check_prepare(&mut self, index: usize, report: RankReport) {
        let rank = &mut self.ranks[index];
        rank.done = report.prepared == Some(self.version);
        rank.armed_version = report.armed_version();
        if index == 0 && rank.armed_version.is_some() {
            self.restart();
        }
    }

    fn check_arm(&mut self, index: usize, report: RankReport) {
        if report.armed == Some((self.version, self.pass)) {
            self.ranks[index].done = true;
            return;
        }
        // The hold of that pass was released, so all ranks had been armed.
        let has_begun = report.pass >= self.pass;
        // Another leader has replaced the switch that was to be completed.
        let is_replaced = self.inherited && report.prepared != Some(self.version);
        if has_begun || is_replaced {
            self.restart();
        }
    }

    /// All ranks are armed, so a hold of their pass or an earlier one arrived late, and is released
    /// too. A hold of a later pass may be another leader's, whose ranks are not armed yet.
    fn check_pass_begun(&mut self, report: RankReport) {
        match report.held {
            Some(held) if held <= self.pass => {
                self.held = held;
                self.enter(Phase::Go);
            }
            _ => self.ranks[0].done = report.pass >= self.pass,
        }
    }

    fn check_hold(&mut self, held: Option<u64>) {
        match held {
            Some(pass) if pass == self.pass => self.ranks[0].done = true,
            // The switch of the leader that holds another pass has priority.
            Some(_) => self.restart(),
            None => self.set_pass(),
        }
    }

    fn apply_order_reply(&mut self, index: usize, order: Order, reply: Reply) {
        let is_conflict_expected = self.is_conflict_expected();
        let rank = &mut self.ranks[index];
        match reply {
            Reply::Fenced => self.end(Next::Superseded),
            Reply::Accepted | Reply::AlreadyInEffect => {
                self.idle_rounds = 0;
                match order {
                    Order::Disarm { .. } => rank.armed_version = None,
                    _ => rank.done = true,
                }
            }
            Reply::Conflict if is_conflict_expected => {
                self.conflicts += 1;
                self.idle_rounds = 0;
                if self.phase == Phase::Hold {
                    self.pass += self.config.passes_ahead.div_ceil(2);
                }
            }
            Reply::Conflict => rank.needs_report = true,
            Reply::NoAnswer => {
                self.order_unanswered = true;
                self.hold_retried |= self.phase == Phase::Hold;
            }
            Reply::Report(_) => {}
        }
    }

    /// Whether a conflict is expected: the pass may have begun, the last map may not be in force
    /// yet, or a rank may still be copying.
    fn is_conflict_expected(&self) -> bool {
        let expected = match self.phase {
            Phase::Hold => true,
            Phase::Prepare | Phase::Arm => self.settled,
            _ => false,
        };
        expected && self.conflicts < self.config.max_conflicts
    }

    fn advance(&mut self) {
        let all = self.ranks.iter().all(|rank| rank.done);
        let rank_0_done = self.ranks[0].done;
        match self.phase {
            Phase::Survey if all => self.finish_survey(),
            Phase::Prepare if all => self.enter(Phase::Copy),
            Phase::Copy if all => self.finish_copy(),
            Phase::Hold if rank_0_done => {
                self.held = self.pass;
                self.enter(Phase::Arm);
            }
            Phase::Arm if all => self.enter(Phase::Go),
            // No hold is outstanding that could hold the pass again.
            Phase::Go if rank_0_done && self.settled && !self.hold_retried => {
                self.end(Next::Switched)
            }
            Phase::Go if rank_0_done => self.enter(Phase::Watch),
            Phase::Watch if rank_0_done => {
                let done = if self.inherited { Next::Discarded } else { Next::Switched };
                self.end(done);
            }
            // The previous leader's hold is released; this switch continues with its own.
            Phase::Release if rank_0_done => {
                self.set_pass();
                self.enter(Phase::Hold);
            }
            _ => {}
        }
    }

    fn finish_survey(&mut self) {
        let newest = self.reports().map(|report| report.newest_version()).max();
        let newest = newest.unwrap_or_default();
        let armed = self.reports().find_map(|report| report.armed);
        let complete = same_of_all(self.reports().map(|report| report.pending_version()));
        match (self.held_at_rank_0(), armed, complete) {
            (None, None, _) => self.prepare_above(newest),
            // Released by a previous leader: the armed map comes into force within the next passes.
            (None, Some(_), _) => self.restart(),
            // All ranks have the map that a previous leader began to arm: complete its switch. A
            // hold of an earlier pass arrived late, after `go`, and no other process releases it:
            // no rank accepts a new map while it is armed. If no rank is armed, another leader may
            // be about to release the hold.
            (Some(held), Some((armed, pass)), Some(version))
                if armed == version && held <= pass =>
            {
                (self.pass, self.held, self.version) = (pass, held, version);
                self.inherited = true;
                self.enter(Phase::Arm);
            }
            // This switch's map replaces the one that was begun, then the hold is released.
            (Some(_), _, _) => self.prepare_above(newest),
        }
    }

    /// Begins to prepare this switch's map, with a version above all that the ranks reported.
    fn prepare_above(&mut self, newest: u64) {
        match self.versions.allocate_above(newest) {
            Some(version) => {
                self.version = version;
                self.enter(Phase::Prepare);
            }
            None => self.end(Next::VersionsExhausted),
        }
    }

    fn finish_copy(&mut self) {
        // These reports are from after the rank accepted the map, so they include the hold of a
        // previous leader.
        match self.held_at_rank_0() {
            Some(pass) => {
                self.held = pass;
                self.enter(Phase::Release);
            }
            None => {
                self.set_pass();
                self.enter(Phase::Hold);
            }
        }
    }

    fn set_pass(&mut self) {
        let newest = self.reports().map(|report| report.pass);
        let margin = if self.order_unanswered { self.config.unanswered_margin_passes() } else { 0 };
        self.pass = newest.max().unwrap_or_default() + self.config.passes_ahead + margin;
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.idle_rounds = 0;
        self.conflicts = 0;
        for rank in &mut self.ranks {
            rank.done = false;
            rank.needs_report = false;
            rank.armed_version = None;
        }
    }

    /// Surveys all ranks again.
    fn restart(&mut self) {
        let spent = self.idle_rounds;
        self.enter(Phase::Survey);
        self.idle_rounds = spent;
        self.inherited = false;
        self.settled = false;
    }

    fn end(&mut self, outcome: Next) {
        self.outcome = Some(outcome);
    }
}

/// The common version, if every item has the same one.
fn same_of_all(mut versions: impl Iterator<Item = Option<u64>>) -> Option<u64> {
    let first = versions.next()??;
    versions.all(|version| version == Some(first)).then_some(first)
}
