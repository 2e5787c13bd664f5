//! Ticket memory of a sidecar: decides whether a request that must run at most once may run.
//! Input: the ticket of each such request, and refusals of requests that were accepted before.
//! State: the tickets that this incarnation has seen, within bounds of time and number.
//!
//! A request that is not repeatable carries a [`Ticket`] for one incarnation of one sidecar. Only
//! that incarnation may run it, and it accepts each ticket once. So gateways need no coordination:
//! requests from gateways with different views, retries through other gateways and requests after
//! restarts all arrive at the one process that has the record, or at one that answers that it
//! cannot know.
//!
//! A ticket older than the retention time is refused as `may-have-run`. While the memory is full,
//! new tickets are refused as `not-run`.

use std::collections::HashMap;
use std::collections::VecDeque;

use hooktrestle_schema::Cause;
use hooktrestle_schema::Ticket;

use crate::clock::Millis;
use crate::verdict::Refusal;

/// Bounds of a [`TicketMemory`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Age, counted from its issue, from which a ticket is refused; also the time for which a seen
    /// ticket is recorded.
    pub retention: Millis,
    /// Maximum number of recorded tickets.
    pub max_tickets: usize,
}

/// Recorded fate of a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    /// Its request was accepted, and may have run.
    Accepted,
    /// Its request was refused before it ran, and must never run.
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

    /// Number of recorded tickets.
    pub fn len(&self) -> usize {
        self.fates.len()
    }

    /// Whether no ticket is recorded.
    pub fn is_empty(&self) -> bool {
        self.fates.is_empty()
    }

    /// Accepts a ticket, if its request may run now.
    ///
    /// # Errors
    ///
    /// The refusal to send; nothing ran because of this call.
    pub fn accept(&mut self, now: Millis, ticket: &Ticket) -> Result<(), Refusal> {
        self.remove_expired(now);
        if ticket.incarnation != self.incarnation {
            return Err(Refusal::may_have_run(Cause::OtherIncarnation));
        }
        match self.fates.get(&ticket.nonce) {
            Some(Fate::Accepted) => return Err(Refusal::may_have_run(Cause::AlreadySeen)),
            Some(Fate::Spent) => return Err(Refusal::not_run(Cause::Revoked)),
            None => {}
        }
        if now.since(Millis(ticket.issued_at_ms)) >= self.config.retention {
            return Err(Refusal::may_have_run(Cause::TicketExpired));
        }
        if self.fates.len() >= self.config.max_tickets {
            let oldest = self.by_age.front().map_or(now, |(seen, _)| *seen);
            let wait = (oldest + self.config.retention).since(now);
            return Err(Refusal::not_run(Cause::QueueFull).retry_after(wait));
        }
        self.record(now, ticket.nonce, Fate::Accepted);
        Ok(())
    }

    /// Marks a ticket as spent, so that its request never runs: it was refused before it started,
    /// or is known not to have arrived.
    pub fn spend(&mut self, now: Millis, ticket: &Ticket) {
        if ticket.incarnation != self.incarnation {
            return;
        }
        match self.fates.get_mut(&ticket.nonce) {
            Some(fate) => *fate = Fate::Spent,
            None => self.record(now, ticket.nonce, Fate::Spent),
        }
    }

    /// Whether a request with this ticket was accepted, and not refused later.
    pub fn is_accepted(&self, ticket: &Ticket) -> bool {
        self.fates.get(&ticket.nonce) == Some(&Fate::Accepted)
    }

    fn record(&mut self, now: Millis, nonce: u64, fate: Fate) {
        self.fates.insert(nonce, fate);
        self.by_age.push_back((now, nonce));
    }

    /// Removes tickets that were seen longer ago than the retention time. A ticket is seen no
    /// earlier than it is issued, so the age of a removed ticket alone causes its refusal.
    fn remove_expired(&mut self, now: Millis) {
        while let Some((seen, nonce)) = self.by_age.front().copied() {
            if now.since(seen) < self.config.retention {
                return;
            }
            self.by_age.pop_front();
            self.fates.remove(&nonce);
        }
    }
}
