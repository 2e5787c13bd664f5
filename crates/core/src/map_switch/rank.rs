//! One rank's side of a switch.

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
    /// It may, with this map.
    Run(MapId),
    /// It must wait for the outcome of a switch.
    Hold,
}

/// What to do with an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAction {
    /// Send this answer.
    Answer(Reply),
    /// Load the map's weights, then call [`Rank::loaded`].
    Load(MapId),
    /// Answer nothing: the fence is not known yet.
    Silent,
}

/// One rank.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Rank {
    state: RankState,
    /// Orders of lower ballots are refused; `None` until the fence is known again.
    promised: Option<Ballot>,
    /// What is being loaded.
    loading: Option<Armed>,
    /// The highest map that was staged or called off here: an order to stage it again is late.
    highest_closed: MapId,
}

impl Rank {
    /// A rank that uses `current` and has joined nobody.
    pub fn new(current: MapId) -> Rank {
        Rank {
            state: RankState { current, armed: None, step: 0 },
            promised: Some(Ballot::default()),
            loading: None,
            highest_closed: current,
        }
    }

    /// How things stand.
    pub fn state(&self) -> RankState {
        self.state
    }

    /// The highest ballot joined; `None` until the fence is known again.
    pub fn promised(&self) -> Option<Ballot> {
        self.promised
    }

    /// The sidecar was restarted before a backend server that does not keep fences.
    pub fn lose_fence(&mut self) {
        self.promised = None;
        self.loading = None;
        self.highest_closed = self.state.armed.map_or(self.state.current, |armed| armed.map);
    }

    /// `max_granted` was read from the table after the restart: no ballot above it can have been
    /// joined before.
    pub fn restore_fence(&mut self, max_granted: Ballot) {
        if self.promised.is_none() {
            self.promised = Some(max_granted);
        }
    }

    /// Whether the next step may run. The answer stands only until the next call of any method.
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

    /// The next step has begun.
    ///
    /// # Panics
    ///
    /// If the gate holds it.
    pub fn begin_step(&mut self) -> MapId {
        let Gate::Run(map) = self.gate() else { panic!("a held step must not run") };
        if map != self.state.current {
            self.state.current = map;
            self.state.armed = None;
        }
        self.state.step += 1;
        map
    }

    /// Takes an order.
    pub fn order(&mut self, order: Order) -> OrderAction {
        let Some(promised) = self.promised else { return OrderAction::Silent };
        if order.ballot < promised {
            return OrderAction::Answer(Reply::Outdated(promised));
        }
        match order.kind {
            OrderKind::Join => OrderAction::Answer(self.join(order.ballot)),
            _ if order.ballot > promised => {
                // Only a ballot that was joined decides: its leader has not seen how things stand.
                OrderAction::Answer(Reply::Outdated(promised))
            }
            OrderKind::Stage { map, at_step } => self.stage(map, at_step),
            OrderKind::Commit { map } => self.commit(map),
            OrderKind::Abort { map } => OrderAction::Answer(self.abort(map)),
        }
    }

    /// Weights of the map being staged have been loaded, or could not be.
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
            // Whoever asked for it can no longer decide it.
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
            // A late repetition: the leader has long had its answer.
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
