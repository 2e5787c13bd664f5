//! Answers of one server that broke off, from which follows what was there if it turns out to have crashed.
//!
//! That is found out late where the platform's list is late, and requests are sent to the server meanwhile, each
//! of which breaks off, too. So the crash is dated by the first answer that broke off with none whole since, however
//! long ago that was, and what was sent later was not there.

use crate::clock::Millis;
use crate::direct::crashes::Stage;
use crate::direct::crashes::Suspect;

/// How long requests are remembered whose answers broke off. The list may take three heartbeats to show that a server has
/// gone, 3.6 s at the users, and news among gateways some more.
pub const RETENTION: Millis = Millis(6_000);

/// Answers of one life of a server that broke off.
#[derive(Clone, Debug, Default)]
pub struct TruncatedAnswers {
    /// The requests that have not been reported, and when each broke off.
    suspects: Vec<(Millis, Suspect)>,
    /// When the first one did since the server lived, remembered or not.
    first_at: Option<Millis>,
    /// When the last one did.
    at: Millis,
    /// When it crashed, once that was reported.
    crashed_at: Option<Millis>,
}

impl TruncatedAnswers {
    /// Takes one more, and forgets those that broke off long before it.
    pub fn add(&mut self, suspect: Suspect, now: Millis) {
        self.suspects.retain(|(at, _)| now.since(*at) < RETENTION);
        self.suspects.push((now, suspect));
        self.first_at.get_or_insert(now);
        self.at = now;
    }

    /// Whether the last one broke off so long ago that it tells nothing any more.
    pub fn is_expired(&self, now: Millis) -> bool {
        now.since(self.at) >= RETENTION
    }

    /// The server has answered what was sent at `sent_at`: it has not crashed before.
    pub fn record_answer(&mut self, sent_at: Millis) {
        self.suspects.retain(|(at, _)| *at > sent_at);
        if self.first_at.is_some_and(|first_at| first_at <= sent_at) {
            self.first_at = self.suspects.first().map(|(at, _)| *at);
        }
    }

    /// The server has crashed: when, and what was there then and is not reported yet. What was sent later and not
    /// answered was not.
    pub fn confirm_crash(&mut self) -> (Millis, Vec<Suspect>) {
        let crashed_at = *self.crashed_at.get_or_insert(self.first_at.unwrap_or(self.at));
        let there = self.suspects.drain(..).filter_map(|(at, suspect)| {
            let sent_at = at - suspect.ran;
            let was_there = suspect.stage > Stage::Waiting || sent_at <= crashed_at;
            was_there.then(|| Suspect { ran: crashed_at - sent_at, ..suspect })
        });
        (crashed_at, there.collect())
    }
}
