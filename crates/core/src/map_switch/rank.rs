//! One rank's side of a switch.

use crate::map_switch::Armed;
use crate::map_switch::Ballot;
use crate::map_switch::MapId;
use crate::map_switch::Order;
use crate::map_switch::OrderKind;
use crate::map_switch::Reply;
use crate::map_switch::Standing;

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
pub enum Staging {
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
    standing: Standing,
    /// Orders of lower ballots are refused; `None` until the fence is known again.
    promised: Option<Ballot>,
    /// What is being loaded.
    loading: Option<Armed>,
    /// The highest map that was staged or called off here: an order to stage it again is late.
    closed: MapId,
}

impl Rank {
    /// A rank that uses `current` and has joined nobody.
    pub fn new(current: MapId) -> Rank {
        Rank {
            standing: Standing { current, armed: None, step: 0 },
            promised: Some(Ballot::default()),
            loading: None,
            closed: current,
        }
    }

    /// How things stand.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// The highest ballot joined; `None` until the fence is known again.
    pub fn promised(&self) -> Option<Ballot> {
        self.promised
    }

    /// The sidecar was restarted before a backend server that does not keep fences.
    pub fn forget(&mut self) {
        self.promised = None;
        self.loading = None;
        self.closed = self.standing.armed.map_or(self.standing.current, |armed| armed.map);
    }

    /// `given_out` was read from the table after the restart: no ballot above it can have been
    /// joined before.
    pub fn learn(&mut self, given_out: Ballot) {
        if self.promised.is_none() {
            self.promised = Some(given_out);
        }
    }

    /// Whether the next step may run. The answer stands only until the next call of any method.
    pub fn gate(&self) -> Gate {
        match self.standing.armed {
            Some(armed) if self.standing.step >= armed.at_step => {
                if armed.committed {
                    Gate::Run(armed.map)
                } else {
                    Gate::Hold
                }
            }
            _ => Gate::Run(self.standing.current),
        }
    }

    /// The next step has begun.
    ///
    /// # Panics
    ///
    /// If the gate holds it.
    pub fn stepped(&mut self) -> MapId {
        let Gate::Run(map) = self.gate() else { panic!("a held step must not run") };
        if map != self.standing.current {
            self.standing.current = map;
            self.standing.armed = None;
        }
        self.standing.step += 1;
        map
    }

    /// Takes an order.
    pub fn order(&mut self, order: Order) -> Staging {
        let Some(promised) = self.promised else { return Staging::Silent };
        if order.ballot < promised {
            return Staging::Answer(Reply::Outdated(promised));
        }
        match order.kind {
            OrderKind::Join => Staging::Answer(self.join(order.ballot)),
            _ if order.ballot > promised => {
                // Only a ballot that was joined decides: its leader has not seen how things stand.
                Staging::Answer(Reply::Outdated(promised))
            }
            OrderKind::Stage { map, at_step } => self.stage(map, at_step),
            OrderKind::Commit { map } => self.commit(map),
            OrderKind::Abort { map } => Staging::Answer(self.abort(map)),
        }
    }

    /// Weights of the map being staged have been loaded, or could not be.
    pub fn loaded(&mut self, map: MapId, whole: bool) -> Option<Reply> {
        let armed = self.loading.filter(|armed| armed.map == map)?;
        self.loading = None;
        if !whole || self.standing.step >= armed.at_step {
            return Some(Reply::NotStaged(map));
        }
        self.standing.armed = Some(armed);
        Some(Reply::Staged(map))
    }

    fn join(&mut self, ballot: Ballot) -> Reply {
        if self.promised < Some(ballot) {
            self.promised = Some(ballot);
            // Whoever asked for it can no longer decide it.
            self.loading = None;
        }
        Reply::Joined(ballot, self.standing)
    }

    fn stage(&mut self, map: MapId, at_step: u64) -> Staging {
        if let Some(armed) = self.standing.armed {
            let same = armed.map == map;
            let reply = if same { Reply::Staged(map) } else { Reply::NotStaged(map) };
            return Staging::Answer(reply);
        }
        if self.loading.is_some_and(|loading| loading.map == map) {
            return Staging::Silent;
        }
        if map <= self.closed || self.standing.step >= at_step {
            return Staging::Answer(Reply::NotStaged(map));
        }
        self.closed = map;
        self.loading = Some(Armed { map, at_step, committed: false });
        Staging::Load(map)
    }

    fn commit(&mut self, map: MapId) -> Staging {
        if self.standing.current == map {
            return Staging::Answer(Reply::Committed(map));
        }
        match &mut self.standing.armed {
            Some(armed) if armed.map == map => {
                armed.committed = true;
                Staging::Answer(Reply::Committed(map))
            }
            // A late repetition: the leader has long had its answer.
            _ => Staging::Silent,
        }
    }

    fn abort(&mut self, map: MapId) -> Reply {
        self.closed = self.closed.max(map);
        if self.loading.is_some_and(|loading| loading.map == map) {
            self.loading = None;
        }
        if self.standing.armed.is_some_and(|armed| armed.map == map && !armed.committed) {
            self.standing.armed = None;
        }
        Reply::Aborted(map)
    }
}
