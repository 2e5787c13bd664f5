//! One leader's side of a switch.

use crate::map_switch::Ballot;
use crate::map_switch::MapId;
use crate::map_switch::Order;
use crate::map_switch::OrderKind;
use crate::map_switch::RankState;
use crate::map_switch::Reply;

/// Where a leader is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// It waits for ranks.
    Waiting,
    /// All ranks have joined, nothing is under way, and this map is in use or decided.
    Settled(MapId),
    /// A higher ballot has been joined somewhere: this leader can decide nothing any more.
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

/// One leader of a group. Orders are given to a closure as (rank, order).
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Leader {
    ballot: Ballot,
    ranks: usize,
    phase: Phase,
    /// The map in use when nothing is under way.
    current: MapId,
    /// Called off under this ballot: its version is not proposed again.
    aborted_map: MapId,
    next_step: u64,
    phases: u32,
}

impl Leader {
    /// A leader that has asked nobody yet; call [`Leader::send`].
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

    /// Its ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Where it is.
    pub fn progress(&self) -> Progress {
        match self.phase {
            Phase::Settled { map, .. } => Progress::Settled(map),
            Phase::Deposed(by) => Progress::Deposed(by),
            _ => Progress::Waiting,
        }
    }

    /// Whether a proposed map is being staged: the time in which it can be given up.
    pub fn is_staging(&self) -> bool {
        matches!(self.phase, Phase::Staging { .. })
    }

    /// Counts the phases that it has been through: orders change when this does.
    pub fn phase_number(&self) -> u32 {
        self.phases
    }

    /// Proposes a new map, `horizon` steps ahead. Returns its id; `None` unless settled.
    pub fn propose(&mut self, horizon: u64) -> Option<MapId> {
        let Phase::Settled { map, next_step } = self.phase else { return None };
        let version = map.version.max(self.aborted_map.version) + 1;
        let map = MapId { version, ballot: self.ballot };
        let at_step = next_step + horizon;
        self.enter(Phase::Staging { map, at_step, staged: vec![false; self.ranks] });
        Some(map)
    }

    /// Calls the switch off if it is not decided: too much time has passed.
    pub fn abort_staging(&mut self) {
        if let Phase::Staging { map, .. } = self.phase {
            self.start_abort(map);
        }
    }

    /// Gives all orders that are not answered yet, the first time or again.
    pub fn send(&self, mut to: impl FnMut(usize, Order)) {
        let mut give = |rank, kind| to(rank, Order { ballot: self.ballot, kind });
        match &self.phase {
            Phase::Joining { joined } => {
                for rank in open(joined.iter().map(Option::is_some)) {
                    give(rank, OrderKind::Join);
                }
            }
            Phase::Staging { map, at_step, staged } => {
                for rank in open(staged.iter().copied()) {
                    give(rank, OrderKind::Stage { map: *map, at_step: *at_step });
                }
            }
            Phase::Committing { map, done } => {
                for rank in open(done.iter().copied()) {
                    give(rank, OrderKind::Commit { map: *map });
                }
            }
            Phase::Aborting { maps } => {
                for (rank, map) in maps.iter().enumerate() {
                    if let Some(map) = *map {
                        give(rank, OrderKind::Abort { map });
                    }
                }
            }
            Phase::Settled { .. } | Phase::Deposed(_) => {}
        }
    }

    /// A rank has answered.
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

    /// Ends what older leaders left behind: commits what some rank has committed, aborts the rest.
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

    /// The highest step that a rank is known to have reached; keeps the horizon ahead of it.
    pub fn observe_step(&mut self, step: u64) {
        self.next_step = self.next_step.max(step);
        if let Phase::Settled { next_step, .. } = &mut self.phase {
            *next_step = self.next_step;
        }
    }
}

fn open(done: impl Iterator<Item = bool>) -> impl Iterator<Item = usize> {
    done.enumerate().filter(|(_, done)| !done).map(|(rank, _)| rank)
}
