//! At most once: a sidecar's memory of the tickets that it has seen.
//!
//! A request that is not repeatable carries a [`Ticket`] for one incarnation of one sidecar.
//! Only that incarnation may run it, and it takes each ticket once. So no agreement between
//! gateways is needed: views that differ, retries through other gateways and restarts all meet
//! at the one process that remembers, or at one that says that it cannot know.
//!
//! Memory is bounded in time and number. A ticket that is too old to be remembered is refused as
//! `may-have-run`; when memory is full, new tickets are refused as `not-run`.

use std::collections::HashMap;
use std::collections::VecDeque;

use hooktrestle_schema::Cause;
use hooktrestle_schema::Ticket;

use crate::clock::Millis;
use crate::verdict::Refusal;

/// Bounds of a [`TicketMemory`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How long a ticket is remembered, from its issue.
    pub retention: Millis,
    /// Most tickets remembered at once.
    pub max_tickets: usize,
}

/// What became of a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TicketState {
    /// Its request was taken, and may have run.
    Accepted,
    /// Its request was refused before it ran, and never will run.
    Spent,
}

/// Tickets seen by one incarnation.
#[derive(Debug)]
pub struct TicketMemory {
    config: Config,
    incarnation: u64,
    states: HashMap<u64, TicketState>,
    by_age: VecDeque<(Millis, u64)>,
}

impl TicketMemory {
    /// The empty memory of a new incarnation.
    pub fn new(config: Config, incarnation: u64) -> TicketMemory {
        TicketMemory { config, incarnation, states: HashMap::new(), by_age: VecDeque::new() }
    }

    /// How many tickets are remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Takes a ticket, if its request may run now.
    ///
    /// # Errors
    ///
    /// The refusal to send; nothing ran because of this call.
    pub fn accept(&mut self, now: Millis, ticket: &Ticket) -> Result<(), Refusal> {
        self.evict_expired(now);
        if ticket.incarnation != self.incarnation {
            return Err(Refusal::may_have_run(Cause::OtherIncarnation));
        }
        match self.states.get(&ticket.nonce) {
            Some(TicketState::Accepted) => return Err(Refusal::may_have_run(Cause::AlreadySeen)),
            Some(TicketState::Spent) => return Err(Refusal::not_run(Cause::Revoked)),
            None => {}
        }
        if now.since(Millis(ticket.issued_at_ms)) >= self.config.retention {
            return Err(Refusal::may_have_run(Cause::TicketExpired));
        }
        if self.states.len() >= self.config.max_tickets {
            let oldest = self.by_age.front().map_or(now, |(seen, _)| *seen);
            let wait = (oldest + self.config.retention).since(now);
            return Err(Refusal::not_run(Cause::QueueFull).retry_after(wait));
        }
        self.record(now, ticket.nonce, TicketState::Accepted);
        Ok(())
    }

    /// Marks a ticket as never to run: its request was refused before it started, or is known
    /// not to have arrived.
    pub fn spend(&mut self, now: Millis, ticket: &Ticket) {
        if ticket.incarnation != self.incarnation {
            return;
        }
        match self.states.get_mut(&ticket.nonce) {
            Some(state) => *state = TicketState::Spent,
            None => self.record(now, ticket.nonce, TicketState::Spent),
        }
    }

    /// Whether a request with this ticket was taken, and not given back.
    pub fn is_accepted(&self, ticket: &Ticket) -> bool {
        self.states.get(&ticket.nonce) == Some(&TicketState::Accepted)
    }

    fn record(&mut self, now: Millis, nonce: u64, state: TicketState) {
        self.states.insert(nonce, state);
        self.by_age.push_back((now, nonce));
    }

    /// A ticket is kept for `remember` after it was *seen*, which is no earlier than its issue:
    /// when it is forgotten, its age alone refuses it.
    fn evict_expired(&mut self, now: Millis) {
        while let Some((seen, nonce)) = self.by_age.front().copied() {
            if now.since(seen) < self.config.retention {
                return;
            }
            self.by_age.pop_front();
            self.states.remove(&nonce);
        }
    }
}
