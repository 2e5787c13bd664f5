//! Leader of a map switch: decides which orders the ranks get, and commits or aborts the switch.
//! Input: proposals, replies of ranks, and a request to abort.
//! State: its ballot, the phase of the switch, and the replies received in this phase.

use crate::map_switch::Ballot;
use crate::map_switch::MapId;
use crate::map_switch::Order;
use crate::map_switch::OrderKind;
use crate::map_switch::RankState;
use crate::map_switch::Reply;

/// Progress of a leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The leader waits for replies.
    Waiting,
    /// All ranks have joined, no switch is in progress, and this map is in use or committed.
    Settled(MapId),
    /// A rank has joined this higher ballot, so this leader can no longer decide anything.
    Deposed(Ballot),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Joining { joined: Vec<Option<RankState>> },
    Staging { map: MapId, at_step: u64, staged: Vec<bool> },
    Committing { map: MapId, done: Vec<bool> },
    Aborting { maps: Vec<Option<MapId>> },
    Settled { map: MapId, next_step: u64 },
    Deposed(Ballot),
}

/// The state of one leader. Orders are passed to a closure as (rank, order).
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Leader {
    ballot: Ballot,
    ranks: usize,
    phase: Phase,
    /// The map in use while no switch is in progress.
    current: MapId,
    /// Map that was aborted under this ballot; its version is not proposed again.
    aborted_map: MapId,
    next_step: u64,
    phases: u32,
}

impl Leader {
    /// A leader that has not sent any orders yet; call [`Leader::send`].
    pub fn new(ballot: Ballot, ranks: usize) -> Leader {
        Leader {
            ballot,
            ranks,
            phase: Phase::Joining { joined: vec![None; ranks] },
            current: MapId::default(),
            aborted_map: MapId::default(),
            next_step: 0,
            phases: 0,
        }
    }

    /// The ballot of this leader.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// The progress of this leader.
    pub fn progress(&self) -> Progress {
        match self.phase {
            Phase::Settled { map, .. } => Progress::Settled(map),
            Phase::Deposed(by) => Progress::Deposed(by),
            _ => Progress::Waiting,
        }
    }

    /// Whether a proposed map is being staged; only then the switch can be aborted.
    pub fn is_staging(&self) -> bool {
        matches!(self.phase, Phase::Staging { .. })
    }

    /// Number of phases entered so far. The orders to send change only with this number.
    pub fn phase_number(&self) -> u32 {
        self.phases
    }

    /// Proposes a new map, to be used `horizon` steps ahead. Returns its identifier; `None` unless
    /// settled.
    pub fn propose(&mut self, horizon: u64) -> Option<MapId> {
        let Phase::Settled { map, next_step } = self.phase else { return None };
        let version = map.version.max(self.aborted_map.version) + 1;
        let map = MapId { version, ballot: self.ballot };
        let at_step = next_step + horizon;
        self.enter(Phase::Staging { map, at_step, staged: vec![false; self.ranks] });
        Some(map)
    }

    /// Aborts the switch, for example after a timeout, unless it is committed.
    pub fn abort_staging(&mut self) {
        if let Phase::Staging { map, .. } = self.phase {
            self.start_abort(map);
        }
    }

    /// Sends all orders of the current phase that have no reply yet.
    pub fn send(&self, mut to: impl FnMut(usize, Order)) {
        let mut send_order = |rank, kind| to(rank, Order { ballot: self.ballot, kind });
        match &self.phase {
            Phase::Joining { joined } => {
                for rank in unanswered(joined.iter().map(Option::is_some)) {
                    send_order(rank, OrderKind::Join);
                }
            }
            Phase::Staging { map, at_step, staged } => {
                for rank in unanswered(staged.iter().copied()) {
                    send_order(rank, OrderKind::Stage { map: *map, at_step: *at_step });
                }
            }
            Phase::Committing { map, done } => {
                for rank in unanswered(done.iter().copied()) {
                    send_order(rank, OrderKind::Commit { map: *map });
                }
            }
            Phase::Aborting { maps } => {
                for (rank, map) in maps.iter().enumerate() {
                    if let Some(map) = *map {
                        send_order(rank, OrderKind::Abort { map });
                    }
                }
            }
            Phase::Settled { .. } | Phase::Deposed(_) => {}
        }
    }

    /// Handles the reply of a rank.
    pub fn reply(&mut self, rank: usize, reply: Reply) {
        match reply {
            Reply::Outdated(by) => {
                if by > self.ballot {
                    self.enter(Phase::Deposed(by));
                }
            }
            Reply::Joined(ballot, state) if ballot == self.ballot => {
                self.joined(rank, state);
            }
            Reply::Joined(..) => {}
            Reply::Staged(map) => self.staged(rank, map),
            Reply::NotStaged(map) => self.not_staged(map),
            Reply::Committed(map) => self.committed(rank, map),
            Reply::Aborted(map) => self.aborted(rank, map),
        }
    }

    fn joined(&mut self, rank: usize, state: RankState) {
        let Phase::Joining { joined } = &mut self.phase else { return };
        joined[rank] = Some(state);
        let Some(all) = joined.iter().copied().collect::<Option<Vec<RankState>>>() else { return };
        self.next_step = all.iter().map(|state| state.step).max().unwrap_or(0);
        self.current = all.iter().map(|state| state.current).max().unwrap_or_default();
        self.resolve_earlier_switches(&all);
    }

    /// Ends the switches of earlier leaders: commits a map that some rank has committed, and aborts
    /// all others.
    fn resolve_earlier_switches(&mut self, all: &[RankState]) {
        let decided = all.iter().find_map(|state| match state.armed {
            Some(armed) if armed.committed => Some(armed.map),
            _ => None,
        });
        let behind = all.iter().any(|state| state.current != self.current);
        let decided = decided.or(behind.then_some(self.current));
        if let Some(map) = decided {
            self.current = map;
            self.enter(Phase::Committing { map, done: vec![false; self.ranks] });
            return;
        }
        let maps: Vec<Option<MapId>> =
            all.iter().map(|state| state.armed.map(|armed| armed.map)).collect();
        self.enter(Phase::Aborting { maps });
        self.settle_if_aborted();
    }

    fn staged(&mut self, rank: usize, map: MapId) {
        let Phase::Staging { map: wanted, staged, .. } = &mut self.phase else { return };
        if *wanted != map {
            return;
        }
        staged[rank] = true;
        if staged.iter().all(|staged| *staged) {
            self.enter(Phase::Committing { map, done: vec![false; self.ranks] });
        }
    }

    fn not_staged(&mut self, map: MapId) {
        if let Phase::Staging { map: wanted, .. } = self.phase
            && wanted == map
        {
            self.start_abort(map);
        }
    }

    fn start_abort(&mut self, map: MapId) {
        self.aborted_map = map;
        self.enter(Phase::Aborting { maps: vec![Some(map); self.ranks] });
    }

    fn committed(&mut self, rank: usize, map: MapId) {
        let Phase::Committing { map: wanted, done } = &mut self.phase else { return };
        if *wanted != map {
            return;
        }
        done[rank] = true;
        if done.iter().all(|done| *done) {
            self.current = map;
            self.settle();
        }
    }

    fn aborted(&mut self, rank: usize, map: MapId) {
        let Phase::Aborting { maps } = &mut self.phase else { return };
        if maps[rank] == Some(map) {
            maps[rank] = None;
        }
        self.settle_if_aborted();
    }

    fn settle_if_aborted(&mut self) {
        if let Phase::Aborting { maps } = &self.phase
            && maps.iter().all(Option::is_none)
        {
            self.settle();
        }
    }

    fn settle(&mut self) {
        self.enter(Phase::Settled { map: self.current, next_step: self.next_step });
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.phases += 1;
    }

    /// Records a step that a rank has reached, so that proposals are for steps after the highest.
    pub fn observe_step(&mut self, step: u64) {
        self.next_step = self.next_step.max(step);
        if let Phase::Settled { next_step, .. } = &mut self.phase {
            *next_step = self.next_step;
        }
    }
}

fn unanswered(done: impl Iterator<Item = bool>) -> impl Iterator<Item = usize> {
    done.enumerate().filter(|(_, done)| !done).map(|(rank, _)| rank)
}
