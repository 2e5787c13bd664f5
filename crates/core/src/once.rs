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
    pub remember: Millis,
    /// Most tickets remembered at once.
    pub most_tickets: usize,
}

/// What became of a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    /// Its request was taken, and may have run.
    Taken,
    /// Its request was refused before it ran, and never will run.
    Spent,
}

/// Tickets seen by one incarnation.
#[derive(Debug)]
pub struct TicketMemory {
    config: Config,
    incarnation: u64,
    fates: HashMap<u64, Fate>,
    by_age: VecDeque<(Millis, u64)>,
}

impl TicketMemory {
    /// The empty memory of a new incarnation.
    pub fn new(config: Config, incarnation: u64) -> TicketMemory {
        TicketMemory { config, incarnation, fates: HashMap::new(), by_age: VecDeque::new() }
    }

    /// How many tickets are remembered.
    pub fn len(&self) -> usize {
        self.fates.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.fates.is_empty()
    }

    /// Takes a ticket, if its request may run now.
    ///
    /// # Errors
    ///
    /// The refusal to send; nothing ran because of this call.
    pub fn take(&mut self, now: Millis, ticket: &Ticket) -> Result<(), Refusal> {
        self.forget(now);
        if ticket.incarnation != self.incarnation {
            return Err(Refusal::may_have_run(Cause::OtherIncarnation));
        }
        match self.fates.get(&ticket.nonce) {
            Some(Fate::Taken) => return Err(Refusal::may_have_run(Cause::AlreadySeen)),
            Some(Fate::Spent) => return Err(Refusal::not_run(Cause::Revoked)),
            None => {}
        }
        if now.since(Millis(ticket.issued_at_ms)) >= self.config.remember {
            return Err(Refusal::may_have_run(Cause::TicketExpired));
        }
        if self.fates.len() >= self.config.most_tickets {
            let oldest = self.by_age.front().map_or(now, |(seen, _)| *seen);
            let wait = (oldest + self.config.remember).since(now);
            return Err(Refusal::not_run(Cause::QueueFull).retry_after(wait));
        }
        self.remember(now, ticket.nonce, Fate::Taken);
        Ok(())
    }

    /// Marks a ticket as never to run: its request was refused before it started, or is known
    /// not to have arrived.
    pub fn spend(&mut self, now: Millis, ticket: &Ticket) {
        if ticket.incarnation != self.incarnation {
            return;
        }
        match self.fates.get_mut(&ticket.nonce) {
            Some(fate) => *fate = Fate::Spent,
            None => self.remember(now, ticket.nonce, Fate::Spent),
        }
    }

    /// Whether a request with this ticket was taken, and not given back.
    pub fn is_taken(&self, ticket: &Ticket) -> bool {
        self.fates.get(&ticket.nonce) == Some(&Fate::Taken)
    }

    fn remember(&mut self, now: Millis, nonce: u64, fate: Fate) {
        self.fates.insert(nonce, fate);
        self.by_age.push_back((now, nonce));
    }

    /// A ticket is kept for `remember` after it was *seen*, which is no earlier than its issue:
    /// when it is forgotten, its age alone refuses it.
    fn forget(&mut self, now: Millis) {
        while let Some((seen, nonce)) = self.by_age.front().copied() {
            if now.since(seen) < self.config.remember {
                return;
            }
            self.by_age.pop_front();
            self.fates.remove(&nonce);
        }
    }
}
