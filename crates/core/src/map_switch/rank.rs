//! Rank in a map switch: decides how to reply to each order, and whether the next step may run.
//! Input: orders of leaders, ends of weight loads, starts of steps, and sidecar restarts.
//! State: the map in use, the staged map, the next step, and the highest ballot joined.

use crate::map_switch::Armed;
use crate::map_switch::Ballot;
use crate::map_switch::MapId;
use crate::map_switch::Order;
use crate::map_switch::OrderKind;
use crate::map_switch::RankState;
use crate::map_switch::Reply;

/// Whether the next step may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gate {
    /// The step may run, with this map.
    Run(MapId),
    /// The step must wait for the outcome of a switch.
    Hold,
}

/// What to do with an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAction {
    /// Send this reply.
    Answer(Reply),
    /// Load the map's weights, then call [`Rank::loaded`].
    Load(MapId),
    /// Do not reply: the fence is not known yet, the map is still being loaded, or the order is
    /// late.
    Silent,
}

/// The state of one rank.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Rank {
    state: RankState,
    /// Orders of lower ballots are refused; `None` after a restart until the fence is restored.
    promised: Option<Ballot>,
    /// The map that is being loaded.
    loading: Option<Armed>,
    /// The highest map that was staged or aborted at this rank. An order to stage it, or a lower
    /// one, is late.
    highest_closed: MapId,
}

impl Rank {
    /// A rank that uses `current` and has not joined any ballot.
    pub fn new(current: MapId) -> Rank {
        Rank {
            state: RankState { current, armed: None, step: 0 },
            promised: Some(Ballot::default()),
            loading: None,
            highest_closed: current,
        }
    }

    /// The state that the rank reports to leaders.
    pub fn state(&self) -> RankState {
        self.state
    }

    /// The highest ballot joined; `None` after a restart until the fence is restored.
    pub fn promised(&self) -> Option<Ballot> {
        self.promised
    }

    /// Handles a restart of the sidecar, whose backend server does not keep fences.
    pub fn lose_fence(&mut self) {
        self.promised = None;
        self.loading = None;
        self.highest_closed = self.state.armed.map_or(self.state.current, |armed| armed.map);
    }

    /// Restores the fence after a restart. `max_granted` was read from the table after the restart,
    /// so the rank cannot have joined a higher ballot before.
    pub fn restore_fence(&mut self, max_granted: Ballot) {
        if self.promised.is_none() {
            self.promised = Some(max_granted);
        }
    }

    /// Whether the next step may run. The result is valid only until the next call of any method.
    pub fn gate(&self) -> Gate {
        match self.state.armed {
            Some(armed) if self.state.step >= armed.at_step => {
                if armed.committed {
                    Gate::Run(armed.map)
                } else {
                    Gate::Hold
                }
            }
            _ => Gate::Run(self.state.current),
        }
    }

    /// Begins the next step, and returns its map.
    ///
    /// # Panics
    ///
    /// If the gate holds the step.
    pub fn begin_step(&mut self) -> MapId {
        let Gate::Run(map) = self.gate() else { panic!("a held step must not run") };
        if map != self.state.current {
            self.state.current = map;
            self.state.armed = None;
        }
        self.state.step += 1;
        map
    }

    /// Handles an order.
    pub fn order(&mut self, order: Order) -> OrderAction {
        let Some(promised) = self.promised else { return OrderAction::Silent };
        if order.ballot < promised {
            return OrderAction::Answer(Reply::Outdated(promised));
        }
        match order.kind {
            OrderKind::Join => OrderAction::Answer(self.join(order.ballot)),
            _ if order.ballot > promised => {
                // A ballot that was not joined decides nothing: its leader does not know the state
                // of this rank.
                OrderAction::Answer(Reply::Outdated(promised))
            }
            OrderKind::Stage { map, at_step } => self.stage(map, at_step),
            OrderKind::Commit { map } => self.commit(map),
            OrderKind::Abort { map } => OrderAction::Answer(self.abort(map)),
        }
    }

    /// Handles the end of loading the weights of the map that is being staged.
    pub fn loaded(&mut self, map: MapId, succeeded: bool) -> Option<Reply> {
        let armed = self.loading.filter(|armed| armed.map == map)?;
        self.loading = None;
        if !succeeded || self.state.step >= armed.at_step {
            return Some(Reply::NotStaged(map));
        }
        self.state.armed = Some(armed);
        Some(Reply::Staged(map))
    }

    fn join(&mut self, ballot: Ballot) -> Reply {
        if self.promised < Some(ballot) {
            self.promised = Some(ballot);
            // The leader that staged the map can no longer commit it.
            self.loading = None;
        }
        Reply::Joined(ballot, self.state)
    }

    fn stage(&mut self, map: MapId, at_step: u64) -> OrderAction {
        if let Some(armed) = self.state.armed {
            let same = armed.map == map;
            let reply = if same { Reply::Staged(map) } else { Reply::NotStaged(map) };
            return OrderAction::Answer(reply);
        }
        if self.loading.is_some_and(|loading| loading.map == map) {
            return OrderAction::Silent;
        }
        if map <= self.highest_closed || self.state.step >= at_step {
            return OrderAction::Answer(Reply::NotStaged(map));
        }
        self.highest_closed = map;
        self.loading = Some(Armed { map, at_step, committed: false });
        OrderAction::Load(map)
    }

    fn commit(&mut self, map: MapId) -> OrderAction {
        if self.state.current == map {
            return OrderAction::Answer(Reply::Committed(map));
        }
        match &mut self.state.armed {
            Some(armed) if armed.map == map => {
                armed.committed = true;
                OrderAction::Answer(Reply::Committed(map))
            }
            // A late duplicate: the leader has received the reply already.
            _ => OrderAction::Silent,
        }
    }

    fn abort(&mut self, map: MapId) -> Reply {
        self.highest_closed = self.highest_closed.max(map);
        if self.loading.is_some_and(|loading| loading.map == map) {
            self.loading = None;
        }
        if self.state.armed.is_some_and(|armed| armed.map == map && !armed.committed) {
            self.state.armed = None;
        }
        Reply::Aborted(map)
    }
}
