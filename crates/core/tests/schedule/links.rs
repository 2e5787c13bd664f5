//! Links of the model: frames in both directions, lost and new links, and late frames.

use std::collections::VecDeque;

use hooktrestle_core::attempt::Next;
use hooktrestle_core::dispatch::Arrival;
use hooktrestle_core::dispatch::CancelOutcome;
use hooktrestle_core::dispatch::LinkOutcome;

use super::Down;
use super::Flaw;
use super::SIDECARS;
use super::Up;
use super::Wire;
use super::World;

impl World {
    pub(super) fn deliver_up(&mut self, index: usize) {
        let Some(wire) = self.pick_wire(index, |wire| !wire.up.is_empty()) else { return };
        let Some(up) = self.wires[wire].up.pop_front() else { return };
        let (sidecar, actual_incarnation) =
            (self.wires[wire].sidecar, self.wires[wire].actual_incarnation);
        let wire = match self.flaw {
            Flaw::IgnoresEpochs => self.newest_wire(wire),
            _ => wire,
        };
        let link = self.wires[wire].link;
        if self.sidecars[sidecar].actual_incarnation != actual_incarnation
            || !self.wires[wire].open_at_sidecar
        {
            return;
        }
        let now = self.now;
        let dispatcher = &mut self.sidecars[sidecar].dispatcher;
        match up {
            Up::Request { id, spec, call } => {
                let ticket = spec.ticket.clone();
                match dispatcher.request(now, link, id, spec) {
                    Arrival::Queued(key) => {
                        self.sidecars[sidecar].waiting.insert(key, (wire, call, ticket));
                    }
                    Arrival::Refuse { refusal, spent } => {
                        self.wires[wire].down.push_back(Down::Refused { id, refusal, spent });
                    }
                    Arrival::Drop => {}
                }
            }
            Up::Settle { id, ticket } => {
                if let Some(verdict) = dispatcher.settle(now, link, id, ticket.as_ref()) {
                    self.wires[wire].down.push_back(Down::Settled { id, verdict });
                }
            }
            Up::Cancel(id) => match dispatcher.cancel(now, link, id) {
                CancelOutcome::Abort(key) => self.abort(sidecar, key),
                CancelOutcome::Removed(key) => drop(self.sidecars[sidecar].waiting.remove(&key)),
                CancelOutcome::Unknown => {}
            },
            Up::Ack(id) => dispatcher.acknowledge(link, id),
        }
        self.pump(sidecar);
    }

    pub(super) fn newest_wire(&self, wire: usize) -> usize {
        let wire = &self.wires[wire];
        let same = |at: &usize| {
            let other = &self.wires[*at];
            other.gateway == wire.gateway && other.sidecar == wire.sidecar
        };
        let all = (0..self.wires.len()).filter(same);
        all.max_by_key(|at| self.wires[*at].epoch).unwrap_or_default()
    }

    pub(super) fn deliver_down(&mut self, index: usize) {
        // Also frames that arrived before the link was lost, since they may be read late.
        let Some(wire) = self.pick_wire(index, |wire| !wire.down.is_empty()) else { return };
        let Some(down) = self.wires[wire].down.pop_front() else { return };
        let id = match &down {
            Down::Head(id)
            | Down::Body { id, .. }
            | Down::Refused { id, .. }
            | Down::Settled { id, .. } => *id,
        };
        let call = id.number as usize;
        let gateway = self.calls[call].gateway;
        let budget = &mut self.budgets[gateway];
        let attempts = &mut self.calls[call].attempts;
        let next = match down {
            Down::Head(id) => attempts.head(id),
            Down::Body { id, sequence, last, call: of } => {
                let mut next = attempts.body(id, sequence, last);
                if self.flaw == Flaw::ForwardsAnyAttempt && next == Next::Ignore {
                    next = Next::Forward;
                }
                if matches!(next, Next::Forward | Next::ForwardLast) {
                    self.calls[call].got.push((of, sequence));
                }
                next
            }
            Down::Refused { id, refusal, spent } => attempts.refused(id, refusal, spent, budget),
            Down::Settled { id, verdict } => attempts.settled(id, Some(verdict), budget),
        };
        self.apply_next(call, next);
    }

    pub(super) fn cut(&mut self, index: usize) {
        let Some(wire) = self.pick_wire(index, |wire| wire.open_at_gateway) else { return };
        self.lose_link(wire);
    }

    pub(super) fn lose_link(&mut self, wire: usize) {
        self.wires[wire].open_at_gateway = false;
        for call in 0..self.calls.len() {
            if self.calls[call].wire != Some(wire) || self.calls[call].ended.is_some() {
                continue;
            }
            let gateway = self.calls[call].gateway;
            let id = self.calls[call].attempts.id();
            let next = self.calls[call].attempts.link_lost(id, &mut self.budgets[gateway]);
            self.apply_next(call, next);
        }
    }

    /// The gateway opens a new link. The sidecar may not have detected the loss of the old one yet.
    pub(super) fn reconnect(&mut self, pair: usize) {
        let (gateway, sidecar) = (pair / SIDECARS, pair % SIDECARS);
        let of_pair = |wire: &Wire| wire.gateway == gateway && wire.sidecar == sidecar;
        if self.wires.iter().any(|wire| of_pair(wire) && wire.open_at_gateway) {
            return;
        }
        let newest = self.wires.iter().filter(|wire| of_pair(wire)).map(|wire| wire.epoch).max();
        let epoch = newest.unwrap_or(0) + 1;
        let actual_incarnation = self.sidecars[sidecar].actual_incarnation;
        let now = self.now;
        let linking = self.sidecars[sidecar].dispatcher.link(now, gateway as u64, 7, epoch);
        let LinkOutcome::Open(link, aborted) = linking else { return };
        for key in aborted {
            self.abort(sidecar, key);
        }
        self.wires.push(Wire {
            gateway,
            sidecar,
            actual_incarnation,
            incarnation: self.sidecars[sidecar].incarnation,
            epoch,
            link,
            up: VecDeque::new(),
            down: VecDeque::new(),
            open_at_gateway: true,
            open_at_sidecar: true,
        });
        self.drop_orphans(sidecar);
        self.pump(sidecar);
        self.settle_over(self.wires.len() - 1);
    }

    /// Queries requests of a lost link over the new one, or settles them without a verdict if the
    /// sidecar has a new incarnation.
    pub(super) fn settle_over(&mut self, wire: usize) {
        let (gateway, sidecar) = (self.wires[wire].gateway, self.wires[wire].sidecar);
        let incarnation = self.wires[wire].incarnation;
        for call in 0..self.calls.len() {
            let Some(old) = self.calls[call].wire else { continue };
            let waits = self.calls[call].ended.is_none() && !self.wires[old].open_at_gateway;
            let same = self.wires[old].gateway == gateway && self.wires[old].sidecar == sidecar;
            if !waits || !same || self.calls[call].gateway != gateway {
                continue;
            }
            let id = self.calls[call].attempts.id();
            if self.wires[old].incarnation == incarnation {
                self.calls[call].wire = Some(wire);
                let ticket = self.calls[call].ticket.clone();
                self.wires[wire].up.push_back(Up::Settle { id, ticket });
            } else {
                let budget = &mut self.budgets[gateway];
                let next = self.calls[call].attempts.settled(id, None, budget);
                self.apply_next(call, next);
            }
        }
    }

    pub(super) fn sidecar_notices(&mut self, index: usize) {
        let lost = |wire: &Wire| wire.open_at_sidecar && !wire.open_at_gateway;
        let Some(wire) = self.pick_wire(index, lost) else { return };
        self.wires[wire].open_at_sidecar = false;
        let (sidecar, link) = (self.wires[wire].sidecar, self.wires[wire].link);
        if self.sidecars[sidecar].actual_incarnation != self.wires[wire].actual_incarnation {
            return;
        }
        for key in self.sidecars[sidecar].dispatcher.unlink(self.now, link) {
            self.abort(sidecar, key);
        }
        self.drop_orphans(sidecar);
        self.pump(sidecar);
    }

    /// Drops waiting requests that the dispatcher has dequeued because their link was lost.
    pub(super) fn drop_orphans(&mut self, sidecar: usize) {
        let wires = &self.wires;
        let current = |wire: &Wire| {
            let newest = wires
                .iter()
                .filter(|other| other.gateway == wire.gateway && other.sidecar == wire.sidecar)
                .map(|other| other.epoch)
                .max();
            newest == Some(wire.epoch) && wire.open_at_sidecar
        };
        self.sidecars[sidecar].waiting.retain(|_, (wire, _, _)| current(&wires[*wire]));
    }
}
