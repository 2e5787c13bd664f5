//! A group's expert map changed by orders to its ranks, which do not compare maps.
//!
//! Every pass is made by all ranks together, and all must hold the same map in it. Orders may be
//! lost, or carried out seconds later; a leader may die, or freeze and go on, at any point; a rank
//! may be reborn, which opens the group in a new epoch with the first map and nothing pending.
//!
//! A switch goes: `prepare` everywhere, first at rank 0; `hold` a pass at rank 0; `arm` that pass
//! everywhere; `go` at rank 0 once every rank has acknowledged its `arm`. Why two maps never meet:
//!
//! - While the hold stands, the pass does not begin, so a half-armed group makes no pass with it.
//! - An order that got no answer is repeated as it was until it is acknowledged, and none goes with
//!   another version or pass before that. So when the lost one comes late, its map is not the newest
//!   any more, its pass has begun, or what it orders holds already. One case is left: a `hold` that
//!   comes between `go` and the pass. So the leader watches until the pass has begun, and releases
//!   that hold, too: all ranks are armed by then.
//! - Ranks compare versions, not maps: one that has a version answers that it holds, whatever is in
//!   the map that comes. So each version names one map for good, also where a switch was left before
//!   all ranks had it: [`Versions`] gives each out once.
//! - Each order carries the leader's fencing token. A new leader's first order that rank 0 accepts
//!   while it is not armed shuts the old leader out: it can neither hold nor arm rank 0 any more, so
//!   it never gets to `go`. If rank 0 is armed already, the new leader completes what the old one
//!   began, to the same pass.
//! - A switch is never called off where rank 0 is armed; elsewhere only after rank 0 has
//!   accepted the new leader's map. The old hold is released only once every rank has.
//!
//! [`Switch`] goes in rounds: each asks every rank at most one thing, and takes what came back.
//! `crates/core/tests/map_orders.rs` plays it against ranks that lose, delay and are reborn.

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
    /// Done with the present phase.
    done: bool,
    /// Its state is not clear: look first.
    unclear: bool,
    /// Version that has to be disarmed first.
    armed_version: Option<u64>,
}

/// A part of a switch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Reports of all ranks.
    Survey,
    /// The map is brought to all ranks, rank 0 first.
    Prepare,
    /// Ranks copy.
    Copy,
    /// A pass is held at rank 0.
    Hold,
    /// All ranks are armed.
    Arm,
    /// The pass is released.
    Go,
    /// The pass begins.
    Watch,
    /// A predecessor's hold is released; the map is prepared everywhere.
    Release,
}

/// One switch of one group's map.
#[derive(Clone, Debug)]
pub struct Switch {
    config: Config,
    versions: Versions,
    phase: Phase,
    ranks: Vec<Rank>,
    epoch: Option<u64>,
    version: u64,
    /// The pass from which the map holds.
    pass: u64,
    /// The pass that is held: the same, unless a hold came late.
    held: u64,
    /// Whether what is completed is a predecessor's switch.
    inherited: bool,
    idle_rounds: u32,
    /// Conflicts that were to be expected, in this phase.
    tries: u32,
    /// How long the ranks copy.
    copy: Millis,
    /// Whether the group's state is the own last switch: most looks are left out then.
    settled: bool,
    /// Whether an order got no answer.
    doubtful: bool,
    /// Whether a hold was ordered more than once, so that a lost one may come late.
    hold_repeated: bool,
    /// How long to wait before the next round.
    pause: Option<Millis>,
    over: Option<Next>,
}

impl Switch {
    /// A switch of a group with so many ranks, by the leader that has these versions left. `copy` is
    /// how long the rank with the most to copy is expected to take.
    pub fn new(
        config: Config,
        versions: Versions,
        ranks: usize,
        start: Start,
        copy: Millis,
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
            tries: 0,
            copy,
            settled: false,
            doubtful: false,
            hold_repeated: false,
            pause: None,
            over: None,
        };
        if let Start::Settled { epoch } = start {
            switch.epoch = Some(epoch);
            switch.settled = true;
            switch.prepare_above(0);
        }
        switch
    }

    /// What its leader has left of versions: the next switch begins with these.
    pub fn versions(&self) -> Versions {
        self.versions
    }

    /// The group's life, once it is known.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// What the switch is at, for logs.
    pub fn describe(&self) -> String {
        let open: Vec<String> =
            self.open(false).map(|(index, rank)| format!("{index}:{:?}", rank.report)).collect();
        format!(
            "{:?} version={} pass={} epoch={:?} idle_rounds={} tries={} not done: {}",
            self.phase,
            self.version,
            self.pass,
            self.epoch,
            self.idle_rounds,
            self.tries,
            open.join(" ")
        )
    }

    /// The part of the switch that is under way.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Version of the map that is brought in, once it is known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether no order of this switch was given yet, and it would begin with its own map.
    pub fn is_before_orders(&self) -> bool {
        self.phase == Phase::Prepare && !self.ranks.iter().any(|rank| rank.done)
    }

    /// The map version that the ranks used when they were surveyed, if all used the same.
    pub fn surveyed_map(&self) -> Option<u64> {
        same_of_all(self.ranks.iter().map(|rank| rank.report.map(|report| report.map)))
    }

    /// A rank is not listed any more: the switch ends, unless a pass may be held for it. A held group
    /// stands still until the switch goes on, and a rank that only lost its row still takes orders.
    pub fn withdraw(&mut self) {
        if !matches!(self.phase, Phase::Hold | Phase::Arm | Phase::Go | Phase::Watch) {
            self.end(Next::Changed);
        }
    }

    /// What to do next.
    pub fn step(&mut self) -> Next {
        if let Some(over) = &self.over {
            return over.clone();
        }
        if let Some(pause) = self.pause.take() {
            return Next::Pause(pause);
        }
        if self.settled && self.phase == Phase::Copy && !self.config.polls_before_hold {
            // The ranks are done by now; one that is not refuses to be armed for a moment.
            self.enter(Phase::Hold);
            self.ranks[0].unclear = true;
        }
        self.idle_rounds += 1;
        if self.idle_rounds > self.config.max_idle_rounds {
            self.end(Next::Changed);
            return Next::Changed;
        }
        let asks: Vec<(usize, RankRequest)> = match self.phase {
            Phase::Survey | Phase::Copy => self.looks(),
            Phase::Prepare => self.prepares(),
            Phase::Hold => self.at_first(Order::Hold { pass: self.pass }),
            Phase::Arm => self.arms(),
            Phase::Go | Phase::Release => self.at_first(Order::Go { pass: self.held }),
            Phase::Watch => vec![(0, RankRequest::Report)],
        };
        Next::Round(asks)
    }

    /// Takes what came back from a round.
    pub fn apply_replies(&mut self, replies: &[(usize, RankRequest, Reply)]) {
        let (done, tries) = (self.done(), self.tries);
        for (rank, ask, reply) in replies {
            match (ask, reply) {
                (_, Reply::Report(report)) => self.reported(*rank, *report),
                (RankRequest::Order(fenced), reply) => self.answered(*rank, fenced.order, *reply),
                (RankRequest::Report, _) => {}
            }
            if self.over.is_some() {
                return;
            }
        }
        let phase = self.phase;
        let surveyed = phase == Phase::Survey && self.ranks.iter().all(|rank| rank.done);
        let progress = self.done() > done;
        let conflict = replies.iter().any(|(_, _, reply)| *reply == Reply::Conflict);
        self.advance();
        self.pause = if self.phase != phase {
            self.pause_of_entry()
        } else if self.tries > tries {
            self.pause_of_try()
        } else {
            let looks = matches!(phase, Phase::Survey | Phase::Copy | Phase::Watch);
            // What was surveyed is looked at again: a map is about to come into force.
            let waits = looks && (!progress || surveyed);
            (conflict || waits).then_some(self.config.poll_interval)
        };
    }

    fn pause_of_entry(&mut self) -> Option<Millis> {
        match self.phase {
            Phase::Copy if self.settled => Some(std::mem::take(&mut self.copy)),
            Phase::Copy => Some(std::mem::take(&mut self.copy) + self.config.poll_interval),
            Phase::Watch => Some(self.config.poll_interval),
            _ => None,
        }
    }

    /// A later pass is tried at once; a map that is armed is in force after some passes.
    fn pause_of_try(&self) -> Option<Millis> {
        (self.phase != Phase::Hold).then_some(self.config.retry_pause)
    }

    /// The newest reports of all ranks that gave one.
    fn reports(&self) -> impl Iterator<Item = RankReport> {
        self.ranks.iter().filter_map(|rank| rank.report)
    }

    /// The pass that rank 0 holds, as it reported last.
    fn held_at_first(&self) -> Option<u64> {
        self.ranks[0].report.and_then(|report| report.held)
    }

    fn done(&self) -> usize {
        self.ranks.iter().filter(|rank| rank.done).count()
    }

    /// Ranks that are not done with the present phase; only rank 0 of them if `first_only`.
    fn open(&self, first_only: bool) -> impl Iterator<Item = (usize, &Rank)> {
        let open = self.ranks.iter().enumerate().filter(|(_, rank)| !rank.done);
        open.filter(move |(index, _)| !first_only || *index == 0)
    }

    fn looks(&self) -> Vec<(usize, RankRequest)> {
        self.open(false).map(|(index, _)| (index, RankRequest::Report)).collect()
    }

    /// Rank 0 alone until it has accepted: see the module.
    fn prepares(&self) -> Vec<(usize, RankRequest)> {
        let first_only = !self.ranks[0].done;
        let ordered = |rank: &Rank| match rank.armed_version {
            Some(version) => Order::Disarm { version },
            None => Order::Prepare { version: self.version },
        };
        let open = self.open(first_only);
        open.map(|(index, rank)| (index, self.ask(rank, ordered(rank)))).collect()
    }

    fn arms(&self) -> Vec<(usize, RankRequest)> {
        // Rank 0 first where a predecessor may still be at work: it is shut out there.
        let first_only = self.inherited && !self.ranks[0].done;
        let order = Order::Arm { version: self.version, pass: self.pass };
        self.open(first_only).map(|(index, rank)| (index, self.ask(rank, order))).collect()
    }

    fn at_first(&self, order: Order) -> Vec<(usize, RankRequest)> {
        vec![(0, self.ask(&self.ranks[0], order))]
    }

    /// An order to a rank, or a look at it first.
    fn ask(&self, rank: &Rank, order: Order) -> RankRequest {
        if rank.unclear {
            return RankRequest::Report;
        }
        let epoch = self.epoch.unwrap_or_default();
        RankRequest::Order(FencedOrder {
            order,
            fencing_token: self.versions.fencing_token(),
            epoch,
        })
    }

    fn reported(&mut self, index: usize, report: RankReport) {
        if !report.open || self.epoch.is_some_and(|epoch| epoch != report.epoch) {
            return self.end(Next::Changed);
        }
        self.epoch = Some(report.epoch);
        let rank = &mut self.ranks[index];
        rank.report = Some(report);
        rank.unclear = false;
        match self.phase {
            Phase::Survey => rank.done = true,
            Phase::Prepare => self.seen_prepare(index, report),
            Phase::Copy => rank.done = report.prepared == Some(self.version),
            Phase::Hold => self.seen_hold(report.held),
            Phase::Arm => self.seen_arm(index, report),
            Phase::Go | Phase::Release => rank.done = report.held != Some(self.held),
            Phase::Watch => self.watched(report),
        }
    }

    /// What a predecessor armed is completed if rank 0 is armed, too; elsewhere it is disarmed first.
    fn seen_prepare(&mut self, index: usize, report: RankReport) {
        let rank = &mut self.ranks[index];
        rank.done = report.prepared == Some(self.version);
        rank.armed_version = report.armed_version();
        if index == 0 && rank.armed_version.is_some() {
            self.restart();
        }
    }

    fn seen_arm(&mut self, index: usize, report: RankReport) {
        if report.armed == Some((self.version, self.pass)) {
            self.ranks[index].done = true;
            return;
        }
        // Its hold was released then: all ranks had been armed by then.
        let has_begun = report.pass >= self.pass;
        // Another leader has replaced what was to be completed.
        let is_replaced = self.inherited && report.prepared != Some(self.version);
        if has_begun || is_replaced {
            self.restart();
        }
    }

    /// All ranks are armed, so what holds a pass up to theirs came late, and is released as well. A
    /// later one may be that of another leader, whose ranks are not armed yet.
    fn watched(&mut self, report: RankReport) {
        match report.held {
            Some(held) if held <= self.pass => {
                self.held = held;
                self.enter(Phase::Go);
            }
            _ => self.ranks[0].done = report.pass >= self.pass,
        }
    }

    fn seen_hold(&mut self, held: Option<u64>) {
        match held {
            Some(pass) if pass == self.pass => self.ranks[0].done = true,
            // Whoever holds another pass comes first.
            Some(_) => self.restart(),
            None => self.set_pass(),
        }
    }

    fn answered(&mut self, index: usize, order: Order, reply: Reply) {
        let may_try_again = self.may_try_again();
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
            Reply::Conflict if may_try_again => {
                self.tries += 1;
                self.idle_rounds = 0;
                if self.phase == Phase::Hold {
                    self.pass += self.config.passes_ahead.div_ceil(2);
                }
            }
            Reply::Conflict => rank.unclear = true,
            Reply::NoAnswer => {
                self.doubtful = true;
                self.hold_repeated |= self.phase == Phase::Hold;
            }
            Reply::Report(_) => {}
        }
    }

    /// Whether a conflict is what is to be expected now and then: the pass had begun, the last map
    /// is not in force yet, or a rank still copies.
    fn may_try_again(&self) -> bool {
        let expected = match self.phase {
            Phase::Hold => true,
            Phase::Prepare | Phase::Arm => self.settled,
            _ => false,
        };
        expected && self.tries < self.config.max_conflicts
    }

    fn advance(&mut self) {
        let all = self.ranks.iter().all(|rank| rank.done);
        let first = self.ranks[0].done;
        match self.phase {
            Phase::Survey if all => self.surveyed(),
            Phase::Prepare if all => self.enter(Phase::Copy),
            Phase::Copy if all => self.copied(),
            Phase::Hold if first => {
                self.held = self.pass;
                self.enter(Phase::Arm);
            }
            Phase::Arm if all => self.enter(Phase::Go),
            // Nothing is late that could hold the pass again.
            Phase::Go if first && self.settled && !self.hold_repeated => self.end(Next::Switched),
            Phase::Go if first => self.enter(Phase::Watch),
            Phase::Watch if first => {
                let done = if self.inherited { Next::Discarded } else { Next::Switched };
                self.end(done);
            }
            // What a predecessor held is released; now the own switch goes on.
            Phase::Release if first => {
                self.set_pass();
                self.enter(Phase::Hold);
            }
            _ => {}
        }
    }

    fn surveyed(&mut self) {
        let newest = self.reports().map(|report| report.newest_version()).max();
        let newest = newest.unwrap_or_default();
        let armed = self.reports().find_map(|report| report.armed);
        let complete = same_of_all(self.reports().map(|report| report.pending_version()));
        match (self.held_at_first(), armed, complete) {
            (None, None, _) => self.prepare_above(newest),
            // Released by a predecessor: it takes effect with the next passes.
            (None, Some(_), _) => self.restart(),
            // All ranks have what a predecessor began to arm: complete it. A hold of an earlier pass
            // came late, after `go`, and nothing else would release it: no rank takes a new map while
            // it is armed. Where none is armed, the hold may be one that another leader is about to
            // release.
            (Some(held), Some((armed, pass)), Some(version))
                if armed == version && held <= pass =>
            {
                (self.pass, self.held, self.version) = (pass, held, version);
                self.inherited = true;
                self.enter(Phase::Arm);
            }
            // The own map replaces what was begun, then the hold is released.
            (Some(_), _, _) => self.prepare_above(newest),
        }
    }

    /// Begins to bring in the own map, under a version above all that the ranks told.
    fn prepare_above(&mut self, newest: u64) {
        match self.versions.allocate_above(newest) {
            Some(version) => {
                self.version = version;
                self.enter(Phase::Prepare);
            }
            None => self.end(Next::VersionsExhausted),
        }
    }

    fn copied(&mut self) {
        // These reports show the rank after it accepted the map, so a predecessor's hold shows too.
        match self.held_at_first() {
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
        let doubt = if self.doubtful { self.config.unanswered_margin_passes() } else { 0 };
        self.pass = newest.max().unwrap_or_default() + self.config.passes_ahead + doubt;
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.idle_rounds = 0;
        self.tries = 0;
        for rank in &mut self.ranks {
            rank.done = false;
            rank.unclear = false;
            rank.armed_version = None;
        }
    }

    /// Looks at all ranks anew.
    fn restart(&mut self) {
        let spent = self.idle_rounds;
        self.enter(Phase::Survey);
        self.idle_rounds = spent;
        self.inherited = false;
        self.settled = false;
    }

    fn end(&mut self, over: Next) {
        self.over = Some(over);
    }
}

/// The version that all name, if all name the same.
fn same_of_all(mut versions: impl Iterator<Item = Option<u64>>) -> Option<u64> {
    let first = versions.next()??;
    versions.all(|version| version == Some(first)).then_some(first)
}
